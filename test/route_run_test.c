/*
 * A long randomised run of routing with limits: several entries in three regions, upstreams that
 * fail, drain and are replaced, reports and cache events that are lost, duplicated, late and out
 * of order, and entries that pause and restart. The library asserts its invariants; this program
 * checks them independently. `--seed N [--events N]` runs another seed.
 */
#include "fleet.h"

#include "limit/limit.h"

#define REGIONS 3
#define ENTRIES 2 /* per region */
#define JOBS 256
#define EVENTS 400000 /* for each of the fixed seeds below */
#define QUEUE_MAX 32
#define DRAINING_GRACE (3 * AP_SEC)

static const char *const regions[REGIONS] = {"recife", "salvador", "litoral"};
static const char *const services[] = {"reserve", "ask", "dossier"};

typedef enum phase {
	PHASE_FREE,
	PHASE_QUEUED,
	PHASE_RUNNING,
	PHASE_RESPONDING,
} phase_t;

typedef struct run run_t;

typedef struct job {
	phase_t phase;
	int entry;
	unsigned hops;
	uint64_t seq;
	ap_request_t req;
	ap_choice_t choice;
} job_t;

typedef struct entry {
	run_t *run;
	int number;
	ap_route_t *route;
	ap_admission_t *admission;
	ap_retry_budget_t *budget;
	uint64_t requests;
	uint64_t retries;
	uint64_t running;
	ap_usec_t paused_until;
} entry_t;

struct run {
	fleet_t fleet;
	ap_rng_t rng;
	ap_usec_t now;
	entry_t entries[REGIONS * ENTRIES];
	job_t jobs[JOBS];
	ap_usec_t drain_start[FLEET_UPSTREAMS_MAX];
	uint64_t next_seq;
	uint64_t cache_seq;
	uint64_t dispatched;
	uint64_t forwarded;
	uint64_t violated;
	char first[160];
	size_t running_max;
	bool misroute; /* sometimes dispatches to an upstream that was not chosen */
};

static void on_violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	entry_t *e = ctx;

	if (e->run->violated++ == 0)
		snprintf(e->run->first, sizeof(e->run->first), "%s: %s",
			 ap_invariant_name(invariant), what);
}

static int region_of(const entry_t *e)
{
	return e->number / ENTRIES;
}

static void check(run_t *run, bool holds, const char *what)
{
	if (!holds && run->violated++ == 0)
		snprintf(run->first, sizeof(run->first), "found by the test itself: %s", what);
}

static size_t upstream_index(const run_t *run, const char *id)
{
	size_t i = 0;

	while (i < run->fleet.n_upstreams && strcmp(run->fleet.upstreams[i].id, id) != 0)
		i++;
	return i;
}

static void end_job(run_t *run, job_t *job)
{
	(void)run;
	job->phase = PHASE_FREE;
}

static void release_slot(run_t *run, job_t *job)
{
	ap_admission_done(run->entries[job->entry].admission, job->seq, run->now);
}

/* Checks a dispatch independently of the library's own assertions. */
static void check_dispatch(run_t *run, const entry_t *e, const job_t *job)
{
	size_t i = upstream_index(run, job->choice.upstream_id);
	const ap_upstream_t *up = &run->fleet.upstreams[i];

	check(run, i < run->fleet.n_upstreams, "dispatch to an unknown upstream");
	check(run, strcmp(up->region, regions[region_of(e)]) == 0, "dispatch out of the region");
	if (job->req.service->home_bound)
		check(run, strcmp(up->region, job->req.home) == 0,
		      "home-bound request outside its home region");
	check(run, job->hops <= 1, "second hop");
	if (run->drain_start[i] > 0)
		check(run, run->now - run->drain_start[i] < DRAINING_GRACE,
		      "dispatch to a draining upstream");
}

static void misroute_job(run_t *run, job_t *job)
{
	if (!run->misroute || ap_rng_below(&run->rng, 1000) != 0)
		return;
	ap_copy_name(job->choice.upstream_id, AP_NAME_MAX,
		     run->fleet.upstreams[ap_rng_below(&run->rng, run->fleet.n_upstreams)].id);
}

static void give_up(run_t *run, job_t *job)
{
	release_slot(run, job);
	end_job(run, job);
}

static void forward(run_t *run, job_t *job);

static void route_job(run_t *run, job_t *job)
{
	entry_t *e = &run->entries[job->entry];

	if (ap_route_choose(e->route, &job->req, run->now, &job->choice) != AP_ROUTE_OK) {
		give_up(run, job);
		return;
	}
	if (job->choice.region[0]) {
		release_slot(run, job);
		forward(run, job);
		return;
	}
	misroute_job(run, job);
	if (!run->misroute)
		check_dispatch(run, e, job);
	ap_route_started(e->route, &job->req, &job->choice, run->now);
	job->phase = PHASE_RUNNING;
	run->dispatched++;
}

static job_t *job_of(run_t *run, uint64_t seq)
{
	for (int i = 0; i < JOBS; i++)
		if (run->jobs[i].phase != PHASE_FREE && run->jobs[i].seq == seq)
			return &run->jobs[i];
	return NULL;
}

static void on_ready(void *ctx, uint64_t token)
{
	entry_t *e = ctx;
	job_t *job = job_of(e->run, token);

	check(e->run, job && job->phase == PHASE_QUEUED,
	      "ready callback for a request that is not queued");
	if (job)
		route_job(e->run, job);
}

static void on_shed(void *ctx, uint64_t token, ap_usec_t retry_after)
{
	entry_t *e = ctx;
	job_t *job = job_of(e->run, token);

	check(e->run, job && retry_after > 0, "shed without a retry-after time");
	if (job)
		end_job(e->run, job);
}

static void request_admission(run_t *run, job_t *job)
{
	entry_t *e = &run->entries[job->entry];
	ap_choice_t choice;
	ap_usec_t retry_after;
	ap_admission_request_t ask = {
		.token = job->seq,
		.caller = job->req.caller,
		.cls = job->req.cls,
		.forwarded = job->req.forwarded,
		.home_bound = job->req.service->home_bound,
		.deadline = job->req.deadline,
		.expected = 10 * AP_MSEC,
		.share = 0.5,
	};

	job->phase = PHASE_QUEUED;
	switch (ap_admission_admit(e->admission, &ask, run->now, &retry_after)) {
	case AP_ADMIT_NOW:
		route_job(run, job);
		return;
	case AP_ADMIT_QUEUE:
		if (ap_rng_below(&run->rng, 2) == 0) /* as if slots became free too slowly */
			retry_after = AP_NEVER;
		if (!ap_route_forward(e->route, &job->req, retry_after, run->now, &choice))
			return;
		ap_admission_cancel(e->admission, job->seq, run->now);
		job->choice = choice;
		forward(run, job);
		return;
	case AP_ADMIT_SHED:
	case AP_ADMIT_OVER_LIMIT:
		end_job(run, job);
		return;
	}
}

/* Messages between regions may be lost; the request then ends. */
static void forward(run_t *run, job_t *job)
{
	entry_t *e = &run->entries[job->entry];

	ap_route_started(e->route, &job->req, &job->choice, run->now);
	check(run, !job->req.service->home_bound, "home-bound request forwarded");
	job->hops++;
	run->forwarded++;
	if (ap_rng_below(&run->rng, 10) == 0) {
		end_job(run, job);
		return;
	}
	for (int r = 0; r < REGIONS; r++)
		if (strcmp(regions[r], job->choice.region) == 0)
			job->entry = r * ENTRIES + (int)ap_rng_below(&run->rng, ENTRIES);
	job->req.forwarded = true;
	request_admission(run, job);
}

static void arrive(run_t *run)
{
	job_t *job = &run->jobs[ap_rng_below(&run->rng, JOBS)];
	const char *service = services[ap_rng_below(&run->rng, 3)];
	entry_t *e;

	if (job->phase != PHASE_FREE)
		return;
	memset(job, 0, sizeof(*job));
	job->entry = (int)ap_rng_below(&run->rng, REGIONS * ENTRIES);
	e = &run->entries[job->entry];
	if (run->now < e->paused_until)
		return;
	job->seq = ++run->next_seq;
	job->req = fleet_request(&run->fleet, service, job->seq, run->now);
	job->req.home = regions[region_of(e)];
	if (ap_rng_below(&run->rng, 20) == 0)
		job->req.home = regions[ap_rng_below(&run->rng, REGIONS)];
	job->req.n_blocks = ap_rng_below(&run->rng, 9);
	for (size_t i = 0; i < job->req.n_blocks; i++)
		job->req.blocks[i] = 1 + ap_rng_below(&run->rng, 40);
	e->requests++;
	ap_retry_budget_request(e->budget, run->now);
	request_admission(run, job);
}

static ap_attempt_end_t draw_end(run_t *run)
{
	static const ap_attempt_end_t ends[] = {
		AP_ATTEMPT_REFUSED,	    AP_ATTEMPT_FAILED,	  AP_ATTEMPT_TIMEOUT,
		AP_ATTEMPT_DEAD_CONNECTION, AP_ATTEMPT_CANCELLED,
	};

	if (ap_rng_below(&run->rng, 4) != 0)
		return AP_ATTEMPT_OK;
	return ends[ap_rng_below(&run->rng, 5)];
}

static void retry(run_t *run, job_t *job)
{
	entry_t *e = &run->entries[job->entry];

	if (job->req.n_tried >= 3 || !ap_retry_budget_take_class(e->budget, job->req.cls, run->now,
								 job->req.deadline, 10 * AP_MSEC)) {
		give_up(run, job);
		return;
	}
	ap_retry_budget_retried(e->budget);
	e->retries++;
	check(run, (double)e->retries <= 0.1 * (double)e->requests + 2, "retries over budget");
	job->req.tried[job->req.n_tried++] =
		run->fleet.upstreams[upstream_index(run, job->choice.upstream_id)].id;
	route_job(run, job);
}

static void advance_job(run_t *run)
{
	job_t *job = &run->jobs[ap_rng_below(&run->rng, JOBS)];
	entry_t *e = &run->entries[job->entry];
	const char *upstream = job->choice.upstream_id;
	ap_attempt_end_t end;

	if (job->phase == PHASE_RUNNING && ap_rng_below(&run->rng, 3) == 0) {
		ap_route_first_token(e->route, &job->req, upstream,
				     (ap_usec_t)ap_rng_below(&run->rng, 500) * AP_MSEC, run->now);
		ap_route_cached_tokens(e->route, upstream, job->choice.cached_tokens,
				       (uint32_t)ap_rng_below(&run->rng, 600));
		job->phase = PHASE_RESPONDING;
		return;
	}
	if (job->phase != PHASE_RUNNING && job->phase != PHASE_RESPONDING)
		return;
	end = draw_end(run);
	ap_route_finished(e->route, &job->req, upstream, end, run->now);
	if (ap_rng_below(&run->rng, 10) == 0) /* reported twice */
		ap_route_finished(e->route, &job->req, upstream, end, run->now);
	if (end == AP_ATTEMPT_OK || end == AP_ATTEMPT_CANCELLED || job->phase == PHASE_RESPONDING)
		give_up(run, job);
	else
		retry(run, job);
}

static void report(run_t *run)
{
	size_t i = ap_rng_below(&run->rng, run->fleet.n_upstreams);
	ap_load_report_t report = {
		.at = run->now - (ap_usec_t)ap_rng_below(&run->rng, 6000) * AP_MSEC,
	};

	if (strcmp(run->fleet.upstreams[i].region, regions[0]) ==
	    0) { /* only the first region is loaded */
		report.running = (uint32_t)ap_rng_below(&run->rng, 9);
		report.waiting = (uint32_t)ap_rng_below(&run->rng, 12);
	}
	ap_copy_name(report.upstream, AP_NAME_MAX, run->fleet.upstreams[i].id);
	for (int n = 0; n < REGIONS * ENTRIES; n++)
		if (ap_rng_below(&run->rng, 5) != 0)
			ap_route_load(run->entries[n].route, &report, run->now);
}

static void cache_event(run_t *run)
{
	size_t i = ap_rng_below(&run->rng, run->fleet.n_upstreams);
	uint64_t blocks[6];
	ap_cache_event_t event = {
		.seq = ++run->cache_seq - ap_rng_below(&run->rng, 3),
		.stored = ap_rng_below(&run->rng, 2) == 0,
		.blocks = blocks,
		.n_blocks = 1 + ap_rng_below(&run->rng, 6),
	};

	ap_copy_name(event.upstream, AP_NAME_MAX, run->fleet.upstreams[i].id);
	for (size_t n = 0; n < event.n_blocks; n++)
		blocks[n] = 1 + ap_rng_below(&run->rng, 40);
	for (int n = 0; n < REGIONS * ENTRIES; n++)
		if (ap_rng_below(&run->rng, 3) != 0)
			ap_route_cache_event(run->entries[n].route, &event, run->now);
}

static void offer_capacity(run_t *run)
{
	int from = (int)ap_rng_below(&run->rng, REGIONS * ENTRIES);
	ap_capacity_offer_t offer = ap_route_own_offer(run->entries[from].route, "m", run->now);

	for (int n = 0; n < REGIONS * ENTRIES; n++)
		if (ap_rng_below(&run->rng, 4) != 0)
			ap_route_remote_offer(run->entries[n].route, &offer, run->now);
}

/* Drains an upstream: every entry is told at once, the view shows it later. */
static void start_drain(run_t *run)
{
	size_t i = ap_rng_below(&run->rng, run->fleet.n_upstreams);

	if (run->drain_start[i] > 0)
		return;
	run->drain_start[i] = run->now;
	for (int n = 0; n < REGIONS * ENTRIES; n++)
		ap_route_drain(run->entries[n].route, run->fleet.upstreams[i].id, run->now);
}

static void new_view(run_t *run)
{
	for (size_t i = 0; i < run->fleet.n_upstreams; i++) {
		ap_upstream_t *up = &run->fleet.upstreams[i];

		up->draining = run->drain_start[i] > 0;
	}
	for (int n = 0; n < REGIONS * ENTRIES; n++)
		fleet_set_view(&run->fleet, run->entries[n].route, run->now);
}

/* Replaces upstreams that drained by others with a new name. */
static void replace(run_t *run)
{
	for (size_t i = 0; i < run->fleet.n_upstreams; i++) {
		ap_upstream_t *up = &run->fleet.upstreams[i];
		char id[AP_NAME_MAX];

		if (run->drain_start[i] == 0 || run->now - run->drain_start[i] < 20 * AP_SEC)
			continue;
		for (int j = 0; j < JOBS; j++) /* its requests must have finished */
			if (strcmp(run->jobs[j].choice.upstream_id, up->id) == 0 &&
			    run->jobs[j].phase >= PHASE_RUNNING)
				return;
		snprintf(id, sizeof(id), "%.20s-new-%llu", up->region,
			 (unsigned long long)++run->next_seq);
		ap_copy_name(up->id, sizeof(up->id), id);
		run->drain_start[i] = 0;
	}
	new_view(run);
}

static void start_entry(run_t *run, int n)
{
	entry_t *e = &run->entries[n];
	ap_env_t env = {.ctx = e, .violated = on_violated};
	ap_route_config_t route = {.data_centre = "dc1", .seed = ap_rng_u64(&run->rng), .env = env};
	ap_admission_config_t admission = {
		.queue_max = QUEUE_MAX,
		.env = env,
		.ready = on_ready,
		.shed = on_shed,
	};

	memset(e, 0, sizeof(*e));
	e->run = run;
	e->number = n;
	ap_copy_name(route.region, AP_NAME_MAX, regions[n / ENTRIES]);
	e->route = ap_route_new(&route);
	e->admission = ap_admission_new(&admission);
	e->budget = ap_retry_budget_new(0.1, &env);
	fleet_set_view(&run->fleet, e->route, run->now);
	for (size_t i = 0; i < run->fleet.n_upstreams; i++)
		if (run->drain_start[i] > 0)
			ap_route_drain(e->route, run->fleet.upstreams[i].id, run->now);
}

static void stop_entry(entry_t *e)
{
	ap_route_free(e->route);
	ap_admission_free(e->admission);
	ap_retry_budget_free(e->budget);
}

static void crash(run_t *run)
{
	int n = (int)ap_rng_below(&run->rng, REGIONS * ENTRIES);

	for (int i = 0; i < JOBS; i++)
		if (run->jobs[i].entry == n)
			run->jobs[i].phase = PHASE_FREE;
	stop_entry(&run->entries[n]);
	start_entry(run, n);
}

static void tick(run_t *run)
{
	for (int n = 0; n < REGIONS * ENTRIES; n++) {
		entry_t *e = &run->entries[n];

		if (run->now < e->paused_until)
			continue;
		ap_admission_set_capacity(e->admission, ap_route_capacity(e->route, run->now),
					  run->now);
		ap_admission_tick(e->admission, run->now);
	}
}

static void step(run_t *run)
{
	uint64_t draw = ap_rng_below(&run->rng, 10000);
	entry_t *any = &run->entries[ap_rng_below(&run->rng, REGIONS * ENTRIES)];

	run->now += (ap_usec_t)ap_rng_exp(&run->rng, 4000);
	if (draw < 4000)
		arrive(run);
	else if (draw < 8200)
		advance_job(run);
	else if (draw < 9000)
		report(run);
	else if (draw < 9500)
		cache_event(run);
	else if (draw < 9700)
		offer_capacity(run);
	else if (draw < 9950)
		tick(run);
	else if (draw < 9960)
		start_drain(run);
	else if (draw < 9970)
		new_view(run);
	else if (draw < 9990)
		replace(run);
	else if (draw < 9995)
		any->paused_until = run->now + 5 * AP_SEC;
	else
		crash(run);
}

static uint64_t run_seed(uint64_t seed, uint64_t events, bool misroute, char first[160])
{
	run_t *run = calloc(1, sizeof(*run));
	uint64_t violated;

	ap_rng_seed(&run->rng, seed);
	run->now = 1000 * AP_SEC;
	run->misroute = misroute;
	fleet_init(&run->fleet);
	for (int r = 0; r < REGIONS; r++) {
		fleet_add_upstreams(&run->fleet, regions[r], "gpu", 9);
		fleet_add_upstreams(&run->fleet, regions[r], "plain", 2);
		fleet_add_entries(&run->fleet, regions[r], ENTRIES);
	}
	for (int n = 0; n < REGIONS * ENTRIES; n++)
		start_entry(run, n);
	for (uint64_t i = 0; i < events && (misroute || run->violated == 0); i++)
		step(run);
	printf("seed %llu: %llu events, %llu dispatches, %llu forwarded, %llu violations\n",
	       (unsigned long long)seed, (unsigned long long)events,
	       (unsigned long long)run->dispatched, (unsigned long long)run->forwarded,
	       (unsigned long long)run->violated);
	memcpy(first, run->first, 160);
	violated = run->violated;
	if (violated == 0 && events >= EVENTS) {
		assert_true(run->dispatched > events / 100);
		assert_true(run->forwarded > 0);
	}
	for (int n = 0; n < REGIONS * ENTRIES; n++)
		stop_entry(&run->entries[n]);
	fleet_clear(&run->fleet);
	free(run);
	return violated;
}

static void test_invariants_hold(void **state)
{
	static const uint64_t seeds[] = {1, 2, 3};
	char first[160];

	(void)state;
	for (size_t i = 0; i < sizeof(seeds) / sizeof(seeds[0]); i++)
		if (run_seed(seeds[i], EVENTS, false, first) > 0)
			fail_msg("seed %llu: %s", (unsigned long long)seeds[i], first);
}

/* The library detects a caller that dispatches to an upstream that was not chosen. */
static void test_misrouting_driver_is_caught(void **state)
{
	char first[160];

	(void)state;
	assert_true(run_seed(9, 50000, true, first) > 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invariants_hold),
		cmocka_unit_test(test_misrouting_driver_is_caught),
	};
	uint64_t events = 10 * EVENTS;
	uint64_t seed = 0;
	char first[160];

	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--seed") == 0)
			seed = strtoull(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--events") == 0)
			events = strtoull(argv[i + 1], NULL, 10);
	}
	if (seed == 0)
		return cmocka_run_group_tests(tests, NULL, NULL);
	if (run_seed(seed, events, false, first) == 0)
		return 0;
	printf("%s\n", first);
	return 1;
}
