/*
 * Sends single orders, only while the lease is held. An upstream that ignores fencing tokens gets
 * an order only if the lease lasts longer than the order can take.
 */
#include "order/private.h"

#include <stdlib.h>
#include <string.h>

/* Lease time that must be left when an order to an unfenced upstream reaches its time limit. */
#define ORDER_MARGIN (2 * AP_SEC)
#define REFUSED_RETRY_TIME (15 * AP_SEC) /* until a refused load is sent again */

void order_calls_drop(ap_order_t *o)
{
	while (!LIST_EMPTY(&o->calls)) {
		ap_order_call_t *call = LIST_FIRST(&o->calls);

		LIST_REMOVE(call, link);
		call->order = NULL;
	}
}

/* Longest time that one order may take. Unfenced orders must end before the lease can expire. */
ap_usec_t order_time_limit(const ap_order_t *o, const ap_target_t *t)
{
	ap_usec_t longest = o->cfg.lease_ttl / 2 - ORDER_MARGIN;

	if (t->fenced || t->pool->order_deadline < longest)
		return t->pool->order_deadline;
	return longest;
}

bool order_may_issue(ap_order_t *o, ap_target_t *t, ap_usec_t now)
{
	ap_usec_t left = ap_lease_time_left(o->lease, now);

	if (left == 0)
		return false;
	if (t->fence_seen > ap_lease_fence(o->lease)) {
		ap_lease_suspect(o->lease, now);
		return false;
	}
	if (t->fenced)
		return true;
	/* Orders of an earlier holder may be in progress for as long as its lease could last. */
	if (left < order_time_limit(o, t) + ORDER_MARGIN ||
	    now - ap_lease_held_since(o->lease) < o->cfg.lease_ttl) {
		o->stats.held_back++;
		return false;
	}
	return true;
}

static void on_order_done(void *arg, ap_order_status_t status, const ap_err_t *err)
{
	ap_order_call_t *call = arg;
	ap_order_t *o = call->order;
	ap_target_t *t = NULL;

	if (o) {
		LIST_REMOVE(call, link);
		HASH_FIND_STR(o->targets, call->upstream, t);
	}
	free(call);
	if (!t)
		return;
	t->busy = false;
	t->up_to_date = false;
	t->queried_at = 0;
	t->ended_at = AP_NEVER;
	switch (status) {
	case AP_ORDER_OK:
		break;
	case AP_ORDER_FENCED:
		o->stats.fenced++;
		ap_lease_suspect(o->lease, o->now);
		break;
	case AP_ORDER_REFUSED:
		ap_copy_name(t->refused_item, sizeof(t->refused_item), t->item);
		t->refused_until = o->now + REFUSED_RETRY_TIME;
		break;
	case AP_ORDER_UNSURE:
		/* The order may take effect until its time limit; until then none is sent. */
		o->stats.unsure++;
		t->no_orders_until = t->issued_at + t->time_limit;
		break;
	}
	ap_emit(&o->cfg.env, o->now, "order.done", (ap_xid_t){.seq = 0},
		"upstream=%s item=%s status=%d why=%s", t->up.id, t->item, (int)status,
		err ? err->text : "");
}

static bool begin_order(ap_order_t *o, ap_target_t *t, const char *name, bool load, ap_usec_t now)
{
	uint64_t fence = ap_lease_fence(o->lease);
	bool holds = ap_lease_time_left(o->lease, now) > 0;

	if (!ap_require(&o->cfg.env, holds, AP_INV_ORDER, "order without a lease") ||
	    !ap_require(&o->cfg.env, fence >= o->last_fence && fence >= t->fence_seen, AP_INV_ORDER,
			"order with a lower fencing token than an earlier one"))
		return false;
	o->last_fence = fence;
	t->busy = true;
	t->loading = load;
	t->issued_at = now;
	t->time_limit = order_time_limit(o, t);
	ap_copy_name(t->item, sizeof(t->item), name);
	ap_emit(&o->cfg.env, now, load ? "order.load" : "order.unload", (ap_xid_t){.seq = 0},
		"upstream=%s item=%s fence=%llu", t->up.id, name, (unsigned long long)fence);
	return true;
}

static ap_order_call_t *call_new(ap_order_t *o, const ap_target_t *t)
{
	ap_order_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->order = o;
	ap_copy_name(call->upstream, sizeof(call->upstream), t->up.id);
	LIST_INSERT_HEAD(&o->calls, call, link);
	return call;
}

void order_load(ap_order_t *o, ap_target_t *t, const ap_item_t *item, ap_usec_t now)
{
	if (!begin_order(o, t, item->name, true, now))
		return;
	if (o->weight_store_free_at < now)
		o->weight_store_free_at = now;
	o->weight_store_free_at += (ap_usec_t)((double)item->bytes / o->cfg.weight_rate * AP_SEC);
	o->stats.loads++;
	o->cfg.port.load(o->cfg.port.ctx, t->up.id, item->name, item->version, o->last_fence,
			 t->time_limit, on_order_done, call_new(o, t));
}

void order_unload(ap_order_t *o, ap_target_t *t, const char *name, ap_usec_t now)
{
	if (!begin_order(o, t, name, false, now))
		return;
	o->stats.unloads++;
	o->cfg.port.unload(o->cfg.port.ctx, t->up.id, name, o->last_fence, t->time_limit,
			   on_order_done, call_new(o, t));
}
