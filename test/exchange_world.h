/* Runs one exchange with a fake driver that records its actions and takes preset responses. */
#ifndef AP_TEST_EXCHANGE_WORLD_H
#define AP_TEST_EXCHANGE_WORLD_H

#include "exchange/exchange.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#define SENDS_MAX 16
#define START (100 * AP_SEC)

/* The preset environment of an exchange, and the actions that it took. */
typedef struct world {
	ap_exchange_t x;
	ap_plan_route_t route;
	ap_plan_pool_t pool;
	ap_usec_t now;
	int targets;		     /* upstreams that may be chosen */
	int unconnectable;	     /* how many sends fail to connect */
	int budget;		     /* retries left */
	ap_usec_t slow_after;	     /* an attempt is slow; 0: there are no second attempts */
	bool no_second;		     /* they are denied */
	int seconds;		     /* how often one was asked for, */
	char second[AP_NAME_MAX];    /* and its target; empty for none */
	ap_usec_t elapsed;	     /* since the first attempt, then */
	ap_usec_t heard_since;	     /* of the latest choice */
	ap_usec_t held;		     /* for how long the request is held back; 0 for not at all */
	ap_usec_t pause;	     /* for how long no target wants requests; 0 for not at all */
	char resumes[AP_SSE_ID_MAX]; /* the last event that the caller has; empty for none */
	char sent[SENDS_MAX][AP_NAME_MAX];
	unsigned slot[SENDS_MAX]; /* of each send */
	char last_event[SENDS_MAX][AP_SSE_ID_MAX];
	int n_sent;
	int dropped;
	bool uncheckable;   /* whether an upstream has ended can't be found out */
	int checks;	    /* of targets, asked for */
	bool stopped;	    /* the first upstream may have stopped */
	bool all_stopped;   /* all of them */
	ap_usec_t stops_at; /* the first one; 0: not announced */
	ap_usec_t arrived;  /* when the latest bytes arrived; 0: not known */
	int heads;
	char body[4096];
	size_t body_len;
	bool ended;
	bool aborted;
	int status; /* of the response that this instance generated */
	ap_usec_t retry_after;
	ap_reason_t reason;
	ap_dispatch_result_t ends[SENDS_MAX];
	int n_ends;
	bool step_logged[AP_STEPS];
	ap_target_t step_target[AP_STEPS]; /* the target that was logged with the step */
} world_t;

static inline ap_fleet_status_t op_choose(void *ctx, const ap_dispatch_t *req, ap_target_t *target)
{
	world_t *w = ctx;

	w->heard_since = req->heard_since;
	if (w->held > 0) {
		*target = (ap_target_t){.wait = w->held};
		return AP_FLEET_HELD;
	}
	if (w->pause > 0) {
		*target = (ap_target_t){.wait = w->pause};
		return AP_FLEET_BACKOFF;
	}
	for (int i = 0; i < w->targets; i++) {
		char id[AP_NAME_MAX];
		bool avoided = false;

		snprintf(id, sizeof(id), "u%d", i);
		for (size_t k = 0; k < req->n_avoid; k++)
			avoided = avoided || strcmp(req->avoid[k], id) == 0;
		for (size_t k = 0; k < req->n_tried; k++)
			avoided = avoided || strcmp(req->tried[k], id) == 0;
		if (avoided)
			continue;
		*target = (ap_target_t){
			.wait = 50 * AP_MSEC, .port = 1, .entry_age = AP_SEC, .running = 3};
		ap_copy_name(target->id, sizeof(target->id), id);
		return AP_FLEET_OK;
	}
	return AP_FLEET_NONE;
}

static inline bool op_may_retry(void *ctx)
{
	world_t *w = ctx;

	return w->budget-- > 0;
}

static inline ap_usec_t op_slow_after(void *ctx, const ap_target_t *target)
{
	const world_t *w = ctx;

	(void)target;
	return w->slow_after ? w->slow_after : AP_NEVER;
}

static inline bool op_second(void *ctx, const ap_target_t *first, ap_usec_t elapsed,
			     const ap_target_t *target)
{
	world_t *w = ctx;

	(void)first;
	w->seconds++;
	w->elapsed = elapsed;
	ap_copy_name(w->second, sizeof(w->second), target ? target->id : "");
	return target && !w->no_second && w->budget-- > 0;
}

static inline bool op_send(void *ctx, unsigned slot, const ap_target_t *target,
			   const char *last_event)
{
	world_t *w = ctx;

	if (w->unconnectable-- > 0)
		return false;
	assert_true(w->n_sent < SENDS_MAX);
	w->slot[w->n_sent] = slot;
	ap_copy_name(w->last_event[w->n_sent], AP_SSE_ID_MAX, last_event ? last_event : "");
	ap_copy_name(w->sent[w->n_sent++], AP_NAME_MAX, target->id);
	return true;
}

static inline void op_sent(void *ctx, const ap_target_t *target, ap_inflight_t *inflight)
{
	(void)ctx;
	(void)target;
	*inflight = (ap_inflight_t){.open = true};
}

static inline void op_first_chunk(void *ctx, ap_inflight_t *inflight)
{
	(void)ctx;
	inflight->has_first_chunk = true;
}

static inline void op_done(void *ctx, ap_inflight_t *inflight, ap_dispatch_result_t end)
{
	world_t *w = ctx;

	assert_true(inflight->open);
	inflight->open = false;
	w->ends[w->n_ends++] = end;
}

static inline void op_drop_connection(void *ctx, unsigned slot)
{
	(void)slot;
	((world_t *)ctx)->dropped++;
}

static inline bool op_check(void *ctx, unsigned slot)
{
	world_t *w = ctx;

	(void)slot;
	w->checks++;
	return !w->uncheckable;
}

static inline ap_usec_t op_arrived(void *ctx, unsigned slot)
{
	(void)slot;
	return ((world_t *)ctx)->arrived;
}

static inline bool op_stopped(void *ctx, const ap_target_t *target, ap_usec_t within)
{
	const world_t *w = ctx;
	bool first = strcmp(target->id, "u0") == 0;

	return w->all_stopped || (w->stopped && first) ||
	       (first && w->stops_at > 0 && w->now + within >= w->stops_at);
}

static inline void op_head(void *ctx, unsigned slot)
{
	(void)slot;
	((world_t *)ctx)->heads++;
}

static inline void op_data(void *ctx, const void *data, size_t len)
{
	world_t *w = ctx;

	assert_int_equal(w->heads, 1);
	assert_true(w->body_len + len < sizeof(w->body));
	memcpy(w->body + w->body_len, data, len);
	w->body_len += len;
	w->body[w->body_len] = '\0';
}

static inline void op_end(void *ctx)
{
	((world_t *)ctx)->ended = true;
}

static inline void op_abort_response(void *ctx)
{
	((world_t *)ctx)->aborted = true;
}

static inline void op_reply(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason)
{
	world_t *w = ctx;

	assert_int_equal(w->heads, 0);
	w->status = status;
	w->retry_after = retry_after;
	w->reason = reason;
}

static inline void op_log_step(void *ctx, ap_step_t step, const ap_target_t *target)
{
	world_t *w = ctx;

	w->step_logged[step] = true;
	w->step_target[step] = target ? *target : (ap_target_t){0};
}

static const ap_exchange_ops_t ops = {
	.choose = op_choose,
	.may_retry = op_may_retry,
	.slow_after = op_slow_after,
	.second = op_second,
	.send = op_send,
	.sent = op_sent,
	.first_chunk = op_first_chunk,
	.done = op_done,
	.drop_connection = op_drop_connection,
	.check = op_check,
	.arrived = op_arrived,
	.stopped = op_stopped,
	.head = op_head,
	.data = op_data,
	.end = op_end,
	.abort_response = op_abort_response,
	.reply = op_reply,
	.log_step = op_log_step,
};

static inline void begin(world_t *w, ap_kind_t kind, bool resumable, unsigned attempts)
{
	int targets = w->targets ? w->targets : 3;
	int unconnectable = w->unconnectable;
	ap_usec_t slow_after = w->slow_after;
	bool no_second = w->no_second;
	ap_usec_t held = w->held;
	ap_usec_t pause = w->pause;
	char resumes[AP_SSE_ID_MAX];

	ap_copy_name(resumes, sizeof(resumes), w->resumes);
	*w = (world_t){
		.route = {.kind = kind,
			  .resumable = resumable,
			  .timeout = 4 * AP_SEC,
			  .objective = 400 * AP_MSEC,
			  .event_gap = 1200 * AP_MSEC},
		.now = START,
		.targets = targets,
		.unconnectable = unconnectable,
		.slow_after = slow_after,
		.no_second = no_second,
		.held = held,
		.pause = pause,
		.budget = 10,
	};
	w->x.ops = &ops;
	w->x.ctx = w;
	w->x.req.route = &w->route;
	w->x.req.pool = &w->pool;
	w->x.req.deadline = START + 5 * AP_SEC;
	ap_copy_name(w->x.last_event_id, sizeof(w->x.last_event_id), resumes);
	ap_exchange_start(&w->x, attempts, w->now);
}

/* Sets the time that the request has left, as its route and caller would have. */
static inline void leave(world_t *w, ap_usec_t left)
{
	w->x.timeout_at = w->now + left;
	w->x.req.deadline = w->x.timeout_at;
}

/* Acts on timeouts until @at. */
static inline void run_to(world_t *w, ap_usec_t at)
{
	while (ap_exchange_due(&w->x) <= at) {
		w->now = ap_exchange_due(&w->x);
		ap_exchange_tick(&w->x, w->now);
	}
	w->now = at;
}

static inline void finish(world_t *w)
{
	ap_exchange_clear(&w->x);
	/* Each request that was sent has ended, so its target's load is released. */
	assert_int_equal(w->n_ends, w->n_sent);
}

/* What the upstream of send @i does; nothing once its connection was dropped. */
static inline void head_of(world_t *w, int i, int status)
{
	ap_response_head_t h = {.status = status, .from_replica = true};

	ap_exchange_head(&w->x, w->slot[i], &h, w->now);
}

/* The head states the length of the body. */
static inline void sized_head(world_t *w, int status)
{
	ap_response_head_t h = {.status = status, .from_replica = true, .sized = true};

	ap_exchange_head(&w->x, w->slot[w->n_sent - 1], &h, w->now);
}

static inline void bodiless_head(world_t *w, int status)
{
	ap_response_head_t h = {
		.status = status, .from_replica = true, .sized = true, .bodiless = true};

	ap_exchange_head(&w->x, w->slot[w->n_sent - 1], &h, w->now);
}

static inline void data_of(world_t *w, int i, const char *text)
{
	ap_exchange_data(&w->x, w->slot[i], text, strlen(text), w->now);
}

static inline void end_of(world_t *w, int i, ap_connection_end_t how)
{
	ap_exchange_end(&w->x, w->slot[i], how, w->now);
}

/* Likewise the upstream of the latest send. */
static inline void head(world_t *w, int status)
{
	head_of(w, w->n_sent - 1, status);
}

static inline void refuse(world_t *w, int status)
{
	ap_response_head_t h = {.status = status, .refused = true, .address_reused = status == 421};
	unsigned slot = w->slot[w->n_sent - 1];

	ap_exchange_head(&w->x, slot, &h, w->now);
	ap_exchange_end(&w->x, slot, AP_CONNECTION_COMPLETE, w->now);
}

static inline void data(world_t *w, const char *text)
{
	data_of(w, w->n_sent - 1, text);
}

static inline void end(world_t *w, ap_connection_end_t how)
{
	end_of(w, w->n_sent - 1, how);
}

#endif
