/*
 * Membership in virtual time over lossy links: deaths, pauses, restarts, one-way loss, partitions
 * and the replacement of many members at once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_net.h"
#include "member/member.h"

#define NODES_MAX 420
#define TICK (200 * AP_MSEC)

typedef struct node {
	ap_member_t *m;
	fake_port_t port;
	ap_entry_t entry;
	bool down;
	bool paused;
	int superseded;
	unsigned start_count; /* a tick scheduled before the last start does nothing */
} node_t;

typedef struct fleet {
	fake_sim_t sim;
	fake_net_t net;
	node_t nodes[NODES_MAX];
	int n;
	int regions;
	uint64_t epoch;
	int blocked_from; /* its messages to @blocked_to are lost; -1 for none */
	int blocked_to;	  /* -1 for all nodes */
	int cut_region;	  /* disconnected from the other regions; -1 for none */
	int no_incoming;  /* receives no messages; -1 for none */
	int split;	  /* nodes below it are disconnected from the others; 0 for none */
} fleet_t;

typedef struct tick {
	int node;
	unsigned start_count;
} tick_t;

static void count_superseded(void *ctx)
{
	((node_t *)ctx)->superseded++;
}

static bool is_cut(void *ctx, int from, int to)
{
	const fleet_t *f = ctx;

	if (to == f->no_incoming)
		return true;
	if (from == f->blocked_from && (to == f->blocked_to || f->blocked_to < 0))
		return true;
	if (f->cut_region >= 0 &&
	    (from % f->regions == f->cut_region) != (to % f->regions == f->cut_region))
		return true;
	return f->split > 0 && (from < f->split) != (to < f->split);
}

static void deliver(void *ctx, int to, const char *from, const void *data, size_t len)
{
	fleet_t *f = ctx;
	node_t *node = &f->nodes[to];

	if (node->down || node->paused)
		return;
	assert_int_equal(ap_member_receive(node->m, from, data, len, f->sim.now, NULL),
			 AP_MEMBER_OK);
}

static void run_tick(void *arg, void *data)
{
	fleet_t *f = arg;
	tick_t tick = *(tick_t *)data;
	node_t *node = &f->nodes[tick.node];
	tick_t *next;

	if (node->start_count != tick.start_count || node->down)
		return;
	if (!node->paused)
		ap_member_tick(node->m, f->sim.now);
	next = malloc(sizeof(*next));
	assert_non_null(next);
	*next = tick;
	fake_at(&f->sim, f->sim.now + TICK, run_tick, f, next);
}

static void start(fleet_t *f, int i)
{
	node_t *node = &f->nodes[i];
	ap_member_config_t config = {.epoch = ++f->epoch, .seed = f->epoch * 7919};
	ap_entry_t *listed = calloc((size_t)f->n, sizeof(*listed));
	tick_t first = {i, ++node->start_count};

	assert_non_null(listed);
	ap_member_free(node->m);
	node->entry = (ap_entry_t){.inc = ap_rng_id(&f->sim.rng), .weight = 1.0};
	snprintf(node->entry.id, AP_NAME_MAX, "e%d", i);
	snprintf(node->entry.region, AP_NAME_MAX, "r%d", i % f->regions);
	snprintf(node->entry.data_centre, AP_NAME_MAX, "r%d-%d", i % f->regions, i % 2);
	node->down = node->paused = false;
	node->superseded = 0;
	node->port = (fake_port_t){.net = &f->net, .self = i};
	config.self = node->entry;
	config.peer = (ap_peer_port_t){&node->port, fake_send};
	config.ctx = node;
	config.superseded = count_superseded;
	node->m = ap_member_new(&config, f->sim.now);
	for (int k = 0; k < f->n; k++) {
		snprintf(listed[k].id, AP_NAME_MAX, "e%d", k);
		snprintf(listed[k].region, AP_NAME_MAX, "r%d", k % f->regions);
	}
	ap_member_set_listed(node->m, listed, (size_t)f->n, f->sim.now);
	free(listed);
	run_tick(f, &first);
}

static fleet_t *fleet_new(int n, int regions, double loss)
{
	fleet_t *f = calloc(1, sizeof(*f));

	assert_non_null(f);
	f->n = n;
	f->regions = regions;
	f->blocked_from = f->cut_region = f->no_incoming = -1;
	ap_rng_seed(&f->sim.rng, 5);
	f->net = (fake_net_t){.sim = &f->sim,
			      .loss = loss,
			      .duplication = loss,
			      .delay = AP_MSEC,
			      .jitter = 40 * AP_MSEC,
			      .ctx = f,
			      .is_blocked = is_cut,
			      .deliver = deliver};
	for (int i = 0; i < n; i++)
		start(f, i);
	fake_run(&f->sim, 60 * AP_SEC);
	return f;
}

static void fleet_free(fleet_t *f)
{
	for (int i = 0; i < f->n; i++)
		ap_member_free(f->nodes[i].m);
	fake_sim_clear(&f->sim);
	free(f);
}

static void run_for(fleet_t *f, int seconds)
{
	fake_run(&f->sim, f->sim.now + seconds * AP_SEC);
}

static ap_member_state_t state_seen(const fleet_t *f, int by, int of)
{
	static ap_member_info_t list[NODES_MAX];
	size_t n = ap_member_list(f->nodes[by].m, list, NODES_MAX, f->sim.now);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(list[i].entry.id, f->nodes[of].entry.id) == 0)
			return list[i].state;
	}
	return AP_MEMBER_DEAD;
}

static bool reachable(const fleet_t *f, int by, int of)
{
	static ap_member_info_t list[NODES_MAX];
	size_t n = ap_member_list(f->nodes[by].m, list, NODES_MAX, f->sim.now);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(list[i].entry.id, f->nodes[of].entry.id) == 0)
			return list[i].reachable;
	}
	return false;
}

/* Every running node lists exactly the running ones, each with its current incarnation. */
static void assert_agreed(const fleet_t *f)
{
	static ap_entry_t list[NODES_MAX];

	for (int by = 0; by < f->n; by++) {
		size_t n, up = 0;

		if (f->nodes[by].down)
			continue;
		n = ap_member_entries(f->nodes[by].m, list, NODES_MAX);
		for (size_t i = 0; i < n; i++) {
			const node_t *of = &f->nodes[atoi(list[i].id + 1)];

			assert_false(of->down);
			assert_true(ap_id_eq(of->entry.inc, list[i].inc));
		}
		for (int i = 0; i < f->n; i++)
			up += !f->nodes[i].down;
		assert_int_equal(n, up);
	}
}

static void test_all_join_over_lossy_links(void **state)
{
	fleet_t *f = fleet_new(60, 3, 0.1);

	(void)state;
	assert_agreed(f);
	for (int i = 0; i < f->n; i++)
		assert_int_equal(ap_member_stats(f->nodes[i].m).deaths, 0);
	fleet_free(f);
}

static void test_death_and_restart_are_detected(void **state)
{
	fleet_t *f = fleet_new(24, 2, 0.05);

	(void)state;
	f->nodes[4].down = true;
	run_for(f, 17);
	assert_agreed(f);
	start(f, 4);
	run_for(f, 17);
	assert_agreed(f);
	/* Restart under the same id before the death is detected, and with an older epoch. */
	f->nodes[4].down = true;
	f->epoch -= 10;
	start(f, 4);
	run_for(f, 30);
	assert_agreed(f);
	assert_int_equal(f->nodes[4].superseded, 0);
	fleet_free(f);
}

static void test_resumed_member_refutes_its_death(void **state)
{
	fleet_t *f = fleet_new(12, 1, 0.0);

	(void)state;
	f->nodes[3].paused = true;
	run_for(f, 60);
	assert_int_equal(state_seen(f, 0, 3), AP_MEMBER_DEAD);
	f->nodes[3].paused = false;
	run_for(f, 20);
	assert_agreed(f);
	for (int i = 0; i < f->n; i++)
		assert_int_equal(ap_member_stats(f->nodes[i].m).deaths, i == 3 ? 0 : 1);
	fleet_free(f);
}

static void test_resumed_member_learns_that_it_was_replaced(void **state)
{
	fleet_t *f = fleet_new(12, 1, 0.0);
	ap_member_config_t config = {.epoch = 1, .ctx = &f->nodes[3]};
	ap_member_t *old;

	(void)state;
	/* The old process with the same id resumes with the records that it had. */
	config.self = f->nodes[3].entry;
	config.peer = (ap_peer_port_t){&f->nodes[3].port, fake_send};
	config.superseded = count_superseded;
	old = ap_member_new(&config, 0);
	f->nodes[3].down = true;
	start(f, 3);
	run_for(f, 20);
	ap_member_free(f->nodes[3].m);
	f->nodes[3].m = old;
	run_for(f, 20);
	assert_int_equal(f->nodes[3].superseded, 1);
	fleet_free(f);
}

static void test_one_way_loss_between_two_causes_no_death(void **state)
{
	fleet_t *f = fleet_new(8, 1, 0.0);

	(void)state;
	for (int to = 1; to < f->n; to++) {
		f->blocked_from = 0;
		f->blocked_to = to;
		run_for(f, 30);
	}
	for (int i = 0; i < f->n; i++)
		assert_int_equal(ap_member_stats(f->nodes[i].m).deaths, 0);
	/* The others declare a member dead when all its messages are lost. */
	f->blocked_to = -1;
	run_for(f, 17);
	for (int i = 1; i < f->n; i++)
		assert_int_equal(state_seen(f, i, 0), AP_MEMBER_DEAD);
	f->blocked_from = -1;
	run_for(f, 30);
	assert_agreed(f);
	fleet_free(f);
}

static void test_member_without_incoming_messages_harms_only_itself(void **state)
{
	fleet_t *f = fleet_new(12, 1, 0.0);

	(void)state;
	f->no_incoming = 4;
	run_for(f, 60);
	for (int i = 0; i < f->n; i++) {
		if (i != 4)
			assert_int_equal(ap_member_stats(f->nodes[i].m).deaths, 1);
	}
	f->no_incoming = -1;
	run_for(f, 30);
	assert_agreed(f);
	for (int i = 0; i < f->n; i++) {
		if (i != 4)
			assert_int_equal(ap_member_stats(f->nodes[i].m).deaths, 1);
	}
	fleet_free(f);
}

static void test_partition_within_a_region_heals(void **state)
{
	fleet_t *f = fleet_new(16, 1, 0.02);

	(void)state;
	f->split = 6;
	run_for(f, 60);
	assert_int_equal(state_seen(f, 0, 10), AP_MEMBER_DEAD);
	assert_int_equal(state_seen(f, 10, 0), AP_MEMBER_DEAD);
	assert_int_equal(state_seen(f, 10, 15), AP_MEMBER_ALIVE);
	f->split = 0;
	run_for(f, 60);
	assert_agreed(f);
	fleet_free(f);
}

static void test_region_cut_off_is_unreachable_not_dead(void **state)
{
	fleet_t *f = fleet_new(24, 3, 0.02);

	(void)state;
	assert_true(reachable(f, 0, 1));
	f->cut_region = 1;
	run_for(f, 300);
	assert_int_equal(state_seen(f, 0, 1), AP_MEMBER_ALIVE);
	assert_false(reachable(f, 0, 1));
	assert_true(reachable(f, 0, 2));
	/* A change in the disconnected region becomes known after it is connected again. */
	f->nodes[4].down = true;
	run_for(f, 30);
	f->cut_region = -1;
	run_for(f, 60);
	assert_agreed(f);
	assert_true(reachable(f, 0, 1));
	fleet_free(f);
}

static void test_draining_is_announced_at_once(void **state)
{
	fleet_t *f = fleet_new(40, 2, 0.0);

	(void)state;
	ap_member_announce_drain(f->nodes[6].m, f->sim.now);
	run_for(f, 1);
	for (int i = 0; i < f->n; i += 2)
		assert_int_equal(state_seen(f, i, i == 6 ? 8 : 6),
				 i == 6 ? AP_MEMBER_ALIVE : AP_MEMBER_DRAINING);
	ap_member_announce_exit(f->nodes[6].m, f->sim.now);
	run_for(f, 1);
	f->nodes[6].down = true;
	run_for(f, 16);
	assert_agreed(f);
	fleet_free(f);
}

static void test_hundred_replaced_at_once(void **state)
{
	fleet_t *f = fleet_new(240, 2, 0.02);

	(void)state;
	for (int i = 0; i < 100; i++) {
		f->nodes[i].down = true;
		start(f, i);
	}
	run_for(f, 40);
	assert_agreed(f);
	fleet_free(f);
}

static void test_loss_of_a_data_centre_is_detected(void **state)
{
	fleet_t *f = fleet_new(60, 1, 0.02);

	(void)state;
	for (int i = 0; i < f->n; i += 2)
		f->nodes[i].down = true;
	run_for(f, 60);
	assert_agreed(f);
	fleet_free(f);
}

static void test_last_member_of_a_region_detects_that_the_others_died(void **state)
{
	fleet_t *f = fleet_new(3, 1, 0.0);

	(void)state;
	f->nodes[0].down = f->nodes[1].down = true;
	run_for(f, 30);
	assert_agreed(f);
	fleet_free(f);
}

static void test_malformed_messages_are_refused(void **state)
{
	fleet_t *f = fleet_new(2, 1, 0.0);
	ap_rng_t rng;
	unsigned char junk[64];

	(void)state;
	ap_rng_seed(&rng, 3);
	for (int i = 0; i < 20000; i++) {
		size_t len = fake_junk(&rng, junk, sizeof(junk));

		assert_int_equal(ap_member_receive(f->nodes[0].m, "e1", junk, len, 0, NULL),
				 AP_MEMBER_MALFORMED);
	}
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_join_over_lossy_links),
		cmocka_unit_test(test_death_and_restart_are_detected),
		cmocka_unit_test(test_resumed_member_refutes_its_death),
		cmocka_unit_test(test_resumed_member_learns_that_it_was_replaced),
		cmocka_unit_test(test_one_way_loss_between_two_causes_no_death),
		cmocka_unit_test(test_member_without_incoming_messages_harms_only_itself),
		cmocka_unit_test(test_partition_within_a_region_heals),
		cmocka_unit_test(test_region_cut_off_is_unreachable_not_dead),
		cmocka_unit_test(test_draining_is_announced_at_once),
		cmocka_unit_test(test_hundred_replaced_at_once),
		cmocka_unit_test(test_loss_of_a_data_centre_is_detected),
		cmocka_unit_test(test_last_member_of_a_region_detects_that_the_others_died),
		cmocka_unit_test(test_malformed_messages_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
