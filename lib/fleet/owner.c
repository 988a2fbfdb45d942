/*
 * Bounds on requests to one upstream that all instances of a region keep together. One instance,
 * the owner, may send to the upstream, by rendezvous hash. It uses half of the bound, so that the
 * bound holds when two instances each take themselves for the owner. No instance sends while
 * membership changes, so that the requests of successive owners do not add up to more than the
 * bound.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

#define SETTLE_TIME (1 * AP_SEC) /* pause after a change of membership */
#define BURST 1.0		 /* requests */

static double score(const ap_replica_t *r, const char *id)
{
	return ap_rendezvous(ap_hash_str(r->entry.id, 0), ap_hash_str(id, 1), 1);
}

static bool takes_part(const ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now)
{
	return ap_member_live(m, now) && ap_in_own_region(f, m) && !m->member.draining;
}

size_t ap_owner_rank(const ap_fleet_t *f, const ap_replica_t *r, const char *id, ap_usec_t now)
{
	double own = score(r, id);
	size_t rank = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (takes_part(f, m, now) && strcmp(m->member.id, id) != 0)
			rank += score(r, m->member.id) > own;
	}
	return rank;
}

bool ap_owner_is_self(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	double own = score(r, f->config.id);

	if (self && self->member.draining)
		return false;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (takes_part(f, m, now) && m != self && score(r, m->member.id) > own)
			return false;
	}
	return true;
}

bool ap_owner_allows(const ap_fleet_t *f, const ap_replica_t *r, ap_bucket_t *b, double rate,
		     ap_usec_t now)
{
	if (now - f->members_changed_at < SETTLE_TIME || !ap_owner_is_self(f, r, now))
		return false;
	if (b->filled_at == 0)
		b->allowance = BURST;
	else
		b->allowance += rate * (double)(now - b->filled_at) / (double)AP_SEC;
	b->allowance = fmin(b->allowance, BURST);
	b->filled_at = now;
	return b->allowance >= 1;
}
