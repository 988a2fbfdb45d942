/*
 * Fetching kept parts of prompts from another engine, where that takes less time than processing
 * them again. What engines keep is known from the requests sent to them, so a source may have
 * evicted a part; then the engine processes it.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

#define TOKENS_MIN 1000	 /* fetched at a time; for fewer, other times dominate */
#define SETUP_US 2000.0	 /* before a transfer begins */
#define GAIN_MIN 2.0	 /* time to process, as a ratio to that of the transfer */
#define ACROSS 2.0	 /* a transfer between data centres takes longer by this ratio */
#define MISSED_SHARE 0.7 /* of the time to process, by which a response is later than expected */
#define BITS 8.0

static double us_per_token(const ap_plan_pool_t *pool)
{
	return pool->link_mbps > 0 ? pool->kv_bytes * BITS / pool->link_mbps : 0;
}

/* An upstream that is known to have other weights keeps nothing for the target. */
static bool has_weights(const ap_replica_t *source, const ap_replica_t *r, uint64_t model)
{
	return ap_replica_weights(source, model) == ap_replica_weights(r, model);
}

static bool may_send(const ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
		     ap_usec_t now)
{
	return ap_replica_serves(f, r, f->config.region, req, now) && r->path_lost_at == 0 &&
	       ap_replica_healthy(r, now);
}

/* Keeps the sources with most tokens. */
static void add_source(ap_fetch_sources_t *all, ap_replica_t *r, uint32_t tokens)
{
	size_t least = 0;

	if (all->n < AP_FETCH_SOURCES_MAX) {
		all->v[all->n] = r;
		all->tokens[all->n++] = tokens;
		return;
	}
	for (size_t i = 1; i < all->n; i++) {
		if (all->tokens[i] < all->tokens[least] ||
		    (all->tokens[i] == all->tokens[least] &&
		     all->v[i]->sends_until > all->v[least]->sends_until))
			least = i;
	}
	if (tokens > all->tokens[least] ||
	    (tokens == all->tokens[least] && r->sends_until < all->v[least]->sends_until)) {
		all->v[least] = r;
		all->tokens[least] = tokens;
	}
}

void ap_fetch_find(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, ap_fetch_sources_t *all)
{
	all->n = 0;
	if (!f->config.prompt_fetch || us_per_token(req->pool) <= 0 ||
	    ap_dispatch_prefix_tokens(req) < TOKENS_MIN)
		return;
	for (ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		uint32_t tokens;

		if (!r->own_region || strcmp(r->entry.pool, req->pool->name) != 0)
			continue;
		tokens = ap_prefix_cache_match(f, &r->cache, req);
		if (tokens >= TOKENS_MIN && may_send(f, r, req, now))
			add_source(all, r, tokens);
	}
}

static double transfer_us(const ap_dispatch_t *req, const ap_replica_t *source,
			  const ap_replica_t *r, uint32_t tokens, ap_usec_t now)
{
	bool near = strcmp(source->entry.data_centre, r->entry.data_centre) == 0;
	double time = SETUP_US + tokens * us_per_token(req->pool) * (near ? 1 : ACROSS);

	/* Transfers from one engine, and to one, run one after another. */
	time += fmax((double)(source->sends_until - now), 0);
	return time + fmax((double)(r->fetches_until - now), 0);
}

ap_fetch_t ap_fetch_for(ap_fleet_t *f, const ap_dispatch_t *req, const ap_fetch_sources_t *all,
			const ap_replica_t *r, uint32_t cached, ap_usec_t now)
{
	ap_fetch_t best = {.source = NULL};
	double gain = 0;

	for (size_t i = 0; i < all->n; i++) {
		ap_replica_t *s = all->v[i];
		double saved;
		double time;

		if (s == r || all->tokens[i] < cached + TOKENS_MIN || s->build != r->build ||
		    !has_weights(s, r, req->model))
			continue;
		time = transfer_us(req, s, r, all->tokens[i] - cached, now);
		saved = ap_prefill_us(f, req, cached) - ap_prefill_us(f, req, all->tokens[i]);
		if (saved < GAIN_MIN * time || saved - time <= gain)
			continue;
		gain = saved - time;
		best = (ap_fetch_t){.source = s, .tokens = all->tokens[i], .time = time};
	}
	return best;
}

void ap_fetch_fill(const ap_fetch_t *fetch, uint32_t kept, ap_target_fetch_t *target)
{
	const ap_replica_t *s = fetch->source;

	if (!s)
		return;
	target->tokens = fetch->tokens - kept;
	target->time = (ap_usec_t)fetch->time;
	target->port = s->entry.port;
	ap_copy_name(target->id, sizeof(target->id), s->entry.id);
	ap_copy_name(target->host, sizeof(target->host), s->entry.host);
}

void ap_fetch_sent(ap_fleet_t *f, const ap_target_t *target, ap_usec_t now, ap_inflight_t *inflight)
{
	ap_replica_t *r = ap_replica_find(f, target->id);
	ap_replica_t *s = ap_replica_find(f, target->fetch.id);

	if (!r || !s || target->fetch.tokens == 0)
		return;
	r->fetches_until = now + target->fetch.time;
	s->sends_until = now + target->fetch.time;
	inflight->source = s->tag;
	inflight->fetched = target->fetch.tokens;
	f->fetches.asked++;
	f->fetches.tokens += target->fetch.tokens;
}

void ap_fetch_done(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now)
{
	const ap_pool_state_t *p = ap_pool_state(f, inflight->pool);
	ap_replica_t *s = inflight->fetched ? ap_replica_by_tag(f, inflight->source) : NULL;
	double late = (double)(now - inflight->sent - inflight->expected);

	if (!p || !s || !inflight->alone ||
	    late < MISSED_SHARE * inflight->fetched / p->prefill_per_us)
		return;
	f->fetches.missed++;
	for (size_t i = 0; i < inflight->n_parts; i++)
		ap_prefix_cache_remove_part(f, &s->cache, inflight->parts[i]);
}
