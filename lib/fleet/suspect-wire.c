/*
 * The ends of upstreams and the responses that clear traits of requests, as instances tell them to
 * each other. What an instance has seen it tells its region at once, and remote regions with the
 * next waits. All that it knows it tells again at an interval, for instances that were cut off, and
 * to an instance that has just started.
 */
#include "fleet/private.h"

#define RECENT (1 * AP_SEC)	       /* several announcements */
#define RECENT_REMOTE (1500 * AP_MSEC) /* several messages with waits */
#define REPEAT (2 * AP_SEC) /* a region's instances together repeat it REPEAT_SENDERS times */
#define REPEAT_SENDERS 3
/* An older end is told for traits only that met more than one. */
#define FRESH (30 * AP_SEC)
#define TRAITS_MAX 1024 /* in one message */
#define TRAITS_OF_END_MAX 4096

static bool is_told(const ap_fleet_t *f, const ap_upstream_end_t *end, const ap_end_trait_t *t,
		    ap_usec_t now)
{
	return !ap_trait_cleared(f, t->trait, end->at) &&
	       (now - end->at < FRESH || ap_trait_chain(f, t->trait) > 1);
}

/* Counts the traits to be told that are requests or, if not @requests, parts of prompts. */
static size_t count_told(const ap_fleet_t *f, const ap_upstream_end_t *end, bool requests,
			 ap_usec_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < end->n_traits; i++)
		n += end->traits[i].is_request == requests && is_told(f, end, &end->traits[i], now);
	return n;
}

/* Packs the traits and, for each, how long before the end a request with it was sent. */
static void pack_traits(const ap_fleet_t *f, msgpack_packer *pk, const ap_upstream_end_t *end,
			bool requests, ap_usec_t now)
{
	for (size_t i = 0; i < end->n_traits; i++) {
		const ap_end_trait_t *t = &end->traits[i];
		ap_usec_t before = end->at > t->sent ? end->at - t->sent : 0;

		if (t->is_request != requests || !is_told(f, end, t, now))
			continue;
		msgpack_pack_uint64(pk, t->trait);
		msgpack_pack_uint64(pk, (uint64_t)before / AP_MSEC);
	}
}

/* Parts of prompts come first, then the requests in an array of their own, if there are any. */
static void pack_end(const ap_fleet_t *f, msgpack_packer *pk, const ap_upstream_end_t *end,
		     size_t parts, size_t requests, ap_usec_t now)
{
	msgpack_pack_array(pk, 2 + 2 * parts + (requests > 0));
	msgpack_pack_uint32(pk, end->tag);
	msgpack_pack_uint64(pk, ap_age_ms(now, end->at));
	if (parts > 0)
		pack_traits(f, pk, end, false, now);
	if (requests == 0)
		return;
	msgpack_pack_array(pk, 2 * requests);
	pack_traits(f, pk, end, true, now);
}

/* Packs ends without a trait to be told, too, since they tell something of ends at the same time.
 */
static void pack_ends(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	const ap_upstream_end_t *e;
	size_t traits = 0;

	msgpack_pack_array(pk, f->n_ends);
	FOR_EACH_END (f, e) {
		size_t parts = count_told(f, e, false, now);
		size_t requests = count_told(f, e, true, now);

		traits += parts + requests;
		if (traits <= TRAITS_MAX)
			pack_end(f, pk, e, parts, requests, now);
		else
			pack_end(f, pk, e, 0, 0, now);
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
		msgpack_pack_uint64(pk, s->trait);
		msgpack_pack_uint64(pk, ap_age_ms(now, s->completed));
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

static bool apply_traits(ap_fleet_t *f, ap_upstream_end_t *end, ap_wire_reader_t *r, bool requests,
			 ap_usec_t at, ap_usec_t now)
{
	while (r->left >= 2) {
		ap_end_trait_t t = {.trait = ap_wire_u64(r), .is_request = requests};

		t.sent = at - ap_wire_msec(r);
		if (!r->ok)
			return false;
		if (ap_end_add_trait(f, end, &t))
			f->evidence_changed_at = now;
	}
	return r->ok;
}

static bool apply_end(ap_fleet_t *f, ap_wire_reader_t *e, ap_usec_t now)
{
	uint32_t tag = (uint32_t)ap_wire_u64(e);
	ap_usec_t at = now - ap_wire_msec(e);
	ap_wire_reader_t requests;
	ap_upstream_end_t *end;

	if (!e->ok || e->left > TRAITS_OF_END_MAX)
		return false;
	end = ap_end_get(f, tag, at);
	if (!apply_traits(f, end, e, false, at, now))
		return false;
	if (e->left == 0)
		return true;
	requests = ap_wire_array(e);
	return requests.ok && requests.left <= TRAITS_OF_END_MAX &&
	       apply_traits(f, end, &requests, true, at, now);
}

bool ap_suspects_apply(ap_fleet_t *f, ap_wire_reader_t *ends, ap_wire_reader_t *completed,
		       ap_usec_t now)
{
	while (completed->left >= 2) {
		uint64_t trait = ap_wire_u64(completed);
		ap_usec_t age = ap_wire_msec(completed);

		if (!completed->ok)
			return false;
		if (ap_trait_completed(f, trait, now - age))
			f->evidence_changed_at = now;
	}
	while (ends->left > 0) {
		ap_wire_reader_t e = ap_wire_array(ends);

		if (!apply_end(f, &e, now))
			return false;
	}
	return ends->ok && completed->ok;
}
