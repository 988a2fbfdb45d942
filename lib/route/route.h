/*
 * Routing decisions: residency, candidate upstreams, choice of an upstream or a remote region, and
 * the entries that a caller should use. The library does no I/O and reads no clock: its driver
 * passes in the time, the random seed, fleet views and load reports.
 */
#ifndef AP_ROUTE_H
#define AP_ROUTE_H

#include "base/base.h"
#include "conf/conf.h"

#define AP_PREFIX_BLOCKS_MAX 64	  /* prompt blocks considered for the prefix cache */
#define AP_PREFIX_BLOCK_BYTES 512 /* bytes of prompt text per block */
#define AP_ROUTE_TRIED_MAX 8	  /* failed upstreams kept per request */

typedef enum ap_route_status {
	AP_ROUTE_OK,
	AP_ROUTE_NO_SERVICE,   /* no such service, or no such model in it */
	AP_ROUTE_WRONG_REGION, /* home-bound, and this is not the home region */
	AP_ROUTE_NO_UPSTREAM,  /* no permitted upstream can take the request, or a forwarded
				* request exceeds the accepted rate */
	AP_ROUTE_TOO_LATE,     /* the deadline passed, or the expected wait is over twice the
				* time left */
} ap_route_status_t;

/**
 * struct ap_request - the properties of a request that decide its route.
 * @home: the caller's home region; the only one allowed when the service is home-bound
 * @forwarded: came from a remote region, so it must be served or refused in this one
 * @local_only: must not be forwarded: it was forwarded once already, or the call must not be
 *              repeated
 * @deadline: absolute time by which the first byte is due
 * @tokens_in: estimated prompt tokens
 * @tokens_out: estimated number or upper limit of generated tokens
 * @blocks: chained hashes of the prompt's prefix blocks
 * @tried: ids of upstreams at which this request already failed
 * @version: goes only to upstreams with this version by ap_route_version(), unless 0: that of the
 *           model that began the response
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
	const char *tried[AP_ROUTE_TRIED_MAX];
	size_t n_tried;
	uint32_t version;
} ap_request_t;

/**
 * ap_prefix_blocks() - computes the chained block hashes of a prompt; an incomplete last block is
 * left out.
 *
 * Return: the number of hashes written.
 */
size_t ap_prefix_blocks(const char *text, size_t len, uint64_t blocks[AP_PREFIX_BLOCKS_MAX]);

/** ap_residency_allows() - may @req be handled in @region? Every routing step checks this rule. */
bool ap_residency_allows(const ap_request_t *req, const char *region);

/**
 * struct ap_choice - the upstream or remote region chosen for a request.
 * @upstream: index into the current view, when @region is empty
 * @region: remote region to forward to, or empty
 * @expected_wait: microseconds until the first token
 * @expected_price: micro-units
 * @cached_tokens: prompt tokens expected to be cached there
 * @upstream_id: the upstream's id, which stays valid when a new view is set; empty for a region
 * @model: model to request from the engine; empty for a plain service
 * @priority: priority to pass to the engine; 0 is the most urgent
 */
typedef struct ap_choice {
	size_t upstream;
	char upstream_id[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	unsigned priority;
	char region[AP_NAME_MAX];
	ap_usec_t expected_wait;
	double expected_price;
	uint32_t cached_tokens;
} ap_choice_t;

/**
 * struct ap_load_report - load that one upstream published.
 * @at: time at which the report was read, on the reader's clock
 */
typedef struct ap_load_report {
	char upstream[AP_NAME_MAX];
	ap_usec_t at;
	uint32_t running;
	uint32_t waiting;
	double kv_used; /* share of KV memory in use, 0 to 1 */
} ap_load_report_t;

/**
 * struct ap_capacity_offer - spare capacity that a region announces for one model.
 * @rate: forwarded requests per second that the region would accept
 * @wait: expected wait there in microseconds, without network and prompt computation; left 0 by
 *        ap_route_own_offer()
 * @at: time at which the offer was made
 */
typedef struct ap_capacity_offer {
	char region[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	double rate;
	ap_usec_t wait;
	ap_usec_t at;
} ap_capacity_offer_t;

/**
 * struct ap_cache_event - prefix blocks that an engine's cache gained or lost.
 * @seq: the engine's event number; a gap means that events were lost
 * @stored: the blocks were added; false when they were removed
 */
typedef struct ap_cache_event {
	char upstream[AP_NAME_MAX];
	uint64_t seq;
	bool stored;
	const uint64_t *blocks;
	size_t n_blocks;
} ap_cache_event_t;

/* How one attempt at an upstream ended; decides outlier ejection and concurrency limits. */
typedef enum ap_attempt_end {
	AP_ATTEMPT_OK,
	AP_ATTEMPT_REFUSED,   /* the upstream said that it did not start the request */
	AP_ATTEMPT_FAILED,    /* connection reset, or incomplete or invalid response */
	AP_ATTEMPT_TIMEOUT,   /* the limit for the first byte or between chunks passed */
	AP_ATTEMPT_CANCELLED, /* the caller disconnected; says nothing about the upstream */
	/* an old connection was dead while a new one works: not the upstream's fault */
	AP_ATTEMPT_DEAD_CONNECTION,
} ap_attempt_end_t;

typedef struct ap_route ap_route_t;

/**
 * struct ap_route_config - settings fixed at start.
 * @region: own region
 * @data_centre: own data centre
 * @seed: seed of the random choices
 * @attempts_max: most attempts in progress at once; 0 for the default
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
/** ap_route_set_view() - replaces the view of the fleet; keeps the state of known upstreams. */
void ap_route_set_view(ap_route_t *r, const ap_view_t *view, ap_usec_t now);
/**
 * ap_route_choose() - chooses an upstream or a remote region for @req. The request counts as load
 * only once ap_route_started() is called.
 *
 * Return: AP_ROUTE_OK with @choice filled, else the reason why there is none.
 */
ap_route_status_t ap_route_choose(ap_route_t *r, const ap_request_t *req, ap_usec_t now,
				  ap_choice_t *choice);
/**
 * ap_route_forward() - chooses a remote region for a request that would wait too long for
 * admission in the own region. Called when ap_admission_admit() queued or shed the request.
 * @wait: expected wait for admission in microseconds; AP_NEVER when the request was shed
 *
 * Return: true with @choice set to a region; confirm the choice with ap_route_started().
 */
bool ap_route_forward(ap_route_t *r, const ap_request_t *req, ap_usec_t wait, ap_usec_t now,
		      ap_choice_t *choice);
/** ap_route_started() - records that the request is about to be written to @choice. */
void ap_route_started(ap_route_t *r, const ap_request_t *req, const ap_choice_t *choice,
		      ap_usec_t now);
/**
 * ap_route_first_token() - records the first token of an attempt.
 * @waited: microseconds from the start of the attempt
 */
void ap_route_first_token(ap_route_t *r, const ap_request_t *req, const char *upstream,
			  ap_usec_t waited, ap_usec_t now);
/** ap_route_finished() - records the end of an attempt; unknown attempts are ignored. */
void ap_route_finished(ap_route_t *r, const ap_request_t *req, const char *upstream,
		       ap_attempt_end_t end, ap_usec_t now);
/** ap_route_load() - takes a load report; one no newer than the last is ignored. */
void ap_route_load(ap_route_t *r, const ap_load_report_t *report, ap_usec_t now);
/** ap_route_remote_offer() - takes a capacity offer; an own or an older one is ignored. */
void ap_route_remote_offer(ap_route_t *r, const ap_capacity_offer_t *offer, ap_usec_t now);
/** ap_route_forward_refused() - a remote region refused a request; pauses forwarding to it. */
void ap_route_forward_refused(ap_route_t *r, const char *region, const char *model, ap_usec_t now);
/**
 * ap_route_own_offer() - what this region offers remote regions for @model. Also updates the rate
 * of forwarded requests that the region accepts.
 */
ap_capacity_offer_t ap_route_own_offer(ap_route_t *r, const char *model, ap_usec_t now);
/** ap_route_cache_event() - updates the record of cached prefix blocks. */
void ap_route_cache_event(ap_route_t *r, const ap_cache_event_t *event, ap_usec_t now);
/**
 * ap_route_cached_tokens() - compares the expected with the actual number of cached prompt tokens.
 * @expected: ap_choice.cached_tokens of the attempt
 * @actual: number in the usage figures of the response
 */
void ap_route_cached_tokens(ap_route_t *r, const char *upstream, uint32_t expected,
			    uint32_t actual);
/**
 * ap_route_capacity() - requests that this entry may run at once; for ap_admission_set_capacity().
 * Derived from the batch sizes, adaptive concurrency limits and load of the own region's upstreams
 * and from the number of its entries.
 */
size_t ap_route_capacity(ap_route_t *r, ap_usec_t now);
/**
 * ap_route_version() - version of what @upstream serves to @req, of model and adapter together; 0
 * when it isn't known.
 */
uint32_t ap_route_version(const ap_route_t *r, const char *upstream, const ap_request_t *req,
			  const char *model);
/** ap_version_both() - version of a model and an adapter together; 0 when one isn't known. */
uint32_t ap_version_both(uint32_t model, uint32_t adapter);
/** ap_route_drain() - stops sending new work to @upstream. */
void ap_route_drain(ap_route_t *r, const char *upstream, ap_usec_t now);

/**
 * ap_route_pause() - @upstream refused a request and wants no other for @wait microseconds, of
 * which ten minutes count at most.
 */
void ap_route_pause(ap_route_t *r, const char *upstream, ap_usec_t wait, ap_usec_t now);
/**
 * ap_route_retry_after() - returns after how many microseconds a request like @req should come
 * again, if all of the region's upstreams that could serve it asked for a pause; else 0. Callers
 * return spread over as long again.
 */
ap_usec_t ap_route_retry_after(ap_route_t *r, const ap_request_t *req, ap_usec_t now);

/**
 * ap_price() - price in micro-units of one finished request on @pool.
 * @cached: prompt tokens that were cached; they cost nothing
 */
double ap_price(const ap_pool_t *pool, uint32_t tokens_in, uint32_t cached, uint32_t tokens_out);

#define AP_ENTRIES_MAX 8 /* most entries returned for one caller */

/**
 * ap_entries_for() - lists the entries that a caller should use, best first.
 * @home_only: only entries of @region; if false, other regions' entries when @region has none
 * @out: pointers into @view
 *
 * Return: number written, at most AP_ENTRIES_MAX; draining entries are left out.
 */
size_t ap_entries_for(const ap_view_t *view, const char *caller, const char *region, bool home_only,
		      const ap_entry_t *out[AP_ENTRIES_MAX]);

#endif
