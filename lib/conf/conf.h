/*
 * The operators' configuration: services, upstream pools, models, adapters, placement rules and
 * callers, tied together by labels and selectors. A document is checked as a whole; a parsed one
 * is immutable and shared by reference. Also the view of the fleet that control hands to entry.
 */
#ifndef AP_CONF_H
#define AP_CONF_H

#include "base/base.h"

#include <jansson.h>
#include <stdatomic.h>

#define AP_KEY_HASH_TEXT_MAX 65 /* hex of a 32-byte hash of a caller's key, with terminator */

typedef enum ap_conf_status {
	AP_CONF_OK,
	AP_CONF_SYNTAX,	  /* not a document at all */
	AP_CONF_INVALID,  /* an object or field is wrong; the message names it */
	AP_CONF_CONFLICT, /* both sides changed the same field */
	AP_CONF_NO_MEMORY,
} ap_conf_status_t;

typedef struct ap_label {
	char *key;
	char *value;
} ap_label_t;

typedef struct ap_labels {
	ap_label_t *v;
	size_t n;
} ap_labels_t;

typedef enum ap_match {
	AP_MATCH_IN,	 /* label present with one of the values */
	AP_MATCH_EXISTS, /* label present */
	AP_MATCH_ABSENT, /* label not present */
} ap_match_t;

/**
 * struct ap_term - one condition of a selector; a selector matches when every term does.
 * In a document: KEY = "value" or KEY = ["a", "b"] (IN), KEY = true (EXISTS), false (ABSENT).
 */
typedef struct ap_term {
	char *key;
	ap_match_t match;
	char **values;
	size_t n;
} ap_term_t;

typedef struct ap_selector {
	ap_term_t *v;
	size_t n;
} ap_selector_t;

/**
 * struct ap_service - what callers ask for.
 * @plain: a plain HTTP service; otherwise inference
 * @home_bound: data stays in the caller's home region
 * @repeatable: a call may be run again after an unknown outcome
 * @permit: a call needs a permit (or an Idempotency-Key) and runs at most once
 * @resumable: a broken stream may go on at another upstream
 * @cls: admission class
 * @models: models that serve it (inference only)
 * @pools: upstream pools that may serve it
 * @deadline: from arrival to first byte of the answer
 * @first_byte: limit for one attempt
 * @between: limit between two parts of an answer
 * @idle: longest life of an unused upstream connection
 * @body_max: bytes of a request body
 * @price_weight: microseconds of delay worth one micro-unit of cost
 */
typedef struct ap_service {
	char name[AP_NAME_MAX];
	ap_labels_t labels;
	bool plain;
	bool home_bound;
	bool repeatable;
	bool permit;
	bool resumable;
	ap_class_t cls;
	ap_selector_t models;
	ap_selector_t pools;
	ap_usec_t deadline;
	ap_usec_t first_byte;
	ap_usec_t between_chunks;
	ap_usec_t idle;
	size_t body_max;
	double price_weight;
} ap_service_t;

/**
 * struct ap_pool - upstream instances chosen by their labels.
 * @instances: which of the platform's listed instances belong to it
 * @plain: plain services; otherwise model engines
 * @fenced: its instances refuse an order with an older fencing number
 * @slots: requests an instance works on at once
 * @price_in: micro-units per 1,000 prompt tokens that were not cached
 * @price_out: micro-units per 1,000 generated tokens
 * @price_call: micro-units per call
 * @order_deadline: longest time an order may take
 */
typedef struct ap_pool {
	char name[AP_NAME_MAX];
	ap_labels_t labels;
	ap_selector_t instances;
	bool plain;
	bool fenced;
	uint32_t slots;
	double price_in;
	double price_out;
	double price_call;
	ap_usec_t order_deadline;
} ap_pool_t;

/**
 * struct ap_model - a model that engines can load.
 * @weight_bytes: bytes fetched from the weight store
 * @prefill_us: microseconds to compute one prompt token that is not cached
 * @decode_us: microseconds between generated tokens at low load
 * @kv_bytes: bytes of KV cache per token
 */
typedef struct ap_model {
	char name[AP_NAME_MAX];
	ap_labels_t labels;
	char version[AP_NAME_MAX];
	uint64_t weight_bytes;
	double prefill_us;
	double decode_us;
	uint32_t kv_bytes;
} ap_model_t;

typedef struct ap_adapter {
	char name[AP_NAME_MAX];
	ap_labels_t labels;
	char model[AP_NAME_MAX];
	char version[AP_NAME_MAX];
	uint64_t weight_bytes;
} ap_adapter_t;

/**
 * struct ap_rule - places models and adapters on pools.
 * @replicas: instances per region that hold each selected model
 */
typedef struct ap_rule {
	char name[AP_NAME_MAX];
	ap_labels_t labels;
	ap_selector_t models;
	ap_selector_t adapters;
	ap_selector_t pools;
	uint32_t replicas;
} ap_rule_t;

/**
 * struct ap_caller - a customer with its key and limits.
 * @home: its home region
 * @key_hash: hex BLAKE2b-256 of its API key
 * @rate: requests per second over all entries
 * @burst: requests above the rate at once
 * @concurrent: requests in progress over all entries
 */
typedef struct ap_caller {
	char name[AP_NAME_MAX];
	ap_labels_t labels;
	char home[AP_NAME_MAX];
	char key_hash[AP_KEY_HASH_TEXT_MAX];
	double rate;
	double burst;
	uint32_t concurrent;
} ap_caller_t;

/**
 * struct ap_conf - one checked document. Immutable once parsed.
 * @generation: set by whoever accepted it; 0 for none
 * @callers: sorted by key hash
 * @json: the document itself; do not change it
 */
typedef struct ap_conf {
	atomic_int refs;
	uint64_t generation;
	ap_service_t *services;
	size_t n_services;
	ap_pool_t *pools;
	size_t n_pools;
	ap_model_t *models;
	size_t n_models;
	ap_adapter_t *adapters;
	size_t n_adapters;
	ap_rule_t *rules;
	size_t n_rules;
	ap_caller_t *callers;
	size_t n_callers;
	json_t *json;
} ap_conf_t;

/**
 * ap_conf_parse() - checks a whole document and builds it.
 * @json: {"service": {NAME: {...}}, "pool": ..., "model": ..., "adapter": ..., "rule": ...,
 *        "caller": ...}; a reference is taken, so the caller no longer changes it. Durations are
 *        whole milliseconds in fields that end in _ms.
 * @conf: the result, with one reference
 * @err: names the object and the field that is wrong
 *
 * Return: AP_CONF_OK, AP_CONF_SYNTAX, AP_CONF_INVALID or AP_CONF_NO_MEMORY.
 */
ap_conf_status_t ap_conf_parse(json_t *json, uint64_t generation, ap_conf_t **conf, ap_err_t *err);
ap_conf_t *ap_conf_ref(const ap_conf_t *conf);
void ap_conf_unref(ap_conf_t *conf);

/**
 * ap_conf_merge() - three-way merge by field; check the result with ap_conf_parse().
 * @base: the document that @mine was made from
 * @theirs: the document now in force
 * @merged: a new reference when every field that both changed got the same value
 * @err: names the conflicting fields, as kind/name/field
 *
 * Return: AP_CONF_OK or AP_CONF_CONFLICT.
 */
ap_conf_status_t ap_conf_merge(json_t *base, json_t *mine, json_t *theirs, json_t **merged,
			       ap_err_t *err);
/** ap_conf_diff() - JSON array of {"field", "old", "new"}; new reference. */
json_t *ap_conf_diff(json_t *old, json_t *new_doc);

const ap_service_t *ap_conf_service(const ap_conf_t *conf, const char *name);
const ap_model_t *ap_conf_model(const ap_conf_t *conf, const char *name);
const ap_adapter_t *ap_conf_adapter(const ap_conf_t *conf, const char *name);
/** ap_conf_caller_by_key() - the caller with this API key, or NULL. */
const ap_caller_t *ap_conf_caller_by_key(const ap_conf_t *conf, const char *key);
void ap_key_hash(const char *key, char out[AP_KEY_HASH_TEXT_MAX]);

bool ap_selector_match(const ap_selector_t *sel, const ap_labels_t *labels);
const char *ap_labels_get(const ap_labels_t *labels, const char *key);

/**
 * struct ap_upstream - a back end as the platform's list and reports give it.
 * @id: its name in the platform's list
 * @labels: includes "region" and "data_centre"
 * @leaving: takes no new work
 * @models: names of loaded models and adapters, as last observed
 */
typedef struct ap_upstream {
	char id[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t port;
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	ap_labels_t labels;
	bool draining;
	char **models;
	size_t n_models;
} ap_upstream_t;

/**
 * struct ap_entry - an entry instance that is a live member.
 * @inc: its incarnation
 * @host: address of every listener below
 * @caller_port: HTTP for callers
 * @data_port: ZeroMQ for requests and permits between entries
 * @control_port: ZeroMQ for membership, configuration and reports
 * @public_key: its CURVE key in Z85, or empty
 */
typedef struct ap_entry {
	char id[AP_NAME_MAX];
	ap_id_t inc;
	char host[AP_HOST_MAX];
	uint16_t caller_port;
	uint16_t data_port;
	uint16_t control_port;
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	char public_key[41];
	bool draining;
	double weight;
} ap_entry_t;

/**
 * struct ap_view - what control knows of the fleet, handed to entry as one immutable whole.
 * @number: rises with each view of one process
 * @others_listed: the instance list names other entries of the own region, live here or not
 */
typedef struct ap_view {
	atomic_int refs;
	uint64_t number;
	ap_conf_t *conf;
	ap_upstream_t *upstreams;
	size_t n_upstreams;
	ap_entry_t *entries;
	size_t n_entries;
	bool others_listed;
} ap_view_t;

/** ap_view_new() - copies its arguments deeply; takes a reference to @conf (may be NULL). */
ap_view_t *ap_view_new(uint64_t number, const ap_conf_t *conf, const ap_upstream_t *upstreams,
		       size_t n_upstreams, const ap_entry_t *entries, size_t n_entries);
ap_view_t *ap_view_ref(const ap_view_t *view);
void ap_view_unref(ap_view_t *view);

/** ap_labels_copy() - deep copy; free with ap_labels_clear(). */
ap_labels_t ap_labels_copy(const ap_labels_t *labels);
void ap_labels_clear(ap_labels_t *labels);

#endif
