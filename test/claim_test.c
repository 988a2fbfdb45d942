/* Claims by idempotency key against a store that is down, slow, contended or loses answers. */
#include "claim_world.h"

static const struct {
	const char *name;
	fault_t read;
	fault_t write;
	bool once;	      /* only the first write meets its fault */
	ap_once_kind_t first; /* of the first use, at entry 0 */
	ap_once_kind_t again; /* of a second one there, the store being well */
	ap_once_kind_t other; /* of a third one at entry 1 */
	unsigned goes;
} cases[] = {
	{"store well", FAULT_NONE, FAULT_NONE, false, AP_ONCE_GO, AP_ONCE_USED, AP_ONCE_USED, 1},
	{"store down", FAULT_DOWN, FAULT_DOWN, false, AP_ONCE_NOT_RUN, AP_ONCE_GO, AP_ONCE_USED, 1},
	{"store goes down", FAULT_NONE, FAULT_DOWN, false, AP_ONCE_NOT_RUN, AP_ONCE_GO,
	 AP_ONCE_USED, 1},
	{"answer lost", FAULT_NONE, FAULT_LOST_ANSWER, true, AP_ONCE_GO, AP_ONCE_USED, AP_ONCE_USED,
	 1},
	{"write lost", FAULT_NONE, FAULT_LOST, true, AP_ONCE_GO, AP_ONCE_USED, AP_ONCE_USED, 1},
	{"write late", FAULT_NONE, FAULT_LATE, true, AP_ONCE_GO, AP_ONCE_USED, AP_ONCE_USED, 1},
	{"every write lost", FAULT_NONE, FAULT_LOST, false, AP_ONCE_NOT_RUN, AP_ONCE_GO,
	 AP_ONCE_USED, 1},
	{"store silent", FAULT_NONE, FAULT_SILENT, false, AP_ONCE_NOT_RUN, AP_ONCE_GO, AP_ONCE_USED,
	 1},
	{"read silent", FAULT_SILENT, FAULT_NONE, false, AP_ONCE_NOT_RUN, AP_ONCE_GO, AP_ONCE_USED,
	 1},
};

static void test_each_fault_of_the_store(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		claim_world_t *b = start();

		b->read_fault = cases[i].read;
		b->write_fault = cases[i].write;
		b->write_fault_once = cases[i].once;
		use(b, 0, 1);
		run(b, 2 * AP_SEC);
		if (b->last != cases[i].first)
			print_message("%s: first %d\n", cases[i].name, b->last);
		assert_int_equal(b->last, cases[i].first);
		b->read_fault = FAULT_NONE;
		b->write_fault = FAULT_NONE;
		use(b, 0, 1);
		run(b, 2 * AP_SEC);
		assert_int_equal(b->last, cases[i].again);
		use(b, 1, 1);
		run(b, 70 * AP_SEC);
		assert_int_equal(b->last, cases[i].other);
		assert_int_equal(b->goes, cases[i].goes);
		assert_int_equal(b->broken + b->program, 0);
		stop(b);
	}
}

static void test_of_two_at_once_one_goes(void **state)
{
	claim_world_t *b = start();

	(void)state;
	for (size_t key = 0; key < 50; key++) {
		use(b, 0, key);
		use(b, 1, key);
		assert_int_equal(use(b, 1, key), AP_ONCE_RUNNING);
		run(b, 50 * AP_MSEC);
	}
	assert_int_equal(b->goes, 50);
	assert_int_equal(b->broken + b->program, 0);
	stop(b);
}

static void test_an_old_claim_gives_no_leave(void **state)
{
	claim_world_t *b = start();
	uint64_t token;

	(void)state;
	b->hold = true;
	use(b, 0, 1);
	token = b->last_token * 1000000 + 11;
	run(b, 10 * AP_MSEC);
	assert_int_equal(b->last, AP_ONCE_GO);
	/* Paused for a day after the claim: by now another entry may run it, and does. */
	b->hold = false;
	b->now += 24 * 3600 * AP_SEC + 2 * AP_SEC;
	use(b, 1, 1);
	run(b, 10 * AP_MSEC);
	assert_int_equal(b->goes, 1);
	assert_false(ap_claims_dispatch(b->claims[0], token, b->now));
	/* The lapsed claim left the slot. */
	assert_int_equal(b->n_slots, 1);
	assert_int_equal(b->slots[0].len, 48);
	assert_int_equal(b->program, 0);
	assert_false(ap_claims_dispatch(b->claims[1], 12345, b->now));
	assert_int_equal(b->program, 1);
	stop(b);
}

static void test_the_store_holds_only_hashes(void **state)
{
	claim_world_t *b = start();

	(void)state;
	use(b, 0, 77);
	run(b, 10 * AP_MSEC);
	assert_int_equal(b->n_slots, 1);
	assert_non_null(strstr(b->slots[0].key, "/north/"));
	assert_null(memmem(b->slots[0].value, b->slots[0].len, "load", 4));
	assert_null(strstr(b->slots[0].key, "load"));
	stop(b);
}

static unsigned run_random(fault_t fault, uint64_t seed)
{
	claim_world_t *b = start();
	unsigned broken;

	ap_rng_seed(&b->rng, seed);
	b->random_faults = fault == FAULT_NONE;
	b->net = NET_RANDOM;
	b->write_fault = fault;
	for (int i = 0; i < 40000; i++) {
		size_t newest = (size_t)i / 4;
		size_t back = ap_rng_below(&b->rng, 8);

		use(b, (int)ap_rng_below(&b->rng, ENTRIES), newest > back ? newest - back : 0);
		if (i % 8 == 0)
			run(b, STORE_DELAY);
	}
	run(b, 70 * AP_SEC);
	broken = b->broken;
	print_message("%u calls went ahead, %u broke the rule\n", b->goes, broken);
	assert_true(b->goes > 2000);
	assert_int_equal(b->program, 0);
	stop(b);
	return broken;
}

static void test_random_runs_go_at_most_once(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 3; seed++)
		assert_int_equal(run_random(FAULT_NONE, seed), 0);
	/* A store that does not compare lets a key run twice, and that is seen. */
	assert_true(run_random(FAULT_IGNORES_INDEX, 1) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_fault_of_the_store),
		cmocka_unit_test(test_of_two_at_once_one_goes),
		cmocka_unit_test(test_an_old_claim_gives_no_leave),
		cmocka_unit_test(test_the_store_holds_only_hashes),
		cmocka_unit_test(test_random_runs_go_at_most_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
