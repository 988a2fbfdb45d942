/*
 * Choice of an upstream: the least expected cost over a few candidates, those that probably hold
 * the prompt's prefix and some at random.
 */
#include "route/state.h"

#include <math.h>
#include <string.h>

#define CANDIDATES_MAX 32
#define SMALL_SET 8 /* sets up to this size are weighed whole */
#define RANDOM_PICKS 2
#define AFFINE_PICKS 2
#define AFFINE_LOOK 8	       /* places of the rendezvous order that bounded load may skip */
#define AFFINE_BLOCKS 4	       /* leading blocks that decide where a new prefix goes */
#define LOAD_BOUND 1.25	       /* of the mean load: an affine upstream above it is skipped */
#define LOAD_SLACK 1.0	       /* requests above the bound that are always allowed */
#define LATE_FACTOR 4.0	       /* weight of a microsecond past the deadline */
#define UTILISATION_US 20000.0 /* cost of a full batch: spreads work while nothing waits */
#define TOKENS_PER_BLOCK 128

bool ap_route_allowed(const ap_node_t *node, const ap_request_t *req, ap_usec_t now)
{
	if (ap_node_leaving(node, now) || node->index == AP_NODE_ABSENT)
		return false;
	for (size_t i = 0; i < req->n_tried; i++)
		if (req->tried[i] && strcmp(req->tried[i], node->id) == 0)
			return false;
	return true;
}

static bool holds(const ap_holder_t *holder, const ap_node_t *node)
{
	if (holder->slot != node->slot || holder->epoch != node->epoch)
		return false;
	return node->capacity == 0 || node->stored - holder->stamp <= node->capacity;
}

/* The number of leading blocks of @req that @node probably holds. */
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

static double queue_wait(const ap_route_t *r, const ap_request_t *req, const ap_node_t *node,
			 double service_us, ap_usec_t now)
{
	double load = ap_node_load(node, now);
	double ahead = load + 1 - node->batch;
	double share = 0;

	if (ahead <= 0)
		return 0;
	for (int c = 0; c <= (int)req->cls && c < AP_CLASS_COUNT; c++)
		share += r->class_share[c];
	return (1 + (ahead - 1) * fmin(share, 1)) * service_us / node->batch;
}

static ap_score_t weigh(ap_route_t *r, const ap_request_t *req, const ap_set_t *set,
			ap_node_t *node, ap_usec_t now)
{
	ap_model_state_t *state =
		ap_route_model(r, set->model ? set->model->name : req->service->name);
	double prefill_us = set->model ? set->model->prefill_us : 0;
	double service_us = state ? state->service_us : 0;
	double left = (double)(req->deadline - now);
	ap_score_t score = {.node = node};
	double cached;
	double compute;

	score.depth = cached_depth(r, req, node);
	cached = fmin((double)score.depth * TOKENS_PER_BLOCK, req->tokens_in) * node->trust;
	score.cached = (uint32_t)cached;
	compute = (req->tokens_in - cached) * prefill_us;
	score.wait =
		(queue_wait(r, req, node, service_us, now) + compute) * ap_node_slowness(node, now);
	if (!node->same_centre)
		score.wait += AP_NETWORK_NEAR;
	score.cost = ap_price(node->pool, req->tokens_in, score.cached, req->tokens_out);
	score.total = score.wait + score.cost * req->service->price_weight +
		      UTILISATION_US * ap_node_load(node, now) / node->batch;
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

static void add_holders(const ap_route_t *r, const ap_request_t *req, ap_shortlist_t *list)
{
	const ap_holder_t *holder = NULL;

	for (size_t depth = req->n_blocks; depth > 0 && !holder; depth--)
		holder = ap_prefix_find(r->prefixes, req->blocks[depth - 1]);
	for (int i = 0; holder && i < AP_PREFIX_HOLDERS; i++) {
		ap_node_t *node = holder[i].slot < r->n_slots ? r->slots[holder[i].slot] : NULL;

		if (holder[i].epoch != 0 && node && holds(&holder[i], node))
			shortlist_add(list, node);
	}
}

static bool within_bound(const ap_node_t *node, ap_usec_t now)
{
	double mean;

	if (!node->group || node->group->batch <= 0)
		return true;
	mean = node->group->load / node->group->batch * node->batch;
	return ap_node_load(node, now) <= mean * LOAD_BOUND + LOAD_SLACK;
}

typedef struct ap_affine {
	ap_node_t *node;
	double score;
} ap_affine_t;

/* The first places of the rendezvous order of a prefix, skipping upstreams above the load bound. */
static void add_affine(const ap_request_t *req, const ap_set_t *set, ap_shortlist_t *list,
		       ap_usec_t now)
{
	ap_affine_t best[AFFINE_LOOK];
	size_t n = 0;
	size_t taken = 0;
	size_t deciding = req->n_blocks < AFFINE_BLOCKS ? req->n_blocks : AFFINE_BLOCKS;

	if (deciding == 0)
		return;
	for (size_t i = 0; i < set->n; i++) {
		ap_node_t *node = set->nodes[i];
		double score = ap_rendezvous(req->blocks[deciding - 1], node->key, node->batch);
		size_t place;

		if (n == AFFINE_LOOK && score <= best[n - 1].score)
			continue;
		place = n < AFFINE_LOOK ? n++ : n - 1;
		for (; place > 0 && best[place - 1].score < score; place--)
			best[place] = best[place - 1];
		best[place] = (ap_affine_t){.node = node, .score = score};
	}
	for (size_t i = 0; i < n && taken < AFFINE_PICKS; i++) {
		if (!within_bound(best[i].node, now))
			continue;
		shortlist_add(list, best[i].node);
		taken++;
	}
}

static void add_random(ap_route_t *r, const ap_set_t *set, ap_shortlist_t *list)
{
	for (int i = 0; i < RANDOM_PICKS; i++)
		shortlist_add(list, set->nodes[ap_rng_below(&r->rng, set->n)]);
}

/* Weighs the shortlist. @strict: only upstreams that are healthy and below their limit. */
static bool best_of(ap_route_t *r, const ap_request_t *req, const ap_set_t *set,
		    const ap_shortlist_t *list, bool strict, ap_usec_t now, ap_score_t *best)
{
	bool found = false;

	for (size_t i = 0; i < list->n; i++) {
		ap_node_t *node = list->nodes[i];
		ap_score_t score;

		if (!ap_route_allowed(node, req, now))
			continue;
		if (strict && !ap_health_allows(node, req->cls, ap_rng_unit(&r->rng), now))
			continue;
		score = weigh(r, req, set, node, now);
		if (found && score.total >= best->total)
			continue;
		*best = score;
		found = true;
	}
	return found;
}

static void add_all(const ap_set_t *set, size_t from, ap_shortlist_t *list)
{
	list->n = 0;
	for (size_t i = from; i < set->n && list->n < CANDIDATES_MAX; i++)
		list->nodes[list->n++] = set->nodes[i];
}

/* Weighs every upstream of the set: for when the shortlist had none that may be used. */
static bool best_of_all(ap_route_t *r, const ap_request_t *req, const ap_set_t *set, bool strict,
			ap_usec_t now, ap_score_t *best)
{
	ap_shortlist_t list;
	ap_score_t part;
	bool found = false;

	for (size_t from = 0; from < set->n; from += CANDIDATES_MAX) {
		add_all(set, from, &list);
		if (!best_of(r, req, set, &list, strict, now, &part))
			continue;
		if (!found || part.total < best->total)
			*best = part;
		found = true;
	}
	return found;
}

bool ap_route_pick(ap_route_t *r, const ap_request_t *req, const ap_set_t *set, ap_usec_t now,
		   ap_score_t *best)
{
	ap_shortlist_t list = {.n = 0};

	if (set->n == 0)
		return false;
	if (set->n > SMALL_SET) {
		add_holders(r, req, &list);
		add_affine(req, set, &list, now);
		add_random(r, set, &list);
		if (best_of(r, req, set, &list, true, now, best))
			return true;
	}
	return best_of_all(r, req, set, true, now, best) ||
	       best_of_all(r, req, set, false, now, best);
}
