/* Envelope of messages, and functions that pack and read single elements. */
#include "wire/wire.h"
#include "wire/bounds.h"

#include <string.h>

void ap_wire_begin(msgpack_packer *pk, const ap_wire_head_t *head)
{
	msgpack_pack_array(pk, 5);
	msgpack_pack_uint32(pk, AP_WIRE_VERSION);
	msgpack_pack_uint32(pk, head->kind);
	ap_wire_pack_id(pk, head->from);
	msgpack_pack_uint64(pk, head->seq);
}

bool ap_wire_unpack(const void *data, size_t len, msgpack_zone *zone, msgpack_object *root)
{
	size_t off = 0;

	return ap_wire_bounds_ok(data, len) &&
	       msgpack_unpack(data, len, &off, zone, root) == MSGPACK_UNPACK_SUCCESS;
}

ap_wire_status_t ap_wire_open(const void *data, size_t len, msgpack_zone *zone,
			      ap_wire_head_t *head, msgpack_object *body, ap_err_t *err)
{
	msgpack_object root;
	ap_wire_reader_t r;
	uint64_t version;

	if (len > AP_WIRE_MAX) {
		ap_err_set(err, "message of %zu bytes is longer than %u", len, AP_WIRE_MAX);
		return AP_WIRE_TOO_LONG;
	}
	if (!ap_wire_unpack(data, len, zone, &root)) {
		ap_err_set(err,
			   "message of %zu bytes is not exactly one object of the expected types",
			   len);
		return AP_WIRE_MALFORMED;
	}
	r = ap_wire_reader(&root);
	version = ap_wire_u64(&r);
	if (r.ok && (version < AP_WIRE_VERSION_OLDEST || version > AP_WIRE_VERSION)) {
		ap_err_set(err, "message has version %llu, expected versions %d to %d",
			   (unsigned long long)version, AP_WIRE_VERSION_OLDEST, AP_WIRE_VERSION);
		return AP_WIRE_VERSION_UNKNOWN;
	}
	head->kind = (uint32_t)ap_wire_u64(&r);
	head->from = ap_wire_id(&r);
	head->seq = ap_wire_u64(&r);
	if (!r.ok || r.left < 1) {
		ap_err_set(err,
			   "message has an incomplete envelope, expected version, kind, sender, "
			   "number and body");
		return AP_WIRE_MALFORMED;
	}
	*body = *r.next;
	return AP_WIRE_OK;
}

uint32_t ap_wire_peek_version(const void *data, size_t len)
{
	const unsigned char *bytes = data;

	/* 0x95 to 0x9f start an array of 5 to 15; version and kind are one byte each below 0x80 */
	if (len < 3 || bytes[0] < 0x95 || bytes[0] > 0x9f || bytes[1] >= 0x80 || bytes[2] >= 0x80)
		return 0;
	return bytes[1];
}

uint32_t ap_wire_peek(const void *data, size_t len)
{
	uint32_t version = ap_wire_peek_version(data, len);

	if (version < AP_WIRE_VERSION_OLDEST || version > AP_WIRE_VERSION)
		return 0;
	return ((const unsigned char *)data)[2];
}

void ap_wire_pack_str(msgpack_packer *pk, const char *text)
{
	msgpack_pack_str_with_body(pk, text, strlen(text));
}

void ap_wire_pack_bin(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin_with_body(pk, data, len);
}

void ap_wire_pack_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

void ap_wire_pack_id(msgpack_packer *pk, ap_id_t id)
{
	uint64_t pair[2] = {id.hi, id.lo};

	ap_wire_pack_bin(pk, pair, ap_id_eq(id, (ap_id_t){0}) ? 0 : sizeof(pair));
}

void ap_wire_pack_xid(msgpack_packer *pk, ap_xid_t xid)
{
	ap_wire_pack_id(pk, xid.inc);
	msgpack_pack_uint64(pk, xid.seq);
}

ap_wire_reader_t ap_wire_reader(const msgpack_object *array)
{
	ap_wire_reader_t r = {.ok = array && array->type == MSGPACK_OBJECT_ARRAY};

	if (r.ok) {
		r.next = array->via.array.ptr;
		r.left = array->via.array.size;
	}
	return r;
}

static const msgpack_object *next_element(ap_wire_reader_t *r)
{
	if (!r->ok || r->left == 0) {
		r->ok = false;
		return NULL;
	}
	r->left--;
	return r->next++;
}

uint64_t ap_wire_u64(ap_wire_reader_t *r)
{
	const msgpack_object *o = next_element(r);

	if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return o->via.u64;
	r->ok = false;
	return 0;
}

ap_usec_t ap_wire_msec(ap_wire_reader_t *r)
{
	uint64_t ms = ap_wire_u64(r);

	return ms < INT32_MAX ? (ap_usec_t)ms * AP_MSEC : AP_DURATION_MAX;
}

int64_t ap_wire_i64(ap_wire_reader_t *r)
{
	const msgpack_object *o = next_element(r);

	if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return o->via.i64;
	if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
		return (int64_t)o->via.u64;
	r->ok = false;
	return 0;
}

double ap_wire_f64(ap_wire_reader_t *r)
{
	const msgpack_object *o = next_element(r);

	if (o && (o->type == MSGPACK_OBJECT_FLOAT64 || o->type == MSGPACK_OBJECT_FLOAT32))
		return o->via.f64;
	if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return (double)o->via.u64;
	r->ok = false;
	return 0;
}

bool ap_wire_bool(ap_wire_reader_t *r)
{
	const msgpack_object *o = next_element(r);

	if (o && o->type == MSGPACK_OBJECT_BOOLEAN)
		return o->via.boolean;
	r->ok = false;
	return false;
}

void ap_wire_str(ap_wire_reader_t *r, char *out, size_t size)
{
	const msgpack_object *o = next_element(r);

	out[0] = '\0';
	if (!o || o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size) {
		r->ok = false;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

const char *ap_wire_str_view(ap_wire_reader_t *r, size_t *len)
{
	const msgpack_object *o = next_element(r);

	*len = 0;
	if (!o || o->type != MSGPACK_OBJECT_STR) {
		r->ok = false;
		return NULL;
	}
	*len = o->via.str.size;
	return o->via.str.ptr;
}

const void *ap_wire_bin(ap_wire_reader_t *r, size_t *len)
{
	const msgpack_object *o = next_element(r);

	*len = 0;
	if (!o || o->type != MSGPACK_OBJECT_BIN) {
		r->ok = false;
		return NULL;
	}
	*len = o->via.bin.size;
	return o->via.bin.ptr;
}

ap_id_t ap_wire_id(ap_wire_reader_t *r)
{
	uint64_t pair[2] = {0, 0};
	size_t len;
	const void *data = ap_wire_bin(r, &len);

	if (data && len == sizeof(pair))
		memcpy(pair, data, sizeof(pair));
	else if (len != 0)
		r->ok = false;
	return (ap_id_t){.hi = pair[0], .lo = pair[1]};
}

ap_xid_t ap_wire_xid(ap_wire_reader_t *r)
{
	ap_xid_t xid = {.inc = ap_wire_id(r)};

	xid.seq = ap_wire_u64(r);
	return xid;
}

ap_wire_reader_t ap_wire_array(ap_wire_reader_t *r)
{
	const msgpack_object *o = next_element(r);
	ap_wire_reader_t inner = ap_wire_reader(o);

	if (!inner.ok)
		r->ok = false;
	return inner;
}
