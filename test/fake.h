/*
 * Small fakes in virtual time: a queue of events, peers that lose, double, delay and reorder, and
 * a key-value store that loses answers, stalls, is away and lets leases lapse.
 */
#ifndef AP_TEST_FAKE_H
#define AP_TEST_FAKE_H

#include "port/port.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

#define FAKE __attribute__((unused)) static

typedef struct fake_event {
	ap_usec_t at;
	uint64_t seq;
	void (*run)(void *arg, void *data);
	void *arg;
	void *data; /* freed after the run */
} fake_event_t;

typedef struct fake_sim {
	ap_usec_t now;
	ap_rng_t rng;
	uint64_t events;
	uint64_t seq;
	fake_event_t *heap;
	size_t n;
	size_t room;
} fake_sim_t;

FAKE bool fake_earlier(const fake_event_t *a, const fake_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

FAKE void fake_at(fake_sim_t *sim, ap_usec_t at, void (*run)(void *, void *), void *arg, void *data)
{
	fake_event_t event = {at, ++sim->seq, run, arg, data};
	size_t i = sim->n++;

	if (sim->n > sim->room) {
		sim->room = sim->room ? sim->room * 2 : 1024;
		sim->heap = realloc(sim->heap, sim->room * sizeof(*sim->heap));
		if (!sim->heap)
			abort();
	}
	while (i > 0 && fake_earlier(&event, &sim->heap[(i - 1) / 2])) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = event;
}

FAKE fake_event_t fake_pop(fake_sim_t *sim)
{
	fake_event_t first = sim->heap[0];
	fake_event_t last = sim->heap[--sim->n];
	size_t i = 0;

	while (2 * i + 1 < sim->n) {
		size_t child = 2 * i + 1;

		if (child + 1 < sim->n && fake_earlier(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!fake_earlier(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return first;
}

FAKE void fake_run(fake_sim_t *sim, ap_usec_t until)
{
	while (sim->n > 0 && sim->heap[0].at <= until) {
		fake_event_t event = fake_pop(sim);

		sim->now = event.at;
		sim->events++;
		event.run(event.arg, event.data);
		/* the analyzer takes the next event for this one */
		free(event.data); /* NOLINT(clang-analyzer-unix.Malloc) */
	}
	sim->now = until;
}

FAKE void fake_sim_clear(fake_sim_t *sim)
{
	for (size_t i = 0; i < sim->n; i++)
		free(sim->heap[i].data);
	free(sim->heap);
}

/* Peers; entry number N has the id "eN". */

typedef struct fake_net {
	fake_sim_t *sim;
	double loss;
	double twice;
	ap_usec_t delay;
	ap_usec_t jitter;
	void *ctx;
	bool (*cut)(void *ctx, int from, int to); /* is the way from one to the other broken? */
	void (*deliver)(void *ctx, int to, const char *from, const void *data, size_t len);
	uint64_t messages;
	uint64_t bytes;
} fake_net_t;

typedef struct fake_port {
	fake_net_t *net;
	int self;
	uint64_t out_bytes;
	uint64_t out_messages;
} fake_port_t;

typedef struct fake_packet {
	fake_net_t *net;
	int from;
	int to;
	size_t len;
	unsigned char data[];
} fake_packet_t;

FAKE void fake_arrive(void *arg, void *data)
{
	fake_packet_t *p = data;
	char from[AP_NAME_MAX];

	(void)arg;
	snprintf(from, sizeof(from), "e%d", p->from);
	if (!p->net->cut || !p->net->cut(p->net->ctx, p->from, p->to))
		p->net->deliver(p->net->ctx, p->to, from, p->data, p->len);
}

FAKE void fake_send(void *ctx, const char *to, const void *data, size_t len)
{
	fake_port_t *port = ctx;
	fake_net_t *net = port->net;
	int copies = ap_rng_unit(&net->sim->rng) < net->twice ? 2 : 1;

	port->out_bytes += len;
	port->out_messages++;
	net->bytes += len;
	net->messages++;
	for (int i = 0; i < copies; i++) {
		fake_packet_t *p;

		if (ap_rng_unit(&net->sim->rng) < net->loss)
			continue;
		p = malloc(sizeof(*p) + len);
		if (!p)
			abort();
		p->net = net;
		p->from = port->self;
		p->to = atoi(to + 1);
		p->len = len;
		memcpy(p->data, data, len);
		fake_at(net->sim,
			net->sim->now + net->delay +
				(ap_usec_t)ap_rng_below(&net->sim->rng, (uint64_t)net->jitter + 1),
			fake_arrive, NULL, p);
	}
}

/* The store. */

typedef struct fake_key {
	char name[160];
	uint64_t index;
	uint64_t lock_index;
	void *value;
	size_t len;
	char session[AP_SESSION_MAX];
	UT_hash_handle hh;
} fake_key_t;

typedef struct fake_session {
	char name[AP_SESSION_MAX];
	ap_usec_t ttl;
	ap_usec_t until;
	struct fake_session *gone; /* next one to be freed */
	UT_hash_handle hh;
} fake_session_t;

typedef struct fake_watch {
	uint64_t number;
	char key[160];
	uint64_t index;
	ap_kv_done_t done;
	void *arg;
	LIST_ENTRY(fake_watch) link;
} fake_watch_t;

typedef struct fake_store {
	fake_sim_t *sim;
	bool away;
	bool mute;   /* every write is carried out and its answer lost */
	double lose; /* share of calls whose answer is lost; half of them were carried out */
	ap_usec_t delay;
	ap_usec_t stall; /* added to every answer */
	uint64_t index;
	uint64_t reads;
	uint64_t writes;
	uint64_t watched;
	fake_key_t *keys;
	fake_session_t *sessions;
	LIST_HEAD(, fake_watch) watches;
} fake_store_t;

typedef struct fake_answer {
	fake_store_t *store;
	ap_kv_done_t done;
	void *arg;
	ap_kv_result_t result;
	unsigned char value[];
} fake_answer_t;

FAKE void fake_answer_run(void *arg, void *data)
{
	fake_answer_t *a = data;

	(void)arg;
	a->result.value = a->value;
	a->done(a->arg, &a->result);
}

/* As the real service: only a read (@key given) tells index, fencing number and holder. */
FAKE void fake_answer(fake_store_t *s, ap_kv_done_t done, void *arg, ap_kv_status_t status,
		      const fake_key_t *key, const char *session)
{
	size_t len = key && status == AP_KV_OK ? key->len : 0;
	fake_answer_t *a = calloc(1, sizeof(*a) + len);

	if (!a)
		abort();
	a->done = done;
	a->arg = arg;
	a->result.status = status;
	if (key && status == AP_KV_OK) {
		a->result.index = key->index;
		a->result.lock_index = key->lock_index;
		a->result.len = len;
		if (len > 0)
			memcpy(a->value, key->value, len);
		ap_copy_name(a->result.session, AP_SESSION_MAX, key->session);
	}
	if (session)
		ap_copy_name(a->result.session, AP_SESSION_MAX, session);
	fake_at(s->sim, s->sim->now + s->delay + s->stall, fake_answer_run, NULL, a);
}

FAKE fake_key_t *fake_key(fake_store_t *s, const char *name, bool make)
{
	fake_key_t *key;

	HASH_FIND_STR(s->keys, name, key);
	if (key || !make)
		return key;
	key = calloc(1, sizeof(*key));
	if (!key)
		abort();
	ap_copy_name(key->name, sizeof(key->name), name);
	HASH_ADD_STR(s->keys, name, key);
	return key;
}

FAKE void fake_wake(fake_store_t *s, const char *name, const fake_key_t *key, ap_kv_status_t status)
{
	fake_watch_t *w = LIST_FIRST(&s->watches);

	while (w) {
		fake_watch_t *next = LIST_NEXT(w, link);

		if (!name || strcmp(name, w->key) == 0) {
			LIST_REMOVE(w, link);
			fake_answer(s, w->done, w->arg, status, key, NULL);
			free(w);
		}
		w = next;
	}
}

FAKE void fake_store_away(fake_store_t *s, bool away)
{
	s->away = away;
	if (away)
		fake_wake(s, NULL, NULL, AP_KV_UNAVAILABLE);
}

FAKE void fake_write(fake_store_t *s, fake_key_t *key, const void *value, size_t len)
{
	free(key->value);
	key->value = malloc(len + 1);
	if (!key->value)
		abort();
	if (len > 0)
		memcpy(key->value, value, len);
	key->len = len;
	key->index = ++s->index;
	fake_wake(s, key->name, key, AP_KV_OK);
}

FAKE void fake_expire(fake_store_t *s)
{
	fake_session_t *session, *next, *gone = NULL;
	fake_key_t *key;

	HASH_ITER (hh, s->sessions, session, next) {
		if (session->until > s->sim->now)
			continue;
		for (key = s->keys; key; key = key->hh.next) {
			if (strcmp(key->session, session->name) == 0) {
				key->session[0] = '\0';
				key->index = ++s->index;
			}
		}
		HASH_DEL(s->sessions, session);
		session->gone = gone;
		gone = session;
	}
	for (session = gone; session; session = next) {
		next = session->gone;
		free(session);
	}
}

/* Is the call refused or its answer lost? When lost, @carried tells whether it still happens. */
FAKE bool fake_trouble(fake_store_t *s, bool write, ap_kv_done_t done, void *arg, bool *carried)
{
	*carried = !s->away;
	fake_expire(s);
	if (write)
		s->writes++;
	else
		s->reads++;
	if (s->away) {
		fake_answer(s, done, arg, AP_KV_UNAVAILABLE, NULL, NULL);
		return true;
	}
	if (write && s->mute) {
		fake_answer(s, done, arg, AP_KV_UNSURE, NULL, NULL);
		return true;
	}
	if (ap_rng_unit(&s->sim->rng) >= s->lose)
		return false;
	*carried = ap_rng_unit(&s->sim->rng) < 0.5;
	fake_answer(s, done, arg, write ? AP_KV_UNSURE : AP_KV_UNAVAILABLE, NULL, NULL);
	return true;
}

typedef struct fake_watch_end {
	fake_store_t *store;
	uint64_t number;
} fake_watch_end_t;

FAKE void fake_watch_timeout(void *arg, void *data)
{
	fake_watch_end_t *end = data;
	fake_watch_t *w;

	(void)arg;
	LIST_FOREACH (w, &end->store->watches, link) {
		if (w->number == end->number) {
			LIST_REMOVE(w, link);
			fake_answer(end->store, w->done, w->arg, AP_KV_OK,
				    fake_key(end->store, w->key, false), NULL);
			free(w);
			return;
		}
	}
}

FAKE void fake_get(void *ctx, const char *name, uint64_t index, ap_usec_t wait, ap_kv_done_t done,
		   void *arg)
{
	fake_store_t *s = ctx;
	fake_key_t *key;
	fake_watch_t *w;
	fake_watch_end_t *end;
	bool carried;

	if (fake_trouble(s, false, done, arg, &carried))
		return;
	key = fake_key(s, name, false);
	if (!key || index == 0 || key->index > index) {
		fake_answer(s, done, arg, key && key->value ? AP_KV_OK : AP_KV_ABSENT, key, NULL);
		return;
	}
	w = calloc(1, sizeof(*w));
	end = calloc(1, sizeof(*end));
	if (!w || !end)
		abort();
	ap_copy_name(w->key, sizeof(w->key), name);
	w->done = done;
	w->arg = arg;
	LIST_INSERT_HEAD(&s->watches, w, link);
	w->number = ++s->watched;
	*end = (fake_watch_end_t){s, w->number};
	fake_at(s->sim, s->sim->now + wait, fake_watch_timeout, NULL, end);
}

FAKE void fake_cas(void *ctx, const char *name, const void *value, size_t len, uint64_t index,
		   ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	bool carried;
	bool trouble = fake_trouble(s, true, done, arg, &carried);
	fake_key_t *key = fake_key(s, name, true);
	bool fits = key->index == index;

	if (carried && fits)
		fake_write(s, key, value, len);
	if (!trouble)
		fake_answer(s, done, arg, fits ? AP_KV_OK : AP_KV_CONFLICT, NULL, NULL);
}

FAKE void fake_acquire(void *ctx, const char *name, const void *value, size_t len,
		       const char *session, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *found;
	bool carried;
	bool trouble = fake_trouble(s, true, done, arg, &carried);
	fake_key_t *key = fake_key(s, name, true);
	bool fits;

	HASH_FIND_STR(s->sessions, session, found);
	fits = found && (key->session[0] == '\0' || strcmp(key->session, session) == 0);
	if (carried && fits) {
		if (key->session[0] == '\0')
			key->lock_index++;
		ap_copy_name(key->session, sizeof(key->session), session);
		fake_write(s, key, value, len);
	}
	if (!trouble)
		fake_answer(s, done, arg, fits ? AP_KV_OK : AP_KV_CONFLICT, NULL, NULL);
}

FAKE void fake_release(void *ctx, const char *name, const char *session, ap_kv_done_t done,
		       void *arg)
{
	fake_store_t *s = ctx;
	bool carried;
	bool trouble = fake_trouble(s, true, done, arg, &carried);
	fake_key_t *key = fake_key(s, name, true);

	if (carried && strcmp(key->session, session) == 0)
		key->session[0] = '\0';
	if (!trouble)
		fake_answer(s, done, arg, AP_KV_OK, key, NULL);
}

FAKE void fake_session_create(void *ctx, ap_usec_t ttl, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *session;
	bool carried;
	bool trouble = fake_trouble(s, true, done, arg, &carried);
	char name[AP_SESSION_MAX];

	snprintf(name, sizeof(name), "s%llu", (unsigned long long)++s->index);
	if (carried) {
		session = calloc(1, sizeof(*session));
		if (!session)
			abort();
		ap_copy_name(session->name, sizeof(session->name), name);
		session->ttl = ttl;
		session->until = s->sim->now + ttl;
		HASH_ADD_STR(s->sessions, name, session);
	}
	if (!trouble)
		fake_answer(s, done, arg, AP_KV_OK, NULL, name);
}

FAKE void fake_session_renew(void *ctx, const char *name, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *session;
	bool carried;
	bool trouble = fake_trouble(s, true, done, arg, &carried);

	HASH_FIND_STR(s->sessions, name, session);
	if (carried && session)
		session->until = s->sim->now + session->ttl;
	if (!trouble)
		fake_answer(s, done, arg, session ? AP_KV_OK : AP_KV_ABSENT, NULL, name);
}

FAKE void fake_session_destroy(void *ctx, const char *name, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *session;
	bool carried;
	bool trouble = fake_trouble(s, true, done, arg, &carried);

	HASH_FIND_STR(s->sessions, name, session);
	if (carried && session) {
		session->until = 0;
		fake_expire(s);
	}
	if (!trouble)
		fake_answer(s, done, arg, AP_KV_OK, NULL, NULL);
}

FAKE ap_kv_port_t fake_store_port(fake_store_t *s)
{
	return (ap_kv_port_t){
		.ctx = s,
		.get = fake_get,
		.cas = fake_cas,
		.acquire = fake_acquire,
		.release = fake_release,
		.session_create = fake_session_create,
		.session_renew = fake_session_renew,
		.session_destroy = fake_session_destroy,
	};
}

/* A process in front of a port: while it is paused, answers wait. */
typedef struct fake_gate {
	fake_sim_t *sim;
	ap_kv_port_t inner;
	bool paused;
	double (*clock)(void); /* measures what answers cost the process; may be NULL */
	double cost;
} fake_gate_t;

typedef struct fake_gated {
	fake_gate_t *gate;
	ap_kv_done_t done;
	void *arg;
} fake_gated_t;

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
		.acquire = fake_gate_acquire,
		.session_create = fake_gate_create,
		.session_renew = fake_gate_renew,
		.session_destroy = fake_gate_destroy,
	};
}

FAKE void fake_store_clear(fake_store_t *s)
{
	fake_key_t *key, *next_key;
	fake_session_t *session, *next;
	fake_watch_t *w;

	while ((w = LIST_FIRST(&s->watches)) != NULL) {
		LIST_REMOVE(w, link);
		free(w);
	}
	key = s->keys;
	HASH_CLEAR(hh, s->keys);
	for (; key; key = next_key) {
		next_key = key->hh.next;
		free(key->value);
		free(key);
	}
	session = s->sessions;
	HASH_CLEAR(hh, s->sessions);
	for (; session; session = next) {
		next = session->hh.next;
		free(session);
	}
}

#endif
