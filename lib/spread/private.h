/* Internal declarations of the configuration's distribution. */
#ifndef AP_SPREAD_PRIVATE_H
#define AP_SPREAD_PRIVATE_H

#include "port/call.h"
#include "spread/spread.h"

#include <msgpack.h>
#include <sys/queue.h>
#include <uthash.h>

#define HISTORY_MAX 64	   /* generations listed in a head */
#define HEADS_KEPT 8	   /* generations whose documents are kept, as bases of proposals */
#define SEGMENTS_MAX 4096  /* a message in propose.c gives this number */
#define RETIRED_MAX 512	   /* retired segments listed in a head */
#define DELETIONS_MAX 4	   /* retired segments deleted with one change */
#define BACKOFF_MIN AP_SEC /* first pause after a failed read of the store */
#define REGION_QUERY_PERIOD (4 * AP_SEC) /* between a delegate's queries of each remote region */

/**
 * struct ap_segment - an immutable part of a document, named by its hash.
 */
typedef struct ap_segment {
	ap_id_t hash;
	char *text;
	size_t len;
	struct ap_segment *next_removed; /* next one to be freed */
	UT_hash_handle hh;
} ap_segment_t;

/** struct ap_history_entry - a generation and the proposal that made it. */
typedef struct ap_history_entry {
	uint64_t generation;
	ap_id_t nonce;
	uint64_t wall_ms; /* wall time of the proposal, in milliseconds */
} ap_history_entry_t;

/**
 * struct ap_retired - a segment that is not used any more.
 * @generation: the first generation without it
 * @wall_ms: wall time of that generation's proposal, in milliseconds
 */
typedef struct ap_retired {
	ap_id_t hash;
	uint64_t generation;
	uint64_t wall_ms;
} ap_retired_t;

/**
 * struct ap_deletion - a retired segment that is about to be deleted.
 * @index: modification index of its key, read before the head was replaced; 0: not known, so the
 *         segment is not deleted
 */
typedef struct ap_deletion {
	ap_id_t hash;
	uint64_t index;
} ap_deletion_t;

/**
 * struct ap_head - lists the segments of one generation, and the last generations.
 * @history: newest first; the first one is this head's own generation
 * @retired: retired segments that may still be in the store, oldest first
 */
typedef struct ap_head {
	ap_id_t *segments;
	size_t n;
	ap_history_entry_t history[HISTORY_MAX];
	size_t n_history;
	ap_retired_t *retired;
	size_t n_retired;
	TAILQ_ENTRY(ap_head) link;
} ap_head_t;

TAILQ_HEAD(ap_head_list, ap_head);

/**
 * struct ap_fetch - a newer head whose segments are being fetched.
 * @from: peer that gets the requests; empty for the store
 */
typedef struct ap_fetch {
	ap_head_t *head;
	char from[AP_NAME_MAX];
	ap_usec_t deadline;
	unsigned attempts;
	size_t segment_index; /* of the segment being read from the store */
} ap_fetch_t;

typedef enum ap_proposal_step {
	AP_PROPOSAL_NONE,
	AP_PROPOSAL_READ,     /* reading the head */
	AP_PROPOSAL_SEGMENTS, /* writing segments */
	AP_PROPOSAL_HEAD,     /* replacing the head */
	AP_PROPOSAL_PAUSE,    /* waiting to read the head again */
} ap_proposal_step_t;

typedef struct ap_proposal {
	ap_proposal_step_t step;
	json_t *doc;
	uint64_t base; /* generation that @doc was edited from */
	uint64_t wall_ms;
	ap_usec_t deadline;
	ap_usec_t retry_at;
	ap_spread_done_t done;
	void *arg;
	ap_id_t nonce;
	bool head_sent; /* this proposal may have replaced the head */
	uint64_t index; /* modification index of the head in the store when it was read */
	unsigned read_failures;
	unsigned write_failures;
	unsigned rounds;
	ap_head_t *head;	/* to be written */
	ap_segment_t *segments; /* of the document to be written */
	ap_conf_t *conf;	/* that document, parsed */
	ap_segment_t *writing;	/* being written */
	uint64_t rewrite_index; /* index of an existing segment to be rewritten; 0: create it */
	bool based_on_stored;	/* the active head is the one in the store */
	ap_deletion_t deletions[DELETIONS_MAX];
	size_t n_deletions;
	size_t deletions_read; /* of @deletions, those whose index was read */
} ap_proposal_t;

struct ap_spread {
	ap_spread_config_t cfg;
	ap_rng_t rng;
	ap_usec_t now;
	ap_usec_t started_at;
	uint64_t seq;
	ap_entry_t *entries; /* all live instances but this one */
	size_t n_entries;
	bool watcher;  /* this instance watches the head in the store */
	bool delegate; /* this instance exchanges heads with remote regions */
	ap_conf_t *conf;
	ap_head_t *head;	   /* active */
	struct ap_head_list heads; /* the last HEADS_KEPT ones, newest first */
	ap_segment_t *segments;
	ap_fetch_t fetch;
	ap_proposal_t proposal;
	/* store */
	ap_kv_calls_t watch_calls;
	ap_kv_calls_t fetch_calls;
	ap_kv_calls_t proposal_calls;
	ap_kv_calls_t delete_calls;
	bool read_pending;
	uint64_t watch_index; /* last modification index seen; 0: read without waiting */
	ap_usec_t watch_deadline;
	ap_usec_t next_read;
	ap_usec_t backoff;
	bool store_confirmed; /* the store named no newer generation */
	/* peers */
	ap_usec_t peer_heard_at;
	ap_usec_t next_query;
	ap_usec_t next_region_query;
	size_t peers_confirmed; /* messages from peers that named no newer generation */
	bool ready;
	uint64_t reported_generation; /* of the last refused head; UINT64_MAX if absent */
	ap_spread_stats_t stats;
};

/* Types of configuration messages. */
typedef enum ap_spread_type {
	AP_SPREAD_DIGEST = 1, /* active generation and its nonce */
	AP_SPREAD_QUERY,      /* the same, and requests a response */
	AP_SPREAD_HEAD,	      /* @data: text of a head */
	AP_SPREAD_REQUEST,    /* @ids: hashes of the requested segments */
	AP_SPREAD_SEGMENT,    /* @data: one segment */
} ap_spread_type_t;

#define SEGMENT_REQUEST_MAX 64 /* segments requested in one message */

typedef struct ap_spread_message {
	ap_spread_type_t type;
	uint64_t generation;
	ap_id_t nonce;
	ap_id_t ids[SEGMENT_REQUEST_MAX];
	size_t n_ids;
	const void *data;
	size_t len;
} ap_spread_message_t;

/* lib/wire/spread.c */
void ap_wire_pack_spread(msgpack_packer *pk, const ap_spread_message_t *msg);
bool ap_wire_read_spread(const msgpack_object *body, ap_spread_message_t *msg);

/* head.c */
uint64_t head_generation(const ap_head_t *head);
ap_head_t *head_parse(const void *text, size_t len, ap_err_t *err);
char *head_format(const ap_head_t *head);
void head_free(ap_head_t *head);
const ap_history_entry_t *head_find_nonce(const ap_head_t *head, ap_id_t nonce);

/* segment.c */
ap_id_t segment_hash(const void *text, size_t len);
ap_segment_t *segment_find(ap_segment_t *set, ap_id_t hash);
void segment_add(ap_segment_t **set, const void *text, size_t len);
void segments_free(ap_segment_t **set);
void segment_key(ap_id_t hash, char *key, size_t size);
/** document_split() - adds segments of @doc to @set and their hashes to @head; false: too many. */
bool document_split(json_t *doc, ap_segment_t **set, ap_head_t *head);
/** document_join() - the document of @head, or NULL when a segment is missing or damaged. */
json_t *document_join(ap_segment_t *set, const ap_head_t *head);

/* fetch.c */
bool spread_offer_head(ap_spread_t *s, ap_head_t *head, const char *from);
void spread_store_has_no_head(ap_spread_t *s);
void spread_fetch_tick(ap_spread_t *s);
void spread_segment_received(ap_spread_t *s, const void *text, size_t len);
void spread_fetch_cancel(ap_spread_t *s);
void spread_activate(ap_spread_t *s, ap_head_t *head, ap_conf_t *conf);
/**
 * spread_skip_present() - advances @at to the next segment of @head that is not held here, or to
 * the number of segments. Return: NULL if one is missing, otherwise all segments held here.
 */
ap_segment_t *spread_skip_present(ap_spread_t *s, const ap_head_t *head, size_t *at);

/* store.c */
void spread_store_tick(ap_spread_t *s);
void spread_note_store_result(ap_spread_t *s, const ap_kv_result_t *result);

/* peers.c */
void spread_peers_tick(ap_spread_t *s);
void spread_push_head(ap_spread_t *s);
void spread_request_segments(ap_spread_t *s);
const ap_entry_t *spread_random_peer(ap_spread_t *s);
void spread_handle_message(ap_spread_t *s, const char *from, const ap_spread_message_t *msg);

/* retire.c */
/**
 * retired_collect() - sets @head's retired list: the segments that @old used or had retired and
 * that @head doesn't use.
 */
void retired_collect(ap_head_t *head, const ap_head_t *old);
/**
 * spread_prepare_deletions() - reads the indexes of retired segments to be deleted, then replaces
 * the head.
 */
void spread_prepare_deletions(ap_spread_t *s);
/**
 * spread_delete_retired() - deletes the segments whose index was read; called once the head was
 * replaced.
 */
void spread_delete_retired(ap_spread_t *s);

/* propose.c */
void spread_replace_head(ap_spread_t *s);
void spread_proposal_tick(ap_spread_t *s);
void spread_proposal_clear(ap_spread_t *s);

#endif
