/* Bytes that an upstream sends on a kept connection and that belong to no request on it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "http/http.h"
#include "log/log.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#define LIMIT (2 * AP_SEC)
#define CONNS_MAX 4
#define REFUSAL "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

/* Responds to each request with its own number as the body. */
typedef struct upstream {
	struct event_base *base;
	struct evconnlistener *listener;
	struct bufferevent *conns[CONNS_MAX];
	int n_conns;
	int requests;
	uint16_t port;
} upstream_t;

static void on_readable(struct bufferevent *bev, void *arg)
{
	upstream_t *u = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	evbuffer_add_printf(bufferevent_get_output(bev),
			    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", ++u->requests);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd, struct sockaddr *from,
		      int len, void *arg)
{
	upstream_t *u = arg;
	struct bufferevent *bev = bufferevent_socket_new(u->base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)listener;
	(void)from;
	(void)len;
	assert_true(u->n_conns < CONNS_MAX);
	u->conns[u->n_conns++] = bev;
	bufferevent_setcb(bev, on_readable, NULL, NULL, u);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

typedef struct result {
	struct event_base *base;
	int status;
	bool reused;
	char body[16];
	size_t len;
	bool ended;
	ap_http_end_t end;
} result_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	result_t *r = ctx;

	r->status = head->status;
	r->reused = head->reused;
}

static void on_data(void *ctx, const void *data, size_t len)
{
	result_t *r = ctx;

	assert_true(r->len + len < sizeof(r->body));
	memcpy(r->body + r->len, data, len);
	r->len += len;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	result_t *r = ctx;

	(void)written;
	r->ended = true;
	r->end = end;
}

typedef struct rig {
	struct event_base *base;
	ap_http_client_t *client;
	upstream_t upstream;
} rig_t;

static void run_briefly(struct event_base *base)
{
	struct timeval tv = {.tv_usec = 20000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static result_t fetch(rig_t *rig)
{
	result_t result = {.base = rig->base};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = rig->upstream.port,
		.method = EVHTTP_REQ_POST,
		.target = "/",
		.body = "x",
		.len = 1,
		.fresh = true,
		.lenient = true,
		.no_probe = true,
		.first_byte = LIMIT,
		.between_chunks = LIMIT,
		.idle = 60 * AP_SEC,
		.response_max = 1 << 20,
		.ctx = &result,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};

	assert_non_null(ap_http_fetch(rig->client, &config));
	while (!result.ended)
		event_base_loop(rig->base, EVLOOP_ONCE);
	return result;
}

/* A connection that has carried one response and is idle. */
static void rig_init(rig_t *rig)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	upstream_t *u = &rig->upstream;
	result_t result;

	signal(SIGPIPE, SIG_IGN);
	*rig = (rig_t){.base = event_base_new()};
	rig->client = ap_http_client_new(rig->base);
	u->base = rig->base;
	u->listener = evconnlistener_new_bind(rig->base, on_accept, u, LEV_OPT_CLOSE_ON_FREE, -1,
					      (struct sockaddr *)&address, sizeof(address));
	assert_non_null(u->listener);
	getsockname(evconnlistener_get_fd(u->listener), (struct sockaddr *)&address, &len);
	u->port = ntohs(address.sin_port);
	result = fetch(rig);
	assert_int_equal(result.end, AP_HTTP_COMPLETE);
	assert_false(result.reused);
	run_briefly(rig->base);
	assert_int_equal(u->n_conns, 1);
}

static void rig_clear(rig_t *rig)
{
	ap_http_client_free(rig->client);
	for (int i = 0; i < rig->upstream.n_conns; i++)
		bufferevent_free(rig->upstream.conns[i]);
	evconnlistener_free(rig->upstream.listener);
	event_base_free(rig->base);
}

/* Sends @text on the idle connection; the client's event loop doesn't see it before it returns. */
static void send_stray(rig_t *rig, const char *text)
{
	int fd = bufferevent_getfd(rig->upstream.conns[0]);

	assert_int_equal(send(fd, text, strlen(text), 0), strlen(text));
}

static void check_second(rig_t *rig, int conns)
{
	result_t result = fetch(rig);

	assert_int_equal(result.end, AP_HTTP_COMPLETE);
	assert_int_equal(result.status, 200);
	assert_memory_equal(result.body, "2", 1);
	assert_int_equal(result.reused, conns == 1);
	assert_int_equal(rig->upstream.n_conns, conns);
}

/*
 * Guards against an earlier refusal, sent once more on an idle connection, that becomes the
 * response to the next request: it had arrived before the request was written.
 */
static void bytes_that_arrived_before_a_request_are_not_its_response(void **state)
{
	rig_t rig;

	(void)state;
	rig_init(&rig);
	send_stray(&rig, REFUSAL);
	check_second(&rig, 2);
	rig_clear(&rig);
}

/* The same where the event loop has read the bytes before the next request. */
static void bytes_on_an_idle_connection_end_it(void **state)
{
	rig_t rig;

	(void)state;
	rig_init(&rig);
	send_stray(&rig, REFUSAL);
	run_briefly(rig.base);
	check_second(&rig, 2);
	rig_clear(&rig);
}

/* Guards against a request that is sent on a connection that the upstream has already closed. */
static void a_connection_closed_while_idle_is_not_used(void **state)
{
	rig_t rig;

	(void)state;
	rig_init(&rig);
	shutdown(bufferevent_getfd(rig.upstream.conns[0]), SHUT_WR);
	check_second(&rig, 2);
	rig_clear(&rig);
}

/* A sound connection is used again, and the head of the response says so. */
static void a_sound_idle_connection_is_reused(void **state)
{
	rig_t rig;

	(void)state;
	rig_init(&rig);
	check_second(&rig, 1);
	rig_clear(&rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bytes_that_arrived_before_a_request_are_not_its_response),
		cmocka_unit_test(bytes_on_an_idle_connection_end_it),
		cmocka_unit_test(a_connection_closed_while_idle_is_not_used),
		cmocka_unit_test(a_sound_idle_connection_is_reused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
