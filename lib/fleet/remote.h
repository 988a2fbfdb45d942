/* Pools in remote regions. Included by private.h. */
#ifndef AP_FLEET_REMOTE_H
#define AP_FLEET_REMOTE_H

#define ANNOUNCED_WAITS 2 /* of priority 0, and of all requests */

/* A pool in a remote region. @key is "region pool". */
struct ap_remote_pool {
	UT_hash_handle hh;
	char key[2 * AP_NAME_MAX];
	ap_usec_t wait[ANNOUNCED_WAITS]; /* for priority 0, and for all requests */
	ap_usec_t announced_at;
	uint32_t sent_since; /* requests sent there since @announced_at */
	uint32_t running;    /* requests of this instance */
	ap_usec_t heard_at;  /* as of an upstream */
	ap_refusals_t refusals;
	ap_usec_t pause; /* that its upstreams asked of an instance there */
	ap_usec_t pause_until;
	ap_prefix_cache_t cache;
};

/* load.c */
ap_remote_pool_t *ap_remote_pool(ap_fleet_t *f, const char *region, const char *pool);
/*
 * Regions announce two waits: of requests of priority 0, and of the lowest priority, which wait for
 * all requests. Returns the one to announce and to use for @priority.
 */
static inline unsigned ap_announced_priority(unsigned priority)
{
	return priority == 0 ? 0 : AP_PRIORITIES - 1;
}

/* remote.c */
/* A request for which a local upstream was found is forwarded only for a gain above this. */
#define REMOTE_MARGIN_US 60000.0

/* An instance of a remote region to which a request may be forwarded. */
typedef struct ap_remote_candidate {
	const ap_member_t *member;
	double wait;
	double queue;
	uint32_t cached;
} ap_remote_candidate_t;

/*
 * Returns the region whose upstreams keep this prefix, by weighted rendezvous hash. NULL if
 * processing the prefix takes less time than forwarding the request.
 */
const char *ap_prefix_region(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);
/* Finds the best remote region. @prefix_region is assumed to have the prefix cached; may be NULL.
 */
bool ap_best_remote(ap_fleet_t *f, const ap_dispatch_t *req, const char *prefix_region,
		    ap_usec_t now, ap_remote_candidate_t *best);
void ap_fill_remote_target(const ap_remote_candidate_t *c, ap_target_t *target);

#endif
