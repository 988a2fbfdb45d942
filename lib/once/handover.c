/*
 * Handover: a draining instance sends its records to a successor part by part, and those that it
 * took over from others; the successor then gives verdicts from them.
 */
#include "once/state.h"

#include <stdlib.h>
#include <string.h>

#define HANDOVER_TRIES 6 /* times that a part is sent to one successor */

const char *handover_successor(const ap_once_t *o, ap_id_t inc, unsigned rank)
{
	uint64_t key = ap_hash(&inc, sizeof(inc), 0);
	const char *best[SUCCESSORS_MAX] = {NULL, NULL};
	double score[SUCCESSORS_MAX] = {0, 0};

	for (size_t i = 0; i <= o->n_witness_candidates; i++) {
		bool self = i == o->n_witness_candidates;
		const char *id = self ? o->config.id : o->witness_candidates[i]->id;
		ap_id_t own = self ? o->config.inc : o->witness_candidates[i]->inc;
		double s = ap_rendezvous(key, ap_hash_str(id, 0), 1);

		if (ap_id_eq(own, inc) || (self && o->draining) || s <= score[1])
			continue;
		score[1] = s;
		best[1] = id;
		if (s <= score[0])
			continue;
		score[1] = score[0];
		best[1] = best[0];
		score[0] = s;
		best[0] = id;
	}
	return rank < SUCCESSORS_MAX ? best[rank] : NULL;
}

static record_set_t *find_record_set(const ap_once_t *o, ap_id_t inc)
{
	record_set_t *e;

	TAILQ_FOREACH (e, &o->record_sets, link) {
		if (ap_id_eq(e->inc, inc))
			break;
	}
	return e;
}

static void drop_record_set(ap_once_t *o, record_set_t *e)
{
	TAILQ_REMOVE(&o->record_sets, e, link);
	o->n_record_sets--;
	table_clear(&e->table);
	free(e);
}

static record_set_t *add_record_set(ap_once_t *o, ap_id_t inc, ap_usec_t horizon, size_t max)
{
	record_set_t *e;

	if (o->n_record_sets >= RECORD_SETS_MAX && !o->draining)
		return NULL;
	e = calloc(1, sizeof(*e));
	if (!e)
		return NULL;
	e->inc = inc;
	e->horizon = horizon;
	e->taken_at = o->now;
	table_init(&e->table, max, &o->responses);
	TAILQ_INSERT_TAIL(&o->record_sets, e, link);
	o->n_record_sets++;
	return e;
}

/* Successor's side. */

static size_t count_records(const ap_once_t *o)
{
	const record_set_t *e;
	size_t n = 0;

	TAILQ_FOREACH (e, &o->record_sets, link)
		n += e->table.n;
	return n;
}

static bool store_item(ap_once_t *o, record_set_t *e, const ap_once_item_t *item)
{
	record_t *r = table_find(&e->table, item->xid);

	if (!r)
		r = table_add(&e->table, item->xid, e->taken_at + item->left);
	if (!r)
		return false;
	r->state = RECORD_FINISHED;
	r->outcome = item->outcome;
	r->reported_not_run = item->outcome == AP_OUTCOME_NOT_RUN;
	memcpy(r->tag, item->tag, sizeof(r->tag));
	response_store_add(&o->responses, r, item->response, item->len);
	return true;
}

static bool store_part(ap_once_t *o, record_set_t *e, const ap_once_msg_t *msg)
{
	if (msg->number < e->next_part)
		return true;
	if (msg->number > e->next_part || e->complete)
		return false;
	if (count_records(o) + msg->n_items > o->config.limits.records_max)
		return false;
	for (size_t i = 0; i < msg->n_items; i++) {
		if (!store_item(o, e, &msg->items[i]))
			return false;
	}
	e->next_part++;
	e->complete = msg->last;
	return true;
}

void handover_receive(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	ap_once_msg_t reply = {
		.kind = AP_ONCE_MSG_HANDOVER_ACK,
		.about = msg->about,
		.number = msg->number,
	};
	record_set_t *e = find_record_set(o, msg->about);

	if (o->draining || ap_id_eq(msg->about, o->config.inc))
		return;
	if (!e && msg->number == 0)
		e = add_record_set(o, msg->about, msg->clock, o->config.limits.records_max);
	if (e && store_part(o, e, msg))
		once_send(o, from, &reply);
}

/* Verdict on a permit that the incarnation @inc issued or witnessed, from its record set. */
static ap_once_verdict_kind_t resolve_in_record_set(const ap_once_t *o, ap_id_t inc,
						    const ap_permit_t *permit, ap_usec_t expires,
						    ap_once_verdict_t *v)
{
	const record_set_t *e = find_record_set(o, inc);
	const record_t *r = e ? table_find(&e->table, permit->xid) : NULL;

	if (r && memcmp(r->tag, permit->tag, sizeof(r->tag)) != 0)
		return once_verdict(v, AP_ONCE_REFUSED, "the permit is not genuine");
	if (r)
		return once_verdict_of(r, v);
	if (e && e->complete && expires > e->horizon + (o->now - e->taken_at))
		return once_verdict(v, AP_ONCE_NOT_RUN,
				    "the entry shut down before the permit's call began");
	return once_verdict(v, AP_ONCE_UNKNOWN,
			    "this entry has no record that decides about the permit");
}

ap_once_verdict_kind_t handover_resolve(ap_once_t *o, const ap_permit_t *permit,
					ap_once_verdict_t *v)
{
	resolve_in_record_set(o, permit->xid.inc, permit, permit->expires, v);
	if (v->kind != AP_ONCE_UNKNOWN || ap_id_is_zero(permit->witness_inc))
		return v->kind;
	return resolve_in_record_set(o, permit->witness_inc, permit, permit->witness_expires, v);
}

/* Draining instance's side. */

static const char *current_successor(const ap_once_t *o)
{
	const char *successor =
		handover_successor(o, o->handover.record_set->inc, o->handover.successor);

	return successor && strcmp(successor, o->config.id) != 0 ? successor : NULL;
}

static ap_once_item_t make_item(const record_set_t *e, const record_t *r)
{
	ap_once_item_t item = {
		.xid = r->xid,
		.outcome = r->state == RECORD_FINISHED ? r->outcome : AP_OUTCOME_UNKNOWN,
		.left = r->drop_at - e->taken_at,
		.response = r->response,
		.len = r->len,
	};

	memcpy(item.tag, r->tag, sizeof(item.tag));
	return item;
}

/* Fills one part from the cursor on. Return: first record of the next part, or NULL. */
static record_t *fill_part(const handover_t *h, ap_once_item_t items[AP_ONCE_ITEMS_MAX], size_t *n)
{
	record_t *r = h->cursor;
	size_t bytes = 0;

	for (*n = 0; r && *n < AP_ONCE_ITEMS_MAX; r = TAILQ_NEXT(r, by_drop_at)) {
		if (*n > 0 && bytes + r->len > AP_ONCE_PART_BYTES)
			break;
		items[(*n)++] = make_item(h->record_set, r);
		bytes += r->len;
	}
	return r;
}

static void send_part(ap_once_t *o)
{
	handover_t *h = &o->handover;
	ap_once_item_t items[AP_ONCE_ITEMS_MAX];
	ap_once_msg_t msg = {
		.kind = AP_ONCE_MSG_HANDOVER,
		.about = h->record_set->inc,
		.number = h->part,
		.clock = h->record_set->horizon,
		.items = items,
	};

	msg.last = fill_part(h, items, &msg.n_items) == NULL;
	h->tries++;
	h->resend_at = o->now + o->config.limits.query_wait / SENDS_PER_WAIT;
	once_send(o, current_successor(o), &msg);
}

static void start_record_set(ap_once_t *o, record_set_t *e, unsigned successor)
{
	handover_t *h = &o->handover;

	h->record_set = e;
	h->successor = successor;
	h->tries = 0;
	h->part = 0;
	h->done = !e;
	if (!e)
		return;
	h->cursor = TAILQ_FIRST(&e->table.by_drop_at);
	if (current_successor(o)) {
		send_part(o);
		return;
	}
	ap_emit(&o->config.env, o->now, "once.kept", (ap_xid_t){.inc = e->inc},
		"why=\"no successor\"");
	h->successor = SUCCESSORS_MAX;
	h->resend_at = o->now;
}

static void next_record_set(ap_once_t *o)
{
	record_set_t *e = TAILQ_NEXT(o->handover.record_set, link);

	while (e && !e->complete)
		e = TAILQ_NEXT(e, link);
	start_record_set(o, e, 0);
}

void handover_receive_ack(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	handover_t *h = &o->handover;
	ap_once_item_t items[AP_ONCE_ITEMS_MAX];
	const char *successor;
	size_t n;

	if (!o->draining || h->done || !h->record_set || h->successor >= SUCCESSORS_MAX)
		return;
	successor = current_successor(o);
	if (!successor || strcmp(successor, from) != 0 || msg->number != h->part ||
	    !ap_id_eq(msg->about, h->record_set->inc))
		return;
	h->cursor = fill_part(h, items, &n);
	h->tries = 0;
	h->part++;
	if (h->cursor)
		send_part(o);
	else
		next_record_set(o);
}

static void expire_record_sets(ap_once_t *o)
{
	ap_usec_t age_max = ISSUER_KEPT_TTLS * o->config.limits.ttl + o->config.limits.keep;
	record_set_t *e = TAILQ_FIRST(&o->record_sets);

	while (e) {
		record_set_t *next = TAILQ_NEXT(e, link);

		table_expire(&e->table, o->now);
		if (o->now - e->taken_at > age_max && e->table.n == 0)
			drop_record_set(o, e);
		e = next;
	}
}

void handover_tick(ap_once_t *o)
{
	handover_t *h = &o->handover;

	if (!o->draining) {
		expire_record_sets(o);
		return;
	}
	if (h->done || o->now < h->resend_at)
		return;
	if (o->now >= h->give_up_at) {
		h->done = true;
		return;
	}
	if (h->successor < SUCCESSORS_MAX && h->tries < HANDOVER_TRIES && current_successor(o))
		send_part(o);
	else if (h->successor + 1 < SUCCESSORS_MAX)
		start_record_set(o, h->record_set, h->successor + 1);
	else
		next_record_set(o);
}

/*
 * Moves horizon and taken_at of the record sets taken over from others to the present, so that they
 * can be sent like the own one.
 */
static void rebase_record_sets(ap_once_t *o)
{
	record_set_t *e;

	TAILQ_FOREACH (e, &o->record_sets, link) {
		e->horizon += o->now - e->taken_at;
		e->taken_at = o->now;
	}
}

static void move_records(ap_once_t *o, table_t *from)
{
	record_t *r = TAILQ_FIRST(&from->by_drop_at);

	while (r) {
		record_t *next = TAILQ_NEXT(r, by_drop_at);

		table_move(&o->own_record_set->table, from, r);
		r = next;
	}
}

void ap_once_drain(ap_once_t *o, ap_usec_t now)
{
	once_set_now(o, now);
	if (o->draining)
		return;
	issuer_close_waiting(o);
	o->draining = true;
	rebase_record_sets(o);
	o->handover.give_up_at = o->now + o->config.limits.handover_wait;
	/* The record of a permit that expired more than @keep ago may have been deleted. */
	o->own_record_set = add_record_set(o, o->config.inc, o->now - o->config.limits.keep,
					   2 * o->config.limits.records_max);
	if (!o->own_record_set) {
		o->handover.done = true;
		return;
	}
	o->own_record_set->complete = true;
	move_records(o, &o->issued);
	move_records(o, &o->witnessed);
	start_record_set(o, o->own_record_set, 0);
}

bool ap_once_drained(const ap_once_t *o)
{
	return o->draining && o->handover.done;
}

void handover_free(ap_once_t *o)
{
	record_set_t *e = TAILQ_FIRST(&o->record_sets);

	while (e) {
		record_set_t *next = TAILQ_NEXT(e, link);

		drop_record_set(o, e);
		e = next;
	}
}
