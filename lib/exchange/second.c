/*
 * A second attempt (hedged request) beside one that has no response after the time in which most
 * have. The driver knows that time, and decides whether the second one is sent.
 */
#include "exchange/private.h"

/*
 * For how long a second upstream may have a stream without accepting it. With what two that have
 * accepted it are kept for (BESIDE_MAX), it stays below the 400 ms for which two may work on one.
 */
#define UNACCEPTED_MAX (250 * AP_MSEC)

/* Returns whether no part of the response of @a has come. */
static bool has_nothing(const ap_exchange_t *x, const ap_attempt_t *a)
{
	if (x->stream)
		return !a->inflight.has_first_chunk && (!a->has_head || is_success(a));
	return !a->has_head;
}

/*
 * Returns whether the route allows another attempt. A stream that has begun may need one more, to
 * go on elsewhere or to confirm its end, as it would without a second attempt.
 */
static bool has_attempts(const ap_exchange_t *x)
{
	return x->runs + (x->stream ? 2 : 1) < x->attempts;
}

ap_usec_t ap_exchange_second_due(const ap_exchange_t *x)
{
	const ap_attempt_t *a = &x->slot[x->current];

	if (!a->in_flight || a->slow_at == AP_NEVER || x->seconds > 0 || in_flight(x) != 1 ||
	    x->paused || a->checking || !x->retryable || !has_attempts(x))
		return AP_NEVER;
	/* The sender of a forwarded request decides. What an instance is slow at isn't known. */
	if (x->req.local_only || a->target.remote)
		return AP_NEVER;
	if (x->committed || x->taken_up || x->events > 0 || !has_nothing(x, a))
		return AP_NEVER;
	return a->slow_at;
}

/* Finds another upstream of this region; the first one stays a target for later attempts. */
static bool find_target(const ap_exchange_t *x, const ap_attempt_t *a, ap_target_t *target)
{
	ap_dispatch_t req = x->req;

	req.local_only = true;
	ap_names_add(req.avoid, &req.n_avoid, a->target.id);
	return x->ops->choose(x->ctx, &req, target) == AP_FLEET_OK && !target->remote;
}

void ap_exchange_send_second(ap_exchange_t *x, ap_usec_t now)
{
	ap_attempt_t *a = current(x);
	ap_target_t target;
	bool found;

	/* It is decided once. */
	a->slow_at = AP_NEVER;
	if (!ap_exchange_may_run_again(x, now))
		return;
	found = find_target(x, a, &target);
	if (!x->ops->second(x->ctx, &a->target, now - a->sent_at, found ? &target : NULL))
		return;
	if (ap_attempt_send(x, other_than(x, a), &target, true, now))
		x->seconds++;
}

ap_usec_t ap_exchange_unaccepted_until(const ap_exchange_t *x)
{
	const ap_attempt_t *second = &x->slot[!x->current];

	if (!x->stream || in_flight(x) != AP_SLOTS || !second->second || second->accepted_at != 0 ||
	    second->checking || x->slot[x->current].checking)
		return AP_NEVER;
	return second->sent_at + UNACCEPTED_MAX;
}

void ap_exchange_drop_second(ap_exchange_t *x)
{
	ap_attempt_t *second = &x->slot[!x->current];

	x->runs++;
	ap_attempt_cancel(x, second, AP_DISPATCH_CANCELLED);
	x->ops->log_step(x->ctx, AP_STEP_CANCELLED, &second->target);
}
