/* The life of one request: what is sent again, what is passed on, what is said when it fails. */
#include "exchange/exchange.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SENDS_MAX 16
#define START (100 * AP_SEC)

/* What the exchange did, and what it will find. */
typedef struct world {
	ap_exchange_t x;
	ap_plan_route_t route;
	ap_plan_pool_t pool;
	ap_usec_t now;
	int targets; /* upstreams that may be chosen */
	int unconnectable;
	int budget;
	char sent[SENDS_MAX][AP_NAME_MAX];
	char last_event[SENDS_MAX][AP_EVENT_ID_MAX];
	int n_sent;
	int dropped;
	int heads;
	char body[4096];
	size_t body_len;
	bool ended;
	bool cut;
	int status; /* of our own answer */
	ap_usec_t retry_after;
	ap_reason_t reason;
	ap_work_end_t ends[SENDS_MAX];
	int n_ends;
	bool stepped[AP_STEPS];
	ap_target_t behind[AP_STEPS]; /* the target that was told with the step */
} world_t;

static ap_fleet_status_t op_choose(void *ctx, const ap_work_t *work, ap_target_t *target)
{
	world_t *w = ctx;

	for (int i = 0; i < w->targets; i++) {
		char id[AP_NAME_MAX];
		bool avoided = false;

		snprintf(id, sizeof(id), "u%d", i);
		for (size_t k = 0; k < work->n_avoid; k++)
			avoided = avoided || strcmp(work->avoid[k], id) == 0;
		for (size_t k = 0; k < work->n_tried; k++)
			avoided = avoided || strcmp(work->tried[k], id) == 0;
		if (avoided)
			continue;
		*target = (ap_target_t){
			.wait = 50 * AP_MSEC, .port = 1, .known_for = AP_SEC, .running = 3};
		ap_copy_name(target->id, sizeof(target->id), id);
		return AP_FLEET_OK;
	}
	return AP_FLEET_NONE;
}

static bool op_may_repeat(void *ctx)
{
	world_t *w = ctx;

	return w->budget-- > 0;
}

static bool op_send(void *ctx, const ap_target_t *target, const char *last_event)
{
	world_t *w = ctx;

	if (w->unconnectable-- > 0)
		return false;
	assert_true(w->n_sent < SENDS_MAX);
	ap_copy_name(w->last_event[w->n_sent], AP_EVENT_ID_MAX, last_event ? last_event : "");
	ap_copy_name(w->sent[w->n_sent++], AP_NAME_MAX, target->id);
	return true;
}

static void op_sent(void *ctx, const ap_target_t *target, ap_ticket_t *ticket)
{
	(void)ctx;
	(void)target;
	*ticket = (ap_ticket_t){.open = true};
}

static void op_first(void *ctx, ap_ticket_t *ticket)
{
	(void)ctx;
	ticket->first = true;
}

static void op_done(void *ctx, ap_ticket_t *ticket, ap_work_end_t end)
{
	world_t *w = ctx;

	assert_true(ticket->open);
	ticket->open = false;
	w->ends[w->n_ends++] = end;
}

static void op_drop(void *ctx)
{
	((world_t *)ctx)->dropped++;
}

static void op_head(void *ctx)
{
	((world_t *)ctx)->heads++;
}

static void op_data(void *ctx, const void *data, size_t len)
{
	world_t *w = ctx;

	assert_int_equal(w->heads, 1);
	assert_true(w->body_len + len < sizeof(w->body));
	memcpy(w->body + w->body_len, data, len);
	w->body_len += len;
	w->body[w->body_len] = '\0';
}

static void op_end(void *ctx)
{
	((world_t *)ctx)->ended = true;
}

static void op_cut(void *ctx)
{
	((world_t *)ctx)->cut = true;
}

static void op_reply(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason)
{
	world_t *w = ctx;

	assert_int_equal(w->heads, 0);
	w->status = status;
	w->retry_after = retry_after;
	w->reason = reason;
}

static void op_decided(void *ctx, ap_step_t step, const ap_target_t *target)
{
	world_t *w = ctx;

	w->stepped[step] = true;
	w->behind[step] = target ? *target : (ap_target_t){0};
}

static const ap_exchange_ops_t ops = {
	.choose = op_choose,
	.may_repeat = op_may_repeat,
	.send = op_send,
	.sent = op_sent,
	.first = op_first,
	.done = op_done,
	.drop = op_drop,
	.head = op_head,
	.data = op_data,
	.end = op_end,
	.cut = op_cut,
	.reply = op_reply,
	.decided = op_decided,
};

static void begin(world_t *w, ap_kind_t kind, bool resumable, unsigned attempts)
{
	int targets = w->targets ? w->targets : 3;
	int unconnectable = w->unconnectable;

	*w = (world_t){
		.route = {.kind = kind,
			  .resumable = resumable,
			  .timeout = 4 * AP_SEC,
			  .objective = 400 * AP_MSEC,
			  .pause = 1200 * AP_MSEC},
		.now = START,
		.targets = targets,
		.unconnectable = unconnectable,
		.budget = 10,
	};
	w->x.ops = &ops;
	w->x.ctx = w;
	w->x.work.route = &w->route;
	w->x.work.pool = &w->pool;
	w->x.work.deadline = START + 5 * AP_SEC;
	ap_exchange_start(&w->x, attempts, w->now);
}

static void finish(world_t *w)
{
	ap_exchange_clear(&w->x);
	/* Whatever was sent has ended, and its load is given back. */
	assert_int_equal(w->n_ends, w->n_sent);
}

static void head(world_t *w, int status)
{
	ap_answer_head_t h = {.status = status, .own = true};

	ap_exchange_head(&w->x, &h, w->now);
}

static void refuse(world_t *w, int status)
{
	ap_answer_head_t h = {.status = status, .refused = true, .moved = status == 421};

	ap_exchange_head(&w->x, &h, w->now);
	ap_exchange_end(&w->x, AP_LINK_WHOLE, w->now);
}

static void data(world_t *w, const char *text)
{
	ap_exchange_data(&w->x, text, strlen(text), w->now);
}

static void end(world_t *w, ap_link_end_t how)
{
	ap_exchange_end(&w->x, how, w->now);
}

static void a_whole_answer_is_passed_on_once(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	head(&w, 200);
	data(&w, "he");
	data(&w, "llo");
	assert_int_equal(w.heads, 0); /* not before it is whole */
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	assert_string_equal(w.body, "hello");
	assert_int_equal(w.n_sent, 1);
	assert_int_equal(w.ends[0], AP_WORK_DONE);
	finish(&w);
}

static void an_answer_without_length_is_whole_when_closed_in_order(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	head(&w, 200);
	data(&w, "body");
	end(&w, AP_LINK_WHOLE_CLOSED);
	assert_true(w.ended);
	finish(&w);
}

static void what_may_run_once_is_not_sent_again_after_a_break(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 3);
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 1);
	assert_int_equal(w.status, 502); /* promises nothing */
	finish(&w);
}

static void a_refusal_proves_that_it_did_not_run(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	refuse(&w, 503);
	assert_int_equal(w.n_sent, 2);
	refuse(&w, 421);
	assert_int_equal(w.n_sent, 3);
	refuse(&w, 429);
	assert_int_equal(w.status, 503);
	assert_int_equal(w.reason, AP_REASON_REFUSED);
	assert_true(w.retry_after > 0);
	assert_int_equal(w.ends[1], AP_WORK_GONE);
	finish(&w);
}

static void a_refusal_that_breaks_off_is_one(void **state)
{
	world_t w = {.targets = 1};
	ap_answer_head_t h = {.status = 503, .refused = true};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	ap_exchange_head(&w.x, &h, w.now);
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.status, 503);
	finish(&w);
}

/* An upstream's own 503 promises "not run" only if it says so. */
static void a_promise_without_proof_is_not_passed_on(void **state)
{
	static const int statuses[] = {408, 421, 429, 503};

	(void)state;
	for (size_t i = 0; i < 4; i++) {
		world_t w = {0};

		begin(&w, AP_KIND_ONCE, false, 2);
		head(&w, statuses[i]);
		end(&w, AP_LINK_WHOLE);
		assert_int_equal(w.n_sent, 1);
		assert_int_equal(w.status, 502);
		finish(&w);
	}
}

static void a_failure_is_passed_on_when_nothing_is_left(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	head(&w, 500);
	end(&w, AP_LINK_WHOLE);
	assert_int_equal(w.n_sent, 2);
	head(&w, 500);
	data(&w, "oops");
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	assert_string_equal(w.body, "oops");
	assert_int_equal(w.n_sent, 2);
	finish(&w);
}

static void repetitions_stop_with_the_budget(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 5);
	w.budget = 1;
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 2);
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 2);
	assert_int_equal(w.status, 502);
	finish(&w);
}

static void no_connection_costs_neither_attempt_nor_budget(void **state)
{
	world_t w = {.unconnectable = 1};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	w.budget = 0;
	assert_string_equal(w.sent[0], "u1");
	end(&w, AP_LINK_UNSENT);
	assert_string_equal(w.sent[1], "u2");
	head(&w, 200);
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void nothing_usable_is_refused_at_once(void **state)
{
	world_t w = {.targets = -1};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	assert_int_equal(w.status, 503);
	assert_int_equal(w.reason, AP_REASON_NO_UPSTREAM);
	assert_int_equal(w.n_sent, 0);
	assert_true(w.x.over);
	finish(&w);
}

static void only_whole_events_are_passed_on(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n");
	assert_int_equal(w.heads, 0);
	data(&w, "\nid: 2\nda");
	assert_string_equal(w.body, "id: 1\ndata: a\n\n");
	data(&w, "ta: b\n\n");
	assert_string_equal(w.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void a_broken_stream_goes_on_after_its_last_event(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 2);
	assert_string_equal(w.last_event[1], "2");
	head(&w, 200);
	/* An upstream that begins one event too early. */
	data(&w, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
	end(&w, AP_LINK_WHOLE);
	assert_string_equal(w.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
	assert_int_equal(w.heads, 1);
	assert_true(w.ended);
	finish(&w);
}

static void a_broken_stream_that_cannot_go_on_is_cut(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 2);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n\n");
	end(&w, AP_LINK_BROKEN);
	assert_int_equal(w.n_sent, 1);
	assert_true(w.cut);
	assert_false(w.ended);
	finish(&w);
}

static void a_stream_that_ends_within_an_event_is_not_whole(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, false, 1);
	head(&w, 200);
	data(&w, "id: 1\ndata: a\n\nid: 2\nda");
	end(&w, AP_LINK_WHOLE);
	assert_true(w.cut);
	finish(&w);
}

static void a_caller_that_left_frees_the_upstream(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_STREAM, true, 2);
	head(&w, 200);
	ap_exchange_gone(&w.x);
	assert_int_equal(w.dropped, 1);
	assert_int_equal(w.ends[0], AP_WORK_CANCELLED);
	assert_true(w.x.over);
	assert_int_equal(ap_exchange_due(&w.x), AP_NEVER);
	finish(&w);
}

static void the_route_s_time_is_kept(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_ONCE, false, 1);
	assert_int_equal(ap_exchange_due(&w.x), START + 4 * AP_SEC);
	w.now = START + 4 * AP_SEC - 1;
	ap_exchange_tick(&w.x, w.now);
	assert_false(w.x.over);
	w.now++;
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.status, 504); /* it was sent: it may have run */
	assert_int_equal(w.dropped, 1);
	finish(&w);
}

static void a_silent_upstream_is_left_for_another_one(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.now = ap_exchange_due(&w.x);
	assert_true(w.now < START + 400 * AP_MSEC);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	assert_int_equal(w.ends[0], AP_WORK_SILENT);
	assert_int_equal(w.budget, 9); /* paid once */
	head(&w, 200);
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void what_is_avoided_is_remembered_once(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_int_equal(w.n_sent, 2);
	assert_int_equal(w.x.work.n_avoid, 1);
	finish(&w);
}

static void silence_alone_ends_nothing(void **state)
{
	world_t w = {.targets = 1};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	for (int i = 0; i < 3; i++) {
		w.now = ap_exchange_due(&w.x);
		ap_exchange_tick(&w.x, w.now);
		assert_false(w.x.over);
		assert_int_equal(w.dropped, 0);
	}
	head(&w, 200);
	end(&w, AP_LINK_WHOLE);
	assert_true(w.ended);
	finish(&w);
}

static void silence_with_the_budget_spent_ends_nothing(void **state)
{
	world_t w = {0};

	(void)state;
	begin(&w, AP_KIND_IDEMPOTENT, false, 2);
	w.budget = 0;
	w.now = ap_exchange_due(&w.x);
	ap_exchange_tick(&w.x, w.now);
	assert_false(w.x.over);
	assert_int_equal(w.dropped, 0);
	finish(&w);
}

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
			assert_int_equal(w.behind[step].known_for, AP_SEC);
			assert_int_equal(w.behind[step].wait, 50 * AP_MSEC);
			assert_int_equal(w.behind[step].running, 3);
		}
		finish(&w);
	}
}

static void event_ends_and_ids(void **state)
{
	static const char text[] = "id: 7\r\ndata: x\r\n\r\nid:8\ndata: y\n\ndata";
	char id[AP_EVENT_ID_MAX];
	size_t whole = ap_events_whole(text, strlen(text), 0);

	(void)state;
	assert_int_equal(whole, strlen(text) - 4);
	for (size_t cut = 0; cut <= strlen(text); cut++)
		assert_true(ap_events_whole(text, cut, cut > 0 ? cut - 1 : 0) <= cut);
	assert_true(ap_events_last_id(text, whole, id));
	assert_string_equal(id, "8");
	assert_int_equal(ap_events_after(text, whole, "7"), 18);
	assert_int_equal(ap_events_after(text, whole, "8"), whole);
	assert_int_equal(ap_events_after(text, whole, "x1"), 0);
	assert_false(ap_events_last_id("data: z\n\n", 9, id));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_whole_answer_is_passed_on_once),
		cmocka_unit_test(an_answer_without_length_is_whole_when_closed_in_order),
		cmocka_unit_test(what_may_run_once_is_not_sent_again_after_a_break),
		cmocka_unit_test(a_refusal_proves_that_it_did_not_run),
		cmocka_unit_test(a_refusal_that_breaks_off_is_one),
		cmocka_unit_test(a_promise_without_proof_is_not_passed_on),
		cmocka_unit_test(a_failure_is_passed_on_when_nothing_is_left),
		cmocka_unit_test(repetitions_stop_with_the_budget),
		cmocka_unit_test(no_connection_costs_neither_attempt_nor_budget),
		cmocka_unit_test(nothing_usable_is_refused_at_once),
		cmocka_unit_test(only_whole_events_are_passed_on),
		cmocka_unit_test(a_broken_stream_goes_on_after_its_last_event),
		cmocka_unit_test(a_broken_stream_that_cannot_go_on_is_cut),
		cmocka_unit_test(a_stream_that_ends_within_an_event_is_not_whole),
		cmocka_unit_test(a_caller_that_left_frees_the_upstream),
		cmocka_unit_test(the_route_s_time_is_kept),
		cmocka_unit_test(a_silent_upstream_is_left_for_another_one),
		cmocka_unit_test(what_is_avoided_is_remembered_once),
		cmocka_unit_test(silence_alone_ends_nothing),
		cmocka_unit_test(silence_with_the_budget_spent_ends_nothing),
		cmocka_unit_test(each_decision_is_told_with_its_inputs),
		cmocka_unit_test(event_ends_and_ids),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
