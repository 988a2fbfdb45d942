/* The HTTP server for operators: configuration, state, readiness, metrics, events, drain. */
#include "control.h"
#include "http/http.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX_BYTES (16 << 20) /* largest configuration document */
#define HEADER_MAX_BYTES 8192
#define TIMEOUT_SECONDS 30
#define BEARER "Bearer "

struct ap_admin {
	ap_control_t *control;
	struct evhttp *http;
};

/* A proposal in progress; the operator may disconnect before it ends. */
typedef struct proposal {
	struct evhttp_request *req;
	bool disconnected;
} proposal_t;

typedef struct route {
	enum evhttp_cmd_type method;
	const char *path;
	void (*handle)(ap_control_t *c, struct evhttp_request *req);
} route_t;

/* Sends the body that is in the output buffer of @req; closes the connection if it isn't @whole. */
static void reply(struct evhttp_request *req, int code, const char *type, bool whole)
{
	if (whole && ap_http_frame(req, code) &&
	    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", type) == 0)
		evhttp_send_reply(req, code, NULL, NULL);
	else
		evhttp_connection_free(evhttp_request_get_connection(req));
}

static void reply_text(struct evhttp_request *req, int code, const char *type, const char *text)
{
	bool added = evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text)) == 0;

	reply(req, code, type, added);
}

/* Takes the reference to @root. */
static void reply_json(struct evhttp_request *req, int code, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	reply_text(req, text ? code : HTTP_SERVUNAVAIL, "application/json", text ? text : "{}");
	free(text);
	json_decref(root);
}

static void reply_error(struct evhttp_request *req, int status, const char *code,
			const char *message)
{
	reply_json(req, status,
		   json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", message));
}

static bool authorized(const ap_control_t *c, struct evhttp_request *req)
{
	const char *given =
		evhttp_find_header(evhttp_request_get_input_headers(req), "Authorization");
	const char *token = c->settings->admin_token;
	size_t len = strlen(token);

	if (!given || strncmp(given, BEARER, strlen(BEARER)) != 0)
		return false;
	given += strlen(BEARER);
	return strlen(given) == len && len > 0 && sodium_memcmp(given, token, len) == 0;
}

/*
 * Reads a number from the query string. @value stays as it is if @key is missing. Returns false if
 * the query string cannot be parsed or the text is not a decimal number.
 */
static bool query_number(struct evhttp_request *req, const char *key, uint64_t *value)
{
	const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq pairs;
	const char *text;
	char *end = NULL;
	bool ok = true;

	if (evhttp_parse_query_str(query ? query : "", &pairs) != 0)
		return false;
	text = evhttp_find_header(&pairs, key);
	if (text) {
		*value = strtoull(text, &end, 10);
		ok = *text >= '0' && *text <= '9' && *end == '\0';
	}
	evhttp_clear_headers(&pairs);
	return ok;
}

static void get_config(ap_control_t *c, struct evhttp_request *req)
{
	const ap_conf_t *conf = ap_spread_current(c->spread);

	if (!conf) {
		reply_json(req, 200, json_pack("{s:i,s:{}}", "generation", 0, "document"));
		return;
	}
	reply_json(req, 200,
		   json_pack("{s:I,s:O}", "generation", (json_int_t)conf->generation, "document",
			     conf->json));
}

static void on_operator_disconnected(struct evhttp_connection *conn, void *arg)
{
	proposal_t *p = arg;

	(void)conn;
	p->disconnected = true;
}

static void reply_conflict(struct evhttp_request *req, const ap_spread_result_t *result)
{
	json_t *fields = result->fields ? json_incref(result->fields) : json_array();

	reply_json(req, 409,
		   json_pack("{s:{s:s,s:s},s:I,s:o}", "error", "code", "conflict", "message",
			     result->err.text, "generation", (json_int_t)result->generation,
			     "fields", fields));
}

static void reply_proposal(struct evhttp_request *req, const ap_spread_result_t *result)
{
	switch (result->status) {
	case AP_SPREAD_OK:
		reply_json(req, 200,
			   json_pack("{s:I}", "generation", (json_int_t)result->generation));
		break;
	case AP_SPREAD_INVALID:
	case AP_SPREAD_MALFORMED:
		reply_error(req, 400, "invalid", result->err.text);
		break;
	case AP_SPREAD_CONFLICT:
		reply_conflict(req, result);
		break;
	case AP_SPREAD_BUSY:
		reply_error(req, 503, "busy", result->err.text);
		break;
	case AP_SPREAD_UNAVAILABLE:
		reply_error(req, 503, "not_accepted", result->err.text);
		break;
	case AP_SPREAD_UNSURE:
		reply_error(req, 504, "unknown", result->err.text);
		break;
	}
}

static void on_proposed(void *arg, const ap_spread_result_t *result)
{
	proposal_t *p = arg;

	if (!p->disconnected) {
		evhttp_connection_set_closecb(evhttp_request_get_connection(p->req), NULL, NULL);
		reply_proposal(p->req, result);
	}
	free(p);
}

static void put_config(ap_control_t *c, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);
	uint64_t base = 0;
	json_error_t where;
	proposal_t *p;
	json_t *doc;

	if (!query_number(req, "base", &base)) {
		reply_error(req, 400, "invalid", "base is not a generation number");
		return;
	}
	doc = json_loadb((const char *)evbuffer_pullup(body, -1), len, JSON_REJECT_DUPLICATES,
			 &where);
	if (!doc) {
		char text[300];

		snprintf(text, sizeof(text), "line %d: %s", where.line, where.text);
		reply_error(req, 400, "invalid", text);
		return;
	}
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->req = req;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), on_operator_disconnected,
				      p);
	ap_spread_propose(c->spread, doc, base, ap_wall_ms(), ap_now(), on_proposed, p);
	json_decref(doc);
}

static void get_history(ap_control_t *c, struct evhttp_request *req)
{
	reply_json(req, 200, ap_spread_history(c->spread));
}

static void get_ready(ap_control_t *c, struct evhttp_request *req)
{
	ap_err_t why = {""};
	bool ready = ap_control_ready(c, &why);

	reply_json(req, ready ? 200 : 503,
		   json_pack("{s:b,s:s}", "ready", ready, "why", ready ? "" : why.text));
}

static json_t *members_json(ap_control_t *c)
{
	ap_member_info_t *list = calloc(AP_ENTRIES_KNOWN_MAX, sizeof(*list));
	ap_usec_t now = ap_now();
	json_t *out = json_array();
	size_t n = 0;

	if (list)
		n = ap_member_list(c->member, list, AP_ENTRIES_KNOWN_MAX, now);
	for (size_t i = 0; i < n && i < AP_ENTRIES_KNOWN_MAX; i++) {
		const ap_member_info_t *m = &list[i];

		json_array_append_new(out, json_pack("{s:s,s:s,s:s,s:s,s:I,s:b}", "id", m->entry.id,
						     "region", m->entry.region, "data_centre",
						     m->entry.data_centre, "state",
						     ap_member_state_name(m->state), "seconds",
						     (json_int_t)((now - m->since) / AP_SEC),
						     "reachable", m->reachable));
	}
	free(list);
	return out;
}

static json_t *upstreams_json(ap_control_t *c)
{
	const ap_conf_t *conf = ap_spread_current(c->spread);
	json_t *out = json_array();

	for (size_t i = 0; c->listing && i < c->listing->n_upstreams; i++) {
		const ap_upstream_t *u = &c->listing->upstreams[i];
		char *loaded[AP_MODELS_MAX];
		size_t n = ap_control_models(c, conf, u, loaded);
		json_t *names = json_array();

		for (size_t m = 0; m < n; m++)
			json_array_append_new(names, json_string(loaded[m]));
		json_array_append_new(
			out,
			json_pack("{s:s,s:s,s:s,s:b,s:b,s:o}", "id", u->id, "region", u->region,
				  "data_centre", u->data_centre, "leaving",
				  u->draining || ap_report_is_draining(c->report, u->id), "polled",
				  ap_report_is_poller(c->report, u->id), "models", names));
	}
	return out;
}

static json_t *order_json(ap_control_t *c)
{
	ap_order_stats_t s = ap_order_stats(c->order, ap_now());

	return json_pack("{s:b,s:I,s:I,s:I,s:I,s:I}", "holder", s.holder, "fence",
			 (json_int_t)s.fence, "loads", (json_int_t)s.loads, "unloads",
			 (json_int_t)s.unloads, "missing", (json_int_t)s.missing, "surplus",
			 (json_int_t)s.surplus);
}

static void get_state(ap_control_t *c, struct evhttp_request *req)
{
	char inc[AP_ID_TEXT_MAX];
	ap_err_t why = {""};
	bool ready = ap_control_ready(c, &why);

	ap_id_format(c->args->inc, inc);
	reply_json(req, 200,
		   json_pack("{s:s,s:s,s:s,s:s,s:I,s:b,s:s,s:b,s:b,s:o,s:o,s:o}", "id",
			     c->settings->id, "region", c->settings->region, "data_centre",
			     c->settings->data_centre, "incarnation", inc, "generation",
			     (json_int_t)ap_spread_generation(c->spread), "ready", ready, "why",
			     ready ? "" : why.text, "draining", c->draining, "store_answers",
			     ap_spread_stats(c->spread).store_answers, "members", members_json(c),
			     "upstreams", upstreams_json(c), "orders", order_json(c)));
}

static void write_counter(struct evbuffer *buf, const char *name, uint64_t value)
{
	evbuffer_add_printf(buf, "arbutuspond_%s %" PRIu64 "\n", name, value);
}

static void write_counters(ap_control_t *c, struct evbuffer *buf)
{
	ap_spread_stats_t spread = ap_spread_stats(c->spread);
	ap_member_stats_t member = ap_member_stats(c->member);
	ap_order_stats_t order = ap_order_stats(c->order, ap_now());
	ap_report_stats_t report = ap_report_stats(c->report);
	ap_platform_stats_t platform = ap_platform_stats(c->platform);
	ap_peer_stats_t peer = ap_peer_stats(c->peer);

	write_counter(buf, "config_generation", ap_spread_generation(c->spread));
	write_counter(buf, "config_accepted_total", spread.accepted);
	write_counter(buf, "config_reverted_total", spread.reverted);
	write_counter(buf, "config_forked_total", spread.forked);
	write_counter(buf, "config_invalid_total", spread.invalid);
	write_counter(buf, "config_segments_deleted_total", spread.deleted);
	write_counter(buf, "config_segments_old", spread.retired);
	write_counter(buf, "store_answers", spread.store_answers);
	write_counter(buf, "store_reads_total", platform.reads);
	write_counter(buf, "store_writes_total", platform.writes);
	write_counter(buf, "platform_failures_total", platform.failures);
	write_counter(buf, "members_alive", member.alive);
	write_counter(buf, "members_suspect", member.suspect);
	write_counter(buf, "members_dead", member.dead);
	write_counter(buf, "orders_holder", order.holder);
	write_counter(buf, "orders_missing", order.missing);
	write_counter(buf, "orders_surplus", order.surplus);
	write_counter(buf, "orders_withdrawals_total", order.withdrawals);
	write_counter(buf, "orders_fenced_total", order.fenced);
	write_counter(buf, "orders_held_back_total", order.held_back);
	write_counter(buf, "reports_sent_bytes_total", report.sent_bytes);
	write_counter(buf, "cache_events_total", c->cache_events);
	write_counter(buf, "peer_sent_total", peer.sent);
	write_counter(buf, "peer_sent_bytes_total", peer.sent_bytes);
	write_counter(buf, "peer_received_bytes_total", peer.received_bytes);
	write_counter(buf, "peer_dropped_total", peer.dropped);
	write_counter(buf, "peer_refused_keys_total", peer.refused_keys);
}

static void get_metrics(ap_control_t *c, struct evhttp_request *req)
{
	struct evbuffer *buf = evhttp_request_get_output_buffer(req);
	const char *entry = c->entry_counters ? c->entry_counters : "";

	write_counters(c, buf);
	reply(req, 200, "text/plain; version=0.0.4", evbuffer_add(buf, entry, strlen(entry)) == 0);
}

static void get_events(ap_control_t *c, struct evhttp_request *req)
{
	uint64_t after = 0;
	char *text;

	if (!query_number(req, "after", &after)) {
		reply_error(req, 400, "invalid", "after is not a number");
		return;
	}
	text = ap_ring_dump(c->ring, after);
	reply_text(req, text ? 200 : HTTP_SERVUNAVAIL, "application/x-ndjson", text ? text : "");
	free(text);
}

static void post_drain(ap_control_t *c, struct evhttp_request *req)
{
	reply_json(req, 202, json_pack("{s:b}", "draining", 1));
	ap_control_drain(c, "requested by an operator");
}

static const route_t routes[] = {
	{EVHTTP_REQ_GET, "/config", get_config},
	{EVHTTP_REQ_PUT, "/config", put_config},
	{EVHTTP_REQ_GET, "/config/history", get_history},
	{EVHTTP_REQ_GET, "/ready", get_ready},
	{EVHTTP_REQ_GET, "/state", get_state},
	{EVHTTP_REQ_GET, "/metrics", get_metrics},
	{EVHTTP_REQ_GET, "/events", get_events},
	{EVHTTP_REQ_POST, "/drain", post_drain},
};

static void on_request(struct evhttp_request *req, void *arg)
{
	ap_admin_t *a = arg;
	const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	bool known = false;

	if (!authorized(a->control, req)) {
		reply_error(req, 401, "unauthorized", "the admin token is missing or wrong");
		return;
	}
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(path ? path : "", routes[i].path) != 0)
			continue;
		known = true;
		if (evhttp_request_get_command(req) == routes[i].method) {
			routes[i].handle(a->control, req);
			return;
		}
	}
	if (known)
		reply_error(req, 405, "method", "the path does not support this method");
	else
		reply_error(req, 404, "not_found", "no such path");
}

ap_admin_t *ap_admin_new(ap_control_t *c, ap_err_t *err)
{
	const ap_address_t *at = &c->settings->admin;
	ap_admin_t *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->control = c;
	a->http = evhttp_new(c->base);
	evhttp_set_allowed_methods(a->http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST);
	evhttp_set_max_body_size(a->http, BODY_MAX_BYTES);
	evhttp_set_max_headers_size(a->http, HEADER_MAX_BYTES);
	evhttp_set_timeout(a->http, TIMEOUT_SECONDS);
	evhttp_set_gencb(a->http, on_request, a);
	if (evhttp_bind_socket(a->http, at->host, at->port) != 0) {
		ap_err_set(err, "cannot listen on %s:%u", at->host, at->port);
		ap_admin_free(a);
		return NULL;
	}
	return a;
}

void ap_admin_free(ap_admin_t *a)
{
	if (!a)
		return;
	evhttp_free(a->http);
	free(a);
}
