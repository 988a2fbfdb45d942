/*
 * Forms of heads and chunks with random changes from a fixed seed, or one that the argument names:
 * no more requests are run than a strict reader finds, and as many reach an upstream as the server
 * takes.
 */
#include "act.h"
#include "forms.h"
#include "http_rig.h"

#include <ctype.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define ROUNDS 1500
#define CHANGES_MAX 4
#define LAST_TURN (2 * AP_MSEC)
#define TURNS 3

/* A reader of requests as RFC 9112 has them. */
typedef struct reader {
	const char *at;
	const char *end;
	bool malformed; /* or what is there isn't whole */
	bool old;	/* HTTP/1.0 */
	unsigned codings;
	unsigned lengths;
	bool chunked;
	bool trailers; /* the last chunk is read; what follows frames nothing */
	size_t length;
} reader_t;

/* Returns the length of the line at @r->at, which is passed. */
static size_t read_line(reader_t *r, const char **line)
{
	const char *stop = memchr(r->at, '\n', (size_t)(r->end - r->at));
	size_t len;

	*line = r->at;
	if (!stop) {
		r->malformed = true;
		return 0;
	}
	len = (size_t)(stop - r->at);
	r->at = stop + 1;
	if (len > 0 && (*line)[len - 1] == '\r')
		len--;
	r->malformed |= memchr(*line, '\r', len) || memchr(*line, '\0', len);
	return len;
}

static bool is_name(const char *name, size_t len, const char *wanted)
{
	return len == strlen(wanted) && strncasecmp(name, wanted, len) == 0;
}

/* Returns the bytes of @text but for blanks around it, which are passed. */
static size_t trim(const char **text, size_t len)
{
	while (len > 0 && isblank((unsigned char)**text)) {
		(*text)++;
		len--;
	}
	while (len > 0 && isblank((unsigned char)(*text)[len - 1]))
		len--;
	return len;
}

static void read_field(reader_t *r, const char *line, size_t len)
{
	static const char marks[] = "!#$%&'*+-.^_`|~";
	size_t name = 0;
	const char *value;

	while (name < len && (isalnum((unsigned char)line[name]) ||
			      (line[name] != '\0' && strchr(marks, line[name]))))
		name++;
	if (name == 0 || name == len || line[name] != ':') {
		r->malformed = true;
		return;
	}
	if (r->trailers)
		return;
	value = line + name + 1;
	len = trim(&value, len - name - 1);
	if (is_name(line, name, "Transfer-Encoding")) {
		r->codings++;
		r->chunked = is_name(value, len, "chunked");
	}
	if (is_name(line, name, "Content-Length")) {
		r->lengths++;
		r->malformed |= len == 0 || len > 9 || strspn(value, "0123456789") < len;
		r->length = strtoull(value, NULL, 10);
	}
}

static void read_fields(reader_t *r)
{
	const char *line;
	size_t len = read_line(r, &line);

	while (!r->malformed && len > 0) {
		read_field(r, line, len);
		len = read_line(r, &line);
	}
}

static void pass(reader_t *r, size_t len)
{
	r->malformed |= len > (size_t)(r->end - r->at);
	if (!r->malformed)
		r->at += len;
}

static void read_chunks(reader_t *r)
{
	size_t size = 1;

	while (!r->malformed && size > 0) {
		const char *line;
		size_t len = read_line(r, &line);
		size_t digits = strspn(line, "0123456789abcdefABCDEF");

		if (r->malformed || digits == 0 || digits > len || digits > 9 ||
		    (digits < len && !strchr(" \t;", line[digits]))) {
			r->malformed = true;
			return;
		}
		size = strtoull(line, NULL, 16);
		if (size == 0)
			break;
		pass(r, size);
		if (!r->malformed && read_line(r, &line) > 0)
			r->malformed = true;
	}
	r->trailers = true;
	if (!r->malformed)
		read_fields(r);
}

/* Passes a request. Return: whether there is one. */
static bool read_request(reader_t *r)
{
	reader_t fresh = {.at = r->at, .end = r->end};
	const char *line;
	size_t len;

	*r = fresh;
	do
		len = read_line(r, &line);
	while (!r->malformed && len == 0);
	if (r->malformed)
		return false;
	r->old = len >= 3 && memcmp(line + len - 3, "1.0", 3) == 0;
	read_fields(r);
	if (r->malformed || r->codings + r->lengths > 1 || (r->codings && !r->chunked))
		return false;
	if (r->codings)
		read_chunks(r);
	else
		pass(r, r->length);
	return !r->malformed;
}

/* Returns how many requests are in @text. */
static int count_requests(const char *text, size_t len)
{
	reader_t r = {.at = text, .end = text + len};
	int n = 0;

	while (read_request(&r))
		n++;
	return n;
}

static uint64_t seed = 20261206;

typedef struct path {
	struct event_base *base;
	ap_http_server_t *server;
	ap_http_server_t *upstream;
	ap_http_client_t *client;
	int taken;
	int arrived; /* at the upstream */
	int open;    /* on their way */
} path_t;

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	path_t *path = ctx;

	(void)end;
	(void)written;
	path->open--;
}

/* Sends the request on, with its body. */
static void take_request(void *ctx, ap_http_call_t *call)
{
	path_t *path = ctx;
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = ap_http_server_port(path->upstream),
		.method = ap_http_call_method(call),
		.target = "/",
		.lenient = true,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = AP_SEC,
		.between_chunks = AP_SEC,
		.idle = AP_SEC,
		.response_max = TEXT_MAX,
		.ctx = path,
		.end = on_end,
	};

	config.body = ap_http_call_body(call, &config.len);
	path->taken++;
	path->open++;
	assert_non_null(ap_http_fetch(path->client, &config));
	ap_http_reply(call, 200, NULL, 0, NULL, 0);
}

static void take_arrived(void *ctx, ap_http_call_t *call)
{
	path_t *path = ctx;

	path->arrived++;
	ap_http_reply(call, 200, NULL, 0, NULL, 0);
}

static ap_http_server_t *start(path_t *path, void (*request)(void *ctx, ap_http_call_t *call))
{
	ap_http_server_config_t config = {
		.base = path->base,
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = 4096,
		.idle = 5 * AP_SEC,
		.ctx = path,
		.request = request,
	};
	ap_http_server_t *server = NULL;

	assert_int_equal(ap_http_server_new(&config, &server, NULL), AP_HTTP_STATUS_OK);
	return server;
}

/* Replaces, removes or inserts a byte. Returns the new length. */
static size_t change(ap_rng_t *rng, char text[TEXT_MAX], size_t len)
{
	static const char odd[] = " \t\r\n:;,+-0x19afFz(\"\\\0";
	size_t at = (size_t)ap_rng_below(rng, len);
	char byte = ap_rng_below(rng, 4) == 0 ? (char)ap_rng_below(rng, 256)
					      : odd[ap_rng_below(rng, sizeof(odd))];

	switch (ap_rng_below(rng, 3)) {
	case 0:
		text[at] = byte;
		return len;
	case 1:
		memmove(text + at, text + at + 1, len - at - 1);
		return len - 1;
	default:
		memmove(text + at + 1, text + at, len - at);
		text[at] = byte;
		return len + 1;
	}
}

static size_t draw(ap_rng_t *rng, char text[TEXT_MAX])
{
	size_t len = forms_write(text, "", methods[ap_rng_below(rng, N_METHODS)],
				 &forms[ap_rng_below(rng, N_FORMS)]);

	for (uint64_t n = ap_rng_below(rng, CHANGES_MAX + 1); n > 0; n--)
		len = change(rng, text, len);
	return len;
}

static void play(path_t *path, const char *text, size_t len)
{
	int fd = act_connect(ap_http_server_port(path->server));

	path->taken = 0;
	path->arrived = 0;
	assert_int_equal(send(fd, text, len, MSG_NOSIGNAL), (ssize_t)len);
	for (int i = 0; i < TURNS || path->open > 0; i++)
		act_run(path->base, LAST_TURN);
	close(fd);
	act_run(path->base, 0);
}

static void print_bytes(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		print_message(isprint(c) || c == '\n' ? "%c" : "\\x%02x", c);
	}
	print_message("\n--\n");
}

/* Guards against UNASKED: a request that the caller hasn't sent, or one that is lost on the way. */
static void no_change_makes_a_request_of_a_body(void **state)
{
	path_t path = {.base = ap_http_base_new()};
	unsigned long taken = 0;
	ap_rng_t rng;
	int bad = 0;

	(void)state;
	ap_rng_seed(&rng, seed);
	path.client = ap_http_client_new(path.base);
	path.upstream = start(&path, take_arrived);
	path.server = start(&path, take_request);
	for (int i = 0; i < ROUNDS; i++) {
		char text[TEXT_MAX];
		size_t len = draw(&rng, text);
		int sent = count_requests(text, len);

		play(&path, text, len);
		taken += (unsigned long)path.taken;
		if (path.taken <= sent && path.arrived == path.taken)
			continue;
		bad++;
		print_message("round %d: %d sent, %d taken, %d at the upstream:\n", i, sent,
			      path.taken, path.arrived);
		print_bytes(text, len);
	}
	assert_int_equal(bad, 0);
	assert_true(taken > ROUNDS / 10);
	ap_http_server_free(path.server);
	ap_http_client_free(path.client);
	ap_http_server_free(path.upstream);
	event_base_free(path.base);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_change_makes_a_request_of_a_body),
	};

	if (argc > 1)
		seed = strtoull(argv[1], NULL, 10);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
