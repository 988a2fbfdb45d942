/*
 * Builds: a software version of a pool's upstreams. A stream goes on only at the build that began
 * it. Within one response the exchange knows the build; a caller that takes a stream up may reach
 * any other instance, so instances tell their region which build began which stream, and remote
 * regions too while a pool has more than one. The version of the weights is told along, anew when
 * it changes in a stream; see weights.c.
 *
 * That nothing was heard of a stream says nothing of its build: whoever began it may know upstreams
 * that this instance hasn't read of. The instance that began it had read of its build before, so a
 * reading of the store that was asked for after the caller came names the build, unless its last
 * upstream is gone by then. Without such a reading, or with several builds, others are asked; see
 * lookup.c.
 */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define BUILDS_MAX 16 /* of a pool, that are counted */
/*
 * How much longer a build counts whose upstream vanished without leaving: it may go on serving
 * instances that don't read the store either.
 */
#define LAPSED_TIME (600 * AP_SEC)

uint64_t ap_build_of(const char *pool, const char *version)
{
	uint64_t build = ap_hash_str(version, ap_hash_str(pool, 8));

	return build ? build : 1;
}

static void keep_gone(ap_fleet_t *f, const ap_gone_build_t *gone)
{
	size_t oldest = 0;

	for (size_t i = 0; i < GONE_BUILDS_MAX; i++) {
		ap_gone_build_t *g = &f->gone_builds[i];

		if (g->build == gone->build) {
			g->at = gone->at > g->at ? gone->at : g->at;
			return;
		}
		if (g->at < f->gone_builds[oldest].at)
			oldest = i;
	}
	if (f->gone_builds[oldest].at > 0)
		f->gone_build_dropped_at = f->gone_builds[oldest].at;
	f->gone_builds[oldest] = *gone;
}

void ap_build_gone(ap_fleet_t *f, const ap_replica_t *r, bool lapsed, ap_usec_t now)
{
	const ap_gone_build_t gone = {.pool = ap_hash_str(r->entry.pool, 8),
				      .build = r->build,
				      .at = lapsed ? now + LAPSED_TIME : now};

	keep_gone(f, &gone);
}

/* Only builds that lapsed count for longer than who began later needs to conclude anything. */
static bool is_told(const ap_fleet_t *f, const ap_gone_build_t *gone, ap_usec_t now)
{
	return gone->at > now && !ap_fleet_build_pool(f, gone->build);
}

void ap_builds_lapsed_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < GONE_BUILDS_MAX; i++)
		n += is_told(f, &f->gone_builds[i], now);
	msgpack_pack_array(pk, 3 * n);
	for (size_t i = 0; i < GONE_BUILDS_MAX; i++) {
		const ap_gone_build_t *gone = &f->gone_builds[i];

		if (!is_told(f, gone, now))
			continue;
		msgpack_pack_uint64(pk, gone->pool);
		msgpack_pack_uint64(pk, gone->build);
		msgpack_pack_uint64(pk, (uint64_t)(gone->at - now) / AP_MSEC);
	}
}

bool ap_builds_lapsed_read(ap_fleet_t *f, ap_wire_reader_t *r, ap_usec_t now)
{
	ap_gone_build_t gone[GONE_BUILDS_MAX];
	size_t n = 0;

	while (r->ok && r->left >= 3 && n < GONE_BUILDS_MAX) {
		ap_usec_t left;

		gone[n].pool = ap_wire_u64(r);
		gone[n].build = ap_wire_u64(r);
		left = ap_wire_msec(r);
		gone[n++].at = now + (left < LAPSED_TIME ? left : LAPSED_TIME);
	}
	for (size_t i = 0; r->ok && i < n; i++)
		keep_gone(f, &gone[i]);
	return r->ok;
}

/* Returns whether upstreams of another build of the pool than @build may have begun streams. */
static bool was_other_build(const ap_fleet_t *f, const char *pool, uint64_t build, ap_usec_t kept,
			    ap_usec_t now)
{
	uint64_t hash = ap_hash_str(pool, 8);

	for (size_t i = 0; i < GONE_BUILDS_MAX; i++) {
		const ap_gone_build_t *g = &f->gone_builds[i];

		if (g->at > 0 && now - g->at < kept && g->pool == hash && g->build != build)
			return true;
	}
	return f->gone_build_dropped_at > 0 && now - f->gone_build_dropped_at < kept;
}

/*
 * Returns the only build that @pool has had for as long as builds that are gone are kept. 0 if
 * there were several, or none.
 */
static uint64_t only_build(const ap_fleet_t *f, const char *pool, ap_usec_t kept, ap_usec_t now)
{
	uint64_t build = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (strcmp(r->entry.pool, pool) != 0)
			continue;
		if (build != 0 && r->build != build)
			return 0;
		build = r->build;
	}
	return was_other_build(f, pool, build, kept, now) ? 0 : build;
}

/* Returns how old a stream of @route can be when a caller takes it up. */
static ap_usec_t age_max(const ap_plan_route_t *route)
{
	ap_usec_t age = route->timeout + TAKE_UP_TIME;

	return age > STREAM_MAX_AGE ? age : STREAM_MAX_AGE;
}

/*
 * Returns for how long a build counts after its last upstream is gone: an instance that doesn't
 * read the store goes on beginning streams there until the process has ended.
 */
static ap_usec_t kept_for(const ap_plan_route_t *route)
{
	return 2 * age_max(route);
}

/*
 * Returns whether the store is read, and for as long as builds are kept no change was missed and
 * streams have had the same pools.
 */
static bool follows_store(const ap_fleet_t *f, ap_usec_t kept, ap_usec_t now)
{
	return !f->store_silent && f->store_unbroken_since > 0 &&
	       now - f->store_unbroken_since >= kept &&
	       (f->routes_moved_at == 0 || now - f->routes_moved_at >= kept);
}

/* Returns the only build that upstreams of a route's streams have had; 0 if there were several. */
static uint64_t route_build(const ap_fleet_t *f, const ap_plan_route_t *route, ap_usec_t now)
{
	return route->n_shares == 1 ? only_build(f, route->shares[0].pool, kept_for(route), now)
				    : 0;
}

/* Returns what was told of the stream; NULL for nothing. */
static const ap_stream_t *told_of(ap_fleet_t *f, const ap_stream_question_t *q)
{
	return ap_stream_find(f, ap_stream_hash(q->id), ap_stream_last(q->last_event));
}

/*
 * Returns what was told of the stream, @stream, or named by the instance that forwarded the
 * request; that one may have concluded it from a list that is older, so what was told of its
 * beginning comes first.
 */
static ap_stream_source_t told_source(ap_fleet_t *f, const ap_stream_question_t *q,
				      const ap_stream_t *stream, ap_stream_evidence_t *evidence)
{
	ap_stream_source_t source = q->named;

	*evidence = AP_STREAM_NAMED;
	if (!stream)
		return source;
	if (source.build != stream->source.build) {
		if (source.build != 0 && !ap_stream_begin_told(f, stream->id))
			return source;
		*evidence = AP_STREAM_TOLD;
		source = stream->source;
	}
	/* Who names a version from before the latest one hasn't heard of the change. */
	if (source.weights == AP_WEIGHTS_ANY || ap_stream_had(f, stream->id, &source))
		source.weights = stream->source.weights;
	return source;
}

bool ap_stream_reading_helps(ap_fleet_t *f, const ap_stream_question_t *q, ap_usec_t now)
{
	ap_stream_evidence_t evidence;

	return follows_store(f, kept_for(q->route), now) &&
	       (told_source(f, q, told_of(f, q), &evidence).build != 0 ||
		route_build(f, q->route, now) != 0);
}

/* Returns whether the list shows all that whoever began the stream can have read of. */
static bool list_covers(const ap_fleet_t *f, const ap_stream_question_t *q, ap_usec_t now)
{
	return f->store_read_at >= q->asked_at && follows_store(f, kept_for(q->route), now);
}

/*
 * Fills in the version of the weights that the stream's pool has only had, if it isn't known.
 *
 * Return: false if there were several, or may have been.
 */
static bool find_weights(ap_fleet_t *f, const ap_stream_question_t *q, ap_usec_t now,
			 ap_stream_source_t *source)
{
	const char *pool = ap_fleet_build_pool(f, source->build);
	const ap_pool_state_t *p = pool ? ap_pool_state(f, pool) : NULL;

	if (source->weights != AP_WEIGHTS_ANY || !pool)
		return true;
	return ap_only_weights(f, pool, q->model, kept_for(q->route), now, &source->weights) &&
	       !ap_stream_other_weights(f, source, now) &&
	       (source->weights == AP_WEIGHTS_ANY ? !p || !p->versions_told
						  : list_covers(f, q, now));
}

bool ap_stream_may_go(const void *question, const ap_member_t *m)
{
	const ap_stream_question_t *q = question;

	return !m->draining && ap_plan_allows_region(q->route, m->region) &&
	       ap_customer_allows_region(q->customer, m->region);
}

bool ap_build_listed(const ap_fleet_t *f, uint64_t build, const ap_plan_route_t *route,
		     const ap_customer_t *customer)
{
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (r->build == build && ap_plan_allows_region(route, r->region) &&
		    ap_customer_allows_region(customer, r->region))
			return true;
	}
	return false;
}

static bool has_region(const uint32_t *regions, size_t n, uint32_t region)
{
	for (size_t i = 0; i < n; i++) {
		if (regions[i] == region)
			return true;
	}
	return false;
}

size_t ap_build_regions(const ap_fleet_t *f, uint64_t build, bool all, uint32_t *regions,
			size_t max)
{
	const ap_replica_t *own = f->replicas;
	size_t n = 0;

	while (own && (!own->own_region || own->build != build))
		own = own->hh.next;
	if (own)
		regions[n++] = ap_region_tag(own->region);
	for (const ap_replica_t *r = own && !all ? NULL : f->replicas; r && n < max;
	     r = r->hh.next) {
		if (r->build != build || r->own_region)
			continue;
		regions[n] = ap_region_tag(r->region);
		n += !has_region(regions, n, regions[n]);
	}
	return n;
}

bool ap_stream_reachable(ap_fleet_t *f, const ap_stream_question_t *q, uint64_t build,
			 ap_usec_t now)
{
	return ap_build_listed(f, build, q->route, q->customer) ||
	       ap_stream_lister(f, ap_stream_hash(q->id), build, ap_stream_may_go, q, now);
}

/* Returns whether a change of the version in the stream may not have been told here yet. */
static bool may_have_changed(ap_fleet_t *f, const ap_stream_question_t *q, ap_usec_t now)
{
	const ap_stream_t *told =
		ap_stream_find(f, ap_stream_hash(q->id), ap_stream_last(q->last_event));

	return told && told->origin != AP_ORIGIN_SELF && told->source.weights != AP_WEIGHTS_ANY &&
	       !ap_stream_told_at_once(f, told, now);
}

ap_stream_place_t ap_fleet_stream_place(ap_fleet_t *f, const ap_stream_question_t *q, ap_usec_t now)
{
	const ap_stream_t *told = told_of(f, q);
	ap_stream_evidence_t evidence;
	ap_stream_place_t place = {.source = told_source(f, q, told, &evidence),
				   .told = ap_stream_word(f, told)};

	if (told)
		place.other =
			ap_stream_word(f, ap_stream_other_build(f, told->id, told->source.build));
	if (place.source.build == 0 && list_covers(f, q, now)) {
		evidence = AP_STREAM_ONLY_BUILD;
		place.source.build = route_build(f, q->route, now);
	}
	if (place.source.build == 0)
		return place;
	if (find_weights(f, q, now, &place.source))
		place.evidence = evidence;
	place.concluded = place.evidence == AP_STREAM_TOLD && !ap_stream_begin_told(f, told->id);
	/* Others are asked: who told of it may be gone, and doesn't say the pool. */
	place.reachable = ap_build_listed(f, place.source.build, q->route, q->customer);
	place.unconfirmed = !q->guest && may_have_changed(f, q, now);
	return place;
}

const char *ap_stream_evidence_name(ap_stream_evidence_t evidence)
{
	static const char *const names[AP_STREAM_EVIDENCES] = {
		"unknown", "new", "named", "told", "asked", "only-build",
	};

	return names[evidence];
}

static bool has_build(const uint64_t *builds, size_t n, uint64_t build)
{
	for (size_t i = 0; i < n; i++) {
		if (builds[i] == build)
			return true;
	}
	return false;
}

/* Returns how many builds the pool has, or had lately. */
static size_t count_builds(const ap_fleet_t *f, const char *pool, ap_usec_t kept, ap_usec_t now)
{
	uint64_t hash = ap_hash_str(pool, 8);
	uint64_t seen[BUILDS_MAX];
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r && n < BUILDS_MAX; r = r->hh.next) {
		if (strcmp(r->entry.pool, pool) == 0 && !has_build(seen, n, r->build))
			seen[n++] = r->build;
	}
	for (size_t i = 0; i < GONE_BUILDS_MAX && n < BUILDS_MAX; i++) {
		const ap_gone_build_t *gone = &f->gone_builds[i];

		if (gone->pool == hash && gone->at > 0 && now - gone->at < kept &&
		    !has_build(seen, n, gone->build))
			seen[n++] = gone->build;
	}
	return n;
}

ap_stream_view_t ap_fleet_stream_view(ap_fleet_t *f, const ap_plan_route_t *route, ap_usec_t now)
{
	ap_stream_view_t view = {0};

	for (size_t i = 0; i < route->n_shares; i++)
		view.builds += count_builds(f, route->shares[i].pool, kept_for(route), now);
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (m->self || m->removed || !m->own_region)
			continue;
		view.others++;
		view.unheard += !ap_member_heard(m, now);
	}
	return view;
}

const char *ap_fleet_build_pool(const ap_fleet_t *f, uint64_t build)
{
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (r->build == build)
			return r->entry.pool;
	}
	return NULL;
}

/* Returns whether a pool has more than one build. */
bool ap_builds_mixed(ap_fleet_t *f)
{
	for (ap_pool_state_t *p = f->pools; p; p = p->hh.next)
		p->build = 0;
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		ap_pool_state_t *p = ap_pool_state(f, r->entry.pool);

		if (p && p->build != 0 && p->build != r->build)
			return true;
		if (p)
			p->build = r->build;
	}
	return false;
}
