/* The router of one entry: takes reports, makes choices and tracks attempts until they end. */
#include "route/state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE_GAIN 0.05	     /* weight of a new observation in the time in a slot */
#define CLASS_GAIN 0.01		     /* weight of a new request in the class shares */
#define PAUSE_MAX (10 * 60 * AP_SEC) /* of one refusal, which may be a mistake */
#define TOO_LATE_FACTOR 2.0 /* expected wait over time left above which a request is refused */
#define TRUST_AFTER_GAP 0.9 /* factor on the cache trust when events were lost */
#define TRUST_GAIN 0.1	    /* weight of a new observation in the cache trust */
#define OPEN_ATTEMPTS_MAX 1000000 /* attempts in progress at one entry */
#define LOAD_TARGET 0.85	  /* requests per slot above which the capacity is cut */
#define CAPACITY_CUT 2.0	  /* decay per second and unit of excess load */
#define CAPACITY_GROWTH 0.2	  /* growth per second below the target */
/* An entry may take up to this many even shares, since callers are spread unevenly. */
#define CAPACITY_FACTOR_MAX 8.0
#define CAPACITY_MIN 6		 /* requests */
#define DRAIN_GRACE (3 * AP_SEC) /* time for work that was chosen before the drain was known */

ap_route_t *ap_route_new(const ap_route_config_t *config)
{
	ap_route_t *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->config = *config;
	if (r->config.attempts_max == 0)
		r->config.attempts_max = OPEN_ATTEMPTS_MAX;
	r->entries_here = 1;
	r->capacity_factor = CAPACITY_FACTOR_MAX;
	ap_rng_seed(&r->rng, config->seed);
	r->prefixes = ap_prefix_new();
	if (!r->prefixes) {
		free(r);
		return NULL;
	}
	for (int c = 0; c < AP_CLASS_COUNT; c++)
		r->class_share[c] = 1.0 / AP_CLASS_COUNT;
	return r;
}

static void free_nodes(ap_node_t *node)
{
	while (node) {
		ap_node_t *next = node->hh.next;

		free(node);
		node = next;
	}
}

static void free_attempts(ap_attempt_t *attempt)
{
	while (attempt) {
		ap_attempt_t *next = attempt->hh.next;

		free(attempt);
		attempt = next;
	}
}

/* HASH_CLEAR leaves the items linked to each other, so they can be freed afterwards. */
void ap_route_free(ap_route_t *r)
{
	ap_node_t *nodes;
	ap_attempt_t *attempts;

	if (!r)
		return;
	nodes = r->nodes;
	attempts = r->attempts;
	HASH_CLEAR(hh, r->nodes);
	HASH_CLEAR(hh, r->attempts);
	free_nodes(nodes);
	free_attempts(attempts);
	ap_route_drop_candidates(r);
	ap_forward_clear(r);
	free(r->slots);
	free(r->groups);
	ap_prefix_free(r->prefixes);
	if (r->view)
		ap_view_unref(r->view);
	free(r);
}

bool ap_residency_allows(const ap_request_t *req, const char *region)
{
	if (!req->service->home_bound)
		return true;
	return req->home && strcmp(req->home, region) == 0;
}

static const char *model_name(const ap_candidate_set_t *set, const ap_request_t *req)
{
	return set->model ? set->model->name : req->service->name;
}

static void fill_local_choice(const ap_request_t *req, const ap_candidate_set_t *set,
			      const ap_score_t *score, ap_choice_t *choice)
{
	*choice = (ap_choice_t){
		.upstream = score->node->index,
		.priority = req->cls,
		.expected_wait = (ap_usec_t)score->wait,
		.expected_price = score->price,
		.cached_tokens = score->cached,
	};
	ap_copy_name(choice->upstream_id, sizeof(choice->upstream_id), score->node->id);
	if (set->model)
		ap_copy_name(choice->model, sizeof(choice->model), set->model->name);
}

static void fill_remote_choice(const ap_request_t *req, const ap_candidate_set_t *set,
			       const ap_offer_state_t *offer, ap_choice_t *choice)
{
	double prefill = set->model ? set->model->prefill_us * req->tokens_in : 0;

	*choice = (ap_choice_t){
		.upstream = SIZE_MAX,
		.priority = req->cls,
		.expected_wait = offer->last.wait + AP_REMOTE_REGION_RTT + (ap_usec_t)prefill,
	};
	ap_copy_name(choice->region, sizeof(choice->region), offer->last.region);
	if (set->model)
		ap_copy_name(choice->model, sizeof(choice->model), set->model->name);
}

ap_route_status_t ap_route_choose(ap_route_t *r, const ap_request_t *req, ap_usec_t now,
				  ap_choice_t *choice)
{
	ap_offer_state_t *offer;
	ap_score_t best = {0};
	ap_candidate_set_t *set;
	double left = (double)(req->deadline - now);
	bool found;

	if (!ap_residency_allows(req, r->config.region))
		return AP_ROUTE_WRONG_REGION;
	set = ap_route_candidates(r, req);
	if (!set)
		return AP_ROUTE_NO_SERVICE;
	if (left <= 0)
		return AP_ROUTE_TOO_LATE;
	if (req->forwarded && !ap_forwarded_allows(r, model_name(set, req), now))
		return AP_ROUTE_NO_UPSTREAM;
	found = ap_route_pick(r, req, set, now, &best);
	offer = ap_forward_choose(r, req, set, found ? best.wait : INFINITY, now);
	if (offer) {
		fill_remote_choice(req, set, offer, choice);
		return AP_ROUTE_OK;
	}
	if (!found)
		return AP_ROUTE_NO_UPSTREAM;
	if (best.wait > left * TOO_LATE_FACTOR)
		return AP_ROUTE_TOO_LATE;
	fill_local_choice(req, set, &best, choice);
	return AP_ROUTE_OK;
}

bool ap_route_forward(ap_route_t *r, const ap_request_t *req, ap_usec_t wait, ap_usec_t now,
		      ap_choice_t *choice)
{
	ap_offer_state_t *offer;
	ap_candidate_set_t *set;

	if (!ap_residency_allows(req, r->config.region) || req->deadline <= now)
		return false;
	set = ap_route_candidates(r, req);
	offer = set ? ap_forward_choose(r, req, set, (double)wait, now) : NULL;
	if (!offer)
		return false;
	fill_remote_choice(req, set, offer, choice);
	return true;
}

static ap_attempt_t *find_attempt(ap_route_t *r, const ap_request_t *req, const ap_node_t *node)
{
	ap_attempt_key_t key = {.id = req->id, .slot = node->slot};
	ap_attempt_t *attempt = NULL;

	HASH_FIND(hh, r->attempts, &key, sizeof(key), attempt);
	return attempt;
}

static void add_attempt(ap_route_t *r, const ap_request_t *req, const ap_choice_t *choice,
			const ap_candidate_set_t *set, ap_node_t *node, bool trial)
{
	double prefill_us = set && set->model ? set->model->prefill_us : 0;
	uint32_t computed = req->tokens_in - choice->cached_tokens;
	ap_attempt_t *attempt;

	if (find_attempt(r, req, node))
		return;
	attempt = calloc(1, sizeof(*attempt));
	if (!attempt)
		return;
	attempt->key.id = req->id;
	attempt->key.slot = node->slot;
	attempt->expected = choice->expected_wait;
	attempt->prefill = (ap_usec_t)(computed * prefill_us);
	attempt->first_at = AP_NEVER;
	attempt->trial = trial;
	attempt->forwarded = req->forwarded;
	if (set)
		ap_copy_name(attempt->model, sizeof(attempt->model), model_name(set, req));
	HASH_ADD(hh, r->attempts, key, sizeof(attempt->key), attempt);
}

static void update_class_shares(ap_route_t *r, ap_class_t cls)
{
	for (int c = 0; c < AP_CLASS_COUNT; c++)
		r->class_share[c] += CLASS_GAIN * ((c == (int)cls) - r->class_share[c]);
}

static void remember_prefix(ap_route_t *r, const ap_request_t *req, ap_node_t *node)
{
	for (size_t i = 0; i < req->n_blocks; i++) {
		ap_holder_t holder = {
			.slot = node->slot,
			.epoch = node->epoch,
			.stamp = node->stored,
		};

		ap_prefix_add(r->prefixes, req->blocks[i], holder);
	}
}

static bool check_forward(ap_route_t *r, const ap_request_t *req, const ap_choice_t *choice)
{
	bool resident = ap_require(&r->config.env, ap_residency_allows(req, choice->region),
				   AP_INV_RESIDENCY, "home-bound request forwarded");
	bool first_hop = ap_require(&r->config.env, !req->forwarded, AP_INV_ONE_HOP,
				    "forwarded request forwarded again");

	return resident && first_hop;
}

static bool check_dispatch(ap_route_t *r, const ap_request_t *req, const ap_node_t *node,
			   ap_usec_t now)
{
	bool resident = ap_residency_allows(req, r->config.region) && node->in_own_region;
	bool draining = ap_node_draining(node, now) && now - node->draining_since > DRAIN_GRACE;

	resident = ap_require(&r->config.env, resident, AP_INV_RESIDENCY,
			      "request sent to an upstream outside its region");
	draining = !ap_require(&r->config.env, !draining, AP_INV_DRAINING,
			       "new work sent to a draining upstream");
	return resident && !draining;
}

static ap_node_t *chosen_node(const ap_route_t *r, const ap_choice_t *choice)
{
	if (choice->upstream_id[0])
		return ap_route_node(r, choice->upstream_id);
	if (!r->view || choice->upstream >= r->view->n_upstreams)
		return NULL;
	return ap_route_node(r, r->view->upstreams[choice->upstream].id);
}

void ap_route_started(ap_route_t *r, const ap_request_t *req, const ap_choice_t *choice,
		      ap_usec_t now)
{
	ap_candidate_set_t *set = ap_route_candidates(r, req);
	const char *model = set ? model_name(set, req) : choice->model;
	ap_node_t *node;

	if (choice->region[0]) {
		if (check_forward(r, req, choice))
			ap_forward_sent(r, choice->region, model, now);
		ap_emit(&r->config.env, now, "route.away", req->id, "region=%s wait_us=%lld",
			choice->region, (long long)choice->expected_wait);
		return;
	}
	node = chosen_node(r, choice);
	if (!node || !check_dispatch(r, req, node, now))
		return;
	if (!ap_require(&r->config.env, HASH_COUNT(r->attempts) < r->config.attempts_max,
			AP_INV_BOUNDS, "more attempts in progress than attempts_max"))
		return;
	add_attempt(r, req, choice, set, node, ap_health_started(node, now));
	update_class_shares(r, req->cls);
	remember_prefix(r, req, node);
	ap_node_count(node, 1, now);
	if (req->forwarded)
		ap_forwarded_started(r, model, now);
	ap_emit(&r->config.env, now, "route.start", req->id, "upstream=%s wait_us=%lld cached=%u",
		node->id, (long long)choice->expected_wait, choice->cached_tokens);
}

void ap_route_first_token(ap_route_t *r, const ap_request_t *req, const char *upstream,
			  ap_usec_t waited, ap_usec_t now)
{
	ap_node_t *node = ap_route_node(r, upstream);
	ap_attempt_t *attempt = node ? find_attempt(r, req, node) : NULL;

	if (!attempt || attempt->first_at != AP_NEVER)
		return;
	attempt->first_at = now;
	ap_node_observe(node, waited, attempt->expected, now);
	if (attempt->forwarded)
		ap_forwarded_first_token(r, attempt->model, now > req->deadline);
}

/* Updates the mean time in a slot: from the start of the prompt's computation to the end. */
static void update_service_time(ap_route_t *r, const ap_attempt_t *attempt, ap_usec_t now)
{
	ap_model_state_t *state = ap_route_model(r, attempt->model);
	double sample;

	if (!state || attempt->first_at == AP_NEVER)
		return;
	sample = (double)(now - attempt->first_at + attempt->prefill);
	if (state->service_us <= 0)
		state->service_us = sample;
	state->service_us += SERVICE_GAIN * (sample - state->service_us);
}

void ap_route_finished(ap_route_t *r, const ap_request_t *req, const char *upstream,
		       ap_attempt_end_t end, ap_usec_t now)
{
	ap_node_t *node = ap_route_node(r, upstream);
	ap_attempt_t *attempt = node ? find_attempt(r, req, node) : NULL;

	if (!attempt)
		return;
	if (end == AP_ATTEMPT_OK)
		update_service_time(r, attempt, now);
	ap_node_count(node, -1, now);
	if (ap_health_ended(node, end, attempt->trial, now))
		ap_emit(&r->config.env, now, "route.health", req->id, "upstream=%s state=%s",
			node->id, ap_health_name(node->health));
	HASH_DEL(r->attempts, attempt);
	free(attempt);
}

void ap_route_load(ap_route_t *r, const ap_load_report_t *report, ap_usec_t now)
{
	ap_node_t *node = ap_route_node(r, report->upstream);

	if (node)
		ap_node_report(node, report, now);
}

/* Lowers the trust in the cached blocks when the event numbers have a gap. */
static void note_gap(ap_node_t *node, uint64_t seq)
{
	if (node->has_cache_seq && seq > node->cache_seq + 1)
		node->cache_trust *= TRUST_AFTER_GAP;
	if (!node->has_cache_seq || seq > node->cache_seq)
		node->cache_seq = seq;
	node->has_cache_seq = true;
}

void ap_route_cache_event(ap_route_t *r, const ap_cache_event_t *event, ap_usec_t now)
{
	ap_node_t *node = ap_route_node(r, event->upstream);

	(void)now;
	if (!node || !node->in_own_region)
		return;
	note_gap(node, event->seq);
	node->cache_trust += TRUST_GAIN * (1 - node->cache_trust);
	for (size_t i = 0; i < event->n_blocks; i++) {
		ap_holder_t holder = {.slot = node->slot, .epoch = node->epoch};

		if (!event->stored) {
			ap_prefix_remove(r->prefixes, event->blocks[i], node->slot);
			continue;
		}
		holder.stamp = ++node->stored;
		ap_prefix_add(r->prefixes, event->blocks[i], holder);
	}
}

void ap_route_cached_tokens(ap_route_t *r, const char *upstream, uint32_t expected, uint32_t actual)
{
	ap_node_t *node = ap_route_node(r, upstream);
	double ratio;

	if (!node || expected == 0)
		return;
	ratio = fmin((double)actual / expected, 1);
	node->cache_trust += TRUST_GAIN * (ratio - node->cache_trust);
}

void ap_route_drain(ap_route_t *r, const char *upstream, ap_usec_t now)
{
	ap_node_t *node = ap_route_node(r, upstream);

	if (!node || ap_node_draining(node, now))
		return;
	node->draining_since = now;
	ap_emit(&r->config.env, now, "route.leaving", (ap_xid_t){0}, "upstream=%s", upstream);
}

void ap_route_pause(ap_route_t *r, const char *upstream, ap_usec_t wait, ap_usec_t now)
{
	ap_node_t *node = ap_route_node(r, upstream);

	if (!node || wait <= 0)
		return;
	if (wait > PAUSE_MAX)
		wait = PAUSE_MAX;
	if (now >= node->paused_until)
		ap_emit(&r->config.env, now, "route.pause", (ap_xid_t){0}, "upstream=%s ms=%lld",
			upstream, (long long)(wait / AP_MSEC));
	/* Responses arrive in any order; none takes back what another one said. */
	if (now + wait <= node->paused_until)
		return;
	node->paused_until = now + wait;
	node->pause = wait;
}

ap_usec_t ap_route_retry_after(ap_route_t *r, const ap_request_t *req, ap_usec_t now)
{
	const ap_candidate_set_t *set = ap_route_candidates(r, req);
	const ap_node_t *first = NULL;

	for (size_t i = 0; set && i < set->n; i++) {
		const ap_node_t *node = set->nodes[i];

		if (ap_node_draining(node, now) || node->index == AP_NODE_ABSENT)
			continue;
		if (now >= node->paused_until)
			return 0;
		if (!first || node->paused_until < first->paused_until)
			first = node;
	}
	if (!first)
		return 0;
	return first->paused_until - now + (ap_usec_t)(ap_rng_unit(&r->rng) * (double)first->pause);
}

/* Sums the slots of the region's usable upstreams and their last known load. */
static void sum_slots(const ap_route_t *r, ap_usec_t now, double *slots, double *load)
{
	ap_node_t *node;
	ap_node_t *next;

	HASH_ITER (hh, r->nodes, node, next) {
		if (!node->in_own_region || node->index == AP_NODE_ABSENT ||
		    ap_node_draining(node, now))
			continue;
		if (node->health == AP_HEALTH_EJECTED)
			continue;
		*slots += fmin(node->batch, node->limit);
		*load += node->counted_load;
	}
}

size_t ap_route_capacity(ap_route_t *r, ap_usec_t now)
{
	double slots = 0;
	double load = 0;
	double elapsed = (double)(now - r->capacity_at) / (double)AP_SEC;
	double excess;

	sum_slots(r, now, &slots, &load);
	elapsed = fmin(fmax(elapsed, 0), 1);
	excess = slots > 0 ? load / slots - LOAD_TARGET : 1;
	if (excess > 0)
		r->capacity_factor *= exp(-excess * CAPACITY_CUT * elapsed);
	else
		r->capacity_factor *= exp(CAPACITY_GROWTH * elapsed);
	r->capacity_factor = fmin(fmax(r->capacity_factor, 1), CAPACITY_FACTOR_MAX);
	r->capacity_at = now;
	slots = slots * r->capacity_factor / (double)r->entries_here;
	return slots > CAPACITY_MIN ? (size_t)slots : CAPACITY_MIN;
}
