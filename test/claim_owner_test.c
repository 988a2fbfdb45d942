/*
 * Queries to the owner of a claim, the instance that made it: the owner is gone, paused or still
 * running the call, or messages are lost, duplicated or late.
 */
#include "claim_world.h"

static const struct {
	const char *name;
	net_fault_t net;
	bool hold;	  /* the owner's call has not ended */
	bool paused;	  /* the owner receives no messages */
	ap_outcome_t end; /* outcome of the owner's call */
	ap_once_verdict_kind_t kind;
	ap_outcome_t outcome;
	bool response;
} cases[] = {
	{"ended", NET_OK, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED, AP_OUTCOME_COMPLETED,
	 true},
	{"in progress", NET_OK, true, false, AP_OUTCOME_COMPLETED, AP_ONCE_RUNNING,
	 AP_OUTCOME_UNKNOWN, false},
	{"did not run", NET_OK, false, false, AP_OUTCOME_NOT_RUN, AP_ONCE_NOT_RUN,
	 AP_OUTCOME_NOT_RUN, false},
	{"outcome not known", NET_OK, false, false, AP_OUTCOME_UNKNOWN, AP_ONCE_USED,
	 AP_OUTCOME_UNKNOWN, false},
	{"owner gone", NET_NO_PEERS, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED,
	 AP_OUTCOME_UNKNOWN, false},
	{"owner paused", NET_OK, false, true, AP_OUTCOME_COMPLETED, AP_ONCE_USED,
	 AP_OUTCOME_UNKNOWN, false},
	{"first message lost", NET_FIRST_LOST, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED,
	 AP_OUTCOME_COMPLETED, true},
	{"all lost", NET_LOST, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED, AP_OUTCOME_UNKNOWN,
	 false},
	{"duplicated", NET_DUPLICATED, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED,
	 AP_OUTCOME_COMPLETED, true},
	{"late", NET_LATE, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED, AP_OUTCOME_UNKNOWN,
	 false},
};

static void test_the_owner_of_a_claim_is_queried(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		claim_world_t *w = start();

		print_message("case: %s\n", cases[i].name);
		w->hold = cases[i].hold;
		w->end = cases[i].end;
		use(w, 0, 1);
		run(w, 100 * AP_MSEC);
		w->net = cases[i].net;
		w->paused[0] = cases[i].paused;
		assert_int_equal(use(w, 1, 1), AP_ONCE_PENDING);
		assert_int_equal(use(w, 1, 1), AP_ONCE_RUNNING);
		/* Time for the store, the query, its response and one tick of the simulation. */
		run(w, 300 * AP_MSEC);
		assert_int_equal(w->last, cases[i].kind);
		assert_int_equal(w->last_outcome, cases[i].outcome);
		assert_int_equal(w->stored_responses, cases[i].response);
		/* Late or duplicate messages change nothing, and the owner can be queried again. */
		run(w, 3 * AP_SEC);
		assert_int_equal(w->stored_responses, cases[i].response);
		w->net = NET_OK;
		use(w, 1, 1);
		run(w, 300 * AP_MSEC);
		if (cases[i].end == AP_OUTCOME_COMPLETED && !cases[i].hold && !cases[i].paused)
			assert_int_equal(w->stored_responses, cases[i].response + 1);
		assert_int_equal(w->dispatched, cases[i].hold ? 0 : 1);
		assert_int_equal(w->oracle_violations + w->invariant_violations, 0);
		stop(w);
	}
}

/* A caller that closes its connection during a query gets no verdict and leaves no record. */
static void test_a_query_may_be_cancelled(void **state)
{
	claim_world_t *w = start();

	(void)state;
	use(w, 0, 1);
	run(w, 100 * AP_MSEC);
	w->net = NET_LOST;
	use(w, 1, 1);
	run(w, 50 * AP_MSEC);
	w->last = AP_ONCE_REFUSED;
	ap_claims_cancel(w->claims[1], w->last_token * 1000000 + 12, w->now);
	run(w, AP_SEC);
	assert_int_equal(w->last, AP_ONCE_REFUSED);
	w->net = NET_OK;
	use(w, 1, 1);
	run(w, AP_SEC);
	assert_int_equal(w->stored_responses, 1);
	stop(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_the_owner_of_a_claim_is_queried),
		cmocka_unit_test(test_a_query_may_be_cancelled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
