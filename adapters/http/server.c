/* The HTTP server: requests of callers, detection of hang-ups. */
#include "http/server.h"
#include "log/log.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define ARRIVED_TIME (500 * AP_MSEC) /* to read what had arrived when the server stopped */
#define BACKLOG 1024
#define HTTP_MAJOR 1	   /* version of all messages */
#define ACCEPT_PAUSE_MS 20 /* pause after a failed accept, as when no descriptor is free */

static struct bufferevent *call_bev(const ap_http_call_t *call)
{
	return call->conn->bev;
}

static void call_free(ap_http_call_t *call)
{
	LIST_REMOVE(call, link);
	if (call->hangup)
		event_free(call->hangup);
	call_drop_held(call);
	free(call->target);
	free(call->path);
	free(call);
}

static void flushed(ap_http_call_t *call)
{
	ap_http_server_t *server = call->server;

	server->flushing--;
	call_free(call);
	if (server->flushing == 0 && server->config.flushed)
		server->config.flushed(server->config.ctx);
}

/* Makes the library close the connection after this response, whatever its head said. */
static void close_after(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_remove_header(headers, "Connection");
	evhttp_add_header(headers, "Connection", "close");
}

/* The response is fully sent: restores the idle timeouts and removes the read limit. */
static void on_complete(struct evhttp_request *req, void *arg)
{
	ap_http_call_t *call = arg;
	struct bufferevent *bev = call_bev(call);

	if (!call->server->listener)
		close_after(req);
	bufferevent_set_timeouts(bev, &call->server->idle, &call->server->unread);
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	conn_response_sent(call->conn);
	flushed(call);
}

void call_end(ap_http_call_t *call)
{
	call->ended = true;
	call->closed = NULL;
	call->output_empty = NULL;
	call->owner_held = 0;
	call->server->flushing++;
	if (call->hangup)
		event_del(call->hangup);
	conn_answers(call->conn, true);
	conn_may_give_way(call->conn, true);
	ap_http_call_drop_body(call);
	evhttp_request_set_on_complete_cb(call->req, on_complete, call);
}

void notify_closed(ap_http_call_t *call)
{
	if (call->closed)
		call->closed(call->ctx);
}

void call_closed(ap_http_call_t *call)
{
	struct evhttp_request *req = call->req;

	notify_closed(call);
	if (call->ended)
		flushed(call);
	else
		call_free(call);
	/* The library doesn't free a request that is detached from its connection. */
	if (!evhttp_request_get_connection(req))
		evhttp_request_free(req);
}

void call_hung_up(ap_http_call_t *call)
{
	server_conn_t *conn = call->conn;

	conn->call = NULL;
	notify_closed(call);
	call_free(call);
	evhttp_connection_free(conn->evcon);
}

/*
 * The library doesn't read before a response starts, so it would miss a hang-up. Bytes of the
 * caller's next request stay unread.
 */
static void on_hangup(evutil_socket_t fd, short what, void *arg)
{
	ap_http_call_t *call = arg;

	(void)fd;
	(void)what;
	if (conn_peer_left(call->conn))
		call_hung_up(call);
	else
		conn_check_later(call->conn);
}

static bool read_target(ap_http_call_t *call)
{
	call->target = target_read(call->req);
	if (call->target)
		call->path = strndup(call->target, strcspn(call->target, "?#"));
	return call->path;
}

static void refuse(ap_http_call_t *call, ap_http_refusal_t why)
{
	ap_http_call_drop_body(call);
	call->server->config.refused(call->server->config.ctx, call, why);
}

/* Bytes that follow on the connection may be a part of the body, so it is closed. */
static void refuse_last(ap_http_call_t *call, ap_http_refusal_t why)
{
	call->conn->refused = true;
	if (call->req->major != HTTP_MAJOR) {
		call->req->major = HTTP_MAJOR;
		call->req->minor = 0;
	}
	if (call->server->config.refused)
		refuse(call, why);
	else
		ap_http_reply(call,
			      why == AP_HTTP_REFUSED_EXPECT ? HTTP_EXPECTATIONFAILED
							    : HTTP_BADREQUEST,
			      NULL, 0, NULL, 0);
}

/* The library looks at the first expectation, and only where there is a body that it reads. */
static bool expects_more(const struct evhttp_request *req)
{
	const struct evkeyval *h;

	TAILQ_FOREACH (h, req->input_headers, next) {
		if (strcasecmp(h->key, "Expect") == 0 && strcasecmp(h->value, "100-continue") != 0)
			return true;
	}
	return false;
}

static bool stopped_long_ago(const ap_http_server_t *server)
{
	return !server->listener && ap_now() - server->stopped_at > ARRIVED_TIME;
}

/*
 * Waits for the caller to close or reset its connection. Of a reset the event loop reports only
 * that the socket is readable and writable.
 */
static bool watch_hangup(ap_http_call_t *call)
{
	call->hangup = event_new(call->server->config.base, bufferevent_getfd(call_bev(call)),
				 EV_READ | EV_CLOSED, on_hangup, call);
	return call->hangup && event_add(call->hangup, NULL) == 0;
}

static void on_request(struct evhttp_request *req, void *arg)
{
	ap_http_server_t *server = arg;
	ap_http_call_t *call = calloc(1, sizeof(*call));
	server_conn_t *conn = conn_of(server, evhttp_request_get_connection(req));
	struct bufferevent *bev;
	bool gives_way;

	if (!call || !conn) {
		free(call);
		evhttp_send_error(req, HTTP_SERVUNAVAIL, NULL);
		return;
	}
	call->server = server;
	call->req = req;
	call->conn = conn;
	conn->call = call;
	conn_request_complete(conn);
	server->stats.without_chunks += !has_http_1_1(req);
	LIST_INSERT_HEAD(&server->calls, call, link);
	bev = call_bev(call);
	bufferevent_set_timeouts(bev, NULL, &server->unread);
	conn->served = conn->syntax.head_bytes +
		       2 * (conn->syntax.fields * AP_HTTP_FIELD_BYTES +
			    evbuffer_get_length(evhttp_request_get_input_buffer(req)));
	if (!watch_hangup(call))
		ap_log(LOG_ERR, "no memory to notice that a caller closes its connection");
	conn_charge(conn);
	gives_way = conn->gives_way;
	conn_stay(conn);
	conn_may_give_way(conn, false);
	event_del(conn->timer);
	if (gives_way) {
		refuse_last(call, AP_HTTP_REFUSED_BUDGET);
	} else if (call->hangup && conn_peer_left(conn)) {
		server->stats.left++;
		event_active(call->hangup, EV_CLOSED, 0);
	} else if (!conn->syntax.malformed && expects_more(req)) {
		refuse_last(call, AP_HTTP_REFUSED_EXPECT);
	} else if (conn->syntax.malformed || req->major != HTTP_MAJOR || !ap_http_host_valid(req) ||
		   !ap_http_framing_valid(req) || !read_target(call)) {
		refuse_last(call, AP_HTTP_REFUSED_MALFORMED);
	} else if (server->config.refused && stopped_long_ago(server)) {
		refuse(call, AP_HTTP_REFUSED_STOPPED);
	} else if (server->config.refused && conn_over_limit(conn)) {
		refuse(call, AP_HTTP_REFUSED_CONNECTIONS);
	} else {
		server->config.request(server->config.ctx, call);
	}
}

/*
 * All servers of the process, of any thread. The library calls on_accept_error() with its own
 * object in place of the server.
 */
static LIST_HEAD(, ap_http_server) servers = LIST_HEAD_INITIALIZER(servers);
static pthread_mutex_t servers_lock = PTHREAD_MUTEX_INITIALIZER;

static void list_server(ap_http_server_t *server, bool listed)
{
	pthread_mutex_lock(&servers_lock);
	if (listed)
		LIST_INSERT_HEAD(&servers, server, link);
	else
		LIST_REMOVE(server, link);
	pthread_mutex_unlock(&servers_lock);
}

static ap_http_server_t *server_of(const struct evhttp *http)
{
	ap_http_server_t *server;

	pthread_mutex_lock(&servers_lock);
	LIST_FOREACH (server, &servers, link) {
		if (server->http == http)
			break;
	}
	pthread_mutex_unlock(&servers_lock);
	return server;
}

static void on_accept_retry(evutil_socket_t fd, short what, void *arg)
{
	ap_http_server_t *server = arg;

	(void)fd;
	(void)what;
	evconnlistener_enable(server->listener);
}

static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	ap_http_server_t *server = server_of(arg);
	struct timeval pause = {.tv_usec = ACCEPT_PAUSE_MS * 1000};

	if (!server)
		return;
	evconnlistener_disable(listener);
	event_add(server->accept_retry, &pause);
}

static void on_close_listener(evutil_socket_t fd, short what, void *arg)
{
	ap_http_server_t *server = arg;

	(void)fd;
	(void)what;
	event_del(server->accept_retry);
	server->listener = NULL;
	server->stopped_at = ap_now();
	if (server->bound)
		evhttp_del_accept_socket(server->http, server->bound);
	conn_drop_idle(server);
}

static struct bufferevent *on_new_connection(struct event_base *base, void *arg)
{
	(void)base;
	return conn_new(arg);
}

static ap_http_status_t listen_on(ap_http_server_t *server, ap_err_t *err)
{
	const ap_http_server_config_t *config = &server->config;
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	socklen_t bound = sizeof(addr);
	int one = 1;

	/* The parser rejects port 0, so the port is set afterwards. */
	if (evutil_parse_sockaddr_port(config->host, (struct sockaddr *)&addr, &len) < 0) {
		ap_err_set(err, "%s is not a numeric IP address", config->host);
		return AP_HTTP_STATUS_BIND;
	}
	if (addr.ss_family == AF_INET)
		((struct sockaddr_in *)&addr)->sin_port = htons(config->port);
	else
		((struct sockaddr_in6 *)&addr)->sin6_port = htons(config->port);
	server->listener = evconnlistener_new_bind(config->base, NULL, NULL,
						   LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC |
							   LEV_OPT_CLOSE_ON_FREE,
						   BACKLOG, (struct sockaddr *)&addr, len);
	if (!server->listener) {
		ap_err_set(err, "cannot listen on %s port %u: %s", config->host, config->port,
			   strerror(errno));
		return AP_HTTP_STATUS_BIND;
	}
	/* Accepted sockets inherit this. */
	setsockopt(evconnlistener_get_fd(server->listener), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
	getsockname(evconnlistener_get_fd(server->listener), (struct sockaddr *)&addr, &bound);
	server->port = ntohs(addr.ss_family == AF_INET ? ((struct sockaddr_in *)&addr)->sin_port
						       : ((struct sockaddr_in6 *)&addr)->sin6_port);
	server->bound = evhttp_bind_listener(server->http, server->listener);
	evconnlistener_set_error_cb(server->listener, on_accept_error);
	return AP_HTTP_STATUS_OK;
}

ap_http_status_t ap_http_server_new(const ap_http_server_config_t *config, ap_http_server_t **out,
				    ap_err_t *err)
{
	ap_http_server_t *server = calloc(1, sizeof(*server));
	ap_http_status_t status;

	if (!server)
		return AP_HTTP_STATUS_NO_MEMORY;
	server->config = *config;
	server->idle = ap_timeval(config->idle);
	server->unread = server->idle;
	LIST_INIT(&server->calls);
	LIST_INIT(&server->lingering);
	list_server(server, true);
	server->http = evhttp_new(config->base);
	server->accept_retry = evtimer_new(config->base, on_accept_retry, server);
	server->close_listener = evtimer_new(config->base, on_close_listener, server);
	if (!server->http || !server->accept_retry || !server->close_listener) {
		ap_http_server_free(server);
		return AP_HTTP_STATUS_NO_MEMORY;
	}
	evhttp_set_timeout_tv(server->http, &server->idle);
	evhttp_set_allowed_methods(server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
							 EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
							 EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
	evhttp_set_bevcb(server->http, on_new_connection, server);
	evhttp_set_gencb(server->http, on_request, server);
	status = listen_on(server, err);
	if (status != AP_HTTP_STATUS_OK) {
		ap_http_server_free(server);
		return status;
	}
	*out = server;
	return AP_HTTP_STATUS_OK;
}

void ap_http_server_set_limits(ap_http_server_t *server, const ap_http_limits_t *limits)
{
	server->config.header_bytes = limits->header_bytes;
	server->config.body_bytes = limits->body_bytes;
	server->head_time = limits->head_time;
	server->idle = ap_timeval(limits->idle ? limits->idle : server->config.idle);
	evhttp_set_timeout_tv(server->http, &server->idle);
}

void ap_http_server_free(ap_http_server_t *server)
{
	if (!server)
		return;
	server->config.flushed = NULL;
	server->closing = true;
	list_server(server, false);
	if (server->http)
		evhttp_free(server->http);
	conn_free_all(server);
	if (server->accept_retry)
		event_free(server->accept_retry);
	if (server->close_listener)
		event_free(server->close_listener);
	free(server);
}

/* The loop accepts the connections that wait for it before it runs the timer. */
void ap_http_server_stop(ap_http_server_t *server)
{
	static const struct timeval now = {0};

	if (server->listener && !event_pending(server->close_listener, EV_TIMEOUT, NULL))
		event_add(server->close_listener, &now);
}

bool ap_http_server_drained(const ap_http_server_t *server)
{
	return !server->listener && server->flushing == 0 && !conn_any_request(server);
}

size_t ap_http_server_flushing(const ap_http_server_t *server)
{
	return server->flushing;
}

uint16_t ap_http_server_port(const ap_http_server_t *server)
{
	return server->port;
}

void ap_http_call_watch(ap_http_call_t *call, void *ctx, void (*closed)(void *ctx),
			void (*output_empty)(void *ctx))
{
	call->ctx = ctx;
	call->closed = closed;
	call->output_empty = output_empty;
}

enum evhttp_cmd_type ap_http_call_method(const ap_http_call_t *call)
{
	return evhttp_request_get_command(call->req);
}

bool ap_http_call_chunks(const ap_http_call_t *call)
{
	return has_http_1_1(call->req);
}

const char *ap_http_call_target(const ap_http_call_t *call)
{
	return call->target ? call->target : "";
}

const char *ap_http_call_path(const ap_http_call_t *call)
{
	return call->path ? call->path : "";
}

const char *ap_http_call_peer(const ap_http_call_t *call)
{
	char *address = NULL;
	ev_uint16_t port;

	if (call->conn->evcon)
		evhttp_connection_get_peer(call->conn->evcon, &address, &port);
	return address ? address : "";
}

bool ap_http_call_query(const ap_http_call_t *call, const char *key, char *out, size_t size)
{
	const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(call->req));
	struct evkeyvalq values;
	const char *value;
	bool found;

	out[0] = '\0';
	if (!query || evhttp_parse_query_str(query, &values) != 0)
		return false;
	value = evhttp_find_header(&values, key);
	found = value && ap_copy_name(out, size, value);
	evhttp_clear_headers(&values);
	return found;
}

const char *ap_http_call_header(const ap_http_call_t *call, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(call->req), name);
}

const struct evkeyvalq *ap_http_call_headers(const ap_http_call_t *call)
{
	return evhttp_request_get_input_headers(call->req);
}

const void *ap_http_call_body(ap_http_call_t *call, size_t *len)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(call->req);

	*len = evbuffer_get_length(body);
	return *len ? (const void *)evbuffer_pullup(body, -1) : "";
}

void ap_http_call_drop_body(ap_http_call_t *call)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(call->req);

	evbuffer_drain(body, evbuffer_get_length(body));
	call->conn->served =
		call->conn->syntax.head_bytes + 2 * call->conn->syntax.fields * AP_HTTP_FIELD_BYTES;
	conn_charge(call->conn);
}

void ap_http_call_abort(ap_http_call_t *call)
{
	server_conn_t *conn = call->conn;

	conn->call = NULL;
	call_free(call);
	evhttp_connection_free(conn->evcon);
}

bool ap_http_call_hold(ap_http_call_t *call, size_t bytes)
{
	if (bytes == call->owner_held)
		return true;
	call->owner_held = bytes;
	conn_charge(call->conn);
	return conn_may_hold(call->conn, bytes);
}

size_t ap_http_call_pipelined(const ap_http_call_t *call)
{
	return evbuffer_get_length(bufferevent_get_input(call_bev(call)));
}
