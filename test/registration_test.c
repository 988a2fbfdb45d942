/* Registering the instance's own key under a lease. */
#include "follow_rig.h"

typedef struct registration_calls {
	int leases;
	int keeps;
	int puts;
	uint64_t lease;
	uint64_t revision;
} registration_calls_t;

static void op_create_lease(void *ctx, ap_usec_t ttl)
{
	(void)ttl;
	((registration_calls_t *)ctx)->leases++;
}

static void op_renew_lease(void *ctx, uint64_t lease)
{
	registration_calls_t *calls = ctx;

	calls->keeps++;
	calls->lease = lease;
}

static void op_put(void *ctx, uint64_t lease, uint64_t revision)
{
	registration_calls_t *calls = ctx;

	calls->puts++;
	calls->lease = lease;
	calls->revision = revision;
}

static ap_registration_t *registered(registration_calls_t *calls)
{
	ap_registration_config_t config = {
		.ttl = 3 * AP_SEC,
		.ctx = calls,
		.create_lease = op_create_lease,
		.renew_lease = op_renew_lease,
		.put = op_put,
	};
	ap_registration_t *reg = ap_registration_new(&config, START);

	ap_registration_tick(reg, START);
	ap_registration_response(reg, AP_STORE_OK, 7, START);
	ap_registration_tick(reg, START);
	return reg;
}

static void a_lease_is_renewed_well_before_it_expires(void **state)
{
	registration_calls_t calls = {0};
	ap_registration_t *reg = registered(&calls);

	(void)state;
	assert_int_equal(calls.puts, 1);
	assert_int_equal(calls.lease, 7);
	assert_int_equal(calls.revision, 0);
	ap_registration_response(reg, AP_STORE_OK, 40, START);
	assert_true(ap_registration_due(reg) <= START + AP_SEC);
	ap_registration_tick(reg, START + AP_SEC);
	assert_int_equal(calls.keeps, 1);
	ap_registration_free(reg);
}

static void an_expired_lease_is_replaced(void **state)
{
	registration_calls_t calls = {0};
	ap_registration_t *reg = registered(&calls);

	(void)state;
	ap_registration_response(reg, AP_STORE_OK, 40, START);
	ap_registration_tick(reg, START + AP_SEC);
	ap_registration_response(reg, AP_STORE_ABSENT, 0, START + AP_SEC);
	ap_registration_tick(reg, START + AP_SEC);
	assert_int_equal(calls.leases, 2);
	ap_registration_free(reg);
}

/* The response to a renewal in the era before arrives when the store is known to be in a new one.
 */
static void a_new_era_ends_the_lease(void **state)
{
	registration_calls_t calls = {0};
	ap_registration_t *reg = registered(&calls);

	(void)state;
	ap_registration_set_era(reg, 1, START);
	ap_registration_response(reg, AP_STORE_OK, 40, START);
	ap_registration_tick(reg, START + AP_SEC);
	assert_int_equal(calls.keeps, 1);
	ap_registration_set_era(reg, 2, START + AP_SEC);
	ap_registration_response(reg, AP_STORE_OK, 0, START + AP_SEC);
	ap_registration_set_era(reg, 2, START + AP_SEC);
	ap_registration_tick(reg, START + AP_SEC);
	assert_int_equal(calls.leases, 2);
	ap_registration_response(reg, AP_STORE_OK, 5, START + AP_SEC);
	ap_registration_tick(reg, START + AP_SEC);
	assert_int_equal(calls.puts, 2);
	assert_int_equal(calls.lease, 5);
	assert_int_equal(calls.revision, 0);
	ap_registration_free(reg);
}

/* A previous process's key is still there, or a delayed write came first. */
static void a_conflict_is_retried_with_the_current_revision(void **state)
{
	registration_calls_t calls = {0};
	ap_registration_t *reg = registered(&calls);

	(void)state;
	ap_registration_response(reg, AP_STORE_CONFLICT, 33, START);
	ap_registration_tick(reg, START);
	assert_int_equal(calls.puts, 2);
	assert_int_equal(calls.revision, 33);
	ap_registration_free(reg);
}

static void a_removed_key_is_written_again(void **state)
{
	registration_calls_t calls = {0};
	ap_registration_t *reg = registered(&calls);

	(void)state;
	ap_registration_response(reg, AP_STORE_OK, 40, START);
	ap_registration_seen(reg, 40, START);
	ap_registration_seen(reg, 0, START);
	ap_registration_tick(reg, START);
	assert_int_equal(calls.puts, 2);
	assert_int_equal(calls.revision, 0);
	ap_registration_free(reg);
}

static void a_change_during_any_call_is_written_after_it(void **state)
{
	registration_calls_t calls = {0};
	ap_registration_t *reg = registered(&calls);

	(void)state;
	ap_registration_update(reg, START); /* during the put */
	ap_registration_response(reg, AP_STORE_OK, 40, START);
	ap_registration_tick(reg, START);
	assert_int_equal(calls.puts, 2);
	ap_registration_response(reg, AP_STORE_OK, 41, START);
	ap_registration_tick(reg, START + AP_SEC);
	ap_registration_update(reg, START + AP_SEC); /* during the renewal */
	ap_registration_response(reg, AP_STORE_OK, 0, START + AP_SEC);
	ap_registration_tick(reg, START + AP_SEC);
	assert_int_equal(calls.puts, 3);
	assert_int_equal(calls.revision, 41);
	ap_registration_free(reg);
}

static void failed_calls_are_retried(void **state)
{
	registration_calls_t calls = {0};
	ap_registration_t *reg = registered(&calls);

	(void)state;
	ap_registration_response(reg, AP_STORE_UNSURE, 0, START);
	assert_int_equal(calls.puts, 1);
	ap_registration_tick(reg, START + AP_SEC);
	assert_int_equal(calls.puts, 2);
	ap_registration_response(reg, AP_STORE_REFUSED, 0, START + AP_SEC);
	ap_registration_tick(reg, START + 2 * AP_SEC);
	assert_int_equal(calls.puts, 3);
	ap_registration_free(reg);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_lease_is_renewed_well_before_it_expires),
		cmocka_unit_test(an_expired_lease_is_replaced),
		cmocka_unit_test(a_new_era_ends_the_lease),
		cmocka_unit_test(a_conflict_is_retried_with_the_current_revision),
		cmocka_unit_test(a_removed_key_is_written_again),
		cmocka_unit_test(a_change_during_any_call_is_written_after_it),
		cmocka_unit_test(failed_calls_are_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
