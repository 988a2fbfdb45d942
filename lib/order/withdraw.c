/*
 * Unloading. First the withdrawal is announced: the upstream takes no new requests for the item.
 * After a wait, in which the region's instances receive the announcement and send the requests that
 * they had already routed there, the unload order is sent. If the item must stay after all, the
 * withdrawal is revoked.
 */
#include "order/private.h"

#include <string.h>

/* Time to receive the announcement and to send requests that were already routed. */
#define WITHDRAW_WAIT (5 * AP_SEC)
/* Announcements are repeated for instances that started late or lost earlier messages. */
#define ANNOUNCE_PERIOD (2 * AP_SEC)
/* Used only for ANNOUNCE_GAP_MAX; see withdraw_duration() for how long an announcement is valid. */
#define WITHDRAW_KEEP (20 * AP_SEC)
/* After a longer time without an announcement the wait restarts. */
#define ANNOUNCE_GAP_MAX (WITHDRAW_KEEP / 2)
/* Time until all instances know that the item is not loaded any more. */
#define UNLOADED_KEEP (60 * AP_SEC)

static void announce(ap_order_t *o, ap_target_t *t, const char *name, ap_usec_t keep, ap_usec_t now)
{
	t->announced_at = now;
	o->cfg.withdraw(o->cfg.ctx, t->up.id, name, ap_lease_fence(o->lease), ++o->withdraw_number,
			keep);
}

/*
 * Returns how long an announcement is valid: long enough that an instance which received only this
 * one sends no requests until all instances know the order's effect.
 */
static ap_usec_t withdraw_duration(const ap_order_t *o, const ap_target_t *t)
{
	return ANNOUNCE_GAP_MAX + order_time_limit(o, t) + UNLOADED_KEEP;
}

static void emit(const ap_order_t *o, const ap_target_t *t, const char *kind, const char *why)
{
	ap_emit(&o->cfg.env, o->now, kind, (ap_xid_t){.seq = 0}, "upstream=%s item=%s why=%s",
		t->up.id, t->withdrawn_item, why);
}

static void begin_withdrawal(ap_order_t *o, ap_target_t *t, const char *name, ap_usec_t now)
{
	ap_copy_name(t->withdrawn_item, sizeof(t->withdrawn_item), name);
	t->withdrawn_at = now;
	t->unload_sent = false;
	o->stats.withdrawals++;
	emit(o, t, "order.withdraw", "");
	announce(o, t, name, withdraw_duration(o, t), now);
}

static void revoke(ap_order_t *o, ap_target_t *t, const char *why, ap_usec_t now)
{
	emit(o, t, "order.taken-back", why);
	announce(o, t, t->withdrawn_item, 0, now);
	t->withdrawn_item[0] = '\0';
}

void order_withdraw_cancel(ap_order_t *o, ap_target_t *t, const char *why, ap_usec_t now)
{
	if (t->withdrawn_item[0] == '\0')
		return;
	/*
	 * An unload that was sent may take effect, so the withdrawal is left to expire; by then
	 * queries of the upstream show what is loaded.
	 */
	if (t->unload_sent)
		t->withdrawn_item[0] = '\0';
	else
		revoke(o, t, why, now);
}

static bool has_adapters(const ap_order_t *o, const ap_target_t *t, const char *model)
{
	for (size_t i = 0; i < t->n_observed; i++) {
		const ap_adapter_t *adapter = ap_conf_adapter(o->conf, t->observed[i].name);

		if (adapter && strcmp(adapter->model, model) == 0)
			return true;
	}
	return false;
}

/*
 * Returns whether @name is not declared for @t, no adapter of it is loaded there and at least the
 * declared number of other upstreams serve it.
 */
static bool may_unload(const ap_order_t *o, const ap_target_t *t, const char *name, ap_usec_t now)
{
	return !order_is_declared(t, name) && !has_adapters(o, t, name) &&
	       order_count_serving(o, t, name, order_declared_version(o, name), now) >=
		       order_count_declared(o, name);
}

/*
 * Revokes valid withdrawals, other than the one in progress, of items that must not be unloaded,
 * such as those that an earlier lease holder left. Waits for the pool's order_deadline first,
 * because an unload of the earlier holder may take effect until then.
 */
static void revoke_stale(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	if (now - ap_lease_held_since(o->lease) < t->pool->order_deadline)
		return;
	for (size_t i = 0; i < t->n_observed; i++) {
		const char *name = t->observed[i].name;

		if (strcmp(name, t->withdrawn_item) != 0 &&
		    o->cfg.is_withdrawn(o->cfg.ctx, t->up.id, name) && !may_unload(o, t, name, now))
			announce(o, t, name, 0, now);
	}
}

/*
 * Counts also upstreams with an order in progress: they are frequent, and must not by themselves
 * revoke the withdrawal.
 */
static bool too_few_others_serving(const ap_order_t *o, const ap_target_t *t, ap_usec_t now)
{
	const char *name = t->withdrawn_item;

	return order_count_likely_serving(o, t, name, order_declared_version(o, name), now) <
	       order_count_declared(o, name);
}

/*
 * @observation_valid: the last observation of @t is current (see observation_current()), and no
 * order without a response may still change what is loaded.
 */
void order_withdraw_update(ap_order_t *o, ap_target_t *t, bool observation_valid, ap_usec_t now)
{
	if (observation_valid)
		revoke_stale(o, t, now);
	if (t->withdrawn_item[0] == '\0')
		return;
	if (observation_valid && !order_find_observed(t, t->withdrawn_item)) {
		announce(o, t, t->withdrawn_item, UNLOADED_KEEP, now);
		t->withdrawn_item[0] = '\0';
		return;
	}
	if ((observation_valid || !t->unload_sent) && order_is_declared(t, t->withdrawn_item)) {
		revoke(o, t, "declared again", now);
		return;
	}
	if (observation_valid && too_few_others_serving(o, t, now)) {
		revoke(o, t, "too few other upstreams serve it", now);
		return;
	}
	/* Instances that started during a pause of this one have received no announcement. */
	if (now - t->announced_at > ANNOUNCE_GAP_MAX)
		t->withdrawn_at = now;
	if (now - t->announced_at >= ANNOUNCE_PERIOD)
		announce(o, t, t->withdrawn_item, withdraw_duration(o, t), now);
}

static void withdraw_one(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	for (size_t i = 0; i < t->n_observed; i++) {
		if (!may_unload(o, t, t->observed[i].name, now))
			continue;
		begin_withdrawal(o, t, t->observed[i].name, now);
		return;
	}
}

void order_unload_surplus(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	if (t->withdrawn_item[0] == '\0') {
		withdraw_one(o, t, now);
		return;
	}
	if (now - t->withdrawn_at < WITHDRAW_WAIT || !may_unload(o, t, t->withdrawn_item, now) ||
	    !order_may_issue(o, t, now))
		return;
	t->unload_sent = true;
	order_unload(o, t, t->withdrawn_item, now);
}
