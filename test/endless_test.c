/*
 * Upstreams that send bytes without end, in a head or a body, until the connection is closed. The
 * client gives each of them up after a bounded number of bytes, long before its time limits.
 */
#include "flood.h"
#include "http/http.h"

#define TIME_LIMIT (20 * AP_SEC)
#define RESPONSE_MAX (1 << 20) /* bytes of a body that the client accepts */
#define LARGE_MAX (512 << 20)  /* likewise, where it would hold all of them */
#define SENT_MAX (24 << 20)    /* RESPONSE_MAX, what the client holds, and socket buffers */

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
	flooder_t upstream;
	ap_usec_t start = ap_now();

	flooder_start(&upstream, base, flood);
	config.port = upstream.port;
	assert_non_null(ap_http_fetch(client, &config));
	while (!result.ended && upstream.sent <= 4 * (uint64_t)SENT_MAX &&
	       ap_now() - start < TIME_LIMIT)
		event_base_loop(base, EVLOOP_ONCE);
	*sent = upstream.sent;
	ap_http_client_free(client);
	flooder_stop(&upstream);
	event_base_free(base);
	return result.ended ? result.end : AP_HTTP_COMPLETE;
}

/*
 * Guards against a response that fills the memory, since the library holds a line or a chunk until
 * it is complete.
 */
static void bytes_without_end_are_given_up(void **state)
{
	(void)state;
	for (size_t i = 0; i < N_FLOODS; i++) {
		uint64_t sent;
		ap_http_end_t end = fetch(&floods[i], &sent);

		print_message("%s: %.1f MB, end %d\n", floods[i].name, (double)sent / (1 << 20),
			      (int)end);
		assert_true(end == AP_HTTP_MALFORMED || end == AP_HTTP_RESET);
		assert_true(sent <= SENT_MAX);
	}
}

#define DRIP_LIMIT (200 * AP_MSEC)

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

	drip_start(&drip, base, flood);
	config.port = drip.flooder.port;
	assert_non_null(ap_http_fetch(client, &config));
	while (!result.ended && ap_now() - start < 20 * DRIP_LIMIT)
		event_base_loop(base, EVLOOP_ONCE);
	*took = ap_now() - start;
	ap_http_client_free(client);
	drip_stop(&drip);
	event_base_free(base);
	return result.ended ? result.end : AP_HTTP_COMPLETE;
}

/*
 * Guards against a stalled upstream whose response never ends, since it sends a byte now and then:
 * only a response's head and parts of its body count against the time limits.
 */
static void bytes_now_and_then_do_not_extend_the_time_limits(void **state)
{
	(void)state;
	for (size_t i = 0; i < N_DRIPS; i++) {
		ap_usec_t took;
		ap_http_end_t end;

		if (drips[i].body)
			continue;
		end = fetch_drip(&drips[i], &took);
		print_message("%s: end %d after %lld ms\n", drips[i].name, (int)end,
			      (long long)(took / AP_MSEC));
		assert_int_equal(end, AP_HTTP_TIMEOUT);
		assert_true(took < 4 * DRIP_LIMIT);
	}
}

#define HEAD_MAX 4096
#define BODY_MAX 65536
#define CALLER_SENT_MAX (12 << 20) /* what the server holds, and socket buffers */

typedef struct caller {
	const flood_t *flood;
	struct bufferevent *bev;
	uint64_t sent;
	int requests;
	int refused;
	bool closed;
} caller_t;

static void on_caller_writable(struct bufferevent *bev, void *arg)
{
	caller_t *c = arg;
	struct evbuffer *out = bufferevent_get_output(bev);

	if (c->sent == 0)
		evbuffer_add(out, c->flood->start, strlen(c->flood->start));
	while (evbuffer_get_length(out) < FILL_BYTES) {
		evbuffer_add(out, c->flood->repeat, strlen(c->flood->repeat));
		c->sent += strlen(c->flood->repeat);
	}
}

static void on_caller_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & BEV_EVENT_CONNECTED)
		on_caller_writable(bev, arg);
	else
		((caller_t *)arg)->closed = true;
}

static void on_caller_request(void *ctx, ap_http_call_t *call)
{
	((caller_t *)ctx)->requests++;
	ap_http_reply(call, 200, NULL, 0, NULL, 0);
}

static void on_caller_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	(void)why;
	((caller_t *)ctx)->refused++;
	ap_http_reply(call, 400, NULL, 0, NULL, 0);
}

static caller_t flood_server(const flood_t *flood)
{
	struct event_base *base = ap_http_base_new();
	caller_t caller = {.flood = flood};
	ap_http_server_config_t config = {
		.base = base,
		.host = "127.0.0.1",
		.header_bytes = HEAD_MAX,
		.body_bytes = BODY_MAX,
		.idle = TIME_LIMIT,
		.arrival = TIME_LIMIT,
		.ctx = &caller,
		.request = on_caller_request,
		.refused = on_caller_refused,
	};
	struct sockaddr_in to = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	ap_http_server_t *server = NULL;
	ap_usec_t start = ap_now();

	assert_int_equal(ap_http_server_new(&config, &server, NULL), AP_HTTP_STATUS_OK);
	to.sin_port = htons(ap_http_server_port(server));
	caller.bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(caller.bev, NULL, on_caller_writable, on_caller_event, &caller);
	bufferevent_enable(caller.bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(caller.bev, (struct sockaddr *)&to, sizeof(to));
	while (!caller.refused && !caller.closed && caller.sent <= 4 * (uint64_t)CALLER_SENT_MAX &&
	       ap_now() - start < TIME_LIMIT / 2)
		event_base_loop(base, EVLOOP_ONCE);
	bufferevent_free(caller.bev);
	ap_http_server_free(server);
	event_base_free(base);
	return caller;
}

#define POST "POST / HTTP/1.1\r\nHost: h\r\n"

/* Guards against a caller that fills the memory, until the time for its request is over. */
static void callers_that_send_without_end_are_refused(void **state)
{
	static const flood_t callers[] = {
		{.name = "a request line", .start = "", .repeat = "POST"},
		{.name = "header lines", .start = POST, .repeat = PAD_LINE},
		{.name = "one header", .start = POST "X-Pad: ", .repeat = "padding"},
		{.name = "a body of a stated length",
		 .start = POST "Content-Length: 99999999999\r\n\r\n",
		 .repeat = "padding"},
		{.name = "chunks", .start = POST CHUNKED, .repeat = "7\r\npadding\r\n"},
		{.name = "one chunk", .start = POST CHUNKED "fffffff\r\n", .repeat = "padding"},
		{.name = "the size of a chunk", .start = POST CHUNKED, .repeat = "0000000"},
		{.name = "the extension of a chunk",
		 .start = POST CHUNKED "7;",
		 .repeat = "padding"},
		{.name = "trailers", .start = POST CHUNKED "0\r\n", .repeat = PAD_LINE},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(callers) / sizeof(callers[0]); i++) {
		caller_t c = flood_server(&callers[i]);

		print_message("%s: %.1f MB, %d requests, %d refused\n", callers[i].name,
			      (double)c.sent / (1 << 20), c.requests, c.refused);
		assert_int_equal(c.requests, 0);
		assert_int_equal(c.refused, 1);
		assert_true(c.sent <= CALLER_SENT_MAX);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bytes_without_end_are_given_up),
		cmocka_unit_test(bytes_now_and_then_do_not_extend_the_time_limits),
		cmocka_unit_test(callers_that_send_without_end_are_refused),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
