/* Responses that are too large to be held until they are complete. */
#include "exchange_world.h"

#include <stdlib.h>
#include <string.h>

#define PART ((size_t)700 << 10)

static size_t delivered;

static void count_data(void *ctx, const void *data, size_t len)
{
	(void)ctx;
	(void)data;
	delivered += len;
}

/* Has the caller get the first two parts of a plain response, which are too large together. */
static void deliver_parts(world_t *w, ap_exchange_ops_t *counting)
{
	char *part = calloc(1, PART);

	assert_non_null(part);
	delivered = 0;
	*counting = ops;
	counting->data = count_data;
	begin(w, AP_KIND_IDEMPOTENT, false, 2);
	w->x.ops = counting;
	head(w, 200);
	ap_exchange_data(&w->x, w->slot[0], part, PART, w->now);
	ap_exchange_data(&w->x, w->slot[0], part, PART, w->now);
	free(part);
	assert_true(w->x.committed);
	assert_int_equal(delivered, 2 * PART);
}

/* Guards against holding as much again of a response that the caller gets already. */
static void a_large_response_is_not_held_again(void **state)
{
	ap_exchange_ops_t counting;
	world_t w = {0};

	(void)state;
	deliver_parts(&w, &counting);
	assert_int_equal(w.x.slot[w.slot[0]].buffer_size, 0);
	data(&w, "piece");
	assert_int_equal(delivered, 2 * PART + strlen("piece"));
	assert_int_equal(w.x.slot[w.slot[0]].buffer_size, 0);
	finish(&w);
}

static size_t hold_little(void *ctx)
{
	(void)ctx;
	return 16;
}

/* Guards against holding responses whole while memory is short. */
static void a_response_is_passed_on_early_where_little_may_be_held(void **state)
{
	ap_exchange_ops_t counting = ops;
	world_t w = {0};

	(void)state;
	delivered = 0;
	counting.data = count_data;
	counting.hold_max = hold_little;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.x.ops = &counting;
	head(&w, 200);
	data(&w, "up to 16 bytes");
	assert_int_equal(delivered, 0);
	assert_true(ap_exchange_held(&w.x) >= strlen("up to 16 bytes"));
	data(&w, "and more");
	assert_int_equal(delivered, strlen("up to 16 bytes") + strlen("and more"));
	assert_int_equal(ap_exchange_held(&w.x), 0);
	finish(&w);
}

/* Guards against promising "not run" of a request whose response is given up for want of memory. */
static void a_response_that_is_given_up_promises_nothing(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	head(&w, 500);
	data(&w, "part of an error");
	ap_exchange_give_up(&w.x, AP_REASON_MEMORY, w.now);
	assert_true(w.x.finished);
	assert_int_equal(w.dropped, 1);
	assert_int_equal(w.status, 502);
	assert_int_equal(w.reason, AP_REASON_MEMORY);
	finish(&w);
}

/* Guards against a body that is appended to the part of another one that the caller has. */
static void a_large_response_that_breaks_off_is_not_joined_with_another(void **state)
{
	ap_exchange_ops_t counting;
	world_t w = {0};

	(void)state;
	deliver_parts(&w, &counting);
	end(&w, AP_CONNECTION_BROKEN);
	if (!w.x.finished) {
		head(&w, 200);
		data(&w, "whole");
		end(&w, AP_CONNECTION_COMPLETE);
	}
	assert_false(w.ended);
	assert_true(w.aborted);
	assert_int_equal(delivered, 2 * PART);
	finish(&w);
}

/* Guards against a second body in a response whose upstream falls silent in the middle. */
static void a_large_response_that_falls_silent_stays_where_it_is(void **state)
{
	ap_exchange_ops_t counting;
	world_t w = {0};

	(void)state;
	deliver_parts(&w, &counting);
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 1);
	finish(&w);
}

/* Guards against an attempt that works on beside the one whose large response is delivered. */
static void a_large_response_replaces_the_silent_attempt(void **state)
{
	char *part = calloc(1, PART);
	ap_exchange_ops_t counting = ops;
	world_t w = {0};

	(void)state;
	assert_non_null(part);
	counting.data = count_data;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.x.ops = &counting;
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	head(&w, 200);
	ap_exchange_data(&w.x, w.slot[1], part, PART, w.now);
	assert_int_equal(w.dropped, 0);
	ap_exchange_data(&w.x, w.slot[1], part, PART, w.now);
	assert_int_equal(w.dropped, 1);
	assert_false(w.x.slot[w.slot[0]].in_flight);
	free(part);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_large_response_is_not_held_again),
		cmocka_unit_test(a_response_is_passed_on_early_where_little_may_be_held),
		cmocka_unit_test(a_response_that_is_given_up_promises_nothing),
		cmocka_unit_test(a_large_response_that_breaks_off_is_not_joined_with_another),
		cmocka_unit_test(a_large_response_that_falls_silent_stays_where_it_is),
		cmocka_unit_test(a_large_response_replaces_the_silent_attempt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
