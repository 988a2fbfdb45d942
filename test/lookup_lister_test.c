/* Streams that callers take up where their build isn't listed: who gets the request. */
#include "lookup_net.h"

#define STREAMS 40

/* Guards against a stream that can't go on where its build isn't listed, though others list it. */
static void a_request_goes_to_the_instance_that_lists_the_build(void **state)
{
	ap_dispatch_t req = world_request(&route, &world_engines, NOW);
	ap_stream_place_t place;
	ap_target_t target;
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 1; i < net.n; i++)
		list(net.fleets[i], "e2", V2, NOW);
	serve(&net, 1, "a", V2, NOW);
	net.n_messages = 0; /* nobody is told */
	assert_int_equal(find(&net, 0, "a", NOW, &place), AP_STREAM_ASKED);
	assert_string_equal(place.pool, "engines");
	req.build = place.source.build;
	req.resumes = "a";
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, NOW, &target), AP_FLEET_OK);
	assert_true(target.remote);
	assert_string_equal(target.id, "i1");
	req.local_only = true;
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, NOW, &target), AP_FLEET_NONE);
	net_end(&net);
}

/* Guards against a request that is handed to a witness which only heard of the stream. */
static void a_request_goes_to_an_instance_that_lists_the_build_not_to_who_heard_of_it(void **state)
{
	ap_dispatch_t req = world_request(&route, &world_engines, NOW);
	ap_stream_place_t place;
	ap_target_t target;
	net_t net;

	(void)state;
	begin(&net);
	list(net.fleets[1], "e2", V2, NOW);
	serve(&net, 1, "a", V2, NOW);
	for (size_t m = 0; m < net.n_messages; m++) {
		if (strcmp(net.messages[m].to, "i0") == 0) /* as if it were no witness */
			net.messages[m].to[0] = '\0';
	}
	net_deliver(&net, NOW);
	assert_true(find(&net, 0, "a", NOW, &place) >= AP_STREAM_TOLD);
	req.build = place.source.build;
	req.resumes = "a";
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, NOW, &target), AP_FLEET_OK);
	assert_true(target.remote);
	assert_string_equal(target.id, "i1");
	net_end(&net);
}

/*
 * Guards against a stream that is lost (LOST) as an instance of a region that may not serve its
 * route was the last to say that it lists the build, or the first.
 */
static void a_request_goes_to_a_region_that_may_serve_it(void **state)
{
	ap_plan_route_t home = route;
	ap_stream_question_t q = {.id = "a", .route = &home, .last_event = "3", .asked_at = NOW};
	ap_dispatch_t req = world_request(&home, &world_engines, NOW);

	(void)state;
	home.n_homes = 1;
	ap_copy_name(home.homes[0], sizeof(home.homes[0]), "north");
	for (int north_first = 0; north_first < 2; north_first++) {
		ap_stream_lookup_t *l;
		ap_stream_place_t place;
		ap_target_t target;
		ap_peer_port_t port;
		size_t questions;
		net_t net;

		begin(&net);
		for (size_t i = 1; i < net.n; i++) {
			list_in(net.fleets[i], i < INSTANCES ? "north" : "south", "e2", V2, NOW);
			serve(&net, i, "a", V2, NOW);
		}
		net.n_messages = 0;
		port = net_port(&net, 0);
		l = ap_fleet_lookup_begin(net.fleets[0], &q, &port, NOW);
		questions = net.n_messages;
		deliver_of(&net, 0, 0, 1);
		if (north_first)
			deliver_of(&net, questions, 1, INSTANCES);
		deliver_of(&net, questions, INSTANCES, net.n);
		assert_int_equal(ap_fleet_lookup_done(net.fleets[0], l, NOW, &place), north_first);
		if (!north_first) {
			deliver_of(&net, questions, 1, INSTANCES);
			assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW, &place));
		}
		ap_fleet_lookup_end(l);
		req.build = place.source.build;
		req.resumes = "a";
		assert_int_equal(ap_fleet_choose(net.fleets[0], &req, NOW, &target), AP_FLEET_OK);
		assert_string_equal(target.region, "north");
		net_end(&net);
	}
}

/*
 * Guards against a stream of a route over two pools that is lost (LOST) though an instance that
 * announced it lists its build: only who is asked says which pool that is.
 */
static void a_stream_of_a_split_route_is_asked_for(void **state)
{
	static const ap_plan_share_t shares[] = {{.pool = "engines", .weight = 1},
						 {.pool = "others", .weight = 1}};
	ap_plan_route_t split = route;
	ap_stream_question_t q = {.id = "a", .route = &split, .last_event = "3", .asked_at = NOW};
	ap_stream_lookup_t *l;
	ap_stream_place_t place;
	ap_peer_port_t port;
	net_t net;

	(void)state;
	split.shares = (ap_plan_share_t *)shares;
	split.n_shares = 2;
	begin(&net);
	list(net.fleets[1], "e2", V2, NOW);
	serve(&net, 1, "a", V2, NOW);
	net_announce(&net, NOW + 100 * AP_MSEC);
	place = ap_fleet_stream_place(net.fleets[0], &q, NOW + 100 * AP_MSEC);
	assert_int_equal(place.evidence, AP_STREAM_TOLD);
	assert_false(place.reachable);
	port = net_port(&net, 0);
	l = ap_fleet_lookup_begin(net.fleets[0], &q, &port, NOW + 100 * AP_MSEC);
	net_deliver(&net, NOW + 100 * AP_MSEC);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW + 100 * AP_MSEC, &place));
	ap_fleet_lookup_end(l);
	assert_true(place.reachable);
	assert_string_equal(place.pool, "engines");
	net_end(&net);
}

/*
 * Guards against a stream that is lost (LOST) as its build is listed here in a region that may not
 * serve its route, while an instance of the home region has it there.
 */
static void a_build_of_another_region_is_no_help(void **state)
{
	const ap_usec_t now = NOW + 100 * AP_MSEC;
	ap_plan_route_t home = route;
	ap_dispatch_t req = world_request(&home, &world_engines, now);
	ap_stream_place_t place;
	ap_stream_question_t q = {.id = "a", .route = &home, .last_event = "3", .asked_at = now};
	ap_target_t target;
	net_t net;

	(void)state;
	home.n_homes = 1;
	ap_copy_name(home.homes[0], sizeof(home.homes[0]), "north");
	begin(&net);
	for (size_t i = 0; i < net.n; i++)
		list_in(net.fleets[i], "south", "e2", V2, NOW);
	for (size_t i = 1; i < net.n; i++)
		list(net.fleets[i], "e3", V2, NOW);
	serve(&net, 1, "a", V2, NOW);
	net_announce(&net, now);
	place = ap_fleet_stream_place(net.fleets[0], &q, now);
	assert_int_equal(place.evidence, AP_STREAM_TOLD);
	req.build = place.source.build;
	req.resumes = "a";
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &target), AP_FLEET_OK);
	assert_string_equal(target.region, "north");
	net_end(&net);
}

/*
 * Guards against a stream that is lost (LOST) as the only instance that announced it has been
 * killed since, though others of the region list its build, and some of them were told.
 */
static void who_announced_a_stream_may_be_gone(void **state)
{
	const ap_usec_t now = NOW + 100 * AP_MSEC;

	(void)state;
	for (int n = 0; n < STREAMS; n++) {
		ap_dispatch_t req = world_request(&route, &world_engines, now);
		char id[16];
		ap_stream_question_t q = {
			.id = id, .route = &route, .last_event = "3", .asked_at = now};
		ap_stream_place_t place;
		ap_target_t target;
		net_t net;

		snprintf(id, sizeof(id), "s%d", n);
		begin(&net);
		for (size_t i = 1; i < net.n; i++)
			list(net.fleets[i], "e2", V2, NOW);
		serve(&net, 1, id, V2, NOW);
		net_deliver(&net, NOW);
		net_announce(&net, now);
		kill_instance(&net, 1);
		place = ap_fleet_stream_place(net.fleets[0], &q, now);
		assert_int_equal(place.evidence, AP_STREAM_TOLD);
		if (!place.reachable)
			find(&net, 0, id, now, &place);
		req.build = place.source.build;
		req.resumes = id;
		assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &target), AP_FLEET_OK);
		if (strcmp(target.id, "i1") == 0) {
			ap_copy_name(req.avoid[req.n_avoid++], AP_NAME_MAX, target.id);
			assert_int_equal(ap_fleet_choose(net.fleets[0], &req, now, &target),
					 AP_FLEET_OK);
		}
		net_end(&net);
	}
}

/* Guards against a request that waits at an instance that is silent, though another lists the
 * build. */
static void a_request_goes_to_an_instance_that_responds(void **state)
{
	ap_dispatch_t req = world_request(&route, &world_engines, NOW);
	ap_stream_place_t place;
	ap_inflight_t inflight;
	ap_target_t target;
	char first[AP_NAME_MAX];
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 1; i < net.n; i++) {
		list(net.fleets[i], "e2", V2, NOW);
		serve(&net, i, "a", V2, NOW);
	}
	net.n_messages = 0;
	assert_int_equal(find(&net, 0, "a", NOW, &place), AP_STREAM_ASKED);
	req.build = place.source.build;
	req.resumes = "a";
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, NOW, &target), AP_FLEET_OK);
	ap_copy_name(first, sizeof(first), target.id);
	ap_fleet_sent(net.fleets[0], &req, &target, NOW, &inflight);
	ap_fleet_done(net.fleets[0], &inflight, AP_DISPATCH_UNREACHABLE, NOW);
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, NOW, &target), AP_FLEET_OK);
	assert_string_not_equal(target.id, first);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_goes_to_the_instance_that_lists_the_build),
		cmocka_unit_test(
			a_request_goes_to_an_instance_that_lists_the_build_not_to_who_heard_of_it),
		cmocka_unit_test(a_request_goes_to_a_region_that_may_serve_it),
		cmocka_unit_test(a_stream_of_a_split_route_is_asked_for),
		cmocka_unit_test(a_request_goes_to_an_instance_that_responds),
		cmocka_unit_test(a_build_of_another_region_is_no_help),
		cmocka_unit_test(who_announced_a_stream_may_be_gone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
