/*
 * Cold upstreams can take few requests; see owner.c for who may send them. An upstream may turn
 * cold at any time and writes so to the store. While the store is silent, only the upstream itself
 * can tell: one instance of the region sends it health checks and announces what it says. Another
 * one begins if nothing is heard; of several, all but one end when they hear of each other.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

#define RATE_MIN 0.5 /* requests per second */
/* Less than a tick: at several times its bound, an upstream exceeds it within a quarter second. */
#define WATCH_INTERVAL (80 * AP_MSEC)
/* Between checks that have no response, or of an upstream that may refuse few. */
#define WATCH_SLOW (500 * AP_MSEC)
#define WATCH_ANNOUNCED (500 * AP_MSEC) /* what an upstream said is announced for this long */
/* Added to the time between two announcements, after which nothing was heard. */
#define HEAR_MARGIN (70 * AP_MSEC)
#define WATCHER_KEY 12

void ap_replica_set_cold_left(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t cold_left,
			      const char *source, ap_usec_t now)
{
	const ap_fleet_event_t event = {
		.kind = AP_FLEET_EVENT_COLD,
		.id = r->entry.id,
		.entry_age = now - r->received_at,
		.lasts = cold_left,
		.source = source,
	};
	bool was_warm = now >= r->cold_until;

	if (cold_left <= 0 || now + cold_left <= r->cold_until)
		return;
	r->cold_until = now + cold_left;
	if (was_warm && f->config.on_event)
		f->config.on_event(f->config.ctx, &event);
}

bool ap_cold_allows(ap_fleet_t *f, ap_replica_t *r, const ap_plan_pool_t *pool, ap_usec_t now)
{
	double bound = f->config.cold_over * pool->warmup_rate + f->config.cold_slack;
	/* In one second, the owner's full bucket adds a request to those at this rate. */
	double rate = fmax(bound / AP_OWNERS_MAX - 1, RATE_MIN);

	return ap_owner_allows(f, r, &r->cold, rate, now);
}

/* Spreads the instances, so that most of them hear of the first one before they begin. */
static ap_usec_t random_delay(ap_fleet_t *f)
{
	return (ap_usec_t)ap_rng_below(&f->rng, (uint64_t)ap_announce_interval(f));
}

bool ap_cold_needs_check(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	const ap_pool_state_t *p = ap_pool_state(f, r->entry.pool);
	ap_usec_t interval = r->watch_pending || r->brittle ? WATCH_SLOW : WATCH_INTERVAL;

	if (!f->store_silent) {
		r->watched = false;
		r->watch_from = 0;
		return false;
	}
	if (!p || p->warmup <= 0 || now < r->cold_until || !r->own_region ||
	    !ap_replica_usable(f, r, now) || ap_replica_maybe_cold(f, r, p->warmup, now))
		return false;
	if (r->watch_from == 0)
		r->watch_from = now + random_delay(f);
	if (now >= r->watch_from)
		r->watched = true;
	if (!r->watched || now - r->watch_sent_at < interval)
		return false;
	r->watch_sent_at = now;
	r->watch_pending = true;
	return true;
}

static bool is_announced(const ap_replica_t *r, ap_usec_t now)
{
	return r->watch_seen_at > 0 && now - r->watch_seen_at < WATCH_ANNOUNCED;
}

bool ap_cold_checked(ap_fleet_t *f, ap_replica_t *r, ap_usec_t cold_left, ap_usec_t now)
{
	bool watch = r->watch_pending;

	r->watch_pending = false;
	/* The others are sending, or are about to send checks, too. */
	if ((cold_left > 0 && now >= r->cold_until) || (watch && !is_announced(r, now)))
		f->announced_at = 0;
	ap_replica_set_cold_left(f, r, cold_left, "health-check", now);
	if (!watch)
		return false;
	r->watch_seen_at = now;
	return true;
}

size_t ap_cold_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		n += is_announced(r, now);
	msgpack_pack_array(pk, 2 * n);
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!is_announced(r, now))
			continue;
		msgpack_pack_uint32(pk, r->tag);
		msgpack_pack_uint64(
			pk, now < r->cold_until ? (uint64_t)(r->cold_until - now) / AP_MSEC : 0);
	}
	return n;
}

/* Of two instances that check @r, the one with the higher score goes on. */
static double watcher_score(const ap_replica_t *r, const char *id)
{
	return ap_rendezvous(r->tag, ap_hash_str(id, WATCHER_KEY), 1);
}

bool ap_cold_apply(ap_fleet_t *f, const char *from, ap_wire_reader_t *colds, ap_usec_t now)
{
	while (colds->left >= 2) {
		ap_replica_t *r = ap_replica_by_tag(f, (uint32_t)ap_wire_u64(colds));
		ap_usec_t cold_left = ap_wire_msec(colds);

		if (!colds->ok)
			return false;
		if (!r)
			continue;
		ap_replica_set_cold_left(f, r, cold_left, "instance", now);
		if (r->watched && watcher_score(r, from) < watcher_score(r, f->config.id))
			continue;
		r->watched = false;
		r->watch_from = now + ap_announce_interval(f) + HEAR_MARGIN + random_delay(f);
	}
	return colds->ok;
}
