/*
 * Retry budget: each first attempt adds a fraction of a token and each retry takes a token, so that
 * failures can't multiply the load.
 */
#include "limit/limit.h"

#include <math.h>
#include <stdlib.h>

#define TOKENS_INITIAL 1.0    /* lets an entry with little traffic retry once */
#define RETRY_TOKENS_MAX 20.0 /* limits a burst of retries after a time without failures */
#define RESERVE_MAX 150.0     /* requests on silent connections that one entry may retry at once */
#define TOKENS_HALF_LIFE (10 * AP_SEC) /* tokens of old first attempts decay */
#define ROUNDING 0.5		       /* error of a long sum of fractions of a token */

/* Tokens that a class leaves for the classes above it, unless no retry was granted lately. */
static const double class_floor[AP_CLASS_COUNT] = {0, 2, 4};

struct ap_retry_budget {
	double ratio;
	double tokens;
	double reserve; /* tokens for requests lost on silent connections */
	ap_usec_t at;
	ap_usec_t granted_at; /* when the last retry was granted */
	uint64_t requests;
	uint64_t granted;
	uint64_t retried;
	ap_env_t env;
};

ap_retry_budget_t *ap_retry_budget_new(double ratio, const ap_env_t *env)
{
	ap_retry_budget_t *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->ratio = ratio;
	b->tokens = TOKENS_INITIAL;
	b->reserve = RESERVE_MAX;
	b->granted_at = -TOKENS_HALF_LIFE;
	if (env)
		b->env = *env;
	return b;
}

void ap_retry_budget_free(ap_retry_budget_t *b)
{
	free(b);
}

/* Lowers the budget to @tokens and adds the difference to the reserve. */
static void move_to_reserve(ap_retry_budget_t *b, double tokens)
{
	b->reserve = fmin(b->reserve + b->tokens - tokens, RESERVE_MAX);
	b->tokens = tokens;
}

static void decay(ap_retry_budget_t *b, ap_usec_t now)
{
	double halves = (double)(now - b->at) / (double)TOKENS_HALF_LIFE;

	if (halves > 0 && b->tokens > TOKENS_INITIAL)
		move_to_reserve(b, fmax(b->tokens * exp2(-halves), TOKENS_INITIAL));
	b->at = now;
}

void ap_retry_budget_request(ap_retry_budget_t *b, ap_usec_t now)
{
	decay(b, now);
	b->requests++;
	b->tokens += b->ratio;
	if (b->tokens > RETRY_TOKENS_MAX)
		move_to_reserve(b, RETRY_TOKENS_MAX);
}

bool ap_retry_budget_take(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
			  ap_usec_t expected)
{
	return ap_retry_budget_take_class(b, AP_CLASS_RESERVATION, now, deadline, expected);
}

bool ap_retry_budget_take_class(ap_retry_budget_t *b, ap_class_t cls, ap_usec_t now,
				ap_usec_t deadline, ap_usec_t expected)
{
	bool no_recent_retry = now - b->granted_at >= TOKENS_HALF_LIFE;
	double tokens_left = no_recent_retry ? 0 : class_floor[cls];

	decay(b, now);
	if (b->tokens < 1 + tokens_left || deadline - now < expected)
		return false;
	b->tokens -= 1;
	b->granted_at = now;
	b->granted++;
	return true;
}

bool ap_retry_budget_take_reserve(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
				  ap_usec_t expected)
{
	decay(b, now);
	if (b->reserve < 1 || deadline - now < expected)
		return false;
	b->reserve -= 1;
	b->granted++;
	return true;
}

void ap_retry_budget_retried(ap_retry_budget_t *b)
{
	double most = TOKENS_INITIAL + RESERVE_MAX + b->ratio * (double)b->requests;

	b->retried++;
	ap_require(&b->env, b->retried <= b->granted && (double)b->retried <= most + ROUNDING,
		   AP_INV_BOUNDS, "retry without a grant, or more retries than the budget allows");
}
