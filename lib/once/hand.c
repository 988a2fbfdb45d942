/* Graceful shutdown: a table handed to a successor part by part, and what the successor can say. */
#include "once/state.h"

#include <stdlib.h>
#include <string.h>

#define HAND_TRIES 6 /* of one part at one successor */

const char *hand_heir(const ap_once_t *o, ap_id_t inc, unsigned rank)
{
	uint64_t key = ap_hash(&inc, sizeof(inc), 0);
	const char *best[HEIRS] = {NULL, NULL};
	double score[HEIRS] = {0, 0};

	for (size_t i = 0; i <= o->n_contacts; i++) {
		bool self = i == o->n_contacts;
		const char *id = self ? o->config.id : o->contacts[i]->id;
		ap_id_t own = self ? o->config.inc : o->contacts[i]->inc;
		double s = ap_rendezvous(key, ap_hash_str(id, 0), 1);

		if (ap_id_eq(own, inc) || (self && o->closing) || s <= score[1])
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
	return rank < HEIRS ? best[rank] : NULL;
}

static estate_t *find_estate(const ap_once_t *o, ap_id_t inc)
{
	estate_t *e;

	TAILQ_FOREACH (e, &o->estates, link) {
		if (ap_id_eq(e->inc, inc))
			break;
	}
	return e;
}

static void drop_estate(ap_once_t *o, estate_t *e)
{
	TAILQ_REMOVE(&o->estates, e, link);
	o->n_estates--;
	table_clear(&e->table);
	free(e);
}

static estate_t *add_estate(ap_once_t *o, ap_id_t inc, ap_usec_t horizon, size_t max)
{
	estate_t *e;

	if (o->n_estates >= ESTATES_MAX && !o->closing)
		return NULL;
	e = calloc(1, sizeof(*e));
	if (!e)
		return NULL;
	e->inc = inc;
	e->horizon = horizon;
	e->taken_at = o->now;
	table_init(&e->table, max, &o->answers);
	TAILQ_INSERT_TAIL(&o->estates, e, link);
	o->n_estates++;
	return e;
}

/* Successor's side. */

static size_t count_records(const ap_once_t *o)
{
	const estate_t *e;
	size_t n = 0;

	TAILQ_FOREACH (e, &o->estates, link)
		n += e->table.n;
	return n;
}

static bool take_item(ap_once_t *o, estate_t *e, const ap_once_item_t *item)
{
	record_t *r = table_find(&e->table, item->xid);

	if (!r)
		r = table_add(&e->table, item->xid, e->taken_at + item->left);
	if (!r)
		return false;
	r->state = RECORD_FINISHED;
	r->outcome = item->outcome;
	r->said_not_run = item->outcome == AP_OUTCOME_NOT_RUN;
	memcpy(r->tag, item->tag, sizeof(r->tag));
	answers_store(&o->answers, r, item->answer, item->len);
	return true;
}

static bool take_part(ap_once_t *o, estate_t *e, const ap_once_msg_t *msg)
{
	if (msg->number < e->next_part)
		return true;
	if (msg->number > e->next_part || e->complete)
		return false;
	if (count_records(o) + msg->n_items > o->config.limits.records_max)
		return false;
	for (size_t i = 0; i < msg->n_items; i++) {
		if (!take_item(o, e, &msg->items[i]))
			return false;
	}
	e->next_part++;
	e->complete = msg->last;
	return true;
}

void hand_take(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	ap_once_msg_t reply = {
		.kind = AP_ONCE_MSG_HANDOVER_ACK,
		.about = msg->about,
		.number = msg->number,
	};
	estate_t *e = find_estate(o, msg->about);

	if (o->closing || ap_id_eq(msg->about, o->config.inc))
		return;
	if (!e && msg->number == 0)
		e = add_estate(o, msg->about, msg->clock, o->config.limits.records_max);
	if (e && take_part(o, e, msg))
		once_send(o, from, &reply);
}

/* A permit that the estate's owner issued or witnessed. */
static ap_once_kind_t judge_estate(const ap_once_t *o, ap_id_t inc, const ap_permit_t *permit,
				   ap_usec_t expires, ap_once_verdict_t *v)
{
	const estate_t *e = find_estate(o, inc);
	const record_t *r = e ? table_find(&e->table, permit->xid) : NULL;

	if (r && memcmp(r->tag, permit->tag, sizeof(r->tag)) != 0)
		return once_verdict(v, AP_ONCE_REFUSED, "the permit is not genuine");
	if (r)
		return once_verdict_of(r, v);
	if (e && e->complete && expires > e->horizon + (o->now - e->taken_at))
		return once_verdict(v, AP_ONCE_NOT_RUN, "the entry shut down before it began");
	return once_verdict(v, AP_ONCE_UNKNOWN, "the permit's issuer and witness are gone");
}

ap_once_kind_t hand_judge(ap_once_t *o, const ap_permit_t *permit, ap_once_verdict_t *v)
{
	judge_estate(o, permit->xid.inc, permit, permit->expires, v);
	if (v->kind != AP_ONCE_UNKNOWN || ap_id_is_zero(permit->witness_inc))
		return v->kind;
	return judge_estate(o, permit->witness_inc, permit, permit->witness_expires, v);
}

/* The side of the entry that shuts down. */

static const char *heir_now(const ap_once_t *o)
{
	const char *heir = hand_heir(o, o->hand.estate->inc, o->hand.heir);

	return heir && strcmp(heir, o->config.id) != 0 ? heir : NULL;
}

static ap_once_item_t make_item(const estate_t *e, const record_t *r)
{
	ap_once_item_t item = {
		.xid = r->xid,
		.outcome = r->state == RECORD_FINISHED ? r->outcome : AP_OUTCOME_UNKNOWN,
		.left = r->drop_at - e->taken_at,
		.answer = r->answer,
		.len = r->len,
	};

	memcpy(item.tag, r->tag, sizeof(item.tag));
	return item;
}

/* Fills one part from the cursor on. Return: where the next one starts. */
static record_t *fill_part(const hand_t *h, ap_once_item_t items[AP_ONCE_ITEMS_MAX], size_t *n)
{
	record_t *r = h->cursor;
	size_t bytes = 0;

	for (*n = 0; r && *n < AP_ONCE_ITEMS_MAX; r = TAILQ_NEXT(r, by_age)) {
		if (*n > 0 && bytes + r->len > AP_ONCE_PART_BYTES)
			break;
		items[(*n)++] = make_item(h->estate, r);
		bytes += r->len;
	}
	return r;
}

static void send_part(ap_once_t *o)
{
	hand_t *h = &o->hand;
	ap_once_item_t items[AP_ONCE_ITEMS_MAX];
	ap_once_msg_t msg = {
		.kind = AP_ONCE_MSG_HANDOVER,
		.about = h->estate->inc,
		.number = h->part,
		.clock = h->estate->horizon,
		.items = items,
	};

	msg.last = fill_part(h, items, &msg.n_items) == NULL;
	h->tries++;
	h->resend_at = o->now + o->config.limits.query_wait / RESENDS;
	once_send(o, heir_now(o), &msg);
}

static void start_estate(ap_once_t *o, estate_t *e, unsigned heir)
{
	hand_t *h = &o->hand;

	h->estate = e;
	h->heir = heir;
	h->tries = 0;
	h->part = 0;
	h->done = !e;
	if (!e)
		return;
	h->cursor = TAILQ_FIRST(&e->table.by_age);
	if (heir_now(o)) {
		send_part(o);
		return;
	}
	ap_emit(&o->config.env, o->now, "once.kept", (ap_xid_t){.inc = e->inc},
		"why=\"no successor\"");
	h->heir = HEIRS;
	h->resend_at = o->now;
}

static void next_estate(ap_once_t *o)
{
	estate_t *e = TAILQ_NEXT(o->hand.estate, link);

	while (e && !e->complete)
		e = TAILQ_NEXT(e, link);
	start_estate(o, e, 0);
}

void hand_held(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	hand_t *h = &o->hand;
	ap_once_item_t items[AP_ONCE_ITEMS_MAX];
	const char *heir;
	size_t n;

	if (!o->closing || h->done || !h->estate || h->heir >= HEIRS)
		return;
	heir = heir_now(o);
	if (!heir || strcmp(heir, from) != 0 || msg->number != h->part ||
	    !ap_id_eq(msg->about, h->estate->inc))
		return;
	h->cursor = fill_part(h, items, &n);
	h->tries = 0;
	h->part++;
	if (h->cursor)
		send_part(o);
	else
		next_estate(o);
}

static void expire_estates(ap_once_t *o)
{
	ap_usec_t age_max = 4 * o->config.limits.ttl + o->config.limits.keep;
	estate_t *e = TAILQ_FIRST(&o->estates);

	while (e) {
		estate_t *next = TAILQ_NEXT(e, link);

		table_expire(&e->table, o->now);
		if (o->now - e->taken_at > age_max && e->table.n == 0)
			drop_estate(o, e);
		e = next;
	}
}

void hand_tick(ap_once_t *o)
{
	hand_t *h = &o->hand;

	if (!o->closing) {
		expire_estates(o);
		return;
	}
	if (h->done || o->now < h->resend_at)
		return;
	if (o->now >= h->give_up_at) {
		h->done = true;
		return;
	}
	if (h->heir < HEIRS && h->tries < HAND_TRIES && heir_now(o))
		send_part(o);
	else if (h->heir + 1 < HEIRS)
		start_estate(o, h->estate, h->heir + 1);
	else
		next_estate(o);
}

/* Others' estates go on with the time that has passed since they were taken. */
static void age_estates(ap_once_t *o)
{
	estate_t *e;

	TAILQ_FOREACH (e, &o->estates, link) {
		e->horizon += o->now - e->taken_at;
		e->taken_at = o->now;
	}
}

static void move_records(ap_once_t *o, table_t *from)
{
	record_t *r = TAILQ_FIRST(&from->by_age);

	while (r) {
		record_t *next = TAILQ_NEXT(r, by_age);

		table_move(&o->own_estate->table, from, r);
		r = next;
	}
}

void ap_once_drain(ap_once_t *o, ap_usec_t now)
{
	once_set_now(o, now);
	if (o->closing)
		return;
	issuer_close_waiting(o);
	o->closing = true;
	age_estates(o);
	o->hand.give_up_at = o->now + o->config.limits.handover_wait;
	o->own_estate = add_estate(o, o->config.inc, o->now - o->config.limits.keep,
				   2 * o->config.limits.records_max);
	if (!o->own_estate) {
		o->hand.done = true;
		return;
	}
	o->own_estate->complete = true;
	move_records(o, &o->issued);
	move_records(o, &o->witnessed);
	start_estate(o, o->own_estate, 0);
}

bool ap_once_drained(const ap_once_t *o)
{
	return o->closing && o->hand.done;
}

void hand_free(ap_once_t *o)
{
	estate_t *e = TAILQ_FIRST(&o->estates);

	while (e) {
		estate_t *next = TAILQ_NEXT(e, link);

		drop_estate(o, e);
		e = next;
	}
}
