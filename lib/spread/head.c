/* Parses and formats the head of a generation, which is stored and sent as JSON text. */
#include "spread/private.h"

#include <stdlib.h>
#include <string.h>

uint64_t head_generation(const ap_head_t *head)
{
	return head ? head->history[0].generation : 0;
}

void head_free(ap_head_t *head)
{
	if (!head)
		return;
	free(head->segments);
	free(head->retired);
	free(head);
}

const ap_history_entry_t *head_find_nonce(const ap_head_t *head, ap_id_t nonce)
{
	for (size_t i = 0; i < head->n_history; i++) {
		if (ap_id_eq(head->history[i].nonce, nonce))
			return &head->history[i];
	}
	return NULL;
}

static bool parse_history_entry(json_t *from, ap_history_entry_t *entry)
{
	json_int_t generation = 0, at = 0;
	const char *nonce = NULL;

	if (json_unpack(from, "{s:I, s:s, s:I}", "generation", &generation, "nonce", &nonce, "at",
			&at) != 0)
		return false;
	entry->generation = (uint64_t)generation;
	entry->wall_ms = (uint64_t)at;
	return generation > 0 && ap_id_parse(nonce, &entry->nonce);
}

static bool parse_history(json_t *list, ap_head_t *head)
{
	size_t n = json_array_size(list);

	if (n == 0 || n > HISTORY_MAX)
		return false;
	for (size_t i = 0; i < n; i++) {
		if (!parse_history_entry(json_array_get(list, i), &head->history[i]))
			return false;
		if (i > 0 && head->history[i].generation >= head->history[i - 1].generation)
			return false;
	}
	head->n_history = n;
	return true;
}

static bool parse_segments(json_t *list, ap_head_t *head)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list) || n > SEGMENTS_MAX)
		return false;
	head->segments = calloc(n + 1, sizeof(*head->segments));
	if (!head->segments)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (!ap_id_parse(json_string_value(json_array_get(list, i)), &head->segments[i]))
			return false;
	}
	head->n = n;
	return true;
}

static bool parse_retired(json_t *list, ap_head_t *head)
{
	size_t n = json_array_size(list);

	if (n > RETIRED_MAX)
		return false;
	head->retired = calloc(n + 1, sizeof(*head->retired));
	if (!head->retired)
		abort();
	for (size_t i = 0; i < n; i++) {
		json_int_t generation = 0, at = 0;
		const char *hash = NULL;

		if (json_unpack(json_array_get(list, i), "[s, I, I]", &hash, &generation, &at) !=
			    0 ||
		    !ap_id_parse(hash, &head->retired[i].hash))
			return false;
		head->retired[i].generation = (uint64_t)generation;
		head->retired[i].wall_ms = (uint64_t)at;
	}
	head->n_retired = n;
	return true;
}

ap_head_t *head_parse(const void *text, size_t len, ap_err_t *err)
{
	json_t *json = json_loadb(text, len, 0, NULL);
	ap_head_t *head = calloc(1, sizeof(*head));

	if (!head)
		abort();
	if (!json || !parse_history(json_object_get(json, "history"), head) ||
	    !parse_segments(json_object_get(json, "segments"), head) ||
	    !parse_retired(json_object_get(json, "retired"), head)) {
		ap_err_set(err, "head of %zu bytes is malformed", len);
		head_free(head);
		head = NULL;
	}
	json_decref(json);
	return head;
}

char *head_format(const ap_head_t *head)
{
	json_t *segments = json_array();
	json_t *history = json_array();
	json_t *retired = json_array();
	json_t *json = json_pack("{s:o, s:o, s:o}", "history", history, "segments", segments,
				 "retired", retired);
	char hex[AP_ID_TEXT_MAX];
	char *text;

	for (size_t i = 0; i < head->n; i++) {
		ap_id_format(head->segments[i], hex);
		json_array_append_new(segments, json_string(hex));
	}
	for (size_t i = 0; i < head->n_history; i++) {
		const ap_history_entry_t *entry = &head->history[i];

		ap_id_format(entry->nonce, hex);
		json_array_append_new(history, json_pack("{s:I, s:s, s:I}", "generation",
							 (json_int_t)entry->generation, "nonce",
							 hex, "at", (json_int_t)entry->wall_ms));
	}
	for (size_t i = 0; i < head->n_retired; i++) {
		const ap_retired_t *old = &head->retired[i];

		ap_id_format(old->hash, hex);
		json_array_append_new(retired,
				      json_pack("[s, I, I]", hex, (json_int_t)old->generation,
						(json_int_t)old->wall_ms));
	}
	text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	if (!text)
		abort();
	return text;
}
