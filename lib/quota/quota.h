/*
 * Allowances of customers over all instances. Each instance estimates one token bucket for each
 * customer from its own use and from what others report, and admits a request without asking them.
 * Others are sources: another instance of the own region, or a remote region as a whole. What a
 * silent source may use meanwhile is set aside. docs/design/allowances.md has the bounds.
 */
#ifndef AP_QUOTA_H
#define AP_QUOTA_H

#include "base/base.h"
#include "plan/customer.h"

typedef struct ap_quota ap_quota_t;

/**
 * struct ap_quota_config - what may be used beyond an allowance.
 * @window: span in which use is bounded, in microseconds
 * @over: share of the allowance of a window, and
 * @slack: units, that may be used beyond it
 */
typedef struct ap_quota_config {
	ap_usec_t window;
	double over;
	double slack;
} ap_quota_config_t;

/**
 * struct ap_quota_use - what one source, or this instance, reports of one customer.
 * @tag: ap_quota_tag() of the customer
 * @used: units since the source's start; refunds lower it
 * @lately: likewise, since the customer was last omitted from reports as it asked for nothing
 * @admitted: units per second, lately
 * @asked: likewise, with what was refused
 */
typedef struct ap_quota_use {
	uint32_t tag;
	int64_t used;
	int64_t lately;
	double admitted;
	double asked;
} ap_quota_use_t;

/**
 * struct ap_quota_verdict - a decision, with what it is based on.
 * @retry_after: of a refusal: after how long the request will fit, in microseconds
 * @level: units left in the bucket, as estimated; negative if it is overdrawn
 * @used_here, @used_elsewhere: units per second that this instance and the others admit
 * @age: since the oldest report that counts, in microseconds; 0 without other instances
 * @silent: share of the allowance that is set aside for silent sources
 */
typedef struct ap_quota_verdict {
	bool admitted;
	ap_usec_t retry_after;
	double level;
	double used_here;
	double used_elsewhere;
	ap_usec_t age;
	double silent;
} ap_quota_verdict_t;

/** ap_quota_new() - Return: NULL when out of memory. */
ap_quota_t *ap_quota_new(const ap_quota_config_t *config);
void ap_quota_free(ap_quota_t *q);
void ap_quota_configure(ap_quota_t *q, const ap_quota_config_t *config);
/** ap_quota_in_use() - returns whether any customers were named. */
bool ap_quota_in_use(const ap_quota_t *q);
/** ap_quota_tag() - returns the hash that stands for a customer in reports. */
uint32_t ap_quota_tag(const char *customer);
/** ap_quota_set_limits() - a new plan is in force; to be called before the first request of it. */
void ap_quota_set_limits(ap_quota_t *q, const ap_customer_t *customers, size_t n, ap_usec_t now);
/**
 * ap_quota_take() - decides whether a request of @c fits, and counts it if it does.
 * @cost: units, of ap_customer_cost()
 *
 * Return: @verdict->admitted.
 */
bool ap_quota_take(ap_quota_t *q, const ap_customer_t *c, double cost, ap_usec_t now,
		   ap_quota_verdict_t *verdict);
/**
 * ap_quota_is_over() - returns whether @customer has used up its allowance, as estimated. Counts
 * nothing.
 */
bool ap_quota_is_over(ap_quota_t *q, const ap_customer_t *customer, ap_usec_t now);
/** ap_quota_refund() - a request that was counted did not run. */
void ap_quota_refund(ap_quota_t *q, const char *customer, double cost, ap_usec_t now);

/* Sources: report.c */
/**
 * ap_quota_set_source() - a source exists; to be called for each of them, again and again, each
 * round being followed by ap_quota_end_sources().
 * @region: it is a remote region, of @weight instances
 */
void ap_quota_set_source(ap_quota_t *q, const char *id, bool region, unsigned weight,
			 ap_usec_t now);
/**
 * ap_quota_end_sources() - sources that were not named since the last call are gone. What they may
 * use unseen stays set aside for a while.
 */
void ap_quota_end_sources(ap_quota_t *q, ap_usec_t now);
/** ap_quota_retire_source() - the source has ended its work, so nothing is set aside for it. */
void ap_quota_retire_source(ap_quota_t *q, const char *id);
/**
 * ap_quota_heard() - a report of @source arrived.
 * @sender: the instance that sent it: @source itself, or one of the remote region. Of several
 *          senders of a region one counts at a time
 * @inc: incarnation of @sender
 * @silent: instances of the remote region that @sender doesn't hear
 */
void ap_quota_heard(ap_quota_t *q, const char *source, const char *sender, ap_id_t inc,
		    unsigned silent, const ap_quota_use_t *uses, size_t n, ap_usec_t now);
/** ap_quota_silent() - returns how many instances of the own region are silent. */
unsigned ap_quota_silent(const ap_quota_t *q, ap_usec_t now);
/**
 * ap_quota_report() - what this instance reports.
 * @region: for remote regions: the sums over the own region
 * @out: receives the customers who asked for something lately
 *
 * Return: the number written to @out, at most @max.
 */
size_t ap_quota_report(ap_quota_t *q, bool region, ap_quota_use_t *out, size_t max, ap_usec_t now);

/**
 * ap_quota_excess() - how much of what all customers use @customer uses, as a ratio to its part by
 * allowance among those who use some: 1 for its part, 0 if that isn't known. Without allowances,
 * parts are equal. Customers are compared with those who count the same unit.
 */
double ap_quota_excess(ap_quota_t *q, const char *customer, ap_usec_t now);

#endif
