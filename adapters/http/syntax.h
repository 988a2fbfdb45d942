/* Syntax of messages as their bytes arrive, before the library parses them. */
#ifndef AP_HTTP_SYNTAX_H
#define AP_HTTP_SYNTAX_H

#include "http/http.h"

#include <event2/buffer.h>

/* What of a message the next byte belongs to. */
typedef enum ap_http_place {
	AP_HTTP_AT_START_LINE,
	AP_HTTP_AT_NAME,  /* of a field, or the empty line behind the last */
	AP_HTTP_AT_BLANK, /* behind the name */
	AP_HTTP_AT_VALUE,
	AP_HTTP_AT_SIZE, /* of a chunk */
	AP_HTTP_AT_EXTENSION,
	AP_HTTP_AT_DATA,
	AP_HTTP_AT_DATA_END,
	AP_HTTP_AT_END, /* a body that isn't in chunks, or what follows the message */
} ap_http_place_t;

/* Memory of a field: the library copies it and allocates it in three parts. */
#define AP_HTTP_FIELD_BYTES 112

/**
 * struct ap_http_syntax - what has arrived of a message; all zero before its first byte, but for
 * @response and @no_body.
 * @malformed: nobody has to accept it; the bytes after that aren't read
 * @oversized: only because it states more bytes than a chunk may have
 * @response: of a response, as opposed to a request
 * @no_body: has no body whatever its head says, as the response to HEAD
 * @cr: the last byte was a carriage return
 * @coded: a field names a transfer coding
 * @trailers: the last chunk has arrived
 * @status: of a response; 0 until it is known
 * @head_bytes: bytes of the start line and fields so far
 * @fields: so far, with trailers
 * @n: bytes of the start line or the name, digits of the size
 * @matched: bytes of the name that are those of the field of codings
 * @left: bytes of the chunk to come
 * @body: bytes of all chunks so far, as their sizes state
 */
typedef struct ap_http_syntax {
	ap_http_place_t place;
	bool malformed;
	bool oversized;
	bool response;
	bool no_body;
	bool cr;
	bool coded;
	bool trailers;
	int status;
	size_t head_bytes;
	size_t fields;
	size_t n;
	size_t matched;
	uint64_t left;
	uint64_t body;
} ap_http_syntax_t;

/* ap_http_syntax_read() - reads the last @n bytes of @in, which are the next of the message. */
void ap_http_syntax_read(ap_http_syntax_t *s, struct evbuffer *in, size_t n);

/** has_http_1_1() - whether the sender of a received message knows chunks: all but HTTP/1.0 do. */
bool has_http_1_1(const struct evhttp_request *req);

#endif
