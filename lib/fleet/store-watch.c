/*
 * Which instances watch the store: in a large region some do for all, and relay its changes.
 */
#include "fleet/private.h"

#include <string.h>

#define WATCHER_KEY 11
#define WATCHERS 3	   /* per region: two may lose the store without noticing */
#define SHARED_WATCH_MIN 7 /* instances; in a smaller region each watches for itself */
/*
 * Longer messages are not sent: each instance then reads the store itself. Relays pass on one copy
 * of what several watchers tell; without relays each watcher sends to all.
 */
#define CHANGES_BYTES_MAX (8 << 10)
#define CHANGES_BYTES_MAX_RELAYED (256 << 10)
#define WATCHER_MAX_AGE (1600 * AP_MSEC) /* announcements come at least once a second */

void ap_fleet_set_store_state(ap_fleet_t *f, bool watching, uint64_t era, uint64_t revision)
{
	/* Announces a change at once, so that the other instances need not query the store for it.
	 */
	if (watching && (era != f->store_era || revision != f->store_revision))
		f->announced_at = 0;
	f->watches_store = watching;
	f->store_era = era;
	f->store_revision = revision;
}

void ap_fleet_set_store_silent(ap_fleet_t *f, bool silent)
{
	f->store_silent = silent;
}

void ap_fleet_set_store_known(ap_fleet_t *f, ap_usec_t read_at, ap_usec_t unbroken_since)
{
	f->store_read_at = read_at;
	f->store_unbroken_since = unbroken_since;
}

void ap_fleet_routes_moved(ap_fleet_t *f, ap_usec_t now)
{
	f->routes_moved_at = now;
}

static bool shares_store_watch(const ap_fleet_t *f, ap_usec_t now)
{
	size_t instances = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		instances += ap_member_live(m, now) && ap_in_own_region(f, m);
	return instances >= SHARED_WATCH_MIN;
}

void ap_fleet_relay(ap_fleet_t *f, const ap_peer_port_t *peer, const void *data, size_t len,
		    ap_usec_t now)
{
	if (len <= (f->relayed ? CHANGES_BYTES_MAX_RELAYED : CHANGES_BYTES_MAX) &&
	    shares_store_watch(f, now))
		ap_relay_send_to_region(f, peer, data, len, now);
}

/* Watchers are chosen by hash, so that all instances agree without communication. */
double ap_watcher_score(const char *id)
{
	return ap_rendezvous(WATCHER_KEY, ap_hash_str(id, 7), 1);
}

bool ap_fleet_store_watched(const ap_fleet_t *f, ap_usec_t now, uint64_t *era, uint64_t *revision)
{
	double own = ap_watcher_score(f->config.id);
	size_t without_era = 0; /* these can't tell of changes in an era that others read */
	size_t watching = 0;

	*era = 0;
	*revision = 0;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!m->watches_store || !m->own_region || now - m->heard_at > WATCHER_MAX_AGE ||
		    !ap_is_live_other(f, m, now))
			continue;
		if (m->store_era > *era) {
			*era = m->store_era;
			*revision = 0;
		}
		if (m->store_era == *era && m->store_revision > *revision)
			*revision = m->store_revision;
		if (m->store_era == 0)
			without_era += m->watcher_score > own;
		else
			watching += m->watcher_score > own;
	}
	if (*era == 0)
		watching += without_era;
	return watching >= WATCHERS && shares_store_watch(f, now);
}
