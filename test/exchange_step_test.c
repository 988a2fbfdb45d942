/* Each step of a request is logged with the target that it concerns. */
#include "exchange_world.h"

static void trigger_sent(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
}

static void trigger_retried(world_t *w)
{
	begin(w, AP_KIND_IDEMPOTENT, false, 2);
	end(w, AP_CONNECTION_BROKEN);
}

static void trigger_resumed(world_t *w)
{
	begin(w, AP_KIND_STREAM, true, 2);
	head(w, 200);
	data(w, "id: 1\ndata: a\n\n");
	end(w, AP_CONNECTION_BROKEN);
}

static void trigger_refused_by(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	refuse(w, 503);
}

static void trigger_unreachable(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	end(w, AP_CONNECTION_UNSENT);
}

static void trigger_failed_at(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	end(w, AP_CONNECTION_BROKEN);
}

static void trigger_timed_out(world_t *w)
{
	begin(w, AP_KIND_IDEMPOTENT, false, 2);
	w->now = ap_exchange_due(&w->x);
	ap_exchange_tick(&w->x, w->now);
}

static void trigger_second(world_t *w)
{
	w->slow_after = 60 * AP_MSEC;
	begin(w, AP_KIND_IDEMPOTENT, false, 2);
	run_to(w, START + 60 * AP_MSEC);
}

static void trigger_cancelled(world_t *w)
{
	trigger_timed_out(w);
	head(w, 200);
	end(w, AP_CONNECTION_COMPLETE);
}

static void trigger_caller_disconnected(world_t *w)
{
	begin(w, AP_KIND_ONCE, false, 1);
	ap_exchange_caller_disconnected(&w->x);
}

/* Giving up is logged with a target only if one would respond too late; here there is no target. */
static void trigger_given_up(world_t *w)
{
	w->targets = -1;
	begin(w, AP_KIND_ONCE, false, 1);
}

static void each_step_is_logged_with_its_target(void **state)
{
	static void (*const triggers[AP_STEPS])(world_t * w) = {
		[AP_STEP_SENT] = trigger_sent,
		[AP_STEP_RETRIED] = trigger_retried,
		[AP_STEP_RESUMED] = trigger_resumed,
		[AP_STEP_REFUSED_BY] = trigger_refused_by,
		[AP_STEP_UNREACHABLE] = trigger_unreachable,
		[AP_STEP_FAILED_AT] = trigger_failed_at,
		[AP_STEP_TIMED_OUT] = trigger_timed_out,
		[AP_STEP_SECOND] = trigger_second,
		[AP_STEP_CANCELLED] = trigger_cancelled,
		[AP_STEP_CALLER_DISCONNECTED] = trigger_caller_disconnected,
		[AP_STEP_GIVEN_UP] = trigger_given_up,
	};

	(void)state;
	for (ap_step_t step = 0; step < AP_STEPS; step++) {
		world_t w = {0};

		assert_non_null(triggers[step]); /* a new step needs its trigger above */
		assert_true(strlen(ap_step_name(step)) > 0);
		triggers[step](&w);
		assert_true(w.step_logged[step]);
		if (step != AP_STEP_GIVEN_UP) {
			assert_true(strlen(w.step_target[step].id) > 0);
			assert_int_equal(w.step_target[step].entry_age, AP_SEC);
			assert_int_equal(w.step_target[step].wait, 50 * AP_MSEC);
			assert_int_equal(w.step_target[step].running, 3);
		}
		finish(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_step_is_logged_with_its_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
