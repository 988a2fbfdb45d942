/* Bodies of membership messages. */
#include "member/private.h"
#include "wire/frame.h"

#include <stdlib.h>

#define RECORDS_MAX 1024 /* most records, and most suspicions, in one message */
#define DIGESTS_MAX 4096 /* in one message */
/*
 * Elements of a record. Readers tell a death from a record of a live member by this number only, so
 * the latter must never have DEATH_FIELDS elements.
 */
#define DEATH_FIELDS 5
#define LIVE_FIELDS 4

/* A death leaves out address and key: receivers that never knew the member ignore its death. */
static void pack_death(msgpack_packer *pk, const ap_record_t *rec)
{
	msgpack_pack_array(pk, DEATH_FIELDS);
	ap_wire_pack_str(pk, rec->entry.id);
	ap_wire_pack_id(pk, rec->entry.inc);
	msgpack_pack_uint64(pk, rec->epoch);
	msgpack_pack_uint64(pk, rec->version);
	msgpack_pack_uint32(pk, (uint32_t)rec->state);
}

static void pack_record(msgpack_packer *pk, const ap_record_t *rec)
{
	if (rec->state == AP_MEMBER_DEAD) {
		pack_death(pk, rec);
		return;
	}
	msgpack_pack_array(pk, LIVE_FIELDS);
	ap_wire_pack_entry(pk, &rec->entry);
	msgpack_pack_uint64(pk, rec->epoch);
	msgpack_pack_uint64(pk, rec->version);
	msgpack_pack_uint32(pk, (uint32_t)rec->state);
}

static void pack_suspicion(msgpack_packer *pk, const ap_suspicion_t *suspicion)
{
	msgpack_pack_array(pk, 4);
	ap_wire_pack_str(pk, suspicion->id);
	ap_wire_pack_id(pk, suspicion->inc);
	msgpack_pack_uint64(pk, suspicion->version);
	ap_wire_pack_str(pk, suspicion->by);
}

void ap_wire_pack_member(msgpack_packer *pk, const ap_member_message_t *msg)
{
	msgpack_pack_array(pk, 6);
	msgpack_pack_uint32(pk, (uint32_t)msg->type);
	msgpack_pack_uint64(pk, msg->token);
	ap_wire_pack_str(pk, msg->target_id);
	msgpack_pack_array(pk, msg->n_records);
	for (size_t i = 0; i < msg->n_records; i++)
		pack_record(pk, &msg->records[i]);
	msgpack_pack_array(pk, msg->n_suspicions);
	for (size_t i = 0; i < msg->n_suspicions; i++)
		pack_suspicion(pk, &msg->suspicions[i]);
	msgpack_pack_array(pk, msg->n_digests * 3);
	for (size_t i = 0; i < msg->n_digests; i++) {
		msgpack_pack_uint64(pk, msg->digests[i].hash);
		msgpack_pack_uint64(pk, msg->digests[i].digest);
		msgpack_pack_uint64(pk, msg->digests[i].age_ms);
	}
}

static bool read_record(ap_wire_reader_t *r, ap_record_t *rec)
{
	ap_wire_reader_t e = ap_wire_array(r);
	bool death = e.left == DEATH_FIELDS;
	uint64_t state;

	if (death) {
		ap_wire_str(&e, rec->entry.id, sizeof(rec->entry.id));
		rec->entry.inc = ap_wire_id(&e);
	} else {
		ap_wire_read_entry(&e, &rec->entry);
	}
	rec->epoch = ap_wire_u64(&e);
	rec->version = ap_wire_u64(&e);
	state = ap_wire_u64(&e);
	rec->state = (ap_member_state_t)state;
	if (!e.ok || rec->entry.id[0] == '\0')
		return false;
	return death ? state == AP_MEMBER_DEAD
		     : state == AP_MEMBER_ALIVE || state == AP_MEMBER_DRAINING;
}

static bool read_suspicion(ap_wire_reader_t *r, ap_suspicion_t *suspicion)
{
	ap_wire_reader_t e = ap_wire_array(r);

	ap_wire_str(&e, suspicion->id, sizeof(suspicion->id));
	suspicion->inc = ap_wire_id(&e);
	suspicion->version = ap_wire_u64(&e);
	ap_wire_str(&e, suspicion->by, sizeof(suspicion->by));
	return e.ok;
}

static void *alloc_list(size_t n, size_t max, size_t size, bool *ok)
{
	void *list = n > 0 && n <= max ? calloc(n, size) : NULL;

	if (n > 0 && !list)
		*ok = false;
	return list;
}

static bool read_lists(ap_wire_reader_t *r, ap_member_message_t *msg)
{
	ap_wire_reader_t records = ap_wire_array(r);
	ap_wire_reader_t suspicions = ap_wire_array(r);
	ap_wire_reader_t digests = ap_wire_array(r);
	bool ok = r->ok && digests.left % 3 == 0;
	ap_record_t *rec = alloc_list(records.left, RECORDS_MAX, sizeof(*rec), &ok);
	ap_suspicion_t *suspicion =
		alloc_list(suspicions.left, RECORDS_MAX, sizeof(*suspicion), &ok);
	ap_digest_t *digest = alloc_list(digests.left / 3, DIGESTS_MAX, sizeof(*digest), &ok);

	msg->records = rec;
	msg->suspicions = suspicion;
	msg->digests = digest;
	while (ok && records.left > 0)
		ok = read_record(&records, &rec[msg->n_records++]);
	while (ok && suspicions.left > 0)
		ok = read_suspicion(&suspicions, &suspicion[msg->n_suspicions++]);
	while (ok && digests.left > 0) {
		digest->hash = ap_wire_u64(&digests);
		digest->digest = ap_wire_u64(&digests);
		digest->age_ms = ap_wire_u64(&digests);
		ok = digests.ok;
		digest++;
		msg->n_digests++;
	}
	return ok;
}

bool ap_wire_read_member(const msgpack_object *body, ap_member_message_t *msg)
{
	ap_wire_reader_t r = ap_wire_reader(body);

	*msg = (ap_member_message_t){.type = (ap_member_type_t)ap_wire_u64(&r)};
	msg->token = ap_wire_u64(&r);
	ap_wire_str(&r, msg->target_id, sizeof(msg->target_id));
	if (read_lists(&r, msg))
		return true;
	ap_wire_member_clear(msg);
	return false;
}

void ap_wire_member_clear(ap_member_message_t *msg)
{
	free((void *)msg->records);
	free((void *)msg->suspicions);
	free((void *)msg->digests);
	*msg = (ap_member_message_t){.n_records = 0};
}
