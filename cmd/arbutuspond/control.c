/*
 * The control task: connects membership, configuration, orders and reports to the other instances,
 * the platform and the entry task.
 */
#include "control.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

#define WEIGHT_FETCH_BYTES_PER_SECOND 2e9 /* by the whole region from the weight store */
#define CONCURRENT_LOADS_MAX 4		  /* in the region */
#define SOCKET_FLUSH_TIME (300 * AP_MSEC) /* for the last messages to be sent */

static void on_env_event(void *ctx, const ap_event_t *event)
{
	ap_control_t *c = ctx;

	ap_ring_add(c->ring, ap_hlc_now(&c->clock, ap_wall_ms()), event);
}

static void on_invariant_violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	(void)ctx;
	ap_log(LOG_CRIT, "invariant %s broken: %s", ap_invariant_name(invariant), what);
	abort();
}

ap_env_t ap_control_env(ap_control_t *c)
{
	return (ap_env_t){.ctx = c, .event = on_env_event, .violated = on_invariant_violated};
}

static void control_event(ap_control_t *c, const char *kind, const char *detail)
{
	ap_event_t event = {.at = ap_now(), .kind = kind, .detail = detail};

	on_env_event(c, &event);
}

static ap_entry_t self_entry(const ap_control_t *c)
{
	const ap_settings_t *s = c->settings;
	ap_entry_t e = {.inc = c->args->inc,
			.caller_port = s->caller_port,
			.data_port = s->data_port,
			.control_port = ap_peer_port_number(c->peer),
			.weight = 1.0};

	ap_copy_name(e.id, sizeof(e.id), s->id);
	ap_copy_name(e.host, sizeof(e.host), s->host);
	ap_copy_name(e.region, sizeof(e.region), s->region);
	ap_copy_name(e.data_centre, sizeof(e.data_centre), s->data_centre);
	ap_copy_name(e.public_key, sizeof(e.public_key), s->public_key);
	return e;
}

void ap_control_drain(ap_control_t *c, const char *why)
{
	ap_note_t note = {.kind = AP_NOTE_DRAIN};
	ap_usec_t now = ap_now();

	if (c->draining)
		return;
	c->draining = true;
	ap_log(LOG_NOTICE, "draining: %s", why);
	control_event(c, "control.drain", why);
	ap_member_announce_drain(c->member, now);
	ap_order_drain(c->order, now);
	ap_control_entries_changed(c, now);
	ap_control_send_view(c);
	ap_task_link_send(c->link, &note);
}

bool ap_control_ready(ap_control_t *c, ap_err_t *why)
{
	if (c->draining) {
		ap_err_set(why, "draining");
		return false;
	}
	if (!c->listing) {
		ap_err_set(why, "the instance list has not been read yet");
		return false;
	}
	if (c->view_number == 0) {
		ap_err_set(why, "the entry task has no view of the fleet yet");
		return false;
	}
	if (!ap_spread_ready(c->spread, ap_now(), why))
		return false;
	if (!c->witnesses_known)
		ap_err_set(
			why,
			"the entry task still waits for its configuration or a witness of permits");
	return c->witnesses_known;
}

/* Callbacks of the membership (lib/member). */

static void on_member_address_changed(void *ctx, const ap_entry_t *entry)
{
	ap_control_t *c = ctx;

	ap_peer_add(c->peer, entry->id, entry->host, entry->control_port, entry->public_key);
}

static void on_member_changed(void *ctx)
{
	ap_control_entries_changed(ctx, ap_now());
}

static void on_member_superseded(void *ctx)
{
	ap_control_drain(ctx, "a newer process runs with the same instance id");
}

/* Callback of the configuration (lib/spread). */
static void on_conf_activated(void *ctx, const ap_conf_t *conf)
{
	ap_control_t *c = ctx;

	ap_log(LOG_NOTICE, "configuration generation %" PRIu64 " is active", conf->generation);
	ap_order_set_conf(c->order, conf, ap_now());
	c->view_stale = true;
}

/* Callbacks of the reports (lib/report). */

static void on_report_load(void *ctx, const ap_load_report_t *report)
{
	ap_control_t *c = ctx;
	ap_note_t note = {.kind = AP_NOTE_LOAD, .u.load = *report};

	ap_task_link_send(c->link, &note);
}

static void on_capacity_offer(void *ctx, const ap_capacity_offer_t *offer)
{
	ap_control_t *c = ctx;
	ap_note_t note = {.kind = AP_NOTE_OFFER, .u.offer = *offer};

	ap_task_link_send(c->link, &note);
}

void ap_control_cache_event(ap_control_t *c, const ap_cache_event_t *event)
{
	size_t bytes = event->n_blocks * sizeof(*event->blocks);
	ap_cache_event_t *copy = malloc(sizeof(*copy) + bytes);
	ap_note_t note = {.kind = AP_NOTE_CACHE, .u.cache = copy};

	if (!copy)
		return;
	*copy = *event;
	copy->blocks = (const uint64_t *)(copy + 1);
	if (bytes > 0)
		memcpy(copy + 1, event->blocks, bytes);
	if (!ap_task_link_send(c->link, &note))
		free(copy);
}

static void on_report_cache(void *ctx, const ap_cache_event_t *event)
{
	ap_control_cache_event(ctx, event);
}

static void on_upstream_draining(void *ctx, const char *upstream)
{
	ap_control_t *c = ctx;
	ap_note_t note = {.kind = AP_NOTE_UPSTREAM_DRAINING};

	ap_copy_name(note.u.name, sizeof(note.u.name), upstream);
	ap_task_link_send(c->link, &note);
	c->view_stale = true;
}

static void on_report_models(void *ctx, const char *upstream)
{
	ap_control_t *c = ctx;

	(void)upstream;
	c->view_stale = true;
}

/* Callbacks of the orders (lib/order). */
static void on_observe(void *ctx, const char *upstream)
{
	ap_control_t *c = ctx;

	ap_poll_observe(c->poll, upstream);
}

static void on_withdraw(void *ctx, const char *upstream, const char *item, uint64_t fence,
			uint64_t number, ap_usec_t keep)
{
	ap_control_t *c = ctx;

	ap_report_withdraw(c->report, upstream, item, fence, number, keep, ap_now());
}

static bool is_withdrawn(void *ctx, const char *upstream, const char *item)
{
	const ap_control_t *c = ctx;

	return ap_report_is_withdrawn(c->report, upstream, item);
}

static void on_peer_message(void *ctx, const char *from, const void *data, size_t len)
{
	ap_control_t *c = ctx;
	ap_usec_t now = ap_now();
	uint32_t kind = ap_wire_peek(data, len);
	ap_err_t err = {""};
	bool accepted = false;

	switch (kind) {
	case AP_WIRE_MEMBER:
		accepted = ap_member_receive(c->member, from, data, len, now, &err) == AP_MEMBER_OK;
		break;
	case AP_WIRE_SPREAD:
		accepted = ap_spread_receive(c->spread, from, data, len, now, &err) == AP_SPREAD_OK;
		break;
	case AP_WIRE_REPORT:
		accepted = ap_report_receive(c->report, from, data, len, now, &err) == AP_REPORT_OK;
		break;
	default:
		ap_err_set(&err, "unknown message kind %" PRIu32, kind);
		break;
	}
	if (!accepted)
		ap_log(LOG_WARNING, "message from %s refused: %s", from, err.text);
}

static void add_entry_event(ap_control_t *c, const ap_note_t *note)
{
	ap_event_t event = {.at = ap_now(),
			    .kind = note->u.event.kind,
			    .request = note->u.event.request,
			    .detail = note->u.event.detail};
	uint64_t wall = ap_wall_ms();

	if (note->u.event.at.wall_ms == 0) {
		ap_ring_add(c->ring, ap_hlc_now(&c->clock, wall), &event);
		return;
	}
	ap_hlc_seen(&c->clock, note->u.event.at, wall);
	ap_ring_add(c->ring, note->u.event.at, &event);
}

static void on_note(void *ctx, ap_note_t *note)
{
	ap_control_t *c = ctx;
	ap_usec_t now = ap_now();

	switch (note->kind) {
	case AP_NOTE_UPSTREAM_DRAINING:
		ap_report_saw_draining(c->report, note->u.name, now);
		c->view_stale = true;
		break;
	case AP_NOTE_DRAINED:
		c->drained = true;
		ap_member_announce_exit(c->member, now);
		c->stop_at = now + SOCKET_FLUSH_TIME;
		break;
	case AP_NOTE_EVENT:
		add_entry_event(c, note);
		break;
	case AP_NOTE_COUNTERS:
		free(c->entry_counters);
		c->entry_counters = note->u.text;
		break;
	case AP_NOTE_OWN_OFFER:
		ap_report_set_own_offer(c->report, &note->u.offer, now);
		break;
	case AP_NOTE_PERMITS_READY:
		c->witnesses_known = true;
		break;
	case AP_NOTE_FAILED:
		ap_log(LOG_ERR, "entry task: %s", note->u.name);
		c->failed = true;
		event_base_loopbreak(c->base);
		break;
	default:
		break;
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	ap_control_t *c = arg;
	ap_usec_t now = ap_now();

	(void)fd;
	(void)what;
	ap_control_read_list(c, now);
	ap_member_tick(c->member, now);
	ap_spread_tick(c->spread, now);
	ap_report_tick(c->report, now);
	ap_poll_tick(c->poll, now);
	/* Orders are sent within this call and depend on the lease, so the clock is read again. */
	ap_order_tick(c->order, ap_now());
	ap_control_send_view(c);
	ap_control_publish(c, now);
	if (c->stop_at && now >= c->stop_at) {
		ap_task_link_send(c->link, &(ap_note_t){.kind = AP_NOTE_STOP});
		event_base_loopbreak(c->base);
	}
}

static void on_signal(evutil_socket_t signum, short what, void *arg)
{
	ap_control_t *c = arg;
	ap_note_t note = {.kind = AP_NOTE_STOP};

	(void)what;
	if (!c->draining) {
		ap_control_drain(c, signum == SIGTERM ? "SIGTERM" : "SIGINT");
		return;
	}
	ap_log(LOG_WARNING, "second signal: stopping with requests in progress");
	c->failed = true;
	ap_task_link_send(c->link, &note);
	event_base_loopbreak(c->base);
}

static bool open_peer(ap_control_t *c)
{
	ap_peer_config_t config = {.base = c->base,
				   .settings = c->settings,
				   .clock = &c->clock,
				   .port = c->settings->control_port,
				   .ctx = c,
				   .receive = on_peer_message};
	ap_err_t err;

	if (ap_peer_new(&config, &c->peer, &err) == AP_PEER_OK)
		return true;
	ap_log(LOG_ERR, "control listener: %s", err.text);
	return false;
}

static void open_modules(ap_control_t *c, ap_usec_t now)
{
	ap_entry_t self = self_entry(c);
	ap_peer_port_t peer = ap_peer_as_port(c->peer);
	ap_kv_port_t kv = ap_platform_kv(c->platform);
	ap_env_t env = ap_control_env(c);
	uint64_t seed = c->args->inc.lo;

	c->member =
		ap_member_new(&(ap_member_config_t){.self = self,
						    .epoch = ap_wall_ms(),
						    .seed = seed,
						    .peer = peer,
						    .env = env,
						    .ctx = c,
						    .address_changed = on_member_address_changed,
						    .changed = on_member_changed,
						    .superseded = on_member_superseded},
			      now);
	c->spread = ap_spread_new(&(ap_spread_config_t){.self = self,
							.seed = seed + 1,
							.kv = kv,
							.peer = peer,
							.env = env,
							.ctx = c,
							.activated = on_conf_activated},
				  now);
	c->order = ap_order_new(&(ap_order_config_t){.self = self,
						     .seed = seed + 2,
						     .lease_ttl = c->settings->lease_time,
						     .weight_rate = WEIGHT_FETCH_BYTES_PER_SECOND,
						     .loads_max = CONCURRENT_LOADS_MAX,
						     .kv = kv,
						     .port = ap_poll_orders(c->poll),
						     .env = env,
						     .ctx = c,
						     .observe = on_observe,
						     .withdraw = on_withdraw,
						     .is_withdrawn = is_withdrawn},
				now);
	c->report = ap_report_new(&(ap_report_config_t){.self = self,
							.seed = seed + 3,
							.peer = peer,
							.env = env,
							.ctx = c,
							.load = on_report_load,
							.offer = on_capacity_offer,
							.cache = on_report_cache,
							.draining = on_upstream_draining,
							.models = on_report_models},
				  now);
}

static void start_timer_and_signals(ap_control_t *c)
{
	const struct timeval every = {.tv_usec = AP_CONTROL_TICK_MS * 1000};

	c->tick = event_new(c->base, -1, EV_PERSIST, on_tick, c);
	event_add(c->tick, &every);
	c->signals[0] = evsignal_new(c->base, SIGTERM, on_signal, c);
	c->signals[1] = evsignal_new(c->base, SIGINT, on_signal, c);
	event_add(c->signals[0], NULL);
	event_add(c->signals[1], NULL);
}

static bool open_all(ap_control_t *c)
{
	ap_usec_t now = ap_now();
	ap_err_t err;

	c->base = event_base_new();
	c->link = ap_task_link_new(c->args->zmq, AP_TASK_LINK_NAME, true, c->base, on_note, c);
	c->ring = ap_ring_new(c->settings->events, c->settings->id, c->settings->data_centre);
	if (!c->link || !c->ring || !open_peer(c))
		return false;
	c->platform = ap_platform_new(c->base, c->settings);
	c->poll = ap_poll_new(c);
	open_modules(c, now);
	c->admin = ap_admin_new(c, &err);
	if (!c->admin) {
		ap_log(LOG_ERR, "admin listener: %s", err.text);
		return false;
	}
	ap_control_entries_changed(c, now);
	start_timer_and_signals(c);
	control_event(c, "control.start", AP_VERSION);
	return true;
}

static void close_all(ap_control_t *c)
{
	for (int i = 0; i < 2; i++) {
		if (c->signals[i])
			event_free(c->signals[i]);
	}
	if (c->tick)
		event_free(c->tick);
	ap_admin_free(c->admin);
	ap_report_free(c->report);
	ap_order_free(c->order);
	ap_spread_free(c->spread);
	ap_member_free(c->member);
	ap_poll_free(c->poll);
	if (c->platform)
		ap_platform_fail_pending(c->platform);
	ap_platform_free(c->platform);
	ap_peer_free(c->peer);
	ap_task_link_free(c->link);
	ap_listing_free(c->listing);
	ap_ring_free(c->ring);
	free(c->entry_counters);
	if (c->base)
		event_base_free(c->base);
}

void *ap_control_task(void *arg)
{
	const ap_task_args_t *args = arg;
	ap_control_t control = {.args = args, .settings = args->settings};

	if (open_all(&control)) {
		ap_log(LOG_NOTICE, "instance %s of region %s started", control.settings->id,
		       control.settings->region);
		event_base_dispatch(control.base);
	} else {
		control.failed = true;
	}
	close_all(&control);
	return control.failed ? arg : NULL;
}
