/* Inner parts of the reports, shared by their files. */
#ifndef AP_REPORT_PRIVATE_H
#define AP_REPORT_PRIVATE_H

#include "report/report.h"

#include <msgpack.h>
#include <sys/queue.h>
#include <uthash.h>

#define LOADS_PER_MESSAGE 512
#define ROOMS_PER_MESSAGE 64
#define CACHE_PER_MESSAGE 64
#define MODELS_PER_MESSAGE 32
#define DRAINING_PER_MESSAGE 32
#define WITHDRAWALS_PER_MESSAGE 64
#define GROUPS_MAX 64
#define CACHE_BLOCKS_MAX 16	     /* of one event that is told */
#define LOAD_AGE_UNIT (20 * AP_MSEC) /* ages up to 2.5 s take one byte */
#define KV_UNIT 100.0		     /* parts that cache memory in use is told in */

/**
 * struct ap_load_item - one load on the wire.
 * @age: since it was read, in units of LOAD_AGE_UNIT
 * @kv: cache memory in use, in parts of KV_UNIT
 */
typedef struct ap_load_item {
	uint32_t upstream; /* hash of its id */
	uint64_t age;
	uint32_t running;
	uint32_t waiting;
	uint32_t kv;
} ap_load_item_t;

typedef struct ap_room_item {
	char region[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	uint64_t rate_milli;
	uint64_t wait_ms;
	uint64_t age;
} ap_room_item_t;

typedef struct ap_cache_item {
	uint32_t upstream;
	uint64_t seq;
	bool stored;
	uint64_t blocks[CACHE_BLOCKS_MAX];
	size_t n;
} ap_cache_item_t;

/**
 * struct ap_models_item - what one upstream has loaded, on the wire.
 * @age: milliseconds since it was read
 */
typedef struct ap_models_item {
	uint32_t upstream;
	uint64_t age;
	uint32_t names[AP_REPORT_MODELS_MAX];
	size_t n;
} ap_models_item_t;

/**
 * struct ap_withdrawal_item - an upstream takes no new work for a model or adapter, on the wire.
 * @keep: milliseconds for which that holds; 0: taken back
 */
typedef struct ap_withdrawal_item {
	uint32_t upstream;
	uint32_t name;
	uint64_t fence;
	uint64_t number;
	uint64_t keep;
} ap_withdrawal_item_t;

/* The newest that is known of an upstream and a model. */
typedef struct ap_withdrawal {
	uint32_t upstream;
	uint32_t name;
	uint64_t fence;
	uint64_t number;
	ap_usec_t heard_at;
	ap_usec_t until;
	bool active;
	unsigned sends_left; /* still to be told to the region */
	LIST_ENTRY(ap_withdrawal) link;
} ap_withdrawal_t;

/* What of an upstream's models is known and still to be told. */
typedef struct ap_models_known {
	uint32_t names[AP_REPORT_MODELS_MAX];
	size_t n;
	ap_usec_t at;  /* when it was read; 0: never */
	bool announce; /* to the whole region */
	bool relay;    /* to the own group */
} ap_models_known_t;

typedef enum ap_report_type {
	AP_REPORT_RELAY = 1, /* for the receiver and its group */
	AP_REPORT_GROUP,     /* for the receiver */
	AP_REPORT_REGION,    /* rooms of another region, for the receiver's whole region */
	AP_REPORT_REQUEST,   /* @loads names upstreams whose reports are missed */
	AP_REPORT_DIGEST,    /* @digest of all models known; answered when it differs */
} ap_report_type_t;

typedef struct ap_report_message {
	ap_report_type_t type;
	ap_load_item_t *loads;
	size_t n_loads;
	ap_room_item_t *rooms;
	size_t n_rooms;
	ap_cache_item_t *cache;
	size_t n_cache;
	char (*draining)[AP_NAME_MAX];
	size_t n_draining;
	ap_models_item_t *models;
	size_t n_models;
	uint32_t digest;
	ap_withdrawal_item_t *withdrawals;
	size_t n_withdrawals;
} ap_report_message_t;

/**
 * struct ap_report_upstream - an upstream of the own region.
 */
typedef struct ap_report_upstream {
	char id[AP_NAME_MAX];
	uint32_t hash;
	bool listed;
	bool primary;	       /* this entry polls it and tells */
	bool polls;	       /* this entry polls it */
	ap_load_report_t load; /* newest one known */
	bool unannounced;      /* it was read here and not told yet */
	ap_load_report_t announced;
	ap_usec_t heard_at; /* last report of the other poller */
	bool relay;	    /* to be passed on to the own group */
	ap_usec_t draining_until;
	ap_usec_t draining_announced_at;
	unsigned draining_sends_left;
	ap_models_known_t models;
	struct ap_report_upstream *next_free;
	UT_hash_handle hh;
} ap_report_upstream_t;

typedef struct ap_room_known {
	ap_room_t room;
	bool own;
	bool announce; /* to the whole own region */
	bool relay;    /* to the own group */
	LIST_ENTRY(ap_room_known) link;
} ap_room_known_t;

typedef struct ap_cache_queued {
	ap_cache_item_t item;
	STAILQ_ENTRY(ap_cache_queued) link;
} ap_cache_queued_t;

STAILQ_HEAD(ap_cache_queue, ap_cache_queued);

/**
 * struct ap_report_peer - another entry of the own region.
 * @id: points into the region's entries
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
	ap_entry_t *entries; /* all live ones, the own one included */
	size_t n_entries;
	ap_entry_t *region; /* those of the own region */
	size_t n_region;
	ap_report_peer_t *peers;
	size_t n_peers;
	size_t groups; /* 0: everyone is told directly */
	size_t own_group;
	bool delegate;
	ap_report_upstream_t *upstreams; /* by hash */
	LIST_HEAD(, ap_room_known) rooms;
	size_t n_rooms;
	LIST_HEAD(, ap_withdrawal) withdrawals;
	size_t n_withdrawals;
	struct ap_cache_queue own_cache;
	struct ap_cache_queue relay_cache;
	size_t own_queued;
	size_t relay_queued;
	double cache_credit; /* bytes of cache events that may be told now */
	ap_usec_t cache_credit_at;
	ap_usec_t next_flush;
	ap_usec_t next_rooms;
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
/* report_announces() - is this entry the one that reads and tells its load now? */
bool report_announces(const ap_report_t *r, const ap_report_upstream_t *up, ap_usec_t now);
/* report_flush_period() - time between two flushes; keeps all of the region's loads to their
 * budget. */
ap_usec_t report_flush_period(const ap_report_t *r);
void report_mark_draining(ap_report_t *r, const char *upstream, bool heard);
ap_room_known_t *report_find_or_add_room(ap_report_t *r, const ap_room_t *room);
void report_queue_cache(ap_report_t *r, struct ap_cache_queue *queue, size_t *queued,
			const ap_cache_item_t *item);

/* models.c */
void report_collect_models(ap_report_t *r, ap_report_message_t *msg, bool own);
void report_send_models_digest(ap_report_t *r);
void report_respond_to_digest(ap_report_t *r, const char *to, uint32_t digest);
void report_receive_models(ap_report_t *r, const ap_models_item_t *item, bool relay);

/* withdraw.c */
void report_receive_withdrawal(ap_report_t *r, const ap_withdrawal_item_t *item);
void report_repeat_withdrawals(ap_report_t *r);
void report_expire_withdrawals(ap_report_t *r);
void report_clear_withdrawals(ap_report_t *r);

/* share.c */
void report_send(ap_report_t *r, const char *to, const ap_report_message_t *msg);
void report_flush(ap_report_t *r);
void report_send_rooms(ap_report_t *r);
void report_respond(ap_report_t *r, const char *to, const ap_report_message_t *request);
void report_announce_draining(ap_report_t *r, const char *upstream, bool all);
void report_announce_withdrawals(ap_report_t *r, ap_withdrawal_item_t *items, size_t n, bool all);

#endif
