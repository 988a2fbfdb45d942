/*
 * Instances that lose their paths to all upstreams, while clients, the other instances and their
 * announcements still reach them. `--seeds N` plays N seeds a case, `--seed N` one, `--verbose 1`
 * prints its events.
 */
#include "path_world.h"

#include <stdlib.h>

#define RUN_TIME (90 * AP_SEC)
#define SEEDS 6

static unsigned long seeds = SEEDS;
static unsigned long one_seed;
static bool verbose;

/* Which instances a cut takes. */
typedef enum scope {
	SCOPE_SOME,   /* some of each region */
	SCOPE_REGION, /* all of one region */
	SCOPE_MOST,   /* all of one region, and most of another */
} scope_t;

/* What else happens on a day. */
enum {
	ALSO_RESTARTS = 1,
	ALSO_STORE_SILENT = 2,
};

typedef struct day {
	pw_t *pw;
	scope_t scope;
	unsigned broken; /* cuts during which the rule was broken */
	unsigned cuts;
} day_t;

static unsigned below(day_t *d, unsigned n)
{
	return (unsigned)ap_rng_below(&d->pw->cw->sim.rng, n);
}

static void at(day_t *d, ap_usec_t after, void (*run)(void *, void *))
{
	fake_at(&d->pw->cw->sim, d->pw->cw->sim.now + after, run, d, NULL);
}

/* Callers' first attempts at the instances that are cut off, against those at the others. */
static bool breaks_rule(const pw_t *pw)
{
	double cut = pw->cut.sent ? (double)pw->cut.served / pw->cut.sent : 1;
	double others = pw->others.sent ? (double)pw->others.served / pw->others.sent : 0;
	unsigned failed = pw->cut.sent - pw->cut.served;

	return cut < others * 2 / 3 && failed > 10 + (pw->cut.sent + pw->others.sent) / 50;
}

/* Requests that were sent before the end of a cut may still be served afterwards. */
static void judge(void *arg, void *data)
{
	day_t *d = arg;
	pw_t *pw = d->pw;

	(void)data;
	d->cuts++;
	d->broken += breaks_rule(pw);
	print_message("%.1f: cut off %u of %u, others %u of %u%s\n",
		      (double)(pw->cw->sim.now - WORLD_START) / 1e6, pw->cut.served, pw->cut.sent,
		      pw->others.served, pw->others.sent, breaks_rule(pw) ? " BROKEN" : "");
}

static void heal(void *arg, void *data)
{
	day_t *d = arg;
	pw_t *pw = d->pw;

	(void)data;
	cw_note(pw->cw, "paths are back", "");
	for (int i = 0; i < pw->cw->per_region * CW_REGIONS; i++)
		pw->cw->instances[i].cut = CW_CUT_NONE;
	pw->cut_at = 0;
	pw->healed_at = pw->cw->sim.now;
	at(d, 3 * AP_SEC, judge);
}

static bool takes(day_t *d, const cw_instance_t *n, int region)
{
	switch (d->scope) {
	case SCOPE_SOME:
		return n->number >= CW_REGIONS && below(d, 2) == 0;
	case SCOPE_REGION:
		return n->region == region;
	case SCOPE_MOST:
		return n->region == region ||
		       (n->region == (region + 1) % CW_REGIONS && n->number >= CW_REGIONS);
	}
	return false;
}

static void cut(void *arg, void *data)
{
	day_t *d = arg;
	pw_t *pw = d->pw;
	cw_cut_t how = 1 + (cw_cut_t)below(d, CW_CUTS - 1);
	int region = (int)below(d, CW_REGIONS);

	(void)data;
	pw->cut = pw->others = (pw_count_t){0};
	pw->cut_at = pw->cw->sim.now;
	for (int i = 0; i < pw->cw->per_region * CW_REGIONS; i++) {
		cw_instance_t *n = &pw->cw->instances[i];

		if (!takes(d, n, region))
			continue;
		n->cut = how;
		cw_note(pw->cw, how == CW_CUT_HANG ? "paths hang at" : "paths are refused at",
			n->id);
	}
	at(d, 14 * AP_SEC, heal);
	at(d, 28 * AP_SEC, cut);
}

static void restart(void *arg, void *data)
{
	day_t *d = arg;
	cw_t *w = d->pw->cw;
	int i = (int)below(d, (unsigned)w->per_region * CW_REGIONS);

	(void)data;
	cw_note(w, "restart", w->instances[i].id);
	cw_instance_stop(&w->instances[i]);
	cw_instance_start(w, &i);
	at(d, AP_SEC + below(d, 4) * AP_SEC, restart);
}

/* Plays a day. Return: during how many of its cuts the rule was broken. */
static unsigned play(uint64_t seed, int per_region, scope_t scope, int also)
{
	day_t d = {.pw = pw_new(seed, per_region), .scope = scope};
	unsigned suspects = 0;

	d.pw->cw->verbose = verbose;
	d.pw->cw->store_silent = also & ALSO_STORE_SILENT;
	print_message("seed %llu, %d instances a region\n", (unsigned long long)seed, per_region);
	at(&d, 6 * AP_SEC, cut);
	if (also & ALSO_RESTARTS)
		at(&d, 3 * AP_SEC, restart);
	fake_run(&d.pw->cw->sim, d.pw->cw->sim.now + RUN_TIME);
	assert_true(d.cuts >= 2);
	/* What was learnt of paths has ended, and no request is held back for it. */
	for (int i = 0; i < per_region * CW_REGIONS; i++)
		suspects += ap_fleet_stats(d.pw->cw->instances[i].fleet, d.pw->cw->sim.now)
				    .suspect_requests;
	assert_int_equal(suspects, 0);
	assert_int_equal(d.pw->late_relays, 0);
	pw_free(d.pw);
	return d.broken;
}

static void play_seeds(scope_t scope, int also)
{
	unsigned broken = 0;

	for (uint64_t seed = 1; !one_seed && seed <= seeds; seed++)
		broken += play(seed, seed % 3 == 0 ? 7 : 3, scope, also);
	if (one_seed)
		broken = play(one_seed, one_seed % 3 == 0 ? 7 : 3, scope, also);
	assert_int_equal(broken, 0);
}

/*
 * Some instances of each region are cut off from all upstreams. Guards against callers there who
 * are served far worse than those of the others: 194 of 528 first attempts (incident of 2026-12-04,
 * RECOVER).
 */
static void callers_of_instances_without_paths_are_served(void **state)
{
	(void)state;
	play_seeds(SCOPE_SOME, 0);
}

/* Likewise if all instances of a region are cut off: 46 of 166 first attempts. */
static void callers_of_a_region_without_paths_are_served(void **state)
{
	(void)state;
	play_seeds(SCOPE_REGION, 0);
	play_seeds(SCOPE_MOST, 0);
}

/* Likewise with restarts, after which an instance knows nothing of paths. */
static void callers_of_instances_without_paths_are_served_over_restarts(void **state)
{
	(void)state;
	play_seeds(SCOPE_SOME, ALSO_RESTARTS);
	play_seeds(SCOPE_REGION, ALSO_RESTARTS);
}

/* Likewise while the store is silent, so that upstreams are asked whether they are cold. */
static void callers_of_instances_without_paths_are_served_without_the_store(void **state)
{
	(void)state;
	play_seeds(SCOPE_SOME, ALSO_STORE_SILENT | ALSO_RESTARTS);
	play_seeds(SCOPE_REGION, ALSO_STORE_SILENT);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(callers_of_instances_without_paths_are_served),
		cmocka_unit_test(callers_of_a_region_without_paths_are_served),
		cmocka_unit_test(callers_of_instances_without_paths_are_served_over_restarts),
		cmocka_unit_test(callers_of_instances_without_paths_are_served_without_the_store),
	};

	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--seed") == 0)
			one_seed = strtoul(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--seeds") == 0)
			seeds = strtoul(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--verbose") == 0)
			verbose = atoi(argv[i + 1]) > 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
