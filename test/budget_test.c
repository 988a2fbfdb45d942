/* Who gives way when clients hold more than a process may, as decisions. */
#include "limit/budget.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define MB ((size_t)1 << 20)
#define LIMIT (16 * MB)
#define CROWD 40

static ap_budget_t budget;
static ap_budget_entry_t crowd[CROWD];
static ap_budget_entry_t caller;

/* 40 clients hold @held bytes each since @now. */
static void fill(size_t held, ap_usec_t now)
{
	ap_budget_init(&budget, LIMIT, CROWD);
	for (size_t i = 0; i < CROWD; i++) {
		ap_budget_add(&budget, &crowd[i], now);
		ap_budget_charge(&budget, &crowd[i], held);
	}
}

/* Guards against refusing a caller who sends at full speed for bodies that stand still. */
static void bodies_that_stop_short_give_way_to_one_that_arrives(void **state)
{
	(void)state;
	fill(MB / 2, AP_SEC);
	ap_budget_add(&budget, &caller, 3 * AP_SEC);
	ap_budget_charge(&budget, &caller, 4 * MB);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_FULL);
	assert_ptr_not_equal(ap_budget_worst(&budget, 3 * AP_SEC + 100 * AP_MSEC), &caller);
	/* It gives way once it has held as much for as long. */
	assert_ptr_equal(ap_budget_worst(&budget, 6 * AP_SEC), &caller);
}

/* Guards against refusing small requests, which would free nothing. */
static void small_request_in_a_crowd_of_large_ones_stays(void **state)
{
	(void)state;
	fill(MB, 0);
	ap_budget_add(&budget, &caller, 0);
	ap_budget_charge(&budget, &caller, 2000);
	for (size_t i = 0; i < CROWD; i++) {
		ap_budget_entry_t *worst = ap_budget_worst(&budget, AP_SEC);

		assert_ptr_not_equal(worst, &caller);
		ap_budget_remove(&budget, worst);
	}
	assert_int_equal(budget.used, 2000);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_FREE);
}

/* Guards against giving up a request that may be running. */
static void requests_at_upstreams_never_give_way(void **state)
{
	(void)state;
	fill(MB, 0);
	for (size_t i = 0; i < CROWD; i++)
		crowd[i].kept = true;
	assert_null(ap_budget_worst(&budget, AP_SEC));
	assert_null(ap_budget_oldest(&budget, 2 * AP_SEC));
	ap_budget_add(&budget, &caller, AP_SEC);
	ap_budget_charge(&budget, &caller, 100);
	assert_ptr_equal(ap_budget_worst(&budget, AP_SEC), &caller);
}

/* Guards against reading on until the budget is full, and against stopping small requests. */
static void large_requests_are_not_read_while_the_budget_is_tight(void **state)
{
	(void)state;
	fill(LIMIT / 64, 0);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_FREE);
	assert_true(ap_budget_may_read(&budget, &crowd[0]));
	ap_budget_add(&budget, &caller, 0);
	ap_budget_charge(&budget, &caller, LIMIT / 4);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_TIGHT);
	assert_false(ap_budget_may_read(&budget, &caller));
	assert_false(ap_budget_may_read(&budget, &crowd[0]));
	ap_budget_charge(&budget, &crowd[0], 16 << 10);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_TIGHT);
	assert_true(ap_budget_may_read(&budget, &crowd[0]));
}

/* Guards against giving up, for a shortage that others make, a response that was just written. */
static void small_response_gives_way_once_it_is_unread(void **state)
{
	(void)state;
	fill(MB, 0);
	for (size_t i = 0; i < CROWD; i++)
		crowd[i].kept = true;
	ap_budget_add(&budget, &caller, AP_SEC);
	caller.answering = true;
	ap_budget_charge(&budget, &caller, 2000);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_FULL);
	assert_null(ap_budget_worst(&budget, AP_SEC));
	assert_null(ap_budget_worst(&budget, 2 * AP_SEC - 1));
	assert_ptr_equal(ap_budget_worst(&budget, 2 * AP_SEC), &caller);
}

/* Guards against cutting responses that are being read before reading from upstreams has slowed. */
static void large_response_gives_way_at_once_only_if_the_budget_is_full(void **state)
{
	(void)state;
	fill(LIMIT / 64, 0);
	for (size_t i = 0; i < CROWD; i++)
		crowd[i].kept = true;
	ap_budget_add(&budget, &caller, 0);
	caller.answering = true;
	ap_budget_charge(&budget, &caller, LIMIT / 4);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_TIGHT);
	assert_null(ap_budget_worst(&budget, AP_MSEC));
	ap_budget_charge(&budget, &caller, LIMIT / 2);
	assert_int_equal(ap_budget_level(&budget), AP_BUDGET_FULL);
	assert_ptr_equal(ap_budget_worst(&budget, AP_MSEC), &caller);
}

/* Guards against counting a byte that is read now and then as progress. */
static void response_is_as_old_as_its_bytes(void **state)
{
	(void)state;
	fill(0, 0);
	ap_budget_charge(&budget, &crowd[0], 100000);
	ap_budget_read(&crowd[0], 1, 99999, 2 * AP_SEC);
	assert_in_range(crowd[0].since, 0, AP_MSEC);
	ap_budget_read(&crowd[0], 50000, 49999, 2 * AP_SEC);
	assert_in_range(crowd[0].since, AP_SEC - AP_MSEC, AP_SEC + AP_MSEC);
	ap_budget_read(&crowd[0], 49999, 0, 2 * AP_SEC);
	assert_int_equal(crowd[0].since, 2 * AP_SEC);
}

/* Guards against new callers being shut out by connections that send nothing. */
static void connection_without_progress_for_longest_gives_way(void **state)
{
	(void)state;
	fill(0, AP_SEC);
	crowd[7].since = 0;
	crowd[8].since = 0;
	crowd[8].kept = true;
	assert_ptr_equal(ap_budget_oldest(&budget, 2 * AP_SEC), &crowd[7]);
}

/* Guards against cutting a response that is being read, as another connection opens. */
static void response_that_is_read_stays_where_there_are_too_many_connections(void **state)
{
	(void)state;
	fill(1000, 0);
	for (size_t i = 0; i < CROWD; i++)
		crowd[i].kept = true;
	ap_budget_add(&budget, &caller, AP_SEC);
	caller.answering = true;
	ap_budget_charge(&budget, &caller, 2000);
	assert_null(ap_budget_oldest(&budget, 2 * AP_SEC - 1));
	assert_ptr_equal(ap_budget_oldest(&budget, 2 * AP_SEC), &caller);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bodies_that_stop_short_give_way_to_one_that_arrives),
		cmocka_unit_test(small_request_in_a_crowd_of_large_ones_stays),
		cmocka_unit_test(requests_at_upstreams_never_give_way),
		cmocka_unit_test(large_requests_are_not_read_while_the_budget_is_tight),
		cmocka_unit_test(small_response_gives_way_once_it_is_unread),
		cmocka_unit_test(large_response_gives_way_at_once_only_if_the_budget_is_full),
		cmocka_unit_test(response_is_as_old_as_its_bytes),
		cmocka_unit_test(connection_without_progress_for_longest_gives_way),
		cmocka_unit_test(response_that_is_read_stays_where_there_are_too_many_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
