/*
 * Guards against a stream that goes on at another upstream while the silent one before, which is
 * slow and not gone, works on it for over 400 ms more.
 */
#include "exchange_world.h"

#define FIRST "id: 1\ndata: a\n\n"
#define REST "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
#define RULE (400 * AP_MSEC)   /* for how long two upstreams may work on one stream */
#define TRAVEL (100 * AP_MSEC) /* of a head here, or of a cancel to the upstream */
#define NO_DATA (250 * AP_MSEC)

/* How far a stream is at u0 when it falls silent. */
typedef enum point {
	BEFORE_HEAD,
	BEFORE_EVENT,
	BEGUN,
	POINTS,
} point_t;

/* Begins a resumable stream at u0, which falls silent; it is sent to u1, too. */
static void fall_silent(world_t *w, point_t at, unsigned attempts)
{
	begin(w, AP_KIND_STREAM, true, attempts);
	if (at != BEFORE_HEAD)
		head(w, 200);
	if (at == BEGUN)
		data(w, FIRST);
	w->now = ap_exchange_due(&w->x);
	ap_exchange_tick(&w->x, w->now);
	assert_int_equal(w->n_sent, 2);
}

static bool in_flight(const world_t *w, int i)
{
	return w->x.slot[w->slot[i]].in_flight;
}

/* Ticks when they are due, for @time. */
static void run_for(world_t *w, ap_usec_t time)
{
	ap_usec_t until = w->now + time;

	while (ap_exchange_due(&w->x) <= until) {
		ap_usec_t due = ap_exchange_due(&w->x);

		w->now = due > w->now ? due : w->now;
		ap_exchange_tick(&w->x, w->now);
	}
	w->now = until;
}

/* The head of u1 arrives; an instance passes it on from the upstream behind it. */
static void accept_at_other(world_t *w)
{
	ap_response_head_t h = {.status = 200, .from_replica = true, .build = 7};

	ap_exchange_head(&w->x, w->slot[1], &h, w->now);
}

static void serve_rest(world_t *w, const char *body)
{
	data_of(w, 1, body);
	end_of(w, 1, AP_CONNECTION_COMPLETE);
	assert_true(w->ended);
}

/* Guards against the failure itself, wherever the two upstreams are. */
static void the_silent_one_is_cancelled_once_another_has_accepted(void **state)
{
	(void)state;
	for (point_t at = 0; at < POINTS; at++) {
		for (int remote = 0; remote < 4; remote++) {
			world_t w = {0};

			fall_silent(&w, at, 2);
			w.x.slot[w.slot[0]].target.remote = remote & 1;
			w.x.slot[w.slot[1]].target.remote = remote & 2;
			run_for(&w, 2 * NO_DATA);
			assert_true(in_flight(&w, 0)); /* the other one may refuse yet */
			accept_at_other(&w);
			run_for(&w, RULE - 2 * TRAVEL);
			assert_false(in_flight(&w, 0));
			assert_true(in_flight(&w, 1));
			assert_int_equal(w.dropped, 1);
			assert_int_equal(w.ends[0], AP_DISPATCH_TIMED_OUT);
			assert_string_equal(w.step_target[AP_STEP_CANCELLED].id, "u0");
			run_for(&w, NO_DATA);
			assert_int_equal(w.n_sent, 2);
			serve_rest(&w, at == BEGUN ? REST : FIRST REST);
			assert_string_equal(w.body, FIRST REST);
			finish(&w);
		}
	}
}

/* Guards against a first upstream that accepts late and works on beside the second one. */
static void a_late_first_head_keeps_no_two_at_work(void **state)
{
	(void)state;
	for (int after = 0; after < 2; after++) {
		world_t w = {0};

		fall_silent(&w, BEFORE_HEAD, 2);
		if (!after)
			head_of(&w, 0, 200);
		accept_at_other(&w);
		if (after)
			head_of(&w, 0, 200);
		run_for(&w, RULE - 2 * TRAVEL);
		assert_int_equal(in_flight(&w, 0) + in_flight(&w, 1), 1);
		serve_rest(&w, FIRST REST);
		assert_string_equal(w.body, FIRST REST);
		finish(&w);
	}
}

/* Guards against a stream that is lost because its silent upstream is given up for an error. */
static void an_upstream_that_has_not_accepted_replaces_none(void **state)
{
	(void)state;
	for (int how = 0; how < 3; how++) {
		world_t w = {.targets = 2};

		fall_silent(&w, BEGUN, 2);
		run_for(&w, RULE);
		if (how == 0)
			refuse(&w, 503);
		else if (how == 1)
			head(&w, 500);
		else
			ap_exchange_head(&w.x, w.slot[1], &(ap_response_head_t){.status = 200},
					 w.now);
		run_for(&w, RULE);
		assert_true(in_flight(&w, 0));
		data_of(&w, 0, REST);
		end_of(&w, 0, AP_CONNECTION_COMPLETE);
		assert_true(w.ended);
		assert_string_equal(w.body, FIRST REST);
		finish(&w);
	}
}

/* Guards against both that go on when the silent one responds just after the other has accepted. */
static void the_silent_one_that_goes_on_at_once_is_kept_alone(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, BEGUN, 2);
	accept_at_other(&w);
	run_for(&w, AP_MSEC);
	data_of(&w, 0, REST);
	assert_true(in_flight(&w, 0));
	assert_false(in_flight(&w, 1));
	end_of(&w, 0, AP_CONNECTION_COMPLETE);
	assert_string_equal(w.body, FIRST REST);
	finish(&w);
}

/* Guards against two that work on while the caller reads slowly. */
static void a_pause_keeps_no_two_at_work(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, BEGUN, 2);
	accept_at_other(&w);
	ap_exchange_pause(&w.x, true, w.now);
	run_for(&w, RULE - 2 * TRAVEL);
	assert_false(in_flight(&w, 0));
	assert_true(in_flight(&w, 1));
	finish(&w);
}

/* Guards against a whole response, or one that waits for a check, that is given up. */
static void a_response_in_a_check_is_not_given_up(void **state)
{
	(void)state;
	for (int i = 0; i < 2; i++) {
		world_t w = {0};

		fall_silent(&w, BEGUN, 2);
		accept_at_other(&w);
		if (i == 1)
			ap_exchange_data(&w.x, w.slot[1], FIRST, strlen(FIRST), w.now);
		end_of(&w, i, AP_CONNECTION_COMPLETE_ON_CLOSE);
		if (i == 0)
			assert_int_equal(w.checks, 1);
		run_for(&w, RULE);
		assert_true(in_flight(&w, 0));
		assert_true(in_flight(&w, 1));
		ap_exchange_checked(&w.x, w.slot[i], true, w.now);
		assert_int_equal(in_flight(&w, 0) + in_flight(&w, 1), 1);
		finish(&w);
	}
}

/* Guards against a third run where two are allowed, or none where three are. */
static void the_cancelled_one_counts_as_run(void **state)
{
	(void)state;
	for (unsigned attempts = 2; attempts < 4; attempts++) {
		world_t w = {0};

		fall_silent(&w, BEGUN, attempts);
		accept_at_other(&w);
		run_for(&w, RULE - 2 * TRAVEL);
		end_of(&w, 1, AP_CONNECTION_BROKEN);
		assert_int_equal(w.n_sent, attempts);
		assert_int_equal(w.aborted, attempts == 2);
		finish(&w);
	}
}

/* Guards against a third attempt before the next event of the second one is due. */
static void the_next_event_is_due_after_the_gap(void **state)
{
	world_t w = {0};

	(void)state;
	fall_silent(&w, BEGUN, 3);
	accept_at_other(&w);
	run_for(&w, RULE - 2 * TRAVEL);
	assert_false(in_flight(&w, 0));
	run_for(&w, w.route.event_gap - RULE);
	assert_int_equal(w.n_sent, 2);
	run_for(&w, RULE);
	assert_int_equal(w.n_sent, 3);
	finish(&w);
}

/* Guards against plain responses that are given up before another one is whole. */
static void a_plain_request_is_kept_until_another_response_is_whole(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	accept_at_other(&w);
	run_for(&w, RULE);
	assert_true(in_flight(&w, 0));
	end_of(&w, 1, AP_CONNECTION_BROKEN);
	assert_false(w.x.finished);
	finish(&w);
}

/* Guards against an instance that tells no one that its upstream has accepted the stream. */
static void an_instance_passes_the_head_on_to_one_that_waits_for_it(void **state)
{
	(void)state;
	for (int waits = 0; waits < 2; waits++) {
		for (int broken = 0; broken < 2; broken++) {
			world_t w = {0};

			begin(&w, AP_KIND_STREAM, true, 1);
			w.x.early_head = waits;
			w.x.slot[w.slot[0]].target.build = 7;
			head(&w, 200);
			assert_int_equal(w.heads, waits);
			if (waits)
				assert_int_equal(w.x.req.build, 7);
			if (broken) {
				end(&w, AP_CONNECTION_BROKEN);
				assert_int_equal(w.aborted, waits);
				assert_int_equal(w.status, waits ? 0 : 502);
			} else {
				data(&w, FIRST);
				end(&w, AP_CONNECTION_COMPLETE);
				assert_int_equal(w.heads, 1);
				assert_string_equal(w.body, FIRST);
			}
			finish(&w);
		}
	}
}

/* Guards against a refusal or an error that is passed on as an accepted stream. */
static void an_instance_passes_no_other_head_on_early(void **state)
{
	(void)state;
	for (int how = 0; how < 3; how++) {
		world_t w = {.targets = 1};

		begin(&w, AP_KIND_STREAM, true, 1);
		w.x.early_head = true;
		if (how == 0)
			refuse(&w, 503);
		else if (how == 1)
			head(&w, 500);
		else
			ap_exchange_head(&w.x, w.slot[0], &(ap_response_head_t){.status = 200},
					 w.now);
		assert_int_equal(w.heads, 0);
		assert_false(w.aborted);
		finish(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_silent_one_is_cancelled_once_another_has_accepted),
		cmocka_unit_test(a_late_first_head_keeps_no_two_at_work),
		cmocka_unit_test(an_upstream_that_has_not_accepted_replaces_none),
		cmocka_unit_test(the_silent_one_that_goes_on_at_once_is_kept_alone),
		cmocka_unit_test(a_pause_keeps_no_two_at_work),
		cmocka_unit_test(a_response_in_a_check_is_not_given_up),
		cmocka_unit_test(the_cancelled_one_counts_as_run),
		cmocka_unit_test(the_next_event_is_due_after_the_gap),
		cmocka_unit_test(a_plain_request_is_kept_until_another_response_is_whole),
		cmocka_unit_test(an_instance_passes_the_head_on_to_one_that_waits_for_it),
		cmocka_unit_test(an_instance_passes_no_other_head_on_early),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
