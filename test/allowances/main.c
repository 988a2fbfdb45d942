/*
 * A customer who asks for more than the allowance, at real instances of two regions: how much runs
 * in any window, and what those get that are refused.
 */
#include "../soak/scenario.h"

#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define RATE 40
#define WINDOW (8 * AP_SEC)
#define BOUND                                                                                      \
	((RATE * 8 + RATE) * 1.1 + 20) /* allowance_over and allowance_slack of the settings */
#define RUN_TIME (12 * AP_SEC)
#define A_TURN 3 /* requests in 20 ms: about 3 times the rate */
#define REQUESTS_MAX 4096

typedef struct caller {
	request_t *q;
	int status;
	bool may_return; /* it was told when */
} caller_t;

static caller_t callers[REQUESTS_MAX];
static size_t n_callers;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	caller_t *c = ctx;
	const char *after = evhttp_find_header(head->headers, "Retry-After");

	c->status = head->status;
	c->may_return = after && atof(after) > 0;
}

static void on_data(void *ctx, const void *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	(void)end;
	(void)written;
	((caller_t *)ctx)->q->done = true;
}

static void call(soak_t *s, const instance_t *inst)
{
	caller_t *c = &callers[n_callers++];
	ap_http_header_t headers[] = {{"Host", "soak.example"},
				      {"Request-Id", NULL},
				      {"Deadline-Ms", "3000"},
				      {"Authorization", "Bearer key-of-c"}};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = inst->port,
		.method = EVHTTP_REQ_POST,
		.target = soak_paths[SOAK_ONCE],
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
		.body = "body",
		.len = 4,
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
	*c = (caller_t){.q = caller_request(s, SOAK_ONCE)};
	headers[1].value = c->q->id;
	assert_non_null(ap_http_fetch(s->client, &config));
}

/* What goes wrong, @passed after the load began. */
typedef void (*fault_t)(soak_t *s, ap_usec_t passed);

static void load(soak_t *s, fault_t fault)
{
	ap_usec_t begin = ap_now();
	size_t next = 0;

	n_callers = 0;
	for (size_t i = 0; i < s->n_replicas; i++)
		s->replicas[i].work_ms = 5;
	while (ap_now() < begin + RUN_TIME) {
		for (int i = 0; i < A_TURN; next++) {
			const instance_t *inst = &s->instances[next % s->n_instances];

			if (inst->pid <= 0)
				continue;
			call(s, inst);
			i++;
		}
		scenario_run(s, SCENARIO_TURN);
		if (fault)
			fault(s, ap_now() - begin);
	}
	scenario_run(s, 2 * AP_SEC);
}

/* Returns the most requests that were sent within a window and ran. */
static unsigned worst_window(void)
{
	unsigned worst = 0;

	for (size_t i = 0; i < n_callers; i++) {
		unsigned n = 0;

		for (size_t k = i;
		     k < n_callers && callers[k].q->sent - callers[i].q->sent < WINDOW; k++)
			n += callers[k].q->runs > 0;
		worst = n > worst ? n : worst;
	}
	return worst;
}

static void check(const char *name, soak_t *s, unsigned least)
{
	unsigned over = 0;
	unsigned served = 0;

	for (size_t i = 0; i < n_callers; i++) {
		const caller_t *c = &callers[i];

		served += c->status == 200;
		if (c->status != 429)
			continue;
		over++;
		if (c->q->runs > 0)
			soak_finding(s, "%s got 429 and ran", c->q->id);
		if (!c->may_return)
			soak_finding(s, "%s got 429 without Retry-After", c->q->id);
	}
	printf("%s: of %zu requests %u got 200, %u got 429; worst window %u of %.0f\n", name,
	       n_callers, served, over, worst_window(), BOUND);
	assert_true(over > 0);
	assert_true(served >= least);
	assert_true(worst_window() <= BOUND);
	assert_int_equal(s->findings, 0);
}

/* Guards against instances that admit an allowance each, and against a 429 that ran. */
static void test_the_sum_of_two_regions_is_bounded(void **state)
{
	load(*state, NULL);
	check("two regions", *state, RATE * 8);
}

static void kill_one(soak_t *s, ap_usec_t passed)
{
	instance_t *inst = &s->instances[1];

	if (passed > 4 * AP_SEC && passed < 5 * AP_SEC && inst->pid > 0)
		instance_signal(inst, SIGKILL);
	if (passed > 6 * AP_SEC && inst->pid <= 0)
		instance_start(inst);
}

/* Guards against an instance that begins with a whole burst. */
static void test_an_instance_is_killed_and_started(void **state)
{
	load(*state, kill_one);
	check("one killed and started", *state, RATE * 6);
}

static void cut_one(soak_t *s, ap_usec_t passed)
{
	link_mode_t mode = passed > 3 * AP_SEC && passed < 9 * AP_SEC ? LINK_SILENT : LINK_OPEN;

	for (size_t i = 0; i < 2; i++) {
		if (link_mode(s->instances[2].peer_links[i]) != mode)
			link_set_mode(s->instances[2].peer_links[i], mode);
	}
}

/* Guards against an instance that takes what it doesn't hear of for unused. */
static void test_an_instance_hears_nobody(void **state)
{
	load(*state, cut_one);
	check("one hears nobody", *state, RATE * 6);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		SCENARIO(test_the_sum_of_two_regions_is_bounded),
		SCENARIO(test_an_instance_is_killed_and_started),
		SCENARIO(test_an_instance_hears_nobody),
	};

	scenario_program = argc > 1 ? argv[1] : "";
	scenario_tenants = "[{\"name\":\"c\",\"apiKeys\":[\"key-of-c\"],\"ratePerS\":40,"
			   "\"burst\":40}]";
	return cmocka_run_group_tests(tests, NULL, NULL);
}
