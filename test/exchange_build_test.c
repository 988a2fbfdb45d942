/* Builds that other instances name in their responses: at which one a stream goes on. */
#include "exchange_world.h"

#define E3 "id: 3\ndata: c\n\n"
#define E4 "id: 4\ndata: d\n\n"
#define E5 "id: 5\ndata: e\n\n"
#define KNOWN 7 /* where the stream goes on, as far as this instance knows */
#define OTHER 8

/* A stream of which the caller has three events is sent on to another instance. */
static void take_up(world_t *w, unsigned attempts)
{
	*w = (world_t){.resumes = "3"};
	begin(w, AP_KIND_STREAM, true, attempts);
	w->x.req.build = KNOWN;
}

/* The instance of the attempt @i goes on at @build. */
static void head_at(world_t *w, int i, uint64_t build)
{
	ap_response_head_t h = {.status = 200, .from_replica = true, .build = build};

	w->x.slot[w->slot[i]].target.remote = true;
	ap_exchange_head(&w->x, w->slot[i], &h, w->now);
}

/*
 * Guards against a stream that goes on at the build of this instance's belief after another one,
 * which was told better, has gone on at its own (ORDER).
 */
static void a_stream_goes_on_at_the_build_that_the_other_instance_knows(void **state)
{
	world_t w;

	(void)state;
	take_up(&w, 2);
	head_at(&w, 0, OTHER);
	data_of(&w, 0, E4);
	assert_string_equal(w.body, E4);
	assert_int_equal(w.x.req.build, OTHER);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	head_at(&w, 1, OTHER);
	data_of(&w, 1, E5);
	assert_string_equal(w.body, E4 E5);
	finish(&w);
}

/* Guards against events of two builds in one response (ORDER). */
static void a_response_goes_on_at_one_build(void **state)
{
	world_t w;

	(void)state;
	take_up(&w, 2);
	head_at(&w, 0, KNOWN);
	data_of(&w, 0, E4);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	head_at(&w, 1, OTHER);
	data_of(&w, 1, E5);
	assert_string_equal(w.body, E4);
	finish(&w);
}

/*
 * Guards against a stream that passes for whole (ORDER), as the run of another build has no event
 * after the last one.
 */
static void another_build_doesnt_end_a_response(void **state)
{
	world_t w;

	(void)state;
	take_up(&w, 3);
	head_at(&w, 0, KNOWN);
	data_of(&w, 0, E4);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	for (int i = 1; i < w.n_sent; i++) {
		head_at(&w, i, OTHER);
		end_of(&w, i, AP_CONNECTION_COMPLETE);
	}
	assert_int_equal(w.n_sent, 3);
	run_to(&w, w.x.timeout_at + AP_SEC);
	assert_false(w.ended);
	finish(&w);
}

/* An instance that names no build goes on at the one that it was sent. */
static void an_instance_that_names_no_build_goes_on(void **state)
{
	world_t w;

	(void)state;
	take_up(&w, 2);
	head_at(&w, 0, 0);
	data_of(&w, 0, E3 E4);
	assert_string_equal(w.body, E4);
	assert_int_equal(w.x.req.build, KNOWN);
	end_of(&w, 0, AP_CONNECTION_BROKEN);
	head_at(&w, 1, 0);
	data_of(&w, 1, E5);
	assert_string_equal(w.body, E4 E5);
	finish(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_stream_goes_on_at_the_build_that_the_other_instance_knows),
		cmocka_unit_test(a_response_goes_on_at_one_build),
		cmocka_unit_test(another_build_doesnt_end_a_response),
		cmocka_unit_test(an_instance_that_names_no_build_goes_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
