/*
 * Relays: in a large region, instances send what they announce to a few relays of each data centre,
 * and a relay passes on what many said in one batch. Connections and messages then grow with the
 * number of instances, not of pairs, and one copy for each relay crosses between data centres.
 *
 * Relays are the first of a data centre by cores and rendezvous hash, so that nobody appoints them.
 * An instance names in its announcements the relay that it wants batches from, and names another
 * one when that relay is silent. A relay serves those that name it, whether or not it takes itself
 * for a relay, and says that it does, so that views that differ for a moment lose nothing.
 */
#include "fleet/private.h"

#include <string.h>

#define RELAYED_MIN 16 /* instances; in a smaller region each sends to all others */
#define RELAY_KEY 13
#define DATA_CENTRES_MAX 64	      /* of all regions; instances of others get no batches */
#define SILENCE_MAX (500 * AP_MSEC)   /* of the relay that is named; several batches */
#define KEEPALIVE (200 * AP_MSEC)     /* without anything to pass on, an empty batch is sent */
#define SILENT_TIME (3 * AP_SEC)      /* a silent relay isn't named again for this time */
#define NAMED_MAX_AGE (3 * AP_SEC)    /* instances announce at least once a second */
#define UNHEARD_MAX (2500 * AP_MSEC)  /* two announcements were lost */
#define UNHEARD_TURN AP_SEC	      /* an announcement at least */
#define BATCH_BYTES_MAX (1024 * 1024) /* what doesn't fit is dropped and counted */

/* The first instances of a data centre, the best first. */
typedef struct ap_ranking {
	uint32_t data_centre;
	uint32_t region;
	size_t n;   /* its instances that take batches, by their records */
	bool heard; /* an other one may relay */
	ap_member_state_t *best[AP_RELAYS];
} ap_ranking_t;

uint32_t ap_region_tag(const char *region)
{
	return (uint32_t)ap_hash_str(region, 18);
}

uint32_t ap_member_tag(const char *id)
{
	return (uint32_t)ap_hash_str(id, 15);
}

void ap_relay_member_init(ap_member_state_t *m)
{
	m->relay_score = ap_rendezvous(RELAY_KEY, ap_hash_str(m->member.id, 16), 1);
	m->data_centre = (uint32_t)ap_hash_str(m->member.data_centre, 17);
	m->region = ap_region_tag(m->member.region);
}

static bool takes_batches(const ap_member_state_t *m)
{
	return m->member.speaks >= AP_FLEET_SPEAKS_BATCHES;
}

/*
 * Returns whether @m said a moment ago that it serves as a relay, or that it wants no batches from
 * one: its build may take none, whatever its record still says, or it may see fewer instances.
 */
static bool wants_messages(const ap_member_state_t *m, ap_usec_t now)
{
	return (m->serves || m->named_relay == 0) && now - m->heard_at < NAMED_MAX_AGE;
}

static bool is_relayed_to(const ap_member_state_t *m, ap_usec_t now)
{
	return takes_batches(m) && !m->member.draining && ap_member_live(m, now);
}

/* Instances that have not been heard for a while are passed over before their records expire. */
static bool may_relay(const ap_member_state_t *m, ap_usec_t now)
{
	return is_relayed_to(m, now) && now >= m->relay_silent_until &&
	       (m->self || m->heard_at == 0 || now - m->heard_at < UNHEARD_MAX);
}

static bool is_better(const ap_member_state_t *a, const ap_member_state_t *b)
{
	if (a->member.cores != b->member.cores)
		return a->member.cores > b->member.cores;
	return a->relay_score > b->relay_score;
}

static void rank(ap_ranking_t *r, ap_member_state_t *m)
{
	for (size_t i = 0; i < AP_RELAYS && m; i++) {
		ap_member_state_t *displaced = r->best[i];

		if (displaced && !is_better(m, displaced))
			continue;
		r->best[i] = m;
		m = displaced;
	}
}

static ap_ranking_t *ranking_of(ap_ranking_t *list, size_t *n, const ap_member_state_t *m)
{
	for (size_t i = 0; i < *n; i++) {
		if (list[i].data_centre == m->data_centre)
			return &list[i];
	}
	if (*n == DATA_CENTRES_MAX)
		return NULL;
	list[*n] = (ap_ranking_t){.data_centre = m->data_centre, .region = m->region};
	return &list[(*n)++];
}

static size_t rank_all(ap_fleet_t *f, ap_ranking_t *list, ap_usec_t now)
{
	size_t n = 0;

	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		ap_ranking_t *r = is_relayed_to(m, now) ? ranking_of(list, &n, m) : NULL;

		if (!r)
			continue;
		r->n++;
		if (!may_relay(m, now))
			continue;
		r->heard |= !m->self;
		rank(r, m);
	}
	return n;
}

/*
 * Returns whether @region has so many instances that relays pass on what is announced there. Also
 * those that are silent count: whom each hears differs, and those that are told of a stream have to
 * be those that others ask.
 */
static bool is_relayed(const ap_ranking_t *list, size_t n, uint32_t region)
{
	size_t instances = 0;
	bool heard = false;

	for (size_t i = 0; i < n; i++) {
		instances += list[i].region == region ? list[i].n : 0;
		heard |= list[i].region == region && list[i].heard;
	}
	return heard && instances >= RELAYED_MIN;
}

/* Returns whether @m of this region was heard once, and isn't any more. */
static bool is_unheard(const ap_member_state_t *m, ap_usec_t now)
{
	return m->own_region && !m->self && is_relayed_to(m, now) && m->heard_at > 0 &&
	       now - m->heard_at >= UNHEARD_MAX;
}

/*
 * After a cut, each side has relays of its own. The first one of those that aren't heard is told
 * all the same, which is a relay of theirs, and another one by turns, as that one may be gone.
 */
static void mark_unheard(ap_fleet_t *f, ap_usec_t now)
{
	ap_member_state_t *first = NULL;
	ap_member_state_t *other = NULL;
	double most = 0;

	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		double score;

		if (!is_unheard(m, now))
			continue;
		if (!first || is_better(m, first))
			first = m;
		score = ap_rendezvous((uint64_t)(now / UNHEARD_TURN), m->tag, 1);
		if (!other || score > most) {
			other = m;
			most = score;
		}
	}
	if (first)
		first->direct = true;
	if (other)
		other->direct = true;
}

void ap_relay_mark(ap_fleet_t *f, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	ap_ranking_t list[DATA_CENTRES_MAX];
	size_t n = rank_all(f, list, now);

	f->relayed = self && takes_batches(self) && is_relayed(list, n, self->region);
	for (ap_member_state_t *m = f->members; m; m = m->hh.next)
		m->direct = !takes_batches(m) || !self || !takes_batches(self) ||
			    !is_relayed(list, n, m->region) || wants_messages(m, now);
	for (size_t i = 0; i < n; i++) {
		for (size_t k = 0; k < AP_RELAYS && list[i].best[k]; k++)
			list[i].best[k]->direct = true;
	}
	mark_unheard(f, now);
}

/* Returns the relay that this instance wants batches from, of its data centre or of all its region.
 */
static ap_member_state_t *wanted_relay(ap_fleet_t *f, const ap_member_state_t *self,
				       bool own_data_centre, ap_usec_t now)
{
	ap_ranking_t first = {0};
	ap_member_state_t *wanted = NULL;
	double most = 0;

	for (ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (m->region == self->region && may_relay(m, now) &&
		    (!own_data_centre || m->data_centre == self->data_centre))
			rank(&first, m);
	}
	for (size_t i = 0; i < AP_RELAYS && first.best[i]; i++) {
		double score = ap_rendezvous(self->tag, first.best[i]->tag, 1);

		if (first.best[i] != self && (!wanted || score > most)) {
			wanted = first.best[i];
			most = score;
		}
	}
	return wanted;
}

/* Names another relay when the one that was named is silent or isn't among the first any more. */
static void name_relay(ap_fleet_t *f, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	ap_member_state_t *m;

	if (!f->relayed || !self) {
		f->relay_tag = 0;
		return;
	}
	for (m = f->members; m && f->relay_tag; m = m->hh.next) {
		if (m->tag == f->relay_tag && now - f->relay_heard_at > SILENCE_MAX)
			m->relay_silent_until = now + SILENT_TIME;
	}
	m = wanted_relay(f, self, true, now);
	if (!m)
		m = wanted_relay(f, self, false, now);
	if (!m || m->tag == f->relay_tag)
		return;
	f->relay_tag = m->tag;
	f->relay_heard_at = now;
	f->announced_at = 0; /* tells the new relay at once */
}

/* Returns whether @m wants batches from this instance, @self. */
static bool is_served(const ap_fleet_t *f, const ap_member_state_t *self,
		      const ap_member_state_t *m, ap_usec_t now)
{
	return m->named_relay == self->tag && now - m->heard_at < NAMED_MAX_AGE &&
	       ap_is_live_other(f, m, now);
}

size_t ap_relay_served(const ap_fleet_t *f, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; self && m; m = m->hh.next)
		n += is_served(f, self, m, now);
	return n;
}

void ap_fleet_pass_on(ap_fleet_t *f, const char *from, const void *data, size_t len, ap_usec_t now)
{
	uint32_t kind = ap_wire_peek(data, len);

	if (kind < AP_WIRE_FLEET || kind > AP_WIRE_FLEET_LAST || ap_relay_served(f, now) == 0)
		return;
	if (f->batch.size + len > BATCH_BYTES_MAX) {
		f->batch_dropped++;
		return;
	}
	msgpack_pack_uint32(&f->batch_pk, ap_member_tag(from));
	ap_wire_pack_bin(&f->batch_pk, data, len);
	f->n_batched++;
}

static void send_batch(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	ap_wire_out_t out;

	if (f->n_batched == 0 && now - f->batch_sent_at < KEEPALIVE)
		return;
	f->batch_sent_at = now;
	ap_wire_out_begin(&out, AP_WIRE_BATCH, f->config.inc, ++f->announce_seq);
	msgpack_pack_array(&out.pk, 2 * f->n_batched);
	if (f->batch.size > 0)
		msgpack_sbuffer_write(&out.buf, f->batch.data, f->batch.size);
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (self && is_served(f, self, m, now))
			ap_wire_out_send(&out, peer, m->member.id);
	}
	ap_wire_out_end(&out);
	msgpack_sbuffer_clear(&f->batch);
	f->n_batched = 0;
}

void ap_relay_tick(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now)
{
	bool serves = ap_relay_served(f, now) > 0;

	name_relay(f, now);
	if (serves && !f->served)
		f->announced_at = 0; /* the others must send here */
	f->served = serves;
	if (f->n_batched > 0 || serves)
		send_batch(f, peer, now);
}

void ap_relay_send_to_region(ap_fleet_t *f, const ap_peer_port_t *peer, const void *data,
			     size_t len, ap_usec_t now)
{
	ap_relay_mark(f, now);
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (m->direct && ap_is_live_other(f, m, now) && ap_in_own_region(f, m))
			peer->send(peer->ctx, m->member.id, data, len);
	}
	ap_fleet_pass_on(f, f->config.id, data, len, now);
}

bool ap_fleet_open_batch(ap_fleet_t *f, const char *from, const void *data, size_t len,
			 ap_usec_t now, void *ctx, ap_fleet_visit_t visit)
{
	const ap_member_state_t *relay = ap_member_find(f, from);
	ap_wire_reader_t r;
	ap_wire_in_t in;
	bool ok;

	if (!ap_wire_in_open(&in, AP_WIRE_BATCH, data, len, NULL))
		return false;
	if (relay && relay->tag == f->relay_tag)
		f->relay_heard_at = now;
	r = ap_wire_reader(&in.body);
	ok = r.ok;
	while (ok && r.left >= 2) {
		uint32_t tag = (uint32_t)ap_wire_u64(&r);
		const ap_member_state_t *origin;
		const void *bytes;
		size_t size;

		bytes = ap_wire_bin(&r, &size);
		ok = r.ok;
		HASH_FIND(by_tag, f->member_tags, &tag, sizeof(tag), origin);
		/* What an instance says counts before its record was read, too. */
		if (ok && (!origin || !origin->self))
			visit(ctx, origin ? origin->member.id : "", bytes, size);
	}
	ap_wire_in_close(&in);
	return ok;
}
