/*
 * Cost of control per node: membership, configuration, leases, orders and reports of a whole
 * fleet, run in one process with messages passed in memory and a store in memory. Virtual time for
 * what is counted and timed; processor time is measured around each node's calls.
 */
#include "../test/fake_gate.h"
#include "../test/fake_net.h"
#include "member/member.h"
#include "order/order.h"
#include "report/report.h"
#include "spread/spread.h"
#include "wire/wire.h"

#include <malloc.h>
#include <time.h>

#define MAX 420
#define UPSTREAMS_MAX 600
#define TICK (200 * AP_MSEC)
#define CALLERS_MAX 1800
#define MODELS 7
#define DAY 86400.0
#define CHANGES_PER_DAY 460
#define RESTARTS_PER_DAY 180

/* Targets, as stated for 420 nodes. */
#define BYTES_TARGET 18000.0	  /* a second and node, both ways */
#define CORE_TARGET 3.2		  /* per cent of a core */
#define MEMORY_TARGET 128.0	  /* MB */
#define IN_FORCE_TARGET 17.0	  /* seconds */
#define STORE_REST_TARGET 30.0	  /* calls a second, whole fleet */
#define STORE_WRITES_TARGET 200.0 /* a second, in the worst minute */
#define STORE_READS_TARGET 1000.0

typedef struct node node_t;

typedef struct fleet {
	fake_sim_t sim;
	fake_net_t net;
	fake_store_t store;
	node_t *nodes;
	int n;
	int regions;
	int upstreams;
	ap_upstream_t *list;
	uint64_t epoch;
	ap_entry_t *scratch;
	json_t *doc;
} fleet_t;

struct node {
	fleet_t *f;
	int number;
	fake_port_t port;
	fake_gate_t gate;
	ap_entry_t entry;
	ap_member_t *m;
	ap_spread_t *s;
	ap_order_t *o;
	ap_report_t *r;
	bool down;
	unsigned life;
	bool listed;
	uint64_t in_bytes;
	uint64_t in_kind[3]; /* membership, configuration, reports */
	uint64_t in_messages;
	double cpu; /* seconds */
	ap_usec_t in_force_at;
	uint64_t generation;
	ap_usec_t next_poll;
};

/* What one phase cost. */
typedef struct cost {
	double bytes_mean;
	double bytes_max;
	double in_kind[3];    /* mean node */
	double worst_kind[3]; /* of the worst node */
	double worst_out;
	double messages_mean;
	double core_mean; /* per cent */
	double core_max;
	double reads; /* store calls a second, whole fleet */
	double writes;
	double reads_worst; /* a second, in the worst minute */
	double writes_worst;
} cost_t;

static double cpu_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void changed(void *ctx)
{
	node_t *node = ctx;
	fleet_t *f = node->f;
	size_t n = ap_member_entries(node->m, f->scratch, MAX);
	ap_usec_t now = f->sim.now;

	ap_spread_set_entries(node->s, f->scratch, n, now);
	ap_order_set_entries(node->o, f->scratch, n, now);
	ap_report_set_entries(node->r, f->scratch, n, now);
}

static void in_force(void *ctx, const ap_conf_t *conf)
{
	node_t *node = ctx;

	node->generation = conf->generation;
	node->in_force_at = node->f->sim.now;
	ap_order_set_conf(node->o, conf, node->f->sim.now);
}

static void withdraw(void *ctx, const char *upstream, const char *item, uint64_t fence,
		     uint64_t number, ap_usec_t keep)
{
	node_t *node = ctx;

	ap_report_withdraw(node->r, upstream, item, fence, number, keep, node->f->sim.now);
}

static bool withdrawn(void *ctx, const char *upstream, const char *item)
{
	const node_t *node = ctx;

	return ap_report_is_withdrawn(node->r, upstream, item);
}

static void observe(void *ctx, const char *upstream)
{
	(void)ctx;
	(void)upstream;
}

static void on_load(void *ctx, const ap_load_report_t *report)
{
	(void)ctx;
	(void)report;
}

static void on_room(void *ctx, const ap_room_t *room)
{
	(void)ctx;
	(void)room;
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
	begin = cpu_now();
	switch (ap_wire_peek(data, len)) {
	case AP_WIRE_MEMBER:
		node->in_kind[0] += len;
		ap_member_receive(node->m, from, data, len, f->sim.now, NULL);
		break;
	case AP_WIRE_SPREAD:
		node->in_kind[1] += len;
		ap_spread_receive(node->s, from, data, len, f->sim.now, NULL);
		break;
	default:
		node->in_kind[2] += len;
		ap_report_receive(node->r, from, data, len, f->sim.now, NULL);
		break;
	}
	node->cpu += cpu_now() - begin;
}

/* Every poller reads its upstreams once a second; loads, rooms and cache events never rest. */
static void poll(node_t *node)
{
	fleet_t *f = node->f;
	ap_usec_t now = f->sim.now;

	for (int i = 0; i < f->upstreams; i++) {
		ap_load_report_t load = {.at = now, .kv_used = ap_rng_unit(&f->sim.rng)};
		uint64_t blocks[4];
		ap_cache_event_t event = {.seq = (uint64_t)(now / AP_SEC),
					  .stored = true,
					  .blocks = blocks,
					  .n_blocks = 4};

		if (!ap_report_polls(node->r, f->list[i].id))
			continue;
		load.running = (uint32_t)ap_rng_below(&f->sim.rng, 64);
		load.waiting = (uint32_t)ap_rng_below(&f->sim.rng, 16);
		ap_copy_name(load.upstream, sizeof(load.upstream), f->list[i].id);
		ap_copy_name(event.upstream, sizeof(event.upstream), f->list[i].id);
		ap_report_polled(node->r, &load, now);
		for (int b = 0; b < 4; b++)
			blocks[b] = ap_rng_u64(&f->sim.rng);
		ap_report_cached(node->r, &event, now);
	}
	for (int i = 0; i < MODELS; i++) {
		ap_room_t room = {.rate = 10.0 + i, .wait = 100 * AP_MSEC};

		snprintf(room.model, sizeof(room.model), "model-%d", i);
		ap_report_own_room(node->r, &room, now);
	}
}

typedef struct tick {
	int node;
	unsigned life;
} tick_t;

static void run_tick(void *arg, void *data)
{
	fleet_t *f = arg;
	tick_t tick = *(tick_t *)data;
	node_t *node = &f->nodes[tick.node];
	tick_t *next;
	double begin;

	if (node->down || node->life != tick.life)
		return;
	begin = cpu_now();
	ap_member_tick(node->m, f->sim.now);
	ap_spread_tick(node->s, f->sim.now);
	ap_order_tick(node->o, f->sim.now);
	if (f->sim.now >= node->next_poll) {
		node->next_poll = f->sim.now + AP_SEC;
		poll(node);
	}
	ap_report_tick(node->r, f->sim.now);
	node->cpu += cpu_now() - begin;
	next = malloc(sizeof(*next));
	if (!next)
		abort();
	*next = tick;
	fake_at(&f->sim, f->sim.now + TICK, run_tick, f, next);
}

static void stop(node_t *node)
{
	ap_member_free(node->m);
	ap_spread_free(node->s);
	ap_order_free(node->o);
	ap_report_free(node->r);
	node->m = NULL;
	node->s = NULL;
	node->o = NULL;
	node->r = NULL;
	node->down = true;
	node->life++;
}

/* Regions differ about tenfold in size: the first has 36 in 100 of all entries, the last 3. */
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

static void list_entries(const node_t *node)
{
	const fleet_t *f = node->f;

	for (int i = 0; i < f->n; i++)
		f->scratch[i] = f->nodes[i].entry;
	ap_member_listed(node->m, f->scratch, (size_t)f->n, f->sim.now);
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

static void start(fleet_t *f, int i)
{
	node_t *node = &f->nodes[i];
	uint64_t seed = ++f->epoch * 1000003;
	ap_peer_port_t peer = {&node->port, fake_send};
	ap_member_config_t member = {
		.epoch = f->epoch, .seed = seed, .peer = peer, .ctx = node, .changed = changed};
	ap_spread_config_t spread = {.seed = seed,
				     .kv = fake_gate_port(&node->gate, &f->store),
				     .peer = peer,
				     .ctx = node,
				     .in_force = in_force};
	ap_order_config_t order = {.seed = seed,
				   .lease_ttl = 60 * AP_SEC,
				   .weight_rate = 1e9,
				   .loads_max = 4,
				   .kv = fake_gate_port(&node->gate, &f->store),
				   .ctx = node,
				   .observe = observe,
				   .withdraw = withdraw,
				   .withdrawn = withdrawn};
	ap_report_config_t report = {.seed = seed,
				     .peer = peer,
				     .ctx = node,
				     .load = on_load,
				     .room = on_room,
				     .cache = on_cache,
				     .leaving = on_leaving};
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
	member.self = spread.self = order.self = report.self = node->entry;
	node->m = ap_member_new(&member, f->sim.now);
	node->s = ap_spread_new(&spread, f->sim.now);
	node->o = ap_order_new(&order, f->sim.now);
	node->r = ap_report_new(&report, f->sim.now);
	list_entries(node);
	ap_report_set_upstreams(node->r, f->list, (size_t)f->upstreams, f->sim.now);
	ap_order_set_upstreams(node->o, f->list, (size_t)f->upstreams, f->sim.now);
	changed(node);
	*first = (tick_t){i, ++node->life};
	fake_at(&f->sim, f->sim.now + (ap_usec_t)ap_rng_below(&f->sim.rng, TICK), run_tick, f,
		first);
}

static json_t *document(int callers)
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

static void proposed(void *arg, const ap_spread_result_t *result)
{
	ap_spread_status_t *status = arg;

	*status = result->status;
}

/* A change of one caller, by one node. Return: the generation it made, 0 when it failed. */
static uint64_t change(fleet_t *f, int by)
{
	static ap_spread_status_t status;
	static int value = 10;
	node_t *node = &f->nodes[by];
	uint64_t base = ap_spread_generation(node->s);
	json_t *caller = json_object_get(json_object_get(f->doc, "caller"), "customer-1");

	json_object_set_new(caller, "rate", json_integer(++value));
	status = AP_SPREAD_BUSY;
	ap_spread_propose(node->s, f->doc, base, 0, f->sim.now, proposed, &status);
	for (int i = 0; i < 100 && status == AP_SPREAD_BUSY; i++)
		fake_run(&f->sim, f->sim.now + 50 * AP_MSEC);
	return status == AP_SPREAD_OK ? base + 1 : 0;
}

static fleet_t *fleet_new(int n)
{
	fleet_t *f = calloc(1, sizeof(*f));

	if (!f)
		abort();
	f->n = n;
	f->regions = n < 60 ? 3 : 7;
	f->upstreams = n < 60 ? 21 : n * UPSTREAMS_MAX / MAX;
	f->nodes = calloc((size_t)n, sizeof(*f->nodes));
	f->list = calloc((size_t)f->upstreams, sizeof(*f->list));
	f->scratch = calloc(MAX, sizeof(*f->scratch));
	if (!f->nodes || !f->list || !f->scratch)
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
		snprintf(f->list[i].id, AP_NAME_MAX, "engine-%d", i);
		snprintf(f->list[i].region, AP_NAME_MAX, "region-%d", region_of(i, f->regions));
	}
	for (int i = 0; i < n; i++)
		make_entry(f, i);
	f->doc = document(n < 60 ? 60 : CALLERS_MAX);
	for (int i = 0; i < n; i++)
		start(f, i);
	fake_run(&f->sim, 20 * AP_SEC);
	change(f, 0);
	fake_run(&f->sim, f->sim.now + 40 * AP_SEC);
	return f;
}

static void fleet_free(fleet_t *f)
{
	for (int i = 0; i < f->n; i++)
		stop(&f->nodes[i]);
	fake_store_away(&f->store, true);
	fake_run(&f->sim, f->sim.now + 10 * AP_SEC);
	fake_store_clear(&f->store);
	fake_sim_clear(&f->sim);
	json_decref(f->doc);
	free(f->scratch);
	free(f->list);
	free(f->nodes);
	free(f);
}

static void clear_counts(fleet_t *f)
{
	for (int i = 0; i < f->n; i++) {
		node_t *node = &f->nodes[i];

		node->in_bytes = node->in_messages = 0;
		node->port.out_bytes = node->port.out_messages = 0;
		node->cpu = 0.0;
		node->gate.cost = 0.0;
		memset(node->in_kind, 0, sizeof(node->in_kind));
	}
}

typedef struct phase {
	int seconds;
	double changes_per_second;
	double restarts_per_second;
	bool lose_data_centre;
} phase_t;

static void maybe(fleet_t *f, double *due, double rate, void (*act)(fleet_t *))
{
	*due += rate;
	while (*due >= 1.0) {
		*due -= 1.0;
		act(f);
	}
}

static int any_up(fleet_t *f)
{
	int i;

	do {
		i = (int)ap_rng_below(&f->sim.rng, (uint64_t)f->n);
	} while (f->nodes[i].down);
	return i;
}

static void change_any(fleet_t *f)
{
	change(f, any_up(f));
}

static void restart_any(fleet_t *f)
{
	int i = any_up(f);

	ap_member_leave(f->nodes[i].m, f->sim.now);
	ap_member_left(f->nodes[i].m, f->sim.now);
	stop(&f->nodes[i]);
	start(f, i);
}

static void lose_data_centre(fleet_t *f)
{
	for (int i = 0; i < f->n; i++) {
		if (strcmp(f->nodes[i].entry.data_centre, "region-0-dc-0") == 0)
			stop(&f->nodes[i]);
	}
}

static void sum_up(const fleet_t *f, double seconds, cost_t *cost)
{
	int up = 0;

	for (int i = 0; i < f->n; i++) {
		const node_t *node = &f->nodes[i];
		double bytes = (double)(node->in_bytes + node->port.out_bytes) / seconds;
		double messages = (double)(node->in_messages + node->port.out_messages) / seconds;
		double core = 100.0 * (node->cpu + node->gate.cost) / seconds;

		if (node->down)
			continue;
		up++;
		for (int k = 0; k < 3; k++)
			cost->in_kind[k] += (double)node->in_kind[k] / seconds;
		cost->bytes_mean += bytes;
		cost->messages_mean += messages;
		cost->core_mean += core;
		if (bytes > cost->bytes_max) {
			cost->bytes_max = bytes;
			cost->worst_out = (double)node->port.out_bytes / seconds;
			for (int k = 0; k < 3; k++)
				cost->worst_kind[k] = (double)node->in_kind[k] / seconds;
		}
		cost->core_max = core > cost->core_max ? core : cost->core_max;
	}
	for (int k = 0; k < 3; k++)
		cost->in_kind[k] /= up;
	cost->bytes_mean /= up;
	cost->messages_mean /= up;
	cost->core_mean /= up;
}

static cost_t run_phase(fleet_t *f, const phase_t *phase)
{
	cost_t cost = {0};
	uint64_t reads = f->store.reads, writes = f->store.writes;
	uint64_t minute_reads = reads, minute_writes = writes;
	double due_change = 0.0, due_restart = 0.0;
	ap_usec_t begin = f->sim.now;

	clear_counts(f);
	if (phase->lose_data_centre)
		lose_data_centre(f);
	for (int s = 1; s <= phase->seconds; s++) {
		maybe(f, &due_change, phase->changes_per_second, change_any);
		maybe(f, &due_restart, phase->restarts_per_second, restart_any);
		if (f->sim.now < begin + s * AP_SEC)
			fake_run(&f->sim, begin + s * AP_SEC);
		if (s % 60 == 0) {
			double r = (double)(f->store.reads - minute_reads) / 60.0;
			double w = (double)(f->store.writes - minute_writes) / 60.0;

			cost.reads_worst = r > cost.reads_worst ? r : cost.reads_worst;
			cost.writes_worst = w > cost.writes_worst ? w : cost.writes_worst;
			minute_reads = f->store.reads;
			minute_writes = f->store.writes;
		}
	}
	cost.reads = (double)(f->store.reads - reads) / phase->seconds;
	cost.writes = (double)(f->store.writes - writes) / phase->seconds;
	sum_up(f, (double)(f->sim.now - begin) / AP_SEC, &cost);
	return cost;
}

/* Seconds until all that are up have the next generation; one node in ten has silently gone. */
static double time_in_force(fleet_t *f, double *median)
{
	uint64_t generation;
	ap_usec_t begin = f->sim.now;
	double worst = 0.0, sum = 0.0;
	int up = 0;

	for (int i = 5; i < f->n; i += 10)
		stop(&f->nodes[i]);
	generation = change(f, 0);
	fake_run(&f->sim, begin + 60 * AP_SEC);
	for (int i = 0; i < f->n; i++) {
		const node_t *node = &f->nodes[i];
		double took = (double)(node->in_force_at - begin) / AP_SEC;

		if (node->down)
			continue;
		if (generation == 0 || node->generation != generation)
			took = 60.0;
		worst = took > worst ? took : worst;
		sum += took;
		up++;
	}
	*median = sum / up;
	return worst;
}

static bool knows_dead(fleet_t *f, int by, int of)
{
	size_t n = ap_member_entries(f->nodes[by].m, f->scratch, MAX);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(f->scratch[i].id, f->nodes[of].entry.id) == 0)
			return false;
	}
	return true;
}

/* Seconds until no entry of the region, and of the fleet, still names a dead one. */
static void time_until_out(fleet_t *f, double *region, double *fleet)
{
	int dead = 1;
	ap_usec_t begin = f->sim.now;
	bool region_done = false;

	*region = *fleet = 60.0;
	stop(&f->nodes[dead]);
	for (int t = 1; t <= 600; t++) {
		bool in_region = true, all = true;

		fake_run(&f->sim, begin + t * 100 * AP_MSEC);
		for (int i = 0; i < f->n; i++) {
			bool same;

			if (f->nodes[i].down || knows_dead(f, i, dead))
				continue;
			same = strcmp(f->nodes[i].entry.region, f->nodes[dead].entry.region) == 0;
			all = false;
			in_region = in_region && !same;
		}
		if (in_region && !region_done) {
			region_done = true;
			*region = t / 10.0;
		}
		if (all) {
			*fleet = t / 10.0;
			break;
		}
	}
	start(f, dead);
	fake_run(&f->sim, f->sim.now + 20 * AP_SEC);
}

static const char *verdict(double figure, double target)
{
	return figure <= target ? "met" : "MISSED";
}

static void row(const char *what, double figure, const char *unit, double target)
{
	printf("  %-46s %10.2f %-8s target %8.1f  %s\n", what, figure, unit, target,
	       verdict(figure, target));
}

typedef struct summary {
	int n;
	double bytes;
	double bytes_mean;
	double core;
	double memory;
	double in_force;
	double out;
} summary_t;

static void print_phase(const char *name, const cost_t *c)
{
	char label[64];

	snprintf(label, sizeof(label), "%s: bytes/s, worst node", name);
	row(label, c->bytes_max, "B/s", BYTES_TARGET);
	printf("  %-46s %10.0f membership, %.0f configuration, %.0f reports; sent %.0f\n",
	       "    of which received, worst node", c->worst_kind[0], c->worst_kind[1],
	       c->worst_kind[2], c->worst_out);
	printf("  %-46s %10.2f B/s, %.1f messages/s\n", "    mean node", c->bytes_mean,
	       c->messages_mean);
	printf("  %-46s %10.0f membership, %.0f configuration, %.0f reports\n",
	       "    of which received, mean node", c->in_kind[0], c->in_kind[1], c->in_kind[2]);
	snprintf(label, sizeof(label), "%s: processor, worst node", name);
	row(label, c->core_max, "% core", CORE_TARGET);
	printf("  %-46s %10.3f %% core\n", "    mean node", c->core_mean);
}

static summary_t measure(int n)
{
	const phase_t rest = {.seconds = 60};
	const phase_t changes = {.seconds = 240, .changes_per_second = CHANGES_PER_DAY / DAY};
	const phase_t restarts = {.seconds = 240,
				  .restarts_per_second = RESTARTS_PER_DAY / DAY * n / MAX + 1e-9};
	const phase_t lost = {.seconds = 120, .lose_data_centre = true};
	size_t before = mallinfo2().uordblks;
	fleet_t *f = fleet_new(n);
	summary_t sum = {.n = n};
	double mean, region, fleet;
	cost_t c;

	sum.memory = (double)(mallinfo2().uordblks - before) / n / 1e6;
	printf("%d entries, %d regions, %d upstreams, %zu callers\n", n, f->regions, f->upstreams,
	       json_object_size(json_object_get(f->doc, "caller")));
	c = run_phase(f, &rest);
	print_phase("at rest", &c);
	sum.bytes = c.bytes_max;
	sum.bytes_mean = c.bytes_mean;
	sum.core = c.core_max;
	row("at rest: store calls, whole fleet", c.reads + c.writes, "/s", STORE_REST_TARGET);
	c = run_phase(f, &changes);
	print_phase("460 changes a day", &c);
	row("460 changes a day: store reads, worst minute", c.reads_worst, "/s",
	    STORE_READS_TARGET);
	row("460 changes a day: store writes, worst minute", c.writes_worst, "/s",
	    STORE_WRITES_TARGET);
	c = run_phase(f, &restarts);
	row("180 restarts a day: store reads, worst minute", c.reads_worst, "/s",
	    STORE_READS_TARGET);
	row("180 restarts a day: store writes, worst minute", c.writes_worst, "/s",
	    STORE_WRITES_TARGET);
	row("memory a node (library's heap)", sum.memory, "MB", MEMORY_TARGET);
	time_until_out(f, &region, &fleet);
	row("dead entry out of its region", region, "s", IN_FORCE_TARGET);
	row("dead entry out of the whole fleet", fleet, "s", IN_FORCE_TARGET);
	sum.out = fleet;
	f->net.loss = 0.1;
	sum.in_force = time_in_force(f, &mean);
	row("change in force, 1 peer and message in 10 lost", sum.in_force, "s", IN_FORCE_TARGET);
	printf("  %-46s %10.2f s\n", "    mean node", mean);
	f->net.loss = 0.0;
	c = run_phase(f, &lost);
	row("data centre lost: store reads, worst minute", c.reads_worst, "/s", STORE_READS_TARGET);
	row("data centre lost: store writes, worst minute", c.writes_worst, "/s",
	    STORE_WRITES_TARGET);
	row("data centre lost: bytes/s, worst node", c.bytes_max, "B/s", BYTES_TARGET);
	printf("\n");
	fleet_free(f);
	return sum;
}

int main(int argc, char **argv)
{
	static const int sizes[] = {8, 60, 120, 420};
	int only = argc > 1 ? atoi(argv[1]) : 0;
	summary_t all[4];

	if (only > 0 && only <= MAX) {
		measure(only);
		return 0;
	}
	for (int i = 0; i < 4; i++) {
		all[i] = measure(sizes[i]);
		fflush(stdout);
	}
	printf("slopes, at rest (worst node)\n  entries  bytes/s  per entry  mean bytes/s   %% core"
	       "   MB/node  in force s  out s\n");
	for (int i = 0; i < 4; i++)
		printf("  %7d %8.0f %10.1f %13.0f %8.3f %9.2f %11.1f %6.1f\n", all[i].n,
		       all[i].bytes, all[i].bytes / all[i].n, all[i].bytes_mean, all[i].core,
		       all[i].memory, all[i].in_force, all[i].out);
	return 0;
}
