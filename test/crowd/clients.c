/* The process of the clients. */
#include "crowd.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define WRITE_BYTES (64 << 10)
#define SEND_MAX (6 * AP_SEC) /* below the time in which a request has to arrive */
#define READ_MAX (64 << 10)
#define READ_EVERY_MS 5
#define TURN_MS 3	 /* between clients that send in turn */
#define READ_WINDOW 4096 /* bytes; so that the kernel holds little that isn't read */

typedef struct client {
	int fd;
	size_t head;	/* bytes of the head left */
	size_t left;	/* bytes of the repeated part left */
	size_t at;	/* next byte within the repeated part */
	char text[512]; /* the head */
	size_t text_len;
} client_t;

static int connect_to(uint16_t port, bool small_window)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int window = READ_WINDOW;
	int one = 1;

	if (fd < 0)
		_exit(EXIT_FAILURE);
	if (small_window)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	/* Refused by a process that has ended, which the test notices. */
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Returns false once nothing more is to be sent, as all is, or the server has closed. */
static bool send_some(client_t *c, const form_t *form, const char *pattern, size_t unit)
{
	size_t len = form->alone ? unit : WRITE_BYTES;
	ssize_t sent;

	if (c->head > 0) {
		sent = send(c->fd, c->text + c->text_len - c->head, c->head, MSG_NOSIGNAL);
		if (sent > 0)
			c->head -= (size_t)sent;
		return sent > 0 || errno == EAGAIN;
	}
	if (c->left == 0 || unit == 0)
		return false;
	len = len < c->left ? len : c->left;
	sent = send(c->fd, pattern + c->at, len, MSG_NOSIGNAL);
	if (sent <= 0)
		return sent < 0 && errno == EAGAIN;
	c->left -= (size_t)sent;
	c->at = (c->at + (size_t)sent) % unit;
	return c->left > 0;
}

static void read_all(const client_t *clients, const crowd_t *crowd)
{
	char bytes[READ_MAX];
	size_t len = crowd->reads;

	for (size_t i = 0; len > 0 && i < crowd->n; i++)
		(void)!recv(clients[i].fd, bytes, len < READ_MAX ? len : READ_MAX, MSG_DONTWAIT);
}

static bool is_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);

	return n == 0 || (n < 0 && errno != EAGAIN);
}

static uint16_t port_of(const crowd_t *crowd, size_t i)
{
	return (uint16_t)(crowd->first_port + crowd->from + i % (crowd->to - crowd->from + 1));
}

static void open_again(client_t *clients, const crowd_t *crowd)
{
	for (size_t i = 0; crowd->again && i < crowd->n; i++) {
		if (!is_closed(clients[i].fd))
			continue;
		close(clients[i].fd);
		clients[i].fd = connect_to(port_of(crowd, i), crowd->window);
	}
}

static void run_crowd(const crowd_t *crowd, int done)
{
	const form_t *form = crowd->form;
	size_t unit = strlen(form->repeat);
	char *pattern = malloc(unit + WRITE_BYTES + 1);
	client_t *clients = calloc(crowd->n, sizeof(*clients));
	bool *open = calloc(crowd->n, sizeof(*open));
	ap_usec_t until = ap_now() + SEND_MAX;
	bool more = true;

	if (!pattern || !clients || !open)
		_exit(EXIT_FAILURE);
	for (size_t i = 0; unit > 0 && i < unit + WRITE_BYTES; i++)
		pattern[i] = form->repeat[i % unit];
	for (size_t i = 0; i < crowd->n; i++) {
		client_t *c = &clients[i];

		c->fd = connect_to(port_of(crowd, i), crowd->window);
		c->text_len = (size_t)snprintf(c->text, sizeof(c->text), form->head, (unsigned)i);
		c->head = c->text_len;
		c->left = unit * form->times;
		open[i] = c->fd >= 0;
	}
	for (size_t i = 0; crowd->in_turn && i < crowd->n; i++) {
		while (open[i] && ap_now() < until)
			open[i] = send_some(&clients[i], form, pattern, unit);
		poll(NULL, 0, TURN_MS);
	}
	while (more && ap_now() < until) {
		more = false;
		read_all(clients, crowd);
		for (size_t i = 0; i < crowd->n; i++) {
			if (open[i])
				open[i] = send_some(&clients[i], form, pattern, unit);
			more |= open[i];
		}
		poll(NULL, 0, 1);
	}
	if (write(done, "", 1) != 1)
		_exit(EXIT_FAILURE);
	for (;;) {
		read_all(clients, crowd);
		open_again(clients, crowd);
		poll(NULL, 0, READ_EVERY_MS);
	}
}

pid_t crowd_start(const crowd_t *crowd, int *done)
{
	int fds[2];
	pid_t pid;

	assert_int_equal(pipe(fds), 0);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fds[1], STDIN_FILENO);
		close_range(STDERR_FILENO + 1, ~0U, 0);
		run_crowd(crowd, STDIN_FILENO);
	}
	close(fds[1]);
	*done = fds[0];
	return pid;
}
