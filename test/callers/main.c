/*
 * Callers that leave in each way, writers of the store that leave odd items, and a planned stop,
 * against real instances with the store and the upstreams of the soak. Nothing else goes wrong.
 */
#include "../act.h"
#include "../soak/scenario.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define CALLERS 24		/* fewer than the upstreams of a region take at once */
#define NOTICED (300 * AP_MSEC) /* by an instance and its upstreams */
#define CPU_MAX (10 * AP_MSEC)	/* of an idle second, beyond an instance without callers */
#define STOP_MAX (8 * AP_SEC)	/* the grace period of the settings */
#define LOST_TIME (200 * AP_MSEC)
#define NESTED 100000
#define LONG_WORK_MS 2700 /* of the 3000 until the deadline */

static void hold_all(soak_t *s, bool holds)
{
	for (size_t i = 0; i < s->n_replicas; i++)
		s->replicas[i].holds = holds;
}

static unsigned running(const soak_t *s)
{
	unsigned n = 0;

	for (size_t i = 0; i < s->n_replicas; i++)
		n += s->replicas[i].running;
	return n;
}

/* Processor time of an instance in the next second. */
static ap_usec_t cpu_of_a_second(soak_t *s, const instance_t *inst)
{
	struct timespec from;
	struct timespec to;
	clockid_t clock;

	assert_int_equal(clock_getcpuclockid(inst->pid, &clock), 0);
	clock_gettime(clock, &from);
	scenario_run(s, AP_SEC);
	clock_gettime(clock, &to);
	return (to.tv_sec - from.tv_sec) * AP_SEC + (to.tv_nsec - from.tv_nsec) / 1000;
}

typedef struct raw_caller {
	int fd;
	request_t *q;
} raw_caller_t;

static raw_caller_t send_raw(soak_t *s, const instance_t *inst)
{
	raw_caller_t c = {.fd = act_connect(inst->port), .q = caller_request(s, SOAK_IDEMPOTENT)};
	char text[256];

	snprintf(text, sizeof(text),
		 "GET /idem/ HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: %s\r\n"
		 "Deadline-Ms: 3000\r\n\r\n",
		 c.q->id);
	act_send(c.fd, text);
	return c;
}

static const act_t departures[] = {ACT_RESET, ACT_CLOSE, ACT_RESET, ACT_HALF_CLOSE,
				   ACT_PIPELINE_RESET};

#define N_DEPARTURES (sizeof(departures) / sizeof(departures[0]))

static void leave(raw_caller_t *c, size_t n)
{
	c->fd = act_perform(c->fd, departures[n % N_DEPARTURES]);
	if (c->fd >= 0)
		close(c->fd);
}

/*
 * Guards against GONE: requests of callers that had left by a reset stayed at silent upstreams and
 * were sent to others, and the instance spun.
 */
static void test_what_callers_leave_ends_at_the_upstreams(void **state)
{
	soak_t *s = *state;
	instance_t *inst = &s->instances[0];
	ap_usec_t idle = cpu_of_a_second(s, inst);
	raw_caller_t callers[CALLERS];
	ap_usec_t used;
	unsigned sent;

	hold_all(s, true);
	for (size_t i = 0; i < CALLERS; i++)
		callers[i] = send_raw(s, inst);
	scenario_run(s, NOTICED);
	assert_true(running(s) >= CALLERS);
	sent = s->arrivals;
	for (size_t i = 0; i < CALLERS; i++)
		leave(&callers[i], i);
	scenario_run(s, NOTICED);
	assert_int_equal(running(s), 0);
	assert_int_equal(s->arrivals, sent);
	used = cpu_of_a_second(s, inst);
	if (used > idle + CPU_MAX)
		soak_finding(s, "busy: %lld us of an idle second, %lld before", (long long)used,
			     (long long)idle);
	assert_int_equal(s->arrivals, sent);
	assert_int_equal(s->findings, 0);
}

static unsigned running_in(const soak_t *s, unsigned region)
{
	unsigned n = 0;

	for (size_t i = 0; i < s->n_replicas; i++)
		n += s->replicas[i].region == region ? s->replicas[i].running : 0;
	return n;
}

/* Guards against GONE: likewise, where another instance has sent the requests on, in its region. */
static void test_what_callers_leave_ends_behind_another_instance(void **state)
{
	soak_t *s = *state;
	instance_t *inst = &s->instances[0];
	raw_caller_t callers[CALLERS];
	ap_usec_t until;
	unsigned sent;

	for (size_t i = 0; i < s->n_replicas; i++) {
		if (s->replicas[i].region == inst->region)
			replica_pause(s, i, ap_now() + 10 * AP_SEC);
	}
	hold_all(s, true);
	for (size_t i = 0; i < CALLERS; i++) {
		callers[i] = send_raw(s, inst);
		scenario_run(s, SCENARIO_TURN);
	}
	/* They have a deadline of 3 s. */
	until = ap_now() + AP_SEC;
	while (running_in(s, !inst->region) < CALLERS && ap_now() < until)
		scenario_run(s, SCENARIO_TURN);
	print_message("at work %u here, %u in the other region, %u arrivals\n",
		      running_in(s, inst->region), running_in(s, !inst->region), s->arrivals);
	assert_int_equal(running_in(s, inst->region), 0);
	assert_true(running_in(s, !inst->region) >= CALLERS);
	sent = s->arrivals;
	for (size_t i = 0; i < CALLERS; i++)
		leave(&callers[i], i);
	scenario_run(s, NOTICED);
	assert_int_equal(running(s), 0);
	scenario_run(s, AP_SEC);
	assert_int_equal(running(s), 0);
	assert_int_equal(s->arrivals, sent);
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against GONE: an instance that had stood still sent on the requests of callers that had
 * left meanwhile.
 */
static void test_a_backlog_is_sent_on_only_for_callers_that_wait(void **state)
{
	soak_t *s = *state;
	instance_t *inst = &s->instances[0];
	raw_caller_t callers[CALLERS];

	instance_signal(inst, SIGSTOP);
	for (size_t i = 0; i < CALLERS; i++)
		callers[i] = send_raw(s, inst);
	for (size_t i = 0; i < CALLERS; i += 2)
		leave(&callers[i], i / 2);
	scenario_run(s, NOTICED);
	instance_signal(inst, SIGCONT);
	scenario_run(s, AP_SEC);
	for (size_t i = 0; i < CALLERS; i++) {
		if ((callers[i].q->arrivals > 0) != (i % 2 == 1))
			soak_finding(s, "gone: %s reached upstreams %u times", callers[i].q->id,
				     callers[i].q->arrivals);
		if (i % 2 == 1)
			close(callers[i].fd);
	}
	assert_int_equal(s->findings, 0);
}

/* Items of another writer among those of upstreams, instances and data centres. */
static void put_odd_items(soak_t *s, unsigned number)
{
	static const char *const values[] = {
		"{\"service\":\"engines\",\"addr\":\"127.0.0.1:65536\",\"zone\":\"north-1\"}",
		"{\"service\":\"engines\",\"addr\":\"127.0.0.1:1\",\"zone\":\"north-1\","
		"\"state\":\"ready\",\"slots\":1e18,\"coldLeftMs\":1e300,\"drainLeftMs\":-1e300}",
		"{\"service\":\"desk\",\"addr\":\"127.0.0.1:1\",\"zone\":\"nowhere\","
		"\"state\":7,\"coldLeftMs\":18446744073709551616}",
		"{\"region\":\"north\",\"data_centre\":\"north-1\",\"host\":\"no-address\","
		"\"caller_port\":1,\"peer_port\":65535,\"cores\":1e308}",
		"{\"region\":\"north\",\"data_centre\":\"north-1\",\"host\":\"127.0.0.9\","
		"\"caller_port\":1,\"peer_port\":65535,\"cores\":-1,\"wire\":[-1,1e300]}",
		"\xff\xfe",
		"",
	};
	static const char *const prefixes[] = {"servers/", "arbutuspond/instances/", "op/evacuate/",
					       "op/"};
	char *nested = malloc(2 * NESTED + 1);
	char key[96];

	memset(nested, '[', NESTED);
	memset(nested + NESTED, ']', NESTED);
	nested[2 * NESTED] = '\0';
	for (size_t p = 0; p < sizeof(prefixes) / sizeof(prefixes[0]); p++) {
		for (size_t v = 0; v < sizeof(values) / sizeof(values[0]); v++) {
			snprintf(key, sizeof(key), "%sodd-%u-%zu", prefixes[p], number, v);
			store_put(s->store, key, values[v], 0);
		}
		snprintf(key, sizeof(key), "%sodd-%u-nested", prefixes[p], number);
		store_put(s->store, key, nested, 0);
	}
	free(nested);
}

static void check_all_follow(soak_t *s, const char *when)
{
	publish_config(s);
	scenario_run(s, 3 * AP_SEC); /* apply_ms of the settings */
	for (size_t i = 0; i < s->n_instances; i++) {
		if (s->instances[i].pid <= 0 || s->instances[i].version != s->version)
			soak_finding(s, "odd: %s, %s has version %llu of %llu", when,
				     s->instances[i].id,
				     (unsigned long long)s->instances[i].version,
				     (unsigned long long)s->version);
	}
}

/*
 * Guards against LOST and CONFIG: one odd item in the store ended the processes that read it, or
 * kept them from following the store.
 */
static void test_odd_items_of_the_store_end_and_hide_nothing(void **state)
{
	soak_t *s = *state;
	instance_t *restarted = &s->instances[1];

	/* In the changes that are watched, and relayed to the others. */
	put_odd_items(s, 1);
	check_all_follow(s, "watched");
	/* In the list. */
	instance_signal(restarted, SIGKILL);
	scenario_run(s, AP_SEC);
	assert_int_equal(restarted->pid, 0);
	instance_start(restarted);
	scenario_run(s, SCENARIO_WARM_UP);
	put_odd_items(s, 2);
	check_all_follow(s, "listed");
	s->served = 0;
	s->sent = 0;
	for (int i = 0; i < 100; i++) {
		caller_send(s);
		scenario_run(s, SCENARIO_TURN);
	}
	scenario_run(s, 3 * AP_SEC);
	if (s->served < s->sent)
		soak_finding(s, "odd: %u of %u requests served", s->served, s->sent);
	assert_int_equal(s->findings, 0);
}

/* A caller that sends one request after the other until it can't connect any more. */
typedef struct stayer {
	soak_t *soak;
	const instance_t *inst;
	request_t *q;
	int status;
	bool stopped;
	ap_usec_t last_sent;
	unsigned sent;
	unsigned served;
	unsigned refused;
	unsigned unsent; /* the connection closed with the request unread */
} stayer_t;

static void send_next(stayer_t *c);

static void on_head(void *ctx, const ap_http_head_t *head)
{
	((stayer_t *)ctx)->status = head->status;
}

static void check_end(stayer_t *c, ap_http_end_t end)
{
	ap_usec_t took = ap_now() - c->last_sent;

	if (end == AP_HTTP_COMPLETE && c->status == 200)
		c->served++;
	else if (end == AP_HTTP_COMPLETE && c->status == 503 && c->q->runs == 0)
		c->refused++;
	else if (end != AP_HTTP_COMPLETE && c->q->arrivals == 0 && took < LOST_TIME)
		c->unsent++;
	else
		soak_finding(c->soak,
			     "lost: %s ended as %d, status %d, after %lld ms; it ran %u times",
			     c->q->id, end, c->status, (long long)(took / AP_MSEC), c->q->runs);
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	stayer_t *c = ctx;

	c->q->done = true;
	if (end == AP_HTTP_UNREACHABLE || !written) {
		c->stopped = true;
		return;
	}
	check_end(c, end);
	send_next(c);
}

static void send_next(stayer_t *c)
{
	ap_http_header_t headers[] = {
		{"Host", "soak.example"}, {"Request-Id", NULL}, {"Deadline-Ms", "3000"}};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = c->inst->port,
		.method = EVHTTP_REQ_POST,
		.target = "/once/",
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
		.body = "body",
		.len = 4,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = 2 * STOP_MAX,
		.between_chunks = 2 * STOP_MAX,
		.idle = 10 * AP_SEC,
		.response_max = 4096,
		.ctx = c,
		.head = on_head,
		.end = on_end,
	};

	c->q = caller_request(c->soak, SOAK_ONCE);
	c->status = 0;
	c->last_sent = ap_now();
	headers[1].value = c->q->id;
	c->sent++;
	c->stopped = !ap_http_fetch(c->soak->client, &config);
}

/* Stops an instance under the load of callers that come @apart and stay as long as they can. */
static void stop_under_load(soak_t *s, ap_usec_t apart)
{
	instance_t *inst = &s->instances[0];
	stayer_t callers[CALLERS];
	stayer_t sum = {0};
	ap_usec_t stopped;

	for (size_t i = 0; i < CALLERS; i++) {
		callers[i] = (stayer_t){.soak = s, .inst = inst};
		send_next(&callers[i]);
		scenario_run(s, apart);
	}
	scenario_run(s, AP_SEC);
	stopped = ap_now();
	instance_signal(inst, SIGTERM);
	while (inst->pid > 0 && ap_now() - stopped < STOP_MAX)
		scenario_run(s, SCENARIO_TURN);
	assert_int_equal(inst->pid, 0);
	print_message("ended after %lld ms\n", (long long)((ap_now() - stopped) / AP_MSEC));
	scenario_run(s, AP_SEC);
	for (size_t i = 0; i < CALLERS; i++) {
		assert_true(callers[i].stopped);
		assert_true(callers[i].last_sent > stopped);
		sum.sent += callers[i].sent;
		sum.served += callers[i].served;
		sum.refused += callers[i].refused;
		sum.unsent += callers[i].unsent;
	}
	print_message("%u requests: %u served, %u refused, %u unread\n", sum.sent, sum.served,
		      sum.refused, sum.unsent);
	assert_int_equal(s->findings, 0);
}

/*
 * Guards against LOST: requests that came late in the grace period of a planned stop were taken and
 * cut off with the process, among them some that may not be repeated.
 */
static void test_a_planned_stop_cuts_nothing_off(void **state)
{
	soak_t *s = *state;

	for (size_t i = 0; i < s->n_replicas; i++)
		s->replicas[i].mode = REPLICA_SLOW; /* 40 to 520 ms */
	stop_under_load(s, 0);
}

/* Likewise, where the last requests that are taken end late in the grace period. */
static void test_a_planned_stop_cuts_no_long_request_off(void **state)
{
	soak_t *s = *state;

	for (size_t i = 0; i < s->n_replicas; i++)
		s->replicas[i].work_ms = LONG_WORK_MS;
	/* So that one ends, and the next one is sent, at any time. */
	stop_under_load(s, LONG_WORK_MS * AP_MSEC / CALLERS);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		SCENARIO(test_what_callers_leave_ends_at_the_upstreams),
		SCENARIO(test_what_callers_leave_ends_behind_another_instance),
		SCENARIO(test_a_backlog_is_sent_on_only_for_callers_that_wait),
		SCENARIO(test_odd_items_of_the_store_end_and_hide_nothing),
		SCENARIO(test_a_planned_stop_cuts_nothing_off),
		SCENARIO(test_a_planned_stop_cuts_no_long_request_off),
	};

	scenario_program = argc > 1 ? argv[1] : "";
	return cmocka_run_group_tests(tests, NULL, NULL);
}
