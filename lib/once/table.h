/* Records of used, witnessed and closed permits, and the responses stored with them. Private. */
#ifndef AP_ONCE_TABLE_H
#define AP_ONCE_TABLE_H

#include "once/once.h"

#include <sys/queue.h>

#define HASH_FUNCTION(key, len, hash) ((hash) = (unsigned)ap_hash(key, len, 0))
#include <uthash.h>

#define RESENDS 3 /* tries within one wait */

typedef enum record_state {
	RECORD_BEGINNING, /* issuer: waits for the witness */
	RECORD_QUERYING,  /* claim: waits for the entry that made it */
	RECORD_RUNNING,	  /* issuer: may be dispatched or was; witness: acknowledged */
	RECORD_FINISHED,  /* @outcome holds */
} record_state_t;

/**
 * struct record - what is known of one permit.
 * @reported_not_run: a caller was told so; it must never run
 * @dispatched: the first byte may have been written
 * @drop_at: forgotten after this, on the own clock
 * @resend_at, @give_up_at: while beginning or asking
 * @nonce, @attempt, @tries: of a claim, which is kept under its key's hash in place of an xid
 * @owner: incarnation and number of another entry's claim, while asking
 */
typedef struct record {
	ap_xid_t xid;
	record_state_t state;
	ap_outcome_t outcome;
	bool reported_not_run;
	bool dispatched;
	uint64_t token;
	char witness[AP_NAME_MAX];
	ap_id_t witness_inc;
	ap_usec_t witness_expires;
	ap_usec_t drop_at;
	ap_usec_t resend_at;
	ap_usec_t give_up_at;
	uint64_t nonce;
	uint64_t attempt;
	unsigned tries;
	ap_xid_t owner;
	unsigned char tag[AP_PERMIT_TAG_BYTES];
	void *response;
	size_t len;
	TAILQ_ENTRY(record) by_age;
	TAILQ_ENTRY(record) by_response;
	TAILQ_ENTRY(record) by_wait;
	UT_hash_handle hh;
	UT_hash_handle hh_token;
} record_t;

TAILQ_HEAD(record_list, record);

/* Stored responses over all tables of one object, oldest first. */
typedef struct responses {
	struct record_list list;
	size_t n;
	size_t bytes;
	const ap_once_limits_t *limits;
} response_store_t;

/* Records by xid, ordered by when they are forgotten. */
typedef struct table {
	record_t *by_xid;
	struct record_list by_age;
	size_t n;
	size_t max;
	response_store_t *responses;
} table_t;

/** token_add(), token_find(), token_remove() - uses in progress, by the driver's token. */
void token_add(record_t **by_token, record_t *r, uint64_t token);
record_t *token_find(record_t *by_token, uint64_t token);
void token_remove(record_t **by_token, record_t *r);

/**
 * record_dispatch() - the one dispatch of a call that may go ahead.
 * @in_time: false when it is too late for that
 *
 * Return: true at most once, unless record_not_started() was called in between.
 */
bool record_dispatch(record_t *r, bool in_time, const ap_env_t *env);
/** record_not_started() - the dispatch certainly reached nobody. */
void record_not_started(record_t *r);
/** record_end() - a call that went ahead has its outcome; false when there is no such call. */
bool record_end(record_t **by_token, record_t *r, ap_outcome_t outcome, const ap_env_t *env);
/** record_stop_waiting() - takes a call that has not gone ahead off the list @waiting. */
void record_stop_waiting(record_t **by_token, struct record_list *waiting, record_t *r);

/** once_verdict() - sets @v; outcome and text are those of @kind. */
ap_once_kind_t once_verdict(ap_once_verdict_t *v, ap_once_kind_t kind, const char *why);

void response_store_init(response_store_t *a, const ap_once_limits_t *limits);
/** response_store_add() - copies an response into @r unless it is too long; drops the oldest for
 * room. */
void response_store_add(response_store_t *a, record_t *r, const void *response, size_t len);

void table_init(table_t *t, size_t max, response_store_t *responses);
void table_clear(table_t *t);
record_t *table_find(const table_t *t, ap_xid_t xid);
/** table_add() - a new record, or NULL when the table is full or memory is short. */
record_t *table_add(table_t *t, ap_xid_t xid, ap_usec_t drop_at);
void table_remove(table_t *t, record_t *r);
/** table_extend() - prolongs the life of a record. */
void table_extend(table_t *t, record_t *r, ap_usec_t drop_at);
/** table_move() - takes a record over from another table, beyond the bound if need be. */
void table_move(table_t *to, table_t *from, record_t *r);
/** table_expire() - forgets records whose time has passed. */
void table_expire(table_t *t, ap_usec_t now);

#endif
