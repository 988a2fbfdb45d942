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
#define LOADS_MAX 4096 /* upstreams in one announcement */
#define WATCHER_KEY 11
#define WATCHERS 3	   /* per region: two may lose the store without noticing */
#define SHARED_WATCH_MIN 7 /* instances; in a smaller region each watches for itself */
#define WATCHER_MAX_AGE (1600 * AP_MSEC) /* announcements come at least once a second */

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
		msgpack_pack_uint64(pk, (uint64_t)(now - at) / AP_MSEC);
	}
	return n;
}

static void pack_store(const ap_fleet_t *f, msgpack_packer *pk)
{
	ap_wire_pack_bool(pk, f->watches_store);
	msgpack_pack_uint64(pk, f->store_revision);
}

static bool is_live_other(const ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now)
{
	return ap_member_live(m, now) && strcmp(m->member.id, f->config.id) != 0;
}

static bool in_own_region(const ap_fleet_t *f, const ap_member_state_t *m)
{
	return strcmp(m->member.region, f->config.region) == 0;
}

static void send_to_region(const ap_fleet_t *f, const ap_peer_port_t *peer, const void *data,
			   size_t len, ap_usec_t now)
{
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (is_live_other(f, m, now) && in_own_region(f, m))
			peer->send(peer->ctx, m->member.id, data, len);
	}
}

static void announce_to_region(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	bool draining = self && self->member.draining;
	ap_wire_out_t out;
	size_t n;

	ap_wire_out_begin(&out, AP_WIRE_FLEET, f->config.inc, ++f->announce_seq);
	msgpack_pack_array(&out.pk, 17);
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
	if (n > 0 || f->announced_load || f->n_new_prefixes > 0 || draining ||
	    now - f->announced_at >= IDLE_INTERVAL) {
		send_to_region(f, peer, out.buf.data, out.buf.size, now);
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
		better += is_live_other(f, m, now) && in_own_region(f, m) &&
			  waits_sender_score(m, to) > own;
	return better < WAITS_SENDERS;
}

static void pack_waits(ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	msgpack_pack_array(pk, HASH_COUNT(f->pools));
	for (const ap_pool_state_t *p = f->pools; p; p = p->hh.next) {
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
	msgpack_pack_array(&out.pk, 6);
	ap_wire_pack_str(&out.pk, f->config.region);
	pack_waits(f, &out.pk, now);
	ap_suspects_pack_remote(f, &out.pk, now);
	ap_streams_pack_remote(f, &out.pk);
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (is_live_other(f, m, now) && !in_own_region(f, m) &&
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
	if (now - f->announced_at <
	    (f->sent_long_prompt ? LONG_PROMPT_INTERVAL : ap_announce_interval(f)))
		return;
	announce_to_region(f, peer, now);
}

static bool read_load(ap_wire_reader_t *r, ap_announced_load_t *load)
{
	ap_wire_reader_t e = ap_wire_array(r);

	*load = (ap_announced_load_t){.tag = (uint32_t)ap_wire_u64(&e)};
	load->load.kv = (uint32_t)ap_wire_u64(&e);
	for (size_t i = 0; i < AP_PRIORITIES && e.left >= 2; i++) {
		load->load.running[i] = (uint32_t)ap_wire_u64(&e);
		load->load.prefill[i] = (uint32_t)ap_wire_u64(&e);
	}
	return e.ok;
}

static bool apply_loads(ap_fleet_t *f, ap_member_state_t *m, ap_wire_reader_t *loads, ap_usec_t now)
{
	ap_announced_load_t *load;
	size_t n = 0;

	if (!loads->ok || loads->left > LOADS_MAX)
		return false;
	load = calloc(loads->left + 1, sizeof(*load));
	if (!load)
		return false;
	while (loads->left > 0) {
		if (!read_load(loads, &load[n++])) {
			free(load);
			return false;
		}
	}
	free(m->loads);
	m->loads = load;
	m->n_loads = n;
	m->loads_at = now;
	f->loads_changed = true;
	return true;
}

static bool apply_new_prefixes(ap_fleet_t *f, ap_wire_reader_t *prefixes)
{
	while (prefixes->left > 0) {
		ap_wire_reader_t e = ap_wire_array(prefixes);
		ap_prompt_part_t part = {.id = ap_wire_u64(&e)};
		ap_replica_t *r;

		part.tokens = (uint32_t)ap_wire_u64(&e);
		r = ap_replica_by_tag(f, (uint32_t)ap_wire_u64(&e));
		if (!e.ok)
			return false;
		if (r && r->kv_tokens > 0)
			ap_prefix_cache_add_part(f, &r->cache, &part, r->kv_tokens);
	}
	return prefixes->ok;
}

static bool apply_health(ap_fleet_t *f, ap_wire_reader_t *health, ap_usec_t now)
{
	while (health->left > 0) {
		ap_wire_reader_t e = ap_wire_array(health);
		ap_replica_t *r = ap_replica_by_tag(f, (uint32_t)ap_wire_u64(&e));
		uint64_t cold_ms = ap_wire_u64(&e);

		if (!e.ok || cold_ms > UINT32_MAX)
			return false;
		if (!r)
			continue;
		r->check_answered_at = now;
		ap_replica_set_cold_left(f, r, (ap_usec_t)cold_ms * AP_MSEC, "instance", now);
	}
	return true;
}

static bool apply_unnamed(ap_fleet_t *f, ap_wire_reader_t *unnamed)
{
	while (unnamed->left > 0) {
		ap_wire_reader_t e = ap_wire_array(unnamed);
		ap_replica_t *r = ap_replica_by_tag(f, (uint32_t)ap_wire_u64(&e));
		uint32_t tokens = (uint32_t)ap_wire_u64(&e);

		if (!e.ok)
			return false;
		if (r && r->kv_tokens > 0)
			ap_prefix_cache_add_unnamed(f, &r->cache, tokens, r->kv_tokens);
	}
	return true;
}

static bool apply_evacuations(ap_fleet_t *f, ap_wire_reader_t *evacuations, ap_usec_t now)
{
	while (evacuations->left > 0) {
		ap_wire_reader_t e = ap_wire_array(evacuations);
		char data_centre[AP_NAME_MAX];
		uint64_t age_ms;
		bool ended;

		ap_wire_str(&e, data_centre, sizeof(data_centre));
		ended = ap_wire_bool(&e);
		age_ms = ap_wire_u64(&e);
		if (!e.ok || age_ms > UINT32_MAX)
			return false;
		ap_evacuation_heard(f, data_centre, ended, now - (ap_usec_t)age_ms * AP_MSEC, now);
	}
	return evacuations->ok;
}

/*
 * Records the time of the announcement and the announced draining state. An incarnation that
 * announced that it is draining stays so; only a new incarnation, after a restart of the instance,
 * ends the state.
 */
static void apply_draining(ap_fleet_t *f, ap_member_state_t *m, ap_id_t inc, bool draining,
			   ap_usec_t now)
{
	m->heard_at = now;
	if (draining && !m->member.draining)
		m->draining_from = now;
	if (draining)
		m->draining_inc = inc;
	if (draining == m->member.draining || (!draining && ap_id_eq(inc, m->draining_inc)))
		return;
	m->member.draining = draining;
	ap_member_changed(f, m, now);
}

/* Reads an array that instances of an earlier version do not send. */
static ap_wire_reader_t optional_array(ap_wire_reader_t *r)
{
	return r->left > 0 ? ap_wire_array(r) : (ap_wire_reader_t){.ok = true};
}

/* What an instance tells its own region and remote ones alike. */
typedef struct shared {
	ap_wire_reader_t ends;
	ap_wire_reader_t completed;
	ap_wire_reader_t builds;
	ap_wire_reader_t streams;
} shared_t;

static shared_t read_shared(ap_wire_reader_t *r)
{
	shared_t s;

	s.ends = optional_array(r);
	s.completed = optional_array(r);
	s.builds = optional_array(r);
	s.streams = optional_array(r);
	return s;
}

static bool apply_shared(ap_fleet_t *f, shared_t *s, ap_origin_t origin, ap_usec_t now)
{
	return ap_suspects_apply(f, &s->ends, &s->completed, now) &&
	       ap_streams_apply(f, &s->builds, &s->streams, origin, now);
}

static bool receive_announcement(ap_fleet_t *f, const char *from, const ap_wire_in_t *in,
				 ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, from);
	ap_wire_reader_t r = ap_wire_reader(&in->body);
	ap_wire_reader_t loads = ap_wire_array(&r);
	ap_wire_reader_t prefixes = ap_wire_array(&r);
	bool draining = ap_wire_bool(&r);
	bool watching = ap_wire_bool(&r);
	uint64_t revision = ap_wire_u64(&r);
	ap_wire_reader_t health = optional_array(&r);
	ap_wire_reader_t unnamed = optional_array(&r);
	uint64_t era = r.left > 0 ? ap_wire_u64(&r) : 0;
	bool says_informed = r.left > 0;
	bool informed = says_informed && ap_wire_bool(&r);
	ap_wire_reader_t evacuations = optional_array(&r);
	ap_wire_reader_t limits = optional_array(&r);
	shared_t shared = read_shared(&r);
	ap_wire_reader_t leaving = optional_array(&r);
	ap_wire_reader_t colds = optional_array(&r);

	/* The load of an unknown instance is ignored; the next announcement follows soon. */
	if (!r.ok || !health.ok || !unnamed.ok || (m && !apply_loads(f, m, &loads, now)) ||
	    !apply_new_prefixes(f, &prefixes) || !apply_health(f, &health, now) ||
	    !apply_unnamed(f, &unnamed) || !apply_evacuations(f, &evacuations, now) ||
	    !ap_limits_apply(f, &limits, now) || !apply_shared(f, &shared, AP_ORIGIN_REGION, now) ||
	    !ap_leaving_apply(f, &leaving, now) || !ap_cold_apply(f, from, &colds, now))
		return false;
	f->informed = f->informed || informed;
	if (says_informed && !informed && !ap_fleet_uninformed(f, now)) {
		f->announced_at = 0; /* the sender waits for an announcement */
		f->evidence_wanted = true;
	}
	if (!m)
		return true;
	apply_draining(f, m, in->head.from, draining, now);
	m->watches_store = watching;
	m->store_era = era;
	m->store_revision = revision;
	return true;
}

static bool receive_waits(ap_fleet_t *f, const ap_wire_in_t *in, ap_usec_t now)
{
	ap_wire_reader_t r = ap_wire_reader(&in->body);
	ap_wire_reader_t waits;
	shared_t shared;
	char region[AP_NAME_MAX];

	ap_wire_str(&r, region, sizeof(region));
	waits = ap_wire_array(&r);
	shared = read_shared(&r);
	if (!r.ok || !apply_shared(f, &shared, AP_ORIGIN_REMOTE, now))
		return false;
	while (waits.left > 0) {
		ap_wire_reader_t e = ap_wire_array(&waits);
		char pool[AP_NAME_MAX];

		ap_wire_str(&e, pool, sizeof(pool));
		for (unsigned i = 0; i < ANNOUNCED_WAITS; i++) {
			/* UINT32_MAX stands for AP_NEVER and becomes a wait of 49 days. */
			uint64_t wait = ap_wire_u64(&e);

			if (!e.ok || wait > UINT32_MAX)
				return false;
			ap_fleet_set_remote_wait(f, region, pool, i, (ap_usec_t)wait * AP_MSEC,
						 now);
		}
	}
	return true;
}

bool ap_fleet_receive(ap_fleet_t *f, const char *from, const void *data, size_t len, ap_usec_t now)
{
	uint32_t kind = ap_wire_peek(data, len);
	ap_wire_in_t in;
	bool ok;

	if (kind != AP_WIRE_FLEET && kind != AP_WIRE_WAITS)
		return false;
	if (!ap_wire_in_open(&in, (ap_wire_kind_t)kind, data, len, NULL))
		return false;
	ok = kind == AP_WIRE_FLEET ? receive_announcement(f, from, &in, now)
				   : receive_waits(f, &in, now);
	ap_wire_in_close(&in);
	return ok;
}

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

static bool shares_store_watch(const ap_fleet_t *f, ap_usec_t now)
{
	size_t instances = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		instances += ap_member_live(m, now) && in_own_region(f, m);
	return instances >= SHARED_WATCH_MIN;
}

void ap_fleet_relay(const ap_fleet_t *f, const ap_peer_port_t *peer, const void *data, size_t len,
		    ap_usec_t now)
{
	if (shares_store_watch(f, now))
		send_to_region(f, peer, data, len, now);
}

/* Watchers are chosen by hash, so that all instances agree without communication. */
static double watcher_score(const char *id)
{
	return ap_rendezvous(WATCHER_KEY, ap_hash_str(id, 7), 1);
}

bool ap_fleet_store_watched(const ap_fleet_t *f, ap_usec_t now, uint64_t *era, uint64_t *revision)
{
	double own = watcher_score(f->config.id);
	size_t watching = 0;

	*era = 0;
	*revision = 0;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!ap_member_live(m, now) || !in_own_region(f, m))
			continue;
		if (!is_live_other(f, m, now) || !m->watches_store ||
		    now - m->heard_at > WATCHER_MAX_AGE)
			continue;
		if (m->store_era > *era) {
			*era = m->store_era;
			*revision = 0;
		}
		if (m->store_era == *era && m->store_revision > *revision)
			*revision = m->store_revision;
		watching += watcher_score(m->member.id) > own;
	}
	return watching >= WATCHERS && shares_store_watch(f, now);
}
