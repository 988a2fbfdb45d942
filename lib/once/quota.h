/* How many unused permits are out, in all and for each caller. Private. */
#ifndef AP_ONCE_QUOTA_H
#define AP_ONCE_QUOTA_H

#include "once/table.h"

#define QUOTA_BUCKETS 16 /* parts of a permit's life by which permits are counted */

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

void quota_init(quota_t *q, ap_usec_t ttl, ap_usec_t now);
void quota_clear(quota_t *q);
/**
 * quota_take() - counts one more permit.
 * @room: permits that may be out in all
 * @share: permits of one caller that may be out
 *
 * Return: AP_ONCE_OK, AP_ONCE_FULL or AP_ONCE_OVER_LIMIT; only the first one counts.
 */
ap_once_status_t quota_take(quota_t *q, const char *caller, size_t room, size_t share,
			    ap_usec_t now);

#endif
