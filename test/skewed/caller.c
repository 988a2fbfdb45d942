/* Callers: they begin streams, leave, and take them up at another instance. */
#include "caller.h"

#include "fleet/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 400 /* between two events */
#define NAMED_MAX 3 /* headers of another instance */

static LIST_HEAD(, caller) callers = LIST_HEAD_INITIALIZER(callers);

static void note_arrival(caller_t *c, const replica_t *r, ap_http_call_t *call)
{
	caller_arrival_t *a = &c->arrivals[c->n_arrivals];

	c->version = r->version ? r->version : "";
	if (c->n_arrivals == CALLER_ARRIVALS_MAX)
		return;
	c->n_arrivals++;
	a->version = c->version;
	a->runs = c->q->runs;
	a->goes_on = ap_http_call_header(call, "Last-Event-Id") != NULL;
	ap_copy_name(a->at, sizeof(a->at), r->id);
}

static void on_arrived(const replica_t *r, ap_http_call_t *call, const request_t *q)
{
	for (caller_t *c = LIST_FIRST(&callers); c; c = LIST_NEXT(c, link)) {
		if (c->q == q)
			note_arrival(c, r, call);
	}
}

static void on_head(void *ctx, const ap_http_head_t *head)
{
	caller_t *c = ctx;
	const char *by = evhttp_find_header(head->headers, "Server-Stamp");

	c->status = head->status;
	c->says_when = evhttp_find_header(head->headers, "Retry-After") != NULL;
	ap_copy_name(c->by, sizeof(c->by), by ? by : "");
}

static void on_data(void *ctx, const void *data, size_t len)
{
	caller_t *c = ctx;
	const char *bytes = data;

	for (size_t i = 0; i + 1 < len; i++)
		c->events += bytes[i] == '\n' && bytes[i + 1] == '\n';
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	caller_t *c = ctx;

	(void)end;
	(void)written;
	c->q->done = true;
	c->fetch = NULL;
	c->ended_at = ap_now();
}

/* Sends a request to @port; @named: further headers, if @of is given. */
static caller_t *ask(soak_t *s, uint16_t port, const caller_t *of, const ap_http_header_t *named,
		     size_t n_named)
{
	caller_t *c = calloc(1, sizeof(*c));
	char last[16];
	ap_http_header_t headers[5 + NAMED_MAX] = {{"Host", "soak.example"},
						   {"Request-Id", NULL},
						   {"Deadline-Ms", "3000"},
						   {"Resumes", NULL},
						   {"Last-Event-Id", last}};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = port,
		.method = EVHTTP_REQ_POST,
		.target = soak_paths[SOAK_RESUMABLE],
		.headers = headers,
		.n_headers = of ? 5 + n_named : 3,
		.body = "body",
		.len = 4,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = 4 * AP_SEC,
		.between_chunks = 4 * AP_SEC,
		.response_max = 4096,
		.ctx = c,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};

	assert_non_null(c);
	c->q = caller_request(s, SOAK_RESUMABLE);
	c->q->step_ms = STEP_MS;
	LIST_INSERT_HEAD(&callers, c, link);
	headers[1].value = c->q->id;
	if (of) {
		headers[3].value = of->q->id;
		snprintf(last, sizeof(last), "%u", of->events);
	}
	for (size_t i = 0; i < n_named; i++)
		headers[5 + i] = named[i];
	c->fetch = ap_http_fetch(s->client, &config);
	if (!c->fetch) {
		c->q->done = true;
		c->ended_at = ap_now();
	}
	return c;
}

caller_t *caller_ask(soak_t *s, const instance_t *inst, const caller_t *of)
{
	return ask(s, inst->port, of, NULL, 0);
}

caller_t *caller_forward(soak_t *s, const instance_t *inst, const caller_t *of, const char *pool,
			 const char *version, const char *evidence)
{
	char build[24];
	const ap_http_header_t named[NAMED_MAX] = {{"Arbutuspond-Attempts", "1"},
						   {"Arbutuspond-Build", build},
						   {"Arbutuspond-Evidence", evidence}};

	snprintf(build, sizeof(build), "%llx", (unsigned long long)ap_build_of(pool, version));
	return ask(s, (uint16_t)(inst->port + INSTANCE_PEER), of, named, evidence ? 3 : 2);
}

void caller_leave(caller_t *c)
{
	if (c->fetch)
		ap_http_fetch_cancel(c->fetch);
	c->fetch = NULL;
	c->q->done = true;
	c->q->left_at = ap_now();
}

int caller_set_up(void **state)
{
	soak_t *s;

	scenario_set_up(state);
	s = *state;
	s->arrived = on_arrived;
	s->no_weights = true;
	for (size_t i = 0; i < s->n_replicas; i++)
		s->replicas[i].weights = 0;
	return 0;
}

int caller_tear_down(void **state)
{
	caller_t *next;

	scenario_tear_down(state);
	for (caller_t *c = LIST_FIRST(&callers); c; c = next) {
		next = LIST_NEXT(c, link);
		free(c);
	}
	LIST_INIT(&callers);
	return 0;
}
