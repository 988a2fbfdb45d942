/* What second attempts ask of upstreams' state, and what they show of it. */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

static void an_upstream_has_free_slots_until_all_are_used(void **state)
{
	ap_fleet_t *f = world_north();
	ap_inflight_t inflight[8];

	(void)state;
	world_replica(f, "d1", "desk", "north", WORLD_START);
	assert_false(ap_fleet_has_free_slot(f, "d2", &world_desk));
	for (int i = 0; i < 8; i++) {
		ap_dispatch_t req = world_request(&world_call, &world_desk, WORLD_START);
		ap_target_t target;

		assert_true(ap_fleet_has_free_slot(f, "d1", &world_desk));
		assert_int_equal(ap_fleet_choose(f, &req, WORLD_START, &target), AP_FLEET_OK);
		ap_fleet_sent(f, &req, &target, WORLD_START, &inflight[i]);
	}
	assert_false(ap_fleet_has_free_slot(f, "d1", &world_desk));
	ap_fleet_done(f, &inflight[0], AP_DISPATCH_DONE, WORLD_START);
	assert_true(ap_fleet_has_free_slot(f, "d1", &world_desk));
	ap_fleet_free(f);
}

/*
 * Guards against a slow upstream that keeps its requests, as second attempts respond before it and
 * nothing shows how slow it is.
 */
static void an_upstream_that_a_second_attempt_overtook_is_slower(void **state)
{
	static const ap_dispatch_result_t ends[] = {AP_DISPATCH_CANCELLED, AP_DISPATCH_SLOWER};
	ap_usec_t waits[2];

	(void)state;
	for (int k = 0; k < 2; k++) {
		ap_fleet_t *f = world_north();
		ap_usec_t now = WORLD_START;
		ap_target_t target;
		ap_dispatch_t last;

		world_replica(f, "d1", "desk", "north", now);
		for (int i = 0; i < 10; i++) {
			ap_dispatch_t req = world_request(&world_call, &world_desk, now);
			ap_inflight_t inflight;

			assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
			ap_fleet_sent(f, &req, &target, now, &inflight);
			now += AP_SEC / 2;
			ap_fleet_done(f, &inflight, ends[k], now);
		}
		last = world_request(&world_call, &world_desk, now);
		assert_int_equal(ap_fleet_choose(f, &last, now, &target), AP_FLEET_OK);
		waits[k] = target.wait;
		ap_fleet_free(f);
	}
	assert_true(waits[1] > 2 * waits[0]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_upstream_has_free_slots_until_all_are_used),
		cmocka_unit_test(an_upstream_that_a_second_attempt_overtook_is_slower),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
