/* Packing and unpacking of whole messages. */
#include "wire/frame.h"

#include <string.h>

#define ZONE_CHUNK 4096 /* bytes by which the zone of an unpacked message grows */
#define PORT_MAX 65535
#define WEIGHT_UNIT 1000.0 /* messages carry weights in thousandths */

void ap_wire_out_begin(ap_wire_out_t *out, ap_wire_kind_t kind, ap_id_t from, uint64_t seq)
{
	ap_wire_head_t head = {.kind = kind, .from = from, .seq = seq};

	msgpack_sbuffer_init(&out->buf);
	msgpack_packer_init(&out->pk, &out->buf, msgpack_sbuffer_write);
	ap_wire_begin(&out->pk, &head);
}

void ap_wire_out_send(const ap_wire_out_t *out, const ap_peer_port_t *peer, const char *to)
{
	peer->send(peer->ctx, to, out->buf.data, out->buf.size);
}

void ap_wire_out_end(ap_wire_out_t *out)
{
	msgpack_sbuffer_destroy(&out->buf);
}

void *ap_wire_out_take(ap_wire_out_t *out, size_t *len)
{
	*len = out->buf.size;
	return msgpack_sbuffer_release(&out->buf);
}

bool ap_wire_in_open(ap_wire_in_t *in, ap_wire_kind_t kind, const void *data, size_t len,
		     ap_err_t *err)
{
	if (!msgpack_zone_init(&in->zone, ZONE_CHUNK)) {
		ap_err_set(err, "no memory to unpack a message");
		return false;
	}
	if (ap_wire_open(data, len, &in->zone, &in->head, &in->body, err) == AP_WIRE_OK) {
		if (in->head.kind == (uint32_t)kind)
			return true;
		ap_err_set(err, "message has kind %u, expected kind %d", in->head.kind, (int)kind);
	}
	msgpack_zone_destroy(&in->zone);
	return false;
}

void ap_wire_in_close(ap_wire_in_t *in)
{
	msgpack_zone_destroy(&in->zone);
}

void ap_wire_pack_entry(msgpack_packer *pk, const ap_entry_t *entry)
{
	msgpack_pack_array(pk, 11);
	ap_wire_pack_str(pk, entry->id);
	ap_wire_pack_id(pk, entry->inc);
	ap_wire_pack_str(pk, entry->host);
	msgpack_pack_uint16(pk, entry->caller_port);
	msgpack_pack_uint16(pk, entry->data_port);
	msgpack_pack_uint16(pk, entry->control_port);
	ap_wire_pack_str(pk, entry->region);
	ap_wire_pack_str(pk, entry->data_centre);
	ap_wire_pack_str(pk, entry->public_key);
	ap_wire_pack_bool(pk, entry->draining);
	msgpack_pack_uint32(pk, (uint32_t)(entry->weight * WEIGHT_UNIT + 0.5));
}

static uint16_t read_port(ap_wire_reader_t *r)
{
	uint64_t port = ap_wire_u64(r);

	if (port > PORT_MAX)
		r->ok = false;
	return (uint16_t)port;
}

bool ap_wire_read_entry(ap_wire_reader_t *r, ap_entry_t *entry)
{
	ap_wire_reader_t e = ap_wire_array(r);
	uint64_t weight;

	memset(entry, 0, sizeof(*entry));
	ap_wire_str(&e, entry->id, sizeof(entry->id));
	entry->inc = ap_wire_id(&e);
	ap_wire_str(&e, entry->host, sizeof(entry->host));
	entry->caller_port = read_port(&e);
	entry->data_port = read_port(&e);
	entry->control_port = read_port(&e);
	ap_wire_str(&e, entry->region, sizeof(entry->region));
	ap_wire_str(&e, entry->data_centre, sizeof(entry->data_centre));
	ap_wire_str(&e, entry->public_key, sizeof(entry->public_key));
	entry->draining = ap_wire_bool(&e);
	weight = ap_wire_u64(&e);
	entry->weight = (double)weight / WEIGHT_UNIT;
	if (!e.ok || entry->id[0] == '\0' || weight > UINT32_MAX)
		r->ok = false;
	return r->ok;
}
