/*
 * Syntax of requests as they arrive. The library accepts forms of fields and chunk sizes that other
 * readers take for something else, and hides them from its user.
 */
#include "http/server.h"

#include <ctype.h>
#include <string.h>

#define CODING "transfer-encoding"
#define SIZE_DIGITS 15 /* of a chunk */

static bool is_token(char c)
{
	return isalnum((unsigned char)c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c));
}

static void start_line(syntax_t *s, syntax_place_t place)
{
	s->place = place;
	s->n = 0;
	s->matched = 0;
	s->left = 0;
}

static void end_line(syntax_t *s)
{
	switch (s->place) {
	case SYNTAX_REQUEST_LINE:
		if (s->n > 0)
			start_line(s, SYNTAX_NAME);
		break;
	case SYNTAX_NAME:
		s->malformed |= s->n > 0;
		start_line(s, s->coded && !s->trailers ? SYNTAX_SIZE : SYNTAX_END);
		break;
	case SYNTAX_VALUE:
		start_line(s, SYNTAX_NAME);
		break;
	case SYNTAX_SIZE:
	case SYNTAX_EXTENSION:
		s->malformed |= s->n == 0;
		s->trailers = s->left == 0;
		if (s->trailers)
			start_line(s, SYNTAX_NAME);
		else
			s->place = SYNTAX_DATA;
		break;
	default:
		start_line(s, SYNTAX_SIZE);
		break;
	}
}

static void take_name(syntax_t *s, char c)
{
	static const size_t len = sizeof(CODING) - 1;

	if (c == ':') {
		s->malformed |= s->n == 0;
		s->coded |= s->n == len && s->matched == len;
		s->place = SYNTAX_VALUE;
		return;
	}
	s->malformed |= !is_token(c);
	if (s->matched == s->n && s->n < len && tolower((unsigned char)c) == CODING[s->n])
		s->matched++;
	s->n++;
}

static void take_size(syntax_t *s, char c)
{
	if (isxdigit((unsigned char)c)) {
		s->left = s->left * 16 + (uint64_t)(isdigit((unsigned char)c)
							    ? c - '0'
							    : tolower((unsigned char)c) - 'a' + 10);
		s->malformed |= ++s->n > SIZE_DIGITS;
		return;
	}
	s->malformed |= s->n == 0 || !strchr(" \t;", c);
	s->place = SYNTAX_EXTENSION;
}

static void take(syntax_t *s, char c)
{
	if (s->place < SYNTAX_SIZE && !s->trailers)
		s->head_bytes++;
	if (c == '\n') {
		s->cr = false;
		end_line(s);
		return;
	}
	s->malformed |= s->cr || c == '\0';
	s->cr = c == '\r';
	if (s->cr)
		return;
	switch (s->place) {
	case SYNTAX_REQUEST_LINE:
		s->n++;
		break;
	case SYNTAX_NAME:
		take_name(s, c);
		break;
	case SYNTAX_SIZE:
		take_size(s, c);
		break;
	case SYNTAX_DATA_END:
		s->malformed = true;
		break;
	default:
		break;
	}
}

void syntax_take(syntax_t *s, const char *bytes, size_t n)
{
	for (size_t i = 0; i < n && s->place != SYNTAX_END && !s->malformed;) {
		size_t skipped = n - i;

		if (s->place != SYNTAX_DATA) {
			take(s, bytes[i++]);
			continue;
		}
		if (skipped > s->left)
			skipped = s->left;
		i += skipped;
		s->left -= skipped;
		if (s->left == 0)
			s->place = SYNTAX_DATA_END;
	}
}
