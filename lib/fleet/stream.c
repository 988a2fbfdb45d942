/*
 * Streams that callers may take up: what instances tell each other of them. A ring keeps the latest
 * ones, those that began here and those that others told of.
 */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define TOLD_MAX 1024  /* streams in one message; the rest follows with the next */
#define BUILDS_MAX 16  /* in one message */
#define REPEATS_MAX 64 /* words on a stream, among which a repeated one is looked for */

static ap_stream_t *slot(ap_fleet_t *f, uint64_t number)
{
	return &f->streams[number % STREAMS_MAX];
}

static uint64_t *bucket_of(ap_fleet_t *f, uint64_t id)
{
	return &f->stream_buckets[id % STREAMS_MAX];
}

/* Returns the latest stream @id of those in its bucket up to number @n; NULL for none. */
static const ap_stream_t *latest_of(ap_fleet_t *f, uint64_t id, uint64_t n)
{
	while (n > 0 && f->n_streams - n < STREAMS_MAX) {
		const ap_stream_t *stream = slot(f, n - 1);

		if (stream->id == id)
			return stream;
		n = stream->before;
	}
	return NULL;
}

static const ap_stream_t *latest(ap_fleet_t *f, uint64_t id)
{
	return id != 0 ? latest_of(f, id, *bucket_of(f, id)) : NULL;
}

/* Upstreams of the stream's pool name versions, whether their responses came here or not. */
static void note_versions(ap_fleet_t *f, const ap_stream_source_t *source)
{
	const char *pool;
	ap_pool_state_t *p;

	if (source->weights == AP_WEIGHTS_ANY || source->build == f->told_build)
		return;
	pool = ap_fleet_build_pool(f, source->build);
	p = pool ? ap_pool_state(f, pool) : NULL;
	if (!p)
		return; /* not listed yet */
	p->versions_told = true;
	f->told_build = source->build;
}

static bool says_the_same(const ap_stream_source_t *a, const ap_stream_source_t *b)
{
	return a->build == b->build && a->weights == b->weights && a->since == b->since;
}

/*
 * Returns the number under which what @stream says was heard first; 0 if it is new. A caller may
 * take one stream up as often as it likes.
 */
static uint64_t heard_first(ap_fleet_t *f, const ap_stream_t *stream)
{
	const ap_stream_t *s = latest(f, stream->id);

	for (size_t i = 0; s && i < REPEATS_MAX; i++, s = latest_of(f, s->id, s->before)) {
		if (says_the_same(&s->source, &stream->source))
			return s->first;
	}
	return 0;
}

const ap_stream_t *ap_stream_add(ap_fleet_t *f, const ap_stream_t *stream)
{
	uint64_t *bucket = bucket_of(f, stream->id);
	uint64_t first = heard_first(f, stream);
	ap_stream_t *added;

	note_versions(f, &stream->source);
	added = slot(f, f->n_streams++);
	*added = *stream;
	added->before = *bucket;
	added->first = first ? first : f->n_streams;
	*bucket = f->n_streams;
	return added;
}

const ap_stream_t *ap_stream_at(ap_fleet_t *f, uint64_t i)
{
	return slot(f, i);
}

uint64_t ap_stream_hash(const char *id)
{
	return id && *id ? ap_hash_str(id, 9) : 0;
}

uint64_t ap_stream_last(const char *last_event)
{
	return strtoull(last_event, NULL, 10);
}

/*
 * Until others hear of a change in a stream, they take it up at the version before. A stream that
 * was taken up and that nothing else is known of may have changed, if its version is known.
 */
static void tell_change(ap_fleet_t *f, const ap_stream_t *stream)
{
	const ap_stream_t *before = latest_of(f, stream->id, stream->before);

	if (stream->source.since == 0 || stream->source.weights == AP_WEIGHTS_ANY ||
	    (before && before->source.weights == stream->source.weights))
		return;
	if (stream->origin == AP_ORIGIN_SELF)
		f->announced_at = 0;
	f->waits_announced_at = 0;
}

void ap_fleet_stream_served(ap_fleet_t *f, const char *id, const ap_stream_source_t *source,
			    ap_usec_t now)
{
	ap_stream_t stream = {
		.id = ap_stream_hash(id), .source = *source, .at = now, .origin = AP_ORIGIN_SELF};

	if (source->build == 0)
		return;
	tell_change(f, ap_stream_add(f, &stream));
}

/* Returns what was told of the earliest event of stream @id, whose build began it. */
static const ap_stream_t *first_word(ap_fleet_t *f, uint64_t id)
{
	const ap_stream_t *first = latest(f, id);

	for (const ap_stream_t *s = first; s; s = latest_of(f, id, s->before)) {
		if (s->source.since < first->source.since ||
		    (s->source.since == first->source.since && s->first <= first->first))
			first = s;
	}
	return first;
}

/*
 * Returns whether @a tells of later events than @b. A stream may be taken up before an event that
 * was told of, if its caller never got that one. What was repeated, perhaps by an announcement that
 * waited, counts from when it was heard first; its beginning comes before all else.
 */
static bool is_later(const ap_stream_t *a, const ap_stream_t *b)
{
	bool a_begins = a->source.since == 0;
	bool b_begins = b->source.since == 0;

	return a_begins != b_begins ? b_begins : a->first > b->first;
}

const ap_stream_t *ap_stream_find(ap_fleet_t *f, uint64_t id, uint64_t last)
{
	const ap_stream_t *first = first_word(f, id);
	const ap_stream_t *found = NULL;

	for (const ap_stream_t *s = latest(f, id); s; s = latest_of(f, id, s->before)) {
		if (s->source.build == first->source.build && s->source.since <= last &&
		    (!found || is_later(s, found)))
			found = s;
	}
	return found;
}

bool ap_stream_begin_told(ap_fleet_t *f, uint64_t id)
{
	const ap_stream_t *first = first_word(f, id);

	return first && first->source.since == 0;
}

bool ap_stream_had(ap_fleet_t *f, uint64_t id, const ap_stream_source_t *source)
{
	for (const ap_stream_t *s = latest(f, id); s; s = latest_of(f, id, s->before)) {
		if (s->source.build == source->build && s->source.weights == source->weights)
			return true;
	}
	return false;
}

const ap_stream_t *ap_stream_other_build(ap_fleet_t *f, uint64_t id, uint64_t build)
{
	const ap_stream_t *s = latest(f, id);

	while (s && s->source.build == build)
		s = latest_of(f, id, s->before);
	return s;
}

const char *ap_origin_name(ap_origin_t origin)
{
	static const char *const names[] = {
		[AP_ORIGIN_SELF] = "self",
		[AP_ORIGIN_REGION] = "region",
		[AP_ORIGIN_REMOTE] = "remote",
	};

	return names[origin];
}

const ap_member_state_t *ap_stream_teller(const ap_fleet_t *f, const ap_stream_t *stream)
{
	const ap_member_state_t *m = NULL;

	if (stream->told_by != 0)
		HASH_FIND(by_tag, f->member_tags, &stream->told_by, sizeof(stream->told_by), m);
	return m;
}

ap_stream_word_t ap_stream_word(ap_fleet_t *f, const ap_stream_t *stream)
{
	ap_stream_word_t word = {0};
	const ap_member_state_t *m;

	if (!stream)
		return word;
	word.build = stream->source.build;
	word.origin = stream->origin;
	word.at = stream->at;
	m = ap_stream_teller(f, stream);
	if (m)
		ap_copy_name(word.by, sizeof(word.by), m->member.id);
	return word;
}

bool ap_stream_other_weights(ap_fleet_t *f, const ap_stream_source_t *source, ap_usec_t now)
{
	for (uint64_t n = f->n_streams; n > 0 && f->n_streams - n < STREAMS_MAX; n--) {
		const ap_stream_t *stream = slot(f, n - 1);

		if (now - stream->at > STREAM_MAX_AGE)
			break;
		if (stream->source.build == source->build &&
		    stream->source.weights != AP_WEIGHTS_ANY &&
		    stream->source.weights != source->weights)
			return true;
	}
	return false;
}

static bool can_get(const ap_fleet_t *f, const ap_member_state_t *m,
		    bool (*may)(const void *ctx, const ap_member_t *m), const void *ctx,
		    ap_usec_t now)
{
	return ap_is_live_other(f, m, now) && !m->member.draining && may(ctx, &m->member);
}

const ap_member_state_t *ap_stream_listed_by(ap_fleet_t *f, const ap_stream_t *s,
					     bool (*may)(const void *ctx, const ap_member_t *m),
					     const void *ctx, ap_usec_t now)
{
	const ap_member_state_t *by = ap_stream_teller(f, s);
	const ap_member_state_t *best = NULL;
	double most = 0;

	if (by && ((s->region != 0 && by->region != s->region) || !can_get(f, by, may, ctx, now)))
		by = NULL;
	if (s->region == 0 || (by && now >= by->suspect_until))
		return by;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		double score = ap_rendezvous(s->id, m->tag, 1);

		if (m->region != s->region || now < m->suspect_until || (best && score <= most) ||
		    !can_get(f, m, may, ctx, now))
			continue;
		best = m;
		most = score;
	}
	return best ? best : by;
}

const ap_member_state_t *ap_stream_lister(ap_fleet_t *f, uint64_t id, uint64_t build,
					  bool (*may)(const void *ctx, const ap_member_t *m),
					  const void *ctx, ap_usec_t now)
{
	const ap_member_state_t *suspect = NULL;

	for (const ap_stream_t *s = latest(f, id); s; s = latest_of(f, id, s->before)) {
		const ap_member_state_t *m = NULL;

		if (s->told_by != 0 && s->source.build == build)
			m = ap_stream_listed_by(f, s, may, ctx, now);
		if (m && now >= m->suspect_until)
			return m;
		suspect = suspect ? suspect : m;
	}
	return suspect;
}

static size_t index_of(uint64_t *builds, size_t *n, uint64_t build)
{
	size_t i = 0;

	while (i < *n && builds[i] != build)
		i++;
	if (i == *n && *n < BUILDS_MAX)
		builds[(*n)++] = build;
	return i;
}

/*
 * Packs two arrays, the builds and the streams with their builds' numbers: those from @from on that
 * came from @origin or nearer. Return: where the next message begins.
 */
static uint64_t pack_streams(ap_fleet_t *f, msgpack_packer *pk, uint64_t from, ap_origin_t origin)
{
	uint64_t builds[BUILDS_MAX];
	uint64_t end = from;
	size_t n_builds = 0;
	size_t n = 0;

	if (f->n_streams > STREAMS_MAX && from < f->n_streams - STREAMS_MAX)
		from = end = f->n_streams - STREAMS_MAX;
	for (; end < f->n_streams && n < TOLD_MAX; end++) {
		const ap_stream_t *s = slot(f, end);

		if (s->origin > origin)
			continue;
		if (index_of(builds, &n_builds, s->source.build) == BUILDS_MAX)
			break;
		n++;
	}
	msgpack_pack_array(pk, n_builds);
	for (size_t i = 0; i < n_builds; i++)
		msgpack_pack_uint64(pk, builds[i]);
	msgpack_pack_array(pk, 2 * n);
	for (uint64_t i = from; i < end; i++) {
		const ap_stream_t *s = slot(f, i);

		if (s->origin > origin)
			continue;
		msgpack_pack_uint64(pk, s->id);
		msgpack_pack_uint64(pk, index_of(builds, &n_builds, s->source.build));
	}
	f->packed = (ap_packed_streams_t){.from = from, .end = end, .origin = origin, .n = n};
	return end;
}

size_t ap_streams_pack(ap_fleet_t *f, msgpack_packer *pk)
{
	f->streams_told = pack_streams(f, pk, f->streams_told, AP_ORIGIN_SELF);
	return f->packed.n;
}

void ap_streams_pack_remote(ap_fleet_t *f, msgpack_packer *pk)
{
	if (!ap_builds_mixed(f) && !ap_weights_mixed(f))
		f->streams_told_remote = f->n_streams;
	f->streams_told_remote = pack_streams(f, pk, f->streams_told_remote, AP_ORIGIN_REGION);
}

/* Returns whether all events of @s are of the version @weights. */
static bool is_plain(const ap_stream_t *s, ap_weights_t weights)
{
	return s->source.weights == weights && s->source.since == 0;
}

/* Returns whether the stream @i of the ring is one of those that were packed last. */
static bool was_packed(ap_fleet_t *f, uint64_t i)
{
	return slot(f, i)->origin <= f->packed.origin;
}

/* The version of the first of them, and of most, then number, version and since of each that has
 * another one. */
void ap_stream_weights_pack(ap_fleet_t *f, msgpack_packer *pk)
{
	ap_weights_t most = AP_WEIGHTS_ANY;
	uint64_t number = 0;
	size_t others = 0;

	for (uint64_t i = f->packed.end; i-- > f->packed.from;) {
		if (was_packed(f, i) && slot(f, i)->source.since == 0)
			most = slot(f, i)->source.weights;
	}
	for (uint64_t i = f->packed.from; i < f->packed.end; i++)
		others += was_packed(f, i) && !is_plain(slot(f, i), most);
	msgpack_pack_array(pk, 1 + 3 * others);
	msgpack_pack_uint64(pk, most);
	for (uint64_t i = f->packed.from; i < f->packed.end; i++) {
		const ap_stream_t *s = slot(f, i);

		if (!was_packed(f, i))
			continue;
		if (!is_plain(s, most)) {
			msgpack_pack_uint64(pk, number);
			msgpack_pack_uint64(pk, s->source.weights);
			msgpack_pack_uint64(pk, s->source.since);
		}
		number++;
	}
}

bool ap_streams_apply(ap_fleet_t *f, ap_wire_reader_t *builds, ap_wire_reader_t *streams,
		      ap_wire_reader_t *weights, const char *from, ap_origin_t origin,
		      ap_usec_t now)
{
	uint64_t known[BUILDS_MAX];
	ap_weights_t most;
	uint64_t other; /* number of the next stream that has another version */
	uint32_t told_by = ap_member_tag(from);
	size_t n = 0;

	if (builds->left > BUILDS_MAX)
		return false;
	while (builds->ok && builds->left > 0)
		known[n++] = ap_wire_u64(builds);
	most = weights->left > 0 ? ap_wire_u64(weights) : AP_WEIGHTS_ANY;
	other = weights->left > 0 ? ap_wire_u64(weights) : UINT64_MAX;
	for (uint64_t i = 0; streams->left >= 2; i++) {
		ap_stream_t stream = {.source = {.weights = most},
				      .at = now,
				      .origin = origin,
				      .told_by = told_by};
		const ap_stream_t *added;
		uint64_t number;

		stream.id = ap_wire_u64(streams);
		number = ap_wire_u64(streams);
		if (!streams->ok || number >= n || known[number] == 0)
			return false;
		stream.source.build = known[number];
		if (i == other) {
			stream.source.weights = ap_wire_u64(weights);
			stream.source.since = ap_wire_u64(weights);
			other = weights->left > 0 ? ap_wire_u64(weights) : UINT64_MAX;
		}
		if (!weights->ok)
			return false;
		added = ap_stream_add(f, &stream);
		if (origin == AP_ORIGIN_REGION)
			tell_change(f, added);
	}
	return builds->ok && streams->ok && weights->ok;
}
