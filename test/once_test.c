/* Permits: one table of faults, each with what is said and what may have run; then bounds. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "once/state.h"
#include "once_world.h"

#define NODES 5
#define ISSUER 0
#define LONGER_THAN_ANY_LIMIT (1000 * AP_SEC)

static ap_once_msg_kind_t lost_kind; /* the kind of message that the network loses */

static bool lose_kind(world_t *w, unsigned from, unsigned to, ap_once_msg_t *msg)
{
	(void)w;
	(void)from;
	(void)to;
	return msg->kind != lost_kind;
}

static void lose(world_t *w, ap_once_msg_kind_t kind)
{
	lost_kind = kind;
	w->tamper = lose_kind;
}

static unsigned witness_of(const world_t *w)
{
	ap_permit_t permit;

	assert_true(ap_permit_read(w->calls[0].text, &permit));
	assert_true(permit.witness[0] != '\0');
	return (unsigned)world_find(w, permit.witness);
}

/* An entry that is neither the permit's issuer nor its witness. */
static unsigned third(const world_t *w)
{
	return witness_of(w) == 1 ? 2 : 1;
}

static void views(world_t *w)
{
	for (unsigned i = 0; i < w->n_nodes; i++) {
		if (w->nodes[i].up)
			world_view(w, i, 0);
	}
}

static void pause_node(world_t *w, unsigned n, unsigned stale)
{
	w->nodes[n].paused_at = w->now;
	w->nodes[n].paused_until = w->now + LONGER_THAN_ANY_LIMIT;
	w->nodes[n].stale = stale;
}

static void use_later(world_t *w, unsigned n)
{
	world_push(w, (world_event_t){.kind = WORLD_USE, .at = w->now + 1, .node = n});
}

static void run_ms(world_t *w, unsigned ms)
{
	world_run(w, w->now + ms * AP_MSEC);
}

static void issuer_lost(world_t *w)
{
	world_down(w, ISSUER);
}

static void issuer_lost_before_begun(world_t *w)
{
	lose(w, AP_ONCE_MSG_BEGIN);
	world_use(w, ISSUER, 0, false);
	run_ms(w, 10);
	world_down(w, ISSUER);
}

static void issuer_lost_after_begun(world_t *w)
{
	lose(w, AP_ONCE_MSG_BEGUN);
	world_use(w, ISSUER, 0, false);
	run_ms(w, 10);
	world_down(w, ISSUER);
}

static void issuer_lost_after_dispatch(world_t *w)
{
	w->rates.service = 50 * AP_SEC;
	world_use(w, ISSUER, 0, false);
	run_ms(w, 20);
	world_down(w, ISSUER);
}

static void issuer_lost_after_answer(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
	world_down(w, ISSUER);
}

static void issuer_paused_before_begun(world_t *w)
{
	pause_node(w, ISSUER, 3);
	use_later(w, ISSUER);
	run_ms(w, 10);
}

static void issuer_paused_after_begun(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	pause_node(w, ISSUER, 0);
	run_ms(w, 10);
}

static void issuer_paused_after_begun_stale(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	pause_node(w, ISSUER, 3);
	run_ms(w, 10);
}

static void witness_lost_before_begun(world_t *w)
{
	world_down(w, witness_of(w));
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
}

static void witness_lost_after_begun(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	run_ms(w, 20);
	world_down(w, witness_of(w));
	run_ms(w, 1000);
}

static void both_lost_after_answer(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
	world_down(w, witness_of(w));
	world_down(w, ISSUER);
}

static void witness_restarts_before_begun(world_t *w)
{
	unsigned n = witness_of(w);

	world_down(w, n);
	world_up(w, n);
	views(w);
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
}

static void witness_restarts_after_begun(world_t *w)
{
	unsigned n = witness_of(w);

	issuer_lost_after_dispatch(w);
	world_down(w, n);
	world_up(w, n);
}

static void witness_paused(world_t *w)
{
	pause_node(w, witness_of(w), 3);
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
}

static void issuer_cut_off(world_t *w)
{
	w->nodes[ISSUER].side = 1;
	w->cut = true;
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
}

static void all_doubled(world_t *w)
{
	w->rates.twice = 1;
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
}

static void all_late(world_t *w)
{
	w->rates.late = 1;
	w->rates.late_by = 20 * AP_SEC;
	world_use(w, ISSUER, 0, false);
	run_ms(w, 60000);
	w->rates.late = 0;
}

static void acknowledgement_lost(world_t *w)
{
	lose(w, AP_ONCE_MSG_BEGUN);
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
}

static void done_lost(world_t *w)
{
	lose(w, AP_ONCE_MSG_DONE);
	issuer_lost_after_answer(w);
}

static void retried_elsewhere_at_once(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	world_use(w, third(w), 0, false);
	run_ms(w, 1000);
}

static void judged_elsewhere_at_once(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	world_use(w, third(w), 0, true);
	run_ms(w, 1000);
}

static void expired(world_t *w)
{
	world_run(w, w->now + w->limits.ttl + AP_SEC);
}

static void expired_long_ago(world_t *w)
{
	world_run(w, w->now + w->limits.ttl + w->limits.keep + AP_SEC);
}

static void drain(world_t *w, unsigned n)
{
	w->rates.restart = 2 * LONGER_THAN_ANY_LIMIT;
	w->nodes[n].draining = true;
	ap_once_drain(w->nodes[n].once, world_clock(w, &w->nodes[n]));
	run_ms(w, 1000);
	assert_false(w->nodes[n].up);
}

/* Only the successor has the answer. */
static void drained_after_answer(world_t *w)
{
	lose(w, AP_ONCE_MSG_DONE);
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
	drain(w, ISSUER);
}

static void drained_unused(world_t *w)
{
	lose(w, AP_ONCE_MSG_BEGIN);
	use_later(w, ISSUER);
	drain(w, ISSUER);
}

static void witness_drained_issuer_lost(world_t *w)
{
	unsigned n = witness_of(w);

	issuer_lost_after_answer(w);
	views(w);
	drain(w, n);
}

static const struct {
	const char *name;
	void (*happen)(world_t *w);
	ap_once_kind_t told; /* to a caller that presents the permit at a third entry afterwards */
	unsigned runs;	     /* in the end, when every pause is over */
} cases[] = {
	{"issuer lost before use", issuer_lost, AP_ONCE_NOT_RUN, 0},
	{"issuer lost before begun", issuer_lost_before_begun, AP_ONCE_NOT_RUN, 0},
	{"issuer lost after begun", issuer_lost_after_begun, AP_ONCE_UNKNOWN, 0},
	{"issuer lost after dispatch", issuer_lost_after_dispatch, AP_ONCE_UNKNOWN, 1},
	{"issuer lost after the answer", issuer_lost_after_answer, AP_ONCE_USED, 1},
	{"issuer paused before begun", issuer_paused_before_begun, AP_ONCE_NOT_RUN, 0},
	{"issuer paused after begun", issuer_paused_after_begun, AP_ONCE_UNKNOWN, 0},
	{"the same, its clock read before", issuer_paused_after_begun_stale, AP_ONCE_UNKNOWN, 1},
	{"witness lost before begun", witness_lost_before_begun, AP_ONCE_NOT_RUN, 0},
	{"witness lost after begun", witness_lost_after_begun, AP_ONCE_USED, 1},
	{"both lost after the answer", both_lost_after_answer, AP_ONCE_UNKNOWN, 1},
	{"witness restarts before begun", witness_restarts_before_begun, AP_ONCE_NOT_RUN, 0},
	{"witness restarts after begun", witness_restarts_after_begun, AP_ONCE_UNKNOWN, 1},
	{"witness paused", witness_paused, AP_ONCE_NOT_RUN, 0},
	{"issuer cut off", issuer_cut_off, AP_ONCE_NOT_RUN, 0},
	{"every message doubled", all_doubled, AP_ONCE_USED, 1},
	{"every message late", all_late, AP_ONCE_NOT_RUN, 0},
	{"acknowledgement lost", acknowledgement_lost, AP_ONCE_NOT_RUN, 0},
	{"outcome lost on its way to the witness", done_lost, AP_ONCE_UNKNOWN, 1},
	{"retried elsewhere at once", retried_elsewhere_at_once, AP_ONCE_USED, 1},
	{"judged elsewhere at once", judged_elsewhere_at_once, AP_ONCE_USED, 1},
	{"expired", expired, AP_ONCE_NOT_RUN, 0},
	{"expired long ago", expired_long_ago, AP_ONCE_UNKNOWN, 0},
	{"issuer drained after the answer", drained_after_answer, AP_ONCE_USED, 1},
	{"issuer drained, permit unused", drained_unused, AP_ONCE_NOT_RUN, 0},
	{"witness drained, issuer lost", witness_drained_issuer_lost, AP_ONCE_USED, 1},
};

static void start(world_t *w, unsigned nodes)
{
	w->rates = (world_rates_t){.delay = AP_MSEC, .service = 20 * AP_MSEC};
	w->limits = ap_once_default_limits;
	world_start(w, 7, nodes);
	run_ms(w, 100);
}

/* The last verdict that a pending or passed use led to. */
static const world_use_t *last_use(const world_t *w)
{
	return &w->uses[w->n_uses - 1];
}

static void test_each_fault_has_its_outcome(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		world_t w = {0};
		const world_use_t *use;

		start(&w, NODES);
		assert_int_equal(world_issue(&w, ISSUER), 0);
		cases[i].happen(&w);
		views(&w);
		world_use(&w, third(&w), 0, false);
		run_ms(&w, 2000);
		use = last_use(&w);
		if (use->kind != cases[i].told)
			print_message("%s: verdict %d\n", cases[i].name, use->kind);
		assert_int_equal(use->kind, cases[i].told);
		if (use->kind == AP_ONCE_USED)
			assert_true(use->answered);
		world_run(&w, w.now + LONGER_THAN_ANY_LIMIT + AP_SEC);
		if (w.calls[0].committed != cases[i].runs || w.first)
			print_message("%s: ran %u times, %s\n", cases[i].name, w.calls[0].committed,
				      w.first ? w.first : "");
		assert_int_equal(w.calls[0].committed, cases[i].runs);
		assert_int_equal(w.calls[0].runs, cases[i].runs);
		assert_int_equal(w.program + w.oracle, 0);
		world_free(&w);
	}
}

static void test_a_lone_entry_needs_no_witness(void **state)
{
	world_t w = {0};

	(void)state;
	start(&w, 1);
	assert_int_equal(world_issue(&w, 0), 0);
	assert_int_equal(world_use(&w, 0, 0, false), AP_ONCE_GO);
	run_ms(&w, 1000);
	assert_int_equal(world_use(&w, 0, 0, false), AP_ONCE_USED);
	assert_int_equal(world_issue(&w, 0), 1);
	world_down(&w, 0);
	world_up(&w, 0);
	assert_int_equal(world_use(&w, 0, 1, false), AP_ONCE_UNKNOWN);
	assert_int_equal(w.program + w.oracle, 0);
	world_free(&w);
}

static void test_only_its_caller_and_service_may_use_it(void **state)
{
	static const struct {
		const char *service;
		const char *caller;
		bool change;
	} wrong[] = {
		{"reserve", "other", false}, {"other", "clerk", false}, {"reserve", "clerk", true}};
	world_t w = {0};
	ap_once_verdict_t v;

	(void)state;
	start(&w, NODES);
	assert_int_equal(world_issue(&w, ISSUER), 0);
	for (size_t i = 0; i < 3; i++) {
		ap_permit_t permit;
		char text[AP_PERMIT_TEXT_MAX];
		unsigned char key[AP_ONCE_KEY_BYTES] = {1};

		strcpy(text, w.calls[0].text);
		assert_true(ap_permit_read(text, &permit));
		if (wrong[i].change)
			assert_true(ap_permit_write(&permit, key, text));
		for (unsigned n = 0; n < NODES; n += witness_of(&w))
			assert_int_equal(ap_once_judge(w.nodes[n].once, text, wrong[i].service,
						       wrong[i].caller, 1, w.now,
						       &v) != AP_ONCE_NOT_RUN,
					 1);
		assert_int_equal(ap_once_use(w.nodes[ISSUER].once, text, wrong[i].service,
					     wrong[i].caller, 1, w.now, &v),
				 AP_ONCE_REFUSED);
	}
	assert_int_equal(world_use(&w, ISSUER, 0, false), AP_ONCE_PENDING);
	world_free(&w);
}

static void test_changed_texts_are_never_genuine(void **state)
{
	unsigned char key[AP_ONCE_KEY_BYTES] = {3};
	ap_permit_t permit = {.xid = {{1, 2}, 3},
			      .issuer = "a",
			      .witness = "b",
			      .service = "s",
			      .caller = "c",
			      .expires = 5,
			      .witness_expires = 6};
	char text[AP_PERMIT_TEXT_MAX];
	ap_rng_t rng;
	unsigned read = 0;

	(void)state;
	ap_rng_seed(&rng, 5);
	assert_true(ap_permit_write(&permit, key, text));
	for (int i = 0; i < 100000; i++) {
		char changed[AP_PERMIT_TEXT_MAX] = {0};
		size_t len = strlen(text);

		strcpy(changed, text);
		for (uint64_t n = 1 + ap_rng_below(&rng, 3); n > 0; n--)
			changed[ap_rng_below(&rng, len)] = (char)(33 + ap_rng_below(&rng, 94));
		if (ap_rng_below(&rng, 4) == 0)
			changed[ap_rng_below(&rng, len)] = '\0';
		if (strcmp(changed, text) == 0 || !ap_permit_read(changed, &permit))
			continue;
		read++;
		assert_false(ap_permit_genuine(&permit, key));
	}
	assert_true(read > 1000);
}

static void test_tables_stay_within_their_bounds(void **state)
{
	world_t w = {0};
	ap_once_counts_t counts;
	size_t issued = 0;

	(void)state;
	w.rates = (world_rates_t){.delay = AP_MSEC, .service = AP_MSEC};
	w.limits = ap_once_default_limits;
	w.limits.records_max = 64;
	w.limits.answers_max = 8;
	world_start(&w, 7, 2);
	run_ms(&w, 100);
	while (world_issue(&w, ISSUER) != SIZE_MAX)
		world_use(&w, ISSUER, issued++, false);
	run_ms(&w, 1000);
	counts = ap_once_counts(w.nodes[ISSUER].once);
	assert_in_range(issued, 16, 64);
	assert_in_range(counts.issued_records, 16, 64);
	assert_int_equal(counts.answers, 8);
	world_run(&w, w.now + w.limits.ttl + w.limits.keep + 2 * AP_SEC);
	assert_int_equal(ap_once_counts(w.nodes[ISSUER].once).issued_records, 0);
	assert_int_equal(ap_once_counts(w.nodes[1].once).witnessed_records, 0);
	assert_true(world_issue(&w, ISSUER) != SIZE_MAX);
	assert_int_equal(w.program + w.oracle, 0);
	world_free(&w);
}

/* Each fault is put into the program's own state; it must see it. */

static void dispatch_twice(world_t *w)
{
	world_use(w, ISSUER, 0, false);
	run_ms(w, 10);
	ap_once_dispatch(w->nodes[ISSUER].once, 1, world_clock(w, &w->nodes[ISSUER]));
}

static void move_witness_away(world_t *w)
{
	ap_once_t *o = w->nodes[ISSUER].once;

	for (size_t i = 0; i < o->n_peers; i++)
		strcpy(o->peers[i].region, "south");
	world_issue(w, ISSUER);
}

static void reopen_closed(world_t *w)
{
	ap_once_t *o = w->nodes[ISSUER].once;

	witness_paused(w);
	TAILQ_FIRST(&o->issued.by_age)->state = RECORD_RUNNING;
	token_add(&o->by_token, TAILQ_FIRST(&o->issued.by_age), 99);
	ap_once_dispatch(o, 99, w->now);
}

static void overfill(world_t *w)
{
	w->nodes[ISSUER].once->issued.max = 0;
	world_use(w, ISSUER, 0, false);
	w->nodes[ISSUER].once->issued.n = 1;
	ap_once_tick(w->nodes[ISSUER].once, world_clock(w, &w->nodes[ISSUER]));
	w->nodes[ISSUER].once->issued.n = 0;
}

static void test_broken_state_is_seen(void **state)
{
	static void (*const faults[])(world_t * w) = {dispatch_twice, move_witness_away,
						      reopen_closed, overfill};

	(void)state;
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		world_t w = {0};

		start(&w, NODES);
		assert_int_equal(world_issue(&w, ISSUER), 0);
		faults[i](&w);
		assert_true(w.program > 0);
		assert_true(w.calls[0].committed <= 1);
		world_free(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_fault_has_its_outcome),
		cmocka_unit_test(test_a_lone_entry_needs_no_witness),
		cmocka_unit_test(test_only_its_caller_and_service_may_use_it),
		cmocka_unit_test(test_changed_texts_are_never_genuine),
		cmocka_unit_test(test_tables_stay_within_their_bounds),
		cmocka_unit_test(test_broken_state_is_seen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
