/*
 * Virtual time and a few fake upstreams with batch slots, a prefix cache of limited memory and
 * lagging reports, to drive one policy per run through arrivals that are made beforehand.
 */
#ifndef AP_BENCH_SIM_H
#define AP_BENCH_SIM_H

#include "limit/limit.h"
#include "route/route.h"

#include <sys/queue.h>
#include <uthash.h>

#define REGIONS 3
#define PER_REGION 16 /* upstreams */
#define UPSTREAMS (REGIONS * PER_REGION)
#define BATCH 8		  /* slots of an upstream */
#define CACHE_BLOCKS 1000 /* prefix blocks that an upstream's memory holds */
#define BLOCK_TOKENS 128
#define PREFILL_US 100.0
#define DECODE_US 10000.0
#define HOP (30 * AP_MSEC)		 /* one way to another region */
#define UNANSWERED_LATENCY (30 * AP_SEC) /* latency that a request without answer counts as */
#define ATTEMPTS_MAX 4

/**
 * struct arrival - one request, the same for every policy of a row.
 * @entry: index of the entry within its region
 */
typedef struct arrival {
	ap_usec_t at;
	int region;
	int entry;
	ap_class_t cls;
	uint32_t tokens_in;
	uint32_t tokens_out;
	uint64_t blocks[AP_PREFIX_BLOCKS_MAX];
	size_t n_blocks;
} arrival_t;

/**
 * struct fault - what a row does to upstreams for a while.
 * @stride: hits every upstream whose number within the region is not a multiple of it; 0 for
 *          only the first
 * @slow: factor on its times
 * @fail: chance that an attempt is reset before its first token
 */
typedef struct fault {
	int region;
	int stride;
	ap_usec_t from;
	ap_usec_t to;
	double slow;
	double fail;
	bool gone;
} fault_t;

/**
 * struct row - one setting of the bench.
 * @load: offered work as a part of the capacity, by region
 * @swing: amplitude of a sine over the run, shifted by a third of it per region
 * @burst: factor on long requests in the middle fifth of the run
 * @uneven: load is uneven or faulty, so the tail must be a third lower
 */
typedef struct row {
	const char *name;
	double load[REGIONS];
	double swing;
	double burst;
	int entries;
	ap_usec_t report_lag;
	double cache_lost;
	fault_t fault;
	bool uneven;
} row_t;

#define VIEW_LAG (2 * AP_SEC) /* of the platform's list of instances */
#define RUN_TIME (150 * AP_SEC)
#define WARM_UP (30 * AP_SEC)

typedef struct job job_t;
typedef struct engine engine_t;
typedef struct sim sim_t;

/**
 * struct job - one request on its way.
 * @generation: raised when scheduled events of an older attempt are void
 * @at_region: where it is being served
 * @cached: prompt tokens that the engine had cached
 */
struct job {
	const arrival_t *arrival;
	ap_request_t req;
	int at_region;
	int entry;
	int engine;
	unsigned generation;
	unsigned attempts;
	unsigned priority;
	ap_choice_t choice;
	char tried[ATTEMPTS_MAX][AP_NAME_MAX];
	uint32_t cached;
	bool answered;
	bool ended;
	bool queued;
	bool running;
	ap_usec_t dispatched;
	ap_usec_t latency;
	double cost;
	TAILQ_ENTRY(job) link;
};

TAILQ_HEAD(job_queue, job);

typedef struct cached_block {
	uint64_t block;
	UT_hash_handle hh;
	TAILQ_ENTRY(cached_block) link;
} cached_block_t;

TAILQ_HEAD(block_queue, cached_block);

#define CACHE_CHANGES_MAX 4096

/**
 * struct engine - a fake upstream.
 * @stored, @removed: blocks since the last cache event
 */
struct engine {
	int region;
	int number;
	const ap_pool_t *pool;
	struct job_queue waiting[AP_CLASS_COUNT];
	uint32_t n_waiting;
	uint32_t n_running;
	struct job_queue running;
	cached_block_t *cache;
	struct block_queue lru;
	uint64_t cache_seq;
	uint64_t stored[CACHE_CHANGES_MAX];
	size_t n_stored;
	uint64_t removed[CACHE_CHANGES_MAX];
	size_t n_removed;
};

/**
 * struct policy - what is compared.
 * @arrived: decide; calls sim_dispatch(), sim_forward() or sim_give_up()
 * @failed: an attempt ended without an answer; decide about another one
 * @view: sim->view was replaced
 */
typedef struct policy {
	const char *name;
	void *(*new_state)(sim_t *sim);
	void (*free_state)(void *state);
	void (*arrived)(void *state, job_t *job);
	void (*forwarded)(void *state, job_t *job);
	void (*refused)(void *state, job_t *job);
	void (*started)(void *state, job_t *job);
	void (*first_token)(void *state, job_t *job, uint32_t cached);
	void (*finished)(void *state, job_t *job);
	void (*failed)(void *state, job_t *job, ap_attempt_end_t end);
	void (*load)(void *state, const ap_load_report_t *report, int engine);
	void (*cache)(void *state, const ap_cache_event_t *event, int engine);
	void (*tick)(void *state);
	void (*view)(void *state);
} policy_t;

typedef enum sim_kind {
	SIM_ARRIVE,
	SIM_FIRST_TOKEN,
	SIM_END,
	SIM_FAIL,
	SIM_TIMEOUT,
	SIM_FORWARDED,
	SIM_REFUSED,
	SIM_REPORT,
	SIM_REPORTED,
	SIM_CACHE_EVENTS,
	SIM_TICK,
	SIM_VIEW,
	SIM_UPSTREAMS_LOST,
} sim_kind_t;

typedef struct sim_event {
	ap_usec_t at;
	uint64_t order;
	sim_kind_t kind;
	unsigned generation;
	job_t *job;
	void *data;
} sim_event_t;

/**
 * struct result - what one run gave, after the warm-up.
 * @priority_inversions: of the first class, where a lower one was admitted since the request came
 */
typedef struct result {
	double *latency[AP_CLASS_COUNT];
	size_t n[AP_CLASS_COUNT];
	size_t answered[AP_CLASS_COUNT];
	double cost[AP_CLASS_COUNT];
	size_t requests;
	size_t forwarded;
	size_t sheds[AP_CLASS_COUNT];
	size_t retries;
	size_t priority_inversions;
} result_t;

struct sim {
	const row_t *row;
	const policy_t *policy;
	void *state;
	ap_conf_t *conf;
	ap_view_t *view;
	ap_rng_t rng;
	ap_usec_t now;
	engine_t engines[UPSTREAMS];
	sim_event_t *heap;
	size_t n_heap;
	size_t heap_max;
	uint64_t order;
	job_t *jobs;
	size_t n_jobs;
	ap_usec_t *lower_admitted; /* by region and entry: when a lower class was admitted last */
	result_t *result;
};

/** sim_run() - one policy through @arrivals; adds to @result. */
void sim_run(const row_t *row, const policy_t *policy, const arrival_t *arrivals, size_t n,
	     uint64_t seed, result_t *result);
void sim_dispatch(sim_t *sim, job_t *job, int engine);
void sim_forward(sim_t *sim, job_t *job, int region, int entry);
/** sim_refuse() - a forwarded job goes back to where it came from. */
void sim_refuse(sim_t *sim, job_t *job);
void sim_give_up(sim_t *sim, job_t *job);
void sim_admitted(sim_t *sim, const job_t *job);
bool sim_engine_gone(const sim_t *sim, const engine_t *engine);
bool sim_fault_fails(sim_t *sim, const engine_t *engine);
double sim_fault_slow(const sim_t *sim, const engine_t *engine);
void sim_push(sim_t *sim, ap_usec_t at, sim_kind_t kind, job_t *job, void *data);

void engine_init(engine_t *e, int region, int number, const ap_pool_t *pool);
void engine_clear(engine_t *e);
void engine_submit(sim_t *sim, engine_t *e, job_t *job);
/** engine_drop() - the job's connection is closed, wherever it is in the engine. */
void engine_drop(sim_t *sim, engine_t *e, job_t *job);
void engine_end(sim_t *sim, engine_t *e, job_t *job);

/** workload_make() - arrivals of one row and seed, in order of time. */
arrival_t *workload_make(const row_t *row, uint64_t seed, size_t *n);
ap_conf_t *workload_conf(void);
/** workload_view() - upstreams and entries; without the lost upstreams when @lost. */
ap_view_t *workload_view(const ap_conf_t *conf, const row_t *row, bool lost);
bool fault_hits(const fault_t *fault, int region, int number);
const char *workload_service(ap_class_t cls);
/** workload_tokens_out() - generated tokens of a mean request. */
uint32_t workload_tokens_out(ap_class_t cls);
/** workload_pool() - the pool of an upstream: every second one is of the cheaper kind. */
const ap_pool_t *workload_pool(const ap_conf_t *conf, int engine);
extern const char *const region_names[REGIONS];

extern const policy_t policy_library;
extern const policy_t policy_random;
extern const policy_t policy_round_robin;
extern const policy_t policy_least_outstanding;
extern const policy_t policy_two_choices;
extern const policy_t policy_prefix;

#endif
