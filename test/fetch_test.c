/*
 * Fetching kept parts of prompts between engines: which engine sends, when processing again is
 * sooner, and what an engine that has changed must not send.
 */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define SUBJECT 77
#define SHARED 13300
#define OWN 100

/* 15 us to process a token, 2.4 us to transfer one. */
static const ap_plan_pool_t engines = {
	.name = "engines",
	.slots = 8,
	.kv_tokens = 300000,
	.kv_bytes = 327680,
	.link_mbps = 1100000,
};

static ap_replica_entry_t entry_of(const char *id, const char *version, uint64_t weights)
{
	ap_replica_entry_t e = world_entry(id, "engines", "north");

	e.n_models = 1;
	e.models[0] = (ap_loaded_model_t){.weights = ap_weights_of(weights)};
	ap_copy_name(e.version, sizeof(e.version), version);
	snprintf(e.host, sizeof(e.host), "127.0.0.%d", id[1] - '0' + 1);
	return e;
}

static void list(ap_fleet_t *f, const char *id, const char *version, uint64_t weights)
{
	ap_replica_entry_t e = entry_of(id, version, weights);

	ap_fleet_update_replica(f, &e, WORLD_START);
}

static ap_fleet_t *fleet_of(bool fetch)
{
	ap_fleet_t *f = world_north();
	ap_fleet_config_t bounds = {.cold_over = 1.5, .prompt_fetch = fetch};

	ap_fleet_set_bounds(f, &bounds);
	return f;
}

static ap_dispatch_t request(uint64_t own, ap_usec_t now)
{
	ap_dispatch_t req = world_request(&world_stream, &engines, now);

	world_prompt(&req, SUBJECT, SHARED, own);
	return req;
}

/* Makes @id keep the shared part: a request was sent there and has ended. */
static void keep_at(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_dispatch_t req = request(1, now);
	ap_target_t target = {.build = 1};
	ap_inflight_t inflight;

	ap_copy_name(target.id, sizeof(target.id), id);
	ap_copy_name(target.region, sizeof(target.region), "north");
	ap_fleet_sent(f, &req, &target, now, &inflight);
	ap_fleet_first_chunk(f, &inflight, now + 10 * AP_MSEC);
	ap_fleet_done(f, &inflight, AP_DISPATCH_DONE, now + 20 * AP_MSEC);
}

/* Sends requests of other prompts to @id that go on. */
static void occupy(ap_fleet_t *f, const char *id, int n, ap_usec_t now)
{
	for (int i = 0; i < n; i++) {
		ap_dispatch_t req = world_request(&world_stream, &engines, now);
		ap_target_t target = {.build = 1};
		ap_inflight_t inflight;

		req.tokens_in = 20000;
		ap_copy_name(target.id, sizeof(target.id), id);
		ap_copy_name(target.region, sizeof(target.region), "north");
		ap_fleet_sent(f, &req, &target, now, &inflight);
	}
}

/* A busy holder: the idle engine gets the request, and fetches what the holder keeps. */
static void an_idle_engine_fetches_from_a_busy_holder(void **state)
{
	ap_usec_t now = WORLD_START + AP_SEC;
	ap_fleet_t *f = fleet_of(true);
	ap_dispatch_t req = request(2, now);
	ap_target_t target;

	(void)state;
	list(f, "e0", "v1", 1);
	list(f, "e1", "v1", 1);
	keep_at(f, "e0", now);
	occupy(f, "e0", 12, now);
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
	assert_string_equal(target.id, "e1");
	assert_string_equal(target.fetch.id, "e0");
	assert_string_equal(target.fetch.host, "127.0.0.1");
	assert_int_equal(target.fetch.port, 9000);
	assert_int_equal(target.fetch.tokens, SHARED);
	assert_int_equal(target.cached, SHARED);
	ap_fleet_free(f);
}

/* Without the setting, or without what tells how long a transfer takes, nothing is fetched. */
static void nothing_is_fetched_unless_configured(void **state)
{
	ap_usec_t now = WORLD_START + AP_SEC;
	ap_plan_pool_t silent = engines;

	(void)state;
	silent.link_mbps = 0;
	for (int with_setting = 0; with_setting < 2; with_setting++) {
		ap_fleet_t *f = fleet_of(with_setting);
		ap_dispatch_t req = request(2, now);
		ap_target_t target;

		list(f, "e0", "v1", 1);
		list(f, "e1", "v1", 1);
		keep_at(f, "e0", now);
		occupy(f, "e0", 12, now);
		if (with_setting)
			req.pool = &silent;
		assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
		assert_string_equal(target.fetch.id, "");
		ap_fleet_free(f);
	}
}

typedef struct change {
	const char *what;
	const char *version;
	uint64_t weights;
	bool draining;
	bool gone;
	bool unreachable;
} change_t;

/* Guards against memory of other weights or software, and against engines that are gone. */
static void a_holder_that_has_changed_sends_nothing(void **state)
{
	static const change_t changes[] = {
		{.what = "other weights", .version = "v1", .weights = 2},
		{.what = "other software", .version = "v2", .weights = 1},
		{.what = "leaving", .version = "v1", .weights = 1, .draining = true},
		{.what = "gone", .gone = true},
		{.what = "unreachable", .version = "v1", .weights = 1, .unreachable = true},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
		ap_usec_t now = WORLD_START + AP_SEC;
		ap_fleet_t *f = fleet_of(true);
		ap_dispatch_t req = request(2, now);
		ap_target_t target;

		list(f, "e0", "v1", 1);
		list(f, "e1", "v1", 1);
		keep_at(f, "e0", now);
		occupy(f, "e0", 12, now);
		if (changes[i].gone) {
			ap_fleet_remove_replica(f, "e0", false, now);
		} else {
			ap_replica_entry_t e =
				entry_of("e0", changes[i].version, changes[i].weights);

			e.draining = changes[i].draining;
			ap_fleet_update_replica(f, &e, now);
		}
		if (changes[i].unreachable)
			ap_fleet_path_lost(f, "e0", now);
		assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
		if (target.fetch.tokens > 0)
			fail_msg("%s: fetched from %s", changes[i].what, target.fetch.id);
		ap_fleet_free(f);
	}
}

/*
 * One prompt gets a large part of all requests: transfers from its only holder run one after
 * another, so that not all are sent there. Guards against a holder whose link becomes the queue.
 */
static void transfers_of_one_hot_prompt_queue(void **state)
{
	ap_usec_t now = WORLD_START + AP_SEC;
	ap_fleet_t *f = fleet_of(true);
	unsigned fetches = 0;

	(void)state;
	for (int i = 0; i < 9; i++) {
		char id[4] = {'e', (char)('0' + i), '\0'};

		list(f, id, "v1", 1);
	}
	keep_at(f, "e0", now);
	occupy(f, "e0", 12, now);
	for (int i = 0; i < 8; i++) {
		ap_dispatch_t req = request(10 + i, now);
		ap_inflight_t inflight;
		ap_target_t target;

		assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
		fetches += target.fetch.tokens > 0;
		ap_fleet_sent(f, &req, &target, now, &inflight);
	}
	printf("one hot prompt: %u of 8 requests at once ask for a fetch\n", fetches);
	assert_true(fetches >= 1 && fetches <= 6);
	ap_fleet_free(f);
}

/* The source had evicted the part: the response is late, and it isn't asked again. */
static void a_fetch_that_brings_nothing_is_noticed(void **state)
{
	ap_usec_t now = WORLD_START + AP_SEC;
	ap_fleet_t *f = fleet_of(true);
	ap_dispatch_t req = request(2, now);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	list(f, "e0", "v1", 1);
	list(f, "e1", "v1", 1);
	keep_at(f, "e0", now);
	occupy(f, "e0", 12, now);
	assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_OK);
	assert_int_equal(target.fetch.tokens, SHARED);
	ap_fleet_sent(f, &req, &target, now, &inflight);
	now += target.wait + 600 * AP_MSEC;
	ap_fleet_first_chunk(f, &inflight, now);
	assert_int_equal(ap_fleet_stats(f, now).fetches.missed, 1);
	assert_int_equal(ap_fleet_stats(f, now).fetches.asked, 1);
	ap_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_idle_engine_fetches_from_a_busy_holder),
		cmocka_unit_test(nothing_is_fetched_unless_configured),
		cmocka_unit_test(a_holder_that_has_changed_sends_nothing),
		cmocka_unit_test(transfers_of_one_hot_prompt_queue),
		cmocka_unit_test(a_fetch_that_brings_nothing_is_noticed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
