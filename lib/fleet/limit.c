/* Limits that upstreams name in their responses. */
#include "fleet/private.h"

void ap_fleet_limit_seen(ap_fleet_t *f, const char *id, double limit, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);
	bool limited = limit >= 0;

	if (!r || (limited == r->limited && (!limited || limit == r->limit)))
		return;
	r->limited = limited;
	r->limit = limited ? limit : 0;
	ap_report_replica_event(f, limited ? AP_FLEET_EVENT_LIMITED : AP_FLEET_EVENT_UNLIMITED, r,
				0, now);
}
