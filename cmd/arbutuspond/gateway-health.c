/*
 * Upstreams that are asked for their health. Few are, because answers are priced and may be false:
 * only those of which nobody knows whether they are cold.
 */
#include "gateway.h"

#include <jansson.h>
#include <stdlib.h>

#define HEALTH_LIMIT (500 * AP_MSEC) /* a few times what an upstream that is not busy takes */

typedef struct asked {
	gateway_t *gate;
	char id[AP_NAME_MAX];
} asked_t;

static void on_answer(void *arg, const ap_call_response_t *answer)
{
	asked_t *a = arg;
	gateway_t *gate = a->gate;
	ap_usec_t cold_left = 0;
	bool told = answer->end == AP_CALL_RESPONDED && answer->code == 200 &&
		    ap_host_health(answer->headers, a->id, &cold_left);

	ap_journal_write(gate->journal, AP_RECORD_RARE, "upstream.asked", NULL, "s:s,s:b,s:I",
			 "upstream", a->id, "told", (int)told, "cold_ms",
			 (json_int_t)(cold_left / AP_MSEC));
	/* Without a clear word it stays in doubt and is asked again. */
	if (told)
		ap_fleet_health_checked(gate->fleet, a->id, cold_left, ap_now());
	free(a);
}

static void ask(gateway_t *gate, const ap_replica_entry_t *whom)
{
	const ap_plan_pool_t *pool = gate->plan ? ap_plan_find_pool(gate->plan, whom->pool) : NULL;
	ap_address_t to = {.port = whom->port};
	ap_call_spec_t spec = {
		.to = &to,
		.method = EVHTTP_REQ_GET,
		.limit = HEALTH_LIMIT,
		.done = on_answer,
	};
	asked_t *a;

	if (!pool || !pool->health_path[0])
		return;
	a = calloc(1, sizeof(*a));
	if (!a)
		return;
	a->gate = gate;
	ap_copy_name(a->id, sizeof(a->id), whom->id);
	ap_copy_name(to.host, sizeof(to.host), whom->host);
	spec.path = pool->health_path;
	spec.arg = a;
	ap_call(gate->calls_out, &spec);
}

void gate_health_tick(gateway_t *gate, ap_usec_t now)
{
	ap_replica_entry_t whom;

	while (ap_fleet_next_health_check(gate->fleet, now, &whom))
		ask(gate, &whom);
}
