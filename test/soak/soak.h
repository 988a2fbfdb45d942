/*
 * A randomised soak of real instances: the platform's store, upstreams and callers are played in
 * this process; the instances are programs that it starts, stops, pauses and kills. One seed gives
 * one schedule of faults and requests. Promises are checked from callers' and upstreams' side.
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

#define SOAK_INSTANCES_MAX 64
#define REPLICAS_MAX 32
#define REGIONS 2

typedef struct soak soak_t;

/* What a route of the soak allows. */
typedef enum soak_kind {
	SOAK_ONCE,
	SOAK_IDEMPOTENT,
	SOAK_STREAM,	/* may not be resumed */
	SOAK_RESUMABLE, /* home-bound to region 0 */
	SOAK_KINDS,
} soak_kind_t;

extern const char *const soak_regions[REGIONS];
extern const char *const soak_paths[SOAK_KINDS]; /* one route each */

/* One request of a caller, kept to the end: what was said of it against what ran. */
typedef struct request {
	UT_hash_handle hh;
	char id[24];
	soak_kind_t kind;
	unsigned arrivals;
	unsigned runs;
	bool refused; /* its caller was told that it did not run */
	bool done;
	unsigned events; /* of a stream, in order so far */
	ap_usec_t sent;
} request_t;

/* link.c: a link that can go wrong */
typedef enum link_mode {
	LINK_OPEN,
	LINK_DELAY,
	LINK_RESET,   /* new and open connections are reset */
	LINK_SILENT,  /* nothing passes either way */
	LINK_ONE_WAY, /* nothing comes back */
	LINK_MODES,
} link_mode_t;

typedef struct link link_t;

/* Listens on @port, 0 for any. */
link_t *link_new(struct event_base *base, uint16_t port, uint16_t to);
uint16_t link_port(const link_t *l);
void link_set_mode(link_t *l, link_mode_t mode);
link_mode_t link_mode(const link_t *l);
void link_free(link_t *l);

/* store.c: the platform's store */
typedef enum store_mode {
	STORE_UP,
	STORE_REFUSES,	       /* refuses all */
	STORE_LOSES_RESPONSES, /* writes are done, some are not answered */
	STORE_MODES,
} store_mode_t;

typedef struct store store_t;

store_t *store_new(soak_t *s);
void store_free(store_t *st);
uint16_t store_port(const store_t *st);
void store_put(store_t *st, const char *key, const char *value, uint64_t lease);
void store_remove(store_t *st, const char *key);
void store_set_mode(store_t *st, store_mode_t mode);
/* The store forgets the changes so far; watches that ask for them get 410. */
void store_compact(store_t *st);

/* replica.c: an upstream */
typedef enum replica_mode {
	REPLICA_GOOD,
	REPLICA_SHEDS,	/* refuses some, not run */
	REPLICA_ERRS,	/* some end in 500 */
	REPLICA_BREAKS, /* some answers break off, or never come, after they ran */
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
	unsigned running;
} replica_t;

void replica_start(soak_t *s, size_t i, const char *pool, unsigned region);
/* Ends it without a word; its entry stays until it is started again. */
void replica_crash(soak_t *s, size_t i);
void replica_drain(soak_t *s, size_t i);
void replica_heartbeat(soak_t *s, size_t i);
void replica_stop(replica_t *r);

/* instance.c: an instance of ours */
typedef struct instance {
	soak_t *soak;
	char id[AP_NAME_MAX];
	unsigned region;
	uint16_t port; /* of the first of its listeners */
	link_t *store_link;
	link_t *peer_links[2]; /* for requests and talk of other instances */
	pid_t pid;
	bool paused;
	bool leaving;
	ap_usec_t last_disturbed; /* when something was done to it last */
	uint64_t version;	  /* highest seen of this process */
	bool fetching;
} instance_t;

void instance_start(instance_t *inst);
void instance_signal(instance_t *inst, int signal);
/* Takes note of an instance that has ended. Return: true when it did so by itself. */
bool instance_ended(instance_t *inst, int status);
void instance_check_version(instance_t *inst);
/* Other instances reach it through links: its entry in the store, JSON text, is changed to them. */
char *instance_entry_via_links(soak_t *s, const char *id, const char *entry);

/* caller.c */
void caller_send(soak_t *s);
void caller_finish(soak_t *s);

/* main.c */
void publish_config(soak_t *s);

struct soak {
	struct event_base *base;
	ap_rng_t rng;	   /* of requests and of what goes wrong with each */
	ap_rng_t schedule; /* of faults, so that one seed gives one schedule */
	ap_rng_t links;	   /* of faults of links between instances, a schedule of their own */
	const char *program;
	char dir[64];
	bool verbose;
	bool keep; /* the logs of a run without findings */
	store_t *store;
	ap_http_client_t *client;
	instance_t instances[SOAK_INSTANCES_MAX];
	size_t n_instances;
	replica_t replicas[REPLICAS_MAX];
	size_t n_replicas;
	request_t *requests;
	uint64_t next_id;
	uint64_t version;
	ap_usec_t start;
	ap_usec_t store_last_disturbed;
	bool recovered; /* no faults any more: what is sent must be served */
	unsigned sent;
	unsigned served;
	unsigned refused;
	unsigned failed;
	unsigned recovered_sent;
	unsigned recovered_served;
	unsigned arrivals;
	unsigned retries;
	unsigned faults;
	unsigned link_faults;
	unsigned findings;
	unsigned fault_kinds[32];
};

void soak_finding(soak_t *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#endif
