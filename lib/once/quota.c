/* Counts of issued permits in time buckets; a bucket as old as a permit's life is dropped. */
#include "once/quota.h"

#include <stdlib.h>
#include <string.h>

#define CALLERS_MAX 4096 /* callers that are counted separately */

void quota_init(quota_t *q, ap_usec_t ttl, ap_usec_t now)
{
	*q = (quota_t){.ttl = ttl, .all = {.start = now}};
}

void quota_clear(quota_t *q)
{
	quota_caller_t *c = q->callers;
	quota_caller_t *next;

	HASH_CLEAR(hh, q->callers);
	for (; c; c = next) {
		next = c->hh.next;
		free(c);
	}
}

/*
 * Drops old time buckets and returns the number of permits that may still be used for the first
 * time. The number may be too high, as used permits are counted until they would expire, but never
 * too low.
 */
static size_t count_unused(quota_window_t *w, ap_usec_t ttl, ap_usec_t now)
{
	ap_usec_t width = ttl / (QUOTA_BUCKETS - 1) + 1;
	ap_usec_t passed = (now - w->start) / width;
	size_t shift = passed < QUOTA_BUCKETS ? (size_t)passed : QUOTA_BUCKETS;
	size_t n = 0;

	memmove(w->buckets + shift, w->buckets, (QUOTA_BUCKETS - shift) * sizeof(w->buckets[0]));
	memset(w->buckets, 0, shift * sizeof(w->buckets[0]));
	w->start += passed * width;
	for (int i = 0; i < QUOTA_BUCKETS; i++)
		n += w->buckets[i];
	return n;
}

static void link_caller(quota_t *q, quota_caller_t *c)
{
	HASH_ADD_STR(q->callers, name, c);
}

static quota_caller_t *find_caller(const quota_t *q, const char *name)
{
	quota_caller_t *c = NULL;

	HASH_FIND_STR(q->callers, name, c);
	return c;
}

static quota_caller_t *add_caller(quota_t *q, const char *name, ap_usec_t now)
{
	quota_caller_t *c;

	/*
	 * When CALLERS_MAX callers are counted, which is far above the usual number, all callers'
	 * counts restart; the total is kept.
	 */
	if (HASH_COUNT(q->callers) >= CALLERS_MAX)
		quota_clear(q);
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	ap_copy_name(c->name, sizeof(c->name), name);
	c->window.start = now;
	link_caller(q, c);
	return c;
}

ap_once_status_t quota_take(quota_t *q, const char *caller, size_t total_max, size_t caller_max,
			    ap_usec_t now)
{
	quota_caller_t *c = find_caller(q, caller);

	if (count_unused(&q->all, q->ttl, now) >= total_max)
		return AP_ONCE_FULL;
	if (!c)
		c = add_caller(q, caller, now);
	if (!c)
		return AP_ONCE_FULL;
	if (count_unused(&c->window, q->ttl, now) >= caller_max)
		return AP_ONCE_OVER_LIMIT;
	q->all.buckets[0]++;
	c->window.buckets[0]++;
	return AP_ONCE_OK;
}
