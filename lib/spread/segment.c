/*
 * Splits documents into immutable segments and joins them again. The objects of one kind are
 * assigned to segments by the hash of their names, so that changing one object writes only one
 * small segment.
 */
#include "spread/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECTS_PER_SEGMENT 32

ap_id_t segment_hash(const void *text, size_t len)
{
	return (ap_id_t){.hi = ap_hash(text, len, 1), .lo = ap_hash(text, len, 2)};
}

ap_segment_t *segment_find(ap_segment_t *set, ap_id_t hash)
{
	ap_segment_t *found;

	HASH_FIND(hh, set, &hash, sizeof(hash), found);
	return found;
}

void segment_add(ap_segment_t **set, const void *text, size_t len)
{
	ap_id_t hash = segment_hash(text, len);
	ap_segment_t *seg;

	if (segment_find(*set, hash))
		return;
	seg = calloc(1, sizeof(*seg));
	if (!seg)
		abort();
	seg->hash = hash;
	seg->len = len;
	seg->text = malloc(len + 1);
	if (!seg->text)
		abort();
	memcpy(seg->text, text, len);
	seg->text[len] = '\0';
	HASH_ADD(hh, *set, hash, sizeof(seg->hash), seg);
}

void segments_free(ap_segment_t **set)
{
	ap_segment_t *seg, *next;

	seg = *set;
	HASH_CLEAR(hh, *set);
	for (; seg; seg = next) {
		next = seg->hh.next;
		free(seg->text);
		free(seg);
	}
}

void segment_key(ap_id_t hash, char *key, size_t size)
{
	char hex[AP_ID_TEXT_MAX];

	ap_id_format(hash, hex);
	snprintf(key, size, "%s%s", AP_SPREAD_SEGMENT_PREFIX, hex);
}

static size_t segments_for(size_t objects)
{
	size_t n = 1;

	while (n * OBJECTS_PER_SEGMENT < objects)
		n *= 2;
	return n;
}

static bool add_segment(const char *kind, json_t *objects, ap_segment_t **set, ap_head_t *head)
{
	json_t *part = json_pack("{s:O}", kind, objects);
	char *text = json_dumps(part, JSON_COMPACT | JSON_SORT_KEYS);
	bool fits = head->n < SEGMENTS_MAX;

	json_decref(part);
	if (!text)
		abort();
	if (fits) {
		head->segments[head->n++] = segment_hash(text, strlen(text));
		segment_add(set, text, strlen(text));
	}
	free(text);
	return fits;
}

static bool split_kind(const char *kind, json_t *objects, ap_segment_t **set, ap_head_t *head)
{
	size_t n = segments_for(json_object_size(objects));
	bool ok = true;

	for (size_t i = 0; ok && i < n; i++) {
		json_t *part = json_object();
		const char *name;
		json_t *object;

		json_object_foreach (objects, name, object) {
			if (ap_hash_str(name, 0) % n == i)
				json_object_set(part, name, object);
		}
		ok = add_segment(kind, part, set, head);
		json_decref(part);
	}
	return ok;
}

bool document_split(json_t *doc, ap_segment_t **set, ap_head_t *head)
{
	const char *kind;
	json_t *objects;

	free(head->segments);
	head->n = 0;
	head->segments = calloc(SEGMENTS_MAX, sizeof(*head->segments));
	if (!head->segments)
		abort();
	json_object_foreach (doc, kind, objects) {
		if (!split_kind(kind, objects, set, head))
			return false;
	}
	return true;
}

json_t *document_join(ap_segment_t *set, const ap_head_t *head)
{
	json_t *doc = json_object();
	bool ok = true;

	for (size_t i = 0; ok && i < head->n; i++) {
		const ap_segment_t *seg = segment_find(set, head->segments[i]);
		json_t *part = seg ? json_loadb(seg->text, seg->len, 0, NULL) : NULL;
		const char *kind;
		json_t *objects;

		ok = json_is_object(part);
		json_object_foreach (part, kind, objects) {
			json_t *known = json_object_get(doc, kind);

			if (known)
				json_object_update(known, objects);
			else
				json_object_set(doc, kind, objects);
		}
		json_decref(part);
	}
	if (ok)
		return doc;
	json_decref(doc);
	return NULL;
}
