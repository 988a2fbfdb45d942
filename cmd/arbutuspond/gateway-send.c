/* Operations of an exchange: requests to upstreams and remote regions, responses to callers. */
#include "gateway.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_LOCAL (300 * AP_MSEC)  /* many times the round trip within a region */
#define CONNECT_REMOTE (800 * AP_MSEC) /* several round trips between regions */
#define UNACKED_LOCAL (1500 * AP_MSEC) /* several TCP retransmissions within a region */
#define UNACKED_REMOTE (3 * AP_SEC)    /* likewise between regions */
#define KEEP_IDLE (10 * AP_SEC)	       /* unless the upstream states less */
#define LATE_MARGIN (1 * AP_SEC)       /* so that the exchange's own timeouts come first */
#define RESPONSE_MAX (16 << 20)	       /* bytes of one response */
#define PENDING_MAX (128 << 10)	       /* bytes waiting for a slow caller; reading pauses above */
#define PENDING_TIGHT 0		       /* likewise while memory is short */
#define HOLD_TIGHT (4 << 10)	       /* bytes of a response that are held then */

static void drop_witness(gate_attempt_t *a)
{
	ap_http_witness_free(a->witness);
	a->witness = NULL;
	a->checking = false;
}

void gate_clear_response(gate_attempt_t *a)
{
	drop_witness(a);
	evhttp_clear_headers(&a->headers);
	a->status = 0;
}

static unsigned slot_of(const gate_attempt_t *a)
{
	return (unsigned)(a - a->call->attempts);
}

static const ap_target_t *target_of(const gate_attempt_t *a)
{
	return &a->call->x.slot[slot_of(a)].target;
}

static ap_fleet_status_t op_choose(void *ctx, const ap_dispatch_t *work, ap_target_t *target)
{
	gate_call_t *c = ctx;

	if (!work->pool)
		return AP_FLEET_NONE;
	return ap_fleet_choose(c->gate->fleet, work, ap_now(), target);
}

static bool op_may_retry(void *ctx)
{
	gate_call_t *c = ctx;
	bool allowed = ap_fleet_may_retry(c->gate->fleet, c->x.req.pool->name, ap_now());

	c->gate->counters.retries += allowed;
	return allowed;
}

/* Passes on what the upstream's response says of the upstream itself. */
static void see_upstream(gate_attempt_t *a, const ap_http_head_t *head,
			 const ap_host_response_t *info)
{
	gate_call_t *c = a->call;
	const ap_target_t *target = target_of(a);

	if (target->remote || head->status == AP_HOST_MISDIRECTED)
		return;
	if (info->weights_invalid)
		ap_journal_write(c->gate->journal, AP_RECORD_RARE, "upstream.weights-invalid",
				 c->id, "s:s", "upstream", target->id);
	/* Only one that has run the request shows that the upstream has the model. */
	if (info->from_replica && info->weights != AP_WEIGHTS_ANY && head->status < 300)
		ap_fleet_weights_seen(c->gate->fleet, target->id, c->x.req.model, info->weights,
				      ap_now());
	if (info->leaving)
		ap_fleet_leaving_seen(c->gate->fleet, target->id, ap_now());
	if (info->limit_invalid)
		ap_journal_write(c->gate->journal, AP_RECORD_RARE, "upstream.limit-invalid", c->id,
				 "s:s", "upstream", target->id);
	else if (info->limit >= 0 || info->from_replica)
		ap_fleet_limit_seen(c->gate->fleet, target->id, info->limit, ap_now());
	if (info->refusals_invalid)
		ap_journal_write(c->gate->journal, AP_RECORD_RARE, "upstream.brittle-invalid",
				 c->id, "s:s", "upstream", target->id);
	else if (info->refusals >= 0 || info->from_replica)
		ap_fleet_brittle_seen(c->gate->fleet, target->id, info->refusals, ap_now());
	if (info->retry_after_invalid)
		ap_journal_write(c->gate->journal, AP_RECORD_RARE, "upstream.backoff-invalid",
				 c->id, "s:s", "upstream", target->id);
	else if (info->retry_after > 0)
		ap_fleet_backoff_seen(c->gate->fleet, target->id, info->retry_after, ap_now());
}

/*
 * Returns whether an upstream that says that it isn't the right one has another version of the
 * weights than it was asked for. If it doesn't say why, that is assumed: requests that ask for no
 * version find out about another upstream at its address.
 */
static bool weights_refused(gate_attempt_t *a, const ap_http_head_t *head,
			    const ap_host_response_t *info)
{
	gate_call_t *c = a->call;
	const char *id = target_of(a)->id;

	if (a->expected == AP_WEIGHTS_ANY || info->weights == a->expected ||
	    ap_host_names_other(head->headers, id))
		return false;
	c->gate->counters.weights_refused++;
	ap_fleet_weights_refused(c->gate->fleet, id, c->x.req.model, a->expected, ap_now());
	if (info->weights != AP_WEIGHTS_ANY)
		ap_fleet_weights_seen(c->gate->fleet, id, c->x.req.model, info->weights, ap_now());
	return true;
}

/* Returns the version of the weights that made the response: as it says, or else the entry. */
static ap_weights_t weights_of(const gate_attempt_t *a, const ap_host_response_t *info)
{
	const ap_target_t *target = target_of(a);

	if (info->weights != AP_WEIGHTS_ANY || target->remote)
		return info->weights;
	return ap_fleet_weights(a->call->gate->fleet, target->id, a->call->x.req.model);
}

/* Returns the build that a remote instance names; 0 for none. */
static uint64_t build_of(const struct evkeyvalq *headers)
{
	const char *build = evhttp_find_header(headers, FORWARD_HEADER_BUILD);

	return build ? strtoull(build, NULL, 16) : 0;
}

/* Makes the pool of @build the one of the request. */
static void follow_pool(gate_call_t *c, uint64_t build)
{
	const ap_plan_pool_t *pool = gate_build_pool(c, build);

	if (pool)
		c->x.req.pool = pool;
}

/* Returns whether @target is in a remote region. */
static bool is_far(const gateway_t *gate, const ap_target_t *target)
{
	return target->remote && strcmp(target->region, gate->self.region) != 0;
}

static void on_head(void *ctx, const ap_http_head_t *head)
{
	gate_attempt_t *a = ctx;
	gate_call_t *c = a->call;
	const ap_target_t *target = target_of(a);
	ap_host_response_t info =
		ap_host_parse_response(head->headers, head->status, c->id, head->reused);
	const char *wait = evhttp_find_header(head->headers, FORWARD_HEADER_WAIT);
	const char *pause = evhttp_find_header(head->headers, FORWARD_HEADER_PAUSE);
	const char *not_run = evhttp_find_header(head->headers, FORWARD_HEADER_NOT_RUN);
	ap_response_head_t response = {
		.status = head->status,
		.refused = info.not_run,
		.sized = head->sized,
		.bodiless = head->bodiless,
		.from_replica = info.from_replica,
		.build = build_of(head->headers),
		.weights = weights_of(a, &info),
		.retry_after = target->remote ? info.retry_after : 0,
	};
	struct evkeyval *h;

	if (!info.id_matches) {
		/*
		 * The response to another request. The one to this request may still arrive, but
		 * the connection cannot be trusted.
		 */
		ap_http_fetch_t *fetch = a->fetch;

		a->fetch = NULL;
		ap_http_fetch_cancel(fetch);
		ap_exchange_end(&c->x, slot_of(a), AP_CONNECTION_BROKEN, ap_now());
		gate_call_update(c);
		return;
	}
	if (head->status == AP_HOST_MISDIRECTED && !target->remote) {
		response.weights_refused = weights_refused(a, head, &info);
		response.address_reused = !response.weights_refused;
	}
	see_upstream(a, head, &info);
	if (target->remote && not_run) {
		response.refused = true;
		response.unsent = strcmp(not_run, FORWARD_NOT_RUN_UNSENT) == 0;
		gate_version_refused(c->gate, target->id, head->headers);
	}
	if (target->remote && pause)
		ap_fleet_remote_pause(c->gate->fleet, target->region, c->x.req.pool->name,
				      ap_duration(strtod(pause, NULL), AP_MSEC), ap_now());
	if (is_far(c->gate, target) && wait)
		ap_fleet_set_remote_wait(c->gate->fleet, target->region, c->x.req.pool->name,
					 ap_dispatch_rank(&c->x.req),
					 ap_duration(strtod(wait, NULL), AP_MSEC), ap_now());
	gate_clear_response(a);
	if (!head->framed && !target->remote)
		a->witness = ap_http_witness_new(a->fetch);
	a->status = head->status;
	TAILQ_FOREACH (h, head->headers, next)
		evhttp_add_header(&a->headers, h->key, h->value);
	ap_exchange_head(&c->x, slot_of(a), &response, ap_now());
	gate_call_update(c);
}

static size_t pending_max(const gateway_t *gate)
{
	return ap_http_budget_tight(gate->budget) ? PENDING_TIGHT : PENDING_MAX;
}

static void on_data(void *ctx, const void *data, size_t len)
{
	gate_attempt_t *a = ctx;
	gate_call_t *c = a->call;

	ap_exchange_data(&c->x, slot_of(a), data, len, ap_now());
	if (c->call && c->started && ap_http_reply_pending(c->call) > pending_max(c->gate))
		gate_call_pause(c, true);
	gate_call_update(c);
}

static void on_holds(void *ctx)
{
	gate_call_update(((gate_attempt_t *)ctx)->call);
}

static ap_connection_end_t connection_end(ap_http_end_t end, bool written)
{
	switch (end) {
	case AP_HTTP_COMPLETE:
		return AP_CONNECTION_COMPLETE;
	case AP_HTTP_CLOSED:
		return AP_CONNECTION_COMPLETE_ON_CLOSE;
	case AP_HTTP_TIMEOUT:
	case AP_HTTP_CONN_DEAD:
		return written ? AP_CONNECTION_TIMED_OUT : AP_CONNECTION_UNSENT;
	case AP_HTTP_UNREACHABLE:
	case AP_HTTP_RESET:
	case AP_HTTP_MALFORMED:
		break;
	}
	return written ? AP_CONNECTION_BROKEN : AP_CONNECTION_UNSENT;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	gate_attempt_t *a = ctx;
	gate_call_t *c = a->call;

	a->ending = a->fetch;
	a->fetch = NULL;
	ap_exchange_end(&c->x, slot_of(a), connection_end(end, written), ap_now());
	a->ending = NULL;
	if (!a->checking)
		drop_witness(a);
	gate_call_update(c);
}

static bool op_send(void *ctx, unsigned slot, const ap_target_t *target, const char *last_event)
{
	gate_call_t *c = ctx;
	gate_attempt_t *a = &c->attempts[slot];
	gateway_t *gate = c->gate;
	ap_usec_t limit = c->x.timeout_at - ap_now() + LATE_MARGIN;
	ap_host_headers_t headers = {0};
	gate_text_t text;
	ap_http_fetch_config_t config = {
		.host = target->host,
		.port = target->port,
		.method = ap_http_call_method(c->call),
		.target = ap_http_call_target(c->call),
		.fresh = !c->x.retryable,
		.lenient = true,
		.no_probe = true,
		/* Instances of earlier builds don't notice a reset. */
		.reset = !target->remote,
		.connect = is_far(gate, target) ? CONNECT_REMOTE : CONNECT_LOCAL,
		.unacked = is_far(gate, target) ? UNACKED_REMOTE : UNACKED_LOCAL,
		.first_byte = limit,
		.between_chunks = limit,
		.idle = KEEP_IDLE,
		.response_max = RESPONSE_MAX,
		.ctx = a,
		.head = on_head,
		.data = on_data,
		.holds = on_holds,
		.end = on_end,
	};

	if (!gate_send_headers(c, target, last_event, &text, &headers)) {
		ap_host_headers_clear(&headers);
		return false;
	}
	config.headers = headers.v;
	config.n_headers = headers.n;
	config.body = ap_http_call_body(c->call, &config.len);
	gate_clear_response(a);
	a->expected = target->remote ? AP_WEIGHTS_ANY : c->x.req.weights;
	a->fetch = ap_http_fetch(gate->client, &config);
	ap_host_headers_clear(&headers);
	if (a->fetch && c->paused)
		ap_http_fetch_pause(a->fetch, true);
	gate->counters.sends += a->fetch != NULL;
	gate->counters.cold_sent += a->fetch && target->cold;
	gate->counters.forwarded_sent += a->fetch && is_far(gate, target);
	gate->counters.peer_sent += a->fetch && target->remote && !is_far(gate, target);
	return a->fetch != NULL;
}

static void op_sent(void *ctx, const ap_target_t *target, ap_inflight_t *inflight)
{
	gate_call_t *c = ctx;

	ap_fleet_sent(c->gate->fleet, &c->x.req, target, ap_now(), inflight);
}

static void op_first_chunk(void *ctx, ap_inflight_t *inflight)
{
	gate_call_t *c = ctx;

	gate_second_first_chunk(c, inflight);
	ap_fleet_first_chunk(c->gate->fleet, inflight, ap_now());
}

static void op_done(void *ctx, ap_inflight_t *inflight, ap_dispatch_result_t end)
{
	gate_call_t *c = ctx;

	gate_second_done(c, inflight, end);
	ap_fleet_done(c->gate->fleet, inflight, end, ap_now());
}

static void op_drop_connection(void *ctx, unsigned slot)
{
	gate_call_t *c = ctx;
	ap_http_fetch_t *fetch = c->attempts[slot].fetch;

	c->attempts[slot].fetch = NULL;
	if (fetch)
		ap_http_fetch_cancel(fetch);
	drop_witness(&c->attempts[slot]);
}

static void on_checked(void *ctx, bool lives)
{
	gate_attempt_t *a = ctx;
	gate_call_t *c = a->call;

	a->witness = NULL;
	a->checking = false;
	c->gate->counters.checks_failed += !lives;
	ap_exchange_checked(&c->x, slot_of(a), !lives, ap_now());
	gate_call_update(c);
}

static bool op_check(void *ctx, unsigned slot)
{
	gate_call_t *c = ctx;
	gate_attempt_t *a = &c->attempts[slot];
	ap_http_witness_question_t question = {
		.id = target_of(a)->id,
		.id_name = ap_host_instance_name(),
		.path = c->x.req.pool->health_path,
		.limit = c->x.timeout_at - ap_now(),
		.ctx = a,
		.done = on_checked,
	};

	c->gate->counters.checks++;
	if (!a->witness)
		return false;
	a->checking = true;
	ap_http_witness_ask(a->witness, &question);
	return true;
}

static ap_usec_t op_arrived(void *ctx, unsigned slot)
{
	const gate_attempt_t *a = &((const gate_call_t *)ctx)->attempts[slot];
	const ap_http_fetch_t *fetch = a->fetch ? a->fetch : a->ending;

	return fetch ? ap_http_fetch_arrived(fetch) : 0;
}

static bool op_stopped(void *ctx, const ap_target_t *target, ap_usec_t within)
{
	const gate_call_t *c = ctx;

	return ap_fleet_may_have_stopped(c->gate->fleet, target->id, ap_now() + within);
}

/* Keeps what another instance has to know if the caller takes the stream up there. */
static void tell_source(const gate_call_t *c, ap_weights_t weights, uint64_t since)
{
	const ap_stream_source_t source = {
		.build = c->x.req.build, .weights = weights, .since = since};

	gateway_t *gate = c->gate;
	ap_peer_port_t port;

	if (!c->x.req.route->resumable || c->forwarded)
		return;
	ap_fleet_stream_served(gate->fleet, c->resumes[0] ? c->resumes : c->id, &source, ap_now());
	if (!gate->peer)
		return;
	port = ap_peer_as_port(gate->peer);
	ap_fleet_tell_streams(gate->fleet, &port, ap_now());
}

/*
 * Returns whether the body is passed on as it is. So is a forwarded stream, which isn't retried
 * here, unless the caller has a part of it already; its length shows its end to the sender.
 */
static bool keeps_length(const gate_call_t *c)
{
	return !c->x.stream || ap_exchange_shows_length(&c->x);
}

static void add_length(const gate_attempt_t *a, ap_host_headers_t *headers)
{
	const char *length = evhttp_find_header(&a->headers, "Content-Length");

	if (length)
		ap_host_add_header(headers, "Content-Length", length);
}

static size_t op_hold_max(void *ctx)
{
	const gate_call_t *c = ctx;

	return ap_http_budget_tight(c->gate->budget) ? HOLD_TIGHT : AP_EXCHANGE_HELD_MAX;
}

/*
 * Starts a response in parts. One that is no stream and has arrived completely is sent by
 * op_end() with its length instead.
 */
static void op_head(void *ctx, unsigned slot)
{
	gate_call_t *c = ctx;
	gate_attempt_t *a = &c->attempts[slot];
	ap_host_headers_t headers = {0};
	gate_text_t text;

	/* A remote instance may have picked another pool of the route than this one. */
	if (c->x.stream && target_of(a)->remote)
		follow_pool(c, c->x.slot[slot].head.build);
	/* What goes on says nothing of the events before. */
	if (c->x.stream)
		tell_source(c, c->x.req.weights, strtoull(c->x.last_event_id, NULL, 10));
	if (!c->x.stream && !a->fetch)
		return;
	gate_response_headers(c, &headers, &text);
	if (keeps_length(c))
		add_length(a, &headers);
	c->status = a->status;
	c->started = true;
	ap_http_reply_start(c->call, c->status, headers.v, headers.n);
	ap_host_headers_clear(&headers);
}

/* The upstream of the response has loaded another version since its head. */
static void op_weights(void *ctx, ap_weights_t weights, uint64_t since)
{
	gate_call_t *c = ctx;
	const gate_attempt_t *a = &c->attempts[c->x.current];

	if (!target_of(a)->remote)
		ap_fleet_weights_seen(c->gate->fleet, target_of(a)->id, c->x.req.model,
				      c->x.req.weights, ap_now());
	tell_source(c, weights, since);
}

static void op_data(void *ctx, const void *data, size_t len)
{
	gate_call_t *c = ctx;

	if (c->started) {
		ap_http_reply_write(c->call, data, len);
		return;
	}
	if (!c->body)
		c->body = evbuffer_new();
	c->body_lost |= !c->body || evbuffer_add(c->body, data, len) != 0;
}

static void op_reply(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason)
{
	gate_call_t *c = ctx;
	ap_http_call_t *call = c->call;
	ap_host_headers_t headers = {0};
	char body[GATE_ERROR_MAX];
	gate_text_t text;
	char after[24];
	size_t len = gate_error_body(ap_reason_name(reason), body);

	c->call = NULL;
	c->status = status;
	/* The exchange replies 503 only if the request did not run. */
	c->outcome = status == 503 ? GATE_REFUSED : GATE_UNKNOWN;
	ap_host_add_header(&headers, gate_json.name, gate_json.value);
	if (c->id[0])
		ap_host_add_header(&headers, ap_host_id_name(), c->id);
	if (status == 503) {
		ap_host_format_retry_after(retry_after, after);
		ap_host_add_header(&headers, ap_host_retry_after_name(), after);
		if (c->forwarded)
			ap_host_add_header(&headers, FORWARD_HEADER_NOT_RUN,
					   c->x.sends == 0 ? FORWARD_NOT_RUN_UNSENT : "1");
	}
	gate_add_wait(c, &headers, &text);
	gate_add_close(c, &headers);
	ap_http_reply(call, status, headers.v, headers.n, body, len);
	ap_host_headers_clear(&headers);
}

static void op_end(void *ctx)
{
	gate_call_t *c = ctx;
	ap_http_call_t *call = c->call;
	ap_host_headers_t headers = {0};
	gate_text_t text;
	size_t len = c->body ? evbuffer_get_length(c->body) : 0;

	if (c->body_lost) {
		op_reply(ctx, 502, 0, AP_REASON_BROKEN);
		return;
	}
	c->call = NULL;
	if (!c->started)
		c->status = c->attempts[c->x.current].status;
	c->outcome = c->status < 300 ? GATE_DONE : GATE_FAILED;
	if (c->started) {
		ap_http_reply_end(call);
		return;
	}
	gate_response_headers(c, &headers, &text);
	ap_http_reply(call, c->status, headers.v, headers.n,
		      len > 0 ? evbuffer_pullup(c->body, -1) : NULL, len);
	ap_host_headers_clear(&headers);
}

static void op_abort_response(void *ctx)
{
	gate_call_t *c = ctx;
	ap_http_call_t *call = c->call;

	if (ap_http_reply_replaceable(call)) {
		op_reply(ctx, c->x.reason == AP_REASON_TIMEOUT ? 504 : 502, 0, c->x.reason);
	} else {
		c->call = NULL;
		ap_http_call_abort(call);
	}
	c->outcome = GATE_ABORTED;
}

static void op_log_step(void *ctx, ap_step_t step, const ap_target_t *target)
{
	gate_record_step(ctx, step, target);
}

const ap_exchange_ops_t gate_ops = {
	.choose = op_choose,
	.may_retry = op_may_retry,
	.slow_after = gate_second_after,
	.second = gate_second_judge,
	.send = op_send,
	.sent = op_sent,
	.first_chunk = op_first_chunk,
	.done = op_done,
	.drop_connection = op_drop_connection,
	.check = op_check,
	.arrived = op_arrived,
	.stopped = op_stopped,
	.weights = op_weights,
	.hold_max = op_hold_max,
	.head = op_head,
	.data = op_data,
	.end = op_end,
	.abort_response = op_abort_response,
	.reply = op_reply,
	.log_step = op_log_step,
};
