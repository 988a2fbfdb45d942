/* Three-way merge and difference of documents, field by field. */
#include "conf/conf.h"

#include <stdio.h>
#include <string.h>

#define FIELD_DEPTH 3 /* levels: kind, name, field; a field's value is compared as a whole */
#define PATH_MAX_BYTES (3 * AP_NAME_MAX)

static bool same(json_t *a, json_t *b)
{
	if (!a || !b)
		return a == b;
	return json_equal(a, b) != 0;
}

static void join(char out[PATH_MAX_BYTES], const char *path, const char *key)
{
	snprintf(out, PATH_MAX_BYTES, "%s%s%s", path, *path ? "/" : "", key);
}

/* Appends a path to the message, cut off at the message's size. */
static void add_conflict(ap_err_t *err, const char *path)
{
	size_t used;

	if (!err)
		return;
	used = strlen(err->text);
	snprintf(err->text + used, sizeof(err->text) - used, "%s%s", used > 0 ? " " : "", path);
}

typedef struct merge {
	ap_err_t *err;
	bool conflict;
} merge_t;

static json_t *merge_value(merge_t *m, json_t *base, json_t *mine, json_t *theirs, const char *path,
			   int depth);

static void merge_key(merge_t *m, json_t *base, json_t *mine, json_t *theirs, const char *path,
		      int depth, const char *key, json_t *out)
{
	char below[PATH_MAX_BYTES];
	json_t *value;

	join(below, path, key);
	value = merge_value(m, json_object_get(base, key), json_object_get(mine, key),
			    json_object_get(theirs, key), below, depth + 1);
	if (value)
		json_object_set_new(out, key, value);
}

static json_t *merge_tables(merge_t *m, json_t *base, json_t *mine, json_t *theirs,
			    const char *path, int depth)
{
	json_t *out = json_object();
	const char *key;
	json_t *value;

	json_object_foreach (theirs, key, value)
		merge_key(m, base, mine, theirs, path, depth, key, out);
	json_object_foreach (mine, key, value) {
		if (!json_object_get(theirs, key))
			merge_key(m, base, mine, theirs, path, depth, key, out);
	}
	return out;
}

/* Return: a new reference, or NULL when the value is not in the result. */
static json_t *merge_value(merge_t *m, json_t *base, json_t *mine, json_t *theirs, const char *path,
			   int depth)
{
	if (same(mine, theirs) || same(base, mine))
		return json_incref(theirs);
	if (same(base, theirs))
		return json_incref(mine);
	if (depth < FIELD_DEPTH && json_is_object(mine) && json_is_object(theirs))
		return merge_tables(m, base, mine, theirs, path, depth);
	m->conflict = true;
	add_conflict(m->err, path);
	return json_incref(theirs);
}

ap_conf_status_t ap_conf_merge(json_t *base, json_t *mine, json_t *theirs, json_t **merged,
			       ap_err_t *err)
{
	merge_t m = {.err = err};
	json_t *out;

	*merged = NULL;
	if (err)
		err->text[0] = '\0';
	out = merge_value(&m, base, mine, theirs, "", 0);
	if (m.conflict) {
		json_decref(out);
		return AP_CONF_CONFLICT;
	}
	*merged = out;
	return AP_CONF_OK;
}

static void diff_value(json_t *out, json_t *old, json_t *new_value, const char *path, int depth);

static void diff_key(json_t *out, json_t *old, json_t *new_value, const char *path, int depth,
		     const char *key)
{
	char below[PATH_MAX_BYTES];

	join(below, path, key);
	diff_value(out, json_object_get(old, key), json_object_get(new_value, key), below,
		   depth + 1);
}

static void diff_value(json_t *out, json_t *old, json_t *new_value, const char *path, int depth)
{
	const char *key;
	json_t *value;

	if (same(old, new_value))
		return;
	if (depth >= FIELD_DEPTH || (!json_is_object(old) && !json_is_object(new_value))) {
		json_array_append_new(out, json_pack("{s:s, s:O?, s:O?}", "field", path, "old", old,
						     "new", new_value));
		return;
	}
	json_object_foreach (old, key, value)
		diff_key(out, old, new_value, path, depth, key);
	json_object_foreach (new_value, key, value) {
		if (!json_object_get(old, key))
			diff_key(out, old, new_value, path, depth, key);
	}
}

json_t *ap_conf_diff(json_t *old, json_t *new_doc)
{
	json_t *out = json_array();

	diff_value(out, old, new_doc, "", 0);
	return out;
}
