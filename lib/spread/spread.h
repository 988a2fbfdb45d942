/*
 * Distribution ("spread") of the configuration to all gateway instances (entries). A head key in
 * the platform's store, replaced by compare-and-swap, lists immutable segments of the document. A
 * few instances of each data centre watch the head; the others get it from peers. The active
 * generation never decreases. This folder makes decisions only; ports do the input and output.
 */
#ifndef AP_SPREAD_H
#define AP_SPREAD_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"

#include <jansson.h>

#define AP_SPREAD_HEAD_KEY "arbutuspond/head"
#define AP_SPREAD_SEGMENT_PREFIX "arbutuspond/segment/"

typedef enum ap_spread_status {
	AP_SPREAD_OK,
	AP_SPREAD_INVALID,     /* the document is invalid; the message names object and field */
	AP_SPREAD_CONFLICT,    /* the base is not kept, or its fields were changed meanwhile */
	AP_SPREAD_BUSY,	       /* another proposal of this process is in progress, or the head
				* was replaced by others too often */
	AP_SPREAD_UNAVAILABLE, /* the store doesn't respond: certainly not accepted; or its
				* head is malformed */
	AP_SPREAD_UNSURE,      /* may have been accepted; the message gives the nonce to look for */
	AP_SPREAD_MALFORMED,   /* not a valid configuration message */
} ap_spread_status_t;

/**
 * struct ap_spread_result - outcome of a proposal; pointers are valid during the callback only.
 * @generation: the accepted one; when only the response was lost, the one that was written;
 *              otherwise the active one
 * @fields: on a conflict, JSON array of {"field", "old", "new"} changed since the base, or NULL
 * @err: why the proposal was not accepted; names the conflicting fields
 */
typedef struct ap_spread_result {
	ap_spread_status_t status;
	uint64_t generation;
	json_t *fields;
	ap_err_t err;
} ap_spread_result_t;

typedef void (*ap_spread_done_t)(void *arg, const ap_spread_result_t *result);

/**
 * struct ap_spread_config - set once, at start.
 * @self: own record (id, incarnation, region, data centre)
 * @seed: seed of random choices and nonces
 * @ctx: passed to the callback below
 * @activated: called when a new configuration is active; take a reference to keep it
 */
typedef struct ap_spread_config {
	ap_entry_t self;
	uint64_t seed;
	ap_kv_port_t kv;
	ap_peer_port_t peer;
	ap_env_t env;
	void *ctx;
	void (*activated)(void *ctx, const ap_conf_t *conf);
} ap_spread_config_t;

typedef struct ap_spread ap_spread_t;

ap_spread_t *ap_spread_new(const ap_spread_config_t *config, ap_usec_t now);
/** ap_spread_free() - frees @s; the callback of a proposal in progress is not called. */
void ap_spread_free(ap_spread_t *s);
/** ap_spread_set_entries() - sets the live instances of all regions; see ap_member_entries(). */
void ap_spread_set_entries(ap_spread_t *s, const ap_entry_t *entries, size_t n, ap_usec_t now);
/** ap_spread_receive() - takes a whole message of kind AP_WIRE_SPREAD. */
ap_spread_status_t ap_spread_receive(ap_spread_t *s, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err);
/** ap_spread_tick() - reads, queries and retries what is due; call it every 100 to 250 ms. */
void ap_spread_tick(ap_spread_t *s, ap_usec_t now);

/**
 * ap_spread_propose() - proposes an operator's new document as the next generation.
 * @doc: the complete document; a reference is taken
 * @base: generation that @doc was edited from; 0 if there was none
 * @wall_ms: wall time for the history, in milliseconds
 * @done: called exactly once, possibly from within this call
 */
void ap_spread_propose(ap_spread_t *s, json_t *doc, uint64_t base, uint64_t wall_ms, ap_usec_t now,
		       ap_spread_done_t done, void *arg);

/** ap_spread_current() - the active configuration, or NULL; valid until the next call. */
const ap_conf_t *ap_spread_current(const ap_spread_t *s);
/** ap_spread_generation() - the active generation; 0 for none. */
uint64_t ap_spread_generation(const ap_spread_t *s);
/** ap_spread_history() - JSON array of {"generation", "nonce", "at"}; new reference. */
json_t *ap_spread_history(const ap_spread_t *s);
/**
 * ap_spread_ready() - true once a configuration is active and enough peers, or the store, named no
 * newer one, or the time for that has passed.
 * @why: what is missing; may be NULL
 */
bool ap_spread_ready(const ap_spread_t *s, ap_usec_t now, ap_err_t *why);

typedef struct ap_spread_stats {
	uint64_t reads;	    /* store calls that read, including watches */
	uint64_t writes;    /* store calls that write */
	uint64_t accepted;  /* generations activated */
	uint64_t reverted;  /* heads refused as older than the active one, or absent */
	uint64_t forked;    /* heads of the active generation but by another writer */
	uint64_t invalid;   /* newer documents that are damaged or invalid here */
	uint64_t deleted;   /* retired segments deleted from the store */
	size_t retired;	    /* retired segments that may still be in the store */
	bool store_answers; /* the last store call got a response */
} ap_spread_stats_t;

ap_spread_stats_t ap_spread_stats(const ap_spread_t *s);

#endif
