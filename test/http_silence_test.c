/* How long a silent peer may be before the HTTP client's connections to it end. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_upstream.h"
#include "http/http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define LIMIT (100 * AP_MSEC)

typedef struct result {
	struct event_base *base;
	bool ended;
} result_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	(void)ctx;
	(void)head;
}

static void on_data(void *ctx, const void *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	result_t *result = ctx;

	(void)end;
	(void)written;
	result->ended = true;
	event_base_loopbreak(result->base);
}

static ap_http_fetch_t *begin(ap_http_client_t *client, uint16_t port, ap_usec_t unacked,
			      result_t *result)
{
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = port,
		.method = EVHTTP_REQ_GET,
		.target = "/",
		.fresh = true,
		.unacked = unacked,
		.first_byte = LIMIT,
		.between_chunks = LIMIT,
		.idle = 60 * AP_SEC,
		.response_max = 1 << 20,
		.ctx = result,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};

	return ap_http_fetch(client, &config);
}

static void run_briefly(struct event_base *base)
{
	struct timeval tv = {.tv_usec = 20000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static int option_of(int fd, int option)
{
	int value = 0;
	socklen_t len = sizeof(value);

	assert_int_equal(getsockopt(fd, IPPROTO_TCP, option, &value, &len), 0);
	return value;
}

/* Returns the socket that is connected to @port of this machine. */
static int find_socket(uint16_t port)
{
	for (int fd = 0; fd < 256; fd++) {
		struct sockaddr_in peer = {0};
		socklen_t len = sizeof(peer);

		if (getpeername(fd, (struct sockaddr *)&peer, &len) == 0 &&
		    peer.sin_family == AF_INET && ntohs(peer.sin_port) == port)
			return fd;
	}
	fail();
	return -1;
}

/*
 * Linux ends an idle connection at the first unanswered keep-alive probe that comes at least
 * TCP_USER_TIMEOUT after the last byte, whatever the number of probes. Guards against sound
 * upstreams whose connections end when they are silent for a second.
 */
static void a_silence_shorter_than_the_unacked_time_ends_no_connection(void **state)
{
	static const ap_usec_t times[] = {1500 * AP_MSEC, 3 * AP_SEC, 10 * AP_SEC};

	(void)state;
	for (size_t i = 0; i < sizeof(times) / sizeof(times[0]); i++) {
		struct event_base *base = event_base_new();
		ap_http_client_t *client = ap_http_client_new(base);
		result_t result = {.base = base};
		ap_usec_t probe;
		fake_t fake;
		int fd;

		fake_start(&fake, base);
		fake.mode = FAKE_HUNG;
		assert_non_null(begin(client, fake.port, times[i], &result));
		run_briefly(base);
		fd = find_socket(fake.port);
		/* The silence may begin just before the first probe. */
		probe = option_of(fd, TCP_KEEPIDLE) * AP_SEC;
		do
			probe += option_of(fd, TCP_KEEPINTVL) * AP_SEC;
		while (probe < option_of(fd, TCP_USER_TIMEOUT) * AP_MSEC);
		assert_true(probe - option_of(fd, TCP_KEEPIDLE) * AP_SEC >= times[i]);
		assert_true(option_of(fd, TCP_USER_TIMEOUT) * AP_MSEC >= times[i]);
		while (!result.ended)
			event_base_loop(base, EVLOOP_ONCE);
		ap_http_client_free(client);
		while (fake.open > 0)
			event_base_loop(base, EVLOOP_ONCE);
		fake_stop(&fake);
		event_base_free(base);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_silence_shorter_than_the_unacked_time_ends_no_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
