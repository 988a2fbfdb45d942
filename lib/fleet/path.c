/*
 * Paths from this instance to upstreams. That no connection can be made says nothing of the
 * upstream: other instances may reach it.
 */
#include "fleet/private.h"

void ap_path_lost(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->path_lost_at != 0)
		return;
	r->path_lost_at = now;
	ap_report_replica_event(f, AP_FLEET_EVENT_PATH_LOST, r, 0, now);
}

void ap_path_seen(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->path_lost_at == 0)
		return;
	ap_report_replica_event(f, AP_FLEET_EVENT_PATH_BACK, r, now - r->path_lost_at, now);
	r->path_lost_at = 0;
}
