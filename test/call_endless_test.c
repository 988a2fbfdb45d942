/*
 * Peers that respond to a small call without end, as fast as they can or a byte now and then: the
 * store, seeds, and upstreams that get a health check, a poll or an order. Each call holds a
 * bounded number of bytes for a bounded time.
 */
#include "call/call.h"
#include "flood.h"

#include <stdlib.h>
#include <time.h>

#define TIME_LIMIT (20 * AP_SEC)
#define SENT_MAX (24 << 20) /* the largest response of a call, and socket buffers */
#define DRIP_LIMIT (200 * AP_MSEC)
#define DRIP_END (4 * DRIP_LIMIT)
#define CPU_MAX_S 2 /* a tenth of a core over TIME_LIMIT, both ends together */

typedef struct result {
	struct event_base *base;
	bool ended;
	ap_call_end_t end;
	int code;
	size_t len;
} result_t;

/* The argument of a call is freed by its callback. */
typedef struct call_arg {
	result_t *result;
} call_arg_t;

static void on_call_done(void *arg, const ap_call_response_t *response)
{
	result_t *r = ((call_arg_t *)arg)->result;

	free(arg);
	assert_false(r->ended);
	r->ended = true;
	r->end = response->end;
	r->code = response->code;
	r->len = response->len;
	event_base_loopbreak(r->base);
}

static void start_call(ap_calls_t *calls, uint16_t port, ap_usec_t limit, result_t *result)
{
	ap_address_t to = {.host = "127.0.0.1", .port = port};
	call_arg_t *arg = malloc(sizeof(*arg));
	ap_call_spec_t spec = {
		.to = &to,
		.method = EVHTTP_REQ_GET,
		.path = "/",
		.limit = limit,
		.done = on_call_done,
		.arg = arg,
	};

	assert_non_null(arg);
	arg->result = result;
	ap_call(calls, &spec);
}

/* Guards against a response that fills the memory, or costs a core as it is searched again. */
static void bytes_without_end_are_given_up(void **state)
{
	(void)state;
	for (size_t i = 0; i < N_FLOODS; i++) {
		struct event_base *base = event_base_new();
		ap_calls_t *calls = ap_calls_new(base);
		result_t result = {.base = base};
		flooder_t peer;
		ap_usec_t start = ap_now();
		clock_t cpu = clock();

		flooder_start(&peer, base, &floods[i]);
		start_call(calls, peer.port, TIME_LIMIT, &result);
		while (!result.ended && peer.sent <= 4 * (uint64_t)SENT_MAX &&
		       ap_now() - start < TIME_LIMIT / 2)
			event_base_loop(base, EVLOOP_ONCE);
		print_message("%s: %.1f MB, end %d, %zu bytes, %.2f s of processor time\n",
			      floods[i].name, (double)peer.sent / (1 << 20), (int)result.end,
			      result.len, (double)(clock() - cpu) / CLOCKS_PER_SEC);
		assert_true(result.ended);
		assert_int_equal(result.end, AP_CALL_NO_RESPONSE);
		assert_true(peer.sent <= SENT_MAX);
		assert_true((double)(clock() - cpu) / CLOCKS_PER_SEC < CPU_MAX_S);
		ap_calls_free(calls);
		flooder_stop(&peer);
		event_base_free(base);
	}
}

/* Guards against a peer that keeps a call open as long as it sends a byte now and then. */
static void bytes_now_and_then_do_not_extend_the_limit(void **state)
{
	(void)state;
	for (size_t i = 0; i < N_DRIPS; i++) {
		struct event_base *base = event_base_new();
		ap_calls_t *calls = ap_calls_new(base);
		result_t result = {.base = base};
		drip_t peer;
		ap_usec_t start = ap_now();

		drip_start(&peer, base, &drips[i]);
		start_call(calls, peer.flooder.port, DRIP_LIMIT, &result);
		while (!result.ended && ap_now() - start < 2 * DRIP_END)
			event_base_loop(base, EVLOOP_ONCE);
		print_message("%s: ended %d after %lld ms\n", drips[i].name, (int)result.ended,
			      (long long)((ap_now() - start) / AP_MSEC));
		assert_true(result.ended);
		assert_int_equal(result.end, AP_CALL_NO_RESPONSE);
		assert_true(ap_now() - start < DRIP_END);
		ap_calls_free(calls);
		drip_stop(&peer);
		event_base_free(base);
	}
}

#define PART_BYTES 6000 /* every DRIP_EVERY: 300 KB a second, over a narrow link */
#define PARTS 50

typedef struct slow_peer {
	flooder_t flooder;
	struct event *timer;
	unsigned parts;
} slow_peer_t;

static void on_part(evutil_socket_t fd, short what, void *arg)
{
	slow_peer_t *p = arg;
	struct timeval every = ap_timeval(DRIP_EVERY);
	char part[PART_BYTES] = "";

	(void)fd;
	(void)what;
	if (p->flooder.bev && p->flooder.started && p->parts < PARTS) {
		bufferevent_write(p->flooder.bev, part, sizeof(part));
		p->parts++;
	}
	event_add(p->timer, &every);
}

/* Guards against a limit that cuts a large response which a narrow link carries slowly. */
static void a_large_response_over_a_narrow_link_is_complete(void **state)
{
	static const flood_t start = {.start = OK "Content-Length: 300000\r\n\r\n"};
	struct event_base *base = event_base_new();
	ap_calls_t *calls = ap_calls_new(base);
	result_t result = {.base = base};
	slow_peer_t peer = {.parts = 0};
	ap_usec_t begun = ap_now();

	(void)state;
	flooder_start(&peer.flooder, base, &start);
	evconnlistener_set_cb(peer.flooder.listener, drip_on_accept, &peer.flooder);
	peer.timer = evtimer_new(base, on_part, &peer);
	on_part(-1, 0, &peer);
	start_call(calls, peer.flooder.port, DRIP_LIMIT, &result);
	while (!result.ended && ap_now() - begun < TIME_LIMIT)
		event_base_loop(base, EVLOOP_ONCE);
	assert_int_equal(result.end, AP_CALL_RESPONDED);
	assert_int_equal(result.code, 200);
	assert_int_equal(result.len, PART_BYTES * PARTS);
	assert_true(ap_now() - begun > DRIP_END);
	ap_calls_free(calls);
	event_free(peer.timer);
	flooder_stop(&peer.flooder);
	event_base_free(base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bytes_without_end_are_given_up),
		cmocka_unit_test(bytes_now_and_then_do_not_extend_the_limit),
		cmocka_unit_test(a_large_response_over_a_narrow_link_is_complete),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
