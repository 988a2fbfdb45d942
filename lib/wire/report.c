/* Bodies of report messages. Loads and cache events are flat arrays of integers. */
#include "report/private.h"
#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define LOAD_FIELDS 5  /* array elements for one load */
#define OFFER_FIELDS 4 /* array elements for one offer, beside its region */

/* Counts the offers from @from on that belong to the same region. */
static size_t offers_of_region(const ap_report_message_t *msg, size_t from)
{
	size_t n = 1;

	while (from + n < msg->n_offers &&
	       strcmp(msg->offers[from].region, msg->offers[from + n].region) == 0)
		n++;
	return n;
}

/* Packs @n offers of one region as a flat array: its name, then the fields of each offer. */
static void pack_region(msgpack_packer *pk, const ap_offer_item_t *offers, size_t n)
{
	msgpack_pack_array(pk, 1 + n * OFFER_FIELDS);
	ap_wire_pack_str(pk, offers[0].region);
	for (size_t i = 0; i < n; i++) {
		ap_wire_pack_str(pk, offers[i].model);
		msgpack_pack_uint64(pk, offers[i].rate_milli);
		msgpack_pack_uint64(pk, offers[i].wait_ms);
		msgpack_pack_uint64(pk, offers[i].age);
	}
}

static void pack_offers(msgpack_packer *pk, const ap_report_message_t *msg)
{
	size_t regions = 0;

	for (size_t at = 0; at < msg->n_offers; at += offers_of_region(msg, at))
		regions++;
	msgpack_pack_array(pk, regions);
	for (size_t at = 0; at < msg->n_offers;) {
		size_t n = offers_of_region(msg, at);

		pack_region(pk, &msg->offers[at], n);
		at += n;
	}
}

static void pack_cache(msgpack_packer *pk, const ap_report_message_t *msg)
{
	msgpack_pack_array(pk, msg->n_cache);
	for (size_t i = 0; i < msg->n_cache; i++) {
		const ap_cache_item_t *item = &msg->cache[i];

		msgpack_pack_array(pk, 3 + item->n);
		msgpack_pack_uint64(pk, item->upstream);
		msgpack_pack_uint64(pk, item->seq);
		msgpack_pack_uint64(pk, item->stored);
		for (size_t k = 0; k < item->n; k++)
			msgpack_pack_uint64(pk, item->blocks[k]);
	}
}

static void pack_models(msgpack_packer *pk, const ap_report_message_t *msg)
{
	msgpack_pack_array(pk, msg->n_models);
	for (size_t i = 0; i < msg->n_models; i++) {
		const ap_models_item_t *item = &msg->models[i];

		msgpack_pack_array(pk, 2 + item->n);
		msgpack_pack_uint32(pk, item->upstream);
		msgpack_pack_uint64(pk, item->age);
		for (size_t k = 0; k < item->n; k++)
			msgpack_pack_uint32(pk, item->names[k]);
	}
}

static void pack_withdrawals(msgpack_packer *pk, const ap_report_message_t *msg)
{
	msgpack_pack_array(pk, msg->n_withdrawals);
	for (size_t i = 0; i < msg->n_withdrawals; i++) {
		const ap_withdrawal_item_t *item = &msg->withdrawals[i];

		msgpack_pack_array(pk, 5);
		msgpack_pack_uint32(pk, item->upstream);
		msgpack_pack_uint32(pk, item->name);
		msgpack_pack_uint64(pk, item->fence);
		msgpack_pack_uint64(pk, item->number);
		msgpack_pack_uint64(pk, item->keep);
	}
}

/* Both are left out of messages that don't need them, which are most. */
static void pack_versions(msgpack_packer *pk, const ap_report_message_t *msg)
{
	if (msg->n_models == 0 && !msg->has_versions_digest)
		return;
	msgpack_pack_array(pk, msg->n_models);
	for (size_t i = 0; i < msg->n_models; i++) {
		const ap_models_item_t *item = &msg->models[i];

		msgpack_pack_array(pk, item->n);
		for (size_t k = 0; k < item->n; k++)
			msgpack_pack_uint32(pk, item->versions[k]);
	}
	if (msg->has_versions_digest)
		msgpack_pack_uint32(pk, msg->versions_digest);
}

static size_t count_fields(const ap_report_message_t *msg)
{
	if (msg->has_versions_digest)
		return 10;
	return msg->n_models ? 9 : 8;
}

void ap_wire_pack_report(msgpack_packer *pk, const ap_report_message_t *msg)
{
	msgpack_pack_array(pk, count_fields(msg));
	msgpack_pack_uint32(pk, (uint32_t)msg->type);
	msgpack_pack_array(pk, msg->n_loads * LOAD_FIELDS);
	for (size_t i = 0; i < msg->n_loads; i++) {
		const ap_load_item_t *load = &msg->loads[i];

		msgpack_pack_uint64(pk, load->upstream);
		msgpack_pack_uint64(pk, load->age);
		msgpack_pack_uint32(pk, load->running);
		msgpack_pack_uint32(pk, load->waiting);
		msgpack_pack_uint32(pk, load->kv);
	}
	pack_offers(pk, msg);
	pack_cache(pk, msg);
	msgpack_pack_array(pk, msg->n_draining);
	for (size_t i = 0; i < msg->n_draining; i++)
		ap_wire_pack_str(pk, msg->draining[i]);
	pack_models(pk, msg);
	msgpack_pack_uint32(pk, msg->digest);
	pack_withdrawals(pk, msg);
	pack_versions(pk, msg);
}

static void *alloc_list(size_t n, size_t max, size_t size, bool *ok)
{
	void *list = n > 0 && n <= max ? calloc(n, size) : NULL;

	if (n > 0 && !list)
		*ok = false;
	return list;
}

static void read_loads(ap_wire_reader_t *r, ap_report_message_t *msg, bool *ok)
{
	ap_wire_reader_t list = ap_wire_array(r);

	if (list.left % LOAD_FIELDS != 0)
		*ok = false;
	msg->loads =
		alloc_list(list.left / LOAD_FIELDS, LOADS_PER_MESSAGE, sizeof(*msg->loads), ok);
	while (*ok && list.left > 0) {
		ap_load_item_t *load = &msg->loads[msg->n_loads++];

		load->upstream = (uint32_t)ap_wire_u64(&list);
		load->age = ap_wire_u64(&list);
		load->running = (uint32_t)ap_wire_u64(&list);
		load->waiting = (uint32_t)ap_wire_u64(&list);
		load->kv = (uint32_t)ap_wire_u64(&list);
		*ok = list.ok;
	}
}

static bool read_region(ap_wire_reader_t *list, ap_report_message_t *msg)
{
	ap_wire_reader_t e = ap_wire_array(list);
	char region[AP_NAME_MAX];

	ap_wire_str(&e, region, sizeof(region));
	if (e.left % OFFER_FIELDS != 0 ||
	    e.left / OFFER_FIELDS > OFFERS_PER_MESSAGE - msg->n_offers)
		return false;
	while (e.ok && e.left > 0) {
		ap_offer_item_t *offer = &msg->offers[msg->n_offers++];

		ap_copy_name(offer->region, sizeof(offer->region), region);
		ap_wire_str(&e, offer->model, sizeof(offer->model));
		offer->rate_milli = ap_wire_u64(&e);
		offer->wait_ms = ap_wire_u64(&e);
		offer->age = ap_wire_u64(&e);
	}
	return e.ok;
}

static void read_offers(ap_wire_reader_t *r, ap_report_message_t *msg, bool *ok)
{
	ap_wire_reader_t list = ap_wire_array(r);

	if (list.left > 0)
		msg->offers = alloc_list(OFFERS_PER_MESSAGE, OFFERS_PER_MESSAGE,
					 sizeof(*msg->offers), ok);
	while (*ok && list.left > 0)
		*ok = read_region(&list, msg);
}

static void read_cache(ap_wire_reader_t *r, ap_report_message_t *msg, bool *ok)
{
	ap_wire_reader_t list = ap_wire_array(r);

	msg->cache = alloc_list(list.left, CACHE_PER_MESSAGE, sizeof(*msg->cache), ok);
	while (*ok && list.left > 0) {
		ap_cache_item_t *item = &msg->cache[msg->n_cache++];
		ap_wire_reader_t e = ap_wire_array(&list);

		item->upstream = (uint32_t)ap_wire_u64(&e);
		item->seq = ap_wire_u64(&e);
		item->stored = ap_wire_u64(&e) != 0;
		while (e.ok && e.left > 0 && item->n < CACHE_BLOCKS_MAX)
			item->blocks[item->n++] = ap_wire_u64(&e);
		*ok = e.ok;
	}
}

static void read_draining(ap_wire_reader_t *r, ap_report_message_t *msg, bool *ok)
{
	ap_wire_reader_t list = ap_wire_array(r);

	msg->draining = alloc_list(list.left, DRAINING_PER_MESSAGE, sizeof(*msg->draining), ok);
	while (*ok && list.left > 0) {
		ap_wire_str(&list, msg->draining[msg->n_draining++], AP_NAME_MAX);
		*ok = list.ok;
	}
}

static void read_models(ap_wire_reader_t *r, ap_report_message_t *msg, bool *ok)
{
	ap_wire_reader_t list = ap_wire_array(r);

	msg->models = alloc_list(list.left, MODELS_PER_MESSAGE, sizeof(*msg->models), ok);
	while (*ok && list.left > 0) {
		ap_models_item_t *item = &msg->models[msg->n_models++];
		ap_wire_reader_t e = ap_wire_array(&list);

		item->upstream = (uint32_t)ap_wire_u64(&e);
		item->age = ap_wire_u64(&e);
		while (e.ok && e.left > 0 && item->n < AP_REPORT_MODELS_MAX)
			item->names[item->n++] = (uint32_t)ap_wire_u64(&e);
		*ok = e.ok;
	}
}

static void read_versions(ap_wire_reader_t *r, ap_report_message_t *msg, bool *ok)
{
	ap_wire_reader_t list = ap_wire_array(r);

	for (size_t i = 0; *ok && list.left > 0 && i < msg->n_models; i++) {
		ap_models_item_t *item = &msg->models[i];
		ap_wire_reader_t e = ap_wire_array(&list);

		for (size_t k = 0; e.ok && e.left > 0 && k < item->n; k++)
			item->versions[k] = (uint32_t)ap_wire_u64(&e);
		*ok = e.ok;
	}
	*ok = *ok && list.ok;
}

static void read_withdrawals(ap_wire_reader_t *r, ap_report_message_t *msg, bool *ok)
{
	ap_wire_reader_t list = ap_wire_array(r);

	msg->withdrawals =
		alloc_list(list.left, WITHDRAWALS_PER_MESSAGE, sizeof(*msg->withdrawals), ok);
	while (*ok && list.left > 0) {
		ap_withdrawal_item_t *item = &msg->withdrawals[msg->n_withdrawals++];
		ap_wire_reader_t e = ap_wire_array(&list);

		item->upstream = (uint32_t)ap_wire_u64(&e);
		item->name = (uint32_t)ap_wire_u64(&e);
		item->fence = ap_wire_u64(&e);
		item->number = ap_wire_u64(&e);
		item->keep = ap_wire_u64(&e);
		*ok = e.ok;
	}
}

bool ap_wire_read_report(const msgpack_object *body, ap_report_message_t *msg)
{
	ap_wire_reader_t r = ap_wire_reader(body);
	uint64_t type = ap_wire_u64(&r);
	bool ok = r.ok && type >= AP_REPORT_RELAY && type <= AP_REPORT_DIGEST;

	*msg = (ap_report_message_t){.type = (ap_report_type_t)type};
	read_loads(&r, msg, &ok);
	read_offers(&r, msg, &ok);
	read_cache(&r, msg, &ok);
	read_draining(&r, msg, &ok);
	read_models(&r, msg, &ok);
	msg->digest = (uint32_t)ap_wire_u64(&r);
	/* Messages from earlier versions end here, or after the withdrawals. */
	if (r.left > 0)
		read_withdrawals(&r, msg, &ok);
	if (ok && r.left > 0)
		read_versions(&r, msg, &ok);
	if (ok && r.left > 0) {
		msg->has_versions_digest = true;
		msg->versions_digest = (uint32_t)ap_wire_u64(&r);
	}
	if (ok && r.ok)
		return true;
	ap_wire_report_clear(msg);
	return false;
}

void ap_wire_report_clear(ap_report_message_t *msg)
{
	free(msg->loads);
	free(msg->offers);
	free(msg->cache);
	free(msg->draining);
	free(msg->models);
	free(msg->withdrawals);
	*msg = (ap_report_message_t){.n_loads = 0};
}
