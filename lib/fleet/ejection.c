/*
 * Outlier ejection: an upstream that fails repeatedly gets no requests for a while, and is fully
 * back after one successful trial request. Its failure rate raises its cost in the choice of an
 * upstream before it is ejected.
 */
#include "fleet/private.h"

#include <math.h>

#define FAILURES_TO_EJECT 3    /* consecutive ones */
#define FAILURE_RATE_GAIN 0.15 /* weight of one result */
#define FAILURE_RATE_HALF_LIFE (4 * AP_SEC)
#define EJECT_BASE (500 * AP_MSEC) /* doubles with each consecutive ejection */
#define EJECT_DOUBLINGS_MAX 4

double ap_replica_failure_rate(const ap_replica_t *r, ap_usec_t now)
{
	double halves = (double)(now - r->failure_rate_at) / (double)FAILURE_RATE_HALF_LIFE;

	return r->failure_rate * exp2(-fmax(halves, 0));
}

static void record_sample(ap_replica_t *r, double failure, ap_usec_t now)
{
	double rate = ap_replica_failure_rate(r, now);

	r->failure_rate = rate + FAILURE_RATE_GAIN * (failure - rate);
	r->failure_rate_at = now;
}

bool ap_replica_healthy(const ap_replica_t *r, ap_usec_t now)
{
	if (r->ejected_until == 0)
		return true;
	return now >= r->ejected_until && !r->trial;
}

static void eject(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	unsigned doublings =
		r->ejections < EJECT_DOUBLINGS_MAX ? r->ejections : EJECT_DOUBLINGS_MAX;

	r->ejected_until = now + (EJECT_BASE << doublings);
	r->ejections++;
	ap_report_replica_event(f, AP_FLEET_EVENT_EJECTED, r, r->ejected_until - now, now);
	r->failures = 0;
}

static void record_failure(const ap_fleet_t *f, ap_replica_t *r, bool eject_now, ap_usec_t now)
{
	record_sample(r, 1, now);
	r->failures++;
	/* Sent before the ejection, or during it because all were ejected: says nothing new. */
	if (now < r->ejected_until)
		return;
	if (eject_now || r->ejected_until != 0 || r->failures >= FAILURES_TO_EJECT)
		eject(f, r, now);
}

void ap_replica_readmit(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->ejected_until == 0)
		return;
	r->failures = 0;
	r->ejected_until = 0;
	r->ejections = 0;
	ap_report_replica_event(f, AP_FLEET_EVENT_RECOVERED, r, 0, now);
}

static void record_recovery(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (now >= r->ejected_until)
		ap_replica_readmit(f, r, now);
}

void ap_replica_record_result(ap_fleet_t *f, ap_replica_t *r, ap_dispatch_result_t end, bool trial,
			      ap_usec_t now)
{
	if (trial)
		r->trial = false;
	if (end == AP_DISPATCH_DONE || end == AP_DISPATCH_ERROR || end == AP_DISPATCH_REFUSED ||
	    end == AP_DISPATCH_WEIGHTS)
		ap_path_seen(f, r, now);
	switch (end) {
	case AP_DISPATCH_DONE:
		record_sample(r, 0, now);
		r->failures = 0;
		record_recovery(f, r, now);
		break;
	case AP_DISPATCH_ADDRESS_REUSED:
		if (!r->address_reused)
			ap_report_replica_event(f, AP_FLEET_EVENT_ADDRESS_REUSED, r, 0, now);
		r->address_reused = true;
		break;
	case AP_DISPATCH_UNREACHABLE:
		ap_path_lost(f, r, now);
		record_failure(f, r, true, now);
		break;
	case AP_DISPATCH_ERROR:
		record_sample(r, 1, now);
		break;
	case AP_DISPATCH_BROKEN:
	case AP_DISPATCH_TIMED_OUT:
		record_failure(f, r, false, now);
		break;
	case AP_DISPATCH_REFUSED:
		ap_brittle_refused(f, r, now);
		record_sample(r, 1, now);
		break;
	case AP_DISPATCH_WEIGHTS:
	case AP_DISPATCH_CANCELLED:
	case AP_DISPATCH_SLOWER:
		break;
	}
}
