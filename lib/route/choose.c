/*
 * Chooses an upstream. Scores a shortlist of candidates, those that probably cache the prompt's
 * prefix and some at random, by expected wait, price and risk, and takes the lowest score.
 */
#include "route/state.h"

#include <math.h>
#include <string.h>

#define CANDIDATES_MAX 32
#define SMALL_SET 8 /* sets up to this size are scored in full */
#define RANDOM_PICKS 4
#define RESERVATION_PICKS 8 /* random picks for reservations, while reports are fresh */
#define AFFINITY_PICKS 2
#define AFFINITY_RANKS 8   /* upstreams of the rendezvous order that are considered */
#define AFFINITY_BLOCKS 4  /* leading blocks that determine the rendezvous order */
#define LOAD_BOUND 1.25	   /* multiple of the mean load above which an affinity pick is skipped */
#define LOAD_SLACK 1.0	   /* requests by which the load may always exceed the bound */
#define SLOTS_RESERVED 0.5 /* batch slots assumed to be kept free for each higher class */
#define LATE_FACTOR 4.0	   /* score per microsecond past the deadline */
#define UTILISATION_US 20000.0 /* microseconds of score for a full batch */
#define FAILURE_US 4e6	       /* microseconds lost by a failed attempt, besides its price */
#define TOKENS_PER_BLOCK 128   /* AP_PREFIX_BLOCK_BYTES at 4 bytes per token */
#define INV_SQRT_2PI 0.39894228040143268

bool ap_route_allowed(const ap_node_t *node, const ap_request_t *req, ap_usec_t now)
{
	if (ap_node_draining(node, now) || node->index == AP_NODE_ABSENT ||
	    now < node->paused_until)
		return false;
	for (size_t i = 0; i < req->n_tried; i++)
		if (req->tried[i] && strcmp(req->tried[i], node->id) == 0)
			return false;
	return true;
}

/* Is the holder @node, and has its cache probably not evicted the block since? */
static bool holds(const ap_holder_t *holder, const ap_node_t *node)
{
	if (holder->slot != node->slot || holder->epoch != node->epoch)
		return false;
	return node->capacity == 0 || node->stored - holder->stamp <= node->capacity;
}

/* The number of leading blocks of @req that @node probably caches: a binary search. */
static size_t cached_depth(const ap_route_t *r, const ap_request_t *req, const ap_node_t *node)
{
	size_t low = 0;
	size_t high = req->n_blocks;

	while (low < high) {
		size_t mid = (low + high + 1) / 2;
		const ap_holder_t *holder = ap_prefix_find(r->prefixes, req->blocks[mid - 1]);
		bool found = false;

		for (int i = 0; holder && i < AP_PREFIX_HOLDERS && !found; i++)
			found = holds(&holder[i], node);
		if (found)
			low = mid;
		else
			high = mid - 1;
	}
	return low;
}

/* Expected value of max(X, 0) for a normal variable X. */
static double positive_part(double mean, double sd)
{
	double z = mean / sd;

	return mean * 0.5 * erfc(-z * M_SQRT1_2) + sd * exp(-z * z / 2) * INV_SQRT_2PI;
}

/*
 * Expected microseconds until a slot is free: the time for a first request to end if the batch is
 * full, plus that for the queued requests of this and higher classes, which the engine serves
 * first. Classes are numbered from the most urgent.
 */
static double queue_wait(const ap_route_t *r, const ap_request_t *req, const ap_node_t *node,
			 const ap_load_t *load, double service_us)
{
	double reserved = req->cls * SLOTS_RESERVED;
	double over = load->mean + 1 - node->batch + reserved;
	double full = 0.5 * erfc(-(over - 0.5) / load->sd * M_SQRT1_2);
	double ahead = positive_part(over - 1, load->sd);
	double share = 0;

	for (int c = 0; c <= (int)req->cls && c < AP_CLASS_COUNT; c++)
		share += r->class_share[c];
	return (full + ahead * fmin(share, 1)) * service_us / node->batch;
}

/*
 * A random sample of the estimated load. Without it, entries that choose at the same moment by the
 * same report would all choose the same upstream.
 */
static double sampled_load(ap_route_t *r, const ap_load_t *load)
{
	double normal =
		(ap_rng_unit(&r->rng) + ap_rng_unit(&r->rng) + ap_rng_unit(&r->rng) - 1.5) * 2;

	return fmax(load->mean + load->sd * normal, 0);
}

static ap_score_t score_node(ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
			     ap_node_t *node, ap_usec_t now)
{
	double prefill_us = set->model ? set->model->prefill_us : 0;
	double service_us = set->state->service_us;
	double left = (double)(req->deadline - now);
	ap_load_t load = ap_node_load(node, service_us, now);
	ap_score_t score = {.node = node};
	double cached;
	double compute;

	score.depth = cached_depth(r, req, node);
	cached = fmin((double)score.depth * TOKENS_PER_BLOCK, req->tokens_in) * node->cache_trust;
	score.cached = (uint32_t)cached;
	compute = (req->tokens_in - cached) * prefill_us;
	score.wait = (queue_wait(r, req, node, &load, service_us) + compute) *
		     ap_node_slowness(node, now);
	if (!node->same_data_centre)
		score.wait += AP_DATA_CENTRE_DELAY;
	score.price = ap_price(node->pool, req->tokens_in, score.cached, req->tokens_out);
	score.total = score.wait + score.price * req->service->price_weight +
		      UTILISATION_US * sampled_load(r, &load) / node->batch;
	score.total += ap_health_failure_rate(node, now) *
		       (FAILURE_US + score.price * req->service->price_weight);
	if (score.wait > left)
		score.total += (score.wait - left) * LATE_FACTOR;
	return score;
}

typedef struct ap_shortlist {
	ap_node_t *nodes[CANDIDATES_MAX];
	size_t n;
} ap_shortlist_t;

static void shortlist_add(ap_shortlist_t *list, ap_node_t *node)
{
	for (size_t i = 0; i < list->n; i++)
		if (list->nodes[i] == node)
			return;
	if (list->n < CANDIDATES_MAX)
		list->nodes[list->n++] = node;
}

/* Adds the upstreams that hold the longest known part of the prefix. */
static void add_holders(const ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
			ap_shortlist_t *list)
{
	const ap_holder_t *holder = NULL;

	for (size_t depth = req->n_blocks; depth > 0 && !holder; depth--)
		holder = ap_prefix_find(r->prefixes, req->blocks[depth - 1]);
	for (int i = 0; holder && i < AP_PREFIX_HOLDERS; i++) {
		uint16_t slot = holder[i].slot;

		if (holder[i].epoch == 0 || slot >= set->n_member || !set->is_member[slot])
			continue;
		if (holds(&holder[i], r->slots[slot]))
			shortlist_add(list, r->slots[slot]);
	}
}

/* Is the load of @node within the bound that affinity picks must keep? */
static bool within_bound(const ap_node_t *node, double service_us, ap_usec_t now)
{
	double mean;

	if (!node->group || node->group->batch <= 0)
		return true;
	mean = node->group->mean_load * node->batch;
	return ap_node_load(node, service_us, now).mean <= mean * LOAD_BOUND + LOAD_SLACK;
}

bool ap_route_prefix_key(const ap_request_t *req, uint64_t *prefix)
{
	size_t deciding = req->n_blocks < AFFINITY_BLOCKS ? req->n_blocks : AFFINITY_BLOCKS;

	if (deciding == 0)
		return false;
	*prefix = req->blocks[deciding - 1];
	return true;
}

typedef struct ap_ranked_node {
	ap_node_t *node;
	double score;
} ap_ranked_node_t;

/* Adds the first upstreams in the prefix's rendezvous order, except those above the load bound. */
static void add_affinity_picks(const ap_request_t *req, const ap_candidate_set_t *set,
			       double service_us, ap_shortlist_t *list, ap_usec_t now)
{
	ap_ranked_node_t best[AFFINITY_RANKS];
	size_t n = 0;
	size_t taken = 0;
	uint64_t prefix;

	if (!ap_route_prefix_key(req, &prefix))
		return;
	for (size_t i = 0; i < set->n; i++) {
		ap_node_t *node = set->nodes[i];
		double score = ap_rendezvous(prefix, node->key, node->batch);
		size_t place;

		if (n == AFFINITY_RANKS && score <= best[n - 1].score)
			continue;
		place = n < AFFINITY_RANKS ? n++ : n - 1;
		for (; place > 0 && best[place - 1].score < score; place--)
			best[place] = best[place - 1];
		best[place] = (ap_ranked_node_t){.node = node, .score = score};
	}
	for (size_t i = 0; i < n && taken < AFFINITY_PICKS; i++) {
		if (!within_bound(best[i].node, service_us, now))
			continue;
		shortlist_add(list, best[i].node);
		taken++;
	}
}

/*
 * Adds random picks. Those beyond RANDOM_PICKS need fresh reports: with old reports, all entries
 * would see the same upstream as idle.
 */
static void add_random(ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
		       ap_shortlist_t *list, ap_usec_t now)
{
	int picks = req->cls == AP_CLASS_RESERVATION ? RESERVATION_PICKS : RANDOM_PICKS;

	for (int i = 0; i < picks; i++) {
		ap_node_t *node = set->nodes[ap_rng_below(&r->rng, set->n)];

		if (i < RANDOM_PICKS || ap_node_fresh(node, set->state->service_us, now))
			shortlist_add(list, node);
	}
}

/* A response that has begun goes on only at an upstream known to have the same version. */
static bool same_version(const ap_route_t *r, const ap_request_t *req,
			 const ap_candidate_set_t *set, const ap_node_t *node)
{
	return req->version == 0 || !set->model ||
	       ap_route_node_version(r, node, req, set->model->name) == req->version;
}

/* Finds the best upstream of the shortlist. @strict: only those that their health allows. */
static bool best_of(ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
		    const ap_shortlist_t *list, bool strict, ap_usec_t now, ap_score_t *best)
{
	bool found = false;

	for (size_t i = 0; i < list->n; i++) {
		ap_node_t *node = list->nodes[i];
		ap_score_t score;

		if (!ap_route_allowed(node, req, now) || !same_version(r, req, set, node))
			continue;
		if (strict && !ap_health_allows(node, req->cls, ap_rng_unit(&r->rng), now))
			continue;
		score = score_node(r, req, set, node, now);
		if (found && score.total >= best->total)
			continue;
		*best = score;
		found = true;
	}
	return found;
}

static void fill_from(const ap_candidate_set_t *set, size_t from, ap_shortlist_t *list)
{
	list->n = 0;
	for (size_t i = from; i < set->n && list->n < CANDIDATES_MAX; i++)
		list->nodes[list->n++] = set->nodes[i];
}

/* Finds the best upstream of the whole set, for when no upstream of the shortlist may be used. */
static bool best_of_all(ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
			bool strict, ap_usec_t now, ap_score_t *best)
{
	ap_shortlist_t list;
	ap_score_t part;
	bool found = false;

	for (size_t from = 0; from < set->n; from += CANDIDATES_MAX) {
		fill_from(set, from, &list);
		if (!best_of(r, req, set, &list, strict, now, &part))
			continue;
		if (!found || part.total < best->total)
			*best = part;
		found = true;
	}
	return found;
}

bool ap_route_pick(ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
		   ap_usec_t now, ap_score_t *best)
{
	ap_shortlist_t list = {.n = 0};

	if (set->n == 0)
		return false;
	if (set->n > SMALL_SET) {
		add_holders(r, req, set, &list);
		add_affinity_picks(req, set, set->state->service_us, &list, now);
		add_random(r, req, set, &list, now);
		if (best_of(r, req, set, &list, true, now, best))
			return true;
	}
	return best_of_all(r, req, set, true, now, best) ||
	       best_of_all(r, req, set, false, now, best);
}
