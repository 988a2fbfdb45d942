/* Routing plan: lookup of routes by host and longest path prefix. */
#include "plan/plan.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static int compare_routes(const void *a, const void *b)
{
	const ap_plan_route_t *x = a;
	const ap_plan_route_t *y = b;
	size_t x_len = strlen(x->prefix);
	size_t y_len = strlen(y->prefix);
	int by_host = strcasecmp(x->host, y->host);

	if (by_host != 0)
		return by_host;
	if (x_len != y_len)
		return x_len > y_len ? -1 : 1;
	return strcmp(x->prefix, y->prefix);
}

static void free_routes(ap_plan_route_t *routes, size_t n)
{
	for (size_t i = 0; i < n; i++)
		free(routes[i].shares);
	free(routes);
}

ap_plan_t *ap_plan_new(uint64_t version, ap_plan_route_t *routes, size_t n_routes,
		       ap_plan_pool_t *pools, size_t n_pools)
{
	ap_plan_t *plan = calloc(1, sizeof(*plan));

	if (!plan) {
		free_routes(routes, n_routes);
		free(pools);
		return NULL;
	}
	if (n_routes > 0)
		qsort(routes, n_routes, sizeof(*routes), compare_routes);
	plan->refs = 1;
	plan->version = version;
	plan->routes = routes;
	plan->n_routes = n_routes;
	plan->pools = pools;
	plan->n_pools = n_pools;
	return plan;
}

void ap_plan_set_customers(ap_plan_t *plan, ap_customer_t *customers, size_t n, ap_keys_t *keys)
{
	plan->customers = customers;
	plan->n_customers = n;
	plan->keys = keys;
}

const ap_customer_t *ap_plan_customer_of_key(const ap_plan_t *plan, const char *key, size_t len)
{
	uint32_t i = plan->keys ? ap_keys_find(plan->keys, key, len) : AP_KEY_UNKNOWN;

	return i != AP_KEY_UNKNOWN ? &plan->customers[i] : NULL;
}

const ap_customer_t *ap_plan_find_customer(const ap_plan_t *plan, const char *name)
{
	for (size_t i = 0; i < plan->n_customers; i++) {
		if (strcmp(plan->customers[i].name, name) == 0)
			return &plan->customers[i];
	}
	return NULL;
}

ap_plan_t *ap_plan_ref(ap_plan_t *plan)
{
	if (plan)
		plan->refs++;
	return plan;
}

void ap_plan_unref(ap_plan_t *plan)
{
	if (!plan || --plan->refs > 0)
		return;
	free_routes(plan->routes, plan->n_routes);
	free(plan->pools);
	free(plan->customers);
	ap_keys_free(plan->keys);
	free(plan);
}

/* Returns the index of the first route whose host sorts at or after @host. */
static size_t first_of_host(const ap_plan_t *plan, const char *host)
{
	size_t low = 0;
	size_t high = plan->n_routes;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcasecmp(plan->routes[mid].host, host) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const ap_plan_route_t *ap_plan_match(const ap_plan_t *plan, const char *host, const char *path)
{
	for (size_t i = first_of_host(plan, host); i < plan->n_routes; i++) {
		const ap_plan_route_t *route = &plan->routes[i];

		if (strcasecmp(route->host, host) != 0)
			return NULL;
		if (strncmp(path, route->prefix, strlen(route->prefix)) == 0)
			return route;
	}
	return NULL;
}

const ap_plan_pool_t *ap_plan_find_pool(const ap_plan_t *plan, const char *name)
{
	for (size_t i = 0; i < plan->n_pools; i++) {
		if (strcmp(plan->pools[i].name, name) == 0)
			return &plan->pools[i];
	}
	return NULL;
}

const ap_plan_pool_t *ap_plan_pick_pool(const ap_plan_t *plan, const ap_plan_route_t *route,
					double draw)
{
	double total = 0;
	double at;

	for (size_t i = 0; i < route->n_shares; i++)
		total += route->shares[i].weight;
	at = draw * total;
	for (size_t i = 0; i < route->n_shares; i++) {
		at -= route->shares[i].weight;
		if (at < 0)
			return ap_plan_find_pool(plan, route->shares[i].pool);
	}
	return NULL;
}

bool ap_plan_allows_region(const ap_plan_route_t *route, const char *region)
{
	for (size_t i = 0; i < route->n_homes; i++) {
		if (strcmp(route->homes[i], region) == 0)
			return true;
	}
	return route->n_homes == 0;
}

bool ap_plan_has_region(const ap_plan_route_t *route, const ap_customer_t *customer)
{
	if (route->n_homes == 0)
		return true;
	for (size_t i = 0; i < route->n_homes; i++) {
		if (ap_customer_allows_region(customer, route->homes[i]))
			return true;
	}
	return false;
}

size_t ap_plan_count_routes(const ap_plan_t *plan, const char *host, const char *region)
{
	size_t n = 0;

	for (size_t i = first_of_host(plan, host); i < plan->n_routes; i++) {
		const ap_plan_route_t *route = &plan->routes[i];

		if (strcasecmp(route->host, host) != 0)
			break;
		n += ap_plan_allows_region(route, region);
	}
	return n;
}

bool ap_plan_retryable(const ap_plan_route_t *route)
{
	return route->kind == AP_KIND_IDEMPOTENT ||
	       (route->kind == AP_KIND_STREAM && route->resumable);
}

uint64_t ap_plan_route_hash(const ap_plan_route_t *route)
{
	uint64_t pools = 0; /* in any order */
	uint64_t hash;

	if (!route)
		return 0;
	for (size_t i = 0; i < route->n_shares; i++) {
		if (route->shares[i].weight > 0)
			pools += ap_hash_str(route->shares[i].pool, 0);
	}
	hash = pools + (route->kind == AP_KIND_STREAM) + 2 * ap_plan_retryable(route);
	return hash ? hash : 1;
}

/* Returns whether @plan has a route like @route: for the same requests, pools and time. */
static bool has_route(const ap_plan_t *plan, const ap_plan_route_t *route)
{
	for (size_t i = 0; i < plan->n_routes; i++) {
		const ap_plan_route_t *r = &plan->routes[i];

		if (strcmp(r->host, route->host) == 0 && strcmp(r->prefix, route->prefix) == 0)
			return r->resumable == route->resumable && r->timeout == route->timeout &&
			       ap_plan_route_hash(r) == ap_plan_route_hash(route);
	}
	return false;
}

static bool has_streams_of(const ap_plan_t *plan, const ap_plan_t *other)
{
	for (size_t i = 0; i < other->n_routes; i++) {
		if (other->routes[i].resumable && !has_route(plan, &other->routes[i]))
			return false;
	}
	return true;
}

bool ap_plan_moves_streams(const ap_plan_t *plan, const ap_plan_t *next)
{
	return !has_streams_of(next, plan) || !has_streams_of(plan, next);
}

bool ap_plan_supersedes(const ap_plan_t *next, const ap_plan_t *plan)
{
	return !plan || next->version > plan->version;
}
