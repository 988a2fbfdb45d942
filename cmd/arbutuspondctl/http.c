/* HTTP client that runs an event loop for each call. */
#include "http.h"
#include "http/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define CALL_TIMEOUT_S 120

typedef struct call {
	const http_request_t *request;
	http_response_t *response;
	struct event_base *base;
} call_t;

static void append_chunk(call_t *call, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	http_response_t *a = call->response;
	size_t len = evbuffer_get_length(in);
	char *grown = realloc(a->body, a->len + len + 1);

	if (!grown)
		abort();
	a->body = grown;
	evbuffer_remove(in, a->body + a->len, len);
	a->body[a->len + len] = '\0';
	if (call->request->on_chunk && evhttp_request_get_response_code(req) == 200)
		call->request->on_chunk(call->request->ctx, a->body + a->len, len);
	a->len += len;
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	append_chunk(arg, req);
}

static int on_headers(struct evhttp_request *req, void *arg)
{
	call_t *call = arg;
	struct evkeyval *header;

	call->response->code = evhttp_request_get_response_code(req);
	if (call->response->code >= HTTP_OK && !ap_http_response_framing_valid(req))
		return -1;
	TAILQ_FOREACH (header, evhttp_request_get_input_headers(req), next)
		evhttp_add_header(&call->response->headers, header->key, header->value);
	return 0;
}

static void on_done(struct evhttp_request *req, void *arg)
{
	call_t *call = arg;

	if (req && evhttp_request_get_response_code(req) != 0) {
		append_chunk(call, req);
		call->response->complete = ap_http_response_framed(req);
	}
	event_base_loopbreak(call->base);
}

static void add_headers(struct evhttp_request *req, const http_request_t *request)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char text[512];

	snprintf(text, sizeof(text), "%s:%u", request->to->host, request->to->port);
	evhttp_add_header(out, "Host", text);
	evhttp_add_header(out, "Connection", "close");
	if (request->bearer) {
		snprintf(text, sizeof(text), "Bearer %s", request->bearer);
		evhttp_add_header(out, "Authorization", text);
	}
	for (const char *const *h = request->headers; h && *h; h += 2) {
		if (h[1] && *h[1])
			evhttp_add_header(out, h[0], h[1]);
	}
	if (!ap_http_set_body(req, request->method, request->body,
			      request->body ? strlen(request->body) : 0))
		abort();
}

static bool start(call_t *call, struct evhttp_connection *conn)
{
	struct evhttp_request *req = evhttp_request_new(on_done, call);

	if (!req)
		return false;
	evhttp_request_set_header_cb(req, on_headers);
	evhttp_request_set_chunked_cb(req, on_chunk);
	add_headers(req, call->request);
	return evhttp_make_request(conn, req, call->request->method, call->request->path) == 0;
}

bool http_call(const http_request_t *request, http_response_t *response)
{
	struct event_base *base = event_base_new();
	call_t call = {.request = request, .response = response, .base = base};
	struct evhttp_connection *conn;

	*response = (http_response_t){.body = strdup("")};
	TAILQ_INIT(&response->headers);
	if (!base || !response->body)
		abort();
	conn = evhttp_connection_base_new(base, NULL, request->to->host, request->to->port);
	if (!conn)
		abort();
	evhttp_connection_set_timeout(conn, CALL_TIMEOUT_S);
	if (start(&call, conn))
		event_base_dispatch(base);
	response->connected = response->code != 0 ||
			      bufferevent_getfd(evhttp_connection_get_bufferevent(conn)) >= 0;
	evhttp_connection_free(conn);
	event_base_free(base);
	return response->complete;
}

void http_clear(http_response_t *response)
{
	evhttp_clear_headers(&response->headers);
	free(response->body);
}

const char *http_header(const http_response_t *response, const char *name)
{
	const char *value = evhttp_find_header(&response->headers, name);

	return value ? value : "";
}

json_t *http_json(const http_response_t *response)
{
	return json_loadb(response->body, response->len, 0, NULL);
}

static ctl_exit_t exit_for(int code)
{
	switch (code) {
	case 400:
		return CTL_INVALID;
	case 409:
		return CTL_CONFLICT;
	case 502:
	case 504:
		return CTL_UNKNOWN;
	case 503:
		return CTL_NOT_RUN;
	default:
		return CTL_REFUSED;
	}
}

static void print_fields(json_t *fields)
{
	json_t *field;
	size_t i;

	json_array_foreach (fields, i, field) {
		const char *name = json_string_value(json_object_get(field, "field"));

		if (name)
			fprintf(stderr, "  %s\n", name);
	}
}

ctl_exit_t http_fail(const http_request_t *request, const http_response_t *response)
{
	json_t *json;
	json_t *error;
	const char *message;

	if (!response->complete) {
		ctl_fail(CTL_UNREACHABLE, "%s:%u: %s", request->to->host, request->to->port,
			 response->connected ? "incomplete response" : "no connection");
		return response->connected && request->method != EVHTTP_REQ_GET ? CTL_UNKNOWN
										: CTL_UNREACHABLE;
	}
	json = http_json(response);
	error = json_object_get(json, "error");
	message = json_string_value(json_object_get(error, "message"));
	ctl_fail(CTL_REFUSED, "%s:%u answered %d: %s", request->to->host, request->to->port,
		 response->code, message ? message : response->body);
	print_fields(json_object_get(json, "fields"));
	json_decref(json);
	return exit_for(response->code);
}

http_request_t http_admin_request(const ctl_options_t *o, const ap_address_t *to,
				  enum evhttp_cmd_type method, const char *path)
{
	return (http_request_t){.to = to, .method = method, .path = path, .bearer = o->token};
}
