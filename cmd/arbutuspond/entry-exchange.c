/* One request from its arrival to its outcome: admission, gate, attempts, end. */
#include "entry.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Part of a caller's limits at an entry that is not listed for the caller. */
#define UNLISTED_ENTRY_SHARE 0.1
/* Time from a request's start to its first byte that admission expects, for every service. */
#define EXPECTED_DURATION (50 * AP_MSEC)

static void format_name(ap_xid_t xid, char out[REQUEST_TEXT_MAX])
{
	char inc[AP_ID_TEXT_MAX];

	ap_id_format(xid.inc, inc);
	snprintf(out, REQUEST_TEXT_MAX, "%s-%" PRIu64, inc, xid.seq);
}

static void on_limit(evutil_socket_t fd, short what, void *arg);

exchange_t *exchange_new(entry_t *entry, const ap_caller_t *caller, const ap_service_t *service)
{
	exchange_t *x = calloc(1, sizeof(*x));
	ap_usec_t now = ap_now();

	if (!x)
		return NULL;
	x->entry = entry;
	x->token = ++entry->next_token;
	x->view = ap_view_ref(entry->view);
	x->response = evbuffer_new();
	x->limit_timer = evtimer_new(entry->config.base, on_limit, x);
	stream_init(&x->stream, service);
	ap_copy_name(x->home, sizeof(x->home), caller->home);
	x->req.id = (ap_xid_t){entry->config.inc, x->token};
	x->req.service = service;
	x->req.caller = caller;
	x->req.home = x->home;
	x->req.cls = service->cls;
	x->req.arrival = now;
	x->req.deadline = now + service->deadline;
	/*
	 * A call that must not run twice stays in this region, since a lost message between regions
	 * would leave its outcome unknown.
	 */
	x->req.local_only = !service->repeatable || service->permit;
	format_name(x->req.id, x->name);
	HASH_ADD(hh, entry->exchanges, token, sizeof(x->token), x);
	return x;
}

void exchange_free(exchange_t *x)
{
	entry_t *entry = x->entry;

	attempt_cancel(x);
	forwarded_clear(x);
	HASH_DELETE(hh, entry->exchanges, x);
	event_free(x->limit_timer);
	evbuffer_free(x->response);
	stream_clear(&x->stream);
	headers_clear(&x->request_headers);
	headers_clear(&x->response_headers);
	json_decref(x->doc);
	free(x->raw);
	free(x->target);
	ap_view_unref(x->view);
	free(x);
	entry_check_drained(entry);
}

void exchange_settle(exchange_t *x)
{
	if (x->phase != PHASE_ENDED || x->fetch)
		return;
	if (x->is_forwarded && evbuffer_get_length(x->forwarded.out) > 0)
		return;
	exchange_free(x);
}

static void count_outcome(entry_t *entry, ap_outcome_t outcome)
{
	static const entry_count_t counts[] = {
		[AP_OUTCOME_COMPLETED] = COUNT_COMPLETED,
		[AP_OUTCOME_NOT_RUN] = COUNT_NOT_RUN,
		[AP_OUTCOME_UNKNOWN] = COUNT_UNKNOWN,
	};

	entry->counts[counts[outcome]]++;
}

/* Records the outcome: counters, event, hooks and admission. Sends no reply. */
static void end(exchange_t *x, ap_outcome_t outcome, const char *why)
{
	entry_t *entry = x->entry;
	bool unstreamed = outcome == AP_OUTCOME_COMPLETED && !x->sse;
	size_t len = unstreamed ? evbuffer_get_length(x->response) : 0;
	const void *response = len ? (const void *)evbuffer_pullup(x->response, -1) : NULL;
	ap_usec_t now = ap_now();

	/* For a resolved permit, the issuer or witness knows better whether the call ran. */
	ap_require(&entry->env, outcome != AP_OUTCOME_NOT_RUN || !x->maybe_ran || x->resolving,
		   AP_INV_ONCE, "not-run reported for a request that may have run");
	x->phase = PHASE_ENDED;
	count_outcome(entry, outcome);
	entry->counts[COUNT_TOKENS] += x->stream.tokens;
	entry->cost += x->cost;
	ap_emit(&entry->env, now, "request.end", x->req.id,
		"outcome=%s why=%s service=%s region=%s attempts=%u cost=%.3f",
		ap_outcome_name(outcome), why, x->req.service->name, x->region, x->attempts,
		x->cost);
	if (entry->hooks.ended && x->req.service->permit)
		entry->hooks.ended(entry->hooks.ctx, x, outcome, response, len);
	ap_admission_done(entry->admission, x->token, now);
}

/*
 * Replaces an error that says not-run if an earlier attempt may have run. A request that a remote
 * region did not serve requests admission here again, for example, and may be shed then.
 */
static void fix_outcome(const exchange_t *x, entry_fault_t *fault)
{
	if (!x->maybe_ran || x->resolving ||
	    entry_error_outcome(fault->error) != AP_OUTCOME_NOT_RUN)
		return;
	fault->error = x->req.service->repeatable ? ENTRY_UPSTREAM_FAILED : ENTRY_UNKNOWN;
}

/*
 * True for a call with an idempotency key before its claim is made: an earlier call with the same
 * key may have run, and this entry does not know it.
 */
static bool key_not_checked(const exchange_t *x)
{
	return x->req.service->permit && !x->permit[0] && x->phase != PHASE_RUNNING;
}

static void fail(exchange_t *x, entry_fault_t *fault)
{
	ap_outcome_t outcome;

	attempt_cancel(x);
	fix_outcome(x, fault);
	outcome = entry_error_outcome(fault->error);
	if (key_not_checked(x))
		fault_earlier_unknown(fault);
	end(x, outcome, entry_error_code(fault->error));
	sink_fault(x, fault);
	exchange_settle(x);
}

void exchange_fail(exchange_t *x, entry_error_t error, const char *text)
{
	entry_fault_t fault = {.error = error};

	ap_copy_name(fault.text, sizeof(fault.text), text);
	fail(x, &fault);
}

void exchange_give_up(exchange_t *x, const char *why)
{
	entry_fault_t not_run = {.error = ENTRY_NOT_RUN};

	if (!x->maybe_ran) {
		not_run.retry_after = ap_route_retry_after(x->entry->route, &x->req, ap_now());
		ap_copy_name(not_run.text, sizeof(not_run.text), why);
		fail(x, &not_run);
	} else if (x->req.service->repeatable) {
		exchange_fail(x, ENTRY_UPSTREAM_FAILED, why);
	} else {
		exchange_fail(x, ENTRY_UNKNOWN, why);
	}
}

static void on_limit(evutil_socket_t fd, short what, void *arg)
{
	exchange_t *x = arg;
	entry_fault_t late = {
		.error = ENTRY_NOT_RUN,
		.text = "the time limit of a request passed",
	};

	(void)fd;
	(void)what;
	if (x->phase == PHASE_ENDED) {
		exchange_free(x);
		return;
	}
	if (x->phase == PHASE_WAITING) {
		ap_admission_cancel(x->entry->admission, x->token, ap_now());
		if (exchange_resolve_permit(x, &late))
			return;
	}
	if (x->phase == PHASE_GATE && x->entry->hooks.caller_gone)
		x->entry->hooks.caller_gone(x->entry->hooks.ctx, x);
	attempt_cancel(x);
	if (x->maybe_ran || x->resolving)
		late.error = ENTRY_UNKNOWN;
	fail(x, &late);
}

/* Part of a caller's limits enforced here: the entries listed for the caller share them. */
static double limit_share(const exchange_t *x)
{
	const ap_entry_t *found[AP_ENTRIES_MAX];
	const ap_caller_t *caller = x->req.caller;
	const char *own = x->entry->config.settings->id;
	size_t n = ap_entries_for(x->view, caller->name, caller->home, x->req.service->home_bound,
				  found);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(found[i]->id, own) == 0)
			return 1.0 / (double)n;
	}
	return n ? UNLISTED_ENTRY_SHARE / (double)n : 1.0;
}

static void request_admission(exchange_t *x)
{
	entry_t *entry = x->entry;
	entry_fault_t fault = {.error = ENTRY_OVER_LIMIT, .text = "over this caller's limit"};
	ap_admission_request_t ask = {
		.token = x->token,
		.caller = x->req.caller,
		.cls = x->req.cls,
		.forwarded = x->req.forwarded,
		.home_bound = x->req.service->home_bound,
		.deadline = x->req.deadline,
		.expected = EXPECTED_DURATION,
		.share = limit_share(x),
	};
	ap_usec_t now = ap_now();

	x->phase = PHASE_WAITING;
	switch (ap_admission_admit(entry->admission, &ask, now, &fault.retry_after)) {
	case AP_ADMIT_NOW:
		exchange_admitted(x);
		break;
	case AP_ADMIT_QUEUE:
		entry_tick_soon(entry);
		if (attempt_forward(x, fault.retry_after))
			ap_admission_cancel(entry->admission, x->token, now);
		break;
	case AP_ADMIT_SHED:
		exchange_shed(x, fault.retry_after);
		break;
	case AP_ADMIT_OVER_LIMIT:
		if (!exchange_resolve_permit(x, &fault))
			fail(x, &fault);
		break;
	}
}

void exchange_begin(exchange_t *x)
{
	entry_t *entry = x->entry;
	struct timeval limit = ap_timeval(entry->config.settings->request_time);

	ap_require(&entry->env, ap_residency_allows(&x->req, entry->config.settings->region),
		   AP_INV_RESIDENCY, "home-bound request accepted outside its region");
	entry->counts[COUNT_REQUESTS]++;
	ap_retry_budget_request(entry->budget, ap_now());
	event_add(x->limit_timer, &limit);
	request_admission(x);
}

void exchange_shed(exchange_t *x, ap_usec_t retry_after)
{
	entry_fault_t fault = {
		.error = ENTRY_OVERLOADED,
		.retry_after = retry_after,
		.text = "this entry is overloaded",
	};

	if (attempt_forward(x, AP_NEVER))
		return;
	x->entry->counts[COUNT_SHED]++;
	if (!exchange_resolve_permit(x, &fault))
		fail(x, &fault);
}

void exchange_admitted(exchange_t *x)
{
	entry_hooks_t *hooks = &x->entry->hooks;

	x->admitted = true;
	if (!x->req.service->permit) {
		exchange_run(x);
		return;
	}
	x->phase = PHASE_GATE;
	if (hooks->gate)
		hooks->gate(hooks->ctx, x);
	else
		exchange_fail(x, ENTRY_NOT_RUN, "this entry can't check permits");
}

void exchange_run(exchange_t *x)
{
	x->phase = PHASE_RUNNING;
	attempt_start(x);
}

void exchange_refuse(exchange_t *x, entry_fault_t *fault)
{
	fail(x, fault);
}

void exchange_reply_stored(exchange_t *x, int status, const char *type, const void *response,
			   size_t len)
{
	evbuffer_drain(x->response, evbuffer_get_length(x->response));
	headers_clear(&x->response_headers);
	if (evbuffer_add(x->response, response, len) != 0) {
		entry_fault_t fault = {
			.error = ENTRY_UNKNOWN,
			.text = "no memory for the stored response",
			.completed = true,
		};

		fail(x, &fault);
		return;
	}
	x->status = status;
	/* Streams are not stored; an earlier attempt may have begun one. */
	x->sse = false;
	ap_copy_name(x->response_type, sizeof(x->response_type), type);
	ap_copy_name(x->region, sizeof(x->region), x->entry->config.settings->region);
	if (!x->response_type[0])
		ap_copy_name(x->response_type, sizeof(x->response_type), "application/json");
	end(x, AP_OUTCOME_COMPLETED, "stored");
	sink_finish(x);
	exchange_settle(x);
}

bool exchange_resolve_permit(exchange_t *x, const entry_fault_t *deferred)
{
	const entry_hooks_t *hooks = &x->entry->hooks;

	if (!x->req.service->permit || !x->permit[0] || x->resolving || !hooks->resolve)
		return false;
	x->phase = PHASE_GATE;
	x->resolving = true;
	x->deferred_fault = *deferred;
	hooks->resolve(hooks->ctx, x);
	return true;
}

void exchange_forward_to_issuer(exchange_t *x, const char *to)
{
	entry_fault_t fault = {
		.error = ENTRY_NOT_RUN,
		.text = "the entry that issued the permit can't be reached",
	};

	x->phase = PHASE_RUNNING;
	x->at_issuer = true;
	if (!forward_start(x, to, 0) && !exchange_resolve_permit(x, &fault))
		fail(x, &fault);
}

void exchange_completed(exchange_t *x)
{
	ap_require(&x->entry->env, x->matched && (!x->sse || x->stream.done),
		   AP_INV_COMPLETE_RESPONSE, "response incomplete or to another request");
	end(x, AP_OUTCOME_COMPLETED, "answered");
	sink_finish(x);
	exchange_settle(x);
}

void exchange_caller_gone(exchange_t *x)
{
	ap_outcome_t outcome = AP_OUTCOME_NOT_RUN;

	if (x->phase == PHASE_ENDED) {
		if (x->is_forwarded)
			exchange_free(x);
		return;
	}
	/* A call that runs at most once continues without its caller: its outcome is recorded. */
	if (x->phase == PHASE_RUNNING && x->req.service->permit) {
		attempt_flow(x);
		return;
	}
	if (x->phase == PHASE_WAITING)
		ap_admission_cancel(x->entry->admission, x->token, ap_now());
	if (x->phase == PHASE_GATE && x->entry->hooks.caller_gone)
		x->entry->hooks.caller_gone(x->entry->hooks.ctx, x);
	attempt_cancel(x);
	if (x->maybe_ran || x->resolving)
		outcome = AP_OUTCOME_UNKNOWN;
	if (x->is_forwarded)
		evbuffer_drain(x->forwarded.out, evbuffer_get_length(x->forwarded.out));
	end(x, outcome, "hung-up");
	exchange_settle(x);
}

static bool may_resume(const exchange_t *x)
{
	return x->sse && x->req.service->resumable;
}

/*
 * The first retry after a silent connection may use the budget's reserve, since all connections may
 * go silent at once.
 */
static bool retry_allowed(exchange_t *x, ap_usec_t now)
{
	ap_retry_budget_t *budget = x->entry->budget;
	ap_usec_t deadline = x->req.deadline;
	ap_usec_t wait = x->choice.expected_wait;
	bool first_silent = x->first_silent;

	x->first_silent = false;
	if (!(first_silent && ap_retry_budget_take_reserve(budget, now, deadline, wait)) &&
	    !ap_retry_budget_take_class(budget, x->req.cls, now, deadline, wait))
		return false;
	ap_retry_budget_retried(budget);
	return true;
}

void exchange_retry(exchange_t *x, bool certainly_not_run, const char *why)
{
	ap_usec_t now = ap_now();
	bool started = x->reply_started;
	entry_fault_t deferred = {.error = ENTRY_NOT_RUN};

	ap_copy_name(deferred.text, sizeof(deferred.text), why);
	if (x->at_issuer && !started && exchange_resolve_permit(x, &deferred))
		return;
	if (!certainly_not_run)
		x->maybe_ran = true;
	if (started && !may_resume(x)) {
		exchange_give_up(x, why);
		return;
	}
	if (!certainly_not_run && !x->req.service->repeatable) {
		exchange_give_up(x, why);
		return;
	}
	if (x->attempts >= ATTEMPTS_MAX) {
		exchange_give_up(x, why);
		return;
	}
	/* A resumed stream waits for a first byte again. */
	if (started)
		x->req.deadline = now + x->req.service->first_byte;
	if (!retry_allowed(x, now)) {
		exchange_give_up(x, why);
		return;
	}
	x->entry->counts[started ? COUNT_RESUMES : COUNT_RETRIES]++;
	/* A request that was forwarded before it was admitted still needs admission here. */
	if (x->admitted)
		attempt_start(x);
	else
		request_admission(x);
}
