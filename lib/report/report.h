/*
 * Reports that instances send each other about upstreams: which instance polls which upstream,
 * changes of load and prefix cache, loaded models, draining upstreams, withdrawals of models, and
 * between regions the capacity offers for forwarded requests. The code does no I/O; time
 * and messages are passed in.
 */
#ifndef AP_REPORT_H
#define AP_REPORT_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"
#include "route/route.h"

#define AP_REPORT_MODELS_MAX 32 /* models and adapters reported for one upstream */

typedef enum ap_report_status {
	AP_REPORT_OK,
	AP_REPORT_MALFORMED, /* not a well-formed report message */
} ap_report_status_t;

/**
 * struct ap_report_config - copied by ap_report_new().
 * @self: the own instance
 * @seed: seed of the random choices
 * @ctx: passed to the callbacks below
 * @load: a load read by another poller; its time is converted to the own clock
 * @offer: a capacity offer of a remote region
 * @cache: cache events of an upstream that another instance listens to; may be NULL
 * @draining: @upstream takes no new work, as seen here or reported; called when that begins,
 *            not when it is renewed; it ends 5 minutes after the last renewal
 * @models: the result of ap_report_models() or ap_report_is_withdrawn() has changed for @upstream;
 *          may be NULL
 */
typedef struct ap_report_config {
	ap_entry_t self;
	uint64_t seed;
	ap_peer_port_t peer;
	ap_env_t env;
	void *ctx;
	void (*load)(void *ctx, const ap_load_report_t *report);
	void (*offer)(void *ctx, const ap_capacity_offer_t *offer);
	void (*cache)(void *ctx, const ap_cache_event_t *event);
	void (*draining)(void *ctx, const char *upstream);
	void (*models)(void *ctx, const char *upstream);
} ap_report_config_t;

typedef struct ap_report ap_report_t;

/** ap_report_new() - Return: to be freed with ap_report_free(), or NULL without memory. */
ap_report_t *ap_report_new(const ap_report_config_t *config, ap_usec_t now);
void ap_report_free(ap_report_t *r);
/** ap_report_set_entries() - sets the live instances of all regions, the own one included. */
void ap_report_set_entries(ap_report_t *r, const ap_entry_t *entries, size_t n, ap_usec_t now);
/** ap_report_set_upstreams() - sets the upstreams; those of remote regions are ignored. */
void ap_report_set_upstreams(ap_report_t *r, const ap_upstream_t *upstreams, size_t n,
			     ap_usec_t now);
/**
 * ap_report_receive() - handles a whole message of kind AP_WIRE_REPORT.
 * @from: id of the sender
 */
ap_report_status_t ap_report_receive(ap_report_t *r, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err);
/** ap_report_tick() - sends what is due; call it every 100 to 250 ms. */
void ap_report_tick(ap_report_t *r, ap_usec_t now);

/** ap_report_is_poller() - does this instance poll @upstream (and listen to its cache events)? */
bool ap_report_is_poller(const ap_report_t *r, const char *upstream);
/**
 * ap_report_should_read() - should this instance read the load and models of @upstream now? The
 * second poller of an upstream reads only while no report of the first one arrives.
 */
bool ap_report_should_read(const ap_report_t *r, const char *upstream, ap_usec_t now);
/** ap_report_load_read() - takes a load that this instance read itself. */
void ap_report_load_read(ap_report_t *r, const ap_load_report_t *report, ap_usec_t now);
/**
 * ap_report_cache_event() - takes a cache event that this instance received from an upstream. Only
 * the first poller of the upstream announces it, so that each event is announced once.
 */
void ap_report_cache_event(ap_report_t *r, const ap_cache_event_t *event, ap_usec_t now);
/** ap_report_name_hash() - hash by which reports name a model or adapter. */
uint32_t ap_report_name_hash(const char *name);
/**
 * ap_report_models_read() - takes the loaded models of an upstream that this instance read itself.
 * @names: hashes of names by ap_report_name_hash(); at most AP_REPORT_MODELS_MAX are kept
 * @versions: their versions by ap_version_hash(); NULL when none is known
 */
void ap_report_models_read(ap_report_t *r, const char *upstream, const uint32_t *names,
			   const uint32_t *versions, size_t n, ap_usec_t now);
/**
 * ap_report_models() - hashes of the models that @upstream has loaded, as last read or reported.
 * @n: set to their number; unchanged when NULL is returned
 *
 * Return: valid until the next call that changes @r; NULL when nothing is known yet.
 */
const uint32_t *ap_report_models(const ap_report_t *r, const char *upstream, size_t *n);
/**
 * ap_report_version() - version of the model or adapter @name that @upstream has loaded, by
 * ap_version_hash(); 0 when it isn't known.
 */
uint32_t ap_report_version(const ap_report_t *r, const char *upstream, const char *name);
/** ap_report_set_own_offer() - sets the capacity offer of the own region for one model. */
void ap_report_set_own_offer(ap_report_t *r, const ap_capacity_offer_t *offer, ap_usec_t now);
/**
 * ap_report_saw_draining() - this instance saw a drain header or refusal of @upstream; announces
 * that to the region at once.
 */
void ap_report_saw_draining(ap_report_t *r, const char *upstream, ap_usec_t now);
bool ap_report_is_draining(const ap_report_t *r, const char *upstream);
/**
 * ap_report_withdraw() - announces to the region that an upstream takes no new work for a model or
 * adapter.
 * @name: of the model or adapter
 * @fence: fencing token of the lease under which the withdrawal was decided
 * @number: rises with each call under one @fence; the latest by @fence, then @number, counts
 * @keep: time after which the withdrawal expires unless it is repeated; 0 revokes it
 */
void ap_report_withdraw(ap_report_t *r, const char *upstream, const char *name, uint64_t fence,
			uint64_t number, ap_usec_t keep, ap_usec_t now);
/** ap_report_is_withdrawn() - does @upstream take no new work for the model or adapter @name? */
bool ap_report_is_withdrawn(const ap_report_t *r, const char *upstream, const char *name);

typedef struct ap_report_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t loads_received;
	uint64_t cache_dropped; /* block hashes left out because of the limits on cache events */
} ap_report_stats_t;

ap_report_stats_t ap_report_stats(const ap_report_t *r);

#endif
