/* Upstreams whose entry lapsed before an instance began, and that serve on for another one. */
#include "fleet/private.h"
#include "lookup_net.h"

#define STARTED (NOW - 60 * AP_SEC) /* longer ago than builds count that an instance saw leave */

/*
 * Guards against a stream that goes on at the only build that is listed (ORDER): it began at an
 * upstream whose entry lapsed, through an instance that the store turns away and that nobody hears,
 * and is taken up at one that began after that. The others know that the build counts still.
 */
static void an_instance_that_began_later_concludes_nothing(void **state)
{
	ap_stream_place_t place;
	net_t net;

	(void)state;
	begin(&net);
	for (size_t i = 1; i < net.n; i++)
		list(net.fleets[i], "e2", V2, STARTED - 2 * AP_SEC);
	ap_fleet_set_store_silent(net.fleets[3], true);
	for (size_t i = 1; i < net.n; i++) {
		if (i != 3)
			ap_fleet_remove_replica(net.fleets[i], "e2", false, STARTED - AP_SEC);
	}
	serve(&net, 3, "a", V2, NOW - 10 * AP_MSEC);
	net.n_messages = 0; /* lost */
	kill_instance(&net, 3);
	ap_fleet_set_store_known(net.fleets[0], NOW, STARTED);
	assert_int_equal(find(&net, 0, "a", NOW, &place), AP_STREAM_UNKNOWN);
	/* It doesn't count for ever. */
	for (size_t i = 0; i < net.n; i++) {
		ap_fleet_remove_replica(net.fleets[i], "e2", true, NOW);
		ap_fleet_tick(net.fleets[i], NOW + 700 * AP_SEC - 100 * AP_MSEC);
	}
	net_announce(&net, NOW + 700 * AP_SEC);
	ap_fleet_set_store_known(net.fleets[0], NOW + 700 * AP_SEC, STARTED);
	assert_int_equal(find(&net, 0, "b", NOW + 700 * AP_SEC, &place), AP_STREAM_ONLY_BUILD);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_instance_that_began_later_concludes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
