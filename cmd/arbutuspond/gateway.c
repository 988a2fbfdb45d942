/* The gateway task: set-up, listeners, signals, the periodic tick and the drain. */
#include "gateway.h"

#include "build.h"
#include "wire/wire.h"

#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define TICK (100 * AP_MSEC)
/* Delay of a tick that counts as a freeze; one turn of the event loop takes less. */
#define FREEZE_MIN (700 * AP_MSEC)
/* Limits of requests, unless the configuration states them. */
#define HEADER_BYTES (32 << 10)
#define BODY_BYTES (8 << 20)
#define START_LINE 2048			  /* bytes that a head has beside its fields, */
#define FORWARD_ROOM 2048		  /* and those of the fields that instances add */
#define CALLER_IDLE_TIMEOUT (60 * AP_SEC) /* longer than callers keep an idle connection */
/* From the first to the last byte of a request; several times what callers are allowed. */
#define CALLER_ARRIVAL_TIMEOUT (10 * AP_SEC)
#define MEMORY_PART 4	 /* of the machine's memory is the budget; as much again goes into copies */
#define CONNECTIONS 3000 /* per listener; the other file descriptors are for upstreams */
/*
 * The listeners are open for at most this long after SIGTERM. Requests accepted later would not be
 * complete within the grace period.
 */
#define LISTEN_MAX (2800 * AP_MSEC)
/* Share of the grace period after which the process ends; soon after, it would be killed. */
#define GRACE_PART 0.96
#define LOG_LINES_PER_SECOND 200
#define LOG_BACKLOG (128 << 10) /* bytes */
/*
 * After the store has returned, expired records are written again within this time. So an upstream
 * whose record may have expired during an outage stays valid for this long after its removal was
 * read.
 */
#define ENTRY_GRACE (2 * AP_SEC)
/* Within this time a running instance reconnects to one that has restarted, and sends it a message.
 */
#define LEARN_TIME (1200 * AP_MSEC)

static ap_usec_t monotonic_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * AP_SEC + ts.tv_nsec / 1000;
}

static bool listen_on(gateway_t *gate, ap_http_server_t **server, const char *host, uint16_t port,
		      void (*request)(void *ctx, ap_http_call_t *call))
{
	ap_http_server_config_t config = {
		.base = gate->base,
		.host = host,
		.port = port,
		.header_bytes = HEADER_BYTES,
		.body_bytes = BODY_BYTES,
		.connections = CONNECTIONS,
		.budget = gate->budget,
		.idle = CALLER_IDLE_TIMEOUT,
		.arrival = CALLER_ARRIVAL_TIMEOUT,
		.ctx = gate,
		.request = request,
		.refused = request == gate_on_peer ? gate_on_peer_refused : gate_on_refused,
	};
	ap_err_t err;

	if (ap_http_server_new(&config, server, &err) == AP_HTTP_STATUS_OK)
		return true;
	ap_log(LOG_ERR, "%s", err.text);
	return false;
}

static size_t more(size_t a, size_t b)
{
	return a > b ? a : b;
}

void gate_apply_limits(gateway_t *gate)
{
	const ap_plan_limits_t *limits = &gate->plan->limits;
	size_t head = limits->head ? limits->head + START_LINE : HEADER_BYTES;
	size_t body = limits->body ? limits->body : BODY_BYTES;
	/* A body being served is there twice, with the copy for an upstream. */
	size_t body_max = ap_http_budget_stats(gate->budget).limit / 2;

	if (body > body_max) {
		ap_journal_write(gate->journal, AP_RECORD_RARE, "limits.beyond-memory", NULL,
				 "s:I,s:I,s:I", "version", (json_int_t)gate->plan->version,
				 "body_bytes", (json_int_t)body, "served", (json_int_t)body_max);
		body = body_max;
	}
	ap_http_server_set_limits(gate->callers, &(ap_http_limits_t){.header_bytes = head,
								     .body_bytes = body,
								     .head_time = limits->head_time,
								     .idle = limits->idle});
	/* Instances may forward as an older or a newer version allows. */
	gate->peer_limits.head = more(gate->peer_limits.head, more(head, HEADER_BYTES));
	gate->peer_limits.body = more(gate->peer_limits.body, more(body, BODY_BYTES));
	ap_http_server_set_limits(
		gate->peers,
		&(ap_http_limits_t){.header_bytes = gate->peer_limits.head + FORWARD_ROOM,
				    .body_bytes = gate->peer_limits.body});
}

static bool listen_all(gateway_t *gate)
{
	const ap_gateway_settings_t *g = gate->conf;

	return listen_on(gate, &gate->peers, gate->settings->host, g->peer_port, gate_on_peer) &&
	       listen_on(gate, &gate->callers, g->callers.host, g->callers.port, gate_on_caller) &&
	       listen_on(gate, &gate->ready, g->ready.host, g->ready.port, gate_on_ready) &&
	       listen_on(gate, &gate->directory, g->directory.host, g->directory.port,
			 gate_on_directory) &&
	       listen_on(gate, &gate->metrics, g->metrics.host, g->metrics.port, gate_on_metrics) &&
	       (g->control.port == 0 ||
		listen_on(gate, &gate->control, g->control.host, g->control.port, gate_on_control));
}

static bool is_drained(const gateway_t *gate)
{
	return LIST_EMPTY(&gate->calls) && ap_http_server_drained(gate->callers) &&
	       ap_http_server_drained(gate->peers);
}

/*
 * Returns whether a draining instance may close its listeners. After directory_ttl, most callers
 * have queried the directory again; the others find no listener and call another instance. The last
 * active instance of a region listens up to LISTEN_MAX, in case another one starts.
 */
static bool may_stop_listening(const gateway_t *gate, ap_usec_t now)
{
	ap_usec_t elapsed = now - gate->drain_started;

	return elapsed > LISTEN_MAX ||
	       (elapsed > gate->conf->directory_ttl && ap_fleet_active_peers(gate->fleet, now) > 0);
}

static void check_drain(gateway_t *gate, ap_usec_t now)
{
	double elapsed = (double)(now - gate->drain_started);
	double grace = (double)gate->conf->grace;

	if (gate->drain_started == 0)
		return;
	if (!gate->listeners_closed && may_stop_listening(gate, now)) {
		gate->listeners_closed = true;
		ap_http_server_stop(gate->callers);
		ap_http_server_stop(gate->peers);
	}
	if (elapsed > GRACE_PART * grace || (gate->listeners_closed && is_drained(gate)))
		event_base_loopbreak(gate->base);
}

/* Records at most once a second that requests gave way or connections were closed. */
static void record_memory(gateway_t *gate, ap_usec_t now)
{
	ap_http_budget_stats_t memory = ap_http_budget_stats(gate->budget);

	if (memory.gave_way + memory.closed == gate->memory_recorded ||
	    now - gate->memory_recorded_at < AP_SEC)
		return;
	gate->memory_recorded = memory.gave_way + memory.closed;
	gate->memory_recorded_at = now;
	ap_journal_write(gate->journal, AP_RECORD_RARE, "memory.short", NULL, "s:I,s:I,s:I,s:I,s:I",
			 "held", (json_int_t)memory.used, "limit", (json_int_t)memory.limit,
			 "connections", (json_int_t)memory.connections, "gave_way",
			 (json_int_t)memory.gave_way, "closed", (json_int_t)memory.closed);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	gateway_t *gate = arg;
	ap_usec_t now = ap_now();
	ap_usec_t monotonic = monotonic_now();
	ap_usec_t frozen = now - gate->last_tick - TICK;

	(void)fd;
	(void)what;
	if (frozen > FREEZE_MIN) {
		ap_journal_write(
			gate->journal, AP_RECORD_RARE, "process.frozen", NULL, "s:I,s:I", "boot_ms",
			(json_int_t)(frozen / AP_MSEC), "steady_ms",
			(json_int_t)((monotonic - gate->last_tick_monotonic - TICK) / AP_MSEC));
		ap_fleet_after_freeze(gate->fleet, now);
		ap_follow_relist(gate->follow, now);
	}
	gate->last_tick = now;
	gate->last_tick_monotonic = monotonic;
	ap_fleet_tick(gate->fleet, now);
	gate_store_tick(gate, now);
	gate_version_tick(gate, now);
	gate_seed_tick(gate, now);
	gate_health_tick(gate, now);
	gate_peer_tick(gate, now);
	gate_lookup_tick(gate, now);
	record_memory(gate, now);
	ap_journal_flush(gate->journal);
	check_drain(gate, now);
}

static ap_fleet_config_t fleet_bounds(const ap_gateway_settings_t *g)
{
	return (ap_fleet_config_t){
		.cold_over = g->cold_over,
		.cold_slack = g->cold_slack,
		.retry_ratio = g->retry_ratio,
		.retry_slack = g->retry_slack,
		.retry_window = g->retry_window,
		.learn_time = LEARN_TIME,
		.entry_grace = ENTRY_GRACE,
		.prompt_fetch = g->prompt_fetch,
		.quota = {.window = g->allowance_window,
			  .over = g->allowance_over,
			  .slack = g->allowance_slack},
	};
}

static void on_terminate(evutil_socket_t fd, short what, void *arg)
{
	gateway_t *gate = arg;
	ap_usec_t now = ap_now();

	(void)fd;
	(void)what;
	if (gate->drain_started != 0)
		return;
	gate->drain_started = now;
	gate->self.draining = true;
	ap_fleet_update_member(gate->fleet, &gate->self, now);
	ap_registration_update(gate->registration, now);
	gate_store_tick(gate, now);
	gate_peer_tick(gate, now);
	ap_journal_write(gate->journal, AP_RECORD_RARE, "process.leaving", NULL, NULL);
}

/*
 * Reloads the settings. The fleet's bounds, the share of second attempts, the grace period, the
 * directory's TTL and the seeds take effect; all other settings keep the values they had at start.
 */
static void on_reload(evutil_socket_t fd, short what, void *arg)
{
	gateway_t *gate = arg;
	ap_settings_t fresh;
	ap_fleet_config_t bounds;
	ap_err_t err;

	(void)fd;
	(void)what;
	if (ap_settings_load(gate->path, &fresh, &err) != AP_SETTINGS_OK) {
		ap_journal_write(gate->journal, AP_RECORD_RARE, "process.reload", NULL, "s:b,s:s",
				 "taken", 0, "why", err.text);
		return;
	}
	if (fresh.gateway.present) {
		bounds = fleet_bounds(&fresh.gateway);
		ap_fleet_set_bounds(gate->fleet, &bounds);
		gate->settings->gateway.second_attempts = fresh.gateway.second_attempts;
		if (!gate_second_configure(gate))
			ap_log(LOG_ERR, "no memory for second attempts: there are none");
		gate->settings->gateway.grace = fresh.gateway.grace;
		gate->settings->gateway.directory_ttl = fresh.gateway.directory_ttl;
		memcpy(gate->settings->gateway.seeds, fresh.gateway.seeds,
		       sizeof(fresh.gateway.seeds));
		gate->settings->gateway.n_seeds = fresh.gateway.n_seeds;
	}
	ap_journal_write(gate->journal, AP_RECORD_RARE, "process.reload", NULL, "s:b", "taken",
			 (int)fresh.gateway.present);
	ap_settings_clear(&fresh);
}

static bool start_tick_and_signals(gateway_t *gate)
{
	const struct timeval every = ap_timeval(TICK);

	gate->signals[0] = evsignal_new(gate->base, SIGTERM, on_terminate, gate);
	gate->signals[1] = evsignal_new(gate->base, SIGINT, on_terminate, gate);
	gate->signals[2] = evsignal_new(gate->base, SIGHUP, on_reload, gate);
	for (size_t i = 0; i < 3; i++) {
		if (!gate->signals[i] || event_add(gate->signals[i], NULL) != 0)
			return false;
	}
	gate->tick = event_new(gate->base, -1, EV_PERSIST, on_tick, gate);
	return gate->tick && event_add(gate->tick, &every) == 0;
}

static bool make_fleet(gateway_t *gate)
{
	const ap_settings_t *s = gate->settings;
	const ap_gateway_settings_t *g = gate->conf;
	ap_fleet_config_t config = fleet_bounds(g);

	config.ctx = gate;
	config.on_event = gate_on_fleet_event;
	config.inc = gate->inc;
	config.seed = gate->inc.hi;
	ap_copy_name(config.id, sizeof(config.id), s->id);
	ap_copy_name(config.region, sizeof(config.region), s->region);
	ap_copy_name(config.data_centre, sizeof(config.data_centre), s->data_centre);
	gate->fleet = ap_fleet_new(&config);
	if (!gate->fleet)
		return false;
	for (size_t i = 0; i < g->n_data_centres; i++)
		ap_fleet_set_data_centre(gate->fleet, g->data_centres[i].name,
					 g->data_centres[i].region);
	ap_fleet_update_member(gate->fleet, &gate->self, ap_now());
	return true;
}

static void fill_self(gateway_t *gate)
{
	const ap_settings_t *s = gate->settings;

	gate->self = (ap_member_t){
		.caller_port = gate->conf->callers.port,
		.peer_port = gate->conf->peer_port,
		.cores = gate->conf->cores,
		.speaks = AP_FLEET_SPEAKS,
		.wire_oldest = AP_WIRE_VERSION_OLDEST,
		.wire_newest = AP_WIRE_VERSION,
	};
	ap_copy_name(gate->self.id, sizeof(gate->self.id), s->id);
	ap_copy_name(gate->self.region, sizeof(gate->self.region), s->region);
	ap_copy_name(gate->self.data_centre, sizeof(gate->self.data_centre), s->data_centre);
	ap_copy_name(gate->self.host, sizeof(gate->self.host), s->host);
	ap_copy_name(gate->peer_settings.id, sizeof(gate->peer_settings.id), s->id);
	ap_copy_name(gate->peer_settings.host, sizeof(gate->peer_settings.host), s->host);
}

static bool start(gateway_t *gate)
{
	ap_journal_config_t journal = {
		.fd = STDOUT_FILENO,
		.instance = gate->settings->id,
		.inc = gate->inc,
		.sample = (unsigned)gate->conf->log_sample,
		.rate = LOG_LINES_PER_SECOND,
		.backlog = LOG_BACKLOG,
	};

	gate->base = ap_http_base_new();
	gate->journal = ap_journal_new(&journal);
	if (!gate->base || !gate->journal)
		return false;
	gate->last_tick = ap_now();
	gate->started = gate->last_tick;
	gate->http_calls = ap_calls_new(gate->base);
	gate->last_tick_monotonic = monotonic_now();
	gate->client = ap_http_client_new(gate->base);
	gate->budget =
		ap_http_budget_new(gate->base, (gate->settings->memory_mb << 20) / MEMORY_PART, 0);
	fill_self(gate);
	return gate->client && gate->budget && gate->http_calls && make_fleet(gate) &&
	       gate_second_configure(gate) && listen_all(gate) && gate_store_start(gate) &&
	       start_tick_and_signals(gate);
}

static void stop(gateway_t *gate)
{
	ap_http_server_free(gate->callers);
	ap_http_server_free(gate->peers);
	ap_http_server_free(gate->ready);
	ap_http_server_free(gate->directory);
	ap_http_server_free(gate->metrics);
	ap_http_server_free(gate->control);
	ap_http_budget_free(gate->budget);
	ap_calls_free(gate->http_calls);
	ap_http_client_free(gate->client);
	gate_lookup_stop(gate);
	gate_store_stop(gate);
	ap_peer_free(gate->peer);
	ap_fleet_free(gate->fleet);
	ap_hedge_free(gate->hedge);
	ap_plan_unref(gate->plan);
	for (size_t i = 0; i < 3; i++) {
		if (gate->signals[i])
			event_free(gate->signals[i]);
	}
	if (gate->tick)
		event_free(gate->tick);
	if (gate->base)
		event_base_free(gate->base);
	ap_journal_free(gate->journal);
}

bool ap_gateway_task(ap_settings_t *settings, const char *path)
{
	gateway_t gate = {.settings = settings, .conf = &settings->gateway, .path = path};
	bool ok;

	LIST_INIT(&gate.calls);
	LIST_INIT(&gate.lookups);
	ap_random(&gate.inc, sizeof(gate.inc));
	ap_rng_seed(&gate.rng, gate.inc.hi ^ gate.inc.lo);
	ok = start(&gate);
	if (ok) {
		ap_journal_write(gate.journal, AP_RECORD_RARE, "process.started", NULL, "s:s,s:s",
				 "version", AP_VERSION, "build", ap_build_name);
		ap_journal_flush(gate.journal);
		event_base_dispatch(gate.base);
		ap_journal_write(gate.journal, AP_RECORD_RARE, "process.stopped", NULL, "s:b",
				 "drained", (int)is_drained(&gate));
	}
	stop(&gate);
	return ok;
}
