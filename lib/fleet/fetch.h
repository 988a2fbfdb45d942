/* Fetching kept parts of prompts, see fetch.c. Private to lib/fleet; included by private.h. */
#ifndef AP_FLEET_FETCH_H
#define AP_FLEET_FETCH_H

#define AP_FETCH_SOURCES_MAX 4

/**
 * struct ap_fetch_sources - engines that keep most of the prompt of the request being placed.
 * @tokens: of the leading parts, that each of them keeps
 */
typedef struct ap_fetch_sources {
	ap_replica_t *v[AP_FETCH_SOURCES_MAX];
	uint32_t tokens[AP_FETCH_SOURCES_MAX];
	size_t n;
} ap_fetch_sources_t;

/**
 * struct ap_fetch - from where an engine would fetch a part of a prompt.
 * @source: NULL for none
 * @tokens: of the leading parts, that it would have then
 * @time: that the transfer takes, in microseconds
 */
typedef struct ap_fetch {
	ap_replica_t *source;
	uint32_t tokens;
	double time;
} ap_fetch_t;

/* Finds the sources for @req. */
void ap_fetch_find(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, ap_fetch_sources_t *all);
/*
 * Returns the fetch that saves @r, which keeps @cached tokens of the prompt, most time; one without
 * a source if reading takes less.
 */
ap_fetch_t ap_fetch_for(ap_fleet_t *f, const ap_dispatch_t *req, const ap_fetch_sources_t *all,
			const ap_replica_t *r, uint32_t cached, ap_usec_t now);
/* Fills @target with @fetch, by an engine that keeps @kept tokens itself. */
void ap_fetch_fill(const ap_fetch_t *fetch, uint32_t kept, ap_target_fetch_t *target);
/* A request was sent that asks for a fetch. */
void ap_fetch_sent(ap_fleet_t *f, const ap_target_t *target, ap_usec_t now,
		   ap_inflight_t *inflight);
/* The first chunk of the response has arrived: nothing may have been fetched. */
void ap_fetch_done(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now);

#endif
