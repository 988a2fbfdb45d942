/* Checks of a whole document: references, selectors without a match, duplicate keys. */
#include "conf/parse.h"

#include <string.h>

/* Counts the matching objects in an array of structs whose labels are at offset @labels. */
static size_t count_matches(const ap_selector_t *sel, const void *list, size_t n, size_t size,
			    size_t labels)
{
	size_t found = 0;

	for (size_t i = 0; i < n; i++) {
		const char *object = (const char *)list + i * size;

		if (ap_selector_match(sel, (const ap_labels_t *)(object + labels)))
			found++;
	}
	return found;
}

static size_t count_models(const ap_conf_t *conf, const ap_selector_t *sel)
{
	return count_matches(sel, conf->models, conf->n_models, sizeof(ap_model_t),
			     offsetof(ap_model_t, labels));
}

static size_t count_adapters(const ap_conf_t *conf, const ap_selector_t *sel)
{
	return count_matches(sel, conf->adapters, conf->n_adapters, sizeof(ap_adapter_t),
			     offsetof(ap_adapter_t, labels));
}

static size_t count_pools(const ap_conf_t *conf, const ap_selector_t *sel, bool plain)
{
	size_t found = 0;

	for (size_t i = 0; i < conf->n_pools; i++) {
		const ap_pool_t *pool = &conf->pools[i];

		if (pool->plain == plain && ap_selector_match(sel, &pool->labels))
			found++;
	}
	return found;
}

/* Is the selector in the document? Otherwise select_nothing() in field.c made it. */
static bool is_in_document(const ap_selector_t *sel)
{
	return sel->n != 1 || sel->v[0].match != AP_MATCH_IN || sel->v[0].n > 0;
}

static ap_conf_status_t invalid_field(ap_err_t *err, const char *kind, const char *name,
				      const char *field, const char *what)
{
	ap_err_set(err, "%s/%s/%s: %s", kind, name, field, what);
	return AP_CONF_INVALID;
}

static ap_conf_status_t check_service(const ap_conf_t *conf, const ap_service_t *s, ap_err_t *err)
{
	if (s->permit && s->repeatable)
		return invalid_field(err, "service", s->name, "permit",
				     "a service with permits can't be repeatable");
	if (s->plain && s->resumable)
		return invalid_field(err, "service", s->name, "resumable",
				     "a plain service can't be resumed");
	if (s->first_byte > s->deadline)
		return invalid_field(err, "service", s->name, "first_byte_ms",
				     "must not be above deadline_ms");
	if (s->plain && is_in_document(&s->models))
		return invalid_field(err, "service", s->name, "models",
				     "a plain service has no models");
	if (!s->plain && count_models(conf, &s->models) == 0)
		return invalid_field(err, "service", s->name, "models", "selects no model");
	if (count_pools(conf, &s->pools, s->plain) == 0)
		return invalid_field(err, "service", s->name, "pools",
				     s->plain ? "selects no pool of plain services"
					      : "selects no pool of engines");
	return AP_CONF_OK;
}

static ap_conf_status_t check_adapter(const ap_conf_t *conf, const ap_adapter_t *a, ap_err_t *err)
{
	if (!ap_conf_model(conf, a->model))
		return invalid_field(err, "adapter", a->name, "model",
				     "no such model in the document");
	if (ap_conf_model(conf, a->name))
		return invalid_field(err, "adapter", a->name, "name", "a model has the same name");
	return AP_CONF_OK;
}

static ap_conf_status_t check_rule(const ap_conf_t *conf, const ap_rule_t *r, ap_err_t *err)
{
	if (!is_in_document(&r->models) && !is_in_document(&r->adapters))
		return invalid_field(err, "rule", r->name, "models", "needs models or adapters");
	if (is_in_document(&r->models) && count_models(conf, &r->models) == 0)
		return invalid_field(err, "rule", r->name, "models", "selects no model");
	if (is_in_document(&r->adapters) && count_adapters(conf, &r->adapters) == 0)
		return invalid_field(err, "rule", r->name, "adapters", "selects no adapter");
	if (count_pools(conf, &r->pools, false) == 0)
		return invalid_field(err, "rule", r->name, "pools", "selects no pool of engines");
	return AP_CONF_OK;
}

/* Callers are sorted by key hash, so equal hashes are adjacent. */
static ap_conf_status_t check_keys(const ap_conf_t *conf, ap_err_t *err)
{
	for (size_t i = 1; i < conf->n_callers; i++) {
		const ap_caller_t *a = &conf->callers[i - 1];
		const ap_caller_t *b = &conf->callers[i];

		if (strcmp(a->key_hash, b->key_hash) != 0)
			continue;
		ap_err_set(err, "caller/%s/key_hash: caller/%s has the same one", b->name, a->name);
		return AP_CONF_INVALID;
	}
	return AP_CONF_OK;
}

ap_conf_status_t ap_conf_check_document(const ap_conf_t *conf, ap_err_t *err)
{
	ap_conf_status_t status = check_keys(conf, err);

	for (size_t i = 0; i < conf->n_services && status == AP_CONF_OK; i++)
		status = check_service(conf, &conf->services[i], err);
	for (size_t i = 0; i < conf->n_adapters && status == AP_CONF_OK; i++)
		status = check_adapter(conf, &conf->adapters[i], err);
	for (size_t i = 0; i < conf->n_rules && status == AP_CONF_OK; i++)
		status = check_rule(conf, &conf->rules[i], err);
	return status;
}
