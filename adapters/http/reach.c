/* Finds out whether a process listens at an address, without sending it anything. */
#include "http/http.h"
#include "log/log.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <string.h>

#define ADDRESS_TEXT_MAX 64
/* The kernel may close the listener of a process that ends after its connections. */
#define CLOSE_TIME (25 * AP_MSEC)

struct ap_http_reach {
	struct event_base *base;
	struct event *timer; /* starts the connection */
	struct bufferevent *bev;
	struct sockaddr_storage to;
	int len;
	ap_usec_t limit;
	void *ctx;
	void (*done)(void *ctx, ap_http_reached_t reached);
};

void ap_http_reach_cancel(ap_http_reach_t *reach)
{
	if (reach->bev)
		bufferevent_free(reach->bev);
	event_free(reach->timer);
	free(reach);
}

static void finish(ap_http_reach_t *reach, ap_http_reached_t reached)
{
	void (*done)(void *, ap_http_reached_t) = reach->done;
	void *ctx = reach->ctx;

	ap_http_reach_cancel(reach);
	done(ctx, reached);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	ap_http_reached_t reached = AP_HTTP_REACHED_UNKNOWN;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		reached = AP_HTTP_REACHED_LISTENER;
	else if ((what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNREFUSED)
		reached = AP_HTTP_REACHED_NOBODY;
	finish(arg, reached);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	ap_http_reach_t *reach = arg;
	struct timeval tv = ap_timeval(reach->limit);

	(void)fd;
	(void)what;
	reach->bev = bufferevent_socket_new(reach->base, -1,
					    BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	if (!reach->bev) {
		ap_log(LOG_ERR, "no memory to check whether an upstream listens");
		finish(reach, AP_HTTP_REACHED_UNKNOWN);
		return;
	}
	bufferevent_setcb(reach->bev, NULL, NULL, on_event, reach);
	bufferevent_set_timeouts(reach->bev, NULL, &tv);
	if (bufferevent_socket_connect(reach->bev, (struct sockaddr *)&reach->to, reach->len) < 0) {
		ap_log(LOG_ERR, "can't check whether an upstream listens: %s", strerror(errno));
		finish(reach, AP_HTTP_REACHED_UNKNOWN);
	}
}

static bool parse_address(const char *host, uint16_t port, struct sockaddr_storage *to, int *len)
{
	char text[ADDRESS_TEXT_MAX];

	*len = sizeof(*to);
	snprintf(text, sizeof(text), strchr(host, ':') ? "[%s]:%u" : "%s:%u", host, port);
	return evutil_parse_sockaddr_port(text, (struct sockaddr *)to, len) == 0;
}

ap_http_reach_t *ap_http_reach(struct event_base *base, const ap_http_reach_config_t *config)
{
	ap_http_reach_t *reach = calloc(1, sizeof(*reach));
	struct timeval tv = ap_timeval(CLOSE_TIME);

	if (!reach || !parse_address(config->host, config->port, &reach->to, &reach->len)) {
		free(reach);
		return NULL;
	}
	reach->base = base;
	reach->limit = config->limit;
	reach->done = config->done;
	reach->ctx = config->ctx;
	reach->timer = evtimer_new(base, on_timer, reach);
	if (!reach->timer) {
		free(reach);
		return NULL;
	}
	event_add(reach->timer, &tv);
	return reach;
}
