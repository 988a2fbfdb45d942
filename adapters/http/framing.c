/* Framing of requests and responses where the library leaves it to its user. */
#include "http/client.h"

#include <ctype.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#define STATUS_CONTINUE 100
#define STATUS_SWITCHING 101 /* never asked for */
#define INTERIM_HEADS_MAX 16 /* of one response */
#define LINE_MAX 65536	     /* bytes */
#define LENGTH "Content-Length"
#define CODING "Transfer-Encoding"
#define NUMBER_MAX 24 /* bytes of a number as text, with terminator */

bool ap_http_line_too_long(const struct evhttp_request *req, const struct evbuffer *in)
{
	return req->chunked && req->ntoread < 0 && evbuffer_get_length(in) > LINE_MAX;
}

static void on_interim_parsed(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	bufferevent_disable(arg, EV_READ);
	bufferevent_decref(arg);
}

/*
 * The library parses what it holds behind an interim response only once the socket was writable,
 * and discards it if a close is read before. It enables reading when it goes on; before that, it
 * does so as the head's callback returns.
 */
static void hold_reading(struct evhttp_request *req)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(evhttp_request_get_connection(req));

	bufferevent_incref(bev);
	if (event_base_once(bufferevent_get_base(bev), -1, EV_TIMEOUT, on_interim_parsed, bev,
			    NULL) != 0)
		bufferevent_decref(bev);
}

bool ap_http_take_interim(struct evhttp_request *req, unsigned *heads)
{
	int status = req->response_code;

	/* The library adds the headers of the next response to these. */
	evhttp_clear_headers(req->input_headers);
	/* The library reads on after 100 only, and takes the others to be final. */
	req->response_code = STATUS_CONTINUE;
	if (status < STATUS_CONTINUE || status == STATUS_SWITCHING || ++*heads > INTERIM_HEADS_MAX)
		return false;
	hold_reading(req);
	return true;
}

static size_t count_headers(const struct evkeyvalq *headers, const char *name)
{
	const struct evkeyval *h;
	size_t n = 0;

	TAILQ_FOREACH (h, headers, next)
		n += strcasecmp(h->key, name) == 0;
	return n;
}

static bool states_length(const char *text, size_t len)
{
	char *end;

	return isdigit((unsigned char)text[0]) && strtoull(text, &end, 10) == len && *end == '\0';
}

bool has_http_1_1(const struct evhttp_request *req)
{
	return req->major > 1 || (req->major == 1 && req->minor > 0);
}

bool ap_http_host_valid(const struct evhttp_request *req)
{
	size_t hosts = count_headers(req->input_headers, "Host");

	return hosts == 1 || (hosts == 0 && !has_http_1_1(req));
}

bool ap_http_framing_valid(const struct evhttp_request *req)
{
	const struct evkeyvalq *headers = req->input_headers;
	const char *coding = evhttp_find_header(headers, CODING);
	const char *length = evhttp_find_header(headers, LENGTH);

	if (count_headers(headers, CODING) + count_headers(headers, LENGTH) > 1)
		return false;
	/* The library doesn't read the body of HEAD; HTTP/1.0 has no codings. */
	if (coding)
		return req->type != EVHTTP_REQ_HEAD && has_http_1_1(req) &&
		       strcasecmp(coding, "chunked") == 0;
	return !length || states_length(length, evbuffer_get_length(req->input_buffer));
}

/* Whether the lengths among @headers are numbers, and the same one. */
static bool states_one_length(const struct evkeyvalq *headers)
{
	const char *first = evhttp_find_header(headers, LENGTH);
	const struct evkeyval *h;

	TAILQ_FOREACH (h, headers, next) {
		if (strcasecmp(h->key, LENGTH) == 0 &&
		    (h->value[strspn(h->value, "0123456789")] != '\0' || h->value[0] == '\0' ||
		     strcmp(h->value, first) != 0))
			return false;
	}
	return true;
}

static void trim_names(struct evkeyvalq *headers)
{
	struct evkeyval *h;

	TAILQ_FOREACH (h, headers, next)
		h->key[strcspn(h->key, " \t")] = '\0';
}

bool ap_http_response_framing_valid(struct evhttp_request *req)
{
	const char *coding;

	trim_names(req->input_headers);
	coding = evhttp_find_header(req->input_headers, CODING);
	/* The library leaves what other codings add in the body, to the connection's end. */
	if (coding)
		return has_http_1_1(req) && strcasecmp(coding, "chunked") == 0 &&
		       count_headers(req->input_headers, CODING) == 1 &&
		       count_headers(req->input_headers, LENGTH) == 0;
	return states_one_length(req->input_headers);
}

static bool expects_body(enum evhttp_cmd_type method)
{
	return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
}

bool ap_http_set_body(struct evhttp_request *req, enum evhttp_cmd_type method, const void *body,
		      size_t len)
{
	char text[NUMBER_MAX];

	while (evhttp_remove_header(req->output_headers, LENGTH) == 0)
		;
	while (evhttp_remove_header(req->output_headers, CODING) == 0)
		;
	if (len == 0 && !expects_body(method))
		return true;
	snprintf(text, sizeof(text), "%zu", len);
	return evhttp_add_header(req->output_headers, LENGTH, text) == 0 &&
	       evbuffer_add(req->output_buffer, body, len) == 0;
}

bool ap_http_response_bodiless(const struct evhttp_request *req)
{
	int status = req->response_code;

	return req->type == EVHTTP_REQ_HEAD || status == HTTP_NOCONTENT ||
	       status == HTTP_NOTMODIFIED || status < 200;
}

bool ap_http_response_framed(const struct evhttp_request *req)
{
	return ap_http_response_bodiless(req) ||
	       evhttp_find_header(req->input_headers, "Content-Length") ||
	       evhttp_find_header(req->input_headers, "Transfer-Encoding");
}
