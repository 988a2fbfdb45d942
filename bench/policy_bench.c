/*
 * Compares the library's routing policy with plain ones over the same arrivals from fixed seeds, in
 * virtual time and without the warm-up. A request without a response counts as 30 s to the first
 * token.
 */
#include "policy/sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 3
#define SAME_TAIL 1.02 /* largest ratio of two tails that count as equal */
#define UNEVEN_TAIL_RATIO (2.0 / 3)
#define COST_RATIO 0.9
#define RETRIES_MAX 0.1

static const row_t rows[] = {
	{
		.name = "steady",
		.load = {0.65, 0.65, 0.65},
		.burst = 1,
		.entries = 8,
		.report_lag = 250 * AP_MSEC,
	},
	{
		.name = "peaks at different hours",
		.load = {0.7, 0.7, 0.7},
		.swing = 0.6,
		.burst = 1,
		.entries = 8,
		.report_lag = 250 * AP_MSEC,
		.uneven = true,
	},
	{
		.name = "a region loses two thirds",
		.load = {0.6, 0.6, 0.6},
		.burst = 1,
		.entries = 8,
		.report_lag = 250 * AP_MSEC,
		.fault = {.region = 0,
			  .stride = 3,
			  .from = 60 * AP_SEC,
			  .to = 120 * AP_SEC,
			  .gone = true},
		.uneven = true,
	},
	{
		.name = "one upstream slow",
		.load = {0.65, 0.65, 0.65},
		.burst = 1,
		.entries = 8,
		.report_lag = 250 * AP_MSEC,
		.fault = {.region = 0, .from = 40 * AP_SEC, .to = 140 * AP_SEC, .slow = 6},
		.uneven = true,
	},
	{
		.name = "reports 5 s late, 300 entries",
		.load = {0.7, 0.7, 0.7},
		.burst = 1,
		.entries = 100,
		.report_lag = 5 * AP_SEC,
		.uneven = true,
	},
	{
		.name = "half the cache events lost",
		.load = {0.65, 0.65, 0.65},
		.burst = 1,
		.entries = 8,
		.report_lag = 250 * AP_MSEC,
		.cache_lost = 0.5,
	},
	{
		.name = "burst of long requests",
		.load = {0.6, 0.6, 0.6},
		.burst = 4,
		.entries = 8,
		.report_lag = 250 * AP_MSEC,
		.uneven = true,
	},
	{
		.name = "retry storm",
		.load = {0.75, 0.75, 0.75},
		.burst = 1,
		.entries = 8,
		.report_lag = 250 * AP_MSEC,
		.fault = {.region = 0,
			  .stride = 2,
			  .from = 60 * AP_SEC,
			  .to = 110 * AP_SEC,
			  .fail = 0.7},
		.uneven = true,
	},
};

static const policy_t *const policies[] = {
	&policy_library,	   &policy_random,	&policy_round_robin,
	&policy_least_outstanding, &policy_two_choices, &policy_prefix,
};

#define ROWS (sizeof(rows) / sizeof(rows[0]))
#define POLICIES (sizeof(policies) / sizeof(policies[0]))

/**
 * struct figures - one line of the table, over all seeds.
 * @p50, @p99, @p999: milliseconds to the first token, by class
 * @tail_spread: range of the first class's p99 over the seeds, relative to the p99
 * @cost: micro-units per answered request, weighted by the arrivals' classes
 * @forwarded, @sheds, @retries: per request
 */
typedef struct figures {
	double p50[AP_CLASS_COUNT];
	double p99[AP_CLASS_COUNT];
	double p999[AP_CLASS_COUNT];
	double tail_spread;
	double cost;
	double forwarded;
	double sheds[AP_CLASS_COUNT];
	double retries;
	size_t priority_inversions;
} figures_t;

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(const double *sorted, size_t n, double q)
{
	return n > 0 ? sorted[(size_t)(q * (double)(n - 1))] : 0;
}

static double mean_cost(const result_t *r)
{
	double cost = 0;

	for (int c = 0; c < AP_CLASS_COUNT; c++)
		if (r->answered[c] > 0)
			cost += r->cost[c] / (double)r->answered[c] * (double)r->n[c];
	return cost / (double)r->requests;
}

static void sum_up(result_t *r, const double tails[SEEDS], figures_t *f)
{
	double low = INFINITY;
	double high = 0;

	for (int c = 0; c < AP_CLASS_COUNT; c++) {
		qsort(r->latency[c], r->n[c], sizeof(double), by_value);
		f->p50[c] = quantile(r->latency[c], r->n[c], 0.5);
		f->p99[c] = quantile(r->latency[c], r->n[c], 0.99);
		f->p999[c] = quantile(r->latency[c], r->n[c], 0.999);
		f->sheds[c] = (double)r->sheds[c] / (double)r->n[c];
	}
	for (int i = 0; i < SEEDS; i++) {
		low = fmin(low, tails[i]);
		high = fmax(high, tails[i]);
	}
	f->tail_spread = (high - low) / f->p99[0];
	f->cost = mean_cost(r);
	f->forwarded = (double)r->forwarded / (double)r->requests;
	f->retries = (double)r->retries / (double)r->requests;
	f->priority_inversions = r->priority_inversions;
}

static double tail_since(const result_t *r, size_t from)
{
	size_t n = r->n[0] - from;
	double *part = malloc((n + 1) * sizeof(*part));
	double tail;

	memcpy(part, r->latency[0] + from, n * sizeof(*part));
	qsort(part, n, sizeof(*part), by_value);
	tail = quantile(part, n, 0.99);
	free(part);
	return tail;
}

static void measure(const row_t *row, const policy_t *policy, arrival_t *const lists[SEEDS],
		    const size_t n[SEEDS], uint64_t base, figures_t *f)
{
	result_t result = {.requests = 0};
	double tails[SEEDS];
	size_t all = 0;

	for (int i = 0; i < SEEDS; i++)
		all += n[i];
	for (int c = 0; c < AP_CLASS_COUNT; c++)
		result.latency[c] = calloc(all, sizeof(double));
	for (int i = 0; i < SEEDS; i++) {
		size_t from = result.n[0];

		sim_run(row, policy, lists[i], n[i], base + (uint64_t)i, &result);
		tails[i] = tail_since(&result, from);
	}
	sum_up(&result, tails, f);
	for (int c = 0; c < AP_CLASS_COUNT; c++)
		free(result.latency[c]);
}

static void print_line(const char *name, const figures_t *f)
{
	printf("  %-18s", name);
	for (int c = 0; c < AP_CLASS_COUNT; c++)
		printf(" %6.0f %6.0f %6.0f |", f->p50[c], f->p99[c], f->p999[c]);
	printf(" %4.0f%% %7.1f %5.1f%%", f->tail_spread * 100, f->cost, f->forwarded * 100);
	printf(" %5.2f %5.2f %5.2f%% %5.1f%%\n", f->sheds[0] * 100, f->sheds[1] * 100,
	       f->sheds[2] * 100, f->retries * 100);
}

static void print_verdict(const char *what, double value, double target, const char *unit)
{
	printf("    %-58s %9.3f %-3s target <= %.3f  %s\n", what, value, unit, target,
	       value <= target ? "met" : "MISSED");
}

static void print_verdicts(const row_t *row, const figures_t f[POLICIES])
{
	double tail = INFINITY;
	double cost = INFINITY;
	double forwarded = INFINITY;

	for (size_t i = 1; i < POLICIES; i++) {
		tail = fmin(tail, f[i].p99[0]);
		cost = fmin(cost, f[i].cost);
	}
	for (size_t i = 1; i < POLICIES; i++)
		if (f[i].p99[0] <= f[0].p99[0] * SAME_TAIL)
			forwarded = fmin(forwarded, f[i].forwarded);
	print_verdict("first class p99 relative to the best baseline", f[0].p99[0] / tail,
		      row->uneven ? UNEVEN_TAIL_RATIO : 1, "");
	print_verdict("cost relative to the cheapest baseline", f[0].cost / cost, COST_RATIO, "");
	if (isfinite(forwarded))
		print_verdict("share forwarded, at most the least with an equal tail",
			      f[0].forwarded, forwarded, "");
	else
		printf("    share forwarded %.4f: no baseline with an equal tail\n",
		       f[0].forwarded);
	print_verdict("retries per request", f[0].retries, RETRIES_MAX, "");
	print_verdict("first class shed while a lower one was admitted",
		      (double)f[0].priority_inversions, 0, "");
}

static void run_row(const row_t *row, uint64_t seed)
{
	arrival_t *lists[SEEDS];
	size_t n[SEEDS];
	figures_t f[POLICIES];

	printf("\n%s\n", row->name);
	printf("  %-18s %20s | %20s | %20s |%5s %7s %6s %19s %6s\n", "ms to first token",
	       "reservation 50/99/99.9", "short 50/99/99.9", "long 50/99/99.9", "+-", "cost", "fwd",
	       "sheds by class", "retry");
	for (int i = 0; i < SEEDS; i++)
		lists[i] = workload_make(row, seed + (uint64_t)i, &n[i]);
	for (size_t i = 0; i < POLICIES; i++) {
		measure(row, policies[i], lists, n, seed, &f[i]);
		print_line(policies[i]->name, &f[i]);
	}
	print_verdicts(row, f);
	for (int i = 0; i < SEEDS; i++)
		free(lists[i]);
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;

	for (size_t i = 0; i < ROWS; i++) {
		if (only && *only && !strstr(rows[i].name, only))
			continue;
		run_row(&rows[i], seed);
	}
	return 0;
}
