/* Views of the fleet: deep copies, reference-counted and shared between tasks. */
#include "conf/conf.h"

#include <stdlib.h>
#include <string.h>

uint32_t ap_version_hash(const char *version)
{
	uint32_t hash = (uint32_t)ap_hash_str(version, 0);

	if (!version[0])
		return 0;
	return hash ? hash : 1;
}

static bool copy_versions(ap_upstream_t *to, const ap_upstream_t *from)
{
	if (!from->versions)
		return true;
	to->versions = calloc(from->n_models, sizeof(*to->versions));
	if (!to->versions)
		return false;
	memcpy(to->versions, from->versions, from->n_models * sizeof(*to->versions));
	return true;
}

static bool copy_upstream(ap_upstream_t *to, const ap_upstream_t *from)
{
	*to = *from;
	to->labels = ap_labels_copy(&from->labels);
	to->models = NULL;
	to->versions = NULL;
	to->n_models = 0;
	if (to->labels.n != from->labels.n)
		return false;
	if (from->n_models == 0)
		return true;
	to->models = calloc(from->n_models, sizeof(*to->models));
	if (!to->models || !copy_versions(to, from))
		return false;
	for (size_t i = 0; i < from->n_models; i++) {
		to->models[i] = strdup(from->models[i]);
		if (!to->models[i])
			return false;
		to->n_models++;
	}
	return true;
}

static void clear_upstream(ap_upstream_t *u)
{
	ap_labels_clear(&u->labels);
	for (size_t i = 0; i < u->n_models; i++)
		free(u->models[i]);
	free(u->models);
	free(u->versions);
}

static bool fill(ap_view_t *view, const ap_upstream_t *upstreams, size_t n_upstreams,
		 const ap_entry_t *entries, size_t n_entries)
{
	view->upstreams = calloc(n_upstreams + 1, sizeof(*view->upstreams));
	view->entries = calloc(n_entries + 1, sizeof(*view->entries));
	if (!view->upstreams || !view->entries)
		return false;
	for (size_t i = 0; i < n_upstreams; i++) {
		view->n_upstreams++;
		if (!copy_upstream(&view->upstreams[i], &upstreams[i]))
			return false;
	}
	if (n_entries > 0)
		memcpy(view->entries, entries, n_entries * sizeof(*entries));
	view->n_entries = n_entries;
	return true;
}

ap_view_t *ap_view_new(uint64_t number, const ap_conf_t *conf, const ap_upstream_t *upstreams,
		       size_t n_upstreams, const ap_entry_t *entries, size_t n_entries)
{
	ap_view_t *view = calloc(1, sizeof(*view));

	if (!view)
		return NULL;
	atomic_init(&view->refs, 1);
	view->number = number;
	view->conf = conf ? ap_conf_ref(conf) : NULL;
	if (!fill(view, upstreams, n_upstreams, entries, n_entries)) {
		ap_view_unref(view);
		return NULL;
	}
	return view;
}

ap_view_t *ap_view_ref(const ap_view_t *view)
{
	ap_view_t *shared = (ap_view_t *)view;

	atomic_fetch_add(&shared->refs, 1);
	return shared;
}

void ap_view_unref(ap_view_t *view)
{
	if (!view || atomic_fetch_sub(&view->refs, 1) != 1)
		return;
	for (size_t i = 0; i < view->n_upstreams; i++)
		clear_upstream(&view->upstreams[i]);
	free(view->upstreams);
	free(view->entries);
	ap_conf_unref(view->conf);
	free(view);
}
