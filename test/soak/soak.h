/*
 * A randomised soak test of real instances. The platform's store, the upstreams and the callers are
 * simulated in this process; the instances are programs that it starts, stops, pauses and kills.
 * One seed gives one schedule of faults and requests. Guarantees are checked as callers and
 * upstreams see them.
 */
#ifndef SOAK_H
#define SOAK_H

#include "base/base.h"
#include "http/http.h"
#include "log/log.h"

#include <event2/event.h>
#include <sys/queue.h>
#include <sys/types.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

#include "stream.h"

#define SOAK_INSTANCES_MAX 64
#define REPLICAS_MAX 64
#define REGIONS 2 /* unless soak_t says otherwise */
#define REGIONS_MAX 3
#define PUBLISHED_MAX 256	     /* versions of a run */
#define REVERT_GRACE (250 * AP_MSEC) /* as the platform's rule allows */
#define PAUSE_GRACE (500 * AP_MSEC)  /* as the platform's rule allows */

typedef struct soak soak_t;

/* How a route of the soak may treat its requests. */
typedef enum soak_kind {
	SOAK_ONCE, /* runs at most once */
	SOAK_IDEMPOTENT,
	SOAK_STREAM,	/* runs at most once, can't be resumed */
	SOAK_RESUMABLE, /* home-bound to the first regions */
	SOAK_KINDS,
} soak_kind_t;

/* Why an upstream ended a response in order before its end. */
typedef enum ended {
	ENDED_NONE,
	ENDED_EMPTY,	/* before its first event, with time left */
	ENDED_DEADLINE, /* at its deadline */
	ENDED_BEFORE,	/* its next event or part would have come after its deadline */
	ENDED_STOP,	/* as its upstream ended */
	ENDED_WAYS,
} ended_t;

extern const char *const soak_regions[];
extern const char *const soak_paths[SOAK_KINDS]; /* one route each */

/* A caller's request, kept to the end to compare its reported outcome with what ran. */
typedef struct request {
	UT_hash_handle hh;
	char id[24];
	soak_kind_t kind;
	unsigned arrivals; /* at upstreams, refused ones included */
	unsigned runs;	   /* at upstreams */
	const char *pool;  /* of the upstream that ran it last */
	ap_usec_t ran;	   /* when it did */
	uint64_t version;  /* of the configuration, that its instance had for long; 0: unknown */
	bool refused;	   /* its response said that it did not run */
	bool done;
	unsigned events; /* of a stream, received in order so far */
	ap_usec_t sent;
	ap_usec_t deadline; /* from then on */
	unsigned step_ms;   /* between its events, or parts of its body; 0: the usual */
	bool stops_before;  /* no event or part is begun that would come after its deadline */
	pace_t pace;	    /* that its last run has shown */
	ended_t early;	    /* of the last run that ended so */
	ap_usec_t left_at;  /* when its caller left; 0 if it waits */
	ap_usec_t still;    /* soak_still() when it was sent */
} request_t;

/* link.c: a TCP relay with faults */
typedef enum link_mode {
	LINK_OPEN,
	LINK_DELAY,
	LINK_RESET,   /* new and open connections are reset */
	LINK_SILENT,  /* relays nothing either way */
	LINK_ONE_WAY, /* relays nothing back to the client */
	LINK_MODES,
} link_mode_t;

typedef struct link link_t;

/* Gets the bytes that links relay towards their ports, as they are read; NULL if nobody asks. */
extern void (*link_tap)(const link_t *l, const void *data, size_t len);

/* Listens on @port of the loopback address, 0 for any, and relays to port @to there. */
link_t *link_new(struct event_base *base, uint16_t port, uint16_t to);
uint16_t link_port(const link_t *l);
void link_set_mode(link_t *l, link_mode_t mode);
/*
 * Connections end with a plain close on either side, whatever ended them, up to @spread after the
 * end that caused it.
 */
void link_close_plainly(link_t *l, ap_usec_t spread, ap_rng_t *rng);
/*
 * What comes back to the client is held by half, up to @max after its first byte, and passed on
 * together. An end of a connection passes it on at once.
 */
void link_hold(link_t *l, ap_usec_t max, ap_rng_t *rng);
link_mode_t link_mode(const link_t *l);
void link_free(link_t *l);

/* store.c: the platform's store */
typedef enum store_mode {
	STORE_UP,
	STORE_REFUSES,	       /* refuses every request */
	STORE_LOSES_RESPONSES, /* carries out writes, loses some of the responses */
	STORE_MODES,
} store_mode_t;

typedef struct store store_t;

store_t *store_new(soak_t *s);
void store_free(store_t *st);
uint16_t store_port(const store_t *st);
void store_put(store_t *st, const char *key, const char *value, uint64_t lease);
void store_remove(store_t *st, const char *key);
void store_set_mode(store_t *st, store_mode_t mode);
/* Drops the history of changes so far; a watch that asks for it gets 410. */
void store_compact(store_t *st);
/* Makes the copy that store_restore() goes back to. */
void store_save(store_t *st);
/*
 * The store goes back to its copy, in a new era, and gives out revisions and leases again. What the
 * operator has written since is written again.
 */
void store_restore(store_t *st);
/* Returns whether @key has a value. */
bool store_has(const store_t *st, const char *key);

/* replica.c: an upstream */
typedef enum replica_mode {
	REPLICA_GOOD,
	REPLICA_SHEDS,	/* refuses some requests without running them */
	REPLICA_ERRS,	/* runs requests that have no stream, responds 500 */
	REPLICA_BREAKS, /* runs requests, cuts off some responses, makes others none of its own */
	REPLICA_SLOW,
	REPLICA_MODES,
} replica_mode_t;

typedef struct replica {
	soak_t *soak;
	char id[AP_NAME_MAX];
	char pool[AP_NAME_MAX];
	unsigned region;
	unsigned incarnation;
	ap_http_server_t *server;
	link_t *link;
	replica_mode_t mode;
	bool draining;
	ap_usec_t draining_since;
	ap_usec_t ends_at;	   /* as it said; AP_NEVER: it didn't */
	bool holds;		   /* takes requests and responds to none */
	bool finishes;		   /* ends responses in order as it stops work on them */
	unsigned work_ms;	   /* of each request; 0: at random */
	unsigned weights;	   /* version; 0 for none */
	const char *version;	   /* of the software; NULL: its entry names none */
	bool silent;		   /* does not report to the store that it is draining */
	ap_usec_t said_leaving_at; /* in a response; 0 for never */
	ap_usec_t pause_until;	   /* refuses requests and asks for none until then */
	ap_usec_t pause_from;	   /* when it first did; 0 for not yet */
	unsigned in_pause;	   /* requests later than PAUSE_GRACE after that */
	unsigned running;
} replica_t;

void replica_start(soak_t *s, size_t i, const char *pool, unsigned region);
/* Stops the upstream without draining; its store entry stays until it is started again. */
void replica_crash(soak_t *s, size_t i);
/* The upstream drains, and says that it ends at @until; AP_NEVER: it doesn't say when. */
void replica_drain(soak_t *s, size_t i, ap_usec_t until);
/* An upstream stops its work; its responses end in order, cut short, unless @s has no such ends. */
void replica_end_work(soak_t *s, size_t i);
/*
 * The upstream refuses requests until @until, with the time until then as Retry-After. It counts
 * those that come later than PAUSE_GRACE after the first refusal.
 */
void replica_pause(soak_t *s, size_t i, ap_usec_t until);
/* Writes the upstream's entry to the store, as its heartbeat. */
void replica_heartbeat(soak_t *s, size_t i);
void replica_stop(replica_t *r);

/* instance.c: a gateway instance */
typedef struct instance {
	soak_t *soak;
	char id[AP_NAME_MAX];
	unsigned region;
	unsigned data_centre; /* of its region, from 0 */
	bool older;	      /* runs the older program */
	uint16_t port;	      /* the first of its listeners' ports */
	link_t *store_link;
	link_t *peer_links[2]; /* for requests and messages of other instances */
	pid_t pid;
	bool paused;
	bool leaving;
	ap_usec_t last_disturbed; /* time of the last fault, start or exit */
	uint64_t version;	  /* configuration version last seen of this process */
	ap_usec_t version_at;	  /* when it was seen first */
	bool fetching;
	char metrics[65536]; /* as far as they have arrived */
	size_t n_metrics;
} instance_t;

#define INSTANCE_PEER 5 /* port for requests of other instances, behind the first */

void instance_start(instance_t *inst);
void instance_signal(instance_t *inst, int signal);
/* Records the exit of an instance with wait @status. Return: true when the exit was unexpected. */
bool instance_ended(instance_t *inst, int status);
/* Fetches the configuration version; a version that goes back is a finding. */
void instance_check_version(instance_t *inst);
/*
 * Replaces the peer port in the store @entry of instance @id, JSON text, by that of its link, so
 * that other instances reach it through links. Return: JSON text that the caller frees.
 */
char *instance_entry_via_links(soak_t *s, const char *id, const char *entry);

/* caller.c */
/* Adds a request, which upstreams know by its id. */
request_t *caller_request(soak_t *s, soak_kind_t kind);
void caller_send(soak_t *s);
/* Callers leave that are due to, by a close or a reset, and now and then a hundred at once. */
void caller_tick(soak_t *s, ap_usec_t now);
/* Drops the open calls and frees the requests; a refused request that ran later is a finding. */
void caller_finish(soak_t *s);

/* A version of the configuration, and whether it has the pools of all routes swapped. */
typedef struct published {
	uint64_t version;
	bool swapped;
} published_t;

/* world.c */
/* Returns the pool that routes of @kind have in a version. */
const char *soak_pool(soak_kind_t kind, bool swapped);
void publish_config(soak_t *s);
/* Starts the store, the upstreams and @n_instances instances, by turns in each data centre. */
void soak_set_up(soak_t *s, size_t n_instances);
/* Ends the instances and frees the rest. */
void soak_tear_down(soak_t *s);
/* Deletes the instances' logs and settings. */
void soak_remove_logs(const soak_t *s);

struct soak {
	struct event_base *base;
	ap_rng_t rng;	   /* of requests and of faults of single requests */
	ap_rng_t schedule; /* of faults, so that one seed gives one schedule */
	ap_rng_t links;	   /* of faults of links between instances; a separate schedule */
	ap_rng_t leaves;   /* of callers that leave */
	ap_rng_t spoils;   /* of responses that are no upstream's own */
	ap_rng_t pauses;   /* of pools whose upstreams ask for a pause; a separate schedule */
	ap_rng_t ends;	   /* of work that outlasts its deadline and of empty streams */
	ap_rng_t befores;  /* of work that isn't begun as it would outlast its deadline */
	const char *program;
	const char *gateway;   /* further lines for the instances' table [gateway], or NULL */
	unsigned memory_mb;    /* setting of the instances; 0 for the default */
	unsigned descriptors;  /* limit of each instance's; 0 for the one of this process */
	unsigned regions;      /* 0: REGIONS */
	unsigned data_centres; /* with instances, in each region; 0: one */
	unsigned homes;	       /* regions to which SOAK_RESUMABLE is bound; 0: one */
	const char *older;     /* program of every @older_step th instance, or NULL */
	unsigned older_step;
	char dir[64];
	bool verbose;
	bool no_pauses;
	bool no_spoils;
	bool no_weights;     /* upstreams name no versions of the weights */
	const char *release; /* software version of upstreams that start; NULL for none */
	bool keep;	     /* keep the logs also of a run without findings */
	bool no_moves;
	bool no_ends;	       /* upstreams break off what they end early */
	bool no_befores;       /* upstreams begin also what would come after the deadline */
	const char *tenants;   /* of the configuration, JSON; NULL for none */
	const char *limits;    /* likewise */
	bool open[SOAK_KINDS]; /* routes that need no key */
	/* A request has arrived at an upstream, before it is checked; NULL if nobody asks. */
	void (*arrived)(const replica_t *r, ap_http_call_t *call, const request_t *q);
	bool faulty; /* faults are being injected */
	store_t *store;
	ap_http_client_t *client;
	instance_t instances[SOAK_INSTANCES_MAX];
	size_t n_instances;
	replica_t replicas[REPLICAS_MAX];
	size_t n_replicas;
	request_t *requests;
	uint64_t next_id;
	uint64_t version;
	published_t published[PUBLISHED_MAX];
	size_t n_published;
	bool swapped; /* the next version of the configuration swaps the pools of all routes */
	ap_usec_t start;
	ap_usec_t heartbeat_at; /* of the upstreams, next */
	ap_usec_t turn_at;	/* when the current turn of the loop began */
	ap_usec_t stood_still;	/* in turns before that one */
	ap_usec_t store_last_disturbed;
	bool recovered; /* faults are over and the recovery wait too: requests must be served */
	unsigned sent;
	unsigned served;
	unsigned refused;
	unsigned failed;
	unsigned left; /* callers */
	unsigned gone; /* requests sent once more after their callers had left */
	unsigned recovered_sent;
	unsigned recovered_served;
	unsigned arrivals;
	unsigned retries;
	unsigned faults;
	unsigned link_faults;
	unsigned pools_paused;
	unsigned early_ends[ENDED_WAYS];
	unsigned findings;
	unsigned fault_kinds[32];
};

#define SOAK_STILL_MIN (500 * AP_MSEC) /* many times the length of a turn */

/*
 * Returns for how long this process has stood still since its start. What instances and upstreams
 * did meanwhile is seen that much later, so it is no part of the time that a request took.
 */
static inline ap_usec_t soak_still(const soak_t *s, ap_usec_t now)
{
	ap_usec_t turn = s->turn_at ? now - s->turn_at : 0;

	return s->stood_still + (turn > SOAK_STILL_MIN ? turn : 0);
}

/* Begins a turn of the loop. */
static inline void soak_turn(soak_t *s, ap_usec_t now)
{
	s->stood_still = soak_still(s, now);
	s->turn_at = now;
}

static inline unsigned soak_n_regions(const soak_t *s)
{
	return s->regions > 0 ? s->regions : REGIONS;
}

/* Returns how many instances a region has at most. */
static inline unsigned soak_region_instances(const soak_t *s)
{
	unsigned regions = soak_n_regions(s);

	return ((unsigned)s->n_instances + regions - 1) / regions;
}

static inline unsigned soak_n_homes(const soak_t *s)
{
	return s->homes > 0 ? s->homes : 1;
}

/* Counts a request that has arrived at an upstream. */
static inline void soak_arrived(const replica_t *r, ap_http_call_t *call, request_t *q)
{
	if (r->soak->arrived)
		r->soak->arrived(r, call, q);
	r->soak->arrivals++;
	r->soak->retries += q->arrivals++ > 0;
}

void soak_finding(soak_t *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#endif
