/*
 * One caller in calm, inside the limits of the platform: many fields in a head, and what the limits
 * of a configuration allow.
 */
#include "crowd.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define FIELD "X-Field: v\r\n"
#define RESPONSE_FIELDS 200
#define ANSWER_MAX (10 * AP_SEC)
#define IN_FORCE (1500 * AP_MSEC) /* until a version that was written is */
#define DEFAULT_HEAD 16300	  /* bytes; inside the default of the pages, 16,384 */

#define SMALL_CHUNK "1\r\nb\r\n"
#define SMALL_CHUNKS 2200000 /* together over three quarters of the budget, their data far less */

typedef enum framing {
	NO_BODY,
	LENGTH,
	CHUNKED,
	ONE_BYTE, /* chunks of one byte */
	EXTENDED, /* one chunk with an extension, which nobody has to know */
} framing_t;

/* A request with a head of @head bytes and a body of @body bytes. */
typedef struct asked {
	size_t head;
	framing_t framing;
	size_t body;
} asked_t;

static const source_t small = {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n"
			       "Content-Length: 2\r\n\r\n",
			       "ok", 2, false};

static int connect_to(uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

/* Return: the text, to be freed, and its length. */
static char *format_request(const asked_t *asked, size_t *len)
{
	size_t unit = asked->framing == ONE_BYTE ? strlen(SMALL_CHUNK) : 1;
	char *text = malloc(asked->head + asked->body * unit + 512);
	size_t n;

	assert_non_null(text);
	n = (size_t)sprintf(text, "POST /idem/large HTTP/1.1\r\nHost: soak.example\r\n"
				  "Request-Id: calm\r\nDeadline-Ms: 6000\r\n");
	if (asked->framing == LENGTH)
		n += (size_t)sprintf(text + n, "Content-Length: %zu\r\n", asked->body);
	else if (asked->framing != NO_BODY)
		n += (size_t)sprintf(text + n, "Transfer-Encoding: chunked\r\n");
	while (n + strlen(FIELD) + strlen("\r\n") <= asked->head)
		n += (size_t)sprintf(text + n, FIELD);
	n += (size_t)sprintf(text + n, "\r\n");
	if (asked->framing == CHUNKED || asked->framing == EXTENDED)
		n += (size_t)sprintf(text + n, "%zx%s\r\n", asked->body,
				     asked->framing == EXTENDED ? ";name=value" : "");
	for (size_t i = 0; i < asked->body * unit; i++)
		text[n++] = unit > 1 ? SMALL_CHUNK[i % unit] : 'b';
	if (asked->framing == CHUNKED || asked->framing == EXTENDED)
		n += (size_t)sprintf(text + n, "\r\n0\r\n\r\n");
	else if (asked->framing == ONE_BYTE)
		n += (size_t)sprintf(text + n, "0\r\n\r\n");
	*len = n;
	return text;
}

/*
 * Runs the event loop, on which instances reach the store, until there is a head.
 *
 * Return: whether the connection was closed before.
 */
static bool exchange(soak_t *s, int fd, const char *text, size_t len, char *head, size_t size)
{
	ap_usec_t until = ap_now() + ANSWER_MAX;
	size_t sent = 0;
	size_t got = 0;

	head[0] = '\0';
	while (ap_now() < until && !strstr(head, "\r\n\r\n")) {
		ssize_t n = send(fd, text + sent, len - sent, MSG_DONTWAIT | MSG_NOSIGNAL);

		sent += n > 0 ? (size_t)n : 0;
		n = recv(fd, head + got, size - 1 - got, MSG_DONTWAIT);
		if (n == 0)
			return true;
		got += n > 0 ? (size_t)n : 0;
		head[got] = '\0';
		scenario_run(s, AP_MSEC);
	}
	return false;
}

/* Return: the status of the response, whose head is copied. */
static int ask(soak_t *s, const asked_t *asked, char *head, size_t size)
{
	int fd = connect_to(s->instances[0].port);
	size_t len;
	char *text = format_request(asked, &len);
	int status = 0;

	exchange(s, fd, text, len, head, size);
	(void)sscanf(head, "HTTP/1.1 %d", &status);
	free(text);
	close(fd);
	return status;
}

static soak_t *set_up(const source_t *source, place_t place, pid_t *upstream)
{
	void *state = NULL;
	uint16_t port;
	soak_t *s;

	scenario_set_up(&state);
	s = state;
	*upstream = source_start(source, &port);
	list_upstream(s, soak_pool(SOAK_IDEMPOTENT, false), place, port);
	scenario_run(s, LISTED);
	return s;
}

static void tear_down(soak_t *s, pid_t upstream)
{
	void *state = s;

	kill(upstream, SIGKILL);
	waitpid(upstream, NULL, 0);
	scenario_tear_down(&state);
}

static bool check(soak_t *s, const asked_t *asked, int expected)
{
	char head[65536];
	int status = ask(s, asked, head, sizeof(head));

	print_message("a head of %zu bytes, a body of %zu: %d, expected %d\n", asked->head,
		      asked->body, status, expected);
	return status == expected;
}

/* Guards against a limit that the pages don't name. */
void requests_with_many_fields(void **state)
{
	static const size_t heads[] = {4900, 10100, DEFAULT_HEAD};
	bool ok = true;
	pid_t upstream;

	(void)state;
	for (place_t place = EVERYWHERE; place <= NEIGHBOUR; place++) {
		soak_t *s = set_up(&small, place, &upstream);

		for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++)
			ok &= check(s, &(asked_t){heads[i], NO_BODY, 0}, 200);
		tear_down(s, upstream);
	}
	assert_true(ok);
}

/* Guards against refusing a body for the bytes of its framing, which nobody holds. */
void bodies_in_small_chunks(void **state)
{
	soak_t *s;
	pid_t upstream;
	bool ok;

	(void)state;
	s = set_up(&small, EVERYWHERE, &upstream);
	ok = check(s, &(asked_t){300, ONE_BYTE, SMALL_CHUNKS}, 200);
	tear_down(s, upstream);
	assert_true(ok);
}

/* RFC 9112, 7.1.1: a recipient ignores extensions that it doesn't know. */
void chunks_with_extensions(void **state)
{
	soak_t *s;
	pid_t upstream;
	bool ok;

	(void)state;
	s = set_up(&small, EVERYWHERE, &upstream);
	ok = check(s, &(asked_t){300, EXTENDED, 1000}, 200);
	tear_down(s, upstream);
	assert_true(ok);
}

/* Guards against a response that lacks what shows whose it is, as that came last. */
void responses_with_many_fields(void **state)
{
	char text[RESPONSE_FIELDS * sizeof(FIELD) + 256] = "HTTP/1.1 200 OK\r\n";
	source_t source = {text, "ok", 2, false};
	bool ok = true;
	pid_t upstream;

	(void)state;
	for (int i = 0; i < RESPONSE_FIELDS; i++)
		strcat(text, FIELD);
	strcat(text, "Content-Length: 2\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n");
	for (place_t place = EVERYWHERE; place <= NEIGHBOUR; place++) {
		soak_t *s = set_up(&source, place, &upstream);
		char head[65536];
		int status = ask(s, &(asked_t){0}, head, sizeof(head));

		print_message("%d fields: status %d, stamp %s\n", RESPONSE_FIELDS, status,
			      strstr(head, "Server-Stamp: s") ? "there" : "missing");
		ok &= status == 200 && strstr(head, "Server-Stamp: s");
		tear_down(s, upstream);
	}
	assert_true(ok);
}

static void publish_limits(soak_t *s, const char *limits)
{
	s->limits = limits;
	publish_config(s);
	scenario_run(s, IN_FORCE);
}

/* Larger limits are served, also behind another instance; lowered ones bind what begins then. */
void limits_of_the_configuration(void **state)
{
	bool ok = true;
	pid_t upstream;

	(void)state;
	scenario_memory_mb = CROWD_SMALLEST_MB;
	for (place_t place = EVERYWHERE; place <= NEIGHBOUR; place++) {
		soak_t *s = set_up(&small, place, &upstream);

		publish_limits(s, "{\"maxBodyBytes\":9999999,\"maxHeaderBytes\":65536}");
		ok &= check(s, &(asked_t){300, LENGTH, 9000000}, 200);
		ok &= check(s, &(asked_t){300, CHUNKED, 9000000}, 200);
		ok &= check(s, &(asked_t){50000, NO_BODY, 0}, 200);
		publish_limits(s, "{\"maxBodyBytes\":10000,\"maxHeaderBytes\":2000}");
		ok &= check(s, &(asked_t){300, LENGTH, 10000}, 200);
		ok &= check(s, &(asked_t){300, LENGTH, 10001}, 413);
		ok &= check(s, &(asked_t){300, CHUNKED, 10001}, 413);
		ok &= check(s, &(asked_t){1900, NO_BODY, 0}, 200);
		ok &= check(s, &(asked_t){5000, NO_BODY, 0}, 431);
		tear_down(s, upstream);
	}
	assert_true(ok);
}

/* Return: the status of the response to @text, after which nothing more is sent; 0 for a close. */
static int status_after(soak_t *s, const char *text)
{
	int fd = connect_to(s->instances[0].port);
	char head[4096];
	int status = -1;

	if (exchange(s, fd, text, strlen(text), head, sizeof(head)))
		status = 0;
	(void)sscanf(head, "HTTP/1.1 %d", &status);
	print_message("'%.20s': status %d\n", text, status);
	close(fd);
	return status;
}

/* Guards against clients that hold connections and parts of heads for longer than is allowed. */
void times_of_the_configuration(void **state)
{
	static const char head[] = "POST /idem/ HTTP/1.1\r\nHost: soak.example\r\n"
				   "Request-Id: calm\r\nContent-Length: 2\r\n\r\n";
	char answer[4096];
	pid_t upstream;
	soak_t *s;
	int fd;

	(void)state;
	s = set_up(&small, EVERYWHERE, &upstream);
	publish_limits(s, "{\"headerTimeoutMs\":600,\"idleTimeoutMs\":700}");
	assert_int_equal(status_after(s, "POST /idem/ HTTP/1.1\r\nHost: so"), 408);
	assert_int_equal(status_after(s, ""), 0);
	/* The time of a head doesn't bind its body. */
	fd = connect_to(s->instances[0].port);
	assert_int_equal(send(fd, head, strlen(head), MSG_NOSIGNAL), strlen(head));
	scenario_run(s, 2 * AP_SEC);
	exchange(s, fd, "ab", 2, answer, sizeof(answer));
	close(fd);
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	tear_down(s, upstream);
}
