/* What an instance of region_world.h does with the items that it reads, and snapshots of them. */
#ifndef AP_TEST_ITEMS_WORLD_H
#define AP_TEST_ITEMS_WORLD_H

#include "store_world.h"

static inline void sw_op_listing(void *ctx, bool begin)
{
	sw_instance_t *n = ctx;
	ap_usec_t now = n->w->sim.now;

	ap_snapshot_listing(n->snapshot, begin);
	if (begin)
		ap_fleet_list_begin(n->fleet);
	else
		ap_fleet_list_end(n->fleet, ap_follow_recovering(n->follow, now), now);
	n->informed = n->informed || !begin;
}

static inline void sw_op_item(void *ctx, const ap_store_item_t *item)
{
	sw_instance_t *n = ctx;
	ap_usec_t now = n->w->sim.now;
	const char *name = strchr(item->key, '/') + 1;
	sw_value_t value = {0};

	ap_snapshot_put(n->snapshot, item);
	if (!item->removed)
		memcpy(&value, item->value, sizeof(value));
	if (strncmp(item->key, "evacuate/", 9) == 0) {
		ap_fleet_evacuate(n->fleet, name, item->removed, now);
	} else if (strncmp(item->key, "servers/", 8) == 0) {
		if (item->removed)
			ap_fleet_remove_replica(n->fleet, name,
						ap_follow_recovering(n->follow, now), now);
		else
			ap_fleet_update_replica(n->fleet, &value.replica, now);
	} else if (strcmp(name, n->id) == 0) {
		ap_registration_seen(n->registration, item->removed ? 0 : item->revision, now);
	} else if (item->removed) {
		ap_fleet_remove_member(n->fleet, name, now);
	} else {
		ap_fleet_update_member(n->fleet, &value.member, now);
	}
}

typedef struct sw_snapshot {
	sw_instance_t *to;
	unsigned life;
	uint64_t era;
	uint64_t revision;
	size_t len;
	unsigned char data[];
} sw_snapshot_t;

static inline void sw_on_snapshot(void *arg, void *data)
{
	sw_snapshot_t *s = data;
	sw_instance_t *n = s->to;

	(void)arg;
	/* If the store has responded meanwhile, its items are newer. */
	if (!n->up || n->life != s->life ||
	    !ap_follow_take_snapshot(n->follow, s->era, s->revision))
		return;
	sw_op_listing(n, true);
	assert_true(ap_snapshot_unpack(s->data, s->len, n, sw_op_item));
	sw_op_listing(n, false);
}

/* Takes the items from another instance, as one does that starts while the store is unreachable. */
static inline void sw_seed(sw_instance_t *n)
{
	sw_t *w = n->w;
	const sw_instance_t *other = &w->instances[ap_rng_below(&w->sim.rng, SW_INSTANCES)];
	sw_snapshot_t *s;
	size_t len;
	void *bytes;

	if (!ap_follow_wants_snapshot(n->follow) || w->sim.now < n->seed_at || other == n ||
	    !other->up || n->alone || other->alone ||
	    ap_follow_age(other->follow, w->sim.now) == AP_NEVER)
		return;
	bytes = ap_snapshot_pack(other->snapshot, NULL, &len);
	s = calloc(1, sizeof(*s) + len);
	assert_non_null(s);
	s->to = n;
	s->life = n->life;
	s->era = ap_follow_era(other->follow);
	s->revision = ap_follow_revision(other->follow);
	s->len = len;
	memcpy(s->data, bytes, len);
	free(bytes);
	fake_at(&w->sim, w->sim.now + w->seed_time, sw_on_snapshot, NULL, s);
	n->seed_at = w->sim.now + SW_SEED_AGAIN;
}

#endif
