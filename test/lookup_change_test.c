/* Streams that change the version of their weights, where word of the change is lost or late. */
#include "fleet/private.h"
#include "lookup_net.h"

#define MODEL 7

/* Stream "a" goes on at instance 1 from event @since on with @weights; its witnesses are told. */
static void serve_weights(net_t *net, ap_weights_t weights, uint64_t since, ap_usec_t now)
{
	const ap_stream_source_t source = {
		.build = build_of(V1), .weights = weights, .since = since};
	ap_peer_port_t port = net_port(net, 1);

	ap_fleet_stream_served(net->fleets[1], "a", &source, now);
	ap_fleet_tell_streams(net->fleets[1], &port, now);
	net_deliver(net, now);
}

/* Returns the version at which "a" goes on at instance @i after the event @last; ANY if it waits.
 */
static ap_weights_t weights_at(net_t *net, size_t i, const char *last, ap_usec_t now)
{
	const ap_stream_question_t q = {
		.id = "a", .route = &route, .model = MODEL, .last_event = last, .asked_at = now};
	ap_stream_place_t place = ap_fleet_stream_place(net->fleets[i], &q, now);
	ap_peer_port_t port = net_port(net, i);

	if (place.evidence == AP_STREAM_UNKNOWN || !place.reachable || place.unconfirmed) {
		ap_stream_lookup_t *l = ap_fleet_lookup_begin(net->fleets[i], &q, &port, now);

		net_deliver(net, now);
		ap_fleet_set_store_known(net->fleets[i], now, WORLD_START);
		assert_true(ap_fleet_lookup_done(net->fleets[i], l, now, &place));
		ap_fleet_lookup_end(l);
	}
	return place.evidence == AP_STREAM_UNKNOWN ? AP_WEIGHTS_ANY : place.source.weights;
}

/*
 * Guards against a stream that goes on at the version before (ORDER): the announcement of the
 * change was lost, or waits at a relay, while instances that were told at once know of it.
 */
static void a_change_counts_though_its_announcement_is_lost(void **state)
{
	ap_replica_entry_t e = world_entry("e1", "engines", "north");
	net_t net;

	(void)state;
	begin(&net);
	ap_copy_name(e.version, sizeof(e.version), V1);
	e.models[e.n_models++] = (ap_loaded_model_t){.name = MODEL, .weights = 1};
	for (size_t i = 0; i < net.n; i++)
		ap_fleet_update_replica(net.fleets[i], &e, WORLD_START);
	serve_weights(&net, 1, 0, NOW - 300 * AP_MSEC);
	net_announce(&net, NOW);
	serve_weights(&net, 2, 10, NOW);
	kill_instance(&net, 1); /* nobody waits for its answer */
	for (size_t i = 0; i < INSTANCES; i++) {
		if (i == 1)
			continue;
		assert_int_not_equal(weights_at(&net, i, "12", NOW), 1);
		assert_int_equal(weights_at(&net, i, "9", NOW), 1);
	}
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_change_counts_though_its_announcement_is_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
