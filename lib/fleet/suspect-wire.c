/*
 * The ends of upstreams and the responses that clear parts of prompts, as instances tell them to
 * each other. What an instance has seen it tells its region at once, and remote regions with the
 * next waits. All that it knows it tells again at an interval, for instances that were cut off, and
 * to an instance that has just started.
 */
#include "fleet/private.h"

#define RECENT (1 * AP_SEC)	       /* several announcements */
#define RECENT_REMOTE (1500 * AP_MSEC) /* several messages with waits */
#define REPEAT (2 * AP_SEC) /* a region's instances together repeat it REPEAT_SENDERS times */
#define REPEAT_SENDERS 3
/* An older end is told for parts only that met more than one. */
#define FRESH (30 * AP_SEC)
#define PARTS_MAX 1024 /* in one message */
#define PARTS_OF_END_MAX 4096

static bool is_told(const ap_fleet_t *f, const ap_upstream_end_t *end, uint64_t part, ap_usec_t now)
{
	return !ap_part_cleared(f, part, end->at) &&
	       (now - end->at < FRESH || ap_part_chain(f, part) > 1);
}

static size_t count_told(const ap_fleet_t *f, const ap_upstream_end_t *end, ap_usec_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < end->n_parts; i++)
		n += is_told(f, end, end->parts[i].part, now);
	return n;
}

/* @n: how many parts are to be told; 0 to tell none */
static void pack_end(const ap_fleet_t *f, msgpack_packer *pk, const ap_upstream_end_t *end,
		     size_t n, ap_usec_t now)
{
	msgpack_pack_array(pk, 2 + 2 * n);
	msgpack_pack_uint32(pk, end->tag);
	msgpack_pack_uint64(pk, (uint64_t)(now - end->at) / AP_MSEC);
	for (size_t i = 0; n > 0 && i < end->n_parts; i++) {
		const ap_end_part_t *p = &end->parts[i];
		ap_usec_t before = end->at > p->sent ? end->at - p->sent : 0;

		if (!is_told(f, end, p->part, now))
			continue;
		msgpack_pack_uint64(pk, p->part);
		msgpack_pack_uint64(pk, (uint64_t)before / AP_MSEC);
	}
}

/* Packs ends without a part to be told, too, since they tell something of ends at the same time. */
static void pack_ends(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	const ap_upstream_end_t *e;
	size_t parts = 0;

	msgpack_pack_array(pk, f->n_ends);
	FOR_EACH_END (f, e) {
		size_t told = count_told(f, e, now);

		parts += told;
		pack_end(f, pk, e, parts <= PARTS_MAX ? told : 0, now);
	}
}

static void pack_completed(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_suspect_t *s = f->suspects; s; s = s->hh.next)
		n += s->completed > now - FRESH;
	msgpack_pack_array(pk, 2 * n);
	for (const ap_suspect_t *s = f->suspects; s; s = s->hh.next) {
		if (s->completed <= now - FRESH)
			continue;
		msgpack_pack_uint64(pk, s->part);
		msgpack_pack_uint64(pk, (uint64_t)(now - s->completed) / AP_MSEC);
	}
}

static size_t pack(const ap_fleet_t *f, msgpack_packer *pk, bool due, ap_usec_t now)
{
	if (!due || (f->n_ends == 0 && !f->suspects)) {
		msgpack_pack_array(pk, 0);
		msgpack_pack_array(pk, 0);
		return 0;
	}
	pack_ends(f, pk, now);
	pack_completed(f, pk, now);
	return f->n_ends;
}

size_t ap_suspects_pack(ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t instances = ap_fleet_count_members(f, f->config.region);
	ap_usec_t repeat = REPEAT;
	bool due;

	if (instances > REPEAT_SENDERS)
		repeat = REPEAT * (ap_usec_t)instances / REPEAT_SENDERS;
	due = f->evidence_wanted || now - f->evidence_seen_at < RECENT ||
	      now - f->evidence_told_at >= repeat;
	f->evidence_wanted = false;
	if (due)
		f->evidence_told_at = now;
	return pack(f, pk, due, now);
}

void ap_suspects_pack_remote(ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	bool due = now - f->evidence_changed_at < RECENT_REMOTE ||
		   now - f->evidence_told_remote_at >= REPEAT;

	if (due)
		f->evidence_told_remote_at = now;
	pack(f, pk, due, now);
}

static bool apply_end(ap_fleet_t *f, ap_wire_reader_t *e, ap_usec_t now)
{
	uint32_t tag = (uint32_t)ap_wire_u64(e);
	uint64_t age_ms = ap_wire_u64(e);
	ap_upstream_end_t *end;
	ap_usec_t at;

	if (!e->ok || age_ms > UINT32_MAX || e->left > PARTS_OF_END_MAX)
		return false;
	at = now - (ap_usec_t)age_ms * AP_MSEC;
	end = ap_end_get(f, tag, at);
	while (e->left >= 2) {
		uint64_t part = ap_wire_u64(e);
		uint64_t before_ms = ap_wire_u64(e);

		if (!e->ok || before_ms > UINT32_MAX)
			return false;
		if (ap_end_add_part(f, end, part, at - (ap_usec_t)before_ms * AP_MSEC))
			f->evidence_changed_at = now;
	}
	return e->ok;
}

bool ap_suspects_apply(ap_fleet_t *f, ap_wire_reader_t *ends, ap_wire_reader_t *completed,
		       ap_usec_t now)
{
	while (completed->left >= 2) {
		uint64_t part = ap_wire_u64(completed);
		uint64_t age_ms = ap_wire_u64(completed);

		if (!completed->ok || age_ms > UINT32_MAX)
			return false;
		if (ap_part_completed(f, part, now - (ap_usec_t)age_ms * AP_MSEC))
			f->evidence_changed_at = now;
	}
	while (ends->left > 0) {
		ap_wire_reader_t e = ap_wire_array(ends);

		if (!apply_end(f, &e, now))
			return false;
	}
	return ends->ok && completed->ok;
}
