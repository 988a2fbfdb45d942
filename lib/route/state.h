/* The routing state of one entry. Private to the package. */
#ifndef AP_ROUTE_STATE_H
#define AP_ROUTE_STATE_H

#include "route/node.h"
#include "route/prefix.h"
#include "route/route.h"

#include <uthash.h>

#define AP_SET_KEY_MAX (3 * AP_NAME_MAX)
#define AP_REGIONS_MAX 32	      /* other regions whose room is kept */
#define AP_ROOMS_MAX 512	      /* offers of other regions that are kept */
#define AP_NETWORK_NEAR 500	      /* microseconds to another data centre of the region */
#define AP_NETWORK_FAR (60 * AP_MSEC) /* there and back to another region */

/**
 * struct ap_model_state - guests and spilling for one model.
 * @spilling: home was found unable to meet the class's deadlines
 * @strain: running mean of expected wait at home over time left
 * @guest_rate: requests per second of guests taken by the region, rises as caches warm
 * @guests_seen: guests lately started, a count that fades
 * @service_us: running mean of the time that a request keeps a batch slot
 */
typedef struct ap_model_state {
	char model[AP_NAME_MAX];
	UT_hash_handle hh;
	bool spilling[AP_CLASS_COUNT];
	double strain[AP_CLASS_COUNT];
	ap_usec_t strain_at[AP_CLASS_COUNT];
	double guest_rate;
	double guest_tokens;
	ap_usec_t guest_filled_at;
	ap_usec_t guest_at;
	ap_usec_t guest_seen_at;
	double guests_seen;
	double service_us;
} ap_model_state_t;

/**
 * struct ap_set - upstreams that may serve a (service, model, adapter); made once per view.
 * @nodes: those of the own region
 * @member: for each slot number below @n_member whether @nodes has its upstream
 * @model: model to ask for, or NULL for a plain service
 * @state: of the model, or of the plain service
 * @elsewhere: another region lists an upstream that could serve it
 */
typedef struct ap_set {
	char key[AP_SET_KEY_MAX];
	UT_hash_handle hh;
	const ap_model_t *model;
	ap_model_state_t *state;
	ap_node_t **nodes;
	size_t n;
	bool *member;
	size_t n_member;
	bool elsewhere;
	double batch;
} ap_set_t;

/**
 * struct ap_room_state - what another region offers for one model.
 * @tokens: requests that may be sent now, out of this entry's share of @offer.rate
 */
typedef struct ap_room_state {
	char key[2 * AP_NAME_MAX];
	UT_hash_handle hh;
	ap_room_t offer;
	double tokens;
	ap_usec_t filled_at;
	ap_usec_t refused_until;
} ap_room_state_t;

/* One request may have attempts at several upstreams. */
typedef struct ap_flight_key {
	ap_xid_t id;
	uint64_t slot;
} ap_flight_key_t;

/**
 * struct ap_flight - one attempt in progress.
 * @expected: microseconds until its first token, as foreseen
 * @prefill: the part of it that is computing the prompt
 * @first_at: when its first token came, or AP_NEVER
 * @trial: tries an upstream that was ejected
 * @guest: came from another region
 */
typedef struct ap_flight {
	ap_flight_key_t key;
	UT_hash_handle hh;
	char model[AP_NAME_MAX];
	ap_usec_t expected;
	ap_usec_t prefill;
	ap_usec_t first_at;
	bool trial;
	bool guest;
} ap_flight_t;

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
	ap_set_t *sets;
	ap_room_state_t *rooms;
	ap_model_state_t *models;
	ap_flight_t *flights;
	ap_prefix_index_t *prefixes;
	uint16_t next_epoch;
	double class_share[AP_CLASS_COUNT];
	double places_factor;
	ap_usec_t places_at;
};

ap_node_t *ap_route_node(const ap_route_t *r, const char *id);
void ap_route_drop_sets(ap_route_t *r);
/** ap_route_set() - the candidates of a request, or NULL when the service has no such model. */
ap_set_t *ap_route_set(ap_route_t *r, const ap_request_t *req);
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
bool ap_route_pick(ap_route_t *r, const ap_request_t *req, const ap_set_t *set, ap_usec_t now,
		   ap_score_t *best);
/** ap_route_prefix() - what the start of the prompt is told by; false for none. */
bool ap_route_prefix(const ap_request_t *req, uint64_t *prefix);
/** ap_route_allowed() - may @node get new work of @req now, health aside? */
bool ap_route_allowed(const ap_node_t *node, const ap_request_t *req, ap_usec_t now);

/** ap_spill_choose() - another region that is better for @req than @wait at home, or NULL. */
ap_room_state_t *ap_spill_choose(ap_route_t *r, const ap_request_t *req, const ap_set_t *set,
				 double wait, ap_usec_t now);
/** ap_spill_clear() - forgets all rooms and models. */
void ap_spill_clear(ap_route_t *r);
void ap_spill_sent(ap_route_t *r, const char *region, const char *model, ap_usec_t now);
/** ap_guest_allows() - is there room for one more request of another region? */
bool ap_guest_allows(ap_route_t *r, const char *model, ap_usec_t now);
void ap_guest_started(ap_route_t *r, const char *model, ap_usec_t now);
/** ap_guest_settle() - a guest's first token came; @late when it waited longer than foreseen. */
void ap_guest_settle(ap_route_t *r, const char *model, bool late);

#endif
