/* One HTTP call to the platform on a connection of its own. Private to the adapter. */
#ifndef AP_PLATFORM_CALL_H
#define AP_PLATFORM_CALL_H

#include "platform/platform.h"

#include <event2/http.h>
#include <sys/queue.h>

/* What became of a call. */
typedef enum ap_call_end {
	AP_CALL_ANSWERED,
	AP_CALL_NOT_SENT, /* no byte of it was written */
	AP_CALL_LOST,	  /* written, but no whole answer came */
} ap_call_end_t;

/**
 * struct ap_call_answer - valid during the callback only.
 * @code: HTTP status code
 * @body: NUL-terminated
 * @index: value of the X-Consul-Index header, or 0
 */
typedef struct ap_call_answer {
	ap_call_end_t end;
	int code;
	const char *body;
	size_t len;
	uint64_t index;
} ap_call_answer_t;

typedef void (*ap_call_done_t)(void *arg, const ap_call_answer_t *answer);

/**
 * struct ap_call_spec - a call to make.
 * @path: with query, already encoded
 * @limit: microseconds until it counts as lost
 * @arg: from malloc(); passed to @done, or freed when the call is dropped
 */
typedef struct ap_call_spec {
	const ap_address_t *to;
	enum evhttp_cmd_type method;
	const char *path;
	const void *body;
	size_t len;
	ap_usec_t limit;
	ap_call_done_t done;
	void *arg;
} ap_call_spec_t;

typedef struct ap_call ap_call_t;
LIST_HEAD(ap_call_list, ap_call);

struct ap_platform {
	struct event_base *base;
	const ap_settings_t *settings;
	struct ap_call_list calls;
	ap_platform_stats_t stats;
};

/** ap_call() - starts a call; done comes once, later, unless the platform object is freed. */
void ap_call(ap_platform_t *p, const ap_call_spec_t *spec);
/** ap_call_drop_all() - forgets every call in progress without calling back. */
void ap_call_drop_all(ap_platform_t *p);

#endif
