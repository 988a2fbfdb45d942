/*
 * Instances of one region and their upstreams in virtual time. Each instance consists of lib/follow
 * and lib/fleet, wired as the gateway does it, and sends requests at a constant rate.
 */
#ifndef AP_TEST_REGION_WORLD_H
#define AP_TEST_REGION_WORLD_H

#include "items_world.h"
#include "wire/frame.h"

#include <math.h>

typedef struct sw_message {
	sw_instance_t *to;
	char from[AP_NAME_MAX];
	size_t len;
	unsigned char data[];
} sw_message_t;

static inline void sw_on_message(void *arg, void *data)
{
	sw_message_t *m = data;
	sw_instance_t *n = m->to;
	ap_usec_t now = n->w->sim.now;

	(void)arg;
	if (!n->up || n->alone)
		return;
	if (ap_wire_peek(m->data, m->len) == AP_WIRE_CHANGES)
		assert_true(ap_changes_apply(n->follow, m->data, m->len, now));
	else
		assert_true(ap_fleet_receive(n->fleet, m->from, m->data, m->len, now));
	sw_tick_store(n);
}

static inline void sw_send(void *ctx, const char *to, const void *data, size_t len)
{
	sw_instance_t *n = ctx;
	sw_message_t *m = calloc(1, sizeof(*m) + len);

	assert_non_null(m);
	if (n->alone) {
		free(m);
		return;
	}
	m->to = &n->w->instances[atoi(to + 1)];
	ap_copy_name(m->from, sizeof(m->from), n->id);
	m->len = len;
	memcpy(m->data, data, len);
	fake_at(&n->w->sim, n->w->sim.now + 1 * AP_MSEC, sw_on_message, NULL, m);
}

static inline void sw_op_relay(void *ctx, uint64_t after, const ap_store_read_t *read)
{
	sw_instance_t *n = ctx;
	ap_peer_port_t port = {.ctx = n, .send = sw_send};
	size_t len;
	void *bytes = ap_changes_pack(after, read, &len);

	ap_fleet_relay(n->fleet, &port, bytes, len, n->w->sim.now);
	free(bytes);
}

static inline void sw_tick_store(sw_instance_t *n)
{
	ap_usec_t now = n->w->sim.now;
	uint64_t changed;
	uint64_t era;

	bool watched = ap_fleet_store_watched(n->fleet, now, &era, &changed);

	ap_follow_announced(n->follow, era, changed, now);
	if (watched)
		ap_follow_stand_by(n->follow, era, changed, now);
	ap_fleet_set_store_state(n->fleet, ap_follow_watching(n->follow, now),
				 ap_follow_era(n->follow), ap_follow_last_change(n->follow));
	ap_fleet_set_store_silent(n->fleet, ap_follow_silent(n->follow, now));
	ap_follow_tick(n->follow, now);
	ap_registration_set_era(n->registration, ap_follow_era(n->follow), now);
	ap_registration_tick(n->registration, now);
}

typedef struct sw_check {
	sw_instance_t *instance;
	unsigned life;
	char id[AP_NAME_MAX];
} sw_check_t;

static inline sw_replica_t *sw_replica(sw_t *w, const char *id)
{
	for (int i = 0; i < SW_REPLICAS; i++) {
		if (w->replicas[i].up && strcmp(w->replicas[i].id, id) == 0)
			return &w->replicas[i];
	}
	return NULL;
}

static inline ap_usec_t sw_cold_left(const sw_t *w, const sw_replica_t *r)
{
	return r->cold_until > w->sim.now ? r->cold_until - w->sim.now : 0;
}

static inline void sw_on_health(void *arg, void *data)
{
	sw_check_t *check = data;
	sw_instance_t *n = check->instance;
	const sw_replica_t *r = sw_replica(n->w, check->id);

	ap_peer_port_t port = {.ctx = n, .send = sw_send};

	(void)arg;
	if (!r || !n->up || n->life != check->life)
		return;
	ap_fleet_health_checked(n->fleet, r->id, sw_cold_left(n->w, r), n->w->sim.now);
	ap_fleet_announce(n->fleet, &port, n->w->sim.now);
}

static inline void sw_on_tick(void *arg, void *data)
{
	sw_check_t *tick = data;
	sw_instance_t *n = tick->instance;
	ap_peer_port_t port = {.ctx = n, .send = sw_send};
	ap_usec_t now = n->w->sim.now;
	ap_replica_entry_t replica;
	sw_check_t *next;

	(void)arg;
	if (!n->up || n->life != tick->life)
		return;
	next = calloc(1, sizeof(*next));
	assert_non_null(next);
	*next = *tick;
	fake_at(&n->w->sim, now + 100 * AP_MSEC, sw_on_tick, NULL, next);
	if (n->frozen)
		return;
	if (now - n->ticked_at > SW_FREEZE_MIN) {
		ap_fleet_after_freeze(n->fleet, now);
		ap_follow_relist(n->follow, now);
	}
	n->ticked_at = now;
	ap_fleet_tick(n->fleet, now);
	sw_tick_store(n);
	sw_seed(n);
	while (ap_fleet_next_health_check(n->fleet, now, &replica)) {
		sw_check_t *check = calloc(1, sizeof(*check));

		assert_non_null(check);
		*check = (sw_check_t){n, n->life, ""};
		ap_copy_name(check->id, sizeof(check->id), replica.id);
		fake_at(&n->w->sim, now + 5 * AP_MSEC, sw_on_health, NULL, check);
	}
	ap_fleet_announce(n->fleet, &port, now);
}

static inline void sw_stop(sw_instance_t *n)
{
	if (!n->up)
		return;
	n->up = false;
	for (int i = 0; i < SW_REPLICAS; i++)
		n->w->replicas[i].told_at[n->number] =
			n->w->replicas[i].leaving_told_at[n->number] = 0;
	ap_fleet_free(n->fleet);
	ap_follow_free(n->follow);
	ap_snapshot_free(n->snapshot);
	ap_registration_free(n->registration);
}

static inline void sw_start(sw_instance_t *n)
{
	ap_usec_t now = n->w->sim.now;
	ap_follow_config_t follow = {
		.interval = 625 * AP_MSEC,
		.wait = 2500 * AP_MSEC,
		.unavailable_after = 2500 * AP_MSEC,
		.recovery_time = 2500 * AP_MSEC,
		.seed = ap_rng_u64(&n->w->sim.rng),
		.ctx = n,
		.list = sw_op_list,
		.watch = sw_op_watch,
		.listing = sw_op_listing,
		.item = sw_op_item,
		.relay = sw_op_relay,
	};
	ap_registration_config_t registration = {
		.ttl = SW_LEASE_TTL,
		.ctx = n,
		.create_lease = sw_op_create_lease,
		.renew_lease = sw_op_renew_lease,
		.put = sw_op_put,
	};
	ap_fleet_config_t bounds = {
		.cold_over = 1.5,
		.cold_slack = 3,
		.retry_ratio = 0.2,
		.retry_slack = 40,
		.learn_time = 1200 * AP_MSEC,
		.entry_grace = 2 * AP_SEC,
	};
	sw_check_t *tick;

	if (n->up)
		return;
	tick = calloc(1, sizeof(*tick));
	assert_non_null(tick);
	n->life++;
	n->up = true;
	n->started = now;
	n->ticked_at = now;
	n->seed_at = now + SW_SEED_DELAY;
	n->informed = false;
	n->fleet = world_start(n->id, "north", n->life);
	ap_fleet_set_bounds(n->fleet, &bounds);
	ap_fleet_set_data_centre(n->fleet, "north-2", "north");
	ap_fleet_update_member(n->fleet, &n->self, now);
	n->follow = ap_follow_new(&follow, now);
	n->snapshot = ap_snapshot_new();
	n->registration = ap_registration_new(&registration, now);
	*tick = (sw_check_t){n, n->life, ""};
	fake_at(&n->w->sim, now + (ap_usec_t)ap_rng_below(&n->w->sim.rng, 100 * AP_MSEC),
		sw_on_tick, NULL, tick);
}

/* Upstreams. */

static inline void sw_replica_key(const sw_replica_t *r, char key[AP_STORE_KEY_MAX])
{
	snprintf(key, AP_STORE_KEY_MAX, "servers/%s", r->id);
}

static inline ap_replica_entry_t sw_replica_entry(const sw_t *w, const sw_replica_t *r)
{
	ap_replica_entry_t e = world_entry(r->id, "engines", "north");

	snprintf(e.data_centre, sizeof(e.data_centre), "north-%d", r->centre + 1);
	e.port = (uint16_t)(9000 + r->number);
	e.cold_left = sw_cold_left(w, r);
	e.draining = r->leaving && !r->silent;
	return e;
}

static inline void sw_replica_write(sw_t *w, sw_replica_t *r)
{
	sw_value_t value = {.replica = sw_replica_entry(w, r)};
	char key[AP_STORE_KEY_MAX];

	sw_replica_key(r, key);
	sw_put(w, key, &value, 0);
	r->written = value.replica;
}

/* Writes the record when it has changed, or was lost. */
static inline void sw_replica_heartbeat(sw_t *w, sw_replica_t *r)
{
	ap_replica_entry_t entry = sw_replica_entry(w, r);
	char key[AP_STORE_KEY_MAX];

	if (!r->up || r->withdrawn_at > 0 || w->away || w->sim.now < r->heartbeat_at)
		return;
	r->heartbeat_at = w->sim.now + SW_HEARTBEAT;
	sw_replica_key(r, key);
	if (entry.cold_left != r->written.cold_left || entry.draining != r->written.draining ||
	    !sw_find(&w->store, key))
		sw_replica_write(w, r);
}

/* Starts a new incarnation, which is cold if @cold. */
static inline void sw_replica_start(sw_replica_t *r, sw_t *w, bool cold)
{
	snprintf(r->id, sizeof(r->id), "e%d.%u", r->number, ++r->life);
	r->up = true;
	r->n_arrivals = 0;
	r->limit = -1;
	r->leaving = false;
	r->withdrawn_at = 0;
	memset(r->leaving_told_at, 0, sizeof(r->leaving_told_at));
	r->cold_until = cold ? w->sim.now + world_engines.warmup : 0;
	r->written = (ap_replica_entry_t){0};
	r->heartbeat_at = w->sim.now + (ap_usec_t)ap_rng_below(&w->sim.rng, 300 * AP_MSEC);
}

/* The record stays until the heartbeats have been missing for a while. */
static inline void sw_replica_crash(sw_replica_t *r)
{
	r->up = false;
}

/* Removes the records of incarnations that are gone. */
static inline void sw_remove_silent(sw_t *w)
{
	for (size_t i = 0; i < w->store.n;) {
		const sw_item_t *item = &w->store.items[i];

		if (strncmp(item->key, "servers/", 8) == 0 && !sw_replica(w, item->key + 8))
			sw_remove(w, item->key);
		else
			i++;
	}
}

/* Counts an arrival; the latest SW_ARRIVALS are enough to count those of one second. */
static inline void sw_arrive(sw_t *w, sw_replica_t *r)
{
	unsigned in_second = 0;

	w->sent++;
	r->all_arrivals++;
	if (w->sim.now >= r->cold_until)
		return;
	w->sent_cold++;
	r->arrivals[r->n_arrivals++ % SW_ARRIVALS] = w->sim.now;
	for (size_t i = 0; i < SW_ARRIVALS && i < r->n_arrivals; i++)
		in_second += r->arrivals[i] > w->sim.now - AP_SEC;
	if (in_second > w->worst) {
		w->worst = in_second;
		w->worst_at = w->sim.now;
	}
}

/*
 * Counts an arrival at an upstream that names a limit: in four seconds, the instances that were
 * told send no more than one and a half times what the limit allows, and five requests.
 */
static inline void sw_arrive_limited(sw_t *w, sw_replica_t *r, const sw_instance_t *from)
{
	ap_usec_t told = r->told_at[from->number];
	unsigned in_window = 0;

	if (r->limit < 0 || told == 0 || w->sim.now < told + SW_TOLD_TIME || from->alone)
		return;
	w->sent_limited++;
	r->limited[r->n_limited++ % SW_ARRIVALS] = (sw_limited_t){w->sim.now, from->number};
	if (w->sim.now < r->limited_at + SW_LIMIT_STABLE)
		return;
	for (size_t i = 0; i < SW_ARRIVALS && i < r->n_limited; i++)
		in_window += r->limited[i].at > w->sim.now - SW_LIMIT_WINDOW;
	w->worst_limited = fmax(w->worst_limited, in_window / (1.5 * 4 * r->limit + 5));
}

/* Begins or, with a negative @limit, ends naming a limit. */
static inline void sw_replica_limit(sw_t *w, sw_replica_t *r, double limit)
{
	r->limit = limit;
	r->limited_at = w->sim.now;
	r->n_limited = 0;
	memset(r->told_at, 0, sizeof(r->told_at));
}

static inline void sw_arrive_leaving(sw_t *w, const sw_replica_t *r, const sw_instance_t *from)
{
	ap_usec_t told = r->leaving_told_at[from->number];

	if (told == 0 || w->sim.now <= told + SW_DRAIN_TIME)
		return;
	w->sent_leaving++;
	if (w->verbose)
		print_message("%.3f %s sends to %s, which leaves\n", (double)w->sim.now / 1e6,
			      from->id, r->id);
}

/* Removes the record of an upstream that goes on serving. */
static inline void sw_replica_withdraw(sw_t *w, sw_replica_t *r)
{
	char key[AP_STORE_KEY_MAX];

	sw_replica_key(r, key);
	sw_remove(w, key);
	r->withdrawn_at = w->sim.now;
	w->withdrawn++;
}

static inline void sw_arrive_withdrawn(sw_t *w, const sw_replica_t *r, const sw_instance_t *from)
{
	ap_usec_t since = r->withdrawn_at > w->stable_at ? r->withdrawn_at : w->stable_at;

	if (r->withdrawn_at == 0 || w->sim.now <= since + SW_DRAIN_TIME)
		return;
	w->sent_withdrawn++;
	if (w->verbose)
		print_message("%.3f %s, up for %.3f s, sends to %s, withdrawn %.3f s before\n",
			      (double)w->sim.now / 1e6, from->id,
			      (double)(w->sim.now - from->started) / 1e6, r->id,
			      (double)(w->sim.now - r->withdrawn_at) / 1e6);
}

typedef struct sw_sent {
	sw_instance_t *instance;
	unsigned life;
	char id[AP_NAME_MAX];
	double limit;
	ap_inflight_t inflight;
} sw_sent_t;

static inline void sw_on_done(void *arg, void *data)
{
	sw_sent_t *sent = data;
	sw_instance_t *n = sent->instance;

	sw_replica_t *r = sw_replica(n->w, sent->id);

	(void)arg;
	if (!n->up || n->life != sent->life)
		return;
	ap_fleet_limit_seen(n->fleet, sent->id, sent->limit, n->w->sim.now);
	if (r && r->leaving) {
		n->w->told_leaving += r->leaving_told_at[n->number] == 0;
		if (r->leaving_told_at[n->number] == 0)
			r->leaving_told_at[n->number] = n->w->sim.now;
		ap_fleet_leaving_seen(n->fleet, sent->id, n->w->sim.now);
	}
	if (r && sent->limit >= 0 && r->told_at[n->number] == 0)
		r->told_at[n->number] = n->w->sim.now;
	ap_fleet_done(n->fleet, &sent->inflight, AP_DISPATCH_DONE, n->w->sim.now);
}

static inline void sw_request(sw_instance_t *n)
{
	sw_t *w = n->w;
	ap_usec_t now = w->sim.now;
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	sw_sent_t *sent = calloc(1, sizeof(*sent));
	sw_replica_t *r;
	ap_target_t target;

	assert_non_null(sent);
	if (ap_fleet_choose(n->fleet, &req, now, &target) == AP_FLEET_NONE) {
		free(sent);
		return;
	}
	r = sw_replica(w, target.id);
	*sent = (sw_sent_t){.instance = n, .life = n->life};
	ap_fleet_sent(n->fleet, &req, &target, now, &sent->inflight);
	if (!r) {
		ap_fleet_done(n->fleet, &sent->inflight, AP_DISPATCH_UNREACHABLE, now);
		free(sent);
		return;
	}
	sw_arrive(w, r);
	sw_arrive_limited(w, r, n);
	sw_arrive_leaving(w, r, n);
	sw_arrive_withdrawn(w, r, n);
	sent->limit = r->limit;
	ap_copy_name(sent->id, sizeof(sent->id), r->id);
	if (w->verbose && now < r->cold_until && !target.cold)
		print_message("%.3f %s sends to %s, cold for %.3f s, taken for warm\n",
			      (double)now / 1e6, n->id, r->id, (double)(r->cold_until - now) / 1e6);
	fake_at(&w->sim, now + SW_REQUEST_TIME, sw_on_done, NULL, sent);
}

/* The operator's record of an evacuation follows what it wants, while the store is reachable. */
static inline void sw_operator_writes(sw_t *w)
{
	for (int i = 0; i < SW_CENTRES && !w->away; i++) {
		char key[AP_STORE_KEY_MAX];
		bool written;

		snprintf(key, sizeof(key), "evacuate/north-%d", i + 1);
		written = sw_find(&w->store, key) != NULL;
		if (w->evacuated[i] && !written)
			sw_put(w, key, NULL, 0);
		else if (!w->evacuated[i] && written)
			sw_remove(w, key);
	}
}

static inline void sw_evacuate(sw_t *w, int centre, bool begin)
{
	w->evacuated[centre] = begin;
}

/* The store is reachable again, as its copy of @age ago; lost records are written again. */
static inline void sw_return(sw_t *w, ap_usec_t age)
{
	sw_restore(w, age);
	w->away = false;
	for (int i = 0; i < SW_REPLICAS; i++)
		w->replicas[i].heartbeat_at =
			w->sim.now + (ap_usec_t)ap_rng_below(&w->sim.rng, SW_REWRITE_TIME);
}

/* One step of everything that is no instance, and of the requests. */
static inline void sw_step(void *arg, void *data)
{
	sw_t *w = arg;

	(void)data;
	if (!w->away) {
		sw_expire_leases(w);
		sw_operator_writes(w);
		if (w->sim.now % (3 * AP_SEC) == 0)
			sw_remove_silent(w);
	}
	for (int i = 0; i < SW_REPLICAS; i++)
		sw_replica_heartbeat(w, &w->replicas[i]);
	if (w->sim.now % SW_COPY_INTERVAL == 0 && !w->away)
		sw_copy_store(w);
	for (int i = 0; i < SW_INSTANCES; i++) {
		if (w->instances[i].up && !w->instances[i].frozen &&
		    (w->sim.now / (10 * AP_MSEC) + i) % (w->request_every / (10 * AP_MSEC)) == 0)
			sw_request(&w->instances[i]);
	}
	fake_at(&w->sim, w->sim.now + 10 * AP_MSEC, sw_step, w, NULL);
}

static inline sw_t *sw_new(uint64_t seed)
{
	sw_t *w = calloc(1, sizeof(*w));

	assert_non_null(w);
	w->sim.now = WORLD_START;
	ap_rng_seed(&w->sim.rng, seed);
	w->era = 1;
	w->request_every = SW_REQUEST_EVERY;
	for (int i = 0; i < SW_REPLICAS; i++) {
		w->replicas[i].number = i;
		w->replicas[i].centre = i % SW_CENTRES;
		sw_replica_start(&w->replicas[i], w, false);
	}
	for (int i = 0; i < SW_INSTANCES; i++) {
		sw_instance_t *n = &w->instances[i];

		n->w = w;
		n->number = i;
		snprintf(n->id, sizeof(n->id), "n%d", i);
		n->self = (ap_member_t){.caller_port = 80, .peer_port = 81, .cores = 0.25};
		ap_copy_name(n->self.id, sizeof(n->self.id), n->id);
		ap_copy_name(n->self.region, sizeof(n->self.region), "north");
		ap_copy_name(n->self.data_centre, sizeof(n->self.data_centre), "north-1");
		ap_copy_name(n->self.host, sizeof(n->self.host), "127.0.0.1");
		sw_start(n);
	}
	fake_at(&w->sim, w->sim.now, sw_step, w, NULL);
	return w;
}

static inline void sw_free(sw_t *w)
{
	for (int i = 0; i < SW_INSTANCES; i++)
		sw_stop(&w->instances[i]);
	fake_sim_clear(&w->sim);
	free(w);
}

#endif
