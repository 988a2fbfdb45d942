/*
 * Messages of earlier builds, recorded by builds/record.sh, and of later ones, made from them by
 * adding fields. Guards against an upgrade in which instances of two builds don't understand each
 * other, or choose different owners.
 */
#include "builds_world.h"
#include "follow/follow.h"
#include "platform/host.h"

#define ENVELOPE 4 /* fields before the body */
/* Lists whose elements may get wider, see docs/design/builds.md: prefixes, and later ones. */
#define FLEET_OPEN_FIRST (1u << 1)
#define FLEET_OPEN (1u << 1 | 1u << 5 | 1u << 6 | 1u << 9 | 1u << 10)
#define WAITS_OPEN (1u << 1)
#define FLEET_MIN 5 /* fields of the oldest announcement to the region */
#define WAITS_MIN 2 /* of the oldest one to remote regions */
#define FLEET_TODAY 24
#define WAITS_TODAY 9
#define HASHES 8
#define EXTRA_MAX 4 /* fields that a later build adds */

static void announcement_is_read(const build_t *b)
{
	char from[AP_NAME_MAX];
	ap_fleet_t *f = receiver("north");
	bytes_t m;

	assert_true(find(b, "fleet", from, &m));
	assert_true(receive(f, from, &m));
	check_fleet(b, f, from);
	assert_int_equal(ap_fleet_stats(f, NOW).skipped.fields, 0);
	ap_fleet_free(f);
}

static void waits_are_read(const build_t *b)
{
	char from[AP_NAME_MAX];
	ap_fleet_t *f = receiver("south");
	bytes_t m;

	assert_true(find(b, "waits", from, &m));
	assert_true(receive(f, from, &m));
	assert_int_equal(ap_remote_pool(f, "north", "engines")->announced_at, NOW);
	assert_int_equal(ap_remote_pool(f, "north", "engines")->wait[0],
			 knows(b, "cold") ? 426 * AP_MSEC : 0);
	assert_int_equal(ap_member_reaches(ap_member_find(f, from), "paper", NOW),
			 !knows(b, "paths"));
	assert_int_equal(f->n_ends, knows(b, "ends"));
	ap_fleet_free(f);
}

static void test_announcements_of_earlier_builds_are_read(void **state)
{
	(void)state;
	each_build(announcement_is_read);
	each_build(waits_are_read);
}

typedef struct heard {
	ap_fleet_t *f;
	size_t n;
} heard_t;

static void on_passed_on(void *ctx, const char *origin, const void *data, size_t len)
{
	heard_t *heard = ctx;

	assert_true(ap_fleet_receive(heard->f, origin, data, len, NOW));
	heard->n++;
}

static void batch_is_read(const build_t *b)
{
	heard_t heard = {.f = instance("north", 1, 16, 0)};
	char from[AP_NAME_MAX];
	bytes_t m;

	if (find(b, "batch", from, &m)) {
		assert_true(ap_fleet_open_batch(heard.f, from, m.data, m.len, NOW, &heard,
						on_passed_on));
		assert_int_equal(heard.n, 1);
		assert_int_equal(ap_member_find(heard.f, "n9")->heard_at, NOW);
	}
	ap_fleet_free(heard.f);
}

static void test_batches_of_earlier_builds_are_read(void **state)
{
	(void)state;
	each_build(batch_is_read);
}

/* Items that a reader of the store got. */
typedef struct items {
	size_t n;
	uint64_t revision;
	bool removed;
} items_t;

static void on_item(void *ctx, const ap_store_item_t *item)
{
	items_t *items = ctx;

	if (items->n == 0) {
		assert_string_equal(item->key, "servers/e0");
		assert_int_equal(item->len, 17);
		assert_memory_equal(item->value, "{\"state\":\"ready\"}", 17);
		assert_int_equal(item->revision, 41);
	}
	items->n++;
	items->revision = item->revision;
	items->removed = item->removed;
}

static void on_list(void *ctx, const char *after)
{
	(void)ctx;
	(void)after;
}

static void on_watch(void *ctx, uint64_t revision, ap_usec_t wait)
{
	(void)ctx;
	(void)revision;
	(void)wait;
}

static void on_listing(void *ctx, bool begin)
{
	(void)ctx;
	(void)begin;
}

static void changes_are_read(const build_t *b)
{
	ap_follow_config_t config = {
		.interval = AP_SEC,
		.wait = AP_SEC,
		.unavailable_after = AP_SEC,
		.recovery_time = AP_SEC,
		.list = on_list,
		.watch = on_watch,
		.listing = on_listing,
		.item = on_item,
	};
	ap_store_read_t list = {.end = AP_STORE_OK, .as_of = 40};
	items_t items = {0};
	char from[AP_NAME_MAX];
	ap_follow_t *f;
	bytes_t m;

	if (!find(b, "changes", from, &m))
		return;
	config.ctx = &items;
	f = ap_follow_new(&config, NOW);
	list.era = knows(b, "era") ? 3 : 0;
	ap_follow_tick(f, NOW);
	ap_follow_response(f, &list, NOW);
	assert_true(ap_changes_apply(f, m.data, m.len, NOW));
	assert_int_equal(items.n, 2);
	assert_int_equal(items.revision, 42);
	assert_true(items.removed);
	assert_int_equal(ap_follow_revision(f), 43);
	ap_follow_free(f);
}

static void snapshot_is_read(const build_t *b)
{
	items_t items = {0};
	char from[AP_NAME_MAX];
	bytes_t m;

	assert_true(find(b, "snapshot", from, &m));
	assert_true(ap_snapshot_unpack(m.data, m.len, &items, on_item));
	assert_int_equal(items.n, 1);
}

static void test_items_of_the_store_from_earlier_builds_are_read(void **state)
{
	(void)state;
	each_build(changes_are_read);
	each_build(snapshot_is_read);
}

static void record_is_read(const build_t *b)
{
	const char *text = "";
	ap_member_t m;
	ap_err_t err;

	for (size_t i = 0; i < b->n; i++) {
		if (strncmp(b->lines[i], "record n0 ", 10) == 0)
			text = b->lines[i] + 10;
	}
	assert_int_equal(ap_host_parse_member("n0", text, strlen(text), &m, &err), AP_HOST_OK);
	assert_string_equal(m.region, "north");
	assert_string_equal(m.data_centre, "north-1");
	assert_string_equal(m.host, "127.0.0.1");
	assert_int_equal(m.caller_port, 80);
	assert_int_equal(m.peer_port, 81);
	assert_float_equal(m.cores, 0.25, 0.001);
	assert_true(m.draining);
	assert_int_equal(m.wire_oldest, 2);
	assert_int_equal(m.wire_newest, 2);
	assert_int_equal(m.speaks, strstr(text, "speaks") ? AP_FLEET_SPEAKS_BATCHES : 0);
}

static void test_records_of_earlier_builds_are_read(void **state)
{
	(void)state;
	each_build(record_is_read);
}

/*
 * Packs @in again: with @fields of its body, empty ones up to @today, and @extra ones that no build
 * knows yet.
 */
static void rebuild(const bytes_t *in, size_t fields, size_t today, size_t extra, bytes_t *out)
{
	msgpack_unpacked message;
	msgpack_sbuffer buf;
	msgpack_packer pk;
	const msgpack_object *envelope;
	const msgpack_object *body;

	msgpack_unpacked_init(&message);
	assert_int_equal(msgpack_unpack_next(&message, (const char *)in->data, in->len, NULL),
			 MSGPACK_UNPACK_SUCCESS);
	envelope = message.data.via.array.ptr;
	body = &envelope[ENVELOPE];
	if (fields > body->via.array.size)
		fields = body->via.array.size;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ENVELOPE + 1);
	for (size_t i = 0; i < ENVELOPE; i++)
		msgpack_pack_object(&pk, envelope[i]);
	if (today < fields)
		today = fields;
	msgpack_pack_array(&pk, today + extra);
	for (size_t i = 0; i < fields; i++)
		msgpack_pack_object(&pk, body->via.array.ptr[i]);
	for (size_t i = fields; i < today; i++)
		msgpack_pack_array(&pk, 0);
	for (size_t i = 0; i < extra; i++) {
		if (i % 2 == 0) {
			msgpack_pack_array(&pk, 2);
			msgpack_pack_uint64(&pk, i);
		}
		ap_wire_pack_str(&pk, "a later field");
	}
	assert_true(buf.size <= sizeof(out->data));
	memcpy(out->data, buf.data, buf.size);
	out->len = buf.size;
	msgpack_sbuffer_destroy(&buf);
	msgpack_unpacked_destroy(&message);
}

static void later_announcement_is_read(const build_t *b)
{
	char from[AP_NAME_MAX];
	bytes_t later;
	bytes_t m;

	/* A later build has the fields of today; what this landing lacks is a list. */
	if (strcmp(b->commit, "2fb350c") != 0)
		return;
	for (size_t extra = 1; extra <= EXTRA_MAX; extra++) {
		ap_fleet_t *north = receiver("north");
		ap_fleet_t *south = receiver("south");

		assert_true(find(b, "fleet", from, &m));
		rebuild(&m, SIZE_MAX, FLEET_TODAY, extra, &later);
		assert_true(receive(north, from, &later));
		check_fleet(b, north, from);
		assert_int_equal(ap_fleet_stats(north, NOW).skipped.fields, extra);
		assert_true(find(b, "waits", from, &m));
		rebuild(&m, SIZE_MAX, WAITS_TODAY, extra, &later);
		assert_true(receive(south, from, &later));
		assert_int_equal(ap_remote_pool(south, "north", "engines")->wait[0], 426 * AP_MSEC);
		assert_int_equal(ap_fleet_stats(south, NOW).skipped.fields, extra);
		ap_fleet_free(north);
		ap_fleet_free(south);
	}
}

static void test_fields_of_a_later_build_are_skipped(void **state)
{
	(void)state;
	each_build(later_announcement_is_read);
}

/* Packs @list again, each element with one more field. */
static void pack_wider(msgpack_packer *pk, const msgpack_object *list)
{
	msgpack_pack_array(pk, list->via.array.size);
	for (size_t i = 0; i < list->via.array.size; i++) {
		const msgpack_object *element = &list->via.array.ptr[i];

		msgpack_pack_array(pk, element->via.array.size + 1);
		for (size_t k = 0; k < element->via.array.size; k++)
			msgpack_pack_object(pk, element->via.array.ptr[k]);
		ap_wire_pack_str(pk, "a later field");
	}
}

/* Packs @in again, with wider elements in the lists of its body whose bits are set in @lists. */
static void widen(const bytes_t *in, unsigned lists, bytes_t *out)
{
	msgpack_unpacked message;
	msgpack_sbuffer buf;
	msgpack_packer pk;
	const msgpack_object *envelope;
	const msgpack_object *body;

	msgpack_unpacked_init(&message);
	assert_int_equal(msgpack_unpack_next(&message, (const char *)in->data, in->len, NULL),
			 MSGPACK_UNPACK_SUCCESS);
	envelope = message.data.via.array.ptr;
	body = &envelope[ENVELOPE];
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ENVELOPE + 2); /* the envelope is wider, too */
	for (size_t i = 0; i < ENVELOPE; i++)
		msgpack_pack_object(&pk, envelope[i]);
	msgpack_pack_array(&pk, body->via.array.size);
	for (size_t i = 0; i < body->via.array.size; i++) {
		if (lists & 1u << i)
			pack_wider(&pk, &body->via.array.ptr[i]);
		else
			msgpack_pack_object(&pk, body->via.array.ptr[i]);
	}
	ap_wire_pack_str(&pk, "a later field");
	assert_true(buf.size <= sizeof(out->data));
	memcpy(out->data, buf.data, buf.size);
	out->len = buf.size;
	msgpack_sbuffer_destroy(&buf);
	msgpack_unpacked_destroy(&message);
}

static void wider_elements_are_read(const build_t *b)
{
	ap_fleet_t *north = receiver("north");
	ap_fleet_t *south = receiver("south");
	unsigned open = FLEET_OPEN;
	char from[AP_NAME_MAX];
	bytes_t wider;
	bytes_t m;

	assert_true(find(b, "fleet", from, &m));
	if (!knows(b, "era")) /* has none of the later lists */
		open &= FLEET_OPEN_FIRST;
	widen(&m, open, &wider);
	assert_true(receive(north, from, &wider));
	check_fleet(b, north, from);
	assert_true(find(b, "waits", from, &m));
	widen(&m, WAITS_OPEN, &wider);
	assert_true(receive(south, from, &wider));
	assert_int_equal(ap_remote_pool(south, "north", "engines")->announced_at, NOW);
	ap_fleet_free(north);
	ap_fleet_free(south);
}

static void test_open_lists_may_get_wider_elements(void **state)
{
	(void)state;
	each_build(wider_elements_are_read);
}

static void shorter_announcement_is_read(const build_t *b)
{
	char from[AP_NAME_MAX];
	bytes_t shorter;
	bytes_t m;

	assert_true(find(b, "fleet", from, &m));
	for (size_t fields = 0; fields < 24; fields++) {
		ap_fleet_t *f = receiver("north");

		rebuild(&m, fields, 0, 0, &shorter);
		assert_int_equal(receive(f, from, &shorter), fields >= FLEET_MIN);
		ap_fleet_free(f);
	}
	assert_true(find(b, "waits", from, &m));
	for (size_t fields = 0; fields < 10; fields++) {
		ap_fleet_t *f = receiver("south");

		rebuild(&m, fields, 0, 0, &shorter);
		assert_int_equal(receive(f, from, &shorter), fields >= WAITS_MIN);
		ap_fleet_free(f);
	}
}

static void cut_announcement_is_refused(const build_t *b)
{
	static const char *const kinds[] = {"fleet", "waits"};

	for (size_t i = 0; i < 2; i++) {
		char from[AP_NAME_MAX];
		bytes_t m;
		size_t whole;

		assert_true(find(b, kinds[i], from, &m));
		whole = m.len;
		for (m.len = 0; m.len < whole; m.len++) {
			ap_fleet_t *f = receiver("north");

			assert_false(receive(f, from, &m));
			assert_int_equal(ap_member_find(f, from)->heard_at, 0);
			ap_fleet_free(f);
		}
	}
}

static void test_any_number_of_fields_is_read_and_no_cut_message(void **state)
{
	(void)state;
	each_build(shorter_announcement_is_read);
	each_build(cut_announcement_is_refused);
}

static bool is_line(const build_t *b, const char *line)
{
	for (size_t i = 0; i < b->n; i++) {
		if (strcmp(b->lines[i], line) == 0)
			return true;
	}
	return false;
}

static size_t lines_with(const build_t *b, const char *word)
{
	size_t n = 0;

	for (size_t i = 0; i < b->n; i++)
		n += strncmp(b->lines[i], word, strlen(word)) == 0;
	return n;
}

static void hashes_are_the_same(const build_t *b)
{
	for (unsigned i = 0; i < HASHES; i++) {
		uint64_t key = ap_hash_str("a key", i);
		uint64_t node = ap_hash_str("a longer name of a node", i);
		char line[AP_NAME_MAX * 2];

		snprintf(line, sizeof(line), "hash %u %016llx %016llx %.9g", i,
			 (unsigned long long)key, (unsigned long long)node,
			 ap_rendezvous(key, node, 1.0 + i));
		assert_true(is_line(b, line));
	}
}

static void owners_are_the_same(const build_t *b)
{
	for (int u = 0; u < 12; u++) {
		for (int i = 0; i < REGION; i++) {
			ap_fleet_t *f = instance("north", i, REGION, 0);
			char line[2 * AP_NAME_MAX];
			char id[AP_NAME_MAX];

			snprintf(id, sizeof(id), "c%d", u);
			snprintf(line, sizeof(line), "owner %s n%d", id, i);
			add_replica(f, id, "engines", 60 * AP_SEC);
			assert_int_equal(ap_owner_is_self(f, ap_replica_find(f, id), NOW),
					 is_line(b, line));
			ap_fleet_free(f);
		}
	}
}

typedef struct sender {
	const build_t *b;
	int number;
	size_t *n;
} sender_t;

static void on_sent(void *ctx, const char *to, const void *data, size_t len)
{
	const sender_t *s = ctx;
	char line[2 * AP_NAME_MAX];

	if (ap_wire_peek(data, len) != AP_WIRE_WAITS)
		return;
	snprintf(line, sizeof(line), "sender %s n%d", to, s->number);
	assert_true(is_line(s->b, line));
	++*s->n;
}

static void senders_and_watchers_are_the_same(const build_t *b)
{
	size_t watchers = 0;
	size_t senders = 0;

	for (int i = 0; i < REGION; i++) {
		ap_fleet_t *f = instance("north", i, REGION, REMOTE);
		sender_t s = {.b = b, .number = i, .n = &senders};
		ap_peer_port_t port = {.ctx = &s, .send = on_sent};
		char line[AP_NAME_MAX];
		int better = 0;

		ap_fleet_announce(f, &port, NOW);
		ap_fleet_free(f);
		for (int k = 0; k < REGION; k++) {
			char other[AP_NAME_MAX];

			snprintf(other, sizeof(other), "n%d", k);
			snprintf(line, sizeof(line), "n%d", i);
			better += ap_watcher_score(other) > ap_watcher_score(line);
		}
		snprintf(line, sizeof(line), "watcher n%d", i);
		assert_int_equal(better < 3, is_line(b, line));
		watchers += better < 3;
	}
	assert_int_equal(senders, lines_with(b, "sender "));
	assert_int_equal(watchers, lines_with(b, "watcher "));
}

/* Two builds that disagree would send twice what an upstream can take, or nothing. */
static void test_all_builds_choose_the_same_instances_by_hash(void **state)
{
	(void)state;
	each_build(hashes_are_the_same);
	each_build(owners_are_the_same);
	each_build(senders_and_watchers_are_the_same);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_announcements_of_earlier_builds_are_read),
		cmocka_unit_test(test_batches_of_earlier_builds_are_read),
		cmocka_unit_test(test_items_of_the_store_from_earlier_builds_are_read),
		cmocka_unit_test(test_records_of_earlier_builds_are_read),
		cmocka_unit_test(test_fields_of_a_later_build_are_skipped),
		cmocka_unit_test(test_open_lists_may_get_wider_elements),
		cmocka_unit_test(test_any_number_of_fields_is_read_and_no_cut_message),
		cmocka_unit_test(test_all_builds_choose_the_same_instances_by_hash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
