/* The client's connection pool: connections are kept, expired and freed from the event loop. */
#include "http/client.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <sys/socket.h>

#define VERIFIED_FOR (500 * AP_MSEC) /* after a response, a connection is "fresh" this long */
#define SWEEP_S 1		     /* seconds between checks for expired idle connections */

struct event_base *ap_http_base_new(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (!config)
		return NULL;
	/* A write event that is added and removed in one loop turn then costs no system call. */
	event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

/*
 * Whether nothing has arrived since the last response. Bytes that are here before a request is
 * written would be read as its response.
 */
static bool is_silent(const conn_t *conn)
{
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon));
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

conn_t *conn_reuse(address_t *address, bool fresh, ap_usec_t now)
{
	conn_t *conn;

	while ((conn = TAILQ_FIRST(&address->idle)) != NULL) {
		if (now - conn->verified_at > conn->idle_limit) {
			address->client->stats.idle_closed++;
			conn_discard(conn);
			continue;
		}
		if (fresh && now - conn->verified_at > VERIFIED_FOR)
			return NULL;
		if (!is_silent(conn)) {
			address->client->stats.stray++;
			conn_discard(conn);
			continue;
		}
		TAILQ_REMOVE(&address->idle, conn, link);
		conn->state = CONN_UNLISTED;
		address->client->stats.reused++;
		return conn;
	}
	return NULL;
}

static void free_discarded(ap_http_client_t *client)
{
	conn_t *conn = TAILQ_FIRST(&client->discarded);
	conn_t *next;

	TAILQ_INIT(&client->discarded);
	for (; conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
		evhttp_connection_free(conn->evcon);
		conn->address->conns--;
		free(conn);
	}
}

static void apply_pause(conn_t *conn)
{
	bool stop = conn->fetch && conn->fetch->paused;
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn->evcon);

	if (stop)
		bufferevent_disable(bev, EV_READ);
	else if (conn->read_stopped)
		bufferevent_enable(bev, EV_READ);
	conn->read_stopped = stop;
}

static void update_busy(address_t *address)
{
	conn_t *conn;
	conn_t *next;

	for (conn = TAILQ_FIRST(&address->busy); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		apply_pause(conn);
		if (!conn->reusable)
			continue;
		conn->reusable = false;
		if (bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon)) < 0) {
			conn_discard(conn);
			continue;
		}
		TAILQ_REMOVE(&address->busy, conn, link);
		TAILQ_INSERT_HEAD(&address->idle, conn, link);
		conn->state = CONN_IDLE;
	}
}

static void on_deferred_work(evutil_socket_t fd, short what, void *arg)
{
	ap_http_client_t *client = arg;
	address_t *address;

	(void)fd;
	(void)what;
	for (address = client->addresses; address; address = address->hh.next)
		update_busy(address);
	free_discarded(client);
}

static void expire_idle(address_t *address, ap_usec_t now)
{
	conn_t *conn;
	conn_t *next;

	for (conn = TAILQ_FIRST(&address->idle); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		if (now - conn->verified_at <= conn->idle_limit)
			continue;
		address->client->stats.idle_closed++;
		conn_discard(conn);
	}
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	ap_http_client_t *client = arg;
	struct timeval again = {.tv_sec = SWEEP_S};
	ap_usec_t now = ap_now();
	address_t *empty = NULL;
	address_t *address;

	(void)fd;
	(void)what;
	for (address = client->addresses; address; address = address->hh.next) {
		expire_idle(address, now);
		if (address->conns == 0)
			empty = address;
	}
	/* Frees at most one unused address a sweep; addresses change slowly. */
	if (empty) {
		HASH_DEL(client->addresses, empty);
		free(empty);
	}
	event_add(client->sweep, &again);
}

ap_http_client_t *ap_http_client_new(struct event_base *base)
{
	ap_http_client_t *client = calloc(1, sizeof(*client));
	struct timeval again = {.tv_sec = SWEEP_S};

	if (!client)
		return NULL;
	client->base = base;
	TAILQ_INIT(&client->discarded);
	client->deferred_work = event_new(base, -1, 0, on_deferred_work, client);
	client->sweep = evtimer_new(base, on_sweep, client);
	if (!client->deferred_work || !client->sweep) {
		ap_http_client_free(client);
		return NULL;
	}
	event_add(client->sweep, &again);
	return client;
}

static void drop_all(struct conns *conns)
{
	conn_t *conn;

	while ((conn = TAILQ_FIRST(conns)) != NULL) {
		if (conn->fetch)
			ap_http_fetch_cancel(conn->fetch);
		else
			conn_discard(conn);
	}
}

void ap_http_client_free(ap_http_client_t *client)
{
	address_t *address;
	address_t *next;

	if (!client)
		return;
	for (address = client->addresses; address; address = address->hh.next) {
		drop_all(&address->busy);
		drop_all(&address->idle);
	}
	free_discarded(client);
	address = client->addresses;
	HASH_CLEAR(hh, client->addresses);
	for (; address; address = next) {
		next = address->hh.next;
		free(address);
	}
	if (client->deferred_work)
		event_free(client->deferred_work);
	if (client->sweep)
		event_free(client->sweep);
	free(client);
}

ap_http_client_stats_t ap_http_client_stats(const ap_http_client_t *client)
{
	return client->stats;
}
