/* A deployment of real instances beside the store and the upstreams of this process. */
#include "soak.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#define REPLICAS_A_POOL 2 /* in each region */

const char *const soak_regions[REGIONS_MAX] = {"north", "south", "west"};
const char *const soak_paths[SOAK_KINDS] = {"/once/", "/idem/", "/stream/", "/resume/"};
static const char *const pools[] = {"desk", "engines"};

const char *soak_pool(soak_kind_t kind, bool swapped)
{
	return pools[(kind / 2) ^ swapped];
}

void publish_config(soak_t *s)
{
	static const char *const kinds[] = {"non_idempotent", "idempotent", "stream", "stream"};
	json_t *routes = json_array();
	json_t *root;
	char *text;

	s->version += 1 + ap_rng_below(&s->schedule, 3);
	if (s->n_published == PUBLISHED_MAX)
		abort();
	s->published[s->n_published++] = (published_t){s->version, s->swapped};
	for (int k = 0; k < SOAK_KINDS; k++) {
		json_t *r =
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:i,s:[]}", "name",
				  soak_paths[k], "host", "soak.example", "prefix", soak_paths[k],
				  "kind", kinds[k], "timeoutMs", 3000, "goalMs", 500, "priority", k,
				  "service", soak_pool((soak_kind_t)k, s->swapped), "attempts",
				  k == SOAK_IDEMPOTENT || k == SOAK_RESUMABLE ? 2 : 1, "resumable",
				  k == SOAK_RESUMABLE, "gapAimMs", 800, "homeRegions");

		if (s->open[k])
			json_object_set_new(r, "public", json_true());
		for (unsigned i = 0; k == SOAK_RESUMABLE && i < soak_n_homes(s); i++)
			json_array_append_new(json_object_get(r, "homeRegions"),
					      json_string(soak_regions[i]));
		json_array_append_new(routes, r);
	}
	root = json_pack("{s:I,s:o,s:[{s:s},{s:s}],s:{}}", "version", (json_int_t)s->version,
			 "routes", routes, "services", "name", pools[0], "name", pools[1],
			 "limits");
	if (s->tenants)
		json_object_set_new(root, "tenants", json_loads(s->tenants, 0, NULL));
	if (s->limits)
		json_object_set_new(root, "limits", json_loads(s->limits, 0, NULL));
	text = json_dumps(root, JSON_COMPACT);
	store_put(s->store, "op/config", text, 0);
	free(text);
	json_decref(root);
}

void soak_set_up(soak_t *s, size_t n_instances)
{
	snprintf(s->dir, sizeof(s->dir), "/tmp/soak-XXXXXX");
	if (!mkdtemp(s->dir))
		abort();
	s->base = ap_http_base_new();
	s->client = ap_http_client_new(s->base);
	s->store = store_new(s);
	for (unsigned region = 0; region < soak_n_regions(s); region++) {
		for (size_t p = 0; p < 2; p++) {
			for (int k = 0; k < REPLICAS_A_POOL; k++)
				replica_start(s, s->n_replicas++, pools[p], region);
		}
	}
	publish_config(s);
	s->n_instances = n_instances;
	for (size_t i = 0; i < n_instances; i++) {
		instance_t *inst = &s->instances[i];
		unsigned turn = (unsigned)i / soak_n_regions(s);

		inst->soak = s;
		inst->older = s->older && i % s->older_step == 0;
		inst->region = (unsigned)i % soak_n_regions(s);
		inst->data_centre = s->data_centres > 0 ? turn % s->data_centres : 0;
		snprintf(inst->id, sizeof(inst->id), "g%zu", i);
	}
	for (size_t i = 0; i < n_instances; i++)
		instance_start(&s->instances[i]);
}

void soak_tear_down(soak_t *s)
{
	for (size_t i = 0; i < s->n_instances; i++) {
		if (s->instances[i].pid > 0) {
			kill(s->instances[i].pid, SIGKILL);
			waitpid(s->instances[i].pid, NULL, 0);
		}
		link_free(s->instances[i].store_link);
		for (size_t k = 0; k < 2; k++)
			link_free(s->instances[i].peer_links[k]);
	}
	for (size_t i = 0; i < s->n_replicas; i++)
		replica_stop(&s->replicas[i]);
	ap_http_client_free(s->client);
	store_free(s->store);
	event_base_free(s->base);
}

void soak_remove_logs(const soak_t *s)
{
	static const char *const ends[] = {"log", "toml"};

	for (size_t i = 0; i < s->n_instances; i++) {
		for (size_t k = 0; k < 2; k++) {
			char path[192];

			snprintf(path, sizeof(path), "%s/%s.%s", s->dir, s->instances[i].id,
				 ends[k]);
			unlink(path);
		}
	}
	rmdir(s->dir);
}
