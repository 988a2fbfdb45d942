/* Callers: requests on kept connections, and what each was told. */
#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEADLINE (3 * AP_SEC)
#define LATENESS_MAX (1500 * AP_MSEC) /* past the deadline, on a machine that is left alone */
#define UNDISTURBED_TIME (6 * AP_SEC)
#define EVENTS 6
#define ANSWER_MAX 4096

typedef struct ask {
	LIST_ENTRY(ask) entry;
	soak_t *soak;
	instance_t *gate;
	request_t *q;
	int status;
	bool has_request_id;
	bool has_stamp;
	char body[ANSWER_MAX];
	size_t len;
} ask_t;

static LIST_HEAD(, ask) asks = LIST_HEAD_INITIALIZER(asks);

static void ask_free(ask_t *a)
{
	LIST_REMOVE(a, entry);
	free(a);
}

static bool is_refusal_status(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void on_head(void *ctx, const ap_http_head_t *head)
{
	ask_t *a = ctx;
	const char *id = evhttp_find_header(head->headers, "Request-Id");

	a->status = head->status;
	a->has_request_id = id && strcmp(id, a->q->id) == 0;
	a->has_stamp = evhttp_find_header(head->headers, "Server-Stamp") != NULL;
}

static void on_data(void *ctx, const void *data, size_t len)
{
	ask_t *a = ctx;

	if (a->len + len >= sizeof(a->body))
		return;
	memcpy(a->body + a->len, data, len);
	a->len += len;
	a->body[a->len] = '\0';
}

/* Events 1 to the last, each once, each with our id. */
static bool stream_is_complete(const ask_t *a)
{
	char expected[ANSWER_MAX] = "";
	size_t len = 0;

	for (unsigned i = 1; i <= EVENTS; i++)
		len += (size_t)snprintf(expected + len, sizeof(expected) - len,
					"id: %u\ndata: %s\n\n", i, a->q->id);
	return strcmp(expected, a->body) == 0;
}

static void check_success(ask_t *a)
{
	bool stream = a->q->kind == SOAK_STREAM || a->q->kind == SOAK_RESUMABLE;

	if (!a->has_request_id || !a->has_stamp)
		soak_finding(a->soak, "mixed: %s got an answer without its id or signature",
			     a->q->id);
	else if (stream && !stream_is_complete(a))
		soak_finding(a->soak, "order: %s got a stream that is not whole", a->q->id);
	else if (!stream && strncmp(a->body, a->q->id, strlen(a->q->id)) != 0)
		soak_finding(a->soak, "mixed: %s got the body of another request", a->q->id);
}

static void check_late(ask_t *a)
{
	ap_usec_t now = ap_now();

	if (now - a->q->sent > DEADLINE + LATENESS_MAX &&
	    now - a->gate->last_disturbed > UNDISTURBED_TIME)
		soak_finding(a->soak, "held: %s for %lld ms at %s", a->q->id,
			     (long long)((now - a->q->sent) / AP_MSEC), a->gate->id);
}

static void count(ask_t *a, bool whole)
{
	soak_t *s = a->soak;
	bool served = whole && a->status >= 200 && a->status < 300;

	s->served += served;
	s->refused += whole && is_refusal_status(a->status);
	s->failed += !served && !(whole && is_refusal_status(a->status));
	if (s->quiet && a->q->sent >= s->start) {
		s->recovered_served += served;
		if (!served && s->verbose)
			fprintf(stderr, "quiet: %s status %d whole %d at %s\n", a->q->id, a->status,
				whole, a->gate->id);
	}
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	ask_t *a = ctx;
	bool whole = end == AP_HTTP_WHOLE;

	(void)written;
	a->q->done = true;
	check_late(a);
	if (whole && a->status >= 200 && a->status < 300)
		check_success(a);
	if (whole && is_refusal_status(a->status)) {
		a->q->refused = true;
		if (a->q->runs > 0 && (a->q->kind == SOAK_ONCE || a->q->kind == SOAK_STREAM))
			soak_finding(a->soak, "refused: %s was told %d and has run", a->q->id,
				     a->status);
	}
	count(a, whole);
	ask_free(a);
}

static instance_t *pick_instance(soak_t *s)
{
	for (int i = 0; i < 8; i++) {
		instance_t *g = &s->gates[ap_rng_below(&s->rng, s->n_gates)];

		if (g->pid > 0 && !g->leaving && !g->paused)
			return g;
	}
	return NULL;
}

static request_t *new_request(soak_t *s)
{
	request_t *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	/* Two soaks on one machine may meet on a port that one of them has left. */
	snprintf(q->id, sizeof(q->id), "q%d-%llu", (int)getpid(), (unsigned long long)++s->next_id);
	q->kind = (soak_kind_t)ap_rng_below(&s->rng, SOAK_KINDS);
	q->sent = ap_now();
	HASH_ADD_STR(s->requests, id, q);
	return q;
}

void caller_send(soak_t *s)
{
	instance_t *g = pick_instance(s);
	request_t *q = new_request(s);
	ask_t *a = calloc(1, sizeof(*a));
	ap_http_header_t headers[] = {
		{"Host", "soak.example"}, {"Request-Id", q->id}, {"Deadline-Ms", "3000"}};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = g ? g->port : 0,
		.method = q->kind == SOAK_IDEMPOTENT ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
		.target = soak_paths[q->kind],
		.headers = headers,
		.n_headers = 3,
		.body = "body",
		.len = q->kind == SOAK_IDEMPOTENT ? 0 : 4,
		.lenient = true,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = DEADLINE + 2 * LATENESS_MAX,
		.between = DEADLINE + 2 * LATENESS_MAX,
		.idle = 10 * AP_SEC,
		.answer_max = ANSWER_MAX,
		.ctx = a,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};

	if (!a)
		abort();
	*a = (ask_t){.soak = s, .gate = g, .q = q};
	LIST_INSERT_HEAD(&asks, a, entry);
	if (!g || !ap_http_fetch(s->client, &config)) {
		q->done = true;
		ask_free(a);
		return;
	}
	s->sent++;
	s->recovered_sent += s->quiet;
}

/* What was refused must not run later either: looked at once more before it is forgotten. */
void caller_finish(soak_t *s)
{
	request_t *next;
	request_t *q;
	ask_t *a_next;

	for (ask_t *a = LIST_FIRST(&asks); a; a = a_next) {
		a_next = LIST_NEXT(a, entry);
		ask_free(a);
	}
	q = s->requests;
	HASH_CLEAR(hh, s->requests); /* frees the table; the items stay linked */
	for (; q; q = next) {
		next = q->hh.next;
		if (q->refused && q->runs > 0 && (q->kind == SOAK_ONCE || q->kind == SOAK_STREAM))
			soak_finding(s, "refused: %s was told so and ran later", q->id);
		free(q);
	}
}
