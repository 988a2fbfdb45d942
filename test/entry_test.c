/* One entry between callers and faulty upstreams: responses, outcomes and invalid input. */
#include "entry_rig.h"

typedef struct fault_case {
	fake_mode_t mode;
	int faults; /* number of responses that show the fault; -1 for all */
	int upstreams;
	const char *model;
	const char *stream;
	int status;
	const char *part;
	const char *other;
	int requests; /* number that reached any upstream */
} fault_case_t;

#define COMPLETED "Arbutuspond-Outcome: completed"
#define UNKNOWN "Arbutuspond-Outcome: unknown"
#define NOT_RUN "Arbutuspond-Outcome: not-run"
#define ENDED "data: [DONE]\n\n"
#define CUT "event: error\n"

static const fault_case_t faults[] = {
	/* repeatable, not streamed: after one fault, a retry at another upstream succeeds */
	{FAKE_NONE, 0, 1, "ask", "false", 200, COMPLETED, "\"whole\"", 1},
	{FAKE_RESET_BEFORE, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_RESET_AFTER, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_STALL_BEFORE, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_STALL_MIDDLE, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_TRUNCATED, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_EARLY_END, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_EMPTY, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_WRONG_LENGTH, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_SHORT_LENGTH, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_WRONG_ID, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_REFUSE, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_DRAIN, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_ERROR, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	/* not repeatable: sent once, and the outcome is unknown unless the upstream refused */
	{FAKE_RESET_BEFORE, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_RESET_AFTER, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_STALL_BEFORE, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_EARLY_END, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_EMPTY, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_WRONG_LENGTH, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_WRONG_ID, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_ERROR, -1, 2, "once", "false", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_REFUSE, 1, 2, "once", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_REFUSE, -1, 2, "once", "false", 503, NOT_RUN, "\"not_run\"", 2},
	{FAKE_DRAIN, -1, 2, "once", "false", 503, NOT_RUN, "\"not_run\"", 2},
	{FAKE_NO_MODEL, 1, 2, "ask", "false", 200, COMPLETED, "\"whole\"", 2},
	{FAKE_NO_MODEL, -1, 2, "once", "false", 503, NOT_RUN, "\"not_run\"", 2},
	/* streams: resumed if the service allows it, else ended with an error event */
	{FAKE_NONE, 0, 1, "ask", "true", 200, "outcome=completed", ENDED, 1},
	{FAKE_RESET_BEFORE, 1, 2, "ask", "true", 200, "outcome=completed", ENDED, 2},
	{FAKE_RESET_AFTER, 1, 2, "ask", "true", 200, "outcome=completed", ENDED, 2},
	{FAKE_STALL_MIDDLE, 1, 2, "ask", "true", 200, "outcome=completed", ENDED, 2},
	{FAKE_TRUNCATED, 1, 2, "ask", "true", 200, "outcome=completed", ENDED, 2},
	{FAKE_EARLY_END, 1, 2, "ask", "true", 200, "outcome=completed", ENDED, 2},
	{FAKE_EMPTY, 1, 2, "ask", "true", 200, "outcome=completed", ENDED, 2},
	{FAKE_EARLY_END, -1, 2, "once", "true", 200, CUT, "\"unknown\"", 1},
	{FAKE_EMPTY, -1, 2, "once", "true", 504, UNKNOWN, "\"unknown\"", 1},
	{FAKE_RESET_AFTER, -1, 2, "once", "true", 200, CUT, "\"unknown\"", 1},
	{FAKE_STALL_MIDDLE, -1, 2, "once", "true", 200, CUT, "\"unknown\"", 1},
	{FAKE_TRUNCATED, -1, 2, "once", "true", 200, CUT, "\"unknown\"", 1},
	{FAKE_WRONG_ID, -1, 1, "ask", "true", 502, UNKNOWN, "\"upstream_failed\"", 1},
};

static void run_fault(const fault_case_t *c)
{
	char body[256];
	char *response;
	int requests = 0;
	int left = c->faults;
	rig_t rig;

	rig_init(&rig);
	for (int i = 0; i < c->upstreams; i++)
		rig_add_fake(&rig, "recife", "gpu");
	rig_publish_view(&rig);
	snprintf(body, sizeof(body),
		 "{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"content\":\"hi\"}]}", c->model,
		 c->stream);
	for (int i = 0; i < c->upstreams; i++) {
		rig.fakes[i].mode = c->mode;
		rig.fakes[i].shared_faults =
			&left; /* the number of faults is shared by all upstreams */
	}
	response = rig_post(&rig, 0, CHAT, body);
	for (int i = 0; i < c->upstreams; i++)
		requests += rig.fakes[i].requests;
	rig_check(response, c->status, c->part, c->other);
	rig_check_events(response);
	if (strstr(response, CUT))
		assert_null(strstr(response, "[DONE]"));
	if (strcmp(c->other, ENDED) == 0) {
		for (int i = 0; i < FAKE_TOKENS; i++) {
			char token[8];

			snprintf(token, sizeof(token), "\"t%d ", i);
			assert_non_null(strstr(response, token));
			assert_null(strstr(strstr(response, token) + 1, token));
		}
	}
	assert_int_equal(requests, c->requests);
	free(response);
	rig_clear(&rig);
}

static void test_each_fault_has_its_outcome(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		print_message("case %zu: mode %d %s stream=%s\n", i, faults[i].mode,
			      faults[i].model, faults[i].stream);
		run_fault(&faults[i]);
	}
}

typedef struct input_case {
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	int status;
	const char *code;
} input_case_t;

static const input_case_t inputs[] = {
	{"POST", CHAT, "", BODY("ask", "false"), 401, "unauthorized"},
	{"POST", CHAT, "Authorization: Bearer no\r\n", "", 401, "unauthorized"},
	{"POST", CHAT, RIG_AUTH "Arbutuspond-Region: cuyo\r\n", "{}", 403, "forbidden"},
	{"POST", CHAT, RIG_AUTH, "{\"model\":", 400, "bad_request"},
	{"POST", CHAT, RIG_AUTH, "[]", 400, "bad_request"},
	{"POST", CHAT, RIG_AUTH, "{\"model\":\"ask\"}", 400, "bad_request"},
	{"POST", CHAT, RIG_AUTH, "{\"model\":7,\"prompt\":\"x\"}", 400, "bad_request"},
	{"POST", CHAT, RIG_AUTH, BODY("ask", "7"), 400, "bad_request"},
	{"GET", CHAT, RIG_AUTH, "", 400, "bad_request"},
	{"POST", CHAT, RIG_AUTH, BODY("none", "false"), 404, "not_found"},
	{"POST", CHAT, RIG_AUTH, BODY("ask/none", "false"), 404, "not_found"},
	{"POST", CHAT, RIG_AUTH, BODY("plan", "false"), 404, "not_found"},
	{"POST", CHAT, RIG_AUTH "Arbutuspond-Service: none\r\n", "", 404, "not_found"},
	{"POST", CHAT, RIG_AUTH "Arbutuspond-Service: dossier\r\n", BODY("ask", "false"), 400,
	 "bad_request"},
	{"GET", "/s/none/x", RIG_AUTH, "", 404, "not_found"},
	{"GET", "/elsewhere", RIG_AUTH, "", 404, "not_found"},
	{"POST", "/s/reserve/x", RIG_AUTH, "{}", 428, "permit_needed"},
	{"GET", "/v1/entries", RIG_AUTH, "", 400, "bad_request"},
	{"GET", "/v1/entries?service=none", RIG_AUTH, "", 404, "not_found"},
	{"POST", "/v1/permits?service=reserve", RIG_AUTH, "", 404, "not_found"},
};

static void test_each_wrong_input_has_its_error(void **state)
{
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	for (size_t i = 0; i < sizeof(inputs) / sizeof(inputs[0]); i++) {
		const input_case_t *c = &inputs[i];
		rig_caller_t caller;
		char code[64];
		char *response;

		rig_call(&rig, 0, &caller, c->method, c->path, c->headers, c->body);
		response = rig_response(&rig, &caller);
		snprintf(code, sizeof(code), "\"code\":\"%s\"", c->code);
		rig_check(response, c->status, code, NOT_RUN);
		free(response);
	}
	assert_int_equal(rig.fakes[0].requests, 0);
	rig_clear(&rig);
}

static void test_body_past_the_service_limit_is_too_large(void **state)
{
	char body[2000];
	char *response;
	rig_t rig;

	(void)state;
	memset(body, 'x', sizeof(body) - 1);
	body[sizeof(body) - 1] = '\0';
	rig_init(&rig);
	rig_publish_view(&rig);
	response = rig_post(&rig, 0, "/s/plan/x", body);
	rig_check(response, 413, "\"too_large\"", NOT_RUN);
	free(response);
	rig_clear(&rig);
}

static void test_no_upstream_means_not_run(void **state)
{
	char *response;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_publish_view(&rig);
	response = rig_post(&rig, 0, CHAT, BODY("once", "false"));
	rig_check(response, 503, "\"not_run\"", NOT_RUN);
	free(response);
	rig_clear(&rig);
}

#define USAGE(prompt, cached)                                                                      \
	"\"prompt_tokens\":" prompt ",\"completion_tokens\":1,"                                    \
	"\"prompt_tokens_details\":{\"cached_tokens\":" cached "}"

/* A token costs one micro-unit. The gateway's own estimate for this prompt is 5 tokens. */
static void test_cost_uses_engine_token_counts(void **state)
{
	static const struct {
		const char *usage;
		const char *stream;
		const char *cost;
	} cases[] = {
		{USAGE("100", "60"), "false", "Arbutuspond-Cost: 41.000"},
		{USAGE("100", "60"), "true", "cost=46.000"},
		{USAGE("100", "0"), "true", "cost=106.000"},
		{NULL, "false", "Arbutuspond-Cost: 6.000"},
		{USAGE("100", "101"), "false", "Arbutuspond-Cost: 6.000"},
		{USAGE("100", "-1"), "false", "Arbutuspond-Cost: 6.000"},
		{USAGE("100", "\"60\""), "true", "cost=11.000"},
		{USAGE("0", "0"), "true", "cost=11.000"},
	};
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bool stream = strcmp(cases[i].stream, "true") == 0;
		char *response;

		rig.fakes[0].usage = cases[i].usage;
		response = rig_post(&rig, 0, CHAT,
				    stream ? BODY("ask", "true") : BODY("ask", "false"));
		rig_check(response, 200, cases[i].cost, "200 OK");
		free(response);
	}
	rig_clear(&rig);
}

#define PROMPT_BYTES 4096

/* Number of cached tokens that routing expects for @prompt. */
static uint32_t expected_cached(const rig_t *rig, const char *prompt)
{
	char text[PROMPT_BYTES + 64];
	int len = snprintf(text, sizeof(text), "[{\"content\":\"%s\"}]", prompt);
	ap_request_t req = {
		.service = ap_conf_service(rig->conf, "ask"),
		.home = "recife",
		.cls = AP_CLASS_SHORT,
		.deadline = ap_now() + 60 * AP_SEC,
		.tokens_in = PROMPT_BYTES / 4,
	};
	ap_choice_t choice;

	req.n_blocks = ap_prefix_blocks(text, (size_t)len, req.blocks);
	assert_int_equal(ap_route_choose(rig->entries[0].entry->route, &req, ap_now(), &choice),
			 AP_ROUTE_OK);
	return choice.cached_tokens;
}

static void test_engine_usage_corrects_expected_cached_tokens(void **state)
{
	char prompt[PROMPT_BYTES + 1];
	char body[PROMPT_BYTES + 128];
	uint32_t first;
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	memset(prompt, 'x', PROMPT_BYTES);
	prompt[PROMPT_BYTES] = '\0';
	snprintf(body, sizeof(body), "{\"model\":\"ask\",\"messages\":[{\"content\":\"%s\"}]}",
		 prompt);
	rig.fakes[0].usage = USAGE("1000", "0");
	free(rig_post(&rig, 0, CHAT, body));
	first = expected_cached(&rig, prompt);
	assert_true(first > 0);
	for (int i = 0; i < 10; i++)
		free(rig_post(&rig, 0, CHAT, body));
	assert_true(expected_cached(&rig, prompt) < first / 2);
	rig.fakes[0].usage = USAGE("1000", "1000");
	for (int i = 0; i < 30; i++)
		free(rig_post(&rig, 0, CHAT, body));
	assert_true(expected_cached(&rig, prompt) >= first);
	rig_clear(&rig);
}

static void test_plain_service_passes_path_and_body(void **state)
{
	char *response;
	char *text;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_add_fake(&rig, "recife", "desk");
	rig_publish_view(&rig);
	response = rig_post(&rig, 0, "/s/plan/floor?hall=2", "stand 7");
	rig_check(response, 200, COMPLETED, "Arbutuspond-Cost: 5.000");
	text = entry_counters_text(rig.entries[0].entry);
	assert_non_null(strstr(text, "arbutuspond_cost_micro_units_total 5.000\n"));
	assert_non_null(strstr(text, "arbutuspond_first_byte_seconds_count{class=\"short\"} 1\n"));
	assert_non_null(strstr(text, "arbutuspond_completed_total 1\n"));
	free(text);
	assert_non_null(strstr(rig.fakes[0].last_request, "POST /floor?hall=2 HTTP/1.1"));
	assert_non_null(strstr(rig.fakes[0].last_request, "\r\n\r\nstand 7"));
	free(response);
	free(rig_post(&rig, 0, "/s/plan?hall=3", ""));
	assert_non_null(strstr(rig.fakes[0].last_request, "POST /?hall=3 HTTP/1.1"));
	rig_clear(&rig);
}

static void test_hang_up_cancels_upstream(void **state)
{
	static const fake_mode_t modes[] = {FAKE_STALL_BEFORE, FAKE_STALL_MIDDLE};

	(void)state;
	for (int i = 0; i < 2; i++) {
		rig_caller_t caller;
		rig_t rig;

		rig_init(&rig);
		rig_add_fake(&rig, "recife", "gpu");
		rig.fakes[0].mode = modes[i];
		rig_publish_view(&rig);
		rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("once", "true"));
		RUN_UNTIL(rig.base, rig.fakes[0].requests == 1);
		if (modes[i] == FAKE_STALL_MIDDLE)
			RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
		rig_hang_up(&caller);
		RUN_UNTIL(rig.base, rig.fakes[0].hangups == 1);
		RUN_UNTIL(rig.base, !rig.entries[0].entry->exchanges);
		assert_int_equal(rig.entries[0].entry->counts[COUNT_HANG_UPS], 1);
		rig_clear(&rig);
	}
}

static void test_slow_reader_bounds_buffered_bytes(void **state)
{
	rig_caller_t caller;
	size_t most = 0;
	char *response;
	exchange_t *x;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_add_fake(&rig, "recife", "gpu");
	rig.fakes[0].mode = FAKE_SLOW_READER;
	rig_publish_view(&rig);
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	bufferevent_disable(caller.bev, EV_READ);
	x = rig.entries[0].entry->exchanges;
	for (int i = 0; i < 200; i++) {
		event_base_loop(rig.base, EVLOOP_NONBLOCK);
		if (rig.entries[0].entry->exchanges && x->call &&
		    ap_http_reply_pending(x->call) > most)
			most = ap_http_reply_pending(x->call);
	}
	assert_true(most < 2 * REPLY_HIGH);
	bufferevent_enable(caller.bev, EV_READ);
	response = rig_response(&rig, &caller);
	rig_check(response, 200, "t19999 ", ENDED);
	free(response);
	rig_clear(&rig);
}

static void test_draining_upstream_gets_no_new_requests(void **state)
{
	char *response;
	int before;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_add_fake(&rig, "recife", "gpu");
	rig_add_fake(&rig, "recife", "gpu");
	rig_publish_view(&rig);
	rig.fakes[0].mode = FAKE_DRAIN;
	for (int i = 0; i < 20 && rig.fakes[0].requests == 0; i++)
		free(rig_post(&rig, 0, CHAT, BODY("ask", "false")));
	before = rig.fakes[0].requests;
	assert_int_equal(before, 1);
	assert_int_equal(rig.entries[0].drain_notes, 1);
	for (int i = 0; i < 20; i++) {
		response = rig_post(&rig, 0, CHAT, BODY("ask", "false"));
		rig_check(response, 200, COMPLETED, "whole");
		free(response);
	}
	assert_int_equal(rig.fakes[0].requests, before);
	rig_clear(&rig);
}

static void test_drain_finishes_requests_in_progress(void **state)
{
	ap_note_t drain = {.kind = AP_NOTE_DRAIN};
	rig_caller_t caller;
	char *response;
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	rig.fakes[0].mode = FAKE_SLOW_READER;
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	entry_note(rig.entries[0].entry, &drain);
	assert_false(rig.entries[0].drained);
	response = rig_post(&rig, 0, CHAT, BODY("ask", "false"));
	rig_check(response, 503, "\"draining\"", NOT_RUN);
	free(response);
	{
		rig_caller_t list;

		rig_call(&rig, 0, &list, "GET", "/v1/entries?service=ask", RIG_AUTH, "");
		response = rig_response(&rig, &list);
		rig_check(response, 200, "\"entries\":[]", "ttl");
		free(response);
	}
	response = rig_response(&rig, &caller);
	rig_check(response, 200, "t19999 ", ENDED);
	free(response);
	RUN_UNTIL(rig.base, rig.entries[0].drained);
	rig_clear(&rig);
}

static void test_drain_waits_until_responses_are_sent(void **state)
{
	ap_note_t drain = {.kind = AP_NOTE_DRAIN};
	rig_caller_t caller;
	entry_t *entry;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	entry = rig.entries[0].entry;
	rig_add_fake(&rig, "recife", "gpu");
	rig_publish_view(&rig);
	rig.fakes[0].mode = FAKE_LARGE;
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "false"));
	bufferevent_disable(caller.bev, EV_READ);
	RUN_UNTIL(rig.base, entry->counts[COUNT_COMPLETED] == 1 && !entry->exchanges);
	entry_note(entry, &drain);
	assert_false(rig.entries[0].drained);
	bufferevent_enable(caller.bev, EV_READ);
	RUN_UNTIL(rig.base, caller.closed);
	assert_true(evbuffer_get_length(caller.got) > FAKE_LARGE_BYTES);
	assert_true(rig.entries[0].drained);
	rig_hang_up(&caller);
	rig_clear(&rig);
}

static void test_entries_lists_live_ones(void **state)
{
	rig_caller_t caller;
	char *response;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_publish_view(&rig);
	rig_call(&rig, 0, &caller, "GET", "/v1/entries?service=ask", RIG_AUTH, "");
	response = rig_response(&rig, &caller);
	rig_check(response, 200, "\"id\":\"recife-0\"", "\"ttl\":");
	free(response);
	rig_clear(&rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_fault_has_its_outcome),
		cmocka_unit_test(test_each_wrong_input_has_its_error),
		cmocka_unit_test(test_body_past_the_service_limit_is_too_large),
		cmocka_unit_test(test_no_upstream_means_not_run),
		cmocka_unit_test(test_cost_uses_engine_token_counts),
		cmocka_unit_test(test_engine_usage_corrects_expected_cached_tokens),
		cmocka_unit_test(test_plain_service_passes_path_and_body),
		cmocka_unit_test(test_hang_up_cancels_upstream),
		cmocka_unit_test(test_slow_reader_bounds_buffered_bytes),
		cmocka_unit_test(test_draining_upstream_gets_no_new_requests),
		cmocka_unit_test(test_drain_finishes_requests_in_progress),
		cmocka_unit_test(test_drain_waits_until_responses_are_sent),
		cmocka_unit_test(test_entries_lists_live_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
