/* Orders to upstreams: declared against observed, fencing, pauses, lost answers, limits. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_gate.h"
#include "order/order.h"

#define TTL (60 * AP_SEC)
#define ENTRIES 3
#define ENGINES 6
#define ITEMS 8
#define TICK (200 * AP_MSEC)

typedef struct engine {
	ap_upstream_t up;
	ap_label_t labels[2];
	bool fenced;
	uint64_t fence;	  /* highest seen, kept by fenced ones only */
	uint64_t applied; /* fence of the last order carried out */
	ap_observed_t has[ITEMS];
	size_t n;
} engine_t;

typedef struct world world_t;

typedef struct entry {
	world_t *w;
	ap_order_t *o;
	fake_gate_t gate;
	ap_entry_t entry;
} entry_t;

struct world {
	fake_sim_t sim;
	fake_store_t store;
	entry_t entries[ENTRIES];
	engine_t engines[ENGINES];
	double lose; /* share of orders without an answer; half of them carried out */
	ap_usec_t order_time;
	bool late; /* orders take effect only at their limit, without an answer */
	int carried;
	int running;
	int running_max;
	uint64_t bytes;
	ap_usec_t first_load;
	bool served[ITEMS]; /* model number was held by someone once */
	bool check_served;
	int violations;
	uint64_t loads;
};

typedef struct order {
	world_t *w;
	entry_t *from;
	engine_t *engine;
	char item[AP_NAME_MAX];
	char version[AP_NAME_MAX];
	bool load;
	bool lost;
	bool carry;
	uint64_t fence;
	ap_order_done_t done;
	void *arg;
	ap_order_status_t status;
} order_t;

static ap_observed_t *find(engine_t *e, const char *item)
{
	for (size_t i = 0; i < e->n; i++) {
		if (strcmp(e->has[i].name, item) == 0)
			return &e->has[i];
	}
	return NULL;
}

static int holders(world_t *w, const char *item)
{
	int n = 0;

	for (int i = 0; i < ENGINES; i++)
		n += find(&w->engines[i], item) != NULL;
	return n;
}

static void set_item(engine_t *e, const char *item, const char *version)
{
	ap_observed_t *has = find(e, item);

	if (!version) {
		if (has)
			*has = e->has[--e->n];
		return;
	}
	if (!has)
		has = &e->has[e->n++];
	ap_copy_name(has->name, AP_NAME_MAX, item);
	ap_copy_name(has->version, AP_NAME_MAX, version);
}

static void answer(void *arg, void *data)
{
	order_t *o = data;

	(void)arg;
	if (o->from->gate.paused) {
		order_t *later = malloc(sizeof(*later));

		assert_non_null(later);
		*later = *o;
		fake_at(&o->w->sim, o->w->sim.now + 50 * AP_MSEC, answer, NULL, later);
		return;
	}
	o->done(o->arg, o->status, NULL);
}

static void carry_out(void *arg, void *data)
{
	order_t *o = data, *reply = malloc(sizeof(*reply));
	engine_t *e = o->engine;

	(void)arg;
	assert_non_null(reply);
	o->w->running -= o->load;
	o->status = AP_ORDER_OK;
	if (o->lost && !o->carry) {
		o->status = AP_ORDER_UNSURE;
	} else if (e->fenced && o->fence < e->fence) {
		o->status = AP_ORDER_FENCED;
	} else {
		/* What no upstream may ever see: an older holder's order after a newer one's. */
		assert_true(o->fence >= e->applied);
		e->applied = o->fence;
		if (e->fenced)
			e->fence = o->fence;
		set_item(e, o->item, o->load ? o->version : NULL);
		o->w->carried++;
		if (o->w->check_served && !o->load)
			assert_true(holders(o->w, o->item) > 0);
	}
	if (o->lost)
		o->status = AP_ORDER_UNSURE;
	*reply = *o;
	fake_at(&o->w->sim, o->w->sim.now + 5 * AP_MSEC, answer, NULL, reply);
}

/* An order is sent: by the store's own reading its sender must hold the lease. */
static void take_order(entry_t *from, const char *upstream, const char *item, const char *version,
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
	o->carry = ap_rng_unit(&w->sim.rng) < 0.5;
	/* A lost one may take effect as late as its limit. */
	if (o->lost)
		takes = (ap_usec_t)(ap_rng_unit(&w->sim.rng) * (double)limit);
	if (w->late) {
		o->lost = o->carry = true;
		takes = limit;
	}
	if (o->load) {
		w->loads++;
		if (++w->running > w->running_max)
			w->running_max = w->running;
	}
	fake_at(&w->sim, w->sim.now + (takes < limit ? takes : limit), carry_out, NULL, o);
}

static void load(void *ctx, const char *upstream, const char *model, const char *version,
		 uint64_t fence, ap_usec_t limit, ap_order_done_t done, void *arg)
{
	take_order(ctx, upstream, model, version, fence, limit, done, arg);
}

static void unload(void *ctx, const char *upstream, const char *model, uint64_t fence,
		   ap_usec_t limit, ap_order_done_t done, void *arg)
{
	take_order(ctx, upstream, model, NULL, fence, limit, done, arg);
}

typedef struct reading {
	entry_t *to;
	char upstream[AP_NAME_MAX];
	ap_observed_t has[ITEMS];
	size_t n;
	uint64_t fence;
	ap_usec_t asked;
} reading_t;

static void read_arrives(void *arg, void *data)
{
	reading_t *r = data;

	(void)arg;
	if (r->to->o && !r->to->gate.paused)
		ap_order_observed(r->to->o, r->upstream, r->has, r->n, r->fence, r->asked,
				  r->to->w->sim.now);
}

static void observe(void *ctx, const char *upstream)
{
	entry_t *entry = ctx;
	engine_t *e = &entry->w->engines[atoi(upstream + 1)];
	reading_t *r = calloc(1, sizeof(*r));
	ap_usec_t takes = 20 * AP_MSEC;

	assert_non_null(r);
	r->to = entry;
	r->asked = entry->w->sim.now;
	ap_copy_name(r->upstream, AP_NAME_MAX, upstream);
	memcpy(r->has, e->has, sizeof(r->has));
	r->n = e->n;
	r->fence = e->fenced ? e->fence : 0;
	/* Some come late, after an order that was sent meanwhile. */
	if (ap_rng_unit(&entry->w->sim.rng) < 0.2)
		takes += (ap_usec_t)ap_rng_below(&entry->w->sim.rng, 8 * AP_SEC);
	fake_at(&entry->w->sim, entry->w->sim.now + takes, read_arrives, NULL, r);
}

static void violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	entry_t *entry = ctx;

	print_error("%s: %s\n", ap_invariant_name(invariant), what);
	entry->w->violations++;
}

static ap_conf_t *conf(uint64_t generation, const char *version, int replicas, bool fenced)
{
	json_t *doc = json_pack(
		"{s:{s:{s:{s:b}, s:b, s:i, s:i, s:{s:s}}}, s:{}, s:{s:{s:{s:s}, s:{s:b}, s:i}}}",
		"pool", "p", "instances", "pool", 1, "fenced", (int)fenced, "slots", 4,
		"order_deadline_ms", 20000, "labels", "kind", "gpu", "model", "rule", "all",
		"pools", "kind", "gpu", "models", "kind", 1, "replicas", replicas);
	ap_conf_t *result = NULL;
	ap_err_t err = {.text = ""};

	for (int i = 0; i < 3; i++) {
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

static void set_conf(world_t *w, uint64_t generation, const char *version, int replicas,
		     bool fenced)
{
	ap_conf_t *c = conf(generation, version, replicas, fenced);

	for (int i = 0; i < ENTRIES; i++)
		ap_order_set_conf(w->entries[i].o, c, w->sim.now);
	ap_conf_unref(c);
}

static void set_upstreams(world_t *w, int leaving)
{
	ap_upstream_t list[ENGINES];

	for (int i = 0; i < ENGINES; i++) {
		list[i] = w->engines[i].up;
		list[i].leaving = i == leaving;
	}
	for (int i = 0; i < ENTRIES; i++)
		ap_order_set_upstreams(w->entries[i].o, list, ENGINES, w->sim.now);
}

static world_t *world_new(uint64_t seed, bool fenced)
{
	world_t *w = calloc(1, sizeof(*w));
	ap_entry_t all[ENTRIES];

	assert_non_null(w);
	ap_rng_seed(&w->sim.rng, seed);
	w->store.sim = &w->sim;
	w->store.delay = 3 * AP_MSEC;
	w->order_time = 4 * AP_SEC;
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
					    .port = {entry, load, unload},
					    .env = {.ctx = entry, .violated = violated}};

		entry->w = w;
		snprintf(config.self.id, AP_NAME_MAX, "e%d", i);
		snprintf(config.self.region, AP_NAME_MAX, "r1");
		all[i] = entry->entry = config.self;
		config.kv = fake_gate_port(&entry->gate, &w->store);
		entry->o = ap_order_new(&config, 0);
	}
	for (int i = 0; i < ENTRIES; i++)
		ap_order_set_entries(w->entries[i].o, all, ENTRIES, 0);
	set_upstreams(w, -1);
	return w;
}

static void run(world_t *w, ap_usec_t time)
{
	ap_usec_t end = w->sim.now + time;

	while (w->sim.now < end) {
		fake_run(&w->sim, w->sim.now + TICK);
		for (int i = 0; i < ENTRIES; i++) {
			if (w->entries[i].gate.paused)
				continue;
			ap_order_tick(w->entries[i].o, w->sim.now);
			/* The driver reads of its own accord as well. */
			if (ap_rng_unit(&w->sim.rng) < 0.05)
				observe(&w->entries[i],
					w->engines[ap_rng_below(&w->sim.rng, ENGINES)].up.id);
		}
	}
}

static void world_free(world_t *w)
{
	assert_int_equal(w->violations, 0);
	for (int i = 0; i < ENTRIES; i++) {
		w->entries[i].gate.paused = false;
		ap_order_free(w->entries[i].o);
		w->entries[i].o = NULL;
	}
	for (int i = 0; i < 100 && w->sim.n > 0; i++)
		fake_run(&w->sim, w->sim.now + TTL);
	fake_store_clear(&w->store);
	fake_sim_clear(&w->sim);
	free(w);
}

static entry_t *holder(world_t *w)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (ap_order_stats(w->entries[i].o, w->sim.now).holder)
			return &w->entries[i];
	}
	return NULL;
}

static bool matches(world_t *w, const char *version, int replicas)
{
	for (int m = 0; m < 3; m++) {
		char name[AP_NAME_MAX];

		snprintf(name, sizeof(name), "m%d", m);
		if (holders(w, name) != replicas)
			return false;
		for (int i = 0; i < ENGINES; i++) {
			ap_observed_t *has = find(&w->engines[i], name);

			if (has && strcmp(has->version, version) != 0)
				return false;
		}
	}
	return true;
}

static void test_declared_is_brought_about(void **state)
{
	(void)state;
	for (int fenced = 0; fenced <= 1; fenced++) {
		world_t *w = world_new(3, fenced);

		set_conf(w, 1, "v1", 2, fenced);
		run(w, 4 * TTL);
		assert_true(matches(w, "v1", 2));
		assert_int_equal(w->loads, 6);
		assert_true(w->running_max <= 2);
		w->check_served = true;
		set_conf(w, 2, "v2", 3, fenced);
		run(w, 2 * TTL);
		assert_true(matches(w, "v2", 3));
		set_conf(w, 3, "v2", 1, fenced);
		run(w, 2 * TTL);
		assert_true(matches(w, "v2", 1));
		world_free(w);
	}
}

static void test_only_replica_changes_version_after_a_spare_holds_it(void **state)
{
	world_t *w = world_new(4, true);
	uint64_t loads;

	(void)state;
	set_conf(w, 1, "v1", 1, true);
	run(w, TTL);
	assert_true(matches(w, "v1", 1));
	loads = w->loads;
	w->check_served = true;
	set_conf(w, 2, "v2", 1, true);
	run(w, 2 * TTL);
	assert_true(matches(w, "v2", 1));
	assert_int_equal(w->loads - loads, 6);
	world_free(w);
}

static void test_weight_store_limit_holds(void **state)
{
	world_t *w = world_new(5, true);

	(void)state;
	w->order_time = AP_MSEC;
	/* 18 loads of 1 GB at 1 GB/s, so the last begins after 17 s at least. */
	set_conf(w, 1, "v1", 6, true);
	while (w->loads == 0)
		run(w, TICK);
	run(w, 16 * AP_SEC);
	assert_true(w->loads < 18);
	run(w, 30 * AP_SEC);
	assert_int_equal(w->loads, 18);
	world_free(w);
}

static void test_leaving_upstream_is_replaced(void **state)
{
	world_t *w = world_new(6, true);
	int gone = 0;

	(void)state;
	set_conf(w, 1, "v1", 2, true);
	run(w, TTL);
	while (!find(&w->engines[gone], "m0"))
		gone++;
	set_upstreams(w, gone);
	run(w, TTL);
	assert_int_equal(holders(w, "m0"), 3);
	world_free(w);
}

static void test_paused_holder_wakes_with_orders_ready_and_sends_none(void **state)
{
	(void)state;
	for (int fenced = 0; fenced <= 1; fenced++) {
		world_t *w = world_new(7, fenced);
		entry_t *first;
		uint64_t sent;

		set_conf(w, 1, "v1", 2, fenced);
		run(w, 4 * TTL);
		first = holder(w);
		assert_non_null(first);
		first->gate.paused = true;
		sent = ap_order_stats(first->o, w->sim.now).loads;
		/* Its orders for this one are ready in it all the time. */
		set_conf(w, 2, "v2", 3, fenced);
		run(w, 5 * TTL);
		assert_true(holder(w) != first);
		assert_true(matches(w, "v2", 3));
		first->gate.paused = false;
		run(w, TTL);
		assert_int_equal(ap_order_stats(first->o, w->sim.now).loads, sent);
		world_free(w);
	}
}

static void test_store_away_in_the_middle_stops_orders_until_it_is_back(void **state)
{
	world_t *w = world_new(8, true);
	uint64_t sent;

	(void)state;
	set_conf(w, 1, "v1", 2, true);
	run(w, 25 * AP_SEC);
	fake_store_away(&w->store, true);
	run(w, 2 * TTL);
	assert_null(holder(w));
	sent = w->loads;
	set_conf(w, 2, "v2", 3, true);
	run(w, 5 * TTL);
	assert_int_equal(w->loads, sent);
	fake_store_away(&w->store, false);
	run(w, 4 * TTL);
	assert_true(matches(w, "v2", 3));
	world_free(w);
}

/* Pools that ignore fencing: no order may still be on its way when the next holder sends one. */
static void test_unfenced_orders_end_before_the_lease_can_lapse(void **state)
{
	(void)state;
	for (uint64_t seed = 50; seed < 70; seed++) {
		world_t *w = world_new(seed, false);
		entry_t *first;

		set_conf(w, 1, "v1", 2, false);
		run(w, 4 * TTL);
		first = holder(w);
		assert_non_null(first);
		fake_store_away(&w->store, true);
		/* Its lease has a few seconds left and there is something to do. */
		run(w, 30 * AP_SEC + (ap_usec_t)ap_rng_below(&w->sim.rng, 28 * AP_SEC));
		w->late = true;
		set_conf(w, 2, "v2", 3, false);
		for (int i = 0; i < 200 && holder(w) == first; i++)
			run(w, TICK);
		first->gate.paused = true;
		w->late = false;
		w->order_time = AP_MSEC;
		fake_store_away(&w->store, false);
		run(w, 4 * TTL);
		assert_true(matches(w, "v2", 3));
		world_free(w);
	}
}

static void test_random_faults_keep_fences_in_order_and_models_served(void **state)
{
	(void)state;
	for (uint64_t seed = 20; seed < 40; seed++) {
		bool fenced = seed % 2 == 0;
		world_t *w = world_new(seed, fenced);
		uint64_t generation = 1;

		set_conf(w, generation, "v1", 2, fenced);
		run(w, 4 * TTL);
		assert_true(matches(w, "v1", 2));
		w->check_served = true;
		for (int round = 0; round < 40; round++) {
			char version[AP_NAME_MAX];

			snprintf(version, sizeof(version), "v%d",
				 (int)ap_rng_below(&w->sim.rng, 3));
			w->lose = ap_rng_unit(&w->sim.rng) < 0.5 ? 0.3 : 0.0;
			w->store.lose = w->lose;
			fake_store_away(&w->store, ap_rng_unit(&w->sim.rng) < 0.2);
			for (int i = 0; i < ENTRIES; i++)
				w->entries[i].gate.paused = ap_rng_unit(&w->sim.rng) < 0.2;
			set_conf(w, ++generation, version, 1 + (int)ap_rng_below(&w->sim.rng, 3),
				 fenced);
			run(w, (ap_usec_t)ap_rng_below(&w->sim.rng, 3 * TTL));
		}
		w->lose = w->store.lose = 0.0;
		fake_store_away(&w->store, false);
		for (int i = 0; i < ENTRIES; i++)
			w->entries[i].gate.paused = false;
		set_conf(w, ++generation, "v9", 2, fenced);
		run(w, 10 * TTL);
		assert_true(matches(w, "v9", 2));
		world_free(w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_declared_is_brought_about),
		cmocka_unit_test(test_only_replica_changes_version_after_a_spare_holds_it),
		cmocka_unit_test(test_weight_store_limit_holds),
		cmocka_unit_test(test_leaving_upstream_is_replaced),
		cmocka_unit_test(test_paused_holder_wakes_with_orders_ready_and_sends_none),
		cmocka_unit_test(test_store_away_in_the_middle_stops_orders_until_it_is_back),
		cmocka_unit_test(test_unfenced_orders_end_before_the_lease_can_lapse),
		cmocka_unit_test(test_random_faults_keep_fences_in_order_and_models_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
