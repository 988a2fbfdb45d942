/* Callers' limits as one entry enforces them: its share of rate, burst and concurrency. */
#ifndef AP_LIMIT_CALLER_H
#define AP_LIMIT_CALLER_H

#include "conf/conf.h"

typedef struct ap_caller_limits ap_caller_limits_t;

ap_caller_limits_t *ap_caller_limits_new(void);
void ap_caller_limits_free(ap_caller_limits_t *l);
/**
 * ap_caller_limits_take() - counts one request of @caller against @share of its limits.
 * @retry_after: when it is over them: microseconds until it may come again
 */
bool ap_caller_limits_take(ap_caller_limits_t *l, const ap_caller_t *caller, double share,
			   ap_usec_t now, ap_usec_t *retry_after);
/** ap_caller_limits_done() - a counted request of the caller @name ended. */
void ap_caller_limits_done(ap_caller_limits_t *l, const char *name);
/** ap_caller_limits_sweep() - forgets callers whose bucket is full again. */
void ap_caller_limits_sweep(ap_caller_limits_t *l, ap_usec_t now);

#endif
