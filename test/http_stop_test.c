/* Requests that arrive as the HTTP server stops. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "http/http.h"
#include "log/log.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
#define WAIT_S 5

typedef struct server {
	struct event_base *base;
	ap_http_server_t *http;
	int requests;
} server_t;

static void on_request(void *ctx, ap_http_call_t *call)
{
	server_t *s = ctx;

	s->requests++;
	ap_http_reply(call, 200, NULL, 0, "whole", 5);
}

static void server_init(server_t *s)
{
	ap_http_server_config_t config = {
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = 4096,
		.idle = 60 * AP_SEC,
		.ctx = s,
		.request = on_request,
	};

	signal(SIGPIPE, SIG_IGN);
	*s = (server_t){.base = event_base_new()};
	config.base = s->base;
	assert_int_equal(ap_http_server_new(&config, &s->http, NULL), AP_HTTP_STATUS_OK);
}

static void server_clear(server_t *s)
{
	ap_http_server_free(s->http);
	event_base_free(s->base);
}

static void run_briefly(struct event_base *base)
{
	struct timeval tv = {.tv_usec = 50000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

/* Returns a connected socket; the server's event loop need not run for that. */
static int dial(const server_t *s)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(ap_http_server_port(s->http)),
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval limit = {.tv_sec = WAIT_S};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void send_request(int fd)
{
	assert_int_equal(send(fd, REQUEST, strlen(REQUEST), 0), strlen(REQUEST));
}

/* Reads to the connection's end. */
static void check_served_and_closed(int fd)
{
	char got[1024] = "";
	size_t len = 0;
	ssize_t n;

	while ((n = recv(fd, got + len, sizeof(got) - 1 - len, 0)) > 0)
		len += (size_t)n;
	if (n != 0 || !strstr(got, "200 OK") || !strstr(got, "whole"))
		fail_msg("the response is '%s', then %zd", got, n);
}

/*
 * Guards against a planned stop that cuts off a request that has arrived on a kept connection, but
 * has not been read.
 */
static void a_request_that_has_arrived_on_an_idle_connection_is_served(void **state)
{
	char first[1024];
	server_t s;
	int fd;

	(void)state;
	server_init(&s);
	fd = dial(&s);
	send_request(fd);
	run_briefly(s.base);
	assert_true(recv(fd, first, sizeof(first), 0) > 0);
	send_request(fd);
	ap_http_server_stop(s.http);
	assert_false(ap_http_server_drained(s.http));
	run_briefly(s.base);
	assert_true(ap_http_server_drained(s.http));
	assert_int_equal(s.requests, 2);
	check_served_and_closed(fd);
	close(fd);
	server_clear(&s);
}

/* The same for connections that have been established, but not accepted. */
static void a_request_on_a_connection_that_waits_to_be_accepted_is_served(void **state)
{
	server_t s;
	int fds[8];

	(void)state;
	server_init(&s);
	for (int i = 0; i < 8; i++) {
		fds[i] = dial(&s);
		send_request(fds[i]);
	}
	ap_http_server_stop(s.http);
	run_briefly(s.base);
	assert_int_equal(s.requests, 8);
	for (int i = 0; i < 8; i++) {
		check_served_and_closed(fds[i]);
		close(fds[i]);
	}
	server_clear(&s);
}

/* An idle connection closes at the stop, and no new one is accepted. */
static void idle_connections_close_and_new_ones_are_refused(void **state)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	char got[1024];
	server_t s;
	int idle;
	int late;

	(void)state;
	server_init(&s);
	address.sin_port = htons(ap_http_server_port(s.http));
	idle = dial(&s);
	send_request(idle);
	run_briefly(s.base);
	assert_true(recv(idle, got, sizeof(got), 0) > 0);
	ap_http_server_stop(s.http);
	ap_http_server_stop(s.http);
	run_briefly(s.base);
	assert_int_equal(recv(idle, got, sizeof(got), 0), 0);
	late = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(late, (struct sockaddr *)&address, sizeof(address)), -1);
	close(late);
	close(idle);
	server_clear(&s);
}

/* A server may be freed before the event loop runs again. */
static void a_server_may_be_freed_as_it_stops(void **state)
{
	server_t s;
	int fd;

	(void)state;
	server_init(&s);
	fd = dial(&s);
	send_request(fd);
	ap_http_server_stop(s.http);
	server_clear(&s);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_that_has_arrived_on_an_idle_connection_is_served),
		cmocka_unit_test(a_request_on_a_connection_that_waits_to_be_accepted_is_served),
		cmocka_unit_test(idle_connections_close_and_new_ones_are_refused),
		cmocka_unit_test(a_server_may_be_freed_as_it_stops),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
