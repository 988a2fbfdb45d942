/* Parsing of header values. */
#include "http/client.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define SEPARATORS ", \t"
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

bool has_unknown_coding(const struct evkeyvalq *headers)
{
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");

	return coding && strcasecmp(coding, "chunked") != 0;
}
