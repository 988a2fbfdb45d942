/* Time until a change or a failure is known in the whole fleet. */
#ifndef AP_BENCH_TIMES_H
#define AP_BENCH_TIMES_H

#include "fleet.h"

/**
 * time_to_activate() - stops one node in ten without notice, then changes the configuration.
 * @mean: set to the mean over live nodes, seconds
 *
 * Returns the seconds until the last live node has activated the change. A node that has not
 * activated it after 60 s counts as 60 s.
 */
double time_to_activate(fleet_t *f, double *mean);
/**
 * time_to_remove() - stops one node without notice and restarts it at the end.
 * @region: set to the seconds until no live entry of its region lists it; at most 60
 * @fleet: the same for the whole fleet
 */
void time_to_remove(fleet_t *f, double *region, double *fleet);

#endif
