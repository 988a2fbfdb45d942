/* Small HTTP calls, each on a connection of its own. */
#include "call/call.h"
#include "log/log.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define RESPONSE_MAX_BYTES (8 << 20)

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
	struct event *end_event; /* ends the call outside the library's callback */
	ap_call_done_t done;
	void *arg;
	bool written;
	bool reported;
};

static void call_free(ap_call_t *call)
{
	LIST_REMOVE(call, link);
	if (call->end_event)
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

static void on_end(evutil_socket_t fd, short what, void *arg)
{
	ap_call_t *call = arg;

	(void)fd;
	(void)what;
	if (!call->reported) {
		ap_call_response_t none = {.end = call->written ? AP_CALL_NO_RESPONSE
								: AP_CALL_NOT_SENT};

		report(call, &none);
	}
	call_free(call);
}

static void schedule_end(ap_call_t *call)
{
	event_active(call->end_event, EV_TIMEOUT, 0);
}

static void on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	ap_call_t *call = arg;

	(void)buf;
	if (info->n_deleted > 0)
		call->written = true;
}

static void on_response(struct evhttp_request *req, void *arg)
{
	ap_call_t *call = arg;
	ap_call_response_t response = {.end = AP_CALL_RESPONDED};
	struct evbuffer *body;

	if (call->reported)
		return;
	if (!req || evhttp_request_get_response_code(req) == 0) {
		schedule_end(call);
		return;
	}
	response.code = evhttp_request_get_response_code(req);
	body = evhttp_request_get_input_buffer(req);
	evbuffer_add(body, "", 1);
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
	evhttp_connection_set_max_body_size(call->conn, RESPONSE_MAX_BYTES);
	bev = evhttp_connection_get_bufferevent(call->conn);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, call);
	snprintf(host, sizeof(host), "%s:%u", spec->to->host, spec->to->port);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", host);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	if (spec->content_type && spec->len > 0)
		evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
				  spec->content_type);
	if (spec->if_none_match)
		evhttp_add_header(evhttp_request_get_output_headers(req), "If-None-Match",
				  spec->if_none_match);
	if (spec->len > 0)
		evbuffer_add(evhttp_request_get_output_buffer(req), spec->body, spec->len);
	return evhttp_make_request(call->conn, req, spec->method, spec->path) == 0;
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

void ap_calls_free(ap_calls_t *calls)
{
	ap_call_t *call;
	ap_call_t *next;

	if (!calls)
		return;
	for (call = LIST_FIRST(&calls->list); call; call = next) {
		next = LIST_NEXT(call, link);
		/* Freeing the connection may run on_response(), which must not report the call. */
		if (!call->reported)
			free(call->arg);
		call->reported = true;
		call_free(call);
	}
	free(calls);
}

void ap_call(ap_calls_t *calls, const ap_call_spec_t *spec)
{
	ap_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->owner = calls;
	call->done = spec->done;
	call->arg = spec->arg;
	call->end_event = event_new(calls->base, -1, 0, on_end, call);
	LIST_INSERT_HEAD(&calls->list, call, link);
	if (!start(call, spec))
		schedule_end(call);
}

uint64_t ap_calls_failed(const ap_calls_t *calls)
{
	return calls->failed;
}
