/* What an exchange asks for: sends to upstreams and instances, answers to callers. */
#include "gateway.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CONNECT_HERE (300 * AP_MSEC)  /* many times the round trip within a region */
#define CONNECT_AWAY (800 * AP_MSEC)  /* several round trips between regions */
#define UNACKED_HERE (1500 * AP_MSEC) /* several retransmissions within a region */
#define UNACKED_AWAY (3 * AP_SEC)     /* the same between regions */
#define KEEP_IDLE (10 * AP_SEC)	      /* unless the upstream says less */
#define LATE_MARGIN (1 * AP_SEC)      /* the exchange's own limits come first */
#define ANSWER_MAX (16 << 20)	      /* bytes of one answer */
#define PENDING_MAX (128 << 10)	      /* bytes that wait for a slow caller */
#define PRIORITY_UNTOLD 10

static void forget_answer(gate_call_t *c)
{
	evhttp_clear_headers(&c->answer);
	c->status = 0;
}

static void call_free(gate_call_t *c)
{
	LIST_REMOVE(c, link);
	event_free(c->timer);
	ap_exchange_clear(&c->x);
	forget_answer(c);
	if (c->body)
		evbuffer_free(c->body);
	ap_plan_unref(c->plan);
	free(c);
}

void gate_settle(gate_call_t *c)
{
	ap_usec_t due = ap_exchange_due(&c->x);
	struct timeval tv;
	ap_usec_t now;

	if (c->x.finished) {
		gate_record_end(c);
		call_free(c);
		return;
	}
	if (due == c->timer_at || due == AP_NEVER)
		return;
	/* A timer that fires too early finds nothing to do and is set again. */
	if (c->timer_at != 0 && c->timer_at <= due)
		return;
	now = ap_now();
	c->timer_at = due;
	tv = ap_timeval(due > now ? due - now : 0);
	event_add(c->timer, &tv);
}

static ap_fleet_status_t op_choose(void *ctx, const ap_dispatch_t *work, ap_target_t *target)
{
	gate_call_t *c = ctx;

	if (!work->pool)
		return AP_FLEET_NONE;
	return ap_fleet_choose(c->gate->fleet, work, ap_now(), target);
}

static bool op_may_repeat(void *ctx)
{
	gate_call_t *c = ctx;
	bool may = ap_fleet_may_retry(c->gate->fleet, c->x.work.pool->name, ap_now());

	c->gate->counters.repeats += may;
	return may;
}

static void on_head(void *ctx, const ap_http_head_t *head)
{
	gate_call_t *c = ctx;
	ap_host_answer_t answer = ap_host_answer(head->headers, head->status, c->id);
	const char *wait = evhttp_find_header(head->headers, HOP_HEADER_WAIT);
	ap_response_head_t own = {
		.status = head->status,
		.refused = answer.not_run,
		.moved = head->status == 421 && !c->x.target.remote,
		.from_replica = answer.stamped,
	};
	struct evkeyval *h;

	if (!answer.own) {
		/* Somebody else's answer: ours may follow, but not on a connection like this. */
		ap_http_fetch_t *fetch = c->fetch;

		c->fetch = NULL;
		ap_http_fetch_cancel(fetch);
		ap_exchange_end(&c->x, AP_LINK_BROKEN, ap_now());
		gate_settle(c);
		return;
	}
	if (c->x.target.remote && evhttp_find_header(head->headers, HOP_HEADER_NOT_RUN))
		own.refused = true;
	if (c->x.target.remote && wait)
		ap_fleet_set_remote_wait(c->gate->fleet, c->x.target.region, c->x.work.pool->name,
					 c->x.work.route->priority,
					 strtol(wait, NULL, 10) * AP_MSEC, ap_now());
	forget_answer(c);
	c->status = head->status;
	TAILQ_FOREACH (h, head->headers, next)
		evhttp_add_header(&c->answer, h->key, h->value);
	ap_exchange_head(&c->x, &own, ap_now());
	gate_settle(c);
}

static void on_data(void *ctx, const void *data, size_t len)
{
	gate_call_t *c = ctx;

	ap_exchange_data(&c->x, data, len, ap_now());
	if (c->call && c->fetch && c->started && !c->paused &&
	    ap_http_reply_pending(c->call) > PENDING_MAX) {
		c->paused = true;
		ap_http_fetch_pause(c->fetch, true);
	}
	gate_settle(c);
}

static ap_link_end_t link_end(ap_http_end_t end, bool written)
{
	switch (end) {
	case AP_HTTP_COMPLETE:
		return AP_LINK_COMPLETE;
	case AP_HTTP_CLOSED:
		return AP_LINK_COMPLETE_ON_CLOSE;
	case AP_HTTP_TIMEOUT:
	case AP_HTTP_CONN_DEAD:
		return written ? AP_LINK_TIMED_OUT : AP_LINK_UNSENT;
	case AP_HTTP_UNREACHABLE:
	case AP_HTTP_RESET:
	case AP_HTTP_MALFORMED:
		break;
	}
	return written ? AP_LINK_BROKEN : AP_LINK_UNSENT;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	gate_call_t *c = ctx;

	c->fetch = NULL;
	ap_exchange_end(&c->x, link_end(end, written), ap_now());
	gate_settle(c);
}

/* Headers between instances are not for anybody else. */
static void drop_hop_headers(ap_host_headers_t *headers)
{
	size_t kept = 0;

	for (size_t i = 0; i < headers->n; i++) {
		if (strncasecmp(headers->v[i].name, HOP_HEADER_PREFIX, strlen(HOP_HEADER_PREFIX)) !=
		    0)
			headers->v[kept++] = headers->v[i];
	}
	headers->n = kept;
}

static bool send_headers(gate_call_t *c, const ap_target_t *target, const char *last_event,
			 ap_host_headers_t *headers)
{
	ap_host_send_t send = {
		.from = ap_http_call_headers(c->call),
		.upstream = target->remote ? NULL : target->id,
		.time_left = c->x.timeout_at - ap_now(),
		.priority = target->remote ? PRIORITY_UNTOLD : c->x.work.route->priority,
		.last_event = last_event,
	};

	if (!ap_host_send_headers(&send, headers))
		return false;
	drop_hop_headers(headers);
	if (!target->remote)
		return true;
	if (headers->n + 2 > AP_HOST_HEADERS_MAX)
		return false;
	headers->v[headers->n++] = (ap_http_header_t){HOP_HEADER_PROOF, c->gate->proof};
	/* One run there; what is left of the attempts stays with us. */
	headers->v[headers->n++] = (ap_http_header_t){HOP_HEADER_ATTEMPTS, "1"};
	return true;
}

static bool op_send(void *ctx, const ap_target_t *target, const char *last_event)
{
	gate_call_t *c = ctx;
	gateway_t *gate = c->gate;
	ap_usec_t limit = c->x.timeout_at - ap_now() + LATE_MARGIN;
	ap_host_headers_t headers;
	ap_http_fetch_config_t config = {
		.host = target->host,
		.port = target->port,
		.method = ap_http_call_method(c->call),
		.target = ap_http_call_target(c->call),
		.fresh = !c->x.repeatable,
		.lenient = true,
		.no_probe = true,
		.connect = target->remote ? CONNECT_AWAY : CONNECT_HERE,
		.unacked = target->remote ? UNACKED_AWAY : UNACKED_HERE,
		.first_byte = limit,
		.between_chunks = limit,
		.idle = KEEP_IDLE,
		.response_max = ANSWER_MAX,
		.ctx = c,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};

	if (!send_headers(c, target, last_event, &headers))
		return false;
	config.headers = headers.v;
	config.n_headers = headers.n;
	config.body = ap_http_call_body(c->call, &config.len);
	forget_answer(c);
	c->paused = false;
	c->fetch = ap_http_fetch(gate->client, &config);
	gate->counters.sends += c->fetch != NULL;
	gate->counters.sends_away += c->fetch && target->remote;
	return c->fetch != NULL;
}

static void op_sent(void *ctx, const ap_target_t *target, ap_inflight_t *ticket)
{
	gate_call_t *c = ctx;

	ap_fleet_sent(c->gate->fleet, &c->x.work, target, ap_now(), ticket);
}

static void op_first(void *ctx, ap_inflight_t *ticket)
{
	gate_call_t *c = ctx;

	ap_fleet_first_chunk(c->gate->fleet, ticket, ap_now());
}

static void op_done(void *ctx, ap_inflight_t *ticket, ap_dispatch_result_t end)
{
	gate_call_t *c = ctx;

	ap_fleet_done(c->gate->fleet, ticket, end, ap_now());
}

static void op_drop(void *ctx)
{
	gate_call_t *c = ctx;
	ap_http_fetch_t *fetch = c->fetch;

	c->fetch = NULL;
	if (fetch)
		ap_http_fetch_cancel(fetch);
}

/* To an instance that sent us a guest: how long the next one would wait. */
static void add_wait(gate_call_t *c, ap_host_headers_t *headers, char text[24])
{
	ap_usec_t wait;

	if (!c->guest || !c->x.work.pool || headers->n == AP_HOST_HEADERS_MAX)
		return;
	wait = ap_fleet_local_wait(c->gate->fleet, &c->x.work, ap_now());
	if (wait == AP_NEVER)
		return;
	snprintf(text, 24, "%lld", (long long)(wait / AP_MSEC));
	headers->v[headers->n++] = (ap_http_header_t){HOP_HEADER_WAIT, text};
}

static void add_close(const gate_call_t *c, ap_host_headers_t *headers)
{
	if (c->gate->leave_at != 0 && !c->guest && headers->n < AP_HOST_HEADERS_MAX)
		headers->v[headers->n++] = (ap_http_header_t){"Connection", "close"};
}

static void answer_headers(gate_call_t *c, ap_host_headers_t *headers, char text[24])
{
	if (!ap_host_answer_headers(&c->answer, headers))
		ap_journal_write(c->gate->journal, AP_RECORD_RARE, "answer.headers-cut", c->id,
				 NULL);
	drop_hop_headers(headers);
	add_wait(c, headers, text);
	add_close(c, headers);
}

/* A whole answer is given at its end, with its length; a longer one goes out in parts. */
static void op_head(void *ctx)
{
	gate_call_t *c = ctx;
	ap_host_headers_t headers;
	char text[24];

	if (!c->x.stream && !c->fetch)
		return;
	answer_headers(c, &headers, text);
	c->started = true;
	ap_http_reply_start(c->call, c->status, headers.v, headers.n);
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
	if (c->body)
		evbuffer_add(c->body, data, len);
}

static void op_end(void *ctx)
{
	gate_call_t *c = ctx;
	ap_http_call_t *call = c->call;
	ap_host_headers_t headers;
	char text[24];
	size_t len = c->body ? evbuffer_get_length(c->body) : 0;

	c->call = NULL;
	c->outcome = c->status < 300 ? GATE_DONE : GATE_FAILED;
	if (c->started) {
		ap_http_reply_end(call);
		return;
	}
	answer_headers(c, &headers, text);
	ap_http_reply(call, c->status, headers.v, headers.n,
		      len > 0 ? evbuffer_pullup(c->body, -1) : NULL, len);
}

static void op_cut(void *ctx)
{
	gate_call_t *c = ctx;
	ap_http_call_t *call = c->call;

	c->call = NULL;
	c->outcome = GATE_CUT;
	ap_http_call_abort(call);
}

static void op_reply(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason)
{
	gate_call_t *c = ctx;
	ap_http_call_t *call = c->call;
	ap_host_headers_t headers = {.v[0] = gate_json, .n = 1};
	char body[GATE_ERROR_MAX];
	char wait[24];
	char again[24];
	size_t len = gate_error_body(ap_reason_name(reason), body);

	c->call = NULL;
	c->status = status;
	c->outcome = status == 503 ? GATE_REFUSED : GATE_UNKNOWN;
	if (c->id[0])
		headers.v[headers.n++] = (ap_http_header_t){ap_host_id_name(), c->id};
	if (status == 503) {
		ap_host_retry_after(retry_after, again);
		headers.v[headers.n++] = (ap_http_header_t){ap_host_retry_after_name(), again};
		if (c->guest)
			headers.v[headers.n++] = (ap_http_header_t){HOP_HEADER_NOT_RUN, "1"};
	}
	add_wait(c, &headers, wait);
	add_close(c, &headers);
	ap_http_reply(call, status, headers.v, headers.n, body, len);
}

static void op_decided(void *ctx, ap_step_t step, const ap_target_t *target)
{
	gate_note_step(ctx, step, target);
}

const ap_exchange_ops_t gate_ops = {
	.choose = op_choose,
	.may_retry = op_may_repeat,
	.send = op_send,
	.sent = op_sent,
	.first = op_first,
	.done = op_done,
	.drop_connection = op_drop,
	.head = op_head,
	.data = op_data,
	.end = op_end,
	.abort_response = op_cut,
	.reply = op_reply,
	.log_step = op_decided,
};
