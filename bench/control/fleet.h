/*
 * The control plane of a whole fleet in one process: membership, configuration, leases, orders and
 * reports of each entry. Messages and the store stay in memory. Counts and durations are in virtual
 * time; processor time is real and measured around each node's calls.
 */
#ifndef AP_BENCH_FLEET_H
#define AP_BENCH_FLEET_H

#include "../test/fake_gate.h"
#include "../test/fake_net.h"
#include "kinds.h"
#include "member/member.h"
#include "order/order.h"
#include "report/report.h"
#include "spread/spread.h"
#include "wire/wire.h"

#define ENTRIES_MAX 420 /* size of the largest fleet */
#define UPSTREAMS_MAX 600

typedef struct node node_t;

/**
 * struct message - a recorded message.
 * @at: virtual time when it was sent
 * @from, @to: numbers of the nodes
 * @len: bytes
 */
typedef struct message {
	ap_usec_t at;
	uint16_t from;
	uint16_t to;
	uint32_t len;
} message_t;

/** struct record - messages in the order in which they were sent, kept while @on is set. */
typedef struct record {
	bool on;
	message_t *messages;
	size_t n;
	size_t capacity;
} record_t;

typedef struct fleet {
	fake_sim_t sim;
	fake_net_t net;
	fake_store_t store;
	node_t *nodes;
	int n;
	int regions;
	int upstreams;
	ap_upstream_t *upstream_list;
	uint64_t epoch;
	ap_entry_t *scratch;
	json_t *doc;
	record_t record;
} fleet_t;

struct node {
	fleet_t *f;
	int number;
	fake_port_t port;
	fake_gate_t gate;
	ap_entry_t entry;
	ap_member_t *member;
	ap_spread_t *spread;
	ap_order_t *order;
	ap_report_t *report;
	bool down;
	unsigned process; /* changes at each start and stop; ticks of an earlier process are void */
	bool listed;
	uint64_t in_bytes;
	double kinds[KINDS];	    /* bytes sent and received */
	double kinds_before[KINDS]; /* value of @kinds when the current second began */
	uint64_t bytes_before;	    /* sent and received when the current second began */
	uint64_t in_messages;
	double cpu; /* seconds */
	ap_usec_t activated_at;
	uint64_t generation;
	ap_usec_t next_poll;
	uint64_t polls;			  /* loads that this node read from upstreams */
	ap_usec_t read_at[UPSTREAMS_MAX]; /* last read by this node */
	ap_usec_t load_at[UPSTREAMS_MAX]; /* time of the newest load received; 0: none */
};

/** fleet_new() - starts @n entries and runs them for a minute, with one change of configuration. */
fleet_t *fleet_new(int n);
void fleet_free(fleet_t *f);
/** fleet_start() - starts a new process of entry @i, which gets the list of all entries. */
void fleet_start(fleet_t *f, int i);
/** fleet_stop() - ends a process without an announcement. */
void fleet_stop(node_t *node);
/**
 * fleet_change() - changes the rate of one caller through entry @by.
 *
 * Returns the new generation, or 0 when the proposal failed.
 */
uint64_t fleet_change(fleet_t *f, int by);

#endif
