/* When the bytes of a response arrived, which the instance may read late. */
#include "raw_upstream.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include <unistd.h>

#define LATE (300 * AP_MSEC)
#define TICK (20 * AP_MSEC) /* the kernel's, and the margin for it */

typedef struct seen {
	raw_upstream_t up;
	ap_http_fetch_t *fetch;
	bool sized;
	ap_usec_t head_at;
	ap_usec_t end_at;
} seen_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	seen_t *s = ctx;

	s->sized = head->sized;
	s->head_at = ap_http_fetch_arrived(s->fetch);
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	seen_t *s = ctx;

	s->end_at = ap_http_fetch_arrived(s->fetch);
	raw_upstream_on_end(&s->up, end, written);
}

/* Begins a request. Return: the upstream's side of its connection. */
static int begin(seen_t *s)
{
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = s->up.port,
		.method = EVHTTP_REQ_GET,
		.target = "/",
		.no_probe = true,
		.first_byte = 5 * AP_SEC,
		.between_chunks = 5 * AP_SEC,
		.idle = AP_SEC,
		.response_max = 1 << 20,
		.ctx = s,
		.head = on_head,
		.end = on_end,
	};
	char request[1024];
	int fd;

	s->fetch = ap_http_fetch(s->up.client, &config);
	assert_non_null(s->fetch);
	event_base_loop(s->up.base, EVLOOP_ONCE);
	fd = raw_upstream_accept(&s->up);
	while (recv(fd, request, sizeof(request), MSG_DONTWAIT) <= 0)
		event_base_loop(s->up.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	return fd;
}

static void respond(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

/* Guards against responses that count as late because the instance stood still. */
static void bytes_read_late_have_their_time_of_arrival(void **state)
{
	static const struct {
		const char *text;
		bool sized;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		 false},
		{"HTTP/1.1 204 No Content\r\n\r\n", true},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		seen_t s = {0};
		ap_usec_t sent;
		int fd;

		raw_upstream_init(&s.up, 0);
		fd = begin(&s);
		sent = ap_now();
		respond(fd, cases[i].text);
		usleep(LATE);
		while (!s.up.ended)
			event_base_loop(s.up.base, EVLOOP_ONCE);
		assert_int_equal(s.up.end, AP_HTTP_COMPLETE);
		assert_int_equal(s.sized, cases[i].sized);
		assert_in_range(s.head_at, sent - TICK, sent + LATE - TICK);
		assert_in_range(s.end_at, sent - TICK, sent + LATE - TICK);
		close(fd);
		raw_upstream_clear(&s.up);
	}
}

/* Guards against a late end that passes for one in time, as the head came before. */
static void the_latest_bytes_count(void **state)
{
	seen_t s = {0};
	ap_usec_t sent;
	int fd;

	(void)state;
	raw_upstream_init(&s.up, 0);
	fd = begin(&s);
	respond(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
	while (s.head_at == 0)
		event_base_loop(s.up.base, EVLOOP_ONCE);
	usleep(LATE);
	sent = ap_now();
	respond(fd, "0\r\n\r\n");
	while (!s.up.ended)
		event_base_loop(s.up.base, EVLOOP_ONCE);
	assert_true(s.end_at >= sent - TICK);
	close(fd);
	raw_upstream_clear(&s.up);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bytes_read_late_have_their_time_of_arrival),
		cmocka_unit_test(the_latest_bytes_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
