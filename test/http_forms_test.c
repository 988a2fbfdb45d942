/* Forms of a request's head and chunks that two readers may take for two things, at the server. */
#include "act.h"
#include "forms.h"
#include "http_rig.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define SOON (10 * AP_MSEC)
#define TURNS 4
#define TURNS_MAX 100 /* for what is late on a busy machine */
#define BEFORE "POST /before HTTP/1.1\r\nHost: h\r\n"
#define CHUNKS "a\r\n012345678\n\r\n1\r\n\r\r\n00\r\nX-A: b\r\n\r\n"

typedef struct seen {
	struct event_base *base;
	int outer;
	int inner;
	int server;  /* requests about the server itself */
	int whole;   /* outer requests that had INNER as their body */
	int wrong;   /* outer requests with another target or host than that of all forms */
	int status;  /* of the last response; 0 for none */
	bool closed; /* by the server */
} seen_t;

static void take_request(void *ctx, ap_http_call_t *call)
{
	seen_t *seen = ctx;
	size_t len;
	const char *body = ap_http_call_body(call, &len);
	const char *host = ap_http_call_header(call, "Host");

	if (strcmp(ap_http_call_target(call), "*") == 0) {
		seen->server++;
	} else if (strcmp(ap_http_call_path(call), FORMS_INNER) == 0) {
		seen->inner++;
	} else if (strcmp(ap_http_call_path(call), "/before") != 0) {
		seen->outer++;
		seen->wrong += strcmp(ap_http_call_path(call), FORMS_OUTER) != 0 ||
			       strcmp(ap_http_call_target(call), FORMS_OUTER) != 0 || !host ||
			       strncmp(host, FORMS_HOST, strlen(FORMS_HOST)) != 0;
		seen->whole += len == strlen(INNER) && memcmp(body, INNER, len) == 0;
	}
	ap_http_reply(call, 200, NULL, 0, NULL, 0);
}

static void take_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why)
{
	int status = 400;

	(void)ctx;
	if (why == AP_HTTP_REFUSED_BODY_TOO_LARGE)
		status = 413;
	else if (why == AP_HTTP_REFUSED_EXPECT)
		status = 417;
	else if (why == AP_HTTP_REFUSED_METHOD)
		status = 501;
	ap_http_reply(call, status, NULL, 0, NULL, 0);
}

static void read_responses(seen_t *seen, int fd)
{
	char text[TEXT_MAX] = "";
	size_t len = 0;
	ssize_t n;

	/* On a busy machine, a response may arrive between two reads. */
	while ((n = recv(fd, text + len, sizeof(text) - 1 - len, MSG_DONTWAIT)) > 0)
		len += (size_t)n;
	for (const char *at = text; (at = strstr(at, "HTTP/1.")) != NULL; at++) {
		if (sscanf(at, "HTTP/1.%*d %d", &seen->status) != 1)
			seen->status = -1;
	}
	assert_true(len < sizeof(text) - 1);
	seen->closed = seen->closed || n == 0 || errno == ECONNRESET;
}

static bool as_expected(const seen_t *seen, const form_t *form, const char *method)
{
	bool none = seen->outer + seen->inner + seen->server == 0;

	if (seen->wrong > 0)
		return false;
	switch (form->outcome) {
	case REFUSED:
	case TOO_LARGE:
	case UNMET:
	case UNKNOWN:
		return none && seen->status == forms_status(form, method) && seen->closed;
	case ALONE:
		return seen->inner == 0 && (none ? seen->closed : seen->whole == 1);
	case CLOSED:
		return seen->inner == 0 && seen->closed;
	default:
		return seen->outer == 1 && seen->inner == 1 && seen->status == 200 && !seen->closed;
	}
}

/* Sends @text, @piece bytes at a time, each of which the server reads by itself. */
static void send_pieces(struct event_base *base, int fd, const char *text, size_t len, size_t piece)
{
	for (size_t at = 0; at < len; at += piece) {
		size_t n = len - at < piece ? len - at : piece;

		/* The server may have refused the request and closed the connection. */
		if (send(fd, text + at, n, MSG_NOSIGNAL) != (ssize_t)n)
			return;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
}

static seen_t play(const form_t *form, const char *method, const char *before, size_t piece)
{
	seen_t seen = {.base = ap_http_base_new()};
	ap_http_server_config_t config = {
		.base = seen.base,
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = 4096,
		.idle = 5 * AP_SEC,
		.ctx = &seen,
		.request = take_request,
		.refused = take_refused,
	};
	ap_http_server_t *server = NULL;
	char text[TEXT_MAX];
	size_t len = forms_write(text, before, method, form);
	int fd;

	assert_int_equal(ap_http_server_new(&config, &server, NULL), AP_HTTP_STATUS_OK);
	fd = act_connect(ap_http_server_port(server));
	send_pieces(seen.base, fd, text, len, piece);
	for (int i = 0; i < TURNS || (i < TURNS_MAX && !as_expected(&seen, form, method)); i++) {
		act_run(seen.base, SOON);
		read_responses(&seen, fd);
	}
	close(fd);
	ap_http_server_free(server);
	event_base_free(seen.base);
	return seen;
}

static int play_form(const form_t *form, const char *method, const char *before, size_t piece)
{
	seen_t seen = play(form, method, before, piece);

	if (as_expected(&seen, form, method))
		return 0;
	print_message("%s, %s: %d run (%d whole, %d as another), %d behind it, status %d, %s\n",
		      form->name, method, seen.outer, seen.whole, seen.wrong, seen.inner,
		      seen.status, seen.closed ? "closed" : "open");
	return 1;
}

static int play_forms(const char *method, const char *before, size_t piece)
{
	int bad = 0;

	for (size_t f = 0; f < N_FORMS; f++)
		bad += play_form(&forms[f], method, before, piece);
	return bad;
}

/*
 * Guards against a request that two readers frame in two ways, so that what is a body for one is a
 * request that nobody sent for the other.
 */
static void no_form_of_a_head_is_read_in_two_ways(void **state)
{
	int bad = 0;

	(void)state;
	assert_int_equal(strlen(INNER), atoi(INNER_LEN));
	for (size_t m = 0; m < N_METHODS; m++)
		bad += play_forms(methods[m], "", TEXT_MAX);
	assert_int_equal(bad, 0);
}

static void a_form_that_arrives_in_pieces_is_read_the_same_way(void **state)
{
	(void)state;
	assert_int_equal(play_forms("POST", "", 1), 0);
	assert_int_equal(play_forms("GET", "", 7), 0);
}

static void a_form_behind_another_request_is_read_the_same_way(void **state)
{
	(void)state;
	assert_int_equal(play_forms("POST", BEFORE LENGTH END INNER, TEXT_MAX), 0);
	assert_int_equal(play_forms("POST", BEFORE CHUNKED END CHUNKS, TEXT_MAX), 0);
	assert_int_equal(play_forms("POST", BEFORE CHUNKED END CHUNKS, 1), 0);
}

static void only_options_are_asked_of_the_whole_server(void **state)
{
	static const form_t forms_of_it[] = {
		{"asterisk", TO("*") HOST "Content-Length: 0\r\n" END INNER, ALONE},
		{"absolute", TO("http://" FORMS_HOST) "Host: g\r\n" END INNER, TWO},
	};

	(void)state;
	for (size_t m = 0; m < N_METHODS; m++) {
		bool options = strcmp(methods[m], "OPTIONS") == 0;
		seen_t asterisk = play(&forms_of_it[0], methods[m], "", TEXT_MAX);
		seen_t absolute = play(&forms_of_it[1], methods[m], "", TEXT_MAX);

		assert_int_equal(asterisk.server, options);
		assert_int_equal(asterisk.inner, options);
		assert_int_equal(asterisk.outer, 0);
		assert_int_equal(asterisk.status, options ? 200 : 400);
		assert_int_equal(absolute.server, options);
		assert_int_equal(absolute.outer, !options);
		assert_int_equal(absolute.inner, 1);
	}
}

/* Guards against a method that isn't supported and whose body, or what follows it, is run. */
static void no_other_method_runs_what_is_behind_it(void **state)
{
	static const char *const others[] = {"CONNECT", "TRACE", "PRI", "get", "BREW"};
	static const form_t behind[] = {
		{"authority", TO(FORMS_HOST ":80") HOST END INNER, UNKNOWN},
		{"authority and a body", TO(FORMS_HOST ":80") HOST LENGTH END INNER, UNKNOWN},
		{"asterisk", TO("*") HOST LENGTH END INNER, UNKNOWN},
		{"path", HEAD END INNER, UNKNOWN},
		{"path and a body", HEAD LENGTH END INNER, UNKNOWN},
		{"path and chunks", HEAD CHUNKED END INNER_HEX "\r\n" INNER "\r\n0\r\n\r\n" INNER,
		 UNKNOWN},
		{"absolute target", TO("http://" FORMS_HOST FORMS_OUTER) HOST LENGTH END INNER,
		 UNKNOWN},
	};
	int bad = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
		for (size_t f = 0; f < sizeof(behind) / sizeof(behind[0]); f++)
			bad += play_form(&behind[f], others[i], "", TEXT_MAX);
	}
	assert_int_equal(bad, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_form_of_a_head_is_read_in_two_ways),
		cmocka_unit_test(a_form_that_arrives_in_pieces_is_read_the_same_way),
		cmocka_unit_test(only_options_are_asked_of_the_whole_server),
		cmocka_unit_test(no_other_method_runs_what_is_behind_it),
		cmocka_unit_test(a_form_behind_another_request_is_read_the_same_way),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
