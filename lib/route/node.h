/* Load, health and concurrency limit of one upstream, as seen here. Private to lib/route. */
#ifndef AP_ROUTE_NODE_H
#define AP_ROUTE_NODE_H

#include "conf/conf.h"
#include "route/route.h"

#include <uthash.h>

#define SERVICE_US_DEFAULT 1e6 /* assumed microseconds in a batch slot until a request ended */

#define AP_NODE_ABSENT SIZE_MAX /* ap_node.index of an upstream that is not in the view */
#define AP_NODE_STEPS 32	/* own dispatches and ends kept to correct late reports */

typedef enum ap_health {
	AP_HEALTH_GOOD,
	AP_HEALTH_EJECTED, /* no new work until @until */
	AP_HEALTH_TRIAL,   /* one request at a time */
	AP_HEALTH_RAMP,	   /* a growing part of its usual share until @until */
} ap_health_t;

/**
 * struct ap_load_step - one dispatch (+1) or end (-1) by this entry.
 */
typedef struct ap_load_step {
	ap_usec_t at;
	int step;
} ap_load_step_t;

/**
 * struct ap_group - the upstreams of one pool in the own region.
 * @n: number of upstreams
 * @ejected: number of upstreams that are ejected or on trial
 * @load: sum of the last known loads (ap_node.counted_load), in requests
 * @batch: sum of the batch slots
 * @mean_load: running mean of load per batch slot
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
 * struct ap_node - what this entry knows about one upstream.
 * @dropped: next node of the list to free, once out of the table
 * @slot: number in the prefix index and in ap_route.slots; unrelated to batch slots
 * @epoch: distinguishes upstreams that used the same slot
 * @key: hash of the id
 * @index: index in the view, or AP_NODE_ABSENT
 * @listed_draining: the view lists the upstream as draining
 * @draining_since: when draining became known, or AP_NEVER
 * @group: of its pool; NULL outside the own region
 * @batch: requests that the upstream works on at once, the pool's slots
 * @reported: running and waiting requests in the last report
 * @kv_used: share of KV memory in use in the last report, 0 to 1
 * @unreported: own dispatches less own ends since that report was read
 * @other_entries: number of other entries that send work to the upstream
 * @counted_load: load included in the group's sum
 * @mean_load: running mean of the load; higher at upstreams with prefixes that many requests share
 * @running: own requests in progress
 * @steps: ring of the last own dispatches and ends
 * @pause: the time without requests that the upstream asked for; 0 for none so far
 * @paused_until: end of that time
 * @until: end of the ejection or of the ramp
 * @failures: failed attempts since the last success or ejection
 * @failure_rate: running share of attempts that failed, as of @failure_rate_at
 * @ejections: ejections since the upstream was last good
 * @trials: trial requests in progress
 * @log_slowness: logarithm of the running geometric mean of observed over expected wait
 * @limit: concurrency limit adapted to the observed delay, in requests
 * @limit_cut_at: time of the last cut of @limit
 * @cache_seq: number of the last cache event
 * @cache_trust: expected share of the presumed cached tokens that are really cached
 * @stored: blocks that the engine reported as stored
 * @capacity: blocks that the cache holds; 0 when unknown
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

	ap_usec_t pause;
	ap_usec_t paused_until;
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
/** ap_node_draining() - is the upstream draining by the view or by an announcement? */
bool ap_node_draining(const ap_node_t *node, ap_usec_t now);

/**
 * struct ap_load - estimated number of requests at an upstream.
 * @mean: expected number
 * @sd: standard deviation, which grows with the age of the last report
 */
typedef struct ap_load {
	double mean;
	double sd;
} ap_load_t;

/** ap_node_load() - estimates the load; @service_us is the mean time that a request takes. */
ap_load_t ap_node_load(const ap_node_t *node, double service_us, ap_usec_t now);
/** ap_node_fresh() - is the last report at most @service_us old? */
bool ap_node_fresh(const ap_node_t *node, double service_us, ap_usec_t now);
/** ap_node_report() - takes a load report; one no newer than the last is ignored. */
void ap_node_report(ap_node_t *node, const ap_load_report_t *report, ap_usec_t now);
/** ap_node_count() - counts a request of this entry that was dispatched (+1) or ended (-1). */
void ap_node_count(ap_node_t *node, int step, ap_usec_t now);
/** ap_node_slowness() - factor to apply to the expected wait; 1 for an ordinary upstream. */
double ap_node_slowness(const ap_node_t *node, ap_usec_t now);
/** ap_node_observe() - takes an observed wait for the first token and the expected one. */
void ap_node_observe(ap_node_t *node, ap_usec_t waited, ap_usec_t expected, ap_usec_t now);
/** ap_node_recount() - updates this node's part of the group's load, and the mean loads. */
void ap_node_recount(ap_node_t *node, ap_usec_t now);

/**
 * ap_health_ended() - updates the health at the end of an attempt.
 * @trial: what ap_health_started() returned for the attempt
 *
 * Return: true when the health state changed.
 */
bool ap_health_ended(ap_node_t *node, ap_attempt_end_t end, bool trial, ap_usec_t now);
/** ap_health_failure_rate() - expected share of attempts that fail at @node. */
double ap_health_failure_rate(const ap_node_t *node, ap_usec_t now);
/** ap_health_allows() - may @node get this request? @draw is uniformly random in [0, 1). */
bool ap_health_allows(const ap_node_t *node, ap_class_t cls, double draw, ap_usec_t now);
/**
 * ap_health_started() - records the start of an attempt; puts an ejected node whose ejection is
 * over on trial.
 *
 * Return: true when the attempt is a trial.
 */
bool ap_health_started(ap_node_t *node, ap_usec_t now);
const char *ap_health_name(ap_health_t health);

#endif
