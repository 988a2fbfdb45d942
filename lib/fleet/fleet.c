/* Creates and frees the state of the fleet. */
#include "fleet/private.h"

#include <stdlib.h>

ap_fleet_t *ap_fleet_new(const ap_fleet_config_t *config)
{
	ap_fleet_t *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->quota = ap_quota_new(&config->quota);
	if (!f->quota) {
		free(f);
		return NULL;
	}
	f->config = *config;
	ap_rng_seed(&f->rng, config->seed);
	msgpack_sbuffer_init(&f->batch);
	msgpack_packer_init(&f->batch_pk, &f->batch, msgpack_sbuffer_write);
	ap_fleet_set_data_centre(f, config->data_centre, config->region);
	return f;
}

void ap_fleet_set_bounds(ap_fleet_t *f, const ap_fleet_config_t *config)
{
	f->config.cold_over = config->cold_over;
	f->config.cold_slack = config->cold_slack;
	f->config.retry_ratio = config->retry_ratio;
	f->config.retry_slack = config->retry_slack;
	f->config.learn_time = config->learn_time;
	f->config.entry_grace = config->entry_grace;
	f->config.prompt_fetch = config->prompt_fetch;
	ap_quota_configure(f->quota, &config->quota);
}

/* Frees the items of a hash table after HASH_CLEAR; each item starts with its UT_hash_handle. */
static void free_items(void *item)
{
	while (item) {
		void *next = ((UT_hash_handle *)item)->next;

		free(item);
		item = next;
	}
}

void ap_fleet_free(ap_fleet_t *f)
{
	if (!f)
		return;
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		ap_prefix_cache_clear(f, &r->cache);
		ap_break_forget(r);
	}
	for (ap_remote_pool_t *a = f->remote_pools; a; a = a->hh.next)
		ap_prefix_cache_clear(f, &a->cache);
	for (ap_member_state_t *m = f->members; m; m = m->hh.next)
		free(m->loads);
	ap_backoff_forget_all(f);

	void *const first[] = {f->replicas,	f->members, f->pools,	f->remote_pools,
			       f->data_centres, f->leaving, f->suspects};

	HASH_CLEAR(hh, f->replicas);
	HASH_CLEAR(by_tag, f->tagged);
	HASH_CLEAR(hh, f->members);
	HASH_CLEAR(by_tag, f->member_tags);
	HASH_CLEAR(hh, f->pools);
	HASH_CLEAR(hh, f->remote_pools);
	HASH_CLEAR(hh, f->data_centres);
	HASH_CLEAR(hh, f->leaving);
	HASH_CLEAR(hh, f->suspects);
	for (size_t i = 0; i < sizeof(first) / sizeof(first[0]); i++)
		free_items(first[i]);
	msgpack_sbuffer_destroy(&f->batch);
	ap_quota_free(f->quota);
	free(f);
}
