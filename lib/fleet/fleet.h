/*
 * An instance's view of the upstreams and the other instances, and the choice of a target for each
 * request: which upstreams may get requests, how long each is expected to take, which prompt
 * prefixes each has cached, and whether a remote region is the better choice. The code here does
 * no I/O and reads no clock: its callers pass in entries, the time and the results of requests.
 *
 * An engine is an upstream of a pool with kv_tokens > 0: a model server with a KV cache and
 * priorities. Upstreams of other pools are plain services. An entry is the record of an upstream or
 * instance in the store.
 */
#ifndef AP_FLEET_H
#define AP_FLEET_H

#include "base/base.h"
#include "plan/plan.h"
#include "port/port.h"
#include "quota/quota.h"

#define AP_PROMPT_PARTS_MAX 16 /* parts of a prompt that are considered */
#define AP_TRIED_MAX 6	       /* targets remembered for one request */
#define AP_PRIORITIES 10       /* priorities that engines know; 0 is the most urgent */
#define AP_MODELS_MAX 8	       /* models of an upstream whose versions are kept */

/* A version of a model's weights, which upstreams name by numbers; see ap_weights_of(). */
typedef uint64_t ap_weights_t;
#define AP_WEIGHTS_ANY 0 /* not known, or not asked for */

/* Returns the version with this number. */
static inline ap_weights_t ap_weights_of(uint64_t number)
{
	return number < UINT64_MAX ? number + 1 : AP_WEIGHTS_ANY;
}

/* Returns its number; -1 if it isn't known. */
static inline int64_t ap_weights_number(ap_weights_t weights)
{
	return (int64_t)weights - 1;
}

typedef struct ap_loaded_model {
	uint64_t name; /* hash; 0 for requests that name no model */
	ap_weights_t weights;
} ap_loaded_model_t;

/**
 * struct ap_replica_entry - an upstream as the platform lists it.
 * @id: changes with each start of the upstream
 * @born: when it started, in Unix milliseconds; 0 if unknown. Another one under the same id is
 * another process, of which nothing is known yet
 * @version: of its software; upstreams of one pool may run several
 * @models: whose weights it has loaded, as far as it says
 * @slots: requests processed concurrently; 0 to use the pool's number
 * @cold_left: remaining time in microseconds during which the upstream is cold
 * @shutdown_in: microseconds until the upstream stops, whatever it is processing; AP_NEVER if not
 *               announced
 */
typedef struct ap_replica_entry {
	char id[AP_NAME_MAX];
	char pool[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t port;
	char data_centre[AP_NAME_MAX];
	uint64_t born;
	char version[AP_NAME_MAX];
	ap_loaded_model_t models[AP_MODELS_MAX];
	size_t n_models;
	uint32_t slots;
	bool draining;
	ap_usec_t cold_left;
	ap_usec_t shutdown_in;
} ap_replica_entry_t;

/**
 * struct ap_member - an instance as it registered itself in the store.
 * @caller_port: port for callers
 * @peer_port: port for requests forwarded from remote regions
 * @cores: CPU cores of the instance; may be a fraction
 * @draining: accepts no new callers
 * @speaks: what it understands of messages between instances, see AP_FLEET_SPEAKS; 0 if its record
 *          doesn't say
 * @wire_oldest, @wire_newest: versions of messages that it reads
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
	uint32_t speaks;
	uint32_t wire_oldest;
	uint32_t wire_newest;
} ap_member_t;

#define AP_FLEET_SPEAKS_BATCHES 1
#define AP_FLEET_SPEAKS AP_FLEET_SPEAKS_BATCHES /* all that this version understands */

/* A part of a prompt. Requests whose leading parts are equal share the KV cache of these parts. */
typedef struct ap_prompt_part {
	uint64_t id;
	uint32_t tokens;
} ap_prompt_part_t;

/**
 * struct ap_dispatch - what is known of a request that needs a target.
 * @customer: who sends it; NULL if the plan has no customers or the request names none
 * @local_only: was forwarded by another instance, so it is served or refused here
 * @deadline: time by which the final response is due, in microseconds
 * @tokens_in: length of the prompt
 * @tokens_out: expected length of the response
 * @model: that the request names
 * @build: the only build of upstreams that may be chosen; 0 for any
 * @weights: the only version of @model's weights at which the request may run
 * @begun: the caller has a part of the response, so that only the deadline limits the wait
 * @heard_since: the target that has the request is silent; another one must have responded to
 *               this instance since this time, or have none of its requests; 0 for any
 * @heard_only: another one must have responded; set by ap_fleet_choose()
 * @parts: of the prompt, in order; the last one belongs to this request or its session alone
 * @fingerprint: hash of the caller, path and body: of what the request is, however often it comes;
 *               0 if unknown
 * @tried: targets on which the request failed; chosen only if there is no other
 * @avoid: targets that must not be chosen
 * @unreachable: upstreams of this region to which no connection could be made
 * @resumes: id of the request whose stream it takes up; NULL or empty for none
 */
typedef struct ap_dispatch {
	const ap_plan_route_t *route;
	const ap_plan_pool_t *pool;
	const ap_customer_t *customer;
	bool local_only;
	ap_usec_t deadline;
	uint32_t tokens_in;
	uint32_t tokens_out;
	uint64_t model;
	uint64_t build;
	ap_weights_t weights;
	bool begun;
	ap_usec_t heard_since;
	bool heard_only;
	ap_prompt_part_t parts[AP_PROMPT_PARTS_MAX];
	size_t n_parts;
	uint64_t fingerprint;
	char tried[AP_TRIED_MAX][AP_NAME_MAX];
	size_t n_tried;
	char avoid[AP_TRIED_MAX][AP_NAME_MAX];
	size_t n_avoid;
	unsigned unreachable;
	const char *resumes;
} ap_dispatch_t;

/** ap_dispatch_rank() - how urgent @req is, 0 the most: the customer's priority, or the route's. */
static inline unsigned ap_dispatch_rank(const ap_dispatch_t *req)
{
	return req->customer && req->customer->has_priority ? req->customer->priority
							    : req->route->priority;
}

/**
 * struct ap_target_fetch - what an upstream is to fetch of a prompt before it processes the rest.
 * @id, @host, @port: of the upstream that keeps it; @id is empty for none
 * @tokens: number of tokens that are fetched
 * @time: expected for the transfer, in microseconds
 */
typedef struct ap_target_fetch {
	char id[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t port;
	uint32_t tokens;
	ap_usec_t time;
} ap_target_fetch_t;

/**
 * struct ap_target - where a request is sent.
 * @remote: an instance, usually of a remote region, not an upstream
 * @version: of the upstream's software; empty for a remote target
 * @build: hash of the upstream's pool and version; 0 for a remote target
 * @wait: expected time to the first chunk of the response, in microseconds; unlike the waits that
 *        regions announce, it includes the processing of the request itself
 * @queue: expected time that is spent on other requests, in microseconds
 * @retry_after: of AP_FLEET_LATE, when the request has room, in microseconds; 0 if unknown
 * @cached: prompt tokens expected to be in the target's prefix cache, once @fetch is done
 * @fetch: from another upstream
 * @entry_age: age in microseconds of the upstream's entry; 0 for a remote target
 * @running: requests that the upstream is expected to be processing
 * @cold: the upstream is believed to be cold, or may be
 */
typedef struct ap_target {
	bool remote;
	char id[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t port;
	char region[AP_NAME_MAX];
	char version[AP_NAME_MAX];
	uint64_t build;
	ap_usec_t wait;
	ap_usec_t queue;
	ap_usec_t retry_after;
	uint32_t cached;
	ap_target_fetch_t fetch;
	ap_usec_t entry_age;
	uint32_t running;
	bool cold;
} ap_target_t;

typedef enum ap_fleet_status {
	AP_FLEET_OK,
	AP_FLEET_NONE, /* no allowed target is usable */
	/* The chosen target would spend too much time on other requests first: more than is left
	 * until the deadline, or more than a fixed share of the latency objective. */
	AP_FLEET_LATE,
	/* Requests like this one may crash upstreams; see suspect.c. */
	AP_FLEET_HELD,
	AP_FLEET_BACKOFF, /* all allowed targets asked for a pause */
} ap_fleet_status_t;

/* How a request ended at its target. */
typedef enum ap_dispatch_result {
	AP_DISPATCH_DONE,	    /* complete response */
	AP_DISPATCH_ERROR,	    /* complete response that reports a failure */
	AP_DISPATCH_REFUSED,	    /* the target said that the request did not run */
	AP_DISPATCH_WEIGHTS,	    /* it has another version of the weights than it has to */
	AP_DISPATCH_ADDRESS_REUSED, /* another upstream has the address now */
	AP_DISPATCH_UNREACHABLE,    /* no connection */
	AP_DISPATCH_BROKEN,	    /* truncated or invalid response, or connection reset */
	AP_DISPATCH_TIMED_OUT,	    /* nothing arrived within the time limit */
	AP_DISPATCH_CANCELLED,	    /* the caller disconnected; says nothing about the target */
	AP_DISPATCH_SLOWER,	    /* a second attempt responded first */
} ap_dispatch_result_t;

/**
 * struct ap_inflight - an in-flight request; initialized by ap_fleet_sent().
 * @open: the request has not ended
 * @serial: of the upstream's state, which is made anew when its entry was gone
 * @trial: the request decides whether an ejected upstream has recovered
 * @after_pause: the upstream had asked for a pause; see backoff.c
 * @has_first_chunk: the first chunk of the response has arrived, at @first_at
 * @alone: the upstream had no other request when this one was sent
 * @slot_wait: estimated wait for a free slot in microseconds, before scaling
 * @prefill: prompt tokens that the upstream has to process
 * @kv: tokens of the prompt and the response
 * @expected: expected time to the first chunk, in microseconds
 * @parts: parts of the prompt that other requests may share, for an engine
 * @fingerprint: of the request; 0 if unknown
 * @source: tag of the upstream from which @fetched tokens are to be fetched
 */
typedef struct ap_inflight {
	bool open;
	bool remote;
	bool trial;
	bool after_pause;
	uint64_t serial;
	char id[AP_NAME_MAX];
	char pool[AP_NAME_MAX];
	char region[AP_NAME_MAX];
	unsigned priority;
	bool has_first_chunk;
	bool alone;
	double slot_wait;
	ap_usec_t first_at;
	uint32_t prefill;
	uint32_t kv;
	ap_usec_t sent;
	ap_usec_t expected;
	uint64_t parts[AP_PROMPT_PARTS_MAX];
	size_t n_parts;
	uint64_t fingerprint;
	uint32_t source;
	uint32_t fetched;
} ap_inflight_t;

/*
 * What an instance concludes from responses, timeouts and the end of an entry's grace period.
 * Changes that come from the store have log records of their own.
 */
typedef enum ap_fleet_event_kind {
	AP_FLEET_EVENT_EJECTED,	       /* an upstream failed and gets no requests for a while */
	AP_FLEET_EVENT_RECOVERED,      /* an ejected upstream responded again */
	AP_FLEET_EVENT_ADDRESS_REUSED, /* another upstream has the address of this one */
	AP_FLEET_EVENT_EXPIRED,	       /* an entry was still missing after its grace period */
	AP_FLEET_EVENT_SUSPECTED,      /* no connection to an instance, or a timeout */
	AP_FLEET_EVENT_LIMITED,	       /* an upstream named a limit, or another one */
	AP_FLEET_EVENT_UNLIMITED,      /* it responded without naming one */
	AP_FLEET_EVENT_LEAVING,	       /* an upstream said in a response that it leaves */
	AP_FLEET_EVENT_NOT_LEAVING,    /* it was healthy long after */
	AP_FLEET_EVENT_BRITTLE,	       /* an upstream said in a response that it is brittle */
	AP_FLEET_EVENT_NOT_BRITTLE,    /* it responded without saying so, or nobody confirms it */
	AP_FLEET_EVENT_BACKOFF,	       /* it refused a request and asked for a pause */
	AP_FLEET_EVENT_COLD,	       /* an upstream taken for warm is cold */
	AP_FLEET_EVENT_PATH_LOST,      /* no connection to an upstream */
	AP_FLEET_EVENT_PATH_BACK,      /* it responded again */
	AP_FLEET_EVENT_PART_SUSPECTED, /* a part of prompts met the ends of several upstreams */
	AP_FLEET_EVENT_PART_CLEARED,   /* a request with it was completed, or the ends are old */
	/* Likewise a request, however often it came. */
	AP_FLEET_EVENT_REQUEST_SUSPECTED,
	AP_FLEET_EVENT_REQUEST_CLEARED,
	AP_FLEET_EVENT_KINDS,
} ap_fleet_event_kind_t;

/**
 * struct ap_fleet_event - one change of an upstream's, instance's, prompt part's or request's
 * state, for the log.
 * @id: the upstream, instance, part or fingerprint
 * @entry_age: age in microseconds of the upstream's entry; 0 for others
 * @lasts: minimum duration of the new state in microseconds; 0 if unknown
 * @failures: consecutive failures before the event; for a part or request, ends of upstreams
 * @limit: requests per second, for AP_FLEET_EVENT_LIMITED
 * @source: for AP_FLEET_EVENT_COLD: "record", "health-check" or "instance"; else NULL
 */
typedef struct ap_fleet_event {
	ap_fleet_event_kind_t kind;
	const char *id;
	ap_usec_t entry_age;
	ap_usec_t lasts;
	unsigned failures;
	double limit;
	const char *source;
} ap_fleet_event_t;

/**
 * struct ap_fleet_config - set once at start.
 * @id: of this instance, which is never a target
 * @inc: incarnation of this instance
 * @cold_over, @cold_slack: in any second, all instances together may send a cold upstream
 *                          @cold_over times its pool's warmup_rate, plus @cold_slack requests
 * @retry_ratio, @retry_slack, @retry_window: in any window of @retry_window microseconds, all
 *                instances together may retry the share @retry_ratio of a pool's requests, plus
 *                @retry_slack requests
 * @learn_time: longest wait after the start for what other instances know of cold upstreams, in
 *              microseconds; 0 for none
 * @entry_grace: how long an entry that expired while the store was unreachable stays valid, in
 *               microseconds
 * @prompt_fetch: engines may be asked to fetch parts of prompts from others
 * @quota: what customers may use beyond their allowances
 * @on_event: called for each change of state; may be NULL
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
	ap_usec_t learn_time;
	ap_usec_t entry_grace;
	bool prompt_fetch;
	ap_quota_config_t quota;
	uint64_t seed;
	void *ctx;
	void (*on_event)(void *ctx, const ap_fleet_event_t *event);
} ap_fleet_config_t;

typedef struct ap_fleet ap_fleet_t;

/** ap_fleet_new() - Return: NULL when out of memory. */
ap_fleet_t *ap_fleet_new(const ap_fleet_config_t *config);
void ap_fleet_free(ap_fleet_t *f);
/**
 * ap_fleet_set_bounds() - applies the bounds of @config; identity, seed and retry window stay.
 */
void ap_fleet_set_bounds(ap_fleet_t *f, const ap_fleet_config_t *config);
/**
 * ap_fleet_set_data_centre() - says which region a data centre is in; to be called before the
 * first entry of the data centre.
 */
void ap_fleet_set_data_centre(ap_fleet_t *f, const char *data_centre, const char *region);

/* Upstreams: replica.c and health-check.c */
/** ap_fleet_update_replica() - adds an upstream or updates its entry. */
void ap_fleet_update_replica(ap_fleet_t *f, const ap_replica_entry_t *entry, ap_usec_t now);
/**
 * ap_fleet_remove_replica() - the entry of @id is gone.
 * @may_return: the entry expired while the store was unreachable, and may come back
 */
void ap_fleet_remove_replica(ap_fleet_t *f, const char *id, bool may_return, ap_usec_t now);
/**
 * ap_fleet_list_begin() - starts a complete list from the store. ap_fleet_list_end() removes the
 * upstreams, evacuations and instances that were not updated in between.
 */
void ap_fleet_list_begin(ap_fleet_t *f);
void ap_fleet_list_end(ap_fleet_t *f, bool may_return, ap_usec_t now);
/**
 * ap_fleet_evacuate() - begins or ends the evacuation of @data_centre, whose upstreams get no
 * requests until it ends.
 * @off: true ends the evacuation, false begins it
 */
void ap_fleet_evacuate(ap_fleet_t *f, const char *data_centre, bool off, ap_usec_t now);
/**
 * ap_fleet_next_health_check() - returns an upstream that needs a health check, because no
 * instance knows whether the upstream is cold, or because it may have ended, or because it said
 * long ago that it leaves, or because the path to it was lost or the store is silent. To be called
 * until it returns false.
 */
bool ap_fleet_next_health_check(ap_fleet_t *f, ap_usec_t now, ap_replica_entry_t *replica);
/**
 * ap_fleet_health_checked() - upstream @id responded to a health check that it is healthy.
 * @cold_left: remaining cold time in microseconds; 0 if the upstream is not cold
 */
void ap_fleet_health_checked(ap_fleet_t *f, const char *id, ap_usec_t cold_left, ap_usec_t now);
/**
 * ap_fleet_limit_seen() - upstream @id responded to a request.
 * @limit: the requests per second that it takes from all instances together, as the response says;
 *         negative if it names no limit
 */
void ap_fleet_limit_seen(ap_fleet_t *f, const char *id, double limit, ap_usec_t now);
/**
 * ap_fleet_brittle_seen() - upstream @id responded to a request.
 * @refusals: the requests that it may refuse in a second for want of room before it ends, as the
 *            response says; negative if it says nothing of it
 */
void ap_fleet_brittle_seen(ap_fleet_t *f, const char *id, double refusals, ap_usec_t now);
/**
 * ap_fleet_leaving_seen() - upstream @id said in a response that it leaves, so it gets no more
 * requests.
 */
void ap_fleet_leaving_seen(ap_fleet_t *f, const char *id, ap_usec_t now);
/**
 * ap_fleet_backoff_seen() - upstream @id refused a request or a health check, and wants no other
 * from this instance for @wait microseconds.
 */
void ap_fleet_backoff_seen(ap_fleet_t *f, const char *id, ap_usec_t wait, ap_usec_t now);
/**
 * ap_fleet_path_seen() - upstream @id responded to a health check, healthy or not, so there is a
 * path to it.
 */
void ap_fleet_path_seen(ap_fleet_t *f, const char *id, ap_usec_t now);
/** ap_fleet_path_lost() - no connection to upstream @id could be made for a health check. */
void ap_fleet_path_lost(ap_fleet_t *f, const char *id, ap_usec_t now);
/**
 * ap_fleet_health_check_refused() - upstream @id refused the connection for a health check, so it
 * has ended.
 */
void ap_fleet_health_check_refused(ap_fleet_t *f, const char *id, ap_usec_t now);
/**
 * ap_fleet_tick() - removes what has expired; to be called several times a second. If it wasn't
 * called for longer, the next choice of an upstream takes the process to have been stopped.
 */
void ap_fleet_tick(ap_fleet_t *f, ap_usec_t now);
/**
 * ap_fleet_after_freeze() - the process was stopped for a while: discards counted failures and
 * ejections, since the failures may have been its own, and waits for what other instances know of
 * cold upstreams, as after a start.
 */
void ap_fleet_after_freeze(ap_fleet_t *f, ap_usec_t now);

/* Other instances: member.c */
/** ap_fleet_update_member() - adds an instance, possibly this one, or updates its entry. */
void ap_fleet_update_member(ap_fleet_t *f, const ap_member_t *member, ap_usec_t now);
void ap_fleet_remove_member(ap_fleet_t *f, const char *id, ap_usec_t now);
/**
 * ap_fleet_active_peers() - returns the number of other live instances of this region that are not
 * draining.
 */
size_t ap_fleet_active_peers(const ap_fleet_t *f, ap_usec_t now);
/**
 * ap_fleet_count_members() - returns the number of listed instances of @region, or of all regions
 * if @region is NULL.
 */
size_t ap_fleet_count_members(const ap_fleet_t *f, const char *region);
/** ap_fleet_knows_host() - returns whether some instance registered with this address. */
bool ap_fleet_knows_host(const ap_fleet_t *f, const char *host);
/** ap_fleet_each_member() - calls @visit for every known instance, live or not. */
void ap_fleet_each_member(const ap_fleet_t *f, void (*visit)(void *ctx, const ap_member_t *member),
			  void *ctx);
/**
 * ap_fleet_directory() - lists the instances that callers of @region should use.
 * @plan, @host: used to find the regions that may serve the callers' routes; @plan may be NULL
 * @out: receives pointers that are valid until the next change
 * @fallback: set if all active instances of @region are gone, so that callers should query the
 *            directory again soon
 *
 * Return: the number of instances written to @out, at most @max.
 */
size_t ap_fleet_directory(const ap_fleet_t *f, const ap_plan_t *plan, const char *host,
			  const char *region, const ap_member_t **out, size_t max, bool *fallback,
			  ap_usec_t now);

/* Requests: choose.c and load.c */
/**
 * ap_fleet_choose() - chooses a target for @req.
 * @target: set unless AP_FLEET_NONE is returned; for AP_FLEET_HELD and AP_FLEET_BACKOFF, only its
 *          wait: after how long the caller should come again
 */
ap_fleet_status_t ap_fleet_choose(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now,
				  ap_target_t *target);
/**
 * ap_fleet_has_free_slot() - returns whether upstream @id processes fewer requests than it has
 * slots, as far as known.
 */
bool ap_fleet_has_free_slot(const ap_fleet_t *f, const char *id, const ap_plan_pool_t *pool);
/** ap_fleet_sent() - @req is being sent to @target; initializes @inflight. */
void ap_fleet_sent(ap_fleet_t *f, const ap_dispatch_t *req, const ap_target_t *target,
		   ap_usec_t now, ap_inflight_t *inflight);
/** ap_fleet_first_chunk() - the first chunk of the response arrived, or a further one. */
void ap_fleet_first_chunk(ap_fleet_t *f, ap_inflight_t *inflight, ap_usec_t now);
/** ap_fleet_done() - the request ended; has no effect if it had ended before. */
void ap_fleet_done(ap_fleet_t *f, ap_inflight_t *inflight, ap_dispatch_result_t end, ap_usec_t now);
/**
 * ap_fleet_set_remote_wait() - a remote region announced how long requests of @priority to @pool
 * wait for other requests there, in microseconds; any other priority than 0 stands for all
 * requests.
 */
void ap_fleet_set_remote_wait(ap_fleet_t *f, const char *region, const char *pool,
			      unsigned priority, ap_usec_t wait, ap_usec_t now);
/**
 * ap_fleet_local_wait() - returns how long a request like @req would wait for other requests at
 * this region's upstreams, in microseconds; AP_NEVER if no upstream is usable, healthy and not
 * cold.
 */
ap_usec_t ap_fleet_local_wait(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);

/**
 * ap_fleet_local_pause() - returns how long all upstreams of this region that could serve @req
 * want no requests from this instance, in microseconds; 0 if one of them takes some.
 */
ap_usec_t ap_fleet_local_pause(const ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);
/**
 * ap_fleet_remote_pause() - an instance of @region, which may be this one, refused a request
 * because the upstreams of @pool there want none from it for @wait microseconds.
 */
void ap_fleet_remote_pause(ap_fleet_t *f, const char *region, const char *pool, ap_usec_t wait,
			   ap_usec_t now);

/* Retry budget: retry-budget.c */
/** ap_fleet_count_request() - a caller's request for @pool arrived at this instance. */
void ap_fleet_count_request(ap_fleet_t *f, const char *pool, ap_usec_t now);
/**
 * ap_fleet_may_retry() - takes one retry from this instance's part of the budget of @pool.
 *
 * Return: false when the budget is used up.
 */
bool ap_fleet_may_retry(ap_fleet_t *f, const char *pool, ap_usec_t now);

/** ap_fleet_quota() - allowances of customers; reports of their use travel with announcements. */
ap_quota_t *ap_fleet_quota(ap_fleet_t *f);
/** ap_fleet_set_customers() - a new plan is in force, with these customers. */
void ap_fleet_set_customers(ap_fleet_t *f, const ap_customer_t *customers, size_t n, ap_usec_t now);

/* Announcements between instances: announce.c */
/**
 * ap_fleet_announce() - announces this instance's load, the prefixes it sent to upstreams and
 * whether it is draining to the other instances of the region. To be called several times a second;
 * a message is sent only when one is due.
 */
void ap_fleet_announce(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now);
/**
 * ap_fleet_relay() - sends a message with changes of the store to the other instances of the
 * region, if some instances watch the store for all there.
 */
void ap_fleet_relay(ap_fleet_t *f, const ap_peer_port_t *peer, const void *data, size_t len,
		    ap_usec_t now);
/**
 * ap_fleet_pass_on() - instance @from sent a message here, not in a batch. It is kept for the next
 * batch, if this instance is a relay and the kind is one that relays pass on.
 */
void ap_fleet_pass_on(ap_fleet_t *f, const char *from, const void *data, size_t len, ap_usec_t now);
/* Called for a message of instance @origin; @data is valid during the call. */
typedef void (*ap_fleet_visit_t)(void *ctx, const char *origin, const void *data, size_t len);
/**
 * ap_fleet_open_batch() - reads a batch of messages that instance @from passed on.
 * @visit: called for each of them that is of another instance
 *
 * Return: false when the batch is invalid.
 */
bool ap_fleet_open_batch(ap_fleet_t *f, const char *from, const void *data, size_t len,
			 ap_usec_t now, void *ctx, ap_fleet_visit_t visit);
/**
 * ap_fleet_receive() - processes an announcement of instance @from. One of a kind that only later
 * builds know is counted and has no effect.
 *
 * Return: false when the message is invalid.
 */
bool ap_fleet_receive(ap_fleet_t *f, const char *from, const void *data, size_t len, ap_usec_t now);

#include "fleet/stats.h"
#include "fleet/store.h"
#include "fleet/stream.h"

#endif
