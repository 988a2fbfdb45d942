/* Limits of requests in the host platform's configuration. */
#include "platform/host.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

static ap_host_status_t limits_of(const char *limits, ap_plan_limits_t *read)
{
	char text[256];
	ap_host_status_t status;
	ap_plan_t *plan;
	ap_err_t err;

	snprintf(text, sizeof(text), "{\"version\":1,\"routes\":[],\"services\":[]%s}", limits);
	status = ap_host_parse_plan(text, strlen(text), &plan, &err);
	if (status == AP_HOST_OK) {
		*read = plan->limits;
		ap_plan_unref(plan);
	}
	return status;
}

/* Guards against limits that refuse everything, or that are taken for none as they can't be read.
 */
static void test_limits_of_requests(void **state)
{
	static const char *const invalid[] = {
		",\"limits\":{\"maxBodyBytes\":0}",	",\"limits\":{\"maxBodyBytes\":-1}",
		",\"limits\":{\"maxBodyBytes\":\"9\"}", ",\"limits\":{\"maxHeaderBytes\":null}",
		",\"limits\":{\"headerTimeoutMs\":0}",	",\"limits\":{\"idleTimeoutMs\":\"s\"}"};
	ap_plan_limits_t read = {0};

	(void)state;
	assert_int_equal(limits_of(",\"limits\":{\"maxBodyBytes\":9,\"maxHeaderBytes\":8}", &read),
			 AP_HOST_OK);
	assert_int_equal(read.body, 9);
	assert_int_equal(read.head, 8);
	assert_int_equal(read.head_time + read.idle, 0);
	assert_int_equal(limits_of(",\"limits\":{\"headerTimeoutMs\":3000,"
				   "\"idleTimeoutMs\":15000}",
				   &read),
			 AP_HOST_OK);
	assert_int_equal(read.head_time, 3 * AP_SEC);
	assert_int_equal(read.idle, 15 * AP_SEC);
	assert_int_equal(limits_of("", &read), AP_HOST_OK);
	assert_int_equal(read.body + read.head, 0);
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_int_equal(limits_of(invalid[i], &read), AP_HOST_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limits_of_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
