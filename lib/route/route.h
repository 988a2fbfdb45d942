/*
 * Where a request goes: residency, candidates, choice of upstream or region, and which entries a
 * caller should use. Pure decisions: the driver passes time, random state, views and reports in.
 */
#ifndef AP_ROUTE_H
#define AP_ROUTE_H

#include "base/base.h"
#include "conf/conf.h"

#define AP_PREFIX_BLOCKS_MAX 64	  /* blocks of a prompt that are looked at */
#define AP_PREFIX_BLOCK_BYTES 512 /* bytes of prompt text per block */

typedef enum ap_route_status {
	AP_ROUTE_OK,
	AP_ROUTE_NO_SERVICE,   /* no such service, or no such model in it */
	AP_ROUTE_WRONG_REGION, /* home-bound and this entry is not in the home region */
	AP_ROUTE_NO_UPSTREAM,  /* nothing allowed is alive and serving */
	AP_ROUTE_TOO_LATE,     /* nothing allowed can meet the deadline */
} ap_route_status_t;

/**
 * struct ap_request - what the decisions know of a request.
 * @home: the caller's home region; the only one allowed when the service is home-bound
 * @forwarded: came from another region, so it is served or refused here
 * @stay: no other region is to be asked: one was, or the call may not be repeated
 * @deadline: absolute time of the first byte
 * @tokens_in: estimated prompt tokens
 * @tokens_out: estimated or limited generated tokens
 * @blocks: chained hashes of the prompt's prefix blocks
 * @tried: upstream ids that already failed this request
 */
typedef struct ap_request {
	ap_xid_t id;
	const ap_service_t *service;
	const ap_caller_t *caller;
	const char *model;
	const char *adapter;
	const char *home;
	bool forwarded;
	bool local_only;
	ap_class_t cls;
	ap_usec_t arrival;
	ap_usec_t deadline;
	uint32_t tokens_in;
	uint32_t tokens_out;
	uint64_t blocks[AP_PREFIX_BLOCKS_MAX];
	size_t n_blocks;
	const char *tried[8];
	size_t n_tried;
} ap_request_t;

/** ap_prefix_blocks() - chained block hashes of a prompt. Return: how many were written. */
size_t ap_prefix_blocks(const char *text, size_t len, uint64_t blocks[AP_PREFIX_BLOCKS_MAX]);

/** ap_residency_allows() - residency rule used at every step: may @req be handled in @region? */
bool ap_residency_allows(const ap_request_t *req, const char *region);

/**
 * struct ap_choice - where a request goes.
 * @upstream: index into the view given last, when @region is empty
 * @region: another region to forward to, or empty
 * @expected_wait: microseconds until the first token
 * @expected_cost: micro-units
 * @cached_tokens: prompt tokens expected to be cached there
 * @upstream_id: the upstream's id, which stays valid when a new view is set; empty for a region
 * @model: model to ask the engine for; empty for a plain service
 * @priority: to be given to the engine, 0 is the most urgent
 */
typedef struct ap_choice {
	size_t upstream;
	char upstream_id[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	unsigned priority;
	char region[AP_NAME_MAX];
	ap_usec_t expected_wait;
	double expected_cost;
	uint32_t cached_tokens;
} ap_choice_t;

/**
 * struct ap_load_report - load of one upstream as it published it.
 * @at: when it was read, on the reader's clock
 */
typedef struct ap_load_report {
	char upstream[AP_NAME_MAX];
	ap_usec_t at;
	uint32_t running;
	uint32_t waiting;
	double kv_used; /* share of KV memory in use, 0 to 1 */
} ap_load_report_t;

/**
 * struct ap_capacity_offer - spare capacity that a region advertises for one model.
 * @rate: guest requests per second it would take
 */
typedef struct ap_capacity_offer {
	char region[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	double rate;
	ap_usec_t wait;
	ap_usec_t at;
} ap_capacity_offer_t;

/**
 * struct ap_cache_event - an engine gained or lost prefix blocks.
 * @seq: the engine's event number; a jump means that events were lost
 */
typedef struct ap_cache_event {
	char upstream[AP_NAME_MAX];
	uint64_t seq;
	bool stored;
	const uint64_t *blocks;
	size_t n_blocks;
} ap_cache_event_t;

/* How one attempt at an upstream ended, for ejection and limits. */
typedef enum ap_attempt_end {
	AP_ATTEMPT_OK,
	AP_ATTEMPT_REFUSED,	    /* it said that it did not start */
	AP_ATTEMPT_FAILED,	    /* reset, short or bad answer */
	AP_ATTEMPT_TIMEOUT,	    /* a first-byte or between-token limit passed */
	AP_ATTEMPT_CANCELLED,	    /* the caller hung up; says nothing about the upstream */
	AP_ATTEMPT_DEAD_CONNECTION, /* old connection dead while a new one works; not the upstream's
				       fault */
} ap_attempt_end_t;

typedef struct ap_route ap_route_t;

/**
 * struct ap_route_config - made once at start.
 * @region: own region
 * @data_centre: own data centre
 * @seed: of its random choices
 * @attempts_max: attempts in progress at once; 0 for the default
 */
typedef struct ap_route_config {
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	uint64_t seed;
	size_t attempts_max;
	ap_env_t env;
} ap_route_config_t;

ap_route_t *ap_route_new(const ap_route_config_t *config);
void ap_route_free(ap_route_t *r);
/** ap_route_set_view() - takes a new view of the fleet; state of known upstreams is kept. */
void ap_route_set_view(ap_route_t *r, const ap_view_t *view, ap_usec_t now);
/** ap_route_choose() - picks an upstream or a region; changes nothing until ap_route_started(). */
ap_route_status_t ap_route_choose(ap_route_t *r, const ap_request_t *req, ap_usec_t now,
				  ap_choice_t *choice);
/**
 * ap_route_forward() - another region for a request that would wait too long for admission here.
 * To be asked when ap_admission_ask() queued or shed it.
 * @wait: expected wait for admission in microseconds; AP_NEVER when it was shed
 *
 * Return: true with @choice set to a region, to be confirmed by ap_route_started().
 */
bool ap_route_forward(ap_route_t *r, const ap_request_t *req, ap_usec_t wait, ap_usec_t now,
		      ap_choice_t *choice);
/** ap_route_started() - the request is about to be written to @choice. */
void ap_route_started(ap_route_t *r, const ap_request_t *req, const ap_choice_t *choice,
		      ap_usec_t now);
void ap_route_first_token(ap_route_t *r, const ap_request_t *req, const char *upstream,
			  ap_usec_t waited, ap_usec_t now);
void ap_route_finished(ap_route_t *r, const ap_request_t *req, const char *upstream,
		       ap_attempt_end_t end, ap_usec_t now);
void ap_route_load(ap_route_t *r, const ap_load_report_t *report, ap_usec_t now);
void ap_route_remote_offer(ap_route_t *r, const ap_capacity_offer_t *room, ap_usec_t now);
/** ap_route_forward_refused() - another region refused a guest; it is left alone for a while. */
void ap_route_forward_refused(ap_route_t *r, const char *region, const char *model, ap_usec_t now);
/** ap_route_own_offer() - rate and wait that this region offers guests for @model. */
ap_capacity_offer_t ap_route_own_offer(ap_route_t *r, const char *model, ap_usec_t now);
void ap_route_cache_event(ap_route_t *r, const ap_cache_event_t *event, ap_usec_t now);
/**
 * ap_route_cached_tokens() - how many prompt tokens an engine said it had cached.
 * @expected: what ap_choice.cached_tokens promised
 * @actual: what the answer's usage figures say
 */
void ap_route_cached_tokens(ap_route_t *r, const char *upstream, uint32_t expected,
			    uint32_t actual);
/**
 * ap_route_capacity() - requests that this entry may run at once, from the limits that adapt to
 * the measured delay of its region's upstreams and its share of them; for
 * ap_admission_set_capacity().
 */
size_t ap_route_capacity(ap_route_t *r, ap_usec_t now);
/** ap_route_drain() - no new work for @upstream from now on. */
void ap_route_drain(ap_route_t *r, const char *upstream, ap_usec_t now);

/** ap_price() - micro-units for one finished request on @pool. */
double ap_price(const ap_pool_t *pool, uint32_t tokens_in, uint32_t cached, uint32_t tokens_out);

#define AP_ENTRIES_MAX 8 /* entries named to one caller */

/**
 * ap_entries_for() - which entries a caller should use, best first.
 * @home_only: only entries of @region, else others follow when it has none
 * @out: pointers into @view
 *
 * Return: how many were written, at most AP_ENTRIES_MAX; leaving entries are left out.
 */
size_t ap_entries_for(const ap_view_t *view, const char *caller, const char *region, bool home_only,
		      const ap_entry_t *out[AP_ENTRIES_MAX]);

#endif
