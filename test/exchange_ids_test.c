/* Streams whose events can't be told apart by their ids. */
#include "exchange_world.h"

#define PLAIN "data: a\n\n"
#define COMMENT ": still here\n\n"
#define FIRST "id: 1\ndata: a\n\n"
#define REST "id: 2\ndata: b\n\n"

/* Guards against events that come twice as a stream without ids begins anew. */
static void a_stream_without_ids_is_not_resumed(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, PLAIN);
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 1);
	assert_true(w.aborted);
	assert_string_equal(w.body, PLAIN);
	finish(&w);
}

/* Guards against a first event that is lost, as its id isn't above that of no event. */
static void a_stream_that_begins_anew_has_its_first_event(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, COMMENT);
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 2);
	head(&w, 200);
	data(&w, "id: 0\ndata: z\n\n" FIRST);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, COMMENT "id: 0\ndata: z\n\n" FIRST);
	finish(&w);
}

/* Guards against streams that break off though comments are all that has no id. */
static void comments_need_no_id(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, COMMENT FIRST COMMENT);
	end(&w, AP_CONNECTION_BROKEN);
	assert_int_equal(w.n_sent, 2);
	assert_string_equal(w.last_event[1], "1");
	head(&w, 200);
	data(&w, REST);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_true(w.ended);
	assert_string_equal(w.body, COMMENT FIRST COMMENT REST);
	finish(&w);
}

/* Guards against a stream with no event but a comment that looks complete. */
static void a_comment_is_no_event(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, COMMENT);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_false(w.ended);
	assert_int_equal(w.n_sent, 2);
	finish(&w);
}

/* Guards against a stream that looks complete where it broke off, as a comment followed. */
static void a_comment_is_no_continuation(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, FIRST);
	end(&w, AP_CONNECTION_BROKEN);
	head(&w, 200);
	data(&w, COMMENT);
	end(&w, AP_CONNECTION_COMPLETE);
	assert_false(w.ended);
	finish(&w);
}

/* Guards against events that come twice, or break a stream, behind a comment. */
static void events_are_skipped_behind_a_comment(void **state)
{
	(void)state;
	for (int apart = 0; apart < 2; apart++) {
		world_t w = {0};

		begin(&w, AP_KIND_STREAM, true, 2);
		head(&w, 200);
		data(&w, FIRST);
		end(&w, AP_CONNECTION_BROKEN);
		head(&w, 200);
		if (apart)
			data(&w, COMMENT);
		data(&w, apart ? FIRST REST : COMMENT FIRST REST);
		end(&w, AP_CONNECTION_COMPLETE);
		assert_true(w.ended);
		assert_string_equal(w.body, FIRST REST);
		finish(&w);
	}
}

/* Guards against streams that are never complete, as their lines end with a CR. */
static void lines_may_end_with_cr(void **state)
{
	static const char *const ends[] = {"\r", "\n", "\r\n"};

	(void)state;
	for (size_t i = 0; i < 3; i++) {
		world_t w = {0};
		char text[128];
		size_t len;

		snprintf(text, sizeof(text), ": c%s%sid: 1%sdata: a%s%sdata: b%sid: 2%s%s", ends[i],
			 ends[i], ends[i], ends[i], ends[i], ends[i], ends[i], ends[i]);
		len = strlen(text);
		for (size_t cut = 1; cut < len; cut++) {
			char first[128];

			begin(&w, AP_KIND_STREAM, true, 2);
			head(&w, 200);
			snprintf(first, sizeof(first), "%.*s", (int)cut, text);
			data(&w, first);
			data(&w, text + cut);
			assert_int_equal(w.x.events, 2);
			assert_string_equal(w.x.last_event_id, "2");
			end(&w, AP_CONNECTION_COMPLETE);
			assert_true(w.ended);
			assert_string_equal(w.body, text);
			finish(&w);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_stream_without_ids_is_not_resumed),
		cmocka_unit_test(a_stream_that_begins_anew_has_its_first_event),
		cmocka_unit_test(comments_need_no_id),
		cmocka_unit_test(a_comment_is_no_event),
		cmocka_unit_test(a_comment_is_no_continuation),
		cmocka_unit_test(events_are_skipped_behind_a_comment),
		cmocka_unit_test(lines_may_end_with_cr),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
