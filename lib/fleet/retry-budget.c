/*
 * Retry budget. Each instance may retry a share of its own requests and uses an equal part of the
 * slack, so that the sum over all instances holds without communication between them.
 */
#include "fleet/private.h"

/* A restarted instance does not know the retries of its predecessor in the same window. */
#define STARTS_IN_WINDOW 2.0
#define RATIO_USED 0.8 /* a retry may fall into a later window than its request */

static void advance(const ap_fleet_t *f, ap_budget_t *b, ap_usec_t now)
{
	int64_t step = now / (f->config.retry_window / BUDGET_STEPS);

	if (step - b->step >= BUDGET_STEPS)
		b->step = step - BUDGET_STEPS;
	while (b->step < step) {
		b->step++;
		b->requests[b->step % BUDGET_STEPS] = 0;
		b->retries[b->step % BUDGET_STEPS] = 0;
	}
}

static uint32_t sum(const uint32_t *counts)
{
	uint32_t total = 0;

	for (size_t i = 0; i < BUDGET_STEPS; i++)
		total += counts[i];
	return total;
}

void ap_fleet_count_request(ap_fleet_t *f, const char *pool, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, pool);

	if (!p)
		return;
	advance(f, &p->budget, now);
	p->budget.requests[p->budget.step % BUDGET_STEPS]++;
}

bool ap_fleet_may_retry(ap_fleet_t *f, const char *pool, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, pool);
	double instances = f->most_members > 0 ? (double)f->most_members : 1;
	double allowed;

	if (!p)
		return false;
	advance(f, &p->budget, now);
	allowed = RATIO_USED * f->config.retry_ratio * sum(p->budget.requests) +
		  f->config.retry_slack / instances / STARTS_IN_WINDOW;
	if (sum(p->budget.retries) + 1 > allowed)
		return false;
	p->budget.retries[p->budget.step % BUDGET_STEPS]++;
	return true;
}
