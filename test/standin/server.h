/*
 * What the stand-ins share: listening, exchanges that may go wrong on purpose, and the /fault
 * call. One event loop, no threads.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "base/base.h"

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

typedef enum fault {
	FAULT_NONE,
	FAULT_RESET_BEFORE, /* carried out, then reset before the first byte */
	FAULT_RESET_AFTER,  /* reset after a part of the answer */
	FAULT_STALL_BEFORE, /* carried out, never answered */
	FAULT_STALL_MIDDLE, /* nothing more after a part of the answer */
	FAULT_HALF,	    /* closed after half of the answer */
	FAULT_WRONG_LENGTH, /* announces more bytes than come */
	FAULT_WRONG_ID,	    /* answers with another request's id */
	FAULT_REFUSE,	    /* 503 with X-Not-Started */
	FAULT_DRAIN,	    /* the same, and X-Draining on every answer */
	FAULT_SILENT,	    /* connections open at that time go silent; new ones work */
	FAULT_COUNT,
} fault_t;

typedef struct server server_t;
typedef struct exchange exchange_t;
typedef void (*request_fn_t)(void *ctx, exchange_t *x);

/** server_new() - listens on "IP:PORT" and prints "listening IP:PORT"; exits when it can't. */
server_t *server_new(struct event_base *base, const char *address, request_fn_t request, void *ctx);
void server_free(server_t *s);
/** server_next_fault() - the fault in force for a new piece of work; counts it down. */
fault_t server_next_fault(server_t *s);
bool server_draining(const server_t *s);
/** server_set_fault() - PUT /fault?mode=MODE[&count=N]; answers @x. */
void server_set_fault(server_t *s, exchange_t *x);

bool exchange_is(const exchange_t *x, enum evhttp_cmd_type method, const char *path);
const char *exchange_path(const exchange_t *x);
/** exchange_query() - decoded value, or NULL; valid as long as @x. */
const char *exchange_query(const exchange_t *x, const char *key);
const char *exchange_header(const exchange_t *x, const char *name);
const void *exchange_body(exchange_t *x, size_t *len);
/** exchange_watch() - @gone: the client hung up; @x ends with the callback. */
void exchange_watch(exchange_t *x, void (*gone)(void *ctx), void *ctx);
void exchange_add_header(exchange_t *x, const char *name, const char *value);

/** exchange_reply() - a whole answer; ends @x. */
void exchange_reply(exchange_t *x, int code, const char *type, const void *body, size_t len);
/** exchange_reply_json() - the same; takes the reference to @json. */
void exchange_reply_json(exchange_t *x, int code, json_t *json);
/** exchange_refuse() - 503 with X-Not-Started; ends @x. */
void exchange_refuse(exchange_t *x);
/** exchange_reply_faulty() - the whole answer as @fault spoils it; ends @x. */
void exchange_reply_faulty(exchange_t *x, fault_t fault, json_t *json);

/** exchange_start() - begins an answer in chunks. */
void exchange_start(exchange_t *x, int code, const char *type);
/** exchange_start_sized() - begins an answer of announced length. */
void exchange_start_sized(exchange_t *x, int code, const char *type, size_t len);
void exchange_write(exchange_t *x, const void *data, size_t len);
void exchange_end(exchange_t *x);
/** exchange_close() - closes the connection, after what was written; @reset: by RST. */
void exchange_close(exchange_t *x, bool reset);

/** loop_run() - an event loop with precise timers; ends on SIGTERM and SIGINT. */
struct event_base *loop_new(void);
void loop_run(struct event_base *base);

#endif
