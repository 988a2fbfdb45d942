/* Buckets of customers: refill, estimate and admission. */
#include "quota/private.h"

#include <math.h>
#include <stdlib.h>

#define RATE_TIME 1.0		      /* seconds over which rates are averaged */
#define SILENT_AFTER (1500 * AP_MSEC) /* above the longest interval of reports */
#define LOW_SHARE 0.5		      /* of the burst; below it instances keep to their shares */
#define TOLERANCE_USED 0.25	      /* of what may be used beyond the allowance */
#define BURST_MIN_S 0.25 /* seconds of the rate; a smaller burst would fit no request */
#define PACE_MIN 0.25	 /* limits of the rate in use, to that of the allowance, */
#define PACE_MAX 2.0	 /* while the bucket is overdrawn or fills */
#define SUM_INTERVAL (200 * AP_MSEC)
#define WAIT_MIN (50 * AP_MSEC)
#define WAIT_MAX (30 * AP_SEC)
#define QUEUE_MAX (5 * AP_SEC) /* many of those who are refused don't come back */

uint32_t ap_quota_tag(const char *customer)
{
	return (uint32_t)ap_hash_str(customer, 21);
}

ap_quota_t *ap_quota_new(const ap_quota_config_t *config)
{
	ap_quota_t *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->config = *config;
	q->weight = 1;
	return q;
}

void ap_quota_free(ap_quota_t *q)
{
	ap_quota_customer_t *c;
	ap_quota_customer_t *c_next;
	ap_quota_source_t *s;
	ap_quota_source_t *s_next;

	if (!q)
		return;
	HASH_ITER (hh, q->customers, c, c_next) {
		HASH_DEL(q->customers, c);
		free(c->entries);
		free(c);
	}
	HASH_ITER (hh, q->sources, s, s_next) {
		HASH_DEL(q->sources, s);
		free(s);
	}
	free(q);
}

void ap_quota_configure(ap_quota_t *q, const ap_quota_config_t *config)
{
	q->config = *config;
}

bool ap_quota_in_use(const ap_quota_t *q)
{
	return q->customers != NULL;
}

static double seconds(ap_usec_t span)
{
	return (double)span / (double)AP_SEC;
}

double ap_quota_rate(const ap_quota_rate_t *r, ap_usec_t now)
{
	return r->per_s * exp(-fmax(seconds(now - r->at), 0) / RATE_TIME);
}

static void count_rate(ap_quota_rate_t *r, double units, ap_usec_t now)
{
	r->per_s = ap_quota_rate(r, now) + units / RATE_TIME;
	r->at = now;
}

bool ap_quota_is_silent(const ap_quota_source_t *s, ap_usec_t now)
{
	return s->gone_at != 0 || s->heard_at == 0 || now - s->heard_at > SILENT_AFTER;
}

bool ap_quota_entry_holds(const ap_quota_entry_t *e, ap_usec_t now)
{
	return e->at >= e->source->heard_at && !ap_quota_is_silent(e->source, now);
}

void ap_quota_recount(ap_quota_t *q, ap_usec_t now)
{
	const ap_quota_source_t *s;

	q->weight = 1;
	q->silent = 0;
	for (s = q->sources; s; s = s->hh.next) {
		q->weight += s->weight;
		if (ap_quota_is_silent(s, now))
			q->silent += s->weight;
		else
			q->silent += s->silent < s->weight ? s->silent : s->weight;
	}
}

/* Returns the part of an allowance that isn't set aside for silent sources. */
static double known_part(const ap_quota_t *q)
{
	return 1 - q->silent / q->weight;
}

static double burst_of(const ap_quota_customer_t *c)
{
	return fmax(c->burst, BURST_MIN_S * c->rate);
}

void ap_quota_refill(const ap_quota_t *q, ap_quota_customer_t *c, ap_usec_t now)
{
	if (now > c->at) {
		c->level += c->rate * known_part(q) * seconds(now - c->at);
		c->at = now;
	}
	c->level = fmin(c->level, burst_of(c) * known_part(q));
}

ap_quota_customer_t *ap_quota_customer(ap_quota_t *q, uint32_t tag, ap_usec_t now)
{
	ap_quota_customer_t *c;

	HASH_FIND(hh, q->customers, &tag, sizeof(tag), c);
	if (c || HASH_COUNT(q->customers) >= CUSTOMERS_MAX)
		return c;
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	c->tag = tag;
	c->at = now;
	HASH_ADD(hh, q->customers, tag, sizeof(c->tag), c);
	return c;
}

/* Applies the limits of the plan in force; a bucket that had none begins full. */
static void set_limits(const ap_quota_t *q, ap_quota_customer_t *c, const ap_customer_t *limits,
		       ap_usec_t now)
{
	bool first = c->rate == 0;

	if (!first)
		ap_quota_refill(q, c, now);
	c->rate = limits->rate;
	c->burst = limits->burst;
	if (first)
		c->level = burst_of(c) * known_part(q);
	c->at = now;
}

void ap_quota_set_limits(ap_quota_t *q, const ap_customer_t *customers, size_t n, ap_usec_t now)
{
	ap_quota_recount(q, now);
	for (size_t i = 0; i < n; i++) {
		ap_quota_customer_t *c = ap_quota_customer(q, ap_quota_tag(customers[i].name), now);

		if (c && (c->rate != customers[i].rate || c->burst != customers[i].burst))
			set_limits(q, c, &customers[i], now);
	}
}

/* What the other sources are likely to have admitted since their last reports. */
static double unreported(const ap_quota_customer_t *c, ap_usec_t now)
{
	double units = 0;

	for (size_t i = 0; i < c->n_entries; i++) {
		const ap_quota_entry_t *e = &c->entries[i];

		if (ap_quota_entry_holds(e, now))
			units += e->admitted * seconds(now - e->source->heard_at);
	}
	return units;
}

/* Sums what the others report. */
static void sum_others(const ap_quota_customer_t *c, ap_usec_t now, double *admitted, double *asked,
		       ap_usec_t *age)
{
	*admitted = 0;
	*asked = 0;
	*age = 0;
	for (size_t i = 0; i < c->n_entries; i++) {
		const ap_quota_entry_t *e = &c->entries[i];

		if (!ap_quota_entry_holds(e, now))
			continue;
		*admitted += e->admitted;
		*asked += e->asked;
		if (now - e->source->heard_at > *age)
			*age = now - e->source->heard_at;
	}
}

static ap_usec_t wait_for(double units, double per_s)
{
	return per_s > 0 ? ap_duration(units / per_s, AP_SEC) : WAIT_MAX;
}

/* Refused requests are told to come back one after the other, at the rate at which they fit. */
static ap_usec_t queue_wait(ap_quota_customer_t *c, ap_usec_t wait, double cost, double per_s,
			    ap_usec_t now)
{
	ap_usec_t at = now + wait;

	if (c->promised > at)
		at = c->promised;
	c->promised = at + wait_for(cost, per_s);
	if (c->promised > now + wait + QUEUE_MAX)
		c->promised = now + wait;
	if (at > now + WAIT_MAX)
		at = now + WAIT_MAX;
	return at - now > WAIT_MIN ? at - now : WAIT_MIN;
}

/* Units that may be used beyond the allowance without breaking its bound. */
static double tolerance_of(const ap_quota_t *q, const ap_quota_customer_t *c)
{
	double allowed = c->rate * seconds(q->config.window) + c->burst;

	return TOLERANCE_USED * (q->config.over * allowed + q->config.slack) * known_part(q);
}

/*
 * Returns the rate that this instance may use while the bucket is low: a part by what it is asked
 * for, of a rate that brings the bucket back to empty if it is overdrawn.
 */
static double own_share(const ap_quota_t *q, const ap_quota_customer_t *c, double level,
			double asked_elsewhere, ap_usec_t now)
{
	double asked = ap_quota_rate(&c->asked, now);
	double pace = fmin(fmax(1 + level / burst_of(c), PACE_MIN), PACE_MAX);
	double part = asked > 0 ? asked / (asked + asked_elsewhere) : 1 / q->weight;

	return c->rate * known_part(q) * pace * part;
}

static void admit(ap_quota_customer_t *c, double cost, ap_usec_t now)
{
	c->level -= cost;
	c->share -= cost;
	c->used += (int64_t)ceil(cost);
	count_rate(&c->admitted, cost, now);
}

static bool decide(ap_quota_t *q, ap_quota_customer_t *c, double cost, ap_usec_t since,
		   ap_usec_t now, ap_quota_verdict_t *v)
{
	double asked_elsewhere;
	double share;
	double fits;

	ap_quota_refill(q, c, now);
	sum_others(c, now, &v->used_elsewhere, &asked_elsewhere, &v->age);
	v->level = c->level - unreported(c, now);
	v->used_here = ap_quota_rate(&c->admitted, now);
	v->silent = q->silent / q->weight;
	share = own_share(q, c, v->level, asked_elsewhere, now);
	c->share = fmin(c->share + share * seconds(now - since), 0);
	/* A request of more than the burst fits into a full bucket. */
	fits = fmin(cost, burst_of(c) * known_part(q));
	if (v->level >= LOW_SHARE * burst_of(c) * known_part(q)) {
		v->admitted = v->level + tolerance_of(q, c) >= fits;
		if (!v->admitted)
			v->retry_after =
				queue_wait(c, wait_for(fits - v->level, c->rate * known_part(q)),
					   cost, c->rate * known_part(q), now);
	} else {
		v->admitted = c->share >= 0 && v->level > -2 * tolerance_of(q, c) - burst_of(c);
		if (!v->admitted)
			v->retry_after =
				queue_wait(c, wait_for(-c->share, share), cost, share, now);
	}
	return v->admitted;
}

bool ap_quota_take(ap_quota_t *q, const ap_customer_t *limits, double cost, ap_usec_t now,
		   ap_quota_verdict_t *v)
{
	ap_quota_customer_t *c = ap_quota_customer(q, ap_quota_tag(limits->name), now);
	ap_usec_t since;

	*v = (ap_quota_verdict_t){.admitted = true};
	if (!c)
		return true;
	ap_quota_recount(q, now);
	since = c->active_at ? c->active_at : now;
	c->active_at = now;
	count_rate(&c->asked, cost, now);
	if (c->rate != limits->rate || c->burst != limits->burst)
		set_limits(q, c, limits, now);
	if (ap_customer_limited(limits) && !decide(q, c, cost, since, now, v))
		return false;
	admit(c, cost, now);
	return true;
}

bool ap_quota_is_over(ap_quota_t *q, const ap_customer_t *customer, ap_usec_t now)
{
	uint32_t tag = ap_quota_tag(customer->name);
	ap_quota_customer_t *c;

	HASH_FIND(hh, q->customers, &tag, sizeof(tag), c);
	if (!c || !ap_customer_limited(customer))
		return false;
	ap_quota_refill(q, c, now);
	return c->level - unreported(c, now) < 0;
}

void ap_quota_refund(ap_quota_t *q, const char *customer, double cost, ap_usec_t now)
{
	ap_quota_customer_t *c = ap_quota_customer(q, ap_quota_tag(customer), now);

	if (!c)
		return;
	c->level += cost;
	c->share = fmin(c->share + cost, 0);
	c->used -= (int64_t)ceil(cost);
}

/* Returns what all instances admit of @c, in units per second. */
static double use_of(const ap_quota_customer_t *c, ap_usec_t now)
{
	double admitted;
	double asked;
	ap_usec_t age;

	sum_others(c, now, &admitted, &asked, &age);
	return admitted + ap_quota_rate(&c->admitted, now);
}

static void sum_use(ap_quota_t *q, ap_usec_t now)
{
	if (q->summed_at != 0 && now - q->summed_at < SUM_INTERVAL)
		return;
	q->summed_at = now;
	q->use = 0;
	q->entitled = 0;
	for (const ap_quota_customer_t *c = q->customers; c; c = c->hh.next) {
		double use = use_of(c, now);

		q->use += use;
		q->entitled += use > 0 ? c->rate : 0;
	}
}

double ap_quota_excess(ap_quota_t *q, const char *customer, ap_usec_t now)
{
	uint32_t tag = ap_quota_tag(customer);
	ap_quota_customer_t *c;

	HASH_FIND(hh, q->customers, &tag, sizeof(tag), c);
	if (!c || c->rate <= 0)
		return 0;
	sum_use(q, now);
	if (q->use <= 0 || q->entitled <= 0)
		return 0;
	return use_of(c, now) / q->use / (c->rate / q->entitled);
}
