/*
 * How much is taken on: admission by class with deadlines, a concurrency limit per upstream,
 * callers' rates shared over their entries, and the retry budget. Pure decisions.
 */
#ifndef AP_LIMIT_H
#define AP_LIMIT_H

#include "base/base.h"
#include "conf/conf.h"

/* What becomes of a request that asks to start. */
typedef enum ap_admit {
	AP_ADMIT_NOW,	     /* start it */
	AP_ADMIT_QUEUE,	     /* wait; a callback tells when to start or that it was shed */
	AP_ADMIT_SHED,	     /* 503 at once */
	AP_ADMIT_OVER_LIMIT, /* 429: the caller is over its own limit */
} ap_admit_t;

typedef struct ap_admission ap_admission_t;

/**
 * struct ap_admission_config - made once at start.
 * @queue_max: requests waiting over all classes
 * @ready: starts a queued request; it was counted as running before the call
 * @shed: a queued request is given up; @retry_after in microseconds; may not ask for another one
 */
typedef struct ap_admission_config {
	size_t queue_max;
	ap_env_t env;
	void (*ready)(void *ctx, uint64_t token);
	void (*shed)(void *ctx, uint64_t token, ap_usec_t retry_after);
} ap_admission_config_t;

/**
 * struct ap_admission_request - a request at the door.
 * @token: the driver's handle, unique among those in progress
 * @guest: forwarded from another region
 * @deadline: absolute time of the first byte
 * @work: expected microseconds until its first byte
 * @share: part of the caller's limits that this entry enforces, 0 to 1
 */
typedef struct ap_admission_request {
	uint64_t token;
	const ap_caller_t *caller;
	ap_class_t cls;
	bool forwarded;
	bool home_bound;
	ap_usec_t deadline;
	ap_usec_t expected;
	double share;
} ap_admission_request_t;

ap_admission_t *ap_admission_new(const ap_admission_config_t *config);
void ap_admission_free(ap_admission_t *a);
/** ap_admission_set_capacity() - requests that may run at once, from the upstreams' limits. */
void ap_admission_set_capacity(ap_admission_t *a, size_t running_max, ap_usec_t now);
/**
 * ap_admission_admit() - decides about one request.
 * @retry_after: microseconds; when queued the expected wait, when refused when to come again
 */
ap_admit_t ap_admission_admit(ap_admission_t *a, const ap_admission_request_t *req, ap_usec_t now,
			      ap_usec_t *retry_after);
/** ap_admission_done() - an admitted request ended; may call ready or shed. */
void ap_admission_done(ap_admission_t *a, uint64_t token, ap_usec_t now);
/** ap_admission_cancel() - a queued request's caller hung up. */
void ap_admission_cancel(ap_admission_t *a, uint64_t token, ap_usec_t now);
/**
 * ap_admission_tick() - sheds what is late and starts what fits; call it every 20 ms while
 * anything is queued, and every second otherwise.
 */
void ap_admission_tick(ap_admission_t *a, ap_usec_t now);
/** ap_admission_queued() - requests waiting over all classes. */
size_t ap_admission_queued(const ap_admission_t *a);

typedef struct ap_retry_budget ap_retry_budget_t;

/** ap_retry_budget_new() - retries allowed as a part of requests, e.g. 0.1. */
ap_retry_budget_t *ap_retry_budget_new(double ratio, const ap_env_t *env);
void ap_retry_budget_free(ap_retry_budget_t *b);
void ap_retry_budget_request(ap_retry_budget_t *b, ap_usec_t now);
/** ap_retry_budget_take() - true when one retry fits the budget and the deadline. */
bool ap_retry_budget_take(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
			  ap_usec_t expected);

/**
 * ap_retry_budget_take_class() - as ap_retry_budget_take(), but what is left of a low budget is
 * kept for the higher classes.
 */
bool ap_retry_budget_take_class(ap_retry_budget_t *b, ap_class_t cls, ap_usec_t now,
				ap_usec_t deadline, ap_usec_t expected);
/**
 * ap_retry_budget_take_reserve() - as ap_retry_budget_take(), for a request that was lost on a
 * silent connection: paid from a reserve that only budget left unspent fills.
 */
bool ap_retry_budget_take_reserve(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
				  ap_usec_t expected);
/** ap_retry_budget_retried() - a retry is dispatched; asserts that the budget granted it. */
void ap_retry_budget_retried(ap_retry_budget_t *b);

#endif
