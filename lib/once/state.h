/*
 * State of struct ap_once and the functions that its parts (issuer, witness, queries, handover)
 * call from each other. Private.
 */
#ifndef AP_ONCE_STATE_H
#define AP_ONCE_STATE_H

#include "once/quota.h"
#include "once/table.h"

/* Witness candidates probed per round if all of them acknowledge; see probe_candidates(). */
#define PROBED_CANDIDATES 3
#define PROBES_LOST_MAX 3 /* unacknowledged probes after which another candidate is probed too */
/*
 * Rounds of probes per probe interval while no candidate acknowledges. A new permit waits for at
 * most this many rounds.
 */
#define UNANSWERED_ROUNDS 8
/* Rounds that a new permit waits for if peers are expected and no candidate is known. */
#define EXPECTING_ROUNDS 24
#define CALLER_QUOTA_DIVISOR 8 /* a caller may hold records_max / 8 unused permits of an issuer */
#define ISSUERS_MAX 2048       /* issuers' incarnations whose keys a witness keeps */
#define RECORD_SETS_MAX 64     /* record sets taken over from other instances */
#define SUCCESSORS_MAX 2       /* successors that a record set is handed to, best first */
#define PERMIT_QUERY_STEPS 6   /* issuer, witness, two successors of each */
/* A witness reserves 1/8 of its table for permits that it closes. */
#define CLOSING_RESERVE_DIVISOR 8
/*
 * An issuer's key is kept for this many times the ttl of permits plus the retention of records, a
 * record set at least as long.
 */
#define ISSUER_KEPT_TTLS 4

/**
 * struct peer - another instance.
 * @score: rank as a witness of this instance; higher is better
 * @probes_lost: probes sent since its last acknowledgement
 * @heard_inc: incarnation that acknowledged the last probe; zero: none, or suspected since
 * @heard_at: when that acknowledgement came, on the own clock
 * @heard_clock: time in that acknowledgement, on the peer's clock
 */
typedef struct peer {
	char id[AP_NAME_MAX];
	ap_id_t inc;
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	bool draining;
	double score;
	unsigned probes_lost;
	ap_id_t heard_inc;
	ap_usec_t heard_at;
	ap_usec_t heard_clock;
} peer_t;

/* Key of an issuer that probed this instance as a witness candidate. */
typedef struct issuer {
	ap_id_t inc;
	unsigned char key[AP_ONCE_KEY_BYTES];
	ap_usec_t drop_at;
	TAILQ_ENTRY(issuer) by_drop_at;
	UT_hash_handle hh;
} issuer_t;

TAILQ_HEAD(issuer_list, issuer);

/**
 * struct permit_query - a request to other instances for a verdict on one permit.
 * @number: matches a response to its query
 * @token: the driver's handle
 * @step: number of the instance that is queried now, from 0 to PERMIT_QUERY_STEPS - 1
 * @queried: ids of the instances queried so far, by step
 */
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

/**
 * struct record_set - records of one incarnation as issuer and as witness, as they are handed over.
 * @horizon: as read at @taken_at, on the clock of @inc; a permit without a record has not run if it
 *           expires after @horizon plus the time since @taken_at
 * @taken_at: on the own clock
 * @complete: all parts are stored
 * @next_part: number of the part of the handover that is expected next
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

/**
 * struct handover - progress of handing over the own record set and those taken over before.
 * @record_set: the one that is handed over now
 * @cursor: first record of the part that was sent last
 * @successor: rank of the successor that it is sent to; SUCCESSORS_MAX: none is left
 * @tries: times that the part was sent to this successor
 */
typedef struct handover {
	record_set_t *record_set;
	record_t *cursor;
	uint64_t part; /* number of the part that was sent last */
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
	peer_t **witness_candidates; /* of the own region and not draining, best first */
	size_t n_witness_candidates;
	ap_usec_t probe_at;
	bool peers_expected;	    /* the region has other instances, live or not */
	unsigned unanswered_rounds; /* rounds of probes without a fresh acknowledgement */
	uint64_t seq;
	uint64_t permit_query_seq;
	quota_t quota;
	response_store_t responses;
	table_t issued;
	table_t witnessed;
	record_t *by_token;
	struct record_list waiting; /* for the witness's acknowledgement */
	issuer_t *issuers;
	struct issuer_list issuers_by_drop_at;
	struct permit_query_list permit_queries;
	size_t n_permit_queries;
	struct record_set_list record_sets;
	size_t n_record_sets;
	record_set_t *own_record_set; /* NULL until the instance drains */
	handover_t handover;
	ap_once_counts_t counts;
};

/* once.c */
void once_set_now(ap_once_t *o, ap_usec_t now);
peer_t *once_peer(const ap_once_t *o, const char *id);
bool once_in_region(const ap_once_t *o, const peer_t *peer);
void once_send(ap_once_t *o, const char *to, ap_once_msg_t *msg);
ap_once_verdict_kind_t once_verdict_of(const record_t *r, ap_once_verdict_t *v);
/** once_find() - finds a record in @t or in the own record set that is being handed over. */
record_t *once_find(const ap_once_t *o, const table_t *t, ap_xid_t xid);
/** once_decide() - counts a verdict, and passes it to the driver unless @token is 0. */
void once_decide(ap_once_t *o, uint64_t token, const ap_once_verdict_t *v);
/** once_resolve_local() - verdict from own records alone; closes @permit if that is safe. */
ap_once_verdict_kind_t once_resolve_local(ap_once_t *o, const ap_permit_t *permit,
					  ap_once_verdict_t *v);

/* issuer.c */
ap_once_verdict_kind_t issuer_resolve(ap_once_t *o, const ap_permit_t *permit,
				      ap_once_verdict_t *v);
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
/** witness_forget_issuers() - drops the keys of issuers whose drop_at is at or before @until. */
void witness_forget_issuers(ap_once_t *o, ap_usec_t until);
ap_once_verdict_kind_t witness_resolve(ap_once_t *o, const ap_permit_t *permit,
				       ap_once_verdict_t *v);
/**
 * witness_suspect() - @id acknowledged no BEGIN in time; it is not chosen as a witness until it
 * acknowledges a probe.
 */
void witness_suspect(ap_once_t *o, const char *id);
/** witness_choose() - sets the witness of a new permit; leaves it empty if none is available. */
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
/**
 * handover_successor() - id of the successor number @rank, from 0, of the incarnation @inc; may be
 * this instance itself. NULL: there is none.
 */
const char *handover_successor(const ap_once_t *o, ap_id_t inc, unsigned rank);
ap_once_verdict_kind_t handover_resolve(ap_once_t *o, const ap_permit_t *permit,
					ap_once_verdict_t *v);

#endif
