/* Instances that heard only that a stream was taken up, and others that know how it began. */
#include "fleet/private.h"
#include "lookup_net.h"

/* Finds where the stream goes on at instance @i, as for a caller that reaches it. */
static void find_place(net_t *net, size_t i, ap_stream_place_t *place)
{
	const ap_stream_question_t q = question("5");

	*place = ap_fleet_stream_place(net->fleets[i], &q, NOW);
	if (place->evidence == AP_STREAM_UNKNOWN || place->concluded || !place->reachable)
		find(net, i, "a", NOW, place);
}

/*
 * Guards against a stream that goes on at a wrong build (ORDER), though the instances that would be
 * asked know the right one: here only the word of whoever took it up wrongly was heard.
 */
static void who_heard_only_of_a_take_up_asks_who_knows_the_beginning(void **state)
{
	const ap_stream_t taken_up = {.id = ap_stream_hash("a"),
				      .source = {.build = build_of(V1), .since = 2},
				      .at = NOW,
				      .origin = AP_ORIGIN_REGION,
				      .told_by = ap_member_tag("i2")};
	ap_stream_place_t place;
	net_t net;

	(void)state;
	begin_mixed(&net);
	serve(&net, 1, "a", V2, NOW); /* tells two others */
	net_deliver(&net, NOW);
	for (size_t i = 0; i < INSTANCES; i++) {
		if (ap_stream_find(net.fleets[i], taken_up.id, 5))
			continue;
		ap_stream_add(net.fleets[i], &taken_up);
		find_place(&net, i, &place);
		assert_int_equal(place.source.build, build_of(V2));
	}
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(who_heard_only_of_a_take_up_asks_who_knows_the_beginning),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
