/* Continuous batching: slots, a priority queue, prefill and decode simulated by timers. */
#ifndef STANDIN_BATCH_H
#define STANDIN_BATCH_H

#include "cache.h"
#include "server.h"

#include "route/route.h"

#define TOKEN_BYTES 4 /* bytes of prompt text per token */

/**
 * struct job - one inference request, running or queued.
 * @begin: number of the first token to send, above 0 for a resumed stream
 * @next: number of the next token
 * @end: number of tokens of the complete response
 * @due: time of the next token
 */
typedef struct job {
	TAILQ_ENTRY(job) link;
	struct batch *batch;
	exchange_t *x;
	struct event *timer;
	fault_t fault;
	char model[AP_NAME_MAX];
	char version[AP_NAME_MAX]; /* of the model, named in each event */
	bool chat;
	bool stream;
	bool running;
	int priority;
	uint64_t seed;
	uint64_t blocks[AP_PREFIX_BLOCKS_MAX];
	size_t n_blocks;
	unsigned prompt_tokens;
	unsigned cached_tokens;
	unsigned begin;
	unsigned next;
	unsigned end;
	ap_usec_t due;
	char *text;
	size_t len;
} job_t;

TAILQ_HEAD(jobs, job);

typedef struct batch {
	struct event_base *base;
	cache_t cache;
	unsigned slots;
	double prefill_us;
	double decode_us;
	unsigned running;
	unsigned waiting;
	struct jobs jobs;
} batch_t;

/** batch_add() - queues a job made with calloc(); takes ownership and frees the job at its end. */
void batch_add(batch_t *b, job_t *job);

#endif
