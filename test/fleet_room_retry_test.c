/*
 * What refused callers are told while a plain pool is shared, and what instances say to each other
 * while it isn't. Guards against Retry-After times that aren't true or are the same for many, and
 * against fields in messages that nobody needs.
 */
#include "fleet_net.h"

#define SLOTS 6
#define HELD 18 /* requests in flight at two upstreams, so that all slots are in use */

static const ap_plan_pool_t pool = {.name = "desk"};

static ap_fleet_t *start(void)
{
	ap_fleet_t *f = world_north();

	for (int u = 0; u < 2; u++) {
		char id[AP_NAME_MAX];
		ap_replica_entry_t e;

		snprintf(id, sizeof(id), "d%d", u);
		e = world_entry(id, pool.name, "north");
		e.slots = SLOTS;
		ap_fleet_update_replica(f, &e, WORLD_START);
	}
	return f;
}

static ap_fleet_status_t ask(ap_fleet_t *f, ap_usec_t now, ap_target_t *target,
			     ap_inflight_t *inflight)
{
	ap_dispatch_t req = world_request(&world_call, &pool, now);
	ap_fleet_status_t status;

	req.tokens_in = req.tokens_out = 0;
	status = ap_fleet_choose(f, &req, now, target);
	if (status == AP_FLEET_OK)
		ap_fleet_sent(f, &req, target, now, inflight);
	return status;
}

static void test_refused_callers_are_spread(void **state)
{
	ap_fleet_t *f = start();
	ap_usec_t now = WORLD_START;
	ap_inflight_t held[HELD];
	ap_inflight_t one;
	ap_target_t target;
	ap_usec_t last = 0;
	unsigned refused = 0;

	(void)state;
	for (int i = 0; i < 10; i++, now += 100 * AP_MSEC) {
		assert_int_equal(ask(f, now, &target, &one), AP_FLEET_OK);
		ap_fleet_first_chunk(f, &one, now + 60 * AP_MSEC);
		ap_fleet_done(f, &one, AP_DISPATCH_DONE, now + 60 * AP_MSEC);
	}
	for (int i = 0; i < HELD; i++)
		assert_int_equal(ask(f, now, &target, &held[i]), AP_FLEET_OK);
	/* Three times the throughput, of which what is sent ends at once. */
	for (int i = 0; i < 600; i++, now += 10 * AP_MSEC) {
		if (i % 10 == 0)
			ap_fleet_tick(f, now);
		for (int k = 0; k < 6; k++) {
			if (ask(f, now, &target, &one) == AP_FLEET_OK)
				ap_fleet_done(f, &one, AP_DISPATCH_CANCELLED, now);
		}
	}
	assert_int_equal(ap_fleet_stats(f, now).room_pools, 1);
	now += 6 * AP_SEC; /* the times that were told are over */
	for (int i = 0; i < 6; i++, now += 100 * AP_MSEC)
		ap_fleet_tick(f, now);
	for (int i = 0; i < 40; i++) {
		if (ask(f, now, &target, &one) == AP_FLEET_OK) {
			ap_fleet_done(f, &one, AP_DISPATCH_CANCELLED, now);
			continue;
		}
		/* Each one is told a later time than the one before. */
		assert_true(target.retry_after > last);
		last = target.retry_after;
		refused++;
	}
	printf("refused %u of 40 at once, the last one for %.0f ms\n", refused,
	       (double)last / AP_MSEC);
	assert_true(refused > 0);
	/* The time is true. */
	assert_int_equal(ask(f, now + last, &target, &one), AP_FLEET_OK);
	ap_fleet_free(f);
}

static void count_bytes(void *ctx, const char *to, const void *data, size_t len)
{
	(void)to;
	(void)data;
	*(size_t *)ctx += len;
}

/* A service below its capacity adds nothing to messages: a request in flight is all there is. */
static void test_no_fields_below_capacity(void **state)
{
	ap_fleet_t *f = start();
	ap_usec_t now = WORLD_START;
	size_t idle = 0;
	size_t used = 0;
	ap_peer_port_t port = {.ctx = &idle, .send = count_bytes};
	ap_inflight_t one;
	ap_target_t target;

	(void)state;
	world_member(f, "n2", "north", false, now);
	ap_fleet_tick(f, now);
	ap_fleet_announce(f, &port, now);
	for (int i = 0; i < 20; i++, now += 100 * AP_MSEC) {
		assert_int_equal(ask(f, now, &target, &one), AP_FLEET_OK);
		ap_fleet_done(f, &one, AP_DISPATCH_DONE, now + 60 * AP_MSEC);
		ap_fleet_tick(f, now + 60 * AP_MSEC);
	}
	port.ctx = &used;
	ap_fleet_announce(f, &port, now + 2 * AP_SEC);
	assert_true(idle > 0);
	assert_int_equal(used, idle);
	ap_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refused_callers_are_spread),
		cmocka_unit_test(test_no_fields_below_capacity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
