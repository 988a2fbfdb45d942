/* Announcements of other instances, which announce.c sends: reading and applying them. */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define LOADS_MAX 4096 /* upstreams in one announcement */

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
		ap_usec_t cold_left = ap_wire_msec(&e);

		if (!e.ok)
			return false;
		if (!r)
			continue;
		r->check_answered_at = now;
		ap_replica_set_cold_left(f, r, cold_left, "instance", now);
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
		ap_usec_t age;
		bool ended;

		ap_wire_str(&e, data_centre, sizeof(data_centre));
		ended = ap_wire_bool(&e);
		age = ap_wire_msec(&e);
		if (!e.ok)
			return false;
		ap_evacuation_heard(f, data_centre, ended, now - age, now);
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
	ap_wire_reader_t weights; /* at the end of the message */
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

static bool apply_shared(ap_fleet_t *f, shared_t *s, const char *from, ap_origin_t origin,
			 ap_usec_t now)
{
	return ap_suspects_apply(f, &s->ends, &s->completed, now) &&
	       ap_streams_apply(f, &s->builds, &s->streams, &s->weights, from, origin, now);
}

/* A message may come twice, by way of two relays, or late, from a relay that was frozen. */
static bool is_old(ap_member_state_t *m, const ap_wire_in_t *in)
{
	bool old = ap_id_eq(m->heard_inc, in->head.from) && in->head.seq <= m->heard_seq;

	if (!old) {
		m->heard_inc = in->head.from;
		m->heard_seq = in->head.seq;
	}
	return old;
}

/* An instance that has just started is told by its relay, or by all where there is none. */
static bool must_inform(const ap_fleet_t *f, uint32_t named_relay)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);

	return named_relay == 0 || (self && self->tag == named_relay);
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
	ap_wire_reader_t lost = optional_array(&r);
	ap_wire_reader_t brittle = optional_array(&r);
	uint32_t named_relay = r.left > 0 ? (uint32_t)ap_wire_u64(&r) : 0;
	bool serves = r.left > 0 && ap_wire_bool(&r);

	shared.weights = optional_array(&r);
	if (m && is_old(m, in))
		return true;
	/* The load of an unknown instance is ignored; the next announcement follows soon. */
	if (!r.ok || !health.ok || !unnamed.ok || (m && !apply_loads(f, m, &loads, now)) ||
	    !apply_new_prefixes(f, &prefixes) || !apply_health(f, &health, now) ||
	    !apply_unnamed(f, &unnamed) || !apply_evacuations(f, &evacuations, now) ||
	    !ap_limits_apply(f, &limits, now) ||
	    !apply_shared(f, &shared, from, AP_ORIGIN_REGION, now) ||
	    !ap_leaving_apply(f, &leaving, now) || !ap_cold_apply(f, from, &colds, now) ||
	    (m && !ap_paths_apply(m, &lost, now)) || !ap_brittle_apply(f, &brittle, now) ||
	    !ap_usage_apply(f, from, NULL, in->head.from, &r, now) ||
	    (m && !ap_room_apply(m, &r, now)))
		return false;
	f->informed = f->informed || informed;
	if (says_informed && !informed && !ap_fleet_uninformed(f, now) &&
	    must_inform(f, named_relay)) {
		f->announced_at = 0; /* the sender waits for an announcement */
		f->evidence_wanted = true;
	}
	f->skipped.fields += r.left;
	if (!m)
		return true;
	apply_draining(f, m, in->head.from, draining, now);
	m->named_relay = named_relay;
	m->serves = serves;
	m->watches_store = watching;
	m->store_era = era;
	m->store_revision = revision;
	return true;
}

static bool receive_waits(ap_fleet_t *f, const char *from, const ap_wire_in_t *in, ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, from);
	ap_wire_reader_t r = ap_wire_reader(&in->body);
	ap_wire_reader_t waits;
	ap_wire_reader_t lost;
	shared_t shared;
	bool says_lost;
	char region[AP_NAME_MAX];

	if (m && is_old(m, in))
		return true;
	ap_wire_str(&r, region, sizeof(region));
	waits = ap_wire_array(&r);
	shared = read_shared(&r);
	/* A build that knows no paths must not hide what other senders of its region told. */
	says_lost = r.left > 0;
	lost = optional_array(&r);
	shared.weights = optional_array(&r);
	if (!r.ok || !apply_shared(f, &shared, from, AP_ORIGIN_REMOTE, now) ||
	    (says_lost && !ap_paths_apply_remote(f, region, &lost, now)) ||
	    !ap_usage_apply(f, from, region, in->head.from, &r, now))
		return false;
	f->skipped.fields += r.left;
	while (waits.left > 0) {
		ap_wire_reader_t e = ap_wire_array(&waits);
		char pool[AP_NAME_MAX];

		ap_wire_str(&e, pool, sizeof(pool));
		for (unsigned i = 0; i < ANNOUNCED_WAITS; i++) {
			/* UINT32_MAX stands for AP_NEVER and becomes AP_DURATION_MAX. */
			ap_usec_t wait = ap_wire_msec(&e);

			if (!e.ok)
				return false;
			ap_fleet_set_remote_wait(f, region, pool, i, wait, now);
		}
	}
	return true;
}

bool ap_fleet_receive(ap_fleet_t *f, const char *from, const void *data, size_t len, ap_usec_t now)
{
	uint32_t kind = ap_wire_peek(data, len);
	ap_wire_in_t in;
	bool ok;

	if (kind == 0 && ap_wire_peek_version(data, len) != 0)
		f->skipped.versions++;
	if (kind != AP_WIRE_FLEET && kind != AP_WIRE_WAITS && kind <= AP_WIRE_BATCH)
		return false;
	if (!ap_wire_in_open(&in, (ap_wire_kind_t)kind, data, len, NULL))
		return false;
	ok = true;
	if (kind == AP_WIRE_FLEET)
		ok = receive_announcement(f, from, &in, now);
	else if (kind == AP_WIRE_WAITS)
		ok = receive_waits(f, from, &in, now);
	else
		f->skipped.kinds++;
	ap_wire_in_close(&in);
	return ok;
}
