/*
 * Random faults over membership, configuration, leases, orders and reports together: lost, delayed
 * and duplicated messages, store failures, paused and restarted instances, partitioned regions.
 * Invariants are asserted during the run. `--seed N` runs one seed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_gate.h"
#include "fake_net.h"
#include "member/member.h"
#include "order/order.h"
#include "report/report.h"
#include "spread/spread.h"
#include "wire/wire.h"

#define NODES 18
#define REGIONS 3
#define ENGINES 9
#define TICK_INTERVAL (200 * AP_MSEC)
#define LEASE_TTL (30 * AP_SEC)
#define EVENTS_MIN 1000000
#define ROUND_MAX (40 * AP_SEC)
#define SETTLE_TIME (180 * AP_SEC)

typedef struct run run_t;

typedef struct node {
	run_t *run;
	int number;
	unsigned restarts;
	fake_port_t port;
	fake_gate_t *gate; /* one per process, since responses to an earlier one may still arrive */
	ap_entry_t entry;
	ap_member_t *m;
	ap_spread_t *s;
	ap_order_t *o;
	ap_report_t *r;
	uint64_t generation;
	bool superseded;
} node_t;

struct run {
	fake_sim_t sim;
	fake_net_t net;
	fake_store_t store;
	node_t nodes[NODES];
	fake_gate_t *gates[4096];
	size_t n_gates;
	ap_upstream_t engines[ENGINES];
	uint64_t engine_fence[ENGINES];
	uint64_t epoch;
	uint64_t acknowledged; /* highest generation whose acceptance was reported */
	uint64_t proposed;
	uint64_t accepted;
	uint64_t orders;
	uint64_t violations;
	int cut_region;
	bool proposal_pending;
	bool finished;
};

static void violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	node_t *node = ctx;

	print_error("%s: %s\n", ap_invariant_name(invariant), what);
	node->run->violations++;
}

static bool is_cut(void *ctx, int from, int to)
{
	const run_t *w = ctx;

	return w->cut_region >= 0 &&
	       (from % REGIONS == w->cut_region) != (to % REGIONS == w->cut_region);
}

static void deliver(void *ctx, int to, const char *from, const void *data, size_t len)
{
	run_t *w = ctx;
	node_t *node = &w->nodes[to];

	if (w->finished || node->gate->paused)
		return;
	switch (ap_wire_peek(data, len)) {
	case AP_WIRE_MEMBER:
		assert_int_equal(ap_member_receive(node->m, from, data, len, w->sim.now, NULL),
				 AP_MEMBER_OK);
		break;
	case AP_WIRE_SPREAD:
		assert_int_equal(ap_spread_receive(node->s, from, data, len, w->sim.now, NULL),
				 AP_SPREAD_OK);
		break;
	case AP_WIRE_REPORT:
		assert_int_equal(ap_report_receive(node->r, from, data, len, w->sim.now, NULL),
				 AP_REPORT_OK);
		break;
	default:
		fail_msg("message of unknown kind");
	}
}

static void changed(void *ctx)
{
	node_t *node = ctx;
	ap_entry_t entries[NODES + 1];
	ap_usec_t now = node->run->sim.now;
	size_t n = ap_member_entries(node->m, entries, NODES + 1);

	assert_true(n <= NODES);
	ap_spread_set_entries(node->s, entries, n, now);
	ap_order_set_entries(node->o, entries, n, now);
	ap_report_set_entries(node->r, entries, n, now);
}

static void superseded(void *ctx)
{
	((node_t *)ctx)->superseded = true;
}

static void on_activated(void *ctx, const ap_conf_t *conf)
{
	node_t *node = ctx;

	assert_true(conf->generation > node->generation);
	node->generation = conf->generation;
	ap_order_set_conf(node->o, conf, node->run->sim.now);
}

static void on_load(void *ctx, const ap_load_report_t *report)
{
	const node_t *node = ctx;
	int engine = atoi(report->upstream + 1);

	/* Loads are announced within the region of the upstream only. */
	assert_int_equal(engine % REGIONS, node->number % REGIONS);
	assert_true(report->at <= node->run->sim.now);
}

static void on_capacity_offer(void *ctx, const ap_capacity_offer_t *offer)
{
	const node_t *node = ctx;

	assert_string_not_equal(offer->region, node->entry.region);
}

static void on_upstream_draining(void *ctx, const char *upstream)
{
	const node_t *node = ctx;

	assert_int_equal(atoi(upstream + 1) % REGIONS, node->number % REGIONS);
}

typedef struct order {
	run_t *run;
	fake_gate_t *gate;
	int engine;
	uint64_t fence;
	ap_order_done_t done;
	void *arg;
} order_t;

static void finish_order(void *arg, void *data)
{
	order_t *o = data;
	order_t *later;

	(void)arg;
	if (!o->gate->paused) {
		o->done(o->arg, AP_ORDER_OK, NULL);
		return;
	}
	later = malloc(sizeof(*later));
	assert_non_null(later);
	*later = *o;
	fake_at(&o->run->sim, o->run->sim.now + AP_SEC, finish_order, NULL, later);
}

/* The store must name the sender as lease holder, and fencing tokens must not decrease. */
static void handle_order(node_t *node, const char *upstream, uint64_t fence, ap_order_done_t done,
			 void *arg)
{
	run_t *w = node->run;
	order_t *o = malloc(sizeof(*o));
	char key[AP_LEASE_KEY_MAX];
	fake_key_t *found;

	assert_non_null(o);
	fake_expire(&w->store);
	snprintf(key, sizeof(key), "arbutuspond/orders/%s", node->entry.region);
	found = fake_key(&w->store, key, false);
	assert_non_null(found);
	assert_string_not_equal(found->session, "");
	assert_int_equal(found->lock_index, fence);
	assert_true(fence >= w->engine_fence[atoi(upstream + 1)]);
	*o = (order_t){w, node->gate, atoi(upstream + 1), fence, done, arg};
	w->engine_fence[o->engine] = fence;
	w->orders++;
	fake_at(&w->sim, w->sim.now + (ap_usec_t)ap_rng_below(&w->sim.rng, 3 * AP_SEC),
		finish_order, NULL, o);
}

static void load(void *ctx, const char *upstream, const char *model, const char *version,
		 uint64_t fence, ap_usec_t limit, ap_order_done_t done, void *arg)
{
	(void)model;
	(void)version;
	(void)limit;
	handle_order(ctx, upstream, fence, done, arg);
}

static void unload(void *ctx, const char *upstream, const char *model, uint64_t fence,
		   ap_usec_t limit, ap_order_done_t done, void *arg)
{
	(void)model;
	(void)limit;
	handle_order(ctx, upstream, fence, done, arg);
}

static void withdraw(void *ctx, const char *upstream, const char *item, uint64_t fence,
		     uint64_t number, ap_usec_t keep)
{
	node_t *node = ctx;

	ap_report_withdraw(node->r, upstream, item, fence, number, keep, node->run->sim.now);
}

static bool withdrawn(void *ctx, const char *upstream, const char *item)
{
	const node_t *node = ctx;

	return ap_report_is_withdrawn(node->r, upstream, item);
}

/* Never shows a loaded model, so that orders continue for the whole run. */
static void observe(void *ctx, const char *upstream)
{
	node_t *node = ctx;
	ap_loaded_item_t none = {.name = "", .version = ""};

	ap_order_observed(node->o, upstream, &none, 0, node->run->engine_fence[atoi(upstream + 1)],
			  node->run->sim.now, node->run->sim.now);
}

static json_t *document(int rate, int replicas)
{
	char hash[AP_KEY_HASH_TEXT_MAX];

	ap_key_hash("key", hash);
	return json_pack("{s:{s:{s:s, s:s, s:i}}, s:{s:{s:s, s:i, s:i, s:i}},"
			 " s:{s:{s:{s:b}, s:b, s:i}}, s:{s:{s:{}, s:{}, s:i}}}",
			 "caller", "c", "home", "r0", "key_hash", hash, "rate", rate, "model", "m",
			 "version", "v1", "weight_bytes", 1000, "prefill_us", 1, "decode_us", 1,
			 "pool", "p", "instances", "gpu", 1, "fenced", 1, "slots", 4, "rule", "all",
			 "pools", "models", "replicas", replicas);
}

static uint64_t stored_generation(run_t *w)
{
	const fake_key_t *key = fake_key(&w->store, AP_SPREAD_HEAD_KEY, false);
	json_t *head = key ? json_loadb(key->value, key->len, 0, NULL) : NULL;
	json_t *first = json_array_get(json_object_get(head, "history"), 0);
	uint64_t generation = (uint64_t)json_integer_value(json_object_get(first, "generation"));

	json_decref(head);
	return generation;
}

static void proposed(void *arg, const ap_spread_result_t *result)
{
	run_t *w = arg;

	w->proposal_pending = false;
	if (result->status != AP_SPREAD_OK)
		return;
	w->accepted++;
	/* A proposal is reported as accepted only if the store contains it. */
	assert_true(stored_generation(w) >= result->generation);
	if (result->generation > w->acknowledged)
		w->acknowledged = result->generation;
}

static void tick(void *arg, void *data);

static void schedule(run_t *w, int node, ap_usec_t after)
{
	int *copy = malloc(2 * sizeof(*copy));

	assert_non_null(copy);
	copy[0] = node;
	copy[1] = (int)w->nodes[node].restarts;
	fake_at(&w->sim, w->sim.now + after, tick, w, copy);
}

static void poll(node_t *node)
{
	run_t *w = node->run;
	ap_capacity_offer_t offer = {.model = "m", .rate = 3.0};

	for (int i = 0; i < ENGINES; i++) {
		ap_load_report_t report = {.at = w->sim.now};

		if (!ap_report_is_poller(node->r, w->engines[i].id))
			continue;
		report.running = (uint32_t)ap_rng_below(&w->sim.rng, 50);
		ap_copy_name(report.upstream, sizeof(report.upstream), w->engines[i].id);
		ap_report_load_read(node->r, &report, w->sim.now);
	}
	ap_report_set_own_offer(node->r, &offer, w->sim.now);
}

static void tick(void *arg, void *data)
{
	run_t *w = arg;
	const int *which = data;
	node_t *node = &w->nodes[which[0]];

	if ((int)node->restarts != which[1])
		return;
	if (!node->gate->paused) {
		ap_member_tick(node->m, w->sim.now);
		ap_spread_tick(node->s, w->sim.now);
		ap_order_tick(node->o, w->sim.now);
		poll(node);
		ap_report_tick(node->r, w->sim.now);
	}
	schedule(w, which[0], TICK_INTERVAL);
}

static void stop(node_t *node)
{
	ap_member_free(node->m);
	ap_spread_free(node->s);
	ap_order_free(node->o);
	ap_report_free(node->r);
	node->gate->paused = false;
	node->restarts++;
}

static void start(run_t *w, int i)
{
	node_t *node = &w->nodes[i];
	uint64_t seed = ap_rng_u64(&w->sim.rng);
	ap_env_t env = {.ctx = node, .violated = violated};
	ap_peer_port_t peer = {&node->port, fake_send};
	ap_entry_t listed[NODES];
	ap_kv_port_t kv;

	node->gate = calloc(1, sizeof(*node->gate));
	assert_non_null(node->gate);
	assert_true(w->n_gates < sizeof(w->gates) / sizeof(w->gates[0]));
	w->gates[w->n_gates++] = node->gate;
	kv = fake_gate_port(node->gate, &w->store);
	node->run = w;
	node->number = i;
	node->port = (fake_port_t){.net = &w->net, .self = i};
	node->generation = 0;
	node->superseded = false;
	node->entry = (ap_entry_t){.inc = ap_rng_id(&w->sim.rng), .weight = 1.0};
	snprintf(node->entry.id, AP_NAME_MAX, "e%d", i);
	snprintf(node->entry.region, AP_NAME_MAX, "r%d", i % REGIONS);
	snprintf(node->entry.data_centre, AP_NAME_MAX, "r%d-%d", i % REGIONS, i % 2);
	node->m = ap_member_new(&(ap_member_config_t){.self = node->entry,
						      .epoch = ++w->epoch,
						      .seed = seed,
						      .peer = peer,
						      .env = env,
						      .ctx = node,
						      .changed = changed,
						      .superseded = superseded},
				w->sim.now);
	node->s = ap_spread_new(&(ap_spread_config_t){.self = node->entry,
						      .seed = seed,
						      .kv = kv,
						      .peer = peer,
						      .env = env,
						      .ctx = node,
						      .activated = on_activated},
				w->sim.now);
	node->o = ap_order_new(&(ap_order_config_t){.self = node->entry,
						    .seed = seed,
						    .lease_ttl = LEASE_TTL,
						    .weight_rate = 1e9,
						    .loads_max = 4,
						    .kv = kv,
						    .port = {node, load, unload},
						    .env = env,
						    .ctx = node,
						    .observe = observe,
						    .withdraw = withdraw,
						    .is_withdrawn = withdrawn},
			       w->sim.now);
	node->r = ap_report_new(&(ap_report_config_t){.self = node->entry,
						      .seed = seed,
						      .peer = peer,
						      .env = env,
						      .ctx = node,
						      .load = on_load,
						      .offer = on_capacity_offer,
						      .draining = on_upstream_draining},
				w->sim.now);
	for (int k = 0; k < NODES; k++) {
		listed[k] = (ap_entry_t){.weight = 1.0};
		snprintf(listed[k].id, AP_NAME_MAX, "e%d", k);
		snprintf(listed[k].region, AP_NAME_MAX, "r%d", k % REGIONS);
	}
	ap_member_set_listed(node->m, listed, NODES, w->sim.now);
	ap_report_set_upstreams(node->r, w->engines, ENGINES, w->sim.now);
	ap_order_set_upstreams(node->o, w->engines, ENGINES, w->sim.now);
	schedule(w, i, (ap_usec_t)ap_rng_below(&w->sim.rng, TICK_INTERVAL));
}

static void propose(run_t *w)
{
	node_t *node = &w->nodes[ap_rng_below(&w->sim.rng, NODES)];
	json_t *doc;

	if (node->gate->paused || w->proposal_pending)
		return;
	doc = document(1 + (int)ap_rng_below(&w->sim.rng, 100),
		       1 + (int)ap_rng_below(&w->sim.rng, 3));
	w->proposal_pending = true;
	w->proposed++;
	ap_spread_propose(node->s, doc, ap_spread_generation(node->s), 1, w->sim.now, proposed, w);
	json_decref(doc);
}

static void disturb(run_t *w)
{
	w->net.loss = ap_rng_unit(&w->sim.rng) < 0.5 ? 0.2 : 0.02;
	w->store.response_loss = ap_rng_unit(&w->sim.rng) < 0.3 ? 0.3 : 0.0;
	w->store.stall = ap_rng_unit(&w->sim.rng) < 0.2 ? 3 * AP_SEC : 0;
	fake_store_set_unreachable(&w->store, ap_rng_unit(&w->sim.rng) < 0.25);
	w->cut_region = (int)ap_rng_below(&w->sim.rng, 6) - 3;
	for (int i = 0; i < NODES; i++) {
		node_t *node = &w->nodes[i];

		node->gate->paused = ap_rng_unit(&w->sim.rng) < 0.1;
		if (ap_rng_unit(&w->sim.rng) < 0.05) {
			/* A proposal in progress of the stopped process gets no result. */
			w->proposal_pending = false;
			stop(node);
			start(w, i);
		}
	}
	if (ap_rng_unit(&w->sim.rng) < 0.3)
		ap_report_saw_draining(w->nodes[0].r, w->engines[0].id, w->sim.now);
}

static void clear_faults(run_t *w)
{
	w->net.loss = 0.0;
	w->store.response_loss = 0.0;
	w->store.stall = 0;
	fake_store_set_unreachable(&w->store, false);
	w->cut_region = -1;
	for (int i = 0; i < NODES; i++)
		w->nodes[i].gate->paused = false;
}

/* Without faults, all nodes agree on the live members and the last generation. */
static void check_converged(run_t *w)
{
	uint64_t generation = ap_spread_generation(w->nodes[0].s);

	assert_true(generation >= w->acknowledged);
	for (int i = 0; i < NODES; i++) {
		ap_entry_t entries[NODES + 1];

		assert_false(w->nodes[i].superseded);
		assert_int_equal(ap_spread_generation(w->nodes[i].s), generation);
		assert_true(generation == 0 || ap_spread_ready(w->nodes[i].s, w->sim.now, NULL));
		assert_int_equal(ap_member_entries(w->nodes[i].m, entries, NODES + 1), NODES);
		for (int k = 0; k < NODES; k++)
			assert_true(ap_id_eq(entries[k].inc,
					     w->nodes[atoi(entries[k].id + 1)].entry.inc));
	}
}

static run_t *run_new(uint64_t seed)
{
	run_t *w = calloc(1, sizeof(*w));
	static ap_label_t gpu = {"gpu", "yes"};

	assert_non_null(w);
	ap_rng_seed(&w->sim.rng, seed);
	w->net = (fake_net_t){.sim = &w->sim,
			      .duplication = 0.1,
			      .delay = AP_MSEC,
			      .jitter = 200 * AP_MSEC,
			      .ctx = w,
			      .is_blocked = is_cut,
			      .deliver = deliver};
	w->store.sim = &w->sim;
	w->store.delay = 5 * AP_MSEC;
	w->cut_region = -1;
	for (int i = 0; i < ENGINES; i++) {
		snprintf(w->engines[i].id, AP_NAME_MAX, "u%d", i);
		snprintf(w->engines[i].region, AP_NAME_MAX, "r%d", i % REGIONS);
		w->engines[i].labels = (ap_labels_t){&gpu, 1};
	}
	for (int i = 0; i < NODES; i++)
		start(w, i);
	return w;
}

static void run_free(run_t *w)
{
	w->finished = true;
	for (int i = 0; i < NODES; i++)
		stop(&w->nodes[i]);
	fake_store_set_unreachable(&w->store, true);
	fake_run(&w->sim, w->sim.now + 200 * AP_SEC);
	for (size_t i = 0; i < w->n_gates; i++)
		free(w->gates[i]);
	fake_store_clear(&w->store);
	fake_sim_clear(&w->sim);
	free(w);
}

static uint64_t run_seed(uint64_t seed, uint64_t events)
{
	run_t *w = run_new(seed);
	uint64_t done;

	fake_run(&w->sim, 30 * AP_SEC);
	while (w->sim.events < events) {
		for (int round = 0; round < 12; round++) {
			disturb(w);
			for (int i = 0; i < 3; i++) {
				propose(w);
				fake_run(&w->sim, w->sim.now + (ap_usec_t)ap_rng_below(
								       &w->sim.rng, ROUND_MAX / 3));
			}
		}
		clear_faults(w);
		fake_run(&w->sim, w->sim.now + SETTLE_TIME);
		check_converged(w);
	}
	assert_int_equal(w->violations, 0);
	assert_true(w->accepted > 20);
	assert_true(w->orders > 100);
	done = w->sim.events;
	print_message("seed %llu: %llu events, %llu of %llu changes accepted, %llu orders\n",
		      (unsigned long long)seed, (unsigned long long)done,
		      (unsigned long long)w->accepted, (unsigned long long)w->proposed,
		      (unsigned long long)w->orders);
	run_free(w);
	return done;
}

static uint64_t only_seed;

static void test_random_faults_over_a_million_events(void **state)
{
	uint64_t events = 0;

	(void)state;
	if (only_seed != 0) {
		run_seed(only_seed, EVENTS_MIN);
		return;
	}
	for (uint64_t seed = 1; seed <= 4; seed++)
		events += run_seed(seed, EVENTS_MIN / 4);
	assert_true(events >= EVENTS_MIN);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_faults_over_a_million_events),
	};

	if (argc == 3 && strcmp(argv[1], "--seed") == 0)
		only_seed = strtoull(argv[2], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
