/* Server-sent events of an upstream: passes on complete events only, and counts tokens. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

#define EVENT_MAX (1u << 20) /* bytes of one event */

static const char done_mark[] = "[DONE]";

typedef enum event_kind {
	EVENT_TOKEN, /* or anything else to be passed on */
	EVENT_DONE,
	EVENT_ERROR,
	EVENT_UNREAD, /* out of memory */
} event_kind_t;

void stream_init(stream_t *s, const ap_service_t *service)
{
	s->plain = service->plain;
	s->partial = evbuffer_new();
	s->text = service->resumable ? evbuffer_new() : NULL;
}

void stream_clear(stream_t *s)
{
	if (s->partial)
		evbuffer_free(s->partial);
	if (s->text)
		evbuffer_free(s->text);
	s->partial = NULL;
	s->text = NULL;
}

void stream_drop_partial(stream_t *s)
{
	evbuffer_drain(s->partial, evbuffer_get_length(s->partial));
	s->scanned = 0;
	s->failed = false;
	s->usage.known = false;
}

static const char *content_of(json_t *event)
{
	json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
	json_t *text = json_object_get(choice, "text");

	if (!text)
		text = json_object_get(json_object_get(choice, "delta"), "content");
	return json_string_value(text);
}

void usage_read(json_t *doc, usage_t *usage)
{
	json_t *figures = json_object_get(doc, "usage");
	json_t *details = json_object_get(figures, "prompt_tokens_details");
	json_t *cached = json_object_get(details, "cached_tokens");
	json_int_t prompt = json_integer_value(json_object_get(figures, "prompt_tokens"));
	json_int_t n_cached = json_integer_value(cached);

	if (!json_is_integer(cached) || n_cached < 0 || prompt < n_cached || prompt < 1 ||
	    prompt > UINT32_MAX)
		return;
	usage->known = true;
	usage->prompt_tokens = (uint32_t)prompt;
	usage->cached_tokens = (uint32_t)n_cached;
}

/*
 * Counts an event with text as one token, whatever the length of its text. Return: false if the
 * engine reports an error, which some do before an end mark.
 */
static bool count_token(stream_t *s, const char *data, size_t len)
{
	json_t *event = json_loadb(data, len, 0, NULL);
	json_t *error = json_object_get(event, "error");
	bool sound = s->plain || !error || json_is_null(error);
	const char *text = content_of(event);

	if (sound && text && text[0]) {
		s->tokens++;
		if (s->text)
			evbuffer_add(s->text, text, strlen(text));
	}
	usage_read(event, &s->usage);
	json_decref(event);
	return sound;
}

/* Joins the data lines of an event in @out, of @len bytes. Return: how many were used. */
static size_t join_data(const char *event, size_t len, char *out)
{
	static const char name[] = "data:";
	const size_t skip = sizeof(name) - 1;
	const char *stop = event + len;
	size_t used = 0;

	for (const char *line = event; line < stop;) {
		const char *end = line;

		while (end < stop && *end != '\n' && *end != '\r')
			end++;
		if ((size_t)(end - line) >= skip && memcmp(line, name, skip) == 0) {
			const char *value = line + skip;

			while (value < end && *value == ' ')
				value++;
			if (used)
				out[used++] = '\n';
			memcpy(out + used, value, (size_t)(end - value));
			used += (size_t)(end - value);
		}
		line = end + 1;
	}
	return used;
}

/* Reads one complete event. */
static event_kind_t take_event(stream_t *s, const char *event, size_t len)
{
	char *data = malloc(len);
	event_kind_t kind = EVENT_TOKEN;
	size_t n;

	if (!data)
		return EVENT_UNREAD;
	n = join_data(event, len, data);
	if (n >= sizeof(done_mark) - 1 && memcmp(data, done_mark, sizeof(done_mark) - 1) == 0)
		kind = EVENT_DONE;
	else if (n > 0 && !count_token(s, data, n))
		kind = EVENT_ERROR;
	free(data);
	return kind;
}

/*
 * Length of the first event of @data with its empty line, or 0 if it is incomplete. The search for
 * the event's end starts at @from.
 */
static size_t event_length(const char *data, size_t len, size_t from)
{
	const char *end = memmem(data + from, len - from, "\n\n", 2);
	const char *crlf = memmem(data + from, len - from, "\r\n\r\n", 4);

	if (crlf && (!end || crlf < end))
		return (size_t)(crlf - data) + 4;
	return end ? (size_t)(end - data) + 2 : 0;
}

bool stream_feed(stream_t *s, const void *data, size_t len,
		 void (*events)(void *ctx, const void *data, size_t len), void *ctx)
{
	const char *all;
	size_t total;
	size_t used = 0;
	event_kind_t kind = EVENT_TOKEN;
	size_t n;

	if (s->done)
		return true;
	if (evbuffer_add(s->partial, data, len) != 0)
		return false;
	total = evbuffer_get_length(s->partial);
	all = (const char *)evbuffer_pullup(s->partial, -1);
	if (total > 0 && !all)
		return false;
	while (used < total) {
		n = event_length(all + used, total - used, s->scanned);
		if (n == 0)
			break;
		s->scanned = 0;
		kind = take_event(s, all + used, n);
		if (kind != EVENT_TOKEN)
			break;
		used += n;
	}
	s->done = kind == EVENT_DONE;
	s->failed = kind == EVENT_ERROR;
	if (used)
		events(ctx, all, used);
	evbuffer_drain(s->partial, used);
	total = evbuffer_get_length(s->partial);
	/* The next data may complete an empty line, so the last three bytes are scanned again. */
	s->scanned = total > 3 ? total - 3 : 0;
	return total <= EVENT_MAX && kind != EVENT_UNREAD && !s->failed;
}
