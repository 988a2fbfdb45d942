/*
 * Brittle upstreams say in their responses how many requests they may refuse in a second for want
 * of room before they end. Each instance of the region keeps to a share of the upstream's slots,
 * and for requests beyond it that there seems to be room for, to a share of half that number. The
 * shares add up without communication: they depend on the registered instances only. A refusal
 * stops the instance for as long as its share of the other half takes.
 *
 * An instance announces what it has seen; a response that doesn't say so ends the state.
 */
#include "fleet/private.h"

#include <math.h>

#define CONFIRMED (1 * AP_SEC) /* since the last response that said so, it is announced */
#define MAX_AGE (30 * AP_SEC)  /* without confirmation for so long, it is forgotten */
#define PAUSE_MAX (5 * AP_SEC)
/* Half of the refusals: in one second, a full bucket and its rate let pass twice the rate. */
#define BEYOND_DIVISOR 4
#define MILLI 1000.0

static void set_brittle(const ap_fleet_t *f, ap_replica_t *r, double refusals, ap_usec_t at,
			ap_usec_t now)
{
	bool brittle = refusals >= 0;

	r->brittle_at = at;
	r->refusals_max = brittle ? refusals : 0;
	if (brittle == r->brittle)
		return;
	r->brittle = brittle;
	r->beyond_share = (ap_bucket_t){0};
	r->paused_until = 0;
	ap_report_replica_event(f, brittle ? AP_FLEET_EVENT_BRITTLE : AP_FLEET_EVENT_NOT_BRITTLE, r,
				0, now);
}

void ap_fleet_brittle_seen(ap_fleet_t *f, const char *id, double refusals, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (!r || (refusals < 0 && !r->brittle))
		return;
	r->brittle_seen_at = refusals < 0 ? 0 : now;
	set_brittle(f, r, refusals, now, now);
}

void ap_brittle_tick(const ap_fleet_t *f, ap_usec_t now)
{
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (r->brittle && now - r->brittle_at > MAX_AGE)
			set_brittle(f, r, -1, now, now);
	}
}

/* Returns the share of instance @id of @total, which all instances of the region divide up. */
static uint32_t share_of(const ap_fleet_t *f, const ap_replica_t *r, const char *id, uint32_t total,
			 ap_usec_t now)
{
	uint32_t rank = (uint32_t)ap_owner_rank(f, r, id, now);
	uint32_t n = (uint32_t)ap_fleet_active_peers(f, now) + 1;

	return total / n + (rank < total % n);
}

static uint32_t share_of_slots(const ap_fleet_t *f, const ap_replica_t *r, const char *id,
			       const ap_plan_pool_t *pool, ap_usec_t now)
{
	return share_of(f, r, id, ap_replica_slots(r, pool), now);
}

/* Returns whether instance @id has a slot of some upstream that could serve @req. */
static bool has_share(const ap_fleet_t *f, const char *id, const ap_dispatch_t *req, ap_usec_t now)
{
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (ap_replica_serves(f, r, f->config.region, req, now) &&
		    share_of_slots(f, r, id, req->pool, now) > 0)
			return true;
	}
	return false;
}

/* Returns whether there are upstreams here that could serve @req, and each of them is brittle. */
static bool all_brittle(const ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	bool brittle = false;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!ap_replica_serves(f, r, f->config.region, req, now))
			continue;
		if (!r->brittle)
			return false;
		brittle = true;
	}
	return brittle;
}

static bool may_help(const ap_fleet_t *f, const ap_member_state_t *m, const ap_dispatch_t *req,
		     ap_usec_t now)
{
	return ap_is_live_other(f, m, now) && ap_in_own_region(f, m) && !m->member.draining &&
	       !ap_dispatch_avoids(req, m->member.id) &&
	       ap_member_reaches(m, req->pool->name, now) && has_share(f, m->member.id, req, now);
}

const ap_member_t *ap_brittle_peer(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	size_t first = ap_rng_below(&f->rng, HASH_COUNT(f->members) + 1);
	const ap_member_t *before = NULL;
	size_t i = 0;

	if (!all_brittle(f, req, now) || has_share(f, f->config.id, req, now))
		return NULL;
	/* Stops at the first one from a random place on, since each test ranks the whole region. */
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next, i++) {
		if ((i < first && before) || !may_help(f, m, req, now))
			continue;
		if (i >= first)
			return &m->member;
		before = &m->member;
	}
	return before;
}

/* Returns whether @req is within this instance's share of the upstream. */
static bool within_share(const ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
			 ap_usec_t now)
{
	uint32_t n = (uint32_t)ap_fleet_active_peers(f, now) + 1;
	uint32_t running = ap_replica_own_running(r);

	if (running >= share_of_slots(f, r, f->config.id, req->pool, now))
		return false;
	return running == 0 || req->pool->kv_tokens == 0 ||
	       r->own.kv + req->tokens_in + req->tokens_out <= req->pool->kv_tokens / n;
}

bool ap_brittle_allows(const ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req,
		       ap_usec_t now)
{
	ap_bucket_t *b = &r->beyond_share;
	double rate;

	if (!r->brittle)
		return true;
	if (now < r->paused_until)
		return false;
	if (within_share(f, r, req, now))
		return true;
	rate = share_of(f, r, f->config.id, (uint32_t)(r->refusals_max / BEYOND_DIVISOR), now);
	if (b->filled_at != 0)
		b->allowance += rate * (double)(now - b->filled_at) / (double)AP_SEC;
	b->allowance = fmin(b->allowance, rate);
	b->filled_at = now;
	return b->allowance >= 1 && ap_replica_running(r) < ap_replica_slots(r, req->pool);
}

void ap_brittle_sent(const ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req, ap_usec_t now)
{
	if (r->brittle && !within_share(f, r, req, now))
		r->beyond_share.allowance -= 1;
}

void ap_brittle_refused(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	double n = (double)ap_fleet_active_peers(f, now) + 1;
	double rest = r->refusals_max - 2 * floor(r->refusals_max / BEYOND_DIVISOR);
	double pause = n / fmax(rest, 1) * (double)AP_SEC;

	if (r->brittle)
		r->paused_until = now + (ap_usec_t)fmin(pause, (double)PAUSE_MAX);
}

static bool is_announced(const ap_replica_t *r, ap_usec_t now)
{
	return r->brittle && r->brittle_seen_at > 0 && now - r->brittle_seen_at < CONFIRMED;
}

size_t ap_brittle_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		n += is_announced(r, now);
	msgpack_pack_array(pk, 3 * n);
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!is_announced(r, now))
			continue;
		msgpack_pack_uint32(pk, r->tag);
		msgpack_pack_uint64(pk, (uint64_t)fmin(r->refusals_max * MILLI, UINT32_MAX));
		msgpack_pack_uint64(pk, ap_age_ms(now, r->brittle_seen_at));
	}
	return n;
}

bool ap_brittle_apply(ap_fleet_t *f, ap_wire_reader_t *brittle, ap_usec_t now)
{
	while (brittle->left >= 3) {
		ap_replica_t *r = ap_replica_by_tag(f, (uint32_t)ap_wire_u64(brittle));
		double refusals = (double)ap_wire_u64(brittle) / MILLI;
		ap_usec_t at = now - ap_wire_msec(brittle);

		if (!brittle->ok)
			return false;
		if (r && at > r->brittle_at)
			set_brittle(f, r, refusals, at, now);
	}
	return brittle->ok;
}
