/*
 * Remote regions: how long a request would wait there, and which region keeps a large prefix, so
 * that the prefix is not processed again in each region.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

#define ROUND_TRIP_US 115000.0	    /* assumed the same for all pairs of regions */
#define WAIT_HALF_LIFE (2 * AP_SEC) /* several announcements */

/* Returns the slots of the upstreams in @region that may get @req. */
static uint32_t slots_in(const ap_fleet_t *f, const char *region, const ap_dispatch_t *req,
			 ap_usec_t now)
{
	uint32_t slots = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (ap_replica_serves(f, r, region, req, now))
			slots += ap_replica_slots(r, req->pool);
	}
	return slots;
}

/* Returns the announced wait, which decays, plus the time for requests forwarded since then. */
static double remote_queue_us(ap_fleet_t *f, const ap_remote_pool_t *remote,
			      const ap_dispatch_t *req, uint32_t slots, ap_usec_t now)
{
	const ap_pool_state_t *p = ap_pool_state(f, req->pool->name);
	double halves = (double)(now - remote->announced_at) / (double)WAIT_HALF_LIFE;
	double wait =
		(double)remote->wait[ap_dispatch_rank(req) == 0 ? 0 : 1] * exp2(-fmax(halves, 0));

	/* The other instances of this region are assumed to have forwarded as many. */
	if (p && p->mean_us > 0)
		wait += remote->sent_since * (double)ap_fleet_count_members(f, f->config.region) *
			p->mean_us / slots;
	return wait;
}

const char *ap_prefix_region(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	const ap_pool_state_t *p = ap_pool_state(f, req->pool->name);
	uint64_t key = ap_dispatch_prefix_key(req);
	const char *chosen = NULL;
	double best = 0;

	if (!p || !req->pool->kv_tokens ||
	    ap_dispatch_prefix_tokens(req) / p->prefill_per_us < ROUND_TRIP_US + REMOTE_MARGIN_US)
		return NULL;
	for (const ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next) {
		uint32_t slots = slots_in(f, dc->region, req, now);
		double score;

		if (slots == 0 || !ap_dispatch_allows_region(req, dc->region))
			continue;
		score = ap_rendezvous(key, ap_hash_str(dc->region, 0), slots);
		if (score > best) {
			best = score;
			chosen = dc->region;
		}
	}
	return chosen;
}

bool ap_best_remote(ap_fleet_t *f, const ap_dispatch_t *req, const char *prefix_region,
		    ap_usec_t now, ap_remote_candidate_t *best)
{
	bool found = false;

	for (const ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next) {
		ap_remote_candidate_t c = {0};
		uint32_t slots;
		ap_remote_pool_t *remote;

		if (strcmp(dc->region, f->config.region) == 0 ||
		    !ap_dispatch_allows_region(req, dc->region))
			continue;
		slots = slots_in(f, dc->region, req, now);
		remote = ap_remote_pool(f, dc->region, req->pool->name);
		if (slots == 0 || !remote || ap_is_silent(remote->running, remote->heard_at, req) ||
		    now < remote->pause_until)
			continue;
		c.member = ap_pick_member(f, dc->region, req, now);
		if (!c.member)
			continue;
		c.cached = ap_prefix_cache_match(f, &remote->cache, req);
		if (prefix_region && strcmp(dc->region, prefix_region) == 0 &&
		    c.cached < ap_dispatch_prefix_tokens(req))
			c.cached = ap_dispatch_prefix_tokens(req);
		c.queue = remote_queue_us(f, remote, req, slots, now);
		c.wait = ROUND_TRIP_US + c.queue + ap_prefill_us(f, req, c.cached) +
			 ap_refusals_us(&remote->refusals, req, now);
		if (!found || c.wait < best->wait)
			*best = c;
		found = true;
	}
	return found;
}

void ap_fill_remote_target(const ap_remote_candidate_t *c, ap_target_t *target)
{
	*target = (ap_target_t){
		.remote = true,
		.port = c->member->peer_port,
		.wait = (ap_usec_t)c->wait,
		.queue = (ap_usec_t)c->queue,
		.cached = c->cached,
	};
	ap_copy_name(target->id, sizeof(target->id), c->member->id);
	ap_copy_name(target->host, sizeof(target->host), c->member->host);
	ap_copy_name(target->region, sizeof(target->region), c->member->region);
}
