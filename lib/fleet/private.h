/* Internal state and functions of lib/fleet. */
#ifndef AP_FLEET_PRIVATE_H
#define AP_FLEET_PRIVATE_H

#include "fleet/evidence.h"
#include "fleet/fleet.h"
#include "fleet/room.h"
#include "fleet/stream-state.h"
#include "fleet/stream.h"
#include "wire/frame.h"

#include <sys/queue.h>

typedef struct ap_prefix_cache ap_prefix_cache_t;
typedef struct ap_cached_part ap_cached_part_t;

/*
 * A prompt part that is expected to be in a prefix cache, or unnamed tokens: tokens that are
 * counted without a part, so that they match no request but evict older entries.
 */
typedef struct ap_cache_entry {
	TAILQ_ENTRY(ap_cache_entry) by_age;
	LIST_ENTRY(ap_cache_entry) by_part;
	ap_prefix_cache_t *cache;
	ap_cached_part_t *part; /* NULL for unnamed tokens */
	uint32_t tokens;
} ap_cache_entry_t;

/* A prompt part and its entries in all caches. */
struct ap_cached_part {
	UT_hash_handle hh;
	uint64_t id;
	LIST_HEAD(, ap_cache_entry) entries;
};

/**
 * struct ap_prefix_cache - model of the KV cache of an upstream, or of a remote region as a whole.
 * @entries: the most recently used first
 * @tokens: sum over @entries
 */
struct ap_prefix_cache {
	TAILQ_HEAD(ap_cache_entry_list, ap_cache_entry) entries;
	uint64_t tokens;
};

/* In-flight requests at an upstream, by priority. */
typedef struct ap_load {
	uint32_t running[AP_PRIORITIES];
	uint32_t prefill[AP_PRIORITIES]; /* prompt tokens not processed yet */
	uint32_t kv;			 /* tokens of prompts and responses */
} ap_load_t;

/* Load that another instance announced for one upstream. */
typedef struct ap_announced_load {
	uint32_t tag;
	ap_load_t load;
} ap_announced_load_t;

/* A prefix sent to an upstream, to be announced to the other instances. */
typedef struct ap_new_prefix {
	uint64_t part;
	uint32_t tokens;
	uint32_t tag;
} ap_new_prefix_t;

/* Token bucket. */
typedef struct ap_bucket {
	double allowance;    /* requests */
	ap_usec_t filled_at; /* 0 before the first use */
} ap_bucket_t;

#define NEW_PREFIXES_MAX 64 /* per announcement; further ones are not announced */

/**
 * struct ap_leaving - an upstream that leaves; outlives its record.
 * @at: when it last said so, as far as this instance knows
 * @seen_at: when it last said so in a response to this instance; 0 for never
 * @ended_at: when a health check showed that it doesn't leave; 0 for never
 * @checked_at: time of the last health check that was to find out; 0 for none
 * @stop_announced: it announced when it stops: @stop
 * @stop_listed_at: when its entry was last there, since then
 */
typedef struct ap_leaving {
	UT_hash_handle hh;
	uint32_t tag;
	ap_usec_t at;
	ap_usec_t seen_at;
	ap_usec_t ended_at;
	ap_usec_t checked_at;
	bool stop_announced;
	ap_stop_t stop;
	ap_usec_t stop_listed_at;
} ap_leaving_t;

/**
 * struct ap_replica - an upstream.
 * @own_region: it is in this instance's region
 * @tag: hash of the id, which identifies the upstream in announcements
 * @build: of its pool and version
 * @models: versions of the weights that it is believed to have
 * @refused: of these, versions that it said not to have, while the one it has isn't known
 * @serial: number of this state; that of an upstream whose entry was gone for a while is a new one
 * @received_at: when the entry was last received
 * @changed_at: when a change of the entry was last received, which then was a moment old; a list or
 *              a snapshot may hold an entry of any age
 * @expires_at: when a missing entry is dropped; AP_NEVER while it is listed
 * @listed: received since ap_fleet_list_begin()
 * @address_reused: another upstream has the address
 * @heard_at: when this instance last had a chunk or the end of a response; 0 for never
 * @cold_until: end of the cold time, from the entry or a health check; 0 for none
 * @check_sent_at: time of the last health check; 0 for none
 * @check_answered_at: when the upstream last said whether it is cold
 * @announce_until: the result of the health check is announced until then
 * @watched: this instance sends health checks because the store is silent
 * @watch_sent_at: time of the last such check
 * @watch_pending: it has had no response yet
 * @watch_seen_at: time of the last response; 0 for none
 * @watch_from: when this instance begins; 0 while the store isn't silent
 * @cold: requests that this instance may send while the upstream is cold
 * @room: requests that this instance may send while its pool is shared, see room.c
 * @limited: the upstream names a limit, as of @limit_at
 * @limit: requests per second that it takes from all instances together
 * @limit_seen_at: when this instance last saw a response that named a limit, or the end of one
 * @limit_ended_at: when it saw the end
 * @within_limit: requests that this instance may send while there is a limit
 * @brittle: the upstream says, as of @brittle_at, that it is brittle
 * @refusals_max: requests that it may refuse in a second
 * @brittle_seen_at: when this instance last saw a response that said so; 0 for none
 * @beyond_share: requests that this instance may send beyond its share while it is brittle
 * @paused_until: this instance sends it nothing until then, after a refusal
 * @sends_until, @fetches_until: when the transfers that this instance asked for, from it and to it,
 *                               are expected to end
 * @own: load sent by this instance
 * @others: sum of the load announced by other instances of the region
 * @failure_rate: share of recent requests that failed, as of @failure_rate_at; decays
 * @failures: consecutive failures
 * @ejections: consecutive ejections
 * @ejected_until: end of the ejection; 0 when not ejected. The upstream is fully back after one
 *                 successful request that ended after this time
 * @trial: a request that decides on the end of the ejection is in flight
 * @path_lost_at: when a connection to the upstream failed; 0 if it has responded since
 * @path_checked_at: time of the last health check for it; 0 for none yet
 * @slowdown: ratio of observed to expected waits, as of @slowdown_at; decays towards 1
 * @broken: requests whose responses broke off, until it is known whether the upstream ended; NULL
 *          for none
 * @broken_checked_at: when a health check was last sent to find out; 0 for never
 * @new_unnamed_tokens: tokens outside the shared prefixes that this instance sent there since its
 *                      last announcement; announced as a count
 * @kv_tokens: KV cache size of the upstream's pool; 0 until a request for the pool was seen
 */
typedef struct ap_replica {
	UT_hash_handle hh;
	UT_hash_handle by_tag;
	ap_replica_entry_t entry;
	char region[AP_NAME_MAX];
	bool own_region;
	uint32_t tag;
	uint64_t build;
	ap_loaded_model_t models[AP_MODELS_MAX];
	ap_weights_t refused[AP_MODELS_MAX];
	size_t n_models;
	uint64_t serial;
	ap_usec_t received_at;
	ap_usec_t changed_at;
	ap_usec_t expires_at;
	bool listed;
	bool address_reused;
	ap_usec_t heard_at;
	ap_usec_t cold_until;
	ap_usec_t check_sent_at;
	ap_usec_t check_answered_at;
	ap_usec_t announce_until;
	bool watched;
	ap_usec_t watch_sent_at;
	bool watch_pending;
	ap_usec_t watch_seen_at;
	ap_usec_t watch_from;
	ap_bucket_t cold;
	ap_bucket_t room;
	bool limited;
	double limit;
	ap_usec_t limit_at;
	ap_usec_t limit_seen_at;
	ap_usec_t limit_ended_at;
	ap_bucket_t within_limit;
	bool brittle;
	double refusals_max;
	ap_usec_t brittle_at;
	ap_usec_t brittle_seen_at;
	ap_bucket_t beyond_share;
	ap_usec_t paused_until;
	ap_usec_t sends_until;
	ap_usec_t fetches_until;
	ap_load_t own;
	ap_load_t others;
	double failure_rate;
	ap_usec_t failure_rate_at;
	unsigned failures;
	unsigned ejections;
	ap_usec_t ejected_until;
	bool trial;
	ap_usec_t path_lost_at;
	ap_usec_t path_checked_at;
	double slowdown;
	ap_usec_t slowdown_at;
	ap_upstream_end_t *broken;
	ap_usec_t broken_checked_at;
	uint32_t new_unnamed_tokens;
	uint32_t kv_tokens;
	ap_prefix_cache_t cache;
} ap_replica_t;

#define LOST_POOLS_MAX 16	  /* of an instance; further ones count as reached */
#define CUT_OFF_TIME (1 * AP_SEC) /* without paths until the directory leaves an instance out */

/**
 * struct ap_member_state - another instance, or this one.
 * @removed: the entry is gone; the instance counts as live until @expires_at, and longer while it
 *           sends announcements
 * @listed: received since ap_fleet_list_begin()
 * @responded_at: when it last sent this instance a chunk or the end of a response; 0 for never
 * @suspect_until: end of the suspicion after a timeout or a failed connection
 * @draining_from: when the instance was first known to be draining
 * @draining_inc: the incarnation that announced that it is draining
 * @heard_at: time of the last announcement; 0 for none
 * @watches_store: the instance watches the store
 * @store_era, @store_revision: of the last change of the store that the instance read
 * @loads: its load at upstreams, as announced at @loads_at
 * @self: this instance
 * @own_region: of this instance's region
 * @tag, @data_centre, @region: hashes of these names
 * @relay_score, @watcher_score: rank among instances, by hash
 * @heard_inc, @heard_seq: incarnation and number of the last announcement
 * @named_relay: tag of the relay that it wants batches from; 0 for none
 * @serves: it passes on what others announce, as its last announcement says
 * @direct: messages for its region are sent to it, not to a relay
 * @relay_silent_until: it isn't wanted as a relay until then
 * @lost_pools: hashes of the pools that it has lost all paths to, as known until @lost_until
 * @lost_at: since when it has lost any; 0 for none
 * @demands: what it was asked for at plain pools, as announced at @demands_at
 */
typedef struct ap_member_state {
	UT_hash_handle hh;
	UT_hash_handle by_tag;
	ap_member_t member;
	bool removed;
	bool listed;
	ap_usec_t expires_at;
	ap_usec_t responded_at;
	ap_usec_t suspect_until;
	ap_usec_t draining_from;
	ap_id_t draining_inc;
	ap_usec_t heard_at;
	bool watches_store;
	uint64_t store_era;
	uint64_t store_revision;
	ap_announced_load_t *loads;
	size_t n_loads;
	ap_usec_t loads_at;
	bool self;
	bool own_region;
	uint32_t tag;
	uint32_t data_centre;
	uint32_t region;
	double relay_score;
	double watcher_score;
	ap_id_t heard_inc;
	uint64_t heard_seq;
	uint32_t named_relay;
	bool serves;
	bool direct;
	ap_usec_t relay_silent_until;
	uint64_t lost_pools[LOST_POOLS_MAX];
	size_t n_lost_pools;
	ap_usec_t lost_until;
	ap_usec_t lost_at;
	ap_room_demand_t demands[ROOM_POOLS_MAX];
	size_t n_demands;
	ap_usec_t demands_at;
} ap_member_state_t;

#define BUDGET_STEPS 10 /* steps of a retry window */

/* Requests and retries of the last window, per step. */
typedef struct ap_budget {
	uint32_t requests[BUDGET_STEPS];
	uint32_t retries[BUDGET_STEPS];
	int64_t step; /* current step, counted since time 0 */
} ap_budget_t;

/* Share of recent requests that were refused at a pool, as of @at; decays. */
typedef struct ap_refusals {
	double share;
	ap_usec_t at;
} ap_refusals_t;

/* Learned rates and the retry budget of a pool. */
typedef struct ap_pool_state {
	UT_hash_handle hh;
	char name[AP_NAME_MAX];
	double prefill_per_us; /* prompt tokens processed per microsecond */
	double mean_us;	       /* mean time of a request at an upstream; 0 until one was observed */
	double wait_scale;     /* ratio of observed to estimated waits for a slot */
	ap_usec_t warmup;      /* from the configuration; 0 until a request for the pool was seen */
	uint64_t build;	       /* of one upstream; while builds are counted */
	ap_loaded_model_t models[AP_MODELS_MAX]; /* likewise */
	size_t n_models;
	bool unknown;		/* of an upstream, no model is known */
	bool versions_told;	/* of the weights, by those that have served its streams */
	ap_refusals_t refusals; /* at the upstreams of the own region */
	ap_budget_t budget;
	ap_room_t room;
} ap_pool_state_t;

typedef struct ap_remote_pool ap_remote_pool_t;
typedef struct ap_backoff ap_backoff_t;

/* A data centre of the deployment. */
typedef struct ap_data_centre_state {
	UT_hash_handle hh;
	char data_centre[AP_NAME_MAX];
	char region[AP_NAME_MAX];
	bool evacuated;
	bool listed;
	ap_usec_t evacuation_began_at; /* when @evacuated was set */
	ap_usec_t evacuation_ended_at; /* end of the last evacuation; 0 for none */
	ap_usec_t reported_at;	       /* last report of one that is unknown here */
} ap_data_centre_state_t;

#include "fleet/fetch.h"

struct ap_fleet {
	ap_fleet_config_t config;
	ap_rng_t rng;
	ap_usec_t members_changed_at; /* time of the last change of the own region's instances; lies
				       * START_SETTLE_TIME ahead when this instance registers */
	ap_usec_t started_at;	      /* when this instance registered, or woke up; 0 before */
	ap_usec_t ticked_at;	      /* last tick; 0 for none */
	bool listing;		      /* a complete list is being read */
	size_t n_lost_paths;	      /* to upstreams of the own region, as of the last tick */
	ap_usec_t path_back_at;	      /* when one of them was last found back */
	bool informed;		      /* another instance said what it knows of cold upstreams */
	ap_fetch_stats_t fetches;
	ap_fetch_sources_t sources; /* for the request that is being placed */
	ap_quota_t *quota;	    /* allowances of customers */
	ap_usec_t sources_set_at;
	double patience;	 /* of the request that is being placed, see choose.c */
	size_t most_members;	 /* highest number of instances listed at once, with this one */
	uint64_t replicas_added; /* so far */
	ap_usec_t known_at;	 /* what an entry newly says was written after it; 0 if unknown */
	ap_replica_t *replicas;
	ap_replica_t *tagged; /* the same upstreams, by tag */
	ap_member_state_t *members;
	ap_member_state_t *member_tags; /* the same instances, by tag */
	ap_pool_state_t *pools;
	ap_remote_pool_t *remote_pools;
	ap_data_centre_state_t *data_centres;
	ap_leaving_t *leaving;	/* upstreams, listed or not */
	ap_backoff_t *backoffs; /* likewise */
	ap_cached_part_t *parts;
	uint64_t room_forwarded; /* beyond the room of this region, see room.c */
	uint64_t room_refused;
	bool loads_changed; /* an announcement changed @loads of a member */
	ap_new_prefix_t new_prefixes[NEW_PREFIXES_MAX];
	size_t n_new_prefixes;
	uint64_t announce_seq;
	ap_usec_t announced_at;
	ap_usec_t waits_announced_at;
	bool sent_long_prompt; /* a long prompt was sent since the last announcement */
	bool announced_load;   /* the last announcement held loads, health check results or
				* unnamed tokens */
	bool watches_store;
	uint64_t store_era;
	uint64_t store_revision;
	bool store_silent;
	ap_upstream_end_t ends[ENDS_MAX]; /* of engines, while their cause matters; in no order */
	size_t n_ends;
	ap_suspect_t *suspects;	       /* traits of @ends, and those that were cleared */
	ap_usec_t evidence_seen_at;    /* when this instance last saw something new of them */
	ap_usec_t evidence_changed_at; /* when it last saw or heard something new */
	ap_usec_t evidence_told_at;    /* to the own region */
	ap_usec_t evidence_told_remote_at;
	ap_usec_t store_read_at;	/* what was written before is known */
	ap_usec_t store_unbroken_since; /* no change was missed; 0 if some may be */
	ap_usec_t routes_moved_at;	/* streams got other pools, as far as known; 0: never */
	LIST_HEAD(, ap_stream_lookup) lookups;
	ap_stream_t streams[STREAMS_MAX];     /* ring */
	uint64_t n_streams;		      /* so far */
	uint64_t stream_buckets[STREAMS_MAX]; /* by id: number, from 1, of the latest stream */
	uint64_t streams_told_at_once; /* number of the first one of which no instance was told at
					  once */
	uint64_t streams_told;	       /* likewise the region */
	uint64_t streams_told_remote;
	ap_packed_streams_t packed;
	ap_gone_build_t gone_builds[GONE_BUILDS_MAX];
	ap_usec_t gone_build_dropped_at; /* time of the latest one that had to make room; 0: none */
	ap_gone_model_t gone_models[GONE_MODELS_MAX];
	uint64_t told_build;	   /* of the last stream whose version was told */
	ap_usec_t gone_dropped_at; /* time of the latest one that had to make room; 0 for none */
	bool relayed;		   /* relays pass on what is announced in this region */
	uint32_t relay_tag; /* of the relay that this instance wants batches from; 0 for none */
	ap_usec_t relay_heard_at; /* its last batch, or when it was named */
	bool served;		  /* it served as a relay at the last tick */
	msgpack_sbuffer batch;	  /* messages to be passed on */
	msgpack_packer batch_pk;  /* writes to @batch */
	size_t n_batched;
	ap_usec_t batch_sent_at;
	uint64_t batch_dropped;
	ap_skipped_t skipped;
	bool evidence_wanted; /* an instance that has just started needs all of it */
};

/* Returns an age for a message; @at may be a moment after @now, if it was seen meanwhile. */
static inline uint64_t ap_age_ms(ap_usec_t now, ap_usec_t at)
{
	return at < now ? (uint64_t)(now - at) / AP_MSEC : 0;
}

/* replica.c */
/*
 * Notices that the process was stopped, before its next tick: requests that arrived meanwhile are
 * handled first.
 */
void ap_notice_freeze(ap_fleet_t *f, ap_usec_t now);
void ap_report_replica_event(const ap_fleet_t *f, ap_fleet_event_kind_t kind, const ap_replica_t *r,
			     ap_usec_t lasts, ap_usec_t now);
ap_replica_t *ap_replica_find(const ap_fleet_t *f, const char *id);
/* Returns whether @r may get new requests, regardless of ejection and coldness. */
bool ap_replica_usable(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
bool ap_replica_evacuated(const ap_fleet_t *f, const ap_replica_t *r);
/* Returns whether @r is, or may be, cold and can take few requests only. @warmup is the pool's. */
bool ap_replica_cold(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t warmup, ap_usec_t now);
const ap_data_centre_state_t *ap_data_centre_find(const ap_fleet_t *f, const char *data_centre);
const char *ap_data_centre_region(const ap_fleet_t *f, const char *data_centre);

/*
 * Another instance says that an evacuation of @data_centre ended at @at, or began then and is in
 * progress. Has no effect if this instance knows of that evacuation, or of a later one; else the
 * data centre's upstreams may be cold.
 */
void ap_evacuation_heard(ap_fleet_t *f, const char *data_centre, bool ended, ap_usec_t at,
			 ap_usec_t now);
/* Returns the longest warmup time of the pools, as far as requests for them were seen. */
ap_usec_t ap_longest_warmup(const ap_fleet_t *f);

/* health-check.c */
/*
 * Returns whether @r may be cold because its data centre was evacuated, and has neither answered a
 * health check since the evacuation ended nor got an entry that was written since then; or because
 * the data centre is evacuated, as only other instances know.
 */
bool ap_replica_maybe_cold(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t warmup,
			   ap_usec_t now);
/*
 * Returns whether this instance started a short time ago and has not heard yet what others know:
 * entries in the store may say nothing of upstreams that became cold a moment ago.
 */
bool ap_fleet_uninformed(const ap_fleet_t *f, ap_usec_t now);

/* owner.c */
#define AP_OWNERS_MAX 2.0 /* instances that may take themselves for the owner during a change */
/* Returns how many instances of the region come before instance @id for @r. */
size_t ap_owner_rank(const ap_fleet_t *f, const ap_replica_t *r, const char *id, ap_usec_t now);
/* Returns whether this is the one instance of the region that may send to a restricted upstream. */
bool ap_owner_is_self(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* Returns whether this instance is the owner and @b, filled at @rate per second, has a request. */
bool ap_owner_allows(const ap_fleet_t *f, const ap_replica_t *r, ap_bucket_t *b, double rate,
		     ap_usec_t now);

/* ejection.c */
/* Returns whether @r is not ejected, or is due for a trial request. */
bool ap_replica_healthy(const ap_replica_t *r, ap_usec_t now);
double ap_replica_failure_rate(const ap_replica_t *r, ap_usec_t now);
/* Ends the ejection of @r. */
void ap_replica_readmit(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
void ap_replica_record_result(ap_fleet_t *f, ap_replica_t *r, ap_dispatch_result_t end, bool trial,
			      ap_usec_t now);

/* announce.c */
/*
 * Returns the time between announcements, which grows with the number of instances in the region so
 * that this instance sends at most MESSAGES_PER_SECOND.
 */
ap_usec_t ap_announce_interval(const ap_fleet_t *f);

/* prefix.c */
void ap_prefix_cache_init(ap_prefix_cache_t *c);
void ap_prefix_cache_clear(ap_fleet_t *f, ap_prefix_cache_t *c);
/* Returns how many leading tokens of the prompt are in @c. */
uint32_t ap_prefix_cache_match(const ap_fleet_t *f, const ap_prefix_cache_t *c,
			       const ap_dispatch_t *req);
void ap_prefix_cache_add(ap_fleet_t *f, ap_prefix_cache_t *c, const ap_dispatch_t *req,
			 uint64_t capacity);
/* Adds unnamed tokens, which no later request shares. */
void ap_prefix_cache_add_unnamed(ap_fleet_t *f, ap_prefix_cache_t *c, uint32_t tokens,
				 uint64_t capacity);
/* Removes the part @id, if it is there. */
void ap_prefix_cache_remove_part(ap_fleet_t *f, ap_prefix_cache_t *c, uint64_t id);
void ap_prefix_cache_add_part(ap_fleet_t *f, ap_prefix_cache_t *c, const ap_prompt_part_t *part,
			      uint64_t capacity);

/* member.c */
/* Records that an instance of the own region was added, removed or changed its draining state. */
void ap_member_changed(ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now);
/* Suspects @m after a timeout or a failed connection: other instances are preferred for a while. */
void ap_member_suspect(const ap_fleet_t *f, ap_member_state_t *m, ap_usec_t now);
/* Returns whether @m, an instance of the own region, announced something lately. */
bool ap_member_heard(const ap_member_state_t *m, ap_usec_t now);
bool ap_member_live(const ap_member_state_t *m, ap_usec_t now);
/* store-watch.c: rank of an instance among those that may watch the store for all. */
double ap_watcher_score(const char *id);
bool ap_is_live_other(const ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now);
bool ap_in_own_region(const ap_fleet_t *f, const ap_member_state_t *m);
ap_member_state_t *ap_member_find(const ap_fleet_t *f, const char *id);
/*
 * Returns a random live instance of @region, other than this one, that @req does not avoid and that
 * has a path to the pool; a suspected one only if there are no others. NULL if there is none.
 */
const ap_member_t *ap_pick_member(ap_fleet_t *f, const char *region, const ap_dispatch_t *req,
				  ap_usec_t now);

/* Returns whether both the route and the customer may be served in @region. */
static inline bool ap_dispatch_allows_region(const ap_dispatch_t *req, const char *region)
{
	return ap_plan_allows_region(req->route, region) &&
	       ap_customer_allows_region(req->customer, region);
}

/* load.c */
ap_pool_state_t *ap_pool_state(ap_fleet_t *f, const char *pool);
static inline unsigned ap_dispatch_priority(const ap_dispatch_t *req)
{
	unsigned priority = ap_dispatch_rank(req);

	return priority < AP_PRIORITIES ? priority : AP_PRIORITIES - 1;
}

/*
 * Returns the wait of requests of @priority for a slot at the pool's upstreams of this region;
 * AP_NEVER if none is usable.
 */
ap_usec_t ap_pool_wait(ap_fleet_t *f, const ap_pool_state_t *p, unsigned priority, ap_usec_t now);
/*
 * Returns the time that is lost on average where a share of the requests is refused: an upstream
 * that refuses what it has no room for never has a long queue, however little it can take.
 */
double ap_refused_share(const ap_refusals_t *refusals, ap_usec_t now);
double ap_refusals_us(const ap_refusals_t *refusals, const ap_dispatch_t *req, ap_usec_t now);
/* Sums up what the other instances announced, for each upstream. */
void ap_load_recount(ap_fleet_t *f, ap_usec_t now);
/* Returns the expected time to the first chunk at @r, which has to process @uncached tokens. */
double ap_replica_wait_us(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
			  uint32_t uncached);
double ap_replica_slowdown(const ap_replica_t *r, ap_usec_t now);
/* Returns the expected time to the first chunk at an upstream that is idle. */
double ap_dispatch_service_us(ap_fleet_t *f, const ap_dispatch_t *req, uint32_t cached);
uint32_t ap_replica_running(const ap_replica_t *r);
/* Returns how many of them are requests of this instance. */
uint32_t ap_replica_own_running(const ap_replica_t *r);
/* Returns whether a target with @running own requests may be as silent as the one that has @req. */
bool ap_is_silent(uint32_t running, ap_usec_t heard_at, const ap_dispatch_t *req);
ap_replica_t *ap_replica_by_tag(const ap_fleet_t *f, uint32_t tag);
/* Queues for the next announcement that @req's prefix was sent to @r, which has @cached tokens. */
void ap_announce_prefixes_later(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
				uint32_t cached);
uint32_t ap_replica_slots(const ap_replica_t *r, const ap_plan_pool_t *pool);

/* choose.c */
/* Returns whether @r is a usable upstream of @region that has the pool and build of @req. */
bool ap_replica_serves(const ap_fleet_t *f, const ap_replica_t *r, const char *region,
		       const ap_dispatch_t *req, ap_usec_t now);
/* Returns a hash of the shared prefix: of all parts but the last, which is the request's own. */
uint64_t ap_dispatch_prefix_key(const ap_dispatch_t *req);
uint32_t ap_dispatch_prefix_tokens(const ap_dispatch_t *req);
/* Returns the time to process the prompt without its @cached tokens. */
double ap_prefill_us(ap_fleet_t *f, const ap_dispatch_t *req, uint32_t cached);

bool ap_dispatch_tried(const ap_dispatch_t *req, const char *id);
bool ap_dispatch_avoids(const ap_dispatch_t *req, const char *id);

#include "fleet/condition.h"
#include "fleet/relay.h"
#include "fleet/usage.h"
#include "fleet/remote.h"

#endif
