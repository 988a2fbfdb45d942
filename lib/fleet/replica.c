/* State of upstreams: listed, draining, expired, evacuated, cold. */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define SHUTDOWN_MARGIN (300 * AP_MSEC) /* time for a short response before a shutdown */
/* Time between two ticks that counts as a freeze. */
#define FREEZE_MIN (800 * AP_MSEC)
/* Announced ends of evacuations that differ by less are the same one, delayed. */
#define SAME_END (1500 * AP_MSEC)

ap_replica_t *ap_replica_by_tag(const ap_fleet_t *f, uint32_t tag)
{
	ap_replica_t *r;

	HASH_FIND(by_tag, f->tagged, &tag, sizeof(tag), r);
	return r;
}

ap_replica_t *ap_replica_find(const ap_fleet_t *f, const char *id)
{
	ap_replica_t *r;

	HASH_FIND_STR(f->replicas, id, r);
	return r;
}

void ap_report_replica_event(const ap_fleet_t *f, ap_fleet_event_kind_t kind, const ap_replica_t *r,
			     ap_usec_t lasts, ap_usec_t now)
{
	const ap_fleet_event_t event = {
		.kind = kind,
		.id = r->entry.id,
		.entry_age = now - r->received_at,
		.lasts = lasts,
		.failures = r->failures,
		.limit = r->limit,
	};

	if (f->config.on_event)
		f->config.on_event(f->config.ctx, &event);
}

static ap_data_centre_state_t *get_data_centre(ap_fleet_t *f, const char *data_centre)
{
	ap_data_centre_state_t *dc;

	HASH_FIND_STR(f->data_centres, data_centre, dc);
	if (dc)
		return dc;
	dc = calloc(1, sizeof(*dc));
	if (!dc)
		return NULL;
	ap_copy_name(dc->data_centre, sizeof(dc->data_centre), data_centre);
	HASH_ADD_STR(f->data_centres, data_centre, dc);
	return dc;
}

void ap_fleet_set_data_centre(ap_fleet_t *f, const char *data_centre, const char *region)
{
	ap_data_centre_state_t *dc = get_data_centre(f, data_centre);

	if (dc)
		ap_copy_name(dc->region, sizeof(dc->region), region);
}

const ap_data_centre_state_t *ap_data_centre_find(const ap_fleet_t *f, const char *data_centre)
{
	const ap_data_centre_state_t *dc;

	HASH_FIND_STR(f->data_centres, data_centre, dc);
	return dc;
}

const char *ap_data_centre_region(const ap_fleet_t *f, const char *data_centre)
{
	const ap_data_centre_state_t *dc = ap_data_centre_find(f, data_centre);

	return dc ? dc->region : "";
}

bool ap_replica_evacuated(const ap_fleet_t *f, const ap_replica_t *r)
{
	const ap_data_centre_state_t *dc = ap_data_centre_find(f, r->entry.data_centre);

	return dc && dc->evacuated;
}

bool ap_replica_cold(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t warmup, ap_usec_t now)
{
	return now < r->cold_until || ap_replica_maybe_cold(f, r, warmup, now) ||
	       ap_fleet_uninformed(f, now);
}

bool ap_replica_usable(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	return !r->address_reused && !ap_replica_leaving(f, r) && now < r->expires_at &&
	       !ap_replica_evacuated(f, r) && now < ap_replica_stops_at(f, r) - SHUTDOWN_MARGIN;
}

static ap_replica_t *add_replica(ap_fleet_t *f, const ap_replica_entry_t *entry)
{
	ap_replica_t *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->entry = *entry;
	r->slowdown = 1;
	r->serial = ++f->replicas_added;
	r->tag = (uint32_t)ap_hash_str(entry->id, 0);
	ap_prefix_cache_init(&r->cache);
	ap_copy_name(r->region, sizeof(r->region), ap_data_centre_region(f, entry->data_centre));
	r->own_region = strcmp(r->region, f->config.region) == 0;
	HASH_ADD(hh, f->replicas, entry.id, strlen(r->entry.id), r);
	HASH_ADD(by_tag, f->tagged, tag, sizeof(r->tag), r);
	return r;
}

void ap_fleet_set_known_at(ap_fleet_t *f, ap_usec_t at)
{
	f->known_at = at;
}

/*
 * The upstream restarted under its old id. Requests that were sent before belong to the state of
 * before, see @serial.
 */
static void forget_life(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	r->serial = ++f->replicas_added;
	r->address_reused = false;
	r->own = (ap_load_t){0};
	r->others = (ap_load_t){0};
	r->failure_rate = 0;
	r->failures = 0;
	ap_replica_readmit(f, r, now);
	r->trial = false;
	r->slowdown = 1;
	r->room = (ap_bucket_t){0};
	r->new_unnamed_tokens = 0;
	ap_prefix_cache_clear(f, &r->cache);
}

void ap_fleet_update_replica(ap_fleet_t *f, const ap_replica_entry_t *entry, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, entry->id);
	ap_replica_entry_t before = {0};
	bool was_listed = r && r->expires_at == AP_NEVER;

	if (r && !f->listing)
		r->changed_at = now;
	if (r)
		before = r->entry;
	if (!r)
		r = add_replica(f, entry);
	if (!r)
		return;
	if (r->build != 0 && r->build != ap_build_of(entry->pool, entry->version))
		ap_build_gone(f, r, false, now);
	r->entry = *entry;
	/* An entry without it says nothing of a restart. */
	if (entry->born == 0)
		r->entry.born = before.born;
	else if (before.born != 0 && entry->born != before.born)
		forget_life(f, r, now);
	r->build = ap_build_of(entry->pool, entry->version);
	ap_weights_listed(f, r, &before, now);
	r->received_at = now;
	r->expires_at = AP_NEVER;
	r->listed = true;
	if (entry->draining)
		ap_leaving_recorded(f, r, now);
	ap_replica_set_cold_left(f, r, entry->cold_left, "record", now);
	if (entry->shutdown_in != AP_NEVER)
		ap_stop_recorded(f, r, was_listed ? f->known_at : 0, now);
}

static void remove_replica(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	ap_build_gone(f, r, !ap_replica_leaving(f, r), now);
	ap_weights_gone(f, r, now);
	HASH_DEL(f->replicas, r);
	HASH_DELETE(by_tag, f->tagged, r);
	ap_prefix_cache_clear(f, &r->cache);
	ap_break_forget(r);
	free(r);
}

void ap_fleet_remove_replica(ap_fleet_t *f, const char *id, bool may_return, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (!r)
		return;
	/*
	 * If its entry is gone, a draining upstream has stopped. The entry of any other one may
	 * have expired only because the store was unreachable.
	 */
	if (!may_return || r->entry.draining)
		remove_replica(f, r, now);
	else if (r->expires_at == AP_NEVER)
		r->expires_at = now + f->config.entry_grace;
}

void ap_fleet_list_begin(ap_fleet_t *f)
{
	f->listing = true;
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next)
		r->listed = false;
	for (ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next)
		dc->listed = false;
	for (ap_member_state_t *m = f->members; m; m = m->hh.next)
		m->listed = false;
}

void ap_fleet_list_end(ap_fleet_t *f, bool may_return, ap_usec_t now)
{
	ap_replica_t *next;
	ap_replica_t *r;

	f->listing = false;
	HASH_ITER (hh, f->replicas, r, next) {
		if (!r->listed)
			ap_fleet_remove_replica(f, r->entry.id, may_return, now);
	}
	for (ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next) {
		if (!dc->listed && dc->evacuated)
			ap_fleet_evacuate(f, dc->data_centre, true, now);
	}
	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!m->listed)
			ap_fleet_remove_member(f, m->member.id, now);
	}
}

void ap_evacuation_heard(ap_fleet_t *f, const char *data_centre, bool ended, ap_usec_t at,
			 ap_usec_t now)
{
	ap_data_centre_state_t *dc = get_data_centre(f, data_centre);

	if (!dc || dc->evacuated)
		return;
	if (!ended && at > dc->evacuation_ended_at)
		dc->reported_at = now;
	else if (ended && (dc->evacuation_ended_at == 0 || at > dc->evacuation_ended_at + SAME_END))
		dc->evacuation_ended_at = at;
}

ap_usec_t ap_longest_warmup(const ap_fleet_t *f)
{
	ap_usec_t longest = 0;

	for (const ap_pool_state_t *p = f->pools; p; p = p->hh.next)
		longest = p->warmup > longest ? p->warmup : longest;
	return longest;
}

void ap_fleet_evacuate(ap_fleet_t *f, const char *data_centre, bool off, ap_usec_t now)
{
	ap_data_centre_state_t *dc = get_data_centre(f, data_centre);

	if (!dc)
		return;
	if (dc->evacuated && off) {
		dc->evacuation_ended_at = now;
		f->announced_at = 0; /* instances that don't know of it may be sending */
	}
	if (!dc->evacuated && !off)
		dc->evacuation_began_at = now;
	dc->evacuated = !off;
	dc->listed = true;
}

void ap_fleet_tick(ap_fleet_t *f, ap_usec_t now)
{
	ap_replica_t *next;
	ap_replica_t *r;
	ap_member_state_t *m;

	f->ticked_at = now;
	HASH_ITER (hh, f->replicas, r, next) {
		if (now < r->expires_at)
			continue;
		ap_report_replica_event(f, AP_FLEET_EVENT_EXPIRED, r, 0, now);
		remove_replica(f, r, now);
	}
	for (m = f->members; m; m = m->hh.next) {
		if (m->removed && now >= m->expires_at && m->n_loads > 0) {
			free(m->loads);
			m->loads = NULL;
			m->n_loads = 0;
		}
	}
	ap_leaving_tick(f, now);
	ap_backoff_tick(f, now);
	ap_suspects_tick(f, now);
	ap_paths_tick(f, now);
	ap_brittle_tick(f, now);
	ap_usage_tick(f, now);
	ap_load_recount(f, now);
	ap_room_tick(f, now);
}

void ap_fleet_after_freeze(ap_fleet_t *f, ap_usec_t now)
{
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		r->failures = 0;
		r->ejected_until = 0;
		ap_break_forget(r);
	}
	for (ap_member_state_t *m = f->members; m; m = m->hh.next)
		m->heard_at = 0;
	f->informed = false;
	f->relay_heard_at = now;
	f->started_at = now;
}

void ap_notice_freeze(ap_fleet_t *f, ap_usec_t now)
{
	if (f->ticked_at == 0 || now - f->ticked_at <= FREEZE_MIN)
		return;
	f->ticked_at = now;
	ap_fleet_after_freeze(f, now);
}

ap_fleet_stats_t ap_fleet_stats(const ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_stats_t stats = {
		.members = ap_fleet_count_members(f, NULL),
		.suspect_parts = ap_suspects_count(f, false),
		.suspect_requests = ap_suspects_count(f, true),
		.backoff = ap_backoff_count(f, now),
		.relay_served = ap_relay_served(f, now),
		.room_pools = ap_room_pools(f),
		.room_forwarded = f->room_forwarded,
		.room_refused = f->room_refused,
		.batch_dropped = f->batch_dropped,
		.skipped = f->skipped,
		.fetches = f->fetches,
	};

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		stats.replicas++;
		stats.usable += ap_replica_usable(f, r, now);
		stats.draining += ap_replica_leaving(f, r);
		stats.cold += now < r->cold_until;
		stats.ejected += now < r->ejected_until;
		stats.unreachable += r->path_lost_at != 0;
		stats.limited += r->limited;
		stats.brittle += r->brittle;
		for (size_t i = 0; i < AP_PRIORITIES; i++)
			stats.running += r->own.running[i];
	}
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		stats.other_wire += !m->removed && (m->member.wire_oldest > AP_WIRE_VERSION ||
						    m->member.wire_newest < AP_WIRE_VERSION);
	return stats;
}
