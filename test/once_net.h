/*
 * Simulation in virtual time: a queue of events, the nodes' clocks, and a network that loses,
 * duplicates, delays and reorders messages.
 */
#ifndef ONCE_NET_H
#define ONCE_NET_H

#include "once/once.h"
#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORLD_NODES_MAX 16
#define WORLD_TICK (50 * AP_MSEC)

/**
 * struct world_rates - how often faults occur and how long they last; 0: never.
 * @loss, @duplicate, @late: chance for each message; a late one is delayed by about @late_delay
 * @delay: mean delay of other messages
 * @pause_every, @crash_every, @cut_every, @drain_every: mean time between two faults of all nodes
 * @pause, @restart, @cut: mean time until the node goes on, is up again, or the cut ends
 * @service: mean time that the service takes for a call
 */
typedef struct world_rates {
	double loss;
	double duplicate;
	double late;
	ap_usec_t delay;
	ap_usec_t late_delay;
	ap_usec_t pause_every;
	ap_usec_t pause;
	ap_usec_t crash_every;
	ap_usec_t restart;
	ap_usec_t cut_every;
	ap_usec_t cut;
	ap_usec_t drain_every;
	ap_usec_t service;
	double stale;	  /* chance that a reading of the clock is from before a pause */
	double refuse;	  /* chance that the service refuses before it starts */
	double reuse;	  /* chance that a permit is presented once more later */
	double elsewhere; /* chance that it is presented at another node */
} world_rates_t;

typedef enum world_event_kind {
	WORLD_MESSAGE,
	WORLD_TICK_DUE,
	WORLD_USE,
	WORLD_RESOLVE,
	WORLD_RUN,
	WORLD_ENDED,
	WORLD_RETRY,
	WORLD_UP,
	WORLD_OTHER, /* for the callback @other */
} world_event_kind_t;

typedef struct world_event {
	ap_usec_t at;
	uint64_t order;
	world_event_kind_t kind;
	unsigned node;
	unsigned from;
	size_t call;
	uint64_t token;
	ap_id_t inc;
	ap_outcome_t outcome;
	char *data;
	size_t len;
} world_event_t;

typedef struct world_node {
	char id[AP_NAME_MAX];
	bool up;
	unsigned stale; /* readings of the clock that are from before the pause */
	bool draining;
	unsigned side;
	ap_id_t inc;
	unsigned char key[AP_ONCE_KEY_BYTES];
	ap_once_t *once;
	ap_usec_t clock_offset;
	ap_usec_t paused_at;
	ap_usec_t paused_until;
	void *world;
} world_node_t;

/* One permit and what the oracle knows of its call. */
typedef struct world_call {
	char text[AP_PERMIT_TEXT_MAX];
	unsigned issuer;
	unsigned committed; /* requests sent that the service will run */
	unsigned runs;
	unsigned tries;
	bool reported_not_run;
	bool has_result;
	ap_outcome_t result;
	ap_usec_t waited; /* from use to dispatch */
} world_call_t;

typedef struct world_use {
	size_t call;
	ap_usec_t at;
	ap_once_verdict_kind_t kind; /* the last verdict */
	bool has_response;	     /* the verdict came with a stored response */
} world_use_t;

typedef struct world {
	ap_rng_t rng;
	ap_usec_t now;
	ap_usec_t next_call;
	ap_usec_t next_fault[4];
	world_rates_t rates;
	ap_once_limits_t limits;
	world_node_t nodes[WORLD_NODES_MAX];
	unsigned n_nodes;
	unsigned n_south;	/* the last nodes, which are in a remote region */
	bool reuse_incarnation; /* breaks a rule: a restarted node keeps its incarnation */
	bool cut;
	ap_usec_t cut_until;
	world_event_t *heap;
	size_t n_heap;
	size_t heap_max;
	uint64_t order;
	world_call_t *calls;
	size_t n_calls;
	size_t calls_max;
	world_use_t *uses;
	size_t n_uses;
	size_t uses_max;
	/* May change a message that is sent; false loses it. */
	bool (*tamper)(struct world *w, unsigned from, unsigned to, ap_once_msg_t *msg);
	uint64_t events;
	uint64_t messages;
	uint64_t verdicts[AP_ONCE_REFUSED + 1];
	unsigned invariant_violations; /* reported by the library */
	unsigned oracle_violations;    /* detected by the oracle */
	const char *first_violation;
	/* Takes events of the kind WORLD_OTHER. */
	void (*other)(struct world *w, const world_event_t *event);
	void *ctx;
} world_t;

static inline void world_violation(world_t *w, unsigned *count, const char *what)
{
	if (*count == 0 && !w->first_violation)
		w->first_violation = what;
	(*count)++;
}

static inline void world_check(world_t *w, bool holds, const char *what)
{
	if (!holds)
		world_violation(w, &w->oracle_violations, what);
}

static inline void world_violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	world_t *w = ((world_node_t *)ctx)->world;

	(void)invariant;
	world_violation(w, &w->invariant_violations, what);
}

static inline bool world_before(const world_event_t *a, const world_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static inline void world_push(world_t *w, world_event_t event)
{
	size_t i = w->n_heap++;

	if (w->n_heap > w->heap_max) {
		w->heap_max = w->heap_max ? 2 * w->heap_max : 1024;
		w->heap = realloc(w->heap, w->heap_max * sizeof(*w->heap));
	}
	event.order = ++w->order;
	for (; i > 0 && world_before(&event, &w->heap[(i - 1) / 2]); i = (i - 1) / 2)
		w->heap[i] = w->heap[(i - 1) / 2];
	w->heap[i] = event;
}

static inline world_event_t world_pop(world_t *w)
{
	world_event_t top = w->heap[0];
	world_event_t last = w->heap[--w->n_heap];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= w->n_heap)
			break;
		if (child + 1 < w->n_heap && world_before(&w->heap[child + 1], &w->heap[child]))
			child++;
		if (!world_before(&w->heap[child], &last))
			break;
		w->heap[i] = w->heap[child];
		i = child;
	}
	w->heap[i] = last;
	return top;
}

static inline bool world_chance(world_t *w, double p)
{
	return p > 0 && ap_rng_unit(&w->rng) < p;
}

static inline ap_usec_t world_wait(world_t *w, ap_usec_t mean)
{
	return (ap_usec_t)ap_rng_exp(&w->rng, (double)mean);
}

/* Reads the node's clock; after a pause the reading may be one from before the pause. */
static inline ap_usec_t world_clock(world_t *w, world_node_t *node)
{
	ap_usec_t now = node->stale ? node->paused_at : w->now;

	node->stale -= node->stale > 0;
	return now + node->clock_offset;
}

static inline ap_usec_t world_delay(world_t *w)
{
	if (world_chance(w, w->rates.late))
		return world_wait(w, w->rates.late_delay);
	return w->rates.delay / 2 + world_wait(w, w->rates.delay / 2);
}

static inline int world_find(const world_t *w, const char *id)
{
	for (unsigned i = 0; i < w->n_nodes; i++) {
		if (strcmp(w->nodes[i].id, id) == 0)
			return (int)i;
	}
	return -1;
}

static inline const char *world_region(const world_t *w, unsigned n)
{
	return n < w->n_nodes - w->n_south ? "north" : "south";
}

/* Sends a message between two nodes, subject to the network's faults. */
static inline void world_transmit(world_t *w, unsigned from, const world_event_t *event)
{
	int copies = world_chance(w, w->rates.duplicate) ? 2 : 1;

	if (w->cut && w->nodes[from].side != w->nodes[event->node].side)
		return;
	for (int i = 0; i < copies; i++) {
		world_event_t copy = *event;

		if (world_chance(w, w->rates.loss))
			continue;
		copy.at = w->now + world_delay(w);
		if (event->data) {
			copy.data = malloc(event->len);
			memcpy(copy.data, event->data, event->len);
		}
		world_push(w, copy);
	}
}

static inline void world_send(void *ctx, const char *to, const ap_once_msg_t *original)
{
	world_node_t *node = ctx;
	world_t *w = node->world;
	unsigned from = (unsigned)(node - w->nodes);
	int target = world_find(w, to);
	ap_wire_head_t head = {.kind = AP_WIRE_ONCE, .from = node->inc, .seq = 1};
	ap_once_msg_t msg = *original;
	msgpack_sbuffer buf;
	msgpack_packer pk;

	if (target < 0 || (w->tamper && !w->tamper(w, from, (unsigned)target, &msg)))
		return;
	world_check(w, world_region(w, from) == world_region(w, (unsigned)target),
		    "a permit's message was sent to another region");
	head.from = msg.from;
	w->messages++;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	ap_wire_pack_once(&pk, &msg);
	world_transmit(w, from,
		       &(world_event_t){
			       .kind = WORLD_MESSAGE,
			       .node = (unsigned)target,
			       .from = from,
			       .data = buf.data,
			       .len = buf.size,
		       });
	msgpack_sbuffer_destroy(&buf);
}

#endif
