/* Following a store that returns to an older copy of itself and gives out revisions again. */
#include "follow_rig.h"

/* A follower that has read the list of era 1, one key at revision 10. */
static ap_follow_t *listed_in_era_1(seen_t *s)
{
	ap_follow_t *f = follow(s);

	ap_follow_tick(f, START);
	respond_in_era(f, 1, AP_STORE_OK, "a", 10, false, START);
	assert_int_equal(ap_follow_era(f), 1);
	return f;
}

/* Lists in era 2, at the lower revision 7, then gets a change at revision 8. */
static void follow_era_2(ap_follow_t *f, seen_t *s, ap_usec_t now)
{
	int lists = s->lists;

	ap_follow_tick(f, now);
	assert_int_equal(s->lists, lists + 1);
	respond_in_era(f, 2, AP_STORE_OK, "b", 7, false, now);
	assert_int_equal(ap_follow_era(f), 2);
	assert_int_equal(ap_follow_revision(f), 7);
	assert_true(ap_follow_recovering(f, now));
	relay_in_era(f, 2, 7, "c", 8, now);
	assert_string_equal(s->items, "a b c ");
	assert_int_equal(ap_follow_last_change(f), 8);
}

/*
 * The store returned to an older copy and has counted past the revision that a watch asks for, so
 * that it doesn't refuse it. Guards against missing the changes below that revision.
 */
static void a_watch_notices_a_new_era(void **state)
{
	seen_t s = {0};
	ap_follow_t *f = listed_in_era_1(&s);
	ap_usec_t now = START + 2 * INTERVAL;

	(void)state;
	ap_follow_tick(f, now);
	assert_int_equal(s.watches, 1);
	respond_in_era(f, 2, AP_STORE_OK, "z", 15, false, now);
	assert_string_equal(s.items, "a ");
	follow_era_2(f, &s, now);
	ap_follow_free(f);
}

/*
 * Guards against an instance on standby, which makes no call, that takes the lower revisions of a
 * new era for old ones and stays blind until the store has counted past those that it knows.
 */
static void a_standby_notices_a_new_era(void **state)
{
	for (int by_relay = 0; by_relay < 2; by_relay++) {
		seen_t s = {0};
		ap_follow_t *f = listed_in_era_1(&s);
		ap_usec_t now = START + 100 * AP_MSEC;

		(void)state;
		ap_follow_stand_by(f, 1, 10, now);
		if (by_relay)
			relay_in_era(f, 2, 6, "x", 7, now);
		else
			ap_follow_stand_by(f, 2, 7, now);
		assert_string_equal(s.items, "a ");
		for (int i = 0; i < 10; i++) {
			now += 100 * AP_MSEC;
			ap_follow_stand_by(f, 2, 7, now);
			if (now >= ap_follow_due(f))
				break;
		}
		follow_era_2(f, &s, now);
		/* Others that still announce the era before don't watch for this instance. */
		now += 2 * INTERVAL;
		ap_follow_stand_by(f, 1, 20, now);
		ap_follow_tick(f, now);
		assert_int_equal(s.watches, 1);
		assert_int_equal(s.revision, 8);
		ap_follow_free(f);
	}
}

/* A relay and a response of the era before arrive late, and don't count as responses. */
static void what_an_earlier_era_says_is_ignored(void **state)
{
	seen_t s = {0};
	ap_follow_t *f = listed_in_era_1(&s);
	ap_usec_t now = START + 2 * INTERVAL;
	ap_usec_t read_at;

	(void)state;
	ap_follow_tick(f, now);
	respond_in_era(f, 2, AP_STORE_COMPACTED, NULL, 0, false, now);
	follow_era_2(f, &s, now);
	read_at = now;
	relay_in_era(f, 1, 8, "y", 20, now);
	now += 2 * INTERVAL;
	ap_follow_tick(f, now);
	assert_int_equal(s.revision, 8);
	respond_in_era(f, 1, AP_STORE_OK, "y", 20, false, now);
	assert_string_equal(s.items, "a b c ");
	assert_int_equal(ap_follow_era(f), 2);
	assert_int_equal(ap_follow_revision(f), 8);
	assert_int_equal(ap_follow_age(f, now), now - read_at);
	now += 2 * INTERVAL;
	ap_follow_tick(f, now);
	assert_int_equal(s.revision, 8);
	ap_follow_free(f);
}

/* The second page of a list comes from the copy: the list begins anew. */
static void a_list_is_of_one_era(void **state)
{
	seen_t s = {0};
	ap_follow_t *f = follow(&s);

	(void)state;
	ap_follow_tick(f, START);
	respond_in_era(f, 1, AP_STORE_OK, "a", 10, true, START);
	ap_follow_tick(f, START);
	assert_string_equal(s.after, "a");
	respond_in_era(f, 2, AP_STORE_OK, "z", 7, false, START);
	assert_int_equal(s.ended, 0);
	ap_follow_tick(f, START);
	assert_string_equal(s.after, "");
	respond_in_era(f, 2, AP_STORE_OK, "b", 7, false, START);
	assert_int_equal(s.ended, 1);
	assert_string_equal(s.items, "a b ");
	assert_int_equal(ap_follow_revision(f), 7);
	ap_follow_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_watch_notices_a_new_era),
		cmocka_unit_test(a_standby_notices_a_new_era),
		cmocka_unit_test(what_an_earlier_era_says_is_ignored),
		cmocka_unit_test(a_list_is_of_one_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
