/*
 * Decisions of 29 instances before two plain upstreams, from half of the upstreams' throughput to
 * nearly three times as much. Guards against requests that upstreams turn away, and against
 * requests that are refused although an upstream has a free slot. There is no network: a step is a
 * millisecond, and announcements arrive 0.25 to 0.7 s after they were sent, so that with the time
 * between announcements what an instance knows is 0.25 to 1 s old.
 */
#include "fleet_net.h"

#include <math.h>

#define NORTH 29
#define SOUTH 3
#define UPSTREAMS 4 /* two in each region */
#define SLOTS 6
#define QUEUE 24
#define WORK (60 * AP_MSEC)
#define ONE_WAY (57 * AP_MSEC)	    /* between the regions */
#define CAPACITY (2 * SLOTS / 0.06) /* of two upstreams, requests per second */
#define SOUTH_LOAD 0.2		    /* of its own, so that the other region has free capacity */
#define WARM_UP (4 * AP_SEC)	    /* not counted: rates are being learned */
#define DURATION (16 * AP_SEC)
#define ACTIVE_MAX 4096
#define MAIL_MAX 16384
#define WAITS_MAX 16384
#define DELAY_MIN (250 * AP_MSEC)
#define DELAY_SPAN_MS 450

/**
 * struct load - what one run is about.
 * @load: requests in region north, as a share of its upstreams' throughput
 * @speed: of the two upstreams in north
 * @cut_off: instances of north whose messages are lost, and that get none, from @cut_after on
 * @first_share: share of the load at the first instance; 0 for an equal share
 */
typedef struct load {
	const char *name;
	double load;
	double speed[2];
	size_t cut_off;
	ap_usec_t cut_after;
	double first_share;
} load_t;

/* Requests that arrived in north after the warm-up; each has one of the first three ends. */
typedef struct counts {
	unsigned arrived;
	unsigned served;
	unsigned refused;     /* by an instance, or by an upstream without a second attempt left */
	unsigned open;	      /* not ended when the run ended */
	unsigned turned_away; /* answers of upstreams that have no room, each attempt counted */
	unsigned while_free;  /* of those refused: an upstream of north had a free slot */
	unsigned sent_south;
	unsigned by_speed[2]; /* served by each upstream of north */
	size_t n_waits;
	ap_usec_t waits[WAITS_MAX]; /* time until the response less the work at speed 1 */
} counts_t;

typedef enum stage {
	STAGE_FREE,
	STAGE_TO_SOUTH,
	STAGE_AT_UPSTREAM,
	STAGE_TO_NORTH,
} stage_t;

/* A request; one that was forwarded is in flight at @origin and at @sender. */
typedef struct active {
	stage_t stage;
	bool counted;
	bool running;
	bool has_sender;
	bool refused;
	size_t origin;
	size_t sender;
	size_t upstream;
	uint64_t order; /* at the upstream */
	unsigned attempts;
	ap_usec_t arrived;
	ap_usec_t at; /* when the stage ends; AP_NEVER in an upstream's queue */
	ap_dispatch_t req;
	ap_inflight_t inflight;
	ap_inflight_t far; /* of @sender */
} active_t;

typedef struct mail {
	ap_usec_t at;
	message_t *message;
} mail_t;

typedef struct run {
	net_t net;
	const load_t *load;
	ap_rng_t rng;
	ap_usec_t now;
	uint64_t order;
	active_t *active;
	mail_t *mail;
	size_t n_mail;
	counts_t *counts;
} run_t;

static const ap_plan_pool_t pool = {.name = "desk", .slots = SLOTS};
static const ap_plan_route_t route = {
	.name = "call",
	.kind = AP_KIND_IDEMPOTENT,
	.timeout = 2 * AP_SEC,
	.objective = 400 * AP_MSEC,
	.attempts = 2,
};

static uint64_t seed = 7; /* of the arrivals; or the first argument */

static void upstream_id(char id[AP_NAME_MAX], size_t u)
{
	snprintf(id, AP_NAME_MAX, "desk-%s-%zu", u < 2 ? "north" : "south", u % 2);
}

static size_t upstream_of(const ap_target_t *target)
{
	char id[AP_NAME_MAX];

	for (size_t u = 0; u < UPSTREAMS; u++) {
		upstream_id(id, u);
		if (strcmp(id, target->id) == 0)
			return u;
	}
	fail_msg("%s is no upstream", target->id);
	return 0;
}

static size_t instance_of(const run_t *run, const ap_target_t *target)
{
	size_t i = 0;

	while (i < run->net.n && strcmp(run->net.senders[i].id, target->id) != 0)
		i++;
	assert_true(i < run->net.n);
	return i;
}

static size_t count_at(const run_t *run, size_t upstream, bool running)
{
	size_t n = 0;

	for (size_t i = 0; i < ACTIVE_MAX; i++) {
		const active_t *a = &run->active[i];

		n += a->stage == STAGE_AT_UPSTREAM && a->upstream == upstream &&
		     a->running == running;
	}
	return n;
}

static void start_work(run_t *run, active_t *a)
{
	double speed = a->upstream < 2 ? run->load->speed[a->upstream] : 1;

	a->running = true;
	a->at = run->now + (ap_usec_t)((double)WORK / speed);
}

/* Returns false if the upstream turns the request away. */
static bool reach_upstream(run_t *run, active_t *a, const ap_target_t *target)
{
	a->upstream = upstream_of(target);
	a->stage = STAGE_FREE;
	a->running = false;
	a->order = ++run->order;
	a->at = AP_NEVER;
	if (count_at(run, a->upstream, true) < SLOTS)
		start_work(run, a);
	else if (count_at(run, a->upstream, false) >= QUEUE)
		return false;
	a->stage = STAGE_AT_UPSTREAM;
	return true;
}

/* A slot of @upstream is free: the request that has waited there the longest gets it. */
static void start_next(run_t *run, size_t upstream)
{
	active_t *next = NULL;

	for (size_t i = 0; i < ACTIVE_MAX; i++) {
		active_t *a = &run->active[i];

		if (a->stage == STAGE_AT_UPSTREAM && a->upstream == upstream && !a->running &&
		    (!next || a->order < next->order))
			next = a;
	}
	if (next)
		start_work(run, next);
}

static void refuse(run_t *run, active_t *a)
{
	a->stage = STAGE_FREE;
	if (!a->counted)
		return;
	run->counts->refused++;
	run->counts->while_free += count_at(run, 0, true) < SLOTS || count_at(run, 1, true) < SLOTS;
}

/* Chooses a target at the first instance, again after a refusal while attempts are left. */
static void place(run_t *run, active_t *a)
{
	ap_fleet_t *f = run->net.fleets[a->origin];
	ap_target_t target;

	while (a->attempts < route.attempts) {
		if (a->attempts > 0 && !ap_fleet_may_retry(f, pool.name, run->now))
			break;
		if (ap_fleet_choose(f, &a->req, run->now, &target) != AP_FLEET_OK)
			break;
		a->attempts++;
		ap_fleet_sent(f, &a->req, &target, run->now, &a->inflight);
		ap_copy_name(a->req.tried[a->req.n_tried++], AP_NAME_MAX, target.id);
		if (target.remote) {
			a->sender = instance_of(run, &target);
			a->stage = STAGE_TO_SOUTH;
			a->at = run->now + ONE_WAY;
			run->counts->sent_south += a->counted;
			return;
		}
		if (reach_upstream(run, a, &target))
			return;
		run->counts->turned_away += a->counted;
		ap_fleet_done(f, &a->inflight, AP_DISPATCH_REFUSED, run->now);
	}
	refuse(run, a);
}

static void arrive_south(run_t *run, active_t *a)
{
	ap_fleet_t *f = run->net.fleets[a->sender];
	ap_dispatch_t req = a->req;
	ap_target_t target;

	req.local_only = true;
	req.n_tried = 0;
	if (ap_fleet_choose(f, &req, run->now, &target) == AP_FLEET_OK) {
		ap_fleet_sent(f, &req, &target, run->now, &a->far);
		a->has_sender = true;
		if (reach_upstream(run, a, &target))
			return;
		run->counts->turned_away += a->counted;
		ap_fleet_done(f, &a->far, AP_DISPATCH_REFUSED, run->now);
		a->has_sender = false;
	}
	a->refused = true;
	a->stage = STAGE_TO_NORTH;
	a->at = run->now + ONE_WAY;
}

static void finish(run_t *run, active_t *a)
{
	ap_fleet_t *f = run->net.fleets[a->origin];

	ap_fleet_first_chunk(f, &a->inflight, run->now);
	ap_fleet_done(f, &a->inflight, AP_DISPATCH_DONE, run->now);
	a->stage = STAGE_FREE;
	if (!a->counted)
		return;
	run->counts->served++;
	if (a->upstream < 2)
		run->counts->by_speed[a->upstream]++;
	assert_true(run->counts->n_waits < WAITS_MAX);
	run->counts->waits[run->counts->n_waits++] = run->now - a->arrived - WORK;
}

static void leave_upstream(run_t *run, active_t *a)
{
	size_t upstream = a->upstream;

	if (!a->has_sender) {
		finish(run, a);
	} else {
		ap_fleet_first_chunk(run->net.fleets[a->sender], &a->far, run->now);
		ap_fleet_done(run->net.fleets[a->sender], &a->far, AP_DISPATCH_DONE, run->now);
		a->stage = STAGE_TO_NORTH;
		a->at = run->now + ONE_WAY;
	}
	start_next(run, upstream);
}

static void arrive_north(run_t *run, active_t *a)
{
	if (!a->refused) {
		finish(run, a);
		return;
	}
	ap_fleet_done(run->net.fleets[a->origin], &a->inflight, AP_DISPATCH_REFUSED, run->now);
	a->refused = false;
	place(run, a);
}

static void step_requests(run_t *run)
{
	for (size_t i = 0; i < ACTIVE_MAX; i++) {
		active_t *a = &run->active[i];

		if (a->stage == STAGE_FREE || a->at > run->now)
			continue;
		if (a->stage == STAGE_TO_SOUTH)
			arrive_south(run, a);
		else if (a->stage == STAGE_AT_UPSTREAM)
			leave_upstream(run, a);
		else
			arrive_north(run, a);
	}
}

static void arrive(run_t *run, size_t origin, bool counted)
{
	size_t i = 0;

	while (i < ACTIVE_MAX && run->active[i].stage != STAGE_FREE)
		i++;
	assert_true(i < ACTIVE_MAX);
	run->active[i] = (active_t){
		.origin = origin,
		.counted = counted,
		.arrived = run->now,
		.req = world_request(&route, &pool, run->now),
	};
	run->active[i].req.tokens_in = 0; /* plain requests have no prompt */
	run->active[i].req.tokens_out = 0;
	run->counts->arrived += counted;
	ap_fleet_count_request(run->net.fleets[origin], pool.name, run->now);
	place(run, &run->active[i]);
}

/* Arrivals at random times: in each step, each of ten parts of it has one or none. */
static void arrivals(run_t *run)
{
	bool counted = run->now >= WORLD_START + WARM_UP;

	for (int part = 0; part < 10; part++) {
		if (ap_rng_unit(&run->rng) < run->load->load * CAPACITY / 10000) {
			bool first = run->load->first_share > 0 &&
				     ap_rng_unit(&run->rng) < run->load->first_share;

			arrive(run, first ? 0 : ap_rng_below(&run->rng, NORTH), counted);
		}
		if (ap_rng_unit(&run->rng) < SOUTH_LOAD * CAPACITY / 10000)
			arrive(run, NORTH + ap_rng_below(&run->rng, SOUTH), false);
	}
}

static bool is_cut_off(const run_t *run, const char *id)
{
	return (size_t)strtoul(id + 1, NULL, 10) < run->load->cut_off &&
	       run->now >= WORLD_START + run->load->cut_after;
}

/* Queues what an instance sent, with a delay that is the same for all messages of a pair. */
static void post(run_t *run)
{
	for (size_t i = 0; i < run->net.n_messages; i++) {
		const message_t *m = &run->net.messages[i];
		uint64_t pair = ap_hash_str(m->from, ap_hash_str(m->to, 0));
		mail_t *mail = &run->mail[run->n_mail];

		if (is_cut_off(run, m->from) || is_cut_off(run, m->to))
			continue;
		assert_true(++run->n_mail <= MAIL_MAX);
		mail->at = run->now + DELAY_MIN + (ap_usec_t)(pair % DELAY_SPAN_MS) * AP_MSEC;
		mail->message = malloc(sizeof(*m));
		assert_non_null(mail->message);
		*mail->message = *m;
	}
	run->net.n_messages = 0;
}

static void deliver(run_t *run)
{
	size_t kept = 0;

	for (size_t i = 0; i < run->n_mail; i++) {
		message_t *m = run->mail[i].message;

		if (run->mail[i].at > run->now) {
			run->mail[kept++] = run->mail[i];
			continue;
		}
		assert_true(ap_fleet_receive(run->net.fleets[strtoul(m->to + 1, NULL, 10)], m->from,
					     m->data, m->len, run->now));
		free(m);
	}
	run->n_mail = kept;
}

/* Each instance announces and ticks 20 times a second, not all in the same step. */
static void step_instances(run_t *run, int64_t ms)
{
	for (size_t i = 0; i < run->net.n; i++) {
		ap_peer_port_t port = {.ctx = &run->net.senders[i], .send = net_send};

		if ((ms + (int64_t)i * 7) % 50 != 0)
			continue;
		ap_fleet_announce(run->net.fleets[i], &port, run->now);
		ap_fleet_tick(run->net.fleets[i], run->now);
	}
	post(run);
	deliver(run);
}

static int compare_times(const void *a, const void *b)
{
	ap_usec_t x = *(const ap_usec_t *)a;
	ap_usec_t y = *(const ap_usec_t *)b;

	return (x > y) - (x < y);
}

static double wait_ms(counts_t *c, double share)
{
	size_t k = (size_t)(share * (double)c->n_waits);

	return c->n_waits == 0 ? 0 : (double)c->waits[k] / AP_MSEC;
}

static void print(const load_t *load, counts_t *c)
{
	qsort(c->waits, c->n_waits, sizeof(*c->waits), compare_times);
	printf("%-18s arrived %u served %u refused %u (slots free %u) turned away %u "
	       "sent south %u by upstream %u/%u wait 50th %.0f 99th %.0f ms\n",
	       load->name, c->arrived, c->served, c->refused, c->while_free, c->turned_away,
	       c->sent_south, c->by_speed[0], c->by_speed[1], wait_ms(c, 0.5), wait_ms(c, 0.99));
}

static void play(const load_t *load, counts_t *counts)
{
	run_t run = {.load = load, .counts = counts, .now = WORLD_START};

	*counts = (counts_t){0};
	ap_rng_seed(&run.rng, seed);
	run.active = calloc(ACTIVE_MAX, sizeof(*run.active));
	run.mail = calloc(MAIL_MAX, sizeof(*run.mail));
	assert_non_null(run.active);
	assert_non_null(run.mail);
	net_begin(&run.net, NORTH, SOUTH);
	for (size_t i = 0; i < run.net.n; i++) {
		for (size_t u = 0; u < UPSTREAMS; u++) {
			char id[AP_NAME_MAX];
			ap_replica_entry_t e;

			upstream_id(id, u);
			e = world_entry(id, pool.name, u < 2 ? "north" : "south");
			e.slots = SLOTS;
			ap_fleet_update_replica(run.net.fleets[i], &e, WORLD_START);
		}
	}
	for (int64_t ms = 0; ms < DURATION / AP_MSEC; ms++) {
		run.now = WORLD_START + ms * AP_MSEC;
		step_requests(&run);
		step_instances(&run, ms);
		arrivals(&run);
	}
	for (size_t i = 0; i < ACTIVE_MAX; i++)
		counts->open += run.active[i].stage != STAGE_FREE && run.active[i].counted;
	for (size_t i = 0; i < run.n_mail; i++)
		free(run.mail[i].message);
	net_end(&run.net);
	free(run.active);
	free(run.mail);
	print(load, counts);
	/* Each request has one end. */
	assert_int_equal(counts->arrived, counts->served + counts->refused + counts->open);
}

static counts_t counts;

/* Guards against upstreams that turn requests away because nothing divides their room. */
static void check_few_turned_away(void)
{
	assert_true(counts.turned_away * 50 <= counts.arrived);
}

/*
 * Guards against refusals while slots are free: the upstreams of north served at least @share of
 * their throughput, and nearly all refusals came while all slots were in use.
 */
static void check_room_is_used(double share)
{
	double room = CAPACITY * (double)(DURATION - WARM_UP) / AP_SEC;

	assert_true(counts.by_speed[0] + counts.by_speed[1] >= share * room);
	assert_true(counts.while_free * 20 <= counts.arrived);
}

static void test_half(void **state)
{
	const load_t load = {.name = "0.5", .load = 0.5, .speed = {1, 1}};

	(void)state;
	play(&load, &counts);
	assert_int_equal(counts.refused, 0);
	assert_int_equal(counts.turned_away, 0);
	assert_int_equal(counts.sent_south, 0);
}

static void test_nearly_full(void **state)
{
	const load_t load = {.name = "0.9", .load = 0.9, .speed = {1, 1}};

	(void)state;
	play(&load, &counts);
	assert_int_equal(counts.refused, 0);
	check_few_turned_away();
}

static void test_over(void **state)
{
	const load_t load = {.name = "1.3", .load = 1.3, .speed = {1, 1}};

	(void)state;
	play(&load, &counts);
	/* The other region has room for all that is beyond the throughput here. */
	check_room_is_used(0.95);
	check_few_turned_away();
}

static void test_far_over(void **state)
{
	const load_t load = {.name = "2.8", .load = 2.8, .speed = {1, 1}};

	(void)state;
	play(&load, &counts);
	check_room_is_used(0.95);
	check_few_turned_away();
}

static void test_two_speeds(void **state)
{
	const load_t load = {.name = "0.9 speeds 0.7/1.7", .load = 1.08, .speed = {0.7, 1.7}};

	(void)state;
	play(&load, &counts);
	/* Requests go to the faster one more often. */
	assert_true(counts.by_speed[1] > counts.by_speed[0]);
	assert_int_equal(counts.refused, 0);
	check_few_turned_away();
}

static void test_third_cut_off(void **state)
{
	const load_t load = {
		.name = "1.3 third cut off", .load = 1.3, .speed = {1, 1}, .cut_off = NORTH / 3};

	(void)state;
	play(&load, &counts);
	check_room_is_used(0.95);
	check_few_turned_away();
}

/* Instances that have heard the others before must not take all of the room once they are alone. */
static void test_third_cut_off_later(void **state)
{
	const load_t load = {.name = "1.3 cut off later",
			     .load = 1.3,
			     .speed = {1, 1},
			     .cut_off = NORTH / 3,
			     .cut_after = 6 * AP_SEC};

	(void)state;
	play(&load, &counts);
	check_room_is_used(0.95);
	check_few_turned_away();
}

static void test_half_at_one(void **state)
{
	const load_t load = {
		.name = "1.3 half at one", .load = 1.3, .speed = {1, 1}, .first_share = 0.5};

	(void)state;
	play(&load, &counts);
	check_room_is_used(0.95);
	check_few_turned_away();
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_half),
		cmocka_unit_test(test_nearly_full),
		cmocka_unit_test(test_over),
		cmocka_unit_test(test_far_over),
		cmocka_unit_test(test_two_speeds),
		cmocka_unit_test(test_third_cut_off),
		cmocka_unit_test(test_third_cut_off_later),
		cmocka_unit_test(test_half_at_one),
	};

	if (argc > 1)
		seed = strtoull(argv[1], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
