/* What a phase of the fleet's life costs its nodes and the store. */
#ifndef AP_BENCH_COST_H
#define AP_BENCH_COST_H

#include "fleet.h"

/* What one phase cost. */
typedef struct cost {
	double bytes_mean;
	double bytes_max;
	double in_kind[3];    /* mean node */
	double worst_kind[3]; /* of the worst node */
	double worst_out;
	double messages_mean;
	double core_mean; /* per cent */
	double core_max;
	double reads; /* store calls a second, whole fleet */
	double writes;
	double reads_worst; /* a second, in the worst minute */
	double writes_worst;
} cost_t;

typedef struct phase {
	int seconds;
	double changes_per_second;
	double restarts_per_second;
	bool lose_data_centre;
} phase_t;

cost_t run_phase(fleet_t *f, const phase_t *phase);

#endif
