/*
 * Choice of an upstream of the own region by expected time and cached prefix, or of another
 * region when it is better for the caller and the route's homes allow it.
 */
#include "fleet/private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US_PER_TOKEN 150.0 /* what one more request in a batch adds to each token's step */
#define REREAD_WEIGHT 16.0	/* of reading anew: only for want of one that has it and has room */
#define REFUSED_US 60000000.0	/* more than all else: refused there, or read anew by a busy one */
#define TRIED_US 60000.0	/* another upstream is worth this much, another region less */
#define FAILING_US 400000.0	/* a request that fails is sent again, if it may be */
#define FAILS_TOO_OFTEN 0.33 /* share of requests: worse than the reading, a third of its worth */
#define AFFINE_MIN 256	     /* tokens; shorter prefixes are no reason to choose an upstream */
#define RANKED 2	     /* upstreams that a prefix goes to by hash */
#define HOLDERS 2	     /* upstreams that have a prefix cached that are weighed */
#define SAMPLE_MIN 2	     /* others that are weighed: more would be chosen by all at once */
#define CANDIDATES_MAX 1024
#define JITTER_US 2000.0 /* below this, waits are alike */
#define KV_FULL 0.9	 /* above this share, engines preempt */
#define KV_FULL_US 1500000.0
#define STAY_SHARE 0.7	/* of the objective: shorter waits are not worth leaving for */
#define ADMIT_SHARE 0.7 /* of the objective, that work may wait for others: the rest is its own */

ap_fleet_t *ap_fleet_new(const ap_fleet_config_t *config)
{
	ap_fleet_t *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->config = *config;
	ap_rng_seed(&f->rng, config->seed);
	ap_fleet_set_data_centre(f, config->data_centre, config->region);
	return f;
}

void ap_fleet_set_bounds(ap_fleet_t *f, const ap_fleet_config_t *config)
{
	f->config.cold_over = config->cold_over;
	f->config.cold_slack = config->cold_slack;
	f->config.repeat_ratio = config->repeat_ratio;
	f->config.repeat_slack = config->repeat_slack;
	f->config.entry_grace = config->entry_grace;
}

/* Frees what a table held; each item begins with its handle. */
static void free_items(void *item)
{
	while (item) {
		void *next = ((UT_hash_handle *)item)->next;

		free(item);
		item = next;
	}
}

void ap_fleet_free(ap_fleet_t *f)
{
	if (!f)
		return;
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next)
		ap_prefix_cache_clear(f, &r->cache);
	for (ap_remote_pool_t *a = f->remote_pools; a; a = a->hh.next)
		ap_prefix_cache_clear(f, &a->cache);
	for (ap_member_state_t *m = f->members; m; m = m->hh.next)
		free(m->loads);

	void *const first[] = {f->replicas, f->members, f->pools, f->remote_pools, f->places};

	HASH_CLEAR(hh, f->replicas);
	HASH_CLEAR(by_tag, f->tagged);
	HASH_CLEAR(hh, f->members);
	HASH_CLEAR(hh, f->pools);
	HASH_CLEAR(hh, f->remote_pools);
	HASH_CLEAR(hh, f->places);
	for (size_t i = 0; i < sizeof(first) / sizeof(first[0]); i++)
		free_items(first[i]);
	free(f);
}

static bool is_named(const char (*names)[AP_NAME_MAX], size_t n, const char *id)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(names[i], id) == 0)
			return true;
	}
	return false;
}

bool ap_dispatch_tried(const ap_dispatch_t *work, const char *id)
{
	return is_named(work->tried, work->n_tried, id);
}

bool ap_dispatch_avoids(const ap_dispatch_t *work, const char *id)
{
	return is_named(work->avoid, work->n_avoid, id);
}

/* All parts but the last, which is the request's own. */
uint64_t ap_dispatch_prefix_key(const ap_dispatch_t *work)
{
	uint64_t key = 0;

	for (size_t i = 0; i + 1 < work->n_parts; i++)
		key = ap_hash(&work->parts[i].id, sizeof(work->parts[i].id), key);
	return key;
}

uint32_t ap_dispatch_prefix_tokens(const ap_dispatch_t *work)
{
	uint32_t tokens = 0;

	for (size_t i = 0; i + 1 < work->n_parts; i++)
		tokens += work->parts[i].tokens;
	return tokens < work->tokens_in ? tokens : work->tokens_in;
}

typedef struct candidate {
	ap_replica_t *replica;
	uint32_t cached;
	double wait;
	double queue; /* part of the wait that is others' work */
	double score;
} candidate_t;

static bool eligible(ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *work, ap_usec_t now)
{
	return strcmp(r->entry.pool, work->pool->name) == 0 &&
	       strcmp(r->region, f->config.region) == 0 && ap_replica_usable(f, r, now) &&
	       !ap_dispatch_avoids(work, r->entry.id) &&
	       (!ap_replica_cold(f, r, work->pool->warmup, now) || work->pool->warmup_rate <= 0 ||
		ap_cold_allows(f, r, work->pool, now));
}

/* Upstreams of the own region that may get the work. */
typedef struct candidates {
	ap_replica_t *v[CANDIDATES_MAX];
	size_t n;
	ap_replica_t *ranked[RANKED];
} candidates_t;

/* The upstreams to which every instance sends this prefix when nothing speaks against them. */
static void rank(const ap_dispatch_t *work, candidates_t *all)
{
	uint64_t key = ap_dispatch_prefix_key(work);
	double best[RANKED] = {0};

	for (size_t i = 0; i < all->n; i++) {
		double score = ap_rendezvous(key, all->v[i]->tag, 1);

		if (score > best[0]) {
			best[1] = best[0];
			all->ranked[1] = all->ranked[0];
			best[0] = score;
			all->ranked[0] = all->v[i];
		} else if (score > best[1]) {
			best[1] = score;
			all->ranked[1] = all->v[i];
		}
	}
}

double ap_prefill_us(ap_fleet_t *f, const ap_dispatch_t *work, uint32_t cached)
{
	const ap_pool_state_t *p = ap_pool_state(f, work->pool->name);

	return p && work->pool->kv_tokens ? (work->tokens_in - cached) / p->prefill_per_us : 0;
}

/* Not for what it takes itself: that is seen to change only if it is tried. */
static bool is_late(const ap_dispatch_t *work, double queue, ap_usec_t now)
{
	return queue > (double)(work->deadline - now) ||
	       queue > ADMIT_SHARE * (double)work->route->objective;
}

/* What it costs to read a large prefix anew, or to rely on a holder that fails. */
static double prefix_cost(const ap_pool_state_t *p, uint32_t shared, uint32_t cached, bool anew,
			  double failing)
{
	double lost = anew ? shared - cached : fmin(failing / FAILS_TOO_OFTEN, 1) * shared;

	return p && shared >= AFFINE_MIN ? REREAD_WEIGHT * lost / p->prefill_per_us : 0;
}

static void weigh(ap_fleet_t *f, const ap_dispatch_t *work, bool first, ap_usec_t now,
		  candidate_t *c)
{
	ap_replica_t *r = c->replica;
	const ap_pool_state_t *p = ap_pool_state(f, work->pool->name);
	uint32_t shared = ap_dispatch_prefix_tokens(work);
	double failing = ap_replica_failure_rate(r, now);
	uint32_t slots = ap_replica_slots(r, work->pool);
	bool anew;

	c->cached = ap_prefix_cache_match(f, &r->cache, work);
	anew = work->pool->kv_tokens > 0 && !first && shared >= AFFINE_MIN && c->cached < shared;
	c->wait = ap_replica_wait_us(f, r, work, work->tokens_in - c->cached);
	c->queue = c->wait - ap_dispatch_service_us(f, work, c->cached);
	c->wait *= ap_replica_slowdown(r, now);
	c->score =
		c->wait * (1 + failing) + failing * FAILING_US + ap_rng_unit(&f->rng) * JITTER_US;
	if (work->pool->kv_tokens) {
		double kv = (double)(r->own.kv + r->others.kv) / work->pool->kv_tokens;

		c->score += ap_replica_running(r) * (work->tokens_out + 1) * STEP_US_PER_TOKEN;
		c->score += prefix_cost(p, shared, c->cached, anew, failing);
		if (kv > KV_FULL)
			c->score += (kv - KV_FULL) * KV_FULL_US;
	}
	if (ap_dispatch_tried(work, r->entry.id))
		c->score += TRIED_US;
	if (is_late(work, c->queue, now) || (anew && 2 * ap_replica_running(r) > slots))
		c->score += REFUSED_US;
}

/* Ejected ones only when there are no others. */
static void gather(ap_fleet_t *f, const ap_dispatch_t *work, ap_usec_t now, candidates_t *all)
{
	bool well = false;

	all->n = 0;
	for (ap_replica_t *r = f->replicas; r && all->n < CANDIDATES_MAX; r = r->hh.next) {
		if (!eligible(f, r, work, now))
			continue;
		r->kv_tokens = work->pool->kv_tokens;
		if (ap_replica_healthy(r, now) && !well) {
			well = true;
			all->n = 0;
		}
		if (ap_replica_healthy(r, now) == well)
			all->v[all->n++] = r;
	}
}

static void consider(ap_fleet_t *f, const ap_dispatch_t *work, ap_replica_t *r, bool first,
		     ap_usec_t now, candidate_t *best)
{
	candidate_t c = {.replica = r};

	weigh(f, work, first, now, &c);
	if (!best->replica || c.score < best->score)
		*best = c;
}

/*
 * What is known of others' work is some tenths of a second old, so that the best of all would be
 * chosen by all instances at once: each weighs a few at random.
 */
static void consider_some(ap_fleet_t *f, const ap_dispatch_t *work, candidates_t *all,
			  ap_usec_t now, candidate_t *best)
{
	size_t instances = ap_fleet_count_members(f, f->config.region);
	size_t some = instances > 0 ? (all->n + instances - 1) / instances : all->n;

	if (some < SAMPLE_MIN)
		some = SAMPLE_MIN;
	for (size_t i = 0; i < some && i < all->n; i++) {
		size_t k = i + ap_rng_below(&f->rng, all->n - i);
		ap_replica_t *r = all->v[k];

		all->v[k] = all->v[i];
		all->v[i] = r;
		consider(f, work, r, false, now, best);
	}
}

/* A few at random of those that have the prefix cached, for the same reason. */
static size_t consider_holders(ap_fleet_t *f, const ap_dispatch_t *work, const candidates_t *all,
			       ap_usec_t now, candidate_t *best)
{
	uint32_t shared = ap_dispatch_prefix_tokens(work);
	ap_replica_t *holders[HOLDERS];
	size_t n = 0;

	for (size_t i = 0; i < all->n; i++) {
		if (ap_prefix_cache_match(f, &all->v[i]->cache, work) < shared)
			continue;
		if (n < HOLDERS) {
			holders[n] = all->v[i];
		} else {
			size_t k = ap_rng_below(&f->rng, n + 1);

			if (k < HOLDERS)
				holders[k] = all->v[i];
		}
		n++;
	}
	for (size_t i = 0; i < n && i < HOLDERS; i++)
		consider(f, work, holders[i], false, now, best);
	return n;
}

static bool best_here(ap_fleet_t *f, const ap_dispatch_t *work, ap_usec_t now, candidate_t *best)
{
	uint32_t shared = ap_dispatch_prefix_tokens(work);
	candidates_t all = {0};

	if (!ap_plan_allows_region(work->route, f->config.region))
		return false;
	gather(f, work, now, &all);
	if (shared >= AFFINE_MIN && work->pool->kv_tokens) {
		size_t holders = consider_holders(f, work, &all, now, best);

		rank(work, &all);
		for (size_t i = 0; i < RANKED && all.ranked[i]; i++)
			consider(f, work, all.ranked[i], i == 0 && holders == 0, now, best);
	}
	consider_some(f, work, &all, now, best);
	return best->replica != NULL;
}

static void fill_here(const candidate_t *c, ap_usec_t now, ap_target_t *target)
{
	const ap_replica_t *r = c->replica;

	*target = (ap_target_t){
		.port = r->entry.port,
		.wait = (ap_usec_t)c->wait,
		.queue = (ap_usec_t)c->queue,
		.cached = c->cached,
		.known_for = now - r->seen,
		.running = ap_replica_running(r),
	};
	ap_copy_name(target->id, sizeof(target->id), r->entry.id);
	ap_copy_name(target->host, sizeof(target->host), r->entry.host);
	ap_copy_name(target->region, sizeof(target->region), r->region);
}

/* To read a large prefix anew takes from others too; not to wait too long counts for more. */
static bool stays(ap_fleet_t *f, const ap_dispatch_t *work, double enough, const candidate_t *here,
		  const ap_remote_candidate_t *away)
{
	uint32_t shared = ap_dispatch_prefix_tokens(work);
	double reread = 0;

	if (here->cached < shared && away->cached >= shared && away->wait < enough)
		reread = REREAD_WEIGHT * (ap_prefill_us(f, work, here->cached) -
					  ap_prefill_us(f, work, away->cached));
	return here->wait + reread <= away->wait + REMOTE_MARGIN_US;
}

ap_fleet_status_t ap_fleet_choose(ap_fleet_t *f, const ap_dispatch_t *work, ap_usec_t now,
				  ap_target_t *target)
{
	double enough = STAY_SHARE * (double)work->route->objective;
	candidate_t here = {0};
	ap_remote_candidate_t away = {0};
	bool is_here = best_here(f, work, now, &here);
	bool is_away = false;
	ap_pool_state_t *p = ap_pool_state(f, work->pool->name);
	const char *prefix_region = work->stay ? NULL : ap_prefix_region(f, work, now);

	if (p)
		p->warmup = work->pool->warmup;
	if (!work->stay && (!is_here || here.wait > enough ||
			    (prefix_region && here.cached < ap_dispatch_prefix_tokens(work))))
		is_away = ap_best_remote(f, work, prefix_region, now, &away);
	if (!is_here && !is_away)
		return AP_FLEET_NONE;
	if (is_here && (!is_away || stays(f, work, enough, &here, &away)))
		fill_here(&here, now, target);
	else
		ap_fill_remote_target(&away, target);
	return is_late(work, (double)target->queue, now) ? AP_FLEET_LATE : AP_FLEET_OK;
}
