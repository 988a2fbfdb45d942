/* State of one object and the calls between its parts: issuer, witness, questions, hand-over. */
#ifndef AP_ONCE_STATE_H
#define AP_ONCE_STATE_H

#include "once/quota.h"
#include "once/table.h"

#define PROBED_CANDIDATES 3  /* possible witnesses that are probed */
#define PROBES_LOST_MAX 3    /* unanswered probes after which a contact counts as silent */
#define UNANSWERED_ROUNDS 8  /* probes in one interval while no contact responses */
#define EXPECTING_ROUNDS 24  /* the same while others are expected and none is known */
#define CALLER_SHARE 8	     /* one caller may have one part in this many of all unused permits */
#define ISSUERS_MAX 2048     /* incarnations whose keys a witness keeps */
#define RECORD_SETS_MAX 64   /* tables taken over from others */
#define SUCCESSORS_MAX 2     /* successors that are tried, best first */
#define PERMIT_QUERY_STEPS 6 /* issuer, witness, two successors of each */
#define CLOSING_SHARE 8	     /* a witness leaves one part in this many of its table to closing */

/* Another entry. */
typedef struct peer {
	char id[AP_NAME_MAX];
	ap_id_t inc;
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	bool leaving;
	double score;
	unsigned probes_lost;
	ap_id_t heard_inc;
	ap_usec_t heard_at;
	ap_usec_t heard_clock;
} peer_t;

/* Key of an issuer that named this entry as a possible witness. */
typedef struct issuer {
	ap_id_t inc;
	unsigned char key[AP_ONCE_KEY_BYTES];
	ap_usec_t drop_at;
	TAILQ_ENTRY(issuer) by_age;
	UT_hash_handle hh;
} issuer_t;

TAILQ_HEAD(issuer_list, issuer);

/* A judgement that other entries are asked for. */
typedef struct permit_query {
	uint64_t number;
	uint64_t token;
	char text[AP_PERMIT_TEXT_MAX];
	ap_permit_t permit;
	unsigned step;
	char queried[PERMIT_QUERY_STEPS][AP_NAME_MAX];
	ap_usec_t resend_at;
	ap_usec_t give_up_at;
	TAILQ_ENTRY(permit_query) link;
} permit_query_t;

TAILQ_HEAD(permit_query_list, permit_query);

/*
 * What one incarnation left behind: its records as issuer and as witness. A permit that is not
 * among them and expires after @horizon, moved on by the time since @taken_at, has not run.
 */
typedef struct record_set {
	ap_id_t inc;
	ap_usec_t horizon;
	ap_usec_t taken_at;
	bool complete;
	uint64_t next_part;
	table_t table;
	TAILQ_ENTRY(record_set) link;
} record_set_t;

TAILQ_HEAD(record_set_list, record_set);

/* Progress of handing record_sets over. */
typedef struct handover {
	record_set_t *record_set;
	record_t *cursor;
	uint64_t part;
	unsigned successor;
	unsigned tries;
	ap_usec_t resend_at;
	ap_usec_t give_up_at;
	bool done;
} handover_t;

struct ap_once {
	ap_once_config_t config;
	ap_usec_t now;
	bool draining;
	peer_t *peers; /* by id */
	size_t n_peers;
	peer_t **witness_candidates; /* of the own region, best possible witness first */
	size_t n_witness_candidates;
	ap_usec_t probe_at;
	bool peers_expected;	    /* other entries of the region, whether known or not */
	unsigned unanswered_rounds; /* probes sent since a contact answered last */
	uint64_t seq;
	uint64_t permit_query_seq;
	quota_t quota;
	response_store_t responses;
	table_t issued;
	table_t witnessed;
	record_t *by_token;
	struct record_list waiting;
	issuer_t *issuers;
	struct issuer_list issuers_by_age;
	struct permit_query_list permit_queries;
	size_t n_permit_queries;
	struct record_set_list record_sets;
	size_t n_record_sets;
	record_set_t *own_record_set;
	handover_t handover;
	ap_once_counts_t counts;
};

/* once.c */
void once_set_now(ap_once_t *o, ap_usec_t now);
peer_t *once_peer(const ap_once_t *o, const char *id);
bool once_in_region(const ap_once_t *o, const peer_t *peer);
void once_send(ap_once_t *o, const char *to, ap_once_msg_t *msg);
ap_once_kind_t once_verdict_of(const record_t *r, ap_once_verdict_t *v);
/** once_find() - in @t, or among what is being handed over. */
record_t *once_find(const ap_once_t *o, const table_t *t, ap_xid_t xid);
void once_decide(ap_once_t *o, uint64_t token, const ap_once_verdict_t *v);
/** once_resolve_local() - what this entry alone can say; closes @permit if it may. */
ap_once_kind_t once_resolve_local(ap_once_t *o, const ap_permit_t *permit, ap_once_verdict_t *v);

/* issuer.c */
ap_once_kind_t issuer_resolve(ap_once_t *o, const ap_permit_t *permit, ap_once_verdict_t *v);
void issuer_begin_ack(ap_once_t *o, const ap_once_msg_t *msg);
void issuer_begin_denied(ap_once_t *o, const ap_once_msg_t *msg);
void issuer_tick(ap_once_t *o);
void issuer_close_waiting(ap_once_t *o);

/* witness.c */
void witness_probe(ap_once_t *o, const char *from, const ap_once_msg_t *msg);
void witness_probe_ack(ap_once_t *o, const char *from, const ap_once_msg_t *msg);
void witness_begin(ap_once_t *o, const char *from, const ap_once_msg_t *msg);
void witness_done(ap_once_t *o, const ap_once_msg_t *msg);
void witness_tick(ap_once_t *o);
/** witness_forget_issuers() - drops keys whose time is not after @until. */
void witness_forget_issuers(ap_once_t *o, ap_usec_t until);
ap_once_kind_t witness_resolve(ap_once_t *o, const ap_permit_t *permit, ap_once_verdict_t *v);
/** witness_suspect() - @id did not response in time; no permit names it until it does. */
void witness_suspect(ap_once_t *o, const char *id);
/** witness_choose() - sets the witness of a new permit; leaves it empty without one. */
void witness_choose(ap_once_t *o, ap_permit_t *permit);

/* permit-query.c */
void permit_query_receive(ap_once_t *o, const char *from, const ap_once_msg_t *msg);
void permit_query_receive_response(ap_once_t *o, const char *from, const ap_once_msg_t *msg);
void permit_query_tick(ap_once_t *o);
void permit_query_cancel(ap_once_t *o, uint64_t token);
void permit_query_free(ap_once_t *o);

/* handover.c */
void handover_receive(ap_once_t *o, const char *from, const ap_once_msg_t *msg);
void handover_receive_ack(ap_once_t *o, const char *from, const ap_once_msg_t *msg);
void handover_tick(ap_once_t *o);
void handover_free(ap_once_t *o);
/** handover_successor() - successor number @rank of the incarnation @inc; may be this entry itself.
 */
const char *handover_successor(const ap_once_t *o, ap_id_t inc, unsigned rank);
ap_once_kind_t handover_resolve(ap_once_t *o, const ap_permit_t *permit, ap_once_verdict_t *v);

#endif
