/* Customers of a plan: the index of keys, priority, regions, and the cost of a request. */
#include "fleet/fleet.h"
#include "plan/plan.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#define KEYS 5000

static const unsigned char secret[AP_KEYS_SECRET_LEN] = {1, 2, 3};

static size_t key_of(uint32_t i, char text[24])
{
	return (size_t)snprintf(text, 24, "key-%u", i);
}

static void each_key_is_found_and_no_other(void **state)
{
	ap_keys_t *keys = ap_keys_new(secret, KEYS);
	char text[24];

	(void)state;
	assert_non_null(keys);
	for (uint32_t i = 0; i < KEYS; i++)
		assert_true(ap_keys_add(keys, text, key_of(i, text), i / 2));
	for (uint32_t i = 0; i < KEYS; i++)
		assert_int_equal(ap_keys_find(keys, text, key_of(i, text)), i / 2);
	for (uint32_t i = KEYS; i < 2 * KEYS; i++)
		assert_int_equal(ap_keys_find(keys, text, key_of(i, text)), AP_KEY_UNKNOWN);
	ap_keys_free(keys);
}

static void a_key_has_one_holder(void **state)
{
	ap_keys_t *keys = ap_keys_new(secret, 3);

	(void)state;
	assert_true(ap_keys_add(keys, "a", 1, 0));
	assert_false(ap_keys_add(keys, "a", 1, 1));
	assert_true(ap_keys_add(keys, "a", 1, 0));
	assert_int_equal(ap_keys_find(keys, "a", 1), 0);
	/* A key is its bytes, whatever they are. */
	assert_true(ap_keys_add(keys, "a\0b", 3, 1));
	assert_true(ap_keys_add(keys, "\xff\x80", 2, 2));
	assert_int_equal(ap_keys_find(keys, "a\0b", 3), 1);
	assert_int_equal(ap_keys_find(keys, "a\0c", 3), AP_KEY_UNKNOWN);
	assert_int_equal(ap_keys_find(keys, "\xff\x80", 2), 2);
	assert_int_equal(ap_keys_find(keys, "a", 0), AP_KEY_UNKNOWN);
	/* The index is full. */
	assert_false(ap_keys_add(keys, "d", 1, 0));
	ap_keys_free(keys);
}

static void an_index_without_keys_finds_none(void **state)
{
	ap_keys_t *keys = ap_keys_new(secret, 0);

	(void)state;
	assert_false(ap_keys_add(keys, "a", 1, 0));
	assert_int_equal(ap_keys_find(keys, "a", 1), AP_KEY_UNKNOWN);
	ap_keys_free(keys);
	ap_keys_free(NULL);
}

static void a_customers_priority_comes_before_the_routes(void **state)
{
	ap_plan_route_t route = {.priority = 2};
	ap_customer_t customer = {.priority = 0};
	ap_dispatch_t req = {.route = &route};

	(void)state;
	assert_int_equal(ap_dispatch_rank(&req), 2);
	req.customer = &customer;
	assert_int_equal(ap_dispatch_rank(&req), 2);
	customer.has_priority = true;
	assert_int_equal(ap_dispatch_rank(&req), 0);
	customer.priority = 7;
	assert_int_equal(ap_dispatch_rank(&req), 7);
}

static void the_cost_is_in_the_customers_unit(void **state)
{
	ap_customer_t c = {.unit = AP_UNIT_REQUESTS, .plain_tokens = 40};

	(void)state;
	assert_true(ap_customer_cost(&c, true, 900) == 1);
	assert_true(ap_customer_cost(&c, false, 0) == 1);
	c.unit = AP_UNIT_TOKENS;
	assert_true(ap_customer_cost(&c, true, 900) == 900);
	assert_true(ap_customer_cost(&c, true, 0) == 0);
	assert_true(ap_customer_cost(&c, false, 0) == 40);
	assert_true(ap_customer_cost(&c, true, UINT64_MAX) >= 1.8e19);
	assert_false(ap_customer_limited(&c));
	assert_false(ap_customer_limited(NULL));
	c.rate = 0.5;
	assert_true(ap_customer_limited(&c));
}

static void regions_are_those_that_the_customer_names(void **state)
{
	ap_customer_t c = {.homes = {"north", "south"}, .n_homes = 2};

	(void)state;
	assert_true(ap_customer_allows_region(&c, "south"));
	assert_false(ap_customer_allows_region(&c, "sout"));
	assert_false(ap_customer_allows_region(&c, ""));
	assert_true(ap_customer_allows_region(NULL, "west"));
	c.n_homes = 0;
	assert_true(ap_customer_allows_region(&c, "west"));
}

/* Fails where homes without a common region leave a request to whoever is asked. */
static void homes_of_route_and_customer_bind_together(void **state)
{
	ap_plan_route_t route = {.homes = {"north", "south"}, .n_homes = 2};
	const ap_customer_t anywhere = {.name = "a"};
	const ap_customer_t south = {.name = "b", .homes = {"south"}, .n_homes = 1};
	const ap_customer_t east = {.name = "c", .homes = {"east"}, .n_homes = 1};

	(void)state;
	assert_true(ap_plan_has_region(&route, NULL));
	assert_true(ap_plan_has_region(&route, &anywhere));
	assert_true(ap_plan_has_region(&route, &south));
	assert_false(ap_plan_has_region(&route, &east));
	route.n_homes = 0;
	assert_true(ap_plan_has_region(&route, &east));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_key_is_found_and_no_other),
		cmocka_unit_test(a_key_has_one_holder),
		cmocka_unit_test(an_index_without_keys_finds_none),
		cmocka_unit_test(a_customers_priority_comes_before_the_routes),
		cmocka_unit_test(the_cost_is_in_the_customers_unit),
		cmocka_unit_test(regions_are_those_that_the_customer_names),
		cmocka_unit_test(homes_of_route_and_customer_bind_together),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
