/* Upstreams that say in their responses that they leave. */
#include "fleet/private.h"

#include <stdlib.h>

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

void ap_fleet_leaving_seen(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	const ap_replica_t *r = ap_replica_find(f, id);
	ap_leaving_t *l = get(f, (uint32_t)ap_hash_str(id, 0));

	if (!l)
		return;
	if (l->at == 0 && r)
		ap_report_replica_event(f, AP_FLEET_EVENT_LEAVING, r, 0, now);
	l->at = now;
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
		if (now - l->at > MAX_AGE)
			remove_leaving(f, l);
	}
}
