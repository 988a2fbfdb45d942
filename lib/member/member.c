/* Public functions of membership. */
#include "member/member.h"
#include "member/private.h"
#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

/* A longer gap between two ticks means that the process was paused. */
#define PAUSE_MIN (3 * AP_SEC)
#define REACHABLE_TIME (90 * AP_SEC) /* a region with older news counts as unreachable */
/* For this long after a state began, the list may still describe the previous incarnation. */
#define LIST_LAG (60 * AP_SEC)
/*
 * Processes that start together spread their first pings, syncs with regions and pings of members
 * that are not live over 1, 2 and 5 times this, one period of each.
 */
#define START_JITTER AP_SEC

const char *ap_member_state_name(ap_member_state_t state)
{
	static const char *const names[] = {"listed", "alive", "suspect", "leaving", "dead"};

	return state <= AP_MEMBER_DEAD ? names[state] : "none";
}

ap_member_t *ap_member_new(const ap_member_config_t *config, ap_usec_t now)
{
	ap_member_t *m = calloc(1, sizeof(*m));
	ap_record_t own = {.entry = config->self,
			   .epoch = config->epoch,
			   .version = 1,
			   .state = AP_MEMBER_ALIVE};

	if (!m)
		return NULL;
	m->cfg = *config;
	m->started = now;
	m->last_tick = now;
	ap_rng_seed(&m->rng, config->seed);
	m->next_ping = now + (ap_usec_t)ap_rng_below(&m->rng, START_JITTER);
	m->next_sync = now;
	m->next_region_sync = now + (ap_usec_t)ap_rng_below(&m->rng, 2 * START_JITTER);
	m->next_not_live_ping = now + (ap_usec_t)ap_rng_below(&m->rng, 5 * START_JITTER);
	own.entry.draining = false;
	m->self = member_add(m, &own, now);
	member_reannounce(m, 0, now);
	return m;
}

void ap_member_free(ap_member_t *m)
{
	ap_node_t *node, *next;

	if (!m)
		return;
	node = m->nodes;
	HASH_CLEAR(hh, m->nodes);
	for (; node; node = next) {
		next = node->hh.next;
		free(node);
	}
	free(m);
}

static void apply_listed(ap_member_t *m, const ap_entry_t *entry, ap_usec_t now)
{
	ap_node_t *node = member_find(m, entry->id);
	ap_record_t rec = {.entry = *entry, .state = AP_MEMBER_LISTED};

	if (node == m->self)
		return;
	if (!node) {
		node = member_add(m, &rec, now);
		m->dirty = true;
		if (m->cfg.address_changed)
			m->cfg.address_changed(m->cfg.ctx, entry);
	} else if (node->rec.state == AP_MEMBER_LISTED && !node->listed) {
		node->rec = rec;
	}
	node->listed = true;
	/*
	 * The list may mark an instance as draining before the instance announces it. The list
	 * never makes a draining instance alive again.
	 */
	if (entry->draining && node->rec.state == AP_MEMBER_ALIVE && now - node->since > LIST_LAG) {
		node->rec.entry.draining = true;
		m->dirty = true;
	}
}

void ap_member_set_listed(ap_member_t *m, const ap_entry_t *entries, size_t n, ap_usec_t now)
{
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next)
		node->listed = false;
	for (size_t i = 0; i < n; i++)
		apply_listed(m, &entries[i], now);
	member_forget_old(m, now);
}

static void receive_ack(ap_member_t *m, const char *from, ap_id_t inc,
			const ap_member_message_t *msg)
{
	ap_node_t *target;

	if (msg->target_id[0] == '\0') {
		member_receive_ack(m, from, inc);
		return;
	}
	/* Another member pinged the target on request of this one. */
	target = member_find(m, msg->target_id);
	if (!target || msg->n_records != 1 ||
	    !ap_id_eq(target->rec.entry.inc, msg->records[0].entry.inc))
		return;
	target->missed = 0;
	target->pinged_at = 0;
}

static void acknowledge_ping(ap_member_t *m, const char *from, const ap_member_message_t *msg)
{
	ap_member_message_t ack = {.type = AP_MEMBER_ACK, .token = msg->token};

	if (m->superseded)
		return;
	if (m->self->sends_left > 0 || msg->n_records > 0) {
		ack.records = &m->self->rec;
		ack.n_records = 1;
	}
	member_send(m, from, &ack);
}

static void handle(ap_member_t *m, const char *from, ap_id_t inc, const ap_member_message_t *msg,
		   ap_usec_t now)
{
	for (size_t i = 0; i < msg->n_records; i++)
		member_merge(m, &msg->records[i], now);
	for (size_t i = 0; i < msg->n_suspicions; i++)
		member_receive_suspicion(m, &msg->suspicions[i], now);
	if (strcmp(from, m->cfg.self.id) != 0)
		m->joined = true;
	switch (msg->type) {
	case AP_MEMBER_PING:
		acknowledge_ping(m, from, msg);
		break;
	case AP_MEMBER_ACK:
		receive_ack(m, from, inc, msg);
		break;
	case AP_MEMBER_PING_REQUEST:
		member_receive_ping_request(m, from, msg, now);
		break;
	case AP_MEMBER_SYNC:
	case AP_MEMBER_SYNC_REPLY:
		member_receive_sync(m, from, msg, now);
		break;
	case AP_MEMBER_DIGESTS:
	case AP_MEMBER_DIGESTS_REPLY:
		member_receive_digests(m, from, msg, now);
		break;
	case AP_MEMBER_RECORDS:
		break;
	}
}

ap_member_status_t ap_member_receive(ap_member_t *m, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err)
{
	ap_wire_in_t in;
	ap_member_message_t msg;

	if (!ap_wire_in_open(&in, AP_WIRE_MEMBER, data, len, err))
		return AP_MEMBER_MALFORMED;
	if (!ap_wire_read_member(&in.body, &msg)) {
		ap_err_set(
			err,
			"membership message from %s has a missing or wrong field, expected type, "
			"token, member id, records, suspicions and digests",
			from);
		ap_wire_in_close(&in);
		return AP_MEMBER_MALFORMED;
	}
	handle(m, from, in.head.from, &msg, now);
	ap_wire_member_clear(&msg);
	ap_wire_in_close(&in);
	return AP_MEMBER_OK;
}

void ap_member_tick(ap_member_t *m, ap_usec_t now)
{
	if (now - m->last_tick > PAUSE_MIN)
		member_probe_reset(m);
	m->last_tick = now;
	if (!m->superseded)
		member_probe_tick(m, now);
	member_gossip_tick(m, now);
	if (m->dirty) {
		m->dirty = false;
		if (m->cfg.changed)
			m->cfg.changed(m->cfg.ctx);
	}
}

static void announce_own_state(ap_member_t *m, ap_member_state_t state, ap_usec_t now)
{
	if (m->superseded || m->self->rec.state >= state)
		return;
	m->self->rec.state = state;
	m->self->rec.entry.draining = true;
	member_reannounce(m, 0, now);
	member_announce_self(m);
}

void ap_member_announce_drain(ap_member_t *m, ap_usec_t now)
{
	announce_own_state(m, AP_MEMBER_DRAINING, now);
}

void ap_member_announce_exit(ap_member_t *m, ap_usec_t now)
{
	announce_own_state(m, AP_MEMBER_DEAD, now);
}

static ap_member_state_t reported_state(const ap_node_t *node)
{
	if (node->rec.state == AP_MEMBER_ALIVE && node->n_suspected_by > 0)
		return AP_MEMBER_SUSPECT;
	if (node->rec.state == AP_MEMBER_ALIVE && node->rec.entry.draining)
		return AP_MEMBER_DRAINING;
	return node->rec.state;
}

static bool region_reachable(const ap_member_t *m, const ap_node_t *node, ap_usec_t now)
{
	ap_usec_t at;

	if (node->own_region)
		return true;
	at = member_region_heard(m, node->region_hash);
	return at >= 0 && now - at < REACHABLE_TIME;
}

size_t ap_member_list(const ap_member_t *m, ap_member_info_t *out, size_t max, ap_usec_t now)
{
	size_t n = 0;

	for (int own = 1; own >= 0; own--) {
		const ap_node_t *node;

		for (node = m->nodes; node; node = node->hh.next) {
			if (node == m->self || node->own_region != (own == 1))
				continue;
			if (out && n < max) {
				out[n].entry = node->rec.entry;
				out[n].state = reported_state(node);
				out[n].since = node->since;
				out[n].reachable = region_reachable(m, node, now);
			}
			n++;
		}
	}
	return n;
}

static bool usable(const ap_member_t *m, const ap_node_t *node)
{
	if (node == m->self)
		return node->rec.state != AP_MEMBER_DEAD && !m->superseded;
	if (node_live(node))
		return true;
	return node->rec.state == AP_MEMBER_LISTED &&
	       member_region_heard(m, node->region_hash) < 0 && !node->own_region;
}

size_t ap_member_entries(const ap_member_t *m, ap_entry_t *out, size_t max)
{
	size_t n = 0;
	const ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		if (!usable(m, node))
			continue;
		if (n < max) {
			out[n] = node->rec.entry;
			out[n].draining = reported_state(node) == AP_MEMBER_DRAINING;
		}
		n++;
	}
	return n;
}

ap_member_stats_t ap_member_stats(const ap_member_t *m)
{
	ap_member_stats_t stats = m->stats;
	const ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		stats.alive += node_live(node);
		stats.suspect += node->n_suspected_by > 0;
		stats.dead += node->rec.state == AP_MEMBER_DEAD;
	}
	return stats;
}
