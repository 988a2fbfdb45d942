/* The choice of another upstream for a request whose upstream has fallen silent. */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define SILENT_FOR (600 * AP_MSEC)

/* Sends a request to the upstream that is chosen, and returns its id. */
static const char *send_one(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now,
			    ap_target_t *target, ap_inflight_t *inflight)
{
	assert_int_equal(ap_fleet_choose(f, req, now, target), AP_FLEET_OK);
	ap_fleet_sent(f, req, target, now, inflight);
	return target->id;
}

/* Guards against requests that are moved from one silent upstream to another. */
static void another_silent_upstream_is_no_alternative(void **state)
{
	ap_usec_t now = WORLD_START;
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	ap_inflight_t inflight[2];
	ap_target_t target[2];

	(void)state;
	world_replica(f, "e1", "engines", "north", now);
	world_replica(f, "e2", "engines", "north", now);
	for (size_t i = 0; i < 2; i++) {
		send_one(f, &req, now, &target[i], &inflight[i]);
		ap_fleet_first_chunk(f, &inflight[i], now);
		ap_copy_name(req.avoid[0], AP_NAME_MAX, target[i].id);
		req.n_avoid = 1;
	}
	assert_string_not_equal(target[0].id, target[1].id);

	/* Both are silent: the stream at the second one stays there. */
	req.heard_since = now + 1;
	now += SILENT_FOR;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target[0]), AP_FLEET_NONE);
	/* One of them goes on. */
	ap_fleet_first_chunk(f, &inflight[0], now);
	assert_int_equal(ap_fleet_choose(f, &req, now, &target[0]), AP_FLEET_OK);
	/* An upstream without requests of this instance isn't silent. */
	req.heard_since = now + 1;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target[0]), AP_FLEET_NONE);
	ap_fleet_done(f, &inflight[0], AP_DISPATCH_CANCELLED, now);
	assert_int_equal(ap_fleet_choose(f, &req, now, &target[0]), AP_FLEET_OK);
	ap_fleet_free(f);
}

/* Guards against moves to an upstream of which nothing is known while its whole pool is silent. */
static void an_idle_upstream_of_a_silent_pool_is_no_alternative(void **state)
{
	ap_usec_t now = WORLD_START;
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	ap_inflight_t inflight[2];
	ap_target_t target;

	(void)state;
	world_replica(f, "e1", "engines", "north", now);
	world_replica(f, "e2", "engines", "north", now);
	for (size_t i = 0; i < 2; i++) {
		send_one(f, &req, now, &target, &inflight[i]);
		ap_copy_name(req.avoid[0], AP_NAME_MAX, target.id);
		req.n_avoid = 1;
	}
	world_replica(f, "e3", "engines", "north", now);
	now += SILENT_FOR;
	req.heard_since = now - SILENT_FOR / 2;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_NONE);
	/* The one that responds goes before the one of which nothing is known. */
	ap_fleet_first_chunk(f, &inflight[0], now);
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
	assert_string_equal(target.id, inflight[0].id);
	ap_fleet_done(f, &inflight[0], AP_DISPATCH_CANCELLED, now);
	/* One silent upstream may have failed by itself. */
	now += SILENT_FOR;
	req.heard_since = now - SILENT_FOR / 2;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
	ap_fleet_free(f);
}

/* Guards against requests that are forwarded to a region whose upstreams are silent, too. */
static void a_silent_region_is_no_alternative(void **state)
{
	ap_usec_t now = WORLD_START;
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	world_member(f, "s1", "south", false, now);
	world_replica(f, "e1", "engines", "south", now);
	send_one(f, &req, now, &target, &inflight);
	assert_true(target.remote);
	ap_fleet_first_chunk(f, &inflight, now);
	req.heard_since = now + 1;
	now += SILENT_FOR;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_NONE);
	ap_fleet_first_chunk(f, &inflight, now);
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
	ap_fleet_done(f, &inflight, AP_DISPATCH_DONE, now);
	req.heard_since = now + 1;
	assert_int_equal(ap_fleet_choose(f, &req, now + SILENT_FOR, &target), AP_FLEET_OK);
	ap_fleet_free(f);
}

/* Guards against upstreams that count as silent although they have responded or refused. */
static void the_end_of_a_response_ends_a_silence(void **state)
{
	const ap_dispatch_result_t ends[] = {AP_DISPATCH_DONE, AP_DISPATCH_ERROR,
					     AP_DISPATCH_REFUSED, AP_DISPATCH_CANCELLED};

	(void)state;
	for (size_t i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
		ap_usec_t now = WORLD_START;
		ap_fleet_t *f = world_north();
		ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
		ap_fleet_status_t expected =
			ends[i] == AP_DISPATCH_CANCELLED ? AP_FLEET_NONE : AP_FLEET_OK;
		ap_inflight_t inflight[2];
		ap_target_t target;

		world_replica(f, "e1", "engines", "north", now);
		send_one(f, &req, now, &target, &inflight[0]);
		send_one(f, &req, now, &target, &inflight[1]);
		req.heard_since = now + 1;
		now += SILENT_FOR;
		ap_fleet_done(f, &inflight[0], ends[i], now);
		assert_int_equal(ap_fleet_choose(f, &req, now, &target), expected);
		ap_fleet_free(f);
	}
}

/* Guards against a refusal of an instance that is taken for a sign of life of its upstreams. */
static void a_refusal_by_a_remote_instance_says_nothing_of_its_upstreams(void **state)
{
	ap_usec_t now = WORLD_START;
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	ap_inflight_t inflight[2];
	ap_target_t target;

	(void)state;
	world_member(f, "s1", "south", false, now);
	world_replica(f, "e1", "engines", "south", now);
	send_one(f, &req, now, &target, &inflight[0]);
	send_one(f, &req, now, &target, &inflight[1]);
	req.heard_since = now + 1;
	now += SILENT_FOR;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_NONE);
	ap_fleet_done(f, &inflight[1], AP_DISPATCH_REFUSED, now);
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_NONE);
	req.heard_since = 0;
	send_one(f, &req, now, &target, &inflight[1]);
	ap_fleet_done(f, &inflight[1], AP_DISPATCH_DONE, now);
	req.heard_since = WORLD_START + 1;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
	ap_fleet_free(f);
}

static void count_suspected(void *ctx, const ap_fleet_event_t *event)
{
	*(int *)ctx += event->kind == AP_FLEET_EVENT_SUSPECTED;
}

/* Guards against sound instances that are avoided because upstreams behind them are silent. */
static void a_silent_upstream_does_not_make_its_instance_suspect(void **state)
{
	ap_usec_t now = WORLD_START;
	int suspected = 0;
	ap_fleet_t *f = world_start_watched("n1", "north", 1, count_suspected, &suspected);
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	ap_inflight_t inflight[2];
	ap_target_t target;

	(void)state;
	world_member(f, "n1", "north", false, now);
	world_member(f, "s1", "south", false, now);
	world_replica(f, "e1", "engines", "south", now);
	for (size_t i = 0; i < 2; i++)
		send_one(f, &req, now, &target, &inflight[i]);
	now += SILENT_FOR;
	ap_fleet_first_chunk(f, &inflight[0], now);
	now += SILENT_FOR;
	for (size_t i = 0; i < 2; i++)
		ap_fleet_done(f, &inflight[i], AP_DISPATCH_TIMED_OUT, now);
	assert_int_equal(suspected, 0);
	/* It has sent nothing since this request. */
	send_one(f, &req, now, &target, &inflight[0]);
	ap_fleet_done(f, &inflight[0], AP_DISPATCH_TIMED_OUT, now + SILENT_FOR);
	assert_int_equal(suspected, 1);
	ap_fleet_free(f);
}

/* Guards against streams that are refused as too late for an objective that they met long ago. */
static void a_stream_that_has_begun_is_late_only_at_its_deadline(void **state)
{
	ap_usec_t now = WORLD_START;
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_call, &world_desk, now);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	req.deadline = now + 60 * AP_SEC;
	world_replica(f, "d1", "desk", "north", now);
	req.begun = true;
	for (int i = 0; i < 400; i++)
		send_one(f, &req, now, &target, &inflight);
	assert_true(target.queue > world_call.objective);
	assert_true(target.queue < 60 * AP_SEC);
	req.begun = false;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_LATE);
	req.begun = true;
	req.deadline = now + target.queue - 1;
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_LATE);
	ap_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(another_silent_upstream_is_no_alternative),
		cmocka_unit_test(an_idle_upstream_of_a_silent_pool_is_no_alternative),
		cmocka_unit_test(a_silent_region_is_no_alternative),
		cmocka_unit_test(the_end_of_a_response_ends_a_silence),
		cmocka_unit_test(a_refusal_by_a_remote_instance_says_nothing_of_its_upstreams),
		cmocka_unit_test(a_silent_upstream_does_not_make_its_instance_suspect),
		cmocka_unit_test(a_stream_that_has_begun_is_late_only_at_its_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
