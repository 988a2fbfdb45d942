/*
 * Stand-in for the platform: a key-value service with Consul's KV and session interface, the
 * instance list and the client directory, on one port.
 */
#include "server.h"
#include "store.h"

#include "log/log.h"

#include <argp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define TAG_MAX 24
#define TICK_MS 20 /* interval of the check for expired sessions */
#define WAIT_DEFAULT (300 * AP_SEC)

/* A blocking query that waits for a newer index of its key. */
typedef struct watch {
	LIST_ENTRY(watch) link;
	struct platform *platform;
	exchange_t *x;
	struct event *timer;
	char *key;
	uint64_t index;
} watch_t;

/* A request that is delayed by the stall_ms fault. */
typedef struct delayed {
	struct platform *platform;
	exchange_t *x;
	struct event *timer;
} delayed_t;

typedef struct platform {
	const char *listen;
	uint64_t seed;
	struct event_base *base;
	server_t *server;
	store_t store;
	ap_rng_t rng;
	json_t *instances;
	json_t *directory;
	bool store_down; /* the key-value service drops requests */
	bool lists_down; /* the instance list and client directory drop requests */
	long stall_ms;
	double loss;
	uint64_t reads;
	uint64_t writes;
	LIST_HEAD(, watch) watches;
} platform_t;

/* "30s", "500ms" or "2m", as Consul writes durations. */
static ap_usec_t parse_duration(const char *text, ap_usec_t otherwise)
{
	char *unit;
	double number;

	if (!text)
		return otherwise;
	number = strtod(text, &unit);
	if (strcmp(unit, "ms") == 0)
		return (ap_usec_t)(number * AP_MSEC);
	if (strcmp(unit, "m") == 0)
		return (ap_usec_t)(number * 60 * AP_SEC);
	return (ap_usec_t)(number * AP_SEC);
}

static json_t *pair_json(const pair_t *p)
{
	size_t size = sodium_base64_encoded_len(p->len, sodium_base64_VARIANT_ORIGINAL);
	char *value = malloc(size);
	json_t *out;

	if (!value)
		abort();
	sodium_bin2base64(value, size, p->value, p->len, sodium_base64_VARIANT_ORIGINAL);
	out = json_pack("[{s:I, s:s, s:i, s:s, s:I, s:I}]", "LockIndex", (json_int_t)p->lock_index,
			"Key", p->key, "Flags", 0, "Value", value, "CreateIndex",
			(json_int_t)p->created, "ModifyIndex", (json_int_t)p->modified);
	if (p->session[0])
		json_object_set_new(json_array_get(out, 0), "Session", json_string(p->session));
	free(value);
	return out;
}

static void reply_pair(platform_t *pl, exchange_t *x, const char *key)
{
	const pair_t *p = store_get(&pl->store, key);
	char index[24];

	snprintf(index, sizeof(index), "%llu",
		 (unsigned long long)(p ? p->modified : pl->store.index));
	exchange_add_header(x, "X-Consul-Index", index);
	if (p)
		exchange_reply_json(x, 200, pair_json(p));
	else
		exchange_reply(x, 404, "text/plain", "", 0);
}

static void watch_free(watch_t *w)
{
	LIST_REMOVE(w, link);
	event_free(w->timer);
	free(w->key);
	free(w);
}

static void watch_gone(void *ctx)
{
	watch_free(ctx);
}

static void watch_reply(watch_t *w)
{
	reply_pair(w->platform, w->x, w->key);
	watch_free(w);
}

static void on_watch_end(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	watch_reply(arg);
}

/* Responds to the watches whose key changed. */
static void reply_changed_watches(platform_t *pl)
{
	watch_t *w = LIST_FIRST(&pl->watches);

	while (w) {
		watch_t *next = LIST_NEXT(w, link);
		const pair_t *p = store_get(&pl->store, w->key);

		if (p && p->modified > w->index)
			watch_reply(w);
		w = next;
	}
}

static void kv_read(platform_t *pl, exchange_t *x, const char *key)
{
	const char *index = exchange_query(x, "index");
	uint64_t known = index ? strtoull(index, NULL, 10) : 0;
	const pair_t *p = store_get(&pl->store, key);
	struct timeval limit;
	watch_t *w;

	if (known == 0 || (p && p->modified != known)) {
		reply_pair(pl, x, key);
		return;
	}
	w = calloc(1, sizeof(*w));
	if (!w)
		abort();
	limit = ap_timeval(parse_duration(exchange_query(x, "wait"), WAIT_DEFAULT));
	*w = (watch_t){.platform = pl, .x = x, .index = known, .key = strdup(key)};
	w->timer = evtimer_new(pl->base, on_watch_end, w);
	evtimer_add(w->timer, &limit);
	LIST_INSERT_HEAD(&pl->watches, w, link);
	exchange_watch(x, watch_gone, w);
}

/* Responds to a write, or loses the response: the connection is reset. */
static void reply_write(platform_t *pl, exchange_t *x, int code, json_t *json)
{
	if (ap_rng_unit(&pl->rng) < pl->loss) {
		json_decref(json);
		exchange_close(x, true);
		return;
	}
	exchange_reply_json(x, code, json);
}

static void kv_del(platform_t *pl, exchange_t *x, const char *key)
{
	const char *cas = exchange_query(x, "cas");
	const pair_t *p = store_get(&pl->store, key);
	uint64_t index = p ? p->modified : 0;

	if (cas)
		index = strtoull(cas, NULL, 10);
	reply_write(pl, x, 200, json_boolean(store_del(&pl->store, key, index)));
}

static void kv_write(platform_t *pl, exchange_t *x, const char *key)
{
	const char *cas = exchange_query(x, "cas");
	const char *acquire = exchange_query(x, "acquire");
	const char *release = exchange_query(x, "release");
	size_t len;
	const void *value = exchange_body(x, &len);
	bool done = true;

	if (acquire && !store_session(&pl->store, acquire)) {
		exchange_reply(x, 500, "text/plain", "invalid session", 15);
		return;
	}
	if (cas)
		done = store_cas(&pl->store, key, value, len, strtoull(cas, NULL, 10));
	else if (acquire)
		done = store_acquire(&pl->store, key, value, len, acquire);
	else if (release)
		done = store_release(&pl->store, key, release);
	else
		store_put(&pl->store, key, value, len);
	reply_write(pl, x, 200, json_boolean(done));
	reply_changed_watches(pl);
}

static void session_create(platform_t *pl, exchange_t *x)
{
	size_t len;
	const char *body = exchange_body(x, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *ttl = json_string_value(json_object_get(json, "TTL"));
	const session_t *session =
		store_session_create(&pl->store, parse_duration(ttl, AP_NEVER / 2), ap_now());

	json_decref(json);
	reply_write(pl, x, 200, json_pack("{s:s}", "ID", session->id));
}

static void session_renew(platform_t *pl, exchange_t *x, const char *id)
{
	session_t *session = store_session(&pl->store, id);

	if (!session) {
		exchange_reply(x, 404, "text/plain", "", 0);
		return;
	}
	session->expires = ap_now() + session->ttl;
	reply_write(pl, x, 200, json_pack("[{s:s}]", "ID", session->id));
}

static void session_destroy(platform_t *pl, exchange_t *x, const char *id)
{
	session_t *session = store_session(&pl->store, id);

	if (session)
		store_session_end(&pl->store, session);
	reply_write(pl, x, 200, json_true());
	reply_changed_watches(pl);
}

static json_t *body_json(exchange_t *x)
{
	size_t len;
	const char *body = exchange_body(x, &len);

	return json_loadb(body, len, 0, NULL);
}

/* Responds with @json and its ETag, or with 304 if the client has it already. */
static void reply_with_etag(exchange_t *x, json_t *json)
{
	const char *known = exchange_header(x, "If-None-Match");
	char *text = json_dumps(json, JSON_COMPACT);
	char tag[TAG_MAX];

	snprintf(tag, sizeof(tag), "\"%016llx\"", (unsigned long long)ap_hash_str(text, 0));
	exchange_add_header(x, "ETag", tag);
	if (known && strcmp(known, tag) == 0)
		exchange_reply(x, 304, "application/json", "", 0);
	else
		exchange_reply(x, 200, "application/json", text, strlen(text));
	free(text);
}

/* PUT sets the value of @key in @table to the request's body; both PUT and GET respond with it. */
static void put_or_get_document(exchange_t *x, json_t *table, const char *key)
{
	json_t *json;

	if (exchange_is(x, EVHTTP_REQ_PUT, exchange_path(x))) {
		json = body_json(x);
		if (!json) {
			exchange_reply_json(x, 400, json_pack("{s:s}", "error", "not JSON"));
			return;
		}
		json_object_set_new(table, key, json);
	}
	json = json_object_get(table, key);
	if (json)
		reply_with_etag(x, json);
	else
		exchange_reply(x, 404, "text/plain", "", 0);
}

static const char *path_after(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) == 0 && path[len] ? path + len : NULL;
}

static void store_call(platform_t *pl, exchange_t *x, const char *key)
{
	if (exchange_is(x, EVHTTP_REQ_GET, exchange_path(x))) {
		pl->reads++;
		kv_read(pl, x, key);
	} else if (exchange_is(x, EVHTTP_REQ_DELETE, exchange_path(x))) {
		pl->writes++;
		kv_del(pl, x, key);
	} else {
		pl->writes++;
		kv_write(pl, x, key);
	}
}

static void serve(platform_t *pl, exchange_t *x)
{
	const char *path = exchange_path(x);
	const char *rest;

	store_expire(&pl->store, ap_now());
	if ((rest = path_after(path, "/v1/kv/"))) {
		store_call(pl, x, rest);
	} else if (strcmp(path, "/v1/instances") == 0) {
		put_or_get_document(x, pl->instances, "list");
	} else if ((rest = path_after(path, "/v1/directory/"))) {
		put_or_get_document(x, pl->directory, rest);
	} else if (strncmp(path, "/v1/session/", 12) == 0) {
		pl->writes++;
		if (strcmp(path, "/v1/session/create") == 0)
			session_create(pl, x);
		else if ((rest = path_after(path, "/v1/session/renew/")))
			session_renew(pl, x, rest);
		else if ((rest = path_after(path, "/v1/session/destroy/")))
			session_destroy(pl, x, rest);
		else
			exchange_reply(x, 404, "text/plain", "", 0);
	} else {
		exchange_reply(x, 404, "text/plain", "", 0);
	}
}

static void delayed_free(delayed_t *d)
{
	event_free(d->timer);
	free(d);
}

static void delayed_gone(void *ctx)
{
	delayed_free(ctx);
}

/* Returns whether the service that @x requests is down. */
static bool is_down(const platform_t *pl, const exchange_t *x)
{
	bool store = strncmp(exchange_path(x), "/v1/kv/", strlen("/v1/kv/")) == 0 ||
		     strncmp(exchange_path(x), "/v1/session/", strlen("/v1/session/")) == 0;

	return store ? pl->store_down : pl->lists_down;
}

static void on_delayed(evutil_socket_t fd, short what, void *arg)
{
	delayed_t *d = arg;
	platform_t *pl = d->platform;
	exchange_t *x = d->x;

	(void)fd;
	(void)what;
	delayed_free(d);
	exchange_watch(x, NULL, NULL);
	if (is_down(pl, x))
		exchange_close(x, true);
	else
		serve(pl, x);
}

static void delay(platform_t *pl, exchange_t *x)
{
	struct timeval later = ap_timeval(pl->stall_ms * AP_MSEC);
	delayed_t *d = calloc(1, sizeof(*d));

	if (!d)
		abort();
	*d = (delayed_t){.platform = pl, .x = x};
	d->timer = evtimer_new(pl->base, on_delayed, d);
	evtimer_add(d->timer, &later);
	exchange_watch(x, delayed_gone, d);
}

static void drop_watches(platform_t *pl)
{
	watch_t *w = LIST_FIRST(&pl->watches);

	while (w) {
		watch_t *next = LIST_NEXT(w, link);

		exchange_close(w->x, true);
		watch_free(w);
		w = next;
	}
}

static void set_fault(platform_t *pl, exchange_t *x)
{
	const char *store_down = exchange_query(x, "away");
	const char *lists_down = exchange_query(x, "list_away");
	const char *stall = exchange_query(x, "stall_ms");
	const char *loss = exchange_query(x, "lose");

	pl->store_down = store_down && atoi(store_down) != 0;
	pl->lists_down = lists_down && atoi(lists_down) != 0;
	pl->stall_ms = stall ? atol(stall) : 0;
	pl->loss = loss ? strtod(loss, NULL) : 0.0;
	if (pl->store_down)
		drop_watches(pl);
	exchange_reply_json(x, 200,
			    json_pack("{s:b, s:I, s:f}", "away", pl->store_down, "stall_ms",
				      (json_int_t)pl->stall_ms, "lose", pl->loss));
}

static void on_request(void *ctx, exchange_t *x)
{
	platform_t *pl = ctx;

	if (exchange_is(x, EVHTTP_REQ_PUT, "/fault"))
		set_fault(pl, x);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/count"))
		exchange_reply_json(x, 200,
				    json_pack("{s:I, s:I}", "reads", (json_int_t)pl->reads,
					      "writes", (json_int_t)pl->writes));
	else if (is_down(pl, x))
		exchange_close(x, true);
	else if (pl->stall_ms > 0)
		delay(pl, x);
	else
		serve(pl, x);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	platform_t *pl = arg;

	(void)fd;
	(void)what;
	store_expire(&pl->store, ap_now());
	reply_changed_watches(pl);
}

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, "where to listen; port 0 lets the system choose", 0},
	{"seed", 's', "N", 0, "seed of session ids and lost responses", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	platform_t *pl = state->input;

	if (key == 'l')
		pl->listen = arg;
	else if (key == 's')
		pl->seed = strtoull(arg, NULL, 10);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp parser = {options, parse_option, NULL, "Platform services",
					   NULL,    NULL,	  NULL};
	platform_t pl = {.listen = "127.0.0.1:0", .seed = 1};
	const struct timeval tick = ap_timeval(TICK_MS * AP_MSEC);
	struct event *ticker;

	argp_parse(&parser, argc, argv, 0, NULL, &pl);
	pl.base = loop_new();
	store_init(&pl.store, pl.seed);
	ap_rng_seed(&pl.rng, pl.seed + 1);
	pl.instances = json_pack("{s:{s:[]}}", "list", "instances");
	pl.directory = json_object();
	ticker = event_new(pl.base, -1, EV_PERSIST, on_tick, &pl);
	event_add(ticker, &tick);
	pl.server = server_new(pl.base, pl.listen, on_request, &pl);
	loop_run(pl.base);
	server_free(pl.server);
	event_free(ticker);
	event_base_free(pl.base);
	store_clear(&pl.store);
	json_decref(pl.instances);
	json_decref(pl.directory);
	return 0;
}
