/* Routing: residency, candidates, choice, outlier ejection, and the entries of a caller. */
#include "fleet.h"

#define T0 (1000 * AP_SEC)
#define ATTEMPTS 4 /* attempts in progress at once */

typedef struct world {
	fleet_t fleet;
	violations_t violations;
	ap_route_t *route;
} world_t;

static ap_route_t *new_route(world_t *w, const char *region)
{
	ap_route_config_t config = {
		.seed = 7,
		.attempts_max = ATTEMPTS,
		.env = {.ctx = &w->violations, .violated = count_violation},
	};

	ap_copy_name(config.region, sizeof(config.region), region);
	ap_copy_name(config.data_centre, sizeof(config.data_centre), "dc1");
	return ap_route_new(&config);
}

static int setup(void **state)
{
	world_t *w = calloc(1, sizeof(*w));

	fleet_init(&w->fleet);
	fleet_add_upstreams(&w->fleet, "recife", "gpu", 10);
	fleet_add_upstreams(&w->fleet, "recife", "plain", 2);
	fleet_add_upstreams(&w->fleet, "salvador", "gpu", 4);
	fleet_add_entries(&w->fleet, "recife", 4);
	fleet_add_entries(&w->fleet, "salvador", 4);
	w->route = new_route(w, "recife");
	fleet_set_view(&w->fleet, w->route, T0);
	*state = w;
	return 0;
}

static int teardown(void **state)
{
	world_t *w = *state;

	ap_route_free(w->route);
	fleet_clear(&w->fleet);
	free(w);
	return 0;
}

static void test_candidates_by_service(void **state)
{
	static const struct {
		const char *service;
		const char *model;
		const char *home;
		ap_route_status_t status;
		const char *kind;
	} cases[] = {
		{"reserve", NULL, "recife", AP_ROUTE_OK, "recife-plain"},
		{"reserve", NULL, "salvador", AP_ROUTE_WRONG_REGION, NULL},
		{"ask", NULL, "recife", AP_ROUTE_OK, "recife-gpu"},
		{"ask", NULL, "salvador", AP_ROUTE_OK, "recife-gpu"},
		{"ask", "m", "recife", AP_ROUTE_OK, "recife-gpu"},
		{"ask", "other", "recife", AP_ROUTE_NO_SERVICE, NULL},
		{"dossier", "m", "recife", AP_ROUTE_OK, "recife-gpu"},
		{"dossier", "m", "salvador", AP_ROUTE_WRONG_REGION, NULL},
		{"dossier", "m", NULL, AP_ROUTE_WRONG_REGION, NULL},
	};
	world_t *w = *state;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ap_request_t req = fleet_request(&w->fleet, cases[i].service, i + 1, T0);
		ap_choice_t choice;

		req.model = cases[i].model;
		req.home = cases[i].home;
		assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), cases[i].status);
		if (!cases[i].kind)
			continue;
		assert_memory_equal(choice.upstream_id, cases[i].kind, strlen(cases[i].kind));
		assert_string_equal(w->fleet.upstreams[choice.upstream].id, choice.upstream_id);
	}
}

static void test_draining_and_tried_get_no_work(void **state)
{
	world_t *w = *state;
	ap_request_t req = fleet_request(&w->fleet, "reserve", 1, T0);
	ap_choice_t choice;

	ap_route_drain(w->route, "recife-plain-0", T0);
	for (int i = 0; i < 50; i++) {
		assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_OK);
		assert_string_equal(choice.upstream_id, "recife-plain-1");
	}
	req.tried[req.n_tried++] = "recife-plain-1";
	assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_NO_UPSTREAM);
	req.n_tried = 0;
	w->fleet.upstreams[11].draining = true;
	fleet_set_view(&w->fleet, w->route, T0);
	assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_NO_UPSTREAM);
}

static void test_less_loaded_is_chosen(void **state)
{
	world_t *w = *state;
	ap_request_t req = fleet_request(&w->fleet, "reserve", 1, T0);
	ap_load_report_t report = {
		.upstream = "recife-plain-0", .at = T0, .running = 8, .waiting = 30};
	ap_choice_t choice;

	ap_route_load(w->route, &report, T0);
	for (int i = 0; i < 20; i++) {
		assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_OK);
		assert_string_equal(choice.upstream_id, "recife-plain-1");
	}
}

static bool chosen_of(world_t *w, const char *service, const char *id, ap_usec_t now)
{
	ap_request_t req = fleet_request(&w->fleet, service, 90001, now);
	ap_choice_t choice;

	return ap_route_choose(w->route, &req, now, &choice) == AP_ROUTE_OK &&
	       strcmp(choice.upstream_id, id) == 0;
}

static void run_one(world_t *w, ap_request_t *req, ap_choice_t *choice, ap_attempt_end_t end,
		    ap_usec_t now)
{
	ap_route_started(w->route, req, choice, now);
	if (end == AP_ATTEMPT_OK)
		ap_route_first_token(w->route, req, choice->upstream_id, 10 * AP_MSEC, now);
	ap_route_finished(w->route, req, choice->upstream_id, end, now);
}

static void test_prefix_goes_where_it_is_cached(void **state)
{
	world_t *w = *state;
	ap_request_t req = fleet_request(&w->fleet, "ask", 1, T0);
	ap_choice_t first;
	ap_choice_t choice;
	char text[8 * AP_PREFIX_BLOCK_BYTES];
	unsigned same = 0;

	memset(text, 'x', sizeof(text));
	req.n_blocks = ap_prefix_blocks(text, sizeof(text), req.blocks);
	assert_int_equal(req.n_blocks, 8);
	req.tokens_in = 1024;
	assert_int_equal(ap_route_choose(w->route, &req, T0, &first), AP_ROUTE_OK);
	assert_int_equal(first.cached_tokens, 0);
	run_one(w, &req, &first, AP_ATTEMPT_OK, T0);
	for (uint64_t i = 2; i < 22; i++) {
		req.id.seq = i;
		assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_OK);
		same += strcmp(choice.upstream_id, first.upstream_id) == 0;
	}
	assert_int_equal(same, 20);
	assert_true(choice.cached_tokens > 512);
	assert_true(choice.expected_price < first.expected_price);
}

static void test_cache_events_override_own_records(void **state)
{
	world_t *w = *state;
	ap_request_t req = fleet_request(&w->fleet, "ask", 1, T0);
	ap_cache_event_t event = {.upstream = "recife-gpu-3", .seq = 1, .stored = true};
	ap_choice_t choice;
	uint32_t sure;

	req.tokens_in = 1024;
	for (req.n_blocks = 0; req.n_blocks < 8; req.n_blocks++)
		req.blocks[req.n_blocks] = 1000 + req.n_blocks;
	event.blocks = req.blocks;
	event.n_blocks = 8;
	ap_route_cache_event(w->route, &event, T0);
	assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_OK);
	assert_string_equal(choice.upstream_id, "recife-gpu-3");
	sure = choice.cached_tokens;
	event.n_blocks = 0;
	event.seq = 9;
	ap_route_cache_event(w->route, &event, T0);
	ap_route_choose(w->route, &req, T0, &choice);
	assert_true(choice.cached_tokens < sure);
	event.stored = false;
	event.n_blocks = 8;
	event.seq = 10;
	ap_route_cache_event(w->route, &event, T0);
	ap_route_choose(w->route, &req, T0, &choice);
	assert_int_equal(choice.cached_tokens, 0);
}

static bool chosen_for(world_t *w, const char *service, const char *id, unsigned tries,
		       ap_usec_t now)
{
	ap_request_t req = fleet_request(&w->fleet, service, 90000, now);
	ap_choice_t choice;

	for (unsigned i = 0; i < tries; i++) {
		if (ap_route_choose(w->route, &req, now, &choice) != AP_ROUTE_OK)
			continue;
		if (strcmp(choice.upstream_id, id) == 0)
			return true;
	}
	return false;
}

static bool chosen_within(world_t *w, const char *id, unsigned tries, ap_usec_t now)
{
	return chosen_for(w, "ask", id, tries, now);
}

static void fail_at(world_t *w, const char *id, uint64_t seq, ap_attempt_end_t end, ap_usec_t now)
{
	ap_request_t req = fleet_request(&w->fleet, "ask", seq, now);
	ap_choice_t choice = {.upstream = SIZE_MAX, .expected_wait = 10 * AP_MSEC};

	ap_copy_name(choice.upstream_id, sizeof(choice.upstream_id), id);
	run_one(w, &req, &choice, end, now);
}

static void test_ejection_trial_and_ramp(void **state)
{
	static const struct {
		ap_attempt_end_t end;
		bool ejected;
	} cases[] = {
		{AP_ATTEMPT_FAILED, true},	     {AP_ATTEMPT_TIMEOUT, true},
		{AP_ATTEMPT_REFUSED, false},	     {AP_ATTEMPT_CANCELLED, false},
		{AP_ATTEMPT_DEAD_CONNECTION, false},
	};
	world_t *w = *state;
	uint64_t seq = 1;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "recife-gpu-%zu", i);
		for (int n = 0; n < 3; n++)
			fail_at(w, id, seq++, cases[i].end, T0);
		assert_int_equal(!chosen_within(w, id, 400, T0), cases[i].ejected);
	}
	assert_true(chosen_within(w, "recife-gpu-0", 400, T0 + 6 * AP_SEC));
	fail_at(w, "recife-gpu-0", seq++, AP_ATTEMPT_FAILED, T0 + 6 * AP_SEC);
	assert_false(chosen_within(w, "recife-gpu-0", 400, T0 + 12 * AP_SEC));
	fail_at(w, "recife-gpu-0", seq++, AP_ATTEMPT_OK, T0 + 17 * AP_SEC);
	assert_true(chosen_within(w, "recife-gpu-0", 2000, T0 + 18 * AP_SEC));
}

/* A long request loses more by a failed trial, so at first only short ones may be the trial. */
static void test_short_requests_are_trials_first(void **state)
{
	static const struct {
		const char *service;
		ap_usec_t after;
		bool tries;
	} cases[] = {
		{"ask", 4 * AP_SEC, false},
		{"ask", 6 * AP_SEC, true},
		{"dossier", 6 * AP_SEC, false},
		{"dossier", 11 * AP_SEC, true},
	};
	world_t *w = *state;

	for (uint64_t n = 1; n <= 3; n++)
		fail_at(w, "recife-gpu-0", n, AP_ATTEMPT_FAILED, T0);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(
			chosen_for(w, cases[i].service, "recife-gpu-0", 400, T0 + cases[i].after),
			cases[i].tries);
}

static void test_at_most_half_a_pool_is_ejected(void **state)
{
	world_t *w = *state;
	uint64_t seq = 1;
	unsigned used = 0;

	for (int i = 0; i < 10; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "recife-gpu-%d", i);
		for (int n = 0; n < 3; n++)
			fail_at(w, id, seq++, AP_ATTEMPT_FAILED, T0);
	}
	for (int i = 0; i < 10; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "recife-gpu-%d", i);
		used += chosen_within(w, id, 1000, T0);
	}
	assert_int_equal(used, 5);
}

static void test_slow_upstream_is_avoided(void **state)
{
	world_t *w = *state;
	unsigned slow = 0;

	for (uint64_t i = 1; i <= 600; i++) {
		ap_usec_t now = T0 + (ap_usec_t)i * 20 * AP_MSEC;
		ap_request_t req = fleet_request(&w->fleet, "ask", i, now);
		ap_choice_t choice;
		bool is_slow;

		assert_int_equal(ap_route_choose(w->route, &req, now, &choice), AP_ROUTE_OK);
		is_slow = strcmp(choice.upstream_id, "recife-gpu-2") == 0;
		slow += i > 300 && is_slow;
		ap_route_started(w->route, &req, &choice, now);
		ap_route_first_token(w->route, &req, choice.upstream_id,
				     is_slow ? 2 * AP_SEC : 50 * AP_MSEC, now);
		ap_route_finished(w->route, &req, choice.upstream_id, AP_ATTEMPT_OK, now);
	}
	assert_true(slow < 15);
}

static void test_state_survives_a_new_view(void **state)
{
	world_t *w = *state;
	ap_request_t req = fleet_request(&w->fleet, "ask", 1, T0);
	ap_choice_t choice;

	for (uint64_t i = 1; i <= 3; i++)
		fail_at(w, "recife-gpu-9", i, AP_ATTEMPT_FAILED, T0);
	fleet_set_view(&w->fleet, w->route, T0);
	assert_false(chosen_within(w, "recife-gpu-9", 400, T0));
	assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_OK);
	ap_route_started(w->route, &req, &choice, T0);
	w->fleet.n_upstreams = 0;
	fleet_set_view(&w->fleet, w->route, T0);
	assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_NO_UPSTREAM);
	ap_route_finished(w->route, &req, "recife-gpu-0", AP_ATTEMPT_OK, T0);
	w->fleet.n_upstreams = 16;
	fleet_set_view(&w->fleet, w->route, T0);
	assert_int_equal(ap_route_choose(w->route, &req, T0, &choice), AP_ROUTE_OK);
}

/* Work chosen before the drain was known may start within 3 seconds; a later start is a violation.
 */
static void test_draining_after_the_choice(void **state)
{
	static const struct {
		ap_usec_t later;
		unsigned violated;
	} cases[] = {{AP_SEC, 0}, {4 * AP_SEC, 1}};
	world_t *w = *state;

	for (size_t i = 0; i < 2; i++) {
		ap_request_t req = fleet_request(&w->fleet, "reserve", i + 1, T0);
		ap_choice_t choice = {.upstream_id = "recife-plain-1"};

		w->fleet.upstreams[11].draining = true;
		fleet_set_view(&w->fleet, w->route, T0);
		ap_route_started(w->route, &req, &choice, T0 + cases[i].later);
		assert_int_equal(w->violations.count[AP_INV_DRAINING], cases[i].violated);
	}
	w->fleet.upstreams[11].draining = false;
	fleet_set_view(&w->fleet, w->route, T0 + 5 * AP_SEC);
	ap_route_drain(w->route, "recife-plain-0", T0);
	assert_true(chosen_of(w, "reserve", "recife-plain-1", T0 + 5 * AP_SEC));
}

/* Each forged choice violates one invariant, which the library must report. */
static void test_violated_invariants_are_reported(void **state)
{
	static const struct {
		const char *service;
		const char *region;
		const char *upstream;
		bool forwarded;
		bool draining;
		ap_invariant_t violated;
	} cases[] = {
		{"dossier", "salvador", "", false, false, AP_INV_RESIDENCY},
		{"dossier", "", "salvador-gpu-0", false, false, AP_INV_RESIDENCY},
		{"ask", "salvador", "", true, false, AP_INV_ONE_HOP},
		{"ask", "", "recife-gpu-1", false, true, AP_INV_DRAINING},
	};
	world_t *w = *state;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ap_request_t req = fleet_request(&w->fleet, cases[i].service, i + 1, T0);
		ap_choice_t choice = {.upstream = SIZE_MAX};

		memset(&w->violations, 0, sizeof(w->violations));
		req.forwarded = cases[i].forwarded;
		ap_copy_name(choice.region, AP_NAME_MAX, cases[i].region);
		ap_copy_name(choice.upstream_id, AP_NAME_MAX, cases[i].upstream);
		if (cases[i].draining)
			ap_route_drain(w->route, cases[i].upstream, T0 - 10 * AP_SEC);
		ap_route_started(w->route, &req, &choice, T0);
		for (int inv = AP_INV_RESIDENCY; inv <= AP_INV_BOUNDS; inv++)
			assert_int_equal(w->violations.count[inv], inv == (int)cases[i].violated);
	}
}

static void test_excess_attempts_are_reported(void **state)
{
	world_t *w = *state;
	ap_choice_t choice = {.upstream_id = "recife-gpu-1"};

	for (uint64_t i = 0; i <= ATTEMPTS; i++) {
		ap_request_t req = fleet_request(&w->fleet, "ask", i + 1, T0);

		assert_int_equal(w->violations.count[AP_INV_BOUNDS], 0);
		ap_route_started(w->route, &req, &choice, T0);
	}
	assert_int_equal(w->violations.count[AP_INV_BOUNDS], 1);
}

static void test_entries_for_a_caller(void **state)
{
	world_t *w = *state;
	ap_view_t *view = fleet_view(&w->fleet);
	const ap_entry_t *out[AP_ENTRIES_MAX];
	const ap_entry_t *again[AP_ENTRIES_MAX];

	assert_int_equal(ap_entries_for(view, "crew", "recife", true, out), 4);
	for (int i = 0; i < 4; i++)
		assert_string_equal(out[i]->region, "recife");
	view->entries[out[0] - view->entries].draining = true;
	assert_int_equal(ap_entries_for(view, "crew", "recife", true, again), 3);
	for (int i = 0; i < 3; i++)
		assert_ptr_equal(again[i], out[i + 1]);
	assert_int_equal(ap_entries_for(view, "crew", "cuyo", true, out), 0);
	assert_int_equal(ap_entries_for(view, "crew", "cuyo", false, out), 7);
	ap_view_unref(view);
}

static void test_few_callers_move_when_an_entry_comes(void **state)
{
	world_t *w = *state;
	ap_view_t *before;
	ap_view_t *after;
	unsigned moved = 0;

	fleet_add_entries(&w->fleet, "litoral", 20);
	before = fleet_view(&w->fleet);
	fleet_add_entries(&w->fleet, "litoral", 21);
	w->fleet.n_entries -= 20;
	ap_copy_name(w->fleet.entries[w->fleet.n_entries - 1].id, AP_NAME_MAX, "litoral-new");
	after = fleet_view(&w->fleet);
	for (int i = 0; i < 1000; i++) {
		const ap_entry_t *a[AP_ENTRIES_MAX];
		const ap_entry_t *b[AP_ENTRIES_MAX];
		char caller[32];

		snprintf(caller, sizeof(caller), "caller-%d", i);
		ap_entries_for(before, caller, "litoral", true, a);
		ap_entries_for(after, caller, "litoral", true, b);
		moved += strcmp(a[0]->id, b[0]->id) != 0;
	}
	assert_in_range(moved, 10, 100);
	ap_view_unref(before);
	ap_view_unref(after);
}

/*
 * Guards against a stream that goes on at an upstream with another version of its model, or with
 * that of the model but another one of its adapter.
 */
static void test_a_begun_response_keeps_to_its_versions(void **state)
{
	static char model[] = "m";
	static char adapter[] = "a";
	static char *loaded[] = {model, adapter};
	uint32_t versions[4][2] = {{1, 1}, {1, 2}, {2, 1}, {1, 0}};
	world_t *w = *state;
	ap_upstream_t *ups = &w->fleet.upstreams[w->fleet.n_upstreams];
	ap_route_t *r = new_route(w, "litoral");
	ap_request_t req = fleet_request(&w->fleet, "ask", 1, AP_SEC);
	ap_choice_t choice;

	fleet_add_upstreams(&w->fleet, "litoral", "gpu", 4);
	for (int i = 0; i < 4; i++) {
		ups[i].models = loaded;
		ups[i].versions = versions[i];
		ups[i].n_models = 2;
	}
	fleet_set_view(&w->fleet, r, AP_SEC);
	req.local_only = true;
	req.version = 1;
	for (int i = 0; i < 100; i++) {
		assert_int_equal(ap_route_choose(r, &req, AP_SEC, &choice), AP_ROUTE_OK);
		assert_string_not_equal(choice.upstream_id, ups[2].id);
		assert_int_equal(ap_route_version(r, choice.upstream_id, &req, "m"), 1);
	}
	req.adapter = "a";
	req.version = ap_version_both(1, 1);
	for (int i = 0; i < 100; i++) {
		assert_int_equal(ap_route_choose(r, &req, AP_SEC, &choice), AP_ROUTE_OK);
		assert_string_equal(choice.upstream_id, ups[0].id);
	}
	assert_int_equal(ap_route_version(r, ups[0].id, &req, "m"), req.version);
	assert_int_equal(ap_route_version(r, ups[3].id, &req, "m"), 0);
	req.version = ap_version_both(2, 2);
	assert_int_equal(ap_route_choose(r, &req, AP_SEC, &choice), AP_ROUTE_NO_UPSTREAM);
	req.version = 0;
	assert_int_equal(ap_route_choose(r, &req, AP_SEC, &choice), AP_ROUTE_OK);
	ap_route_free(r);
}

static void test_price(void **state)
{
	ap_pool_t pool = {.price_in = 100, .price_out = 300, .price_call = 5};

	(void)state;
	assert_true(ap_price(&pool, 1000, 0, 1000) == 405);
	assert_true(ap_price(&pool, 1000, 500, 1000) == 355);
	assert_true(ap_price(&pool, 1000, 2000, 0) == 5);
}

#define WORLD_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WORLD_TEST(test_candidates_by_service),
		WORLD_TEST(test_draining_and_tried_get_no_work),
		WORLD_TEST(test_a_begun_response_keeps_to_its_versions),
		WORLD_TEST(test_less_loaded_is_chosen),
		WORLD_TEST(test_prefix_goes_where_it_is_cached),
		WORLD_TEST(test_cache_events_override_own_records),
		WORLD_TEST(test_ejection_trial_and_ramp),
		WORLD_TEST(test_short_requests_are_trials_first),
		WORLD_TEST(test_at_most_half_a_pool_is_ejected),
		WORLD_TEST(test_slow_upstream_is_avoided),
		WORLD_TEST(test_state_survives_a_new_view),
		WORLD_TEST(test_draining_after_the_choice),
		WORLD_TEST(test_violated_invariants_are_reported),
		WORLD_TEST(test_excess_attempts_are_reported),
		WORLD_TEST(test_entries_for_a_caller),
		WORLD_TEST(test_few_callers_move_when_an_entry_comes),
		cmocka_unit_test(test_price),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
