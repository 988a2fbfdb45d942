/*
 * At-most-once calls: permits (single-use tokens) and, for callers that bring only an idempotency
 * key, claims in the key-value service. The code does no I/O and reads no clock: the driver passes
 * in the time and received messages, and sends, dispatches and responds as the callbacks and
 * verdicts say. "Instance" here means an entry instance, one of those passed to
 * ap_once_set_entries().
 * docs/design/at-most-once.md describes the protocol and why it is safe.
 */
#ifndef AP_ONCE_H
#define AP_ONCE_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"

#define AP_PERMIT_TEXT_MAX 512 /* bytes of a permit's text, with its terminator */
#define AP_PERMIT_TAG_BYTES 16 /* bytes of a permit's authentication tag */
#define AP_ONCE_KEY_BYTES 32   /* bytes of the secret key that an issuer draws when it starts */

typedef enum ap_once_status {
	AP_ONCE_OK,
	AP_ONCE_FULL,	    /* the issuer's quota of permits is used up */
	AP_ONCE_OVER_LIMIT, /* this caller's quota of unused permits is used up */
	AP_ONCE_DRAINING,   /* the issuer is draining */
	AP_ONCE_BAD_NAME,   /* a name is empty or too long */
	AP_ONCE_NO_MEMORY,  /* out of memory; nothing was done */
} ap_once_status_t;

/**
 * struct ap_permit - single-use token for one call; its text carries all fields.
 * @xid: issuer's incarnation and sequence number
 * @issuer: id of the only instance that may dispatch the call
 * @witness: id of the instance that must acknowledge the permit before the dispatch; empty if the
 *           permit has no witness
 * @witness_inc: incarnation of the witness
 * @expires: on the issuer's clock; the permit cannot be used for the first time after this
 * @witness_expires: on the witness's clock; the witness acknowledges no BEGIN for the first time
 *                   after this
 * @tag: message authentication code over all other fields, made with the issuer's key
 */
typedef struct ap_permit {
	ap_xid_t xid;
	char issuer[AP_NAME_MAX];
	char witness[AP_NAME_MAX];
	ap_id_t witness_inc;
	char service[AP_NAME_MAX];
	char caller[AP_NAME_MAX];
	ap_usec_t expires;
	ap_usec_t witness_expires;
	unsigned char tag[AP_PERMIT_TAG_BYTES];
} ap_permit_t;

/** ap_permit_write() - sets the tag of @permit and writes its text; false if a name is too long. */
bool ap_permit_write(ap_permit_t *permit, const unsigned char key[AP_ONCE_KEY_BYTES],
		     char out[AP_PERMIT_TEXT_MAX]);
/** ap_permit_read() - parses a permit's text; false if malformed. Does not check the tag. */
bool ap_permit_read(const char *text, ap_permit_t *permit);
/** ap_permit_genuine() - true if the tag of @permit was made with @key. */
bool ap_permit_genuine(const ap_permit_t *permit, const unsigned char key[AP_ONCE_KEY_BYTES]);

/* Verdict on a use of a permit or a claim. The values are sent in messages. */
typedef enum ap_once_verdict_kind {
	AP_ONCE_PENDING,      /* the decided callback follows, unless the use is cancelled */
	AP_ONCE_DISPATCH,     /* the call may be dispatched now: see ap_once_dispatch() */
	AP_ONCE_FORWARD,      /* forward the request to @entry, which alone may dispatch it */
	AP_ONCE_USED,	      /* the call ran: @outcome and the stored response, if any */
	AP_ONCE_RUNNING,      /* the call is in progress */
	AP_ONCE_NOT_RUN,      /* the call did not run and never will */
	AP_ONCE_UNKNOWN,      /* no reachable instance knows whether the call ran */
	AP_ONCE_WRONG_REGION, /* the permit's issuer, @entry, is in a remote region */
	AP_ONCE_REFUSED,      /* not a genuine permit of this caller for this service */
} ap_once_verdict_kind_t;

/**
 * struct ap_once_verdict - how a use ends; pointers are valid until the next call.
 * @entry: id of an instance, with AP_ONCE_FORWARD and AP_ONCE_WRONG_REGION
 * @why: short constant text for the error message
 * @response, @len: stored response and its bytes; 0 bytes if none is stored
 */
typedef struct ap_once_verdict {
	ap_once_verdict_kind_t kind;
	ap_outcome_t outcome;
	char entry[AP_NAME_MAX];
	const char *why;
	const void *response;
	size_t len;
} ap_once_verdict_t;

/* Kinds of messages between instances, with the fields that matter. The values are sent. */
typedef enum ap_once_msg_kind {
	AP_ONCE_MSG_PROBE = 1,	  /* issuer to witness candidate: @key */
	AP_ONCE_MSG_PROBE_ACK,	  /* acknowledgement: @clock of the candidate */
	AP_ONCE_MSG_BEGIN,	  /* issuer to witness: about to dispatch @xid */
	AP_ONCE_MSG_BEGIN_ACK,	  /* acknowledgement: recorded, @xid may be dispatched */
	AP_ONCE_MSG_BEGIN_DENIED, /* @xid must not be dispatched */
	AP_ONCE_MSG_DONE,	  /* issuer to witness: @outcome and @response */
	AP_ONCE_MSG_QUERY,	  /* requests a verdict on the permit @text; closes an unused one */
	AP_ONCE_MSG_QUERY_RESPONSE, /* @verdict, @outcome, @response */
	AP_ONCE_MSG_HANDOVER,	    /* part @number of the records of incarnation @about */
	AP_ONCE_MSG_HANDOVER_ACK,   /* acknowledgement: part @number is stored */
	AP_ONCE_MSG_CLAIM_QUERY,    /* requests a verdict on the claim @xid of @about */
	AP_ONCE_MSG_CLAIM_RESPONSE, /* @verdict, @outcome, @response */
	AP_ONCE_MSG_LAST = AP_ONCE_MSG_CLAIM_RESPONSE,
} ap_once_msg_kind_t;

/**
 * struct ap_once_item - one record in a handover.
 * @xid: of the permit
 * @left: microseconds from the start of the handover until the record may be deleted
 * @tag: of the permit
 */
typedef struct ap_once_item {
	ap_xid_t xid;
	ap_outcome_t outcome;
	ap_usec_t left;
	unsigned char tag[AP_PERMIT_TAG_BYTES];
	const void *response;
	size_t len;
} ap_once_item_t;

/**
 * struct ap_once_msg - a message between two instances of one region; pointers are borrowed.
 * @from: sender's incarnation
 * @about: incarnation that the message is addressed to (BEGIN, DONE, CLAIM_QUERY), or whose records
 *         are handed over (HANDOVER, HANDOVER_ACK)
 * @xid: of the permit; of a claim: the hash of service, caller and idempotency key, and its nonce
 * @number: of a query, repeated in its response; or of a part of a handover, from 0
 * @clock: PROBE_ACK: sender's time. BEGIN: expiry of the permit, on the witness's clock. HANDOVER:
 *         horizon of the records, on the clock of @about; a permit that expires later and whose
 *         record is not handed over has not run
 * @last: no part of the handover follows
 * @key: issuer's key (PROBE)
 * @tag: of the permit (BEGIN)
 * @text: of the permit (QUERY)
 */
typedef struct ap_once_msg {
	ap_once_msg_kind_t kind;
	ap_id_t from;
	ap_id_t about;
	ap_xid_t xid;
	uint64_t number;
	ap_usec_t clock;
	ap_once_verdict_kind_t verdict;
	ap_outcome_t outcome;
	bool last;
	unsigned char key[AP_ONCE_KEY_BYTES];
	unsigned char tag[AP_PERMIT_TAG_BYTES];
	const char *text;
	const void *response;
	size_t len;
	const ap_once_item_t *items;
	size_t n_items;
} ap_once_msg_t;

#define AP_ONCE_ITEMS_MAX 64	       /* records in one part of a handover */
#define AP_ONCE_PART_BYTES (256 << 10) /* bytes of responses in a part of several records */

/**
 * struct ap_once_limits - bounds in time (microseconds) and memory.
 * @ttl: life of an unused permit
 * @keep: time that a record is kept after its permit expired or its call ended, whichever is later
 * @begin_ack_wait: longest wait for the witness's acknowledgement of a BEGIN
 * @query_wait: longest wait for the response of one instance to a query
 * @probe_every: interval of the probes to witness candidates
 * @handover_wait: longest time a handover may take
 * @records_max: records in each table
 * @responses_max: stored responses over all tables
 * @responses_bytes_max: bytes of all stored responses
 * @response_bytes_max: bytes of one stored response; a longer one is not stored
 * @queries_max: queries in progress
 */
typedef struct ap_once_limits {
	ap_usec_t ttl;
	ap_usec_t keep;
	ap_usec_t begin_ack_wait;
	ap_usec_t query_wait;
	ap_usec_t probe_every;
	ap_usec_t handover_wait;
	size_t records_max;
	size_t responses_max;
	size_t responses_bytes_max;
	size_t response_bytes_max;
	size_t queries_max;
} ap_once_limits_t;

extern const ap_once_limits_t ap_once_default_limits;

/**
 * struct ap_once_config - settings and callbacks of one instance, fixed for its incarnation.
 * @id: of the own instance
 * @inc: own incarnation; only this object dispatches permits that it issued
 * @key: drawn at random for this incarnation
 * @send: sends to the instance @to of the own region; messages may be lost, duplicated, delayed
 *        and reordered
 * @decided: takes the verdict on a use that was pending
 */
typedef struct ap_once_config {
	char id[AP_NAME_MAX];
	ap_id_t inc;
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	unsigned char key[AP_ONCE_KEY_BYTES];
	ap_once_limits_t limits;
	ap_env_t env;
	void *ctx;
	void (*send)(void *ctx, const char *to, const ap_once_msg_t *msg);
	void (*decided)(void *ctx, uint64_t token, const ap_once_verdict_t *verdict);
} ap_once_config_t;

typedef struct ap_once ap_once_t;

/** ap_once_new() - copies @config. Return: NULL when out of memory; free with ap_once_free(). */
ap_once_t *ap_once_new(const ap_once_config_t *config, ap_usec_t now);
void ap_once_free(ap_once_t *o);
/** ap_once_set_entries() - sets the live instances of all regions; @entries is copied. */
void ap_once_set_entries(ap_once_t *o, const ap_entry_t *entries, size_t n, ap_usec_t now);

/** ap_once_expect_peers() - @peers_expected: the region has other instances, live or not. */
void ap_once_expect_peers(ap_once_t *o, bool peers_expected);
/**
 * ap_once_witness_ready() - true unless a new permit should wait for a witness.
 *
 * Return: true when a witness candidate acknowledges probes, or the instance is alone in its
 * region. Otherwise false for a bounded time: about one interval of the probes while no known
 * candidate acknowledges, three while other instances are expected and none is known.
 */
bool ap_once_witness_ready(const ap_once_t *o);

/** ap_once_issue() - writes a permit for one call of @caller to @service into @text. */
ap_once_status_t ap_once_issue(ap_once_t *o, const char *service, const char *caller, ap_usec_t now,
			       char text[AP_PERMIT_TEXT_MAX]);

/**
 * ap_once_use() - starts the call that came with the permit @text.
 * @token: the driver's handle, above 0 and unique among uses in progress
 *
 * Return: the kind of @verdict; with AP_ONCE_PENDING the callback follows. After AP_ONCE_FORWARD
 * the driver forwards the request, and calls ap_once_resolve() if no response came.
 */
ap_once_verdict_kind_t ap_once_use(ap_once_t *o, const char *text, const char *service,
				   const char *caller, uint64_t token, ap_usec_t now,
				   ap_once_verdict_t *verdict);

/**
 * ap_once_resolve() - finds out what became of the permit @text, and closes it if it has not begun.
 *
 * Return: as ap_once_use(), but never AP_ONCE_DISPATCH or AP_ONCE_FORWARD.
 */
ap_once_verdict_kind_t ap_once_resolve(ap_once_t *o, const char *text, const char *service,
				       const char *caller, uint64_t token, ap_usec_t now,
				       ap_once_verdict_t *verdict);

/**
 * ap_once_dispatch() - must be called before the first byte of a request that got AP_ONCE_DISPATCH
 * is written.
 *
 * Return: true at most once per permit, unless ap_once_not_started() was called in between; on
 * false nothing may be written.
 */
bool ap_once_dispatch(ap_once_t *o, uint64_t token, ap_usec_t now);

/**
 * ap_once_not_started() - the dispatched request certainly reached no upstream, so that
 * ap_once_dispatch() may be called once more.
 */
void ap_once_not_started(ap_once_t *o, uint64_t token);

/**
 * ap_once_done() - ends a use that got AP_ONCE_DISPATCH; AP_OUTCOME_NOT_RUN closes the permit for
 * good.
 * @response, @len: stored for later uses of the permit, if not too long; copied
 */
void ap_once_done(ap_once_t *o, uint64_t token, ap_outcome_t outcome, const void *response,
		  size_t len, ap_usec_t now);

/**
 * ap_once_cancel() - ends a pending use whose caller closed its connection, without a verdict. A
 * permit that waits for its witness is closed.
 */
void ap_once_cancel(ap_once_t *o, uint64_t token, ap_usec_t now);

/** ap_once_receive() - takes a message; ignores one that is not from the own region. */
void ap_once_receive(ap_once_t *o, const char *from, const ap_once_msg_t *msg, ap_usec_t now);
void ap_once_tick(ap_once_t *o, ap_usec_t now);
/** ap_once_due() - the time at which ap_once_tick() must be called next. */
ap_usec_t ap_once_due(const ap_once_t *o);

/**
 * ap_once_drain() - dispatches nothing from now on and hands all records to a successor. Should be
 * called when no use is in progress; one that is gets handed over with an unknown outcome.
 */
void ap_once_drain(ap_once_t *o, ap_usec_t now);
/** ap_once_in_region() - true if @id is a known instance of the own region. */
bool ap_once_in_region(const ap_once_t *o, const char *id);
/**
 * ap_once_send_to() - sends to the instance of the own region with the incarnation @to; false if
 * there is none.
 */
bool ap_once_send_to(ap_once_t *o, ap_id_t to, const ap_once_msg_t *msg);
/** ap_once_drained() - true once the handover is complete or has timed out. */
bool ap_once_drained(const ap_once_t *o);

/**
 * struct ap_once_counts - the first four hold the present state, the others count from the start.
 * @responses, @response_bytes: stored responses and their bytes
 * @closed_as_witness: permits of other issuers that were closed before they began
 */
typedef struct ap_once_counts {
	size_t issued_records;
	size_t witnessed_records;
	size_t responses;
	size_t response_bytes;
	uint64_t issued;
	uint64_t issued_without_witness;
	uint64_t dispatched;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t used_again;
	uint64_t refused;
	uint64_t closed_as_witness;
	uint64_t messages;
} ap_once_counts_t;

ap_once_counts_t ap_once_counts(const ap_once_t *o);

/*
 * Claims, for callers that bring only an idempotency key. The hash of service, caller and key, and
 * a nonce, are written to the key-value service before the call is dispatched.
 */
typedef struct ap_claims ap_claims_t;

/**
 * struct ap_claims_config - settings and callbacks, fixed for one incarnation.
 * @inc: own incarnation, written with every claim
 * @retention: seconds for which a claim holds
 * @wait: longest wait for the key-value service until a claim is decided
 * @query_wait: longest wait for the response of the instance that owns a claim
 * @records_max: claims kept in memory
 * @responses_max: stored responses
 * @response_bytes_max: bytes of one stored response; a longer one is not stored
 * @send: sends to the instance of the own region whose incarnation is @to; false when there is
 *        none. Messages may be lost, duplicated, delayed and reordered. NULL: no owner is queried.
 * @decided: as for permits; the verdict is AP_ONCE_DISPATCH, USED, RUNNING, NOT_RUN or UNKNOWN
 */
typedef struct ap_claims_config {
	ap_id_t inc;
	char region[AP_NAME_MAX];
	uint32_t retention;
	ap_usec_t wait;
	ap_usec_t query_wait;
	size_t records_max;
	size_t responses_max;
	size_t response_bytes_max;
	ap_kv_port_t kv;
	ap_env_t env;
	void *ctx;
	bool (*send)(void *ctx, ap_id_t to, const ap_once_msg_t *msg);
	void (*decided)(void *ctx, uint64_t token, const ap_once_verdict_t *verdict);
} ap_claims_config_t;

/** ap_claims_default() - sets the bounds in @config; leaves kv, inc, region and the callbacks. */
void ap_claims_default(ap_claims_config_t *config);
/** ap_claims_new() - copies @config. Return: NULL when out of memory. */
ap_claims_t *ap_claims_new(const ap_claims_config_t *config);
/** ap_claims_free() - the key-value port must make no callback after this. */
void ap_claims_free(ap_claims_t *c);
/**
 * ap_claims_use() - starts the call that came with the idempotency key @key.
 * @token: the driver's handle, above 0 and unique among uses in progress
 * @wall: seconds of the wall clock, used only for the age of claims in the store
 */
ap_once_verdict_kind_t ap_claims_use(ap_claims_t *c, const char *key, const char *service,
				     const char *caller, uint64_t token, ap_usec_t now,
				     uint32_t wall, ap_once_verdict_t *verdict);
/** ap_claims_dispatch() - as ap_once_dispatch(); also false when the claim is too old. */
bool ap_claims_dispatch(ap_claims_t *c, uint64_t token, ap_usec_t now);
/** ap_claims_not_started() - as ap_once_not_started(). */
void ap_claims_not_started(ap_claims_t *c, uint64_t token);
void ap_claims_done(ap_claims_t *c, uint64_t token, ap_outcome_t outcome, const void *response,
		    size_t len, ap_usec_t now);
void ap_claims_cancel(ap_claims_t *c, uint64_t token, ap_usec_t now);
/** ap_claims_receive() - takes a CLAIM_QUERY or CLAIM_RESPONSE from an instance of the region. */
void ap_claims_receive(ap_claims_t *c, const ap_once_msg_t *msg, ap_usec_t now);
void ap_claims_tick(ap_claims_t *c, ap_usec_t now);
ap_usec_t ap_claims_due(const ap_claims_t *c);

#endif
