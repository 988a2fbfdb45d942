/*
 * What instances say of one stream, where it doesn't agree or arrives out of order: announcements
 * wait at relays, and an instance may have sent a stream on to another build than the one that
 * began it.
 */
#include "fleet/private.h"
#include "lookup_net.h"

#define CHANGED_AT 5 /* the first event of other weights */

/* Instance @i says that it serves the stream from @source. */
static void tell(net_t *net, size_t i, const ap_stream_source_t *source)
{
	ap_peer_port_t port = net_port(net, i);

	ap_fleet_stream_served(net->fleets[i], "a", source, NOW);
	ap_fleet_tell_streams(net->fleets[i], &port, NOW);
}

/*
 * Guards against a stream that goes on at another build (ORDER), as an instance that is out of step
 * or of an earlier build names the only one that it knows to one that was told better.
 */
static void who_was_told_of_a_stream_doesnt_follow_another_name(void **state)
{
	ap_stream_question_t q = question("3");
	ap_stream_place_t place;
	net_t net;

	(void)state;
	begin_mixed(&net);
	serve(&net, 1, "a", V2, NOW);
	net_deliver(&net, NOW);
	q.named.build = build_of(V1);
	q.guest = true;
	place = ap_fleet_stream_place(net.fleets[1], &q, NOW);
	assert_int_equal(place.source.build, build_of(V2));
	assert_int_equal(place.evidence, AP_STREAM_TOLD);
	net_end(&net);
}

/*
 * Guards against a stream that goes on at the build of whoever took it up last, which may have been
 * wrong, and not at the one that began it (ORDER).
 */
static void who_takes_a_stream_up_doesnt_change_its_build(void **state)
{
	const ap_stream_question_t q = question("3");
	ap_stream_place_t place;
	size_t both = 0;
	net_t net;

	(void)state;
	begin_mixed(&net);
	serve(&net, 1, "a", V2, NOW);
	net_deliver(&net, NOW);
	serve(&net, 2, "a", V1, NOW);
	net_deliver(&net, NOW);
	for (size_t i = 0; i < INSTANCES; i++) {
		place = ap_fleet_stream_place(net.fleets[i], &q, NOW);
		if (place.evidence != AP_STREAM_UNKNOWN && i != 2)
			assert_int_equal(place.source.build, build_of(V2));
		both += place.other.build == build_of(V1);
	}
	assert_true(both >= 1); /* who knows both can record it */
	net_end(&net);
}

/*
 * Guards against a stream that goes on at the version of the weights before a change (ORDER), as an
 * announcement from before it comes later than what was told at once.
 */
static void an_announcement_that_waited_doesnt_undo_a_change(void **state)
{
	const ap_stream_source_t began = {.build = build_of(V1), .weights = W(1)};
	const ap_stream_source_t changed = {
		.build = build_of(V1), .weights = W(2), .since = CHANGED_AT};
	const ap_stream_question_t before = question("3");
	const ap_stream_question_t after = question("7");
	ap_peer_port_t port;
	size_t told;
	net_t net;

	(void)state;
	begin(&net);
	port = net_port(&net, 1);
	tell(&net, 1, &began);
	net.n_messages = 0; /* lost */
	ap_fleet_announce(net.fleets[1], &port, NOW);
	told = net.n_messages;
	tell(&net, 1, &changed);
	/* The change arrives first, then what was announced before it. */
	deliver_of(&net, told, 1, 2);
	net.n_messages = told;
	net_deliver(&net, NOW);
	told = 0;
	for (size_t i = 0; i < INSTANCES; i++) {
		if (!ap_stream_find(net.fleets[i], ap_stream_hash("a"), 7) || i == 1)
			continue;
		if (ap_stream_find(net.fleets[i], ap_stream_hash("a"), 7)->source.weights == W(2))
			told++;
		assert_int_equal(ap_fleet_stream_place(net.fleets[i], &before, NOW).source.weights,
				 W(1));
	}
	assert_int_equal(told, 2); /* those that are told at once */
	assert_int_equal(ap_fleet_stream_place(net.fleets[1], &after, NOW).source.weights, W(2));
	net_end(&net);
}

/*
 * Guards against records that don't say from whom an instance knows where a stream goes on, and
 * since when, so that a wrong word can't be told from a missing one (report 2 of ORDER).
 */
static void the_place_of_a_stream_names_who_told_of_it(void **state)
{
	const ap_stream_question_t q = question("3");
	size_t told = 0;
	net_t net;

	(void)state;
	begin_mixed(&net);
	serve(&net, 1, "a", V2, NOW);
	net_deliver(&net, NOW);
	for (size_t i = 0; i < INSTANCES; i++) {
		ap_stream_place_t place = ap_fleet_stream_place(net.fleets[i], &q, NOW + AP_SEC);

		if (place.told.build == 0)
			continue;
		assert_int_equal(place.told.build, build_of(V2));
		assert_int_equal(place.told.at, NOW);
		assert_string_equal(ap_origin_name(place.told.origin), i == 1 ? "self" : "region");
		assert_string_equal(place.told.by, i == 1 ? "" : net.senders[1].id);
		told++;
	}
	assert_int_equal(told, 3);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(who_was_told_of_a_stream_doesnt_follow_another_name),
		cmocka_unit_test(who_takes_a_stream_up_doesnt_change_its_build),
		cmocka_unit_test(an_announcement_that_waited_doesnt_undo_a_change),
		cmocka_unit_test(the_place_of_a_stream_names_who_told_of_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
