/* Tests of limits that upstreams name in their responses. */
#include "fleet_net.h"

#define LIMIT 1.4
#define WINDOW (4 * AP_SEC)
#define MOST 300 /* instances */

static unsigned bound(double limit)
{
	return (unsigned)(1.5 * 4 * limit + 5);
}

/*
 * Sends requests for @span from all instances as fast as they may; the upstream's responses name
 * @limit. Returns how many requests it got.
 */
static unsigned send_for(ap_fleet_t **fleets, size_t n, double limit, ap_usec_t from,
			 ap_usec_t span)
{
	unsigned sent = 0;

	for (ap_usec_t now = from; now < from + span; now += 20 * AP_MSEC) {
		for (size_t i = 0; i < n; i++) {
			ap_dispatch_t req = world_request(&world_call, &world_desk, now);
			ap_inflight_t inflight;
			ap_target_t target;

			if (ap_fleet_choose(fleets[i], &req, now, &target) != AP_FLEET_OK)
				continue;
			ap_fleet_sent(fleets[i], &req, &target, now, &inflight);
			ap_fleet_limit_seen(fleets[i], target.id, limit, now);
			ap_fleet_done(fleets[i], &inflight, AP_DISPATCH_DONE, now);
			sent++;
		}
	}
	return sent;
}

/*
 * All instances were told. The last one knows only itself, so that there are two owners. Guards
 * against a sum that grows with the number of instances.
 */
static void limits_hold_for_any_number_of_instances(void **state)
{
	static const int sizes[] = {1, 7, 77, MOST};
	ap_fleet_t *fleets[MOST];

	(void)state;
	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		int n = sizes[s];
		char id[AP_NAME_MAX];

		for (int i = 0; i < n; i++) {
			snprintf(id, sizeof(id), "n%d", i);
			fleets[i] = world_fleet(id, "north");
			if (i < n - 1)
				world_know_all(fleets[i], n, WORLD_START - 10 * AP_SEC);
			else
				world_member(fleets[i], id, "north", false,
					     WORLD_START - 10 * AP_SEC);
			world_replica(fleets[i], "d1", "desk", "north", WORLD_START);
			ap_fleet_limit_seen(fleets[i], "d1", LIMIT, WORLD_START);
		}
		for (int second = 0; second < 4; second++)
			assert_in_range(send_for(fleets, (size_t)n, LIMIT,
						 WORLD_START + second * WINDOW, WINDOW),
					1, bound(LIMIT));
		for (int i = 0; i < n; i++)
			ap_fleet_free(fleets[i]);
	}
}

/* The owner leaves, four times in four seconds, and the others take over. */
static void limits_hold_while_owners_change(void **state)
{
	ap_fleet_t *fleets[8];
	ap_usec_t now = WORLD_START;
	unsigned sent = 0;
	char id[AP_NAME_MAX];

	(void)state;
	for (int i = 0; i < 8; i++) {
		snprintf(id, sizeof(id), "n%d", i);
		fleets[i] = world_fleet(id, "north");
		world_know_all(fleets[i], 8, WORLD_START - 10 * AP_SEC);
		world_replica(fleets[i], "d1", "desk", "north", WORLD_START);
		ap_fleet_limit_seen(fleets[i], "d1", LIMIT, WORLD_START);
	}
	for (int step = 0; step < 4; step++) {
		for (int i = 0; i < 8; i++) {
			unsigned by_one = send_for(&fleets[i], 1, LIMIT, now, AP_SEC);

			sent += by_one;
			snprintf(id, sizeof(id), "n%d", i);
			for (int k = 0; k < 8 && by_one > 0; k++)
				world_member(fleets[k], id, "north", true, now + AP_SEC);
		}
		now += AP_SEC;
	}
	assert_in_range(sent, 1, bound(LIMIT));
	for (int i = 0; i < 8; i++)
		ap_fleet_free(fleets[i]);
}

/* An upstream that takes nothing still gets a request now and then, which finds out when it does.
 */
static void a_limit_ends_with_a_response_that_names_none(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;

	(void)state;
	world_replica(f, "d1", "desk", "north", now);
	assert_true(send_for(&f, 1, -1, now, WINDOW) > bound(0));
	now += WINDOW;
	ap_fleet_limit_seen(f, "d1", 0, now);
	assert_int_equal(ap_fleet_stats(f, now).limited, 1);
	assert_in_range(send_for(&f, 1, 0, now, WINDOW), 1, bound(0));
	now += WINDOW;
	assert_true(send_for(&f, 1, -1, now, WINDOW + WINDOW) > bound(0));
	assert_int_equal(ap_fleet_stats(f, now + 2 * WINDOW).limited, 0);
	ap_fleet_free(f);
}

/* Returns whether instance @i of @net takes the upstream for one with a limit. */
static bool knows_limit(const net_t *net, size_t i, ap_usec_t now)
{
	return ap_fleet_stats(net->fleets[i], now).limited == 1;
}

/* What one instance sees, the others of its region know with its next announcement. */
static void limits_and_their_ends_are_announced(void **state)
{
	ap_usec_t now = WORLD_START + 2 * AP_SEC;
	net_t net;

	(void)state;
	net_begin(&net, 3, 1);
	net_replicas(&net, "desk", "north", 1);
	ap_fleet_limit_seen(net.fleets[0], "desk-north-0", LIMIT, now);
	now += 300 * AP_MSEC;
	net_announce(&net, now);
	assert_true(knows_limit(&net, 1, now) && knows_limit(&net, 2, now));
	assert_false(knows_limit(&net, 3, now)); /* of another region */
	/* An older report of another instance changes nothing. */
	ap_fleet_limit_seen(net.fleets[1], "desk-north-0", LIMIT, now);
	now += 2 * AP_SEC;
	ap_fleet_limit_seen(net.fleets[0], "desk-north-0", -1, now);
	now += 300 * AP_MSEC;
	net_announce(&net, now);
	net_announce(&net, now + 300 * AP_MSEC);
	for (size_t i = 0; i < 3; i++)
		assert_false(knows_limit(&net, i, now));
	net_end(&net);
}

/* Nobody confirms a limit for a minute: the upstream is asked again. */
static void a_limit_that_nobody_confirms_is_forgotten(void **state)
{
	ap_fleet_t *f = world_fleet("n1", "north");
	ap_target_t target;
	ap_dispatch_t req = world_request(&world_call, &world_desk, WORLD_START + 50 * AP_SEC);

	(void)state;
	world_know_all(f, 40, WORLD_START - 10 * AP_SEC); /* one of the others is the owner */
	world_replica(f, "d1", "desk", "north", WORLD_START);
	ap_fleet_limit_seen(f, "d1", LIMIT, WORLD_START);
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START + 50 * AP_SEC, &target),
			 AP_FLEET_NONE);
	req.deadline += 20 * AP_SEC;
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START + 70 * AP_SEC, &target), AP_FLEET_OK);
	ap_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limits_hold_for_any_number_of_instances),
		cmocka_unit_test(limits_hold_while_owners_change),
		cmocka_unit_test(a_limit_ends_with_a_response_that_names_none),
		cmocka_unit_test(limits_and_their_ends_are_announced),
		cmocka_unit_test(a_limit_that_nobody_confirms_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
