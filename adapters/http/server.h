/* Connections and calls of the HTTP server, private to this folder. */
#ifndef AP_HTTP_SERVER_H
#define AP_HTTP_SERVER_H

#include "http/syntax.h"
#include "limit/budget.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/queue.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

#define PIPELINED_MAX 8192 /* bytes that a caller may send while its request is in progress */

typedef struct server_conn server_conn_t;
typedef struct lingering_conn lingering_conn_t;

/**
 * struct ap_http_call - one request.
 * @req: NULL for a request that the library rejected; the response is written to the socket
 *       directly
 * @hangup: fires once when the caller leaves before the response starts, or sends more
 * @begun: the head has been sent, and the body follows in parts
 * @held: body of a response that is sent once its length is known; NULL for none
 * @n_held: its bytes so far
 * @owner_held: bytes of the response that the owner of the call holds
 * @status: of the response that comes in parts
 * @failed: the response can't be completed, and is given up from the event loop
 * @target: path and query
 * @path: the same without the query
 * @ended: the response was ended, but is not fully sent
 */
struct ap_http_call {
	LIST_ENTRY(ap_http_call) link;
	ap_http_server_t *server;
	server_conn_t *conn;
	struct evhttp_request *req;
	struct event *hangup;
	bool begun;
	struct evbuffer *held;
	size_t n_held;
	size_t owner_held;
	int status;
	bool failed;
	char *target;
	char *path;
	bool ended;
	void *ctx;
	void (*closed)(void *ctx);
	void (*output_empty)(void *ctx);
};

/**
 * struct server_conn - one open connection of a caller.
 * @evcon: the library's connection; NULL until the library has attached it to @bev
 * @timer: time limit on the arrival of a request; runs once to attach @evcon; checks whether the
 *         caller has left while its bytes aren't read
 * @call: the request being served; NULL between requests
 * @arriving: part of a request has arrived
 * @header_max: limit of its head, as the server's was when it began
 * @body_max: likewise of its body
 * @head_limit: when its head has to be there; 0 for no limit of its own
 * @limit: when all of it has to be there
 * @syntax: of the request that arrives
 * @overfull: the library holds more of its request than one may have, such as a line between the
 *            chunks of its body that doesn't end
 * @over_limit: the connection limit was exceeded when the connection was opened
 * @far_over_limit: the limit was exceeded so far that the connection is closed at once
 * @entry: in the budget
 * @arrived: bytes of the request that arrives
 * @served: bytes that the request being served holds: its head, its fields and its body, and a copy
 *          of these for an upstream
 * @unread: reading is stopped for want of memory
 * @gives_way: it has to go, which is done from the event loop
 * @refused: no request follows: its last response was sent without the library, or closes it
 */
struct server_conn {
	UT_hash_handle hh;
	ap_http_server_t *server;
	struct bufferevent *bev;
	struct evhttp_connection *evcon;
	struct event *timer;
	ap_http_call_t *call;
	bool arriving;
	size_t header_max;
	size_t body_max;
	ap_usec_t head_limit;
	ap_usec_t limit;
	ap_http_syntax_t syntax;
	ap_budget_entry_t entry;
	size_t arrived;
	size_t served;
	bool unread;
	bool gives_way;
	bool overfull;
	bool over_limit;
	bool far_over_limit;
	bool refused;
};

struct ap_http_server {
	LIST_ENTRY(ap_http_server) link;
	ap_http_server_config_t config;
	struct evhttp *http;
	struct evconnlistener *listener; /* NULL once the server has stopped accepting */
	struct evhttp_bound_socket *bound;
	struct event *accept_retry;
	struct event *close_listener;
	ap_usec_t stopped_at;  /* when the listener closed */
	struct timeval idle;   /* timeout of connections without a request */
	struct timeval unread; /* timeout of a response that the caller does not read */
	ap_usec_t head_time;   /* limit of the time of a head; 0 for none */
	uint16_t port;
	size_t flushing;
	size_t held;	      /* bytes of responses that wait until they are complete */
	server_conn_t *conns; /* keyed by bufferevent */
	bool closing;
	size_t n_lingering;
	LIST_HEAD(, lingering_conn) lingering;
	ap_http_server_stats_t stats;
	LIST_HEAD(, ap_http_call) calls;
};

/* server-conn.c */
/* conn_new() - creates the bufferevent for the library's next connection; NULL on failure. */
struct bufferevent *conn_new(ap_http_server_t *server);
server_conn_t *conn_of(const ap_http_server_t *server, struct evhttp_connection *evcon);
void conn_free(server_conn_t *conn);
/* conn_request_complete() - a request has fully arrived; stops its arrival timer. */
void conn_request_complete(server_conn_t *conn);
/* conn_response_sent() - the response is sent; bytes already received begin the next request. */
void conn_response_sent(server_conn_t *conn);
/* conn_over_limit() - whether the request on @conn is refused because of the connection limit. */
bool conn_over_limit(server_conn_t *conn);
/* conn_peer_left() - whether the caller has closed or reset the connection, bytes unread or not. */
bool conn_peer_left(const server_conn_t *conn);
/* conn_send_last() - sends @out without the library and closes the connection. */
void conn_send_last(server_conn_t *conn, struct evbuffer *out);
/* conn_drop() - closes the connection as the library does at its idle limit; frees @conn. */
void conn_drop(server_conn_t *conn);
/* conn_drop_idle() - closes connections without a request in flight or bytes to read. */
void conn_drop_idle(ap_http_server_t *server);
/* conn_any_request() - whether a connection has a request in flight, arriving or to be read. */
bool conn_any_request(const ap_http_server_t *server);
/* conn_free_all() - frees what remains after the library has closed its connections. */
void conn_free_all(ap_http_server_t *server);

/* conn_check_later() - checks while a request is served whether the caller has left. */
void conn_check_later(server_conn_t *conn);

/* budget.c */
/* conn_count() - counts a new connection; an older one may have to close. */
void conn_count(server_conn_t *conn);
void conn_uncount(server_conn_t *conn);
/* conn_charge() - what @conn holds has changed; it or another may have to give way. */
void conn_charge(server_conn_t *conn);
/* conn_may_hold() - whether @bytes of a response may be held, or it has to be given up. */
bool conn_may_hold(const server_conn_t *conn, size_t bytes);
/* conn_progress() - the request begins to arrive, or its response to be sent. */
void conn_progress(server_conn_t *conn);
/* conn_answers() - sets whether @conn sends a response. */
void conn_answers(server_conn_t *conn, bool answers);
/* conn_read() - the caller has read @bytes of the response. */
void conn_read(server_conn_t *conn, size_t bytes);
/* conn_may_give_way() - sets whether @conn may; not while its request is served. */
void conn_may_give_way(server_conn_t *conn, bool may);
/* conn_may_linger() - whether a refused connection may be read until its caller closes. */
bool conn_may_linger(const server_conn_t *conn);
/* server_lingers() - counts a lingering connection more or less. */
void server_lingers(ap_http_server_t *server, bool more);
/* conn_stay() - undoes that @conn has to give way, as its request is refused in another way. */
void conn_stay(server_conn_t *conn);
/* conn_batch() - makes the library wait for enough bytes of a body in chunks before it parses. */
void conn_batch(server_conn_t *conn);

/* server.c */
/* call_hung_up() - the caller has left before the end of the response. */
void call_hung_up(ap_http_call_t *call);
/* call_closed() - the connection of @call has ended. */
void call_closed(ap_http_call_t *call);
/* notify_closed() - tells the owner of @call that its handle ends. */
void notify_closed(ap_http_call_t *call);
/* call_end() - ends the owner's handle; the call itself lives until its response is sent. */
void call_end(ap_http_call_t *call);

/* target.c */
/*
 * target_read() - reads the target of a request whose Host is valid. The host of an absolute target
 * takes the place of Host. Return: path and query, or "*" for the whole server; NULL if it is
 * malformed, or without memory.
 */
char *target_read(struct evhttp_request *req);

/* response.c */
void call_drop_held(ap_http_call_t *call);
/* call_give_up() - ends a response that has failed, and tells the owner of @call. */
void call_give_up(ap_http_call_t *call);

#endif
