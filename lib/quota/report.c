/* Sources and their reports. */
#include "quota/private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* How long the share of a source that vanished without notice stays set aside: longer than most
 * partitions, in which it may go on alone. */
#define RESERVED_TIME (30 * AP_SEC)
#define SETTLE_TIME (2 * AP_SEC)   /* after limits were set; above the age of reports */
#define REPORTED_TIME (5 * AP_SEC) /* after the last request of a customer */

static ap_quota_source_t *find_source(const ap_quota_t *q, const char *id)
{
	ap_quota_source_t *s;

	HASH_FIND_STR(q->sources, id, s);
	return s;
}

/* Returns the lowest slot that no source has. */
static size_t free_slot(const ap_quota_t *q)
{
	const ap_quota_source_t *s;
	size_t slot = 0;

	do {
		for (s = q->sources; s && s->slot != slot; s = s->hh.next)
			;
		slot += s != NULL;
	} while (s);
	return slot;
}

void ap_quota_set_source(ap_quota_t *q, const char *id, bool region, unsigned weight, ap_usec_t now)
{
	ap_quota_source_t *s = find_source(q, id);

	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return;
		ap_copy_name(s->id, sizeof(s->id), id);
		s->slot = free_slot(q);
		HASH_ADD_STR(q->sources, id, s);
	}
	if (weight >= s->weight || now - s->weight_at > RESERVED_TIME) {
		s->weight = weight;
		s->weight_at = now;
	}
	s->gone_at = 0;
	s->named = true;
	s->region = region;
}

static void forget_entries(ap_quota_t *q, const ap_quota_source_t *s)
{
	for (ap_quota_customer_t *c = q->customers; c; c = c->hh.next) {
		if (s->slot < c->n_entries)
			c->entries[s->slot] = (ap_quota_entry_t){0};
	}
}

static void drop_source(ap_quota_t *q, ap_quota_source_t *s)
{
	forget_entries(q, s);
	HASH_DEL(q->sources, s);
	free(s);
}

void ap_quota_end_sources(ap_quota_t *q, ap_usec_t now)
{
	ap_quota_source_t *s;
	ap_quota_source_t *next;

	HASH_ITER (hh, q->sources, s, next) {
		if (!s->named && s->gone_at == 0)
			s->gone_at = now;
		s->named = false;
		if (s->gone_at != 0 && now - s->gone_at > RESERVED_TIME)
			drop_source(q, s);
	}
	q->counted_at = 0;
	ap_quota_recount(q, now);
}

void ap_quota_retire_source(ap_quota_t *q, const char *id)
{
	ap_quota_source_t *s = find_source(q, id);

	if (!s)
		return;
	drop_source(q, s);
	q->counted_at = 0;
}

static ap_quota_entry_t *entry_of(ap_quota_customer_t *c, ap_quota_source_t *s)
{
	ap_quota_entry_t *grown;
	size_t n = s->slot + 1;

	if (c->n_entries < n) {
		grown = realloc(c->entries, n * sizeof(*grown));
		if (!grown)
			return NULL;
		memset(grown + c->n_entries, 0, (n - c->n_entries) * sizeof(*grown));
		c->entries = grown;
		c->n_entries = n;
	}
	c->entries[s->slot].source = s;
	return &c->entries[s->slot];
}

/* Returns what @sender last reported; the oldest one gives way, but not the one that counts. */
static ap_quota_base_t *base_of(ap_quota_entry_t *e, uint32_t sender, bool *found)
{
	*found = true;
	for (size_t i = 0; i < e->n_bases; i++) {
		if (e->base[i].sender == sender)
			return &e->base[i];
	}
	*found = false;
	if (e->n_bases == SENDERS_MAX) {
		/* Without the base of the sender that counts, its whole use would count again. */
		size_t oldest = e->base[0].sender == e->source->primary;

		memmove(&e->base[oldest], &e->base[oldest + 1],
			(SENDERS_MAX - 1 - oldest) * sizeof(e->base[0]));
		e->n_bases--;
	}
	e->base[e->n_bases] = (ap_quota_base_t){.sender = sender};
	return &e->base[e->n_bases++];
}

/**
 * struct ap_quota_report - where a report comes from.
 * @counts: the sender is the one of its source that counts
 * @known: it was so before
 */
typedef struct ap_quota_report {
	uint32_t sender;
	ap_id_t inc;
	bool counts;
	bool known;
	ap_usec_t at;
} ap_quota_report_t;

/* Whether reports still tell of use under the limits before. */
static bool settling(const ap_quota_customer_t *c, ap_usec_t now)
{
	return now - c->limited_at < SETTLE_TIME;
}

/*
 * A count that falls to less than half, by more than refunds explain, began again: the sender had
 * dropped the customer.
 */
static bool began_again(const ap_quota_customer_t *c, int64_t before, int64_t used)
{
	return (double)used < (double)before / 2 &&
	       (double)before - (double)used > fmax(c->burst, c->rate);
}

/* Counts what was used since the sender's last report that counted. */
static void count_use(ap_quota_customer_t *c, ap_quota_entry_t *e, const ap_quota_use_t *use,
		      const ap_quota_report_t *report)
{
	bool found;
	ap_quota_base_t *base = base_of(e, report->sender, &found);
	bool same = found && ap_id_eq(base->inc, report->inc);
	int64_t used = 0;

	if (same && !began_again(c, base->used, use->used))
		used = use->used - base->used - (int64_t)e->assumed;
	else if (found && !e->source->region)
		used = use->used; /* since its restart */
	else if (found || report->known)
		used = use->lately;
	if (!report->counts && same)
		return;
	base->inc = report->inc;
	base->used = use->used;
	if (!report->counts)
		return;
	e->assumed = 0;
	c->level -= (double)used;
	if (settling(c, report->at))
		ap_quota_forgive(c);
	if (!e->source->region)
		c->elsewhere += used;
	e->at = report->at;
	e->admitted = use->admitted;
	e->asked = use->asked;
}

/* The senders of a region that don't count are taken as they are when the one that counts reports.
 */
static void reset_bases(ap_quota_entry_t *e, uint32_t primary)
{
	for (size_t i = 0; i < e->n_bases; i++) {
		if (e->base[i].sender != primary)
			e->base[i--] = e->base[--e->n_bases];
	}
}

void ap_quota_set_aside(ap_quota_t *q, ap_quota_source_t *s, ap_usec_t now)
{
	s->silent_at = now;
	for (ap_quota_customer_t *c = q->customers; c; c = c->hh.next) {
		ap_quota_entry_t *e = s->slot < c->n_entries ? &c->entries[s->slot] : NULL;

		if (!e || !e->source || now - e->at > 2 * (now - s->heard_at))
			continue;
		e->assumed = ceil(ap_quota_unreported(e, now));
		c->level -= e->assumed;
		if (!s->region)
			c->elsewhere += (int64_t)e->assumed;
	}
}

/* A source that was silent is back: gives back the refill that was set aside for it. */
static void give_back(ap_quota_t *q, ap_quota_source_t *s, ap_usec_t now)
{
	double part = s->weight / q->weight;

	for (ap_quota_customer_t *c = q->customers; s->heard_at != 0 && c; c = c->hh.next) {
		ap_quota_refill(q, c, now);
		c->level += c->rate * part * (double)(now - s->silent_at) / (double)AP_SEC;
	}
	s->silent_at = 0;
}

/* Another sender of a region counts only once the one that did is silent. */
static ap_quota_report_t report_of(ap_quota_source_t *s, const char *sender, ap_id_t inc,
				   ap_usec_t now)
{
	ap_quota_report_t report = {.sender = ap_quota_tag(sender), .inc = inc, .at = now};

	report.known = s->primary == report.sender && s->heard_at != 0;
	report.counts =
		s->primary == 0 || s->primary == report.sender || ap_quota_is_silent(s, now);
	if (report.counts)
		s->primary = report.sender;
	return report;
}

void ap_quota_heard(ap_quota_t *q, const char *source, const char *sender, ap_id_t inc,
		    unsigned silent, const ap_quota_use_t *uses, size_t n, ap_usec_t now)
{
	ap_quota_source_t *s = find_source(q, source);
	ap_quota_report_t report;

	if (!s)
		return;
	ap_quota_recount(q, now);
	report = report_of(s, sender, inc, now);
	if (report.counts && s->silent_at != 0)
		give_back(q, s, now);
	for (size_t i = 0; i < n; i++) {
		ap_quota_customer_t *c = ap_quota_customer(q, uses[i].tag, now);
		ap_quota_entry_t *e = c ? entry_of(c, s) : NULL;

		if (!e)
			continue;
		ap_quota_refill(q, c, now);
		c->reported_at = now;
		count_use(c, e, &uses[i], &report);
		if (report.counts)
			reset_bases(e, report.sender);
	}
	if (!report.counts)
		return;
	if (s->silent != silent || ap_quota_is_silent(s, now))
		q->counted_at = 0;
	s->silent = silent;
	s->heard_at = now;
}

unsigned ap_quota_silent(const ap_quota_t *q, ap_usec_t now)
{
	unsigned silent = 0;

	for (const ap_quota_source_t *s = q->sources; s; s = s->hh.next) {
		if (!s->region && ap_quota_is_silent(s, now))
			silent += s->weight;
	}
	return silent;
}

/* Returns whether @c is to be reported. */
static bool fill_use(ap_quota_customer_t *c, bool region, ap_quota_use_t *use, ap_usec_t now)
{
	bool active = c->active_at != 0 && now - c->active_at < REPORTED_TIME;

	*use = (ap_quota_use_t){
		.tag = c->tag,
		.used = c->used + (region ? c->elsewhere : 0),
		.admitted = ap_quota_rate(&c->admitted, now),
		.asked = ap_quota_rate(&c->asked, now),
	};
	for (size_t i = 0; region && i < c->n_entries; i++) {
		const ap_quota_entry_t *e = &c->entries[i];

		if (!ap_quota_entry_holds(e, now) || e->source->region)
			continue;
		use->used += (int64_t)ap_quota_unreported(e, now);
		use->admitted += e->admitted;
		use->asked += e->asked;
		active = true;
	}
	if (!active)
		c->omitted[region] = use->used;
	use->lately = use->used - c->omitted[region];
	return active;
}

size_t ap_quota_report(ap_quota_t *q, bool region, ap_quota_use_t *out, size_t max, ap_usec_t now)
{
	ap_quota_customer_t *c = q->next_report[region] ? q->next_report[region] : q->customers;
	size_t n = 0;

	for (size_t left = HASH_COUNT(q->customers); left > 0 && n < max; left--) {
		n += fill_use(c, region, &out[n], now);
		c = c->hh.next ? c->hh.next : q->customers;
	}
	q->next_report[region] = c;
	return n;
}
