/* Two attempts of one request that are in flight at the same time. */
#include "exchange_world.h"

#include <stdlib.h>

#define FIRST "id: 1\ndata: a\n\n"
#define REST "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
#define LIMIT (250 * AP_MSEC) /* without data, before another target is tried */

/* Begins a resumable stream at u0, which falls silent after the first event. */
static void fall_silent(world_t *w, unsigned attempts)
{
	begin(w, AP_KIND_STREAM, true, attempts);
	head(w, 200);
	data(w, FIRST);
	w->now += w->route.event_gap;
	ap_exchange_tick(&w->x, w->now);
	assert_int_equal(w->n_sent, 2);
}

static void wait_for(world_t *w, ap_usec_t time)
{
	w->now += time;
	ap_exchange_tick(&w->x, w->now);
}

/* Guards against more runs than allowed after an attempt was replaced. */
static void a_replaced_attempt_counts_as_run(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, 2);
	head(&w, 200);
	data(&w, "id: 2\ndata: b\n\n");
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 2);
	assert_true(w.aborted);
	finish(&w);
}

/* Guards against a repeat of what broke off when its time was over. */
static void a_break_after_the_timeout_sends_nothing(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, FIRST);
	w.now = w.x.timeout_at + AP_MSEC;
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 1);
	assert_true(w.aborted);
	finish(&w);
}

/* Guards against a silent request that is kept waiting after one refusal, or tried without end. */
static void others_are_tried_while_the_first_is_silent(void **state)
{
	world_t w = {.targets = 14};

	(void)state;
	fall_silent(&w, 2);
	refuse(&w, 503);
	assert_int_equal(w.n_sent, 3);
	for (int i = 0; i < 12 && w.x.slot[w.slot[w.n_sent - 1]].in_flight; i++)
		end(&w, AP_CONNECTION_UNSENT);
	assert_int_equal(w.n_sent, 10);
	assert_false(w.x.finished);
	finish(&w);
}

/* Guards against moves to targets that are silent, too, and limits on what is no silence. */
static void only_a_silence_asks_for_a_target_that_has_responded(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, 3);
	assert_int_equal(w.heard_since, START + w.route.event_gap / 2);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 3);
	assert_int_equal(w.heard_since, 0);
	finish(&w);
}

/* Guards against a stream that ends with an error although a third target is left. */
static void a_stream_goes_on_after_an_error(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 3);
	head(&w, 200);
	data(&w, FIRST);
	end(&w, AP_CONNECTION_BROKEN);
	head(&w, 404);
	data(&w, "not here");
	end(&w, AP_CONNECTION_COMPLETE);
	assert_int_equal(w.n_sent, 3);
	head(&w, 200);
	data(&w, REST);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, FIRST REST);
	finish(&w);
}

/* Guards against an error of one target that ends a request which another one still serves. */
static void an_error_that_is_not_delivered_leaves_the_other_attempt(void **state)
{
	ap_response_head_t unproved = {.status = 404};
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	wait_for(&w, LIMIT);
	assert_int_equal(w.n_sent, 2);
	ap_exchange_head(&w.x, w.slot[1], &unproved, w.now);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_false(w.x.finished);
	head_of(&w, 0, 200);
	data_of(&w, 0, "whole");
	end_of(&w, 0, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, "whole");
	finish(&w);
}

/* Guards against an instance's close that is taken for the end: instances frame their responses. */
static void a_close_by_an_instance_is_a_break(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	w.x.slot[w.slot[0]].target.remote = true;
	w.x.slot[w.slot[0]].head.build = 7;
	ap_exchange_head(&w.x, w.slot[0], &(ap_response_head_t){.status = 200, .build = 7}, w.now);
	data(&w, FIRST);
	end(&w, AP_CONNECTION_COMPLETE_ON_CLOSE);
	assert_int_equal(w.checks, 0);
	assert_int_equal(w.n_sent, 2);
	finish(&w);
}

/* Guards against a third attempt in the slot of the second one, or before that one has had time. */
static void the_attempt_that_is_left_has_its_time(void **state)
{
	(void)state;
	for (int silent = 0; silent < 2; silent++) {
		world_t w = {0};

		if (silent) {
			fall_silent(&w, 3);
			wait_for(&w, LIMIT - 10 * AP_MSEC);
		} else {
			begin(&w, AP_KIND_STREAM, true, 3);
			head(&w, 200);
			data(&w, FIRST);
		}
		end_of(&w, 0, AP_CONNECTION_BROKEN);
		assert_int_equal(w.n_sent, 2);
		wait_for(&w, LIMIT - 1);
		assert_int_equal(w.n_sent, 2);
		wait_for(&w, 1);
		assert_int_equal(w.n_sent, 3);
		assert_int_not_equal(w.slot[2], w.slot[1]);
		finish(&w);
	}
}

/* Guards against an attempt whose silence isn't noticed because its slot held one in a check. */
static void a_slot_is_used_again_after_a_check(void **state)
{
	world_t w = {.targets = 5};

	(void)state;
	fall_silent(&w, 4);
	end_of(&w, 0, AP_CONNECTION_COMPLETE_ON_CLOSE);
	assert_int_equal(w.checks, 1);
	head(&w, 200);
	data(&w, "id: 2\ndata: b\n\n");
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 3);
	assert_int_equal(w.slot[2], w.slot[0]);
	wait_for(&w, LIMIT);
	assert_int_equal(w.n_sent, 4);
	finish(&w);
}

/* Guards against streams that are resumed at the build of the attempt that didn't serve them. */
static void a_stream_keeps_the_build_of_the_attempt_that_began_it(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 3);
	wait_for(&w, LIMIT);
	assert_int_equal(w.n_sent, 2);
	assert_false(w.x.req.begun);
	w.x.slot[w.slot[0]].target.build = 1;
	w.x.slot[w.slot[1]].target.build = 2;
	head(&w, 200);
	data(&w, FIRST);
	assert_int_equal(w.x.req.build, 2);
	assert_true(w.x.req.begun);
	finish(&w);
}

/* Guards against a stream taken up for its caller that is measured by the time to its start. */
static void a_stream_that_is_taken_up_has_begun(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 1);
	assert_false(w.x.req.begun);
	ap_exchange_clear(&w.x);
	w.x = (ap_exchange_t){.ops = &ops, .ctx = &w, .req = w.x.req, .last_event_id = "4"};
	ap_exchange_start(&w.x, 1, w.now);
	assert_true(w.x.req.begun);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_replaced_attempt_counts_as_run),
		cmocka_unit_test(a_break_after_the_timeout_sends_nothing),
		cmocka_unit_test(others_are_tried_while_the_first_is_silent),
		cmocka_unit_test(only_a_silence_asks_for_a_target_that_has_responded),
		cmocka_unit_test(a_stream_goes_on_after_an_error),
		cmocka_unit_test(an_error_that_is_not_delivered_leaves_the_other_attempt),
		cmocka_unit_test(a_close_by_an_instance_is_a_break),
		cmocka_unit_test(the_attempt_that_is_left_has_its_time),
		cmocka_unit_test(a_slot_is_used_again_after_a_check),
		cmocka_unit_test(a_stream_keeps_the_build_of_the_attempt_that_began_it),
		cmocka_unit_test(a_stream_that_is_taken_up_has_begun),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
