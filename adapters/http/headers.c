/* Parsing of header values. */
#include "http/http.h"

#include <string.h>
#include <strings.h>

#define SEPARATORS ", \t"

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
