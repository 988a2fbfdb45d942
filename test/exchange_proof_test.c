/* Responses that no upstream stands for, and streams whose events are out of order. */
#include "exchange_world.h"

static void unproved_head_of(world_t *w, int i, int status)
{
	ap_response_head_t h = {.status = status};

	ap_exchange_head(&w->x, w->slot[i], &h, w->now);
}

/* Guards against bytes that are no response of the upstream, passed on for their status of 2xx. */
static void a_success_that_no_upstream_stands_for_is_sent_elsewhere(void **state)
{
	static const struct {
		ap_kind_t kind;
		bool resumable;
		const char *body;
	} cases[] = {
		{AP_KIND_IDEMPOTENT, false, "done"},
		{AP_KIND_STREAM, true, "id: 1\ndata: a\n\n"},
	};
	static const int statuses[] = {200, 201, 204, 206, 299};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (size_t k = 0; k < sizeof(statuses) / sizeof(statuses[0]); k++) {
			world_t w = {0};

			begin(&w, cases[i].kind, cases[i].resumable, 3);
			unproved_head_of(&w, 0, statuses[k]);
			assert_int_equal(w.dropped, 1);
			assert_int_equal(w.ends[0], AP_DISPATCH_BROKEN);
			assert_int_equal(w.n_sent, 2);
			data_of(&w, 0, "spoiled"); /* what follows belongs to no request */
			head_of(&w, 1, 200);
			data_of(&w, 1, cases[i].body);
			end_of(&w, 1, AP_CONNECTION_COMPLETE);
			assert_true(w.ended);
			assert_string_equal(w.body, cases[i].body);
			finish(&w);
		}
	}
}

/* Guards against a second run, or a promise of none, where the request may have run. */
static void a_request_that_may_not_be_repeated_fails_instead(void **state)
{
	static const ap_kind_t kinds[] = {AP_KIND_ONCE, AP_KIND_STREAM};

	(void)state;
	for (size_t i = 0; i < 2; i++) {
		world_t w = {0};

		begin(&w, kinds[i], false, 3);
		unproved_head_of(&w, 0, 200);
		assert_int_equal(w.n_sent, 1);
		assert_int_equal(w.status, 502);
		assert_int_equal(w.body_len, 0);
		finish(&w);
	}
}

static void a_client_error_that_no_upstream_stands_for_is_sent_elsewhere(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 3);
	unproved_head_of(&w, 0, 404);
	end_of(&w, 0, AP_CONNECTION_COMPLETE);
	assert_int_equal(w.n_sent, 2);
	head_of(&w, 1, 404);
	end_of(&w, 1, AP_CONNECTION_COMPLETE);
	assert_true(w.ended); /* of a replica, it is the response */
	finish(&w);
}

/* Guards against a stream that goes on with bytes of something that is no upstream's response. */
static void a_stream_is_not_resumed_with_such_a_success(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 3);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n\n");
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 2);
	unproved_head_of(&w, 1, 200);
	assert_int_equal(w.n_sent, 3);
	head(&w, 200);
	data(&w, "id: 2\ndata: b\n\n");
	end(&w, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	finish(&w);
}

/* The attempt that is silent keeps the request if the other one's response is none. */
static void the_other_attempt_goes_on_after_such_a_success(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	unproved_head_of(&w, 1, 200);
	assert_int_equal(w.status, 0);
	head_of(&w, 0, 200);
	data_of(&w, 0, "done");
	end_of(&w, 0, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, "done");
	finish(&w);
}

#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"
#define E3 "id: 3\ndata: c\n\n"

/* Guards against an event that reaches the caller twice, or after a later one. */
static void an_event_out_of_order_breaks_the_stream(void **state)
{
	static const char *const parts[][3] = {
		{E1, E2 E2, E3}, {E1 E2, E1, E3}, {E1, E2, E1 E2 E3}, {E1 E2, E2, E3}};

	(void)state;
	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		world_t w = {0};

		begin(&w, AP_KIND_STREAM, true, 3);
		head(&w, 200);
		for (size_t k = 0; k < 3; k++)
			data_of(&w, 0, parts[i][k]);
		assert_int_equal(w.n_sent, 2);
		assert_string_equal(w.last_event[1], "2");
		assert_int_equal(w.ends[0], AP_DISPATCH_BROKEN);
		head_of(&w, 1, 200);
		data_of(&w, 1, E2 E3); /* may repeat what the caller has, at its start */
		end_of(&w, 1, AP_CONNECTION_COMPLETE);
		assert_true(w.ended);
		assert_string_equal(w.body, E1 E2 E3);
		finish(&w);
		begin(&w, AP_KIND_STREAM, false, 3);
		head(&w, 200);
		for (size_t k = 0; k < 3; k++)
			data_of(&w, 0, parts[i][k]);
		assert_true(w.aborted); /* doesn't look complete */
		assert_string_equal(w.body, E1 E2);
		finish(&w);
	}
}

/* Guards against sound streams that are broken off for their ids. */
static void ids_that_rise_in_any_step_are_in_order(void **state)
{
	static const char *const streams[] = {
		"id: 3\ndata: a\n\nid: 9\ndata: b\n\nid: 10\ndata: c\n\n",
		"data: a\n\ndata: b\n\n",
		"id: 5\ndata: a\n\ndata: b\n\nid: 6\ndata: c\n\n",
		"id: x\ndata: a\n\nid: x\ndata: b\n\n",
		"id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(streams) / sizeof(streams[0]); i++) {
		world_t w = {0};

		begin(&w, AP_KIND_STREAM, false, 1);
		head(&w, 200);
		data(&w, streams[i]);
		end(&w, AP_CONNECTION_COMPLETE);
		assert_true(w.ended);
		assert_string_equal(w.body, streams[i]);
		finish(&w);
	}
}

/* Guards against events that a caller has already, where it asks for those after them. */
static void a_resumed_caller_gets_no_event_again(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 3);
	finish(&w);
	w = (world_t){0};
	ap_copy_name(w.resumes, sizeof(w.resumes), "2");
	begin(&w, AP_KIND_STREAM, true, 3);
	assert_string_equal(w.last_event[0], "2");
	head(&w, 200);
	data(&w, E1 E2 E3);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, E3);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_success_that_no_upstream_stands_for_is_sent_elsewhere),
		cmocka_unit_test(a_request_that_may_not_be_repeated_fails_instead),
		cmocka_unit_test(a_client_error_that_no_upstream_stands_for_is_sent_elsewhere),
		cmocka_unit_test(a_stream_is_not_resumed_with_such_a_success),
		cmocka_unit_test(the_other_attempt_goes_on_after_such_a_success),
		cmocka_unit_test(an_event_out_of_order_breaks_the_stream),
		cmocka_unit_test(ids_that_rise_in_any_step_are_in_order),
		cmocka_unit_test(a_resumed_caller_gets_no_event_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
