/* Bounded prefix cache with LRU eviction, and the publisher of its events. */
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
 * struct cache - cached blocks, the most recently used first.
 * @max: capacity in blocks
 * @seq: sequence number of the last event
 * @loss: share of events that are dropped, 0 to 1
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

/** cache_init() - @endpoint: where events are published, or NULL. Return: false if not bound. */
bool cache_init(cache_t *c, size_t max, const char *endpoint, double loss, uint64_t seed);
void cache_clear(cache_t *c);
/** cache_use() - adds all @n blocks. Return: how many of the first blocks were cached before. */
size_t cache_use(cache_t *c, const uint64_t *blocks, size_t n);
/** cache_usage() - share of the capacity in use, 0 to 1. */
double cache_usage(const cache_t *c);

#endif
