/*
 * The routes in force: which pool of upstreams serves a request, how often it may run, and for how
 * long it may take. Immutable once built and shared by reference, so that a request keeps the
 * version that it began with.
 */
#ifndef AP_PLAN_H
#define AP_PLAN_H

#include "base/base.h"

#define AP_PLAN_PATH_MAX 256 /* bytes of a route's path prefix, with its terminator */
#define AP_PLAN_HOMES_MAX 8

/* What may be repeated of a request. */
typedef enum ap_kind {
	AP_KIND_IDEMPOTENT, /* any number of times */
	AP_KIND_ONCE,	    /* runs at most once */
	AP_KIND_STREAM,	    /* events; once, unless the route may be resumed */
} ap_kind_t;

/**
 * struct ap_plan_share - a pool and its part of a route's requests.
 */
typedef struct ap_plan_share {
	char pool[AP_NAME_MAX];
	uint32_t weight;
} ap_plan_share_t;

/**
 * struct ap_plan_route - requests of one host whose path begins with a prefix.
 * @timeout: longest time until the final answer
 * @objective: latency objective, to the first event of a stream
 * @pause: longest time between two events of a stream that is still on time; 0 for none given
 * @attempts: upstreams on which one request may run
 * @priority: 0 is the most urgent
 * @homes: regions that may serve it; any when @n_homes is 0
 * @affine: requests share prompt prefixes
 */
typedef struct ap_plan_route {
	char name[AP_NAME_MAX];
	char host[AP_PLAN_PATH_MAX];
	char prefix[AP_PLAN_PATH_MAX];
	ap_kind_t kind;
	bool resumable;
	bool prefix_affinity;
	ap_usec_t timeout;
	ap_usec_t objective;
	ap_usec_t event_gap;
	unsigned attempts;
	unsigned priority;
	char homes[AP_PLAN_HOMES_MAX][AP_NAME_MAX];
	size_t n_homes;
	ap_plan_share_t *shares;
	size_t n_shares;
} ap_plan_route_t;

/**
 * struct ap_plan_pool - upstreams that are alike.
 * @warmup: how long an upstream is cold after its start
 * @warmup_rate: requests a second that a cold one bears; 0 for any number
 * @slots: requests that an upstream works on at once; 0 when it tells so itself
 * @kv_tokens: KV cache of an engine in tokens; 0 for a plain service
 */
typedef struct ap_plan_pool {
	char name[AP_NAME_MAX];
	char health_path[AP_PLAN_PATH_MAX];
	uint32_t max_conns;
	ap_usec_t warmup;
	double warmup_rate;
	uint32_t slots;
	uint32_t kv_tokens;
} ap_plan_pool_t;

/**
 * struct ap_plan - one version of the routes.
 * @version: rises with each change
 * @routes: sorted by ap_plan_new(): by host, then the longest prefix first
 */
typedef struct ap_plan {
	int refs;
	uint64_t version;
	ap_plan_route_t *routes;
	size_t n_routes;
	ap_plan_pool_t *pools;
	size_t n_pools;
} ap_plan_t;

/**
 * ap_plan_new() - a plan with one reference; takes over both arrays, which malloc() made.
 *
 * Return: NULL when memory runs out; the arrays are then freed.
 */
ap_plan_t *ap_plan_new(uint64_t version, ap_plan_route_t *routes, size_t n_routes,
		       ap_plan_pool_t *pools, size_t n_pools);
ap_plan_t *ap_plan_ref(ap_plan_t *plan);
void ap_plan_unref(ap_plan_t *plan);
/** ap_plan_match() - the route of @host with the longest prefix that begins @path, or NULL. */
const ap_plan_route_t *ap_plan_match(const ap_plan_t *plan, const char *host, const char *path);
const ap_plan_pool_t *ap_plan_find_pool(const ap_plan_t *plan, const char *name);
/** ap_plan_pick_pool() - the pool of one request by weight; @draw in [0, 1). */
const ap_plan_pool_t *ap_plan_pick_pool(const ap_plan_t *plan, const ap_plan_route_t *route,
					double draw);
/** ap_plan_allows_region() - may requests of @route be served in @region? */
bool ap_plan_allows_region(const ap_plan_route_t *route, const char *region);
/** ap_plan_count_routes() - how many routes of @host may be served in @region. */
size_t ap_plan_count_routes(const ap_plan_t *plan, const char *host, const char *region);
/** ap_plan_retryable() - may a request of @route run more than once? */
bool ap_plan_retryable(const ap_plan_route_t *route);
/** ap_plan_supersedes() - may @next come into force after @plan, which may be NULL? */
bool ap_plan_supersedes(const ap_plan_t *next, const ap_plan_t *plan);

#endif
