/* HTTP calls to the platform. A connection each: calls are rare, and none rides on a stale one. */
#include "platform/call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MAX_BYTES (8 << 20)

struct ap_call {
	LIST_ENTRY(ap_call) link;
	ap_platform_t *platform;
	struct evhttp_connection *conn;
	struct event *later; /* ends the call outside of the library's callback */
	ap_call_done_t done;
	void *arg;
	bool written;
	bool reported;
};

static void call_free(ap_call_t *call)
{
	LIST_REMOVE(call, link);
	if (call->later)
		event_free(call->later);
	if (call->conn)
		evhttp_connection_free(call->conn);
	free(call);
}

static void report(ap_call_t *call, const ap_call_answer_t *answer)
{
	call->reported = true;
	if (answer->end != AP_CALL_ANSWERED)
		call->platform->stats.failures++;
	call->done(call->arg, answer);
}

static void on_later(evutil_socket_t fd, short what, void *arg)
{
	ap_call_t *call = arg;

	(void)fd;
	(void)what;
	if (!call->reported) {
		ap_call_answer_t lost = {.end = call->written ? AP_CALL_LOST : AP_CALL_NOT_SENT};

		report(call, &lost);
	}
	call_free(call);
}

static void end_later(ap_call_t *call)
{
	event_active(call->later, EV_TIMEOUT, 0);
}

static void on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	ap_call_t *call = arg;

	(void)buf;
	if (info->n_deleted > 0)
		call->written = true;
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	ap_call_t *call = arg;
	ap_call_answer_t answer = {.end = AP_CALL_ANSWERED};
	struct evbuffer *body;
	const char *index;

	if (call->reported)
		return;
	if (!req || evhttp_request_get_response_code(req) == 0) {
		end_later(call);
		return;
	}
	answer.code = evhttp_request_get_response_code(req);
	body = evhttp_request_get_input_buffer(req);
	evbuffer_add(body, "", 1);
	answer.len = evbuffer_get_length(body) - 1;
	answer.body = (const char *)evbuffer_pullup(body, -1);
	index = evhttp_find_header(evhttp_request_get_input_headers(req), "X-Consul-Index");
	if (index)
		answer.index = strtoull(index, NULL, 10);
	report(call, &answer);
	end_later(call);
}

static bool start(ap_call_t *call, const ap_call_spec_t *spec)
{
	struct evhttp_request *req = evhttp_request_new(on_answer, call);
	struct timeval limit = {.tv_sec = spec->limit / AP_SEC, .tv_usec = spec->limit % AP_SEC};
	struct bufferevent *bev;
	char host[AP_HOST_MAX + 8];

	if (!req)
		return false;
	call->conn = evhttp_connection_base_new(call->platform->base, NULL, spec->to->host,
						spec->to->port);
	if (!call->conn) {
		evhttp_request_free(req);
		return false;
	}
	evhttp_connection_set_timeout_tv(call->conn, &limit);
	evhttp_connection_set_retries(call->conn, 0);
	evhttp_connection_set_max_body_size(call->conn, ANSWER_MAX_BYTES);
	bev = evhttp_connection_get_bufferevent(call->conn);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, call);
	snprintf(host, sizeof(host), "%s:%u", spec->to->host, spec->to->port);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", host);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	if (spec->len > 0)
		evbuffer_add(evhttp_request_get_output_buffer(req), spec->body, spec->len);
	return evhttp_make_request(call->conn, req, spec->method, spec->path) == 0;
}

void ap_call(ap_platform_t *p, const ap_call_spec_t *spec)
{
	ap_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->platform = p;
	call->done = spec->done;
	call->arg = spec->arg;
	call->later = event_new(p->base, -1, 0, on_later, call);
	LIST_INSERT_HEAD(&p->calls, call, link);
	if (!start(call, spec))
		end_later(call);
}

void ap_call_drop_all(ap_platform_t *p)
{
	ap_call_t *call = LIST_FIRST(&p->calls);

	while (call) {
		ap_call_t *next = LIST_NEXT(call, link);

		/* Freeing the connection may run on_answer(); it must find nothing to report. */
		if (!call->reported)
			free(call->arg);
		call->reported = true;
		call_free(call);
		call = next;
	}
}
