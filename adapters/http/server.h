/* Connections and calls of the server side, private to this package. */
#ifndef AP_HTTP_SERVER_H
#define AP_HTTP_SERVER_H

#include "http/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/queue.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

typedef struct server_conn server_conn_t;
typedef struct lingering_conn lingering_conn_t;

/**
 * struct ap_http_call - one request.
 * @req: NULL for one that the library did not take; its connection gets the answer
 * @ended: answered, but not all of the answer has gone out
 */
struct ap_http_call {
	LIST_ENTRY(ap_http_call) link;
	ap_http_server_t *server;
	server_conn_t *conn;
	struct evhttp_request *req;
	struct event *hangup;
	char *path;
	bool ended;
	void *ctx;
	void (*closed)(void *ctx);
	void (*drained)(void *ctx);
};

/**
 * struct server_conn - one open connection of a caller.
 * @evcon: the library's connection; NULL for the moment between its two callbacks
 * @timer: the limit on a request's arrival
 * @arriving: a part of a request has come
 * @head_bytes: bytes of its line and headers so far, counted to just past their limit
 * @line_bytes: of these, bytes of the present line
 * @head_complete: the empty line after the headers has come
 * @over: opened while the bound on connections was reached
 * @excess: opened so far past the bound that it is closed at once
 * @refused: its last answer was given past the library
 */
struct server_conn {
	UT_hash_handle hh;
	ap_http_server_t *server;
	struct bufferevent *bev;
	struct evhttp_connection *evcon;
	struct event *timer;
	ap_http_call_t *call;
	bool arriving;
	size_t head_bytes;
	size_t line_bytes;
	bool head_complete;
	bool over_limit;
	bool far_over_limit;
	bool refused;
};

struct ap_http_server {
	ap_http_server_config_t config;
	struct evhttp *http;
	struct evconnlistener *listener; /* NULL once it takes no more connections */
	struct evhttp_bound_socket *bound;
	struct event *accept_retry;
	struct timeval idle;
	uint16_t port;
	size_t flushing;
	server_conn_t *conns; /* by bufferevent */
	bool closing;
	size_t n_lingering;
	LIST_HEAD(, lingering_conn) lingering;
	ap_http_server_stats_t stats;
	LIST_HEAD(, ap_http_call) calls;
};

/* server-conn.c */
/* conn_new() - a bufferevent for the library's next connection. */
struct bufferevent *conn_new(ap_http_server_t *server);
server_conn_t *conn_of(const ap_http_server_t *server, struct evhttp_connection *evcon);
void conn_free(server_conn_t *conn);
/* conn_request_complete() - a request is whole; its arrival is no longer limited. */
void conn_request_complete(server_conn_t *conn);
/* conn_response_sent() - the answer has gone out; what came ahead begins the next request. */
void conn_response_sent(server_conn_t *conn);
/* conn_over_limit() - must the request that came on @conn be refused for the bound on connections?
 */
bool conn_over_limit(server_conn_t *conn);
/* conn_send_last() - sends @out past the library and closes the connection. */
void conn_send_last(server_conn_t *conn, struct evbuffer *out);
/* conn_drop_idle() - closes connections on which no request is under way. */
void conn_drop_idle(ap_http_server_t *server);
/* conn_free_all() - after the library has closed its connections. */
void conn_free_all(ap_http_server_t *server);

/* server.c */
/* call_closed() - the connection of @call has ended. */
void call_closed(ap_http_call_t *call);

#endif
