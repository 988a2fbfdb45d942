/*
 * Upstreams that name a limit in their responses. All instances that were told, together, send such
 * an upstream no more than one and a half times what its limit allows and five requests, in any
 * four seconds. Options as of cold_run_test.
 */
#include "region_faults.h"

#define LIMIT_FROM (WARMUP_TIME + 2 * AP_SEC)
#define LIMIT_TIME (22 * AP_SEC)
#define LIMITED 2 /* upstreams */

static void name_limits(void *arg, void *data)
{
	static const double limits[] = {1, 1.4, 2.3, 5};
	fault_t *f = data;
	sw_t *w = f->w;

	(void)arg;
	for (int i = 0; i < LIMITED; i++) {
		sw_replica_t *r = &w->replicas[i];
		double limit = limits[ap_rng_below(&w->sim.rng, 4)];

		note(w, "upstream names a limit", i);
		sw_replica_limit(w, r, limit);
	}
}

static void end_limits(void *arg, void *data)
{
	fault_t *f = data;

	(void)arg;
	for (int i = 0; i < LIMITED; i++) {
		note(f->w, "upstream names no limit", i);
		sw_replica_limit(f->w, &f->w->replicas[i], -1);
	}
}

/* Returns the highest ratio of the requests in four seconds to their bound. */
static double play(uint64_t seed, int faults)
{
	sw_t *w = sw_new(seed);
	fault_t f = {.w = w};
	unsigned arrived[LIMITED];
	unsigned until_end;
	double worst;

	w->verbose = verbose;
	schedule(w, faults);
	later(w, LIMIT_FROM, name_limits, &f);
	later(w, LIMIT_FROM + LIMIT_TIME, end_limits, &f);
	fake_run(&w->sim, WORLD_START + LIMIT_FROM + LIMIT_TIME);
	until_end = w->sent_limited;
	worst = w->worst_limited;
	/* Once a response names no limit, the upstream is used as before. */
	fake_run(&w->sim, w->sim.now + 4 * AP_SEC);
	for (int i = 0; i < LIMITED; i++)
		arrived[i] = w->replicas[i].all_arrivals;
	fake_run(&w->sim, w->sim.now + 4 * AP_SEC);
	for (int i = 0; i < LIMITED; i++)
		assert_true(w->replicas[i].all_arrivals - arrived[i] > 1.5 * 4 * 5 + 5);
	print_message("seed %llu: %u requests, %u to upstreams with a limit, at most %.2f of the "
		      "bound\n",
		      (unsigned long long)seed, w->sent, until_end, worst);
	assert_true(until_end > 0);
	sw_free(w);
	return worst;
}

static void play_seeds(int faults)
{
	unsigned failed = 0;

	if (one_seed) {
		assert_true(play(one_seed, one_faults ? one_faults : faults) <= 1);
		return;
	}
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		failed += play(seed, faults) > 1;
	assert_int_equal(failed, 0);
}

/*
 * Guards against instances that take no notice of the limit: 69 requests in four seconds where 11
 * were allowed (incident of 2026-12-04, LIMIT).
 */
static void limits_hold_summed_over_all_instances(void **state)
{
	(void)state;
	play_seeds(0);
}

/* Guards against a limit that holds only while all instances agree on who may send. */
static void limits_hold_while_instances_restart_or_lose_the_store(void **state)
{
	(void)state;
	play_seeds(FAULT_RESTART | FAULT_CUT);
	play_seeds(FAULT_RESTART | FAULT_CUT | FAULT_RESTORE | FAULT_ALONE);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limits_hold_summed_over_all_instances),
		cmocka_unit_test(limits_hold_while_instances_restart_or_lose_the_store),
	};

	read_options(argc, argv);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
