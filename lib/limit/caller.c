/* A token bucket and a concurrency count per caller. */
#include "limit/caller.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#define CONCURRENCY_RETRY_AFTER (1 * AP_SEC) /* for a caller over its concurrency limit */
#define RATE_MIN 1e-6			     /* tokens per second, against a division by zero */
#define RETRY_AFTER_MAX 3600		     /* seconds */

typedef struct ap_bucket {
	char name[AP_NAME_MAX];
	UT_hash_handle hh;
	struct ap_bucket *next; /* in a list to free, once removed from the table */
	double tokens;
	double capacity;
	double rate; /* tokens per second */
	ap_usec_t filled_at;
	uint32_t running;
} ap_bucket_t;

struct ap_caller_limits {
	ap_bucket_t *buckets;
};

ap_caller_limits_t *ap_caller_limits_new(void)
{
	return calloc(1, sizeof(ap_caller_limits_t));
}

static void free_buckets(ap_bucket_t *bucket)
{
	while (bucket) {
		ap_bucket_t *next = bucket->next;

		free(bucket);
		bucket = next;
	}
}

void ap_caller_limits_free(ap_caller_limits_t *l)
{
	ap_bucket_t *bucket;

	if (!l)
		return;
	for (bucket = l->buckets; bucket; bucket = bucket->hh.next)
		bucket->next = bucket->hh.next;
	bucket = l->buckets;
	HASH_CLEAR(hh, l->buckets);
	free_buckets(bucket);
	free(l);
}

static ap_bucket_t *bucket_of(ap_caller_limits_t *l, const char *name, ap_usec_t now)
{
	ap_bucket_t *bucket = NULL;

	HASH_FIND_STR(l->buckets, name, bucket);
	if (bucket)
		return bucket;
	bucket = calloc(1, sizeof(*bucket));
	if (!bucket)
		return NULL;
	ap_copy_name(bucket->name, sizeof(bucket->name), name);
	bucket->tokens = INFINITY; /* full: refill() limits it to the capacity */
	bucket->filled_at = now;
	HASH_ADD_STR(l->buckets, name, bucket);
	return bucket;
}

static void refill(ap_bucket_t *bucket, ap_usec_t now)
{
	double elapsed = (double)(now - bucket->filled_at) / (double)AP_SEC;

	if (elapsed > 0) {
		bucket->tokens += bucket->rate * elapsed;
		bucket->filled_at = now;
	}
	bucket->tokens = fmin(bucket->tokens, bucket->capacity);
}

bool ap_caller_limits_take(ap_caller_limits_t *l, const ap_caller_t *caller, double share,
			   ap_usec_t now, ap_usec_t *retry_after)
{
	ap_bucket_t *bucket = bucket_of(l, caller->name, now);
	double concurrent_max = fmax(1, round(caller->concurrent * share));

	if (!bucket)
		return true;
	bucket->rate = caller->rate * share;
	bucket->capacity = fmax(1, caller->burst * share);
	refill(bucket, now);
	if (caller->concurrent > 0 && bucket->running >= concurrent_max) {
		*retry_after = CONCURRENCY_RETRY_AFTER;
		return false;
	}
	if (caller->rate > 0) {
		if (bucket->tokens < 1) {
			double missing = (1 - bucket->tokens) / fmax(bucket->rate, RATE_MIN);

			*retry_after = (ap_usec_t)(fmin(missing, RETRY_AFTER_MAX) * (double)AP_SEC);
			return false;
		}
		bucket->tokens -= 1;
	}
	bucket->running++;
	return true;
}

void ap_caller_limits_done(ap_caller_limits_t *l, const char *name)
{
	ap_bucket_t *bucket = NULL;

	HASH_FIND_STR(l->buckets, name, bucket);
	if (bucket && bucket->running > 0)
		bucket->running--;
}

void ap_caller_limits_sweep(ap_caller_limits_t *l, ap_usec_t now)
{
	ap_bucket_t *bucket;
	ap_bucket_t *next;
	ap_bucket_t *idle = NULL;

	HASH_ITER (hh, l->buckets, bucket, next) {
		refill(bucket, now);
		if (bucket->running > 0 || bucket->tokens < bucket->capacity)
			continue;
		HASH_DEL(l->buckets, bucket);
		bucket->next = idle;
		idle = bucket;
	}
	free_buckets(idle);
}
