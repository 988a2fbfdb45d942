/*
 * Headers passed on between callers and upstreams. Only headers on two fixed lists are passed on,
 * so that API keys, hop-by-hop headers and the gateway's own headers are not.
 */
#include "entry.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#define HEADER_VALUE_MAX 1024 /* bytes, with the terminator */
#define SEPARATOR ", "

static const char *const names[HEADERS_DIRECTIONS][PASSED_HEADERS_MAX] = {
	[HEADERS_REQUEST] = {"Accept", "Accept-Language", "If-Match", "If-Modified-Since",
			     "If-None-Match", "If-Unmodified-Since", "traceparent", "tracestate"},
	[HEADERS_RESPONSE] = {"Cache-Control", "Content-Disposition", "Content-Encoding",
			      "Content-Language", "ETag", "Last-Modified", "Location",
			      "Retry-After", "Vary"},
};

/* Joins the values of all lines of one header. Return: false when they don't fit. */
static bool join(const struct evkeyvalq *from, const char *name, char out[HEADER_VALUE_MAX])
{
	const struct evkeyval *line;
	size_t used = 0;

	out[0] = '\0';
	TAILQ_FOREACH (line, from, next) {
		const char *gap = used ? SEPARATOR : "";
		size_t len = strlen(gap) + strlen(line->value);

		if (strcasecmp(line->key, name) != 0 || !line->value[0])
			continue;
		if (used + len >= HEADER_VALUE_MAX)
			return false;
		memcpy(out + used, gap, strlen(gap));
		memcpy(out + used + strlen(gap), line->value, strlen(line->value) + 1);
		used += len;
	}
	return true;
}

void headers_clear(header_set_t *set)
{
	for (int i = 0; i < PASSED_HEADERS_MAX; i++) {
		free(set->values[i]);
		set->values[i] = NULL;
	}
}

bool headers_copy(header_set_t *set, headers_direction_t direction, const struct evkeyvalq *from)
{
	char value[HEADER_VALUE_MAX];
	bool all = true;

	headers_clear(set);
	for (int i = 0; i < PASSED_HEADERS_MAX && names[direction][i]; i++) {
		if (ap_http_lists(from, "Connection", names[direction][i]))
			continue;
		if (!join(from, names[direction][i], value))
			all = false;
		else if (value[0])
			set->values[i] = strdup(value);
	}
	return all;
}

size_t headers_list(const header_set_t *set, headers_direction_t direction, ap_http_header_t *out)
{
	size_t n = 0;

	for (int i = 0; i < PASSED_HEADERS_MAX; i++) {
		if (set->values[i])
			out[n++] = (ap_http_header_t){names[direction][i], set->values[i]};
	}
	return n;
}

void headers_pack(const header_set_t *set, headers_direction_t direction, ap_forward_headers_t *out)
{
	ap_http_header_t list[PASSED_HEADERS_MAX];

	out->n = headers_list(set, direction, list);
	for (size_t i = 0; i < out->n; i++) {
		out->v[i].name = list[i].name;
		out->v[i].name_len = strlen(list[i].name);
		out->v[i].value = list[i].value;
		out->v[i].value_len = strlen(list[i].value);
	}
}

/* A value from another entry must not be able to begin a new header line. */
static bool value_ok(const ap_forward_header_t *header)
{
	for (size_t i = 0; i < header->value_len; i++) {
		unsigned char c = (unsigned char)header->value[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return header->value_len > 0 && header->value_len < HEADER_VALUE_MAX;
}

static void unpack_one(header_set_t *set, headers_direction_t direction,
		       const ap_forward_header_t *header)
{
	for (int i = 0; i < PASSED_HEADERS_MAX && names[direction][i]; i++) {
		if (strlen(names[direction][i]) != header->name_len ||
		    strncasecmp(names[direction][i], header->name, header->name_len) != 0)
			continue;
		free(set->values[i]);
		set->values[i] = strndup(header->value, header->value_len);
	}
}

void headers_unpack(header_set_t *set, headers_direction_t direction,
		    const ap_forward_headers_t *from)
{
	headers_clear(set);
	for (size_t i = 0; i < from->n; i++) {
		if (value_ok(&from->v[i]))
			unpack_one(set, direction, &from->v[i]);
	}
}
