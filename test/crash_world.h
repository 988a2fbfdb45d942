/*
 * Engines and a plain service of three regions and the requests at them, in virtual time. A part of
 * a prompt, or one request that callers repeat, may crash each upstream that begins to respond to
 * it. Engines also crash on their own, one by one or all of a region at once, or break responses
 * off without ending. The instances that send the requests run in crash_instances.h.
 */
#ifndef AP_TEST_CRASH_WORLD_H
#define AP_TEST_CRASH_WORLD_H

#include "fake_sim.h"
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define CW_REGIONS 3
#define CW_ENGINES 8 /* per region */
#define CW_DESKS 1   /* upstreams of the plain service, per region */
/* The engines come first, by region, then the others. */
#define CW_ALL_ENGINES (CW_REGIONS * CW_ENGINES)
#define CW_UPSTREAMS (CW_ALL_ENGINES + CW_REGIONS * CW_DESKS)
#define CW_INSTANCES 90			/* at most, in all regions */
#define CW_SUBJECTS 20			/* long first parts */
#define CW_TOPICS 400			/* short second parts */
#define CW_BAD_PART 0xbad		/* crashes engines */
#define CW_DEADLY 0xdead		/* fingerprint of the request that does */
#define CW_PAIRED_PART 0xbea		/* comes with the bad part, and by itself only later */
#define CW_DOWN_TIME (3 * AP_SEC)	/* of a crashed engine */
#define CW_RECORD_TIME (3600 * AP_MSEC) /* until the record of a crashed engine is removed */
#define CW_STABLE (5 * AP_SEC)
#define CW_IN_FLIGHT 8192
#define CW_ENDS_ALLOWED 5	 /* upstreams that a part may end before the bound holds */
#define CW_DEADLY_ENDS_ALLOWED 3 /* likewise a request */
#define CW_SENDS_ALLOWED 3	 /* bad requests that may be sent from then on */

typedef struct cw cw_t;

typedef struct cw_engine {
	int region;
	int number;
	unsigned life;
	char id[AP_NAME_MAX];
	bool up;
	bool grey; /* breaks off some responses */
} cw_engine_t;

/* How an instance is cut off from all upstreams. */
typedef enum cw_cut {
	CW_CUT_NONE,
	CW_CUT_HANG,   /* connections, new ones too, hang */
	CW_CUT_RESET,  /* connections are reset, new ones are refused */
	CW_CUT_REFUSE, /* connections live on, new ones are refused */
	CW_CUTS,
} cw_cut_t;

typedef struct cw_instance {
	cw_t *w;
	int number;
	int region;
	char id[AP_NAME_MAX];
	unsigned life;
	bool up;
	bool alone; /* cut off from the other instances */
	cw_cut_t cut;
	ap_usec_t disturbed_at; /* when it last started or was cut off */
	ap_fleet_t *fleet;
} cw_instance_t;

typedef enum cw_kind {
	CW_SOUND,
	CW_SUBJECT, /* shares its first part with the bad requests */
	CW_BAD,
	CW_PAIRED,
	CW_PLAIN,
	CW_DEADLY_PROMPT, /* the request that crashes engines */
	CW_DEADLY_PLAIN,  /* the one that crashes upstreams of the plain service */
} cw_kind_t;

/* A request of a caller. */
typedef struct cw_request {
	bool open;
	cw_kind_t kind;
	bool first_attempt;
	unsigned retries; /* left to the caller */
	unsigned attempts;
	uint64_t send;		/* number of the latest send */
	struct cw_count *count; /* where the request counts; NULL for nowhere */
	cw_instance_t *instance;
	unsigned instance_life;
	cw_engine_t *engine;
	unsigned engine_life;
	ap_dispatch_t req;
	ap_inflight_t inflight;
} cw_request_t;

/* An event of one send; it has no effect if the request was sent again or has ended. */
typedef struct cw_sent {
	cw_request_t *request;
	uint64_t send;
} cw_sent_t;

/* Requests of one kind in one period. */
typedef struct cw_count {
	unsigned sent;
	unsigned begun;
} cw_count_t;

struct cw {
	fake_sim_t sim;
	int per_region; /* instances */
	double sound_rate;
	double subject_rate; /* sound requests with the first part of the bad ones, per second */
	double bad_rate;
	double plain_rate;
	cw_kind_t bad_kind;
	unsigned ends_allowed;
	bool store_silent;
	bool paired; /* bad requests have a second part that no other request has */
	bool bad;    /* the bad requests crash upstreams */
	cw_engine_t engines[CW_UPSTREAMS];
	cw_instance_t instances[CW_INSTANCES];
	cw_request_t *requests;
	uint64_t n_own; /* fingerprints and parts of single requests */
	uint64_t n_sends;
	unsigned ends;	     /* upstreams that the bad requests ended */
	ap_usec_t bound_end; /* the last of @ends_allowed; 0 before */
	ap_usec_t last_end;
	unsigned sends_after; /* bad requests later than CW_STABLE after it, from instances in touch
			       */
	unsigned bad_arrived;
	unsigned bad_done;
	unsigned sound_refused; /* not for a long wait, while half of the region's upstreams were up
				 */
	cw_count_t calm;	/* CW_SUBJECT before the first end */
	cw_count_t troubled;	/* CW_SUBJECT later than 2 CW_STABLE after @bound_end */
	cw_count_t paired_alone;
	ap_usec_t bad_until;
	bool verbose;
};

static inline void cw_note(const cw_t *w, const char *what, const char *id)
{
	if (w->verbose)
		print_message("%.3f %s %s\n", (double)(w->sim.now - WORLD_START) / 1e6, what, id);
}

static const ap_plan_pool_t cw_pool = {.name = "engines", .slots = 64, .kv_tokens = 300000};
static const ap_plan_route_t cw_route = {
	.name = "stream",
	.kind = AP_KIND_STREAM,
	.resumable = true,
	.timeout = 8 * AP_SEC,
	.objective = 1500 * AP_MSEC,
	.attempts = 2,
};

static const ap_plan_pool_t cw_desks = {.name = "desks", .slots = 6};
static const ap_plan_route_t cw_print = {
	.name = "print",
	.kind = AP_KIND_IDEMPOTENT,
	.timeout = 4 * AP_SEC,
	.objective = 400 * AP_MSEC,
	.attempts = 2,
};

static inline bool cw_is_bad(cw_kind_t kind)
{
	return kind == CW_BAD || kind == CW_DEADLY_PROMPT || kind == CW_DEADLY_PLAIN;
}

static inline bool cw_is_plain(cw_kind_t kind)
{
	return kind == CW_PLAIN || kind == CW_DEADLY_PLAIN;
}

static inline bool cw_is_engine(const cw_t *w, const cw_engine_t *e)
{
	return e < w->engines + CW_ALL_ENGINES;
}

static const char *const cw_regions[CW_REGIONS] = {"r0", "r1", "r2"};

/* Engines. */

static inline void cw_list_engine(cw_t *w, const cw_engine_t *e, ap_fleet_t *f)
{
	const ap_plan_pool_t *pool = cw_is_engine(w, e) ? &cw_pool : &cw_desks;
	ap_replica_entry_t entry = world_entry(e->id, pool->name, cw_regions[e->region]);

	entry.slots = pool->slots;
	ap_fleet_update_replica(f, &entry, w->sim.now);
}

static inline void cw_engine_start(void *arg, void *data)
{
	cw_t *w = arg;
	cw_engine_t *e = &w->engines[*(int *)data];

	e->up = true;
	snprintf(e->id, sizeof(e->id), "%c%d.%d.%u", cw_is_engine(w, e) ? 'e' : 'd', e->region,
		 e->number, ++e->life);
	for (int i = 0; i < w->per_region * CW_REGIONS; i++) {
		if (w->instances[i].up)
			cw_list_engine(w, e, w->instances[i].fleet);
	}
}

static inline void cw_remove_record(void *arg, void *data)
{
	cw_t *w = arg;

	for (int i = 0; i < w->per_region * CW_REGIONS; i++) {
		if (w->instances[i].up)
			ap_fleet_remove_replica(w->instances[i].fleet, data, false, w->sim.now);
	}
}

static inline void cw_failed(cw_t *w, cw_request_t *r, ap_dispatch_result_t end);

/* All requests at @e are broken; it is back, as a new incarnation, after a while. */
static inline void cw_crash(cw_t *w, cw_engine_t *e)
{
	int *later = malloc(sizeof(*later));
	char *id = strdup(e->id);

	assert_true(later && id);
	cw_note(w, "upstream ends", e->id);
	e->up = false;
	*later = (int)(e - w->engines);
	fake_at(&w->sim, w->sim.now + CW_DOWN_TIME, cw_engine_start, w, later);
	fake_at(&w->sim, w->sim.now + CW_RECORD_TIME, cw_remove_record, w, id);
	for (size_t i = 0; i < CW_IN_FLIGHT; i++) {
		cw_request_t *r = &w->requests[i];

		if (r->open && r->engine == e && r->engine_life == e->life)
			cw_failed(w, r, AP_DISPATCH_BROKEN);
	}
}

static inline void cw_bad_end(cw_t *w, cw_engine_t *e)
{
	w->last_end = w->sim.now;
	if (++w->ends == w->ends_allowed)
		w->bound_end = w->sim.now;
	cw_crash(w, e);
}

/* Requests. */

static inline bool cw_in_touch(const cw_t *w, const cw_instance_t *n)
{
	return !n->alone && w->sim.now - n->disturbed_at >= CW_STABLE;
}

/* Returns where a request that is sent now counts. */
static inline cw_count_t *cw_counts(cw_t *w, const cw_request_t *r)
{
	ap_usec_t from = w->ends >= w->ends_allowed ? w->bound_end : w->last_end;

	if (r->kind == CW_PAIRED)
		return &w->paired_alone;
	if (r->kind != CW_SUBJECT || !cw_in_touch(w, r->instance))
		return NULL;
	if (w->ends == 0)
		return &w->calm;
	return w->bad && w->sim.now > from + 2 * CW_STABLE ? &w->troubled : NULL;
}

/* Returns whether half of the upstreams in @region that @kind of requests goes to are up. */
static inline bool cw_mostly_up(const cw_t *w, int region, cw_kind_t kind)
{
	int all = 0;
	int up = 0;

	for (int i = 0; i < CW_UPSTREAMS; i++) {
		if (w->engines[i].region != region ||
		    cw_is_engine(w, &w->engines[i]) == cw_is_plain(kind))
			continue;
		all++;
		up += w->engines[i].up;
	}
	return 2 * up >= all;
}

static inline void cw_begin(void *arg, void *data);

static inline bool cw_alive(const cw_request_t *r)
{
	return r->instance->up && r->instance->life == r->instance_life;
}

static inline void cw_retry_later(cw_t *w, const cw_request_t *r);

/* Runs an event of the latest send of @r after @delay. */
static inline void cw_at(cw_t *w, ap_usec_t delay, void (*run)(void *, void *), cw_request_t *r)
{
	cw_sent_t *sent = malloc(sizeof(*sent));

	assert_non_null(sent);
	*sent = (cw_sent_t){r, r->send};
	fake_at(&w->sim, w->sim.now + delay, run, w, sent);
}

/* Returns the request behind an event; NULL if the event is out of date. */
static inline cw_request_t *cw_current(const cw_sent_t *sent)
{
	cw_request_t *r = sent->request;

	return r->open && r->send == sent->send && r->engine->up &&
			       r->engine->life == r->engine_life
		       ? r
		       : NULL;
}

/* Sends @r to an engine, or ends it if it is refused. */
static inline void cw_send(cw_t *w, cw_request_t *r)
{
	cw_instance_t *n = r->instance;
	ap_fleet_status_t status;
	ap_target_t target;

	status = ap_fleet_choose(n->fleet, &r->req, w->sim.now, &target);
	if (status != AP_FLEET_OK) {
		if (!cw_is_bad(r->kind) && status != AP_FLEET_LATE &&
		    (status == AP_FLEET_HELD || cw_mostly_up(w, n->region, r->kind))) {
			w->sound_refused++;
			cw_note(w,
				status == AP_FLEET_HELD ? "sound request held back by"
							: "sound request refused by",
				n->id);
		}
		r->open = false;
		cw_retry_later(w, r);
		return;
	}
	r->engine = NULL;
	for (int i = 0; i < CW_UPSTREAMS; i++) {
		if (strcmp(w->engines[i].id, target.id) == 0 && w->engines[i].up)
			r->engine = &w->engines[i];
	}
	ap_fleet_sent(n->fleet, &r->req, &target, w->sim.now, &r->inflight);
	if (!r->engine) {
		ap_fleet_done(n->fleet, &r->inflight, AP_DISPATCH_UNREACHABLE, w->sim.now);
		if (r->req.n_avoid < AP_TRIED_MAX) {
			ap_copy_name(r->req.avoid[r->req.n_avoid++], AP_NAME_MAX, target.id);
			cw_send(w, r);
		} else {
			r->open = false;
		}
		return;
	}
	r->engine_life = r->engine->life;
	if (cw_is_bad(r->kind) && w->bad && w->bound_end > 0 &&
	    w->sim.now > w->bound_end + CW_STABLE && cw_in_touch(w, n)) {
		w->sends_after++;
		cw_note(w, "bad request sent by", n->id);
	}
	r->send = ++w->n_sends;
	cw_at(w,
	      cw_is_plain(r->kind) ? 10 * AP_MSEC + (ap_usec_t)ap_rng_below(&w->sim.rng, 60000)
				   : 50 * AP_MSEC + (ap_usec_t)ap_rng_below(&w->sim.rng, 250000),
	      cw_begin, r);
}

static inline cw_request_t *cw_open(cw_t *w, cw_kind_t kind)
{
	for (size_t i = 0; i < CW_IN_FLIGHT; i++) {
		cw_request_t *r = &w->requests[i];

		if (r->open)
			continue;
		*r = (cw_request_t){.open = true, .kind = kind};
		return r;
	}
	return NULL;
}

static inline void cw_add_part(ap_dispatch_t *req, uint64_t id, uint32_t tokens)
{
	req->parts[req->n_parts++] = (ap_prompt_part_t){.id = id, .tokens = tokens};
	req->tokens_in += tokens;
}

static inline void cw_prompt(cw_t *w, cw_request_t *r)
{
	ap_dispatch_t *req = &r->req;

	w->n_own++;
	req->fingerprint = cw_is_bad(r->kind) && r->kind != CW_BAD
				   ? CW_DEADLY
				   : ap_hash(&w->n_own, sizeof(w->n_own), 0);
	req->tokens_in = 0;
	if (cw_is_plain(r->kind))
		return;
	if (r->kind == CW_SOUND && ap_rng_below(&w->sim.rng, 4) > 0) {
		cw_add_part(req, 0x5000 + ap_rng_below(&w->sim.rng, CW_SUBJECTS), 55);
		cw_add_part(req, 0x70000 + ap_rng_below(&w->sim.rng, CW_TOPICS), 37);
	} else if (r->kind == CW_SOUND) {
		cw_add_part(req, 0x1000 + ap_rng_below(&w->sim.rng, CW_SUBJECTS), 13300);
	} else if (r->kind == CW_PAIRED) {
		cw_add_part(req, CW_PAIRED_PART, 400);
	} else {
		cw_add_part(req, 0x2000, 13300);
	}
	if (r->kind == CW_BAD && w->paired)
		cw_add_part(req, CW_PAIRED_PART, 400);
	if (r->kind == CW_BAD)
		cw_add_part(req, CW_BAD_PART, 200);
	cw_add_part(req, req->fingerprint + 1, 300);
}

/* What a caller sends again. */
typedef struct cw_retry {
	cw_kind_t kind;
	unsigned retries;
	ap_dispatch_t req;
} cw_retry_t;

/* A caller sends a request to any instance. @again: the request that it repeats; NULL if new */
static inline void cw_call(cw_t *w, cw_kind_t kind, unsigned retries, const ap_dispatch_t *again)
{
	bool plain = cw_is_plain(kind);
	cw_instance_t *n =
		&w->instances[ap_rng_below(&w->sim.rng, (uint64_t)w->per_region * CW_REGIONS)];
	cw_request_t *r = n->up ? cw_open(w, kind) : NULL;

	if (!r)
		return;
	r->instance = n;
	r->instance_life = n->life;
	r->first_attempt = true;
	r->retries = retries;
	w->bad_arrived += cw_is_bad(kind);
	r->attempts = kind == CW_SOUND || plain ? 2 : 1 + (unsigned)ap_rng_below(&w->sim.rng, 2);
	r->req = world_request(plain ? &cw_print : &cw_route, plain ? &cw_desks : &cw_pool,
			       w->sim.now);
	r->req.local_only = true;
	if (again) {
		memcpy(r->req.parts, again->parts, sizeof(r->req.parts));
		r->req.n_parts = again->n_parts;
		r->req.tokens_in = again->tokens_in;
		r->req.fingerprint = again->fingerprint;
	} else {
		cw_prompt(w, r);
	}
	r->count = cw_counts(w, r);
	if (r->count)
		r->count->sent++;
	cw_send(w, r);
}

static inline void cw_request(cw_t *w, cw_kind_t kind, unsigned retries)
{
	cw_call(w, kind, retries, NULL);
}

static inline void cw_on_retry(void *arg, void *data)
{
	const cw_retry_t *retry = data;

	cw_call(arg, retry->kind, retry->retries, &retry->req);
}

static inline void cw_retry_later(cw_t *w, const cw_request_t *r)
{
	cw_retry_t *retry = malloc(sizeof(*retry));

	assert_non_null(retry);
	*retry = (cw_retry_t){r->kind, r->retries - 1, r->req};
	if (r->retries > 0)
		fake_at(&w->sim, w->sim.now + 300 * AP_MSEC, cw_on_retry, w, retry);
	else
		free(retry);
}

static inline void cw_failed(cw_t *w, cw_request_t *r, ap_dispatch_result_t end)
{
	if (!cw_alive(r)) {
		r->open = false;
		return;
	}
	ap_fleet_done(r->instance->fleet, &r->inflight, end, w->sim.now);
	r->first_attempt = false;
	if (--r->attempts == 0 || r->req.n_tried == AP_TRIED_MAX) {
		r->open = false;
		cw_retry_later(w, r);
		return;
	}
	ap_copy_name(r->req.tried[r->req.n_tried++], AP_NAME_MAX, r->inflight.id);
	cw_send(w, r);
}

static inline void cw_end(void *arg, void *data)
{
	cw_t *w = arg;
	cw_request_t *r = cw_current(data);

	if (!r)
		return;
	if (r->engine->grey && ap_rng_below(&w->sim.rng, 5) < 2) {
		cw_failed(w, r, AP_DISPATCH_BROKEN);
		return;
	}
	r->open = false;
	w->bad_done += cw_is_bad(r->kind);
	if (cw_alive(r))
		ap_fleet_done(r->instance->fleet, &r->inflight, AP_DISPATCH_DONE, w->sim.now);
}

/* The upstream begins to respond; the response of a plain service is complete at once. */
static inline void cw_begin(void *arg, void *data)
{
	cw_t *w = arg;
	cw_request_t *r = cw_current(data);

	if (!r)
		return;
	if (cw_is_bad(r->kind) && w->bad) {
		cw_bad_end(w, r->engine);
		return;
	}
	if (r->count && r->first_attempt)
		r->count->begun++;
	if (cw_alive(r))
		ap_fleet_first_chunk(r->instance->fleet, &r->inflight, w->sim.now);
	cw_at(w, cw_is_plain(r->kind) ? 0 : 500 * AP_MSEC, cw_end, r);
}

#endif
