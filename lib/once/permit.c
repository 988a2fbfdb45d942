/*
 * Text of a permit: base64url, without padding, of a fixed head (version, identifiers, times), four
 * names (each a byte of length and its bytes) and a keyed hash over both. Integers are big-endian.
 */
#include "once/once.h"

#include <sodium.h>
#include <string.h>

#define PERMIT_VERSION 1
/* version; issuer's incarnation and sequence number; witness's incarnation; two times */
#define HEAD_BYTES (1 + 16 + 8 + 16 + 8 + 8)
#define NAMES 4			 /* issuer, witness, service, caller */
#define TIME_MAX (INT64_MAX / 4) /* so that sums of times cannot overflow */
#define BINARY_MAX (HEAD_BYTES + NAMES * AP_NAME_MAX + AP_PERMIT_TAG_BYTES)

typedef struct cursor {
	unsigned char *at;
	unsigned char *end;
	bool ok;
} cursor_t;

static void put_u64(cursor_t *c, uint64_t value)
{
	for (int shift = 56; shift >= 0; shift -= 8)
		*c->at++ = (unsigned char)(value >> shift);
}

static void put_name(cursor_t *c, const char *name)
{
	size_t len = strlen(name);

	*c->at++ = (unsigned char)len;
	memcpy(c->at, name, len);
	c->at += len;
}

static uint64_t get_u64(cursor_t *c)
{
	uint64_t value = 0;

	if (!c->ok || c->end - c->at < 8) {
		c->ok = false;
		return 0;
	}
	for (int i = 0; i < 8; i++)
		value = value << 8 | *c->at++;
	return value;
}

static void get_name(cursor_t *c, char out[AP_NAME_MAX])
{
	size_t len;

	out[0] = '\0';
	if (!c->ok || c->at >= c->end) {
		c->ok = false;
		return;
	}
	len = *c->at++;
	if (len >= AP_NAME_MAX || len > (size_t)(c->end - c->at) || memchr(c->at, '\0', len)) {
		c->ok = false;
		return;
	}
	memcpy(out, c->at, len);
	out[len] = '\0';
	c->at += len;
}

/* Writes everything but the tag. Return: its length in bytes. */
static size_t put_body(const ap_permit_t *p, unsigned char out[BINARY_MAX])
{
	cursor_t c = {.at = out, .end = out + BINARY_MAX, .ok = true};

	*c.at++ = PERMIT_VERSION;
	put_u64(&c, p->xid.inc.hi);
	put_u64(&c, p->xid.inc.lo);
	put_u64(&c, p->xid.seq);
	put_u64(&c, p->witness_inc.hi);
	put_u64(&c, p->witness_inc.lo);
	put_u64(&c, (uint64_t)p->expires);
	put_u64(&c, (uint64_t)p->witness_expires);
	put_name(&c, p->issuer);
	put_name(&c, p->witness);
	put_name(&c, p->service);
	put_name(&c, p->caller);
	return (size_t)(c.at - out);
}

static void compute_tag(const unsigned char *body, size_t len,
			const unsigned char key[AP_ONCE_KEY_BYTES],
			unsigned char tag[AP_PERMIT_TAG_BYTES])
{
	crypto_generichash(tag, AP_PERMIT_TAG_BYTES, body, len, key, AP_ONCE_KEY_BYTES);
}

bool ap_permit_write(ap_permit_t *permit, const unsigned char key[AP_ONCE_KEY_BYTES],
		     char out[AP_PERMIT_TEXT_MAX])
{
	unsigned char binary[BINARY_MAX];
	size_t len = put_body(permit, binary);

	compute_tag(binary, len, key, permit->tag);
	memcpy(binary + len, permit->tag, AP_PERMIT_TAG_BYTES);
	return sodium_bin2base64(out, AP_PERMIT_TEXT_MAX, binary, len + AP_PERMIT_TAG_BYTES,
				 sodium_base64_VARIANT_URLSAFE_NO_PADDING) != NULL;
}

bool ap_permit_read(const char *text, ap_permit_t *permit)
{
	unsigned char binary[BINARY_MAX];
	cursor_t c = {.at = binary, .ok = true};
	size_t text_len = strnlen(text, AP_PERMIT_TEXT_MAX);
	size_t len;

	if (text_len >= AP_PERMIT_TEXT_MAX)
		return false;
	if (sodium_base642bin(binary, sizeof(binary), text, text_len, NULL, &len, NULL,
			      sodium_base64_VARIANT_URLSAFE_NO_PADDING))
		return false;
	if (len < HEAD_BYTES + NAMES + AP_PERMIT_TAG_BYTES || binary[0] != PERMIT_VERSION)
		return false;
	c.at = binary + 1;
	c.end = binary + len - AP_PERMIT_TAG_BYTES;
	*permit = (ap_permit_t){0};
	permit->xid.inc.hi = get_u64(&c);
	permit->xid.inc.lo = get_u64(&c);
	permit->xid.seq = get_u64(&c);
	permit->witness_inc.hi = get_u64(&c);
	permit->witness_inc.lo = get_u64(&c);
	permit->expires = (ap_usec_t)get_u64(&c);
	permit->witness_expires = (ap_usec_t)get_u64(&c);
	get_name(&c, permit->issuer);
	get_name(&c, permit->witness);
	get_name(&c, permit->service);
	get_name(&c, permit->caller);
	memcpy(permit->tag, c.end, AP_PERMIT_TAG_BYTES);
	if (permit->expires < 0 || permit->expires > TIME_MAX)
		return false;
	if (permit->witness_expires < 0 || permit->witness_expires > TIME_MAX)
		return false;
	return c.ok && c.at == c.end;
}

bool ap_permit_genuine(const ap_permit_t *permit, const unsigned char key[AP_ONCE_KEY_BYTES])
{
	unsigned char binary[BINARY_MAX];
	unsigned char tag[AP_PERMIT_TAG_BYTES];
	size_t len = put_body(permit, binary);

	compute_tag(binary, len, key, tag);
	return sodium_memcmp(tag, permit->tag, sizeof(tag)) == 0;
}
