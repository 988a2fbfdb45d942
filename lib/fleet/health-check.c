/*
 * After the evacuation of a data centre ends, its upstreams may be cold or not. Treating all of
 * them as cold would leave half of a region unused for seconds; treating none as cold would
 * overload those that are. So one instance sends each upstream a health check and announces the
 * result to the other instances of its region.
 *
 * That an evacuation ended is a past event: the store holds no record of it. Instances that were
 * not there, or cut off from the store, learn of it from the announcements of the others. One that
 * has just started takes all upstreams for cold until it has heard one.
 */
#include "fleet/private.h"

#include <string.h>

#define CHECK_DELAY (250 * AP_MSEC)	/* upstreams made cold by the evacuation are so by then */
#define REPORT_MAX_AGE (1500 * AP_MSEC) /* several announcements */
#define CHECK_RETRY (700 * AP_MSEC)	/* if the response was lost or the check refused */
#define ANNOUNCE_TIME (1000 * AP_MSEC)	/* several announcements, if the upstream isn't cold */
/* A change received later than this after the end of an evacuation was also made after it. */
#define ENTRY_DELAY (1500 * AP_MSEC)

/* Returns whether the end of an evacuation may have left @r cold; a health check can tell. */
static bool is_unchecked(const ap_replica_t *r, const ap_data_centre_state_t *dc, ap_usec_t warmup,
			 ap_usec_t now)
{
	if (dc->evacuation_ended_at == 0 || now >= dc->evacuation_ended_at + warmup)
		return false;
	return r->changed_at < dc->evacuation_ended_at + ENTRY_DELAY &&
	       r->check_answered_at <= dc->evacuation_ended_at;
}

bool ap_replica_maybe_cold(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t warmup,
			   ap_usec_t now)
{
	const ap_data_centre_state_t *dc = ap_data_centre_find(f, r->entry.data_centre);

	return dc && (is_unchecked(r, dc, warmup, now) ||
		      (dc->reported_at > 0 && now - dc->reported_at < REPORT_MAX_AGE));
}

bool ap_fleet_uninformed(const ap_fleet_t *f, ap_usec_t now)
{
	if (f->informed || f->started_at == 0 || now - f->started_at >= f->config.learn_time)
		return false;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (ap_is_live_other(f, m, now) && ap_in_own_region(f, m) && m->heard_at == 0)
			return true;
	}
	return false; /* all others have started, too */
}

static bool needs_check(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	const ap_pool_state_t *p = ap_pool_state(f, r->entry.pool);
	const ap_data_centre_state_t *dc = ap_data_centre_find(f, r->entry.data_centre);

	return p && dc && r->own_region && is_unchecked(r, dc, p->warmup, now) &&
	       now >= dc->evacuation_ended_at + CHECK_DELAY &&
	       (r->check_sent_at == 0 || now - r->check_sent_at >= CHECK_RETRY) &&
	       ap_replica_usable(f, r, now) && ap_owner_is_self(f, r, now);
}

bool ap_fleet_next_health_check(ap_fleet_t *f, ap_usec_t now, ap_replica_entry_t *replica)
{
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (ap_backoff_pausing(f, r, now))
			continue;
		if (needs_check(f, r, now))
			r->check_sent_at = now;
		else if (!ap_break_needs_check(r, now) && !ap_path_needs_check(f, r, now) &&
			 !ap_leaving_needs_check(f, r, now) && !ap_cold_needs_check(f, r, now))
			continue;
		*replica = r->entry;
		return true;
	}
	return false;
}

void ap_fleet_health_checked(ap_fleet_t *f, const char *id, ap_usec_t cold_left, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (!r)
		return;
	ap_path_seen(f, r, now);
	ap_break_forget(r);
	ap_leaving_checked(f, r, now);
	if (ap_cold_checked(f, r, cold_left, now))
		return;
	r->check_answered_at = now;
	r->announce_until = now + (cold_left > ANNOUNCE_TIME ? cold_left : ANNOUNCE_TIME);
}

void ap_fleet_health_check_refused(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (r)
		ap_replica_ended(f, r, now);
}
