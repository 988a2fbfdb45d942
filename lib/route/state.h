/* The routing state of one entry. Private to the package. */
#ifndef AP_ROUTE_STATE_H
#define AP_ROUTE_STATE_H

#include "route/node.h"
#include "route/prefix.h"
#include "route/route.h"

#include <uthash.h>

#define AP_CANDIDATE_SET_KEY_MAX (3 * AP_NAME_MAX)
#define AP_REMOTE_REGIONS_MAX 32	    /* other regions whose room is kept */
#define AP_OFFERS_MAX 512		    /* offers of other regions that are kept */
#define AP_DATA_CENTRE_DELAY 500	    /* microseconds to another data centre of the region */
#define AP_REMOTE_REGION_RTT (60 * AP_MSEC) /* there and back to another region */

/**
 * struct ap_model_state - guests and spilling for one model.
 * @spilling: home was found unable to meet the class's deadlines
 * @wait_ratio: running mean of expected wait at home over time left
 * @forwarded_rate: requests per second of guests taken by the region, rises as caches warm
 * @forwarded_seen: guests lately started, a count that fades
 * @service_us: running mean of the time that a request keeps a batch slot
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
 * struct ap_candidate_set - upstreams that may serve a (service, model, adapter); made once per
 * view.
 * @nodes: those of the own region
 * @member: for each slot number below @n_member whether @nodes has its upstream
 * @model: model to ask for, or NULL for a plain service
 * @state: of the model, or of the plain service
 * @elsewhere: another region lists an upstream that could serve it
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
 * struct ap_offer_state - what another region offers for one model.
 * @tokens: requests that may be sent now, out of this entry's share of @offer.rate
 */
typedef struct ap_offer_state {
	char key[2 * AP_NAME_MAX];
	UT_hash_handle hh;
	ap_capacity_offer_t last;
	double tokens;
	ap_usec_t filled_at;
	ap_usec_t refused_until;
} ap_offer_state_t;

/* One request may have attempts at several upstreams. */
typedef struct ap_attempt_key {
	ap_xid_t id;
	uint64_t slot;
} ap_attempt_key_t;

/**
 * struct ap_attempt - one attempt in progress.
 * @expected: microseconds until its first token, as foreseen
 * @prefill: the part of it that is computing the prompt
 * @first_at: when its first token came, or AP_NEVER
 * @trial: tries an upstream that was ejected
 * @guest: came from another region
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
	size_t other_regions;
	ap_candidate_set_t *candidate_sets;
	ap_offer_state_t *offers;
	ap_model_state_t *models;
	ap_attempt_t *attempts;
	ap_prefix_index_t *prefixes;
	uint16_t next_epoch;
	double class_share[AP_CLASS_COUNT];
	double capacity_factor;
	ap_usec_t capacity_at;
};

ap_node_t *ap_route_node(const ap_route_t *r, const char *id);
void ap_route_drop_candidates(ap_route_t *r);
/** ap_route_candidates() - the candidates of a request, or NULL when the service has no such model.
 */
ap_candidate_set_t *ap_route_candidates(ap_route_t *r, const ap_request_t *req);
ap_model_state_t *ap_route_model(ap_route_t *r, const char *model);

/**
 * struct ap_score - one candidate weighed.
 * @wait: microseconds until its first token
 * @total: @wait and the price in one unit, microseconds; the least is chosen
 */
typedef struct ap_score {
	ap_node_t *node;
	double wait;
	double total;
	double cost;
	uint32_t cached;
	size_t depth;
} ap_score_t;

/** ap_route_pick() - the best upstream of @set. Return: false when none may be used. */
bool ap_route_pick(ap_route_t *r, const ap_request_t *req, const ap_candidate_set_t *set,
		   ap_usec_t now, ap_score_t *best);
/** ap_route_prefix_key() - what the start of the prompt is told by; false for none. */
bool ap_route_prefix_key(const ap_request_t *req, uint64_t *prefix);
/** ap_route_allowed() - may @node get new work of @req now, health aside? */
bool ap_route_allowed(const ap_node_t *node, const ap_request_t *req, ap_usec_t now);

/** ap_forward_choose() - another region that is better for @req than @wait at home, or NULL. */
ap_offer_state_t *ap_forward_choose(ap_route_t *r, const ap_request_t *req,
				    const ap_candidate_set_t *set, double wait, ap_usec_t now);
/** ap_forward_clear() - forgets all rooms and models. */
void ap_forward_clear(ap_route_t *r);
void ap_forward_sent(ap_route_t *r, const char *region, const char *model, ap_usec_t now);
/** ap_forwarded_allows() - is there room for one more request of another region? */
bool ap_forwarded_allows(ap_route_t *r, const char *model, ap_usec_t now);
void ap_forwarded_started(ap_route_t *r, const char *model, ap_usec_t now);
/** ap_forwarded_first_token() - a guest's first token came; @late when it waited longer than
 * foreseen. */
void ap_forwarded_first_token(ap_route_t *r, const char *model, bool late);

#endif
