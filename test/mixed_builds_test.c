/*
 * Instances of two builds side by side, the other one's messages as builds/record.sh recorded them.
 * Guards against knowledge that is lost because some instances say nothing of it, and against
 * messages of a later build that are taken for damaged ones.
 */
#include "builds_world.h"

#define NEWEST "0f2d23b"
#define LACKS_PATHS "37870d4" /* says nothing of lost paths */

static build_t newest;
static build_t older;

/*
 * Three instances of a region tell a remote one what those of the region have lost. One of an
 * older build says nothing of it: callers were sent where there is no path.
 */
static void test_a_build_that_knows_no_paths_does_not_hide_lost_ones(void **state)
{
	ap_fleet_t *f = receiver("south");
	ap_member_state_t *m;
	char from[AP_NAME_MAX];
	bytes_t message;

	(void)state;
	load_build(NEWEST, &newest);
	load_build(LACKS_PATHS, &older);
	assert_true(find(&newest, "waits", from, &message));
	assert_true(ap_fleet_receive(f, from, message.data, message.len, NOW));
	m = ap_member_find(f, from);
	assert_false(ap_member_reaches(m, "paper", NOW));
	assert_true(find(&older, "waits", from, &message));
	assert_true(ap_fleet_receive(f, "n5", message.data, message.len, NOW + 100 * AP_MSEC));
	assert_false(ap_member_reaches(m, "paper", NOW + 100 * AP_MSEC));
	assert_true(ap_member_reaches(m, "engines", NOW + 100 * AP_MSEC));
	ap_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_build_that_knows_no_paths_does_not_hide_lost_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
