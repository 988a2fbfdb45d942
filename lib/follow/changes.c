/*
 * Messages that relay changes read from the store to instances that don't watch it. Each message
 * continues from the previous one; an instance that missed one reads the store itself.
 */
#include "follow/follow.h"
#include "wire/frame.h"

#include <stdlib.h>

#define CHANGES_MAX 512 /* most items in one response of the store */

static void pack_item(msgpack_packer *pk, const ap_store_item_t *item)
{
	msgpack_pack_array(pk, 4);
	ap_wire_pack_str(pk, item->key);
	ap_wire_pack_bin(pk, item->value, item->len);
	msgpack_pack_uint64(pk, item->revision);
	ap_wire_pack_bool(pk, item->removed);
}

void *ap_changes_pack(uint64_t after, const ap_store_read_t *read, size_t *len)
{
	ap_wire_out_t out;

	/* Receivers use neither the sender nor the sequence number. */
	ap_wire_out_begin(&out, AP_WIRE_CHANGES, (ap_id_t){0}, 1);
	msgpack_pack_array(&out.pk, 5);
	msgpack_pack_uint64(&out.pk, after);
	msgpack_pack_uint64(&out.pk, read->as_of);
	msgpack_pack_array(&out.pk, read->n);
	for (size_t i = 0; i < read->n; i++)
		pack_item(&out.pk, &read->items[i]);
	msgpack_pack_uint64(&out.pk, read->era);
	/* Rounded up: the changes may be this old. */
	msgpack_pack_uint64(&out.pk, (uint64_t)((read->age_max + AP_MSEC - 1) / AP_MSEC));
	return ap_wire_out_take(&out, len);
}

/* The item's value points into the message; its key is copied to @key. */
static bool read_item(ap_wire_reader_t *list, ap_store_item_t *item, char key[AP_STORE_KEY_MAX])
{
	ap_wire_reader_t e = ap_wire_array(list);

	*item = (ap_store_item_t){.key = key};
	ap_wire_str(&e, key, AP_STORE_KEY_MAX);
	item->value = ap_wire_bin(&e, &item->len);
	item->revision = ap_wire_u64(&e);
	item->removed = ap_wire_bool(&e);
	return e.ok && key[0] != '\0';
}

bool ap_changes_apply(ap_follow_t *f, const void *data, size_t len, ap_usec_t now)
{
	char(*keys)[AP_STORE_KEY_MAX] = NULL;
	ap_store_item_t *items = NULL;
	ap_store_read_t read = {.end = AP_STORE_OK};
	ap_wire_reader_t list;
	ap_wire_reader_t r;
	ap_wire_in_t in;
	uint64_t after;
	size_t n;
	bool ok;

	if (!ap_wire_in_open(&in, AP_WIRE_CHANGES, data, len, NULL))
		return false;
	r = ap_wire_reader(&in.body);
	after = ap_wire_u64(&r);
	read.as_of = ap_wire_u64(&r);
	list = ap_wire_array(&r);
	/* Instances of an earlier version don't send the era, or the age. */
	read.era = r.left > 0 ? ap_wire_u64(&r) : 0;
	read.age_max = r.left > 0 ? ap_wire_msec(&r) : 0;
	n = list.left;
	ok = r.ok && list.ok && n <= CHANGES_MAX;
	if (ok) {
		items = calloc(n + 1, sizeof(*items));
		keys = calloc(n + 1, sizeof(*keys));
		ok = items && keys;
	}
	while (ok && read.n < n) {
		ok = read_item(&list, &items[read.n], keys[read.n]);
		read.n++;
	}
	read.items = items;
	if (ok)
		ap_follow_relayed(f, after, &read, now);
	free(items);
	free(keys);
	ap_wire_in_close(&in);
	return ok;
}

bool ap_changes_pass_on(ap_follow_t *f, const void *data, size_t len)
{
	ap_span_t span;
	ap_wire_reader_t r;
	ap_wire_in_t in;
	bool ok;

	if (!ap_wire_in_open(&in, AP_WIRE_CHANGES, data, len, NULL))
		return false;
	r = ap_wire_reader(&in.body);
	span.after = ap_wire_u64(&r);
	span.as_of = ap_wire_u64(&r);
	ap_wire_array(&r);
	span.era = r.left > 0 ? ap_wire_u64(&r) : 0;
	ok = r.ok && ap_follow_pass_on(f, &span);
	ap_wire_in_close(&in);
	return ok;
}
