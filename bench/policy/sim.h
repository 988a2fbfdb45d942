/*
 * Simulates fake upstreams in virtual time, with batch slots, a prefix cache of limited size and
 * delayed load reports. A run drives one policy through a list of arrivals made beforehand.
 */
#ifndef AP_BENCH_SIM_H
#define AP_BENCH_SIM_H

#include "limit/limit.h"
#include "route/route.h"

#include <sys/queue.h>
#include <uthash.h>

#define REGIONS 3
#define PER_REGION 16 /* upstreams per region */
#define UPSTREAMS (REGIONS * PER_REGION)
#define BATCH 8		  /* slots of an upstream */
#define CACHE_BLOCKS 1000 /* prefix blocks that an upstream's cache holds */
#define BLOCK_TOKENS 128
#define PREFILL_US 100.0		 /* per prompt token that is not cached */
#define DECODE_US 10000.0		 /* per generated token */
#define HOP (30 * AP_MSEC)		 /* one-way delay to a remote region */
#define UNANSWERED_LATENCY (30 * AP_SEC) /* counted for a request without a response */
#define ATTEMPTS_MAX 4

/**
 * struct arrival - one request; every policy of a row gets the same ones.
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
 * struct fault - fault of some upstreams of one region from @from until @to.
 * @stride: the fault hits each upstream whose number within the region is not a multiple of
 *          @stride; 0: only the first upstream
 * @slow: factor on the upstream's times; 0: none
 * @fail: probability that an attempt is reset before its first token
 * @gone: the upstream fails all attempts and leaves the platform's list
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
 * struct row - one scenario of the benchmark.
 * @load: offered work as a fraction of the capacity, by region
 * @swing: relative amplitude of a sine over the run, shifted by a third of its period per region
 * @burst: factor on the rate of long requests in the middle fifth of the run
 * @entries: per region
 * @cache_lost: probability that a cache event is lost
 * @uneven: load is uneven or upstreams fail, so the tail must be a third below the best baseline
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

#define VIEW_LAG (2 * AP_SEC) /* delay of the platform's list of upstreams */
#define RUN_TIME (150 * AP_SEC)
#define WARM_UP (30 * AP_SEC)

typedef struct job job_t;
typedef struct engine engine_t;
typedef struct sim sim_t;

/**
 * struct job - a request in progress.
 * @generation: raised when an attempt ends; scheduled events of an older generation are void
 * @at_region: region that serves the request
 * @cached: prompt tokens that the engine had cached
 * @dispatched: start of the last attempt
 * @latency: from arrival to the first token
 * @cost: price of all attempts, micro-units
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
 * @stored, @removed: hashes of blocks stored and evicted since the last cache event
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
 * struct policy - a routing policy under comparison.
 * @arrived: a request arrived; calls sim_dispatch(), sim_forward() or sim_give_up()
 * @forwarded: a forwarded request reached the remote region; decides as @arrived does
 * @refused: the remote region refused a forwarded request, which is back at its entry
 * @failed: an attempt ended without a first token; decides about another attempt
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
 * struct result - sums over the requests that arrived after the warm-up.
 * @latency: milliseconds to the first token, one for each request
 * @answered: requests with a first token
 * @forwarded: requests that a remote region served
 * @priority_inversions: requests of the first class that were shed although the same entry had
 *                       admitted one of a lower class since their arrival
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
	ap_usec_t *lower_admitted; /* by region and entry: last admission of a lower class */
	result_t *result;
};

/** sim_run() - runs one policy through @arrivals and adds the outcome to @result. */
void sim_run(const row_t *row, const policy_t *policy, const arrival_t *arrivals, size_t n,
	     uint64_t seed, result_t *result);
void sim_dispatch(sim_t *sim, job_t *job, int engine);
void sim_forward(sim_t *sim, job_t *job, int region, int entry);
/** sim_refuse() - returns a forwarded job to the entry where it arrived. */
void sim_refuse(sim_t *sim, job_t *job);
/** sim_give_up() - ends a job without a response and counts it as shed. */
void sim_give_up(sim_t *sim, job_t *job);
/** sim_admitted() - notes the admission of @job, to detect priority inversions. */
void sim_admitted(sim_t *sim, const job_t *job);
bool sim_engine_gone(const sim_t *sim, const engine_t *engine);
bool sim_fault_fails(sim_t *sim, const engine_t *engine);
double sim_fault_slow(const sim_t *sim, const engine_t *engine);
void sim_push(sim_t *sim, ap_usec_t at, sim_kind_t kind, job_t *job, void *data);

void engine_init(engine_t *e, int region, int number, const ap_pool_t *pool);
void engine_clear(engine_t *e);
void engine_submit(sim_t *sim, engine_t *e, job_t *job);
/** engine_drop() - closes the connection of a queued or running job. */
void engine_drop(sim_t *sim, engine_t *e, job_t *job);
void engine_end(sim_t *sim, engine_t *e, job_t *job);

/** workload_make() - returns the arrivals of one row and seed by time; the caller frees them. */
arrival_t *workload_make(const row_t *row, uint64_t seed, size_t *n);
ap_conf_t *workload_conf(void);
/** workload_view() - returns all upstreams and entries; @lost leaves out the upstreams at fault. */
ap_view_t *workload_view(const ap_conf_t *conf, const row_t *row, bool lost);
bool fault_hits(const fault_t *fault, int region, int number);
const char *workload_service(ap_class_t cls);
/** workload_tokens_out() - returns the mean number of generated tokens per request. */
uint32_t workload_tokens_out(ap_class_t cls);
/** workload_pool() - returns the pool of an upstream; odd numbers are in the cheaper pool. */
const ap_pool_t *workload_pool(const ap_conf_t *conf, int engine);
extern const char *const region_names[REGIONS];

extern const policy_t policy_library;
extern const policy_t policy_random;
extern const policy_t policy_round_robin;
extern const policy_t policy_least_outstanding;
extern const policy_t policy_two_choices;
extern const policy_t policy_prefix;

#endif
