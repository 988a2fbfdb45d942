/* The entry task's state: views, messages of the control task, drain and counters. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK_US 20000 /* interval of admission checks while requests are queued */
#define IDLE_TICK_S 1
#define REPORT_S 1    /* interval of counters and capacity offers to the control task */
#define MEMORY_PART 4 /* of the machine's memory is what connections may hold */
#define CALLER_IDLE_TIMEOUT (75 * AP_SEC)

static uint64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void note_event(void *ctx, const ap_event_t *event)
{
	entry_t *entry = ctx;
	ap_note_t note = {.kind = AP_NOTE_EVENT};

	ap_copy_name(note.u.event.kind, sizeof(note.u.event.kind), event->kind);
	ap_copy_name(note.u.event.detail, sizeof(note.u.event.detail), event->detail);
	note.u.event.request = event->request;
	note.u.event.at = ap_hlc_now(entry->config.clock, wall_ms());
	entry->config.note(entry->config.ctx, &note);
}

exchange_t *exchange_by_token(const entry_t *entry, uint64_t token)
{
	exchange_t *x;

	HASH_FIND(hh, entry->exchanges, &token, sizeof(token), x);
	return x;
}

static void on_admitted(void *ctx, uint64_t token)
{
	exchange_t *x = exchange_by_token(ctx, token);

	if (x)
		exchange_admitted(x);
}

static void on_shed(void *ctx, uint64_t token, ap_usec_t retry_after)
{
	exchange_t *x = exchange_by_token(ctx, token);

	if (x)
		exchange_shed(x, retry_after);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	entry_t *entry = arg;
	const struct timeval idle = {.tv_sec = IDLE_TICK_S};

	(void)fd;
	(void)what;
	ap_admission_tick(entry->admission, ap_now());
	entry->tick_soon = false;
	if (ap_admission_queued(entry->admission) > 0)
		entry_tick_soon(entry);
	else
		event_add(entry->tick, &idle);
}

void entry_tick_soon(entry_t *entry)
{
	const struct timeval soon = {.tv_usec = TICK_US};

	if (entry->tick_soon)
		return;
	entry->tick_soon = true;
	event_add(entry->tick, &soon);
}

static void note_own_offer(entry_t *entry, ap_usec_t now)
{
	const ap_conf_t *conf = entry->view ? entry->view->conf : NULL;

	for (size_t i = 0; conf && i < conf->n_models; i++) {
		ap_note_t note = {.kind = AP_NOTE_OWN_OFFER};

		note.u.offer = ap_route_own_offer(entry->route, conf->models[i].name, now);
		entry->config.note(entry->config.ctx, &note);
	}
}

static void on_report(evutil_socket_t fd, short what, void *arg)
{
	entry_t *entry = arg;
	struct timeval again = {.tv_sec = REPORT_S};
	ap_note_t note = {.kind = AP_NOTE_COUNTERS};
	ap_usec_t now = ap_now();

	(void)fd;
	(void)what;
	note.u.text = entry_counters_text(entry);
	if (note.u.text)
		entry->config.note(entry->config.ctx, &note);
	note_own_offer(entry, now);
	if (entry->view)
		ap_admission_set_capacity(entry->admission, ap_route_capacity(entry->route, now),
					  now);
	event_add(entry->report, &again);
}

static void on_flushed(void *ctx)
{
	entry_check_drained(ctx);
}

static ap_http_status_t open_server(entry_t *entry, ap_err_t *err)
{
	const ap_settings_t *settings = entry->config.settings;
	ap_http_server_config_t config = {
		.base = entry->config.base,
		.host = settings->host,
		.port = settings->caller_port,
		.header_bytes = settings->header_bytes,
		.body_bytes = settings->body_bytes,
		.connections = settings->connections,
		.idle = CALLER_IDLE_TIMEOUT,
		.arrival = settings->arrival_time,
		.ctx = entry,
		.request = caller_request,
		.refused = caller_refused,
		.flushed = on_flushed,
	};

	/* Some tests state no memory. */
	if (settings->memory_mb > 0) {
		entry->memory = ap_http_budget_new(entry->config.base,
						   (settings->memory_mb << 20) / MEMORY_PART, 0);
		if (!entry->memory)
			return AP_HTTP_STATUS_NO_MEMORY;
	}
	config.budget = entry->memory;
	return ap_http_server_new(&config, &entry->server, err);
}

static bool make_policies(entry_t *entry)
{
	const ap_settings_t *settings = entry->config.settings;
	ap_route_config_t route = {.seed = entry->config.inc.lo, .env = entry->env};
	ap_admission_config_t admission = {
		.queue_max = settings->queue,
		.env = entry->env,
		.ready = on_admitted,
		.shed = on_shed,
	};

	ap_copy_name(route.region, sizeof(route.region), settings->region);
	ap_copy_name(route.data_centre, sizeof(route.data_centre), settings->data_centre);
	entry->route = ap_route_new(&route);
	entry->admission = ap_admission_new(&admission);
	entry->budget = ap_retry_budget_new(settings->retry_ratio, &entry->env);
	return entry->route && entry->admission && entry->budget;
}

static void start_timers(entry_t *entry)
{
	on_tick(-1, 0, entry);
	event_add(entry->report, &(struct timeval){.tv_sec = REPORT_S});
}

ap_http_status_t entry_new(const entry_config_t *config, entry_t **out, ap_err_t *err)
{
	entry_t *entry = calloc(1, sizeof(*entry));
	ap_http_status_t status;

	if (!entry)
		return AP_HTTP_STATUS_NO_MEMORY;
	entry->config = *config;
	entry->env = (ap_env_t){.ctx = entry, .event = note_event};
	ap_rng_seed(&entry->rng, config->inc.hi);
	entry->client = ap_http_client_new(config->base);
	entry->tick = evtimer_new(config->base, on_tick, entry);
	entry->report = evtimer_new(config->base, on_report, entry);
	if (!entry->client || !entry->tick || !entry->report || !make_policies(entry)) {
		entry_free(entry);
		return AP_HTTP_STATUS_NO_MEMORY;
	}
	status = open_server(entry, err);
	if (status != AP_HTTP_STATUS_OK) {
		entry_free(entry);
		return status;
	}
	start_timers(entry);
	*out = entry;
	return AP_HTTP_STATUS_OK;
}

static void forget_draining(entry_t *entry)
{
	draining_upstream_t *first = entry->draining_upstreams;
	draining_upstream_t *next;

	HASH_CLEAR(hh, entry->draining_upstreams);
	for (; first; first = next) {
		next = first->hh.next;
		free(first);
	}
}

static void free_exchanges(entry_t *entry)
{
	exchange_t *x = entry->exchanges;
	exchange_t *next;

	for (; x; x = next) {
		next = x->hh.next;
		x->call = NULL;
		exchange_free(x);
	}
}

void entry_free(entry_t *entry)
{
	if (!entry)
		return;
	/* Freeing exchanges that are in progress must not report the entry as drained. */
	entry->drained = true;
	/* Closes the callers' connections first, so that no exchange replies from here on. */
	for (exchange_t *x = entry->exchanges; x; x = x->hh.next) {
		if (x->call)
			ap_http_call_watch(x->call, NULL, NULL, NULL);
	}
	ap_http_server_free(entry->server);
	ap_http_budget_free(entry->memory);
	free_exchanges(entry);
	ap_http_client_free(entry->client);
	ap_route_free(entry->route);
	if (entry->admission)
		ap_admission_free(entry->admission);
	if (entry->budget)
		ap_retry_budget_free(entry->budget);
	if (entry->view)
		ap_view_unref(entry->view);
	forget_draining(entry);
	entry_forget_senders(entry, NULL);
	if (entry->tick)
		event_free(entry->tick);
	if (entry->report)
		event_free(entry->report);
	free(entry);
}

uint16_t entry_port(const entry_t *entry)
{
	return ap_http_server_port(entry->server);
}

const char *entry_region_of(const ap_view_t *view, const char *id)
{
	for (size_t i = 0; i < view->n_entries; i++) {
		if (strcmp(view->entries[i].id, id) == 0)
			return view->entries[i].region;
	}
	return NULL;
}

/*
 * Ends forwarded requests whose sender has left the view. Their responses would otherwise be held
 * until the time limit.
 */
static void cancel_orphaned_requests(entry_t *entry)
{
	exchange_t *x;
	exchange_t *next;

	for (x = entry->exchanges; x; x = next) {
		next = x->hh.next;
		if (x->is_forwarded && !entry_region_of(entry->view, x->forwarded.from))
			exchange_caller_gone(x);
	}
}

static void set_view(entry_t *entry, ap_view_t *view)
{
	ap_usec_t now = ap_now();

	if (entry->view && view->number <= entry->view->number) {
		ap_view_unref(view);
		return;
	}
	if (entry->view)
		ap_view_unref(entry->view);
	entry->view = view;
	forget_draining(entry);
	ap_route_set_view(entry->route, view, now);
	ap_admission_set_capacity(entry->admission, ap_route_capacity(entry->route, now), now);
	cancel_orphaned_requests(entry);
	entry_forget_senders(entry, view);
	if (entry->hooks.view)
		entry->hooks.view(entry->hooks.ctx, view);
}

bool entry_knows_draining(const entry_t *entry, const char *upstream)
{
	draining_upstream_t *known;

	HASH_FIND_STR(entry->draining_upstreams, upstream, known);
	return known != NULL;
}

static void remember_draining(entry_t *entry, const char *upstream)
{
	draining_upstream_t *known = calloc(1, sizeof(*known));

	if (!known)
		return;
	ap_copy_name(known->name, sizeof(known->name), upstream);
	HASH_ADD_STR(entry->draining_upstreams, name, known);
}

void entry_upstream_draining(entry_t *entry, const char *upstream, bool announce)
{
	ap_note_t note = {.kind = AP_NOTE_UPSTREAM_DRAINING};

	ap_route_drain(entry->route, upstream, ap_now());
	if (entry_knows_draining(entry, upstream))
		return;
	if (HASH_COUNT(entry->draining_upstreams) < DRAINING_UPSTREAMS_MAX)
		remember_draining(entry, upstream);
	if (!announce)
		return;
	ap_copy_name(note.u.name, sizeof(note.u.name), upstream);
	entry->config.note(entry->config.ctx, &note);
	ap_emit(&entry->env, ap_now(), "upstream.leaving", (ap_xid_t){0}, "upstream=%s", upstream);
}

void entry_hooks_drained(entry_t *entry)
{
	ap_note_t note = {.kind = AP_NOTE_DRAINED};

	ap_require(&entry->env, HASH_COUNT(entry->exchanges) == 0, AP_INV_EXIT,
		   "drained with requests in progress");
	entry->config.note(entry->config.ctx, &note);
}

void entry_check_drained(entry_t *entry)
{
	if (!entry->draining || entry->drained || entry->exchanges || entry->waiting_calls > 0)
		return;
	if (ap_http_server_flushing(entry->server) > 0)
		return;
	entry->drained = true;
	if (entry->hooks.drain)
		entry->hooks.drain(entry->hooks.ctx);
	else
		entry_hooks_drained(entry);
}

static void take_cache(entry_t *entry, ap_cache_event_t *event)
{
	ap_route_cache_event(entry->route, event, ap_now());
	free(event);
}

bool entry_note(entry_t *entry, ap_note_t *note)
{
	switch (note->kind) {
	case AP_NOTE_VIEW:
		set_view(entry, note->u.view);
		break;
	case AP_NOTE_LOAD:
		ap_route_load(entry->route, &note->u.load, ap_now());
		break;
	case AP_NOTE_OFFER:
		ap_route_remote_offer(entry->route, &note->u.offer, ap_now());
		break;
	case AP_NOTE_CACHE:
		take_cache(entry, note->u.cache);
		break;
	case AP_NOTE_UPSTREAM_DRAINING:
		entry_upstream_draining(entry, note->u.name, false);
		break;
	case AP_NOTE_DRAIN:
		entry->draining = true;
		entry_check_drained(entry);
		break;
	case AP_NOTE_STOP:
		return false;
	default:
		break;
	}
	return true;
}

static void receive_forward(entry_t *entry, const char *from, const ap_forward_msg_t *msg)
{
	switch (msg->kind) {
	case AP_WIRE_FORWARD:
	case AP_WIRE_FORWARD_CREDIT:
	case AP_WIRE_FORWARD_CANCEL:
		forwarded_receive(entry, from, msg);
		break;
	default:
		forward_receive(entry, from, msg);
		break;
	}
}

void entry_receive(entry_t *entry, const char *from, const void *data, size_t len)
{
	ap_forward_msg_t msg;
	ap_wire_head_t head;
	msgpack_object body;
	msgpack_zone zone;

	if (ap_wire_peek(data, len) == AP_WIRE_ONCE) {
		if (entry->hooks.message)
			entry->hooks.message(entry->hooks.ctx, from, data, len);
		return;
	}
	msgpack_zone_init(&zone, 4096);
	if (ap_wire_open(data, len, &zone, &head, &body, NULL) == AP_WIRE_OK &&
	    ap_forward_read(head.kind, &body, &msg) == AP_WIRE_OK)
		receive_forward(entry, from, &msg);
	else
		entry->counts[COUNT_REFUSED_MESSAGES]++;
	msgpack_zone_destroy(&zone);
}

bool entry_send(entry_t *entry, const char *to, const ap_forward_msg_t *msg)
{
	msgpack_sbuffer buf;
	bool sent;

	msgpack_sbuffer_init(&buf);
	ap_forward_pack(&buf, entry->config.inc, ++entry->next_message, msg);
	sent = entry->config.send(entry->config.ctx, to, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return sent;
}
