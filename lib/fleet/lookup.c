/*
 * Streams that callers take up here and of which nothing was heard. The instances that may know are
 * asked: of each region a few, by a hash of the stream. Two of those are told of it as it begins,
 * of its region if there are two, so that one knows it when the instance that began it is gone.
 */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define WITNESSES 3		      /* instances of a region that are asked */
#define TOLD_AT_ONCE 2		      /* of them, that are told of a stream that begins there */
#define REGIONS_MAX 32		      /* in which instances are asked */
#define LOOKUP_TIME (400 * AP_MSEC)   /* several round trips between regions */
#define LOOK_INTERVAL (100 * AP_MSEC) /* what is announced meanwhile counts, too */
#define CONFIRM_TIME LOOK_INTERVAL    /* for answers, before what was told is taken as it is */
#define ANSWER_TIME (250 * AP_MSEC)   /* for answers of all regions, before the list decides */
#define SILENT_MAX (2500 * AP_MSEC)   /* of an instance of the region; it is gone, or cut off */

/* An instance that was asked. */
typedef struct asked {
	uint32_t tag;
	uint32_t region;
	bool answered;
	bool lists; /* the build, and may get the request */
} asked_t;

struct ap_stream_lookup {
	LIST_ENTRY(ap_stream_lookup) link;
	ap_stream_question_t q;
	uint64_t id;
	uint64_t last;
	asked_t asked[WITNESSES * REGIONS_MAX];
	size_t n_asked;
	bool answered; /* since @looked_at */
	bool read;     /* the store has been read since the caller came, as of @looked_at */
	ap_usec_t looked_at;
	bool confirms; /* it was told of, and can go on here */
	bool found;    /* an instance that was asked knows the stream */
	char pool[AP_NAME_MAX];
};

/* The first instances of a region by a hash of the stream, the best first. */
typedef struct witnesses {
	ap_member_state_t *v[WITNESSES];
	double score[WITNESSES];
	size_t n;
} witnesses_t;

/*
 * Returns whether @m may be asked or told: where relays pass on what is announced, the relays of a
 * region, so that connections don't grow with the number of pairs.
 */
static bool may_know(const ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now)
{
	if (!m->direct || !ap_is_live_other(f, m, now) || now < m->suspect_until)
		return false;
	/* Instances of other regions don't announce themselves here. */
	if (!m->own_region)
		return true;
	return now - (m->heard_at > 0 ? m->heard_at : f->started_at) < SILENT_MAX;
}

static void rank(witnesses_t *w, uint64_t id, ap_member_state_t *m)
{
	double score = ap_rendezvous(id, m->tag, 1);
	size_t i = w->n;

	for (; i > 0 && score > w->score[i - 1]; i--) {
		if (i == WITNESSES)
			continue;
		w->v[i] = w->v[i - 1];
		w->score[i] = w->score[i - 1];
	}
	if (i == WITNESSES)
		return;
	w->v[i] = m;
	w->score[i] = score;
	w->n += w->n < WITNESSES;
}

static witnesses_t witnesses_in(const ap_fleet_t *f, uint32_t region, uint64_t id, ap_usec_t now)
{
	witnesses_t w = {0};

	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (m->region == region && may_know(f, m, now))
			rank(&w, id, m);
	}
	return w;
}

/*
 * Those that are told of a stream that begins here: two, and where those of the own region aren't
 * more, which may all go at once, one of another region at least. The best of all others are also
 * among those that are asked in their regions.
 */
static witnesses_t witnesses_here(const ap_fleet_t *f, uint64_t id, ap_usec_t now)
{
	witnesses_t w = witnesses_in(f, ap_region_tag(f->config.region), id, now);
	witnesses_t others = {0};
	size_t n = w.n == TOLD_AT_ONCE ? TOLD_AT_ONCE + 1 : TOLD_AT_ONCE;

	for (ap_member_state_t *m = w.n < n ? f->members : NULL; m; m = m->hh.next) {
		if (!m->own_region && may_know(f, m, now))
			rank(&others, id, m);
	}
	for (size_t i = 0; i < others.n && w.n < n; i++)
		w.v[w.n++] = others.v[i];
	w.n = w.n < n ? w.n : n;
	return w;
}

bool ap_stream_told_at_once(const ap_fleet_t *f, const ap_stream_t *stream, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	size_t better = 0;

	if (!self || !self->direct || stream->origin != AP_ORIGIN_REGION)
		return false;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		better += m->own_region && m->tag != stream->told_by && may_know(f, m, now) &&
			  ap_rendezvous(stream->id, m->tag, 1) >
				  ap_rendezvous(stream->id, self->tag, 1);
	return better < TOLD_AT_ONCE;
}

/* Adds the other regions to the own one, which is the first. */
static size_t find_regions(const ap_fleet_t *f, uint32_t regions[REGIONS_MAX])
{
	size_t n = 1;

	for (const ap_member_state_t *m = f->members; m && n < REGIONS_MAX; m = m->hh.next) {
		size_t i = 0;

		while (i < n && regions[i] != m->region)
			i++;
		if (i == n)
			regions[n++] = m->region;
	}
	return n;
}

static void ask(ap_fleet_t *f, ap_stream_lookup_t *l, const ap_peer_port_t *peer, ap_usec_t now)
{
	uint32_t regions[REGIONS_MAX] = {ap_region_tag(f->config.region)};
	size_t n = find_regions(f, regions);
	ap_wire_out_t out;

	ap_wire_out_begin(&out, AP_WIRE_STREAM_QUESTION, f->config.inc, 1);
	msgpack_pack_array(&out.pk, 2);
	msgpack_pack_uint64(&out.pk, l->id);
	msgpack_pack_uint64(&out.pk, l->last);
	for (size_t i = 0; i < n; i++) {
		witnesses_t w = witnesses_in(f, regions[i], l->id, now);

		for (size_t k = 0; k < w.n; k++) {
			l->asked[l->n_asked++] =
				(asked_t){.tag = w.v[k]->tag, .region = regions[i]};
			ap_wire_out_send(&out, peer, w.v[k]->member.id);
		}
	}
	ap_wire_out_end(&out);
}

/* Returns whether an instance of the own region is heard, or the store, or there is no other. */
static bool hears_any(const ap_fleet_t *f, ap_usec_t now)
{
	bool others = false;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (m->self || !m->own_region || m->removed)
			continue;
		if (may_know(f, m, now))
			return true;
		others = true;
	}
	return !others || !f->store_silent;
}

ap_stream_lookup_t *ap_fleet_lookup_begin(ap_fleet_t *f, const ap_stream_question_t *q,
					  const ap_peer_port_t *peer, ap_usec_t now)
{
	ap_stream_lookup_t *l = calloc(1, sizeof(*l));
	ap_stream_place_t place;

	if (!l)
		return NULL;
	ap_notice_freeze(f, now);
	ap_relay_mark(f, now);
	l->q = *q;
	l->id = ap_stream_hash(q->id);
	l->last = ap_stream_last(q->last_event);
	place = ap_fleet_stream_place(f, q, now);
	l->confirms = place.unconfirmed && place.reachable;
	LIST_INSERT_HEAD(&f->lookups, l, link);
	if (l->id != 0 && peer && hears_any(f, now))
		ask(f, l, peer, now);
	return l;
}

void ap_fleet_lookup_end(ap_stream_lookup_t *l)
{
	if (!l)
		return;
	LIST_REMOVE(l, link);
	free(l);
}

bool ap_fleet_lookup_wants_read(ap_fleet_t *f, const ap_stream_lookup_t *l, ap_usec_t now)
{
	return !l->confirms && f->store_read_at < l->q.asked_at &&
	       ap_stream_reading_helps(f, &l->q, now);
}

static bool all_answered(const ap_stream_lookup_t *l)
{
	for (size_t i = 0; i < l->n_asked; i++) {
		if (!l->asked[i].answered)
			return false;
	}
	return true;
}

/* Returns whether one instance of each region that was asked has answered. */
static bool regions_answered(const ap_stream_lookup_t *l)
{
	for (size_t i = 0; i < l->n_asked; i++) {
		bool answered = false;

		for (size_t k = 0; k < l->n_asked; k++)
			answered |=
				l->asked[k].answered && l->asked[k].region == l->asked[i].region;
		if (!answered)
			return false;
	}
	return true;
}

/* Returns whether no other instance was heard, though there are some. */
static bool is_deaf(const ap_fleet_t *f, const ap_stream_lookup_t *l)
{
	bool others = false;

	for (size_t i = 0; i < l->n_asked; i++) {
		if (l->asked[i].answered)
			return false;
	}
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		others = others || (!m->self && !m->removed);
	return others;
}

/* Returns whether something may have changed since the last look. */
static bool is_due(const ap_fleet_t *f, const ap_stream_lookup_t *l, ap_usec_t now)
{
	bool read = f->store_read_at >= l->q.asked_at;

	return l->answered || read != l->read || now - l->looked_at >= LOOK_INTERVAL;
}

static bool lister_answered(const ap_stream_lookup_t *l)
{
	for (size_t i = 0; i < l->n_asked; i++) {
		if (l->asked[i].lists)
			return true;
	}
	return false;
}

/*
 * Returns whether an instance of the region where the stream is served must have answered that is
 * told of a change at once: of three, one at most isn't.
 */
static bool is_confirmed(ap_fleet_t *f, const ap_stream_lookup_t *l)
{
	const ap_stream_t *told = ap_stream_find(f, l->id, l->last);
	const ap_member_state_t *m = told ? ap_stream_teller(f, told) : NULL;
	size_t waiting = 0;
	size_t answered = 0;

	for (size_t i = 0; i < l->n_asked; i++) {
		if (m && l->asked[i].region != m->region)
			continue;
		answered += l->asked[i].answered;
		waiting += !l->asked[i].answered;
	}
	return waiting == 0 || (m && answered >= TOLD_AT_ONCE);
}

bool ap_fleet_lookup_done(ap_fleet_t *f, ap_stream_lookup_t *l, ap_usec_t now,
			  ap_stream_place_t *place)
{
	ap_usec_t waited = now - l->q.asked_at;
	bool over = waited >= LOOKUP_TIME;

	if (!over && !is_due(f, l, now))
		return false;
	l->answered = false;
	l->read = f->store_read_at >= l->q.asked_at;
	l->looked_at = now;
	*place = ap_fleet_stream_place(f, &l->q, now);
	if (place->evidence == AP_STREAM_UNKNOWN)
		return over || (all_answered(l) && !ap_fleet_lookup_wants_read(f, l, now));
	/* Who knows its beginning may answer next. */
	if (place->concluded && !all_answered(l) && waited < ANSWER_TIME)
		return false;
	if (l->confirms && waited < CONFIRM_TIME && !is_confirmed(f, l))
		return false;
	if (place->evidence == AP_STREAM_TOLD && l->found) {
		place->evidence = l->confirms ? AP_STREAM_TOLD : AP_STREAM_ASKED;
		ap_copy_name(place->pool, sizeof(place->pool), l->pool);
		place->reachable |= lister_answered(l);
	}
	/* Who answers next may list the build, or may get the request where the others may not. */
	if (place->evidence != AP_STREAM_ONLY_BUILD) {
		if (place->reachable || l->q.guest)
			return true;
		if (!over && (!all_answered(l) || ap_fleet_lookup_wants_read(f, l, now)))
			return false;
		/* Those that told of it, and weren't asked, are left. */
		place->reachable = (l->q.route->n_shares == 1 || *l->pool) &&
				   ap_stream_reachable(f, &l->q, place->source.build, now);
		return true;
	}
	/* A reading of the store shows all builds, but entries lag behind what upstreams load. */
	if (place->source.weights != AP_WEIGHTS_ANY && is_deaf(f, l)) {
		place->evidence = AP_STREAM_UNKNOWN;
		return over || l->n_asked == 0;
	}
	return regions_answered(l) || waited >= ANSWER_TIME;
}

/* @asked: who reads it may need all regions in which the build is listed. */
static void pack_answer(ap_fleet_t *f, ap_wire_out_t *out, uint64_t id, const ap_stream_t *stream,
			bool asked, ap_usec_t now)
{
	static const ap_stream_t unknown;
	const ap_stream_source_t *source = stream ? &stream->source : &unknown.source;
	const char *pool = ap_fleet_build_pool(f, source->build);
	uint32_t regions[REGIONS_MAX];
	size_t n = pool ? ap_build_regions(f, source->build, asked, regions, REGIONS_MAX) : 0;

	ap_wire_out_begin(out, AP_WIRE_STREAM_ANSWER, f->config.inc, 1);
	msgpack_pack_array(&out->pk, asked && !stream ? 7 : 6);
	msgpack_pack_uint64(&out->pk, id);
	msgpack_pack_uint64(&out->pk, source->build);
	msgpack_pack_uint64(&out->pk, source->weights);
	msgpack_pack_uint64(&out->pk, source->since);
	ap_wire_pack_str(&out->pk, pool ? pool : "");
	msgpack_pack_array(&out->pk, n);
	for (size_t i = 0; i < n; i++)
		msgpack_pack_uint32(&out->pk, regions[i]);
	/* Who knows nothing of the stream may know why the list isn't enough. */
	if (asked && !stream)
		ap_builds_lapsed_pack(f, &out->pk, now);
}

void ap_fleet_tell_streams(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now)
{
	uint64_t first = f->n_streams > STREAMS_MAX ? f->n_streams - STREAMS_MAX : 0;

	for (uint64_t i = f->streams_told_at_once > first ? f->streams_told_at_once : first;
	     i < f->n_streams; i++) {
		const ap_stream_t *stream = ap_stream_at(f, i);
		witnesses_t w;
		ap_wire_out_t out;

		if (stream->origin != AP_ORIGIN_SELF)
			continue;
		w = witnesses_here(f, stream->id, now);
		pack_answer(f, &out, stream->id, stream, false, now);
		for (size_t k = 0; k < w.n; k++)
			ap_wire_out_send(&out, peer, w.v[k]->member.id);
		ap_wire_out_end(&out);
	}
	f->streams_told_at_once = f->n_streams;
}

static bool answer(ap_fleet_t *f, const ap_peer_port_t *peer, const char *from,
		   const ap_wire_in_t *in, ap_usec_t now)
{
	ap_wire_reader_t r = ap_wire_reader(&in->body);
	uint64_t id = ap_wire_u64(&r);
	uint64_t last = ap_wire_u64(&r);
	ap_wire_out_t out;

	if (!r.ok)
		return false;
	f->skipped.fields += r.left;
	pack_answer(f, &out, id, ap_stream_find(f, id, last), true, now);
	ap_wire_out_send(&out, peer, from);
	ap_wire_out_end(&out);
	return true;
}

/* Returns whether one of the words on the stream says an instance that may get its request. */
static bool says_lister(ap_fleet_t *f, const ap_stream_lookup_t *l, const ap_stream_t *words,
			size_t n, ap_usec_t now)
{
	for (size_t i = 0; i < n; i++) {
		if (ap_stream_listed_by(f, &words[i], ap_stream_may_go, &l->q, now))
			return true;
	}
	return false;
}

/* Gives the lookups of the stream what instance @from said of it, one word for each region. */
static void take_answer(ap_fleet_t *f, const ap_stream_t *words, size_t n,
			const ap_member_state_t *from, const char *pool, ap_usec_t now)
{
	const ap_stream_source_t *source = &words->source;
	bool lists = words->told_by != 0 && source->build != 0;
	ap_stream_lookup_t *l;

	LIST_FOREACH (l, &f->lookups, link) {
		if (l->id != words->id)
			continue;
		l->answered = true;
		for (size_t i = 0; i < l->n_asked; i++) {
			if (!from || l->asked[i].tag != from->tag)
				continue;
			l->asked[i].answered = true;
			l->asked[i].lists = lists && says_lister(f, l, words, n, now);
		}
		if (source->build == 0 || source->since > l->last)
			continue;
		l->found = true;
		if (*pool)
			ap_copy_name(l->pool, sizeof(l->pool), pool);
	}
}

static bool receive_answer(ap_fleet_t *f, const char *from, const ap_wire_in_t *in, ap_usec_t now)
{
	const ap_member_state_t *m = ap_member_find(f, from);
	ap_wire_reader_t r = ap_wire_reader(&in->body);
	ap_wire_reader_t regions = {.ok = true};
	ap_wire_reader_t lapsed = {.ok = true};
	ap_stream_t words[REGIONS_MAX] = {{.at = now}};
	char pool[AP_NAME_MAX];
	size_t n = 0;

	words->id = ap_wire_u64(&r);
	words->source.build = ap_wire_u64(&r);
	words->source.weights = ap_wire_u64(&r);
	words->source.since = ap_wire_u64(&r);
	ap_wire_str(&r, pool, sizeof(pool));
	if (r.left > 0)
		regions = ap_wire_array(&r);
	if (r.left > 0)
		lapsed = ap_wire_array(&r);
	words->told_by = *pool ? ap_member_tag(from) : 0;
	words->origin = m && m->own_region ? AP_ORIGIN_REGION : AP_ORIGIN_REMOTE;
	do {
		words[n] = words[0];
		words[n++].region = regions.left > 0 ? (uint32_t)ap_wire_u64(&regions) : 0;
	} while (regions.left > 0 && n < REGIONS_MAX);
	if (!r.ok || !regions.ok || !ap_builds_lapsed_read(f, &lapsed, now))
		return false;
	f->skipped.fields += r.left;
	/* What is added last goes first: the region of @from, if it lists the build there. */
	for (size_t i = words->source.build != 0 ? n : 0; i-- > 0;)
		ap_stream_add(f, &words[i]);
	take_answer(f, words, n, m, pool, now);
	return true;
}

bool ap_fleet_receive_stream(ap_fleet_t *f, const ap_peer_port_t *peer, const char *from,
			     const void *data, size_t len, ap_usec_t now)
{
	ap_wire_in_t in;
	bool ok;

	if (ap_wire_in_open(&in, AP_WIRE_STREAM_QUESTION, data, len, NULL))
		ok = answer(f, peer, from, &in, now);
	else if (ap_wire_in_open(&in, AP_WIRE_STREAM_ANSWER, data, len, NULL))
		ok = receive_answer(f, from, &in, now);
	else
		return false;
	ap_wire_in_close(&in);
	return ok;
}
