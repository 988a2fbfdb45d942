/* Each decision on the way of a request is told, with the inputs behind it. */
#include "exchange_world.h"

static void play_sent(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
}

static void play_sent_again(world_t *w)
{
	begin(w, AP_KIND_IDEMPOTENT, false, 2);
	end(w, AP_LINK_BROKEN);
}

static void play_resumed(world_t *w)
{
	begin(w, AP_KIND_STREAM, true, 2);
	head(w, 200);
	data(w, "id: 1\ndata: a\n\n");
	end(w, AP_LINK_BROKEN);
}

static void play_refused_by(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	refuse(w, 503);
}

static void play_unreachable(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	end(w, AP_LINK_UNSENT);
}

static void play_failed_at(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	end(w, AP_LINK_BROKEN);
}

static void play_silent(world_t *w)
{
	begin(w, AP_KIND_IDEMPOTENT, false, 2);
	w->now = ap_exchange_due(&w->x);
	ap_exchange_tick(&w->x, w->now);
}

static void play_caller_left(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	ap_exchange_gone(&w->x);
}

/* What it was given up for is told with the best target there was: here none. */
static void play_given_up(world_t *w)
{
	w->targets = -1;
	begin(w, AP_KIND_ONCE, false, 1);
}

static void each_decision_is_told_with_its_inputs(void **state)
{
	static void (*const plays[AP_STEPS])(world_t * w) = {
		[AP_STEP_SENT] = play_sent,
		[AP_STEP_SENT_AGAIN] = play_sent_again,
		[AP_STEP_RESUMED] = play_resumed,
		[AP_STEP_REFUSED_BY] = play_refused_by,
		[AP_STEP_UNREACHABLE] = play_unreachable,
		[AP_STEP_FAILED_AT] = play_failed_at,
		[AP_STEP_SILENT] = play_silent,
		[AP_STEP_CALLER_LEFT] = play_caller_left,
		[AP_STEP_GIVEN_UP] = play_given_up,
	};

	(void)state;
	for (ap_step_t step = 0; step < AP_STEPS; step++) {
		world_t w = {0};

		assert_non_null(plays[step]); /* a new decision needs its line here */
		assert_true(strlen(ap_step_name(step)) > 0);
		plays[step](&w);
		assert_true(w.stepped[step]);
		if (step != AP_STEP_GIVEN_UP) {
			assert_true(strlen(w.behind[step].id) > 0);
			assert_int_equal(w.behind[step].entry_age, AP_SEC);
			assert_int_equal(w.behind[step].wait, 50 * AP_MSEC);
			assert_int_equal(w.behind[step].running, 3);
		}
		finish(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_decision_is_told_with_its_inputs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
