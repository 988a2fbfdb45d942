/*
 * A day of restarts, failures and configuration changes in virtual time: a full day at the users'
 * present fleet size, and an hour's worth of events within five minutes at the design size.
 */
#include "control/cost.h"
#include "control/print.h"

#include <malloc.h>

#define DAY 86400
#define CHANGES_PER_DAY 460.0
#define RESTARTS_PER_DAY 180.0
#define FAILURES_PER_DAY 7.0
#define HOURS_PER_DAY 24.0
#define SETTLE_SECONDS 90 /* after the last event; a failed node is replaced within this time */

typedef struct run {
	const char *name;
	int entries;
	int seconds;
	double days; /* days' worth of events in the run */
} run_t;

static const run_t runs[] = {
	{"a day", 8, DAY, 1.0},
	{"an hour's worth in 5 minutes", ENTRIES_MAX, 300, 1.0 / HOURS_PER_DAY},
};

/*
 * Counts live entries that list another number of entries than the fleet has, and those with
 * another generation than the first entry.
 */
static int disagreements(fleet_t *f)
{
	int wrong = 0;

	for (int i = 0; i < f->n; i++) {
		if (f->nodes[i].down)
			continue;
		wrong += ap_member_entries(f->nodes[i].member, f->scratch, ENTRIES_MAX) !=
			 (size_t)f->n;
		wrong += f->nodes[i].generation != f->nodes[0].generation;
	}
	return wrong;
}

static double heap_per_node(const fleet_t *f)
{
	return (double)mallinfo2().uordblks / f->n / 1e6;
}

static void measure(const run_t *run)
{
	double per_second = run->days / run->seconds;
	const phase_t phase = {.seconds = run->seconds,
			       .changes_per_second = CHANGES_PER_DAY * per_second,
			       .restarts_per_second = RESTARTS_PER_DAY * per_second,
			       .failures_per_second = FAILURES_PER_DAY * per_second};
	fleet_t *f = fleet_new(run->entries);
	double before = heap_per_node(f);
	cost_t c = run_phase(f, &phase);

	printf("%s, %d entries: %.0f restarts, %.1f failures, %.0f changes\n", run->name, f->n,
	       RESTARTS_PER_DAY * run->days, FAILURES_PER_DAY * run->days,
	       CHANGES_PER_DAY * run->days);
	print_verdict("bytes/s of messages, worst node", c.bytes_max, "B/s", BYTES_TARGET);
	printf("    %-44s %10.2f B/s\n", "mean node", c.bytes_mean);
	printf("    %-44s %10.0f B in second %d\n", "busiest second of any node",
	       c.busiest_second_bytes, c.busiest_second);
	print_verdict("processor, worst node", c.core_max, "% core", CORE_TARGET);
	print_verdict("store reads, worst minute", c.reads_worst, "/s", STORE_READS_TARGET);
	print_verdict("store writes, worst minute", c.writes_worst, "/s", STORE_WRITES_TARGET);
	fake_run(&f->sim, f->sim.now + SETTLE_SECONDS * AP_SEC);
	print_verdict("heap per node at the end", heap_per_node(f), "MB", MEMORY_TARGET);
	printf("    %-44s %10.2f MB\n", "growth during the run", heap_per_node(f) - before);
	print_verdict("entries with a wrong list or generation", disagreements(f), "", 0.0);
	fflush(stdout);
	fleet_free(f);
}

int main(void)
{
	for (size_t i = 0; i < sizeof(runs) / sizeof(runs[0]); i++)
		measure(&runs[i]);
	return 0;
}
