/*
 * Admission: limits the requests that run and those that are queued. A rank is a class and, within
 * it, one of home-bound, other and forwarded requests, in this order; each rank has a queue. When
 * the queues are full, the lowest rank is shed first, and a request that can no longer meet its
 * deadline is shed at once.
 */
#include "limit/caller.h"
#include "limit/limit.h"

#include <math.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <uthash.h>

#define RANKS_PER_CLASS 3
#define RANKS (RANKS_PER_CLASS * AP_CLASS_COUNT)
#define RUN_TIME_INITIAL (1 * AP_SEC)		  /* assumed mean until a request has ended */
#define RATE_TIME_CONSTANT (5.0 * (double)AP_SEC) /* microseconds, of the arrival rates' decay */
/* Least share of the freed slots that the estimate assumes for a class. */
#define FREED_PART_MIN 0.05
#define RUN_TIME_GAIN 0.05 /* weight of one request's run time in the mean */
/* Bounds of the time after which a shed request may be retried. */
#define RETRY_AFTER_MIN (1 * AP_SEC)
#define RETRY_AFTER_MAX (30 * AP_SEC)

/* A request of a class starts only while fewer than this part of all slots are occupied. */
static const double class_part[AP_CLASS_COUNT] = {1.0, 0.9, 0.75};
#define FORWARDED_PART 0.5 /* of the slots that forwarded requests may occupy */

/* An exponentially decaying count, to estimate events per microsecond. */
typedef struct ap_rate {
	double count;
	ap_usec_t at;
} ap_rate_t;

typedef enum ap_tracked_state {
	AP_TRACKED_QUEUED,
	AP_TRACKED_RUNNING,
} ap_tracked_state_t;

/* A request that is queued or runs. */
typedef struct ap_tracked {
	uint64_t token;
	UT_hash_handle hh;
	TAILQ_ENTRY(ap_tracked) link;
	ap_tracked_state_t state;
	unsigned rank;
	ap_class_t cls;
	bool forwarded;
	ap_usec_t deadline;
	ap_usec_t expected;
	ap_usec_t started;
	char caller[AP_NAME_MAX];
} ap_tracked_t;

TAILQ_HEAD(ap_tracked_queue, ap_tracked);

struct ap_admission {
	ap_admission_config_t config;
	ap_tracked_t *tracked;
	struct ap_tracked_queue queues[RANKS];
	size_t queued[RANKS];
	size_t running_max;
	size_t running;
	size_t running_forwarded;
	size_t running_by_class[AP_CLASS_COUNT];
	size_t queued_total;
	double run_time_us; /* mean, of recent requests */
	ap_rate_t arrivals[AP_CLASS_COUNT];
	bool dispatching;
	ap_caller_limits_t *callers;
};

ap_admission_t *ap_admission_new(const ap_admission_config_t *config)
{
	ap_admission_t *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->config = *config;
	a->running_max = SIZE_MAX; /* no limit until the capacity is set */
	a->run_time_us = RUN_TIME_INITIAL;
	a->callers = ap_caller_limits_new();
	if (!a->callers) {
		free(a);
		return NULL;
	}
	for (int i = 0; i < RANKS; i++)
		TAILQ_INIT(&a->queues[i]);
	return a;
}

/* HASH_CLEAR() frees the table but leaves its items linked, so they are freed afterwards. */
void ap_admission_free(ap_admission_t *a)
{
	ap_tracked_t *t;

	if (!a)
		return;
	t = a->tracked;
	HASH_CLEAR(hh, a->tracked);
	while (t) {
		ap_tracked_t *next = t->hh.next;

		free(t);
		t = next;
	}
	ap_caller_limits_free(a->callers);
	free(a);
}

static unsigned rank_of(const ap_admission_request_t *req)
{
	unsigned rank_in_class = 1;

	if (req->forwarded)
		rank_in_class = 2;
	else if (req->home_bound)
		rank_in_class = 0;
	return req->cls * RANKS_PER_CLASS + rank_in_class;
}

static size_t slots_of_part(const ap_admission_t *a, double part)
{
	double slots = (double)a->running_max * part;

	return slots > 1 ? (size_t)slots : 1;
}

/*
 * After the capacity was reduced, requests of lower classes may occupy slots that are reserved
 * for @cls and the classes above it. Returns whether a request of @cls may start in a reserved
 * slot nevertheless, even if that exceeds the capacity.
 */
static bool has_reserved_slot(const ap_admission_t *a, ap_class_t cls)
{
	size_t running_up_to_class = 0;

	if (cls == AP_CLASS_LONG)
		return false;
	for (int c = 0; c <= (int)cls; c++)
		running_up_to_class += a->running_by_class[c];
	if (a->running - running_up_to_class <= slots_of_part(a, class_part[cls + 1]))
		return false;
	return running_up_to_class < slots_of_part(a, 1 - class_part[cls + 1]);
}

static bool has_slot(const ap_admission_t *a, ap_class_t cls, bool forwarded)
{
	if (a->running_max == SIZE_MAX)
		return true;
	if (!forwarded && has_reserved_slot(a, cls))
		return true;
	if (a->running >= a->running_max)
		return false;
	if (a->running >= slots_of_part(a, class_part[cls]))
		return false;
	return !forwarded || a->running_forwarded < slots_of_part(a, FORWARDED_PART);
}

/* Queued requests that would start before a new one of @rank. */
static size_t queued_ahead(const ap_admission_t *a, unsigned rank)
{
	size_t n = 0;

	for (unsigned i = 0; i <= rank; i++)
		n += a->queued[i];
	return n;
}

static double rate_of(const ap_rate_t *rate, ap_usec_t now)
{
	return rate->count * exp(-(double)(now - rate->at) / RATE_TIME_CONSTANT) /
	       RATE_TIME_CONSTANT;
}

static void rate_add(ap_rate_t *rate, ap_usec_t now)
{
	rate->count = rate->count * exp(-(double)(now - rate->at) / RATE_TIME_CONSTANT) + 1;
	rate->at = now;
}

/*
 * Expected microseconds until a request of @cls with @ahead requests before it starts. Slots come
 * free at a rate that follows from the mean run time; future requests of higher classes take
 * theirs first.
 */
static double queue_time(const ap_admission_t *a, ap_class_t cls, size_t ahead, ap_usec_t now)
{
	double slots = fmax((double)a->running_max * class_part[cls], 1);
	double freed = slots / a->run_time_us;
	double taken = 0;

	for (int c = 0; c < (int)cls; c++)
		taken += rate_of(&a->arrivals[c], now);
	return (double)(ahead + 1) / fmax(freed - taken, freed * FREED_PART_MIN);
}

/* When a shed request may be retried: once all requests that are queued now have started. */
static ap_usec_t retry_after(const ap_admission_t *a, ap_class_t cls, ap_usec_t now)
{
	double wait = queue_time(a, cls, a->queued_total, now);

	return (ap_usec_t)fmin(fmax(wait, RETRY_AFTER_MIN), RETRY_AFTER_MAX);
}

static void untrack(ap_admission_t *a, ap_tracked_t *t)
{
	if (t->caller[0])
		ap_caller_limits_done(a->callers, t->caller);
	HASH_DEL(a->tracked, t);
	free(t);
}

static void dequeue(ap_admission_t *a, ap_tracked_t *t)
{
	TAILQ_REMOVE(&a->queues[t->rank], t, link);
	a->queued[t->rank]--;
	a->queued_total--;
}

static void shed(ap_admission_t *a, ap_tracked_t *t, ap_usec_t now)
{
	uint64_t token = t->token;
	ap_usec_t wait = retry_after(a, t->cls, now);

	dequeue(a, t);
	untrack(a, t);
	a->config.shed(a->config.env.ctx, token, wait);
}

static void mark_running(ap_admission_t *a, ap_tracked_t *t, ap_usec_t now)
{
	t->state = AP_TRACKED_RUNNING;
	t->started = now;
	a->running++;
	a->running_by_class[t->cls]++;
	if (t->forwarded)
		a->running_forwarded++;
}

static void enqueue(ap_admission_t *a, ap_tracked_t *t)
{
	t->state = AP_TRACKED_QUEUED;
	TAILQ_INSERT_TAIL(&a->queues[t->rank], t, link);
	a->queued[t->rank]++;
	a->queued_total++;
	ap_require(&a->config.env, a->queued_total <= a->config.queue_max, AP_INV_BOUNDS,
		   "more requests queued than queue_max");
}

/* The last request of the lowest rank that is below @rank, or NULL. */
static ap_tracked_t *lowest_below(const ap_admission_t *a, unsigned rank)
{
	for (unsigned i = RANKS; i-- > rank + 1;) {
		ap_tracked_t *t = TAILQ_LAST(&a->queues[i], ap_tracked_queue);

		if (t)
			return t;
	}
	return NULL;
}

static ap_tracked_t *track(ap_admission_t *a, const ap_admission_request_t *req)
{
	ap_tracked_t *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->token = req->token;
	t->rank = rank_of(req);
	t->cls = req->cls;
	t->forwarded = req->forwarded;
	t->deadline = req->deadline;
	t->expected = req->expected;
	if (req->caller && !req->forwarded)
		ap_copy_name(t->caller, sizeof(t->caller), req->caller->name);
	HASH_ADD(hh, a->tracked, token, sizeof(t->token), t);
	return t;
}

static bool meets_deadline(const ap_admission_t *a, const ap_admission_request_t *req,
			   ap_usec_t now)
{
	double wait = queue_time(a, req->cls, queued_ahead(a, rank_of(req)), now);

	return (double)now + wait + (double)req->expected <= (double)req->deadline;
}

/* A forwarded request was counted against its caller's limits at the entry that forwarded it. */
static bool within_limits(ap_admission_t *a, const ap_admission_request_t *req, ap_usec_t now,
			  ap_usec_t *wait)
{
	if (!req->caller || req->forwarded)
		return true;
	return ap_caller_limits_take(a->callers, req->caller, req->share, now, wait);
}

static void release_limits(ap_admission_t *a, const ap_admission_request_t *req)
{
	if (req->caller && !req->forwarded)
		ap_caller_limits_done(a->callers, req->caller->name);
}

ap_admission_decision_t ap_admission_admit(ap_admission_t *a, const ap_admission_request_t *req,
					   ap_usec_t now, ap_usec_t *wait)
{
	ap_tracked_t *t;
	bool free_now = has_slot(a, req->cls, req->forwarded);

	*wait = RETRY_AFTER_MIN;
	rate_add(&a->arrivals[req->cls], now);
	if (!within_limits(a, req, now, wait))
		return AP_ADMIT_OVER_LIMIT;
	if (now + req->expected > req->deadline || (!free_now && !meets_deadline(a, req, now))) {
		release_limits(a, req);
		*wait = retry_after(a, req->cls, now);
		return AP_ADMIT_SHED;
	}
	if (!free_now && a->queued_total >= a->config.queue_max) {
		ap_tracked_t *victim = lowest_below(a, rank_of(req));

		if (!victim) {
			release_limits(a, req);
			*wait = retry_after(a, req->cls, now);
			return AP_ADMIT_SHED;
		}
		shed(a, victim, now);
	}
	t = track(a, req);
	if (!t) {
		release_limits(a, req);
		return AP_ADMIT_SHED;
	}
	if (free_now) {
		mark_running(a, t, now);
		return AP_ADMIT_NOW;
	}
	*wait = (ap_usec_t)queue_time(a, req->cls, queued_ahead(a, t->rank), now);
	enqueue(a, t);
	return AP_ADMIT_QUEUE;
}

static ap_tracked_t *next_ready(const ap_admission_t *a)
{
	for (unsigned i = 0; i < RANKS; i++) {
		ap_tracked_t *t = TAILQ_FIRST(&a->queues[i]);

		if (t && has_slot(a, t->cls, t->forwarded))
			return t;
	}
	return NULL;
}

static ap_tracked_t *first_late(const ap_admission_t *a, ap_usec_t now)
{
	ap_tracked_t *t;

	for (unsigned i = 0; i < RANKS; i++)
		TAILQ_FOREACH (t, &a->queues[i], link)
			if (now + t->expected > t->deadline)
				return t;
	return NULL;
}

/* Searches from the start after each shed request, since the callback may change the queues. */
static void shed_late(ap_admission_t *a, ap_usec_t now)
{
	ap_tracked_t *t;

	while ((t = first_late(a, now)))
		shed(a, t, now);
}

/*
 * Callbacks may end or cancel requests, and the ready callback may admit some, so only the
 * outermost call runs the loop.
 */
static void start_queued(ap_admission_t *a, ap_usec_t now)
{
	ap_tracked_t *t;

	if (a->dispatching)
		return;
	a->dispatching = true;
	while ((t = next_ready(a))) {
		dequeue(a, t);
		if (now + t->expected > t->deadline) {
			uint64_t token = t->token;
			ap_usec_t wait = retry_after(a, t->cls, now);

			untrack(a, t);
			a->config.shed(a->config.env.ctx, token, wait);
			continue;
		}
		mark_running(a, t, now);
		a->config.ready(a->config.env.ctx, t->token);
	}
	a->dispatching = false;
}

void ap_admission_done(ap_admission_t *a, uint64_t token, ap_usec_t now)
{
	ap_tracked_t *t = NULL;

	HASH_FIND(hh, a->tracked, &token, sizeof(token), t);
	if (!t || t->state != AP_TRACKED_RUNNING)
		return;
	a->running--;
	a->running_by_class[t->cls]--;
	if (t->forwarded)
		a->running_forwarded--;
	a->run_time_us += RUN_TIME_GAIN * ((double)(now - t->started) - a->run_time_us);
	untrack(a, t);
	start_queued(a, now);
}

void ap_admission_cancel(ap_admission_t *a, uint64_t token, ap_usec_t now)
{
	ap_tracked_t *t = NULL;

	HASH_FIND(hh, a->tracked, &token, sizeof(token), t);
	if (!t || t->state != AP_TRACKED_QUEUED)
		return;
	dequeue(a, t);
	untrack(a, t);
	start_queued(a, now);
}

void ap_admission_set_capacity(ap_admission_t *a, size_t running_max, ap_usec_t now)
{
	a->running_max = running_max;
	start_queued(a, now);
}

void ap_admission_tick(ap_admission_t *a, ap_usec_t now)
{
	shed_late(a, now);
	start_queued(a, now);
	ap_caller_limits_sweep(a->callers, now);
}

size_t ap_admission_queued(const ap_admission_t *a)
{
	return queued_ahead(a, RANKS - 1);
}
