/* The upstream and the gateway of the path benchmark, each in a thread of its own. */
#ifndef AP_BENCH_PATH_H
#define AP_BENCH_PATH_H

#include "entry.h"

#include <pthread.h>

#define PATH_KEY "bench-key"

/**
 * struct path_upstream - an upstream that streams tokens at a fixed pace.
 * @interval: microseconds between tokens
 * @tokens: tokens of one response
 * @open: streams in progress
 */
typedef struct path_upstream {
	struct event_base *base;
	struct evhttp *http;
	uint16_t port;
	atomic_long interval;
	atomic_int tokens;
	atomic_int open;
	pthread_t thread;
} path_upstream_t;

void path_upstream_start(path_upstream_t *up);
void path_upstream_stop(path_upstream_t *up);

/**
 * struct path_gateway - one entry with one upstream behind it.
 */
typedef struct path_gateway {
	struct event_base *base;
	entry_t *entry;
	ap_settings_t settings;
	ap_hlc_t clock;
	ap_conf_t *conf;
	pthread_t thread;
} path_gateway_t;

void path_gateway_start(path_gateway_t *g, uint16_t upstream);
void path_gateway_stop(path_gateway_t *g);
/** path_cpu() - returns the processor time of a thread so far, microseconds. */
ap_usec_t path_cpu(pthread_t thread);

#endif
