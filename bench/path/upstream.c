/* An upstream on libevent's HTTP server that streams tokens at a fixed pace. */
#include "path.h"

#include <event2/bufferevent.h>
#include <event2/thread.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

typedef struct reply {
	path_upstream_t *up;
	struct evhttp_request *req;
	struct event *timer;
	int sent;
} reply_t;

static void reply_free(reply_t *r)
{
	atomic_fetch_sub(&r->up->open, 1);
	event_free(r->timer);
	free(r);
}

static void on_close(struct evhttp_connection *conn, void *arg)
{
	reply_t *r = arg;
	struct evhttp_request *req = r->req;

	(void)conn;
	reply_free(r);
	if (!evhttp_request_get_connection(req))
		evhttp_request_free(req);
}

static void write_text(reply_t *r, const char *text)
{
	struct evbuffer *buf = evbuffer_new();

	evbuffer_add(buf, text, strlen(text));
	evhttp_send_reply_chunk(r->req, buf);
	evbuffer_free(buf);
}

static void finish(reply_t *r)
{
	struct evhttp_request *req = r->req;

	write_text(r, "data: [DONE]\n\n");
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), NULL, NULL);
	reply_free(r);
	evhttp_send_reply_end(req);
}

static void on_token(evutil_socket_t fd, short what, void *arg)
{
	reply_t *r = arg;
	long interval = atomic_load(&r->up->interval);
	struct timeval tv = {.tv_sec = interval / 1000000, .tv_usec = interval % 1000000};
	char text[128];

	(void)fd;
	(void)what;
	if (r->sent == atomic_load(&r->up->tokens)) {
		finish(r);
		return;
	}
	snprintf(text, sizeof(text),
		 "data: {\"choices\":[{\"delta\":{\"content\":\"word%d \"}}]}\n\n", r->sent++);
	write_text(r, text);
	event_add(r->timer, &tv);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	path_upstream_t *up = arg;
	reply_t *r = calloc(1, sizeof(*r));
	const char *id = evhttp_find_header(evhttp_request_get_input_headers(req), "X-Request-Id");
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	int one = 1;

	setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(conn)), IPPROTO_TCP,
		   TCP_NODELAY, &one, sizeof(one));
	r->up = up;
	r->req = req;
	r->timer = evtimer_new(up->base, on_token, r);
	atomic_fetch_add(&up->open, 1);
	if (id)
		evhttp_add_header(out, "X-Request-Id", id);
	evhttp_add_header(out, "Content-Type", "text/event-stream");
	evhttp_connection_set_closecb(conn, on_close, r);
	evhttp_send_reply_start(req, 200, NULL);
	on_token(-1, 0, r);
}

static void *run(void *arg)
{
	path_upstream_t *up = arg;

	event_base_loop(up->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

void path_upstream_start(path_upstream_t *up)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	struct evhttp_bound_socket *bound;

	up->base = event_base_new();
	up->http = evhttp_new(up->base);
	evhttp_set_timeout(up->http, 600);
	evhttp_set_gencb(up->http, on_request, up);
	bound = evhttp_bind_socket_with_handle(up->http, "127.0.0.1", 0);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&addr, &len);
	up->port = ntohs(addr.sin_port);
	pthread_create(&up->thread, NULL, run, up);
}

void path_upstream_stop(path_upstream_t *up)
{
	event_base_loopbreak(up->base);
	pthread_join(up->thread, NULL);
	evhttp_free(up->http);
	event_base_free(up->base);
}
