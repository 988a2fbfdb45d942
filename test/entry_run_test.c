/*
 * Random runs with fixed seeds: faults of upstreams, lost messages between regions and hang-ups.
 * Every completed response is complete and belongs to its request, a call that is not repeatable
 * starts at most once, and a call reported as not-run never started. The program's own invariants
 * are checked too.
 */
#include "entry_rig.h"

#define REQUESTS 400
#define IN_PROGRESS 16

typedef struct run_request {
	rig_caller_t caller;
	bool busy;
	bool hung_up;
	bool stream;
	bool once;
	int mark;
} run_request_t;

typedef struct tally {
	int completed;
	int not_run;
	int unknown;
	int cut;
	int hung_up;
	uint64_t forwarded;
} tally_t;

static int times_started(const rig_t *rig, int mark)
{
	int n = 0;

	for (int i = 0; i < rig->n_fakes; i++)
		n += rig->fakes[i].runs[mark];
	return n;
}

static void send_request(rig_t *rig, run_request_t *a, int mark)
{
	char body[256];

	*a = (run_request_t){
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

/* Fails if @response holds the mark of another request. */
static void check_own(const char *response, int mark)
{
	char own[32];

	snprintf(own, sizeof(own), "mark-%d.", mark);
	for (const char *at = response; (at = strstr(at, "mark-")) != NULL; at++) {
		if (strncmp(at, own, strlen(own)) != 0)
			fail_msg("request %d got: %s", mark, response);
	}
}

static void check_stream(const char *response, int mark)
{
	const char *at = response;

	for (int i = 0; i < FAKE_TOKENS; i++) {
		char token[32];

		snprintf(token, sizeof(token), "\"t%d mark-%d.", i, mark);
		at = strstr(at, token);
		if (!at || strstr(at + 1, token)) {
			fail_msg("request %d: token %d missing or repeated: %s", mark, i, response);
			return;
		}
	}
}

/* The outcome is in a header, or in the error event that ends a stream. */
static bool reported_not_run(const char *response)
{
	return strstr(response, "Arbutuspond-Outcome: not-run") ||
	       strstr(response, "\"outcome\":\"not-run\"");
}

static void check_outcome(rig_t *rig, run_request_t *a, const char *response, tally_t *t)
{
	bool ended = strstr(response, "data: [DONE]\n\n") != NULL;
	bool has_outcome = strstr(response, "Arbutuspond-Outcome: completed") != NULL;

	check_own(response, a->mark);
	rig_check_events(response);
	if (a->once)
		assert_in_range(times_started(rig, a->mark), 0, 1);
	if (reported_not_run(response)) {
		t->not_run++;
		assert_int_equal(times_started(rig, a->mark), 0);
	} else if (strstr(response, "Arbutuspond-Outcome: unknown")) {
		t->unknown++;
	} else if (a->stream && ended) {
		t->completed++;
		assert_non_null(strstr(response, "outcome=completed"));
		check_stream(response, a->mark);
	} else if (a->stream) {
		t->cut++;
		assert_non_null(strstr(response, "event: error\n"));
	} else {
		t->completed++;
		assert_true(has_outcome);
		assert_non_null(strstr(response, "\"of\":\"mark-"));
		assert_true(response[strlen(response) - 1] == '}');
	}
}

static void finish(rig_t *rig, run_request_t *a, tally_t *t)
{
	if (a->hung_up) {
		rig_hang_up(&a->caller);
		t->hung_up++;
	} else {
		char *response = rig_response(rig, &a->caller);

		check_outcome(rig, a, response, t);
		free(response);
	}
	a->busy = false;
}

static void offer_capacity(rig_t *rig)
{
	ap_note_t note = {.kind = AP_NOTE_OFFER};

	note.u.offer = (ap_capacity_offer_t){.rate = 1000, .wait = AP_MSEC, .at = ap_now()};
	ap_copy_name(note.u.offer.region, AP_NAME_MAX, "cuyo");
	ap_copy_name(note.u.offer.model, AP_NAME_MAX, "m");
	entry_note(rig->entries[0].entry, &note);
}

static void run(rig_t *rig, run_request_t *requests, bool *once, tally_t *t)
{
	int started = 0;
	int open = 0;

	while (started < REQUESTS || open > 0) {
		offer_capacity(rig);
		for (int i = 0; i < IN_PROGRESS; i++) {
			run_request_t *a = &requests[i];

			if (!a->busy && started < REQUESTS) {
				send_request(rig, a, ++started);
				once[started] = a->once;
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
	run_request_t requests[IN_PROGRESS] = {0};
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
	rig_publish_view(&rig);
	run(&rig, requests, once, t);
	for (int e = 0; e < rig.n_entries; e++) {
		entry_t *entry = rig.entries[e].entry;

		RUN_UNTIL(rig.base, !entry->exchanges);
		assert_null(entry->forwards);
		assert_null(entry->forwarded);
	}
	for (int mark = 1; mark <= REQUESTS; mark++)
		assert_in_range(times_started(&rig, mark), 0, once[mark] ? 1 : ATTEMPTS_MAX);
	t->forwarded += rig.seen[AP_WIRE_FORWARD];
	rig_clear(&rig);
}

static void test_random_runs(void **state)
{
	tally_t t = {.completed = 0};

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++)
		run_seed(seed, seed % 2, &t);
	print_message("completed %d, not run %d, unknown %d, cut %d, hung up %d, forwarded %llu\n",
		      t.completed, t.not_run, t.unknown, t.cut, t.hung_up,
		      (unsigned long long)t.forwarded);
	assert_true(t.forwarded > 0);
	assert_true(t.completed > 0);
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
