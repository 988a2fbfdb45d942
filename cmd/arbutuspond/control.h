/* State and functions shared by the files of the control task. */
#ifndef AP_CONTROL_H
#define AP_CONTROL_H

#include "call/call.h"
#include "member/member.h"
#include "order/order.h"
#include "peer/peer.h"
#include "platform/platform.h"
#include "report/report.h"
#include "spread/spread.h"
#include "task.h"

#include <event2/http.h>

#define AP_CONTROL_TICK_MS 100	  /* interval of the timer that drives all periodic work */
#define AP_ENTRIES_KNOWN_MAX 4096 /* live entries of all regions that are listed at once */

typedef struct ap_poll ap_poll_t;
typedef struct ap_cache_listener ap_cache_listener_t;
typedef struct ap_admin ap_admin_t;

typedef struct ap_control {
	const ap_task_args_t *args;
	const ap_settings_t *settings;
	struct event_base *base;
	ap_task_link_t *link;
	ap_peer_t *peer;
	ap_platform_t *platform;
	ap_member_t *member;
	ap_spread_t *spread;
	ap_order_t *order;
	ap_report_t *report;
	ap_poll_t *poll;
	ap_admin_t *admin;
	ap_ring_t *ring;
	ap_hlc_t clock;
	struct event *tick;
	struct event *signals[2];

	ap_listing_t *listing; /* last instance list that was read, or NULL */
	ap_usec_t list_due;    /* when to read the instance list again */
	bool list_requested;   /* a read is in progress */
	uint64_t view_number;  /* number of the last view sent; 0: none yet */
	bool view_stale;       /* the entry task needs a new view */
	ap_usec_t publish_due; /* earliest next write to the client directory; 0: no write is due */
	uint64_t cache_events; /* received from engines by this process */
	char *entry_counters;  /* last counters of the entry task, Prometheus text; or NULL */
	bool witnesses_known;  /* the entry task has sent AP_NOTE_PERMITS_READY */
	bool draining;
	bool drained;
	ap_usec_t stop_at; /* when to end the event loop after the drain; 0: not known yet */
	bool failed;
} ap_control_t;

/** ap_control_env() - environment that adds events to the ring and aborts on a broken invariant. */
ap_env_t ap_control_env(ap_control_t *c);
/** ap_control_drain() - starts a graceful shutdown; no effect while one is in progress. */
void ap_control_drain(ap_control_t *c, const char *why);
/**
 * ap_control_ready() - true if this instance may receive requests of callers.
 * @why: what is missing otherwise
 */
bool ap_control_ready(ap_control_t *c, ap_err_t *why);

/* control-view.c: the view of the fleet that the entry task gets */

/** ap_control_read_list() - reads the instance list if due. */
void ap_control_read_list(ap_control_t *c, ap_usec_t now);
/** ap_control_entries_changed() - passes the live members on after a change of the membership. */
void ap_control_entries_changed(ap_control_t *c, ap_usec_t now);
#define AP_MODELS_MAX AP_REPORT_MODELS_MAX /* models and adapters of one upstream */

/**
 * ap_control_models() - lists the models and adapters to which an upstream takes new requests:
 * those that its pollers read, or those that the rules declare if none was read yet, without those
 * that are about to be unloaded and that another upstream of the region serves.
 * @names: pointers into @conf
 *
 * Return: how many names were written.
 */
size_t ap_control_models(ap_control_t *c, const ap_conf_t *conf, const ap_upstream_t *upstream,
			 char *names[AP_MODELS_MAX]);
/** ap_control_send_view() - sends the entry task a new view if the last one is stale. */
void ap_control_send_view(ap_control_t *c);
/** ap_control_publish() - writes the client directory if due and if this instance has that duty. */
void ap_control_publish(ap_control_t *c, ap_usec_t now);

/* control-poll.c: load, models and cache events of upstreams, and orders to them */

ap_poll_t *ap_poll_new(ap_control_t *c);
void ap_poll_free(ap_poll_t *p);
/**
 * ap_poll_set_upstreams() - sets the listed upstreams. Those of the own region are polled while
 * ap_report_is_poller() names this instance as one of their pollers.
 */
void ap_poll_set_upstreams(ap_poll_t *p, const ap_upstream_t *upstreams, size_t n);
void ap_poll_tick(ap_poll_t *p, ap_usec_t now);
/**
 * ap_poll_read_load() - reads an engine's load from its metrics.
 *
 * Return: false, and @load isn't complete, if a gauge is missing or cut short.
 */
bool ap_poll_read_load(const char *text, ap_load_report_t *load);
/** ap_poll_observe() - reads the models of an upstream now. */
void ap_poll_observe(ap_poll_t *p, const char *upstream);
/** ap_poll_orders() - the port that sends orders to upstreams. */
ap_order_port_t ap_poll_orders(ap_poll_t *p);

/* control-cache.c: cache events of the engines that this instance polls */

/** ap_cache_listener_new() - subscribes at @at; NULL if that address cannot be used. */
ap_cache_listener_t *ap_cache_listener_new(ap_control_t *c, const char *upstream,
					   const ap_address_t *at);
void ap_cache_listener_free(ap_cache_listener_t *l);
/** ap_control_cache_event() - sends the entry task a copy of an event. */
void ap_control_cache_event(ap_control_t *c, const ap_cache_event_t *event);

/* control-admin.c: the HTTP server for operators */

/** ap_admin_new() - listens on the admin address; NULL and @err if that fails. */
ap_admin_t *ap_admin_new(ap_control_t *c, ap_err_t *err);
void ap_admin_free(ap_admin_t *a);

#endif
