/* Questions to the entry that made a claim: it is gone, paused, busy, or messages go astray. */
#include "claim_world.h"

static const struct {
	const char *name;
	net_fault_t net;
	bool hold;	  /* the owner's call has not ended */
	bool paused;	  /* the owner takes no messages */
	ap_outcome_t end; /* of the owner's call */
	ap_once_kind_t kind;
	ap_outcome_t outcome;
	bool answer;
} asks[] = {
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
	{"doubled", NET_DOUBLED, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED,
	 AP_OUTCOME_COMPLETED, true},
	{"late", NET_LATE, false, false, AP_OUTCOME_COMPLETED, AP_ONCE_USED, AP_OUTCOME_UNKNOWN,
	 false},
};

static void test_the_owner_of_a_claim_is_asked(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(asks) / sizeof(asks[0]); i++) {
		claim_world_t *b = start();

		print_message("case: %s\n", asks[i].name);
		b->hold = asks[i].hold;
		b->end = asks[i].end;
		use(b, 0, 1);
		run(b, 100 * AP_MSEC);
		b->net = asks[i].net;
		b->paused[0] = asks[i].paused;
		assert_int_equal(use(b, 1, 1), AP_ONCE_PENDING);
		assert_int_equal(use(b, 1, 1), AP_ONCE_RUNNING);
		/* Store, question and answer; a tick of the bench comes on top. */
		run(b, 300 * AP_MSEC);
		assert_int_equal(b->last, asks[i].kind);
		assert_int_equal(b->last_outcome, asks[i].outcome);
		assert_int_equal(b->stored_responses, asks[i].answer);
		/* What comes late or twice changes nothing, and the owner can be asked again. */
		run(b, 3 * AP_SEC);
		assert_int_equal(b->stored_responses, asks[i].answer);
		b->net = NET_OK;
		use(b, 1, 1);
		run(b, 300 * AP_MSEC);
		if (asks[i].end == AP_OUTCOME_COMPLETED && !asks[i].hold && !asks[i].paused)
			assert_int_equal(b->stored_responses, asks[i].answer + 1);
		assert_int_equal(b->goes, asks[i].hold ? 0 : 1);
		assert_int_equal(b->broken + b->program, 0);
		stop(b);
	}
}

/* Who hangs up while the owner is asked leaves nothing behind. */
static void test_a_question_may_be_cancelled(void **state)
{
	claim_world_t *b = start();

	(void)state;
	use(b, 0, 1);
	run(b, 100 * AP_MSEC);
	b->net = NET_LOST;
	use(b, 1, 1);
	run(b, 50 * AP_MSEC);
	b->last = AP_ONCE_REFUSED;
	ap_claims_cancel(b->claims[1], b->last_token * 1000000 + 12, b->now);
	run(b, AP_SEC);
	assert_int_equal(b->last, AP_ONCE_REFUSED);
	b->net = NET_OK;
	use(b, 1, 1);
	run(b, AP_SEC);
	assert_int_equal(b->stored_responses, 1);
	stop(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_the_owner_of_a_claim_is_asked),
		cmocka_unit_test(test_a_question_may_be_cancelled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
