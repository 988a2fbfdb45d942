/* Load of upstreams and expected waits there; the rates are estimated from responses. */
#include "fleet/private.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFILL_START 0.03 /* prompt tokens per microsecond, before the first sample */
#define PREFILL_MIN 0.002  /* limits of one sample, in prompt tokens per microsecond */
#define PREFILL_MAX 1.0
#define PREFILL_SAMPLE_MIN 1000 /* tokens; for shorter prompts, other times dominate */
#define FIRST_STEP_US 20000.0	/* part of an engine's time to the first token besides prefill */
/* Mean time of a request before the first sample, at a plain service and at an engine. */
#define MEAN_START_PLAIN_US 30000.0
#define MEAN_START_ENGINE_US 800000.0
#define RATE_GAIN 0.05		    /* weight of one sample */
#define WAIT_SAMPLE_MIN_US 100000.0 /* for shorter waits, other times dominate */
#define WAIT_SCALE_MIN 0.1	    /* limits of one observed ratio of waits */
#define WAIT_SCALE_MAX 3.0
#define WAIT_SCALE_GAIN 0.03
#define SLOWDOWN_GAIN 0.08
#define SLOWDOWN_HALF_LIFE (20 * AP_SEC) /* an observation that is not repeated decays */
#define RATIO_MIN 0.2 /* limits of one observed ratio: a single response is weak evidence */
#define RATIO_MAX 5.0
#define SLOWDOWN_MIN 0.5 /* limits of the estimated ratio */
#define SLOWDOWN_MAX 8.0
#define SLOWDOWN_BASE_US 30000.0 /* added to both waits, so that short ones have little effect */
#define REFUSALS_GAIN 0.1	 /* weight of one request */
/* Objectives that a refusal costs: its caller comes again later, and may be refused again. */
#define REFUSAL_COST 3.0
#define REFUSALS_HALF_LIFE (2 * AP_SEC)
#define WAITS_MAX 1024		       /* upstreams of a pool */
#define LOADS_MAX_AGE (1500 * AP_MSEC) /* above the IDLE_INTERVAL of announce.c */

ap_pool_state_t *ap_pool_state(ap_fleet_t *f, const char *pool)
{
	ap_pool_state_t *p;

	HASH_FIND_STR(f->pools, pool, p);
	if (p)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	ap_copy_name(p->name, sizeof(p->name), pool);
	p->prefill_per_us = PREFILL_START;
	p->wait_scale = 1;
	HASH_ADD_STR(f->pools, name, p);
	return p;
}

ap_remote_pool_t *ap_remote_pool(ap_fleet_t *f, const char *region, const char *pool)
{
	char key[2 * AP_NAME_MAX];
	ap_remote_pool_t *remote;

	snprintf(key, sizeof(key), "%s %s", region, pool);
	HASH_FIND_STR(f->remote_pools, key, remote);
	if (remote)
		return remote;
	remote = calloc(1, sizeof(*remote));
	if (!remote)
		return NULL;
	ap_copy_name(remote->key, sizeof(remote->key), key);
	ap_prefix_cache_init(&remote->cache);
	HASH_ADD_STR(f->remote_pools, key, remote);
	return remote;
}

uint32_t ap_replica_running(const ap_replica_t *r)
{
	uint32_t running = 0;

	for (unsigned i = 0; i < AP_PRIORITIES; i++)
		running += r->own.running[i] + r->others.running[i];
	return running;
}

uint32_t ap_replica_own_running(const ap_replica_t *r)
{
	uint32_t running = 0;

	for (unsigned i = 0; i < AP_PRIORITIES; i++)
		running += r->own.running[i];
	return running;
}

bool ap_is_silent(uint32_t running, ap_usec_t heard_at, const ap_dispatch_t *req)
{
	return (running > 0 || req->heard_only) && heard_at < req->heard_since;
}

uint32_t ap_replica_slots(const ap_replica_t *r, const ap_plan_pool_t *pool)
{
	uint32_t slots = r->entry.slots ? r->entry.slots : pool->slots;

	return slots ? slots : 1;
}

bool ap_fleet_has_free_slot(const ap_fleet_t *f, const char *id, const ap_plan_pool_t *pool)
{
	const ap_replica_t *r = ap_replica_find(f, id);

	return r && ap_replica_running(r) < ap_replica_slots(r, pool);
}

static double mean_us(const ap_pool_state_t *p, const ap_plan_pool_t *pool)
{
	if (p && p->mean_us > 0)
		return p->mean_us;
	return pool->kv_tokens ? MEAN_START_ENGINE_US : MEAN_START_PLAIN_US;
}

/* Counts the requests at @r that precede one of @priority. A plain service has no priorities. */
static uint32_t running_before(const ap_replica_t *r, bool engine, unsigned priority)
{
	uint32_t running = 0;

	if (!engine)
		return ap_replica_running(r);
	for (unsigned i = 0; i <= priority && i < AP_PRIORITIES; i++)
		running += r->own.running[i] + r->others.running[i];
	return running;
}

static double prefill_before(const ap_replica_t *r, unsigned priority)
{
	double tokens = 0;

	for (unsigned i = 0; i <= priority && i < AP_PRIORITIES; i++)
		tokens += r->own.prefill[i] + r->others.prefill[i];
	return tokens;
}

/* Estimated wait for a slot if each request takes the mean time; scaled by wait_scale later. */
static double slot_wait_us(uint32_t running, uint32_t slots, double mean)
{
	return running >= slots ? (running - slots + 1) * mean / slots : 0;
}

double ap_replica_wait_us(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
			  uint32_t uncached)
{
	const ap_plan_pool_t *pool = req->pool;
	const ap_pool_state_t *p = ap_pool_state(f, pool->name);
	unsigned priority = ap_dispatch_priority(req);
	uint32_t running = running_before(r, pool->kv_tokens > 0, priority);
	double wait = slot_wait_us(running, ap_replica_slots(r, pool), mean_us(p, pool));

	if (!p)
		return wait;
	wait *= p->wait_scale;
	if (pool->kv_tokens == 0)
		return wait + mean_us(p, pool);
	return wait + FIRST_STEP_US + (uncached + prefill_before(r, priority)) / p->prefill_per_us;
}

double ap_dispatch_service_us(ap_fleet_t *f, const ap_dispatch_t *req, uint32_t cached)
{
	if (req->pool->kv_tokens > 0)
		return FIRST_STEP_US + ap_prefill_us(f, req, cached);
	return mean_us(ap_pool_state(f, req->pool->name), req->pool);
}

/*
 * Wait for a slot and for the prompts processed before a request of @priority. The pool's
 * configuration is not at hand: an entry without a number of slots counts as one slot, and until a
 * request of the pool was observed, the wait for a slot is 0.
 */
static double queue_us(const ap_replica_t *r, const ap_pool_state_t *p, unsigned priority)
{
	uint32_t slots = r->entry.slots ? r->entry.slots : 1;
	uint32_t running = running_before(r, r->kv_tokens > 0, priority);

	return slot_wait_us(running, slots, p->mean_us) * p->wait_scale +
	       prefill_before(r, priority) / p->prefill_per_us;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Uses the better half, since requests are not sent to the worst upstreams. */
static ap_usec_t mean_of_better_half(double *waits, size_t n)
{
	size_t half = (n + 1) / 2;
	double sum = 0;

	if (n == 0)
		return AP_NEVER;
	qsort(waits, n, sizeof(*waits), compare_doubles);
	for (size_t i = 0; i < half; i++)
		sum += waits[i];
	return (ap_usec_t)(sum / (double)half);
}

ap_usec_t ap_pool_wait(ap_fleet_t *f, const ap_pool_state_t *p, unsigned priority, ap_usec_t now)
{
	double waits[WAITS_MAX];
	size_t n = 0;

	for (ap_replica_t *r = f->replicas; r && n < WAITS_MAX; r = r->hh.next) {
		if (!r->own_region || strcmp(r->entry.pool, p->name) != 0 ||
		    !ap_replica_usable(f, r, now) || !ap_replica_healthy(r, now) ||
		    ap_replica_cold(f, r, p->warmup, now) || ap_replica_limited(f, r, now) ||
		    ap_backoff_pausing(f, r, now))
			continue;
		waits[n++] = queue_us(r, p, priority);
	}
	return mean_of_better_half(waits, n);
}

ap_usec_t ap_fleet_local_wait(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	const ap_pool_state_t *p = ap_pool_state(f, req->pool->name);

	return p ? ap_pool_wait(f, p, ap_announced_priority(ap_dispatch_rank(req)), now) : AP_NEVER;
}

double ap_refused_share(const ap_refusals_t *refusals, ap_usec_t now)
{
	double halves = (double)(now - refusals->at) / (double)REFUSALS_HALF_LIFE;

	return refusals->share * exp2(-fmax(halves, 0));
}

double ap_refusals_us(const ap_refusals_t *refusals, const ap_dispatch_t *req, ap_usec_t now)
{
	return ap_refused_share(refusals, now) * REFUSAL_COST * (double)req->route->objective;
}

static void learn_refusals(ap_refusals_t *refusals, ap_dispatch_result_t end, ap_usec_t now)
{
	bool refused = end == AP_DISPATCH_REFUSED;

	if (!refused && end != AP_DISPATCH_DONE && end != AP_DISPATCH_ERROR)
		return;
	refusals->share = ap_refused_share(refusals, now);
	refusals->share += REFUSALS_GAIN * (refused - refusals->share);
	refusals->at = now;
}

static void add_load(ap_load_t *sum, const ap_load_t *load, uint32_t times)
{
	for (unsigned i = 0; i < AP_PRIORITIES; i++) {
		sum->running[i] += times * load->running[i];
		sum->prefill[i] += times * load->prefill[i];
	}
	sum->kv += times * load->kv;
}

static void add_announced(ap_fleet_t *f, const ap_member_state_t *m)
{
	for (size_t i = 0; i < m->n_loads; i++) {
		ap_replica_t *r = ap_replica_by_tag(f, m->loads[i].tag);

		if (r)
			add_load(&r->others, &m->loads[i].load, 1);
	}
}

/* Instances without a recent announcement are assumed to have the same load as this one. */
static void add_assumed(ap_fleet_t *f, uint32_t n_assumed)
{
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next)
		add_load(&r->others, &r->own, n_assumed);
}

void ap_load_recount(ap_fleet_t *f, ap_usec_t now)
{
	uint32_t n_assumed = 0;

	f->loads_changed = false;
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next)
		r->others = (ap_load_t){0};
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (!ap_in_own_region(f, m) || !ap_is_live_other(f, m, now))
			continue;
		if (m->loads_at > 0 && now - m->loads_at < LOADS_MAX_AGE)
			add_announced(f, m);
		else
			n_assumed++;
	}
	if (n_assumed > 0)
		add_assumed(f, n_assumed);
}

static void sent_remote(ap_fleet_t *f, const ap_dispatch_t *req, const ap_target_t *target)
{
	ap_remote_pool_t *remote = ap_remote_pool(f, target->region, req->pool->name);

	if (!remote)
		return;
	remote->sent_since++;
	remote->running++;
	/* The size of one upstream's cache is enough to find recently forwarded prefixes. */
	ap_prefix_cache_add(f, &remote->cache, req, req->pool->kv_tokens);
}

/* Returns how many tokens of the prompt and response belong to no part. */
static uint32_t tokens_without_part(const ap_dispatch_t *req)
{
	uint32_t named = 0;

	for (size_t i = 0; i < req->n_parts; i++)
		named += req->parts[i].tokens;
	return req->tokens_out + (req->tokens_in > named ? req->tokens_in - named : 0);
}

void ap_fleet_sent(ap_fleet_t *f, const ap_dispatch_t *req, const ap_target_t *target,
		   ap_usec_t now, ap_inflight_t *inflight)
{
	ap_replica_t *r = target->remote ? NULL : ap_replica_find(f, target->id);
	*inflight = (ap_inflight_t){
		.open = true,
		.remote = target->remote,
		.priority = ap_dispatch_priority(req),
		.prefill = req->tokens_in - target->cached,
		.kv = req->tokens_in + req->tokens_out,
		.sent = now,
		.expected = target->wait,
		.fingerprint = req->fingerprint,
	};
	ap_copy_name(inflight->id, sizeof(inflight->id), target->id);
	ap_copy_name(inflight->pool, sizeof(inflight->pool), req->pool->name);
	ap_copy_name(inflight->region, sizeof(inflight->region), target->region);
	for (size_t i = 0; req->pool->kv_tokens > 0 && i + 1 < req->n_parts; i++)
		inflight->parts[inflight->n_parts++] = req->parts[i].id;
	ap_fetch_sent(f, target, now, inflight);
	ap_suspect_sent(f, req, now);
	if (target->remote && strcmp(target->region, f->config.region) != 0)
		sent_remote(f, req, target);
	if (!r)
		return;
	inflight->serial = r->serial;
	inflight->alone = ap_replica_running(r) == 0;
	inflight->slot_wait =
		slot_wait_us(running_before(r, req->pool->kv_tokens > 0, inflight->priority),
			     ap_replica_slots(r, req->pool),
			     mean_us(ap_pool_state(f, req->pool->name), req->pool));
	inflight->trial = r->ejected_until != 0;
	r->trial = r->trial || inflight->trial;
	if (ap_replica_cold(f, r, req->pool->warmup, now))
		r->cold.allowance -= 1;
	if (ap_replica_limited(f, r, now))
		r->within_limit.allowance -= 1;
	ap_brittle_sent(f, r, req, now);
	inflight->after_pause = ap_backoff_sent(f, r, now);
	ap_room_sent(f, r, req);
	r->own.running[inflight->priority]++;
	r->own.prefill[inflight->priority] += inflight->prefill;
	r->own.kv += inflight->kv;
	ap_prefix_cache_add(f, &r->cache, req, req->pool->kv_tokens);
	ap_prefix_cache_add_unnamed(f, &r->cache, tokens_without_part(req), req->pool->kv_tokens);
	/* The last part is not announced as a prefix, so it is counted among the unnamed tokens. */
	r->new_unnamed_tokens += req->tokens_in - ap_dispatch_prefix_tokens(req) + req->tokens_out;
	ap_announce_prefixes_later(f, r, req, target->cached);
}

static void learn_prefill(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, inflight->pool);
	double spent = (double)(now - inflight->sent) - FIRST_STEP_US;
	double rate;

	if (!p || !inflight->alone || inflight->prefill < PREFILL_SAMPLE_MIN || spent <= 0 ||
	    inflight->fetched > 0)
		return;
	rate = fmin(fmax(inflight->prefill / spent, PREFILL_MIN), PREFILL_MAX);
	p->prefill_per_us += RATE_GAIN * (rate - p->prefill_per_us);
}

/* Adjusts wait_scale: slots become free sooner or later than estimated. */
static void learn_wait(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, inflight->pool);
	double rest = (double)inflight->expected - inflight->slot_wait * (p ? p->wait_scale : 1);
	double observed_ratio;

	if (!p || inflight->slot_wait < WAIT_SAMPLE_MIN_US)
		return;
	observed_ratio = ((double)(now - inflight->sent) - fmax(rest, 0)) / inflight->slot_wait;
	observed_ratio = fmin(fmax(observed_ratio, WAIT_SCALE_MIN), WAIT_SCALE_MAX);
	p->wait_scale += WAIT_SCALE_GAIN * (observed_ratio - p->wait_scale);
}

double ap_replica_slowdown(const ap_replica_t *r, ap_usec_t now)
{
	double halves = (double)(now - r->slowdown_at) / (double)SLOWDOWN_HALF_LIFE;

	return 1 + (r->slowdown - 1) * exp2(-fmax(halves, 0));
}

static void learn_slowdown(ap_replica_t *r, const ap_inflight_t *inflight, ap_usec_t now)
{
	double observed_us = (double)(now - inflight->sent) + SLOWDOWN_BASE_US;
	double expected = (double)inflight->expected + SLOWDOWN_BASE_US;
	double ratio = fmin(fmax(observed_us / expected, RATIO_MIN), RATIO_MAX);

	r->slowdown = ap_replica_slowdown(r, now) * pow(ratio, SLOWDOWN_GAIN);
	r->slowdown = fmin(fmax(r->slowdown, SLOWDOWN_MIN), SLOWDOWN_MAX);
	r->slowdown_at = now;
}

/* Returns the pool of the remote region that has the request; NULL for the own region. */
static ap_remote_pool_t *remote_of(ap_fleet_t *f, const ap_inflight_t *inflight)
{
	if (!inflight->remote || strcmp(inflight->region, f->config.region) == 0)
		return NULL;
	return ap_remote_pool(f, inflight->region, inflight->pool);
}

void ap_fleet_first_chunk(ap_fleet_t *f, ap_inflight_t *inflight, ap_usec_t now)
{
	ap_remote_pool_t *remote = remote_of(f, inflight);
	ap_replica_t *r = inflight->remote ? NULL : ap_replica_find(f, inflight->id);
	ap_member_state_t *m = inflight->remote ? ap_member_find(f, inflight->id) : NULL;

	if (!inflight->open)
		return;
	if (m)
		m->responded_at = now;
	if (remote)
		remote->heard_at = now;
	if (r)
		r->heard_at = now;
	if (inflight->has_first_chunk)
		return;
	inflight->has_first_chunk = true;
	inflight->first_at = now;
	if (!r)
		return;
	ap_path_seen(f, r, now);
	if (inflight->after_pause)
		ap_backoff_responded(f, r, now);
	ap_fetch_done(f, inflight, now);
	learn_prefill(f, inflight, now);
	learn_wait(f, inflight, now);
	/* A response of before a restart says nothing of the upstream's pace after it. */
	if (r->serial != inflight->serial)
		return;
	r->own.prefill[inflight->priority] -= inflight->prefill;
	learn_slowdown(r, inflight, now);
}

/* Learns how long a request occupies a slot. The wait for the slot does not count. */
static void learn_mean(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, inflight->pool);
	double took = (double)(now - inflight->sent);

	if (!p)
		return;
	if (inflight->first_at > 0 && inflight->prefill > 0)
		took = (double)(now - inflight->first_at) + FIRST_STEP_US +
		       inflight->prefill / p->prefill_per_us;
	else if (inflight->slot_wait > 0)
		return;
	if (inflight->prefill == 0)
		ap_room_learn(p, took);
	p->mean_us = p->mean_us > 0 ? p->mean_us + RATE_GAIN * (took - p->mean_us) : took;
}

/* The load of a request that was sent before the upstream's entry was gone went with it. */
static void remove_load(ap_replica_t *r, const ap_inflight_t *inflight)
{
	if (r->serial != inflight->serial)
		return;
	r->own.running[inflight->priority]--;
	r->own.kv -= inflight->kv;
	if (!inflight->has_first_chunk)
		r->own.prefill[inflight->priority] -= inflight->prefill;
}

static bool has_responded(ap_dispatch_result_t end)
{
	return end == AP_DISPATCH_DONE || end == AP_DISPATCH_ERROR || end == AP_DISPATCH_REFUSED ||
	       end == AP_DISPATCH_WEIGHTS;
}

static void done_local(ap_fleet_t *f, ap_replica_t *r, const ap_inflight_t *inflight,
		       ap_dispatch_result_t end, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, inflight->pool);

	remove_load(r, inflight);
	if (inflight->after_pause && end == AP_DISPATCH_ERROR)
		ap_backoff_responded(f, r, now);
	if (has_responded(end))
		r->heard_at = now;
	if (p)
		learn_refusals(&p->refusals, end, now);
	if (end == AP_DISPATCH_DONE) {
		learn_mean(f, inflight, now);
		ap_suspect_completed(f, inflight, now);
	} else if (end == AP_DISPATCH_BROKEN) {
		ap_break_seen(f, r, inflight, now);
	} else if (end == AP_DISPATCH_SLOWER && !inflight->has_first_chunk &&
		   now - inflight->sent > inflight->expected) {
		/* Its response would have come later still. */
		learn_slowdown(r, inflight, now);
	}
	/* Likewise, requests that a restart broke off are no failures of what runs now. */
	if (r->serial == inflight->serial)
		ap_replica_record_result(f, r, end, inflight->trial, now);
}

/*
 * Suspects a remote instance only after a failed connection, or a timeout if it has sent nothing
 * since the request was sent. Other failures, and silence, are those of the upstreams there.
 */
static void done_remote(ap_fleet_t *f, const ap_inflight_t *inflight, ap_dispatch_result_t end,
			ap_usec_t now)
{
	ap_member_state_t *m = ap_member_find(f, inflight->id);
	ap_remote_pool_t *remote = remote_of(f, inflight);

	if (remote) {
		learn_refusals(&remote->refusals, end, now);
		remote->running -= remote->running > 0; /* it may have had no memory at the send */
		/* An instance may refuse or fail a request although no upstream there responds. */
		if (end == AP_DISPATCH_DONE)
			remote->heard_at = now;
	}
	if (m && has_responded(end))
		m->responded_at = now;
	if (m && (end == AP_DISPATCH_UNREACHABLE ||
		  (end == AP_DISPATCH_TIMED_OUT && m->responded_at < inflight->sent)))
		ap_member_suspect(f, m, now);
}

void ap_fleet_done(ap_fleet_t *f, ap_inflight_t *inflight, ap_dispatch_result_t end, ap_usec_t now)
{
	ap_replica_t *r;

	if (!inflight->open)
		return;
	inflight->open = false;
	if (inflight->after_pause)
		ap_backoff_ended(f, inflight->id);
	r = inflight->remote ? NULL : ap_replica_find(f, inflight->id);
	if (inflight->remote)
		done_remote(f, inflight, end, now);
	else if (r)
		done_local(f, r, inflight, end, now);
}

void ap_fleet_set_remote_wait(ap_fleet_t *f, const char *region, const char *pool,
			      unsigned priority, ap_usec_t wait, ap_usec_t now)
{
	ap_remote_pool_t *remote = ap_remote_pool(f, region, pool);

	if (!remote)
		return;
	remote->wait[priority == 0 ? 0 : 1] = wait;
	remote->announced_at = now;
	remote->sent_since = 0;
}
