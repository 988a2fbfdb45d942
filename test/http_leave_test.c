/* Callers that leave the HTTP server at each point of a request, in each way. */
#include "act.h"
#include "http_rig.h"

#include <signal.h>

#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
#define HEAD "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
#define SOON (30 * AP_MSEC)
#define MANY 100

typedef enum point {
	BEFORE_HEAD,
	IN_HEAD,
	IN_BODY,
	UNREAD,	   /* the request is complete, and the server has not read it */
	WAITING,   /* no response has begun */
	STREAMING, /* the response has begun, and the caller reads it */
	UNSENT,	   /* the caller doesn't read it */
	KEPT,	   /* the response is complete */
	POINTS,
} point_t;

static const char *const point_names[POINTS] = {
	"before the head", "in the head", "in the body", "unread",
	"waiting",	   "streaming",	  "unsent",	 "kept",
};

static const char *text_at(point_t point)
{
	switch (point) {
	case BEFORE_HEAD:
		return "";
	case IN_HEAD:
		return "GET /x HTTP/1.1\r\nHo";
	case IN_BODY:
		return HEAD "some";
	default:
		return REQUEST;
	}
}

/* Writes more of the response than the sockets' buffers take. */
static void write_unsent(const server_seen_t *seen)
{
	static const char part[1 << 16];

	for (int i = 0; i < 200; i++)
		ap_http_reply_write(seen->call, part, sizeof(part));
}

static void bring_to(server_seen_t *seen, point_t point)
{
	if (point == UNREAD)
		return;
	act_run(seen->base, SOON);
	if (point < WAITING)
		return;
	assert_int_equal(seen->requests, 1);
	if (point == STREAMING || point == UNSENT) {
		ap_http_reply_start(seen->call, 200, NULL, 0);
		ap_http_reply_write(seen->call, "data", 4);
	}
	if (point == UNSENT)
		write_unsent(seen);
	if (point == KEPT)
		ap_http_reply(seen->call, 200, NULL, 0, "a", 1);
	act_run(seen->base, SOON);
}

static bool in_progress(point_t point)
{
	return point == WAITING || point == STREAMING || point == UNSENT;
}

/* Prints what was wrong and returns whether nothing was. */
static bool check(point_t point, act_t act, const server_seen_t *seen, double idle_share,
		  size_t open)
{
	int closed = in_progress(point) && act_leaves(act);
	bool ok = idle_share < ACT_IDLE_SHARE_MAX;

	if (!act_hidden(act))
		ok = ok && seen->closed == closed && open == !act_leaves(act);
	/* Nobody waits for the response. */
	if (point == UNREAD && act_leaves(act) && !act_hidden(act))
		ok = ok && seen->requests == 0;
	if (!ok)
		print_error("%s, %s: %d requests, %d closed (expected %d), %zu open, %.1f %% of a "
			    "processor\n",
			    point_names[point], act_name(act), seen->requests, seen->closed, closed,
			    open, 100 * idle_share);
	return ok;
}

static bool leave(point_t point, act_t act)
{
	server_seen_t seen = {.base = ap_http_base_new()};
	ap_http_server_t *server = serve(&seen);
	int fd = act_connect(ap_http_server_port(server));
	server_seen_t noticed;
	ap_usec_t from;
	size_t open;
	bool ok;

	act_send(fd, text_at(point));
	bring_to(&seen, point);
	fd = act_perform(fd, act);
	act_run(seen.base, SOON);
	from = act_cpu();
	act_run(seen.base, ACT_NOTICED);
	noticed = seen;
	open = ap_http_server_stats(server).open;
	ok = check(point, act, &noticed, act_idle_share(seen.base, from), open);
	if (fd >= 0)
		close(fd);
	ap_http_server_free(server);
	event_base_free(seen.base);
	return ok;
}

/* A request cannot follow one that isn't complete, nor can its response be awaited. */
static bool possible(point_t point, act_t act)
{
	return act <= ACT_RESET || point == UNREAD || in_progress(point);
}

/*
 * Guards against GONE: a caller that reset its connection before the response began was not
 * noticed, so that more attempts were sent for it, and the event loop spun until the request ended.
 */
static void test_callers_that_leave_are_noticed_at_each_point(void **state)
{
	int wrong = 0;

	(void)state;
	for (point_t point = 0; point < POINTS; point++) {
		for (act_t act = 0; act < ACTS; act++) {
			if (possible(point, act))
				wrong += !leave(point, act);
		}
	}
	assert_int_equal(wrong, 0);
}

/*
 * Guards against GONE: the requests that had arrived while an instance stood still were sent on
 * when it went on, for callers that had left meanwhile.
 */
static void test_a_backlog_of_callers_that_left_is_not_served(void **state)
{
	static const act_t acts[] = {ACT_CLOSE, ACT_RESET};

	(void)state;
	for (size_t i = 0; i < sizeof(acts) / sizeof(acts[0]); i++) {
		server_seen_t seen = {.base = ap_http_base_new()};
		ap_http_server_t *server = serve(&seen);
		uint16_t port = ap_http_server_port(server);
		int fds[MANY];

		for (int n = 0; n < MANY; n++) {
			fds[n] = act_connect(port);
			act_send(fds[n], REQUEST);
		}
		/* Each second one leaves. */
		for (int n = 0; n < MANY; n += 2)
			act_perform(fds[n], acts[i]);
		act_run(seen.base, 4 * SOON);
		assert_int_equal(seen.requests, MANY / 2);
		assert_int_equal(seen.closed, 0);
		assert_int_equal(ap_http_server_stats(server).left, MANY / 2);
		assert_int_equal(ap_http_server_stats(server).open, MANY / 2);
		for (int n = 1; n < MANY; n += 2)
			close(fds[n]);
		ap_http_server_free(server);
		event_base_free(seen.base);
	}
}

/* Guards against GONE: the same, for a hundred callers that reset at once while they wait. */
static void test_a_hundred_resets_at_once_are_noticed(void **state)
{
	server_seen_t seen = {.base = ap_http_base_new()};
	ap_http_server_t *server = serve(&seen);
	int fds[MANY];
	ap_usec_t from;

	(void)state;
	for (int n = 0; n < MANY; n++) {
		fds[n] = act_connect(ap_http_server_port(server));
		act_send(fds[n], REQUEST);
	}
	act_run(seen.base, 4 * SOON);
	assert_int_equal(seen.requests, MANY);
	for (int n = 0; n < MANY; n++)
		act_perform(fds[n], ACT_RESET);
	act_run(seen.base, SOON);
	assert_int_equal(seen.closed, MANY);
	from = act_cpu();
	act_run(seen.base, ACT_NOTICED);
	assert_int_equal(ap_http_server_stats(server).open, 0);
	assert_true(act_idle_share(seen.base, from) < ACT_IDLE_SHARE_MAX);
	ap_http_server_free(server);
	event_base_free(seen.base);
}

/* A request that follows another one on its connection is served after it. */
static void test_a_pipelined_request_is_served_next(void **state)
{
	server_seen_t seen = {.base = ap_http_base_new()};
	ap_http_server_t *server = serve(&seen);
	int fd = act_connect(ap_http_server_port(server));

	(void)state;
	act_send(fd, REQUEST);
	act_run(seen.base, SOON);
	act_send(fd, ACT_NEXT);
	act_run(seen.base, SOON);
	assert_int_equal(seen.requests, 1);
	ap_http_reply(seen.call, 200, NULL, 0, "a", 1);
	act_run(seen.base, SOON);
	assert_int_equal(seen.requests, 2);
	assert_string_equal(ap_http_call_path(seen.call), "/next");
	act_reset(fd);
	act_run(seen.base, SOON);
	assert_int_equal(seen.closed, 1);
	ap_http_server_free(server);
	event_base_free(seen.base);
}

/*
 * Reads what is sent to @fd while the loop runs. Return: bytes read until nothing came for a while.
 */
static size_t read_all(struct event_base *base, int fd)
{
	static char part[1 << 16];
	size_t total = 0;

	for (int quiet = 0; quiet < 10; quiet++) {
		ssize_t got;

		act_run(base, 10 * AP_MSEC);
		while ((got = recv(fd, part, sizeof(part), MSG_DONTWAIT)) > 0) {
			total += (size_t)got;
			quiet = 0;
		}
	}
	return total;
}

/*
 * Guards against a response that stops after what one write takes: waiting for the caller to leave
 * must not change how the library waits for the socket.
 */
static void test_a_large_response_is_sent_whole(void **state)
{
	static char body[1 << 20];

	(void)state;
	for (int chunked = 0; chunked < 2; chunked++) {
		server_seen_t seen = {.base = ap_http_base_new()};
		ap_http_server_t *server = serve(&seen);
		int fd = act_connect(ap_http_server_port(server));

		act_send(fd, REQUEST);
		act_run(seen.base, SOON);
		assert_int_equal(seen.requests, 1);
		if (chunked) {
			ap_http_reply_start(seen.call, 200, NULL, 0);
			ap_http_reply_write(seen.call, body, sizeof(body));
			ap_http_reply_write(seen.call, body, sizeof(body));
			ap_http_reply_end(seen.call);
		} else {
			ap_http_reply(seen.call, 200, NULL, 0, body, sizeof(body));
		}
		assert_true(read_all(seen.base, fd) > sizeof(body) * (chunked ? 2 : 1));
		close(fd);
		ap_http_server_free(server);
		event_base_free(seen.base);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_callers_that_leave_are_noticed_at_each_point),
		cmocka_unit_test(test_a_backlog_of_callers_that_left_is_not_served),
		cmocka_unit_test(test_a_hundred_resets_at_once_are_noticed),
		cmocka_unit_test(test_a_pipelined_request_is_served_next),
		cmocka_unit_test(test_a_large_response_is_sent_whole),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
