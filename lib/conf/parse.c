/* Reads whole documents: the kinds of objects, their fields and the order of reading. */
#include "conf/parse.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECTS_MAX 20000	   /* most objects of one kind */
#define MSEC_MAX (24 * 3600 * 1e3) /* one day, in milliseconds */
#define BYTES_MAX 9e15		   /* below 2^53, so exact in a double */
#define MICROS_MAX 1e12		   /* microseconds or micro-units */

#define FIELD(struct_type, member, ...)                                                            \
	{                                                                                          \
		.offset = offsetof(struct_type, member), __VA_ARGS__                               \
	}

static const ap_field_t service_fields[] = {
	FIELD(ap_service_t, labels, .name = "labels", .type = AP_FIELD_LABELS),
	FIELD(ap_service_t, plain, .name = "plain", .type = AP_FIELD_BOOL),
	FIELD(ap_service_t, home_bound, .name = "home_bound", .type = AP_FIELD_BOOL),
	FIELD(ap_service_t, repeatable, .name = "repeatable", .type = AP_FIELD_BOOL),
	FIELD(ap_service_t, permit, .name = "permit", .type = AP_FIELD_BOOL),
	FIELD(ap_service_t, resumable, .name = "resumable", .type = AP_FIELD_BOOL),
	FIELD(ap_service_t, cls, .name = "class", .type = AP_FIELD_CLASS, .required = true),
	FIELD(ap_service_t, models, .name = "models", .type = AP_FIELD_NONE_SELECTOR),
	FIELD(ap_service_t, pools, .name = "pools", .type = AP_FIELD_SELECTOR, .required = true),
	FIELD(ap_service_t, deadline, .name = "deadline_ms", .type = AP_FIELD_MSEC, .min = 1,
	      .max = MSEC_MAX, .required = true),
	FIELD(ap_service_t, first_byte, .name = "first_byte_ms", .type = AP_FIELD_MSEC, .min = 1,
	      .max = MSEC_MAX, .required = true),
	FIELD(ap_service_t, between_chunks, .name = "between_ms", .type = AP_FIELD_MSEC, .min = 1,
	      .max = MSEC_MAX, .def = 5000),
	FIELD(ap_service_t, idle, .name = "idle_ms", .type = AP_FIELD_MSEC, .min = 1,
	      .max = MSEC_MAX, .def = 30000),
	FIELD(ap_service_t, body_max, .name = "body_max", .type = AP_FIELD_SIZE, .min = 1,
	      .max = 64 << 20, .def = 1 << 20),
	FIELD(ap_service_t, price_weight, .name = "price_weight", .type = AP_FIELD_DOUBLE, .min = 0,
	      .max = MICROS_MAX, .def = 0),
};

static const ap_field_t pool_fields[] = {
	FIELD(ap_pool_t, labels, .name = "labels", .type = AP_FIELD_LABELS),
	FIELD(ap_pool_t, instances, .name = "instances", .type = AP_FIELD_SELECTOR,
	      .required = true),
	FIELD(ap_pool_t, plain, .name = "plain", .type = AP_FIELD_BOOL),
	FIELD(ap_pool_t, fenced, .name = "fenced", .type = AP_FIELD_BOOL),
	FIELD(ap_pool_t, slots, .name = "slots", .type = AP_FIELD_U32, .min = 1, .max = 65536,
	      .required = true),
	FIELD(ap_pool_t, price_in, .name = "price_in", .type = AP_FIELD_DOUBLE, .max = MICROS_MAX),
	FIELD(ap_pool_t, price_out, .name = "price_out", .type = AP_FIELD_DOUBLE,
	      .max = MICROS_MAX),
	FIELD(ap_pool_t, price_call, .name = "price_call", .type = AP_FIELD_DOUBLE,
	      .max = MICROS_MAX),
	FIELD(ap_pool_t, order_deadline, .name = "order_deadline_ms", .type = AP_FIELD_MSEC,
	      .min = 1, .max = MSEC_MAX, .def = 120000),
};

static const ap_field_t model_fields[] = {
	FIELD(ap_model_t, labels, .name = "labels", .type = AP_FIELD_LABELS),
	FIELD(ap_model_t, version, .name = "version", .type = AP_FIELD_NAME, .required = true),
	FIELD(ap_model_t, weight_bytes, .name = "weight_bytes", .type = AP_FIELD_U64, .min = 1,
	      .max = BYTES_MAX, .required = true),
	FIELD(ap_model_t, prefill_us, .name = "prefill_us", .type = AP_FIELD_DOUBLE,
	      .max = MICROS_MAX, .required = true),
	FIELD(ap_model_t, decode_us, .name = "decode_us", .type = AP_FIELD_DOUBLE,
	      .max = MICROS_MAX, .required = true),
	FIELD(ap_model_t, kv_bytes, .name = "kv_bytes", .type = AP_FIELD_U32, .max = UINT32_MAX),
};

static const ap_field_t adapter_fields[] = {
	FIELD(ap_adapter_t, labels, .name = "labels", .type = AP_FIELD_LABELS),
	FIELD(ap_adapter_t, model, .name = "model", .type = AP_FIELD_NAME, .required = true),
	FIELD(ap_adapter_t, version, .name = "version", .type = AP_FIELD_NAME, .required = true),
	FIELD(ap_adapter_t, weight_bytes, .name = "weight_bytes", .type = AP_FIELD_U64, .min = 1,
	      .max = BYTES_MAX, .required = true),
};

static const ap_field_t rule_fields[] = {
	FIELD(ap_rule_t, labels, .name = "labels", .type = AP_FIELD_LABELS),
	FIELD(ap_rule_t, models, .name = "models", .type = AP_FIELD_NONE_SELECTOR),
	FIELD(ap_rule_t, adapters, .name = "adapters", .type = AP_FIELD_NONE_SELECTOR),
	FIELD(ap_rule_t, pools, .name = "pools", .type = AP_FIELD_SELECTOR, .required = true),
	FIELD(ap_rule_t, replicas, .name = "replicas", .type = AP_FIELD_U32, .max = 65536,
	      .required = true),
};

static const ap_field_t caller_fields[] = {
	FIELD(ap_caller_t, labels, .name = "labels", .type = AP_FIELD_LABELS),
	FIELD(ap_caller_t, home, .name = "home", .type = AP_FIELD_NAME, .required = true),
	FIELD(ap_caller_t, key_hash, .name = "key_hash", .type = AP_FIELD_KEY_HASH,
	      .required = true),
	FIELD(ap_caller_t, rate, .name = "rate", .type = AP_FIELD_DOUBLE, .min = 0.001, .max = 1e6,
	      .required = true),
	FIELD(ap_caller_t, burst, .name = "burst", .type = AP_FIELD_DOUBLE, .min = 1, .max = 1e6,
	      .def = 10),
	FIELD(ap_caller_t, concurrent, .name = "concurrent", .type = AP_FIELD_U32, .min = 1,
	      .max = 1000000, .def = 64),
};

/**
 * struct kind - one kind of object. The struct of each kind begins with the object's name.
 * @size: size of the object's struct
 * @list: offset of the pointer to the array in ap_conf_t
 * @count: offset of the array's length in ap_conf_t
 */
typedef struct kind {
	const char *name;
	const ap_field_t *fields;
	size_t n_fields;
	size_t size;
	size_t list;
	size_t count;
} kind_t;

#define KIND(single, plural)                                                                       \
	{                                                                                          \
		.name = #single, .fields = single##_fields,                                        \
		.n_fields = sizeof(single##_fields) / sizeof(single##_fields[0]),                  \
		.size = sizeof(ap_##single##_t), .list = offsetof(ap_conf_t, plural),              \
		.count = offsetof(ap_conf_t, n_##plural)                                           \
	}

static const kind_t kinds[] = {
	KIND(service, services), KIND(pool, pools), KIND(model, models),
	KIND(adapter, adapters), KIND(rule, rules), KIND(caller, callers),
};

#define N_KINDS (sizeof(kinds) / sizeof(kinds[0]))

/* The pointer to the array, copied bytewise because its type differs by kind. */
static char *kind_list(const ap_conf_t *conf, const kind_t *kind)
{
	char *list;

	memcpy(&list, (const char *)conf + kind->list, sizeof(list));
	return list;
}

static void set_kind_list(ap_conf_t *conf, const kind_t *kind, char *list)
{
	memcpy((char *)conf + kind->list, &list, sizeof(list));
}

static size_t *kind_count(ap_conf_t *conf, const kind_t *kind)
{
	return (size_t *)((char *)conf + kind->count);
}

static ap_conf_status_t read_object(const kind_t *kind, const char *name, json_t *json,
				    void *object, ap_err_t *err)
{
	char where[2 * AP_NAME_MAX];

	if (!ap_name_ok(name)) {
		ap_err_set(err,
			   "%s/%.80s: not a name (letters, digits, \".\", \"_\", \"-\"; first a "
			   "letter or digit; at most 63 characters)",
			   kind->name, name);
		return AP_CONF_INVALID;
	}
	snprintf(where, sizeof(where), "%s/%s", kind->name, name);
	ap_copy_name(object, AP_NAME_MAX, name);
	return ap_fields_read(kind->fields, kind->n_fields, json, object, where, err);
}

static ap_conf_status_t read_kind(const kind_t *kind, json_t *table, ap_conf_t *conf, ap_err_t *err)
{
	size_t *count = kind_count(conf, kind);
	char *list;
	const char *name;
	json_t *json;

	if (!table)
		return AP_CONF_OK;
	if (!json_is_object(table) || json_object_size(table) > OBJECTS_MAX) {
		ap_err_set(err, "%s: must be a table of at most %d objects", kind->name,
			   OBJECTS_MAX);
		return AP_CONF_INVALID;
	}
	list = calloc(json_object_size(table) + 1, kind->size);
	if (!list)
		return AP_CONF_NO_MEMORY;
	set_kind_list(conf, kind, list);
	json_object_foreach (table, name, json) {
		void *object = list + kind->size * *count;
		ap_conf_status_t status;

		/* Counted before it is read, so that an incomplete object is freed too. */
		(*count)++;
		status = read_object(kind, name, json, object, err);
		if (status != AP_CONF_OK)
			return status;
	}
	return AP_CONF_OK;
}

static ap_conf_status_t check_kinds(json_t *json, ap_err_t *err)
{
	const char *key;
	json_t *value;

	json_object_foreach (json, key, value) {
		bool known = false;

		for (size_t i = 0; i < N_KINDS; i++)
			known = known || strcmp(kinds[i].name, key) == 0;
		if (!known) {
			ap_err_set(err,
				   "%.80s: unknown kind of object; must be service, pool, model, "
				   "adapter, rule or caller",
				   key);
			return AP_CONF_INVALID;
		}
	}
	return AP_CONF_OK;
}

static int by_key_hash(const void *a, const void *b)
{
	return strcmp(((const ap_caller_t *)a)->key_hash, ((const ap_caller_t *)b)->key_hash);
}

static ap_conf_status_t read_document(json_t *json, ap_conf_t *conf, ap_err_t *err)
{
	ap_conf_status_t status = check_kinds(json, err);

	for (size_t i = 0; i < N_KINDS && status == AP_CONF_OK; i++)
		status = read_kind(&kinds[i], json_object_get(json, kinds[i].name), conf, err);
	if (status != AP_CONF_OK)
		return status;
	if (conf->n_callers > 1)
		qsort(conf->callers, conf->n_callers, sizeof(*conf->callers), by_key_hash);
	return ap_conf_check_document(conf, err);
}

ap_conf_status_t ap_conf_parse(json_t *json, uint64_t generation, ap_conf_t **out, ap_err_t *err)
{
	ap_conf_status_t status;
	ap_conf_t *conf;

	*out = NULL;
	if (!json_is_object(json)) {
		ap_err_set(err, "the configuration document is not a table");
		return AP_CONF_SYNTAX;
	}
	conf = calloc(1, sizeof(*conf));
	if (!conf) {
		ap_err_set(err, "out of memory");
		return AP_CONF_NO_MEMORY;
	}
	atomic_init(&conf->refs, 1);
	conf->generation = generation;
	conf->json = json_incref(json);
	status = read_document(json, conf, err);
	if (status != AP_CONF_OK) {
		if (status == AP_CONF_NO_MEMORY)
			ap_err_set(err, "out of memory");
		ap_conf_unref(conf);
		return status;
	}
	*out = conf;
	return AP_CONF_OK;
}

static void clear_field(const ap_field_t *f, void *at)
{
	if (f->type == AP_FIELD_LABELS)
		ap_labels_clear(at);
	else if (f->type == AP_FIELD_SELECTOR || f->type == AP_FIELD_NONE_SELECTOR)
		ap_selector_clear(at);
}

static void clear_kind(ap_conf_t *conf, const kind_t *kind)
{
	char *list = kind_list(conf, kind);

	for (size_t i = 0; i < *kind_count(conf, kind); i++) {
		for (size_t j = 0; j < kind->n_fields; j++)
			clear_field(&kind->fields[j],
				    list + kind->size * i + kind->fields[j].offset);
	}
	free(list);
}

ap_conf_t *ap_conf_ref(const ap_conf_t *conf)
{
	ap_conf_t *shared = (ap_conf_t *)conf;

	atomic_fetch_add(&shared->refs, 1);
	return shared;
}

void ap_conf_unref(ap_conf_t *conf)
{
	if (!conf || atomic_fetch_sub(&conf->refs, 1) != 1)
		return;
	for (size_t i = 0; i < N_KINDS; i++)
		clear_kind(conf, &kinds[i]);
	json_decref(conf->json);
	free(conf);
}
