/*
 * Cost of the path through the gateway: delay added to the first token, processor time per request
 * and per token, and memory of open streams. Delay and memory are compared with direct calls to the
 * same upstream in the same run.
 */
#include "path/path.h"

#include <event2/thread.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define DELAY_RATE 100	  /* requests per second, direct and through the gateway each */
#define DELAY_SECONDS 8	  /* including the warm-up */
#define DELAY_WARM_UP 100 /* first requests that are left out: one second's worth */
#define DELAY_TOKENS 8
#define SHARE_RATE 8	 /* requests per second at one node of the design size */
#define SHARE_TOKENS 275 /* tokens per request, which gives 2,200 tokens per second */
#define SHARE_TOKENS_S 2200.0
#define SHARE_INTERVAL 4000 /* microseconds between tokens */
#define SHARE_SECONDS 10
#define STREAMS 1000

#define ADDED_TARGET_MS 1.0
#define CORE_TARGET 0.1
#define MEMORY_TARGET_MB 64.0

static const char body[] = "{\"model\":\"ask\",\"stream\":true,"
			   "\"messages\":[{\"role\":\"user\",\"content\":\"which trays?\"}]}";

typedef struct bench {
	struct event_base *base;
	ap_http_client_t *client;
	path_upstream_t upstream;
	path_gateway_t gateway;
	int open;
	int ended;
	int failed;
} bench_t;

typedef struct call {
	bench_t *bench;
	ap_http_fetch_t *fetch;
	ap_usec_t due;
	ap_usec_t first;
	struct call *next;
} call_t;

static void on_data(void *ctx, const void *data, size_t len)
{
	call_t *c = ctx;

	(void)data;
	(void)len;
	if (c->first)
		return;
	c->first = ap_now();
	c->bench->open++;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	call_t *c = ctx;

	(void)written;
	c->fetch = NULL;
	c->bench->ended++;
	if (end != AP_HTTP_COMPLETE || !c->first)
		c->bench->failed++;
}

/* Open loop: the delay counts from the intended start @due, not from the actual start. */
static void start_call(bench_t *b, call_t *c, bool direct, ap_usec_t due)
{
	ap_http_header_t headers[] = {
		{"Content-Type", "application/json"},
		{"X-Request-Id", "bench"},
		{"Authorization", "Bearer " PATH_KEY},
	};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = direct ? b->upstream.port : entry_port(b->gateway.entry),
		.method = EVHTTP_REQ_POST,
		.target = "/v1/chat/completions",
		.headers = headers,
		.n_headers = 3,
		.body = body,
		.len = sizeof(body) - 1,
		.first_byte = 60 * AP_SEC,
		.between_chunks = 60 * AP_SEC,
		.idle = 60 * AP_SEC,
		.response_max = 64 << 20,
		.ctx = c,
		.data = on_data,
		.end = on_end,
	};

	*c = (call_t){.bench = b, .due = due};
	c->fetch = ap_http_fetch(b->client, &config);
}

static void run_until(bench_t *b, ap_usec_t until)
{
	ap_usec_t now = ap_now();

	while (now < until) {
		struct timeval tv = ap_timeval(until - now);

		event_base_loopexit(b->base, &tv);
		event_base_dispatch(b->base);
		now = ap_now();
	}
}

static void run_until_ended(bench_t *b, int n)
{
	while (b->ended < n)
		event_base_loop(b->base, EVLOOP_ONCE);
}

static int by_value(const void *a, const void *b)
{
	ap_usec_t x = *(const ap_usec_t *)a;
	ap_usec_t y = *(const ap_usec_t *)b;

	return x < y ? -1 : x > y;
}

/* Returns quantile @p of the milliseconds to the first token, without the warm-up. */
static double percentile(const call_t *calls, int n, double p)
{
	ap_usec_t *v = calloc((size_t)n, sizeof(*v));
	double ms;

	for (int i = DELAY_WARM_UP; i < n; i++)
		v[i - DELAY_WARM_UP] = calls[i].first - calls[i].due;
	n -= DELAY_WARM_UP;
	qsort(v, (size_t)n, sizeof(*v), by_value);
	ms = (double)v[(int)(p * (n - 1))] / 1000.0;
	free(v);
	return ms;
}

static void print_verdict(const char *what, double value, const char *unit, double target)
{
	printf("  %-48s %9.3f %-8s target < %.3f  %s\n", what, value, unit, target,
	       value < target ? "met" : "missed");
}

static void print_figure(const char *what, double value, const char *unit)
{
	printf("  %-48s %9.3f %s\n", what, value, unit);
}

static void measure_delay(bench_t *b)
{
	int n = DELAY_RATE * DELAY_SECONDS;
	call_t *direct = calloc((size_t)n, sizeof(*direct));
	call_t *through = calloc((size_t)n, sizeof(*through));
	ap_usec_t gap = AP_SEC / DELAY_RATE;
	ap_usec_t start = ap_now() + 10 * AP_MSEC;

	atomic_store(&b->upstream.tokens, DELAY_TOKENS);
	atomic_store(&b->upstream.interval, 1000);
	b->ended = 0;
	for (int i = 0; i < n; i++) {
		run_until(b, start + i * gap);
		start_call(b, &direct[i], true, start + i * gap);
		run_until(b, start + i * gap + gap / 2);
		start_call(b, &through[i], false, start + i * gap + gap / 2);
	}
	run_until_ended(b, 2 * n);
	printf("first token, %d requests/s direct and through the gateway each, %d calls failed\n",
	       DELAY_RATE, b->failed);
	print_figure("direct, median", percentile(direct, n, 0.5), "ms");
	print_figure("through the gateway, median", percentile(through, n, 0.5), "ms");
	print_verdict("added at the median",
		      percentile(through, n, 0.5) - percentile(direct, n, 0.5), "ms",
		      ADDED_TARGET_MS);
	print_figure("added at the 99th percentile",
		     percentile(through, n, 0.99) - percentile(direct, n, 0.99), "ms");
	free(direct);
	free(through);
}

/*
 * Returns the processor time of the gateway's thread, in microseconds, for @n calls of @tokens each
 * that start at @rate per second.
 */
static double cpu_of(bench_t *b, int n, int rate, int tokens, long interval)
{
	call_t *calls = calloc((size_t)n, sizeof(*calls));
	ap_usec_t start = ap_now() + 10 * AP_MSEC;
	ap_usec_t before = path_cpu(b->gateway.thread);

	atomic_store(&b->upstream.tokens, tokens);
	atomic_store(&b->upstream.interval, interval);
	b->ended = 0;
	for (int i = 0; i < n; i++) {
		run_until(b, start + i * AP_SEC / rate);
		start_call(b, &calls[i], false, start + i * AP_SEC / rate);
	}
	run_until_ended(b, n);
	free(calls);
	return (double)(path_cpu(b->gateway.thread) - before);
}

static void measure_cpu(bench_t *b)
{
	int n = SHARE_RATE * SHARE_SECONDS;
	ap_usec_t start = ap_now();
	double share = cpu_of(b, n, SHARE_RATE, SHARE_TOKENS, SHARE_INTERVAL);
	double seconds = (double)(ap_now() - start) / (double)AP_SEC;
	double rate = (double)n * SHARE_TOKENS / seconds;
	double few = cpu_of(b, 400, 100, 1, 1000) / 400;
	double many = cpu_of(b, 100, 25, 201, 2000) / 100;

	printf("processor time of the entry task, %d requests/s with %d tokens each\n", SHARE_RATE,
	       SHARE_TOKENS);
	print_figure("tokens per second measured", rate, "");
	print_verdict("share of one core at 2,200 tokens/s",
		      share / 1e6 / seconds * SHARE_TOKENS_S / rate, "", CORE_TARGET);
	print_figure("per request with one token", few, "us");
	print_figure("per further token", (many - few) / 200, "us");
}

static double heap_mb(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / (1024.0 * 1024.0);
}

/* Returns the heap, in MB, that STREAMS open streams take; all ends are in this process. */
static double heap_of_streams(bench_t *b, bool direct)
{
	call_t *calls = calloc(STREAMS, sizeof(*calls));
	double before = heap_mb();
	double taken;

	atomic_store(&b->upstream.tokens, 1000000);
	atomic_store(&b->upstream.interval, 200000);
	b->open = 0;
	for (int i = 0; i < STREAMS; i++) {
		start_call(b, &calls[i], direct, ap_now());
		event_base_loop(b->base, EVLOOP_NONBLOCK);
	}
	while (b->open < STREAMS)
		event_base_loop(b->base, EVLOOP_ONCE);
	run_until(b, ap_now() + AP_SEC);
	taken = heap_mb() - before;
	for (int i = 0; i < STREAMS; i++) {
		if (calls[i].fetch)
			ap_http_fetch_cancel(calls[i].fetch);
	}
	while (atomic_load(&b->upstream.open) > 0)
		run_until(b, ap_now() + 10 * AP_MSEC);
	free(calls);
	return taken;
}

static void measure_memory(bench_t *b)
{
	double direct = heap_of_streams(b, true);
	double through = heap_of_streams(b, false);

	printf("heap of %d open streams\n", STREAMS);
	print_figure("client and upstream, direct", direct, "MB");
	print_figure("client, gateway and upstream", through, "MB");
	print_verdict("gateway alone (the difference)", through - direct, "MB", MEMORY_TARGET_MB);
}

static void raise_descriptors(void)
{
	struct rlimit limit;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/* The event loop rounds timers to a millisecond by default, which is too coarse for the calls. */
static struct event_base *precise_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

int main(void)
{
	bench_t b = {.open = 0};

	signal(SIGPIPE, SIG_IGN);
	evthread_use_pthreads();
	raise_descriptors();
	b.base = precise_base();
	b.client = ap_http_client_new(b.base);
	path_upstream_start(&b.upstream);
	path_gateway_start(&b.gateway, b.upstream.port);
	measure_delay(&b);
	measure_cpu(&b);
	measure_memory(&b);
	path_gateway_stop(&b.gateway);
	ap_http_client_free(b.client);
	path_upstream_stop(&b.upstream);
	event_base_free(b.base);
	return 0;
}
