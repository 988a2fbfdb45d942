/*
 * Whether the end of a success is that of the work. An upstream that stops early may end its
 * response in order, as HTTP servers do when a handler returns.
 */
#include "exchange/private.h"

#include <string.h>

/*
 * The upstream may see its deadline this much earlier: it is told whole milliseconds, and timers
 * may be as coarse as a tick.
 */
#define DEADLINE_MARGIN (10 * AP_MSEC)
/* A caller may see its deadline this much earlier. */
#define CALLER_MARGIN (50 * AP_MSEC)

bool ap_exchange_time_is_up(const ap_exchange_t *x, ap_usec_t now)
{
	return now >= x->timeout_at - DEADLINE_MARGIN;
}

bool ap_exchange_in_time(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now)
{
	return !ap_exchange_time_is_up(x, now) ||
	       !ap_exchange_time_is_up(x, ap_attempt_arrival(x, a, now));
}

/* Returns whether the upstream said before its deadline where its response ends. */
static bool stated_in_time(const ap_exchange_t *x, const ap_attempt_t *a, bool closed,
			   ap_usec_t now)
{
	if (a->head.sized)
		return a->head_in_time;
	/* It isn't known when a close arrived. */
	return closed ? !ap_exchange_time_is_up(x, now) : ap_exchange_in_time(x, a, now);
}

static bool caller_has_events(const ap_exchange_t *x)
{
	return x->events > 0 || x->last_event_id[0] != '\0';
}

/*
 * Returns whether nothing shows that the upstream was at work on the stream, which has ended, or
 * that it got as far as the caller is.
 */
static bool lacks_events(const ap_exchange_t *x, const ap_attempt_t *a, bool closed)
{
	if (a->behind || (x->begun_id[0] && !ap_exchange_has_id(x, x->begun_id)))
		return true;
	return x->stream && !a->head.bodiless && !a->inflight.has_first_chunk &&
	       (closed || !caller_has_events(x));
}

/* Returns whether the stream is as long as the request allows. */
static bool has_all_events(const ap_exchange_t *x)
{
	/* Events beyond that, or those that the caller has from before, say nothing of the rest. */
	return x->events > 0 && x->events == ap_exchange_events_max(x) && !x->taken_up;
}

/* Returns how much time was left when the response of @a ended. */
static ap_usec_t left_at_end(const ap_exchange_t *x, const ap_attempt_t *a, bool closed,
			     ap_usec_t now)
{
	return x->timeout_at - (closed ? now : ap_attempt_arrival(x, a, now));
}

/*
 * Returns whether the upstream may have ended its response, whose length it had not stated before,
 * since the next piece would have come after its deadline.
 */
static bool may_lack_time(const ap_exchange_t *x, const ap_attempt_t *a, bool closed, ap_usec_t now)
{
	ap_usec_t left = left_at_end(x, a, closed, now);

	if (ap_attempt_sized_before(x, a) || a->head.bodiless)
		return false;
	return left <= ap_attempt_next_piece(x, a, x->timeout_at - left);
}

/*
 * Returns whether the instance next to the upstream saw that. Links on the way here may hold events
 * and pass them on together, so that they show no pace.
 */
static bool is_marked_near_deadline(const ap_exchange_t *x, const ap_attempt_t *a, bool closed,
				    ap_usec_t now)
{
	ap_usec_t gap = x->req.route->event_gap;

	return a->marked && (gap == 0 || left_at_end(x, a, closed, now) <= gap);
}

ap_doubt_t ap_attempt_doubt(const ap_exchange_t *x, const ap_attempt_t *a, bool closed,
			    ap_usec_t now)
{
	/* At its deadline, an upstream responds with an error of its own. */
	if (a->head.status >= 500)
		return AP_DOUBT_NONE;
	if (x->stream && is_success(a) && a->buffer_len > 0)
		return AP_DOUBT_TRUNCATED;
	if (is_success(a) && has_all_events(x))
		return AP_DOUBT_NONE;
	if (!stated_in_time(x, a, closed, now))
		return AP_DOUBT_DEADLINE;
	if (!is_success(a))
		return AP_DOUBT_NONE;
	if (lacks_events(x, a, closed))
		return AP_DOUBT_NO_EVENT;
	return may_lack_time(x, a, closed, now) || is_marked_near_deadline(x, a, closed, now)
		       ? AP_DOUBT_PACE
		       : AP_DOUBT_NONE;
}

/* Returns whether the upstream may have ended the response as its process stopped. */
static bool may_have_stopped(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t within,
			     ap_usec_t now)
{
	ap_usec_t late = now - ap_attempt_arrival(x, a, now);

	return !a->target.remote && !a->head.sized && !has_all_events(x) && x->ops->stopped &&
	       x->ops->stopped(x->ctx, &a->target, within - late);
}

/* Returns whether another upstream has the time to say that the stream has a further event. */
static bool may_ask(const ap_exchange_t *x, ap_usec_t now)
{
	return x->timeout_at - now - CALLER_MARGIN > x->first_pause &&
	       ap_exchange_may_run_again(x, now);
}

/*
 * Returns whether a next event might have come after the deadline, or the announced stop, which
 * another upstream can tell.
 */
static bool may_lack_event(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now)
{
	if (x->events == 0 || a->head.sized || has_all_events(x) || x->end_stated ||
	    x->req.local_only || !may_ask(x, now))
		return false;
	return x->timeout_at - now <= x->req.route->event_gap ||
	       may_have_stopped(x, a, ap_attempt_next_piece(x, a, now), now);
}

ap_doubt_t ap_attempt_unconfirmed(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now)
{
	if ((a->marked && !has_all_events(x)) || may_have_stopped(x, a, 0, now))
		return AP_DOUBT_STOPPED;
	/* The sender of a forwarded request decides. */
	if (x->stream && !a->head.bodiless && a->resuming && caller_has_events(x) &&
	    !x->end_stated && !x->req.local_only)
		return AP_DOUBT_NO_EVENT;
	return may_lack_event(x, a, now) ? AP_DOUBT_GAP : AP_DOUBT_NONE;
}

void ap_attempt_doubted(ap_exchange_t *x, ap_attempt_t *a, ap_doubt_t doubt, ap_usec_t now)
{
	x->doubt = doubt;
	switch (doubt) {
	case AP_DOUBT_DEADLINE:
		ap_attempt_failed(x, a, AP_DISPATCH_TIMED_OUT, AP_REASON_TIMEOUT, now);
		break;
	case AP_DOUBT_PACE:
		x->end_stated = x->stream && caller_has_events(x);
		if (a->marked)
			ap_exchange_next_takes(x, x->timeout_at - now);
		/* The sender of a forwarded request holds it. */
		if (x->end_stated && !x->req.local_only && x->belief == AP_END_UNKNOWN)
			x->belief = AP_END_UNPROVED;
		if (!may_ask(x, now))
			x->retryable = false;
		/* The end may be right, so it isn't held against the upstream. */
		ap_attempt_failed(x, a, AP_DISPATCH_CANCELLED, AP_REASON_TIMEOUT, now);
		break;
	default:
		ap_attempt_failed(x, a, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
		break;
	}
}

bool ap_exchange_shows_length(const ap_exchange_t *x)
{
	return x->stream && x->req.local_only && x->attempts == 1 && !x->taken_up;
}

bool ap_attempt_sender_confirms(ap_exchange_t *x, ap_attempt_t *a, ap_doubt_t doubt)
{
	if (!x->req.local_only || !x->stream || !x->committed)
		return false;
	if (a->marked)
		return true;
	a->marked = true;
	x->doubt = doubt;
	/* A length that is passed on leaves no room for the mark. */
	if (!a->head.sized || !ap_exchange_shows_length(x))
		x->ops->data(x->ctx, AP_EXCHANGE_UNCONFIRMED, strlen(AP_EXCHANGE_UNCONFIRMED));
	return true;
}

void ap_attempt_confirm(ap_exchange_t *x, ap_attempt_t *a, ap_doubt_t doubt, ap_usec_t now)
{
	x->doubt = doubt;
	x->end_stated = x->stream && caller_has_events(x);
	if (doubt == AP_DOUBT_GAP)
		x->belief = AP_END_PRESUMED;
	/* The end may be right, so it isn't held against the upstream. */
	ap_attempt_failed(x, a, AP_DISPATCH_CANCELLED, AP_REASON_BROKEN, now);
}

ap_usec_t ap_exchange_settled_at(const ap_exchange_t *x)
{
	switch (x->belief) {
	case AP_END_PRESUMED:
		return x->timeout_at - CALLER_MARGIN;
	case AP_END_UNPROVED:
		return x->timeout_at;
	case AP_END_UNKNOWN:
		break;
	}
	return AP_NEVER;
}
