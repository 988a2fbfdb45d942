/* Requests that take up a stream of which nothing was heard wait until others have been asked. */
#include "gateway.h"

#include <stdlib.h>

#define LOOKUPS_MAX 512		       /* each costs several messages, whoever sends the request */
#define CONFIRMS_MAX (LOOKUPS_MAX / 2) /* the rest is for streams that can't go on without */

/**
 * struct gate_lookup - a request that waits.
 * @plan: of the route
 * @id, @last_event: copies of what @lookup refers to
 */
typedef struct gate_lookup {
	LIST_ENTRY(gate_lookup) link;
	gateway_t *gate;
	ap_http_call_t *call;
	bool forwarded;
	ap_plan_t *plan;
	char id[AP_HOST_REQUEST_ID_MAX];
	char last_event[AP_SSE_ID_MAX];
	ap_usec_t began;
	ap_stream_lookup_t *lookup;
	bool reading; /* of the store has been asked for */
} gate_lookup_t;

static void lookup_free(gate_lookup_t *l)
{
	l->gate->n_lookups--;
	LIST_REMOVE(l, link);
	ap_fleet_lookup_end(l->lookup);
	ap_plan_unref(l->plan);
	free(l);
}

static void on_closed(void *ctx)
{
	lookup_free(ctx);
}

/* Nothing is sent while the request waits. */
static void on_drained(void *ctx)
{
	(void)ctx;
}

/* Reads the store for @l, at most once; an answer may name a build that only a reading can show. */
static void read_store(gate_lookup_t *l, ap_usec_t now)
{
	if (l->reading || !ap_fleet_lookup_wants_read(l->gate->fleet, l->lookup, now))
		return;
	l->reading = true;
	ap_follow_refresh(l->gate->follow, now);
}

bool gate_lookup_start(gateway_t *gate, ap_http_call_t *call, bool forwarded,
		       const ap_stream_question_t *q, bool needed)
{
	bool may_wait = gate->n_lookups < (needed ? LOOKUPS_MAX : CONFIRMS_MAX);
	gate_lookup_t *l = may_wait ? calloc(1, sizeof(*l)) : NULL;
	ap_stream_question_t kept = *q;
	ap_peer_port_t port = {0};

	if (!l)
		return false;
	if (q->id)
		ap_copy_name(l->id, sizeof(l->id), q->id);
	ap_copy_name(l->last_event, sizeof(l->last_event), q->last_event);
	kept.id = l->id;
	kept.last_event = l->last_event;
	if (gate->peer)
		port = ap_peer_as_port(gate->peer);
	l->lookup =
		ap_fleet_lookup_begin(gate->fleet, &kept, gate->peer ? &port : NULL, q->asked_at);
	if (!l->lookup) {
		free(l);
		return false;
	}
	l->gate = gate;
	l->call = call;
	l->forwarded = forwarded;
	l->plan = ap_plan_ref(gate->plan);
	l->began = q->asked_at;
	LIST_INSERT_HEAD(&gate->lookups, l, link);
	gate->n_lookups++;
	ap_http_call_watch(call, l, on_closed, on_drained);
	read_store(l, q->asked_at);
	if (l->reading)
		gate_store_tick(gate, q->asked_at);
	gate_lookup_tick(gate, ap_now());
	return true;
}

void gate_lookup_tick(gateway_t *gate, ap_usec_t now)
{
	gate_lookup_t *next;

	for (gate_lookup_t *l = LIST_FIRST(&gate->lookups); l; l = next) {
		ap_http_call_t *call = l->call;
		bool forwarded = l->forwarded;
		ap_usec_t waited = now - l->began;
		ap_stream_place_t place;

		next = LIST_NEXT(l, link);
		if (!ap_fleet_lookup_done(gate->fleet, l->lookup, now, &place)) {
			read_store(l, now);
			continue;
		}
		ap_http_call_watch(call, NULL, NULL, NULL);
		lookup_free(l);
		gate_lookup_result(gate, call, forwarded, &place, waited);
	}
}

void gate_lookup_stop(gateway_t *gate)
{
	gate_lookup_t *next;

	for (gate_lookup_t *l = LIST_FIRST(&gate->lookups); l; l = next) {
		next = LIST_NEXT(l, link);
		lookup_free(l);
	}
}
