/*
 * Computes the models and adapters that are declared for each upstream, from the configuration's
 * rules and by rendezvous hashing.
 */
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

static const ap_item_t *find_declared(const ap_target_t *t, const char *name)
{
	for (size_t i = 0; i < t->n_declared; i++) {
		if (strcmp(t->declared[i].name, name) == 0)
			return &t->declared[i];
	}
	return NULL;
}

static void add_declared(ap_target_t *t, const ap_item_t *item)
{
	ap_item_t *grown;

	if (find_declared(t, item->name))
		return;
	grown = realloc(t->declared, (t->n_declared + 1) * sizeof(*grown));
	if (!grown)
		abort();
	t->declared = grown;
	t->declared[t->n_declared++] = *item;
}

/*
 * The upstream with the highest score below @bound; for an adapter, only upstreams for which its
 * model is declared.
 */
static ap_target_t *next_best(const ap_order_t *o, const ap_item_t *item, double bound)
{
	ap_target_t *t, *best = NULL;
	double best_score = 0.0;

	for (t = o->targets; t; t = t->hh.next) {
		double score;

		if (!target_in_pool(t, item->pool))
			continue;
		if (item->model && !find_declared(t, item->model))
			continue;
		score = order_score(item->model ? item->model : item->name, t);
		if (score < bound && score > best_score) {
			best = t;
			best_score = score;
		}
	}
	return best;
}

static void place_item(ap_order_t *o, const ap_item_t *item)
{
	double bound = 1e300; /* above any score */

	for (uint32_t i = 0; i < item->replicas; i++) {
		ap_target_t *t = next_best(o, item, bound);

		if (!t)
			return;
		bound = order_score(item->model ? item->model : item->name, t);
		add_declared(t, item);
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
			place_item(o, &item);
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
			place_item(o, &item);
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

static void for_each_rule_pool(ap_order_t *o,
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

static void assign_rule_pool(ap_order_t *o, const ap_rule_t *rule, const ap_pool_t *pool)
{
	(void)rule;
	assign_pools(o, pool);
}

void order_update_declared(ap_order_t *o)
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
	for_each_rule_pool(o, assign_rule_pool);
	for_each_rule_pool(o, place_models);
	for_each_rule_pool(o, place_adapters);
}

uint32_t order_count_declared(const ap_order_t *o, const char *name)
{
	const ap_target_t *t;
	uint32_t n = 0;

	for (t = o->targets; t; t = t->hh.next)
		n += find_declared(t, name) != NULL;
	return n;
}

const char *order_declared_version(const ap_order_t *o, const char *name)
{
	const ap_model_t *model = ap_conf_model(o->conf, name);
	const ap_adapter_t *adapter = ap_conf_adapter(o->conf, name);

	if (model)
		return model->version;
	return adapter ? adapter->version : NULL;
}
