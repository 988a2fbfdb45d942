/* Retry budget: retries are paid for by first attempts, so that failures can't multiply load. */
#include "limit/limit.h"

#include <math.h>
#include <stdlib.h>

#define START_TOKENS 1.0	      /* lets a quiet entry retry once */
#define MOST_TOKENS 20.0	      /* a long quiet time can't be saved up for a storm */
#define RESERVE_TOKENS 150.0	      /* requests that one entry may lose to silence at once */
#define SAVED_HALF_LIFE (10 * AP_SEC) /* old first attempts pay for less and less */
#define ROUNDING 0.5		      /* of a long sum of parts of a token */

/* Tokens that a class leaves for those above it, unless retries have been rare lately. */
static const double kept_tokens[AP_CLASS_COUNT] = {0, 2, 4};

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
	b->tokens = START_TOKENS;
	b->reserve = RESERVE_TOKENS;
	b->granted_at = -SAVED_HALF_LIFE;
	if (env)
		b->env = *env;
	return b;
}

void ap_retry_budget_free(ap_retry_budget_t *b)
{
	free(b);
}

/* What the budget gives up goes into the reserve. */
static void keep(ap_retry_budget_t *b, double tokens)
{
	b->reserve = fmin(b->reserve + b->tokens - tokens, RESERVE_TOKENS);
	b->tokens = tokens;
}

static void decay(ap_retry_budget_t *b, ap_usec_t now)
{
	double halves = (double)(now - b->at) / (double)SAVED_HALF_LIFE;

	if (halves > 0 && b->tokens > START_TOKENS)
		keep(b, fmax(b->tokens * exp2(-halves), START_TOKENS));
	b->at = now;
}

void ap_retry_budget_request(ap_retry_budget_t *b, ap_usec_t now)
{
	decay(b, now);
	b->requests++;
	b->tokens += b->ratio;
	if (b->tokens > MOST_TOKENS)
		keep(b, MOST_TOKENS);
}

bool ap_retry_budget_take(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
			  ap_usec_t expected)
{
	return ap_retry_budget_take_class(b, AP_CLASS_RESERVATION, now, deadline, expected);
}

bool ap_retry_budget_take_class(ap_retry_budget_t *b, ap_class_t cls, ap_usec_t now,
				ap_usec_t deadline, ap_usec_t expected)
{
	bool rare = now - b->granted_at >= SAVED_HALF_LIFE;
	double kept = rare ? 0 : kept_tokens[cls];

	decay(b, now);
	if (b->tokens < 1 + kept || deadline - now < expected)
		return false;
	b->tokens -= 1;
	b->granted_at = now;
	b->granted++;
	return true;
}

bool ap_retry_budget_take_silent(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
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
	double most = START_TOKENS + RESERVE_TOKENS + b->ratio * (double)b->requests;

	b->retried++;
	ap_require(&b->env, b->retried <= b->granted && (double)b->retried <= most + ROUNDING,
		   AP_INV_BOUNDS, "retries within their budget");
}
