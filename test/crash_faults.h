/* Random faults of crash_world.h besides the bad requests, and the options of its tests. */
#ifndef AP_TEST_CRASH_FAULTS_H
#define AP_TEST_CRASH_FAULTS_H

#include "crash_instances.h"

#define BAD_FROM (8 * AP_SEC)
#define BAD_TIME (22 * AP_SEC)
#define RUN_TIME (45 * AP_SEC)

enum {
	FAULT_RESTART = 1, /* of one instance, or of about half */
	FAULT_ALONE = 2,   /* an instance is cut off from the others */
	FAULT_CRASH = 4,   /* an engine ends on its own */
	FAULT_MASS = 8,	   /* all but one engine of a region end at once */
	FAULT_GREY = 16,   /* some engines break off responses without ending */
	FAULT_FLAP = 32,   /* one engine in six ends again and again */
};

static unsigned long one_seed;
static int one_faults = -1;
static bool verbose;
static uint64_t seeds = 12;

typedef struct fault {
	int target;
	void (*again)(cw_t *w, int target);
	ap_usec_t every;
} fault_t;

static inline void on_start(void *arg, void *data)
{
	cw_instance_start(arg, data);
}

static inline void restart_one(cw_t *w, cw_instance_t *n)
{
	int *later = malloc(sizeof(*later));

	assert_non_null(later);
	*later = n->number;
	cw_note(w, "instance is killed", n->id);
	cw_instance_stop(n);
	fake_at(&w->sim, w->sim.now + AP_SEC, on_start, w, later);
}

static inline void restart(cw_t *w, int target)
{
	bool herd = ap_rng_below(&w->sim.rng, 4) == 0;

	for (int i = 0; i < w->per_region * CW_REGIONS; i++) {
		if (w->instances[i].up && (herd ? ap_rng_below(&w->sim.rng, 2) > 0 : i == target))
			restart_one(w, &w->instances[i]);
	}
}

static inline void on_cut_end(void *arg, void *data)
{
	cw_t *w = arg;
	cw_instance_t *n = &w->instances[*(int *)data];

	n->alone = false;
	n->disturbed_at = w->sim.now;
}

static inline void isolate(cw_t *w, int target)
{
	int *who = malloc(sizeof(*who));

	assert_non_null(who);
	*who = target;
	cw_note(w, "instance is cut off", w->instances[target].id);
	w->instances[target].alone = true;
	fake_at(&w->sim, w->sim.now + 4 * AP_SEC, on_cut_end, w, who);
}

static inline void crash(cw_t *w, int target)
{
	cw_engine_t *e = &w->engines[target % CW_ALL_ENGINES];

	if (e->up)
		cw_crash(w, e);
}

static inline void crash_region(cw_t *w, int target)
{
	for (int i = 1; i < CW_ENGINES; i++)
		crash(w, target % CW_REGIONS * CW_ENGINES + i);
}

static inline void turn_grey(cw_t *w, int target)
{
	cw_engine_t *e = &w->engines[target % CW_ALL_ENGINES];

	e->grey = !e->grey;
}

static inline void flap(cw_t *w, int target)
{
	(void)target;
	for (int i = 0; i < CW_ALL_ENGINES; i += 6)
		crash(w, i);
}

static inline void on_fault(void *arg, void *data)
{
	cw_t *w = arg;
	fault_t *f = data;
	fault_t *next = malloc(sizeof(*next));

	assert_non_null(next);
	*next = *f;
	f->again(w, f->target);
	next->target = (int)ap_rng_below(&w->sim.rng, (uint64_t)w->per_region * CW_REGIONS);
	fake_at(&w->sim, w->sim.now + f->every / 2 + (ap_usec_t)ap_rng_below(&w->sim.rng, f->every),
		on_fault, w, next);
}

static inline void schedule(cw_t *w, int faults)
{
	static const fault_t kinds[] = {
		{0, restart, 5 * AP_SEC},      {0, isolate, 6 * AP_SEC},
		{0, crash, 3 * AP_SEC},	       {0, crash_region, 10 * AP_SEC},
		{0, turn_grey, 500 * AP_MSEC}, {0, flap, 5 * AP_SEC},
	};

	for (size_t k = 0; k < sizeof(kinds) / sizeof(kinds[0]); k++) {
		fault_t *f = malloc(sizeof(*f));

		assert_non_null(f);
		*f = kinds[k];
		f->target = (int)k;
		if (faults & 1 << k)
			fake_at(&w->sim, w->sim.now + f->every, on_fault, w, f);
		else
			free(f);
	}
}

static inline void on_bad(void *arg, void *data)
{
	cw_t *w = arg;

	(void)data;
	w->bad = !w->bad;
	w->bad_until = w->bad ? 0 : w->sim.now;
	cw_note(w, w->bad ? "bad requests crash upstreams" : "bad requests crash nothing", "");
}

static inline cw_t *begin(uint64_t seed, int faults, int per_region)
{
	cw_t *w = cw_new(seed, per_region);

	w->verbose = verbose;
	schedule(w, faults);
	return w;
}

/* Plays a day with bad requests, and frees the world. Return: whether all bounds held. */
static inline bool play_day(cw_t *w, uint64_t seed, int faults)
{
	double calm;
	double troubled;
	bool ok;

	fake_at(&w->sim, w->sim.now + BAD_FROM, on_bad, w, NULL);
	fake_at(&w->sim, w->sim.now + BAD_FROM + BAD_TIME, on_bad, w, NULL);
	fake_run(&w->sim, WORLD_START + RUN_TIME);
	calm = (double)w->calm.begun / (w->calm.sent ? w->calm.sent : 1);
	troubled = (double)w->troubled.begun / (w->troubled.sent ? w->troubled.sent : 1);
	print_message("seed %llu, faults %d: %u ends, %u sends after the bound; sound ones begun "
		      "%.2f of %u, before %.2f; %u refused\n",
		      (unsigned long long)seed, faults, w->ends, w->sends_after, troubled,
		      w->troubled.sent, calm, w->sound_refused);
	ok = w->ends > 0 && w->sends_after <= CW_SENDS_ALLOWED && w->sound_refused == 0 &&
	     (faults != 0 || w->troubled.sent < 20 || 2 * troubled >= calm);
	cw_free(w);
	return ok;
}

static inline void read_options(int argc, char **argv)
{
	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--seed") == 0)
			one_seed = strtoul(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--faults") == 0)
			one_faults = (int)strtol(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--seeds") == 0)
			seeds = strtoul(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--verbose") == 0)
			verbose = atoi(argv[i + 1]) > 0;
	}
}

#endif
