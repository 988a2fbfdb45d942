/*
 * Tests of the choice of a target under load. Each test is a pattern of requests over a few
 * instances that announce their load to each other, in virtual time and without a network.
 */
#include "fleet_net.h"
#include "wire/frame.h"

/* A request whose route allows only the own region is never forwarded, however long it waits. */
static void home_bound_requests_stay_under_any_load(void **state)
{
	ap_plan_route_t route = world_stream;
	ap_inflight_t inflights[400];
	net_t net;

	(void)state;
	ap_copy_name(route.homes[0], AP_NAME_MAX, "north");
	route.n_homes = 1;
	net_begin(&net, 1, 1);
	net_replicas(&net, "engines", "north", 1);
	net_replicas(&net, "engines", "south", 4);
	for (int i = 0; i < 400; i++) {
		ap_dispatch_t req = world_request(&route, &world_engines, WORLD_START);
		ap_target_t target;

		world_prompt(&req, 1 + (uint64_t)i, 14000, (uint64_t)i);
		if (ap_fleet_choose(net.fleets[0], &req, WORLD_START, &target) != AP_FLEET_OK)
			break;
		assert_false(target.remote);
		ap_fleet_sent(net.fleets[0], &req, &target, WORLD_START, &inflights[i]);
	}
	net_end(&net);
}

/* A region whose upstreams are all busy forwards requests to one with free slots. */
static void a_full_region_forwards_to_one_with_free_slots(void **state)
{
	unsigned forwarded = 0;
	net_t net;

	(void)state;
	net_begin(&net, 1, 1);
	net_replicas(&net, "engines", "north", 2);
	net_replicas(&net, "engines", "south", 6);
	for (int i = 0; i < 120; i++) {
		ap_usec_t now = WORLD_START + i * 5 * AP_MSEC;
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_inflight_t inflight;
		ap_target_t target;

		if (i % 20 == 0)
			net_announce(&net, now);
		if (ap_fleet_choose(net.fleets[0], &req, now, &target) != AP_FLEET_OK)
			continue;
		forwarded += target.remote;
		ap_fleet_sent(net.fleets[0], &req, &target, now, &inflight);
	}
	assert_true(forwarded > 20);
	net_end(&net);
}

/*
 * Long requests of low priority fill a region whose engines process urgent requests first. Urgent
 * requests must still be forwarded there: 394 were refused as too late when the announced wait
 * ignored the priority.
 */
static void waits_are_announced_by_priority(void **state)
{
	ap_plan_route_t less_urgent = world_stream;
	ap_target_t here;
	net_t net;

	(void)state;
	less_urgent.priority = 1;
	net_begin(&net, 1, 1);
	net_replicas(&net, "engines", "south", 1);
	for (int i = 0; i < 60; i++) {
		ap_dispatch_t req = world_request(&less_urgent, &world_engines, WORLD_START);
		ap_inflight_t inflight;

		req.tokens_in = 10000;
		req.local_only = true;
		if (i == 0)
			assert_int_equal(ap_fleet_choose(net.fleets[1], &req, WORLD_START, &here),
					 AP_FLEET_OK);
		ap_fleet_sent(net.fleets[1], &req, &here, WORLD_START, &inflight);
	}
	net_announce(&net, WORLD_START + AP_SEC);
	for (int urgent = 0; urgent <= 1; urgent++) {
		ap_usec_t now = WORLD_START + AP_SEC;
		ap_dispatch_t req =
			world_request(urgent ? &world_stream : &less_urgent, &world_engines, now);
		ap_target_t target;

		assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &target),
				 urgent ? AP_FLEET_OK : AP_FLEET_LATE);
	}
	net_end(&net);
}

static void a_region_without_upstreams_forwards_everything(void **state)
{
	ap_dispatch_t req = world_request(&world_call, &world_desk, WORLD_START);
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 1);
	net_replicas(&net, "desk", "south", 1);
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, WORLD_START, &target), AP_FLEET_OK);
	assert_true(target.remote);
	assert_string_equal(target.id, "i1");
	req.local_only = true; /* a request is forwarded once only */
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, WORLD_START, &target), AP_FLEET_NONE);
	net_end(&net);
}

/*
 * Upstreams of the remote region fail their requests. The instances there, which report the
 * failures, must still be used: 276 requests were refused with slots free when they were suspected.
 */
static void failing_remote_upstreams_do_not_make_instances_suspect(void **state)
{
	static const ap_dispatch_result_t ends[] = {AP_DISPATCH_BROKEN, AP_DISPATCH_REFUSED,
						    AP_DISPATCH_UNREACHABLE};
	ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 2);
	net_replicas(&net, "engines", "south", 2);
	for (size_t e = 0; e < 3; e++) {
		for (int i = 0; i < 10; i++) {
			send_request(net.fleets[0], &req, WORLD_START, &target, &inflight);
			ap_fleet_done(net.fleets[0], &inflight, ends[e], WORLD_START);
		}
	}
	/* All instances there are suspected now; using one is better than refusing the request. */
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, WORLD_START, &target), AP_FLEET_OK);
	net_end(&net);
}

/* 24 instances choose at the same moment, on announcements of the moment before. */
static void a_burst_on_stale_load_does_not_herd(void **state)
{
	unsigned per_engine[12] = {0};
	net_t net;

	(void)state;
	net_begin(&net, 24, 0);
	net_replicas(&net, "engines", "north", 12);
	net_announce(&net, WORLD_START);
	for (size_t i = 0; i < 24; i++) {
		ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
		ap_target_t target;
		int k;

		assert_int_equal(ap_fleet_choose(net.fleets[i], &req, WORLD_START, &target),
				 AP_FLEET_OK);
		assert_int_equal(sscanf(target.id, "engines-north-%d", &k), 1);
		per_engine[k]++;
	}
	for (int k = 0; k < 12; k++)
		assert_true(per_engine[k] <= 8);
	net_end(&net);
}

/* The load announced by others counts: an engine that all of them use is not chosen. */
static void load_of_other_instances_counts(void **state)
{
	ap_target_t busy = {.id = "engines-north-0", .region = "north"};
	unsigned chosen = 0;
	net_t net;

	(void)state;
	net_begin(&net, 3, 0);
	net_replicas(&net, "engines", "north", 2);
	for (int i = 0; i < 20; i++) {
		ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
		ap_inflight_t inflight;

		ap_fleet_sent(net.fleets[1 + i % 2], &req, &busy, WORLD_START, &inflight);
	}
	net_announce(&net, WORLD_START + AP_SEC);
	for (int i = 0; i < 50; i++) {
		ap_usec_t now = WORLD_START + AP_SEC;
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_target_t target;

		assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &target), AP_FLEET_OK);
		chosen += strcmp(target.id, busy.id) == 0;
	}
	assert_int_equal(chosen, 0);
	net_end(&net);
}

/* A large request is refused because of the load only, not because of its own size. */
static void the_largest_request_is_not_refused_for_its_size(void **state)
{
	ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 0);
	net_replicas(&net, "engines", "north", 2);
	req.tokens_in = 90000; /* the prefill takes three latency objectives */
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, WORLD_START, &target), AP_FLEET_OK);
	net_end(&net);
}

/*
 * The responses of a pool took longer than the objective for a while. When its upstreams are idle,
 * the pool must be used again, since otherwise its recovery is never noticed: 13 of 181 requests
 * were refused (soak, seed 4).
 */
static void a_pool_that_was_slow_is_used_again(void **state)
{
	ap_usec_t now = WORLD_START;
	ap_inflight_t inflight;
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 0);
	net_replicas(&net, "desk", "north", 2);
	for (int i = 0; i < 40; i++) {
		ap_dispatch_t req = world_request(&world_call, &world_desk, now);

		req.tokens_in = 0;
		req.tokens_out = 0;
		send_request(net.fleets[0], &req, now, &target, &inflight);
		now += 1900 * AP_MSEC;
		ap_fleet_first_chunk(net.fleets[0], &inflight, now);
		ap_fleet_done(net.fleets[0], &inflight, AP_DISPATCH_DONE, now);
	}
	net_end(&net);
}

/* Requests are refused when all slots are taken for most of a latency objective. */
static void a_burst_beyond_all_slots_is_refused(void **state)
{
	unsigned taken = 0;
	net_t net;

	(void)state;
	net_begin(&net, 1, 0);
	net_replicas(&net, "engines", "north", 1);
	for (int i = 0; i < 200; i++) {
		ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
		ap_inflight_t inflight;
		ap_target_t target;

		if (ap_fleet_choose(net.fleets[0], &req, WORLD_START, &target) != AP_FLEET_OK)
			break;
		ap_fleet_sent(net.fleets[0], &req, &target, WORLD_START, &inflight);
		taken++;
	}
	assert_in_range(taken, 9, 60);
	net_end(&net);
}

/* Of 12 instances three watch the store; when those cannot, three others do. */
static void some_instances_watch_the_store_for_all(void **state)
{
	bool watches[12];
	uint64_t changed;
	uint64_t era;
	unsigned n = 0;
	net_t net;

	(void)state;
	net_begin(&net, 12, 0);
	for (int round = 0; round < 2; round++) {
		ap_usec_t now = WORLD_START + (1 + round) * 2 * AP_SEC;

		for (int i = 0; i < 12; i++)
			ap_fleet_set_store_state(net.fleets[i], true, 1, 40 + (uint64_t)round);
		net_announce(&net, now);
		n = 0;
		for (int i = 0; i < 12; i++) {
			watches[i] = !ap_fleet_store_watched(net.fleets[i], now, &era, &changed);
			n += watches[i];
			assert_int_equal(changed, 40 + round);
			assert_int_equal(era, 1);
		}
		assert_int_equal(n, 3);
	}
	for (int i = 0; i < 12; i++)
		ap_fleet_set_store_state(net.fleets[i], !watches[i], 1, 41);
	net_announce(&net, WORLD_START + 6 * AP_SEC);
	n = 0;
	for (int i = 0; i < 12; i++)
		n += !watches[i] && !ap_fleet_store_watched(net.fleets[i], WORLD_START + 6 * AP_SEC,
							    &era, &changed);
	assert_int_equal(n, 3);
	/* Without recent announcements every instance watches. */
	for (int i = 0; i < 12; i++)
		assert_false(ap_fleet_store_watched(net.fleets[i], WORLD_START + 9 * AP_SEC, &era,
						    &changed));
	net_end(&net);
}

static void in_a_small_region_each_instance_watches_the_store(void **state)
{
	uint64_t changed;
	uint64_t era;
	net_t net;

	(void)state;
	net_begin(&net, 4, 4);
	for (int i = 0; i < 8; i++)
		ap_fleet_set_store_state(net.fleets[i], true, 1, 40);
	net_announce(&net, WORLD_START + AP_SEC);
	for (int i = 0; i < 8; i++)
		assert_false(ap_fleet_store_watched(net.fleets[i], WORLD_START + AP_SEC, &era,
						    &changed));
	net_end(&net);
}

static void an_invalid_message_changes_nothing(void **state)
{
	static const char junk[] = "\x94\x02\x60\xc0\x93\xff";
	net_t net;

	(void)state;
	net_begin(&net, 2, 0);
	assert_false(ap_fleet_receive(net.fleets[0], "i1", junk, sizeof(junk) - 1, WORLD_START));
	assert_false(ap_fleet_receive(net.fleets[0], "i1", "", 0, WORLD_START));
	net_end(&net);
}

/* During an upgrade, announcements of the previous version have fewer fields and are accepted. */
static void announcements_of_the_previous_version_are_accepted(void **state)
{
	ap_wire_out_t out;
	uint64_t changed;
	uint64_t era;
	net_t net;

	(void)state;
	net_begin(&net, 7, 0);
	for (int watcher = 1; watcher < 7; watcher++) {
		ap_wire_out_begin(&out, AP_WIRE_FLEET, (ap_id_t){.hi = 1}, 1);
		msgpack_pack_array(&out.pk, 5);
		msgpack_pack_array(&out.pk, 0);
		msgpack_pack_array(&out.pk, 0);
		ap_wire_pack_bool(&out.pk, false);
		ap_wire_pack_bool(&out.pk, true);
		msgpack_pack_uint64(&out.pk, 77);
		assert_true(ap_fleet_receive(net.fleets[0], net.senders[watcher].id, out.buf.data,
					     out.buf.size, WORLD_START));
		ap_wire_out_end(&out);
	}
	ap_fleet_store_watched(net.fleets[0], WORLD_START, &era, &changed);
	assert_int_equal(changed, 77);
	net_end(&net);
}

/* While the store is unreachable, instances announce that they drain or are back. */
static void draining_is_announced_while_the_store_is_unreachable(void **state)
{
	ap_usec_t now = WORLD_START;
	net_t net;

	(void)state;
	net_begin(&net, 2, 0);
	assert_int_equal(ap_fleet_active_peers(net.fleets[0], now), 1);
	world_member(net.fleets[1], "i1", "north", true, now);
	net_announce(&net, now + AP_SEC);
	assert_int_equal(ap_fleet_active_peers(net.fleets[0], now + AP_SEC), 0);
	/* Restarted: a new incarnation, with no entry in the store yet. */
	ap_fleet_free(net.fleets[1]);
	net.fleets[1] = world_start("i1", "north", 2);
	world_member(net.fleets[1], "i1", "north", false, now);
	world_member(net.fleets[1], "i0", "north", false, now);
	net_announce(&net, now + 3 * AP_SEC);
	assert_int_equal(ap_fleet_active_peers(net.fleets[0], now + 3 * AP_SEC), 1);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(home_bound_requests_stay_under_any_load),
		cmocka_unit_test(a_full_region_forwards_to_one_with_free_slots),
		cmocka_unit_test(waits_are_announced_by_priority),
		cmocka_unit_test(a_region_without_upstreams_forwards_everything),
		cmocka_unit_test(failing_remote_upstreams_do_not_make_instances_suspect),
		cmocka_unit_test(a_burst_on_stale_load_does_not_herd),
		cmocka_unit_test(load_of_other_instances_counts),
		cmocka_unit_test(the_largest_request_is_not_refused_for_its_size),
		cmocka_unit_test(a_pool_that_was_slow_is_used_again),
		cmocka_unit_test(a_burst_beyond_all_slots_is_refused),
		cmocka_unit_test(some_instances_watch_the_store_for_all),
		cmocka_unit_test(in_a_small_region_each_instance_watches_the_store),
		cmocka_unit_test(an_invalid_message_changes_nothing),
		cmocka_unit_test(announcements_of_the_previous_version_are_accepted),
		cmocka_unit_test(draining_is_announced_while_the_store_is_unreachable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
