/* Prefix cache of the engine stand-in: blocks in LRU order, and events on changes. */
#include "cache.h"

#include <msgpack.h>
#include <stdlib.h>
#include <zmq.h>

bool cache_init(cache_t *c, size_t max, const char *endpoint, double loss, uint64_t seed)
{
	const int no_linger = 0;

	*c = (cache_t){.max = max, .loss = loss};
	TAILQ_INIT(&c->used);
	ap_rng_seed(&c->rng, seed);
	if (!endpoint)
		return true;
	c->zmq = zmq_ctx_new();
	c->publisher = zmq_socket(c->zmq, ZMQ_PUB);
	zmq_setsockopt(c->publisher, ZMQ_LINGER, &no_linger, sizeof(no_linger));
	return zmq_bind(c->publisher, endpoint) == 0;
}

void cache_clear(cache_t *c)
{
	block_t *b = TAILQ_FIRST(&c->used);

	HASH_CLEAR(hh, c->blocks);
	while (b) {
		block_t *next = TAILQ_NEXT(b, link);

		free(b);
		b = next;
	}
	if (!c->publisher)
		return;
	zmq_close(c->publisher);
	zmq_ctx_term(c->zmq);
}

static void publish(cache_t *c, bool stored, const uint64_t *blocks, size_t n)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	c->seq++;
	if (!c->publisher || ap_rng_unit(&c->rng) < c->loss)
		return;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint64(&pk, c->seq);
	if (stored)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
	msgpack_pack_array(&pk, n);
	for (size_t i = 0; i < n; i++)
		msgpack_pack_uint64(&pk, blocks[i]);
	zmq_send(c->publisher, buf.data, buf.size, ZMQ_DONTWAIT);
	msgpack_sbuffer_destroy(&buf);
}

static void evict_block(cache_t *c)
{
	block_t *b = TAILQ_LAST(&c->used, blocks);

	TAILQ_REMOVE(&c->used, b, link);
	HASH_DEL(c->blocks, b);
	publish(c, false, &b->hash, 1);
	free(b);
}

static void insert(cache_t *c, uint64_t hash)
{
	block_t *b;

	HASH_FIND(hh, c->blocks, &hash, sizeof(hash), b);
	if (b) {
		TAILQ_REMOVE(&c->used, b, link);
	} else {
		b = calloc(1, sizeof(*b));
		if (!b)
			abort();
		b->hash = hash;
		HASH_ADD(hh, c->blocks, hash, sizeof(hash), b);
	}
	TAILQ_INSERT_HEAD(&c->used, b, link);
}

size_t cache_use(cache_t *c, const uint64_t *blocks, size_t n)
{
	size_t held = 0;
	block_t *b;

	for (; held < n; held++) {
		HASH_FIND(hh, c->blocks, &blocks[held], sizeof(blocks[0]), b);
		if (!b)
			break;
	}
	for (size_t i = n; i > 0; i--)
		insert(c, blocks[i - 1]);
	if (held < n)
		publish(c, true, blocks + held, n - held);
	while (HASH_COUNT(c->blocks) > c->max)
		evict_block(c);
	return held;
}

double cache_usage(const cache_t *c)
{
	return c->max > 0 ? (double)HASH_COUNT(c->blocks) / (double)c->max : 0.0;
}
