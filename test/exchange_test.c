/* The life of one request: what is sent again, what is passed on, what is said when it fails. */
#include "exchange_world.h"

static void a_whole_answer_is_passed_on_once(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	head(&w, 200);
	data(&w, "he");
	data(&w, "llo");
	assert_int_equal(w.heads, 0); /* not before it is whole */
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	assert_string_equal(w.body, "hello");
	assert_int_equal(w.n_sent, 1);
	assert_int_equal(w.ends[0], AP_DISPATCH_DONE);
	finish(&w);
}

static void an_answer_without_length_is_whole_when_closed_in_order(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	head(&w, 200);
	data(&w, "body");
	end(&w, AP_LINK_WHOLE_CLOSED);
	assert_true(w.ended);
	finish(&w);
}

static void what_may_run_once_is_not_sent_again_after_a_break(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 3);
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 1);
	assert_int_equal(w.status, 502); /* promises nothing */
	finish(&w);
}

static void a_refusal_proves_that_it_did_not_run(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	refuse(&w, 503);
	assert_int_equal(w.n_sent, 2);
	refuse(&w, 421);
	assert_int_equal(w.n_sent, 3);
	refuse(&w, 429);
	assert_int_equal(w.status, 503);
	assert_int_equal(w.reason, AP_REASON_REFUSED);
	assert_true(w.retry_after > 0);
	assert_int_equal(w.ends[1], AP_DISPATCH_ADDRESS_REUSED);
	finish(&w);
}

static void a_refusal_that_breaks_off_is_one(void **state)
{
	world_t w = {.targets = 1};
	ap_answer_head_t h = {.status = 503, .refused = true};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	ap_exchange_head(&w.x, &h, w.now);
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.status, 503);
	finish(&w);
}

/* An upstream's own 503 promises "not run" only if it says so. */
static void a_promise_without_proof_is_not_passed_on(void **state)
{
	static const int statuses[] = {408, 421, 429, 503};

	(void)state;
	for (size_t i = 0; i < 4; i++) {
		world_t w = {0};

		begin(&w, AP_KIND_ONCE, false, 2);
		head(&w, statuses[i]);
		end(&w, AP_LINK_WHOLE);
		assert_int_equal(w.n_sent, 1);
		assert_int_equal(w.status, 502);
		finish(&w);
	}
}

static void a_failure_is_passed_on_when_nothing_is_left(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	head(&w, 500);
	end(&w, AP_LINK_WHOLE);
	assert_int_equal(w.n_sent, 2);
	head(&w, 500);
	data(&w, "oops");
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	assert_string_equal(w.body, "oops");
	assert_int_equal(w.n_sent, 2);
	finish(&w);
}

static void repetitions_stop_with_the_budget(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 5);
	w.budget = 1;
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 2);
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 2);
	assert_int_equal(w.status, 502);
	finish(&w);
}

static void no_connection_costs_neither_attempt_nor_budget(void **state)
{
	world_t w = {.unconnectable = 1};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	w.budget = 0;
	assert_string_equal(w.sent[0], "u1");
	end(&w, AP_LINK_UNSENT);
	assert_string_equal(w.sent[1], "u2");
	head(&w, 200);
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void nothing_usable_is_refused_at_once(void **state)
{
	world_t w = {.targets = -1};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	assert_int_equal(w.status, 503);
	assert_int_equal(w.reason, AP_REASON_NO_UPSTREAM);
	assert_int_equal(w.n_sent, 0);
	assert_true(w.x.over);
	finish(&w);
}

static void only_whole_events_are_passed_on(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n");
	assert_int_equal(w.heads, 0);
	data(&w, "\nid: 2\nda");
	assert_string_equal(w.body, "id: 1\ndata: a\n\n");
	data(&w, "ta: b\n\n");
	assert_string_equal(w.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void a_broken_stream_goes_on_after_its_last_event(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 2);
	assert_string_equal(w.last_event[1], "2");
	head(&w, 200);
	/* An upstream that begins one event too early. */
	data(&w, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
	end(&w, AP_LINK_WHOLE);
	assert_string_equal(w.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
	assert_int_equal(w.heads, 1);
	assert_true(w.ended);
	finish(&w);
}

static void a_broken_stream_that_cannot_go_on_is_cut(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 2);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n\n");
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 1);
	assert_true(w.cut);
	assert_false(w.ended);
	finish(&w);
}

static void a_stream_that_ends_within_an_event_is_not_whole(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n\nid: 2\nda");
	end(&w, AP_LINK_WHOLE);
	assert_true(w.cut);
	finish(&w);
}

static void a_caller_that_left_frees_the_upstream(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	ap_exchange_gone(&w.x);
	assert_int_equal(w.dropped, 1);
	assert_int_equal(w.ends[0], AP_DISPATCH_CANCELLED);
	assert_true(w.x.over);
	assert_int_equal(ap_exchange_due(&w.x), AP_NEVER);
	finish(&w);
}

static void the_route_s_time_is_kept(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	assert_int_equal(ap_exchange_due(&w.x), START + 4 * AP_SEC);
	w.now = START + 4 * AP_SEC - 1;
	ap_exchange_tick(&w.x, w.now);
	assert_false(w.x.over);
	w.now++;
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.status, 504); /* it was sent: it may have run */
	assert_int_equal(w.dropped, 1);
	finish(&w);
}

static void a_silent_upstream_is_left_for_another_one(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.now = ap_exchange_due(&w.x);
	assert_true(w.now < START + 400 * AP_MSEC);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	assert_int_equal(w.ends[0], AP_DISPATCH_TIMED_OUT);
	assert_int_equal(w.budget, 9); /* paid once */
	head(&w, 200);
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void what_is_avoided_is_remembered_once(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	assert_int_equal(w.x.work.n_avoid, 1);
	finish(&w);
}

static void silence_alone_ends_nothing(void **state)
{
	world_t w = {.targets = 1};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	for (int i = 0; i < 3; i++) {
		w.now = ap_exchange_due(&w.x);
		ap_exchange_tick(&w.x, w.now);
		assert_false(w.x.over);
		assert_int_equal(w.dropped, 0);
	}
	head(&w, 200);
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void silence_with_the_budget_spent_ends_nothing(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.budget = 0;
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_false(w.x.over);
	assert_int_equal(w.dropped, 0);
	finish(&w);
}

static void event_ends_and_ids(void **state)
{
	static const char text[] = "id: 7\r\ndata: x\r\n\r\nid:8\ndata: y\n\ndata";
	char id[AP_EVENT_ID_MAX];
	size_t whole = ap_events_whole(text, strlen(text), 0);

	(void)state;
	assert_int_equal(whole, strlen(text) - 4);
	for (size_t cut = 0; cut <= strlen(text); cut++)
		assert_true(ap_events_whole(text, cut, cut > 0 ? cut - 1 : 0) <= cut);
	assert_true(ap_events_last_id(text, whole, id));
	assert_string_equal(id, "8");
	assert_int_equal(ap_events_after(text, whole, "7"), 18);
	assert_int_equal(ap_events_after(text, whole, "8"), whole);
	assert_int_equal(ap_events_after(text, whole, "x1"), 0);
	assert_false(ap_events_last_id("data: z\n\n", 9, id));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_whole_answer_is_passed_on_once),
		cmocka_unit_test(an_answer_without_length_is_whole_when_closed_in_order),
		cmocka_unit_test(what_may_run_once_is_not_sent_again_after_a_break),
		cmocka_unit_test(a_refusal_proves_that_it_did_not_run),
		cmocka_unit_test(a_refusal_that_breaks_off_is_one),
		cmocka_unit_test(a_promise_without_proof_is_not_passed_on),
		cmocka_unit_test(a_failure_is_passed_on_when_nothing_is_left),
		cmocka_unit_test(repetitions_stop_with_the_budget),
		cmocka_unit_test(no_connection_costs_neither_attempt_nor_budget),
		cmocka_unit_test(nothing_usable_is_refused_at_once),
		cmocka_unit_test(only_whole_events_are_passed_on),
		cmocka_unit_test(a_broken_stream_goes_on_after_its_last_event),
		cmocka_unit_test(a_broken_stream_that_cannot_go_on_is_cut),
		cmocka_unit_test(a_stream_that_ends_within_an_event_is_not_whole),
		cmocka_unit_test(a_caller_that_left_frees_the_upstream),
		cmocka_unit_test(the_route_s_time_is_kept),
		cmocka_unit_test(a_silent_upstream_is_left_for_another_one),
		cmocka_unit_test(what_is_avoided_is_remembered_once),
		cmocka_unit_test(silence_alone_ends_nothing),
		cmocka_unit_test(silence_with_the_budget_spent_ends_nothing),
		cmocka_unit_test(event_ends_and_ids),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
