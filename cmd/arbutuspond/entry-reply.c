/* Replies to callers and forwarding entries: errors with stable codes, responses and streams. */
#include "entry.h"

#include <stdio.h>
#include <string.h>

#define REPLY_HEADERS_MAX (8 + PASSED_HEADERS_MAX)
#define NUMBER_TEXT_MAX 32

static const struct {
	int status;
	const char *code;
	ap_outcome_t outcome;
} errors[ENTRY_ERROR_COUNT] = {
	[ENTRY_BAD_REQUEST] = {400, "bad_request", AP_OUTCOME_NOT_RUN},
	[ENTRY_UNAUTHORIZED] = {401, "unauthorized", AP_OUTCOME_NOT_RUN},
	[ENTRY_FORBIDDEN] = {403, "forbidden", AP_OUTCOME_NOT_RUN},
	[ENTRY_NOT_FOUND] = {404, "not_found", AP_OUTCOME_NOT_RUN},
	[ENTRY_REQUEST_TIMEOUT] = {408, "request_timeout", AP_OUTCOME_NOT_RUN},
	[ENTRY_PERMIT_USED] = {409, "permit_used", AP_OUTCOME_UNKNOWN},
	[ENTRY_TOO_LARGE] = {413, "too_large", AP_OUTCOME_NOT_RUN},
	[ENTRY_WRONG_REGION] = {421, "wrong_region", AP_OUTCOME_NOT_RUN},
	[ENTRY_PERMIT_NEEDED] = {428, "permit_needed", AP_OUTCOME_NOT_RUN},
	[ENTRY_OVER_LIMIT] = {429, "over_limit", AP_OUTCOME_NOT_RUN},
	[ENTRY_OVERLOADED] = {503, "overloaded", AP_OUTCOME_NOT_RUN},
	[ENTRY_UPSTREAM_FAILED] = {502, "upstream_failed", AP_OUTCOME_UNKNOWN},
	[ENTRY_NOT_RUN] = {503, "not_run", AP_OUTCOME_NOT_RUN},
	[ENTRY_UNKNOWN] = {504, "unknown", AP_OUTCOME_UNKNOWN},
	[ENTRY_DRAINING] = {503, "draining", AP_OUTCOME_NOT_RUN},
	[ENTRY_UNCHECKED] = {503, "unchecked", AP_OUTCOME_UNKNOWN},
};

int entry_error_status(entry_error_t error)
{
	return errors[error].status;
}

const char *entry_error_code(entry_error_t error)
{
	return errors[error].code;
}

ap_outcome_t entry_error_outcome(entry_error_t error)
{
	return errors[error].outcome;
}

bool entry_error_by_code(const char *code, entry_error_t *error)
{
	for (int i = 0; i < ENTRY_ERROR_COUNT; i++) {
		if (strcmp(errors[i].code, code) != 0)
			continue;
		*error = (entry_error_t)i;
		return true;
	}
	return false;
}

typedef struct header_list {
	ap_http_header_t v[REPLY_HEADERS_MAX];
	size_t n;
} header_list_t;

static void add_header(header_list_t *list, const char *name, const char *value)
{
	if (list->n < REPLY_HEADERS_MAX && value && value[0])
		list->v[list->n++] = (ap_http_header_t){name, value};
}

static void add_response_headers(header_list_t *list, const exchange_t *x)
{
	list->n += headers_list(&x->response_headers, HEADERS_RESPONSE, list->v + list->n);
}

static json_t *entry_json(const ap_entry_t *entry)
{
	return json_pack("{s:s, s:s, s:i, s:s}", "id", entry->id, "host", entry->host, "port",
			 (int)entry->caller_port, "region", entry->region);
}

json_t *entries_json(const entry_t *entry, const ap_caller_t *caller, bool home_only)
{
	const ap_entry_t *found[AP_ENTRIES_MAX];
	json_t *list = json_array();
	size_t n;

	if (!entry->view)
		return list;
	n = ap_entries_for(entry->view, caller->name, caller->home, home_only, found);
	for (size_t i = 0; i < n; i++) {
		/* The view may not list this entry as draining yet. */
		if (entry->draining && strcmp(found[i]->id, entry->config.settings->id) == 0)
			continue;
		json_array_append_new(list, entry_json(found[i]));
	}
	return list;
}

void reply_json(ap_http_call_t *call, int status, json_t *json)
{
	static const ap_http_header_t type[] = {{"Content-Type", "application/json"}};
	char *text = json_dumps(json, JSON_COMPACT);

	ap_http_reply(call, text ? status : HTTP_SERVUNAVAIL, type, 1, text ? text : "",
		      text ? strlen(text) : 0);
	free(text);
	json_decref(json);
}

static ap_outcome_t fault_outcome(const entry_fault_t *fault)
{
	if (fault->completed)
		return AP_OUTCOME_COMPLETED;
	return fault->earlier_unknown ? AP_OUTCOME_UNKNOWN : errors[fault->error].outcome;
}

void fault_earlier_unknown(entry_fault_t *fault)
{
	if (errors[fault->error].outcome != AP_OUTCOME_NOT_RUN)
		return;
	fault->earlier_unknown = true;
	if (fault->error == ENTRY_NOT_RUN)
		fault->error = ENTRY_UNCHECKED;
}

bool has_call_key(const ap_http_call_t *call)
{
	return ap_http_call_header(call, "Arbutuspond-Permit") ||
	       ap_http_call_header(call, "Idempotency-Key");
}

static json_t *fault_json(const entry_fault_t *fault)
{
	json_t *json =
		json_pack("{s:{s:s, s:s, s:s}}", "error", "code", errors[fault->error].code,
			  "message", fault->text, "outcome", ap_outcome_name(fault_outcome(fault)));

	if (json && fault->stored)
		json_object_set(json_object_get(json, "error"), "answer", fault->stored);
	if (json && fault->entries)
		json_object_set(json_object_get(json, "error"), "entries", fault->entries);
	return json;
}

static char *fault_text(const entry_fault_t *fault)
{
	json_t *json = fault_json(fault);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	return text;
}

static void release(entry_fault_t *fault)
{
	json_decref(fault->entries);
	json_decref(fault->stored);
	fault->entries = NULL;
	fault->stored = NULL;
}

void reply_fault(entry_t *entry, ap_http_call_t *call, const char *name, entry_fault_t *fault)
{
	char *text = fault_text(fault);
	char retry[NUMBER_TEXT_MAX] = "";
	header_list_t list = {.n = 0};

	entry->errors[fault->error]++;
	if (fault->retry_after > 0)
		snprintf(retry, sizeof(retry), "%lld",
			 (long long)((fault->retry_after + AP_SEC - 1) / AP_SEC));
	add_header(&list, "Content-Type", "application/json");
	add_header(&list, "Arbutuspond-Request-Id", name);
	add_header(&list, "Arbutuspond-Region", entry->config.settings->region);
	add_header(&list, "Arbutuspond-Outcome", ap_outcome_name(fault_outcome(fault)));
	add_header(&list, "Retry-After", retry);
	ap_http_reply(call, errors[fault->error].status, list.v, list.n, text ? text : "",
		      text ? strlen(text) : 0);
	free(text);
	release(fault);
}

void reply_early(entry_t *entry, ap_http_call_t *call, entry_fault_t *fault)
{
	if (has_call_key(call))
		fault_earlier_unknown(fault);
	reply_fault(entry, call, NULL, fault);
}

void reply_simple(entry_t *entry, ap_http_call_t *call, entry_error_t error, const char *text)
{
	entry_fault_t fault = {.error = error};

	ap_copy_name(fault.text, sizeof(fault.text), text);
	entry->counts[COUNT_WRONG_INPUT]++;
	reply_early(entry, call, &fault);
}

static void call_start(exchange_t *x)
{
	char cost[NUMBER_TEXT_MAX];
	header_list_t list = {.n = 0};

	/* The outcome and the final cost of a stream are sent at its end. */
	snprintf(cost, sizeof(cost), "%.3f", x->choice.expected_price);
	add_header(&list, "Content-Type", x->response_type);
	add_response_headers(&list, x);
	if (!x->req.service->plain)
		add_header(&list, "Cache-Control", "no-cache");
	add_header(&list, "Arbutuspond-Request-Id", x->name);
	add_header(&list, "Arbutuspond-Region", x->region);
	add_header(&list, "Arbutuspond-Cost", cost);
	ap_http_reply_start(x->call, x->status, list.v, list.n);
}

static void call_complete(exchange_t *x)
{
	size_t len = evbuffer_get_length(x->response);
	const void *body = len ? (const void *)evbuffer_pullup(x->response, -1) : "";
	char cost[NUMBER_TEXT_MAX];
	header_list_t list = {.n = 0};

	snprintf(cost, sizeof(cost), "%.3f", x->cost);
	add_header(&list, "Content-Type", x->response_type);
	add_response_headers(&list, x);
	add_header(&list, "Arbutuspond-Request-Id", x->name);
	add_header(&list, "Arbutuspond-Region", x->region);
	add_header(&list, "Arbutuspond-Cost", cost);
	add_header(&list, "Arbutuspond-Outcome", ap_outcome_name(AP_OUTCOME_COMPLETED));
	ap_http_reply(x->call, x->status, list.v, list.n, body, len);
}

static void call_finish_stream(exchange_t *x)
{
	char text[192];
	int len = snprintf(text, sizeof(text),
			   ": arbutuspond outcome=%s cost=%.3f region=%s\n\ndata: [DONE]\n\n",
			   ap_outcome_name(AP_OUTCOME_COMPLETED), x->cost, x->region);

	ap_http_reply_write(x->call, text, (size_t)len);
	ap_http_reply_end(x->call);
}

/* Ends an unfinished stream with an error event and without the end mark. */
static void call_cut(exchange_t *x, const entry_fault_t *fault)
{
	struct evbuffer *out = evbuffer_new();
	char *text = fault_text(fault);
	size_t len;

	evbuffer_add_printf(out, "event: error\ndata: %s\n\n", text ? text : "{}");
	len = evbuffer_get_length(out);
	ap_http_reply_write(x->call, evbuffer_pullup(out, -1), len);
	ap_http_reply_end(x->call);
	evbuffer_free(out);
	free(text);
}

static void forwarded_head(exchange_t *x)
{
	ap_forward_msg_t msg = {.kind = AP_WIRE_FORWARD_HEAD, .exchange = x->forwarded.exchange};

	msg.u.head.status = (uint32_t)x->status;
	msg.u.head.version = x->version;
	ap_copy_name(msg.u.head.content_type, sizeof(msg.u.head.content_type), x->response_type);
	headers_pack(&x->response_headers, HEADERS_RESPONSE, &msg.u.head.headers);
	entry_send(x->entry, x->forwarded.from, &msg);
}

static void forwarded_end(exchange_t *x, ap_outcome_t outcome, const entry_fault_t *fault)
{
	ap_forward_end_t *end = &x->forwarded.end;

	end->outcome = outcome;
	end->status = (uint32_t)(fault ? errors[fault->error].status : x->status);
	end->cost = x->cost;
	ap_copy_name(end->region, sizeof(end->region), x->entry->config.settings->region);
	if (fault) {
		ap_copy_name(end->code, sizeof(end->code), errors[fault->error].code);
		ap_copy_name(end->text, sizeof(end->text), fault->text);
		end->retry_after = fault->retry_after;
		evbuffer_drain(x->forwarded.out, evbuffer_get_length(x->forwarded.out));
	}
	x->forwarded.ended = true;
	forwarded_pump(x);
}

static void count_first_byte(exchange_t *x)
{
	if (!x->is_forwarded)
		entry_record_delay(x->entry, x->req.cls, ap_now() - x->req.arrival);
}

void sink_start(exchange_t *x)
{
	x->reply_started = true;
	if (x->req.version == 0)
		x->req.version = x->version;
	count_first_byte(x);
	if (x->is_forwarded)
		forwarded_head(x);
	else if (x->call)
		call_start(x);
}

void sink_write(exchange_t *x, const void *data, size_t len)
{
	if (x->is_forwarded) {
		/* What is lost counts as sent, so that the sender finds it missing. */
		if (evbuffer_add(x->forwarded.out, data, len) != 0)
			x->forwarded.sent += len;
		forwarded_pump(x);
	} else if (x->call) {
		ap_http_reply_write(x->call, data, len);
	}
}

void sink_finish(exchange_t *x)
{
	if (!x->reply_started)
		count_first_byte(x);
	if (x->is_forwarded) {
		if (!x->reply_started) {
			forwarded_head(x);
			if (evbuffer_add_buffer(x->forwarded.out, x->response) != 0)
				x->forwarded.sent += evbuffer_get_length(x->response);
		}
		forwarded_end(x, AP_OUTCOME_COMPLETED, NULL);
		return;
	}
	if (!x->call)
		return;
	if (x->sse && !x->reply_started)
		call_start(x);
	if (x->sse || x->reply_started)
		call_finish_stream(x);
	else
		call_complete(x);
	x->call = NULL;
}

void sink_fault(exchange_t *x, entry_fault_t *fault)
{
	if (x->is_forwarded) {
		forwarded_end(x, errors[fault->error].outcome, fault);
	} else if (x->call && x->reply_started && !ap_http_reply_replaceable(x->call)) {
		x->entry->errors[fault->error]++;
		x->entry->counts[COUNT_CUT_STREAMS]++;
		call_cut(x, fault);
	} else if (x->call) {
		reply_fault(x->entry, x->call, x->name, fault);
	}
	x->call = NULL;
	release(fault);
}

bool sink_full(const exchange_t *x)
{
	if (x->is_forwarded)
		return evbuffer_get_length(x->forwarded.out) > REPLY_HIGH;
	return x->call && ap_http_reply_pending(x->call) > REPLY_HIGH;
}
