/* Upstreams that leave the HTTP client at each point of a request, in each way. */
#include "raw_upstream.h"

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

static ap_http_fetch_t *fetch(raw_upstream_t *r)
{
	return raw_upstream_fetch(r, "", 0, true, LIMIT);
}

/* The next request gets a response on a connection of its own. */
static bool next_is_served(raw_upstream_t *r)
{
	int fd;

	r->ended = 0;
	fetch(r);
	act_run(r->base, SOON);
	fd = raw_upstream_accept(r);
	act_send(fd, responses[KEPT]);
	act_run(r->base, SOON);
	close(fd);
	return r->ended == 1 && r->end == AP_HTTP_COMPLETE;
}

/* How often the request has ended once the upstream has left, and how. */
static bool ended_right(const raw_upstream_t *r, point_t point, act_t act)
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
	raw_upstream_t r;
	ap_usec_t from;
	bool ok;
	int fd;

	raw_upstream_init(&r, 0);
	f = fetch(&r);
	act_run(r.base, SOON);
	fd = raw_upstream_accept(&r);
	act_send(fd, responses[point]);
	act_run(r.base, SOON);
	if (point == PAUSED)
		ap_http_fetch_pause(f, true);
	act_run(r.base, SOON);
	fd = act_perform(fd, act);
	act_run(r.base, SOON);
	from = act_cpu();
	act_run(r.base, ACT_NOTICED);
	ok = ended_right(&r, point, act);
	idle_share = act_idle_share(r.base, from);
	ok = ok && idle_share < ACT_IDLE_SHARE_MAX;
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
	raw_upstream_clear(&r);
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
