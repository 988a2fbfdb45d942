/*
 * Callers' requests at instances of three regions, some of which are cut off from all upstreams.
 * Each request is an exchange of lib/exchange, and instances forward requests to each other.
 * Instances, upstreams and messages are those of crash_world.h; no store is read.
 */
#ifndef AP_TEST_PATH_WORLD_H
#define AP_TEST_PATH_WORLD_H

#include "crash_instances.h"
#include "exchange/exchange.h"

#include <sys/queue.h>

#define PW_CONNECT_TIME (300 * AP_MSEC)	 /* until an instance gives up a connection attempt */
#define PW_UNACKED_TIME (1500 * AP_MSEC) /* until it gives up one that has gone silent */
#define PW_NEAR (1 * AP_MSEC)
#define PW_FAR (56 * AP_MSEC)

/* Callers' first attempts. */
typedef struct pw_count {
	unsigned sent;
	unsigned served;
} pw_count_t;

typedef struct pw_call pw_call_t;

typedef struct pw {
	cw_t *cw;
	LIST_HEAD(, pw_call) calls;
	ap_usec_t cut_at; /* when the last cut began; 0 while there is none */
	ap_usec_t healed_at;
	pw_count_t cut;	   /* at instances that are cut off, later than CW_STABLE after @cut_at */
	pw_count_t others; /* at the other instances meanwhile */
	unsigned late_relays; /* sends to the own region's instances long after @healed_at */
	double rate;	      /* requests per second, at all instances together */
} pw_t;

/**
 * struct pw_attempt - an attempt of a request, by slot of its exchange.
 * @forwarded: this request at the instance to which it was forwarded
 * @send: number of the slot's latest send; events of earlier ones have no effect
 * @engine: upstream of the latest send; NULL for an instance
 */
typedef struct pw_attempt {
	pw_call_t *call;
	pw_call_t *forwarded;
	unsigned send;
	cw_engine_t *engine;
	unsigned engine_life;
} pw_attempt_t;

/**
 * struct pw_call - a request at an instance.
 * @origin: the attempt that was forwarded; NULL for a request of a caller
 * @count: where the attempt counts; NULL for nowhere
 * @over: the end was counted, and told to @origin
 */
struct pw_call {
	LIST_ENTRY(pw_call) link;
	pw_t *pw;
	cw_instance_t *n;
	unsigned life;
	pw_attempt_t *origin;
	pw_attempt_t attempts[AP_SLOTS];
	pw_count_t *count;
	bool served;
	bool over;
	ap_exchange_t x;
};

typedef struct pw_event {
	pw_attempt_t *attempt;
	unsigned send;
} pw_event_t;

/* Upstreams may turn cold, so that they are asked while the store is silent. */
static const ap_plan_pool_t pw_pool = {
	.name = "engines",
	.slots = 64,
	.kv_tokens = 300000,
	.warmup = 3 * AP_SEC,
	.warmup_rate = 4,
};

static const ap_plan_route_t pw_reserve = {
	.name = "reserve",
	.kind = AP_KIND_ONCE,
	.timeout = 2 * AP_SEC,
	.objective = 400 * AP_MSEC,
	.attempts = 1,
};

static const char pw_event_text[] = "id: 1\ndata: x\n\n";

static inline ap_usec_t pw_now(const pw_call_t *c)
{
	return c->pw->cw->sim.now;
}

static inline bool pw_alive(const pw_call_t *c)
{
	return c->n->up && c->n->life == c->life;
}

/* Runs an event of the latest send after @delay. Calls are freed with the world only. */
static inline void pw_at(pw_attempt_t *a, ap_usec_t delay, void (*run)(void *, void *))
{
	pw_event_t *event = malloc(sizeof(*event));

	assert_non_null(event);
	*event = (pw_event_t){a, a->send};
	fake_at(&a->call->pw->cw->sim, pw_now(a->call) + delay, run, NULL, event);
}

static inline unsigned pw_slot(const pw_attempt_t *a)
{
	return (unsigned)(a - a->call->attempts);
}

/* Returns the attempt of an event; NULL if the event is out of date. */
static inline pw_attempt_t *pw_current(const pw_event_t *event)
{
	pw_attempt_t *a = event->attempt;

	return pw_alive(a->call) && !a->call->x.finished && a->send == event->send ? a : NULL;
}

static inline void pw_finished(pw_call_t *c);

static inline void pw_on_unsent(void *arg, void *data)
{
	pw_attempt_t *a = pw_current(data);

	(void)arg;
	if (!a)
		return;
	a->send++;
	ap_exchange_end(&a->call->x, pw_slot(a), AP_CONNECTION_UNSENT, pw_now(a->call));
	pw_finished(a->call);
}

static inline void pw_on_silent(void *arg, void *data)
{
	pw_attempt_t *a = pw_current(data);

	(void)arg;
	if (!a)
		return;
	a->send++;
	ap_exchange_end(&a->call->x, pw_slot(a), AP_CONNECTION_TIMED_OUT, pw_now(a->call));
	pw_finished(a->call);
}

static inline void pw_respond(pw_attempt_t *a, int status, bool refused, bool unsent)
{
	ap_response_head_t head = {.status = status,
				   .refused = refused,
				   .unsent = unsent,
				   .from_replica = !refused,
				   .build = 1};
	pw_call_t *c = a->call;

	a->send++;
	ap_exchange_head(&c->x, pw_slot(a), &head, pw_now(c));
	if (!refused)
		ap_exchange_data(&c->x, pw_slot(a), pw_event_text, sizeof(pw_event_text) - 1,
				 pw_now(c));
	ap_exchange_end(&c->x, pw_slot(a), AP_CONNECTION_COMPLETE, pw_now(c));
	pw_finished(c);
}

/* The upstream's response reaches the instance, if its connection still works. */
static inline void pw_on_response(void *arg, void *data)
{
	pw_attempt_t *a = pw_current(data);

	(void)arg;
	if (!a)
		return;
	if (!a->engine->up || a->engine->life != a->engine_life ||
	    a->call->n->cut == CW_CUT_RESET) {
		a->send++;
		ap_exchange_end(&a->call->x, pw_slot(a), AP_CONNECTION_BROKEN, pw_now(a->call));
		pw_finished(a->call);
	} else if (a->call->n->cut == CW_CUT_HANG) {
		pw_at(a, PW_UNACKED_TIME, pw_on_silent);
	} else {
		pw_respond(a, 200, false, false);
	}
}

static inline ap_usec_t pw_hop(const pw_call_t *c, const cw_instance_t *to)
{
	return c->n->region == to->region ? PW_NEAR : PW_FAR;
}

/* The response of the instance to which the request was forwarded. */
static inline void pw_on_forwarded(void *arg, void *data)
{
	pw_attempt_t *a = pw_current(data);

	(void)arg;
	if (!a || !a->forwarded)
		return;
	if (a->forwarded->served) {
		pw_respond(a, 200, false, false);
	} else if (a->forwarded->x.runs == 0) {
		pw_respond(a, 503, true, a->forwarded->x.sends == 0);
	} else {
		pw_respond(a, 502, false, false);
	}
}

static inline ap_fleet_status_t pw_op_choose(void *ctx, const ap_dispatch_t *req,
					     ap_target_t *target)
{
	pw_call_t *c = ctx;

	return ap_fleet_choose(c->n->fleet, req, pw_now(c), target);
}

static inline bool pw_op_may_retry(void *ctx)
{
	pw_call_t *c = ctx;

	return ap_fleet_may_retry(c->n->fleet, c->x.req.pool->name, pw_now(c));
}

static inline void pw_start(pw_t *pw, cw_instance_t *n, const ap_dispatch_t *req,
			    pw_attempt_t *origin, pw_count_t *count);

typedef struct pw_forward {
	pw_attempt_t *origin;
	unsigned send;
	cw_instance_t *to;
	unsigned life;
} pw_forward_t;

static inline void pw_on_forward(void *arg, void *data)
{
	pw_forward_t *f = data;
	pw_call_t *c = f->origin->call;
	ap_dispatch_t req = {0};

	(void)arg;
	if (!pw_alive(c) || c->x.finished || f->origin->send != f->send || !f->to->up)
		return;
	req.route = c->x.req.route;
	req.pool = c->x.req.pool;
	req.deadline = c->x.timeout_at;
	req.tokens_in = c->x.req.tokens_in;
	req.tokens_out = c->x.req.tokens_out;
	req.n_parts = c->x.req.n_parts;
	memcpy(req.parts, c->x.req.parts, sizeof(req.parts));
	req.fingerprint = c->x.req.fingerprint;
	req.local_only = true;
	pw_start(c->pw, f->to, &req, f->origin, NULL);
}

static inline void pw_forward(pw_attempt_t *a, const ap_target_t *target)
{
	pw_call_t *c = a->call;
	cw_instance_t *to = &c->pw->cw->instances[atoi(target->id + 1)];
	pw_forward_t *f = malloc(sizeof(*f));
	pw_t *pw = c->pw;

	assert_non_null(f);
	*f = (pw_forward_t){a, a->send, to, to->life};
	if (to->region == c->n->region && pw->cut_at == 0 && pw_now(c) > pw->healed_at + CW_STABLE)
		pw->late_relays++;
	fake_at(&pw->cw->sim, pw_now(c) + pw_hop(c, to), pw_on_forward, NULL, f);
	if (!to->up)
		pw_at(a, pw_hop(c, to), pw_on_unsent);
}

static inline bool pw_op_send(void *ctx, unsigned slot, const ap_target_t *target,
			      const char *last_event)
{
	pw_call_t *c = ctx;
	pw_attempt_t *a = &c->attempts[slot];
	cw_t *w = c->pw->cw;

	(void)last_event;
	a->call = c;
	a->send++;
	a->forwarded = NULL;
	a->engine = NULL;
	if (target->remote) {
		pw_forward(a, target);
		return true;
	}
	for (int i = 0; i < CW_UPSTREAMS; i++) {
		if (strcmp(w->engines[i].id, target->id) == 0 && w->engines[i].up)
			a->engine = &w->engines[i];
	}
	if (c->n->cut == CW_CUT_HANG) {
		pw_at(a, PW_CONNECT_TIME, pw_on_unsent);
	} else if (c->n->cut != CW_CUT_NONE || !a->engine) {
		pw_at(a, PW_NEAR, pw_on_unsent);
	} else {
		a->engine_life = a->engine->life;
		pw_at(a, 20 * AP_MSEC + (ap_usec_t)ap_rng_below(&w->sim.rng, 100 * AP_MSEC),
		      pw_on_response);
	}
	return true;
}

static inline void pw_op_sent(void *ctx, const ap_target_t *target, ap_inflight_t *inflight)
{
	pw_call_t *c = ctx;

	ap_fleet_sent(c->n->fleet, &c->x.req, target, pw_now(c), inflight);
}

static inline void pw_op_first_chunk(void *ctx, ap_inflight_t *inflight)
{
	pw_call_t *c = ctx;

	ap_fleet_first_chunk(c->n->fleet, inflight, pw_now(c));
}

static inline void pw_op_done(void *ctx, ap_inflight_t *inflight, ap_dispatch_result_t end)
{
	pw_call_t *c = ctx;

	ap_fleet_done(c->n->fleet, inflight, end, pw_now(c));
}

static inline void pw_op_drop(void *ctx, unsigned slot)
{
	pw_attempt_t *a = &((pw_call_t *)ctx)->attempts[slot];

	a->send++;
	if (a->forwarded)
		a->forwarded->origin = NULL;
	a->forwarded = NULL;
}

static inline void pw_op_head(void *ctx, unsigned slot)
{
	(void)ctx;
	(void)slot;
}

static inline void pw_op_data(void *ctx, const void *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static inline void pw_op_end(void *ctx)
{
	pw_call_t *c = ctx;

	c->served = c->x.slot[c->x.current].head.status == 200;
}

static inline void pw_op_abort(void *ctx)
{
	(void)ctx;
}

static inline void pw_op_reply(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason)
{
	(void)ctx;
	(void)status;
	(void)retry_after;
	(void)reason;
}

static inline void pw_op_log(void *ctx, ap_step_t step, const ap_target_t *target)
{
	pw_call_t *c = ctx;

	if (c->pw->cw->verbose)
		print_message("%.3f %s %s %s%s%s\n", (double)(pw_now(c) - WORLD_START) / 1e6,
			      c->n->id, c->x.req.route->name, ap_step_name(step), target ? " " : "",
			      target ? target->id : "");
}

static const ap_exchange_ops_t pw_ops = {
	.choose = pw_op_choose,
	.may_retry = pw_op_may_retry,
	.send = pw_op_send,
	.sent = pw_op_sent,
	.first_chunk = pw_op_first_chunk,
	.done = pw_op_done,
	.drop_connection = pw_op_drop,
	.head = pw_op_head,
	.data = pw_op_data,
	.end = pw_op_end,
	.abort_response = pw_op_abort,
	.reply = pw_op_reply,
	.log_step = pw_op_log,
};

static inline void pw_finished(pw_call_t *c)
{
	pw_attempt_t *origin = c->origin;

	if (!c->x.finished || c->over)
		return;
	c->over = true;
	if (c->count)
		c->count->served += c->served;
	if (origin && pw_alive(origin->call) && origin->forwarded == c)
		pw_at(origin, pw_hop(origin->call, c->n), pw_on_forwarded);
}

static inline void pw_start(pw_t *pw, cw_instance_t *n, const ap_dispatch_t *req,
			    pw_attempt_t *origin, pw_count_t *count)
{
	pw_call_t *c = calloc(1, sizeof(*c));

	assert_non_null(c);
	*c = (pw_call_t){.pw = pw, .n = n, .life = n->life, .origin = origin, .count = count};
	c->x.ops = &pw_ops;
	c->x.ctx = c;
	c->x.req = *req;
	LIST_INSERT_HEAD(&pw->calls, c, link);
	if (origin)
		origin->forwarded = c;
	else
		ap_fleet_count_request(n->fleet, req->pool->name, pw->cw->sim.now);
	ap_exchange_start(&c->x, origin ? 1 : req->route->attempts, pw->cw->sim.now);
	pw_finished(c);
}

/* A caller's first attempt, at a random instance. */
static inline void pw_arrive(pw_t *pw)
{
	cw_t *w = pw->cw;
	cw_instance_t *n =
		&w->instances[ap_rng_below(&w->sim.rng, (uint64_t)w->per_region * CW_REGIONS)];
	const ap_plan_route_t *const routes[] = {&cw_route, &cw_print, &pw_reserve};
	size_t i = ap_rng_below(&w->sim.rng, 10);
	const ap_plan_route_t *route = routes[i < 7 ? 0 : i < 8 ? 1 : 2];
	ap_dispatch_t req =
		world_request(route, route == &cw_route ? &pw_pool : &cw_desks, w->sim.now);
	bool counts = pw->cut_at != 0 && w->sim.now > pw->cut_at + CW_STABLE;
	pw_count_t *count = n->cut == CW_CUT_NONE ? &pw->others : &pw->cut;

	if (!n->up)
		return;
	w->n_own++;
	req.fingerprint = ap_hash(&w->n_own, sizeof(w->n_own), 0);
	if (route == &cw_route) {
		req.tokens_in = 0;
		cw_add_part(&req, 0x5000 + ap_rng_below(&w->sim.rng, CW_SUBJECTS), 55);
		cw_add_part(&req, req.fingerprint + 1, 300);
	}
	counts = counts && w->sim.now > n->disturbed_at + CW_STABLE;
	if (counts)
		count->sent++;
	pw_start(pw, n, &req, NULL, counts ? count : NULL);
}

/* One step of 10 ms: timers of exchanges, and requests that arrive. */
static inline void pw_step(void *arg, void *data)
{
	pw_t *pw = arg;
	cw_t *w = pw->cw;
	double expected = pw->rate * 0.01;
	pw_call_t *c;

	(void)data;
	LIST_FOREACH (c, &pw->calls, link) {
		if (!pw_alive(c) || c->x.finished || ap_exchange_due(&c->x) > w->sim.now)
			continue;
		ap_exchange_tick(&c->x, w->sim.now);
		pw_finished(c);
	}
	while (expected > 0 && ap_rng_unit(&w->sim.rng) < expected) {
		pw_arrive(pw);
		expected -= 1;
	}
	fake_at(&w->sim, w->sim.now + 10 * AP_MSEC, pw_step, pw, NULL);
}

static inline pw_t *pw_new(uint64_t seed, int per_region)
{
	pw_t *pw = calloc(1, sizeof(*pw));

	assert_non_null(pw);
	LIST_INIT(&pw->calls);
	pw->rate = 100;
	pw->cw = cw_new(seed, per_region);
	pw->cw->sound_rate = 0;
	pw->cw->subject_rate = 0;
	pw->cw->bad_rate = 0;
	fake_at(&pw->cw->sim, pw->cw->sim.now, pw_step, pw, NULL);
	return pw;
}

static inline void pw_free(pw_t *pw)
{
	pw_call_t *c;

	while ((c = LIST_FIRST(&pw->calls))) {
		LIST_REMOVE(c, link);
		for (unsigned i = 0; i < AP_SLOTS; i++)
			free(c->x.slot[i].buffer);
		free(c);
	}
	cw_free(pw->cw);
	free(pw);
}

#endif
