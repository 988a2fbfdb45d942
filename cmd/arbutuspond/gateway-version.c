/*
 * Versions of the configuration at both ends of a forwarded request. The sender names the versions
 * that may handle it; an instance with another one refuses it, unless its route means the same
 * there. Then the one with the older version gets the newer one from the other, since the store may
 * turn it away for long.
 */
#include "gateway.h"

#include <event2/http.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TELL_INTERVAL (200 * AP_MSEC) /* to the same instance; a round trip between regions */
/*
 * Within the time in which a version must be in force. Those that are asked may be cut off from the
 * store themselves.
 */
#define ASKS 8

ap_http_header_t gate_version_header(const gate_call_t *c, char text[GATE_VERSION_TEXT_MAX])
{
	/* A request may go on with an older version than the one that is in force by now. */
	snprintf(text, GATE_VERSION_TEXT_MAX, "%" PRIu64 "-%" PRIu64 " %" PRIx64, c->plan->version,
		 c->gate->plan->version, ap_plan_route_hash(c->x.req.route));
	return (ap_http_header_t){FORWARD_HEADER_CONFIGURATION, text};
}

/* Reads the versions that may handle a forwarded request, and the hash of its route. */
static bool read_versions(ap_http_call_t *call, uint64_t *first, uint64_t *last, uint64_t *hash)
{
	const char *named = ap_http_call_header(call, FORWARD_HEADER_CONFIGURATION);

	return named && sscanf(named, "%" SCNu64 "-%" SCNu64 " %" SCNx64, first, last, hash) == 3;
}

bool gate_version_superseded(const gateway_t *gate, ap_http_call_t *call)
{
	uint64_t first;
	uint64_t last;
	uint64_t hash;

	return read_versions(call, &first, &last, &hash) && gate->plan->version > first &&
	       gate->plan->version <= last;
}

bool gate_version_agrees(const gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			 const ap_plan_route_t *route)
{
	const char *build = ap_http_call_header(call, FORWARD_HEADER_BUILD);
	uint64_t first;
	uint64_t last;
	uint64_t hash;

	if (!read_versions(call, &first, &last, &hash))
		return true;
	/* The pool of a stream that goes on is that of its build, whatever the version. */
	if (build && strtoull(build, NULL, 16) != 0 && gate_names_known(call, r))
		return true;
	if (gate->plan->version >= first && gate->plan->version <= last)
		return true;
	return route && ap_plan_route_hash(route) == hash;
}

/* Returns whether @id may be told now: not again before the last message can have had an effect. */
static bool may_tell(gateway_t *gate, const char *id, ap_usec_t now)
{
	gate_told_t *told;

	for (size_t i = 0; i < GATE_TOLD_MAX; i++) {
		if (strcmp(gate->told[i].id, id) == 0 && now - gate->told[i].at < TELL_INTERVAL)
			return false;
	}
	told = &gate->told[gate->n_told++ % GATE_TOLD_MAX];
	ap_copy_name(told->id, sizeof(told->id), id);
	told->at = now;
	return true;
}

/* Sends the configuration in force to @id, or, with @ask, only its version, to get a newer one. */
static void tell(gateway_t *gate, const char *id, bool ask)
{
	ap_told_version_t told = {.version = gate->plan->version};
	ap_store_item_t item;
	ap_peer_port_t port;
	void *bytes;
	size_t len;

	if (!gate->peer || !may_tell(gate, id, ap_now()))
		return;
	if (!ask && ap_snapshot_find(gate->snapshot, ap_host_plan_key(), &item)) {
		told.revision = item.revision;
		told.value = item.value;
		told.len = item.len;
	}
	bytes = ap_version_pack(&told, &len);
	port = ap_peer_as_port(gate->peer);
	if (bytes)
		port.send(port.ctx, id, bytes, len);
	free(bytes);
}

void gate_version_refused(gateway_t *gate, const char *by, const struct evkeyvalq *headers)
{
	const char *version = evhttp_find_header(headers, FORWARD_HEADER_CONFIGURATION);
	uint64_t its = version ? strtoull(version, NULL, 10) : 0;

	if (its != 0 && its != gate->plan->version)
		tell(gate, by, its > gate->plan->version);
}

/* Of the members so far, each is equally likely to be chosen. */
typedef struct choice {
	gateway_t *gate;
	const ap_member_t *chosen;
	uint64_t n;
} choice_t;

static void on_member(void *ctx, const ap_member_t *member)
{
	choice_t *choice = ctx;

	if (strcmp(member->id, choice->gate->self.id) != 0 && !member->draining &&
	    ap_rng_below(&choice->gate->rng, ++choice->n) == 0)
		choice->chosen = member;
}

void gate_version_tick(gateway_t *gate, ap_usec_t now)
{
	choice_t choice = {.gate = gate};

	if (!gate->plan || gate->plan->n_customers == 0 || now < gate->ask_at ||
	    !ap_follow_silent(gate->follow, now))
		return;
	gate->ask_at = now + gate->conf->apply_time / ASKS;
	ap_fleet_each_member(gate->fleet, on_member, &choice);
	if (choice.chosen)
		tell(gate, choice.chosen->id, true);
}

/* Context of a message. */
typedef struct told_by {
	gateway_t *gate;
	const char *id;
} told_by_t;

static void on_told(void *ctx, const ap_told_version_t *told)
{
	const told_by_t *by = ctx;
	gateway_t *gate = by->gate;
	const ap_store_item_t item = {
		.key = ap_host_plan_key(),
		.value = told->value,
		.len = told->len,
		.revision = told->revision,
	};

	if (!gate->plan)
		return;
	if (told->version < gate->plan->version)
		tell(gate, by->id, false);
	if (told->version <= gate->plan->version || told->len == 0)
		return;
	ap_journal_write(gate->journal, AP_RECORD_RARE, "configuration.told", NULL, "s:s,s:I",
			 "other", by->id, "version", (json_int_t)told->version);
	gate_store_item(gate, &item);
}

bool gate_version_told(gateway_t *gate, const char *from, const void *data, size_t len)
{
	told_by_t by = {gate, from};

	return ap_version_unpack(data, len, &by, on_told);
}
