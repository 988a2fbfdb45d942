/* Allowances at one instance and between two: odd costs, plans and reports. */
#include "quota/quota.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#define START (1000 * AP_SEC)
#define MANY 2000
#define REPORT_MAX 512

static const ap_quota_config_t config = {.window = 8 * AP_SEC};
static const ap_customer_t plain = {.name = "c", .rate = 1000, .burst = 1000};

static ap_quota_t *new_quota(const ap_customer_t *customers, size_t n)
{
	ap_quota_t *q = ap_quota_new(&config);

	ap_quota_end_sources(q, START);
	ap_quota_set_limits(q, customers, n, START);
	return q;
}

/* Returns the units left, as estimated before a request. */
static double level(ap_quota_t *q, const ap_customer_t *c, ap_usec_t now)
{
	ap_quota_verdict_t v;

	ap_quota_take(q, c, 1, now, &v);
	return v.level;
}

static bool take(ap_quota_t *q, const ap_customer_t *c, double cost, ap_usec_t now)
{
	ap_quota_verdict_t v;
	bool admitted = ap_quota_take(q, c, cost, now, &v);

	assert_true(admitted || v.retry_after > 0);
	return admitted;
}

/* Fails where a request that names 2^64 tokens is admitted by a full bucket and empties it for
 * years. */
static void a_cost_that_no_window_holds_is_refused(void **state)
{
	ap_quota_t *q = new_quota(&plain, 1);

	(void)state;
	assert_false(take(q, &plain, 18446744073709551615.0, START));
	assert_false(take(q, &plain, 9001, START));
	assert_true(take(q, &plain, 9000, START));
	ap_quota_free(q);
}

/* An allowance of less than one request in a window still serves one whenever the bucket is full.
 */
static void one_request_in_100_s(void **state)
{
	ap_customer_t c = {.name = "c", .rate = 0.01, .burst = 0.01};
	ap_quota_t *q = new_quota(&c, 1);

	(void)state;
	assert_true(take(q, &c, 1, START));
	assert_false(take(q, &c, 1, START + 50 * AP_SEC));
	assert_true(take(q, &c, 1, START + 102 * AP_SEC));
	ap_quota_free(q);
}

static void a_cost_of_nothing_is_always_admitted(void **state)
{
	ap_quota_t *q = new_quota(&plain, 1);

	(void)state;
	assert_true(take(q, &plain, 5000, START));
	assert_false(take(q, &plain, 1, START));
	assert_true(take(q, &plain, 0, START));
	ap_quota_free(q);
}

static void a_refund_can_be_used_at_once(void **state)
{
	ap_quota_t *q = new_quota(&plain, 1);

	(void)state;
	assert_true(take(q, &plain, 2000, START));
	assert_false(take(q, &plain, 100, START));
	ap_quota_refund(q, "c", 2000, START);
	assert_true(take(q, &plain, 1000, START));
	ap_quota_refund(q, "unknown", 1, START);
	ap_quota_free(q);
}

/* Fails where the bucket waits until the clock is as far as it was. */
static void a_clock_that_is_set_back(void **state)
{
	ap_quota_t *q = new_quota(&plain, 1);

	(void)state;
	assert_true(take(q, &plain, 1000, START));
	assert_false(take(q, &plain, 1000, START - 100 * AP_SEC));
	assert_true(take(q, &plain, 1000, START - 95 * AP_SEC));
	ap_quota_free(q);
}

static size_t many_customers(ap_customer_t out[MANY], unsigned plan)
{
	for (unsigned i = 0; i < MANY; i++) {
		out[i] = plain;
		snprintf(out[i].name, sizeof(out[i].name), "c%u-%u", plan, i);
	}
	return MANY;
}

/* Fails where customers of old plans are kept, and those of later ones find no room and no limit.
 */
static void plans_of_other_customers_in_a_row(void **state)
{
	static ap_customer_t customers[MANY];
	ap_quota_t *q = new_quota(customers, 0);

	(void)state;
	for (unsigned plan = 0; plan < 5; plan++) {
		ap_usec_t now = START + plan * 100 * AP_SEC;

		ap_quota_set_limits(q, customers, many_customers(customers, plan), now);
		assert_true(ap_quota_in_use(q));
		assert_true(take(q, &customers[MANY - 1], 1000, now));
		assert_false(take(q, &customers[MANY - 1], 1000, now));
	}
	ap_quota_set_limits(q, customers, 0, START + 500 * AP_SEC);
	assert_false(ap_quota_in_use(q));
	ap_quota_free(q);
}

/* Fails where only the first customers are reported, so that others use their limits twice. */
static void more_customers_than_a_report_holds(void **state)
{
	static ap_customer_t customers[MANY];
	static ap_quota_use_t uses[REPORT_MAX];
	ap_quota_t *a = new_quota(customers, many_customers(customers, 0));
	ap_quota_t *b = new_quota(customers, MANY);
	ap_usec_t now = START + AP_SEC;

	(void)state;
	ap_quota_set_source(b, "a", false, 1, START);
	ap_quota_end_sources(b, START);
	ap_quota_heard(b, "a", "a", (ap_id_t){1, 1}, 0, uses, 0, START);
	for (size_t i = 0; i < MANY; i++)
		assert_true(take(a, &customers[i], 1000, START + 2 * AP_MSEC));
	for (size_t round = 0; round < 4; round++) {
		size_t n;

		now = START + AP_SEC + (ap_usec_t)round * 250 * AP_MSEC;
		n = ap_quota_report(a, false, uses, REPORT_MAX, now);
		assert_true(n <= REPORT_MAX);
		ap_quota_heard(b, "a", "a", (ap_id_t){1, 1}, 0, uses, n, now);
	}
	/* Refilled since the first report. */
	for (size_t i = 0; i < MANY; i++)
		assert_true(level(b, &customers[i], now) <= 750);
	ap_quota_free(a);
	ap_quota_free(b);
}

static void report(ap_quota_t *q, int64_t used, ap_usec_t now)
{
	ap_quota_use_t use = {.tag = ap_quota_tag("c"), .used = used};

	ap_quota_heard(q, "a", "a", (ap_id_t){1, 1}, 0, &use, 1, now);
}

/* Fails where a count that began again, as the customer was unlisted for a while, fills the bucket.
 */
static void a_count_that_began_again(void **state)
{
	ap_quota_t *q = new_quota(&plain, 1);

	(void)state;
	ap_quota_set_source(q, "a", false, 1, START);
	ap_quota_end_sources(q, START);
	report(q, 1000000, START);
	assert_true(take(q, &plain, 500, START + 1));
	report(q, 100, START + 2);
	assert_true(level(q, &plain, START + 3) <= 401);
	ap_quota_free(q);
}

/*
 * Relays pass on reports, so that an instance hears many senders of a region. Fails where the base
 * of the one that counts gives way to others, and its whole use counts with each report.
 */
static void many_senders_of_a_region(void **state)
{
	static ap_customer_t customers[MANY];
	ap_quota_t *q = new_quota(customers, many_customers(customers, 0));
	ap_quota_use_t use = {
		.tag = ap_quota_tag(customers[0].name), .used = 100000, .lately = 100000};
	double before;

	(void)state;
	ap_quota_set_source(q, "south", true, 20, START);
	ap_quota_end_sources(q, START);
	for (unsigned round = 0; round < 6; round++) {
		for (unsigned sender = 0; sender < 20; sender++) {
			char name[AP_NAME_MAX];

			snprintf(name, sizeof(name), "s%u", sender);
			ap_quota_heard(q, "south", name, (ap_id_t){1, 1}, 0, &use, 1,
				       START + round * 500 * AP_MSEC + sender);
		}
		if (round == 0)
			before = level(q, &customers[0], START + 20);
	}
	assert_true(level(q, &customers[0], START + 3 * AP_SEC) >= before);
	ap_quota_free(q);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_cost_that_no_window_holds_is_refused),
		cmocka_unit_test(one_request_in_100_s),
		cmocka_unit_test(a_cost_of_nothing_is_always_admitted),
		cmocka_unit_test(a_refund_can_be_used_at_once),
		cmocka_unit_test(a_clock_that_is_set_back),
		cmocka_unit_test(plans_of_other_customers_in_a_row),
		cmocka_unit_test(many_senders_of_a_region),
		cmocka_unit_test(more_customers_than_a_report_holds),
		cmocka_unit_test(a_count_that_began_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
