/* Streams that break off go on at the version of the model that began them, or end. */
#include "entry_rig.h"

#define DONE "data: [DONE]\n\n"
#define CUT "event: error\n"
#define MADE_BY "\"system_fingerprint\":\""

/*
 * Upstream 0 begins the stream, in the region @first; the others, in the region @others, are live
 * after that. NULL for a version that isn't known. @polled are the versions that polls found, if
 * others than those that make the events and stand in the heads of responses.
 */
typedef struct plan {
	const char *first;
	const char *others;
	const char *versions[3];
	const char *const *polled;
	bool older; /* instances tell each other no versions */
} plan_t;

typedef struct outcome {
	char *response;
	int requests[3];
	bool whole;
} outcome_t;

static void offer_capacity(rig_t *rig, const char *region)
{
	ap_note_t note = {.kind = AP_NOTE_OFFER};

	note.u.offer = (ap_capacity_offer_t){.rate = 1000, .wait = AP_MSEC, .at = ap_now()};
	ap_copy_name(note.u.offer.region, AP_NAME_MAX, region);
	ap_copy_name(note.u.offer.model, AP_NAME_MAX, "m");
	entry_note(rig->entries[0].entry, &note);
}

static void accept_forwarded(rig_t *rig)
{
	rig_caller_t caller;

	rig_call(rig, 1, &caller, "POST", CHAT, RIG_AUTH "Arbutuspond-Service: ask\r\n",
		 BODY("ask", "false"));
	free(rig_response(rig, &caller));
	for (ap_usec_t ahead = 0; ahead <= 60 * AP_SEC; ahead += AP_SEC)
		ap_route_own_offer(rig->entries[1].entry->route, "m",
				   ap_now() - 60 * AP_SEC + ahead);
	for (int i = 0; i < rig->n_fakes; i++)
		rig->fakes[i].requests = 0;
}

/* All events are of one version; the numbers rise by one; the end mark only after the last one. */
static void check_stream(outcome_t *o)
{
	const char *at = o->response;
	const char *by = strstr(at, MADE_BY);
	int tokens = 0;

	rig_check(o->response, 200, "\"t0 ", "\"t2 ");
	rig_check_events(o->response);
	for (; by && (at = strstr(at, MADE_BY)) != NULL; at++) {
		if (strncmp(at, by, strlen(MADE_BY) + 1) != 0)
			fail_msg("events of two versions: %s", o->response);
	}
	for (at = o->response; (at = strstr(at, "\"content\":\"t")) != NULL; at++) {
		if (atoi(at + strlen("\"content\":\"t")) != tokens++)
			fail_msg("tokens out of order: %s", o->response);
	}
	o->whole = strstr(o->response, DONE) != NULL;
	assert_int_equal(tokens == FAKE_TOKENS, o->whole);
	assert_int_equal(tokens < FAKE_TOKENS, strstr(o->response, CUT) != NULL);
}

static void run(const plan_t *plan, outcome_t *o)
{

	rig_caller_t caller;
	rig_t rig;

	rig_init(&rig);
	rig_add_entry(&rig, "cuyo");
	rig.older = plan->older;
	for (int i = 0; i < 3; i++) {
		rig_add_fake(&rig, i == 0 ? plan->first : plan->others, "gpu");
		rig.fakes[i].made_by = plan->versions[i];
		rig.fakes[i].tells_version = plan->polled;
		rig.fake_version[i] = plan->polled ? plan->polled[i] : plan->versions[i];
	}
	rig_publish_view(&rig);
	if (strcmp(plan->first, plan->others) != 0)
		accept_forwarded(&rig);
	rig.fakes[0].mode = FAKE_STALL_MIDDLE;
	rig.fakes[0].faults = 1;
	rig.fake_draining[1] = true;
	rig.fake_draining[2] = true;
	rig_publish_view(&rig);
	offer_capacity(&rig, "cuyo");
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	rig.fake_draining[0] = true;
	rig.fake_draining[1] = false;
	rig.fake_draining[2] = false;
	rig_publish_view(&rig);
	offer_capacity(&rig, "cuyo");
	o->response = rig_response(&rig, &caller);
	for (int i = 0; i < 3; i++)
		o->requests[i] = rig.fakes[i].requests;
	rig_clear(&rig);
	check_stream(o);
	assert_int_equal(o->requests[0], 1);
}

static void expect_cut(const plan_t *plan)
{
	outcome_t o;

	run(plan, &o);
	assert_false(o.whole);
	free(o.response);
}

/* Expects that the stream goes on at upstream 1 or 2 as @may says. */
static void expect_whole(const plan_t *plan, bool first, bool second)
{
	outcome_t o;

	run(plan, &o);
	assert_true(o.whole);
	assert_true(first || o.requests[1] == 0);
	assert_true(second || o.requests[2] == 0);
	free(o.response);
}

/* Expects that it goes on at the one of two upstreams that has its version, and only there. */
static void expect_its_version(const char *first, const char *others)
{
	const plan_t second = {.first = first, .others = others, .versions = {"1", "2", "1"}};
	const plan_t other = {.first = first, .others = others, .versions = {"1", "1", "2"}};

	expect_whole(&second, false, true);
	expect_whole(&other, true, false);
}

/* Guards against half an answer of one version of a model and half of another. */
static void a_stream_does_not_go_on_at_another_version(void **state)
{
	const plan_t plan = {.first = "recife", .others = "recife", .versions = {"1", "2", "2"}};

	(void)state;
	expect_cut(&plan);
}

/* Guards against a stream that ends although an upstream of its version is left. */
static void a_stream_goes_on_at_its_version(void **state)
{
	(void)state;
	expect_its_version("recife", "recife");
}

/* Guards against the version being lost on the way to another region. */
static void a_stream_does_not_go_on_at_another_version_elsewhere(void **state)
{
	const plan_t plan = {.first = "recife", .others = "cuyo", .versions = {"1", "2", "2"}};

	(void)state;
	expect_cut(&plan);
	expect_its_version("recife", "cuyo");
}

/* The same way back: it began elsewhere, broke there and was sent here. */
static void a_stream_from_elsewhere_does_not_go_on_at_another_version(void **state)
{
	const plan_t plan = {.first = "cuyo", .others = "recife", .versions = {"1", "2", "2"}};

	(void)state;
	expect_cut(&plan);
	expect_its_version("cuyo", "recife");
}

/* Guards against an upstream whose version isn't known being taken for one of the same. */
static void a_stream_does_not_go_on_at_an_unknown_version(void **state)
{
	const plan_t plan = {.first = "recife", .others = "recife", .versions = {"1", NULL, NULL}};

	(void)state;
	expect_cut(&plan);
}

/* Guards against streams that end where no engine says a version: they go on as before. */
static void a_stream_of_an_unknown_version_goes_on(void **state)
{
	const plan_t here = {.first = "recife", .others = "recife", .versions = {NULL}};
	const plan_t away = {.first = "recife", .others = "cuyo", .versions = {NULL}};
	const plan_t back = {.first = "cuyo", .others = "recife", .versions = {NULL}};

	(void)state;
	expect_whole(&here, true, true);
	expect_whole(&away, true, true);
	expect_whole(&back, true, true);
}

/*
 * Guards against an older instance that doesn't know the version it should keep to: what it sends
 * from another version, or doesn't name, isn't passed on.
 */
static void a_stream_does_not_go_on_at_an_older_instance(void **state)
{
	const plan_t away = {
		.first = "recife", .others = "cuyo", .versions = {"1", "1", "1"}, .older = true};

	(void)state;
	expect_cut(&away);
}

/* An older instance began it: its version isn't known, so it goes on as before. */
static void a_stream_from_an_older_instance_goes_on(void **state)
{
	const plan_t back = {
		.first = "cuyo", .others = "recife", .versions = {"1", "1", "1"}, .older = true};

	(void)state;
	expect_whole(&back, true, true);
}

/* Guards against a poll from before a model was replaced: the engine's own word counts. */
static void the_version_in_a_response_counts_more_than_the_polled_one(void **state)
{
	static const char *const old[] = {"1", "1", "1"};
	static const char *const first_is_old[] = {"1", "2", "1"};
	const plan_t cut = {
		.first = "recife", .others = "recife", .versions = {"1", "2", "2"}, .polled = old};
	const plan_t away = {
		.first = "recife", .others = "cuyo", .versions = {"1", "2", "2"}, .polled = old};
	const plan_t whole = {
		.first = "recife", .others = "recife", .versions = {"1", "2", "1"}, .polled = old};
	const plan_t begun = {.first = "recife",
			      .others = "recife",
			      .versions = {"2", "2", "1"},
			      .polled = first_is_old};

	(void)state;
	expect_cut(&cut);
	expect_cut(&away);
	expect_whole(&whole, true, true);
	expect_whole(&begun, true, false);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_stream_does_not_go_on_at_another_version),
		cmocka_unit_test(a_stream_goes_on_at_its_version),
		cmocka_unit_test(a_stream_does_not_go_on_at_another_version_elsewhere),
		cmocka_unit_test(a_stream_from_elsewhere_does_not_go_on_at_another_version),
		cmocka_unit_test(a_stream_does_not_go_on_at_an_unknown_version),
		cmocka_unit_test(a_stream_of_an_unknown_version_goes_on),
		cmocka_unit_test(a_stream_does_not_go_on_at_an_older_instance),
		cmocka_unit_test(a_stream_from_an_older_instance_goes_on),
		cmocka_unit_test(the_version_in_a_response_counts_more_than_the_polled_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
