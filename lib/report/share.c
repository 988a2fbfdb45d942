/*
 * How reports reach a region. In a small region each instance sends to all others directly. In a
 * larger one the n instances form about sqrt(n) groups of equal size; an instance sends to its own
 * group and to one member of every other group, which relays to its own group.
 */
#include "report/private.h"
#include "wire/frame.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define REFRESH_TIME (3 * AP_SEC) /* after that an unchanged load is announced again */
#define MISSED_TIME (4 * AP_SEC)  /* without a newer load for that long, a report was lost */
#define REQUESTED_MAX 64	  /* upstreams in one request for missed loads */
#define CHANGE_RATIO 0.1	  /* relative change of a count announced at once, if above 1 */
#define KV_CHANGE 0.05		  /* change of the share of cache memory announced at once */
#define CACHE_BYTES 512.0 /* bytes of cache events a second that each instance may receive */
#define BLOCK_BYTES 9.0	  /* bytes of one block hash in a message */
#define EVENT_BYTES 12.0  /* bytes of a cache event beside its blocks */
#define GOSSIP_FANOUT 3	  /* random peers, on average, that get what is passed on */

/* No receiver needs the incarnation of the sender, so reports carry zeros, which take no bytes. */
void report_send(ap_report_t *r, const char *to, const ap_report_message_t *msg)
{
	ap_wire_out_t out;

	ap_wire_out_begin(&out, AP_WIRE_REPORT, (ap_id_t){0}, ++r->seq);
	ap_wire_pack_report(&out.pk, msg);
	r->stats.sent++;
	r->stats.sent_bytes += out.buf.size;
	ap_wire_out_send(&out, &r->cfg.peer, to);
	ap_wire_out_end(&out);
}

static bool count_changed(uint32_t now, uint32_t announced)
{
	uint32_t gap = now > announced ? now - announced : announced - now;

	return gap > 1 && gap > announced * CHANGE_RATIO;
}

static bool should_announce(const ap_report_t *r, const ap_report_upstream_t *up)
{
	const ap_load_report_t *load = &up->load, *announced = &up->announced;

	if (!up->unannounced || !report_announces(r, up, r->now))
		return false;
	/* A load that would be older than REFRESH_TIME at the next flush is announced now. */
	if (announced->upstream[0] == '\0' ||
	    load->at - announced->at + report_flush_period(r) > REFRESH_TIME)
		return true;
	return count_changed(load->running, announced->running) ||
	       count_changed(load->waiting, announced->waiting) ||
	       fabs(load->kv_used - announced->kv_used) > KV_CHANGE;
}

static ap_load_item_t load_item(const ap_report_t *r, const ap_report_upstream_t *up)
{
	return (ap_load_item_t){
		.upstream = up->hash,
		.age = (uint64_t)((r->now - up->load.at) / LOAD_AGE_UNIT),
		.running = up->load.running,
		.waiting = up->load.waiting,
		.kv = (uint32_t)(up->load.kv_used * KV_UNIT + 0.5),
	};
}

static ap_offer_item_t offer_item(const ap_report_t *r, const ap_capacity_offer_t *offer)
{
	ap_offer_item_t item = {.rate_milli = (uint64_t)(offer->rate * 1000.0),
				.wait_ms = (uint64_t)(offer->wait / AP_MSEC),
				.age = (uint64_t)((r->now - offer->at) / AP_MSEC)};

	ap_copy_name(item.region, sizeof(item.region), offer->region);
	ap_copy_name(item.model, sizeof(item.model), offer->model);
	return item;
}

/*
 * What one flush sends. The lists hold the reports of this instance first, then those to relay:
 * @own is the front part for other groups, @all is for the own group.
 */
typedef struct updates {
	ap_load_item_t loads[LOADS_PER_MESSAGE];
	ap_offer_item_t offers[OFFERS_PER_MESSAGE];
	ap_cache_item_t cache[CACHE_PER_MESSAGE];
	ap_models_item_t models[MODELS_PER_MESSAGE];
	ap_report_message_t own;
	ap_report_message_t all;
} updates_t;

static void collect_loads(ap_report_t *r, updates_t *updates, bool own)
{
	ap_report_upstream_t *up;

	for (up = r->upstreams; up && updates->all.n_loads < LOADS_PER_MESSAGE; up = up->hh.next) {
		if (own ? !should_announce(r, up) : !up->relay)
			continue;
		updates->loads[updates->all.n_loads++] = load_item(r, up);
		up->relay = false;
		if (own) {
			up->unannounced = false;
			up->announced = up->load;
		}
	}
}

static void collect_offers(ap_report_t *r, updates_t *updates, bool own)
{
	ap_offer_known_t *known;

	LIST_FOREACH (known, &r->offers, link) {
		bool due = own ? known->announce : known->relay;

		if (!due || updates->all.n_offers == OFFERS_PER_MESSAGE)
			continue;
		updates->offers[updates->all.n_offers++] = offer_item(r, &known->offer);
		if (own)
			known->announce = false;
		else
			known->relay = false;
	}
}

static void collect_relayed_cache(ap_report_t *r, updates_t *updates)
{
	ap_cache_queued_t *entry;

	while ((entry = STAILQ_FIRST(&r->relay_cache)) != NULL &&
	       updates->all.n_cache < CACHE_PER_MESSAGE) {
		updates->cache[updates->all.n_cache++] = entry->item;
		STAILQ_REMOVE_HEAD(&r->relay_cache, link);
		r->relay_queued--;
		free(entry);
	}
}

/*
 * Collects cache events within the credit, in bytes. The region together may send CACHE_BYTES a
 * second to each instance, and each sender has an equal part of that as credit. Own events fill at
 * most half of a message; the rest is for relayed events. The first blocks of a prompt can be
 * reused most often, so an event that exceeds the credit loses its last blocks.
 */
static void collect_own_cache(ap_report_t *r, updates_t *updates)
{
	double share = CACHE_BYTES / (double)(r->n_peers + 1);
	double seconds = (double)(r->now - r->cache_credit_at) / AP_SEC;
	double most = EVENT_BYTES + CACHE_BLOCKS_MAX * BLOCK_BYTES;
	ap_cache_queued_t *entry;

	r->cache_credit_at = r->now;
	r->cache_credit = fmin(r->cache_credit + share * seconds, fmax(most, share));
	while ((entry = STAILQ_FIRST(&r->own_cache)) != NULL &&
	       r->cache_credit >= EVENT_BYTES + BLOCK_BYTES &&
	       updates->all.n_cache < CACHE_PER_MESSAGE / 2) {
		ap_cache_item_t *item = &updates->cache[updates->all.n_cache++];
		size_t fits = (size_t)((r->cache_credit - EVENT_BYTES) / BLOCK_BYTES);

		*item = entry->item;
		if (item->n > fits)
			item->n = fits;
		r->stats.cache_dropped += entry->item.n - item->n;
		r->cache_credit -= EVENT_BYTES + (double)item->n * BLOCK_BYTES;
		STAILQ_REMOVE_HEAD(&r->own_cache, link);
		r->own_queued--;
		free(entry);
	}
}

static bool is_empty(const ap_report_message_t *msg)
{
	return msg->n_loads + msg->n_offers + msg->n_cache + msg->n_models == 0;
}

static void send_group(ap_report_t *r, updates_t *updates)
{
	if (is_empty(&updates->all))
		return;
	updates->all.type = AP_REPORT_GROUP;
	for (size_t i = 0; i < r->n_peers; i++) {
		if (r->peers[i].group == r->own_group)
			report_send(r, r->peers[i].id, &updates->all);
	}
}

/*
 * Sends to a random member of each other group. The member is chosen anew with each flush, so
 * that a group misses only the flushes for which a dead member was chosen.
 */
static void send_relays(ap_report_t *r, const ap_report_message_t *msg)
{
	const char *pick[GROUPS_MAX] = {NULL};
	size_t seen[GROUPS_MAX] = {0};

	for (size_t i = 0; i < r->n_peers; i++) {
		size_t g = r->peers[i].group;

		if (g != r->own_group && ap_rng_below(&r->rng, ++seen[g]) == 0)
			pick[g] = r->peers[i].id;
	}
	for (size_t g = 0; g < r->groups; g++) {
		if (pick[g])
			report_send(r, pick[g], msg);
	}
}

/*
 * Sends the own reports to the other groups. Offers are few and valid for a short time, so they are
 * sent twice; a receiver ignores the copy, so it is not passed on.
 */
static void relay(ap_report_t *r, updates_t *updates)
{
	ap_report_message_t offers = {.type = AP_REPORT_RELAY,
				      .offers = updates->own.offers,
				      .n_offers = updates->own.n_offers};

	updates->own.type = AP_REPORT_RELAY;
	if (!is_empty(&updates->own))
		send_relays(r, &updates->own);
	if (offers.n_offers > 0)
		send_relays(r, &offers);
}

static bool is_recent(const ap_report_t *r, const ap_report_upstream_t *up)
{
	ap_usec_t missed = 3 * report_flush_period(r);

	if (missed < MISSED_TIME)
		missed = MISSED_TIME;
	return up->load.upstream[0] != '\0' && r->now - up->load.at < missed;
}

/* Requests missed reports from one random peer; sends nothing while none is missed. */
static void request_missed(ap_report_t *r, updates_t *updates)
{
	ap_report_message_t request = {.type = AP_REPORT_REQUEST, .loads = updates->loads};
	ap_report_upstream_t *up;

	for (up = r->upstreams; up && request.n_loads < REQUESTED_MAX; up = up->hh.next) {
		if (!up->polls && !is_recent(r, up))
			updates->loads[request.n_loads++] = (ap_load_item_t){.upstream = up->hash};
	}
	if (request.n_loads > 0 && r->n_peers > 0)
		report_send(r, r->peers[ap_rng_below(&r->rng, r->n_peers)].id, &request);
}

void report_respond(ap_report_t *r, const char *to, const ap_report_message_t *request)
{
	ap_load_item_t loads[REQUESTED_MAX];
	ap_report_message_t msg = {.type = AP_REPORT_GROUP, .loads = loads};

	for (size_t i = 0; i < request->n_loads && msg.n_loads < REQUESTED_MAX; i++) {
		const ap_report_upstream_t *up = report_by_hash(r, request->loads[i].upstream);

		if (up && is_recent(r, up))
			loads[msg.n_loads++] = load_item(r, up);
	}
	if (msg.n_loads > 0)
		report_send(r, to, &msg);
}

static void repeat_draining(ap_report_t *r)
{
	ap_report_upstream_t *up;

	for (up = r->upstreams; up; up = up->hh.next) {
		if (up->draining_sends_left == 0)
			continue;
		up->draining_sends_left--;
		report_announce_draining(r, up->id, true);
	}
}

void report_flush(ap_report_t *r)
{
	updates_t *updates = calloc(1, sizeof(*updates));

	if (!updates)
		abort();
	updates->all.loads = updates->loads;
	updates->all.offers = updates->offers;
	updates->all.cache = updates->cache;
	updates->all.models = updates->models;
	collect_loads(r, updates, true);
	collect_offers(r, updates, true);
	collect_own_cache(r, updates);
	report_collect_models(r, &updates->all, true);
	updates->own = updates->all;
	collect_loads(r, updates, false);
	collect_offers(r, updates, false);
	collect_relayed_cache(r, updates);
	report_collect_models(r, &updates->all, false);
	send_group(r, updates);
	relay(r, updates);
	repeat_draining(r);
	report_repeat_withdrawals(r);
	request_missed(r, updates);
	free(updates);
}

/* Sends to the whole region (@all), or to each peer with a chance of GOSSIP_FANOUT / n_peers. */
static void send_to_peers(ap_report_t *r, const ap_report_message_t *msg, bool all)
{
	for (size_t i = 0; i < r->n_peers; i++) {
		if (all || ap_rng_below(&r->rng, r->n_peers) < GOSSIP_FANOUT)
			report_send(r, r->peers[i].id, msg);
	}
}

void report_announce_draining(ap_report_t *r, const char *upstream, bool all)
{
	char id[1][AP_NAME_MAX];
	ap_report_message_t msg = {.type = AP_REPORT_GROUP, .draining = id, .n_draining = 1};

	ap_copy_name(id[0], AP_NAME_MAX, upstream);
	send_to_peers(r, &msg, all);
}

void report_announce_withdrawals(ap_report_t *r, ap_withdrawal_item_t *items, size_t n, bool all)
{
	ap_report_message_t msg = {
		.type = AP_REPORT_GROUP, .withdrawals = items, .n_withdrawals = n};

	send_to_peers(r, &msg, all);
}

static bool region_seen_before(const ap_entry_t *entries, size_t at)
{
	for (size_t i = 0; i < at; i++) {
		if (strcmp(entries[i].region, entries[at].region) == 0)
			return true;
	}
	return false;
}

static const ap_entry_t *random_entry_of(ap_report_t *r, const char *region)
{
	const ap_entry_t *entries = r->entries;
	size_t n = r->n_entries;
	const ap_entry_t *pick = NULL;
	size_t seen = 0;

	for (size_t i = 0; i < n; i++) {
		if (entries[i].draining || strcmp(entries[i].region, region) != 0)
			continue;
		if (ap_rng_below(&r->rng, ++seen) == 0)
			pick = &entries[i];
	}
	return pick;
}

/*
 * Sends the offers of the own region to one instance of each remote region. The instance is chosen
 * at random each time, since it announces the offers to its whole region, which costs it more than
 * anything else that its control task sends.
 */
void report_send_offers(ap_report_t *r)
{
	ap_offer_item_t offers[OFFERS_PER_MESSAGE];
	ap_report_message_t msg = {.type = AP_REPORT_REGION, .offers = offers};
	const ap_entry_t *entries = r->entries;
	size_t n = r->n_entries;
	ap_offer_known_t *known;

	LIST_FOREACH (known, &r->offers, link) {
		if (known->own && msg.n_offers < OFFERS_PER_MESSAGE)
			offers[msg.n_offers++] = offer_item(r, &known->offer);
	}
	if (msg.n_offers == 0 || !entries)
		return;
	for (size_t i = 0; i < n; i++) {
		const ap_entry_t *pick;

		if (strcmp(entries[i].region, r->cfg.self.region) == 0 ||
		    region_seen_before(entries, i))
			continue;
		pick = random_entry_of(r, entries[i].region);
		if (pick)
			report_send(r, pick->id, &msg);
	}
}
