/* Records and headers with odd values, as any writer may leave them, and what instances tell of
 * them.
 */
#include "fleet_net.h"
#include "platform/host.h"

#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define TEXT_MAX 1024
#define NESTED_MAX 200000

/* Numbers at and beyond what fields hold, and values of other types. */
static const char *const odd[] = {
	"0",
	"-1",
	"-0.0",
	"1e-300",
	"0.5",
	"2147483647",
	"2147483648",
	"1e300",
	"1e12",
	"-1e300",
	"4294967295",
	"4294967296",
	"1e18",
	"9223372036854775807",
	"1e19",
	"null",
	"\"1500\"",
	"true",
	"[]",
	"{\"a\":[1]}",
	"-9223372036854775808",
};

#define N_ODD (sizeof(odd) / sizeof(odd[0]))

static bool in_range(ap_usec_t duration)
{
	return duration >= 0 && duration <= AP_DURATION_MAX;
}

static ap_host_status_t parse_replica(const char *text, ap_replica_entry_t *entry)
{
	ap_err_t err;

	return ap_host_parse_replica("i-1", text, strlen(text), entry, &err);
}

/* Guards against a duration beyond 64 bits, whose conversion is undefined, and against sums. */
static void test_durations_of_upstreams_are_bounded(void **state)
{
	static const char format[] =
		"{\"service\":\"p\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"ready\","
		"\"slots\":%s,\"coldLeftMs\":%s,\"drainLeftMs\":%s}";

	(void)state;
	for (size_t i = 0; i < N_ODD; i++) {
		char text[TEXT_MAX];
		ap_replica_entry_t e;

		snprintf(text, sizeof(text), format, odd[i], odd[i], odd[i]);
		assert_int_equal(parse_replica(text, &e), AP_HOST_OK);
		assert_true(in_range(e.cold_left));
		assert_true(e.shutdown_in == AP_NEVER || in_range(e.shutdown_in));
	}
}

static void test_addresses_of_upstreams_are_checked(void **state)
{
	static const char *const wrong[] = {
		"\"10.0.0.9\"",
		"\"10.0.0.9:0\"",
		"\"10.0.0.9:65536\"",
		"\"10.0.0.9:-1\"",
		"\"10.0.0.9:1e3\"",
		"\"10.0.0.9:99999999999999999999\"",
		"\"host:80\"",
		"\"10.0.0.256:80\"",
		"\":80\"",
		"\"\"",
		"80",
		"null",
		"\"10.0.0.9:80 \"",
		"\"10.0.0.9\\u0000:80\"",
		"[\"10.0.0.9:80\"]",
		"\"[10.0.0.9:80\"",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		char text[TEXT_MAX];
		ap_replica_entry_t e;

		snprintf(text, sizeof(text),
			 "{\"service\":\"p\",\"addr\":%s,\"zone\":\"z\",\"state\":\"ready\"}",
			 wrong[i]);
		assert_int_not_equal(parse_replica(text, &e), AP_HOST_OK);
	}
}

/* Appends @n times @c to @text. */
static char *fill_with(char *text, char c, size_t n)
{
	memset(text, c, n);
	return text + n;
}

/* A record that is nested deeply, in a field that isn't read, is read or refused. */
static void test_nested_records_end_nothing(void **state)
{
	static const char head[] = "{\"service\":\"p\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
				   "\"state\":\"ready\",\"new\":";
	char *text = malloc(2 * NESTED_MAX + sizeof(head) + 2);
	ap_replica_entry_t e;
	ap_member_t m;
	ap_plan_t *plan;
	ap_err_t err;

	(void)state;
	for (size_t depth = 10; depth <= NESTED_MAX; depth *= depth < 1000 ? 10 : 2) {
		char *at = stpcpy(text, head);

		at = fill_with(at, '[', depth);
		at = fill_with(at, ']', depth);
		strcpy(at, "}");
		assert_int_equal(parse_replica(text, &e) == AP_HOST_OK, depth <= 2000);
		assert_int_not_equal(ap_host_parse_member("n", text, strlen(text), &m, &err),
				     AP_HOST_OK);
		if (ap_host_parse_plan(text, strlen(text), &plan, &err) == AP_HOST_OK)
			ap_plan_unref(plan);
	}
	free(text);
}

static void test_records_that_are_no_text_are_refused(void **state)
{
	static const char *const wrong[] = {
		"{\"service\":\"\xff\xfe\",\"addr\":\"10.0.0.9:80\"}",
		"{\"service\":\"p\\u0000q\",\"addr\":\"10.0.0.9:80\"}",
		"{\"service\":\"p\",\"addr\":\"10.0.0.9:80\",\"slots\":1e999}",
		"{\"service\":\"p\",\"addr\":\"10.0.0.9:80\",\"slots\":18446744073709551616}",
		"\xef\xbb\xbf{}",
	};
	ap_replica_entry_t e;

	(void)state;
	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		assert_int_not_equal(parse_replica(wrong[i], &e), AP_HOST_OK);
}

static void test_records_of_instances_are_checked(void **state)
{
	static const char format[] =
		"{\"region\":\"r\",\"data_centre\":\"d\",\"host\":%s,\"caller_port\":%s,"
		"\"peer_port\":81,\"cores\":%s,\"speaks\":%s,\"wire\":[%s,%s]}";
	static const char *const hosts[] = {"\"host\"", "\"10.0.0.1 \"", "\"\"",
					    "7",	"null",		 "\"10.0.0.1:80\""};
	char text[TEXT_MAX];
	ap_member_t m;
	ap_err_t err;

	(void)state;
	for (size_t i = 0; i < N_ODD; i++) {
		snprintf(text, sizeof(text), format, "\"10.0.0.1\"", "80", odd[i], odd[i], odd[i],
			 odd[i]);
		assert_int_equal(ap_host_parse_member("n", text, strlen(text), &m, &err),
				 AP_HOST_OK);
		assert_true(m.cores >= 0 && m.cores <= AP_HOST_CORES_MAX);
		snprintf(text, sizeof(text), format, "\"10.0.0.1\"", odd[i], "1", "1", "2", "2");
		assert_int_not_equal(ap_host_parse_member("n", text, strlen(text), &m, &err),
				     AP_HOST_OK);
	}
	for (size_t i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++) {
		snprintf(text, sizeof(text), format, hosts[i], "80", "1", "1", "2", "2");
		assert_int_not_equal(ap_host_parse_member("n", text, strlen(text), &m, &err),
				     AP_HOST_OK);
	}
}

/* A version that counts as the highest one would keep all later configurations out. */
static void test_configurations_are_bounded(void **state)
{
	static const char format[] =
		"{\"version\":%s,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\","
		"\"kind\":\"stream\",\"service\":\"p\",\"timeoutMs\":%s,\"goalMs\":%s,"
		"\"gapAimMs\":%s,\"attempts\":%s,\"priority\":%s}],\"services\":[{\"name\":\"p\","
		"\"maxConns\":%s,\"warmupS\":%s,\"warmupPerS\":%s}]}";

	(void)state;
	for (size_t i = 0; i < N_ODD; i++) {
		const char *v = odd[i];
		char text[TEXT_MAX];
		ap_plan_t *plan;
		ap_err_t err;

		snprintf(text, sizeof(text), format, "7", v, v, v, v, v, v, v, v);
		assert_int_equal(ap_host_parse_plan(text, strlen(text), &plan, &err), AP_HOST_OK);
		assert_true(in_range(plan->routes[0].timeout));
		assert_true(in_range(plan->routes[0].objective));
		assert_true(in_range(plan->routes[0].event_gap));
		assert_true(in_range(plan->pools[0].warmup));
		assert_true(plan->pools[0].warmup_rate >= 0 && plan->pools[0].warmup_rate < 1e300);
		ap_plan_unref(plan);
		snprintf(text, sizeof(text), format, v, "1", "1", "1", "1", "1", "1", "1", "1");
		if (ap_host_parse_plan(text, strlen(text), &plan, &err) != AP_HOST_OK)
			continue;
		assert_true(plan->version <= INT64_MAX);
		ap_plan_unref(plan);
	}
}

static void test_cold_times_of_health_checks_are_bounded(void **state)
{
	static const char *const values[] = {"0",
					     "1",
					     "4294967296",
					     "9223372036854775807",
					     "-1",
					     "1e3",
					     "99999999999999999999999999",
					     "x"};

	(void)state;
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		struct evkeyvalq headers;
		ap_usec_t cold = -1;

		TAILQ_INIT(&headers);
		evhttp_add_header(&headers, "Instance-Id", "i-1");
		evhttp_add_header(&headers, "Cold-Ms", values[i]);
		if (ap_host_parse_health(&headers, "i-1", &cold))
			assert_true(in_range(cold));
		evhttp_clear_headers(&headers);
	}
}

/*
 * Guards against an upstream whose cold time is longer than a message holds: all other instances
 * refused everything that the instance which knew of it announced.
 */
static void test_what_is_told_of_an_odd_record_is_understood(void **state)
{
	static const char text[] = "{\"service\":\"engines\",\"addr\":\"10.0.0.9:80\","
				   "\"zone\":\"north-1\",\"state\":\"ready\",\"slots\":8,"
				   "\"coldLeftMs\":1e12,\"drainLeftMs\":1e300}";
	ap_usec_t now = WORLD_START;
	ap_replica_entry_t e;
	net_t net;

	(void)state;
	net_begin(&net, 3, 0);
	assert_int_equal(parse_replica(text, &e), AP_HOST_OK);
	for (size_t i = 0; i < net.n; i++)
		ap_fleet_update_replica(net.fleets[i], &e, now);
	ap_fleet_health_checked(net.fleets[0], e.id, e.cold_left, now);
	/* As an instance of an earlier build would. */
	ap_fleet_health_checked(net.fleets[1], e.id, 100 * 24 * 3600 * AP_SEC, now);
	for (int i = 0; i < 20; i++) {
		now += 100 * AP_MSEC;
		net_announce(&net, now); /* asserts that each message is understood */
	}
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_durations_of_upstreams_are_bounded),
		cmocka_unit_test(test_addresses_of_upstreams_are_checked),
		cmocka_unit_test(test_nested_records_end_nothing),
		cmocka_unit_test(test_records_that_are_no_text_are_refused),
		cmocka_unit_test(test_records_of_instances_are_checked),
		cmocka_unit_test(test_configurations_are_bounded),
		cmocka_unit_test(test_cold_times_of_health_checks_are_bounded),
		cmocka_unit_test(test_what_is_told_of_an_odd_record_is_understood),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
