/*
 * Upstreams that refuse requests and ask for a pause, all at once and until one moment, against
 * real instances under a load that has no other place to go.
 */
#include "../soak/scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RATE 300       /* requests a second, to all instances by turns */
#define IN_PAUSE_MAX 2 /* requests of one instance at an upstream; the platform's bound */
#define DEADLINE (3 * AP_SEC)
#define BEFORE (500 * AP_MSEC)
#define AFTER (1500 * AP_MSEC)
#define TOLD_MARGIN (5 * AP_MSEC) /* of a time in a header, and of the loop */
#define WINDOW (50 * AP_MSEC)
#define WINDOWS 200
#define TOLD_MIN 50 /* callers that are told to return, so that their spread can be seen */

/* What the callers of one test were told. */
typedef struct told {
	soak_t *soak;
	ap_usec_t until; /* end of the pause */
	unsigned sent;
	unsigned served;
	unsigned refused;
	unsigned failed;
	unsigned early;		   /* told to return before the end of the pause */
	unsigned returns[WINDOWS]; /* times at which they return, from the end of the pause on */
} told_t;

typedef struct call {
	told_t *told;
	request_t *q;
	int status;
	ap_usec_t returns_at;
	char deadline[16];
} call_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	const char *after = evhttp_find_header(head->headers, "Retry-After");
	call_t *c = ctx;

	c->status = head->status;
	if (after)
		c->returns_at = ap_now() + (ap_usec_t)(strtod(after, NULL) * (double)AP_SEC);
}

static void count_refusal(told_t *t, const call_t *c)
{
	ap_usec_t after = c->returns_at - t->until;

	if (ap_now() >= t->until)
		return;
	t->refused++;
	t->early += after < -TOLD_MARGIN;
	if (after >= -TOLD_MARGIN && after < WINDOW * WINDOWS)
		t->returns[after < 0 ? 0 : after / WINDOW]++;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	call_t *c = ctx;

	(void)written;
	c->q->done = true;
	if (end == AP_HTTP_COMPLETE && c->status == 503)
		count_refusal(c->told, c);
	else if (end == AP_HTTP_COMPLETE && c->status == 200)
		c->told->served++;
	else
		c->told->failed++;
	free(c);
}

static void send_request(told_t *t, soak_kind_t kind, const instance_t *inst)
{
	call_t *c = calloc(1, sizeof(*c));
	ap_http_header_t headers[] = {
		{"Host", "soak.example"}, {"Request-Id", NULL}, {"Deadline-Ms", c->deadline}};
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
		.first_byte = 2 * DEADLINE,
		.between_chunks = 2 * DEADLINE,
		.idle = 10 * AP_SEC,
		.response_max = 4096,
		.ctx = c,
		.head = on_head,
		.end = on_end,
	};

	*c = (call_t){.told = t, .q = caller_request(t->soak, kind)};
	snprintf(c->deadline, sizeof(c->deadline), "%d", (int)(DEADLINE / AP_MSEC));
	headers[1].value = c->q->id;
	t->sent++;
	assert_non_null(ap_http_fetch(t->soak->client, &config));
}

/* Sends requests of the first @kinds kinds to all instances for @span. */
static void send_for(told_t *t, unsigned kinds, ap_usec_t span)
{
	soak_t *s = t->soak;
	ap_usec_t next = ap_now();
	ap_usec_t until = next + span;

	for (unsigned i = 0; next < until; i++, next += AP_SEC / RATE) {
		if (next > ap_now())
			scenario_run(s, next - ap_now());
		send_request(t, (soak_kind_t)(kinds == 1 ? SOAK_IDEMPOTENT : i / 4 % kinds),
			     &s->instances[i % s->n_instances]);
	}
}

static void pause_all(told_t *t, ap_usec_t span)
{
	t->until = ap_now() + span;
	for (size_t i = 0; i < t->soak->n_replicas; i++)
		replica_pause(t->soak, i, t->until);
}

static unsigned most_in_pause(const soak_t *s)
{
	unsigned most = 0;

	for (size_t i = 0; i < s->n_replicas; i++)
		most = s->replicas[i].in_pause > most ? s->replicas[i].in_pause : most;
	return most;
}

static unsigned most_returns(const told_t *t)
{
	unsigned most = 0;

	for (size_t i = 0; i < WINDOWS; i++)
		most = t->returns[i] > most ? t->returns[i] : most;
	return most;
}

/* All upstreams pause for @span under a load of the first @kinds kinds of requests. */
static void check_pause(soak_t *s, unsigned kinds, ap_usec_t span)
{
	unsigned allowed = IN_PAUSE_MAX * SCENARIO_INSTANCES / REGIONS;
	told_t t = {.soak = s};

	send_for(&t, kinds, BEFORE);
	pause_all(&t, span);
	send_for(&t, kinds, span + AFTER);
	scenario_run(s, DEADLINE);
	print_message("%lld ms: %u requests, %u served, %u refused, %u told to return early, at "
		      "most %u in %lld ms, %u failed; at most %u at one upstream in its pause\n",
		      (long long)(span / AP_MSEC), t.sent, t.served, t.refused, t.early,
		      most_returns(&t), (long long)(WINDOW / AP_MSEC), t.failed, most_in_pause(s));
	if (most_in_pause(s) > allowed)
		soak_finding(s, "budget: %u requests reached an upstream in its pause, allowed %u",
			     most_in_pause(s), allowed);
	if (t.early > 0)
		soak_finding(s, "early: %u callers were told to return in the pause", t.early);
	if (t.refused > TOLD_MIN && most_returns(&t) > t.refused / 4)
		soak_finding(s, "herd: %u of %u callers return within %lld ms", most_returns(&t),
			     t.refused, (long long)(WINDOW / AP_MSEC));
	/* What was sent before the pause, and from its end on. */
	if (t.served < (unsigned)(BEFORE + AFTER / 2) * RATE / AP_SEC || t.failed > 0)
		soak_finding(s, "served: %u of %u requests, %u failed", t.served, t.sent, t.failed);
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against BUDGET: requests went on at the callers' rate to upstreams that had answered 503
 * with Retry-After, where there was no other place to go.
 */
static void test_no_requests_in_a_pause_of_seconds(void **state)
{
	check_pause(*state, 1, 3 * AP_SEC);
}

/* Likewise, in a pause not much longer than half a second. */
static void test_no_requests_in_a_short_pause(void **state)
{
	check_pause(*state, 1, 700 * AP_MSEC);
}

/* Likewise, with requests that may not be repeated, and streams. */
static void test_no_requests_of_any_kind_in_a_pause(void **state)
{
	check_pause(*state, SOAK_KINDS, 2500 * AP_MSEC);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		SCENARIO(test_no_requests_in_a_pause_of_seconds),
		SCENARIO(test_no_requests_in_a_short_pause),
		SCENARIO(test_no_requests_of_any_kind_in_a_pause),
	};

	scenario_program = argc > 1 ? argv[1] : "";
	return cmocka_run_group_tests(tests, NULL, NULL);
}
