/*
 * Peers that respond without end, over real sockets: as fast as they can, or a byte now and then.
 */
#ifndef AP_TEST_FLOOD_H
#define AP_TEST_FLOOD_H

#include "log/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <string.h>

#define FILL_BYTES (256 << 10)

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define PAD_LINE "X-Pad: padding\r\n"

/* @start is sent once, then @repeat without end. */
typedef struct flood {
	const char *name;
	const char *start;
	const char *repeat;
	bool held; /* by the client, until a line or a chunk is complete */
	bool body; /* parts of a body that a client may pass on */
} flood_t;

typedef struct flooder {
	const flood_t *flood;
	struct event_base *base;
	struct evconnlistener *listener;
	struct bufferevent *bev;
	uint16_t port;
	bool started; /* the request has arrived */
	uint64_t sent;
} flooder_t;

static inline void flooder_on_writable(struct bufferevent *bev, void *arg)
{
	flooder_t *u = arg;
	struct evbuffer *out = bufferevent_get_output(bev);

	while (u->started && evbuffer_get_length(out) < FILL_BYTES) {
		evbuffer_add(out, u->flood->repeat, strlen(u->flood->repeat));
		u->sent += strlen(u->flood->repeat);
	}
}

static inline void flooder_on_readable(struct bufferevent *bev, void *arg)
{
	flooder_t *u = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	if (u->started)
		return;
	u->started = true;
	evbuffer_add(bufferevent_get_output(bev), u->flood->start, strlen(u->flood->start));
	flooder_on_writable(bev, u);
}

static inline void flooder_on_event(struct bufferevent *bev, short what, void *arg)
{
	flooder_t *u = arg;

	(void)what;
	bufferevent_free(bev);
	u->bev = NULL;
}

static inline void flooder_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
				     struct sockaddr *from, int len, void *arg)
{
	flooder_t *u = arg;

	(void)listener;
	(void)from;
	(void)len;
	u->bev = bufferevent_socket_new(u->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(u->bev, flooder_on_readable, flooder_on_writable, flooder_on_event, u);
	bufferevent_enable(u->bev, EV_READ | EV_WRITE);
}

static inline void flooder_start(flooder_t *u, struct event_base *base, const flood_t *flood)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);

	*u = (flooder_t){.flood = flood, .base = base};
	u->listener = evconnlistener_new_bind(base, flooder_on_accept, u, LEV_OPT_CLOSE_ON_FREE, -1,
					      (struct sockaddr *)&address, sizeof(address));
	assert_non_null(u->listener);
	getsockname(evconnlistener_get_fd(u->listener), (struct sockaddr *)&address, &len);
	u->port = ntohs(address.sin_port);
}

static inline void flooder_stop(flooder_t *u)
{
	if (u->bev)
		bufferevent_free(u->bev);
	evconnlistener_free(u->listener);
}

static const flood_t floods[] = {
	{.name = "a status line", .start = "", .repeat = "HTTP/1.1", .held = true},
	{.name = "header lines", .start = OK, .repeat = PAD_LINE},
	{.name = "one header", .start = OK "X-Pad: ", .repeat = "padding"},
	{.name = "interim responses", .start = "", .repeat = "HTTP/1.1 100 Continue\r\n\r\n"},
	{.name = "interim responses with headers",
	 .start = "",
	 .repeat = "HTTP/1.1 103 Early Hints\r\n" PAD_LINE "\r\n"},
	{.name = "a body without framing", .start = OK "\r\n", .repeat = "padding"},
	{.name = "a body of a stated length",
	 .start = OK "Content-Length: 99999999999\r\n\r\n",
	 .repeat = "padding"},
	{.name = "chunks", .start = OK CHUNKED, .repeat = "7\r\npadding\r\n"},
	{.name = "one chunk", .start = OK CHUNKED "fffffff\r\n", .repeat = "padding", .held = true},
	{.name = "the size of a chunk", .start = OK CHUNKED, .repeat = "0000000", .held = true},
	{.name = "the extension of a chunk",
	 .start = OK CHUNKED "7;",
	 .repeat = "padding",
	 .held = true},
	{.name = "trailers", .start = OK CHUNKED "0\r\n", .repeat = PAD_LINE},
};

#define N_FLOODS (sizeof(floods) / sizeof(floods[0]))

static const flood_t drips[] = {
	{.name = "a status line", .start = "HTTP/1.1 200 ", .repeat = "OK"},
	{.name = "header lines", .start = OK, .repeat = "X:y\r\n"},
	{.name = "interim responses", .start = "", .repeat = "HTTP/1.1 100 C\r\n\r\n"},
	{.name = "one chunk", .start = OK CHUNKED "ffff\r\n", .repeat = "padding"},
	{.name = "the size of a chunk", .start = OK CHUNKED, .repeat = "0"},
	{.name = "trailers", .start = OK CHUNKED "0\r\n", .repeat = "X:y\r\n"},
	{.name = "a body without framing", .start = OK "\r\n", .repeat = "p", .body = true},
	{.name = "a body of a stated length",
	 .start = OK "Content-Length: 9999\r\n\r\n",
	 .repeat = "p",
	 .body = true},
	{.name = "chunks", .start = OK CHUNKED, .repeat = "1\r\np\r\n", .body = true},
};

#define N_DRIPS (sizeof(drips) / sizeof(drips[0]))

#define DRIP_EVERY (20 * AP_MSEC)

typedef struct drip {
	flooder_t flooder;
	struct event *timer;
} drip_t;

static inline void drip_on_timer(evutil_socket_t fd, short what, void *arg)
{
	drip_t *d = arg;
	struct timeval every = ap_timeval(DRIP_EVERY);
	flooder_t *u = &d->flooder;

	(void)fd;
	(void)what;
	if (u->bev && u->started)
		bufferevent_write(u->bev, u->flood->repeat + u->sent++ % strlen(u->flood->repeat),
				  1);
	event_add(d->timer, &every);
}

static inline void drip_on_readable(struct bufferevent *bev, void *arg)
{
	flooder_t *u = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	if (!u->started)
		bufferevent_write(bev, u->flood->start, strlen(u->flood->start));
	u->started = true;
}

static inline void drip_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
				  struct sockaddr *from, int len, void *arg)
{
	flooder_t *u = arg;

	flooder_on_accept(listener, fd, from, len, u);
	bufferevent_setcb(u->bev, drip_on_readable, NULL, flooder_on_event, u);
}

static inline void drip_start(drip_t *d, struct event_base *base, const flood_t *flood)
{
	flooder_start(&d->flooder, base, flood);
	evconnlistener_set_cb(d->flooder.listener, drip_on_accept, &d->flooder);
	d->timer = evtimer_new(base, drip_on_timer, d);
	drip_on_timer(-1, 0, d);
}

static inline void drip_stop(drip_t *d)
{
	event_free(d->timer);
	flooder_stop(&d->flooder);
}

#endif
