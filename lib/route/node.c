/* Estimates the load, the slowness and the concurrency limit of one upstream. */
#include "route/node.h"

#include <math.h>
#include <string.h>

/* For this time, an announced drain overrides the instance list, which lags. */
#define DRAIN_HOLD (300 * AP_SEC)
#define SLOW_HALF_LIFE (30 * AP_SEC) /* decay of an unused upstream's slowness */
#define SLOW_GAIN 0.15		     /* weight of a new observation in the slowness */
#define SLOW_MAX 4.0		     /* bound on log_slowness */
#define WAIT_FLOOR (5 * AP_MSEC)     /* shorter waits show no slowness and count as this */
#define QUEUE_SLOT_SHARE 0.1	     /* of the freed slots, for the queue; new work gets the rest */
#define OTHER_ENTRIES_PART 0.2	     /* dispatches assumed of each other entry per own one */
#define GROUP_MEAN_TIME (60.0 * AP_SEC) /* time constant of a pool's mean load, microseconds */
#define NODE_MEAN_TIME (10.0 * AP_SEC)	/* the same for one upstream */
#define NODE_MEAN_PART 0.35		/* part of the upstream's own mean in the baseline load */
#define LOAD_VARIANCE_MIN 0.25		/* variance of a fresh report, requests squared */
#define LIMIT_FACTOR_MAX 4.0		/* upper bound of the limit, in batches */
#define LIMIT_CUT 0.9			/* factor on the limit when congestion is observed */
#define LIMIT_CUT_PERIOD (1 * AP_SEC)	/* between cuts: one congestion slows many attempts */
#define LIMIT_DELAY_RATIO 3.0 /* observed over expected wait above which there is congestion */
#define TRUST_START 0.9	      /* initial cache trust */

void ap_node_init(ap_node_t *node, const char *id, uint16_t slot, uint16_t epoch)
{
	memset(node, 0, sizeof(*node));
	ap_copy_name(node->id, sizeof(node->id), id);
	node->key = ap_hash_str(id, 0);
	node->slot = slot;
	node->epoch = epoch;
	node->index = AP_NODE_ABSENT;
	node->draining_since = AP_NEVER;
	node->cache_trust = TRUST_START;
	node->batch = 1;
}

bool ap_node_draining(const ap_node_t *node, ap_usec_t now)
{
	if (node->listed_draining)
		return true;
	return node->draining_since <= now && now - node->draining_since < DRAIN_HOLD;
}

/*
 * The load to which the estimate returns as a report ages. An upstream's own mean differs from its
 * pool's because of the prefixes that it caches. The own mean counts only while the report is
 * fresh: with late reports it would follow the load swings that routing itself causes.
 */
static double baseline_load(const ap_node_t *node, bool fresh)
{
	double part = fresh ? NODE_MEAN_PART : 0;

	if (!node->group || node->group->batch <= 0)
		return node->running;
	return (1 - part) * node->group->mean_load * node->batch + part * node->mean_load;
}

bool ap_node_fresh(const ap_node_t *node, double service_us, ap_usec_t now)
{
	return node->has_report && (double)(now - node->report_at) <= service_us;
}

/*
 * A report ages as the requests counted in it end and others arrive. The expected load moves
 * towards the baseline load, and its variance grows to that of independent arrivals. A queue
 * persists longer: it shrinks only as fast as slots become free.
 */
ap_load_t ap_node_load(const ap_node_t *node, double service_us, ap_usec_t now)
{
	double mean = baseline_load(node, ap_node_fresh(node, service_us, now));
	double own = node->running;
	ap_load_t load = {.mean = own, .sd = sqrt(mean + LOAD_VARIANCE_MIN)};
	double age;
	double fresh;
	double queued;
	double left;
	double running;

	if (!node->has_report)
		return load;
	service_us = service_us > 0 ? service_us : SERVICE_US_DEFAULT;
	age = fmax((double)(now - node->report_at), 0);
	fresh = exp(-age / service_us);
	queued = fmax(node->reported - node->batch, 0);
	left = fmax(queued - age * node->batch / service_us * QUEUE_SLOT_SHARE, 0);
	running = fmin(mean, node->batch);
	running += (node->reported - queued - running) * fresh;
	load.mean =
		running + left + node->unreported * (1 + OTHER_ENTRIES_PART * node->other_entries);
	load.mean = fmax(load.mean, own);
	load.sd = sqrt(mean * (1 - fresh * fresh) + LOAD_VARIANCE_MIN);
	return load;
}

/* The load without the return to the baseline load. */
static double last_known_load(const ap_node_t *node)
{
	double load = node->has_report ? node->reported + node->unreported : 0;

	return load > node->running ? load : node->running;
}

static void update_group_mean_load(ap_group_t *group, ap_usec_t now)
{
	double keep;

	if (!group || group->batch <= 0)
		return;
	keep = exp(-(double)(now - group->mean_load_at) / GROUP_MEAN_TIME);
	if (group->mean_load_at == 0)
		keep = 0;
	if (now <= group->mean_load_at)
		return;
	group->mean_load = keep * group->mean_load + (1 - keep) * group->load / group->batch;
	group->mean_load_at = now;
}

static void update_node_mean_load(ap_node_t *node, double load, ap_usec_t now)
{
	double keep = exp(-(double)(now - node->mean_load_at) / NODE_MEAN_TIME);

	if (node->mean_load_at == 0)
		keep = 0;
	if (now <= node->mean_load_at)
		return;
	node->mean_load = keep * node->mean_load + (1 - keep) * load;
	node->mean_load_at = now;
}

void ap_node_recount(ap_node_t *node, ap_usec_t now)
{
	double load = last_known_load(node);

	if (node->group)
		node->group->load += load - node->counted_load;
	node->counted_load = load;
	update_node_mean_load(node, load, now);
	update_group_mean_load(node->group, now);
}

void ap_node_report(ap_node_t *node, const ap_load_report_t *report, ap_usec_t now)
{
	if (node->has_report && report->at <= node->report_at)
		return;
	node->has_report = true;
	node->report_at = report->at;
	node->reported = (double)report->running + report->waiting;
	node->kv_used = report->kv_used;
	node->unreported = 0;
	for (unsigned i = 0; i < AP_NODE_STEPS; i++)
		if (node->steps[i].step != 0 && node->steps[i].at > report->at)
			node->unreported += node->steps[i].step;
	ap_node_recount(node, now);
}

void ap_node_count(ap_node_t *node, int step, ap_usec_t now)
{
	if (step < 0 && node->running == 0)
		return;
	node->running += (uint32_t)step;
	node->unreported += step;
	node->steps[node->next_step] = (ap_load_step_t){.at = now, .step = step};
	node->next_step = (node->next_step + 1) % AP_NODE_STEPS;
	ap_node_recount(node, now);
}

static double decayed_slow(const ap_node_t *node, ap_usec_t now)
{
	double halves = (double)(now - node->slowness_at) / (double)SLOW_HALF_LIFE;

	return halves > 0 ? node->log_slowness * exp2(-halves) : node->log_slowness;
}

double ap_node_slowness(const ap_node_t *node, ap_usec_t now)
{
	return exp(decayed_slow(node, now));
}

/* Raises the limit additively while at least half of it is in use; cuts it by a factor on
 * congestion. */
static void adapt_limit(ap_node_t *node, double ratio, ap_usec_t now)
{
	double max = node->batch * LIMIT_FACTOR_MAX;

	if (ratio <= LIMIT_DELAY_RATIO) {
		if (node->running + 1 >= node->limit / 2)
			node->limit += 1 / node->limit;
	} else if (now - node->limit_cut_at >= LIMIT_CUT_PERIOD) {
		node->limit *= LIMIT_CUT;
		node->limit_cut_at = now;
	}
	node->limit = fmin(fmax(node->limit, 1), max);
}

void ap_node_observe(ap_node_t *node, ap_usec_t waited, ap_usec_t expected, ap_usec_t now)
{
	double observed_us = (double)(waited > WAIT_FLOOR ? waited : WAIT_FLOOR);
	double expected_us = (double)(expected > WAIT_FLOOR ? expected : WAIT_FLOOR);
	double slow = decayed_slow(node, now);
	double sample = slow + log(observed_us / expected_us);

	slow += SLOW_GAIN * (sample - slow);
	node->log_slowness = fmin(fmax(slow, 0), SLOW_MAX);
	node->slowness_at = now;
	adapt_limit(node, observed_us / expected_us, now);
}
