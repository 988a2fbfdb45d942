/*
 * Client of the platform over HTTP: key-value service (Consul's KV and session API), instance list
 * and client directory (JSON). Each task has its own object.
 */
#ifndef AP_PLATFORM_H
#define AP_PLATFORM_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"
#include "settings/settings.h"

#include <event2/event.h>

typedef struct ap_platform ap_platform_t;

/** ap_platform_new() - @settings must outlive the object; NULL if out of memory. */
ap_platform_t *ap_platform_new(struct event_base *base, const ap_settings_t *settings);
/**
 * ap_platform_fail_pending() - runs the callbacks of the key-value calls in progress, as failed.
 * Call it before ap_platform_free() if the callbacks free what their argument points to.
 */
void ap_platform_fail_pending(ap_platform_t *p);
/** ap_platform_free() - drops the calls in progress without running their callbacks. */
void ap_platform_free(ap_platform_t *p);
/** ap_platform_kv() - the key-value port; valid until @p is freed. */
ap_kv_port_t ap_platform_kv(ap_platform_t *p);

#define AP_ETAG_MAX 128 /* size with terminator; a longer ETag is ignored */

/**
 * struct ap_listing - one version of the instance list.
 * @bytes: length of the response
 * @etag: ETag of the response; empty if there is none
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
 * @known: the last listing, or NULL; if it has an ETag, an unchanged list is not sent again
 * @done: takes ownership of @listing and must free it with ap_listing_free(). @listing is NULL if
 *        the list could not be read (@err is set) or is unchanged since @known (@err is NULL)
 */
void ap_platform_list(ap_platform_t *p, const ap_listing_t *known,
		      void (*done)(void *ctx, ap_listing_t *listing, ap_err_t *err), void *ctx);
void ap_listing_free(ap_listing_t *listing);

/** ap_platform_publish() - writes the client directory's part for @region (JSON text). */
void ap_platform_publish(ap_platform_t *p, const char *region, const char *json,
			 void (*done)(void *ctx, bool ok), void *ctx);

typedef struct ap_platform_stats {
	uint64_t reads;	   /* calls that read the store, including blocking watches */
	uint64_t writes;   /* calls that write to the store, including session renewals */
	uint64_t failures; /* calls of any kind without a response */
} ap_platform_stats_t;

ap_platform_stats_t ap_platform_stats(const ap_platform_t *p);

#endif
