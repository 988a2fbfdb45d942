/* Buckets of customers: refill, estimate and admission. */
#include "quota/private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SILENT_AFTER (1500 * AP_MSEC) /* above the longest interval of reports */
#define LOW_SHARE 0.5		      /* of the burst; below it instances keep to their shares */
#define TOLERANCE_USED 0.25	      /* of what may be used beyond the allowance */
#define BURST_MIN_S 0.25 /* seconds of the rate; a smaller burst would fit no request */
#define PACE_MIN 0.25	 /* limits of the rate in use, to that of the allowance, */
#define PACE_MAX 2.0	 /* while the bucket is overdrawn or fills */
#define STEADY_TIME 4.0	 /* seconds over which the use by customer is averaged */
#define SUM_INTERVAL (200 * AP_MSEC)
#define RECOUNT_INTERVAL (50 * AP_MSEC) /* far below SILENT_AFTER */
#define KEPT_TIME (60 * AP_SEC) /* for customers who are no longer listed, since their last use */
#define USE_MIN 0.01		/* units per second, of a customer who counts as using some */
#define COST_MAX 1e15		/* units of one request; sums of them fit into 64 bits */
#define WAIT_MIN (50 * AP_MSEC)
#define WAIT_MAX (30 * AP_SEC)
#define QUEUE_SHARE 0.5		/* of the rate, for those who come back; the rest is for others */
#define QUEUE_MAX (10 * AP_SEC) /* many of those who are refused don't come back */

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
	ap_quota_source_t *s;

	if (!q)
		return;
	c = q->customers;
	s = q->sources;
	HASH_CLEAR(hh, q->customers);
	HASH_CLEAR(hh, q->sources);
	while (c) {
		ap_quota_customer_t *next = c->hh.next;

		free(c->entries);
		free(c);
		c = next;
	}
	while (s) {
		ap_quota_source_t *next = s->hh.next;

		free(s);
		s = next;
	}
	free(q);
}

void ap_quota_configure(ap_quota_t *q, const ap_quota_config_t *config)
{
	q->config = *config;
}

bool ap_quota_in_use(const ap_quota_t *q)
{
	return q->in_use;
}

/* A clock that was set back makes no span negative. */
static double seconds(ap_usec_t span)
{
	return span > 0 ? (double)span / (double)AP_SEC : 0;
}

double ap_quota_rate(const ap_quota_rate_t *r, ap_usec_t now)
{
	return r->per_s * exp(-seconds(now - r->at) / RATE_TIME);
}

static void count_rate(ap_quota_rate_t *r, double units, ap_usec_t now)
{
	r->per_s = ap_quota_rate(r, now) + units / RATE_TIME;
	r->at = now;
}

bool ap_quota_is_silent(const ap_quota_source_t *s, ap_usec_t now)
{
	return s->heard_at == 0 || now - s->heard_at > SILENT_AFTER;
}

bool ap_quota_entry_holds(const ap_quota_entry_t *e, ap_usec_t now)
{
	return e->source && now - e->at <= SILENT_AFTER && !ap_quota_is_silent(e->source, now);
}

void ap_quota_recount(ap_quota_t *q, ap_usec_t now)
{
	ap_quota_source_t *s;

	if (q->counted_at != 0 && now >= q->counted_at && now - q->counted_at < RECOUNT_INTERVAL)
		return;
	q->counted_at = now;
	q->weight = 1;
	q->silent = 0;
	for (s = q->sources; s; s = s->hh.next) {
		q->weight += s->weight;
		if (ap_quota_is_silent(s, now)) {
			q->silent += s->weight;
			if (s->silent_at == 0)
				ap_quota_set_aside(q, s, now);
		} else
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

static void cap(const ap_quota_t *q, ap_quota_customer_t *c)
{
	c->level = fmin(c->level, burst_of(c) * known_part(q));
}

void ap_quota_refill(const ap_quota_t *q, ap_quota_customer_t *c, ap_usec_t now)
{
	if (now == c->at)
		return;
	c->level += c->rate * known_part(q) * seconds(now - c->at);
	c->at = now;
	cap(q, c);
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

void ap_quota_forgive(ap_quota_customer_t *c)
{
	c->level = fmax(c->level, -burst_of(c));
	c->share = fmax(c->share, -burst_of(c));
}

/*
 * Applies the limits of the plan in force; a bucket that had none begins full. What was used
 * beyond the new limits under the old ones isn't made up for.
 */
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
	c->limited_at = now;
	cap(q, c);
	ap_quota_forgive(c);
}

static void drop_customer(ap_quota_t *q, ap_quota_customer_t *c)
{
	for (size_t i = 0; i < 2; i++) {
		if (q->next_report[i] == c)
			q->next_report[i] = c->hh.next;
	}
	HASH_DEL(q->customers, c); /* NOLINT(clang-analyzer-unix.Malloc) */
	free(c->entries);
	free(c);
}

/* Customers of earlier plans are kept while others may still report their use. */
static void drop_unlisted(ap_quota_t *q, ap_usec_t now)
{
	ap_quota_customer_t *c;
	ap_quota_customer_t *next;

	HASH_ITER (hh, q->customers, c, next) {
		if (!c->listed && now - c->active_at > KEPT_TIME &&
		    now - c->reported_at > KEPT_TIME)
			drop_customer(q, c);
	}
}

void ap_quota_set_limits(ap_quota_t *q, const ap_customer_t *customers, size_t n, ap_usec_t now)
{
	ap_quota_recount(q, now);
	q->in_use = n > 0;
	for (ap_quota_customer_t *c = q->customers; c; c = c->hh.next)
		c->listed = false;
	for (size_t i = 0; i < n; i++) {
		ap_quota_customer_t *c;
		uint32_t tag = ap_quota_tag(customers[i].name);

		HASH_FIND(hh, q->customers, &tag, sizeof(tag), c);
		if (c)
			c->listed = true;
	}
	drop_unlisted(q, now);
	for (size_t i = 0; i < n; i++) {
		ap_quota_customer_t *c = ap_quota_customer(q, ap_quota_tag(customers[i].name), now);

		if (!c)
			continue;
		c->listed = true;
		c->unit = customers[i].unit;
		if (c->rate != customers[i].rate || c->burst != customers[i].burst)
			set_limits(q, c, &customers[i], now);
	}
}

double ap_quota_unreported(const ap_quota_entry_t *e, ap_usec_t now)
{
	return e->admitted * seconds(now - e->at);
}

/* What the other sources are likely to have admitted since their last reports. */
static double unreported(const ap_quota_customer_t *c, ap_usec_t now)
{
	double units = 0;

	for (size_t i = 0; i < c->n_entries; i++) {
		if (ap_quota_entry_holds(&c->entries[i], now))
			units += ap_quota_unreported(&c->entries[i], now);
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
		if (now - e->at > *age)
			*age = now - e->at;
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
	c->promised = at + wait_for(cost, QUEUE_SHARE * per_s);
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

/* Returns this instance's part of an allowance, by what it is asked for. */
static double own_part(const ap_quota_t *q, const ap_quota_customer_t *c, double asked_elsewhere,
		       ap_usec_t now)
{
	double asked = ap_quota_rate(&c->asked, now);

	return asked > 0 ? asked / (asked + asked_elsewhere) : 1 / q->weight;
}

/*
 * Returns the rate that this instance may use while the bucket is low: its part of a rate that
 * brings the bucket back to empty if it is overdrawn.
 */
static double own_share(const ap_quota_t *q, const ap_quota_customer_t *c, double level,
			double part)
{
	double pace = fmin(fmax(1 + level / burst_of(c), PACE_MIN), PACE_MAX);

	return c->rate * known_part(q) * pace * part;
}

/*
 * Returns the units that this instance may use at once while the bucket is low: its part of what is
 * left, and more of it near @low, above which it may use all.
 */
static double own_credit(double level, double low, double part)
{
	return level > 0 && level < low ? part * level / (1 - level / low) : 0;
}

static void admit(ap_quota_customer_t *c, double cost, ap_usec_t now)
{
	c->level -= cost;
	c->share -= cost;
	c->used += (int64_t)ceil(cost);
	count_rate(&c->admitted, cost, now);
}

/* Returns the cost above which a request would break the bound by itself; at least one request. */
static double window_max(const ap_quota_t *q, const ap_quota_customer_t *c)
{
	double allowed = c->rate * seconds(q->config.window) + c->burst;

	return fmax((1 + q->config.over) * allowed + q->config.slack, 1);
}

static bool decide(ap_quota_t *q, ap_quota_customer_t *c, double cost, ap_usec_t since,
		   ap_usec_t now, ap_quota_verdict_t *v)
{
	double asked_elsewhere;
	double part;
	double share;
	double credit;
	double low;
	double fits;

	if (cost > window_max(q, c)) {
		v->admitted = false;
		v->retry_after = WAIT_MAX;
		return false;
	}
	ap_quota_refill(q, c, now);
	sum_others(c, now, &v->used_elsewhere, &asked_elsewhere, &v->age);
	v->level = c->level - unreported(c, now);
	v->used_here = ap_quota_rate(&c->admitted, now);
	v->silent = q->silent / q->weight;
	part = own_part(q, c, asked_elsewhere, now);
	share = own_share(q, c, v->level, part);
	low = LOW_SHARE * burst_of(c) * known_part(q);
	credit = own_credit(v->level, low, part);
	c->share = fmin(c->share + share * seconds(now - since), 0);
	/* A request of more than the burst fits into a full bucket. */
	fits = fmin(cost, burst_of(c) * known_part(q));
	if (v->level >= low) {
		v->admitted = v->level + tolerance_of(q, c) >= fits;
		if (!v->admitted)
			v->retry_after =
				queue_wait(c, wait_for(fits - v->level, c->rate * known_part(q)),
					   cost, c->rate * known_part(q), now);
	} else {
		v->admitted =
			c->share + credit >= 0 && v->level > -2 * tolerance_of(q, c) - burst_of(c);
		if (!v->admitted)
			v->retry_after = queue_wait(c, wait_for(-c->share - credit, share), cost,
						    share, now);
	}
	return v->admitted;
}

bool ap_quota_take(ap_quota_t *q, const ap_customer_t *limits, double cost, ap_usec_t now,
		   ap_quota_verdict_t *v)
{
	ap_quota_customer_t *c = ap_quota_customer(q, ap_quota_tag(limits->name), now);
	ap_usec_t since;

	*v = (ap_quota_verdict_t){.admitted = true};
	cost = fmin(cost, COST_MAX);
	if (!c)
		return true;
	ap_quota_recount(q, now);
	since = c->active_at ? c->active_at : now;
	c->active_at = now;
	count_rate(&c->asked, cost, now);
	if (c->rate != limits->rate || c->burst != limits->burst)
		set_limits(q, c, limits, now);
	if (cost > 0 && ap_customer_limited(limits) && !decide(q, c, cost, since, now, v))
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
	uint32_t tag = ap_quota_tag(customer);
	ap_quota_customer_t *c;

	HASH_FIND(hh, q->customers, &tag, sizeof(tag), c);
	if (!c)
		return;
	cost = fmin(cost, COST_MAX);
	ap_quota_refill(q, c, now);
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

/* Customers are entitled to parts of what there is by their allowances; without one, as to 1. */
static double part_of(const ap_quota_customer_t *c)
{
	return c->rate > 0 ? c->rate : 1;
}

/*
 * Averages what customers use over some seconds, as a few large requests are no flood. Customers
 * are compared with those who count the same unit.
 */
static void sum_use(ap_quota_t *q, ap_usec_t now)
{
	double gain = 1 - exp(-seconds(now - q->summed_at) / STEADY_TIME);

	if (q->summed_at != 0 && now >= q->summed_at && now - q->summed_at < SUM_INTERVAL)
		return;
	if (q->summed_at == 0 || now < q->summed_at)
		gain = 1;
	q->summed_at = now;
	memset(q->use, 0, sizeof(q->use));
	memset(q->entitled, 0, sizeof(q->entitled));
	for (ap_quota_customer_t *c = q->customers; c; c = c->hh.next) {
		c->steady += gain * ((c->listed ? use_of(c, now) : 0) - c->steady);
		q->use[c->unit] += c->steady;
		q->entitled[c->unit] += c->steady >= USE_MIN ? part_of(c) : 0;
	}
}

double ap_quota_excess(ap_quota_t *q, const char *customer, ap_usec_t now)
{
	uint32_t tag = ap_quota_tag(customer);
	ap_quota_customer_t *c;

	HASH_FIND(hh, q->customers, &tag, sizeof(tag), c);
	if (!c)
		return 0;
	sum_use(q, now);
	if (q->use[c->unit] <= 0 || q->entitled[c->unit] <= 0)
		return 0;
	return c->steady / q->use[c->unit] / (part_of(c) / q->entitled[c->unit]);
}
