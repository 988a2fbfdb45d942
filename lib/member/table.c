/* The table of records: which of two records wins, and what a new record changes. */
#include "member/private.h"

#include <stdlib.h>
#include <string.h>

#define TOMBSTONE_KEEP (2 * 3600 * AP_SEC) /* regions are assumed to reconnect sooner */
/*
 * A later record of the own id that arrives within this time of the start is taken for one of an
 * earlier process, so the own epoch is raised over it. One that arrives later belongs to a later
 * process, which supersedes this one.
 */
#define SETTLE_TIME (30 * AP_SEC)
#define EXTRA_SENDS 2 /* rounds in addition to those that the number of members needs */

ap_node_t *member_find(const ap_member_t *m, const char *id)
{
	ap_node_t *node;

	HASH_FIND_STR(m->nodes, id, node);
	return node;
}

bool node_live(const ap_node_t *node)
{
	return node->rec.state == AP_MEMBER_ALIVE || node->rec.state == AP_MEMBER_DRAINING;
}

size_t member_live_in_region(const ap_member_t *m)
{
	size_t n = 0;
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next)
		n += node->own_region && node_live(node);
	return n;
}

int record_cmp(const ap_record_t *a, const ap_record_t *b)
{
	int inc = ap_id_cmp(a->entry.inc, b->entry.inc);

	if (a->epoch != b->epoch)
		return a->epoch < b->epoch ? -1 : 1;
	if (inc != 0)
		return inc;
	if (a->version != b->version)
		return a->version < b->version ? -1 : 1;
	if (a->state != b->state)
		return a->state < b->state ? -1 : 1;
	return 0;
}

uint64_t record_digest(const ap_record_t *rec)
{
	uint64_t parts[5] = {rec->epoch, rec->entry.inc.hi, rec->entry.inc.lo, rec->version,
			     (uint64_t)rec->state};

	return (uint32_t)ap_hash(parts, sizeof(parts), 0);
}

/*
 * Gossip rounds that carry a record. A record reaches nearly all n members when each member sends
 * it to about log2(n) others; a round sends it to two, so log2(n) / 2 = log4(n) rounds are needed.
 */
static unsigned sends_needed(const ap_member_t *m)
{
	size_t n = member_live_in_region(m) + 1;
	unsigned sends = EXTRA_SENDS;

	while (n > 1) {
		n /= 4;
		sends++;
	}
	return sends;
}

static void notify_changed(ap_member_t *m, const ap_node_t *node)
{
	m->dirty = true;
	if (m->cfg.address_changed && node != m->self)
		m->cfg.address_changed(m->cfg.ctx, &node->rec.entry);
}

ap_node_t *member_add(ap_member_t *m, const ap_record_t *rec, ap_usec_t now)
{
	ap_node_t *node = calloc(1, sizeof(*node));

	if (!node)
		abort();
	node->rec = *rec;
	node->id_hash = (uint32_t)ap_hash_str(rec->entry.id, 0);
	node->region_hash = (uint32_t)ap_hash_str(rec->entry.region, 0);
	node->own_region = strcmp(rec->entry.region, m->cfg.self.region) == 0;
	node->since = now;
	HASH_ADD_STR(m->nodes, rec.entry.id, node);
	return node;
}

static void log_state(ap_member_t *m, const ap_node_t *node, ap_usec_t now)
{
	char inc[AP_ID_TEXT_MAX];

	ap_id_format(node->rec.entry.inc, inc);
	ap_emit(&m->cfg.env, now, "member.state", (ap_xid_t){.seq = 0}, "id=%s inc=%s state=%s",
		node->rec.entry.id, inc, ap_member_state_name(node->rec.state));
}

void member_reannounce(ap_member_t *m, uint64_t above, ap_usec_t now)
{
	ap_record_t *rec = &m->self->rec;

	if (m->superseded)
		return;
	rec->version = (above > rec->version ? above : rec->version) + 1;
	m->self->sends_left = sends_needed(m);
	m->self->since = now;
	m->dirty = true;
}

/* Handles a record of the own id: refutes, announces again, or finds itself superseded. */
static void merge_self(ap_member_t *m, const ap_record_t *rec, ap_usec_t now)
{
	ap_record_t *own = &m->self->rec;

	if (ap_id_eq(rec->entry.inc, own->entry.inc)) {
		if (record_cmp(rec, own) > 0 && own->state != AP_MEMBER_DEAD) {
			m->stats.refuted++;
			member_reannounce(m, rec->version, now);
		}
		return;
	}
	if (record_cmp(rec, own) < 0) {
		if (m->self->sends_left == 0)
			m->self->sends_left = sends_needed(m);
		return;
	}
	if (now - m->started < SETTLE_TIME) {
		own->epoch = rec->epoch + 1;
		member_reannounce(m, own->version, now);
		return;
	}
	if (m->superseded)
		return;
	m->superseded = true;
	m->self->sends_left = 0;
	ap_emit(&m->cfg.env, now, "member.superseded", (ap_xid_t){.seq = 0}, "id=%s",
		own->entry.id);
	if (m->cfg.superseded)
		m->cfg.superseded(m->cfg.ctx);
}

/* A record of a death carries only id and incarnation, so the other fields known are kept. */
static void set_record(ap_node_t *node, const ap_record_t *rec)
{
	ap_entry_t known = node->rec.entry;

	node->rec = *rec;
	if (rec->state != AP_MEMBER_DEAD)
		return;
	known.inc = rec->entry.inc;
	node->rec.entry = known;
}

static void apply_record(ap_member_t *m, ap_node_t *node, const ap_record_t *rec, ap_usec_t now)
{
	bool state_changed =
		node->rec.state != rec->state || !ap_id_eq(node->rec.entry.inc, rec->entry.inc);

	if (rec->state == AP_MEMBER_DEAD && node_live(node))
		m->stats.deaths++;
	set_record(node, rec);
	node->rec.entry.draining = rec->state == AP_MEMBER_DRAINING;
	node->sends_left = sends_needed(m);
	node->missed = 0;
	node->pinged_at = 0;
	node_clear_suspicion(node);
	if (state_changed) {
		node->since = now;
		log_state(m, node, now);
	}
	notify_changed(m, node);
}

void member_apply_record(ap_member_t *m, ap_node_t *node, const ap_record_t *rec, ap_usec_t now)
{
	apply_record(m, node, rec, now);
}

static bool same_version(const ap_record_t *a, const ap_record_t *b)
{
	return ap_id_eq(a->entry.inc, b->entry.inc) && a->epoch == b->epoch &&
	       a->version == b->version;
}

void member_merge(ap_member_t *m, const ap_record_t *rec, ap_usec_t now)
{
	ap_node_t *node = member_find(m, rec->entry.id);

	if (node && node == m->self) {
		merge_self(m, rec, now);
		return;
	}
	if (!node) {
		if (rec->state == AP_MEMBER_DEAD)
			return;
		node = member_add(m, rec, now);
		/* With this state apply_record() sees a change of state and logs it. */
		node->rec.state = AP_MEMBER_LISTED;
		apply_record(m, node, rec, now);
		return;
	}
	if (rec->state == AP_MEMBER_DEAD && node->own_region && node_live(node) &&
	    same_version(rec, &node->rec)) {
		member_death_received(m, node, now);
		return;
	}
	if (node->rec.state == AP_MEMBER_LISTED || record_cmp(rec, &node->rec) > 0)
		apply_record(m, node, rec, now);
}

void member_forget_old(ap_member_t *m, ap_usec_t now)
{
	ap_node_t *node, *next, *removed = NULL;

	HASH_ITER (hh, m->nodes, node, next) {
		if (node == m->self || node->listed || node_live(node))
			continue;
		if (node->rec.state == AP_MEMBER_DEAD && now - node->since < TOMBSTONE_KEEP)
			continue;
		HASH_DEL(m->nodes, node);
		node->next_free = removed;
		removed = node;
		m->dirty = true;
	}
	for (node = removed; node; node = next) {
		next = node->next_free;
		free(node);
	}
}

size_t member_pick(ap_member_t *m, bool (*ok)(const ap_member_t *, const ap_node_t *),
		   ap_node_t **out, size_t k)
{
	size_t seen = 0;
	ap_node_t *node;

	for (node = m->nodes; node; node = node->hh.next) {
		uint64_t at;

		if (node == m->self || !ok(m, node))
			continue;
		at = seen < k ? seen : ap_rng_below(&m->rng, seen + 1);
		if (at < k)
			out[at] = node;
		seen++;
	}
	return seen < k ? seen : k;
}

bool is_live_peer(const ap_member_t *m, const ap_node_t *node)
{
	(void)m;
	return node->own_region && node_live(node);
}
