/*
 * State of struct ap_claims and the functions that its parts (claims in the store, queries to the
 * owners of claims) call from each other. The owner of a claim is the instance that made it.
 * Private.
 */
#ifndef AP_ONCE_CLAIM_H
#define AP_ONCE_CLAIM_H

#include "once/table.h"

/**
 * struct ap_claims - claims of this instance, and those whose owners it queries.
 * @limits: of @responses
 * @wall: wall clock in seconds, as of the last use
 * @seq: nonce of the own claim made last
 * @call_seq: number of the last call to the store or query to an owner
 * @waiting: records that wait for the store
 * @querying: records that wait for the claim's owner
 * @calls: calls to the store in progress
 */
struct ap_claims {
	ap_claims_config_t config;
	ap_once_limits_t limits;
	ap_usec_t now;
	uint32_t wall;
	uint64_t seq;
	uint64_t call_seq;
	response_store_t responses;
	table_t table;
	record_t *by_token;
	struct record_list waiting;
	struct record_list querying;
	LIST_HEAD(, call) calls;
};

/* claim.c */
void claims_set_now(ap_claims_t *c, ap_usec_t now);
/** claim_verdict_of() - sets @v to the verdict that the record of an own claim gives. */
ap_once_verdict_kind_t claim_verdict_of(const record_t *r, ap_once_verdict_t *v);

/* claim-owner.c */
/**
 * owner_query() - requests a verdict on @r from the instance that claimed its key.
 * @owner: incarnation of that instance and nonce of its claim
 *
 * Return: false when no message can be sent to that instance.
 */
bool owner_query(ap_claims_t *c, record_t *r, ap_xid_t owner);
/** owner_query_cancel() - ends a query to an owner and deletes its record. */
void owner_query_cancel(ap_claims_t *c, record_t *r);
void owner_tick(ap_claims_t *c);
ap_usec_t owner_due(const ap_claims_t *c);
/** owner_unknown_verdict() - sets the verdict for a claim whose owner gives none. */
void owner_unknown_verdict(ap_once_verdict_t *v);

#endif
