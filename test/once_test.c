/*
 * Permits: a table of faults, each with the verdict that a caller gets and the number of times that
 * the call may run; then the bounds of tables, and faults put into the library's own state.
 */
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
#define NO_RESTART (2 * LONGER_THAN_ANY_LIMIT) /* mean wait that is beyond the end of the test */

typedef enum role {
	ISSUER_ROLE,
	WITNESS_ROLE,
	THIRD_ROLE
} role_t;

typedef enum op {
	END,
	USE,	   /* presents the permit */
	USE_LATER, /* presents it as an event, which waits for the end of the node's pause */
	RESOLVE,
	RUN,  /* runs the simulation for @n milliseconds */
	LOSE, /* loses every message of kind @n */
	DOWN,
	RESTART,
	PAUSE,	   /* for longer than any limit; @n clock readings after it are from before it */
	CUT,	   /* cuts the node off from all others */
	DUPLICATE, /* duplicates every message */
	DELAY,	   /* delays every message by @n seconds in the mean */
	DRAIN,
	SERVICE_TIME, /* mean time of a call at the service in seconds: @n */
} op_t;

typedef struct step {
	op_t op;
	role_t role;
	unsigned n;
} step_t;

static unsigned lost_kind; /* the kind of message that the network loses */

static bool lose_kind(world_t *w, unsigned from, unsigned to, ap_once_msg_t *msg)
{
	(void)w;
	(void)from;
	(void)to;
	return msg->kind != lost_kind;
}

static unsigned node_of(const world_t *w, role_t role)
{
	ap_permit_t permit;
	unsigned witness;

	assert_true(ap_permit_read(w->calls[0].text, &permit));
	assert_true(permit.witness[0] != '\0');
	witness = (unsigned)world_find(w, permit.witness);
	if (role == WITNESS_ROLE)
		return witness;
	return role == ISSUER_ROLE ? ISSUER : 1 + (witness == 1);
}

static void update_views(world_t *w)
{
	for (unsigned i = 0; i < w->n_nodes; i++) {
		if (w->nodes[i].up)
			world_update_view(w, i, 0);
	}
}

static void run_ms(world_t *w, unsigned ms)
{
	world_run(w, w->now + ms * AP_MSEC);
}

static void drain(world_t *w, unsigned n)
{
	update_views(w);
	w->rates.restart = NO_RESTART;
	w->nodes[n].draining = true;
	ap_once_drain(w->nodes[n].once, world_clock(w, &w->nodes[n]));
	run_ms(w, 1000);
	assert_false(w->nodes[n].up);
}

static void take_step(world_t *w, const step_t *step)
{
	unsigned n = node_of(w, step->role);
	world_node_t *node = &w->nodes[n];

	switch (step->op) {
	case END:
		break;
	case USE:
	case RESOLVE:
		world_use(w, n, 0, step->op == RESOLVE);
		break;
	case USE_LATER:
		world_push(w, (world_event_t){.kind = WORLD_USE, .at = w->now + 1, .node = n});
		break;
	case RUN:
		run_ms(w, step->n);
		break;
	case LOSE:
		lost_kind = step->n;
		w->tamper = lose_kind;
		break;
	case DOWN:
	case RESTART:
		world_down(w, n);
		if (step->op == RESTART)
			world_up(w, n);
		update_views(w);
		break;
	case PAUSE:
		node->paused_at = w->now;
		node->paused_until = w->now + LONGER_THAN_ANY_LIMIT;
		node->stale = step->n;
		break;
	case CUT:
		node->side = 1;
		w->cut = true;
		break;
	case DUPLICATE:
		w->rates.duplicate = 1;
		break;
	case DELAY:
		w->rates.late = step->n > 0;
		w->rates.late_delay = step->n * AP_SEC;
		break;
	case DRAIN:
		drain(w, n);
		break;
	case SERVICE_TIME:
		w->rates.service = step->n * AP_SEC;
		break;
	}
}

#define AT_ISSUER ISSUER_ROLE, 0
#define AT_WITNESS WITNESS_ROLE, 0
#define AT_THIRD THIRD_ROLE, 0
#define MS(n) ISSUER_ROLE, n
#define KIND(name) ISSUER_ROLE, AP_ONCE_MSG_##name
#define SECONDS(n) ISSUER_ROLE, n

static const struct {
	const char *name;
	ap_once_verdict_kind_t
		expected; /* verdict when the permit is presented at a third node later */
	unsigned runs;	  /* of the call, counted after the end of every pause */
	step_t steps[7];
} cases[] = {
	{"issuer lost before use", AP_ONCE_NOT_RUN, 0, {{DOWN, AT_ISSUER}}},
	{"issuer lost before BEGIN reaches the witness",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{LOSE, KIND(BEGIN)}, {USE, AT_ISSUER}, {RUN, MS(10)}, {DOWN, AT_ISSUER}}},
	{"issuer lost after BEGIN, before the acknowledgement",
	 AP_ONCE_UNKNOWN,
	 0,
	 {{LOSE, KIND(BEGIN_ACK)}, {USE, AT_ISSUER}, {RUN, MS(10)}, {DOWN, AT_ISSUER}}},
	{"issuer lost after dispatch",
	 AP_ONCE_UNKNOWN,
	 1,
	 {{SERVICE_TIME, SECONDS(50)}, {USE, AT_ISSUER}, {RUN, MS(20)}, {DOWN, AT_ISSUER}}},
	{"issuer lost after the response",
	 AP_ONCE_USED,
	 1,
	 {{USE, AT_ISSUER}, {RUN, MS(1000)}, {DOWN, AT_ISSUER}}},
	{"issuer paused before BEGIN",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{PAUSE, ISSUER_ROLE, 3}, {USE_LATER, AT_ISSUER}, {RUN, MS(10)}}},
	{"issuer paused after BEGIN",
	 AP_ONCE_UNKNOWN,
	 0,
	 {{USE, AT_ISSUER}, {PAUSE, ISSUER_ROLE, 0}, {RUN, MS(10)}}},
	{"issuer paused after BEGIN, with clock readings from before the pause",
	 AP_ONCE_UNKNOWN,
	 1,
	 {{USE, AT_ISSUER}, {PAUSE, ISSUER_ROLE, 3}, {RUN, MS(10)}}},
	{"witness lost before BEGIN",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{DOWN, AT_WITNESS}, {USE, AT_ISSUER}, {RUN, MS(1000)}}},
	{"witness lost after BEGIN",
	 AP_ONCE_USED,
	 1,
	 {{USE, AT_ISSUER}, {RUN, MS(20)}, {DOWN, AT_WITNESS}, {RUN, MS(1000)}}},
	{"issuer and witness lost after the response",
	 AP_ONCE_UNKNOWN,
	 1,
	 {{USE, AT_ISSUER}, {RUN, MS(1000)}, {DOWN, AT_WITNESS}, {DOWN, AT_ISSUER}}},
	{"witness restarts before BEGIN",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{RESTART, AT_WITNESS}, {USE, AT_ISSUER}, {RUN, MS(1000)}}},
	{"witness restarts after BEGIN",
	 AP_ONCE_UNKNOWN,
	 1,
	 {{SERVICE_TIME, SECONDS(50)},
	  {USE, AT_ISSUER},
	  {RUN, MS(20)},
	  {RESTART, AT_WITNESS},
	  {DOWN, AT_ISSUER}}},
	{"witness paused",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{PAUSE, WITNESS_ROLE, 3}, {USE, AT_ISSUER}, {RUN, MS(1000)}}},
	{"issuer cut off",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{CUT, AT_ISSUER}, {USE, AT_ISSUER}, {RUN, MS(1000)}}},
	{"every message duplicated",
	 AP_ONCE_USED,
	 1,
	 {{DUPLICATE, AT_ISSUER}, {USE, AT_ISSUER}, {RUN, MS(1000)}}},
	{"every message late",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{DELAY, SECONDS(20)}, {USE, AT_ISSUER}, {RUN, MS(60000)}, {DELAY, SECONDS(0)}}},
	{"acknowledgement lost",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{LOSE, KIND(BEGIN_ACK)}, {USE, AT_ISSUER}, {RUN, MS(1000)}}},
	{"outcome not received by the witness",
	 AP_ONCE_UNKNOWN,
	 1,
	 {{LOSE, KIND(DONE)}, {USE, AT_ISSUER}, {RUN, MS(1000)}, {DOWN, AT_ISSUER}}},
	{"retried at another node at once",
	 AP_ONCE_USED,
	 1,
	 {{USE, AT_ISSUER}, {USE, AT_THIRD}, {RUN, MS(1000)}}},
	{"resolved at another node at once",
	 AP_ONCE_USED,
	 1,
	 {{USE, AT_ISSUER}, {RESOLVE, AT_THIRD}, {RUN, MS(1000)}}},
	{"expired", AP_ONCE_NOT_RUN, 0, {{RUN, MS(61000)}}},
	{"expired long ago", AP_ONCE_UNKNOWN, 0, {{RUN, MS(661000)}}},
	{"issuer drained after the response, which only its successor has",
	 AP_ONCE_USED,
	 1,
	 {{LOSE, KIND(DONE)}, {USE, AT_ISSUER}, {RUN, MS(1000)}, {DRAIN, AT_ISSUER}}},
	{"issuer drained, permit unused",
	 AP_ONCE_NOT_RUN,
	 0,
	 {{LOSE, KIND(BEGIN)}, {USE_LATER, AT_ISSUER}, {DRAIN, AT_ISSUER}}},
	{"witness drained, issuer lost",
	 AP_ONCE_USED,
	 1,
	 {{USE, AT_ISSUER}, {RUN, MS(1000)}, {DOWN, AT_ISSUER}, {DRAIN, AT_WITNESS}}},
};

static void start(world_t *w, unsigned nodes)
{
	w->rates = (world_rates_t){.delay = AP_MSEC, .service = 20 * AP_MSEC};
	w->limits = ap_once_default_limits;
	world_start(w, 7, nodes);
	run_ms(w, 100);
}

/* The newest use. A forwarded request adds a use at the node that it is forwarded to. */
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
		for (const step_t *step = cases[i].steps; step->op != END; step++)
			take_step(&w, step);
		update_views(&w);
		world_use(&w, node_of(&w, THIRD_ROLE), 0, false);
		run_ms(&w, 2000);
		use = last_use(&w);
		if (use->kind != cases[i].expected)
			print_message("%s: verdict %d, expected %d\n", cases[i].name, use->kind,
				      cases[i].expected);
		assert_int_equal(use->kind, cases[i].expected);
		if (use->kind == AP_ONCE_USED)
			assert_true(use->has_response);
		world_run(&w, w.now + LONGER_THAN_ANY_LIMIT + AP_SEC);
		if (w.calls[0].committed != cases[i].runs || w.first_violation)
			print_message("%s: ran %u times, expected %u; %s\n", cases[i].name,
				      w.calls[0].committed, cases[i].runs,
				      w.first_violation ? w.first_violation : "no violation");
		assert_int_equal(w.calls[0].committed, cases[i].runs);
		assert_int_equal(w.calls[0].runs, cases[i].runs);
		assert_int_equal(w.invariant_violations + w.oracle_violations, 0);
		world_free(&w);
	}
}

static void test_a_lone_entry_needs_no_witness(void **state)
{
	world_t w = {0};

	(void)state;
	start(&w, 1);
	assert_int_equal(world_issue(&w, 0), 0);
	assert_int_equal(world_use(&w, 0, 0, false), AP_ONCE_DISPATCH);
	run_ms(&w, 1000);
	assert_int_equal(world_use(&w, 0, 0, false), AP_ONCE_USED);
	assert_int_equal(world_issue(&w, 0), 1);
	world_down(&w, 0);
	world_up(&w, 0);
	assert_int_equal(world_use(&w, 0, 1, false), AP_ONCE_UNKNOWN);
	assert_int_equal(w.invariant_violations + w.oracle_violations, 0);
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
		for (unsigned n = 0; n < NODES; n += node_of(&w, WITNESS_ROLE))
			assert_int_equal(ap_once_resolve(w.nodes[n].once, text, wrong[i].service,
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

/* Requests permits for @caller until one is refused. Return: number of permits issued. */
static size_t issue_all(world_t *w, const char *caller, ap_once_status_t *status)
{
	char text[AP_PERMIT_TEXT_MAX];
	size_t n = 0;

	while ((*status = ap_once_issue(w->nodes[ISSUER].once, "reserve", caller,
					world_clock(w, &w->nodes[ISSUER]), text)) == AP_ONCE_OK)
		n++;
	return n;
}

static void test_tables_stay_within_their_bounds(void **state)
{
	world_t w = {0};
	ap_once_status_t status;
	ap_once_counts_t counts;
	size_t issued = 0;

	(void)state;
	w.rates = (world_rates_t){.delay = AP_MSEC, .service = AP_MSEC};
	w.limits = ap_once_default_limits;
	w.limits.records_max = 64;
	w.limits.responses_max = 4;
	world_start(&w, 7, 2);
	run_ms(&w, 100);
	while (world_issue(&w, ISSUER) != SIZE_MAX)
		world_use(&w, ISSUER, issued++, false);
	assert_int_equal(issued, 8);
	assert_int_equal(issue_all(&w, "clerk", &status), 0);
	assert_int_equal(status, AP_ONCE_OVER_LIMIT);
	for (char caller[] = "a"; caller[0] <= 'z'; caller[0]++)
		issued += issue_all(&w, caller, &status);
	assert_int_equal(status, AP_ONCE_FULL);
	/* Until it would expire, a used permit counts twice: as a record and as an issued permit.
	 */
	assert_int_equal(issued, 64 - 8);
	run_ms(&w, 1000);
	counts = ap_once_counts(w.nodes[ISSUER].once);
	assert_int_equal(counts.issued_records, 8);
	assert_int_equal(counts.responses, 4);
	world_run(&w, w.now + w.limits.ttl + w.limits.keep + 2 * AP_SEC);
	assert_int_equal(ap_once_counts(w.nodes[ISSUER].once).issued_records, 0);
	assert_int_equal(ap_once_counts(w.nodes[1].once).witnessed_records, 0);
	assert_true(issue_all(&w, "clerk", &status) == 8);
	assert_int_equal(w.invariant_violations + w.oracle_violations, 0);
	world_free(&w);
}

/* Each fault is put into the library's own state; one of its invariants must detect it. */

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

	lost_kind = AP_ONCE_MSG_BEGIN;
	w->tamper = lose_kind;
	world_use(w, ISSUER, 0, false);
	run_ms(w, 1000);
	TAILQ_FIRST(&o->issued.by_drop_at)->state = RECORD_RUNNING;
	token_add(&o->by_token, TAILQ_FIRST(&o->issued.by_drop_at), 99);
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

static void test_broken_state_is_detected(void **state)
{
	static void (*const faults[])(world_t * w) = {dispatch_twice, move_witness_away,
						      reopen_closed, overfill};

	(void)state;
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		world_t w = {0};

		start(&w, NODES);
		assert_int_equal(world_issue(&w, ISSUER), 0);
		faults[i](&w);
		assert_true(w.invariant_violations > 0);
		assert_true(w.calls[0].committed <= 1);
		world_free(&w);
	}
}

static void no_send(void *ctx, const char *to, const ap_once_msg_t *msg)
{
	(void)ctx;
	(void)to;
	(void)msg;
}

/*
 * Returns the time after which a permit waits no longer for a witness. @expected: the region is
 * known to have another instance; @known: that instance is live; @at: when it acknowledges probes.
 */
static ap_usec_t ready_after(bool expected, bool known, ap_usec_t at)
{
	const ap_usec_t tick = 10 * AP_MSEC;
	ap_once_config_t config = {
		.id = "a",
		.region = "north",
		.inc = {1, 1},
		.limits = ap_once_default_limits,
		.send = no_send,
	};
	ap_entry_t other = {.id = "b", .region = "north", .inc = {2, 2}};
	ap_once_msg_t probed = {.kind = AP_ONCE_MSG_PROBE_ACK, .from = {2, 2}};
	ap_once_t *o = ap_once_new(&config, 0);
	ap_usec_t now = 0;

	ap_once_expect_peers(o, expected);
	ap_once_set_entries(o, &other, known ? 1 : 0, 0);
	while (!ap_once_witness_ready(o)) {
		now += tick;
		if (now >= at)
			ap_once_receive(o, "b", &probed, now);
		ap_once_tick(o, now);
	}
	ap_once_free(o);
	return now;
}

static void test_a_permit_waits_for_a_witness_within_bounds(void **state)
{
	static const struct {
		bool expected;
		bool known;
		ap_usec_t at;
		ap_usec_t least;
		ap_usec_t most;
	} rows[] = {
		{false, false, AP_NEVER, 0, 0}, /* alone */
		{false, true, 200 * AP_MSEC, 200 * AP_MSEC, 200 * AP_MSEC},
		{true, true, 200 * AP_MSEC, 200 * AP_MSEC, 200 * AP_MSEC},
		{true, true, AP_NEVER, AP_SEC, 1200 * AP_MSEC},	     /* never acknowledges */
		{true, false, AP_NEVER, 3 * AP_SEC, 3200 * AP_MSEC}, /* expected, never live */
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		ap_usec_t after = ready_after(rows[i].expected, rows[i].known, rows[i].at);

		assert_in_range(after, rows[i].least, rows[i].most);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_fault_has_its_outcome),
		cmocka_unit_test(test_a_lone_entry_needs_no_witness),
		cmocka_unit_test(test_a_permit_waits_for_a_witness_within_bounds),
		cmocka_unit_test(test_only_its_caller_and_service_may_use_it),
		cmocka_unit_test(test_changed_texts_are_never_genuine),
		cmocka_unit_test(test_tables_stay_within_their_bounds),
		cmocka_unit_test(test_broken_state_is_detected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
