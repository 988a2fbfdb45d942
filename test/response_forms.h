/* Responses, well-formed and not, as data for tables of tests. */
#ifndef RESPONSE_FORMS_H
#define RESPONSE_FORMS_H

#include <stdbool.h>

#define OK "HTTP/1.1 200 OK\r\n"
#define ID "X-Request-Id: r1\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define END "\r\n"

typedef struct response {
	const char *name;
	const char *text;
	bool unframed; /* the response ends when the connection closes */
} response_t;

static const response_t responses[] = {
	{.name = "a length", .text = OK ID "Content-Length: 5\r\n" END "whole"},
	{.name = "length first", .text = OK "Content-Length: 5\r\n" ID END "whole"},
	{.name = "length 0", .text = OK ID "Content-Length: 0\r\n" END},
	{.name = "chunks", .text = OK ID CHUNKED END "3\r\nwho\r\n2\r\nle\r\n0\r\n" END},
	{.name = "a long size",
	 .text = OK ID CHUNKED END "00010\r\n0123456789abcdef\r\n000\r\n" END},
	{.name = "trailers", .text = OK ID CHUNKED END "5\r\nwhole\r\n0\r\nX-Sum: 1\r\n" END},
	{.name = "to be closed",
	 .text = OK ID "Connection: close\r\nContent-Length: 2\r\n" END "ok"},
	{.name = "HTTP/1.0", .text = "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n" END "ok"},
	{.name = "a folded header", .text = OK "X-Long: a\r\n b\r\nContent-Length: 2\r\n" END "ok"},
	{.name = "line feeds", .text = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"},
	{.name = "after an interim one",
	 .text = "HTTP/1.1 100 Continue\r\n" END OK ID "Content-Length: 5\r\n" END "whole"},
	{.name = "after hints",
	 .text = "HTTP/1.1 100 Continue\r\n" END "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" END
		 "HTTP/1.1 102 Processing\r\n" END OK ID "Content-Length: 5\r\n" END "whole"},
	{.name = "a refusal",
	 .text = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n" END},
	{.name = "no content", .text = "HTTP/1.1 204 None\r\n" ID END},
	{.name = "no framing", .text = OK ID END "whole", .unframed = true},
	{.name = "no framing, closed",
	 .text = OK "Connection: close\r\n" END "ok",
	 .unframed = true},
};

/* Heads and chunks that two readers may take for two things. */
typedef struct response_form {
	const char *name;
	const char *text;
	bool whole; /* the body is "whole", framed; malformed if not */
} response_form_t;

static const response_form_t response_forms[] = {
	{"blank before the colon of a length", OK "Content-Length : 5\r\n" END "whole", true},
	{"tab before the colon of a length", OK "Content-Length\t: 5\r\n" END "whole", true},
	{"blank before the colon of a coding",
	 OK "Transfer-Encoding : chunked\r\n" END "5\r\nwhole\r\n0\r\n\r\n", false},
	{"length folded into the field before",
	 OK "X-A: b\r\n Content-Length: 3\r\nContent-Length: 5\r\n" END "whole", true},
	{"blank before the first field", OK " X-A: b\r\nContent-Length: 5\r\n" END "whole", false},
	{"field without a name", OK ": b\r\nContent-Length: 5\r\n" END "whole", false},
	{"name with a blank", OK "X A: b\r\nContent-Length: 5\r\n" END "whole", false},
	{"name with a delimiter", OK "X(A): b\r\nContent-Length: 5\r\n" END "whole", false},
	{"line without a colon", OK "Content-Length 5\r\n" END "whole", false},
	{"bare CR in a value", OK "X-A: b\rContent-Length: 3\r\nContent-Length: 5\r\n" END "whole",
	 false},
	{"two equal lengths", OK "Content-Length: 5\r\nContent-Length: 5\r\n" END "whole", true},
	{"two lengths", OK "Content-Length: 5\r\nContent-Length: 3\r\n" END "whole", false},
	{"two lengths, by names of two cases",
	 OK "Content-Length: 5\r\ncontent-length : 3\r\n" END "whole", false},
	{"length with a sign", OK "Content-Length: +5\r\n" END "whole", false},
	{"negative length", OK "Content-Length: -5\r\n" END "whole", false},
	{"length of two numbers", OK "Content-Length: 5, 5\r\n" END "whole", false},
	{"no length", OK "Content-Length:\r\n" END "whole", false},
	{"length over 64 bits", OK "Content-Length: 18446744073709551621\r\n" END "whole", false},
	{"length beside a coding", OK "Content-Length: 3\r\n" CHUNKED END "5\r\nwhole\r\n0\r\n\r\n",
	 false},
	{"coding of HTTP/1.0", "HTTP/1.0 200 OK\r\n" CHUNKED END "5\r\nwhole\r\n0\r\n\r\n", false},
	{"two codings", OK CHUNKED CHUNKED END "5\r\nwhole\r\n0\r\n\r\n", false},
	{"chunk size with a sign", OK CHUNKED END "+5\r\nwhole\r\n0\r\n\r\n", false},
	{"negative chunk size", OK CHUNKED END "-1\r\nwhole\r\n0\r\n\r\n", false},
	{"chunk size with a prefix", OK CHUNKED END "0x5\r\nwhole\r\n0\r\n\r\n", false},
	{"blank before a chunk size", OK CHUNKED END " 5\r\nwhole\r\n0\r\n\r\n", false},
	{"chunk size and other text", OK CHUNKED END "5g\r\nwhole\r\n0\r\n\r\n", false},
	{"chunk size over 64 bits", OK CHUNKED END "10000000000000005\r\nwhole\r\n0\r\n\r\n",
	 false},
	{"no chunk size", OK CHUNKED END "\r\nwhole\r\n0\r\n\r\n", false},
	{"chunk that is longer than its size", OK CHUNKED END "4\r\nwhole\r\n0\r\n\r\n", false},
	{"empty line before a chunk size", OK CHUNKED END "5\r\nwhole\r\n\r\n0\r\n\r\n", false},
	{"trailer with a delimiter", OK CHUNKED END "5\r\nwhole\r\n0\r\nX(A): b\r\n\r\n", false},
	{"interim response with a coding",
	 "HTTP/1.1 100 Continue\r\n" CHUNKED END OK "Content-Length: 5\r\n" END "whole", false},
	{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 5\r\n" END "whole", false},
	{"status 099", "HTTP/1.1 099 Low\r\nContent-Length: 5\r\n" END "whole", false},
	{"status 600", "HTTP/1.1 600 High\r\nContent-Length: 5\r\n" END "whole", false},
	{"status 999", "HTTP/1.1 999 High\r\nContent-Length: 5\r\n" END "whole", false},
	{"status of two digits", "HTTP/1.1 20 Ok\r\nContent-Length: 5\r\n" END "whole", false},
	{"status of two digits alone", "HTTP/1.1 20\r\nContent-Length: 5\r\n" END "whole", false},
	{"status with a letter", "HTTP/1.1 2O0 Ok\r\nContent-Length: 5\r\n" END "whole", false},
	{"status with a letter behind it", "HTTP/1.1 200x Ok\r\nContent-Length: 5\r\n" END "whole",
	 false},
	{"negative status", "HTTP/1.1 -200 Ok\r\nContent-Length: 5\r\n" END "whole", false},
	{"status with a sign", "HTTP/1.1 +20 Ok\r\nContent-Length: 5\r\n" END "whole", false},
	{"status of four digits", "HTTP/1.1 0200 Ok\r\nContent-Length: 5\r\n" END "whole", false},
	{"status of four digits alone", "HTTP/1.1 2000\r\nContent-Length: 5\r\n" END "whole",
	 false},
	{"tab before a status", "HTTP/1.1\t200 Ok\r\nContent-Length: 5\r\n" END "whole", false},
	{"two blanks before a status", "HTTP/1.1  200 Ok\r\nContent-Length: 5\r\n" END "whole",
	 false},
	{"no status", "HTTP/1.1\r\nContent-Length: 5\r\n" END "whole", false},
	{"invalid status of a stream",
	 "HTTP/1.1 999 High\r\n" CHUNKED END "5\r\nwhole\r\n0\r\n\r\n", false},
	{"interim status 0100", "HTTP/1.1 0100 Go\r\n" END OK "Content-Length: 5\r\n" END "whole",
	 false},
	{"interim status of two digits",
	 "HTTP/1.1 10 Go\r\n" END OK "Content-Length: 5\r\n" END "whole", false},
	{"interim status 199x", "HTTP/1.1 199x Go\r\n" END OK "Content-Length: 5\r\n" END "whole",
	 false},
	{"invalid status behind an interim response",
	 "HTTP/1.1 100 Continue\r\n" END "HTTP/1.1 600 High\r\nContent-Length: 5\r\n" END "whole",
	 false},
	{"status without a reason", "HTTP/1.1 200\r\nContent-Length: 5\r\n" END "whole", true},
	{"status 599", "HTTP/1.1 599 Last\r\nContent-Length: 5\r\n" END "whole", true},
	{"behind an interim response",
	 "HTTP/1.1 100 Continue\r\nX-A : b\r\n" END OK "Content-Length : 5\r\n" END "whole", true},
};

#endif
