/*
 * Claims in the key-value service (the store) for callers that bring only an idempotency key. A key
 * of the store is a slot that holds many claims. Each write of a slot drops its expired claims, so
 * the store's size is bounded. Of service, caller and idempotency key, a slot holds only the hash.
 */
#include "once/claim.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 4096	    /* slots of each region */
#define SLOT_CLAIMS_MAX 512 /* claims in one slot */
#define WRITES_MAX 8	    /* writes of a claim, each after a new read of its slot */
#define KEY_MAX 160	    /* bytes of a slot's name, with its terminator */

/**
 * struct slot_claim - one claim, in the layout of the store.
 * @hash: of service, caller and idempotency key
 * @inc: incarnation that made the claim
 * @wall: seconds of the wall clock when it was made
 */
typedef struct slot_claim {
	ap_id_t hash;
	ap_id_t inc;
	uint64_t nonce;
	uint64_t wall;
} slot_claim_t;

/* One call to the key-value service. */
typedef struct call {
	ap_claims_t *claims;
	ap_xid_t key;
	uint64_t call_number;
	LIST_ENTRY(call) link;
} call_t;

void ap_claims_default(ap_claims_config_t *config)
{
	config->retention = 24 * 3600;
	config->wait = AP_SEC;
	config->query_wait = 200 * AP_MSEC;
	config->records_max = 16384;
	config->responses_max = 1024;
	config->response_bytes_max = 64 << 10;
}

ap_claims_t *ap_claims_new(const ap_claims_config_t *config)
{
	ap_claims_t *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->config = *config;
	c->limits = (ap_once_limits_t){
		.responses_max = config->responses_max,
		.responses_bytes_max = config->responses_max * config->response_bytes_max,
		.response_bytes_max = config->response_bytes_max,
	};
	response_store_init(&c->responses, &c->limits);
	table_init(&c->table, config->records_max, &c->responses);
	TAILQ_INIT(&c->waiting);
	TAILQ_INIT(&c->querying);
	return c;
}

void ap_claims_free(ap_claims_t *c)
{
	call_t *call;
	call_t *next;

	if (!c)
		return;
	for (call = LIST_FIRST(&c->calls); call; call = next) {
		next = LIST_NEXT(call, link);
		free(call);
	}
	HASH_CLEAR(hh_token, c->by_token);
	table_clear(&c->table);
	free(c);
}

void claims_set_now(ap_claims_t *c, ap_usec_t now)
{
	if (now > c->now)
		c->now = now;
}

static ap_usec_t retention(const ap_claims_t *c)
{
	return (ap_usec_t)c->config.retention * AP_SEC;
}

static ap_xid_t hash_key(const char *key, const char *service, const char *caller)
{
	const char *parts[] = {service, caller, key};
	crypto_generichash_state state;
	ap_xid_t id = {.seq = 0};

	crypto_generichash_init(&state, NULL, 0, sizeof(id.inc));
	for (int i = 0; i < 3; i++)
		crypto_generichash_update(&state, (const unsigned char *)parts[i],
					  strlen(parts[i]) + 1);
	crypto_generichash_final(&state, (unsigned char *)&id.inc, sizeof(id.inc));
	return id;
}

static void slot_name(const ap_claims_t *c, ap_xid_t key, char out[KEY_MAX])
{
	snprintf(out, KEY_MAX, "arbutuspond/once/%s/%03x", c->config.region,
		 (unsigned)(key.inc.hi % SLOTS));
}

/*
 * Ends the wait for the store. The record of a claim that ended as not run is kept, since this
 * instance may use the claim again.
 */
static void settle(ap_claims_t *c, record_t *r, ap_once_verdict_kind_t kind, const char *why)
{
	ap_once_verdict_t v;
	uint64_t token = r->token;

	once_verdict(&v, kind, why);
	if (kind == AP_ONCE_DISPATCH) {
		TAILQ_REMOVE(&c->waiting, r, by_wait);
		r->state = RECORD_RUNNING;
		/* on_read() renews a claim older than half the retention, so half of it is left. */
		r->give_up_at = c->now + retention(c) / 2;
	} else {
		record_stop_waiting(&c->by_token, &c->waiting, r);
	}
	/* Claimed by another instance: only the store knows for how long, so keep no record. */
	if (kind == AP_ONCE_USED)
		table_remove(&c->table, r);
	c->config.decided(c->config.ctx, token, &v);
}

static call_t *new_call(ap_claims_t *c, record_t *r)
{
	call_t *call = malloc(sizeof(*call));

	if (!call)
		return NULL;
	r->call_number = ++c->call_seq;
	*call = (call_t){.claims = c, .key = r->xid, .call_number = r->call_number};
	LIST_INSERT_HEAD(&c->calls, call, link);
	return call;
}

/* Frees @call. Return: the record that waits for its result; NULL if the wait has ended. */
static record_t *end_call(call_t *call)
{
	record_t *r = table_find(&call->claims->table, call->key);

	if (r && (r->state != RECORD_BEGINNING || r->call_number != call->call_number))
		r = NULL;
	LIST_REMOVE(call, link);
	free(call);
	return r;
}

static void on_read(void *arg, const ap_kv_result_t *result);
static void on_write(void *arg, const ap_kv_result_t *result);

static bool read_slot(ap_claims_t *c, record_t *r)
{
	const ap_kv_port_t *kv = &c->config.kv;
	char name[KEY_MAX];
	call_t *call = new_call(c, r);

	if (!call)
		return false;
	slot_name(c, r->xid, name);
	kv->get(kv->ctx, name, 0, 0, on_read, call);
	return true;
}

/* Copies the slot's claims that have not expired to @out, and sets @found to the one for @key. */
static size_t keep_valid(const ap_claims_t *c, const ap_kv_result_t *result, slot_claim_t *out,
			 ap_xid_t key, slot_claim_t **found)
{
	size_t n = result->value ? result->len / sizeof(slot_claim_t) : 0;
	size_t kept = 0;

	*found = NULL;
	for (size_t i = 0; i < n && kept < SLOT_CLAIMS_MAX; i++) {
		slot_claim_t claim;

		memcpy(&claim, (const char *)result->value + i * sizeof(claim), sizeof(claim));
		if (claim.wall + c->config.retention < c->wall)
			continue;
		out[kept] = claim;
		if (ap_id_eq(claim.hash, key.inc))
			*found = &out[kept];
		kept++;
	}
	return kept;
}

static void write_slot(ap_claims_t *c, record_t *r, slot_claim_t *claims, size_t n, uint64_t index)
{
	const ap_kv_port_t *kv = &c->config.kv;
	char name[KEY_MAX];
	call_t *call;

	if (n >= SLOT_CLAIMS_MAX) {
		settle(c, r, AP_ONCE_NOT_RUN,
		       "too many claims in one slot of the key-value service");
		return;
	}
	call = new_call(c, r);
	if (!call) {
		settle(c, r, AP_ONCE_NOT_RUN, "out of memory for the claim");
		return;
	}
	claims[n] = (slot_claim_t){
		.hash = r->xid.inc,
		.inc = c->config.inc,
		.nonce = r->nonce,
		.wall = c->wall,
	};
	slot_name(c, r->xid, name);
	kv->cas(kv->ctx, name, claims, (n + 1) * sizeof(*claims), index, on_write, call);
}

static bool is_own(const ap_claims_t *c, const record_t *r, const slot_claim_t *claim)
{
	return ap_id_eq(claim->inc, c->config.inc) && claim->nonce == r->nonce;
}

/*
 * Queries the owner of the claim found for @r. If the owner cannot be reached, or is this instance
 * and has deleted its record, the verdict is owner_unknown_verdict().
 */
static void query_claim_owner(ap_claims_t *c, record_t *r, const slot_claim_t *claim)
{
	ap_once_verdict_t v;

	if (!ap_id_eq(claim->inc, c->config.inc) &&
	    owner_query(c, r, (ap_xid_t){claim->inc, claim->nonce}))
		return;
	owner_unknown_verdict(&v);
	settle(c, r, v.kind, v.why);
}

static void on_read(void *arg, const ap_kv_result_t *result)
{
	ap_claims_t *c = ((call_t *)arg)->claims;
	record_t *r = end_call(arg);
	slot_claim_t *found;
	slot_claim_t claims[SLOT_CLAIMS_MAX + 1];
	size_t n;

	if (!r)
		return;
	if (result->status != AP_KV_OK && result->status != AP_KV_ABSENT) {
		settle(c, r, AP_ONCE_NOT_RUN, "the key-value service cannot be reached");
		return;
	}
	if (result->len % sizeof(slot_claim_t) != 0) {
		settle(c, r, AP_ONCE_NOT_RUN, "the claims in the key-value service are malformed");
		return;
	}
	n = keep_valid(c, result, claims, r->xid, &found);
	if (found && !is_own(c, r, found)) {
		query_claim_owner(c, r, found);
		return;
	}
	if (found && found->wall + c->config.retention / 2 > c->wall) {
		settle(c, r, AP_ONCE_DISPATCH, "");
		return;
	}
	/* Renew an own claim that is older than half the retention. */
	if (found)
		*found = claims[--n];
	write_slot(c, r, claims, n, result->status == AP_KV_OK ? result->index : 0);
}

static void on_write(void *arg, const ap_kv_result_t *result)
{
	ap_claims_t *c = ((call_t *)arg)->claims;
	record_t *r = end_call(arg);

	if (!r)
		return;
	switch (result->status) {
	case AP_KV_OK:
		settle(c, r, AP_ONCE_DISPATCH, "");
		return;
	case AP_KV_UNAVAILABLE:
		settle(c, r, AP_ONCE_NOT_RUN, "the key-value service cannot be reached");
		return;
	case AP_KV_CONFLICT:
	case AP_KV_ABSENT:
	case AP_KV_UNSURE:
		break;
	}
	/* The verdict is the same when memory for another read of the slot is short. */
	if (++r->failed_writes >= WRITES_MAX || !read_slot(c, r))
		settle(c, r, AP_ONCE_NOT_RUN, "the claim could not be written in several attempts");
}

/* If the table is full, deletes the claim record that expires first and is not in progress. */
static bool make_room(ap_claims_t *c)
{
	record_t *r;

	if (c->table.n < c->table.max)
		return true;
	TAILQ_FOREACH (r, &c->table.by_drop_at, by_drop_at) {
		if (r->token != 0)
			continue;
		table_remove(&c->table, r);
		return true;
	}
	return false;
}

static record_t *add_claim(ap_claims_t *c, ap_xid_t key)
{
	record_t *r;

	if (!make_room(c))
		return NULL;
	r = table_add(&c->table, key, c->now + retention(c));
	if (r)
		r->nonce = ++c->seq;
	return r;
}

ap_once_verdict_kind_t claim_verdict_of(const record_t *r, ap_once_verdict_t *v)
{
	if (r->state != RECORD_FINISHED)
		return once_verdict(v, AP_ONCE_RUNNING, "a call with this key is in progress");
	if (r->outcome == AP_OUTCOME_NOT_RUN)
		return once_verdict(v, AP_ONCE_NOT_RUN, "the key's call did not run");
	if (r->outcome == AP_OUTCOME_UNKNOWN)
		return once_verdict(v, AP_ONCE_UNKNOWN, "the key's call has no known outcome");
	once_verdict(v, AP_ONCE_USED, "the key's call was completed");
	v->outcome = r->outcome;
	v->response = r->response;
	v->len = r->len;
	return v->kind;
}

/* Verdict from the own record of a claim; AP_ONCE_PENDING if the store must be read. */
static ap_once_verdict_kind_t look_up(const record_t *r, ap_once_verdict_t *v)
{
	if (!r || claim_verdict_of(r, v) == AP_ONCE_NOT_RUN)
		return once_verdict(v, AP_ONCE_PENDING, "");
	return v->kind;
}

ap_once_verdict_kind_t ap_claims_use(ap_claims_t *c, const char *key, const char *service,
				     const char *caller, uint64_t token, ap_usec_t now,
				     uint32_t wall, ap_once_verdict_t *verdict)
{
	ap_xid_t id = hash_key(key, service, caller);
	record_t *r = table_find(&c->table, id);

	claims_set_now(c, now);
	c->wall = wall;
	if (look_up(r, verdict) != AP_ONCE_PENDING)
		return verdict->kind;
	if (!r)
		r = add_claim(c, id);
	if (!r)
		return once_verdict(verdict, AP_ONCE_NOT_RUN, "too many claims in progress");
	r->state = RECORD_BEGINNING;
	r->dispatched = false;
	r->failed_writes = 0;
	r->give_up_at = c->now + c->config.wait;
	if (!read_slot(c, r)) {
		table_remove(&c->table, r);
		return once_verdict(verdict, AP_ONCE_NOT_RUN, "out of memory for the claim");
	}
	token_add(&c->by_token, r, token);
	TAILQ_INSERT_TAIL(&c->waiting, r, by_wait);
	return verdict->kind;
}

bool ap_claims_dispatch(ap_claims_t *c, uint64_t token, ap_usec_t now)
{
	record_t *r = token_find(c->by_token, token);

	claims_set_now(c, now);
	/* Other instances drop the claim once it is older than the retention. */
	return record_dispatch(r, r && c->now < r->give_up_at, &c->config.env);
}

void ap_claims_not_started(ap_claims_t *c, uint64_t token)
{
	record_not_started(token_find(c->by_token, token));
}

void ap_claims_done(ap_claims_t *c, uint64_t token, ap_outcome_t outcome, const void *response,
		    size_t len, ap_usec_t now)
{
	record_t *r = token_find(c->by_token, token);

	claims_set_now(c, now);
	if (record_end(&c->by_token, r, outcome, &c->config.env) && outcome != AP_OUTCOME_NOT_RUN)
		response_store_add(&c->responses, r, response, len);
}

void ap_claims_cancel(ap_claims_t *c, uint64_t token, ap_usec_t now)
{
	record_t *r = token_find(c->by_token, token);

	claims_set_now(c, now);
	if (r && r->state == RECORD_QUERYING)
		owner_query_cancel(c, r);
	else if (r && r->state == RECORD_BEGINNING)
		record_stop_waiting(&c->by_token, &c->waiting, r);
}

void ap_claims_tick(ap_claims_t *c, ap_usec_t now)
{
	record_t *r;

	claims_set_now(c, now);
	while ((r = TAILQ_FIRST(&c->waiting)) && c->now >= r->give_up_at)
		settle(c, r, AP_ONCE_NOT_RUN, "the claim was not decided in time");
	owner_tick(c);
	table_expire(&c->table, c->now);
	ap_require(&c->config.env, c->table.n <= c->table.max, AP_INV_BOUNDS,
		   "the table of claims is over its bound");
}

ap_usec_t ap_claims_due(const ap_claims_t *c)
{
	const record_t *r = TAILQ_FIRST(&c->waiting);
	ap_usec_t due = owner_due(c);

	return r && r->give_up_at < due ? r->give_up_at : due;
}
