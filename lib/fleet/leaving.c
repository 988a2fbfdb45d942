/*
 * Upstreams that leave, as they say in their responses or in their records. An upstream that leaves
 * does not come back: each start has a new id. So what one said outlives its record, which may be
 * missing, late, or an older copy. What an instance has seen in a response it announces to its
 * region, with the time since; what it was told by others it does not pass on. An upstream that is
 * still listed long after gets a health check, and a good response ends the state.
 */
#include "fleet/private.h"

#include <stdlib.h>

#define ANNOUNCE_TIME (30 * AP_SEC)
#define CHECK_AFTER (60 * AP_SEC) /* longer than upstreams take to leave */
#define CHECK_RETRY (10 * AP_SEC)
#define MAX_AGE (10 * 60 * AP_SEC) /* an upstream that leaves is gone within this time */

static ap_leaving_t *find(const ap_fleet_t *f, uint32_t tag)
{
	ap_leaving_t *l;

	HASH_FIND(hh, f->leaving, &tag, sizeof(tag), l);
	return l;
}

static ap_leaving_t *get(ap_fleet_t *f, uint32_t tag)
{
	ap_leaving_t *l = find(f, tag);

	if (l)
		return l;
	l = calloc(1, sizeof(*l));
	if (!l)
		return NULL;
	l->tag = tag;
	HASH_ADD(hh, f->leaving, tag, sizeof(l->tag), l);
	return l;
}

static bool is_leaving(const ap_leaving_t *l)
{
	return l->at > l->ended_at;
}

static void report(const ap_fleet_t *f, ap_fleet_event_kind_t kind, uint32_t tag, ap_usec_t now)
{
	const ap_replica_t *r = ap_replica_by_tag(f, tag);

	if (r)
		ap_report_replica_event(f, kind, r, 0, now);
}

bool ap_replica_leaving(const ap_fleet_t *f, const ap_replica_t *r)
{
	const ap_leaving_t *l = f->leaving ? find(f, r->tag) : NULL;

	return r->entry.draining || (l && is_leaving(l));
}

void ap_fleet_leaving_seen(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_leaving_t *l = get(f, (uint32_t)ap_hash_str(id, 0));

	if (!l)
		return;
	if (l->seen_at <= l->ended_at) {
		report(f, AP_FLEET_EVENT_LEAVING, l->tag, now);
		f->announced_at = 0;
	}
	l->at = now;
	l->seen_at = now;
}

void ap_leaving_recorded(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	ap_leaving_t *l = get(f, r->tag);

	if (l)
		l->at = now;
}

void ap_stop_recorded(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t known_at, ap_usec_t now)
{
	ap_leaving_t *l = get(f, r->tag);
	ap_usec_t left = r->entry.shutdown_in;

	/* Later entries repeat the remaining time of the first one. */
	if (!l || l->stop_announced)
		return;
	l->stop_announced = true;
	l->stop_listed_at = now;
	l->stop.latest = now + left;
	l->stop.earliest = known_at > 0 ? known_at + left : now;
}

ap_usec_t ap_replica_stops_at(const ap_fleet_t *f, const ap_replica_t *r)
{
	const ap_leaving_t *l = f->leaving ? find(f, r->tag) : NULL;

	return l && l->stop_announced ? l->stop.latest : AP_NEVER;
}

bool ap_fleet_stop(const ap_fleet_t *f, const char *id, ap_stop_t *stop)
{
	const ap_leaving_t *l = find(f, (uint32_t)ap_hash_str(id, 0));

	if (!l || !l->stop_announced)
		return false;
	*stop = l->stop;
	return true;
}

bool ap_fleet_may_have_stopped(const ap_fleet_t *f, const char *id, ap_usec_t at)
{
	ap_stop_t stop;

	return ap_fleet_stop(f, id, &stop) && at >= stop.earliest;
}

bool ap_leaving_needs_check(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	ap_leaving_t *l = f->leaving ? find(f, r->tag) : NULL;

	if (!l || !is_leaving(l) || r->entry.draining || now - l->at < CHECK_AFTER ||
	    now - l->checked_at < CHECK_RETRY)
		return false;
	l->checked_at = now;
	return true;
}

void ap_leaving_checked(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	ap_leaving_t *l = find(f, r->tag);

	/* Soon after, the response to a health check may be false or late. */
	if (!l || !is_leaving(l) || now - l->at < CHECK_AFTER)
		return;
	l->ended_at = now;
	report(f, AP_FLEET_EVENT_NOT_LEAVING, l->tag, now);
}

static bool is_announced(const ap_leaving_t *l, ap_usec_t now)
{
	return l->seen_at > l->ended_at && now - l->seen_at < ANNOUNCE_TIME;
}

size_t ap_leaving_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_leaving_t *l = f->leaving; l; l = l->hh.next)
		n += is_announced(l, now);
	msgpack_pack_array(pk, 2 * n);
	for (const ap_leaving_t *l = f->leaving; l; l = l->hh.next) {
		if (!is_announced(l, now))
			continue;
		msgpack_pack_uint32(pk, l->tag);
		msgpack_pack_uint64(pk, ap_age_ms(now, l->seen_at));
	}
	return n;
}

bool ap_leaving_apply(ap_fleet_t *f, ap_wire_reader_t *leaving, ap_usec_t now)
{
	while (leaving->left >= 2) {
		uint32_t tag = (uint32_t)ap_wire_u64(leaving);
		ap_usec_t at = now - ap_wire_msec(leaving);
		ap_leaving_t *l;

		if (!leaving->ok)
			return false;
		l = get(f, tag);
		if (l && at > l->at)
			l->at = at;
	}
	return leaving->ok;
}

static void remove_leaving(ap_fleet_t *f, ap_leaving_t *l)
{
	/* false positive: the analyzer takes a freed item for one of the table */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference,clang-analyzer-unix.Malloc) */
	HASH_DEL(f->leaving, l);
	free(l);
}

void ap_leaving_tick(ap_fleet_t *f, ap_usec_t now)
{
	ap_leaving_t *next;
	ap_leaving_t *l;

	HASH_ITER (hh, f->leaving, l, next) {
		if (l->stop_announced && ap_replica_by_tag(f, l->tag))
			l->stop_listed_at = now;
		if (now - l->at > MAX_AGE && now - l->stop_listed_at > MAX_AGE)
			remove_leaving(f, l);
	}
}
