/* Whether a process listens at an address. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "http/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define LIMIT (200 * AP_MSEC)
#define KILLS 20
#define DESCRIPTORS 200
#define QUEUE_MAX 8 /* connections, more than the backlog takes */

typedef struct result {
	struct event_base *base;
	int calls;
	ap_http_reached_t reached;
} result_t;

static void on_done(void *ctx, ap_http_reached_t reached)
{
	result_t *result = ctx;

	result->calls++;
	result->reached = reached;
	event_base_loopbreak(result->base);
}

/* Returns a socket at @port of the loopback address, any port if it is 0. */
static int bind_to(uint16_t *port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(*port)};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	*port = ntohs(addr.sin_port);
	return fd;
}

static ap_http_reach_config_t config_for(result_t *result, uint16_t port)
{
	return (ap_http_reach_config_t){
		.host = "127.0.0.1",
		.port = port,
		.limit = LIMIT,
		.ctx = result,
		.done = on_done,
	};
}

static ap_http_reached_t reach(uint16_t port)
{
	result_t result = {.base = event_base_new()};
	ap_http_reach_config_t config = config_for(&result, port);

	assert_non_null(ap_http_reach(result.base, &config));
	assert_int_equal(result.calls, 0);
	event_base_dispatch(result.base);
	assert_int_equal(result.calls, 1);
	event_base_free(result.base);
	return result.reached;
}

/* Guards against a stopped process, which accepts nothing, that is taken for one that has ended. */
static void a_process_that_accepts_nothing_is_reached(void **state)
{
	uint16_t port = 0;
	int fd = bind_to(&port);

	(void)state;
	assert_int_equal(listen(fd, 8), 0);
	assert_int_equal(reach(port), AP_HTTP_REACHED_LISTENER);
	close(fd);
	assert_int_equal(reach(port), AP_HTTP_REACHED_NOBODY);
}

/* Runs a process that listens at @fd and holds a connection and many descriptors. */
static pid_t start_process(int fd)
{
	pid_t pid = fork();

	if (pid != 0)
		return pid;
	for (int i = 0; i < DESCRIPTORS; i++)
		(void)dup(fd);
	(void)accept(fd, NULL, NULL);
	pause();
	_exit(EXIT_SUCCESS);
}

/* Guards against a killed process that is reached while the kernel still closes its descriptors. */
static void a_process_that_was_killed_is_not_reached(void **state)
{
	(void)state;
	for (int i = 0; i < KILLS; i++) {
		struct sockaddr_in addr = {.sin_family = AF_INET};
		uint16_t port = 0;
		int fd = bind_to(&port);
		int connection = socket(AF_INET, SOCK_STREAM, 0);
		char byte;
		pid_t pid;

		assert_int_equal(listen(fd, 8), 0);
		pid = start_process(fd);
		close(fd);
		addr.sin_port = htons(port);
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		assert_int_equal(connect(connection, (struct sockaddr *)&addr, sizeof(addr)), 0);
		usleep(2000);
		assert_int_equal(kill(pid, SIGKILL), 0);
		assert_true(read(connection, &byte, 1) <= 0);
		assert_int_equal(reach(port), AP_HTTP_REACHED_NOBODY);
		close(connection);
		waitpid(pid, NULL, 0);
	}
}

static void of_an_address_that_does_not_respond_nothing_is_known(void **state)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	uint16_t port = 0;
	int fd = bind_to(&port);
	int queued[QUEUE_MAX];

	(void)state;
	assert_int_equal(listen(fd, 0), 0);
	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < QUEUE_MAX; i++) {
		queued[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(queued[i], (struct sockaddr *)&addr, sizeof(addr));
	}
	assert_int_equal(reach(port), AP_HTTP_REACHED_UNKNOWN);
	for (int i = 0; i < QUEUE_MAX; i++)
		close(queued[i]);
	close(fd);
}

/* Guards against sound upstreams at IPv6 addresses that count as ended. */
static void a_process_at_an_ipv6_address_is_reached(void **state)
{
	struct sockaddr_in6 addr = {.sin6_family = AF_INET6, .sin6_addr = IN6ADDR_LOOPBACK_INIT};
	result_t result = {.base = event_base_new()};
	ap_http_reach_config_t config;
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET6, SOCK_STREAM, 0);

	(void)state;
	if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		skip();
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	assert_int_equal(listen(fd, 8), 0);
	config = config_for(&result, ntohs(addr.sin6_port));
	config.host = "::1";
	assert_non_null(ap_http_reach(result.base, &config));
	event_base_dispatch(result.base);
	assert_int_equal(result.reached, AP_HTTP_REACHED_LISTENER);
	event_base_free(result.base);
	close(fd);
}

static void a_cancelled_check_calls_nobody(void **state)
{
	result_t result = {.base = event_base_new()};
	uint16_t port = 0;
	int fd = bind_to(&port);
	ap_http_reach_config_t config = config_for(&result, port);

	(void)state;
	assert_int_equal(listen(fd, 8), 0);
	ap_http_reach_cancel(ap_http_reach(result.base, &config));
	event_base_loop(result.base, EVLOOP_NONBLOCK);
	assert_int_equal(result.calls, 0);
	config.host = "no-address";
	assert_null(ap_http_reach(result.base, &config));
	event_base_free(result.base);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_process_that_accepts_nothing_is_reached),
		cmocka_unit_test(a_process_that_was_killed_is_not_reached),
		cmocka_unit_test(of_an_address_that_does_not_respond_nothing_is_known),
		cmocka_unit_test(a_process_at_an_ipv6_address_is_reached),
		cmocka_unit_test(a_cancelled_check_calls_nobody),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
