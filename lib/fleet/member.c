/* Other instances: live, leaving, lapsed, suspected; and which of them callers should use. */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define LEAVING_NAMED (2200 * AP_MSEC) /* less than the last one of a region takes connections */
#define START_SETTLES (2 * AP_SEC)     /* some reads of the store, far away ones included */
#define HEARD_FRESH (1500 * AP_MSEC)   /* some rounds of what instances tell each other */
#define SUSPECT_TIME (1 * AP_SEC)      /* some of the time that a connection may take */
#define MEMBER_GRACE (1500 * AP_MSEC)  /* a lapsed one that is alive enters itself again by then */

ap_member_state_t *ap_member_find(const ap_fleet_t *f, const char *id)
{
	ap_member_state_t *m;

	HASH_FIND_STR(f->members, id, m);
	return m;
}

bool ap_member_live(const ap_member_state_t *m, ap_usec_t now)
{
	return !m->removed || now < m->lapses ||
	       (m->heard_at > 0 && now - m->heard_at < HEARD_FRESH);
}

void ap_member_changed(ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now)
{
	bool self = strcmp(m->member.id, f->config.id) == 0;

	if (strcmp(m->member.region, f->config.region) != 0)
		return;
	/* Those that started with it enter themselves, and are read, by then. */
	if (self && f->members_changed == 0)
		now += START_SETTLES;
	if (now > f->members_changed)
		f->members_changed = now;
}

void ap_member_suspect(const ap_fleet_t *f, ap_member_state_t *m, ap_usec_t now)
{
	const ap_fleet_event_t note = {
		.belief = AP_FLEET_EVENT_SUSPECTED,
		.id = m->member.id,
		.lasts = SUSPECT_TIME,
	};

	if (now >= m->suspect_until && f->config.believed)
		f->config.believed(f->config.ctx, &note);
	m->suspect_until = now + SUSPECT_TIME;
}

void ap_fleet_update_member(ap_fleet_t *f, const ap_member_t *member, ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, member->id);
	bool changed;

	if (!m) {
		m = calloc(1, sizeof(*m));
		if (!m)
			return;
		ap_copy_name(m->member.id, sizeof(m->member.id), member->id);
		HASH_ADD(hh, f->members, member.id, strlen(m->member.id), m);
	}
	if (member->leaving && !m->member.leaving)
		m->draining_from = now;
	changed = m->removed || !m->listed || member->leaving != m->member.leaving;
	m->member = *member;
	if (changed)
		ap_member_changed(f, m, now);
	m->removed = false;
	m->listed = true;
	m->suspect_until = 0;
	if (ap_fleet_count_members(f, NULL) > f->most_members)
		f->most_members = ap_fleet_count_members(f, NULL);
}

void ap_fleet_remove_member(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, id);

	if (!m || m->removed || strcmp(id, f->config.id) == 0)
		return;
	m->removed = true;
	ap_member_changed(f, m, now);
	m->lapses = m->member.leaving ? now : now + MEMBER_GRACE;
}

size_t ap_fleet_count_members(const ap_fleet_t *f, const char *region)
{
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!m->removed && (!region || strcmp(m->member.region, region) == 0))
			n++;
	}
	return n;
}

size_t ap_fleet_active_peers(const ap_fleet_t *f, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		n += ap_member_live(m, now) && !m->member.leaving &&
		     strcmp(m->member.region, f->config.region) == 0 &&
		     strcmp(m->member.id, f->config.id) != 0;
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

void ap_fleet_each_member(const ap_fleet_t *f, void (*show)(void *ctx, const ap_member_t *member),
			  void *ctx)
{
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		show(ctx, &m->member);
}

/* Which instances an answer of the directory may name. */
typedef enum naming {
	NAME_STAYING, /* of the caller's region */
	NAME_LEAVING, /* of the caller's region, while they still take connections */
	NAME_HOMES,   /* of regions in which most of what the caller may ask for is served */
	NAMINGS,
} naming_t;

typedef struct asker {
	const ap_plan_t *plan;
	const char *host;
	const char *region;
	size_t most_homes; /* routes that a region with an instance that stays may serve */
	ap_usec_t now;
} asker_t;

static size_t homes_at(const ap_member_t *member, const asker_t *a)
{
	return a->plan ? ap_plan_count_routes(a->plan, a->host, member->region) : 0;
}

static void find_most_homes(const ap_fleet_t *f, asker_t *a)
{
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (ap_member_live(m, a->now) && !m->member.leaving &&
		    homes_at(&m->member, a) > a->most_homes)
			a->most_homes = homes_at(&m->member, a);
	}
}

static bool may_name(const ap_member_state_t *m, naming_t naming, const asker_t *a)
{
	const ap_member_t *member = &m->member;
	bool near = strcmp(member->region, a->region) == 0;

	if (!ap_member_live(m, a->now))
		return false;
	switch (naming) {
	case NAME_STAYING:
		return near && !member->leaving;
	case NAME_LEAVING:
		return near && a->now < m->draining_from + LEAVING_NAMED;
	case NAME_HOMES:
		return !member->leaving && homes_at(member, a) == a->most_homes;
	case NAMINGS:
		break;
	}
	return false;
}

size_t ap_fleet_directory(const ap_fleet_t *f, const ap_plan_t *plan, const char *host,
			  const char *region, const ap_member_t **out, size_t max, bool *stopgap,
			  ap_usec_t now)
{
	asker_t asker = {.plan = plan, .host = host, .region = region, .now = now};
	size_t n = 0;

	for (naming_t naming = NAME_STAYING; naming < NAMINGS && n == 0; naming++) {
		*stopgap = naming != NAME_STAYING;
		if (naming == NAME_HOMES)
			find_most_homes(f, &asker);
		for (const ap_member_state_t *m = f->members; m && n < max; m = m->hh.next) {
			if (may_name(m, naming, &asker))
				out[n++] = &m->member;
		}
	}
	return n;
}

const ap_member_t *ap_pick_remote_member(ap_fleet_t *f, const char *region,
					 const ap_dispatch_t *work, ap_usec_t now)
{
	const ap_member_t *chosen = NULL;
	bool sound = false;
	uint64_t seen = 0;

	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		bool suspected = now < m->suspect_until;

		if (!ap_member_live(m, now) || m->member.leaving || (sound && suspected) ||
		    strcmp(m->member.region, region) != 0 || ap_dispatch_avoids(work, m->member.id))
			continue;
		if (!sound && !suspected) {
			sound = true;
			seen = 0;
		}
		/* Each of those seen so far is as likely to be the chosen one. */
		if (ap_rng_below(&f->rng, ++seen) == 0)
			chosen = &m->member;
	}
	return chosen;
}
