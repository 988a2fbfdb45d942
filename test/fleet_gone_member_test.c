/* Instances of another region whose records are gone. */
#include "lookup_net.h"

#include "fleet/private.h"

#define REQUESTS 64

/* Returns how many of the requests for the south go to i4 or i5. */
static int sent_to_two(ap_fleet_t *f)
{
	ap_dispatch_t req = world_request(&route, &world_engines, NOW);
	int n = 0;

	for (int i = 0; i < REQUESTS; i++) {
		const ap_member_t *m = ap_pick_member(f, "south", &req, NOW);

		assert_non_null(m);
		n += strcmp(m->id, "i4") == 0 || strcmp(m->id, "i5") == 0;
	}
	return n;
}

/*
 * Guards against a stream that is cut as it is handed to an instance that was killed, whose record
 * has just lapsed, beside others of its region.
 */
static void an_instance_without_a_record_is_the_last_resort(void **state)
{
	net_t net;

	(void)state;
	begin(&net);
	assert_in_range(sent_to_two(net.fleets[0]), 1, REQUESTS - 1);
	ap_fleet_remove_member(net.fleets[0], "i4", NOW);
	ap_fleet_remove_member(net.fleets[0], "i5", NOW);
	assert_int_equal(sent_to_two(net.fleets[0]), 0);
	ap_fleet_remove_member(net.fleets[0], "i6", NOW);
	ap_fleet_remove_member(net.fleets[0], "i7", NOW);
	assert_in_range(sent_to_two(net.fleets[0]), 1, REQUESTS - 1);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_instance_without_a_record_is_the_last_resort),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
