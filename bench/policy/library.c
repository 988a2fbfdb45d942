/* The library's policy: lib/route and lib/limit decide, with separate state for each entry. */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

#define QUEUE_MAX 64
#define RETRY_RATIO 0.1

typedef struct library library_t;

typedef struct library_entry {
	library_t *policy;
	int region;
	int number;
	ap_route_t *route;
	ap_admission_t *admission;
	ap_retry_budget_t *retries;
} library_entry_t;

struct library {
	sim_t *sim;
	library_entry_t *entries;
	int n;
};

static library_entry_t *entry_at(library_t *p, int region, int number)
{
	return &p->entries[region * p->sim->row->entries + number];
}

static library_entry_t *entry_of(library_t *p, const job_t *job)
{
	return entry_at(p, job->at_region, job->entry);
}

static void release_admission(library_entry_t *e, job_t *job)
{
	ap_admission_done(e->admission, job->req.id.seq, e->policy->sim->now);
}

static void end_without_response(library_entry_t *e, job_t *job, bool refuse)
{
	release_admission(e, job);
	if (refuse) {
		job->req.forwarded = false;
		sim_refuse(e->policy->sim, job);
		return;
	}
	sim_give_up(e->policy->sim, job);
}

static int region_number(const char *name)
{
	for (int i = 0; i < REGIONS; i++)
		if (strcmp(region_names[i], name) == 0)
			return i;
	return 0;
}

static void forward_job(library_entry_t *e, job_t *job, const ap_choice_t *choice)
{
	sim_t *sim = e->policy->sim;

	ap_route_started(e->route, &job->req, choice, sim->now);
	job->choice = *choice;
	job->req.forwarded = true;
	release_admission(e, job);
	sim_forward(sim, job, region_number(choice->region), job->arrival->entry);
}

static void decide(library_entry_t *e, job_t *job)
{
	sim_t *sim = e->policy->sim;
	ap_choice_t choice;
	ap_route_status_t status = ap_route_choose(e->route, &job->req, sim->now, &choice);

	if (status != AP_ROUTE_OK) {
		end_without_response(e, job, job->req.forwarded && job->attempts == 0);
		return;
	}
	if (choice.region[0]) {
		forward_job(e, job, &choice);
		return;
	}
	job->priority = choice.priority;
	job->engine = atoi(choice.upstream_id + 1);
	job->choice = choice;
	sim_dispatch(sim, job, job->engine);
}

static job_t *job_of(library_t *p, uint64_t token)
{
	return &p->sim->jobs[token - 1];
}

static void on_ready(void *ctx, uint64_t token)
{
	library_entry_t *e = ctx;
	job_t *job = job_of(e->policy, token);

	sim_admitted(e->policy->sim, job);
	decide(e, job);
}

static void on_shed(void *ctx, uint64_t token, ap_usec_t retry_after)
{
	library_entry_t *e = ctx;
	job_t *job = job_of(e->policy, token);

	(void)retry_after;
	if (job->req.forwarded) {
		job->req.forwarded = false;
		sim_refuse(e->policy->sim, job);
		return;
	}
	sim_give_up(e->policy->sim, job);
}

static void request_admission(library_entry_t *e, job_t *job)
{
	sim_t *sim = e->policy->sim;
	ap_usec_t retry_after;
	ap_choice_t choice;
	ap_admission_request_t request = {
		.token = job->req.id.seq,
		.cls = job->req.cls,
		.forwarded = job->req.forwarded,
		.home_bound = job->req.service->home_bound,
		.deadline = job->req.deadline,
		.expected = (ap_usec_t)(job->req.tokens_in * PREFILL_US / 2),
		.share = 1,
	};

	switch (ap_admission_admit(e->admission, &request, sim->now, &retry_after)) {
	case AP_ADMIT_NOW:
		on_ready(e, request.token);
		break;
	case AP_ADMIT_QUEUE:
		if (ap_route_forward(e->route, &job->req, retry_after, sim->now, &choice)) {
			ap_admission_cancel(e->admission, request.token, sim->now);
			forward_job(e, job, &choice);
		}
		break;
	case AP_ADMIT_SHED:
	case AP_ADMIT_OVER_LIMIT:
		if (ap_route_forward(e->route, &job->req, AP_NEVER, sim->now, &choice))
			forward_job(e, job, &choice);
		else
			on_shed(e, request.token, retry_after);
		break;
	}
}

static void library_view(void *state)
{
	library_t *p = state;

	for (int i = 0; i < p->n; i++)
		ap_route_set_view(p->entries[i].route, p->sim->view, p->sim->now);
}

static void init_entry(library_t *p, library_entry_t *e, int i)
{
	ap_route_config_t route = {.seed = 100 + (uint64_t)i};
	ap_admission_config_t admission = {
		.queue_max = QUEUE_MAX,
		.env = {.ctx = e},
		.ready = on_ready,
		.shed = on_shed,
	};

	e->policy = p;
	e->region = i / p->sim->row->entries;
	e->number = i % p->sim->row->entries;
	ap_copy_name(route.region, AP_NAME_MAX, region_names[e->region]);
	ap_copy_name(route.data_centre, AP_NAME_MAX, region_names[e->region]);
	e->route = ap_route_new(&route);
	e->admission = ap_admission_new(&admission);
	e->retries = ap_retry_budget_new(RETRY_RATIO, NULL);
}

static void *library_new(sim_t *sim)
{
	library_t *p = calloc(1, sizeof(*p));

	p->sim = sim;
	p->n = sim->row->entries * REGIONS;
	p->entries = calloc((size_t)p->n, sizeof(*p->entries));
	for (int i = 0; i < p->n; i++)
		init_entry(p, &p->entries[i], i);
	library_view(p);
	return p;
}

static void library_free(void *state)
{
	library_t *p = state;

	for (int i = 0; i < p->n; i++) {
		ap_route_free(p->entries[i].route);
		ap_admission_free(p->entries[i].admission);
		ap_retry_budget_free(p->entries[i].retries);
	}
	free(p->entries);
	free(p);
}

static void library_arrived(void *state, job_t *job)
{
	library_entry_t *e = entry_of(state, job);

	ap_retry_budget_request(e->retries, e->policy->sim->now);
	request_admission(e, job);
}

static void library_forwarded(void *state, job_t *job)
{
	request_admission(entry_of(state, job), job);
}

static void library_refused(void *state, job_t *job)
{
	library_entry_t *e = entry_of(state, job);

	job->req.local_only = true;
	ap_route_forward_refused(e->route, job->choice.region, "m", e->policy->sim->now);
	request_admission(e, job);
}

static void library_started(void *state, job_t *job)
{
	library_entry_t *e = entry_of(state, job);

	ap_route_started(e->route, &job->req, &job->choice, e->policy->sim->now);
}

static void library_first_token(void *state, job_t *job, uint32_t cached)
{
	library_entry_t *e = entry_of(state, job);
	const char *upstream = job->choice.upstream_id;
	ap_usec_t now = e->policy->sim->now;

	ap_route_first_token(e->route, &job->req, upstream, now - job->dispatched, now);
	ap_route_cached_tokens(e->route, upstream, job->choice.cached_tokens, cached);
}

static void library_finished(void *state, job_t *job)
{
	library_entry_t *e = entry_of(state, job);

	ap_route_finished(e->route, &job->req, job->choice.upstream_id, AP_ATTEMPT_OK,
			  e->policy->sim->now);
	release_admission(e, job);
}

static void library_failed(void *state, job_t *job, ap_attempt_end_t end)
{
	library_entry_t *e = entry_of(state, job);
	ap_usec_t now = e->policy->sim->now;

	ap_route_finished(e->route, &job->req, job->choice.upstream_id, end, now);
	if (job->attempts >= ATTEMPTS_MAX ||
	    !ap_retry_budget_take_class(e->retries, job->req.cls, now, job->req.deadline,
					job->choice.expected_wait)) {
		end_without_response(e, job, false);
		return;
	}
	ap_retry_budget_retried(e->retries);
	ap_copy_name(job->tried[job->req.n_tried], AP_NAME_MAX, job->choice.upstream_id);
	job->req.tried[job->req.n_tried] = job->tried[job->req.n_tried];
	job->req.n_tried++;
	decide(e, job);
}

static void library_load(void *state, const ap_load_report_t *report, int engine)
{
	library_t *p = state;

	for (int i = 0; i < p->sim->row->entries; i++)
		ap_route_load(entry_at(p, engine / PER_REGION, i)->route, report, p->sim->now);
}

static void library_cache(void *state, const ap_cache_event_t *event, int engine)
{
	library_t *p = state;

	for (int i = 0; i < p->sim->row->entries; i++)
		ap_route_cache_event(entry_at(p, engine / PER_REGION, i)->route, event,
				     p->sim->now);
}

static void library_tick(void *state)
{
	library_t *p = state;
	ap_usec_t now = p->sim->now;
	ap_capacity_offer_t rooms[REGIONS];

	for (int r = 0; r < REGIONS; r++)
		rooms[r] = ap_route_own_offer(entry_at(p, r, 0)->route, "m", now);
	for (int i = 0; i < p->n; i++) {
		library_entry_t *e = &p->entries[i];

		for (int r = 0; r < REGIONS; r++)
			ap_route_remote_offer(e->route, &rooms[r], now);
		ap_admission_set_capacity(e->admission, ap_route_capacity(e->route, now), now);
		ap_admission_tick(e->admission, now);
	}
}

const policy_t policy_library = {
	.name = "library",
	.new_state = library_new,
	.free_state = library_free,
	.arrived = library_arrived,
	.forwarded = library_forwarded,
	.refused = library_refused,
	.started = library_started,
	.first_token = library_first_token,
	.finished = library_finished,
	.failed = library_failed,
	.load = library_load,
	.cache = library_cache,
	.tick = library_tick,
	.view = library_view,
};
