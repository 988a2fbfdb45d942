/* Upstreams of the own interface that refuse requests and ask for a pause. */
#include "entry_rig.h"

static char *ask(rig_t *rig)
{
	return rig_post(rig, 0, "/v1/chat/completions",
			"{\"model\":\"ask\",\"stream\":false,\"messages\":[]}");
}

static int retry_after(const char *response)
{
	const char *header = strstr(response, "Retry-After: ");

	return header ? atoi(header + strlen("Retry-After: ")) : -1;
}

static void refuse_with(fake_t *fake, const char *header)
{
	fake->mode = FAKE_REFUSE;
	fake->faults = -1;
	fake->extra_headers = header;
}

/*
 * Guards against requests that go on to an upstream which asked for a pause, and against callers
 * that are told to return into it.
 */
static void test_no_requests_in_a_pause(void **state)
{
	char *response;
	rig_t rig;

	(void)state;
	rig_init_one(&rig);
	rig_add_fake(&rig, "recife", "gpu");
	rig_publish_view(&rig);
	refuse_with(&rig.fakes[0], "Retry-After: 30\r\n");
	for (int i = 0; i < 20; i++) {
		response = ask(&rig);
		rig_check(response, 200, "Arbutuspond-Outcome: completed", "whole");
		free(response);
	}
	assert_in_range(rig.fakes[0].requests, 0, 1);
	/* Now there is no other upstream. */
	refuse_with(&rig.fakes[1], "Retry-After: 40\r\n");
	for (int i = 0; i < 20; i++) {
		response = ask(&rig);
		rig_check(response, 503, "Arbutuspond-Outcome: not-run", "Retry-After: ");
		assert_in_range(retry_after(response), 29, 80);
		free(response);
	}
	assert_int_equal(rig.fakes[0].requests, 1);
	assert_int_equal(rig.fakes[1].requests, 21);
	/* A new view keeps the pause. */
	rig_publish_view(&rig);
	response = ask(&rig);
	rig_check(response, 503, "Arbutuspond-Outcome: not-run", "Retry-After: ");
	free(response);
	assert_int_equal(rig.fakes[0].requests + rig.fakes[1].requests, 22);
	rig_clear(&rig);
}

static void test_a_pause_ends(void **state)
{
	static const char *const headers[] = {"Retry-After: 0.3\r\n", "Retry-After: 0\r\n",
					      "Retry-After: soon\r\n", "Retry-After: -1\r\n", ""};

	(void)state;
	for (size_t i = 0; i < sizeof(headers) / sizeof(headers[0]); i++) {
		struct timeval pause = {.tv_usec = 400 * 1000};
		char *response;
		rig_t rig;

		rig_init_one(&rig);
		refuse_with(&rig.fakes[0], headers[i]);
		response = ask(&rig);
		rig_check(response, 503, "Arbutuspond-Outcome: not-run", "not_run");
		free(response);
		rig.fakes[0].mode = FAKE_NONE;
		if (i == 0) {
			response = ask(&rig);
			rig_check(response, 503, "Arbutuspond-Outcome: not-run", "Retry-After: 1");
			free(response);
			assert_int_equal(rig.fakes[0].requests, 1);
			event_base_loopexit(rig.base, &pause);
			event_base_dispatch(rig.base);
		}
		response = ask(&rig);
		rig_check(response, 200, "Arbutuspond-Outcome: completed", "whole");
		free(response);
		assert_int_equal(rig.fakes[0].requests, 2);
		rig_clear(&rig);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_requests_in_a_pause),
		cmocka_unit_test(test_a_pause_ends),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
