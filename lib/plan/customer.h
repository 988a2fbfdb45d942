/*
 * Customers of a plan: who sends a request, in which regions it may be served, how urgent it is and
 * how much of the customer's allowance it uses.
 */
#ifndef AP_PLAN_CUSTOMER_H
#define AP_PLAN_CUSTOMER_H

#include "base/base.h"

#define AP_CUSTOMER_HOMES_MAX 8

/* What an allowance counts. */
typedef enum ap_unit {
	AP_UNIT_REQUESTS,
	AP_UNIT_TOKENS, /* of prompts and responses */
} ap_unit_t;

/**
 * struct ap_customer - one customer; belongs to a plan and is valid as long as the plan.
 * @hash: of its name, regions and keys; the same in all builds and at all instances
 * @has_priority: @priority takes precedence over the route's
 * @priority: 0 is the most urgent
 * @rate: allowance in units per second, over all instances; 0 for no limit
 * @burst: units beyond @rate
 * @plain_tokens: tokens of a request that names no valid count
 * @homes: regions that may serve the customer; all regions if @n_homes is 0
 */
typedef struct ap_customer {
	char name[AP_NAME_MAX];
	uint64_t hash;
	bool has_priority;
	unsigned priority;
	ap_unit_t unit;
	double rate;
	double burst;
	uint32_t plain_tokens;
	char homes[AP_CUSTOMER_HOMES_MAX][AP_NAME_MAX];
	size_t n_homes;
} ap_customer_t;

/** ap_customer_allows_region() - whether @region may serve @c; always if @c is NULL. */
bool ap_customer_allows_region(const ap_customer_t *c, const char *region);
/** ap_customer_limited() - whether @c has an allowance; false if @c is NULL. */
bool ap_customer_limited(const ap_customer_t *c);
/**
 * ap_customer_cost() - returns the units of @c's allowance that a request uses.
 * @counted: the request names its tokens
 * @tokens: those of its prompt and its longest response
 */
double ap_customer_cost(const ap_customer_t *c, bool counted, uint64_t tokens);

#endif
