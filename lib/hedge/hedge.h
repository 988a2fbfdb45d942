/*
 * Second attempts (hedged requests): when a request that has no response yet may be sent to a
 * second upstream, and whether it may. What responses usually take is learned from the upstreams'
 * own ones, of this instance alone. The code here does no I/O and reads no clock.
 * docs/design/second-attempts.md tells who asks it what.
 */
#ifndef AP_HEDGE_H
#define AP_HEDGE_H

#include "base/base.h"

#define AP_HEDGE_SHARE_MAX 0.2 /* of a pool's requests, at most */

typedef struct ap_hedge ap_hedge_t;

/**
 * struct ap_hedge_class - requests whose response times are compared.
 * @pool: that serves them
 * @kind: of the request, as its route says; any small number
 * @tokens: of the prompt that an engine has to process, without what it has cached; 0 for a plain
 *	service. Sizes of one power of two are one class
 */
typedef struct ap_hedge_class {
	const char *pool;
	unsigned kind;
	uint32_t tokens;
} ap_hedge_class_t;

/**
 * struct ap_hedge_question - what decides whether a second attempt is sent. Times are durations.
 * @elapsed: since the first attempt was sent
 * @left: until the request's deadline
 * @first_wait: expected time to the response at the first target, when it was sent there
 * @wait: likewise at the second target, from now on
 * @free_slot: the second target has one, as far as known
 * @over_allowance: the request's customer has used up its allowance
 */
typedef struct ap_hedge_question {
	ap_hedge_class_t of;
	ap_usec_t elapsed;
	ap_usec_t left;
	ap_usec_t first_wait;
	ap_usec_t wait;
	bool free_slot;
	bool over_allowance;
} ap_hedge_question_t;

/* Why a second attempt that was due is not sent. */
typedef enum ap_hedge_verdict {
	AP_HEDGE_SEND,
	AP_HEDGE_SHARE,	     /* the pool's share is used up */
	AP_HEDGE_NO_TARGET,  /* no second target is usable */
	AP_HEDGE_CAPACITY,   /* the second target has no free slot */
	AP_HEDGE_NOT_SOONER, /* it isn't expected to respond before the first one */
	AP_HEDGE_LATE,	     /* it would respond after the deadline */
	AP_HEDGE_ALLOWANCE,  /* the customer is over its allowance */
	AP_HEDGE_BUDGET,     /* the retry budget is used up */
	AP_HEDGE_VERDICTS,
} ap_hedge_verdict_t;

/** ap_hedge_verdict_name() - the verdict's name in metrics. */
const char *ap_hedge_verdict_name(ap_hedge_verdict_t verdict);

/**
 * ap_hedge_new() - @share: of a pool's requests that may be sent a second time, above 0 and at most
 * AP_HEDGE_SHARE_MAX.
 *
 * Return: NULL when out of memory.
 */
ap_hedge_t *ap_hedge_new(double share);
void ap_hedge_free(ap_hedge_t *h);
/** ap_hedge_set_share() - changes the share; what was learned stays. */
void ap_hedge_set_share(ap_hedge_t *h, double share);
/** ap_hedge_request() - a caller's request for @pool arrived, so that its share grows. */
void ap_hedge_request(ap_hedge_t *h, const char *pool, ap_usec_t now);
/**
 * ap_hedge_response() - an upstream of this region responded.
 * @took: from the send to the first event of a stream, else to the end of the response, in
 *	microseconds
 */
void ap_hedge_response(ap_hedge_t *h, const ap_hedge_class_t *of, ap_usec_t took, ap_usec_t now);
/**
 * ap_hedge_unfinished() - an attempt was given up without a response after @took. It counts as one
 * that takes longer, if that is known to be slow; otherwise it shows nothing.
 */
void ap_hedge_unfinished(ap_hedge_t *h, const ap_hedge_class_t *of, ap_usec_t took, ap_usec_t now);
/**
 * ap_hedge_delay() - returns how long after its send an attempt without a response is slow:
 * longer than 95 in 100 responses take. AP_NEVER while too few responses are known.
 */
ap_usec_t ap_hedge_delay(ap_hedge_t *h, const ap_hedge_class_t *of, ap_usec_t now);
/**
 * ap_hedge_judge() - decides whether a second attempt that is due may be sent; takes nothing from
 * the share.
 */
ap_hedge_verdict_t ap_hedge_judge(ap_hedge_t *h, const ap_hedge_question_t *q, ap_usec_t now);
/** ap_hedge_sent() - a second attempt was sent for a request to @pool. */
void ap_hedge_sent(ap_hedge_t *h, const char *pool, ap_usec_t now);

#endif
