/* Rates into cold upstreams, and whether they are cold. */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* Sends to a cold upstream from every instance as fast as each lets it, for a second. */
static unsigned sent_cold(ap_fleet_t **fleets, size_t n, ap_usec_t from)
{
	unsigned sent = 0;

	for (ap_usec_t now = from; now < from + AP_SEC; now += 10 * AP_MSEC) {
		for (size_t i = 0; i < n; i++) {
			ap_dispatch_t work = world_work(&world_stream, &world_engines, now);
			ap_inflight_t inflight;
			ap_target_t target;

			if (ap_fleet_choose(fleets[i], &work, now, &target) != AP_FLEET_OK)
				continue;
			ap_fleet_sent(fleets[i], &work, &target, now, &inflight);
			ap_fleet_done(fleets[i], &inflight, AP_DISPATCH_DONE, now);
			sent++;
		}
	}
	return sent;
}

static void cold_rates_hold_summed_over_all_instances(void **state)
{
	ap_fleet_t *fleets[5];
	ap_replica_entry_t e = world_entry("e1", "engines", "north");
	unsigned bound = (unsigned)(1.5 * world_engines.warmup_rate + 3);
	unsigned sent;

	(void)state;
	e.cold_left = 3 * AP_SEC;
	for (int i = 0; i < 5; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "n%d", i);
		fleets[i] = world_fleet(id, "north");
		/* All but the last one know of all; that one takes itself to be alone. */
		for (int k = 0; k < 5; k++) {
			snprintf(id, sizeof(id), "n%d", k);
			if (i != 4 || k == 4)
				world_member(fleets[i], id, "north", false,
					     WORLD_START - 10 * AP_SEC);
		}
		ap_fleet_update_replica(fleets[i], &e, WORLD_START);
	}
	sent = sent_cold(fleets, 5, WORLD_START + AP_SEC);
	assert_true(sent > 0);
	assert_true(sent <= bound);
	/* Warm: no bound any more. */
	assert_true(sent_cold(fleets, 5, WORLD_START + 4 * AP_SEC) > bound);
	for (int i = 0; i < 5; i++)
		ap_fleet_free(fleets[i]);
}

/*
 * The owner leaves and another one takes over within the same second, and again: found by a day of
 * regions-apart, 11 requests where 9.75 are borne.
 */
static void cold_rates_hold_while_owners_change(void **state)
{
	enum {
		INSTANCES = 8,
		STEPS = 8
	};
	ap_replica_entry_t e = world_entry("e1", "engines", "north");
	unsigned bound = (unsigned)(1.5 * world_engines.warmup_rate + 3);
	ap_usec_t now = WORLD_START + 2 * AP_SEC;
	ap_fleet_t *fleets[INSTANCES];
	unsigned sent = 0;
	char id[AP_NAME_MAX];

	(void)state;
	e.cold_left = 30 * AP_SEC;
	for (int i = 0; i < INSTANCES; i++) {
		snprintf(id, sizeof(id), "n%d", i);
		fleets[i] = world_fleet(id, "north");
		world_know_all(fleets[i], INSTANCES, WORLD_START);
		ap_fleet_update_replica(fleets[i], &e, WORLD_START);
	}
	/* Eight times in a second the one that sends leaves, and all hear of it. */
	for (int step = 0; step < STEPS; step++) {
		int owner = -1;

		for (ap_usec_t at = now; at < now + AP_SEC / STEPS; at += 10 * AP_MSEC) {
			for (int i = 0; i < INSTANCES; i++) {
				ap_dispatch_t work = world_work(&world_stream, &world_engines, at);
				ap_inflight_t inflight;
				ap_target_t target;

				if (ap_fleet_choose(fleets[i], &work, at, &target) != AP_FLEET_OK)
					continue;
				ap_fleet_sent(fleets[i], &work, &target, at, &inflight);
				ap_fleet_done(fleets[i], &inflight, AP_DISPATCH_DONE, at);
				sent++;
				owner = i;
			}
		}
		now += AP_SEC / STEPS;
		snprintf(id, sizeof(id), "n%d", owner);
		for (int i = 0; i < INSTANCES && owner >= 0; i++)
			world_member(fleets[i], id, "north", true, now);
	}
	assert_true(sent > 0);
	assert_true(sent <= bound);
	for (int i = 0; i < INSTANCES; i++)
		ap_fleet_free(fleets[i]);
}

/*
 * A region comes back as a whole: each instance knows only itself until it has read the store once
 * more, and the upstreams are cold. (Grown ferias-stands, mix --seed 1045954207119: 14 in a
 * second.)
 */
static void cold_rates_hold_when_a_region_starts(void **state)
{
	enum {
		INSTANCES = 12
	};
	ap_replica_entry_t e = world_entry("e1", "engines", "north");
	unsigned bound = (unsigned)(1.5 * world_engines.warmup_rate + 3);
	ap_fleet_t *fleets[INSTANCES];
	char id[AP_NAME_MAX];

	(void)state;
	e.cold_left = 30 * AP_SEC;
	for (int i = 0; i < INSTANCES; i++) {
		snprintf(id, sizeof(id), "n%d", i);
		fleets[i] = world_fleet(id, "north");
		world_member(fleets[i], id, "north", false, WORLD_START);
		ap_fleet_update_replica(fleets[i], &e, WORLD_START);
	}
	assert_true(sent_cold(fleets, INSTANCES, WORLD_START + 300 * AP_MSEC) <= bound);
	for (int i = 0; i < INSTANCES; i++)
		world_know_all(fleets[i], INSTANCES, WORLD_START + 1300 * AP_MSEC);
	assert_true(sent_cold(fleets, INSTANCES, WORLD_START + 1300 * AP_MSEC) <= bound);
	/* One of them takes it on in the end. */
	assert_in_range(sent_cold(fleets, INSTANCES, WORLD_START + 4 * AP_SEC), 1, bound);
	for (int i = 0; i < INSTANCES; i++)
		ap_fleet_free(fleets[i]);
}

static void after_an_evacuation_upstreams_are_cold_until_they_say_otherwise(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;

	(void)state;
	world_replica(f, "e1", "engines", "north", now);
	ap_fleet_evacuate(f, "north-1", false, now);
	ap_fleet_evacuate(f, "north-1", true, now + AP_SEC);
	assert_true(sent_cold(&f, 1, now + AP_SEC) <= 9);
	world_replica(f, "e1", "engines", "north", now + 3 * AP_SEC);
	assert_true(sent_cold(&f, 1, now + 3 * AP_SEC) > 9);
	ap_fleet_free(f);
}

/* What one instance asked and told to another one, which is @other. */
static ap_fleet_t *other;

static void to_other(void *ctx, const char *to, const void *data, size_t len)
{
	(void)ctx;
	(void)to;
	assert_true(ap_fleet_receive(other, "n1", data, len, WORLD_START + 3 * AP_SEC));
}

/* One instance asks each upstream that is back whether it is cold, and the others are told. */
static void after_an_evacuation_one_instance_asks(void **state)
{
	ap_fleet_t *fleets[2] = {world_north(), world_fleet("n2", "north")};
	ap_usec_t back = WORLD_START + AP_SEC;
	ap_usec_t now = back + AP_SEC;
	ap_peer_port_t peer = {.send = to_other};
	ap_replica_entry_t whom = {0};
	unsigned asked = 0;

	(void)state;
	for (int i = 0; i < 2; i++) {
		/* Of two, n1 has been there for longer and n2 leaves: n1 asks. */
		world_member(fleets[i], "n1", "north", false, WORLD_START - 10 * AP_SEC);
		world_member(fleets[i], "n2", "north", true, WORLD_START - 10 * AP_SEC);
		world_replica(fleets[i], "e1", "engines", "north", WORLD_START);
		world_replica(fleets[i], "e2", "engines", "north", WORLD_START);
		ap_fleet_evacuate(fleets[i], "north-1", false, WORLD_START);
		ap_fleet_evacuate(fleets[i], "north-1", true, back);
		sent_cold(&fleets[i], 1, back); /* tells it of the pool */
		assert_false(ap_fleet_next_health_check(fleets[i], back,
							&whom)); /* too soon to be true */
	}
	assert_false(ap_fleet_next_health_check(fleets[1], now, &whom));
	while (ap_fleet_next_health_check(fleets[0], now, &whom))
		asked++;
	assert_int_equal(asked, 2);
	/* One answer is lost: it is asked again, the other one is not. */
	ap_fleet_health_checked(fleets[0], "e1", 0, now);
	now += AP_SEC;
	assert_true(ap_fleet_next_health_check(fleets[0], now, &whom));
	assert_string_equal(whom.id, "e2");
	ap_fleet_health_checked(fleets[0], "e2", 20 * AP_SEC, now);
	assert_false(ap_fleet_next_health_check(fleets[0], now, &whom));
	other = fleets[1];
	ap_fleet_health_checked(fleets[0], "e1", 0, now);
	ap_fleet_announce(fleets[0], &peer, now);
	for (int i = 0; i < 2; i++) {
		ap_fleet_stats_t stats = ap_fleet_stats(fleets[i], now);

		assert_int_equal(stats.cold, 1);		/* e2, by its own word */
		assert_true(sent_cold(&fleets[i], 1, now) > 9); /* e1 bears everything */
		ap_fleet_free(fleets[i]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cold_rates_hold_summed_over_all_instances),
		cmocka_unit_test(cold_rates_hold_while_owners_change),
		cmocka_unit_test(cold_rates_hold_when_a_region_starts),
		cmocka_unit_test(after_an_evacuation_upstreams_are_cold_until_they_say_otherwise),
		cmocka_unit_test(after_an_evacuation_one_instance_asks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
