/*
 * What an instance believes about upstreams and other instances, and where it sends a request:
 * who may get new req, what each is expected to take, which prompt prefixes it has cached, and
 * which other region is better. Pure decisions: records, time and ends of work come in.
 */
#ifndef AP_FLEET_H
#define AP_FLEET_H

#include "base/base.h"
#include "plan/plan.h"
#include "port/port.h"

#define AP_PROMPT_PARTS_MAX 16 /* parts of a prompt that are looked at */
#define AP_TRIED_MAX 6	       /* targets that one request remembers */
#define AP_PRIORITIES 10       /* ranks that engines know, 0 is the most urgent */

/**
 * struct ap_replica_entry - an upstream as the platform lists it.
 * @id: new at each start of the upstream
 * @cold_left: how much longer it is cold
 * @shutdown_in: when it goes whatever it is running; AP_NEVER when not told
 */
typedef struct ap_replica_entry {
	char id[AP_NAME_MAX];
	char pool[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t port;
	char data_centre[AP_NAME_MAX];
	uint32_t slots;
	bool draining;
	ap_usec_t cold_left;
	ap_usec_t shutdown_in;
} ap_replica_entry_t;

/**
 * struct ap_member - another instance as it entered itself.
 * @peer_port: where it takes requests of other regions
 * @cores: share of a core that it has
 * @leaving: takes no new callers
 */
typedef struct ap_member {
	char id[AP_NAME_MAX];
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t caller_port;
	uint16_t peer_port;
	double cores;
	bool draining;
} ap_member_t;

/* One part of a prompt; requests that share all parts before it share its KV cache. */
typedef struct ap_prompt_part {
	uint64_t id;
	uint32_t tokens;
} ap_prompt_part_t;

/**
 * struct ap_dispatch - what is known of a request that looks for an upstream.
 * @stay: came from another region, so it is served or refused here
 * @deadline: absolute time of the final answer
 * @parts: of its prompt, in order; the last one is its own or its session's
 * @tried: targets that failed it; they come last
 * @avoid: targets that must not be asked again
 */
typedef struct ap_dispatch {
	const ap_plan_route_t *route;
	const ap_plan_pool_t *pool;
	bool local_only;
	ap_usec_t deadline;
	uint32_t tokens_in;
	uint32_t tokens_out;
	ap_prompt_part_t parts[AP_PROMPT_PARTS_MAX];
	size_t n_parts;
	char tried[AP_TRIED_MAX][AP_NAME_MAX];
	size_t n_tried;
	char avoid[AP_TRIED_MAX][AP_NAME_MAX];
	size_t n_avoid;
} ap_dispatch_t;

/**
 * struct ap_target - where a request goes.
 * @remote: an instance of another region, not an upstream
 * @wait: expected time to the first piece of the answer
 * @queue: part of it that is others' work
 * @cached: prompt tokens that are expected to be cached there
 * @known_for: age of the record behind it
 * @running: requests it is believed to work on
 */
typedef struct ap_target {
	bool remote;
	char id[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t port;
	char region[AP_NAME_MAX];
	ap_usec_t wait;
	ap_usec_t queue;
	uint32_t cached;
	ap_usec_t entry_age;
	uint32_t running;
} ap_target_t;

typedef enum ap_fleet_status {
	AP_FLEET_OK,
	AP_FLEET_NONE, /* nothing allowed is usable */
	AP_FLEET_LATE, /* nothing allowed can answer in time */
} ap_fleet_status_t;

/* How work at a target ended. */
typedef enum ap_dispatch_result {
	AP_DISPATCH_DONE,	    /* whole answer */
	AP_DISPATCH_ERROR,	    /* whole answer that says it failed */
	AP_DISPATCH_REFUSED,	    /* it said that it did not run */
	AP_DISPATCH_ADDRESS_REUSED, /* another upstream has the address */
	AP_DISPATCH_UNREACHABLE,    /* no connection */
	AP_DISPATCH_BROKEN,	    /* short or bad answer, reset */
	AP_DISPATCH_TIMED_OUT,	    /* nothing came within a limit */
	AP_DISPATCH_CANCELLED,	    /* the caller left; says nothing about the target */
} ap_dispatch_result_t;

/**
 * struct ap_inflight - work under way at a target; unannounced_tokens by ap_fleet_sent().
 */
typedef struct ap_inflight {
	bool open;
	bool remote;
	bool trial;
	char id[AP_NAME_MAX];
	char pool[AP_NAME_MAX];
	char region[AP_NAME_MAX];
	unsigned priority;
	bool first;	  /* its first piece has come */
	bool alone;	  /* nothing else waited there when it was sent */
	double slot_wait; /* reckoned wait for a place there, in microseconds, before scaling */
	ap_usec_t first_at;
	uint32_t prefill;
	uint32_t kv;
	ap_usec_t sent;
	ap_usec_t expected;
} ap_inflight_t;

/*
 * What an instance comes to believe by itself, from answers and time. What the store said has
 * records of its own.
 */
typedef enum ap_fleet_event_kind {
	AP_FLEET_EVENT_EJECTED,	       /* an upstream failed and gets nothing for a while */
	AP_FLEET_EVENT_RECOVERED,      /* it answered again */
	AP_FLEET_EVENT_ADDRESS_REUSED, /* another upstream has its address */
	AP_FLEET_EVENT_EXPIRED,	       /* its entry did not come back when the store did */
	AP_FLEET_EVENT_SUSPECTED,      /* another instance had no connection, or was silent */
	AP_FLEET_EVENT_KINDS,
} ap_fleet_event_kind_t;

/**
 * struct ap_fleet_event - one change of mind, for the log.
 * @id: the upstream or instance
 * @known_for: age of the record in the store behind it
 * @lasts: how long it will hold at least; 0 when that is not known
 * @failures: seen in a row before it
 */
typedef struct ap_fleet_event {
	ap_fleet_event_kind_t kind;
	const char *id;
	ap_usec_t entry_age;
	ap_usec_t lasts;
	unsigned failures;
} ap_fleet_event_t;

/**
 * struct ap_fleet_config - made once at start.
 * @id: own id, which is never a target
 * @inc: own incarnation
 * @cold_over, @cold_slack: a cold upstream bears @cold_over times its rate and @cold_slack more
 * @repeat_ratio, @repeat_slack, @repeat_window: all instances together may send this part of a
 *                pool's requests, and @repeat_slack more, once more in any such window
 * @entry_grace: how long an entry that lapsed with the store away may stay believed
 * @believed: is told of each change of mind; may be NULL
 */
typedef struct ap_fleet_config {
	char id[AP_NAME_MAX];
	ap_id_t inc;
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	double cold_over;
	double cold_slack;
	double retry_ratio;
	double retry_slack;
	ap_usec_t retry_window;
	ap_usec_t entry_grace;
	uint64_t seed;
	void *ctx;
	void (*on_event)(void *ctx, const ap_fleet_event_t *note);
} ap_fleet_config_t;

typedef struct ap_fleet ap_fleet_t;

ap_fleet_t *ap_fleet_new(const ap_fleet_config_t *config);
void ap_fleet_free(ap_fleet_t *f);
/** ap_fleet_set_bounds() - takes the bounds of @config over; identity and seed stay. */
void ap_fleet_set_bounds(ap_fleet_t *f, const ap_fleet_config_t *config);
/** ap_fleet_set_data_centre() - in which region a data centre is; to be told before any entry. */
void ap_fleet_set_data_centre(ap_fleet_t *f, const char *data_centre, const char *region);

/* Beliefs: replica.c */
void ap_fleet_update_replica(ap_fleet_t *f, const ap_replica_entry_t *entry, ap_usec_t now);
/**
 * ap_fleet_remove_replica() - the entry of @id is gone.
 * @unsure: it lapsed while the store was away, and may come back
 */
void ap_fleet_remove_replica(ap_fleet_t *f, const char *id, bool unsure, ap_usec_t now);
/**
 * ap_fleet_list_begin() - a whole list of the store follows; ap_fleet_list_end() removes the
 * upstreams, evacuations and instances that were not in it.
 */
void ap_fleet_list_begin(ap_fleet_t *f);
void ap_fleet_list_end(ap_fleet_t *f, bool unsure, ap_usec_t now);
/** ap_fleet_evacuate() - nothing more for the upstreams of @data_centre, until @off. */
void ap_fleet_evacuate(ap_fleet_t *f, const char *data_centre, bool off, ap_usec_t now);
/**
 * ap_fleet_next_health_check() - an upstream whose health is to be asked, because nobody knows
 * whether it is cold. To be called until there is none.
 */
bool ap_fleet_next_health_check(ap_fleet_t *f, ap_usec_t now, ap_replica_entry_t *replica);
/** ap_fleet_health_checked() - it said how much longer it is cold, 0 for not at all. */
void ap_fleet_health_checked(ap_fleet_t *f, const char *id, ap_usec_t cold_left, ap_usec_t now);
/** ap_fleet_tick() - forgets what has lapsed; some times a second. */
void ap_fleet_tick(ap_fleet_t *f, ap_usec_t now);
/** ap_fleet_after_freeze() - the process stood still: what it measured is void. */
void ap_fleet_after_freeze(ap_fleet_t *f);

/* Other instances: member.c */
void ap_fleet_update_member(ap_fleet_t *f, const ap_member_t *member, ap_usec_t now);
void ap_fleet_remove_member(ap_fleet_t *f, const char *id, ap_usec_t now);
/** ap_fleet_active_peers() - live instances of the own region that don't leave, itself left out. */
size_t ap_fleet_active_peers(const ap_fleet_t *f, ap_usec_t now);
/** ap_fleet_count_members() - live instances of @region, or of all regions when it is NULL. */
size_t ap_fleet_count_members(const ap_fleet_t *f, const char *region);
/** ap_fleet_knows_host() - did an instance enter itself with this address? */
bool ap_fleet_knows_host(const ap_fleet_t *f, const char *host);
/** ap_fleet_each_member() - shows every known instance, live or not. */
void ap_fleet_each_member(const ap_fleet_t *f, void (*show)(void *ctx, const ap_member_t *member),
			  void *ctx);
/**
 * ap_fleet_directory() - instances that callers of @region should use.
 * @plan, @host: where what they ask for may be served; @plan may be NULL
 * @out: pointers that are valid until the next change
 * @stopgap: none of their region is there to stay; they should ask again soon
 *
 * Return: how many were written, at most @max.
 */
size_t ap_fleet_directory(const ap_fleet_t *f, const ap_plan_t *plan, const char *host,
			  const char *region, const ap_member_t **out, size_t max, bool *fallback,
			  ap_usec_t now);

/* Work: choose.c and load.c */
ap_fleet_status_t ap_fleet_choose(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now,
				  ap_target_t *target);
/** ap_fleet_sent() - the work goes to @target now. */
void ap_fleet_sent(ap_fleet_t *f, const ap_dispatch_t *req, const ap_target_t *target,
		   ap_usec_t now, ap_inflight_t *inflight);
/** ap_fleet_first_chunk() - the first piece of the answer came. */
void ap_fleet_first_chunk(ap_fleet_t *f, ap_inflight_t *inflight, ap_usec_t now);
void ap_fleet_done(ap_fleet_t *f, ap_inflight_t *inflight, ap_dispatch_result_t end, ap_usec_t now);
/** ap_fleet_set_remote_wait() - another region said how long work of @priority for @pool waits
 * there. */
void ap_fleet_set_remote_wait(ap_fleet_t *f, const char *region, const char *pool,
			      unsigned priority, ap_usec_t wait, ap_usec_t now);
/** ap_fleet_local_wait() - how long a request of this kind would wait at this region's upstreams.
 */
ap_usec_t ap_fleet_local_wait(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);

/* Repetitions: budget.c */
/** ap_fleet_count_request() - a caller's request for @pool has come to this instance. */
void ap_fleet_count_request(ap_fleet_t *f, const char *pool, ap_usec_t now);
/** ap_fleet_may_retry() - takes one repetition from this instance's part of the budget. */
bool ap_fleet_may_retry(ap_fleet_t *f, const char *pool, ap_usec_t now);

/* What instances tell each other: tell.c */
/**
 * ap_fleet_announce() - tells the region's other instances of own work and of prefixes sent to
 * upstreams, and whether it leaves. To be called some times a second; it decides by itself whether
 * there is something to tell.
 */
void ap_fleet_announce(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now);
/**
 * ap_fleet_set_store_state() - what the next rounds tell of the store.
 * @watching: this instance watches it with success
 * @changed: revision of the last change that it read
 */
void ap_fleet_set_store_state(ap_fleet_t *f, bool watching, uint64_t changed);
/**
 * ap_fleet_store_watched() - do enough others of this region watch the store for this instance?
 * Some watch for all in a large region; in a small one each does for itself.
 * @changed: the last change that any of them read
 */
bool ap_fleet_store_watched(const ap_fleet_t *f, ap_usec_t now, uint64_t *changed);
/**
 * ap_fleet_relay() - sends a message of changes in the store to the region's other instances, if
 * some watch there for all.
 */
void ap_fleet_relay(const ap_fleet_t *f, const ap_peer_port_t *peer, const void *data, size_t len,
		    ap_usec_t now);
/** ap_fleet_receive() - another instance told something. Return: false when it can't be read. */
bool ap_fleet_receive(ap_fleet_t *f, const char *from, const void *data, size_t len, ap_usec_t now);

/**
 * struct ap_fleet_stats - gauges for metrics.
 */
typedef struct ap_fleet_stats {
	size_t replicas;
	size_t usable;
	size_t draining;
	size_t cold;
	size_t ejected;
	size_t members;
	size_t running;
} ap_fleet_stats_t;

ap_fleet_stats_t ap_fleet_stats(const ap_fleet_t *f, ap_usec_t now);

#endif
