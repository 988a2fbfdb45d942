/* Reads single fields of a document: checks the type and range, and converts the value. */
#include "conf/parse.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Most labels of an object, terms of a selector, values of a term. Messages give the number. */
#define FIELD_ITEMS_MAX 256

bool ap_name_ok(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len >= AP_NAME_MAX || !isalnum((unsigned char)text[0]))
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!isalnum((unsigned char)text[i]) && !strchr("._-", text[i]))
			return false;
	}
	return true;
}

static ap_conf_status_t invalid_field(ap_err_t *err, const char *where, const char *field,
				      const char *what)
{
	ap_err_set(err, "%s/%s: %s", where, field, what);
	return AP_CONF_INVALID;
}

static ap_conf_status_t out_of_range(ap_err_t *err, const char *where, const ap_field_t *f)
{
	ap_err_set(err, "%s/%s: must be from %.15g to %.15g", where, f->name, f->min, f->max);
	return AP_CONF_INVALID;
}

static void store_number(const ap_field_t *f, void *at, double number)
{
	switch (f->type) {
	case AP_FIELD_BOOL:
		*(bool *)at = number != 0.0;
		break;
	case AP_FIELD_U32:
		*(uint32_t *)at = (uint32_t)number;
		break;
	case AP_FIELD_U64:
		*(uint64_t *)at = (uint64_t)number;
		break;
	case AP_FIELD_SIZE:
		*(size_t *)at = (size_t)number;
		break;
	case AP_FIELD_MSEC:
		*(ap_usec_t *)at = (ap_usec_t)number * AP_MSEC;
		break;
	case AP_FIELD_CLASS:
		*(ap_class_t *)at = (ap_class_t)number;
		break;
	default:
		*(double *)at = number;
		break;
	}
}

static ap_conf_status_t read_number(const ap_field_t *f, json_t *value, void *at, const char *where,
				    ap_err_t *err)
{
	double number;

	if (f->type == AP_FIELD_DOUBLE && !json_is_number(value))
		return invalid_field(err, where, f->name, "must be a number");
	if (f->type != AP_FIELD_DOUBLE && !json_is_integer(value))
		return invalid_field(err, where, f->name, "must be a whole number");
	number = json_number_value(value);
	if (!(number >= f->min && number <= f->max))
		return out_of_range(err, where, f);
	store_number(f, at, number);
	return AP_CONF_OK;
}

static ap_conf_status_t read_class(const ap_field_t *f, json_t *value, ap_class_t *at,
				   const char *where, ap_err_t *err)
{
	const char *text = json_string_value(value);

	for (int i = 0; text && i < AP_CLASS_COUNT; i++) {
		if (strcmp(text, ap_class_name((ap_class_t)i)) == 0) {
			*at = (ap_class_t)i;
			return AP_CONF_OK;
		}
	}
	return invalid_field(err, where, f->name, "must be \"reservation\", \"short\" or \"long\"");
}

static ap_conf_status_t read_name(const ap_field_t *f, json_t *value, char *at, const char *where,
				  ap_err_t *err)
{
	const char *text = json_string_value(value);

	if (!text || !ap_name_ok(text))
		return invalid_field(err, where, f->name,
				     "must be a name (letters, digits, \".\", \"_\", "
				     "\"-\"; first a letter or digit; at most 63 characters)");
	ap_copy_name(at, AP_NAME_MAX, text);
	return AP_CONF_OK;
}

static ap_conf_status_t read_key_hash(const ap_field_t *f, json_t *value, char *at,
				      const char *where, ap_err_t *err)
{
	const char *text = json_string_value(value);
	size_t digits = AP_KEY_HASH_TEXT_MAX - 1;

	if (!text || strlen(text) != digits || strspn(text, "0123456789abcdef") != digits)
		return invalid_field(err, where, f->name, "must be 64 lower-case hex digits");
	ap_copy_name(at, AP_KEY_HASH_TEXT_MAX, text);
	return AP_CONF_OK;
}

static ap_conf_status_t read_labels(const ap_field_t *f, json_t *value, ap_labels_t *at,
				    const char *where, ap_err_t *err)
{
	const char *key;
	json_t *item;

	if (!json_is_object(value))
		return invalid_field(err, where, f->name, "must be a table of strings");
	if (json_object_size(value) > FIELD_ITEMS_MAX)
		return invalid_field(err, where, f->name, "has more than 256 labels");
	at->v = calloc(json_object_size(value) + 1, sizeof(*at->v));
	if (!at->v)
		return AP_CONF_NO_MEMORY;
	json_object_foreach (value, key, item) {
		if (!ap_name_ok(key) || !json_is_string(item))
			return invalid_field(err, where, f->name,
					     "must map names to strings; a key is not a name or a "
					     "value not a string");
		at->v[at->n].key = strdup(key);
		at->v[at->n].value = strdup(json_string_value(item));
		at->n++;
		if (!at->v[at->n - 1].key || !at->v[at->n - 1].value)
			return AP_CONF_NO_MEMORY;
	}
	return AP_CONF_OK;
}

/*
 * Value @i of a term that is a string or an array of strings; NULL when the value is not a string.
 */
static const char *term_value(json_t *item, size_t i)
{
	if (json_is_array(item))
		return json_string_value(json_array_get(item, i));
	return json_string_value(item);
}

static ap_conf_status_t read_term(const ap_field_t *f, json_t *item, ap_term_t *term,
				  const char *where, ap_err_t *err)
{
	size_t n = json_is_array(item) ? json_array_size(item) : 1;

	if (json_is_boolean(item)) {
		term->match = json_is_true(item) ? AP_MATCH_EXISTS : AP_MATCH_ABSENT;
		return AP_CONF_OK;
	}
	if (n == 0 || n > FIELD_ITEMS_MAX)
		return invalid_field(err, where, f->name,
				     "has a condition with no values or more than 256");
	term->match = AP_MATCH_IN;
	term->values = calloc(n, sizeof(*term->values));
	if (!term->values)
		return AP_CONF_NO_MEMORY;
	for (size_t i = 0; i < n; i++) {
		const char *text = term_value(item, i);

		if (!text)
			return invalid_field(
				err, where, f->name,
				"has a condition that is not a string, an array of strings, "
				"true or false");
		term->values[i] = strdup(text);
		if (!term->values[i])
			return AP_CONF_NO_MEMORY;
		term->n++;
	}
	return AP_CONF_OK;
}

static ap_conf_status_t read_selector(const ap_field_t *f, json_t *value, ap_selector_t *at,
				      const char *where, ap_err_t *err)
{
	const char *key;
	json_t *item;

	if (!json_is_object(value))
		return invalid_field(err, where, f->name, "must be a table of label conditions");
	if (json_object_size(value) > FIELD_ITEMS_MAX)
		return invalid_field(err, where, f->name, "has more than 256 conditions");
	at->v = calloc(json_object_size(value) + 1, sizeof(*at->v));
	if (!at->v)
		return AP_CONF_NO_MEMORY;
	json_object_foreach (value, key, item) {
		ap_term_t *term = &at->v[at->n];
		ap_conf_status_t status;

		if (!ap_name_ok(key))
			return invalid_field(err, where, f->name,
					     "has a label key that is not a name");
		term->key = strdup(key);
		if (!term->key)
			return AP_CONF_NO_MEMORY;
		at->n++;
		status = read_term(f, item, term, where, err);
		if (status != AP_CONF_OK)
			return status;
	}
	return AP_CONF_OK;
}

/* Makes a selector with one term without values, which no labels match. */
static ap_conf_status_t select_nothing(ap_selector_t *at)
{
	at->v = calloc(1, sizeof(*at->v));
	if (!at->v)
		return AP_CONF_NO_MEMORY;
	at->v[0].key = strdup("none");
	at->n = 1;
	return at->v[0].key ? AP_CONF_OK : AP_CONF_NO_MEMORY;
}

static ap_conf_status_t read_value(const ap_field_t *f, json_t *value, void *at, const char *where,
				   ap_err_t *err)
{
	switch (f->type) {
	case AP_FIELD_BOOL:
		if (!json_is_boolean(value))
			return invalid_field(err, where, f->name, "must be true or false");
		*(bool *)at = json_is_true(value);
		return AP_CONF_OK;
	case AP_FIELD_NAME:
		return read_name(f, value, at, where, err);
	case AP_FIELD_KEY_HASH:
		return read_key_hash(f, value, at, where, err);
	case AP_FIELD_CLASS:
		return read_class(f, value, at, where, err);
	case AP_FIELD_LABELS:
		return read_labels(f, value, at, where, err);
	case AP_FIELD_SELECTOR:
	case AP_FIELD_NONE_SELECTOR:
		return read_selector(f, value, at, where, err);
	default:
		return read_number(f, value, at, where, err);
	}
}

static ap_conf_status_t set_default(const ap_field_t *f, void *at)
{
	switch (f->type) {
	case AP_FIELD_NAME:
	case AP_FIELD_KEY_HASH:
	case AP_FIELD_LABELS:
	case AP_FIELD_SELECTOR:
		return AP_CONF_OK;
	case AP_FIELD_NONE_SELECTOR:
		return select_nothing(at);
	default:
		store_number(f, at, f->def);
		return AP_CONF_OK;
	}
}

static const ap_field_t *find_field(const ap_field_t *fields, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}

ap_conf_status_t ap_fields_read(const ap_field_t *fields, size_t n, json_t *json, void *object,
				const char *where, ap_err_t *err)
{
	const char *key;
	json_t *value;

	if (!json_is_object(json)) {
		ap_err_set(err, "%s: must be a table of fields", where);
		return AP_CONF_INVALID;
	}
	json_object_foreach (json, key, value) {
		if (!find_field(fields, n, key))
			return invalid_field(err, where, key, "unknown field");
	}
	for (size_t i = 0; i < n; i++) {
		const ap_field_t *f = &fields[i];
		void *at = (char *)object + f->offset;
		ap_conf_status_t status;

		value = json_object_get(json, f->name);
		if (!value && f->required)
			return invalid_field(err, where, f->name, "is missing");
		status = value ? read_value(f, value, at, where, err) : set_default(f, at);
		if (status != AP_CONF_OK)
			return status;
	}
	return AP_CONF_OK;
}
