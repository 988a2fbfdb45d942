/* Which records of requests are sampled out, and what remains of a burst of those that are not. */
#include "gateway.h"
#include "log/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define OBJECTIVE (400 * AP_MSEC)
#define RATE 200 /* lines a second */

static ap_record_class_t class_of(gate_outcome_t outcome, ap_usec_t first, ap_usec_t took,
				  unsigned runs)
{
	const gate_end_t end = {.outcome = outcome,
				.first = first,
				.took = took,
				.time = 20 * OBJECTIVE,
				.runs = runs};

	return gate_record_class(&end, OBJECTIVE);
}

/* Callers who left unanswered beyond the objective had no record: they were sampled out. */
static void test_caller_who_waited_in_vain_is_recorded(void **state)
{
	static const struct {
		ap_usec_t first;
		ap_usec_t took;
		ap_record_class_t expected;
	} cases[] = {
		{0, 1, AP_RECORD_ORDINARY},
		{0, OBJECTIVE - 1, AP_RECORD_ORDINARY},
		{0, OBJECTIVE, AP_RECORD_RARE},
		{0, 10 * OBJECTIVE, AP_RECORD_RARE},
		{OBJECTIVE / 2, 10 * OBJECTIVE, AP_RECORD_ORDINARY},
		{OBJECTIVE, 10 * OBJECTIVE, AP_RECORD_ORDINARY},
		{OBJECTIVE + 1, 10 * OBJECTIVE, AP_RECORD_RARE},
		/* Streams that began in time, and were not complete at the deadline. */
		{OBJECTIVE / 2, 20 * OBJECTIVE, AP_RECORD_RARE},
		{OBJECTIVE / 2, 20 * OBJECTIVE - 5 * AP_MSEC, AP_RECORD_RARE},
		{OBJECTIVE / 2, 20 * OBJECTIVE - OBJECTIVE, AP_RECORD_ORDINARY},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (unsigned runs = 0; runs <= 2; runs++)
			assert_int_equal(
				class_of(GATE_DISCONNECTED, cases[i].first, cases[i].took, runs),
				cases[i].expected);
	}
}

/* Requests that failed after their retry had no record either. */
static void test_failure_after_a_retry_is_recorded(void **state)
{
	ap_usec_t soon = OBJECTIVE / 2;

	(void)state;
	assert_int_equal(class_of(GATE_FAILED, soon, soon, 1), AP_RECORD_ORDINARY);
	assert_int_equal(class_of(GATE_FAILED, soon, soon, 2), AP_RECORD_RARE);
	assert_int_equal(class_of(GATE_DONE, soon, soon, 1), AP_RECORD_ORDINARY);
	assert_int_equal(class_of(GATE_DONE, soon, soon, 2), AP_RECORD_ORDINARY);
}

static void test_what_is_always_recorded(void **state)
{
	static const gate_outcome_t always[] = {GATE_REFUSED, GATE_UNKNOWN, GATE_ABORTED};
	static const gate_outcome_t answered[] = {GATE_DONE, GATE_FAILED};
	ap_usec_t soon = OBJECTIVE / 2;

	(void)state;
	for (size_t i = 0; i < sizeof(always) / sizeof(always[0]); i++)
		assert_int_equal(class_of(always[i], soon, soon, 1), AP_RECORD_RARE);
	for (size_t i = 0; i < sizeof(answered) / sizeof(answered[0]); i++) {
		assert_int_equal(class_of(answered[i], OBJECTIVE + 1, 2 * OBJECTIVE, 1),
				 AP_RECORD_RARE);
		assert_int_equal(class_of(answered[i], OBJECTIVE, 2 * OBJECTIVE, 1),
				 AP_RECORD_ORDINARY);
	}
}

/* Returns the sum of field "lines" of the records log.dropped in @text. */
static unsigned long reported_drops(const char *text)
{
	unsigned long sum = 0;

	while ((text = strstr(text, "\"lines\":"))) {
		text += strlen("\"lines\":");
		sum += strtoul(text, NULL, 10);
	}
	return sum;
}

/*
 * The pattern: all machines lose power, and every caller of an instance leaves unanswered within a
 * moment. All of a small burst are recorded; of a large one as many as the bound allows, and the
 * rest is counted.
 */
static void check_burst(unsigned callers)
{
	char *text = calloc(1, 1 << 20);
	FILE *out = tmpfile();
	ap_journal_t *j;
	ap_journal_stats_t stats;
	ap_usec_t began = ap_now();
	double allowed;

	assert_non_null(text);
	assert_non_null(out);
	j = ap_journal_new(&(ap_journal_config_t){.fd = fileno(out),
						  .instance = "n1",
						  .sample = 16,
						  .rate = RATE,
						  .backlog = 128 * 1024});
	for (unsigned i = 0; i < callers; i++) {
		ap_record_class_t cls = class_of(GATE_DISCONNECTED, 0, 2 * OBJECTIVE + i, 0);
		char id[16];

		snprintf(id, sizeof(id), "r%u", i);
		assert_true(ap_journal_accepts(j, cls, id));
		ap_journal_write(j, cls, "request.ended", id, "s:s", "outcome",
				 gate_outcome_name(GATE_DISCONNECTED));
		ap_journal_flush(j);
	}
	allowed = RATE * (1 + (double)(ap_now() - began) / (double)AP_SEC);
	stats = ap_journal_stats(j);
	assert_int_equal(stats.written + stats.dropped, callers);
	assert_true((double)stats.written <= allowed);
	assert_true(stats.written >= (callers < RATE ? callers : RATE));
	/* With the next line that has room, the log itself tells of the drops. */
	usleep(50000);
	ap_journal_write(j, AP_RECORD_RARE, "request.ended", "last", NULL);
	ap_journal_flush(j);
	assert_true(pread(fileno(out), text, (1 << 20) - 1, 0) > 0);
	assert_int_equal(reported_drops(text), stats.dropped);
	ap_journal_free(j);
	fclose(out);
	free(text);
}

static void test_burst_of_callers_who_leave_keeps_the_bound(void **state)
{
	(void)state;
	check_burst(RATE / 2);
	check_burst(5 * RATE);
}

/* Guards against a wrong word on a stream that leaves no trace (report 2 of ORDER). */
static void two_builds_named_for_a_stream_are_recorded(void **state)
{
	static const struct {
		uint64_t told;
		uint64_t named;
		uint64_t other;
		const char *expected; /* NULL for no record */
	} rows[] = {
		{0, 0, 0, NULL},
		{0, 2, 0, NULL},
		{1, 0, 0, NULL},
		{1, 1, 0, NULL},
		{1, 2, 0,
		 "\"told\":\"1\",\"told_origin\":\"region\",\"told_by\":\"n2\","
		 "\"told_age_ms\":40,\"named\":\"2\"}"},
		{1, 1, 3, "\"other\":\"3\",\"other_origin\":\"remote\",\"other_by\":\"n3\"}"},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const ap_stream_question_t q = {
			.id = "s", .named.build = rows[i].named, .asked_at = AP_SEC};
		const ap_stream_place_t place = {
			.told = {.build = rows[i].told,
				 .origin = AP_ORIGIN_REGION,
				 .at = AP_SEC - 40 * AP_MSEC,
				 .by = "n2"},
			.other = {.build = rows[i].other, .origin = AP_ORIGIN_REMOTE, .by = "n3"}};
		FILE *out = tmpfile();
		gateway_t *gate = calloc(1, sizeof(*gate));
		char text[1024] = "";

		assert_true(out && gate);
		gate->journal = ap_journal_new(&(ap_journal_config_t){
			.fd = fileno(out), .instance = "n1", .rate = RATE, .backlog = 4096});
		gate_record_place(gate, "r", &q, &place);
		ap_journal_flush(gate->journal);
		assert_int_equal(gate->counters.streams_disagreed, rows[i].expected ? 1 : 0);
		assert_true(pread(fileno(out), text, sizeof(text) - 1, 0) >= 0);
		assert_true(rows[i].expected ? strstr(text, rows[i].expected) != NULL : !*text);
		ap_journal_free(gate->journal);
		free(gate);
		fclose(out);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_caller_who_waited_in_vain_is_recorded),
		cmocka_unit_test(test_failure_after_a_retry_is_recorded),
		cmocka_unit_test(test_what_is_always_recorded),
		cmocka_unit_test(test_burst_of_callers_who_leave_keeps_the_bound),
		cmocka_unit_test(two_builds_named_for_a_stream_are_recorded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
