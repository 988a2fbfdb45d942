/*
 * The platform over HTTP: key-value service (Consul's published KV and session interface),
 * instance list and client directory (JSON). One object a task.
 */
#ifndef AP_PLATFORM_H
#define AP_PLATFORM_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"
#include "settings/settings.h"

#include <event2/event.h>

typedef struct ap_platform ap_platform_t;

ap_platform_t *ap_platform_new(struct event_base *base, const ap_settings_t *settings);
/**
 * ap_platform_fail_pending() - ends the key-value calls in progress with their callbacks. For
 * owners that have given up their calls and free what belongs to one in its callback;
 * ap_platform_free() follows.
 */
void ap_platform_fail_pending(ap_platform_t *p);
/** ap_platform_free() - drops calls in progress without a callback. */
void ap_platform_free(ap_platform_t *p);
/** ap_platform_kv() - the key-value port; valid while @p lives. */
ap_kv_port_t ap_platform_kv(ap_platform_t *p);

#define AP_ETAG_MAX 128 /* a longer one is taken for none */

/**
 * struct ap_listing - one reading of the instance list.
 * @bytes: length of the answer
 * @tag: its ETag; empty when the platform gives none
 */
typedef struct ap_listing {
	ap_upstream_t *upstreams;
	size_t n_upstreams;
	ap_entry_t *entries;
	size_t n_entries;
	size_t bytes;
	char etag[AP_ETAG_MAX];
} ap_listing_t;

/**
 * ap_platform_list() - reads the instance list.
 * @known: last reading, or NULL; where the platform gives tags, it isn't sent again unchanged
 * @done: gets NULL and @err when the list could not be read, NULL and no @err when it is as @known
 */
void ap_platform_list(ap_platform_t *p, const ap_listing_t *known,
		      void (*done)(void *ctx, ap_listing_t *listing, ap_err_t *err), void *ctx);
void ap_listing_free(ap_listing_t *listing);

/** ap_platform_publish() - writes the client directory's entries of @region (JSON text). */
void ap_platform_publish(ap_platform_t *p, const char *region, const char *json,
			 void (*done)(void *ctx, bool ok), void *ctx);

typedef struct ap_platform_stats {
	uint64_t reads;	 /* calls that read the store, waiting watches included */
	uint64_t writes; /* calls that write to the store, session renewals included */
	uint64_t failures;
} ap_platform_stats_t;

ap_platform_stats_t ap_platform_stats(const ap_platform_t *p);

#endif
