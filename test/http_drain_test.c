/* An HTTP server that was stopped: what is in flight, idle, arriving or late. */
#include "http_rig.h"

#include "log/log.h"

#include <signal.h>

/* Idle connections close and new ones are refused, but in-flight requests get their response. */
static void test_a_stopped_server_finishes_in_flight_requests(void **state)
{
	server_seen_t seen = {.base = event_base_new()};
	ap_http_server_t *server = serve(&seen);
	uint16_t port = ap_http_server_port(server);
	struct bufferevent *idle =
		connect_and_run(seen.base, port, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	struct bufferevent *busy;
	struct bufferevent *late;
	short ended[3] = {0};
	char got[256] = "";

	(void)state;
	RUN_UNTIL(seen.base, seen.requests == 1);
	ap_http_reply(seen.call, 200, NULL, 0, "a", 1);
	run_briefly(seen.base);
	busy = connect_and_run(seen.base, port, "GET /y HTTP/1.1\r\nHost: h\r\n\r\n");
	RUN_UNTIL(seen.base, seen.requests == 2);
	bufferevent_setcb(idle, NULL, NULL, on_end_of, &ended[0]);
	bufferevent_setcb(busy, NULL, NULL, on_end_of, &ended[1]);
	ap_http_server_stop(server);
	ap_http_server_stop(server);
	RUN_UNTIL(seen.base, ended[0] & BEV_EVENT_EOF);
	late = start_connect(seen.base, port, "GET /z HTTP/1.1\r\nHost: h\r\n\r\n");
	bufferevent_setcb(late, NULL, NULL, on_end_of, &ended[2]);
	RUN_UNTIL(seen.base, ended[2] & BEV_EVENT_ERROR);
	assert_int_equal(seen.requests, 2);
	assert_int_equal(ended[1], 0);
	ap_http_reply(seen.call, 200, NULL, 0, "whole", 5);
	run_briefly(seen.base);
	bufferevent_read(busy, got, sizeof(got) - 1);
	assert_non_null(strstr(got, "whole"));
	bufferevent_free(idle);
	bufferevent_free(busy);
	bufferevent_free(late);
	ap_http_server_free(server);
	event_base_free(seen.base);
}

/*
 * Guards against a connection whose response began before the stop, without "Connection: close":
 * its caller's next request was taken long after, and cut off when the process ended.
 */
static void test_a_stopped_server_closes_connections_as_their_responses_end(void **state)
{
	server_seen_t seen = {.base = event_base_new()};
	ap_http_server_t *server = serve(&seen);
	struct bufferevent *busy = connect_and_run(seen.base, ap_http_server_port(server),
						   "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	short ended = 0;
	char got[256] = "";
	ap_usec_t from;

	(void)state;
	RUN_UNTIL(seen.base, seen.requests == 1);
	bufferevent_setcb(busy, NULL, NULL, on_end_of, &ended);
	ap_http_reply_start(seen.call, 200, NULL, 0);
	ap_http_reply_write(seen.call, "part", 4);
	run_briefly(seen.base);
	ap_http_server_stop(server);
	run_briefly(seen.base);
	assert_int_equal(ended, 0);
	ap_http_reply_write(seen.call, "rest", 4);
	ap_http_reply_end(seen.call);
	from = ap_now();
	RUN_UNTIL(seen.base, ended & BEV_EVENT_EOF);
	assert_true(ap_now() - from < 2 * AP_SEC); /* not for being idle */
	bufferevent_read(busy, got, sizeof(got) - 1);
	assert_non_null(strstr(got, "rest\r\n0\r\n\r\n"));
	bufferevent_free(busy);
	ap_http_server_free(server);
	event_base_free(seen.base);
}

static void on_stopped(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	server_seen_t *seen = ctx;

	assert_int_equal(why, AP_HTTP_REFUSED_STOPPED);
	seen->refused++;
	ap_http_reply(call, 503, NULL, 0, "", 0);
}

/*
 * Guards against a request that was still arriving at the stop: it was taken whenever it was
 * complete, and cut off when the process ended.
 */
static void test_a_stopped_server_refuses_what_arrives_late(void **state)
{
	server_seen_t seen = {.base = event_base_new(), .on_refused = on_stopped};
	ap_http_server_t *server = serve(&seen);
	struct bufferevent *slow = connect_and_run(seen.base, ap_http_server_port(server),
						   "GET /x HTTP/1.1\r\nHost: h\r\n");
	struct timeval late = {.tv_usec = 600000};
	short ended = 0;
	char got[256] = "";

	(void)state;
	run_briefly(seen.base);
	bufferevent_setcb(slow, NULL, NULL, on_end_of, &ended);
	ap_http_server_stop(server);
	event_base_loopexit(seen.base, &late);
	event_base_dispatch(seen.base);
	assert_int_equal(ended, 0);
	bufferevent_write(slow, "\r\n", 2);
	RUN_UNTIL(seen.base, ended & BEV_EVENT_EOF || seen.requests > 0);
	assert_int_equal(seen.requests, 0);
	assert_int_equal(seen.refused, 1);
	bufferevent_read(slow, got, sizeof(got) - 1);
	assert_non_null(strstr(got, "HTTP/1.1 503"));
	assert_non_null(strstr(got, "Connection: close"));
	bufferevent_free(slow);
	ap_http_server_free(server);
	event_base_free(seen.base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_stopped_server_finishes_in_flight_requests),
		cmocka_unit_test(test_a_stopped_server_closes_connections_as_their_responses_end),
		cmocka_unit_test(test_a_stopped_server_refuses_what_arrives_late),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
