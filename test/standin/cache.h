/* Prefix cache of limited memory, least recently used out first, with its event publisher. */
#ifndef STANDIN_CACHE_H
#define STANDIN_CACHE_H

#include "base/base.h"

#include <sys/queue.h>
#include <uthash.h>

typedef struct block {
	uint64_t hash;
	TAILQ_ENTRY(block) link;
	UT_hash_handle hh;
} block_t;

/**
 * struct cache - blocks held, the latest used first.
 * @max: blocks at most
 * @seq: number of the last event
 * @lose: share of events that are lost on their way
 * @publisher: ZeroMQ socket, or NULL
 */
typedef struct cache {
	TAILQ_HEAD(blocks, block) used;
	block_t *blocks;
	size_t max;
	uint64_t seq;
	double loss;
	ap_rng_t rng;
	void *zmq;
	void *publisher;
} cache_t;

/** cache_init() - @endpoint: where events are published, or NULL. Return: false when taken. */
bool cache_init(cache_t *c, size_t max, const char *endpoint, double loss, uint64_t seed);
void cache_clear(cache_t *c);
/** cache_use() - how many of the first blocks are held; then holds all of them. */
size_t cache_use(cache_t *c, const uint64_t *blocks, size_t n);
/** cache_usage() - share of the memory in use, 0 to 1. */
double cache_usage(const cache_t *c);

#endif
