/* The choice of another upstream for a request whose upstream has fallen silent. */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* Sends a request to the upstream that is chosen, and returns its id. */
static const char *send_one(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now,
			    ap_target_t *target, ap_inflight_t *inflight)
{
	assert_int_equal(ap_fleet_choose(f, req, now, target), AP_FLEET_OK);
	ap_fleet_sent(f, req, target, now, inflight);
	return target->id;
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
		cmocka_unit_test(a_stream_that_has_begun_is_late_only_at_its_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
