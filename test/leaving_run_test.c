/*
 * Upstreams that say in their responses that they leave. An instance that such a response told
 * sends the upstream nothing later than three seconds after it, whatever it reads in the store, and
 * goes on with the others. Options as of cold_run_test.
 */
#include "region_faults.h"

#define AFTER (30 * AP_SEC) /* until the last upstream that leaves was replaced */

/* Each upstream that stays gets requests. */
static void check_others_serve(sw_t *w)
{
	unsigned before[SW_REPLICAS];

	for (int i = 0; i < SW_REPLICAS; i++)
		before[i] = w->replicas[i].all_arrivals;
	fake_run(&w->sim, w->sim.now + 4 * AP_SEC);
	for (int i = 0; i < SW_REPLICAS; i++) {
		if (w->replicas[i].up && !w->replicas[i].leaving)
			assert_true(w->replicas[i].all_arrivals > before[i]);
	}
}

/* Returns how many requests were sent too late. */
static unsigned play(uint64_t seed, int faults)
{
	sw_t *w = sw_new(seed);
	unsigned late;

	w->verbose = verbose;
	schedule(w, faults);
	fake_run(&w->sim, w->sim.now + WARMUP_TIME + RUN_TIME);
	print_message("seed %llu: %u requests, %u instances were told, %u requests later than %d s "
		      "after it\n",
		      (unsigned long long)seed, w->sent, w->told_leaving, w->sent_leaving,
		      (int)(SW_DRAIN_TIME / AP_SEC));
	assert_true(w->told_leaving > 0);
	fake_run(&w->sim, w->sim.now + AFTER);
	check_others_serve(w);
	late = w->sent_leaving;
	sw_free(w);
	return late;
}

static void play_seeds(int faults)
{
	unsigned failed = 0;

	if (one_seed) {
		assert_int_equal(play(one_seed, one_faults ? one_faults : faults), 0);
		return;
	}
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		failed += play(seed, faults) > 0;
	assert_int_equal(failed, 0);
}

/*
 * Guards against instances that learn from the store alone that an upstream leaves (incident of
 * 2026-12-04, DRAIN).
 */
static void an_upstream_that_said_it_leaves_gets_no_more_requests(void **state)
{
	(void)state;
	play_seeds(FAULT_LEAVE);
}

/* Guards against an older record of the store that hides what a response said. */
static void it_gets_none_while_the_store_is_away_or_goes_back(void **state)
{
	(void)state;
	play_seeds(FAULT_LEAVE | FAULT_CUT | FAULT_RESTORE);
	play_seeds(FAULT_LEAVE | FAULT_RESTORE | FAULT_REPLACE | FAULT_EVACUATE);
}

static void it_gets_none_from_isolated_instances_or_while_others_restart(void **state)
{
	(void)state;
	play_seeds(FAULT_LEAVE | FAULT_ALONE | FAULT_RESTART | FAULT_RESTORE);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_upstream_that_said_it_leaves_gets_no_more_requests),
		cmocka_unit_test(it_gets_none_while_the_store_is_away_or_goes_back),
		cmocka_unit_test(it_gets_none_from_isolated_instances_or_while_others_restart),
	};

	read_options(argc, argv);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
