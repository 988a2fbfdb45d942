/* Small HTTP calls, each on a connection of its own. */
#include "call/call.h"
#include "http/syntax.h"
#include "log/log.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define RESPONSE_MAX_BYTES (8 << 20)
#define HEAD_MAX_BYTES (64 << 10)
#define HTTP_MULTIPLE 300
#define BODY_RATE (64 << 10) /* bytes per second that a body has to arrive with at least */

typedef struct ap_call ap_call_t;
LIST_HEAD(ap_call_list, ap_call);

struct ap_calls {
	struct event_base *base;
	struct ap_call_list list;
	uint64_t failed;
};

struct ap_call {
	LIST_ENTRY(ap_call) link;
	ap_calls_t *owner;
	struct evhttp_connection *conn;
	struct event *end_event;    /* ends the call, at its time limit or on request */
	struct evhttp_request *req; /* NULL once the library is done with it */
	ap_call_done_t done;
	void *arg;
	ap_usec_t started;
	ap_usec_t limit;
	size_t response_max;
	size_t body_bytes; /* received after the head */
	unsigned interim_heads;
	bool status_only;
	bool head_received;
	bool written;
	bool ended; /* no response is waited for any more */
	bool reported;
	ap_http_syntax_t syntax; /* of the response */
};

static void call_free(ap_call_t *call)
{
	LIST_REMOVE(call, link);
	event_free(call->end_event);
	if (call->conn)
		evhttp_connection_free(call->conn);
	free(call);
}

static void report(ap_call_t *call, const ap_call_response_t *response)
{
	call->reported = true;
	if (response->end != AP_CALL_RESPONDED)
		call->owner->failed++;
	call->done(call->arg, response);
}

/*
 * What has arrived of a body extends the limit by the time that it takes at BODY_RATE, so that a
 * large response may cross a narrow link. Bytes of a head, and silence, extend nothing.
 */
static ap_usec_t time_left(const ap_call_t *call)
{
	ap_usec_t body_time = (ap_usec_t)call->body_bytes * AP_SEC / BODY_RATE;

	return call->started + call->limit + body_time - ap_now();
}

static void on_end(evutil_socket_t fd, short what, void *arg)
{
	ap_call_t *call = arg;
	ap_usec_t left = time_left(call);
	struct timeval tv;

	(void)fd;
	(void)what;
	if (!call->ended && left > 0) {
		tv = ap_timeval(left);
		event_add(call->end_event, &tv);
		return;
	}
	if (!call->reported) {
		ap_call_response_t none = {.end = call->written ? AP_CALL_NO_RESPONSE
								: AP_CALL_NOT_SENT};

		report(call, &none);
	}
	call_free(call);
}

/* Ends the call outside the library's callback. */
static void schedule_end(ap_call_t *call)
{
	call->ended = true;
	event_active(call->end_event, EV_TIMEOUT, 0);
}

static void on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	ap_call_t *call = arg;

	(void)buf;
	if (info->n_deleted > 0)
		call->written = true;
}

/*
 * Gives up a response that is malformed, or of which the library holds more than a call may
 * receive.
 */
static void on_input(struct evbuffer *in, const struct evbuffer_cb_info *info, void *arg)
{
	ap_call_t *call = arg;

	if (info->n_added == 0 || !call->req)
		return;
	if (call->head_received)
		call->body_bytes += info->n_added;
	ap_http_syntax_read(&call->syntax, in, info->n_added);
	if (call->syntax.malformed ||
	    evbuffer_get_length(in) > HEAD_MAX_BYTES + call->response_max ||
	    ap_http_line_too_long(call->req, in))
		schedule_end(call);
}

static int on_head(struct evhttp_request *req, void *arg)
{
	ap_call_t *call = arg;

	if (evhttp_request_get_response_code(req) >= HTTP_OK) {
		call->head_received =
			!call->syntax.malformed && ap_http_response_framing_valid(req);
		return call->head_received ? 0 : -1;
	}
	return ap_http_take_interim(req, &call->interim_heads) ? 0 : -1;
}

/* Whether the body that is needed ended with the connection, as one that breaks off does. */
static bool may_be_cut(const ap_call_t *call, const struct evhttp_request *req)
{
	int status = evhttp_request_get_response_code(req);

	return !call->status_only && status < HTTP_MULTIPLE && !ap_http_response_framed(req);
}

static void on_response(struct evhttp_request *req, void *arg)
{
	ap_call_t *call = arg;
	ap_call_response_t response = {.end = AP_CALL_RESPONDED};
	struct evbuffer *body;

	call->req = NULL;
	if (call->reported)
		return;
	/* Without a final head: no response, or an interim one that the library takes to be final.
	 */
	if (!req || !call->head_received || call->syntax.malformed || may_be_cut(call, req) ||
	    evbuffer_add(evhttp_request_get_input_buffer(req), "", 1) != 0) {
		schedule_end(call);
		return;
	}
	response.code = evhttp_request_get_response_code(req);
	body = evhttp_request_get_input_buffer(req);
	response.len = evbuffer_get_length(body) - 1;
	response.body = (const char *)evbuffer_pullup(body, -1);
	response.headers = evhttp_request_get_input_headers(req);
	report(call, &response);
	schedule_end(call);
}

static bool start(ap_call_t *call, const ap_call_spec_t *spec)
{
	struct evhttp_request *req = evhttp_request_new(on_response, call);
	struct timeval limit = ap_timeval(spec->limit);
	struct bufferevent *bev;
	char host[AP_HOST_MAX + 8];

	if (!req)
		return false;
	call->conn =
		evhttp_connection_base_new(call->owner->base, NULL, spec->to->host, spec->to->port);
	if (!call->conn) {
		evhttp_request_free(req);
		return false;
	}
	evhttp_connection_set_timeout_tv(call->conn, &limit);
	evhttp_connection_set_retries(call->conn, 0);
	evhttp_connection_set_max_headers_size(call->conn, HEAD_MAX_BYTES);
	evhttp_connection_set_max_body_size(call->conn, (ev_ssize_t)call->response_max);
	bev = evhttp_connection_get_bufferevent(call->conn);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, call);
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, call);
	evhttp_request_set_header_cb(req, on_head);
	snprintf(host, sizeof(host), "%s:%u", spec->to->host, spec->to->port);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", host);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	if (spec->content_type && spec->len > 0)
		evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
				  spec->content_type);
	if (spec->if_none_match)
		evhttp_add_header(evhttp_request_get_output_headers(req), "If-None-Match",
				  spec->if_none_match);
	if (!ap_http_set_body(req, spec->method, spec->body, spec->len)) {
		evhttp_request_free(req);
		return false;
	}
	call->req = req;
	call->syntax = (ap_http_syntax_t){
		.response = true,
		.no_body = spec->method == EVHTTP_REQ_HEAD,
	};
	if (evhttp_make_request(call->conn, req, spec->method, spec->path) == 0)
		return true;
	call->req = NULL;
	return false;
}

ap_calls_t *ap_calls_new(struct event_base *base)
{
	ap_calls_t *calls = calloc(1, sizeof(*calls));

	if (!calls)
		return NULL;
	calls->base = base;
	LIST_INIT(&calls->list);
	return calls;
}

static void drop(ap_call_t *call)
{
	/* Freeing the connection may run on_response(), which must not report the call. */
	if (!call->reported)
		free(call->arg);
	call->reported = true;
	call_free(call);
}

void ap_calls_drop(ap_calls_t *calls)
{
	ap_call_t *call;
	ap_call_t *next;

	for (call = LIST_FIRST(&calls->list); call; call = next) {
		next = LIST_NEXT(call, link);
		/* The callback of one that has been reported may be running. */
		if (!call->reported)
			drop(call);
	}
}

void ap_calls_free(ap_calls_t *calls)
{
	ap_call_t *call;
	ap_call_t *next;

	if (!calls)
		return;
	for (call = LIST_FIRST(&calls->list); call; call = next) {
		next = LIST_NEXT(call, link);
		drop(call);
	}
	free(calls);
}

void ap_call(ap_calls_t *calls, const ap_call_spec_t *spec)
{
	struct timeval limit = ap_timeval(spec->limit);
	ap_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->owner = calls;
	call->done = spec->done;
	call->arg = spec->arg;
	call->status_only = spec->status_only;
	call->started = ap_now();
	call->limit = spec->limit;
	call->response_max = spec->response_max ? spec->response_max : RESPONSE_MAX_BYTES;
	call->end_event = event_new(calls->base, -1, 0, on_end, call);
	if (!call->end_event)
		abort();
	LIST_INSERT_HEAD(&calls->list, call, link);
	event_add(call->end_event, &limit);
	if (!start(call, spec))
		schedule_end(call);
}

uint64_t ap_calls_failed(const ap_calls_t *calls)
{
	return calls->failed;
}
