/* Per-caller limits: one entry's share of each caller's rate, burst and concurrency. */
#ifndef AP_LIMIT_CALLER_H
#define AP_LIMIT_CALLER_H

#include "conf/conf.h"

typedef struct ap_caller_limits ap_caller_limits_t;

ap_caller_limits_t *ap_caller_limits_new(void);
void ap_caller_limits_free(ap_caller_limits_t *l);
/**
 * ap_caller_limits_take() - counts one request of @caller against this entry's @share of its
 * limits.
 * @share: 0 to 1
 * @retry_after: set when the caller is over its limits: microseconds until it may retry
 *
 * Return: false when the caller is over its limits; the request is then not counted.
 */
bool ap_caller_limits_take(ap_caller_limits_t *l, const ap_caller_t *caller, double share,
			   ap_usec_t now, ap_usec_t *retry_after);
/** ap_caller_limits_done() - ends a counted request of the caller @name. */
void ap_caller_limits_done(ap_caller_limits_t *l, const char *name);
/**
 * ap_caller_limits_sweep() - frees the buckets that are full again and whose callers have no
 * running requests.
 */
void ap_caller_limits_sweep(ap_caller_limits_t *l, ap_usec_t now);

#endif
