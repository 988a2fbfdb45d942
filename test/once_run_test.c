/*
 * Long randomised runs of permits with all faults at once. The library asserts its invariants, and
 * an oracle in the simulation counts how often the service ran each call. Then each rule is broken
 * on purpose, and the oracle must detect it. `once_run_test --seed N` runs that seed for longer.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "once_world.h"

static const world_rates_t fault_rates = {
	.loss = 0.03,
	.duplicate = 0.05,
	.late = 0.01,
	.delay = 2 * AP_MSEC,
	.late_delay = 3 * AP_SEC,
	.pause_every = 2 * AP_SEC,
	.pause = 500 * AP_MSEC,
	.crash_every = 5 * AP_SEC,
	.restart = 2 * AP_SEC,
	.cut_every = 20 * AP_SEC,
	.cut = 3 * AP_SEC,
	.drain_every = 15 * AP_SEC,
	.service = 30 * AP_MSEC,
	.stale = 0.2,
	.refuse = 0.02,
	.reuse = 0.4,
	.elsewhere = 0.2,
};

/* Short times, so that permits expire and records are deleted within a run. */
static ap_once_limits_t short_limits(void)
{
	ap_once_limits_t limits = ap_once_default_limits;

	limits.ttl = 4 * AP_SEC;
	limits.keep = 10 * AP_SEC;
	limits.begin_ack_wait = 50 * AP_MSEC;
	limits.query_wait = 50 * AP_MSEC;
	limits.probe_every = 500 * AP_MSEC;
	limits.responses_max = 500;
	return limits;
}

static void run_seed(world_t *w, uint64_t seed, ap_usec_t length)
{
	w->rates = fault_rates;
	w->limits = short_limits();
	w->n_south = 3;
	world_start(w, seed, 9);
	world_run_clients(w, length, 2 * AP_MSEC);
	world_run(w, w->now + 20 * AP_SEC);
}

static void print_run(const world_t *w, uint64_t seed)
{
	print_message("seed %llu: %llu events, %zu permits; go %llu, used %llu, not-run %llu, "
		      "unknown %llu, running %llu, forwarded %llu\n",
		      (unsigned long long)seed, (unsigned long long)w->events, w->n_calls,
		      (unsigned long long)w->verdicts[AP_ONCE_DISPATCH],
		      (unsigned long long)w->verdicts[AP_ONCE_USED],
		      (unsigned long long)w->verdicts[AP_ONCE_NOT_RUN],
		      (unsigned long long)w->verdicts[AP_ONCE_UNKNOWN],
		      (unsigned long long)w->verdicts[AP_ONCE_RUNNING],
		      (unsigned long long)w->verdicts[AP_ONCE_FORWARD]);
}

static uint64_t check_seed(uint64_t seed, ap_usec_t length)
{
	world_t w = {0};
	uint64_t events;

	run_seed(&w, seed, length);
	print_run(&w, seed);
	if (w.first_violation)
		print_message("seed %llu: %s\n", (unsigned long long)seed, w.first_violation);
	events = w.events;
	/* The faults must have led to unknown and not-run outcomes, or the run checks nothing. */
	assert_true(w.verdicts[AP_ONCE_UNKNOWN] > 0 && w.verdicts[AP_ONCE_NOT_RUN] > 0);
	assert_true(w.verdicts[AP_ONCE_DISPATCH] > w.n_calls / 2);
	assert_int_equal(w.verdicts[AP_ONCE_REFUSED], 0);
	assert_true(w.verdicts[AP_ONCE_WRONG_REGION] > 0);
	assert_int_equal(w.invariant_violations, 0);
	assert_int_equal(w.oracle_violations, 0);
	world_free(&w);
	return events;
}

static void test_a_million_events_break_no_rule(void **state)
{
	uint64_t events = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++)
		events += check_seed(seed, 65 * AP_SEC);
	print_message("%llu events in all\n", (unsigned long long)events);
	assert_true(events >= 1000000);
}

/* Witness that acknowledges permits which it has closed. */
static bool acknowledge_always(world_t *w, unsigned from, unsigned to, ap_once_msg_t *msg)
{
	(void)w;
	(void)from;
	(void)to;
	if (msg->kind == AP_ONCE_MSG_BEGIN_DENIED)
		msg->kind = AP_ONCE_MSG_BEGIN_ACK;
	return true;
}

/* Witness that reports a begun permit as not run. */
static bool report_begun_as_not_run(world_t *w, unsigned from, unsigned to, ap_once_msg_t *msg)
{
	(void)w;
	(void)from;
	(void)to;
	if (msg->kind == AP_ONCE_MSG_QUERY_RESPONSE && msg->verdict == AP_ONCE_UNKNOWN)
		msg->verdict = AP_ONCE_NOT_RUN;
	return true;
}

/* Handover without its records. */
static bool drop_handover_items(world_t *w, unsigned from, unsigned to, ap_once_msg_t *msg)
{
	(void)w;
	(void)from;
	(void)to;
	if (msg->kind == AP_ONCE_MSG_HANDOVER)
		msg->n_items = 0;
	return true;
}

/* Response that is stored for another permit. */
static bool swap_responses(world_t *w, unsigned from, unsigned to, ap_once_msg_t *msg)
{
	static const size_t other = SIZE_MAX;

	(void)w;
	(void)from;
	(void)to;
	if (msg->kind == AP_ONCE_MSG_DONE && msg->len > 0)
		msg->response = &other;
	return true;
}

static void test_each_broken_rule_is_detected(void **state)
{
	static const struct {
		const char *name;
		bool (*tamper)(world_t *w, unsigned from, unsigned to, ap_once_msg_t *msg);
		bool by_invariant; /* an invariant inside the library must detect it too */
		bool reuse_incarnation;
	} cases[] = {
		{"acknowledges after closing", acknowledge_always, true, false},
		{"reports a begun permit as not run", report_begun_as_not_run, false, false},
		{"hands over no record", drop_handover_items, false, false},
		{"stores another permit's response", swap_responses, false, false},
		{"uses an incarnation twice", NULL, false, true},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		world_t w = {.tamper = cases[i].tamper,
			     .reuse_incarnation = cases[i].reuse_incarnation};

		run_seed(&w, 1, 65 * AP_SEC);
		print_message("%s: violations by oracle %u, by invariants %u (%s)\n", cases[i].name,
			      w.oracle_violations, w.invariant_violations,
			      w.first_violation ? w.first_violation : "not detected");
		assert_true(w.oracle_violations > 0);
		if (cases[i].by_invariant)
			assert_true(w.invariant_violations > 0);
		world_free(&w);
	}
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_million_events_break_no_rule),
		cmocka_unit_test(test_each_broken_rule_is_detected),
	};

	if (argc == 3 && strcmp(argv[1], "--seed") == 0) {
		check_seed(strtoull(argv[2], NULL, 10), 600 * AP_SEC);
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
