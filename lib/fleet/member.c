/* Other instances: live, leaving, lapsed, suspected; and which of them callers should use. */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define MEMBER_GRACE (1500 * AP_MSEC) /* a lapsed one that is alive enters itself again by then */

ap_member_state_t *ap_member_find(const ap_fleet_t *f, const char *id)
{
	ap_member_state_t *m;

	HASH_FIND_STR(f->members, id, m);
	return m;
}

bool ap_member_live(const ap_member_state_t *m, ap_usec_t now)
{
	return !m->removed || now < m->lapses;
}

void ap_fleet_member(ap_fleet_t *f, const ap_member_t *member, ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, member->id);

	(void)now;
	if (!m) {
		m = calloc(1, sizeof(*m));
		if (!m)
			return;
		m->member = *member;
		HASH_ADD(hh, f->members, member.id, strlen(m->member.id), m);
	}
	m->member = *member;
	m->removed = false;
	m->listed = true;
	m->suspect_until = 0;
	if (ap_fleet_members(f, NULL) > f->most_members)
		f->most_members = ap_fleet_members(f, NULL);
}

void ap_fleet_member_removed(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, id);

	if (!m || m->removed || strcmp(id, f->config.id) == 0)
		return;
	m->removed = true;
	m->lapses = m->member.leaving ? now : now + MEMBER_GRACE;
}

size_t ap_fleet_members(const ap_fleet_t *f, const char *region)
{
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!m->removed && (!region || strcmp(m->member.region, region) == 0))
			n++;
	}
	return n;
}

static size_t name_those(const ap_fleet_t *f, const char *region, const ap_member_t **out,
			 size_t max, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; m && n < max; m = m->hh.next) {
		if (!ap_member_live(m, now) || m->member.leaving)
			continue;
		if (!region || strcmp(m->member.region, region) == 0)
			out[n++] = &m->member;
	}
	return n;
}

size_t ap_fleet_directory(const ap_fleet_t *f, const char *region, const ap_member_t **out,
			  size_t max, ap_usec_t now)
{
	size_t n = name_those(f, region, out, max, now);

	return n > 0 ? n : name_those(f, NULL, out, max, now);
}

const ap_member_t *ap_member_of_region(ap_fleet_t *f, const char *region, const ap_work_t *work,
				       ap_usec_t now)
{
	const ap_member_t *chosen = NULL;
	uint64_t seen = 0;

	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!ap_member_live(m, now) || m->member.leaving || now < m->suspect_until ||
		    strcmp(m->member.region, region) != 0 || ap_work_avoids(work, m->member.id))
			continue;
		/* Each of those seen so far is as likely to be the chosen one. */
		if (ap_rng_below(&f->rng, ++seen) == 0)
			chosen = &m->member;
	}
	return chosen;
}
