/* Streams on engines of several versions of the weights. Options: --seed N, --verbose 1. */
#include "version_world.h"

/* Guards against streams that go on at any version: 111 to 240 of some 2,800 (issue 55). */
static void streams_go_on_at_the_weights_of_their_last_event(void **state)
{
	(void)state;
	assert_int_equal(play_seeds(true, 0), 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(streams_go_on_at_the_weights_of_their_last_event),
	};

	read_options(argc, argv);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
