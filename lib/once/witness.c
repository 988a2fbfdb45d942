/*
 * Witnesses: the issuer's choice of one, and, at the witness, records of the permits that began. A
 * witness can close a permit that has not begun, as it then acknowledges no BEGIN of it.
 */
#include "once/state.h"

#include <stdlib.h>
#include <string.h>

static void send_probe(ap_once_t *o, peer_t *peer)
{
	ap_once_msg_t msg = {.kind = AP_ONCE_MSG_PROBE};

	memcpy(msg.key, o->config.key, sizeof(msg.key));
	if (peer->probes_lost <= PROBES_LOST_MAX)
		peer->probes_lost++;
	once_send(o, peer->id, &msg);
}

/*
 * Probes candidates until PROBED_CANDIDATES of them acknowledge. One that does not acknowledge is
 * still probed, and a further one in addition, up to 2 * PROBED_CANDIDATES in all.
 */
static void probe_candidates(ap_once_t *o)
{
	size_t acknowledging = 0;

	for (size_t i = 0; i < o->n_witness_candidates && i < 2 * PROBED_CANDIDATES &&
			   acknowledging < PROBED_CANDIDATES;
	     i++) {
		acknowledging += o->witness_candidates[i]->probes_lost < PROBES_LOST_MAX;
		send_probe(o, o->witness_candidates[i]);
	}
}

void witness_forget_issuers(ap_once_t *o, ap_usec_t until)
{
	issuer_t *issuer = TAILQ_FIRST(&o->issuers_by_drop_at);

	while (issuer && issuer->drop_at <= until) {
		issuer_t *next = TAILQ_NEXT(issuer, by_drop_at);

		TAILQ_REMOVE(&o->issuers_by_drop_at, issuer, by_drop_at);
		if (o->issuers)
			HASH_DEL(o->issuers, issuer);
		free(issuer);
		issuer = next;
	}
}

static bool is_fresh(const ap_once_t *o, const peer_t *peer)
{
	ap_usec_t limit = PROBES_LOST_MAX * o->config.limits.probe_every;

	return !ap_id_is_zero(peer->heard_inc) && o->now - peer->heard_at < limit;
}

/* True if a candidate acknowledged a probe recently, or none is known and no peers are expected. */
static bool any_fresh_or_none_expected(const ap_once_t *o)
{
	for (size_t i = 0; i < o->n_witness_candidates; i++) {
		if (is_fresh(o, o->witness_candidates[i]))
			return true;
	}
	return o->n_witness_candidates == 0 && !o->peers_expected;
}

void witness_tick(ap_once_t *o)
{
	witness_forget_issuers(o, o->now);
	if (o->draining)
		return;
	table_expire(&o->witnessed, o->now);
	if (o->now < o->probe_at)
		return;
	o->probe_at = o->now + o->config.limits.probe_every;
	o->unanswered_rounds = any_fresh_or_none_expected(o) ? 0 : o->unanswered_rounds + 1;
	if (o->unanswered_rounds > 0)
		o->probe_at = o->now + o->config.limits.probe_every / UNANSWERED_ROUNDS;
	probe_candidates(o);
}

bool ap_once_witness_ready(const ap_once_t *o)
{
	return any_fresh_or_none_expected(o) ||
	       o->unanswered_rounds >
		       (o->n_witness_candidates > 0 ? UNANSWERED_ROUNDS : EXPECTING_ROUNDS);
}

static issuer_t *find_issuer(const ap_once_t *o, ap_id_t inc)
{
	issuer_t *issuer = NULL;

	HASH_FIND(hh, o->issuers, &inc, sizeof(inc), issuer);
	return issuer;
}

static void link_issuer(ap_once_t *o, issuer_t *issuer)
{
	HASH_ADD(hh, o->issuers, inc, sizeof(issuer->inc), issuer);
}

static issuer_t *add_issuer(ap_once_t *o, const ap_once_msg_t *msg)
{
	issuer_t *issuer;

	if (HASH_COUNT(o->issuers) >= ISSUERS_MAX)
		return NULL;
	issuer = calloc(1, sizeof(*issuer));
	if (!issuer)
		return NULL;
	issuer->inc = msg->from;
	memcpy(issuer->key, msg->key, sizeof(issuer->key));
	link_issuer(o, issuer);
	return issuer;
}

static bool keep_issuer(ap_once_t *o, const ap_once_msg_t *msg)
{
	issuer_t *issuer = find_issuer(o, msg->from);

	if (issuer)
		TAILQ_REMOVE(&o->issuers_by_drop_at, issuer, by_drop_at);
	else
		issuer = add_issuer(o, msg);
	if (!issuer)
		return false;
	issuer->drop_at = o->now + ISSUER_KEPT_TTLS * o->config.limits.ttl + o->config.limits.keep;
	TAILQ_INSERT_TAIL(&o->issuers_by_drop_at, issuer, by_drop_at);
	return true;
}

void witness_probe(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	ap_once_msg_t reply = {.kind = AP_ONCE_MSG_PROBE_ACK, .clock = o->now};

	if (o->draining || !keep_issuer(o, msg))
		return;
	once_send(o, from, &reply);
}

void witness_probe_ack(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	peer_t *peer = once_peer(o, from);

	peer->probes_lost = 0;
	peer->heard_inc = msg->from;
	peer->heard_at = o->now;
	peer->heard_clock = msg->clock;
}

void witness_suspect(ap_once_t *o, const char *id)
{
	peer_t *peer = once_peer(o, id);

	if (peer)
		peer->heard_inc = (ap_id_t){0};
}

void witness_choose(ap_once_t *o, ap_permit_t *permit)
{
	const peer_t *best = NULL;
	double best_score = 0;

	for (size_t i = 0; i < o->n_witness_candidates && i < 2 * PROBED_CANDIDATES; i++) {
		const peer_t *peer = o->witness_candidates[i];
		double score = ap_rendezvous(permit->xid.seq,
					     ap_hash_str(peer->id, permit->xid.inc.lo), 1);

		if (!is_fresh(o, peer) || score <= best_score)
			continue;
		best = peer;
		best_score = score;
	}
	if (!best)
		return;
	if (!ap_require(&o->config.env, once_in_region(o, best), AP_INV_RESIDENCY,
			"a permit's witness is in another region"))
		return;
	ap_copy_name(permit->witness, sizeof(permit->witness), best->id);
	permit->witness_inc = best->heard_inc;
	permit->witness_expires =
		best->heard_clock + (o->now - best->heard_at) + o->config.limits.ttl;
}

/*
 * A BEGIN for another incarnation, not from the permit's issuer, too late, or with an expiry later
 * than any permit can have, is never acknowledged.
 */
static bool may_begin(const ap_once_t *o, const ap_once_msg_t *msg)
{
	if (o->draining || !ap_id_eq(msg->about, o->config.inc))
		return false;
	if (!ap_id_eq(msg->from, msg->xid.inc))
		return false;
	return o->now <= msg->clock && msg->clock <= o->now + 2 * o->config.limits.ttl;
}

static record_t *add_begun(ap_once_t *o, const ap_once_msg_t *msg)
{
	record_t *r;

	if (o->witnessed.n >= o->witnessed.max - o->witnessed.max / CLOSING_RESERVE_DIVISOR)
		return NULL;
	r = table_add(&o->witnessed, msg->xid, msg->clock + o->config.limits.keep);
	if (!r)
		return NULL;
	r->state = RECORD_RUNNING;
	memcpy(r->tag, msg->tag, sizeof(r->tag));
	return r;
}

void witness_begin(ap_once_t *o, const char *from, const ap_once_msg_t *msg)
{
	ap_once_msg_t reply = {.kind = AP_ONCE_MSG_BEGIN_DENIED, .xid = msg->xid};
	const record_t *r = once_find(o, &o->witnessed, msg->xid);

	if (!r && may_begin(o, msg))
		r = add_begun(o, msg);
	if (r && !o->draining && r->state == RECORD_RUNNING)
		reply.kind = AP_ONCE_MSG_BEGIN_ACK;
	if (reply.kind == AP_ONCE_MSG_BEGIN_ACK)
		ap_require(&o->config.env, !r->reported_not_run, AP_INV_ONCE,
			   "a witness acknowledges a permit that it closed");
	once_send(o, from, &reply);
}

void witness_done(ap_once_t *o, const ap_once_msg_t *msg)
{
	record_t *r = once_find(o, &o->witnessed, msg->xid);

	if (!r || o->draining || !ap_id_eq(msg->from, msg->xid.inc))
		return;
	ap_require(&o->config.env, !r->reported_not_run || msg->outcome == AP_OUTCOME_NOT_RUN,
		   AP_INV_ONCE, "a permit ran after it was reported as not run");
	if (r->state == RECORD_FINISHED)
		return;
	r->state = RECORD_FINISHED;
	r->outcome = msg->outcome;
	table_extend(&o->witnessed, r, o->now + o->config.limits.keep);
	response_store_add(&o->responses, r, msg->response, msg->len);
}

static ap_once_verdict_kind_t verdict_of_record(record_t *r, ap_once_verdict_t *v)
{
	/* Only the issuer knows whether the call of a begun permit is still in progress. */
	if (r->state == RECORD_RUNNING)
		return once_verdict(v, AP_ONCE_UNKNOWN,
				    "the permit's call began; its outcome is not known");
	if (r->outcome == AP_OUTCOME_NOT_RUN)
		r->reported_not_run = true;
	return once_verdict_of(r, v);
}

static ap_once_verdict_kind_t close_unbegun(ap_once_t *o, const ap_permit_t *permit,
					    ap_once_verdict_t *v)
{
	const issuer_t *issuer = find_issuer(o, permit->xid.inc);
	record_t *r;

	if (!issuer)
		return once_verdict(v, AP_ONCE_UNKNOWN, "the permit's issuer is not known");
	if (!ap_permit_genuine(permit, issuer->key))
		return once_verdict(v, AP_ONCE_REFUSED, "the permit is not genuine");
	r = table_add(&o->witnessed, permit->xid, permit->witness_expires + o->config.limits.keep);
	if (!r)
		return once_verdict(v, AP_ONCE_UNKNOWN,
				    "the witness has no room for the permit's record");
	memcpy(r->tag, permit->tag, sizeof(r->tag));
	r->state = RECORD_FINISHED;
	r->outcome = AP_OUTCOME_NOT_RUN;
	r->reported_not_run = true;
	o->counts.closed_as_witness++;
	ap_emit(&o->config.env, o->now, "once.close", r->xid, "issuer=%s", permit->issuer);
	return once_verdict_of(r, v);
}

ap_once_verdict_kind_t witness_resolve(ap_once_t *o, const ap_permit_t *permit,
				       ap_once_verdict_t *v)
{
	record_t *r = once_find(o, &o->witnessed, permit->xid);

	if (r && memcmp(r->tag, permit->tag, sizeof(r->tag)) != 0)
		return once_verdict(v, AP_ONCE_REFUSED, "the permit is not genuine");
	if (r)
		return verdict_of_record(r, v);
	if (o->now >= permit->witness_expires + o->config.limits.keep)
		return once_verdict(
			v, AP_ONCE_UNKNOWN,
			"the permit expired long ago; its record may have been deleted");
	/*
	 * The record of a begun permit is kept until now reaches witness_expires + keep. Without a
	 * record the permit has not begun, and after its expiry, or once the witness drains, it
	 * cannot begin.
	 */
	if (o->now > permit->witness_expires || o->draining)
		return once_verdict(v, AP_ONCE_NOT_RUN,
				    "the permit did not begin and cannot begin any more");
	return close_unbegun(o, permit, v);
}
