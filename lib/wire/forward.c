/* Messages that forward a request to another instance and carry its response back. */
#include "wire/wire.h"

#include <string.h>

static void pack_headers(msgpack_packer *pk, const ap_forward_headers_t *h)
{
	msgpack_pack_array(pk, 2 * h->n);
	for (size_t i = 0; i < h->n; i++) {
		msgpack_pack_str_with_body(pk, h->v[i].name, h->v[i].name_len);
		msgpack_pack_str_with_body(pk, h->v[i].value, h->v[i].value_len);
	}
}

/* Reads the version, which is the last element; older builds leave it out. */
static uint32_t read_version(ap_wire_reader_t *r)
{
	return r->ok && r->left > 0 ? (uint32_t)ap_wire_u64(r) : 0;
}

/* Reads the headers; older versions leave them out. */
static void read_headers(ap_wire_reader_t *r, ap_forward_headers_t *out)
{
	ap_wire_reader_t list;

	if (!r->ok || r->left == 0)
		return;
	list = ap_wire_array(r);
	for (; list.ok && list.left > 0 && out->n < AP_FORWARD_HEADERS_MAX; out->n++) {
		ap_forward_header_t *header = &out->v[out->n];

		header->name = ap_wire_str_view(&list, &header->name_len);
		header->value = ap_wire_str_view(&list, &header->value_len);
	}
	r->ok = r->ok && list.ok;
}

static void pack_request(msgpack_packer *pk, const ap_forward_request_t *r)
{
	ap_wire_pack_xid(pk, r->request);
	msgpack_pack_uint32(pk, r->hops);
	ap_wire_pack_str(pk, r->caller);
	ap_wire_pack_str(pk, r->home);
	ap_wire_pack_str(pk, r->service);
	ap_wire_pack_str(pk, r->model);
	ap_wire_pack_str(pk, r->adapter);
	ap_wire_pack_bool(pk, r->stream);
	msgpack_pack_uint32(pk, r->method);
	ap_wire_pack_str(pk, r->target);
	ap_wire_pack_str(pk, r->content_type);
	ap_wire_pack_str(pk, r->permit);
	msgpack_pack_int64(pk, r->first_byte);
	msgpack_pack_uint64(pk, r->credit);
	ap_wire_pack_bin(pk, r->body, r->len);
	pack_headers(pk, &r->headers);
	msgpack_pack_uint32(pk, r->version);
}

static void read_request(ap_wire_reader_t *r, ap_forward_request_t *out)
{
	out->request = ap_wire_xid(r);
	out->hops = (uint32_t)ap_wire_u64(r);
	ap_wire_str(r, out->caller, sizeof(out->caller));
	ap_wire_str(r, out->home, sizeof(out->home));
	ap_wire_str(r, out->service, sizeof(out->service));
	ap_wire_str(r, out->model, sizeof(out->model));
	ap_wire_str(r, out->adapter, sizeof(out->adapter));
	out->stream = ap_wire_bool(r);
	out->method = (uint32_t)ap_wire_u64(r);
	ap_wire_str(r, out->target, sizeof(out->target));
	ap_wire_str(r, out->content_type, sizeof(out->content_type));
	ap_wire_str(r, out->permit, sizeof(out->permit));
	out->first_byte = ap_wire_i64(r);
	out->credit = ap_wire_u64(r);
	out->body = ap_wire_bin(r, &out->len);
	read_headers(r, &out->headers);
	out->version = read_version(r);
}

static void pack_end(msgpack_packer *pk, const ap_forward_end_t *e)
{
	msgpack_pack_uint32(pk, (uint32_t)e->outcome);
	msgpack_pack_uint32(pk, e->status);
	msgpack_pack_uint64(pk, e->total);
	msgpack_pack_double(pk, e->cost);
	ap_wire_pack_str(pk, e->region);
	ap_wire_pack_str(pk, e->code);
	ap_wire_pack_str(pk, e->text);
	msgpack_pack_int64(pk, e->retry_after);
}

static void read_end(ap_wire_reader_t *r, ap_forward_end_t *out)
{
	uint64_t outcome = ap_wire_u64(r);

	/* An outcome that this version does not know reads as unknown: it does not tell whether the
	 * request was executed. */
	out->outcome = outcome <= AP_OUTCOME_UNKNOWN ? (ap_outcome_t)outcome : AP_OUTCOME_UNKNOWN;
	out->status = (uint32_t)ap_wire_u64(r);
	out->total = ap_wire_u64(r);
	out->cost = ap_wire_f64(r);
	ap_wire_str(r, out->region, sizeof(out->region));
	ap_wire_str(r, out->code, sizeof(out->code));
	ap_wire_str(r, out->text, sizeof(out->text));
	out->retry_after = ap_wire_i64(r);
}

/* Number of elements of a body; the id of the exchange takes two. */
static size_t elements_of(uint32_t kind)
{
	switch (kind) {
	case AP_WIRE_FORWARD:
		return 20;
	case AP_WIRE_FORWARD_HEAD:
		return 6;
	case AP_WIRE_FORWARD_DATA:
		return 4;
	case AP_WIRE_FORWARD_END:
		return 10;
	case AP_WIRE_FORWARD_CREDIT:
		return 3;
	default:
		return 2;
	}
}

void ap_forward_pack(msgpack_sbuffer *buf, ap_id_t from, uint64_t seq, const ap_forward_msg_t *msg)
{
	ap_wire_head_t head = {.kind = msg->kind, .from = from, .seq = seq};
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	msgpack_pack_array(&pk, elements_of(msg->kind));
	ap_wire_pack_xid(&pk, msg->exchange);
	switch (msg->kind) {
	case AP_WIRE_FORWARD:
		pack_request(&pk, &msg->u.request);
		break;
	case AP_WIRE_FORWARD_HEAD:
		msgpack_pack_uint32(&pk, msg->u.head.status);
		ap_wire_pack_str(&pk, msg->u.head.content_type);
		pack_headers(&pk, &msg->u.head.headers);
		msgpack_pack_uint32(&pk, msg->u.head.version);
		break;
	case AP_WIRE_FORWARD_DATA:
		msgpack_pack_uint64(&pk, msg->u.data.offset);
		ap_wire_pack_bin(&pk, msg->u.data.data, msg->u.data.len);
		break;
	case AP_WIRE_FORWARD_END:
		pack_end(&pk, &msg->u.end);
		break;
	case AP_WIRE_FORWARD_CREDIT:
		msgpack_pack_uint64(&pk, msg->u.credit);
		break;
	default:
		break;
	}
}

ap_wire_status_t ap_forward_read(uint32_t kind, const msgpack_object *body, ap_forward_msg_t *msg)
{
	ap_wire_reader_t r = ap_wire_reader(body);

	memset(msg, 0, sizeof(*msg));
	msg->kind = kind;
	msg->exchange = ap_wire_xid(&r);
	switch (kind) {
	case AP_WIRE_FORWARD:
		read_request(&r, &msg->u.request);
		break;
	case AP_WIRE_FORWARD_HEAD:
		msg->u.head.status = (uint32_t)ap_wire_u64(&r);
		ap_wire_str(&r, msg->u.head.content_type, sizeof(msg->u.head.content_type));
		read_headers(&r, &msg->u.head.headers);
		msg->u.head.version = read_version(&r);
		break;
	case AP_WIRE_FORWARD_DATA:
		msg->u.data.offset = ap_wire_u64(&r);
		msg->u.data.data = ap_wire_bin(&r, &msg->u.data.len);
		break;
	case AP_WIRE_FORWARD_END:
		read_end(&r, &msg->u.end);
		break;
	case AP_WIRE_FORWARD_CREDIT:
		msg->u.credit = ap_wire_u64(&r);
		break;
	case AP_WIRE_FORWARD_CANCEL:
		break;
	default:
		return AP_WIRE_MALFORMED;
	}
	return r.ok ? AP_WIRE_OK : AP_WIRE_MALFORMED;
}
