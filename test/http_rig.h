/* An HTTP server whose requests are counted, and raw connections to it. */
#ifndef AP_TEST_HTTP_RIG_H
#define AP_TEST_HTTP_RIG_H

#include "http/http.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <string.h>

static inline void run_briefly(struct event_base *base)
{
	struct timeval tv = {.tv_usec = 20000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

/* Runs the loop until @cond holds; the test's time limit ends a loop that never does. */
#define RUN_UNTIL(base, cond)                                                                      \
	do {                                                                                       \
		while (!(cond))                                                                    \
			event_base_loop(base, EVLOOP_ONCE);                                        \
	} while (0)

typedef struct server_seen {
	struct event_base *base;
	ap_http_call_t *call;
	int requests;
	int closed;
	int refused;
	void (*on_refused)(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);
} server_seen_t;

static inline void on_closed(void *ctx)
{
	((server_seen_t *)ctx)->closed++;
}

static inline void on_request(void *ctx, ap_http_call_t *call)
{
	server_seen_t *seen = ctx;

	seen->call = call;
	seen->requests++;
	ap_http_call_watch(call, seen, on_closed, NULL);
}

static inline ap_http_server_t *serve(server_seen_t *seen)
{
	ap_http_server_config_t config = {
		.base = seen->base,
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = 4096,
		.idle = 5 * AP_SEC,
		.ctx = seen,
		.request = on_request,
		.refused = seen->on_refused,
	};
	ap_http_server_t *server = NULL;

	assert_int_equal(ap_http_server_new(&config, &server, NULL), AP_HTTP_STATUS_OK);
	return server;
}

static inline struct bufferevent *start_connect(struct event_base *base, uint16_t port,
						const char *text)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct bufferevent *bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(bev, (struct sockaddr *)&addr, sizeof(addr));
	evbuffer_add(bufferevent_get_output(bev), text, strlen(text));
	return bev;
}

static inline struct bufferevent *connect_and_run(struct event_base *base, uint16_t port,
						  const char *text)
{
	struct bufferevent *bev = start_connect(base, port, text);

	run_briefly(base);
	return bev;
}

static inline void on_end_of(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	*(short *)arg |= what;
}

#endif
