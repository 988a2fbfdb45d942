/*
 * Orders to upstreams: they reach the declared state, within limits, and stay correct with fencing
 * tokens, paused instances and lost responses.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "order_world.h"

static void test_declared_models_are_loaded_and_unloaded(void **state)
{
	(void)state;
	for (int fenced = 0; fenced <= 1; fenced++) {
		world_t *w = world_new(3, fenced);

		set_conf(w, 1, "v1", 2, fenced);
		run(w, 4 * TTL);
		assert_true(matches(w, "v1", 2));
		assert_int_equal(w->loads, 6);
		assert_true(w->running_max <= 2);
		w->check_served = true;
		set_conf(w, 2, "v2", 3, fenced);
		run(w, 2 * TTL);
		assert_true(matches(w, "v2", 3));
		set_conf(w, 3, "v2", 1, fenced);
		run(w, 2 * TTL);
		assert_true(matches(w, "v2", 1));
		world_free(w);
	}
}

static void test_only_replica_changes_version_after_a_spare_holds_it(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 40; seed++) {
		world_t *w = world_new(seed, true);
		uint64_t loads;

		set_conf(w, 1, "v1", 1, true);
		run(w, TTL);
		assert_true(matches(w, "v1", 1));
		loads = w->loads;
		w->check_served = true;
		set_conf(w, 2, "v2", 1, true);
		run(w, 2 * TTL);
		assert_true(matches(w, "v2", 1));
		/* For each model one load on a spare and one on the replica, not more. */
		assert_int_equal(w->loads - loads, 6);
		world_free(w);
	}
}

static void test_weight_store_limit_holds(void **state)
{
	world_t *w = world_new(5, true);

	(void)state;
	w->order_time = AP_MSEC;
	/* With 18 loads of 1 GB at 1 GB/s, the last one begins after 17 s or more. */
	set_conf(w, 1, "v1", 6, true);
	while (w->loads == 0)
		run(w, TICK);
	run(w, 16 * AP_SEC);
	assert_true(w->loads < 18);
	run(w, 30 * AP_SEC);
	assert_int_equal(w->loads, 18);
	world_free(w);
}

static void test_draining_upstream_is_replaced(void **state)
{
	world_t *w = world_new(6, true);
	int gone = 0;

	(void)state;
	set_conf(w, 1, "v1", 2, true);
	run(w, TTL);
	while (!find(&w->engines[gone], "m0"))
		gone++;
	set_upstreams(w, gone);
	run(w, TTL);
	assert_int_equal(count_serving(w, "m0"), 3);
	world_free(w);
}

static void test_resumed_holder_sends_no_pending_orders(void **state)
{
	(void)state;
	for (int fenced = 0; fenced <= 1; fenced++) {
		world_t *w = world_new(7, fenced);
		entry_t *first;
		uint64_t sent;

		set_conf(w, 1, "v1", 2, fenced);
		run(w, 4 * TTL);
		first = holder(w);
		assert_non_null(first);
		first->gate.paused = true;
		sent = ap_order_stats(first->o, w->sim.now).loads;
		/* The paused holder has orders for this configuration pending all the time. */
		set_conf(w, 2, "v2", 3, fenced);
		run(w, 5 * TTL);
		assert_true(holder(w) != first);
		assert_true(matches(w, "v2", 3));
		first->gate.paused = false;
		run(w, TTL);
		assert_int_equal(ap_order_stats(first->o, w->sim.now).loads, sent);
		world_free(w);
	}
}

static void test_no_orders_while_the_store_is_unavailable(void **state)
{
	world_t *w = world_new(8, true);
	uint64_t sent;

	(void)state;
	set_conf(w, 1, "v1", 2, true);
	run(w, 25 * AP_SEC);
	fake_store_set_unreachable(&w->store, true);
	run(w, 2 * TTL);
	assert_null(holder(w));
	sent = w->loads;
	set_conf(w, 2, "v2", 3, true);
	run(w, 5 * TTL);
	assert_int_equal(w->loads, sent);
	fake_store_set_unreachable(&w->store, false);
	run(w, 4 * TTL);
	assert_true(matches(w, "v2", 3));
	world_free(w);
}

/* Upstreams that ignore fencing tokens: an order must have ended when the next holder sends one. */
static void test_unfenced_orders_end_before_the_lease_can_expire(void **state)
{
	(void)state;
	for (uint64_t seed = 50; seed < 70; seed++) {
		world_t *w = world_new(seed, false);
		entry_t *first;

		set_conf(w, 1, "v1", 2, false);
		run(w, 4 * TTL);
		first = holder(w);
		assert_non_null(first);
		fake_store_set_unreachable(&w->store, true);
		/* The lease has a few seconds left while orders are due. */
		run(w, 30 * AP_SEC + (ap_usec_t)ap_rng_below(&w->sim.rng, 28 * AP_SEC));
		w->apply_late = true;
		set_conf(w, 2, "v2", 3, false);
		for (int i = 0; i < 200 && holder(w) == first; i++)
			run(w, TICK);
		first->gate.paused = true;
		w->apply_late = false;
		w->order_time = AP_MSEC;
		fake_store_set_unreachable(&w->store, false);
		run(w, 4 * TTL);
		assert_true(matches(w, "v2", 3));
		world_free(w);
	}
}

static void test_random_faults_keep_fences_in_order_and_models_served(void **state)
{
	(void)state;
	for (uint64_t seed = 20; seed < 40; seed++) {
		bool fenced = seed % 2 == 0;
		world_t *w = world_new(seed, fenced);
		uint64_t generation = 1;

		set_conf(w, generation, "v1", 2, fenced);
		run(w, 4 * TTL);
		assert_true(matches(w, "v1", 2));
		w->check_served = true;
		for (int round = 0; round < 40; round++) {
			char version[AP_NAME_MAX];

			snprintf(version, sizeof(version), "v%d",
				 (int)ap_rng_below(&w->sim.rng, 3));
			w->lose = ap_rng_unit(&w->sim.rng) < 0.5 ? 0.3 : 0.0;
			w->store.response_loss = w->lose;
			fake_store_set_unreachable(&w->store, ap_rng_unit(&w->sim.rng) < 0.2);
			for (int i = 0; i < ENTRIES; i++)
				w->entries[i].gate.paused = ap_rng_unit(&w->sim.rng) < 0.2;
			set_conf(w, ++generation, version, 1 + (int)ap_rng_below(&w->sim.rng, 3),
				 fenced);
			run(w, (ap_usec_t)ap_rng_below(&w->sim.rng, 3 * TTL));
		}
		w->lose = w->store.response_loss = 0.0;
		fake_store_set_unreachable(&w->store, false);
		for (int i = 0; i < ENTRIES; i++)
			w->entries[i].gate.paused = false;
		set_conf(w, ++generation, "v9", 2, fenced);
		run(w, 10 * TTL);
		assert_true(matches(w, "v9", 2));
		world_free(w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_declared_models_are_loaded_and_unloaded),
		cmocka_unit_test(test_only_replica_changes_version_after_a_spare_holds_it),
		cmocka_unit_test(test_weight_store_limit_holds),
		cmocka_unit_test(test_draining_upstream_is_replaced),
		cmocka_unit_test(test_resumed_holder_sends_no_pending_orders),
		cmocka_unit_test(test_no_orders_while_the_store_is_unavailable),
		cmocka_unit_test(test_unfenced_orders_end_before_the_lease_can_expire),
		cmocka_unit_test(test_random_faults_keep_fences_in_order_and_models_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
