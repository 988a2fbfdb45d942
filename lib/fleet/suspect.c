/*
 * Parts of prompts that crash engines. When an upstream ends, one of the requests that were in
 * flight there may have caused it, by any part of its prompt that other requests share. A part is a
 * suspect if requests with it met END_CHAIN_MIN ends one after the other, each sent after the end
 * before, and none was completed since: upstreams that end for reasons of their own leave no such
 * chain, because requests sent after them succeed, or because they end together.
 *
 * A request is held back if, for each end of such a chain, it has all parts that are about as
 * likely to be the cause as the suspect, so that whichever of them is the cause, the request has
 * it. A part that came only together with the cause is not held back alone. After a while, which
 * doubles with each trial that fails, one request at a time is sent as a trial; a complete response
 * clears all its parts.
 *
 * The ends, see end.c, are exchanged between all instances, see suspect-wire.c, and so is the
 * latest response to a request with a part.
 */
#include "fleet/private.h"

#include <stdlib.h>
#include <string.h>

#define CHAIN_MARGIN 1 /* chains that differ by this are about as likely */
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

ap_suspect_t *ap_suspect_find(const ap_fleet_t *f, uint64_t part)
{
	ap_suspect_t *s;

	HASH_FIND(hh, f->suspects, &part, sizeof(part), s);
	return s;
}

ap_suspect_t *ap_suspect_get(ap_fleet_t *f, uint64_t part)
{
	ap_suspect_t *s = ap_suspect_find(f, part);

	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->part = part;
	HASH_ADD(hh, f->suspects, part, sizeof(s->part), s);
	return s;
}

bool ap_part_cleared(const ap_fleet_t *f, uint64_t part, ap_usec_t at)
{
	const ap_suspect_t *s = ap_suspect_find(f, part);

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

/*
 * Returns the longest chain in which each request was sent after the end before, and met its own
 * end late enough for a response to a sound request to be known by then.
 */
static chain_t find_chain(link_t *links, size_t n)
{
	chain_t chain = {0};
	ap_usec_t last = 0;

	qsort(links, n, sizeof(*links), compare_links);
	for (size_t i = 0; i < n; i++) {
		if (chain.length > 0 &&
		    (links[i].sent < last || links[i].at < last + LINK_INTERVAL))
			continue;
		chain.trials += chain.length >= END_CHAIN_MIN && links[i].at >= last + HOLD_BASE;
		chain.length++;
		last = links[i].at;
	}
	return chain;
}

static void report(const ap_fleet_t *f, ap_fleet_event_kind_t kind, const ap_suspect_t *s)
{
	char id[AP_NAME_MAX];
	const ap_fleet_event_t event = {
		.kind = kind,
		.id = id,
		.lasts = kind == AP_FLEET_EVENT_PART_SUSPECTED ? HOLD_BASE : 0,
		.failures = s->chain,
	};

	snprintf(id, sizeof(id), "%llx", (unsigned long long)s->part);
	if (f->config.on_event)
		f->config.on_event(f->config.ctx, &event);
}

/* Returns the chain of ends that requests with the part met since one was completed. */
static unsigned chain_of(const ap_fleet_t *f, ap_suspect_t *s)
{
	const ap_upstream_end_t *e;
	link_t links[ENDS_MAX];
	unsigned before = s->chain;
	size_t n = 0;

	if (!s->stale)
		return s->chain;
	FOR_EACH_END (f, e) {
		const ap_end_part_t *p =
			e->at >= s->completed ? ap_end_find_part(e, s->part) : NULL;

		if (p && !ap_ended_with_others(f, e, s->part))
			links[n++] = (link_t){e->at, p->sent};
	}
	s->chain = find_chain(links, n).length;
	s->stale = false;
	if (s->chain >= END_CHAIN_MIN && before < END_CHAIN_MIN)
		report(f, AP_FLEET_EVENT_PART_SUSPECTED, s);
	else if (s->chain < END_CHAIN_MIN && before >= END_CHAIN_MIN)
		report(f, AP_FLEET_EVENT_PART_CLEARED, s);
	return s->chain;
}

unsigned ap_part_chain(const ap_fleet_t *f, uint64_t part)
{
	ap_suspect_t *s = ap_suspect_find(f, part);

	return s ? chain_of(f, s) : 0;
}

static bool is_suspect(const ap_fleet_t *f, uint64_t part)
{
	return ap_part_chain(f, part) >= END_CHAIN_MIN;
}

/* Returns whether @part is one of the shared parts of @req. */
static bool has_part(const ap_dispatch_t *req, uint64_t part)
{
	for (size_t i = 0; i + 1 < req->n_parts; i++) {
		if (req->parts[i].id == part)
			return true;
	}
	return false;
}

/* Returns the longest chain among the parts of @end. */
static unsigned longest_chain(const ap_fleet_t *f, const ap_upstream_end_t *end)
{
	unsigned longest = 0;

	for (size_t i = 0; i < end->n_parts; i++) {
		uint64_t part = end->parts[i].part;
		unsigned chain = ap_part_cleared(f, part, end->at) ? 0 : ap_part_chain(f, part);

		if (chain > longest && !ap_ended_with_others(f, end, part))
			longest = chain;
	}
	return longest;
}

/*
 * Returns whether @end speaks against @req: it has a suspect, and @req has each part that is about
 * as likely to be the cause. @sent: the latest time at which a request with one of these was sent
 */
static bool speaks_against(const ap_fleet_t *f, const ap_upstream_end_t *end,
			   const ap_dispatch_t *req, ap_usec_t *sent)
{
	unsigned longest = longest_chain(f, end);

	*sent = 0;
	if (longest < END_CHAIN_MIN)
		return false;
	for (size_t i = 0; i < end->n_parts; i++) {
		const ap_end_part_t *p = &end->parts[i];

		if (ap_part_cleared(f, p->part, end->at) ||
		    ap_part_chain(f, p->part) + CHAIN_MARGIN < longest ||
		    ap_ended_with_others(f, end, p->part))
			continue;
		if (!has_part(req, p->part))
			return false;
		*sent = p->sent > *sent ? p->sent : *sent;
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
	bool any = false;

	for (size_t i = 0; i + 1 < req->n_parts && !any; i++)
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
	e.chain = find_chain(links, n);
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

	if (e.chain.length >= END_CHAIN_MIN)
		e.last->tried_at = now;
}

void ap_evidence_seen(ap_fleet_t *f, ap_usec_t now)
{
	f->evidence_seen_at = now;
	f->evidence_changed_at = now;
	f->announced_at = 0;
	f->waits_announced_at = 0;
}

void ap_suspect_completed(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now)
{
	ap_usec_t began = inflight->first_at > 0 ? inflight->first_at : inflight->sent;

	for (size_t i = 0; i < inflight->n_parts; i++) {
		if (ap_suspect_find(f, inflight->parts[i]) &&
		    ap_part_completed(f, inflight->parts[i], began))
			ap_evidence_seen(f, now);
	}
}

bool ap_part_completed(ap_fleet_t *f, uint64_t part, ap_usec_t began)
{
	ap_suspect_t *s = ap_suspect_get(f, part);
	unsigned before;

	if (!s || began <= s->completed)
		return false;
	before = chain_of(f, s);
	s->completed = began;
	s->stale = true;
	return chain_of(f, s) < before;
}

bool ap_end_has_suspect(const ap_fleet_t *f, const ap_upstream_end_t *end)
{
	return longest_chain(f, end) >= END_CHAIN_MIN;
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
		if (chain_of(f, s) > 0 || now - s->completed < END_MAX_AGE)
			continue;
		remove_suspect(f, s);
	}
}

size_t ap_suspects_count(const ap_fleet_t *f)
{
	size_t n = 0;

	for (ap_suspect_t *s = f->suspects; s; s = s->hh.next)
		n += chain_of(f, s) >= END_CHAIN_MIN;
	return n;
}
