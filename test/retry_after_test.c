/* Tests of Retry-After as others write it. */
#include "http/http.h"
#include "platform/host.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#define DATE "Date: Sat, 05 Dec 2026 07:00:00 GMT"
#define LINES_MAX 4

/* Fills @headers with the "Name: value" lines; the caller clears them. */
static void fill(struct evkeyvalq *headers, const char *const lines[LINES_MAX])
{
	TAILQ_INIT(headers);
	for (size_t i = 0; i < LINES_MAX && lines[i]; i++) {
		const char *value = strchr(lines[i], ':') + 2;
		char name[32] = "";

		memcpy(name, lines[i], (size_t)(value - lines[i] - 2));
		assert_int_equal(evhttp_add_header(headers, name, value), 0);
	}
}

/* Guards against a time that is misread, and so against a pause that is too short or endless. */
static void values_are_read_or_rejected(void **state)
{
	static const struct {
		const char *lines[LINES_MAX];
		ap_http_retry_t result;
		ap_usec_t wait;
	} cases[] = {
		{{"Other: 1"}, AP_HTTP_RETRY_NONE, 0},
		{{"Retry-After: 3"}, AP_HTTP_RETRY_VALID, 3 * AP_SEC},
		{{"retry-after: 0.7"}, AP_HTTP_RETRY_VALID, 700 * AP_MSEC},
		{{"Retry-After: 2. "}, AP_HTTP_RETRY_VALID, 2 * AP_SEC},
		{{"Retry-After: 0"}, AP_HTTP_RETRY_VALID, 0},
		{{"Retry-After: 0.000"}, AP_HTTP_RETRY_VALID, 0},
		{{"Retry-After: 1e3"}, AP_HTTP_RETRY_VALID, 1000 * AP_SEC},
		{{"Retry-After: 1e300"}, AP_HTTP_RETRY_VALID, AP_DURATION_MAX},
		{{"Retry-After: 1e9999"}, AP_HTTP_RETRY_VALID, AP_DURATION_MAX},
		{{"Retry-After: 99999999999999999999"}, AP_HTTP_RETRY_VALID, AP_DURATION_MAX},
		{{"Retry-After: "}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: -1"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: +1"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: ."}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: 3s"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: 3, 4"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: 0x10"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: nan"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: inf"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: soon"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Retry-After: 1", "Retry-After: 4"}, AP_HTTP_RETRY_VALID, 4 * AP_SEC},
		{{"Retry-After: 4", "Retry-After: 1"}, AP_HTTP_RETRY_VALID, 4 * AP_SEC},
		{{"Retry-After: soon", "Retry-After: 1"}, AP_HTTP_RETRY_VALID, AP_SEC},
		{{"Retry-After: 1", "Retry-After: soon"}, AP_HTTP_RETRY_VALID, AP_SEC},
		/* A date counts from that of its sender, whatever the time is here. */
		{{DATE, "Retry-After: Sat, 05 Dec 2026 07:00:30 GMT"},
		 AP_HTTP_RETRY_VALID,
		 30 * AP_SEC},
		{{DATE, "Retry-After: Sat, 05 Dec 2026 06:59:00 GMT"}, AP_HTTP_RETRY_VALID, 0},
		{{"Retry-After: Sat, 05 Dec 2026 07:00:30 GMT"}, AP_HTTP_RETRY_INVALID, 0},
		{{"Date: today", "Retry-After: Sat, 05 Dec 2026 07:00:30 GMT"},
		 AP_HTTP_RETRY_INVALID,
		 0},
		{{DATE, "Retry-After: Sat, 05 Dec 2026"}, AP_HTTP_RETRY_INVALID, 0},
		{{DATE, "Retry-After: Sat, 05 Dec 2026 07:00:30 GMT+1"}, AP_HTTP_RETRY_INVALID, 0},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct evkeyvalq headers;
		ap_usec_t wait = -1;
		ap_http_retry_t result;

		fill(&headers, cases[i].lines);
		result = ap_http_retry_after(&headers, 503, &wait);
		if (result != cases[i].result || wait != cases[i].wait)
			fail_msg("case %zu, %s: %d, %lld us", i, cases[i].lines[0], (int)result,
				 (long long)wait);
		evhttp_clear_headers(&headers);
	}
}

/* A refusal asks for a pause, whether it bears a stamp or not; no other response does. */
static void refusals_ask_for_a_pause(void **state)
{
	static const char *const texts[][LINES_MAX] = {
		{"Retry-After: 3"},
		{"Retry-After: 3", "Not-Run: 1"},
		{"Retry-After: 3", "Not-Run: 1", "Request-Id: abc"},
		{"Retry-After: 3", "Server-Stamp: s", "Request-Id: abc"},
	};
	static const struct {
		int status;
		ap_usec_t wait;
	} cases[] = {
		{503, 3 * AP_SEC}, {429, 3 * AP_SEC}, {200, 0}, {301, 0},
		{408, 0},	   {421, 0},	      {500, 0}, {502, 0},
	};

	(void)state;
	for (size_t t = 0; t < sizeof(texts) / sizeof(texts[0]); t++) {
		struct evkeyvalq headers;

		fill(&headers, texts[t]);
		for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
			ap_host_response_t response =
				ap_host_parse_response(&headers, cases[i].status, "abc", false);

			assert_int_equal(response.retry_after, cases[i].wait);
			assert_false(response.retry_after_invalid);
		}
		evhttp_clear_headers(&headers);
	}
}

static void what_cannot_be_read_is_reported(void **state)
{
	static const char *const lines[LINES_MAX] = {"Retry-After: soon", "Instance-Id: i-1"};
	struct evkeyvalq headers;
	ap_usec_t wait = -1;

	(void)state;
	fill(&headers, lines);
	assert_true(ap_host_parse_response(&headers, 503, "", false).retry_after_invalid);
	assert_false(ap_host_parse_response(&headers, 500, "", false).retry_after_invalid);
	assert_int_equal(ap_http_retry_after(&headers, 500, &wait), AP_HTTP_RETRY_NONE);
	assert_int_equal(wait, 0);
	assert_false(ap_host_names_other(&headers, "i-1"));
	assert_true(ap_host_names_other(&headers, "i-2"));
	evhttp_clear_headers(&headers);
	assert_false(ap_host_names_other(&headers, "i-2"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(values_are_read_or_rejected),
		cmocka_unit_test(refusals_ask_for_a_pause),
		cmocka_unit_test(what_cannot_be_read_is_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
