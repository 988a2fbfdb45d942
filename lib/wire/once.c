/* Bodies of permit messages. */
#include "wire/wire.h"

#include <string.h>

#define TIME_MAX (INT64_MAX / 4) /* microseconds; sums of a few such times cannot overflow */

/* An xid takes two elements of the array, here and in ap_wire_pack_once(). */
static void pack_item(msgpack_packer *pk, const ap_once_item_t *item)
{
	msgpack_pack_array(pk, 6);
	ap_wire_pack_xid(pk, item->xid);
	msgpack_pack_uint32(pk, item->outcome);
	msgpack_pack_int64(pk, item->left);
	ap_wire_pack_bin(pk, item->tag, sizeof(item->tag));
	ap_wire_pack_bin(pk, item->response, item->len);
}

void ap_wire_pack_once(msgpack_packer *pk, const ap_once_msg_t *msg)
{
	bool probe = msg->kind == AP_ONCE_MSG_PROBE;
	bool begin = msg->kind == AP_ONCE_MSG_BEGIN;

	msgpack_pack_array(pk, 14);
	msgpack_pack_uint32(pk, msg->kind);
	ap_wire_pack_id(pk, msg->about);
	ap_wire_pack_xid(pk, msg->xid);
	msgpack_pack_uint64(pk, msg->number);
	msgpack_pack_int64(pk, msg->clock);
	msgpack_pack_uint32(pk, msg->verdict);
	msgpack_pack_uint32(pk, msg->outcome);
	ap_wire_pack_bool(pk, msg->last);
	ap_wire_pack_bin(pk, msg->key, probe ? sizeof(msg->key) : 0);
	ap_wire_pack_bin(pk, msg->tag, begin ? sizeof(msg->tag) : 0);
	ap_wire_pack_str(pk, msg->text ? msg->text : "");
	ap_wire_pack_bin(pk, msg->response, msg->len);
	msgpack_pack_array(pk, msg->n_items);
	for (size_t i = 0; i < msg->n_items; i++)
		pack_item(pk, &msg->items[i]);
}

static ap_usec_t read_time(ap_wire_reader_t *r)
{
	int64_t value = ap_wire_i64(r);

	if (value < -TIME_MAX || value > TIME_MAX)
		r->ok = false;
	return value;
}

static unsigned read_enum(ap_wire_reader_t *r, unsigned max)
{
	uint64_t value = ap_wire_u64(r);

	if (value > max)
		r->ok = false;
	return r->ok ? (unsigned)value : 0;
}

/* Copies a field of exactly @size bytes; it may be empty unless @needed. */
static void read_fixed(ap_wire_reader_t *r, unsigned char *out, size_t size, bool needed)
{
	size_t len;
	const void *data = ap_wire_bin(r, &len);

	if (data && len == size)
		memcpy(out, data, size);
	else if (len != 0 || needed)
		r->ok = false;
}

static void read_item(ap_wire_reader_t *array, ap_once_item_t *item)
{
	ap_wire_reader_t r = ap_wire_array(array);

	item->xid = ap_wire_xid(&r);
	item->outcome = (ap_outcome_t)read_enum(&r, AP_OUTCOME_UNKNOWN);
	item->left = read_time(&r);
	read_fixed(&r, item->tag, sizeof(item->tag), true);
	item->response = ap_wire_bin(&r, &item->len);
	if (!r.ok)
		array->ok = false;
}

static void read_items(ap_wire_reader_t *r, ap_wire_once_t *out)
{
	ap_wire_reader_t items = ap_wire_array(r);

	if (!items.ok || items.left > AP_ONCE_ITEMS_MAX) {
		r->ok = false;
		return;
	}
	out->msg.items = out->items;
	out->msg.n_items = items.left;
	for (size_t i = 0; i < out->msg.n_items; i++)
		read_item(&items, &out->items[i]);
	if (!items.ok)
		r->ok = false;
}

ap_wire_status_t ap_wire_read_once(const ap_wire_head_t *head, const msgpack_object *body,
				   ap_wire_once_t *out, ap_err_t *err)
{
	ap_wire_reader_t r = ap_wire_reader(body);
	ap_once_msg_t *msg = &out->msg;

	memset(out, 0, sizeof(*out));
	msg->from = head->from;
	msg->kind = (ap_once_msg_kind_t)read_enum(&r, AP_ONCE_MSG_LAST);
	msg->about = ap_wire_id(&r);
	msg->xid = ap_wire_xid(&r);
	msg->number = ap_wire_u64(&r);
	msg->clock = read_time(&r);
	msg->verdict = (ap_once_verdict_kind_t)read_enum(&r, AP_ONCE_REFUSED);
	msg->outcome = (ap_outcome_t)read_enum(&r, AP_OUTCOME_UNKNOWN);
	msg->last = ap_wire_bool(&r);
	read_fixed(&r, msg->key, sizeof(msg->key), msg->kind == AP_ONCE_MSG_PROBE);
	read_fixed(&r, msg->tag, sizeof(msg->tag), msg->kind == AP_ONCE_MSG_BEGIN);
	ap_wire_str(&r, out->text, sizeof(out->text));
	msg->text = out->text;
	msg->response = ap_wire_bin(&r, &msg->len);
	read_items(&r, out);
	if (r.ok && msg->kind != 0)
		return AP_WIRE_OK;
	ap_err_set(err,
		   "permit message has a field that is missing, of a wrong type or out of range");
	return AP_WIRE_MALFORMED;
}
