/* The event loop in virtual time, and the handling of jobs between policy and upstream. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPORT_PERIOD (500 * AP_MSEC)
#define CACHE_EVENT_PERIOD (250 * AP_MSEC)
#define TICK_PERIOD (500 * AP_MSEC)
#define DRAIN_TIME (60 * AP_SEC) /* after the last arrival */

static bool is_earlier(const sim_event_t *a, const sim_event_t *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->order < b->order;
}

void sim_push(sim_t *sim, ap_usec_t at, sim_kind_t kind, job_t *job, void *data)
{
	size_t i = sim->n_heap++;
	sim_event_t event = {
		.at = at,
		.order = sim->order++,
		.kind = kind,
		.generation = job ? job->generation : 0,
		.job = job,
		.data = data,
	};

	if (sim->n_heap > sim->heap_max) {
		sim->heap_max = sim->heap_max ? sim->heap_max * 2 : 1024;
		sim->heap = realloc(sim->heap, sim->heap_max * sizeof(*sim->heap));
	}
	while (i > 0 && is_earlier(&event, &sim->heap[(i - 1) / 2])) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = event;
}

static sim_event_t pop(sim_t *sim)
{
	sim_event_t top = sim->heap[0];
	sim_event_t last = sim->heap[--sim->n_heap];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= sim->n_heap)
			break;
		if (child + 1 < sim->n_heap && is_earlier(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!is_earlier(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return top;
}

static bool fault_now(const sim_t *sim, const engine_t *e)
{
	const fault_t *f = &sim->row->fault;

	return sim->now >= f->from && sim->now < f->to && fault_hits(f, e->region, e->number);
}

bool sim_engine_gone(const sim_t *sim, const engine_t *e)
{
	return sim->row->fault.gone && fault_now(sim, e);
}

double sim_fault_slow(const sim_t *sim, const engine_t *e)
{
	return sim->row->fault.slow > 0 && fault_now(sim, e) ? sim->row->fault.slow : 1;
}

bool sim_fault_fails(sim_t *sim, const engine_t *e)
{
	return sim->row->fault.fail > 0 && fault_now(sim, e) &&
	       ap_rng_unit(&sim->rng) < sim->row->fault.fail;
}

static bool is_after_warm_up(const job_t *job)
{
	return job->arrival->at >= WARM_UP;
}

void sim_dispatch(sim_t *sim, job_t *job, int engine)
{
	const ap_service_t *service = job->req.service;

	job->engine = engine;
	job->dispatched = sim->now;
	job->attempts++;
	if (is_after_warm_up(job) && job->attempts > 1)
		sim->result->retries++;
	sim->policy->started(sim->state, job);
	sim_push(sim, sim->now + service->first_byte, SIM_TIMEOUT, job, NULL);
	engine_submit(sim, &sim->engines[engine], job);
}

void sim_forward(sim_t *sim, job_t *job, int region, int entry)
{
	job->at_region = region;
	job->entry = entry;
	sim_push(sim, sim->now + HOP, SIM_FORWARDED, job, NULL);
}

void sim_refuse(sim_t *sim, job_t *job)
{
	job->at_region = job->arrival->region;
	job->entry = job->arrival->entry;
	sim_push(sim, sim->now + HOP, SIM_REFUSED, job, NULL);
}

static ap_usec_t *lower_admitted(sim_t *sim, const job_t *job)
{
	return &sim->lower_admitted[job->at_region * sim->row->entries + job->entry];
}

void sim_admitted(sim_t *sim, const job_t *job)
{
	if (job->arrival->cls != AP_CLASS_RESERVATION)
		*lower_admitted(sim, job) = sim->now;
}

void sim_give_up(sim_t *sim, job_t *job)
{
	ap_class_t cls = job->arrival->cls;

	job->ended = true;
	job->generation++;
	if (!is_after_warm_up(job))
		return;
	sim->result->sheds[cls]++;
	if (cls == AP_CLASS_RESERVATION && job->attempts == 0 &&
	    *lower_admitted(sim, job) >= job->arrival->at)
		sim->result->priority_inversions++;
}

static void on_first(sim_t *sim, job_t *job)
{
	ap_usec_t back = job->at_region == job->arrival->region ? 0 : HOP;

	job->answered = true;
	job->latency = sim->now - job->arrival->at + back;
	sim->policy->first_token(sim->state, job, job->cached);
	if (is_after_warm_up(job) && back > 0)
		sim->result->forwarded++;
}

static void on_end(sim_t *sim, job_t *job)
{
	engine_end(sim, &sim->engines[job->engine], job);
	job->ended = true;
	job->generation++;
	sim->policy->finished(sim->state, job);
}

static void on_failed(sim_t *sim, job_t *job, ap_attempt_end_t end)
{
	engine_drop(sim, &sim->engines[job->engine], job);
	if (job->answered) {
		job->ended = true;
		sim->policy->finished(sim->state, job);
		return;
	}
	sim->policy->failed(sim->state, job, end);
}

static void on_lost(sim_t *sim)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		engine_t *e = &sim->engines[i];
		job_t *job;

		if (!sim_engine_gone(sim, e))
			continue;
		for (int c = 0; c < AP_CLASS_COUNT; c++)
			while ((job = TAILQ_FIRST(&e->waiting[c])))
				on_failed(sim, job, AP_ATTEMPT_FAILED);
		while ((job = TAILQ_FIRST(&e->running)))
			on_failed(sim, job, AP_ATTEMPT_FAILED);
		engine_clear(e);
	}
}

static void on_view(sim_t *sim)
{
	const fault_t *f = &sim->row->fault;
	bool lost = f->gone && sim->now >= f->from && sim->now < f->to + VIEW_LAG;

	ap_view_unref(sim->view);
	sim->view = workload_view(sim->conf, sim->row, lost);
	sim->policy->view(sim->state);
}

static void on_report(sim_t *sim)
{
	ap_load_report_t *reports = calloc(UPSTREAMS, sizeof(*reports));

	for (int i = 0; i < UPSTREAMS; i++) {
		const engine_t *e = &sim->engines[i];

		snprintf(reports[i].upstream, AP_NAME_MAX, "u%d", i);
		reports[i].at = sim->now;
		reports[i].running = e->n_running;
		reports[i].waiting = e->n_waiting;
	}
	sim_push(sim, sim->now + sim->row->report_lag, SIM_REPORTED, NULL, reports);
	sim_push(sim, sim->now + REPORT_PERIOD, SIM_REPORT, NULL, NULL);
}

static void on_reported(sim_t *sim, ap_load_report_t *reports)
{
	for (int i = 0; i < UPSTREAMS; i++)
		if (!sim_engine_gone(sim, &sim->engines[i]))
			sim->policy->load(sim->state, &reports[i], i);
	free(reports);
}

static void send_cache_event(sim_t *sim, int engine, bool stored, const uint64_t *blocks, size_t n)
{
	ap_cache_event_t event = {.stored = stored, .blocks = blocks, .n_blocks = n};

	if (n == 0)
		return;
	event.seq = ++sim->engines[engine].cache_seq;
	if (ap_rng_unit(&sim->rng) < sim->row->cache_lost)
		return;
	snprintf(event.upstream, AP_NAME_MAX, "u%d", engine);
	sim->policy->cache(sim->state, &event, engine);
}

static void on_cache_events(sim_t *sim)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		engine_t *e = &sim->engines[i];

		send_cache_event(sim, i, true, e->stored, e->n_stored);
		send_cache_event(sim, i, false, e->removed, e->n_removed);
		e->n_stored = 0;
		e->n_removed = 0;
	}
	sim_push(sim, sim->now + CACHE_EVENT_PERIOD, SIM_CACHE_EVENTS, NULL, NULL);
}

static void handle_job(sim_t *sim, sim_kind_t kind, job_t *job)
{
	switch (kind) {
	case SIM_ARRIVE:
		sim->policy->arrived(sim->state, job);
		break;
	case SIM_FIRST_TOKEN:
		on_first(sim, job);
		break;
	case SIM_END:
		on_end(sim, job);
		break;
	case SIM_FAIL:
		on_failed(sim, job, AP_ATTEMPT_FAILED);
		break;
	case SIM_TIMEOUT:
		if (!job->answered)
			on_failed(sim, job, AP_ATTEMPT_TIMEOUT);
		break;
	case SIM_FORWARDED:
		sim->policy->forwarded(sim->state, job);
		break;
	default:
		sim->policy->refused(sim->state, job);
		break;
	}
}

static void handle_periodic(sim_t *sim, const sim_event_t *event)
{
	switch (event->kind) {
	case SIM_REPORT:
		on_report(sim);
		break;
	case SIM_REPORTED:
		on_reported(sim, event->data);
		break;
	case SIM_CACHE_EVENTS:
		on_cache_events(sim);
		break;
	case SIM_TICK:
		sim->policy->tick(sim->state);
		sim_push(sim, sim->now + TICK_PERIOD, SIM_TICK, NULL, NULL);
		break;
	case SIM_VIEW:
		on_view(sim);
		break;
	default:
		on_lost(sim);
		break;
	}
}

static void collect(sim_t *sim)
{
	result_t *r = sim->result;

	for (size_t i = 0; i < sim->n_jobs; i++) {
		const job_t *job = &sim->jobs[i];
		ap_class_t cls = job->arrival->cls;
		double ms = UNANSWERED_LATENCY / (double)AP_MSEC;

		if (!is_after_warm_up(job))
			continue;
		r->requests++;
		if (job->answered && job->latency < UNANSWERED_LATENCY)
			ms = (double)job->latency / (double)AP_MSEC;
		r->answered[cls] += job->answered;
		r->cost[cls] += job->cost;
		r->latency[cls][r->n[cls]++] = ms;
	}
}

static void start_jobs(sim_t *sim, const arrival_t *arrivals, size_t n)
{
	sim->jobs = calloc(n, sizeof(*sim->jobs));
	sim->n_jobs = n;
	for (size_t i = 0; i < n; i++) {
		const arrival_t *a = &arrivals[i];
		job_t *job = &sim->jobs[i];
		const ap_service_t *service = ap_conf_service(sim->conf, workload_service(a->cls));

		job->arrival = a;
		job->at_region = a->region;
		job->entry = a->entry;
		job->req = (ap_request_t){
			.id = {.inc = {1, 1}, .seq = i + 1},
			.service = service,
			.home = region_names[a->region],
			.cls = a->cls,
			.arrival = a->at,
			.deadline = a->at + service->deadline,
			.tokens_in = a->tokens_in,
			.tokens_out = workload_tokens_out(a->cls),
			.n_blocks = a->n_blocks,
		};
		memcpy(job->req.blocks, a->blocks, sizeof(a->blocks));
		sim_push(sim, a->at, SIM_ARRIVE, job, NULL);
	}
}

static void start(sim_t *sim, const arrival_t *arrivals, size_t n)
{
	const fault_t *f = &sim->row->fault;

	for (int i = 0; i < UPSTREAMS; i++)
		engine_init(&sim->engines[i], i / PER_REGION, i % PER_REGION,
			    workload_pool(sim->conf, i));
	sim->view = workload_view(sim->conf, sim->row, false);
	sim->lower_admitted =
		calloc((size_t)sim->row->entries * REGIONS, sizeof(*sim->lower_admitted));
	sim->state = sim->policy->new_state(sim);
	start_jobs(sim, arrivals, n);
	sim_push(sim, 0, SIM_REPORT, NULL, NULL);
	sim_push(sim, 0, SIM_CACHE_EVENTS, NULL, NULL);
	sim_push(sim, 0, SIM_TICK, NULL, NULL);
	if (!f->gone)
		return;
	sim_push(sim, f->from, SIM_UPSTREAMS_LOST, NULL, NULL);
	sim_push(sim, f->from + VIEW_LAG, SIM_VIEW, NULL, NULL);
	sim_push(sim, f->to + VIEW_LAG, SIM_VIEW, NULL, NULL);
}

static void stop(sim_t *sim)
{
	for (size_t i = 0; i < sim->n_heap; i++)
		free(sim->heap[i].data);
	for (int i = 0; i < UPSTREAMS; i++)
		engine_clear(&sim->engines[i]);
	sim->policy->free_state(sim->state);
	ap_view_unref(sim->view);
	ap_conf_unref(sim->conf);
	free(sim->heap);
	free(sim->jobs);
	free(sim->lower_admitted);
	free(sim);
}

void sim_run(const row_t *row, const policy_t *policy, const arrival_t *arrivals, size_t n,
	     uint64_t seed, result_t *result)
{
	sim_t *sim = calloc(1, sizeof(*sim));

	sim->row = row;
	sim->policy = policy;
	sim->result = result;
	sim->conf = workload_conf();
	ap_rng_seed(&sim->rng, seed);
	start(sim, arrivals, n);
	while (sim->n_heap > 0 && sim->heap[0].at < RUN_TIME + DRAIN_TIME) {
		sim_event_t event = pop(sim);

		sim->now = event.at;
		if (event.job && event.job->generation != event.generation)
			continue;
		if (event.job)
			handle_job(sim, event.kind, event.job);
		else
			handle_periodic(sim, &event);
	}
	collect(sim);
	stop(sim);
}
