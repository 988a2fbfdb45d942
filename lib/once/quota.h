/* Quotas of unused permits that one issuer has given out: in all, and for each caller. Private. */
#ifndef AP_ONCE_QUOTA_H
#define AP_ONCE_QUOTA_H

#include "once/table.h"

#define QUOTA_BUCKETS 16 /* time buckets of a permit's life in which permits are counted */

/**
 * struct quota_window - permits issued within the last ttl.
 * @start: of the newest time bucket
 * @buckets: permits issued in each time bucket, newest first
 */
typedef struct quota_window {
	ap_usec_t start;
	uint32_t buckets[QUOTA_BUCKETS];
} quota_window_t;

typedef struct quota_caller {
	char name[AP_NAME_MAX];
	quota_window_t window;
	UT_hash_handle hh;
} quota_caller_t;

typedef struct quota {
	ap_usec_t ttl;
	quota_window_t all;
	quota_caller_t *callers;
} quota_t;

/** quota_init() - @ttl: life of an unused permit. */
void quota_init(quota_t *q, ap_usec_t ttl, ap_usec_t now);
/** quota_clear() - deletes the counts of the callers; the count in all stays. */
void quota_clear(quota_t *q);
/**
 * quota_take() - counts one more permit of @caller, if the quotas allow it.
 * @total_max: unused permits allowed in all
 * @caller_max: unused permits allowed for one caller
 *
 * Return: AP_ONCE_OK, AP_ONCE_FULL or AP_ONCE_OVER_LIMIT; the permit is counted with AP_ONCE_OK
 * only.
 */
ap_once_status_t quota_take(quota_t *q, const char *caller, size_t total_max, size_t caller_max,
			    ap_usec_t now);

#endif
