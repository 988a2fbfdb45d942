/*
 * Requests and parts of prompts that crash upstreams. When an upstream ends, one of the requests
 * that were in flight there may have caused it: the request as such, which may come again, or any
 * part of its prompt that others share. Its fingerprint and these parts are its traits. A trait is
 * a suspect if requests with it met END_CHAIN_MIN ends and none was completed since: upstreams that
 * end for reasons of their own leave no such chain, because requests that are sent again succeed,
 * or because the upstreams end together. A part is in many requests at a time, so for it only ends
 * count that came one after the other, each with a request sent after the end before, and so late
 * after it that a response in between would be known.
 *
 * A request is held back if, for each end of such a chain, it has all traits that are about as
 * likely to be the cause as the suspect, so that whichever of them is the cause, the request has
 * it. A part that came only together with the cause is not held back alone. After a while, which
 * doubles with each trial that fails, one request at a time is sent as a trial; a complete response
 * clears all its traits.
 *
 * The ends, see end.c, are exchanged between all instances, see suspect-wire.c, and so is the
 * latest response to a request with a trait.
 */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

/*
 * A part, or a request that is a suspect itself, is about as likely if its chain is shorter by
 * this. Other requests often met one or two of the ends.
 */
#define MARGIN 1
/* A sound request completes, and the other instances hear of it, within this time. */
#define LINK_INTERVAL (300 * AP_MSEC)
#define HOLD_BASE (30 * AP_SEC) /* from the last end of a chain of END_CHAIN_MIN */
#define HOLD_DOUBLINGS_MAX 4
/*
 * Instances may make a trial in turn, this long after each other: longer than a trial takes to end
 * and all instances to hear of its result.
 */
#define TRIAL_INTERVAL (5 * AP_SEC)
#define START_TIME (10 * AP_SEC)	   /* after a start, an instance makes no trial */
#define SUSPECT_MAX_AGE (60 * 60 * AP_SEC) /* how long an end with a suspect is kept */
#define END_MAX_AGE (10 * 60 * AP_SEC)	   /* how long any other end, or a response, is kept */

ap_suspect_t *ap_suspect_find(const ap_fleet_t *f, uint64_t trait)
{
	ap_suspect_t *s;

	HASH_FIND(hh, f->suspects, &trait, sizeof(trait), s);
	return s;
}

ap_suspect_t *ap_suspect_get(ap_fleet_t *f, uint64_t trait)
{
	ap_suspect_t *s = ap_suspect_find(f, trait);

	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->trait = trait;
	HASH_ADD(hh, f->suspects, trait, sizeof(s->trait), s);
	return s;
}

bool ap_trait_cleared(const ap_fleet_t *f, uint64_t trait, ap_usec_t at)
{
	const ap_suspect_t *s = ap_suspect_find(f, trait);

	return s && s->completed > at;
}

/* A link of a chain: requests, the latest of them sent at @sent, met the end at @at. */
typedef struct link {
	ap_usec_t at;
	ap_usec_t sent;
} link_t;

static int compare_links(const void *a, const void *b)
{
	const link_t *x = a;
	const link_t *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

/* @trials: links that came so late after the one before that the request was a trial */
typedef struct chain {
	unsigned length;
	unsigned trials;
} chain_t;

/* Returns the chain of all ends or, if @spaced, of those that count for a part. */
static chain_t find_chain(link_t *links, size_t n, bool spaced)
{
	chain_t chain = {0};
	ap_usec_t last = 0;

	qsort(links, n, sizeof(*links), compare_links);
	for (size_t i = 0; i < n; i++) {
		if (chain.length > 0 && spaced &&
		    (links[i].sent < last || links[i].at < last + LINK_INTERVAL))
			continue;
		chain.trials += chain.length >= END_CHAIN_MIN && links[i].at >= last + HOLD_BASE;
		chain.length++;
		last = links[i].at;
	}
	return chain;
}

static void report(const ap_fleet_t *f, const ap_suspect_t *s, bool suspected)
{
	static const ap_fleet_event_kind_t kinds[2][2] = {
		{AP_FLEET_EVENT_PART_CLEARED, AP_FLEET_EVENT_PART_SUSPECTED},
		{AP_FLEET_EVENT_REQUEST_CLEARED, AP_FLEET_EVENT_REQUEST_SUSPECTED},
	};
	char id[AP_NAME_MAX];
	const ap_fleet_event_t event = {
		.kind = kinds[s->is_request][suspected],
		.id = id,
		.lasts = suspected ? HOLD_BASE : 0,
		.failures = s->chain,
	};

	snprintf(id, sizeof(id), "%llx", (unsigned long long)s->trait);
	if (f->config.on_event)
		f->config.on_event(f->config.ctx, &event);
}

static bool has_chain(const ap_suspect_t *s)
{
	return (s->is_request ? s->chain : s->spaced) >= END_CHAIN_MIN;
}

/* Counts the ends that requests with the trait met since one was completed. */
static void update_chain(const ap_fleet_t *f, ap_suspect_t *s)
{
	const ap_upstream_end_t *e;
	link_t links[ENDS_MAX];
	bool before = has_chain(s);
	size_t n = 0;

	if (!s->stale)
		return;
	FOR_EACH_END (f, e) {
		const ap_end_trait_t *t =
			e->at >= s->completed ? ap_end_find_trait(e, s->trait) : NULL;

		if (t && !ap_ended_with_others(f, e, s->trait))
			links[n++] = (link_t){e->at, t->sent};
	}
	s->chain = find_chain(links, n, false).length;
	s->spaced = find_chain(links, n, true).length;
	s->stale = false;
	if (has_chain(s) != before)
		report(f, s, !before);
}

/* Returns what is known of @trait, with its chains counted; NULL if nothing. */
static const ap_suspect_t *find_updated(const ap_fleet_t *f, uint64_t trait)
{
	ap_suspect_t *s = ap_suspect_find(f, trait);

	if (s)
		update_chain(f, s);
	return s;
}

unsigned ap_trait_chain(const ap_fleet_t *f, uint64_t trait)
{
	const ap_suspect_t *s = find_updated(f, trait);

	return s ? s->chain : 0;
}

static bool is_suspect(const ap_fleet_t *f, uint64_t trait)
{
	const ap_suspect_t *s = find_updated(f, trait);

	return s && has_chain(s);
}

/* Returns the number of parts that @req shares with others. */
static size_t shared_parts(const ap_dispatch_t *req)
{
	return req->pool->kv_tokens > 0 && req->n_parts > 0 ? req->n_parts - 1 : 0;
}

static bool has_trait(const ap_dispatch_t *req, uint64_t trait)
{
	for (size_t i = 0; i < shared_parts(req); i++) {
		if (req->parts[i].id == trait)
			return true;
	}
	return req->fingerprint != 0 && req->fingerprint == trait;
}

/* Returns whether a trait of @end may be what caused it. */
static bool may_be_cause(const ap_fleet_t *f, const ap_upstream_end_t *end, uint64_t trait)
{
	return !ap_trait_cleared(f, trait, end->at) && !ap_ended_with_others(f, end, trait);
}

bool ap_end_has_suspect(const ap_fleet_t *f, const ap_upstream_end_t *end)
{
	for (size_t i = 0; i < end->n_traits; i++) {
		uint64_t trait = end->traits[i].trait;

		if (is_suspect(f, trait) && may_be_cause(f, end, trait))
			return true;
	}
	return false;
}

/* The longest chains among the traits of an end. */
typedef struct longest {
	unsigned of_any;
	unsigned of_requests;
	unsigned spaced;
} longest_t;

static unsigned max_of(unsigned a, unsigned b)
{
	return a > b ? a : b;
}

static longest_t longest_chains(const ap_fleet_t *f, const ap_upstream_end_t *end)
{
	longest_t longest = {0};

	for (size_t i = 0; i < end->n_traits; i++) {
		const ap_suspect_t *s = find_updated(f, end->traits[i].trait);

		if (!s || !may_be_cause(f, end, s->trait))
			continue;
		longest.of_any = max_of(longest.of_any, s->chain);
		if (s->is_request)
			longest.of_requests = max_of(longest.of_requests, s->chain);
		else
			longest.spaced = max_of(longest.spaced, s->spaced);
	}
	return longest;
}

/* Returns whether @s, a trait of an end, is about as likely to be the cause as the likeliest one.
 */
static bool is_likely(const ap_suspect_t *s, const longest_t *longest)
{
	if (s->is_request)
		return s->chain + (has_chain(s) ? MARGIN : 0) >= longest->of_any;
	return s->spaced + MARGIN >= longest->spaced && s->chain + MARGIN >= longest->of_requests;
}

/*
 * Returns whether @end speaks against @req: it has a suspect, and @req has each trait that is about
 * as likely to be the cause. @sent: the latest time at which a request with one of these was sent
 */
static bool speaks_against(const ap_fleet_t *f, const ap_upstream_end_t *end,
			   const ap_dispatch_t *req, ap_usec_t *sent)
{
	longest_t longest = longest_chains(f, end);

	*sent = 0;
	if (!ap_end_has_suspect(f, end))
		return false;
	for (size_t i = 0; i < end->n_traits; i++) {
		const ap_end_trait_t *t = &end->traits[i];
		const ap_suspect_t *s = find_updated(f, t->trait);

		if (!s || !is_likely(s, &longest) || !may_be_cause(f, end, t->trait))
			continue;
		if (!has_trait(req, t->trait))
			return false;
		*sent = t->sent > *sent ? t->sent : *sent;
	}
	return true;
}

/* The ends that speak against a request. */
typedef struct evidence {
	chain_t chain;
	ap_upstream_end_t *last;
	ap_usec_t tried_at;
} evidence_t;

static evidence_t evidence_against(ap_fleet_t *f, const ap_dispatch_t *req)
{
	evidence_t e = {0};
	ap_upstream_end_t *end;
	link_t links[ENDS_MAX];
	size_t n = 0;
	bool request = is_suspect(f, req->fingerprint);
	bool any = request;

	for (size_t i = 0; i < shared_parts(req) && !any; i++)
		any = is_suspect(f, req->parts[i].id);
	if (!any)
		return e;
	FOR_EACH_END (f, end) {
		ap_usec_t sent;

		if (!speaks_against(f, end, req, &sent))
			continue;
		links[n++] = (link_t){end->at, sent};
		if (!e.last || end->at > e.last->at)
			e.last = end;
		e.tried_at = end->tried_at > e.tried_at ? end->tried_at : e.tried_at;
	}
	e.chain = find_chain(links, n, !request);
	return e;
}

/* Returns how many instances may make a trial before this one. */
static unsigned turn(const ap_fleet_t *f, uint64_t key, ap_usec_t now)
{
	double own = ap_rendezvous(key, ap_hash_str(f->config.id, 1), 1);
	unsigned before = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next)
		before += ap_member_live(m, now) && !m->member.draining &&
			  strcmp(m->member.id, f->config.id) != 0 &&
			  ap_rendezvous(key, ap_hash_str(m->member.id, 1), 1) > own;
	return before;
}

ap_hold_t ap_request_hold(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, ap_usec_t *until)
{
	evidence_t e = evidence_against(f, req);
	unsigned doublings =
		e.chain.trials < HOLD_DOUBLINGS_MAX ? e.chain.trials : HOLD_DOUBLINGS_MAX;

	if (e.chain.length < END_CHAIN_MIN)
		return AP_HOLD_NONE;
	*until = e.last->at + (HOLD_BASE << doublings) + turn(f, e.last->tag, now) * TRIAL_INTERVAL;
	if (e.tried_at > 0 && *until < e.tried_at + TRIAL_INTERVAL)
		*until = e.tried_at + TRIAL_INTERVAL;
	if (f->started_at > 0 && *until < f->started_at + START_TIME)
		*until = f->started_at + START_TIME;
	return now < *until ? AP_HOLD_WAIT : AP_HOLD_TRIAL;
}

void ap_suspect_sent(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	evidence_t e = evidence_against(f, req);

	if (e.last && e.chain.length >= END_CHAIN_MIN)
		e.last->tried_at = now;
}

void ap_evidence_seen(ap_fleet_t *f, ap_usec_t now)
{
	f->evidence_seen_at = now;
	f->evidence_changed_at = now;
	f->announced_at = 0;
	f->waits_announced_at = 0;
}

static void complete_trait(ap_fleet_t *f, uint64_t trait, ap_usec_t began, ap_usec_t now)
{
	if (ap_suspect_find(f, trait) && ap_trait_completed(f, trait, began))
		ap_evidence_seen(f, now);
}

void ap_suspect_completed(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now)
{
	ap_usec_t began = inflight->first_at > 0 ? inflight->first_at : inflight->sent;

	complete_trait(f, inflight->fingerprint, began, now);
	for (size_t i = 0; i < inflight->n_parts; i++)
		complete_trait(f, inflight->parts[i], began, now);
}

bool ap_trait_completed(ap_fleet_t *f, uint64_t trait, ap_usec_t began)
{
	ap_suspect_t *s = ap_suspect_get(f, trait);
	unsigned before;

	if (!s || began <= s->completed)
		return false;
	before = ap_trait_chain(f, trait);
	s->completed = began;
	s->stale = true;
	return ap_trait_chain(f, trait) < before;
}

static void remove_suspect(ap_fleet_t *f, ap_suspect_t *s)
{
	/* false positive: the analyzer takes a freed item for one of the table */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference,clang-analyzer-unix.Malloc) */
	HASH_DEL(f->suspects, s);
	free(s);
}

void ap_suspects_tick(ap_fleet_t *f, ap_usec_t now)
{
	ap_suspect_t *next;
	ap_suspect_t *s;

	ap_breaks_tick(f, now);
	for (size_t i = f->n_ends; i > 0; i--) {
		ap_upstream_end_t *end = &f->ends[i - 1];
		ap_usec_t age = now - end->at;

		if (age > SUSPECT_MAX_AGE || (age > END_MAX_AGE && !ap_end_has_suspect(f, end)))
			ap_end_remove(f, end);
	}
	HASH_ITER (hh, f->suspects, s, next) {
		if (ap_trait_chain(f, s->trait) > 0 || now - s->completed < END_MAX_AGE)
			continue;
		remove_suspect(f, s);
	}
}

size_t ap_suspects_count(const ap_fleet_t *f, bool requests)
{
	size_t n = 0;

	for (ap_suspect_t *s = f->suspects; s; s = s->hh.next)
		n += s->is_request == requests && is_suspect(f, s->trait);
	return n;
}
