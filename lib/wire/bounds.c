/*
 * Bounds check of a message before it is unpacked. The msgpack library allocates memory for as many
 * elements as a message declares, so a few damaged bytes could demand gigabytes.
 */
#include "wire/bounds.h"

#define DEPTH_MAX 16 /* arrays within arrays */

typedef struct span {
	const unsigned char *at;
	const unsigned char *end;
} span_t;

static bool read_length(span_t *s, size_t bytes, uint64_t *value)
{
	*value = 0;
	if ((size_t)(s->end - s->at) < bytes)
		return false;
	for (size_t i = 0; i < bytes; i++)
		*value = *value << 8 | *s->at++;
	return true;
}

static bool skip_bytes(span_t *s, uint64_t n)
{
	if ((uint64_t)(s->end - s->at) < n)
		return false;
	s->at += n;
	return true;
}

/* For tags 0xc0 to 0xdf: bytes of the length field (0xff: tag refused) and of the fixed payload. */
static const struct {
	unsigned char length;
	unsigned char fixed;
	bool array;
} tags[32] = {
	[0x00] = {0, 0, false},	   [0x01] = {0xff, 0, false}, [0x02] = {0, 0, false},
	[0x03] = {0, 0, false},	   [0x04] = {1, 0, false},    [0x05] = {2, 0, false},
	[0x06] = {4, 0, false},	   [0x07] = {0xff, 0, false}, [0x08] = {0xff, 0, false},
	[0x09] = {0xff, 0, false}, [0x0a] = {0, 4, false},    [0x0b] = {0, 8, false},
	[0x0c] = {0, 1, false},	   [0x0d] = {0, 2, false},    [0x0e] = {0, 4, false},
	[0x0f] = {0, 8, false},	   [0x10] = {0, 1, false},    [0x11] = {0, 2, false},
	[0x12] = {0, 4, false},	   [0x13] = {0, 8, false},    [0x14] = {0xff, 0, false},
	[0x15] = {0xff, 0, false}, [0x16] = {0xff, 0, false}, [0x17] = {0xff, 0, false},
	[0x18] = {0xff, 0, false}, [0x19] = {1, 0, false},    [0x1a] = {2, 0, false},
	[0x1b] = {4, 0, false},	   [0x1c] = {2, 0, true},     [0x1d] = {4, 0, true},
	[0x1e] = {0xff, 0, false}, [0x1f] = {0xff, 0, false},
};

/* Skips one object; of an array only the head, and sets @elements to the number that follow. */
static bool skip_head(span_t *s, uint64_t *elements)
{
	unsigned char tag;
	uint64_t length = 0;

	*elements = 0;
	if (s->at >= s->end)
		return false;
	tag = *s->at++;
	if (tag < 0x80 || tag >= 0xe0) /* integer in the tag */
		return true;
	if (tag < 0x90) /* map: refused */
		return false;
	if (tag < 0xa0) { /* array of up to 15 elements */
		*elements = tag & 0x0f;
		return true;
	}
	if (tag < 0xc0) /* string of up to 31 bytes */
		return skip_bytes(s, tag & 0x1f);
	if (tags[tag - 0xc0].length == 0xff)
		return false;
	if (!read_length(s, tags[tag - 0xc0].length, &length))
		return false;
	if (!tags[tag - 0xc0].array)
		return skip_bytes(s, length + tags[tag - 0xc0].fixed);
	*elements = length;
	return length <= (uint64_t)(s->end - s->at);
}

bool ap_wire_bounds_ok(const void *data, size_t len)
{
	span_t s = {.at = data, .end = (const unsigned char *)data + len};
	uint64_t left[DEPTH_MAX] = {1};
	int depth = 0;

	while (depth >= 0) {
		uint64_t elements;

		if (left[depth] == 0) {
			depth--;
			continue;
		}
		left[depth]--;
		if (!skip_head(&s, &elements))
			return false;
		if (elements == 0)
			continue;
		if (++depth >= DEPTH_MAX)
			return false;
		left[depth] = elements;
	}
	return s.at == s.end;
}
