/*
 * The reconciler of one region: compares what is declared with what is observed and gives one
 * order at a time to each upstream; a model is unloaded only where enough others are seen to hold
 * it.
 */
#include "order/order.h"
#include "member/member.h"
#include "order/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CANDIDATES 2		  /* entries of a region that ask for the lease */
#define READ_PERIOD (30 * AP_SEC) /* between readings of an upstream at rest */
#define READ_LIMIT (10 * AP_SEC)  /* a reading not given by then failed */
#define FRESH_TIME (2 * READ_PERIOD)

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
	order_declare(o);
	ap_conf_unref(old);
}

void ap_order_set_entries(ap_order_t *o, const ap_entry_t *entries, size_t n, ap_usec_t now)
{
	const ap_entry_t *self = &o->cfg.self;
	bool candidate =
		ap_member_has_duty(entries, n, "orders", self->region, NULL, self->id, CANDIDATES);

	o->now = now;
	/* A holder keeps it; a change of the ranking alone is no reason for a handover. */
	if (ap_lease_state(o->lease) == AP_LEASE_HELD)
		candidate = true;
	ap_lease_want(o->lease, candidate && !o->leaving, now);
}

static void take_upstream(ap_order_t *o, const ap_upstream_t *up)
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
	ap_target_t *t, *next, *gone = NULL;

	o->now = now;
	for (t = o->targets; t; t = t->hh.next)
		t->present = false;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(upstreams[i].region, o->cfg.self.region) == 0)
			take_upstream(o, &upstreams[i]);
	}
	HASH_ITER (hh, o->targets, t, next) {
		if (t->present || t->busy)
			continue;
		HASH_DEL(o->targets, t);
		t->gone = gone;
		gone = t;
	}
	for (t = gone; t; t = next) {
		next = t->gone;
		target_free(t);
	}
	o->dirty = true;
}

void ap_order_observed(ap_order_t *o, const char *upstream, const ap_observed_t *models, size_t n,
		       uint64_t fence, ap_usec_t asked, ap_usec_t now)
{
	ap_target_t *t;

	o->now = now;
	HASH_FIND_STR(o->targets, upstream, t);
	if (!t || t->busy || asked < t->ended_at || asked < t->read_at)
		return;
	free(t->observed);
	t->observed = calloc(n + 1, sizeof(*t->observed));
	if (!t->observed)
		abort();
	if (n > 0)
		memcpy(t->observed, models, n * sizeof(*models));
	t->n_observed = n;
	t->fence_seen = fence;
	t->read_at = asked;
	/* An order without an answer may still change it. */
	t->known = asked >= t->quiet_until;
}

const ap_observed_t *order_observed_here(const ap_target_t *t, const char *name)
{
	for (size_t i = 0; i < t->n_observed; i++) {
		if (strcmp(t->observed[i].name, name) == 0)
			return &t->observed[i];
	}
	return NULL;
}

static bool reading(const ap_target_t *t, ap_usec_t now)
{
	return t->asked_at > t->read_at && now - t->asked_at < READ_LIMIT;
}

static bool trusted(const ap_target_t *t, ap_usec_t now)
{
	return t->known && !t->busy && now - t->read_at < FRESH_TIME;
}

/* Does @t serve @name as last read? Any version when @version is NULL. */
static bool serves(const ap_order_t *o, const ap_target_t *t, const char *name, const char *version)
{
	const ap_observed_t *seen = order_observed_here(t, name);

	return seen && t->present && !t->up.draining &&
	       (!version || strcmp(seen->version, version) == 0) &&
	       !o->cfg.withdrawn(o->cfg.ctx, t->up.id, name);
}

uint32_t order_holders(const ap_order_t *o, const ap_target_t *but, const char *name,
		       const char *version, ap_usec_t now)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += t != but && trusted(t, now) && serves(o, t, name, version);
	return n;
}

uint32_t order_likely_holders(const ap_order_t *o, const ap_target_t *but, const char *name,
			      const char *version, ap_usec_t now)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += t != but && now - t->read_at < FRESH_TIME && serves(o, t, name, version);
	return n;
}

static uint32_t loading(const ap_order_t *o)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += t->busy && t->loading;
	return n;
}

static bool may_load(const ap_order_t *o, const ap_target_t *t, const char *name, ap_usec_t now)
{
	if (strcmp(t->refused, name) == 0 && now < t->refused_until)
		return false;
	return now >= o->weight_free_at && loading(o) < o->cfg.loads_max;
}

/* An order for @name to another upstream is under way, or its effect was not read yet. */
static bool pending_elsewhere(const ap_order_t *o, const ap_target_t *but, const char *name)
{
	const ap_target_t *t;

	for (t = o->targets; t; t = t->hh.next) {
		if (t != but && t->present && (t->busy || !t->known) && strcmp(t->item, name) == 0)
			return true;
	}
	return false;
}

/* An upstream beside the declared ones that can hold @item while its only holder changes. */
static ap_target_t *find_spare(const ap_order_t *o, const ap_item_t *item, ap_usec_t now)
{
	ap_target_t *t, *best = NULL;

	for (t = o->targets; t; t = t->hh.next) {
		if (!target_in_pool(t, item->pool) || !trusted(t, now) ||
		    order_observed_here(t, item->name) || !may_load(o, t, item->name, now))
			continue;
		if (!best || order_score(item->name, t) > order_score(item->name, best))
			best = t;
	}
	return best;
}

static bool model_present(const ap_target_t *t, const ap_item_t *item)
{
	return !item->model || order_observed_here(t, item->model);
}

/* Return: true when an order was sent to @t or for it. */
static bool load_one(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	for (size_t i = 0; i < t->n_declared; i++) {
		const ap_item_t *item = &t->declared[i];
		const ap_observed_t *seen = order_observed_here(t, item->name);
		ap_target_t *at = t;

		if (seen && strcmp(seen->version, item->version) == 0)
			continue;
		if (!model_present(t, item) || !may_load(o, t, item->name, now))
			continue;
		if (seen && order_holders(o, t, item->name, NULL, now) == 0) {
			ap_target_t *spare;

			/* A spare may be under an order for something else. */
			if (pending_elsewhere(o, t, item->name) ||
			    order_likely_holders(o, t, item->name, NULL, now) > 0)
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

static void read_back(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	if (t->busy || reading(t, now) || now < t->quiet_until)
		return;
	if (t->known && now - t->read_at < READ_PERIOD)
		return;
	t->asked_at = now;
	o->cfg.observe(o->cfg.ctx, t->up.id);
}

static void count_gaps(ap_order_t *o)
{
	const ap_target_t *t;

	o->stats.missing = 0;
	o->stats.surplus = 0;
	for (t = o->targets; t; t = t->hh.next) {
		if (!t->pool)
			continue;
		for (size_t i = 0; i < t->n_declared; i++) {
			const ap_observed_t *seen = order_observed_here(t, t->declared[i].name);

			o->stats.missing +=
				!seen || strcmp(seen->version, t->declared[i].version) != 0;
		}
		for (size_t i = 0; i < t->n_observed; i++)
			o->stats.surplus += !order_is_declared(t, t->observed[i].name);
	}
}

static void reconcile(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	read_back(o, t, now);
	if (!trusted(t, now) || now < t->quiet_until)
		return;
	if (!load_one(o, t, now) && trusted(t, now))
		order_unload_surplus(o, t, now);
}

static bool may_order(const ap_target_t *t)
{
	return t->pool && t->present && !t->up.draining;
}

static void drop_withdrawals(ap_order_t *o, ap_usec_t now)
{
	ap_target_t *t;

	for (t = o->targets; t; t = t->hh.next)
		order_withdraw_drop(o, t, "no lease", now);
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
		order_declare(o);
	if (ap_lease_left(o->lease, now) == 0) {
		o->held_since = AP_NEVER;
		drop_withdrawals(o, now);
		return;
	}
	if (o->held_since != ap_lease_since(o->lease)) {
		/* What was read before may be another holder's past. */
		o->held_since = ap_lease_since(o->lease);
		drop_withdrawals(o, now);
		for (t = o->targets; t; t = t->hh.next)
			t->known = false;
	}
	count_gaps(o);
	for (t = o->targets; t; t = t->hh.next) {
		if (may_order(t))
			order_withdraw_tend(o, t, trusted(t, now) && now >= t->quiet_until, now);
		else
			order_withdraw_drop(o, t, "no orders go there now", now);
	}
	for (t = o->targets; t; t = t->hh.next) {
		if (may_order(t) && ap_lease_left(o->lease, now) > 0)
			reconcile(o, t, now);
	}
}

void ap_order_leave(ap_order_t *o, ap_usec_t now)
{
	o->leaving = true;
	ap_lease_want(o->lease, false, now);
}

ap_order_stats_t ap_order_stats(const ap_order_t *o, ap_usec_t now)
{
	ap_order_stats_t stats = o->stats;

	stats.lease = ap_lease_stats(o->lease);
	stats.holder = ap_lease_left(o->lease, now) > 0;
	stats.fence = ap_lease_fence(o->lease);
	return stats;
}
