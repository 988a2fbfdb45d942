/*
 * Server-sent events: finds their ends and their ids. An event ends with an empty line. Lines end
 * with LF, CR LF or CR.
 */
#include "exchange/exchange.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define NUMBER_MAX 24 /* bytes of a number, with terminator */
#define OVERLAP 3     /* bytes searched before that may belong to the empty line */

/* Returns the offset past the next empty line at or after @from, or 0 for none. */
static size_t next_event_end(const char *data, size_t len, size_t from)
{
	for (size_t i = from; i + 1 < len; i++) {
		if (data[i] == '\r' && data[i + 1] == '\r')
			return i + 2;
		if (data[i] != '\n')
			continue;
		if (data[i + 1] == '\n')
			return i + 2;
		if (data[i + 1] == '\r' && i + 2 < len && data[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

size_t ap_sse_complete_len(const char *data, size_t len, size_t scanned)
{
	size_t from = scanned > OVERLAP ? scanned - OVERLAP : 0;
	size_t complete = 0;
	size_t end;

	while ((end = next_event_end(data, len, from)) != 0) {
		complete = end;
		/* More empty lines belong to the complete part; the last newline may begin one. */
		from = end - 1;
	}
	return complete;
}

/* Returns the number of bytes before the end of the first line in @data. */
static size_t line_len(const char *data, size_t len)
{
	size_t n = 0;

	while (n < len && data[n] != '\n' && data[n] != '\r')
		n++;
	return n;
}

/*
 * Finds the line of the field @name, with its colon, of the single event in @data. Return: its
 * value, of @n bytes, or NULL.
 */
static const char *find_field(const char *data, size_t len, const char *name, size_t *n)
{
	size_t skip = strlen(name);
	size_t at = 0;

	while (at < len) {
		const char *line = data + at;

		*n = line_len(line, len - at);
		at += *n + 1;
		if (*n < skip || memcmp(line, name, skip) != 0)
			continue;
		if (*n > skip && line[skip] == ' ')
			skip++;
		*n -= skip;
		return line + skip;
	}
	return NULL;
}

static bool has_field(const char *data, size_t len, const char *name)
{
	size_t n;

	return find_field(data, len, name, &n) != NULL;
}

/*
 * Copies the value of the field @name, with its colon, of the single event in @data. Return: false
 * if there is none, or it is too long.
 */
static bool event_field(const char *data, size_t len, const char *name, char *value, size_t size)
{
	size_t n;
	const char *found = find_field(data, len, name, &n);

	if (!found || n >= size)
		return false;
	memcpy(value, found, n);
	value[n] = '\0';
	return true;
}

static bool event_id(const char *data, size_t len, char id[AP_SSE_ID_MAX])
{
	return event_field(data, len, AP_SSE_ID, id, AP_SSE_ID_MAX);
}

bool ap_sse_number(const char *data, size_t len, const char *name, uint64_t *number)
{
	size_t end = next_event_end(data, len, 0);
	char text[NUMBER_MAX];
	uint64_t value;
	char *stop;

	errno = 0;
	if (end == 0 || !event_field(data, end, name, text, sizeof(text)))
		return false;
	value = strtoull(text, &stop, 10);
	if (errno == ERANGE || stop == text || stop[strspn(stop, " ")] != '\0' || strchr(text, '-'))
		return false;
	*number = value;
	return true;
}

size_t ap_sse_next_with(const char *data, size_t len, const char *name)
{
	size_t from = next_event_end(data, len, 0);
	char text[NUMBER_MAX];
	size_t end;

	while (from != 0 && (end = next_event_end(data, len, from)) != 0) {
		if (event_field(data + from, end - from, name, text, sizeof(text)))
			return from;
		from = end;
	}
	return len;
}

/* Comments, and other blocks without data or an id, are no events. */
static bool is_event(const char *data, size_t len)
{
	return has_field(data, len, AP_SSE_DATA) || has_field(data, len, AP_SSE_ID);
}

size_t ap_sse_count(const char *data, size_t len)
{
	size_t count = 0;
	size_t from = 0;
	size_t end;

	while ((end = next_event_end(data, len, from)) != 0) {
		count += is_event(data + from, end - from);
		from = end;
	}
	return count;
}

bool ap_sse_next(const char *data, size_t len, size_t from, ap_sse_event_t *event)
{
	event->end = next_event_end(data, len, from);
	if (event->end == 0)
		return false;
	event->counts = is_event(data + from, event->end - from);
	event->has_id = event_id(data + from, event->end - from, event->id);
	if (!event->has_id)
		event->id[0] = '\0';
	return true;
}

/* A whole number of any size, in decimal. */
typedef struct number {
	const char *digits; /* without leading zeros */
	size_t n_digits;
	bool negative;
} number_t;

static bool read_number(const char *text, number_t *number)
{
	size_t zeros;

	text += strspn(text, " ");
	number->negative = *text == '-';
	text += number->negative;
	zeros = strspn(text, "0");
	number->digits = text + zeros;
	number->n_digits = strspn(number->digits, "0123456789");
	if (number->n_digits == 0)
		number->negative = false;
	text = number->digits + number->n_digits;
	return zeros + number->n_digits > 0 && text[strspn(text, " ")] == '\0';
}

/* Returns whether @a is farther from zero than @b. */
static bool is_larger(const number_t *a, const number_t *b)
{
	if (a->n_digits != b->n_digits)
		return a->n_digits > b->n_digits;
	return memcmp(a->digits, b->digits, a->n_digits) > 0;
}

bool ap_sse_is_number(const char *id)
{
	number_t number;

	return read_number(id, &number);
}

bool ap_sse_id_is_after(const char *current, const char *id)
{
	number_t a;
	number_t b;

	if (!read_number(current, &a) || !read_number(id, &b))
		return true;
	if (a.negative != b.negative)
		return b.negative;
	return a.negative ? is_larger(&b, &a) : is_larger(&a, &b);
}

bool ap_sse_begun_id(const char *data, size_t len, char id[AP_SSE_ID_MAX])
{
	size_t whole = len;

	/* The last line may be a part of one. */
	while (whole > 0 && data[whole - 1] != '\n' && data[whole - 1] != '\r')
		whole--;
	return event_id(data, whole, id) && id[0];
}

size_t ap_sse_ordered_len(const char *data, size_t len, const char *id)
{
	char previous[AP_SSE_ID_MAX];
	char current[AP_SSE_ID_MAX];
	size_t from = 0;
	size_t end;

	ap_copy_name(previous, sizeof(previous), id);
	while ((end = next_event_end(data, len, from)) != 0) {
		if (event_id(data + from, end - from, current)) {
			if (!ap_sse_id_is_after(current, previous))
				break;
			ap_copy_name(previous, sizeof(previous), current);
		}
		from = end;
	}
	return from;
}
