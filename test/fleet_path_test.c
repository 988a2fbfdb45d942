/* Tests of lost paths to upstreams: what is done without them, and what others are told. */
#include "fleet_net.h"

#define UPSTREAMS 2

/* Three instances of north, i0 to i2, two of south, i3 and i4; upstreams of the desk in north. */
static ap_usec_t begin(net_t *net)
{
	net_begin(net, 3, 2);
	net_replicas(net, "desk", "north", UPSTREAMS);
	net_announce(net, WORLD_START + AP_SEC);
	return WORLD_START + 2 * AP_SEC;
}

/* Instance @i sends a request, which ends as @result if it goes to an upstream. */
static ap_target_t request(net_t *net, size_t i, ap_dispatch_result_t result, ap_usec_t now)
{
	ap_dispatch_t req = world_request(&world_call, &world_desk, now);
	ap_inflight_t inflight;
	ap_target_t target;

	send_request(net->fleets[i], &req, now, &target, &inflight);
	ap_fleet_done(net->fleets[i], &inflight, target.remote ? AP_DISPATCH_DONE : result, now);
	return target;
}

/* Instance @i loses its paths to all upstreams. */
static void lose_paths(net_t *net, size_t i, ap_usec_t now)
{
	for (int k = 0; k < UPSTREAMS; k++)
		assert_false(request(net, i, AP_DISPATCH_UNREACHABLE, now).remote);
	assert_int_equal(ap_fleet_stats(net->fleets[i], now).unreachable, UPSTREAMS);
	ap_fleet_tick(net->fleets[i], now);
}

static size_t named(net_t *net, size_t by, const char *id, ap_usec_t now)
{
	const ap_member_t *out[8];
	bool fallback;
	size_t n = ap_fleet_directory(net->fleets[by], NULL, "", "north", out, 8, &fallback, now);
	size_t found = 0;

	assert_false(fallback);
	for (size_t i = 0; i < n; i++)
		found += strcmp(out[i]->id, id) == 0;
	return found;
}

static void a_request_without_paths_goes_to_an_instance_that_has_them(void **state)
{
	ap_dispatch_t forwarded;
	ap_target_t target;
	ap_usec_t now;
	net_t net;

	(void)state;
	now = begin(&net);
	lose_paths(&net, 0, now);
	lose_paths(&net, 1, now);
	net_announce(&net, now + 300 * AP_MSEC);
	for (int k = 0; k < 20; k++) {
		target = request(&net, 0, AP_DISPATCH_DONE, now + 400 * AP_MSEC);
		assert_true(target.remote);
		assert_string_equal(target.id, "i2"); /* i1 has lost them, too */
	}
	/* What was forwarded to it is refused, so that its sender can go elsewhere. */
	forwarded = world_request(&world_call, &world_desk, now + 400 * AP_MSEC);
	forwarded.local_only = true;
	assert_int_equal(ap_fleet_choose(net.fleets[0], &forwarded, now + 400 * AP_MSEC, &target),
			 AP_FLEET_NONE);
	net_end(&net);
}

/* After two failed connections it isn't known yet that all paths are lost. */
static void a_request_that_fails_to_connect_twice_is_forwarded(void **state)
{
	ap_dispatch_t req;
	ap_target_t target;
	ap_usec_t now;
	net_t net;

	(void)state;
	now = begin(&net);
	req = world_request(&world_call, &world_desk, now);
	req.unreachable = 1;
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &target), AP_FLEET_OK);
	assert_false(target.remote);
	req.unreachable = 2;
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &target), AP_FLEET_OK);
	assert_true(target.remote);
	net_end(&net);
}

/* A lost path is checked, and a response of any kind ends what was learnt. */
static void a_path_is_used_again_once_it_is_back(void **state)
{
	ap_replica_entry_t e;
	unsigned checks = 0;
	ap_usec_t now;
	net_t net;

	(void)state;
	now = begin(&net);
	lose_paths(&net, 0, now);
	for (; checks < 10 && ap_fleet_next_health_check(net.fleets[0], now, &e); checks++)
		;
	assert_int_equal(checks, UPSTREAMS);
	assert_false(ap_fleet_next_health_check(net.fleets[0], now + 100 * AP_MSEC, &e));
	now += AP_SEC;
	assert_true(ap_fleet_next_health_check(net.fleets[0], now, &e));
	assert_true(request(&net, 0, AP_DISPATCH_DONE, now).remote);
	ap_fleet_path_seen(net.fleets[0], e.id, now);
	assert_int_equal(ap_fleet_stats(net.fleets[0], now).unreachable, UPSTREAMS - 1);
	assert_string_equal(request(&net, 0, AP_DISPATCH_DONE, now).id, e.id);
	net_end(&net);
}

/* Checks of lost paths in a second, by an instance that has lost those to @n upstreams. */
static unsigned checks_in_a_second(net_t *net, ap_usec_t from)
{
	ap_replica_entry_t e;
	unsigned checks = 0;

	for (ap_usec_t now = from; now < from + AP_SEC; now += 100 * AP_MSEC) {
		ap_fleet_tick(net->fleets[0], now);
		while (ap_fleet_next_health_check(net->fleets[0], now, &e))
			checks++;
	}
	return checks;
}

/*
 * Guards against the checks of many lost paths, each one a new connection, that take an instance's
 * processor time from its callers: 250 to 700 a second in a region with eleven small instances.
 */
static void checks_of_lost_paths_are_few_whatever_their_number(void **state)
{
	static const int sizes[] = {2, 8, 30, 92, 300};

	(void)state;
	for (size_t k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		ap_usec_t now = WORLD_START + 2 * AP_SEC;
		char id[AP_NAME_MAX];
		ap_usec_t waited = 0;
		unsigned checked;
		unsigned soon;
		net_t net;
		ap_replica_entry_t e;

		net_begin(&net, 1, 0);
		net_replicas(&net, "desk", "north", sizes[k]);
		for (int i = 0; i < sizes[k]; i++) {
			snprintf(id, sizeof(id), "desk-north-%d", i);
			ap_fleet_path_lost(net.fleets[0], id, now);
		}
		checks_in_a_second(&net, now);
		now += AP_SEC;
		checked = checks_in_a_second(&net, now);
		assert_in_range(checked, 1, 26);
		/* Some path is checked soon after they are back, and then all others are. */
		now += AP_SEC;
		while (!ap_fleet_next_health_check(net.fleets[0], now + waited, &e))
			waited += 100 * AP_MSEC;
		assert_true(waited <= 400 * AP_MSEC);
		now += waited;
		ap_fleet_path_seen(net.fleets[0], e.id, now);
		for (soon = 1; soon < (unsigned)sizes[k] && now < WORLD_START + 60 * AP_SEC;
		     now += 100 * AP_MSEC) {
			ap_fleet_tick(net.fleets[0], now);
			while (ap_fleet_next_health_check(net.fleets[0], now, &e)) {
				ap_fleet_path_seen(net.fleets[0], e.id, now);
				soon++;
			}
		}
		assert_int_equal(ap_fleet_stats(net.fleets[0], now).unreachable, 0);
		assert_true(now - (WORLD_START + 4 * AP_SEC + waited) <= 600 * AP_MSEC);
		net_end(&net);
	}
}

static void other_regions_pass_over_an_instance_without_paths(void **state)
{
	ap_usec_t now;
	net_t net;

	(void)state;
	now = begin(&net);
	for (size_t i = 0; i < 2; i++)
		lose_paths(&net, i, now);
	net_announce(&net, now + 600 * AP_MSEC);
	net_announce(&net, now + 1200 * AP_MSEC);
	for (int k = 0; k < 20; k++)
		assert_string_equal(request(&net, 3, AP_DISPATCH_DONE, now + 1300 * AP_MSEC).id,
				    "i2");
	net_end(&net);
}

/* The directory names it again when its paths are back, or nothing is heard of it. */
static void the_directory_leaves_out_an_instance_without_paths(void **state)
{
	ap_usec_t now;
	net_t net;

	(void)state;
	now = begin(&net);
	lose_paths(&net, 0, now);
	net_announce(&net, now + 300 * AP_MSEC);
	assert_int_equal(named(&net, 1, "i0", now + 300 * AP_MSEC), 1); /* may be short */
	net_announce(&net, now + 1400 * AP_MSEC);
	for (size_t by = 0; by < 3; by++)
		assert_int_equal(named(&net, by, "i0", now + 1500 * AP_MSEC), 0);
	assert_int_equal(named(&net, 1, "i0", now + 5 * AP_SEC), 1);
	net_announce(&net, now + 5 * AP_SEC);
	net_announce(&net, now + 6100 * AP_MSEC);
	assert_int_equal(named(&net, 1, "i0", now + 6200 * AP_MSEC), 0);
	ap_fleet_path_seen(net.fleets[0], "desk-north-0", now + 6200 * AP_MSEC);
	ap_fleet_tick(net.fleets[0], now + 6300 * AP_MSEC);
	net_announce(&net, now + 6300 * AP_MSEC);
	assert_int_equal(named(&net, 1, "i0", now + 6400 * AP_MSEC), 1);
	net_end(&net);
}

/* If all have lost their paths, callers have no better choice. */
static void the_directory_names_instances_without_paths_if_there_are_no_others(void **state)
{
	ap_usec_t now;
	net_t net;

	(void)state;
	now = begin(&net);
	for (size_t i = 0; i < 3; i++)
		lose_paths(&net, i, now);
	net_announce(&net, now + 300 * AP_MSEC);
	net_announce(&net, now + 1400 * AP_MSEC);
	for (size_t by = 0; by < 3; by++)
		assert_int_equal(named(&net, by, "i0", now + 1500 * AP_MSEC), 1);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_without_paths_goes_to_an_instance_that_has_them),
		cmocka_unit_test(a_request_that_fails_to_connect_twice_is_forwarded),
		cmocka_unit_test(a_path_is_used_again_once_it_is_back),
		cmocka_unit_test(checks_of_lost_paths_are_few_whatever_their_number),
		cmocka_unit_test(other_regions_pass_over_an_instance_without_paths),
		cmocka_unit_test(the_directory_leaves_out_an_instance_without_paths),
		cmocka_unit_test(
			the_directory_names_instances_without_paths_if_there_are_no_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
