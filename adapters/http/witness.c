/*
 * Whether the process that sends a response still runs when the response ends with its connection:
 * the kernel closes the connections of a process that ends as the process itself would. All
 * connections of one process end with it, so another one that was established before, and is still
 * open, shows that the close was the process's own. A listener that is reached afterwards shows
 * nothing, since another process may have the address by then.
 */
#include "http/client.h"

#include <event2/bufferevent.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The kernel closes the descriptors of a process that ends one after the other. */
#define CLOSE_TIME (25 * AP_MSEC)
/* An end may be seen this much later on one connection than on another. */
#define SAME_END (1 * AP_SEC)
#define OPEN_MAX 4 /* connections one after the other; an upstream may close idle ones */

typedef enum witness_state {
	WITNESS_CONNECTING,
	WITNESS_OPEN,
	WITNESS_ENDED, /* refused, closed or reset */
} witness_state_t;

/**
 * struct ap_http_witness - a connection beside a response.
 * @response_fd: descriptor of the response's connection, until its end
 * @timer: after the response's end decides; before, whether a lost connection is opened again
 * @since: when the response began
 * @asked_at: when the response ended; 0 for not yet
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
	void *ctx;
	void (*done)(void *ctx, bool lives);
};

static void on_event(struct bufferevent *bev, short what, void *arg);

static void on_bytes(struct bufferevent *bev, void *arg)
{
	(void)bev;
	/* They belong to no request, and may not end. */
	on_event(bev, BEV_EVENT_ERROR, arg);
}

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

/* Whether a connection of the pool that carried a response before is still open. */
static bool pool_shows_life(const ap_http_witness_t *w)
{
	const address_t *address = address_find(w->client, w->host, w->port);
	const conn_t *conn;

	if (!address)
		return false;
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

static bool shows_life(const ap_http_witness_t *w)
{
	return w->state == WITNESS_OPEN || pool_shows_life(w);
}

static void finish(ap_http_witness_t *w)
{
	void (*done)(void *, bool) = w->done;
	bool lives = shows_life(w);
	void *ctx = w->ctx;

	ap_http_witness_free(w);
	done(ctx, lives);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	ap_http_witness_t *w = arg;
	ap_usec_t waited = ap_now() - w->asked_at;
	struct timeval rest;

	(void)fd;
	(void)what;
	if (w->asked_at == 0) {
		/* The response goes on, so its upstream closed only what was idle. */
		if (!has_left(w->response_fd))
			open_connection(w);
		return;
	}
	if (w->state != WITNESS_CONNECTING || waited >= w->limit || pool_shows_life(w)) {
		finish(w);
		return;
	}
	rest = ap_timeval(w->limit - waited);
	event_add(w->timer, &rest);
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
	if (w->asked_at != 0 && ap_now() - w->asked_at >= CLOSE_TIME)
		event_active(w->timer, EV_TIMEOUT, 0);
	else if (w->asked_at == 0 && w->state == WITNESS_ENDED && w->opened < OPEN_MAX)
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

void ap_http_witness_ask(ap_http_witness_t *w, ap_usec_t limit, void *ctx,
			 void (*done)(void *ctx, bool lives))
{
	struct timeval tv = ap_timeval(CLOSE_TIME);

	w->asked_at = ap_now();
	w->limit = limit;
	w->ctx = ctx;
	w->done = done;
	event_add(w->timer, &tv);
}

void ap_http_witness_free(ap_http_witness_t *w)
{
	if (!w)
		return;
	drop_connection(w);
	if (w->timer)
		event_free(w->timer);
	free(w);
}
