/*
 * Messages by which an instance tells another one its version of the configuration, with the whole
 * of it or to be told a newer one.
 */
#include "follow/follow.h"
#include "wire/frame.h"

void *ap_version_pack(const ap_told_version_t *told, size_t *len)
{
	ap_wire_out_t out;

	/* Receivers use neither the sender nor the sequence number. */
	ap_wire_out_begin(&out, AP_WIRE_CONFIGURATION, (ap_id_t){0}, 1);
	msgpack_pack_array(&out.pk, 3);
	msgpack_pack_uint64(&out.pk, told->version);
	msgpack_pack_uint64(&out.pk, told->revision);
	ap_wire_pack_bin(&out.pk, told->value, told->len);
	return ap_wire_out_take(&out, len);
}

bool ap_version_unpack(const void *data, size_t len, void *ctx,
		       void (*told)(void *ctx, const ap_told_version_t *told))
{
	ap_told_version_t one = {0};
	ap_wire_reader_t r;
	ap_wire_in_t in;

	if (!ap_wire_in_open(&in, AP_WIRE_CONFIGURATION, data, len, NULL))
		return false;
	r = ap_wire_reader(&in.body);
	one.version = ap_wire_u64(&r);
	one.revision = ap_wire_u64(&r);
	one.value = ap_wire_bin(&r, &one.len);
	if (r.ok)
		told(ctx, &one);
	ap_wire_in_close(&in);
	return r.ok;
}
