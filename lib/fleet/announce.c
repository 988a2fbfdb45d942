/*
 * Announcements between instances. Within a region, an instance announces its load at each
 * upstream, the prefixes it sent there, and whether it is draining, so that this is known while the
 * store is unreachable. Remote regions get the waits at the region's upstreams. Each message is
 * complete in itself, so that a lost one only makes the receiver's state older.
 */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_INTERVAL (250 * AP_MSEC) /* well below the mean time of an engine's request */
#define WAITS_INTERVAL (500 * AP_MSEC)	  /* the waits of a region change over seconds */
#define WAITS_SENDERS 3		/* instances of a region that send waits to one remote instance */
#define MESSAGES_PER_SECOND 100 /* sent by one instance at regular intervals, see CAPACITY.md */
#define LONG_PREFILL_US 50000.0 /* most requests wait less than this in total */
#define LONG_PROMPT_INTERVAL (100 * AP_MSEC) /* after a prompt with a long prefill */
#define IDLE_INTERVAL (1 * AP_SEC)	     /* without load: often enough to be considered live */
#define PREFIX_MIN 256 /* tokens; shorter prefixes are cheap to process again */

void ap_announce_prefixes_later(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
				uint32_t cached)
{
	if (ap_prefill_us(f, req, cached) > LONG_PREFILL_US)
		f->sent_long_prompt = true;
	for (size_t i = 0; i + 1 < req->n_parts && f->n_new_prefixes < NEW_PREFIXES_MAX; i++) {
		if (req->parts[i].tokens < PREFIX_MIN)
			continue;
		f->new_prefixes[f->n_new_prefixes++] = (ap_new_prefix_t){
			.part = req->parts[i].id,
			.tokens = req->parts[i].tokens,
			.tag = r->tag,
		};
	}
}

static bool has_load(const ap_replica_t *r)
{
	for (size_t i = 0; i < AP_PRIORITIES; i++) {
		if (r->own.running[i] > 0)
			return true;
	}
	return false;
}

/* Returns the number of priorities up to the last one that has requests. */
static size_t priorities_used(const ap_load_t *load)
{
	size_t n = AP_PRIORITIES;

	while (n > 0 && load->running[n - 1] == 0)
		n--;
	return n;
}

static void pack_load(msgpack_packer *pk, const ap_replica_t *r)
{
	size_t n = priorities_used(&r->own);

	msgpack_pack_array(pk, 2 + 2 * n);
	msgpack_pack_uint32(pk, r->tag);
	msgpack_pack_uint32(pk, r->own.kv);
	for (size_t i = 0; i < n; i++) {
		msgpack_pack_uint32(pk, r->own.running[i]);
		msgpack_pack_uint32(pk, r->own.prefill[i]);
	}
}

static size_t pack_loads(const ap_fleet_t *f, msgpack_packer *pk)
{
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		n += has_load(r);
	msgpack_pack_array(pk, n);
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (has_load(r))
			pack_load(pk, r);
	}
	return n;
}

static void pack_new_prefixes(const ap_fleet_t *f, msgpack_packer *pk)
{
	msgpack_pack_array(pk, f->n_new_prefixes);
	for (size_t i = 0; i < f->n_new_prefixes; i++) {
		msgpack_pack_array(pk, 3);
		msgpack_pack_uint64(pk, f->new_prefixes[i].part);
		msgpack_pack_uint32(pk, f->new_prefixes[i].tokens);
		msgpack_pack_uint32(pk, f->new_prefixes[i].tag);
	}
}

/* Packs the results of health checks: how much longer each upstream is cold. */
static size_t pack_health(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		n += now < r->announce_until;
	msgpack_pack_array(pk, n);
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (now >= r->announce_until)
			continue;
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint32(pk, r->tag);
		msgpack_pack_uint64(
			pk, now < r->cold_until ? (uint64_t)(r->cold_until - now) / AP_MSEC : 0);
	}
	return n;
}

/* Packs the counts of unnamed tokens, which evict prefixes from the caches. */
static size_t pack_unnamed(ap_fleet_t *f, msgpack_packer *pk)
{
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		n += r->new_unnamed_tokens > 0 && r->kv_tokens > 0;
	msgpack_pack_array(pk, n);
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (r->new_unnamed_tokens == 0 || r->kv_tokens == 0)
			continue;
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint32(pk, r->tag);
		msgpack_pack_uint32(pk, r->new_unnamed_tokens);
		r->new_unnamed_tokens = 0;
	}
	return n;
}

/*
 * Packs the evacuations that are in progress, or ended so shortly ago that upstreams may be cold:
 * the data centre, whether the evacuation ended, and the milliseconds since it ended or began.
 */
static size_t pack_evacuations(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	ap_usec_t since = now - ap_longest_warmup(f);
	size_t n = 0;

	for (const ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next)
		n += dc->evacuated || dc->evacuation_ended_at > since;
	msgpack_pack_array(pk, n);
	for (const ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next) {
		ap_usec_t at = dc->evacuated ? dc->evacuation_began_at : dc->evacuation_ended_at;

		if (!dc->evacuated && at <= since)
			continue;
		msgpack_pack_array(pk, 3);
		ap_wire_pack_str(pk, dc->data_centre);
		ap_wire_pack_bool(pk, !dc->evacuated);
		msgpack_pack_uint64(pk, ap_age_ms(now, at));
	}
	return n;
}

static void pack_store(const ap_fleet_t *f, msgpack_packer *pk)
{
	ap_wire_pack_bool(pk, f->watches_store);
	msgpack_pack_uint64(pk, f->store_revision);
}

static void announce_to_region(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	bool draining = self && self->member.draining;
	ap_wire_out_t out;
	size_t n;

	ap_wire_out_begin(&out, AP_WIRE_FLEET, f->config.inc, ++f->announce_seq);
	ap_room_pack_header(f, &out.pk, 24);
	n = pack_loads(f, &out.pk);
	pack_new_prefixes(f, &out.pk);
	ap_wire_pack_bool(&out.pk, draining);
	pack_store(f, &out.pk);
	n += pack_health(f, &out.pk, now);
	n += pack_unnamed(f, &out.pk);
	msgpack_pack_uint64(&out.pk, f->store_era);
	ap_wire_pack_bool(&out.pk, !ap_fleet_uninformed(f, now));
	n += pack_evacuations(f, &out.pk, now);
	n += ap_limits_pack(f, &out.pk, now);
	n += ap_suspects_pack(f, &out.pk, now);
	n += ap_streams_pack(f, &out.pk);
	n += ap_leaving_pack(f, &out.pk, now);
	n += ap_cold_pack(f, &out.pk, now);
	n += ap_paths_pack(f, &out.pk);
	n += ap_brittle_pack(f, &out.pk, now);
	msgpack_pack_uint32(&out.pk, f->relay_tag);
	ap_wire_pack_bool(&out.pk, ap_relay_served(f, now) > 0);
	ap_stream_weights_pack(f, &out.pk);
	n += ap_usage_pack(f, &out.pk, false, now);
	n += ap_room_pack(f, &out.pk, now);
	if (n > 0 || f->announced_load || f->n_new_prefixes > 0 || draining ||
	    now - f->announced_at >= IDLE_INTERVAL) {
		ap_relay_send_to_region(f, peer, out.buf.data, out.buf.size, now);
		f->announced_at = now;
		f->announced_load = n > 0;
	}
	f->n_new_prefixes = 0;
	f->sent_long_prompt = false;
	ap_wire_out_end(&out);
}

/* All instances of the region compute the same scores, so that they agree on the senders. */
static double waits_sender_score(const ap_member_state_t *from, const ap_member_state_t *to)
{
	return ap_rendezvous(ap_hash_str(to->member.id, 5), ap_hash_str(from->member.id, 6), 1);
}

/*
 * Returns whether this instance sends waits to @to. Only a few instances do, so that the number of
 * connections does not grow with the number of pairs.
 */
static bool is_waits_sender(const ap_fleet_t *f, const ap_member_state_t *self,
			    const ap_member_state_t *to, ap_usec_t now)
{
	double own = waits_sender_score(self, to);
	size_t better = 0;

	for (const ap_member_state_t *m = f->members; m && better < WAITS_SENDERS; m = m->hh.next)
		better += ap_is_live_other(f, m, now) && ap_in_own_region(f, m) &&
			  waits_sender_score(m, to) > own;
	return better < WAITS_SENDERS;
}

/*
 * Without paths to a pool, or while all of its upstreams pause, this instance can't tell how long
 * requests for it wait.
 */
static bool knows_wait(const ap_fleet_t *f, const ap_member_state_t *self, const ap_pool_state_t *p,
		       ap_usec_t now)
{
	bool pausing = false;

	if (!ap_member_reaches(self, p->name, now))
		return false;
	for (const ap_replica_t *r = f->replicas; r && f->backoffs; r = r->hh.next) {
		if (!r->own_region || strcmp(r->entry.pool, p->name) != 0 ||
		    !ap_replica_usable(f, r, now))
			continue;
		if (!ap_backoff_pausing(f, r, now))
			return true;
		pausing = true;
	}
	return !pausing;
}

static void pack_waits(ap_fleet_t *f, const ap_member_state_t *self, msgpack_packer *pk,
		       ap_usec_t now)
{
	size_t n = 0;

	for (const ap_pool_state_t *p = f->pools; p; p = p->hh.next)
		n += knows_wait(f, self, p, now);
	msgpack_pack_array(pk, n);
	for (const ap_pool_state_t *p = f->pools; p; p = p->hh.next) {
		if (!knows_wait(f, self, p, now))
			continue;
		msgpack_pack_array(pk, 3);
		ap_wire_pack_str(pk, p->name);
		for (unsigned i = 0; i < ANNOUNCED_WAITS; i++) {
			ap_usec_t wait = ap_pool_wait(f, p, ap_announced_priority(i), now);

			msgpack_pack_uint64(pk, wait == AP_NEVER ? UINT32_MAX
								 : (uint64_t)(wait / AP_MSEC));
		}
	}
}

static void announce_waits(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	ap_wire_out_t out;

	f->waits_announced_at = now;
	if (!self || self->member.draining)
		return;
	ap_wire_out_begin(&out, AP_WIRE_WAITS, f->config.inc, ++f->announce_seq);
	ap_usage_pack_header(f, &out.pk, 9);
	ap_wire_pack_str(&out.pk, f->config.region);
	pack_waits(f, self, &out.pk, now);
	ap_suspects_pack_remote(f, &out.pk, now);
	ap_streams_pack_remote(f, &out.pk);
	ap_paths_pack_remote(f, &out.pk, now);
	ap_stream_weights_pack(f, &out.pk);
	ap_usage_pack(f, &out.pk, true, now);
	ap_relay_mark(f, now);
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (m->direct && ap_is_live_other(f, m, now) && !ap_in_own_region(f, m) &&
		    is_waits_sender(f, self, m, now))
			ap_wire_out_send(&out, peer, m->member.id);
	}
	ap_wire_out_end(&out);
}

ap_usec_t ap_announce_interval(const ap_fleet_t *f)
{
	ap_usec_t every = (ap_usec_t)ap_fleet_count_members(f, f->config.region) * AP_SEC /
			  MESSAGES_PER_SECOND;

	return every > ANNOUNCE_INTERVAL ? every : ANNOUNCE_INTERVAL;
}

void ap_fleet_announce(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now)
{
	if (now - f->waits_announced_at >= WAITS_INTERVAL)
		announce_waits(f, peer, now);
	ap_relay_tick(f, peer, now);
	if (now - f->announced_at <
	    (f->sent_long_prompt ? LONG_PROMPT_INTERVAL : ap_announce_interval(f)))
		return;
	announce_to_region(f, peer, now);
}
