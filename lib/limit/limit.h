/*
 * Admission by class and deadline, each caller's limits shared over the entries that serve it,
 * and the entry task's retry budget. The code here does no I/O and reads no clock.
 */
#ifndef AP_LIMIT_H
#define AP_LIMIT_H

#include "base/base.h"
#include "conf/conf.h"

/* Decision about a request that asks for admission. */
typedef enum ap_admission_decision {
	AP_ADMIT_NOW,	     /* start it */
	AP_ADMIT_QUEUE,	     /* wait; a callback starts or sheds it later */
	AP_ADMIT_SHED,	     /* 503 at once */
	AP_ADMIT_OVER_LIMIT, /* 429: the caller is over its own limits */
} ap_admission_decision_t;

typedef struct ap_admission ap_admission_t;

/**
 * struct ap_admission_config - set once, when admission starts.
 * @queue_max: most requests that may be queued, over all classes
 * @ready: starts a queued request, which is counted as running already; may admit, end or cancel
 *	requests
 * @shed: rejects a queued request; @retry_after in microseconds; may not admit another request
 */
typedef struct ap_admission_config {
	size_t queue_max;
	ap_env_t env;
	void (*ready)(void *ctx, uint64_t token);
	void (*shed)(void *ctx, uint64_t token, ap_usec_t retry_after);
} ap_admission_config_t;

/**
 * struct ap_admission_request - a request that asks for admission.
 * @token: the driver's handle for the request, unique among the requests in progress
 * @caller: whose limits apply, or NULL
 * @forwarded: another region forwarded it
 * @home_bound: its data must stay in the caller's home region
 * @deadline: absolute time by which its first byte is due
 * @expected: expected microseconds from its start to its first byte
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
/**
 * ap_admission_set_capacity() - sets how many requests may run at once, the sum of the upstreams'
 * concurrency limits; may call ready or shed.
 */
void ap_admission_set_capacity(ap_admission_t *a, size_t running_max, ap_usec_t now);
/**
 * ap_admission_admit() - decides about one request.
 * @wait: microseconds; the expected wait if the request is queued, or the time until the caller may
 *	retry if it is refused
 */
ap_admission_decision_t ap_admission_admit(ap_admission_t *a, const ap_admission_request_t *req,
					   ap_usec_t now, ap_usec_t *wait);
/** ap_admission_done() - an admitted request ended; may call ready or shed. */
void ap_admission_done(ap_admission_t *a, uint64_t token, ap_usec_t now);
/** ap_admission_cancel() - removes a queued request whose caller disconnected. */
void ap_admission_cancel(ap_admission_t *a, uint64_t token, ap_usec_t now);
/**
 * ap_admission_tick() - sheds queued requests that can't meet their deadlines and starts those
 * for which a slot is free. Call it every 20 ms while requests are queued, else every second.
 */
void ap_admission_tick(ap_admission_t *a, ap_usec_t now);
/** ap_admission_queued() - returns the number of queued requests, over all classes. */
size_t ap_admission_queued(const ap_admission_t *a);

/* Retry budget of one entry. The gateway uses another one: lib/fleet/retry-budget.c. */
typedef struct ap_retry_budget ap_retry_budget_t;

/** ap_retry_budget_new() - @ratio is the number of retries allowed per request, e.g. 0.1. */
ap_retry_budget_t *ap_retry_budget_new(double ratio, const ap_env_t *env);
void ap_retry_budget_free(ap_retry_budget_t *b);
/** ap_retry_budget_request() - counts a first attempt, which adds to the budget. */
void ap_retry_budget_request(ap_retry_budget_t *b, ap_usec_t now);
/**
 * ap_retry_budget_take() - takes one retry from the budget.
 * @deadline: absolute time by which the first byte of the response is due
 * @expected: expected microseconds until that byte
 *
 * Return: false when the budget is spent or the retry can't meet the deadline.
 */
bool ap_retry_budget_take(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
			  ap_usec_t expected);
/**
 * ap_retry_budget_take_class() - as ap_retry_budget_take(), but grants @cls no retry when
 * few are left, so that more urgent classes get them.
 */
bool ap_retry_budget_take_class(ap_retry_budget_t *b, ap_class_t cls, ap_usec_t now,
				ap_usec_t deadline, ap_usec_t expected);
/**
 * ap_retry_budget_take_reserve() - as ap_retry_budget_take(), for a request that was lost on a
 * silent connection, on which nothing arrives any more. Takes the retry from a reserve, which only
 * unspent budget refills.
 */
bool ap_retry_budget_take_reserve(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
				  ap_usec_t expected);
/** ap_retry_budget_retried() - counts a dispatched retry; asserts that the budget granted it. */
void ap_retry_budget_retried(ap_retry_budget_t *b);

#endif
