/* Runs the events of a phase and sums up the cost over all nodes that are up at its end. */
#include "cost.h"

#include <math.h>

#define REPLACE_TIME (60 * AP_SEC) /* from a failure to the start of the new process */
#define AGE_SAMPLE_SECONDS 7	   /* not a multiple of the period of any other work */

static void clear_counts(fleet_t *f)
{
	for (int i = 0; i < f->n; i++) {
		node_t *node = &f->nodes[i];

		node->in_bytes = node->in_messages = 0;
		node->port.out_bytes = node->port.out_messages = 0;
		node->cpu = 0.0;
		node->gate.cost = 0.0;
		node->bytes_before = 0;
		node->polls = 0;
		memset(node->kinds, 0, sizeof(node->kinds));
		memset(node->kinds_before, 0, sizeof(node->kinds_before));
	}
}

static void run_due_events(fleet_t *f, double *due, double rate, void (*act)(fleet_t *))
{
	*due += rate;
	while (*due >= 1.0) {
		*due -= 1.0;
		act(f);
	}
}

static int random_live_node(fleet_t *f)
{
	int i;

	do {
		i = (int)ap_rng_below(&f->sim.rng, (uint64_t)f->n);
	} while (f->nodes[i].down);
	return i;
}

static void change_at_random_node(fleet_t *f)
{
	fleet_change(f, random_live_node(f));
}

static void restart_random_node(fleet_t *f)
{
	int i = random_live_node(f);

	ap_member_announce_drain(f->nodes[i].member, f->sim.now);
	ap_member_announce_exit(f->nodes[i].member, f->sim.now);
	fleet_stop(&f->nodes[i]);
	fleet_start(f, i);
}

static void start_replacement(void *arg, void *data)
{
	fleet_start(arg, *(int *)data);
}

static void fail_random_node(fleet_t *f)
{
	int *failed = malloc(sizeof(*failed));

	if (!failed)
		abort();
	*failed = random_live_node(f);
	fleet_stop(&f->nodes[*failed]);
	fake_at(&f->sim, f->sim.now + REPLACE_TIME, start_replacement, f, failed);
}

static void lose_data_centre(fleet_t *f)
{
	for (int i = 0; i < f->n; i++) {
		if (strcmp(f->nodes[i].entry.data_centre, "region-0-dc-0") == 0)
			fleet_stop(&f->nodes[i]);
	}
}

static void record_worst_node(const node_t *node, double bytes, double seconds, cost_t *cost)
{
	cost->bytes_max = bytes;
	cost->worst_node = node->number;
	cost->worst_sent = (double)node->port.out_bytes / seconds;
	cost->worst_messages = (double)(node->in_messages + node->port.out_messages) / seconds;
	for (int k = 0; k < KINDS; k++)
		cost->worst_kinds[k] = node->kinds[k] / seconds;
}

/* Adds the ages of loads that other nodes announced; loads that a node polls itself don't count. */
static void sum_load_ages(const fleet_t *f, cost_t *cost)
{
	for (int i = 0; i < f->n; i++) {
		const node_t *node = &f->nodes[i];

		for (int u = 0; !node->down && u < f->upstreams; u++) {
			double age = (double)(f->sim.now - node->load_at[u]) / AP_SEC;

			if (node->load_at[u] == 0 ||
			    ap_report_is_poller(node->report, f->upstream_list[u].id))
				continue;
			cost->age_sum += age;
			cost->age_max = fmax(cost->age_max, age);
			cost->age_count++;
		}
	}
}

static void sum_up(const fleet_t *f, double seconds, cost_t *cost)
{
	int up = 0;

	for (int i = 0; i < f->n; i++) {
		const node_t *node = &f->nodes[i];
		double bytes = (double)(node->in_bytes + node->port.out_bytes) / seconds;
		double messages = (double)(node->in_messages + node->port.out_messages) / seconds;
		double core = 100.0 * (node->cpu + node->gate.cost) / seconds;

		if (node->down)
			continue;
		up++;
		cost->bytes_mean += bytes;
		cost->messages_mean += messages;
		cost->core_mean += core;
		if (bytes > cost->bytes_max)
			record_worst_node(node, bytes, seconds, cost);
		cost->polls_max = fmax(cost->polls_max, (double)node->polls / seconds);
		cost->core_max = core > cost->core_max ? core : cost->core_max;
	}
	cost->bytes_mean /= up;
	cost->messages_mean /= up;
	cost->core_mean /= up;
}

/* Compares the bytes of the second that just ended with the busiest second so far. */
static void record_busiest_second(fleet_t *f, int second, cost_t *cost)
{
	for (int i = 0; i < f->n; i++) {
		node_t *node = &f->nodes[i];
		uint64_t bytes = node->in_bytes + node->port.out_bytes;
		double gained = (double)(bytes - node->bytes_before);

		node->bytes_before = bytes;
		if (!node->down && gained > cost->busiest_second_bytes) {
			cost->busiest_second_bytes = gained;
			cost->busiest_second = second;
			for (int k = 0; k < KINDS; k++)
				cost->busiest_second_kinds[k] =
					node->kinds[k] - node->kinds_before[k];
		}
		memcpy(node->kinds_before, node->kinds, sizeof(node->kinds));
	}
}

cost_t run_phase(fleet_t *f, const phase_t *phase)
{
	cost_t cost = {0};
	uint64_t reads = f->store.reads, writes = f->store.writes;
	uint64_t minute_reads = reads, minute_writes = writes;
	double due_change = 0.0, due_restart = 0.0, due_failure = 0.0;
	ap_usec_t begin = f->sim.now;

	clear_counts(f);
	if (phase->lose_data_centre)
		lose_data_centre(f);
	for (int s = 1; s <= phase->seconds; s++) {
		run_due_events(f, &due_change, phase->changes_per_second, change_at_random_node);
		run_due_events(f, &due_restart, phase->restarts_per_second, restart_random_node);
		run_due_events(f, &due_failure, phase->failures_per_second, fail_random_node);
		if (f->sim.now < begin + s * AP_SEC)
			fake_run(&f->sim, begin + s * AP_SEC);
		record_busiest_second(f, s, &cost);
		if (s % AGE_SAMPLE_SECONDS == 0)
			sum_load_ages(f, &cost);
		if (s % 60 == 0) {
			double r = (double)(f->store.reads - minute_reads) / 60.0;
			double w = (double)(f->store.writes - minute_writes) / 60.0;

			cost.reads_worst = r > cost.reads_worst ? r : cost.reads_worst;
			cost.writes_worst = w > cost.writes_worst ? w : cost.writes_worst;
			minute_reads = f->store.reads;
			minute_writes = f->store.writes;
		}
	}
	cost.reads = (double)(f->store.reads - reads) / phase->seconds;
	cost.writes = (double)(f->store.writes - writes) / phase->seconds;
	sum_up(f, (double)(f->sim.now - begin) / AP_SEC, &cost);
	return cost;
}
