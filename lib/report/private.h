/* Types and functions shared by the files of reports. */
#ifndef AP_REPORT_PRIVATE_H
#define AP_REPORT_PRIVATE_H

#include "report/report.h"

#include <msgpack.h>
#include <sys/queue.h>
#include <uthash.h>

#define LOADS_PER_MESSAGE 512
#define OFFERS_PER_MESSAGE 64
#define CACHE_PER_MESSAGE 64
#define MODELS_PER_MESSAGE 32
#define DRAINING_PER_MESSAGE 32
#define WITHDRAWALS_PER_MESSAGE 64
#define GROUPS_MAX 64
#define CACHE_BLOCKS_MAX 16	     /* blocks of one cache event in a message */
#define LOAD_AGE_UNIT (20 * AP_MSEC) /* ages up to 2.5 s take one byte */
#define KV_UNIT 100.0		     /* messages carry the share of cache memory in percent */

/**
 * struct ap_load_item - one load in a message.
 * @age: time since it was read, in units of LOAD_AGE_UNIT
 * @kv: cache memory in use, in percent
 */
typedef struct ap_load_item {
	uint32_t upstream; /* hash of its id */
	uint64_t age;
	uint32_t running;
	uint32_t waiting;
	uint32_t kv;
} ap_load_item_t;

/**
 * struct ap_offer_item - capacity offer of a region for one model, in a message.
 * @rate_milli: forwarded requests per 1000 seconds
 * @wait_ms: expected wait in milliseconds
 * @age: milliseconds since it was set
 */
typedef struct ap_offer_item {
	char region[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	uint64_t rate_milli;
	uint64_t wait_ms;
	uint64_t age;
} ap_offer_item_t;

/**
 * struct ap_cache_item - one cache event in a message.
 * @upstream: hash of its id
 * @stored: the blocks were stored, else evicted
 */
typedef struct ap_cache_item {
	uint32_t upstream;
	uint64_t seq;
	bool stored;
	uint64_t blocks[CACHE_BLOCKS_MAX];
	size_t n;
} ap_cache_item_t;

/**
 * struct ap_models_item - the models that one upstream has loaded, in a message.
 * @upstream: hash of its id
 * @age: milliseconds since they were read
 * @versions: by ap_version_hash(), 0 where not known; instances of an older build send none
 */
typedef struct ap_models_item {
	uint32_t upstream;
	uint64_t age;
	uint32_t names[AP_REPORT_MODELS_MAX];
	uint32_t versions[AP_REPORT_MODELS_MAX];
	size_t n;
} ap_models_item_t;

/**
 * struct ap_withdrawal_item - an upstream takes no new work for a model or adapter, in a message.
 * @upstream: hash of its id
 * @name: hash of the name of the model or adapter
 * @keep: milliseconds until the withdrawal expires; 0 revokes it
 */
typedef struct ap_withdrawal_item {
	uint32_t upstream;
	uint32_t name;
	uint64_t fence;
	uint64_t number;
	uint64_t keep;
} ap_withdrawal_item_t;

/* The latest withdrawal known for an upstream and a model, or its revocation. */
typedef struct ap_withdrawal {
	uint32_t upstream;
	uint32_t name;
	uint64_t fence;
	uint64_t number;
	ap_usec_t changed_at; /* when this version was received or set here */
	ap_usec_t until;
	bool active;
	unsigned sends_left; /* announcements to the region that are still due */
	LIST_ENTRY(ap_withdrawal) link;
} ap_withdrawal_t;

/* The models that an upstream is known to have loaded, and to whom they are still to be sent. */
typedef struct ap_models_known {
	uint32_t names[AP_REPORT_MODELS_MAX];
	uint32_t versions[AP_REPORT_MODELS_MAX];
	size_t n;
	ap_usec_t at;  /* when they were read; 0: never */
	bool announce; /* to the whole region */
	bool relay;    /* to the own group */
} ap_models_known_t;

typedef enum ap_report_type {
	AP_REPORT_RELAY = 1, /* for the receiver, which passes it on to its group */
	AP_REPORT_GROUP,     /* for the receiver only */
	AP_REPORT_REGION,    /* offers of a remote region, for the whole region of the receiver */
	AP_REPORT_REQUEST,   /* @loads names upstreams whose reports the sender missed */
	AP_REPORT_DIGEST,    /* @digest of all models known; a receiver with another one responds */
} ap_report_type_t;

/* One message, read or to be packed. */
typedef struct ap_report_message {
	ap_report_type_t type;
	ap_load_item_t *loads;
	size_t n_loads;
	ap_offer_item_t *offers;
	size_t n_offers;
	ap_cache_item_t *cache;
	size_t n_cache;
	char (*draining)[AP_NAME_MAX];
	size_t n_draining;
	ap_models_item_t *models;
	size_t n_models;
	uint32_t digest;
	ap_withdrawal_item_t *withdrawals;
	size_t n_withdrawals;
	bool has_versions_digest; /* not from an instance of an older build */
	uint32_t versions_digest;
} ap_report_message_t;

/**
 * struct ap_report_upstream - an upstream of the own region.
 */
typedef struct ap_report_upstream {
	char id[AP_NAME_MAX];
	uint32_t hash;
	bool listed;
	bool first_poller;     /* this instance is its first poller, which announces its load */
	bool polls;	       /* this instance is one of its pollers */
	ap_load_report_t load; /* latest one known */
	bool unannounced;      /* @load was read here and not announced yet */
	ap_load_report_t announced; /* the load that was last announced from here */
	ap_usec_t heard_at;	    /* when the last report from another poller arrived */
	bool relay;		    /* @load is still to be passed on to the own group */
	ap_usec_t draining_until;
	ap_usec_t draining_announced_at;
	unsigned draining_sends_left;
	ap_models_known_t models;
	struct ap_report_upstream *next_free; /* next upstream to free */
	UT_hash_handle hh;
} ap_report_upstream_t;

/* The capacity offer of one region for one model, and to whom it is still to be sent. */
typedef struct ap_offer_known {
	ap_capacity_offer_t offer;
	bool own;
	bool announce; /* to the whole own region */
	bool relay;    /* to the own group */
	LIST_ENTRY(ap_offer_known) link;
} ap_offer_known_t;

typedef struct ap_cache_queued {
	ap_cache_item_t item;
	STAILQ_ENTRY(ap_cache_queued) link;
} ap_cache_queued_t;

STAILQ_HEAD(ap_cache_queue, ap_cache_queued);

/**
 * struct ap_report_peer - another instance of the own region.
 * @id: points into the entries of the region
 */
typedef struct ap_report_peer {
	const char *id;
	uint64_t id_hash;
	size_t group;
} ap_report_peer_t;

struct ap_report {
	ap_report_config_t cfg;
	ap_rng_t rng;
	ap_usec_t now;
	uint64_t seq;
	ap_entry_t *entries; /* all live instances, the own one included */
	size_t n_entries;
	ap_entry_t *region; /* those of the own region */
	size_t n_region;
	ap_report_peer_t *peers;
	size_t n_peers;
	size_t groups; /* 0: the region is small and has no groups */
	size_t own_group;
	bool delegate; /* this instance sends the offers of its region to remote regions */
	ap_report_upstream_t *upstreams; /* by hash */
	LIST_HEAD(, ap_offer_known) offers;
	size_t n_offers;
	LIST_HEAD(, ap_withdrawal) withdrawals;
	size_t n_withdrawals;
	struct ap_cache_queue own_cache;
	struct ap_cache_queue relay_cache;
	size_t own_queued;
	size_t relay_queued;
	double cache_credit; /* bytes of cache events that may be sent now */
	ap_usec_t cache_credit_at;
	ap_usec_t next_flush;
	ap_usec_t next_offers;
	ap_usec_t next_compare;
	ap_report_stats_t stats;
};

/* lib/wire/report.c */
void ap_wire_pack_report(msgpack_packer *pk, const ap_report_message_t *msg);
bool ap_wire_read_report(const msgpack_object *body, ap_report_message_t *msg);
void ap_wire_report_clear(ap_report_message_t *msg);

/* report.c */
ap_report_upstream_t *report_by_hash(const ap_report_t *r, uint32_t hash);
uint32_t report_id_hash(const char *id);
ap_report_upstream_t *report_find(const ap_report_t *r, const char *id);
/* report_announces() - is this instance the one that reads and announces the load of @up now? */
bool report_announces(const ap_report_t *r, const ap_report_upstream_t *up, ap_usec_t now);
/*
 * report_flush_period() - time between two flushes: the longer, the more upstreams the region has,
 * so that the bytes of loads a second that each instance receives stay bounded.
 */
ap_usec_t report_flush_period(const ap_report_t *r);
/* report_mark_draining() - @heard: reported by another instance, else seen here. */
void report_mark_draining(ap_report_t *r, const char *upstream, bool heard);
/* report_find_or_add_offer() - the offer of a region for a model; NULL when there are too many. */
ap_offer_known_t *report_find_or_add_offer(ap_report_t *r, const ap_capacity_offer_t *offer);
/* report_queue_cache() - queues a copy of @item; the oldest event is dropped from a full queue. */
void report_queue_cache(ap_report_t *r, struct ap_cache_queue *queue, size_t *queued,
			const ap_cache_item_t *item);

/* models.c */
/* report_collect_models() - adds the models to announce (@own) or to pass on (else) to @msg. */
void report_collect_models(ap_report_t *r, ap_report_message_t *msg, bool own);
void report_send_models_digest(ap_report_t *r);
void report_respond_to_digest(ap_report_t *r, const char *to, const ap_report_message_t *digest);
void report_receive_models(ap_report_t *r, const ap_models_item_t *item, bool relay);

/* withdraw.c */
void report_receive_withdrawal(ap_report_t *r, const ap_withdrawal_item_t *item);
void report_repeat_withdrawals(ap_report_t *r);
void report_expire_withdrawals(ap_report_t *r);
void report_clear_withdrawals(ap_report_t *r);

/* share.c */
void report_send(ap_report_t *r, const char *to, const ap_report_message_t *msg);
void report_flush(ap_report_t *r);
void report_send_offers(ap_report_t *r);
void report_respond(ap_report_t *r, const char *to, const ap_report_message_t *request);
/* report_announce_draining() - sends to the whole region (@all) or to a few random instances. */
void report_announce_draining(ap_report_t *r, const char *upstream, bool all);
void report_announce_withdrawals(ap_report_t *r, ap_withdrawal_item_t *items, size_t n, bool all);

#endif
