/*
 * Responses without framing, from processes that end, start again at the same address, or close
 * only the connection: whether the process that responded lives on.
 */
#include "http/http.h"
#include "log/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define LIMIT (200 * AP_MSEC)
#define TIME_LIMIT (10 * AP_SEC)
#define KILLS 20
#define DESCRIPTORS 200
#define CONNS_MAX 16
#define BACKLOG 8
#define RESPONSE "HTTP/1.1 200 OK\r\n\r\npart"
#define FRAMED "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull"
#define IDLE_CLOSED (1500 * AP_MSEC) /* until an idle connection that was closed is open again */

/* What the process is told through its pipe. */
enum {
	CLOSE_RESPONSE = 'r',
	CLOSE_OTHERS = 'o',
	CLOSE_LISTENER = 'l',
	ACCEPT_NOTHING = 'n',
};

/* An upstream that is a process: responds on each connection that carries a request. */
typedef struct process {
	pid_t pid;
	int pipe;
	uint16_t port;
} process_t;

static int listen_at(uint16_t *port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(*port)};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(fd, BACKLOG), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	*port = ntohs(addr.sin_port);
	return fd;
}

typedef struct child {
	struct pollfd polls[CONNS_MAX + 2]; /* the pipe, the listener, connections */
	nfds_t n;
	int responding; /* connection of the response without framing */
} child_t;

static void child_obey(child_t *c)
{
	char what;

	if (read(c->polls[0].fd, &what, 1) != 1)
		_exit(EXIT_SUCCESS);
	if (what == CLOSE_LISTENER || what == ACCEPT_NOTHING) {
		if (what == CLOSE_LISTENER)
			close(c->polls[1].fd);
		c->polls[1].fd = -1;
		return;
	}
	for (nfds_t i = 2; i < c->n; i++) {
		if (c->polls[i].fd < 0 ||
		    (c->polls[i].fd == c->responding) != (what == CLOSE_RESPONSE))
			continue;
		close(c->polls[i].fd);
		c->polls[i].fd = -1;
	}
}

static void child_respond(child_t *c, int fd)
{
	char request[4096];
	ssize_t n = read(fd, request, sizeof(request) - 1);
	const char *response = RESPONSE;

	if (n <= 0)
		return;
	request[n] = '\0';
	if (strstr(request, "/framed"))
		response = FRAMED;
	else
		c->responding = fd;
	if (write(fd, response, strlen(response)) < 0)
		_exit(EXIT_FAILURE);
}

static void child_run(int listener, int pipe)
{
	child_t c = {.polls = {{.fd = pipe, .events = POLLIN}, {.fd = listener, .events = POLLIN}},
		     .n = 2,
		     .responding = -1};

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (int i = 0; i < DESCRIPTORS; i++)
		(void)dup(pipe);
	while (poll(c.polls, c.n, -1) > 0) {
		if (c.polls[0].revents)
			child_obey(&c);
		for (nfds_t i = 2; i < c.n; i++) {
			if (c.polls[i].fd >= 0 && (c.polls[i].revents & POLLIN))
				child_respond(&c, c.polls[i].fd);
		}
		if (c.polls[1].fd >= 0 && c.polls[1].revents && c.n < CONNS_MAX + 2)
			c.polls[c.n++] = (struct pollfd){.fd = accept(c.polls[1].fd, NULL, NULL),
							 .events = POLLIN};
	}
	_exit(EXIT_SUCCESS);
}

static void process_run(process_t *p, int listener)
{
	int ends[2];

	assert_int_equal(pipe(ends), 0);
	p->pid = fork();
	if (p->pid == 0) {
		close(ends[1]);
		child_run(listener, ends[0]);
	}
	close(listener);
	close(ends[0]);
	p->pipe = ends[1];
}

static void process_start(process_t *p, uint16_t port)
{
	p->port = port;
	process_run(p, listen_at(&p->port));
}

static void process_kill(process_t *p)
{
	assert_int_equal(kill(p->pid, SIGKILL), 0);
	waitpid(p->pid, NULL, 0);
	close(p->pipe);
}

static void process_tell(const process_t *p, char what)
{
	assert_int_equal(write(p->pipe, &what, 1), 1);
}

typedef struct rig {
	struct event_base *base;
	ap_http_client_t *client;
	const char *host;
	ap_http_fetch_t *fetch;
	ap_http_witness_t *witness;
	int heads;
	bool framed;
	int ended;
	ap_http_end_t end;
	int told;
	bool lives;
} rig_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	rig_t *r = ctx;

	r->heads++;
	r->framed = head->framed;
	if (!head->framed)
		r->witness = ap_http_witness_new(r->fetch);
}

static void on_told(void *ctx, bool lives)
{
	rig_t *r = ctx;

	r->witness = NULL;
	r->told++;
	r->lives = lives;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	rig_t *r = ctx;

	(void)written;
	r->ended++;
	r->end = end;
	if (r->witness)
		ap_http_witness_ask(r->witness, LIMIT, r, on_told);
}

static void rig_init(rig_t *r)
{
	*r = (rig_t){.base = ap_http_base_new(), .host = "127.0.0.1"};
	r->client = ap_http_client_new(r->base);
}

static void rig_clear(rig_t *r)
{
	ap_http_witness_free(r->witness);
	ap_http_client_free(r->client);
	event_base_free(r->base);
}

static void rig_send(rig_t *r, uint16_t port, const char *target)
{
	ap_http_fetch_config_t config = {
		.host = r->host,
		.port = port,
		.method = EVHTTP_REQ_GET,
		.target = target,
		.lenient = true,
		.no_probe = true,
		.first_byte = TIME_LIMIT,
		.between_chunks = TIME_LIMIT,
		.idle = TIME_LIMIT,
		.response_max = 1 << 20,
		.ctx = r,
		.head = on_head,
		.end = on_end,
	};

	r->fetch = ap_http_fetch(r->client, &config);
	assert_non_null(r->fetch);
}

static void run_for(rig_t *r, ap_usec_t span)
{
	struct timeval tv = ap_timeval(span);

	event_base_loopexit(r->base, &tv);
	event_base_dispatch(r->base);
}

static void run_until(rig_t *r, const int *count)
{
	ap_usec_t start = ap_now();
	int before = *count;

	while (*count == before && ap_now() - start < TIME_LIMIT)
		run_for(r, AP_MSEC);
	assert_int_equal(*count, before + 1);
}

/* Begins a response without framing. */
static void begin(rig_t *r, const process_t *p)
{
	rig_send(r, p->port, "/");
	run_until(r, &r->heads);
	assert_false(r->framed);
	assert_non_null(r->witness);
	run_for(r, 20 * AP_MSEC);
}

static bool lives(rig_t *r)
{
	run_until(r, &r->told);
	assert_int_equal(r->ended, 1);
	assert_int_equal(r->end, AP_HTTP_CLOSED);
	return r->lives;
}

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
		cmocka_unit_test(a_freed_witness_calls_nobody),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
