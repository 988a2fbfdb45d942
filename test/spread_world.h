/*
 * Simulates instances (entries) that distribute the configuration over lossy links and with a
 * faulty store, in virtual time.
 */
#ifndef AP_TEST_SPREAD_WORLD_H
#define AP_TEST_SPREAD_WORLD_H

#include "fake_gate.h"
#include "fake_net.h"
#include "fake_gate.h"
#include "spread/spread.h"

#define MAX 24
#define TICK (200 * AP_MSEC)

typedef struct node {
	ap_spread_t *s;
	fake_port_t port;
	fake_gate_t gate;
	ap_entry_t entry;
	bool down;
	uint64_t generation;
	struct fleet *fleet;
} node_t;

typedef struct fleet {
	fake_sim_t sim;
	fake_net_t net;
	fake_store_t store;
	node_t nodes[MAX];
	int n;
	int isolated_region;
	int events_reverted;
	int events_forked;
	bool stopped;
} fleet_t;

typedef struct proposal_result {
	int n;
	ap_spread_status_t status;
	uint64_t generation;
	size_t fields;
	ap_err_t err;
} proposal_result_t;

FAKE bool is_isolated(void *ctx, int from, int to)
{
	const fleet_t *f = ctx;

	return f->isolated_region >= 0 &&
	       (from % 3 == f->isolated_region) != (to % 3 == f->isolated_region);
}

FAKE void deliver(void *ctx, int to, const char *from, const void *data, size_t len)
{
	fleet_t *f = ctx;

	if (!f->stopped && !f->nodes[to].down && !f->nodes[to].gate.paused)
		assert_int_equal(
			ap_spread_receive(f->nodes[to].s, from, data, len, f->sim.now, NULL),
			AP_SPREAD_OK);
}

FAKE void activated(void *ctx, const ap_conf_t *conf)
{
	node_t *node = ctx;

	assert_true(conf->generation > node->generation);
	node->generation = conf->generation;
}

FAKE void on_event(void *ctx, const ap_event_t *event)
{
	node_t *node = ctx;

	node->fleet->events_reverted += strcmp(event->kind, "conf.reverted") == 0;
	node->fleet->events_forked += strcmp(event->kind, "conf.forked") == 0;
}

FAKE void on_proposed(void *arg, const ap_spread_result_t *result)
{
	proposal_result_t *a = arg;

	a->n++;
	a->status = result->status;
	a->generation = result->generation;
	a->fields = json_array_size(result->fields);
	a->err = result->err;
}

FAKE void run_tick(void *arg, void *data)
{
	fleet_t *f = arg;

	(void)data;
	if (f->stopped)
		return;
	for (int i = 0; i < f->n; i++) {
		if (!f->nodes[i].down && !f->nodes[i].gate.paused)
			ap_spread_tick(f->nodes[i].s, f->sim.now);
	}
	fake_at(&f->sim, f->sim.now + TICK, run_tick, f, NULL);
}

FAKE void start(fleet_t *f, int i)
{
	node_t *node = &f->nodes[i];
	ap_spread_config_t config = {.seed = (uint64_t)f->sim.now + (uint64_t)i + 1,
				     .kv = fake_gate_port(&node->gate, &f->store),
				     .activated = activated,
				     .ctx = node};

	ap_spread_free(node->s);
	node->fleet = f;
	node->entry = (ap_entry_t){.inc = ap_rng_id(&f->sim.rng), .weight = 1.0};
	snprintf(node->entry.id, AP_NAME_MAX, "e%d", i);
	snprintf(node->entry.region, AP_NAME_MAX, "r%d", i % 3);
	snprintf(node->entry.data_centre, AP_NAME_MAX, "r%d-1", i % 3);
	node->port = (fake_port_t){.net = &f->net, .self = i};
	node->down = false;
	node->generation = 0;
	config.self = node->entry;
	config.peer = (ap_peer_port_t){&node->port, fake_send};
	config.env = (ap_env_t){.ctx = node, .event = on_event};
	node->s = ap_spread_new(&config, f->sim.now);
}

FAKE void set_entries(fleet_t *f)
{
	ap_entry_t all[MAX];

	for (int i = 0; i < f->n; i++)
		all[i] = f->nodes[i].entry;
	for (int i = 0; i < f->n; i++)
		ap_spread_set_entries(f->nodes[i].s, all, (size_t)f->n, f->sim.now);
}

FAKE fleet_t *fleet_new(int n)
{
	fleet_t *f = calloc(1, sizeof(*f));

	assert_non_null(f);
	f->n = n;
	f->isolated_region = -1;
	ap_rng_seed(&f->sim.rng, 9);
	f->net = (fake_net_t){.sim = &f->sim,
			      .loss = 0.1,
			      .duplication = 0.1,
			      .delay = AP_MSEC,
			      .jitter = 40 * AP_MSEC,
			      .ctx = f,
			      .is_blocked = is_isolated,
			      .deliver = deliver};
	f->store.sim = &f->sim;
	f->store.delay = 5 * AP_MSEC;
	for (int i = 0; i < n; i++)
		start(f, i);
	set_entries(f);
	run_tick(f, NULL);
	return f;
}

FAKE void fleet_free(fleet_t *f)
{
	for (int i = 0; i < f->n; i++)
		ap_spread_free(f->nodes[i].s);
	f->stopped = true;
	fake_store_set_unreachable(&f->store, true);
	fake_run(&f->sim, f->sim.now + 200 * AP_SEC);
	fake_store_clear(&f->store);
	fake_sim_clear(&f->sim);
	free(f);
}

FAKE void run_for(fleet_t *f, int seconds)
{
	fake_run(&f->sim, f->sim.now + seconds * AP_SEC);
}

FAKE json_t *document(int callers)
{
	json_t *doc = json_pack("{s:{}}", "caller");

	for (int i = 0; i < callers; i++) {
		char name[AP_NAME_MAX], key[AP_NAME_MAX], hash[AP_KEY_HASH_TEXT_MAX];

		snprintf(name, sizeof(name), "c%d", i);
		snprintf(key, sizeof(key), "key-%d", i);
		ap_key_hash(key, hash);
		json_object_set_new(
			json_object_get(doc, "caller"), name,
			json_pack("{s:s, s:s, s:i}", "home", "r0", "key_hash", hash, "rate", 5));
	}
	return doc;
}

FAKE void set_field(json_t *doc, const char *caller, const char *field, int value)
{
	json_object_set_new(json_object_get(json_object_get(doc, "caller"), caller), field,
			    json_integer(value));
}

FAKE proposal_result_t propose(fleet_t *f, int by, json_t *doc, uint64_t base)
{
	proposal_result_t a = {0};

	ap_spread_propose(f->nodes[by].s, doc, base, 1000, f->sim.now, on_proposed, &a);
	for (int i = 0; i < 60 && a.n == 0; i++)
		run_for(f, 1);
	assert_int_equal(a.n, 1);
	return a;
}

FAKE void assert_all_at(const fleet_t *f, uint64_t generation)
{
	for (int i = 0; i < f->n; i++) {
		if (!f->nodes[i].down)
			assert_int_equal(ap_spread_generation(f->nodes[i].s), generation);
	}
}

#endif
