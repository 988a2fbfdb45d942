/*
 * HTTP/1.1 over evhttp: a server for callers and a client for upstreams. One object a task; all
 * callbacks come from the task's event loop. The process must ignore SIGPIPE.
 */
#ifndef AP_HTTP_H
#define AP_HTTP_H

#include "base/base.h"

#include <event2/event.h>
#include <event2/http.h>

/**
 * struct ap_http_header - one header line; both texts are copied by whoever takes it.
 */
typedef struct ap_http_header {
	const char *name;
	const char *value;
} ap_http_header_t;

/**
 * ap_http_list_contains() - is @word one of the words of a header's value, as "Connection" lists
 * them?
 * @list: NULL for a header that is not there
 */
bool ap_http_list_contains(const char *list, const char *word);

/** ap_http_base_new() - an event loop that serves many short writes well. */
struct event_base *ap_http_base_new(void);

typedef enum ap_http_status {
	AP_HTTP_STATUS_OK,
	AP_HTTP_STATUS_BIND,	  /* the address is taken or wrong */
	AP_HTTP_STATUS_NO_MEMORY, /* nothing was made */
} ap_http_status_t;

typedef struct ap_http_server ap_http_server_t;

/*
 * One request of a caller. The handle is valid until the final reply was given or the closed
 * callback returned, whichever comes first.
 */
typedef struct ap_http_call ap_http_call_t;

/* Why something that a caller sent never becomes a request. */
typedef enum ap_http_refusal {
	AP_HTTP_REFUSED_MALFORMED,	/* request line or headers */
	AP_HTTP_REFUSED_HEAD_TOO_LARGE, /* line and headers together */
	AP_HTTP_REFUSED_BODY_TOO_LARGE, /* the body; or its chunks are malformed */
	AP_HTTP_REFUSED_METHOD,		/* not one that is taken */
	AP_HTTP_REFUSED_EXPECT,		/* an expectation other than 100-continue */
	AP_HTTP_REFUSED_TIMEOUT,	/* it did not arrive within its limit */
	AP_HTTP_REFUSED_TRUNCATED,	/* the caller closed before it was whole */
	AP_HTTP_REFUSED_CONNECTIONS,	/* too many connections are open */
	AP_HTTP_REFUSED_NO_MEMORY,	/* out of memory */
} ap_http_refusal_t;

/**
 * struct ap_http_server_config - made once at start.
 * @port: 0 lets the system choose, see ap_http_server_port()
 * @header_bytes: largest request line and headers
 * @body_bytes: largest body
 * @connections: open connections at most, 0 for any number; requests on some more are refused, any
 *               beyond these are closed at once
 * @idle: life of a connection without a request, and of a reply that the caller does not read
 * @arrival: from a request's first byte to its last, 0 for any time
 * @request: takes each whole request
 * @refused: answers what never becomes a request, with ap_http_reply() before it returns; nothing
 *           else may be asked of @call. NULL leaves these answers to the library
 * @flushed: the last answer that was still going out has gone, or its caller has; may be NULL
 */
typedef struct ap_http_server_config {
	struct event_base *base;
	const char *host;
	uint16_t port;
	size_t header_bytes;
	size_t body_bytes;
	size_t connections;
	ap_usec_t idle;
	ap_usec_t arrival;
	void *ctx;
	void (*request)(void *ctx, ap_http_call_t *call);
	void (*refused)(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);
	void (*flushed)(void *ctx);
} ap_http_server_config_t;

ap_http_status_t ap_http_server_new(const ap_http_server_config_t *config,
				    ap_http_server_t **server, ap_err_t *err);
/** ap_http_server_free() - closes every connection; open calls get their closed callback. */
void ap_http_server_free(ap_http_server_t *server);
/**
 * ap_http_server_stop() - takes no more connections and closes the idle ones. Requests under way
 * go on; each caller's answer should say that its connection closes.
 */
void ap_http_server_stop(ap_http_server_t *server);
/** ap_http_server_flushing() - answers that were given but have not all gone out. */
size_t ap_http_server_flushing(const ap_http_server_t *server);

/**
 * struct ap_http_server_stats - what became of callers' connections.
 * @open: open now
 * @late: requests that did not arrive within their limit
 * @refused: requests refused since too many connections were open
 * @closed: connections closed at once for that reason
 */
typedef struct ap_http_server_stats {
	size_t open;
	uint64_t timed_out;
	uint64_t refused;
	uint64_t closed;
} ap_http_server_stats_t;

ap_http_server_stats_t ap_http_server_stats(const ap_http_server_t *server);
uint16_t ap_http_server_port(const ap_http_server_t *server);

/**
 * ap_http_call_watch() - who hears of @call.
 * @closed: the caller hung up; the handle ends with this callback
 * @drained: all that was written has gone to the caller
 */
void ap_http_call_watch(ap_http_call_t *call, void *ctx, void (*closed)(void *ctx),
			void (*drained)(void *ctx));
enum evhttp_cmd_type ap_http_call_method(const ap_http_call_t *call);
/** ap_http_call_target() - path and query as received. */
const char *ap_http_call_target(const ap_http_call_t *call);
/** ap_http_call_path() - path without the query. */
const char *ap_http_call_path(const ap_http_call_t *call);
/** ap_http_call_peer() - numeric address of the caller; empty when it is not known. */
const char *ap_http_call_peer(const ap_http_call_t *call);
/** ap_http_call_query() - copies one decoded query value; false when absent or too long. */
bool ap_http_call_query(const ap_http_call_t *call, const char *key, char *out, size_t size);
/** ap_http_call_header() - NULL when absent. */
const char *ap_http_call_header(const ap_http_call_t *call, const char *name);
const struct evkeyvalq *ap_http_call_headers(const ap_http_call_t *call);
const void *ap_http_call_body(ap_http_call_t *call, size_t *len);
/** ap_http_call_drop_body() - frees the body unread. */
void ap_http_call_drop_body(ap_http_call_t *call);

/** ap_http_reply() - a whole answer; ends @call. */
void ap_http_reply(ap_http_call_t *call, int status, const ap_http_header_t *headers, size_t n,
		   const void *body, size_t len);
/** ap_http_reply_start() - begins an answer in parts. */
void ap_http_reply_start(ap_http_call_t *call, int status, const ap_http_header_t *headers,
			 size_t n);
void ap_http_reply_write(ap_http_call_t *call, const void *data, size_t len);
/** ap_http_reply_end() - ends an answer in parts; ends @call. */
void ap_http_reply_end(ap_http_call_t *call);
/** ap_http_call_abort() - closes the caller's connection amid the answer; ends @call. */
void ap_http_call_abort(ap_http_call_t *call);
/** ap_http_reply_pending() - bytes written but not yet taken by the caller's connection. */
size_t ap_http_reply_pending(const ap_http_call_t *call);
/** ap_http_call_pipelined() - bytes that the caller sent after its request, held unread. */
size_t ap_http_call_pipelined(const ap_http_call_t *call);

typedef struct ap_http_client ap_http_client_t;
typedef struct ap_http_fetch ap_http_fetch_t;

/* How a request to an upstream ended. */
typedef enum ap_http_end {
	AP_HTTP_COMPLETE,    /* the answer is whole by its framing */
	AP_HTTP_CLOSED,	     /* it has no length, and the upstream closed in order */
	AP_HTTP_UNREACHABLE, /* no connection */
	AP_HTTP_RESET,	     /* closed before the answer was whole */
	AP_HTTP_TIMEOUT,     /* a limit passed, and a new connection does not answer either */
	AP_HTTP_CONN_DEAD,   /* a limit passed, but a new connection answers */
	AP_HTTP_MALFORMED,   /* wrong length, no framing, or too long */
} ap_http_end_t;

/**
 * struct ap_http_head - head of an upstream's answer, valid during the callback.
 */
typedef struct ap_http_head {
	int status;
	struct evkeyvalq *headers;
} ap_http_head_t;

/**
 * struct ap_http_fetch_config - one request to an upstream.
 * @method: one of EVHTTP_REQ_*
 * @fresh: use only a new or just-proved connection
 * @lenient: take an answer without a length (AP_HTTP_CLOSED), and one with bytes behind it, which
 *           are dropped with the connection; otherwise both are AP_HTTP_MALFORMED
 * @no_probe: a limit that passes is final
 * @connect: limit for a new connection to take the first byte of the request; 0 for none
 * @unacked: bytes without an acknowledgement for so long end the connection; 0 for the default
 * @first_byte: limit from now to the head of the answer
 * @between: limit between two parts of the answer
 * @idle: how long the connection may be kept for another request, unless the upstream says less
 * @response_max: largest answer in bytes
 * @head: the head has come
 * @data: a part of the body
 * @end: the last callback; @written: a byte of the request was given to the connection
 */
typedef struct ap_http_fetch_config {
	const char *host;
	uint16_t port;
	enum evhttp_cmd_type method;
	const char *target;
	const ap_http_header_t *headers;
	size_t n_headers;
	const void *body;
	size_t len;
	bool fresh;
	bool lenient;
	bool no_probe;
	ap_usec_t connect;
	ap_usec_t unacked;
	ap_usec_t first_byte;
	ap_usec_t between_chunks;
	ap_usec_t idle;
	size_t response_max;
	void *ctx;
	void (*head)(void *ctx, const ap_http_head_t *head);
	void (*data)(void *ctx, const void *data, size_t len);
	void (*end)(void *ctx, ap_http_end_t end, bool written);
} ap_http_fetch_config_t;

ap_http_client_t *ap_http_client_new(struct event_base *base);
/** ap_http_client_free() - drops open requests without callbacks. */
void ap_http_client_free(ap_http_client_t *client);
/**
 * ap_http_fetch() - sends a request; no callback comes from within the call.
 *
 * Return: a handle valid until the end callback or ap_http_fetch_cancel(), or NULL when nothing
 * was sent.
 */
ap_http_fetch_t *ap_http_fetch(ap_http_client_t *client, const ap_http_fetch_config_t *config);
/** ap_http_fetch_cancel() - closes the connection; no callback follows. */
void ap_http_fetch_cancel(ap_http_fetch_t *fetch);
/** ap_http_fetch_written() - was a byte of the request given to the connection? */
bool ap_http_fetch_written(const ap_http_fetch_t *fetch);
/** ap_http_fetch_pause() - stops or restarts reading the answer; limits stand still meanwhile. */
void ap_http_fetch_pause(ap_http_fetch_t *fetch, bool paused);

typedef struct ap_http_client_stats {
	uint64_t opened;
	uint64_t reused;
	uint64_t probes;
	uint64_t retired; /* connections closed because a new one answered while one was silent */
	uint64_t idle_closed;
} ap_http_client_stats_t;

ap_http_client_stats_t ap_http_client_stats(const ap_http_client_t *client);

#endif
