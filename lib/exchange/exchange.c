/* The life of one request. */
#include "exchange/exchange.h"

#include <stdlib.h>
#include <string.h>

#define HELD_MAX (1 << 20)	   /* bytes of an answer that are held until it is whole */
#define CUT_MARGIN (150 * AP_MSEC) /* an upstream ends by itself at the time it was given */
#define PATIENCE_WAITS 3	   /* times the expected wait, before another one is tried */
#define PATIENCE_OBJECTIVE_PART 4  /* and this part of the objective */
#define RETRY_AFTER_MIN (100 * AP_MSEC)
#define RETRY_AFTER_IDLE (500 * AP_MSEC) /* when nothing says how long */
#define LEFT_PART 3			 /* callers wait at most this part of the time left */
#define UNSENT_MAX 8			 /* targets without a connection, before it is given up */

const char *ap_reason_name(ap_reason_t reason)
{
	static const char *const names[] = {
		"none",	  "no-upstream", "too-late", "refused",
		"budget", "broken",	 "timeout",  "unproved",
	};

	return names[reason];
}

const char *ap_step_name(ap_step_t step)
{
	static const char *const names[AP_STEPS] = {
		"sent",	     "sent-again", "resumed",	  "refused-by", "unreachable",
		"failed-at", "silent",	   "caller-left", "given-up",
	};

	return names[step];
}

static void finish_send(ap_exchange_t *x, ap_dispatch_result_t end)
{
	x->sending = false;
	x->ops->done(x->ctx, &x->ticket, end);
}

static void stop_send(ap_exchange_t *x, ap_dispatch_result_t end)
{
	if (!x->sending)
		return;
	x->ops->drop(x->ctx);
	finish_send(x, end);
}

/* When a refused caller should come back: after the wait that makes it late, if that is known. */
static ap_usec_t retry_after(const ap_exchange_t *x, ap_usec_t now)
{
	ap_usec_t left = (x->work.deadline - now) / LEFT_PART;
	ap_usec_t wait = RETRY_AFTER_IDLE;

	if (x->reason == AP_REASON_TOO_LATE)
		wait = x->target.wait - x->work.route->objective / 2;
	if (wait > left)
		wait = left;
	return wait < RETRY_AFTER_MIN ? RETRY_AFTER_MIN : wait;
}

/* The final answer is ours. It promises "not run" only if no upstream may have run it. */
static void answer(ap_exchange_t *x, ap_reason_t reason, ap_usec_t now)
{
	x->reason = reason;
	x->over = true;
	x->ops->decided(x->ctx, AP_STEP_GIVEN_UP, reason == AP_REASON_TOO_LATE ? &x->target : NULL);
	if (x->committed) {
		x->ops->cut(x->ctx);
		return;
	}
	if (x->runs == 0 && reason != AP_REASON_TIMEOUT)
		x->ops->reply(x->ctx, 503, retry_after(x, now), reason);
	else if (x->runs == 0)
		x->ops->reply(x->ctx, 503, RETRY_AFTER_MIN, reason);
	else
		x->ops->reply(x->ctx, reason == AP_REASON_TIMEOUT ? 504 : 502, 0, reason);
}

static void remember(char (*names)[AP_NAME_MAX], size_t *n, const char *id)
{
	for (size_t i = 0; i < *n; i++) {
		if (strcmp(names[i], id) == 0)
			return;
	}
	/* A full list forgets its oldest entry. */
	if (*n == AP_TRIED_MAX) {
		memmove(names[0], names[1], (AP_TRIED_MAX - 1) * AP_NAME_MAX);
		(*n)--;
	}
	ap_copy_name(names[*n], AP_NAME_MAX, id);
	(*n)++;
}

static void avoid_target(ap_exchange_t *x)
{
	remember(x->work.avoid, &x->work.n_avoid, x->target.id);
}

static void forget_answer(ap_exchange_t *x)
{
	x->headed = false;
	x->resuming = x->committed;
	x->held_len = 0;
	x->scanned = 0;
	x->head = (ap_answer_head_t){0};
}

static ap_step_t step_of_send(const ap_exchange_t *x)
{
	if (x->sends == 1)
		return AP_STEP_SENT;
	return x->resuming ? AP_STEP_RESUMED : AP_STEP_SENT_AGAIN;
}

static bool send_to_target(ap_exchange_t *x, ap_usec_t now)
{
	forget_answer(x);
	x->sent = now;
	x->piece = now;
	if (!x->ops->send(x->ctx, &x->target, x->last_id[0] ? x->last_id : NULL)) {
		avoid_target(x);
		return false;
	}
	x->sending = true;
	x->sends++;
	x->ops->sent(x->ctx, &x->target, &x->ticket);
	x->ops->decided(x->ctx, step_of_send(x), &x->target);
	return true;
}

static ap_reason_t reason_of(const ap_exchange_t *x, ap_fleet_status_t status)
{
	if (x->refusals > 0)
		return AP_REASON_REFUSED;
	return status == AP_FLEET_LATE ? AP_REASON_TOO_LATE : AP_REASON_NO_UPSTREAM;
}

/* Sends it to the best target that is left, or says why not in @why. */
static bool dispatch(ap_exchange_t *x, ap_reason_t *why, ap_usec_t now)
{
	for (unsigned i = 0; i < AP_TRIED_MAX; i++) {
		ap_fleet_status_t status = x->ops->choose(x->ctx, &x->work, &x->target);

		if (status != AP_FLEET_OK) {
			*why = reason_of(x, status);
			return false;
		}
		if (x->sends > 0 && !x->paid && !x->ops->may_repeat(x->ctx)) {
			*why = AP_REASON_BUDGET;
			return false;
		}
		if (send_to_target(x, now)) {
			x->paid = false;
			return true;
		}
	}
	*why = AP_REASON_NO_UPSTREAM;
	return false;
}

static void dispatch_or_answer(ap_exchange_t *x, ap_usec_t now)
{
	ap_reason_t why;

	if (!dispatch(x, &why, now))
		answer(x, why, now);
}

void ap_exchange_start(ap_exchange_t *x, unsigned attempts, ap_usec_t now)
{
	const ap_plan_route_t *route = x->work.route;

	x->arrival = now;
	x->attempts = attempts > 0 ? attempts : 1;
	x->stream = route->kind == AP_KIND_STREAM;
	x->repeatable = ap_plan_retryable(route);
	x->give_up = x->work.deadline;
	if (route->timeout > 0 && now + route->timeout < x->give_up)
		x->give_up = now + route->timeout;
	x->work.deadline = x->give_up;
	dispatch_or_answer(x, now);
}

static bool may_run_again(const ap_exchange_t *x, ap_usec_t now)
{
	return x->repeatable && x->runs < x->attempts && now < x->give_up;
}

/* The target refused: certainly not run there. */
static void refused(ap_exchange_t *x, ap_usec_t now)
{
	finish_send(x, x->head.moved ? AP_DISPATCH_ADDRESS_REUSED : AP_DISPATCH_REFUSED);
	x->refusals++;
	avoid_target(x);
	x->ops->decided(x->ctx, AP_STEP_REFUSED_BY, &x->target);
	dispatch_or_answer(x, now);
}

/* The target failed and the request may have run there, which is counted already. */
static void run_again_or_answer(ap_exchange_t *x, ap_dispatch_result_t end, ap_reason_t reason,
				ap_usec_t now)
{
	ap_reason_t why;

	if (end == AP_DISPATCH_TIMED_OUT)
		avoid_target(x);
	else
		remember(x->work.tried, &x->work.n_tried, x->target.id);
	x->ops->decided(x->ctx, AP_STEP_FAILED_AT, &x->target);
	if (!may_run_again(x, now) || !dispatch(x, &why, now))
		answer(x, reason, now);
}

static void failed(ap_exchange_t *x, ap_dispatch_result_t end, ap_reason_t reason, ap_usec_t now)
{
	x->runs++;
	run_again_or_answer(x, end, reason, now);
}

void ap_exchange_head(ap_exchange_t *x, const ap_answer_head_t *head, ap_usec_t now)
{
	x->headed = true;
	x->head = *head;
	if (!x->stream || head->refused)
		x->piece = now;
}

static bool hold(ap_exchange_t *x, const void *data, size_t len)
{
	if (x->held_len + len > x->held_size) {
		size_t size = x->held_size ? x->held_size : 1024;
		char *bigger;

		while (size < x->held_len + len)
			size *= 2;
		bigger = realloc(x->held, size);
		if (!bigger)
			return false;
		x->held = bigger;
		x->held_size = size;
	}
	memcpy(x->held + x->held_len, data, len);
	x->held_len += len;
	return true;
}

static void commit(ap_exchange_t *x)
{
	if (x->committed)
		return;
	x->committed = true;
	x->ops->head(x->ctx);
}

static void pass(ap_exchange_t *x, size_t from, size_t to, ap_usec_t now)
{
	if (to <= from)
		return;
	if (x->first_piece == 0)
		x->first_piece = now;
	commit(x);
	x->bytes += to - from;
	x->ops->data(x->ctx, x->held + from, to - from);
}

/* Whole events go out; what follows them waits for its end. */
static void pass_events(ap_exchange_t *x, ap_usec_t now)
{
	size_t whole = ap_events_whole(x->held, x->held_len, x->scanned);
	size_t from = 0;

	x->scanned = x->held_len;
	if (whole == 0)
		return;
	if (x->resuming)
		from = ap_events_after(x->held, whole, x->last_id);
	x->piece = now;
	x->ops->first(x->ctx, &x->ticket);
	pass(x, from, whole, now);
	if (from < whole) {
		x->resuming = false;
		ap_events_last_id(x->held, whole, x->last_id);
	}
	memmove(x->held, x->held + whole, x->held_len - whole);
	x->held_len -= whole;
	x->scanned = x->held_len;
}

static bool good(const ap_exchange_t *x)
{
	return x->head.status >= 200 && x->head.status < 300 && !x->head.refused;
}

void ap_exchange_data(ap_exchange_t *x, const void *data, size_t len, ap_usec_t now)
{
	if (x->over || !x->sending)
		return;
	if (x->held_len + len > HELD_MAX && good(x) && !x->stream) {
		/* Too large to be held until it is whole. */
		pass(x, 0, x->held_len, now);
		x->held_len = 0;
	}
	if (!hold(x, data, len)) {
		stop_send(x, AP_DISPATCH_CANCELLED);
		x->runs++;
		answer(x, AP_REASON_BROKEN, now);
		return;
	}
	if (x->stream && good(x))
		pass_events(x, now);
	else
		x->piece = now;
}

/* A failure with a status that promises "not run" must not be passed on without that proof. */
static bool promises(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void deliver(ap_exchange_t *x, ap_usec_t now)
{
	pass(x, 0, x->held_len, now);
	commit(x);
	x->over = true;
	x->ops->end(x->ctx);
}

/* A whole answer that says that the request failed. */
static void deliver_failure(ap_exchange_t *x, ap_usec_t now)
{
	bool error = x->head.status >= 500;

	finish_send(x, error ? AP_DISPATCH_ERROR : AP_DISPATCH_DONE);
	x->runs++;
	if (error && x->committed)
		answer(x, AP_REASON_BROKEN, now);
	else if (error && may_run_again(x, now))
		run_again_or_answer(x, AP_DISPATCH_ERROR, AP_REASON_BROKEN, now);
	else if (!x->head.own || promises(x->head.status))
		answer(x, AP_REASON_UNPROVED, now);
	else
		deliver(x, now);
}

static void whole(ap_exchange_t *x, bool closed, ap_usec_t now)
{
	bool torn = x->stream && good(x) && (x->held_len > 0 || closed);

	if (x->headed && x->head.refused) {
		refused(x, now);
	} else if (x->headed && !good(x)) {
		deliver_failure(x, now);
	} else if (!x->headed || torn) {
		finish_send(x, AP_DISPATCH_BROKEN);
		failed(x, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
	} else {
		x->ops->first(x->ctx, &x->ticket);
		finish_send(x, AP_DISPATCH_DONE);
		x->runs++;
		deliver(x, now);
	}
}

void ap_exchange_end(ap_exchange_t *x, ap_link_end_t end, ap_usec_t now)
{
	if (x->over || !x->sending)
		return;
	switch (end) {
	case AP_LINK_WHOLE:
	case AP_LINK_WHOLE_CLOSED:
		whole(x, end == AP_LINK_WHOLE_CLOSED, now);
		break;
	case AP_LINK_UNSENT:
		finish_send(x, AP_DISPATCH_UNREACHABLE);
		x->sends--;
		avoid_target(x);
		x->ops->decided(x->ctx, AP_STEP_UNREACHABLE, &x->target);
		if (++x->unsent < UNSENT_MAX)
			dispatch_or_answer(x, now);
		else
			answer(x, AP_REASON_NO_UPSTREAM, now);
		break;
	case AP_LINK_BROKEN:
		/* A refusal that broke off in its body is a refusal all the same. */
		if (x->headed && x->head.refused) {
			refused(x, now);
			break;
		}
		finish_send(x, AP_DISPATCH_BROKEN);
		failed(x, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
		break;
	case AP_LINK_SILENT:
		finish_send(x, AP_DISPATCH_TIMED_OUT);
		failed(x, AP_DISPATCH_TIMED_OUT, AP_REASON_BROKEN, now);
		break;
	}
}

void ap_exchange_gone(ap_exchange_t *x)
{
	if (!x->over)
		x->ops->decided(x->ctx, AP_STEP_CALLER_LEFT, x->sending ? &x->target : NULL);
	stop_send(x, AP_DISPATCH_CANCELLED);
	x->over = true;
}

void ap_exchange_clear(ap_exchange_t *x)
{
	ap_exchange_gone(x);
	free(x->held);
	x->held = NULL;
}

/* How long a target may be silent before another one is tried. */
static ap_usec_t silent_limit(const ap_exchange_t *x)
{
	const ap_plan_route_t *route = x->work.route;

	if (!x->repeatable || x->runs + 1 >= x->attempts)
		return AP_NEVER;
	if (x->ticket.first && x->stream)
		return route->event_gap > 0 ? route->event_gap : AP_NEVER;
	return PATIENCE_WAITS * x->target.wait + route->objective / PATIENCE_OBJECTIVE_PART;
}

static ap_usec_t cut_at(const ap_exchange_t *x)
{
	return x->committed ? x->give_up + CUT_MARGIN : x->give_up;
}

ap_usec_t ap_exchange_due(const ap_exchange_t *x)
{
	ap_usec_t limit = silent_limit(x);
	ap_usec_t due = cut_at(x);

	if (x->over)
		return AP_NEVER;
	if (x->sending && limit != AP_NEVER && x->piece + limit < due)
		due = x->piece + limit;
	return due;
}

void ap_exchange_tick(ap_exchange_t *x, ap_usec_t now)
{
	ap_usec_t limit = silent_limit(x);
	ap_target_t other;

	if (x->over)
		return;
	if (now >= cut_at(x)) {
		x->runs += x->sending;
		stop_send(x, AP_DISPATCH_TIMED_OUT);
		answer(x, AP_REASON_TIMEOUT, now);
		return;
	}
	if (!x->sending || limit == AP_NEVER || now < x->piece + limit)
		return;
	/* Only if there is another one: what runs may still answer. */
	avoid_target(x);
	if (x->ops->choose(x->ctx, &x->work, &other) != AP_FLEET_OK ||
	    !x->ops->may_repeat(x->ctx)) {
		x->piece = now;
		return;
	}
	x->paid = true;
	stop_send(x, AP_DISPATCH_TIMED_OUT);
	x->ops->decided(x->ctx, AP_STEP_SILENT, &x->target);
	failed(x, AP_DISPATCH_TIMED_OUT, AP_REASON_TIMEOUT, now);
}
