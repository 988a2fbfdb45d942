/* The platform's store with its published interface: items, leases, conditional writes, watches. */
#include "soak.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES "arbutuspond/instances/" /* keys of gateway instances */
#define WATCH_POLL_MS 20
#define RESPONSE_LOSS_SHARE 0.4

typedef struct item {
	UT_hash_handle hh;
	char key[128];
	char *value; /* base64 */
	uint64_t revision;
	uint64_t lease;
	bool removed;
} item_t;

/* An item as it was when a copy of the store was made. */
typedef struct saved {
	SLIST_ENTRY(saved) entry;
	item_t item; /* with a value of its own; not in a table */
} saved_t;

typedef SLIST_HEAD(, saved) copy_t;

typedef struct lease {
	UT_hash_handle hh;
	uint64_t id;
	ap_usec_t ttl;
	ap_usec_t expires;
} lease_t;

typedef struct watcher {
	LIST_ENTRY(watcher) entry;
	ap_http_call_t *call;
	uint64_t after;
	ap_usec_t until;
} watcher_t;

struct store {
	soak_t *soak;
	ap_http_server_t *server;
	struct event *tick;
	item_t *items;
	lease_t *leases;
	uint64_t revision;
	uint64_t compacted; /* the history up to this revision is dropped */
	uint64_t next_lease;
	uint64_t era;
	copy_t copy;
	uint64_t copy_revision;
	uint64_t copy_next_lease;
	store_mode_t mode;
	LIST_HEAD(, watcher) watchers;
};

static void reply(const store_t *st, ap_http_call_t *call, int status, json_t *body)
{
	char era[24];
	const ap_http_header_t headers[] = {{"Content-Type", "application/json"},
					    {"Store-Era", era}};
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	snprintf(era, sizeof(era), "%" PRIu64, st->era);
	ap_http_reply(call, status, headers, 2, text, text ? strlen(text) : 0);
	free(text);
	json_decref(body);
}

static item_t *item_of(store_t *st, const char *key)
{
	item_t *item;

	HASH_FIND_STR(st->items, key, item);
	if (item)
		return item;
	item = calloc(1, sizeof(*item));
	if (!item)
		abort();
	ap_copy_name(item->key, sizeof(item->key), key);
	HASH_ADD_STR(st->items, key, item);
	return item;
}

static void write_item(store_t *st, const char *key, const char *base64, uint64_t lease)
{
	item_t *item = item_of(st, key);

	free(item->value);
	item->value = base64 ? strdup(base64) : NULL;
	item->removed = base64 == NULL;
	item->lease = lease;
	item->revision = ++st->revision;
}

void store_put(store_t *st, const char *key, const char *value, uint64_t lease)
{
	size_t size = sodium_base64_ENCODED_LEN(strlen(value), sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);

	if (!text)
		abort();
	sodium_bin2base64(text, size, (const unsigned char *)value, strlen(value),
			  sodium_base64_VARIANT_ORIGINAL);
	write_item(st, key, text, lease);
	free(text);
}

bool store_has(const store_t *st, const char *key)
{
	const item_t *item;

	HASH_FIND_STR(st->items, key, item);
	return item && item->value;
}

void store_remove(store_t *st, const char *key)
{
	write_item(st, key, NULL, 0);
}

static json_t *item_json(const item_t *item)
{
	if (item->removed)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "rev",
				 (json_int_t)item->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I}", "key", item->key, "value", item->value, "rev",
			 (json_int_t)item->revision, "lease", (json_int_t)item->lease);
}

static json_t *items_json(const store_t *st, const char *field, uint64_t after, bool with_removed)
{
	json_t *items = json_array();

	for (const item_t *i = st->items; i; i = i->hh.next) {
		if (i->revision > after && (with_removed || !i->removed))
			json_array_append_new(items, item_json(i));
	}
	return json_pack("{s:o,s:b,s:I}", field, items, "truncated", 0, "asOf",
			 (json_int_t)st->revision);
}

static void reply_watch(store_t *st, watcher_t *w)
{
	LIST_REMOVE(w, entry);
	reply(st, w->call, 200, items_json(st, "events", w->after, true));
	free(w);
}

static void on_watcher_closed(void *ctx)
{
	watcher_t *w = ctx;

	LIST_REMOVE(w, entry);
	free(w);
}

static void watch(store_t *st, ap_http_call_t *call)
{
	char after[32];
	char wait[32];
	watcher_t *w;

	ap_http_call_query(call, "after", after, sizeof(after));
	ap_http_call_query(call, "waitMs", wait, sizeof(wait));
	/* A copy doesn't have the changes since it was made. */
	if (strtoull(after, NULL, 10) < st->compacted || strtoull(after, NULL, 10) > st->revision) {
		reply(st, call, 410, NULL);
		return;
	}
	w = calloc(1, sizeof(*w));
	if (!w)
		abort();
	w->call = call;
	w->after = strtoull(after, NULL, 10);
	w->until = ap_now() + strtol(wait, NULL, 10) * AP_MSEC;
	LIST_INSERT_HEAD(&st->watchers, w, entry);
	ap_http_call_watch(call, w, on_watcher_closed, NULL);
}

static bool conditions_hold(store_t *st, json_t *conditions)
{
	json_t *row;
	size_t i;

	json_array_foreach (conditions, i, row) {
		item_t *item = item_of(st, json_string_value(json_object_get(row, "key")));
		uint64_t now = item->removed || !item->value ? 0 : item->revision;

		if (now != (uint64_t)json_integer_value(json_object_get(row, "rev")))
			return false;
	}
	return true;
}

static json_t *current_items(store_t *st, json_t *conditions)
{
	json_t *items = json_array();
	json_t *row;
	size_t i;

	json_array_foreach (conditions, i, row) {
		item_t *item = item_of(st, json_string_value(json_object_get(row, "key")));

		if (item->value)
			json_array_append_new(items, item_json(item));
	}
	return json_pack("{s:o}", "items", items);
}

/* Writes an instance's own entry, with the ports of the links to it. */
static void put_instance(store_t *st, const char *key, const char *base64, uint64_t lease)
{
	unsigned char entry[1024];
	size_t len = 0;
	char *text;

	if (sodium_base642bin(entry, sizeof(entry) - 1, base64, strlen(base64), NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL) != 0)
		abort();
	entry[len] = '\0';
	text = instance_entry_via_links(st->soak, key + strlen(INSTANCES), (const char *)entry);
	store_put(st, key, text, lease);
	free(text);
}

static void put(store_t *st, const char *key, const char *base64, uint64_t lease)
{
	if (strncmp(key, INSTANCES, strlen(INSTANCES)) == 0)
		put_instance(st, key, base64, lease);
	else
		write_item(st, key, base64, lease);
}

/* Carries out a transaction. Return: the status; *@body: the response body, or NULL. */
static int txn(store_t *st, json_t *root, json_t **body)
{
	json_t *conditions = json_object_get(root, "expectRev");
	json_t *row;
	size_t i;

	if (!conditions_hold(st, conditions)) {
		*body = current_items(st, conditions);
		return 412;
	}
	json_array_foreach (json_object_get(root, "puts"), i, row) {
		uint64_t id = (uint64_t)json_integer_value(json_object_get(row, "lease"));
		lease_t *lease = NULL;

		HASH_FIND(hh, st->leases, &id, sizeof(id), lease);
		if (id != 0 && !lease)
			return 404;
		put(st, json_string_value(json_object_get(row, "key")),
		    json_string_value(json_object_get(row, "value")), id);
	}
	*body = json_pack("{s:I}", "rev", (json_int_t)st->revision);
	return 200;
}

static int new_lease(store_t *st, json_t *root, json_t **body)
{
	lease_t *lease = calloc(1, sizeof(*lease));

	if (!lease)
		abort();
	lease->id = ++st->next_lease;
	lease->ttl = json_integer_value(json_object_get(root, "ttlMs")) * AP_MSEC;
	lease->expires = ap_now() + lease->ttl;
	HASH_ADD(hh, st->leases, id, sizeof(lease->id), lease);
	*body = json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id, "ttlMs",
			  (json_int_t)(lease->ttl / AP_MSEC));
	return 200;
}

static lease_t *named_lease(store_t *st, const char *path)
{
	uint64_t id = strtoull(strrchr(path, '/') + 1, NULL, 10);
	lease_t *lease;

	HASH_FIND(hh, st->leases, &id, sizeof(id), lease);
	return lease;
}

static void free_lease(store_t *st, lease_t *lease)
{
	HASH_DEL(st->leases, lease); /* NOLINT(clang-analyzer-unix.Malloc) */
	free(lease);
}

static void end_lease(store_t *st, lease_t *lease)
{
	for (item_t *i = st->items; i; i = i->hh.next) {
		if (i->lease == lease->id && !i->removed)
			write_item(st, i->key, NULL, 0);
	}
	free_lease(st, lease);
}

static int change(store_t *st, ap_http_call_t *call, const char *path, json_t **body)
{
	size_t len;
	const char *text = ap_http_call_body(call, &len);
	json_t *root = json_loadb(text, len, 0, NULL);
	lease_t *lease;
	int status = 404;

	if (strcmp(path, "/api/kv-txn") == 0) {
		status = txn(st, root, body);
	} else if (strcmp(path, "/api/kv-lease") == 0) {
		status = new_lease(st, root, body);
	} else if ((lease = named_lease(st, path)) != NULL) {
		status = 200;
		if (strncmp(path, "/api/kv-keep/", 13) == 0)
			lease->expires = ap_now() + lease->ttl;
		else
			end_lease(st, lease);
		*body = json_object();
	}
	json_decref(root);
	return status;
}

static void on_request(void *ctx, ap_http_call_t *call)
{
	store_t *st = ctx;
	const char *path = ap_http_call_path(call);
	json_t *body = NULL;
	int status;

	if (st->mode == STORE_REFUSES) {
		reply(st, call, 503, NULL);
	} else if (strcmp(path, "/api/kv-range") == 0) {
		reply(st, call, 200, items_json(st, "items", 0, false));
	} else if (strcmp(path, "/api/kv-watch") == 0) {
		watch(st, call);
	} else {
		status = change(st, call, path, &body);
		if (st->mode == STORE_LOSES_RESPONSES &&
		    ap_rng_unit(&st->soak->rng) < RESPONSE_LOSS_SHARE) {
			json_decref(body);
			ap_http_call_abort(call);
		} else {
			reply(st, call, status, body);
		}
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	store_t *st = arg;
	ap_usec_t now = ap_now();
	lease_t *next_lease;
	lease_t *lease;
	watcher_t *next;

	(void)fd;
	(void)what;
	/* Leases don't expire while the store refuses requests. */
	HASH_ITER (hh, st->leases, lease, next_lease) {
		if (st->mode == STORE_REFUSES)
			lease->expires = now + lease->ttl;
		else if (now >= lease->expires)
			end_lease(st, lease);
	}
	for (watcher_t *w = LIST_FIRST(&st->watchers); w; w = next) {
		next = LIST_NEXT(w, entry);
		if (st->revision > w->after || now >= w->until)
			reply_watch(st, w);
	}
}

store_t *store_new(soak_t *s)
{
	const struct timeval every = {.tv_usec = WATCH_POLL_MS * 1000};
	store_t *st = calloc(1, sizeof(*st));
	ap_http_server_config_t config = {
		.base = s->base,
		.host = "127.0.0.1",
		.header_bytes = 65536,
		.body_bytes = 8 << 20,
		.idle = 60 * AP_SEC,
		.ctx = st,
		.request = on_request,
	};

	if (!st || ap_http_server_new(&config, &st->server, NULL) != AP_HTTP_STATUS_OK)
		abort();
	st->soak = s;
	st->revision = 100;
	st->era = 1;
	LIST_INIT(&st->watchers);
	st->tick = event_new(s->base, -1, EV_PERSIST, on_tick, st);
	event_add(st->tick, &every);
	return st;
}

uint16_t store_port(const store_t *st)
{
	return ap_http_server_port(st->server);
}

void store_set_mode(store_t *st, store_mode_t mode)
{
	st->mode = mode;
	st->soak->store_last_disturbed = ap_now();
}

void store_compact(store_t *st)
{
	st->compacted = st->revision;
}

static void free_copy(copy_t *copy)
{
	saved_t *saved;

	while ((saved = SLIST_FIRST(copy)) != NULL) {
		SLIST_REMOVE_HEAD(copy, entry);
		free(saved->item.value);
		free(saved);
	}
}

/* Copies the items whose keys begin with @prefix. */
static void copy_items(const store_t *st, const char *prefix, copy_t *copy)
{
	for (const item_t *i = st->items; i; i = i->hh.next) {
		saved_t *saved;

		if (strncmp(i->key, prefix, strlen(prefix)) != 0)
			continue;
		saved = calloc(1, sizeof(*saved));
		if (!saved)
			abort();
		saved->item = *i;
		saved->item.value = i->value ? strdup(i->value) : NULL;
		SLIST_INSERT_HEAD(copy, saved, entry);
	}
}

void store_save(store_t *st)
{
	free_copy(&st->copy);
	st->copy_revision = st->revision;
	st->copy_next_lease = st->next_lease;
	copy_items(st, "", &st->copy);
}

static void free_items(store_t *st)
{
	item_t *item = st->items;

	HASH_CLEAR(hh, st->items); /* frees the table; the items stay linked */
	for (item_t *next; item; item = next) {
		next = item->hh.next;
		free(item->value);
		free(item);
	}
}

static void drop_watchers(store_t *st)
{
	watcher_t *next;

	for (watcher_t *w = LIST_FIRST(&st->watchers); w; w = next) {
		ap_http_call_t *call = w->call;

		next = LIST_NEXT(w, entry);
		on_watcher_closed(w);
		ap_http_call_watch(call, NULL, NULL, NULL);
		ap_http_call_abort(call);
	}
}

void store_restore(store_t *st)
{
	copy_t operators = SLIST_HEAD_INITIALIZER(operators);
	const saved_t *saved;
	lease_t *next;
	lease_t *lease;

	copy_items(st, "op/", &operators);
	drop_watchers(st);
	free_items(st);
	SLIST_FOREACH (saved, &st->copy, entry) {
		item_t *item = item_of(st, saved->item.key);

		item->value = saved->item.value ? strdup(saved->item.value) : NULL;
		item->revision = saved->item.revision;
		item->lease = saved->item.lease;
		item->removed = saved->item.removed;
	}
	/* Ids of leases that the copy doesn't have are given out again. */
	HASH_ITER (hh, st->leases, lease, next) {
		lease->expires = ap_now() + lease->ttl;
		if (lease->id > st->copy_next_lease)
			free_lease(st, lease);
	}
	st->next_lease = st->copy_next_lease;
	st->revision = st->copy_revision;
	st->compacted = 0;
	st->era++;
	SLIST_FOREACH (saved, &operators, entry)
		write_item(st, saved->item.key, saved->item.value, 0);
	free_copy(&operators);
	st->soak->store_last_disturbed = ap_now();
}

void store_free(store_t *st)
{
	lease_t *lease = st->leases;

	ap_http_server_free(st->server);
	event_free(st->tick);
	free_copy(&st->copy);
	free_items(st);
	HASH_CLEAR(hh, st->leases); /* frees the table; the leases stay linked */
	for (lease_t *next; lease; lease = next) {
		next = lease->hh.next;
		free(lease);
	}
	free(st);
}
