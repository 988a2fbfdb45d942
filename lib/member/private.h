/* Inner parts of membership, shared by its files. */
#ifndef AP_MEMBER_PRIVATE_H
#define AP_MEMBER_PRIVATE_H

#include "member/member.h"

#include <msgpack.h>
#include <uthash.h>

#define SUSPECTED_BY_MAX 4
#define REGIONS_MAX 32
#define RECORDS_PER_MESSAGE 24
#define NEIGHBOURS 3 /* members that each one pings */

/**
 * struct ap_record - what one incarnation says of itself, or others say of its death. The later
 * one of two records of an id wins, by epoch, incarnation, version and state. Of a death that
 * others told only the id and incarnation of @entry are set.
 */
typedef struct ap_record {
	ap_entry_t entry;
	uint64_t epoch;
	uint64_t version;
	ap_member_state_t state; /* LISTED, ALIVE, LEAVING or DEAD */
} ap_record_t;

/**
 * struct ap_suspicion - @by misses one version of @id.
 */
typedef struct ap_suspicion {
	char id[AP_NAME_MAX];
	ap_id_t inc;
	uint64_t version;
	char by[AP_NAME_MAX];
} ap_suspicion_t;

typedef struct ap_node {
	ap_record_t rec;
	uint64_t id_hash;     /* 32 bits of it, as all hashes that travel */
	uint64_t region_hash; /* likewise */
	bool own_region;
	bool listed; /* in the platform's last list */
	ap_usec_t since;
	unsigned sends_left; /* how often the record is still to be passed on */
	/* suspicion of the present version */
	char suspected_by[SUSPECTED_BY_MAX][AP_NAME_MAX];
	size_t n_suspected_by;
	unsigned suspicion_sends_left;
	ap_usec_t suspect_at;
	/* pings */
	ap_usec_t pinged_at;	/* oldest one not answered, or 0 */
	unsigned missed;	/* periods without an answer */
	bool watched;		/* a neighbour on the ring, or a suspect between two */
	ap_usec_t missed_until; /* for others than neighbours: when @missed is forgotten */
	uint64_t relay_token;	/* of the member that asked to ping this one; 0 for none */
	char relay_to[AP_NAME_MAX];
	struct ap_node *next_free; /* next one to be freed */
	UT_hash_handle hh;
} ap_node_t;

typedef struct ap_region_heard {
	uint64_t hash;
	ap_usec_t at;
} ap_region_heard_t;

struct ap_member {
	ap_member_config_t cfg;
	ap_rng_t rng;
	ap_node_t *nodes;
	ap_node_t *self;
	ap_usec_t started;
	ap_usec_t last_tick;
	ap_usec_t next_ping;
	ap_usec_t next_dead_ping;
	ap_usec_t next_sync;
	ap_usec_t next_region_sync;
	size_t region_turn;
	uint64_t seq;
	bool joined;
	bool superseded;
	bool dirty;
	ap_region_heard_t heard[REGIONS_MAX];
	size_t n_heard;
	ap_member_stats_t stats;
};

/* Types of membership messages. */
typedef enum ap_member_type {
	AP_MEMBER_PING = 1,
	AP_MEMBER_ACK,
	AP_MEMBER_PING_REQUEST, /* please ping @text for me */
	AP_MEMBER_SYNC,		/* @pairs: region, digest and age of the last word from it */
	AP_MEMBER_SYNC_REPLY,
	AP_MEMBER_DIGESTS, /* @pairs: id and key of each record of one region */
	AP_MEMBER_DIGESTS_REPLY,
	AP_MEMBER_RECORDS,
} ap_member_type_t;

typedef struct ap_digest {
	uint64_t hash;
	uint64_t digest;
	uint64_t age_ms;
} ap_digest_t;

/**
 * struct ap_member_message - one message, read or to be packed.
 */
typedef struct ap_member_message {
	ap_member_type_t type;
	uint64_t token;
	char text[AP_NAME_MAX];
	const ap_record_t *records;
	size_t n_records;
	const ap_suspicion_t *suspicions;
	size_t n_suspicions;
	const ap_digest_t *digests;
	size_t n_digests;
} ap_member_message_t;

/* lib/wire/member.c */
void ap_wire_pack_member(msgpack_packer *pk, const ap_member_message_t *msg);
bool ap_wire_read_member(const msgpack_object *body, ap_member_message_t *msg);
void ap_wire_member_clear(ap_member_message_t *msg);

/* table.c */
ap_node_t *member_find(const ap_member_t *m, const char *id);
ap_node_t *member_add(ap_member_t *m, const ap_record_t *rec, ap_usec_t now);
int record_cmp(const ap_record_t *a, const ap_record_t *b);
uint64_t record_digest(const ap_record_t *rec);
bool node_live(const ap_node_t *node);
size_t member_live_in_region(const ap_member_t *m);
void member_apply_record(ap_member_t *m, ap_node_t *node, const ap_record_t *rec, ap_usec_t now);
void member_death_received(ap_member_t *m, ap_node_t *node, ap_usec_t now);
void member_merge(ap_member_t *m, const ap_record_t *rec, ap_usec_t now);
void member_reannounce(ap_member_t *m, uint64_t above, ap_usec_t now);
void member_forget_old(ap_member_t *m, ap_usec_t now);
size_t member_pick(ap_member_t *m, bool (*ok)(const ap_member_t *, const ap_node_t *),
		   ap_node_t **out, size_t k);
bool is_live_peer(const ap_member_t *m, const ap_node_t *node);

/* probe.c */
void member_probe_tick(ap_member_t *m, ap_usec_t now);
void member_probe_reset(ap_member_t *m);
void member_receive_ack(ap_member_t *m, const char *from, ap_id_t inc);
void member_ping(ap_member_t *m, ap_node_t *node, ap_usec_t now);
void member_receive_ping_request(ap_member_t *m, const char *from, const ap_member_message_t *msg,
				 ap_usec_t now);
void member_receive_suspicion(ap_member_t *m, const ap_suspicion_t *suspicion, ap_usec_t now);
void node_clear_suspicion(ap_node_t *node);

/* gossip.c */
void member_send(ap_member_t *m, const char *to, const ap_member_message_t *msg);
void member_gossip_tick(ap_member_t *m, ap_usec_t now);
void member_sync_with(ap_member_t *m, const char *to, ap_member_type_t type, ap_usec_t now);
void member_receive_sync(ap_member_t *m, const char *from, const ap_member_message_t *msg,
			 ap_usec_t now);
void member_receive_digests(ap_member_t *m, const char *from, const ap_member_message_t *msg,
			    ap_usec_t now);
void member_announce_self(ap_member_t *m);
ap_usec_t member_region_heard(const ap_member_t *m, uint64_t region_hash);

#endif
