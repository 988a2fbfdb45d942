/*
 * Requests with a body, of every method, framed by a length or in chunks, over real sockets: what
 * the server takes for a request, and what the client writes.
 */
#include "http_rig.h"
#include "raw_upstream.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#define LIMIT (2 * AP_SEC)
#define INNER "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
#define TEXT_MAX 1024

typedef struct method {
	const char *name;
	enum evhttp_cmd_type type;
} method_t;

static const method_t methods[] = {
	{"GET", EVHTTP_REQ_GET},	 {"HEAD", EVHTTP_REQ_HEAD},   {"POST", EVHTTP_REQ_POST},
	{"PUT", EVHTTP_REQ_PUT},	 {"PATCH", EVHTTP_REQ_PATCH}, {"DELETE", EVHTTP_REQ_DELETE},
	{"OPTIONS", EVHTTP_REQ_OPTIONS},
};

#define N_METHODS (sizeof(methods) / sizeof(methods[0]))

/* Requests as the server's owner sees them; each gets an empty response. */
typedef struct seen {
	server_seen_t base;
	int inner;
	int whole; /* with the whole body */
	int refused;
} seen_t;

static void take_request(void *ctx, ap_http_call_t *call)
{
	seen_t *seen = ctx;
	size_t len;
	const char *body = ap_http_call_body(call, &len);

	seen->base.requests++;
	seen->inner += strcmp(ap_http_call_path(call), "/inner") == 0;
	seen->whole += len == strlen(INNER) && memcmp(body, INNER, len) == 0;
	ap_http_reply(call, 200, NULL, 0, NULL, 0);
}

static void take_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	seen_t *seen = ctx;

	(void)why;
	seen->refused++;
	ap_http_reply(call, 400, NULL, 0, NULL, 0);
}

static seen_t send_to_server(const char *text)
{
	seen_t seen = {.base.base = ap_http_base_new()};
	ap_http_server_config_t config = {
		.base = seen.base.base,
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = 4096,
		.idle = 5 * AP_SEC,
		.ctx = &seen,
		.request = take_request,
		.refused = take_refused,
	};
	ap_http_server_t *server = NULL;
	struct bufferevent *bev;

	assert_int_equal(ap_http_server_new(&config, &server, NULL), AP_HTTP_STATUS_OK);
	bev = start_connect(seen.base.base, ap_http_server_port(server), text);
	for (int i = 0; i < 5; i++)
		run_briefly(seen.base.base);
	bufferevent_free(bev);
	ap_http_server_free(server);
	event_base_free(seen.base.base);
	return seen;
}

static void print_request(char *out, const method_t *method, const char *framing, bool chunks)
{
	int n = snprintf(out, TEXT_MAX, "%s /outer HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", method->name,
			 framing);

	if (chunks)
		snprintf(out + n, TEXT_MAX - (size_t)n, "%zx\r\n%s\r\n0\r\n\r\n", strlen(INNER),
			 INNER);
	else
		snprintf(out + n, TEXT_MAX - (size_t)n, "%s", INNER);
}

/*
 * Guards against a body that the library leaves unread for some methods or codings, so that a
 * request in it is served as one that nobody sent.
 */
static void a_body_is_never_taken_for_the_next_request(void **state)
{
	char length[64];
	const struct {
		const char *framing;
		bool chunks;
		bool refused; /* for all methods */
	} framings[] = {
		{length, false, false},
		{"Transfer-Encoding: chunked", true, false},
		{"Transfer-Encoding: Chunked", true, false},
		{"Transfer-Encoding: gzip", false, true},
		{"Transfer-Encoding: gzip, chunked", true, true},
		{"Transfer-Encoding: chunked, gzip", true, true},
		{"Transfer-Encoding: identity", false, true},
		{"Transfer-Encoding: chunked\r\nContent-Length: 3", true, true},
		{"Content-Length: 3\r\nContent-Length: 200", false, true},
		{"Content-Length: +3", false, true},
		{"Content-Length: 3, 3", false, true},
		{"Content-Length: 0x10", false, true},
		{"Content-Length: -1", false, true},
		{"Content-Length:", false, true},
	};

	int bad = 0;

	(void)state;
	snprintf(length, sizeof(length), "Content-Length: %zu", strlen(INNER));
	for (size_t m = 0; m < N_METHODS; m++) {
		for (size_t f = 0; f < sizeof(framings) / sizeof(framings[0]); f++) {
			char text[TEXT_MAX];
			seen_t seen;

			print_request(text, &methods[m], framings[f].framing, framings[f].chunks);
			seen = send_to_server(text);
			print_message("%s, %s: %d requests, %d whole, %d inner, %d refused\n",
				      methods[m].name, framings[f].framing, seen.base.requests,
				      seen.whole, seen.inner, seen.refused);
			bad += seen.inner > 0 ||
			       (framings[f].refused || seen.refused
					? seen.base.requests != 0 || seen.refused != 1
					: seen.base.requests != 1 || seen.whole != 1);
		}
	}
	assert_int_equal(bad, 0);
}

/* Reads what the client writes until nothing more comes for a while. */
static size_t read_request(raw_upstream_t *r, int fd, char *out)
{
	size_t len = 0;

	for (int i = 0; i < 4; i++) {
		ssize_t n;

		run_briefly(r->base);
		n = recv(fd, out + len, TEXT_MAX - 1 - len, MSG_DONTWAIT);
		if (n > 0)
			len += (size_t)n;
	}
	out[len] = '\0';
	return len;
}

static const char *next_header(const char *text, const char *name)
{
	return strcasestr(text, name);
}

/* Returns how many headers of @text are named @name. */
static int count_headers(const char *text, const char *name)
{
	int n = 0;

	while ((text = next_header(text, name)) != NULL) {
		n++;
		text += strlen(name);
	}
	return n;
}

/* @framing: a header that the request was given */
static void check_written(const method_t *method, const char *body, const ap_http_header_t *framing)
{
	raw_upstream_t r;
	char text[TEXT_MAX];
	char expected[64];
	const char *end;
	int fd;
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.method = method->type,
		.target = "/outer",
		.headers = framing,
		.n_headers = framing ? 1 : 0,
		.body = body,
		.len = strlen(body),
		.no_probe = true,
		.first_byte = LIMIT,
		.between_chunks = LIMIT,
		.response_max = 1 << 20,
		.end = raw_upstream_on_end,
	};

	raw_upstream_init(&r, 0);
	config.port = r.port;
	config.ctx = &r;
	assert_non_null(ap_http_fetch(r.client, &config));
	fd = raw_upstream_accept(&r);
	read_request(&r, fd, text);
	end = strstr(text, "\r\n\r\n");
	assert_non_null(end);
	assert_int_equal(strncmp(text, method->name, strlen(method->name)), 0);
	assert_string_equal(end + 4, body);
	assert_int_equal(count_headers(text, "\r\nTransfer-Encoding:"), 0);
	snprintf(expected, sizeof(expected), "\r\nContent-Length: %zu\r\n", strlen(body));
	assert_true(count_headers(text, "\r\nContent-Length:") == 1 ||
		    (body[0] == '\0' && count_headers(text, "\r\nContent-Length:") == 0));
	if (body[0] != '\0' && !strstr(text, expected))
		fail_msg("%s without its length: %s", method->name, text);
	close(fd);
	raw_upstream_clear(&r);
}

/* Guards against a body that goes out unframed, which the upstream runs as its next request. */
static void the_client_states_the_length_for_every_method(void **state)
{
	static const ap_http_header_t framings[] = {
		{"Content-Length", "3"},
		{"content-length", "0"},
		{"Transfer-Encoding", "chunked"},
	};

	(void)state;
	for (size_t m = 0; m < N_METHODS; m++) {
		check_written(&methods[m], "x", NULL);
		check_written(&methods[m], "", NULL);
		for (size_t f = 0; f < sizeof(framings) / sizeof(framings[0]); f++) {
			check_written(&methods[m], "x=1&y=2", &framings[f]);
			check_written(&methods[m], "", &framings[f]);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_body_is_never_taken_for_the_next_request),
		cmocka_unit_test(the_client_states_the_length_for_every_method),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
