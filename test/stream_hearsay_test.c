/* Conclusions about one stream that reach an instance as if they were knowledge. */
#include "fleet/private.h"
#include "lookup_net.h"

/* Instance @i has heard, and nobody else, that the stream is served from @source. */
static void hear(net_t *net, size_t i, const ap_stream_source_t *source)
{
	const ap_stream_t stream = {.id = ap_stream_hash("a"),
				    .source = *source,
				    .at = NOW,
				    .origin = AP_ORIGIN_REGION,
				    .told_by = ap_member_tag("i1")};

	ap_stream_add(net->fleets[i], &stream);
}

/*
 * Guards against a stream that goes on at a wrong build (ORDER): of two instances that are asked,
 * the first to answer has heard only of whoever took it up, the other one of whoever began it.
 */
static void the_answer_of_who_knows_the_beginning_counts(void **state)
{
	const ap_stream_source_t began = {.build = build_of(V2)};
	const ap_stream_source_t taken_up = {.build = build_of(V1), .since = 2};
	ap_stream_place_t place;
	ap_stream_lookup_t *l;
	size_t answers;
	net_t net;

	(void)state;
	begin_mixed(&net);
	hear(&net, 1, &taken_up);
	hear(&net, 2, &began);
	l = look_up(&net, 3, "a", NOW);
	answers = net.n_messages;
	/* The questions, then the answer of the first one alone. */
	for (size_t m = 0; m < answers; m++)
		assert_true(net_receive(&net, (size_t)(net.messages[m].to[1] - '0'),
					&net.messages[m], NOW));
	deliver_of(&net, answers, 1, 2);
	if (!ap_fleet_lookup_done(net.fleets[3], l, NOW, &place)) {
		deliver_of(&net, answers, 0, net.n);
		assert_true(ap_fleet_lookup_done(net.fleets[3], l, NOW + ANSWER_BOUND, &place));
	}
	ap_fleet_lookup_end(l);
	assert_int_equal(place.source.build, build_of(V2));
	net_end(&net);
}

/*
 * Guards against a stream that goes on at the version of the weights before a change (ORDER), as
 * the instance that forwards it has heard of its beginning only and names that version to one that
 * was told of the change.
 */
static void who_was_told_of_a_change_doesnt_follow_an_older_version(void **state)
{
	const ap_stream_source_t began = {.build = build_of(V1), .weights = W(1)};
	const ap_stream_source_t changed = {.build = build_of(V1), .weights = W(2), .since = 5};
	const ap_stream_question_t q = {.id = "a",
					.route = &route,
					.last_event = "7",
					.named = {.build = build_of(V1), .weights = W(1)},
					.asked_at = NOW,
					.guest = true};
	net_t net;

	(void)state;
	begin(&net);
	hear(&net, 2, &began);
	hear(&net, 2, &changed);
	assert_int_equal(ap_fleet_stream_place(net.fleets[2], &q, NOW).source.weights, W(2));
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_answer_of_who_knows_the_beginning_counts),
		cmocka_unit_test(who_was_told_of_a_change_doesnt_follow_an_older_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
