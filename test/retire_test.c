/* Retired segments are deleted, but under no fault a segment that the head in the store lists. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "spread_world.h"

#define CALLERS 600
#define CHANGES 250 /* in a run with faults */
#define CHANGES_A_DAY 460
#define DAY_MS (24 * 3600 * 1000ull)
#define STEP_MS (DAY_MS / CHANGES_A_DAY)

static uint64_t wall_ms;

static fake_key_t *segment_key_of(fleet_t *f, const char *hash)
{
	char name[AP_NAME_MAX + AP_ID_TEXT_MAX];

	snprintf(name, sizeof(name), "%s%s", AP_SPREAD_SEGMENT_PREFIX, hash);
	return fake_key(&f->store, name, false);
}

/* Checks that all segments of the head are stored; called after each write and delete. */
static void check_head(void *ctx)
{
	fleet_t *f = ctx;
	const fake_key_t *key = fake_key(&f->store, AP_SPREAD_HEAD_KEY, false);
	json_t *head, *hash;
	size_t i;

	if (!key || !key->value)
		return;
	head = json_loadb(key->value, key->len, 0, NULL);
	json_array_foreach (json_object_get(head, "segments"), i, hash) {
		const fake_key_t *seg = segment_key_of(f, json_string_value(hash));

		if (!seg || !seg->value)
			fail_msg("segment %s of the head is not in the store",
				 json_string_value(hash));
	}
	json_decref(head);
}

static size_t stored_bytes(const fleet_t *f, size_t *segments)
{
	size_t bytes = 0;

	*segments = 0;
	for (const fake_key_t *key = f->store.keys; key; key = key->hh.next) {
		if (!key->value || strncmp(key->name, AP_SPREAD_SEGMENT_PREFIX,
					   strlen(AP_SPREAD_SEGMENT_PREFIX)) != 0)
			continue;
		bytes += key->len;
		++*segments;
	}
	return bytes;
}

static uint64_t deleted_by_all(const fleet_t *f)
{
	uint64_t n = 0;

	for (int i = 0; i < f->n; i++)
		n += ap_spread_stats(f->nodes[i].s).deleted;
	return n;
}

static void change(fleet_t *f, int by, json_t *doc)
{
	proposal_result_t a = {0};

	wall_ms += STEP_MS;
	ap_spread_propose(f->nodes[by].s, doc, ap_spread_generation(f->nodes[by].s), wall_ms,
			  f->sim.now, on_proposed, &a);
	for (int i = 0; i < 60 && a.n == 0; i++)
		run_for(f, 1);
	assert_int_equal(a.n, 1);
}

static void test_a_day_of_changes_leaves_few_old_segments(void **state)
{
	fleet_t *f = fleet_new(2);
	json_t *doc = document(CALLERS);
	size_t before, after, n_before, n_after;
	uint64_t written;

	(void)state;
	f->store.changed = check_head;
	f->store.changed_ctx = f;
	change(f, 0, doc);
	run_for(f, 10);
	before = stored_bytes(f, &n_before);
	written = f->store.writes;
	for (int i = 0; i < CHANGES_A_DAY; i++) {
		char name[AP_NAME_MAX];

		snprintf(name, sizeof(name), "c%d", (int)ap_rng_below(&f->sim.rng, CALLERS));
		set_field(doc, name, "rate", 10 + i);
		change(f, i % f->n, doc);
		run_for(f, 5);
	}
	after = stored_bytes(f, &n_after);
	print_message(
		"a day: %zu segments of %zu bytes became %zu of %zu, without deletes %zu bytes; "
		"%d deleted, %d writes\n",
		n_before, before, n_after, after, after + (size_t)f->store.deleted_bytes,
		(int)deleted_by_all(f), (int)(f->store.writes - written));
	assert_int_equal(ap_spread_generation(f->nodes[0].s), CHANGES_A_DAY + 1);
	/* Segments of the last generations are not old enough yet. */
	assert_true(n_after - n_before <= 12);
	json_decref(doc);
	fleet_free(f);
}

static json_int_t stored_generation(fleet_t *f)
{
	const fake_key_t *key = fake_key(&f->store, AP_SPREAD_HEAD_KEY, false);
	json_t *head = json_loadb(key->value, key->len, 0, NULL);
	json_t *newest = json_array_get(json_object_get(head, "history"), 0);
	json_int_t generation = json_integer_value(json_object_get(newest, "generation"));

	json_decref(head);
	return generation;
}

/*
 * An instance reads the indexes of retired segments, replaces the head and is paused before it
 * deletes them. Another instance uses such a segment again. Then the first one resumes and tries to
 * delete it.
 */
static void test_paused_entry_deletes_nothing_that_is_used_again(void **state)
{
	static const struct {
		double lose; /* share of store responses lost to the instance that uses it again */
		int changes; /* made afterwards */
	} cases[] = {{0.0, 10}, {0.0, 30}, {0.3, 10}, {0.3, 30}};

	(void)state;
	for (size_t c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		fleet_t *f = fleet_new(4);
		json_t *doc = document(4), *first = document(4);
		node_t *paused = &f->nodes[1];
		proposal_result_t a = {0}, b = {0};
		json_int_t generation;

		f->store.changed = check_head;
		f->store.changed_ctx = f;
		change(f, 0, doc);
		for (int i = 0; i < 8; i++) {
			set_field(doc, "c1", "rate", 100 + i);
			change(f, 0, doc);
			run_for(f, 5);
		}
		set_field(doc, "c1", "rate", 200);
		generation = stored_generation(f);
		wall_ms += STEP_MS;
		ap_spread_propose(paused->s, doc, (uint64_t)generation, wall_ms, f->sim.now,
				  on_proposed, &a);
		while (stored_generation(f) == generation)
			fake_run(&f->sim, f->sim.now + AP_MSEC);
		paused->gate.paused = true;
		run_for(f, 10);
		f->store.response_loss = cases[c].lose;
		while (b.status != AP_SPREAD_OK || b.n == 0) {
			b = (proposal_result_t){0};
			ap_spread_propose(f->nodes[2].s, first, ap_spread_generation(f->nodes[2].s),
					  wall_ms, f->sim.now, on_proposed, &b);
			run_for(f, 60);
		}
		f->store.response_loss = 0.0;
		paused->gate.paused = false;
		run_for(f, 60);
		check_head(f);
		assert_int_equal(ap_spread_stats(paused->s).deleted, 0);
		assert_int_equal(a.n, 1);
		assert_all_at(f, (uint64_t)stored_generation(f));
		for (int i = 0; i < cases[c].changes; i++) {
			set_field(doc, "c2", "rate", 300 + i);
			change(f, i % f->n, doc);
			run_for(f, 5);
		}
		assert_true(deleted_by_all(f) > 0);
		json_decref(doc);
		json_decref(first);
		fleet_free(f);
	}
}

static void random_change(fleet_t *f, json_t *doc, proposal_result_t results[], int n)
{
	int by = (int)ap_rng_below(&f->sim.rng, (uint64_t)f->n);

	/* Few values, so that retired segments are often used again. */
	set_field(doc, ap_rng_below(&f->sim.rng, 2) == 0 ? "c1" : "c2", "rate",
		  1 + (int)ap_rng_below(&f->sim.rng, 12));
	wall_ms += STEP_MS;
	if (!f->nodes[by].gate.paused)
		ap_spread_propose(f->nodes[by].s, doc, ap_spread_generation(f->nodes[by].s),
				  wall_ms, f->sim.now, on_proposed, &results[n]);
}

/*
 * Instances restart during a change, store responses are lost, the store stalls or is unavailable.
 */
static void test_random_faults_never_lose_a_segment_of_the_head(void **state)
{
	uint64_t deleted = 0, events = 0, accepted = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 6; seed++) {
		static proposal_result_t results[CHANGES];
		fleet_t *f = fleet_new(4);
		json_t *doc = document(8);

		ap_rng_seed(&f->sim.rng, seed);
		memset(results, 0, sizeof(results));
		f->store.changed = check_head;
		f->store.changed_ctx = f;
		for (int i = 0; i < CHANGES; i++) {
			int victim = (int)ap_rng_below(&f->sim.rng, (uint64_t)f->n);

			f->store.response_loss = ap_rng_unit(&f->sim.rng) < 0.3 ? 0.2 : 0.0;
			f->store.stall = ap_rng_unit(&f->sim.rng) < 0.1 ? 700 * AP_MSEC : 0;
			fake_store_set_unreachable(&f->store, ap_rng_unit(&f->sim.rng) < 0.05);
			f->nodes[victim].gate.paused = ap_rng_unit(&f->sim.rng) < 0.1;
			random_change(f, doc, results, i);
			fake_run(&f->sim,
				 f->sim.now + (ap_usec_t)ap_rng_below(&f->sim.rng, 1500 * AP_MSEC));
			if (ap_rng_unit(&f->sim.rng) < 0.03) {
				deleted += ap_spread_stats(f->nodes[victim].s).deleted;
				start(f, victim);
				set_entries(f);
			}
		}
		f->store.response_loss = 0.0;
		f->store.stall = 0;
		for (int i = 0; i < f->n; i++)
			f->nodes[i].gate.paused = false;
		fake_store_set_unreachable(&f->store, false);
		run_for(f, 120);
		accepted += ap_spread_generation(f->nodes[0].s);
		assert_all_at(f, ap_spread_generation(f->nodes[0].s));
		deleted += deleted_by_all(f);
		events += f->sim.events;
		json_decref(doc);
		fleet_free(f);
	}
	print_message("%d changes, %d segments deleted, %d events\n", (int)accepted, (int)deleted,
		      (int)events);
	assert_true(deleted > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_day_of_changes_leaves_few_old_segments),
		cmocka_unit_test(test_paused_entry_deletes_nothing_that_is_used_again),
		cmocka_unit_test(test_random_faults_never_lose_a_segment_of_the_head),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
