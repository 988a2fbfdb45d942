/* State shared by the files of the control task. */
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

#define AP_CONTROL_TICK_MS 100
#define AP_ENTRIES_KNOWN_MAX 4096 /* entries of all regions that are kept track of */

typedef struct ap_poll ap_poll_t;
typedef struct ap_listener ap_listener_t;
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

	ap_listing_t *fleet;  /* last reading of the instance list, or NULL */
	ap_usec_t list_due;   /* when to read the instance list again */
	bool list_asked;      /* a reading is under way */
	uint64_t view_number; /* number of the last view */
	bool view_stale;      /* entry needs a new view */
	ap_usec_t
		publish_due; /* earliest next write to the client directory; 0: nothing to write */
	uint64_t cache_events; /* heard from engines here */
	char *entry_counters;  /* last counters of the entry task */
	bool witnessed; /* the entry task knows witnesses for permits, or that there are none */
	bool draining;
	bool drained;
	ap_usec_t stop_at; /* when to leave the loop after the drain; 0: not yet */
	bool failed;
} ap_control_t;

/** ap_control_env() - events to the ring; a broken invariant ends the process. */
ap_env_t ap_control_env(ap_control_t *c);
/** ap_control_drain() - starts a graceful shutdown; more calls change nothing. */
void ap_control_drain(ap_control_t *c, const char *why);
/** ap_control_ready() - may callers be sent here? @why: what is waited for. */
bool ap_control_ready(ap_control_t *c, ap_err_t *why);

/* control-view.c: the fleet as entry sees it */

/** ap_control_read_list() - reads the instance list when due. */
void ap_control_read_list(ap_control_t *c, ap_usec_t now);
/** ap_control_entries_changed() - membership changed: tells every part. */
void ap_control_entries_changed(ap_control_t *c, ap_usec_t now);
#define AP_MODELS_MAX AP_REPORT_MODELS_MAX /* names on one upstream */

/**
 * ap_control_models() - names of models and adapters on an upstream: what its pollers read, or
 * what the rules declare when nobody told yet; without those that it is about to lose.
 * @names: pointers into @conf
 */
size_t ap_control_models(ap_control_t *c, const ap_conf_t *conf, const ap_upstream_t *upstream,
			 char *names[AP_MODELS_MAX]);
/** ap_control_send_view() - hands entry a new view when the last one is stale. */
void ap_control_send_view(ap_control_t *c);
/** ap_control_publish() - writes the client directory when due and ours to write. */
void ap_control_publish(ap_control_t *c, ap_usec_t now);

/* control-poll.c: load, models and cache events of upstreams, and orders to them */

ap_poll_t *ap_poll_new(ap_control_t *c);
void ap_poll_free(ap_poll_t *p);
/** ap_poll_set_upstreams() - those of the own region are polled when it is our duty. */
void ap_poll_set_upstreams(ap_poll_t *p, const ap_upstream_t *upstreams, size_t n);
void ap_poll_tick(ap_poll_t *p, ap_usec_t now);
/** ap_poll_observe() - reads an upstream's models now, for the reconciler. */
void ap_poll_observe(ap_poll_t *p, const char *upstream);
/** ap_poll_orders() - the port through which orders go. */
ap_order_port_t ap_poll_orders(ap_poll_t *p);

/* control-cache.c: cache events of the engines that this entry polls */

/** ap_listener_new() - subscribes at @at; NULL when that address cannot be used. */
ap_listener_t *ap_listener_new(ap_control_t *c, const char *upstream, const ap_address_t *at);
void ap_listener_free(ap_listener_t *l);
/** ap_control_cache_event() - hands an event to the entry task. */
void ap_control_cache_event(ap_control_t *c, const ap_cache_event_t *event);

/* control-admin.c: the admin listener */

ap_admin_t *ap_admin_new(ap_control_t *c, ap_err_t *err);
void ap_admin_free(ap_admin_t *a);

#endif
