/*
 * Admission: a bounded number of requests runs, a bounded number waits in one queue per rank, the
 * lowest rank is shed first, and a request that can no longer meet its deadline is shed at once.
 */
#include "limit/caller.h"
#include "limit/limit.h"

#include <math.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <uthash.h>

#define RANKS_PER_CLASS 3
#define RANKS (RANKS_PER_CLASS * AP_CLASS_COUNT)
#define RUN_TIME_INITIAL (1 * AP_SEC) /* how long a request is thought to run before any ended */
#define RATE_TIME_CONSTANT (5.0 * (double)AP_SEC) /* time constant of rates */
#define FREED_PART_MIN                                                                             \
	0.05 /* part of the freed places that a class gets at the least, as estimated */
#define RUN_TIME_GAIN 0.05
#define RETRY_MIN (1 * AP_SEC)
#define RETRY_MAX (30 * AP_SEC)

/* A class starts only while less than this part of the places is taken, by whatever class. */
static const double class_part[AP_CLASS_COUNT] = {1.0, 0.9, 0.75};
#define FORWARDED_PART 0.5 /* the part of the running places that guests may fill */

/* A count that fades, to estimate events per microsecond. */
typedef struct ap_rate {
	double count;
	ap_usec_t at;
} ap_rate_t;

typedef enum ap_place {
	AP_PLACE_WAITING,
	AP_PLACE_RUNNING,
} ap_place_t;

typedef struct ap_ticket {
	uint64_t token;
	UT_hash_handle hh;
	TAILQ_ENTRY(ap_ticket) link;
	ap_place_t place;
	unsigned rank;
	ap_class_t cls;
	bool guest;
	ap_usec_t deadline;
	ap_usec_t work;
	ap_usec_t started;
	char caller[AP_NAME_MAX];
} ap_ticket_t;

TAILQ_HEAD(ap_waiting_queue, ap_ticket);

struct ap_admission {
	ap_admission_config_t config;
	ap_ticket_t *tickets;
	struct ap_waiting_queue queues[RANKS];
	size_t queued[RANKS];
	size_t running_max;
	size_t running;
	size_t running_forwarded;
	size_t running_of[AP_CLASS_COUNT];
	size_t waiting;
	double run_time_us;
	ap_rate_t asked[AP_CLASS_COUNT];
	bool dispatching;
	ap_caller_limits_t *callers;
};

ap_admission_t *ap_admission_new(const ap_admission_config_t *config)
{
	ap_admission_t *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->config = *config;
	a->running_max = SIZE_MAX;
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

/* Clearing the table leaves its items linked to each other. */
void ap_admission_free(ap_admission_t *a)
{
	ap_ticket_t *ticket;

	if (!a)
		return;
	ticket = a->tickets;
	HASH_CLEAR(hh, a->tickets);
	while (ticket) {
		ap_ticket_t *next = ticket->hh.next;

		free(ticket);
		ticket = next;
	}
	ap_caller_limits_free(a->callers);
	free(a);
}

static unsigned rank_of(const ap_admission_request_t *ask)
{
	unsigned within = 1;

	if (ask->guest)
		within = 2;
	else if (ask->home_bound)
		within = 0;
	return ask->cls * RANKS_PER_CLASS + within;
}

static size_t part_of(const ap_admission_t *a, double part)
{
	double places = (double)a->running_max * part;

	return places > 1 ? (size_t)places : 1;
}

/*
 * After the capacity was cut, lower classes may hold more than their part of it. The places that
 * they should have left free are there for @cls and those above it all the same.
 */
static bool has_reserved_slot(const ap_admission_t *a, ap_class_t cls)
{
	size_t above = 0;

	if (cls == AP_CLASS_LONG)
		return false;
	for (int c = 0; c <= (int)cls; c++)
		above += a->running_of[c];
	if (a->running - above <= part_of(a, class_part[cls + 1]))
		return false;
	return above < part_of(a, 1 - class_part[cls + 1]);
}

static bool has_slot(const ap_admission_t *a, ap_class_t cls, bool guest)
{
	if (a->running_max == SIZE_MAX)
		return true;
	if (!guest && has_reserved_slot(a, cls))
		return true;
	if (a->running >= a->running_max)
		return false;
	if (a->running >= part_of(a, class_part[cls]))
		return false;
	return !guest || a->running_forwarded < part_of(a, FORWARDED_PART);
}

/* Requests that would start before one of @rank. */
static size_t ahead_of(const ap_admission_t *a, unsigned rank)
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
 * Expected microseconds until the next request of @cls with @ahead before it starts: places come
 * free at a rate, and higher classes that are still to come take their part of them first.
 */
static double queue_time(const ap_admission_t *a, ap_class_t cls, size_t ahead, ap_usec_t now)
{
	double places = fmax((double)a->running_max * class_part[cls], 1);
	double freed = places / a->run_time_us;
	double taken = 0;

	for (int c = 0; c < (int)cls; c++)
		taken += rate_of(&a->asked[c], now);
	return (double)(ahead + 1) / fmax(freed - taken, freed * FREED_PART_MIN);
}

/* When a request that was given up may come again: after those that wait now have started. */
static ap_usec_t retry_after(const ap_admission_t *a, ap_class_t cls, ap_usec_t now)
{
	double wait = queue_time(a, cls, a->waiting, now);

	return (ap_usec_t)fmin(fmax(wait, RETRY_MIN), RETRY_MAX);
}

static void forget(ap_admission_t *a, ap_ticket_t *ticket)
{
	if (ticket->caller[0])
		ap_caller_limits_done(a->callers, ticket->caller);
	HASH_DEL(a->tickets, ticket);
	free(ticket);
}

static void unqueue(ap_admission_t *a, ap_ticket_t *ticket)
{
	TAILQ_REMOVE(&a->queues[ticket->rank], ticket, link);
	a->queued[ticket->rank]--;
	a->waiting--;
}

static void shed(ap_admission_t *a, ap_ticket_t *ticket, ap_usec_t now)
{
	uint64_t token = ticket->token;
	ap_usec_t wait = retry_after(a, ticket->cls, now);

	unqueue(a, ticket);
	forget(a, ticket);
	a->config.shed(a->config.env.ctx, token, wait);
}

static void run(ap_admission_t *a, ap_ticket_t *ticket, ap_usec_t now)
{
	ticket->place = AP_PLACE_RUNNING;
	ticket->started = now;
	a->running++;
	a->running_of[ticket->cls]++;
	if (ticket->guest)
		a->running_forwarded++;
}

static void enqueue(ap_admission_t *a, ap_ticket_t *ticket)
{
	ticket->place = AP_PLACE_WAITING;
	TAILQ_INSERT_TAIL(&a->queues[ticket->rank], ticket, link);
	a->queued[ticket->rank]++;
	a->waiting++;
	ap_require(&a->config.env, a->waiting <= a->config.queue_max, AP_INV_BOUNDS,
		   "waiting requests within their limit");
}

/* The last request of the lowest rank that is below @rank, or NULL. */
static ap_ticket_t *lowest_below(const ap_admission_t *a, unsigned rank)
{
	for (unsigned i = RANKS; i-- > rank + 1;) {
		ap_ticket_t *ticket = TAILQ_LAST(&a->queues[i], ap_waiting_queue);

		if (ticket)
			return ticket;
	}
	return NULL;
}

static ap_ticket_t *new_ticket(ap_admission_t *a, const ap_admission_request_t *ask)
{
	ap_ticket_t *ticket = calloc(1, sizeof(*ticket));

	if (!ticket)
		return NULL;
	ticket->token = ask->token;
	ticket->rank = rank_of(ask);
	ticket->cls = ask->cls;
	ticket->guest = ask->guest;
	ticket->deadline = ask->deadline;
	ticket->work = ask->work;
	if (ask->caller && !ask->guest)
		ap_copy_name(ticket->caller, sizeof(ticket->caller), ask->caller->name);
	HASH_ADD(hh, a->tickets, token, sizeof(ticket->token), ticket);
	return ticket;
}

static bool in_time(const ap_admission_t *a, const ap_admission_request_t *ask, ap_usec_t now)
{
	double wait = queue_time(a, ask->cls, ahead_of(a, rank_of(ask)), now);

	return (double)now + wait + (double)ask->work <= (double)ask->deadline;
}

/* Guests were counted against their limits at the entry that they came from. */
static bool within_limits(ap_admission_t *a, const ap_admission_request_t *ask, ap_usec_t now,
			  ap_usec_t *retry)
{
	if (!ask->caller || ask->guest)
		return true;
	return ap_caller_limits_take(a->callers, ask->caller, ask->share, now, retry);
}

static void give_back(ap_admission_t *a, const ap_admission_request_t *ask)
{
	if (ask->caller && !ask->guest)
		ap_caller_limits_done(a->callers, ask->caller->name);
}

ap_admit_t ap_admission_admit(ap_admission_t *a, const ap_admission_request_t *ask, ap_usec_t now,
			      ap_usec_t *retry)
{
	ap_ticket_t *ticket;
	bool now_free = has_slot(a, ask->cls, ask->guest);

	*retry = RETRY_MIN;
	rate_add(&a->asked[ask->cls], now);
	if (!within_limits(a, ask, now, retry))
		return AP_ADMIT_OVER_LIMIT;
	if (now + ask->work > ask->deadline || (!now_free && !in_time(a, ask, now))) {
		give_back(a, ask);
		*retry = retry_after(a, ask->cls, now);
		return AP_ADMIT_SHED;
	}
	if (!now_free && a->waiting >= a->config.queue_max) {
		ap_ticket_t *victim = lowest_below(a, rank_of(ask));

		if (!victim) {
			give_back(a, ask);
			*retry = retry_after(a, ask->cls, now);
			return AP_ADMIT_SHED;
		}
		shed(a, victim, now);
	}
	ticket = new_ticket(a, ask);
	if (!ticket) {
		give_back(a, ask);
		return AP_ADMIT_SHED;
	}
	if (now_free) {
		run(a, ticket, now);
		return AP_ADMIT_NOW;
	}
	*retry = (ap_usec_t)queue_time(a, ask->cls, ahead_of(a, ticket->rank), now);
	enqueue(a, ticket);
	return AP_ADMIT_QUEUE;
}

static ap_ticket_t *next_ready(const ap_admission_t *a)
{
	for (unsigned i = 0; i < RANKS; i++) {
		ap_ticket_t *ticket = TAILQ_FIRST(&a->queues[i]);

		if (ticket && has_slot(a, ticket->cls, ticket->guest))
			return ticket;
	}
	return NULL;
}

static ap_ticket_t *first_late(const ap_admission_t *a, ap_usec_t now)
{
	ap_ticket_t *ticket;

	for (unsigned i = 0; i < RANKS; i++)
		TAILQ_FOREACH (ticket, &a->queues[i], link)
			if (now + ticket->work > ticket->deadline)
				return ticket;
	return NULL;
}

/* Starts anew after each one, since the callback may change the queues. */
static void shed_late(ap_admission_t *a, ap_usec_t now)
{
	ap_ticket_t *ticket;

	while ((ticket = first_late(a, now)))
		shed(a, ticket, now);
}

/* Callbacks may ask, end or cancel requests: only the outermost call goes round. */
static void start_waiting(ap_admission_t *a, ap_usec_t now)
{
	ap_ticket_t *ticket;

	if (a->dispatching)
		return;
	a->dispatching = true;
	while ((ticket = next_ready(a))) {
		unqueue(a, ticket);
		if (now + ticket->work > ticket->deadline) {
			uint64_t token = ticket->token;
			ap_usec_t wait = retry_after(a, ticket->cls, now);

			forget(a, ticket);
			a->config.shed(a->config.env.ctx, token, wait);
			continue;
		}
		run(a, ticket, now);
		a->config.ready(a->config.env.ctx, ticket->token);
	}
	a->dispatching = false;
}

void ap_admission_done(ap_admission_t *a, uint64_t token, ap_usec_t now)
{
	ap_ticket_t *ticket = NULL;

	HASH_FIND(hh, a->tickets, &token, sizeof(token), ticket);
	if (!ticket || ticket->place != AP_PLACE_RUNNING)
		return;
	a->running--;
	a->running_of[ticket->cls]--;
	if (ticket->guest)
		a->running_forwarded--;
	a->run_time_us += RUN_TIME_GAIN * ((double)(now - ticket->started) - a->run_time_us);
	forget(a, ticket);
	start_waiting(a, now);
}

void ap_admission_cancel(ap_admission_t *a, uint64_t token, ap_usec_t now)
{
	ap_ticket_t *ticket = NULL;

	HASH_FIND(hh, a->tickets, &token, sizeof(token), ticket);
	if (!ticket || ticket->place != AP_PLACE_WAITING)
		return;
	unqueue(a, ticket);
	forget(a, ticket);
	start_waiting(a, now);
}

void ap_admission_set_capacity(ap_admission_t *a, size_t running_max, ap_usec_t now)
{
	a->running_max = running_max;
	start_waiting(a, now);
}

void ap_admission_tick(ap_admission_t *a, ap_usec_t now)
{
	shed_late(a, now);
	start_waiting(a, now);
	ap_caller_limits_sweep(a->callers, now);
}

size_t ap_admission_queued(const ap_admission_t *a)
{
	return ahead_of(a, RANKS - 1);
}
