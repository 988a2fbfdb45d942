/*
 * Whether the process that sends a response still runs when the response ends with its connection:
 * the kernel closes the connections of a process that ends as the process itself would. All
 * connections of one process end with it, so an answer on another one that was established before
 * shows that the close was the process's own. That such a connection is open shows nothing, since a
 * relay may pass its end on later; nor does a listener that is reached afterwards, since another
 * process may have the address by then.
 */
#include "http/client.h"

#include <event2/bufferevent.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOOK_TIME (25 * AP_MSEC) /* until connections are looked at again */
/* An end may be seen this much later on one connection than on another. */
#define SAME_END (1 * AP_SEC)
#define HEALTH_PATH_MAX 256
#define HEADER_NAME_MAX 64
#define ANSWER_MAX 4096 /* bytes of a head */
#define OPEN_MAX 4	/* connections one after the other; an upstream may close idle ones */

typedef enum witness_state {
	WITNESS_CONNECTING,
	WITNESS_OPEN,
	WITNESS_ENDED, /* refused, closed or reset */
} witness_state_t;

/**
 * struct ap_http_witness - a connection beside a response.
 * @response_fd: descriptor of the response's connection, until its end
 * @timer: after the response's end looks for what shows life; before, whether a lost connection is
 *         opened again
 * @since: when the response began
 * @asked_at: when the response ended; 0 for not yet
 * @id: of the upstream, in the header @id_name
 * @path: of its health check; empty for none
 * @written: the health check was written to @bev
 * @fetch: the health check on a connection of the pool
 * @fetch_named: its response named the upstream
 */
struct ap_http_witness {
	ap_http_client_t *client;
	char host[AP_HOST_MAX];
	uint16_t port;
	int response_fd;
	struct bufferevent *bev;
	struct event *timer;
	witness_state_t state;
	unsigned opened;
	ap_usec_t since;
	ap_usec_t asked_at;
	ap_usec_t limit;
	char id[AP_NAME_MAX];
	char id_name[HEADER_NAME_MAX];
	char path[HEALTH_PATH_MAX];
	bool written;
	ap_http_fetch_t *fetch;
	bool fetch_named;
	void *ctx;
	void (*done)(void *ctx, bool lives);
};

static void on_event(struct bufferevent *bev, short what, void *arg);

static void on_bytes(struct bufferevent *bev, void *arg);

static void drop_connection(ap_http_witness_t *w)
{
	if (w->bev)
		bufferevent_free(w->bev);
	w->bev = NULL;
}

static void open_connection(ap_http_witness_t *w)
{
	struct sockaddr_storage to;
	int len = sizeof(to);
	char text[ADDRESS_KEY_MAX];

	w->opened++;
	w->state = WITNESS_ENDED;
	snprintf(text, sizeof(text), strchr(w->host, ':') ? "[%s]:%u" : "%s:%u", w->host, w->port);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&to, &len) != 0)
		return;
	w->bev = bufferevent_socket_new(w->client->base, -1,
					BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	if (!w->bev)
		return;
	bufferevent_setcb(w->bev, on_bytes, NULL, on_event, w);
	bufferevent_enable(w->bev, EV_READ);
	if (bufferevent_socket_connect(w->bev, (struct sockaddr *)&to, len) == 0)
		w->state = WITNESS_CONNECTING;
	else
		ap_log(LOG_ERR, "can't open a connection beside a response of %s: %s", w->host,
		       strerror(errno));
}

static bool has_left(int fd)
{
	struct pollfd peer = {.fd = fd, .events = POLLRDHUP};

	return fd < 0 || poll(&peer, 1, 0) > 0;
}

static int fd_of(const conn_t *conn)
{
	return bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon));
}

static bool is_witness(const conn_t *conn, ap_usec_t since)
{
	bool responded = conn->verified_at != 0 || (conn->fetch && conn->fetch->head_received);

	return conn->opened_at < since && responded && !has_left(fd_of(conn));
}

static void finish(ap_http_witness_t *w, bool lives)
{
	void (*done)(void *, bool) = w->done;
	void *ctx = w->ctx;

	ap_http_witness_free(w);
	done(ctx, lives);
}

/*
 * Returns whether @head, up to its empty line, is that of a response that names no other process.
 */
static bool is_answer(const ap_http_witness_t *w, const char *head)
{
	char name[HEADER_NAME_MAX + 3];
	const char *at;
	size_t len;

	if (strncmp(head, "HTTP/1.", strlen("HTTP/1.")) != 0)
		return false;
	snprintf(name, sizeof(name), "\r\n%s:", w->id_name);
	at = strcasestr(head, name);
	if (!at)
		return true;
	at += strlen(name);
	at += strspn(at, " \t");
	len = strcspn(at, " \t\r");
	return len == strlen(w->id) && strncmp(at, w->id, len) == 0;
}

static void on_bytes(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	ap_http_syntax_t syntax = {.response = true};
	size_t len = end.pos < 0 ? evbuffer_get_length(in) : (size_t)end.pos + 2;
	ap_http_witness_t *w = arg;
	char head[ANSWER_MAX];

	/* Bytes before the health check belong to no request, and may not end. */
	if (w->written && len < sizeof(head)) {
		if (end.pos < 0)
			return;
		evbuffer_copyout(in, head, len);
		head[len] = '\0';
		ap_http_syntax_read(&syntax, in, evbuffer_get_length(in));
		if (!syntax.malformed && is_answer(w, head)) {
			finish(w, true);
			return;
		}
	}
	on_event(bev, BEV_EVENT_ERROR, arg);
}

static void on_fetch_head(void *ctx, const ap_http_head_t *head)
{
	ap_http_witness_t *w = ctx;
	const char *id = evhttp_find_header(head->headers, w->id_name);

	/* One without a name may be a copy of an earlier response. */
	w->fetch_named = id && strcmp(id, w->id) == 0;
}

static void on_fetch_end(void *ctx, ap_http_end_t end, bool written)
{
	ap_http_witness_t *w = ctx;

	(void)written;
	w->fetch = NULL;
	if (w->fetch_named && (end == AP_HTTP_COMPLETE || end == AP_HTTP_CLOSED))
		finish(w, true);
	else
		event_active(w->timer, EV_TIMEOUT, 0);
}

static void ask_on(ap_http_witness_t *w, conn_t *conn)
{
	ap_http_fetch_config_t config = {
		.host = w->host,
		.port = w->port,
		.method = EVHTTP_REQ_GET,
		.target = w->path,
		.lenient = true,
		.no_probe = true,
		.first_byte = w->limit,
		.between_chunks = w->limit,
		.idle = conn->idle_limit,
		.response_max = ANSWER_MAX,
		.ctx = w,
		.head = on_fetch_head,
		.end = on_fetch_end,
	};

	TAILQ_REMOVE(&conn->address->idle, conn, link);
	conn->state = CONN_UNLISTED;
	w->client->stats.reused++;
	w->fetch_named = false;
	w->fetch = fetch_start(w->client, &config, conn, false);
}

/* Whether a connection from before the response is open, where the upstream has no health check. */
static bool is_open(const ap_http_witness_t *w)
{
	const address_t *address = address_find(w->client, w->host, w->port);
	const conn_t *conn;

	if (w->state == WITNESS_OPEN || !address)
		return w->state == WITNESS_OPEN;
	TAILQ_FOREACH (conn, &address->idle, link) {
		if (is_witness(conn, w->since))
			return true;
	}
	TAILQ_FOREACH (conn, &address->busy, link) {
		if (is_witness(conn, w->since))
			return true;
	}
	return false;
}

/*
 * Asks on an idle connection of the pool that carried a response before. Return: whether one was
 * found, or a busy one, which may be idle in time.
 */
static bool ask_pool(ap_http_witness_t *w)
{
	const address_t *address = address_find(w->client, w->host, w->port);
	conn_t *conn;

	if (!address)
		return false;
	TAILQ_FOREACH (conn, &address->idle, link) {
		if (is_witness(conn, w->since)) {
			ask_on(w, conn);
			return true;
		}
	}
	TAILQ_FOREACH (conn, &address->busy, link) {
		if (is_witness(conn, w->since))
			return true;
	}
	return false;
}

static void ask_witness(ap_http_witness_t *w)
{
	evbuffer_add_printf(bufferevent_get_output(w->bev), "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			    w->path, w->host);
	w->written = true;
}

/* Returns whether something may still show life. */
static bool ask(ap_http_witness_t *w)
{
	if (w->state == WITNESS_OPEN) {
		if (!w->written)
			ask_witness(w);
		return true;
	}
	return w->fetch || ask_pool(w) || w->state == WITNESS_CONNECTING;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval later = ap_timeval(LOOK_TIME);
	ap_http_witness_t *w = arg;
	ap_usec_t waited = ap_now() - w->asked_at;

	(void)fd;
	(void)what;
	if (w->asked_at == 0) {
		/* The response goes on, so its upstream closed only what was idle. */
		if (!has_left(w->response_fd))
			open_connection(w);
		return;
	}
	if (waited >= w->limit || (!w->path[0] && waited >= LOOK_TIME &&
				   (w->state != WITNESS_CONNECTING || is_open(w)))) {
		finish(w, !w->path[0] && is_open(w));
		return;
	}
	if (w->path[0] && !ask(w)) {
		finish(w, false);
		return;
	}
	event_add(w->timer, &later);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct timeval later = ap_timeval(SAME_END);
	ap_http_witness_t *w = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		w->state = WITNESS_OPEN;
	} else {
		drop_connection(w);
		w->state = WITNESS_ENDED;
	}
	if (w->asked_at != 0)
		event_active(w->timer, EV_TIMEOUT, 0);
	else if (w->state == WITNESS_ENDED && w->opened < OPEN_MAX)
		event_add(w->timer, &later);
}

ap_http_witness_t *ap_http_witness_new(const ap_http_fetch_t *fetch)
{
	const address_t *address = fetch->conn->address;
	ap_http_witness_t *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->timer = evtimer_new(address->client->base, on_timer, w);
	if (!w->timer) {
		ap_http_witness_free(w);
		return NULL;
	}
	ap_copy_name(w->host, sizeof(w->host), address->host);
	w->client = address->client;
	w->port = address->port;
	w->response_fd = fd_of(fetch->conn);
	w->since = ap_now();
	open_connection(w);
	return w;
}

void ap_http_witness_ask(ap_http_witness_t *w, const ap_http_witness_question_t *question)
{
	w->asked_at = ap_now();
	ap_copy_name(w->id, sizeof(w->id), question->id);
	ap_copy_name(w->id_name, sizeof(w->id_name), question->id_name);
	ap_copy_name(w->path, sizeof(w->path), question->path);
	w->limit = question->limit;
	w->ctx = question->ctx;
	w->done = question->done;
	event_active(w->timer, EV_TIMEOUT, 0);
}

void ap_http_witness_free(ap_http_witness_t *w)
{
	if (!w)
		return;
	drop_connection(w);
	if (w->fetch)
		ap_http_fetch_cancel(w->fetch);
	if (w->timer)
		event_free(w->timer);
	free(w);
}
