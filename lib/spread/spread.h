/*
 * The configuration's way through the fleet. A head key in the platform's store, moved by
 * compare-and-swap, names immutable segments. A few watchers a data centre read it; the others
 * get it from peers. A generation in force only rises. Pure decisions.
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
	AP_SPREAD_INVALID,     /* the document is wrong; the message names object and field */
	AP_SPREAD_CONFLICT,    /* fields changed since the base; see the fields */
	AP_SPREAD_BUSY,	       /* another proposal of this process is under way */
	AP_SPREAD_UNAVAILABLE, /* store away: certainly not accepted */
	AP_SPREAD_UNSURE,      /* may be accepted yet; the message gives the nonce to look for */
	AP_SPREAD_MALFORMED,   /* the message is not one of configuration */
} ap_spread_status_t;

/**
 * struct ap_spread_result - how a proposal ended; pointers are valid during the callback only.
 * @generation: the accepted one, or on a conflict the one to look at
 * @fields: on a conflict, JSON array of {"field", "old", "new"} changed since the base, or NULL
 * @err: why not; names the conflicting fields
 */
typedef struct ap_spread_result {
	ap_spread_status_t status;
	uint64_t generation;
	json_t *fields;
	ap_err_t err;
} ap_spread_result_t;

typedef void (*ap_spread_done_t)(void *arg, const ap_spread_result_t *result);

/**
 * struct ap_spread_config - made once at start.
 * @self: own record (id, incarnation, region, data centre)
 * @seed: of its random choices and nonces
 * @ctx: passed to the callback below
 * @activated: a new document holds; take a reference to keep it
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
/** ap_spread_free() - a proposal under way gets no answer any more. */
void ap_spread_free(ap_spread_t *s);
/** ap_spread_set_entries() - live entries of all regions, as ap_member_entries() gives them. */
void ap_spread_set_entries(ap_spread_t *s, const ap_entry_t *entries, size_t n, ap_usec_t now);
/** ap_spread_receive() - takes a whole message of kind AP_WIRE_SPREAD. */
ap_spread_status_t ap_spread_receive(ap_spread_t *s, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err);
/** ap_spread_tick() - due work; call it every 100 to 250 ms. */
void ap_spread_tick(ap_spread_t *s, ap_usec_t now);

/**
 * ap_spread_propose() - an operator's new document.
 * @doc: the whole document; a reference is taken
 * @base: generation it was made from; 0 when there was none
 * @wall_ms: wall time for the history
 * @done: called exactly once, maybe from within this call
 */
void ap_spread_propose(ap_spread_t *s, json_t *doc, uint64_t base, uint64_t wall_ms, ap_usec_t now,
		       ap_spread_done_t done, void *arg);

/** ap_spread_current() - document in force, or NULL; valid until the next call. */
const ap_conf_t *ap_spread_current(const ap_spread_t *s);
/** ap_spread_generation() - generation in force; 0 for none. */
uint64_t ap_spread_generation(const ap_spread_t *s);
/** ap_spread_history() - JSON array of {"generation", "nonce", "at"}; new reference. */
json_t *ap_spread_history(const ap_spread_t *s);
/**
 * ap_spread_ready() - a document is in force and enough peers or the store were asked about a
 * newer one.
 * @why: what is waited for; may be NULL
 */
bool ap_spread_ready(const ap_spread_t *s, ap_usec_t now, ap_err_t *why);

typedef struct ap_spread_stats {
	uint64_t reads;	    /* store calls that read, watches included */
	uint64_t writes;    /* store calls that write */
	uint64_t accepted;  /* generations put in force */
	uint64_t reverted;  /* heads refused because they went back */
	uint64_t forked;    /* heads of the same generation by another writer */
	uint64_t invalid;   /* newer documents that this program can't read */
	uint64_t deleted;   /* old segments deleted from the store */
	size_t retired;	    /* old segments that may still be there */
	bool store_answers; /* the last store call was answered */
} ap_spread_stats_t;

ap_spread_stats_t ap_spread_stats(const ap_spread_t *s);

#endif
