/* Framing of requests and responses where the library leaves it to its user. */
#include "http/http.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>

#define LINE_MAX 65536 /* bytes */

bool ap_http_line_too_long(const struct evhttp_request *req, const struct evbuffer *in)
{
	return req->chunked && req->ntoread < 0 && evbuffer_get_length(in) > LINE_MAX;
}
