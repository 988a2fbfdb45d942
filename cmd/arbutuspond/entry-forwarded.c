/* Requests that another entry forwarded here: served or refused, never forwarded again. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

/* Bytes of one chunk of a response. */
#define CHUNK_MAX 65536
/*
 * A request is abandoned after this many time limits without a message. A sender whose caller does
 * not read repeats its credit once per time limit.
 */
#define CREDIT_WAIT_LIMITS 4

static exchange_t *find(const entry_t *entry, const char *from, ap_xid_t exchange)
{
	exchange_t *x;

	HASH_FIND(hh_forwarded, entry->forwarded, &exchange, sizeof(exchange), x);
	return x && strcmp(x->forwarded.from, from) == 0 ? x : NULL;
}

static void refuse(entry_t *entry, const char *from, ap_xid_t exchange, entry_error_t error,
		   const char *text)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD_END, .exchange = exchange};
	ap_forward_end_t *end = &msg.u.end;

	end->outcome = entry_error_outcome(error);
	end->status = (uint32_t)entry_error_status(error);
	ap_copy_name(end->region, sizeof(end->region), entry->config.settings->region);
	ap_copy_name(end->code, sizeof(end->code), entry_error_code(error));
	ap_copy_name(end->text, sizeof(end->text), text);
	entry_send(entry, from, &msg);
}

static const ap_caller_t *caller_by_name(const ap_conf_t *conf, const char *name)
{
	for (size_t i = 0; i < conf->n_callers; i++) {
		if (strcmp(conf->callers[i].name, name) == 0)
			return &conf->callers[i];
	}
	return NULL;
}

static void add_sender(entry_t *entry, forward_sender_t *sender)
{
	HASH_ADD_STR(entry->forward_senders, name, sender);
}

static forward_sender_t *sender_of(entry_t *entry, const char *from)
{
	forward_sender_t *sender;

	HASH_FIND_STR(entry->forward_senders, from, sender);
	if (sender)
		return sender;
	sender = calloc(1, sizeof(*sender));
	if (!sender)
		return NULL;
	ap_copy_name(sender->name, sizeof(sender->name), from);
	add_sender(entry, sender);
	return sender;
}

/*
 * Senders number their requests in increasing order. A request that is received twice, or after a
 * later one, is neither started nor refused: a refusal would report not-run for a request that may
 * have run here.
 */
static bool is_first(entry_t *entry, const char *from, ap_xid_t exchange)
{
	forward_sender_t *sender = sender_of(entry, from);

	if (!sender)
		return false;
	if (ap_id_eq(sender->last.inc, exchange.inc) && exchange.seq <= sender->last.seq)
		return false;
	sender->last = exchange;
	return true;
}

/* HASH_CLEAR() leaves the items linked to each other, so the loop can still visit them. */
void entry_forget_senders(entry_t *entry, const ap_view_t *view)
{
	forward_sender_t *sender = entry->forward_senders;
	forward_sender_t *next;

	HASH_CLEAR(hh, entry->forward_senders);
	for (; sender; sender = next) {
		next = sender->hh.next;
		if (view && entry_region_of(view, sender->name))
			add_sender(entry, sender);
		else
			free(sender);
	}
}

/* The hop count must be 0 from an entry of this region and 1 from an entry of another one. */
static bool hops_valid(const entry_t *entry, const char *from, uint32_t hops)
{
	const char *region = entry_region_of(entry->view, from);
	bool here = region && strcmp(region, entry->config.settings->region) == 0;

	return region && hops == (here ? 0 : 1);
}

/* A method or target from another entry must not be able to end the request line. */
static bool request_line_valid(const ap_forward_request_t *request)
{
	uint32_t methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
			   EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;
	uint32_t method = request->method;

	if (request->target[0] != '/' || !(method & methods) || (method & (method - 1)))
		return false;
	for (const char *c = request->target; *c; c++) {
		if ((unsigned char)*c <= ' ' || *c == 0x7f)
			return false;
	}
	return true;
}

static bool take_body(exchange_t *x, const ap_forward_request_t *request, entry_fault_t *fault)
{
	json_t *doc;
	bool ok;

	if (x->req.service->plain) {
		x->raw = malloc(request->len + 1);
		if (x->raw)
			memcpy(x->raw, request->body, request->len);
		x->raw_len = x->raw ? request->len : 0;
		return x->raw != NULL;
	}
	doc = body_read(request->body, request->len, fault);
	ok = doc && body_apply(x, doc, fault);
	json_decref(doc);
	return ok;
}

/* What is dropped counts as sent, so that the sender finds it missing. */
static void drop_output(forwarded_t *fwd)
{
	size_t len = evbuffer_get_length(fwd->out);

	fwd->sent += len;
	evbuffer_drain(fwd->out, len);
}

/* Abandons a request whose sender is gone or unreachable: it neither grants credit nor cancels. */
static void on_credit_timeout(evutil_socket_t fd, short what, void *arg)
{
	exchange_t *x = arg;

	(void)fd;
	(void)what;
	x->entry->counts[COUNT_ABANDONED_IN]++;
	drop_output(&x->forwarded);
	exchange_caller_gone(x);
}

static void arm_credit_timer(exchange_t *x)
{
	ap_usec_t between = x->req.service->between_chunks + FORWARD_TIMEOUT_MARGIN;
	struct timeval limit = ap_timeval(CREDIT_WAIT_LIMITS * between);

	evtimer_add(x->forwarded.credit_timer, &limit);
}

static void init_forwarded(exchange_t *x, const char *from, const ap_forward_msg_t *msg)
{
	const ap_forward_request_t *request = &msg->u.request;
	entry_t *entry = x->entry;

	x->is_forwarded = true;
	x->forwarded.exchange = msg->exchange;
	x->forwarded.credit = request->credit;
	x->forwarded.out = evbuffer_new();
	x->forwarded.credit_timer = evtimer_new(entry->config.base, on_credit_timeout, x);
	ap_copy_name(x->forwarded.from, sizeof(x->forwarded.from), from);
	x->req.id = request->request;
	x->req.forwarded = request->hops > 0;
	x->req.local_only = true;
	x->req.version = request->version;
	/* The request's first_byte is the time left until the first byte is due at the sender. */
	if (request->first_byte < x->req.service->deadline)
		x->req.deadline = x->req.arrival + request->first_byte;
	x->method = (enum evhttp_cmd_type)request->method;
	x->target = strdup(request->target);
	ap_copy_name(x->model, sizeof(x->model), request->model);
	ap_copy_name(x->adapter, sizeof(x->adapter), request->adapter);
	ap_copy_name(x->content_type, sizeof(x->content_type), request->content_type);
	ap_copy_name(x->permit, sizeof(x->permit), request->permit);
	headers_unpack(&x->request_headers, HEADERS_REQUEST, &request->headers);
	HASH_ADD(hh_forwarded, entry->forwarded, forwarded.exchange, sizeof(x->forwarded.exchange),
		 x);
}

static void begin(entry_t *entry, const char *from, const ap_forward_msg_t *msg,
		  const ap_caller_t *caller, const ap_service_t *service)
{
	entry_fault_t fault = {.error = ENTRY_BAD_REQUEST};
	exchange_t *x = exchange_new(entry, caller, service);

	if (!x) {
		refuse(entry, from, msg->exchange, ENTRY_OVERLOADED, "out of memory");
		return;
	}
	init_forwarded(x, from, msg);
	if (!take_body(x, &msg->u.request, &fault)) {
		exchange_free(x);
		refuse(entry, from, msg->exchange, fault.error, fault.text);
		return;
	}
	entry->counts[COUNT_FORWARDED_IN]++;
	exchange_begin(x);
}

static void take_request(entry_t *entry, const char *from, const ap_forward_msg_t *msg)
{
	const ap_forward_request_t *request = &msg->u.request;
	const ap_conf_t *conf = entry->view ? entry->view->conf : NULL;
	const ap_service_t *service = conf ? ap_conf_service(conf, request->service) : NULL;
	const ap_caller_t *caller = conf ? caller_by_name(conf, request->caller) : NULL;
	const char *here = entry->config.settings->region;

	if (!conf || !hops_valid(entry, from, request->hops) || !request_line_valid(request) ||
	    !is_first(entry, from, msg->exchange)) {
		entry->counts[COUNT_REFUSED_MESSAGES]++;
		return;
	}
	if (entry->draining) {
		refuse(entry, from, msg->exchange, ENTRY_DRAINING, "this entry is shutting down");
		return;
	}
	if (!service || !caller) {
		refuse(entry, from, msg->exchange, ENTRY_NOT_RUN,
		       "service or caller not configured here yet");
		return;
	}
	/* This entry's configuration may be the newer one and bind the service to its home. */
	if (service->home_bound &&
	    (strcmp(caller->home, here) != 0 || strcmp(request->home, here) != 0)) {
		entry->counts[COUNT_REFUSED_MESSAGES]++;
		refuse(entry, from, msg->exchange, ENTRY_WRONG_REGION,
		       "this request stays in its home region");
		return;
	}
	begin(entry, from, msg, caller, service);
}

static bool send_chunk(exchange_t *x)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD_DATA, .exchange = x->forwarded.exchange};
	forwarded_t *fwd = &x->forwarded;
	size_t len = evbuffer_get_length(fwd->out);

	if (len > CHUNK_MAX)
		len = CHUNK_MAX;
	msg.u.data.offset = fwd->sent;
	msg.u.data.data = evbuffer_pullup(fwd->out, (ev_ssize_t)len);
	msg.u.data.len = len;
	if (!entry_send(x->entry, fwd->from, &msg))
		return false;
	evbuffer_drain(fwd->out, len);
	fwd->sent += len;
	return true;
}

static void send_end(exchange_t *x)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD_END, .exchange = x->forwarded.exchange};

	x->forwarded.end.total = x->forwarded.sent;
	msg.u.end = x->forwarded.end;
	entry_send(x->entry, x->forwarded.from, &msg);
}

void forwarded_pump(exchange_t *x)
{
	forwarded_t *fwd = &x->forwarded;

	while (evbuffer_get_length(fwd->out) > 0 && fwd->sent < fwd->credit) {
		/*
		 * A full message queue means that the sender is unreachable. Its own time limit
		 * ends the request there.
		 */
		if (!send_chunk(x)) {
			drop_output(fwd);
			fwd->ended = false;
			return;
		}
	}
	if (evbuffer_get_length(fwd->out) > 0) {
		if (!evtimer_pending(fwd->credit_timer, NULL))
			arm_credit_timer(x);
		return;
	}
	evtimer_del(fwd->credit_timer);
	if (fwd->ended) {
		fwd->ended = false;
		send_end(x);
	}
}

void forwarded_clear(exchange_t *x)
{
	if (!x->is_forwarded)
		return;
	HASH_DELETE(hh_forwarded, x->entry->forwarded, x);
	evbuffer_free(x->forwarded.out);
	event_free(x->forwarded.credit_timer);
	x->is_forwarded = false;
}

void forwarded_receive(entry_t *entry, const char *from, const ap_forward_msg_t *msg)
{
	exchange_t *x;

	if (msg->kind == AP_WIRE_FORWARD) {
		take_request(entry, from, msg);
		return;
	}
	x = find(entry, from, msg->exchange);
	if (!x)
		return;
	if (msg->kind == AP_WIRE_FORWARD_CANCEL) {
		exchange_caller_gone(x);
		return;
	}
	if (msg->u.credit > x->forwarded.credit)
		x->forwarded.credit = msg->u.credit;
	evtimer_del(x->forwarded.credit_timer);
	forwarded_pump(x);
	attempt_flow(x);
	exchange_settle(x);
}
