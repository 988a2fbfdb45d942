/*
 * Start while the store is unreachable: an instance listed in the settings, a seed, responds with
 * a snapshot of what it read from the store last. The snapshot contains the secret only if the
 * requester has the address of a registered instance. Without the secret an instance exchanges no
 * messages with others until the store is reachable again.
 */
#include "gateway.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_PATH "/arbutuspond/snapshot"
#define SEED_DELAY (300 * AP_MSEC)   /* a reachable store lists its items in less */
#define SEED_TIMEOUT (700 * AP_MSEC) /* several round trips between regions */

static const ap_http_header_t type_bytes = {"Content-Type", "application/octet-stream"};

void gate_on_control(void *ctx, ap_http_call_t *call)
{
	gateway_t *gate = ctx;
	void *bytes = NULL;
	size_t len = 0;
	bool is_instance = ap_fleet_knows_host(gate->fleet, ap_http_call_peer(call));

	if (strcmp(ap_http_call_path(call), SNAPSHOT_PATH) == 0 && gate->plan)
		bytes = ap_snapshot_pack(gate->snapshot, is_instance ? NULL : ap_host_secret_key(),
					 &len);
	if (bytes)
		ap_http_reply(call, 200, &type_bytes, 1, bytes, len);
	else
		ap_http_reply(call, 404, NULL, 0, NULL, 0);
	free(bytes);
}

/*
 * Context of a call. The callback frees it, or ap_calls_free() if it drops the call, so the gateway
 * itself cannot be passed.
 */
typedef struct seed_query {
	gateway_t *gate;
} seed_query_t;

static void on_response(void *arg, const ap_call_response_t *response)
{
	gateway_t *gate = ((seed_query_t *)arg)->gate;
	bool ok = response->end == AP_CALL_RESPONDED && response->code == 200;

	free(arg);
	gate->seed_pending = false;
	/* If the store has responded meanwhile, its items are newer. */
	if (ap_follow_begun(gate->follow))
		return;
	ok = ok && ap_snapshot_unpack(response->body, response->len, gate, gate_store_item);
	ap_journal_write(gate->journal, AP_RECORD_RARE, "seed.answered", NULL, "s:b,s:I", "taken",
			 (int)ok, "version", gate->plan ? (json_int_t)gate->plan->version : 0);
}

static void query_seed(gateway_t *gate)
{
	const ap_gateway_settings_t *g = gate->conf;
	ap_call_spec_t spec = {
		.to = &g->seeds[gate->next_seed++ % g->n_seeds],
		.method = EVHTTP_REQ_GET,
		.path = SNAPSHOT_PATH,
		.limit = SEED_TIMEOUT,
		.done = on_response,
	};
	seed_query_t *arg = malloc(sizeof(*arg));

	if (!arg)
		return;
	arg->gate = gate;
	spec.arg = arg;
	gate->seed_pending = true;
	ap_call(gate->http_calls, &spec);
}

void gate_seed_tick(gateway_t *gate, ap_usec_t now)
{
	if (gate->plan || gate->seed_pending || gate->conf->n_seeds == 0 ||
	    (now - gate->started < SEED_DELAY && !ap_follow_failed(gate->follow)))
		return;
	query_seed(gate);
}
