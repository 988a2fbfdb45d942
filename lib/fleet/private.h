/* State of the fleet, private to this package. */
#ifndef AP_FLEET_PRIVATE_H
#define AP_FLEET_PRIVATE_H

#include "fleet/fleet.h"

#include <sys/queue.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

typedef struct ap_prefix_cache ap_prefix_cache_t;
typedef struct ap_cached_part ap_cached_part_t;

/* One part of prompts that a holder is believed to have cached, or tokens without a name. */
typedef struct ap_cache_entry {
	TAILQ_ENTRY(ap_cache_entry) by_age;
	LIST_ENTRY(ap_cache_entry) by_part;
	ap_prefix_cache_t *cache;
	ap_cached_part_t *part; /* NULL for tokens without a name */
	uint32_t tokens;
} ap_cache_entry_t;

struct ap_cached_part {
	UT_hash_handle hh;
	uint64_t id;
	LIST_HEAD(, ap_cache_entry) entries;
};

/**
 * struct ap_prefix_cache - KV cache of an upstream, or of another region as a whole.
 * @tokens: sum over @entries, the most recently used first
 */
struct ap_prefix_cache {
	TAILQ_HEAD(ap_cache_entry_list, ap_cache_entry) entries;
	uint64_t tokens;
};

/* Work at an upstream, by whoever sent it; by priority, the most urgent first. */
typedef struct ap_load {
	uint32_t running[AP_PRIORITIES];
	uint32_t prefill[AP_PRIORITIES]; /* prompt tokens to be read before the first piece */
	uint32_t kv;			 /* tokens of prompts and answers */
} ap_load_t;

/* Work of another instance at one upstream, as it told. */
typedef struct ap_announced_load {
	uint32_t tag;
	ap_load_t load;
} ap_announced_load_t;

/* A prefix that was sent to an upstream and that others don't know of yet. */
typedef struct ap_new_prefix {
	uint64_t part;
	uint32_t tokens;
	uint32_t tag;
} ap_new_prefix_t;

#define NEW_PREFIXES_MAX 64 /* between two rounds of telling; more are not told */

/**
 * struct ap_replica - an upstream.
 * @tag: its id's hash, by which instances name it to each other
 * @seen: when its entry came last
 * @lapses: when a missing entry is taken to be gone; AP_NEVER while it is listed
 * @leaves: when it goes whatever it is running; AP_NEVER when not told
 * @listed: in the list that is being read
 * @gone: another upstream has its address
 * @cold_until: by its entry
 * @own: work that this instance sent
 * @others: sum of what instances of this region told
 * @failing: share of recent work that failed, aged
 * @failures: in a row
 * @until: ejected until then
 * @trial: one request is finding out whether it is well again
 * @cold_tokens: requests that may be sent to it while it is cold
 */
typedef struct ap_replica {
	UT_hash_handle hh;
	UT_hash_handle by_tag;
	ap_replica_entry_t entry;
	char region[AP_NAME_MAX];
	uint32_t tag;
	ap_usec_t seen;
	ap_usec_t expires_at;
	ap_usec_t shutdown_at;
	bool listed;
	bool address_reused;
	ap_usec_t cold_until;
	ap_usec_t check_sent_at;     /* for its health, last; 0 for never */
	ap_usec_t check_answered_at; /* when it said last whether it is cold */
	ap_usec_t announce_until;    /* the others are told of that until then */
	double cold_tokens;
	ap_usec_t cold_at;
	ap_load_t own;
	ap_load_t others;
	double failure_rate;
	ap_usec_t failure_rate_at;
	unsigned failures;
	unsigned ejections;
	ap_usec_t ejected_until;
	bool trial;
	double slowdown; /* seen against expected waits, 1 for as expected */
	ap_usec_t slowdown_at;
	uint32_t unannounced_tokens; /* tokens sent there that others are not told of as prefixes,
					untold */
	uint32_t kv_tokens;	     /* of its pool, known once work was sent there; 0 before */
	ap_prefix_cache_t cache;
} ap_replica_t;

/**
 * struct ap_member_state - another instance, or this one.
 * @removed: its entry is gone; it counts as live until @lapses
 * @listed: in the list that is being read
 * @suspect_until: it was silent or had no connection
 * @left: the incarnation that said that it leaves
 * @heard_at: when it told something last; 0 for never
 * @watching: it watches the store
 * @changed: the last change that it read there
 * @loads: its work at upstreams, as it told at @loads_at
 */
typedef struct ap_member_state {
	UT_hash_handle hh;
	ap_member_t member;
	bool removed;
	bool listed;
	ap_usec_t expires_at;
	ap_usec_t suspect_until;
	ap_usec_t draining_from;
	ap_id_t draining_inc;
	ap_usec_t heard_at;
	bool watches_store;
	uint64_t store_revision;
	ap_announced_load_t *loads;
	size_t n_loads;
	ap_usec_t loads_at;
} ap_member_state_t;

#define BUDGET_STEPS 10 /* parts of a window that are counted apart */

/* Requests and repetitions of the last window, by part of it. */
typedef struct ap_budget {
	uint32_t requests[BUDGET_STEPS];
	uint32_t retries[BUDGET_STEPS];
	int64_t step; /* the present one, counted since time 0 */
} ap_budget_t;

/* What is known of one pool: learned rates, and what was repeated. */
typedef struct ap_pool_state {
	UT_hash_handle hh;
	char name[AP_NAME_MAX];
	double prefill_per_us; /* prompt tokens read in a microsecond */
	double mean_us;	       /* time of one request at an upstream */
	double wait_scale;     /* seen against reckoned waits for a place */
	ap_usec_t warmup;      /* as the configuration says, once work looked for an upstream */
	ap_budget_t budget;
} ap_pool_state_t;

/* What is known of one pool in another region. */
typedef struct ap_remote_pool {
	UT_hash_handle hh;
	char key[2 * AP_NAME_MAX];
	ap_usec_t wait[2]; /* of the most urgent req, and of any other */
	ap_usec_t announced_at;
	uint32_t sent_since; /* requests sent there since */
	ap_prefix_cache_t cache;
} ap_remote_pool_t;

/* A data centre of the deployment. */
typedef struct ap_data_centre_state {
	UT_hash_handle hh;
	char data_centre[AP_NAME_MAX];
	char region[AP_NAME_MAX];
	bool evacuated;
	bool listed;
	ap_usec_t evacuation_ended_at; /* when its evacuation ended; 0 for never */
} ap_data_centre_state_t;

struct ap_fleet {
	ap_fleet_config_t config;
	ap_rng_t rng;
	ap_usec_t members_changed; /* when those of the own region did last; at first later */
	size_t most_members;	   /* live instances that were known at once, own one included */
	ap_replica_t *replicas;
	ap_replica_t *tagged; /* the same ones, by tag */
	ap_member_state_t *members;
	ap_pool_state_t *pools;
	ap_remote_pool_t *remote_pools;
	ap_data_centre_state_t *data_centres;
	ap_cached_part_t *parts;
	bool loads_changed; /* what others told has changed */
	ap_new_prefix_t new_prefixes[NEW_PREFIXES_MAX];
	size_t n_new_prefixes;
	uint64_t announce_seq;
	ap_usec_t announced_at;
	ap_usec_t waits_announced_at;
	bool sent_long_prompt; /* a prompt that takes long to read, since the last round */
	bool announced_load;   /* the last round told of some work */
	bool watches_store;
	uint64_t store_revision;
};

/* replica.c */
void ap_report_replica_event(const ap_fleet_t *f, ap_fleet_event_kind_t belief,
			     const ap_replica_t *r, ap_usec_t lasts, ap_usec_t now);
ap_replica_t *ap_replica_find(const ap_fleet_t *f, const char *id);
/* Is @r in a state in which it may get new work? */
bool ap_replica_usable(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
bool ap_replica_evacuated(const ap_fleet_t *f, const ap_replica_t *r);
/* Does @r bear few requests only? @warmup is how long that lasts. */
bool ap_replica_cold(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t warmup, ap_usec_t now);
const ap_data_centre_state_t *ap_data_centre_find(const ap_fleet_t *f, const char *data_centre);
const char *ap_data_centre_region(const ap_fleet_t *f, const char *data_centre);

/* doubt.c: is it not known whether @r is cold? */
bool ap_replica_maybe_cold(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t warmup,
			   ap_usec_t now);
/* It said itself how much longer it is cold, to this instance or to another one. */
void ap_replica_set_cold_left(ap_replica_t *r, ap_usec_t cold_left, ap_usec_t now);

/* cold.c: the one instance that may send to a cold upstream, at a bounded rate */
bool ap_cold_allows(ap_fleet_t *f, ap_replica_t *r, const ap_plan_pool_t *pool, ap_usec_t now);
/* Is this the instance that may send to @r while it is cold? */
bool ap_cold_is_owner(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
void ap_cold_sent(ap_replica_t *r);

/* health.c */
bool ap_replica_healthy(const ap_replica_t *r, ap_usec_t now);
double ap_replica_failure_rate(const ap_replica_t *r, ap_usec_t now);
void ap_replica_record_result(ap_fleet_t *f, ap_replica_t *r, ap_dispatch_result_t end, bool trial,
			      ap_usec_t now);

/* prefix.c */
void ap_prefix_cache_init(ap_prefix_cache_t *c);
void ap_prefix_cache_clear(ap_fleet_t *f, ap_prefix_cache_t *c);
/* Tokens of @work's prompt that @h has cached. */
uint32_t ap_prefix_cache_match(const ap_fleet_t *f, const ap_prefix_cache_t *c,
			       const ap_dispatch_t *req);
void ap_prefix_cache_add(ap_fleet_t *f, ap_prefix_cache_t *c, const ap_dispatch_t *req,
			 uint64_t capacity);
/* Tokens that nobody asks for again took the place of older ones. */
void ap_prefix_cache_add_unnamed(ap_fleet_t *f, ap_prefix_cache_t *c, uint32_t tokens,
				 uint64_t capacity);
void ap_prefix_cache_add_part(ap_fleet_t *f, ap_prefix_cache_t *c, const ap_prompt_part_t *part,
			      uint64_t capacity);

/* member.c */
/* Notes a change of who is in the own region, or of who leaves it. */
void ap_member_changed(ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now);
/* It was silent or had no connection: others are asked first for a while. */
void ap_member_suspect(const ap_fleet_t *f, ap_member_state_t *m, ap_usec_t now);
bool ap_member_live(const ap_member_state_t *m, ap_usec_t now);
ap_member_state_t *ap_member_find(const ap_fleet_t *f, const char *id);
/* A live instance of @region that @work does not avoid, a suspected one only for want of others. */
const ap_member_t *ap_pick_remote_member(ap_fleet_t *f, const char *region,
					 const ap_dispatch_t *req, ap_usec_t now);

/* load.c */
ap_pool_state_t *ap_pool_state(ap_fleet_t *f, const char *pool);
static inline unsigned ap_dispatch_rank(const ap_dispatch_t *req)
{
	unsigned priority = req->route->priority;

	return priority < AP_PRIORITIES ? priority : AP_PRIORITIES - 1;
}

/* Two ranks are told apart between regions: the most urgent req, and all. */
static inline unsigned ap_announced_rank(unsigned priority)
{
	return priority == 0 ? 0 : AP_PRIORITIES - 1;
}

/*
 * Wait of work of @rank for a place at the pool's upstreams of this region; AP_NEVER when none is
 * usable.
 */
ap_usec_t ap_pool_wait(ap_fleet_t *f, const ap_pool_state_t *p, unsigned rank, ap_usec_t now);
ap_remote_pool_t *ap_remote_pool(ap_fleet_t *f, const char *region, const char *pool);
void ap_load_recount(ap_fleet_t *f, ap_usec_t now);
/* Expected time to the first piece of @work at @r, of which @uncached prompt tokens are read. */
double ap_replica_wait_us(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
			  uint32_t uncached);
double ap_replica_slowdown(const ap_replica_t *r, ap_usec_t now);
/* The part of that which @work takes by itself, with nothing else there. */
double ap_dispatch_service_us(ap_fleet_t *f, const ap_dispatch_t *req, uint32_t cached);
uint32_t ap_replica_running(const ap_replica_t *r);
ap_replica_t *ap_replica_by_tag(const ap_fleet_t *f, uint32_t tag);
/* Notes for the next round that @work goes to @r, where @cached tokens of it need no reading. */
void ap_announce_prefixes_later(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
				uint32_t cached);
uint32_t ap_replica_slots(const ap_replica_t *r, const ap_plan_pool_t *pool);

/* choose.c */
/* Names the prefix: all parts but the last, which is the request's own. */
uint64_t ap_dispatch_prefix_key(const ap_dispatch_t *req);
uint32_t ap_dispatch_prefix_tokens(const ap_dispatch_t *req);
/* Time to read what is not cached of a prompt. */
double ap_prefill_us(ap_fleet_t *f, const ap_dispatch_t *req, uint32_t cached);

/* away.c */
#define REMOTE_MARGIN_US 60000.0 /* a region is left for a clear gain only */

/* An instance of another region that may take the work. */
typedef struct ap_remote_candidate {
	const ap_member_t *member;
	double wait;
	double queue;
	uint32_t cached;
} ap_remote_candidate_t;

/*
 * The region whose upstreams keep this prefix, by weighted hash. NULL when to read it anew is
 * shorter than the way.
 */
const char *ap_prefix_region(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);
/* The best other region; @prefix_region is the one that is taken to have the prefix cached, or
 * NULL. */
bool ap_best_remote(ap_fleet_t *f, const ap_dispatch_t *req, const char *prefix_region,
		    ap_usec_t now, ap_remote_candidate_t *best);
void ap_fill_remote_target(const ap_remote_candidate_t *c, ap_target_t *target);

bool ap_dispatch_tried(const ap_dispatch_t *req, const char *id);
bool ap_dispatch_avoids(const ap_dispatch_t *req, const char *id);

#endif
