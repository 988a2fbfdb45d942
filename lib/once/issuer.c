/* The issuer of permits: issues them, allows one dispatch of each, and records the outcome. */
#include "once/state.h"

#include <string.h>

/* Keeps @r for the retention from now on, except in a handover: the table's order must stay then.
 */
static void extend_retention(ap_once_t *o, record_t *r)
{
	if (!o->own_record_set)
		table_extend(&o->issued, r, o->now + o->config.limits.keep);
}

static void close_record(ap_once_t *o, record_t *r)
{
	r->state = RECORD_FINISHED;
	r->outcome = AP_OUTCOME_NOT_RUN;
	r->reported_not_run = true;
	extend_retention(o, r);
}

/*
 * Limits unused permits to the number of free records, so that each permit gets a record when it is
 * used.
 */
static ap_once_status_t take_quota(ap_once_t *o, const char *caller)
{
	size_t max = o->config.limits.records_max;

	table_expire(&o->issued, o->now);
	if (o->issued.n >= max)
		return AP_ONCE_FULL;
	return quota_take(&o->quota, caller, max - o->issued.n, max / CALLER_QUOTA_DIVISOR, o->now);
}

ap_once_status_t ap_once_issue(ap_once_t *o, const char *service, const char *caller, ap_usec_t now,
			       char text[AP_PERMIT_TEXT_MAX])
{
	ap_permit_t permit = {.xid = {.inc = o->config.inc}};
	ap_once_status_t status;

	once_set_now(o, now);
	if (o->draining)
		return AP_ONCE_DRAINING;
	if (service[0] == '\0' || !ap_copy_name(permit.service, sizeof(permit.service), service))
		return AP_ONCE_BAD_NAME;
	if (caller[0] == '\0' || !ap_copy_name(permit.caller, sizeof(permit.caller), caller))
		return AP_ONCE_BAD_NAME;
	status = take_quota(o, caller);
	if (status != AP_ONCE_OK)
		return status;
	permit.xid.seq = ++o->seq;
	permit.expires = o->now + o->config.limits.ttl;
	ap_copy_name(permit.issuer, sizeof(permit.issuer), o->config.id);
	witness_choose(o, &permit);
	if (!ap_permit_write(&permit, o->config.key, text))
		return AP_ONCE_BAD_NAME;
	o->counts.issued++;
	o->counts.issued_without_witness += permit.witness[0] == '\0';
	return AP_ONCE_OK;
}

static void send_begin(ap_once_t *o, record_t *r)
{
	ap_once_msg_t msg = {
		.kind = AP_ONCE_MSG_BEGIN,
		.about = r->witness_inc,
		.xid = r->xid,
		.clock = r->witness_expires,
	};

	memcpy(msg.tag, r->tag, sizeof(msg.tag));
	r->resend_at = o->now + o->config.limits.begin_ack_wait / SENDS_PER_WAIT;
	once_send(o, r->witness, &msg);
}

static void send_done(ap_once_t *o, const record_t *r)
{
	ap_once_msg_t msg = {
		.kind = AP_ONCE_MSG_DONE,
		.about = r->witness_inc,
		.xid = r->xid,
		.outcome = r->outcome,
		.response = r->response,
		.len = r->len,
	};

	if (r->witness[0] != '\0')
		once_send(o, r->witness, &msg);
}

static ap_once_verdict_kind_t allow_dispatch(ap_once_t *o, record_t *r, ap_once_verdict_t *v)
{
	ap_require(&o->config.env, !r->reported_not_run && !r->dispatched, AP_INV_ONCE,
		   "a permit was allowed to run after it was closed or dispatched");
	r->state = RECORD_RUNNING;
	return once_verdict(v, AP_ONCE_DISPATCH, "");
}

static record_t *add_record(ap_once_t *o, const ap_permit_t *permit)
{
	record_t *r = table_add(&o->issued, permit->xid, permit->expires + o->config.limits.keep);

	if (!r)
		return NULL;
	memcpy(r->tag, permit->tag, sizeof(r->tag));
	ap_copy_name(r->witness, sizeof(r->witness), permit->witness);
	r->witness_inc = permit->witness_inc;
	r->witness_expires = permit->witness_expires;
	return r;
}

static ap_once_verdict_kind_t start(ap_once_t *o, const ap_permit_t *permit, uint64_t token,
				    ap_once_verdict_t *v)
{
	record_t *r = add_record(o, permit);

	if (!r)
		return once_verdict(v, AP_ONCE_UNKNOWN, "out of memory for the permit's record");
	token_add(&o->by_token, r, token);
	if (r->witness[0] == '\0')
		return allow_dispatch(o, r, v);
	r->state = RECORD_BEGINNING;
	r->give_up_at = o->now + o->config.limits.begin_ack_wait;
	TAILQ_INSERT_TAIL(&o->waiting, r, by_wait);
	send_begin(o, r);
	return once_verdict(v, AP_ONCE_PENDING, "");
}

/* Verdict on an own permit, without starting its call; AP_ONCE_PENDING: unused and may start. */
static ap_once_verdict_kind_t look_up(ap_once_t *o, const ap_permit_t *permit, ap_once_verdict_t *v)
{
	const record_t *r;

	if (!ap_permit_genuine(permit, o->config.key))
		return once_verdict(v, AP_ONCE_REFUSED, "the permit is not genuine");
	r = once_find(o, &o->issued, permit->xid);
	if (r)
		return once_verdict_of(r, v);
	if (o->now >= permit->expires + o->config.limits.keep)
		return once_verdict(
			v, AP_ONCE_UNKNOWN,
			"the permit expired long ago; its record may have been deleted");
	if (o->now > permit->expires)
		return once_verdict(v, AP_ONCE_NOT_RUN, "the permit expired unused");
	if (o->draining)
		return once_verdict(v, AP_ONCE_NOT_RUN, "the permit's issuer is shutting down");
	return once_verdict(v, AP_ONCE_PENDING, "");
}

static ap_once_verdict_kind_t use_own(ap_once_t *o, const ap_permit_t *permit, uint64_t token,
				      ap_once_verdict_t *v)
{
	if (look_up(o, permit, v) == AP_ONCE_PENDING)
		return start(o, permit, token, v);
	once_decide(o, 0, v);
	return v->kind;
}

ap_once_verdict_kind_t issuer_resolve(ap_once_t *o, const ap_permit_t *permit, ap_once_verdict_t *v)
{
	record_t *r;

	if (look_up(o, permit, v) != AP_ONCE_PENDING)
		return v->kind;
	r = add_record(o, permit);
	if (!r)
		return once_verdict(v, AP_ONCE_UNKNOWN, "out of memory for the permit's record");
	close_record(o, r);
	return once_verdict_of(r, v);
}

ap_once_verdict_kind_t ap_once_use(ap_once_t *o, const char *text, const char *service,
				   const char *caller, uint64_t token, ap_usec_t now,
				   ap_once_verdict_t *verdict)
{
	ap_permit_t permit;
	const peer_t *issuer;

	once_set_now(o, now);
	if (!ap_permit_read(text, &permit) || strcmp(permit.service, service) != 0 ||
	    strcmp(permit.caller, caller) != 0) {
		once_verdict(verdict, AP_ONCE_REFUSED, "not a permit of this caller and service");
		once_decide(o, 0, verdict);
		return verdict->kind;
	}
	if (ap_id_eq(permit.xid.inc, o->config.inc))
		return use_own(o, &permit, token, verdict);
	issuer = once_peer(o, permit.issuer);
	if (once_in_region(o, issuer) && ap_id_eq(issuer->inc, permit.xid.inc)) {
		once_verdict(verdict, AP_ONCE_FORWARD, "");
		ap_copy_name(verdict->entry, sizeof(verdict->entry), permit.issuer);
		return verdict->kind;
	}
	return ap_once_resolve(o, text, service, caller, token, now, verdict);
}

bool ap_once_dispatch(ap_once_t *o, uint64_t token, ap_usec_t now)
{
	once_set_now(o, now);
	if (o->draining)
		return false;
	if (!record_dispatch(token_find(o->by_token, token), true, &o->config.env))
		return false;
	o->counts.dispatched++;
	return true;
}

void ap_once_not_started(ap_once_t *o, uint64_t token)
{
	record_not_started(token_find(o->by_token, token));
}

void ap_once_done(ap_once_t *o, uint64_t token, ap_outcome_t outcome, const void *response,
		  size_t len, ap_usec_t now)
{
	record_t *r = token_find(o->by_token, token);

	once_set_now(o, now);
	if (!record_end(&o->by_token, r, outcome, &o->config.env))
		return;
	if (outcome == AP_OUTCOME_NOT_RUN) {
		close_record(o, r);
	} else {
		extend_retention(o, r);
		response_store_add(&o->responses, r, response, len);
	}
	send_done(o, r);
}

/* Ends a wait for the witness without a dispatch. Return: the driver's token. */
static uint64_t stop_waiting(ap_once_t *o, record_t *r)
{
	uint64_t token = r->token;

	record_stop_waiting(&o->by_token, &o->waiting, r);
	close_record(o, r);
	send_done(o, r);
	return token;
}

static void give_up(ap_once_t *o, record_t *r, const char *why)
{
	ap_once_verdict_t v;
	uint64_t token = stop_waiting(o, r);

	ap_emit(&o->config.env, o->now, "once.not-run", r->xid, "why=\"%s\"", why);
	once_verdict(&v, AP_ONCE_NOT_RUN, why);
	once_decide(o, token, &v);
}

void ap_once_cancel(ap_once_t *o, uint64_t token, ap_usec_t now)
{
	record_t *r = token_find(o->by_token, token);

	once_set_now(o, now);
	if (r && r->state == RECORD_BEGINNING)
		stop_waiting(o, r);
	if (!r)
		permit_query_cancel(o, token);
}

static record_t *find_waiting(const ap_once_t *o, const ap_once_msg_t *msg)
{
	record_t *r = table_find(&o->issued, msg->xid);

	if (!r || r->state != RECORD_BEGINNING || !ap_id_eq(r->witness_inc, msg->from))
		return NULL;
	return r;
}

void issuer_begin_ack(ap_once_t *o, const ap_once_msg_t *msg)
{
	record_t *r = find_waiting(o, msg);
	ap_once_verdict_t v;

	if (!r)
		return;
	if (o->now >= r->give_up_at) {
		give_up(o, r, "the witness acknowledged too late");
		return;
	}
	TAILQ_REMOVE(&o->waiting, r, by_wait);
	allow_dispatch(o, r, &v);
	once_decide(o, r->token, &v);
}

void issuer_begin_denied(ap_once_t *o, const ap_once_msg_t *msg)
{
	record_t *r = find_waiting(o, msg);

	if (r)
		give_up(o, r, "the witness refused the permit");
}

/*
 * Looks up the first record anew each time: once_decide() calls the driver, which may call
 * functions of this library that change the list.
 */
void issuer_tick(ap_once_t *o)
{
	record_t *r;

	TAILQ_FOREACH (r, &o->waiting, by_wait) {
		if (o->now >= r->give_up_at || o->now < r->resend_at)
			continue;
		witness_suspect(o, r->witness);
		send_begin(o, r);
	}
	while ((r = TAILQ_FIRST(&o->waiting)) && o->now >= r->give_up_at)
		give_up(o, r, "the witness did not acknowledge the permit in time");
	if (!o->draining)
		table_expire(&o->issued, o->now);
}

void issuer_close_waiting(ap_once_t *o)
{
	while (!TAILQ_EMPTY(&o->waiting))
		give_up(o, TAILQ_FIRST(&o->waiting), "the entry is shutting down");
}
