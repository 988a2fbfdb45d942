/*
 * Upstreams that send bytes without end, in a head or a body, until the connection is closed. The
 * client gives each of them up after a bounded number of bytes, long before its time limits.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "http/http.h"
#include "log/log.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define TIME_LIMIT (20 * AP_SEC)
#define RESPONSE_MAX (1 << 20) /* bytes of a body that the client accepts */
#define LARGE_MAX (512 << 20)  /* likewise, where it would hold all of them */
#define SENT_MAX (24 << 20)    /* RESPONSE_MAX, what the client holds, and socket buffers */
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
} flood_t;

typedef struct upstream {
	const flood_t *flood;
	struct event_base *base;
	struct evconnlistener *listener;
	struct bufferevent *bev;
	uint16_t port;
	bool started; /* the request has arrived */
	uint64_t sent;
} upstream_t;

static void on_writable(struct bufferevent *bev, void *arg)
{
	upstream_t *u = arg;
	struct evbuffer *out = bufferevent_get_output(bev);

	while (u->started && evbuffer_get_length(out) < FILL_BYTES) {
		evbuffer_add(out, u->flood->repeat, strlen(u->flood->repeat));
		u->sent += strlen(u->flood->repeat);
	}
}

static void on_readable(struct bufferevent *bev, void *arg)
{
	upstream_t *u = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	if (u->started)
		return;
	u->started = true;
	evbuffer_add(bufferevent_get_output(bev), u->flood->start, strlen(u->flood->start));
	on_writable(bev, u);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	upstream_t *u = arg;

	(void)what;
	bufferevent_free(bev);
	u->bev = NULL;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd, struct sockaddr *from,
		      int len, void *arg)
{
	upstream_t *u = arg;

	(void)listener;
	(void)from;
	(void)len;
	u->bev = bufferevent_socket_new(u->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(u->bev, on_readable, on_writable, on_event, u);
	bufferevent_enable(u->bev, EV_READ | EV_WRITE);
}

static void upstream_start(upstream_t *u, struct event_base *base, const flood_t *flood)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);

	*u = (upstream_t){.flood = flood, .base = base};
	u->listener = evconnlistener_new_bind(base, on_accept, u, LEV_OPT_CLOSE_ON_FREE, -1,
					      (struct sockaddr *)&address, sizeof(address));
	assert_non_null(u->listener);
	getsockname(evconnlistener_get_fd(u->listener), (struct sockaddr *)&address, &len);
	u->port = ntohs(address.sin_port);
}

static void upstream_stop(upstream_t *u)
{
	if (u->bev)
		bufferevent_free(u->bev);
	evconnlistener_free(u->listener);
}

typedef struct result {
	struct event_base *base;
	bool ended;
	ap_http_end_t end;
} result_t;

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	result_t *r = ctx;

	(void)written;
	r->ended = true;
	r->end = end;
	event_base_loopbreak(r->base);
}

/* Returns how the request ended; @sent receives the bytes that the upstream sent until then. */
static ap_http_end_t fetch(const flood_t *flood, uint64_t *sent)
{
	struct event_base *base = event_base_new();
	ap_http_client_t *client = ap_http_client_new(base);
	result_t result = {.base = base};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.method = EVHTTP_REQ_POST,
		.target = "/",
		.body = "x",
		.len = 1,
		.lenient = true,
		.no_probe = true,
		.first_byte = TIME_LIMIT,
		.between_chunks = TIME_LIMIT,
		.response_max = flood->held ? LARGE_MAX : RESPONSE_MAX,
		.ctx = &result,
		.end = on_end,
	};
	upstream_t upstream;
	ap_usec_t start = ap_now();

	upstream_start(&upstream, base, flood);
	config.port = upstream.port;
	assert_non_null(ap_http_fetch(client, &config));
	while (!result.ended && upstream.sent <= 4 * (uint64_t)SENT_MAX &&
	       ap_now() - start < TIME_LIMIT)
		event_base_loop(base, EVLOOP_ONCE);
	*sent = upstream.sent;
	ap_http_client_free(client);
	upstream_stop(&upstream);
	event_base_free(base);
	return result.ended ? result.end : AP_HTTP_COMPLETE;
}

/*
 * Guards against a response that fills the memory, since the library holds a line or a chunk until
 * it is complete.
 */
static void bytes_without_end_are_given_up(void **state)
{
	static const flood_t floods[] = {
		{.name = "a status line", .start = "", .repeat = "HTTP/1.1", .held = true},
		{.name = "header lines", .start = OK, .repeat = PAD_LINE},
		{.name = "one header", .start = OK "X-Pad: ", .repeat = "padding"},
		{.name = "interim responses",
		 .start = "",
		 .repeat = "HTTP/1.1 100 Continue\r\n\r\n"},
		{.name = "a body without framing", .start = OK "\r\n", .repeat = "padding"},
		{.name = "a body of a stated length",
		 .start = OK "Content-Length: 99999999999\r\n\r\n",
		 .repeat = "padding"},
		{.name = "chunks", .start = OK CHUNKED, .repeat = "7\r\npadding\r\n"},
		{.name = "one chunk",
		 .start = OK CHUNKED "fffffff\r\n",
		 .repeat = "padding",
		 .held = true},
		{.name = "the size of a chunk",
		 .start = OK CHUNKED,
		 .repeat = "0000000",
		 .held = true},
		{.name = "the extension of a chunk",
		 .start = OK CHUNKED "7;",
		 .repeat = "padding",
		 .held = true},
		{.name = "trailers", .start = OK CHUNKED "0\r\n", .repeat = PAD_LINE},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(floods) / sizeof(floods[0]); i++) {
		uint64_t sent;
		ap_http_end_t end = fetch(&floods[i], &sent);

		print_message("%s: %.1f MB, end %d\n", floods[i].name, (double)sent / (1 << 20),
			      (int)end);
		assert_true(end == AP_HTTP_MALFORMED || end == AP_HTTP_RESET);
		assert_true(sent <= SENT_MAX);
	}
}

#define DRIP_EVERY (20 * AP_MSEC)
#define DRIP_LIMIT (200 * AP_MSEC)

typedef struct drip {
	upstream_t upstream;
	struct event *timer;
} drip_t;

static void on_drip(evutil_socket_t fd, short what, void *arg)
{
	drip_t *d = arg;
	struct timeval every = ap_timeval(DRIP_EVERY);
	upstream_t *u = &d->upstream;
	size_t n = u->sent++ % strlen(u->flood->repeat);

	(void)fd;
	(void)what;
	if (u->bev && u->started)
		bufferevent_write(u->bev, u->flood->repeat + n, 1);
	event_add(d->timer, &every);
}

static void on_drip_readable(struct bufferevent *bev, void *arg)
{
	upstream_t *u = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	if (!u->started)
		bufferevent_write(bev, u->flood->start, strlen(u->flood->start));
	u->started = true;
}

static void on_drip_accept(struct evconnlistener *listener, evutil_socket_t fd,
			   struct sockaddr *from, int len, void *arg)
{
	upstream_t *u = arg;

	on_accept(listener, fd, from, len, u);
	bufferevent_setcb(u->bev, on_drip_readable, NULL, on_event, u);
}

/* Returns how a request to an upstream that sends a byte now and then ended, and after what time.
 */
static ap_http_end_t fetch_drip(const flood_t *flood, ap_usec_t *took)
{
	struct event_base *base = event_base_new();
	ap_http_client_t *client = ap_http_client_new(base);
	result_t result = {.base = base};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.method = EVHTTP_REQ_POST,
		.target = "/",
		.body = "x",
		.len = 1,
		.lenient = true,
		.no_probe = true,
		.first_byte = DRIP_LIMIT,
		.between_chunks = DRIP_LIMIT,
		.response_max = RESPONSE_MAX,
		.ctx = &result,
		.end = on_end,
	};
	drip_t drip;
	ap_usec_t start = ap_now();

	upstream_start(&drip.upstream, base, flood);
	evconnlistener_set_cb(drip.upstream.listener, on_drip_accept, &drip.upstream);
	drip.timer = evtimer_new(base, on_drip, &drip);
	on_drip(-1, 0, &drip);
	config.port = drip.upstream.port;
	assert_non_null(ap_http_fetch(client, &config));
	while (!result.ended && ap_now() - start < 20 * DRIP_LIMIT)
		event_base_loop(base, EVLOOP_ONCE);
	*took = ap_now() - start;
	ap_http_client_free(client);
	event_free(drip.timer);
	upstream_stop(&drip.upstream);
	event_base_free(base);
	return result.ended ? result.end : AP_HTTP_COMPLETE;
}

/*
 * Guards against a stalled upstream whose response never ends, since it sends a byte now and then:
 * only a response's head and parts of its body count against the time limits.
 */
static void bytes_now_and_then_do_not_extend_the_time_limits(void **state)
{
	static const flood_t drips[] = {
		{.name = "a status line", .start = "", .repeat = "HTTP/1.1"},
		{.name = "header lines", .start = OK, .repeat = "X:y\r\n"},
		{.name = "interim responses", .start = "", .repeat = "HTTP/1.1 100 C\r\n\r\n"},
		{.name = "one chunk", .start = OK CHUNKED "ffff\r\n", .repeat = "padding"},
		{.name = "the size of a chunk", .start = OK CHUNKED, .repeat = "0"},
		{.name = "trailers", .start = OK CHUNKED "0\r\n", .repeat = "X:y\r\n"},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(drips) / sizeof(drips[0]); i++) {
		ap_usec_t took;
		ap_http_end_t end = fetch_drip(&drips[i], &took);

		print_message("%s: end %d after %lld ms\n", drips[i].name, (int)end,
			      (long long)(took / AP_MSEC));
		assert_int_equal(end, AP_HTTP_TIMEOUT);
		assert_true(took < 4 * DRIP_LIMIT);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bytes_without_end_are_given_up),
		cmocka_unit_test(bytes_now_and_then_do_not_extend_the_time_limits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
