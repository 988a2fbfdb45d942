/*
 * Simulated instances (nodes) that pause, crash, restart and drain, and their clients. The oracle
 * counts how often the service ran the call of each permit, independently of the library. Used by
 * the tests and the benchmark of permits.
 */
#ifndef ONCE_WORLD_H
#define ONCE_WORLD_H

#include "once_net.h"

static inline void world_result(world_t *w, world_call_t *call, ap_outcome_t outcome)
{
	if (outcome == AP_OUTCOME_NOT_RUN) {
		call->reported_not_run = true;
		world_check(w, call->committed == 0, "a permit that runs was reported as not run");
	}
	if (call->has_result && call->result != AP_OUTCOME_UNKNOWN)
		return;
	call->has_result = true;
	call->result = outcome;
}

/* Sends the request: from now on the service runs the call, even if the node fails. */
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
	call->waited = w->now - w->uses[token - 1].at;
	if (!refused) {
		call->committed++;
		world_check(w, call->committed == 1, "a permit was dispatched twice");
		world_check(w, !call->reported_not_run,
			    "a permit runs after it was reported as not run");
		world_push(w, event);
	}
	event.kind = WORLD_ENDED;
	event.at = ready + world_wait(w, AP_MSEC);
	world_push(w, event);
}

static inline void world_completed(world_t *w, size_t index, const ap_once_verdict_t *v)
{
	world_call_t *call = &w->calls[index];

	world_check(w, call->committed == 1, "a permit that did not run was reported as completed");
	world_check(w,
		    v->len == 0 || (v->len == sizeof(index) &&
				    memcmp(v->response, &index, sizeof(index)) == 0),
		    "a stored response belongs to another permit");
	world_result(w, call, AP_OUTCOME_COMPLETED);
}

static inline void world_handle(world_t *w, world_node_t *node, uint64_t token,
				const ap_once_verdict_t *v)
{
	size_t index = w->uses[token - 1].call;
	unsigned own = (unsigned)(node - w->nodes);

	w->verdicts[v->kind]++;
	w->uses[token - 1].kind = v->kind;
	w->uses[token - 1].has_response = v->len > 0;
	switch (v->kind) {
	case AP_ONCE_DISPATCH:
		world_dispatch(w, node, token);
		break;
	case AP_ONCE_FORWARD:
		world_transmit(w, own,
			       &(world_event_t){.kind = WORLD_USE,
						.node = (unsigned)world_find(w, v->entry),
						.call = index});
		world_push(w, (world_event_t){.kind = WORLD_RESOLVE,
					      .at = w->now + AP_SEC,
					      .node = own,
					      .inc = node->inc,
					      .call = index});
		break;
	case AP_ONCE_USED:
		world_completed(w, index, v);
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

static inline ap_once_verdict_kind_t world_use(world_t *w, unsigned n, size_t call, bool judge)
{
	world_node_t *node = &w->nodes[n];
	uint64_t token = world_new_use(w, call);
	const char *text = w->calls[call].text;
	ap_usec_t now = world_clock(w, node);
	ap_once_verdict_t v;

	if (judge)
		ap_once_resolve(node->once, text, "reserve", "clerk", token, now, &v);
	else
		ap_once_use(node->once, text, "reserve", "clerk", token, now, &v);
	world_handle(w, node, token, &v);
	return v.kind;
}

/*
 * Sets the nodes that node @n takes for live. A live one is left out with the chance @wrong, and
 * one that is paused or cut off with the chance 0.5.
 */
static inline void world_update_view(world_t *w, unsigned n, double wrong)
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
		strcpy(entry->region, world_region(w, i));
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
	strcpy(config.region, world_region(w, n));
	snprintf(config.data_centre, sizeof(config.data_centre), "dc-%u", n % 2);
	for (size_t i = 0; i < sizeof(config.key); i++)
		config.key[i] = (unsigned char)ap_rng_u64(&w->rng);
	if (w->reuse_incarnation && !ap_id_is_zero(node->inc)) {
		config.inc = node->inc;
		memcpy(config.key, node->key, sizeof(config.key));
	}
	memcpy(node->key, config.key, sizeof(node->key));
	node->world = w;
	node->up = true;
	node->draining = false;
	node->stale = 0;
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
		world_update_view(w, i, 0);
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

/* Requests a permit from @issuer. Return: its number, or SIZE_MAX when none was issued. */
static inline size_t world_issue(world_t *w, unsigned issuer)
{
	world_call_t call = {.issuer = issuer};

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
		world_violation(w, &w->oracle_violations, "a received message is malformed");
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
		world_update_view(w, e->node, w->rates.crash_every ? 0.01 : 0);
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

/* Client's timeout without a result: it presents its permit at another node. */
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
	return kind < WORLD_RUN || kind == WORLD_ENDED;
}

/* Handles the next event. Return: false when none is left up to @until. */
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
		node->stale += node->stale < 3 && world_chance(w, w->rates.stale);
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
		free(e.data);
		break;
	case WORLD_TICK_DUE:
		world_tick(w, &e);
		break;
	case WORLD_USE:
		world_use(w, e.node, e.call, false);
		break;
	case WORLD_RESOLVE:
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
	case WORLD_OTHER:
		w->other(w, &e);
		break;
	case WORLD_UP:
		world_up(w, e.node);
		world_update_view(w, e.node, 0);
		break;
	}
	return true;
}

static inline void world_run(world_t *w, ap_usec_t until)
{
	while (world_step(w, until))
		;
}

/* Starts a fault when due. @kind: 0 pause, 1 crash, 2 cut, 3 drain; @every: its mean interval. */
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

/* Client that requests a permit and presents it, mostly at once and mostly at its issuer. */
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
			   (world_event_t){.kind = world_chance(w, 0.5) ? WORLD_USE : WORLD_RESOLVE,
					   .at = w->now + world_wait(w, w->limits.ttl / 2),
					   .node = (unsigned)ap_rng_below(&w->rng, w->n_nodes),
					   .call = call});
	world_push(w,
		   (world_event_t){.kind = WORLD_RETRY, .at = w->now + 2 * AP_SEC, .call = call});
}

/* Runs clients and faults for @length; @between: mean time between two calls. */
static inline void world_run_clients(world_t *w, ap_usec_t length, ap_usec_t between)
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
