/*
 * Stand-in for a plain HTTP service that counts the POST requests it carries out. GET /count
 * returns their number, and the largest number with one and the same body; with ?body=TEXT, the
 * number with that body.
 */
#include "server.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Number of POST requests with one body. */
typedef struct body_count {
	uint64_t body;
	unsigned times;
	UT_hash_handle hh;
} body_count_t;

typedef struct plain {
	const char *listen;
	const char *id;
	server_t *server;
	unsigned count;
	unsigned most_per_body;
	body_count_t *bodies;
} plain_t;

static void count_body(plain_t *p, const void *body, size_t len)
{
	uint64_t hash = ap_hash(body, len, 0);
	body_count_t *w;

	HASH_FIND(hh, p->bodies, &hash, sizeof(hash), w);
	if (!w) {
		w = calloc(1, sizeof(*w));
		if (!w)
			abort();
		w->body = hash;
		HASH_ADD(hh, p->bodies, body, sizeof(w->body), w);
	}
	w->times++;
	p->count++;
	if (w->times > p->most_per_body)
		p->most_per_body = w->times;
}

static unsigned times_of(const plain_t *p, const char *body)
{
	uint64_t hash = ap_hash(body, strlen(body), 0);
	body_count_t *w;

	HASH_FIND(hh, p->bodies, &hash, sizeof(hash), w);
	return w ? w->times : 0;
}

static void reply_counts(const plain_t *p, exchange_t *x)
{
	const char *body = exchange_query(x, "body");
	json_t *json;

	if (body)
		json = json_pack("{s:i}", "times", (int)times_of(p, body));
	else
		json = json_pack("{s:i, s:i}", "count", (int)p->count, "most",
				 (int)p->most_per_body);
	exchange_reply_json(x, 200, json);
}

static void handle_post(plain_t *p, exchange_t *x)
{
	fault_t fault = server_next_fault(p->server);
	size_t len;
	const void *body = exchange_body(x, &len);

	if (fault == FAULT_REFUSE || fault == FAULT_DRAIN) {
		exchange_refuse(x);
		return;
	}
	count_body(p, body, len);
	exchange_reply_faulty(x, fault,
			      json_pack("{s:s, s:s, s:i}", "served_by", p->id, "path",
					exchange_path(x), "number", (int)p->count));
}

static void on_request(void *ctx, exchange_t *x)
{
	plain_t *p = ctx;

	if (exchange_is(x, EVHTTP_REQ_PUT, "/fault"))
		server_set_fault(p->server, x);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/count"))
		reply_counts(p, x);
	else if (exchange_is(x, EVHTTP_REQ_POST, exchange_path(x)))
		handle_post(p, x);
	else
		exchange_reply_faulty(
			x, server_next_fault(p->server),
			json_pack("{s:s, s:s}", "served_by", p->id, "path", exchange_path(x)));
}

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, "where to listen; port 0 lets the system choose", 0},
	{"id", 'i', "ID", 0, "name in responses", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	plain_t *p = state->input;

	if (key == 'l')
		p->listen = arg;
	else if (key == 'i')
		p->id = arg;
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp parser = {options, parse_option, NULL, "Plain service",
					   NULL,    NULL,	  NULL};
	plain_t p = {.listen = "127.0.0.1:0", .id = "plain"};
	struct event_base *base = loop_new();
	body_count_t *w;

	argp_parse(&parser, argc, argv, 0, NULL, &p);
	p.server = server_new(base, p.listen, on_request, &p);
	loop_run(base);
	server_free(p.server);
	event_base_free(base);
	w = p.bodies;
	HASH_CLEAR(hh, p.bodies);
	while (w) {
		body_count_t *next = w->hh.next;

		free(w);
		w = next;
	}
	return 0;
}
