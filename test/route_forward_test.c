/*
 * Forwarding to remote regions: shares, hysteresis, the ramp of accepted requests, and a region
 * that is cut off from the others.
 */
#include "fleet.h"

#define T0 (1000 * AP_SEC)

typedef struct world {
	fleet_t fleet;
	violations_t violations;
	ap_route_t *route;
	uint64_t seq;
} world_t;

static int setup(void **state)
{
	world_t *w = calloc(1, sizeof(*w));
	ap_route_config_t config = {
		.region = "recife",
		.data_centre = "dc1",
		.seed = 3,
		.env = {.ctx = &w->violations, .violated = count_violation},
	};

	fleet_init(&w->fleet);
	fleet_add_upstreams(&w->fleet, "recife", "gpu", 4);
	fleet_add_upstreams(&w->fleet, "salvador", "gpu", 4);
	fleet_add_upstreams(&w->fleet, "litoral", "gpu", 4);
	fleet_add_entries(&w->fleet, "recife", 2);
	fleet_add_entries(&w->fleet, "salvador", 2);
	fleet_add_entries(&w->fleet, "litoral", 2);
	w->route = ap_route_new(&config);
	fleet_set_view(&w->fleet, w->route, T0);
	*state = w;
	return 0;
}

static int teardown(void **state)
{
	world_t *w = *state;

	for (int i = 0; i <= AP_INV_BOUNDS; i++)
		assert_int_equal(w->violations.count[i], 0);
	ap_route_free(w->route);
	fleet_clear(&w->fleet);
	free(w);
	return 0;
}

static void offer(world_t *w, const char *region, double rate, ap_usec_t now)
{
	ap_capacity_offer_t new_offer = {.model = "m", .rate = rate, .at = now};

	ap_copy_name(new_offer.region, sizeof(new_offer.region), region);
	ap_route_remote_offer(w->route, &new_offer, now);
}

/* Tries to forward @n requests that would wait @wait for admission; returns how many were. */
static unsigned try_forward(world_t *w, const char *service, ap_usec_t wait, unsigned n,
			    ap_usec_t now)
{
	unsigned forwarded = 0;

	for (unsigned i = 0; i < n; i++) {
		ap_request_t req = fleet_request(&w->fleet, service, ++w->seq, now);
		ap_choice_t choice;

		if (!ap_route_forward(w->route, &req, wait, now, &choice))
			continue;
		assert_true(choice.region[0]);
		assert_string_equal(choice.upstream_id, "");
		ap_route_started(w->route, &req, &choice, now);
		forwarded++;
	}
	return forwarded;
}

/* Tries to forward one request every 100 ms for @time, while salvador offers @rate (0: nothing). */
static unsigned try_forward_steadily(world_t *w, const char *service, ap_usec_t wait,
				     ap_usec_t from, ap_usec_t time, double rate)
{
	unsigned forwarded = 0;

	for (ap_usec_t now = from; now < from + time; now += 100 * AP_MSEC) {
		if (rate > 0)
			offer(w, "salvador", rate, now);
		forwarded += try_forward(w, service, wait, 1, now);
	}
	return forwarded;
}

static void test_not_forwarded_while_deadlines_hold(void **state)
{
	assert_int_equal(try_forward_steadily(*state, "ask", 2 * AP_SEC, T0, 10 * AP_SEC, 1000), 0);
}

static void test_home_bound_and_forwarded_stay_local(void **state)
{
	world_t *w = *state;
	ap_request_t req;
	ap_choice_t choice;

	assert_int_equal(try_forward_steadily(w, "dossier", AP_NEVER, T0, 10 * AP_SEC, 1000), 0);
	assert_true(try_forward_steadily(w, "ask", AP_NEVER, T0, 10 * AP_SEC, 1000) > 0);
	req = fleet_request(&w->fleet, "ask", 1, T0 + 10 * AP_SEC);
	req.local_only = true;
	assert_false(ap_route_forward(w->route, &req, AP_NEVER, T0 + 10 * AP_SEC, &choice));
	req.local_only = false;
	req.forwarded = true;
	assert_false(ap_route_forward(w->route, &req, AP_NEVER, T0 + 10 * AP_SEC, &choice));
}

static void test_forwards_no_more_than_its_share(void **state)
{
	world_t *w = *state;
	unsigned forwarded = try_forward_steadily(w, "ask", AP_NEVER, T0, 100 * AP_SEC, 4);

	/* One of two entries gets half of 4 requests per second, plus the initial burst. */
	assert_in_range(forwarded, 150, 215);
}

static void test_hysteresis(void **state)
{
	world_t *w = *state;
	ap_usec_t now = T0 + 20 * AP_SEC;

	try_forward_steadily(w, "ask", AP_NEVER, T0, 20 * AP_SEC, 1000);
	offer(w, "salvador", 1000, now);
	assert_int_equal(try_forward(w, "ask", 5 * AP_SEC, 1, now), 1);
	try_forward_steadily(w, "ask", 100 * AP_MSEC, now, 20 * AP_SEC, 1000);
	now += 20 * AP_SEC;
	offer(w, "salvador", 1000, now);
	assert_int_equal(try_forward(w, "ask", 5 * AP_SEC, 1, now), 0);
}

static void test_isolated_region_serves_locally(void **state)
{
	world_t *w = *state;
	ap_usec_t now = T0 + 40 * AP_SEC;
	ap_request_t req = fleet_request(&w->fleet, "ask", 1, now);
	ap_choice_t choice;

	try_forward_steadily(w, "ask", AP_NEVER, T0, 20 * AP_SEC, 1000);
	assert_int_equal(try_forward_steadily(w, "ask", AP_NEVER, T0 + 26 * AP_SEC, 10 * AP_SEC, 0),
			 0);
	assert_int_equal(ap_route_choose(w->route, &req, now, &choice), AP_ROUTE_OK);
	assert_string_equal(choice.region, "");
	assert_memory_equal(choice.upstream_id, "recife", 6);
}

static void test_refusal_pauses_forwarding(void **state)
{
	world_t *w = *state;
	ap_usec_t now = T0 + 20 * AP_SEC;

	try_forward_steadily(w, "ask", AP_NEVER, T0, 20 * AP_SEC, 1000);
	offer(w, "salvador", 1000, now);
	ap_route_forward_refused(w->route, "salvador", "m", now);
	assert_int_equal(try_forward(w, "ask", AP_NEVER, 5, now), 0);
	offer(w, "litoral", 1000, now);
	assert_int_equal(try_forward(w, "ask", AP_NEVER, 1, now), 1);
}

/* Finds the region to which a prompt with this prefix is forwarded. */
static void region_of(world_t *w, uint64_t prefix, char region[AP_NAME_MAX])
{
	ap_usec_t now = T0 + 20 * AP_SEC + (ap_usec_t)++w->seq * 100 * AP_MSEC;
	ap_request_t req = fleet_request(&w->fleet, "ask", w->seq, now);
	ap_choice_t choice;

	req.blocks[0] = prefix;
	req.n_blocks = 1;
	offer(w, "salvador", 1000, now);
	offer(w, "litoral", 1000, now);
	assert_true(ap_route_forward(w->route, &req, AP_NEVER, now, &choice));
	ap_copy_name(region, AP_NAME_MAX, choice.region);
}

static void test_a_prefix_goes_to_one_region(void **state)
{
	world_t *w = *state;
	unsigned to_salvador = 0;

	try_forward_steadily(w, "ask", AP_NEVER, T0, 20 * AP_SEC, 1000);
	for (uint64_t prefix = 1; prefix <= 40; prefix++) {
		char first[AP_NAME_MAX];
		char again[AP_NAME_MAX];

		region_of(w, prefix, first);
		region_of(w, prefix, again);
		assert_string_equal(first, again);
		to_salvador += strcmp(first, "salvador") == 0;
	}
	assert_in_range(to_salvador, 10, 30);
}

/* Serves one request, so that the time in a slot becomes known. */
static void serve(world_t *w, bool forwarded, ap_usec_t took, ap_usec_t now)
{
	ap_request_t req = fleet_request(&w->fleet, "ask", ++w->seq, now);
	ap_choice_t choice;

	req.forwarded = forwarded;
	if (ap_route_choose(w->route, &req, now, &choice) != AP_ROUTE_OK)
		return;
	ap_route_started(w->route, &req, &choice, now);
	ap_route_first_token(w->route, &req, choice.upstream_id, 50 * AP_MSEC, now);
	ap_route_finished(w->route, &req, choice.upstream_id, AP_ATTEMPT_OK, now + took);
}

static void report_all(world_t *w, uint32_t running, ap_usec_t now)
{
	for (int i = 0; i < 4; i++) {
		ap_load_report_t report = {.at = now, .running = running};

		snprintf(report.upstream, sizeof(report.upstream), "recife-gpu-%d", i);
		ap_route_load(w->route, &report, now);
	}
}

static void test_offer_rises_as_forwarded_are_served(void **state)
{
	world_t *w = *state;
	double cold;
	double warm;

	/* An idle region that has served nothing offers some capacity; a full one offers none. */
	assert_true(ap_route_own_offer(w->route, "m", T0).rate > 0);
	report_all(w, 8, T0);
	assert_true(ap_route_own_offer(w->route, "m", T0).rate <= 0);
	report_all(w, 0, T0 + 1);
	serve(w, false, AP_SEC, T0);
	cold = ap_route_own_offer(w->route, "m", T0 + 2 * AP_SEC).rate;
	assert_true(cold > 0);
	for (int i = 0; i < 400; i++) {
		ap_usec_t now = T0 + 2 * AP_SEC + i * 100 * AP_MSEC;

		report_all(w, 0, now);
		serve(w, true, AP_SEC, now);
	}
	warm = ap_route_own_offer(w->route, "m", T0 + 42 * AP_SEC).rate;
	assert_true(warm > cold * 2);
	report_all(w, 8, T0 + 43 * AP_SEC);
	assert_true(ap_route_own_offer(w->route, "m", T0 + 43 * AP_SEC).rate < warm / 2);
}

static void test_full_region_refuses_forwarded(void **state)
{
	world_t *w = *state;
	ap_request_t req = fleet_request(&w->fleet, "ask", 900, T0 + 4 * AP_SEC);
	ap_choice_t choice;

	serve(w, false, AP_SEC, T0);
	report_all(w, 8, T0 + 4 * AP_SEC);
	assert_int_equal(ap_route_choose(w->route, &req, req.arrival, &choice), AP_ROUTE_OK);
	req.forwarded = true;
	assert_int_equal(ap_route_choose(w->route, &req, req.arrival, &choice),
			 AP_ROUTE_NO_UPSTREAM);
}

#define WORLD_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WORLD_TEST(test_not_forwarded_while_deadlines_hold),
		WORLD_TEST(test_home_bound_and_forwarded_stay_local),
		WORLD_TEST(test_forwards_no_more_than_its_share),
		WORLD_TEST(test_hysteresis),
		WORLD_TEST(test_isolated_region_serves_locally),
		WORLD_TEST(test_refusal_pauses_forwarding),
		WORLD_TEST(test_a_prefix_goes_to_one_region),
		WORLD_TEST(test_offer_rises_as_forwarded_are_served),
		WORLD_TEST(test_full_region_refuses_forwarded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
