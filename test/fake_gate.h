/*
 * A process as it calls the fake store: while the process is paused, responses of the store are
 * held back, and delivered after it resumed.
 */
#ifndef AP_TEST_FAKE_GATE_H
#define AP_TEST_FAKE_GATE_H

#include "fake_store.h"

typedef struct fake_gate {
	fake_sim_t *sim;
	ap_kv_port_t inner;
	bool paused;
	double (*clock)(void); /* times how long responses take to handle; may be NULL */
	double cost;	       /* sum of these times, in the unit of @clock */
} fake_gate_t;

/* A call that was passed to the store. */
typedef struct fake_gated {
	fake_gate_t *gate;
	ap_kv_done_t done;
	void *arg;
} fake_gated_t;

/* A response that is held back. */
typedef struct fake_held {
	fake_gated_t *call;
	ap_kv_result_t result;
	unsigned char value[];
} fake_held_t;

FAKE void fake_gate_pass(fake_gated_t *call, const ap_kv_result_t *result);

FAKE void fake_gate_retry(void *arg, void *data)
{
	fake_held_t *held = data;

	(void)arg;
	held->result.value = held->value;
	fake_gate_pass(held->call, &held->result);
}

FAKE void fake_gate_pass(fake_gated_t *call, const ap_kv_result_t *result)
{
	fake_held_t *held;

	if (!call->gate->paused) {
		double begin = call->gate->clock ? call->gate->clock() : 0.0;

		call->done(call->arg, result);
		if (call->gate->clock)
			call->gate->cost += call->gate->clock() - begin;
		free(call);
		return;
	}
	held = malloc(sizeof(*held) + result->len);
	if (!held)
		abort();
	held->call = call;
	held->result = *result;
	if (result->len > 0)
		memcpy(held->value, result->value, result->len);
	fake_at(call->gate->sim, call->gate->sim->now + 50 * AP_MSEC, fake_gate_retry, NULL, held);
}

FAKE void fake_gate_done(void *arg, const ap_kv_result_t *result)
{
	fake_gate_pass(arg, result);
}

FAKE fake_gated_t *fake_gated(fake_gate_t *g, ap_kv_done_t done, void *arg)
{
	fake_gated_t *call = malloc(sizeof(*call));

	if (!call)
		abort();
	*call = (fake_gated_t){g, done, arg};
	return call;
}

FAKE void fake_gate_get(void *ctx, const char *key, uint64_t index, ap_usec_t wait,
			ap_kv_done_t done, void *arg)
{
	fake_gate_t *g = ctx;

	g->inner.get(g->inner.ctx, key, index, wait, fake_gate_done, fake_gated(g, done, arg));
}

FAKE void fake_gate_cas(void *ctx, const char *key, const void *value, size_t len, uint64_t index,
			ap_kv_done_t done, void *arg)
{
	fake_gate_t *g = ctx;

	g->inner.cas(g->inner.ctx, key, value, len, index, fake_gate_done,
		     fake_gated(g, done, arg));
}

FAKE void fake_gate_del(void *ctx, const char *key, uint64_t index, ap_kv_done_t done, void *arg)
{
	fake_gate_t *g = ctx;

	g->inner.del(g->inner.ctx, key, index, fake_gate_done, fake_gated(g, done, arg));
}

FAKE void fake_gate_acquire(void *ctx, const char *key, const void *value, size_t len,
			    const char *session, ap_kv_done_t done, void *arg)
{
	fake_gate_t *g = ctx;

	g->inner.acquire(g->inner.ctx, key, value, len, session, fake_gate_done,
			 fake_gated(g, done, arg));
}

FAKE void fake_gate_create(void *ctx, ap_usec_t ttl, ap_kv_done_t done, void *arg)
{
	fake_gate_t *g = ctx;

	g->inner.session_create(g->inner.ctx, ttl, fake_gate_done, fake_gated(g, done, arg));
}

FAKE void fake_gate_renew(void *ctx, const char *session, ap_kv_done_t done, void *arg)
{
	fake_gate_t *g = ctx;

	g->inner.session_renew(g->inner.ctx, session, fake_gate_done, fake_gated(g, done, arg));
}

FAKE void fake_gate_destroy(void *ctx, const char *session, ap_kv_done_t done, void *arg)
{
	fake_gate_t *g = ctx;

	g->inner.session_destroy(g->inner.ctx, session, fake_gate_done, fake_gated(g, done, arg));
}

FAKE ap_kv_port_t fake_gate_port(fake_gate_t *g, fake_store_t *store)
{
	g->sim = store->sim;
	g->inner = fake_store_port(store);
	return (ap_kv_port_t){
		.ctx = g,
		.get = fake_gate_get,
		.cas = fake_gate_cas,
		.del = fake_gate_del,
		.acquire = fake_gate_acquire,
		.session_create = fake_gate_create,
		.session_renew = fake_gate_renew,
		.session_destroy = fake_gate_destroy,
	};
}

#endif
