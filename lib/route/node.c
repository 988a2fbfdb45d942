/* Load, slowness and concurrency limit of one upstream. */
#include "route/node.h"

#include <math.h>
#include <string.h>

#define LEAVING_HOLD (300 * AP_SEC)   /* a told departure outlives a lagging list */
#define SLOW_HALF_LIFE (30 * AP_SEC)  /* an unused upstream's slowness is forgotten */
#define SLOW_GAIN 0.15		      /* weight of a new observation */
#define SLOW_MAX 4.0		      /* bound on the logarithm of the factor */
#define WAIT_FLOOR (5 * AP_MSEC)      /* shorter waits say nothing about slowness */
#define REPORT_TRUST (2 * AP_SEC)     /* age at which a report has lost most of its worth */
#define LIMIT_FACTOR_MAX 4.0	      /* limit in batches */
#define LIMIT_CUT 0.9		      /* on delay above what was expected */
#define LIMIT_CUT_PERIOD (1 * AP_SEC) /* one cut for one congestion */
#define LIMIT_DELAY_RATIO 3.0	      /* observed over expected wait that means congestion */
#define TRUST_START 0.9

void ap_node_init(ap_node_t *node, const char *id, uint16_t slot, uint16_t epoch)
{
	memset(node, 0, sizeof(*node));
	ap_copy_name(node->id, sizeof(node->id), id);
	node->key = ap_hash_str(id, 0);
	node->slot = slot;
	node->epoch = epoch;
	node->index = AP_NODE_ABSENT;
	node->leaving_at = AP_NEVER;
	node->trust = TRUST_START;
	node->batch = 1;
}

bool ap_node_leaving(const ap_node_t *node, ap_usec_t now)
{
	if (node->listed_leaving)
		return true;
	return node->leaving_at <= now && now - node->leaving_at < LEAVING_HOLD;
}

double ap_node_load(const ap_node_t *node, ap_usec_t now)
{
	double own = node->running;
	double mean = 0;
	double fresh;
	double load;

	if (!node->has_report)
		return own;
	if (node->group && node->group->batch > 0)
		mean = node->group->load / node->group->batch * node->batch;
	fresh = exp(-(double)(now - node->report_at) / (double)REPORT_TRUST);
	load = mean + (node->reported - mean) * fresh + node->delta;
	return load > own ? load : own;
}

static double unregressed_load(const ap_node_t *node)
{
	double load = node->has_report ? node->reported + node->delta : 0;

	return load > node->running ? load : node->running;
}

void ap_node_recount(ap_node_t *node, ap_usec_t now)
{
	double load = unregressed_load(node);

	(void)now;
	if (node->group)
		node->group->load += load - node->counted;
	node->counted = load;
}

void ap_node_report(ap_node_t *node, const ap_load_report_t *report)
{
	if (node->has_report && report->at <= node->report_at)
		return;
	node->has_report = true;
	node->report_at = report->at;
	node->reported = (double)report->running + report->waiting;
	node->kv_used = report->kv_used;
	node->delta = 0;
	for (unsigned i = 0; i < AP_NODE_DELTAS; i++)
		if (node->deltas[i].step != 0 && node->deltas[i].at > report->at)
			node->delta += node->deltas[i].step;
	ap_node_recount(node, report->at);
}

void ap_node_count(ap_node_t *node, int step, ap_usec_t now)
{
	if (step < 0 && node->running == 0)
		return;
	node->running += (uint32_t)step;
	node->delta += step;
	node->deltas[node->next_delta] = (ap_delta_t){.at = now, .step = step};
	node->next_delta = (node->next_delta + 1) % AP_NODE_DELTAS;
	ap_node_recount(node, now);
}

static double decayed_slow(const ap_node_t *node, ap_usec_t now)
{
	double halves = (double)(now - node->slow_at) / (double)SLOW_HALF_LIFE;

	return halves > 0 ? node->slow * exp2(-halves) : node->slow;
}

double ap_node_slowness(const ap_node_t *node, ap_usec_t now)
{
	return exp(decayed_slow(node, now));
}

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
	double seen = (double)(waited > WAIT_FLOOR ? waited : WAIT_FLOOR);
	double foreseen = (double)(expected > WAIT_FLOOR ? expected : WAIT_FLOOR);
	double slow = decayed_slow(node, now);
	double sample = slow + log(seen / foreseen);

	slow += SLOW_GAIN * (sample - slow);
	node->slow = fmin(fmax(slow, 0), SLOW_MAX);
	node->slow_at = now;
	adapt_limit(node, seen / foreseen, now);
}
