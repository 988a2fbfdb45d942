/* How long it takes until the whole fleet knows. */
#ifndef AP_BENCH_TIMES_H
#define AP_BENCH_TIMES_H

#include "fleet.h"

/**
 * time_to_activate() - seconds until all that are up have the next generation; one node in ten has
 * silently gone.
 * @mean: of the nodes
 */
double time_to_activate(fleet_t *f, double *mean);
/** time_to_remove() - seconds until no entry of the region, and of the fleet, names a dead one. */
void time_to_remove(fleet_t *f, double *region, double *fleet);

#endif
