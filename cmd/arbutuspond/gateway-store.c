/* The platform's store: applies the items that are read, and registers the instance there. */
#include "gateway.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Several round trips between regions, and the store's own time. */
#define STORE_CALL_TIMEOUT (700 * AP_MSEC)
/*
 * A watch waits for shortest_bound() divided by this, so that a change takes effect in time even if
 * one response is lost.
 */
#define WATCH_WAIT_DIVISOR 2
/* Reads are shortest_bound() divided by this apart; changes in between are read together. */
#define INTERVAL_DIVISOR 8
#define UNAVAILABLE_AFTER (2500 * AP_MSEC) /* several failed reads */
/*
 * For this long after the store has returned, a removed upstream may only have expired during the
 * outage. Expired records are written again within two seconds (ENTRY_GRACE in gateway.c).
 */
#define RECOVERY_TIME (2500 * AP_MSEC)
#define LEASE_TTL (3 * AP_SEC)

/* Records that the store returned to an older copy of itself. */
static void record_era(gateway_t *gate, const ap_store_read_t *read)
{
	/* A response of an earlier era came late. */
	if (read->era <= gate->store_era)
		return;
	if (gate->store_era != 0)
		ap_journal_write(gate->journal, AP_RECORD_RARE, "store.era", NULL, "s:I,s:I,s:I",
				 "era", (json_int_t)read->era, "before",
				 (json_int_t)gate->store_era, "revision",
				 (json_int_t)ap_follow_revision(gate->follow));
	gate->store_era = read->era;
}

static void on_read(void *ctx, const ap_store_read_t *read)
{
	gateway_t *gate = ctx;
	ap_usec_t now = ap_now();

	record_era(gate, read);
	ap_follow_response(gate->follow, read, now);
	gate_store_tick(gate, now);
	gate_peer_tick(gate, now);
	gate_seed_tick(gate, now);
	gate_lookup_tick(gate, now);
}

static void on_written(void *ctx, ap_store_end_t end, uint64_t number)
{
	gateway_t *gate = ctx;
	ap_usec_t now = ap_now();

	ap_registration_response(gate->registration, end, number, now);
	gate_store_tick(gate, now);
}

static void op_list(void *ctx, const char *after)
{
	gateway_t *gate = ctx;

	ap_host_store_list(gate->store, after, on_read, gate);
}

static void op_watch(void *ctx, uint64_t revision, ap_usec_t wait)
{
	gateway_t *gate = ctx;

	ap_host_store_watch(gate->store, revision, wait, on_read, gate);
}

static void op_cancel(void *ctx)
{
	gateway_t *gate = ctx;

	ap_host_store_drop_reads(gate->store);
}

/* Records a complete list in one line. */
static void record_listed(gateway_t *gate, ap_usec_t now)
{
	ap_fleet_stats_t stats = ap_fleet_stats(gate->fleet, now);

	ap_journal_write(gate->journal, AP_RECORD_RARE, "store.listed", NULL, "s:i,s:i,s:i,s:I",
			 "upstreams", (int)stats.replicas, "draining", (int)stats.draining,
			 "instances", (int)stats.members, "version",
			 gate->plan ? (json_int_t)gate->plan->version : 0);
}

void gate_store_listing(gateway_t *gate, bool begin)
{
	ap_usec_t now = ap_now();

	gate->listing = begin;
	ap_snapshot_listing(gate->snapshot, begin);
	if (begin) {
		ap_fleet_list_begin(gate->fleet);
		return;
	}
	ap_fleet_list_end(gate->fleet, ap_follow_recovering(gate->follow, now), now);
}

static void op_listing(void *ctx, bool begin)
{
	gate_store_listing(ctx, begin);
	if (begin)
		return;
	record_listed(ctx, ap_now());
	gate_peer_create_secret(ctx);
}

static void record_unreadable(gateway_t *gate, const char *key, const ap_err_t *err)
{
	gate->counters.unreadable++;
	ap_journal_write(gate->journal, AP_RECORD_RARE, "store.unreadable", NULL, "s:s,s:s", "key",
			 key, "why", err->text);
}

static void update_plan(gateway_t *gate, const ap_store_item_t *item)
{
	ap_plan_t *plan;
	ap_err_t err;

	if (item->removed)
		return;
	if (ap_host_parse_plan(item->value, item->len, &plan, &err) != AP_HOST_OK) {
		record_unreadable(gate, item->key, &err);
		return;
	}
	if (!ap_plan_supersedes(plan, gate->plan)) {
		if (plan->version != gate->plan->version)
			ap_journal_write(gate->journal, AP_RECORD_RARE, "configuration.refused",
					 NULL, "s:I,s:I", "version", (json_int_t)plan->version,
					 "in_force", (json_int_t)gate->plan->version);
		ap_plan_unref(plan);
		return;
	}
	if (gate->plan && ap_plan_moves_streams(gate->plan, plan))
		ap_fleet_routes_moved(gate->fleet, ap_now());
	ap_plan_unref(gate->plan);
	gate->plan = plan;
	gate_apply_limits(gate);
	ap_fleet_set_customers(gate->fleet, plan->customers, plan->n_customers, ap_now());
	ap_journal_write(gate->journal, AP_RECORD_RARE, "configuration.taken", NULL, "s:I,s:i,s:i",
			 "version", (json_int_t)plan->version, "routes", (int)plan->n_routes,
			 "pools", (int)plan->n_pools);
}

static void update_replica(gateway_t *gate, const char *id, const ap_store_item_t *item)
{
	ap_usec_t now = ap_now();
	ap_replica_entry_t entry;
	ap_err_t err;

	if (item->removed) {
		bool unsure = ap_follow_recovering(gate->follow, now);

		ap_journal_write(gate->journal, AP_RECORD_RARE, "upstream.removed", NULL, "s:s,s:b",
				 "upstream", id, "unsure", (int)unsure);
		ap_fleet_remove_replica(gate->fleet, id, unsure, now);
		return;
	}
	if (ap_host_parse_replica(id, item->value, item->len, &entry, &err) != AP_HOST_OK) {
		record_unreadable(gate, item->key, &err);
		return;
	}
	if (entry.draining && !gate->listing)
		ap_journal_write(gate->journal, AP_RECORD_RARE, "upstream.draining", NULL,
				 "s:s,s:s", "upstream", id, "pool", entry.pool);
	ap_fleet_set_known_at(gate->fleet, ap_follow_known_at(gate->follow));
	ap_fleet_update_replica(gate->fleet, &entry, now);
}

static void update_instance(gateway_t *gate, const char *id, const ap_store_item_t *item)
{
	ap_usec_t now = ap_now();
	ap_member_t member;
	ap_err_t err;

	if (strcmp(id, gate->self.id) == 0) {
		ap_registration_seen(gate->registration, item->removed ? 0 : item->revision, now);
		return;
	}
	if (item->removed) {
		ap_journal_write(gate->journal, AP_RECORD_RARE, "instance.lost", NULL, "s:s",
				 "other", id);
		ap_fleet_remove_member(gate->fleet, id, now);
		return;
	}
	if (ap_host_parse_member(id, item->value, item->len, &member, &err) != AP_HOST_OK) {
		record_unreadable(gate, item->key, &err);
		return;
	}
	if (!gate->listing)
		ap_journal_write(gate->journal, AP_RECORD_RARE, "instance.seen", NULL,
				 "s:s,s:s,s:b", "other", id, "region", member.region, "leaving",
				 (int)member.draining);
	ap_fleet_update_member(gate->fleet, &member, now);
	gate_peer_add(gate, &member);
}

void gate_store_item(void *ctx, const ap_store_item_t *item)
{
	gateway_t *gate = ctx;
	const char *name;
	ap_host_key_t key = ap_host_parse_key(item->key, &name);

	if (key != AP_HOST_KEY_OTHER)
		ap_snapshot_put(gate->snapshot, item);
	switch (key) {
	case AP_HOST_KEY_PLAN:
		update_plan(gate, item);
		break;
	case AP_HOST_KEY_EVACUATION:
		ap_journal_write(gate->journal, AP_RECORD_RARE, "evacuation", NULL, "s:s,s:b",
				 "data_centre", name, "off", (int)item->removed);
		ap_fleet_evacuate(gate->fleet, name, item->removed, ap_now());
		break;
	case AP_HOST_KEY_REPLICA:
		update_replica(gate, name, item);
		break;
	case AP_HOST_KEY_INSTANCE:
		update_instance(gate, name, item);
		break;
	case AP_HOST_KEY_SECRET:
		if (!item->removed)
			gate_peer_set_secret(gate, item->value, item->len);
		break;
	case AP_HOST_KEY_OTHER:
		break;
	}
}

/* Relays changes to the instances that do not watch the store. */
static void op_relay(void *ctx, uint64_t after, const ap_store_read_t *read)
{
	gateway_t *gate = ctx;
	ap_peer_port_t port;
	size_t len;
	void *bytes;

	if (!gate->peer)
		return;
	port = ap_peer_as_port(gate->peer);
	bytes = ap_changes_pack(after, read, &len);
	if (bytes)
		ap_fleet_relay(gate->fleet, &port, bytes, len, ap_now());
	free(bytes);
}

static void op_create_lease(void *ctx, ap_usec_t ttl)
{
	gateway_t *gate = ctx;

	ap_host_store_create_lease(gate->store, ttl, on_written, gate);
}

static void op_renew_lease(void *ctx, uint64_t lease)
{
	gateway_t *gate = ctx;

	ap_host_store_renew_lease(gate->store, lease, on_written, gate);
}

static void op_put(void *ctx, uint64_t lease, uint64_t revision)
{
	gateway_t *gate = ctx;
	char *value = ap_host_format_member(&gate->self);

	if (!value)
		abort();
	ap_host_store_put_member(gate->store, gate->self.id, value, lease, revision, on_written,
				 gate);
	free(value);
}

/* Returns the shorter of the times in which a change in the store must take effect. */
static ap_usec_t shortest_bound(const ap_gateway_settings_t *g)
{
	return g->drain_time < g->apply_time ? g->drain_time : g->apply_time;
}

bool gate_store_start(gateway_t *gate)
{
	ap_usec_t now = ap_now();
	ap_follow_config_t follow = {
		.interval = shortest_bound(gate->conf) / INTERVAL_DIVISOR,
		.wait = shortest_bound(gate->conf) / WATCH_WAIT_DIVISOR,
		.unavailable_after = UNAVAILABLE_AFTER,
		.recovery_time = RECOVERY_TIME,
		.seed = gate->inc.lo,
		.ctx = gate,
		.list = op_list,
		.watch = op_watch,
		.cancel = op_cancel,
		.listing = op_listing,
		.item = gate_store_item,
		.relay = op_relay,
	};
	ap_registration_config_t registration = {
		.ttl = LEASE_TTL,
		.ctx = gate,
		.create_lease = op_create_lease,
		.renew_lease = op_renew_lease,
		.put = op_put,
	};

	gate->store = ap_host_store_new(gate->base, &gate->conf->store, STORE_CALL_TIMEOUT);
	gate->follow = ap_follow_new(&follow, now);
	gate->snapshot = ap_snapshot_new();
	gate->registration = ap_registration_new(&registration, now);
	return gate->store && gate->follow && gate->snapshot && gate->registration;
}

/* Records when the store becomes unavailable and when it returns. */
static void record_store_state(gateway_t *gate, ap_usec_t now)
{
	ap_usec_t age = ap_follow_age(gate->follow, now);
	bool unavailable = (age == AP_NEVER ? now - gate->started : age) > UNAVAILABLE_AFTER;

	if (unavailable == gate->store_unavailable)
		return;
	gate->store_unavailable = unavailable;
	ap_journal_write(gate->journal, AP_RECORD_RARE, unavailable ? "store.away" : "store.back",
			 NULL, NULL);
}

/* In a large region some instances watch the store for all and announce its changes. */
static void share_store_watch(gateway_t *gate, ap_usec_t now)
{
	uint64_t changed;
	uint64_t era;

	bool watched = ap_fleet_store_watched(gate->fleet, now, &era, &changed);

	ap_follow_announced(gate->follow, era, changed, now);
	if (gate->peer && watched)
		ap_follow_stand_by(gate->follow, era, changed, now);
	ap_fleet_set_store_state(gate->fleet, ap_follow_watching(gate->follow, now),
				 ap_follow_era(gate->follow), ap_follow_last_change(gate->follow));
	ap_fleet_set_store_silent(gate->fleet, ap_follow_silent(gate->follow, now));
	ap_fleet_set_store_known(gate->fleet, ap_follow_read_at(gate->follow),
				 ap_follow_unbroken_since(gate->follow));
}

void gate_store_tick(gateway_t *gate, ap_usec_t now)
{
	share_store_watch(gate, now);
	ap_follow_tick(gate->follow, now);
	ap_registration_set_era(gate->registration, ap_follow_era(gate->follow), now);
	ap_registration_tick(gate->registration, now);
	record_store_state(gate, now);
}

void gate_store_stop(gateway_t *gate)
{
	ap_host_store_free(gate->store);
	ap_follow_free(gate->follow);
	ap_snapshot_free(gate->snapshot);
	ap_registration_free(gate->registration);
}
