/*
 * Models are unloaded only after the region's instances learned of the withdrawal. Faults happen
 * during the wait, under continuous requests.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "order_world.h"

static world_t *world_with_models_loaded(uint64_t seed, bool fenced, int replicas)
{
	world_t *w = world_new(seed, fenced);

	set_conf(w, 1, "v1", replicas, fenced);
	run(w, 4 * TTL);
	assert_true(matches(w, "v1", replicas));
	w->requests_on = true;
	run(w, 10 * AP_SEC);
	w->check_served = true;
	return w;
}

static uint64_t withdrawals(const world_t *w)
{
	uint64_t n = 0;

	for (int i = 0; i < ENTRIES; i++)
		n += ap_order_stats(w->entries[i].o, w->sim.now).withdrawals;
	return n;
}

/* Counts loaded models that an instance, if not paused, sends no requests for. */
static int count_withdrawn(world_t *w)
{
	int n = 0;

	for (int i = 0; i < ENTRIES; i++) {
		entry_t *entry = &w->entries[i];

		for (int k = 0; k < ENGINES && !entry->gate.paused; k++) {
			const engine_t *e = &w->engines[k];

			for (size_t m = 0; m < e->n; m++)
				n += ap_report_is_withdrawn(entry->r, e->up.id, e->loaded[m].name);
		}
	}
	return n;
}

static void await_withdrawal(world_t *w)
{
	uint64_t before = withdrawals(w);

	for (int i = 0; i < 1000 && withdrawals(w) == before; i++)
		run(w, TICK);
	assert_true(withdrawals(w) > before);
}

static void test_no_request_reaches_an_unloaded_model(void **state)
{
	static const struct {
		const char *what;
		double loss;
		bool announcements_lost;
		bool refusals;
	} cases[] = {
		{"nothing lost", 0.0, false, false},
		{"one message in ten lost", 0.1, false, false},
		{"no withdrawal announced", 0.1, true, true},
	};

	(void)state;
	for (size_t c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		uint64_t refused = 0, sent = 0;

		for (uint64_t seed = 1; seed <= 20; seed++) {
			world_t *w = world_with_models_loaded(seed, seed % 2, 3);

			w->net.loss = cases[c].loss;
			w->announcements_lost = cases[c].announcements_lost;
			set_conf(w, 2, "v1", 1, seed % 2);
			run(w, TTL);
			assert_true(matches(w, "v1", 1));
			assert_int_equal(w->unroutable, 0);
			refused += w->refused;
			sent += w->sent;
			world_free(w);
		}
		print_message("%s: %d of %d requests refused\n", cases[c].what, (int)refused,
			      (int)sent);
		assert_int_equal(refused > 0, cases[c].refusals);
	}
}

static void test_declared_again_during_the_wait_revokes_the_withdrawal(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		world_t *w = world_with_models_loaded(seed, true, 3);

		set_conf(w, 2, "v1", 1, true);
		await_withdrawal(w);
		run(w, (ap_usec_t)ap_rng_below(&w->sim.rng, 3 * AP_SEC));
		set_conf(w, 3, "v1", 3, true);
		run(w, 5 * AP_SEC);
		assert_int_equal(count_withdrawn(w), 0);
		run(w, TTL);
		assert_int_equal(w->unloads, 0);
		assert_true(matches(w, "v1", 3));
		assert_int_equal(w->refused, 0);
		world_free(w);
	}
}

static void test_lease_expired_during_the_wait_prevents_the_unload(void **state)
{
	int stopped = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 40; seed++) {
		world_t *w = world_with_models_loaded(seed, true, 3);
		uint64_t before = withdrawals(w);

		fake_store_set_unreachable(&w->store, true);
		/* The lease expires 36 to 56 s from now, depending on its last renewal. */
		run(w, 30 * AP_SEC + (ap_usec_t)ap_rng_below(&w->sim.rng, 26 * AP_SEC));
		if (!holder(w)) {
			world_free(w);
			continue;
		}
		set_conf(w, 2, "v1", 1, true);
		while (holder(w))
			run(w, TICK);
		run(w, 5 * AP_SEC);
		if (w->unloads == 0 && withdrawals(w) > before) {
			stopped++;
			assert_int_equal(count_withdrawn(w), 0);
		}
		fake_store_set_unreachable(&w->store, false);
		run(w, 3 * TTL);
		assert_true(matches(w, "v1", 1));
		assert_int_equal(w->refused, 0);
		world_free(w);
	}
	print_message("%d leases expired during the wait\n", stopped);
	assert_true(stopped > 0);
}

static void test_holder_paused_during_the_wait_sends_no_unload(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		world_t *w = world_with_models_loaded(seed, seed % 2, 3);
		entry_t *first = holder(w);
		uint64_t unloads;

		set_conf(w, 2, "v1", 1, seed % 2);
		await_withdrawal(w);
		first->gate.paused = true;
		run(w, 15 * AP_SEC);
		assert_int_equal(w->unloads, 0);
		run(w, 4 * TTL);
		/* The next holder has announced the withdrawal again. */
		assert_true(holder(w) != first);
		assert_true(matches(w, "v1", 1));
		unloads = w->unloads;
		assert_int_equal(w->refused, 0);
		/* Requests that the first holder routed before it learned of this may be refused.
		 */
		first->gate.paused = false;
		run(w, TTL);
		assert_int_equal(w->unloads, unloads);
		assert_int_equal(count_withdrawn(w), 0);
		world_free(w);
	}
}

/* A short pause keeps the lease, but the withdrawal may have expired, so the wait restarts. */
static void test_short_pause_restarts_the_wait(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		world_t *w = world_with_models_loaded(seed, true, 3);
		entry_t *first = holder(w);

		set_conf(w, 2, "v1", 1, true);
		await_withdrawal(w);
		first->gate.paused = true;
		run(w, 11 * AP_SEC + (ap_usec_t)ap_rng_below(&w->sim.rng, 14 * AP_SEC));
		first->gate.paused = false;
		run(w, 4 * AP_SEC);
		assert_int_equal(w->unloads, 0);
		run(w, TTL);
		assert_ptr_equal(holder(w), first);
		assert_true(matches(w, "v1", 1));
		assert_int_equal(w->refused, 0);
		world_free(w);
	}
}

/* Invariants are asserted when orders and requests arrive, see request_arrives(). */
static void test_random_faults_under_continuous_requests(void **state)
{
	uint64_t sent = 0, refused = 0, unloads = 0, events = 0;

	(void)state;
	for (uint64_t seed = 100; seed < 120; seed++) {
		bool fenced = seed % 2 == 0;
		world_t *w = world_with_models_loaded(seed, fenced, 2);
		uint64_t generation = 1;

		for (int round = 0; round < 40; round++) {
			w->lose = ap_rng_unit(&w->sim.rng) < 0.5 ? 0.3 : 0.0;
			w->store.response_loss = w->lose;
			w->net.loss = ap_rng_unit(&w->sim.rng) < 0.2 ? 0.5 : 0.1;
			fake_store_set_unreachable(&w->store, ap_rng_unit(&w->sim.rng) < 0.2);
			for (int i = 0; i < ENTRIES; i++)
				w->entries[i].gate.paused = ap_rng_unit(&w->sim.rng) < 0.2;
			set_conf(w, ++generation, "v1", 1 + (int)ap_rng_below(&w->sim.rng, 3),
				 fenced);
			run(w, (ap_usec_t)ap_rng_below(&w->sim.rng, 2 * TTL));
		}
		w->lose = w->store.response_loss = 0.0;
		w->net.loss = 0.1;
		fake_store_set_unreachable(&w->store, false);
		for (int i = 0; i < ENTRIES; i++)
			w->entries[i].gate.paused = false;
		set_conf(w, ++generation, "v1", 2, fenced);
		run(w, 10 * TTL);
		assert_true(matches(w, "v1", 2));
		assert_int_equal(count_withdrawn(w), 0);
		sent += w->sent;
		refused += w->refused;
		unloads += w->unloads;
		events += w->sim.events;
		world_free(w);
	}
	print_message("%d unloads, %d of %d requests refused, %d events\n", (int)unloads,
		      (int)refused, (int)sent, (int)events);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_request_reaches_an_unloaded_model),
		cmocka_unit_test(test_declared_again_during_the_wait_revokes_the_withdrawal),
		cmocka_unit_test(test_lease_expired_during_the_wait_prevents_the_unload),
		cmocka_unit_test(test_holder_paused_during_the_wait_sends_no_unload),
		cmocka_unit_test(test_short_pause_restarts_the_wait),
		cmocka_unit_test(test_random_faults_under_continuous_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
