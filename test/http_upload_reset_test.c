/*
 * Responses that begin while their request is still being written, or just after its last byte, and
 * whose connection is then reset: what has arrived of them is not a complete response.
 */
#include "raw_upstream.h"

#include <poll.h>
#include <signal.h>
#include <stdlib.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define SOON (20 * AP_MSEC)
#define LIMIT (5 * AP_SEC)
#define BUFFER (16 << 10) /* of the upstream's socket, in bytes */
#define LARGE (8 << 20)	  /* bytes; more than both sockets hold */
#define OK "HTTP/1.1 200 OK\r\n"

/* When the upstream resets the connection. */
typedef enum reset_at {
	RESET_WRITING,	    /* while the request is being written */
	RESET_HALF_READ,    /* the same, after a part of the request was read */
	RESET_ALL_WRITTEN,  /* the sockets hold the rest of the request */
	RESET_ALL_READ,	    /* the upstream has read the request */
	RESET_AFTER_CLOSED, /* it has read the request, and closed its own direction before */
	RESETS,
} reset_at_t;

static const char *const resets[RESETS] = {
	"while it is written", "after a part was read", "after all was written",
	"after all was read",  "after a close",
};

static const char *const texts[] = {
	OK "\r\npart",
	OK "Connection: close\r\n\r\npart",
	"HTTP/1.0 200 OK\r\n\r\npart",
	OK "Content-Length: 9\r\n\r\npart",
	OK "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	OK "Transfer-Encoding: chunked\r\n\r\n9\r\npart",
	OK "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
	"HTTP/1.1 100 Continue\r\n\r\n" OK "\r\npart",
	"HTTP/1.1 103 Early Hints\r\n\r\n" OK "\r\npart",
};

static size_t read_some(const raw_upstream_t *r, int fd, size_t most)
{
	static char part[1 << 16];
	size_t total = 0;

	while (total < most) {
		struct pollfd readable = {.fd = fd, .events = POLLIN};
		ssize_t got;

		act_run(r->base, AP_MSEC);
		if (poll(&readable, 1, 100) != 1)
			break;
		got = recv(fd, part, sizeof(part), MSG_DONTWAIT);
		if (got <= 0)
			break;
		total += (size_t)got;
	}
	return total;
}

static void fetch(raw_upstream_t *r, const char *body, size_t len, bool lenient)
{
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = r->port,
		.method = EVHTTP_REQ_POST,
		.target = "/",
		.body = body,
		.len = len,
		.lenient = lenient,
		.no_probe = true,
		.reset = true,
		.first_byte = LIMIT,
		.between_chunks = LIMIT,
		.idle = LIMIT,
		.response_max = 1 << 20,
		.ctx = r,
		.end = raw_upstream_on_end,
	};

	assert_non_null(ap_http_fetch(r->client, &config));
}

/*
 * Returns how the request ends. With @seen, the client reads what was sent before the reset comes.
 */
static ap_http_end_t play(const char *text, reset_at_t when, bool seen, bool lenient)
{
	size_t len = when < RESET_ALL_WRITTEN ? LARGE : BUFFER / 4;
	char *body = calloc(1, len);
	struct linger reset = {.l_onoff = 1};
	raw_upstream_t r;
	int fd;

	assert_non_null(body);
	raw_upstream_init(&r, BUFFER);
	fetch(&r, body, len, lenient);
	act_run(r.base, SOON);
	fd = raw_upstream_accept(&r);
	if (when == RESET_HALF_READ)
		read_some(&r, fd, LARGE / 16);
	else if (when >= RESET_ALL_READ)
		assert_true(read_some(&r, fd, len) >= len);
	act_send(fd, text);
	if (seen)
		act_run(r.base, SOON);
	if (when == RESET_AFTER_CLOSED)
		shutdown(fd, SHUT_WR);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	while (!r.ended)
		event_base_loop(r.base, EVLOOP_ONCE);
	raw_upstream_clear(&r);
	free(body);
	return r.end;
}

/* Returns whether the client can't know of a reset, since it has read a close in order before. */
static bool closed_before(reset_at_t when, bool lenient)
{
	return when == RESET_AFTER_CLOSED && lenient;
}

/* Guards against a part of a body that the caller gets as a complete response. */
static void a_response_cut_by_a_reset_during_an_upload_is_not_complete(void **state)
{
	int bad = 0;

	(void)state;
	for (size_t i = 0; i < 4 * RESETS * COUNT(texts); i++) {
		const char *text = texts[i / 4 / RESETS];
		reset_at_t when = i / 4 % RESETS;
		bool lenient = i % 2;
		ap_http_end_t end = play(text, when, i / 2 % 2, lenient);

		if (end != AP_HTTP_COMPLETE &&
		    (end != AP_HTTP_CLOSED || closed_before(when, lenient)))
			continue;
		bad++;
		print_message("'%s', reset %s%s%s: end %d\n", text, resets[when],
			      i / 2 % 2 ? ", read before" : "", lenient ? ", lenient" : "",
			      (int)end);
	}
	assert_int_equal(bad, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_response_cut_by_a_reset_during_an_upload_is_not_complete),
	};

	signal(SIGPIPE, SIG_IGN);
	alarm(120);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
