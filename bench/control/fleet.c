/*
 * The fleet's entries: their modules connected to the fake network and store, their periodic ticks,
 * and the loads, models and cache events that they are fed with.
 */
#include "fleet.h"

#include <time.h>

#define TICK (200 * AP_MSEC)
#define CALLERS_MAX 1800
#define MODELS 7
#define MODELS_LOADED 2 /* per upstream */

static double cpu_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void on_entries_changed(void *ctx)
{
	node_t *node = ctx;
	fleet_t *f = node->f;
	size_t n = ap_member_entries(node->member, f->scratch, ENTRIES_MAX);
	ap_usec_t now = f->sim.now;

	ap_spread_set_entries(node->spread, f->scratch, n, now);
	ap_order_set_entries(node->order, f->scratch, n, now);
	ap_report_set_entries(node->report, f->scratch, n, now);
}

static void on_activated(void *ctx, const ap_conf_t *conf)
{
	node_t *node = ctx;

	node->generation = conf->generation;
	node->activated_at = node->f->sim.now;
	ap_order_set_conf(node->order, conf, node->f->sim.now);
}

static void on_withdraw(void *ctx, const char *upstream, const char *item, uint64_t fence,
			uint64_t number, ap_usec_t keep)
{
	node_t *node = ctx;

	ap_report_withdraw(node->report, upstream, item, fence, number, keep, node->f->sim.now);
}

static bool is_withdrawn(void *ctx, const char *upstream, const char *item)
{
	const node_t *node = ctx;

	return ap_report_is_withdrawn(node->report, upstream, item);
}

static void on_observe(void *ctx, const char *upstream)
{
	(void)ctx;
	(void)upstream;
}

static void on_load(void *ctx, const ap_load_report_t *report)
{
	node_t *node = ctx;

	node->load_at[atoi(report->upstream + strlen("engine-"))] = report->at;
}

static void on_offer(void *ctx, const ap_capacity_offer_t *offer)
{
	(void)ctx;
	(void)offer;
}

static void on_cache(void *ctx, const ap_cache_event_t *event)
{
	(void)ctx;
	(void)event;
}

static void on_leaving(void *ctx, const char *upstream)
{
	(void)ctx;
	(void)upstream;
}

static void deliver(void *ctx, int to, const char *from, const void *data, size_t len)
{
	fleet_t *f = ctx;
	node_t *node = &f->nodes[to];
	double begin;

	if (node->down)
		return;
	node->in_bytes += len;
	node->in_messages++;
	kinds_add(node->kinds, data, len);
	begin = cpu_now();
	switch (ap_wire_peek(data, len)) {
	case AP_WIRE_MEMBER:
		ap_member_receive(node->member, from, data, len, f->sim.now, NULL);
		break;
	case AP_WIRE_SPREAD:
		ap_spread_receive(node->spread, from, data, len, f->sim.now, NULL);
		break;
	default:
		ap_report_receive(node->report, from, data, len, f->sim.now, NULL);
		break;
	}
	node->cpu += cpu_now() - begin;
}

static void record(fleet_t *f, int from, const char *to, size_t len)
{
	record_t *r = &f->record;

	if (r->n == r->capacity) {
		r->capacity = r->capacity ? r->capacity * 2 : 65536;
		r->messages = realloc(r->messages, r->capacity * sizeof(*r->messages));
		if (!r->messages)
			abort();
	}
	r->messages[r->n++] =
		(message_t){f->sim.now, (uint16_t)from, (uint16_t)atoi(to + 1), (uint32_t)len};
}

static void send_counted(void *ctx, const char *to, const void *data, size_t len)
{
	node_t *node = ctx;

	double begin = cpu_now();

	kinds_add(node->kinds, data, len);
	node->cpu -= cpu_now() - begin;
	if (node->f->record.on)
		record(node->f, node->number, to, len);
	fake_send(&node->port, to, data, len);
}

/* Reports the models of an upstream, which are the same at every call. */
static void read_models(node_t *node, int upstream)
{
	uint32_t names[MODELS_LOADED];
	uint32_t versions[MODELS_LOADED];

	for (int i = 0; i < MODELS_LOADED; i++) {
		char name[AP_NAME_MAX];

		snprintf(name, sizeof(name), "model-%d", (upstream + i) % MODELS);
		names[i] = ap_report_name_hash(name);
		versions[i] = ap_version_hash("1");
	}
	ap_report_models_read(node->report, node->f->upstream_list[upstream].id, names, versions,
			      MODELS_LOADED, node->f->sim.now);
}

/* Feeds a cache event with four random blocks from an upstream that this node polls. */
static void receive_cache_event(node_t *node, int upstream)
{
	fleet_t *f = node->f;
	uint64_t blocks[4];
	ap_cache_event_t event = {.seq = (uint64_t)(f->sim.now / AP_SEC),
				  .stored = true,
				  .blocks = blocks,
				  .n_blocks = 4};

	for (int b = 0; b < 4; b++)
		blocks[b] = ap_rng_u64(&f->sim.rng);
	ap_copy_name(event.upstream, sizeof(event.upstream), f->upstream_list[upstream].id);
	ap_report_cache_event(node->report, &event, f->sim.now);
}

static void read_load(node_t *node, int upstream)
{
	fleet_t *f = node->f;
	ap_load_report_t load = {.at = f->sim.now, .kv_used = ap_rng_unit(&f->sim.rng)};

	load.running = (uint32_t)ap_rng_below(&f->sim.rng, 64);
	load.waiting = (uint32_t)ap_rng_below(&f->sim.rng, 16);
	ap_copy_name(load.upstream, sizeof(load.upstream), f->upstream_list[upstream].id);
	ap_report_load_read(node->report, &load, f->sim.now);
	node->read_at[upstream] = f->sim.now;
	node->polls++;
}

/* Reads the loads that are due, each at most once a second, as the daemon does. */
static void read_loads(node_t *node)
{
	fleet_t *f = node->f;

	for (int i = 0; i < f->upstreams; i++) {
		if (f->sim.now - node->read_at[i] < AP_SEC ||
		    !ap_report_should_read(node->report, f->upstream_list[i].id, f->sim.now))
			continue;
		read_load(node, i);
		read_models(node, i);
	}
}

/* Runs once a second, in idle phases too: feeds cache events and capacity offers. */
static void observe_upstreams(node_t *node)
{
	fleet_t *f = node->f;

	for (int i = 0; i < f->upstreams; i++) {
		if (ap_report_is_poller(node->report, f->upstream_list[i].id))
			receive_cache_event(node, i);
	}
	for (int i = 0; i < MODELS; i++) {
		ap_capacity_offer_t offer = {.rate = 10.0 + i, .wait = 100 * AP_MSEC};

		snprintf(offer.model, sizeof(offer.model), "model-%d", i);
		ap_report_set_own_offer(node->report, &offer, f->sim.now);
	}
}

typedef struct tick {
	int node;
	unsigned process;
} tick_t;

static void run_tick(void *arg, void *data)
{
	fleet_t *f = arg;
	tick_t tick = *(tick_t *)data;
	node_t *node = &f->nodes[tick.node];
	tick_t *next;
	double begin;

	if (node->down || node->process != tick.process)
		return;
	begin = cpu_now();
	ap_member_tick(node->member, f->sim.now);
	ap_spread_tick(node->spread, f->sim.now);
	ap_order_tick(node->order, f->sim.now);
	if (f->sim.now >= node->next_poll) {
		node->next_poll = f->sim.now + AP_SEC;
		observe_upstreams(node);
	}
	read_loads(node);
	ap_report_tick(node->report, f->sim.now);
	node->cpu += cpu_now() - begin;
	next = malloc(sizeof(*next));
	if (!next)
		abort();
	*next = tick;
	fake_at(&f->sim, f->sim.now + TICK, run_tick, f, next);
}

void fleet_stop(node_t *node)
{
	ap_member_free(node->member);
	ap_spread_free(node->spread);
	ap_order_free(node->order);
	ap_report_free(node->report);
	node->member = NULL;
	node->spread = NULL;
	node->order = NULL;
	node->report = NULL;
	node->down = true;
	node->process++;
}

/* Regions differ about tenfold in size: the first has 36 % of all entries, the last 3 %. */
static int region_of(int i, int regions)
{
	static const int shares[] = {36, 20, 15, 12, 8, 6, 3};
	int at = i * 37 % 100;

	for (int r = 0; r < regions; r++) {
		at -= shares[r];
		if (at < 0)
			return r;
	}
	return i % regions;
}

static void set_listed_entries(const node_t *node)
{
	const fleet_t *f = node->f;

	for (int i = 0; i < f->n; i++)
		f->scratch[i] = f->nodes[i].entry;
	ap_member_set_listed(node->member, f->scratch, (size_t)f->n, f->sim.now);
}

static void make_entry(fleet_t *f, int i)
{
	node_t *node = &f->nodes[i];
	int region = region_of(i, f->regions);

	node->entry = (ap_entry_t){.inc = ap_rng_id(&f->sim.rng),
				   .caller_port = 8080,
				   .data_port = 7001,
				   .control_port = 7002,
				   .weight = 1.0};
	snprintf(node->entry.id, AP_NAME_MAX, "e%d", i);
	snprintf(node->entry.host, AP_HOST_MAX, "10.%d.%d.%d", region, i / 250, i % 250);
	snprintf(node->entry.region, AP_NAME_MAX, "region-%d", region);
	snprintf(node->entry.data_centre, AP_NAME_MAX, "region-%d-dc-%d", region, i % 2);
	memset(node->entry.public_key, 'k', sizeof(node->entry.public_key) - 1);
}

void fleet_start(fleet_t *f, int i)
{
	node_t *node = &f->nodes[i];
	uint64_t seed = ++f->epoch * 1000003;
	ap_peer_port_t peer = {node, send_counted};
	ap_member_config_t member = {.epoch = f->epoch,
				     .seed = seed,
				     .peer = peer,
				     .ctx = node,
				     .changed = on_entries_changed};
	ap_spread_config_t spread = {.seed = seed,
				     .kv = fake_gate_port(&node->gate, &f->store),
				     .peer = peer,
				     .ctx = node,
				     .activated = on_activated};
	ap_order_config_t order = {.seed = seed,
				   .lease_ttl = 60 * AP_SEC,
				   .weight_rate = 1e9,
				   .loads_max = 4,
				   .kv = fake_gate_port(&node->gate, &f->store),
				   .ctx = node,
				   .observe = on_observe,
				   .withdraw = on_withdraw,
				   .is_withdrawn = is_withdrawn};
	ap_report_config_t report = {.seed = seed,
				     .peer = peer,
				     .ctx = node,
				     .load = on_load,
				     .offer = on_offer,
				     .cache = on_cache,
				     .draining = on_leaving};
	tick_t *first = malloc(sizeof(*first));

	if (!first)
		abort();
	make_entry(f, i);
	node->f = f;
	node->number = i;
	node->port.net = &f->net;
	node->port.self = i;
	node->gate.clock = cpu_now;
	node->down = false;
	node->generation = 0;
	memset(node->load_at, 0, sizeof(node->load_at));
	memset(node->read_at, 0, sizeof(node->read_at));
	member.self = spread.self = order.self = report.self = node->entry;
	node->member = ap_member_new(&member, f->sim.now);
	node->spread = ap_spread_new(&spread, f->sim.now);
	node->order = ap_order_new(&order, f->sim.now);
	node->report = ap_report_new(&report, f->sim.now);
	set_listed_entries(node);
	ap_report_set_upstreams(node->report, f->upstream_list, (size_t)f->upstreams, f->sim.now);
	ap_order_set_upstreams(node->order, f->upstream_list, (size_t)f->upstreams, f->sim.now);
	on_entries_changed(node);
	*first = (tick_t){i, ++node->process};
	fake_at(&f->sim, f->sim.now + (ap_usec_t)ap_rng_below(&f->sim.rng, TICK), run_tick, f,
		first);
}

static json_t *make_document(int callers)
{
	json_t *doc = json_pack("{s:{}, s:{}}", "caller", "model");

	for (int i = 0; i < callers; i++) {
		char name[AP_NAME_MAX], key[AP_NAME_MAX], hash[AP_KEY_HASH_TEXT_MAX];

		snprintf(name, sizeof(name), "customer-%d", i);
		snprintf(key, sizeof(key), "key-%d", i);
		ap_key_hash(key, hash);
		json_object_set_new(json_object_get(doc, "caller"), name,
				    json_pack("{s:s, s:s, s:i, s:i, s:i, s:{s:s, s:s}}", "home",
					      "region-0", "key_hash", hash, "rate", 5, "burst", 10,
					      "concurrent", 4, "labels", "tier", "standard",
					      "branch", "north"));
	}
	for (int i = 0; i < MODELS; i++) {
		char name[AP_NAME_MAX];

		snprintf(name, sizeof(name), "model-%d", i);
		json_object_set_new(json_object_get(doc, "model"), name,
				    json_pack("{s:s, s:I, s:i, s:i}", "version", "v1",
					      "weight_bytes", (json_int_t)1000000000, "prefill_us",
					      100, "decode_us", 100));
	}
	return doc;
}

static void on_proposed(void *arg, const ap_spread_result_t *result)
{
	ap_spread_status_t *status = arg;

	*status = result->status;
}

uint64_t fleet_change(fleet_t *f, int by)
{
	static ap_spread_status_t status;
	static int value = 10;
	node_t *node = &f->nodes[by];
	uint64_t base = ap_spread_generation(node->spread);
	json_t *caller = json_object_get(json_object_get(f->doc, "caller"), "customer-1");

	json_object_set_new(caller, "rate", json_integer(++value));
	status = AP_SPREAD_BUSY;
	ap_spread_propose(node->spread, f->doc, base, 0, f->sim.now, on_proposed, &status);
	for (int i = 0; i < 100 && status == AP_SPREAD_BUSY; i++)
		fake_run(&f->sim, f->sim.now + 50 * AP_MSEC);
	return status == AP_SPREAD_OK ? base + 1 : 0;
}

fleet_t *fleet_new(int n)
{
	fleet_t *f = calloc(1, sizeof(*f));

	if (!f)
		abort();
	f->n = n;
	f->regions = n < 60 ? 3 : 7;
	f->upstreams = n < 60 ? 21 : n * UPSTREAMS_MAX / ENTRIES_MAX;
	f->nodes = calloc((size_t)n, sizeof(*f->nodes));
	f->upstream_list = calloc((size_t)f->upstreams, sizeof(*f->upstream_list));
	f->scratch = calloc(ENTRIES_MAX, sizeof(*f->scratch));
	if (!f->nodes || !f->upstream_list || !f->scratch)
		abort();
	ap_rng_seed(&f->sim.rng, 42);
	f->net = (fake_net_t){.sim = &f->sim,
			      .delay = AP_MSEC,
			      .jitter = 40 * AP_MSEC,
			      .ctx = f,
			      .deliver = deliver};
	f->store.sim = &f->sim;
	f->store.delay = 5 * AP_MSEC;
	for (int i = 0; i < f->upstreams; i++) {
		snprintf(f->upstream_list[i].id, AP_NAME_MAX, "engine-%d", i);
		snprintf(f->upstream_list[i].region, AP_NAME_MAX, "region-%d",
			 region_of(i, f->regions));
	}
	for (int i = 0; i < n; i++)
		make_entry(f, i);
	f->doc = make_document(n < 60 ? 60 : CALLERS_MAX);
	for (int i = 0; i < n; i++)
		fleet_start(f, i);
	fake_run(&f->sim, 20 * AP_SEC);
	fleet_change(f, 0);
	fake_run(&f->sim, f->sim.now + 40 * AP_SEC);
	return f;
}

void fleet_free(fleet_t *f)
{
	for (int i = 0; i < f->n; i++)
		fleet_stop(&f->nodes[i]);
	fake_store_set_unreachable(&f->store, true);
	fake_run(&f->sim, f->sim.now + 10 * AP_SEC);
	fake_store_clear(&f->store);
	fake_sim_clear(&f->sim);
	json_decref(f->doc);
	free(f->record.messages);
	free(f->scratch);
	free(f->upstream_list);
	free(f->nodes);
	free(f);
}
