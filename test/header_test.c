/* Headers passed on between callers and upstreams: which are, which never are, and size limits. */
#include "entry_rig.h"

#define DROPPED_LINES                                                                              \
	"Keep-Alive: never\r\nTE: never\r\nUpgrade: never\r\nProxy-Authorization: never\r\n"       \
	"X-Other: never\r\nCookie: never\r\nForwarded: never\r\nAccept-Encoding: never\r\n"
#define REQUEST_LINES                                                                              \
	"Accept: text/plain\r\nAccept-Language: pt-BR\r\nIf-Match: \"a\"\r\n"                      \
	"If-Modified-Since: Thu, 03 Dec 2026 00:00:00 GMT\r\nIf-None-Match: \"b\"\r\n"             \
	"If-Unmodified-Since: Fri, 04 Dec 2026 00:00:00 GMT\r\ntraceparent: 00-12-34-01\r\n"       \
	"tracestate: a=1\r\n"
#define RESPONSE_LINES                                                                             \
	"Cache-Control: max-age=5\r\nContent-Disposition: attachment\r\nContent-Encoding: "        \
	"none\r\n"                                                                                 \
	"Content-Language: es\r\nETag: \"c\"\r\nLast-Modified: Thu, 03 Dec 2026 00:00:00 GMT\r\n"  \
	"Location: /plan/2\r\nRetry-After: 7\r\nVary: Accept\r\n"
#define UPSTREAM_OWN                                                                               \
	"Server: never\r\nSet-Cookie: never\r\nX-Other: never\r\nKeep-Alive: never\r\n"            \
	"Arbutuspond-Permit: never\r\nWWW-Authenticate: never\r\n"

/* Fails unless each line of @lines is in @text. */
static void check_lines(const char *text, const char *lines)
{
	for (const char *at = lines; *at; at += strcspn(at, "\n") + 1) {
		char line[256];

		snprintf(line, sizeof(line), "\n%.*s", (int)strcspn(at, "\n") + 1, at);
		if (!strstr(text, line))
			fail_msg("no line '%s' in: %s", line + 1, text);
	}
}

static void check_no_dropped_header(const char *text)
{
	if (strstr(text, "never") || strstr(text, RIG_KEY))
		fail_msg("a header that must not be passed on is in: %s", text);
}

static void test_headers_that_are_passed_on(void **state)
{
	static const struct {
		const char *method;
		const char *path;
		const char *body;
		const char *response_lines;
	} cases[] = {
		{"GET", "/s/plan/floor", "", RESPONSE_LINES},
		{"POST", "/s/plan/floor", "{}", RESPONSE_LINES},
		{"POST", CHAT, BODY("ask", "false"), ""},
	};
	char *response;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_add_fake(&rig, "recife", "gpu")->extra_headers = RESPONSE_LINES UPSTREAM_OWN;
	rig_add_fake(&rig, "recife", "desk")->extra_headers = RESPONSE_LINES UPSTREAM_OWN;
	rig_publish_view(&rig);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bool plain = cases[i].response_lines[0];
		const char *upstream_request = rig.fakes[plain ? 1 : 0].last_request;
		rig_caller_t c;

		rig_call(&rig, 0, &c, cases[i].method, cases[i].path,
			 RIG_AUTH "Arbutuspond-Region: recife\r\n" DROPPED_LINES REQUEST_LINES,
			 cases[i].body);
		response = rig_response(&rig, &c);
		rig_check(response, 200, "Arbutuspond-Outcome: completed", "Arbutuspond-Cost: ");
		check_lines(response, cases[i].response_lines);
		check_lines(upstream_request, REQUEST_LINES);
		check_no_dropped_header(response);
		check_no_dropped_header(upstream_request);
		if (!plain)
			assert_null(strstr(response, "Retry-After"));
		free(response);
	}
	rig_clear(&rig);
}

static void test_several_lines_of_one_header_become_one(void **state)
{
	rig_caller_t c;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_add_fake(&rig, "recife", "desk");
	rig_publish_view(&rig);
	rig_call(&rig, 0, &c, "GET", "/s/plan/floor",
		 RIG_AUTH "tracestate: a=1\r\nTraceState: b=2\r\n", "");
	free(rig_response(&rig, &c));
	check_lines(rig.fakes[0].last_request, "tracestate: a=1, b=2\r\n");
	rig_clear(&rig);
}

static void test_header_over_its_bound(void **state)
{
	char header[1200] = RIG_AUTH "If-Match: ";
	char extra[1200] = "ETag: \"c\"\r\nVary: ";
	rig_caller_t c;
	char *response;
	rig_t rig;

	(void)state;
	memset(header + strlen(header), 'x', 1024);
	snprintf(header + strlen(header), 3, "\r\n");
	memset(extra + strlen(extra), 'x', 1024);
	snprintf(extra + strlen(extra), 3, "\r\n");
	rig_init(&rig);
	rig_add_fake(&rig, "recife", "desk")->extra_headers = extra;
	rig_publish_view(&rig);
	/* A truncated or omitted condition such as If-Match would change what the call does. */
	rig_call(&rig, 0, &c, "GET", "/s/plan/floor", header, "");
	response = rig_response(&rig, &c);
	rig_check(response, 400, "\"bad_request\"", "a header is too long");
	assert_int_equal(rig.fakes[0].requests, 0);
	free(response);
	/* A complete response is passed on without a header that is too long. */
	rig_call(&rig, 0, &c, "GET", "/s/plan/floor", RIG_AUTH, "");
	response = rig_response(&rig, &c);
	rig_check(response, 200, "ETag: \"c\"\r\n", "Arbutuspond-Outcome: completed");
	assert_null(strstr(response, "Vary"));
	free(response);
	rig_clear(&rig);
}

/* Delivers a request that @from forwards within the region, as for a call with a permit. */
static void send_forward(rig_t *rig, const char *from, const ap_forward_headers_t *headers)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD, .exchange = {{9, 9}, 1}};
	ap_forward_request_t *request = &msg.u.request;
	msgpack_sbuffer buf;

	request->request = msg.exchange;
	ap_copy_name(request->caller, AP_NAME_MAX, "crew");
	ap_copy_name(request->home, AP_NAME_MAX, "recife");
	ap_copy_name(request->service, AP_NAME_MAX, "plan");
	ap_copy_name(request->target, sizeof(request->target), "/floor");
	request->method = EVHTTP_REQ_GET;
	request->first_byte = AP_SEC;
	request->credit = 100000;
	request->body = "";
	request->headers = *headers;
	msgpack_sbuffer_init(&buf);
	ap_forward_pack(&buf, (ap_id_t){9, 9}, 1, &msg);
	entry_receive(rig->entries[0].entry, from, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

#define TEXT(text) (text), sizeof(text) - 1

static void test_forwarded_headers_use_the_same_lists(void **state)
{
	static const ap_forward_headers_t headers = {
		.n = 5,
		.v = {{TEXT("traceparent"), TEXT("00-12-34-01")},
		      {TEXT("Authorization"), TEXT("never")},
		      {TEXT("Connection"), TEXT("never")},
		      {TEXT("Accept"), TEXT("text/plain\r\nX-Other: never")},
		      {TEXT("tracestate"), TEXT("a=1")}},
	};
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_add_entry(&rig, "recife");
	ap_copy_name(rig.entries[1].settings.id, AP_NAME_MAX, "recife-1");
	rig_add_fake(&rig, "recife", "desk")->extra_headers = RESPONSE_LINES UPSTREAM_OWN;
	rig_publish_view(&rig);
	send_forward(&rig, "recife-1", &headers);
	RUN_UNTIL(rig.base, rig.fakes[0].responses == 1 && rig.seen[AP_WIRE_FORWARD_END] == 1);
	check_lines(rig.fakes[0].last_request, "traceparent: 00-12-34-01\r\ntracestate: a=1\r\n");
	check_no_dropped_header(rig.fakes[0].last_request);
	assert_non_null(memmem(rig.head, rig.head_len, TEXT("Retry-After")));
	assert_non_null(memmem(rig.head, rig.head_len, TEXT("/plan/2")));
	assert_null(memmem(rig.head, rig.head_len, TEXT("never")));
	rig_clear(&rig);
}

/*
 * Entries of other versions: a head without the version's element is read, without the headers'
 * one too, and with an element added by a later version.
 */
static void test_messages_of_other_versions_are_read(void **state)
{
	static const int changes[] = {-2, -1, 0, 1};
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD_HEAD,
				.u.head = {.status = 200, .version = 7}};
	ap_forward_msg_t got;

	(void)state;
	msg.u.head.headers = (ap_forward_headers_t){
		.n = 1,
		.v = {{TEXT("ETag"), TEXT("\"c\"")}},
	};
	for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
		msgpack_object elements[8] = {0};
		msgpack_sbuffer buf;
		msgpack_zone zone;
		msgpack_object body;
		ap_wire_head_t head;

		msgpack_sbuffer_init(&buf);
		ap_forward_pack(&buf, (ap_id_t){1, 1}, 1, &msg);
		msgpack_zone_init(&zone, 1024);
		assert_int_equal(ap_wire_open(buf.data, buf.size, &zone, &head, &body, NULL),
				 AP_WIRE_OK);
		memcpy(elements, body.via.array.ptr, body.via.array.size * sizeof(elements[0]));
		body.via.array.ptr = elements;
		body.via.array.size += (uint32_t)changes[i];
		assert_int_equal(ap_forward_read(head.kind, &body, &got), AP_WIRE_OK);
		assert_int_equal(got.u.head.status, 200);
		assert_int_equal(got.u.head.headers.n, changes[i] < -1 ? 0 : 1);
		assert_int_equal(got.u.head.version, changes[i] < 0 ? 0 : 7);
		msgpack_zone_destroy(&zone);
		msgpack_sbuffer_destroy(&buf);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_headers_that_are_passed_on),
		cmocka_unit_test(test_several_lines_of_one_header_become_one),
		cmocka_unit_test(test_header_over_its_bound),
		cmocka_unit_test(test_forwarded_headers_use_the_same_lists),
		cmocka_unit_test(test_messages_of_other_versions_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
