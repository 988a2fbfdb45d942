/*
 * Instances of two builds side by side, the other one's messages as builds/record.sh recorded them.
 * Guards against knowledge that is lost because some instances say nothing of it, and against
 * messages of a later build that are taken for damaged ones.
 */
#include "builds_world.h"

#define NEWEST "0f2d23b"
#define LACKS_PATHS "37870d4"	/* says nothing of lost paths */
#define LACKS_BATCHES "903d236" /* takes no batches */
#define LARGE 20		/* instances; relays pass on what they announce */

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

/* How often an instance was sent an announcement. */
typedef struct sent {
	const char *to;
	unsigned n;
} sent_t;

static void on_sent(void *ctx, const char *to, const void *data, size_t len)
{
	sent_t *s = ctx;

	(void)data;
	(void)len;
	s->n += strcmp(to, s->to) == 0;
}

static unsigned announced_to(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	sent_t s = {.to = id};
	ap_peer_port_t port = {.ctx = &s, .send = on_sent};

	ap_fleet_announce(f, &port, now);
	return s.n;
}

/*
 * An instance was taken back to a build that takes no batches, and its record can't be read yet: it
 * heard nothing of the others until it could.
 */
static void test_one_that_names_no_relay_is_told_directly(void **state)
{
	ap_fleet_t *f = instance("north", 1, LARGE, 0);
	ap_usec_t now = NOW;
	const char *id = NULL;
	char from[AP_NAME_MAX];
	bytes_t message;

	(void)state;
	load_build(LACKS_BATCHES, &older);
	assert_true(find(&older, "fleet", from, &message));
	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		m->member.speaks = AP_FLEET_SPEAKS_BATCHES;
		ap_relay_member_init(m);
	}
	for (const ap_member_state_t *m = f->members; m && !id; m = m->hh.next) {
		now += 2 * AP_SEC;
		if (!m->self && announced_to(f, m->member.id, now) == 0)
			id = m->member.id;
	}
	assert_non_null(id);
	now += 2 * AP_SEC;
	assert_int_equal(announced_to(f, id, now), 0);
	assert_true(ap_fleet_receive(f, id, message.data, message.len, now));
	assert_int_equal(announced_to(f, id, now + 2 * AP_SEC), 1);
	ap_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_build_that_knows_no_paths_does_not_hide_lost_ones),
		cmocka_unit_test(test_one_that_names_no_relay_is_told_directly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
