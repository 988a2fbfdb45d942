/* How records travel: passed on while new, compared by digests at leisure. */
#include "member/private.h"
#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define FANOUT 2 /* members told at each tick */
#define SYNC_PERIOD (5 * AP_SEC)
#define REGION_SYNC_PERIOD (2 * AP_SEC)
#define JOIN_PERIOD AP_SEC
#define JOIN_FANOUT 3
#define DELEGATES 2 /* members of a region that talk to the other regions */
#define REPLY_RECORDS 64

void member_send(ap_member_t *m, const char *to, const ap_member_message_t *msg)
{
	ap_wire_out_t out;

	ap_wire_out_begin(&out, AP_WIRE_MEMBER, m->cfg.self.inc, ++m->seq);
	ap_wire_pack_member(&out.pk, msg);
	ap_wire_out_send(&out, &m->cfg.peer, to);
	ap_wire_out_end(&out);
}

static ap_region_heard_t *region_heard(ap_member_t *m, uint64_t hash)
{
	for (size_t i = 0; i < m->n_heard; i++) {
		if (m->heard[i].hash == hash)
			return &m->heard[i];
	}
	if (m->n_heard == REGIONS_MAX)
		return NULL;
	m->heard[m->n_heard] = (ap_region_heard_t){.hash = hash, .at = -1};
	return &m->heard[m->n_heard++];
}

ap_usec_t member_region_heard(const ap_member_t *m, uint64_t region_hash)
{
	for (size_t i = 0; i < m->n_heard; i++) {
		if (m->heard[i].hash == region_hash)
			return m->heard[i].at;
	}
	return -1;
}

static void heard_region(ap_member_t *m, uint64_t hash, ap_usec_t at)
{
	ap_region_heard_t *heard = region_heard(m, hash);

	if (heard && heard->at < at)
		heard->at = at;
}

/* Order-free digest of the live records of each region. */
static size_t digests(ap_member_t *m, ap_digest_t *out, ap_usec_t now)
{
	size_t n = 0;
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		size_t i = 0;
		uint64_t pair[2] = {node->id_hash, record_digest(&node->rec)};

		if (!node_live(node))
			continue;
		while (i < n && out[i].a != node->region_hash)
			i++;
		if (i == REGIONS_MAX)
			continue;
		if (i == n)
			out[n++] = (ap_digest_t){.a = node->region_hash};
		out[i].b ^= (uint32_t)ap_hash(pair, sizeof(pair), 0);
	}
	for (size_t i = 0; i < n; i++) {
		ap_usec_t at = member_region_heard(m, out[i].a);

		if (out[i].a == m->self->region_hash)
			at = now;
		out[i].c = at < 0 ? UINT32_MAX : (uint64_t)((now - at) / AP_MSEC);
	}
	return n;
}

void member_sync_with(ap_member_t *m, const char *to, ap_member_type_t type, ap_usec_t now)
{
	ap_digest_t triples[REGIONS_MAX];
	ap_member_message_t msg = {.type = type, .triples = triples};

	msg.n_triples = digests(m, triples, now);
	/* While new it shows itself, so that the other one can tell the rest. */
	if (m->self->tells > 0 || !m->joined) {
		msg.records = &m->self->rec;
		msg.n_records = 1;
	}
	member_send(m, to, &msg);
}

static void send_keys(ap_member_t *m, const char *to, uint64_t region, ap_member_type_t type)
{
	ap_member_message_t msg = {.type = type, .token = region};
	ap_digest_t *triples = calloc(HASH_COUNT(m->nodes) + 1, sizeof(*triples));
	ap_node_t *node;

	if (!triples)
		abort();
	for (node = m->nodes; node; node = node->hh.next) {
		if (node->region_hash == region && node_live(node))
			triples[msg.n_triples++] =
				(ap_digest_t){node->id_hash, record_digest(&node->rec), 0};
	}
	msg.triples = triples;
	member_send(m, to, &msg);
	free(triples);
}

void member_receive_sync(ap_member_t *m, const char *from, const ap_member_message_t *msg,
			 ap_usec_t now)
{
	ap_digest_t own[REGIONS_MAX];
	size_t n_own = digests(m, own, now);

	for (size_t i = 0; i < msg->n_triples; i++) {
		const ap_digest_t *theirs = &msg->triples[i];
		size_t at = 0;

		if (theirs->c < UINT32_MAX)
			heard_region(m, theirs->a, now - (ap_usec_t)theirs->c * AP_MSEC);
		/* Who was asked names its keys; both doing so would tell each record twice. */
		if (msg->type != AP_MEMBER_SYNC)
			continue;
		while (at < n_own && own[at].a != theirs->a)
			at++;
		if (at == n_own || own[at].b != theirs->b)
			send_keys(m, from, theirs->a, AP_MEMBER_DIGESTS);
	}
	if (msg->type != AP_MEMBER_SYNC)
		return;
	/* Regions that only this side knows. */
	for (size_t i = 0; i < n_own; i++) {
		size_t at = 0;

		while (at < msg->n_triples && msg->triples[at].a != own[i].a)
			at++;
		if (at == msg->n_triples)
			send_keys(m, from, own[i].a, AP_MEMBER_DIGESTS);
	}
	member_sync_with(m, from, AP_MEMBER_SYNC_REPLY, now);
}

static const ap_digest_t *find_key(const ap_member_message_t *msg, uint64_t id_hash)
{
	for (size_t i = 0; i < msg->n_triples; i++) {
		if (msg->triples[i].a == id_hash)
			return &msg->triples[i];
	}
	return NULL;
}

/* Sends the records that the other side lacks or has otherwise; deaths only where it has a life. */
void member_receive_digests(ap_member_t *m, const char *from, const ap_member_message_t *msg,
			    ap_usec_t now)
{
	ap_record_t *records = calloc(HASH_COUNT(m->nodes) + 1, sizeof(*records));
	ap_member_message_t answer = {.type = AP_MEMBER_RECORDS, .records = records};
	ap_node_t *node;

	(void)now;
	if (!records)
		abort();
	for (node = m->nodes; node; node = node->hh.next) {
		const ap_digest_t *key;

		if (node->region_hash != msg->token || node->rec.state == AP_MEMBER_LISTED)
			continue;
		key = find_key(msg, node->id_hash);
		if (key ? key->b == record_digest(&node->rec) : !node_live(node))
			continue;
		records[answer.n_records++] = node->rec;
	}
	for (size_t at = 0; at < answer.n_records; at += REPLY_RECORDS) {
		ap_member_message_t part = answer;

		part.records = records + at;
		part.n_records = answer.n_records - at;
		if (part.n_records > REPLY_RECORDS)
			part.n_records = REPLY_RECORDS;
		member_send(m, from, &part);
	}
	if (msg->type == AP_MEMBER_DIGESTS)
		send_keys(m, from, msg->token, AP_MEMBER_DIGESTS_REPLY);
	free(records);
}

static void collect_news(ap_member_t *m, ap_record_t *records, ap_suspicion_t *rumours,
			 ap_member_message_t *msg)
{
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		if (node->tells > 0 && msg->n_records < RECORDS_PER_MESSAGE) {
			records[msg->n_records++] = node->rec;
			node->tells--;
		}
		if (node->rumour_tells == 0 ||
		    msg->n_rumours + node->n_witness > RECORDS_PER_MESSAGE)
			continue;
		node->rumour_tells--;
		for (size_t i = 0; i < node->n_witness; i++) {
			ap_suspicion_t *rumour = &rumours[msg->n_rumours++];

			ap_copy_name(rumour->id, sizeof(rumour->id), node->rec.entry.id);
			rumour->inc = node->rec.entry.inc;
			rumour->version = node->rec.version;
			ap_copy_name(rumour->by, sizeof(rumour->by), node->witness[i]);
		}
	}
}

static void pass_on(ap_member_t *m)
{
	ap_record_t records[RECORDS_PER_MESSAGE];
	ap_suspicion_t rumours[RECORDS_PER_MESSAGE];
	ap_member_message_t msg = {
		.type = AP_MEMBER_RECORDS, .records = records, .rumours = rumours};
	ap_node_t *peers[FANOUT];
	size_t n;

	collect_news(m, records, rumours, &msg);
	if (msg.n_records + msg.n_rumours == 0)
		return;
	n = member_pick(m, is_live_peer, peers, FANOUT);
	for (size_t i = 0; i < n; i++)
		member_send(m, peers[i]->rec.entry.id, &msg);
}

void member_announce_self(ap_member_t *m)
{
	ap_member_message_t msg = {
		.type = AP_MEMBER_RECORDS, .records = &m->self->rec, .n_records = 1};
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		if (node != m->self && is_live_peer(m, node))
			member_send(m, node->rec.entry.id, &msg);
	}
}

static bool pick_listed(const ap_member_t *m, const ap_node_t *node)
{
	(void)m;
	return node->own_region && node->rec.state == AP_MEMBER_LISTED;
}

static bool pick_any(const ap_member_t *m, const ap_node_t *node)
{
	(void)m;
	return !node->own_region || node->rec.state == AP_MEMBER_LISTED;
}

static void join(ap_member_t *m, ap_usec_t now)
{
	ap_node_t *peers[JOIN_FANOUT];
	size_t n = member_pick(m, pick_listed, peers, JOIN_FANOUT);

	if (n == 0)
		n = member_pick(m, pick_any, peers, JOIN_FANOUT);
	for (size_t i = 0; i < n; i++)
		member_sync_with(m, peers[i]->rec.entry.id, AP_MEMBER_SYNC, now);
}

/* Is this entry one of those that talk to other regions? */
static bool is_delegate(ap_member_t *m)
{
	size_t better = 0;
	double own = ap_rendezvous(m->self->region_hash, m->self->id_hash, 1.0);
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		if (is_live_peer(m, node) && node->n_witness == 0 &&
		    ap_rendezvous(node->region_hash, node->id_hash, 1.0) > own)
			better++;
	}
	return better < DELEGATES;
}

/*
 * One member of the other region whose turn it is gets the digests: of those alive if any is known,
 * else any one. Picked at random, since what is known of a region may be old. Regions take turns,
 * so that after a loss what they lack is not told to all of them at once.
 *
 * Return: how many other regions there are.
 */
static size_t sync_region(ap_member_t *m, ap_usec_t now)
{
	uint64_t hashes[REGIONS_MAX];
	ap_node_t *pick[REGIONS_MAX] = {NULL};
	size_t seen[REGIONS_MAX] = {0};
	bool live[REGIONS_MAX] = {false};
	size_t n = 0;
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		size_t i = 0;

		if (node->own_region)
			continue;
		while (i < n && hashes[i] != node->region_hash)
			i++;
		if (i == REGIONS_MAX)
			continue;
		if (i == n)
			hashes[n++] = node->region_hash;
		if (node_live(node) && !live[i]) {
			live[i] = true;
			seen[i] = 0;
		}
		if (node_live(node) != live[i])
			continue;
		if (ap_rng_below(&m->rng, ++seen[i]) == 0)
			pick[i] = node;
	}
	if (n == 0)
		return 0;
	member_sync_with(m, pick[m->region_turn++ % n]->rec.entry.id, AP_MEMBER_SYNC, now);
	return n;
}

static void sync_regions(ap_member_t *m, ap_usec_t now)
{
	size_t regions = is_delegate(m) ? sync_region(m, now) : 0;

	if (regions == 0)
		m->next_region_sync = now + REGION_SYNC_PERIOD;
	else
		m->next_region_sync += REGION_SYNC_PERIOD / (ap_usec_t)regions;
	/* A paused process doesn't make good what it left out. */
	if (m->next_region_sync < now)
		m->next_region_sync = now;
}

void member_gossip_tick(ap_member_t *m, ap_usec_t now)
{
	ap_node_t *peer;

	if (m->superseded)
		return;
	if (m->self->rec.state != AP_MEMBER_DEAD)
		pass_on(m);
	if (now >= m->next_sync) {
		m->next_sync = now + (m->joined ? SYNC_PERIOD : JOIN_PERIOD);
		if (m->joined && member_pick(m, is_live_peer, &peer, 1) == 1)
			member_sync_with(m, peer->rec.entry.id, AP_MEMBER_SYNC, now);
		else
			join(m, now);
	}
	if (now >= m->next_region_sync)
		sync_regions(m, now);
}
