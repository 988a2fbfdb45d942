/* What refusals, and the lack of a target, mean to the caller of a request. */
#include "exchange/private.h"

#define RETRY_AFTER_DEFAULT (500 * AP_MSEC) /* when no wait is known */
#define RETRY_AFTER_DIVISOR 3 /* Retry-After is at most the remaining time divided by this */

ap_usec_t ap_exchange_retry_after(const ap_exchange_t *x, ap_usec_t now)
{
	ap_usec_t left = (x->req.deadline - now) / RETRY_AFTER_DIVISOR;
	ap_usec_t wait = RETRY_AFTER_DEFAULT;

	/* Earlier, it would be refused again. */
	if (x->pause > 0)
		return x->pause < RETRY_AFTER_MIN ? RETRY_AFTER_MIN : x->pause;
	if (x->reason == AP_REASON_TOO_LATE && x->target.retry_after > RETRY_AFTER_MIN)
		return x->target.retry_after;
	if (x->reason == AP_REASON_TOO_LATE)
		wait = x->target.wait - x->req.route->objective / 2;
	else if (x->reason == AP_REASON_HELD)
		wait = x->target.wait;
	if (wait > left)
		wait = left;
	return wait < RETRY_AFTER_MIN ? RETRY_AFTER_MIN : wait;
}

ap_reason_t ap_exchange_reason(const ap_exchange_t *x, ap_fleet_status_t status)
{
	if (status == AP_FLEET_HELD)
		return AP_REASON_HELD;
	if (x->refusals > 0)
		return AP_REASON_REFUSED;
	if (status == AP_FLEET_BACKOFF)
		return AP_REASON_BACKOFF;
	return status == AP_FLEET_LATE ? AP_REASON_TOO_LATE : AP_REASON_NO_UPSTREAM;
}

ap_usec_t ap_exchange_pause_for(const ap_exchange_t *x, ap_fleet_status_t status)
{
	if (status == AP_FLEET_BACKOFF)
		return x->target.wait;
	return status == AP_FLEET_NONE && x->untold == 0 ? x->told : 0;
}

void ap_exchange_count_refusal(ap_exchange_t *x, ap_usec_t retry_after)
{
	x->refusals++;
	if (retry_after <= 0)
		x->untold++;
	else if (x->told == 0 || retry_after < x->told)
		x->told = retry_after;
}
