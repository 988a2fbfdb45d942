/* Random faults of a region: evacuations, restarts, cut-off instances, upstreams, the store. */
#ifndef AP_TEST_REGION_FAULTS_H
#define AP_TEST_REGION_FAULTS_H

#include "region_world.h"

#define WARMUP_TIME (8 * AP_SEC)
#define RUN_TIME (40 * AP_SEC)
#define SEEDS 12
#define WAITING_REQUESTS 20 /* of one second, for an instance that wakes */

/* Kinds of faults. */
enum {
	FAULT_EVACUATE = 1,
	FAULT_RESTORE = 2,
	FAULT_RESTART = 4,
	FAULT_CUT = 8,
	FAULT_REPLACE = 16,
	FAULT_ALONE = 32,
	FAULT_LEAVE = 64,
	FAULT_FREEZE = 128,
	FAULT_AWAY = 256,
};

static unsigned long one_seed;
static int one_faults;
static bool verbose;

typedef struct fault {
	sw_t *w;
	int target;
	ap_usec_t age;
	bool cold;
} fault_t;

static inline void note(const sw_t *w, const char *what, int target)
{
	if (verbose)
		print_message("%.3f %s %d\n", (double)w->sim.now / 1e6, what, target);
}

static inline void later(sw_t *w, ap_usec_t after, void (*run)(void *, void *),
			 const fault_t *fault)
{
	fault_t *f = malloc(sizeof(*f));

	assert_non_null(f);
	*f = *fault;
	fake_at(&w->sim, w->sim.now + after, run, NULL, f);
}

static inline ap_usec_t between(sw_t *w, ap_usec_t min, ap_usec_t max)
{
	return min + (ap_usec_t)ap_rng_below(&w->sim.rng, (uint64_t)(max - min));
}

static inline void evacuate_end(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;

	(void)arg;
	note(w, f->cold ? "evacuation ends, cold" : "evacuation ends, warm", f->target);
	for (int i = 0; i < SW_REPLICAS; i++) {
		sw_replica_t *r = &w->replicas[i];

		if (r->up && r->centre == f->target && f->cold)
			r->cold_until = w->sim.now + world_engines.warmup;
	}
	sw_evacuate(w, f->target, false);
}

static inline void evacuate(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;

	(void)arg;
	if (w->evacuated[0] || w->evacuated[1])
		return;
	note(w, "evacuation", f->target);
	sw_evacuate(w, f->target, true);
	f->cold = ap_rng_below(&w->sim.rng, 3) > 0;
	later(w, between(w, 3 * AP_SEC, 8 * AP_SEC), evacuate_end, f);
}

static inline void restore_end(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;

	(void)arg;
	note(w, "the store returns as a copy", (int)(f->age / AP_MSEC));
	w->slow = 0;
	sw_return(w, f->age);
}

static inline void restore(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;

	(void)arg;
	if (w->away)
		return;
	note(w, "the store is unreachable", 0);
	w->away = true;
	w->slow = between(w, 0, 600 * AP_MSEC); /* some responses arrive after the return */
	f->age = between(w, AP_SEC, 6 * AP_SEC);
	later(w, between(w, 100 * AP_MSEC, 1500 * AP_MSEC), restore_end, f);
}

static inline void restart_end(void *arg, void *data)
{
	fault_t *f = data;

	(void)arg;
	note(f->w, "start", f->target);
	sw_start(&f->w->instances[f->target]);
}

/* Kills one instance, or about half of them. */
static inline void restart(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;
	bool herd = ap_rng_below(&w->sim.rng, 3) == 0;
	ap_usec_t back = between(w, 500 * AP_MSEC, 2 * AP_SEC);

	(void)arg;
	for (int i = 0; i < SW_INSTANCES; i++) {
		if (!w->instances[i].up ||
		    (herd ? ap_rng_below(&w->sim.rng, 2) > 0 : i != f->target))
			continue;
		note(w, "kill", i);
		sw_stop(&w->instances[i]);
		later(w, back, restart_end, &(fault_t){.w = w, .target = i});
	}
}

static inline void cut_end(void *arg, void *data)
{
	fault_t *f = data;

	(void)arg;
	note(f->w, "cut ends", f->target);
	f->w->instances[f->target].cut = false;
	f->w->instances[f->target].alone = false;
}

/* Cuts an instance off from the store. */
static inline void cut(void *arg, void *data)
{
	fault_t *f = data;
	sw_instance_t *n = &f->w->instances[f->target];

	(void)arg;
	n->cut = true;
	note(f->w, "cut off from the store", f->target);
	later(f->w, between(f->w, 2 * AP_SEC, 6 * AP_SEC), cut_end, f);
}

/* Cuts an instance off from the store and from all other instances. */
static inline void isolate(void *arg, void *data)
{
	fault_t *f = data;

	note(f->w, "cut off from the other instances", f->target);
	f->w->instances[f->target].alone = true;
	cut(arg, data);
}

static inline void replace_end(void *arg, void *data)
{
	fault_t *f = data;

	(void)arg;
	note(f->w, "upstream starts", f->target);
	sw_replica_start(&f->w->replicas[f->target], f->w, true);
}

static inline void replace(void *arg, void *data)
{
	fault_t *f = data;
	sw_replica_t *r = &f->w->replicas[f->target % SW_REPLICAS];

	(void)arg;
	if (!r->up)
		return;
	f->target = r->number;
	note(f->w, "upstream crashes", f->target);
	sw_replica_crash(r);
	later(f->w, between(f->w, AP_SEC, 4 * AP_SEC), replace_end, f);
}

/* An instance that wakes reads the requests that wait before its timers fire. */
static inline void freeze_end(void *arg, void *data)
{
	fault_t *f = data;
	sw_instance_t *n = &f->w->instances[f->target];

	(void)arg;
	note(f->w, "wakes", f->target);
	n->frozen = false;
	n->cut = false;
	n->alone = false;
	for (int i = 0; n->up && i < WAITING_REQUESTS; i++)
		sw_request(n);
}

/* Freezes about a third of the instances; what is sent to them meanwhile is lost. */
static inline void freeze(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;
	ap_usec_t span = between(w, 2 * AP_SEC, 8 * AP_SEC);

	(void)arg;
	for (int i = 0; i < SW_INSTANCES; i++) {
		sw_instance_t *n = &w->instances[i];

		if (!n->up || n->frozen || n->cut || ap_rng_below(&w->sim.rng, 3) > 0)
			continue;
		note(w, "freezes", i);
		n->frozen = true;
		n->cut = true;
		n->alone = true;
		later(w, span, freeze_end, &(fault_t){.w = w, .target = i});
	}
}

/* The record is removed after the heartbeats have ended, and a new upstream starts. */
static inline void leave_end(void *arg, void *data)
{
	fault_t *f = data;
	sw_replica_t *r = &f->w->replicas[f->target];

	(void)arg;
	note(f->w, "upstream has left", f->target);
	sw_replica_crash(r);
	later(f->w, AP_SEC, replace_end, f);
}

/* An upstream leaves; it may report so to the store, too. */
static inline void leave(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;
	sw_replica_t *r = &w->replicas[f->target % SW_REPLICAS];

	(void)arg;
	if (!r->up || r->leaving)
		return;
	f->target = r->number;
	note(w, "upstream says that it leaves", f->target);
	r->leaving = true;
	r->silent = ap_rng_below(&w->sim.rng, 2) > 0;
	later(w, between(w, 6 * AP_SEC, 14 * AP_SEC), leave_end, f);
}

static inline void away_end(void *arg, void *data)
{
	fault_t *f = data;

	(void)arg;
	note(f->w, "the store is back", 0);
	f->w->away = false;
}

/* The upstreams of a data centre are cold from now on; their records can't say so. */
static inline void turn_cold(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;

	(void)arg;
	for (int i = 0; i < SW_REPLICAS; i++) {
		if (w->evacuated[w->replicas[i].centre] || w->sim.now < w->replicas[i].cold_until)
			return;
	}
	note(w, "upstreams are cold", f->target);
	for (int i = 0; i < SW_REPLICAS; i++) {
		sw_replica_t *r = &w->replicas[i];

		if (r->up && r->centre == f->target)
			r->cold_until = w->sim.now + world_engines.warmup;
	}
}

/* The store is unreachable for all; a data centre turns cold and is to be evacuated meanwhile. */
static inline void away(void *arg, void *data)
{
	fault_t *f = data;
	sw_t *w = f->w;
	ap_usec_t span = between(w, 5 * AP_SEC, 8 * AP_SEC);
	ap_usec_t cold = between(w, 2500 * AP_MSEC, span);

	(void)arg;
	if (w->away)
		return;
	note(w, "the store is unreachable", 0);
	w->away = true;
	f->target %= SW_CENTRES;
	later(w, span, away_end, &(fault_t){.w = w});
	later(w, cold, turn_cold, f);
	later(w, cold + 150 * AP_MSEC, evacuate, f);
}

static inline void schedule(sw_t *w, int faults)
{
	static const struct {
		int kind;
		ap_usec_t every;
		void (*run)(void *, void *);
	} kinds[] = {
		{FAULT_EVACUATE, 6 * AP_SEC, evacuate}, {FAULT_RESTORE, 8 * AP_SEC, restore},
		{FAULT_RESTART, 5 * AP_SEC, restart},	{FAULT_CUT, 4 * AP_SEC, cut},
		{FAULT_REPLACE, 5 * AP_SEC, replace},	{FAULT_ALONE, 6 * AP_SEC, isolate},
		{FAULT_LEAVE, 6 * AP_SEC, leave},	{FAULT_FREEZE, 6 * AP_SEC, freeze},
		{FAULT_AWAY, 12 * AP_SEC, away},
	};

	for (size_t k = 0; k < sizeof(kinds) / sizeof(kinds[0]); k++) {
		ap_usec_t at = WARMUP_TIME;

		/* Seeds from before these kinds keep their days. */
		if (kinds[k].kind > FAULT_ALONE && !(faults & kinds[k].kind))
			continue;
		while (at < WARMUP_TIME + RUN_TIME) {
			fault_t f = {.w = w};

			at += between(w, kinds[k].every / 2, kinds[k].every * 3 / 2);
			f.target = (int)ap_rng_below(&w->sim.rng, SW_INSTANCES);
			if (kinds[k].run == evacuate)
				f.target %= SW_CENTRES;
			if (faults & kinds[k].kind)
				later(w, at, kinds[k].run, &f);
		}
	}
}

static inline void read_options(int argc, char **argv)
{
	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--seed") == 0)
			one_seed = strtoul(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--faults") == 0)
			one_faults = (int)strtoul(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--verbose") == 0)
			verbose = atoi(argv[i + 1]) > 0;
	}
}

#endif
