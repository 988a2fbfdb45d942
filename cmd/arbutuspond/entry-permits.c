/* Calls of POST /v1/permits: replies with a permit, at once or when a witness is known. */
#include "entry-permits.h"

#include <stdlib.h>
#include <string.h>

#define WAITING_CALLS_MAX 1024 /* calls that wait for a witness */

typedef struct waiting_call {
	permits_t *permits;
	ap_http_call_t *call;
	char service[AP_NAME_MAX];
	char caller[AP_NAME_MAX];
	TAILQ_ENTRY(waiting_call) link;
} waiting_call_t;

void permits_init(permits_t *p, entry_t *entry, ap_once_t *once)
{
	*p = (permits_t){.entry = entry, .once = once};
	TAILQ_INIT(&p->waiting);
}

static void refuse(const permits_t *p, ap_http_call_t *call, entry_error_t error, const char *why)
{
	entry_fault_t fault = {.error = error, .retry_after = AP_SEC};

	ap_copy_name(fault.text, sizeof(fault.text), why);
	reply_fault(p->entry, call, NULL, &fault);
}

static void issue(const permits_t *p, ap_http_call_t *call, const char *caller, const char *service)
{
	char text[AP_PERMIT_TEXT_MAX];

	switch (ap_once_issue(p->once, service, caller, ap_now(), text)) {
	case AP_ONCE_OK:
		reply_json(call, 200,
			   json_pack("{s:s, s:I}", "permit", text, "expires",
				     (json_int_t)(ap_once_default_limits.ttl / AP_SEC)));
		break;
	case AP_ONCE_OVER_LIMIT:
		refuse(p, call, ENTRY_OVER_LIMIT,
		       "this caller's quota of unused permits is used up");
		break;
	case AP_ONCE_DRAINING:
		refuse(p, call, ENTRY_DRAINING, "this entry is shutting down");
		break;
	default:
		refuse(p, call, ENTRY_OVERLOADED, "this entry's quota of permits is used up");
		break;
	}
}

static void forget(waiting_call_t *h)
{
	permits_t *p = h->permits;

	TAILQ_REMOVE(&p->waiting, h, link);
	p->entry->waiting_calls--;
	free(h);
}

static void on_gone(void *ctx)
{
	entry_t *entry = ((waiting_call_t *)ctx)->permits->entry;

	forget(ctx);
	entry_check_drained(entry);
}

static void hold(permits_t *p, ap_http_call_t *call, const char *caller, const char *service)
{
	waiting_call_t *h =
		p->entry->waiting_calls < WAITING_CALLS_MAX ? calloc(1, sizeof(*h)) : NULL;

	if (!h) {
		refuse(p, call, ENTRY_OVERLOADED, "too many calls wait for a permit");
		return;
	}
	h->permits = p;
	h->call = call;
	ap_copy_name(h->caller, sizeof(h->caller), caller);
	ap_copy_name(h->service, sizeof(h->service), service);
	TAILQ_INSERT_TAIL(&p->waiting, h, link);
	p->entry->waiting_calls++;
	ap_http_call_watch(call, h, on_gone, NULL);
}

void permits_request(permits_t *p, ap_http_call_t *call, const ap_caller_t *caller,
		     const ap_service_t *service)
{
	if (!service->permit)
		reply_simple(p->entry, call, ENTRY_BAD_REQUEST, "this service takes no permits");
	else if (ap_once_witness_ready(p->once))
		issue(p, call, caller->name, service->name);
	else
		hold(p, call, caller->name, service->name);
}

static void release(permits_t *p)
{
	waiting_call_t *h;
	waiting_call_t *next;

	for (h = TAILQ_FIRST(&p->waiting); h; h = next) {
		next = TAILQ_NEXT(h, link);
		ap_http_call_watch(h->call, NULL, NULL, NULL);
		if (p->entry->draining)
			refuse(p, h->call, ENTRY_DRAINING, "this entry is shutting down");
		else
			issue(p, h->call, h->caller, h->service);
		forget(h);
	}
}

/*
 * Announces to the control task that permits get a witness if there is one. Until this
 * announcement the instance is not ready, so callers are not directed to it.
 */
static void announce_witness(permits_t *p)
{
	ap_note_t note = {.kind = AP_NOTE_PERMITS_READY};

	if (p->announced || !p->entry->view || !p->entry->view->conf ||
	    !ap_once_witness_ready(p->once))
		return;
	p->announced = true;
	p->entry->config.note(p->entry->config.ctx, &note);
}

void permits_tick(permits_t *p)
{
	announce_witness(p);
	if (TAILQ_EMPTY(&p->waiting) || (!p->entry->draining && !ap_once_witness_ready(p->once)))
		return;
	release(p);
	entry_check_drained(p->entry);
}
