/* Tests of upstreams that say in a response that they leave. */
#include "fleet_net.h"

#define ORDERS 3000
#define STEPS 25

/* Returns whether a request for the plain service goes to @id. */
static bool chosen(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_dispatch_t req = world_request(&world_call, &world_desk, now);
	ap_target_t target;

	return ap_fleet_choose(f, &req, now, &target) == AP_FLEET_OK && strcmp(target.id, id) == 0;
}

static void record(ap_fleet_t *f, const char *id, bool draining, ap_usec_t now)
{
	ap_replica_entry_t e = world_entry(id, "desk", "north");

	e.draining = draining;
	ap_fleet_update_replica(f, &e, now);
}

/* A start of the upstream has another id, and nothing that the one before said binds it. */
static void an_upstream_that_leaves_gets_nothing_and_its_successor_does(void **state)
{
	ap_fleet_t *f = world_north();

	(void)state;
	record(f, "d1", false, WORLD_START);
	assert_true(chosen(f, "d1", WORLD_START));
	ap_fleet_leaving_seen(f, "d1", WORLD_START);
	assert_false(chosen(f, "d1", WORLD_START));
	assert_int_equal(ap_fleet_stats(f, WORLD_START).draining, 1);
	record(f, "d1.2", false, WORLD_START);
	assert_true(chosen(f, "d1.2", WORLD_START));
	ap_fleet_free(f);
}

/* Guards against an older copy of the store that says ready again. */
static void an_older_record_does_not_hide_that_an_upstream_is_draining(void **state)
{
	ap_fleet_t *f = world_north();

	(void)state;
	record(f, "d1", true, WORLD_START);
	record(f, "d1", false, WORLD_START + AP_SEC);
	assert_false(chosen(f, "d1", WORLD_START + AP_SEC));
	ap_fleet_remove_replica(f, "d1", false, WORLD_START + 2 * AP_SEC);
	record(f, "d1", false, WORLD_START + 3 * AP_SEC);
	assert_false(chosen(f, "d1", WORLD_START + 3 * AP_SEC));
	ap_fleet_free(f);
}

static void others_of_the_region_are_told(void **state)
{
	ap_usec_t now = WORLD_START + 2 * AP_SEC;
	net_t net;

	(void)state;
	net_begin(&net, 3, 1);
	net_replicas(&net, "desk", "north", 1);
	ap_fleet_leaving_seen(net.fleets[0], "desk-north-0", now);
	net_announce(&net, now + 100 * AP_MSEC);
	for (size_t i = 0; i < 3; i++)
		assert_false(chosen(net.fleets[i], "desk-north-0", now + 100 * AP_MSEC));
	net_end(&net);
}

/* The word of another instance may come before the record. */
static void what_is_heard_of_an_unknown_upstream_counts(void **state)
{
	ap_usec_t now = WORLD_START + 2 * AP_SEC;
	net_t net;

	(void)state;
	net_begin(&net, 2, 0);
	ap_fleet_leaving_seen(net.fleets[0], "d1", now);
	net_announce(&net, now + 300 * AP_MSEC);
	record(net.fleets[1], "d1", false, now + AP_SEC);
	assert_false(chosen(net.fleets[1], "d1", now + AP_SEC));
	net_end(&net);
}

/* An upstream that goes on for long is asked, and used again if it is healthy. */
static void an_upstream_that_stays_is_used_again(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;
	ap_replica_entry_t e;

	(void)state;
	record(f, "d1", false, now);
	ap_fleet_leaving_seen(f, "d1", now);
	ap_fleet_health_checked(f, "d1", 0, now + 5 * AP_SEC); /* may be false */
	assert_false(chosen(f, "d1", now + 5 * AP_SEC));
	assert_false(ap_fleet_next_health_check(f, now + 50 * AP_SEC, &e));
	now += 61 * AP_SEC;
	assert_true(ap_fleet_next_health_check(f, now, &e));
	assert_string_equal(e.id, "d1");
	assert_false(ap_fleet_next_health_check(f, now, &e));
	ap_fleet_leaving_seen(f, "d1", now); /* as the response says */
	assert_false(ap_fleet_next_health_check(f, now + 50 * AP_SEC, &e));
	now += 61 * AP_SEC;
	assert_true(ap_fleet_next_health_check(f, now, &e));
	ap_fleet_health_checked(f, "d1", 0, now);
	assert_true(chosen(f, "d1", now));
	ap_fleet_leaving_seen(f, "d1", now + AP_SEC);
	assert_false(chosen(f, "d1", now + AP_SEC));
	ap_fleet_free(f);
}

/* One random event. Return: whether it told instance 1 that d1 leaves. */
static bool step(net_t *net, ap_rng_t *rng, ap_usec_t now)
{
	ap_fleet_t *f = net->fleets[1];

	switch (ap_rng_below(rng, 7)) {
	case 0:
		ap_fleet_leaving_seen(f, "d1", now);
		return true;
	case 1:
		ap_fleet_leaving_seen(net->fleets[0], "d1", now);
		break;
	case 2:
		record(f, "d1", ap_rng_below(rng, 2) > 0, now);
		break;
	case 3:
		ap_fleet_remove_replica(f, "d1", ap_rng_below(rng, 2) > 0, now);
		break;
	case 4:
		ap_fleet_list_begin(f);
		if (ap_rng_below(rng, 2) > 0)
			record(f, "d1", false, now);
		ap_fleet_list_end(f, ap_rng_below(rng, 2) > 0, now);
		break;
	case 5:
		net_announce(net, now);
		break;
	default:
		ap_fleet_health_checked(f, "d1", 0, now);
		ap_fleet_tick(f, now);
		break;
	}
	return false;
}

/* Responses, records, lists, health checks and the word of another instance, in any order. */
static void no_order_of_events_hides_what_a_response_said(void **state)
{
	ap_rng_t rng;

	(void)state;
	ap_rng_seed(&rng, 25);
	for (int i = 0; i < ORDERS; i++) {
		ap_usec_t now = WORLD_START + 2 * AP_SEC;
		bool told = false;
		net_t net;

		net_begin(&net, 2, 0);
		record(net.fleets[1], "d1", false, now);
		for (int k = 0; k < STEPS; k++) {
			now += (ap_usec_t)ap_rng_below(&rng, 2 * AP_SEC);
			told = step(&net, &rng, now) || told;
			assert_false(told && chosen(net.fleets[1], "d1", now));
		}
		net_end(&net);
	}
}

/*
 * What the store tells is applied with a time of its own, a moment after that of the announcement
 * which is sent for it at once. Guards against an age below 0, which makes others discard the
 * announcement.
 */
static void what_is_a_moment_younger_than_its_announcement_is_heard(void **state)
{
	const ap_usec_t now = WORLD_START + 10 * AP_SEC;
	const ap_usec_t later = now + 50;
	net_t net;

	(void)state;
	net_begin(&net, 3, 1);
	net_replicas(&net, "desk", "north", 2);
	ap_fleet_evacuate(net.fleets[0], "north-1", false, later);
	ap_fleet_leaving_seen(net.fleets[0], "desk-north-0", later);
	ap_fleet_limit_seen(net.fleets[0], "desk-north-1", 2, later);
	ap_fleet_brittle_seen(net.fleets[0], "desk-north-1", 2, later);
	net_announce(&net, now); /* asserts that each message is read */
	for (size_t i = 1; i < 3; i++) {
		ap_fleet_stats_t stats = ap_fleet_stats(net.fleets[i], now);

		assert_int_equal(stats.draining, 1);
		assert_int_equal(stats.limited, 1);
		assert_int_equal(stats.brittle, 1);
	}
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(what_is_a_moment_younger_than_its_announcement_is_heard),
		cmocka_unit_test(an_upstream_that_leaves_gets_nothing_and_its_successor_does),
		cmocka_unit_test(an_older_record_does_not_hide_that_an_upstream_is_draining),
		cmocka_unit_test(others_of_the_region_are_told),
		cmocka_unit_test(what_is_heard_of_an_unknown_upstream_counts),
		cmocka_unit_test(an_upstream_that_stays_is_used_again),
		cmocka_unit_test(no_order_of_events_hides_what_a_response_said),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
