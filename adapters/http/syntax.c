/*
 * Syntax of messages as they arrive. The library accepts forms of fields and chunk sizes that other
 * readers take for something else, and hides them from its user.
 */
#include "http/syntax.h"

#include <ctype.h>
#include <string.h>

#define CODING "transfer-encoding"
#define SIZE_DIGITS 15 /* of a chunk */
#define SIZE_MAX_BYTES ((UINT64_C(1) << 4 * SIZE_DIGITS) - 1)
#define STATUS_AT 9 /* offset of the status code in a status line, after one blank */
#define STATUS_END 12
#define STATUS_MIN 100
#define STATUS_MAX 599
#define READ_CHUNK 512 /* bytes examined at a time */

static bool is_token(char c)
{
	return isalnum((unsigned char)c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c));
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static void go_to(ap_http_syntax_t *s, ap_http_place_t place)
{
	s->place = place;
	s->n = 0;
	s->matched = 0;
	s->left = 0;
}

static bool has_chunks(const ap_http_syntax_t *s)
{
	return s->coded && !s->no_body && s->status != HTTP_NOCONTENT &&
	       s->status != HTTP_NOTMODIFIED;
}

static void end_fields(ap_http_syntax_t *s)
{
	bool interim = s->response && s->status < HTTP_OK;

	s->malformed |= interim && s->coded;
	if (s->trailers)
		go_to(s, AP_HTTP_AT_END);
	else if (interim && !s->malformed)
		*s = (ap_http_syntax_t){.response = true, .no_body = s->no_body};
	else
		go_to(s, has_chunks(s) ? AP_HTTP_AT_SIZE : AP_HTTP_AT_END);
}

static void end_size(ap_http_syntax_t *s)
{
	s->malformed |= s->n == 0 || s->n > SIZE_DIGITS;
	s->oversized = s->left > SIZE_MAX_BYTES;
	s->trailers = s->left == 0;
	s->body += s->left;
	if (s->trailers)
		go_to(s, AP_HTTP_AT_NAME);
	else
		s->place = AP_HTTP_AT_DATA;
}

/* Returns whether the status line has come as far as a status that exists. */
static bool has_status(const ap_http_syntax_t *s)
{
	return s->n >= STATUS_END && s->status >= STATUS_MIN && s->status <= STATUS_MAX;
}

static void end_line(ap_http_syntax_t *s)
{
	switch (s->place) {
	case AP_HTTP_AT_START_LINE:
		s->malformed |= s->response && s->n > 0 && !has_status(s);
		if (s->n > 0)
			go_to(s, AP_HTTP_AT_NAME);
		break;
	case AP_HTTP_AT_NAME:
		s->malformed |= s->n > 0;
		end_fields(s);
		break;
	case AP_HTTP_AT_BLANK:
		s->malformed = true;
		break;
	case AP_HTTP_AT_VALUE:
		go_to(s, AP_HTTP_AT_NAME);
		break;
	case AP_HTTP_AT_SIZE:
	case AP_HTTP_AT_EXTENSION:
		end_size(s);
		break;
	default:
		go_to(s, AP_HTTP_AT_SIZE);
		break;
	}
}

/*
 * The library reads the status as a number of any length and sign, up to what is no digit. The
 * reason behind it may be missing, and the blank before that.
 */
static void take_start(ap_http_syntax_t *s, char c)
{
	if (s->response && s->n >= STATUS_AT && s->n < STATUS_END) {
		s->malformed |= !isdigit((unsigned char)c);
		s->status = s->status * 10 + c - '0';
	} else if (s->response && (s->n == STATUS_AT - 1 || s->n == STATUS_END)) {
		s->malformed |= c != ' ' || (s->n == STATUS_END && !has_status(s));
	}
	s->n++;
}

/*
 * In a response, blanks before the colon and folded values are to be taken out, not refused; but
 * the library has looked for a coding by the time that its user can do so.
 */
static void take_name(ap_http_syntax_t *s, char c)
{
	static const size_t len = sizeof(CODING) - 1;
	bool coding;

	if (c == ':') {
		s->fields++;
		coding = s->n == len && s->matched == len;
		s->malformed |= s->n == 0 || (coding && s->place == AP_HTTP_AT_BLANK);
		s->coded |= coding;
		s->place = AP_HTTP_AT_VALUE;
		return;
	}
	if (s->response && is_blank(c)) {
		s->place = s->n == 0 ? AP_HTTP_AT_VALUE : AP_HTTP_AT_BLANK;
		return;
	}
	s->malformed |= s->place == AP_HTTP_AT_BLANK || !is_token(c);
	if (s->matched == s->n && s->n < len && tolower((unsigned char)c) == CODING[s->n])
		s->matched++;
	s->n++;
}

static void take_size(ap_http_syntax_t *s, char c)
{
	if (isxdigit((unsigned char)c)) {
		int digit =
			isdigit((unsigned char)c) ? c - '0' : tolower((unsigned char)c) - 'a' + 10;

		s->left = s->left > SIZE_MAX_BYTES ? s->left : s->left * 16 + (uint64_t)digit;
		s->n++;
		return;
	}
	s->malformed |= s->n == 0 || !(is_blank(c) || c == ';');
	s->place = AP_HTTP_AT_EXTENSION;
}

static void take(ap_http_syntax_t *s, char c)
{
	if (s->place < AP_HTTP_AT_SIZE && !s->trailers)
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
	case AP_HTTP_AT_START_LINE:
		take_start(s, c);
		break;
	case AP_HTTP_AT_NAME:
	case AP_HTTP_AT_BLANK:
		take_name(s, c);
		break;
	case AP_HTTP_AT_SIZE:
		take_size(s, c);
		break;
	case AP_HTTP_AT_DATA_END:
		s->malformed = true;
		break;
	default:
		break;
	}
}

static void take_bytes(ap_http_syntax_t *s, const char *bytes, size_t n)
{
	for (size_t i = 0; i < n && s->place != AP_HTTP_AT_END && !s->malformed;) {
		size_t skipped = n - i;

		if (s->place != AP_HTTP_AT_DATA) {
			take(s, bytes[i++]);
			continue;
		}
		if (skipped > s->left)
			skipped = s->left;
		i += skipped;
		s->left -= skipped;
		if (s->left == 0)
			s->place = AP_HTTP_AT_DATA_END;
	}
}

void ap_http_syntax_read(ap_http_syntax_t *s, struct evbuffer *in, size_t n)
{
	char part[READ_CHUNK];
	struct evbuffer_ptr at;
	ev_ssize_t got = 1;

	if (s->place == AP_HTTP_AT_END || s->malformed)
		return;
	if (evbuffer_ptr_set(in, &at, evbuffer_get_length(in) - n, EVBUFFER_PTR_SET) != 0)
		return;
	while (got > 0 && s->place != AP_HTTP_AT_END && !s->malformed) {
		got = evbuffer_copyout_from(in, &at, part, sizeof(part));
		if (got > 0)
			take_bytes(s, part, (size_t)got);
		if (got > 0 && evbuffer_ptr_set(in, &at, (size_t)got, EVBUFFER_PTR_ADD) != 0)
			return;
	}
}
