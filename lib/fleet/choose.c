/*
 * Chooses an upstream of the own region by expected wait and cached prefix, or a remote region if
 * that is better for the caller and the route allows the region.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

/* Costs are in microseconds and are added to an upstream's expected wait. */
#define BATCH_US_PER_TOKEN 150.0 /* slowdown of each token by one more request in the batch */
/*
 * Factor on the time to process a prefix again, so that an upstream without the prefix is chosen
 * only if no upstream that has it cached has a free slot.
 */
#define RECOMPUTE_WEIGHT 16.0
/*
 * Above all other costs: the upstream would respond too late, or it lacks the prefix and more than
 * half of its slots are in use.
 */
#define LATE_COST_US 60000000.0
/*
 * The request failed at this upstream before. The cost is not part of the wait that is compared
 * with remote regions: a retry prefers another local upstream, but is not forwarded because of the
 * cost.
 */
#define TRIED_COST_US 60000.0
#define FAILURE_COST_US 400000.0 /* at failure rate 1; a failed request is retried, if allowed */
/* From this failure rate on, a cached prefix is useless: it costs as much as a missing one. */
#define FAILURE_RATE_USELESS 0.33
#define SHARED_TOKENS_MIN 256 /* shorter prefixes do not influence the choice */
#define ASSIGNED_MAX 2	      /* upstreams to which a prefix is assigned by hash */
#define HOLDERS_MAX 2	      /* upstreams compared of those that have the prefix cached */
#define SILENT_MIN 2	      /* upstreams, so that it is not one of them that has failed */
#define SAMPLE_MIN 2	      /* others compared, at least; see consider_sample() */
#define CANDIDATES_MAX 1024
#define JITTER_US 2000.0  /* waits that differ by less are treated as equal */
#define KV_FULL_SHARE 0.9 /* share of the KV cache above which engines preempt requests */
#define FETCH_WEIGHT 1.0  /* of a transfer's time, beside the wait for it: it delays others */
#define KV_FULL_COST_US 1500000.0
/* Time lost by refusals from which on remote regions are considered: what forwarding takes. */
#define REFUSALS_MAX_US 150000.0
#define LOCAL_WAIT_SHARE 0.7 /* of the objective; for shorter waits, forwarding is not worth it */
#define QUEUE_SHARE 0.7	     /* of the objective, for other requests; the rest is for this one */

static bool has_name(const char (*names)[AP_NAME_MAX], size_t n, const char *id)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(names[i], id) == 0)
			return true;
	}
	return false;
}

bool ap_dispatch_tried(const ap_dispatch_t *req, const char *id)
{
	return has_name(req->tried, req->n_tried, id);
}

bool ap_dispatch_avoids(const ap_dispatch_t *req, const char *id)
{
	return has_name(req->avoid, req->n_avoid, id);
}

uint64_t ap_dispatch_prefix_key(const ap_dispatch_t *req)
{
	uint64_t key = 0;

	for (size_t i = 0; i + 1 < req->n_parts; i++)
		key = ap_hash(&req->parts[i].id, sizeof(req->parts[i].id), key);
	return key;
}

uint32_t ap_dispatch_prefix_tokens(const ap_dispatch_t *req)
{
	uint32_t tokens = 0;

	for (size_t i = 0; i + 1 < req->n_parts; i++)
		tokens += req->parts[i].tokens;
	return tokens < req->tokens_in ? tokens : req->tokens_in;
}

typedef struct candidate {
	ap_replica_t *replica;
	uint32_t kept;	 /* tokens of the prompt */
	uint32_t cached; /* likewise, after @fetch */
	ap_fetch_t fetch;
	double wait;
	double queue; /* part of the wait that is spent on other requests */
	double score;
} candidate_t;

bool ap_replica_serves(const ap_fleet_t *f, const ap_replica_t *r, const char *region,
		       const ap_dispatch_t *req, ap_usec_t now)
{
	bool there = region == f->config.region ? r->own_region : strcmp(r->region, region) == 0;

	return there && strcmp(r->entry.pool, req->pool->name) == 0 &&
	       (req->build == 0 || r->build == req->build) && ap_weights_allow(r, req) &&
	       ap_replica_usable(f, r, now);
}

static bool eligible(ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req, ap_usec_t now)
{
	return ap_replica_serves(f, r, f->config.region, req, now) &&
	       !ap_dispatch_avoids(req, r->entry.id) &&
	       !ap_is_silent(ap_replica_own_running(r), r->heard_at, req) &&
	       (!ap_replica_cold(f, r, req->pool->warmup, now) || req->pool->warmup_rate <= 0 ||
		ap_cold_allows(f, r, req->pool, now)) &&
	       (!ap_replica_limited(f, r, now) || ap_limit_allows(f, r, now)) &&
	       ap_brittle_allows(f, r, req, now) && ap_backoff_allows(f, r, now);
}

/* Upstreams of the own region that may get the request. */
typedef struct candidates {
	ap_replica_t *v[CANDIDATES_MAX];
	size_t n;
	ap_replica_t *assigned[ASSIGNED_MAX];
} candidates_t;

/*
 * Finds the upstreams with the highest rendezvous hashes for this prefix, which are the same for
 * every instance.
 */
static void find_assigned(const ap_dispatch_t *req, candidates_t *all)
{
	uint64_t key = ap_dispatch_prefix_key(req);
	double best[ASSIGNED_MAX] = {0};

	for (size_t i = 0; i < all->n; i++) {
		double score = ap_rendezvous(key, all->v[i]->tag, 1);

		if (score > best[0]) {
			best[1] = best[0];
			all->assigned[1] = all->assigned[0];
			best[0] = score;
			all->assigned[0] = all->v[i];
		} else if (score > best[1]) {
			best[1] = score;
			all->assigned[1] = all->v[i];
		}
	}
}

double ap_prefill_us(ap_fleet_t *f, const ap_dispatch_t *req, uint32_t cached)
{
	const ap_pool_state_t *p = ap_pool_state(f, req->pool->name);

	return p && req->pool->kv_tokens ? (req->tokens_in - cached) / p->prefill_per_us : 0;
}

/*
 * Considers the wait for other requests only. If the request's own time counted, an estimate of it
 * that is too high would stop all requests, and could then not be corrected by their responses.
 */
static bool too_late(const ap_fleet_t *f, const ap_dispatch_t *req, double queue, ap_usec_t now)
{
	return queue > (double)(req->deadline - now) ||
	       (!req->begun && queue > f->patience * QUEUE_SHARE * (double)req->route->objective);
}

/* Cost of processing a large prefix again, or of relying on an upstream that has it but fails. */
static double prefix_cost(const ap_pool_state_t *p, uint32_t shared, uint32_t cached,
			  bool recompute, double failure_rate)
{
	double lost =
		recompute ? shared - cached : fmin(failure_rate / FAILURE_RATE_USELESS, 1) * shared;

	return p && shared >= SHARED_TOKENS_MIN ? RECOMPUTE_WEIGHT * lost / p->prefill_per_us : 0;
}

/*
 * Scores an upstream, lower is better. @first_holder: no upstream has the prefix cached, and this
 * one is chosen by hash to process it.
 */
static void score(ap_fleet_t *f, const ap_dispatch_t *req, bool first_holder, ap_usec_t now,
		  candidate_t *c)
{
	ap_replica_t *r = c->replica;
	const ap_pool_state_t *p = ap_pool_state(f, req->pool->name);
	uint32_t shared = ap_dispatch_prefix_tokens(req);
	double failure_rate = ap_replica_failure_rate(r, now);
	uint32_t slots = ap_replica_slots(r, req->pool);
	bool recompute;

	c->kept = ap_prefix_cache_match(f, &r->cache, req);
	c->fetch = ap_fetch_for(f, req, &f->sources, r, c->kept, now);
	c->cached = c->fetch.source ? c->fetch.tokens : c->kept;
	recompute = req->pool->kv_tokens > 0 && !first_holder && shared >= SHARED_TOKENS_MIN &&
		    c->cached < shared;
	c->wait = ap_replica_wait_us(f, r, req, req->tokens_in - c->cached) + c->fetch.time;
	c->queue = c->wait - c->fetch.time - ap_dispatch_service_us(f, req, c->cached);
	c->wait *= ap_replica_slowdown(r, now);
	c->score = c->wait * (1 + failure_rate) + failure_rate * FAILURE_COST_US +
		   ap_rng_unit(&f->rng) * JITTER_US;
	if (req->pool->kv_tokens) {
		double kv = (double)(r->own.kv + r->others.kv) / req->pool->kv_tokens;

		c->score += ap_replica_running(r) * (req->tokens_out + 1) * BATCH_US_PER_TOKEN;
		c->score += prefix_cost(p, shared, c->cached, recompute, failure_rate);
		c->score += FETCH_WEIGHT * c->fetch.time;
		if (kv > KV_FULL_SHARE)
			c->score += (kv - KV_FULL_SHARE) * KV_FULL_COST_US;
	}
	if (ap_dispatch_tried(req, r->entry.id))
		c->score += TRIED_COST_US;
	if (too_late(f, req, c->queue, now) || (recompute && 2 * ap_replica_running(r) > slots))
		c->score += LATE_COST_US;
}

/* Who sends the request to an upstream of the own region. */
typedef enum sender {
	SENDER_SELF,
	SENDER_PEER,	    /* another instance of the region, over its own paths */
	SENDER_LAST_CHOICE, /* this instance, over a lost path */
} sender_t;

static bool eligible_for(ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req, sender_t sender,
			 ap_usec_t now)
{
	switch (sender) {
	case SENDER_SELF:
		return r->path_lost_at == 0 && eligible(f, r, req, now);
	case SENDER_PEER:
		return ap_replica_serves(f, r, f->config.region, req, now) &&
		       !ap_replica_cold(f, r, req->pool->warmup, now) &&
		       !ap_replica_limited(f, r, now);
	case SENDER_LAST_CHOICE:
		break;
	}
	return eligible(f, r, req, now);
}

/* Upstreams that are healthy go first, then those that are known to have the weights. */
static unsigned rank_of(const ap_replica_t *r, const ap_dispatch_t *req, ap_usec_t now)
{
	bool known =
		req->weights == AP_WEIGHTS_ANY || ap_replica_weights(r, req->model) == req->weights;

	return 1 + 2 * ap_replica_healthy(r, now) + known;
}

/*
 * Collects the eligible upstreams of the highest rank that any of them has. Also stores the pool's
 * KV cache size in each of them.
 */
static void collect(ap_fleet_t *f, const ap_dispatch_t *req, sender_t sender, ap_usec_t now,
		    candidates_t *all)
{
	unsigned highest = 0;

	all->n = 0;
	for (ap_replica_t *r = f->replicas; r && all->n < CANDIDATES_MAX; r = r->hh.next) {
		unsigned rank;

		if (!eligible_for(f, r, req, sender, now))
			continue;
		r->kv_tokens = req->pool->kv_tokens;
		rank = rank_of(r, req, now);
		if (rank > highest) {
			highest = rank;
			all->n = 0;
		}
		if (rank == highest)
			all->v[all->n++] = r;
	}
}

static void consider(ap_fleet_t *f, const ap_dispatch_t *req, ap_replica_t *r, bool first_holder,
		     ap_usec_t now, candidate_t *best)
{
	candidate_t c = {.replica = r};

	score(f, req, first_holder, now, &c);
	if (!best->replica || c.score < best->score)
		*best = c;
}

/*
 * Compares a random sample: this instance's share of the upstreams, at least SAMPLE_MIN. The load
 * announced by other instances is some tenths of a second old, so that all instances would choose
 * the same upstream at once if each compared all of them.
 */
static void consider_sample(ap_fleet_t *f, const ap_dispatch_t *req, candidates_t *all,
			    ap_usec_t now, candidate_t *best)
{
	size_t instances = ap_fleet_count_members(f, f->config.region);
	size_t n_sample = instances > 0 ? (all->n + instances - 1) / instances : all->n;

	if (n_sample < SAMPLE_MIN)
		n_sample = SAMPLE_MIN;
	for (size_t i = 0; i < n_sample && i < all->n; i++) {
		size_t k = i + ap_rng_below(&f->rng, all->n - i);
		ap_replica_t *r = all->v[k];

		all->v[k] = all->v[i];
		all->v[i] = r;
		consider(f, req, r, false, now, best);
	}
}

/*
 * Compares a few random upstreams that have the prefix cached; random for the same reason as in
 * consider_sample(). Returns how many upstreams have the prefix cached.
 */
static size_t consider_holders(ap_fleet_t *f, const ap_dispatch_t *req, const candidates_t *all,
			       ap_usec_t now, candidate_t *best)
{
	uint32_t shared = ap_dispatch_prefix_tokens(req);
	ap_replica_t *holders[HOLDERS_MAX];
	size_t n = 0;

	for (size_t i = 0; i < all->n; i++) {
		if (ap_prefix_cache_match(f, &all->v[i]->cache, req) < shared)
			continue;
		if (n < HOLDERS_MAX) {
			holders[n] = all->v[i];
		} else {
			size_t k = ap_rng_below(&f->rng, n + 1);

			if (k < HOLDERS_MAX)
				holders[k] = all->v[i];
		}
		n++;
	}
	for (size_t i = 0; i < n && i < HOLDERS_MAX; i++)
		consider(f, req, holders[i], false, now, best);
	return n;
}

static bool best_local(ap_fleet_t *f, const ap_dispatch_t *req, sender_t sender, ap_usec_t now,
		       candidate_t *best)
{
	uint32_t shared = ap_dispatch_prefix_tokens(req);
	candidates_t all = {0};

	if (!ap_dispatch_allows_region(req, f->config.region))
		return false;
	collect(f, req, sender, now, &all);
	ap_fetch_find(f, req, now, &f->sources);
	if (shared >= SHARED_TOKENS_MIN && req->pool->kv_tokens) {
		size_t holders = consider_holders(f, req, &all, now, best);

		find_assigned(req, &all);
		for (size_t i = 0; i < ASSIGNED_MAX && all.assigned[i]; i++)
			consider(f, req, all.assigned[i], i == 0 && holders == 0, now, best);
	}
	if (ap_room_engaged(f, req)) {
		ap_replica_t *roomy = ap_room_best(f, all.v, all.n, req, now);

		if (roomy)
			consider(f, req, roomy, false, now, best);
	}
	if (!best->replica)
		consider_sample(f, req, &all, now, best);
	return best->replica != NULL;
}

static void fill_local_target(const ap_fleet_t *f, const ap_dispatch_t *req, const candidate_t *c,
			      ap_usec_t now, ap_target_t *target)
{
	const ap_replica_t *r = c->replica;

	*target = (ap_target_t){
		.port = r->entry.port,
		.wait = (ap_usec_t)c->wait,
		.queue = (ap_usec_t)c->queue,
		.cached = c->cached,
		.build = r->build,
		.entry_age = now - r->received_at,
		.running = ap_replica_running(r),
		.cold = ap_replica_cold(f, r, req->pool->warmup, now),
	};
	ap_copy_name(target->id, sizeof(target->id), r->entry.id);
	ap_copy_name(target->host, sizeof(target->host), r->entry.host);
	ap_copy_name(target->region, sizeof(target->region), r->region);
	ap_copy_name(target->version, sizeof(target->version), r->entry.version);
	ap_fetch_fill(&c->fetch, c->kept, &target->fetch);
}

/*
 * Returns whether the local upstream is the better choice. Processing a large prefix again delays
 * other requests too and is weighted, unless the wait in the remote region would be too long. @lost
 * is the time lost by refusals here.
 */
static bool prefer_local(ap_fleet_t *f, const ap_dispatch_t *req, double wait_limit,
			 const candidate_t *local, double lost, const ap_remote_candidate_t *remote)
{
	uint32_t shared = ap_dispatch_prefix_tokens(req);
	double recompute_cost = 0;

	if (local->cached < shared && remote->cached >= shared && remote->wait < wait_limit)
		recompute_cost = RECOMPUTE_WEIGHT * (ap_prefill_us(f, req, local->cached) -
						     ap_prefill_us(f, req, remote->cached));
	return local->wait + lost + recompute_cost <= remote->wait + REMOTE_MARGIN_US;
}

static bool may_get(const void *ctx, const ap_member_t *m)
{
	const ap_dispatch_t *req = ctx;

	return !ap_dispatch_avoids(req, m->id) && ap_dispatch_allows_region(req, m->region);
}

static bool may_get_untried(const void *ctx, const ap_member_t *m)
{
	return !ap_dispatch_tried(ctx, m->id) && may_get(ctx, m);
}

/*
 * Finds an instance that lists upstreams of the build at which the stream of @req goes on, if none
 * is listed here.
 */
static bool find_lister(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now,
			ap_remote_candidate_t *lister)
{
	const ap_member_state_t *m = NULL;
	uint64_t id = ap_stream_hash(req->resumes);

	if (id != 0 && !ap_build_listed(f, req->build, req->route, req->customer)) {
		m = ap_stream_lister(f, id, req->build, may_get_untried, req, now);
		if (!m)
			m = ap_stream_lister(f, id, req->build, may_get, req, now);
	}
	if (!m)
		return false;
	*lister = (ap_remote_candidate_t){
		.member = &m->member,
		.wait = ap_dispatch_service_us(f, req, 0),
	};
	return true;
}

/* The request goes to instance @peer, which is to send it to the upstream of @target. */
static void send_by_peer(const ap_member_t *peer, ap_target_t *target)
{
	const ap_remote_candidate_t c = {
		.member = peer,
		.wait = (double)target->wait,
		.queue = (double)target->queue,
		.cached = target->cached,
	};

	ap_fill_remote_target(&c, target);
}

/*
 * Finds an upstream of this region. @peer receives the instance that is to send the request there,
 * NULL for this one.
 */
static bool find_local(ap_fleet_t *f, const ap_dispatch_t *req, bool local_only, ap_usec_t now,
		       candidate_t *local, const ap_member_t **peer)
{
	bool lost = ap_paths_lost(f, req, now);

	*peer = NULL;
	/* The instance that forwarded it can go elsewhere. */
	if (lost && req->local_only)
		return false;
	if (!lost && best_local(f, req, SENDER_SELF, now, local))
		return true;
	if (!local_only && !ap_backoff_region(f, f->config.region, req->pool->name, now))
		*peer = lost ? ap_pick_member(f, f->config.region, req, now)
			     : ap_brittle_peer(f, req, now);
	if (*peer && best_local(f, req, SENDER_PEER, now, local))
		return true;
	*peer = NULL;
	return lost && best_local(f, req, SENDER_SELF, now, local);
}

/*
 * Where instances share a pool, its queues are bounded by their parts. The share of the objective
 * counts only for customers who use more than theirs: the estimate of a queue is too high for
 * seconds after a change, and would refuse requests while slots are free.
 */
static bool late_in_part(const ap_fleet_t *f, const ap_dispatch_t *req, double queue, ap_usec_t now)
{
	return queue > (double)(req->deadline - now) ||
	       (f->patience < 1 && too_late(f, req, queue, now));
}

static ap_fleet_status_t choose(ap_fleet_t *f, const ap_dispatch_t *req, bool local_only,
				ap_usec_t now, ap_target_t *target)
{
	double wait_limit = LOCAL_WAIT_SHARE * (double)req->route->objective;
	candidate_t local = {0};
	ap_remote_candidate_t remote = {0};
	const ap_member_t *peer;
	double lost = 0; /* by refusals */
	bool found_local = find_local(f, req, local_only, now, &local, &peer);
	bool found_remote = false;
	bool engaged = ap_room_engaged(f, req);
	bool full;
	ap_pool_state_t *p = ap_pool_state(f, req->pool->name);
	const char *prefix_region = local_only ? NULL : ap_prefix_region(f, req, now);

	if (p)
		p->warmup = req->pool->warmup;
	/* A large prefix isn't processed again elsewhere for a refusal. */
	if (p && found_local && ap_dispatch_prefix_tokens(req) < SHARED_TOKENS_MIN && !engaged)
		lost = ap_refusals_us(&p->refusals, req, now);
	if (engaged && found_local && !peer) {
		full = !ap_room_allows(f, local.replica, req, now) ||
		       late_in_part(f, req, local.queue, now);
		if (full && !local_only && ap_best_remote(f, req, NULL, now, &remote) &&
		    ap_rng_unit(&f->rng) < ap_room_spill(f, &remote, req, now)) {
			ap_fill_remote_target(&remote, target);
			f->room_forwarded++;
			return AP_FLEET_OK;
		}
		fill_local_target(f, req, &local, now, target);
		if (full)
			target->retry_after = ap_room_retry_after(f, local.replica, req, now);
		return full ? AP_FLEET_LATE : AP_FLEET_OK;
	}
	if (!local_only && (!found_local || local.wait > wait_limit || lost > REFUSALS_MAX_US ||
			    (prefix_region && local.cached < ap_dispatch_prefix_tokens(req))))
		found_remote = ap_best_remote(f, req, prefix_region, now, &remote);
	/* A path that is lost is tried once if nobody else can serve the request. */
	if (!found_local && !found_remote && !req->local_only && req->unreachable == 0)
		found_local = best_local(f, req, SENDER_LAST_CHOICE, now, &local);
	if (!found_local && !found_remote)
		found_remote = !local_only && find_lister(f, req, now, &remote);
	if (!found_local && !found_remote)
		return AP_FLEET_NONE;
	if (found_local &&
	    (!found_remote || prefer_local(f, req, wait_limit, &local, lost, &remote)))
		fill_local_target(f, req, &local, now, target);
	else
		ap_fill_remote_target(&remote, target);
	if (!target->remote && peer)
		send_by_peer(peer, target);
	return too_late(f, req, (double)target->queue, now) ? AP_FLEET_LATE : AP_FLEET_OK;
}

/* Returns whether the pool's upstreams in this region are silent, as far as they have requests. */
static bool pool_is_silent(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	unsigned silent = 0;

	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!ap_replica_serves(f, r, f->config.region, req, now))
			continue;
		if (r->heard_at >= req->heard_since)
			return false;
		silent += ap_replica_own_running(r) > 0;
	}
	return silent >= SILENT_MIN;
}

/*
 * Chooses another target for a request whose target is silent: one that has responded since, or
 * else one of which nothing is known, unless it is the pool that seems to be silent.
 */
static ap_fleet_status_t choose_other(ap_fleet_t *f, const ap_dispatch_t *req, bool local_only,
				      ap_usec_t now, ap_target_t *target)
{
	ap_dispatch_t heard = *req;
	ap_fleet_status_t status;

	heard.heard_only = true;
	status = choose(f, &heard, local_only, now, target);
	if (status == AP_FLEET_OK || pool_is_silent(f, req, now))
		return status;
	return choose(f, req, local_only, now, target);
}

ap_fleet_status_t ap_fleet_choose(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now,
				  ap_target_t *target)
{
	ap_fleet_status_t status;
	bool local_only;
	ap_usec_t wait;
	ap_usec_t until;
	ap_hold_t hold;

	ap_notice_freeze(f, now);
	f->patience = ap_usage_patience(f, req, now);
	ap_room_asked(f, req, now);
	hold = ap_request_hold(f, req, now, &until);
	if (hold == AP_HOLD_WAIT) {
		*target = (ap_target_t){.wait = until - now};
		return AP_FLEET_HELD;
	}
	/* It is this instance's turn to make a trial, so a remote instance would refuse it. */
	local_only = req->local_only || hold == AP_HOLD_TRIAL;
	status = req->heard_since > 0 ? choose_other(f, req, local_only, now, target)
				      : choose(f, req, local_only, now, target);
	if (status == AP_FLEET_OK || !ap_backoff_all(f, req, now, &wait) ||
	    (status == AP_FLEET_LATE && target->wait < wait))
		return status;
	*target = (ap_target_t){.wait = wait};
	return AP_FLEET_BACKOFF;
}
