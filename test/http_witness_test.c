/*
 * Responses without framing, from processes that end, start again at the same address, or close
 * only the connection: whether the process that responded lives on.
 */
#include "http_witness_rig.h"

#define KILLS 20
#define IDLE_CLOSED (1500 * AP_MSEC) /* until an idle connection that was closed is open again */

/* Guards against sound responses that count as cut. */
static void a_process_that_closes_only_the_response_lives_on(void **state)
{
	static const char *const befores[] = {"", "l", "o"};

	(void)state;
	for (size_t i = 0; i < sizeof(befores) / sizeof(befores[0]); i++) {
		process_t p;
		rig_t r;

		process_start(&p, 0);
		rig_init(&r);
		begin(&r, &p);
		/* It stops listening, or closes what is idle, as it leaves. */
		if (befores[i][0]) {
			process_tell(&p, befores[i][0]);
			run_for(&r, IDLE_CLOSED);
		}
		process_tell(&p, CLOSE_RESPONSE);
		assert_true(lives(&r));
		rig_clear(&r);
		process_kill(&p);
	}
}

/* Guards against ORDER: a stream cut by a kill that ends as complete, as the kernel closes it. */
static void a_process_that_was_killed_does_not_live_on(void **state)
{
	(void)state;
	for (int i = 0; i < KILLS; i++) {
		process_t p;
		rig_t r;

		process_start(&p, 0);
		rig_init(&r);
		begin(&r, &p);
		process_kill(&p);
		assert_false(lives(&r));
		rig_clear(&r);
	}
}

/* Guards against ORDER: the process that has the address now is taken for the one that responded.
 */
static void nor_does_one_that_is_started_again_at_once(void **state)
{
	(void)state;
	for (int i = 0; i < KILLS; i++) {
		process_t p;
		process_t next;
		rig_t r;

		process_start(&p, 0);
		rig_init(&r);
		begin(&r, &p);
		process_kill(&p);
		process_start(&next, p.port);
		/* A response may also be read long after its process has ended. */
		if (i == 0)
			usleep(IDLE_CLOSED);
		assert_false(lives(&r));
		run_for(&r, AP_MSEC);
		rig_clear(&r);
		process_kill(&next);
	}
}

/* Guards against sound responses that count as cut, where paths that are open live on alone. */
static void a_kept_connection_shows_life_where_new_ones_are_refused(void **state)
{
	process_t p;
	rig_t r;

	(void)state;
	process_start(&p, 0);
	rig_init(&r);
	rig_send(&r, p.port, "/framed");
	rig_send(&r, p.port, "/framed");
	run_for(&r, 50 * AP_MSEC);
	assert_int_equal(r.ended, 2);
	r.ended = 0;
	process_tell(&p, CLOSE_LISTENER);
	run_for(&r, 50 * AP_MSEC);
	begin(&r, &p);
	process_tell(&p, CLOSE_RESPONSE);
	assert_true(lives(&r));
	rig_clear(&r);
	process_kill(&p);

	process_start(&p, 0);
	rig_init(&r);
	rig_send(&r, p.port, "/framed");
	rig_send(&r, p.port, "/framed");
	run_for(&r, 50 * AP_MSEC);
	r.ended = 0;
	begin(&r, &p);
	process_kill(&p);
	assert_false(lives(&r));
	rig_clear(&r);
}

/* A stopped process accepts nothing, and its kernel does so for it. */
static void a_stopped_process_lives_on(void **state)
{
	process_t p;
	rig_t r;

	(void)state;
	process_start(&p, 0);
	rig_init(&r);
	rig_send(&r, p.port, "/");
	run_until(&r, &r.heads);
	process_tell(&p, CLOSE_RESPONSE);
	run_for(&r, 0);
	kill(p.pid, SIGSTOP);
	kill(p.pid, SIGCONT);
	assert_true(lives(&r));
	rig_clear(&r);
	process_kill(&p);
}

/* Guards against a close that counts as sound where no connection can be made. */
static void where_no_connection_is_made_in_time_none_shows_life(void **state)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int queued[2 * BACKLOG];
	process_t p;
	rig_t r;

	(void)state;
	process_start(&p, 0);
	rig_init(&r);
	rig_send(&r, p.port, "/framed");
	run_until(&r, &r.ended);
	r.ended = 0;
	process_tell(&p, ACCEPT_NOTHING);
	addr.sin_port = htons(p.port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < 2 * BACKLOG; i++) {
		queued[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(queued[i], (struct sockaddr *)&addr, sizeof(addr));
	}
	begin(&r, &p); /* on the connection that is kept */
	process_tell(&p, CLOSE_RESPONSE);
	assert_false(lives(&r));
	for (int i = 0; i < 2 * BACKLOG; i++)
		close(queued[i]);
	rig_clear(&r);
	process_kill(&p);
}

/* Guards against sound upstreams at IPv6 addresses that count as ended. */
static void a_process_at_an_ipv6_address_lives_on(void **state)
{
	struct sockaddr_in6 addr = {.sin6_family = AF_INET6, .sin6_addr = IN6ADDR_LOOPBACK_INIT};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET6, SOCK_STREAM, 0);
	process_t p;
	rig_t r;

	(void)state;
	if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		skip();
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	assert_int_equal(listen(fd, BACKLOG), 0);
	p.port = ntohs(addr.sin6_port);
	process_run(&p, fd);
	rig_init(&r);
	r.host = "::1";
	begin(&r, &p);
	process_tell(&p, CLOSE_RESPONSE);
	assert_true(lives(&r));
	rig_clear(&r);
	process_kill(&p);
}

/* Guards against bytes that are no response and show life, as they name the process. */
static void an_answer_with_an_invalid_status_shows_no_life(void **state)
{
	process_t p;
	rig_t r;

	(void)state;
	process_start(&p, 0);
	rig_init(&r);
	begin(&r, &p);
	process_tell(&p, BE_INVALID);
	process_tell(&p, CLOSE_RESPONSE);
	assert_false(lives(&r));
	rig_clear(&r);
	process_kill(&p);
}

static void a_freed_witness_calls_nobody(void **state)
{
	process_t p;
	rig_t r;

	(void)state;
	process_start(&p, 0);
	rig_init(&r);
	begin(&r, &p);
	ap_http_witness_free(r.witness);
	r.witness = NULL;
	process_kill(&p);
	run_for(&r, 100 * AP_MSEC);
	assert_int_equal(r.ended, 1);
	assert_int_equal(r.told, 0);
	rig_clear(&r);
	ap_http_witness_free(NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_process_that_closes_only_the_response_lives_on),
		cmocka_unit_test(a_process_that_was_killed_does_not_live_on),
		cmocka_unit_test(nor_does_one_that_is_started_again_at_once),
		cmocka_unit_test(a_kept_connection_shows_life_where_new_ones_are_refused),
		cmocka_unit_test(a_stopped_process_lives_on),
		cmocka_unit_test(where_no_connection_is_made_in_time_none_shows_life),
		cmocka_unit_test(a_process_at_an_ipv6_address_lives_on),
		cmocka_unit_test(an_answer_with_an_invalid_status_shows_no_life),
		cmocka_unit_test(a_freed_witness_calls_nobody),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
