/*
 * The baselines: each entry picks an upstream by one plain rule. It stays in the home region as
 * long as the last reports show a free slot there, else it forwards to the region with the least
 * load that has a free slot, unless the service is bound to its home region.
 * Baselines have no admission, make up to four attempts per request and use the request's class as
 * the engine priority.
 */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

#define FORWARD_MIN_LOAD 1.0 /* mean requests per slot from which a region forwards */

typedef enum rule {
	RULE_RANDOM,
	RULE_ROUND_ROBIN,
	RULE_LEAST_OUTSTANDING,
	RULE_TWO_CHOICES,
	RULE_PREFIX,
} rule_t;

/**
 * struct base_entry - state of one entry.
 * @own: requests in progress from this entry, by upstream
 */
typedef struct base_entry {
	uint32_t own[UPSTREAMS];
	uint32_t next_turn;
} base_entry_t;

typedef struct base {
	sim_t *sim;
	rule_t rule;
	ap_rng_t rng;
	double load[UPSTREAMS];
	bool listed[UPSTREAMS];
	base_entry_t *entries;
} base_t;

static void base_view(void *state)
{
	base_t *b = state;
	const ap_view_t *view = b->sim->view;

	memset(b->listed, 0, sizeof(b->listed));
	for (size_t i = 0; i < view->n_upstreams; i++)
		b->listed[atoi(view->upstreams[i].id + 1)] = true;
}

static void *base_new(sim_t *sim, rule_t rule)
{
	base_t *b = calloc(1, sizeof(*b));

	b->sim = sim;
	b->rule = rule;
	ap_rng_seed(&b->rng, 17);
	b->entries = calloc((size_t)sim->row->entries * REGIONS, sizeof(*b->entries));
	base_view(b);
	return b;
}

static void base_free(void *state)
{
	base_t *b = state;

	free(b->entries);
	free(b);
}

static double region_load(const base_t *b, int region)
{
	double load = 0;
	double slots = 0;

	for (int i = region * PER_REGION; i < (region + 1) * PER_REGION; i++) {
		if (!b->listed[i])
			continue;
		load += b->load[i];
		slots += BATCH;
	}
	return slots > 0 ? load / slots : 1e9;
}

static int pick_region(const base_t *b, const job_t *job)
{
	int best = job->arrival->region;
	double least = region_load(b, best);

	if (job->req.service->home_bound || least < FORWARD_MIN_LOAD)
		return best;
	for (int r = 0; r < REGIONS; r++) {
		double load = region_load(b, r);

		if (load < least && load < FORWARD_MIN_LOAD) {
			best = r;
			least = load;
		}
	}
	return best;
}

static uint32_t outstanding(const base_t *b, const base_entry_t *entry, int i)
{
	return entry->own[i] + (b->rule == RULE_TWO_CHOICES ? (uint32_t)b->load[i] : 0);
}

static int pick_least(base_t *b, const base_entry_t *entry, const int *ups, size_t n)
{
	size_t start = ap_rng_below(&b->rng, n);
	int best = ups[start];

	for (size_t i = 1; i < n; i++) {
		int up = ups[(start + i) % n];

		if (outstanding(b, entry, up) < outstanding(b, entry, best))
			best = up;
	}
	return best;
}

static int pick_prefix(const job_t *job, const int *ups, size_t n)
{
	size_t depth = job->req.n_blocks < 4 ? job->req.n_blocks : 4;
	uint64_t key = job->req.blocks[depth - 1];
	double most = 0;
	int best = ups[0];

	for (size_t i = 0; i < n; i++) {
		double score = ap_rendezvous(key, (uint64_t)ups[i], 1);

		if (score > most) {
			most = score;
			best = ups[i];
		}
	}
	return best;
}

static int pick(base_t *b, base_entry_t *entry, const job_t *job, const int *ups, size_t n)
{
	int two[2];

	switch (b->rule) {
	case RULE_RANDOM:
		return ups[ap_rng_below(&b->rng, n)];
	case RULE_ROUND_ROBIN:
		return ups[entry->next_turn++ % n];
	case RULE_LEAST_OUTSTANDING:
		return pick_least(b, entry, ups, n);
	case RULE_TWO_CHOICES:
		two[0] = ups[ap_rng_below(&b->rng, n)];
		two[1] = ups[ap_rng_below(&b->rng, n)];
		return pick_least(b, entry, two, 2);
	case RULE_PREFIX:
		break;
	}
	return pick_prefix(job, ups, n);
}

static base_entry_t *entry_of(base_t *b, const job_t *job)
{
	return &b->entries[job->arrival->region * b->sim->row->entries + job->arrival->entry];
}

static void base_send(base_t *b, job_t *job)
{
	int ups[PER_REGION];
	size_t n = 0;

	for (int i = job->at_region * PER_REGION; i < (job->at_region + 1) * PER_REGION; i++)
		if (b->listed[i])
			ups[n++] = i;
	if (n == 0) {
		sim_give_up(b->sim, job);
		return;
	}
	sim_dispatch(b->sim, job, pick(b, entry_of(b, job), job, ups, n));
}

static void base_arrived(void *state, job_t *job)
{
	base_t *b = state;
	int region = pick_region(b, job);

	job->priority = job->arrival->cls;
	if (region != job->arrival->region)
		sim_forward(b->sim, job, region, job->arrival->entry);
	else
		base_send(b, job);
}

static void base_forwarded(void *state, job_t *job)
{
	base_send(state, job);
}

static void base_started(void *state, job_t *job)
{
	entry_of(state, job)->own[job->engine]++;
}

static void base_first_token(void *state, job_t *job, uint32_t cached)
{
	(void)state;
	(void)job;
	(void)cached;
}

static void base_finished(void *state, job_t *job)
{
	entry_of(state, job)->own[job->engine]--;
}

static void base_failed(void *state, job_t *job, ap_attempt_end_t end)
{
	base_t *b = state;

	(void)end;
	entry_of(b, job)->own[job->engine]--;
	if (job->attempts >= ATTEMPTS_MAX)
		sim_give_up(b->sim, job);
	else
		base_send(b, job);
}

static void base_load(void *state, const ap_load_report_t *report, int engine)
{
	base_t *b = state;

	b->load[engine] = (double)report->running + report->waiting;
}

static void base_cache(void *state, const ap_cache_event_t *event, int engine)
{
	(void)state;
	(void)event;
	(void)engine;
}

static void base_tick(void *state)
{
	(void)state;
}

#define BASELINE(id, shown, rule)                                                                  \
	static void *id##_new(sim_t *sim)                                                          \
	{                                                                                          \
		return base_new(sim, rule);                                                        \
	}                                                                                          \
	const policy_t policy_##id = {                                                             \
		.name = (shown),                                                                   \
		.new_state = id##_new,                                                             \
		.free_state = base_free,                                                           \
		.arrived = base_arrived,                                                           \
		.forwarded = base_forwarded,                                                       \
		.refused = base_forwarded,                                                         \
		.started = base_started,                                                           \
		.first_token = base_first_token,                                                   \
		.finished = base_finished,                                                         \
		.failed = base_failed,                                                             \
		.load = base_load,                                                                 \
		.cache = base_cache,                                                               \
		.tick = base_tick,                                                                 \
		.view = base_view,                                                                 \
	}

BASELINE(random, "random", RULE_RANDOM);
BASELINE(round_robin, "round robin", RULE_ROUND_ROBIN);
BASELINE(least_outstanding, "least outstanding", RULE_LEAST_OUTSTANDING);
BASELINE(two_choices, "two choices", RULE_TWO_CHOICES);
BASELINE(prefix, "prefix hash", RULE_PREFIX);
