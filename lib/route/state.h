/* The routing state of one entry. Private to lib/route. */
#ifndef AP_ROUTE_STATE_H
#define AP_ROUTE_STATE_H

#include "route/node.h"
#include "route/prefix.h"
#include "route/route.h"

#include <uthash.h>

#define AP_CANDIDATE_SET_KEY_MAX (3 * AP_NAME_MAX)
#define AP_REMOTE_REGIONS_MAX 32	    /* remote regions that are counted */
#define AP_OFFERS_MAX 512		    /* capacity offers that are kept */
#define AP_DATA_CENTRE_DELAY 500	    /* microseconds to another data centre of the region */
#define AP_REMOTE_REGION_RTT (60 * AP_MSEC) /* microseconds to a remote region and back */

/**
 * struct ap_model_state - state of one model or plain service: forwarding to and from remote
 * regions, and the time that a request takes.
 * @forwarding: per class, the own region is too slow for the deadlines, so requests are forwarded
 * @wait_ratio: per class, running mean of the expected wait in the own region over the time left
 * @wait_ratio_at: time of the last update of @wait_ratio
 * @forwarded_rate: forwarded requests per second that the region accepts; rises as caches warm
 * @forwarded_tokens: rate-limit tokens: forwarded requests that this entry may accept now
 * @forwarded_filled_at: time of the last refill of @forwarded_tokens
 * @forwarded_rate_at: time of the last update of @forwarded_rate
 * @forwarded_seen_at: when a forwarded request last started
 * @forwarded_seen: exponentially decaying count of forwarded requests started here
 * @service_us: running mean of the microseconds that a request occupies a batch slot
 */
typedef struct ap_model_state {
	char model[AP_NAME_MAX];
	UT_hash_handle hh;
	bool forwarding[AP_CLASS_COUNT];
	double wait_ratio[AP_CLASS_COUNT];
	ap_usec_t wait_ratio_at[AP_CLASS_COUNT];
	double forwarded_rate;
	double forwarded_tokens;
	ap_usec_t forwarded_filled_at;
	ap_usec_t forwarded_rate_at;
	ap_usec_t forwarded_seen_at;
	double forwarded_seen;
	double service_us;
} ap_model_state_t;

/**
 * struct ap_candidate_set - the upstreams that may serve one service, model and adapter. Made
 * once per view.
 * @nodes: upstreams of the own region
 * @is_member: for each slot number below @n_member, whether @nodes has that upstream
 * @model: model to request, or NULL for a plain service
 * @state: state of the model or of the plain service
 * @has_remote: a remote region lists an upstream that could serve the request
 * @batch: sum of the batch slots of @nodes
 */
typedef struct ap_candidate_set {
	char key[AP_CANDIDATE_SET_KEY_MAX];
	UT_hash_handle hh;
	const ap_model_t *model;
	ap_model_state_t *state;
	ap_node_t **nodes;
	size_t n;
	bool *is_member;
	size_t n_member;
	bool has_remote;
	double batch;
} ap_candidate_set_t;

/**
 * struct ap_offer_state - capacity that a remote region offers for one model.
 * @key: region/model
 * @last: the newest offer
 * @tokens: rate-limit tokens: requests that this entry may forward now, from its share of
 *          @last.rate
 * @filled_at: time of the last refill of @tokens
 * @refused_until: no forwarding before this time, because the region refused a request
 */
typedef struct ap_offer_state {
	char key[2 * AP_NAME_MAX];
	UT_hash_handle hh;
	ap_capacity_offer_t last;
	double tokens;
	ap_usec_t filled_at;
	ap_usec_t refused_until;
} ap_offer_state_t;

/* Identifies an attempt: one request may have attempts at several upstreams. */
typedef struct ap_attempt_key {
	ap_xid_t id;
	uint64_t slot;
} ap_attempt_key_t;

/**
 * struct ap_attempt - one attempt in progress.
 * @expected: expected microseconds until the first token
 * @prefill: the part of @expected spent on computing the prompt
 * @first_at: when the first token came, or AP_NEVER
 * @trial: tests an upstream that was ejected
 * @forwarded: the request came from a remote region
 */
typedef struct ap_attempt {
	ap_attempt_key_t key;
	UT_hash_handle hh;
	char model[AP_NAME_MAX];
	ap_usec_t expected;
	ap_usec_t prefill;
	ap_usec_t first_at;
	bool trial;
	bool forwarded;
} ap_attempt_t;

/**
 * struct ap_route - state behind the functions of route.h.
 * @nodes: upstreams by id
 * @slots: upstreams by slot number; NULL where a number is free
 * @groups: one per pool of the view's configuration
 * @entries_here: entries of the own region, at least 1
 * @remote_regions: number of remote regions with entries
 * @candidate_sets: by service/model/adapter; dropped with each new view
 * @offers: capacity offers by region/model
 * @models: state by model or plain service
 * @last_epoch: epoch given to the last new upstream
 * @class_share: running share of each class in the started requests
 * @capacity_factor: factor on an even share of the region's slots, see ap_route_capacity()
 * @capacity_at: time of the last update of @capacity_factor
 */
struct ap_route {
	ap_route_config_t config;
	ap_rng_t rng;
	ap_view_t *view;
	ap_node_t *nodes;
	ap_node_t **slots;
	size_t n_slots;
	ap_group_t *groups;
	size_t n_groups;
	size_t entries_here;
	size_t remote_regions;
	ap_candidate_set_t *candidate_sets;
	ap_offer_state_t *offers;
	ap_model_state_t *models;
	ap_attempt_t *attempts;
	ap_prefix_index_t *prefixes;
	uint16_t last_epoch;
	double class_share[AP_CLASS_COUNT];
	double capacity_factor;
	ap_usec_t capacity_at;
};

/** ap_route_node() - the upstream with this id, or NULL. */
ap_node_t *ap_route_node(const ap_route_t *r, const char *id);
/** ap_route_node_version() - version of what @node serves to @req; 0 when it isn't known. */
uint32_t ap_route_node_version(const ap_route_t *r, const ap_node_t *node, const ap_request_t *req,
			       const char *model);
/** ap_route_drop_candidates() - frees all candidate sets. */
void ap_route_drop_candidates(ap_route_t *r);
/** ap_route_candidates() - finds or makes the candidate set of @req; NULL if there is none. */
ap_candidate_set_t *ap_route_candidates(ap_route_t *r, const ap_request_t *req);
/** ap_route_model() - finds or makes the state of @model; NULL if out of memory. */
ap_model_state_t *ap_route_model(ap_route_t *r, const char *model);

/**
 * struct ap_score - score of one candidate for one request.
 * @wait: expected microseconds until the first token
 * @total: wait, price and risks as microseconds; the candidate with the least is chosen
 * @price: expected price in micro-units
 * @cached: prompt tokens expected to be cached
 * @depth: leading prompt blocks that are probably cached
 */
typedef struct ap_score {
	ap_node_t *node;
	double wait;
	double total;
	double price;
	uint32_t cached;
	size_t depth;
} ap_score_t;

/** ap_route_pick() - finds the best upstream of @set. Return: false when none may be used. */
bool ap_route_pick(ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
		   ap_usec_t now, ap_score_t *best);
/** ap_route_prefix_key() - hash of the start of the prompt. Return: false for a short prompt. */
bool ap_route_prefix_key(const ap_request_t *req, uint64_t *prefix);
/** ap_route_allowed() - may @req be sent to @node now? Does not consider the health. */
bool ap_route_allowed(const ap_node_t *node, const ap_request_t *req, ap_usec_t now);

/* ap_forward_*: requests that this region forwards to remote ones. */

/**
 * ap_forward_choose() - chooses the offer of a remote region for @req.
 * @wait: expected wait in the own region, microseconds
 *
 * Return: the offer, or NULL when @req should or must stay in the own region.
 */
ap_offer_state_t *ap_forward_choose(ap_route_t *r, const ap_request_t *req,
				    const ap_candidate_set_t *set, double wait, ap_usec_t now);
/** ap_forward_clear() - frees all offers and model states. */
void ap_forward_clear(ap_route_t *r);
/** ap_forward_sent() - takes one token of the offer of @region. */
void ap_forward_sent(ap_route_t *r, const char *region, const char *model, ap_usec_t now);

/* ap_forwarded_*: requests that remote regions forwarded to this one. */

/** ap_forwarded_allows() - may one more forwarded request be accepted now? */
bool ap_forwarded_allows(ap_route_t *r, const char *model, ap_usec_t now);
/** ap_forwarded_started() - counts a forwarded request that was dispatched here. */
void ap_forwarded_started(ap_route_t *r, const char *model, ap_usec_t now);
/**
 * ap_forwarded_first_token() - adapts the accepted rate to the wait of a forwarded request.
 * @late: the first token came after the deadline
 */
void ap_forwarded_first_token(ap_route_t *r, const char *model, bool late);

#endif
