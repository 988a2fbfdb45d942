/*
 * Starting with the store away: another instance that was named in the settings gives what it read
 * there last. The secret that instances share is given only to a machine that one entered itself
 * from; without it an instance tells the others nothing until the store is back.
 */
#include "gateway.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_PATH "/arbutuspond/snapshot"
#define ASK_AFTER (300 * AP_MSEC) /* the store answers a first list in less, unless it is away */
#define ASK_LIMIT (700 * AP_MSEC) /* some round trips between regions */

static const ap_http_header_t type_bytes = {"Content-Type", "application/octet-stream"};

void gate_on_control(void *ctx, ap_http_call_t *call)
{
	gateway_t *gate = ctx;
	void *bytes = NULL;
	size_t len = 0;
	bool known = ap_fleet_knows_host(gate->fleet, ap_http_call_peer(call));

	if (strcmp(ap_http_call_path(call), SNAPSHOT_PATH) == 0 && gate->plan)
		bytes = ap_snapshot_pack(gate->items, known ? NULL : ap_host_secret_key(), &len);
	if (bytes)
		ap_http_reply(call, 200, &type_bytes, 1, bytes, len);
	else
		ap_http_reply(call, 404, NULL, 0, NULL, 0);
	free(bytes);
}

/* What a call to another instance keeps: ap_call() takes only what it may free. */
typedef struct asked {
	gateway_t *gate;
} asked_t;

static void on_answer(void *arg, const ap_call_response_t *answer)
{
	gateway_t *gate = ((asked_t *)arg)->gate;
	bool ok = answer->end == AP_CALL_RESPONDED && answer->code == 200;

	free(arg);
	gate->seed_asked = false;
	/* The store may have answered meanwhile: its word is newer. */
	if (ap_follow_age(gate->follow, ap_now()) != AP_NEVER)
		return;
	ok = ok && ap_snapshot_unpack(answer->body, answer->len, gate, gate_store_item);
	ap_journal_write(gate->journal, AP_RECORD_RARE, "seed.answered", NULL, "s:b,s:I", "taken",
			 (int)ok, "version", gate->plan ? (json_int_t)gate->plan->version : 0);
}

static void ask(gateway_t *gate)
{
	const ap_gateway_settings_t *g = gate->g;
	ap_call_spec_t spec = {
		.to = &g->seeds[gate->next_seed++ % g->n_seeds],
		.method = EVHTTP_REQ_GET,
		.path = SNAPSHOT_PATH,
		.limit = ASK_LIMIT,
		.done = on_answer,
	};
	asked_t *arg = malloc(sizeof(*arg));

	if (!arg)
		return;
	arg->gate = gate;
	spec.arg = arg;
	gate->seed_asked = true;
	ap_call(gate->calls_out, &spec);
}

void gate_seed_tick(gateway_t *gate, ap_usec_t now)
{
	if (gate->plan || gate->seed_asked || gate->g->n_seeds == 0 ||
	    (now - gate->started < ASK_AFTER && !ap_follow_failed(gate->follow)))
		return;
	ask(gate);
}
