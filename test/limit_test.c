/* Admission by class and deadline, shared caller limits and the retry budget. */
#include "fleet.h"

#include "limit/limit.h"

#define T0 (1000 * AP_SEC)
#define TOKENS 64

typedef enum seen {
	SEEN_NOTHING,
	SEEN_READY,
	SEEN_SHED,
} seen_t;

typedef struct world {
	violations_t broken; /* first, since count_violation() gets the world as its context */
	seen_t seen[TOKENS];
	ap_usec_t retry_after;
	ap_admission_t *a;
} world_t;

static void on_ready(void *ctx, uint64_t token)
{
	((world_t *)ctx)->seen[token] = SEEN_READY;
}

static void on_shed(void *ctx, uint64_t token, ap_usec_t retry_after)
{
	world_t *w = ctx;

	w->seen[token] = SEEN_SHED;
	w->retry_after = retry_after;
}

static int setup(void **state)
{
	world_t *w = calloc(1, sizeof(*w));
	ap_admission_config_t config = {
		.queue_max = 4,
		.env = {.ctx = w, .violated = count_violation},
		.ready = on_ready,
		.shed = on_shed,
	};

	w->a = ap_admission_new(&config);
	ap_admission_set_capacity(w->a, 1, T0);
	*state = w;
	return 0;
}

static int teardown(void **state)
{
	world_t *w = *state;

	for (int i = 0; i <= AP_INV_BOUNDS; i++)
		assert_int_equal(w->broken.count[i], 0);
	ap_admission_free(w->a);
	free(w);
	return 0;
}

static ap_admission_request_t request_of(uint64_t token, ap_class_t cls)
{
	ap_admission_request_t req = {
		.token = token,
		.cls = cls,
		.deadline = T0 + 60 * AP_SEC,
		.expected = 100 * AP_MSEC,
		.share = 1,
	};

	return req;
}

static ap_admission_decision_t admit(world_t *w, ap_admission_request_t a, ap_usec_t now)
{
	return ap_admission_admit(w->a, &a, now, &w->retry_after);
}

static void test_classes_start_in_order(void **state)
{
	world_t *w = *state;
	ap_admission_request_t forwarded = request_of(3, AP_CLASS_RESERVATION);
	ap_admission_request_t bound = request_of(4, AP_CLASS_RESERVATION);
	static const uint64_t order[] = {4, 3, 2, 1};

	forwarded.forwarded = true;
	bound.home_bound = true;
	assert_int_equal(admit(w, request_of(0, AP_CLASS_LONG), T0), AP_ADMIT_NOW);
	assert_int_equal(admit(w, request_of(1, AP_CLASS_LONG), T0), AP_ADMIT_QUEUE);
	assert_int_equal(admit(w, request_of(2, AP_CLASS_SHORT), T0), AP_ADMIT_QUEUE);
	assert_int_equal(admit(w, forwarded, T0), AP_ADMIT_QUEUE);
	assert_int_equal(admit(w, bound, T0), AP_ADMIT_QUEUE);
	ap_admission_done(w->a, 0, T0);
	for (size_t i = 0; i < 4; i++) {
		for (size_t j = 0; j < 4; j++)
			assert_int_equal(w->seen[order[j]], j <= i ? SEEN_READY : SEEN_NOTHING);
		ap_admission_done(w->a, order[i], T0);
	}
}

static void test_lowest_class_is_shed_first(void **state)
{
	world_t *w = *state;

	admit(w, request_of(0, AP_CLASS_LONG), T0);
	for (uint64_t i = 1; i <= 4; i++)
		assert_int_equal(
			admit(w, request_of(i, i % 2 ? AP_CLASS_LONG : AP_CLASS_SHORT), T0),
			AP_ADMIT_QUEUE);
	assert_int_equal(admit(w, request_of(5, AP_CLASS_LONG), T0), AP_ADMIT_SHED);
	assert_true(w->retry_after >= AP_SEC);
	assert_int_equal(admit(w, request_of(6, AP_CLASS_RESERVATION), T0), AP_ADMIT_QUEUE);
	assert_int_equal(w->seen[3], SEEN_SHED);
	assert_int_equal(admit(w, request_of(7, AP_CLASS_RESERVATION), T0), AP_ADMIT_QUEUE);
	assert_int_equal(w->seen[1], SEEN_SHED);
	assert_int_equal(admit(w, request_of(8, AP_CLASS_SHORT), T0), AP_ADMIT_SHED);
	assert_int_equal(w->seen[2], SEEN_NOTHING);
}

static void test_late_requests_are_shed_at_once(void **state)
{
	world_t *w = *state;
	ap_admission_request_t late = request_of(1, AP_CLASS_SHORT);

	admit(w, request_of(0, AP_CLASS_LONG), T0);
	late.deadline = T0 + 50 * AP_MSEC;
	assert_int_equal(admit(w, late, T0), AP_ADMIT_SHED);
	late.deadline = T0 + 5 * AP_SEC;
	assert_int_equal(admit(w, late, T0), AP_ADMIT_QUEUE);
	ap_admission_tick(w->a, T0 + 4800 * AP_MSEC);
	assert_int_equal(w->seen[1], SEEN_NOTHING);
	ap_admission_tick(w->a, T0 + 4950 * AP_MSEC);
	assert_int_equal(w->seen[1], SEEN_SHED);
	assert_true(w->retry_after >= AP_SEC);
}

static void test_slots_are_reserved_for_higher_classes(void **state)
{
	world_t *w = *state;
	unsigned admitted[AP_CLASS_COUNT] = {0};
	uint64_t token = 0;

	ap_admission_set_capacity(w->a, 20, T0);
	for (int c = AP_CLASS_LONG; c >= AP_CLASS_RESERVATION; c--)
		while (admit(w, request_of(token++, c), T0) == AP_ADMIT_NOW)
			admitted[c]++;
	assert_true(admitted[AP_CLASS_SHORT] > 0);
	assert_true(admitted[AP_CLASS_RESERVATION] > 0);
	assert_int_equal(admitted[0] + admitted[1] + admitted[2], 20);
}

/*
 * Requests of a lower class that still run after the capacity was reduced don't take the slots
 * that are reserved for higher classes.
 */
static void test_reserved_slots_survive_a_capacity_cut(void **state)
{
	static const struct {
		ap_class_t cls;
		ap_admission_decision_t admit;
	} cases[] = {
		{AP_CLASS_LONG, AP_ADMIT_QUEUE},	{AP_CLASS_RESERVATION, AP_ADMIT_NOW},
		{AP_CLASS_RESERVATION, AP_ADMIT_QUEUE}, {AP_CLASS_SHORT, AP_ADMIT_NOW},
		{AP_CLASS_SHORT, AP_ADMIT_QUEUE},
	};
	world_t *w = *state;
	uint64_t token = 0;

	ap_admission_set_capacity(w->a, 40, T0);
	while (admit(w, request_of(token++, AP_CLASS_LONG), T0) == AP_ADMIT_NOW)
		;
	ap_admission_cancel(w->a, token - 1, T0);
	ap_admission_set_capacity(w->a, 10, T0);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(admit(w, request_of(token++, cases[i].cls), T0), cases[i].admit);
}

static void test_cancel_frees_the_place_in_the_queue(void **state)
{
	world_t *w = *state;

	admit(w, request_of(0, AP_CLASS_LONG), T0);
	assert_int_equal(admit(w, request_of(1, AP_CLASS_SHORT), T0), AP_ADMIT_QUEUE);
	ap_admission_cancel(w->a, 1, T0);
	ap_admission_done(w->a, 0, T0);
	assert_int_equal(w->seen[1], SEEN_NOTHING);
	assert_int_equal(admit(w, request_of(2, AP_CLASS_LONG), T0), AP_ADMIT_NOW);
}

/* An entry admits its share of the caller's rate, so that all entries together admit the rate. */
static void test_callers_rate_is_shared(void **state)
{
	world_t *w = *state;
	ap_caller_t caller = {.name = "crew", .rate = 100, .burst = 10, .concurrent = 1000};
	unsigned admitted = 0;

	ap_admission_set_capacity(w->a, SIZE_MAX, T0);
	for (int i = 0; i < 10000; i++) {
		ap_usec_t now = T0 + i * AP_MSEC;
		ap_admission_request_t a = request_of(1, AP_CLASS_SHORT);

		a.caller = &caller;
		a.share = 0.25;
		if (admit(w, a, now) != AP_ADMIT_NOW)
			continue;
		admitted++;
		ap_admission_done(w->a, 1, now);
	}
	assert_in_range(admitted, 245, 260);
	assert_true(w->retry_after > 0);
}

static void test_callers_concurrency_is_shared(void **state)
{
	world_t *w = *state;
	ap_caller_t caller = {.name = "crew", .rate = 1000, .burst = 1000, .concurrent = 8};

	ap_admission_set_capacity(w->a, SIZE_MAX, T0);
	for (uint64_t i = 0; i < 4; i++) {
		ap_admission_request_t a = request_of(i, AP_CLASS_SHORT);

		a.caller = &caller;
		a.share = 0.25;
		assert_int_equal(admit(w, a, T0), i < 2 ? AP_ADMIT_NOW : AP_ADMIT_OVER_LIMIT);
	}
}

static void test_retry_budget(void **state)
{
	world_t *w = *state;
	ap_env_t env = {.ctx = w, .violated = count_violation};
	ap_retry_budget_t *b = ap_retry_budget_new(0.1, &env);
	unsigned retries = 0;

	for (int i = 0; i < 10000; i++) {
		ap_usec_t now = T0 + i * AP_MSEC;

		ap_retry_budget_request(b, now);
		while (ap_retry_budget_take(b, now, now + AP_SEC, 100 * AP_MSEC))
			retries++;
	}
	assert_in_range(retries, 900, 1001);
	assert_false(ap_retry_budget_take(b, T0, T0 + 50 * AP_MSEC, 100 * AP_MSEC));
	ap_retry_budget_free(b);
}

/* Requests lost on silent connections are retried at once until the reserve is used up. */
static void test_reserve_for_silent_connections(void **state)
{
	static const struct {
		int requests; /* one every 125 ms, all successful */
		int lost;     /* then so many are lost at once, */
		unsigned min; /* and from min to max of them are retried */
		unsigned max;
	} steps[] = {
		{0, 1000, 150, 150},
		{8, 1000, 0, 1},
		{800, 1000, 60, 80}, /* 100 s at one instance's share of the design load */
		{8000, 1000, 150, 150},
	};
	world_t *w = *state;
	ap_env_t env = {.ctx = w, .violated = count_violation};
	ap_retry_budget_t *b = ap_retry_budget_new(0.1, &env);
	ap_usec_t now = T0;

	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		unsigned retried = 0;

		for (int k = 0; k < steps[i].requests; k++, now += 125 * AP_MSEC)
			ap_retry_budget_request(b, now);
		assert_false(ap_retry_budget_take_reserve(b, now, now + AP_MSEC, AP_SEC));
		for (int k = 0; k < steps[i].lost; k++) {
			if (!ap_retry_budget_take_reserve(b, now, now + AP_SEC, AP_MSEC))
				continue;
			ap_retry_budget_retried(b);
			retried++;
		}
		assert_in_range(retried, steps[i].min, steps[i].max);
	}
	ap_retry_budget_free(b);
}

/*
 * Half of all requests are lost on silent connections for more than an hour, as with an upstream
 * that is slow but not down.
 */
static void test_lasting_silence_stays_within_the_budget(void **state)
{
	world_t *w = *state;
	ap_env_t env = {.ctx = w, .violated = count_violation};
	ap_retry_budget_t *b = ap_retry_budget_new(0.1, &env);
	unsigned retries = 0;

	for (int i = 0; i < 40000; i++) {
		ap_usec_t now = T0 + i * 125 * AP_MSEC;

		ap_retry_budget_request(b, now);
		if (i % 2 || (!ap_retry_budget_take_reserve(b, now, now + AP_SEC, AP_MSEC) &&
			      !ap_retry_budget_take(b, now, now + AP_SEC, AP_MSEC)))
			continue;
		ap_retry_budget_retried(b);
		retries++;
	}
	assert_in_range(retries, 4000, 4151);
	ap_retry_budget_free(b);
}

static void admit_within_shed(void *ctx, uint64_t token, ap_usec_t retry_after)
{
	world_t *w = ctx;

	(void)token;
	(void)retry_after;
	if (!w->seen[63]++)
		admit(w, request_of(62, AP_CLASS_SHORT), T0);
}

/* Drivers that violate the contract: a retry without a grant, and an admission within shed(). */
static void test_violated_bounds_are_reported(void **state)
{
	world_t *w = *state;
	ap_env_t env = {.ctx = w, .violated = count_violation};
	ap_retry_budget_t *b = ap_retry_budget_new(0.1, &env);
	ap_admission_config_t config = {
		.queue_max = 1, .env = env, .ready = on_ready, .shed = admit_within_shed};
	ap_admission_t *kept = w->a;

	assert_true(ap_retry_budget_take(b, T0, T0 + AP_SEC, AP_MSEC));
	ap_retry_budget_retried(b);
	assert_int_equal(w->broken.count[AP_INV_BOUNDS], 0);
	ap_retry_budget_retried(b);
	assert_int_equal(w->broken.count[AP_INV_BOUNDS], 1);
	ap_retry_budget_free(b);

	w->a = ap_admission_new(&config);
	ap_admission_set_capacity(w->a, 1, T0);
	for (uint64_t i = 0; i < 2; i++)
		admit(w, request_of(i, AP_CLASS_LONG), T0);
	assert_int_equal(w->broken.count[AP_INV_BOUNDS], 1);
	admit(w, request_of(2, AP_CLASS_RESERVATION), T0);
	assert_int_equal(w->broken.count[AP_INV_BOUNDS], 2);
	ap_admission_free(w->a);
	w->a = kept;
	memset(&w->broken, 0, sizeof(w->broken));
}

#define WORLD_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WORLD_TEST(test_classes_start_in_order),
		WORLD_TEST(test_lowest_class_is_shed_first),
		WORLD_TEST(test_late_requests_are_shed_at_once),
		WORLD_TEST(test_slots_are_reserved_for_higher_classes),
		WORLD_TEST(test_reserved_slots_survive_a_capacity_cut),
		WORLD_TEST(test_cancel_frees_the_place_in_the_queue),
		WORLD_TEST(test_callers_rate_is_shared),
		WORLD_TEST(test_callers_concurrency_is_shared),
		WORLD_TEST(test_retry_budget),
		WORLD_TEST(test_reserve_for_silent_connections),
		WORLD_TEST(test_lasting_silence_stays_within_the_budget),
		WORLD_TEST(test_violated_bounds_are_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
