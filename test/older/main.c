/*
 * The store turns the instances of one region away while a version of the configuration moves all
 * routes to other pools: real instances with the store and the upstreams of the soak.
 */
#include "../soak/scenario.h"
#include "gateway.h"

#include <stdio.h>
#include <stdlib.h>

#define NORTH 0
#define SOUTH 1
#define REVERT (250 * AP_MSEC) /* the platform's rule */
#define APPLY (3 * AP_SEC)     /* apply_ms of the settings */
#define ROUNDS 8
/* Registrations of instances that the store turns away last; other regions use them for so long. */
#define LEASE (3 * AP_SEC)
#define REQUESTS_MAX 128

static const soak_kind_t kinds[] = {SOAK_ONCE, SOAK_IDEMPOTENT, SOAK_STREAM};

#define N_KINDS (sizeof(kinds) / sizeof(kinds[0]))

typedef struct caller {
	request_t *q;
	int status;
	bool complete;
	uint64_t version; /* in force where a request is forwarded to */
} caller_t;

static caller_t callers[REQUESTS_MAX];
static size_t n_callers;
static ap_usec_t turned_away; /* when */

static void on_head(void *ctx, const ap_http_head_t *head)
{
	((caller_t *)ctx)->status = head->status;
}

static void on_data(void *ctx, const void *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	caller_t *c = ctx;

	(void)written;
	c->q->done = true;
	c->complete = end == AP_HTTP_COMPLETE;
}

static void call(soak_t *s, const instance_t *inst, soak_kind_t kind)
{
	caller_t *c = &callers[n_callers++];
	ap_http_header_t headers[] = {
		{"Host", "soak.example"}, {"Request-Id", NULL}, {"Deadline-Ms", "3000"}};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = inst->port,
		.method = kind == SOAK_IDEMPOTENT ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
		.target = soak_paths[kind],
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
		.body = "body",
		.len = kind == SOAK_IDEMPOTENT ? 0 : 4,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = 4 * AP_SEC,
		.between_chunks = 4 * AP_SEC,
		.idle = 10 * AP_SEC,
		.response_max = 4096,
		.ctx = c,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};

	assert_true(n_callers <= REQUESTS_MAX);
	*c = (caller_t){.q = caller_request(s, kind)};
	headers[1].value = c->q->id;
	assert_non_null(ap_http_fetch(s->client, &config));
}

/* Sends requests of all kinds to the first instance of @region. */
static void call_rounds(soak_t *s, unsigned region)
{
	for (int i = 0; i < ROUNDS; i++) {
		for (size_t k = 0; k < N_KINDS; k++)
			call(s, &s->instances[region], kinds[k]);
		scenario_run(s, 4 * SCENARIO_TURN);
	}
}

static void pause_region(soak_t *s, unsigned region, ap_usec_t how_long)
{
	for (size_t i = 0; i < s->n_replicas; i++) {
		if (s->replicas[i].region == region)
			replica_pause(s, i, ap_now() + how_long);
	}
}

/* The store turns the instances of the south away, and a version comes into force in the north. */
static void part_versions(soak_t *s, bool swap)
{
	ap_usec_t until = ap_now() + APPLY;

	n_callers = 0;
	turned_away = ap_now();
	for (size_t i = 0; i < s->n_instances; i++) {
		if (s->instances[i].region == SOUTH)
			link_set_mode(s->instances[i].store_link, LINK_RESET);
	}
	s->swapped = swap;
	publish_config(s);
	while (ap_now() < until && s->instances[NORTH].version != s->version)
		scenario_run(s, SCENARIO_TURN);
	assert_int_equal(s->instances[NORTH].version, s->version);
	assert_int_not_equal(s->instances[SOUTH].version, s->version);
}

static bool is_new(const request_t *q)
{
	const char *before = q->kind == SOAK_STREAM ? "engines" : "desk";

	return strcmp(q->pool, before) != 0;
}

/* Once a request's run has shown the new version, no later one is run by the old one. */
static void check_runs(soak_t *s)
{
	ap_usec_t shown = AP_NEVER;

	for (size_t i = 0; i < n_callers; i++) {
		const request_t *q = callers[i].q;

		if (q->runs > 0 && is_new(q) && q->ran < shown)
			shown = q->ran;
	}
	assert_true(shown != AP_NEVER);
	for (size_t i = 0; i < n_callers; i++) {
		const request_t *q = callers[i].q;

		if (q->runs > 0 && !is_new(q) && q->sent - REVERT > shown)
			soak_finding(s, "config: %s, sent %lld ms after the new version, ran at %s",
				     q->id, (long long)((q->sent - shown) / AP_MSEC), q->pool);
	}
}

/* All requests from the one with index @first on are served, if sent within @time. */
static void check_served(soak_t *s, size_t first, ap_usec_t time)
{
	assert_true(callers[first].q->sent - turned_away < time);
	for (size_t i = first; i < n_callers; i++) {
		const caller_t *c = &callers[i];

		if (c->q->sent - turned_away >= time)
			break;
		if (c->status != 200 || !c->complete)
			soak_finding(s, "config: %s of kind %d got %d after %u runs", c->q->id,
				     (int)c->q->kind, c->status, c->q->runs);
	}
}

/*
 * Guards against CONFIG: an instance that had shown a version forwarded to one that the store
 * turned away, which served by the older version.
 */
static void test_an_older_version_isnt_used_for_what_is_forwarded(void **state)
{
	soak_t *s = *state;
	size_t later;

	part_versions(s, true);
	/* The first ones show the new version in the north. */
	call_rounds(s, NORTH);
	scenario_run(s, REVERT);
	pause_region(s, NORTH, 10 * AP_SEC);
	call_rounds(s, NORTH);
	/* Then the other region has the new version, and is used. */
	later = n_callers;
	call_rounds(s, NORTH);
	scenario_run(s, AP_SEC);
	check_runs(s);
	check_served(s, later, LEASE);
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against CONFIG: an instance that the store turned away forwarded to one with a newer
 * version, which so had an effect there, and served by the older version itself afterwards.
 */
static void test_a_newer_version_isnt_shown_once_by_forwarding(void **state)
{
	soak_t *s = *state;
	size_t later;

	part_versions(s, true);
	pause_region(s, SOUTH, 2 * AP_SEC);
	call_rounds(s, SOUTH);
	scenario_run(s, 2 * AP_SEC);
	later = n_callers;
	call_rounds(s, SOUTH);
	scenario_run(s, AP_SEC);
	check_runs(s);
	check_served(s, later, AP_NEVER);
	assert_int_equal(s->findings, 0);
}

/* Guards against CONFIG: likewise, where the instances can't tell each other their versions. */
static void test_an_older_version_refuses_while_it_hears_nothing(void **state)
{
	soak_t *s = *state;
	unsigned refused = 0;

	part_versions(s, true);
	call_rounds(s, NORTH);
	for (size_t i = 0; i < s->n_instances; i++)
		link_set_mode(s->instances[i].peer_links[1], LINK_SILENT);
	scenario_run(s, REVERT);
	pause_region(s, NORTH, 10 * AP_SEC);
	call_rounds(s, NORTH);
	scenario_run(s, AP_SEC);
	check_runs(s);
	for (size_t i = 0; i < n_callers; i++) {
		if (callers[i].status != 200 && callers[i].q->runs > 0)
			soak_finding(s, "refused: %s got %d and ran", callers[i].q->id,
				     callers[i].status);
		refused += callers[i].status == 503;
	}
	assert_true(refused > 0);
	assert_int_equal(s->findings, 0);
}

static void on_forwarded(void *ctx, const ap_http_head_t *head)
{
	caller_t *c = ctx;
	const char *not_run = evhttp_find_header(head->headers, FORWARD_HEADER_NOT_RUN);
	const char *version = evhttp_find_header(head->headers, FORWARD_HEADER_CONFIGURATION);

	c->status = head->status;
	if (head->status != 503)
		return;
	assert_string_equal(not_run, FORWARD_NOT_RUN_UNSENT);
	assert_non_null(version);
	assert_int_equal(strtoull(version, NULL, 10), c->version);
}

/* Sends a request as another instance does, which names @versions; NULL for an earlier build. */
static int forward(soak_t *s, const char *versions)
{
	caller_t c = {.q = caller_request(s, SOAK_ONCE), .version = s->version};
	const ap_http_header_t headers[] = {
		{"Host", "soak.example"},
		{"Request-Id", c.q->id},
		{"Deadline-Ms", "3000"},
		{FORWARD_HEADER_CONFIGURATION, versions},
	};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = link_port(s->instances[NORTH].peer_links[0]),
		.method = EVHTTP_REQ_POST,
		.target = soak_paths[SOAK_ONCE],
		.headers = headers,
		.n_headers = versions ? 4 : 3,
		.body = "body",
		.len = 4,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = 4 * AP_SEC,
		.between_chunks = 4 * AP_SEC,
		.response_max = 4096,
		.ctx = &c,
		.head = on_forwarded,
		.data = on_data,
		.end = on_end,
	};

	assert_non_null(ap_http_fetch(s->client, &config));
	while (!c.q->done)
		scenario_run(s, SCENARIO_TURN);
	assert_int_equal(c.q->runs, c.status == 200);
	return c.status;
}

/*
 * Guards against CONFIG at the receiver alone, whatever forwards to it, an instance of its own
 * region or an earlier build too.
 */
static void test_the_named_versions_decide(void **state)
{
	soak_t *s = *state;
	ap_plan_share_t desk = {.pool = "desk", .weight = 1};
	ap_plan_share_t engines = {.pool = "engines", .weight = 1};
	ap_plan_route_t same = {.kind = AP_KIND_ONCE, .shares = &desk, .n_shares = 1};
	ap_plan_route_t moved = {.kind = AP_KIND_ONCE, .shares = &engines, .n_shares = 1};
	ap_plan_route_t repeated = {.kind = AP_KIND_IDEMPOTENT, .shares = &desk, .n_shares = 1};
	const struct {
		int first;
		int last;
		const ap_plan_route_t *route;
		int status;
	} cases[] = {
		{0, 0, &moved, 200},  {-1, 0, &moved, 200},   {-1, 1, &moved, 200},
		{1, 1, &moved, 503},  {-1, -1, &moved, 503},  {1, 2, &same, 200},
		{-1, -1, &same, 200}, {1, 1, &repeated, 503}, {-1, -1, NULL, 503},
	};
	char text[GATE_VERSION_TEXT_MAX];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(text, sizeof(text), "%llu-%llu %llx",
			 (unsigned long long)s->version + cases[i].first,
			 (unsigned long long)s->version + cases[i].last,
			 (unsigned long long)ap_plan_route_hash(cases[i].route));
		assert_int_equal(forward(s, text), cases[i].status);
	}
	assert_int_equal(forward(s, NULL), 200);
	assert_int_equal(forward(s, "odd"), 200);
	assert_int_equal(forward(s, ""), 200);
	assert_int_equal(s->findings, 0);
}

/* Guards against refusals between versions for routes that are the same in both. */
static void test_a_route_that_is_the_same_is_served_across_versions(void **state)
{
	soak_t *s = *state;
	size_t later;

	part_versions(s, false);
	pause_region(s, NORTH, 10 * AP_SEC);
	call_rounds(s, NORTH);
	later = N_KINDS; /* the first ones are refused as the pause is asked for */
	scenario_run(s, AP_SEC);
	check_served(s, later, LEASE);
	assert_int_not_equal(s->instances[SOUTH].version, s->version);
	assert_int_equal(s->findings, 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		SCENARIO(test_an_older_version_isnt_used_for_what_is_forwarded),
		SCENARIO(test_a_newer_version_isnt_shown_once_by_forwarding),
		SCENARIO(test_an_older_version_refuses_while_it_hears_nothing),
		SCENARIO(test_the_named_versions_decide),
		SCENARIO(test_a_route_that_is_the_same_is_served_across_versions),
	};

	scenario_program = argc > 1 ? argv[1] : "";
	return cmocka_run_group_tests(tests, NULL, NULL);
}
