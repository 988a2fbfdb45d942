/*
 * How records spread: new ones by gossip in each tick, missed ones by comparing digests from time
 * to time.
 */
#include "member/private.h"
#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define FANOUT 2 /* members that get the new records in each tick */
#define SYNC_PERIOD (5 * AP_SEC)
#define REGION_SYNC_PERIOD (2 * AP_SEC)
#define JOIN_PERIOD AP_SEC /* time between two attempts to join */
#define JOIN_FANOUT 3
#define DELEGATES 2	 /* members of a region that sync with remote regions */
#define REPLY_RECORDS 64 /* records in one message that answers digests */

void member_send(ap_member_t *m, const char *to, const ap_member_message_t *msg)
{
	ap_wire_out_t out;

	ap_wire_out_begin(&out, AP_WIRE_MEMBER, m->cfg.self.inc, ++m->seq);
	ap_wire_pack_member(&out.pk, msg);
	ap_wire_out_send(&out, &m->cfg.peer, to);
	ap_wire_out_end(&out);
}

static ap_region_heard_t *find_or_add_region(ap_member_t *m, uint64_t hash)
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

static void note_region_heard(ap_member_t *m, uint64_t hash, ap_usec_t at)
{
	ap_region_heard_t *heard = find_or_add_region(m, hash);

	if (heard && heard->at < at)
		heard->at = at;
}

/* Computes a digest of the live records of each region; their order does not matter. */
static size_t region_digests(ap_member_t *m, ap_digest_t *out, ap_usec_t now)
{
	size_t n = 0;
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		size_t i = 0;
		uint64_t pair[2] = {node->id_hash, record_digest(&node->rec)};

		if (!node_live(node))
			continue;
		while (i < n && out[i].hash != node->region_hash)
			i++;
		if (i == REGIONS_MAX)
			continue;
		if (i == n)
			out[n++] = (ap_digest_t){.hash = node->region_hash};
		out[i].digest ^= (uint32_t)ap_hash(pair, sizeof(pair), 0);
	}
	for (size_t i = 0; i < n; i++) {
		ap_usec_t at = member_region_heard(m, out[i].hash);

		if (out[i].hash == m->self->region_hash)
			at = now;
		out[i].age_ms = at < 0 ? UINT32_MAX : (uint64_t)((now - at) / AP_MSEC);
	}
	return n;
}

void member_sync_with(ap_member_t *m, const char *to, ap_member_type_t type, ap_usec_t now)
{
	ap_digest_t digests[REGIONS_MAX];
	ap_member_message_t msg = {.type = type, .digests = digests};

	msg.n_digests = region_digests(m, digests, now);
	/* An instance that has not joined, or whose record changed lately, adds its own record, so
	 * that the receiver can spread it. */
	if (m->self->sends_left > 0 || !m->joined) {
		msg.records = &m->self->rec;
		msg.n_records = 1;
	}
	member_send(m, to, &msg);
}

static void send_digests(ap_member_t *m, const char *to, uint64_t region, ap_member_type_t type)
{
	ap_member_message_t msg = {.type = type, .token = region};
	ap_digest_t *digests = calloc(HASH_COUNT(m->nodes) + 1, sizeof(*digests));
	ap_node_t *node;

	if (!digests)
		abort();
	for (node = m->nodes; node; node = node->hh.next) {
		if (node->region_hash == region && node_live(node))
			digests[msg.n_digests++] =
				(ap_digest_t){node->id_hash, record_digest(&node->rec), 0};
	}
	msg.digests = digests;
	member_send(m, to, &msg);
	free(digests);
}

void member_receive_sync(ap_member_t *m, const char *from, const ap_member_message_t *msg,
			 ap_usec_t now)
{
	ap_digest_t own[REGIONS_MAX];
	size_t n_own = region_digests(m, own, now);

	for (size_t i = 0; i < msg->n_digests; i++) {
		const ap_digest_t *theirs = &msg->digests[i];
		size_t at = 0;

		if (theirs->age_ms < UINT32_MAX)
			note_region_heard(m, theirs->hash,
					  now - (ap_usec_t)theirs->age_ms * AP_MSEC);
		/*
		 * Only the receiver of a sync sends digests of its records; if both sides did,
		 * each record would be sent twice.
		 */
		if (msg->type != AP_MEMBER_SYNC)
			continue;
		while (at < n_own && own[at].hash != theirs->hash)
			at++;
		if (at == n_own || own[at].digest != theirs->digest)
			send_digests(m, from, theirs->hash, AP_MEMBER_DIGESTS);
	}
	if (msg->type != AP_MEMBER_SYNC)
		return;
	/* Regions that only this instance knows. */
	for (size_t i = 0; i < n_own; i++) {
		size_t at = 0;

		while (at < msg->n_digests && msg->digests[at].hash != own[i].hash)
			at++;
		if (at == msg->n_digests)
			send_digests(m, from, own[i].hash, AP_MEMBER_DIGESTS);
	}
	member_sync_with(m, from, AP_MEMBER_SYNC_REPLY, now);
}

static const ap_digest_t *find_digest(const ap_member_message_t *msg, uint64_t id_hash)
{
	for (size_t i = 0; i < msg->n_digests; i++) {
		if (msg->digests[i].hash == id_hash)
			return &msg->digests[i];
	}
	return NULL;
}

/*
 * Sends the records that @from lacks or has with another digest. A death is sent only if @from
 * holds the member as live.
 */
void member_receive_digests(ap_member_t *m, const char *from, const ap_member_message_t *msg,
			    ap_usec_t now)
{
	ap_record_t *records = calloc(HASH_COUNT(m->nodes) + 1, sizeof(*records));
	ap_member_message_t response = {.type = AP_MEMBER_RECORDS, .records = records};
	ap_node_t *node;

	(void)now;
	if (!records)
		abort();
	for (node = m->nodes; node; node = node->hh.next) {
		const ap_digest_t *theirs;

		if (node->region_hash != msg->token || node->rec.state == AP_MEMBER_LISTED)
			continue;
		theirs = find_digest(msg, node->id_hash);
		if (theirs ? theirs->digest == record_digest(&node->rec) : !node_live(node))
			continue;
		records[response.n_records++] = node->rec;
	}
	for (size_t at = 0; at < response.n_records; at += REPLY_RECORDS) {
		ap_member_message_t part = response;

		part.records = records + at;
		part.n_records = response.n_records - at;
		if (part.n_records > REPLY_RECORDS)
			part.n_records = REPLY_RECORDS;
		member_send(m, from, &part);
	}
	if (msg->type == AP_MEMBER_DIGESTS)
		send_digests(m, from, msg->token, AP_MEMBER_DIGESTS_REPLY);
	free(records);
}

static void collect_updates(ap_member_t *m, ap_record_t *records, ap_suspicion_t *suspicions,
			    ap_member_message_t *msg)
{
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		if (node->sends_left > 0 && msg->n_records < RECORDS_PER_MESSAGE) {
			records[msg->n_records++] = node->rec;
			node->sends_left--;
		}
		if (node->suspicion_sends_left == 0 ||
		    msg->n_suspicions + node->n_suspected_by > RECORDS_PER_MESSAGE)
			continue;
		node->suspicion_sends_left--;
		for (size_t i = 0; i < node->n_suspected_by; i++) {
			ap_suspicion_t *suspicion = &suspicions[msg->n_suspicions++];

			ap_copy_name(suspicion->id, sizeof(suspicion->id), node->rec.entry.id);
			suspicion->inc = node->rec.entry.inc;
			suspicion->version = node->rec.version;
			ap_copy_name(suspicion->by, sizeof(suspicion->by), node->suspected_by[i]);
		}
	}
}

static void send_updates(ap_member_t *m)
{
	ap_record_t records[RECORDS_PER_MESSAGE];
	ap_suspicion_t suspicions[RECORDS_PER_MESSAGE];
	ap_member_message_t msg = {
		.type = AP_MEMBER_RECORDS, .records = records, .suspicions = suspicions};
	ap_node_t *peers[FANOUT];
	size_t n;

	collect_updates(m, records, suspicions, &msg);
	if (msg.n_records + msg.n_suspicions == 0)
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

static bool is_listed_peer(const ap_member_t *m, const ap_node_t *node)
{
	(void)m;
	return node->own_region && node->rec.state == AP_MEMBER_LISTED;
}

static bool is_join_candidate(const ap_member_t *m, const ap_node_t *node)
{
	(void)m;
	return !node->own_region || node->rec.state == AP_MEMBER_LISTED;
}

static void join(ap_member_t *m, ap_usec_t now)
{
	ap_node_t *peers[JOIN_FANOUT];
	size_t n = member_pick(m, is_listed_peer, peers, JOIN_FANOUT);

	if (n == 0)
		n = member_pick(m, is_join_candidate, peers, JOIN_FANOUT);
	for (size_t i = 0; i < n; i++)
		member_sync_with(m, peers[i]->rec.entry.id, AP_MEMBER_SYNC, now);
}

/* Is this instance one of those that sync with remote regions? */
static bool is_delegate(ap_member_t *m)
{
	size_t better = 0;
	double own = ap_rendezvous(m->self->region_hash, m->self->id_hash, 1.0);
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		if (is_live_peer(m, node) && node->n_suspected_by == 0 &&
		    ap_rendezvous(node->region_hash, node->id_hash, 1.0) > own)
			better++;
	}
	return better < DELEGATES;
}

/*
 * Syncs with a member of the remote region whose turn it is: a random live one, or a random one if
 * no live one is known. It is random because what is known of a region may be old. Regions take
 * turns, so that after a disconnection the missing records are not sent to all regions at once.
 *
 * Return: how many remote regions there are.
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
	/* A process that was paused skips the syncs that fell due meanwhile. */
	if (m->next_region_sync < now)
		m->next_region_sync = now;
}

void member_gossip_tick(ap_member_t *m, ap_usec_t now)
{
	ap_node_t *peer;

	if (m->superseded)
		return;
	if (m->self->rec.state != AP_MEMBER_DEAD)
		send_updates(m);
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
