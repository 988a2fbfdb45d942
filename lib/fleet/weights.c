/*
 * Versions of the weights: which one each upstream has of its models. Its record says so, late and
 * perhaps not at all, and its responses do. A stream goes on only at the version that made the last
 * event that its caller has; upstreams whose version isn't known are asked for it with the request.
 */
#include "fleet/private.h"

#include <string.h>

static size_t index_of_model(const ap_loaded_model_t *models, size_t n, uint64_t name)
{
	size_t i = 0;

	while (i < n && models[i].name != name)
		i++;
	return i;
}

/* Returns the index of a model, which is added if there is room; AP_MODELS_MAX for none. */
static size_t get_model(ap_loaded_model_t *models, size_t *n, uint64_t name)
{
	size_t i = index_of_model(models, *n, name);

	if (i == *n && *n < AP_MODELS_MAX)
		models[(*n)++] = (ap_loaded_model_t){.name = name};
	return i;
}

ap_weights_t ap_replica_weights(const ap_replica_t *r, uint64_t model)
{
	size_t i = index_of_model(r->models, r->n_models, model);

	return i < r->n_models ? r->models[i].weights : AP_WEIGHTS_ANY;
}

ap_weights_t ap_fleet_weights(ap_fleet_t *f, const char *id, uint64_t model)
{
	const ap_replica_t *r = ap_replica_find(f, id);

	return r ? ap_replica_weights(r, model) : AP_WEIGHTS_ANY;
}

bool ap_weights_allow(const ap_replica_t *r, const ap_dispatch_t *req)
{
	size_t i = index_of_model(r->models, r->n_models, req->model);

	if (req->weights == AP_WEIGHTS_ANY || i == r->n_models)
		return true;
	if (r->models[i].weights == AP_WEIGHTS_ANY)
		return r->refused[i] != req->weights;
	return r->models[i].weights == req->weights;
}

/* Returns whether @r may have any version of a model: nothing says which one it has. */
static bool is_unknown(const ap_replica_t *r, uint64_t model)
{
	return ap_replica_weights(r, model) == AP_WEIGHTS_ANY &&
	       (r->entry.n_models == 0 || r->n_models == AP_MODELS_MAX);
}

/* Streams began at @model at @r, which has it no longer. */
static void keep_gone(ap_fleet_t *f, const ap_replica_t *r, const ap_loaded_model_t *model,
		      ap_usec_t now)
{
	const ap_gone_model_t gone = {
		.pool = ap_hash_str(r->entry.pool, 8), .model = *model, .at = now};
	size_t oldest = 0;

	for (size_t i = 0; i < GONE_MODELS_MAX; i++) {
		ap_gone_model_t *g = &f->gone_models[i];

		if (g->pool == gone.pool && g->model.name == model->name &&
		    g->model.weights == model->weights) {
			g->at = now;
			return;
		}
		if (g->at < f->gone_models[oldest].at)
			oldest = i;
	}
	if (f->gone_models[oldest].at > 0)
		f->gone_dropped_at = f->gone_models[oldest].at;
	f->gone_models[oldest] = gone;
}

static void set_weights(ap_fleet_t *f, ap_replica_t *r, uint64_t name, ap_weights_t weights,
			ap_usec_t now)
{
	size_t i = get_model(r->models, &r->n_models, name);

	if (i == AP_MODELS_MAX || r->models[i].weights == weights)
		return;
	if (r->models[i].weights != AP_WEIGHTS_ANY)
		keep_gone(f, r, &r->models[i], now);
	r->models[i].weights = weights;
	r->refused[i] = AP_WEIGHTS_ANY;
}

void ap_weights_listed(ap_fleet_t *f, ap_replica_t *r, const ap_replica_entry_t *before,
		       ap_usec_t now)
{
	for (size_t i = 0; i < r->entry.n_models; i++) {
		const ap_loaded_model_t *model = &r->entry.models[i];
		size_t k = index_of_model(before->models, before->n_models, model->name);

		/* Responses are newer than an entry that says the same as before. */
		if (k == before->n_models || before->models[k].weights != model->weights)
			set_weights(f, r, model->name, model->weights, now);
	}
}

void ap_fleet_weights_seen(ap_fleet_t *f, const char *id, uint64_t model, ap_weights_t weights,
			   ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (r)
		set_weights(f, r, model, weights, now);
}

void ap_fleet_weights_refused(ap_fleet_t *f, const char *id, uint64_t model, ap_weights_t weights,
			      ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);
	size_t i;

	if (!r)
		return;
	if (ap_replica_weights(r, model) == weights)
		set_weights(f, r, model, AP_WEIGHTS_ANY, now);
	i = get_model(r->models, &r->n_models, model);
	if (i < AP_MODELS_MAX)
		r->refused[i] = weights;
}

void ap_weights_gone(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	for (size_t i = 0; i < r->n_models; i++) {
		if (r->models[i].weights != AP_WEIGHTS_ANY)
			keep_gone(f, r, &r->models[i], now);
	}
}

/*
 * Returns whether @r has another version of a model than those of its pool before, or may have
 * while one is known of others.
 */
static bool differs(ap_pool_state_t *p, const ap_replica_t *r)
{
	p->unknown = p->unknown || (r->entry.n_models == 0 && r->n_models == 0);
	for (size_t i = 0; i < r->n_models; i++) {
		ap_weights_t weights = r->models[i].weights;
		size_t k;

		if (weights == AP_WEIGHTS_ANY)
			continue;
		k = get_model(p->models, &p->n_models, r->models[i].name);
		if (k == AP_MODELS_MAX ||
		    (p->models[k].weights != AP_WEIGHTS_ANY && p->models[k].weights != weights))
			return true;
		p->models[k].weights = weights;
	}
	return p->unknown && (p->n_models > 0 || p->versions_told);
}

bool ap_weights_mixed(ap_fleet_t *f)
{
	for (ap_pool_state_t *p = f->pools; p; p = p->hh.next) {
		p->n_models = 0;
		p->unknown = false;
	}
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		ap_pool_state_t *p = ap_pool_state(f, r->entry.pool);

		if (p && differs(p, r))
			return true;
	}
	return false;
}

/* Returns whether streams of the pool may have begun lately at another version than @weights. */
static bool was_other(const ap_fleet_t *f, const char *pool, uint64_t model, ap_weights_t weights,
		      ap_usec_t kept, ap_usec_t now)
{
	uint64_t hash = ap_hash_str(pool, 8);

	for (size_t i = 0; i < GONE_MODELS_MAX; i++) {
		const ap_gone_model_t *g = &f->gone_models[i];

		if (g->at > 0 && now - g->at < kept && g->pool == hash && g->model.name == model &&
		    g->model.weights != weights)
			return true;
	}
	return f->gone_dropped_at > 0 && now - f->gone_dropped_at < kept;
}

bool ap_only_weights(ap_fleet_t *f, const char *pool, uint64_t model, ap_usec_t kept, ap_usec_t now,
		     ap_weights_t *weights)
{
	bool unknown = false;

	*weights = AP_WEIGHTS_ANY;
	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		ap_weights_t has = ap_replica_weights(r, model);

		if (strcmp(r->entry.pool, pool) != 0)
			continue;
		unknown = unknown || is_unknown(r, model);
		if (has == AP_WEIGHTS_ANY)
			continue;
		if (*weights != AP_WEIGHTS_ANY && *weights != has)
			return false;
		*weights = has;
	}
	return (!unknown || *weights == AP_WEIGHTS_ANY) &&
	       !was_other(f, pool, model, *weights, kept, now);
}
