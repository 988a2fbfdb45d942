/*
 * Small HTTP calls to the platform and to the control interfaces of upstreams. Each call uses a new
 * connection, since calls are rare and a kept connection might be dead.
 */
#ifndef AP_CALL_H
#define AP_CALL_H

#include "base/base.h"
#include "settings/settings.h"

#include <event2/event.h>
#include <event2/http.h>

/* How a call ended. */
typedef enum ap_call_end {
	AP_CALL_RESPONDED,   /* a complete response arrived, with any status */
	AP_CALL_NOT_SENT,    /* no byte of the request was written */
	AP_CALL_NO_RESPONSE, /* written, but no complete response arrived */
} ap_call_end_t;

/**
 * struct ap_call_response - result of a call; valid during the callback only.
 * @code: HTTP status code
 * @body: NUL-terminated
 * @headers: NULL unless @end is AP_CALL_RESPONDED
 */
typedef struct ap_call_response {
	ap_call_end_t end;
	int code;
	const char *body;
	size_t len;
	struct evkeyvalq *headers;
} ap_call_response_t;

typedef void (*ap_call_done_t)(void *arg, const ap_call_response_t *response);

/**
 * struct ap_call_spec - a call to make.
 * @path: with the query, already encoded
 * @content_type: of @body; NULL for none
 * @if_none_match: ETag of a known response; the server responds 304 if it still matches; NULL for
 *                 none
 * @limit: time limit in microseconds on the whole call, and on each silence; when it passes, the
 *         call ends without a response. A body that arrives at 64 KiB per second or more may take
 *         longer
 * @response_max: maximum body of the response in bytes; 0 for 8 MiB
 * @status_only: the body of a success isn't needed, so that it may end with the connection;
 *               otherwise that is no complete response
 * @done: called once, with the result
 * @arg: allocated by malloc(); passed to @done, or freed if ap_calls_free() drops the call
 */
typedef struct ap_call_spec {
	const ap_address_t *to;
	enum evhttp_cmd_type method;
	const char *path;
	const void *body;
	size_t len;
	const char *content_type;
	const char *if_none_match;
	ap_usec_t limit;
	size_t response_max;
	bool status_only;
	ap_call_done_t done;
	void *arg;
} ap_call_spec_t;

/* The calls in progress of a task. */
typedef struct ap_calls ap_calls_t;

ap_calls_t *ap_calls_new(struct event_base *base);
/** ap_calls_free() - drops the calls in progress without running their callbacks. */
void ap_calls_free(ap_calls_t *calls);
/** ap_calls_drop() - likewise, but more calls may be started. */
void ap_calls_drop(ap_calls_t *calls);
/** ap_call() - starts a call; its callback runs once, after the function has returned. */
void ap_call(ap_calls_t *calls, const ap_call_spec_t *spec);
/** ap_calls_failed() - number of calls so far that ended without a response. */
uint64_t ap_calls_failed(const ap_calls_t *calls);

#endif
