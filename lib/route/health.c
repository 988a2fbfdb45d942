/* Outlier ejection: failing upstreams get no work, then single trial requests, then a ramp. */
#include "route/node.h"

#include <math.h>

#define FAILURES_TO_EJECT 3		     /* without a success in between */
#define FAILURE_RATE_GAIN 0.2		     /* weight of a new attempt in the failure rate */
#define FAILURE_RATE_HALF_LIFE (10 * AP_SEC) /* decay of an unused upstream's failure rate */
#define EJECT_BASE (5 * AP_SEC)		     /* first ejection; doubled for each further one */
#define EJECT_DOUBLINGS_MAX 4
#define TRIAL_LONG_WAIT (5 * AP_SEC) /* until a long request, whose failure costs more, may try */
#define RAMP_TIME (10 * AP_SEC)
#define RAMP_START 0.1 /* share of the usual work right after the trial */

double ap_health_failure_rate(const ap_node_t *node, ap_usec_t now)
{
	double halves = (double)(now - node->failure_rate_at) / (double)FAILURE_RATE_HALF_LIFE;

	return node->failure_rate * exp2(-fmax(halves, 0));
}

static void update_failure_rate(ap_node_t *node, bool failed, ap_usec_t now)
{
	double rate = ap_health_failure_rate(node, now);

	node->failure_rate = rate + FAILURE_RATE_GAIN * ((failed ? 1 : 0) - rate);
	node->failure_rate_at = now;
}

static void eject(ap_node_t *node, ap_usec_t now)
{
	unsigned doublings = node->ejections;

	if (doublings > EJECT_DOUBLINGS_MAX)
		doublings = EJECT_DOUBLINGS_MAX;
	node->health = AP_HEALTH_EJECTED;
	node->until = now + (EJECT_BASE << doublings);
	node->ejections++;
	node->failures = 0;
	node->failure_rate = 0; /* otherwise the upstream would long not be chosen for a trial */
}

/* At most half of a pool's upstreams in the region may be ejected. */
static bool may_eject(const ap_node_t *node)
{
	return node->group && (node->group->ejected + 1) * 2 <= node->group->n;
}

/* Return: true when the health state changed. */
static bool on_failure(ap_node_t *node, ap_usec_t now)
{
	node->failures++;
	switch (node->health) {
	case AP_HEALTH_TRIAL:
		eject(node, now);
		return true;
	case AP_HEALTH_GOOD:
	case AP_HEALTH_RAMP:
		if (node->failures < FAILURES_TO_EJECT || !may_eject(node))
			return false;
		node->group->ejected++;
		eject(node, now);
		return true;
	case AP_HEALTH_EJECTED:
		break;
	}
	return false;
}

/* Return: true when the health state changed. */
static bool on_success(ap_node_t *node, ap_usec_t now)
{
	node->failures = 0;
	if (node->health == AP_HEALTH_TRIAL) {
		node->health = AP_HEALTH_RAMP;
		node->until = now + RAMP_TIME;
		if (node->group && node->group->ejected > 0)
			node->group->ejected--;
		return true;
	}
	if (node->health == AP_HEALTH_RAMP && now >= node->until) {
		node->health = AP_HEALTH_GOOD;
		node->ejections = 0;
		return true;
	}
	return false;
}

bool ap_health_ended(ap_node_t *node, ap_attempt_end_t end, bool trial, ap_usec_t now)
{
	if (trial && node->trials > 0)
		node->trials--;
	if (node->health == AP_HEALTH_TRIAL && !trial)
		return false;
	switch (end) {
	case AP_ATTEMPT_OK:
		update_failure_rate(node, false, now);
		return on_success(node, now);
	case AP_ATTEMPT_FAILED:
	case AP_ATTEMPT_TIMEOUT:
		update_failure_rate(node, true, now);
		return on_failure(node, now);
	case AP_ATTEMPT_REFUSED:
	case AP_ATTEMPT_CANCELLED:
	case AP_ATTEMPT_DEAD_CONNECTION:
		break;
	}
	return false;
}

bool ap_health_started(ap_node_t *node, ap_usec_t now)
{
	if (node->health == AP_HEALTH_EJECTED && now >= node->until)
		node->health = AP_HEALTH_TRIAL;
	if (node->health != AP_HEALTH_TRIAL)
		return false;
	node->trials++;
	return true;
}

/* May a request of this class be the trial? A reservation never is. */
static bool may_try(const ap_node_t *node, ap_class_t cls, ap_usec_t now)
{
	switch (cls) {
	case AP_CLASS_RESERVATION:
		return false;
	case AP_CLASS_LONG:
		return now >= node->until + TRIAL_LONG_WAIT;
	default:
		return now >= node->until;
	}
}

bool ap_health_allows(const ap_node_t *node, ap_class_t cls, double draw, ap_usec_t now)
{
	double share;

	switch (node->health) {
	case AP_HEALTH_GOOD:
		return true;
	case AP_HEALTH_EJECTED:
		return may_try(node, cls, now);
	case AP_HEALTH_TRIAL:
		return node->trials == 0 && may_try(node, cls, now);
	case AP_HEALTH_RAMP:
		break;
	}
	if (now >= node->until)
		return true;
	share = 1 - (1 - RAMP_START) * (double)(node->until - now) / (double)RAMP_TIME;
	return draw < share;
}

const char *ap_health_name(ap_health_t health)
{
	static const char *const names[] = {"good", "ejected", "trial", "ramp"};

	return names[health];
}
