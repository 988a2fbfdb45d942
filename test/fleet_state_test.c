/* Beliefs about upstreams and instances. */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

static ap_fleet_status_t choose(ap_fleet_t *f, const ap_plan_pool_t *pool, ap_usec_t now,
				ap_target_t *target)
{
	ap_dispatch_t work = world_work(pool->kv_tokens ? &world_stream : &world_call, pool, now);

	return ap_fleet_choose(f, &work, now, target);
}

static bool is_usable(ap_fleet_t *f, ap_usec_t now)
{
	ap_target_t target;

	return choose(f, &world_desk, now, &target) == AP_FLEET_OK;
}

static void a_draining_upstream_gets_nothing_more(void **state)
{
	ap_replica_entry_t e = world_entry("d1", "desk", "north");
	ap_fleet_t *f = world_north();

	(void)state;
	ap_fleet_update_replica(f, &e, WORLD_START);
	assert_true(is_usable(f, WORLD_START));
	e.draining = true;
	ap_fleet_update_replica(f, &e, WORLD_START);
	assert_false(is_usable(f, WORLD_START));
	ap_fleet_free(f);
}

static void a_removed_upstream_is_gone_at_once(void **state)
{
	ap_fleet_t *f = world_north();

	(void)state;
	world_replica(f, "d1", "desk", "north", WORLD_START);
	ap_fleet_remove_replica(f, "d1", false, WORLD_START);
	assert_false(is_usable(f, WORLD_START));
	ap_fleet_free(f);
}

/* Entries that lapsed with the store away are back two seconds after it, or gone. */
static void a_lapsed_upstream_stays_for_its_grace(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;

	(void)state;
	world_replica(f, "d1", "desk", "north", now);
	ap_fleet_remove_replica(f, "d1", true, now);
	assert_true(is_usable(f, now + 2 * AP_SEC - 1));
	assert_false(is_usable(f, now + 2 * AP_SEC));
	world_replica(f, "d1", "desk", "north", now + AP_SEC);
	assert_true(is_usable(f, now + 3 * AP_SEC));
	/* One that had said that it leaves is not waited for. */
	ap_replica_entry_t e = world_entry("d1", "desk", "north");
	e.draining = true;
	ap_fleet_update_replica(f, &e, now);
	ap_fleet_remove_replica(f, "d1", true, now);
	assert_int_equal(ap_fleet_stats(f, now).replicas, 0);
	ap_fleet_free(f);
}

static void a_whole_list_removes_what_it_does_not_hold(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;

	(void)state;
	world_replica(f, "d1", "desk", "north", now);
	world_replica(f, "d2", "desk", "north", now);
	world_member(f, "n2", "north", false, now);
	ap_fleet_evacuate(f, "north-1", false, now);
	ap_fleet_list_begin(f);
	world_replica(f, "d2", "desk", "north", now);
	ap_fleet_list_end(f, false, now);
	assert_int_equal(ap_fleet_stats(f, now).replicas, 1);
	assert_int_equal(ap_fleet_count_members(f, NULL), 1); /* itself is never removed */
	assert_true(is_usable(f, now));
	ap_fleet_free(f);
}

static void an_upstream_told_to_go_is_left_before(void **state)
{
	ap_replica_entry_t e = world_entry("d1", "desk", "north");
	ap_fleet_t *f = world_north();

	(void)state;
	e.shutdown_in = 2 * AP_SEC;
	ap_fleet_update_replica(f, &e, WORLD_START);
	assert_true(is_usable(f, WORLD_START));
	/* A later entry repeats the word; the end does not move away. */
	ap_fleet_update_replica(f, &e, WORLD_START + AP_SEC);
	assert_false(is_usable(f, WORLD_START + 2 * AP_SEC));
	ap_fleet_free(f);
}

static void an_evacuated_data_centre_gets_nothing(void **state)
{
	ap_fleet_t *f = world_north();

	(void)state;
	world_replica(f, "d1", "desk", "north", WORLD_START);
	ap_fleet_evacuate(f, "north-1", false, WORLD_START);
	assert_false(is_usable(f, WORLD_START));
	ap_fleet_evacuate(f, "north-1", true, WORLD_START);
	assert_true(is_usable(f, WORLD_START));
	ap_fleet_free(f);
}

static void an_address_taken_over_is_not_used_again(void **state)
{
	ap_fleet_t *f = world_north();
	ap_dispatch_t work = world_work(&world_call, &world_desk, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	world_replica(f, "d1", "desk", "north", WORLD_START);
	assert_int_equal(ap_fleet_choose(f, &work, WORLD_START, &target), AP_FLEET_OK);
	ap_fleet_sent(f, &work, &target, WORLD_START, &inflight);
	ap_fleet_done(f, &inflight, AP_DISPATCH_ADDRESS_REUSED, WORLD_START);
	assert_false(is_usable(f, WORLD_START));
	world_replica(f, "d1b", "desk", "north", WORLD_START);
	assert_true(is_usable(f, WORLD_START));
	ap_fleet_free(f);
}

static void repetitions_hold_summed_over_all_instances(void **state)
{
	unsigned repeats = 0;
	unsigned requests = 0;

	(void)state;
	for (int i = 0; i < 8; i++) {
		char id[AP_NAME_MAX];
		ap_fleet_t *f;

		snprintf(id, sizeof(id), "n%d", i);
		f = world_fleet(id, "north");
		world_know_all(f, 8, WORLD_START);
		/* The others are lost; its part stays what it was. */
		for (int k = 0; k < 8; k++) {
			snprintf(id, sizeof(id), "n%d", k);
			ap_fleet_remove_member(f, id, WORLD_START);
		}
		for (ap_usec_t now = WORLD_START; now < WORLD_START + 10 * AP_SEC;
		     now += 100 * AP_MSEC) {
			ap_fleet_count_request(f, "desk", now);
			requests++;
			for (int k = 0; k < 3; k++)
				repeats += ap_fleet_may_retry(f, "desk", now);
		}
		ap_fleet_free(f);
	}
	assert_true(repeats > 0.1 * requests);
	assert_true(repeats <= 0.2 * requests + 40);
}

static void an_unreachable_upstream_comes_back_through_one_trial(void **state)
{
	ap_fleet_t *f = world_north();
	ap_dispatch_t work = world_work(&world_call, &world_desk, WORLD_START);
	ap_usec_t now = WORLD_START;
	ap_inflight_t inflights[3];
	ap_target_t target;

	(void)state;
	world_replica(f, "d1", "desk", "north", now);
	world_replica(f, "d2", "desk", "north", now);
	target = (ap_target_t){.id = "d1", .region = "north"};
	ap_fleet_sent(f, &work, &target, now, &inflights[0]);
	ap_fleet_done(f, &inflights[0], AP_DISPATCH_UNREACHABLE, now);
	for (int i = 0; i < 20; i++) {
		assert_int_equal(choose(f, &world_desk, now, &target), AP_FLEET_OK);
		assert_string_equal(target.id, "d2");
	}
	now += AP_SEC;
	target = (ap_target_t){.id = "d1", .region = "north"};
	ap_fleet_sent(f, &work, &target, now, &inflights[1]);
	for (int i = 0; i < 20; i++) {
		assert_int_equal(choose(f, &world_desk, now, &target), AP_FLEET_OK);
		assert_string_equal(target.id, "d2");
	}
	ap_fleet_done(f, &inflights[1], AP_DISPATCH_DONE, now);
	assert_int_equal(ap_fleet_stats(f, now).ejected, 0);
	ap_fleet_free(f);
}

static void the_last_upstream_is_used_however_it_fails(void **state)
{
	ap_fleet_t *f = world_north();
	ap_dispatch_t work = world_work(&world_call, &world_desk, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	world_replica(f, "d1", "desk", "north", WORLD_START);
	for (int i = 0; i < 10; i++) {
		assert_int_equal(ap_fleet_choose(f, &work, WORLD_START, &target), AP_FLEET_OK);
		ap_fleet_sent(f, &work, &target, WORLD_START, &inflight);
		ap_fleet_done(f, &inflight, AP_DISPATCH_BROKEN, WORLD_START);
	}
	ap_fleet_free(f);
}

static size_t named(ap_fleet_t *f, const char *region, bool *stopgap, ap_usec_t now,
		    const char **first)
{
	const ap_member_t *out[8];
	size_t n = ap_fleet_directory(f, NULL, "", region, out, 8, stopgap, now);

	*first = n > 0 ? out[0]->id : "";
	return n;
}

static void the_directory_names_the_caller_s_region(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;
	const char *first;
	bool stopgap;

	(void)state;
	world_member(f, "n2", "north", false, now);
	world_member(f, "s1", "south", false, now);
	assert_int_equal(named(f, "north", &stopgap, now, &first), 2);
	assert_false(stopgap);
	assert_int_equal(named(f, "south", &stopgap, now, &first), 1);
	assert_string_equal(first, "s1");
	/* Leaving ones are named only while nobody else is there, and not for long. */
	world_member(f, "n2", "north", true, now);
	assert_int_equal(named(f, "north", &stopgap, now, &first), 1);
	assert_string_equal(first, "n1");
	world_member(f, "s1", "south", true, now);
	assert_int_equal(named(f, "south", &stopgap, now, &first), 1);
	assert_string_equal(first, "s1");
	assert_true(stopgap);
	now += 2800 * AP_MSEC; /* it takes no connections any more */
	assert_int_equal(named(f, "south", &stopgap, now, &first), 1);
	assert_string_equal(first, "n1");
	assert_true(stopgap);
	ap_fleet_free(f);
}

static void a_lost_instance_is_not_named_for_long(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;
	const char *first;
	bool stopgap;

	(void)state;
	world_member(f, "n2", "north", false, now);
	ap_fleet_remove_member(f, "n2", now);
	assert_int_equal(named(f, "north", &stopgap, now + AP_SEC, &first), 2);
	assert_int_equal(named(f, "north", &stopgap, now + 2 * AP_SEC, &first), 1);
	ap_fleet_free(f);
}

static ap_fleet_event_t told[AP_FLEET_EVENT_KINDS];
static char told_of[AP_FLEET_EVENT_KINDS][AP_NAME_MAX];
static unsigned n_told[AP_FLEET_EVENT_KINDS];

static void on_believed(void *ctx, const ap_fleet_event_t *note)
{
	(void)ctx;
	told[note->kind] = *note;
	ap_copy_name(told_of[note->kind], AP_NAME_MAX, note->id);
	n_told[note->kind]++;
}

/* A request to @id ends in this way. */
static void sent_and_ended(ap_fleet_t *f, const char *id, const char *region,
			   ap_dispatch_result_t end, ap_usec_t now)
{
	ap_dispatch_t work = world_work(&world_call, &world_desk, now);
	ap_target_t target = {.remote = strcmp(region, "north") != 0};
	ap_inflight_t inflight;

	ap_copy_name(target.id, sizeof(target.id), id);
	ap_copy_name(target.region, sizeof(target.region), region);
	ap_fleet_sent(f, &work, &target, now, &inflight);
	ap_fleet_done(f, &inflight, end, now);
}

static void play_ejected(ap_fleet_t *f, ap_usec_t now)
{
	sent_and_ended(f, "d1", "north", AP_DISPATCH_UNREACHABLE, now);
	assert_true(told[AP_FLEET_EVENT_EJECTED].lasts > 0);
	assert_int_equal(told[AP_FLEET_EVENT_EJECTED].failures, 1);
}

static void play_back(ap_fleet_t *f, ap_usec_t now)
{
	sent_and_ended(f, "d1", "north", AP_DISPATCH_UNREACHABLE, now);
	sent_and_ended(f, "d1", "north", AP_DISPATCH_DONE, now + 10 * AP_SEC);
	sent_and_ended(f, "d1", "north", AP_DISPATCH_DONE, now + 10 * AP_SEC);
}

static void play_moved(ap_fleet_t *f, ap_usec_t now)
{
	sent_and_ended(f, "d1", "north", AP_DISPATCH_ADDRESS_REUSED, now);
	sent_and_ended(f, "d1", "north", AP_DISPATCH_ADDRESS_REUSED, now);
}

static void play_lapsed(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_remove_replica(f, "d1", true, now);
	ap_fleet_tick(f, now + AP_SEC);
	assert_int_equal(n_told[AP_FLEET_EVENT_EXPIRED], 0);
	ap_fleet_tick(f, now + 2 * AP_SEC);
}

static void play_suspected(ap_fleet_t *f, ap_usec_t now)
{
	sent_and_ended(f, "s1", "south", AP_DISPATCH_TIMED_OUT, now);
	sent_and_ended(f, "s1", "south", AP_DISPATCH_TIMED_OUT, now + 1); /* nothing new */
}

static void each_change_of_mind_is_told_once(void **state)
{
	static const struct {
		void (*play)(ap_fleet_t *f, ap_usec_t now);
		const char *id;
	} scenes[AP_FLEET_EVENT_KINDS] = {
		[AP_FLEET_EVENT_EJECTED] = {play_ejected, "d1"},
		[AP_FLEET_EVENT_RECOVERED] = {play_back, "d1"},
		[AP_FLEET_EVENT_ADDRESS_REUSED] = {play_moved, "d1"},
		[AP_FLEET_EVENT_EXPIRED] = {play_lapsed, "d1"},
		[AP_FLEET_EVENT_SUSPECTED] = {play_suspected, "s1"},
	};

	(void)state;
	for (ap_fleet_event_kind_t b = 0; b < AP_FLEET_EVENT_KINDS; b++) {
		ap_fleet_config_t config = {.entry_grace = 2 * AP_SEC, .on_event = on_believed};
		ap_fleet_t *f;

		assert_non_null(scenes[b].play); /* a new belief needs its scene */
		memset(n_told, 0, sizeof(n_told));
		ap_copy_name(config.id, sizeof(config.id), "n1");
		ap_copy_name(config.region, sizeof(config.region), "north");
		ap_copy_name(config.data_centre, sizeof(config.data_centre), "north-1");
		f = ap_fleet_new(&config);
		ap_fleet_set_data_centre(f, "south-1", "south");
		world_member(f, "s1", "south", false, WORLD_START);
		world_replica(f, "d1", "desk", "north", WORLD_START);
		scenes[b].play(f, WORLD_START + AP_SEC);
		assert_int_equal(n_told[b], 1);
		assert_string_equal(told_of[b], scenes[b].id);
		/* Entries in the store have an age; other instances are known by what they tell. */
		if (b != AP_FLEET_EVENT_SUSPECTED)
			assert_true(told[b].entry_age >= AP_SEC);
		ap_fleet_free(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_draining_upstream_gets_nothing_more),
		cmocka_unit_test(a_removed_upstream_is_gone_at_once),
		cmocka_unit_test(a_lapsed_upstream_stays_for_its_grace),
		cmocka_unit_test(a_whole_list_removes_what_it_does_not_hold),
		cmocka_unit_test(an_upstream_told_to_go_is_left_before),
		cmocka_unit_test(an_evacuated_data_centre_gets_nothing),
		cmocka_unit_test(an_address_taken_over_is_not_used_again),
		cmocka_unit_test(repetitions_hold_summed_over_all_instances),
		cmocka_unit_test(an_unreachable_upstream_comes_back_through_one_trial),
		cmocka_unit_test(the_last_upstream_is_used_however_it_fails),
		cmocka_unit_test(the_directory_names_the_caller_s_region),
		cmocka_unit_test(a_lost_instance_is_not_named_for_long),
		cmocka_unit_test(each_change_of_mind_is_told_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
