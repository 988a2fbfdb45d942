/* Tests of upstreams that refuse a request and ask for a pause. */
#include "fleet_net.h"

#define PAUSE (3 * AP_SEC)
#define STEP (50 * AP_MSEC)
#define DELAY (100 * AP_MSEC) /* more than one instance alone waits after a pause */
#define AT (WORLD_START + AP_SEC)

static ap_fleet_status_t choose_at(ap_fleet_t *f, ap_dispatch_t req, ap_usec_t now,
				   ap_target_t *target)
{
	if (req.deadline < now + AP_SEC)
		req.deadline = now + AP_SEC;
	ap_fleet_tick(f, now);
	return ap_fleet_choose(f, &req, now, target);
}

static bool sends_at(ap_fleet_t *f, ap_dispatch_t req, ap_usec_t now)
{
	ap_target_t target;

	return choose_at(f, req, now, &target) == AP_FLEET_OK;
}

static ap_dispatch_t call_at(ap_usec_t now)
{
	return world_request(&world_call, &world_desk, now);
}

/* Knows one upstream of the plain service. */
static ap_fleet_t *one_upstream(void)
{
	ap_fleet_t *f = world_north();

	world_replica(f, "d1", "desk", "north", WORLD_START);
	return f;
}

static void first_try(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)f;
	(void)req;
}

static void retry(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)f;
	req->n_tried = 1;
	ap_copy_name(req->tried[0], AP_NAME_MAX, "d1");
}

static void after_silence(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)f;
	req->heard_since = AT - 10 * AP_MSEC;
}

static void resumed(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)f;
	req->begun = true;
}

static void forwarded(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)f;
	req->local_only = true;
}

static void without_path(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_path_lost(f, "d1", AT);
}

static void end_with(ap_fleet_t *f, ap_dispatch_result_t end, ap_usec_t now)
{
	ap_dispatch_t req = call_at(now);
	ap_target_t target = {.port = 9000};
	ap_inflight_t inflight;

	ap_copy_name(target.id, sizeof(target.id), "d1");
	ap_fleet_sent(f, &req, &target, now, &inflight);
	ap_fleet_done(f, &inflight, end, now);
}

static void ejection_trial(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	end_with(f, AP_DISPATCH_UNREACHABLE, AT - 600 * AP_MSEC);
	ap_fleet_path_seen(f, "d1", AT);
}

static void limited(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_limit_seen(f, "d1", 1000, AT);
}

static void brittle(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_brittle_seen(f, "d1", 1000, AT);
}

static void after_freeze(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_after_freeze(f, AT);
}

static void success_meanwhile(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	end_with(f, AP_DISPATCH_DONE, AT);
}

static void lapsed_record(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_remove_replica(f, "d1", false, AT);
	world_replica(f, "d1", "desk", "north", AT);
}

static void listed_again(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_list_begin(f);
	world_replica(f, "d1", "desk", "north", AT);
	ap_fleet_list_end(f, false, AT);
}

static void shorter_later(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_backoff_seen(f, "d1", AP_SEC, AT + 10 * AP_MSEC);
	ap_fleet_backoff_seen(f, "d1", 0, AT + 20 * AP_MSEC);
}

static void shorter_before(ap_fleet_t *f, ap_dispatch_t *req)
{
	(void)req;
	ap_fleet_backoff_seen(f, "d1", AP_SEC, AT - 10 * AP_MSEC);
}

/*
 * Guards against BUDGET: an upstream that had asked for a pause got requests in it, by any way that
 * a request takes and whatever else is known of the upstream.
 */
static void no_request_in_a_pause_by_any_way(void **state)
{
	static const struct {
		const char *name;
		void (*prepare)(ap_fleet_t *f, ap_dispatch_t *req);
	} ways[] = {
		{"first try", first_try},
		{"retry", retry},
		{"second attempt after silence", after_silence},
		{"resumed stream", resumed},
		{"forwarded", forwarded},
		{"last choice over a lost path", without_path},
		{"trial after an ejection", ejection_trial},
		{"limited", limited},
		{"brittle", brittle},
		{"freeze", after_freeze},
		{"success meanwhile", success_meanwhile},
		{"record gone and back", lapsed_record},
		{"listed again", listed_again},
		{"shorter pause later", shorter_later},
		{"shorter pause before", shorter_before},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(ways) / sizeof(ways[0]); i++) {
		ap_fleet_t *f = one_upstream();
		ap_dispatch_t req = call_at(AT);
		ap_replica_entry_t entry;
		ap_usec_t now;

		ap_fleet_count_request(f, "desk", WORLD_START);
		ap_fleet_backoff_seen(f, "d1", PAUSE, AT);
		ways[i].prepare(f, &req);
		ap_fleet_set_store_silent(f, true);
		for (now = AT; now < AT + PAUSE; now += STEP) {
			if (sends_at(f, req, now))
				fail_msg("%s: sent %lld ms after the refusal", ways[i].name,
					 (long long)((now - AT) / AP_MSEC));
			if (ap_fleet_next_health_check(f, now, &entry))
				fail_msg("%s: checked in the pause", ways[i].name);
			assert_int_equal(ap_fleet_stats(f, now).backoff, 1);
		}
		/* What the other ways leave behind lasts longer. */
		ap_fleet_path_seen(f, "d1", now);
		now += DELAY + AP_SEC;
		req = call_at(now);
		if (!sends_at(f, req, now))
			fail_msg("%s: not sent after the pause", ways[i].name);
		ap_fleet_free(f);
	}
}

/* The upstream means itself: others, and its successor, get requests at once. */
static void others_get_requests_in_a_pause(void **state)
{
	ap_fleet_t *f = one_upstream();
	ap_target_t target;

	(void)state;
	ap_fleet_backoff_seen(f, "d1", PAUSE, AT);
	world_replica(f, "d2", "desk", "north", AT);
	assert_int_equal(choose_at(f, call_at(AT), AT, &target), AP_FLEET_OK);
	assert_string_equal(target.id, "d2");
	ap_fleet_backoff_seen(f, "d2", PAUSE, AT);
	assert_false(sends_at(f, call_at(AT), AT));
	/* Another life, with the address of the first. */
	ap_fleet_remove_replica(f, "d1", false, AT);
	world_replica(f, "d1-next", "desk", "north", AT);
	assert_int_equal(choose_at(f, call_at(AT), AT, &target), AP_FLEET_OK);
	assert_string_equal(target.id, "d1-next");
	ap_fleet_free(f);
}

/* A time that is as long as a number can say would take the upstream away for good. */
static void a_pause_ends_after_ten_minutes(void **state)
{
	static const ap_usec_t waits[] = {601 * AP_SEC, AP_DURATION_MAX, AP_NEVER};
	ap_usec_t most = 600 * AP_SEC;

	(void)state;
	for (size_t i = 0; i < sizeof(waits) / sizeof(waits[0]); i++) {
		ap_fleet_t *f = one_upstream();

		ap_fleet_backoff_seen(f, "d1", waits[i], AT);
		assert_false(sends_at(f, call_at(AT + most - 1), AT + most - 1));
		assert_true(sends_at(f, call_at(AT + most + DELAY), AT + most + DELAY));
		ap_fleet_free(f);
	}
}

static void no_pause_for_a_time_of_zero_or_less(void **state)
{
	static const ap_usec_t waits[] = {0, -1, -AP_SEC, INT64_MIN};

	(void)state;
	for (size_t i = 0; i < sizeof(waits) / sizeof(waits[0]); i++) {
		ap_fleet_t *f = one_upstream();

		ap_fleet_backoff_seen(f, "d1", waits[i], AT);
		assert_true(sends_at(f, call_at(AT), AT));
		ap_fleet_free(f);
	}
}

/*
 * Callers are refused with the time that is left, spread over as long again, so that they return
 * neither into the pause nor at one moment.
 */
static void callers_are_told_when_the_pause_is_over(void **state)
{
	ap_fleet_t *f = one_upstream();
	unsigned returns[10] = {0};
	unsigned n = 0;

	(void)state;
	ap_fleet_backoff_seen(f, "d1", PAUSE, AT);
	for (ap_usec_t now = AT; now < AT + PAUSE; now += 3 * AP_MSEC, n++) {
		ap_dispatch_t req = call_at(now);
		ap_target_t target;

		req.deadline = now + 10 * AP_SEC;
		assert_int_equal(choose_at(f, req, now, &target), AP_FLEET_BACKOFF);
		assert_in_range(now + target.wait, AT + PAUSE, AT + 2 * PAUSE + DELAY);
		returns[(now + target.wait - AT - PAUSE) * 10 / (PAUSE + DELAY)]++;
	}
	/* As many as arrive in the meantime, and half of that for chance. */
	for (size_t i = 0; i < 10; i++)
		assert_in_range(returns[i], n / 20, n * 3 / 20);
	ap_fleet_free(f);
}

/* A caller whose deadline comes after the end of the pause can still be served. */
static void callers_are_told_to_return_before_their_deadline(void **state)
{
	ap_fleet_t *f = one_upstream();

	(void)state;
	ap_fleet_backoff_seen(f, "d1", PAUSE, AT);
	for (ap_usec_t left = PAUSE; left > 0; left -= 10 * AP_MSEC) {
		ap_usec_t now = AT + PAUSE - left;
		ap_dispatch_t req = call_at(now);
		ap_target_t target;

		req.deadline = now + left + 500 * AP_MSEC;
		ap_fleet_tick(f, now);
		assert_int_equal(ap_fleet_choose(f, &req, now, &target), AP_FLEET_BACKOFF);
		assert_in_range(now + target.wait, AT + PAUSE, req.deadline);
	}
	ap_fleet_free(f);
}

/* After a pause: one request, then twice as many at a time with each response. */
static void an_upstream_is_taken_up_again_step_by_step(void **state)
{
	ap_fleet_t *f = one_upstream();
	ap_usec_t now = AT + PAUSE + DELAY;
	ap_inflight_t inflight[200];
	size_t n = 0;

	(void)state;
	ap_fleet_backoff_seen(f, "d1", PAUSE, AT);
	for (size_t expected = 1; expected <= 64; expected *= 2) {
		ap_dispatch_t req = call_at(now);
		ap_target_t target;

		req.begun = true; /* their number makes them late here */
		for (n = 0; ap_fleet_choose(f, &req, now, &target) == AP_FLEET_OK; n++) {
			assert_true(n < expected);
			ap_fleet_sent(f, &req, &target, now, &inflight[n]);
		}
		assert_int_equal(n, expected);
		ap_fleet_done(f, &inflight[0], AP_DISPATCH_ERROR, now);
		for (size_t i = 1; i < n; i++)
			ap_fleet_done(f, &inflight[i], AP_DISPATCH_CANCELLED, now);
		now += 30 * AP_MSEC;
	}
	assert_true(sends_at(f, call_at(now), now));
	/* A request that ends while the record is gone makes room, too. */
	ap_fleet_backoff_seen(f, "d1", AP_SEC, now);
	now += AP_SEC + DELAY;
	for (n = 0; n < 2; n++) {
		ap_dispatch_t req = call_at(now);
		ap_target_t target;

		assert_int_equal(choose_at(f, req, now, &target), AP_FLEET_OK);
		ap_fleet_sent(f, &req, &target, now, &inflight[n]);
		assert_false(sends_at(f, call_at(now), now));
		ap_fleet_remove_replica(f, "d1", false, now);
		ap_fleet_done(f, &inflight[n], AP_DISPATCH_CANCELLED, now);
		world_replica(f, "d1", "desk", "north", now);
	}
	/* One that doesn't respond after its pause has no pause any more. */
	ap_fleet_backoff_seen(f, "d1", PAUSE, now);
	now += PAUSE + DELAY;
	for (n = 0; n < 2; n++) {
		ap_dispatch_t req = call_at(now);
		ap_target_t target;

		assert_int_equal(choose_at(f, req, now, &target), AP_FLEET_OK);
		ap_fleet_sent(f, &req, &target, now, &inflight[n]);
		assert_false(n == 0 && sends_at(f, call_at(now), now));
		now += 6 * AP_SEC;
	}
	ap_fleet_free(f);
}

#define SLOTS 8
#define MEAN (30 * AP_MSEC)

/*
 * All instances of a region were given the same end. Their first requests come at the rate that the
 * upstream can process, or spread over as long as the pause if that is shorter.
 */
static void instances_return_one_after_the_other(void **state)
{
	static const unsigned sizes[] = {8, 77, 300, 1000};

	(void)state;
	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		unsigned most = 0;
		unsigned first[100] = {0};

		for (unsigned i = 0; i < sizes[s]; i++) {
			ap_usec_t now = AT + PAUSE;
			char id[AP_NAME_MAX];
			ap_fleet_t *f;

			snprintf(id, sizeof(id), "n%u", i);
			f = world_fleet(id, "north");
			world_know_all(f, (int)sizes[s], WORLD_START - 10 * AP_SEC);
			world_replica(f, "d1", "desk", "north", WORLD_START);
			ap_fleet_backoff_seen(f, "d1", PAUSE, AT);
			while (!sends_at(f, call_at(now), now)) {
				now += MEAN;
				assert_true(now <= AT + 2 * PAUSE + MEAN);
			}
			first[(now - AT - PAUSE) / (4 * MEAN)]++;
			ap_fleet_free(f);
		}
		for (size_t i = 0; i < 100; i++)
			most = first[i] > most ? first[i] : most;
		print_message("%u instances: at most %u in %lld ms, slots for %u\n", sizes[s], most,
			      (long long)(4 * MEAN / AP_MSEC), 4 * SLOTS);
		/* By chance, half as many again; those that fit in wait in its slots. */
		assert_true(most <= 6 * SLOTS || most <= sizes[s] * 6 * MEAN / PAUSE);
	}
}

/* The upstreams of the other region want nothing from the instance that the request was sent to. */
static void a_region_that_pauses_gets_no_forwarded_requests(void **state)
{
	ap_fleet_t *f = one_upstream();
	ap_dispatch_t req = call_at(AT);
	ap_target_t target;

	(void)state;
	world_member(f, "s1", "south", false, WORLD_START);
	world_replica(f, "d2", "desk", "south", WORLD_START);
	ap_fleet_backoff_seen(f, "d1", PAUSE, AT);
	assert_int_equal(choose_at(f, req, AT, &target), AP_FLEET_OK);
	assert_true(target.remote);
	ap_fleet_remote_pause(f, "south", "desk", 2 * AP_SEC, AT);
	ap_fleet_remote_pause(f, "south", "engines", 9 * AP_SEC, AT);
	for (ap_usec_t now = AT; now < AT + 2 * AP_SEC; now += STEP) {
		req = call_at(now);
		assert_int_equal(choose_at(f, req, now, &target), AP_FLEET_BACKOFF);
		assert_true(now + target.wait >= AT + 2 * AP_SEC);
		/* One that another instance forwarded is told of this region alone. */
		req.local_only = true;
		assert_int_equal(choose_at(f, req, now, &target), AP_FLEET_BACKOFF);
		assert_true(now + target.wait >= AT + PAUSE);
		assert_in_range(ap_fleet_local_pause(f, &req, now), AT + PAUSE - now,
				AT + PAUSE + DELAY - now);
		assert_true(ap_fleet_local_wait(f, &req, now) == AP_NEVER);
	}
	req = call_at(AT + 2 * AP_SEC);
	assert_int_equal(choose_at(f, req, AT + 2 * AP_SEC, &target), AP_FLEET_OK);
	assert_string_equal(target.id, "s1");
	assert_false(ap_fleet_local_wait(f, &req, AT + PAUSE + DELAY) == AP_NEVER);
	ap_fleet_free(f);
}

/* Without paths, and while the neighbours' upstreams pause, no neighbour is asked. */
static void neighbours_that_pause_are_not_asked(void **state)
{
	ap_fleet_t *f = one_upstream();
	ap_dispatch_t req = call_at(AT);
	ap_target_t target;

	(void)state;
	world_member(f, "n2", "north", false, WORLD_START);
	ap_fleet_path_lost(f, "d1", AT);
	assert_int_equal(choose_at(f, req, AT, &target), AP_FLEET_OK);
	assert_string_equal(target.id, "n2");
	ap_fleet_remote_pause(f, "north", "desk", PAUSE, AT);
	req.unreachable = 1;
	assert_int_equal(choose_at(f, req, AT, &target), AP_FLEET_BACKOFF);
	assert_true(target.wait >= PAUSE);
	ap_fleet_free(f);
}

/* A pause says nothing of how long requests wait, so remote regions aren't told any wait. */
static void waits_of_a_pool_that_pauses_are_not_announced(void **state)
{
	ap_dispatch_t req;
	ap_target_t target;
	net_t net;

	(void)state;
	net_begin(&net, 1, 1);
	net_replicas(&net, "desk", "north", 1);
	net_replicas(&net, "desk", "south", 1);
	ap_fleet_count_request(net.fleets[0], "desk", WORLD_START);
	net_announce(&net, AT);
	ap_fleet_backoff_seen(net.fleets[0], "desk-north-0", PAUSE, AT);
	net_announce(&net, AT + AP_SEC);
	/* The other instance is not bound by it, and asks its neighbour region as before. */
	req = call_at(AT + AP_SEC);
	ap_fleet_backoff_seen(net.fleets[1], "desk-south-0", PAUSE, AT);
	assert_int_equal(choose_at(net.fleets[1], req, AT + AP_SEC, &target), AP_FLEET_OK);
	assert_true(target.remote);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_request_in_a_pause_by_any_way),
		cmocka_unit_test(others_get_requests_in_a_pause),
		cmocka_unit_test(a_pause_ends_after_ten_minutes),
		cmocka_unit_test(no_pause_for_a_time_of_zero_or_less),
		cmocka_unit_test(callers_are_told_when_the_pause_is_over),
		cmocka_unit_test(callers_are_told_to_return_before_their_deadline),
		cmocka_unit_test(an_upstream_is_taken_up_again_step_by_step),
		cmocka_unit_test(instances_return_one_after_the_other),
		cmocka_unit_test(a_region_that_pauses_gets_no_forwarded_requests),
		cmocka_unit_test(neighbours_that_pause_are_not_asked),
		cmocka_unit_test(waits_of_a_pool_that_pauses_are_not_announced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
