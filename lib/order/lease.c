/*
 * A lease on one key of the store, bound to a session. Time held is counted from before the last
 * answered renewal was sent, so a pause or a slow store only makes it shorter.
 */
#include "order/order.h"
#include "port/call.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_TIME (10 * AP_SEC) /* between looks at a lease that another one holds */
#define SETTLE_RETRY AP_SEC
#define RENEWALS_PER_TTL 3
#define DRIFT_PART 16 /* part of the ttl kept off for clocks that run at different rates */

struct ap_lease {
	ap_lease_config_t cfg;
	ap_rng_t rng;
	ap_kv_calls_t calls;
	ap_lease_state_t state;
	bool want;
	ap_usec_t now;
	char session[AP_SESSION_MAX];
	ap_usec_t until; /* the session certainly lives until then */
	ap_usec_t sent;	 /* when the call under way was sent */
	bool waiting;	 /* for an answer */
	ap_usec_t next;
	uint64_t fence;
	ap_usec_t since; /* AP_NEVER until the first tick that saw it held */
	ap_lease_stats_t stats;
};

static void acquire(ap_lease_t *l);

ap_lease_t *ap_lease_new(const ap_lease_config_t *config)
{
	ap_lease_t *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->cfg = *config;
	l->calls.owner = l;
	LIST_INIT(&l->calls.open);
	l->since = AP_NEVER;
	ap_rng_seed(&l->rng, config->seed);
	return l;
}

void ap_lease_free(ap_lease_t *l)
{
	if (!l)
		return;
	ap_kv_calls_drop(&l->calls);
	free(l);
}

static ap_kv_call_t *call(ap_lease_t *l, ap_kv_answer_t answer)
{
	l->waiting = true;
	return ap_kv_call_new(&l->calls, answer);
}

static void tell(const ap_lease_t *l, const char *kind)
{
	ap_emit(&l->cfg.env, l->now, kind, (ap_xid_t){.seq = 0}, "key=%s holder=%s fence=%llu",
		l->cfg.key, l->cfg.holder, (unsigned long long)l->fence);
}

static void ignore(void *owner, const ap_kv_result_t *result)
{
	(void)owner;
	(void)result;
}

/* Gives up what is held or asked for; answers under way no longer count. */
static void drop(ap_lease_t *l, ap_usec_t wait)
{
	ap_kv_calls_drop(&l->calls);
	l->waiting = false;
	if (l->state == AP_LEASE_HELD) {
		l->stats.lost++;
		tell(l, "lease.lost");
	}
	if (l->session[0] != '\0') {
		l->stats.writes++;
		l->cfg.kv.session_destroy(l->cfg.kv.ctx, l->session, ap_kv_call_done,
					  ap_kv_call_new(&l->calls, ignore));
	}
	l->session[0] = '\0';
	l->state = AP_LEASE_NONE;
	l->since = AP_NEVER;
	l->next = l->now + wait / 2 + (ap_usec_t)ap_rng_below(&l->rng, (uint64_t)wait);
}

static ap_usec_t certain(const ap_lease_t *l, ap_usec_t sent)
{
	return sent + l->cfg.ttl - l->cfg.ttl / DRIFT_PART;
}

static void hold(ap_lease_t *l, uint64_t fence)
{
	l->state = AP_LEASE_HELD;
	l->fence = fence;
	l->stats.taken++;
	l->next = l->sent + l->cfg.ttl / RENEWALS_PER_TTL;
	tell(l, "lease.taken");
}

/* Who holds the key? Asked when an answer was lost or a sign of another holder was seen. */
static void settled(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->waiting = false;
	if (result->status == AP_KV_UNAVAILABLE || result->status == AP_KV_UNSURE) {
		l->next = l->now + SETTLE_RETRY;
		return;
	}
	if (result->status == AP_KV_OK && strcmp(result->session, l->session) == 0)
		hold(l, result->lock_index);
	else if (result->status == AP_KV_ABSENT || result->session[0] == '\0')
		acquire(l);
	else
		drop(l, RETRY_TIME);
}

static void settle(ap_lease_t *l)
{
	l->state = AP_LEASE_VERIFYING;
	l->stats.reads++;
	l->cfg.kv.get(l->cfg.kv.ctx, l->cfg.key, 0, 0, ap_kv_call_done, call(l, settled));
}

static void acquired(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->waiting = false;
	/* The answer says only that it was carried out; the fencing number has to be read. */
	if (result->status == AP_KV_OK || result->status == AP_KV_UNSURE)
		settle(l);
	else
		drop(l, RETRY_TIME);
}

static void acquire(ap_lease_t *l)
{
	l->state = AP_LEASE_REQUESTED;
	l->stats.writes++;
	l->cfg.kv.acquire(l->cfg.kv.ctx, l->cfg.key, l->cfg.holder, strlen(l->cfg.holder),
			  l->session, ap_kv_call_done, call(l, acquired));
}

static void session_made(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->waiting = false;
	if (result->status != AP_KV_OK) {
		drop(l, RETRY_TIME);
		return;
	}
	ap_copy_name(l->session, sizeof(l->session), result->session);
	l->until = certain(l, l->sent);
	acquire(l);
}

static void looked(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;
	bool is_free = result->status == AP_KV_ABSENT ||
		       (result->status == AP_KV_OK && result->session[0] == '\0');

	l->waiting = false;
	if (!is_free) {
		drop(l, RETRY_TIME);
		return;
	}
	l->stats.writes++;
	l->cfg.kv.session_create(l->cfg.kv.ctx, l->cfg.ttl, ap_kv_call_done, call(l, session_made));
}

/* A look costs the store a read; a session and an acquire follow only when the key is free. */
static void look(ap_lease_t *l)
{
	l->state = AP_LEASE_REQUESTED;
	l->sent = l->now;
	l->stats.reads++;
	l->cfg.kv.get(l->cfg.kv.ctx, l->cfg.key, 0, 0, ap_kv_call_done, call(l, looked));
}

static void renewed(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->waiting = false;
	if (result->status == AP_KV_ABSENT) {
		drop(l, AP_SEC);
		return;
	}
	if (result->status != AP_KV_OK) {
		l->next = l->now + SETTLE_RETRY;
		return;
	}
	l->until = certain(l, l->sent);
	l->next = l->sent + l->cfg.ttl / RENEWALS_PER_TTL;
}

static void renew(ap_lease_t *l)
{
	l->sent = l->now;
	l->stats.writes++;
	l->cfg.kv.session_renew(l->cfg.kv.ctx, l->session, ap_kv_call_done, call(l, renewed));
}

void ap_lease_want(ap_lease_t *l, bool want, ap_usec_t now)
{
	l->now = now;
	if (l->want && !want && l->state != AP_LEASE_NONE)
		drop(l, AP_SEC);
	l->want = want;
}

void ap_lease_tick(ap_lease_t *l, ap_usec_t now)
{
	l->now = now;
	if (l->session[0] != '\0' && now >= l->until) {
		drop(l, AP_SEC);
		return;
	}
	if (l->waiting && now - l->sent >= l->cfg.ttl) {
		drop(l, RETRY_TIME);
		return;
	}
	if (l->state == AP_LEASE_HELD && l->since == AP_NEVER)
		l->since = now;
	if (!l->want || l->waiting || now < l->next)
		return;
	if (l->state == AP_LEASE_NONE)
		look(l);
	else if (l->state == AP_LEASE_VERIFYING)
		settle(l);
	else
		renew(l);
}

ap_usec_t ap_lease_time_left(const ap_lease_t *l, ap_usec_t now)
{
	if (l->state != AP_LEASE_HELD || l->since == AP_NEVER || now >= l->until)
		return 0;
	return l->until - now;
}

uint64_t ap_lease_fence(const ap_lease_t *l)
{
	return l->fence;
}

ap_usec_t ap_lease_held_since(const ap_lease_t *l)
{
	return l->since;
}

void ap_lease_suspect(ap_lease_t *l, ap_usec_t now)
{
	l->now = now;
	if (l->state != AP_LEASE_HELD)
		return;
	tell(l, "lease.doubted");
	ap_kv_calls_drop(&l->calls);
	l->since = AP_NEVER;
	settle(l);
}

ap_lease_state_t ap_lease_state(const ap_lease_t *l)
{
	return l->state;
}

ap_lease_stats_t ap_lease_stats(const ap_lease_t *l)
{
	return l->stats;
}
