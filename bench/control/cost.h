/* What a phase of the fleet's life costs its nodes and the store. */
#ifndef AP_BENCH_COST_H
#define AP_BENCH_COST_H

#include "fleet.h"

/**
 * struct cost - what one phase cost; bytes are those of messages alone, both ways.
 * @worst: number of the node with the most bytes
 * @worst_kinds: its bytes a second by what they are for
 * @busiest_second_bytes: most bytes of any node in one second
 * @busiest_second: that second of the phase, from 1
 * @busiest_second_kinds: its bytes by what they are for
 * @polls_max: loads read a second by the node that reads most
 * @age_sum: seconds since loads heard of others were read, over all nodes and upstreams
 * @ages: how many of them
 * @age_max: the oldest one
 * @reads: store calls a second, whole fleet
 * @reads_worst: a second, in the worst minute
 */
typedef struct cost {
	double bytes_mean;
	double bytes_max;
	int worst_node;
	double worst_kinds[KINDS];
	double worst_sent;
	double worst_messages;
	double messages_mean;
	double busiest_second_bytes;
	int busiest_second;
	double busiest_second_kinds[KINDS];
	double polls_max;
	double age_sum;
	double age_count;
	double age_max;
	double core_mean; /* per cent */
	double core_max;
	double reads;
	double writes;
	double reads_worst;
	double writes_worst;
} cost_t;

typedef struct phase {
	int seconds;
	double changes_per_second;
	double restarts_per_second;
	double failures_per_second; /* without a word; a new process comes after a minute */
	bool lose_data_centre;
} phase_t;

cost_t run_phase(fleet_t *f, const phase_t *phase);

#endif
