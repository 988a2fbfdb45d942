/*
 * At most once: permits for calls that may not run twice, and claims for callers that bring only
 * an idempotency key. Pure decisions: the driver passes time and messages in, and sends, dispatches
 * and responses as told. docs/design/at-most-once.md gives the protocol and why it is safe.
 */
#ifndef AP_ONCE_H
#define AP_ONCE_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"

#define AP_PERMIT_TEXT_MAX 512 /* bytes of a permit's text, with its terminator */
#define AP_PERMIT_TAG_BYTES 16 /* bytes of a permit's authentication tag */
#define AP_ONCE_KEY_BYTES 32   /* bytes of the key that an issuer draws at its start */

typedef enum ap_once_status {
	AP_ONCE_OK,
	AP_ONCE_FULL,	    /* too many permits are out */
	AP_ONCE_OVER_LIMIT, /* too many unused permits of this caller are out */
	AP_ONCE_DRAINING,   /* the issuer is shutting down */
	AP_ONCE_BAD_NAME,   /* a name is empty or too long */
	AP_ONCE_NO_MEMORY,  /* nothing was done */
} ap_once_status_t;

/**
 * struct ap_permit - leave for one call, as carried in its text.
 * @xid: issuer's incarnation and sequence number
 * @issuer: id of the entry that may dispatch it
 * @witness: id of the entry that must acknowledge its start; empty without one
 * @witness_inc: incarnation of the witness
 * @expires: on the issuer's clock; not used for the first time after this
 * @witness_expires: on the witness's clock; not acknowledged for the first time after this
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
/** ap_permit_read() - takes a text apart without judging whether it is genuine. */
bool ap_permit_read(const char *text, ap_permit_t *permit);
/** ap_permit_genuine() - was @permit written with @key? */
bool ap_permit_genuine(const ap_permit_t *permit, const unsigned char key[AP_ONCE_KEY_BYTES]);

/* What a use of a permit or a claim led to. */
typedef enum ap_once_kind {
	AP_ONCE_PENDING,      /* the decided callback follows, unless cancelled */
	AP_ONCE_GO,	      /* dispatch it now: see ap_once_dispatch() */
	AP_ONCE_FORWARD,      /* pass the request to entry @entry, which alone may dispatch it */
	AP_ONCE_USED,	      /* ran before: @outcome and the stored response, if any */
	AP_ONCE_RUNNING,      /* used before and still in progress */
	AP_ONCE_NOT_RUN,      /* did not run and never will */
	AP_ONCE_UNKNOWN,      /* nobody left can tell */
	AP_ONCE_WRONG_REGION, /* issued in another region, named in @entry */
	AP_ONCE_REFUSED,      /* not a genuine permit of this caller for this service */
} ap_once_kind_t;

/**
 * struct ap_once_verdict - how a use ends; pointers are valid until the next call.
 * @why: short constant text for the error message
 */
typedef struct ap_once_verdict {
	ap_once_kind_t kind;
	ap_outcome_t outcome;
	char entry[AP_NAME_MAX];
	const char *why;
	const void *response;
	size_t len;
} ap_once_verdict_t;

typedef enum ap_once_msg_kind {
	AP_ONCE_MSG_PROBE = 1,	  /* issuer to possible witness: @key */
	AP_ONCE_MSG_PROBE_ACK,	  /* reply: @clock of the sender */
	AP_ONCE_MSG_BEGIN,	  /* issuer to witness: about to dispatch @xid */
	AP_ONCE_MSG_BEGIN_ACK,	  /* reply: recorded, dispatch it */
	AP_ONCE_MSG_BEGIN_DENIED, /* reply: do not dispatch it */
	AP_ONCE_MSG_DONE,	  /* issuer to witness: @outcome and @response */
	AP_ONCE_MSG_QUERY, /* what became of the permit @text? close it if it has not begun */
	AP_ONCE_MSG_QUERY_RESPONSE, /* reply: @verdict, @outcome, @response */
	AP_ONCE_MSG_HANDOVER,	    /* part @number of the table of @about, whole from @clock on */
	AP_ONCE_MSG_HANDOVER_ACK,   /* reply: part @number is kept */
	AP_ONCE_MSG_CLAIM_QUERY,    /* what became of the claim @xid of @about? */
	AP_ONCE_MSG_CLAIM_RESPONSE, /* reply: @verdict, @outcome, @response */
	AP_ONCE_MSG_LAST = AP_ONCE_MSG_CLAIM_RESPONSE,
} ap_once_msg_kind_t;

/**
 * struct ap_once_item - one record of a table that is handed over.
 * @left: microseconds from the start of the hand-over until it may be forgotten
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
 * struct ap_once_msg - a message between two entries of one region; pointers are borrowed.
 * @from: sender's incarnation
 * @about: incarnation that the message is meant for (BEGIN, DONE, CLAIM) or speaks about (HAND,
 *         HELD)
 * @xid: of a claim: its key's hash and its number
 * @number: of a question, or of a part
 * @last: no part follows
 */
typedef struct ap_once_msg {
	ap_once_msg_kind_t kind;
	ap_id_t from;
	ap_id_t about;
	ap_xid_t xid;
	uint64_t number;
	ap_usec_t clock;
	ap_once_kind_t verdict;
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

#define AP_ONCE_ITEMS_MAX 64	       /* records in one part of a hand-over */
#define AP_ONCE_PART_BYTES (256 << 10) /* responses' bytes above which a part is closed */

/**
 * struct ap_once_limits - bounds in time and memory.
 * @ttl: life of an unused permit
 * @keep: how long a record outlives its permit
 * @begin_ack_wait: longest wait for the witness's acknowledgement
 * @query_wait: longest wait for one reply to a question
 * @probe_every: interval of the probes to possible witnesses
 * @handover_wait: longest time a hand-over may take
 * @records_max: records in each table
 * @responses_max: stored responses over all tables
 * @responses_bytes_max: bytes of all stored responses
 * @answer_bytes: bytes of one stored response; a longer one is not stored
 * @queries_max: questions in progress
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
 * struct ap_once_config - made once at start.
 * @inc: own incarnation; permits of it are dispatched by this object alone
 * @key: drawn at random for this incarnation
 * @send: sends to the entry @to of the own region; may lose, double, delay and reorder
 * @decided: the verdict on a use that was pending
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

/** ap_once_new() - NULL when memory is short. */
ap_once_t *ap_once_new(const ap_once_config_t *config, ap_usec_t now);
void ap_once_free(ap_once_t *o);
/** ap_once_set_entries() - the live entries of all regions; copied. */
void ap_once_set_entries(ap_once_t *o, const ap_entry_t *entries, size_t n, ap_usec_t now);

/** ap_once_expect_peers() - are there to be @others in the region, though none may be known yet? */
void ap_once_expect_peers(ap_once_t *o, bool others);
/**
 * ap_once_witness_ready() - does a new permit get the best witness that can be had for now? False
 * for a while when other entries of the region are expected, and when none of those known
 * responses.
 */
bool ap_once_witness_ready(const ap_once_t *o);

/** ap_once_issue() - a permit for one call of @caller to @service. */
ap_once_status_t ap_once_issue(ap_once_t *o, const char *service, const char *caller, ap_usec_t now,
			       char text[AP_PERMIT_TEXT_MAX]);

/**
 * ap_once_use() - a call came with the permit @text.
 * @token: the driver's handle, unique among uses in progress
 *
 * Return: the kind of @verdict; with AP_ONCE_PENDING the callback follows. After AP_ONCE_FORWARD
 * the driver passes the request on, and calls ap_once_resolve() if no reply came.
 */
ap_once_kind_t ap_once_use(ap_once_t *o, const char *text, const char *service, const char *caller,
			   uint64_t token, ap_usec_t now, ap_once_verdict_t *verdict);

/** ap_once_resolve() - asks what became of @text, closing it where it has not begun. */
ap_once_kind_t ap_once_resolve(ap_once_t *o, const char *text, const char *service,
			       const char *caller, uint64_t token, ap_usec_t now,
			       ap_once_verdict_t *verdict);

/**
 * ap_once_dispatch() - call before the first byte of a request that got AP_ONCE_GO is written.
 *
 * Return: true exactly once per permit; on false nothing may be written.
 */
bool ap_once_dispatch(ap_once_t *o, uint64_t token, ap_usec_t now);

/**
 * ap_once_not_started() - the dispatch certainly reached nobody, so that ap_once_dispatch() may
 * be asked once more.
 */
void ap_once_not_started(ap_once_t *o, uint64_t token);

/** ap_once_done() - a use that got AP_ONCE_GO ended; NOT_RUN closes the permit for good. */
void ap_once_done(ap_once_t *o, uint64_t token, ap_outcome_t outcome, const void *response,
		  size_t len, ap_usec_t now);

/** ap_once_cancel() - the caller of a pending use hung up; its permit is closed if not begun. */
void ap_once_cancel(ap_once_t *o, uint64_t token, ap_usec_t now);

void ap_once_receive(ap_once_t *o, const char *from, const ap_once_msg_t *msg, ap_usec_t now);
void ap_once_tick(ap_once_t *o, ap_usec_t now);
/** ap_once_due() - when ap_once_tick() is needed next. */
ap_usec_t ap_once_due(const ap_once_t *o);

/**
 * ap_once_drain() - dispatch nothing from now on and hand all records to a successor. Call when
 * no use is in progress; one that still is will be handed over as unknown.
 */
void ap_once_drain(ap_once_t *o, ap_usec_t now);
/** ap_once_in_region() - is @id known as an entry of the own region? */
bool ap_once_in_region(const ap_once_t *o, const char *id);
/** ap_once_send_to() - to the entry of the own region with the incarnation @to; false if none. */
bool ap_once_send_to(ap_once_t *o, ap_id_t to, const ap_once_msg_t *msg);
/** ap_once_drained() - the hand-over is complete, or its time is up. */
bool ap_once_drained(const ap_once_t *o);

/**
 * struct ap_once_counts - since the start, but for the first four.
 */
typedef struct ap_once_counts {
	size_t issued_records;
	size_t witnessed_records;
	size_t responses;
	size_t response_bytes;
	uint64_t issued;
	uint64_t issued_without_witness; /* without a witness */
	uint64_t dispatched;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t used_again;
	uint64_t refused;
	uint64_t closed_as_witness; /* closed as witness */
	uint64_t messages;
} ap_once_counts_t;

ap_once_counts_t ap_once_counts(const ap_once_t *o);

/*
 * Claims: a caller with only an idempotency key. The key's hash and a nonce are written to the
 * key-value service before the call is dispatched.
 */
typedef struct ap_claims ap_claims_t;

/**
 * struct ap_claims_config - made once at start.
 * @inc: own incarnation, part of every nonce
 * @retention: seconds for which a claim holds
 * @wait: longest time until the claim is decided
 * @records_max: claims remembered in this process
 * @responses_max, @answer_bytes: stored responses and the longest one
 * @query_wait: longest wait for the owner of another entry's claim
 * @send: sends to the entry of the own region whose incarnation is @to; false when there is none.
 *        May lose, double, delay and reorder. NULL: nobody is asked.
 * @decided: as for permits; a claim has AP_ONCE_GO, USED, RUNNING, NOT_RUN or UNKNOWN
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

/** ap_claims_default() - @config with the usual bounds; kv, inc, region and callbacks are left. */
void ap_claims_default(ap_claims_config_t *config);
ap_claims_t *ap_claims_new(const ap_claims_config_t *config);
/** ap_claims_free() - the key-value port must call back no more. */
void ap_claims_free(ap_claims_t *c);
/**
 * ap_claims_use() - a call came with an idempotency key.
 * @wall: seconds of the wall clock, for the age of claims in the store only
 */
ap_once_kind_t ap_claims_use(ap_claims_t *c, const char *key, const char *service,
			     const char *caller, uint64_t token, ap_usec_t now, uint32_t wall,
			     ap_once_verdict_t *verdict);
bool ap_claims_dispatch(ap_claims_t *c, uint64_t token, ap_usec_t now);
/** ap_claims_not_started() - as ap_once_not_started(). */
void ap_claims_not_started(ap_claims_t *c, uint64_t token);
void ap_claims_done(ap_claims_t *c, uint64_t token, ap_outcome_t outcome, const void *response,
		    size_t len, ap_usec_t now);
void ap_claims_cancel(ap_claims_t *c, uint64_t token, ap_usec_t now);
/** ap_claims_receive() - a message of kind CLAIM or CLAIMED from an entry of the own region. */
void ap_claims_receive(ap_claims_t *c, const ap_once_msg_t *msg, ap_usec_t now);
void ap_claims_tick(ap_claims_t *c, ap_usec_t now);
ap_usec_t ap_claims_due(const ap_claims_t *c);

#endif
