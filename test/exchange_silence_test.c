/* Streams whose upstream is sound but sends nothing for a while. */
#include "exchange_world.h"

#define FIRST "id: 1\ndata: a\n\n"
#define REST "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"

/* Begins a resumable stream at u0, which falls silent after the first event. */
static void fall_silent(world_t *w, unsigned attempts)
{
	begin(w, AP_KIND_STREAM, true, attempts);
	head(w, 200);
	data(w, FIRST);
	w->now += w->route.event_gap;
	ap_exchange_tick(&w->x, w->now);
}

/* Plays the rest of the response of the first upstream and checks that the caller has it whole. */
static void first_goes_on(world_t *w)
{
	w->now += 100 * AP_MSEC;
	data_of(w, 0, REST);
	end_of(w, 0, AP_CONNECTION_COMPLETE);
	assert_true(w->ended);
	assert_false(w->aborted);
	assert_string_equal(w->body, FIRST REST);
}

/* Guards against callers that are cut off because the upstream that should go on refuses. */
static void a_silent_stream_outlives_the_refusal_of_another_upstream(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, 2);
	assert_int_equal(w.n_sent, 2);
	assert_string_equal(w.last_event[1], "1");
	w.targets = 0;
	refuse(&w, 503);
	assert_false(w.x.finished);
	first_goes_on(&w);
	finish(&w);
}

/* Guards against callers that are cut off because the other upstream breaks off or fails. */
static void a_silent_stream_outlives_the_failure_of_another_upstream(void **state)
{
	(void)state;
	for (int how = 0; how < 2; how++) {
		world_t w = {0};

		fall_silent(&w, 2);
		if (how == 0) {
			end(&w, AP_CONNECTION_BROKEN);
		} else {
			head(&w, 500);
			end(&w, AP_CONNECTION_COMPLETE);
		}
		assert_false(w.x.finished);
		first_goes_on(&w);
		finish(&w);
	}
}

/* Guards against an upstream that is given up though it goes on before the other one begins. */
static void the_upstream_that_goes_on_first_serves_the_stream(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, 2);
	head(&w, 200);
	first_goes_on(&w);
	assert_int_equal(w.dropped, 1); /* of the other one */
	finish(&w);

	w = (world_t){0};
	fall_silent(&w, 2);
	assert_int_equal(w.dropped, 0);
	head(&w, 200);
	data(&w, REST);
	assert_int_equal(w.dropped, 1);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, FIRST REST);
	finish(&w);
}

/* Guards against more runs than the route allows while two upstreams hold the request. */
static void two_upstreams_at_once_count_as_two_attempts(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, 2);
	for (int i = 0; i < 3; i++) {
		w.now += 2 * w.route.event_gap / 3;
		ap_exchange_tick(&w.x, w.now);
	}
	assert_int_equal(w.n_sent, 2);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 2);
	assert_false(w.x.finished);
	head(&w, 200);
	data(&w, REST);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_string_equal(w.body, FIRST REST);
	finish(&w);
}

/* Guards against plain requests that fail because the upstream that was tried instead refuses. */
static void a_silent_plain_request_outlives_the_refusal_of_another_upstream(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	w.targets = 0;
	refuse(&w, 503);
	assert_int_equal(w.status, 0);
	head_of(&w, 0, 200);
	data_of(&w, 0, "late");
	end_of(&w, 0, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, "late");
	finish(&w);
}

/*
 * Guards against moves to an upstream that fell silent together with the first one, a moment after
 * its last event.
 */
static void another_upstream_must_have_responded_lately(void **state)
{
	world_t w = {.targets = 2};

	(void)state;
	fall_silent(&w, 2);
	assert_int_equal(w.heard_since, START + w.route.event_gap / 2);
	refuse(&w, 503);
	assert_int_equal(w.heard_since, START + w.route.event_gap / 2);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	assert_int_equal(w.heard_since, 0); /* it isn't silent but gone */
	finish(&w);
}

/* Guards against sound streams that are moved because their callers read slowly. */
static void a_paused_stream_is_not_silent(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, FIRST);
	ap_exchange_pause(&w.x, true, w.now);
	w.now += 2 * w.route.event_gap;
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 1);
	ap_exchange_pause(&w.x, false, w.now);
	w.now += w.route.event_gap - 1;
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 1);
	w.now += 1;
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	finish(&w);
}

/* Guards against requests that are sent elsewhere when their time is over. */
static void a_silence_after_the_timeout_sends_nothing(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	w.now = w.x.timeout_at + AP_MSEC - w.route.event_gap;
	data(&w, FIRST);
	w.now += w.route.event_gap;
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 1);
	assert_true(ap_exchange_due(&w.x) > w.now);
	finish(&w);
}

/* Guards against a request that is sent to one more upstream while its response is complete. */
static void a_refusal_during_a_check_sends_nothing(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, 2);
	end_of(&w, 0, AP_CONNECTION_COMPLETE_ON_CLOSE);
	assert_int_equal(w.checks, 1);
	refuse(&w, 503);
	assert_int_equal(w.n_sent, 2);
	ap_exchange_checked(&w.x, w.slot[0], false, w.now);
	assert_true(w.ended);
	finish(&w);
}

/* Guards against sends for a caller that reads slowly, whose upstreams aren't read from. */
static void a_refusal_during_a_pause_sends_nothing(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, 2);
	ap_exchange_pause(&w.x, true, w.now);
	refuse(&w, 503);
	assert_int_equal(w.n_sent, 2);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_silence_after_the_timeout_sends_nothing),
		cmocka_unit_test(a_refusal_during_a_check_sends_nothing),
		cmocka_unit_test(a_refusal_during_a_pause_sends_nothing),
		cmocka_unit_test(a_silent_stream_outlives_the_refusal_of_another_upstream),
		cmocka_unit_test(a_silent_stream_outlives_the_failure_of_another_upstream),
		cmocka_unit_test(the_upstream_that_goes_on_first_serves_the_stream),
		cmocka_unit_test(two_upstreams_at_once_count_as_two_attempts),
		cmocka_unit_test(a_silent_plain_request_outlives_the_refusal_of_another_upstream),
		cmocka_unit_test(another_upstream_must_have_responded_lately),
		cmocka_unit_test(a_paused_stream_is_not_silent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
