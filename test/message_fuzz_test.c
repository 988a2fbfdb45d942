/*
 * Messages between instances and records of the store with random changes from fixed seeds: nothing
 * crashes, no conversion or sum overflows, and an instance goes on to understand what is sound.
 */
#include "builds_world.h"
#include "platform/host.h"

#include "follow/follow.h"

#define ROUNDS 20000
#define CHANGES_MAX 4

static const char *const records[] = {
	"{\"service\":\"p\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"z1\",\"version\":\"v1\","
	"\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":1500,\"drainLeftMs\":200,\"seq\":4}",
	"{\"region\":\"r\",\"data_centre\":\"d\",\"host\":\"10.0.0.1\",\"caller_port\":80,"
	"\"peer_port\":81,\"cores\":0.25,\"leaving\":false,\"speaks\":1,\"wire\":[2,2]}",
	"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"x\",\"prefix\":\"/a/\",\"kind\":"
	"\"stream\",\"timeoutMs\":5000,\"goalMs\":1000,\"priority\":1,\"split\":[{\"service\":"
	"\"p\",\"weight\":90}],\"attempts\":2,\"gapAimMs\":1200,\"homeRegions\":[\"n\"]}],"
	"\"services\":[{\"name\":\"p\",\"maxConns\":360,\"warmupS\":3.0,\"warmupPerS\":4.5,"
	"\"engine\":{\"slots\":64,\"kvTokens\":1000}}]}",
};

/* Changes, cuts or doubles some bytes; numbers of messages often become large ones. */
static void change(ap_rng_t *rng, bytes_t *m)
{
	static const unsigned char marks[] = {0xcf, 0xce, 0xdc, 0xdd, 0xff, 0x80, 0x90, 0x00,
					      '9',  'e',  '-',	'[',  '"',  '}',  '.',	'0'};
	size_t changes = 1 + ap_rng_below(rng, CHANGES_MAX);

	for (size_t i = 0; i < changes && m->len > 1; i++) {
		size_t at = ap_rng_below(rng, m->len);

		switch (ap_rng_below(rng, 4)) {
		case 0:
			m->data[at] = (unsigned char)ap_rng_u64(rng);
			break;
		case 1:
			m->data[at] = marks[ap_rng_below(rng, sizeof(marks))];
			break;
		case 2:
			m->len = at > 0 ? at : 1;
			break;
		default:
			memmove(m->data + at, m->data + at / 2, m->len - at);
			break;
		}
	}
}

static void on_passed_on(void *ctx, const char *origin, const void *data, size_t len)
{
	ap_fleet_receive(ctx, origin, data, len, NOW);
}

static void receive_kind(ap_fleet_t *f, const char *kind, const char *from, const bytes_t *m,
			 ap_usec_t now)
{
	if (strcmp(kind, "batch") == 0)
		ap_fleet_open_batch(f, from, m->data, m->len, now, f, on_passed_on);
	else
		ap_fleet_receive(f, from, m->data, m->len, now);
	ap_fleet_tick(f, now);
	/* The next message isn't taken for an old one. */
	if (ap_member_find(f, from))
		ap_member_find(f, from)->heard_seq = 0;
}

static void drop_message(void *ctx, const char *to, const void *data, size_t len)
{
	(void)to;
	(void)data;
	*(size_t *)ctx += len;
}

static void test_changed_messages_of_instances(void **state)
{
	static const char *const kinds[] = {"fleet", "waits", "batch"};
	ap_fleet_t *f = instance("north", 1, REGION, REMOTE);
	size_t sent = 0;
	ap_peer_port_t port = {.ctx = &sent, .send = drop_message};
	static build_t b;
	ap_rng_t rng;

	(void)state;
	load_build("2fb350c", &b);
	add_replica(f, "e1", "engines", 0);
	ap_rng_seed(&rng, 7);
	for (int i = 0; i < ROUNDS; i++) {
		const char *kind = kinds[ap_rng_below(&rng, 3)];
		ap_usec_t now = NOW + i * 10 * AP_MSEC;
		char from[AP_NAME_MAX];
		bytes_t m;

		assert_true(find(&b, kind, from, &m));
		change(&rng, &m);
		receive_kind(f, kind, from, &m, now);
		ap_fleet_announce(f, &port, now);
	}
	assert_true(sent > 0);
	ap_fleet_free(f);
}

/* The announcements of today, which end with the versions of the streams' weights. */
typedef struct today {
	bytes_t fleet;
	bytes_t waits;
} today_t;

static void keep_message(void *ctx, const char *to, const void *data, size_t len)
{
	today_t *today = ctx;
	bytes_t *m = ap_wire_peek(data, len) == AP_WIRE_WAITS ? &today->waits : &today->fleet;

	(void)to;
	assert_true(len <= sizeof(m->data));
	memcpy(m->data, data, len);
	m->len = len;
}

/* Returns the number of the instance of north that made both messages. */
static int make_messages(today_t *today)
{
	for (int number = 0; number < REGION; number++) {
		ap_fleet_t *f = instance("north", number, REGION, REMOTE);
		ap_peer_port_t port = {.ctx = today, .send = keep_message};

		*today = (today_t){0};
		add_replica(f, "e1", "engines", 0);
		add_replica(f, "e2", "engines", 0);
		ap_fleet_weights_seen(f, "e1", 0, 1, START);
		ap_fleet_weights_seen(f, "e2", 0, UINT32_MAX, START);
		for (unsigned i = 0; i < 12; i++) {
			ap_stream_source_t source = {.build = 1 + i % 2,
						     .weights = i % 3 ? UINT32_MAX : i,
						     .since = i % 4 ? 0 : 100000 * i};
			char id[24];

			snprintf(id, sizeof(id), "stream-%u", i);
			ap_fleet_stream_served(f, id, &source, START);
		}
		ap_fleet_announce(f, &port, NOW);
		ap_fleet_free(f);
		if (today->waits.len > 0)
			return number;
	}
	fail();
	return 0;
}

/* Guards against a field of versions that crashes an instance, or lets it take in half of it. */
static void test_changed_versions_of_streams(void **state)
{
	ap_fleet_t *fleets[] = {instance("north", REGION, REGION + 1, REMOTE),
				instance("south", 1, REGION, REMOTE)};
	static today_t today;
	int sender = make_messages(&today);
	size_t taken = 0;
	ap_rng_t rng;

	(void)state;
	ap_rng_seed(&rng, 10);
	for (int i = 0; i < ROUNDS; i++) {
		bool waits = ap_rng_below(&rng, 2) == 0;
		bytes_t m = waits ? today.waits : today.fleet;
		ap_fleet_t *f = fleets[waits];
		char from[AP_NAME_MAX];
		uint64_t before = f->n_streams;

		snprintf(from, sizeof(from), "n%d", sender);
		/* Half of the changes are in the last bytes, where the versions are. */
		if (i % 2 == 0) {
			bytes_t end = {.len = m.len < 60 ? m.len : 60};

			memcpy(end.data, m.data + m.len - end.len, end.len);
			m.len -= end.len;
			change(&rng, &end);
			memcpy(m.data + m.len, end.data, end.len);
			m.len += end.len;
		} else if (i % 100 != 1) {
			change(&rng, &m);
		}
		receive_kind(f, waits ? "waits" : "fleet", from, &m, NOW + i * 10 * AP_MSEC);
		taken += f->n_streams > before;
		/* A sound one is understood. */
		if (i % 100 == 1)
			assert_int_equal(f->n_streams - before, 12);
	}
	assert_true(taken > ROUNDS / 100);
	for (size_t i = 0; i < 2; i++)
		ap_fleet_free(fleets[i]);
}

#define ARRAYS_FIRST 5 /* fields of an answer, which earlier instances don't send: regions, */
#define ARRAYS_LAST 6  /* and builds that lapsed */

static bool is_array(ap_wire_kind_t kind, size_t i)
{
	return kind == AP_WIRE_STREAM_ANSWER && i >= ARRAYS_FIRST && i <= ARRAYS_LAST;
}

/* A question or an answer of @n fields, number @wrong of which is of another type. */
static void make_stream_message(bytes_t *m, ap_wire_kind_t kind, size_t n, size_t wrong)
{
	ap_wire_out_t out;

	ap_wire_out_begin(&out, kind, (ap_id_t){.hi = 8, .lo = 1}, 1);
	msgpack_pack_array(&out.pk, n);
	for (size_t i = 0; i < n; i++) {
		if (is_array(kind, i) != (i == wrong)) {
			msgpack_pack_array(&out.pk, is_array(kind, i) ? 3 : 0);
			for (size_t k = 0; k < 3 && is_array(kind, i); k++)
				msgpack_pack_uint64(&out.pk, 1 + k);
		} else if (i == 4)
			ap_wire_pack_str(&out.pk, "engines");
		else
			msgpack_pack_uint64(&out.pk, 1 + i);
	}
	m->len = out.buf.size;
	memcpy(m->data, out.buf.data, m->len);
	ap_wire_out_end(&out);
}

/* Returns whether the message was read; nothing is kept or sent of one that wasn't. */
static bool takes(ap_fleet_t *f, const bytes_t *m)
{
	size_t sent = 0;
	ap_peer_port_t port = {.ctx = &sent, .send = drop_message};
	uint64_t before = f->n_streams;
	bool ok = ap_fleet_receive_stream(f, &port, "n2", m->data, m->len, NOW);

	assert_true(ok || (sent == 0 && f->n_streams == before));
	return ok;
}

/* Guards against a question or an answer that crashes an instance, or that it reads in part. */
static void test_changed_questions_and_answers(void **state)
{
	ap_fleet_t *f = instance("north", 1, REGION, REMOTE);
	ap_rng_t rng;

	(void)state;
	ap_rng_seed(&rng, 11);
	for (int i = 0; i < ROUNDS; i++) {
		size_t fields = i % 2 ? 5 : 2;
		ap_wire_kind_t kind = i % 2 ? AP_WIRE_STREAM_ANSWER : AP_WIRE_STREAM_QUESTION;
		size_t n = ap_rng_below(&rng, 9);
		size_t wrong = ap_rng_below(&rng, 9);
		bool no_array;
		bytes_t m;

		make_stream_message(&m, kind, n, wrong);
		no_array = is_array(kind, wrong) && n > wrong;
		assert_int_equal(takes(f, &m), n >= fields && wrong >= fields && !no_array);
		m.len = ap_rng_below(&rng, m.len);
		assert_false(takes(f, &m));
		make_stream_message(&m, kind, i % 2 ? ARRAYS_LAST + 1 : fields, SIZE_MAX);
		change(&rng, &m);
		takes(f, &m);
	}
	ap_fleet_free(f);
}

static void op_list(void *ctx, const char *after)
{
	(void)ctx;
	(void)after;
}

static void op_watch(void *ctx, uint64_t revision, ap_usec_t wait)
{
	(void)ctx;
	(void)revision;
	(void)wait;
}

static void op_listing(void *ctx, bool begin)
{
	(void)ctx;
	(void)begin;
}

static void op_item(void *ctx, const ap_store_item_t *item)
{
	*(size_t *)ctx += item->len + strlen(item->key);
}

static void test_changed_relays_of_the_store(void **state)
{
	size_t seen = 0;
	ap_follow_config_t config = {
		.interval = AP_SEC,
		.wait = AP_SEC,
		.unavailable_after = 2 * AP_SEC,
		.recovery_time = 2 * AP_SEC,
		.ctx = &seen,
		.list = op_list,
		.watch = op_watch,
		.listing = op_listing,
		.item = op_item,
	};
	ap_follow_t *follow = ap_follow_new(&config, NOW);
	ap_store_read_t listed = {.end = AP_STORE_OK, .as_of = 1};
	static build_t b;
	ap_rng_t rng;

	(void)state;
	load_build("2fb350c", &b);
	ap_follow_tick(follow, NOW);
	ap_follow_response(follow, &listed, NOW);
	ap_rng_seed(&rng, 8);
	for (int i = 0; i < ROUNDS; i++) {
		char from[AP_NAME_MAX];
		bytes_t m;

		assert_true(find(&b, "changes", from, &m));
		change(&rng, &m);
		ap_changes_apply(follow, m.data, m.len, NOW + i);
		ap_changes_pass_on(follow, m.data, m.len);
	}
	ap_follow_free(follow);
}

static void decode(size_t kind, const bytes_t *m, ap_fleet_t *f, ap_usec_t now)
{
	ap_replica_entry_t entry;
	ap_plan_t *plan = NULL;
	ap_member_t member;
	ap_err_t err;

	if (kind == 0 && ap_host_parse_replica("i", m->data, m->len, &entry, &err) == AP_HOST_OK)
		ap_fleet_update_replica(f, &entry, now);
	if (kind == 1 && ap_host_parse_member("n", m->data, m->len, &member, &err) == AP_HOST_OK)
		ap_fleet_update_member(f, &member, now);
	if (kind == 2 && ap_host_parse_plan(m->data, m->len, &plan, &err) == AP_HOST_OK)
		ap_plan_unref(plan);
	ap_fleet_tick(f, now);
}

static void test_changed_records_of_the_store(void **state)
{
	ap_fleet_t *f = instance("north", 1, REGION, REMOTE);
	ap_rng_t rng;

	(void)state;
	ap_rng_seed(&rng, 9);
	for (int i = 0; i < ROUNDS; i++) {
		size_t kind = ap_rng_below(&rng, sizeof(records) / sizeof(records[0]));
		bytes_t m = {.len = strlen(records[kind])};

		memcpy(m.data, records[kind], m.len);
		change(&rng, &m);
		decode(kind, &m, f, NOW + i * AP_MSEC);
	}
	ap_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changed_messages_of_instances),
		cmocka_unit_test(test_changed_versions_of_streams),
		cmocka_unit_test(test_changed_questions_and_answers),
		cmocka_unit_test(test_changed_relays_of_the_store),
		cmocka_unit_test(test_changed_records_of_the_store),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
