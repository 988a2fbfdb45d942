/*
 * A request that crashes what runs it and comes again, with the same caller, path and body, at any
 * instance. Once three upstreams have ended by it, and five seconds have passed, all instances
 * together send it no more than three times. Sound requests go on, whatever upstreams suffer.
 * Options as of crash_run_test.
 */
#include "crash_faults.h"

/* Plays a day with the deadly request. Return: whether all bounds held. */
static bool play(uint64_t seed, int faults, int per_region, cw_kind_t kind)
{
	cw_t *w = begin(seed, faults, per_region);

	w->bad_kind = kind;
	w->ends_allowed = CW_DEADLY_ENDS_ALLOWED;
	w->plain_rate = 20;
	return play_day(w, seed, faults);
}

static void play_seeds(int faults, int per_region, cw_kind_t kind)
{
	unsigned failed = 0;

	if (one_seed) {
		assert_true(
			play(one_seed, one_faults >= 0 ? one_faults : faults, per_region, kind));
		return;
	}
	for (uint64_t seed = 1; seed <= seeds; seed++)
		failed += !play(seed, faults, per_region, kind);
	assert_int_equal(failed, 0);
}

/*
 * Guards against ends of a plain service's upstreams that count against nobody: 16 to 28 ended in a
 * day (incident of 2026-12-04, BUDGET).
 */
static void a_plain_request_that_crashes_upstreams_is_sent_no_more(void **state)
{
	(void)state;
	play_seeds(0, 3, CW_DEADLY_PLAIN);
	play_seeds(0, 25, CW_DEADLY_PLAIN);
}

/*
 * Guards against a request that is known by the shared parts of its prompt only, which responses to
 * sound requests clear: 17 to 20 ended in a day (the same incident).
 */
static void a_prompt_that_crashes_engines_is_sent_no_more(void **state)
{
	(void)state;
	play_seeds(0, 3, CW_DEADLY_PROMPT);
	play_seeds(0, 25, CW_DEADLY_PROMPT);
}

static void a_request_stays_held_back_while_instances_restart_or_are_cut_off(void **state)
{
	(void)state;
	play_seeds(FAULT_RESTART | FAULT_ALONE, 3, CW_DEADLY_PLAIN);
	play_seeds(FAULT_RESTART | FAULT_ALONE, 25, CW_DEADLY_PLAIN);
	play_seeds(FAULT_RESTART | FAULT_ALONE, 3, CW_DEADLY_PROMPT);
	play_seeds(FAULT_RESTART | FAULT_ALONE, 25, CW_DEADLY_PROMPT);
}

static void a_request_is_found_among_other_failures(void **state)
{
	(void)state;
	play_seeds(FAULT_CRASH | FAULT_GREY, 3, CW_DEADLY_PROMPT);
	play_seeds(FAULT_CRASH | FAULT_MASS | FAULT_FLAP | FAULT_RESTART, 3, CW_DEADLY_PROMPT);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_plain_request_that_crashes_upstreams_is_sent_no_more),
		cmocka_unit_test(a_prompt_that_crashes_engines_is_sent_no_more),
		cmocka_unit_test(a_request_stays_held_back_while_instances_restart_or_are_cut_off),
		cmocka_unit_test(a_request_is_found_among_other_failures),
	};

	read_options(argc, argv);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
