/* Limits of one entry: callers' rates, time limits, memory, and connections that went silent. */
#include "entry_rig.h"

static void test_rate_limited_caller_gets_retry_after(void **state)
{
	rig_caller_t caller;
	char *response;
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	for (int i = 0; i < 2; i++) {
		rig_call(&rig, 0, &caller, "POST", CHAT, "Authorization: Bearer modest-key\r\n",
			 BODY("ask", "false"));
		response = rig_response(&rig, &caller);
		if (i == 0)
			rig_check(response, 200, "Arbutuspond-Outcome: completed", "whole");
		else
			rig_check(response, 429, "\"over_limit\"", "Retry-After: ");
		free(response);
	}
	assert_int_equal(rig.fakes[0].requests, 1);
	rig_clear(&rig);
}

static void test_full_queue_sheds_with_retry_after(void **state)
{
	rig_caller_t held[32];
	rig_caller_t late;
	char *response;
	rig_t rig;

	(void)state;
	rig_init(&rig);
	rig_add_fake(&rig, "recife", "gpu");
	entry_free(rig.entries[0].entry);
	rig.n_entries = 0;
	rig.queue = 2;
	rig_add_entry(&rig, "recife");
	rig_publish_view(&rig);
	rig.fakes[0].mode = FAKE_STALL_BEFORE;
	for (int i = 0; i < 32; i++)
		rig_call(&rig, 0, &held[i], "POST", CHAT, RIG_AUTH, BODY("once", "false"));
	RUN_UNTIL(rig.base, rig.entries[0].entry->counts[COUNT_REQUESTS] == 32);
	rig_call(&rig, 0, &late, "POST", CHAT, RIG_AUTH, BODY("once", "false"));
	response = rig_response(&rig, &late);
	rig_check(response, 503, "\"overloaded\"", "Retry-After: ");
	assert_non_null(strstr(response, "Arbutuspond-Outcome: not-run"));
	free(response);
	for (int i = 0; i < 32; i++)
		rig_hang_up(&held[i]);
	RUN_UNTIL(rig.base, !rig.entries[0].entry->exchanges);
	rig_clear(&rig);
}

static void test_time_limit_of_a_request(void **state)
{
	static const struct {
		fake_mode_t mode;
		const char *stream;
		int status;
		const char *part;
	} cases[] = {
		{FAKE_STALL_BEFORE, "false", 504, "Arbutuspond-Outcome: unknown"},
		{FAKE_STALL_MIDDLE, "true", 200, "event: error\n"},
	};

	(void)state;
	for (int i = 0; i < 2; i++) {
		char body[128];
		char *response;
		rig_t rig;

		rig_init_one(&rig);
		rig.entries[0].settings.request_time = 250 * AP_MSEC;
		rig.fakes[0].mode = cases[i].mode;
		snprintf(body, sizeof(body), "{\"model\":\"once\",\"stream\":%s,\"prompt\":\"hi\"}",
			 cases[i].stream);
		response = rig_post(&rig, 0, "/v1/completions", body);
		rig_check(response, cases[i].status, cases[i].part, "time limit of a request");
		assert_null(strstr(response, "[DONE]"));
		free(response);
		rig_clear(&rig);
	}
}

static void test_silent_connection_is_not_the_upstreams_fault(void **state)
{
	char *response;
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	free(rig_post(&rig, 0, CHAT, BODY("ask", "false")));
	rig.fakes[0].mode = FAKE_STALL_REUSED;
	for (int i = 0; i < 3; i++) {
		response = rig_post(&rig, 0, CHAT, BODY("ask", "false"));
		rig_check(response, 200, "Arbutuspond-Outcome: completed", "whole");
		free(response);
		rig.fakes[0].mode = FAKE_NONE;
	}
	assert_int_equal(rig.entries[0].entry->counts[COUNT_SILENT_CONNECTIONS], 1);
	assert_true(ap_http_client_stats(rig.entries[0].entry->client).retired >= 1);
	rig_clear(&rig);
}

/*
 * A slow upstream looks like a series of silent connections. Unbounded retries would double the
 * load of an upstream that is already too slow.
 */
static void test_retries_after_silence_are_bounded(void **state)
{
	ap_usec_t now = ap_now();
	entry_t *entry;
	char *response;
	rig_t rig;

	(void)state;
	rig_init_as(&rig, true);
	entry = rig.entries[0].entry;
	ap_retry_budget_free(entry->budget);
	entry->budget = ap_retry_budget_new(0, &entry->env);
	rig_add_fake(&rig, "recife", "gpu");
	rig_publish_view(&rig);
	while (ap_retry_budget_take_reserve(entry->budget, now, now + AP_SEC, 0) ||
	       ap_retry_budget_take(entry->budget, now, now + AP_SEC, 0))
		;
	free(rig_post(&rig, 0, CHAT, BODY("ask", "false")));
	rig.fakes[0].mode = FAKE_STALL_REUSED;
	response = rig_post(&rig, 0, CHAT, BODY("ask", "false"));
	rig_check(response, 502, "Arbutuspond-Outcome: unknown", "the connection went silent");
	assert_int_equal(entry->counts[COUNT_RETRIES], 0);
	free(response);
	rig_clear(&rig);
}

static void test_unrepeatable_calls_avoid_old_connections(void **state)
{
	struct timeval past_proof = {.tv_usec = 700000};
	char *response;
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	free(rig_post(&rig, 0, CHAT, BODY("ask", "false")));
	rig.fakes[0].mode = FAKE_STALL_REUSED;
	event_base_loopexit(rig.base, &past_proof);
	event_base_dispatch(rig.base);
	response = rig_post(&rig, 0, CHAT, BODY("once", "false"));
	rig_check(response, 200, "Arbutuspond-Outcome: completed", "whole");
	assert_int_equal(rig.fakes[0].connections, 2);
	free(response);
	rig_clear(&rig);
}

static void test_caller_that_sends_ahead_is_throttled(void **state)
{
	static char flood[1 << 20];
	rig_caller_t caller;
	exchange_t *x;
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	rig.fakes[0].mode = FAKE_STALL_MIDDLE;
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("once", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	x = rig.entries[0].entry->exchanges;
	for (int i = 0; i < 16; i++)
		bufferevent_write(caller.bev, flood, sizeof(flood));
	for (int i = 0; i < 100 && rig.entries[0].entry->exchanges; i++)
		event_base_loop(rig.base, EVLOOP_NONBLOCK);
	if (rig.entries[0].entry->exchanges)
		assert_in_range(ap_http_call_pipelined(x->call), 0, 1 << 18);
	rig_hang_up(&caller);
	RUN_UNTIL(rig.base, !rig.entries[0].entry->exchanges);
	rig_clear(&rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate_limited_caller_gets_retry_after),
		cmocka_unit_test(test_full_queue_sheds_with_retry_after),
		cmocka_unit_test(test_time_limit_of_a_request),
		cmocka_unit_test(test_silent_connection_is_not_the_upstreams_fault),
		cmocka_unit_test(test_retries_after_silence_are_bounded),
		cmocka_unit_test(test_unrepeatable_calls_avoid_old_connections),
		cmocka_unit_test(test_caller_that_sends_ahead_is_throttled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
