/*
 * Cold upstreams can take few requests. For each of them, one instance of the region is the owner
 * that may send requests, by rendezvous hash. The owner uses half of the bound, so that the bound
 * holds when two instances each take themselves for the owner. No instance sends while membership
 * changes, so that the requests of successive owners do not add up to more than the bound.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

#define OWNERS_MAX 2.0 /* instances that may take themselves for the owner during a change */
#define SETTLE_TIME (1 * AP_SEC) /* pause after a change; the period to which the bound applies */
#define BURST 1.0		 /* requests */
#define RATE_MIN 0.5		 /* requests per second */

bool ap_cold_is_owner(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	uint64_t key = ap_hash_str(r->entry.id, 0);
	double own = ap_rendezvous(key, ap_hash_str(f->config.id, 1), 1);

	if (self && self->member.draining)
		return false;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (ap_member_live(m, now) && !m->member.draining &&
		    strcmp(m->member.region, f->config.region) == 0 &&
		    strcmp(m->member.id, f->config.id) != 0 &&
		    ap_rendezvous(key, ap_hash_str(m->member.id, 1), 1) > own)
			return false;
	}
	return true;
}

bool ap_cold_allows(ap_fleet_t *f, ap_replica_t *r, const ap_plan_pool_t *pool, ap_usec_t now)
{
	double bound = f->config.cold_over * pool->warmup_rate + f->config.cold_slack;
	/* In one second, a full bucket adds BURST to the requests at this rate. */
	double rate = fmax(bound / OWNERS_MAX - BURST, RATE_MIN);

	if (now - f->members_changed_at < SETTLE_TIME || !ap_cold_is_owner(f, r, now))
		return false;
	if (r->cold_filled_at == 0)
		r->cold_allowance = BURST;
	else
		r->cold_allowance += rate * (double)(now - r->cold_filled_at) / (double)AP_SEC;
	r->cold_allowance = fmin(r->cold_allowance, BURST);
	r->cold_filled_at = now;
	return r->cold_allowance >= 1;
}

void ap_cold_sent(ap_replica_t *r)
{
	r->cold_allowance -= 1;
}
