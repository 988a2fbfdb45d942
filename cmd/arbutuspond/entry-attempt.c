/* One attempt at an upstream, and the handling of its response. */
#include "entry.h"
#include "log/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CHOICES_MAX 2 /* a second choice if the chosen remote region can't be reached */
#define HTTP_MULTIPLE 300
#define UPSTREAM_HEADERS_MAX (3 + PASSED_HEADERS_MAX)

static const ap_upstream_t *upstream_by_id(const ap_view_t *view, const char *id)
{
	for (size_t i = 0; i < view->n_upstreams; i++) {
		if (strcmp(view->upstreams[i].id, id) == 0)
			return &view->upstreams[i];
	}
	return NULL;
}

static const ap_pool_t *pool_of(const ap_view_t *view, const ap_service_t *service,
				const char *upstream)
{
	const ap_upstream_t *up = upstream_by_id(view, upstream);

	for (size_t i = 0; up && view->conf && i < view->conf->n_pools; i++) {
		const ap_pool_t *pool = &view->conf->pools[i];

		if (ap_selector_match(&service->pools, &pool->labels) &&
		    ap_selector_match(&pool->instances, &up->labels))
			return pool;
	}
	return NULL;
}

static void attempt_finished(exchange_t *x, ap_attempt_end_t end)
{
	if (!x->attempt_open)
		return;
	x->attempt_open = false;
	ap_route_finished(x->entry->route, &x->req, x->choice.upstream_id, end, ap_now());
	ap_emit(&x->entry->env, ap_now(), "attempt.end", x->req.id, "upstream=%s end=%d",
		x->choice.upstream_id, end);
}

static void add_tried(exchange_t *x)
{
	char *place;

	if (x->req.n_tried >= ATTEMPTS_MAX)
		return;
	place = x->tried[x->req.n_tried];
	ap_copy_name(place, AP_NAME_MAX, x->choice.upstream_id);
	x->req.tried[x->req.n_tried++] = place;
}

static bool is_json(const exchange_t *x)
{
	return strncasecmp(x->response_type, "application/json", 16) == 0;
}

/* Whether the body must be a JSON document: any success of an engine that isn't a stream is one. */
static bool needs_json(const exchange_t *x)
{
	bool success = x->status >= HTTP_OK && x->status < HTTP_MULTIPLE;

	if (!x->req.service->plain && success)
		return true;
	return is_json(x) && evbuffer_get_length(x->response) > 0;
}

/*
 * A body that a wrong Content-Length or a handler that returned early cut short is framed
 * correctly, but does not parse as JSON.
 */
bool attempt_complete(exchange_t *x)
{
	size_t len = evbuffer_get_length(x->response);
	json_t *doc;
	json_t *tokens;

	if (x->sse)
		return x->stream.done;
	if (!needs_json(x))
		return true;
	doc = json_loadb((const char *)evbuffer_pullup(x->response, -1), len,
			 JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
	if (!doc)
		return false;
	tokens = json_object_get(json_object_get(doc, "usage"), "completion_tokens");
	x->stream.tokens = (uint32_t)ap_bounded(json_number_value(tokens), UINT32_MAX);
	usage_read(doc, &x->stream.usage);
	json_decref(doc);
	return true;
}

/*
 * Reports the cached share of the prompt, scaled to the tokens that routing estimated: the engine's
 * tokenizer may count differently, so only the shares are comparable.
 */
static void report_cached_tokens(exchange_t *x)
{
	const usage_t *usage = &x->stream.usage;
	uint64_t cached = usage->cached_tokens;

	if (!usage->known)
		return;
	cached = cached * x->req.tokens_in / usage->prompt_tokens;
	ap_route_cached_tokens(x->entry->route, x->choice.upstream_id, x->choice.cached_tokens,
			       (uint32_t)cached);
}

static void set_cost(exchange_t *x)
{
	const ap_pool_t *pool = pool_of(x->entry->view, x->req.service, x->choice.upstream_id);
	const usage_t *usage = &x->stream.usage;
	uint32_t prompt = usage->known ? usage->prompt_tokens : x->req.tokens_in;
	uint32_t cached = usage->known ? usage->cached_tokens : x->choice.cached_tokens;

	if (pool)
		x->cost = ap_price(pool, prompt, cached, x->stream.tokens);
	ap_copy_name(x->region, sizeof(x->region), x->entry->config.settings->region);
}

static void succeed(exchange_t *x)
{
	attempt_finished(x, AP_ATTEMPT_OK);
	report_cached_tokens(x);
	set_cost(x);
	exchange_completed(x);
}

void attempt_head(exchange_t *x, int status, const char *content_type)
{
	x->status = status;
	ap_copy_name(x->response_type, sizeof(x->response_type), content_type ? content_type : "");
	x->sse = status == 200 && strncasecmp(x->response_type, "text/event-stream", 17) == 0;
}

bool attempt_continues(const exchange_t *x, const char **why)
{
	*why = "a stream was not resumed as a stream";
	if (x->reply_started && !x->sse)
		return false;
	*why = "a stream was resumed at another version of the model";
	return !x->sse || x->req.version == 0 || x->version == x->req.version;
}

static void on_events(void *ctx, const void *data, size_t len)
{
	exchange_t *x = ctx;

	if (!x->reply_started)
		sink_start(x);
	sink_write(x, data, len);
}

static void record_first_byte(exchange_t *x)
{
	ap_usec_t now = ap_now();

	if (x->first_byte_seen || !x->attempt_open)
		return;
	x->first_byte_seen = true;
	ap_route_first_token(x->entry->route, &x->req, x->choice.upstream_id, now - x->sent_at,
			     now);
}

bool attempt_data(exchange_t *x, const void *data, size_t len)
{
	record_first_byte(x);
	if (x->sse)
		return stream_feed(&x->stream, data, len, on_events, x);
	return evbuffer_add(x->response, data, len) == 0 &&
	       evbuffer_get_length(x->response) <= RESPONSE_BYTES_MAX;
}

/* Ends the attempt from within a callback of the fetch. */
static void drop_fetch(exchange_t *x, ap_attempt_end_t end, const char *why)
{
	ap_http_fetch_cancel(x->fetch);
	x->fetch = NULL;
	attempt_finished(x, end);
	add_tried(x);
	exchange_retry(x, false, why);
}

/*
 * An engine whose model was just unloaded responds with 404. From a plain service, 404 is an
 * ordinary response unless it carries X-Not-Started.
 */
static bool is_refusal(const exchange_t *x, int status, bool not_started)
{
	if (status == HTTP_NOTFOUND)
		return not_started || !x->req.service->plain;
	return status == HTTP_SERVUNAVAIL && not_started;
}

/* What a refusal says of the upstream itself. */
static void read_pause(const exchange_t *x, const ap_http_head_t *head)
{
	ap_usec_t wait;

	if (ap_http_retry_after(head->headers, head->status, &wait) == AP_HTTP_RETRY_INVALID)
		ap_log(LOG_WARNING, "can't read the Retry-After of upstream %s, expected seconds",
		       x->choice.upstream_id);
	ap_route_pause(x->entry->route, x->choice.upstream_id, wait, ap_now());
}

/* What a response says of its version is newer than what was polled, so it counts. */
static void read_version(exchange_t *x, const ap_http_head_t *head)
{
	const char *model = evhttp_find_header(head->headers, "X-Model-Version");
	const char *adapter = evhttp_find_header(head->headers, "X-Adapter-Version");

	if (x->req.service->plain || !model || (x->adapter[0] && !adapter))
		return;
	x->version = ap_version_hash(model);
	if (x->adapter[0])
		x->version = ap_version_both(x->version, ap_version_hash(adapter));
}

static void on_head(void *ctx, const ap_http_head_t *head)
{
	exchange_t *x = ctx;
	const char *id = evhttp_find_header(head->headers, "X-Request-Id");
	const char *draining = evhttp_find_header(head->headers, "X-Draining");
	const char *refused = evhttp_find_header(head->headers, "X-Not-Started");
	bool own = id && strcmp(id, x->attempt_name) == 0;
	const char *why;

	if (draining && strcasecmp(draining, "true") == 0)
		entry_upstream_draining(x->entry, x->choice.upstream_id, true);
	x->refused = is_refusal(x, head->status, refused && strcasecmp(refused, "true") == 0);
	if (x->refused && head->status == HTTP_NOTFOUND && !x->req.service->plain)
		x->entry->counts[COUNT_MISSING_MODELS]++;
	/*
	 * Plain services and refusals may omit X-Request-Id, but a wrong one is never accepted. On
	 * a connection that was used before, a refusal without it may be a copy of an earlier one.
	 */
	x->matched = own || (!id && (x->refused ? !head->reused : x->req.service->plain));
	if (!x->matched) {
		x->entry->counts[COUNT_MISMATCHED_RESPONSES]++;
		drop_fetch(x, AP_ATTEMPT_FAILED, "the response belongs to another request");
		return;
	}
	read_pause(x, head);
	if (x->req.service->plain)
		headers_copy(&x->response_headers, HEADERS_RESPONSE, head->headers);
	attempt_head(x, head->status, evhttp_find_header(head->headers, "Content-Type"));
	read_version(x, head);
	if (!attempt_continues(x, &why))
		drop_fetch(x, x->sse ? AP_ATTEMPT_CANCELLED : AP_ATTEMPT_FAILED, why);
}

static void on_data(void *ctx, const void *data, size_t len)
{
	exchange_t *x = ctx;

	if (x->phase == PHASE_ENDED)
		return;
	if (!attempt_data(x, data, len)) {
		drop_fetch(x, AP_ATTEMPT_FAILED,
			   x->stream.failed ? "the engine reported an error in its stream"
					    : "the response is too long");
		return;
	}
	if (x->sse && x->stream.done) {
		/*
		 * After the end mark only the end of the framing is left to read. Reading is not
		 * paused again, since no bytes go to the caller.
		 */
		ap_http_fetch_pause(x->fetch, false);
		succeed(x);
		return;
	}
	if (sink_full(x)) {
		x->paused = true;
		ap_http_fetch_pause(x->fetch, true);
	}
}

/* Decides on a response that is complete by its framing. */
static void check_response(exchange_t *x)
{
	const char *why = NULL;

	if (x->refused) {
		attempt_finished(x, AP_ATTEMPT_REFUSED);
		add_tried(x);
		exchange_retry(x, true, "the upstream refused the request");
		return;
	}
	if (x->status >= 500)
		why = "the upstream failed";
	else if (!attempt_complete(x))
		why = x->sse ? "a stream ended without its end mark" : "the response is incomplete";
	if (!why) {
		succeed(x);
		return;
	}
	attempt_finished(x, AP_ATTEMPT_FAILED);
	add_tried(x);
	exchange_retry(x, false, why);
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	static const struct {
		ap_attempt_end_t end;
		const char *why;
	} ends[] = {
		[AP_HTTP_UNREACHABLE] = {AP_ATTEMPT_FAILED, "the upstream can't be reached"},
		[AP_HTTP_RESET] = {AP_ATTEMPT_FAILED, "the upstream closed the connection"},
		[AP_HTTP_TIMEOUT] = {AP_ATTEMPT_TIMEOUT, "the upstream did not respond in time"},
		[AP_HTTP_CONN_DEAD] = {AP_ATTEMPT_DEAD_CONNECTION, "the connection went silent"},
		[AP_HTTP_MALFORMED] = {AP_ATTEMPT_FAILED, "the response's length is wrong"},
	};
	exchange_t *x = ctx;

	x->fetch = NULL;
	if (x->phase == PHASE_ENDED) {
		exchange_settle(x);
		return;
	}
	if (end == AP_HTTP_COMPLETE) {
		check_response(x);
		return;
	}
	attempt_finished(x, ends[end].end);
	if (end == AP_HTTP_CONN_DEAD) {
		x->entry->counts[COUNT_SILENT_CONNECTIONS]++;
		x->first_silent = !x->fresh_only;
		x->fresh_only = true;
	} else {
		add_tried(x);
	}
	exchange_retry(x, !written, ends[end].why);
}

void attempt_cancel(exchange_t *x)
{
	if (x->fetch) {
		if (ap_http_fetch_written(x->fetch))
			x->maybe_ran = true;
		ap_http_fetch_cancel(x->fetch);
		x->fetch = NULL;
	}
	if (x->forward.open) {
		x->maybe_ran = true;
		forward_cancel(x);
	}
	attempt_finished(x, AP_ATTEMPT_CANCELLED);
}

void attempt_flow(exchange_t *x)
{
	if (x->forward.open)
		forward_grant_credit(x);
	if (!x->paused || sink_full(x))
		return;
	x->paused = false;
	if (x->fetch)
		ap_http_fetch_pause(x->fetch, false);
}

static void fetch_config(exchange_t *x, const ap_upstream_t *up, ap_http_fetch_config_t *config)
{
	const ap_service_t *service = x->req.service;

	*config = (ap_http_fetch_config_t){
		.host = up->host,
		.port = up->port,
		.method = x->method,
		.target = x->target,
		.body = x->raw,
		.len = x->raw_len,
		.fresh = x->fresh_only || !service->repeatable,
		.reset = true,
		.first_byte = service->first_byte,
		.between_chunks = service->between_chunks,
		.idle = service->idle,
		.response_max = x->wants_stream ? STREAM_BYTES_MAX : RESPONSE_BYTES_MAX,
		.ctx = x,
		.head = on_head,
		.data = on_data,
		.end = on_end,
	};
}

static size_t upstream_headers(const exchange_t *x, ap_http_header_t out[UPSTREAM_HEADERS_MAX])
{
	size_t n = 0;

	out[n++] = (ap_http_header_t){"X-Request-Id", x->attempt_name};
	if (x->content_type[0])
		out[n++] = (ap_http_header_t){"Content-Type", x->content_type};
	else if (x->doc)
		out[n++] = (ap_http_header_t){"Content-Type", "application/json"};
	if (x->idempotency_key[0])
		out[n++] = (ap_http_header_t){"Idempotency-Key", x->idempotency_key};
	return n + headers_list(&x->request_headers, HEADERS_REQUEST, out + n);
}

/* Asserts residency and draining once more, just before the request is sent. */
static bool may_send(exchange_t *x, const ap_upstream_t *up)
{
	const ap_env_t *env = &x->entry->env;
	bool resident = ap_residency_allows(&x->req, up->region);
	bool stays = strcmp(up->region, x->entry->config.settings->region) == 0;

	return ap_require(env, resident && stays, AP_INV_RESIDENCY, "upstream of another region") &&
	       ap_require(env, !up->draining, AP_INV_DRAINING,
			  "new request to a draining upstream");
}

static bool send_to(exchange_t *x, const ap_upstream_t *up)
{
	ap_http_header_t headers[UPSTREAM_HEADERS_MAX];
	ap_http_fetch_config_t config;
	char *text = x->doc ? body_for_upstream(x) : NULL;

	fetch_config(x, up, &config);
	config.headers = headers;
	config.n_headers = upstream_headers(x, headers);
	if (x->doc) {
		config.body = text;
		config.len = text ? strlen(text) : 0;
	}
	x->sent_at = ap_now();
	x->fetch = ap_http_fetch(x->entry->client, &config);
	free(text);
	return x->fetch != NULL;
}

static void start_upstream(exchange_t *x)
{
	entry_t *entry = x->entry;
	const ap_upstream_t *up = upstream_by_id(entry->view, x->choice.upstream_id);

	if (!up || !may_send(x, up)) {
		exchange_give_up(x, "the chosen upstream is gone");
		return;
	}
	if (x->req.service->permit && entry->hooks.dispatch &&
	    !entry->hooks.dispatch(entry->hooks.ctx, x)) {
		exchange_give_up(x, "the permit or idempotency key allows no attempt");
		return;
	}
	snprintf(x->attempt_name, sizeof(x->attempt_name), "%s.%u", x->name, x->attempts);
	ap_route_started(entry->route, &x->req, &x->choice, ap_now());
	x->attempt_open = true;
	x->version = ap_route_version(entry->route, up->id, &x->req, x->choice.model);
	ap_emit(&entry->env, ap_now(), "attempt.start", x->req.id, "upstream=%s attempt=%u", up->id,
		x->attempts);
	if (send_to(x, up))
		return;
	attempt_finished(x, AP_ATTEMPT_FAILED);
	add_tried(x);
	exchange_retry(x, true, "the upstream can't be reached");
}

static bool start_forward(exchange_t *x)
{
	const ap_entry_t *to = forward_pick_entry(x, x->choice.region);

	/* A request crosses regions at most once, so a failed forward tries no other region. */
	x->req.local_only = true;
	if (!to || !forward_start(x, to->id, 1))
		return false;
	ap_route_started(x->entry->route, &x->req, &x->choice, ap_now());
	x->entry->counts[COUNT_FORWARDED]++;
	return true;
}

static void reset_response(exchange_t *x)
{
	evbuffer_drain(x->response, evbuffer_get_length(x->response));
	stream_drop_partial(&x->stream);
	headers_clear(&x->response_headers);
	x->matched = false;
	x->version = 0;
	x->refused = false;
	x->first_byte_seen = false;
	x->sse = false;
}

bool attempt_forward(exchange_t *x, ap_usec_t wait)
{
	entry_t *entry = x->entry;

	if (x->is_forwarded || x->req.service->permit ||
	    !ap_route_forward(entry->route, &x->req, wait, ap_now(), &x->choice))
		return false;
	reset_response(x);
	if (!start_forward(x))
		return false;
	x->phase = PHASE_RUNNING;
	x->attempts++;
	entry->counts[COUNT_ATTEMPTS]++;
	return true;
}

static void no_choice(exchange_t *x, ap_route_status_t status)
{
	entry_fault_t fault = {.error = ENTRY_OVERLOADED, .retry_after = AP_SEC};

	if (x->maybe_ran || status == AP_ROUTE_NO_UPSTREAM) {
		exchange_give_up(x, "no upstream is left to try");
		return;
	}
	ap_copy_name(fault.text, sizeof(fault.text), "no upstream can respond in time");
	if (status == AP_ROUTE_NO_SERVICE) {
		fault.error = ENTRY_NOT_FOUND;
		ap_copy_name(fault.text, sizeof(fault.text), "no such model in this service");
	} else if (status == AP_ROUTE_WRONG_REGION) {
		fault.error = ENTRY_WRONG_REGION;
		fault.entries = entries_json(x->entry, x->req.caller, true);
		ap_copy_name(fault.text, sizeof(fault.text), "this request stays in its region");
	}
	if (fault.error != ENTRY_OVERLOADED)
		fault.retry_after = 0;
	exchange_refuse(x, &fault);
}

void attempt_start(exchange_t *x)
{
	entry_t *entry = x->entry;
	ap_route_status_t status;

	reset_response(x);
	for (int i = 0; i < CHOICES_MAX; i++) {
		status = ap_route_choose(entry->route, &x->req, ap_now(), &x->choice);
		if (status != AP_ROUTE_OK) {
			no_choice(x, status);
			return;
		}
		x->attempts++;
		entry->counts[COUNT_ATTEMPTS]++;
		if (!x->choice.region[0]) {
			start_upstream(x);
			return;
		}
		if (start_forward(x))
			return;
	}
	exchange_give_up(x, "the remote region can't be reached");
}
