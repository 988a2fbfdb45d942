/*
 * Entries of one region in virtual time: a network that loses, doubles, delays and reorders, and
 * entries that pause, crash, restart and drain. A service counts executions of each permit apart
 * from the program. Used by the tests and the bench of permits.
 */
#ifndef ONCE_WORLD_H
#define ONCE_WORLD_H

#include "once/once.h"
#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORLD_NODES_MAX 16
#define WORLD_TICK (50 * AP_MSEC)

/* Chances for each message, and mean times between faults of the whole region (0: never). */
typedef struct world_rates {
	double loss;
	double twice;
	double late;
	ap_usec_t delay;
	ap_usec_t late_by;
	ap_usec_t pause_every;
	ap_usec_t pause;
	ap_usec_t crash_every;
	ap_usec_t restart;
	ap_usec_t cut_every;
	ap_usec_t cut;
	ap_usec_t drain_every;
	ap_usec_t service;
	double refuse;	  /* chance that the service refuses before it starts */
	double reuse;	  /* chance that a permit is presented once more later */
	double elsewhere; /* chance that it is presented at another entry */
} world_rates_t;

typedef enum world_event_kind {
	WORLD_MESSAGE,
	WORLD_TICK_DUE,
	WORLD_USE,
	WORLD_JUDGE,
	WORLD_RUN,
	WORLD_ENDED,
	WORLD_RETRY,
	WORLD_UP,
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
	bool stale; /* the next event sees the time from before the pause */
	bool draining;
	unsigned side;
	ap_id_t inc;
	ap_once_t *once;
	ap_usec_t clock_offset;
	ap_usec_t paused_at;
	ap_usec_t paused_until;
	void *world;
} world_node_t;

/* One permit and what the oracle knows of it. */
typedef struct world_call {
	char text[AP_PERMIT_TEXT_MAX];
	unsigned issuer;
	unsigned committed; /* requests sent that the service will run */
	unsigned runs;
	unsigned tries;
	bool said_not_run;
	bool has_result;
	ap_outcome_t result;
	ap_usec_t started;
} world_call_t;

typedef struct world_use {
	size_t call;
	ap_usec_t at;
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
	/* Changes a message on its way; false loses it. */
	bool (*tamper)(struct world *w, unsigned from, unsigned to, ap_once_msg_t *msg);
	uint64_t events;
	uint64_t verdicts[AP_ONCE_REFUSED + 1];
	unsigned program; /* invariants that the program saw broken */
	unsigned oracle;  /* rules that the oracle saw broken */
	const char *first;
	ap_usec_t wait_sum; /* from use to leave to dispatch */
	uint64_t waits;
} world_t;

static inline void world_broken(world_t *w, unsigned *count, const char *what)
{
	if (*count == 0 && !w->first)
		w->first = what;
	(*count)++;
}

static inline void world_check(world_t *w, bool holds, const char *what)
{
	if (!holds)
		world_broken(w, &w->oracle, what);
}

static inline void world_violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	world_t *w = ((world_node_t *)ctx)->world;

	(void)invariant;
	world_broken(w, &w->program, what);
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

/* The node's own clock; after a pause sometimes a reading from before it. */
static inline ap_usec_t world_clock(world_t *w, world_node_t *node)
{
	ap_usec_t now = node->stale ? node->paused_at : w->now;

	node->stale = false;
	return now + node->clock_offset;
}

static inline ap_usec_t world_delay(world_t *w)
{
	if (world_chance(w, w->rates.late))
		return world_wait(w, w->rates.late_by);
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

/* Puts something on the way between two nodes, with the network's faults. */
static inline void world_carry(world_t *w, unsigned from, const world_event_t *event)
{
	int copies = world_chance(w, w->rates.twice) ? 2 : 1;

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
	head.from = msg.from;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	ap_wire_pack_once(&pk, &msg);
	world_carry(w, from,
		    &(world_event_t){
			    .kind = WORLD_MESSAGE,
			    .node = (unsigned)target,
			    .from = from,
			    .data = buf.data,
			    .len = buf.size,
		    });
	msgpack_sbuffer_destroy(&buf);
}

static inline void world_result(world_t *w, world_call_t *call, ap_outcome_t outcome)
{
	if (outcome == AP_OUTCOME_NOT_RUN) {
		call->said_not_run = true;
		world_check(w, call->committed == 0, "not-run was said of a permit that runs");
	}
	if (call->has_result && call->result != AP_OUTCOME_UNKNOWN)
		return;
	call->has_result = true;
	call->result = outcome;
}

/* The first byte goes out: from here on the service runs it, whatever becomes of the node. */
static inline void world_dispatch(world_t *w, world_node_t *node, uint64_t token)
{
	size_t index = w->uses[token - 1].call;
	world_call_t *call = &w->calls[index];
	bool refused = world_chance(w, w->rates.refuse);
	ap_usec_t ready = w->now + world_wait(w, w->rates.service);
	world_event_t event = {
		.kind = WORLD_RUN,
		.at = ready,
		.call = index,
		.node = (unsigned)(node - w->nodes),
		.token = token,
		.inc = node->inc,
		.outcome = refused ? AP_OUTCOME_NOT_RUN : AP_OUTCOME_COMPLETED,
	};

	if (!ap_once_dispatch(node->once, token, world_clock(w, node))) {
		ap_once_done(node->once, token, AP_OUTCOME_NOT_RUN, NULL, 0, world_clock(w, node));
		return;
	}
	w->wait_sum += w->now - w->uses[token - 1].at;
	w->waits++;
	if (!refused) {
		call->committed++;
		world_check(w, call->committed == 1, "a permit was dispatched twice");
		world_check(w, !call->said_not_run, "a permit runs after not-run was said");
		world_push(w, event);
	}
	event.kind = WORLD_ENDED;
	event.at = ready + world_wait(w, AP_MSEC);
	world_push(w, event);
}

static inline void world_answered(world_t *w, size_t index, const ap_once_verdict_t *v)
{
	world_call_t *call = &w->calls[index];

	world_check(w, call->committed == 1, "completed was said of a permit that did not run");
	world_check(w,
		    v->len == 0 || (v->len == sizeof(index) &&
				    memcmp(v->answer, &index, sizeof(index)) == 0),
		    "a stored answer belongs to another permit");
	world_result(w, call, AP_OUTCOME_COMPLETED);
}

static inline void world_handle(world_t *w, world_node_t *node, uint64_t token,
				const ap_once_verdict_t *v)
{
	size_t index = w->uses[token - 1].call;
	unsigned own = (unsigned)(node - w->nodes);

	w->verdicts[v->kind]++;
	switch (v->kind) {
	case AP_ONCE_GO:
		world_dispatch(w, node, token);
		break;
	case AP_ONCE_PASS:
		world_carry(w, own,
			    &(world_event_t){.kind = WORLD_USE,
					     .node = (unsigned)world_find(w, v->entry),
					     .call = index});
		world_push(w, (world_event_t){.kind = WORLD_JUDGE,
					      .at = w->now + AP_SEC,
					      .node = own,
					      .inc = node->inc,
					      .call = index});
		break;
	case AP_ONCE_USED:
		world_answered(w, index, v);
		break;
	case AP_ONCE_NOT_RUN:
		world_result(w, &w->calls[index], AP_OUTCOME_NOT_RUN);
		break;
	case AP_ONCE_UNKNOWN:
		world_result(w, &w->calls[index], AP_OUTCOME_UNKNOWN);
		break;
	default:
		break;
	}
}

static inline void world_decided(void *ctx, uint64_t token, const ap_once_verdict_t *v)
{
	world_node_t *node = ctx;

	world_handle(node->world, node, token, v);
}

static inline uint64_t world_new_use(world_t *w, size_t call)
{
	if (w->n_uses == w->uses_max) {
		w->uses_max = w->uses_max ? 2 * w->uses_max : 1024;
		w->uses = realloc(w->uses, w->uses_max * sizeof(*w->uses));
	}
	w->uses[w->n_uses++] = (world_use_t){.call = call, .at = w->now};
	return w->n_uses;
}

static inline ap_once_kind_t world_use(world_t *w, unsigned n, size_t call, bool judge)
{
	world_node_t *node = &w->nodes[n];
	uint64_t token = world_new_use(w, call);
	const char *text = w->calls[call].text;
	ap_usec_t now = world_clock(w, node);
	ap_once_verdict_t v;

	if (judge)
		ap_once_judge(node->once, text, "reserve", "clerk", token, now, &v);
	else
		ap_once_use(node->once, text, "reserve", "clerk", token, now, &v);
	world_handle(w, node, token, &v);
	return v.kind;
}

/* Which entries @node believes to be alive; @wrong is the chance of a mistake about each. */
static inline void world_view(world_t *w, unsigned n, double wrong)
{
	ap_entry_t entries[WORLD_NODES_MAX];
	size_t count = 0;

	for (unsigned i = 0; i < w->n_nodes; i++) {
		const world_node_t *node = &w->nodes[i];
		ap_entry_t *entry = &entries[count];
		bool seen = node->up && !node->draining;

		if ((w->cut && node->side != w->nodes[n].side) || node->paused_until > w->now)
			seen = seen && world_chance(w, 0.5);
		if (world_chance(w, wrong) || !seen)
			continue;
		*entry = (ap_entry_t){.inc = node->inc, .weight = 1};
		strcpy(entry->id, node->id);
		strcpy(entry->region, "north");
		snprintf(entry->data_centre, sizeof(entry->data_centre), "dc-%u", i % 2);
		count++;
	}
	ap_once_set_entries(w->nodes[n].once, entries, count, world_clock(w, &w->nodes[n]));
}

static inline void world_up(world_t *w, unsigned n)
{
	world_node_t *node = &w->nodes[n];
	ap_once_config_t config = {
		.inc = ap_rng_id(&w->rng),
		.limits = w->limits,
		.ctx = node,
		.env = {.ctx = node, .violated = world_violated},
		.send = world_send,
		.decided = world_decided,
	};

	snprintf(node->id, sizeof(node->id), "entry-%u", n);
	strcpy(config.id, node->id);
	strcpy(config.region, "north");
	snprintf(config.data_centre, sizeof(config.data_centre), "dc-%u", n % 2);
	for (size_t i = 0; i < sizeof(config.key); i++)
		config.key[i] = (unsigned char)ap_rng_u64(&w->rng);
	node->world = w;
	node->up = true;
	node->draining = false;
	node->stale = false;
	node->paused_until = 0;
	node->inc = config.inc;
	node->clock_offset = (ap_usec_t)ap_rng_below(&w->rng, 1000 * (uint64_t)AP_SEC);
	node->once = ap_once_new(&config, world_clock(w, node));
	world_push(w, (world_event_t){
			      .kind = WORLD_TICK_DUE, .at = w->now, .node = n, .inc = node->inc});
}

static inline void world_down(world_t *w, unsigned n)
{
	ap_once_free(w->nodes[n].once);
	w->nodes[n].once = NULL;
	w->nodes[n].up = false;
}

static inline void world_start(world_t *w, uint64_t seed, unsigned nodes)
{
	ap_rng_seed(&w->rng, seed);
	w->n_nodes = nodes;
	for (unsigned i = 0; i < nodes; i++)
		world_up(w, i);
	for (unsigned i = 0; i < nodes; i++)
		world_view(w, i, 0);
}

static inline void world_free(world_t *w)
{
	for (unsigned i = 0; i < w->n_nodes; i++)
		ap_once_free(w->nodes[i].once);
	for (size_t i = 0; i < w->n_heap; i++)
		free(w->heap[i].data);
	free(w->heap);
	free(w->calls);
	free(w->uses);
}

/* A permit from @issuer. Return: its number, or SIZE_MAX when none was given. */
static inline size_t world_issue(world_t *w, unsigned issuer)
{
	world_call_t call = {.issuer = issuer, .started = w->now};

	if (w->n_calls == w->calls_max) {
		w->calls_max = w->calls_max ? 2 * w->calls_max : 1024;
		w->calls = realloc(w->calls, w->calls_max * sizeof(*w->calls));
	}
	if (ap_once_issue(w->nodes[issuer].once, "reserve", "clerk",
			  world_clock(w, &w->nodes[issuer]), call.text) != AP_ONCE_OK)
		return SIZE_MAX;
	w->calls[w->n_calls] = call;
	return w->n_calls++;
}

static inline void world_message(world_t *w, const world_event_t *e)
{
	world_node_t *node = &w->nodes[e->node];
	msgpack_zone zone;
	msgpack_object body;
	ap_wire_head_t head;
	ap_wire_once_t read;

	msgpack_zone_init(&zone, 2048);
	if (ap_wire_open(e->data, e->len, &zone, &head, &body, NULL) == AP_WIRE_OK &&
	    ap_wire_read_once(&head, &body, &read, NULL) == AP_WIRE_OK)
		ap_once_receive(node->once, w->nodes[e->from].id, &read.msg, world_clock(w, node));
	else
		world_broken(w, &w->oracle, "a message could not be read");
	msgpack_zone_destroy(&zone);
}

static inline void world_tick(world_t *w, const world_event_t *e)
{
	world_node_t *node = &w->nodes[e->node];
	world_event_t next = *e;

	ap_once_tick(node->once, world_clock(w, node));
	if (node->draining && ap_once_drained(node->once)) {
		world_down(w, e->node);
		world_push(w, (world_event_t){.kind = WORLD_UP,
					      .at = w->now + world_wait(w, w->rates.restart),
					      .node = e->node});
		return;
	}
	if (world_chance(w, 0.05))
		world_view(w, e->node, w->rates.crash_every ? 0.01 : 0);
	next.at = w->now + WORLD_TICK;
	world_push(w, next);
}

static inline void world_ended(world_t *w, const world_event_t *e)
{
	world_call_t *call = &w->calls[e->call];
	size_t answer = e->call;

	ap_once_done(w->nodes[e->node].once, e->token, e->outcome, &answer, sizeof(answer),
		     world_clock(w, &w->nodes[e->node]));
	world_result(w, call, e->outcome);
}

/* The client heard nothing: it presents its permit somewhere else. */
static inline void world_retry(world_t *w, const world_event_t *e)
{
	world_call_t *call = &w->calls[e->call];
	world_event_t next = *e;
	unsigned n = (unsigned)ap_rng_below(&w->rng, w->n_nodes);

	if (call->has_result || ++call->tries > 5)
		return;
	if (w->nodes[n].up && w->nodes[n].paused_until <= w->now)
		world_use(w, n, e->call, false);
	next.at = w->now + 2 * AP_SEC;
	world_push(w, next);
}

static inline bool world_of_node(world_event_kind_t kind)
{
	return kind != WORLD_RUN && kind != WORLD_RETRY && kind != WORLD_UP;
}

/* Takes the next event. Return: false when none is left before @until. */
static inline bool world_step(world_t *w, ap_usec_t until)
{
	world_event_t e;
	world_node_t *node;

	if (w->n_heap == 0 || w->heap[0].at > until) {
		w->now = until;
		return false;
	}
	e = world_pop(w);
	w->now = e.at;
	w->events++;
	node = &w->nodes[e.node];
	if (world_of_node(e.kind) && node->up && node->paused_until > w->now) {
		node->stale = node->stale || world_chance(w, 0.2);
		e.at = node->paused_until;
		world_push(w, e);
		return true;
	}
	if (world_of_node(e.kind) &&
	    (!node->up || (!ap_id_is_zero(e.inc) && !ap_id_eq(e.inc, node->inc)))) {
		free(e.data);
		return true;
	}
	switch (e.kind) {
	case WORLD_MESSAGE:
		world_message(w, &e);
		break;
	case WORLD_TICK_DUE:
		world_tick(w, &e);
		break;
	case WORLD_USE:
		world_use(w, e.node, e.call, false);
		break;
	case WORLD_JUDGE:
		world_use(w, e.node, e.call, true);
		break;
	case WORLD_RUN:
		w->calls[e.call].runs++;
		world_check(w, w->calls[e.call].runs == 1, "the service ran a permit twice");
		break;
	case WORLD_ENDED:
		world_ended(w, &e);
		break;
	case WORLD_RETRY:
		world_retry(w, &e);
		break;
	case WORLD_UP:
		world_up(w, e.node);
		world_view(w, e.node, 0);
		break;
	}
	free(e.data);
	return true;
}

static inline void world_run(world_t *w, ap_usec_t until)
{
	while (world_step(w, until))
		;
}

/* Pauses, crashes, cuts and drains, each with its own mean interval. */
static inline void world_fault(world_t *w, int kind, ap_usec_t every)
{
	unsigned n = (unsigned)ap_rng_below(&w->rng, w->n_nodes);
	world_node_t *node = &w->nodes[n];
	bool first = w->next_fault[kind] == 0;

	if (every == 0 || w->now < w->next_fault[kind])
		return;
	w->next_fault[kind] = w->now + 1 + world_wait(w, every);
	if (first || !node->up)
		return;
	switch (kind) {
	case 0:
		node->paused_at = w->now;
		node->paused_until = w->now + world_wait(w, w->rates.pause);
		if (world_chance(w, 0.02))
			node->paused_until += 2 * (w->limits.ttl + w->limits.keep);
		break;
	case 1:
		world_down(w, n);
		world_push(w, (world_event_t){.kind = WORLD_UP,
					      .at = w->now + world_wait(w, w->rates.restart),
					      .node = n});
		break;
	case 2:
		w->cut = true;
		w->cut_until = w->now + world_wait(w, w->rates.cut);
		for (unsigned i = 0; i < w->n_nodes; i++)
			w->nodes[i].side = (unsigned)ap_rng_below(&w->rng, 2);
		break;
	default:
		node->draining = true;
		ap_once_drain(node->once, world_clock(w, node));
		break;
	}
}

/* A client takes a permit and presents it, mostly at once and mostly at its issuer. */
static inline void world_client(world_t *w)
{
	unsigned issuer = (unsigned)ap_rng_below(&w->rng, w->n_nodes);
	unsigned at = issuer;
	size_t call;

	if (!w->nodes[issuer].up || w->nodes[issuer].paused_until > w->now)
		return;
	call = world_issue(w, issuer);
	if (call == SIZE_MAX)
		return;
	if (world_chance(w, w->rates.elsewhere))
		at = (unsigned)ap_rng_below(&w->rng, w->n_nodes);
	world_push(w, (world_event_t){.kind = WORLD_USE,
				      .at = w->now + world_wait(w, 10 * AP_MSEC),
				      .node = at,
				      .call = call});
	while (world_chance(w, w->rates.reuse))
		world_push(w,
			   (world_event_t){.kind = world_chance(w, 0.5) ? WORLD_USE : WORLD_JUDGE,
					   .at = w->now + world_wait(w, w->limits.ttl / 2),
					   .node = (unsigned)ap_rng_below(&w->rng, w->n_nodes),
					   .call = call});
	world_push(w,
		   (world_event_t){.kind = WORLD_RETRY, .at = w->now + 2 * AP_SEC, .call = call});
}

/* Clients and faults for @length; @between: mean time between two calls. */
static inline void world_live(world_t *w, ap_usec_t length, ap_usec_t between)
{
	ap_usec_t end = w->now + length;

	while (w->now < end) {
		ap_usec_t next = w->now + 1 + world_wait(w, between);

		world_client(w);
		world_run(w, next < end ? next : end);
		if (w->cut && w->now >= w->cut_until)
			w->cut = false;
		world_fault(w, 0, w->rates.pause_every);
		world_fault(w, 1, w->rates.crash_every);
		world_fault(w, 2, w->rates.cut_every);
		world_fault(w, 3, w->rates.drain_every);
	}
}

#endif
