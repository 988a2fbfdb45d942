/* Requests forwarded to a remote region: one hop, residency, lost messages, credit, cancel. */
#include "two_regions.h"

static uint64_t count(const rig_t *rig, int entry, entry_count_t which)
{
	return rig->entries[entry].entry->counts[which];
}

typedef struct forward_case {
	fake_mode_t mode;
	uint32_t lost; /* kind of message that is dropped, 0 for none */
	const char *stream;
	int status;
	const char *part;
	const char *other;
} forward_case_t;

#define COMPLETED "Arbutuspond-Outcome: completed"
#define FAILED "Arbutuspond-Outcome: unknown"
#define NOT_RUN "Arbutuspond-Outcome: not-run"
#define CUT "event: error\n"

static const forward_case_t cases[] = {
	{FAKE_NONE, 0, "false", 200, COMPLETED, "Arbutuspond-Region: cuyo"},
	{FAKE_NONE, 0, "true", 200, "outcome=completed", "region=cuyo\n\ndata: [DONE]"},
	{FAKE_REFUSE, 0, "false", 503, NOT_RUN, "\"not_run\""},
	{FAKE_ERROR, 0, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_RESET_BEFORE, 0, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_WRONG_ID, 0, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_RESET_AFTER, 0, "true", 200, CUT, "\"unknown\""},
	{FAKE_TRUNCATED, 0, "true", 200, CUT, "\"unknown\""},
	{FAKE_EARLY_END, 0, "true", 200, CUT, "\"unknown\""},
	{FAKE_EMPTY, 0, "true", 502, FAILED, "\"upstream_failed\""},
	{FAKE_EARLY_END, 0, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_EMPTY, 0, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_NONE, AP_WIRE_FORWARD, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_NONE, AP_WIRE_FORWARD_HEAD, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_NONE, AP_WIRE_FORWARD_DATA, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_NONE, AP_WIRE_FORWARD_DATA, "true", 502, FAILED, "\"upstream_failed\""},
	{FAKE_NONE, AP_WIRE_FORWARD_END, "false", 502, FAILED, "\"upstream_failed\""},
	{FAKE_NONE, AP_WIRE_FORWARD_END, "true", 200, CUT, "\"unknown\""},
};

static void test_each_fault_between_regions(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const forward_case_t *c = &cases[i];
		char *response;
		rig_t rig;

		print_message("case %zu: mode %d lost %u stream=%s\n", i, c->mode, c->lost,
			      c->stream);
		two_regions(&rig);
		rig.fakes[0].mode = c->mode;
		rig.drop_kind = c->lost;
		response =
			rig_post(&rig, 0, CHAT,
				 c->stream[0] == 't' ? BODY("ask", "true") : BODY("ask", "false"));
		rig_check(response, c->status, c->part, c->other);
		if (strstr(response, CUT))
			assert_null(strstr(response, "[DONE]"));
		assert_int_equal(rig.seen[AP_WIRE_FORWARD], 1);
		free(response);
		rig_clear(&rig);
	}
}

/* Guards against a response that lacks a part which could not be sent, and looks complete. */
static void a_part_that_could_not_be_sent_is_missed(void **state)
{
	static const char *const bodies[] = {BODY("ask", "true"), BODY("ask", "false")};

	(void)state;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		char *response;
		rig_t rig;

		two_regions(&rig);
		rig.refuse_kind = AP_WIRE_FORWARD_DATA;
		response = rig_post(&rig, 0, CHAT, bodies[i]);
		assert_int_equal(rig.refuse_kind, 0);
		assert_null(strstr(response, "[DONE]"));
		assert_null(strstr(response, COMPLETED));
		free(response);
		rig_clear(&rig);
	}
}

/*
 * A request that is forwarded because its own region has no free slot, starts at an upstream and
 * fails there requests admission again and is shed. The error must not say not-run.
 */
static void test_request_shed_after_forward_is_not_reported_not_run(void **state)
{
	static const forward_case_t returns[] = {
		{FAKE_ERROR, 0, "false", 502, FAILED, "\"unknown\""},
		{FAKE_NONE, AP_WIRE_FORWARD_HEAD, "false", 502, FAILED, "\"unknown\""},
		{FAKE_NONE, AP_WIRE_FORWARD_DATA, "false", 502, FAILED, "\"unknown\""},
		{FAKE_RESET_AFTER, 0, "true", 200, CUT, "\"unknown\""},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(returns) / sizeof(returns[0]); i++) {
		const forward_case_t *c = &returns[i];
		char *response;
		rig_t rig;

		two_regions_as(&rig, true);
		/* Stops the reports, each of which sets the capacity again. */
		event_del(rig.entries[0].entry->report);
		ap_admission_set_capacity(rig.entries[0].entry->admission, 0, ap_now());
		rig.fakes[0].mode = c->mode;
		rig.drop_kind = c->lost;
		response =
			rig_post(&rig, 0, CHAT,
				 c->stream[0] == 't' ? BODY("ask", "true") : BODY("ask", "false"));
		rig_check(response, c->status, c->part, c->other);
		assert_null(strstr(response, "not-run"));
		assert_true(rig.fakes[0].requests > 0);
		free(response);
		rig_clear(&rig);
	}
}

#define OTHER_TOKENS (1ull << 40) /* tokens of requests that have no exchange */

static ap_admission_decision_t take_slot(rig_t *rig, uint64_t number)
{
	ap_usec_t retry_after;
	ap_admission_request_t ask = {
		.token = OTHER_TOKENS + number,
		.cls = AP_CLASS_RESERVATION,
		.deadline = ap_now() + 60 * AP_SEC,
	};

	return ap_admission_admit(rig->entries[0].entry->admission, &ask, ap_now(), &retry_after);
}

/* All slots in Recife are taken, its queue has room for one request, and deadlines were missed. */
static void full_region(rig_t *rig)
{
	ap_usec_t before = ap_now() - AP_MSEC;
	ap_request_t late = {.home = "recife", .deadline = ap_now(), .cls = AP_CLASS_SHORT};
	ap_choice_t choice;
	uint64_t n = 0;

	rig_init(rig);
	entry_free(rig->entries[0].entry);
	rig->n_entries = 0;
	rig->queue = 1;
	rig_add_entry(rig, "recife");
	rig_add_entry(rig, "cuyo");
	rig_add_fake(rig, "cuyo", "gpu");
	rig_add_fake(rig, "recife", "gpu");
	rig_publish_view(rig);
	warm_up(rig);
	late.service = ap_conf_service(rig->conf, "ask");
	assert_false(
		ap_route_forward(rig->entries[0].entry->route, &late, AP_NEVER, before, &choice));
	while (take_slot(rig, ++n) == AP_ADMIT_NOW)
		;
	ap_admission_cancel(rig->entries[0].entry->admission, OTHER_TOKENS + n, ap_now());
}

/* A queued request is shed in favour of one of a higher class. */
static void test_request_shed_from_queue_is_forwarded(void **state)
{
	static const struct {
		const char *body;
		bool room;
		int status;
		const char *part;
		const char *other;
	} shed_cases[] = {
		{BODY("ask", "false"), true, 200, COMPLETED, "Arbutuspond-Region: cuyo"},
		{BODY("ask", "false"), false, 503, "\"overloaded\"", "Retry-After: "},
		{BODY("once", "false"), true, 503, "\"overloaded\"", "Retry-After: "},
		{BODY("dossier", "false"), true, 503, "\"overloaded\"", "Retry-After: "},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(shed_cases) / sizeof(shed_cases[0]); i++) {
		bool forwarded = shed_cases[i].status == 200;
		rig_caller_t caller;
		char *response;
		rig_t rig;

		full_region(&rig);
		rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, shed_cases[i].body);
		RUN_UNTIL(rig.base, count(&rig, 0, COUNT_REQUESTS) == 1);
		assert_int_equal(rig.entries[0].entry->exchanges->phase, PHASE_WAITING);
		if (shed_cases[i].room)
			offer_capacity(&rig);
		assert_int_equal(take_slot(&rig, 0), AP_ADMIT_QUEUE);
		response = rig_response(&rig, &caller);
		rig_check(response, shed_cases[i].status, shed_cases[i].part, shed_cases[i].other);
		free(response);
		assert_int_equal(count(&rig, 0, COUNT_FORWARDED), forwarded);
		assert_int_equal(count(&rig, 0, COUNT_SHED), !forwarded);
		assert_int_equal(rig.fakes[1].requests, 0);
		rig_clear(&rig);
	}
}

static void test_home_bound_and_unrepeatable_calls_are_not_forwarded(void **state)
{
	static const char *const bodies[] = {BODY("dossier", "false"), BODY("once", "false")};

	(void)state;
	for (int i = 0; i < 2; i++) {
		char *response;
		rig_t rig;

		two_regions(&rig);
		response = rig_post(&rig, 0, CHAT, bodies[i]);
		rig_check(response, 503, NOT_RUN, "\"not_run\"");
		assert_int_equal(rig.seen[AP_WIRE_FORWARD], 0);
		assert_int_equal(rig.fakes[0].requests, 0);
		free(response);
		rig_clear(&rig);
	}
}

static void test_wrong_region_is_detected_from_headers(void **state)
{
	static const char *const headers[] = {
		RIG_AUTH,
		RIG_AUTH "Arbutuspond-Service: dossier\r\n",
	};

	(void)state;
	for (int i = 0; i < 2; i++) {
		rig_caller_t caller;
		char *response;
		rig_t rig;

		two_regions(&rig);
		rig_call(&rig, 1, &caller, "POST", CHAT, headers[i], "{never parsed");
		response = rig_response(&rig, &caller);
		rig_check(response, 421, "\"wrong_region\"", "\"id\":\"recife-0\"");
		assert_non_null(strstr(response, NOT_RUN));
		assert_null(strstr(response, "\"id\":\"cuyo-0\""));
		assert_int_equal(rig.fakes[0].requests, 0);
		free(response);
		rig_clear(&rig);
	}
}

static void deliver(rig_t *rig, int to, const char *from, const ap_forward_msg_t *msg)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	ap_forward_pack(&buf, (ap_id_t){9, 9}, 1, msg);
	entry_receive(rig->entries[to].entry, from, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static ap_forward_msg_t forged(const char *service, uint32_t hops)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD, .exchange = {{9, 9}, 1}};

	msg.u.request = (ap_forward_request_t){
		.request = {{9, 9}, 2},
		.hops = hops,
		.caller = "crew",
		.home = "recife",
		.model = "m",
		.method = EVHTTP_REQ_POST,
		.target = CHAT,
		.first_byte = AP_SEC,
		.credit = 1000,
		.body = BODY("ask", "false"),
		.len = sizeof(BODY("ask", "false")) - 1,
	};
	ap_copy_name(msg.u.request.service, AP_NAME_MAX, service);
	return msg;
}

static void test_forwarded_requests_that_break_a_rule_are_refused(void **state)
{
	static const struct {
		const char *service;
		uint32_t hops;
		const char *from;
		int refusals; /* refusals sent back */
	} rules[] = {
		{"ask", 0, "recife-0", 0},     /* hop to another region not counted */
		{"ask", 2, "recife-0", 0},     /* a second hop */
		{"ask", 1, "nobody", 0},       /* not a member */
		{"dossier", 1, "recife-0", 1}, /* home-bound service */
		{"none", 1, "recife-0", 1},    /* service not configured */
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
		ap_forward_msg_t msg = forged(rules[i].service, rules[i].hops);
		rig_t rig;

		two_regions(&rig);
		deliver(&rig, 1, rules[i].from, &msg);
		assert_int_equal(rig.seen[AP_WIRE_FORWARD_END], rules[i].refusals);
		assert_int_equal(count(&rig, 1, COUNT_FORWARDED_IN), 0);
		assert_null(rig.entries[1].entry->exchanges);
		rig_clear(&rig);
	}
}

/* A duplicate may arrive after the request of the first message has ended. */
static void test_duplicate_and_late_requests_are_neither_started_nor_refused(void **state)
{
	static const struct {
		bool draining;
		uint64_t seq; /* of the second message; the first one has 2 */
	} seconds[] = {
		{false, 2},
		{true, 2},
		{false, 1},
		{true, 1},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(seconds) / sizeof(seconds[0]); i++) {
		ap_forward_msg_t msg = forged("ask", 1);
		entry_t *there;
		rig_t rig;

		two_regions(&rig);
		there = rig.entries[1].entry;
		msg.exchange.seq = 2;
		deliver(&rig, 1, "recife-0", &msg);
		RUN_UNTIL(rig.base, rig.seen[AP_WIRE_FORWARD_END] == 1 && !there->exchanges);
		there->draining = seconds[i].draining;
		msg.exchange.seq = seconds[i].seq;
		deliver(&rig, 1, "recife-0", &msg);
		assert_null(there->exchanges);
		assert_int_equal(rig.seen[AP_WIRE_FORWARD_END], 1);
		assert_int_equal(rig.fakes[0].requests, 1);
		assert_int_equal(count(&rig, 1, COUNT_REFUSED_MESSAGES), 1);
		rig_clear(&rig);
	}
}

static void test_unmatched_responses_are_dropped(void **state)
{
	ap_forward_msg_t end = {.kind = AP_WIRE_FORWARD_END};
	rig_caller_t caller;
	char *response;
	rig_t rig;

	(void)state;
	two_regions(&rig);
	rig.fakes[0].mode = FAKE_STALL_BEFORE;
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "false"));
	RUN_UNTIL(rig.base, rig.fakes[0].requests == 1);
	end.exchange = rig.entries[0].entry->forwards->forward.exchange;
	/* An open exchange from the wrong entry, then an exchange that is not open. */
	deliver(&rig, 0, "recife-9", &end);
	end.exchange.seq++;
	deliver(&rig, 0, "cuyo-0", &end);
	assert_int_equal(count(&rig, 0, COUNT_LATE_RESPONSES), 2);
	response = rig_response(&rig, &caller);
	rig_check(response, 502, FAILED, "\"upstream_failed\"");
	free(response);
	rig_clear(&rig);
}

static void test_hang_up_cancels_in_the_remote_region(void **state)
{
	rig_caller_t caller;
	rig_t rig;

	(void)state;
	two_regions(&rig);
	rig.fakes[0].mode = FAKE_STALL_MIDDLE;
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	rig_hang_up(&caller);
	RUN_UNTIL(rig.base, rig.fakes[0].hangups == 1);
	RUN_UNTIL(rig.base, !rig.entries[0].entry->exchanges && !rig.entries[1].entry->exchanges);
	assert_int_equal(rig.seen[AP_WIRE_FORWARD_CANCEL], 1);
	rig_clear(&rig);
}

static void test_credit_bounds_buffered_bytes_of_slow_reader(void **state)
{
	rig_caller_t caller;
	size_t most = 0;
	char *response;
	rig_t rig;

	(void)state;
	two_regions(&rig);
	rig.fakes[0].mode = FAKE_SLOW_READER;
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	bufferevent_disable(caller.bev, EV_READ);
	for (int i = 0; i < 200; i++) {
		exchange_t *remote;
		exchange_t *x;
		size_t held = 0;

		event_base_loop(rig.base, EVLOOP_NONBLOCK);
		x = rig.entries[0].entry->exchanges;
		remote = rig.entries[1].entry->exchanges;
		if (x && x->call)
			held += ap_http_reply_pending(x->call);
		if (remote && remote->is_forwarded)
			held += evbuffer_get_length(remote->forwarded.out);
		if (held > most)
			most = held;
	}
	assert_true(most < 4 * REPLY_HIGH);
	bufferevent_enable(caller.bev, EV_READ);
	response = rig_response(&rig, &caller);
	rig_check(response, 200, "t19999 ", "data: [DONE]");
	assert_true(rig.seen[AP_WIRE_FORWARD_CREDIT] > 0);
	free(response);
	rig_clear(&rig);
}

/* Starts a stream whose caller stops reading, and waits until Cuyo's entry waits for credit. */
static exchange_t *stalled(rig_t *rig, rig_caller_t *caller)
{
	exchange_t *x;

	two_regions(rig);
	rig->fakes[0].mode = FAKE_FLOOD;
	rig_call(rig, 0, caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig->base, evbuffer_get_length(caller->got) > 0);
	bufferevent_disable(caller->bev, EV_READ);
	x = rig->entries[1].entry->exchanges;
	RUN_UNTIL(rig->base, evtimer_pending(x->forwarded.credit_timer, NULL));
	return x;
}

static void test_forwarded_request_of_silent_sender_is_abandoned(void **state)
{
	rig_caller_t caller;
	rig_t rig;

	(void)state;
	assert_non_null(stalled(&rig, &caller));
	rig.loss = 1;
	RUN_UNTIL(rig.base, !rig.entries[1].entry->exchanges);
	assert_int_equal(count(&rig, 1, COUNT_ABANDONED_IN), 1);
	RUN_UNTIL(rig.base, rig.fakes[0].open == 0);
	rig_hang_up(&caller);
	rig_clear(&rig);
}

static void test_forwarded_request_of_paused_caller_is_kept(void **state)
{
	rig_caller_t caller;
	char *response;
	int repeats = 0;
	rig_t rig;

	(void)state;
	assert_non_null(stalled(&rig, &caller));
	/*
	 * While the caller pauses, the unchanged credit is repeated once a time limit. Without
	 * it, the forwarded request would be abandoned after four limits.
	 */
	while (repeats < 6) {
		uint64_t granted = rig.entries[0].entry->exchanges->forward.granted;
		unsigned sent = rig.seen[AP_WIRE_FORWARD_CREDIT];

		RUN_UNTIL(rig.base, rig.seen[AP_WIRE_FORWARD_CREDIT] > sent);
		repeats = rig.entries[0].entry->exchanges->forward.granted == granted ? repeats + 1
										      : 0;
	}
	bufferevent_enable(caller.bev, EV_READ);
	response = rig_response(&rig, &caller);
	rig_check(response, 200, "t3999 ", "data: [DONE]");
	assert_int_equal(count(&rig, 1, COUNT_ABANDONED_IN), 0);
	free(response);
	rig_clear(&rig);
}

static void test_draining_entry_refuses_new_forwarded_requests_and_finishes_others(void **state)
{
	ap_note_t drain = {.kind = AP_NOTE_DRAIN};
	rig_caller_t caller;
	char *response;
	rig_t rig;

	(void)state;
	two_regions(&rig);
	rig.fakes[0].mode = FAKE_SLOW_READER;
	rig_call(&rig, 0, &caller, "POST", CHAT, RIG_AUTH, BODY("ask", "true"));
	RUN_UNTIL(rig.base, evbuffer_get_length(caller.got) > 0);
	entry_note(rig.entries[1].entry, &drain);
	response = rig_post(&rig, 0, CHAT, BODY("ask", "false"));
	rig_check(response, 503, NOT_RUN, "\"not_run\"");
	free(response);
	assert_false(rig.entries[1].drained);
	response = rig_response(&rig, &caller);
	rig_check(response, 200, "t19999 ", "data: [DONE]");
	free(response);
	RUN_UNTIL(rig.base, rig.entries[1].drained);
	rig_clear(&rig);
}

static ap_forward_msg_t sample(uint32_t kind)
{
	ap_forward_msg_t msg = {.kind = kind, .exchange = {{9, 9}, 1}};

	if (kind == AP_WIRE_FORWARD)
		return forged("ask", 1);
	if (kind == AP_WIRE_FORWARD_DATA)
		msg.u.data = (ap_forward_data_t){.data = "part", .len = 4};
	else if (kind == AP_WIRE_FORWARD_END)
		msg.u.end = (ap_forward_end_t){.status = 200, .total = 4, .region = "cuyo"};
	else if (kind == AP_WIRE_FORWARD_HEAD)
		msg.u.head = (ap_forward_head_t){.status = 200, .content_type = "text/plain"};
	else
		msg.u.credit = 7;
	return msg;
}

static void test_damaged_messages_do_no_harm(void **state)
{
	msgpack_sbuffer buf;
	ap_rng_t rng;
	rig_t rig;

	(void)state;
	two_regions(&rig);
	ap_rng_seed(&rng, 5);
	msgpack_sbuffer_init(&buf);
	for (int i = 0; i < 20000; i++) {
		ap_forward_msg_t msg = sample(AP_WIRE_FORWARD + (uint32_t)ap_rng_below(&rng, 6));
		size_t at;

		buf.size = 0;
		ap_forward_pack(&buf, (ap_id_t){9, 9}, 1, &msg);
		at = ap_rng_below(&rng, buf.size);
		buf.data[at] = (char)ap_rng_u64(&rng);
		entry_receive(rig.entries[1].entry, "recife-0", buf.data,
			      ap_rng_below(&rng, 4) ? buf.size : at);
	}
	msgpack_sbuffer_destroy(&buf);
	assert_true(count(&rig, 1, COUNT_REFUSED_MESSAGES) > 0);
	rig_clear(&rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_fault_between_regions),
		cmocka_unit_test(a_part_that_could_not_be_sent_is_missed),
		cmocka_unit_test(test_request_shed_after_forward_is_not_reported_not_run),
		cmocka_unit_test(test_request_shed_from_queue_is_forwarded),
		cmocka_unit_test(test_home_bound_and_unrepeatable_calls_are_not_forwarded),
		cmocka_unit_test(test_wrong_region_is_detected_from_headers),
		cmocka_unit_test(test_forwarded_requests_that_break_a_rule_are_refused),
		cmocka_unit_test(test_duplicate_and_late_requests_are_neither_started_nor_refused),
		cmocka_unit_test(test_unmatched_responses_are_dropped),
		cmocka_unit_test(test_hang_up_cancels_in_the_remote_region),
		cmocka_unit_test(test_credit_bounds_buffered_bytes_of_slow_reader),
		cmocka_unit_test(test_forwarded_request_of_silent_sender_is_abandoned),
		cmocka_unit_test(test_forwarded_request_of_paused_caller_is_kept),
		cmocka_unit_test(
			test_draining_entry_refuses_new_forwarded_requests_and_finishes_others),
		cmocka_unit_test(test_damaged_messages_do_no_harm),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
