/*
 * An attempt at another entry. The request is sent once; the response comes back under credit-based
 * flow control.
 */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

#define OVERRUN_MAX (1u << 20) /* response bytes past the credit that fail the attempt */

const ap_entry_t *forward_pick_entry(exchange_t *x, const char *region)
{
	const ap_view_t *view = x->entry->view;
	const ap_entry_t *picked = NULL;
	uint64_t seen = 0;

	for (size_t i = 0; i < view->n_entries; i++) {
		const ap_entry_t *entry = &view->entries[i];

		if (entry->draining || strcmp(entry->region, region) != 0)
			continue;
		if (ap_rng_below(&x->entry->rng, ++seen) == 0)
			picked = entry;
	}
	return picked;
}

static void arm(exchange_t *x, ap_usec_t delay)
{
	struct timeval tv = ap_timeval(delay);

	evtimer_add(x->forward.limit_timer, &tv);
}

static ap_usec_t limit_of(const exchange_t *x)
{
	const ap_service_t *service = x->req.service;

	return (x->forward.any_received ? service->between_chunks : service->deadline) +
	       FORWARD_TIMEOUT_MARGIN;
}

void forward_close(exchange_t *x)
{
	if (!x->forward.open)
		return;
	x->forward.open = false;
	HASH_DELETE(hh_forward, x->entry->forwards, x);
	event_free(x->forward.limit_timer);
	x->forward.limit_timer = NULL;
}

void forward_cancel(exchange_t *x)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD_CANCEL, .exchange = x->forward.exchange};

	entry_send(x->entry, x->forward.to, &msg);
	forward_close(x);
}

static void send_credit(const exchange_t *x)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD_CREDIT, .exchange = x->forward.exchange};

	msg.u.credit = x->forward.granted;
	entry_send(x->entry, x->forward.to, &msg);
}

static void on_limit(evutil_socket_t fd, short what, void *arg)
{
	exchange_t *x = arg;
	ap_usec_t silent = ap_now() - x->forward.last_active;
	ap_usec_t limit = limit_of(x);

	(void)fd;
	(void)what;
	if (silent < limit) {
		arm(x, limit - silent);
		return;
	}
	/*
	 * While the caller does not read, the credit is used up and nothing can be received.
	 * Repeating the credit shows the other entry that this one is still alive.
	 */
	if (x->forward.received >= x->forward.granted) {
		send_credit(x);
		arm(x, limit);
		return;
	}
	forward_cancel(x);
	exchange_retry(x, false, "the other entry did not respond in time");
}

static void fill_request(const exchange_t *x, unsigned hops, ap_forward_request_t *request)
{
	request->request = x->req.id;
	request->hops = hops;
	ap_copy_name(request->caller, sizeof(request->caller), x->req.caller->name);
	ap_copy_name(request->home, sizeof(request->home), x->home);
	ap_copy_name(request->service, sizeof(request->service), x->req.service->name);
	ap_copy_name(request->model, sizeof(request->model), x->model);
	ap_copy_name(request->adapter, sizeof(request->adapter), x->adapter);
	ap_copy_name(request->content_type, sizeof(request->content_type), x->content_type);
	ap_copy_name(request->permit, sizeof(request->permit), x->permit);
	request->stream = x->wants_stream;
	request->method = x->method;
	request->first_byte = x->req.deadline - ap_now();
	request->credit = x->forward.granted;
	request->version = x->req.version;
	headers_pack(&x->request_headers, HEADERS_REQUEST, &request->headers);
}

static bool send_request(exchange_t *x, unsigned hops)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD, .exchange = x->forward.exchange};
	ap_forward_request_t *request = &msg.u.request;
	char *text = x->doc ? body_for_entry(x) : NULL;
	bool sent = false;

	fill_request(x, hops, request);
	request->body = text ? text : x->raw;
	request->len = text ? strlen(text) : x->raw_len;
	if (request->len <= AP_FORWARD_BODY_MAX &&
	    ap_copy_name(request->target, sizeof(request->target), x->target))
		sent = entry_send(x->entry, x->forward.to, &msg);
	free(text);
	return sent;
}

static bool allowed(const exchange_t *x, const char *region, unsigned hops)
{
	const ap_env_t *env = &x->entry->env;
	bool here = strcmp(region, x->entry->config.settings->region) == 0;

	return ap_require(env, !x->is_forwarded, AP_INV_ONE_HOP,
			  "forwarded request forwarded again") &&
	       ap_require(env, here == (hops == 0), AP_INV_ONE_HOP, "wrong hop count") &&
	       ap_require(env, ap_residency_allows(&x->req, region), AP_INV_RESIDENCY,
			  "home-bound request sent to a remote region");
}

bool forward_start(exchange_t *x, const char *to, unsigned hops)
{
	entry_t *entry = x->entry;
	const char *region = entry_region_of(entry->view, to);
	forward_t *fwd = &x->forward;

	if (!region || !allowed(x, region, hops))
		return false;
	*fwd = (forward_t){
		.exchange = {entry->config.inc, ++entry->next_token},
		.granted = FORWARD_WINDOW,
		.last_active = ap_now(),
	};
	ap_copy_name(fwd->to, sizeof(fwd->to), to);
	if (!send_request(x, hops))
		return false;
	fwd->limit_timer = evtimer_new(entry->config.base, on_limit, x);
	fwd->open = true;
	HASH_ADD(hh_forward, entry->forwards, forward.exchange, sizeof(fwd->exchange), x);
	arm(x, limit_of(x));
	ap_emit(&entry->env, ap_now(), "away.start", x->req.id, "to=%s hops=%u", to, hops);
	return true;
}

/* Grants more credit unless the caller's queue is full or half of the window is still unused. */
void forward_grant_credit(exchange_t *x)
{
	forward_t *fwd = &x->forward;

	/* The last chunk may exceed the credit, so @received may be above @granted. */
	if (sink_full(x) || fwd->granted > fwd->received + FORWARD_WINDOW / 2)
		return;
	fwd->granted = fwd->received + FORWARD_WINDOW;
	fwd->last_active = ap_now();
	send_credit(x);
}

static void fail_forward(exchange_t *x, const char *why)
{
	forward_cancel(x);
	exchange_retry(x, false, why);
}

static void take_data(exchange_t *x, const ap_forward_data_t *data)
{
	forward_t *fwd = &x->forward;

	if (!fwd->head_received || data->offset != fwd->received ||
	    fwd->received + data->len > fwd->granted + OVERRUN_MAX) {
		fail_forward(
			x, "a chunk from the other entry is out of sequence or beyond the credit");
		return;
	}
	fwd->received += data->len;
	if (!attempt_data(x, data->data, data->len)) {
		fail_forward(x, "the response is too long");
		return;
	}
	forward_grant_credit(x);
}

static void take_fault(exchange_t *x, const ap_forward_end_t *end)
{
	entry_error_t error;
	entry_fault_t fault = {.retry_after = end->retry_after};
	bool known = entry_error_by_code(end->code, &error);

	if (known) {
		fault.error = error;
		ap_copy_name(fault.text, sizeof(fault.text), end->text);
	}
	/* The permit's issuer may have refused the request without checking the permit. */
	if (x->at_issuer && known && error != ENTRY_UNKNOWN && exchange_resolve_permit(x, &fault))
		return;
	/*
	 * Errors of the permit's issuer are final. Of the errors of a remote region, 421 (wrong
	 * region), 429 (over a limit) and 5xx are not: the request may be retried here.
	 */
	if (known &&
	    (x->at_issuer || (end->status < 500 && end->status != 421 && end->status != 429))) {
		if (entry_error_outcome(error) != AP_OUTCOME_NOT_RUN)
			x->maybe_ran = true;
		exchange_refuse(x, &fault);
		return;
	}
	/* Refused for its version, perhaps, which says nothing of other requests. */
	if (end->outcome == AP_OUTCOME_NOT_RUN && x->choice.region[0] && x->req.version == 0)
		ap_route_forward_refused(x->entry->route, x->choice.region, x->choice.model,
					 ap_now());
	exchange_retry(x, end->outcome == AP_OUTCOME_NOT_RUN,
		       "the remote region did not serve the request");
}

static void take_end(exchange_t *x, const ap_forward_end_t *end)
{
	forward_close(x);
	if (end->outcome != AP_OUTCOME_COMPLETED || end->code[0]) {
		take_fault(x, end);
		return;
	}
	/*
	 * The other entry does not pass on the end mark. A completed outcome and a matching byte
	 * count replace it.
	 */
	if (x->sse && end->total == x->forward.received)
		x->stream.done = true;
	if (!x->forward.head_received || end->total != x->forward.received ||
	    !attempt_complete(x)) {
		exchange_retry(x, false, "the response was cut between entries");
		return;
	}
	x->matched = true;
	x->cost = end->cost;
	ap_copy_name(x->region, sizeof(x->region), end->region);
	exchange_completed(x);
}

static void take_head(exchange_t *x, const ap_forward_head_t *head)
{
	const char *why;

	x->forward.head_received = true;
	headers_unpack(&x->response_headers, HEADERS_RESPONSE, &head->headers);
	attempt_head(x, (int)head->status, head->content_type);
	x->version = head->version;
	if (!attempt_continues(x, &why))
		fail_forward(x, why);
}

void forward_receive(entry_t *entry, const char *from, const ap_forward_msg_t *msg)
{
	exchange_t *x;

	HASH_FIND(hh_forward, entry->forwards, &msg->exchange, sizeof(msg->exchange), x);
	if (!x || strcmp(x->forward.to, from) != 0) {
		entry->counts[COUNT_LATE_RESPONSES]++;
		return;
	}
	x->forward.any_received = true;
	x->forward.last_active = ap_now();
	switch (msg->kind) {
	case AP_WIRE_FORWARD_HEAD:
		take_head(x, &msg->u.head);
		break;
	case AP_WIRE_FORWARD_DATA:
		take_data(x, &msg->u.data);
		break;
	case AP_WIRE_FORWARD_END:
		take_end(x, &msg->u.end);
		break;
	default:
		break;
	}
}
