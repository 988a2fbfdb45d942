/* Inner parts of the reconciler, shared by its files. */
#ifndef AP_ORDER_PRIVATE_H
#define AP_ORDER_PRIVATE_H

#include "order/order.h"

#include <sys/queue.h>
#include <uthash.h>

/**
 * struct ap_item - a model or adapter that is declared for one upstream.
 */
typedef struct ap_item {
	const char *name; /* in the configuration that is referenced */
	const char *version;
	const char *model; /* of an adapter; NULL for a model */
	uint64_t bytes;
	const ap_pool_t *pool;
	uint32_t replicas;
} ap_item_t;

/**
 * struct ap_target - an upstream as the reconciler sees it.
 */
typedef struct ap_target {
	ap_upstream_t up;      /* labels are owned; models unused */
	bool present;	       /* in the last list */
	const ap_pool_t *pool; /* first one it belongs to that a rule selects, or NULL */
	bool fenced;	       /* all of its pools are */
	ap_item_t *declared;
	size_t n_declared;
	ap_observed_t *observed;
	size_t n_observed;
	uint64_t fence_seen;
	bool up_to_date;       /* read since the last order ended and since the lease was taken */
	ap_usec_t observed_at; /* when the last answer was asked for, or 0 */
	ap_usec_t queried_at;
	/* order under way or just ended */
	bool busy;
	bool loading;
	char item[AP_NAME_MAX];
	ap_usec_t issued_at;
	ap_usec_t limit;
	ap_usec_t no_orders_until;
	ap_usec_t ended_at;		/* of the last order; AP_NEVER until the next tick */
	char refused_item[AP_NAME_MAX]; /* item whose load was refused last */
	ap_usec_t refused_until;
	char withdrawn_item[AP_NAME_MAX]; /* item to be unloaded that the region was told of; or
					     empty */
	ap_usec_t withdrawn_at;
	ap_usec_t announced_at;
	bool unload_sent;
	struct ap_target *next_removed;
	UT_hash_handle hh;
} ap_target_t;

typedef struct ap_order_call {
	ap_order_t *order; /* NULL once the owner is gone */
	char upstream[AP_NAME_MAX];
	LIST_ENTRY(ap_order_call) link;
} ap_order_call_t;

struct ap_order {
	ap_order_config_t cfg;
	ap_lease_t *lease;
	ap_conf_t *conf;
	ap_target_t *targets;
	bool dirty; /* what is declared must be worked out anew */
	bool draining;
	ap_usec_t now;
	ap_usec_t held_since; /* of the lease that the observations belong to */
	ap_usec_t weight_store_free_at;
	uint64_t last_fence;
	uint64_t withdraw_number;
	LIST_HEAD(, ap_order_call) calls;
	ap_order_stats_t stats;
};

/* order.c; holders are others that certainly serve @name, likely ones may be under an order */
bool order_is_declared(const ap_target_t *t, const char *name);
const ap_observed_t *order_find_observed(const ap_target_t *t, const char *name);
uint32_t order_count_holders(const ap_order_t *o, const ap_target_t *except, const char *name,
			     const char *version, ap_usec_t now);
uint32_t order_count_likely_holders(const ap_order_t *o, const ap_target_t *except,
				    const char *name, const char *version, ap_usec_t now);

/* withdraw.c */
void order_withdraw_update(ap_order_t *o, ap_target_t *t, bool up_to_date, ap_usec_t now);
void order_withdraw_cancel(ap_order_t *o, ap_target_t *t, const char *why, ap_usec_t now);
void order_unload_surplus(ap_order_t *o, ap_target_t *t, ap_usec_t now);

/* place.c */
void order_update_declared(ap_order_t *o);
bool target_in_pool(const ap_target_t *t, const ap_pool_t *pool);
uint32_t order_count_declared(const ap_order_t *o, const char *name);
const char *order_declared_version(const ap_order_t *o, const char *name);
double order_score(const char *item, const ap_target_t *t);

/* issue.c */
ap_usec_t order_time_limit(const ap_order_t *o, const ap_target_t *t);
bool order_may_issue(ap_order_t *o, ap_target_t *t, ap_usec_t now);
void order_load(ap_order_t *o, ap_target_t *t, const ap_item_t *item, ap_usec_t now);
void order_unload(ap_order_t *o, ap_target_t *t, const char *name, ap_usec_t now);
void order_calls_drop(ap_order_t *o);

#endif
