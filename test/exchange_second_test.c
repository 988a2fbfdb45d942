/* Second attempts beside one that is slow to respond, as decisions of one exchange. */
#include "exchange_world.h"

#define SLOW (60 * AP_MSEC)
#define FIRST "id: 1\ndata: a\n\n"
#define REST "id: 2\ndata: b\n\n"

/* Begins a request, and lets the first upstream be slow. */
static void be_slow(world_t *w, ap_kind_t kind, bool resumable, unsigned attempts)
{
	w->slow_after = SLOW;
	begin(w, kind, resumable, attempts);
	run_to(w, START + SLOW);
}

static void respond(world_t *w, int i)
{
	head_of(w, i, 200);
	data_of(w, i, "body");
	end_of(w, i, AP_CONNECTION_COMPLETE);
}

static void the_first_response_is_taken_and_the_other_attempt_cancelled(void **state)
{
	(void)state;
	for (int winner = 0; winner < 2; winner++) {
		world_t w = {0};

		be_slow(&w, AP_KIND_IDEMPOTENT, false, 2);
		assert_int_equal(w.n_sent, 2);
		assert_string_equal(w.sent[1], "u1");
		assert_int_equal(w.elapsed, SLOW);
		assert_true(w.step_logged[AP_STEP_SECOND]);
		assert_false(w.step_logged[AP_STEP_RETRIED]);
		respond(&w, winner);
		assert_true(w.ended);
		assert_string_equal(w.body, "body");
		assert_int_equal(w.dropped, 1);
		/* A slow upstream has not failed. */
		assert_int_equal(w.ends[0], winner ? AP_DISPATCH_SLOWER : AP_DISPATCH_CANCELLED);
		finish(&w);
	}
}

/* Guards against upstreams that fall silent and are never ejected, as another one responds. */
static void a_target_that_is_silent_for_long_has_failed(void **state)
{
	world_t w = {0};

	(void)state;
	be_slow(&w, AP_KIND_IDEMPOTENT, false, 2);
	run_to(&w, START + AP_SEC);
	respond(&w, 1);
	assert_int_equal(w.ends[0], AP_DISPATCH_TIMED_OUT);
	finish(&w);
}

static void the_first_one_outlives_a_refusal_and_a_failure_of_the_second(void **state)
{
	(void)state;
	for (int how = 0; how < 4; how++) {
		world_t w = {0};

		be_slow(&w, AP_KIND_IDEMPOTENT, false, 2);
		if (how == 0) {
			refuse(&w, 503);
		} else if (how == 1) {
			end(&w, AP_CONNECTION_UNSENT);
		} else if (how == 2) {
			end(&w, AP_CONNECTION_BROKEN);
		} else {
			head(&w, 500);
			end(&w, AP_CONNECTION_COMPLETE);
		}
		assert_false(w.x.finished);
		assert_int_equal(w.n_sent, 2); /* and no third one is sent for it */
		respond(&w, 0);
		assert_true(w.ended);
		finish(&w);
	}
}

static void the_second_one_outlives_a_failure_of_the_first(void **state)
{
	world_t w = {0};

	(void)state;
	be_slow(&w, AP_KIND_IDEMPOTENT, false, 2);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	assert_false(w.x.finished);
	respond(&w, 1);
	assert_true(w.ended);
	finish(&w);
}

static void when_both_fail_the_caller_gets_what_a_retry_would_have_got(void **state)
{
	(void)state;
	for (int slow = 0; slow < 2; slow++) {
		world_t w = {.slow_after = slow ? SLOW : 0};

		begin(&w, AP_KIND_IDEMPOTENT, false, 2);
		run_to(&w, START + SLOW);
		end_of(&w, 0, AP_CONNECTION_BROKEN);
		assert_int_equal(w.n_sent, 2);
		end_of(&w, 1, AP_CONNECTION_BROKEN);
		assert_int_equal(w.status, 502);
		finish(&w);
	}
}

/* Returns how many second attempts are considered within a second. */
static int considered(world_t *w, ap_kind_t kind, bool resumable, unsigned attempts)
{
	be_slow(w, kind, resumable, attempts);
	run_to(w, START + 120 * AP_MSEC);
	return w->seconds;
}

static void what_may_run_once_is_never_sent_twice(void **state)
{
	static const struct {
		ap_kind_t kind;
		bool resumable;
		unsigned attempts;
		int seconds;
	} cases[] = {
		{AP_KIND_IDEMPOTENT, false, 2, 1},
		{AP_KIND_IDEMPOTENT, false, 1, 0},
		{AP_KIND_ONCE, false, 3, 0},
		{AP_KIND_STREAM, false, 3, 0},
		{AP_KIND_STREAM, true, 1, 0},
		/* One is kept to go on elsewhere. */
		{AP_KIND_STREAM, true, 2, 0},
		{AP_KIND_STREAM, true, 3, 1},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		world_t w = {0};

		assert_int_equal(
			considered(&w, cases[i].kind, cases[i].resumable, cases[i].attempts),
			cases[i].seconds);
		assert_int_equal(w.n_sent, 1 + cases[i].seconds);
		finish(&w);
	}
}

static void a_response_that_has_begun_gets_no_second_attempt(void **state)
{
	world_t w = {.slow_after = SLOW};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 3);
	head(&w, 200);
	data(&w, FIRST);
	run_to(&w, START + 120 * AP_MSEC);
	assert_int_equal(w.seconds, 0);
	finish(&w);

	w = (world_t){.slow_after = SLOW};
	begin(&w, AP_KIND_IDEMPOTENT, false, 3);
	head(&w, 200);
	run_to(&w, START + 120 * AP_MSEC);
	assert_int_equal(w.seconds, 0);
	finish(&w);

	/* The caller has a part of it already. */
	w = (world_t){.slow_after = SLOW, .resumes = "4"};
	assert_int_equal(considered(&w, AP_KIND_STREAM, true, 3), 0);
	finish(&w);
}

/* Guards against an upstream that the silent one's retry can't use, as it was denied before. */
static void one_that_is_denied_leaves_the_request_as_it_was(void **state)
{
	(void)state;
	for (int slow = 0; slow < 2; slow++) {
		world_t w = {.slow_after = slow ? SLOW : 0, .no_second = true, .targets = 1};

		begin(&w, AP_KIND_IDEMPOTENT, false, 2);
		run_to(&w, START + 120 * AP_MSEC);
		assert_int_equal(w.seconds, slow);
		assert_int_equal(w.n_sent, 1);
		assert_int_equal(w.x.req.n_avoid, 0);
		assert_int_equal(w.budget, 10);
		respond(&w, 0);
		assert_true(w.ended);
		finish(&w);
	}
}

static void without_another_target_the_driver_is_told_so(void **state)
{
	world_t w = {.targets = 1};

	(void)state;
	assert_int_equal(considered(&w, AP_KIND_IDEMPOTENT, false, 2), 1);
	assert_string_equal(w.second, "");
	assert_int_equal(w.n_sent, 1);
	finish(&w);
}

static void a_stream_goes_to_the_one_that_accepts_it(void **state)
{
	world_t w = {0};

	(void)state;
	be_slow(&w, AP_KIND_STREAM, true, 3);
	assert_int_equal(w.n_sent, 2);
	head_of(&w, 1, 200);
	assert_int_equal(w.dropped, 0);
	run_to(&w, START + SLOW + 100 * AP_MSEC);
	assert_int_equal(w.dropped, 1);
	assert_int_equal(w.ends[0], AP_DISPATCH_SLOWER);
	data_of(&w, 1, FIRST REST);
	end_of(&w, 1, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, FIRST REST);
	finish(&w);
}

/* Guards against two upstreams that work on a stream for 400 ms. */
static void one_that_does_not_accept_a_stream_soon_is_cancelled(void **state)
{
	world_t w = {0};

	(void)state;
	be_slow(&w, AP_KIND_STREAM, true, 3);
	run_to(&w, START + SLOW + 249 * AP_MSEC);
	assert_int_equal(w.dropped, 0);
	run_to(&w, START + SLOW + 250 * AP_MSEC);
	assert_int_equal(w.dropped, 1);
	assert_int_equal(w.ends[0], AP_DISPATCH_CANCELLED);
	head_of(&w, 0, 200);
	data_of(&w, 0, FIRST);
	end_of(&w, 0, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_first_response_is_taken_and_the_other_attempt_cancelled),
		cmocka_unit_test(a_target_that_is_silent_for_long_has_failed),
		cmocka_unit_test(the_first_one_outlives_a_refusal_and_a_failure_of_the_second),
		cmocka_unit_test(the_second_one_outlives_a_failure_of_the_first),
		cmocka_unit_test(when_both_fail_the_caller_gets_what_a_retry_would_have_got),
		cmocka_unit_test(what_may_run_once_is_never_sent_twice),
		cmocka_unit_test(a_response_that_has_begun_gets_no_second_attempt),
		cmocka_unit_test(one_that_is_denied_leaves_the_request_as_it_was),
		cmocka_unit_test(without_another_target_the_driver_is_told_so),
		cmocka_unit_test(a_stream_goes_to_the_one_that_accepts_it),
		cmocka_unit_test(one_that_does_not_accept_a_stream_soon_is_cancelled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
