/*
 * Callers take streams up at another instance while upstreams of a newer version join and an
 * instance is out of step: real instances with the store and the upstreams of the soak.
 */
#include "caller.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OLDER "" /* of the upstreams that the soak starts with */
#define NEWER "v2"
#define READ_TIME (1200 * AP_MSEC) /* three reads of the store */
#define TOLD_TIME (600 * AP_MSEC)  /* two announcements to the region */
#define REFUSED_TIME (600 * AP_MSEC)
#define TRIES 60
#define YOUNG 4 /* streams, some of which are younger than an announcement */

/* The instances: g0 and g2 in the north, g1 and g3 in the south. */
enum {
	SKEWED = 0, /* the one that is out of step */
	OTHER = 2,
};

static caller_t *call(soak_t *s, const instance_t *inst, const caller_t *of)
{
	caller_t *c = caller_ask(s, inst, of);

	assert_non_null(c->fetch);
	return c;
}

/*
 * Returns a caller that has the first event of a stream that an upstream of @version began. Other
 * streams last until then: without them, an upstream that already has streams is not chosen.
 */
static caller_t *begin_at(soak_t *s, const instance_t *inst, const char *version)
{
	caller_t *others[TRIES];
	caller_t *begun = NULL;
	int n = 0;

	while (!begun && n < TRIES) {
		caller_t *c = call(s, inst, NULL);

		for (int k = 0; k < TRIES && c->events == 0 && c->fetch; k++)
			scenario_run(s, SCENARIO_TURN);
		if (c->events > 0 && c->version && strcmp(c->version, version) == 0)
			begun = c;
		else
			others[n++] = c;
	}
	if (!begun) {
		soak_finding(s, "no stream began at version \"%s\"; the last got %d from \"%s\"",
			     version, others[n - 1]->status, others[n - 1]->by);
		fail();
	}
	while (n > 0)
		caller_leave(others[--n]);
	return begun;
}

static void await(soak_t *s, const caller_t *c)
{
	while (c->fetch)
		scenario_run(s, SCENARIO_TURN);
}

/* An upstream of the newer version joins, and the instances that read the store know of it. */
static void join_newer(soak_t *s)
{
	s->release = NEWER;
	replica_start(s, s->n_replicas++, "engines", s->instances[SKEWED].region);
	scenario_run(s, READ_TIME);
}

/* Checks that @c, whose stream began at @version, got the rest of it from there. */
static void check_goes_on(soak_t *s, const caller_t *c, const char *version)
{
	if (c->q->runs > 0 && strcmp(c->version, version) != 0)
		soak_finding(s, "order: %s goes on at version \"%s\", expected \"%s\"", c->q->id,
			     c->version, version);
	if (c->status != 200 || c->events == 0)
		soak_finding(s, "lost: %s got %d after %u runs", c->q->id, c->status, c->q->runs);
}

static void check_refused(soak_t *s, const caller_t *c)
{
	if (c->q->runs > 0)
		soak_finding(s, "order: %s ran at version \"%s\", expected a refusal", c->q->id,
			     c->version);
	if (c->status != 503 || !c->says_when || c->ended_at - c->q->sent > REFUSED_TIME)
		soak_finding(s, "refused: %s got %d, Retry-After %d, after %lld ms", c->q->id,
			     c->status, c->says_when,
			     (long long)((c->ended_at - c->q->sent) / AP_MSEC));
}

/*
 * Guards against a stream that an instance cut off from the others and the store takes for one of
 * the only build that it knows (incident of 2026-12-07, ORDER).
 */
static void a_cut_off_instance_takes_up_no_stream_it_knows_nothing_of(void **state)
{
	soak_t *s = *state;
	caller_t *begun;
	caller_t *rest;

	link_set_mode(s->instances[SKEWED].store_link, LINK_SILENT);
	for (size_t k = 0; k < 2; k++)
		link_set_mode(s->instances[SKEWED].peer_links[k], LINK_SILENT);
	join_newer(s);
	begun = begin_at(s, &s->instances[OTHER], NEWER);
	caller_leave(begun);
	rest = call(s, &s->instances[SKEWED], begun);
	await(s, rest);
	check_refused(s, rest);
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against the same at an instance that only the store turns away: it hears the others, which
 * know the stream and its upstream.
 */
static void an_instance_that_the_store_turns_away_asks_the_others(void **state)
{
	soak_t *s = *state;
	caller_t *begun[2];
	caller_t *rest[2];

	link_set_mode(s->instances[SKEWED].store_link, LINK_RESET);
	join_newer(s);
	/* A stream that it hasn't been told of by then, and one that it has. */
	for (size_t i = 2; i > 0; i--)
		begun[i - 1] = begin_at(s, &s->instances[OTHER], NEWER);
	for (size_t i = 0; i < 2; i++) {
		caller_leave(begun[i]);
		rest[i] = call(s, &s->instances[SKEWED], begun[i]);
		scenario_run(s, TOLD_TIME);
	}
	for (size_t i = 0; i < 2; i++) {
		await(s, rest[i]);
		check_goes_on(s, rest[i], NEWER);
	}
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against the same at an instance that stood still: a request that waited meanwhile is read
 * before the store is.
 */
static void an_instance_that_stood_still_asks_the_others(void **state)
{
	soak_t *s = *state;
	caller_t *begun;
	caller_t *rest;

	instance_signal(&s->instances[SKEWED], SIGSTOP);
	link_set_mode(s->instances[SKEWED].store_link, LINK_SILENT);
	join_newer(s);
	begun = begin_at(s, &s->instances[OTHER], NEWER);
	caller_leave(begun);
	rest = call(s, &s->instances[SKEWED], begun);
	scenario_run(s, SCENARIO_TURN);
	instance_signal(&s->instances[SKEWED], SIGCONT);
	await(s, rest);
	link_set_mode(s->instances[SKEWED].store_link, LINK_OPEN);
	check_goes_on(s, rest, NEWER);
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against a stream that can't go on since its instance was killed a moment after the first
 * event, before its next announcement, though upstreams of its build are there (LOST).
 */
static void a_young_stream_goes_on_when_its_instance_is_killed(void **state)
{
	soak_t *s = *state;
	caller_t *begun[YOUNG];
	bool whole[YOUNG];

	join_newer(s);
	for (size_t i = 0; i < YOUNG; i++)
		begun[i] = begin_at(s, &s->instances[OTHER], NEWER);
	assert_non_null(begun[YOUNG - 1]->fetch);
	for (size_t i = 0; i < YOUNG; i++)
		whole[i] = !begun[i]->fetch;
	instance_signal(&s->instances[OTHER], SIGKILL);
	for (size_t i = 0; i < YOUNG; i++) {
		caller_t *rest;

		if (whole[i])
			continue;
		await(s, begun[i]);
		rest = call(s, &s->instances[SKEWED], begun[i]);
		await(s, rest);
		check_goes_on(s, rest, NEWER);
	}
	assert_int_equal(s->findings, 0);
}

static void restart(soak_t *s, instance_t *inst)
{
	instance_signal(inst, SIGKILL);
	scenario_run(s, SCENARIO_TURN);
	instance_start(inst);
	scenario_run(s, READ_TIME);
}

/* Guards against streams that can't go on at an instance that was restarted (LOST). */
static void a_restarted_instance_asks_the_others(void **state)
{
	soak_t *s = *state;
	caller_t *begun;
	caller_t *rest;

	join_newer(s);
	begun = begin_at(s, &s->instances[OTHER], NEWER);
	scenario_run(s, TOLD_TIME);
	restart(s, &s->instances[SKEWED]);
	caller_leave(begun);
	rest = call(s, &s->instances[SKEWED], begun);
	await(s, rest);
	check_goes_on(s, rest, NEWER);
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against a stream that goes on at another build as an instance in step follows the one that
 * another instance, out of step or of an earlier build, has concluded and names (ORDER).
 */
static void an_instance_goes_on_where_it_was_told_not_where_it_is_named(void **state)
{
	static const char *const evidence[] = {"only-build", NULL, NULL};
	soak_t *s = *state;

	join_newer(s);
	for (size_t i = 0; i < sizeof(evidence) / sizeof(*evidence); i++) {
		caller_t *begun = begin_at(s, &s->instances[OTHER], NEWER);
		caller_t *rest;

		/* It is told nothing the last time, and asks. */
		if (i == 2)
			restart(s, &s->instances[SKEWED]);
		caller_leave(begun);
		rest = caller_forward(s, &s->instances[SKEWED], begun, "engines", OLDER,
				      evidence[i]);
		await(s, rest);
		check_goes_on(s, rest, NEWER);
	}
	assert_int_equal(s->findings, 0);
}

/* Guards against a caller that is kept waiting for what nobody knows. */
static void a_stream_that_nobody_knows_is_refused(void **state)
{
	soak_t *s = *state;
	caller_t *other;
	caller_t *rest;

	join_newer(s);
	other = begin_at(s, &s->instances[OTHER], NEWER);
	caller_leave(other);
	/* One that no instance has seen. */
	other->q = caller_request(s, SOAK_RESUMABLE);
	other->q->done = true;
	rest = call(s, &s->instances[SKEWED], other);
	await(s, rest);
	check_refused(s, rest);
	assert_int_equal(s->findings, 0);
}

/* Guards against streams of a pool with one build that can't go on elsewhere (LOST). */
static void a_stream_of_the_only_build_goes_on(void **state)
{
	soak_t *s = *state;
	caller_t *begun = begin_at(s, &s->instances[OTHER], "");
	caller_t *rest;

	instance_signal(&s->instances[OTHER], SIGKILL);
	await(s, begun);
	rest = call(s, &s->instances[SKEWED], begun);
	await(s, rest);
	check_goes_on(s, rest, "");
	assert_int_equal(s->findings, 0);
}

#define SKEWED_TEST(test) cmocka_unit_test_setup_teardown(test, caller_set_up, caller_tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		SKEWED_TEST(a_cut_off_instance_takes_up_no_stream_it_knows_nothing_of),
		SKEWED_TEST(an_instance_that_the_store_turns_away_asks_the_others),
		SKEWED_TEST(an_instance_that_stood_still_asks_the_others),
		SKEWED_TEST(a_young_stream_goes_on_when_its_instance_is_killed),
		SKEWED_TEST(a_restarted_instance_asks_the_others),
		SKEWED_TEST(an_instance_goes_on_where_it_was_told_not_where_it_is_named),
		SKEWED_TEST(a_stream_that_nobody_knows_is_refused),
		SKEWED_TEST(a_stream_of_the_only_build_goes_on),
	};

	scenario_program = argc > 1 ? argv[1] : "";
	return cmocka_run_group_tests(tests, NULL, NULL);
}
