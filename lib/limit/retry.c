/* Retry budget: retries are paid for by first attempts, so that failures can't multiply load. */
#include "limit/limit.h"

#include <math.h>
#include <stdlib.h>

#define START_TOKENS 1.0	      /* lets a quiet entry retry once */
#define MOST_TOKENS 20.0	      /* a long quiet time can't be saved up for a storm */
#define SAVED_HALF_LIFE (10 * AP_SEC) /* old first attempts pay for less and less */

struct ap_retry_budget {
	double ratio;
	double tokens;
	ap_usec_t at;
	uint64_t requests;
	uint64_t retries;
	ap_env_t env;
};

ap_retry_budget_t *ap_retry_budget_new(double ratio, const ap_env_t *env)
{
	ap_retry_budget_t *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->ratio = ratio;
	b->tokens = START_TOKENS;
	if (env)
		b->env = *env;
	return b;
}

void ap_retry_budget_free(ap_retry_budget_t *b)
{
	free(b);
}

static void decay(ap_retry_budget_t *b, ap_usec_t now)
{
	double halves = (double)(now - b->at) / (double)SAVED_HALF_LIFE;

	if (halves > 0 && b->tokens > START_TOKENS)
		b->tokens = fmax(b->tokens * exp2(-halves), START_TOKENS);
	b->at = now;
}

void ap_retry_budget_request(ap_retry_budget_t *b, ap_usec_t now)
{
	decay(b, now);
	b->requests++;
	b->tokens = fmin(b->tokens + b->ratio, MOST_TOKENS);
}

bool ap_retry_budget_take(ap_retry_budget_t *b, ap_usec_t now, ap_usec_t deadline,
			  ap_usec_t expected)
{
	double most;

	decay(b, now);
	if (b->tokens < 1 || deadline - now < expected)
		return false;
	b->tokens -= 1;
	b->retries++;
	most = b->ratio * (double)b->requests + START_TOKENS + 1e-6 * (double)b->requests;
	return ap_require(&b->env, (double)b->retries <= most, AP_INV_BOUNDS,
			  "retries within their budget");
}
