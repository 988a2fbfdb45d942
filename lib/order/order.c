/*
 * The reconciler of one region: compares the declared models and adapters with the observed ones
 * and sends each upstream one order at a time. An item is unloaded from an upstream only while at
 * least the declared number of other upstreams are seen to serve it.
 */
#include "order/order.h"
#include "member/member.h"
#include "order/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CANDIDATES 2		    /* instances of a region that try to take the lease */
#define QUERY_PERIOD (30 * AP_SEC)  /* between queries of an upstream without orders */
#define QUERY_TIMEOUT (10 * AP_SEC) /* a query without a response by then has failed */
#define OBSERVATION_AGE_MAX (2 * QUERY_PERIOD)

ap_order_t *ap_order_new(const ap_order_config_t *config, ap_usec_t now)
{
	ap_order_t *o = calloc(1, sizeof(*o));
	ap_lease_config_t lease = {.ttl = config->lease_ttl,
				   .seed = config->seed,
				   .kv = config->kv,
				   .env = config->env};

	if (!o)
		return NULL;
	o->cfg = *config;
	o->now = now;
	o->held_since = AP_NEVER;
	LIST_INIT(&o->calls);
	snprintf(lease.key, sizeof(lease.key), "arbutuspond/orders/%s", config->self.region);
	ap_copy_name(lease.holder, sizeof(lease.holder), config->self.id);
	o->lease = ap_lease_new(&lease);
	return o;
}

static void target_free(ap_target_t *t)
{
	ap_labels_clear(&t->up.labels);
	free(t->declared);
	free(t->observed);
	free(t);
}

void ap_order_free(ap_order_t *o)
{
	ap_target_t *t, *next;

	if (!o)
		return;
	order_calls_drop(o);
	ap_lease_free(o->lease);
	t = o->targets;
	HASH_CLEAR(hh, o->targets);
	for (; t; t = next) {
		next = t->hh.next;
		target_free(t);
	}
	ap_conf_unref(o->conf);
	free(o);
}

void ap_order_set_conf(ap_order_t *o, const ap_conf_t *conf, ap_usec_t now)
{
	ap_conf_t *old = o->conf;

	o->now = now;
	o->conf = conf ? ap_conf_ref(conf) : NULL;
	order_update_declared(o);
	ap_conf_unref(old);
}

void ap_order_set_entries(ap_order_t *o, const ap_entry_t *entries, size_t n, ap_usec_t now)
{
	const ap_entry_t *self = &o->cfg.self;
	bool candidate =
		ap_member_has_duty(entries, n, "orders", self->region, NULL, self->id, CANDIDATES);

	o->now = now;
	/* A holder keeps the lease when only the ranking changes. */
	if (ap_lease_state(o->lease) == AP_LEASE_HELD)
		candidate = true;
	ap_lease_want(o->lease, candidate && !o->draining, now);
}

static void update_target(ap_order_t *o, const ap_upstream_t *up)
{
	ap_target_t *t;

	HASH_FIND_STR(o->targets, up->id, t);
	if (!t) {
		t = calloc(1, sizeof(*t));
		if (!t)
			abort();
		ap_copy_name(t->up.id, sizeof(t->up.id), up->id);
		HASH_ADD_STR(o->targets, up.id, t);
	}
	ap_labels_clear(&t->up.labels);
	t->up.labels = ap_labels_copy(&up->labels);
	t->up.draining = up->draining;
	t->present = true;
}

void ap_order_set_upstreams(ap_order_t *o, const ap_upstream_t *upstreams, size_t n, ap_usec_t now)
{
	ap_target_t *t, *next, *removed = NULL;

	o->now = now;
	for (t = o->targets; t; t = t->hh.next)
		t->present = false;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(upstreams[i].region, o->cfg.self.region) == 0)
			update_target(o, &upstreams[i]);
	}
	HASH_ITER (hh, o->targets, t, next) {
		if (t->present || t->busy)
			continue;
		HASH_DEL(o->targets, t);
		t->next_removed = removed;
		removed = t;
	}
	for (t = removed; t; t = next) {
		next = t->next_removed;
		target_free(t);
	}
	o->dirty = true;
}

void ap_order_observed(ap_order_t *o, const char *upstream, const ap_loaded_item_t *items, size_t n,
		       uint64_t fence, ap_usec_t queried_at, ap_usec_t now)
{
	ap_target_t *t;

	o->now = now;
	HASH_FIND_STR(o->targets, upstream, t);
	if (!t || t->busy || queried_at < t->ended_at || queried_at < t->observed_at)
		return;
	free(t->observed);
	t->observed = calloc(n + 1, sizeof(*t->observed));
	if (!t->observed)
		abort();
	if (n > 0)
		memcpy(t->observed, items, n * sizeof(*items));
	t->n_observed = n;
	t->fence_seen = fence;
	t->observed_at = queried_at;
	/* Until no_orders_until an order without a response may still change what is loaded. */
	t->up_to_date = queried_at >= t->no_orders_until;
}

const ap_loaded_item_t *order_find_observed(const ap_target_t *t, const char *name)
{
	for (size_t i = 0; i < t->n_observed; i++) {
		if (strcmp(t->observed[i].name, name) == 0)
			return &t->observed[i];
	}
	return NULL;
}

static bool query_pending(const ap_target_t *t, ap_usec_t now)
{
	return t->queried_at > t->observed_at && now - t->queried_at < QUERY_TIMEOUT;
}

static bool observation_current(const ap_target_t *t, ap_usec_t now)
{
	return t->up_to_date && !t->busy && now - t->observed_at < OBSERVATION_AGE_MAX;
}

/* Returns whether @t served @name when last queried, in any version if @version is NULL. */
static bool serves(const ap_order_t *o, const ap_target_t *t, const char *name, const char *version)
{
	const ap_loaded_item_t *seen = order_find_observed(t, name);

	return seen && t->present && !t->up.draining &&
	       (!version || strcmp(seen->version, version) == 0) &&
	       !o->cfg.is_withdrawn(o->cfg.ctx, t->up.id, name);
}

uint32_t order_count_serving(const ap_order_t *o, const ap_target_t *except, const char *name,
			     const char *version, ap_usec_t now)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += t != except && observation_current(t, now) && serves(o, t, name, version);
	return n;
}

uint32_t order_count_likely_serving(const ap_order_t *o, const ap_target_t *except,
				    const char *name, const char *version, ap_usec_t now)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += t != except && now - t->observed_at < OBSERVATION_AGE_MAX &&
		     serves(o, t, name, version);
	return n;
}

static uint32_t count_loading(const ap_order_t *o)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += t->busy && t->loading;
	return n;
}

static bool may_load(const ap_order_t *o, const ap_target_t *t, const char *name, ap_usec_t now)
{
	if (strcmp(t->refused_item, name) == 0 && now < t->refused_until)
		return false;
	return now >= o->weight_store_free_at && count_loading(o) < o->cfg.loads_max;
}

/* Returns whether another upstream has an order for @name whose effect was not observed yet. */
static bool pending_elsewhere(const ap_order_t *o, const ap_target_t *except, const char *name)
{
	const ap_target_t *t;

	for (t = o->targets; t; t = t->hh.next) {
		if (t != except && t->present && (t->busy || !t->up_to_date) &&
		    strcmp(t->item, name) == 0)
			return true;
	}
	return false;
}

/*
 * Finds a spare: an upstream without @item that can serve it while the only upstream that serves it
 * changes the version.
 */
static ap_target_t *find_spare(const ap_order_t *o, const ap_item_t *item, ap_usec_t now)
{
	ap_target_t *t, *best = NULL;

	for (t = o->targets; t; t = t->hh.next) {
		if (!target_in_pool(t, item->pool) || !observation_current(t, now) ||
		    order_find_observed(t, item->name) || !may_load(o, t, item->name, now))
			continue;
		if (!best || order_score(item->name, t) > order_score(item->name, best))
			best = t;
	}
	return best;
}

static bool has_base_model(const ap_target_t *t, const ap_item_t *item)
{
	return !item->model || order_find_observed(t, item->model);
}

/* Sends one load if needed, to @t or to a spare (see find_spare()). Return: true if sent. */
static bool load_next(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	for (size_t i = 0; i < t->n_declared; i++) {
		const ap_item_t *item = &t->declared[i];
		const ap_loaded_item_t *seen = order_find_observed(t, item->name);
		ap_target_t *at = t;

		if (seen && strcmp(seen->version, item->version) == 0)
			continue;
		if (!has_base_model(t, item) || !may_load(o, t, item->name, now))
			continue;
		if (seen && order_count_serving(o, t, item->name, NULL, now) == 0) {
			ap_target_t *spare;

			/* Another upstream may be loading @item, or serve it: wait for that. */
			if (pending_elsewhere(o, t, item->name) ||
			    order_count_likely_serving(o, t, item->name, NULL, now) > 0)
				continue;
			spare = item->model ? NULL : find_spare(o, item, now);
			at = spare ? spare : t;
		}
		if (!order_may_issue(o, at, now))
			return false;
		order_load(o, at, item, now);
		return true;
	}
	return false;
}

bool order_is_declared(const ap_target_t *t, const char *name)
{
	for (size_t i = 0; i < t->n_declared; i++) {
		if (strcmp(t->declared[i].name, name) == 0)
			return true;
	}
	return false;
}

static void query_if_due(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	if (t->busy || query_pending(t, now) || now < t->no_orders_until)
		return;
	if (t->up_to_date && now - t->observed_at < QUERY_PERIOD)
		return;
	t->queried_at = now;
	o->cfg.observe(o->cfg.ctx, t->up.id);
}

static void count_differences(ap_order_t *o)
{
	const ap_target_t *t;

	o->stats.missing = 0;
	o->stats.surplus = 0;
	for (t = o->targets; t; t = t->hh.next) {
		if (!t->pool)
			continue;
		for (size_t i = 0; i < t->n_declared; i++) {
			const ap_loaded_item_t *seen = order_find_observed(t, t->declared[i].name);

			o->stats.missing +=
				!seen || strcmp(seen->version, t->declared[i].version) != 0;
		}
		for (size_t i = 0; i < t->n_observed; i++)
			o->stats.surplus += !order_is_declared(t, t->observed[i].name);
	}
}

static void reconcile(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	query_if_due(o, t, now);
	if (!observation_current(t, now) || now < t->no_orders_until)
		return;
	if (!load_next(o, t, now) && observation_current(t, now))
		order_unload_surplus(o, t, now);
}

static bool accepts_orders(const ap_target_t *t)
{
	return t->pool && t->present && !t->up.draining;
}

static void cancel_withdrawals(ap_order_t *o, ap_usec_t now)
{
	ap_target_t *t;

	for (t = o->targets; t; t = t->hh.next)
		order_withdraw_cancel(o, t, "the lease is not held, or was taken anew", now);
}

void ap_order_tick(ap_order_t *o, ap_usec_t now)
{
	ap_target_t *t;

	o->now = now;
	ap_lease_tick(o->lease, now);
	for (t = o->targets; t; t = t->hh.next) {
		if (t->ended_at == AP_NEVER)
			t->ended_at = now;
	}
	if (o->dirty)
		order_update_declared(o);
	if (ap_lease_time_left(o->lease, now) == 0) {
		o->held_since = AP_NEVER;
		cancel_withdrawals(o, now);
		return;
	}
	if (o->held_since != ap_lease_held_since(o->lease)) {
		/* Another holder may have sent orders since the upstreams were queried. */
		o->held_since = ap_lease_held_since(o->lease);
		cancel_withdrawals(o, now);
		for (t = o->targets; t; t = t->hh.next)
			t->up_to_date = false;
	}
	count_differences(o);
	for (t = o->targets; t; t = t->hh.next) {
		if (accepts_orders(t))
			order_withdraw_update(
				o, t, observation_current(t, now) && now >= t->no_orders_until,
				now);
		else
			order_withdraw_cancel(o, t, "draining, not listed or in no pool", now);
	}
	for (t = o->targets; t; t = t->hh.next) {
		if (accepts_orders(t) && ap_lease_time_left(o->lease, now) > 0)
			reconcile(o, t, now);
	}
}

void ap_order_drain(ap_order_t *o, ap_usec_t now)
{
	o->draining = true;
	ap_lease_want(o->lease, false, now);
}

ap_order_stats_t ap_order_stats(const ap_order_t *o, ap_usec_t now)
{
	ap_order_stats_t stats = o->stats;

	stats.lease = ap_lease_stats(o->lease);
	stats.holder = ap_lease_time_left(o->lease, now) > 0;
	stats.fence = ap_lease_fence(o->lease);
	return stats;
}
