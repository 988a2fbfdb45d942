/* Bytes, processor time and store calls that a phase of the simulated fleet costs. */
#ifndef AP_BENCH_COST_H
#define AP_BENCH_COST_H

#include "fleet.h"

/**
 * struct cost - cost of one phase. Bytes and messages are sent and received control messages
 * without transport overhead; means and maxima are over the nodes that are up at the phase's end.
 * @bytes_mean, @bytes_max: bytes per second and node
 * @worst_node: number of the node with the most bytes per second
 * @worst_kinds: bytes per second of @worst_node by kind
 * @worst_sent: bytes per second that @worst_node sent
 * @worst_messages: messages per second of @worst_node
 * @messages_mean: messages per second and node
 * @busiest_second_bytes: most bytes of any node in one second
 * @busiest_second: number of that second within the phase, from 1
 * @busiest_second_kinds: bytes of that node in that second, by kind
 * @polls_max: loads per second read by the node that reads most
 * @age_sum: sum of the ages, in seconds, of loads that other nodes announced, sampled over all
 *           nodes and upstreams
 * @age_count: number of ages in @age_sum
 * @age_max: greatest of these ages, seconds
 * @core_mean, @core_max: processor time per node, per cent of a core
 * @reads, @writes: store calls per second by the whole fleet
 * @reads_worst, @writes_worst: the same in the worst minute
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
	double core_mean;
	double core_max;
	double reads;
	double writes;
	double reads_worst;
	double writes_worst;
} cost_t;

/**
 * struct phase - events that happen at random nodes during a phase.
 * @seconds: length of the phase
 * @changes_per_second: configuration changes
 * @restarts_per_second: processes that drain and are replaced at once
 * @failures_per_second: processes that end without notice and are replaced a minute later
 * @lose_data_centre: all nodes of one data centre stop when the phase begins
 */
typedef struct phase {
	int seconds;
	double changes_per_second;
	double restarts_per_second;
	double failures_per_second;
	bool lose_data_centre;
} phase_t;

/** run_phase() - runs the fleet through @phase in virtual time and returns what the phase cost. */
cost_t run_phase(fleet_t *f, const phase_t *phase);

#endif
