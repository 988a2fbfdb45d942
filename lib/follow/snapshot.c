/*
 * A snapshot of the items last read from the store. An instance that starts while the store is
 * unavailable gets it from another instance.
 */
#include "follow/follow.h"
#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

#define VALUE_MAX (2 << 20) /* bytes of one item's value */

typedef struct stored_item {
	UT_hash_handle hh;
	char key[AP_STORE_KEY_MAX];
	void *value;
	size_t len;
	uint64_t revision;
	bool listed; /* seen since the current or last list began */
} stored_item_t;

struct ap_snapshot {
	stored_item_t *table;
};

ap_snapshot_t *ap_snapshot_new(void)
{
	return calloc(1, sizeof(ap_snapshot_t));
}

static void remove_item(ap_snapshot_t *snapshot, stored_item_t *it)
{
	HASH_DEL(snapshot->table, it); /* NOLINT(clang-analyzer-unix.Malloc) */
	free(it->value);
	free(it);
}

void ap_snapshot_free(ap_snapshot_t *snapshot)
{
	stored_item_t *next;
	stored_item_t *it;

	if (!snapshot)
		return;
	it = snapshot->table;
	HASH_CLEAR(hh, snapshot->table); /* frees the table; the items stay linked */
	for (; it; it = next) {
		next = it->hh.next;
		free(it->value);
		free(it);
	}
	free(snapshot);
}

static stored_item_t *insert_item(ap_snapshot_t *snapshot, const char *key)
{
	stored_item_t *it = calloc(1, sizeof(*it));

	if (!it || !ap_copy_name(it->key, sizeof(it->key), key)) {
		free(it);
		return NULL;
	}
	HASH_ADD_STR(snapshot->table, key, it);
	return it;
}

void ap_snapshot_put(ap_snapshot_t *snapshot, const ap_store_item_t *item)
{
	void *copy;
	stored_item_t *it;

	HASH_FIND_STR(snapshot->table, item->key, it);
	if (item->removed) {
		if (it)
			remove_item(snapshot, it);
		return;
	}
	copy = malloc(item->len + 1);
	if (!copy)
		return;
	if (item->len > 0)
		memcpy(copy, item->value, item->len);
	if (!it)
		it = insert_item(snapshot, item->key);
	if (!it) {
		free(copy);
		return;
	}
	free(it->value);
	it->value = copy;
	it->len = item->len;
	it->revision = item->revision;
	it->listed = true;
}

void ap_snapshot_listing(ap_snapshot_t *snapshot, bool begin)
{
	stored_item_t *next;
	stored_item_t *it;

	HASH_ITER (hh, snapshot->table, it, next) {
		if (!begin && !it->listed)
			remove_item(snapshot, it);
		else if (begin)
			it->listed = false;
	}
}

bool ap_snapshot_find(const ap_snapshot_t *snapshot, const char *key, ap_store_item_t *item)
{
	const stored_item_t *it;

	HASH_FIND_STR(snapshot->table, key, it);
	if (!it)
		return false;
	*item = (ap_store_item_t){
		.key = it->key,
		.value = it->value,
		.len = it->len,
		.revision = it->revision,
	};
	return true;
}

void *ap_snapshot_pack(const ap_snapshot_t *snapshot, const char *without, size_t *len)
{
	stored_item_t *excluded = NULL;
	ap_wire_out_t out;

	if (without)
		HASH_FIND_STR(snapshot->table, without, excluded);

	/* Receivers use neither the sender nor the sequence number. */
	ap_wire_out_begin(&out, AP_WIRE_SNAPSHOT, (ap_id_t){0}, 1);
	msgpack_pack_array(&out.pk, HASH_COUNT(snapshot->table) - (excluded ? 1 : 0));
	for (const stored_item_t *it = snapshot->table; it; it = it->hh.next) {
		if (it == excluded)
			continue;
		msgpack_pack_array(&out.pk, 3);
		ap_wire_pack_str(&out.pk, it->key);
		ap_wire_pack_bin(&out.pk, it->value, it->len);
		msgpack_pack_uint64(&out.pk, it->revision);
	}
	return ap_wire_out_take(&out, len);
}

static bool unpack_one(ap_wire_reader_t *list, void *ctx,
		       void (*item)(void *ctx, const ap_store_item_t *item))
{
	ap_wire_reader_t e = ap_wire_array(list);
	ap_store_item_t one = {0};
	char key[AP_STORE_KEY_MAX];

	ap_wire_str(&e, key, sizeof(key));
	one.key = key;
	one.value = ap_wire_bin(&e, &one.len);
	one.revision = ap_wire_u64(&e);
	if (!e.ok || one.len > VALUE_MAX)
		return false;
	item(ctx, &one);
	return true;
}

bool ap_snapshot_unpack(const void *data, size_t len, void *ctx,
			void (*item)(void *ctx, const ap_store_item_t *item))
{
	ap_wire_reader_t list;
	ap_wire_in_t in;
	bool ok;

	if (!ap_wire_in_open(&in, AP_WIRE_SNAPSHOT, data, len, NULL))
		return false;
	list = ap_wire_reader(&in.body);
	ok = list.ok;
	while (ok && list.left > 0)
		ok = unpack_one(&list, ctx, item);
	ap_wire_in_close(&in);
	return ok;
}
