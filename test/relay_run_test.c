/*
 * Instances of three regions with two data centres each tell each other what they do, by way of
 * relays where a region is large. Guards against a cost of knowing that grows with the number of
 * pairs, and against instances that hear nothing when a relay is killed, frozen or cut off, when
 * views differ, or when a build that takes no batches runs beside.
 *
 * The load: each instance has some requests in flight and sends a long prompt now and then.
 */
#include "fleet_world.h"
#include "fake_sim.h"
#include "wire/frame.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define REGIONS 3
#define CENTRES 2 /* of a region */
#define UPSTREAMS 210
#define LARGE 120 /* instances */
#define TICK (100 * AP_MSEC)
#define FREEZE_MIN (800 * AP_MSEC)    /* between ticks of an instance that was frozen */
#define PROMPT_EVERY (1600 * AP_MSEC) /* of one instance */
#define REQUEST_EVERY (400 * AP_MSEC)
#define REQUEST_TIME (2 * AP_SEC)
#define MESSAGE_OVERHEAD 66	  /* bytes: envelope, encryption and frame of adapters/peer */
#define HEARD_IN (1500 * AP_MSEC) /* others must have heard of a change by then */

static const char *const regions[REGIONS] = {"recife", "fortaleza", "salvador"};

typedef struct world world_t;

typedef struct node {
	world_t *w;
	size_t number;
	char id[AP_NAME_MAX];
	uint64_t life;
	ap_fleet_t *fleet; /* NULL while it is down */
	bool frozen;
	ap_usec_t ticked_at;
	bool cut; /* from all other instances */
	uint32_t speaks;
	unsigned sent;
	size_t bytes;
	size_t bytes_across; /* to other data centres */
	bool *connected;
} node_t;

struct world {
	fake_sim_t sim;
	size_t n;
	node_t *nodes;
};

typedef struct message {
	node_t *from;
	node_t *to;
	uint64_t life;
	size_t len;
	unsigned char data[];
} message_t;

static const char *region_of(const node_t *n)
{
	return regions[n->number % REGIONS];
}

static size_t centre_of(const node_t *n)
{
	return n->number / REGIONS % CENTRES;
}

static void on_inner(void *ctx, const char *origin, const void *data, size_t len)
{
	node_t *n = ctx;

	assert_true(ap_fleet_receive(n->fleet, origin, data, len, n->w->sim.now));
}

static void on_message(void *arg, void *data)
{
	message_t *m = data;
	node_t *n = m->to;
	ap_usec_t now = n->w->sim.now;

	(void)arg;
	if (!n->fleet || n->cut || n->life != m->life)
		return;
	if (n->frozen) { /* stays in the socket's queue */
		message_t *again = calloc(1, sizeof(*again) + m->len);

		memcpy(again, m, sizeof(*m) + m->len);
		fake_at(&n->w->sim, now + TICK, on_message, NULL, again);
		return;
	}
	if (ap_wire_peek(m->data, m->len) == AP_WIRE_BATCH) {
		assert_true(n->speaks >= AP_FLEET_SPEAKS_BATCHES);
		assert_true(ap_fleet_open_batch(n->fleet, m->from->id, m->data, m->len, now, n,
						on_inner));
		return;
	}
	assert_true(ap_fleet_receive(n->fleet, m->from->id, m->data, m->len, now));
	if (n->speaks >= AP_FLEET_SPEAKS_BATCHES)
		ap_fleet_pass_on(n->fleet, m->from->id, m->data, m->len, now);
}

static void on_send(void *ctx, const char *to, const void *data, size_t len)
{
	node_t *n = ctx;
	node_t *peer = &n->w->nodes[atoi(to + 1)];
	message_t *m;

	n->sent++;
	n->bytes += len + MESSAGE_OVERHEAD;
	if (region_of(n) != region_of(peer) || centre_of(n) != centre_of(peer))
		n->bytes_across += len + MESSAGE_OVERHEAD;
	n->connected[peer->number] = true;
	if (n->cut)
		return;
	m = calloc(1, sizeof(*m) + len);
	assert_non_null(m);
	*m = (message_t){.from = n, .to = peer, .life = peer->life, .len = len};
	memcpy(m->data, data, len);
	fake_at(&n->w->sim, n->w->sim.now + AP_MSEC, on_message, NULL, m);
}

static ap_member_t member_of(const node_t *n)
{
	ap_member_t m = {.caller_port = 80, .peer_port = 81, .speaks = n->speaks};

	m.cores = n->number % 16 < 6 ? 0.5 : 0.12;
	ap_copy_name(m.id, sizeof(m.id), n->id);
	ap_copy_name(m.region, sizeof(m.region), region_of(n));
	snprintf(m.data_centre, sizeof(m.data_centre), "%s-%zu", region_of(n), centre_of(n));
	ap_copy_name(m.host, sizeof(m.host), "127.0.0.1");
	return m;
}

typedef struct request {
	node_t *from;
	uint64_t life;
	ap_inflight_t sent;
} request_t;

static void on_done(void *arg, void *data)
{
	request_t *r = data;

	(void)arg;
	if (r->from->fleet && r->from->life == r->life)
		ap_fleet_done(r->from->fleet, &r->sent, AP_DISPATCH_DONE, r->from->w->sim.now);
}

static void send_request(node_t *n, bool long_prompt)
{
	ap_usec_t now = n->w->sim.now;
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	request_t *r = calloc(1, sizeof(*r));
	ap_target_t target;

	*r = (request_t){.from = n, .life = n->life};
	if (long_prompt)
		world_prompt(&req, 1 + ap_rng_below(&n->w->sim.rng, 80), 13300,
			     ap_rng_below(&n->w->sim.rng, UINT16_MAX));
	if (ap_fleet_choose(n->fleet, &req, now, &target) != AP_FLEET_OK) {
		free(r);
		return;
	}
	ap_fleet_sent(n->fleet, &req, &target, now, &r->sent);
	fake_at(&n->w->sim, now + REQUEST_TIME, on_done, NULL, r);
}

static void on_tick(void *arg, void *data)
{
	uint64_t *life = data;
	node_t *n = arg;
	ap_peer_port_t port = {.ctx = n, .send = on_send};
	ap_usec_t now = n->w->sim.now;
	uint64_t *next;

	if (!n->fleet || n->life != *life)
		return;
	next = calloc(1, sizeof(*next));
	*next = *life;
	fake_at(&n->w->sim, now + TICK, on_tick, n, next);
	if (n->frozen)
		return;
	if (now - n->ticked_at > FREEZE_MIN)
		ap_fleet_after_freeze(n->fleet, now);
	n->ticked_at = now;
	ap_fleet_tick(n->fleet, now);
	if ((now / TICK + (ap_usec_t)n->number) % (REQUEST_EVERY / TICK) == 0)
		send_request(n, (now / TICK + (ap_usec_t)n->number) % (PROMPT_EVERY / TICK) == 0);
	ap_fleet_announce(n->fleet, &port, now);
}

static void node_start(node_t *n)
{
	ap_usec_t now = n->w->sim.now;
	ap_fleet_config_t config = {
		.cold_over = 1.5,
		.cold_slack = 3,
		.retry_window = 10 * AP_SEC,
		.learn_time = 1200 * AP_MSEC,
		.inc = {.hi = ++n->life, .lo = n->number + 1},
		.seed = n->number + 1,
	};
	ap_member_t self = member_of(n);
	uint64_t *life = calloc(1, sizeof(*life));

	*life = n->life;
	n->ticked_at = now;
	ap_copy_name(config.id, sizeof(config.id), n->id);
	ap_copy_name(config.region, sizeof(config.region), self.region);
	ap_copy_name(config.data_centre, sizeof(config.data_centre), self.data_centre);
	n->fleet = ap_fleet_new(&config);
	for (size_t i = 0; i < REGIONS * CENTRES; i++) {
		char name[AP_NAME_MAX];

		snprintf(name, sizeof(name), "%s-%zu", regions[i % REGIONS], i / REGIONS);
		ap_fleet_set_data_centre(n->fleet, name, regions[i % REGIONS]);
	}
	for (size_t i = 0; i < n->w->n; i++) {
		ap_member_t m = member_of(&n->w->nodes[i]);

		ap_fleet_update_member(n->fleet, &m, now);
	}
	for (size_t i = 0; i < UPSTREAMS; i++) {
		char id[AP_NAME_MAX];
		ap_replica_entry_t e;

		snprintf(id, sizeof(id), "e%zu", i);
		e = world_entry(id, "engines", regions[i % REGIONS]);
		snprintf(e.data_centre, sizeof(e.data_centre), "%s-0", regions[i % REGIONS]);
		ap_fleet_update_replica(n->fleet, &e, now);
	}
	fake_at(&n->w->sim, now + (ap_usec_t)ap_rng_below(&n->w->sim.rng, TICK), on_tick, n, life);
}

static void node_kill(node_t *n)
{
	ap_fleet_free(n->fleet);
	n->fleet = NULL;
}

/* The first @n_old instances run a build that takes no batches. */
static world_t *world_new(size_t n, size_t n_old)
{
	world_t *w = calloc(1, sizeof(*w));

	w->sim.now = WORLD_START;
	ap_rng_seed(&w->sim.rng, 5);
	w->n = n;
	w->nodes = calloc(n, sizeof(*w->nodes));
	for (size_t i = 0; i < n; i++) {
		node_t *node = &w->nodes[i];

		node->w = w;
		node->number = i;
		node->speaks = i < n_old ? 0 : AP_FLEET_SPEAKS;
		node->connected = calloc(n, sizeof(*node->connected));
		snprintf(node->id, sizeof(node->id), "n%zu", i);
	}
	for (size_t i = 0; i < n; i++)
		node_start(&w->nodes[i]);
	return w;
}

static void world_free(world_t *w)
{
	for (size_t i = 0; i < w->n; i++) {
		ap_fleet_free(w->nodes[i].fleet);
		free(w->nodes[i].connected);
	}
	fake_sim_clear(&w->sim);
	free(w->nodes);
	free(w);
}

static void run(world_t *w, ap_usec_t time)
{
	fake_run(&w->sim, w->sim.now + time);
}

/*
 * Instance @teller learns from a response that upstream @upstream leaves. Returns how many
 * instances of its region that run and aren't cut off have not heard of it after @time.
 */
static size_t unheard(world_t *w, size_t teller, size_t upstream, ap_usec_t time)
{
	char id[AP_NAME_MAX];
	size_t n = 0;

	snprintf(id, sizeof(id), "e%zu", upstream);
	ap_fleet_leaving_seen(w->nodes[teller].fleet, id, w->sim.now);
	run(w, time);
	for (size_t i = 0; i < w->n; i++) {
		node_t *node = &w->nodes[i];

		if (!node->fleet || node->cut || node->frozen ||
		    region_of(node) != region_of(&w->nodes[teller]))
			continue;
		n += ap_fleet_stats(node->fleet, w->sim.now).draining == 0;
	}
	return n;
}

/* Returns the instance of data centre @centre of @region that passes most bytes on. */
static node_t *busiest(world_t *w, size_t region, size_t centre)
{
	node_t *found = NULL;

	for (size_t i = 0; i < w->n; i++) {
		node_t *n = &w->nodes[i];

		if (n->number % REGIONS == region && centre_of(n) == centre && n->fleet &&
		    (!found || n->bytes > found->bytes))
			found = n;
	}
	return found;
}

/* Returns an instance of region 0 that is no relay. */
static size_t teller_of(world_t *w, const node_t *other)
{
	size_t i = w->n - 1;

	while (i % REGIONS != 0 || &w->nodes[i] == other || w->nodes[i].bytes > 400000 ||
	       !w->nodes[i].fleet)
		i--;
	return i;
}

static void all_of_a_region_hear_what_one_says(void **state)
{
	static const size_t sizes[] = {8, 77, 295};

	(void)state;
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		world_t *w = world_new(sizes[i], 0);

		run(w, 4 * AP_SEC);
		assert_int_equal(unheard(w, 3, 0, HEARD_IN), 0);
		world_free(w);
	}
}

typedef struct cost {
	double connections; /* an instance, as it opened them */
	double messages;    /* an instance and second */
	double bytes;
	double across; /* bytes to other data centres, of any region */
} cost_t;

static cost_t cost_of(size_t n, size_t n_old)
{
	world_t *w = world_new(n, n_old);
	double seconds = 5;
	cost_t c = {0};

	run(w, 4 * AP_SEC);
	for (size_t i = 0; i < n; i++) {
		w->nodes[i].sent = 0;
		w->nodes[i].bytes = w->nodes[i].bytes_across = 0;
		memset(w->nodes[i].connected, 0, n * sizeof(bool));
	}
	run(w, (ap_usec_t)seconds * AP_SEC);
	for (size_t i = 0; i < n; i++) {
		c.messages += w->nodes[i].sent / seconds / (double)n;
		c.bytes += (double)w->nodes[i].bytes / seconds / (double)n;
		c.across += (double)w->nodes[i].bytes_across / seconds / (double)n;
		for (size_t k = 0; k < n; k++)
			c.connections += w->nodes[i].connected[k] / (double)n;
	}
	world_free(w);
	return c;
}

/* Compares relays with the build before, which sends each message to all. */
static void the_cost_of_knowing_does_not_grow_with_pairs(void **state)
{
	cost_t relayed;
	cost_t all;

	(void)state;
	for (size_t n = 77; n <= 295; n += 295 - 77) {
		relayed = cost_of(n, 0);
		all = cost_of(n, n);
		print_message("%zu instances, sent by one: %.1f connections, %.1f messages/s, "
			      "%.1f KB/s, %.1f KB/s to other data centres; each to all: %.1f, "
			      "%.1f, %.1f, %.1f\n",
			      n, relayed.connections, relayed.messages, relayed.bytes / 1e3,
			      relayed.across / 1e3, all.connections, all.messages, all.bytes / 1e3,
			      all.across / 1e3);
	}
	assert_true(relayed.connections <= all.connections / 5);
	assert_true(relayed.messages <= all.messages / 5);
	assert_true(relayed.across <= all.across / 5);
	assert_true(relayed.bytes <= all.bytes);
}

static void a_relay_that_is_killed_costs_nobody_what_others_say(void **state)
{
	world_t *w = world_new(LARGE, 0);
	node_t *relay;

	(void)state;
	run(w, 4 * AP_SEC);
	relay = busiest(w, 0, 0);
	node_kill(relay);
	assert_int_equal(unheard(w, teller_of(w, relay), 0, HEARD_IN), 0);
	world_free(w);
}

static void a_relay_that_is_cut_off_costs_nobody_what_others_say(void **state)
{
	world_t *w = world_new(LARGE, 0);
	node_t *relay;

	(void)state;
	run(w, 4 * AP_SEC);
	relay = busiest(w, 0, 1);
	relay->cut = true;
	assert_int_equal(unheard(w, teller_of(w, relay), 0, HEARD_IN), 0);
	relay->cut = false;
	run(w, 2 * AP_SEC);
	assert_int_equal(ap_fleet_stats(relay->fleet, w->sim.now).draining, 1);
	world_free(w);
}

/* What it passes on when it wakes is old, and mustn't replace what was said since. */
static void a_relay_that_is_frozen_costs_nobody_what_others_say(void **state)
{
	world_t *w = world_new(LARGE, 0);
	node_t *relay;

	(void)state;
	run(w, 4 * AP_SEC);
	relay = busiest(w, 0, 0);
	relay->frozen = true;
	assert_int_equal(unheard(w, teller_of(w, relay), 0, HEARD_IN), 0);
	relay->frozen = false;
	run(w, 2 * AP_SEC);
	assert_int_equal(unheard(w, relay->number, 3, HEARD_IN), 0);
	world_free(w);
}

/* All relays of a data centre at once, as with a rack. */
static void the_loss_of_all_relays_of_a_data_centre_heals(void **state)
{
	world_t *w = world_new(LARGE, 0);

	(void)state;
	run(w, 4 * AP_SEC);
	node_kill(busiest(w, 0, 0));
	node_kill(busiest(w, 0, 0));
	assert_int_equal(unheard(w, teller_of(w, NULL), 0, 2 * HEARD_IN), 0);
	world_free(w);
}

/* Old builds take no batches and send to all; the upgrade goes from one instance to the next. */
static void old_and_new_builds_hear_each_other(void **state)
{
	static const size_t old[] = {10, 40, 70};

	(void)state;
	for (size_t i = 0; i < sizeof(old) / sizeof(old[0]); i++) {
		world_t *w = world_new(77, old[i]);

		run(w, 4 * AP_SEC);
		assert_int_equal(unheard(w, 0, 0, HEARD_IN), 0);
		world_free(w);
		w = world_new(77, old[i]);
		run(w, 4 * AP_SEC);
		assert_int_equal(unheard(w, 75, 0, HEARD_IN), 0);
		world_free(w);
	}
}

static void instances_that_start_together_hear_the_others(void **state)
{
	world_t *w = world_new(LARGE, 0);

	(void)state;
	run(w, 4 * AP_SEC);
	for (size_t i = 0; i < LARGE / 2; i++)
		node_kill(&w->nodes[i]);
	for (size_t i = 0; i < LARGE / 2; i++)
		node_start(&w->nodes[i]);
	assert_int_equal(unheard(w, LARGE - 1, 0, HEARD_IN), 0);
	world_free(w);
}

static size_t count_serving(world_t *w)
{
	size_t n = 0;

	for (size_t i = 0; i < w->n; i++)
		n += ap_fleet_stats(w->nodes[i].fleet, w->sim.now).relay_served > 0;
	return n;
}

/* An instance that wakes has heard nothing, which says nothing of its relay. */
static void instances_that_wake_keep_their_relays(void **state)
{
	world_t *w = world_new(LARGE, 0);
	size_t serving;

	(void)state;
	run(w, 4 * AP_SEC);
	serving = count_serving(w);
	for (size_t i = 0; i < LARGE; i++)
		w->nodes[i].frozen =
			i >= LARGE / 2 &&
			ap_fleet_stats(w->nodes[i].fleet, w->sim.now).relay_served == 0;
	run(w, 2 * AP_SEC);
	for (size_t i = 0; i < LARGE; i++)
		w->nodes[i].frozen = false;
	run(w, AP_SEC);
	assert_int_equal(count_serving(w), serving);
	world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_of_a_region_hear_what_one_says),
		cmocka_unit_test(the_cost_of_knowing_does_not_grow_with_pairs),
		cmocka_unit_test(a_relay_that_is_killed_costs_nobody_what_others_say),
		cmocka_unit_test(a_relay_that_is_cut_off_costs_nobody_what_others_say),
		cmocka_unit_test(a_relay_that_is_frozen_costs_nobody_what_others_say),
		cmocka_unit_test(the_loss_of_all_relays_of_a_data_centre_heals),
		cmocka_unit_test(old_and_new_builds_hear_each_other),
		cmocka_unit_test(instances_that_start_together_hear_the_others),
		cmocka_unit_test(instances_that_wake_keep_their_relays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
