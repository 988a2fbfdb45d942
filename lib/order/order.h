/*
 * Leases in the platform's store, and the reconciler of a region. Of all gateway instances
 * (entries) of the region, only the holder of the region's lease sends orders to upstreams: load
 * and unload models and adapters until the observed ones match the declared ones. This folder makes
 * decisions only; ports do the input and output.
 */
#ifndef AP_ORDER_H
#define AP_ORDER_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"

#define AP_LEASE_KEY_MAX 128 /* size in bytes of a lease's key, with the terminator */

typedef enum ap_lease_state {
	AP_LEASE_NONE,	    /* not wanted, or held by another instance */
	AP_LEASE_REQUESTED, /* reading the key, creating a session or acquiring the key */
	AP_LEASE_VERIFYING, /* reading from the store who holds the key */
	AP_LEASE_HELD,
} ap_lease_state_t;

typedef struct ap_lease ap_lease_t;

/**
 * struct ap_lease_config - set once, at creation.
 * @key: key in the store
 * @holder: id of this instance, written as the key's value
 * @ttl: time after the last renewal when the store expires the session
 * @seed: seed of the random part of retry times
 */
typedef struct ap_lease_config {
	char key[AP_LEASE_KEY_MAX];
	char holder[AP_NAME_MAX];
	ap_usec_t ttl;
	uint64_t seed;
	ap_kv_port_t kv;
	ap_env_t env;
} ap_lease_config_t;

ap_lease_t *ap_lease_new(const ap_lease_config_t *config);
void ap_lease_free(ap_lease_t *l);
/** ap_lease_want() - with true, tries to take the lease; with false, releases it. */
void ap_lease_want(ap_lease_t *l, bool want, ap_usec_t now);
/** ap_lease_tick() - takes, renews or expires the lease as due. */
void ap_lease_tick(ap_lease_t *l, ap_usec_t now);
/**
 * ap_lease_time_left() - time for which the lease is certainly still held, counted from the moment
 * before the last successful renewal was sent; 0 when expired, suspected or not held.
 */
ap_usec_t ap_lease_time_left(const ap_lease_t *l, ap_usec_t now);
/** ap_lease_fence() - fencing token of the lease held last; 0 for none. */
uint64_t ap_lease_fence(const ap_lease_t *l);
/** ap_lease_held_since() - time of the first tick with the current lease; AP_NEVER if not held. */
ap_usec_t ap_lease_held_since(const ap_lease_t *l);
/**
 * ap_lease_suspect() - to be called on any sign of another holder. The lease counts as not held
 * until the store was read again.
 */
void ap_lease_suspect(ap_lease_t *l, ap_usec_t now);
ap_lease_state_t ap_lease_state(const ap_lease_t *l);

typedef struct ap_lease_stats {
	uint64_t reads;	 /* store calls that read */
	uint64_t writes; /* store calls that write */
	uint64_t taken;
	uint64_t lost;
} ap_lease_stats_t;

ap_lease_stats_t ap_lease_stats(const ap_lease_t *l);

/**
 * struct ap_loaded_item - a model or adapter that an upstream has loaded.
 */
typedef struct ap_loaded_item {
	char name[AP_NAME_MAX];
	char version[AP_NAME_MAX];
} ap_loaded_item_t;

/* The reconciler of one region; not a single order. */
typedef struct ap_order ap_order_t;

/**
 * struct ap_order_config - set once, at start.
 * @self: own record; the lease's key contains its region
 * @seed: seed of the lease's retry times
 * @lease_ttl: see struct ap_lease_config; an order to an upstream that ignores fencing tokens is
 *             limited to less than half of it
 * @weight_rate: bytes per second that the region may fetch from the weight store
 * @loads_max: concurrent loads in the region
 * @ctx: passed to the callbacks below
 * @observe: asks the driver to query the models that an upstream has loaded and to pass them to
 *           ap_order_observed() within 10 seconds or not at all
 * @withdraw: announces to the region's instances that @upstream takes no new requests for the model
 *            or adapter @item for the time @keep or, with 0, that it takes them again; of several
 *            announcements, the one with the highest @fence, then the highest @number, is valid
 * @is_withdrawn: is such a withdrawal valid now, as far as this instance knows?
 */
typedef struct ap_order_config {
	ap_entry_t self;
	uint64_t seed;
	ap_usec_t lease_ttl;
	double weight_rate;
	uint32_t loads_max;
	ap_kv_port_t kv;
	ap_order_port_t port;
	ap_env_t env;
	void *ctx;
	void (*observe)(void *ctx, const char *upstream);
	void (*withdraw)(void *ctx, const char *upstream, const char *item, uint64_t fence,
			 uint64_t number, ap_usec_t keep);
	bool (*is_withdrawn)(void *ctx, const char *upstream, const char *item);
} ap_order_config_t;

ap_order_t *ap_order_new(const ap_order_config_t *config, ap_usec_t now);
void ap_order_free(ap_order_t *o);
void ap_order_set_conf(ap_order_t *o, const ap_conf_t *conf, ap_usec_t now);
/**
 * ap_order_set_entries() - sets the live gateway instances; the region's first two by rendezvous
 * hash try to take the lease.
 */
void ap_order_set_entries(ap_order_t *o, const ap_entry_t *entries, size_t n, ap_usec_t now);
/** ap_order_set_upstreams() - sets the platform's list; upstreams of remote regions are skipped. */
void ap_order_set_upstreams(ap_order_t *o, const ap_upstream_t *upstreams, size_t n, ap_usec_t now);
/**
 * ap_order_observed() - takes the models and adapters that an upstream reports as loaded.
 * @fence: highest fencing token that the upstream has seen; 0 if it keeps none
 * @queried_at: when the query was sent; a query sent before the last order ended is ignored
 */
void ap_order_observed(ap_order_t *o, const char *upstream, const ap_loaded_item_t *items, size_t n,
		       uint64_t fence, ap_usec_t queried_at, ap_usec_t now);
/**
 * ap_order_tick() - renews the lease and sends due orders and queries. Read @now just before the
 * call, because orders are sent within it while the lease is held at @now.
 */
void ap_order_tick(ap_order_t *o, ap_usec_t now);
/** ap_order_drain() - releases the lease and doesn't take it again. */
void ap_order_drain(ap_order_t *o, ap_usec_t now);

typedef struct ap_order_stats {
	ap_lease_stats_t lease;
	bool holder;
	uint64_t fence;	  /* fencing token of the lease held last */
	uint64_t loads;	  /* load orders sent */
	uint64_t unloads; /* unload orders sent */
	uint64_t fenced;  /* orders refused because of a newer fencing token */
	uint64_t unsure;  /* orders without a response */
	/* orders not sent: too little lease time left, or an earlier holder's orders may still run
	 */
	uint64_t held_back;
	uint64_t withdrawals; /* withdrawals announced, each before an unload */
	uint32_t missing;     /* items declared and not observed */
	uint32_t surplus;     /* items observed and not declared */
} ap_order_stats_t;

ap_order_stats_t ap_order_stats(const ap_order_t *o, ap_usec_t now);

#endif
