/* The driver of an instance in the exchange hunt, in virtual time. */
#ifndef AP_TEST_EXCHANGE_HUNT_WORLD_H
#define AP_TEST_EXCHANGE_HUNT_WORLD_H

#include "exchange_hunt_upstream.h"

#include <stdarg.h>
#include <stdlib.h>

/* What an instance has seen of the response of a run. */
typedef struct hunt_seen {
	bool head;
	ap_usec_t accepted_at;
	ap_usec_t head_at;
	int status;
	bool sized;
	bool bodiless;
	ap_weights_t weights;
	unsigned top;	/* its last complete event */
	unsigned begun; /* the last one whose id has arrived */
	ap_usec_t begun_at;
	unsigned pieces;
	unsigned fresh; /* without events that the caller has */
	ap_usec_t piece_at;
	ap_usec_t first_pause;
	ap_usec_t pauses;
	unsigned paused_pieces;
	unsigned paused_reads;
	bool unread;
	bool torn; /* within an event */
	bool in_order;
	bool closed;
	ap_usec_t end_at;
	bool alive; /* after a close */
	bool stopped;
	bool credible;
	bool lacks_time; /* only its pace and the time left speak against its end */
} hunt_seen_t;

typedef struct hunt_run {
	hunt_upstream_t *up;
	unsigned number;
	unsigned slot;
	bool open;
	bool ran;
	bool reached;
	bool credible_there; /* behind another instance: its end, as that one saw it */
	unsigned after;
	ap_usec_t sent_at;
	ap_usec_t arrived;
	hunt_steps_t steps;
	size_t next;
	hunt_seen_t seen;
} hunt_run_t;

/**
 * struct hunt_instance - an instance that has the request.
 * @only: the upstream of a request that another instance has forwarded
 * @over: the request is finished
 * @broken_end: why it may not be whole, though it ended as complete
 */
typedef struct hunt_instance {
	ap_exchange_t x;
	hunt_scene_t *s;
	hunt_upstream_t *only;
	ap_usec_t now;
	hunt_run_t run[HUNT_RUNS_MAX];
	unsigned n_runs;
	unsigned granted;
	unsigned seconds;
	unsigned done;
	bool over;
	bool paused;
	bool left;
	ap_usec_t mean; /* the latest pace of the stream */
	ap_usec_t first_pause;
	hunt_steps_t out;
	unsigned choices;	    /* of targets */
	const hunt_run_t *arriving; /* whose step is acted on */
} hunt_instance_t;

static inline void hunt_say(hunt_instance_t *in, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static inline void hunt_say(hunt_instance_t *in, const char *format, ...)
{
	va_list args;

	in->s->lines++;
	if (!in->s->verbose)
		return;
	printf("%s%8.3f ", in->only ? "      | " : "  ",
	       (double)(in->now - HUNT_START) / (double)AP_MSEC);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

/* Records the first rule that is broken. */
static inline void hunt_broken(hunt_instance_t *in, const char *rule)
{
	hunt_say(in, "BROKEN: %s", rule);
	if (!in->s->broken[0])
		snprintf(in->s->broken, sizeof(in->s->broken), "%s", rule);
}

static inline hunt_run_t *hunt_at(hunt_instance_t *in, unsigned slot)
{
	for (unsigned i = in->n_runs; i > 0; i--) {
		if (in->run[i - 1].slot == slot)
			return &in->run[i - 1];
	}
	return NULL;
}

static inline void hunt_act_after_end(hunt_instance_t *in)
{
	if (in->over)
		hunt_broken(in, "acts after the end of the request");
}

static inline bool hunt_named(const char (*names)[AP_NAME_MAX], size_t n, const char *id)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(names[i], id) == 0)
			return true;
	}
	return false;
}

static inline ap_fleet_status_t hunt_choose(void *ctx, const ap_dispatch_t *req,
					    ap_target_t *target)
{
	hunt_instance_t *in = ctx;
	hunt_scene_t *s = in->s;

	hunt_act_after_end(in);
	in->choices++;
	for (int again = 0; again < 2; again++) {
		for (unsigned i = 0; i < HUNT_UPSTREAMS; i++) {
			hunt_upstream_t *up = &s->up[i];
			char id[AP_NAME_MAX];

			snprintf(id, sizeof(id), "%u", i);
			if ((in->only && in->only != up) ||
			    (req->build != 0 && req->build != up->build) ||
			    hunt_named(req->avoid, req->n_avoid, id) ||
			    (!again && hunt_named(req->tried, req->n_tried, id)))
				continue;
			*target = (ap_target_t){
				.wait = up->first,
				.port = 1,
				.remote = !in->only && up->remote,
			};
			target->build = target->remote ? 0 : up->build;
			ap_copy_name(target->id, sizeof(target->id), id);
			/* As ap_fleet_choose() says, whatever waits there. */
			return in->now > req->deadline ? AP_FLEET_LATE : AP_FLEET_OK;
		}
	}
	*target = (ap_target_t){.wait = 200 * AP_MSEC};
	return s->none;
}

static inline bool hunt_may_retry(void *ctx)
{
	hunt_instance_t *in = ctx;

	hunt_act_after_end(in);
	if (in->s->budget <= 0)
		return false;
	in->s->budget--;
	in->granted++;
	return true;
}

static inline ap_usec_t hunt_slow_after(void *ctx, const ap_target_t *target)
{
	const hunt_instance_t *in = ctx;

	(void)target;
	return in->s->slow_after;
}

static inline bool hunt_second(void *ctx, const ap_target_t *first, ap_usec_t elapsed,
			       const ap_target_t *target)
{
	hunt_instance_t *in = ctx;

	hunt_act_after_end(in);
	if (first->remote || in->only || elapsed < in->s->slow_after)
		hunt_broken(in, "a second attempt is considered too early, or elsewhere");
	if (in->out.n > 0 || in->s->taken_up > 0)
		hunt_broken(in, "a second attempt at a response that has begun");
	if (in->x.seconds > 0)
		hunt_broken(in, "two second attempts");
	in->seconds++;
	return target && hunt_may_retry(ctx);
}

static inline void hunt_forward(hunt_instance_t *in, hunt_run_t *run);

static inline ap_usec_t hunt_told(const hunt_instance_t *in)
{
	return (in->x.timeout_at - in->now) / AP_MSEC * AP_MSEC;
}

/* What the link holds arrives together. */
static inline void hunt_hold(hunt_run_t *run)
{
	const hunt_upstream_t *up = run->up;

	if (up->held_from == AP_NEVER)
		return;
	for (size_t i = 0; i < run->steps.n; i++) {
		ap_usec_t *at = &run->steps.step[i].at;

		if (*at >= up->held_from && *at < up->held_from + up->held_for)
			*at = up->held_from + up->held_for;
	}
}

static inline bool hunt_send(void *ctx, unsigned slot, const ap_target_t *target,
			     const char *last_event_id)
{
	hunt_instance_t *in = ctx;
	hunt_upstream_t *up = &in->s->up[strtoul(target->id, NULL, 10)];
	hunt_run_t *run;
	hunt_ask_t ask;

	hunt_act_after_end(in);
	if (hunt_acts[up->act].deed == DEED_UNREACHABLE) {
		hunt_say(in, "upstream %s: unreachable", target->id);
		return false;
	}
	if (in->now > in->x.timeout_at)
		hunt_broken(in, "is sent after its deadline");
	assert(in->n_runs < HUNT_RUNS_MAX);
	run = &in->run[in->n_runs++];
	*run = (hunt_run_t){
		.up = up,
		.number = in->only ? in->s->next_run : ++in->s->next_run,
		.slot = slot,
		.open = true,
		.reached = true,
		.credible_there = true,
		.after = last_event_id ? (unsigned)strtoul(last_event_id, NULL, 10) : 0,
		.sent_at = in->now,
	};
	run->seen.piece_at = in->now;
	up->times++;
	hunt_say(in, "run %u: upstream %s (%s%s) after %u", run->number, target->id,
		 hunt_acts[up->act].name, target->remote ? ", remote" : "", run->after);
	ask = (hunt_ask_t){
		.now = in->now + AP_MSEC,
		.deadline = in->now + AP_MSEC + hunt_told(in),
		.after = run->after,
		.weights = in->x.req.weights,
		.number = run->number,
	};
	if (target->remote)
		hunt_forward(in, run);
	else
		run->ran = hunt_make(in->s, up, &ask, &run->steps);
	if (!in->only)
		hunt_hold(run);
	return true;
}

static inline void hunt_sent(void *ctx, const ap_target_t *target, ap_inflight_t *inflight)
{
	(void)target;
	hunt_act_after_end(ctx);
	*inflight = (ap_inflight_t){.open = true};
}

static inline void hunt_first_chunk(void *ctx, ap_inflight_t *inflight)
{
	hunt_act_after_end(ctx);
	inflight->has_first_chunk = true;
}

static inline void hunt_done(void *ctx, ap_inflight_t *inflight, ap_dispatch_result_t end)
{
	hunt_instance_t *in = ctx;
	unsigned slot = inflight == &in->x.slot[1].inflight;

	(void)end;
	hunt_act_after_end(in);
	if (!inflight->open)
		hunt_broken(in, "an attempt ends twice");
	inflight->open = false;
	in->done++;
	hunt_at(in, slot)->open = false;
}

/* Returns whether nothing that the upstream of @run sends may break the response. */
static inline bool hunt_is_sound(const hunt_instance_t *in, const hunt_run_t *run)
{
	const ap_weights_t asked = in->x.req.weights;

	switch (hunt_acts[run->up->act].deed) {
	case DEED_REPEATS:
	case DEED_BACK:
	case DEED_LOADS:
	case DEED_FROM_START_LOADS:
	case DEED_WEIGHTS:
	case DEED_NO_DIGEST:
		return false;
	default:
		return asked == AP_WEIGHTS_ANY || asked == ap_weights_of(run->up->version);
	}
}

static inline void hunt_drop(void *ctx, unsigned slot)
{
	hunt_instance_t *in = ctx;

	hunt_act_after_end(in);
	hunt_say(in, "run %u: dropped", hunt_at(in, slot)->number);
	if (hunt_at(in, slot) == in->arriving && hunt_is_sound(in, in->arriving))
		hunt_broken(in, "a sound response is given up");
	hunt_at(in, slot)->open = false;
}

static inline bool hunt_check(void *ctx, unsigned slot)
{
	hunt_instance_t *in = ctx;
	hunt_run_t *run = hunt_at(in, slot);
	const hunt_step_t *end = &run->steps.step[run->steps.n - 1];
	bool ended = end->process_ended;
	uint64_t draw = ap_hash(&in->s->seed, sizeof(in->s->seed), run->number);

	hunt_act_after_end(in);
	if (draw % 8 == 0)
		return false;
	/* Else the upstream is silent. */
	if (draw % 8 != 1)
		hunt_add(&run->steps, in->now + (ap_usec_t)(1 + draw % 50) * AP_MSEC, STEP_CHECKED)
			->process_ended = ended;
	return true;
}

static inline ap_usec_t hunt_arrived(void *ctx, unsigned slot)
{
	hunt_instance_t *in = ctx;

	return in->s->arrivals ? hunt_at(in, slot)->arrived : 0;
}

static inline bool hunt_stopped(void *ctx, const ap_target_t *target, ap_usec_t within)
{
	hunt_instance_t *in = ctx;
	const hunt_upstream_t *up = &in->s->up[strtoul(target->id, NULL, 10)];

	return up->stops_at != AP_NEVER && in->now + within >= up->stops_at;
}

static inline void hunt_weights(void *ctx, ap_weights_t weights, uint64_t since)
{
	(void)weights;
	(void)since;
	hunt_act_after_end(ctx);
}

static inline void hunt_head(void *ctx, unsigned slot)
{
	hunt_instance_t *in = ctx;
	const hunt_run_t *run = hunt_at(in, slot);

	hunt_act_after_end(in);
	hunt_say(in, "head of run %u, %d", run->number, run->seen.status);
	hunt_add(&in->out, in->now, STEP_HEAD)->head = in->x.slot[slot].head;
}

static inline void hunt_data(void *ctx, const void *data, size_t len)
{
	hunt_instance_t *in = ctx;
	const char *id = memmem(data, len, "data: ", 6);

	hunt_act_after_end(in);
	hunt_say(in, "%zu bytes%s%.8s", len, id ? ", event " : "", id ? id + 6 : "");
	hunt_add_data(&in->out, in->now, data, len);
}

static inline void hunt_complete(void *ctx)
{
	hunt_instance_t *in = ctx;

	hunt_act_after_end(in);
	hunt_say(in, "complete");
	hunt_add_end(&in->out, in->now, AP_CONNECTION_COMPLETE);
}

/* Returns whether an upstream has ended the stream after the last event of all, though in doubt. */
static inline bool hunt_end_may_be_right(const hunt_instance_t *in)
{
	unsigned last = 0;
	bool may = false;

	for (unsigned i = 0; i < in->n_runs; i++)
		last = in->run[i].seen.begun > last ? in->run[i].seen.begun : last;
	for (unsigned i = 0; i < in->n_runs; i++) {
		const hunt_seen_t *seen = &in->run[i].seen;

		may = may || (seen->lacks_time && seen->top == last && last > in->run[i].after);
	}
	return may;
}

static inline void hunt_abort(void *ctx)
{
	hunt_instance_t *in = ctx;

	hunt_act_after_end(in);
	hunt_say(in, "cut");
	if (in->now < in->x.timeout_at && hunt_end_may_be_right(in))
		hunt_broken(in, "cut before its deadline, though its end may be right");
	hunt_add(&in->out, in->now, STEP_ABORT);
}

static inline bool hunt_reached_any(const hunt_instance_t *in)
{
	bool any = false;

	for (unsigned i = 0; i < in->n_runs; i++)
		any = any || in->run[i].reached;
	return any;
}

static inline void hunt_reply(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason)
{
	hunt_instance_t *in = ctx;
	hunt_step_t *step;

	hunt_act_after_end(in);
	hunt_say(in, "reply %d, %s", status, ap_reason_name(reason));
	if (reason == AP_REASON_BUDGET && !hunt_reached_any(in))
		hunt_broken(in, "a send that reached nobody counts as one");
	step = hunt_add(&in->out, in->now, STEP_REPLY);
	step->head = (ap_response_head_t){
		.status = status,
		.refused = status == 503,
		.unsent = status == 503 && in->n_runs == 0,
		.retry_after = retry_after,
	};
}

static inline void hunt_log_step(void *ctx, ap_step_t step, const ap_target_t *target)
{
	hunt_say(ctx, "(%s%s%s)", ap_step_name(step), target ? " " : "", target ? target->id : "");
}

static const ap_exchange_ops_t hunt_ops = {
	.choose = hunt_choose,
	.may_retry = hunt_may_retry,
	.slow_after = hunt_slow_after,
	.second = hunt_second,
	.send = hunt_send,
	.sent = hunt_sent,
	.first_chunk = hunt_first_chunk,
	.done = hunt_done,
	.drop_connection = hunt_drop,
	.check = hunt_check,
	.arrived = hunt_arrived,
	.stopped = hunt_stopped,
	.weights = hunt_weights,
	.head = hunt_head,
	.data = hunt_data,
	.end = hunt_complete,
	.abort_response = hunt_abort,
	.reply = hunt_reply,
	.log_step = hunt_log_step,
};

#endif
