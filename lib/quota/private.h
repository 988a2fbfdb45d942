/* Internal state and functions of lib/quota. */
#ifndef AP_QUOTA_PRIVATE_H
#define AP_QUOTA_PRIVATE_H

#include "quota/quota.h"

#include <uthash.h>

#define RATE_TIME 1.0	   /* seconds over which rates are averaged */
#define UNITS 2		   /* of ap_unit_t */
#define SENDERS_MAX 8	   /* of one remote region; relays pass on those of others */
#define CUSTOMERS_MAX 4096 /* more than a deployment's; the rest are not limited */

/* Rate of units, averaged over RATE_TIME. */
typedef struct ap_quota_rate {
	double per_s;
	ap_usec_t at;
} ap_quota_rate_t;

struct ap_quota_source;

/* What one sender last reported of a customer, as far as it was counted. */
typedef struct ap_quota_base {
	uint32_t sender;
	ap_id_t inc;
	int64_t used;
} ap_quota_base_t;

/**
 * struct ap_quota_entry - use of one customer at one source.
 * @at: time of the report that last named the customer
 * @admitted, @asked: as of then, in units per second
 * @assumed: units that were counted when the source fell silent
 * @source: NULL if the entry is not in use
 * @base: by sender; the first one of an instance is the instance itself
 */
typedef struct ap_quota_entry {
	struct ap_quota_source *source;
	ap_usec_t at;
	double admitted;
	double asked;
	double assumed;
	ap_quota_base_t base[SENDERS_MAX];
	size_t n_bases;
} ap_quota_entry_t;

/**
 * struct ap_quota_customer - the bucket of one customer.
 * @level: units left, as of @at, without what sources admitted since their last report
 * @share: units that this instance may use while the bucket is low; at most 0
 * @promised: until when refused requests were told to wait
 * @limited_at: when the limits were last set
 * @used: by this instance since its start
 * @steady: units per second that all instances use, averaged over some seconds
 * @omitted: what was used when the customer was last omitted from the reports to the own region,
 * and to the others
 * @elsewhere: by the other instances of the own region, as far as reported
 * @active_at: when this instance was last asked
 * @reported_at: when a source last named the customer
 * @listed: the plan in force names the customer
 * @entries: by the slot of their source
 */
typedef struct ap_quota_customer {
	UT_hash_handle hh;
	uint32_t tag;
	ap_unit_t unit;
	double rate;
	double burst;
	double level;
	double share;
	ap_usec_t at;
	ap_usec_t promised;
	ap_usec_t limited_at;
	int64_t used;
	int64_t elsewhere;
	int64_t omitted[2];
	ap_quota_rate_t admitted;
	ap_quota_rate_t asked;
	double steady;
	ap_usec_t active_at;
	ap_usec_t reported_at;
	bool listed;
	ap_quota_entry_t *entries;
	size_t n_entries;
} ap_quota_customer_t;

/**
 * struct ap_quota_source - another instance of the region, or a remote region.
 * @slot: index of its entries in those of the customers
 * @heard_at: when a report that counted arrived; 0 for never
 * @silent_at: since when its part is set aside; 0 while it isn't silent
 * @weight: number of instances, the highest one lately
 * @weight_at: when it was that
 * @silent: of these, that the region itself doesn't hear
 * @primary: tag of the sender that counts; 0 for none yet
 * @gone_at: when it was no longer listed; 0 while it is
 */
typedef struct ap_quota_source {
	UT_hash_handle hh;
	char id[AP_NAME_MAX];
	size_t slot;
	unsigned weight;
	ap_usec_t weight_at;
	unsigned silent;
	bool region;
	bool named;
	ap_usec_t heard_at;
	ap_usec_t silent_at;
	uint32_t primary;
	ap_usec_t gone_at;
} ap_quota_source_t;

/**
 * struct ap_quota - all customers and sources.
 * @in_use: the plan in force names customers
 * @next_report: where the next report begins, of this instance and of its region
 * @weight: number of all instances, this one included
 * @silent: of these, in silent sources
 * @counted_at: when these two were counted; 0 if they have to be counted again
 * @use: units per second that all customers use, by unit, as of @summed_at
 * @entitled: sum of the parts of the customers who use some, see part_of()
 */
struct ap_quota {
	ap_quota_config_t config;
	ap_quota_customer_t *customers;
	ap_quota_source_t *sources;
	bool in_use;
	ap_quota_customer_t *next_report[2];
	double weight;
	double silent;
	ap_usec_t counted_at;
	ap_usec_t summed_at;
	double use[UNITS];
	double entitled[UNITS];
};

/* quota.c */
/* Returns whether nothing was heard of the source lately. */
bool ap_quota_is_silent(const ap_quota_source_t *s, ap_usec_t now);
/* Returns whether what the entry says of its source still holds. */
bool ap_quota_entry_holds(const ap_quota_entry_t *e, ap_usec_t now);
/* Returns what the entry's source is likely to have admitted since its last report. */
double ap_quota_unreported(const ap_quota_entry_t *e, ap_usec_t now);
double ap_quota_rate(const ap_quota_rate_t *r, ap_usec_t now);
/* Returns the customer's state, made if there is none; NULL when out of memory or of room. */
ap_quota_customer_t *ap_quota_customer(ap_quota_t *q, uint32_t tag, ap_usec_t now);
/* Refills the bucket of @c up to @now. */
void ap_quota_refill(const ap_quota_t *q, ap_quota_customer_t *c, ap_usec_t now);
/* Limits what a customer has overdrawn to one burst. */
void ap_quota_forgive(ap_quota_customer_t *c);
/* Counts the instances and those that are silent, unless that was done just before. */
void ap_quota_recount(ap_quota_t *q, ap_usec_t now);

/* report.c */
/* A source fell silent: counts what it is likely to have admitted until its part is set aside. */
void ap_quota_set_aside(ap_quota_t *q, ap_quota_source_t *s, ap_usec_t now);

#endif
