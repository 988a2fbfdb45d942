/*
 * Reading the platform's store: one whole list, then its changes at a pace that costs few calls.
 * Answers that are lost, refused or late, and history that is gone, are ordinary cases. And the
 * lease under which an instance enters itself there. Pure decisions: calls go out through
 * callbacks, answers and time come in.
 */
#ifndef AP_FOLLOW_H
#define AP_FOLLOW_H

#include "base/base.h"

#define AP_STORE_KEY_MAX 256 /* bytes of a key with terminator; the store allows 200 */

/* How a call to the store ended. */
typedef enum ap_store_end {
	AP_STORE_OK,
	AP_STORE_CONFLICT,  /* the condition does not hold; nothing changed */
	AP_STORE_ABSENT,    /* no such key or lease */
	AP_STORE_COMPACTED, /* history that a watch asked for is gone */
	AP_STORE_REFUSED,   /* certainly not carried out */
	AP_STORE_UNSURE,    /* no whole answer: it may have been carried out */
} ap_store_end_t;

/**
 * struct ap_store_item - a key as it is now, or that it was removed.
 */
typedef struct ap_store_item {
	const char *key;
	const void *value;
	size_t len;
	uint64_t revision;
	bool removed;
} ap_store_item_t;

/**
 * struct ap_store_read - answer to a list or a watch; valid during the call that takes it.
 * @as_of: revision that the answer describes
 * @more: another page follows the last item
 */
typedef struct ap_store_read {
	ap_store_end_t end;
	const ap_store_item_t *items;
	size_t n;
	uint64_t as_of;
	bool more;
} ap_store_read_t;

typedef struct ap_follow ap_follow_t;

/**
 * struct ap_follow_config - made once at start.
 * @pace: time between two reads; a change is known that much later
 * @wait: how long the store may hold a watch back
 * @unavailable_after: without an answer for this long the store counts as away
 * @unsure: how long after its return what is missing may come back
 * @list: asks for the items after @after (empty for the first page)
 * @watch: asks for the changes after @revision
 * @listing: a whole list begins (@begin) or ended
 * @item: a key as it is now, or removed
 * @pass: this instance watches for others too, and read these changes after @after; may be NULL
 */
typedef struct ap_follow_config {
	ap_usec_t interval;
	ap_usec_t wait;
	ap_usec_t unavailable_after;
	ap_usec_t recovery_time;
	uint64_t seed;
	void *ctx;
	void (*list)(void *ctx, const char *after);
	void (*watch)(void *ctx, uint64_t revision, ap_usec_t wait);
	void (*listing)(void *ctx, bool begin);
	void (*item)(void *ctx, const ap_store_item_t *item);
	void (*relay)(void *ctx, uint64_t after, const ap_store_read_t *read);
} ap_follow_config_t;

ap_follow_t *ap_follow_new(const ap_follow_config_t *config, ap_usec_t now);
void ap_follow_free(ap_follow_t *f);
/** ap_follow_tick() - makes the next call when it is due. */
void ap_follow_tick(ap_follow_t *f, ap_usec_t now);
/** ap_follow_due() - when ap_follow_tick() has something to do; AP_NEVER during a call. */
ap_usec_t ap_follow_due(const ap_follow_t *f);
/** ap_follow_response() - the call under way ended. */
void ap_follow_response(ap_follow_t *f, const ap_store_read_t *read, ap_usec_t now);
/** ap_follow_relist() - what is known is in doubt: read the whole list next. */
void ap_follow_relist(ap_follow_t *f, ap_usec_t now);
/** ap_follow_last_change() - revision of the last change that was read. */
uint64_t ap_follow_last_change(const ap_follow_t *f);
/**
 * ap_follow_stand_by() - others watch the store and pass changes on: no watch of our own is needed,
 * but one when the last change that they told of, @told, has not come for a moment. To be called
 * each tick while that is so.
 */
void ap_follow_stand_by(ap_follow_t *f, uint64_t told, ap_usec_t now);
/**
 * ap_follow_relayed() - another instance read these changes after revision @after. Taken only if
 * nothing is missing between what was read here and @after.
 */
void ap_follow_relayed(ap_follow_t *f, uint64_t after, const ap_store_read_t *read, ap_usec_t now);
/** ap_changes_pack() - what ap_follow_relayed() takes, as a message. Return: bytes to free(). */
void *ap_changes_pack(uint64_t after, const ap_store_read_t *read, size_t *len);
/** ap_changes_apply() - gives such a message to @f. Return: false when it can't be read. */
bool ap_changes_apply(ap_follow_t *f, const void *data, size_t len, ap_usec_t now);
/** ap_follow_watching() - does it ask the store itself, with success so far? */
bool ap_follow_watching(const ap_follow_t *f, ap_usec_t now);
/** ap_follow_age() - time since the last answer; AP_NEVER before the first list was whole. */
ap_usec_t ap_follow_age(const ap_follow_t *f, ap_usec_t now);
/** ap_follow_failed() - did the last call bring no answer? */
bool ap_follow_failed(const ap_follow_t *f);
/** ap_follow_recovering() - was the store away just now, so that missing keys may come back? */
bool ap_follow_recovering(const ap_follow_t *f, ap_usec_t now);

typedef struct ap_snapshot ap_snapshot_t;

/*
 * What was read last, for an instance that starts while the store is away.
 */
ap_snapshot_t *ap_snapshot_new(void);
void ap_snapshot_free(ap_snapshot_t *snapshot);
void ap_snapshot_put(ap_snapshot_t *snapshot, const ap_store_item_t *item);
/** ap_snapshot_listing() - a whole list begins, or has ended: what was not in it goes. */
void ap_snapshot_listing(ap_snapshot_t *snapshot, bool begin);
/** ap_snapshot_pack() - all but the item @without, which may be NULL. Return: bytes to free(). */
void *ap_snapshot_pack(const ap_snapshot_t *snapshot, const char *without, size_t *len);
/** ap_snapshot_unpack() - shows each item of packed ones. Return: false when they can't be read. */
bool ap_snapshot_unpack(const void *data, size_t len, void *ctx,
			void (*item)(void *ctx, const ap_store_item_t *item));

typedef struct ap_registration ap_registration_t;

/**
 * struct ap_registration_config - the key of one instance, bound to a lease.
 * @ttl: life of the lease after its last renewal
 * @lease: asks for a lease
 * @keep: renews it
 * @put: writes the key under @lease if its revision is @revision, 0 for none
 */
typedef struct ap_registration_config {
	ap_usec_t ttl;
	void *ctx;
	void (*create_lease)(void *ctx, ap_usec_t ttl);
	void (*renew_lease)(void *ctx, uint64_t lease);
	void (*put)(void *ctx, uint64_t lease, uint64_t revision);
} ap_registration_config_t;

ap_registration_t *ap_registration_new(const ap_registration_config_t *config, ap_usec_t now);
void ap_registration_free(ap_registration_t *r);
void ap_registration_tick(ap_registration_t *r, ap_usec_t now);
ap_usec_t ap_registration_due(const ap_registration_t *r);
/**
 * ap_registration_response() - the call under way ended.
 * @number: the lease that was made, or the key's revision
 */
void ap_registration_response(ap_registration_t *r, ap_store_end_t end, uint64_t number,
			      ap_usec_t now);
/** ap_registration_update() - the key's value is another one now: write it again. */
void ap_registration_update(ap_registration_t *r, ap_usec_t now);
/** ap_registration_seen() - the key was read from the store at @revision, 0 when it was removed. */
void ap_registration_seen(ap_registration_t *r, uint64_t revision, ap_usec_t now);

#endif
