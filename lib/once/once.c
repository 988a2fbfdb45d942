/* State of struct ap_once, the other instances it knows, and the dispatch of received messages. */
#include "once/state.h"

#include <stdlib.h>
#include <string.h>

const ap_once_limits_t ap_once_default_limits = {
	.ttl = 60 * AP_SEC,
	.keep = 600 * AP_SEC,
	.begin_ack_wait = 250 * AP_MSEC,
	.query_wait = 200 * AP_MSEC,
	.probe_every = AP_SEC,
	.handover_wait = 3 * AP_SEC,
	.records_max = 16384,
	.responses_max = 4096,
	.responses_bytes_max = 16 << 20,
	.response_bytes_max = 64 << 10,
	.queries_max = 1024,
};

ap_once_t *ap_once_new(const ap_once_config_t *config, ap_usec_t now)
{
	ap_once_t *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	o->config = *config;
	o->now = now;
	o->probe_at = now;
	quota_init(&o->quota, config->limits.ttl, now);
	response_store_init(&o->responses, &o->config.limits);
	table_init(&o->issued, config->limits.records_max, &o->responses);
	table_init(&o->witnessed, config->limits.records_max, &o->responses);
	TAILQ_INIT(&o->waiting);
	TAILQ_INIT(&o->issuers_by_drop_at);
	TAILQ_INIT(&o->permit_queries);
	TAILQ_INIT(&o->record_sets);
	return o;
}

void ap_once_free(ap_once_t *o)
{
	if (!o)
		return;
	HASH_CLEAR(hh_token, o->by_token);
	table_clear(&o->issued);
	table_clear(&o->witnessed);
	quota_clear(&o->quota);
	permit_query_free(o);
	handover_free(o);
	witness_forget_issuers(o, AP_NEVER);
	free(o->witness_candidates);
	free(o->peers);
	free(o);
}

void once_set_now(ap_once_t *o, ap_usec_t now)
{
	if (now > o->now)
		o->now = now;
}

static int compare_ids(const void *a, const void *b)
{
	return strcmp(((const peer_t *)a)->id, ((const peer_t *)b)->id);
}

/*
 * Sorts the best witness first. make_peer() ranks other data centres above the own one, so that the
 * loss of one data centre does not take both the issuer and the witness.
 */
static int compare_candidates(const void *a, const void *b)
{
	const peer_t *x = *(peer_t *const *)a;
	const peer_t *y = *(peer_t *const *)b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->id, y->id);
}

static peer_t make_peer(const ap_once_t *o, const ap_entry_t *entry)
{
	const double other_data_centre = 1e6; /* far above usual rendezvous scores */
	uint64_t own = ap_hash(&o->config.inc, sizeof(o->config.inc), 0);
	peer_t peer = {.inc = entry->inc, .draining = entry->draining};
	const peer_t *old = once_peer(o, entry->id);

	ap_copy_name(peer.id, sizeof(peer.id), entry->id);
	ap_copy_name(peer.region, sizeof(peer.region), entry->region);
	ap_copy_name(peer.data_centre, sizeof(peer.data_centre), entry->data_centre);
	peer.score = ap_rendezvous(own, ap_hash_str(entry->id, 0), 1);
	if (strcmp(entry->data_centre, o->config.data_centre) != 0)
		peer.score += other_data_centre;
	if (old && ap_id_eq(old->inc, entry->inc)) {
		peer.probes_lost = old->probes_lost;
		peer.heard_inc = old->heard_inc;
		peer.heard_at = old->heard_at;
		peer.heard_clock = old->heard_clock;
	}
	return peer;
}

static void choose_candidates(ap_once_t *o)
{
	o->n_witness_candidates = 0;
	for (size_t i = 0; i < o->n_peers; i++) {
		peer_t *peer = &o->peers[i];

		if (once_in_region(o, peer) && !peer->draining)
			o->witness_candidates[o->n_witness_candidates++] = peer;
	}
	qsort(o->witness_candidates, o->n_witness_candidates, sizeof(peer_t *), compare_candidates);
}

void ap_once_set_entries(ap_once_t *o, const ap_entry_t *entries, size_t n, ap_usec_t now)
{
	peer_t *peers = calloc(n + 1, sizeof(*peers));
	peer_t **witness_candidates = calloc(n + 1, sizeof(peer_t *));
	size_t kept = 0;
	bool had_no_candidates;

	once_set_now(o, now);
	if (!peers || !witness_candidates) {
		free(peers);
		free(witness_candidates);
		return;
	}
	for (size_t i = 0; i < n; i++) {
		if (strcmp(entries[i].id, o->config.id) != 0)
			peers[kept++] = make_peer(o, &entries[i]);
	}
	qsort(peers, kept, sizeof(*peers), compare_ids);
	free(o->peers);
	free(o->witness_candidates);
	o->peers = peers;
	o->n_peers = kept;
	o->witness_candidates = witness_candidates;
	had_no_candidates = o->n_witness_candidates == 0;
	choose_candidates(o);
	if (had_no_candidates)
		o->probe_at = o->now;
	if (had_no_candidates && o->n_witness_candidates > 0)
		o->unanswered_rounds = 0;
}

void ap_once_expect_peers(ap_once_t *o, bool peers_expected)
{
	o->peers_expected = peers_expected;
}

peer_t *once_peer(const ap_once_t *o, const char *id)
{
	size_t low = 0;
	size_t high = o->n_peers;

	while (low < high) {
		size_t mid = (low + high) / 2;
		int order = strcmp(id, o->peers[mid].id);

		if (order == 0)
			return &o->peers[mid];
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return NULL;
}

bool once_in_region(const ap_once_t *o, const peer_t *peer)
{
	return peer && strcmp(peer->region, o->config.region) == 0;
}

void once_send(ap_once_t *o, const char *to, ap_once_msg_t *msg)
{
	const peer_t *peer = once_peer(o, to);

	if (!peer)
		return;
	if (!ap_require(&o->config.env, once_in_region(o, peer), AP_INV_RESIDENCY,
			"a permit's message is addressed to another region"))
		return;
	msg->from = o->config.inc;
	o->counts.messages++;
	o->config.send(o->config.ctx, to, msg);
}

bool ap_once_in_region(const ap_once_t *o, const char *id)
{
	return once_in_region(o, once_peer(o, id));
}

bool ap_once_send_to(ap_once_t *o, ap_id_t to, const ap_once_msg_t *msg)
{
	ap_once_msg_t copy = *msg;

	for (size_t i = 0; i < o->n_peers; i++) {
		if (!once_in_region(o, &o->peers[i]) || !ap_id_eq(o->peers[i].inc, to))
			continue;
		once_send(o, o->peers[i].id, &copy);
		return true;
	}
	return false;
}

ap_once_verdict_kind_t once_verdict(ap_once_verdict_t *v, ap_once_verdict_kind_t kind,
				    const char *why)
{
	*v = (ap_once_verdict_t){.kind = kind, .why = why, .outcome = AP_OUTCOME_UNKNOWN};
	if (kind == AP_ONCE_NOT_RUN)
		v->outcome = AP_OUTCOME_NOT_RUN;
	return kind;
}

ap_once_verdict_kind_t once_verdict_of(const record_t *r, ap_once_verdict_t *v)
{
	if (r->state != RECORD_FINISHED)
		return once_verdict(v, AP_ONCE_RUNNING, "the permit's call is in progress");
	if (r->outcome == AP_OUTCOME_NOT_RUN)
		return once_verdict(v, AP_ONCE_NOT_RUN, "the permit was closed before it ran");
	if (r->outcome == AP_OUTCOME_UNKNOWN)
		return once_verdict(v, AP_ONCE_UNKNOWN, "the permit's call has no known outcome");
	once_verdict(v, AP_ONCE_USED, "the permit's call was completed");
	v->outcome = r->outcome;
	v->response = r->response;
	v->len = r->len;
	return v->kind;
}

record_t *once_find(const ap_once_t *o, const table_t *t, ap_xid_t xid)
{
	record_t *r = table_find(t, xid);

	if (!r && o->own_record_set)
		r = table_find(&o->own_record_set->table, xid);
	return r;
}

void once_decide(ap_once_t *o, uint64_t token, const ap_once_verdict_t *v)
{
	switch (v->kind) {
	case AP_ONCE_NOT_RUN:
		o->counts.not_run++;
		break;
	case AP_ONCE_UNKNOWN:
		o->counts.unknown++;
		break;
	case AP_ONCE_USED:
	case AP_ONCE_RUNNING:
		o->counts.used_again++;
		break;
	case AP_ONCE_REFUSED:
		o->counts.refused++;
		break;
	default:
		break;
	}
	if (token != 0)
		o->config.decided(o->config.ctx, token, v);
}

ap_once_verdict_kind_t once_resolve_local(ap_once_t *o, const ap_permit_t *permit,
					  ap_once_verdict_t *v)
{
	if (ap_id_eq(permit->xid.inc, o->config.inc))
		return issuer_resolve(o, permit, v);
	once_verdict(v, AP_ONCE_UNKNOWN, "this entry has no record that decides about the permit");
	if (ap_id_eq(permit->witness_inc, o->config.inc))
		witness_resolve(o, permit, v);
	if (v->kind != AP_ONCE_UNKNOWN)
		return v->kind;
	return handover_resolve(o, permit, v);
}

void ap_once_receive(ap_once_t *o, const char *from, const ap_once_msg_t *msg, ap_usec_t now)
{
	once_set_now(o, now);
	if (!once_in_region(o, once_peer(o, from)))
		return;
	switch (msg->kind) {
	case AP_ONCE_MSG_PROBE:
		witness_probe(o, from, msg);
		break;
	case AP_ONCE_MSG_PROBE_ACK:
		witness_probe_ack(o, from, msg);
		break;
	case AP_ONCE_MSG_BEGIN:
		witness_begin(o, from, msg);
		break;
	case AP_ONCE_MSG_BEGIN_ACK:
		issuer_begin_ack(o, msg);
		break;
	case AP_ONCE_MSG_BEGIN_DENIED:
		issuer_begin_denied(o, msg);
		break;
	case AP_ONCE_MSG_DONE:
		witness_done(o, msg);
		break;
	case AP_ONCE_MSG_QUERY:
		permit_query_receive(o, from, msg);
		break;
	case AP_ONCE_MSG_QUERY_RESPONSE:
		permit_query_receive_response(o, from, msg);
		break;
	case AP_ONCE_MSG_HANDOVER:
		handover_receive(o, from, msg);
		break;
	case AP_ONCE_MSG_HANDOVER_ACK:
		handover_receive_ack(o, from, msg);
		break;
	case AP_ONCE_MSG_CLAIM_QUERY:
	case AP_ONCE_MSG_CLAIM_RESPONSE:
		break; /* for ap_claims_receive() */
	}
}

void ap_once_tick(ap_once_t *o, ap_usec_t now)
{
	once_set_now(o, now);
	issuer_tick(o);
	witness_tick(o);
	permit_query_tick(o);
	handover_tick(o);
	ap_require(&o->config.env, o->issued.n <= o->issued.max, AP_INV_BOUNDS,
		   "the table of issued permits is over its bound");
	ap_require(&o->config.env, o->witnessed.n <= o->witnessed.max, AP_INV_BOUNDS,
		   "the table of witnessed permits is over its bound");
	ap_require(&o->config.env, o->responses.bytes <= o->config.limits.responses_bytes_max,
		   AP_INV_BOUNDS, "the stored responses are over their bound");
}

static ap_usec_t earlier(ap_usec_t a, ap_usec_t b)
{
	return a < b ? a : b;
}

ap_usec_t ap_once_due(const ap_once_t *o)
{
	ap_usec_t due = o->probe_at;
	const record_t *r;
	const permit_query_t *q;

	TAILQ_FOREACH (r, &o->waiting, by_wait)
		due = earlier(due, earlier(r->resend_at, r->give_up_at));
	TAILQ_FOREACH (q, &o->permit_queries, link)
		due = earlier(due, earlier(q->resend_at, q->give_up_at));
	if (o->draining && !o->handover.done)
		due = earlier(due, o->handover.resend_at);
	return due;
}

ap_once_counts_t ap_once_counts(const ap_once_t *o)
{
	ap_once_counts_t counts = o->counts;

	counts.issued_records = o->issued.n;
	counts.witnessed_records = o->witnessed.n;
	counts.responses = o->responses.n;
	counts.response_bytes = o->responses.bytes;
	return counts;
}
