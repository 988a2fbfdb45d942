/*
 * A request of the exchange hunt: what its route, its caller and its upstreams do, all drawn from
 * one seed, and the responses that follow from it as lists of timed steps.
 */
#ifndef AP_TEST_EXCHANGE_HUNT_H
#define AP_TEST_EXCHANGE_HUNT_H

#include "exchange/exchange.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#define HUNT_UPSTREAMS 5
#define HUNT_EVENTS_MAX 14
#define HUNT_STEPS_MAX 80
#define HUNT_RUNS_MAX 24
#define HUNT_TEXT_MAX 4096
#define HUNT_START (100 * AP_SEC)
#define HUNT_WEIGHTS_FIELD "weight-versions:"

/* What an upstream does beside sending its events. */
typedef enum hunt_deed {
	DEED_NONE,
	DEED_SILENT,	       /* for a second or so, then goes on */
	DEED_MUTE,	       /* falls silent for ever */
	DEED_SLOW,	       /* each event takes several times as long */
	DEED_REPEATS,	       /* sends an event twice */
	DEED_BACK,	       /* goes back by some events */
	DEED_FROM_START,       /* asked what follows, it begins at the first event */
	DEED_FROM_START_LOADS, /* likewise, and changes its weights in the stream */
	DEED_REFUSES,	       /* Not-Run */
	DEED_LATER,	       /* likewise, with Retry-After */
	DEED_UNSENT,	       /* the connection fails before a byte of the request is written */
	DEED_UNREACHABLE,      /* no connection */
	DEED_STATUS,	       /* an error */
	DEED_TIMEOUT,	       /* 504 at the deadline */
	DEED_BODILESS,	       /* 204 */
	DEED_NO_DIGEST,	       /* bytes that no replica stands for */
	DEED_WEIGHTS,	       /* has other weights, whatever it is asked for */
	DEED_LOADS,	       /* changes its weights in the stream */
	DEED_UNEVEN,	       /* is preempted: some events take several times as long */
} hunt_deed_t;

/* Where it stops its stream. */
typedef enum hunt_stop {
	STOP_NONE,
	STOP_ANYWHERE,
	STOP_FIRST,    /* before its first event */
	STOP_INSIDE,   /* within an event */
	STOP_NO_TIME,  /* as the next event would come after the deadline */
	STOP_DEADLINE, /* at the deadline */
	STOP_LATE,     /* after it */
	STOP_LEAVES,   /* as its announced stop comes */
} hunt_stop_t;

/* How its response ends, and whether it states its length. */
typedef enum hunt_end {
	END_CHUNKS,
	END_SIZED,     /* stated before the work; one that stops early breaks off */
	END_COLLECTED, /* stated as the handler returns, with all events */
	END_CLOSE,     /* no framing, the process lives on */
	END_DIES,      /* no framing, it ended */
	END_BROKEN,
} hunt_end_t;

typedef struct hunt_act {
	const char *name;
	unsigned weight;
	hunt_deed_t deed;
	hunt_stop_t stop;
	hunt_end_t end;
	int status;
} hunt_act_t;

extern const hunt_act_t hunt_acts[];
extern const size_t hunt_n_acts;

/* One upstream, as drawn. */
typedef struct hunt_upstream {
	size_t act;
	bool remote;
	ap_usec_t held_from; /* by the link on the way here; AP_NEVER for not at all */
	ap_usec_t held_for;
	ap_usec_t first; /* time to the first event */
	ap_usec_t pace;
	ap_usec_t stops_at; /* as announced; AP_NEVER */
	uint64_t build;
	uint64_t version; /* of its weights */
	unsigned times;	  /* how often it got the request */
} hunt_upstream_t;

typedef enum hunt_step_kind {
	STEP_HEAD,
	STEP_DATA,
	STEP_END,
	STEP_CHECKED,
	STEP_ABORT, /* these two only of an instance's response */
	STEP_REPLY,
} hunt_step_kind_t;

/* A part of a response. @at: when it arrives; @event: that is complete with it, 0 for none */
typedef struct hunt_step {
	ap_usec_t at;
	hunt_step_kind_t kind;
	ap_response_head_t head;
	ap_connection_end_t end;
	bool process_ended;
	size_t from;
	size_t len;
} hunt_step_t;

typedef struct hunt_steps {
	hunt_step_t step[HUNT_STEPS_MAX];
	size_t n;
	char text[HUNT_TEXT_MAX];
	size_t text_len;
} hunt_steps_t;

/* The request, as drawn. */
typedef struct hunt_scene {
	uint64_t seed;
	ap_rng_t rng;
	ap_plan_route_t route;
	ap_plan_pool_t pool;
	ap_usec_t left;
	unsigned attempts;
	int budget;
	unsigned events; /* of the whole response; parts of a body */
	unsigned taken_up;
	uint64_t version;	/* of the event before, if taken up; 0 for unknown */
	ap_usec_t leaves_at;	/* the caller */
	ap_usec_t pauses_at;	/* its reading */
	ap_usec_t reads_at;	/* again */
	bool arrivals;		/* are known */
	bool joined;		/* what arrives at the same time is read at once */
	bool tick_first;	/* of what happens at the same time */
	ap_fleet_status_t none; /* why there is no target, if there is none */
	ap_usec_t slow_after;	/* an attempt is slow; AP_NEVER without second attempts */
	hunt_upstream_t up[HUNT_UPSTREAMS];
	unsigned next_run;
	bool verbose;
	unsigned lines;
	char broken[160]; /* the first rule that is */
} hunt_scene_t;

static inline uint64_t hunt_below(ap_rng_t *r, uint64_t n)
{
	return n ? ap_rng_u64(r) % n : 0;
}

static inline bool hunt_chance(ap_rng_t *r, unsigned of)
{
	return hunt_below(r, of) == 0;
}

/* Returns a time of @from to @to milliseconds. */
static inline ap_usec_t hunt_msec(ap_rng_t *r, unsigned from, unsigned to)
{
	ap_usec_t whole = (ap_usec_t)(from + hunt_below(r, to - from + 1)) * AP_MSEC;

	return whole + (ap_usec_t)hunt_below(r, 1000);
}

static inline size_t hunt_draw_act(ap_rng_t *r)
{
	uint64_t sum = 0;
	uint64_t at;

	for (size_t i = 0; i < hunt_n_acts; i++)
		sum += hunt_acts[i].weight;
	at = hunt_below(r, sum);
	for (size_t i = 0; i < hunt_n_acts; i++) {
		if (at < hunt_acts[i].weight)
			return i;
		at -= hunt_acts[i].weight;
	}
	return 0;
}

static inline void hunt_draw_upstream(hunt_scene_t *s, hunt_upstream_t *u)
{
	ap_rng_t *r = &s->rng;
	const hunt_act_t *act;

	*u = (hunt_upstream_t){.held_from = AP_NEVER, .stops_at = AP_NEVER};
	u->act = hunt_draw_act(r);
	u->remote = hunt_chance(r, 4);
	u->first = hunt_msec(r, 20, hunt_chance(r, 3) ? 900 : 150);
	u->pace = hunt_msec(r, 2, hunt_chance(r, 3) ? 250 : 60);
	u->build = hunt_chance(r, 10) ? 8 : 7;
	u->version = hunt_chance(r, 6) ? 4 : 3;
	act = &hunt_acts[u->act];
	if (hunt_chance(r, 6)) {
		u->held_from = HUNT_START + (ap_usec_t)hunt_below(r, (uint64_t)s->left);
		u->held_for = hunt_msec(r, 20, 400);
	}
	if (act->deed == DEED_SLOW)
		u->pace *= 8;
	if (act->stop == STOP_LEAVES || hunt_chance(r, 20))
		u->stops_at = HUNT_START + hunt_msec(r, 0, (unsigned)(s->left / AP_MSEC));
}

static inline void hunt_draw_caller(hunt_scene_t *s)
{
	ap_rng_t *r = &s->rng;
	uint64_t left = (uint64_t)s->left;

	s->leaves_at = s->pauses_at = s->reads_at = AP_NEVER;
	if (hunt_chance(r, 12))
		s->leaves_at = HUNT_START + (ap_usec_t)hunt_below(r, left);
	if (hunt_chance(r, 8)) {
		s->pauses_at = HUNT_START + (ap_usec_t)hunt_below(r, left);
		s->reads_at = s->pauses_at + hunt_msec(r, 5, 800);
	}
	if (s->route.kind == AP_KIND_STREAM && s->route.resumable && hunt_chance(r, 6)) {
		s->taken_up = 1 + (unsigned)hunt_below(r, s->events);
		s->version = hunt_chance(r, 2) ? 3 : 0;
	}
}

/* Drawn apart, so that a seed plays the same request with second attempts and without. */
static inline void hunt_draw_seconds(hunt_scene_t *s)
{
	ap_rng_t rng;

	ap_rng_seed(&rng, ap_hash(&s->seed, sizeof(s->seed), 1));
	s->slow_after = hunt_msec(&rng, 5, hunt_chance(&rng, 2) ? 400 : 60);
}

static inline void hunt_draw(hunt_scene_t *s, uint64_t seed, bool verbose)
{
	static const ap_kind_t kinds[] = {AP_KIND_STREAM, AP_KIND_STREAM, AP_KIND_STREAM,
					  AP_KIND_IDEMPOTENT, AP_KIND_ONCE};
	static const ap_usec_t gaps[] = {0, 200 * AP_MSEC, 500 * AP_MSEC, 1200 * AP_MSEC};
	ap_rng_t *r = &s->rng;

	*s = (hunt_scene_t){.seed = seed, .verbose = verbose, .slow_after = AP_NEVER};
	ap_rng_seed(r, seed);
	s->route.kind = kinds[hunt_below(r, 5)];
	s->route.objective = hunt_msec(r, 100, 800);
	s->route.event_gap = gaps[hunt_below(r, 4)];
	s->route.resumable = s->route.kind == AP_KIND_STREAM && !hunt_chance(r, 3);
	s->left = hunt_chance(r, 3) ? hunt_msec(r, 60, 600) : hunt_msec(r, 600, 4000);
	s->route.timeout = hunt_chance(r, 3) ? s->left - s->left / 5 : 10 * AP_SEC;
	s->attempts = 1 + (unsigned)hunt_below(r, 3);
	s->budget = hunt_chance(r, 5) ? 0 : 10;
	s->events = 1 + (unsigned)hunt_below(r, HUNT_EVENTS_MAX);
	s->pool.event_tokens = hunt_chance(r, 4) ? 6 : 0;
	s->arrivals = hunt_chance(r, 2);
	s->joined = hunt_chance(r, 2);
	s->tick_first = hunt_chance(r, 2);
	s->none = hunt_chance(r, 3) ? AP_FLEET_BACKOFF : AP_FLEET_NONE;
	hunt_draw_caller(s);
	for (size_t i = 0; i < HUNT_UPSTREAMS; i++)
		hunt_draw_upstream(s, &s->up[i]);
}

static inline hunt_step_t *hunt_add(hunt_steps_t *l, ap_usec_t at, hunt_step_kind_t kind)
{
	hunt_step_t *step = &l->step[l->n++];

	assert(l->n <= HUNT_STEPS_MAX);
	*step = (hunt_step_t){.at = at, .kind = kind};
	return step;
}

static inline void hunt_add_data(hunt_steps_t *l, ap_usec_t at, const void *data, size_t len)
{
	hunt_step_t *step = hunt_add(l, at, STEP_DATA);

	assert(l->text_len + len <= HUNT_TEXT_MAX);
	step->from = l->text_len;
	step->len = len;
	memcpy(l->text + l->text_len, data, len);
	l->text_len += len;
}

static inline void hunt_add_end(hunt_steps_t *l, ap_usec_t at, ap_connection_end_t end)
{
	hunt_add(l, at, STEP_END)->end = end;
}

#endif
