/*
 * Queries to the owner of a claim, the instance that made it, for the outcome of its call; the
 * store holds only which instance that is. Unlike a query about a permit, a query about a claim
 * does not prevent the call from running later, since the owner may use its claim again.
 */
#include "once/claim.h"

void owner_unknown_verdict(ap_once_verdict_t *v)
{
	once_verdict(v, AP_ONCE_USED, "the key was used at another entry");
}

static bool send_claim_query(ap_claims_t *c, record_t *r)
{
	ap_once_msg_t msg = {
		.kind = AP_ONCE_MSG_CLAIM_QUERY,
		.from = c->config.inc,
		.about = r->owner.inc,
		.xid = {r->xid.inc, r->owner.seq},
		.number = r->call_number,
	};

	r->resend_at = c->now + c->config.query_wait / SENDS_PER_WAIT;
	return c->config.send(c->config.ctx, r->owner.inc, &msg);
}

/* @r must be in the list of records that wait for the store. */
bool owner_query(ap_claims_t *c, record_t *r, ap_xid_t owner)
{
	if (!c->config.send)
		return false;
	r->owner = owner;
	r->call_number = ++c->call_seq;
	if (!send_claim_query(c, r))
		return false;
	TAILQ_REMOVE(&c->waiting, r, by_wait);
	TAILQ_INSERT_TAIL(&c->querying, r, by_wait);
	r->state = RECORD_QUERYING;
	if (r->give_up_at > c->now + c->config.query_wait)
		r->give_up_at = c->now + c->config.query_wait;
	return true;
}

/* The verdict is not kept: only the owner knows for how long it is valid. */
void owner_query_cancel(ap_claims_t *c, record_t *r)
{
	TAILQ_REMOVE(&c->querying, r, by_wait);
	token_remove(&c->by_token, r);
	table_remove(&c->table, r);
}

static void settle(ap_claims_t *c, record_t *r, const ap_once_verdict_t *v)
{
	uint64_t token = r->token;

	owner_query_cancel(c, r);
	c->config.decided(c->config.ctx, token, v);
}

static void receive_query(ap_claims_t *c, const ap_once_msg_t *msg)
{
	ap_once_msg_t reply = {
		.kind = AP_ONCE_MSG_CLAIM_RESPONSE,
		.from = c->config.inc,
		.xid = msg->xid,
		.number = msg->number,
	};
	const record_t *r = table_find(&c->table, (ap_xid_t){.inc = msg->xid.inc});
	ap_once_verdict_t v;

	if (!c->config.send || !ap_id_eq(msg->about, c->config.inc))
		return;
	once_verdict(&v, AP_ONCE_UNKNOWN, "");
	if (r && r->nonce == msg->xid.seq && r->state != RECORD_QUERYING)
		claim_verdict_of(r, &v);
	reply.verdict = v.kind;
	reply.outcome = v.outcome;
	reply.response = v.response;
	reply.len = v.len;
	c->config.send(c->config.ctx, msg->from, &reply);
}

static void read_verdict(const ap_once_msg_t *msg, ap_once_verdict_t *v)
{
	switch (msg->verdict) {
	case AP_ONCE_USED:
		once_verdict(v, AP_ONCE_USED, "the key's call was completed at another entry");
		v->outcome = msg->outcome;
		v->response = msg->response;
		v->len = msg->len;
		break;
	case AP_ONCE_RUNNING:
		once_verdict(v, AP_ONCE_RUNNING, "the key's call is in progress at another entry");
		break;
	case AP_ONCE_NOT_RUN:
		once_verdict(v, AP_ONCE_NOT_RUN,
			     "the key is claimed by another entry, where its call did not run");
		break;
	default:
		owner_unknown_verdict(v);
		break;
	}
}

/* A late or duplicate response matches no query, as every query has a new number. */
static void receive_response(ap_claims_t *c, const ap_once_msg_t *msg)
{
	record_t *r = table_find(&c->table, (ap_xid_t){.inc = msg->xid.inc});
	ap_once_verdict_t v;

	if (!r || r->state != RECORD_QUERYING || r->call_number != msg->number ||
	    !ap_id_eq(r->owner.inc, msg->from))
		return;
	read_verdict(msg, &v);
	settle(c, r, &v);
}

void ap_claims_receive(ap_claims_t *c, const ap_once_msg_t *msg, ap_usec_t now)
{
	claims_set_now(c, now);
	if (msg->kind == AP_ONCE_MSG_CLAIM_QUERY)
		receive_query(c, msg);
	else if (msg->kind == AP_ONCE_MSG_CLAIM_RESPONSE)
		receive_response(c, msg);
}

static record_t *first_timed_out(const ap_claims_t *c)
{
	record_t *r;

	TAILQ_FOREACH (r, &c->querying, by_wait) {
		if (c->now >= r->give_up_at)
			return r;
	}
	return NULL;
}

/*
 * Looks up the first record anew each time: settle() calls the driver, which may call functions of
 * this library that change the list.
 */
void owner_tick(ap_claims_t *c)
{
	ap_once_verdict_t v;
	record_t *r;

	owner_unknown_verdict(&v);
	while ((r = first_timed_out(c)))
		settle(c, r, &v);
	TAILQ_FOREACH (r, &c->querying, by_wait) {
		if (c->now >= r->resend_at)
			send_claim_query(c, r);
	}
}

ap_usec_t owner_due(const ap_claims_t *c)
{
	ap_usec_t due = AP_NEVER;
	const record_t *r;

	TAILQ_FOREACH (r, &c->querying, by_wait) {
		due = r->resend_at < due ? r->resend_at : due;
		due = r->give_up_at < due ? r->give_up_at : due;
	}
	return due;
}
