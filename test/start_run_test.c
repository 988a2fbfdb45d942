/*
 * A region of a hundred instances, of which most start at once while upstreams leave, and the store
 * is slow or away. The list has two pages. What an instance sends is bound by what it could know:
 * nothing to an upstream later than three seconds after its record was removed, or five more after
 * the store was away. Options as of cold_run_test.
 */
#define SW_INSTANCES 100
#include "region_faults.h"

#define KEPT 6	    /* instances that stay, among them those that are asked for a snapshot */
#define WITHDRAWN 4 /* upstreams */
#define PAGE (SW_INSTANCES + SW_REPLICAS / 2) /* the second page holds half of the upstreams */
#define STABLE_TIME (5 * AP_SEC)	      /* after the store was away */
#define AFTER (8 * AP_SEC)
#define START_SEEDS 3

static void withdraw(void *arg, void *data)
{
	fault_t *f = data;
	sw_replica_t *r = &f->w->replicas[f->target];

	(void)arg;
	if (f->w->away) {
		later(f->w, 50 * AP_MSEC, withdraw, f);
		return;
	}
	note(f->w, "upstream's record is removed", f->target);
	sw_replica_withdraw(f->w, r);
}

static void slow_end(void *arg, void *data)
{
	fault_t *f = data;

	(void)arg;
	note(f->w, "the store responds fast again", 0);
	f->w->slow = 0;
}

/* Restarts all but a few, @down or a little more after they ended. */
static void restart_most(sw_t *w, ap_usec_t down)
{
	for (int i = KEPT; i < SW_INSTANCES; i++) {
		sw_stop(&w->instances[i]);
		later(w, between(w, down, down + 300 * AP_MSEC), restart_end,
		      &(fault_t){.w = w, .target = i});
	}
}

static void withdraw_some(sw_t *w)
{
	for (int i = 0; i < WITHDRAWN; i++)
		later(w, between(w, 500 * AP_MSEC, 2500 * AP_MSEC), withdraw,
		      &(fault_t){.w = w, .target = 2 * i});
}

static sw_t *region(uint64_t seed)
{
	sw_t *w = sw_new(seed);

	w->verbose = verbose;
	w->request_every = 100 * AP_MSEC;
	w->seed_time = 60 * AP_MSEC;
	w->page = PAGE;
	fake_run(&w->sim, w->sim.now + WARMUP_TIME);
	return w;
}

/* Returns how many requests were sent too late. */
static unsigned play(uint64_t seed, ap_usec_t slow, ap_usec_t away)
{
	sw_t *w = region(seed);
	unsigned late;

	w->slow = slow;
	w->away = away > 0;
	later(w, 4 * AP_SEC, slow_end, &(fault_t){.w = w});
	if (w->away) {
		w->stable_at = w->sim.now + away + STABLE_TIME;
		later(w, away, away_end, &(fault_t){.w = w});
	}
	restart_most(w, 500 * AP_MSEC);
	withdraw_some(w);
	fake_run(&w->sim, w->sim.now + AFTER);
	if (w->stable_at > 0)
		fake_run(&w->sim, w->stable_at + SW_DRAIN_TIME + AP_SEC);
	late = w->sent_withdrawn;
	print_message("seed %llu, store slow by %d ms, away for %d ms: %u requests, %u upstreams "
		      "withdrawn, %u requests later than %d s after it\n",
		      (unsigned long long)seed, (int)(slow / AP_MSEC), (int)(away / AP_MSEC),
		      w->sent, w->withdrawn, late, (int)(SW_DRAIN_TIME / AP_SEC));
	assert_int_equal(w->withdrawn, WITHDRAWN);
	sw_free(w);
	return late;
}

static void play_seeds(ap_usec_t slow, ap_usec_t away)
{
	unsigned failed = 0;

	for (uint64_t seed = 1; seed <= START_SEEDS; seed++) {
		if (!one_seed || seed == one_seed)
			failed += play(seed, slow, away) > 0;
	}
	assert_int_equal(failed, 0);
}

static void instances_that_start_learn_what_left(void **state)
{
	(void)state;
	play_seeds(0, 0);
}

/*
 * Guards against a snapshot of another instance that arrives between two pages of the list, which
 * is newer: an upstream whose removal the first page reflects was sent requests again, and for
 * good.
 */
static void they_learn_it_from_a_slow_store(void **state)
{
	(void)state;
	play_seeds(200 * AP_MSEC, 0);
}

static void they_learn_it_from_a_store_that_was_away(void **state)
{
	(void)state;
	play_seeds(300 * AP_MSEC, 2 * AP_SEC);
}

/*
 * Guards against instances that start cut off from the store and stay with the snapshot that they
 * took: they ignored what others relayed, since they had read no list themselves.
 */
static void those_cut_off_from_the_store_learn_it_from_others(void **state)
{
	sw_t *w = region(one_seed ? one_seed : 1);

	(void)state;
	for (int i = SW_INSTANCES / 2; i < SW_INSTANCES; i++)
		w->instances[i].cut = true;
	restart_most(w, 500 * AP_MSEC);
	fake_run(&w->sim, w->sim.now + 2 * AP_SEC); /* by now each has its snapshot */
	withdraw_some(w);
	fake_run(&w->sim, w->sim.now + AFTER);
	for (int i = 0; i < SW_INSTANCES; i++)
		assert_true(w->instances[i].informed);
	print_message("%u requests, %u upstreams withdrawn, %u requests later than %d s after it\n",
		      w->sent, w->withdrawn, w->sent_withdrawn, (int)(SW_DRAIN_TIME / AP_SEC));
	assert_int_equal(w->withdrawn, WITHDRAWN);
	assert_int_equal(w->sent_withdrawn, 0);
	sw_free(w);
}

typedef struct named {
	unsigned answers;
	unsigned uninformed; /* instances named in them that had nothing to decide by */
} named_t;

/* Reads the directory at an instance, as callers do. */
static void read_directory(void *arg, void *data)
{
	named_t *named = arg;
	fault_t *f = data;
	sw_t *w = f->w;
	const sw_instance_t *n = &w->instances[ap_rng_below(&w->sim.rng, SW_INSTANCES)];
	const ap_member_t *members[SW_INSTANCES];
	bool fallback;
	size_t count = 0;

	if (n->up && n->informed)
		count = ap_fleet_directory(n->fleet, NULL, "", "north", members, SW_INSTANCES,
					   &fallback, w->sim.now);
	named->answers += count > 0;
	for (size_t i = 0; i < count; i++) {
		const sw_instance_t *m = &w->instances[atoi(members[i]->id + 1)];

		named->uninformed += m->up && !m->informed;
	}
	f = memcpy(malloc(sizeof(*f)), f, sizeof(*f));
	fake_at(&w->sim, w->sim.now + 10 * AP_MSEC, read_directory, named, f);
}

/*
 * An instance whose record is gone is named to callers once it has something to decide by. One that
 * restarts before its record expires is named all the while.
 */
static void the_directory_names_them_once_they_are_informed(void **state)
{
	sw_t *w = region(one_seed ? one_seed : 1);
	named_t named = {0};

	(void)state;
	restart_most(w, 5 * AP_SEC); /* their records are gone by then */
	fake_run(&w->sim, w->sim.now + 4900 * AP_MSEC);
	w->slow = 600 * AP_MSEC;
	fake_at(&w->sim, w->sim.now, read_directory, &named,
		memcpy(malloc(sizeof(fault_t)), &(fault_t){.w = w}, sizeof(fault_t)));
	fake_run(&w->sim, w->sim.now + 6 * AP_SEC);
	print_message("%u answers, %u instances named too early\n", named.answers,
		      named.uninformed);
	for (int i = 0; i < SW_INSTANCES; i++)
		assert_true(w->instances[i].informed);
	assert_true(named.answers > 300);
	assert_int_equal(named.uninformed, 0);
	sw_free(w);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(instances_that_start_learn_what_left),
		cmocka_unit_test(they_learn_it_from_a_slow_store),
		cmocka_unit_test(they_learn_it_from_a_store_that_was_away),
		cmocka_unit_test(those_cut_off_from_the_store_learn_it_from_others),
		cmocka_unit_test(the_directory_names_them_once_they_are_informed),
	};

	read_options(argc, argv);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
