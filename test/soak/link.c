/* A TCP relay between two programs that can delay, reset, drop one direction or go silent. */
#include "soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define DELAY_MS 150

typedef struct pair {
	LIST_ENTRY(pair) entry;
	link_t *link;
	struct bufferevent *near;
	struct bufferevent *far;
	struct event *later;
	struct event *closing; /* closes the pair */
} pair_t;

struct link {
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t port;
	uint16_t to;
	link_mode_t mode;
	ap_rng_t *rng; /* of the time to a plain close; NULL: errors are passed on as resets */
	ap_usec_t spread;
	ap_rng_t *hold_rng; /* of the time that bytes are held; NULL: they aren't */
	ap_usec_t hold;
	LIST_HEAD(, pair) pairs;
};

static void pair_free(pair_t *p, bool reset)
{
	struct linger none = {.l_onoff = 1};

	if (reset && !p->link->rng) {
		setsockopt(bufferevent_getfd(p->near), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
		setsockopt(bufferevent_getfd(p->far), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	}
	LIST_REMOVE(p, entry);
	bufferevent_free(p->near);
	bufferevent_free(p->far);
	event_free(p->later);
	event_free(p->closing);
	free(p);
}

static void on_closing(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pair_free(arg, false);
}

/* Passes the end of one side on to the other a moment later. */
static void close_later(pair_t *p)
{
	ap_usec_t delay = (ap_usec_t)ap_rng_below(p->link->rng, (uint64_t)p->link->spread + 1);
	struct timeval tv = ap_timeval(delay);

	bufferevent_disable(p->near, EV_READ);
	bufferevent_disable(p->far, EV_READ);
	bufferevent_setcb(p->near, NULL, NULL, NULL, NULL);
	bufferevent_setcb(p->far, NULL, NULL, NULL, NULL);
	event_add(p->closing, &tv);
}

void (*link_tap)(const link_t *l, const void *data, size_t len);

static void move(struct bufferevent *from, struct bufferevent *to)
{
	bufferevent_write_buffer(to, bufferevent_get_input(from));
}

/* Passes on what is bound for the port. */
static void move_forward(pair_t *p)
{
	struct evbuffer *in = bufferevent_get_input(p->near);

	if (link_tap)
		link_tap(p->link, evbuffer_pullup(in, -1), evbuffer_get_length(in));
	move(p->near, p->far);
}

static void pass(pair_t *p)
{
	switch (p->link->mode) {
	case LINK_SILENT:
		return;
	case LINK_ONE_WAY:
		move_forward(p);
		return;
	default:
		move_forward(p);
		move(p->far, p->near);
	}
}

static void on_later(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pass(arg);
}

/* Holds what has come back by chance, unless earlier bytes wait already. */
static void hold(pair_t *p)
{
	ap_rng_t *rng = p->link->hold_rng;
	ap_usec_t time = 0;
	struct timeval tv;

	if (event_pending(p->later, EV_TIMEOUT, NULL))
		return;
	if (ap_rng_below(rng, 2) == 0)
		time = (ap_usec_t)ap_rng_below(rng, (uint64_t)p->link->hold + 1);
	tv = ap_timeval(time);
	event_add(p->later, &tv);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct timeval delay = {.tv_usec = DELAY_MS * 1000};
	pair_t *p = arg;

	if (p->link->mode == LINK_DELAY)
		event_add(p->later, &delay);
	else if (p->link->mode != LINK_OPEN || !p->link->hold_rng)
		pass(p);
	else if (bev == p->far)
		hold(p);
	else
		move_forward(p);
}

static void on_drained(struct bufferevent *bev, void *arg)
{
	(void)bev;
	pair_free(arg, false);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	pair_t *p = arg;
	struct bufferevent *other = bev == p->near ? p->far : p->near;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* A silent link doesn't relay the end of a connection either. */
	if (p->link->mode == LINK_SILENT)
		return;
	pass(p);
	if (p->link->rng && p->link->spread > 0) {
		close_later(p);
		return;
	}
	if ((p->link->rng || (what & BEV_EVENT_EOF)) &&
	    evbuffer_get_length(bufferevent_get_output(other)) > 0) {
		bufferevent_disable(bev, EV_READ | EV_WRITE);
		bufferevent_setcb(other, NULL, on_drained, on_event, p);
		return;
	}
	pair_free(p, what & BEV_EVENT_ERROR);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd, struct sockaddr *from,
		      int len, void *arg)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	link_t *l = arg;
	pair_t *p = calloc(1, sizeof(*p));

	(void)listener;
	(void)from;
	(void)len;
	if (!p)
		abort();
	to.sin_port = htons(l->to);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	p->link = l;
	p->near = bufferevent_socket_new(l->base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->far = bufferevent_socket_new(l->base, -1, BEV_OPT_CLOSE_ON_FREE);
	p->later = evtimer_new(l->base, on_later, p);
	p->closing = evtimer_new(l->base, on_closing, p);
	LIST_INSERT_HEAD(&l->pairs, p, entry);
	bufferevent_setcb(p->near, on_read, NULL, on_event, p);
	bufferevent_setcb(p->far, on_read, NULL, on_event, p);
	if (l->mode == LINK_RESET ||
	    bufferevent_socket_connect(p->far, (struct sockaddr *)&to, sizeof(to)) != 0) {
		pair_free(p, true);
		return;
	}
	bufferevent_enable(p->near, EV_READ | EV_WRITE);
	bufferevent_enable(p->far, EV_READ | EV_WRITE);
}

link_t *link_new(struct event_base *base, uint16_t port, uint16_t to)
{
	struct sockaddr_in any = {.sin_family = AF_INET, .sin_port = htons(port)};
	socklen_t len = sizeof(any);
	link_t *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->base = base;
	l->to = to;
	LIST_INIT(&l->pairs);
	any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	l->listener = evconnlistener_new_bind(base, on_accept, l,
					      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 256,
					      (struct sockaddr *)&any, sizeof(any));
	if (!l->listener)
		abort();
	getsockname(evconnlistener_get_fd(l->listener), (struct sockaddr *)&any, &len);
	l->port = ntohs(any.sin_port);
	return l;
}

uint16_t link_port(const link_t *l)
{
	return l->port;
}

link_mode_t link_mode(const link_t *l)
{
	return l->mode;
}

void link_set_mode(link_t *l, link_mode_t mode)
{
	pair_t *next;
	pair_t *p;

	l->mode = mode;
	for (p = LIST_FIRST(&l->pairs); p; p = next) {
		next = LIST_NEXT(p, entry);
		if (mode == LINK_RESET)
			pair_free(p, true);
		else if (mode == LINK_OPEN)
			pass(p);
	}
}

void link_close_plainly(link_t *l, ap_usec_t spread, ap_rng_t *rng)
{
	l->spread = spread;
	l->rng = rng;
}

void link_hold(link_t *l, ap_usec_t max, ap_rng_t *rng)
{
	l->hold = max;
	l->hold_rng = rng;
}

void link_free(link_t *l)
{
	pair_t *next;

	for (pair_t *p = LIST_FIRST(&l->pairs); p; p = next) {
		next = LIST_NEXT(p, entry);
		pair_free(p, true);
	}
	evconnlistener_free(l->listener);
	free(l);
}
