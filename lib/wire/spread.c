/* Bodies of configuration messages. */
#include "spread/private.h"
#include "wire/frame.h"

void ap_wire_pack_spread(msgpack_packer *pk, const ap_spread_message_t *msg)
{
	msgpack_pack_array(pk, 5);
	msgpack_pack_uint32(pk, (uint32_t)msg->type);
	msgpack_pack_uint64(pk, msg->generation);
	ap_wire_pack_id(pk, msg->nonce);
	msgpack_pack_array(pk, msg->n_ids);
	for (size_t i = 0; i < msg->n_ids; i++)
		ap_wire_pack_id(pk, msg->ids[i]);
	ap_wire_pack_bin(pk, msg->data ? msg->data : "", msg->len);
}

bool ap_wire_read_spread(const msgpack_object *body, ap_spread_message_t *msg)
{
	ap_wire_reader_t r = ap_wire_reader(body);
	ap_wire_reader_t ids;
	uint64_t type = ap_wire_u64(&r);

	*msg = (ap_spread_message_t){.type = (ap_spread_type_t)type};
	msg->generation = ap_wire_u64(&r);
	msg->nonce = ap_wire_id(&r);
	ids = ap_wire_array(&r);
	if (ids.left > SEGMENT_REQUEST_MAX)
		return false;
	while (ids.ok && ids.left > 0)
		msg->ids[msg->n_ids++] = ap_wire_id(&ids);
	msg->data = ap_wire_bin(&r, &msg->len);
	return r.ok && ids.ok && type >= AP_SPREAD_DIGEST && type <= AP_SPREAD_SEGMENT;
}
