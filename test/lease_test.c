/*
 * Leases: there is at most one holder when store responses are lost or late, holders are paused or
 * the store is unavailable.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_gate.h"
#include "order/order.h"

#define TTL (30 * AP_SEC)
#define KEY "arbutuspond/orders/r1"
#define HOLDERS 3
#define TICK (100 * AP_MSEC)

typedef struct world {
	fake_sim_t sim;
	fake_store_t store;
	fake_gate_t gate[HOLDERS];
	ap_lease_t *lease[HOLDERS];
	uint64_t last_fence;
	int held_ticks;
} world_t;

static world_t *world_new(uint64_t seed)
{
	world_t *w = calloc(1, sizeof(*w));

	assert_non_null(w);
	ap_rng_seed(&w->sim.rng, seed);
	w->store.sim = &w->sim;
	w->store.delay = 3 * AP_MSEC;
	for (int i = 0; i < HOLDERS; i++) {
		ap_lease_config_t config = {.key = KEY, .ttl = TTL, .seed = seed + (uint64_t)i};

		snprintf(config.holder, sizeof(config.holder), "e%d", i);
		config.kv = fake_gate_port(&w->gate[i], &w->store);
		w->lease[i] = ap_lease_new(&config);
	}
	return w;
}

static void world_free(world_t *w)
{
	for (int i = 0; i < HOLDERS; i++) {
		ap_lease_free(w->lease[i]);
		w->gate[i].paused = false;
	}
	fake_run(&w->sim, w->sim.now + 10 * TTL);
	fake_store_clear(&w->store);
	fake_sim_clear(&w->sim);
	free(w);
}

/*
 * Checks that at most one instance counts itself as the holder, that the store's session lasts at
 * least as long and that fencing tokens never decrease. Returns the holder, or -1.
 */
static int check_holder(world_t *w)
{
	int holder = -1;

	fake_expire(&w->store);
	for (int i = 0; i < HOLDERS; i++) {
		ap_usec_t left = ap_lease_time_left(w->lease[i], w->sim.now);
		fake_key_t *key = fake_key(&w->store, KEY, false);
		fake_session_t *session;

		if (left == 0)
			continue;
		assert_int_equal(holder, -1);
		holder = i;
		assert_non_null(key);
		HASH_FIND_STR(w->store.sessions, key->session, session);
		if (!session) {
			fail_msg("the lease is held, but its session is not in the store");
			return -1;
		}
		assert_true(session->until - w->sim.now >= left);
		assert_int_equal(ap_lease_fence(w->lease[i]), key->lock_index);
		assert_true(key->lock_index >= w->last_fence);
		w->last_fence = key->lock_index;
	}
	w->held_ticks += holder >= 0;
	return holder;
}

static int run(world_t *w, ap_usec_t time)
{
	ap_usec_t end = w->sim.now + time;
	int holder = -1;

	while (w->sim.now < end) {
		fake_run(&w->sim, w->sim.now + TICK);
		/* Also before the ticks: a holder that resumes must not hold an old lease. */
		check_holder(w);
		for (int i = 0; i < HOLDERS; i++) {
			if (!w->gate[i].paused)
				ap_lease_tick(w->lease[i], w->sim.now);
		}
		holder = check_holder(w);
	}
	return holder;
}

static void want_all(world_t *w)
{
	for (int i = 0; i < HOLDERS; i++)
		ap_lease_want(w->lease[i], true, w->sim.now);
}

static void test_paused_holder_holds_nothing_and_another_takes_over(void **state)
{
	world_t *w = world_new(1);
	int first, second;
	uint64_t fence;

	(void)state;
	want_all(w);
	first = run(w, 30 * AP_SEC);
	assert_true(first >= 0);
	fence = ap_lease_fence(w->lease[first]);
	w->gate[first].paused = true;
	second = run(w, 2 * TTL);
	assert_true(second >= 0 && second != first);
	assert_true(ap_lease_fence(w->lease[second]) > fence);
	assert_int_equal(ap_lease_time_left(w->lease[first], w->sim.now), 0);
	w->gate[first].paused = false;
	assert_int_equal(run(w, 30 * AP_SEC), second);
	world_free(w);
}

static void test_lost_acquire_response_is_resolved_by_reading(void **state)
{
	world_t *w = world_new(2);
	ap_usec_t until;

	(void)state;
	w->store.response_loss = 0.5;
	while (ap_lease_state(w->lease[0]) != AP_LEASE_VERIFYING) {
		bool held = ap_lease_state(w->lease[0]) == AP_LEASE_HELD;

		ap_lease_want(w->lease[0], !held, w->sim.now);
		run(w, TICK);
		assert_true(w->sim.now < 3600 * AP_SEC);
	}
	assert_int_equal(ap_lease_time_left(w->lease[0], w->sim.now), 0);
	w->store.response_loss = 0.0;
	until = w->sim.now + TTL;
	assert_int_equal(run(w, until - w->sim.now), 0);
	world_free(w);
}

static void test_lease_ends_while_the_store_is_unavailable(void **state)
{
	world_t *w = world_new(3);

	(void)state;
	ap_lease_want(w->lease[0], true, 0);
	assert_int_equal(run(w, 20 * AP_SEC), 0);
	fake_store_set_unreachable(&w->store, true);
	run(w, TTL);
	assert_int_equal(ap_lease_time_left(w->lease[0], w->sim.now), 0);
	fake_store_set_unreachable(&w->store, false);
	assert_int_equal(run(w, 2 * TTL), 0);
	world_free(w);
}

static void test_lease_time_counts_from_sending_the_renewal(void **state)
{
	world_t *w = world_new(4);

	(void)state;
	ap_lease_want(w->lease[0], true, 0);
	assert_int_equal(run(w, 20 * AP_SEC), 0);
	w->store.stall = 8 * AP_SEC;
	run(w, 5 * TTL);
	/* Renewals are sent every ttl / 3 or later and take 8 s: at most the ttl less 8 s is left.
	 */
	assert_true(ap_lease_time_left(w->lease[0], w->sim.now) <= TTL - 8 * AP_SEC);
	world_free(w);
}

static void test_suspected_lease_is_not_held_until_read_again(void **state)
{
	world_t *w = world_new(5);

	(void)state;
	ap_lease_want(w->lease[0], true, 0);
	assert_int_equal(run(w, 20 * AP_SEC), 0);
	ap_lease_suspect(w->lease[0], w->sim.now);
	assert_int_equal(ap_lease_time_left(w->lease[0], w->sim.now), 0);
	assert_int_equal(run(w, AP_SEC), 0);
	ap_lease_want(w->lease[0], false, w->sim.now);
	assert_int_equal(run(w, AP_SEC), -1);
	assert_string_equal(fake_key(&w->store, KEY, false)->session, "");
	world_free(w);
}

static void test_random_faults_never_give_two_holders(void **state)
{
	(void)state;
	for (uint64_t seed = 10; seed < 30; seed++) {
		world_t *w = world_new(seed);

		want_all(w);
		for (int round = 0; round < 60; round++) {
			w->store.response_loss = ap_rng_unit(&w->sim.rng) < 0.5 ? 0.3 : 0.0;
			w->store.stall = (ap_usec_t)(ap_rng_unit(&w->sim.rng) * 4) * 3 * AP_SEC;
			fake_store_set_unreachable(&w->store, ap_rng_unit(&w->sim.rng) < 0.2);
			for (int i = 0; i < HOLDERS; i++)
				w->gate[i].paused = ap_rng_unit(&w->sim.rng) < 0.25;
			run(w, (ap_usec_t)ap_rng_below(&w->sim.rng, 2 * TTL));
		}
		assert_true(w->held_ticks > 1000);
		world_free(w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_paused_holder_holds_nothing_and_another_takes_over),
		cmocka_unit_test(test_lost_acquire_response_is_resolved_by_reading),
		cmocka_unit_test(test_lease_ends_while_the_store_is_unavailable),
		cmocka_unit_test(test_lease_time_counts_from_sending_the_renewal),
		cmocka_unit_test(test_suspected_lease_is_not_held_until_read_again),
		cmocka_unit_test(test_random_faults_never_give_two_holders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
