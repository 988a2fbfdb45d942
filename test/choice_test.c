/*
 * Where work goes under load. Each test is a pattern of requests over a few instances that tell
 * each other their work, in virtual time and without a network.
 */
#include "fleet_net.h"
#include "wire/frame.h"

/* A route that is at home here is never sent elsewhere, however long it waits. */
static void home_bound_work_stays_under_any_load(void **state)
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
		ap_dispatch_t work = world_work(&route, &world_engines, WORLD_START);
		ap_target_t target;

		world_prompt(&work, 1 + (uint64_t)i, 14000, (uint64_t)i);
		if (ap_fleet_choose(net.fleets[0], &work, WORLD_START, &target) != AP_FLEET_OK)
			break;
		assert_false(target.remote);
		ap_fleet_sent(net.fleets[0], &work, &target, WORLD_START, &inflights[i]);
	}
	net_end(&net);
}

/* A region whose upstreams are all busy sends on to one that says it has room. */
static void a_full_region_sends_to_one_with_room(void **state)
{
	unsigned away = 0;
	net_t net;

	(void)state;
	net_begin(&net, 1, 1);
	net_replicas(&net, "engines", "north", 2);
	net_replicas(&net, "engines", "south", 6);
	for (int i = 0; i < 120; i++) {
		ap_usec_t now = WORLD_START + i * 5 * AP_MSEC;
		ap_dispatch_t work = world_work(&world_stream, &world_engines, now);
		ap_inflight_t inflight;
		ap_target_t target;

		if (i % 20 == 0)
			net_tell(&net, now);
		if (ap_fleet_choose(net.fleets[0], &work, now, &target) != AP_FLEET_OK)
			continue;
		away += target.remote;
		ap_fleet_sent(net.fleets[0], &work, &target, now, &inflight);
	}
	assert_true(away > 20);
	net_end(&net);
}

/*
 * Long requests fill a region whose engines take urgent ones first: it says so, and urgent guests
 * are not kept away. (The incident of ferias-stands: 394 refused as too late.)
 */
static void urgent_guests_are_told_only_what_goes_before_them(void **state)
{
	ap_plan_route_t less_urgent = world_stream;
	ap_target_t here;
	net_t net;

	(void)state;
	less_urgent.priority = 1;
	net_begin(&net, 1, 1);
	net_replicas(&net, "engines", "south", 1);
	for (int i = 0; i < 60; i++) {
		ap_dispatch_t work = world_work(&less_urgent, &world_engines, WORLD_START);
		ap_inflight_t inflight;

		work.tokens_in = 10000;
		work.local_only = true;
		if (i == 0)
			assert_int_equal(ap_fleet_choose(net.fleets[1], &work, WORLD_START, &here),
					 AP_FLEET_OK);
		ap_fleet_sent(net.fleets[1], &work, &here, WORLD_START, &inflight);
	}
	net_tell(&net, WORLD_START + AP_SEC);
	for (int urgent = 0; urgent <= 1; urgent++) {
		ap_usec_t now = WORLD_START + AP_SEC;
		ap_dispatch_t work =
			world_work(urgent ? &world_stream : &less_urgent, &world_engines, now);
		ap_target_t target;

		assert_int_equal(ap_fleet_choose(net.fleets[0], &work, now, &target),
				 urgent ? AP_FLEET_OK : AP_FLEET_LATE);
	}
	net_end(&net);
}

static void a_region_without_upstreams_sends_all_on(void **state)
{
	ap_dispatch_t work = world_work(&world_call, &world_desk, WORLD_START);
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 1);
	net_replicas(&net, "desk", "south", 1);
	assert_int_equal(ap_fleet_choose(net.fleets[0], &work, WORLD_START, &target), AP_FLEET_OK);
	assert_true(target.remote);
	assert_string_equal(target.id, "i1");
	work.local_only = true; /* a guest crosses once */
	assert_int_equal(ap_fleet_choose(net.fleets[0], &work, WORLD_START, &target),
			 AP_FLEET_NONE);
	net_end(&net);
}

/*
 * Upstreams of the other region break off what they run: its instances, who pass that on, are still
 * asked. (The incident of bandeja-rotas: 276 requests refused with places free.)
 */
static void breaking_upstreams_elsewhere_leave_their_instances_trusted(void **state)
{
	static const ap_dispatch_result_t ends[] = {AP_DISPATCH_BROKEN, AP_DISPATCH_REFUSED,
						    AP_DISPATCH_UNREACHABLE};
	ap_dispatch_t work = world_work(&world_stream, &world_engines, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 2);
	net_replicas(&net, "engines", "south", 2);
	for (size_t e = 0; e < 3; e++) {
		for (int i = 0; i < 10; i++) {
			send_work(net.fleets[0], &work, WORLD_START, &target, &inflight);
			ap_fleet_done(net.fleets[0], &inflight, ends[e], WORLD_START);
		}
	}
	/* All are suspected now: better than to refuse. */
	assert_int_equal(ap_fleet_choose(net.fleets[0], &work, WORLD_START, &target), AP_FLEET_OK);
	net_end(&net);
}

/* 24 instances get a request each at the same moment, on reports of the moment before. */
static void a_burst_on_late_reports_does_not_herd(void **state)
{
	unsigned per_engine[12] = {0};
	net_t net;

	(void)state;
	net_begin(&net, 24, 0);
	net_replicas(&net, "engines", "north", 12);
	net_tell(&net, WORLD_START);
	for (size_t i = 0; i < 24; i++) {
		ap_dispatch_t work = world_work(&world_stream, &world_engines, WORLD_START);
		ap_target_t target;
		int k;

		assert_int_equal(ap_fleet_choose(net.fleets[i], &work, WORLD_START, &target),
				 AP_FLEET_OK);
		assert_int_equal(sscanf(target.id, "engines-north-%d", &k), 1);
		per_engine[k]++;
	}
	for (int k = 0; k < 12; k++)
		assert_true(per_engine[k] <= 8);
	net_end(&net);
}

/* What others told counts: an engine that all of them use is left alone. */
static void work_of_other_instances_counts(void **state)
{
	ap_target_t busy = {.id = "engines-north-0", .region = "north"};
	unsigned chosen = 0;
	net_t net;

	(void)state;
	net_begin(&net, 3, 0);
	net_replicas(&net, "engines", "north", 2);
	for (int i = 0; i < 20; i++) {
		ap_dispatch_t work = world_work(&world_stream, &world_engines, WORLD_START);
		ap_inflight_t inflight;

		ap_fleet_sent(net.fleets[1 + i % 2], &work, &busy, WORLD_START, &inflight);
	}
	net_tell(&net, WORLD_START + AP_SEC);
	for (int i = 0; i < 50; i++) {
		ap_usec_t now = WORLD_START + AP_SEC;
		ap_dispatch_t work = world_work(&world_stream, &world_engines, now);
		ap_target_t target;

		assert_int_equal(ap_fleet_choose(net.fleets[0], &work, now, &target), AP_FLEET_OK);
		chosen += strcmp(target.id, busy.id) == 0;
	}
	assert_int_equal(chosen, 0);
	net_end(&net);
}

/* The largest requests are refused for the load of others only, not for their own size. */
static void the_largest_request_is_not_refused_for_its_size(void **state)
{
	ap_dispatch_t work = world_work(&world_stream, &world_engines, WORLD_START);
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 0);
	net_replicas(&net, "engines", "north", 2);
	work.tokens_in = 90000; /* three objectives to read */
	assert_int_equal(ap_fleet_choose(net.fleets[0], &work, WORLD_START, &target), AP_FLEET_OK);
	net_end(&net);
}

/*
 * A pool whose answers took longer than the objective for a while: when nothing waits there it is
 * asked again, else it would never be seen to have recovered. (Soak, seed 4: 13 of 181 refused.)
 */
static void a_pool_that_was_slow_is_asked_again(void **state)
{
	ap_usec_t now = WORLD_START;
	ap_inflight_t inflight;
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 0);
	net_replicas(&net, "desk", "north", 2);
	for (int i = 0; i < 40; i++) {
		ap_dispatch_t work = world_work(&world_call, &world_desk, now);

		work.tokens_in = 0;
		work.tokens_out = 0;
		send_work(net.fleets[0], &work, now, &target, &inflight);
		now += 1900 * AP_MSEC;
		ap_fleet_first_chunk(net.fleets[0], &inflight, now);
		ap_fleet_done(net.fleets[0], &inflight, AP_DISPATCH_DONE, now);
	}
	net_end(&net);
}

/* With all places taken for most of an objective nothing more is taken on. */
static void a_burst_beyond_all_places_is_refused(void **state)
{
	unsigned taken = 0;
	net_t net;

	(void)state;
	net_begin(&net, 1, 0);
	net_replicas(&net, "engines", "north", 1);
	for (int i = 0; i < 200; i++) {
		ap_dispatch_t work = world_work(&world_stream, &world_engines, WORLD_START);
		ap_inflight_t inflight;
		ap_target_t target;

		if (ap_fleet_choose(net.fleets[0], &work, WORLD_START, &target) != AP_FLEET_OK)
			break;
		ap_fleet_sent(net.fleets[0], &work, &target, WORLD_START, &inflight);
		taken++;
	}
	assert_in_range(taken, 9, 60);
	net_end(&net);
}

/* 12 instances: three watch the store; when one of them can't, the next one does. */
static void some_instances_watch_the_store_for_all(void **state)
{
	bool watches[12];
	uint64_t changed;
	unsigned n = 0;
	net_t net;

	(void)state;
	net_begin(&net, 12, 0);
	for (int round = 0; round < 2; round++) {
		ap_usec_t now = WORLD_START + (1 + round) * 2 * AP_SEC;

		for (int i = 0; i < 12; i++)
			ap_fleet_set_store_state(net.fleets[i], true, 40 + (uint64_t)round);
		net_tell(&net, now);
		n = 0;
		for (int i = 0; i < 12; i++) {
			watches[i] = !ap_fleet_store_watched(net.fleets[i], now, &changed);
			n += watches[i];
			assert_int_equal(changed, 40 + round);
		}
		assert_int_equal(n, 3);
	}
	for (int i = 0; i < 12; i++)
		ap_fleet_set_store_state(net.fleets[i], !watches[i], 41);
	net_tell(&net, WORLD_START + 6 * AP_SEC);
	n = 0;
	for (int i = 0; i < 12; i++)
		n += !watches[i] &&
		     !ap_fleet_store_watched(net.fleets[i], WORLD_START + 6 * AP_SEC, &changed);
	assert_int_equal(n, 3);
	/* Silence: all watch. */
	for (int i = 0; i < 12; i++)
		assert_false(
			ap_fleet_store_watched(net.fleets[i], WORLD_START + 9 * AP_SEC, &changed));
	net_end(&net);
}

static void a_small_region_watches_the_store_one_by_one(void **state)
{
	uint64_t changed;
	net_t net;

	(void)state;
	net_begin(&net, 4, 4);
	for (int i = 0; i < 8; i++)
		ap_fleet_set_store_state(net.fleets[i], true, 40);
	net_tell(&net, WORLD_START + AP_SEC);
	for (int i = 0; i < 8; i++)
		assert_false(ap_fleet_store_watched(net.fleets[i], WORLD_START + AP_SEC, &changed));
	net_end(&net);
}

static void a_message_that_cannot_be_read_changes_nothing(void **state)
{
	static const char junk[] = "\x94\x02\x60\xc0\x93\xff";
	net_t net;

	(void)state;
	net_begin(&net, 2, 0);
	assert_false(ap_fleet_receive(net.fleets[0], "i1", junk, sizeof(junk) - 1, WORLD_START));
	assert_false(ap_fleet_receive(net.fleets[0], "i1", "", 0, WORLD_START));
	net_end(&net);
}

/* While a deployment is upgraded, instances of the version before tell less: that much is taken. */
static void a_round_of_the_version_before_is_read(void **state)
{
	ap_wire_out_t out;
	uint64_t changed;
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
	ap_fleet_store_watched(net.fleets[0], WORLD_START, &changed);
	assert_int_equal(changed, 77);
	net_end(&net);
}

/* The store is away: who leaves, and who is back, is told between instances. */
static void leaving_is_told_while_the_store_is_away(void **state)
{
	ap_usec_t now = WORLD_START;
	net_t net;

	(void)state;
	net_begin(&net, 2, 0);
	assert_int_equal(ap_fleet_active_peers(net.fleets[0], now), 1);
	world_member(net.fleets[1], "i1", "north", true, now);
	net_tell(&net, now + AP_SEC);
	assert_int_equal(ap_fleet_active_peers(net.fleets[0], now + AP_SEC), 0);
	/* Started again: another incarnation, and no entry in the store yet. */
	ap_fleet_free(net.fleets[1]);
	net.fleets[1] = world_start("i1", "north", 2);
	world_member(net.fleets[1], "i1", "north", false, now);
	world_member(net.fleets[1], "i0", "north", false, now);
	net_tell(&net, now + 3 * AP_SEC);
	assert_int_equal(ap_fleet_active_peers(net.fleets[0], now + 3 * AP_SEC), 1);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(home_bound_work_stays_under_any_load),
		cmocka_unit_test(a_full_region_sends_to_one_with_room),
		cmocka_unit_test(urgent_guests_are_told_only_what_goes_before_them),
		cmocka_unit_test(a_region_without_upstreams_sends_all_on),
		cmocka_unit_test(breaking_upstreams_elsewhere_leave_their_instances_trusted),
		cmocka_unit_test(a_burst_on_late_reports_does_not_herd),
		cmocka_unit_test(work_of_other_instances_counts),
		cmocka_unit_test(the_largest_request_is_not_refused_for_its_size),
		cmocka_unit_test(a_pool_that_was_slow_is_asked_again),
		cmocka_unit_test(a_burst_beyond_all_places_is_refused),
		cmocka_unit_test(some_instances_watch_the_store_for_all),
		cmocka_unit_test(a_small_region_watches_the_store_one_by_one),
		cmocka_unit_test(a_message_that_cannot_be_read_changes_nothing),
		cmocka_unit_test(a_round_of_the_version_before_is_read),
		cmocka_unit_test(leaving_is_told_while_the_store_is_away),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
