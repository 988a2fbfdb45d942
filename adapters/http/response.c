/*
 * Responses of the HTTP server: whole ones, and those whose body comes in parts. Each tells by its
 * framing where it ends. For a caller without chunks, a body of unknown length is held until it is
 * complete.
 */
#include "http/server.h"
#include "log/log.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>

#define HELD_MAX (1 << 20)	  /* bytes of a body that is held until its length is known, */
#define HELD_TOTAL_MAX (32 << 20) /* and of all of them */
#define LENGTH_TEXT_MAX 24
#define STATUS_BAD_GATEWAY 502

static bool add_headers(struct evhttp_request *req, const ap_http_header_t *headers, size_t n)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);

	for (size_t i = 0; i < n; i++) {
		if (evhttp_add_header(out, headers[i].name, headers[i].value) != 0)
			return false;
	}
	return true;
}

static bool has_body(const struct evhttp_request *req, int status)
{
	return req->type != EVHTTP_REQ_HEAD && status >= HTTP_OK && status != HTTP_NOCONTENT &&
	       status != HTTP_NOTMODIFIED;
}

/* Sends the response to a request that the library rejected. */
static void reply_to_refused(ap_http_call_t *call, int status, const ap_http_header_t *headers,
			     size_t n, const void *body, size_t len)
{
	struct evbuffer *out = evbuffer_new();

	if (!out)
		return;
	evbuffer_add_printf(out, "HTTP/1.1 %d Refused\r\n", status);
	for (size_t i = 0; i < n; i++)
		evbuffer_add_printf(out, "%s: %s\r\n", headers[i].name, headers[i].value);
	evbuffer_add_printf(out, "Connection: close\r\nContent-Length: %zu\r\n\r\n", len);
	evbuffer_add(out, body, len);
	conn_send_last(call->conn, out);
	evbuffer_free(out);
}

bool ap_http_frame(struct evhttp_request *req, int status)
{
	char text[LENGTH_TEXT_MAX];
	const ap_http_header_t length = {"Content-Length", text};

	if (!has_body(req, status)) {
		evbuffer_drain(req->output_buffer, evbuffer_get_length(req->output_buffer));
		return true;
	}
	snprintf(text, sizeof(text), "%zu", evbuffer_get_length(req->output_buffer));
	return add_headers(req, &length, 1);
}

/*
 * Leaves one word on what becomes of the connection: the library adds its own if an HTTP/1.0 caller
 * asked to keep it.
 */
static bool settle_connection(ap_http_call_t *call, bool closes)
{
	static const ap_http_header_t last = {"Connection", "close"};
	struct evhttp_request *req = call->req;
	const char *said = evhttp_find_header(req->output_headers, "Connection");

	/* The library knows only a first field that is this word. */
	closes |= ap_http_lists(req->input_headers, "Connection", "close");
	closes |= said && ap_http_list_contains(said, "close");
	if (!closes)
		return true;
	while (evhttp_remove_header(req->output_headers, "Connection") == 0)
		;
	if (!has_http_1_1(req)) {
		while (evhttp_remove_header(req->input_headers, "Connection") == 0)
			;
	}
	return add_headers(req, &last, 1);
}

/* Sends the head, and the body that is in the request's output buffer; ends @call. */
static void send_whole(ap_http_call_t *call, int status)
{
	bool closes = call->conn->over_limit || call->conn->refused || !call->server->listener;

	if (!settle_connection(call, closes) || !ap_http_frame(call->req, status)) {
		ap_http_call_abort(call);
		return;
	}
	call_end(call);
	evhttp_send_reply(call->req, status, NULL, NULL);
}

void call_drop_held(ap_http_call_t *call)
{
	if (!call->held)
		return;
	call->server->held -= call->n_held;
	call->n_held = 0;
	conn_charge(call->conn);
	evbuffer_free(call->held);
	call->held = NULL;
}

void ap_http_reply(ap_http_call_t *call, int status, const ap_http_header_t *headers, size_t n,
		   const void *body, size_t len)
{
	if (!call->req) {
		reply_to_refused(call, status, headers, n, body, len);
		return;
	}
	call_drop_held(call);
	evhttp_clear_headers(evhttp_request_get_output_headers(call->req));
	call->failed = false;
	if (!add_headers(call->req, headers, n) ||
	    evbuffer_add(evhttp_request_get_output_buffer(call->req), body, len) != 0) {
		ap_log(LOG_ERR, "a response can't be written: its connection is closed");
		ap_http_call_abort(call);
		return;
	}
	send_whole(call, status);
}

/* Gives the response up soon, from the event loop: its owner still holds @call. */
static void fail(ap_http_call_t *call, const char *why)
{
	ap_log(LOG_WARNING, "a response is given up: %s", why);
	call->server->stats.given_up++;
	call->failed = true;
	event_active(call->conn->timer, EV_TIMEOUT, 0);
}

/* Ends a response that can't be completed. */
static void end_failed(ap_http_call_t *call)
{
	if (ap_http_reply_replaceable(call))
		ap_http_reply(call, STATUS_BAD_GATEWAY, NULL, 0, NULL, 0);
	else
		ap_http_call_abort(call);
}

void call_give_up(ap_http_call_t *call)
{
	notify_closed(call);
	end_failed(call);
}

static bool states_length(const struct evhttp_request *req)
{
	return evhttp_find_header(req->output_headers, "Content-Length");
}

void ap_http_reply_start(ap_http_call_t *call, int status, const ap_http_header_t *headers,
			 size_t n)
{
	struct evhttp_request *req = call->req;

	call->status = status;
	if (!add_headers(req, headers, n)) {
		fail(call, "its head can't be written");
		return;
	}
	if (!has_http_1_1(req) && has_body(req, status) && !states_length(req)) {
		call->held = evbuffer_new();
		if (!call->held)
			fail(call, "no memory to hold it");
		return;
	}
	if (!settle_connection(call, false)) {
		fail(call, "its head can't be written");
		return;
	}
	call->begun = true;
	conn_answers(call->conn, true);
	/* The library reads from now on. */
	if (call->hangup)
		event_free(call->hangup);
	call->hangup = NULL;
	evhttp_send_reply_start(req, status, NULL);
}

bool ap_http_reply_replaceable(const ap_http_call_t *call)
{
	return !call->begun;
}

/*
 * Writes directly to the socket as much as it takes, and leaves the rest to the library. The
 * library waits for the socket to become writable, which costs three system calls for each token.
 */
static bool write_chunk(ap_http_call_t *call, struct evbuffer *chunk)
{
	struct bufferevent *bev = call->conn->bev;
	struct evbuffer *out = bufferevent_get_output(bev);

	if (evbuffer_get_length(out) == 0)
		evbuffer_write(chunk, bufferevent_getfd(bev));
	return evbuffer_get_length(chunk) == 0 || evbuffer_add_buffer(out, chunk) == 0;
}

static bool format_chunk(const ap_http_call_t *call, struct evbuffer *chunk, const void *data,
			 size_t len)
{
	if (!call->req->chunked)
		return evbuffer_add(chunk, data, len) == 0;
	return evbuffer_add_printf(chunk, "%zx\r\n", len) > 0 &&
	       evbuffer_add(chunk, data, len) == 0 && evbuffer_add(chunk, "\r\n", 2) == 0;
}

static void hold(ap_http_call_t *call, const void *data, size_t len)
{
	ap_http_server_t *server = call->server;

	if (call->n_held + len > HELD_MAX || server->held + len > HELD_TOTAL_MAX) {
		fail(call, "its caller's version of HTTP has no chunks, and it is too large to be "
			   "held until its length is known");
	} else if (evbuffer_add(call->held, data, len) != 0) {
		fail(call, "no memory to hold it");
	} else {
		call->n_held += len;
		server->held += len;
		conn_charge(call->conn);
		if (!conn_may_hold(call->conn, call->n_held))
			fail(call, "memory is short, and it has to be held until its length is "
				   "known");
	}
}

void ap_http_reply_write(ap_http_call_t *call, const void *data, size_t len)
{
	struct evbuffer *chunk;

	if (call->failed || len == 0 || !has_body(call->req, call->status))
		return;
	if (call->held) {
		hold(call, data, len);
		return;
	}
	chunk = evbuffer_new();
	if (!chunk || !format_chunk(call, chunk, data, len) || !write_chunk(call, chunk))
		fail(call, "no memory for a part of it");
	if (chunk)
		evbuffer_free(chunk);
}

void ap_http_reply_end(ap_http_call_t *call)
{
	struct evhttp_request *req = call->req;

	if (call->held && !call->failed &&
	    evbuffer_add_buffer(evhttp_request_get_output_buffer(req), call->held) != 0)
		call->failed = true;
	if (call->failed) {
		end_failed(call);
	} else if (call->held) {
		call_drop_held(call);
		send_whole(call, call->status);
	} else {
		call_end(call);
		evhttp_send_reply_end(req);
	}
}

size_t ap_http_reply_pending(const ap_http_call_t *call)
{
	return evbuffer_get_length(bufferevent_get_output(call->conn->bev));
}
