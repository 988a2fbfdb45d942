/* Tables of records by identifier and by expiry, and a bounded store of responses. */
#include "once/table.h"

#include <stdlib.h>
#include <string.h>

void token_add(record_t **by_token, record_t *r, uint64_t token)
{
	r->token = token;
	HASH_ADD(hh_token, *by_token, token, sizeof(r->token), r);
}

record_t *token_find(record_t *by_token, uint64_t token)
{
	record_t *r = NULL;

	HASH_FIND(hh_token, by_token, &token, sizeof(token), r);
	return r;
}

void token_remove(record_t **by_token, record_t *r)
{
	if (r->token == 0 || !*by_token)
		return;
	HASH_DELETE(hh_token, *by_token, r);
	r->token = 0;
}

bool record_dispatch(record_t *r, bool in_time, const ap_env_t *env)
{
	bool allowed = r && r->state == RECORD_RUNNING && !r->dispatched && !r->reported_not_run;

	ap_require(env, allowed, AP_INV_ONCE, "a call was dispatched without permission, or twice");
	if (!allowed || !in_time)
		return false;
	r->dispatched = true;
	return true;
}

void record_not_started(record_t *r)
{
	if (r && r->state == RECORD_RUNNING)
		r->dispatched = false;
}

bool record_end(record_t **by_token, record_t *r, ap_outcome_t outcome, const ap_env_t *env)
{
	if (!r || r->state != RECORD_RUNNING)
		return false;
	ap_require(env, r->dispatched || outcome == AP_OUTCOME_NOT_RUN, AP_INV_ONCE,
		   "a call that was not dispatched has an outcome other than not-run");
	token_remove(by_token, r);
	r->state = RECORD_FINISHED;
	r->outcome = outcome;
	return true;
}

void record_stop_waiting(record_t **by_token, struct record_list *waiting, record_t *r)
{
	TAILQ_REMOVE(waiting, r, by_wait);
	token_remove(by_token, r);
	r->state = RECORD_FINISHED;
	r->outcome = AP_OUTCOME_NOT_RUN;
}

void response_store_init(response_store_t *store, const ap_once_limits_t *limits)
{
	*store = (response_store_t){.limits = limits};
	TAILQ_INIT(&store->list);
}

static void drop_response(response_store_t *store, record_t *r)
{
	if (!r->response)
		return;
	TAILQ_REMOVE(&store->list, r, by_response);
	store->n--;
	store->bytes -= r->len;
	free(r->response);
	r->response = NULL;
	r->len = 0;
}

static bool has_room(const response_store_t *store, size_t len)
{
	return store->n < store->limits->responses_max &&
	       store->bytes + len <= store->limits->responses_bytes_max;
}

void response_store_add(response_store_t *store, record_t *r, const void *response, size_t len)
{
	drop_response(store, r);
	if (len == 0 || len > store->limits->response_bytes_max ||
	    len > store->limits->responses_bytes_max)
		return;
	while (!has_room(store, len) && !TAILQ_EMPTY(&store->list))
		drop_response(store, TAILQ_FIRST(&store->list));
	if (!has_room(store, len))
		return;
	r->response = malloc(len);
	if (!r->response)
		return;
	memcpy(r->response, response, len);
	r->len = len;
	TAILQ_INSERT_TAIL(&store->list, r, by_response);
	store->n++;
	store->bytes += len;
}

void table_init(table_t *t, size_t max, response_store_t *responses)
{
	*t = (table_t){.max = max, .responses = responses};
	TAILQ_INIT(&t->by_drop_at);
}

void table_clear(table_t *t)
{
	record_t *r = TAILQ_FIRST(&t->by_drop_at);

	while (r) {
		record_t *next = TAILQ_NEXT(r, by_drop_at);

		table_remove(t, r);
		r = next;
	}
}

record_t *table_find(const table_t *t, ap_xid_t xid)
{
	record_t *r = NULL;

	HASH_FIND(hh, t->by_xid, &xid, sizeof(xid), r);
	return r;
}

static void unlink_record(table_t *t, record_t *r)
{
	if (t->by_xid)
		HASH_DELETE(hh, t->by_xid, r);
	TAILQ_REMOVE(&t->by_drop_at, r, by_drop_at);
	t->n--;
}

static void insert_by_drop_at(table_t *t, record_t *r)
{
	record_t *before = TAILQ_LAST(&t->by_drop_at, record_list);

	while (before && before->drop_at > r->drop_at)
		before = TAILQ_PREV(before, record_list, by_drop_at);
	if (before)
		TAILQ_INSERT_AFTER(&t->by_drop_at, before, r, by_drop_at);
	else
		TAILQ_INSERT_HEAD(&t->by_drop_at, r, by_drop_at);
}

static void link_record(table_t *t, record_t *r)
{
	HASH_ADD(hh, t->by_xid, xid, sizeof(r->xid), r);
	insert_by_drop_at(t, r);
	t->n++;
}

record_t *table_add(table_t *t, ap_xid_t xid, ap_usec_t drop_at)
{
	record_t *r;

	if (t->n >= t->max)
		return NULL;
	r = calloc(1, sizeof(*r));
	if (!r)
		return NULL;
	r->xid = xid;
	r->drop_at = drop_at;
	link_record(t, r);
	return r;
}

void table_remove(table_t *t, record_t *r)
{
	drop_response(t->responses, r);
	unlink_record(t, r);
	free(r);
}

void table_extend(table_t *t, record_t *r, ap_usec_t drop_at)
{
	if (drop_at <= r->drop_at)
		return;
	TAILQ_REMOVE(&t->by_drop_at, r, by_drop_at);
	r->drop_at = drop_at;
	insert_by_drop_at(t, r);
}

void table_move(table_t *to, table_t *from, record_t *r)
{
	unlink_record(from, r);
	link_record(to, r);
}

void table_expire(table_t *t, ap_usec_t now)
{
	record_t *r = TAILQ_FIRST(&t->by_drop_at);

	while (r && r->drop_at <= now) {
		record_t *next = TAILQ_NEXT(r, by_drop_at);

		/* The record of a use in progress is kept until the use ends. */
		if (r->state == RECORD_FINISHED || r->token == 0)
			table_remove(t, r);
		r = next;
	}
}
