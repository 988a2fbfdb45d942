/*
 * Upstreams that restart under their old id: what was learned of the process before must not count
 * for the one that runs now. Also the pace that is learned of upstreams of two speeds.
 */
#include "fleet_net.h"
#include "platform/host.h"

#define BORN 1765000000000u
#define FIRST "d1"
#define SECOND "d2"

static void list(ap_fleet_t *f, const char *id, const char *pool, uint64_t born, ap_usec_t now)
{
	ap_replica_entry_t e = world_entry(id, pool, "north");

	e.born = born;
	ap_fleet_update_replica(f, &e, now);
}

/* Sends one request, which ends with @end after @took. Returns the target's expected wait. */
static ap_usec_t play(ap_fleet_t *f, const ap_plan_route_t *route, const ap_plan_pool_t *pool,
		      const char *avoid, ap_usec_t took, ap_dispatch_result_t end, ap_usec_t now)
{
	ap_dispatch_t req = world_request(route, pool, now);
	ap_inflight_t inflight;
	ap_target_t target;

	if (pool->kv_tokens == 0)
		req.tokens_in = req.tokens_out = 0;
	ap_copy_name(req.avoid[req.n_avoid++], AP_NAME_MAX, avoid);
	send_request(f, &req, now, &target, &inflight);
	if (end == AP_DISPATCH_DONE)
		ap_fleet_first_chunk(f, &inflight, now + took);
	ap_fleet_done(f, &inflight, end, now + took);
	return target.wait;
}

/* Returns the expected wait at @id, one of three upstreams. */
static ap_usec_t expected(ap_fleet_t *f, const ap_plan_route_t *route, const ap_plan_pool_t *pool,
			  const char *id, ap_usec_t now)
{
	static const char *const ids[] = {FIRST, SECOND, "d3"};
	ap_dispatch_t req = world_request(route, pool, now);
	ap_target_t target;

	if (pool->kv_tokens == 0)
		req.tokens_in = req.tokens_out = 0;
	for (size_t i = 0; i < 3; i++) {
		if (strcmp(ids[i], id) != 0)
			ap_copy_name(req.avoid[req.n_avoid++], AP_NAME_MAX, ids[i]);
	}
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
	assert_string_equal(target.id, id);
	return target.wait;
}

/* An upstream that failed gets requests at once after a restart, and not without one. */
static void test_failures_of_before_do_not_count(void **state)
{
	static const struct {
		uint64_t born;
		size_t ejected;
	} cases[] = {{BORN, 1}, {0, 1}, {BORN + 1, 0}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ap_fleet_t *f = world_north();

		list(f, FIRST, "desk", BORN, WORLD_START);
		for (int k = 0; k < 3; k++)
			play(f, &world_call, &world_desk, SECOND, AP_MSEC, AP_DISPATCH_BROKEN,
			     WORLD_START);
		assert_int_equal(ap_fleet_stats(f, WORLD_START + 2 * AP_MSEC).ejected, 1);
		list(f, FIRST, "desk", cases[i].born, WORLD_START + 2 * AP_MSEC);
		assert_int_equal(ap_fleet_stats(f, WORLD_START + 3 * AP_MSEC).ejected,
				 cases[i].ejected);
		ap_fleet_free(f);
	}
}

/* Requests that the restart broke off are neither load nor failures of the new process. */
static void test_requests_of_before_do_not_count(void **state)
{
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_call, &world_desk, WORLD_START);
	ap_inflight_t inflight[4];
	ap_target_t target;

	(void)state;
	list(f, FIRST, "desk", BORN, WORLD_START);
	for (size_t i = 0; i < 4; i++)
		send_request(f, &req, WORLD_START, &target, &inflight[i]);
	assert_int_equal(ap_fleet_stats(f, WORLD_START).running, 4);
	list(f, FIRST, "desk", BORN + 1, WORLD_START + AP_MSEC);
	assert_int_equal(ap_fleet_stats(f, WORLD_START + AP_MSEC).running, 0);
	for (size_t i = 0; i < 4; i++)
		ap_fleet_done(f, &inflight[i], AP_DISPATCH_BROKEN, WORLD_START + 2 * AP_MSEC);
	assert_int_equal(ap_fleet_stats(f, WORLD_START + 3 * AP_MSEC).running, 0);
	assert_int_equal(ap_fleet_stats(f, WORLD_START + 3 * AP_MSEC).ejected, 0);
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START + 3 * AP_MSEC, &target), AP_FLEET_OK);
	assert_int_equal(target.running, 0);
	ap_fleet_free(f);
}

/* The KV cache of an engine is empty after a restart. */
static void test_cache_of_before_is_forgotten(void **state)
{
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	list(f, "e1", "engines", BORN, WORLD_START);
	world_prompt(&req, 1, 2000, 1);
	send_request(f, &req, WORLD_START, &target, &inflight);
	ap_fleet_first_chunk(f, &inflight, WORLD_START + 80 * AP_MSEC);
	ap_fleet_done(f, &inflight, AP_DISPATCH_DONE, WORLD_START + 90 * AP_MSEC);
	world_prompt(&req, 1, 2000, 2);
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START + 100 * AP_MSEC, &target),
			 AP_FLEET_OK);
	assert_int_equal(target.cached, 2000);
	list(f, "e1", "engines", BORN + 1, WORLD_START + 110 * AP_MSEC);
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START + 120 * AP_MSEC, &target),
			 AP_FLEET_OK);
	assert_int_equal(target.cached, 0);
	ap_fleet_free(f);
}

/*
 * Two upstreams of speeds 0.7 and 1.7: what is expected of each comes from its own responses. After
 * a restart the same is expected as of an upstream that is new.
 */
static void check_paces(const ap_plan_route_t *route, const ap_plan_pool_t *pool, ap_usec_t work)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;
	ap_usec_t slow = 0;
	ap_usec_t fast = 0;
	ap_usec_t after;

	list(f, FIRST, pool->name, BORN, now);
	list(f, SECOND, pool->name, BORN, now);
	for (int i = 0; i < 200; i++, now += 500 * AP_MSEC) {
		ap_fleet_tick(f, now);
		slow = play(f, route, pool, SECOND, (ap_usec_t)((double)work / 0.7),
			    AP_DISPATCH_DONE, now);
		fast = play(f, route, pool, FIRST, (ap_usec_t)((double)work / 1.7),
			    AP_DISPATCH_DONE, now + 250 * AP_MSEC);
	}
	list(f, FIRST, pool->name, BORN + 1, now);
	list(f, "d3", pool->name, BORN, now);
	after = expected(f, route, pool, FIRST, now);
	printf("%s: work %.0f ms, expected of 0.7 %.0f ms, of 1.7 %.0f ms, of 0.7 restarted %.0f "
	       "ms\n",
	       pool->name, (double)work / AP_MSEC, (double)slow / AP_MSEC, (double)fast / AP_MSEC,
	       (double)after / AP_MSEC);
	assert_true((double)slow > 1.7 * (double)fast);
	assert_true(after < slow);
	assert_int_equal(after, expected(f, route, pool, "d3", now));
	ap_fleet_free(f);
}

static void test_paces_are_learned_and_forgotten(void **state)
{
	(void)state;
	check_paces(&world_call, &world_desk, 60 * AP_MSEC);
	check_paces(&world_stream, &world_engines, 100 * AP_MSEC);
}

/* Guards against a time of birth that is misread, which would look like a restart. */
static void test_born_is_read_from_records(void **state)
{
	static const struct {
		const char *field;
		uint64_t born;
	} cases[] = {
		{"", 0},
		{",\"born\":1765000000000", BORN},
		{",\"born\":\"1765000000000\"", 0},
		{",\"born\":-1", 0},
		{",\"born\":1.5", 0},
		{",\"born\":null", 0},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char record[256];
		ap_replica_entry_t e;
		ap_err_t err;
		int len = snprintf(record, sizeof(record),
				   "{\"service\":\"desk\",\"addr\":\"127.0.0.1:9000\","
				   "\"zone\":\"north-1\",\"state\":\"ready\",\"slots\":6%s}",
				   cases[i].field);

		assert_int_equal(ap_host_parse_replica("d1", record, (size_t)len, &e, &err),
				 AP_HOST_OK);
		assert_int_equal(e.born, cases[i].born);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_failures_of_before_do_not_count),
		cmocka_unit_test(test_requests_of_before_do_not_count),
		cmocka_unit_test(test_cache_of_before_is_forgotten),
		cmocka_unit_test(test_paces_are_learned_and_forgotten),
		cmocka_unit_test(test_born_is_read_from_records),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
