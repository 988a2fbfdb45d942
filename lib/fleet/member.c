/* State of instances: live, draining, expired, suspected; and which of them callers should use. */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

/* Shorter than the time for which the last active instance of a region listens while draining. */
#define DRAINING_LISTED (2200 * AP_MSEC)
#define START_SETTLE_TIME (2 * AP_SEC) /* several reads of the store, also from a remote region */
#define HEARD_MAX_AGE (1500 * AP_MSEC) /* above the IDLE_INTERVAL of announce.c */
#define SUSPECT_TIME (1 * AP_SEC)      /* longer than the connect timeout between regions */
/* A live instance whose registration expired registers again within this time. */
#define MEMBER_GRACE (1500 * AP_MSEC)

ap_member_state_t *ap_member_find(const ap_fleet_t *f, const char *id)
{
	ap_member_state_t *m;

	HASH_FIND_STR(f->members, id, m);
	return m;
}

bool ap_member_heard(const ap_member_state_t *m, ap_usec_t now)
{
	return m->heard_at > 0 && now - m->heard_at < HEARD_MAX_AGE;
}

bool ap_member_live(const ap_member_state_t *m, ap_usec_t now)
{
	return !m->removed || now < m->expires_at || ap_member_heard(m, now);
}

bool ap_is_live_other(const ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now)
{
	(void)f;
	return !m->self && ap_member_live(m, now);
}

bool ap_in_own_region(const ap_fleet_t *f, const ap_member_state_t *m)
{
	(void)f;
	return m->own_region;
}

void ap_member_changed(ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now)
{
	bool self = strcmp(m->member.id, f->config.id) == 0;

	if (strcmp(m->member.region, f->config.region) != 0)
		return;
	/* By the end of this time, instances that start together have registered and been read. */
	if (self && f->members_changed_at == 0) {
		f->started_at = now;
		now += START_SETTLE_TIME;
	}
	if (now > f->members_changed_at)
		f->members_changed_at = now;
}

void ap_member_suspect(const ap_fleet_t *f, ap_member_state_t *m, ap_usec_t now)
{
	const ap_fleet_event_t event = {
		.kind = AP_FLEET_EVENT_SUSPECTED,
		.id = m->member.id,
		.lasts = SUSPECT_TIME,
	};

	if (now >= m->suspect_until && f->config.on_event)
		f->config.on_event(f->config.ctx, &event);
	m->suspect_until = now + SUSPECT_TIME;
}

void ap_fleet_update_member(ap_fleet_t *f, const ap_member_t *member, ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, member->id);
	size_t count;
	bool changed;

	if (!m) {
		m = calloc(1, sizeof(*m));
		if (!m)
			return;
		ap_copy_name(m->member.id, sizeof(m->member.id), member->id);
		m->tag = ap_member_tag(member->id);
		HASH_ADD(hh, f->members, member.id, strlen(m->member.id), m);
		HASH_ADD(by_tag, f->member_tags, tag, sizeof(m->tag), m);
	}
	if (member->draining && !m->member.draining)
		m->draining_from = now;
	changed = m->removed || !m->listed || member->draining != m->member.draining;
	m->member = *member;
	m->self = strcmp(member->id, f->config.id) == 0;
	m->own_region = strcmp(member->region, f->config.region) == 0;
	m->watcher_score = ap_watcher_score(member->id);
	ap_relay_member_init(m);
	if (changed)
		ap_member_changed(f, m, now);
	m->removed = false;
	m->listed = true;
	m->suspect_until = 0;
	if (changed) {
		count = ap_fleet_count_members(f, NULL);
		if (count > f->most_members)
			f->most_members = count;
	}
}

void ap_fleet_remove_member(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, id);

	if (!m || m->removed || strcmp(id, f->config.id) == 0)
		return;
	m->removed = true;
	ap_member_changed(f, m, now);
	m->expires_at = m->member.draining ? now : now + MEMBER_GRACE;
}

size_t ap_fleet_count_members(const ap_fleet_t *f, const char *region)
{
	bool own = region && strcmp(region, f->config.region) == 0;
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!m->removed &&
		    (!region || (own ? m->own_region : strcmp(m->member.region, region) == 0)))
			n++;
	}
	return n;
}

size_t ap_fleet_active_peers(const ap_fleet_t *f, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		n += ap_is_live_other(f, m, now) && ap_in_own_region(f, m) && !m->member.draining;
	}
	return n;
}

bool ap_fleet_knows_host(const ap_fleet_t *f, const char *host)
{
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (strcmp(m->member.host, host) == 0)
			return true;
	}
	return false;
}

void ap_fleet_each_member(const ap_fleet_t *f, void (*visit)(void *ctx, const ap_member_t *member),
			  void *ctx)
{
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		visit(ctx, &m->member);
}

/* Which instances the directory lists; a kind is listed only if all earlier kinds are empty. */
typedef enum listing {
	LIST_REACHING,	   /* of the caller's region, unless they have lost paths */
	LIST_ACTIVE,	   /* of the caller's region */
	LIST_DRAINING,	   /* of the caller's region, while they still accept connections */
	LIST_HOME_REGIONS, /* of the regions that may serve most routes of the requested host */
	LISTINGS,
} listing_t;

typedef struct directory_query {
	const ap_plan_t *plan;
	const char *host;
	const char *region;
	size_t most_routes; /* most routes that the region of an active instance may serve */
	ap_usec_t now;
} directory_query_t;

static size_t routes_at(const ap_member_t *member, const directory_query_t *q)
{
	return q->plan ? ap_plan_count_routes(q->plan, q->host, member->region) : 0;
}

static void find_most_routes(const ap_fleet_t *f, directory_query_t *q)
{
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (ap_member_live(m, q->now) && !m->member.draining &&
		    routes_at(&m->member, q) > q->most_routes)
			q->most_routes = routes_at(&m->member, q);
	}
}

static bool may_list(const ap_member_state_t *m, listing_t listing, const directory_query_t *q)
{
	const ap_member_t *member = &m->member;
	bool same_region = strcmp(member->region, q->region) == 0;

	if (!ap_member_live(m, q->now))
		return false;
	switch (listing) {
	case LIST_REACHING:
		return same_region && !member->draining && !ap_member_cut_off(m, q->now);
	case LIST_ACTIVE:
		return same_region && !member->draining;
	case LIST_DRAINING:
		return same_region && q->now < m->draining_from + DRAINING_LISTED;
	case LIST_HOME_REGIONS:
		return !member->draining && routes_at(member, q) == q->most_routes;
	case LISTINGS:
		break;
	}
	return false;
}

size_t ap_fleet_directory(const ap_fleet_t *f, const ap_plan_t *plan, const char *host,
			  const char *region, const ap_member_t **out, size_t max, bool *fallback,
			  ap_usec_t now)
{
	directory_query_t query = {.plan = plan, .host = host, .region = region, .now = now};
	size_t n = 0;

	for (listing_t listing = 0; listing < LISTINGS && n == 0; listing++) {
		*fallback = listing > LIST_ACTIVE;
		if (listing == LIST_HOME_REGIONS)
			find_most_routes(f, &query);
		for (const ap_member_state_t *m = f->members; m && n < max; m = m->hh.next) {
			if (may_list(m, listing, &query))
				out[n++] = &m->member;
		}
	}
	return n;
}

/* How little an instance is trusted with a request; the least is chosen. */
typedef enum distrust {
	DISTRUST_NONE,
	DISTRUST_TRIED, /* the request failed there, maybe at an upstream */
	DISTRUST_SUSPECTED,
	DISTRUSTS,
} distrust_t;

static distrust_t distrust_of(const ap_member_state_t *m, const ap_dispatch_t *req, ap_usec_t now)
{
	/* While its record is gone it may have ended; what is in flight there is waited for. */
	if (now < m->suspect_until || (m->removed && !ap_member_heard(m, now)))
		return DISTRUST_SUSPECTED;
	return ap_dispatch_tried(req, m->member.id) ? DISTRUST_TRIED : DISTRUST_NONE;
}

const ap_member_t *ap_pick_member(ap_fleet_t *f, const char *region, const ap_dispatch_t *req,
				  ap_usec_t now)
{
	const ap_member_t *chosen = NULL;
	uint32_t key = ap_region_tag(region);
	distrust_t least = DISTRUSTS;
	uint64_t n = 0;

	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		distrust_t distrust = distrust_of(m, req, now);

		if (m->region != key || m->member.draining || distrust > least ||
		    !ap_is_live_other(f, m, now) || ap_dispatch_avoids(req, m->member.id) ||
		    !ap_member_reaches(m, req->pool->name, now))
			continue;
		if (distrust < least) {
			least = distrust;
			n = 0;
		}
		/* Reservoir sampling: each instance seen so far is equally likely to be chosen. */
		if (ap_rng_below(&f->rng, ++n) == 0)
			chosen = &m->member;
	}
	return chosen;
}
