/*
 * The HTTP client: requests to upstreams over pooled connections, with time limits. When a limit
 * is about to pass, a probe on a new connection tells a dead connection from an upstream that does
 * not respond. Connections are freed from the event loop only, never within a callback of the
 * library.
 */
#include "http/client.h"
#include "log/log.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define PROBE_LIMIT (1 * AP_SEC)
#define RESPONSE_HEADERS_MAX 65536    /* bytes */
#define UNPARSED_MAX (1 << 20)	      /* bytes of a response that the library holds */
#define HELD_TOLD (64 << 10)	      /* of all that is held of it: its owner is told above */
#define VERIFIED_FOR (500 * AP_MSEC)  /* after a response, a connection is "fresh" this long */
#define UNACKED_DEFAULT (10 * AP_SEC) /* close when bytes stay unacknowledged this long */
#define KEEPALIVE_PROBES 3	      /* on an idle connection, spread over the unacked time */
#define LIBRARY_TIMEOUT_S (24 * 3600) /* longer than any limit of this client */

void conn_discard(conn_t *conn)
{
	ap_http_client_t *client = conn->address->client;

	if (conn->state == CONN_DISCARDED)
		return;
	if (conn->state != CONN_UNLISTED)
		TAILQ_REMOVE(conn->state == CONN_IDLE ? &conn->address->idle : &conn->address->busy,
			     conn, link);
	conn->state = CONN_DISCARDED;
	TAILQ_INSERT_TAIL(&client->discarded, conn, link);
	event_active(client->deferred_work, 0, 0);
}

/*
 * Counts bytes taken from the output buffer as written only while the descriptor is open, since the
 * library discards unsent bytes after it has closed the descriptor.
 */
static void on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	conn_t *conn = arg;
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn->evcon);

	(void)buf;
	if (info->n_deleted && conn->fetch && bufferevent_getfd(bev) >= 0)
		conn->fetch->written += info->n_deleted;
}

/*
 * Gives up a response that is malformed, or of which the library holds a line or a chunk that does
 * not end.
 */
static void on_input(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	conn_t *conn = arg;
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn->evcon);

	if (!conn->fetch || info->n_added == 0)
		return;
	/*
	 * A response that begins before its request is written may be followed by a close, which
	 * the library would take for a failure. It reads again once all is written.
	 */
	if (evbuffer_get_length(bufferevent_get_output(bev)) > 0)
		bufferevent_disable(bev, EV_READ);
	ap_http_syntax_read(&conn->syntax, buf, info->n_added);
	if (evbuffer_get_length(buf) > UNPARSED_MAX || ap_http_line_too_long(conn->fetch->req, buf))
		conn->syntax.malformed = true;
	if (conn->syntax.malformed)
		event_active(conn->fetch->timer, EV_TIMEOUT, 0);
	else if (conn->fetch->config.holds && ap_http_fetch_held(conn->fetch) > HELD_TOLD)
		conn->fetch->config.holds(conn->fetch->config.ctx);
}

static void on_idle_close(struct evhttp_connection *evcon, void *arg)
{
	conn_t *conn = arg;

	(void)evcon;
	if (conn->state == CONN_IDLE)
		conn_discard(conn);
}

static conn_t *conn_open(address_t *address)
{
	struct event_base *base = address->client->base;
	struct timeval limit = {.tv_sec = LIBRARY_TIMEOUT_S};
	conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->address = address;
	conn->opened_at = ap_now();
	conn->evcon = evhttp_connection_base_new(base, NULL, address->host, address->port);
	if (!conn->evcon) {
		free(conn);
		return NULL;
	}
	evhttp_connection_set_retries(conn->evcon, 0);
	evhttp_connection_set_max_headers_size(conn->evcon, RESPONSE_HEADERS_MAX);
	evhttp_connection_set_timeout_tv(conn->evcon, &limit);
	evhttp_connection_set_closecb(conn->evcon, on_idle_close, conn);
	evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(conn->evcon)),
			on_output, conn);
	evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(conn->evcon)),
			on_input, conn);
	address->client->stats.opened++;
	address->conns++;
	return conn;
}

static address_t *address_new(ap_http_client_t *client, const char *key, const char *host,
			      uint16_t port)
{
	address_t *address = calloc(1, sizeof(*address));

	if (!address)
		return NULL;
	ap_copy_name(address->key, sizeof(address->key), key);
	ap_copy_name(address->host, sizeof(address->host), host);
	address->port = port;
	address->client = client;
	TAILQ_INIT(&address->idle);
	TAILQ_INIT(&address->busy);
	return address;
}

static void address_insert(ap_http_client_t *client, address_t *address)
{
	HASH_ADD(hh, client->addresses, key, strlen(address->key), address);
}

address_t *address_find(const ap_http_client_t *client, const char *host, uint16_t port)
{
	char key[ADDRESS_KEY_MAX];
	address_t *address;

	snprintf(key, sizeof(key), "%s %u", host, port);
	HASH_FIND_STR(client->addresses, key, address);
	return address;
}

static address_t *address_of(ap_http_client_t *client, const char *host, uint16_t port)
{
	address_t *address = address_find(client, host, port);
	char key[ADDRESS_KEY_MAX];

	if (address)
		return address;
	snprintf(key, sizeof(key), "%s %u", host, port);
	address = address_new(client, key, host, port);
	if (address)
		address_insert(client, address);
	return address;
}

static void fetch_free(ap_http_fetch_t *fetch)
{
	if (fetch->probe)
		ap_http_fetch_cancel(fetch->probe);
	event_free(fetch->timer);
	free(fetch);
}

/* The kernel discards what it holds of the request when the connection is closed. */
static void discard_unsent(const conn_t *conn)
{
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon));
	struct linger discard = {.l_onoff = 1};

	if (fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard)) != 0)
		ap_log(LOG_WARNING, "can't reset a connection to %s: %s", conn->address->key,
		       strerror(errno));
}

/* Ends @fetch; with @keep, its connection returns to the pool once the library is done with it. */
static void finish(ap_http_fetch_t *fetch, ap_http_end_t end, bool keep)
{
	conn_t *conn = fetch->conn;
	bool written = fetch->written > 0;

	conn->fetch = NULL;
	if (keep && !conn->retired) {
		conn->verified_at = ap_now();
		conn->idle_limit = fetch->config.idle < fetch->keep_alive ? fetch->config.idle
									  : fetch->keep_alive;
		conn->reusable = true;
		event_active(conn->address->client->deferred_work, 0, 0);
	} else {
		if (fetch->config.reset && end != AP_HTTP_COMPLETE && end != AP_HTTP_CLOSED)
			discard_unsent(conn);
		conn_discard(conn);
	}
	fetch->config.end(fetch->config.ctx, end, written);
	fetch_free(fetch);
}

static int on_head(struct evhttp_request *req, void *arg)
{
	conn_t *conn = arg;
	ap_http_fetch_t *fetch = conn->fetch;
	ap_http_head_t head = {
		.status = evhttp_request_get_response_code(req),
		.headers = evhttp_request_get_input_headers(req),
	};

	if (!fetch)
		return 0;
	head.reused = !fetch->new_conn;
	if (head.status < HTTP_OK && ap_http_take_interim(req, &fetch->interim_heads))
		return 0;
	if (head.status < HTTP_OK) {
		fetch->library_failure = AP_HTTP_MALFORMED;
		return -1;
	}
	if (conn->syntax.malformed || !ap_http_response_framing_valid(req)) {
		fetch->library_failure = AP_HTTP_MALFORMED;
		return -1;
	}
	head.framed = ap_http_response_framed(req);
	head.bodiless = ap_http_response_bodiless(req);
	head.sized = head.framed && !evhttp_find_header(head.headers, "Transfer-Encoding");
	fetch->head_received = true;
	fetch->last_byte_at = ap_now();
	fetch->keep_alive = keep_alive_of(head.headers);
	if (fetch->config.head)
		fetch->config.head(fetch->config.ctx, &head);
	return 0;
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	conn_t *conn = arg;
	ap_http_fetch_t *fetch = conn->fetch;
	struct evbuffer *buf = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(buf);

	if (!fetch || len == 0)
		return;
	fetch->last_byte_at = ap_now();
	fetch->body_bytes += len;
	if (conn->syntax.malformed || fetch->body_bytes > fetch->config.response_max) {
		finish(fetch, AP_HTTP_MALFORMED, false);
		return;
	}
	if (fetch->config.data)
		fetch->config.data(fetch->config.ctx, evbuffer_pullup(buf, -1), len);
}

/* Whether the response has framing (the library has read to its end) and no bytes follow it. */
static bool is_complete(const struct evhttp_request *req, struct bufferevent *bev)
{
	if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		return false;
	return ap_http_response_framed(req);
}

/* Result, for a lenient request, of a response that is_complete() rejects. */
static ap_http_end_t lenient_result(const struct evhttp_request *req)
{
	return ap_http_response_framed(req) ? AP_HTTP_COMPLETE : AP_HTTP_CLOSED;
}

static void on_done(struct evhttp_request *req, void *arg)
{
	conn_t *conn = arg;
	ap_http_fetch_t *fetch = conn->fetch;
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn->evcon);

	if (!fetch) {
		conn->failed = true;
		return;
	}
	if (!req)
		finish(fetch, fetch->library_failure, false);
	else if (req->response_code == 0)
		finish(fetch, fetch->written ? AP_HTTP_RESET : AP_HTTP_UNREACHABLE, false);
	/* Without a head: an interim response that the library takes to be final. */
	else if (conn->syntax.malformed || !fetch->head_received)
		finish(fetch, AP_HTTP_MALFORMED, false);
	else if (!is_complete(req, bev))
		finish(fetch, fetch->config.lenient ? lenient_result(req) : AP_HTTP_MALFORMED,
		       false);
	else
		finish(fetch, AP_HTTP_COMPLETE, bufferevent_getfd(bev) >= 0);
}

static void on_error(enum evhttp_request_error error, void *arg)
{
	conn_t *conn = arg;

	if (conn->fetch &&
	    (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG))
		conn->fetch->library_failure = AP_HTTP_MALFORMED;
}

static void set_timer(ap_http_fetch_t *fetch, ap_usec_t delay)
{
	struct timeval tv;

	if (delay < AP_MSEC)
		delay = AP_MSEC;
	tv = ap_timeval(delay);
	event_add(fetch->timer, &tv);
}

static ap_usec_t limit_of(const ap_http_fetch_t *fetch)
{
	return fetch->head_received ? fetch->config.between_chunks : fetch->config.first_byte;
}

static void on_probe_end(void *ctx, ap_http_end_t end, bool written)
{
	ap_http_fetch_t *fetch = ctx;

	(void)written;
	fetch->probe = NULL;
	fetch->probe_state = end == AP_HTTP_COMPLETE || end == AP_HTTP_MALFORMED ? PROBE_RESPONDED
										 : PROBE_FAILED;
	if (fetch->timed_out)
		fetch_time_out(fetch);
}

/* Sends a request on a new connection: any response shows that the upstream is alive. */
static void start_probe(ap_http_fetch_t *fetch)
{
	address_t *address = fetch->conn->address;
	/*
	 * The probe starts after half of the time limit that it decides on and ends no later than
	 * that limit, so it adds no delay.
	 */
	ap_usec_t limit = limit_of(fetch) / 2 < PROBE_LIMIT ? limit_of(fetch) / 2 : PROBE_LIMIT;
	ap_http_fetch_config_t config = {
		.host = address->host,
		.port = address->port,
		.method = EVHTTP_REQ_HEAD,
		.target = "/",
		.fresh = true,
		.first_byte = limit,
		.between_chunks = limit,
		.response_max = 64 * 1024,
		.ctx = fetch,
		.end = on_probe_end,
	};

	fetch->suspect_since = fetch->last_byte_at;
	fetch->probe_state = PROBE_FAILED;
	fetch->probe = fetch_start(address->client, &config, conn_open(address), true);
	if (fetch->probe)
		fetch->probe_state = PROBE_RUNNING;
	address->client->stats.probes++;
}

/*
 * Closes the idle connections verified no later than @before, and busy ones opened no later than
 * that once their request ends: they may be dead as well.
 */
static void retire_older(address_t *address, ap_usec_t before)
{
	conn_t *conn;
	conn_t *next;

	for (conn = TAILQ_FIRST(&address->idle); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		if (conn->verified_at <= before) {
			conn_discard(conn);
			address->client->stats.retired++;
		}
	}
	TAILQ_FOREACH (conn, &address->busy, link) {
		if (conn->opened_at <= before)
			conn->retired = true;
	}
}

/*
 * A new connection without a response byte is not suspected: it was opened for this request,
 * so the upstream itself is slow.
 */
static bool conn_may_be_dead(const ap_http_fetch_t *fetch)
{
	return !fetch->is_probe && !fetch->config.no_probe &&
	       (fetch->head_received || !fetch->new_conn);
}

void fetch_time_out(ap_http_fetch_t *fetch)
{
	address_t *address = fetch->conn->address;

	fetch->timed_out = true;
	if (!conn_may_be_dead(fetch) || fetch->probe_state == PROBE_FAILED) {
		finish(fetch, AP_HTTP_TIMEOUT, false);
		return;
	}
	if (fetch->probe_state == PROBE_RUNNING)
		return;
	address->client->stats.retired++;
	retire_older(address, fetch->suspect_since);
	finish(fetch, AP_HTTP_CONN_DEAD, false);
}

/* Whether the connect limit applies: a new connection that has taken no byte yet. */
static bool connecting(const ap_http_fetch_t *fetch)
{
	return fetch->config.connect > 0 && fetch->new_conn && fetch->written == 0;
}

/* Starts a probe after half of the time limit without a byte; its result decides at the limit. */
static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	ap_http_fetch_t *fetch = arg;
	ap_usec_t limit = limit_of(fetch);
	ap_usec_t now = ap_now();
	ap_usec_t silent = now - fetch->last_byte_at;

	(void)fd;
	(void)what;
	if (fetch->conn->syntax.malformed) {
		finish(fetch, AP_HTTP_MALFORMED, false);
		return;
	}
	if (fetch->paused) {
		set_timer(fetch, limit / 2);
		return;
	}
	if (connecting(fetch) && silent >= fetch->config.connect) {
		finish(fetch, AP_HTTP_UNREACHABLE, false);
		return;
	}
	if (silent >= limit) {
		if (fetch->probe_state == PROBE_NONE && conn_may_be_dead(fetch))
			start_probe(fetch);
		fetch_time_out(fetch);
		return;
	}
	if (fetch->probe_state != PROBE_NONE && fetch->suspect_since != fetch->last_byte_at) {
		if (fetch->probe)
			ap_http_fetch_cancel(fetch->probe);
		fetch->probe = NULL;
		fetch->probe_state = PROBE_NONE;
	}
	if (silent >= limit / 2 && fetch->probe_state == PROBE_NONE && conn_may_be_dead(fetch))
		start_probe(fetch);
	set_timer(fetch, silent < limit / 2 ? limit / 2 - silent : limit - silent);
}

/*
 * Detects a peer that disappeared without closing: it acknowledges neither data nor keep-alive
 * probes. A silence shorter than @unacked ends no connection. With TCP_USER_TIMEOUT set, a
 * connection ends at the first unanswered probe after that time since the last byte, whatever the
 * number of probes, and the silence may have begun just before the first one.
 */
static void set_timeouts(int fd, ap_usec_t unacked)
{
	int probes = KEEPALIVE_PROBES;
	int every = (int)(unacked / KEEPALIVE_PROBES / AP_SEC);
	unsigned timeout;
	int one = 1;

	if (every < 1)
		every = 1;
	timeout = (unsigned)(unacked / AP_MSEC) + (unsigned)every * 1000;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &every, sizeof(every));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof(every));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void set_socket(conn_t *conn, ap_usec_t unacked)
{
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon));
	unsigned timeout = UNACKED_DEFAULT / AP_MSEC;
	int one = 1;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (unacked)
		set_timeouts(fd, unacked);
	else
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

static struct evhttp_request *make_request(conn_t *conn, const ap_http_fetch_config_t *config)
{
	struct evhttp_request *req = evhttp_request_new(on_done, conn);
	struct evkeyvalq *headers;

	if (!req)
		return NULL;
	headers = evhttp_request_get_output_headers(req);
	for (size_t i = 0; i < config->n_headers; i++)
		evhttp_add_header(headers, config->headers[i].name, config->headers[i].value);
	if (!evhttp_find_header(headers, "Host"))
		evhttp_add_header(headers, "Host", conn->address->host);
	if (!ap_http_set_body(req, config->method, config->body, config->len)) {
		evhttp_request_free(req);
		return NULL;
	}
	evhttp_request_set_header_cb(req, on_head);
	evhttp_request_set_chunked_cb(req, on_chunk);
	evhttp_request_set_error_cb(req, on_error);
	return req;
}

static ap_usec_t first_timer(const ap_http_fetch_t *fetch)
{
	ap_usec_t half = fetch->config.first_byte / 2;

	return connecting(fetch) && fetch->config.connect < half ? fetch->config.connect : half;
}

ap_http_fetch_t *fetch_start(ap_http_client_t *client, const ap_http_fetch_config_t *config,
			     conn_t *conn, bool is_probe)
{
	ap_http_fetch_t *fetch = calloc(1, sizeof(*fetch));
	struct evhttp_request *req = conn ? make_request(conn, config) : NULL;

	if (fetch)
		fetch->timer = evtimer_new(client->base, on_timer, fetch);
	if (!fetch || !req || !fetch->timer) {
		if (req)
			evhttp_request_free(req);
		if (conn)
			conn_discard(conn);
		if (fetch && fetch->timer)
			event_free(fetch->timer);
		free(fetch);
		return NULL;
	}
	fetch->config = *config;
	fetch->conn = conn;
	fetch->req = req;
	fetch->is_probe = is_probe;
	fetch->new_conn = conn->verified_at == 0;
	fetch->library_failure = AP_HTTP_RESET;
	fetch->keep_alive = AP_NEVER;
	fetch->last_byte_at = ap_now();
	evhttp_connection_set_max_body_size(conn->evcon, (ev_ssize_t)config->response_max);
	conn->syntax = (ap_http_syntax_t){
		.response = true,
		.no_body = config->method == EVHTTP_REQ_HEAD,
	};
	conn->reusable = false;
	conn->state = CONN_BUSY;
	TAILQ_INSERT_TAIL(&conn->address->busy, conn, link);
	/* The library may call on_done() for a failed connect before it returns. */
	if (evhttp_make_request(conn->evcon, req, config->method, config->target) != 0 ||
	    conn->failed) {
		conn_discard(conn);
		event_free(fetch->timer);
		free(fetch);
		return NULL;
	}
	conn->fetch = fetch;
	if (fetch->new_conn)
		set_socket(conn, config->unacked);
	set_timer(fetch, first_timer(fetch));
	return fetch;
}

ap_http_fetch_t *ap_http_fetch(ap_http_client_t *client, const ap_http_fetch_config_t *config)
{
	address_t *address = address_of(client, config->host, config->port);
	conn_t *conn;

	if (!address)
		return NULL;
	conn = conn_reuse(address, config->fresh, ap_now());
	if (!conn)
		conn = conn_open(address);
	return fetch_start(client, config, conn, false);
}

void ap_http_fetch_cancel(ap_http_fetch_t *fetch)
{
	fetch->conn->fetch = NULL;
	if (fetch->config.reset)
		discard_unsent(fetch->conn);
	conn_discard(fetch->conn);
	fetch_free(fetch);
}

bool ap_http_fetch_written(const ap_http_fetch_t *fetch)
{
	return fetch->written > 0;
}

void ap_http_fetch_pause(ap_http_fetch_t *fetch, bool paused)
{
	if (fetch->paused == paused)
		return;
	fetch->paused = paused;
	fetch->last_byte_at = ap_now();
	/* on_deferred_work() does this, since the library enables reading after each chunk. */
	event_active(fetch->conn->address->client->deferred_work, 0, 0);
}
