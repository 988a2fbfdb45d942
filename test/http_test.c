/* The HTTP client with a faulty upstream, and the HTTP server with faulty callers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_upstream.h"
#include "http_rig.h"
#include "log/log.h"

#include <signal.h>
#include <unistd.h>

#define LIMIT (100 * AP_MSEC)

typedef struct result {
	struct event_base *base;
	int status;
	size_t body_bytes;
	bool ended;
	ap_http_end_t end;
	bool written;
} result_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	((result_t *)ctx)->status = head->status;
}

static void on_data(void *ctx, const void *data, size_t len)
{
	(void)data;
	((result_t *)ctx)->body_bytes += len;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	result_t *result = ctx;

	result->ended = true;
	result->end = end;
	result->written = written;
	event_base_loopbreak(result->base);
}

static bool lenient; /* applies to the requests that begin() sends */

static ap_http_fetch_t *begin(ap_http_client_t *client, uint16_t port, result_t *result,
			      struct event_base *base, bool fresh)
{
	static const ap_http_header_t headers[] = {{"X-Request-Id", "r1"}};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = port,
		.method = EVHTTP_REQ_POST,
		.target = "/v1/completions",
		.headers = headers,
		.n_headers = 1,
		.body = "{\"stream\": false}",
		.len = 17,
		.fresh = fresh,
		.lenient = lenient,
		.first_byte = LIMIT,
		.between_chunks = LIMIT,
		.idle = 60 * AP_SEC,
		.response_max = 1 << 20,
		.ctx = result,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};

	*result = (result_t){.base = base};
	return ap_http_fetch(client, &config);
}

static void fetch_and_wait(ap_http_client_t *client, uint16_t port, result_t *result,
			   struct event_base *base)
{
	assert_non_null(begin(client, port, result, base, false));
	event_base_dispatch(base);
	assert_true(result->ended);
}

static void test_each_fault_has_its_result(void **state)
{
	static const struct {
		fake_mode_t mode;
		ap_http_end_t end;
	} cases[] = {
		{FAKE_NONE, AP_HTTP_COMPLETE},	    {FAKE_RESET_BEFORE, AP_HTTP_RESET},
		{FAKE_RESET_AFTER, AP_HTTP_RESET},  {FAKE_STALL_BEFORE, AP_HTTP_TIMEOUT},
		{FAKE_HUNG, AP_HTTP_TIMEOUT},	    {FAKE_STALL_MIDDLE, AP_HTTP_CONN_DEAD},
		{FAKE_TRUNCATED, AP_HTTP_RESET},    {FAKE_WRONG_LENGTH, AP_HTTP_MALFORMED},
		{FAKE_SHORT_LENGTH, AP_HTTP_RESET}, {FAKE_NO_FRAMING, AP_HTTP_MALFORMED},
		{FAKE_REFUSE, AP_HTTP_COMPLETE},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct event_base *base = event_base_new();
		ap_http_client_t *client = ap_http_client_new(base);
		result_t result;
		fake_t fake;

		print_message("fault %d\n", cases[i].mode);
		fake_start(&fake, base);
		fake.mode = cases[i].mode;
		fetch_and_wait(client, fake.port, &result, base);
		assert_int_equal(result.end, cases[i].end);
		assert_true(result.written);
		ap_http_client_free(client);
		RUN_UNTIL(base, fake.open == 0);
		fake_stop(&fake);
		event_base_free(base);
	}
}

/* Surplus bytes end the connection; a response without a length ends when the upstream closes. */
static void test_lenient_requests_accept_responses_without_length(void **state)
{
	static const struct {
		fake_mode_t mode;
		ap_http_end_t end;
	} cases[] = {
		{FAKE_NO_FRAMING, AP_HTTP_CLOSED},
		{FAKE_WRONG_LENGTH, AP_HTTP_COMPLETE},
		{FAKE_TRUNCATED, AP_HTTP_RESET},
		{FAKE_RESET_AFTER, AP_HTTP_RESET},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct event_base *base = event_base_new();
		ap_http_client_t *client = ap_http_client_new(base);
		result_t result;
		fake_t fake;

		fake_start(&fake, base);
		fake.mode = cases[i].mode;
		fake.faults = 1;
		lenient = true;
		fetch_and_wait(client, fake.port, &result, base);
		assert_int_equal(result.end, cases[i].end);
		run_briefly(base);
		fetch_and_wait(client, fake.port, &result, base);
		lenient = false;
		assert_int_equal(result.end, AP_HTTP_COMPLETE);
		assert_int_equal(fake.connections, 2);
		ap_http_client_free(client);
		RUN_UNTIL(base, fake.open == 0);
		fake_stop(&fake);
		event_base_free(base);
	}
}

static void test_refused_connection_wrote_nothing(void **state)
{
	struct event_base *base = event_base_new();
	ap_http_client_t *client = ap_http_client_new(base);
	result_t result;
	fake_t fake;

	(void)state;
	fake_start(&fake, base);
	fake_stop(&fake);
	/* A refused connect may be reported at once; then no request is begun. */
	if (begin(client, fake.port, &result, base, false)) {
		event_base_dispatch(base);
		assert_int_equal(result.end, AP_HTTP_UNREACHABLE);
		assert_false(result.written);
	}
	ap_http_client_free(client);
	event_base_free(base);
}

static void test_connections_are_reused_unless_fresh_is_requested(void **state)
{
	struct event_base *base = event_base_new();
	ap_http_client_t *client = ap_http_client_new(base);
	struct timeval past_proof = {.tv_usec = 600000};
	result_t result;
	fake_t fake;

	(void)state;
	fake_start(&fake, base);
	for (int i = 0; i < 5; i++) {
		fetch_and_wait(client, fake.port, &result, base);
		assert_int_equal(result.end, AP_HTTP_COMPLETE);
		run_briefly(base);
	}
	assert_int_equal(fake.connections, 1);
	event_base_loopexit(base, &past_proof);
	event_base_dispatch(base);
	assert_non_null(begin(client, fake.port, &result, base, true));
	event_base_dispatch(base);
	assert_int_equal(fake.connections, 2);
	ap_http_client_free(client);
	RUN_UNTIL(base, fake.open == 0);
	fake_stop(&fake);
	event_base_free(base);
}

static void test_dead_connection_is_retired_and_upstream_not_blamed(void **state)
{
	struct event_base *base = event_base_new();
	ap_http_client_t *client = ap_http_client_new(base);
	result_t result;
	fake_t fake;

	(void)state;
	fake_start(&fake, base);
	fetch_and_wait(client, fake.port, &result, base);
	run_briefly(base);
	fake.mode = FAKE_STALL_REUSED;
	fetch_and_wait(client, fake.port, &result, base);
	assert_int_equal(result.end, AP_HTTP_CONN_DEAD);
	assert_int_equal(fake.probes, 1);
	fetch_and_wait(client, fake.port, &result, base);
	assert_int_equal(result.end, AP_HTTP_COMPLETE);
	assert_int_equal(ap_http_client_stats(client).retired, 1);
	ap_http_client_free(client);
	RUN_UNTIL(base, fake.open == 0);
	fake_stop(&fake);
	event_base_free(base);
}

static void test_cancel_closes_the_connection(void **state)
{
	struct event_base *base = event_base_new();
	ap_http_client_t *client = ap_http_client_new(base);
	ap_http_fetch_t *fetch;
	result_t result;
	fake_t fake;

	(void)state;
	fake_start(&fake, base);
	fake.mode = FAKE_STALL_BEFORE;
	fetch = begin(client, fake.port, &result, base, false);
	RUN_UNTIL(base, fake.requests == 1);
	ap_http_fetch_cancel(fetch);
	RUN_UNTIL(base, fake.hangups == 1);
	assert_false(result.ended);
	ap_http_client_free(client);
	fake_stop(&fake);
	event_base_free(base);
}

static void test_hang_up_is_seen_at_each_point(void **state)
{
	for (int point = 0; point < 3; point++) {
		server_seen_t seen = {.base = event_base_new()};
		ap_http_server_t *server = serve(&seen);
		struct bufferevent *bev;

		(void)state;
		bev = connect_and_run(seen.base, ap_http_server_port(server),
				      "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
		RUN_UNTIL(seen.base, seen.requests == 1);
		if (point > 0)
			ap_http_reply_start(seen.call, 200, NULL, 0);
		if (point > 1)
			ap_http_reply_write(seen.call, "part", 4);
		run_briefly(seen.base);
		assert_int_equal(seen.closed, 0);
		bufferevent_free(bev);
		RUN_UNTIL(seen.base, seen.closed == 1);
		ap_http_server_free(server);
		event_base_free(seen.base);
	}
}

static void test_an_aborted_response_is_not_complete(void **state)
{
	server_seen_t seen = {.base = event_base_new()};
	ap_http_server_t *server = serve(&seen);
	ap_http_client_t *client = ap_http_client_new(seen.base);
	result_t result;

	(void)state;
	assert_non_null(begin(client, ap_http_server_port(server), &result, seen.base, false));
	RUN_UNTIL(seen.base, seen.requests == 1);
	ap_http_reply_start(seen.call, 200, NULL, 0);
	ap_http_reply_write(seen.call, "part", 4);
	run_briefly(seen.base);
	ap_http_call_abort(seen.call);
	RUN_UNTIL(seen.base, result.ended);
	assert_int_equal(result.end, AP_HTTP_RESET);
	assert_int_equal(seen.closed, 0); /* no callback for an abort by the server */
	ap_http_client_free(client);
	ap_http_server_free(server);
	event_base_free(seen.base);
}

#define CONNS_TRIED 60
#define CONNS_MAX 8  /* connections that may be open at once */
#define OTHER_FDS 40 /* descriptors that are not connections */

typedef struct held_calls {
	ap_http_call_t *held[CONNS_TRIED];
	int n_held;
} held_calls_t;

static void on_held(void *ctx, ap_http_call_t *call)
{
	held_calls_t *h = ctx;

	h->held[h->n_held++] = call;
}

static void on_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	(void)ctx;
	assert_int_equal(why, AP_HTTP_REFUSED_CONNECTIONS);
	ap_http_reply(call, 503, NULL, 0, "", 0);
}

static uint64_t count_rejected(const ap_http_server_t *server)
{
	ap_http_server_stats_t stats = ap_http_server_stats(server);

	return stats.refused + stats.closed;
}

/* The number of connections served is the limit, regardless of other open descriptors. */
static void test_connections_are_bounded(void **state)
{
	static const char text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	struct event_base *base = event_base_new();
	struct bufferevent *conns[CONNS_TRIED];
	int other_fds[OTHER_FDS];
	held_calls_t h = {.n_held = 0};
	ap_http_server_config_t config = {
		.base = base,
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = 4096,
		.connections = CONNS_MAX,
		.idle = 5 * AP_SEC,
		.ctx = &h,
		.request = on_held,
		.refused = on_refused,
	};
	ap_http_server_t *server;

	(void)state;
	for (int i = 0; i < OTHER_FDS; i++)
		other_fds[i] = dup(STDERR_FILENO);
	assert_int_equal(ap_http_server_new(&config, &server, NULL), AP_HTTP_STATUS_OK);
	for (int i = 0; i < CONNS_TRIED; i++)
		conns[i] = start_connect(base, ap_http_server_port(server), text);
	RUN_UNTIL(base, count_rejected(server) == CONNS_TRIED - CONNS_MAX);
	RUN_UNTIL(base, ap_http_server_stats(server).open == CONNS_MAX);
	assert_int_equal(h.n_held, CONNS_MAX);
	assert_in_range(ap_http_server_stats(server).refused, 1, CONNS_TRIED - CONNS_MAX);
	for (int i = 0; i < CONNS_TRIED; i++)
		bufferevent_free(conns[i]);
	RUN_UNTIL(base, ap_http_server_stats(server).open == 0);
	h.n_held = 0;
	conns[0] = start_connect(base, ap_http_server_port(server), text);
	RUN_UNTIL(base, h.n_held == 1);
	bufferevent_free(conns[0]);
	ap_http_server_free(server);
	for (int i = 0; i < OTHER_FDS; i++)
		close(other_fds[i]);
	event_base_free(base);
}

static void test_server_freed_with_open_calls(void **state)
{
	server_seen_t seen = {.base = event_base_new()};
	ap_http_server_t *server = serve(&seen);
	struct bufferevent *bev;

	(void)state;
	bev = connect_and_run(seen.base, ap_http_server_port(server),
			      "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	RUN_UNTIL(seen.base, seen.requests == 1);
	ap_http_server_free(server);
	assert_int_equal(seen.closed, 1);
	bufferevent_free(bev);
	event_base_free(seen.base);
}

static void test_malformed_input_never_reaches_the_handler(void **state)
{
	static const char *const inputs[] = {
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nshort",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\n",
		"garbage\r\n\r\n",
		"BREW /x HTTP/1.1\r\nHost: h\r\n\r\n",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(inputs) / sizeof(inputs[0]); i++) {
		server_seen_t seen = {.base = event_base_new()};
		ap_http_server_t *server = serve(&seen);
		struct bufferevent *bev;

		bev = connect_and_run(seen.base, ap_http_server_port(server), inputs[i]);
		assert_int_equal(seen.requests, 0);
		bufferevent_free(bev);
		run_briefly(seen.base);
		ap_http_server_free(server);
		event_base_free(seen.base);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_fault_has_its_result),
		cmocka_unit_test(test_lenient_requests_accept_responses_without_length),
		cmocka_unit_test(test_refused_connection_wrote_nothing),
		cmocka_unit_test(test_connections_are_reused_unless_fresh_is_requested),
		cmocka_unit_test(test_dead_connection_is_retired_and_upstream_not_blamed),
		cmocka_unit_test(test_cancel_closes_the_connection),
		cmocka_unit_test(test_hang_up_is_seen_at_each_point),
		cmocka_unit_test(test_an_aborted_response_is_not_complete),
		cmocka_unit_test(test_connections_are_bounded),
		cmocka_unit_test(test_server_freed_with_open_calls),
		cmocka_unit_test(test_malformed_input_never_reaches_the_handler),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
