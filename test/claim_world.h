/*
 * Simulated instances that claim idempotency keys, in virtual time: the store is down, slow or
 * contended or loses responses, and messages are lost, duplicated or late. The oracle counts which
 * calls ran, independently of the library.
 */
#ifndef AP_CLAIM_WORLD_H
#define AP_CLAIM_WORLD_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once/once.h"

#define CALLS_MAX 4096
#define SLOTS_MAX 4096
#define KEYS_MAX 20000
#define ENTRIES 4
#define STORE_DELAY AP_MSEC /* least time of a call to the store; the most is twice as long */
#define PACKETS_MAX 4096
#define RESPONSE "answer"

/* Fault of a call to the store. */
typedef enum fault {
	FAULT_NONE,
	FAULT_DOWN,	     /* not carried out, result AP_KV_UNAVAILABLE */
	FAULT_LOST_RESPONSE, /* carried out, result AP_KV_UNSURE */
	FAULT_LOST,	     /* not carried out, result AP_KV_UNSURE */
	FAULT_LATE,	     /* carried out after the result AP_KV_UNSURE */
	FAULT_SLOW,	     /* carried out, but the result comes 60 s late */
	FAULT_IGNORES_INDEX, /* carried out without comparing the index, result AP_KV_OK */
} fault_t;

/* Fault of messages between instances. */
typedef enum net_fault {
	NET_NO_PEERS, /* no instance knows another one */
	NET_OK,
	NET_FIRST_LOST,
	NET_LOST,
	NET_DUPLICATED,
	NET_LATE, /* later than the longest wait for a response */
	NET_RANDOM,
} net_fault_t;

typedef struct packet {
	bool used;
	ap_usec_t due;
	int to;
	ap_once_msg_t msg;
	char response[sizeof(RESPONSE)];
} packet_t;

typedef struct slot {
	char key[160];
	uint64_t index;
	void *value;
	size_t len;
} slot_t;

typedef struct store_call {
	bool used;
	ap_usec_t due;
	bool write;
	bool apply;
	bool calls_back;
	ap_kv_status_t
		forced; /* result whatever the store holds; AP_KV_OK: the store's own result */
	char key[160];
	void *value;
	size_t len;
	uint64_t index;
	ap_kv_done_t done;
	void *arg;
	bool ignores_index;
} store_call_t;

typedef struct key_record {
	unsigned committed;
	bool reported_not_run;
} key_record_t;

typedef struct claim_world {
	ap_usec_t now;
	ap_rng_t rng;
	slot_t slots[SLOTS_MAX];
	size_t n_slots;
	uint64_t index;
	store_call_t calls[CALLS_MAX];
	size_t calls_top;
	fault_t read_fault;
	fault_t write_fault;
	bool write_fault_once;
	bool random_faults;
	ap_claims_t *claims[ENTRIES];
	ap_id_t incs[ENTRIES];
	bool paused[ENTRIES];
	packet_t packets[PACKETS_MAX];
	size_t packets_top;
	net_fault_t net;
	unsigned sent;
	unsigned stored_responses; /* verdicts that came with the stored response */
	key_record_t keys[KEYS_MAX];
	ap_once_verdict_kind_t last;
	ap_outcome_t last_outcome;
	ap_outcome_t end; /* outcome of dispatched calls */
	uint64_t last_token;
	unsigned dispatched;
	unsigned oracle_violations;
	unsigned invariant_violations;
	bool hold; /* calls that may be dispatched are not */
} claim_world_t;

static inline slot_t *find_slot(claim_world_t *w, const char *key)
{
	for (size_t i = 0; i < w->n_slots; i++) {
		if (strcmp(w->slots[i].key, key) == 0)
			return &w->slots[i];
	}
	return NULL;
}

static inline ap_kv_status_t apply_write(claim_world_t *w, const store_call_t *call)
{
	slot_t *slot = find_slot(w, call->key);

	if (!call->ignores_index && (slot ? slot->index : 0) != call->index)
		return AP_KV_CONFLICT;
	if (!slot) {
		slot = &w->slots[w->n_slots++];
		strcpy(slot->key, call->key);
	}
	free(slot->value);
	slot->value = malloc(call->len);
	memcpy(slot->value, call->value, call->len);
	slot->len = call->len;
	slot->index = ++w->index;
	return AP_KV_OK;
}

static inline void finish_call(claim_world_t *w, store_call_t *call)
{
	store_call_t copy = *call;
	ap_kv_result_t result = {.status = AP_KV_OK};
	const slot_t *slot;

	call->used = false;
	if (copy.write && copy.apply)
		result.status = apply_write(w, &copy);
	slot = find_slot(w, copy.key);
	if (!copy.write && slot) {
		result.index = slot->index;
		result.value = slot->value;
		result.len = slot->len;
	} else if (!copy.write) {
		result.status = AP_KV_ABSENT;
	}
	if (copy.forced != AP_KV_OK)
		result = (ap_kv_result_t){.status = copy.forced};
	if (copy.calls_back)
		copy.done(copy.arg, &result);
	free(copy.value);
}

static inline void add_call(claim_world_t *w, const store_call_t *call, ap_usec_t delay)
{
	for (size_t i = 0; i < CALLS_MAX; i++) {
		if (w->calls[i].used)
			continue;
		w->calls_top = i < w->calls_top ? w->calls_top : i + 1;
		w->calls[i] = *call;
		w->calls[i].used = true;
		w->calls[i].due = w->now + delay;
		w->calls[i].value = malloc(call->len + 1);
		if (call->len > 0)
			memcpy(w->calls[i].value, call->value, call->len);
		return;
	}
	fail();
}

static inline fault_t random_fault(claim_world_t *w)
{
	uint64_t n = ap_rng_below(&w->rng, 40);

	return n <= FAULT_SLOW ? (fault_t)n : FAULT_NONE;
}

static inline void begin_call(claim_world_t *w, store_call_t call, fault_t fault)
{
	static const struct {
		bool lost;
		ap_kv_status_t forced;
		ap_usec_t delay;
	} faults[] = {
		[FAULT_DOWN] = {true, AP_KV_UNAVAILABLE, 0},
		[FAULT_LOST_RESPONSE] = {false, AP_KV_UNSURE, 0},
		[FAULT_LOST] = {true, AP_KV_UNSURE, 0},
		[FAULT_LATE] = {true, AP_KV_UNSURE, 0},
		[FAULT_SLOW] = {false, AP_KV_OK, 60 * AP_SEC},
		[FAULT_IGNORES_INDEX] = {false, AP_KV_OK, 0},
	};
	store_call_t late = call;

	late.apply = true;
	if (fault == FAULT_LATE)
		add_call(w, &late, 200 * AP_MSEC);
	call.apply = !faults[fault].lost;
	call.calls_back = true;
	call.forced = faults[fault].forced;
	call.ignores_index = fault == FAULT_IGNORES_INDEX;
	add_call(w, &call,
		 faults[fault].delay + STORE_DELAY + (ap_usec_t)ap_rng_below(&w->rng, STORE_DELAY));
}

static inline void store_get(void *ctx, const char *key, uint64_t index, ap_usec_t wait,
			     ap_kv_done_t done, void *arg)
{
	claim_world_t *w = ctx;
	store_call_t call = {.done = done, .arg = arg};

	(void)index;
	(void)wait;
	strcpy(call.key, key);
	begin_call(w, call, w->random_faults ? random_fault(w) : w->read_fault);
}

static inline void store_cas(void *ctx, const char *key, const void *value, size_t len,
			     uint64_t index, ap_kv_done_t done, void *arg)
{
	claim_world_t *w = ctx;
	store_call_t call = {.write = true,
			     .value = (void *)value,
			     .len = len,
			     .index = index,
			     .done = done,
			     .arg = arg};
	fault_t fault = w->random_faults ? random_fault(w) : w->write_fault;

	strcpy(call.key, key);
	if (w->write_fault_once)
		w->write_fault = FAULT_NONE;
	begin_call(w, call, fault);
}

static inline void add_packet(claim_world_t *w, int to, const ap_once_msg_t *msg, ap_usec_t delay)
{
	for (size_t i = 0; i < PACKETS_MAX; i++) {
		packet_t *p = &w->packets[i];

		if (p->used)
			continue;
		w->packets_top = i < w->packets_top ? w->packets_top : i + 1;
		*p = (packet_t){.used = true, .due = w->now + delay, .to = to, .msg = *msg};
		if (msg->len > 0)
			memcpy(p->response, msg->response, msg->len);
		p->msg.response = p->response;
		return;
	}
	fail();
}

static inline net_fault_t random_net(claim_world_t *w)
{
	return (net_fault_t)(NET_OK + ap_rng_below(&w->rng, NET_RANDOM - NET_OK));
}

static inline bool net_send(void *ctx, ap_id_t to, const ap_once_msg_t *msg)
{
	claim_world_t *w = ctx;
	net_fault_t fault = w->net == NET_RANDOM ? random_net(w) : w->net;
	ap_usec_t delay = fault == NET_LATE ? AP_SEC : AP_MSEC;
	int i = 0;

	while (i < ENTRIES && !ap_id_eq(w->incs[i], to))
		i++;
	if (fault == NET_NO_PEERS || i == ENTRIES)
		return false;
	if (fault == NET_LOST || (fault == NET_FIRST_LOST && w->sent++ == 0))
		return true;
	add_packet(w, i, msg, delay);
	if (fault == NET_DUPLICATED)
		add_packet(w, i, msg, delay + AP_MSEC);
	return true;
}

static inline ap_usec_t packets_due(const claim_world_t *w)
{
	ap_usec_t due = AP_NEVER;

	for (size_t i = 0; i < w->packets_top; i++) {
		if (w->packets[i].used && w->packets[i].due < due)
			due = w->packets[i].due;
	}
	return due;
}

static inline void deliver(claim_world_t *w)
{
	for (size_t i = 0; i < w->packets_top; i++) {
		packet_t p = w->packets[i];

		if (!p.used || p.due > w->now)
			continue;
		w->packets[i].used = false;
		p.msg.response = p.response;
		if (!w->paused[p.to])
			ap_claims_receive(w->claims[p.to], &p.msg, w->now);
	}
}

static inline store_call_t *earliest(claim_world_t *w)
{
	store_call_t *first = NULL;

	for (size_t i = 0; i < w->calls_top; i++) {
		if (w->calls[i].used && (!first || w->calls[i].due < first->due))
			first = &w->calls[i];
	}
	return first;
}

static inline void run(claim_world_t *w, ap_usec_t length)
{
	const ap_usec_t tick = 50 * AP_MSEC;
	ap_usec_t end = w->now + length;

	while (w->now < end) {
		store_call_t *call = earliest(w);
		ap_usec_t next = w->now + tick < end ? w->now + tick : end;

		if (call && call->due < next)
			next = call->due > w->now ? call->due : w->now;
		if (packets_due(w) < next)
			next = packets_due(w) > w->now ? packets_due(w) : w->now;
		w->now = next;
		deliver(w);
		for (int i = 0; i < ENTRIES; i++)
			ap_claims_tick(w->claims[i], w->now);
		if (call && call->due <= w->now)
			finish_call(w, call);
	}
}

/* Token: instance + 1 in the last decimal digit, key in the next five, then a unique number. */
static inline uint64_t make_token(claim_world_t *w, int entry, size_t key)
{
	return ++w->last_token * 1000000 + key * 10 + (uint64_t)entry + 1;
}

static inline void verdict(claim_world_t *w, uint64_t token, const ap_once_verdict_t *v)
{
	int entry = (int)(token % 10) - 1;
	key_record_t *key = &w->keys[token / 10 % 100000];

	w->last = v->kind;
	w->last_outcome = v->outcome;
	w->stored_responses += v->kind == AP_ONCE_USED && v->len == strlen(RESPONSE) &&
			       memcmp(v->response, RESPONSE, v->len) == 0;
	if (v->kind == AP_ONCE_USED && v->outcome == AP_OUTCOME_COMPLETED)
		w->oracle_violations += key->committed != 1;
	if (v->kind != AP_ONCE_DISPATCH || w->hold)
		return;
	if (!ap_claims_dispatch(w->claims[entry], token, w->now))
		return;
	w->dispatched++;
	if (w->random_faults && ap_rng_below(&w->rng, 20) == 0) {
		ap_claims_done(w->claims[entry], token, AP_OUTCOME_NOT_RUN, NULL, 0, w->now);
		return;
	}
	if (w->end == AP_OUTCOME_NOT_RUN) {
		ap_claims_done(w->claims[entry], token, AP_OUTCOME_NOT_RUN, NULL, 0, w->now);
		return;
	}
	key->committed++;
	w->oracle_violations += key->committed != 1;
	ap_claims_done(w->claims[entry], token, w->end, RESPONSE, strlen(RESPONSE), w->now);
}

static inline void decided(void *ctx, uint64_t token, const ap_once_verdict_t *v)
{
	verdict(ctx, token, v);
}

static inline void violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	(void)invariant;
	(void)what;
	((claim_world_t *)ctx)->invariant_violations++;
}

static inline ap_once_verdict_kind_t use(claim_world_t *w, int entry, size_t key)
{
	char text[32];
	uint64_t token = make_token(w, entry, key);
	ap_once_verdict_t v;

	snprintf(text, sizeof(text), "load-%zu", key);
	ap_claims_use(w->claims[entry], text, "confirm", "loader", token, w->now,
		      (uint32_t)(w->now / AP_SEC), &v);
	if (v.kind != AP_ONCE_PENDING)
		verdict(w, token, &v);
	return v.kind;
}

static inline claim_world_t *start(void)
{
	claim_world_t *w = calloc(1, sizeof(*w));
	ap_claims_config_t config = {
		.kv = {.ctx = w, .get = store_get, .cas = store_cas},
		.ctx = w,
		.env = {.ctx = w, .violated = violated},
		.send = net_send,
		.decided = decided,
	};

	w->end = AP_OUTCOME_COMPLETED;
	ap_rng_seed(&w->rng, 3);
	ap_claims_default(&config);
	strcpy(config.region, "north");
	for (int i = 0; i < ENTRIES; i++) {
		config.inc = ap_rng_id(&w->rng);
		w->incs[i] = config.inc;
		w->claims[i] = ap_claims_new(&config);
	}
	return w;
}

static inline void stop(claim_world_t *w)
{
	run(w, 61 * AP_SEC);
	for (int i = 0; i < ENTRIES; i++)
		ap_claims_free(w->claims[i]);
	for (size_t i = 0; i < w->n_slots; i++)
		free(w->slots[i].value);
	free(w);
}

#endif
