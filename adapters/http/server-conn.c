/*
 * Connections of callers: limits their number and the time in which a request must arrive, and
 * replaces the library's own error responses by those of the server's owner.
 */
#include "http/server.h"
#include "log/log.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SPARE_MIN 16	    /* connections above the limit that still get a response, */
#define SPARE_DIVISOR 8	    /* or the limit divided by this if that is more */
#define LINGER (2 * AP_SEC) /* how long bytes of a refused caller are read and discarded */
#define LINGER_CHUNK 65536  /* bytes discarded at a time */
#define STATUS_LINE_MIN 12  /* bytes up to the end of the status code */
#define STATUS_AT 9	    /* offset of the status code in a status line */
#define STATUS_CONTINUE 100
#define UNREAD_CHECK (100 * AP_MSEC) /* between checks of a caller whose bytes aren't read */

/**
 * struct lingering_conn - a connection that got its last response and is read until the caller
 * closes. Closing a socket with unread bytes resets the connection, and the caller may lose the
 * response.
 */
struct lingering_conn {
	LIST_ENTRY(lingering_conn) link;
	ap_http_server_t *server;
	struct event *event;
	ap_usec_t until;
};

static size_t count_open(const ap_http_server_t *server)
{
	return HASH_COUNT(server->conns) + server->n_lingering;
}

ap_http_server_stats_t ap_http_server_stats(const ap_http_server_t *server)
{
	ap_http_server_stats_t stats = server->stats;

	stats.open = count_open(server);
	return stats;
}

static bool exceeds_limit(const ap_http_server_t *server, size_t spare)
{
	size_t limit = server->config.connections;

	return limit && count_open(server) > limit + spare;
}

static size_t spare_for(const ap_http_server_t *server)
{
	size_t part = server->config.connections / SPARE_DIVISOR;

	return part > SPARE_MIN ? part : SPARE_MIN;
}

static void linger_free(lingering_conn_t *l)
{
	server_lingers(l->server, false);
	LIST_REMOVE(l, link);
	close(event_get_fd(l->event));
	event_free(l->event);
	free(l);
}

static void on_linger(evutil_socket_t fd, short what, void *arg)
{
	char discarded[LINGER_CHUNK];
	lingering_conn_t *l = arg;
	ssize_t got = recv(fd, discarded, sizeof(discarded), 0);
	bool more = got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));

	if ((what & EV_TIMEOUT) || !more || ap_now() >= l->until)
		linger_free(l);
}

/* Reads and discards what arrives on @fd for at most LINGER, then closes it. Takes over @fd. */
static void linger_start(ap_http_server_t *server, int fd)
{
	struct timeval limit = ap_timeval(LINGER);
	lingering_conn_t *l = calloc(1, sizeof(*l));

	if (l)
		l->event = event_new(server->config.base, fd, EV_READ | EV_PERSIST, on_linger, l);
	if (!l || !l->event) {
		free(l);
		close(fd);
		return;
	}
	l->server = server;
	l->until = ap_now() + LINGER;
	LIST_INSERT_HEAD(&server->lingering, l, link);
	server_lingers(server, true);
	event_add(l->event, &limit);
}

/*
 * Lingers on a duplicate of the descriptor: the library closes its own one as soon as a write on it
 * fails.
 */
void conn_send_last(server_conn_t *conn, struct evbuffer *out)
{
	int own = bufferevent_getfd(conn->bev);
	int fd = fcntl(own, F_DUPFD_CLOEXEC, 0);

	conn->refused = true;
	conn_may_give_way(conn, false);
	event_del(conn->timer);
	evbuffer_write(out, own);
	shutdown(own, SHUT_WR);
	if (fd >= 0 && conn_may_linger(conn))
		linger_start(conn->server, fd);
	else if (fd >= 0)
		close(fd);
}

static void refuse(server_conn_t *conn, ap_http_refusal_t why)
{
	const ap_http_server_config_t *config = &conn->server->config;
	ap_http_call_t call = {.server = conn->server, .conn = conn};

	if (config->refused)
		config->refused(config->ctx, &call, why);
}

void conn_drop(server_conn_t *conn)
{
	bufferevent_trigger_event(conn->bev, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

static void on_closed(struct evhttp_connection *evcon, void *arg)
{
	server_conn_t *conn = arg;

	(void)evcon;
	if (conn->call)
		call_closed(conn->call);
	else if (conn->arriving && !conn->refused && !conn->server->closing)
		refuse(conn, AP_HTTP_REFUSED_TRUNCATED);
	conn_free(conn);
}

/*
 * Finds the library's new connection, which is only available as the callback argument of its
 * bufferevent.
 */
static void adopt(server_conn_t *conn)
{
	struct bufferevent *bev = conn->bev;
	void *evcon;

	bufferevent_getcb(bev, NULL, NULL, NULL, &evcon);
	conn->evcon = evcon;
	bufferevent_decref(bev);
	if (!evcon) {
		conn_free(conn);
		return;
	}
	conn_may_give_way(conn, true);
	evhttp_connection_set_closecb(evcon, on_closed, conn);
	if (conn->far_over_limit) {
		conn->server->stats.closed++;
		conn_drop(conn);
	}
}

bool conn_peer_left(const server_conn_t *conn)
{
	struct pollfd peer = {.fd = bufferevent_getfd(conn->bev), .events = POLLRDHUP};

	return poll(&peer, 1, 0) > 0;
}

/* While bytes are left unread, the event loop can't wait for the caller to leave. */
void conn_check_later(server_conn_t *conn)
{
	struct timeval soon = ap_timeval(UNREAD_CHECK);

	event_add(conn->timer, &soon);
}

static void check_unread(server_conn_t *conn)
{
	if (!conn_peer_left(conn))
		conn_check_later(conn);
	else if (conn->call->ended)
		conn_drop(conn);
	else
		call_hung_up(conn->call);
}

static void give_way(server_conn_t *conn)
{
	if (!conn->call && conn->arriving)
		refuse(conn, AP_HTTP_REFUSED_BUDGET);
	if (conn->call && !conn->call->ended)
		call_hung_up(conn->call);
	else
		conn_drop(conn);
}

static bool has_head(const server_conn_t *conn)
{
	return conn->syntax.place >= AP_HTTP_AT_SIZE || conn->syntax.trailers;
}

/* Sets the timer to the next limit of the request that arrives. */
static void limit_arrival(server_conn_t *conn)
{
	ap_usec_t at = conn->head_limit && !has_head(conn) ? conn->head_limit : conn->limit;
	ap_usec_t now = ap_now();
	struct timeval left = ap_timeval(at > now ? at - now : 0);

	event_add(conn->timer, &left);
}

/* Whether the limit that has passed was that of a head which has arrived. */
static bool was_head_limit(const server_conn_t *conn)
{
	return conn->arriving && !conn->syntax.malformed && !conn->overfull && has_head(conn) &&
	       ap_now() < conn->limit;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	server_conn_t *conn = arg;

	(void)fd;
	(void)what;
	if (!conn->evcon) {
		adopt(conn);
		return;
	}
	if (conn->gives_way) {
		give_way(conn);
		return;
	}
	if (conn->call && conn->call->failed) {
		call_give_up(conn->call);
		return;
	}
	if (conn->call) {
		check_unread(conn);
		return;
	}
	if (was_head_limit(conn)) {
		limit_arrival(conn);
		return;
	}
	if (conn->syntax.malformed && !conn->syntax.oversized) {
		refuse(conn, AP_HTTP_REFUSED_MALFORMED);
	} else if (conn->syntax.oversized || conn->overfull) {
		refuse(conn, AP_HTTP_REFUSED_BODY_TOO_LARGE);
	} else {
		conn->server->stats.timed_out++;
		refuse(conn, AP_HTTP_REFUSED_TIMEOUT);
	}
	conn_drop(conn);
}

static void read_syntax(server_conn_t *conn, struct evbuffer *in, size_t n)
{
	ap_http_syntax_read(&conn->syntax, in, n);
	/* The library may wait for more. */
	if (conn->syntax.malformed)
		event_active(conn->timer, EV_TIMEOUT, 0);
}

static ap_usec_t more(ap_usec_t a, ap_usec_t b)
{
	return a > b ? a : b;
}

static void begin_arrival(server_conn_t *conn)
{
	const ap_http_server_t *server = conn->server;
	ap_usec_t now = ap_now();

	conn->arriving = true;
	conn->arrived = 0;
	conn->header_max = conn->server->config.header_bytes;
	conn->body_max = conn->server->config.body_bytes;
	evhttp_connection_set_max_headers_size(conn->evcon, (ev_ssize_t)conn->header_max);
	evhttp_connection_set_max_body_size(conn->evcon, (ev_ssize_t)conn->body_max);
	conn_answers(conn, false);
	conn->syntax = (ap_http_syntax_t){0};
	conn_progress(conn);
	if (!server->config.arrival)
		return;
	conn->head_limit = server->head_time ? now + server->head_time : 0;
	conn->limit = more(now + server->config.arrival, conn->head_limit);
	/* The timer has the limits from now on. */
	bufferevent_set_timeouts(conn->bev, NULL, &server->unread);
	limit_arrival(conn);
}

/* Bytes of a request that the library may hold at a time: a body of a stated length, or a chunk. */
static size_t unparsed_max(const server_conn_t *conn)
{
	return conn->header_max + conn->body_max + PIPELINED_MAX;
}

static void on_input(struct evbuffer *in, const struct evbuffer_cb_info *info, void *arg)
{
	server_conn_t *conn = arg;

	if (info->n_added == 0 || conn->refused || conn->gives_way)
		return;
	if (conn->call) {
		if (evbuffer_get_length(in) >= PIPELINED_MAX)
			conn_check_later(conn);
		conn_charge(conn);
		return;
	}
	if (!conn->arriving)
		begin_arrival(conn);
	conn->arrived += info->n_added;
	read_syntax(conn, in, info->n_added);
	conn_batch(conn);
	conn_charge(conn);
	if (evbuffer_get_length(in) > unparsed_max(conn)) {
		conn->overfull = true;
		event_active(conn->timer, EV_TIMEOUT, 0);
	}
}

static ap_http_refusal_t refusal_of(const server_conn_t *conn, int status)
{
	switch (status) {
	case HTTP_BADREQUEST:
		return conn->syntax.head_bytes > conn->header_max ? AP_HTTP_REFUSED_HEAD_TOO_LARGE
								  : AP_HTTP_REFUSED_MALFORMED;
	case HTTP_ENTITYTOOLARGE:
		/* The library takes some malformed sizes of chunks for large ones. */
		return conn->syntax.malformed && !conn->syntax.oversized
			       ? AP_HTTP_REFUSED_MALFORMED
			       : AP_HTTP_REFUSED_BODY_TOO_LARGE;
	case HTTP_NOTIMPLEMENTED:
		return AP_HTTP_REFUSED_METHOD;
	case HTTP_EXPECTATIONFAILED:
		return AP_HTTP_REFUSED_EXPECT;
	case HTTP_SERVUNAVAIL:
		return AP_HTTP_REFUSED_NO_MEMORY;
	default:
		return AP_HTTP_REFUSED_MALFORMED;
	}
}

/* Returns the status code of the response just added after @before bytes; 0 if none was added. */
static int status_added(struct evbuffer *out, size_t before)
{
	char line[STATUS_LINE_MIN + 1] = "";
	struct evbuffer_iovec part;
	struct evbuffer_ptr at;

	/* A buffer with a frozen start allows evbuffer_peek(), but not copying. */
	if (evbuffer_ptr_set(out, &at, before, EVBUFFER_PTR_SET) != 0 ||
	    evbuffer_peek(out, STATUS_LINE_MIN, &at, &part, 1) < 1 ||
	    part.iov_len < STATUS_LINE_MIN)
		return 0;
	memcpy(line, part.iov_base, STATUS_LINE_MIN);
	if (strncmp(line, "HTTP/", 5) != 0)
		return 0;
	return (int)strtol(line + STATUS_AT, NULL, 10);
}

/*
 * Output without a call is the library's own error response. It is never sent: refuse() sends
 * another response first and shuts the connection down for writing.
 */
static void on_output(struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
	server_conn_t *conn = arg;
	int status;

	if (conn->call) {
		conn_read(conn, info->n_deleted);
		if (!conn->gives_way)
			conn_charge(conn);
		if (info->n_deleted > 0 && evbuffer_get_length(out) == 0 &&
		    conn->call->output_empty)
			conn->call->output_empty(conn->call->ctx);
		return;
	}
	if (info->n_added == 0 || conn->refused)
		return;
	status = status_added(out, info->orig_size);
	if (status != 0 && status != STATUS_CONTINUE)
		refuse(conn, refusal_of(conn, status));
}

static bool watch(server_conn_t *conn)
{
	struct bufferevent *bev = conn->bev;

	conn->timer = evtimer_new(conn->server->config.base, on_timer, conn);
	return conn->timer && evbuffer_add_cb(bufferevent_get_input(bev), on_input, conn) &&
	       evbuffer_add_cb(bufferevent_get_output(bev), on_output, conn);
}

struct bufferevent *conn_new(ap_http_server_t *server)
{
	server_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->server = server;
	conn->bev = bufferevent_socket_new(server->config.base, -1, 0);
	if (!conn->bev || !watch(conn)) {
		if (conn->bev)
			bufferevent_free(conn->bev);
		if (conn->timer)
			event_free(conn->timer);
		free(conn);
		return NULL;
	}
	bufferevent_incref(conn->bev);
	conn_count(conn);
	HASH_ADD_PTR(server->conns, bev, conn);
	conn->over_limit = exceeds_limit(server, 0);
	conn->far_over_limit = exceeds_limit(server, spare_for(server));
	/* Runs adopt() before the loop polls the new connection's descriptor. */
	event_active(conn->timer, EV_TIMEOUT, 0);
	return conn->bev;
}

server_conn_t *conn_of(const ap_http_server_t *server, struct evhttp_connection *evcon)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(evcon);
	server_conn_t *conn;

	HASH_FIND_PTR(server->conns, &bev, conn);
	return conn;
}

void conn_free(server_conn_t *conn)
{
	HASH_DELETE(hh, conn->server->conns, conn);
	conn_uncount(conn);
	event_free(conn->timer);
	free(conn);
}

static bool has_unread(const server_conn_t *conn)
{
	char byte;

	return recv(bufferevent_getfd(conn->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool conn_any_request(const ap_http_server_t *server)
{
	const server_conn_t *conn;

	for (conn = server->conns; conn; conn = conn->hh.next) {
		if (!conn->refused && (conn->call || conn->arriving || has_unread(conn)))
			return true;
	}
	return false;
}

void conn_drop_idle(ap_http_server_t *server)
{
	server_conn_t *conn;
	server_conn_t *next;

	HASH_ITER (hh, server->conns, conn, next) {
		if (conn->evcon && !conn->call && !conn->arriving && !has_unread(conn))
			conn_drop(conn);
	}
}

void conn_free_all(ap_http_server_t *server)
{
	server_conn_t *conn;
	server_conn_t *next;
	lingering_conn_t *l;
	lingering_conn_t *l_next;

	/* Connections left were opened, but not adopted yet. */
	HASH_ITER (hh, server->conns, conn, next) {
		bufferevent_decref(conn->bev);
		conn_free(conn);
	}
	for (l = LIST_FIRST(&server->lingering); l; l = l_next) {
		l_next = LIST_NEXT(l, link);
		linger_free(l);
	}
}

void conn_request_complete(server_conn_t *conn)
{
	conn->arriving = false;
	conn->unread = false; /* the library has stopped reading, and begins again by itself */
	event_del(conn->timer);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, PIPELINED_MAX);
}

void conn_response_sent(server_conn_t *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	conn->call = NULL;
	conn->served = 0;
	conn_answers(conn, false);
	event_del(conn->timer);
	conn_progress(conn);
	if (evbuffer_get_length(in) > 0) {
		begin_arrival(conn);
		conn->arrived = evbuffer_get_length(in);
		read_syntax(conn, in, evbuffer_get_length(in));
	}
	conn_charge(conn);
}

bool conn_over_limit(server_conn_t *conn)
{
	conn->over_limit = conn->over_limit && exceeds_limit(conn->server, 0);
	if (conn->over_limit)
		conn->server->stats.refused++;
	return conn->over_limit;
}
