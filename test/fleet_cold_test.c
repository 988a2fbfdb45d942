/* Tests of the request rate to cold upstreams, and of finding out whether upstreams are cold. */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* Sends requests to a cold upstream for a second, from every instance as fast as it allows. */
static unsigned send_to_cold(ap_fleet_t **fleets, size_t n, ap_usec_t from)
{
	unsigned sent = 0;

	for (ap_usec_t now = from; now < from + AP_SEC; now += 10 * AP_MSEC) {
		for (size_t i = 0; i < n; i++) {
			ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
			ap_inflight_t inflight;
			ap_target_t target;

			if (ap_fleet_choose(fleets[i], &req, now, &target) != AP_FLEET_OK)
				continue;
			ap_fleet_sent(fleets[i], &req, &target, now, &inflight);
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
		/* All instances but the last know of all others; the last one knows only itself. */
		for (int k = 0; k < 5; k++) {
			snprintf(id, sizeof(id), "n%d", k);
			if (i != 4 || k == 4)
				world_member(fleets[i], id, "north", false,
					     WORLD_START - 10 * AP_SEC);
		}
		ap_fleet_update_replica(fleets[i], &e, WORLD_START);
	}
	sent = send_to_cold(fleets, 5, WORLD_START + AP_SEC);
	assert_true(sent > 0);
	assert_true(sent <= bound);
	/* The upstream is warm now and has no bound. */
	assert_true(send_to_cold(fleets, 5, WORLD_START + 4 * AP_SEC) > bound);
	for (int i = 0; i < 5; i++)
		ap_fleet_free(fleets[i]);
}

/*
 * The owner of a cold upstream drains and another one takes over, several times within a second.
 * Guards against successive owners exceeding the bound together: 11 requests arrived where 9.75
 * were allowed.
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
	/* Eight times in a second the owner drains, and all instances are informed. */
	for (int step = 0; step < STEPS; step++) {
		int owner = -1;

		for (ap_usec_t at = now; at < now + AP_SEC / STEPS; at += 10 * AP_MSEC) {
			for (int i = 0; i < INSTANCES; i++) {
				ap_dispatch_t req =
					world_request(&world_stream, &world_engines, at);
				ap_inflight_t inflight;
				ap_target_t target;

				if (ap_fleet_choose(fleets[i], &req, at, &target) != AP_FLEET_OK)
					continue;
				ap_fleet_sent(fleets[i], &req, &target, at, &inflight);
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
 * A whole region restarts: each instance knows only itself until it has read the store, and the
 * upstreams are cold. Guards against each instance taking itself for the owner: 14 requests arrived
 * in a second (ferias-stands, mix --seed 1045954207119).
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
	assert_true(send_to_cold(fleets, INSTANCES, WORLD_START + 300 * AP_MSEC) <= bound);
	for (int i = 0; i < INSTANCES; i++)
		world_know_all(fleets[i], INSTANCES, WORLD_START + 1300 * AP_MSEC);
	assert_true(send_to_cold(fleets, INSTANCES, WORLD_START + 1300 * AP_MSEC) <= bound);
	/* Finally one instance is the owner. */
	assert_in_range(send_to_cold(fleets, INSTANCES, WORLD_START + 4 * AP_SEC), 1, bound);
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
	assert_true(send_to_cold(&f, 1, now + AP_SEC) <= 9);
	world_replica(f, "e1", "engines", "north", now + 3 * AP_SEC);
	assert_true(send_to_cold(&f, 1, now + 3 * AP_SEC) > 9);
	ap_fleet_free(f);
}

/* The instance that receives the announcements of n1. */
static ap_fleet_t *other;

static void to_other(void *ctx, const char *to, const void *data, size_t len)
{
	(void)ctx;
	(void)to;
	assert_true(ap_fleet_receive(other, "n1", data, len, WORLD_START + 3 * AP_SEC));
}

/* One instance checks whether each upstream is cold and announces it to the others. */
static void after_an_evacuation_one_instance_checks_health(void **state)
{
	ap_fleet_t *fleets[2] = {world_north(), world_fleet("n2", "north")};
	ap_usec_t back = WORLD_START + AP_SEC;
	ap_usec_t now = back + AP_SEC;
	ap_peer_port_t peer = {.send = to_other};
	ap_replica_entry_t replica = {0};
	unsigned asked = 0;

	(void)state;
	for (int i = 0; i < 2; i++) {
		/* n2 is draining, so n1 does the health checks. */
		world_member(fleets[i], "n1", "north", false, WORLD_START - 10 * AP_SEC);
		world_member(fleets[i], "n2", "north", true, WORLD_START - 10 * AP_SEC);
		world_replica(fleets[i], "e1", "engines", "north", WORLD_START);
		world_replica(fleets[i], "e2", "engines", "north", WORLD_START);
		ap_fleet_evacuate(fleets[i], "north-1", false, WORLD_START);
		ap_fleet_evacuate(fleets[i], "north-1", true, back);
		send_to_cold(&fleets[i], 1, back); /* makes the pool known */
		assert_false(ap_fleet_next_health_check(
			fleets[i], back, &replica)); /* too early for a reliable result */
	}
	assert_false(ap_fleet_next_health_check(fleets[1], now, &replica));
	while (ap_fleet_next_health_check(fleets[0], now, &replica))
		asked++;
	assert_int_equal(asked, 2);
	/* One response is lost: that upstream is checked again, the other one is not. */
	ap_fleet_health_checked(fleets[0], "e1", 0, now);
	now += AP_SEC;
	assert_true(ap_fleet_next_health_check(fleets[0], now, &replica));
	assert_string_equal(replica.id, "e2");
	ap_fleet_health_checked(fleets[0], "e2", 20 * AP_SEC, now);
	assert_false(ap_fleet_next_health_check(fleets[0], now, &replica));
	other = fleets[1];
	ap_fleet_health_checked(fleets[0], "e1", 0, now);
	ap_fleet_announce(fleets[0], &peer, now);
	for (int i = 0; i < 2; i++) {
		ap_fleet_stats_t stats = ap_fleet_stats(fleets[i], now);

		assert_int_equal(stats.cold, 1);		   /* e2, as it said */
		assert_true(send_to_cold(&fleets[i], 1, now) > 9); /* e1 has no bound */
		ap_fleet_free(fleets[i]);
	}
}

/*
 * The store is silent. Guards against upstreams that turn cold and are flooded until it is back,
 * and against health checks by all instances.
 */
static void while_the_store_is_silent_one_instance_asks_whether_upstreams_are_cold(void **state)
{
	ap_fleet_t *fleets[2] = {world_north(), world_fleet("n2", "north")};
	ap_usec_t now = WORLD_START + 3 * AP_SEC;
	ap_peer_port_t peer = {.send = to_other};
	ap_replica_entry_t replica;

	(void)state;
	for (int i = 0; i < 2; i++) {
		world_member(fleets[i], "n1", "north", false, WORLD_START - 10 * AP_SEC);
		world_member(fleets[i], "n2", "north", false, WORLD_START - 10 * AP_SEC);
		world_replica(fleets[i], "e1", "engines", "north", WORLD_START);
		world_replica(fleets[i], "d1", "desk", "north", WORLD_START);
		send_to_cold(&fleets[i], 1, WORLD_START); /* makes the pool known */
		assert_false(ap_fleet_next_health_check(fleets[i], now, &replica));
	}
	ap_fleet_set_store_silent(fleets[0], true);
	assert_false(ap_fleet_next_health_check(fleets[0], now - AP_SEC, &replica));
	assert_true(ap_fleet_next_health_check(fleets[0], now, &replica));
	assert_string_equal(replica.id, "e1"); /* a plain service is never cold */
	assert_false(ap_fleet_next_health_check(fleets[0], now, &replica));
	other = fleets[1];
	ap_fleet_health_checked(fleets[0], "e1", 0, now);
	ap_fleet_announce(fleets[0], &peer, now);
	ap_fleet_set_store_silent(fleets[1], true);
	assert_false(ap_fleet_next_health_check(fleets[1], now + 200 * AP_MSEC, &replica));
	assert_true(ap_fleet_next_health_check(fleets[0], now + 100 * AP_MSEC, &replica));
	ap_fleet_health_checked(fleets[0], "e1", 20 * AP_SEC, now + 100 * AP_MSEC);
	ap_fleet_announce(fleets[0], &peer, now + 100 * AP_MSEC);
	assert_int_equal(ap_fleet_stats(fleets[1], now + 100 * AP_MSEC).cold, 1);
	assert_false(ap_fleet_next_health_check(fleets[1], now + 10 * AP_SEC, &replica));
	/* Nothing is heard any more. */
	assert_true(ap_fleet_next_health_check(fleets[1], now + 21 * AP_SEC, &replica));
	ap_fleet_set_store_silent(fleets[1], false);
	assert_false(ap_fleet_next_health_check(fleets[1], now + 22 * AP_SEC, &replica));
	for (int i = 0; i < 2; i++)
		ap_fleet_free(fleets[i]);
}

/*
 * An instance stood still while a data centre was evacuated and taken back. Guards against requests
 * to the cold upstreams there before it hears of the evacuation.
 */
static void after_a_freeze_upstreams_are_cold_until_another_instance_says_otherwise(void **state)
{
	ap_fleet_config_t bounds = {
		.cold_over = 1.5, .cold_slack = 3, .learn_time = 1200 * AP_MSEC};
	ap_fleet_t *fleets[2] = {world_north(), world_fleet("n2", "north")};
	ap_usec_t now = WORLD_START + 3 * AP_SEC;
	ap_peer_port_t peer = {.send = to_other};

	(void)state;
	for (int i = 0; i < 2; i++) {
		ap_fleet_set_bounds(fleets[i], &bounds);
		world_member(fleets[i], "n1", "north", false, WORLD_START - 10 * AP_SEC);
		world_member(fleets[i], "n2", "north", false, WORLD_START - 10 * AP_SEC);
		world_replica(fleets[i], "e1", "engines", "north", WORLD_START);
		assert_true(send_to_cold(&fleets[i], 1, WORLD_START) > 9);
	}
	ap_fleet_evacuate(fleets[0], "north-1", false, WORLD_START + AP_SEC);
	ap_fleet_evacuate(fleets[0], "north-1", true, now);
	ap_fleet_tick(fleets[1], WORLD_START + AP_SEC); /* the last one before the freeze */
	assert_true(send_to_cold(&fleets[1], 1, now) <= 9);
	other = fleets[1];
	ap_fleet_announce(fleets[0], &peer, now);
	assert_true(send_to_cold(&fleets[1], 1, now + 1200 * AP_MSEC) <= 9);
	for (int i = 0; i < 2; i++)
		ap_fleet_free(fleets[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cold_rates_hold_summed_over_all_instances),
		cmocka_unit_test(cold_rates_hold_while_owners_change),
		cmocka_unit_test(cold_rates_hold_when_a_region_starts),
		cmocka_unit_test(after_an_evacuation_upstreams_are_cold_until_they_say_otherwise),
		cmocka_unit_test(after_an_evacuation_one_instance_checks_health),
		cmocka_unit_test(
			while_the_store_is_silent_one_instance_asks_whether_upstreams_are_cold),
		cmocka_unit_test(
			after_a_freeze_upstreams_are_cold_until_another_instance_says_otherwise),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
