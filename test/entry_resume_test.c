/* Streams that break off in one region and go on in another. */
#include "entry_rig.h"

#define DONE "data: [DONE]\n\n"
#define CUT "event: error\n"

static void offer_capacity(rig_t *rig)
{
	ap_note_t note = {.kind = AP_NOTE_OFFER};

	note.u.offer = (ap_capacity_offer_t){.rate = 1000, .wait = AP_MSEC, .at = ap_now()};
	ap_copy_name(note.u.offer.region, AP_NAME_MAX, "cuyo");
	ap_copy_name(note.u.offer.model, AP_NAME_MAX, "m");
	entry_note(rig->entries[0].entry, &note);
}

/* One upstream in Recife, two in Cuyo, which has served a request and offers capacity. */
static void two_regions(rig_t *rig)
{
	rig_caller_t caller;

	rig_init(rig);
	rig_add_entry(rig, "cuyo");
	rig_add_fake(rig, "recife", "gpu");
	rig_add_fake(rig, "cuyo", "gpu");
	rig_add_fake(rig, "cuyo", "gpu");
	rig_publish_view(rig);
	offer_capacity(rig);
	rig_call(rig, 1, &caller, "POST", CHAT, RIG_AUTH "Arbutuspond-Service: ask\r\n",
		 BODY("ask", "false"));
	free(rig_response(rig, &caller));
	for (ap_usec_t ahead = 0; ahead <= 60 * AP_SEC; ahead += AP_SEC)
		ap_route_own_offer(rig->entries[1].entry->route, "m",
				   ap_now() - 60 * AP_SEC + ahead);
	rig->fakes[1].requests = 0;
	rig->fakes[2].requests = 0;
}

/* Each token at most once and in order; the end mark only after the last one. */
static void check_stream(const char *response)
{
	const char *at = response;
	int tokens = 0;

	rig_check(response, 200, "\"t0 ", "\"t2 ");
	rig_check_events(response);
	while ((at = strstr(at, "\"content\":\"t")) != NULL) {
		at += strlen("\"content\":\"t");
		if (atoi(at) != tokens++)
			fail_msg("tokens out of order: %s", response);
	}
	assert_int_equal(tokens == FAKE_TOKENS, strstr(response, DONE) != NULL);
	assert_int_equal(tokens < FAKE_TOKENS, strstr(response, CUT) != NULL);
}

/*
 * The stream breaks off in Recife, whose upstream then drains, and goes on in Cuyo, where it breaks
 * off as often as @faults says.
 */
static void run_stream(int faults)
{
	rig_caller_t caller;
	char *response;
	rig_t rig;

	two_regions(&rig);
	rig.fakes[0].mode = FAKE_STALL_MIDDLE;
	for (int i = 1; i < rig.n_fakes; i++) {
		rig.fakes[i].mode = FAKE_RESET_AFTER;
		rig.fakes[i].half = FAKE_TOKENS - 1;
		rig.fakes[i].shared_faults = &faults;
	}
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	rig.fake_draining[0] = true;
	rig_publish_view(&rig);
	offer_capacity(&rig);
	response = rig_response(&rig, &caller);
	assert_true(rig.fakes[1].requests + rig.fakes[2].requests > 0);
	assert_int_equal(faults, 0);
	check_stream(response);
	assert_non_null(strstr(response, DONE));
	free(response);
	rig_clear(&rig);
}

/*
 * Guards against a stream that begins anew in the middle: it broke off, and the request that goes
 * to another region doesn't say which tokens the caller has.
 */
static void a_broken_stream_is_not_begun_anew_in_another_region(void **state)
{
	(void)state;
	run_stream(0);
}

/* The same where it breaks off there, too: that region doesn't add the tokens from before. */
static void a_stream_that_breaks_in_both_regions_is_not_begun_anew(void **state)
{
	(void)state;
	run_stream(1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_broken_stream_is_not_begun_anew_in_another_region),
		cmocka_unit_test(a_stream_that_breaks_in_both_regions_is_not_begun_anew),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
