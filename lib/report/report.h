/*
 * What entries tell each other of upstreams: who polls which one, load and cache in small deltas,
 * room for guests between regions, and upstreams that are leaving. Pure decisions.
 */
#ifndef AP_REPORT_H
#define AP_REPORT_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"
#include "route/route.h"

#define AP_REPORT_MODELS_MAX 32 /* models and adapters told of one upstream */

typedef enum ap_report_status {
	AP_REPORT_OK,
	AP_REPORT_MALFORMED, /* the message is not one of reports */
} ap_report_status_t;

/**
 * struct ap_report_config - made once at start.
 * @ctx: passed to the callbacks below
 * @load: a report of another poller; its time is already on the own clock
 * @room: another region's offer
 * @cache: cache events of an engine that another entry listens to
 * @leaving: an upstream that takes no new work, seen here or heard of; told once until it is back
 * @models: ap_report_models() or ap_report_is_withdrawn() now gives another answer for @upstream;
 *          may be NULL
 */
typedef struct ap_report_config {
	ap_entry_t self;
	uint64_t seed;
	ap_peer_port_t peer;
	ap_env_t env;
	void *ctx;
	void (*load)(void *ctx, const ap_load_report_t *report);
	void (*room)(void *ctx, const ap_room_t *room);
	void (*cache)(void *ctx, const ap_cache_event_t *event);
	void (*draining)(void *ctx, const char *upstream);
	void (*models)(void *ctx, const char *upstream);
} ap_report_config_t;

typedef struct ap_report ap_report_t;

ap_report_t *ap_report_new(const ap_report_config_t *config, ap_usec_t now);
void ap_report_free(ap_report_t *r);
void ap_report_set_entries(ap_report_t *r, const ap_entry_t *entries, size_t n, ap_usec_t now);
/** ap_report_set_upstreams() - the platform's list; those of other regions are left out. */
void ap_report_set_upstreams(ap_report_t *r, const ap_upstream_t *upstreams, size_t n,
			     ap_usec_t now);
/** ap_report_receive() - takes a whole message of kind AP_WIRE_REPORT. */
ap_report_status_t ap_report_receive(ap_report_t *r, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err);
/** ap_report_tick() - due work; call it every 100 to 250 ms. */
void ap_report_tick(ap_report_t *r, ap_usec_t now);

/** ap_report_is_poller() - does this entry poll @upstream (and listen to its cache events)? */
bool ap_report_is_poller(const ap_report_t *r, const char *upstream);
/**
 * ap_report_should_read() - should this entry read the load and models of @upstream now? The second
 * one of its pollers does so only while it hears nothing of the first.
 */
bool ap_report_should_read(const ap_report_t *r, const char *upstream, ap_usec_t now);
/** ap_report_load_read() - a load that this entry read itself. */
void ap_report_load_read(ap_report_t *r, const ap_load_report_t *report, ap_usec_t now);
/** ap_report_cache_event() - cache events that this entry heard itself. */
void ap_report_cache_event(ap_report_t *r, const ap_cache_event_t *event, ap_usec_t now);
/** ap_report_name_hash() - how the name of a model or adapter is told. */
uint32_t ap_report_name_hash(const char *name);
/**
 * ap_report_models_read() - what an upstream has loaded, as this entry read it itself.
 * @names: hashes of names by ap_report_name_hash(); at most AP_REPORT_MODELS_MAX are kept
 */
void ap_report_models_read(ap_report_t *r, const char *upstream, const uint32_t *names, size_t n,
			   ap_usec_t now);
/** ap_report_models() - what @upstream has loaded as last read or heard; NULL when never. */
const uint32_t *ap_report_models(const ap_report_t *r, const char *upstream, size_t *n);
/** ap_report_set_own_room() - what the own region offers guests for one model. */
void ap_report_set_own_room(ap_report_t *r, const ap_room_t *room, ap_usec_t now);
/** ap_report_saw_draining() - this entry saw a drain header or refusal; tells the region at once.
 */
void ap_report_saw_draining(ap_report_t *r, const char *upstream, ap_usec_t now);
bool ap_report_is_draining(const ap_report_t *r, const char *upstream);
/**
 * ap_report_withdraw() - tells the region that an upstream takes no new work for a model or
 * adapter.
 * @name: of the model or adapter
 * @fence: fencing number of the lease under which that was decided
 * @number: rises with each call under one @fence; the newest by @fence and @number counts
 * @keep: time for which it holds unless it is told again; 0 takes it back
 */
void ap_report_withdraw(ap_report_t *r, const char *upstream, const char *name, uint64_t fence,
			uint64_t number, ap_usec_t keep, ap_usec_t now);
bool ap_report_is_withdrawn(const ap_report_t *r, const char *upstream, const char *name);

typedef struct ap_report_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t loads_received;
	uint64_t cache_dropped; /* block hashes left out to keep to the budget */
} ap_report_stats_t;

ap_report_stats_t ap_report_stats(const ap_report_t *r);

#endif
