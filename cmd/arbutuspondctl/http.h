/* Blocking HTTP calls. */
#ifndef CTL_HTTP_H
#define CTL_HTTP_H

#include "ctl.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

/**
 * struct http_request - a call to make.
 * @bearer: sent as the Authorization header, or NULL
 * @headers: name and value pairs, terminated by NULL, or NULL; empty values are not sent
 * @body: NULL for none
 * @on_chunk: called with each chunk of a 200 response as it is received, or NULL
 * @ctx: passed to @on_chunk
 */
typedef struct http_request {
	const ap_address_t *to;
	enum evhttp_cmd_type method;
	const char *path;
	const char *bearer;
	const char *const *headers;
	const char *body;
	void (*on_chunk)(void *ctx, const char *data, size_t len);
	void *ctx;
} http_request_t;

/**
 * struct http_response - result of a call; free with http_clear().
 * @code: HTTP status, 0 if no response was received
 * @connected: the connection was made, so the call may have been carried out
 * @complete: the response was received to its end
 * @body: NUL-terminated, never NULL
 * @len: bytes of @body without the terminator
 */
typedef struct http_response {
	int code;
	bool connected;
	bool complete;
	struct evkeyvalq headers;
	char *body;
	size_t len;
} http_response_t;

/** http_call() - makes the call and waits for it. Return: true if the response is complete. */
bool http_call(const http_request_t *request, http_response_t *response);
void http_clear(http_response_t *response);
/** http_header() - value of a header of the response, or "". */
const char *http_header(const http_response_t *response, const char *name);
/** http_json() - parses the body; NULL if it is not JSON; new reference. */
json_t *http_json(const http_response_t *response);
/** http_fail() - prints why a call failed. Return: the exit status for that. */
ctl_exit_t http_fail(const http_request_t *request, const http_response_t *response);
/** http_admin_request() - prepares a call to an admin listener. */
http_request_t http_admin_request(const ctl_options_t *o, const ap_address_t *to,
				  enum evhttp_cmd_type method, const char *path);

#endif
