/* Parsing of header values. */
#include "http/client.h"

#include <ctype.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <time.h>

#define SEPARATORS ", \t"
#define STATUS_TOO_MANY 429
#define HTTP_DATE "%a, %d %b %Y %H:%M:%S GMT"
#define KEEP_ALIVE_MARGIN (300 * AP_MSEC) /* close this long before the upstream would */

bool ap_http_list_contains(const char *list, const char *word)
{
	size_t len = strlen(word);

	for (const char *at = list; at && *at; at += strcspn(at, ",")) {
		at += strspn(at, SEPARATORS);
		if (strncasecmp(at, word, len) == 0 && strchr(SEPARATORS, at[len]))
			return true;
	}
	return false;
}

bool ap_http_lists(const struct evkeyvalq *headers, const char *name, const char *word)
{
	const struct evkeyval *h;

	TAILQ_FOREACH (h, headers, next) {
		if (strcasecmp(h->key, name) == 0 && ap_http_list_contains(h->value, word))
			return true;
	}
	return false;
}

ap_usec_t keep_alive_of(const struct evkeyvalq *headers)
{
	const char *value = evhttp_find_header(headers, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	ap_usec_t keep;

	if (!timeout)
		return AP_NEVER;
	keep = ap_duration(strtod(timeout + strlen("timeout="), NULL), AP_SEC) - KEEP_ALIVE_MARGIN;
	return keep > 0 ? keep : 0;
}

static bool is_at_end(const char *text)
{
	return text[strspn(text, " \t")] == '\0';
}

/* Return: false for what strtod() takes beyond digits, such as hexadecimal numbers. */
static bool parse_seconds(const char *text, ap_usec_t *wait)
{
	size_t digits = strspn(text, "0123456789.");
	double seconds;
	char *end;

	if (!isdigit((unsigned char)text[0]) || tolower((unsigned char)text[digits]) == 'x')
		return false;
	seconds = strtod(text, &end);
	if (!is_at_end(end))
		return false;
	*wait = ap_duration(seconds, AP_SEC);
	return true;
}

static bool parse_date(const char *text, time_t *date)
{
	struct tm tm = {0};
	const char *end = text ? strptime(text, HTTP_DATE, &tm) : NULL;

	if (!end || !is_at_end(end))
		return false;
	*date = timegm(&tm);
	return true;
}

/* The sender's clock may differ from that of this machine, so a date counts from the sender's. */
static bool parse_retry_date(const struct evkeyvalq *headers, const char *text, ap_usec_t *wait)
{
	time_t until;
	time_t from;

	if (!parse_date(text, &until) || !parse_date(evhttp_find_header(headers, "Date"), &from))
		return false;
	*wait = until > from ? ap_duration(difftime(until, from), AP_SEC) : 0;
	return true;
}

ap_http_retry_t ap_http_retry_after(const struct evkeyvalq *headers, int status, ap_usec_t *wait)
{
	ap_http_retry_t result = AP_HTTP_RETRY_NONE;
	const struct evkeyval *h;

	*wait = 0;
	if (status != HTTP_SERVUNAVAIL && status != STATUS_TOO_MANY)
		return result;
	TAILQ_FOREACH (h, headers, next) {
		ap_usec_t one;

		if (strcasecmp(h->key, "Retry-After") != 0)
			continue;
		if (!parse_seconds(h->value, &one) && !parse_retry_date(headers, h->value, &one)) {
			if (result == AP_HTTP_RETRY_NONE)
				result = AP_HTTP_RETRY_INVALID;
			continue;
		}
		result = AP_HTTP_RETRY_VALID;
		if (one > *wait)
			*wait = one;
	}
	return result;
}
