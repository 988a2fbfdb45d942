/*
 * A lease on one key of the store, bound to a session. The time left is counted from the moment
 * before the last successful renewal was sent, so that a pause or a slow store can only shorten it.
 */
#include "order/order.h"
#include "port/call.h"

#include <stdlib.h>
#include <string.h>

/* After an attempt to take the lease that failed, timed out or found another holder. */
#define RETRY_TIME (10 * AP_SEC)
/* After a failed renewal or read of the holder, or after the lease expired or was not wanted. */
#define SHORT_RETRY_TIME AP_SEC
#define RENEWALS_PER_TTL 3
#define DRIFT_DIVISOR 16 /* 1/16 of the ttl is not used: clocks run at different rates */

struct ap_lease {
	ap_lease_config_t cfg;
	ap_rng_t rng;
	ap_kv_calls_t calls;
	ap_lease_state_t state;
	bool wanted;
	ap_usec_t now;
	char session[AP_SESSION_MAX];
	ap_usec_t expires_at; /* the session certainly exists until then */
	/* when the read of the key before the session's creation, or the last renewal, was sent */
	ap_usec_t sent_at;
	bool call_pending; /* no response yet */
	ap_usec_t next_call_at;
	uint64_t fence;
	ap_usec_t held_since; /* AP_NEVER until the first tick with the lease held */
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
	l->held_since = AP_NEVER;
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

static ap_kv_call_t *new_call(ap_lease_t *l, ap_kv_on_result_t answer)
{
	l->call_pending = true;
	return ap_kv_call_new(&l->calls, answer);
}

static void emit(const ap_lease_t *l, const char *kind)
{
	ap_emit(&l->cfg.env, l->now, kind, (ap_xid_t){.seq = 0}, "key=%s holder=%s fence=%llu",
		l->cfg.key, l->cfg.holder, (unsigned long long)l->fence);
}

static void ignore_result(void *owner, const ap_kv_result_t *result)
{
	(void)owner;
	(void)result;
}

/*
 * Releases what is held or requested, ignores responses still to come and tries again after half to
 * one and a half times @wait.
 */
static void release(ap_lease_t *l, ap_usec_t wait)
{
	ap_kv_calls_drop(&l->calls);
	l->call_pending = false;
	if (l->state == AP_LEASE_HELD) {
		l->stats.lost++;
		emit(l, "lease.lost");
	}
	if (l->session[0] != '\0') {
		l->stats.writes++;
		l->cfg.kv.session_destroy(l->cfg.kv.ctx, l->session, ap_kv_call_done,
					  ap_kv_call_new(&l->calls, ignore_result));
	}
	l->session[0] = '\0';
	l->state = AP_LEASE_NONE;
	l->held_since = AP_NEVER;
	l->next_call_at = l->now + wait / 2 + (ap_usec_t)ap_rng_below(&l->rng, (uint64_t)wait);
}

/* The time until which a session created or renewed at @sent certainly exists. */
static ap_usec_t certain_until(const ap_lease_t *l, ap_usec_t sent)
{
	return sent + l->cfg.ttl - l->cfg.ttl / DRIFT_DIVISOR;
}

static void become_holder(ap_lease_t *l, uint64_t fence)
{
	l->state = AP_LEASE_HELD;
	l->fence = fence;
	l->stats.taken++;
	l->next_call_at = l->sent_at + l->cfg.ttl / RENEWALS_PER_TTL;
	emit(l, "lease.taken");
}

/* The key was read after an acquire, or after a sign of another holder. */
static void on_holder_read(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->call_pending = false;
	if (result->status == AP_KV_UNAVAILABLE || result->status == AP_KV_UNSURE) {
		l->next_call_at = l->now + SHORT_RETRY_TIME;
		return;
	}
	if (result->status == AP_KV_OK && strcmp(result->session, l->session) == 0)
		become_holder(l, result->lock_index);
	else if (result->status == AP_KV_ABSENT || result->session[0] == '\0')
		acquire(l);
	else
		release(l, RETRY_TIME);
}

static void verify_holder(ap_lease_t *l)
{
	l->state = AP_LEASE_VERIFYING;
	l->stats.reads++;
	l->cfg.kv.get(l->cfg.kv.ctx, l->cfg.key, 0, 0, ap_kv_call_done,
		      new_call(l, on_holder_read));
}

static void on_acquired(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->call_pending = false;
	/* The response doesn't contain the fencing token, so the key has to be read. */
	if (result->status == AP_KV_OK || result->status == AP_KV_UNSURE)
		verify_holder(l);
	else
		release(l, RETRY_TIME);
}

static void acquire(ap_lease_t *l)
{
	l->state = AP_LEASE_REQUESTED;
	l->stats.writes++;
	l->cfg.kv.acquire(l->cfg.kv.ctx, l->cfg.key, l->cfg.holder, strlen(l->cfg.holder),
			  l->session, ap_kv_call_done, new_call(l, on_acquired));
}

static void on_session_created(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->call_pending = false;
	if (result->status != AP_KV_OK) {
		release(l, RETRY_TIME);
		return;
	}
	ap_copy_name(l->session, sizeof(l->session), result->session);
	l->expires_at = certain_until(l, l->sent_at);
	acquire(l);
}

static void on_key_read(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;
	bool is_free = result->status == AP_KV_ABSENT ||
		       (result->status == AP_KV_OK && result->session[0] == '\0');

	l->call_pending = false;
	if (!is_free) {
		release(l, RETRY_TIME);
		return;
	}
	l->stats.writes++;
	l->cfg.kv.session_create(l->cfg.kv.ctx, l->cfg.ttl, ap_kv_call_done,
				 new_call(l, on_session_created));
}

/* Reads the key first: a session is created and the key acquired only if the key is free. */
static void check_key(ap_lease_t *l)
{
	l->state = AP_LEASE_REQUESTED;
	l->sent_at = l->now;
	l->stats.reads++;
	l->cfg.kv.get(l->cfg.kv.ctx, l->cfg.key, 0, 0, ap_kv_call_done, new_call(l, on_key_read));
}

static void on_renewed(void *owner, const ap_kv_result_t *result)
{
	ap_lease_t *l = owner;

	l->call_pending = false;
	if (result->status == AP_KV_ABSENT) {
		release(l, SHORT_RETRY_TIME);
		return;
	}
	if (result->status != AP_KV_OK) {
		l->next_call_at = l->now + SHORT_RETRY_TIME;
		return;
	}
	l->expires_at = certain_until(l, l->sent_at);
	l->next_call_at = l->sent_at + l->cfg.ttl / RENEWALS_PER_TTL;
}

static void renew(ap_lease_t *l)
{
	l->sent_at = l->now;
	l->stats.writes++;
	l->cfg.kv.session_renew(l->cfg.kv.ctx, l->session, ap_kv_call_done,
				new_call(l, on_renewed));
}

void ap_lease_want(ap_lease_t *l, bool want, ap_usec_t now)
{
	l->now = now;
	if (l->wanted && !want && l->state != AP_LEASE_NONE)
		release(l, SHORT_RETRY_TIME);
	l->wanted = want;
}

void ap_lease_tick(ap_lease_t *l, ap_usec_t now)
{
	l->now = now;
	if (l->session[0] != '\0' && now >= l->expires_at) {
		release(l, SHORT_RETRY_TIME);
		return;
	}
	if (l->call_pending && now - l->sent_at >= l->cfg.ttl) {
		release(l, RETRY_TIME);
		return;
	}
	if (l->state == AP_LEASE_HELD && l->held_since == AP_NEVER)
		l->held_since = now;
	if (!l->wanted || l->call_pending || now < l->next_call_at)
		return;
	if (l->state == AP_LEASE_NONE)
		check_key(l);
	else if (l->state == AP_LEASE_VERIFYING)
		verify_holder(l);
	else
		renew(l);
}

ap_usec_t ap_lease_time_left(const ap_lease_t *l, ap_usec_t now)
{
	if (l->state != AP_LEASE_HELD || l->held_since == AP_NEVER || now >= l->expires_at)
		return 0;
	return l->expires_at - now;
}

uint64_t ap_lease_fence(const ap_lease_t *l)
{
	return l->fence;
}

ap_usec_t ap_lease_held_since(const ap_lease_t *l)
{
	return l->held_since;
}

void ap_lease_suspect(ap_lease_t *l, ap_usec_t now)
{
	l->now = now;
	if (l->state != AP_LEASE_HELD)
		return;
	emit(l, "lease.doubted");
	ap_kv_calls_drop(&l->calls);
	l->held_since = AP_NEVER;
	verify_holder(l);
}

ap_lease_state_t ap_lease_state(const ap_lease_t *l)
{
	return l->state;
}

ap_lease_stats_t ap_lease_stats(const ap_lease_t *l)
{
	return l->stats;
}
