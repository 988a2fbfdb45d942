/* Cold upstreams can take few requests; see owner.c for who may send them. */
#include "fleet/private.h"

#include <math.h>

#define RATE_MIN 0.5 /* requests per second */

void ap_replica_set_cold_left(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t cold_left,
			      const char *source, ap_usec_t now)
{
	const ap_fleet_event_t event = {
		.kind = AP_FLEET_EVENT_COLD,
		.id = r->entry.id,
		.entry_age = now - r->received_at,
		.lasts = cold_left,
		.source = source,
	};
	bool was_warm = now >= r->cold_until;

	if (cold_left <= 0 || now + cold_left <= r->cold_until)
		return;
	r->cold_until = now + cold_left;
	if (was_warm && f->config.on_event)
		f->config.on_event(f->config.ctx, &event);
}

bool ap_cold_allows(ap_fleet_t *f, ap_replica_t *r, const ap_plan_pool_t *pool, ap_usec_t now)
{
	double bound = f->config.cold_over * pool->warmup_rate + f->config.cold_slack;
	/* In one second, the owner's full bucket adds a request to those at this rate. */
	double rate = fmax(bound / AP_OWNERS_MAX - 1, RATE_MIN);

	return ap_owner_allows(f, r, &r->cold, rate, now);
}
