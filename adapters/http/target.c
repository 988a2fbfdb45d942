/* Targets of requests, RFC 9112 3.2. */
#include "http/server.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Returns the authority of an absolute @uri, which ends at the next of "/?#"; NULL if there is
 * none. */
static const char *authority_of(const char *uri)
{
	static const char *const schemes[] = {"http://", "https://"};

	for (size_t i = 0; i < sizeof(schemes) / sizeof(schemes[0]); i++) {
		if (strncasecmp(uri, schemes[i], strlen(schemes[i])) == 0)
			return uri + strlen(schemes[i]);
	}
	return NULL;
}

static bool set_host(struct evhttp_request *req, const char *authority, size_t len)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	char *host = strndup(authority, len);
	bool set;

	while (evhttp_remove_header(headers, "Host") == 0)
		;
	set = host && evhttp_add_header(headers, "Host", host) == 0;
	free(host);
	return set;
}

static char *read_absolute(struct evhttp_request *req, const char *authority)
{
	size_t len = strcspn(authority, "/?#");
	const char *rest = authority + len;
	char *target;

	if (strcspn(authority, ":/?#") == 0 || memchr(authority, '@', len))
		return NULL;
	/* The library takes it for one to a proxy, and overlooks Connection. */
	req->flags &= ~EVHTTP_PROXY_REQUEST;
	if (!set_host(req, authority, len))
		return NULL;
	if (*rest == '/')
		return strdup(rest);
	if (*rest == '\0' && req->type == EVHTTP_REQ_OPTIONS)
		return strdup("*");
	target = malloc(strlen(rest) + 2);
	if (target) {
		target[0] = '/';
		strcpy(target + 1, rest);
	}
	return target;
}

char *target_read(struct evhttp_request *req)
{
	const char *uri = evhttp_request_get_uri(req);
	const char *authority = uri ? authority_of(uri) : NULL;

	if (!uri)
		return NULL;
	if (authority)
		return read_absolute(req, authority);
	if (uri[0] == '/' || (strcmp(uri, "*") == 0 && req->type == EVHTTP_REQ_OPTIONS))
		return strdup(uri);
	return NULL;
}
