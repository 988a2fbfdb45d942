/* Cost of the control plane per node at several fleet sizes, beside the targets for 420 entries. */
#include "control/cost.h"
#include "control/print.h"
#include "control/replay.h"
#include "control/times.h"

#include <malloc.h>

#define DAY 86400.0
#define MIN_SHOWN_SHARE 0.1 /* of the busiest second; smaller kinds are not printed */
#define CHANGES_PER_DAY 460
#define RESTARTS_PER_DAY 180

typedef struct summary {
	int n;
	double bytes;
	double bytes_mean;
	double core;
	double memory;
	double activation;
	double removal;
} summary_t;

static void print_bytes(const char *name, const cost_t *c)
{
	char label[64];

	snprintf(label, sizeof(label), "%s: bytes/s, worst node", name);
	print_verdict(label, c->bytes_max, "B/s", BYTES_TARGET);
	for (int k = 0; k < KINDS; k++)
		printf("      %-42s %10.0f B/s\n", kind_name((kind_t)k), c->worst_kinds[k]);
	printf("    %-44s %10.2f B/s, %.1f messages/s\n", "sent by it; sent and received",
	       c->worst_sent, c->worst_messages);
	printf("    %-44s %10.2f B/s, %.1f messages/s\n", "mean node", c->bytes_mean,
	       c->messages_mean);
	printf("    %-44s %10.0f B in second %d (mean target %.0f)\n", "busiest second of any node",
	       c->busiest_second_bytes, c->busiest_second, BYTES_TARGET);
	for (int k = 0; k < KINDS; k++) {
		if (c->busiest_second_kinds[k] > c->busiest_second_bytes * MIN_SHOWN_SHARE)
			printf("      %-42s %10.0f B\n", kind_name((kind_t)k),
			       c->busiest_second_kinds[k]);
	}
	printf("    %-44s %10.2f s, oldest %.2f s\n", "age of loads, mean",
	       c->age_sum / c->age_count, c->age_max);
	printf("    %-44s %10.2f /s\n", "loads read, node that reads most", c->polls_max);
}

static void print_phase(const char *name, const cost_t *c)
{
	char label[64];

	print_bytes(name, c);
	snprintf(label, sizeof(label), "%s: processor, worst node", name);
	print_verdict(label, c->core_max, "% core", CORE_TARGET);
	printf("    %-44s %10.3f %% core\n", "mean node", c->core_mean);
}

/* Replays the worst node's messages of the last phase, which must have been recorded. */
static void print_replay(fleet_t *f, const char *name, const cost_t *c, int seconds)
{
	replay_t r = replay_run(&f->record, f->n, c->worst_node, seconds);
	char label[64];

	snprintf(label, sizeof(label), "%s: on its sockets, TCP and IP included", name);
	print_verdict(label, r.bytes, "B/s", BYTES_TARGET);
	printf("    %-44s %10.1f messages/s of %.0f B/s\n", "replayed", r.messages,
	       r.message_bytes);
	printf("    %-44s %10.0f B/s, %.1f segments/s, %d connections\n", "streams", r.stream_bytes,
	       r.segments, r.connections);
	printf("    %-44s %10.0f B/s\n", "first 30 seconds, TCP and IP included", r.begin_bytes);
}

static void record_messages(fleet_t *f, bool on)
{
	f->record.on = on;
	f->record.n = 0;
}

static void measure_idle(fleet_t *f, summary_t *sum)
{
	const phase_t idle = {.seconds = 60};
	cost_t c;

	record_messages(f, true);
	c = run_phase(f, &idle);
	print_phase("idle", &c);
	print_replay(f, "idle", &c, idle.seconds);
	record_messages(f, false);
	print_verdict("idle: store calls, whole fleet", c.reads + c.writes, "/s",
		      STORE_IDLE_TARGET);
	sum->bytes = c.bytes_max;
	sum->bytes_mean = c.bytes_mean;
	sum->core = c.core_max;
}

static void print_store(const char *name, const cost_t *c)
{
	char label[64];

	snprintf(label, sizeof(label), "%s: store reads, worst minute", name);
	print_verdict(label, c->reads_worst, "/s", STORE_READS_TARGET);
	snprintf(label, sizeof(label), "%s: store writes, worst minute", name);
	print_verdict(label, c->writes_worst, "/s", STORE_WRITES_TARGET);
}

static void measure_changes(fleet_t *f)
{
	const phase_t changes = {.seconds = 240, .changes_per_second = CHANGES_PER_DAY / DAY};
	cost_t c = run_phase(f, &changes);

	print_phase("460 changes a day", &c);
	print_store("460 changes a day", &c);
}

static void measure_restarts(fleet_t *f)
{
	const phase_t restarts = {.seconds = 240,
				  .restarts_per_second =
					  RESTARTS_PER_DAY / DAY * f->n / ENTRIES_MAX + 1e-9};
	cost_t c = run_phase(f, &restarts);

	print_store("180 restarts a day", &c);
}

static void measure_times(fleet_t *f, summary_t *sum)
{
	double mean, region;

	time_to_remove(f, &region, &sum->removal);
	print_verdict("dead entry removed in its region", region, "s", CONVERGENCE_TARGET);
	print_verdict("dead entry removed in the whole fleet", sum->removal, "s",
		      CONVERGENCE_TARGET);
	f->net.loss = 0.1;
	sum->activation = time_to_activate(f, &mean);
	print_verdict("change active; 1 in 10 nodes, messages lost", sum->activation, "s",
		      CONVERGENCE_TARGET);
	printf("    %-44s %10.2f s\n", "mean node", mean);
	f->net.loss = 0.0;
}

static void measure_lost(fleet_t *f)
{
	const phase_t lost = {.seconds = 120, .lose_data_centre = true};
	cost_t c;

	record_messages(f, true);
	c = run_phase(f, &lost);
	print_store("data centre lost", &c);
	print_bytes("data centre lost", &c);
	print_replay(f, "data centre lost", &c, lost.seconds);
}

/* @bytes_only: measures only the idle phase and the loss of a data centre. */
static summary_t measure(int n, bool bytes_only)
{
	size_t before = mallinfo2().uordblks;
	fleet_t *f = fleet_new(n);
	summary_t sum = {.n = n};

	sum.memory = (double)(mallinfo2().uordblks - before) / n / 1e6;
	printf("%d entries, %d regions, %d upstreams, %zu callers\n", n, f->regions, f->upstreams,
	       json_object_size(json_object_get(f->doc, "caller")));
	measure_idle(f, &sum);
	if (!bytes_only) {
		measure_changes(f);
		measure_restarts(f);
		print_verdict("memory per node (library's heap)", sum.memory, "MB", MEMORY_TARGET);
		measure_times(f, &sum);
	}
	measure_lost(f);
	printf("\n");
	fflush(stdout);
	fleet_free(f);
	return sum;
}

int main(int argc, char **argv)
{
	static const int sizes[] = {8, 60, 120, 420};
	int only = argc > 1 ? atoi(argv[1]) : 0;
	summary_t all[4];

	if (only > 0 && only <= ENTRIES_MAX) {
		measure(only, argc > 2 && strcmp(argv[2], "bytes") == 0);
		return 0;
	}
	for (int i = 0; i < 4; i++)
		all[i] = measure(sizes[i], false);
	printf("growth, idle (worst node)\n  entries  bytes/s  per entry  mean bytes/s   %% core"
	       "   MB/node    active s  removed s\n");
	for (int i = 0; i < 4; i++)
		printf("  %7d %8.0f %10.1f %13.0f %8.3f %9.2f %11.1f %10.1f\n", all[i].n,
		       all[i].bytes, all[i].bytes / all[i].n, all[i].bytes_mean, all[i].core,
		       all[i].memory, all[i].activation, all[i].removal);
	return 0;
}
