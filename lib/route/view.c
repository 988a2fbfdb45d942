/* Takes views of the fleet and derives candidate sets from services, pools and labels. */
#include "route/state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LIMIT_START 2.0 /* a new upstream's concurrency limit, in batches */

ap_node_t *ap_route_node(const ap_route_t *r, const char *id)
{
	ap_node_t *node = NULL;

	HASH_FIND_STR(r->nodes, id, node);
	return node;
}

void ap_route_drop_candidates(ap_route_t *r)
{
	ap_candidate_set_t *set = r->candidate_sets;

	HASH_CLEAR(hh, r->candidate_sets);
	while (set) {
		ap_candidate_set_t *next = set->hh.next;

		free(set->nodes);
		free(set->is_member);
		free(set);
		set = next;
	}
}

/* Return: a free slot number, or UINT16_MAX when there is none. */
static size_t find_free_slot(ap_route_t *r)
{
	ap_node_t **grown;

	for (size_t i = 0; i < r->n_slots; i++)
		if (!r->slots[i])
			return i;
	if (r->n_slots == UINT16_MAX)
		return UINT16_MAX;
	grown = realloc(r->slots, (r->n_slots + 1) * sizeof(ap_node_t *));
	if (!grown)
		return UINT16_MAX;
	r->slots = grown;
	r->slots[r->n_slots] = NULL;
	return r->n_slots++;
}

static ap_node_t *add_node(ap_route_t *r, const char *id)
{
	size_t slot = find_free_slot(r);
	ap_node_t *node;

	if (slot == UINT16_MAX)
		return NULL;
	node = malloc(sizeof(*node));
	if (!node)
		return NULL;
	r->last_epoch = r->last_epoch == UINT16_MAX ? 1 : r->last_epoch + 1;
	ap_node_init(node, id, (uint16_t)slot, r->last_epoch);
	r->slots[slot] = node;
	HASH_ADD_STR(r->nodes, id, node);
	return node;
}

/* Frees the nodes that are neither in the view nor have own requests in progress. */
static void drop_absent_nodes(ap_route_t *r)
{
	ap_node_t *node;
	ap_node_t *next;
	ap_node_t *dropped = NULL;

	HASH_ITER (hh, r->nodes, node, next) {
		if (node->index != AP_NODE_ABSENT || node->running > 0)
			continue;
		HASH_DEL(r->nodes, node);
		r->slots[node->slot] = NULL;
		node->dropped = dropped;
		dropped = node;
	}
	while (dropped) {
		next = dropped->dropped;
		free(dropped);
		dropped = next;
	}
}

/* Return: index of the first pool that selects the upstream, or SIZE_MAX. */
static size_t pool_of(const ap_conf_t *conf, const ap_upstream_t *up)
{
	for (size_t i = 0; i < conf->n_pools; i++)
		if (ap_selector_match(&conf->pools[i].instances, &up->labels))
			return i;
	return SIZE_MAX;
}

/* The instance list lags, so only a change in it overrides an earlier announcement. */
static void update_listed_draining(ap_node_t *node, bool draining, ap_usec_t now)
{
	if (draining && !ap_node_draining(node, now))
		node->draining_since = now;
	if (!draining && node->listed_draining)
		node->draining_since = AP_NEVER;
	node->listed_draining = draining;
}

static void update_node(ap_route_t *r, ap_node_t *node, const ap_upstream_t *up, size_t index,
			ap_usec_t now)
{
	size_t pool = r->view->conf ? pool_of(r->view->conf, up) : SIZE_MAX;

	node->index = index;
	node->in_own_region = strcmp(up->region, r->config.region) == 0;
	node->same_data_centre = strcmp(up->data_centre, r->config.data_centre) == 0;
	update_listed_draining(node, up->draining, now);
	node->counted_load = 0;
	node->other_entries = (double)(r->entries_here - 1);
	if (pool == SIZE_MAX)
		return;
	node->pool = &r->view->conf->pools[pool];
	node->batch = node->pool->slots > 0 ? node->pool->slots : 1;
	if (node->limit < 1)
		node->limit = node->batch * LIMIT_START;
	if (!node->in_own_region)
		return;
	node->group = &r->groups[pool];
	node->group->n++;
	node->group->batch += node->batch;
	if (node->health == AP_HEALTH_EJECTED || node->health == AP_HEALTH_TRIAL)
		node->group->ejected++;
	ap_node_recount(node, now);
}

static void count_entries(ap_route_t *r)
{
	const ap_view_t *view = r->view;
	char names[AP_REMOTE_REGIONS_MAX][AP_NAME_MAX];
	size_t n = 0;

	r->entries_here = 0;
	for (size_t i = 0; i < view->n_entries; i++) {
		const char *region = view->entries[i].region;
		size_t at = 0;

		if (strcmp(region, r->config.region) == 0) {
			r->entries_here++;
			continue;
		}
		while (at < n && strcmp(names[at], region) != 0)
			at++;
		if (at == n && n < AP_REMOTE_REGIONS_MAX)
			ap_copy_name(names[n++], AP_NAME_MAX, region);
	}
	if (r->entries_here == 0)
		r->entries_here = 1;
	r->remote_regions = n;
}

/* Restarts every group's mean load at the current load; a new view has new groups. */
static void init_group_means(ap_route_t *r, ap_usec_t now)
{
	for (size_t i = 0; r->groups && i < r->n_groups; i++) {
		ap_group_t *group = &r->groups[i];

		if (group->batch > 0)
			group->mean_load = group->load / group->batch;
		group->mean_load_at = now;
	}
}

void ap_route_set_view(ap_route_t *r, const ap_view_t *view, ap_usec_t now)
{
	ap_view_t *old = r->view;
	ap_node_t *node;
	ap_node_t *next;

	ap_route_drop_candidates(r);
	r->view = ap_view_ref(view);
	count_entries(r);
	free(r->groups);
	r->n_groups = view->conf ? view->conf->n_pools : 0;
	r->groups = calloc(r->n_groups + 1, sizeof(*r->groups));
	HASH_ITER (hh, r->nodes, node, next) {
		node->index = AP_NODE_ABSENT;
		node->group = NULL;
		node->pool = NULL;
	}
	for (size_t i = 0; r->groups && i < view->n_upstreams; i++) {
		node = ap_route_node(r, view->upstreams[i].id);
		if (!node)
			node = add_node(r, view->upstreams[i].id);
		if (node)
			update_node(r, node, &view->upstreams[i], i, now);
	}
	drop_absent_nodes(r);
	init_group_means(r, now);
	ap_view_unref(old);
}

static bool has_model(const ap_upstream_t *up, const char *name)
{
	for (size_t i = 0; i < up->n_models; i++)
		if (strcmp(up->models[i], name) == 0)
			return true;
	return false;
}

static bool given(const char *text)
{
	return text && *text;
}

static uint32_t version_of(const ap_upstream_t *up, const char *name)
{
	for (size_t i = 0; up->versions && i < up->n_models; i++) {
		if (strcmp(up->models[i], name) == 0)
			return up->versions[i];
	}
	return 0;
}

uint32_t ap_version_both(uint32_t model, uint32_t adapter)
{
	const uint32_t both[] = {model, adapter};
	uint32_t hash = (uint32_t)ap_hash(both, sizeof(both), 0);

	if (model == 0 || adapter == 0)
		return 0;
	return hash ? hash : 1;
}

uint32_t ap_route_node_version(const ap_route_t *r, const ap_node_t *node, const ap_request_t *req,
			       const char *model)
{
	const ap_upstream_t *up;
	uint32_t version;

	if (!r->view || node->index >= r->view->n_upstreams)
		return 0;
	up = &r->view->upstreams[node->index];
	version = version_of(up, model);
	return given(req->adapter) ? ap_version_both(version, version_of(up, req->adapter))
				   : version;
}

uint32_t ap_route_version(const ap_route_t *r, const char *upstream, const ap_request_t *req,
			  const char *model)
{
	const ap_node_t *node = ap_route_node(r, upstream);

	return node ? ap_route_node_version(r, node, req, model) : 0;
}

static bool serves(const ap_upstream_t *up, const ap_pool_t *pool, const ap_service_t *service,
		   const ap_model_t *model, const char *adapter)
{
	if (!pool || pool->plain != service->plain)
		return false;
	if (!ap_selector_match(&service->pools, &pool->labels))
		return false;
	if (service->plain)
		return true;
	return has_model(up, given(adapter) ? adapter : model->name);
}

static void fill_set(ap_route_t *r, ap_candidate_set_t *set, const ap_service_t *service,
		     const char *adapter)
{
	ap_node_t *node;

	set->nodes = calloc(r->view->n_upstreams + 1, sizeof(ap_node_t *));
	set->is_member = calloc(r->n_slots + 1, sizeof(*set->is_member));
	if (!set->nodes || !set->is_member)
		return;
	set->n_member = r->n_slots;
	for (size_t i = 0; i < r->view->n_upstreams; i++) {
		const ap_upstream_t *up = &r->view->upstreams[i];

		node = ap_route_node(r, up->id);
		if (!node || node->index != i ||
		    !serves(up, node->pool, service, set->model, adapter))
			continue;
		if (!node->in_own_region) {
			set->has_remote = true;
			continue;
		}
		set->nodes[set->n++] = node;
		set->is_member[node->slot] = true;
		set->batch += node->batch;
	}
}

static const ap_model_t *model_of(const ap_conf_t *conf, const ap_service_t *service,
				  const ap_request_t *req)
{
	const ap_adapter_t *adapter;
	const ap_model_t *model;

	if (given(req->model)) {
		model = ap_conf_model(conf, req->model);
		return model && ap_selector_match(&service->models, &model->labels) ? model : NULL;
	}
	if (given(req->adapter)) {
		adapter = ap_conf_adapter(conf, req->adapter);
		return adapter ? ap_conf_model(conf, adapter->model) : NULL;
	}
	for (size_t i = 0; i < conf->n_models; i++)
		if (ap_selector_match(&service->models, &conf->models[i].labels))
			return &conf->models[i];
	return NULL;
}

static bool adapter_fits(const ap_conf_t *conf, const ap_request_t *req, const ap_model_t *model)
{
	const ap_adapter_t *adapter;

	if (!given(req->adapter))
		return true;
	adapter = ap_conf_adapter(conf, req->adapter);
	return adapter && strcmp(adapter->model, model->name) == 0;
}

static ap_candidate_set_t *make_set(ap_route_t *r, const ap_request_t *req, const char *key)
{
	const ap_conf_t *conf = r->view->conf;
	const ap_service_t *service = ap_conf_service(conf, req->service->name);
	const ap_model_t *model = NULL;
	ap_candidate_set_t *set;

	if (!service)
		return NULL;
	if (!service->plain) {
		model = model_of(conf, service, req);
		if (!model || !adapter_fits(conf, req, model))
			return NULL;
	}
	set = calloc(1, sizeof(*set));
	if (!set)
		return NULL;
	set->state = ap_route_model(r, model ? model->name : service->name);
	if (!set->state) {
		free(set);
		return NULL;
	}
	ap_copy_name(set->key, sizeof(set->key), key);
	set->model = model;
	fill_set(r, set, service, req->adapter);
	HASH_ADD_STR(r->candidate_sets, key, set);
	return set;
}

ap_candidate_set_t *ap_route_candidates(ap_route_t *r, const ap_request_t *req)
{
	char key[AP_CANDIDATE_SET_KEY_MAX];
	ap_candidate_set_t *set = NULL;

	if (!r->view || !r->view->conf)
		return NULL;
	if (req->service->plain)
		snprintf(key, sizeof(key), "%s", req->service->name);
	else
		snprintf(key, sizeof(key), "%s/%s/%s", req->service->name,
			 req->model ? req->model : "", req->adapter ? req->adapter : "");
	HASH_FIND_STR(r->candidate_sets, key, set);
	return set ? set : make_set(r, req, key);
}
