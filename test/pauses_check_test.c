/* What test/pauses finds wrong with the events of a stream, and what it doesn't. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "pauses/pauses.h"

#include <stdio.h>
#include <string.h>

#define ID "0123456789abcdef"
#define EVENTS 9
#define AT 5 /* events of the first run in a stream that goes on elsewhere */
#define FIRST_RUN 0
#define SECOND_RUN 1
#define BODY_MAX ((EVENTS + 2) * (EVENT_LEN + 32))

const char *const route_paths[KINDS] = {"/resume/", "/slow/", "/stream/", "/idem/", "/once/"};
const char *const pool_names[POOLS] = {"engines", "desk"};

void soak_finding(soak_t *soak, const char *fmt, ...)
{
	(void)soak;
	(void)fmt;
}

typedef struct stream {
	call_t call;
	char body[BODY_MAX];
} stream_t;

static run_t run_of(pid_t pid, unsigned connection, unsigned after)
{
	return (run_t){.pid = pid, .connection = connection, .after = after, .began = AP_SEC};
}

static void write_event(stream_t *s, unsigned run, unsigned number, unsigned weights)
{
	const run_t *r = &s->call.runs[run];

	s->call.len += (size_t)snprintf(s->body + s->call.len, sizeof(s->body) - s->call.len,
					"id: %03u\ndata: %s %04u.%03u of %03u v%u\n\n", number, ID,
					(unsigned)r->pid % 10000, r->connection % 1000,
					EVENT_FIRST + EVENTS - 1, weights);
}

static void write_events(stream_t *s, unsigned run, unsigned from, unsigned to)
{
	for (unsigned i = from; i < to; i++)
		write_event(s, run, EVENT_FIRST + i, 1);
}

/* A stream without events that ends as complete, with two runs: the second goes on from AT. */
static void begin(stream_t *s)
{
	*s = (stream_t){
		.call = {.id = ID,
			 .kind = KIND_RESUMABLE,
			 .events = EVENTS,
			 .weights = 1,
			 .first = EVENT_FIRST,
			 .ended = AP_SEC,
			 .status = 200,
			 .end = AP_HTTP_COMPLETE,
			 .body = s->body,
			 .n_runs = 2},
	};
	s->call.runs[FIRST_RUN] = run_of(4711, 1, 0);
	s->call.runs[SECOND_RUN] = run_of(4712, 7, EVENT_FIRST + AT - 1);
}

static void write_both(stream_t *s)
{
	begin(s);
	write_events(s, FIRST_RUN, 0, AT);
	write_events(s, SECOND_RUN, AT, EVENTS);
}

static void a_sound_stream_passes(void **state)
{
	stream_t s;

	(void)state;
	begin(&s);
	write_events(&s, FIRST_RUN, 0, EVENTS);
	assert_null(check_events(&s.call));
	write_both(&s);
	assert_null(check_events(&s.call));
}

/*
 * Guards against a resumption that is taken for the refused request before it on the same
 * connection.
 */
static void a_refusal_on_the_connection_joins_nothing(void **state)
{
	stream_t s;

	(void)state;
	write_both(&s);
	s.call.runs[2] = s.call.runs[SECOND_RUN];
	s.call.runs[SECOND_RUN] = s.call.runs[FIRST_RUN];
	s.call.runs[FIRST_RUN] = (run_t){.pid = 4712, .connection = 7, .end = TOLD_REFUSED};
	s.call.n_runs = 3;
	assert_null(check_events(&s.call));
}

static void a_missing_event_is_found(void **state)
{
	stream_t s;

	(void)state;
	for (unsigned missing = 0; missing < EVENTS; missing++) {
		begin(&s);
		write_events(&s, FIRST_RUN, 0, missing);
		write_events(&s, FIRST_RUN, missing + 1, EVENTS);
		assert_non_null(check_events(&s.call));
	}
	for (unsigned n = 0; n < EVENTS; n++) {
		if (n == AT)
			continue;
		begin(&s);
		write_events(&s, FIRST_RUN, 0, n < AT ? n : AT);
		write_events(&s, SECOND_RUN, n < AT ? AT : n, EVENTS);
		assert_non_null(check_events(&s.call));
	}
}

static void a_repeated_event_is_found(void **state)
{
	stream_t s;

	(void)state;
	for (unsigned again = 0; again < EVENTS; again++) {
		begin(&s);
		write_events(&s, FIRST_RUN, 0, again + 1);
		write_events(&s, FIRST_RUN, again, EVENTS);
		assert_non_null(check_events(&s.call));
	}
	begin(&s);
	write_events(&s, FIRST_RUN, 0, AT);
	write_events(&s, SECOND_RUN, AT - 1, EVENTS);
	assert_non_null(check_events(&s.call));
}

/* The second run began the stream anew, or is none of the stream's, or the stream can't go on. */
static void joined_runs_are_found(void **state)
{
	stream_t s;

	(void)state;
	write_both(&s);
	s.call.runs[SECOND_RUN].after = 0;
	assert_non_null(check_events(&s.call));
	write_both(&s);
	s.call.runs[SECOND_RUN].began = 0;
	assert_non_null(check_events(&s.call));
	write_both(&s);
	s.call.n_runs = 1;
	assert_non_null(check_events(&s.call));
	write_both(&s);
	s.call.kind = KIND_STREAM;
	assert_non_null(check_events(&s.call));
}

static void an_early_end_is_found(void **state)
{
	stream_t s;

	(void)state;
	for (unsigned n = 0; n < EVENTS; n++) {
		begin(&s);
		write_events(&s, FIRST_RUN, 0, n);
		assert_non_null(check_events(&s.call));
		s.call.end = AP_HTTP_CLOSED;
		assert_non_null(check_events(&s.call));
		s.call.end = AP_HTTP_RESET;
		assert_null(check_events(&s.call));
	}
	for (size_t cut = 1; cut < EVENT_LEN; cut++) {
		begin(&s);
		write_events(&s, FIRST_RUN, 0, EVENTS);
		s.call.len -= cut;
		assert_non_null(check_events(&s.call));
	}
}

static void text_between_events_is_found(void **state)
{
	stream_t s;

	(void)state;
	for (size_t n = 0; n <= EVENTS; n++) {
		begin(&s);
		write_events(&s, FIRST_RUN, 0, EVENTS);
		memmove(s.body + n * EVENT_LEN + 1, s.body + n * EVENT_LEN,
			s.call.len - n * EVENT_LEN);
		s.body[n * EVENT_LEN] = '\n';
		s.call.len++;
		assert_non_null(check_events(&s.call));
	}
}

static void an_event_of_another_version_is_found(void **state)
{
	stream_t s;

	(void)state;
	for (unsigned other = 0; other < EVENTS; other++) {
		begin(&s);
		for (unsigned i = 0; i < EVENTS; i++)
			write_event(&s, FIRST_RUN, EVENT_FIRST + i, i == other ? 2 : 1);
		assert_non_null(check_events(&s.call));
	}
}

static void a_stream_taken_up_at_another_version_is_found(void **state)
{
	stream_t before;
	stream_t s;

	(void)state;
	begin(&before);
	write_events(&before, FIRST_RUN, 0, AT);
	before.call.end = AP_HTTP_RESET;
	begin(&s);
	s.call.before = &before.call;
	s.call.first = EVENT_FIRST + AT;
	write_events(&s, SECOND_RUN, AT, EVENTS);
	assert_null(check_events(&s.call));
	before.call.weights = 2;
	assert_non_null(check_events(&s.call));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_sound_stream_passes),
		cmocka_unit_test(a_refusal_on_the_connection_joins_nothing),
		cmocka_unit_test(a_missing_event_is_found),
		cmocka_unit_test(a_repeated_event_is_found),
		cmocka_unit_test(joined_runs_are_found),
		cmocka_unit_test(an_early_end_is_found),
		cmocka_unit_test(text_between_events_is_found),
		cmocka_unit_test(an_event_of_another_version_is_found),
		cmocka_unit_test(a_stream_taken_up_at_another_version_is_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
