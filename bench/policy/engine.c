/* A fake upstream with batch slots, priorities and a least-recently-used cache of prefix blocks. */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

#define FAIL_DELAY (20 * AP_MSEC) /* from the start of an attempt to its reset */

void engine_init(engine_t *e, int region, int number, const ap_pool_t *pool)
{
	memset(e, 0, sizeof(*e));
	e->region = region;
	e->number = number;
	e->pool = pool;
	for (int c = 0; c < AP_CLASS_COUNT; c++)
		TAILQ_INIT(&e->waiting[c]);
	TAILQ_INIT(&e->running);
	TAILQ_INIT(&e->lru);
}

void engine_clear(engine_t *e)
{
	cached_block_t *block;

	HASH_CLEAR(hh, e->cache);
	while ((block = TAILQ_FIRST(&e->lru))) {
		TAILQ_REMOVE(&e->lru, block, link);
		free(block);
	}
}

static cached_block_t *find_block(const engine_t *e, uint64_t hash)
{
	cached_block_t *block = NULL;

	HASH_FIND(hh, e->cache, &hash, sizeof(hash), block);
	return block;
}

static void add_cache_change(uint64_t *list, size_t *n, uint64_t hash)
{
	if (*n < CACHE_CHANGES_MAX)
		list[(*n)++] = hash;
}

static void evict_oldest(engine_t *e)
{
	cached_block_t *block = TAILQ_FIRST(&e->lru);

	add_cache_change(e->removed, &e->n_removed, block->block);
	HASH_DEL(e->cache, block);
	TAILQ_REMOVE(&e->lru, block, link);
	free(block);
}

static void store_block(engine_t *e, uint64_t hash)
{
	cached_block_t *block = find_block(e, hash);

	if (block) {
		TAILQ_REMOVE(&e->lru, block, link);
		TAILQ_INSERT_TAIL(&e->lru, block, link);
		return;
	}
	if (HASH_COUNT(e->cache) >= CACHE_BLOCKS)
		evict_oldest(e);
	block = calloc(1, sizeof(*block));
	block->block = hash;
	HASH_ADD(hh, e->cache, block, sizeof(block->block), block);
	TAILQ_INSERT_TAIL(&e->lru, block, link);
	add_cache_change(e->stored, &e->n_stored, hash);
}

static uint32_t cached_tokens(const engine_t *e, const arrival_t *a)
{
	size_t depth = 0;

	while (depth < a->n_blocks && find_block(e, a->blocks[depth]))
		depth++;
	return (uint32_t)depth * BLOCK_TOKENS;
}

static void start_job(sim_t *sim, engine_t *e, job_t *job)
{
	const arrival_t *a = job->arrival;
	uint32_t cached = cached_tokens(e, a);
	double slow = sim_fault_slow(sim, e);
	double prefill = (a->tokens_in - cached) * PREFILL_US * slow;
	double decode = a->tokens_out * DECODE_US * slow;
	ap_usec_t first = sim->now + (ap_usec_t)prefill;

	e->n_running++;
	TAILQ_INSERT_TAIL(&e->running, job, link);
	job->running = true;
	job->cached = cached;
	job->cost += ap_price(e->pool, a->tokens_in, cached, a->tokens_out);
	if (sim_fault_fails(sim, e)) {
		sim_push(sim, sim->now + FAIL_DELAY, SIM_FAIL, job, NULL);
		return;
	}
	for (size_t i = 0; i < a->n_blocks; i++)
		store_block(e, a->blocks[i]);
	sim_push(sim, first, SIM_FIRST_TOKEN, job, NULL);
	sim_push(sim, first + (ap_usec_t)decode, SIM_END, job, NULL);
}

static void fill_slots(sim_t *sim, engine_t *e)
{
	for (int c = 0; c < AP_CLASS_COUNT && e->n_running < BATCH;) {
		job_t *job = TAILQ_FIRST(&e->waiting[c]);

		if (!job) {
			c++;
			continue;
		}
		TAILQ_REMOVE(&e->waiting[c], job, link);
		e->n_waiting--;
		start_job(sim, e, job);
	}
}

void engine_submit(sim_t *sim, engine_t *e, job_t *job)
{
	job->running = false;
	if (sim_engine_gone(sim, e)) {
		sim_push(sim, sim->now + AP_MSEC, SIM_FAIL, job, NULL);
		return;
	}
	TAILQ_INSERT_TAIL(&e->waiting[job->priority], job, link);
	job->queued = true;
	e->n_waiting++;
	fill_slots(sim, e);
}

static void remove_job(engine_t *e, job_t *job)
{
	if (job->running) {
		TAILQ_REMOVE(&e->running, job, link);
		e->n_running--;
	} else if (job->queued) {
		TAILQ_REMOVE(&e->waiting[job->priority], job, link);
		e->n_waiting--;
	}
	job->running = false;
	job->queued = false;
}

void engine_drop(sim_t *sim, engine_t *e, job_t *job)
{
	remove_job(e, job);
	job->generation++;
	fill_slots(sim, e);
}

void engine_end(sim_t *sim, engine_t *e, job_t *job)
{
	remove_job(e, job);
	fill_slots(sim, e);
}
