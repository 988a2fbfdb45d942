/* Response times by class of request, and the share of a pool's requests. */
#include "hedge/hedge.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define QUANTILE 0.95
/* Steps of a quarter of an octave: a time is known to 19 %. 68 of them reach from 1 ms to 131 s. */
#define STEPS_PER_OCTAVE 4
#define STEPS 68
#define FIRST_STEP AP_MSEC
/* Of this many responses, two are above the 95th percentile. */
#define SAMPLES_MIN 40
/* Counts are halved here, so that the latest few hundred responses decide. */
#define SAMPLES_MAX 512
/* After this time without a response, what was learned no longer holds. */
#define FORGET_AFTER (60 * AP_SEC)
/* Below it, timers and the network's own delays would decide. */
#define DELAY_MIN (20 * AP_MSEC)
/* Seconds over which requests earn the share; also bounds what is saved up while none is slow. */
#define SHARE_WINDOW 10.0
#define SHARE_STEPS 10
#define CLASSES_MAX 256 /* over all pools; those beyond have no second attempts */
#define POOLS_MAX 64

typedef struct class_key {
	char pool[AP_NAME_MAX];
	unsigned kind;
	unsigned size;
} class_key_t;

/**
 * struct times - response times of a class.
 * @counts: of responses that took up to each step
 * @total: their sum
 * @at: when the latest one was counted
 */
typedef struct times {
	UT_hash_handle hh;
	class_key_t key;
	double counts[STEPS];
	double total;
	ap_usec_t at;
} times_t;

/**
 * struct pool - requests and second attempts of the latest SHARE_STEPS steps of time.
 */
typedef struct pool {
	UT_hash_handle hh;
	char name[AP_NAME_MAX];
	int64_t step;
	uint32_t requests[SHARE_STEPS];
	uint32_t seconds[SHARE_STEPS];
} pool_t;

struct ap_hedge {
	double share;
	times_t *classes;
	pool_t *pools;
};

const char *ap_hedge_verdict_name(ap_hedge_verdict_t verdict)
{
	static const char *const names[AP_HEDGE_VERDICTS] = {
		"sent",	      "share", "no-target", "capacity",
		"not-sooner", "late",  "allowance", "budget",
	};

	return names[verdict];
}

ap_hedge_t *ap_hedge_new(double share)
{
	ap_hedge_t *h = calloc(1, sizeof(*h));

	if (h)
		ap_hedge_set_share(h, share);
	return h;
}

/* Frees the items of a hash table after HASH_CLEAR; each item starts with its UT_hash_handle. */
static void free_items(void *item)
{
	while (item) {
		void *next = ((UT_hash_handle *)item)->next;

		free(item);
		item = next;
	}
}

void ap_hedge_free(ap_hedge_t *h)
{
	times_t *classes;
	pool_t *pools;

	if (!h)
		return;
	classes = h->classes;
	pools = h->pools;
	HASH_CLEAR(hh, h->classes);
	HASH_CLEAR(hh, h->pools);
	free_items(classes);
	free_items(pools);
	free(h);
}

void ap_hedge_set_share(ap_hedge_t *h, double share)
{
	h->share = fmin(fmax(share, 0), AP_HEDGE_SHARE_MAX);
}

static unsigned size_class(uint32_t tokens)
{
	unsigned size = 0;

	while (tokens > 0) {
		tokens >>= 1;
		size++;
	}
	return size;
}

static times_t *times_of(ap_hedge_t *h, const ap_hedge_class_t *of, bool create)
{
	class_key_t key;
	times_t *t;

	/* Its padding is a part of the key. */
	memset(&key, 0, sizeof(key));
	ap_copy_name(key.pool, sizeof(key.pool), of->pool);
	key.kind = of->kind;
	key.size = size_class(of->tokens);
	HASH_FIND(hh, h->classes, &key, sizeof(key), t);
	if (t || !create || HASH_COUNT(h->classes) >= CLASSES_MAX)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->key = key;
	HASH_ADD(hh, h->classes, key, sizeof(t->key), t);
	return t;
}

static size_t step_of(ap_usec_t took)
{
	double octaves = log2((double)took / (double)FIRST_STEP);
	double step = ceil(octaves * STEPS_PER_OCTAVE);

	if (!(step > 0))
		return 0;
	return step < STEPS - 1 ? (size_t)step : STEPS - 1;
}

/* Returns the longest time that counts at @step. */
static ap_usec_t step_end(size_t step)
{
	return (ap_usec_t)((double)FIRST_STEP * exp2((double)step / STEPS_PER_OCTAVE));
}

static void halve(times_t *t)
{
	t->total = 0;
	for (size_t i = 0; i < STEPS; i++) {
		t->counts[i] /= 2;
		t->total += t->counts[i];
	}
}

static void forget_old(times_t *t, ap_usec_t now)
{
	if (t->total > 0 && now - t->at > FORGET_AFTER) {
		memset(t->counts, 0, sizeof(t->counts));
		t->total = 0;
	}
}

void ap_hedge_response(ap_hedge_t *h, const ap_hedge_class_t *of, ap_usec_t took, ap_usec_t now)
{
	times_t *t = times_of(h, of, true);

	if (!t)
		return;
	forget_old(t, now);
	t->at = now;
	t->counts[step_of(took)]++;
	t->total++;
	if (t->total >= SAMPLES_MAX)
		halve(t);
}

/* Returns the step up to which QUANTILE of the responses lie. */
static size_t slow_step(const times_t *t)
{
	double sum = 0;
	size_t i = 0;

	for (; i < STEPS - 1; i++) {
		sum += t->counts[i];
		if (sum >= QUANTILE * t->total)
			break;
	}
	return i;
}

/* Returns the class if enough is known of it, else NULL. */
static times_t *known_times(ap_hedge_t *h, const ap_hedge_class_t *of, ap_usec_t now)
{
	times_t *t = times_of(h, of, false);

	if (!t || h->share <= 0)
		return NULL;
	forget_old(t, now);
	return t->total < SAMPLES_MIN ? NULL : t;
}

static ap_usec_t delay_of(const times_t *t)
{
	ap_usec_t delay = step_end(slow_step(t));

	return delay > DELAY_MIN ? delay : DELAY_MIN;
}

ap_usec_t ap_hedge_delay(ap_hedge_t *h, const ap_hedge_class_t *of, ap_usec_t now)
{
	const times_t *t = known_times(h, of, now);

	return t ? delay_of(t) : AP_NEVER;
}

/* Returns how much longer than @elapsed those responses took on average that took longer. */
static ap_usec_t mean_left(const times_t *t, ap_usec_t elapsed)
{
	double sum = 0;
	double n = 0;

	for (size_t i = step_of(elapsed) + 1; i < STEPS; i++) {
		sum += t->counts[i] * (double)(step_end(i) - elapsed);
		n += t->counts[i];
	}
	return n > 0 ? (ap_usec_t)(sum / n) : 0;
}

/*
 * Returns how long the first attempt is expected to take still: at least as long as it has taken,
 * as it is slow. What others like it took shows more, unless second attempts have cut them short;
 * what was expected at its send may not have passed yet.
 */
static ap_usec_t first_left(const times_t *t, const ap_hedge_question_t *q)
{
	ap_usec_t left = q->elapsed;

	if (mean_left(t, q->elapsed) > left)
		left = mean_left(t, q->elapsed);
	return q->first_wait - q->elapsed > left ? q->first_wait - q->elapsed : left;
}

void ap_hedge_unfinished(ap_hedge_t *h, const ap_hedge_class_t *of, ap_usec_t took, ap_usec_t now)
{
	/*
	 * Without it, those that second attempts replace would be missing among the slow ones, and
	 * the time that counts as slow would fall with each of them.
	 */
	if (took >= ap_hedge_delay(h, of, now))
		ap_hedge_response(h, of, took, now);
}

static pool_t *pool_of(ap_hedge_t *h, const char *name)
{
	pool_t *p;

	HASH_FIND_STR(h->pools, name, p);
	if (p || HASH_COUNT(h->pools) >= POOLS_MAX)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	ap_copy_name(p->name, sizeof(p->name), name);
	HASH_ADD_STR(h->pools, name, p);
	return p;
}

static void advance(pool_t *p, ap_usec_t now)
{
	int64_t step = (int64_t)((double)now * SHARE_STEPS / (SHARE_WINDOW * (double)AP_SEC));

	if (step - p->step >= SHARE_STEPS)
		p->step = step - SHARE_STEPS;
	while (p->step < step) {
		p->step++;
		p->requests[p->step % SHARE_STEPS] = 0;
		p->seconds[p->step % SHARE_STEPS] = 0;
	}
}

static uint32_t sum_of(const uint32_t *counts)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < SHARE_STEPS; i++)
		sum += counts[i];
	return sum;
}

void ap_hedge_request(ap_hedge_t *h, const char *pool, ap_usec_t now)
{
	pool_t *p = pool_of(h, pool);

	if (!p)
		return;
	advance(p, now);
	p->requests[p->step % SHARE_STEPS]++;
}

static bool within_share(ap_hedge_t *h, const char *pool, ap_usec_t now)
{
	pool_t *p = pool_of(h, pool);

	if (!p)
		return false;
	advance(p, now);
	return sum_of(p->seconds) + 1 <= h->share * sum_of(p->requests);
}

ap_hedge_verdict_t ap_hedge_judge(ap_hedge_t *h, const ap_hedge_question_t *q, ap_usec_t now)
{
	const times_t *t = known_times(h, &q->of, now);

	if (!t || q->elapsed < delay_of(t))
		return AP_HEDGE_NOT_SOONER;
	if (q->over_allowance)
		return AP_HEDGE_ALLOWANCE;
	/* What the upstreams' responses show counts if it is longer than what is expected. */
	if (q->left < q->wait || q->left < delay_of(t))
		return AP_HEDGE_LATE;
	if (!q->free_slot)
		return AP_HEDGE_CAPACITY;
	if (q->wait >= first_left(t, q))
		return AP_HEDGE_NOT_SOONER;
	return within_share(h, q->of.pool, now) ? AP_HEDGE_SEND : AP_HEDGE_SHARE;
}

void ap_hedge_sent(ap_hedge_t *h, const char *pool, ap_usec_t now)
{
	pool_t *p = pool_of(h, pool);

	if (!p)
		return;
	advance(p, now);
	p->seconds[p->step % SHARE_STEPS]++;
}
