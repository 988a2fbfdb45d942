/* Requests from callers and, forwarded, from instances of remote regions. */
#include "gateway.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_TIME_LEFT (30 * AP_SEC)	  /* for requests without a deadline */
#define HEARD_MAX (600 * AP_SEC)	  /* above any timeout of a route */
#define EARLY_RETRY_AFTER (300 * AP_MSEC) /* in every 503 of gate_reply_early() */
/* Memory of a request, and of an attempt whose response has begun, beside what arrives of both. */
#define CALL_BYTES 12800
#define RESPONSE_BYTES 8192

/*
 * Responds to a request that has no exchange; nothing was sent, so it certainly did not run.
 * @retry_after: 0 if the caller isn't told when to come again
 * @version: of the configuration, if it is the reason; else NULL
 */
static void reply_early_with(ap_http_call_t *call, int status, ap_usec_t retry_after,
			     bool forwarded, const char *error, const char *version)
{
	ap_http_header_t headers[5] = {gate_json};
	char body[GATE_ERROR_MAX];
	char wait[24];
	size_t n = 1;
	size_t len = gate_error_body(error, body);

	if (retry_after > 0) {
		ap_host_format_retry_after(retry_after, wait);
		headers[n++] = (ap_http_header_t){ap_host_retry_after_name(), wait};
	}
	if (status == 401)
		headers[n++] = (ap_http_header_t){"WWW-Authenticate", "Bearer"};
	if (forwarded)
		headers[n++] = (ap_http_header_t){FORWARD_HEADER_NOT_RUN, FORWARD_NOT_RUN_UNSENT};
	if (version)
		headers[n++] = (ap_http_header_t){FORWARD_HEADER_CONFIGURATION, version};
	ap_http_reply(call, status, headers, n, body, len);
}

void gate_reply_early(ap_http_call_t *call, int status, bool forwarded, const char *error)
{
	reply_early_with(call, status, status == 503 ? EARLY_RETRY_AFTER : 0, forwarded, error,
			 NULL);
}

void gate_reply_later(ap_http_call_t *call, int status, ap_usec_t wait, const char *error)
{
	reply_early_with(call, status, wait, false, error, NULL);
}

/* Refuses a forwarded request that another version of the configuration would handle otherwise. */
static void refuse_version(gateway_t *gate, ap_http_call_t *call, const char *id)
{
	char version[24];

	gate->counters.ended[GATE_REFUSED]++;
	snprintf(version, sizeof(version), "%" PRIu64, gate->plan->version);
	ap_journal_write(gate->journal, AP_RECORD_ORDINARY, "request.other-version", id, "s:I",
			 "version", (json_int_t)gate->plan->version);
	reply_early_with(call, 503, EARLY_RETRY_AFTER, true, "other-version", version);
}

static void call_free(gate_call_t *c)
{
	LIST_REMOVE(c, link);
	event_free(c->timer);
	ap_exchange_clear(&c->x);
	for (unsigned i = 0; i < AP_SLOTS; i++)
		gate_clear_response(&c->attempts[i]);
	if (c->body)
		evbuffer_free(c->body);
	ap_plan_unref(c->plan);
	free(c);
}

/* The budget leaves as much again for copies, which there are none of a request's own state. */
static size_t held_by(const gate_call_t *c)
{
	size_t held = ap_exchange_held(&c->x) + CALL_BYTES / 2;

	for (unsigned i = 0; i < AP_SLOTS; i++) {
		const gate_attempt_t *a = &c->attempts[i];

		if (a->fetch)
			held += ap_http_fetch_held(a->fetch) + (a->status ? RESPONSE_BYTES / 2 : 0);
	}
	return held;
}

void gate_call_update(gate_call_t *c)
{
	struct timeval tv;
	ap_usec_t due;
	ap_usec_t now;

	if (c->call && !ap_http_call_hold(c->call, held_by(c)))
		ap_exchange_give_up(&c->x, AP_REASON_MEMORY, ap_now());
	due = ap_exchange_due(&c->x);
	if (c->x.finished) {
		gate_record_end(c);
		call_free(c);
		return;
	}
	if (due == c->timer_at || due == AP_NEVER)
		return;
	/* A timer that fires before @due has no effect; on_timer() then sets it again. */
	if (c->timer_at != 0 && c->timer_at <= due)
		return;
	now = ap_now();
	c->timer_at = due;
	tv = ap_timeval(due > now ? due - now : 0);
	event_add(c->timer, &tv);
}

void gate_call_pause(gate_call_t *c, bool paused)
{
	if (c->paused == paused)
		return;
	c->paused = paused;
	ap_exchange_pause(&c->x, paused, ap_now());
	for (unsigned i = 0; i < AP_SLOTS; i++) {
		if (c->attempts[i].fetch)
			ap_http_fetch_pause(c->attempts[i].fetch, paused);
	}
}

static void on_closed(void *ctx)
{
	gate_call_t *c = ctx;

	c->call = NULL;
	c->outcome = GATE_DISCONNECTED;
	ap_exchange_caller_disconnected(&c->x);
	gate_call_update(c);
}

static void on_drained(void *ctx)
{
	gate_call_t *c = ctx;

	gate_call_pause(c, false);
	gate_call_update(c);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	gate_call_t *c = arg;

	(void)fd;
	(void)what;
	c->timer_at = 0;
	ap_exchange_tick(&c->x, ap_now());
	gate_call_update(c);
}

/* Returns what tells the sender of a request from others, at any instance; NULL if nothing does. */
static const char *caller_of(const gate_call_t *c, const ap_host_request_t *r)
{
	/* A key isn't forwarded where there are customers. */
	if (c->plan->n_customers > 0)
		return c->x.req.customer ? c->x.req.customer->name : NULL;
	return r->caller;
}

/* A repeated request has the same fingerprint, at any instance. */
static uint64_t fingerprint_of(ap_http_call_t *call, const ap_host_request_t *r, const char *caller)
{
	enum evhttp_cmd_type method = ap_http_call_method(call);
	size_t len;
	const void *body = ap_http_call_body(call, &len);
	uint64_t hash = ap_hash(&method, sizeof(method), 0);

	hash = ap_hash_str(r->host, hash);
	hash = ap_hash_str(ap_http_call_target(call), hash);
	if (caller)
		hash = ap_hash_str(caller, hash);
	hash = ap_hash(body, len, hash);
	return hash ? hash : 1;
}

/* Returns since when a target must have responded, as another one is silent; 0 if none is. */
static ap_usec_t heard_since(ap_http_call_t *call, ap_usec_t now)
{
	const char *within = ap_http_call_header(call, FORWARD_HEADER_HEARD);
	ap_usec_t silent = within ? ap_duration(strtod(within, NULL), AP_MSEC) : 0;

	return silent > 0 && silent < HEARD_MAX ? now - silent : 0;
}

static void fill_dispatch(gate_call_t *c, const ap_host_request_t *r, ap_usec_t now)
{
	ap_dispatch_t *req = &c->x.req;

	req->local_only = c->forwarded;
	req->heard_since = c->forwarded ? heard_since(c->call, now) : 0;
	c->x.early_head = req->heard_since != 0;
	req->deadline = now + (r->time_left == AP_NEVER ? DEFAULT_TIME_LEFT : r->time_left);
	req->tokens_in = r->tokens_in;
	req->tokens_out = r->tokens_out;
	req->model = r->model;
	req->n_parts = r->n_parts;
	memcpy(req->parts, r->parts, sizeof(req->parts));
	req->fingerprint = fingerprint_of(c->call, r, caller_of(c, r));
	if (r->last_event)
		ap_copy_name(c->x.last_event_id, sizeof(c->x.last_event_id), r->last_event);
	if (r->resumes)
		ap_copy_name(c->resumes, sizeof(c->resumes), r->resumes);
	req->resumes = c->resumes;
	ap_copy_name(c->id, sizeof(c->id), r->id);
}

static gate_call_t *call_new(gateway_t *gate, ap_http_call_t *call, bool forwarded)
{
	gate_call_t *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->gate = gate;
	c->call = call;
	c->forwarded = forwarded;
	c->chunks = ap_http_call_chunks(call);
	c->timer = evtimer_new(gate->base, on_timer, c);
	if (!c->timer) {
		free(c);
		return NULL;
	}
	for (unsigned i = 0; i < AP_SLOTS; i++) {
		c->attempts[i].call = c;
		TAILQ_INIT(&c->attempts[i].headers);
	}
	c->plan = ap_plan_ref(gate->plan);
	c->x.ops = &gate_ops;
	c->x.ctx = c;
	c->x.weights_field = ap_host_weights_field();
	LIST_INSERT_HEAD(&gate->calls, c, link);
	return c;
}

/* Returns how many times the request may run; for a forwarded one, its sender decides. */
static unsigned attempts_of(const gate_call_t *c)
{
	const char *given =
		c->forwarded ? ap_http_call_header(c->call, FORWARD_HEADER_ATTEMPTS) : NULL;

	return given ? (unsigned)strtoul(given, NULL, 10) : c->x.req.route->attempts;
}

bool gate_names_known(ap_http_call_t *call, const ap_host_request_t *r)
{
	return ap_http_call_header(call, FORWARD_HEADER_EVIDENCE) || !r->resumes || !*r->resumes;
}

/* Fills in what is asked about the stream that a request takes up, if it does. */
static bool ask_of(ap_http_call_t *call, const ap_host_request_t *r, const ap_plan_route_t *route,
		   const ap_customer_t *customer, bool forwarded, ap_stream_question_t *q)
{
	bool named = forwarded && gate_names_known(call, r);
	const char *build = named ? ap_http_call_header(call, FORWARD_HEADER_BUILD) : NULL;
	const char *weights = named ? ap_http_call_header(call, FORWARD_HEADER_WEIGHTS) : NULL;

	*q = (ap_stream_question_t){
		.id = r->resumes,
		.route = route,
		.customer = customer,
		.model = r->model,
		.last_event = r->last_event,
		.named = {.build = build ? strtoull(build, NULL, 16) : 0,
			  .weights = weights ? strtoull(weights, NULL, 10) : AP_WEIGHTS_ANY},
		.asked_at = ap_now(),
		.guest = forwarded,
	};
	return route->resumable && r->last_event && *r->last_event;
}

/* Refuses a stream of which it isn't known where it goes on. */
static void refuse_stream(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			  const ap_plan_route_t *route, bool forwarded)
{
	ap_usec_t now = ap_now();
	ap_stream_view_t view = ap_fleet_stream_view(gate->fleet, route, now);

	gate->counters.ended[GATE_REFUSED]++;
	ap_journal_write(gate->journal, AP_RECORD_RARE, "stream.unknown", r->id,
			 "s:s,s:b,s:i,s:i,s:i,s:I", "resumes", r->resumes ? r->resumes : "",
			 "guest", (int)forwarded, "builds", (int)view.builds, "others",
			 (int)view.others, "unheard", (int)view.unheard, "store_age_ms",
			 (json_int_t)(ap_follow_age(gate->follow, now) / AP_MSEC));
	/* Another instance may still announce it. */
	gate_reply_early(call, 503, forwarded, "stream-unknown");
}

const ap_plan_pool_t *gate_build_pool(const gate_call_t *c, uint64_t build)
{
	const char *pool = ap_fleet_build_pool(c->gate->fleet, build);

	return pool ? ap_plan_find_pool(c->plan, pool) : NULL;
}

/*
 * The pool of a stream that goes on is the one that began it. If none of its upstreams is listed,
 * another instance may have some.
 */
static const ap_plan_pool_t *pick_pool(const gate_call_t *c, const ap_stream_place_t *place)
{
	const ap_plan_route_t *route = c->x.req.route;
	const ap_plan_pool_t *pool;

	if (place->source.build == 0)
		return ap_plan_pick_pool(c->plan, route, ap_rng_unit(&c->gate->rng));
	pool = gate_build_pool(c, place->source.build);
	if (!pool && place->pool[0])
		pool = ap_plan_find_pool(c->plan, place->pool);
	if (!pool && place->reachable && route->n_shares == 1)
		pool = ap_plan_find_pool(c->plan, route->shares[0].pool);
	return pool;
}

static void begin(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
		  const ap_plan_route_t *route, const ap_customer_t *customer,
		  const ap_stream_place_t *place, ap_usec_t waited, double charged, bool forwarded)
{
	ap_usec_t now = ap_now();
	gate_call_t *c = call_new(gate, call, forwarded);

	if (!c) {
		if (charged > 0)
			ap_quota_refund(ap_fleet_quota(gate->fleet), customer->name, charged, now);
		gate_reply_early(call, 503, forwarded, "out-of-memory");
		return;
	}
	c->x.req.customer = customer;
	c->charged = charged;
	c->evidence = place->evidence;
	c->lookup_time = waited;
	c->told = place->told;
	fill_dispatch(c, r, now);
	c->x.req.route = route;
	c->x.req.build = place->source.build;
	c->x.req.weights = place->source.weights;
	c->x.req.pool = pick_pool(c, place);
	ap_http_call_watch(call, c, on_closed, on_drained);
	if (!forwarded && c->x.req.pool) {
		ap_fleet_count_request(gate->fleet, c->x.req.pool->name, now);
		gate_second_request(gate, c->x.req.pool->name);
	}
	ap_exchange_start(&c->x, attempts_of(c), now);
	gate_call_update(c);
}

/* A forwarded request comes with its build, and goes to upstreams that are listed here. */
static bool may_go_on(const ap_stream_place_t *place, bool forwarded)
{
	return place->evidence != AP_STREAM_UNKNOWN && (place->reachable || forwarded);
}

/* Returns whether nobody is asked where the stream goes on. */
static bool is_settled(const ap_stream_place_t *place, bool forwarded)
{
	return may_go_on(place, forwarded) && !place->concluded &&
	       (forwarded || !place->unconfirmed);
}

/*
 * Finds where the request's stream goes on.
 * @found: what was found by a lookup; NULL before
 *
 * Return: false if the request has been refused, or waits for a lookup.
 */
static bool find_place(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
		       const ap_plan_route_t *route, const ap_customer_t *customer, bool forwarded,
		       const ap_stream_place_t *found, ap_stream_place_t *place)
{
	ap_stream_question_t q;

	if (!ask_of(call, r, route, customer, forwarded, &q)) {
		*place = (ap_stream_place_t){.evidence = AP_STREAM_NEW, .source = q.named};
		return true;
	}
	*place = found ? *found : ap_fleet_stream_place(gate->fleet, &q, q.asked_at);
	if (!is_settled(place, forwarded) && !found &&
	    gate_lookup_start(gate, call, forwarded, &q, !may_go_on(place, forwarded)))
		return false;
	gate_record_place(gate, r->id, &q, place);
	gate->counters.taken_up_by[place->evidence]++;
	gate->counters.taken_up += place->evidence != AP_STREAM_UNKNOWN && !forwarded;
	if (place->evidence != AP_STREAM_UNKNOWN)
		return true;
	refuse_stream(gate, call, r, route, forwarded);
	return false;
}

/*
 * @found: what a lookup of the request's stream has found, which took @waited microseconds; NULL
 * before
 */
static void receive(gateway_t *gate, ap_http_call_t *call, bool forwarded,
		    const ap_stream_place_t *found, ap_usec_t waited)
{
	const ap_plan_route_t *route;
	const ap_customer_t *customer = NULL;
	double charged = 0;
	ap_host_request_t request;
	ap_stream_place_t place;
	ap_err_t err;

	gate->counters.requests += !found;
	gate->counters.forwarded_received += forwarded && !found;
	if (!gate->plan) {
		gate->counters.ended[GATE_REFUSED]++;
		gate_reply_early(call, 503, forwarded, "no-configuration");
		return;
	}
	if (ap_host_parse_request(ap_http_call_headers(call), &request, &err) != AP_HOST_OK) {
		gate->counters.ended[GATE_INVALID]++;
		ap_journal_write(gate->journal, AP_RECORD_RARE, "request.invalid", NULL, "s:s",
				 "why", err.text);
		gate_reply_early(call, 400, forwarded, "invalid-request");
		return;
	}
	if (request.time_left != AP_NEVER)
		request.time_left -= waited;
	route = ap_plan_match(gate->plan, request.host, ap_http_call_path(call));
	if (forwarded && (!gate_version_agrees(gate, call, &request, route) ||
			  !gate_customer_agrees(gate, call, route, &customer))) {
		refuse_version(gate, call, request.id);
		return;
	}
	if (!route) {
		gate->counters.ended[GATE_NO_ROUTE]++;
		ap_journal_write(gate->journal, AP_RECORD_ORDINARY, "request.no-route", request.id,
				 "s:s,s:I", "path", ap_http_call_path(call), "version",
				 (json_int_t)gate->plan->version);
		/*
		 * The sender of a forwarded request may have a newer or older configuration, so the
		 * lack of a route is not final.
		 */
		gate_reply_early(call, forwarded ? 503 : 404, forwarded, "no-route");
		return;
	}
	if (!forwarded && (!gate_customer_find(gate, call, &request, route, &customer) ||
			   !gate_customer_has_region(gate, call, &request, route, customer)))
		return;
	if (!find_place(gate, call, &request, route, customer, forwarded, found, &place))
		return;
	if (!forwarded && !gate_allowance_take(gate, call, &request, customer, &charged))
		return;
	begin(gate, call, &request, route, customer, &place, waited, charged, forwarded);
}

void gate_on_caller(void *ctx, ap_http_call_t *call)
{
	receive(ctx, call, false, NULL, 0);
}

void gate_lookup_result(gateway_t *gate, ap_http_call_t *call, bool forwarded,
			const ap_stream_place_t *place, ap_usec_t waited)
{
	receive(gate, call, forwarded, place, waited);
}

void gate_on_peer(void *ctx, ap_http_call_t *call)
{
	gateway_t *gate = ctx;

	if (gate_peer_trusts(gate, call)) {
		receive(gate, call, true, NULL, 0);
		return;
	}
	ap_journal_write(gate->journal, AP_RECORD_RARE, "peer.untrusted", NULL, NULL);
	gate_reply_early(call, 503, true, "not-an-instance");
}

static void reply_refused(gateway_t *gate, ap_http_call_t *call, ap_http_refusal_t why,
			  bool forwarded)
{
	static const struct {
		int status;
		const char *error;
	} responses[] = {
		[AP_HTTP_REFUSED_MALFORMED] = {400, "malformed"},
		[AP_HTTP_REFUSED_HEAD_TOO_LARGE] = {431, "headers-too-long"},
		[AP_HTTP_REFUSED_BODY_TOO_LARGE] = {413, "body-too-large"},
		[AP_HTTP_REFUSED_METHOD] = {501, "method-not-supported"},
		[AP_HTTP_REFUSED_EXPECT] = {417, "expectation-failed"},
		[AP_HTTP_REFUSED_TIMEOUT] = {408, "arrived-too-slowly"},
		[AP_HTTP_REFUSED_TRUNCATED] = {400, "truncated"},
		[AP_HTTP_REFUSED_CONNECTIONS] = {503, "too-many-connections"},
		[AP_HTTP_REFUSED_NO_MEMORY] = {503, "out-of-memory"},
		[AP_HTTP_REFUSED_STOPPED] = {503, "leaving"},
		[AP_HTTP_REFUSED_BUDGET] = {503, "memory-short"},
	};

	gate->counters.ended[responses[why].status == 503 ? GATE_REFUSED : GATE_INVALID]++;
	ap_journal_write(gate->journal, AP_RECORD_RARE, "request.unreadable", NULL, "s:s", "why",
			 responses[why].error);
	gate_reply_early(call, responses[why].status, forwarded, responses[why].error);
}

void gate_on_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	reply_refused(ctx, call, why, false);
}

void gate_on_peer_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	reply_refused(ctx, call, why, true);
}
