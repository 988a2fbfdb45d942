/* What refused callers are told while upstreams want no requests. */
#include "exchange_world.h"

/*
 * Guards against callers that are told to return before any upstream wants requests, whose return
 * can't be served.
 */
static void a_caller_is_told_when_upstreams_want_requests(void **state)
{
	static const ap_usec_t pauses[] = {1 * AP_MSEC, 700 * AP_MSEC, 3 * AP_SEC, 60 * AP_SEC};

	(void)state;
	for (size_t i = 0; i < sizeof(pauses) / sizeof(pauses[0]); i++) {
		ap_usec_t told = pauses[i] < 100 * AP_MSEC ? 100 * AP_MSEC : pauses[i];
		world_t w = {.pause = pauses[i]};

		/* At once, and after the refusal of the upstream that asked for the pause. */
		begin(&w, AP_KIND_ONCE, false, 1);
		assert_int_equal(w.n_sent, 0);
		assert_int_equal(w.status, 503);
		assert_int_equal(w.reason, AP_REASON_BACKOFF);
		assert_int_equal(w.retry_after, told);
		finish(&w);
		w = (world_t){0};
		begin(&w, AP_KIND_ONCE, false, 1);
		w.pause = pauses[i];
		refuse(&w, 503);
		assert_int_equal(w.n_sent, 1);
		assert_int_equal(w.status, 503);
		assert_int_equal(w.reason, AP_REASON_REFUSED);
		assert_int_equal(w.retry_after, told);
		finish(&w);
	}
}

/* Instances say when their upstreams want requests; the soonest counts, if all of them do. */
static void a_caller_is_told_what_other_instances_say(void **state)
{
	static const struct {
		ap_usec_t said[2];
		ap_usec_t told;
	} cases[] = {
		{{2 * AP_SEC, 3 * AP_SEC}, 2 * AP_SEC},
		{{3 * AP_SEC, 2 * AP_SEC}, 2 * AP_SEC},
		{{3 * AP_SEC, 0}, 500 * AP_MSEC},
		{{0, 3 * AP_SEC}, 500 * AP_MSEC},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		world_t w = {.targets = 2};

		begin(&w, AP_KIND_ONCE, false, 1);
		for (int n = 0; n < 2; n++) {
			ap_response_head_t head = {.status = 503,
						   .refused = true,
						   .unsent = true,
						   .retry_after = cases[i].said[n]};

			ap_exchange_head(&w.x, w.slot[w.n_sent - 1], &head, w.now);
			end(&w, AP_CONNECTION_COMPLETE);
		}
		assert_int_equal(w.status, 503);
		assert_int_equal(w.retry_after, cases[i].told);
		finish(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_caller_is_told_when_upstreams_want_requests),
		cmocka_unit_test(a_caller_is_told_what_other_instances_say),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
