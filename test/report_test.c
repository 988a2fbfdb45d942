/*
 * Reports in virtual time over lossy links: assignment of pollers, and the spread of loads, loaded
 * models, spare capacity, cache events, draining upstreams and withdrawals.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_net.h"
#include "report/report.h"

#define NODES_MAX 150
#define UPSTREAMS 180
#define TICK (100 * AP_MSEC)
#define NODE_BYTES_PER_SECOND 18000 /* sent and received, for all control messages */

typedef struct node {
	ap_report_t *r;
	fake_port_t port;
	bool down;
	ap_usec_t load_at[UPSTREAMS];
	uint32_t running[UPSTREAMS];
	int draining[UPSTREAMS];
	ap_usec_t draining_at[UPSTREAMS];
	ap_capacity_offer_t offer;
	uint64_t blocks;
	uint64_t in_bytes;
	struct fleet *fleet;
} node_t;

typedef struct fleet {
	fake_sim_t sim;
	fake_net_t net;
	node_t nodes[NODES_MAX];
	int n;
	int regions;
	int upstreams;
	ap_entry_t entries[NODES_MAX];
	ap_upstream_t list[UPSTREAMS];
	bool busy;	  /* each load read is a new random one */
	uint32_t loaded;  /* hash of the model that every upstream has loaded */
	uint32_t version; /* of it */
} fleet_t;

static void on_load(void *ctx, const ap_load_report_t *report)
{
	node_t *node = ctx;
	int i = atoi(report->upstream + 1);

	assert_true(report->at >= node->load_at[i]);
	node->load_at[i] = report->at;
	node->running[i] = report->running;
}

static void on_offer(void *ctx, const ap_capacity_offer_t *offer)
{
	((node_t *)ctx)->offer = *offer;
}

static void on_cache(void *ctx, const ap_cache_event_t *event)
{
	((node_t *)ctx)->blocks += event->n_blocks;
}

static void on_draining(void *ctx, const char *upstream)
{
	node_t *node = ctx;

	node->draining[atoi(upstream + 1)]++;
	node->draining_at[atoi(upstream + 1)] = node->fleet->sim.now;
}

static void deliver(void *ctx, int to, const char *from, const void *data, size_t len)
{
	fleet_t *f = ctx;
	node_t *node = &f->nodes[to];

	if (node->down)
		return;
	node->in_bytes += len;
	assert_int_equal(ap_report_receive(node->r, from, data, len, f->sim.now, NULL),
			 AP_REPORT_OK);
}

static fleet_t *fleet_new(int n, int regions, int upstreams)
{
	fleet_t *f = calloc(1, sizeof(*f));

	assert_non_null(f);
	f->n = n;
	f->regions = regions;
	f->upstreams = upstreams;
	ap_rng_seed(&f->sim.rng, 17);
	f->net = (fake_net_t){.sim = &f->sim,
			      .loss = 0.1,
			      .duplication = 0.1,
			      .delay = AP_MSEC,
			      .jitter = 40 * AP_MSEC,
			      .ctx = f,
			      .deliver = deliver};
	for (int i = 0; i < n; i++) {
		snprintf(f->entries[i].id, AP_NAME_MAX, "e%d", i);
		snprintf(f->entries[i].region, AP_NAME_MAX, "r%d", i % regions);
	}
	for (int i = 0; i < upstreams; i++) {
		snprintf(f->list[i].id, AP_NAME_MAX, "u%d", i);
		snprintf(f->list[i].region, AP_NAME_MAX, "r%d", i % regions);
	}
	for (int i = 0; i < n; i++) {
		node_t *node = &f->nodes[i];
		ap_report_config_t config = {.self = f->entries[i],
					     .seed = (uint64_t)i + 1,
					     .peer = {&node->port, fake_send},
					     .ctx = node,
					     .load = on_load,
					     .offer = on_offer,
					     .cache = on_cache,
					     .draining = on_draining};

		node->fleet = f;
		node->port = (fake_port_t){.net = &f->net, .self = i};
		node->r = ap_report_new(&config, 0);
		ap_report_set_entries(node->r, f->entries, (size_t)n, 0);
		ap_report_set_upstreams(node->r, f->list, (size_t)upstreams, 0);
	}
	return f;
}

static void fleet_free(fleet_t *f)
{
	for (int i = 0; i < f->n; i++)
		ap_report_free(f->nodes[i].r);
	fake_sim_clear(&f->sim);
	free(f);
}

static void poll(fleet_t *f, node_t *node, int up)
{
	ap_load_report_t load = {.at = f->sim.now, .waiting = 1, .kv_used = 0.5};

	load.running = f->busy ? (uint32_t)ap_rng_below(&f->sim.rng, 64) : 7;
	ap_copy_name(load.upstream, sizeof(load.upstream), f->list[up].id);
	node->load_at[up] = load.at;
	node->running[up] = load.running;
	ap_report_load_read(node->r, &load, f->sim.now);
	ap_report_models_read(node->r, f->list[up].id, &f->loaded, &f->version, 1, f->sim.now);
}

static void run(fleet_t *f, int seconds)
{
	for (int t = 0; t < seconds * 10; t++) {
		fake_run(&f->sim, f->sim.now + TICK);
		for (int i = 0; i < f->n; i++) {
			if (f->nodes[i].down)
				continue;
			for (int u = 0; t % 10 == i % 10 && u < f->upstreams; u++) {
				if (ap_report_is_poller(f->nodes[i].r, f->list[u].id))
					poll(f, &f->nodes[i], u);
			}
			ap_report_tick(f->nodes[i].r, f->sim.now);
		}
	}
}

static ap_usec_t oldest_load_age(const fleet_t *f)
{
	ap_usec_t worst = 0;

	for (int i = 0; i < f->n; i++) {
		for (int u = 0; !f->nodes[i].down && u < f->upstreams; u++) {
			ap_usec_t age = f->sim.now - f->nodes[i].load_at[u];

			if (i % f->regions == u % f->regions && age > worst)
				worst = age;
		}
	}
	return worst;
}

static void test_two_pollers_and_all_know_every_load(void **state)
{
	static const struct {
		int n, regions, upstreams;
	} sizes[] = {{1, 1, 4}, {8, 3, 18}, {60, 1, 90}, {150, 1, 180}};

	(void)state;
	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		fleet_t *f = fleet_new(sizes[s].n, sizes[s].regions, sizes[s].upstreams);

		for (int u = 0; u < f->upstreams; u++) {
			int pollers = 0;

			for (int i = 0; i < f->n; i++)
				pollers += ap_report_is_poller(f->nodes[i].r, f->list[u].id);
			assert_int_equal(pollers, f->n == 1 ? 1 : 2);
		}
		f->busy = true;
		run(f, 20);
		assert_true(oldest_load_age(f) < 8 * AP_SEC);
		fleet_free(f);
	}
}

/* How many instances know that the upstream has loaded @name and nothing else. */
static int count_knowing_model(const fleet_t *f, int up, uint32_t name)
{
	int known = 0;

	for (int i = 0; i < f->n; i++) {
		size_t n = 0;
		const uint32_t *names = ap_report_models(f->nodes[i].r, f->list[up].id, &n);

		known += names && n == 1 && names[0] == name;
	}
	return known;
}

static void test_loaded_models_are_known_to_the_whole_region_only(void **state)
{
	const uint32_t first = ap_report_name_hash("first");
	const uint32_t second = ap_report_name_hash("second");
	fleet_t *f = fleet_new(120, 2, 60);

	(void)state;
	f->loaded = first;
	run(f, 40);
	for (int u = 0; u < f->upstreams; u++)
		assert_int_equal(count_knowing_model(f, u, first), 60);
	f->loaded = second;
	run(f, 100);
	for (int u = 0; u < f->upstreams; u++)
		assert_int_equal(count_knowing_model(f, u, second), 60);
	fleet_free(f);
}

/* Guards against a version that was lost on the way: the name stays the same as it changes. */
static void test_versions_are_known_to_the_whole_region(void **state)
{
	fleet_t *f = fleet_new(60, 1, 20);

	(void)state;
	f->loaded = ap_report_name_hash("model");
	for (f->version = 1; f->version < 4; f->version++) {
		run(f, 100);
		for (int i = 0; i < f->n * f->upstreams; i++)
			assert_int_equal(ap_report_version(f->nodes[i % f->n].r,
							   f->list[i / f->n].id, "model"),
					 f->version);
	}
	assert_int_equal(ap_report_version(f->nodes[0].r, f->list[0].id, "another"), 0);
	fleet_free(f);
}

static void test_lost_poller_is_replaced(void **state)
{
	fleet_t *f = fleet_new(30, 1, 40);
	ap_entry_t alive[NODES_MAX];
	size_t n = 0;

	(void)state;
	run(f, 10);
	for (int i = 0; i < f->n; i += 10)
		f->nodes[i].down = true;
	run(f, 10);
	for (int i = 0; i < f->n; i++) {
		if (!f->nodes[i].down)
			alive[n++] = f->entries[i];
	}
	/* As membership would report it; upstreams that lost both pollers get new ones. */
	for (int i = 0; i < f->n; i++)
		ap_report_set_entries(f->nodes[i].r, alive, n, f->sim.now);
	run(f, 10);
	assert_true(oldest_load_age(f) < 8 * AP_SEC);
	fleet_free(f);
}

/* Runs for @seconds and returns, as bits, the nodes that read the first upstream. */
static unsigned readers(fleet_t *f, int seconds)
{
	unsigned seen = 0;

	for (int t = 0; t < seconds * 10; t++) {
		fake_run(&f->sim, f->sim.now + TICK);
		for (int i = 0; i < f->n; i++) {
			if (f->nodes[i].down)
				continue;
			if (ap_report_should_read(f->nodes[i].r, f->list[0].id, f->sim.now)) {
				seen |= 1u << i;
				poll(f, &f->nodes[i], 0);
			}
			ap_report_tick(f->nodes[i].r, f->sim.now);
		}
	}
	return seen;
}

static void test_second_poller_reads_only_while_the_first_is_silent(void **state)
{
	fleet_t *f = fleet_new(10, 1, 1);
	unsigned first, second;

	(void)state;
	f->net.loss = 0;
	f->busy = true;
	readers(f, 5);
	first = readers(f, 10);
	assert_int_equal(__builtin_popcount(first), 1);
	f->nodes[__builtin_ctz(first)].down = true;
	second = readers(f, 4);
	assert_int_equal(__builtin_popcount(second), 1);
	f->nodes[__builtin_ctz(first)].down = false;
	readers(f, 5);
	assert_int_equal(readers(f, 10), first);
	fleet_free(f);
}

static void test_leaving_is_known_to_the_region_within_three_seconds(void **state)
{
	fleet_t *f = fleet_new(150, 1, 180);
	ap_usec_t seen;

	(void)state;
	run(f, 2);
	for (int i = 0; i < f->n; i += 10)
		f->nodes[i].down = true;
	seen = f->sim.now;
	ap_report_saw_draining(f->nodes[7].r, "u5", seen);
	run(f, 10);
	for (int i = 0; i < f->n; i++) {
		if (f->nodes[i].down)
			continue;
		assert_true(ap_report_is_draining(f->nodes[i].r, "u5"));
		assert_false(ap_report_is_draining(f->nodes[i].r, "u6"));
		assert_int_equal(f->nodes[i].draining[5], 1);
		assert_true(f->nodes[i].draining_at[5] - seen <= (i == 7 ? 0 : 3 * AP_SEC));
	}
	run(f, 300);
	assert_false(ap_report_is_draining(f->nodes[1].r, "u5"));
	fleet_free(f);
}

/* How many running instances hold model "m" of the upstream for withdrawn. */
static int count_knowing_withdrawn(const fleet_t *f, const char *upstream)
{
	int known = 0;

	for (int i = 0; i < f->n; i++)
		known += !f->nodes[i].down && ap_report_is_withdrawn(f->nodes[i].r, upstream, "m");
	return known;
}

static void test_withdrawal_is_known_to_the_region_within_three_seconds(void **state)
{
	fleet_t *f = fleet_new(150, 1, 180);

	(void)state;
	run(f, 2);
	for (int i = 0; i < f->n; i += 10)
		f->nodes[i].down = true;
	for (uint64_t round = 1; round <= 20; round++) {
		ap_report_withdraw(f->nodes[7].r, "u5", "m", 4, 2 * round, 20 * AP_SEC, f->sim.now);
		run(f, 3);
		assert_int_equal(count_knowing_withdrawn(f, "u5"), 135);
		assert_int_equal(count_knowing_withdrawn(f, "u6"), 0);
		ap_report_withdraw(f->nodes[7].r, "u5", "m", 4, 2 * round + 1, 0, f->sim.now);
		run(f, 3);
		assert_int_equal(count_knowing_withdrawn(f, "u5"), 0);
	}
	fleet_free(f);
}

static void test_newest_withdrawal_counts_and_expires(void **state)
{
	static const struct {
		uint64_t fence, number;
		ap_usec_t keep;
		bool active;
	} steps[] = {
		{4, 7, 20 * AP_SEC, true},
		{4, 6, 0, true},
		{3, 9, 0, true},
		{4, 8, 0, false},
		{4, 7, 20 * AP_SEC, false},
		{5, 1, 20 * AP_SEC, true},
		{4, 99, 0, true},
		{5, 2, 0, false},
		{5, 3, 10 * AP_SEC, true},
	};
	fleet_t *f = fleet_new(8, 1, 6);

	(void)state;
	f->net.loss = 0.0;
	run(f, 2);
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		ap_report_withdraw(f->nodes[i % 8].r, "u5", "m", steps[i].fence, steps[i].number,
				   steps[i].keep, f->sim.now);
		run(f, 2);
		assert_int_equal(count_knowing_withdrawn(f, "u5"), steps[i].active ? 8 : 0);
	}
	run(f, 9);
	assert_int_equal(count_knowing_withdrawn(f, "u5"), 0);
	fleet_free(f);
}

static void test_offer_reaches_every_other_region(void **state)
{
	fleet_t *f = fleet_new(60, 3, 30);

	(void)state;
	for (int round = 0; round < 15; round++) {
		ap_capacity_offer_t offer = {.model = "m", .rate = 12.5, .wait = 300 * AP_MSEC};

		for (int i = 0; i < f->n; i += 3)
			ap_report_set_own_offer(f->nodes[i].r, &offer, f->sim.now);
		run(f, 1);
	}
	for (int i = 0; i < f->n; i++) {
		if (i % 3 == 0) {
			assert_string_equal(f->nodes[i].offer.region, "");
			continue;
		}
		assert_string_equal(f->nodes[i].offer.region, "r0");
		assert_true(f->nodes[i].offer.rate == 12.5);
		assert_int_equal(f->nodes[i].offer.wait, 300 * AP_MSEC);
		assert_true(f->sim.now - f->nodes[i].offer.at < 10 * AP_SEC);
	}
	fleet_free(f);
}

static void test_bytes_stay_in_budget_with_busy_loads_and_caches(void **state)
{
	fleet_t *f = fleet_new(150, 1, 180);
	uint64_t heard = 0;

	(void)state;
	f->busy = true;
	run(f, 5);
	for (int i = 0; i < f->n; i++)
		f->nodes[i].in_bytes = f->nodes[i].port.out_bytes = 0;
	for (int s = 0; s < 20; s++) {
		for (int u = 0; u < f->upstreams; u++) {
			uint64_t blocks[8] = {1, 2, 3, 4, 5, 6, 7, (uint64_t)s << 40};
			ap_cache_event_t event = {.seq = (uint64_t)s + 1,
						  .stored = true,
						  .blocks = blocks,
						  .n_blocks = 8};

			ap_copy_name(event.upstream, sizeof(event.upstream), f->list[u].id);
			for (int i = 0; i < f->n; i++) {
				if (ap_report_is_poller(f->nodes[i].r, event.upstream))
					ap_report_cache_event(f->nodes[i].r, &event, f->sim.now);
			}
		}
		run(f, 1);
	}
	for (int i = 0; i < f->n; i++) {
		assert_true(f->nodes[i].in_bytes + f->nodes[i].port.out_bytes <
			    20ull * NODE_BYTES_PER_SECOND);
		heard += f->nodes[i].blocks;
	}
	assert_true(heard > 0);
	fleet_free(f);
}

static void test_malformed_messages_are_refused(void **state)
{
	fleet_t *f = fleet_new(2, 1, 2);
	ap_rng_t rng;
	unsigned char junk[64];

	(void)state;
	ap_rng_seed(&rng, 3);
	for (int i = 0; i < 20000; i++) {
		size_t len = fake_junk(&rng, junk, sizeof(junk));

		assert_int_equal(ap_report_receive(f->nodes[0].r, "e1", junk, len, 0, NULL),
				 AP_REPORT_MALFORMED);
	}
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_two_pollers_and_all_know_every_load),
		cmocka_unit_test(test_loaded_models_are_known_to_the_whole_region_only),
		cmocka_unit_test(test_versions_are_known_to_the_whole_region),
		cmocka_unit_test(test_lost_poller_is_replaced),
		cmocka_unit_test(test_second_poller_reads_only_while_the_first_is_silent),
		cmocka_unit_test(test_leaving_is_known_to_the_region_within_three_seconds),
		cmocka_unit_test(test_withdrawal_is_known_to_the_region_within_three_seconds),
		cmocka_unit_test(test_newest_withdrawal_counts_and_expires),
		cmocka_unit_test(test_offer_reaches_every_other_region),
		cmocka_unit_test(test_bytes_stay_in_budget_with_busy_loads_and_caches),
		cmocka_unit_test(test_malformed_messages_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
