/* Works out which upstream is to hold which model or adapter, from rules and rendezvous hash. */
#include "order/private.h"

#include <stdlib.h>
#include <string.h>

double order_score(const char *item, const ap_target_t *t)
{
	return ap_rendezvous(ap_hash_str(item, 0), ap_hash_str(t->up.id, 0), 1.0);
}

bool target_in_pool(const ap_target_t *t, const ap_pool_t *pool)
{
	return t->present && !t->up.draining && !pool->plain &&
	       ap_selector_match(&pool->instances, &t->up.labels);
}

static const ap_item_t *declared_here(const ap_target_t *t, const char *name)
{
	for (size_t i = 0; i < t->n_declared; i++) {
		if (strcmp(t->declared[i].name, name) == 0)
			return &t->declared[i];
	}
	return NULL;
}

static void declare(ap_target_t *t, const ap_item_t *item)
{
	ap_item_t *grown;

	if (declared_here(t, item->name))
		return;
	grown = realloc(t->declared, (t->n_declared + 1) * sizeof(*grown));
	if (!grown)
		abort();
	t->declared = grown;
	t->declared[t->n_declared++] = *item;
}

/* The best candidate below @bound; an adapter goes only where its model does. */
static ap_target_t *next_best(const ap_order_t *o, const ap_item_t *item, double bound)
{
	ap_target_t *t, *best = NULL;
	double best_score = 0.0;

	for (t = o->targets; t; t = t->hh.next) {
		double score;

		if (!target_in_pool(t, item->pool))
			continue;
		if (item->model && !declared_here(t, item->model))
			continue;
		score = order_score(item->model ? item->model : item->name, t);
		if (score < bound && score > best_score) {
			best = t;
			best_score = score;
		}
	}
	return best;
}

static void place(ap_order_t *o, const ap_item_t *item)
{
	double bound = 1e300;

	for (uint32_t i = 0; i < item->replicas; i++) {
		ap_target_t *t = next_best(o, item, bound);

		if (!t)
			return;
		bound = order_score(item->model ? item->model : item->name, t);
		declare(t, item);
	}
}

static void place_models(ap_order_t *o, const ap_rule_t *rule, const ap_pool_t *pool)
{
	for (size_t i = 0; i < o->conf->n_models; i++) {
		const ap_model_t *model = &o->conf->models[i];
		ap_item_t item = {.name = model->name,
				  .version = model->version,
				  .bytes = model->weight_bytes,
				  .pool = pool,
				  .replicas = rule->replicas};

		if (ap_selector_match(&rule->models, &model->labels))
			place(o, &item);
	}
}

static void place_adapters(ap_order_t *o, const ap_rule_t *rule, const ap_pool_t *pool)
{
	for (size_t i = 0; i < o->conf->n_adapters; i++) {
		const ap_adapter_t *adapter = &o->conf->adapters[i];
		ap_item_t item = {.name = adapter->name,
				  .version = adapter->version,
				  .model = adapter->model,
				  .bytes = adapter->weight_bytes,
				  .pool = pool,
				  .replicas = rule->replicas};

		if (ap_selector_match(&rule->adapters, &adapter->labels))
			place(o, &item);
	}
}

static void assign_pools(ap_order_t *o, const ap_pool_t *pool)
{
	ap_target_t *t;

	for (t = o->targets; t; t = t->hh.next) {
		if (!target_in_pool(t, pool))
			continue;
		if (!t->pool)
			t->pool = pool;
		t->fenced = t->fenced && pool->fenced;
	}
}

static void each_placement(ap_order_t *o,
			   void (*run)(ap_order_t *, const ap_rule_t *, const ap_pool_t *))
{
	for (size_t r = 0; r < o->conf->n_rules; r++) {
		const ap_rule_t *rule = &o->conf->rules[r];

		for (size_t p = 0; p < o->conf->n_pools; p++) {
			const ap_pool_t *pool = &o->conf->pools[p];

			if (!pool->plain && ap_selector_match(&rule->pools, &pool->labels))
				run(o, rule, pool);
		}
	}
}

static void own_pool(ap_order_t *o, const ap_rule_t *rule, const ap_pool_t *pool)
{
	(void)rule;
	assign_pools(o, pool);
}

void order_declare(ap_order_t *o)
{
	ap_target_t *t;

	o->dirty = false;
	for (t = o->targets; t; t = t->hh.next) {
		t->n_declared = 0;
		t->pool = NULL;
		t->fenced = true;
	}
	if (!o->conf)
		return;
	each_placement(o, own_pool);
	each_placement(o, place_models);
	each_placement(o, place_adapters);
}

uint32_t order_replicas(const ap_order_t *o, const char *name)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += declared_here(t, name) != NULL;
	return n;
}

const char *order_version(const ap_order_t *o, const char *name)
{
	const ap_model_t *model = ap_conf_model(o->conf, name);
	const ap_adapter_t *adapter = ap_conf_adapter(o->conf, name);

	if (model)
		return model->version;
	return adapter ? adapter->version : NULL;
}
