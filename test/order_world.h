/*
 * Simulates a region in virtual time: instances (entries) with a reconciler and reports, upstreams
 * (engines) that apply orders late or not at all, and requests that reach the chosen upstream after
 * a delay.
 */
#ifndef AP_TEST_ORDER_WORLD_H
#define AP_TEST_ORDER_WORLD_H

#include "fake_gate.h"
#include "fake_net.h"
#include "order/order.h"
#include "report/report.h"

#define TTL (60 * AP_SEC)
#define ENTRIES 3
#define ENGINES 6
#define ITEMS 8
#define MODELS 3
#define TICK (200 * AP_MSEC)
/* Instances that received a withdrawal keep it at least so long after the unload was sent. */
#define ANNOUNCED_TIME (60 * AP_SEC)
#define REQUEST_DELAY_MAX AP_SEC /* from the choice of an engine to the request's arrival there */

typedef struct engine {
	ap_upstream_t up;
	ap_label_t labels[2];
	bool fenced;
	/* by item: when an unload was sent whose withdrawal every running instance had received */
	ap_usec_t unload_announced_at[ITEMS];
	uint64_t fence;	  /* highest fencing token seen; kept only if fenced */
	uint64_t applied; /* fencing token of the last order that took effect */
	ap_loaded_item_t loaded[ITEMS];
	size_t n;
} engine_t;

typedef struct world world_t;

typedef struct entry {
	world_t *w;
	ap_order_t *o;
	ap_report_t *r;
	fake_port_t port;
	fake_gate_t gate;
	ap_entry_t entry;
	ap_usec_t last_paused_at; /* last tick while paused */
} entry_t;

struct world {
	fake_sim_t sim;
	fake_store_t store;
	fake_net_t net;
	entry_t entries[ENTRIES];
	engine_t engines[ENGINES];
	double lose; /* share of orders without a response; half of these take effect */
	ap_usec_t order_time;
	bool apply_late; /* orders take effect only at their limit, without a response */
	int orders_applied;
	int running;
	int running_max;
	uint64_t bytes;
	ap_usec_t first_load;
	bool served[ITEMS]; /* by model: some engine had it loaded */
	bool check_served;
	int violations;
	uint64_t loads;
	uint64_t unloads;
	bool announcements_lost; /* no instance receives withdrawals */
	bool requests_on;	 /* every instance sends requests all the time */
	uint64_t sent;		 /* requests that reached an engine */
	uint64_t refused;	 /* of these, requests to an engine without the model */
	uint64_t unroutable;	 /* requests for which no engine was known */
};

typedef struct order {
	world_t *w;
	entry_t *from;
	engine_t *engine;
	char item[AP_NAME_MAX];
	char version[AP_NAME_MAX];
	bool load;
	bool lost;
	bool takes_effect;
	uint64_t fence;
	ap_order_done_t done;
	void *arg;
	ap_order_status_t status;
} order_t;

FAKE ap_loaded_item_t *find(engine_t *e, const char *item)
{
	for (size_t i = 0; i < e->n; i++) {
		if (strcmp(e->loaded[i].name, item) == 0)
			return &e->loaded[i];
	}
	return NULL;
}

FAKE int count_serving(world_t *w, const char *item)
{
	int n = 0;

	for (int i = 0; i < ENGINES; i++)
		n += find(&w->engines[i], item) != NULL;
	return n;
}

FAKE void set_item(engine_t *e, const char *item, const char *version)
{
	ap_loaded_item_t *loaded = find(e, item);

	if (!version) {
		if (loaded)
			*loaded = e->loaded[--e->n];
		return;
	}
	e->unload_announced_at[atoi(item + 1)] = 0;
	if (!loaded)
		loaded = &e->loaded[e->n++];
	ap_copy_name(loaded->name, AP_NAME_MAX, item);
	ap_copy_name(loaded->version, AP_NAME_MAX, version);
}

FAKE void respond(void *arg, void *data)
{
	order_t *o = data;

	(void)arg;
	if (o->from->gate.paused) {
		order_t *later = malloc(sizeof(*later));

		assert_non_null(later);
		*later = *o;
		fake_at(&o->w->sim, o->w->sim.now + 50 * AP_MSEC, respond, NULL, later);
		return;
	}
	o->done(o->arg, o->status, NULL);
}

FAKE void apply_order(void *arg, void *data)
{
	order_t *o = data, *reply = malloc(sizeof(*reply));
	engine_t *e = o->engine;

	(void)arg;
	assert_non_null(reply);
	o->w->running -= o->load;
	o->status = AP_ORDER_OK;
	if (o->lost && !o->takes_effect) {
		o->status = AP_ORDER_UNSURE;
	} else if (e->fenced && o->fence < e->fence) {
		o->status = AP_ORDER_FENCED;
	} else {
		/* No upstream may get an older holder's order after a newer holder's. */
		assert_true(o->fence >= e->applied);
		e->applied = o->fence;
		if (e->fenced)
			e->fence = o->fence;
		set_item(e, o->item, o->load ? o->version : NULL);
		o->w->orders_applied++;
		if (o->w->check_served && !o->load)
			assert_true(count_serving(o->w, o->item) > 0);
	}
	if (o->lost)
		o->status = AP_ORDER_UNSURE;
	*reply = *o;
	fake_at(&o->w->sim, o->w->sim.now + 5 * AP_MSEC, respond, NULL, reply);
}

FAKE bool all_informed(world_t *w, const engine_t *e, const char *item)
{
	for (int i = 0; i < ENTRIES; i++) {
		entry_t *entry = &w->entries[i];

		if (!entry->gate.paused && !ap_report_is_withdrawn(entry->r, e->up.id, item))
			return false;
	}
	return true;
}

/* Takes an order and asserts that, by the store's data, its sender holds the lease. */
FAKE void receive_order(entry_t *from, const char *upstream, const char *item, const char *version,
			uint64_t fence, ap_usec_t limit, ap_order_done_t done, void *arg)
{
	world_t *w = from->w;
	order_t *o = calloc(1, sizeof(*o));
	fake_key_t *key = fake_key(&w->store, "arbutuspond/orders/r1", false);
	ap_usec_t takes = (ap_usec_t)(ap_rng_unit(&w->sim.rng) * (double)w->order_time);

	assert_non_null(o);
	fake_expire(&w->store);
	assert_false(from->gate.paused);
	assert_non_null(key);
	assert_string_not_equal(key->session, "");
	assert_int_equal(fence, key->lock_index);
	*o = (order_t){.w = w,
		       .from = from,
		       .fence = fence,
		       .done = done,
		       .arg = arg,
		       .engine = &w->engines[atoi(upstream + 1)],
		       .load = version != NULL};
	ap_copy_name(o->item, AP_NAME_MAX, item);
	ap_copy_name(o->version, AP_NAME_MAX, version ? version : "");
	o->lost = ap_rng_unit(&w->sim.rng) < w->lose;
	o->takes_effect = ap_rng_unit(&w->sim.rng) < 0.5;
	if (!o->load) {
		w->unloads++;
		if (all_informed(w, o->engine, item))
			o->engine->unload_announced_at[atoi(item + 1)] = w->sim.now;
	}
	/* An order without a response may take effect as late as its limit. */
	if (o->lost)
		takes = (ap_usec_t)(ap_rng_unit(&w->sim.rng) * (double)limit);
	if (w->apply_late) {
		o->lost = o->takes_effect = true;
		takes = limit;
	}
	if (o->load) {
		w->loads++;
		if (++w->running > w->running_max)
			w->running_max = w->running;
	}
	fake_at(&w->sim, w->sim.now + (takes < limit ? takes : limit), apply_order, NULL, o);
}

FAKE void load(void *ctx, const char *upstream, const char *model, const char *version,
	       uint64_t fence, ap_usec_t limit, ap_order_done_t done, void *arg)
{
	receive_order(ctx, upstream, model, version, fence, limit, done, arg);
}

FAKE void unload(void *ctx, const char *upstream, const char *model, uint64_t fence,
		 ap_usec_t limit, ap_order_done_t done, void *arg)
{
	receive_order(ctx, upstream, model, NULL, fence, limit, done, arg);
}

typedef struct observation {
	entry_t *to;
	char upstream[AP_NAME_MAX];
	ap_loaded_item_t loaded[ITEMS];
	size_t n;
	uint64_t fence;
	ap_usec_t queried_at;
} observation_t;

FAKE void observation_arrives(void *arg, void *data)
{
	observation_t *r = data;

	(void)arg;
	if (r->to->o && !r->to->gate.paused)
		ap_order_observed(r->to->o, r->upstream, r->loaded, r->n, r->fence, r->queried_at,
				  r->to->w->sim.now);
}

FAKE void observe(void *ctx, const char *upstream)
{
	entry_t *entry = ctx;
	engine_t *e = &entry->w->engines[atoi(upstream + 1)];
	observation_t *r = calloc(1, sizeof(*r));
	ap_usec_t takes = 20 * AP_MSEC;

	assert_non_null(r);
	r->to = entry;
	r->queried_at = entry->w->sim.now;
	ap_copy_name(r->upstream, AP_NAME_MAX, upstream);
	memcpy(r->loaded, e->loaded, sizeof(r->loaded));
	r->n = e->n;
	r->fence = e->fenced ? e->fence : 0;
	/* Some responses come late, after an order that was sent meanwhile. */
	if (ap_rng_unit(&entry->w->sim.rng) < 0.2)
		takes += (ap_usec_t)ap_rng_below(&entry->w->sim.rng, 8 * AP_SEC);
	fake_at(&entry->w->sim, entry->w->sim.now + takes, observation_arrives, NULL, r);
}

FAKE void withdraw(void *ctx, const char *upstream, const char *item, uint64_t fence,
		   uint64_t number, ap_usec_t keep)
{
	entry_t *entry = ctx;

	if (!entry->w->announcements_lost)
		ap_report_withdraw(entry->r, upstream, item, fence, number, keep,
				   entry->w->sim.now);
}

FAKE bool withdrawn(void *ctx, const char *upstream, const char *item)
{
	const entry_t *entry = ctx;

	return ap_report_is_withdrawn(entry->r, upstream, item);
}

FAKE void deliver(void *ctx, int to, const char *from, const void *data, size_t len)
{
	world_t *w = ctx;

	if (w->entries[to].r && !w->entries[to].gate.paused)
		ap_report_receive(w->entries[to].r, from, data, len, w->sim.now, NULL);
}

FAKE void violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	entry_t *entry = ctx;

	print_error("%s: %s\n", ap_invariant_name(invariant), what);
	entry->w->violations++;
}

FAKE ap_conf_t *make_conf(uint64_t generation, const char *version, int replicas, bool fenced)
{
	json_t *doc = json_pack(
		"{s:{s:{s:{s:b}, s:b, s:i, s:i, s:{s:s}}}, s:{}, s:{s:{s:{s:s}, s:{s:b}, s:i}}}",
		"pool", "p", "instances", "pool", 1, "fenced", (int)fenced, "slots", 4,
		"order_deadline_ms", 20000, "labels", "kind", "gpu", "model", "rule", "all",
		"pools", "kind", "gpu", "models", "kind", 1, "replicas", replicas);
	ap_conf_t *result = NULL;
	ap_err_t err = {.text = ""};

	for (int i = 0; i < MODELS; i++) {
		char name[AP_NAME_MAX];

		snprintf(name, sizeof(name), "m%d", i);
		json_object_set_new(json_object_get(doc, "model"), name,
				    json_pack("{s:s, s:I, s:i, s:i, s:{s:s}}", "version", version,
					      "weight_bytes", (json_int_t)1000000000, "prefill_us",
					      100, "decode_us", 100, "labels", "kind", "llm"));
	}
	if (ap_conf_parse(doc, generation, &result, &err) != AP_CONF_OK)
		fail_msg("%s", err.text);
	json_decref(doc);
	return result;
}

FAKE void set_conf(world_t *w, uint64_t generation, const char *version, int replicas, bool fenced)
{
	ap_conf_t *c = make_conf(generation, version, replicas, fenced);

	for (int i = 0; i < ENTRIES; i++)
		ap_order_set_conf(w->entries[i].o, c, w->sim.now);
	ap_conf_unref(c);
}

FAKE void set_upstreams(world_t *w, int draining)
{
	ap_upstream_t list[ENGINES];

	for (int i = 0; i < ENGINES; i++) {
		list[i] = w->engines[i].up;
		list[i].draining = i == draining;
	}
	for (int i = 0; i < ENTRIES; i++) {
		ap_order_set_upstreams(w->entries[i].o, list, ENGINES, w->sim.now);
		ap_report_set_upstreams(w->entries[i].r, list, ENGINES, w->sim.now);
	}
}

FAKE void ignore_load(void *ctx, const ap_load_report_t *report)
{
	(void)ctx;
	(void)report;
}

FAKE void ignore_room(void *ctx, const ap_capacity_offer_t *room)
{
	(void)ctx;
	(void)room;
}

FAKE void ignore_leaving(void *ctx, const char *upstream)
{
	(void)ctx;
	(void)upstream;
}

FAKE void entry_open_reports(entry_t *entry, int number)
{
	ap_report_config_t config = {.self = entry->entry,
				     .seed = (uint64_t)number + 1,
				     .peer = {&entry->port, fake_send},
				     .ctx = entry,
				     .load = ignore_load,
				     .offer = ignore_room,
				     .draining = ignore_leaving};

	entry->port = (fake_port_t){.net = &entry->w->net, .self = number};
	entry->r = ap_report_new(&config, 0);
}

FAKE world_t *world_new(uint64_t seed, bool fenced)
{
	world_t *w = calloc(1, sizeof(*w));
	ap_entry_t all[ENTRIES];

	assert_non_null(w);
	ap_rng_seed(&w->sim.rng, seed);
	w->store.sim = &w->sim;
	w->store.delay = 3 * AP_MSEC;
	w->order_time = 4 * AP_SEC;
	w->net = (fake_net_t){.sim = &w->sim,
			      .loss = 0.1,
			      .duplication = 0.1,
			      .delay = AP_MSEC,
			      .jitter = 40 * AP_MSEC,
			      .ctx = w,
			      .deliver = deliver};
	for (int i = 0; i < ENGINES; i++) {
		engine_t *e = &w->engines[i];

		e->fenced = fenced;
		snprintf(e->up.id, AP_NAME_MAX, "u%d", i);
		snprintf(e->up.region, AP_NAME_MAX, "r1");
		e->labels[0] = (ap_label_t){"pool", "p"};
		e->up.labels = (ap_labels_t){e->labels, 1};
	}
	for (int i = 0; i < ENTRIES; i++) {
		entry_t *entry = &w->entries[i];
		ap_order_config_t config = {.seed = seed * 10 + (uint64_t)i,
					    .lease_ttl = TTL,
					    .weight_rate = 1e9,
					    .loads_max = 2,
					    .ctx = entry,
					    .observe = observe,
					    .withdraw = withdraw,
					    .is_withdrawn = withdrawn,
					    .port = {entry, load, unload},
					    .env = {.ctx = entry, .violated = violated}};

		entry->w = w;
		snprintf(config.self.id, AP_NAME_MAX, "e%d", i);
		snprintf(config.self.region, AP_NAME_MAX, "r1");
		all[i] = entry->entry = config.self;
		config.kv = fake_gate_port(&entry->gate, &w->store);
		entry->o = ap_order_new(&config, 0);
		entry_open_reports(entry, i);
	}
	for (int i = 0; i < ENTRIES; i++) {
		ap_order_set_entries(w->entries[i].o, all, ENTRIES, 0);
		ap_report_set_entries(w->entries[i].r, all, ENTRIES, 0);
	}
	set_upstreams(w, -1);
	return w;
}

typedef struct request {
	entry_t *from;
	engine_t *to;
	char item[AP_NAME_MAX];
} request_t;

/* After an announced unload, only an instance that was paused may still send requests there. */
FAKE void request_arrives(void *arg, void *data)
{
	request_t *q = data;
	world_t *w = q->from->w;
	ap_usec_t unload_announced_at = q->to->unload_announced_at[atoi(q->item + 1)];

	(void)arg;
	if (!q->from->r || q->from->gate.paused)
		return;
	w->sent++;
	if (find(q->to, q->item))
		return;
	w->refused++;
	assert_false(unload_announced_at > 0 && w->sim.now - unload_announced_at < ANNOUNCED_TIME &&
		     q->from->last_paused_at < unload_announced_at);
}

FAKE bool knows(const entry_t *entry, const engine_t *e, const char *item)
{
	size_t n = 0;
	const uint32_t *names = ap_report_models(entry->r, e->up.id, &n);

	for (size_t i = 0; names && i < n; i++) {
		if (names[i] == ap_report_name_hash(item))
			return true;
	}
	return false;
}

FAKE void request(entry_t *entry)
{
	world_t *w = entry->w;
	request_t *q = calloc(1, sizeof(*q));
	uint64_t seen = 0;

	assert_non_null(q);
	q->from = entry;
	snprintf(q->item, sizeof(q->item), "m%d", (int)ap_rng_below(&w->sim.rng, MODELS));
	for (int i = 0; i < ENGINES; i++) {
		engine_t *e = &w->engines[i];

		if (knows(entry, e, q->item) &&
		    !ap_report_is_withdrawn(entry->r, e->up.id, q->item) &&
		    ap_rng_below(&w->sim.rng, ++seen) == 0)
			q->to = e;
	}
	if (!q->to) {
		w->unroutable++;
		free(q);
		return;
	}
	fake_at(&w->sim, w->sim.now + (ap_usec_t)ap_rng_below(&w->sim.rng, REQUEST_DELAY_MAX),
		request_arrives, NULL, q);
}

/* Queries the loaded models of the engines that this instance polls, every few seconds. */
FAKE void poll(entry_t *entry)
{
	world_t *w = entry->w;

	for (int i = 0; i < ENGINES; i++) {
		engine_t *e = &w->engines[i];
		uint32_t names[ITEMS];

		if (!ap_report_is_poller(entry->r, e->up.id) || ap_rng_unit(&w->sim.rng) > 0.05)
			continue;
		for (size_t k = 0; k < e->n; k++)
			names[k] = ap_report_name_hash(e->loaded[k].name);
		ap_report_models_read(entry->r, e->up.id, names, NULL, e->n, w->sim.now);
	}
}

FAKE void tick(entry_t *entry)
{
	world_t *w = entry->w;

	if (entry->gate.paused) {
		entry->last_paused_at = w->sim.now;
		return;
	}
	ap_report_tick(entry->r, w->sim.now);
	ap_order_tick(entry->o, w->sim.now);
	/* The driver also queries upstreams unrequested. */
	if (ap_rng_unit(&w->sim.rng) < 0.05)
		observe(entry, w->engines[ap_rng_below(&w->sim.rng, ENGINES)].up.id);
	poll(entry);
	if (w->requests_on)
		request(entry);
}

FAKE void run(world_t *w, ap_usec_t time)
{
	ap_usec_t end = w->sim.now + time;

	while (w->sim.now < end) {
		fake_run(&w->sim, w->sim.now + TICK);
		for (int i = 0; i < ENTRIES; i++)
			tick(&w->entries[i]);
	}
}

FAKE void world_free(world_t *w)
{
	assert_int_equal(w->violations, 0);
	for (int i = 0; i < ENTRIES; i++) {
		w->entries[i].gate.paused = false;
		ap_order_free(w->entries[i].o);
		w->entries[i].o = NULL;
		ap_report_free(w->entries[i].r);
		w->entries[i].r = NULL;
	}
	for (int i = 0; i < 100 && w->sim.n > 0; i++)
		fake_run(&w->sim, w->sim.now + TTL);
	fake_store_clear(&w->store);
	fake_sim_clear(&w->sim);
	free(w);
}

FAKE entry_t *holder(world_t *w)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (ap_order_stats(w->entries[i].o, w->sim.now).holder)
			return &w->entries[i];
	}
	return NULL;
}

FAKE bool matches(world_t *w, const char *version, int replicas)
{
	for (int m = 0; m < MODELS; m++) {
		char name[AP_NAME_MAX];

		snprintf(name, sizeof(name), "m%d", m);
		if (count_serving(w, name) != replicas)
			return false;
		for (int i = 0; i < ENGINES; i++) {
			ap_loaded_item_t *loaded = find(&w->engines[i], name);

			if (loaded && strcmp(loaded->version, version) != 0)
				return false;
		}
	}
	return true;
}

#endif
