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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bytes_without_end_are_given_up),
		cmocka_unit_test(bytes_now_and_then_do_not_extend_the_time_limits),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
