/*
 * Ends of upstreams, with the traits of the requests that may have caused them: of those that were
 * in flight there and to which the upstream had not been responding for a while. An upstream at
 * which a response breaks off may have ended; a health check tells. What is known of an end only
 * grows and does not depend on the order of messages: the earliest time of the end, the latest time
 * at which a request with a trait was sent.
 */
#include "fleet/private.h"

#include <stdlib.h>

#define BROKEN_MAX_AGE (3 * AP_SEC) /* within this time a health check tells why it broke */
#define SAME_END (3 * AP_SEC)	    /* between the times at which instances see one end */
#define CHECK_RETRY (700 * AP_MSEC) /* if a health check had no conclusive result */
#define TOGETHER (100 * AP_MSEC)    /* ends that differ by less may have a cause in common */
/* A request that crashes upstreams does so before, or as, they begin to respond. */
#define BEGUN_TIME (100 * AP_MSEC)

const ap_end_trait_t *ap_end_find_trait(const ap_upstream_end_t *end, uint64_t trait)
{
	for (size_t i = 0; i < end->n_traits; i++) {
		if (end->traits[i].trait == trait)
			return &end->traits[i];
	}
	return NULL;
}

bool ap_ended_with_others(const ap_fleet_t *f, const ap_upstream_end_t *end, uint64_t trait)
{
	const ap_upstream_end_t *e;

	FOR_EACH_END (f, e) {
		if (e != end && llabs(e->at - end->at) <= TOGETHER && !ap_end_find_trait(e, trait))
			return true;
	}
	return false;
}

static void mark_stale(const ap_fleet_t *f, const ap_upstream_end_t *end)
{
	for (size_t i = 0; i < end->n_traits; i++) {
		ap_suspect_t *s = ap_suspect_find(f, end->traits[i].trait);

		if (s)
			s->stale = true;
	}
}

/* Marks the traits of all ends that come together with @end, itself included. */
static void mark_stale_together(const ap_fleet_t *f, const ap_upstream_end_t *end)
{
	const ap_upstream_end_t *e;

	FOR_EACH_END (f, e) {
		if (llabs(e->at - end->at) <= 2 * TOGETHER)
			mark_stale(f, e);
	}
}

void ap_end_remove(ap_fleet_t *f, ap_upstream_end_t *end)
{
	mark_stale(f, end);
	*end = f->ends[--f->n_ends];
}

/* Drops the oldest end that has no suspect, or else the oldest. */
static void make_room(ap_fleet_t *f)
{
	ap_upstream_end_t *oldest = NULL;
	ap_upstream_end_t *unsuspected = NULL;
	ap_upstream_end_t *e;

	if (f->n_ends < ENDS_MAX)
		return;
	FOR_EACH_END (f, e) {
		if (!oldest || e->at < oldest->at)
			oldest = e;
		if ((!unsuspected || e->at < unsuspected->at) && !ap_end_has_suspect(f, e))
			unsuspected = e;
	}
	ap_end_remove(f, unsuspected ? unsuspected : oldest);
}

/* An upstream may start again under its id, so the time tells one end from the next. */
static ap_upstream_end_t *find_end(ap_fleet_t *f, uint32_t tag, ap_usec_t at)
{
	ap_upstream_end_t *end;

	FOR_EACH_END (f, end) {
		if (end->tag == tag && llabs(end->at - at) <= SAME_END)
			return end;
	}
	return NULL;
}

ap_upstream_end_t *ap_end_get(ap_fleet_t *f, uint32_t tag, ap_usec_t at)
{
	ap_upstream_end_t *end = find_end(f, tag, at);

	if (!end) {
		make_room(f);
		end = &f->ends[f->n_ends++];
		*end = (ap_upstream_end_t){.tag = tag, .at = at};
		mark_stale_together(f, end);
	}
	if (at < end->at) {
		end->at = at;
		mark_stale_together(f, end);
	}
	return end;
}

/* Adds a trait to an end. Return: whether anything changed. */
static bool add_trait(ap_upstream_end_t *end, const ap_end_trait_t *trait)
{
	for (size_t i = 0; i < end->n_traits; i++) {
		ap_end_trait_t *t = &end->traits[i];

		if (t->trait != trait->trait)
			continue;
		if (trait->sent <= t->sent)
			return false;
		t->sent = trait->sent;
		return true;
	}
	if (end->n_traits == END_TRAITS_MAX)
		return false;
	end->traits[end->n_traits++] = *trait;
	return true;
}

bool ap_end_add_trait(ap_fleet_t *f, ap_upstream_end_t *end, const ap_end_trait_t *trait)
{
	ap_suspect_t *s = ap_suspect_get(f, trait->trait);

	if (!s || s->completed > end->at || !add_trait(end, trait))
		return false;
	s->is_request = trait->is_request;
	s->stale = true;
	return true;
}

static void add_traits(ap_upstream_end_t *end, const ap_inflight_t *inflight)
{
	ap_end_trait_t t = {inflight->fingerprint, true, inflight->sent};

	if (t.trait != 0)
		add_trait(end, &t);
	t.is_request = false;
	for (size_t i = 0; i < inflight->n_parts; i++) {
		t.trait = inflight->parts[i];
		add_trait(end, &t);
	}
}

void ap_break_seen(ap_fleet_t *f, ap_replica_t *r, const ap_inflight_t *inflight, ap_usec_t now)
{
	/* A leaving upstream ends for a known reason. */
	if (ap_replica_leaving(f, r) || ap_replica_stops_at(f, r) != AP_NEVER)
		return;
	if (!r->broken)
		r->broken = calloc(1, sizeof(*r->broken));
	if (!r->broken)
		return;
	if (r->broken->at == 0) {
		r->broken->at = now;
		r->broken->tag = r->tag;
	}
	if (!inflight->has_first_chunk || now - inflight->first_at < BEGUN_TIME)
		add_traits(r->broken, inflight);
	if (find_end(f, r->tag, now))
		ap_replica_ended(f, r, now);
}

void ap_break_forget(ap_replica_t *r)
{
	free(r->broken);
	r->broken = NULL;
	r->broken_checked_at = 0;
}

void ap_replica_ended(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	ap_upstream_end_t *end = r->broken ? ap_end_get(f, r->tag, r->broken->at) : NULL;

	for (size_t i = 0; end && i < r->broken->n_traits; i++) {
		if (ap_end_add_trait(f, end, &r->broken->traits[i]))
			ap_evidence_seen(f, now);
	}
	ap_break_forget(r);
}

bool ap_break_needs_check(ap_replica_t *r, ap_usec_t now)
{
	if (!r->broken || (r->broken_checked_at > 0 && now - r->broken_checked_at < CHECK_RETRY))
		return false;
	r->broken_checked_at = now;
	return true;
}

void ap_breaks_tick(ap_fleet_t *f, ap_usec_t now)
{
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (r->broken && now - r->broken->at > BROKEN_MAX_AGE)
			ap_break_forget(r);
	}
}
