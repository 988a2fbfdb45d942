/*
 * Records of used, witnessed and closed permits and of claims, and the responses stored with them.
 * Private.
 */
#ifndef AP_ONCE_TABLE_H
#define AP_ONCE_TABLE_H

#include "once/once.h"

#include <sys/queue.h>

#define HASH_FUNCTION(key, len, hash) ((hash) = (unsigned)ap_hash(key, len, 0))
#include <uthash.h>

#define SENDS_PER_WAIT 3 /* times that a message is sent in one wait for its response, in all */

typedef enum record_state {
	RECORD_BEGINNING, /* issuer: waits for the witness; claim: waits for the store */
	RECORD_QUERYING,  /* claim: waits for the instance that owns it */
	RECORD_RUNNING,	  /* issuer, claim: may be dispatched or was; witness: acknowledged */
	RECORD_FINISHED,  /* @outcome is set */
} record_state_t;

/**
 * struct record - state of one permit, or of one claim.
 * @xid: of the permit; of a claim: the hash of service, caller and key as its inc, and 0
 * @reported_not_run: not-run was reported, so the call must never run
 * @dispatched: the first byte of the request may have been written
 * @token: the driver's handle while the use is in progress; else 0
 * @drop_at: the record may be deleted after this, on the own clock
 * @resend_at: when to send the message again whose response the record waits for
 * @give_up_at: when to stop waiting; of a running claim: the last time for its dispatch
 * @nonce: number of an own claim, written to the store with the own incarnation
 * @call_number: number of the claim's last call to the store or query to its owner
 * @failed_writes: writes of the claim to the store that failed
 * @owner: incarnation and nonce of another instance's claim, while that instance is queried
 * @by_wait: in the list of records in the states BEGINNING or QUERYING
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
	uint64_t call_number;
	unsigned failed_writes;
	ap_xid_t owner;
	unsigned char tag[AP_PERMIT_TAG_BYTES];
	void *response;
	size_t len;
	TAILQ_ENTRY(record) by_drop_at;
	TAILQ_ENTRY(record) by_response;
	TAILQ_ENTRY(record) by_wait;
	UT_hash_handle hh;
	UT_hash_handle hh_token;
} record_t;

TAILQ_HEAD(record_list, record);

/* Stored responses of all tables that share the limits, oldest first. */
typedef struct response_store {
	struct record_list list;
	size_t n;
	size_t bytes;
	const ap_once_limits_t *limits;
} response_store_t;

/* Records by xid, and in the order of their drop_at. */
typedef struct table {
	record_t *by_xid;
	struct record_list by_drop_at;
	size_t n;
	size_t max;
	response_store_t *responses;
} table_t;

/** token_add(), token_find(), token_remove() - index of the uses in progress by driver's token. */
void token_add(record_t **by_token, record_t *r, uint64_t token);
record_t *token_find(record_t *by_token, uint64_t token);
void token_remove(record_t **by_token, record_t *r);

/**
 * record_dispatch() - permits the dispatch of a running call.
 * @r: NULL reports a broken invariant, as does a call that is dispatched already
 * @in_time: false when it is too late for the dispatch
 *
 * Return: true at most once, unless record_not_started() was called in between.
 */
bool record_dispatch(record_t *r, bool in_time, const ap_env_t *env);
/** record_not_started() - the dispatched request certainly reached no upstream. */
void record_not_started(record_t *r);
/** record_end() - sets the outcome of a running call; false if @r is NULL or not running. */
bool record_end(record_t **by_token, record_t *r, ap_outcome_t outcome, const ap_env_t *env);
/** record_stop_waiting() - removes a call from the list @waiting and ends it as not run. */
void record_stop_waiting(record_t **by_token, struct record_list *waiting, record_t *r);

/** once_verdict() - sets @v to @kind with the outcome that belongs to it. Return: @kind. */
ap_once_verdict_kind_t once_verdict(ap_once_verdict_t *v, ap_once_verdict_kind_t kind,
				    const char *why);

void response_store_init(response_store_t *store, const ap_once_limits_t *limits);
/**
 * response_store_add() - copies a response into @r, unless it is too long or memory is short.
 * Deletes the oldest stored responses to make room.
 */
void response_store_add(response_store_t *store, record_t *r, const void *response, size_t len);

void table_init(table_t *t, size_t max, response_store_t *responses);
void table_clear(table_t *t);
record_t *table_find(const table_t *t, ap_xid_t xid);
/** table_add() - adds a record; NULL when the table is full or memory is short. */
record_t *table_add(table_t *t, ap_xid_t xid, ap_usec_t drop_at);
void table_remove(table_t *t, record_t *r);
/** table_extend() - keeps a record until @drop_at, if that is later than before. */
void table_extend(table_t *t, record_t *r, ap_usec_t drop_at);
/** table_move() - moves a record between tables; @to may exceed its bound by that. */
void table_move(table_t *to, table_t *from, record_t *r);
/** table_expire() - deletes records past their drop_at, except those of uses in progress. */
void table_expire(table_t *t, ap_usec_t now);

#endif
