/* Responses without framing, which end with their connection. */
#include "exchange_world.h"

#define FIRST "id: 1\ndata: a\n\n"
#define REST "id: 2\ndata: b\n\n"

/* Begins a request whose upstream closes the connection after @text. */
static void close_after(world_t *w, ap_kind_t kind, unsigned attempts, const char *text)
{
	begin(w, kind, kind == AP_KIND_STREAM && attempts > 1, attempts);
	head(w, 200);
	data(w, text);
	end(w, AP_CONNECTION_COMPLETE_ON_CLOSE);
	assert_false(w->ended);
}

/*
 * Guards against streams that end as complete in the middle: the kernel closes the connections of
 * a process that is killed as the process itself would.
 */
static void a_stream_whose_upstream_was_killed_goes_on_elsewhere(void **state)
{
	world_t w = {0};

	(void)state;
	close_after(&w, AP_KIND_STREAM, 2, FIRST);
	ap_exchange_checked(&w.x, w.slot[0], true, w.now);
	assert_false(w.ended);
	assert_int_equal(w.n_sent, 2);
	assert_string_equal(w.last_event[1], "1");
	head(&w, 200);
	data(&w, REST);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, FIRST REST);
	finish(&w);
}

/* Guards against a part of a response that is delivered as the whole. */
static void a_response_whose_upstream_was_killed_is_broken(void **state)
{
	world_t w = {0};

	(void)state;
	close_after(&w, AP_KIND_STREAM, 1, FIRST);
	ap_exchange_checked(&w.x, w.slot[0], true, w.now);
	assert_true(w.aborted);
	assert_false(w.ended);
	finish(&w);

	w = (world_t){0};
	close_after(&w, AP_KIND_ONCE, 1, "half");
	ap_exchange_checked(&w.x, w.slot[0], true, w.now);
	assert_int_equal(w.status, 502);
	finish(&w);
}

/* Guards against a part of a response that passes for the whole, as nothing is known of its end. */
static void a_close_is_no_end_where_nothing_can_be_found_out(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	w.uncheckable = true;
	head(&w, 200);
	data(&w, FIRST);
	end(&w, AP_CONNECTION_COMPLETE_ON_CLOSE);
	assert_int_equal(w.checks, 1);
	assert_false(w.ended);
	assert_true(w.aborted);
	finish(&w);
}

/* Guards against a part of an error that is delivered as the whole. */
static void an_error_whose_upstream_was_killed_is_broken(void **state)
{
	world_t w = {0};

	(void)state;
	for (int lives = 0; lives < 2; lives++) {
		w = (world_t){0};
		begin(&w, AP_KIND_ONCE, false, 1);
		head(&w, 404);
		data(&w, "not fo");
		end(&w, AP_CONNECTION_COMPLETE_ON_CLOSE);
		assert_int_equal(w.checks, 1);
		ap_exchange_checked(&w.x, w.slot[0], !lives, w.now);
		assert_int_equal(w.ended, lives);
		assert_int_equal(w.status, lives ? 0 : 502);
		finish(&w);
	}
	/* What an upstream says at the deadline. */
	w = (world_t){0};
	begin(&w, AP_KIND_ONCE, false, 1);
	head(&w, 504);
	w.now = w.x.timeout_at - AP_MSEC;
	end(&w, AP_CONNECTION_COMPLETE_ON_CLOSE);
	ap_exchange_checked(&w.x, w.slot[0], false, w.now);
	assert_true(w.ended);
	finish(&w);
}

/* Guards against streams that end as complete where the upstream stopped at the deadline. */
static void a_close_at_the_deadline_is_no_end(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	head(&w, 200);
	data(&w, FIRST);
	w.now = w.x.timeout_at - AP_MSEC;
	end(&w, AP_CONNECTION_COMPLETE_ON_CLOSE);
	assert_int_equal(w.checks, 0);
	assert_true(w.aborted);
	assert_false(w.ended);
	finish(&w);
}

/* Guards against a check whose result comes after the caller has left, or never. */
static void a_check_ends_with_its_request(void **state)
{
	world_t w = {0};

	(void)state;
	close_after(&w, AP_KIND_STREAM, 2, FIRST);
	ap_exchange_caller_disconnected(&w.x);
	assert_int_equal(w.dropped, 1);
	ap_exchange_checked(&w.x, w.slot[0], false, w.now);
	assert_false(w.ended);
	finish(&w);

	w = (world_t){0};
	close_after(&w, AP_KIND_STREAM, 2, FIRST);
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_true(w.aborted);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_stream_whose_upstream_was_killed_goes_on_elsewhere),
		cmocka_unit_test(a_response_whose_upstream_was_killed_is_broken),
		cmocka_unit_test(a_close_is_no_end_where_nothing_can_be_found_out),
		cmocka_unit_test(an_error_whose_upstream_was_killed_is_broken),
		cmocka_unit_test(a_close_at_the_deadline_is_no_end),
		cmocka_unit_test(a_check_ends_with_its_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
