/* Records and headers of the host platform, the instance's own entry, and the event log. */
#include "platform/host.h"
#include "log/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

static const char replica_text[] =
	"{\"service\":\"p\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"z1\",\"version\":\"v1\","
	"\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":1500,\"new\":{},\"seq\":4}";

static ap_host_status_t replica(const char *text, ap_replica_entry_t *entry)
{
	ap_err_t err;

	return ap_host_parse_replica("i-1", text, strlen(text), entry, &err);
}

static void test_replica_record(void **state)
{
	ap_replica_entry_t e;

	(void)state;
	assert_int_equal(replica(replica_text, &e), AP_HOST_OK);
	assert_string_equal(e.pool, "p");
	assert_string_equal(e.host, "10.0.0.9");
	assert_int_equal(e.port, 8080);
	assert_string_equal(e.version, "v1");
	assert_int_equal(e.slots, 64);
	assert_int_equal(e.cold_left, 1500 * AP_MSEC);
	assert_int_equal(e.shutdown_in, AP_NEVER);
	assert_false(e.draining);
}

static void test_draining_replica_record(void **state)
{
	ap_replica_entry_t e;

	(void)state;
	assert_int_equal(replica("{\"service\":\"p\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
				 "\"state\":\"draining\",\"drainLeftMs\":2000}",
				 &e),
			 AP_HOST_OK);
	assert_true(e.draining);
	assert_int_equal(e.shutdown_in, 2 * AP_SEC);
	/* An upstream in an unknown state gets no requests. */
	assert_int_equal(replica("{\"service\":\"p\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
				 "\"state\":\"resting\"}",
				 &e),
			 AP_HOST_OK);
	assert_true(e.draining);
}

static void test_invalid_replica_records(void **state)
{
	static const char *const wrong[] = {
		"",
		"[]",
		"{",
		"{}",
		"{\"service\":\"p\"}",
		"{\"service\":7,\"addr\":\"10.0.0.9:80\"}",
		"{\"service\":\"p\",\"addr\":\"nowhere\"}",
	};
	ap_replica_entry_t e;

	(void)state;
	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		assert_int_not_equal(replica(wrong[i], &e), AP_HOST_OK);
}

static const char plan_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"x.example\",\"prefix\":\"/a/\","
	"\"kind\":\"stream\",\"timeoutMs\":5000,\"goalMs\":1000,\"priority\":1,\"split\":["
	"{\"service\":\"p\",\"weight\":90},{\"service\":\"q\",\"weight\":10}],\"attempts\":2,"
	"\"sticky\":true,\"resumable\":true,\"gapAimMs\":1200,\"homeRegions\":[\"north\"]},"
	"{\"name\":\"r2\",\"host\":\"x.example\",\"prefix\":\"/b/\",\"kind\":\"non_idempotent\","
	"\"timeoutMs\":2000,\"goalMs\":400,\"service\":\"q\",\"attempts\":1,\"homeRegions\":[]}],"
	"\"services\":[{\"name\":\"p\",\"maxConns\":360,\"warmupS\":3.0,\"warmupPerS\":4.5,"
	"\"engine\":{\"slots\":64,\"kvTokens\":1000}},{\"name\":\"q\"}],\"limits\":{}}";

static void test_configuration(void **state)
{
	const ap_plan_route_t *route;
	ap_plan_t *plan;
	ap_err_t err;

	(void)state;
	assert_int_equal(ap_host_parse_plan(plan_text, strlen(plan_text), &plan, &err), AP_HOST_OK);
	assert_int_equal(plan->version, 7);
	route = ap_plan_match(plan, "x.example", "/a/q");
	assert_int_equal(route->kind, AP_KIND_STREAM);
	assert_true(route->resumable);
	assert_int_equal(route->objective, AP_SEC);
	assert_int_equal(route->event_gap, 1200 * AP_MSEC);
	assert_int_equal(route->n_shares, 2);
	assert_true(ap_plan_allows_region(route, "north"));
	assert_false(ap_plan_allows_region(route, "south"));
	assert_true(ap_plan_retryable(route));
	assert_int_equal(ap_plan_pick_pool(plan, route, 0.95)->kv_tokens, 0);
	assert_int_equal(ap_plan_pick_pool(plan, route, 0.5)->kv_tokens, 1000);
	route = ap_plan_match(plan, "x.example", "/b/");
	assert_false(ap_plan_retryable(route));
	ap_plan_unref(plan);
}

/* A truncated configuration is refused; one with a changed byte is refused or decoded. */
static void test_damaged_configurations(void **state)
{
	size_t len = strlen(plan_text);
	char *copy = strdup(plan_text);
	ap_plan_t *plan;
	ap_err_t err;

	(void)state;
	for (size_t cut = 0; cut < len; cut++)
		assert_int_not_equal(ap_host_parse_plan(copy, cut, &plan, &err), AP_HOST_OK);
	for (size_t i = 0; i < len; i++) {
		copy[i] = '7';
		if (ap_host_parse_plan(copy, len, &plan, &err) == AP_HOST_OK)
			ap_plan_unref(plan);
		copy[i] = plan_text[i];
	}
	free(copy);
}

static void test_store_keys(void **state)
{
	const char *name;

	(void)state;
	assert_int_equal(ap_host_parse_key("op/config", &name), AP_HOST_KEY_PLAN);
	assert_int_equal(ap_host_parse_key("servers/i-1", &name), AP_HOST_KEY_REPLICA);
	assert_string_equal(name, "i-1");
	assert_int_equal(ap_host_parse_key("op/evacuate/z", &name), AP_HOST_KEY_EVACUATION);
	assert_int_equal(ap_host_parse_key("arbutuspond/instances/n", &name), AP_HOST_KEY_INSTANCE);
	assert_int_equal(ap_host_parse_key("servers/", &name), AP_HOST_KEY_OTHER);
	assert_int_equal(ap_host_parse_key("status/x", &name), AP_HOST_KEY_OTHER);
}

static void test_instance_entry_round_trip(void **state)
{
	ap_member_t m = {.id = "n1",
			 .region = "north",
			 .data_centre = "z",
			 .host = "10.0.0.1",
			 .caller_port = 80,
			 .peer_port = 81,
			 .cores = 0.25,
			 .draining = true};
	char *text = ap_host_format_member(&m);
	ap_member_t decoded;
	ap_err_t err;

	(void)state;
	assert_int_equal(ap_host_parse_member("n1", text, strlen(text), &decoded, &err),
			 AP_HOST_OK);
	assert_memory_equal(&m, &decoded, sizeof(m));
	for (size_t cut = 0; cut < strlen(text); cut++)
		assert_int_not_equal(ap_host_parse_member("n1", text, cut, &decoded, &err),
				     AP_HOST_OK);
	free(text);
}

typedef struct evkeyvalq headers_t;

static void fill(headers_t *h, const char *const pairs[][2], size_t n)
{
	TAILQ_INIT(h);
	for (size_t i = 0; i < n; i++)
		evhttp_add_header(h, pairs[i][0], pairs[i][1]);
}

#define MANY_HEADERS 4000

static const char *value_of(const ap_host_headers_t *h, const char *name)
{
	for (size_t i = 0; i < h->n; i++) {
		if (evutil_ascii_strcasecmp(h->v[i].name, name) == 0)
			return h->v[i].value;
	}
	return NULL;
}

static void test_request_headers(void **state)
{
	static const char *const pairs[][2] = {
		{"Host", "x.example:8080"},
		{"Request-Id", "abc"},
		{"Deadline-Ms", "1500"},
		{"Token-Count", "1460,80"},
		{"Prefix-Hash", "5c:800,9f:410"},
		{"Last-Event-Id", "7"},
		{"Resumes", "abb"},
	};
	ap_host_request_t r;
	headers_t h;
	ap_err_t err;

	(void)state;
	fill(&h, pairs, 7);
	assert_int_equal(ap_host_parse_request(&h, &r, &err), AP_HOST_OK);
	assert_string_equal(r.host, "x.example");
	assert_string_equal(r.id, "abc");
	assert_int_equal(r.time_left, 1500 * AP_MSEC);
	assert_int_equal(r.tokens_in, 1460);
	assert_int_equal(r.tokens_out, 80);
	assert_int_equal(r.n_parts, 2);
	assert_int_equal(r.parts[0].id, 0x5c);
	assert_int_equal(r.parts[1].tokens, 410);
	assert_string_equal(r.last_event, "7");
	assert_string_equal(r.resumes, "abb");
	evhttp_clear_headers(&h);
}

static void test_missing_and_malformed_request_headers(void **state)
{
	static const char *const pairs[][2] = {
		{"Host", "x.example"},
		{"Deadline-Ms", "soon"},
		{"Token-Count", "-"},
		{"Prefix-Hash", "zz:1,5c:2"},
	};
	ap_host_request_t r;
	headers_t h;
	ap_err_t err;

	(void)state;
	fill(&h, pairs, 4);
	assert_int_equal(ap_host_parse_request(&h, &r, &err), AP_HOST_OK);
	assert_int_equal(r.time_left, AP_NEVER);
	assert_int_equal(r.n_parts, 0);
	evhttp_clear_headers(&h);
	fill(&h, pairs, 0);
	assert_int_equal(ap_host_parse_request(&h, &r, &err), AP_HOST_INVALID);
}

/* Headers of one connection, and those that only the gateway sets, are not passed on. */
static void test_upstream_request_headers(void **state)
{
	static const char *const pairs[][2] = {
		{"Host", "x.example"},
		{"Request-Id", "abc"},
		{"Connection", "X-Hop, close"},
		{"X-Hop", "1"},
		{"X-Own", "2"},
		{"Deadline-Ms", "9000"},
		{"Hold", "h"},
		{"Pin-Ms", "5"},
		{"Kv-Backup", "1.2.3.4:5"},
		{"Kv-From", "x"},
		{"Kv-Fetch", "y"},
		{"Expect-Instance", "other"},
		{"Expect-Version", "3"},
		{"Request-Priority", "0"},
		{"Content-Length", "5"},
		{"Transfer-Encoding", "chunked"},
	};
	static const char *const never[] = {
		"Connection", "X-Hop",	  "Hold",	    "Pin-Ms",	      "Kv-Backup",
		"Kv-From",    "Kv-Fetch", "Expect-Version", "Content-Length", "Transfer-Encoding",
	};
	ap_host_headers_t out = {0};
	headers_t h;
	ap_host_upstream_request_t request = {.caller_headers = &h,
					      .upstream = "i-1",
					      .time_left = 1234 * AP_MSEC,
					      .priority = 2};

	(void)state;
	fill(&h, pairs, 16);
	assert_true(ap_host_request_headers(&request, &out));
	for (size_t i = 0; i < sizeof(never) / sizeof(never[0]); i++)
		assert_null(value_of(&out, never[i]));
	assert_string_equal(value_of(&out, "Request-Id"), "abc");
	assert_string_equal(value_of(&out, "X-Own"), "2");
	assert_string_equal(value_of(&out, "Deadline-Ms"), "1234");
	assert_string_equal(value_of(&out, "Expect-Instance"), "i-1");
	assert_string_equal(value_of(&out, "Request-Priority"), "2");
	request.priority = 10;
	request.upstream = NULL;
	request.last_event = "8";
	assert_true(ap_host_request_headers(&request, &out));
	assert_null(value_of(&out, "Request-Priority"));
	assert_null(value_of(&out, "Expect-Instance"));
	assert_string_equal(value_of(&out, "Last-Event-Id"), "8");
	ap_host_headers_clear(&out);
	evhttp_clear_headers(&h);
}

/* Guards against a request refused, or a response cut, for the number of its fields. */
static void test_as_many_headers_as_arrive_are_passed_on(void **state)
{
	ap_host_headers_t out = {0};
	headers_t h;
	ap_host_upstream_request_t request = {
		.caller_headers = &h, .priority = 10, .weights = AP_WEIGHTS_ANY};

	(void)state;
	TAILQ_INIT(&h);
	for (int i = 0; i < MANY_HEADERS; i++)
		evhttp_add_header(&h, "X-Many", "1");
	evhttp_add_header(&h, "Server-Stamp", "s");
	assert_true(ap_host_request_headers(&request, &out));
	assert_int_equal(out.n, MANY_HEADERS + 2); /* and the deadline */
	assert_true(ap_host_response_headers(&h, &out));
	assert_int_equal(out.n, MANY_HEADERS + 1);
	assert_string_equal(value_of(&out, "Server-Stamp"), "s");
	ap_host_headers_clear(&out);
	evhttp_clear_headers(&h);
}

static void test_health_response(void **state)
{
	static const char *const warm[][2] = {{"Instance-Id", "i-1"}};
	static const char *const cold[][2] = {{"Instance-Id", "i-1"}, {"Cold-Ms", "1500"}};
	static const char *const bad[][2] = {{"Instance-Id", "i-1"}, {"Cold-Ms", "soon"}};
	ap_usec_t left = -1;
	headers_t h;

	(void)state;
	fill(&h, warm, 1);
	assert_true(ap_host_parse_health(&h, "i-1", &left));
	assert_int_equal(left, 0);
	assert_false(
		ap_host_parse_health(&h, "i-2", &left)); /* another upstream has the address now */
	evhttp_clear_headers(&h);
	fill(&h, cold, 2);
	assert_true(ap_host_parse_health(&h, "i-1", &left));
	assert_int_equal(left, 1500 * AP_MSEC);
	evhttp_clear_headers(&h);
	fill(&h, bad, 2);
	assert_false(ap_host_parse_health(&h, "i-1", &left));
	evhttp_clear_headers(&h);
	fill(&h, cold + 1, 1);
	assert_false(ap_host_parse_health(&h, "i-1", &left));
	evhttp_clear_headers(&h);
}

static void test_response_headers(void **state)
{
	static const char *const shed[][2] = {{"Not-Run", "1"}, {"Request-Id", "abc"}};
	static const char *const good[][2] = {{"Server-Stamp", "s"}, {"Request-Id", "abc"}};
	ap_host_response_t a;
	headers_t h;

	(void)state;
	fill(&h, shed, 2);
	a = ap_host_parse_response(&h, 503, "abc", true);
	assert_true(a.not_run && a.id_matches && !a.from_replica);
	assert_false(ap_host_parse_response(&h, 503, "other", true).id_matches);
	evhttp_clear_headers(&h);
	fill(&h, good, 2);
	a = ap_host_parse_response(&h, 503, "abc", true);
	assert_true(!a.not_run && a.id_matches && a.from_replica);
	assert_true(a.limit < 0 && !a.limit_invalid);
	assert_true(ap_host_parse_response(&h, 421, "abc", true).not_run);
	evhttp_clear_headers(&h);
}

/* Guards against bytes that are no replica's response, taken for one because of their status. */
static void test_a_replicas_response_has_its_digest_and_no_encoding(void **state)
{
	static const struct {
		const char *pairs[3][2];
		size_t n;
		bool from_replica;
	} cases[] = {
		{{{"Request-Id", "abc"}}, 1, false},
		{{{"Request-Id", "abc"}, {"Server-Stamp", "s"}}, 2, true},
		{{{"server-stamp", "s"}}, 1, true},
		{{{"Server-Stamp", ""}}, 1, false},
		{{{"Server-Stamp", "s"}, {"Server-Stamp", "t"}}, 2, false},
		{{{"Server-Stamp", "s"}, {"Content-Encoding", "gzip"}}, 2, false},
		{{{"content-encoding", "identity"}, {"Server-Stamp", "s"}}, 2, false},
		{{{"Trailer", "Server-Stamp"}, {"Request-Id", "abc"}}, 2, false},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		headers_t h;

		fill(&h, cases[i].pairs, cases[i].n);
		if (ap_host_parse_response(&h, 200, "abc", false).from_replica !=
		    cases[i].from_replica)
			fail_msg("case %zu", i);
		evhttp_clear_headers(&h);
	}
}

/*
 * Guards against an earlier refusal or response of a replica, written once more on a kept
 * connection and without its id, that is taken for the one to this request: the caller is told that
 * it did not run.
 */
static void test_a_later_response_without_the_id_states_nothing(void **state)
{
	static const char *const refusal[][2] = {{"Not-Run", "1"}};
	static const char *const stamped[][2] = {{"Server-Stamp", "s"}};
	static const struct {
		const char *const (*pairs)[2];
		int status;
		const char *id;
		bool matches;
	} cases[] = {
		{refusal, 503, "abc", false}, {refusal, 429, "abc", false},
		{refusal, 421, "abc", false}, {NULL, 421, "abc", false},
		{stamped, 200, "abc", false}, {stamped, 500, "abc", false},
		{NULL, 200, "abc", false},    {NULL, 204, "abc", false},
		{NULL, 503, "abc", true}, /* of a component in between; it proves nothing */
		{NULL, 502, "abc", true},     {refusal, 400, "", true},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ap_host_response_t response;
		headers_t h;

		fill(&h, cases[i].pairs, cases[i].pairs != NULL);
		response = ap_host_parse_response(&h, cases[i].status, cases[i].id, true);
		if (response.id_matches != cases[i].matches)
			fail_msg("case %zu: status %d", i, cases[i].status);
		/* The first response of a connection is no copy. */
		response = ap_host_parse_response(&h, cases[i].status, cases[i].id, false);
		assert_true(response.id_matches);
		evhttp_clear_headers(&h);
	}
}

static void test_leaving_header(void **state)
{
	static const struct {
		const char *text;
		bool leaving;
	} cases[] = {{"1", true}, {"0", false}, {"", false}, {"11", false}, {"yes", false}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const char *const pairs[][2] = {{"Server-Stamp", "s"},
						{"Server-Leaving", cases[i].text}};
		headers_t h;

		fill(&h, pairs, 2);
		assert_int_equal(ap_host_parse_response(&h, 200, "abc", true).leaving,
				 cases[i].leaving);
		evhttp_clear_headers(&h);
	}
}

static void test_limit_header(void **state)
{
	static const struct {
		const char *text;
		double limit;
		bool invalid;
	} cases[] = {
		{"1.4", 1.4, false}, {"0", 0, false},	{"250", 250, false}, {"", -1, true},
		{"-1", -1, true},    {"nan", -1, true}, {"inf", -1, true},   {"2/s", -1, true},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const char *const pairs[][2] = {{"Server-Stamp", "s"},
						{"Server-Limit", cases[i].text},
						{"Server-Brittle", cases[i].text}};
		ap_host_response_t a;
		headers_t h;

		fill(&h, pairs, 2);
		a = ap_host_parse_response(&h, 200, "abc", true);
		assert_true(a.limit == cases[i].limit);
		assert_int_equal(a.limit_invalid, cases[i].invalid);
		assert_true(a.refusals < 0 && !a.refusals_invalid);
		evhttp_clear_headers(&h);
		fill(&h, pairs + 2, 1);
		a = ap_host_parse_response(&h, 200, "abc", true);
		assert_true(a.refusals == cases[i].limit);
		assert_int_equal(a.refusals_invalid, cases[i].invalid);
		assert_true(a.limit < 0 && !a.limit_invalid);
		evhttp_clear_headers(&h);
	}
}

static ap_journal_t *journal_on(int fd, unsigned sample, unsigned rate, size_t backlog)
{
	ap_journal_config_t config = {
		.fd = fd, .instance = "n1", .sample = sample, .rate = rate, .backlog = backlog};

	return ap_journal_new(&config);
}

static void test_record_is_one_line_of_json(void **state)
{
	char line[512] = "";
	ap_journal_t *j;
	int fds[2];

	(void)state;
	assert_int_equal(pipe(fds), 0);
	j = journal_on(fds[1], 1, 100, 4096);
	ap_journal_write(j, AP_RECORD_RARE, "request.sent", "id\"1", "s:s,s:i", "target", "u1", "n",
			 3);
	ap_journal_flush(j);
	assert_true(read(fds[0], line, sizeof(line) - 1) > 0);
	assert_non_null(strstr(line, "\"event\":\"request.sent\""));
	assert_non_null(strstr(line, "\"request\":\"id\\\"1\""));
	assert_non_null(strstr(line, "\"target\":\"u1\",\"n\":3}\n"));
	ap_journal_free(j);
	close(fds[0]);
	close(fds[1]);
}

/* A reader that stops neither blocks the writer nor makes it use more memory: lines beyond the
 * backlog are dropped, counted and reported. */
static void test_stalled_reader_does_not_block(void **state)
{
	static char drained[1 << 20];
	ap_journal_stats_t stats;
	ap_journal_t *j;
	int fds[2];

	(void)state;
	assert_int_equal(pipe(fds), 0);
	j = journal_on(fds[1], 1, 1000000, 8192);
	for (int i = 0; i < 5000; i++) {
		ap_journal_write(j, AP_RECORD_RARE, "test.line", NULL, "s:i", "i", i);
		ap_journal_flush(j);
	}
	stats = ap_journal_stats(j);
	assert_true(stats.dropped > 0);
	assert_int_equal(stats.written + stats.dropped, 5000);
	assert_true(read(fds[0], drained, sizeof(drained)) > 0);
	ap_journal_flush(j);
	ap_journal_write(j, AP_RECORD_RARE, "test.line", NULL, NULL);
	ap_journal_flush(j);
	assert_true(read(fds[0], drained, sizeof(drained) - 1) > 0);
	assert_non_null(strstr(drained, "log.dropped"));
	ap_journal_free(j);
	close(fds[0]);
	close(fds[1]);
}

/* At ten times the usual load, one request in some is logged, the same ones on all instances. */
static void test_log_rate_is_bounded(void **state)
{
	ap_journal_t *a = journal_on(STDERR_FILENO, 16, 50, 1 << 20);
	ap_journal_t *b = journal_on(STDERR_FILENO, 16, 50, 1 << 20);
	unsigned taken = 0;

	(void)state;
	for (int i = 0; i < 1600; i++) {
		char id[16];

		snprintf(id, sizeof(id), "r%d", i);
		assert_int_equal(ap_journal_accepts(a, AP_RECORD_ORDINARY, id),
				 ap_journal_accepts(b, AP_RECORD_ORDINARY, id));
		taken += ap_journal_accepts(a, AP_RECORD_ORDINARY, id);
		assert_true(ap_journal_accepts(a, AP_RECORD_RARE, id));
	}
	assert_in_range(taken, 50, 150);
	ap_journal_free(a);
	ap_journal_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_replica_record),
		cmocka_unit_test(test_draining_replica_record),
		cmocka_unit_test(test_invalid_replica_records),
		cmocka_unit_test(test_configuration),
		cmocka_unit_test(test_damaged_configurations),
		cmocka_unit_test(test_store_keys),
		cmocka_unit_test(test_instance_entry_round_trip),
		cmocka_unit_test(test_request_headers),
		cmocka_unit_test(test_missing_and_malformed_request_headers),
		cmocka_unit_test(test_upstream_request_headers),
		cmocka_unit_test(test_as_many_headers_as_arrive_are_passed_on),
		cmocka_unit_test(test_health_response),
		cmocka_unit_test(test_response_headers),
		cmocka_unit_test(test_a_replicas_response_has_its_digest_and_no_encoding),
		cmocka_unit_test(test_a_later_response_without_the_id_states_nothing),
		cmocka_unit_test(test_limit_header),
		cmocka_unit_test(test_leaving_header),
		cmocka_unit_test(test_record_is_one_line_of_json),
		cmocka_unit_test(test_stalled_reader_does_not_block),
		cmocka_unit_test(test_log_rate_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
