/* What the fleet is told of the store, and who watches it; included by fleet.h. */
#ifndef AP_FLEET_STORE_H
#define AP_FLEET_STORE_H

#include "fleet/fleet.h"

/**
 * ap_fleet_set_store_state() - sets what the next announcements say of the store.
 * @watching: this instance watches the store successfully
 * @era: of the store, to which @revision belongs
 * @revision: revision of the last change that it read
 */
void ap_fleet_set_store_state(ap_fleet_t *f, bool watching, uint64_t era, uint64_t revision);
/**
 * ap_fleet_set_store_silent() - sets whether the store is silent, so that what upstreams write
 * there may not arrive.
 */
void ap_fleet_set_store_silent(ap_fleet_t *f, bool silent);
/**
 * ap_fleet_store_watched() - returns whether enough other instances of the region watch the store,
 * so that this one need not. In a large region some instances watch for all; in a small one each
 * instance watches for itself.
 * @era: receives the latest era of the store that any of them knows
 * @revision: receives the revision of the last change of that era that any of them read
 */
bool ap_fleet_store_watched(const ap_fleet_t *f, ap_usec_t now, uint64_t *era, uint64_t *revision);
/**
 * ap_fleet_set_store_known() - sets how much of what was written to the store is known.
 * @read_at: when the latest call was made that the store has answered; what was written before is
 *	known. 0 for none
 * @unbroken_since: since when no change has been missed, be it one that was undone meanwhile; 0
 *	while some may be missing
 */
void ap_fleet_set_store_known(ap_fleet_t *f, ap_usec_t read_at, ap_usec_t unbroken_since);
/** ap_fleet_routes_moved() - a version is in force by which some streams begin in other pools. */
void ap_fleet_routes_moved(ap_fleet_t *f, ap_usec_t now);

#endif
