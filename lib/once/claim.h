/* State of the claims and the calls between their parts: the store, and the owners. Private. */
#ifndef AP_ONCE_CLAIM_H
#define AP_ONCE_CLAIM_H

#include "once/table.h"

/**
 * struct ap_claims - claims made and claims asked about.
 * @waiting: for the store
 * @asking: for the entries that made them
 */
struct ap_claims {
	ap_claims_config_t config;
	ap_once_limits_t limits;
	ap_usec_t now;
	uint32_t wall;
	uint64_t seq;
	uint64_t attempt_seq;
	response_store_t responses;
	table_t table;
	record_t *by_token;
	struct record_list waiting;
	struct record_list querying;
	LIST_HEAD(, call) calls;
};

/* claim.c */
void claims_set_now(ap_claims_t *c, ap_usec_t now);
/** claim_verdict_of() - what the record of an own claim tells. */
ap_once_kind_t claim_verdict_of(const record_t *r, ap_once_verdict_t *v);

/* claim-owner.c */
/** owner_query() - @r turned out to be claimed as @owner; false when that entry is not there. */
bool owner_query(ap_claims_t *c, record_t *r, ap_xid_t owner);
/** owner_cancel() - nobody waits for the response any more. */
void owner_cancel(ap_claims_t *c, record_t *r);
void owner_tick(ap_claims_t *c);
ap_usec_t owner_due(const ap_claims_t *c);
/** owner_unknown_verdict() - the verdict when the entry that made a claim cannot tell. */
void owner_unknown_verdict(ap_once_verdict_t *v);

#endif
