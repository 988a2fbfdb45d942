/*
 * HTTP server of the stand-ins: listening, exchanges with injected faults, and the /fault call. One
 * event loop, no threads.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "base/base.h"

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

typedef enum fault {
	FAULT_NONE,
	FAULT_RESET_BEFORE, /* carried out, connection reset before the first byte */
	FAULT_RESET_AFTER,  /* connection reset after a part of the response */
	FAULT_STALL_BEFORE, /* carried out, no response */
	FAULT_STALL_MIDDLE, /* the response stops after a part, connection open */
	FAULT_HALF,	    /* connection closed after half of the response */
	FAULT_WRONG_LENGTH, /* Content-Length above the bytes sent */
	FAULT_WRONG_ID,	    /* the response has another request's id */
	FAULT_REFUSE,	    /* 503 with X-Not-Started */
	FAULT_DRAIN,	    /* as FAULT_REFUSE, and X-Draining on every response */
	FAULT_SILENT,	    /* connections open now get no more responses; new ones work */
	FAULT_COUNT,
} fault_t;

typedef struct server server_t;
typedef struct exchange exchange_t;
typedef void (*request_fn_t)(void *ctx, exchange_t *x);

/** server_new() - listens on "IP:PORT" and prints "listening IP:PORT"; exits on failure. */
server_t *server_new(struct event_base *base, const char *address, request_fn_t request, void *ctx);
void server_free(server_t *s);
/** server_next_fault() - the fault for a new request; uses up one of its count. */
fault_t server_next_fault(server_t *s);
bool server_draining(const server_t *s);
/** server_set_fault() - carries out PUT /fault?mode=MODE[&count=N]; ends @x. */
void server_set_fault(server_t *s, exchange_t *x);

bool exchange_is(const exchange_t *x, enum evhttp_cmd_type method, const char *path);
const char *exchange_path(const exchange_t *x);
/** exchange_query() - decoded query parameter, or NULL; valid as long as @x. */
const char *exchange_query(const exchange_t *x, const char *key);
const char *exchange_header(const exchange_t *x, const char *name);
const void *exchange_body(exchange_t *x, size_t *len);
/** exchange_watch() - calls @gone when the client closes the connection, then frees @x. */
void exchange_watch(exchange_t *x, void (*gone)(void *ctx), void *ctx);
void exchange_add_header(exchange_t *x, const char *name, const char *value);

/** exchange_reply() - sends a complete response; ends @x. */
void exchange_reply(exchange_t *x, int code, const char *type, const void *body, size_t len);
/** exchange_reply_json() - sends @json as a complete response and steals its reference; ends @x. */
void exchange_reply_json(exchange_t *x, int code, json_t *json);
/** exchange_refuse() - sends 503 with X-Not-Started; ends @x. */
void exchange_refuse(exchange_t *x);
/** exchange_reply_faulty() - sends @json with @fault injected and steals its reference; ends @x. */
void exchange_reply_faulty(exchange_t *x, fault_t fault, json_t *json);

/** exchange_start() - begins a chunked response. */
void exchange_start(exchange_t *x, int code, const char *type);
/** exchange_start_sized() - begins a response with Content-Length @len. */
void exchange_start_sized(exchange_t *x, int code, const char *type, size_t len);
void exchange_write(exchange_t *x, const void *data, size_t len);
void exchange_end(exchange_t *x);
/** exchange_close() - closes the connection once the output is sent; @reset: with RST. */
void exchange_close(exchange_t *x, bool reset);

/** loop_new() - an event loop with precise timers. */
struct event_base *loop_new(void);
/** loop_run() - runs the loop until SIGTERM or SIGINT. */
void loop_run(struct event_base *base);

#endif
