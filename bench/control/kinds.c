/* Attributes the bytes of an encoded message to the kinds of its parts. */
#include "kinds.h"
#include "member/private.h"
#include "report/private.h"
#include "spread/private.h"
#include "wire/frame.h"

#define REPORT_PARTS 8

static const char *const names[KINDS] = {
	[KIND_PROBE] = "pings",
	[KIND_MEMBER_DIGEST] = "member digests",
	[KIND_MEMBER_RECORD] = "member records",
	[KIND_CONF_DIGEST] = "generations",
	[KIND_CONF] = "configuration",
	[KIND_LOAD] = "loads",
	[KIND_CAPACITY] = "capacity offers",
	[KIND_CACHE] = "cache events",
	[KIND_MODELS] = "models",
	[KIND_REPORT_REST] = "report envelopes",
};

/* Kinds of a report's parts, in the order in which the codec packs them. */
static const kind_t report_parts[REPORT_PARTS] = {
	KIND_REPORT_REST, KIND_LOAD,   KIND_CAPACITY,	 KIND_CACHE,
	KIND_REPORT_REST, KIND_MODELS, KIND_REPORT_REST, KIND_MODELS,
};

const char *kind_name(kind_t kind)
{
	return names[kind];
}

static kind_t member_kind(uint64_t type)
{
	if (type <= AP_MEMBER_PING_REQUEST)
		return KIND_PROBE;
	return type == AP_MEMBER_RECORDS ? KIND_MEMBER_RECORD : KIND_MEMBER_DIGEST;
}

static double packed_bytes(const msgpack_object *object)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	double bytes;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_object(&pk, *object);
	bytes = (double)buf.size;
	msgpack_sbuffer_destroy(&buf);
	return bytes;
}

/* Counts each part under its kind. The byte of an empty part counts as envelope. */
static void add_report(double bytes[KINDS], const msgpack_object *body, size_t len)
{
	double rest = (double)len;

	for (size_t i = 0; i < REPORT_PARTS && i < body->via.array.size; i++) {
		const msgpack_object *part = &body->via.array.ptr[i];
		double size;

		if (part->type != MSGPACK_OBJECT_ARRAY || part->via.array.size == 0)
			continue;
		size = packed_bytes(part);
		bytes[report_parts[i]] += size;
		rest -= size;
	}
	bytes[KIND_REPORT_REST] += rest;
}

static void add_by_type(double bytes[KINDS], uint32_t kind, const msgpack_object *body, size_t len)
{
	ap_wire_reader_t r = ap_wire_reader(body);
	uint64_t type = ap_wire_u64(&r);

	if (kind == AP_WIRE_MEMBER)
		bytes[member_kind(type)] += (double)len;
	else if (kind == AP_WIRE_SPREAD)
		bytes[type <= AP_SPREAD_QUERY ? KIND_CONF_DIGEST : KIND_CONF] += (double)len;
	else
		add_report(bytes, body, len);
}

void kinds_add(double bytes[KINDS], const void *data, size_t len)
{
	uint32_t kind = ap_wire_peek(data, len);
	ap_wire_in_t in;

	if (!ap_wire_in_open(&in, (ap_wire_kind_t)kind, data, len, NULL))
		return;
	add_by_type(bytes, kind, &in.body, len);
	ap_wire_in_close(&in);
}
