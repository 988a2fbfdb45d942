/*
 * Connects permits and claims (idempotency keys) to callers, to the other entries and to the
 * key-value service.
 */
#include "entry-once.h"
#include "entry-permits.h"

#include "log/log.h"
#include "once/once.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK_MIN (10 * AP_MSEC)
#define TICK_MAX AP_SEC /* records that expire are dropped at most this late */
/* The 16 bytes are for the status, a space, a newline and the terminator. */
#define STORED_HEAD_MAX (AP_FORWARD_CONTENT_TYPE_MAX + 16)
#define MESSAGE_ZONE 4096
#define RUNNING_RETRY_AFTER AP_SEC

struct entry_once {
	entry_t *entry;
	ap_once_t *once;
	ap_claims_t *claims;
	ap_platform_t *platform;
	permits_t permits;
	struct event *tick;
	ap_usec_t tick_wait; /* delay that the tick was armed with */
	bool draining;
	uint64_t next_message;
};

static void arm_tick(entry_once_t *o, ap_usec_t wait)
{
	const struct timeval after = ap_timeval(wait);

	o->tick_wait = wait;
	event_add(o->tick, &after);
}

/* Arms the tick with its shortest delay, since a call may have added an earlier time limit. */
static void tick_soon(entry_once_t *o)
{
	if (o->tick_wait > TICK_MIN)
		arm_tick(o, TICK_MIN);
}

static void send_message(void *ctx, const char *to, const ap_once_msg_t *msg)
{
	entry_once_t *o = ctx;
	const entry_config_t *config = &o->entry->config;
	ap_wire_head_t head = {
		.kind = AP_WIRE_ONCE,
		.from = config->inc,
		.seq = ++o->next_message,
	};
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	ap_wire_pack_once(&pk, msg);
	config->send(config->ctx, to, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static bool send_claim(void *ctx, ap_id_t to, const ap_once_msg_t *msg)
{
	entry_once_t *o = ctx;

	if (!o->entry)
		return false;
	tick_soon(o);
	return ap_once_send_to(o->once, to, msg);
}

static void receive(entry_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	if (msg->kind != AP_ONCE_MSG_CLAIM_QUERY && msg->kind != AP_ONCE_MSG_CLAIM_RESPONSE)
		ap_once_receive(o->once, from, msg, ap_now());
	else if (ap_once_in_region(o->once, from))
		ap_claims_receive(o->claims, msg, ap_now());
}

static void on_message(void *ctx, const char *from, const void *data, size_t len)
{
	entry_once_t *o = ctx;
	ap_wire_head_t head;
	ap_wire_once_t read;
	msgpack_object body;
	msgpack_zone zone;

	tick_soon(o);
	msgpack_zone_init(&zone, MESSAGE_ZONE);
	if (ap_wire_open(data, len, &zone, &head, &body, NULL) == AP_WIRE_OK &&
	    ap_wire_read_once(&head, &body, &read, NULL) == AP_WIRE_OK)
		receive(o, from, &read.msg);
	else
		o->entry->counts[COUNT_REFUSED_MESSAGES]++;
	msgpack_zone_destroy(&zone);
}

/* A stored response is "STATUS TYPE\n" followed by the body. */

typedef struct stored {
	int status;
	char type[AP_FORWARD_CONTENT_TYPE_MAX];
	const char *body;
	size_t len;
} stored_t;

static bool read_stored(const ap_once_verdict_t *v, stored_t *stored)
{
	const char *end = v->len ? memchr(v->response, '\n', v->len) : NULL;
	size_t head = end ? (size_t)(end - (const char *)v->response) : 0;
	char text[STORED_HEAD_MAX];
	char *type;

	if (!end || head >= sizeof(text))
		return false;
	memcpy(text, v->response, head);
	text[head] = '\0';
	stored->status = (int)strtol(text, &type, 10);
	ap_copy_name(stored->type, sizeof(stored->type), *type ? type + 1 : "");
	stored->body = end + 1;
	stored->len = v->len - head - 1;
	return true;
}

static json_t *stored_json(const stored_t *stored)
{
	return json_pack("{s:i, s:s, s:s%}", "status", stored->status, "content_type", stored->type,
			 "body", stored->body, stored->len);
}

static char *write_stored(const exchange_t *x, const void *response, size_t len, size_t *total)
{
	char head[STORED_HEAD_MAX];
	int n = snprintf(head, sizeof(head), "%d %s\n", x->status, x->response_type);
	char *text = malloc((size_t)n + len);

	if (!text)
		return NULL;
	memcpy(text, head, (size_t)n);
	memcpy(text + n, response, len);
	*total = (size_t)n + len;
	return text;
}

/* Replies to callers. */

static void reply_not_run(exchange_t *x, const char *why)
{
	/* No call can run with this permit any more, so the deferred not-run error is true. */
	if (x->resolving && entry_error_outcome(x->deferred_fault.error) == AP_OUTCOME_NOT_RUN)
		exchange_refuse(x, &x->deferred_fault);
	else
		exchange_fail(x, ENTRY_NOT_RUN, why);
}

static void reply_used(exchange_t *x, const ap_once_verdict_t *v)
{
	entry_fault_t fault = {.error = ENTRY_PERMIT_USED};
	stored_t stored;
	bool has_response = read_stored(v, &stored);

	/*
	 * The issuer ran this request, but its response was lost on the way here. The stored
	 * response is the response to this request.
	 */
	if (has_response && x->resolving && x->at_issuer &&
	    x->deferred_fault.error != ENTRY_PERMIT_USED) {
		exchange_reply_stored(x, stored.status, stored.type, stored.body, stored.len);
		return;
	}
	fault.completed = v->outcome == AP_OUTCOME_COMPLETED;
	if (has_response)
		fault.stored = stored_json(&stored);
	ap_copy_name(fault.text, sizeof(fault.text), v->why);
	exchange_refuse(x, &fault);
}

static void reply_running(exchange_t *x, const ap_once_verdict_t *v)
{
	entry_fault_t fault = {
		.error = ENTRY_PERMIT_USED,
		.retry_after = RUNNING_RETRY_AFTER,
	};

	ap_copy_name(fault.text, sizeof(fault.text), v->why);
	exchange_refuse(x, &fault);
}

static void reply_wrong_region(exchange_t *x, const ap_once_verdict_t *v)
{
	entry_fault_t fault = {.error = ENTRY_WRONG_REGION};

	fault.entries = entries_json(x->entry, x->req.caller, x->req.service->home_bound);
	ap_copy_name(fault.text, sizeof(fault.text), v->why);
	fault_earlier_unknown(&fault);
	exchange_refuse(x, &fault);
}

static ap_once_verdict_kind_t resolve(entry_once_t *o, exchange_t *x, ap_once_verdict_t *v)
{
	return ap_once_resolve(o->once, x->permit, x->req.service->name, x->req.caller->name,
			       x->token, ap_now(), v);
}

static void act_on_verdict(entry_once_t *o, exchange_t *x, ap_once_verdict_t *v)
{
	/*
	 * A request is forwarded only once. If a forwarded request would have to be forwarded
	 * again, the permit's issuer may have restarted in the meantime. Instead of forwarding,
	 * find out whether a call with the permit ran.
	 */
	if (v->kind == AP_ONCE_FORWARD && x->is_forwarded)
		resolve(o, x, v);
	switch (v->kind) {
	case AP_ONCE_PENDING:
		break;
	case AP_ONCE_DISPATCH:
		exchange_run(x);
		break;
	case AP_ONCE_FORWARD:
		exchange_forward_to_issuer(x, v->entry);
		break;
	case AP_ONCE_USED:
		reply_used(x, v);
		break;
	case AP_ONCE_RUNNING:
		reply_running(x, v);
		break;
	case AP_ONCE_NOT_RUN:
		reply_not_run(x, v->why);
		break;
	case AP_ONCE_UNKNOWN:
		exchange_fail(x, ENTRY_UNKNOWN, v->why);
		break;
	case AP_ONCE_WRONG_REGION:
		reply_wrong_region(x, v);
		break;
	case AP_ONCE_REFUSED:
		exchange_fail(x, ENTRY_FORBIDDEN, v->why);
		break;
	}
}

static void on_decided(void *ctx, uint64_t token, const ap_once_verdict_t *verdict)
{
	entry_once_t *o = ctx;
	exchange_t *x = o->entry ? exchange_by_token(o->entry, token) : NULL;
	ap_once_verdict_t v = *verdict;

	if (x && x->phase == PHASE_GATE)
		act_on_verdict(o, x, &v);
}

/* Hooks of the entry task. */

static void on_gate(void *ctx, exchange_t *x)
{
	entry_once_t *o = ctx;
	const char *service = x->req.service->name;
	const char *caller = x->req.caller->name;
	ap_once_verdict_t v;

	tick_soon(o);
	if (x->permit[0])
		ap_once_use(o->once, x->permit, service, caller, x->token, ap_now(), &v);
	else
		ap_claims_use(o->claims, x->idempotency_key, service, caller, x->token, ap_now(),
			      (uint32_t)time(NULL), &v);
	act_on_verdict(o, x, &v);
}

static void on_resolve(void *ctx, exchange_t *x)
{
	entry_once_t *o = ctx;
	ap_once_verdict_t v;

	tick_soon(o);
	resolve(o, x, &v);
	act_on_verdict(o, x, &v);
}

static bool on_dispatch(void *ctx, exchange_t *x)
{
	entry_once_t *o = ctx;

	tick_soon(o);
	/*
	 * Another attempt is allowed only if none of the earlier ones may have started. A call that
	 * was forwarded to the permit's issuer is not dispatched here.
	 */
	if (x->maybe_ran || x->at_issuer)
		return false;
	if (x->permit[0]) {
		if (x->attempts > 1)
			ap_once_not_started(o->once, x->token);
		return ap_once_dispatch(o->once, x->token, ap_now());
	}
	if (x->attempts > 1)
		ap_claims_not_started(o->claims, x->token);
	return ap_claims_dispatch(o->claims, x->token, ap_now());
}

static void on_ended(void *ctx, exchange_t *x, ap_outcome_t outcome, const void *response,
		     size_t len)
{
	entry_once_t *o = ctx;
	size_t total = 0;
	char *stored = response ? write_stored(x, response, len, &total) : NULL;

	tick_soon(o);
	if (x->permit[0])
		ap_once_done(o->once, x->token, outcome, stored, total, ap_now());
	else
		ap_claims_done(o->claims, x->token, outcome, stored, total, ap_now());
	free(stored);
}

static void on_caller_gone(void *ctx, exchange_t *x)
{
	entry_once_t *o = ctx;

	if (x->permit[0])
		ap_once_cancel(o->once, x->token, ap_now());
	else
		ap_claims_cancel(o->claims, x->token, ap_now());
}

static void on_permits(void *ctx, ap_http_call_t *call, const ap_caller_t *caller,
		       const ap_service_t *service)
{
	entry_once_t *o = ctx;

	permits_request(&o->permits, call, caller, service);
}

static void on_view(void *ctx, const ap_view_t *view)
{
	entry_once_t *o = ctx;

	tick_soon(o);
	ap_once_expect_peers(o->once, view->others_listed);
	ap_once_set_entries(o->once, view->entries, view->n_entries, ap_now());
}

static void on_drain(void *ctx)
{
	entry_once_t *o = ctx;

	tick_soon(o);
	o->draining = true;
	ap_once_drain(o->once, ap_now());
}

static void add_counter(struct evbuffer *out, const char *name, uint64_t value)
{
	evbuffer_add_printf(out,
			    "# TYPE arbutuspond_permits_%s_total counter\n"
			    "arbutuspond_permits_%s_total %llu\n",
			    name, name, (unsigned long long)value);
}

static void on_counters(void *ctx, struct evbuffer *out)
{
	entry_once_t *o = ctx;
	ap_once_counts_t counts = ap_once_counts(o->once);
	ap_platform_stats_t store = ap_platform_stats(o->platform);

	add_counter(out, "issued", counts.issued);
	add_counter(out, "without_witness", counts.issued_without_witness);
	add_counter(out, "dispatched", counts.dispatched);
	add_counter(out, "not_run", counts.not_run);
	add_counter(out, "unknown", counts.unknown);
	add_counter(out, "used_again", counts.used_again);
	add_counter(out, "refused", counts.refused);
	add_counter(out, "closed_as_witness", counts.closed_as_witness);
	add_counter(out, "messages", counts.messages);
	add_counter(out, "claim_store_reads", store.reads);
	add_counter(out, "claim_store_writes", store.writes);
	evbuffer_add_printf(out,
			    "# TYPE arbutuspond_permit_records gauge\n"
			    "arbutuspond_permit_records{role=\"issuer\"} %zu\n"
			    "arbutuspond_permit_records{role=\"witness\"} %zu\n"
			    "# TYPE arbutuspond_stored_answer_bytes gauge\n"
			    "arbutuspond_stored_answer_bytes %zu\n",
			    counts.issued_records, counts.witnessed_records, counts.response_bytes);
}

static ap_usec_t next_wait(const entry_once_t *o)
{
	ap_usec_t permits = ap_once_due(o->once);
	ap_usec_t claims = ap_claims_due(o->claims);
	ap_usec_t wait = (permits < claims ? permits : claims) - ap_now();

	if (o->draining || wait < TICK_MIN)
		return TICK_MIN;
	return wait < TICK_MAX ? wait : TICK_MAX;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	entry_once_t *o = arg;

	(void)fd;
	(void)what;
	ap_once_tick(o->once, ap_now());
	ap_claims_tick(o->claims, ap_now());
	permits_tick(&o->permits);
	if (o->draining && ap_once_drained(o->once)) {
		o->draining = false;
		entry_hooks_drained(o->entry);
	}
	arm_tick(o, next_wait(o));
}

static ap_once_t *new_once(entry_once_t *o)
{
	const entry_config_t *entry = &o->entry->config;
	ap_once_config_t config = {
		.inc = entry->inc,
		.limits = ap_once_default_limits,
		.env = o->entry->env,
		.ctx = o,
		.send = send_message,
		.decided = on_decided,
	};

	ap_copy_name(config.id, sizeof(config.id), entry->settings->id);
	ap_copy_name(config.region, sizeof(config.region), entry->settings->region);
	ap_copy_name(config.data_centre, sizeof(config.data_centre), entry->settings->data_centre);
	ap_random(config.key, sizeof(config.key));
	return ap_once_new(&config, ap_now());
}

static ap_claims_t *new_claims(entry_once_t *o)
{
	const entry_config_t *entry = &o->entry->config;
	ap_claims_config_t config = {
		.inc = entry->inc,
		.kv = ap_platform_kv(o->platform),
		.env = o->entry->env,
		.ctx = o,
		.send = send_claim,
		.decided = on_decided,
	};

	ap_claims_default(&config);
	ap_copy_name(config.region, sizeof(config.region), entry->settings->region);
	return ap_claims_new(&config);
}

entry_once_t *entry_once_new(entry_t *entry)
{
	entry_once_t *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	o->entry = entry;
	o->platform = ap_platform_new(entry->config.base, entry->config.settings);
	o->tick = evtimer_new(entry->config.base, on_tick, o);
	if (o->platform && o->tick)
		o->claims = new_claims(o);
	if (o->claims)
		o->once = new_once(o);
	if (!o->once) {
		entry_once_free(o);
		return NULL;
	}
	permits_init(&o->permits, entry, o->once);
	entry->hooks = (entry_hooks_t){
		.ctx = o,
		.gate = on_gate,
		.resolve = on_resolve,
		.dispatch = on_dispatch,
		.ended = on_ended,
		.caller_gone = on_caller_gone,
		.permits = on_permits,
		.message = on_message,
		.view = on_view,
		.counters = on_counters,
		.drain = on_drain,
	};
	on_tick(-1, 0, o);
	return o;
}

void entry_once_free(entry_once_t *o)
{
	if (!o)
		return;
	o->entry = NULL;
	if (o->tick)
		event_free(o->tick);
	/* Freeing the platform may end calls to the store, whose callbacks use the claims. */
	if (o->platform)
		ap_platform_free(o->platform);
	ap_claims_free(o->claims);
	ap_once_free(o->once);
	free(o);
}
