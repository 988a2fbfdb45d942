/* Streams whose build isn't listed here, and that whoever lists it has in another region only. */
#include "fleet/private.h"
#include "lookup_net.h"

/* Returns whether a request that is handed to the instance @target can be sent from there. */
static bool can_serve(net_t *net, const ap_target_t *target, const ap_dispatch_t *req)
{
	ap_dispatch_t guest = *req;
	ap_target_t there;

	guest.local_only = true;
	return ap_fleet_choose(net->fleets[atoi(target->id + 1)], &guest, NOW, &there) ==
	       AP_FLEET_OK;
}

/* Checks that one of the instances to which the request of stream "a" is handed can serve it. */
static void check_goes_on(net_t *net, const ap_stream_place_t *place)
{
	ap_dispatch_t req = world_request(&route, &world_engines, NOW);
	ap_target_t target;

	req.build = place->source.build;
	req.resumes = "a";
	for (;;) {
		assert_int_equal(ap_fleet_choose(net->fleets[0], &req, NOW, &target), AP_FLEET_OK);
		if (can_serve(net, &target, &req))
			return;
		ap_copy_name(req.avoid[req.n_avoid++], AP_NAME_MAX, target.id);
	}
}

/*
 * Guards against a stream that is lost (LOST) as it is handed to instances of the own region only,
 * whose upstreams of the build are in the other one: they refuse what was forwarded.
 */
static void a_request_goes_where_the_build_is(void **state)
{
	ap_stream_lookup_t *l;
	ap_stream_place_t place;
	size_t questions;
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 1; i < net.n; i++) {
		list_in(net.fleets[i], "south", "e2", V2, NOW);
		serve(&net, i, "a", V2, NOW);
	}
	net.n_messages = 0;
	l = look_up(&net, 0, "a", NOW);
	questions = net.n_messages;
	deliver_of(&net, 0, 0, 1);
	deliver_of(&net, questions, 1, INSTANCES);
	if (!ap_fleet_lookup_done(net.fleets[0], l, NOW, &place)) {
		deliver_of(&net, questions, INSTANCES, net.n);
		assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW, &place));
	}
	ap_fleet_lookup_end(l);
	check_goes_on(&net, &place);
	net_end(&net);
}

/* Guards against the same where the only instance that knows the stream forwarded it. */
static void who_forwarded_a_stream_says_where_to(void **state)
{
	ap_stream_place_t place;
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 1; i < net.n; i++)
		list_in(net.fleets[i], "south", "e2", V2, NOW);
	serve(&net, 1, "a", V2, NOW);
	net.n_messages = 0;
	assert_int_equal(find(&net, 0, "a", NOW, &place), AP_STREAM_ASKED);
	check_goes_on(&net, &place);
	net_end(&net);
}

/* Guards against a stream that is lost while instances of an earlier build say no regions. */
static void who_says_no_region_gets_the_request(void **state)
{
	ap_dispatch_t req = world_request(&route, &world_engines, NOW);
	ap_stream_lookup_t *l;
	ap_stream_place_t place;
	ap_peer_port_t port;
	ap_target_t target;
	ap_wire_out_t out;
	net_t net;

	(void)state;
	begin(&net);
	l = look_up(&net, 0, "a", NOW);
	ap_wire_out_begin(&out, AP_WIRE_STREAM_ANSWER, (ap_id_t){.hi = 8, .lo = 1}, 1);
	msgpack_pack_array(&out.pk, 5);
	msgpack_pack_uint64(&out.pk, ap_stream_hash("a"));
	msgpack_pack_uint64(&out.pk, build_of(V2));
	msgpack_pack_uint64(&out.pk, AP_WEIGHTS_ANY);
	msgpack_pack_uint64(&out.pk, 0);
	ap_wire_pack_str(&out.pk, "engines");
	port = net_port(&net, 1);
	ap_wire_out_send(&out, &port, "i0");
	ap_wire_out_end(&out);
	deliver_of(&net, net.n_messages - 1, 1, 2);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW, &place));
	ap_fleet_lookup_end(l);
	req.build = place.source.build;
	req.resumes = "a";
	assert_int_equal(ap_fleet_choose(net.fleets[0], &req, NOW, &target), AP_FLEET_OK);
	assert_string_equal(target.id, "i1");
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_goes_where_the_build_is),
		cmocka_unit_test(who_forwarded_a_stream_says_where_to),
		cmocka_unit_test(who_says_no_region_gets_the_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
