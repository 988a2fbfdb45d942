/*
 * The plain service of one region is asked for twice what it can take, while that of another region
 * has room. Its upstreams refuse what they have no room for, so that they never have a queue that
 * would tell of the load. Guards against instances that go on sending there and have callers come
 * again, although the other region would serve them in time.
 */
#include "fleet_net.h"
#include "fake_sim.h"

#define NORTH 8
#define SOUTH 8
#define UPSTREAMS 2 /* of each region */
#define SLOTS 6
#define WORK (60 * AP_MSEC)
#define ACROSS (55 * AP_MSEC) /* one way, between regions */
#define TICK (100 * AP_MSEC)
#define SPAN (12 * AP_SEC)
#define OBJECTIVE (500 * AP_MSEC)

static const ap_plan_pool_t desk = {.name = "desk", .slots = SLOTS};
static const ap_plan_route_t route = {
	.name = "label",
	.kind = AP_KIND_ONCE,
	.timeout = 5 * AP_SEC,
	.objective = OBJECTIVE,
	.attempts = 2,
};

typedef struct world {
	fake_sim_t sim;
	net_t net;
	unsigned running[2][UPSTREAMS]; /* by region */
	unsigned asked[2];
	unsigned refused[2];
	unsigned late;
} world_t;

typedef struct sent {
	world_t *w;
	size_t from;
	size_t region; /* where it is served */
	size_t upstream;
	ap_usec_t arrived;
	ap_inflight_t inflight;
	ap_inflight_t hop; /* of a forwarded request */
	size_t via;
	bool forwarded;
} sent_t;

static void finish(sent_t *s, ap_dispatch_result_t end, ap_usec_t now)
{
	world_t *w = s->w;

	ap_fleet_done(w->net.fleets[s->via], &s->inflight, end, now);
	if (s->forwarded)
		ap_fleet_done(w->net.fleets[s->from], &s->hop, end, now);
	if (end == AP_DISPATCH_REFUSED)
		w->refused[s->from >= NORTH]++;
	else
		w->late += now - s->arrived + (s->forwarded ? ACROSS : 0) > OBJECTIVE;
}

static void on_done(void *arg, void *data)
{
	sent_t *s = data;

	(void)arg;
	s->w->running[s->region][s->upstream]--;
	finish(s, AP_DISPATCH_DONE, s->w->sim.now);
}

static void arrive(sent_t *s, const ap_target_t *target)
{
	world_t *w = s->w;
	sent_t *kept;

	s->upstream = (size_t)(target->id[strlen(target->id) - 1] - '0');
	if (w->running[s->region][s->upstream] >= SLOTS) {
		finish(s, AP_DISPATCH_REFUSED, w->sim.now);
		return;
	}
	w->running[s->region][s->upstream]++;
	kept = calloc(1, sizeof(*kept));
	assert_non_null(kept);
	*kept = *s;
	fake_at(&w->sim, w->sim.now + WORK, on_done, NULL, kept);
}

static void serve_here(sent_t *s, bool local_only)
{
	ap_fleet_t *f = s->w->net.fleets[s->via];
	ap_dispatch_t req = world_request(&route, &desk, s->w->sim.now);
	ap_target_t target;

	req.local_only = local_only;
	if (ap_fleet_choose(f, &req, s->w->sim.now, &target) != AP_FLEET_OK || target.remote) {
		if (s->forwarded)
			ap_fleet_done(s->w->net.fleets[s->from], &s->hop, AP_DISPATCH_REFUSED,
				      s->w->sim.now);
		s->w->refused[s->from >= NORTH]++;
		return;
	}
	ap_fleet_sent(f, &req, &target, s->w->sim.now, &s->inflight);
	arrive(s, &target);
}

static void on_forwarded(void *arg, void *data)
{
	(void)arg;
	serve_here(data, true);
}

static void ask(world_t *w, size_t from)
{
	ap_fleet_t *f = w->net.fleets[from];
	ap_dispatch_t req = world_request(&route, &desk, w->sim.now);
	sent_t *s = calloc(1, sizeof(*s));
	ap_target_t target;

	assert_non_null(s);
	*s = (sent_t){
		.w = w, .from = from, .via = from, .region = from >= NORTH, .arrived = w->sim.now};
	w->asked[s->region]++;
	if (ap_fleet_choose(f, &req, w->sim.now, &target) != AP_FLEET_OK) {
		w->refused[s->region]++;
	} else if (target.remote) {
		s->forwarded = true;
		s->region = !s->region;
		s->via = (size_t)atoi(target.id + 1);
		ap_fleet_sent(f, &req, &target, w->sim.now, &s->hop);
		fake_at(&w->sim, w->sim.now + ACROSS, on_forwarded, NULL, s);
		return;
	} else {
		ap_fleet_sent(f, &req, &target, w->sim.now, &s->inflight);
		arrive(s, &target);
	}
	free(s);
}

static void on_tick(void *arg, void *data)
{
	world_t *w = arg;

	(void)data;
	net_announce(&w->net, w->sim.now);
	fake_at(&w->sim, w->sim.now + TICK, on_tick, w, NULL);
}

typedef struct source {
	world_t *w;
	size_t from;
	ap_usec_t every;
} source_t;

static void on_source(void *arg, void *data)
{
	source_t *s = data;
	source_t *next = calloc(1, sizeof(*next));

	(void)arg;
	*next = *s;
	ask(s->w, s->from);
	fake_at(&s->w->sim,
		s->w->sim.now + 1 + (ap_usec_t)ap_rng_below(&s->w->sim.rng, 2 * (uint64_t)s->every),
		on_source, NULL, next);
}

/* Returns the share of the overloaded region's requests that were refused. */
static double play(double load_north, double load_south, uint64_t seed, world_t *w)
{
	const double places = UPSTREAMS * SLOTS / ((double)WORK / AP_SEC);

	*w = (world_t){.sim = {.now = WORLD_START}};
	ap_rng_seed(&w->sim.rng, seed);
	net_begin(&w->net, NORTH, SOUTH);
	net_replicas(&w->net, "desk", "north", UPSTREAMS);
	net_replicas(&w->net, "desk", "south", UPSTREAMS);
	fake_at(&w->sim, w->sim.now, on_tick, w, NULL);
	for (size_t i = 0; i < NORTH + SOUTH; i++) {
		double rate = i < NORTH ? load_north * places / NORTH : load_south * places / SOUTH;
		source_t *s = calloc(1, sizeof(*s));

		*s = (source_t){w, i, (ap_usec_t)(AP_SEC / rate)};
		fake_at(&w->sim, w->sim.now + (ap_usec_t)ap_rng_below(&w->sim.rng, AP_SEC),
			on_source, NULL, s);
	}
	fake_run(&w->sim, WORLD_START + SPAN);
	net_end(&w->net);
	fake_sim_clear(&w->sim);
	print_message("asked %u and %u, refused %u and %u, late %u\n", w->asked[0], w->asked[1],
		      w->refused[0], w->refused[1], w->late);
	return w->refused[0] / (double)w->asked[0];
}

/* At twice its capacity half must be refused or go elsewhere; the other region is nearly idle. */
static void what_a_region_refuses_goes_to_one_that_has_room(void **state)
{
	world_t w;

	(void)state;
	for (uint64_t seed = 1; seed <= 5; seed++)
		assert_true(play(2.0, 0.1, seed, &w) < 0.4);
}

/* A region within its capacity keeps its requests, and serves as before. */
static void a_region_that_can_serve_keeps_its_requests(void **state)
{
	world_t w;

	(void)state;
	assert_true(play(0.4, 0.4, 1, &w) < 0.1);
	assert_int_equal(w.late, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(what_a_region_refuses_goes_to_one_that_has_room),
		cmocka_unit_test(a_region_that_can_serve_keeps_its_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
