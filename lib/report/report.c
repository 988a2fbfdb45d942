/* Public functions of reports: which instance polls which upstream, and what is known of each. */
#include "report/report.h"
#include "member/member.h"
#include "report/private.h"
#include "wire/frame.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define POLLERS 2   /* instances that poll one upstream */
#define DELEGATES 2 /* instances of a region that send its offers to remote regions */
/* After at least that long without a report of the first poller, the second one takes over. */
#define OTHER_POLLER_TIMEOUT_MIN (2500 * AP_MSEC)
#define READ_AHEAD (300 * AP_MSEC) /* loads are read that long before a flush */
#define DIRECT_MAX 16		   /* instances of a region that send to each other directly */
#define FLUSH_PERIOD (500 * AP_MSEC)
#define LOAD_BYTES 1200.0	       /* bytes of loads a second that each instance may receive */
#define LOAD_ITEM_BYTES 10.0	       /* bytes of one load in a message */
#define GROUPED_FLUSH_PERIOD AP_SEC    /* in a region that has groups */
#define OFFER_REFRESH (2 * AP_SEC)     /* after that an unchanged offer is announced again */
#define OFFER_CHANGE_RATIO 0.1	       /* relative change of an offer that is announced at once */
#define OFFER_PERIOD (2 * AP_SEC)      /* between two messages of a delegate */
#define DRAINING_EXPIRY (300 * AP_SEC) /* unless the mark is renewed */
#define DRAINING_REFRESH (60 * AP_SEC) /* time between announcements of a renewed mark */
#define DRAINING_REPEATS 2	       /* announcements after the first one */
#define COMPARE_PERIOD (5 * AP_SEC)    /* between two comparisons of the known models */
#define OFFERS_MAX 512
#define CACHE_QUEUE_MAX 256 /* events */

ap_report_t *ap_report_new(const ap_report_config_t *config, ap_usec_t now)
{
	ap_report_t *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->cfg = *config;
	r->now = now;
	ap_rng_seed(&r->rng, config->seed);
	LIST_INIT(&r->offers);
	LIST_INIT(&r->withdrawals);
	STAILQ_INIT(&r->own_cache);
	STAILQ_INIT(&r->relay_cache);
	r->next_flush = now + (ap_usec_t)ap_rng_below(&r->rng, FLUSH_PERIOD);
	r->next_compare = now + (ap_usec_t)ap_rng_below(&r->rng, COMPARE_PERIOD);
	r->next_offers = now + (ap_usec_t)ap_rng_below(&r->rng, OFFER_PERIOD);
	return r;
}

static void drop_queue(struct ap_cache_queue *queue)
{
	ap_cache_queued_t *entry;

	while ((entry = STAILQ_FIRST(queue)) != NULL) {
		STAILQ_REMOVE_HEAD(queue, link);
		free(entry);
	}
}

void ap_report_free(ap_report_t *r)
{
	ap_report_upstream_t *up, *next;
	ap_offer_known_t *offer;

	if (!r)
		return;
	up = r->upstreams;
	HASH_CLEAR(hh, r->upstreams);
	for (; up; up = next) {
		next = up->hh.next;
		free(up);
	}
	while ((offer = LIST_FIRST(&r->offers)) != NULL) {
		LIST_REMOVE(offer, link);
		free(offer);
	}
	report_clear_withdrawals(r);
	drop_queue(&r->own_cache);
	drop_queue(&r->relay_cache);
	free(r->entries);
	free(r->region);
	free(r->peers);
	free(r);
}

ap_report_upstream_t *report_by_hash(const ap_report_t *r, uint32_t hash)
{
	ap_report_upstream_t *up;

	HASH_FIND(hh, r->upstreams, &hash, sizeof(hash), up);
	return up;
}

/*
 * Messages name an upstream by 32 bits of the hash of its id; a region has a few hundred upstreams,
 * so collisions are rare. Of two upstreams that collide, the one added second is logged and left
 * out of all reports.
 */
uint32_t report_id_hash(const char *id)
{
	return (uint32_t)ap_hash_str(id, 0);
}

ap_report_upstream_t *report_find(const ap_report_t *r, const char *id)
{
	ap_report_upstream_t *up = report_by_hash(r, report_id_hash(id));

	return up && strcmp(up->id, id) == 0 ? up : NULL;
}

ap_usec_t report_flush_period(const ap_report_t *r)
{
	ap_usec_t shortest = r->groups > 0 ? GROUPED_FLUSH_PERIOD : FLUSH_PERIOD;
	double bytes = (double)HASH_COUNT(r->upstreams) * LOAD_ITEM_BYTES;
	ap_usec_t period = (ap_usec_t)(bytes / LOAD_BYTES * AP_SEC);

	return period > shortest ? period : shortest;
}

/*
 * Two flush periods and a margin. The first poller announces a load that changed enough with the
 * next flush, but another one only about every REFRESH_TIME (share.c), which may be longer than
 * this timeout; then the second poller reads and announces the load as well.
 */
static ap_usec_t other_poller_timeout(const ap_report_t *r)
{
	ap_usec_t time = 2 * report_flush_period(r) + FLUSH_PERIOD;

	return time > OTHER_POLLER_TIMEOUT_MIN ? time : OTHER_POLLER_TIMEOUT_MIN;
}

bool report_announces(const ap_report_t *r, const ap_report_upstream_t *up, ap_usec_t now)
{
	return up->first_poller || (up->polls && now - up->heard_at >= other_poller_timeout(r));
}

static void assign_pollers(ap_report_t *r, ap_report_upstream_t *up)
{
	const ap_entry_t *first[POLLERS];
	size_t n = ap_member_rank(r->region, r->n_region, up->id, NULL, NULL, first, POLLERS);

	up->polls = false;
	up->first_poller = n > 0 && strcmp(first[0]->id, r->cfg.self.id) == 0;
	for (size_t i = 0; i < n; i++)
		up->polls = up->polls || strcmp(first[i]->id, r->cfg.self.id) == 0;
}

static ap_entry_t *copy_entries(const ap_entry_t *entries, size_t n, const char *region,
				size_t *kept)
{
	ap_entry_t *copy = calloc(n + 1, sizeof(*copy));

	if (!copy)
		abort();
	*kept = 0;
	for (size_t i = 0; i < n; i++) {
		if (!region || strcmp(entries[i].region, region) == 0)
			copy[(*kept)++] = entries[i];
	}
	return copy;
}

/* Has anything changed in the own region that the assignment of duties depends on? */
static bool region_changed(const ap_report_t *r, const ap_entry_t *region, size_t n)
{
	if (n != r->n_region)
		return true;
	for (size_t i = 0; i < n; i++) {
		if (region[i].draining != r->region[i].draining ||
		    strcmp(region[i].id, r->region[i].id) != 0)
			return true;
	}
	return false;
}

static int by_id_hash(const void *a, const void *b)
{
	const ap_report_peer_t *x = a, *y = b;

	if (x->id_hash == y->id_hash)
		return strcmp(x->id, y->id);
	return x->id_hash < y->id_hash ? -1 : 1;
}

/*
 * Divides the region into groups of equal size, since the members of the largest group send most.
 * Groups are ranges in the order of the hashes of the ids, so that a new instance moves few others
 * to another group.
 */
static void set_groups(ap_report_t *r)
{
	size_t kept = 0;

	r->groups = r->n_region <= DIRECT_MAX ? 0 : (size_t)lround(sqrt((double)r->n_region));
	if (r->groups > GROUPS_MAX)
		r->groups = GROUPS_MAX;
	qsort(r->peers, r->n_region, sizeof(*r->peers), by_id_hash);
	for (size_t i = 0; i < r->n_region; i++) {
		ap_report_peer_t peer = r->peers[i];

		peer.group = i * r->groups / r->n_region;
		if (strcmp(peer.id, r->cfg.self.id) == 0)
			r->own_group = peer.group;
		else
			r->peers[kept++] = peer;
	}
	r->n_peers = kept;
}

static void set_peers(ap_report_t *r)
{
	free(r->peers);
	r->peers = calloc(r->n_region + 1, sizeof(*r->peers));
	if (!r->peers)
		abort();
	for (size_t i = 0; i < r->n_region; i++) {
		r->peers[i].id = r->region[i].id;
		r->peers[i].id_hash = ap_hash_str(r->region[i].id, 0);
	}
	set_groups(r);
}

void ap_report_set_entries(ap_report_t *r, const ap_entry_t *entries, size_t n, ap_usec_t now)
{
	const ap_entry_t *self = &r->cfg.self;
	ap_report_upstream_t *up;
	ap_entry_t *region;
	size_t n_region;

	r->now = now;
	free(r->entries);
	r->entries = copy_entries(entries, n, NULL, &r->n_entries);
	region = copy_entries(entries, n, self->region, &n_region);
	if (!region_changed(r, region, n_region)) {
		free(region);
		return;
	}
	free(r->region);
	r->region = region;
	r->n_region = n_region;
	set_peers(r);
	r->delegate =
		ap_member_has_duty(entries, n, "room", self->region, NULL, self->id, DELEGATES);
	for (up = r->upstreams; up; up = up->hh.next)
		assign_pollers(r, up);
}

static void add_upstream(ap_report_t *r, const ap_upstream_t *upstream)
{
	ap_report_upstream_t *up = report_find(r, upstream->id);

	if (!up && report_by_hash(r, report_id_hash(upstream->id))) {
		ap_emit(&r->cfg.env, r->now, "report.collision", (ap_xid_t){.seq = 0}, "id=%s",
			upstream->id);
		return;
	}
	if (!up) {
		up = calloc(1, sizeof(*up));
		if (!up)
			abort();
		ap_copy_name(up->id, sizeof(up->id), upstream->id);
		up->hash = report_id_hash(up->id);
		up->draining_until = -1;
		HASH_ADD(hh, r->upstreams, hash, sizeof(up->hash), up);
		assign_pollers(r, up);
	}
	up->listed = true;
}

void ap_report_set_upstreams(ap_report_t *r, const ap_upstream_t *upstreams, size_t n,
			     ap_usec_t now)
{
	ap_report_upstream_t *up, *next, *removed = NULL;

	r->now = now;
	for (up = r->upstreams; up; up = up->hh.next)
		up->listed = false;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(upstreams[i].region, r->cfg.self.region) == 0)
			add_upstream(r, &upstreams[i]);
	}
	HASH_ITER (hh, r->upstreams, up, next) {
		if (up->listed)
			continue;
		HASH_DEL(r->upstreams, up);
		up->next_free = removed;
		removed = up;
	}
	for (up = removed; up; up = next) {
		next = up->next_free;
		free(up);
	}
}

bool ap_report_is_poller(const ap_report_t *r, const char *upstream)
{
	const ap_report_upstream_t *up = report_find(r, upstream);

	return up && up->polls;
}

bool ap_report_should_read(const ap_report_t *r, const char *upstream, ap_usec_t now)
{
	const ap_report_upstream_t *up = report_find(r, upstream);

	return up && report_announces(r, up, now) && now >= r->next_flush - READ_AHEAD;
}

void ap_report_load_read(ap_report_t *r, const ap_load_report_t *report, ap_usec_t now)
{
	ap_report_upstream_t *up = report_find(r, report->upstream);

	r->now = now;
	if (!up || report->at < up->load.at)
		return;
	up->load = *report;
	up->unannounced = true;
}

void report_queue_cache(ap_report_t *r, struct ap_cache_queue *queue, size_t *queued,
			const ap_cache_item_t *item)
{
	ap_cache_queued_t *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	entry->item = *item;
	STAILQ_INSERT_TAIL(queue, entry, link);
	if (++*queued <= CACHE_QUEUE_MAX)
		return;
	entry = STAILQ_FIRST(queue);
	r->stats.cache_dropped += entry->item.n;
	STAILQ_REMOVE_HEAD(queue, link);
	free(entry);
	--*queued;
}

void ap_report_cache_event(ap_report_t *r, const ap_cache_event_t *event, ap_usec_t now)
{
	const ap_report_upstream_t *up = report_find(r, event->upstream);
	ap_cache_item_t item = {.seq = event->seq, .stored = event->stored};

	r->now = now;
	if (!up || !up->first_poller)
		return;
	item.upstream = up->hash;
	item.n = event->n_blocks < CACHE_BLOCKS_MAX ? event->n_blocks : CACHE_BLOCKS_MAX;
	r->stats.cache_dropped += event->n_blocks - item.n;
	if (item.n > 0)
		memcpy(item.blocks, event->blocks, item.n * sizeof(item.blocks[0]));
	report_queue_cache(r, &r->own_cache, &r->own_queued, &item);
}

ap_offer_known_t *report_find_or_add_offer(ap_report_t *r, const ap_capacity_offer_t *offer)
{
	ap_offer_known_t *known;

	LIST_FOREACH (known, &r->offers, link) {
		if (strcmp(known->offer.region, offer->region) == 0 &&
		    strcmp(known->offer.model, offer->model) == 0)
			return known;
	}
	if (r->n_offers == OFFERS_MAX)
		return NULL;
	known = calloc(1, sizeof(*known));
	if (!known)
		abort();
	known->offer.at = -1;
	r->n_offers++;
	LIST_INSERT_HEAD(&r->offers, known, link);
	ap_copy_name(known->offer.region, AP_NAME_MAX, offer->region);
	ap_copy_name(known->offer.model, AP_NAME_MAX, offer->model);
	return known;
}

void ap_report_set_own_offer(ap_report_t *r, const ap_capacity_offer_t *offer, ap_usec_t now)
{
	ap_capacity_offer_t own = *offer;
	ap_offer_known_t *known;

	r->now = now;
	ap_copy_name(own.region, sizeof(own.region), r->cfg.self.region);
	own.at = now;
	known = report_find_or_add_offer(r, &own);
	if (!known)
		return;
	known->own = true;
	known->offer = own;
}

void report_mark_draining(ap_report_t *r, const char *upstream, bool heard)
{
	ap_report_upstream_t *up = report_find(r, upstream);
	bool fresh;

	if (!up)
		return;
	fresh = r->now >= up->draining_until;
	up->draining_until = r->now + DRAINING_EXPIRY;
	if (fresh)
		ap_emit(&r->cfg.env, r->now, "upstream.leaving", (ap_xid_t){.seq = 0},
			"id=%s heard=%d", up->id, heard);
	if (fresh)
		r->cfg.draining(r->cfg.ctx, up->id);
	/* What was received is passed on, so that a lost message does no harm. */
	if (heard && fresh)
		report_announce_draining(r, up->id, false);
	if (!heard && (fresh || r->now - up->draining_announced_at >= DRAINING_REFRESH)) {
		up->draining_announced_at = r->now;
		up->draining_sends_left = DRAINING_REPEATS;
		report_announce_draining(r, up->id, true);
	}
}

void ap_report_saw_draining(ap_report_t *r, const char *upstream, ap_usec_t now)
{
	r->now = now;
	report_mark_draining(r, upstream, false);
}

bool ap_report_is_draining(const ap_report_t *r, const char *upstream)
{
	const ap_report_upstream_t *up = report_find(r, upstream);

	return up && r->now < up->draining_until;
}

static void receive_load(ap_report_t *r, const ap_load_item_t *item, bool relay)
{
	ap_report_upstream_t *up = report_by_hash(r, item->upstream);
	ap_usec_t at = r->now - (ap_usec_t)item->age * LOAD_AGE_UNIT;

	if (!up || item->age > UINT32_MAX)
		return;
	up->heard_at = r->now;
	if (at <= up->load.at && up->load.upstream[0] != '\0')
		return;
	ap_copy_name(up->load.upstream, AP_NAME_MAX, up->id);
	up->load.at = at;
	up->load.running = item->running;
	up->load.waiting = item->waiting;
	up->load.kv_used = item->kv / KV_UNIT;
	up->unannounced = false;
	up->relay = relay;
	r->stats.loads_received++;
	r->cfg.load(r->cfg.ctx, &up->load);
}

static bool offer_differs(const ap_offer_known_t *known, const ap_capacity_offer_t *offer)
{
	double gap = fabs(offer->rate - known->offer.rate);
	ap_usec_t wait_gap = llabs(offer->wait - known->offer.wait);

	return known->offer.at < 0 || offer->at - known->offer.at >= OFFER_REFRESH ||
	       gap > known->offer.rate * OFFER_CHANGE_RATIO ||
	       (double)wait_gap > (double)known->offer.wait * OFFER_CHANGE_RATIO;
}

static void receive_offer(ap_report_t *r, const ap_offer_item_t *item, ap_report_type_t type)
{
	ap_capacity_offer_t offer = {.rate = (double)item->rate_milli / 1000.0};
	ap_offer_known_t *known;

	if (item->age > UINT32_MAX || item->wait_ms > UINT32_MAX)
		return;
	offer.wait = (ap_usec_t)item->wait_ms * AP_MSEC;
	offer.at = r->now - (ap_usec_t)item->age * AP_MSEC;
	ap_copy_name(offer.region, sizeof(offer.region), item->region);
	ap_copy_name(offer.model, sizeof(offer.model), item->model);
	if (strcmp(offer.region, r->cfg.self.region) == 0)
		return;
	known = report_find_or_add_offer(r, &offer);
	if (!known || offer.at <= known->offer.at || !offer_differs(known, &offer))
		return;
	known->offer = offer;
	known->announce = type == AP_REPORT_REGION;
	known->relay = type == AP_REPORT_RELAY;
	r->cfg.offer(r->cfg.ctx, &known->offer);
}

static void receive_cache(ap_report_t *r, const ap_cache_item_t *item, bool relay)
{
	const ap_report_upstream_t *up = report_by_hash(r, item->upstream);
	ap_cache_event_t event = {.seq = item->seq,
				  .stored = item->stored,
				  .blocks = item->blocks,
				  .n_blocks = item->n};

	if (!up)
		return;
	ap_copy_name(event.upstream, sizeof(event.upstream), up->id);
	if (r->cfg.cache)
		r->cfg.cache(r->cfg.ctx, &event);
	if (relay)
		report_queue_cache(r, &r->relay_cache, &r->relay_queued, item);
}

ap_report_status_t ap_report_receive(ap_report_t *r, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err)
{
	ap_wire_in_t in;
	ap_report_message_t msg;
	bool relay;

	r->now = now;
	if (!ap_wire_in_open(&in, AP_WIRE_REPORT, data, len, err))
		return AP_REPORT_MALFORMED;
	if (!ap_wire_read_report(&in.body, &msg)) {
		ap_err_set(err,
			   "report from %s has a missing or wrong field, expected type, loads, "
			   "offers, cache events, draining upstreams, models, digest and "
			   "(optional) withdrawals, versions and their digest",
			   from);
		ap_wire_in_close(&in);
		return AP_REPORT_MALFORMED;
	}
	relay = msg.type == AP_REPORT_RELAY;
	if (msg.type == AP_REPORT_REQUEST)
		report_respond(r, from, &msg);
	if (msg.type == AP_REPORT_DIGEST)
		report_respond_to_digest(r, from, &msg);
	for (size_t i = 0; i < msg.n_loads && msg.type != AP_REPORT_REQUEST; i++)
		receive_load(r, &msg.loads[i], relay);
	for (size_t i = 0; i < msg.n_offers; i++)
		receive_offer(r, &msg.offers[i], msg.type);
	for (size_t i = 0; i < msg.n_cache; i++)
		receive_cache(r, &msg.cache[i], relay);
	for (size_t i = 0; i < msg.n_models; i++)
		report_receive_models(r, &msg.models[i], relay);
	for (size_t i = 0; i < msg.n_draining; i++)
		report_mark_draining(r, msg.draining[i], true);
	for (size_t i = 0; i < msg.n_withdrawals; i++)
		report_receive_withdrawal(r, &msg.withdrawals[i]);
	ap_wire_report_clear(&msg);
	ap_wire_in_close(&in);
	return AP_REPORT_OK;
}

void ap_report_tick(ap_report_t *r, ap_usec_t now)
{
	r->now = now;
	report_expire_withdrawals(r);
	if (now >= r->next_flush) {
		r->next_flush = now + report_flush_period(r);
		report_flush(r);
	}
	if (now >= r->next_compare) {
		r->next_compare = now + COMPARE_PERIOD;
		report_send_models_digest(r);
	}
	if (r->delegate && now >= r->next_offers) {
		r->next_offers = now + OFFER_PERIOD;
		report_send_offers(r);
	}
}

ap_report_stats_t ap_report_stats(const ap_report_t *r)
{
	return r->stats;
}
