/* Tests of the state of upstreams and instances. */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

static ap_fleet_status_t choose(ap_fleet_t *f, const ap_plan_pool_t *pool, ap_usec_t now,
				ap_target_t *target)
{
	ap_dispatch_t req = world_request(pool->kv_tokens ? &world_stream : &world_call, pool, now);

	return ap_fleet_choose(f, &req, now, target);
}

static bool is_usable(ap_fleet_t *f, ap_usec_t now)
{
	ap_target_t target;

	return choose(f, &world_desk, now, &target) == AP_FLEET_OK;
}

static void a_draining_upstream_gets_no_requests(void **state)
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

/* An entry that expired while the store was unreachable stays for two seconds, then it is dropped.
 */
/*
 * Guards against a request that was sent before the record was lost and written again, and takes
 * the load of the upstream below 0: no instance of the region chose it any more.
 */
static void a_request_from_before_a_lost_record_leaves_no_load(void **state)
{
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_stream, &world_engines, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	world_replica(f, "e1", "engines", "north", WORLD_START);
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START, &target), AP_FLEET_OK);
	ap_fleet_sent(f, &req, &target, WORLD_START, &inflight);
	ap_fleet_remove_replica(f, "e1", false, WORLD_START);
	world_replica(f, "e1", "engines", "north", WORLD_START);
	ap_fleet_first_chunk(f, &inflight, WORLD_START + AP_MSEC);
	ap_fleet_done(f, &inflight, AP_DISPATCH_DONE, WORLD_START + AP_MSEC);
	assert_int_equal(ap_fleet_stats(f, WORLD_START + AP_MSEC).running, 0);
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START + AP_MSEC, &target), AP_FLEET_OK);
	assert_int_equal(target.running, 0);
	ap_fleet_free(f);
}

static void an_expired_upstream_stays_for_the_grace_time(void **state)
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
	/* A draining upstream gets no grace time. */
	ap_replica_entry_t e = world_entry("d1", "desk", "north");
	e.draining = true;
	ap_fleet_update_replica(f, &e, now);
	ap_fleet_remove_replica(f, "d1", true, now);
	assert_int_equal(ap_fleet_stats(f, now).replicas, 0);
	ap_fleet_free(f);
}

static void a_complete_list_removes_what_is_missing(void **state)
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
	assert_int_equal(ap_fleet_count_members(f, NULL),
			 1); /* the instance itself is never removed */
	assert_true(is_usable(f, now));
	ap_fleet_free(f);
}

static void an_upstream_gets_no_requests_before_its_shutdown(void **state)
{
	ap_replica_entry_t e = world_entry("d1", "desk", "north");
	ap_fleet_t *f = world_north();

	(void)state;
	e.shutdown_in = 2 * AP_SEC;
	ap_fleet_update_replica(f, &e, WORLD_START);
	assert_true(is_usable(f, WORLD_START));
	/* A later entry repeats the remaining time; the shutdown is not postponed. */
	ap_fleet_update_replica(f, &e, WORLD_START + AP_SEC);
	assert_false(is_usable(f, WORLD_START + 2 * AP_SEC));
	ap_fleet_free(f);
}

static void an_evacuated_data_centre_gets_no_requests(void **state)
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

static void a_reused_address_is_not_used_again(void **state)
{
	ap_fleet_t *f = world_north();
	ap_dispatch_t req = world_request(&world_call, &world_desk, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	world_replica(f, "d1", "desk", "north", WORLD_START);
	assert_int_equal(ap_fleet_choose(f, &req, WORLD_START, &target), AP_FLEET_OK);
	ap_fleet_sent(f, &req, &target, WORLD_START, &inflight);
	ap_fleet_done(f, &inflight, AP_DISPATCH_ADDRESS_REUSED, WORLD_START);
	assert_false(is_usable(f, WORLD_START));
	world_replica(f, "d1b", "desk", "north", WORLD_START);
	assert_true(is_usable(f, WORLD_START));
	ap_fleet_free(f);
}

static void the_retry_budget_holds_summed_over_all_instances(void **state)
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
		/* The other instances are removed; this one's part of the budget stays the same. */
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
	ap_dispatch_t req = world_request(&world_call, &world_desk, WORLD_START);
	ap_usec_t now = WORLD_START;
	ap_inflight_t inflights[3];
	ap_target_t target;

	(void)state;
	world_replica(f, "d1", "desk", "north", now);
	world_replica(f, "d2", "desk", "north", now);
	target = (ap_target_t){.id = "d1", .region = "north"};
	ap_fleet_sent(f, &req, &target, now, &inflights[0]);
	ap_fleet_done(f, &inflights[0], AP_DISPATCH_UNREACHABLE, now);
	for (int i = 0; i < 20; i++) {
		assert_int_equal(choose(f, &world_desk, now, &target), AP_FLEET_OK);
		assert_string_equal(target.id, "d2");
	}
	now += AP_SEC;
	target = (ap_target_t){.id = "d1", .region = "north"};
	ap_fleet_sent(f, &req, &target, now, &inflights[1]);
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
	ap_dispatch_t req = world_request(&world_call, &world_desk, WORLD_START);
	ap_inflight_t inflight;
	ap_target_t target;

	(void)state;
	world_replica(f, "d1", "desk", "north", WORLD_START);
	for (int i = 0; i < 10; i++) {
		assert_int_equal(ap_fleet_choose(f, &req, WORLD_START, &target), AP_FLEET_OK);
		ap_fleet_sent(f, &req, &target, WORLD_START, &inflight);
		ap_fleet_done(f, &inflight, AP_DISPATCH_BROKEN, WORLD_START);
	}
	ap_fleet_free(f);
}

static size_t list_directory(ap_fleet_t *f, const char *region, bool *fallback, ap_usec_t now,
			     const char **first)
{
	const ap_member_t *out[8];
	size_t n = ap_fleet_directory(f, NULL, "", region, out, 8, fallback, now);

	*first = n > 0 ? out[0]->id : "";
	return n;
}

static void the_directory_lists_the_region_of_the_caller(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;
	const char *first;
	bool fallback;

	(void)state;
	world_member(f, "n2", "north", false, now);
	world_member(f, "s1", "south", false, now);
	assert_int_equal(list_directory(f, "north", &fallback, now, &first), 2);
	assert_false(fallback);
	assert_int_equal(list_directory(f, "south", &fallback, now, &first), 1);
	assert_string_equal(first, "s1");
	/* Draining instances are listed only if there are no others, and not for long. */
	world_member(f, "n2", "north", true, now);
	assert_int_equal(list_directory(f, "north", &fallback, now, &first), 1);
	assert_string_equal(first, "n1");
	world_member(f, "s1", "south", true, now);
	assert_int_equal(list_directory(f, "south", &fallback, now, &first), 1);
	assert_string_equal(first, "s1");
	assert_true(fallback);
	now += 2800 * AP_MSEC; /* it accepts no connections any more */
	assert_int_equal(list_directory(f, "south", &fallback, now, &first), 1);
	assert_string_equal(first, "n1");
	assert_true(fallback);
	ap_fleet_free(f);
}

static void a_lost_instance_is_not_listed_for_long(void **state)
{
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;
	const char *first;
	bool fallback;

	(void)state;
	world_member(f, "n2", "north", false, now);
	ap_fleet_remove_member(f, "n2", now);
	assert_int_equal(list_directory(f, "north", &fallback, now + AP_SEC, &first), 2);
	assert_int_equal(list_directory(f, "north", &fallback, now + 2 * AP_SEC, &first), 1);
	ap_fleet_free(f);
}

static ap_fleet_event_t events[AP_FLEET_EVENT_KINDS];
static char event_ids[AP_FLEET_EVENT_KINDS][AP_NAME_MAX];
static unsigned n_events[AP_FLEET_EVENT_KINDS];

static void on_event(void *ctx, const ap_fleet_event_t *event)
{
	(void)ctx;
	events[event->kind] = *event;
	ap_copy_name(event_ids[event->kind], AP_NAME_MAX, event->id);
	n_events[event->kind]++;
}

/* Sends a request to @id, which ends with the result @end. */
static void send_and_end(ap_fleet_t *f, const char *id, const char *region,
			 ap_dispatch_result_t end, ap_usec_t now)
{
	ap_dispatch_t req = world_request(&world_call, &world_desk, now);
	ap_target_t target = {.remote = strcmp(region, "north") != 0};
	ap_inflight_t inflight;

	ap_copy_name(target.id, sizeof(target.id), id);
	ap_copy_name(target.region, sizeof(target.region), region);
	ap_fleet_sent(f, &req, &target, now, &inflight);
	ap_fleet_done(f, &inflight, end, now);
}

static void eject_upstream(ap_fleet_t *f, ap_usec_t now)
{
	send_and_end(f, "d1", "north", AP_DISPATCH_UNREACHABLE, now);
	assert_true(events[AP_FLEET_EVENT_EJECTED].lasts > 0);
	assert_int_equal(events[AP_FLEET_EVENT_EJECTED].failures, 1);
}

static void recover_upstream(ap_fleet_t *f, ap_usec_t now)
{
	send_and_end(f, "d1", "north", AP_DISPATCH_UNREACHABLE, now);
	send_and_end(f, "d1", "north", AP_DISPATCH_DONE, now + 10 * AP_SEC);
	send_and_end(f, "d1", "north", AP_DISPATCH_DONE, now + 10 * AP_SEC);
}

static void reuse_address(ap_fleet_t *f, ap_usec_t now)
{
	send_and_end(f, "d1", "north", AP_DISPATCH_ADDRESS_REUSED, now);
	send_and_end(f, "d1", "north", AP_DISPATCH_ADDRESS_REUSED, now);
}

static void expire_entry(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_remove_replica(f, "d1", true, now);
	ap_fleet_tick(f, now + AP_SEC);
	assert_int_equal(n_events[AP_FLEET_EVENT_EXPIRED], 0);
	ap_fleet_tick(f, now + 2 * AP_SEC);
}

static void suspect_instance(ap_fleet_t *f, ap_usec_t now)
{
	send_and_end(f, "s1", "south", AP_DISPATCH_TIMED_OUT, now);
	send_and_end(f, "s1", "south", AP_DISPATCH_TIMED_OUT, now + 1); /* no second event */
}

static void name_limit(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_limit_seen(f, "d1", -1, now);
	ap_fleet_limit_seen(f, "d1", 1.5, now);
	ap_fleet_limit_seen(f, "d1", 1.5, now);
}

static void end_limit(ap_fleet_t *f, ap_usec_t now)
{
	name_limit(f, now);
	ap_fleet_limit_seen(f, "d1", -1, now);
	ap_fleet_limit_seen(f, "d1", -1, now);
}

static void say_leaving(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_leaving_seen(f, "d1", now);
	ap_fleet_leaving_seen(f, "d1", now + AP_SEC);
}

static void turn_cold(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_health_checked(f, "d1", 0, now);
	ap_fleet_health_checked(f, "d1", 3 * AP_SEC, now);
	ap_fleet_health_checked(f, "d1", 4 * AP_SEC, now + AP_SEC);
	assert_string_equal(events[AP_FLEET_EVENT_COLD].source, "health-check");
}

static void lose_path(ap_fleet_t *f, ap_usec_t now)
{
	send_and_end(f, "d1", "north", AP_DISPATCH_UNREACHABLE, now);
	send_and_end(f, "d1", "north", AP_DISPATCH_UNREACHABLE, now + AP_SEC);
	assert_int_equal(ap_fleet_stats(f, now).unreachable, 1);
}

static void find_path(ap_fleet_t *f, ap_usec_t now)
{
	lose_path(f, now);
	send_and_end(f, "d1", "north", AP_DISPATCH_TIMED_OUT, now + 2 * AP_SEC);
	assert_int_equal(n_events[AP_FLEET_EVENT_PATH_BACK], 0);
	send_and_end(f, "d1", "north", AP_DISPATCH_REFUSED, now + 3 * AP_SEC);
	send_and_end(f, "d1", "north", AP_DISPATCH_DONE, now + 4 * AP_SEC);
	assert_true(events[AP_FLEET_EVENT_PATH_BACK].lasts == 3 * AP_SEC);
	assert_int_equal(ap_fleet_stats(f, now).unreachable, 0);
}

static void say_brittle(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_brittle_seen(f, "d1", -1, now);
	ap_fleet_brittle_seen(f, "d1", 4, now);
	ap_fleet_brittle_seen(f, "d1", 5, now + AP_SEC);
}

static void end_brittle(ap_fleet_t *f, ap_usec_t now)
{
	say_brittle(f, now);
	ap_fleet_brittle_seen(f, "d1", -1, now + 2 * AP_SEC);
	ap_fleet_brittle_seen(f, "d1", -1, now + 2 * AP_SEC);
}

static void ask_for_pause(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_backoff_seen(f, "d1", 0, now);
	ap_fleet_backoff_seen(f, "d1", 2 * AP_SEC, now);
	ap_fleet_backoff_seen(f, "d1", 5 * AP_SEC, now + AP_SEC);
	assert_true(events[AP_FLEET_EVENT_BACKOFF].lasts == 2 * AP_SEC);
}

static void stay(ap_fleet_t *f, ap_usec_t now)
{
	say_leaving(f, now);
	ap_fleet_health_checked(f, "d1", 0, now + 100 * AP_SEC);
	ap_fleet_health_checked(f, "d1", 0, now + 101 * AP_SEC);
}

#define PART 0x1f

/* Sends a request with PART to engine @number, which ends with the result @end. */
static void send_part(ap_fleet_t *f, int number, ap_dispatch_result_t end, ap_usec_t now)
{
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	ap_target_t target = {.remote = false};
	ap_inflight_t inflight;

	snprintf(target.id, sizeof(target.id), "e%d", number);
	world_replica(f, target.id, "engines", "north", now);
	world_prompt(&req, PART, 2000, (uint64_t)number);
	ap_fleet_sent(f, &req, &target, now, &inflight);
	ap_fleet_done(f, &inflight, end, now);
	ap_fleet_health_check_refused(f, target.id, now);
	ap_fleet_tick(f, now);
}

static void suspect_part(ap_fleet_t *f, ap_usec_t now)
{
	for (int i = 0; i < 4; i++) {
		assert_int_equal(n_events[AP_FLEET_EVENT_PART_SUSPECTED], i > 2);
		send_part(f, i, AP_DISPATCH_BROKEN, now + i * AP_SEC);
	}
	assert_int_equal(ap_fleet_stats(f, now).suspect_parts, 1);
}

static void clear_part(ap_fleet_t *f, ap_usec_t now)
{
	suspect_part(f, now);
	send_part(f, 5, AP_DISPATCH_DONE, now + 5 * AP_SEC);
	send_part(f, 6, AP_DISPATCH_DONE, now + 6 * AP_SEC);
	assert_int_equal(ap_fleet_stats(f, now).suspect_parts, 0);
}

#define FINGERPRINT 0x2f

/* Sends the request FINGERPRINT to the plain service's upstream @number. */
static void send_again(ap_fleet_t *f, int number, ap_dispatch_result_t end, ap_usec_t now)
{
	ap_dispatch_t req = world_request(&world_call, &world_desk, now);
	ap_target_t target = {.remote = false};
	ap_inflight_t inflight;

	req.fingerprint = FINGERPRINT;
	snprintf(target.id, sizeof(target.id), "d%d", number);
	world_replica(f, target.id, "desk", "north", now);
	ap_fleet_sent(f, &req, &target, now, &inflight);
	ap_fleet_done(f, &inflight, end, now + 30 * AP_MSEC);
	ap_fleet_health_check_refused(f, target.id, now + 31 * AP_MSEC);
	ap_fleet_tick(f, now + 31 * AP_MSEC);
}

static void suspect_request(ap_fleet_t *f, ap_usec_t now)
{
	for (int i = 0; i < 4; i++) {
		assert_int_equal(n_events[AP_FLEET_EVENT_REQUEST_SUSPECTED], i > 2);
		send_again(f, 2 + i, AP_DISPATCH_BROKEN, now + i * 40 * AP_MSEC);
	}
	assert_int_equal(ap_fleet_stats(f, now).suspect_requests, 1);
}

static void clear_request(ap_fleet_t *f, ap_usec_t now)
{
	suspect_request(f, now);
	send_again(f, 7, AP_DISPATCH_DONE, now + 5 * AP_SEC);
	assert_int_equal(ap_fleet_stats(f, now).suspect_requests, 0);
}

static void each_event_is_reported_once(void **state)
{
	static const struct {
		void (*run)(ap_fleet_t *f, ap_usec_t now);
		const char *id;
	} cases[AP_FLEET_EVENT_KINDS] = {
		[AP_FLEET_EVENT_EJECTED] = {eject_upstream, "d1"},
		[AP_FLEET_EVENT_RECOVERED] = {recover_upstream, "d1"},
		[AP_FLEET_EVENT_ADDRESS_REUSED] = {reuse_address, "d1"},
		[AP_FLEET_EVENT_EXPIRED] = {expire_entry, "d1"},
		[AP_FLEET_EVENT_SUSPECTED] = {suspect_instance, "s1"},
		[AP_FLEET_EVENT_LIMITED] = {name_limit, "d1"},
		[AP_FLEET_EVENT_UNLIMITED] = {end_limit, "d1"},
		[AP_FLEET_EVENT_LEAVING] = {say_leaving, "d1"},
		[AP_FLEET_EVENT_NOT_LEAVING] = {stay, "d1"},
		[AP_FLEET_EVENT_BRITTLE] = {say_brittle, "d1"},
		[AP_FLEET_EVENT_NOT_BRITTLE] = {end_brittle, "d1"},
		[AP_FLEET_EVENT_BACKOFF] = {ask_for_pause, "d1"},
		[AP_FLEET_EVENT_COLD] = {turn_cold, "d1"},
		[AP_FLEET_EVENT_PATH_LOST] = {lose_path, "d1"},
		[AP_FLEET_EVENT_PATH_BACK] = {find_path, "d1"},
		[AP_FLEET_EVENT_PART_SUSPECTED] = {suspect_part, "1f"},
		[AP_FLEET_EVENT_PART_CLEARED] = {clear_part, "1f"},
		[AP_FLEET_EVENT_REQUEST_SUSPECTED] = {suspect_request, "2f"},
		[AP_FLEET_EVENT_REQUEST_CLEARED] = {clear_request, "2f"},
	};

	(void)state;
	for (ap_fleet_event_kind_t b = 0; b < AP_FLEET_EVENT_KINDS; b++) {
		ap_fleet_config_t config = {.entry_grace = 2 * AP_SEC, .on_event = on_event};
		ap_fleet_t *f;

		assert_non_null(cases[b].run); /* each kind of event needs a case */
		memset(n_events, 0, sizeof(n_events));
		ap_copy_name(config.id, sizeof(config.id), "n1");
		ap_copy_name(config.region, sizeof(config.region), "north");
		ap_copy_name(config.data_centre, sizeof(config.data_centre), "north-1");
		f = ap_fleet_new(&config);
		ap_fleet_set_data_centre(f, "south-1", "south");
		world_member(f, "s1", "south", false, WORLD_START);
		world_replica(f, "d1", "desk", "north", WORLD_START);
		cases[b].run(f, WORLD_START + AP_SEC);
		assert_int_equal(n_events[b], 1);
		assert_string_equal(event_ids[b], cases[b].id);
		/* Entries of upstreams have an age; events on instances and parts have none. */
		if (strcmp(cases[b].id, "d1") == 0)
			assert_true(events[b].entry_age >= AP_SEC);
		ap_fleet_free(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_draining_upstream_gets_no_requests),
		cmocka_unit_test(a_removed_upstream_is_gone_at_once),
		cmocka_unit_test(a_request_from_before_a_lost_record_leaves_no_load),
		cmocka_unit_test(an_expired_upstream_stays_for_the_grace_time),
		cmocka_unit_test(a_complete_list_removes_what_is_missing),
		cmocka_unit_test(an_upstream_gets_no_requests_before_its_shutdown),
		cmocka_unit_test(an_evacuated_data_centre_gets_no_requests),
		cmocka_unit_test(a_reused_address_is_not_used_again),
		cmocka_unit_test(the_retry_budget_holds_summed_over_all_instances),
		cmocka_unit_test(an_unreachable_upstream_comes_back_through_one_trial),
		cmocka_unit_test(the_last_upstream_is_used_however_it_fails),
		cmocka_unit_test(the_directory_lists_the_region_of_the_caller),
		cmocka_unit_test(a_lost_instance_is_not_listed_for_long),
		cmocka_unit_test(each_event_is_reported_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
