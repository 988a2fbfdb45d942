/* Servers that share a budget of memory: whose requests are given up, and who learns of it. */
#include "http_rig.h"

#include <stdlib.h>
#include <unistd.h>

#define LIMIT (1 << 20) /* bytes of the budget */
#define CLIENTS 24
#define PART (60 << 10) /* what a client sends of its body; together more than the budget */
#define BODY_MAX (4 << 20)
#define LARGE_BODY 400000

#define POST "POST / HTTP/1.1\r\nHost: h\r\n"

typedef struct rig {
	server_seen_t seen;
	ap_http_budget_t *budget;
	ap_http_server_t *server;
} rig_t;

static void on_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	((server_seen_t *)ctx)->refused++;
	ap_http_reply(call, why == AP_HTTP_REFUSED_BUDGET ? 503 : 400, NULL, 0, NULL, 0);
}

static int set_up(void **state)
{
	rig_t *r = calloc(1, sizeof(*r));
	ap_http_server_config_t config = {
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = BODY_MAX,
		.idle = 5 * AP_SEC,
		.request = on_request,
		.refused = on_refused,
	};

	assert_non_null(r);
	r->seen.base = ap_http_base_new();
	r->budget = ap_http_budget_new(r->seen.base, LIMIT, 0);
	config.base = r->seen.base;
	config.budget = r->budget;
	config.ctx = &r->seen;
	assert_int_equal(ap_http_server_new(&config, &r->server, NULL), AP_HTTP_STATUS_OK);
	*state = r;
	return 0;
}

static int tear_down(void **state)
{
	rig_t *r = *state;

	ap_http_server_free(r->server);
	ap_http_budget_free(r->budget);
	event_base_free(r->seen.base);
	free(r);
	return 0;
}

/* Guards against requests that are refused while those of clients that have left hold memory. */
static void requests_whose_clients_have_left_hold_nothing(void **state)
{
	static char part[PART];
	struct bufferevent *clients[CLIENTS];
	ap_http_budget_stats_t before;
	rig_t *r = *state;

	for (size_t i = 0; i < CLIENTS; i++) {
		clients[i] = start_connect(r->seen.base, ap_http_server_port(r->server),
					   POST "Content-Length: 100000\r\n\r\n");
		bufferevent_write(clients[i], part, sizeof(part));
	}
	RUN_UNTIL(r->seen.base, ap_http_budget_stats(r->budget).paused > CLIENTS / 2);
	before = ap_http_budget_stats(r->budget);
	assert_true(before.connections > CLIENTS / 2);
	for (size_t i = 0; i < CLIENTS; i++)
		bufferevent_free(clients[i]);
	RUN_UNTIL(r->seen.base, ap_http_budget_stats(r->budget).connections == 0);
	assert_int_equal(ap_http_budget_stats(r->budget).gave_way, before.gave_way);
	assert_int_equal(ap_http_budget_stats(r->budget).used, 0);
}

/*
 * Guards against a response that is cut as it was just written, for the bytes of its request, which
 * nobody needs any more.
 */
static void responses_to_large_requests_are_sent(void **state)
{
	static char body[LARGE_BODY];
	rig_t *r = *state;
	uint16_t port = ap_http_server_port(r->server);
	struct bufferevent *large =
		start_connect(r->seen.base, port, POST "Content-Length: 400000\r\n\r\n");
	struct bufferevent *other;
	struct evbuffer *in = bufferevent_get_input(large);
	ap_http_call_t *call;
	short what = 0;

	bufferevent_setcb(large, NULL, NULL, on_end_of, &what);
	bufferevent_write(large, body, sizeof(body));
	RUN_UNTIL(r->seen.base, r->seen.requests == 1);
	call = r->seen.call;
	other = start_connect(r->seen.base, port, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	RUN_UNTIL(r->seen.base, r->seen.requests == 2);
	ap_http_reply(call, 200, NULL, 0, "ok", 2);
	ap_http_call_hold(r->seen.call, LIMIT / 2);
	RUN_UNTIL(r->seen.base, (what & BEV_EVENT_EOF) || evbuffer_get_length(in) > 0);
	assert_true(evbuffer_get_length(in) > 0);
	bufferevent_free(large);
	bufferevent_free(other);
}

typedef struct answer {
	int status;
	ap_http_end_t end;
	bool ended;
} answer_t;

static void on_answer_head(void *ctx, const ap_http_head_t *head)
{
	((answer_t *)ctx)->status = head->status;
}

static void on_answer_end(void *ctx, ap_http_end_t end, bool written)
{
	answer_t *a = ctx;

	(void)written;
	a->end = end;
	a->ended = true;
}

/*
 * Guards against a refusal that is lost, as a client that still sends its body takes the close for
 * a broken connection. Instances are such clients of each other.
 */
static void refusals_reach_clients_that_still_send(void **state)
{
	rig_t *r = *state;
	ap_http_client_t *client = ap_http_client_new(r->seen.base);
	answer_t a = {0};
	char *body = calloc(1, BODY_MAX);
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = ap_http_server_port(r->server),
		.method = EVHTTP_REQ_POST,
		.target = "/",
		.body = body,
		.len = BODY_MAX,
		.no_probe = true,
		.first_byte = 5 * AP_SEC,
		.between_chunks = 5 * AP_SEC,
		.response_max = 1 << 20,
		.ctx = &a,
		.head = on_answer_head,
		.end = on_answer_end,
	};

	assert_non_null(body);
	assert_non_null(ap_http_fetch(client, &config));
	RUN_UNTIL(r->seen.base, a.ended);
	assert_int_equal(a.end, AP_HTTP_COMPLETE);
	assert_int_equal(a.status, 503);
	assert_int_equal(r->seen.requests, 0);
	ap_http_client_free(client);
	free(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(requests_whose_clients_have_left_hold_nothing,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(refusals_reach_clients_that_still_send, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(responses_to_large_requests_are_sent, set_up,
						tear_down),
	};

	alarm(60);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
