/*
 * Limits that upstreams name in their responses: requests per second from all instances together.
 * The owner alone sends to such an upstream, see owner.c. What an instance has seen in a response
 * it announces to its region, with the time since; what it was told by others it does not pass on,
 * so that no report outlives its source. The latest report counts.
 */
#include "fleet/private.h"

#include <math.h>

/*
 * With two owners, each with a full bucket, 4 s hold 2 * (4 * SHARE * limit + 1) requests: six for
 * each unit of the limit and two more.
 */
#define SHARE 0.75
#define RATE_MIN 0.25		     /* requests per second; finds out when the limit ends */
#define REPORT_DELAY (300 * AP_MSEC) /* an end that is reported may be older by this */
#define END_REPORTED (30 * AP_SEC)   /* how long the end of a limit is announced */
#define MAX_AGE (60 * AP_SEC)	     /* without a report for so long, a limit is forgotten */
#define MILLI 1000.0

static void set_limit(ap_fleet_t *f, ap_replica_t *r, double limit, ap_usec_t at, ap_usec_t now)
{
	bool limited = limit >= 0;
	bool changed = limited != r->limited || (limited && limit != r->limit);

	r->limit_at = at;
	if (!changed)
		return;
	r->limited = limited;
	r->limit = limited ? limit : 0;
	ap_report_replica_event(f, limited ? AP_FLEET_EVENT_LIMITED : AP_FLEET_EVENT_UNLIMITED, r,
				0, now);
}

/* Returns whether what this instance knows is what it has seen itself, and others need to know. */
static bool is_announced(const ap_replica_t *r, ap_usec_t now)
{
	return r->limit_seen_at > 0 && r->limit_seen_at == r->limit_at &&
	       (r->limited || now - r->limit_ended_at < END_REPORTED);
}

void ap_fleet_limit_seen(ap_fleet_t *f, const char *id, double limit, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (!r || (limit < 0 && !r->limited && !is_announced(r, now)))
		return;
	if (limit < 0 && r->limited)
		r->limit_ended_at = now;
	set_limit(f, r, limit, now, now);
	r->limit_seen_at = now;
}

/* Another instance saw a response at @at that named @limit, or none if negative. */
static void limit_heard(ap_fleet_t *f, ap_replica_t *r, double limit, ap_usec_t at, ap_usec_t now)
{
	ap_usec_t needed = limit < 0 ? r->limit_at + REPORT_DELAY : r->limit_at;

	if (at <= needed || (limit < 0 && !r->limited))
		return;
	set_limit(f, r, limit, at, now);
}

bool ap_replica_limited(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->limited && now - r->limit_at > MAX_AGE)
		set_limit(f, r, -1, now, now);
	return r->limited;
}

bool ap_limit_allows(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	return ap_owner_allows(f, r, &r->within_limit, fmax(SHARE * r->limit, RATE_MIN), now);
}

size_t ap_limits_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		n += is_announced(r, now);
	msgpack_pack_array(pk, n);
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!is_announced(r, now))
			continue;
		msgpack_pack_array(pk, 4);
		msgpack_pack_uint32(pk, r->tag);
		ap_wire_pack_bool(pk, r->limited);
		msgpack_pack_uint64(pk, (uint64_t)fmin(r->limit * MILLI, UINT32_MAX));
		msgpack_pack_uint64(pk, ap_age_ms(now, r->limit_seen_at));
	}
	return n;
}

bool ap_limits_apply(ap_fleet_t *f, ap_wire_reader_t *limits, ap_usec_t now)
{
	while (limits->left > 0) {
		ap_wire_reader_t e = ap_wire_array(limits);
		ap_replica_t *r = ap_replica_by_tag(f, (uint32_t)ap_wire_u64(&e));
		bool limited = ap_wire_bool(&e);
		double limit = (double)ap_wire_u64(&e) / MILLI;
		ap_usec_t age = ap_wire_msec(&e);

		if (!e.ok)
			return false;
		if (r)
			limit_heard(f, r, limited ? limit : -1, now - age, now);
	}
	return limits->ok;
}
