/* State of one upstream as this entry sees it: load, health, limit. Private to the package. */
#ifndef AP_ROUTE_NODE_H
#define AP_ROUTE_NODE_H

#include "conf/conf.h"
#include "route/route.h"

#include <uthash.h>

#define SERVICE_UNKNOWN 1e6 /* microseconds in a slot, before any request was seen to end */

#define AP_NODE_ABSENT SIZE_MAX
#define AP_NODE_STEPS 32 /* own dispatches and ends remembered to correct a late report */

typedef enum ap_health {
	AP_HEALTH_GOOD,
	AP_HEALTH_EJECTED, /* no work until @until */
	AP_HEALTH_TRIAL,   /* one request at a time */
	AP_HEALTH_RAMP,	   /* a growing part of its share until @until */
} ap_health_t;

/**
 * struct ap_load_step - an own dispatch (+1) or end (-1).
 */
typedef struct ap_load_step {
	ap_usec_t at;
	int step;
} ap_load_step_t;

/**
 * struct ap_group - upstreams of one pool in the own region.
 * @load: sum of the members' estimated requests
 * @batch: sum of their batch slots
 * @usual: running mean of load per batch slot
 */
typedef struct ap_group {
	size_t n;
	size_t ejected;
	double load;
	double batch;
	double mean_load;
	ap_usec_t mean_load_at;
} ap_group_t;

/**
 * struct ap_node - one upstream.
 * @dropped: next one to free, once it is out of the table
 * @slot: its number in the prefix index, with @epoch against reuse
 * @key: hash of its id
 * @index: in the view, or AP_NODE_ABSENT
 * @batch: requests it works on at once
 * @reported: running and waiting requests in the last report
 * @delta: own dispatches less own ends since that report was read
 * @slow: observed over expected wait, a running geometric mean as a logarithm
 * @failing: running share of attempts that failed
 * @others: other entries that send it work
 * @usual: running mean of its load; more where prefixes are held that many requests share
 * @limit: requests to have there at once, adapted to the measured delay
 */
typedef struct ap_node {
	char id[AP_NAME_MAX];
	UT_hash_handle hh;
	struct ap_node *dropped;
	uint16_t slot;
	uint16_t epoch;
	uint64_t key;
	size_t index;
	bool in_own_region;
	bool same_data_centre;
	bool listed_draining;
	ap_usec_t draining_since;
	const ap_pool_t *pool;
	ap_group_t *group;
	double batch;

	ap_usec_t report_at;
	bool has_report;
	double reported;
	double kv_used;
	double unreported;
	double other_entries;
	double counted_load;
	double mean_load;
	ap_usec_t mean_load_at;
	uint32_t running;
	ap_load_step_t steps[AP_NODE_STEPS];
	unsigned next_step;

	ap_health_t health;
	ap_usec_t until;
	unsigned failures;
	double failure_rate;
	ap_usec_t failure_rate_at;
	unsigned ejections;
	uint32_t trials;
	double log_slowness;
	ap_usec_t slowness_at;
	double limit;
	ap_usec_t limit_cut_at;

	uint64_t cache_seq;
	bool has_cache_seq;
	double cache_trust;
	uint32_t stored;
	uint32_t capacity;
} ap_node_t;

void ap_node_init(ap_node_t *node, const char *id, uint16_t slot, uint16_t epoch);
bool ap_node_draining(const ap_node_t *node, ap_usec_t now);
/**
 * struct ap_load - what is known of the requests at an upstream.
 * @mean: the expected number now
 * @sd: standard deviation, which grows with the age of the last report
 */
typedef struct ap_load {
	double mean;
	double sd;
} ap_load_t;

/** ap_node_load() - requests there now; @service_us is the mean time that one stays. */
ap_load_t ap_node_load(const ap_node_t *node, double service_us, ap_usec_t now);
/** ap_node_fresh() - is its last report younger than the mean time that a request stays? */
bool ap_node_fresh(const ap_node_t *node, double service_us, ap_usec_t now);
void ap_node_report(ap_node_t *node, const ap_load_report_t *report, ap_usec_t now);
/** ap_node_count() - an own request was dispatched (+1) or ended (-1). */
void ap_node_count(ap_node_t *node, int step, ap_usec_t now);
/** ap_node_slowness() - factor on its expected wait, 1 for an ordinary upstream. */
double ap_node_slowness(const ap_node_t *node, ap_usec_t now);
/** ap_node_observe() - an attempt's first token came after @waited, where @expected was foreseen.
 */
void ap_node_observe(ap_node_t *node, ap_usec_t waited, ap_usec_t expected, ap_usec_t now);
/** ap_node_recount() - brings the group's sum of loads up to date with this member. */
void ap_node_recount(ap_node_t *node, ap_usec_t now);

/**
 * ap_health_ended() - takes the end of an attempt into account.
 * @trial: what ap_health_started() returned for it
 *
 * Return: whether the state changed.
 */
bool ap_health_ended(ap_node_t *node, ap_attempt_end_t end, bool trial, ap_usec_t now);
/** ap_health_failure_rate() - expected share of attempts that fail there. */
double ap_health_failure_rate(const ap_node_t *node, ap_usec_t now);
/** ap_health_allows() - may @node get this request? @draw is a uniform random number. */
bool ap_health_allows(const ap_node_t *node, ap_class_t cls, double draw, ap_usec_t now);
/** ap_health_started() - moves an ejected node whose time is over to trial. Return: a trial. */
bool ap_health_started(ap_node_t *node, ap_usec_t now);
const char *ap_health_name(ap_health_t health);

#endif
