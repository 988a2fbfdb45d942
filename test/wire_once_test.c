/* Bodies of permit messages: round trip of each kind, wrong fields, and random damage. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "wire/wire.h"

static void pack(msgpack_sbuffer *buf, const ap_once_msg_t *msg)
{
	ap_wire_head_t head = {.kind = AP_WIRE_ONCE, .from = {1, 2}, .seq = 7};
	msgpack_packer pk;

	msgpack_sbuffer_init(buf);
	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	ap_wire_pack_once(&pk, msg);
}

static ap_wire_status_t unpack(const msgpack_sbuffer *buf, msgpack_zone *zone, ap_wire_once_t *out)
{
	msgpack_object body;
	ap_wire_head_t head;
	ap_wire_status_t status = ap_wire_open(buf->data, buf->size, zone, &head, &body, NULL);

	return status == AP_WIRE_OK ? ap_wire_read_once(&head, &body, out, NULL) : status;
}

static ap_once_msg_t sample(ap_once_msg_kind_t kind, const ap_once_item_t *items)
{
	ap_once_msg_t msg = {
		.kind = kind,
		.about = {3, 4},
		.xid = {{5, 6}, 7},
		.number = 8,
		.clock = -9,
		.verdict = AP_ONCE_USED,
		.outcome = AP_OUTCOME_NOT_RUN,
		.last = true,
		.key = {10},
		.tag = {11},
		.text = "permit",
		.response = "answer",
		.len = 6,
		.items = items,
		.n_items = kind == AP_ONCE_MSG_HANDOVER ? AP_ONCE_ITEMS_MAX : 0,
	};

	return msg;
}

static void test_each_kind_comes_back(void **state)
{
	ap_once_item_t items[AP_ONCE_ITEMS_MAX] = {[63] = {.xid = {{1, 2}, 3},
							   .outcome = 1,
							   .left = -4,
							   .tag = {5},
							   .response = "x",
							   .len = 1}};

	(void)state;
	for (int kind = AP_ONCE_MSG_PROBE; kind <= AP_ONCE_MSG_LAST; kind++) {
		ap_once_msg_t msg = sample((ap_once_msg_kind_t)kind, items);
		msgpack_sbuffer buf;
		msgpack_zone zone;
		ap_wire_once_t got = {0};

		pack(&buf, &msg);
		msgpack_zone_init(&zone, 1024);
		assert_int_equal(unpack(&buf, &zone, &got), AP_WIRE_OK);
		assert_int_equal(got.msg.kind, kind);
		assert_true(ap_id_eq(got.msg.from, (ap_id_t){1, 2}));
		assert_true(ap_id_eq(got.msg.about, msg.about));
		assert_true(ap_xid_eq(got.msg.xid, msg.xid));
		assert_int_equal(got.msg.number, 8);
		assert_true(got.msg.clock == -9);
		assert_int_equal(got.msg.verdict, AP_ONCE_USED);
		assert_int_equal(got.msg.outcome, AP_OUTCOME_NOT_RUN);
		assert_true(got.msg.last);
		assert_int_equal(got.msg.key[0], kind == AP_ONCE_MSG_PROBE ? 10 : 0);
		assert_int_equal(got.msg.tag[0], kind == AP_ONCE_MSG_BEGIN ? 11 : 0);
		assert_string_equal(got.msg.text, "permit");
		assert_int_equal(got.msg.len, 6);
		assert_memory_equal(got.msg.response, "answer", 6);
		assert_int_equal(got.msg.n_items, msg.n_items);
		if (msg.n_items > 0)
			assert_memory_equal(got.msg.items[63].tag, items[63].tag, 16);
		msgpack_zone_destroy(&zone);
		msgpack_sbuffer_destroy(&buf);
	}
}

static void test_wrong_fields_are_refused(void **state)
{
	static const struct {
		size_t n_items;
		ap_usec_t clock;
		int kind;
		int verdict;
	} wrong[] = {
		{0, INT64_MAX, AP_ONCE_MSG_BEGIN, 0},
		{0, INT64_MIN, AP_ONCE_MSG_BEGIN, 0},
		{0, 0, 0, 0},
		{0, 0, AP_ONCE_MSG_LAST + 1, 0},
		{0, 0, AP_ONCE_MSG_QUERY_RESPONSE, AP_ONCE_REFUSED + 1},
		{AP_ONCE_ITEMS_MAX + 1, 0, AP_ONCE_MSG_HANDOVER, 0},
	};
	ap_once_item_t items[AP_ONCE_ITEMS_MAX + 1] = {0};

	(void)state;
	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		ap_once_msg_t msg = {.kind = (ap_once_msg_kind_t)wrong[i].kind,
				     .clock = wrong[i].clock,
				     .verdict = (ap_once_verdict_kind_t)wrong[i].verdict,
				     .items = items,
				     .n_items = wrong[i].n_items};
		msgpack_sbuffer buf;
		msgpack_zone zone;
		ap_wire_once_t got = {0};

		pack(&buf, &msg);
		msgpack_zone_init(&zone, 1024);
		assert_int_equal(unpack(&buf, &zone, &got), AP_WIRE_MALFORMED);
		msgpack_zone_destroy(&zone);
		msgpack_sbuffer_destroy(&buf);
	}
}

/* A damaged message is refused, or read as a message whose fields are within their bounds. */
static void test_damage_does_no_harm(void **state)
{
	ap_once_item_t items[AP_ONCE_ITEMS_MAX] = {{.left = 1, .response = "abc", .len = 3}};
	unsigned read = 0;
	ap_rng_t rng;

	(void)state;
	ap_rng_seed(&rng, 17);
	for (int i = 0; i < 60000; i++) {
		int kind = AP_ONCE_MSG_PROBE + i % AP_ONCE_MSG_LAST;
		ap_once_msg_t msg = sample((ap_once_msg_kind_t)kind, items);
		msgpack_sbuffer buf;
		msgpack_zone zone;
		ap_wire_once_t got = {0};

		pack(&buf, &msg);
		for (uint64_t n = 1 + ap_rng_below(&rng, 4); n > 0; n--)
			buf.data[ap_rng_below(&rng, buf.size)] = (char)ap_rng_u64(&rng);
		if (ap_rng_below(&rng, 3) == 0)
			buf.size = ap_rng_below(&rng, buf.size);
		msgpack_zone_init(&zone, 1024);
		if (unpack(&buf, &zone, &got) == AP_WIRE_OK) {
			read++;
			assert_in_range(got.msg.kind, AP_ONCE_MSG_PROBE, AP_ONCE_MSG_LAST);
			assert_true(got.msg.n_items <= AP_ONCE_ITEMS_MAX);
			assert_true(strlen(got.text) < AP_PERMIT_TEXT_MAX);
			assert_true(got.msg.len <= buf.size);
		}
		msgpack_zone_destroy(&zone);
		msgpack_sbuffer_destroy(&buf);
	}
	assert_true(read > 1000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_kind_comes_back),
		cmocka_unit_test(test_wrong_fields_are_refused),
		cmocka_unit_test(test_damage_does_no_harm),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
