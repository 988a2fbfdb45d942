/*
 * Leases in the platform's store, and the orders that one reconciler a region gives to upstreams
 * under such a lease: load and unload models and adapters until what is observed matches what is
 * declared. Pure decisions.
 */
#ifndef AP_ORDER_H
#define AP_ORDER_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"

#define AP_LEASE_KEY_MAX 128 /* bytes of a lease's key, with terminator */

typedef enum ap_lease_state {
	AP_LEASE_NONE,	    /* not wanted, or held by another */
	AP_LEASE_REQUESTED, /* a session or the key was asked for */
	AP_LEASE_VERIFYING, /* an answer was lost: reading who holds it */
	AP_LEASE_HELD,
} ap_lease_state_t;

typedef struct ap_lease ap_lease_t;

/**
 * struct ap_lease_config - made once.
 * @key: key in the store
 * @holder: written as its value
 * @ttl: time after the last renewal at which the store lets it lapse
 * @seed: of its retry times
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
/** ap_lease_want() - false gives it back and stops asking. */
void ap_lease_want(ap_lease_t *l, bool want, ap_usec_t now);
void ap_lease_tick(ap_lease_t *l, ap_usec_t now);
/**
 * ap_lease_time_left() - time for which it is certainly held, counted from before the last answered
 * renewal was sent; 0 when lapsed, unsure or not held.
 */
ap_usec_t ap_lease_time_left(const ap_lease_t *l, ap_usec_t now);
/** ap_lease_fence() - fencing number of the lease held last; 0 for none. */
uint64_t ap_lease_fence(const ap_lease_t *l);
/** ap_lease_held_since() - when the lease held now was first known to be held. */
ap_usec_t ap_lease_held_since(const ap_lease_t *l);
/** ap_lease_suspect() - a sign that another holder exists: nothing is held until read again. */
void ap_lease_suspect(ap_lease_t *l, ap_usec_t now);
ap_lease_state_t ap_lease_state(const ap_lease_t *l);

typedef struct ap_lease_stats {
	uint64_t reads;
	uint64_t writes;
	uint64_t taken;
	uint64_t lost;
} ap_lease_stats_t;

ap_lease_stats_t ap_lease_stats(const ap_lease_t *l);

/**
 * struct ap_observed - a model or adapter that an upstream has loaded.
 */
typedef struct ap_observed {
	char name[AP_NAME_MAX];
	char version[AP_NAME_MAX];
} ap_observed_t;

typedef struct ap_order ap_order_t;

/**
 * struct ap_order_config - made once at start.
 * @self: own record; the lease's key names its region
 * @lease_ttl: see struct ap_lease_config; orders to upstreams that ignore fencing must be shorter
 * @weight_rate: bytes per second that the region may fetch from the weight store
 * @loads_max: loads under way at once in the region
 * @ctx: passed to the callback below
 * @observe: asks the driver to read an upstream's models and give them to ap_order_observed()
 *           within 10 seconds or not at all
 * @withdraw: tells the region's entries that @upstream takes no new work for @item during @keep,
 *            or, with 0, that it does again; the newest by @fence and @number counts
 * @is_withdrawn: does that hold now, as far as this entry knows?
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
/** ap_order_set_entries() - live entries; the first two by rendezvous hash ask for the lease. */
void ap_order_set_entries(ap_order_t *o, const ap_entry_t *entries, size_t n, ap_usec_t now);
/** ap_order_set_upstreams() - the platform's list; those of other regions are left out. */
void ap_order_set_upstreams(ap_order_t *o, const ap_upstream_t *upstreams, size_t n, ap_usec_t now);
/**
 * ap_order_observed() - what an upstream says it has loaded.
 * @fence: highest fencing number that it has seen; 0 when it keeps none
 * @queried_at: when the reading was sent; one sent before the last order ended is left out
 */
void ap_order_observed(ap_order_t *o, const char *upstream, const ap_observed_t *models, size_t n,
		       uint64_t fence, ap_usec_t queried_at, ap_usec_t now);
/** ap_order_tick() - due work; @now is read just before the call, since orders go out in it. */
void ap_order_tick(ap_order_t *o, ap_usec_t now);
/** ap_order_drain() - gives the lease back. */
void ap_order_drain(ap_order_t *o, ap_usec_t now);

typedef struct ap_order_stats {
	ap_lease_stats_t lease;
	bool holder;
	uint64_t fence;
	uint64_t loads;	  /* orders sent */
	uint64_t unloads; /* orders sent */
	uint64_t fenced;  /* refused: another holder is newer */
	uint64_t unsure;  /* without an answer */
	uint64_t
		held_back; /* not sent: too little lease time, or another holder's orders may run */
	uint64_t withdrawals; /* items that the region was told of before they are unloaded */
	uint32_t missing;     /* declared and not observed */
	uint32_t surplus;     /* observed and not declared */
} ap_order_stats_t;

ap_order_stats_t ap_order_stats(const ap_order_t *o, ap_usec_t now);

#endif
