/*
 * Queries about permits, sent to one instance after the other until one gives a verdict: the
 * issuer, the witness, then the successors of both.
 */
#include "once/state.h"

#include <stdlib.h>
#include <string.h>

/* Id of the instance to query at the present step; NULL: skip the step. */
static const char *step_target(const ap_once_t *o, const permit_query_t *q)
{
	const ap_permit_t *p = &q->permit;
	const peer_t *issuer = once_peer(o, p->issuer);

	switch (q->step) {
	case 0:
		return issuer && ap_id_eq(issuer->inc, p->xid.inc) ? p->issuer : NULL;
	case 1:
		return p->witness[0] != '\0' ? p->witness : NULL;
	case 2:
	case 3:
		return handover_successor(o, p->xid.inc, q->step - 2);
	default:
		if (ap_id_is_zero(p->witness_inc))
			return NULL;
		return handover_successor(o, p->witness_inc, q->step - 4);
	}
}

static bool was_queried(const permit_query_t *q, const char *id)
{
	for (unsigned i = 0; i < q->step; i++) {
		if (strcmp(q->queried[i], id) == 0)
			return true;
	}
	return false;
}

static void send_permit_query(ap_once_t *o, permit_query_t *q)
{
	ap_once_msg_t msg = {.kind = AP_ONCE_MSG_QUERY, .number = q->number, .text = q->text};

	q->resend_at = o->now + o->config.limits.query_wait / SENDS_PER_WAIT;
	once_send(o, q->queried[q->step], &msg);
}

/* Queries the instance of the present step or of the next that has one; UNKNOWN if none is left. */
static ap_once_verdict_kind_t query_next_target(ap_once_t *o, permit_query_t *q,
						ap_once_verdict_t *v)
{
	for (; q->step < PERMIT_QUERY_STEPS; q->step++) {
		const char *target = step_target(o, q);

		if (!target || was_queried(q, target))
			continue;
		ap_copy_name(q->queried[q->step], AP_NAME_MAX, target);
		if (strcmp(target, o->config.id) == 0) {
			if (once_resolve_local(o, &q->permit, v) != AP_ONCE_UNKNOWN)
				return v->kind;
			continue;
		}
		if (!once_in_region(o, once_peer(o, target)))
			continue;
		q->give_up_at = o->now + o->config.limits.query_wait;
		send_permit_query(o, q);
		return once_verdict(v, AP_ONCE_PENDING, "");
	}
	return once_verdict(v, AP_ONCE_UNKNOWN, "no entry knows whether the permit's call ran");
}

static void remove_permit_query(ap_once_t *o, permit_query_t *q)
{
	TAILQ_REMOVE(&o->permit_queries, q, link);
	o->n_permit_queries--;
	free(q);
}

static ap_once_verdict_kind_t start_permit_query(ap_once_t *o, const char *text,
						 const ap_permit_t *permit, uint64_t token,
						 ap_once_verdict_t *v)
{
	permit_query_t *q;

	if (o->n_permit_queries >= o->config.limits.queries_max)
		return once_verdict(v, AP_ONCE_UNKNOWN,
				    "too many queries about permits in progress");
	q = calloc(1, sizeof(*q));
	if (!q)
		return once_verdict(v, AP_ONCE_UNKNOWN,
				    "out of memory for a query about the permit");
	q->number = ++o->permit_query_seq;
	q->token = token;
	q->permit = *permit;
	ap_copy_name(q->text, sizeof(q->text), text);
	TAILQ_INSERT_TAIL(&o->permit_queries, q, link);
	o->n_permit_queries++;
	if (query_next_target(o, q, v) != AP_ONCE_PENDING)
		remove_permit_query(o, q);
	return v->kind;
}

static bool issued_in_remote_region(const ap_once_t *o, const ap_permit_t *permit)
{
	const peer_t *issuer = once_peer(o, permit->issuer);

	return issuer && !once_in_region(o, issuer);
}

static void verdict_wrong_region(const ap_permit_t *permit, ap_once_verdict_t *v)
{
	once_verdict(v, AP_ONCE_WRONG_REGION, "the permit was issued in another region");
	ap_copy_name(v->entry, sizeof(v->entry), permit->issuer);
}

ap_once_verdict_kind_t ap_once_resolve(ap_once_t *o, const char *text, const char *service,
				       const char *caller, uint64_t token, ap_usec_t now,
				       ap_once_verdict_t *verdict)
{
	ap_permit_t permit;

	once_set_now(o, now);
	if (!ap_permit_read(text, &permit) || strcmp(permit.service, service) != 0 ||
	    strcmp(permit.caller, caller) != 0)
		once_verdict(verdict, AP_ONCE_REFUSED, "not a permit of this caller and service");
	else if (ap_id_eq(permit.xid.inc, o->config.inc))
		issuer_resolve(o, &permit, verdict);
	else if (issued_in_remote_region(o, &permit))
		verdict_wrong_region(&permit, verdict);
	else
		start_permit_query(o, text, &permit, token, verdict);
	if (verdict->kind != AP_ONCE_PENDING)
		once_decide(o, 0, verdict);
	return verdict->kind;
}

void permit_query_receive(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	ap_once_msg_t reply = {.kind = AP_ONCE_MSG_QUERY_RESPONSE, .number = msg->number};
	ap_once_verdict_t v;
	ap_permit_t permit;

	if (!msg->text || !ap_permit_read(msg->text, &permit))
		return;
	once_resolve_local(o, &permit, &v);
	reply.verdict = v.kind;
	reply.outcome = v.outcome;
	reply.response = v.response;
	reply.len = v.len;
	once_send(o, from, &reply);
}

static void settle(ap_once_t *o, permit_query_t *q, const ap_once_verdict_t *v)
{
	uint64_t token = q->token;

	remove_permit_query(o, q);
	once_decide(o, token, v);
}

static void query_after_step(ap_once_t *o, permit_query_t *q)
{
	ap_once_verdict_t v;

	q->step++;
	if (query_next_target(o, q, &v) != AP_ONCE_PENDING)
		settle(o, q, &v);
}

static const char *verdict_reason(ap_once_verdict_kind_t kind)
{
	switch (kind) {
	case AP_ONCE_NOT_RUN:
		return "the permit was closed before it ran";
	case AP_ONCE_USED:
		return "the permit's call was completed";
	case AP_ONCE_RUNNING:
		return "the permit's call is in progress";
	default: /* AP_ONCE_REFUSED; the caller passes no other kind */
		return "the permit is not genuine";
	}
}

void permit_query_receive_response(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	permit_query_t *q;
	ap_once_verdict_t v;

	TAILQ_FOREACH (q, &o->permit_queries, link) {
		if (q->number == msg->number && strcmp(q->queried[q->step], from) == 0)
			break;
	}
	if (!q)
		return;
	switch (msg->verdict) {
	case AP_ONCE_NOT_RUN:
	case AP_ONCE_USED:
	case AP_ONCE_RUNNING:
	case AP_ONCE_REFUSED:
		once_verdict(&v, msg->verdict, verdict_reason(msg->verdict));
		v.outcome = msg->outcome;
		v.response = msg->response;
		v.len = msg->len;
		settle(o, q, &v);
		break;
	default:
		query_after_step(o, q);
		break;
	}
}

static permit_query_t *first_timed_out(const ap_once_t *o)
{
	permit_query_t *q;

	TAILQ_FOREACH (q, &o->permit_queries, link) {
		if (o->now >= q->give_up_at)
			return q;
	}
	return NULL;
}

/*
 * Looks up the first query anew each time: settle() calls the driver, which may call functions of
 * this library that change the list.
 */
void permit_query_tick(ap_once_t *o)
{
	permit_query_t *q;

	while ((q = first_timed_out(o)))
		query_after_step(o, q);
	TAILQ_FOREACH (q, &o->permit_queries, link) {
		if (o->now >= q->resend_at)
			send_permit_query(o, q);
	}
}

void permit_query_cancel(ap_once_t *o, uint64_t token)
{
	permit_query_t *q;

	TAILQ_FOREACH (q, &o->permit_queries, link) {
		if (q->token == token)
			break;
	}
	if (q)
		remove_permit_query(o, q);
}

void permit_query_free(ap_once_t *o)
{
	permit_query_t *q = TAILQ_FIRST(&o->permit_queries);

	while (q) {
		permit_query_t *next = TAILQ_NEXT(q, link);

		remove_permit_query(o, q);
		q = next;
	}
}
