/*
 * Failure detection within a region. Members form a ring by the hash of their ids; each pings the
 * next few. A member whose neighbour does not acknowledge asks others to ping the neighbour, then
 * suspects it. A suspect is declared dead when two members suspect it, or one if no other member is
 * left that could, and when the suspect did not refute in time.
 */
#include "member/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PING_PERIOD AP_SEC
#define NOT_LIVE_PING_PERIOD (5 * AP_SEC) /* of one random peer that is dead or only listed */
#define PING_HELPERS 3			  /* members asked to ping a silent neighbour */
#define MISSED_FOR_SUSPICION 2		  /* ping periods without an acknowledgement */
#define SUSPICIONS_NEEDED 2	       /* members that must suspect a member to declare it dead */
#define REFUTE_TIME (3 * AP_SEC)       /* from the first suspicion */
#define SUSPICION_EXPIRY (15 * AP_SEC) /* a suspicion that was not confirmed ends */
#define SUSPICION_SENDS 3	       /* gossip rounds that carry a new suspicion */
#define PINGED_MAX 16		       /* neighbours, and suspects between them */

void node_clear_suspicion(ap_node_t *node)
{
	node->n_suspected_by = 0;
	node->suspicion_sends_left = 0;
	node->suspect_at = 0;
}

static bool add_suspected_by(ap_node_t *node, const char *by)
{
	for (size_t i = 0; i < node->n_suspected_by; i++) {
		if (strcmp(node->suspected_by[i], by) == 0)
			return false;
	}
	if (node->n_suspected_by == SUSPECTED_BY_MAX)
		return false;
	ap_copy_name(node->suspected_by[node->n_suspected_by++], AP_NAME_MAX, by);
	return true;
}

static void suspect(ap_member_t *m, ap_node_t *node, const char *by, ap_usec_t now)
{
	if (!node_live(node) || !add_suspected_by(node, by))
		return;
	if (node->n_suspected_by == 1) {
		node->suspect_at = now;
		m->dirty = true;
	}
	node->suspicion_sends_left = SUSPICION_SENDS;
	ap_emit(&m->cfg.env, now, "member.suspect", (ap_xid_t){.seq = 0}, "id=%s by=%s",
		node->rec.entry.id, by);
}

/* Tells a suspect at once that this instance suspects it, so that it can refute. */
static void notify_suspect(ap_member_t *m, const ap_node_t *node)
{
	ap_suspicion_t suspicion = {.inc = node->rec.entry.inc, .version = node->rec.version};
	ap_member_message_t msg = {
		.type = AP_MEMBER_RECORDS, .suspicions = &suspicion, .n_suspicions = 1};

	ap_copy_name(suspicion.id, sizeof(suspicion.id), node->rec.entry.id);
	ap_copy_name(suspicion.by, sizeof(suspicion.by), m->cfg.self.id);
	member_send(m, node->rec.entry.id, &msg);
}

static void raise_suspicion(ap_member_t *m, ap_node_t *node, ap_usec_t now)
{
	size_t before = node->n_suspected_by;

	suspect(m, node, m->cfg.self.id, now);
	if (node->n_suspected_by == before)
		return;
	m->stats.suspicions++;
	notify_suspect(m, node);
}

void member_receive_suspicion(ap_member_t *m, const ap_suspicion_t *suspicion, ap_usec_t now)
{
	ap_node_t *node = member_find(m, suspicion->id);

	if (!node || !ap_id_eq(node->rec.entry.inc, suspicion->inc) ||
	    node->rec.version != suspicion->version)
		return;
	if (node == m->self) {
		if (m->self->rec.state != AP_MEMBER_DEAD) {
			m->stats.refuted++;
			member_reannounce(m, suspicion->version, now);
		}
		return;
	}
	suspect(m, node, suspicion->by, now);
	if (node->missed >= 1)
		raise_suspicion(m, node, now);
}

void member_ping(ap_member_t *m, ap_node_t *node, ap_usec_t now)
{
	ap_member_message_t msg = {.type = AP_MEMBER_PING, .token = m->seq + 1};

	if (node_live(node) && node->pinged_at == 0)
		node->pinged_at = now;
	/* A dead or suspected member gets its record as known here, so that it can refute. */
	if (node->rec.state == AP_MEMBER_DEAD || node->n_suspected_by > 0) {
		msg.records = &node->rec;
		msg.n_records = 1;
	}
	member_send(m, node->rec.entry.id, &msg);
}

static bool is_ping_helper(const ap_member_t *m, const ap_node_t *node)
{
	return is_live_peer(m, node) && node->missed == 0 && node->n_suspected_by == 0;
}

static void request_pings(ap_member_t *m, const ap_node_t *node)
{
	ap_node_t *helpers[PING_HELPERS];
	size_t n = member_pick(m, is_ping_helper, helpers, PING_HELPERS);
	ap_member_message_t msg = {.type = AP_MEMBER_PING_REQUEST, .token = m->seq + 1};

	ap_copy_name(msg.target_id, sizeof(msg.target_id), node->rec.entry.id);
	for (size_t i = 0; i < n; i++) {
		if (helpers[i] != node)
			member_send(m, helpers[i]->rec.entry.id, &msg);
	}
}

void member_receive_ping_request(ap_member_t *m, const char *from, const ap_member_message_t *msg,
				 ap_usec_t now)
{
	ap_node_t *node = member_find(m, msg->target_id);

	if (!node || node == m->self)
		return;
	node->relay_token = msg->token;
	ap_copy_name(node->relay_to, sizeof(node->relay_to), from);
	member_ping(m, node, now);
}

void member_receive_ack(ap_member_t *m, const char *from, ap_id_t inc)
{
	ap_node_t *node = member_find(m, from);

	if (!node || !ap_id_eq(node->rec.entry.inc, inc))
		return;
	node->missed = 0;
	node->pinged_at = 0;
	if (node->relay_token) {
		ap_member_message_t msg = {.type = AP_MEMBER_ACK, .token = node->relay_token};

		/* The requester gets the target's id, and its record with the incarnation. */
		ap_copy_name(msg.target_id, sizeof(msg.target_id), from);
		msg.records = &node->rec;
		msg.n_records = 1;
		member_send(m, node->relay_to, &msg);
		node->relay_token = 0;
	}
}

typedef struct ring_slot {
	ap_node_t *node;
} ring_slot_t;

static int by_ring(const void *a, const void *b)
{
	const ap_node_t *x = ((const ring_slot_t *)a)->node;
	const ap_node_t *y = ((const ring_slot_t *)b)->node;

	if (x->id_hash == y->id_hash)
		return 0;
	return x->id_hash < y->id_hash ? -1 : 1;
}

/*
 * The members to ping: the next NEIGHBOURS on the ring that are not suspected, and the suspects
 * between them, so that the members after a suspect are watched before it is declared dead.
 */
static size_t neighbours(ap_member_t *m, ap_node_t **out)
{
	size_t n = 0, kept = 0, unsuspected = 0, at = 0;
	ring_slot_t *ring = calloc(HASH_COUNT(m->nodes) + 1, sizeof(*ring));
	ap_node_t *node;

	if (!ring)
		abort();
	for (node = m->nodes; node; node = node->hh.next) {
		if (node->own_region && (node_live(node) || node == m->self))
			ring[n++].node = node;
	}
	qsort(ring, n, sizeof(*ring), by_ring);
	while (ring[at].node != m->self)
		at++;
	for (size_t i = 1; i < n && unsuspected < NEIGHBOURS && kept < PINGED_MAX; i++) {
		out[kept] = ring[(at + i) % n].node;
		unsuspected += out[kept]->n_suspected_by == 0;
		kept++;
	}
	free(ring);
	return kept;
}

static void check_ping_timeout(ap_member_t *m, ap_node_t *node, ap_usec_t now)
{
	if (!node->watched && node->missed > 0 && now >= node->missed_until)
		node->missed = 0;
	if (node->pinged_at == 0 || now - node->pinged_at < PING_PERIOD)
		return;
	if (!node->watched) {
		/* Pinged on request of another member: suspected only if somebody else does too. */
		node->pinged_at = 0;
		node->missed = 1;
		node->missed_until = now + SUSPICION_EXPIRY;
		if (node->n_suspected_by > 0)
			raise_suspicion(m, node, now);
		return;
	}
	node->missed++;
	node->pinged_at = now;
	if (node->missed == 1)
		request_pings(m, node);
	if (node->missed >= MISSED_FOR_SUSPICION || node->n_suspected_by > 0)
		raise_suspicion(m, node, now);
}

/*
 * Others declared the known version dead. Two placeholders, which the event member.suspect also
 * shows as by=, stand for the ids of the members that suspect it, so it is declared dead here too
 * unless it refutes within REFUTE_TIME.
 */
void member_death_received(ap_member_t *m, ap_node_t *node, ap_usec_t now)
{
	suspect(m, node, "others", now);
	suspect(m, node, "others too", now);
	node->suspicion_sends_left = 0;
}

/* Members of the region that could suspect another one: unsuspected ones and this instance. */
static size_t count_voters(const ap_member_t *m)
{
	size_t voters = 1;
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		if (node != m->self && is_live_peer(m, node) && node->n_suspected_by == 0)
			voters++;
	}
	return voters;
}

static void check_suspicion(ap_member_t *m, ap_node_t *node, size_t voters, ap_usec_t now)
{
	size_t needed = voters < SUSPICIONS_NEEDED ? voters : SUSPICIONS_NEEDED;
	ap_record_t dead;

	if (node->n_suspected_by == 0 || !node_live(node))
		return;
	if (node->n_suspected_by >= needed && now - node->suspect_at >= REFUTE_TIME) {
		dead = node->rec;
		dead.state = AP_MEMBER_DEAD;
		member_apply_record(m, node, &dead, now);
		/* With no other voter the fault may lie here, so the death is not announced. */
		if (voters < SUSPICIONS_NEEDED)
			node->sends_left = 0;
		return;
	}
	if (now - node->suspect_at >= SUSPICION_EXPIRY) {
		node_clear_suspicion(node);
		m->dirty = true;
	}
}

static bool is_not_live_peer(const ap_member_t *m, const ap_node_t *node)
{
	(void)m;
	return node->own_region && !node_live(node);
}

void member_probe_reset(ap_member_t *m)
{
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		node->pinged_at = 0;
		node->missed = 0;
		node->relay_token = 0;
		if (node->n_suspected_by > 0)
			node_clear_suspicion(node);
	}
}

static void watch(ap_member_t *m, ap_node_t *node, ap_usec_t now)
{
	node->watched = true;
	member_ping(m, node, now);
}

void member_probe_tick(ap_member_t *m, ap_usec_t now)
{
	ap_node_t *targets[PINGED_MAX];
	ap_node_t *node;
	size_t n, voters;

	for (node = m->nodes; node; node = node->hh.next) {
		if (node_live(node) && node->own_region && node != m->self)
			check_ping_timeout(m, node, now);
	}
	voters = count_voters(m);
	for (node = m->nodes; node; node = node->hh.next)
		check_suspicion(m, node, voters, now);
	if (now >= m->next_ping) {
		m->next_ping = now + PING_PERIOD;
		n = neighbours(m, targets);
		for (node = m->nodes; node; node = node->hh.next)
			node->watched = false;
		for (size_t i = 0; i < n; i++)
			watch(m, targets[i], now);
	}
	if (now >= m->next_not_live_ping) {
		m->next_not_live_ping = now + NOT_LIVE_PING_PERIOD;
		if (member_pick(m, is_not_live_peer, targets, 1) == 1)
			member_ping(m, targets[0], now);
	}
}
