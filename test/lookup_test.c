/* Streams that callers take up and of which nothing was heard: what an instance may conclude. */
#include "fleet/private.h"
#include "lookup_net.h"

#define KEPT (30 * AP_SEC) /* twice the age of a stream */
#define LARGE 24	   /* instances, for relays */
#define RELAYS 2	   /* of a data centre */
#define REGIONS 20	   /* of one instance each */

/* Guards against a list read before the caller came that counts as showing all builds. */
static void only_a_reading_after_the_caller_came_shows_the_only_build(void **state)
{
	ap_stream_place_t place;
	ap_stream_lookup_t *l;
	net_t net;

	(void)state;
	begin(&net);
	l = look_up(&net, 0, "a", NOW);
	net_deliver(&net, NOW);
	assert_true(ap_fleet_lookup_wants_read(net.fleets[0], l, NOW));
	assert_false(ap_fleet_lookup_done(net.fleets[0], l, NOW, &place));
	ap_fleet_set_store_known(net.fleets[0], NOW - 1, WORLD_START);
	assert_false(ap_fleet_lookup_done(net.fleets[0], l, NOW + AP_MSEC, &place));
	ap_fleet_set_store_known(net.fleets[0], NOW, WORLD_START);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW + 2 * AP_MSEC, &place));
	assert_int_equal(place.evidence, AP_STREAM_ONLY_BUILD);
	assert_int_equal(place.source.build, build_of(V1));
	ap_fleet_lookup_end(l);
	/* That reading shows a second build. */
	l = look_up(&net, 0, "b", NOW + AP_SEC);
	net_deliver(&net, NOW + AP_SEC);
	list(net.fleets[0], "e2", V2, NOW + AP_SEC);
	ap_fleet_set_store_known(net.fleets[0], NOW + AP_SEC, WORLD_START);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW + AP_SEC, &place));
	assert_int_equal(place.evidence, AP_STREAM_UNKNOWN);
	ap_fleet_lookup_end(l);
	net_end(&net);
}

/* Guards against an instance that missed changes, as after a restart, and concludes from its list.
 */
static void an_instance_that_missed_changes_concludes_nothing(void **state)
{
	ap_stream_place_t place;
	ap_usec_t now = NOW;
	net_t net;

	(void)state;
	begin(&net);
	ap_fleet_set_store_known(net.fleets[0], now, now - KEPT + 1);
	assert_int_equal(find(&net, 0, "a", now, &place), AP_STREAM_UNKNOWN);
	ap_fleet_set_store_known(net.fleets[0], now, now - KEPT);
	assert_int_equal(find(&net, 0, "a", now, &place), AP_STREAM_ONLY_BUILD);
	ap_fleet_set_store_silent(net.fleets[0], true);
	assert_int_equal(find(&net, 0, "a", now, &place), AP_STREAM_UNKNOWN);
	ap_fleet_set_store_silent(net.fleets[0], false);
	/* A build that is gone, also where its upstream goes on under the same id as another. */
	list(net.fleets[0], "e1", V2, now);
	assert_int_equal(find(&net, 0, "a", now, &place), AP_STREAM_UNKNOWN);
	for (int i = 0; i < 40; i++) {
		char id[16];

		snprintf(id, sizeof(id), "x%d", i);
		list(net.fleets[0], id, V2, now);
		ap_fleet_remove_replica(net.fleets[0], id, false, now);
	}
	now += KEPT - 1;
	net_announce(&net, now);
	ap_fleet_set_store_known(net.fleets[0], now, WORLD_START);
	assert_int_equal(find(&net, 0, "a", now, &place), AP_STREAM_UNKNOWN);
	now++;
	ap_fleet_set_store_known(net.fleets[0], now, WORLD_START);
	assert_int_equal(find(&net, 0, "a", now, &place), AP_STREAM_ONLY_BUILD);
	assert_int_equal(place.source.build, build_of(V2));
	net_end(&net);
}

/* Guards against a stream that nobody knows any more once the instance that began it is gone. */
static void others_know_a_stream_as_soon_as_it_has_begun(void **state)
{
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 0; i < net.n; i++) {
		list(net.fleets[i], "e2", V2, NOW);
		ap_fleet_set_store_known(net.fleets[i], NOW, WORLD_START);
	}
	serve(&net, 1, "a", V2, NOW);
	assert_int_equal(net.n_messages, 2);
	net_deliver(&net, NOW);
	kill_instance(&net, 1); /* it answers nothing */
	for (size_t i = 0; i < net.n; i++) {
		ap_stream_place_t place;

		if (i == 1)
			continue;
		ap_fleet_remove_member(net.fleets[i], "i1", NOW - 10 * AP_SEC);
		assert_true(find(&net, i, "a", NOW, &place) >= AP_STREAM_TOLD);
		assert_int_equal(place.source.build, build_of(V2));
		assert_int_equal(find(&net, i, "b", NOW, &place), AP_STREAM_UNKNOWN);
	}
	net_end(&net);
}

/*
 * Guards against a stream (LOST) of which only instances of a small region were told: they are
 * killed, while the one that began it is cut off or gone.
 */
static void a_second_region_knows_a_stream_of_a_small_region(void **state)
{
	(void)state;
	for (size_t north = 2; north <= 3; north++) {
		ap_stream_place_t place;
		net_t net;

		net_begin(&net, north, INSTANCES);
		for (size_t i = 0; i < net.n; i++)
			list(net.fleets[i], "e1", V1, WORLD_START);
		net_announce(&net, NOW - 100 * AP_MSEC);
		serve(&net, 0, "a", V1, NOW);
		assert_int_equal(net.n_messages, north);
		net_deliver(&net, NOW);
		for (size_t i = 0; i < north; i++)
			kill_instance(&net, i);
		for (size_t i = north; i < net.n; i++) {
			assert_true(find(&net, i, "a", NOW, &place) >= AP_STREAM_TOLD);
			assert_int_equal(place.source.build, build_of(V1));
		}
		net_end(&net);
	}
}

/* Guards against messages to all for each stream, or twice. */
static void two_instances_are_told_of_each_stream(void **state)
{
	ap_peer_port_t port;
	net_t net;

	(void)state;
	begin(&net);
	serve(&net, 1, "a", V1, NOW);
	assert_int_equal(net.n_messages, 2);
	port = net_port(&net, 1);
	ap_fleet_tell_streams(net.fleets[1], &port, NOW);
	assert_int_equal(net.n_messages, 2);
	net_end(&net);
}

/* Instances of a region that is large enough for relays, and some of another region. */
static void begin_large(net_t *net, size_t south)
{
	net_begin(net, LARGE, south);
	for (size_t i = 0; i < net->n; i++) {
		for (size_t k = 0; k < LARGE; k++) {
			ap_member_t m = {.peer_port = 81, .speaks = AP_FLEET_SPEAKS, .cores = 0.25};

			ap_copy_name(m.id, sizeof(m.id), net->senders[k].id);
			ap_copy_name(m.region, sizeof(m.region), "north");
			ap_copy_name(m.data_centre, sizeof(m.data_centre), "north-1");
			ap_fleet_update_member(net->fleets[i], &m, WORLD_START);
		}
		list(net->fleets[i], "e1", V1, WORLD_START);
	}
	/* What an instance announces to its relays reaches all others of the region. */
	for (size_t i = 0; i < net->n; i++) {
		ap_peer_port_t port = net_port(net, i);

		const message_t *last;

		ap_fleet_announce(net->fleets[i], &port, NOW);
		assert_true(net->n_messages > 0);
		last = &net->messages[net->n_messages - 1];
		for (size_t k = 0; k < LARGE; k++)
			ap_fleet_receive(net->fleets[k], last->from, last->data, last->len, NOW);
		net->n_messages = 0;
	}
}

/* Guards against connections between all instances of a large region. */
static void relays_are_told_where_there_are_some(void **state)
{
	size_t told = 0;
	net_t net;

	(void)state;
	begin_large(&net, 0);
	for (int n = 0; n < 100; n++) {
		char id[16];

		snprintf(id, sizeof(id), "%d", n);
		serve(&net, 1, id, V1, NOW);
	}
	for (size_t i = 0; i < net.n; i++) {
		size_t m = 0;

		while (m < net.n_messages && strcmp(net.messages[m].to, net.senders[i].id) != 0)
			m++;
		told += m < net.n_messages;
	}
	assert_in_range(told, 1, RELAYS);
	net_end(&net);
}

/*
 * Guards against the same in a large region of one data centre, where the relays are told, and pass
 * on what is announced: both are killed.
 */
static void a_second_region_knows_a_stream_that_the_relays_were_told_of(void **state)
{
	(void)state;
	for (int of_relay = 0; of_relay < 2; of_relay++) {
		size_t relays[RELAYS];
		size_t n = 0;
		size_t began;
		net_t net;

		begin_large(&net, INSTANCES);
		ap_relay_mark(net.fleets[1], NOW);
		for (size_t i = 0; i < LARGE && n < RELAYS; i++) {
			if (ap_member_find(net.fleets[1], net.senders[i].id)->direct)
				relays[n++] = i;
		}
		assert_int_equal(n, RELAYS);
		began = of_relay ? relays[0] : 1;
		serve(&net, began, "a", V1, NOW);
		assert_int_equal(net.n_messages, of_relay ? 2 : 3);
		net_deliver(&net, NOW);
		kill_instance(&net, began);
		for (size_t i = 0; i < RELAYS; i++)
			kill_instance(&net, relays[i]);
		for (size_t i = 0; i < net.n; i++) {
			ap_stream_place_t place;

			if (i != began && i != relays[0] && i != relays[1])
				assert_true(find(&net, i, "a", NOW, &place) >= AP_STREAM_TOLD);
		}
		net_end(&net);
	}
}

/* Guards against a stream (LOST) that is taken up in one of many regions, which doesn't ask where
 * it began. */
static void instances_of_all_regions_are_asked(void **state)
{
	ap_stream_place_t place;
	net_t net;

	(void)state;
	net_begin(&net, REGIONS, 0);
	for (size_t i = 0; i < net.n; i++) {
		ap_fleet_free(net.fleets[i]);
		net.fleets[i] = world_fleet(net.senders[i].id, net.senders[i].id);
		for (size_t k = 0; k < net.n; k++)
			world_member(net.fleets[i], net.senders[k].id, net.senders[k].id, false,
				     WORLD_START);
		list_in(net.fleets[i], net.senders[i].id, "e1", V1, WORLD_START);
	}
	for (size_t i = 1; i < net.n; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "s%zu", i);
		serve(&net, i, id, V1, NOW);
		net.n_messages = 0; /* nobody is told */
		assert_int_equal(find(&net, 0, id, NOW, &place), AP_STREAM_ASKED);
	}
	net_end(&net);
}

/* Guards against a caller that is kept waiting, for an instance that is gone or for nobody. */
static void a_lookup_ends(void **state)
{
	ap_stream_place_t place;
	ap_stream_lookup_t *l;
	ap_usec_t later = NOW + 10 * AP_SEC;
	net_t net;

	(void)state;
	begin(&net);
	list(net.fleets[0], "e2", V2, NOW);
	l = look_up(&net, 0, "a", NOW);
	net.n_messages = 0; /* lost */
	assert_false(ap_fleet_lookup_done(net.fleets[0], l, NOW + ANSWER_BOUND - 1, &place));
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW + ANSWER_BOUND, &place));
	assert_int_equal(place.evidence, AP_STREAM_UNKNOWN);
	ap_fleet_lookup_end(l);
	/* Cut off: neither the others nor the store are heard. */
	ap_fleet_tick(net.fleets[0], later - 100 * AP_MSEC);
	ap_fleet_set_store_silent(net.fleets[0], true);
	l = look_up(&net, 0, "a", later);
	assert_int_equal(net.n_messages, 0);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, later, &place));
	assert_int_equal(place.evidence, AP_STREAM_UNKNOWN);
	ap_fleet_lookup_end(l);
	/* Instead, it stood still: the others are asked. */
	l = look_up(&net, 0, "a", later + 10 * AP_SEC);
	assert_true(net.n_messages > 0);
	ap_fleet_lookup_end(l);
	net_end(&net);
}

/*
 * Guards against a stream that nobody is told of at once, though the others can't find out without:
 * for a route with a long time-out they keep builds that are gone for longer.
 */
static void a_build_is_settled_only_once_it_is_for_the_streams_route(void **state)
{
	const ap_stream_question_t q = {.id = "a", .last_event = "3", .asked_at = NOW};
	ap_plan_route_t slow = route;
	ap_stream_question_t asked = q;
	ap_stream_place_t place;
	ap_stream_lookup_t *l;
	ap_peer_port_t port;
	net_t net;

	(void)state;
	begin(&net);
	slow.timeout = 60 * AP_SEC;
	asked.route = &slow;
	port = net_port(&net, 0);
	for (size_t i = 0; i < net.n; i++) {
		list(net.fleets[i], "old", V2, NOW - 40 * AP_SEC);
		ap_fleet_remove_replica(net.fleets[i], "old", false, NOW - 40 * AP_SEC);
		ap_fleet_set_store_known(net.fleets[i], NOW, WORLD_START - 100 * AP_SEC);
	}
	serve(&net, 1, "a", V1, NOW);
	net_deliver(&net, NOW);
	kill_instance(&net, 1); /* before its next announcement */
	l = ap_fleet_lookup_begin(net.fleets[0], &asked, &port, NOW);
	net_deliver(&net, NOW);
	ap_fleet_set_store_known(net.fleets[0], NOW, WORLD_START - 100 * AP_SEC);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW + ANSWER_BOUND, &place));
	ap_fleet_lookup_end(l);
	assert_int_not_equal(place.evidence, AP_STREAM_UNKNOWN);
	net_end(&net);
}

/*
 * Guards against the same where the others missed changes, as after a restart of the rest of the
 * region, and the one that began the stream did not.
 */
static void a_build_is_settled_only_if_the_others_can_tell(void **state)
{
	ap_stream_place_t place;
	ap_stream_lookup_t *l;
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 0; i < net.n; i++)
		ap_fleet_set_store_known(net.fleets[i], NOW, i == 1 ? WORLD_START : NOW - AP_SEC);
	serve(&net, 1, "a", V1, NOW);
	net_deliver(&net, NOW);
	kill_instance(&net, 1);
	l = look_up(&net, 0, "a", NOW);
	net_deliver(&net, NOW);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW + ANSWER_BOUND, &place));
	ap_fleet_lookup_end(l);
	assert_int_not_equal(place.evidence, AP_STREAM_UNKNOWN);
	net_end(&net);
}

/*
 * Guards against an upstream whose entry has expired, but that serves on for whom the store turns
 * away with it: a stream that begins there later than builds are kept is no stream of the only one.
 */
static void an_upstream_may_serve_for_longer_than_its_build_is_kept(void **state)
{
	ap_usec_t now = NOW + KEPT + 5 * AP_SEC;
	ap_stream_place_t place;
	ap_stream_lookup_t *l;
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 0; i < net.n; i++)
		list(net.fleets[i], "e2", V2, NOW - AP_SEC);
	/* The store turns away instance 3 and this upstream; from now on nobody hears instance 3.
	 */
	ap_fleet_set_store_silent(net.fleets[3], true);
	for (size_t i = 0; i < net.n; i++) {
		if (i != 3)
			ap_fleet_remove_replica(net.fleets[i], "e2", false, NOW);
	}
	kill_instance(&net, 3);
	net_announce(&net, now - 100 * AP_MSEC);
	serve(&net, 3, "a", V2, now - 10 * AP_MSEC);
	net.n_messages = 0;
	ap_fleet_set_store_known(net.fleets[0], now, WORLD_START);
	l = look_up(&net, 0, "a", now);
	net_deliver(&net, now);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, now + ANSWER_BOUND, &place));
	ap_fleet_lookup_end(l);
	assert_int_equal(place.evidence, AP_STREAM_UNKNOWN);
	net_end(&net);
}

/*
 * Guards against a stream that goes on at the version of the weights that entries still say, where
 * its upstream had loaded another one and only the instance that is killed knew.
 */
static void others_know_at_once_that_an_upstream_has_loaded_other_weights(void **state)
{
	const ap_stream_source_t begun = {.build = build_of(V1), .weights = 1};
	const ap_stream_source_t changed = {.build = build_of(V1), .weights = 2, .since = 2};
	const ap_stream_question_t q = {
		.id = "a", .route = &route, .model = 7, .last_event = "3", .asked_at = NOW};
	ap_replica_entry_t e = world_entry("e1", "engines", "north");
	ap_stream_place_t place;
	ap_stream_lookup_t *l;
	ap_peer_port_t port;
	net_t net;

	(void)state;
	begin(&net);
	ap_copy_name(e.version, sizeof(e.version), V1);
	e.models[e.n_models++] = (ap_loaded_model_t){.name = 7, .weights = 1};
	for (size_t i = 0; i < net.n; i++)
		ap_fleet_update_replica(net.fleets[i], &e, WORLD_START);
	port = net_port(&net, 1);
	ap_fleet_stream_served(net.fleets[1], "a", &begun, NOW - 20 * AP_MSEC);
	ap_fleet_tell_streams(net.fleets[1], &port, NOW - 20 * AP_MSEC);
	ap_fleet_stream_served(net.fleets[1], "a", &changed, NOW - 10 * AP_MSEC);
	ap_fleet_tell_streams(net.fleets[1], &port, NOW - 10 * AP_MSEC);
	net_deliver(&net, NOW - 10 * AP_MSEC);
	kill_instance(&net, 1); /* before its next announcement */
	port = net_port(&net, 0);
	l = ap_fleet_lookup_begin(net.fleets[0], &q, &port, NOW);
	net_deliver(&net, NOW);
	ap_fleet_set_store_known(net.fleets[0], NOW, WORLD_START);
	assert_true(ap_fleet_lookup_done(net.fleets[0], l, NOW + ANSWER_BOUND, &place));
	ap_fleet_lookup_end(l);
	if (place.evidence != AP_STREAM_UNKNOWN)
		assert_int_equal(place.source.weights, 2);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_a_reading_after_the_caller_came_shows_the_only_build),
		cmocka_unit_test(an_instance_that_missed_changes_concludes_nothing),
		cmocka_unit_test(others_know_a_stream_as_soon_as_it_has_begun),
		cmocka_unit_test(a_second_region_knows_a_stream_of_a_small_region),
		cmocka_unit_test(two_instances_are_told_of_each_stream),
		cmocka_unit_test(relays_are_told_where_there_are_some),
		cmocka_unit_test(a_second_region_knows_a_stream_that_the_relays_were_told_of),
		cmocka_unit_test(instances_of_all_regions_are_asked),
		cmocka_unit_test(a_lookup_ends),
		cmocka_unit_test(a_build_is_settled_only_once_it_is_for_the_streams_route),
		cmocka_unit_test(a_build_is_settled_only_if_the_others_can_tell),
		cmocka_unit_test(others_know_at_once_that_an_upstream_has_loaded_other_weights),
		cmocka_unit_test(an_upstream_may_serve_for_longer_than_its_build_is_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
