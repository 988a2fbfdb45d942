/* Envelope of the peer codec: round trip, wrong versions and malformed input. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "spread/private.h"
#include "wire/wire.h"

static void pack_sample(msgpack_sbuffer *buf)
{
	ap_wire_head_t head = {.kind = AP_WIRE_ONCE, .from = {1, 2}, .seq = 7};
	msgpack_packer pk;

	msgpack_sbuffer_init(buf);
	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	msgpack_pack_array(&pk, 2);
	ap_wire_pack_str(&pk, "text");
	msgpack_pack_int64(&pk, -3);
}

static void test_round_trip(void **state)
{
	msgpack_sbuffer buf;
	msgpack_zone zone;
	msgpack_object body;
	ap_wire_head_t head;
	ap_wire_reader_t r;
	char text[8];

	(void)state;
	pack_sample(&buf);
	msgpack_zone_init(&zone, 1024);
	assert_int_equal(ap_wire_open(buf.data, buf.size, &zone, &head, &body, NULL), AP_WIRE_OK);
	assert_int_equal(head.kind, AP_WIRE_ONCE);
	assert_true(ap_id_eq(head.from, (ap_id_t){1, 2}));
	assert_int_equal(head.seq, 7);
	r = ap_wire_reader(&body);
	ap_wire_str(&r, text, sizeof(text));
	assert_string_equal(text, "text");
	assert_int_equal(ap_wire_i64(&r), -3);
	assert_true(r.ok);
	ap_wire_u64(&r);
	assert_false(r.ok);
	msgpack_zone_destroy(&zone);
	msgpack_sbuffer_destroy(&buf);
}

static void test_cut_and_changed_bytes_are_refused_cleanly(void **state)
{
	msgpack_sbuffer buf;
	ap_rng_t rng;

	(void)state;
	pack_sample(&buf);
	ap_rng_seed(&rng, 11);
	for (int i = 0; i < 20000; i++) {
		msgpack_zone zone;
		msgpack_object body;
		ap_wire_head_t head;
		size_t len = ap_rng_below(&rng, buf.size + 1);
		size_t at = ap_rng_below(&rng, buf.size);
		char kept = buf.data[at];

		buf.data[at] = (char)ap_rng_u64(&rng);
		msgpack_zone_init(&zone, 1024);
		ap_wire_open(buf.data, len, &zone, &head, &body, NULL);
		msgpack_zone_destroy(&zone);
		buf.data[at] = kept;
	}
	msgpack_sbuffer_destroy(&buf);
}

/* Guards against a list with an element of another type that is read without end. */
static void test_a_list_of_ids_with_another_element_is_refused(void **state)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	msgpack_unpacked body;
	ap_spread_message_t msg;

	(void)state;
	for (int i = 0; i < 3; i++) {
		msgpack_sbuffer_init(&buf);
		msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
		msgpack_pack_array(&pk, 5);
		msgpack_pack_uint32(&pk, AP_SPREAD_DIGEST);
		msgpack_pack_uint64(&pk, 7);
		ap_wire_pack_id(&pk, (ap_id_t){1, 2});
		msgpack_pack_array(&pk, 3);
		for (int k = 0; k < 3; k++) {
			if (k == i)
				msgpack_pack_array(&pk, 0);
			else
				ap_wire_pack_id(&pk, (ap_id_t){1, 2});
		}
		ap_wire_pack_bin(&pk, "", 0);
		msgpack_unpacked_init(&body);
		assert_true(msgpack_unpack_next(&body, buf.data, buf.size, NULL));
		assert_false(ap_wire_read_spread(&body.data, &msg));
		msgpack_unpacked_destroy(&body);
		msgpack_sbuffer_destroy(&buf);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_cut_and_changed_bytes_are_refused_cleanly),
		cmocka_unit_test(test_a_list_of_ids_with_another_element_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
