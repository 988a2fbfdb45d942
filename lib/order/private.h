/* Internal declarations of the reconciler. */
#ifndef AP_ORDER_PRIVATE_H
#define AP_ORDER_PRIVATE_H

#include "order/order.h"

#include <sys/queue.h>
#include <uthash.h>

/**
 * struct ap_item - a model or adapter that is declared for one upstream.
 */
typedef struct ap_item {
	const char *name; /* owned by the configuration */
	const char *version;
	const char *model; /* base model of an adapter; NULL for a model */
	uint64_t bytes;	   /* of its weights */
	const ap_pool_t *pool;
	uint32_t replicas;
} ap_item_t;

/**
 * struct ap_target - an upstream as the reconciler sees it.
 */
typedef struct ap_target {
	ap_upstream_t up;      /* labels are owned; models unused */
	bool present;	       /* in the platform's last list */
	const ap_pool_t *pool; /* first matching pool that a rule selects, or NULL */
	bool fenced;	       /* all of its pools check fencing tokens */
	ap_item_t *declared;
	size_t n_declared;
	ap_loaded_item_t *observed;
	size_t n_observed;
	uint64_t fence_seen; /* highest fencing token that it reported */
	bool up_to_date;     /* queried since the last order ended and since the lease was taken */
	ap_usec_t observed_at; /* when the last answered query was sent, or 0 */
	ap_usec_t queried_at;  /* when the last query was sent */
	/* the order in progress, or the last one */
	bool busy;    /* the order is in progress */
	bool loading; /* the order is a load */
	char item[AP_NAME_MAX];
	ap_usec_t issued_at;
	ap_usec_t time_limit;	   /* longest time for the order */
	ap_usec_t no_orders_until; /* an order without a response may take effect until then */
	/*
	 * end of the last order; AP_NEVER until the next tick, as the completion callback is not
	 * passed the time
	 */
	ap_usec_t ended_at;
	char refused_item[AP_NAME_MAX]; /* item of the last refused order */
	ap_usec_t refused_until;
	char withdrawn_item[AP_NAME_MAX]; /* item withdrawn before its unload; empty for none */
	ap_usec_t withdrawn_at;
	ap_usec_t announced_at;
	bool unload_sent;
	struct ap_target *next_removed; /* next one to be freed */
	UT_hash_handle hh;
} ap_target_t;

typedef struct ap_order_call {
	ap_order_t *order; /* NULL once the reconciler was freed */
	char upstream[AP_NAME_MAX];
	LIST_ENTRY(ap_order_call) link;
} ap_order_call_t;

struct ap_order {
	ap_order_config_t cfg;
	ap_lease_t *lease;
	ap_conf_t *conf;
	ap_target_t *targets;
	bool dirty; /* the declared items must be computed again */
	bool draining;
	ap_usec_t now;
	ap_usec_t held_since; /* start of the lease under which the targets were queried */
	ap_usec_t weight_store_free_at; /* the loads sent so far use up weight_rate until then */
	uint64_t last_fence;		/* fencing token of the last order */
	uint64_t withdraw_number;	/* of the last announcement */
	LIST_HEAD(, ap_order_call) calls;
	ap_order_stats_t stats;
};

/*
 * order.c. order_count_serving() and order_count_likely_serving() count targets other than @except
 * that serve @name, in any version if @version is NULL. The first leaves out those with an order in
 * progress or whose last observation may no longer hold; the second leaves out only those whose
 * last observation is too old.
 */
bool order_is_declared(const ap_target_t *t, const char *name);
const ap_loaded_item_t *order_find_observed(const ap_target_t *t, const char *name);
uint32_t order_count_serving(const ap_order_t *o, const ap_target_t *except, const char *name,
			     const char *version, ap_usec_t now);
uint32_t order_count_likely_serving(const ap_order_t *o, const ap_target_t *except,
				    const char *name, const char *version, ap_usec_t now);

/* withdraw.c */
void order_withdraw_update(ap_order_t *o, ap_target_t *t, bool observation_valid, ap_usec_t now);
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
