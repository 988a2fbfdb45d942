/*
 * A budget of bytes and connections: who gives way when clients hold more than a process may. The
 * code here does no I/O and reads no clock.
 */
#ifndef AP_BUDGET_H
#define AP_BUDGET_H

#include "base/base.h"

#include <sys/queue.h>

/**
 * struct ap_budget_entry - what one connection holds; embedded in the owner's object.
 * @held: bytes
 * @since: when the request began to arrive; of a response, since when its bytes have waited for the
 *	caller on average
 * @kept: doesn't give way, such as a request that may be at an upstream
 * @answering: the bytes are those of a response, and of its request
 */
typedef struct ap_budget_entry {
	LIST_ENTRY(ap_budget_entry) link;
	size_t held;
	ap_usec_t since;
	bool kept;
	bool answering;
} ap_budget_entry_t;

typedef enum ap_budget_level {
	AP_BUDGET_FREE,
	AP_BUDGET_TIGHT, /* large requests are not read for now */
	AP_BUDGET_FULL,	 /* an entry has to give way at once */
} ap_budget_level_t;

/**
 * struct ap_budget - set up by ap_budget_init(); members are read only.
 * @limit: bytes
 * @used: bytes that all entries hold
 * @connections: most entries
 * @n: entries
 */
typedef struct ap_budget {
	LIST_HEAD(, ap_budget_entry) entries;
	size_t limit;
	size_t used;
	size_t connections;
	size_t n;
} ap_budget_t;

void ap_budget_init(ap_budget_t *budget, size_t limit, size_t connections);
/** ap_budget_add() - adds an entry that holds nothing; it must stay until ap_budget_remove(). */
void ap_budget_add(ap_budget_t *budget, ap_budget_entry_t *entry, ap_usec_t now);
void ap_budget_remove(ap_budget_t *budget, ap_budget_entry_t *entry);
/** ap_budget_charge() - states how many bytes @entry holds now. */
void ap_budget_charge(ap_budget_t *budget, ap_budget_entry_t *entry, size_t held);
ap_budget_level_t ap_budget_level(const ap_budget_t *budget);
/**
 * ap_budget_may_read() - whether @entry may grow. While the budget is tight, only requests that
 * hold a small part of it may.
 */
bool ap_budget_may_read(const ap_budget_t *budget, const ap_budget_entry_t *entry);
/** ap_budget_is_large() - whether @bytes are a part of the budget that is worth freeing. */
bool ap_budget_is_large(const ap_budget_t *budget, size_t bytes);
/** ap_budget_read() - the caller has read @bytes of a response, and @left remain. */
void ap_budget_read(ap_budget_entry_t *entry, size_t bytes, size_t left, ap_usec_t now);
/**
 * ap_budget_may_give_way() - whether @entry may, for want of memory. A response may once its bytes
 * have waited for a second, or, if the budget is full, it is large: a small one that was just
 * written would be lost for nothing.
 */
bool ap_budget_may_give_way(const ap_budget_t *budget, const ap_budget_entry_t *entry,
			    ap_usec_t now);
/**
 * ap_budget_worst() - the entry that gives way for want of memory: of those that may, the one with
 * the largest product of bytes and time. So a body that arrives at the pace of others, and a small
 * request, stay.
 *
 * Return: NULL if none may give way.
 */
ap_budget_entry_t *ap_budget_worst(const ap_budget_t *budget, ap_usec_t now);
/**
 * ap_budget_oldest() - the entry that gives way where there are too many connections: the one that
 * has made no progress for longest; no response that is being read.
 *
 * Return: NULL if none may give way.
 */
ap_budget_entry_t *ap_budget_oldest(const ap_budget_t *budget, ap_usec_t now);

#endif
