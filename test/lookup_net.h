/* Instances that list upstreams of two builds, tell each other of streams and are asked. */
#ifndef AP_TEST_LOOKUP_NET_H
#define AP_TEST_LOOKUP_NET_H

#include "lookup_rig.h"

#define V1 "v1"
#define V2 "v2"
#define W(n) ((ap_weights_t)(n) + 1) /* a version of the weights */

static inline void list_in(ap_fleet_t *f, const char *region, const char *id, const char *version,
			   ap_usec_t now)
{
	ap_replica_entry_t e = world_entry(id, "engines", region);

	ap_copy_name(e.version, sizeof(e.version), version);
	ap_fleet_update_replica(f, &e, now);
}

static inline void list(ap_fleet_t *f, const char *id, const char *version, ap_usec_t now)
{
	list_in(f, "north", id, version, now);
}

/* Instances that hear each other, and list an upstream of the first version. */
static inline void begin(net_t *net)
{
	net_begin(net, INSTANCES, INSTANCES);
	for (size_t i = 0; i < net->n; i++) {
		list(net->fleets[i], "e1", V1, WORLD_START);
		ap_fleet_set_store_known(net->fleets[i], NOW - AP_SEC, WORLD_START);
	}
	net_announce(net, NOW - AP_SEC);
	net_announce(net, NOW - 100 * AP_MSEC);
}

/* Likewise, and one of the second version. */
static inline void begin_mixed(net_t *net)
{
	begin(net);
	for (size_t i = 0; i < net->n; i++)
		list(net->fleets[i], "e2", V2, NOW);
}

/* The stream "a" is taken up after the event @last_event. */
static inline ap_stream_question_t question(const char *last_event)
{
	return (ap_stream_question_t){
		.id = "a", .route = &route, .last_event = last_event, .asked_at = NOW};
}

static inline uint64_t build_of(const char *version)
{
	static ap_fleet_t *f;
	ap_dispatch_t req = world_request(&route, &world_engines, NOW);
	ap_target_t target = {0};

	f = world_north();
	list(f, "e", version, NOW);
	ap_fleet_choose(f, &req, NOW, &target);
	ap_fleet_free(f);
	return target.build;
}

/* The stream @id begins at instance @i; its witnesses are told. */
static inline void serve(net_t *net, size_t i, const char *id, const char *version, ap_usec_t now)
{
	const ap_stream_source_t source = {.build = build_of(version)};
	ap_peer_port_t port = net_port(net, i);

	ap_fleet_stream_served(net->fleets[i], id, &source, now);
	ap_fleet_tell_streams(net->fleets[i], &port, now);
}

static inline ap_stream_lookup_t *look_up(net_t *net, size_t i, const char *id, ap_usec_t now)
{
	const ap_stream_question_t q = {
		.id = id, .route = &route, .last_event = "3", .asked_at = now};
	ap_peer_port_t port = net_port(net, i);

	return ap_fleet_lookup_begin(net->fleets[i], &q, &port, now);
}

/* Returns how the place of @id is known at instance @i once all have answered that do. */
static inline ap_stream_evidence_t find(net_t *net, size_t i, const char *id, ap_usec_t now,
					ap_stream_place_t *place)
{
	ap_stream_lookup_t *l = look_up(net, i, id, now);

	net_deliver(net, now);
	if (!ap_fleet_lookup_done(net->fleets[i], l, now, place))
		assert_true(ap_fleet_lookup_done(net->fleets[i], l, now + ANSWER_BOUND, place));
	ap_fleet_lookup_end(l);
	return place->evidence;
}

/* Instance @i is killed: messages to it are lost. */
static inline void kill_instance(net_t *net, size_t i)
{
	net->senders[i].id[0] = '\0';
}

/* Delivers the messages from number @first on that instances from number @from up to @to sent. */
static inline void deliver_of(net_t *net, size_t first, size_t from, size_t to)
{
	for (size_t m = first, n = net->n_messages; m < n; m++) {
		for (size_t i = from; i < to; i++) {
			if (strcmp(net->messages[m].from, net->senders[i].id) == 0)
				assert_true(net_receive(net, atoi(net->messages[m].to + 1),
							&net->messages[m], NOW));
		}
	}
}

#endif
