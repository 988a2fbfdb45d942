/*
 * Random runs with fixed seeds: faults of upstreams, lost messages between regions and hang-ups.
 * Every answer is whole and its own, a call that may not be repeated is begun at most once, and
 * one that is said not to have run was never begun. The program's own invariants are on.
 */
#include "entry_rig.h"

#define REQUESTS 400
#define IN_PROGRESS 16

typedef struct asked {
	rig_caller_t caller;
	bool busy;
	bool hung_up;
	bool stream;
	bool once;
	int mark;
} asked_t;

typedef struct tally {
	int whole;
	int not_run;
	int unknown;
	int cut;
	int hung_up;
	uint64_t sent_away;
} tally_t;

static int times_begun(const rig_t *rig, int mark)
{
	int n = 0;

	for (int i = 0; i < rig->n_fakes; i++)
		n += rig->fakes[i].runs[mark];
	return n;
}

static void ask(rig_t *rig, asked_t *a, int mark)
{
	char body[256];

	*a = (asked_t){
		.busy = true,
		.stream = ap_rng_below(&rig->rng, 2),
		.once = ap_rng_below(&rig->rng, 2),
		.mark = mark,
	};
	snprintf(body, sizeof(body),
		 "{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"content\":\"mark-%d.\"}]}",
		 a->once ? "once" : "ask", a->stream ? "true" : "false", mark);
	rig_call(rig, (int)ap_rng_below(&rig->rng, (uint64_t)rig->n_entries), &a->caller, "POST",
		 CHAT,
		 a->once ? RIG_AUTH "Arbutuspond-Service: once\r\n"
			 : RIG_AUTH "Arbutuspond-Service: ask\r\n",
		 body);
}

/* Every mark in @answer is the asker's own. */
static void check_own(const char *answer, int mark)
{
	char own[32];

	snprintf(own, sizeof(own), "mark-%d.", mark);
	for (const char *at = answer; (at = strstr(at, "mark-")) != NULL; at++) {
		if (strncmp(at, own, strlen(own)) != 0)
			fail_msg("request %d got: %s", mark, answer);
	}
}

static void check_stream(const char *answer, int mark)
{
	const char *at = answer;

	for (int i = 0; i < FAKE_TOKENS; i++) {
		char token[32];

		snprintf(token, sizeof(token), "\"t%d mark-%d.", i, mark);
		at = strstr(at, token);
		if (!at || strstr(at + 1, token)) {
			fail_msg("request %d: token %d missing or doubled: %s", mark, i, answer);
			return;
		}
	}
}

/* In the header, or in the error that ends a stream. */
static bool said_not_run(const char *answer)
{
	return strstr(answer, "Arbutuspond-Outcome: not-run") ||
	       strstr(answer, "\"outcome\":\"not-run\"");
}

static void judge(rig_t *rig, asked_t *a, const char *answer, tally_t *t)
{
	bool ended = strstr(answer, "data: [DONE]\n\n") != NULL;
	bool completed = strstr(answer, "Arbutuspond-Outcome: completed") != NULL;

	check_own(answer, a->mark);
	rig_check_events(answer);
	if (a->once)
		assert_in_range(times_begun(rig, a->mark), 0, 1);
	if (said_not_run(answer)) {
		t->not_run++;
		assert_int_equal(times_begun(rig, a->mark), 0);
	} else if (strstr(answer, "Arbutuspond-Outcome: unknown")) {
		t->unknown++;
	} else if (a->stream && ended) {
		t->whole++;
		assert_non_null(strstr(answer, "outcome=completed"));
		check_stream(answer, a->mark);
	} else if (a->stream) {
		t->cut++;
		assert_non_null(strstr(answer, "event: error\n"));
	} else {
		t->whole++;
		assert_true(completed);
		assert_non_null(strstr(answer, "\"of\":\"mark-"));
		assert_true(answer[strlen(answer) - 1] == '}');
	}
}

static void finish(rig_t *rig, asked_t *a, tally_t *t)
{
	if (a->hung_up) {
		rig_hang_up(&a->caller);
		t->hung_up++;
	} else {
		char *answer = rig_answer(rig, &a->caller);

		judge(rig, a, answer, t);
		free(answer);
	}
	a->busy = false;
}

static void offer_room(rig_t *rig)
{
	ap_note_t room = {.kind = AP_NOTE_ROOM};

	room.u.room = (ap_capacity_offer_t){.rate = 1000, .wait = AP_MSEC, .at = ap_now()};
	ap_copy_name(room.u.room.region, AP_NAME_MAX, "cuyo");
	ap_copy_name(room.u.room.model, AP_NAME_MAX, "m");
	entry_note(rig->entries[0].entry, &room);
}

static void run(rig_t *rig, asked_t *asked, bool *once, tally_t *t)
{
	int begun = 0;
	int open = 0;

	while (begun < REQUESTS || open > 0) {
		offer_room(rig);
		for (int i = 0; i < IN_PROGRESS; i++) {
			asked_t *a = &asked[i];

			if (!a->busy && begun < REQUESTS) {
				ask(rig, a, ++begun);
				once[begun] = a->once;
				open++;
			} else if (a->busy && (a->caller.closed || a->hung_up)) {
				finish(rig, a, t);
				open--;
			} else if (a->busy && ap_rng_below(&rig->rng, 2000) == 0) {
				a->hung_up = true;
			}
		}
		event_base_loop(rig->base, EVLOOP_ONCE);
	}
}

static void run_seed(uint64_t seed, bool home_upstreams, tally_t *t)
{
	asked_t asked[IN_PROGRESS] = {0};
	bool once[REQUESTS + 1] = {false};
	rig_t rig;

	rig_init_as(&rig, true);
	ap_rng_seed(&rig.rng, seed);
	rig.loss = 0.02;
	rig_add_entry(&rig, "cuyo");
	for (int i = 0; i < 4; i++) {
		fake_t *fake =
			rig_add_fake(&rig, home_upstreams && i < 2 ? "recife" : "cuyo", "gpu");

		fake->fault_share = 0.2;
		fake->rng[0] = (unsigned short)(seed * 7 + (unsigned)i);
	}
	rig_show(&rig);
	run(&rig, asked, once, t);
	for (int e = 0; e < rig.n_entries; e++) {
		entry_t *entry = rig.entries[e].entry;

		RUN_UNTIL(rig.base, !entry->exchanges);
		assert_null(entry->away);
		assert_null(entry->guests);
	}
	for (int mark = 1; mark <= REQUESTS; mark++)
		assert_in_range(times_begun(&rig, mark), 0, once[mark] ? 1 : ATTEMPTS_MAX);
	t->sent_away += rig.seen[AP_WIRE_FORWARD];
	rig_clear(&rig);
}

static void test_random_runs(void **state)
{
	tally_t t = {.whole = 0};

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++)
		run_seed(seed, seed % 2, &t);
	print_message("whole %d, not run %d, unknown %d, cut %d, hung up %d, sent away %llu\n",
		      t.whole, t.not_run, t.unknown, t.cut, t.hung_up,
		      (unsigned long long)t.sent_away);
	assert_true(t.sent_away > 0);
	assert_true(t.whole > 0);
	assert_true(t.not_run > 0);
	assert_true(t.unknown > 0);
	assert_true(t.cut > 0);
	assert_true(t.hung_up > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
