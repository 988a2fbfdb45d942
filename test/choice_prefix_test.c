/* Tests of the choice of a target for requests with shared prefixes, which are processed rarely. */
#include "fleet_net.h"

/* Requests with 20 prefixes at 3 instances: all instances send a prefix to the same upstream. */
static void requests_with_one_prefix_go_to_one_upstream(void **state)
{
	char where[20][AP_NAME_MAX] = {0};
	unsigned moved = 0;
	net_t net;

	(void)state;
	net_begin(&net, 3, 0);
	net_replicas(&net, "engines", "north", 8);
	for (int i = 0; i < 600; i++) {
		ap_usec_t now = WORLD_START + i * 50 * AP_MSEC;
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		uint64_t subject = 1 + (uint64_t)(i * 7 % 20);
		ap_inflight_t inflight;
		ap_target_t target;

		world_prompt(&req, subject, 8000, (uint64_t)i);
		send_request(net.fleets[i % 3], &req, now, &target, &inflight);
		if (where[subject - 1][0] && strcmp(where[subject - 1], target.id) != 0)
			moved++;
		ap_copy_name(where[subject - 1], AP_NAME_MAX, target.id);
		ap_fleet_first_chunk(net.fleets[i % 3], &inflight, now + 30 * AP_MSEC);
		ap_fleet_done(net.fleets[i % 3], &inflight, AP_DISPATCH_DONE, now + 200 * AP_MSEC);
		if (i % 5 == 0)
			net_announce(&net, now);
	}
	assert_true(moved * 20 < 600);
	net_end(&net);
}

/* A large prefix is processed once for both regions, not once in each. */
static void large_prefixes_are_kept_by_one_region(void **state)
{
	unsigned forwarded = 0;
	net_t net;

	(void)state;
	net_begin(&net, 2, 2);
	net_replicas(&net, "engines", "north", 4);
	net_replicas(&net, "engines", "south", 4);
	for (int i = 0; i < 40; i++) {
		ap_usec_t now = WORLD_START + i * 100 * AP_MSEC;
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_target_t from_north;
		ap_target_t from_south;

		world_prompt(&req, 1 + (uint64_t)i, 14000, (uint64_t)i);
		assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &from_north),
				 AP_FLEET_OK);
		assert_int_equal(ap_fleet_choose(net.fleets[2], &req, now, &from_south),
				 AP_FLEET_OK);
		assert_string_equal(from_north.region, from_south.region);
		forwarded += from_north.remote;
	}
	/* The regions are equal, so each keeps about half of the prefixes. */
	assert_in_range(forwarded, 8, 32);
	net_end(&net);
}

/* A slightly longer wait in the remote region is better than processing a large prefix again. */
static void a_prefix_cached_elsewhere_is_worth_a_short_wait(void **state)
{
	ap_usec_t now = WORLD_START;
	bool found = false;
	net_t net;

	(void)state;
	net_begin(&net, 1, 1);
	net_replicas(&net, "engines", "north", 4);
	net_replicas(&net, "engines", "south", 4);
	for (uint64_t subject = 1; subject < 20 && !found; subject++) {
		ap_fleet_t *f = net.fleets[0];
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_target_t target;

		world_prompt(&req, subject, 8000, 1);
		ap_fleet_set_remote_wait(f, "south", "engines", 0, 0, now);
		assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
		if (!target.remote)
			continue; /* kept in the own region */
		found = true;
		ap_fleet_set_remote_wait(f, "south", "engines", 0, 300 * AP_MSEC, now);
		assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
		assert_true(target.remote);
		ap_fleet_set_remote_wait(f, "south", "engines", 0, 800 * AP_MSEC, now);
		assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
		assert_false(target.remote);
	}
	assert_true(found);
	net_end(&net);
}

static void small_prefixes_stay_in_their_region(void **state)
{
	net_t net;

	(void)state;
	net_begin(&net, 2, 2);
	net_replicas(&net, "engines", "north", 4);
	net_replicas(&net, "engines", "south", 4);
	for (int i = 0; i < 40; i++) {
		ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
		ap_target_t target;

		world_prompt(&req, 1 + (uint64_t)i, 1000, (uint64_t)i);
		assert_int_equal(ap_fleet_choose(net.fleets[0], &req, WORLD_START, &target),
				 AP_FLEET_OK);
		assert_false(target.remote);
	}
	net_end(&net);
}

/*
 * All engines have all prefixes cached, and all instances see the same one idle. Guards against all
 * choosing that one: ten instances sent requests to one engine within a fifth of a second.
 */
static void a_burst_on_prefixes_cached_everywhere_does_not_herd(void **state)
{
	enum {
		ENGINES = 12,
		INSTANCES = 20
	};
	unsigned per_engine[ENGINES] = {0};
	net_t net;

	(void)state;
	net_begin(&net, INSTANCES, 0);
	net_replicas(&net, "engines", "north", ENGINES);
	for (size_t i = 0; i < INSTANCES; i++) {
		for (int k = 0; k < ENGINES; k++) {
			ap_dispatch_t req =
				world_request(&world_stream, &world_engines, WORLD_START);
			ap_target_t target = {.port = 1};
			ap_inflight_t inflight;

			world_prompt(&req, 1 + i, 8000, 1);
			snprintf(target.id, sizeof(target.id), "engines-north-%d", k);
			ap_fleet_sent(net.fleets[i], &req, &target, WORLD_START, &inflight);
			if (k == 0)
				ap_fleet_done(net.fleets[i], &inflight, AP_DISPATCH_DONE,
					      WORLD_START + AP_SEC);
		}
	}
	net_announce(&net, WORLD_START + AP_SEC);
	for (size_t i = 0; i < INSTANCES; i++) {
		ap_usec_t now = WORLD_START + AP_SEC;
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_target_t target;
		int k;

		world_prompt(&req, 1 + i, 8000, 2);
		if (ap_fleet_choose(net.fleets[i], &req, now, &target) != AP_FLEET_OK)
			continue;
		assert_int_equal(sscanf(target.id, "engines-north-%d", &k), 1);
		per_engine[k]++;
	}
	/* Half of the instances expected: each compares six of the twelve engines. */
	for (int k = 0; k < ENGINES; k++)
		assert_true(per_engine[k] <= INSTANCES * 3 / 4);
	net_end(&net);
}

/* All requests share one prefix: other upstreams process it too before a request is refused. */
static void a_hot_prefix_spreads_before_it_is_refused(void **state)
{
	ap_fleet_t *f = world_fleet("i0", "north");
	unsigned moved = 0;

	(void)state;
	world_member(f, "i0", "north", false, WORLD_START);
	for (int i = 0; i < 4; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "e%d", i);
		world_replica(f, id, "engines", "north", WORLD_START);
	}
	for (uint64_t i = 0; i < 4 * 8; i++) {
		ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
		char first[AP_NAME_MAX];
		ap_target_t target;
		ap_inflight_t inflight;

		world_prompt(&req, 1, 2000, i);
		send_request(f, &req, WORLD_START, &target,
			     &inflight); /* asserts that none is refused */
		if (i == 0)
			ap_copy_name(first, sizeof(first), target.id);
		ap_fleet_first_chunk(
			f, &inflight,
			WORLD_START + AP_MSEC); /* prompt processed, response still running */
		moved += strcmp(first, target.id) != 0;
	}
	assert_true(moved > 0);
	ap_fleet_free(f);
}

/* A cached prefix does not make up for an upstream that fails. */
static void a_prefix_is_processed_again_when_its_upstream_fails(void **state)
{
	ap_fleet_t *f = world_fleet("i0", "north");
	ap_usec_t now = WORLD_START;
	char first[AP_NAME_MAX] = "";

	(void)state;
	world_member(f, "i0", "north", false, now);
	world_replica(f, "e1", "engines", "north", now);
	world_replica(f, "e2", "engines", "north", now);
	for (uint64_t i = 0; i < 6; i++, now += 100 * AP_MSEC) {
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_target_t target;
		ap_inflight_t inflight;

		world_prompt(&req, 1, 8000, i);
		send_request(f, &req, now, &target, &inflight);
		if (i == 0)
			ap_copy_name(first, sizeof(first), target.id);
		if (i == 5)
			assert_string_not_equal(target.id, first);
		ap_fleet_first_chunk(f, &inflight, now + 30 * AP_MSEC);
		ap_fleet_done(f, &inflight, i == 0 ? AP_DISPATCH_DONE : AP_DISPATCH_ERROR,
			      now + 50 * AP_MSEC);
	}
	ap_fleet_free(f);
}

/* Later prompts evict a prefix, in the view of the instance that sent them and of the others. */
static void later_prompts_evict_a_prefix(void **state)
{
	net_t net;

	(void)state;
	net_begin(&net, 2, 0);
	net_replicas(&net, "engines", "north", 1);
	for (int i = 0; i <= 40; i++) {
		ap_usec_t now = WORLD_START + i * AP_SEC;
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_dispatch_t again = req;
		ap_target_t target;
		ap_inflight_t inflight;

		world_prompt(&again, 1, 8000, 1000 + (uint64_t)i);
		if (i == 0 || i == 40) {
			for (int k = 0; k < 2; k++) {
				assert_int_equal(
					ap_fleet_choose(net.fleets[k], &again, now, &target),
					AP_FLEET_OK);
				assert_int_equal(target.cached, 0);
			}
		}
		if (i == 0)
			req = again;
		req.tokens_in = i == 0 ? req.tokens_in : 4000;
		send_request(net.fleets[0], &req, now, &target, &inflight);
		ap_fleet_first_chunk(net.fleets[0], &inflight, now + AP_MSEC);
		ap_fleet_done(net.fleets[0], &inflight, AP_DISPATCH_DONE, now + 2 * AP_MSEC);
		net_announce(&net, now + 500 * AP_MSEC);
		if (i == 0) {
			world_prompt(&again, 1, 8000, 999);
			for (int k = 0; k < 2; k++) {
				assert_int_equal(ap_fleet_choose(net.fleets[k], &again,
								 now + 500 * AP_MSEC, &target),
						 AP_FLEET_OK);
				assert_int_equal(target.cached, 8000);
			}
		}
	}
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_with_one_prefix_go_to_one_upstream),
		cmocka_unit_test(large_prefixes_are_kept_by_one_region),
		cmocka_unit_test(a_prefix_cached_elsewhere_is_worth_a_short_wait),
		cmocka_unit_test(small_prefixes_stay_in_their_region),
		cmocka_unit_test(a_burst_on_prefixes_cached_everywhere_does_not_herd),
		cmocka_unit_test(a_hot_prefix_spreads_before_it_is_refused),
		cmocka_unit_test(a_prefix_is_processed_again_when_its_upstream_fails),
		cmocka_unit_test(later_prompts_evict_a_prefix),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
