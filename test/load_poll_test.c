/* What an engine's metrics say of its load, whole or cut short where a line or a number breaks. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "control.h"

#include <string.h>

#define WHOLE "engine_running 12\nengine_waiting 34\nengine_kv_used 0.567\n"

/* Guards against a busy engine that looks idle since its metrics ended in order, but early. */
static void metrics_that_end_early_say_no_load(void **state)
{
	char text[sizeof(WHOLE)];
	ap_load_report_t load;
	size_t wrong = 0;

	(void)state;
	for (size_t len = 0; len < strlen(WHOLE); len++) {
		memcpy(text, WHOLE, len);
		text[len] = '\0';
		if (!ap_poll_read_load(text, &load))
			continue;
		print_error("'%s': %u running, %u waiting, %.3f used\n", text, load.running,
			    load.waiting, load.kv_used);
		wrong++;
	}
	assert_int_equal(wrong, 0);
}

/* Guards against a gauge that is read from a comment on it, or from one with a longer name. */
static void a_gauge_is_a_line_of_its_own(void **state)
{
	static const char text[] = "# HELP engine_running Number of requests\n"
				   "# TYPE engine_running gauge\n"
				   "old_engine_running 99\n"
				   "engine_running 12\r\n"
				   "engine_kv_used 0.5 1765000000000\n"
				   "engine_waiting_total 98\n"
				   "engine_waiting 34\n";
	ap_load_report_t load;

	(void)state;
	assert_true(ap_poll_read_load(text, &load));
	assert_int_equal(load.running, 12);
	assert_int_equal(load.waiting, 34);
	assert_true(load.kv_used > 0.49 && load.kv_used < 0.51);
	assert_false(
		ap_poll_read_load("engine_running x\nengine_waiting 1\nengine_kv_used 0\n", &load));
}

static void whole_metrics_say_the_load(void **state)
{
	ap_load_report_t load;

	(void)state;
	assert_true(ap_poll_read_load(WHOLE, &load));
	assert_int_equal(load.running, 12);
	assert_int_equal(load.waiting, 34);
	assert_true(load.kv_used > 0.56 && load.kv_used < 0.57);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(metrics_that_end_early_say_no_load),
		cmocka_unit_test(a_gauge_is_a_line_of_its_own),
		cmocka_unit_test(whole_metrics_say_the_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
