/* Upstreams that leave the HTTP client at each point of a request, in each way. */
#include "act.h"
#include "http/http.h"

#include <signal.h>
#include <stdio.h>

#define SOON (30 * AP_MSEC)
#define LIMIT (20 * AP_SEC)

typedef enum point {
	SENT, /* nothing of the response has arrived */
	IN_HEAD,
	IN_BODY,
	PAUSED, /* in the body, while the caller reads nothing */
	KEPT,	/* the response is complete */
	POINTS,
} point_t;

static const char *const point_names[POINTS] = {"sent", "in the head", "in the body", "paused",
						"kept"};

static const char *const responses[POINTS] = {
	[SENT] = "",
	[IN_HEAD] = "HTTP/1.1 200 OK\r\nContent-Le",
	[IN_BODY] = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab",
	[PAUSED] = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab",
	[KEPT] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
};

typedef struct rig {
	struct event_base *base;
	ap_http_client_t *client;
	int listener;
	uint16_t port;
	int ended;
	ap_http_end_t end;
} rig_t;

static void rig_init(rig_t *r)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);

	*r = (rig_t){.base = ap_http_base_new()};
	r->client = ap_http_client_new(r->base);
	r->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(r->listener, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(r->listener, 8), 0);
	getsockname(r->listener, (struct sockaddr *)&addr, &len);
	r->port = ntohs(addr.sin_port);
}

static void rig_clear(rig_t *r)
{
	ap_http_client_free(r->client);
	close(r->listener);
	event_base_free(r->base);
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	rig_t *r = ctx;

	(void)written;
	r->ended++;
	r->end = end;
}

static ap_http_fetch_t *fetch(rig_t *r)
{
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = r->port,
		.method = EVHTTP_REQ_GET,
		.target = "/",
		.no_probe = true,
		.reset = true,
		.first_byte = LIMIT,
		.between_chunks = LIMIT,
		.idle = LIMIT,
		.response_max = 4096,
		.ctx = r,
		.end = on_end,
	};

	return ap_http_fetch(r->client, &config);
}

/* The next request gets a response on a connection of its own. */
static bool next_is_served(rig_t *r)
{
	int fd;

	r->ended = 0;
	fetch(r);
	act_run(r->base, SOON);
	fd = accept(r->listener, NULL, NULL);
	act_send(fd, responses[KEPT]);
	act_run(r->base, SOON);
	close(fd);
	return r->ended == 1 && r->end == AP_HTTP_COMPLETE;
}

/* How often the request has ended once the upstream has left, and how. */
static bool ended_right(const rig_t *r, point_t point, act_t act)
{
	if (point == KEPT)
		return r->ended == 1 && r->end == AP_HTTP_COMPLETE;
	if (act == ACT_NONE || point == PAUSED)
		return r->ended == 0;
	return r->ended == 1 && r->end == AP_HTTP_RESET;
}

static bool leave(point_t point, act_t act)
{
	ap_http_fetch_t *f;
	double idle_share;
	rig_t r;
	bool ok;
	int fd;

	rig_init(&r);
	f = fetch(&r);
	act_run(r.base, SOON);
	fd = accept(r.listener, NULL, NULL);
	act_send(fd, responses[point]);
	act_run(r.base, SOON);
	if (point == PAUSED)
		ap_http_fetch_pause(f, true);
	act_run(r.base, SOON);
	fd = act_perform(fd, act);
	act_run(r.base, SOON);
	idle_share = act_idle_share(r.base);
	ok = ended_right(&r, point, act) && idle_share < ACT_IDLE_SHARE_MAX;
	if (!ok)
		print_error("%s, %s: ended %d times, the last as %d, %.1f %% of a processor\n",
			    point_names[point], act_name(act), r.ended, (int)r.end,
			    100 * idle_share);
	/* What a paused request missed is noticed when it goes on. */
	if (point == PAUSED) {
		ap_http_fetch_pause(f, false);
		act_run(r.base, SOON);
		ok = ok && r.ended == (act != ACT_NONE);
	}
	if (point == KEPT && act != ACT_NONE)
		ok = ok && next_is_served(&r);
	if (fd >= 0)
		close(fd);
	rig_clear(&r);
	return ok;
}

static void test_upstreams_that_leave_are_noticed_at_each_point(void **state)
{
	static const act_t acts[] = {ACT_NONE, ACT_CLOSE, ACT_HALF_CLOSE, ACT_RESET};
	int wrong = 0;

	(void)state;
	for (point_t point = 0; point < POINTS; point++) {
		for (size_t i = 0; i < sizeof(acts) / sizeof(acts[0]); i++)
			wrong += !leave(point, acts[i]);
	}
	assert_int_equal(wrong, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_upstreams_that_leave_are_noticed_at_each_point),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
