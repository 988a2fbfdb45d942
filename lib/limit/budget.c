/* Who gives way when clients hold more than a process may. */
#include "limit/budget.h"

/* Above this part of the limit, reading of large requests stops. */
#define TIGHT_NUMERATOR 3
#define TIGHT_DENOMINATOR 4
/* Up to this part of the limit a request is small: it is read also while the budget is tight. */
#define SMALL_DIVISOR 128
#define UNREAD_MIN AP_SEC /* from then on a response counts as unread */
#define AGE_MIN AP_MSEC	  /* so that bytes decide between entries that have just begun */

void ap_budget_init(ap_budget_t *budget, size_t limit, size_t connections)
{
	*budget = (ap_budget_t){.limit = limit, .connections = connections};
	LIST_INIT(&budget->entries);
}

void ap_budget_add(ap_budget_t *budget, ap_budget_entry_t *entry, ap_usec_t now)
{
	*entry = (ap_budget_entry_t){.since = now};
	LIST_INSERT_HEAD(&budget->entries, entry, link);
	budget->n++;
}

void ap_budget_remove(ap_budget_t *budget, ap_budget_entry_t *entry)
{
	ap_budget_charge(budget, entry, 0);
	LIST_REMOVE(entry, link);
	budget->n--;
}

void ap_budget_charge(ap_budget_t *budget, ap_budget_entry_t *entry, size_t held)
{
	budget->used += held - entry->held;
	entry->held = held;
}

ap_budget_level_t ap_budget_level(const ap_budget_t *budget)
{
	if (budget->used > budget->limit)
		return AP_BUDGET_FULL;
	return budget->used > budget->limit / TIGHT_DENOMINATOR * TIGHT_NUMERATOR ? AP_BUDGET_TIGHT
										  : AP_BUDGET_FREE;
}

bool ap_budget_may_read(const ap_budget_t *budget, const ap_budget_entry_t *entry)
{
	return ap_budget_level(budget) == AP_BUDGET_FREE ||
	       !ap_budget_is_large(budget, entry->held);
}

bool ap_budget_is_large(const ap_budget_t *budget, size_t bytes)
{
	return bytes > budget->limit / SMALL_DIVISOR;
}

static double weight_of(const ap_budget_entry_t *entry, ap_usec_t now)
{
	ap_usec_t age = now - entry->since;

	return (double)entry->held * (double)(age > AGE_MIN ? age : AGE_MIN);
}

void ap_budget_read(ap_budget_entry_t *entry, size_t bytes, size_t left, ap_usec_t now)
{
	if (bytes > 0)
		entry->since += (ap_usec_t)((double)(now - entry->since) * (double)bytes /
					    (double)(bytes + left));
}

static bool is_being_read(const ap_budget_entry_t *entry, ap_usec_t now)
{
	return entry->answering && now - entry->since < UNREAD_MIN;
}

bool ap_budget_may_give_way(const ap_budget_t *budget, const ap_budget_entry_t *entry,
			    ap_usec_t now)
{
	if (entry->kept || entry->held == 0)
		return false;
	return !is_being_read(entry, now) || (ap_budget_level(budget) == AP_BUDGET_FULL &&
					      ap_budget_is_large(budget, entry->held));
}

ap_budget_entry_t *ap_budget_worst(const ap_budget_t *budget, ap_usec_t now)
{
	ap_budget_entry_t *worst = NULL;
	ap_budget_entry_t *entry;
	double most = 0;

	LIST_FOREACH (entry, &budget->entries, link) {
		if (!ap_budget_may_give_way(budget, entry, now) || weight_of(entry, now) <= most)
			continue;
		most = weight_of(entry, now);
		worst = entry;
	}
	return worst;
}

ap_budget_entry_t *ap_budget_oldest(const ap_budget_t *budget, ap_usec_t now)
{
	ap_budget_entry_t *oldest = NULL;
	ap_budget_entry_t *entry;

	LIST_FOREACH (entry, &budget->entries, link) {
		if (!entry->kept && !is_being_read(entry, now) &&
		    (!oldest || entry->since < oldest->since))
			oldest = entry;
	}
	return oldest;
}
