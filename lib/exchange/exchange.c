/* Dispatch, retries and response delivery of one request. */
#include "exchange/exchange.h"

#include <stdlib.h>
#include <string.h>

/* Bytes of a response that are held until it is complete. */
#define BUFFERED_MAX (1 << 20)
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
#define RETRY_AFTER_MIN (100 * AP_MSEC)
#define RETRY_AFTER_DEFAULT (500 * AP_MSEC) /* when no wait is known */
#define RETRY_AFTER_DIVISOR 3  /* Retry-After is at most the remaining time divided by this */
#define CONNECT_FAILURES_MAX 8 /* failed connections before a request is given up */

const char *ap_reason_name(ap_reason_t reason)
{
	static const char *const names[] = {
		"none",	  "no-upstream", "too-late", "held",	 "refused",
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

const char *ap_connection_end_name(ap_connection_end_t end)
{
	static const char *const names[] = {
		"open", "framing", "close", "unsent", "broken", "timeout",
	};

	return names[end];
}

static void finish_attempt(ap_exchange_t *x, ap_dispatch_result_t end)
{
	x->in_flight = false;
	x->ops->done(x->ctx, &x->inflight, end);
}

static void cancel_attempt(ap_exchange_t *x, ap_dispatch_result_t end)
{
	if (!x->in_flight)
		return;
	x->ops->drop_connection(x->ctx);
	finish_attempt(x, end);
}

/*
 * When a refused caller should retry. For a request that would be too late: after the part of the
 * expected wait that exceeds half of the latency objective.
 */
static ap_usec_t retry_after(const ap_exchange_t *x, ap_usec_t now)
{
	ap_usec_t left = (x->req.deadline - now) / RETRY_AFTER_DIVISOR;
	ap_usec_t wait = RETRY_AFTER_DEFAULT;

	if (x->reason == AP_REASON_TOO_LATE)
		wait = x->target.wait - x->req.route->objective / 2;
	else if (x->reason == AP_REASON_HELD)
		wait = x->target.wait;
	if (wait > left)
		wait = left;
	return wait < RETRY_AFTER_MIN ? RETRY_AFTER_MIN : wait;
}

/*
 * Ends the request with a response of this instance. Its status promises "not run" (503) only if
 * no upstream may have run the request.
 */
static void reply_error(ap_exchange_t *x, ap_reason_t reason, ap_usec_t now)
{
	x->reason = reason;
	x->finished = true;
	x->ops->log_step(x->ctx, AP_STEP_GIVEN_UP,
			 reason == AP_REASON_TOO_LATE ? &x->target : NULL);
	if (x->committed) {
		x->ops->abort_response(x->ctx);
		return;
	}
	if (x->runs == 0 && reason != AP_REASON_TIMEOUT)
		x->ops->reply(x->ctx, 503, retry_after(x, now), reason);
	else if (x->runs == 0)
		x->ops->reply(x->ctx, 503, RETRY_AFTER_MIN, reason);
	else
		x->ops->reply(x->ctx, reason == AP_REASON_TIMEOUT ? 504 : 502, 0, reason);
}

static void add_name(char (*names)[AP_NAME_MAX], size_t *n, const char *id)
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

static void avoid_target(ap_exchange_t *x)
{
	add_name(x->req.avoid, &x->req.n_avoid, x->target.id);
}

static void reset_response(ap_exchange_t *x)
{
	x->has_head = false;
	x->resuming = x->committed;
	x->buffer_len = 0;
	x->scanned = 0;
	x->head = (ap_response_head_t){0};
}

static ap_step_t step_for_send(const ap_exchange_t *x)
{
	if (x->sends == 1)
		return AP_STEP_SENT;
	return x->resuming ? AP_STEP_RESUMED : AP_STEP_RETRIED;
}

static bool send_to_target(ap_exchange_t *x, ap_usec_t now)
{
	reset_response(x);
	x->sent_at = now;
	x->last_chunk_at = now;
	if (!x->ops->send(x->ctx, &x->target, x->last_event_id[0] ? x->last_event_id : NULL)) {
		avoid_target(x);
		return false;
	}
	x->in_flight = true;
	x->sends++;
	x->ops->sent(x->ctx, &x->target, &x->inflight);
	x->ops->log_step(x->ctx, step_for_send(x), &x->target);
	return true;
}

static ap_reason_t reason_for(const ap_exchange_t *x, ap_fleet_status_t status)
{
	if (status == AP_FLEET_HELD)
		return AP_REASON_HELD;
	if (x->refusals > 0)
		return AP_REASON_REFUSED;
	return status == AP_FLEET_LATE ? AP_REASON_TOO_LATE : AP_REASON_NO_UPSTREAM;
}

/* Sends the request to the best remaining target, or sets @why to the reason why it can't. */
static bool dispatch(ap_exchange_t *x, ap_reason_t *why, ap_usec_t now)
{
	/* Each failed attempt adds its target to the list to avoid, which holds AP_TRIED_MAX names.
	 */
	for (unsigned i = 0; i < AP_TRIED_MAX; i++) {
		ap_fleet_status_t status = x->ops->choose(x->ctx, &x->req, &x->target);

		if (status != AP_FLEET_OK) {
			*why = reason_for(x, status);
			return false;
		}
		if (x->sends > 0 && !x->retry_counted && !x->ops->may_retry(x->ctx)) {
			*why = AP_REASON_BUDGET;
			return false;
		}
		if (send_to_target(x, now)) {
			x->retry_counted = false;
			return true;
		}
	}
	*why = AP_REASON_NO_UPSTREAM;
	return false;
}

static bool dispatch_other(ap_exchange_t *x, ap_usec_t now)
{
	return dispatch(x, &x->no_other, now);
}

static void dispatch_or_reply(ap_exchange_t *x, ap_usec_t now)
{
	if (!dispatch_other(x, now))
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
	dispatch_or_reply(x, now);
}

static bool may_run_again(const ap_exchange_t *x, ap_usec_t now)
{
	return x->retryable && x->runs < x->attempts && now < x->timeout_at;
}

/* The request reached no upstream, so the next send is no retry. */
static void dispatch_after_unsent(ap_exchange_t *x, ap_usec_t now)
{
	x->sends--;
	if (++x->connect_failures < CONNECT_FAILURES_MAX)
		dispatch_or_reply(x, now);
	else
		reply_error(x, AP_REASON_NO_UPSTREAM, now);
}

/* The target refused the request, so it certainly didn't run there. */
static void target_refused(ap_exchange_t *x, ap_usec_t now)
{
	finish_attempt(x,
		       x->head.address_reused ? AP_DISPATCH_ADDRESS_REUSED : AP_DISPATCH_REFUSED);
	x->refusals++;
	avoid_target(x);
	x->ops->log_step(x->ctx, AP_STEP_REFUSED_BY, &x->target);
	if (x->head.unsent)
		dispatch_after_unsent(x, now);
	else
		dispatch_or_reply(x, now);
}

/*
 * The target failed. @x->runs already includes the run that may have taken place. Without a retry,
 * the response names @reason, the failure, and not why there was no retry.
 */
static void retry_or_reply(ap_exchange_t *x, ap_dispatch_result_t end, ap_reason_t reason,
			   ap_usec_t now)
{
	if (end == AP_DISPATCH_TIMED_OUT)
		avoid_target(x);
	else
		add_name(x->req.tried, &x->req.n_tried, x->target.id);
	x->ops->log_step(x->ctx, AP_STEP_FAILED_AT, &x->target);
	if (!may_run_again(x, now) || !dispatch_other(x, now))
		reply_error(x, reason, now);
}

static void target_failed(ap_exchange_t *x, ap_dispatch_result_t end, ap_reason_t reason,
			  ap_usec_t now)
{
	x->runs++;
	retry_or_reply(x, end, reason, now);
}

void ap_exchange_head(ap_exchange_t *x, const ap_response_head_t *head, ap_usec_t now)
{
	x->has_head = true;
	x->head = *head;
	/* In a stream only complete events count as data, so its head doesn't. */
	if (!x->stream || head->refused)
		x->last_chunk_at = now;
}

static bool buffer_data(ap_exchange_t *x, const void *data, size_t len)
{
	if (x->buffer_len + len > x->buffer_size) {
		size_t size = x->buffer_size ? x->buffer_size : 1024;
		char *bigger;

		while (size < x->buffer_len + len)
			size *= 2;
		bigger = realloc(x->buffer, size);
		if (!bigger)
			return false;
		x->buffer = bigger;
		x->buffer_size = size;
	}
	memcpy(x->buffer + x->buffer_len, data, len);
	x->buffer_len += len;
	return true;
}

static void commit(ap_exchange_t *x)
{
	if (x->committed)
		return;
	x->committed = true;
	x->ops->head(x->ctx);
}

static void deliver_range(ap_exchange_t *x, size_t from, size_t to, ap_usec_t now)
{
	if (to <= from)
		return;
	if (x->first_chunk_at == 0)
		x->first_chunk_at = now;
	commit(x);
	x->bytes += to - from;
	x->ops->data(x->ctx, x->buffer + from, to - from);
}

uint64_t ap_exchange_build(const ap_exchange_t *x)
{
	return x->target.remote ? x->head.build : x->target.build;
}

/* From its first event on, a stream may only be resumed at the same build. */
static void keep_build(ap_exchange_t *x)
{
	if (x->req.build != 0 || x->committed)
		return;
	x->req.build = ap_exchange_build(x);
	/* At an upstream whose build isn't known, it can't go on elsewhere. */
	if (x->target.remote && x->req.build == 0)
		x->retryable = false;
}

/* Delivers complete events; an incomplete one stays in the buffer. */
static void deliver_events(ap_exchange_t *x, ap_usec_t now)
{
	size_t complete = ap_sse_complete_len(x->buffer, x->buffer_len, x->scanned);
	size_t from = 0;

	x->scanned = x->buffer_len;
	if (complete == 0)
		return;
	if (x->resuming)
		from = ap_sse_after(x->buffer, complete, x->last_event_id);
	x->last_chunk_at = now;
	x->ops->first_chunk(x->ctx, &x->inflight);
	if (from < complete)
		keep_build(x);
	deliver_range(x, from, complete, now);
	if (from < complete) {
		x->resuming = false;
		ap_sse_last_id(x->buffer, complete, x->last_event_id);
	}
	memmove(x->buffer, x->buffer + complete, x->buffer_len - complete);
	x->buffer_len -= complete;
	x->scanned = x->buffer_len;
}

static bool is_success(const ap_exchange_t *x)
{
	return x->head.status >= 200 && x->head.status < 300 && !x->head.refused;
}

void ap_exchange_data(ap_exchange_t *x, const void *data, size_t len, ap_usec_t now)
{
	if (x->finished || !x->in_flight || len == 0)
		return;
	if (x->buffer_len + len > BUFFERED_MAX && is_success(x) && !x->stream) {
		/* The response is too large to be held until it is complete. */
		deliver_range(x, 0, x->buffer_len, now);
		x->buffer_len = 0;
	}
	if (!buffer_data(x, data, len)) {
		/* Out of memory: cancels the attempt, which may have run, and reports a failure. */
		cancel_attempt(x, AP_DISPATCH_CANCELLED);
		x->runs++;
		reply_error(x, AP_REASON_BROKEN, now);
		return;
	}
	if (x->stream && is_success(x))
		deliver_events(x, now);
	else
		x->last_chunk_at = now;
	/* An event, or an error's body, that doesn't end. */
	if (x->buffer_len > BUFFERED_MAX && (x->stream || !is_success(x))) {
		x->ops->drop_connection(x->ctx);
		ap_exchange_end(x, AP_CONNECTION_BROKEN, now);
	}
}

/*
 * Callers take these statuses to mean that the request didn't run, so an error with one of them
 * must not be delivered. A refusal that the upstream states is handled before.
 */
static bool implies_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void deliver_response(ap_exchange_t *x, ap_usec_t now)
{
	deliver_range(x, 0, x->buffer_len, now);
	commit(x);
	x->finished = true;
	x->ops->end(x->ctx);
}

/* A complete response, not a refusal, with a status other than 2xx. */
static void handle_error_response(ap_exchange_t *x, ap_usec_t now)
{
	bool error = x->head.status >= 500;

	finish_attempt(x, error ? AP_DISPATCH_ERROR : AP_DISPATCH_DONE);
	x->runs++;
	if (error && x->committed)
		reply_error(x, AP_REASON_BROKEN, now);
	else if (error && may_run_again(x, now))
		retry_or_reply(x, AP_DISPATCH_ERROR, AP_REASON_BROKEN, now);
	else if (!x->head.from_replica || implies_not_run(x->head.status))
		reply_error(x, AP_REASON_UNPROVED, now);
	else
		deliver_response(x, now);
}

static void response_complete(ap_exchange_t *x, bool closed, ap_usec_t now)
{
	/* Without framing, a stream is complete if it ends between two events. */
	bool truncated = x->stream && is_success(x) &&
			 (x->buffer_len > 0 || (closed && !x->inflight.has_first_chunk));

	if (x->has_head && x->head.refused) {
		target_refused(x, now);
	} else if (x->has_head && !is_success(x)) {
		handle_error_response(x, now);
	} else if (!x->has_head || truncated) {
		finish_attempt(x, AP_DISPATCH_BROKEN);
		target_failed(x, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
	} else {
		x->ops->first_chunk(x->ctx, &x->inflight);
		finish_attempt(x, AP_DISPATCH_DONE);
		x->runs++;
		deliver_response(x, now);
	}
}

void ap_exchange_end(ap_exchange_t *x, ap_connection_end_t end, ap_usec_t now)
{
	if (x->finished || !x->in_flight)
		return;
	x->connection_end = end;
	switch (end) {
	case AP_CONNECTION_OPEN:
		break;
	case AP_CONNECTION_COMPLETE:
	case AP_CONNECTION_COMPLETE_ON_CLOSE:
		response_complete(x, end == AP_CONNECTION_COMPLETE_ON_CLOSE, now);
		break;
	case AP_CONNECTION_UNSENT:
		finish_attempt(x, AP_DISPATCH_UNREACHABLE);
		x->req.unreachable += !x->target.remote;
		avoid_target(x);
		x->ops->log_step(x->ctx, AP_STEP_UNREACHABLE, &x->target);
		dispatch_after_unsent(x, now);
		break;
	case AP_CONNECTION_BROKEN:
		/* A refusal counts even if its body was cut short. */
		if (x->has_head && x->head.refused) {
			target_refused(x, now);
			break;
		}
		finish_attempt(x, AP_DISPATCH_BROKEN);
		target_failed(x, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
		break;
	case AP_CONNECTION_TIMED_OUT:
		finish_attempt(x, AP_DISPATCH_TIMED_OUT);
		target_failed(x, AP_DISPATCH_TIMED_OUT, AP_REASON_BROKEN, now);
		break;
	}
}

void ap_exchange_caller_disconnected(ap_exchange_t *x)
{
	if (!x->finished)
		x->ops->log_step(x->ctx, AP_STEP_CALLER_DISCONNECTED,
				 x->in_flight ? &x->target : NULL);
	cancel_attempt(x, AP_DISPATCH_CANCELLED);
	x->finished = true;
}

void ap_exchange_clear(ap_exchange_t *x)
{
	ap_exchange_caller_disconnected(x);
	free(x->buffer);
	x->buffer = NULL;
}

/* How long a target may send no data before another one is tried. */
static ap_usec_t no_data_limit(const ap_exchange_t *x)
{
	const ap_plan_route_t *route = x->req.route;

	if (!x->retryable || x->runs + 1 >= x->attempts)
		return AP_NEVER;
	if (x->inflight.has_first_chunk && x->stream)
		return route->event_gap > 0 ? route->event_gap : AP_NEVER;
	return NO_DATA_WAITS * x->target.wait + route->objective / NO_DATA_OBJECTIVE_DIVISOR;
}

static ap_usec_t abort_at(const ap_exchange_t *x)
{
	return x->committed ? x->timeout_at + ABORT_MARGIN : x->timeout_at;
}

ap_usec_t ap_exchange_due(const ap_exchange_t *x)
{
	ap_usec_t limit = no_data_limit(x);
	ap_usec_t due = abort_at(x);

	if (x->finished)
		return AP_NEVER;
	if (x->in_flight && limit != AP_NEVER && x->last_chunk_at + limit < due)
		due = x->last_chunk_at + limit;
	return due;
}

void ap_exchange_tick(ap_exchange_t *x, ap_usec_t now)
{
	ap_usec_t limit = no_data_limit(x);
	ap_fleet_status_t status;
	ap_target_t other;

	if (x->finished)
		return;
	if (now >= abort_at(x)) {
		x->runs += x->in_flight;
		cancel_attempt(x, AP_DISPATCH_TIMED_OUT);
		reply_error(x, AP_REASON_TIMEOUT, now);
		return;
	}
	if (!x->in_flight || limit == AP_NEVER || now < x->last_chunk_at + limit)
		return;
	/*
	 * Switch only if another target is available: the current one may still respond. Otherwise
	 * wait as long again.
	 */
	avoid_target(x);
	status = x->ops->choose(x->ctx, &x->req, &other);
	if (status != AP_FLEET_OK || !x->ops->may_retry(x->ctx)) {
		x->no_other = status == AP_FLEET_OK ? AP_REASON_BUDGET : reason_for(x, status);
		x->last_chunk_at = now;
		return;
	}
	x->retry_counted = true;
	cancel_attempt(x, AP_DISPATCH_TIMED_OUT);
	x->ops->log_step(x->ctx, AP_STEP_TIMED_OUT, &x->target);
	target_failed(x, AP_DISPATCH_TIMED_OUT, AP_REASON_TIMEOUT, now);
}
