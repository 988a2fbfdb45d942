/* The instances of crash_world.h: their messages, health checks and starts, and a day's load. */
#ifndef AP_TEST_CRASH_INSTANCES_H
#define AP_TEST_CRASH_INSTANCES_H

#include "crash_world.h"

typedef struct cw_message {
	cw_instance_t *to;
	char from[AP_NAME_MAX];
	size_t len;
	unsigned char data[];
} cw_message_t;

static inline void cw_on_message(void *arg, void *data)
{
	cw_t *w = arg;
	cw_message_t *m = data;

	if (m->to->up && !m->to->alone)
		assert_true(ap_fleet_receive(m->to->fleet, m->from, m->data, m->len, w->sim.now));
}

static inline void cw_peer_send(void *ctx, const char *to, const void *data, size_t len)
{
	cw_instance_t *n = ctx;
	cw_message_t *m;

	if (n->alone)
		return;
	m = malloc(sizeof(*m) + len);
	assert_non_null(m);
	m->to = &n->w->instances[atoi(to + 1)];
	ap_copy_name(m->from, sizeof(m->from), n->id);
	m->len = len;
	memcpy(m->data, data, len);
	fake_at(&n->w->sim,
		n->w->sim.now + (m->to->region == n->region ? 1 * AP_MSEC : 56 * AP_MSEC),
		cw_on_message, n->w, m);
}

typedef struct cw_check {
	cw_instance_t *instance;
	unsigned life;
	char id[AP_NAME_MAX];
} cw_check_t;

static inline bool cw_engine_alive(const cw_t *w, const char *id)
{
	for (int i = 0; i < CW_UPSTREAMS; i++) {
		if (w->engines[i].up && strcmp(w->engines[i].id, id) == 0)
			return true;
	}
	return false;
}

static inline void cw_on_health(void *arg, void *data)
{
	cw_t *w = arg;
	cw_check_t *check = data;
	cw_instance_t *n = check->instance;

	if (!n->up || n->life != check->life || n->cut == CW_CUT_HANG)
		return;
	if (n->cut == CW_CUT_NONE && cw_engine_alive(w, check->id))
		ap_fleet_health_checked(n->fleet, check->id, 0, w->sim.now);
	else
		ap_fleet_health_check_refused(n->fleet, check->id, w->sim.now);
}

static inline void cw_check_health(cw_instance_t *n)
{
	ap_replica_entry_t entry;

	while (ap_fleet_next_health_check(n->fleet, n->w->sim.now, &entry)) {
		cw_check_t *check = malloc(sizeof(*check));

		assert_non_null(check);
		*check = (cw_check_t){.instance = n, .life = n->life};
		ap_copy_name(check->id, sizeof(check->id), entry.id);
		fake_at(&n->w->sim, n->w->sim.now + 5 * AP_MSEC, cw_on_health, n->w, check);
	}
}

static inline void cw_tick(void *arg, void *data)
{
	cw_t *w = arg;
	cw_check_t *tick = data;
	cw_instance_t *n = tick->instance;
	ap_peer_port_t port = {.ctx = n, .send = cw_peer_send};
	cw_check_t *next;

	if (!n->up || n->life != tick->life)
		return;
	ap_fleet_set_store_silent(n->fleet, w->store_silent);
	ap_fleet_tick(n->fleet, w->sim.now);
	cw_check_health(n);
	ap_fleet_announce(n->fleet, &port, w->sim.now);
	next = malloc(sizeof(*next));
	assert_non_null(next);
	*next = *tick;
	fake_at(&w->sim, w->sim.now + 100 * AP_MSEC, cw_tick, w, next);
}

static inline void cw_list_instance(ap_fleet_t *f, const cw_instance_t *n, ap_usec_t now)
{
	world_member(f, n->id, cw_regions[n->region], false, now);
}

static inline void cw_instance_start(void *arg, void *data)
{
	cw_t *w = arg;
	cw_instance_t *n = &w->instances[*(int *)data];
	ap_usec_t now = w->sim.now;
	cw_check_t *tick = calloc(1, sizeof(*tick));
	ap_fleet_config_t bounds = {.cold_over = 1.5,
				    .cold_slack = 3,
				    .retry_ratio = 0.2,
				    .retry_slack = 40,
				    .learn_time = 1200 * AP_MSEC,
				    .entry_grace = 2 * AP_SEC};

	assert_non_null(tick);
	n->up = true;
	n->life++;
	n->disturbed_at = now;
	n->fleet = world_start(n->id, cw_regions[n->region], n->life);
	ap_fleet_set_bounds(n->fleet, &bounds);
	for (int i = 0; i < CW_REGIONS; i++) {
		char centre[AP_NAME_MAX];

		snprintf(centre, sizeof(centre), "%s-1", cw_regions[i]);
		ap_fleet_set_data_centre(n->fleet, centre, cw_regions[i]);
	}
	cw_list_instance(n->fleet, n, now);
	for (int i = 0; i < w->per_region * CW_REGIONS; i++)
		cw_list_instance(n->fleet, &w->instances[i], now);
	for (int i = 0; i < CW_UPSTREAMS; i++) {
		if (w->engines[i].up)
			cw_list_engine(w, &w->engines[i], n->fleet);
	}
	*tick = (cw_check_t){.instance = n, .life = n->life};
	fake_at(&w->sim, now + (ap_usec_t)ap_rng_below(&w->sim.rng, 100000), cw_tick, w, tick);
}

static inline void cw_instance_stop(cw_instance_t *n)
{
	if (!n->up)
		return;
	n->up = false;
	ap_fleet_free(n->fleet);
	n->fleet = NULL;
}

/* One step of 20 ms: the requests that arrive. */
static inline void cw_step(void *arg, void *data)
{
	cw_t *w = arg;
	const struct {
		cw_kind_t kind;
		double rate;
	} loads[] = {{CW_SOUND, w->sound_rate},
		     {CW_SUBJECT, w->subject_rate},
		     {w->bad_kind, w->bad || w->ends > 0 ? w->bad_rate : 0},
		     {CW_PLAIN, w->plain_rate}};

	(void)data;
	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		double expected = loads[i].rate * 0.02;

		while (expected > 0 && ap_rng_unit(&w->sim.rng) < expected) {
			cw_request(w, loads[i].kind, 1);
			expected -= 1;
		}
	}
	fake_at(&w->sim, w->sim.now + 20 * AP_MSEC, cw_step, w, NULL);
}

static inline cw_t *cw_new(uint64_t seed, int per_region)
{
	cw_t *w = calloc(1, sizeof(*w));

	assert_non_null(w);
	w->requests = calloc(CW_IN_FLIGHT, sizeof(*w->requests));
	assert_non_null(w->requests);
	w->sim.now = WORLD_START;
	ap_rng_seed(&w->sim.rng, seed);
	w->per_region = per_region;
	w->sound_rate = 100;
	w->subject_rate = 3;
	w->bad_rate = 0.8;
	w->bad_kind = CW_BAD;
	w->ends_allowed = CW_ENDS_ALLOWED;
	for (int i = 0; i < CW_UPSTREAMS; i++) {
		cw_engine_t *e = &w->engines[i];

		*e = (cw_engine_t){.region = i / CW_ENGINES, .number = i % CW_ENGINES};
		if (!cw_is_engine(w, e))
			e->region = (i - CW_ALL_ENGINES) / CW_DESKS;
		cw_engine_start(w, &i);
	}
	for (int i = 0; i < per_region * CW_REGIONS; i++) {
		cw_instance_t *n = &w->instances[i];

		*n = (cw_instance_t){.w = w, .number = i, .region = i % CW_REGIONS};
		snprintf(n->id, sizeof(n->id), "n%d", i);
	}
	for (int i = 0; i < per_region * CW_REGIONS; i++)
		cw_instance_start(w, &i);
	fake_at(&w->sim, w->sim.now, cw_step, w, NULL);
	return w;
}

static inline void cw_free(cw_t *w)
{
	for (int i = 0; i < w->per_region * CW_REGIONS; i++)
		cw_instance_stop(&w->instances[i]);
	fake_sim_clear(&w->sim);
	free(w->requests);
	free(w);
}

#endif
