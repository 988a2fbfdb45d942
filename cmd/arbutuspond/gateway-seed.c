/*
 * Start while the store is unreachable: an instance listed in the settings, a seed, responds with
 * a snapshot of what it read from the store last. The snapshot contains the secret only if the
 * requester has the address of a registered instance. Without the secret an instance exchanges no
 * messages with others until the store is reachable again. A snapshot with customers' keys is only
 * given to such an address.
 */
#include "gateway.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_PATH "/arbutuspond/snapshot"
#define SEED_DELAY (300 * AP_MSEC)   /* a reachable store lists its items in less */
#define SEED_TIMEOUT (700 * AP_MSEC) /* several round trips between regions */

#define SEED_INTERVAL (1 * AP_SEC) /* once there is a configuration */
/* The revision of the store that a snapshot describes, and the era to which it belongs. */
#define HEADER_ERA FORWARD_HEADER_PREFIX "Store-Era"
#define HEADER_REVISION FORWARD_HEADER_PREFIX "Store-Revision"
#define NUMBER_MAX 24 /* bytes of a number as text, with terminator */

static void reply_snapshot(const gateway_t *gate, ap_http_call_t *call, const void *bytes,
			   size_t len)
{
	char era[NUMBER_MAX];
	char revision[NUMBER_MAX];
	const ap_http_header_t headers[] = {
		{"Content-Type", "application/octet-stream"},
		{HEADER_ERA, era},
		{HEADER_REVISION, revision},
	};

	snprintf(era, sizeof(era), "%" PRIu64, ap_follow_era(gate->follow));
	snprintf(revision, sizeof(revision), "%" PRIu64, ap_follow_revision(gate->follow));
	ap_http_reply(call, 200, headers, sizeof(headers) / sizeof(headers[0]), bytes, len);
}

void gate_on_control(void *ctx, ap_http_call_t *call)
{
	gateway_t *gate = ctx;
	void *bytes = NULL;
	size_t len = 0;
	bool is_instance = ap_fleet_knows_host(gate->fleet, ap_http_call_peer(call));

	if (strcmp(ap_http_call_path(call), SNAPSHOT_PATH) == 0 && gate->plan &&
	    (is_instance || gate->plan->n_customers == 0))
		bytes = ap_snapshot_pack(gate->snapshot, is_instance ? NULL : ap_host_secret_key(),
					 &len);
	if (bytes)
		reply_snapshot(gate, call, bytes, len);
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

static void ignore_item(void *ctx, const ap_store_item_t *item)
{
	(void)ctx;
	(void)item;
}

/* Returns the number in header @name of a response; 0 if there is none. */
static uint64_t number_in(struct evkeyvalq *headers, const char *name)
{
	const char *text = evhttp_find_header(headers, name);

	return text ? strtoull(text, NULL, 10) : 0;
}

static bool take_snapshot(gateway_t *gate, const ap_call_response_t *response)
{
	if (response->end != AP_CALL_RESPONDED || response->code != 200 ||
	    !ap_snapshot_unpack(response->body, response->len, NULL, ignore_item) ||
	    !ap_follow_take_snapshot(gate->follow, number_in(response->headers, HEADER_ERA),
				     number_in(response->headers, HEADER_REVISION)))
		return false;
	gate_store_listing(gate, true);
	ap_snapshot_unpack(response->body, response->len, gate, gate_store_item);
	gate_store_listing(gate, false);
	return true;
}

static void on_response(void *arg, const ap_call_response_t *response)
{
	gateway_t *gate = ((seed_query_t *)arg)->gate;
	bool ok;

	free(arg);
	gate->seed_pending = false;
	if (!ap_follow_wants_snapshot(gate->follow))
		return;
	ok = take_snapshot(gate, response);
	if (gate->plan)
		gate->seed_at = ap_now() + SEED_INTERVAL;
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
	if (!ap_follow_wants_snapshot(gate->follow) || gate->seed_pending ||
	    gate->conf->n_seeds == 0 || now < gate->seed_at ||
	    (now - gate->started < SEED_DELAY && !ap_follow_failed(gate->follow)))
		return;
	query_seed(gate);
}
