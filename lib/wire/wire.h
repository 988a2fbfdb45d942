/*
 * The peer codec: every message between entries, as msgpack. One envelope, then a body per kind.
 * Readers accept unknown trailing fields of a body, so that versions can meet.
 */
#ifndef AP_WIRE_H
#define AP_WIRE_H

#include "base/base.h"

#include <msgpack.h>

#define AP_WIRE_VERSION 1
#define AP_WIRE_MAX (4u << 20) /* bytes of one message */

typedef enum ap_wire_status {
	AP_WIRE_OK,
	AP_WIRE_MALFORMED,
	AP_WIRE_VERSION_UNKNOWN,
	AP_WIRE_TOO_LONG,
} ap_wire_status_t;

/* Kinds of messages; each package packs and reads its own bodies. */
typedef enum ap_wire_kind {
	AP_WIRE_HELLO = 1,
	/* 16 to 31: requests between regions (data task) */
	AP_WIRE_FORWARD = 16,
	AP_WIRE_FORWARD_HEAD,
	AP_WIRE_FORWARD_DATA,
	AP_WIRE_FORWARD_END,
	AP_WIRE_FORWARD_CREDIT,
	AP_WIRE_FORWARD_CANCEL,
	/* 32 to 47: permits (data task) */
	AP_WIRE_ONCE = 32,
	/* 48 to 63: membership (control task) */
	AP_WIRE_MEMBER = 48,
	/* 64 to 79: configuration (control task) */
	AP_WIRE_SPREAD = 64,
	/* 80 to 95: load, cache and room reports, leaving upstreams (control task) */
	AP_WIRE_REPORT = 80,
} ap_wire_kind_t;

/**
 * struct ap_wire_head - envelope of each message.
 * @from: incarnation of the sender
 * @seq: the sender's number for it
 */
typedef struct ap_wire_head {
	uint32_t kind;
	ap_id_t from;
	uint64_t seq;
} ap_wire_head_t;

/** ap_wire_begin() - packs the envelope; the body follows as exactly one msgpack object. */
void ap_wire_begin(msgpack_packer *pk, const ap_wire_head_t *head);

/**
 * ap_wire_open() - reads the envelope.
 * @zone: holds the body; the caller inits it before and destroys it after
 * @body: the body's object, pointing into @zone and @data
 */
ap_wire_status_t ap_wire_open(const void *data, size_t len, msgpack_zone *zone,
			      ap_wire_head_t *head, msgpack_object *body, ap_err_t *err);

/** ap_wire_peek() - kind of a message without reading it; 0 when it has no known envelope. */
uint32_t ap_wire_peek(const void *data, size_t len);

void ap_wire_pack_str(msgpack_packer *pk, const char *text);
void ap_wire_pack_bin(msgpack_packer *pk, const void *data, size_t len);
void ap_wire_pack_id(msgpack_packer *pk, ap_id_t id);
void ap_wire_pack_xid(msgpack_packer *pk, ap_xid_t xid);

/**
 * struct ap_wire_reader - takes the elements of a msgpack array in order. After the first wrong
 * type or missing element @ok stays false and every read gives zero.
 */
typedef struct ap_wire_reader {
	const msgpack_object *next;
	size_t left;
	bool ok;
} ap_wire_reader_t;

ap_wire_reader_t ap_wire_reader(const msgpack_object *array);
uint64_t ap_wire_u64(ap_wire_reader_t *r);
int64_t ap_wire_i64(ap_wire_reader_t *r);
double ap_wire_f64(ap_wire_reader_t *r);
bool ap_wire_bool(ap_wire_reader_t *r);
/** ap_wire_str() - copies a string; one that does not fit makes @r fail. */
void ap_wire_str(ap_wire_reader_t *r, char *out, size_t size);
/** ap_wire_bin() - points into the message. */
const void *ap_wire_bin(ap_wire_reader_t *r, size_t *len);
ap_id_t ap_wire_id(ap_wire_reader_t *r);
ap_xid_t ap_wire_xid(ap_wire_reader_t *r);
/** ap_wire_array() - a reader over a nested array. */
ap_wire_reader_t ap_wire_array(ap_wire_reader_t *r);

#endif
