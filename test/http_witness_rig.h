/*
 * A process that responds without framing, and a request to it with a witness beside its response;
 * for http_witness_test.c and http_witness_relay_test.c.
 */
#ifndef HTTP_WITNESS_RIG_H
#define HTTP_WITNESS_RIG_H

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
#define DESCRIPTORS 200
#define CONNS_MAX 16
#define BACKLOG 8
#define RESPONSE "HTTP/1.1 200 OK\r\n\r\npart"
#define INSTANCE "i-1"
#define HEALTH "HTTP/1.1 200 OK\r\nInstance-Id: " INSTANCE "\r\nContent-Length: 0\r\n\r\n"
#define ANOTHER "HTTP/1.1 200 OK\r\ninstance-id:i-11\r\nContent-Length: 0\r\n\r\n"
#define REFUSAL "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define INVALID "HTTP/1.1 999 OK\r\nInstance-Id: " INSTANCE "\r\nContent-Length: 0\r\n\r\n"
#define FRAMED "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull"

/* What the process is told through its pipe. */
enum {
	CLOSE_RESPONSE = 'r',
	CLOSE_OTHERS = 'o',
	CLOSE_LISTENER = 'l',
	ACCEPT_NOTHING = 'n',
	NAME_ANOTHER = 'i', /* its health checks name another process, */
	REFUSE = 'f',	    /* or are refused, */
	BE_INVALID = 'v',   /* or have an invalid status */
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
	const char *health;
	int responding; /* connection of the response without framing */
} child_t;

static void child_obey(child_t *c)
{
	char what;

	if (read(c->polls[0].fd, &what, 1) != 1)
		_exit(EXIT_SUCCESS);
	if (what == NAME_ANOTHER || what == REFUSE) {
		c->health = what == REFUSE ? REFUSAL : ANOTHER;
		return;
	}
	if (what == BE_INVALID) {
		c->health = INVALID;
		return;
	}
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
	if (strstr(request, "/health"))
		response = c->health;
	else if (strstr(request, "/framed"))
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
		     .health = HEALTH,
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
	const char *path; /* of the health check */
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
	const ap_http_witness_question_t question = {.id_name = "Instance-Id",
						     .id = INSTANCE,
						     .path = r->path,
						     .limit = LIMIT,
						     .ctx = r,
						     .done = on_told};

	(void)written;
	r->ended++;
	r->end = end;
	if (r->witness)
		ap_http_witness_ask(r->witness, &question);
}

static void rig_init(rig_t *r)
{
	*r = (rig_t){.base = ap_http_base_new(), .host = "127.0.0.1", .path = "/health"};
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

#endif
