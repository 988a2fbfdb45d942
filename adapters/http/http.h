/*
 * HTTP/1.1 over evhttp: a server for callers and a client for upstreams. Each task has its own
 * objects; all callbacks run in the task's event loop. The process must ignore SIGPIPE.
 */
#ifndef AP_HTTP_H
#define AP_HTTP_H

#include "base/base.h"

#include <event2/event.h>
#include <event2/http.h>

/**
 * struct ap_http_header - one header line; functions that take one copy both strings.
 */
typedef struct ap_http_header {
	const char *name;
	const char *value;
} ap_http_header_t;

/**
 * ap_http_list_contains() - whether @word is an element of a comma-separated header value, such as
 * that of "Connection"; case is ignored.
 * @list: NULL if the header is absent
 */
bool ap_http_list_contains(const char *list, const char *word);
/** ap_http_lists() - the same of all fields @name together. */
bool ap_http_lists(const struct evkeyvalq *headers, const char *name, const char *word);

typedef enum ap_http_retry {
	AP_HTTP_RETRY_NONE, /* no refusal, or without Retry-After */
	AP_HTTP_RETRY_VALID,
	AP_HTTP_RETRY_INVALID, /* none that can be read */
} ap_http_retry_t;

/**
 * ap_http_retry_after() - reads Retry-After of a refusal, which has the status 429 or 503: seconds,
 * which may include a fraction, or a date, which counts from that of the response. Of several, the
 * longest time counts.
 * @wait: receives the time in microseconds, at most AP_DURATION_MAX; 0 unless valid
 */
ap_http_retry_t ap_http_retry_after(const struct evkeyvalq *headers, int status, ap_usec_t *wait);

/**
 * ap_http_line_too_long() - whether the size of a chunk, with its extensions, does not end. The
 * library searches such a line again from its start with each read.
 * @req: message whose body is being received
 * @in: what the library has not parsed of it
 */
bool ap_http_line_too_long(const struct evhttp_request *req, const struct evbuffer *in);

/**
 * ap_http_framing_valid() - whether the body of a received request ends where its head says. The
 * library leaves the body of some methods and codings unread, and would take it for a request.
 */
bool ap_http_framing_valid(const struct evhttp_request *req);

/**
 * ap_http_response_framing_valid() - whether the head of a received response says where its body
 * ends, or nothing of it. Blanks behind the names of its headers are taken out before.
 */
bool ap_http_response_framing_valid(struct evhttp_request *req);

/** ap_http_response_bodiless() - whether a received response has no body, whatever it states. */
bool ap_http_response_bodiless(const struct evhttp_request *req);
/**
 * ap_http_response_framed() - whether a received response states where its body ends, or has none.
 * Otherwise the body ends with the connection, as one that breaks off does.
 */
bool ap_http_response_framed(const struct evhttp_request *req);

/**
 * ap_http_take_interim() - passes over an interim response, whose head has been received: nothing
 * of it belongs to the response that is waited for.
 * @heads: how many came before the response, which are limited
 *
 * Return: false if the peer does not keep to the protocol.
 */
bool ap_http_take_interim(struct evhttp_request *req, unsigned *heads);

/** ap_http_host_valid() - whether a received request names one host, or none in HTTP/1.0. */
bool ap_http_host_valid(const struct evhttp_request *req);

/**
 * ap_http_set_body() - copies the body of a request to be sent and states its length, instead of
 * any framing among the request's headers. The library states it for some methods only.
 *
 * Return: false when out of memory.
 */
bool ap_http_set_body(struct evhttp_request *req, enum evhttp_cmd_type method, const void *body,
		      size_t len);

/**
 * ap_http_frame() - states the length of a whole response, whose body is in the output buffer of
 * @req; drops the body of one that has none.
 *
 * Return: false when out of memory.
 */
bool ap_http_frame(struct evhttp_request *req, int status);

/** ap_http_base_new() - an event loop configured for many short writes; NULL on failure. */
struct event_base *ap_http_base_new(void);

typedef enum ap_http_status {
	AP_HTTP_STATUS_OK,
	AP_HTTP_STATUS_BIND,	  /* the address is invalid or in use */
	AP_HTTP_STATUS_NO_MEMORY, /* nothing was created */
} ap_http_status_t;

typedef struct ap_http_server ap_http_server_t;

/*
 * One request of a caller. The handle is valid until the function that ends it is called or the
 * closed callback returns, whichever comes first.
 */
typedef struct ap_http_call ap_http_call_t;

/* Why the server rejects a caller's input before it is a complete request. */
typedef enum ap_http_refusal {
	AP_HTTP_REFUSED_MALFORMED,	/* request line, headers or chunks */
	AP_HTTP_REFUSED_HEAD_TOO_LARGE, /* request line and headers together */
	AP_HTTP_REFUSED_BODY_TOO_LARGE, /* its length, or the size of a chunk */
	AP_HTTP_REFUSED_METHOD,		/* the method is not supported */
	AP_HTTP_REFUSED_EXPECT,		/* an expectation other than 100-continue */
	AP_HTTP_REFUSED_TIMEOUT,	/* the request did not arrive in time */
	AP_HTTP_REFUSED_TRUNCATED,	/* the caller closed before the request was complete */
	AP_HTTP_REFUSED_CONNECTIONS,	/* too many connections are open */
	AP_HTTP_REFUSED_NO_MEMORY,	/* out of memory */
	AP_HTTP_REFUSED_STOPPED,	/* complete only after ap_http_server_stop() */
	AP_HTTP_REFUSED_BUDGET,		/* gave way, as requests hold too much memory together */
} ap_http_refusal_t;

typedef struct ap_http_budget ap_http_budget_t;

/**
 * struct ap_http_budget_stats - counters of a budget.
 * @used, @limit: bytes
 * @connections: open now, of all servers that share the budget
 * @gave_way: requests and unread responses given up for want of memory
 * @closed: connections closed since too many were open
 * @paused: times that the reading of a request was stopped for want of memory
 */
typedef struct ap_http_budget_stats {
	size_t used;
	size_t limit;
	size_t connections;
	uint64_t gave_way;
	uint64_t closed;
	uint64_t paused;
} ap_http_budget_stats_t;

/**
 * ap_http_budget_new() - makes the budget that servers of one event loop share: what their
 * connections hold of requests and responses.
 * @bytes: limit of that
 * @connections: most of them that may be open; 0 derives it from the process's limit of descriptors
 *
 * Return: to be freed after the servers; NULL when out of memory.
 */
ap_http_budget_t *ap_http_budget_new(struct event_base *base, size_t bytes, size_t connections);
void ap_http_budget_free(ap_http_budget_t *budget);
/** ap_http_budget_tight() - whether what callers are sent should be bounded more closely. */
bool ap_http_budget_tight(const ap_http_budget_t *budget);
ap_http_budget_stats_t ap_http_budget_stats(const ap_http_budget_t *budget);

/**
 * struct ap_http_server_config - configuration of a server, fixed when the server is created.
 * @host: numeric address to listen on
 * @port: 0 lets the system choose, see ap_http_server_port()
 * @header_bytes: maximum size of the request line and headers together
 * @body_bytes: maximum size of a request body
 * @connections: maximum number of open connections, 0 for no limit; requests on a few connections
 *               above the limit are refused, connections beyond those are closed at once
 * @budget: shared with other servers of @base; NULL for none
 * @idle: timeout of a connection without a request, and of a response that the caller does not read
 * @arrival: maximum time from the first to the last byte of a request, 0 for no limit
 * @request: called for each complete request, unless the caller has left; one that has closed its
 *           own direction only counts as having left
 * @refused: called for a request that is refused; must call ap_http_reply() before it returns,
 *           and no other function on @call. When NULL, the library sends its own responses and no
 *           request is refused for @connections or because the server was stopped
 * @flushed: called when no response is left to flush, since the last one was sent or its caller
 *           disconnected; may be NULL
 */
typedef struct ap_http_server_config {
	struct event_base *base;
	const char *host;
	uint16_t port;
	size_t header_bytes;
	size_t body_bytes;
	size_t connections;
	ap_http_budget_t *budget;
	ap_usec_t idle;
	ap_usec_t arrival;
	void *ctx;
	void (*request)(void *ctx, ap_http_call_t *call);
	void (*refused)(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);
	void (*flushed)(void *ctx);
} ap_http_server_config_t;

ap_http_status_t ap_http_server_new(const ap_http_server_config_t *config,
				    ap_http_server_t **server, ap_err_t *err);

/**
 * struct ap_http_limits - limits of requests.
 * @header_bytes: maximum size of the request line and headers together
 * @body_bytes: maximum size of a request body
 * @head_time: maximum time from the first byte of a request to the end of its head; 0 for that of
 *             the whole request
 * @idle: timeout of a connection without a request; 0 for that of the server's configuration
 */
typedef struct ap_http_limits {
	size_t header_bytes;
	size_t body_bytes;
	ap_usec_t head_time;
	ap_usec_t idle;
} ap_http_limits_t;

/** ap_http_server_set_limits() - sets the limits of requests that begin to arrive from now on. */
void ap_http_server_set_limits(ap_http_server_t *server, const ap_http_limits_t *limits);
/** ap_http_server_free() - closes all connections; open calls get their closed callback. */
void ap_http_server_free(ap_http_server_t *server);
/**
 * ap_http_server_stop() - stops accepting connections and closes the idle ones, from the event
 * loop. Requests in flight continue, as do those that have arrived by then, on established
 * connections; their responses should carry "Connection: close". Each connection closes as its
 * response ends. A request that is complete only later is refused.
 */
void ap_http_server_stop(ap_http_server_t *server);
/**
 * ap_http_server_drained() - whether the server has stopped, and no request is in flight, arriving
 * or waiting to be read, and no response is being sent.
 */
bool ap_http_server_drained(const ap_http_server_t *server);
/** ap_http_server_flushing() - number of ended responses that are not yet fully sent. */
size_t ap_http_server_flushing(const ap_http_server_t *server);

/**
 * struct ap_http_server_stats - counters of callers' connections.
 * @open: connections open now
 * @timed_out: requests that did not arrive within the arrival limit
 * @refused: requests refused because too many connections were open
 * @closed: connections closed at once because too many connections were open
 * @left: complete requests not served, since the caller had left before they were read
 * @given_up: responses given up for want of memory, or as they were too large to be held
 * @without_chunks: complete requests of HTTP/1.0, whose responses can't come in chunks
 */
typedef struct ap_http_server_stats {
	size_t open;
	uint64_t timed_out;
	uint64_t refused;
	uint64_t closed;
	uint64_t left;
	uint64_t without_chunks;
	uint64_t given_up;
} ap_http_server_stats_t;

ap_http_server_stats_t ap_http_server_stats(const ap_http_server_t *server);
uint16_t ap_http_server_port(const ap_http_server_t *server);

/**
 * ap_http_call_watch() - sets the callbacks of @call; either may be NULL.
 * @closed: the caller disconnected, or its response can't be completed; the handle is invalid once
 *          this callback returns
 * @output_empty: everything written so far was passed to the caller's socket
 */
void ap_http_call_watch(ap_http_call_t *call, void *ctx, void (*closed)(void *ctx),
			void (*output_empty)(void *ctx));
enum evhttp_cmd_type ap_http_call_method(const ap_http_call_t *call);
/** ap_http_call_chunks() - whether the caller's version of HTTP has chunks: not HTTP/1.0. */
bool ap_http_call_chunks(const ap_http_call_t *call);
/** ap_http_call_target() - path and query, as received. */
const char *ap_http_call_target(const ap_http_call_t *call);
/** ap_http_call_path() - path without the query. */
const char *ap_http_call_path(const ap_http_call_t *call);
/** ap_http_call_peer() - numeric address of the caller; empty if unknown. */
const char *ap_http_call_peer(const ap_http_call_t *call);
/** ap_http_call_query() - copies one decoded query value; false if absent or too long. */
bool ap_http_call_query(const ap_http_call_t *call, const char *key, char *out, size_t size);
/** ap_http_call_header() - value of a request header; NULL if absent. */
const char *ap_http_call_header(const ap_http_call_t *call, const char *name);
const struct evkeyvalq *ap_http_call_headers(const ap_http_call_t *call);
const void *ap_http_call_body(ap_http_call_t *call, size_t *len);
/** ap_http_call_drop_body() - discards the request body. */
void ap_http_call_drop_body(ap_http_call_t *call);

/** ap_http_reply() - sends a complete response with its length; ends @call. */
void ap_http_reply(ap_http_call_t *call, int status, const ap_http_header_t *headers, size_t n,
		   const void *body, size_t len);
/**
 * ap_http_reply_start() - begins a response whose body is written in parts: in chunks, or of the
 * length that @headers state, or else for HTTP/1.0, which has no chunks, held until it is complete.
 * Held responses are limited in size, each and together; one that exceeds that is replaced by 502.
 */
void ap_http_reply_start(ap_http_call_t *call, int status, const ap_http_header_t *headers,
			 size_t n);
/** ap_http_reply_replaceable() - nothing of the response has been sent: ap_http_reply() replaces
 * it. */
bool ap_http_reply_replaceable(const ap_http_call_t *call);
void ap_http_reply_write(ap_http_call_t *call, const void *data, size_t len);
/**
 * ap_http_reply_end() - the body is complete; ends @call. The response may be given up here for
 * want of memory.
 */
void ap_http_reply_end(ap_http_call_t *call);
/** ap_http_call_abort() - closes the caller's connection at once, without a callback; ends @call.
 */
void ap_http_call_abort(ap_http_call_t *call);
/**
 * ap_http_call_hold() - states how many bytes of the response its owner holds, which count in the
 * budget.
 *
 * Return: false if the budget is full and they are a large part of it, so that the owner has to
 * give the response up.
 */
bool ap_http_call_hold(ap_http_call_t *call, size_t bytes);
/** ap_http_reply_pending() - bytes written but not yet passed to the caller's socket. */
size_t ap_http_reply_pending(const ap_http_call_t *call);
/** ap_http_call_pipelined() - bytes received after the request of @call, held unread. */
size_t ap_http_call_pipelined(const ap_http_call_t *call);

typedef struct ap_http_client ap_http_client_t;
typedef struct ap_http_fetch ap_http_fetch_t;

/* How a request to an upstream ended. */
typedef enum ap_http_end {
	AP_HTTP_COMPLETE,    /* the response is complete by its framing */
	AP_HTTP_CLOSED,	     /* a response without a length ended with an orderly close */
	AP_HTTP_UNREACHABLE, /* no connection was established */
	AP_HTTP_RESET,	     /* closed before the response was complete */
	AP_HTTP_TIMEOUT,   /* a time limit passed, and no new connection shows the upstream alive */
	AP_HTTP_CONN_DEAD, /* a time limit passed, but the upstream responds on a new connection */
	AP_HTTP_MALFORMED, /* wrong length, no framing, or too large */
} ap_http_end_t;

/**
 * struct ap_http_head - status and headers of an upstream's response; valid during the callback.
 * @reused: the connection has carried an earlier response, so that this one may be a copy of it
 * @framed: the response states where it ends; otherwise it ends with the connection
 * @sized: the head states the length of the body
 * @bodiless: the response has no body, as its status or the method of the request says
 */
typedef struct ap_http_head {
	int status;
	struct evkeyvalq *headers;
	bool reused;
	bool framed;
	bool sized;
	bool bodiless;
} ap_http_head_t;

/**
 * struct ap_http_fetch_config - one request to an upstream.
 * @fresh: use only a connection that is new or has just carried a complete response
 * @lenient: accept a response without a length (AP_HTTP_CLOSED) and one followed by surplus bytes,
 *           which are dropped with the connection; otherwise both are AP_HTTP_MALFORMED
 * @reset: a request that is given up resets its connection, so that nothing of it is delivered
 *         later; otherwise what the kernel holds is delivered before the close
 * @no_probe: a time limit that passes ends the request as AP_HTTP_TIMEOUT, without a probe
 * @connect: time limit for a new connection to take the first byte of the request; 0 for none
 * @unacked: the connection is closed when the peer acknowledges nothing for some time longer than
 *           this; 0 for the default, which ignores an idle connection
 * @first_byte: time limit from the start of the request to the head of the response
 * @between_chunks: time limit between two chunks of the response
 * @idle: how long the connection may stay idle afterwards, unless the upstream's limit is lower
 * @response_max: maximum response body in bytes
 * @head: called once the head of the response has arrived; may be NULL
 * @data: called for each part of the body; may be NULL
 * @holds: called as more arrives of a large head or chunk, see ap_http_fetch_held(); may be NULL
 * @end: the last callback; @written tells whether any byte of the request was written to the
 *       connection
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
	bool reset;
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
	void (*holds)(void *ctx);
	void (*end)(void *ctx, ap_http_end_t end, bool written);
} ap_http_fetch_config_t;

ap_http_client_t *ap_http_client_new(struct event_base *base);
/** ap_http_client_free() - cancels open requests without callbacks. */
void ap_http_client_free(ap_http_client_t *client);
/**
 * ap_http_fetch() - sends a request; no callback runs before the function returns.
 *
 * Return: a handle valid until the end callback or ap_http_fetch_cancel(), or NULL if nothing was
 * sent.
 */
ap_http_fetch_t *ap_http_fetch(ap_http_client_t *client, const ap_http_fetch_config_t *config);
/** ap_http_fetch_cancel() - closes the connection; no callback follows. */
void ap_http_fetch_cancel(ap_http_fetch_t *fetch);
/** ap_http_fetch_written() - whether any byte of the request was written to the connection. */
bool ap_http_fetch_written(const ap_http_fetch_t *fetch);
/**
 * ap_http_fetch_held() - memory of what has arrived of the response and isn't parsed, and of its
 * head, twice, as its owner copies it.
 */
size_t ap_http_fetch_held(const ap_http_fetch_t *fetch);
/**
 * ap_http_fetch_arrived() - returns when the latest bytes of the response arrived at this machine,
 * which may be long before they are read; 0 if the system doesn't tell. To be called until the end
 * callback returns.
 */
ap_usec_t ap_http_fetch_arrived(const ap_http_fetch_t *fetch);
/** ap_http_fetch_pause() - pauses or resumes reading the response; time limits pause with it. */
void ap_http_fetch_pause(ap_http_fetch_t *fetch, bool paused);

typedef struct ap_http_witness ap_http_witness_t;

/**
 * struct ap_http_witness_question - asks whether the process of an upstream lives on.
 * @id: of the upstream, as the header @id_name of the response to its health check says
 * @path: of the health check; if empty, any connection from before that is still open counts
 * @limit: time for the response, in microseconds
 * @done: called once, after ap_http_witness_ask() has returned. @lives: the process has responded
 *        on a connection from before the end
 */
typedef struct ap_http_witness_question {
	const char *id;
	const char *id_name;
	const char *path;
	ap_usec_t limit;
	void *ctx;
	void (*done)(void *ctx, bool lives);
} ap_http_witness_question_t;

/**
 * ap_http_witness_new() - opens a connection to the upstream of @fetch, whose response without
 * framing has begun, to learn later whether the response's end was that of the upstream's process.
 * Nothing is sent on it until then.
 * @fetch: not used after its end callback
 *
 * Return: a handle valid until the callback of ap_http_witness_ask() or ap_http_witness_free(), or
 * NULL when out of memory.
 */
ap_http_witness_t *ap_http_witness_new(const ap_http_fetch_t *fetch);
/**
 * ap_http_witness_ask() - the response has ended with its connection; tells whether the process
 * that sent it lives on, by a health check on a connection from before.
 * @question: copied
 */
void ap_http_witness_ask(ap_http_witness_t *witness, const ap_http_witness_question_t *question);
/** ap_http_witness_free() - closes the connection; no callback follows. NULL is allowed. */
void ap_http_witness_free(ap_http_witness_t *witness);

/**
 * struct ap_http_client_stats - counters of connections to upstreams.
 * @opened: connections opened
 * @reused: requests sent on a pooled connection
 * @probes: probes started
 * @retired: connections closed as dead because the upstream responded on a new one
 * @idle_closed: connections closed at their idle limit
 * @stray: idle connections not used again, since bytes or a close had arrived on them
 */
typedef struct ap_http_client_stats {
	uint64_t opened;
	uint64_t reused;
	uint64_t probes;
	uint64_t retired;
	uint64_t idle_closed;
	uint64_t stray;
} ap_http_client_stats_t;

ap_http_client_stats_t ap_http_client_stats(const ap_http_client_t *client);

#endif
