/* Reading of single fields. Private to lib/conf. */
#ifndef AP_CONF_PARSE_H
#define AP_CONF_PARSE_H

#include "conf/conf.h"

/* Type of a document's field, and of the struct member that it is stored in. */
typedef enum ap_field_type {
	AP_FIELD_BOOL,
	AP_FIELD_U32,
	AP_FIELD_U64,
	AP_FIELD_SIZE,
	AP_FIELD_DOUBLE,
	AP_FIELD_MSEC,	   /* integer milliseconds into an ap_usec_t */
	AP_FIELD_NAME,	   /* char[AP_NAME_MAX] */
	AP_FIELD_KEY_HASH, /* char[AP_KEY_HASH_TEXT_MAX] */
	AP_FIELD_CLASS,
	AP_FIELD_LABELS,
	AP_FIELD_SELECTOR,
	AP_FIELD_NONE_SELECTOR, /* selector; when absent, one that matches nothing */
} ap_field_type_t;

/**
 * struct ap_field - one field of a kind of object.
 * @name: key in the document
 * @offset: offset of the member in the object's struct
 * @min: lowest number allowed
 * @max: highest number allowed
 * @def: default of a number, or of a truth value (0 or 1)
 */
typedef struct ap_field {
	const char *name;
	ap_field_type_t type;
	size_t offset;
	bool required;
	double min;
	double max;
	double def;
} ap_field_t;

/**
 * ap_fields_read() - fills the struct @object from @json as described by @fields.
 * @where: "kind/name" for messages
 */
ap_conf_status_t ap_fields_read(const ap_field_t *fields, size_t n, json_t *json, void *object,
				const char *where, ap_err_t *err);
/** ap_name_ok() - is @text a valid name of an object? */
bool ap_name_ok(const char *text);
/** ap_selector_clear() - frees the terms and empties the selector. */
void ap_selector_clear(ap_selector_t *sel);
/**
 * ap_conf_check_document() - checks that every reference and selector of a document finds an
 * object, that no two callers have the same key and that no fields of a service contradict each
 * other.
 */
ap_conf_status_t ap_conf_check_document(const ap_conf_t *conf, ap_err_t *err);

#endif
