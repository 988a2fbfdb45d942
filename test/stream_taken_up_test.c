/* What instances say of a stream that callers have taken up, against what they said before. */
#include "fleet/private.h"
#include "lookup_net.h"

/* Instance @i serves the stream at @weights, from the event @since on. */
static void tell(net_t *net, size_t i, const char *version, ap_weights_t weights, uint64_t since)
{
	const ap_stream_source_t source = {
		.build = build_of(version), .weights = weights, .since = since};
	ap_peer_port_t port = net_port(net, i);

	ap_fleet_stream_served(net->fleets[i], "a", &source, NOW);
	ap_fleet_tell_streams(net->fleets[i], &port, NOW);
	net_deliver(net, NOW);
}

/* The stream begins at instance 1, in front of all those that know two builds. */
static void begin_stream(net_t *net)
{
	begin_mixed(net);
	tell(net, 1, V2, W(1), 0);
}

/*
 * Guards against a stream that goes on at a version of which its caller has no event (ORDER): it
 * changed after the last event that the caller got, and was taken up at the version before.
 */
static void a_change_that_the_caller_never_got_stays_undone(void **state)
{
	const ap_stream_question_t q = question("7");
	net_t net;

	(void)state;
	begin_stream(&net);
	tell(&net, 1, V2, W(2), 5); /* the connection breaks before the caller has it */
	tell(&net, 2, V2, W(1), 4);
	net_announce(&net, NOW + AP_SEC);
	for (size_t i = 0; i < INSTANCES; i++)
		assert_int_equal(ap_fleet_stream_place(net.fleets[i], &q, NOW).source.weights,
				 W(1));
	/* A change after that counts. */
	tell(&net, 2, V2, W(3), 6);
	assert_int_equal(ap_fleet_stream_place(net.fleets[2], &q, NOW).source.weights, W(3));
	net_end(&net);
}

/*
 * Guards against a stream that goes on at a wrong build (ORDER), as an instance that heard only of
 * whoever took it up wrongly doesn't follow one that was told who began it.
 */
static void who_heard_only_of_a_take_up_follows_the_name(void **state)
{
	ap_stream_question_t q = question("5");
	ap_stream_place_t place;
	net_t net;

	(void)state;
	begin_mixed(&net);
	tell(&net, 2, V1, AP_WEIGHTS_ANY, 3);
	q.named.build = build_of(V2);
	q.guest = true;
	place = ap_fleet_stream_place(net.fleets[2], &q, NOW);
	assert_int_equal(place.source.build, build_of(V2));
	assert_int_equal(place.evidence, AP_STREAM_NAMED);
	net_end(&net);
}

/* Guards against an announcement to all instances for each stream that is merely taken up. */
static void a_take_up_isnt_announced_at_once(void **state)
{
	ap_fleet_t *f;
	net_t net;

	(void)state;
	begin(&net);
	f = net.fleets[2];
	f->announced_at = f->waits_announced_at = NOW;
	tell(&net, 2, V1, AP_WEIGHTS_ANY, 3);
	assert_int_equal(f->announced_at, NOW);
	assert_int_equal(f->waits_announced_at, NOW);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_change_that_the_caller_never_got_stays_undone),
		cmocka_unit_test(who_heard_only_of_a_take_up_follows_the_name),
		cmocka_unit_test(a_take_up_isnt_announced_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
