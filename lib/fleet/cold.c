/* Cold upstreams can take few requests; see owner.c for who may send them. */
#include "fleet/private.h"

#include <math.h>

#define RATE_MIN 0.5 /* requests per second */

bool ap_cold_allows(ap_fleet_t *f, ap_replica_t *r, const ap_plan_pool_t *pool, ap_usec_t now)
{
	double bound = f->config.cold_over * pool->warmup_rate + f->config.cold_slack;
	/* In one second, the owner's full bucket adds a request to those at this rate. */
	double rate = fmax(bound / AP_OWNERS_MAX - 1, RATE_MIN);

	return ap_owner_allows(f, r, &r->cold, rate, now);
}
