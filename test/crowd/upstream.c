/* The process of an upstream: one thread a connection. */
#include "crowd.h"

#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 4096
#define HEAD_MAX (128 << 10)
#define WRITE_BYTES (64 << 10)
#define STACK_BYTES (256 << 10)
#define SMALL "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok"

typedef struct request_head {
	char id[32];
	bool large;
} request_head_t;

typedef struct conn {
	const source_t *source;
	int fd;
} conn_t;

static bool discard(int fd, size_t len)
{
	char bytes[WRITE_BYTES];

	while (len > 0) {
		ssize_t n = recv(fd, bytes, len < sizeof(bytes) ? len : sizeof(bytes), 0);

		if (n <= 0)
			return false;
		len -= (size_t)n;
	}
	return true;
}

/* Reads one request, its body included. */
static bool read_request(int fd, char *text, request_head_t *head)
{
	const char *field;
	char *end = NULL;
	size_t len = 0;
	size_t body = 0;

	while (!end) {
		ssize_t n = recv(fd, text + len, HEAD_MAX - 1 - len, 0);

		if (n <= 0)
			return false;
		len += (size_t)n;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
	}
	end += strlen("\r\n\r\n");
	field = strcasestr(text, "\r\nRequest-Id: ");
	*head = (request_head_t){.large = strstr(text, "large") < strstr(text, "\r\n") &&
					  strstr(text, "large")};
	if (field)
		(void)sscanf(field + strlen("\r\nRequest-Id: "), "%31[^\r]", head->id);
	field = strcasestr(text, "\r\nContent-Length: ");
	if (field)
		body = strtoul(field + strlen("\r\nContent-Length: "), NULL, 10);
	return discard(fd, body - (size_t)(text + len - end));
}

static bool send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

static bool send_head(int fd, const char *format, const char *id)
{
	char head[8192];
	int len = snprintf(head, sizeof(head), format, id);

	return send_all(fd, head, (size_t)len);
}

static bool send_large(const conn_t *c, const char *id)
{
	size_t unit = strlen(c->source->repeat);
	size_t len = WRITE_BYTES - WRITE_BYTES % unit;
	size_t left = c->source->bytes;
	char bytes[WRITE_BYTES];
	char rest;

	for (size_t i = 0; i < len; i++)
		bytes[i] = c->source->repeat[i % unit];
	if (!send_head(c->fd, c->source->head, id))
		return false;
	for (; left > 0; left -= left < len ? left : len) {
		if (!send_all(c->fd, bytes, left < len ? left : len))
			return false;
	}
	return !c->source->stops || recv(c->fd, &rest, 1, 0) > 0;
}

static void *serve(void *arg)
{
	conn_t c = *(conn_t *)arg;
	char *text = malloc(HEAD_MAX);
	request_head_t head;

	free(arg);
	while (text && read_request(c.fd, text, &head) &&
	       (head.large ? send_large(&c, head.id) : send_head(c.fd, SMALL, head.id)))
		;
	free(text);
	close(c.fd);
	return NULL;
}

static void accept_all(const source_t *source, int listener)
{
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	for (;;) {
		conn_t *c = calloc(1, sizeof(*c));
		pthread_t thread;

		if (!c)
			abort();
		*c = (conn_t){.source = source, .fd = accept(listener, NULL, NULL)};
		if (c->fd >= 0 && pthread_create(&thread, &attr, serve, c) == 0)
			continue;
		close(c->fd);
		free(c);
	}
}

pid_t source_start(const source_t *source, uint16_t *port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	socklen_t len = sizeof(addr);
	pid_t pid;

	assert_int_equal(bind(listener, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(listener, BACKLOG), 0);
	assert_int_equal(getsockname(listener, (struct sockaddr *)&addr, &len), 0);
	*port = ntohs(addr.sin_port);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		accept_all(source, listener);
	}
	close(listener);
	return pid;
}
