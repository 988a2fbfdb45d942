/* Types and functions shared by the files of membership. */
#ifndef AP_MEMBER_PRIVATE_H
#define AP_MEMBER_PRIVATE_H

#include "member/member.h"

#include <msgpack.h>
#include <uthash.h>

#define SUSPECTED_BY_MAX 4 /* members remembered that suspect one node */
#define REGIONS_MAX 32
#define RECORDS_PER_MESSAGE 24 /* most records, and most suspicions, in a gossip message */
#define NEIGHBOURS 3	       /* unsuspected members that each member pings */

/**
 * struct ap_record - state of one incarnation as it announced it, or its death as others announced
 * it. Of two records of an id the later one wins, by epoch, incarnation, version and state. A death
 * that was read from a message sets only the id and incarnation of @entry.
 */
typedef struct ap_record {
	ap_entry_t entry;
	uint64_t epoch;
	uint64_t version;
	ap_member_state_t state; /* any but AP_MEMBER_SUSPECT */
} ap_record_t;

/**
 * struct ap_suspicion - @by suspects @id.
 * @version: of the record that is suspected; a later version refutes the suspicion
 */
typedef struct ap_suspicion {
	char id[AP_NAME_MAX];
	ap_id_t inc;
	uint64_t version;
	char by[AP_NAME_MAX];
} ap_suspicion_t;

typedef struct ap_node {
	ap_record_t rec;
	uint64_t id_hash;     /* low 32 bits of the hash of the id, as in messages */
	uint64_t region_hash; /* low 32 bits of the hash of the region's name */
	bool own_region;
	bool listed; /* in the last list of the platform */
	ap_usec_t since;
	unsigned sends_left; /* gossip rounds that still carry the record */
	/* suspicion of the current version */
	char suspected_by[SUSPECTED_BY_MAX][AP_NAME_MAX];
	size_t n_suspected_by;
	unsigned suspicion_sends_left;
	ap_usec_t suspect_at;
	/* pings */
	ap_usec_t pinged_at;	/* start of the ping period without an acknowledgement, or 0 */
	unsigned missed;	/* ping periods without an acknowledgement */
	bool watched;		/* pinged in each period: a neighbour, or a suspect before one */
	ap_usec_t missed_until; /* of a member that is not watched: when @missed is reset */
	uint64_t relay_token;	/* token of the ping request for this member; 0 for none */
	char relay_to[AP_NAME_MAX];
	struct ap_node *next_free; /* next node to free */
	UT_hash_handle hh;
} ap_node_t;

/**
 * struct ap_region_heard - the latest news of a region.
 * @hash: 32 bits of the hash of its name
 * @at: latest time, on the own clock, at which a member of the region is known to have sent a sync
 * or the reply to one; -1 for never
 */
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
	ap_usec_t next_not_live_ping;
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
	AP_MEMBER_PING_REQUEST, /* asks the receiver to ping the member @target_id */
	AP_MEMBER_SYNC,		/* @digests: one for each region */
	AP_MEMBER_SYNC_REPLY,
	AP_MEMBER_DIGESTS, /* @digests: one for each live record of the region with hash @token */
	AP_MEMBER_DIGESTS_REPLY,
	AP_MEMBER_RECORDS,
} ap_member_type_t;

/**
 * struct ap_digest - digest of one record or of all live records of one region.
 * @hash: of the record's id or of the region's name, 32 bits
 * @digest: changes when a record changes, 32 bits
 * @age_ms: of a region: milliseconds since the latest news of it, UINT32_MAX for none; of a
 *          record: 0
 */
typedef struct ap_digest {
	uint64_t hash;
	uint64_t digest;
	uint64_t age_ms;
} ap_digest_t;

/**
 * struct ap_member_message - one message, read or to be packed.
 * @token: of a ping, repeated by its acknowledgement, which is accepted with any token; of
 *         AP_MEMBER_DIGESTS the hash of the region
 * @target_id: id of the member to ping (ping request) or that acknowledged (relayed
 * acknowledgement)
 */
typedef struct ap_member_message {
	ap_member_type_t type;
	uint64_t token;
	char target_id[AP_NAME_MAX];
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
/* member_death_received() - a message says that the known version of @node is dead. */
void member_death_received(ap_member_t *m, ap_node_t *node, ap_usec_t now);
/* member_merge() - applies a received record if it is later than the known one. */
void member_merge(ap_member_t *m, const ap_record_t *rec, ap_usec_t now);
/* member_reannounce() - raises the version of the own record over @above and announces it. */
void member_reannounce(ap_member_t *m, uint64_t above, ap_usec_t now);
void member_forget_old(ap_member_t *m, ap_usec_t now);
/* member_pick() - @k random nodes for which @ok holds. Return: how many were found. */
size_t member_pick(ap_member_t *m, bool (*ok)(const ap_member_t *, const ap_node_t *),
		   ap_node_t **out, size_t k);
/* is_live_peer() - for member_pick(): a live member of the own region. */
bool is_live_peer(const ap_member_t *m, const ap_node_t *node);

/* probe.c */
void member_probe_tick(ap_member_t *m, ap_usec_t now);
/* member_probe_reset() - drops all pings and suspicions that are open. */
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
/* member_announce_self() - sends the own record to each live member of the own region. */
void member_announce_self(ap_member_t *m);
/* member_region_heard() - Return: time of the latest news of a region, -1 for never. */
ap_usec_t member_region_heard(const ap_member_t *m, uint64_t region_hash);

#endif
