/*
 * Second attempts at real instances, whose upstreams are slow by turns: with the setting some
 * requests reach two upstreams, within the share; without it none does. Prints the slowest
 * hundredth of responses.
 */
#include "../soak/scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RATE 100 /* requests a second, to all instances by turns */
#define REQUESTS 1500
#define LEARNED 400 /* after which second attempts count */
#define COUNTED (REQUESTS - LEARNED)
#define WORK_MS 20
#define SLOW (100 * AP_MSEC)
#define TURN 5	/* requests for which one upstream is slow, */
#define TURNS 4 /* in one of so many turns */
#define DEADLINE (3 * AP_SEC)

typedef struct counts {
	unsigned ended;
	unsigned served;
	size_t n;
	ap_usec_t took[REQUESTS];
	request_t *sent[REQUESTS];
} counts_t;

typedef struct call {
	request_t *q;
	counts_t *counts;
	size_t number;
	int status;
	ap_usec_t sent;
} call_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	((call_t *)ctx)->status = head->status;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	call_t *c = ctx;

	(void)written;
	c->q->done = true;
	c->counts->took[c->number] = ap_now() - c->sent;
	c->counts->ended++;
	c->counts->served += end == AP_HTTP_COMPLETE && c->status == 200;
	free(c);
}

static void send_request(soak_t *s, soak_kind_t kind, const instance_t *inst, counts_t *counts)
{
	call_t *c = calloc(1, sizeof(*c));
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
		.first_byte = 2 * DEADLINE,
		.between_chunks = 2 * DEADLINE,
		.idle = 10 * AP_SEC,
		.response_max = 4096,
		.ctx = c,
		.head = on_head,
		.end = on_end,
	};

	assert_non_null(c);
	*c = (call_t){.q = caller_request(s, kind),
		      .counts = counts,
		      .number = counts->n,
		      .sent = ap_now()};
	headers[1].value = c->q->id;
	counts->sent[counts->n++] = c->q;
	assert_non_null(ap_http_fetch(s->client, &config));
}

/* One upstream after the other is slow for some requests. */
static void slow_down(soak_t *s, unsigned i)
{
	unsigned turn = i / TURN;

	for (size_t k = 0; k < s->n_replicas; k++)
		s->replicas[k].mode = turn % TURNS == 0 && turn / TURNS % s->n_replicas == k
					      ? REPLICA_SLOW
					      : REPLICA_GOOD;
}

static int compare(const void *a, const void *b)
{
	ap_usec_t x = *(const ap_usec_t *)a;
	ap_usec_t y = *(const ap_usec_t *)b;

	return x < y ? -1 : x > y;
}

/* Returns how many requests of @kind reached two upstreams, without the first ones. */
static unsigned play(const char *gateway, soak_kind_t kind)
{
	counts_t *counts = calloc(1, sizeof(*counts));
	void *state = NULL;
	ap_usec_t next;
	unsigned twice = 0;
	unsigned slow = 0;
	soak_t *s;

	assert_non_null(counts);
	scenario_gateway = gateway;
	scenario_set_up(&state);
	s = state;
	for (size_t i = 0; i < s->n_replicas; i++)
		s->replicas[i].work_ms = WORK_MS;
	next = ap_now();
	for (unsigned i = 0; i < REQUESTS; i++, next += AP_SEC / RATE) {
		slow_down(s, i);
		if (next > ap_now())
			scenario_run(s, next - ap_now());
		send_request(s, kind, &s->instances[i % s->n_instances], counts);
	}
	for (ap_usec_t until = ap_now() + 2 * DEADLINE;
	     counts->ended < REQUESTS && ap_now() < until;)
		scenario_run(s, SCENARIO_TURN);
	for (size_t i = LEARNED; i < REQUESTS; i++) {
		assert_true(counts->sent[i]->arrivals <= 2);
		twice += counts->sent[i]->arrivals == 2;
	}
	for (size_t i = LEARNED; i < REQUESTS; i++)
		slow += counts->took[i] > SLOW;
	qsort(counts->took + LEARNED, COUNTED, sizeof(counts->took[0]), compare);
	print_message("%s, %s: %u of %u served, %u of %u reached two upstreams, median %lld ms, "
		      "slowest hundredth from %lld ms, %u over %d ms\n",
		      soak_paths[kind], gateway ? gateway : "off", counts->served, REQUESTS, twice,
		      COUNTED, (long long)(counts->took[LEARNED + COUNTED / 2] / AP_MSEC),
		      (long long)(counts->took[LEARNED + COUNTED / 100 * 99] / AP_MSEC), slow,
		      (int)(SLOW / AP_MSEC));
	assert_int_equal(counts->ended, REQUESTS);
	assert_int_equal(counts->served, REQUESTS);
	assert_int_equal(s->findings, 0);
	scenario_tear_down(&state);
	free(counts);
	return twice;
}

/* Guards against a share that isn't kept, and a setting that has no effect. */
static void slow_requests_reach_two_upstreams_within_the_share(void **state)
{
	unsigned twice = play("second_attempts = 0.1", SOAK_IDEMPOTENT);

	(void)state;
	assert_true(twice > 0);
	assert_true(twice <= COUNTED / 10);
}

/* Guards against requests that run twice, or a second attempt without the setting. */
static void no_others_do(void **state)
{
	(void)state;
	assert_int_equal(play(NULL, SOAK_IDEMPOTENT), 0);
	assert_int_equal(play("second_attempts = 0.2", SOAK_ONCE), 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slow_requests_reach_two_upstreams_within_the_share),
		cmocka_unit_test(no_others_do),
	};

	if (argc != 2) {
		fprintf(stderr, "usage: %s PROGRAM\n", argv[0]);
		return EXIT_FAILURE;
	}
	scenario_program = argv[1];
	return cmocka_run_group_tests(tests, NULL, NULL);
}
