/*
 * The operators' configuration: services, upstream pools, models, adapters, placement rules and
 * callers, connected by labels and selectors. A document is checked as a whole; the parsed
 * configuration is immutable and reference-counted. Also the view of the fleet that the control
 * task passes to the entry task.
 */
#ifndef AP_CONF_H
#define AP_CONF_H

#include "base/base.h"

#include <jansson.h>
#include <stdatomic.h>

#define AP_KEY_HASH_TEXT_MAX 65 /* hex of a 32-byte hash of a caller's key, with terminator */

typedef enum ap_conf_status {
	AP_CONF_OK,
	AP_CONF_SYNTAX,	  /* the document is not a JSON object */
	AP_CONF_INVALID,  /* an object or field is invalid; the message names it */
	AP_CONF_CONFLICT, /* the proposed and the active document changed the same field */
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
 * struct ap_service - a service that callers send requests to.
 * @plain: a plain HTTP service; otherwise inference
 * @home_bound: data stays in the caller's home region
 * @repeatable: a call may be retried after an unknown outcome
 * @permit: a call needs a permit (or an Idempotency-Key) and runs at most once
 * @resumable: an interrupted stream may be resumed at another upstream
 * @cls: admission class
 * @models: models that serve it (inference only)
 * @pools: upstream pools that may serve it
 * @deadline: longest time from arrival to the first byte of the response
 * @first_byte: longest time to the first byte of one attempt
 * @between_chunks: longest time between two chunks of a response
 * @idle: time after which an unused upstream connection is closed
 * @body_max: most bytes of a request body
 * @price_weight: microseconds of delay that are as bad as one micro-unit of price
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
 * struct ap_pool - upstream instances selected by their labels.
 * @instances: selects the pool's instances from the platform's instance list
 * @plain: the instances run plain services; otherwise model engines
 * @fenced: the instances refuse an order with an older fencing token
 * @slots: requests that an instance works on at once
 * @price_in: micro-units per 1,000 prompt tokens that were not cached
 * @price_out: micro-units per 1,000 generated tokens
 * @price_call: micro-units per call
 * @order_deadline: longest time for carrying out an order
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
 * @weight_bytes: size of the weights that an engine fetches to load the model
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

/**
 * struct ap_adapter - a fine-tuning adapter for one model.
 * @model: the model that it belongs to
 * @weight_bytes: size of the weights that an engine fetches to load the adapter
 */
typedef struct ap_adapter {
	char name[AP_NAME_MAX];
	ap_labels_t labels;
	char model[AP_NAME_MAX];
	char version[AP_NAME_MAX];
	uint64_t weight_bytes;
} ap_adapter_t;

/**
 * struct ap_rule - a placement rule: which models and adapters are loaded on which pools.
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
 * @home: home region
 * @key_hash: hex BLAKE2b-256 of the API key
 * @rate: most requests per second over all entries
 * @burst: size of the rate limit's token bucket, in requests
 * @concurrent: most requests in progress over all entries
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
 * struct ap_conf - a checked configuration; immutable.
 * @generation: number passed to ap_conf_parse(); 0 for none
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
 * ap_conf_parse() - checks a whole document and builds the configuration.
 * @json: {"service": {NAME: {...}}, "pool": ..., "model": ..., "adapter": ..., "rule": ...,
 *        "caller": ...}; ap_conf_parse() takes a reference, so do not change the document
 *        afterwards. Durations are whole milliseconds in fields that end in _ms.
 * @conf: the result, with one reference
 * @err: names the invalid object and field; may be NULL
 *
 * Return: AP_CONF_OK, AP_CONF_SYNTAX, AP_CONF_INVALID or AP_CONF_NO_MEMORY.
 */
ap_conf_status_t ap_conf_parse(json_t *json, uint64_t generation, ap_conf_t **conf, ap_err_t *err);
/** ap_conf_ref() - takes a reference. Return: @conf. */
ap_conf_t *ap_conf_ref(const ap_conf_t *conf);
/** ap_conf_unref() - releases a reference, and the configuration with the last; NULL is ignored. */
void ap_conf_unref(ap_conf_t *conf);

/**
 * ap_conf_merge() - merges two changed documents by field; check the result with ap_conf_parse().
 * @base: the document from which @mine was made
 * @theirs: the active configuration's document
 * @merged: a new reference; NULL on conflict
 * @err: names the fields that both sides changed to different values, as kind/name/field
 *
 * Return: AP_CONF_OK or AP_CONF_CONFLICT.
 */
ap_conf_status_t ap_conf_merge(json_t *base, json_t *mine, json_t *theirs, json_t **merged,
			       ap_err_t *err);
/** ap_conf_diff() - Return: a new JSON array of {"field", "old", "new"}, one per changed field. */
json_t *ap_conf_diff(json_t *old, json_t *new_doc);

/** ap_conf_service() - the service with this name, or NULL. */
const ap_service_t *ap_conf_service(const ap_conf_t *conf, const char *name);
/** ap_conf_model() - the model with this name, or NULL. */
const ap_model_t *ap_conf_model(const ap_conf_t *conf, const char *name);
/** ap_conf_adapter() - the adapter with this name, or NULL. */
const ap_adapter_t *ap_conf_adapter(const ap_conf_t *conf, const char *name);
/** ap_conf_caller_by_key() - the caller with this API key, or NULL. */
const ap_caller_t *ap_conf_caller_by_key(const ap_conf_t *conf, const char *key);
/** ap_key_hash() - hex BLAKE2b-256 of an API key. */
void ap_key_hash(const char *key, char out[AP_KEY_HASH_TEXT_MAX]);

/** ap_selector_match() - does every term match? A selector without terms matches everything. */
bool ap_selector_match(const ap_selector_t *sel, const ap_labels_t *labels);
/** ap_labels_get() - the value of a label, or NULL; owned by @labels. */
const char *ap_labels_get(const ap_labels_t *labels, const char *key);

/**
 * struct ap_upstream - an upstream instance as the platform's list and reports describe it.
 * @id: name in the platform's list
 * @labels: includes "region" and "data_centre"
 * @draining: takes no new work
 * @models: names of loaded models and adapters, as last observed
 * @versions: their versions by ap_version_hash(), 0 for one that isn't known; NULL when none is
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
	uint32_t *versions;
	size_t n_models;
} ap_upstream_t;

/** ap_version_hash() - a version of a model or adapter for comparing; 0 only for an empty one. */
uint32_t ap_version_hash(const char *version);

/**
 * struct ap_entry - an entry instance that is a live member.
 * @inc: incarnation
 * @host: address of all listeners below
 * @caller_port: HTTP for callers
 * @data_port: ZeroMQ for requests and permits between entries
 * @control_port: ZeroMQ for membership, configuration and reports
 * @public_key: CURVE public key as 40 characters of Z85, or empty
 * @draining: takes no new work
 * @weight: share of the callers, relative to other entries
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
 * struct ap_view - view of the fleet that the control task passes to the entry task; immutable once
 * passed.
 * @number: increases with each view of a process
 * @others_listed: the instance list names other entries of the own region, live members or not
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

/**
 * ap_view_new() - makes a view with deep copies of the arguments and a reference to @conf, which
 * may be NULL.
 *
 * Return: the view with one reference, or NULL if out of memory.
 */
ap_view_t *ap_view_new(uint64_t number, const ap_conf_t *conf, const ap_upstream_t *upstreams,
		       size_t n_upstreams, const ap_entry_t *entries, size_t n_entries);
/** ap_view_ref() - takes a reference. Return: @view. */
ap_view_t *ap_view_ref(const ap_view_t *view);
/** ap_view_unref() - releases a reference, and the view with the last; NULL is ignored. */
void ap_view_unref(ap_view_t *view);

/** ap_labels_copy() - deep copy; free with ap_labels_clear(). */
ap_labels_t ap_labels_copy(const ap_labels_t *labels);
/** ap_labels_clear() - frees the labels and empties the list. */
void ap_labels_clear(ap_labels_t *labels);

#endif
