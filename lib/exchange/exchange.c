/* Dispatch and retries of one request. */
#include "exchange/private.h"

#include <string.h>

/*
 * A response that has begun is aborted this long after the timeout, since an upstream ends its
 * response by itself at the timeout.
 */
#define ABORT_MARGIN (150 * AP_MSEC)
/*
 * Another target is tried after this many expected waits without data, plus the latency objective
 * divided by NO_DATA_OBJECTIVE_DIVISOR.
 */
#define NO_DATA_WAITS 3
#define NO_DATA_OBJECTIVE_DIVISOR 4
/*
 * For how long two upstreams that have accepted a stream may work on it, as this instance sees it.
 * The rule allows 400 ms; the head's way here and the cancel's way back take a part of them.
 */
#define BESIDE_MAX (100 * AP_MSEC)
#define CONNECT_FAILURES_MAX 8 /* failed connections before a request is given up */
#define WEIGHTS_REFUSALS_MAX 4 /* upstreams that are asked in vain for a version of the weights */

static void finish_attempt(ap_exchange_t *x, ap_attempt_t *a, ap_dispatch_result_t end)
{
	a->in_flight = false;
	x->ops->done(x->ctx, &a->inflight, end);
}

void ap_attempt_cancel(ap_exchange_t *x, ap_attempt_t *a, ap_dispatch_result_t end)
{
	if (!a->in_flight)
		return;
	x->ops->drop_connection(x->ctx, slot_of(x, a));
	finish_attempt(x, a, end);
}

/* Cancels all attempts, which may have run. */
static void cancel_all(ap_exchange_t *x, ap_dispatch_result_t end)
{
	x->runs += in_flight(x);
	for (unsigned i = 0; i < AP_SLOTS; i++)
		ap_attempt_cancel(x, &x->slot[i], end);
}

/*
 * Ends the request with a response of this instance. Its status promises "not run" (503) only if
 * no upstream may have run the request. A presumed end that no other upstream has denied
 * stands; an unproved one waits for the deadline.
 */
static void reply_error(ap_exchange_t *x, ap_reason_t reason, ap_usec_t now)
{
	/* Its deadline is less than an event away, and nobody can go on before. */
	if (x->belief == AP_END_UNPROVED && now < x->timeout_at)
		return;
	x->finished = true;
	if (x->belief == AP_END_PRESUMED) {
		x->ops->end(x->ctx);
		return;
	}
	x->reason = reason;
	x->ops->log_step(x->ctx, AP_STEP_GIVEN_UP,
			 reason == AP_REASON_TOO_LATE ? &x->target : NULL);
	if (x->committed) {
		x->ops->abort_response(x->ctx);
		return;
	}
	if (x->runs == 0 && reason != AP_REASON_TIMEOUT)
		x->ops->reply(x->ctx, 503, ap_exchange_retry_after(x, now), reason);
	else if (x->runs == 0)
		x->ops->reply(x->ctx, 503, RETRY_AFTER_MIN, reason);
	else
		x->ops->reply(x->ctx, reason == AP_REASON_TIMEOUT ? 504 : 502, 0, reason);
}

void ap_names_add(char (*names)[AP_NAME_MAX], size_t *n, const char *id)
{
	for (size_t i = 0; i < *n; i++) {
		if (strcmp(names[i], id) == 0)
			return;
	}
	/* A full list drops its oldest name. */
	if (*n == AP_TRIED_MAX) {
		memmove(names[0], names[1], (AP_TRIED_MAX - 1) * AP_NAME_MAX);
		(*n)--;
	}
	ap_copy_name(names[*n], AP_NAME_MAX, id);
	(*n)++;
}

static void avoid(ap_exchange_t *x, const char *id)
{
	ap_names_add(x->req.avoid, &x->req.n_avoid, id);
}

static ap_step_t step_for_send(const ap_exchange_t *x, const ap_attempt_t *a)
{
	if (a->second)
		return AP_STEP_SECOND;
	if (x->sends == 1)
		return AP_STEP_SENT;
	return a->resuming ? AP_STEP_RESUMED : AP_STEP_RETRIED;
}

/* Returns from when on @a, which is sent @now, is slow. */
static ap_usec_t slow_at(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now)
{
	ap_usec_t after = x->ops->slow_after && !a->second ? x->ops->slow_after(x->ctx, &a->target)
							   : AP_NEVER;

	return after < AP_NEVER - now ? now + after : AP_NEVER;
}

bool ap_attempt_send(ap_exchange_t *x, ap_attempt_t *a, const ap_target_t *target, bool second,
		     ap_usec_t now)
{
	ap_attempt_reset(x, a);
	x->target = *target;
	a->target = *target;
	a->second = second;
	a->sent_at = now;
	a->slow_at = slow_at(x, a, now);
	a->last_chunk_at = now;
	a->piece_at = now;
	if (!x->ops->send(x->ctx, slot_of(x, a), &a->target,
			  x->last_event_id[0] ? x->last_event_id : NULL)) {
		avoid(x, a->target.id);
		return false;
	}
	a->in_flight = true;
	x->sends++;
	x->ops->sent(x->ctx, &a->target, &a->inflight);
	x->ops->log_step(x->ctx, step_for_send(x, a), &a->target);
	return true;
}

/*
 * Sends the request to the best remaining target, in the slot of @a, or sets @no_other to the
 * reason why it can't.
 */
static bool dispatch(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	/* Each failed attempt adds its target to the list to avoid, which holds AP_TRIED_MAX names.
	 */
	for (unsigned i = 0; i < AP_TRIED_MAX; i++) {
		ap_fleet_status_t status = x->ops->choose(x->ctx, &x->req, &x->target);

		if (status != AP_FLEET_OK) {
			x->no_other = ap_exchange_reason(x, status);
			x->pause = ap_exchange_pause_for(x, status);
			return false;
		}
		x->pause = 0;
		if (x->sends > 0 && !x->ops->may_retry(x->ctx)) {
			x->no_other = AP_REASON_BUDGET;
			return false;
		}
		if (ap_attempt_send(x, a, &x->target, false, now))
			return true;
	}
	x->no_other = AP_REASON_NO_UPSTREAM;
	return false;
}

static void dispatch_or_reply(ap_exchange_t *x, ap_usec_t now)
{
	x->waits_since = now;
	if (!dispatch(x, current(x), now))
		reply_error(x, x->no_other, now);
}

void ap_exchange_start(ap_exchange_t *x, unsigned attempts, ap_usec_t now)
{
	const ap_plan_route_t *route = x->req.route;

	x->arrival = now;
	x->attempts = attempts > 0 ? attempts : 1;
	x->stream = route->kind == AP_KIND_STREAM;
	x->retryable = ap_plan_retryable(route);
	x->timeout_at = x->req.deadline;
	if (route->timeout > 0 && now + route->timeout < x->timeout_at)
		x->timeout_at = now + route->timeout;
	x->req.deadline = x->timeout_at;
	x->taken_up = x->last_event_id[0] != '\0';
	x->req.begun = x->taken_up;
	dispatch_or_reply(x, now);
}

/*
 * The current attempt is silent: sends the request to another target too, which has responded to
 * this instance in the latter half of the silence: targets that fall silent together have not
 * sent their last data at the same time. The silent one may still go on, so it is kept until the
 * other one has accepted the request or responds.
 */
static void send_to_other(ap_exchange_t *x, ap_usec_t now)
{
	ap_attempt_t *a = current(x);

	x->waits_since = now;
	/* What is being checked or not read from isn't silent. */
	if (x->paused || a->checking || !ap_exchange_may_run_again(x, now))
		return;
	x->ops->log_step(x->ctx, AP_STEP_TIMED_OUT, &a->target);
	avoid(x, a->target.id);
	x->req.heard_since = a->last_chunk_at + (now - a->last_chunk_at) / 2;
	dispatch(x, other_than(x, a), now);
	x->req.heard_since = 0;
}

/* After the end of @a: another attempt in flight serves the request. Return: false if none is. */
static bool other_goes_on(ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now)
{
	const ap_attempt_t *other = other_than(x, a);

	if (!other->in_flight)
		return false;
	if (x->current == slot_of(x, a))
		x->waits_since = now;
	x->current = slot_of(x, other);
	return true;
}

/* Returns whether targets that did not run the request leave room for another one. */
static bool may_try_another(const ap_exchange_t *x)
{
	return x->connect_failures < CONNECT_FAILURES_MAX &&
	       x->weights_refusals < WEIGHTS_REFUSALS_MAX;
}

/* The target of @a certainly did not run the request; @unsent: nor did it reach an upstream. */
static void attempt_refused(ap_exchange_t *x, ap_attempt_t *a, bool unsent, ap_usec_t now)
{
	bool was_current = a == current(x);

	avoid(x, a->target.id);
	if (unsent) {
		/* The next send is no retry. */
		x->sends--;
		x->connect_failures++;
	}
	if (other_goes_on(x, a, now)) {
		if (!was_current && !a->second && may_try_another(x))
			send_to_other(x, now);
		return;
	}
	if (may_try_another(x))
		dispatch_or_reply(x, now);
	else
		reply_error(x, AP_REASON_NO_UPSTREAM, now);
}

static ap_dispatch_result_t refusal_of(const ap_attempt_t *a)
{
	if (a->head.weights_refused)
		return AP_DISPATCH_WEIGHTS;
	return a->head.address_reused ? AP_DISPATCH_ADDRESS_REUSED : AP_DISPATCH_REFUSED;
}

static void target_refused(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	finish_attempt(x, a, refusal_of(a));
	x->weights_refusals += a->head.weights_refused;
	ap_exchange_count_refusal(x, a->head.retry_after);
	x->ops->log_step(x->ctx, AP_STEP_REFUSED_BY, &a->target);
	attempt_refused(x, a, a->head.unsent, now);
}

static void target_unreachable(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	finish_attempt(x, a, AP_DISPATCH_UNREACHABLE);
	x->req.unreachable += !a->target.remote;
	x->ops->log_step(x->ctx, AP_STEP_UNREACHABLE, &a->target);
	attempt_refused(x, a, true, now);
}

/*
 * After the failure of @a: another attempt, in flight or new, serves the request. Return: false if
 * there is none.
 */
static bool go_on_elsewhere(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	ap_attempt_t *other = other_than(x, a);

	x->ops->log_step(x->ctx, AP_STEP_FAILED_AT, &a->target);
	if (other_goes_on(x, a, now))
		return true;
	if (!ap_exchange_may_run_again(x, now) || !dispatch(x, other, now))
		return false;
	x->waits_since = now;
	x->current = slot_of(x, other);
	return true;
}

/* Without a retry, the response names @reason, the failure, and not why there was no retry. */
void ap_attempt_failed(ap_exchange_t *x, ap_attempt_t *a, ap_dispatch_result_t end,
		       ap_reason_t reason, ap_usec_t now)
{
	finish_attempt(x, a, end);
	x->runs++;
	if (end == AP_DISPATCH_TIMED_OUT || end == AP_DISPATCH_WEIGHTS)
		avoid(x, a->target.id);
	else
		ap_names_add(x->req.tried, &x->req.n_tried, a->target.id);
	if (!go_on_elsewhere(x, a, now))
		reply_error(x, reason, now);
}

/* Until when @a may send no data at first. */
static ap_usec_t no_data_until(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t since)
{
	return since + NO_DATA_WAITS * a->target.wait +
	       x->req.route->objective / NO_DATA_OBJECTIVE_DIVISOR;
}

/* Returns what it says of the target of @other, which is current, that @a has the response. */
static ap_dispatch_result_t loss_of(const ap_exchange_t *x, const ap_attempt_t *other,
				    const ap_attempt_t *a, ap_usec_t now)
{
	if (a->second && now < no_data_until(x, other, other->last_chunk_at))
		return AP_DISPATCH_SLOWER;
	return AP_DISPATCH_TIMED_OUT;
}

void ap_attempt_take_over(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	ap_attempt_t *other = other_than(x, a);
	bool replaces = a != current(x);

	x->current = slot_of(x, a);
	if (!other->in_flight)
		return;
	x->runs++;
	ap_attempt_cancel(x, other, replaces ? loss_of(x, other, a, now) : AP_DISPATCH_CANCELLED);
	x->ops->log_step(x->ctx, AP_STEP_CANCELLED, &other->target);
}

/*
 * Callers take these statuses to mean that the request didn't run, so an error with one of them
 * must not be delivered. A refusal that the upstream states is handled before.
 */
static bool implies_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A complete response, not a refusal, with a status other than 2xx. */
static void error_response(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	bool error = a->head.status >= 500 || !a->head.from_replica;
	/* It is no part of a response that has begun. */
	bool deliverable =
		!x->committed && a->head.from_replica && !implies_not_run(a->head.status);

	finish_attempt(x, a, error ? AP_DISPATCH_ERROR : AP_DISPATCH_DONE);
	x->runs++;
	ap_names_add(x->req.tried, &x->req.n_tried, a->target.id);
	if ((error || x->committed || (in_flight(x) > 0 && !deliverable)) &&
	    go_on_elsewhere(x, a, now))
		return;
	if (deliverable)
		ap_attempt_deliver(x, a, now);
	else
		reply_error(x, x->committed ? AP_REASON_BROKEN : AP_REASON_UNPROVED, now);
}

static void deliver_success(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	ap_attempt_take_over(x, a, now);
	x->ops->first_chunk(x->ctx, &a->inflight);
	finish_attempt(x, a, AP_DISPATCH_DONE);
	x->runs++;
	ap_attempt_deliver(x, a, now);
}

/*
 * A whole response, as it seems, that ended with its connection: the upstream's process may have
 * ended, too, in the middle of the response. Where that isn't known it isn't complete.
 */
static void response_closed(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	/* Instances frame their responses. */
	if (!a->target.remote && x->ops->check(x->ctx, slot_of(x, a)))
		a->checking = true;
	else
		ap_attempt_failed(x, a, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
}

static void response_whole(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	ap_doubt_t doubt = is_success(a) ? ap_attempt_unconfirmed(x, a, now) : AP_DOUBT_NONE;

	if (doubt != AP_DOUBT_NONE && !ap_attempt_sender_confirms(x, a, doubt))
		ap_attempt_confirm(x, a, doubt, now);
	else if (is_success(a))
		deliver_success(x, a, now);
	else
		error_response(x, a, now);
}

/* Returns whether the end is left to the sender of a forwarded stream. */
static bool sender_decides(ap_exchange_t *x, ap_attempt_t *a, ap_doubt_t doubt)
{
	return doubt == AP_DOUBT_PACE && ap_attempt_sender_confirms(x, a, doubt);
}

static void response_complete(ap_exchange_t *x, ap_attempt_t *a, bool closed, ap_usec_t now)
{
	ap_doubt_t doubt = ap_attempt_doubt(x, a, closed, now);

	if (a->has_head && a->head.refused)
		target_refused(x, a, now);
	else if (!a->has_head)
		ap_attempt_failed(x, a, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
	else if (doubt != AP_DOUBT_NONE && !sender_decides(x, a, doubt))
		ap_attempt_doubted(x, a, doubt, now);
	else if (closed && a->head.from_replica)
		response_closed(x, a, now);
	else
		response_whole(x, a, now);
}

void ap_exchange_checked(ap_exchange_t *x, unsigned slot, bool ended, ap_usec_t now)
{
	ap_attempt_t *a = &x->slot[slot];

	if (x->finished || !a->in_flight || !a->checking)
		return;
	a->checking = false;
	if (ended)
		ap_attempt_failed(x, a, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
	else
		response_whole(x, a, now);
}

void ap_exchange_end(ap_exchange_t *x, unsigned slot, ap_connection_end_t end, ap_usec_t now)
{
	ap_attempt_t *a = &x->slot[slot];

	if (x->finished || !a->in_flight)
		return;
	x->connection_end = end;
	x->end_left = x->timeout_at - now;
	if (end == AP_CONNECTION_COMPLETE || end == AP_CONNECTION_COMPLETE_ON_CLOSE)
		ap_attempt_release(x, a, now);
	if (!a->in_flight)
		return;
	switch (end) {
	case AP_CONNECTION_OPEN:
		break;
	case AP_CONNECTION_COMPLETE:
	case AP_CONNECTION_COMPLETE_ON_CLOSE:
		response_complete(x, a, end == AP_CONNECTION_COMPLETE_ON_CLOSE, now);
		break;
	case AP_CONNECTION_UNSENT:
		target_unreachable(x, a, now);
		break;
	case AP_CONNECTION_BROKEN:
		/* A refusal counts even if its body was cut short. */
		if (a->has_head && a->head.refused)
			target_refused(x, a, now);
		else
			ap_attempt_failed(x, a, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
		break;
	case AP_CONNECTION_TIMED_OUT:
		ap_attempt_failed(x, a, AP_DISPATCH_TIMED_OUT, AP_REASON_BROKEN, now);
		break;
	}
}

void ap_exchange_give_up(ap_exchange_t *x, ap_reason_t reason, ap_usec_t now)
{
	if (x->finished)
		return;
	cancel_all(x, AP_DISPATCH_CANCELLED);
	/* An end that may be right doesn't stand for what was given up behind it. */
	x->belief = AP_END_UNKNOWN;
	reply_error(x, reason, now);
}

void ap_exchange_caller_disconnected(ap_exchange_t *x)
{
	ap_attempt_t *a = current(x);

	if (!x->finished)
		x->ops->log_step(x->ctx, AP_STEP_CALLER_DISCONNECTED,
				 a->in_flight ? &a->target : NULL);
	cancel_all(x, AP_DISPATCH_CANCELLED);
	x->finished = true;
}

void ap_exchange_clear(ap_exchange_t *x)
{
	ap_exchange_caller_disconnected(x);
	ap_exchange_free_buffers(x);
}

void ap_exchange_pause(ap_exchange_t *x, bool paused, ap_usec_t now)
{
	if (x->paused && !paused)
		ap_exchange_forget_pause(x, now);
	x->paused = paused;
	x->waits_since = now;
}

/* Until when the current attempt may send no data before another target is tried. */
static ap_usec_t silent_until(const ap_exchange_t *x)
{
	const ap_plan_route_t *route = x->req.route;
	const ap_attempt_t *a = &x->slot[x->current];
	ap_usec_t since = a->last_chunk_at > x->waits_since ? a->last_chunk_at : x->waits_since;

	if (x->paused || a->checking || in_flight(x) != 1 || !x->retryable ||
	    x->runs + 1 >= x->attempts)
		return AP_NEVER;
	/* A stream that goes on has begun, so its objective says nothing of its next event. */
	if (x->stream && (a->inflight.has_first_chunk || (x->committed && a->accepted_at != 0)))
		return route->event_gap > 0 ? since + route->event_gap : AP_NEVER;
	return no_data_until(x, a, since);
}

/*
 * Until when the current attempt, which is silent, is kept beside one that has accepted the
 * stream. A closed connection in a check keeps no upstream at work.
 */
static ap_usec_t beside_until(const ap_exchange_t *x)
{
	const ap_attempt_t *a = &x->slot[x->current];
	const ap_attempt_t *other = &x->slot[!x->current];

	if (!x->stream || in_flight(x) != AP_SLOTS || a->checking || other->checking ||
	    other->accepted_at == 0)
		return AP_NEVER;
	return other->accepted_at + BESIDE_MAX;
}

static ap_usec_t abort_at(const ap_exchange_t *x)
{
	return x->committed ? x->timeout_at + ABORT_MARGIN : x->timeout_at;
}

static ap_usec_t earlier(ap_usec_t a, ap_usec_t b)
{
	return a < b ? a : b;
}

ap_usec_t ap_exchange_due(const ap_exchange_t *x)
{
	ap_usec_t due = abort_at(x);

	if (x->finished)
		return AP_NEVER;
	due = earlier(due, ap_exchange_settled_at(x));
	due = earlier(due, beside_until(x));
	due = earlier(due, ap_exchange_unaccepted_until(x));
	due = earlier(due, ap_exchange_second_due(x));
	return earlier(due, silent_until(x));
}

void ap_exchange_tick(ap_exchange_t *x, ap_usec_t now)
{
	if (x->finished)
		return;
	if (now >= ap_exchange_settled_at(x)) {
		cancel_all(x, AP_DISPATCH_CANCELLED);
		reply_error(x, AP_REASON_TIMEOUT, now);
	} else if (now >= abort_at(x)) {
		cancel_all(x, AP_DISPATCH_TIMED_OUT);
		reply_error(x, AP_REASON_TIMEOUT, now);
	} else if (now >= beside_until(x)) {
		x->waits_since = now;
		ap_attempt_take_over(x, &x->slot[!x->current], now);
	} else if (now >= ap_exchange_unaccepted_until(x)) {
		ap_exchange_drop_second(x);
	} else if (now >= silent_until(x)) {
		send_to_other(x, now);
	} else if (now >= ap_exchange_second_due(x)) {
		ap_exchange_send_second(x, now);
	}
}
