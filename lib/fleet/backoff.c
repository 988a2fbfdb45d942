/*
 * Upstreams that refuse a request and say for how long they want no other (Retry-After). Until then
 * this instance sends them nothing, health checks included. An upstream means the instance that it
 * responded to and may have room for others, so a pause isn't announced. It outlives the upstream's
 * record, which may lapse and return.
 *
 * Instances that were given the same end go on at different times, each with one request, and with
 * twice as many at a time with each response.
 */
#include "fleet/private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PAUSE_MAX (10 * 60 * AP_SEC) /* of one refusal, which may be a mistake */
#define MEAN_UNKNOWN_US 30000.0
#define WINDOW_MAX 64	      /* requests in flight; beyond, an upstream is fully back */
#define RAMP_MAX (5 * AP_SEC) /* after a pause, until the upstream is fully back anyway */

/**
 * struct ap_backoff - an upstream that asked for a pause; outlives its record.
 * @asked: the longest time that it asked for in this pause
 * @until: end of the pause
 * @delay: from @until on, to spread instances that were given the same end
 * @window: requests that may be in flight after the pause
 * @in_flight: those that were sent after the pause
 */
struct ap_backoff {
	UT_hash_handle hh;
	uint32_t tag;
	ap_usec_t asked;
	ap_usec_t until;
	ap_usec_t delay;
	unsigned window;
	unsigned in_flight;
};

static ap_backoff_t *find(const ap_fleet_t *f, uint32_t tag)
{
	ap_backoff_t *b = NULL;

	if (f->backoffs)
		HASH_FIND(hh, f->backoffs, &tag, sizeof(tag), b);
	return b;
}

static ap_backoff_t *get(ap_fleet_t *f, uint32_t tag)
{
	ap_backoff_t *b = find(f, tag);

	if (b)
		return b;
	b = calloc(1, sizeof(*b));
	if (!b)
		return NULL;
	b->tag = tag;
	HASH_ADD(hh, f->backoffs, tag, sizeof(b->tag), b);
	return b;
}

static void remove_backoff(ap_fleet_t *f, ap_backoff_t *b)
{
	/* false positive: the analyzer takes a freed item for one of the table */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference,clang-analyzer-unix.Malloc) */
	HASH_DEL(f->backoffs, b);
	free(b);
}

static ap_usec_t end_of(const ap_backoff_t *b)
{
	return b->until + b->delay;
}

/*
 * Returns a random delay, so that the first requests of all instances of the region come at the
 * rate that the upstream can process.
 */
static ap_usec_t random_delay(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t wait, ap_usec_t now)
{
	const ap_pool_state_t *p = r ? ap_pool_state(f, r->entry.pool) : NULL;
	double mean = p && p->mean_us > 0 ? p->mean_us : MEAN_UNKNOWN_US;
	double instances = (double)ap_fleet_active_peers(f, now) + 1;
	double spread = instances * mean / (r && r->entry.slots ? r->entry.slots : 1);

	spread = fmin(spread, (double)wait);
	return (ap_usec_t)(ap_rng_unit(&f->rng) * spread);
}

static void begin(ap_fleet_t *f, ap_backoff_t *b, ap_usec_t wait, ap_usec_t now)
{
	const ap_replica_t *r = ap_replica_by_tag(f, b->tag);

	b->asked = 0;
	b->window = 1;
	b->delay = random_delay(f, r, wait, now);
	if (r)
		ap_report_replica_event(f, AP_FLEET_EVENT_BACKOFF, r, wait, now);
}

void ap_fleet_backoff_seen(ap_fleet_t *f, const char *id, ap_usec_t wait, ap_usec_t now)
{
	ap_backoff_t *b = wait > 0 ? get(f, (uint32_t)ap_hash_str(id, 0)) : NULL;

	if (!b)
		return;
	if (wait > PAUSE_MAX)
		wait = PAUSE_MAX;
	if (now >= end_of(b))
		begin(f, b, wait, now);
	/* Responses may arrive out of order, and none of them takes back what another one said. */
	if (now + wait > b->until)
		b->until = now + wait;
	if (wait > b->asked)
		b->asked = wait;
}

bool ap_backoff_pausing(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	const ap_backoff_t *b = find(f, r->tag);

	return b && now < end_of(b);
}

bool ap_backoff_allows(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	const ap_backoff_t *b = find(f, r->tag);

	return !b || (now >= end_of(b) && b->in_flight < b->window);
}

bool ap_backoff_sent(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	ap_backoff_t *b = find(f, r->tag);

	if (!b || now < end_of(b))
		return false;
	b->in_flight++;
	return true;
}

void ap_backoff_responded(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	ap_backoff_t *b = find(f, r->tag);

	if (!b || now < end_of(b))
		return;
	b->window *= 2;
	if (b->window > WINDOW_MAX)
		remove_backoff(f, b);
}

void ap_backoff_ended(const ap_fleet_t *f, const char *id)
{
	ap_backoff_t *b = find(f, (uint32_t)ap_hash_str(id, 0));

	if (b && b->in_flight > 0)
		b->in_flight--;
}

void ap_fleet_remote_pause(ap_fleet_t *f, const char *region, const char *pool, ap_usec_t wait,
			   ap_usec_t now)
{
	ap_remote_pool_t *remote = wait > 0 ? ap_remote_pool(f, region, pool) : NULL;

	if (!remote)
		return;
	remote->pause = wait < PAUSE_MAX ? wait : PAUSE_MAX;
	remote->pause_until = now + remote->pause;
}

bool ap_backoff_region(ap_fleet_t *f, const char *region, const char *pool, ap_usec_t now)
{
	const ap_remote_pool_t *remote = ap_remote_pool(f, region, pool);

	return remote && now < remote->pause_until;
}

/* A pause of all upstreams of a region that could serve a request. */
typedef struct pause {
	ap_usec_t asked;
	ap_usec_t until; /* AP_NEVER for none */
} pause_t;

static void keep_shorter(pause_t *p, ap_usec_t asked, ap_usec_t until)
{
	if (until < p->until)
		*p = (pause_t){.asked = asked, .until = until};
}

/* Return: false if an upstream of this region that could serve @req doesn't pause. */
static bool pause_here(const ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, pause_t *p)
{
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		const ap_backoff_t *b;

		if (!ap_replica_serves(f, r, f->config.region, req, now))
			continue;
		b = find(f, r->tag);
		if (!b || now >= end_of(b))
			return false;
		keep_shorter(p, b->asked, end_of(b));
	}
	return true;
}

/* Also by way of other instances of this region. */
static void pause_elsewhere(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, pause_t *p)
{
	for (const ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next) {
		const ap_remote_pool_t *remote;

		if (!ap_dispatch_allows_region(req, dc->region))
			continue;
		remote = ap_remote_pool(f, dc->region, req->pool->name);
		if (remote && now < remote->pause_until)
			keep_shorter(p, remote->pause, remote->pause_until);
	}
}

ap_usec_t ap_fleet_local_pause(const ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	pause_t p = {.until = AP_NEVER};

	if (!pause_here(f, req, now, &p) || p.until == AP_NEVER)
		return 0;
	return p.until - now;
}

bool ap_backoff_all(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, ap_usec_t *wait)
{
	pause_t p = {.until = AP_NEVER};
	ap_usec_t spread;
	ap_usec_t rest;

	if (ap_dispatch_allows_region(req, f->config.region) && !pause_here(f, req, now, &p)) {
		if (!ap_backoff_region(f, f->config.region, req->pool->name, now))
			return false;
		p.until = AP_NEVER;
	}
	if (!req->local_only)
		pause_elsewhere(f, req, now, &p);
	if (p.until == AP_NEVER)
		return false;
	/*
	 * Callers return spread over as long again as the upstream asked for, so that they at most
	 * double the load, but not beyond their deadline if the pause ends before it.
	 */
	spread = p.asked;
	rest = req->deadline - p.until;
	if (rest > 0 && rest < spread)
		spread = rest;
	*wait = p.until - now + (ap_usec_t)(ap_rng_unit(&f->rng) * (double)spread);
	return true;
}

size_t ap_backoff_count(const ap_fleet_t *f, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_backoff_t *b = f->backoffs; b; b = b->hh.next)
		n += now < end_of(b);
	return n;
}

void ap_backoff_forget_all(ap_fleet_t *f)
{
	ap_backoff_t *next;
	ap_backoff_t *b;

	HASH_ITER (hh, f->backoffs, b, next)
		remove_backoff(f, b);
}

void ap_backoff_tick(ap_fleet_t *f, ap_usec_t now)
{
	ap_backoff_t *next;
	ap_backoff_t *b;

	HASH_ITER (hh, f->backoffs, b, next) {
		if (now - end_of(b) > RAMP_MAX)
			remove_backoff(f, b);
	}
}
