/*
 * Cold upstreams bear few requests. One instance of the region may send to each, by rendezvous
 * hash; it uses half of what is borne, so that two that each take themselves for the one keep it.
 * While membership changes nobody sends, so that one after the other does not add up either.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

#define OWNERS_MAX 2.0		 /* beliefs that may differ while membership changes */
#define SETTLE_TIME (1 * AP_SEC) /* the second that the bound is counted in */
#define BURST 1.0
#define RATE_MIN 0.5

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
	double rate = fmax(bound / OWNERS_MAX - BURST, RATE_MIN);

	if (now - f->members_changed < SETTLE_TIME || !ap_cold_is_owner(f, r, now))
		return false;
	if (r->cold_at == 0)
		r->cold_tokens = BURST;
	else
		r->cold_tokens += rate * (double)(now - r->cold_at) / (double)AP_SEC;
	r->cold_tokens = fmin(r->cold_tokens, BURST);
	r->cold_at = now;
	return r->cold_tokens >= 1;
}

void ap_cold_sent(ap_replica_t *r)
{
	r->cold_tokens -= 1;
}
