/*
 * Instances of three regions that report customers' use to each other late, in virtual time.
 */
#ifndef AP_TEST_QUOTA_WORLD_H
#define AP_TEST_QUOTA_WORLD_H

#include "quota/quota.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REGIONS 3
#define INSTANCES_MAX 300
#define STEP (5 * AP_MSEC)
#define WINDOW_S 8
#define STEPS_S (AP_SEC / STEP)
#define DURATION_S 40
#define WARM_S 4
#define RATE 2271048.0
#define USUAL (RATE / 1.8)
#define OVER 0.1
#define SLACK 190000.0
#define REPORT_EVERY (500 * AP_MSEC)
#define WAITS_EVERY (500 * AP_MSEC)
#define SENDERS 3
#define CUSTOMERS 16
#define USES_MAX CUSTOMERS
#define REPORTS_MAX 512
#define BACK_MAX 4096
#define IN_REGION (100 * AP_MSEC) /* a relay sends its batch after at most this */
#define BETWEEN (160 * AP_MSEC)
#define DELIVER_EVERY (50 * AP_MSEC) /* what came since is read, so it takes longer still */

/* A report on its way to all instances that its sender sends it to. */
typedef struct report {
	ap_usec_t due;
	int from;
	ap_id_t inc;
	unsigned silent;
	size_t n;
	ap_quota_use_t uses[USES_MAX];
} report_t;

/* Reports that take the same time arrive in the order in which they were sent. */
typedef struct reports {
	report_t v[REPORTS_MAX];
	size_t first;
	size_t n;
} reports_t;

typedef struct instance {
	ap_quota_t *quota;
	uint64_t inc;
	bool cut;
	bool dead;
	ap_usec_t report_every;
	char name[AP_NAME_MAX];
} instance_t;

/* A refused request that comes back when it was told to. */
typedef struct back {
	ap_usec_t at;
	int instance;
	double cost;
} back_t;

typedef struct customer {
	ap_customer_t limits;
	double load;	   /* units per second of all */
	double until_next; /* arrivals, of an exponential distribution of mean 1 */
	double used[DURATION_S * STEPS_S];
	double asked;
	double refused;
} customer_t;

/**
 * struct world - instances, their customers and the reports on their way.
 * @mean: units of a request
 * @only: the instance that is asked; -1 for all alike
 * @lost: share of the reports that are lost on the way to each receiver
 * @come_back: refused requests come back once, @came of them so far and @fit of these admitted
 * @come_back_from: those that come earlier aren't counted
 * @came_at: how many come in each tenth of a second
 */
typedef struct world {
	int n;
	instance_t v[INSTANCES_MAX];
	customer_t c[CUSTOMERS];
	size_t n_customers;
	ap_rng_t rng;
	reports_t in_region;
	reports_t between;
	double mean;
	int only;
	double lost;
	bool come_back;
	back_t back[BACK_MAX];
	size_t n_back;
	ap_usec_t come_back_from;
	size_t came;
	size_t fit;
	size_t came_at[10 * DURATION_S];
} world_t;

static const ap_quota_config_t config = {.window = WINDOW_S * AP_SEC, .over = OVER, .slack = SLACK};
static const char *const regions[REGIONS] = {"region-0", "region-1", "region-2"};

static inline void know(world_t *w, int i, ap_usec_t now)
{
	unsigned counts[REGIONS] = {0};

	for (int k = 0; k < w->n; k++) {
		counts[k % REGIONS]++;
		if (k != i && k % REGIONS == i % REGIONS)
			ap_quota_set_source(w->v[i].quota, w->v[k].name, false, 1, now);
	}
	for (int r = 0; r < REGIONS; r++) {
		if (r != i % REGIONS)
			ap_quota_set_source(w->v[i].quota, regions[r], true, counts[r], now);
	}
	ap_quota_end_sources(w->v[i].quota, now);
}

static inline void set_limits(world_t *w, int i, ap_usec_t now)
{
	ap_customer_t limits[CUSTOMERS];

	for (size_t k = 0; k < w->n_customers; k++)
		limits[k] = w->c[k].limits;
	ap_quota_set_limits(w->v[i].quota, limits, w->n_customers, now);
}

static inline void start(world_t *w, int i, ap_usec_t now)
{
	ap_quota_free(w->v[i].quota);
	w->v[i].quota = ap_quota_new(&config);
	w->v[i].inc++;
	w->v[i].dead = false;
	know(w, i, now);
	set_limits(w, i, now);
}

/* All customers get the same @rate, a burst of one second of it, and the same @load. */
static inline world_t *world_of(int n, size_t n_customers, double rate, double load, double mean)
{
	world_t *w = calloc(1, sizeof(*w));

	w->n = n;
	w->n_customers = n_customers;
	w->mean = mean;
	w->only = -1;
	ap_rng_seed(&w->rng, 7);
	for (size_t k = 0; k < n_customers; k++) {
		customer_t *c = &w->c[k];

		c->limits = (ap_customer_t){.unit = AP_UNIT_TOKENS, .rate = rate, .burst = rate};
		snprintf(c->limits.name, sizeof(c->limits.name), "customer-%zu", k);
		c->load = load;
	}
	for (int i = 0; i < n; i++) {
		snprintf(w->v[i].name, sizeof(w->v[i].name), "i%d", i);
		w->v[i].report_every = REPORT_EVERY;
	}
	for (int i = 0; i < n; i++)
		start(w, i, AP_SEC);
	return w;
}

static inline world_t *world_new(int n, double load, double mean)
{
	return world_of(n, 1, RATE, load, mean);
}

static inline void world_free(world_t *w)
{
	for (int i = 0; i < w->n; i++)
		ap_quota_free(w->v[i].quota);
	free(w);
}

static inline void post(world_t *w, reports_t *q, int from, bool region, ap_usec_t due,
			ap_usec_t now)
{
	ap_quota_t *quota = w->v[from].quota;
	report_t *r = &q->v[(q->first + q->n++) % REPORTS_MAX];

	assert_true(q->n <= REPORTS_MAX);
	r->due = due;
	r->from = from;
	r->inc = (ap_id_t){.hi = w->v[from].inc, .lo = 1};
	r->silent = region ? ap_quota_silent(quota, now) : 0;
	r->n = ap_quota_report(quota, region, r->uses, USES_MAX, now);
}

static inline bool due_every(ap_usec_t every, int i, ap_usec_t now)
{
	return (now / STEP + i) % (every / STEP) == 0;
}

static inline void send_reports(world_t *w, int i, ap_usec_t now)
{
	if (w->v[i].dead)
		return;
	if (due_every(AP_SEC, i, now))
		know(w, i, now);
	if (w->v[i].cut)
		return;
	if (due_every(w->v[i].report_every, i, now))
		post(w, &w->in_region, i, false, now + IN_REGION, now);
	if (i / REGIONS < SENDERS && due_every(WAITS_EVERY, i, now))
		post(w, &w->between, i, true, now + BETWEEN, now);
}

static inline void hear(world_t *w, const report_t *r, bool region, int to, ap_usec_t now)
{
	const instance_t *from = &w->v[r->from];

	if (to == r->from || w->v[to].cut || w->v[to].dead ||
	    (to % REGIONS == r->from % REGIONS) == region ||
	    (w->lost > 0 && ap_rng_unit(&w->rng) < w->lost))
		return;
	ap_quota_heard(w->v[to].quota, region ? regions[r->from % REGIONS] : from->name, from->name,
		       r->inc, r->silent, r->uses, r->n, now);
}

/* By receiver, so that the state of one stays in the processor's cache. */
static inline void deliver(world_t *w, reports_t *q, bool region, ap_usec_t now)
{
	size_t n = 0;

	while (n < q->n && q->v[(q->first + n) % REPORTS_MAX].due <= now)
		n++;
	for (int to = 0; to < w->n; to++) {
		for (size_t k = 0; k < n; k++)
			hear(w, &q->v[(q->first + k) % REPORTS_MAX], region, to, now);
	}
	q->first = (q->first + n) % REPORTS_MAX;
	q->n -= n;
}

static inline bool ask(world_t *w, customer_t *c, int i, double cost, size_t step,
		       ap_usec_t *retry_after)
{
	ap_usec_t now = AP_SEC + (ap_usec_t)step * STEP;
	ap_quota_verdict_t v;

	if (ap_quota_take(w->v[i].quota, &c->limits, cost, now, &v)) {
		c->used[step] += cost;
		return true;
	}
	assert_true(v.retry_after > 0);
	*retry_after = v.retry_after;
	return false;
}

static inline void request(world_t *w, customer_t *c, size_t step)
{
	double cost = fmin(-w->mean * log(1 - ap_rng_unit(&w->rng)), 93000);
	bool counts = step >= WARM_S * STEPS_S;
	ap_usec_t retry_after;
	int i;

	do {
		i = w->only >= 0 ? w->only : (int)(ap_rng_unit(&w->rng) * w->n);
	} while (w->v[i].dead);
	c->asked += counts ? cost : 0;
	if (ask(w, c, i, cost, step, &retry_after))
		return;
	c->refused += counts ? cost : 0;
	if (w->come_back && w->n_back < BACK_MAX)
		w->back[w->n_back++] =
			(back_t){AP_SEC + (ap_usec_t)step * STEP + retry_after, i, cost};
}

static inline void arrivals(world_t *w, size_t step)
{
	for (size_t k = 0; k < w->n_customers; k++) {
		customer_t *c = &w->c[k];

		c->until_next -= c->load * (double)STEP / (double)AP_SEC / w->mean;
		while (c->until_next < 0) {
			request(w, c, step);
			c->until_next -= log(1 - ap_rng_unit(&w->rng));
		}
	}
}

static inline void come_back(world_t *w, size_t step, ap_usec_t now)
{
	ap_usec_t retry_after;
	bool fits;

	for (size_t k = 0; k < w->n_back; k++) {
		back_t b = w->back[k];

		if (b.at > now)
			continue;
		w->back[k--] = w->back[--w->n_back];
		fits = ask(w, &w->c[0], b.instance, b.cost, step, &retry_after);
		w->came_at[10 * step / STEPS_S]++;
		w->came += now >= w->come_back_from;
		w->fit += now >= w->come_back_from && fits;
	}
}

/* What changes during a run. */
typedef void (*act_t)(world_t *w, size_t step, ap_usec_t now);

static inline void play(world_t *w, act_t act)
{
	for (size_t step = 0; step < DURATION_S * STEPS_S; step++) {
		ap_usec_t now = AP_SEC + (ap_usec_t)step * STEP;

		if (act)
			act(w, step, now);
		if (now % DELIVER_EVERY == 0) {
			deliver(w, &w->in_region, false, now);
			deliver(w, &w->between, true, now);
		}
		for (int i = 0; i < w->n; i++)
			send_reports(w, i, now);
		come_back(w, step, now);
		arrivals(w, step);
	}
}

/* Returns granted units of the worst window, as a share of the bound. @from: seconds */
static inline double worst_window(const customer_t *c, double rate, double burst, int from)
{
	double bound = (rate * WINDOW_S + burst) * (1 + OVER) + SLACK;
	double sum = 0;
	double worst = 0;

	for (size_t i = (size_t)from * STEPS_S; i < DURATION_S * STEPS_S; i++) {
		sum += c->used[i];
		if (i >= (size_t)(from + WINDOW_S) * STEPS_S)
			sum -= c->used[i - WINDOW_S * STEPS_S];
		worst = fmax(worst, sum);
	}
	return worst / bound;
}

static inline void check(const char *load, const world_t *w, double refused_max)
{
	for (size_t k = 0; k < w->n_customers; k++) {
		const customer_t *c = &w->c[k];
		double worst = worst_window(c, c->limits.rate, c->limits.burst, 0);
		double refused = c->refused / c->asked;

		printf("%s: %d instances, worst window %.3f of the bound, refused %.4f\n", load,
		       w->n, worst, refused);
		assert_true(worst <= 1);
		assert_true(refused <= refused_max);
	}
}

/* What was granted from second @from to @to, as a share of the rate and, if @burst, the burst. */
static inline double granted(const customer_t *c, int from, int to, bool burst)
{
	double sum = 0;

	for (size_t k = (size_t)from * STEPS_S; k < (size_t)to * STEPS_S; k++)
		sum += c->used[k];
	return sum / ((to - from) * c->limits.rate + (burst ? c->limits.burst : 0));
}

#endif
