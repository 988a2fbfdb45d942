/* An HTTP client, and an upstream that is a listening socket: the test accepts, reads and writes.
 */
#ifndef AP_TEST_RAW_UPSTREAM_H
#define AP_TEST_RAW_UPSTREAM_H

#include "act.h"
#include "http/http.h"

/**
 * struct raw_upstream - the client, the socket and how the last request ended.
 * @ended: how many requests have ended
 */
typedef struct raw_upstream {
	struct event_base *base;
	ap_http_client_t *client;
	int listener;
	uint16_t port;
	int ended;
	ap_http_end_t end;
} raw_upstream_t;

/* @buffer: receive buffer of its connections in bytes; 0 for the default. */
static inline void raw_upstream_init(raw_upstream_t *r, int buffer)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);

	*r = (raw_upstream_t){.base = ap_http_base_new()};
	r->client = ap_http_client_new(r->base);
	r->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (buffer > 0)
		setsockopt(r->listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	assert_int_equal(bind(r->listener, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(r->listener, 8), 0);
	getsockname(r->listener, (struct sockaddr *)&addr, &len);
	r->port = ntohs(addr.sin_port);
}

static inline void raw_upstream_clear(raw_upstream_t *r)
{
	ap_http_client_free(r->client);
	close(r->listener);
	event_base_free(r->base);
}

static inline int raw_upstream_accept(const raw_upstream_t *r)
{
	int fd = accept(r->listener, NULL, NULL);

	assert_true(fd >= 0);
	return fd;
}

static inline void raw_upstream_on_end(void *ctx, ap_http_end_t end, bool written)
{
	raw_upstream_t *r = ctx;

	(void)written;
	r->ended++;
	r->end = end;
}

/* Sends a request with @body; @limit bounds each wait for the response. */
static inline ap_http_fetch_t *raw_upstream_fetch(raw_upstream_t *r, const void *body, size_t len,
						  bool reset, ap_usec_t limit)
{
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = r->port,
		.method = EVHTTP_REQ_POST,
		.target = "/",
		.body = body,
		.len = len,
		.no_probe = true,
		.reset = reset,
		.first_byte = limit,
		.between_chunks = limit,
		.idle = limit,
		.response_max = 1 << 20,
		.ctx = r,
		.end = raw_upstream_on_end,
	};
	ap_http_fetch_t *fetch = ap_http_fetch(r->client, &config);

	assert_non_null(fetch);
	return fetch;
}

#endif
