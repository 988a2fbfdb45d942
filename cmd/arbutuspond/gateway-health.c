/*
 * Health checks of upstreams. Each response has a cost and may be wrong, so only upstreams are
 * checked of which no instance knows whether they are cold, or whether they have ended, and those
 * that this instance has not reached.
 */
#include "gateway.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HEALTH_TIMEOUT (500 * AP_MSEC) /* a few times the response time of an idle upstream */
#define HEALTH_RESPONSE_MAX 4096       /* bytes of a body, which isn't read */

/*
 * Checks are sent ten times a second while the store is silent; those that say the same aren't
 * recorded again for this long.
 */
#define RECORD_INTERVAL (1 * AP_SEC)

typedef struct health_check {
	gateway_t *gate;
	ap_usec_t sent;
	char id[AP_NAME_MAX];
} health_check_t;

/* Returns whether a record with the same result was written for the upstream a moment ago. */
static bool is_recorded(const gateway_t *gate, const gate_asked_t *asked)
{
	for (size_t i = gate->n_asked; i > 0 && gate->n_asked - i < GATE_ASKED_MAX; i--) {
		const gate_asked_t *last = &gate->asked[(i - 1) % GATE_ASKED_MAX];

		if (strcmp(last->id, asked->id) == 0)
			return last->told == asked->told && last->refused == asked->refused &&
			       last->cold == asked->cold && asked->at - last->at < RECORD_INTERVAL;
	}
	return false;
}

static void record(gateway_t *gate, const gate_asked_t *asked, ap_usec_t cold_left)
{
	if (is_recorded(gate, asked))
		return;
	gate->asked[gate->n_asked++ % GATE_ASKED_MAX] = *asked;
	ap_journal_write(gate->journal, AP_RECORD_RARE, "upstream.asked", NULL, "s:s,s:b,s:b,s:I",
			 "upstream", asked->id, "told", (int)asked->told, "refused",
			 (int)asked->refused, "cold_ms", (json_int_t)(cold_left / AP_MSEC));
}

static void on_response(void *arg, const ap_call_response_t *response)
{
	health_check_t *check = arg;
	gateway_t *gate = check->gate;
	ap_usec_t cold_left = 0;
	ap_usec_t pause = 0;
	ap_usec_t now = ap_now();
	/* Without a connection at the time limit, the network may be the cause. */
	bool refused = response->end == AP_CALL_NOT_SENT && now - check->sent < HEALTH_TIMEOUT;
	bool own = response->end == AP_CALL_RESPONDED &&
		   ap_host_parse_health(response->headers, check->id, &cold_left);
	bool leaving = own && ap_host_is_leaving(response->headers);
	bool valid = own && !leaving && response->code == 200;
	bool readable = response->end != AP_CALL_RESPONDED ||
			ap_http_retry_after(response->headers, response->code, &pause) !=
				AP_HTTP_RETRY_INVALID;

	gate_asked_t asked = {.told = valid, .refused = refused, .cold = cold_left > 0, .at = now};

	ap_copy_name(asked.id, sizeof(asked.id), check->id);
	record(gate, &asked, cold_left);
	if (!readable)
		ap_journal_write(gate->journal, AP_RECORD_RARE, "upstream.backoff-invalid", NULL,
				 "s:s", "upstream", check->id);
	/* Another upstream at the address speaks for itself only. */
	if (pause > 0 && !ap_host_names_other(response->headers, check->id))
		ap_fleet_backoff_seen(gate->fleet, check->id, pause, now);
	/* After any other response or none, the upstream stays unknown and is checked again. */
	if (leaving)
		ap_fleet_leaving_seen(gate->fleet, check->id, now);
	else if (valid)
		ap_fleet_health_checked(gate->fleet, check->id, cold_left, now);
	else if (refused)
		ap_fleet_health_check_refused(gate->fleet, check->id, now);
	if (own)
		ap_fleet_path_seen(gate->fleet, check->id, now);
	else if (response->end == AP_CALL_NOT_SENT)
		ap_fleet_path_lost(gate->fleet, check->id, now);
	gate_peer_tick(gate, now);
	free(check);
}

static void check_health(gateway_t *gate, const ap_replica_entry_t *replica)
{
	const ap_plan_pool_t *pool =
		gate->plan ? ap_plan_find_pool(gate->plan, replica->pool) : NULL;
	ap_address_t to = {.port = replica->port};
	ap_call_spec_t spec = {
		.to = &to,
		.method = EVHTTP_REQ_GET,
		.limit = HEALTH_TIMEOUT,
		.response_max = HEALTH_RESPONSE_MAX,
		.status_only = true,
		.done = on_response,
	};
	health_check_t *check;

	if (!pool || !pool->health_path[0])
		return;
	check = calloc(1, sizeof(*check));
	if (!check)
		return;
	check->gate = gate;
	check->sent = ap_now();
	ap_copy_name(check->id, sizeof(check->id), replica->id);
	ap_copy_name(to.host, sizeof(to.host), replica->host);
	spec.path = pool->health_path;
	spec.arg = check;
	ap_call(gate->http_calls, &spec);
}

void gate_health_tick(gateway_t *gate, ap_usec_t now)
{
	ap_replica_entry_t replica;

	while (ap_fleet_next_health_check(gate->fleet, now, &replica))
		check_health(gate, &replica);
}
