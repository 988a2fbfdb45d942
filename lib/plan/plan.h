/*
 * Routing plan of the active configuration: which pool of upstreams serves a request, how often the
 * request may run, and how long it may take. A plan is immutable once built and is shared by
 * reference count, so that a request keeps the version that was active when it started.
 */
#ifndef AP_PLAN_H
#define AP_PLAN_H

#include "base/base.h"
#include "plan/customer.h"
#include "plan/keys.h"

/* Size in bytes of a host, path prefix or health check path, including the terminator. */
#define AP_PLAN_PATH_MAX 256
#define AP_PLAN_HOMES_MAX 8

/* Kind of a request, which decides how often the request may run. */
typedef enum ap_kind {
	AP_KIND_IDEMPOTENT, /* any number of times */
	AP_KIND_ONCE,	    /* at most once */
	AP_KIND_STREAM,	    /* event stream; runs at most once, unless the route is resumable */
} ap_kind_t;

/**
 * struct ap_plan_share - a pool and its weight among the pools of a route.
 */
typedef struct ap_plan_share {
	char pool[AP_NAME_MAX];
	uint32_t weight;
} ap_plan_share_t;

/**
 * struct ap_plan_route - requests to one host whose path starts with a prefix.
 * @open: a request needs no key, whether or not the plan has customers
 * @resumable: an interrupted stream may be resumed on another upstream
 * @prefix_affinity: requests share prompt prefixes; the choice of an upstream does not depend on it
 * @timeout: limit in microseconds until the final response; 0 for none
 * @objective: latency objective in microseconds; for a stream, until the first event
 * @event_gap: longest gap in microseconds between two events of a stream that is on time; 0 if
 *             not configured
 * @attempts: how many times one request may run, if it may run more than once at all
 * @priority: 0 is the most urgent
 * @homes: regions that may serve the route; all regions if @n_homes is 0
 */
typedef struct ap_plan_route {
	char name[AP_NAME_MAX];
	char host[AP_PLAN_PATH_MAX];
	char prefix[AP_PLAN_PATH_MAX];
	ap_kind_t kind;
	bool open;
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
 * struct ap_plan_pool - a set of interchangeable upstreams.
 * @max_conns: from the configuration; not used for the choice of an upstream
 * @warmup: how long an upstream is cold after its start, in microseconds
 * @warmup_rate: requests per second that a cold upstream can take; 0 for no limit
 * @slots: requests that an upstream processes concurrently, unless its entry gives a number; 0 if
 *         not configured
 * @kv_tokens: size of an engine's KV cache in tokens; 0 for a plain service
 * @kv_bytes: size of a token in the KV cache, in bytes; 0 if not configured
 * @link_mbps: rate at which engines send each other parts of it, in Mbit/s; 0 if they don't
 * @event_tokens: tokens that each event of an engine's stream holds, but for the last one, which
 *may hold fewer; 0 if not configured
 */
typedef struct ap_plan_pool {
	char name[AP_NAME_MAX];
	char health_path[AP_PLAN_PATH_MAX];
	uint32_t max_conns;
	ap_usec_t warmup;
	double warmup_rate;
	uint32_t slots;
	uint32_t kv_tokens;
	double kv_bytes;
	double link_mbps;
	uint32_t event_tokens;
} ap_plan_pool_t;

/**
 * struct ap_plan_limits - what callers may send; 0 if not configured.
 * @head: the fields of a head together, in bytes
 * @body: of a request, in bytes
 * @head_time: from the first byte of a request to the end of its head
 * @idle: of a connection between requests
 */
typedef struct ap_plan_limits {
	size_t head;
	size_t body;
	ap_usec_t head_time;
	ap_usec_t idle;
} ap_plan_limits_t;

/**
 * struct ap_plan - one version of the routes and pools.
 * @version: increases with each change of the configuration
 * @routes: sorted by ap_plan_new() by host, then by length of the prefix, the longest first
 * @limits: set by the owner of a new plan
 * @customers: none if requests need no key
 * @keys: those of the customers; NULL without customers
 */
typedef struct ap_plan {
	int refs;
	uint64_t version;
	ap_plan_route_t *routes;
	size_t n_routes;
	ap_plan_pool_t *pools;
	size_t n_pools;
	ap_plan_limits_t limits;
	ap_customer_t *customers;
	size_t n_customers;
	ap_keys_t *keys;
} ap_plan_t;

/**
 * ap_plan_new() - creates a plan with one reference.
 *
 * Takes ownership of both arrays and of each route's shares, which must come from malloc().
 *
 * Return: NULL when out of memory; the arrays are then freed.
 */
ap_plan_t *ap_plan_new(uint64_t version, ap_plan_route_t *routes, size_t n_routes,
		       ap_plan_pool_t *pools, size_t n_pools);
/**
 * ap_plan_set_customers() - sets the customers of a new plan.
 * @customers: must come from malloc(); the plan takes ownership
 * @keys: of the customers, by their index in @customers; the plan takes ownership
 */
void ap_plan_set_customers(ap_plan_t *plan, ap_customer_t *customers, size_t n, ap_keys_t *keys);
/** ap_plan_customer_of_key() - returns the customer who holds the key, or NULL. */
const ap_customer_t *ap_plan_customer_of_key(const ap_plan_t *plan, const char *key, size_t len);
/** ap_plan_find_customer() - returns the customer with this name, or NULL. */
const ap_customer_t *ap_plan_find_customer(const ap_plan_t *plan, const char *name);
ap_plan_t *ap_plan_ref(ap_plan_t *plan);
void ap_plan_unref(ap_plan_t *plan);
/** ap_plan_match() - returns the route of @host with the longest matching prefix, or NULL. */
const ap_plan_route_t *ap_plan_match(const ap_plan_t *plan, const char *host, const char *path);
const ap_plan_pool_t *ap_plan_find_pool(const ap_plan_t *plan, const char *name);
/** ap_plan_pick_pool() - picks a pool of @route by weight; @draw is a random number in [0, 1). */
const ap_plan_pool_t *ap_plan_pick_pool(const ap_plan_t *plan, const ap_plan_route_t *route,
					double draw);
/** ap_plan_allows_region() - returns whether @region may serve requests of @route. */
bool ap_plan_allows_region(const ap_plan_route_t *route, const char *region);
/**
 * ap_plan_has_region() - returns whether any region may serve requests of @route by @customer, who
 * may be NULL.
 */
bool ap_plan_has_region(const ap_plan_route_t *route, const ap_customer_t *customer);
/** ap_plan_count_routes() - returns the number of routes of @host that @region may serve. */
size_t ap_plan_count_routes(const ap_plan_t *plan, const char *host, const char *region);
/** ap_plan_retryable() - returns whether a request of @route may run more than once. */
bool ap_plan_retryable(const ap_plan_route_t *route);
/**
 * ap_plan_moves_streams() - returns whether requests for streams that may be resumed may have other
 * pools by @next than by @plan, or other time-outs.
 */
bool ap_plan_moves_streams(const ap_plan_t *plan, const ap_plan_t *next);
/**
 * ap_plan_route_hash() - returns a hash of what a request of @route may do: which pools may serve
 * it, and whether it may be repeated. The same in all builds and at all instances; 0 for no route.
 */
uint64_t ap_plan_route_hash(const ap_plan_route_t *route);
/** ap_plan_supersedes() - returns whether @next is newer than @plan, or @plan is NULL. */
bool ap_plan_supersedes(const ap_plan_t *next, const ap_plan_t *plan);

#endif
