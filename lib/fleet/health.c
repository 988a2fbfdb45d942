/* Failing upstreams get less work, then none for a while, and come back through one trial. */
#include "fleet/private.h"

#include <math.h>

#define FAILURES_TO_EJECT 3
#define FAILING_GAIN 0.15
#define FAILING_HALF_LIFE (4 * AP_SEC)
#define EJECT_BASE (500 * AP_MSEC)
#define EJECT_DOUBLINGS_MAX 4

double ap_replica_failure_rate(const ap_replica_t *r, ap_usec_t now)
{
	double halves = (double)(now - r->failing_at) / (double)FAILING_HALF_LIFE;

	return r->failing * exp2(-fmax(halves, 0));
}

static void note(ap_replica_t *r, double bad, ap_usec_t now)
{
	double failing = ap_replica_failure_rate(r, now);

	r->failing = failing + FAILING_GAIN * (bad - failing);
	r->failing_at = now;
}

bool ap_replica_healthy(const ap_replica_t *r, ap_usec_t now)
{
	if (r->until == 0)
		return true;
	return now >= r->until && !r->trial;
}

static void eject(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	unsigned doublings =
		r->ejections < EJECT_DOUBLINGS_MAX ? r->ejections : EJECT_DOUBLINGS_MAX;

	r->until = now + (EJECT_BASE << doublings);
	r->ejections++;
	ap_report_replica_event(f, AP_FLEET_EVENT_EJECTED, r, r->until - now, now);
	r->failures = 0;
}

static void failed(const ap_fleet_t *f, ap_replica_t *r, bool at_once, ap_usec_t now)
{
	note(r, 1, now);
	r->failures++;
	/* Work that was sent before it was ejected says nothing new. */
	if (now < r->until)
		return;
	if (at_once || r->until != 0 || r->failures >= FAILURES_TO_EJECT)
		eject(f, r, now);
}

static void recovered(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->until == 0 || now < r->until)
		return;
	r->until = 0;
	r->ejections = 0;
	ap_report_replica_event(f, AP_FLEET_EVENT_RECOVERED, r, 0, now);
}

void ap_replica_record_result(ap_fleet_t *f, ap_replica_t *r, ap_dispatch_result_t end, bool trial,
			      ap_usec_t now)
{
	if (trial)
		r->trial = false;
	switch (end) {
	case AP_DISPATCH_DONE:
		note(r, 0, now);
		r->failures = 0;
		recovered(f, r, now);
		break;
	case AP_DISPATCH_ADDRESS_REUSED:
		if (!r->gone)
			ap_report_replica_event(f, AP_FLEET_EVENT_ADDRESS_REUSED, r, 0, now);
		r->gone = true;
		break;
	case AP_DISPATCH_UNREACHABLE:
		failed(f, r, true, now);
		break;
	case AP_DISPATCH_ERROR:
		note(r, 1, now);
		break;
	case AP_DISPATCH_BROKEN:
	case AP_DISPATCH_TIMED_OUT:
		failed(f, r, false, now);
		break;
	case AP_DISPATCH_REFUSED:
		note(r, 1, now);
		break;
	case AP_DISPATCH_CANCELLED:
		break;
	}
}
