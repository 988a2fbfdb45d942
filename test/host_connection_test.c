/* What Connection takes away from the headers that are passed on, both ways. */
#include "platform/host.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static bool has(const ap_host_headers_t *h, const char *name)
{
	for (size_t i = 0; i < h->n; i++) {
		if (evutil_ascii_strcasecmp(h->v[i].name, name) == 0)
			return true;
	}
	return false;
}

/* Returns whether @name is passed on where @first and @second are the fields Connection. */
static bool passes(const char *name, const char *first, const char *second)
{
	ap_host_headers_t request = {0};
	ap_host_headers_t response = {0};
	struct evkeyvalq h;
	bool passed;
	ap_host_upstream_request_t from = {.caller_headers = &h};

	TAILQ_INIT(&h);
	evhttp_add_header(&h, "Connection", first);
	evhttp_add_header(&h, name, "1");
	evhttp_add_header(&h, "Connection", second);
	assert_true(ap_host_request_headers(&from, &request));
	assert_true(ap_host_response_headers(&h, &response));
	passed = has(&request, name);
	assert_int_equal(passed, has(&response, name));
	ap_host_headers_clear(&request);
	ap_host_headers_clear(&response);
	evhttp_clear_headers(&h);
	return passed;
}

static void each_connection_header_names_headers(void **state)
{
	(void)state;
	assert_false(passes("X-Hop", "X-Hop", "close"));
	assert_false(passes("X-Hop", "close", "X-Hop"));
	assert_false(passes("X-Hop", "close", "a, x-hop"));
	assert_true(passes("X-Own", "X", "X-Own-Not"));
}

/*
 * Guards against a Connection that takes away what the platform decides by: whose request it is,
 * whether it ran before, and that it did not run.
 */
static void connection_takes_no_header_of_the_platform(void **state)
{
	static const char *const kept[] = {
		"Host",	       "Request-Id",	  "Authorization", "Model",	   "Last-Event-Id",
		"Resumes",     "Weight-Versions", "Not-Run",	   "Server-Stamp", "Server-Limit",
		"Instance-Id", "Server-Leaving",  "Server-Brittle"};

	(void)state;
	for (size_t i = 0; i < COUNT(kept); i++) {
		assert_true(passes(kept[i], kept[i], "close"));
		assert_true(passes(kept[i], "close", kept[i]));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_connection_header_names_headers),
		cmocka_unit_test(connection_takes_no_header_of_the_platform),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
