/*
 * Distribution of the configuration: conflicts, lost responses, stores that are unavailable, slow
 * or reset to an older state.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "spread_world.h"

static void test_change_reaches_all_and_writes_one_segment(void **state)
{
	fleet_t *f = fleet_new(MAX);
	json_t *doc = document(1800);
	uint64_t writes;

	(void)state;
	assert_int_equal(propose(f, 2, doc, 0).status, AP_SPREAD_OK);
	run_for(f, 17);
	assert_all_at(f, 1);
	for (int i = 0; i < f->n; i++) {
		assert_true(ap_spread_ready(f->nodes[i].s, f->sim.now, NULL));
		assert_int_equal(ap_spread_current(f->nodes[i].s)->n_callers, 1800);
	}
	writes = f->store.writes;
	set_field(doc, "c7", "rate", 9);
	assert_int_equal(propose(f, 3, doc, 1).status, AP_SPREAD_OK);
	assert_int_equal(f->store.writes - writes, 2);
	run_for(f, 17);
	assert_all_at(f, 2);
	json_decref(doc);
	fleet_free(f);
}

static void test_invalid_document_names_object_and_field(void **state)
{
	fleet_t *f = fleet_new(3);
	json_t *doc = document(3);
	proposal_result_t a;

	(void)state;
	set_field(doc, "c1", "home", 4);
	a = propose(f, 0, doc, 0);
	assert_int_equal(a.status, AP_SPREAD_INVALID);
	assert_non_null(strstr(a.err.text, "c1"));
	assert_non_null(strstr(a.err.text, "home"));
	assert_int_equal(f->store.writes, 0);
	json_decref(doc);
	fleet_free(f);
}

static void test_two_operators_disjoint_fields_merge_same_field_conflicts(void **state)
{
	fleet_t *f = fleet_new(6);
	json_t *mine = document(4), *theirs = document(4), *late = document(4);
	proposal_result_t a = {0}, b = {0};

	(void)state;
	assert_int_equal(propose(f, 0, mine, 0).status, AP_SPREAD_OK);
	run_for(f, 17);
	set_field(mine, "c1", "rate", 7);
	set_field(theirs, "c2", "rate", 8);
	set_field(late, "c2", "rate", 9);
	ap_spread_propose(f->nodes[1].s, mine, 1, 1, f->sim.now, on_proposed, &a);
	ap_spread_propose(f->nodes[2].s, theirs, 1, 1, f->sim.now, on_proposed, &b);
	run_for(f, 20);
	assert_int_equal(a.status, AP_SPREAD_OK);
	assert_int_equal(b.status, AP_SPREAD_OK);
	assert_int_not_equal(a.generation, b.generation);
	assert_all_at(f, 3);
	for (int i = 0; i < f->n; i++) {
		json_t *all = json_object_get(ap_spread_current(f->nodes[i].s)->json, "caller");
		json_t *c1 = json_object_get(all, "c1"), *c2 = json_object_get(all, "c2");

		assert_int_equal(json_number_value(json_object_get(c1, "rate")), 7);
		assert_int_equal(json_number_value(json_object_get(c2, "rate")), 8);
	}
	a = propose(f, 3, late, 1);
	assert_int_equal(a.status, AP_SPREAD_CONFLICT);
	assert_non_null(strstr(a.err.text, "c2/rate"));
	assert_true(a.fields >= 1);
	assert_all_at(f, 3);
	json_decref(mine);
	json_decref(theirs);
	json_decref(late);
	fleet_free(f);
}

/* Asserts that the head in the store lists @generation with the same nonce as instance 0. */
static void assert_stored(fleet_t *f, uint64_t generation)
{
	const fake_key_t *key = fake_key(&f->store, AP_SPREAD_HEAD_KEY, false);
	json_t *head = json_loadb(key->value, key->len, 0, NULL);
	json_t *own = ap_spread_history(f->nodes[0].s);
	size_t found = 0, i, k;
	json_t *a, *b;

	json_array_foreach (json_object_get(head, "history"), i, a) {
		json_array_foreach (own, k, b) {
			found += json_equal(a, b) &&
				 json_integer_value(json_object_get(a, "generation")) ==
					 (json_int_t)generation;
		}
	}
	assert_int_equal(found, 1);
	json_decref(head);
	json_decref(own);
}

/* Whichever responses are lost, OK means stored once and UNAVAILABLE means not stored. */
static void test_lost_store_responses_are_resolved(void **state)
{
	fleet_t *f = fleet_new(3);
	json_t *doc = document(40);
	int ok = 0;

	(void)state;
	f->store.response_loss = 0.3;
	for (int round = 1; round <= 200; round++) {
		uint64_t before = ap_spread_generation(f->nodes[0].s);
		proposal_result_t a;
		bool changed;

		set_field(doc, "c1", "rate", round + 10);
		a = propose(f, 0, doc, before);
		run_for(f, 5);
		changed = ap_spread_generation(f->nodes[0].s) > before;
		if (a.status == AP_SPREAD_OK) {
			assert_int_equal(a.generation, before + 1);
			assert_true(changed);
			assert_stored(f, a.generation);
		} else if (a.status != AP_SPREAD_UNSURE) {
			assert_int_equal(a.status, AP_SPREAD_UNAVAILABLE);
			assert_false(changed);
		}
		ok += a.status == AP_SPREAD_OK;
	}
	assert_true(ok > 100);
	json_decref(doc);
	fleet_free(f);
}

static void test_writes_without_any_response_are_resolved_by_reading(void **state)
{
	fleet_t *f = fleet_new(3);
	json_t *doc = document(40);
	proposal_result_t a;

	(void)state;
	f->store.lose_write_responses = true;
	a = propose(f, 0, doc, 0);
	assert_int_equal(a.status, AP_SPREAD_OK);
	assert_stored(f, a.generation);
	set_field(doc, "c1", "rate", 11);
	a = propose(f, 1, doc, a.generation);
	assert_int_equal(a.status, AP_SPREAD_OK);
	assert_stored(f, a.generation);
	json_decref(doc);
	fleet_free(f);
}

static void test_store_unavailable_changes_nothing_and_restarts_use_peers(void **state)
{
	fleet_t *f = fleet_new(9);
	json_t *doc = document(100);
	ap_err_t why;

	(void)state;
	assert_int_equal(propose(f, 0, doc, 0).status, AP_SPREAD_OK);
	run_for(f, 17);
	fake_store_set_unreachable(&f->store, true);
	set_field(doc, "c1", "rate", 3);
	assert_int_equal(propose(f, 0, doc, 1).status, AP_SPREAD_UNAVAILABLE);
	start(f, 4);
	set_entries(f);
	assert_false(ap_spread_ready(f->nodes[4].s, f->sim.now, &why));
	assert_non_null(strstr(why.text, "no configuration"));
	run_for(f, 15);
	assert_true(ap_spread_ready(f->nodes[4].s, f->sim.now, NULL));
	run_for(f, 3600);
	assert_all_at(f, 1);
	fake_store_set_unreachable(&f->store, false);
	run_for(f, 90);
	assert_int_equal(propose(f, 0, doc, 1).status, AP_SPREAD_OK);
	run_for(f, 17);
	assert_all_at(f, 2);
	json_decref(doc);
	fleet_free(f);
}

static void test_slow_store_only_slows_changes(void **state)
{
	fleet_t *f = fleet_new(6);
	json_t *doc = document(4);

	(void)state;
	f->store.stall = 4 * AP_SEC;
	assert_int_equal(propose(f, 0, doc, 0).status, AP_SPREAD_OK);
	run_for(f, 17);
	assert_all_at(f, 1);
	json_decref(doc);
	fleet_free(f);
}

static void restart_on(fleet_t *f, int i, fake_store_t *store)
{
	node_t *node = &f->nodes[i];
	ap_spread_config_t config = {.seed = 77 + (uint64_t)i,
				     .self = node->entry,
				     .kv = fake_store_port(store),
				     .ctx = node,
				     .activated = activated,
				     .peer = {&node->port, fake_send}};

	ap_spread_free(node->s);
	node->generation = 0;
	node->s = ap_spread_new(&config, f->sim.now);
	set_entries(f);
}

static void test_region_cut_off_keeps_its_generation_and_catches_up(void **state)
{
	fleet_t *f = fleet_new(12);
	json_t *doc = document(4);
	fake_store_t own = {.sim = &f->sim, .unreachable = true};

	(void)state;
	assert_int_equal(propose(f, 0, doc, 0).status, AP_SPREAD_OK);
	run_for(f, 17);
	/* Region 1 loses its peers and the store; its instances restart in that state. */
	f->isolated_region = 1;
	for (int i = 1; i < f->n; i += 3) {
		if (i > 1)
			restart_on(f, i, &own);
	}
	run_for(f, 15);
	restart_on(f, 1, &own);
	run_for(f, 15);
	set_field(doc, "c1", "rate", 3);
	assert_int_equal(propose(f, 0, doc, 1).status, AP_SPREAD_OK);
	run_for(f, 3600);
	for (int i = 0; i < f->n; i++)
		assert_int_equal(ap_spread_generation(f->nodes[i].s), i % 3 == 1 ? 1 : 2);
	f->isolated_region = -1;
	run_for(f, 30);
	assert_all_at(f, 2);
	for (int i = 1; i < f->n; i += 3)
		restart_on(f, i, &f->store);
	fake_run(&f->sim, f->sim.now + AP_SEC);
	fake_store_clear(&own);
	json_decref(doc);
	fleet_free(f);
}

static void test_reverted_head_is_refused_and_reported(void **state)
{
	fleet_t *f = fleet_new(6);
	json_t *doc = document(4);
	fake_key_t *key;
	char *old;
	size_t len;

	(void)state;
	assert_int_equal(propose(f, 0, doc, 0).status, AP_SPREAD_OK);
	key = fake_key(&f->store, AP_SPREAD_HEAD_KEY, false);
	len = key->len;
	old = malloc(len);
	assert_non_null(old);
	memcpy(old, key->value, len);
	set_field(doc, "c1", "rate", 3);
	assert_int_equal(propose(f, 0, doc, 1).status, AP_SPREAD_OK);
	run_for(f, 17);
	fake_write(&f->store, key, old, len);
	run_for(f, 120);
	assert_all_at(f, 2);
	assert_true(f->events_reverted > 0);
	/* The next generation follows the active one, not the one in the store. */
	set_field(doc, "c2", "rate", 3);
	assert_int_equal(propose(f, 5, doc, 2).generation, 3);
	run_for(f, 17);
	assert_all_at(f, 3);
	free(old);
	json_decref(doc);
	fleet_free(f);
}

static void test_head_of_a_second_writer_is_reported_as_a_fork(void **state)
{
	fleet_t *f = fleet_new(6);
	fleet_t *other = fleet_new(3);
	json_t *doc = document(4);
	fake_key_t *key;

	(void)state;
	assert_int_equal(propose(f, 0, doc, 0).status, AP_SPREAD_OK);
	assert_int_equal(propose(other, 1, doc, 0).status, AP_SPREAD_OK);
	run_for(f, 17);
	key = fake_key(&other->store, AP_SPREAD_HEAD_KEY, false);
	fake_write(&f->store, fake_key(&f->store, AP_SPREAD_HEAD_KEY, false), key->value, key->len);
	run_for(f, 120);
	assert_true(f->events_forked > 0);
	assert_all_at(f, 1);
	json_decref(doc);
	fleet_free(other);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_change_reaches_all_and_writes_one_segment),
		cmocka_unit_test(test_invalid_document_names_object_and_field),
		cmocka_unit_test(test_two_operators_disjoint_fields_merge_same_field_conflicts),
		cmocka_unit_test(test_lost_store_responses_are_resolved),
		cmocka_unit_test(test_writes_without_any_response_are_resolved_by_reading),
		cmocka_unit_test(test_store_unavailable_changes_nothing_and_restarts_use_peers),
		cmocka_unit_test(test_slow_store_only_slows_changes),
		cmocka_unit_test(test_region_cut_off_keeps_its_generation_and_catches_up),
		cmocka_unit_test(test_reverted_head_is_refused_and_reported),
		cmocka_unit_test(test_head_of_a_second_writer_is_reported_as_a_fork),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
