/*
 * The platform's store in virtual time, as the instances of region_world.h call it: revisions,
 * history, leases and watches. It can be unreachable, for all or for some instances, and can return
 * as an older copy of itself.
 */
#ifndef AP_TEST_STORE_WORLD_H
#define AP_TEST_STORE_WORLD_H

#include "fake_sim.h"
#include "fleet_world.h"
#include "follow/follow.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#ifndef SW_INSTANCES
#define SW_INSTANCES 10 /* enough that some watch the store for all */
#endif
#define SW_REPLICAS 8
#define SW_CENTRES 2
#define SW_ITEMS (SW_INSTANCES + 150)
#define SW_LEASES (SW_INSTANCES * 100)
#define SW_HISTORY 8192
#define SW_COPIES 16
#define SW_ARRIVALS 512 /* latest arrivals at an upstream while it is cold */
#define SW_COPY_INTERVAL (500 * AP_MSEC)
#define SW_LEASE_TTL (3 * AP_SEC)
#define SW_HEARTBEAT (1200 * AP_MSEC)
#define SW_REWRITE_TIME (2 * AP_SEC) /* upstreams write lost records again within this time */
#define SW_CALL_TIMEOUT (700 * AP_MSEC)
#define SW_SEED_DELAY (300 * AP_MSEC)
#define SW_SEED_AGAIN (1 * AP_SEC)
#define SW_FREEZE_MIN (800 * AP_MSEC) /* between ticks of an instance that was frozen */
#define SW_REQUEST_TIME (200 * AP_MSEC)
#define SW_REQUEST_EVERY (20 * AP_MSEC) /* of one instance */
#define SW_LIMIT_WINDOW (4 * AP_SEC)
#define SW_LIMIT_STABLE (5 * AP_SEC) /* from naming a limit until it binds */
#define SW_TOLD_TIME (500 * AP_MSEC) /* from the response until it binds an instance */
#define SW_DRAIN_TIME (3 * AP_SEC)   /* likewise for a response that says leaving */

typedef struct sw sw_t;

typedef struct sw_value {
	ap_replica_entry_t replica;
	ap_member_t member;
} sw_value_t;

typedef struct sw_item {
	char key[AP_STORE_KEY_MAX];
	sw_value_t value;
	uint64_t revision;
	uint64_t lease;
	bool removed;
} sw_item_t;

typedef struct sw_lease {
	bool open;
	ap_usec_t until;
} sw_lease_t;

/* What a copy of the store holds. */
typedef struct sw_state {
	sw_item_t items[SW_ITEMS];
	size_t n;
	sw_lease_t leases[SW_LEASES];
	uint64_t n_leases;
	uint64_t revision;
} sw_state_t;

/* An arrival at an upstream that names a limit. */
typedef struct sw_limited {
	ap_usec_t at;
	int from;
} sw_limited_t;

typedef struct sw_replica {
	char id[AP_NAME_MAX];
	int number;
	int centre;
	unsigned life;
	bool up;
	ap_usec_t cold_until;
	ap_usec_t heartbeat_at;
	ap_replica_entry_t written;
	ap_usec_t arrivals[SW_ARRIVALS];
	size_t n_arrivals;
	unsigned all_arrivals;
	double limit; /* requests per second that it names; negative for none */
	ap_usec_t limited_at;
	ap_usec_t told_at[SW_INSTANCES]; /* first response with the limit; 0 for none */
	sw_limited_t limited[SW_ARRIVALS];
	size_t n_limited;
	bool leaving;
	bool silent;				 /* does not report that it is draining */
	ap_usec_t withdrawn_at;			 /* its record was removed; 0 for not */
	ap_usec_t leaving_told_at[SW_INSTANCES]; /* first response that said so; 0 for none */
} sw_replica_t;

typedef struct sw_instance {
	sw_t *w;
	int number;
	char id[AP_NAME_MAX];
	unsigned life;
	bool up;
	bool cut;   /* from the store */
	bool alone; /* from the other instances */
	ap_fleet_t *fleet;
	ap_follow_t *follow;
	ap_snapshot_t *snapshot;
	ap_registration_t *registration;
	ap_member_t self;
	ap_usec_t started;
	ap_usec_t seed_at; /* when to ask for a snapshot next */
	bool informed;	   /* has read the list, or a snapshot of another instance */
	bool frozen;
	ap_usec_t ticked_at;
} sw_instance_t;

struct sw {
	fake_sim_t sim;
	sw_state_t store;
	uint64_t era;
	bool away;
	ap_usec_t slow;	     /* added to the time of each response */
	ap_usec_t stable_at; /* what it acknowledged before binds nobody until then */
	size_t page;	     /* most items of a list in one response; 0 for no limit */
	ap_usec_t seed_time; /* until a snapshot that was taken at another instance arrives */
	sw_item_t history[SW_HISTORY];
	size_t n_history;
	sw_state_t copies[SW_COPIES];
	size_t n_copies;
	bool evacuated[SW_CENTRES]; /* as the operator wants it */
	ap_usec_t request_every;    /* time between two requests of one instance */
	sw_replica_t replicas[SW_REPLICAS];
	sw_instance_t instances[SW_INSTANCES];
	unsigned sent;
	unsigned sent_cold;
	unsigned worst; /* most requests to a cold upstream in one second */
	ap_usec_t worst_at;
	double worst_limited; /* highest ratio of requests to the limit's bound */
	unsigned sent_limited;
	unsigned told_leaving;	 /* responses that told an instance for the first time */
	unsigned sent_leaving;	 /* requests later than SW_DRAIN_TIME after it */
	unsigned withdrawn;	 /* upstreams whose record was removed while they served */
	unsigned sent_withdrawn; /* requests later than SW_DRAIN_TIME after it */
	bool verbose;
};

/* A call to the store, later its response. */
typedef struct sw_call {
	sw_instance_t *instance;
	unsigned life;
	bool watch;
	char after[AP_STORE_KEY_MAX];
	uint64_t from; /* revision */
	ap_usec_t until;
	uint64_t era;
	uint64_t as_of;
	ap_store_end_t end;
	uint64_t number;
	bool more;
	size_t n;
	sw_item_t items[];
} sw_call_t;

static inline double sw_bound(void)
{
	return 1.5 * world_engines.warmup_rate + 3;
}

static inline sw_item_t *sw_find(sw_state_t *s, const char *key)
{
	for (size_t i = 0; i < s->n; i++) {
		if (strcmp(s->items[i].key, key) == 0)
			return &s->items[i];
	}
	return NULL;
}

static inline void sw_log(sw_t *w, const sw_item_t *item)
{
	assert_true(w->n_history < SW_HISTORY);
	w->history[w->n_history++] = *item;
}

static inline uint64_t sw_put(sw_t *w, const char *key, const sw_value_t *value, uint64_t lease)
{
	sw_item_t *item = sw_find(&w->store, key);

	if (!item) {
		assert_true(w->store.n < SW_ITEMS);
		item = &w->store.items[w->store.n++];
		ap_copy_name(item->key, sizeof(item->key), key);
	}
	item->value = value ? *value : (sw_value_t){0};
	item->lease = lease;
	item->revision = ++w->store.revision;
	item->removed = false;
	sw_log(w, item);
	return item->revision;
}

static inline void sw_remove(sw_t *w, const char *key)
{
	sw_item_t *item = sw_find(&w->store, key);
	sw_item_t gone;

	if (!item)
		return;
	gone = *item;
	gone.removed = true;
	gone.revision = ++w->store.revision;
	*item = w->store.items[--w->store.n];
	sw_log(w, &gone);
}

static inline void sw_expire_leases(sw_t *w)
{
	for (uint64_t id = 1; id <= w->store.n_leases; id++) {
		if (!w->store.leases[id].open || w->sim.now < w->store.leases[id].until)
			continue;
		w->store.leases[id].open = false;
		for (size_t i = 0; i < w->store.n;) {
			if (w->store.items[i].lease == id)
				sw_remove(w, w->store.items[i].key);
			else
				i++;
		}
	}
}

/* Returns the store to its copy of @age ago; what was written since is lost. */
static inline void sw_restore(sw_t *w, ap_usec_t age)
{
	size_t back = (size_t)(age / SW_COPY_INTERVAL);
	size_t i = back < w->n_copies ? w->n_copies - 1 - back : 0;

	w->store = w->copies[i];
	w->n_copies = i + 1;
	w->era++;
	while (w->n_history > 0 && w->history[w->n_history - 1].revision > w->store.revision)
		w->n_history--;
	for (uint64_t id = 1; id <= w->store.n_leases; id++)
		w->store.leases[id].until = w->sim.now + SW_LEASE_TTL;
}

static inline void sw_copy_store(sw_t *w)
{
	if (w->n_copies == SW_COPIES) {
		memmove(w->copies, w->copies + 1, (SW_COPIES - 1) * sizeof(w->copies[0]));
		w->n_copies--;
	}
	w->copies[w->n_copies++] = w->store;
}

/* Calls of an instance to the store. */

static inline sw_call_t *sw_call(sw_instance_t *n, size_t items)
{
	sw_call_t *call = calloc(1, sizeof(*call) + items * sizeof(call->items[0]));

	assert_non_null(call);
	call->instance = n;
	call->life = n->life;
	return call;
}

static inline bool sw_reachable(const sw_instance_t *n)
{
	return !n->w->away && !n->cut;
}

static inline void sw_tick_store(sw_instance_t *n);

static inline void sw_on_read(void *arg, void *data)
{
	sw_call_t *call = data;
	sw_instance_t *n = call->instance;
	ap_store_item_t items[SW_ITEMS];
	ap_store_read_t read = {.end = call->end,
				.items = items,
				.n = call->n,
				.era = call->era,
				.as_of = call->as_of,
				.more = call->more};

	(void)arg;
	if (!n->up || n->life != call->life)
		return;
	for (size_t i = 0; i < call->n; i++)
		items[i] = (ap_store_item_t){
			.key = call->items[i].key,
			.value = &call->items[i].value,
			.len = sizeof(call->items[i].value),
			.revision = call->items[i].revision,
			.removed = call->items[i].removed,
		};
	ap_follow_response(n->follow, &read, n->w->sim.now);
	sw_tick_store(n);
}

static inline sw_call_t *sw_respond(sw_call_t *request, ap_store_end_t end, const sw_item_t *items,
				    size_t n)
{
	sw_t *w = request->instance->w;
	sw_call_t *response = sw_call(request->instance, n);
	ap_usec_t delay = 4 * AP_MSEC + w->slow;

	response->life = request->life;
	response->end = end;
	response->era = w->era;
	response->as_of = w->store.revision;
	response->n = n;
	if (n > 0)
		memcpy(response->items, items, n * sizeof(items[0]));
	if (end == AP_STORE_UNSURE)
		delay = SW_CALL_TIMEOUT;
	fake_at(&w->sim, w->sim.now + delay, sw_on_read, NULL, response);
	return response;
}

static inline int sw_by_key(const void *a, const void *b)
{
	return strcmp(((const sw_item_t *)a)->key, ((const sw_item_t *)b)->key);
}

/* Responds to a list with the page after the call's key. */
static inline void sw_list(sw_call_t *call)
{
	sw_state_t *s = &call->instance->w->store;
	size_t page = call->instance->w->page;
	size_t first = 0;
	size_t n;

	if (page == 0) {
		sw_respond(call, AP_STORE_OK, s->items, s->n);
		return;
	}
	qsort(s->items, s->n, sizeof(s->items[0]), sw_by_key);
	while (first < s->n && strcmp(s->items[first].key, call->after) <= 0)
		first++;
	n = s->n - first < page ? s->n - first : page;
	sw_respond(call, AP_STORE_OK, &s->items[first], n)->more = first + n < s->n;
}

/* Handles a list or a watch; a watch without changes is handled again until its time is over. */
static inline void sw_handle_read(void *arg, void *data)
{
	sw_call_t *call = data;
	sw_t *w = call->instance->w;
	size_t first = w->n_history;
	sw_call_t *again;

	(void)arg;
	if (!sw_reachable(call->instance)) {
		sw_respond(call, AP_STORE_UNSURE, NULL, 0);
		return;
	}
	if (!call->watch) {
		sw_list(call);
		return;
	}
	if (call->from > w->store.revision) {
		sw_respond(call, AP_STORE_COMPACTED, NULL, 0);
		return;
	}
	while (first > 0 && w->history[first - 1].revision > call->from)
		first--;
	if (first < w->n_history || w->sim.now >= call->until) {
		sw_respond(call, AP_STORE_OK, &w->history[first], w->n_history - first);
		return;
	}
	again = sw_call(call->instance, 0);
	*again = *call;
	fake_at(&w->sim, w->sim.now + 20 * AP_MSEC, sw_handle_read, NULL, again);
}

static inline void sw_op_list(void *ctx, const char *after)
{
	sw_instance_t *n = ctx;
	sw_call_t *call = sw_call(n, 0);

	ap_copy_name(call->after, sizeof(call->after), after);
	fake_at(&n->w->sim, n->w->sim.now + 4 * AP_MSEC, sw_handle_read, NULL, call);
}

static inline void sw_op_watch(void *ctx, uint64_t revision, ap_usec_t wait)
{
	sw_instance_t *n = ctx;
	sw_call_t *call = sw_call(n, 0);

	call->watch = true;
	call->from = revision;
	call->until = n->w->sim.now + wait;
	fake_at(&n->w->sim, n->w->sim.now + 4 * AP_MSEC, sw_handle_read, NULL, call);
}

static inline void sw_on_written(void *arg, void *data)
{
	sw_call_t *call = data;
	sw_instance_t *n = call->instance;

	(void)arg;
	if (n->up && n->life == call->life)
		ap_registration_response(n->registration, call->end, call->number, n->w->sim.now);
}

static inline void sw_written(sw_instance_t *n, ap_store_end_t end, uint64_t number)
{
	sw_call_t *call = sw_call(n, 0);

	call->end = sw_reachable(n) ? end : AP_STORE_UNSURE;
	call->number = number;
	fake_at(&n->w->sim, n->w->sim.now + 8 * AP_MSEC, sw_on_written, NULL, call);
}

static inline void sw_op_create_lease(void *ctx, ap_usec_t ttl)
{
	sw_instance_t *n = ctx;
	sw_t *w = n->w;

	if (sw_reachable(n)) {
		assert_true(w->store.n_leases + 1 < SW_LEASES);
		w->store.leases[++w->store.n_leases] = (sw_lease_t){true, w->sim.now + ttl};
	}
	sw_written(n, AP_STORE_OK, w->store.n_leases);
}

static inline void sw_op_renew_lease(void *ctx, uint64_t lease)
{
	sw_instance_t *n = ctx;
	sw_t *w = n->w;
	bool open = lease <= w->store.n_leases && w->store.leases[lease].open;

	if (sw_reachable(n) && open)
		w->store.leases[lease].until = w->sim.now + SW_LEASE_TTL;
	sw_written(n, open ? AP_STORE_OK : AP_STORE_ABSENT, 0);
}

static inline void sw_op_put(void *ctx, uint64_t lease, uint64_t revision)
{
	sw_instance_t *n = ctx;
	sw_t *w = n->w;
	sw_value_t value = {.member = n->self};
	char key[AP_STORE_KEY_MAX];
	const sw_item_t *item;
	uint64_t current;

	snprintf(key, sizeof(key), "instances/%s", n->id);
	item = sw_find(&w->store, key);
	current = item ? item->revision : 0;
	if (!sw_reachable(n))
		sw_written(n, AP_STORE_UNSURE, 0);
	else if (current != revision)
		sw_written(n, AP_STORE_CONFLICT, current);
	else if (lease > w->store.n_leases || !w->store.leases[lease].open)
		sw_written(n, AP_STORE_ABSENT, 0);
	else
		sw_written(n, AP_STORE_OK, sw_put(w, key, &value, lease));
}

#endif
