/*
 * A whole fleet's control in one process: membership, configuration, leases, orders and reports of
 * each entry, with messages passed in memory and a store in memory. Virtual time for what is
 * counted and timed; processor time is measured around each node's calls.
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

#define ENTRIES_MAX 420
#define UPSTREAMS_MAX 600

typedef struct node node_t;

/**
 * struct message - one message that was sent while messages are recorded.
 */
typedef struct message {
	ap_usec_t at;
	uint16_t from;
	uint16_t to;
	uint32_t len;
} message_t;

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
	unsigned process;
	bool listed;
	uint64_t in_bytes;
	double kinds[KINDS];	    /* bytes, both ways */
	double kinds_before[KINDS]; /* up to the present second */
	uint64_t bytes_before;	    /* both ways, up to the present second */
	uint64_t in_messages;
	double cpu; /* seconds */
	ap_usec_t activated_at;
	uint64_t generation;
	ap_usec_t next_poll;
	uint64_t polls;			  /* loads read by itself */
	ap_usec_t read_at[UPSTREAMS_MAX]; /* by itself */
	ap_usec_t load_at[UPSTREAMS_MAX]; /* of the newest load heard of; 0: none */
};

fleet_t *fleet_new(int n);
void fleet_free(fleet_t *f);
/** fleet_start() - a new process for entry @i, known to the list. */
void fleet_start(fleet_t *f, int i);
/** fleet_stop() - ends a process without a word. */
void fleet_stop(node_t *node);
/** fleet_change() - one caller changed by entry @by; the generation made, 0 when it failed. */
uint64_t fleet_change(fleet_t *f, int by);

#endif
