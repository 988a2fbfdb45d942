/*
 * Small HTTP calls to the platform and to upstreams' control interfaces, a connection each: they
 * are rare, and none rides on a stale connection.
 */
#ifndef AP_CALL_H
#define AP_CALL_H

#include "base/base.h"
#include "settings/settings.h"

#include <event2/event.h>
#include <event2/http.h>

/* What became of a call. */
typedef enum ap_call_end {
	AP_CALL_RESPONDED,
	AP_CALL_NOT_SENT,    /* no byte of it was written */
	AP_CALL_NO_RESPONSE, /* written, but no whole answer came */
} ap_call_end_t;

/**
 * struct ap_call_response - valid during the callback only.
 * @code: HTTP status code
 * @body: NUL-terminated
 * @headers: NULL unless answered
 */
typedef struct ap_call_response {
	ap_call_end_t end;
	int code;
	const char *body;
	size_t len;
	struct evkeyvalq *headers;
} ap_call_response_t;

typedef void (*ap_call_done_t)(void *arg, const ap_call_response_t *answer);

/**
 * struct ap_call_spec - a call to make.
 * @path: with query, already encoded
 * @content_type: of @body; NULL for none
 * @if_none_match: ETag of an answer that need not be sent again (304 then); NULL for none
 * @limit: microseconds until it counts as lost
 * @arg: from malloc(); passed to @done, or freed when the call is dropped
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
	ap_call_done_t done;
	void *arg;
} ap_call_spec_t;

/* The calls in progress of one task. */
typedef struct ap_calls ap_calls_t;

ap_calls_t *ap_calls_new(struct event_base *base);
/** ap_calls_free() - drops every call in progress without calling back. */
void ap_calls_free(ap_calls_t *calls);
/** ap_call() - starts a call; done comes once, later. */
void ap_call(ap_calls_t *calls, const ap_call_spec_t *spec);
/** ap_calls_failed() - calls so far that brought no answer. */
uint64_t ap_calls_failed(const ap_calls_t *calls);

#endif
