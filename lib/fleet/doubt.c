/*
 * Upstreams of a data centre that is back from evacuation may be cold or not. To take all for cold
 * costs seconds of half a region, to take none for cold kills them: one instance asks each of its
 * health, and tells the others of its region what it said.
 */
#include "fleet/private.h"

#include <string.h>

#define ASK_AFTER (250 * AP_MSEC)    /* what makes them cold has happened by then */
#define ASK_AGAIN (700 * AP_MSEC)    /* the answer was lost or refused */
#define ANSWER_TOLD (1000 * AP_MSEC) /* some rounds of what instances tell each other */
#define ENTRY_DELAY (1500 * AP_MSEC) /* an entry that comes this much later was written since */

bool ap_replica_maybe_cold(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t warmup,
			   ap_usec_t now)
{
	const ap_place_t *place = ap_place(f, r->entry.data_centre);

	if (!place || place->evacuation_ended_at == 0 || now >= place->evacuation_ended_at + warmup)
		return false;
	return r->seen < place->evacuation_ended_at + ENTRY_DELAY &&
	       r->answered <= place->evacuation_ended_at;
}

static bool is_to_ask(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	const ap_pool_state_t *p = ap_pool_state(f, r->entry.pool);
	const ap_place_t *place = ap_place(f, r->entry.data_centre);

	return p && place && strcmp(r->region, f->config.region) == 0 &&
	       ap_replica_maybe_cold(f, r, p->warmup, now) &&
	       now >= place->evacuation_ended_at + ASK_AFTER &&
	       (r->asked == 0 || now - r->asked >= ASK_AGAIN) && ap_replica_usable(f, r, now) &&
	       ap_cold_is_owner(f, r, now);
}

bool ap_fleet_next_health_check(ap_fleet_t *f, ap_usec_t now, ap_replica_entry_t *whom)
{
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!is_to_ask(f, r, now))
			continue;
		r->asked = now;
		*whom = r->entry;
		return true;
	}
	return false;
}

void ap_replica_set_cold_left(ap_replica_t *r, ap_usec_t cold_left, ap_usec_t now)
{
	r->answered = now;
	if (cold_left > 0 && now + cold_left > r->cold_until)
		r->cold_until = now + cold_left;
}

void ap_fleet_health_checked(ap_fleet_t *f, const char *id, ap_usec_t cold_left, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (!r)
		return;
	ap_replica_set_cold_left(r, cold_left, now);
	r->announce_until = now + ANSWER_TOLD;
}
