/* Readiness check, the directory of instances for callers, and metrics. */
#include "gateway.h"

#include "build.h"
#include "wire/wire.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* If all active instances of the region are gone, the TTL is shorter: callers query again soon. */
#define FALLBACK_TTL_DIVISOR 4
#define DIRECTORY_MAX 64 /* addresses in a response, as many as callers use */
#define BUILD_LABELS 96	 /* bytes */

const ap_http_header_t gate_json = {"Content-Type", "application/json"};
static const ap_http_header_t type_text = {"Content-Type", "text/plain; version=0.0.4"};

size_t gate_error_body(const char *error, char out[GATE_ERROR_MAX])
{
	return (size_t)snprintf(out, GATE_ERROR_MAX, "{\"error\":\"%s\"}\n", error);
}

static void reply_error(ap_http_call_t *call, int status, const char *error)
{
	char body[GATE_ERROR_MAX];
	size_t len = gate_error_body(error, body);

	ap_http_reply(call, status, &gate_json, 1, body, len);
}

void gate_on_ready(void *ctx, ap_http_call_t *call)
{
	gateway_t *gate = ctx;

	if (!ap_host_is_ready_path(ap_http_call_path(call)))
		reply_error(call, 404, "no-such-path");
	else if (gate->drain_started != 0)
		reply_error(call, 503, "leaving");
	else if (!gate->plan)
		reply_error(call, 503, "no-configuration");
	else
		ap_http_reply(call, 200, &gate_json, 1, "{}\n", 3);
}

void gate_on_directory(void *ctx, ap_http_call_t *call)
{
	gateway_t *gate = ctx;
	const ap_member_t *members[DIRECTORY_MAX];
	ap_usec_t ttl = gate->conf->directory_ttl;
	char region[AP_NAME_MAX];
	char host[AP_PLAN_PATH_MAX];
	bool fallback = false;
	size_t n;
	char *text;

	if (!ap_host_is_directory_path(ap_http_call_path(call))) {
		reply_error(call, 404, "no-such-path");
		return;
	}
	if (!ap_host_directory_query(call, region, host))
		ap_copy_name(region, sizeof(region), gate->self.region);
	n = ap_fleet_directory(gate->fleet, gate->plan, host, region, members, DIRECTORY_MAX,
			       &fallback, ap_now());
	if (fallback) {
		ttl /= FALLBACK_TTL_DIVISOR;
		ap_journal_write(gate->journal, AP_RECORD_RARE, "directory.stopgap", NULL,
				 "s:s,s:s,s:i,s:s", "region", region, "host", host, "named", (int)n,
				 "first", n > 0 ? members[0]->id : "");
	}
	text = n > 0 ? ap_host_directory_response(members, n, ttl) : NULL;
	if (!text) {
		reply_error(call, 503, "no-instance");
		return;
	}
	ap_http_reply(call, 200, &gate_json, 1, text, strlen(text));
	free(text);
}

/* Appends a sample of a metric; @labels is empty or in braces. */
static void put(struct evbuffer *out, const char *name, const char *labels, double value)
{
	evbuffer_add_printf(out, "arbutuspond_%s%s %.10g\n", name, labels, value);
}

static void put_outcomes(struct evbuffer *out, const gate_counters_t *n)
{
	char labels[64];

	for (size_t i = 0; i < GATE_OUTCOMES; i++) {
		snprintf(labels, sizeof(labels), "{outcome=\"%s\"}",
			 gate_outcome_name((gate_outcome_t)i));
		put(out, "requests_ended_total", labels, (double)n->ended[i]);
	}
	for (size_t i = 1; i < AP_REASONS; i++) {
		snprintf(labels, sizeof(labels), "{reason=\"%s\"}", ap_reason_name((ap_reason_t)i));
		put(out, "answers_own_total", labels, (double)n->own_errors[i]);
	}
}

/* Appends a histogram of durations; @sum_us is in microseconds. */
static void put_histogram(struct evbuffer *out, const char *name, const uint64_t *counts,
			  double sum_us)
{
	uint64_t total = 0;
	char metric[64];
	char labels[32];

	snprintf(metric, sizeof(metric), "%s_bucket", name);
	for (size_t i = 0; i < GATE_BUCKETS; i++) {
		total += counts[i];
		snprintf(labels, sizeof(labels), "{le=\"%g\"}",
			 (double)gate_bounds[i] / (double)AP_SEC);
		put(out, metric, labels, (double)total);
	}
	total += counts[GATE_BUCKETS];
	put(out, metric, "{le=\"+Inf\"}", (double)total);
	snprintf(metric, sizeof(metric), "%s_sum", name);
	put(out, metric, "", sum_us / (double)AP_SEC);
	snprintf(metric, sizeof(metric), "%s_count", name);
	put(out, metric, "", (double)total);
}

static void put_gauges(struct evbuffer *out, gateway_t *gate)
{
	ap_usec_t now = ap_now();
	ap_fleet_stats_t fleet = ap_fleet_stats(gate->fleet, now);
	ap_host_store_stats_t store = ap_host_store_stats(gate->store);
	ap_journal_stats_t journal = ap_journal_stats(gate->journal);
	ap_usec_t age = ap_follow_age(gate->follow, now);
	char labels[BUILD_LABELS];

	snprintf(labels, sizeof(labels), "{build=\"%s\",wire=\"%d\"}", ap_build_name,
		 AP_WIRE_VERSION);
	put(out, "upstreams", "{state=\"listed\"}", (double)fleet.replicas);
	put(out, "upstreams", "{state=\"usable\"}", (double)fleet.usable);
	put(out, "upstreams", "{state=\"draining\"}", (double)fleet.draining);
	put(out, "upstreams", "{state=\"cold\"}", (double)fleet.cold);
	put(out, "upstreams", "{state=\"ejected\"}", (double)fleet.ejected);
	put(out, "upstreams", "{state=\"unreachable\"}", (double)fleet.unreachable);
	put(out, "upstreams", "{state=\"limited\"}", (double)fleet.limited);
	put(out, "upstreams", "{state=\"brittle\"}", (double)fleet.brittle);
	put(out, "upstreams", "{state=\"backoff\"}", (double)fleet.backoff);
	put(out, "prompt_parts", "{state=\"suspect\"}", (double)fleet.suspect_parts);
	put(out, "fingerprints", "{state=\"suspect\"}", (double)fleet.suspect_requests);
	put(out, "build_info", labels, 1);
	put(out, "instances", "", (double)fleet.members);
	put(out, "instances_other_wire", "", (double)fleet.other_wire);
	put(out, "messages_skipped_total", "{what=\"kind\"}", (double)fleet.skipped.kinds);
	put(out, "messages_skipped_total", "{what=\"version\"}", (double)fleet.skipped.versions);
	put(out, "fields_skipped_total", "", (double)fleet.skipped.fields);
	put(out, "prompt_fetches_total", "", (double)fleet.fetches.asked);
	put(out, "prompt_fetch_tokens_total", "", (double)fleet.fetches.tokens);
	put(out, "prompt_fetches_missed_total", "", (double)fleet.fetches.missed);
	put(out, "relay_served", "", (double)fleet.relay_served);
	put(out, "batch_dropped_total", "", (double)fleet.batch_dropped);
	put(out, "room_pools", "", (double)fleet.room_pools);
	put(out, "room_requests_total", "{how=\"forwarded\"}", (double)fleet.room_forwarded);
	put(out, "room_requests_total", "{how=\"refused\"}", (double)fleet.room_refused);
	put(out, "work_running", "", (double)fleet.running);
	put(out, "configuration_version", "", gate->plan ? (double)gate->plan->version : 0);
	put(out, "store_age_seconds", "", age == AP_NEVER ? -1 : (double)age / (double)AP_SEC);
	put(out, "store_era", "", (double)gate->store_era);
	put(out, "store_revision", "", (double)ap_follow_revision(gate->follow));
	put(out, "store_calls_total", "{result=\"any\"}", (double)store.calls);
	put(out, "store_calls_total", "{result=\"refused\"}", (double)store.refused);
	put(out, "store_calls_total", "{result=\"unsure\"}", (double)store.unsure);
	put(out, "streams_taken_up_total", "", (double)gate->counters.taken_up);
	put(out, "streams_unknown_total", "",
	    (double)gate->counters.taken_up_by[AP_STREAM_UNKNOWN]);
	for (ap_stream_evidence_t e = AP_STREAM_NAMED; e < AP_STREAM_EVIDENCES; e++) {
		snprintf(labels, sizeof(labels), "{evidence=\"%s\"}", ap_stream_evidence_name(e));
		put(out, "streams_source_total", labels, (double)gate->counters.taken_up_by[e]);
	}
	put(out, "streams_disagreed_total", "", (double)gate->counters.streams_disagreed);
	put(out, "weights_mismatch_total", "{how=\"refused\"}",
	    (double)gate->counters.weights_refused);
	put(out, "weights_mismatch_total", "{how=\"dropped\"}",
	    (double)gate->counters.weights_differed);
	put(out, "closed_responses_total", "{upstream=\"alive\"}",
	    (double)(gate->counters.checks - gate->counters.checks_failed));
	put(out, "closed_responses_total", "{upstream=\"gone\"}",
	    (double)gate->counters.checks_failed);
	for (size_t i = 1; i < AP_DOUBTS; i++) {
		snprintf(labels, sizeof(labels), "{why=\"%s\"}", ap_doubt_name((ap_doubt_t)i));
		put(out, "ends_doubted_total", labels, (double)gate->counters.doubts[i]);
	}
	put(out, "store_unreadable_total", "", (double)gate->counters.unreadable);
	put(out, "log_lines_total", "{result=\"written\"}", (double)journal.written);
	put(out, "log_lines_total", "{result=\"dropped\"}", (double)journal.dropped);
	put(out, "leaving", "", gate->drain_started != 0);
}

void gate_on_metrics(void *ctx, ap_http_call_t *call)
{
	gateway_t *gate = ctx;
	const gate_counters_t *n = &gate->counters;
	ap_http_client_stats_t client = ap_http_client_stats(gate->client);
	ap_http_budget_stats_t memory = ap_http_budget_stats(gate->budget);
	struct evbuffer *out = evbuffer_new();

	if (!out) {
		reply_error(call, 503, "out-of-memory");
		return;
	}
	put(out, "requests_total", "", (double)n->requests);
	put(out, "left_unread_total", "",
	    (double)(ap_http_server_stats(gate->callers).left +
		     ap_http_server_stats(gate->peers).left));
	put(out, "requests_without_chunks_total", "",
	    (double)ap_http_server_stats(gate->callers).without_chunks);
	put(out, "responses_given_up_total", "",
	    (double)ap_http_server_stats(gate->callers).given_up);
	put(out, "held_bytes", "", (double)memory.used);
	put(out, "held_bytes_limit", "", (double)memory.limit);
	put(out, "caller_connections", "", (double)memory.connections);
	put(out, "memory_short_total", "{what=\"paused\"}", (double)memory.paused);
	put(out, "memory_short_total", "{what=\"gave_way\"}", (double)memory.gave_way);
	put(out, "memory_short_total", "{what=\"closed\"}", (double)memory.closed);
	put(out, "guests_total", "", (double)n->forwarded_received);
	put(out, "sends_total", "", (double)n->sends);
	put(out, "sends_away_total", "", (double)n->forwarded_sent);
	put(out, "sends_peer_total", "", (double)n->peer_sent);
	put(out, "sends_cold_total", "", (double)n->cold_sent);
	put(out, "repeats_total", "", (double)n->retries);
	put(out, "upstream_connections_total", "{how=\"opened\"}", (double)client.opened);
	put(out, "upstream_connections_total", "{how=\"reused\"}", (double)client.reused);
	put(out, "upstream_connections_total", "{how=\"stray\"}", (double)client.stray);
	put_outcomes(out, n);
	put_histogram(out, "first_piece_seconds", n->first_chunk, n->first_chunk_sum);
	put_histogram(out, "request_seconds", n->duration, n->duration_sum);
	put_gauges(out, gate);
	gate_customer_metrics(gate, out);
	gate_second_metrics(gate, out);
	ap_http_reply(call, 200, &type_text, 1, evbuffer_pullup(out, -1), evbuffer_get_length(out));
	evbuffer_free(out);
}
