/* Settings files: values and defaults, and the file, line and key named for each fault. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "settings/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <unistd.h>
#include <zmq.h>

#define LINES 21

static char public_key[AP_CURVE_KEY_MAX];
static char secret_key[AP_CURVE_KEY_MAX];
static char public_line[64];
static char secret_line[64];

/* Lines of a valid file; a row of the table faults replaces one of them by its number. */
static const char *const valid[LINES] = {
	"[instance]",
	"id = \"n1\"",
	"region = \"recife\"",
	"data_centre = \"rec1\"",
	"host = \"127.0.0.1\"",
	"[listen]",
	"callers = 8080",
	"data = 8081",
	"control = 8082",
	"admin = \"127.0.0.1:8083\"",
	"admin_token = \"0123456789abcdef\"",
	"[keys]",
	public_line,
	secret_line,
	"peers = []",
	"[platform]",
	"store = \"127.0.0.1:9000\"",
	"instances = \"[::1]:9001\"",
	"directory = \"127.0.0.1:9002\"",
	"[limits]",
	"queue = 10",
};

static int setup(void **state)
{
	(void)state;
	if (zmq_curve_keypair(public_key, secret_key) != 0)
		return -1;
	snprintf(public_line, sizeof(public_line), "public = '%s'", public_key);
	snprintf(secret_line, sizeof(secret_line), "secret = '%s'", secret_key);
	return 0;
}

/* Writes the valid file with line @number (from 1) replaced; 0 replaces none. */
static void write_file(char path[32], int number, const char *line)
{
	FILE *f;
	int fd;

	strcpy(path, "/tmp/settings-XXXXXX");
	fd = mkstemp(path);
	assert_true(fd >= 0);
	f = fdopen(fd, "w");
	assert_non_null(f);
	for (int i = 0; i < LINES; i++)
		fprintf(f, "%s\n", i + 1 == number ? line : valid[i]);
	fclose(f);
}

static void test_valid_file(void **state)
{
	ap_settings_t s;
	ap_err_t err;
	char path[32];

	(void)state;
	write_file(path, 0, NULL);
	assert_int_equal(ap_settings_load(path, &s, &err), AP_SETTINGS_OK);
	unlink(path);
	assert_string_equal(s.id, "n1");
	assert_int_equal(s.control_port, 8082);
	assert_int_equal(s.admin.port, 8083);
	assert_string_equal(s.instances.host, "::1");
	assert_string_equal(s.secret_key, secret_key);
	assert_int_equal(s.queue, 10);
	assert_int_equal(s.log_level, LOG_INFO);
	assert_int_equal(s.arrival_time, 30 * AP_SEC);
	assert_int_equal(s.request_time, 600 * AP_SEC);
	ap_settings_clear(&s);
	assert_string_equal(s.secret_key, "");
}

static const struct {
	int line;
	const char *text;
	ap_settings_status_t status;
	const char *message;
} faults[] = {
	{2, "id = 'a b'", AP_SETTINGS_INVALID, ":2: instance.id"},
	{3, "", AP_SETTINGS_INVALID, ":1: instance.region: is missing"},
	{3, "regions = 'x'", AP_SETTINGS_INVALID, ":3: instance.regions: unknown key"},
	{3, "region = ", AP_SETTINGS_SYNTAX, ":3: "},
	{3, "id = 'again'", AP_SETTINGS_SYNTAX, ":3: "},
	{5, "host = 'example.org'", AP_SETTINGS_INVALID, ":5: instance.host"},
	{7, "callers = 0", AP_SETTINGS_INVALID, ":7: listen.callers"},
	{7, "callers = 70000", AP_SETTINGS_INVALID, ":7: listen.callers"},
	{7, "callers = '8080'", AP_SETTINGS_INVALID, ":7: listen.callers"},
	{10, "admin = '127.0.0.1'", AP_SETTINGS_INVALID, ":10: listen.admin"},
	{10, "admin = '127.0.0.1:x'", AP_SETTINGS_INVALID, ":10: listen.admin"},
	{11, "admin_token = 'short'", AP_SETTINGS_INVALID, ":11: listen.admin_token"},
	{13, "public = 'rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7'", AP_SETTINGS_INVALID,
	 ":13: keys.public: does not belong"},
	{14, "secret = 'abc'", AP_SETTINGS_INVALID, ":14: keys.secret"},
	{15, "peers = 'abc'", AP_SETTINGS_INVALID, ":15: keys.peers"},
	{15, "peers = ['abc']", AP_SETTINGS_INVALID, ":15: keys.peers"},
	{16, "[platforms]", AP_SETTINGS_INVALID, ":16: platforms: unknown table"},
	{20, "[log]", AP_SETTINGS_INVALID, ":21: log.queue: unknown key"},
	{21, "queue = 0", AP_SETTINGS_INVALID, ":21: limits.queue"},
	{21, "retry_ratio = 1.5", AP_SETTINGS_INVALID, ":21: limits.retry_ratio"},
	{21, "retry_ratio = nan", AP_SETTINGS_INVALID, ":21: limits.retry_ratio"},
	{21, "header_bytes = 10", AP_SETTINGS_INVALID, ":21: limits.header_bytes"},
	{21, "arrival_seconds = 0", AP_SETTINGS_INVALID, ":21: limits.arrival_seconds"},
	{21, "arrival_seconds = 601", AP_SETTINGS_INVALID, ":21: limits.arrival_seconds"},
	{21, "arrival_seconds = 1.5", AP_SETTINGS_INVALID, ":21: limits.arrival_seconds"},
	{21, "request_seconds = 2020-01-01", AP_SETTINGS_INVALID, ":21: limits.request_seconds"},
};

static void test_each_fault_names_file_line_and_key(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		char path[32];
		char expected[128];
		ap_settings_t s;
		ap_err_t err;

		write_file(path, faults[i].line, faults[i].text);
		assert_int_equal(ap_settings_load(path, &s, &err), faults[i].status);
		unlink(path);
		snprintf(expected, sizeof(expected), "%s%s", path, faults[i].message);
		if (strncmp(err.text, expected, strlen(expected)) != 0)
			fail_msg("row %zu: \"%s\" is not \"%s\"", i, err.text, expected);
	}
}

/* Returns the result of a file of a gateway instance with @line in its table. */
static ap_settings_status_t load_gateway(const char *line, ap_settings_t *s, ap_err_t *err)
{
	char path[] = "/tmp/settings-XXXXXX";
	ap_settings_status_t status;
	FILE *f;
	int fd = mkstemp(path);

	assert_true(fd >= 0);
	f = fdopen(fd, "w");
	assert_non_null(f);
	fprintf(f, "[instance]\nid = \"n1\"\nregion = \"recife\"\ndata_centre = \"rec1\"\n"
		   "host = \"127.0.0.1\"\n[gateway]\ncallers = \"127.0.0.1:1\"\n"
		   "ready = \"127.0.0.1:2\"\ndirectory = \"127.0.0.1:3\"\n"
		   "metrics = \"127.0.0.1:4\"\npeer_port = 5\nstore = \"127.0.0.1:6\"\n"
		   "cores = 0.25\nrepeat_ratio = 0.2\nrepeat_slack = 54\nrepeat_window_s = 10\n"
		   "cold_over = 1.5\ncold_slack = 3\ndrain_ms = 3000\napply_ms = 3000\n"
		   "grace_s = 8\ndirectory_s = 2\n");
	fprintf(f, "%s\n[gateway.data_centres]\nrec1 = \"recife\"\n", line);
	fclose(f);
	status = ap_settings_load(path, s, err);
	unlink(path);
	return status;
}

static void test_second_attempts_are_a_share_of_at_most_a_fifth(void **state)
{
	static const struct {
		const char *line;
		double share; /* negative: invalid */
	} rows[] = {
		{"", 0},
		{"second_attempts = 0", 0},
		{"second_attempts = 0.2", 0.2},
		{"second_attempts = 0.21", -1},
		{"second_attempts = -0.01", -1},
		{"second_attempts = \"0.1\"", -1},
	};
	ap_settings_t s;
	ap_err_t err;

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		ap_settings_status_t status = load_gateway(rows[i].line, &s, &err);

		if (rows[i].share < 0) {
			assert_int_equal(status, AP_SETTINGS_INVALID);
			assert_non_null(strstr(err.text, "gateway.second_attempts"));
			continue;
		}
		assert_int_equal(status, AP_SETTINGS_OK);
		assert_true(s.gateway.second_attempts == rows[i].share);
		ap_settings_clear(&s);
	}
}

/* Guards against an incident that can't be read from the logs since most requests have no record.
 */
static void each_request_may_be_recorded(void **state)
{
	static const struct {
		const char *line;
		size_t sample; /* 0: invalid */
	} rows[] = {
		{"", 16},
		{"log_sample = 1", 1},
		{"log_sample = 0", 0},
		{"log_sample = 1.5", 0},
	};
	ap_settings_t s;
	ap_err_t err;

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		ap_settings_status_t status = load_gateway(rows[i].line, &s, &err);

		if (rows[i].sample == 0) {
			assert_int_equal(status, AP_SETTINGS_INVALID);
			assert_non_null(strstr(err.text, "gateway.log_sample"));
			continue;
		}
		assert_int_equal(status, AP_SETTINGS_OK);
		assert_int_equal(s.gateway.log_sample, rows[i].sample);
		ap_settings_clear(&s);
	}
}

static void test_no_file(void **state)
{
	ap_settings_t s;
	ap_err_t err;

	(void)state;
	assert_int_equal(ap_settings_load("/nonexistent", &s, &err), AP_SETTINGS_UNREADABLE);
	assert_string_equal(err.text, "/nonexistent: can't be read");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_file),
		cmocka_unit_test(test_each_fault_names_file_line_and_key),
		cmocka_unit_test(test_second_attempts_are_a_share_of_at_most_a_fifth),
		cmocka_unit_test(each_request_may_be_recorded),
		cmocka_unit_test(test_no_file),
	};

	return cmocka_run_group_tests(tests, setup, NULL);
}
