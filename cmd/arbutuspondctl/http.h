/* One HTTP call after the other, each waited for. */
#ifndef CTL_HTTP_H
#define CTL_HTTP_H

#include "ctl.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

/**
 * struct http_request - a call to make.
 * @bearer: sent as the Authorization header, or NULL
 * @headers: pairs of name and value, ended by NULL; a pair with an empty value is left out
 * @body: NULL for none
 * @part: takes each part of a 200 answer as it comes; or NULL
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
 * struct http_response - what came of it; free with http_clear().
 * @code: HTTP status, 0 when no answer came
 * @connected: a connection stood, so the call may have been carried out
 * @whole: the answer came to its end
 * @body: with a terminator, never NULL
 */
typedef struct http_response {
	int code;
	bool connected;
	bool complete;
	struct evkeyvalq headers;
	char *body;
	size_t len;
} http_response_t;

/** http_call() - makes the call. Return: true when a whole answer came. */
bool http_call(const http_request_t *request, http_response_t *response);
void http_clear(http_response_t *response);
/** http_header() - value of a header of the answer, or "". */
const char *http_header(const http_response_t *response, const char *name);
/** http_json() - the body as JSON, or NULL; new reference. */
json_t *http_json(const http_response_t *response);
/** http_fail() - reports an answer other than 200 and turns it into an exit status. */
ctl_exit_t http_fail(const http_request_t *request, const http_response_t *response);
/** http_admin_request() - a call to an admin listener. */
http_request_t http_admin_request(const ctl_options_t *o, const ap_address_t *to,
				  enum evhttp_cmd_type method, const char *path);

#endif
