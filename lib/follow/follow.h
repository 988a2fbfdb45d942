/*
 * Follows the platform's store: reads the list of all items once, then watches for changes at an
 * interval that keeps the number of calls low. Lost, refused or late responses, compacted history
 * and a store that returned to an older copy of itself are ordinary cases. A revision belongs to an
 * era of the store and is never compared with one of another era. Also keeps an instance's own key
 * registered there under a lease, and keeps a snapshot of what was read. The code here does no I/O
 * and reads no clock: calls go out through callbacks, responses and the time come in.
 */
#ifndef AP_FOLLOW_H
#define AP_FOLLOW_H

#include "base/base.h"

#define AP_STORE_KEY_MAX 256 /* bytes of a key with terminator; the store allows 200 */

/*
 * How a call to the store ended. The store is another service than the key-value service of
 * port/port.h, which has statuses of its own.
 */
typedef enum ap_store_end {
	AP_STORE_OK,
	AP_STORE_CONFLICT,  /* the condition does not hold; nothing changed */
	AP_STORE_ABSENT,    /* no such key or lease */
	AP_STORE_COMPACTED, /* the store has deleted the history that a watch requested */
	AP_STORE_REFUSED,   /* certainly not carried out */
	AP_STORE_UNSURE,    /* no complete response; the call may have been carried out */
} ap_store_end_t;

/**
 * struct ap_store_item - a key's last change, to a new value or by its removal.
 * @len: bytes of @value
 * @revision: of that change
 * @removed: the key was removed at @revision; there is no value
 */
typedef struct ap_store_item {
	const char *key;
	const void *value;
	size_t len;
	uint64_t revision;
	bool removed;
} ap_store_item_t;

/**
 * struct ap_store_read - response to a list or a watch; valid during the call that it is passed to.
 * @era: rises when the store has returned to an older copy of itself; 0 if unknown
 * @as_of: revision of the store that the response describes
 * @more: another page follows the last item
 * @age_max: the changes were made at most this long ago, in microseconds; 0 if unknown
 * @retry_after: of a refusal: how long the store wants no more calls, in microseconds; 0 if it
 *               doesn't ask
 */
typedef struct ap_store_read {
	ap_store_end_t end;
	const ap_store_item_t *items;
	size_t n;
	uint64_t era;
	uint64_t as_of;
	bool more;
	ap_usec_t age_max;
	ap_usec_t retry_after;
} ap_store_read_t;

typedef struct ap_follow ap_follow_t;

/**
 * struct ap_follow_config - set once at start; durations in microseconds.
 * @interval: between two reads; a change is noticed up to this much later
 * @wait: how long the store may wait for a change before it responds to a watch
 * @unavailable_after: without a response for this long the store counts as unavailable
 * @recovery_time: missing keys may still come back for this long after the store became available
 *	again
 * @list: requests the items after the key @after (empty for the first page)
 * @watch: requests the changes after @revision
 * @cancel: drops the call in progress, of which nothing more is heard; NULL if that can't be done
 * @listing: a complete list begins (@begin) or has ended
 * @item: delivers a key's last change
 * @relay: sends the changes after revision @after, which this instance has read, to the
 *	instances that don't watch the store themselves (ap_follow_stand_by()); may be NULL. @read
 *	says how old they may be
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
	void (*cancel)(void *ctx);
	void (*listing)(void *ctx, bool begin);
	void (*item)(void *ctx, const ap_store_item_t *item);
	void (*relay)(void *ctx, uint64_t after, const ap_store_read_t *read);
} ap_follow_config_t;

ap_follow_t *ap_follow_new(const ap_follow_config_t *config, ap_usec_t now);
void ap_follow_free(ap_follow_t *f);
/** ap_follow_tick() - makes the next call when it is due. */
void ap_follow_tick(ap_follow_t *f, ap_usec_t now);
/** ap_follow_due() - when to call ap_follow_tick() next; AP_NEVER while a call has to end first. */
ap_usec_t ap_follow_due(const ap_follow_t *f);
/** ap_follow_response() - the call in progress ended. */
void ap_follow_response(ap_follow_t *f, const ap_store_read_t *read, ap_usec_t now);
/** ap_follow_relist() - reads the complete list next, since the known items may be wrong. */
void ap_follow_relist(ap_follow_t *f, ap_usec_t now);
/** ap_follow_era() - returns the store's era to which the revisions belong; 0 if unknown. */
uint64_t ap_follow_era(const ap_follow_t *f);
/** ap_follow_revision() - returns the revision up to which this instance knows the store. */
uint64_t ap_follow_revision(const ap_follow_t *f);
/**
 * ap_follow_known_at() - returns a time at which the store had no change that isn't known here yet.
 * What @item delivers was made after it. 0 if no such time is known.
 */
ap_usec_t ap_follow_known_at(const ap_follow_t *f);
/**
 * ap_follow_read_at() - returns when the latest call that the store has answered was made: what was
 * written before is known here. 0 for none.
 */
ap_usec_t ap_follow_read_at(const ap_follow_t *f);
/**
 * ap_follow_unbroken_since() - returns since when no change has been missed, be it one that was
 * undone meanwhile; 0 while some may be missing.
 */
ap_usec_t ap_follow_unbroken_since(const ap_follow_t *f);
/**
 * ap_follow_refresh() - makes the next call soon and without waiting for a change, unless the store
 * is backed off from. It replaces a call that waits for a change. Several requests in a short time
 * share a call.
 */
void ap_follow_refresh(ap_follow_t *f, ap_usec_t now);
/**
 * ap_follow_last_change() - returns the revision of the last change that was read, or of the list
 * if that is later.
 */
uint64_t ap_follow_last_change(const ap_follow_t *f);
/**
 * ap_follow_stand_by() - suspends the instance's own watch while other instances watch the store
 * and relay its changes. Call it on each tick while they do.
 * @era: of the store, as they announced it; the list is read if it is later than the known one
 * @announced: revision of the last change that they announced; if that change isn't relayed
 *	shortly, one watch reads it from the store
 */
void ap_follow_stand_by(ap_follow_t *f, uint64_t era, uint64_t announced, ap_usec_t now);
/**
 * ap_follow_relayed() - applies changes that another instance read after revision @after. They are
 * ignored if changes between the revision that is known here and @after are missing, or if they are
 * of an earlier era; those of a later era make the list be read.
 */
void ap_follow_relayed(ap_follow_t *f, uint64_t after, const ap_store_read_t *read, ap_usec_t now);
/* Changes of the store after revision @after, up to @as_of. */
typedef struct ap_span {
	uint64_t era;
	uint64_t after;
	uint64_t as_of;
} ap_span_t;

/**
 * ap_follow_pass_on() - returns whether these changes are to be passed on: several instances read
 * and tell the same, and one copy is enough.
 */
bool ap_follow_pass_on(ap_follow_t *f, const ap_span_t *span);
/** ap_changes_pass_on() - likewise for a message of ap_changes_pack(); false if it is malformed. */
bool ap_changes_pass_on(ap_follow_t *f, const void *data, size_t len);
/**
 * ap_changes_pack() - packs the arguments of ap_follow_relayed() into a message.
 *
 * Return: the message, to be freed with free().
 */
void *ap_changes_pack(uint64_t after, const ap_store_read_t *read, size_t *len);
/** ap_changes_apply() - applies such a message to @f. Return: false when it is malformed. */
bool ap_changes_apply(ap_follow_t *f, const void *data, size_t len, ap_usec_t now);
/** ap_follow_watching() - returns whether this instance watches the store itself, successfully. */
bool ap_follow_watching(const ap_follow_t *f, ap_usec_t now);
/**
 * ap_follow_age() - time since the last response, or since the last standby tick without an
 * outstanding change; AP_NEVER before the first complete list.
 */
ap_usec_t ap_follow_age(const ap_follow_t *f, ap_usec_t now);
/**
 * ap_follow_wants_snapshot() - returns whether a snapshot of another instance is needed: nothing of
 * the list was read, and there is no snapshot from which the relayed changes continue.
 */
bool ap_follow_wants_snapshot(const ap_follow_t *f);
/**
 * ap_follow_take_snapshot() - returns whether to apply a snapshot, like a complete list, that
 * describes the store at @revision of @era (0 and 0 if unknown). It isn't applied if it is older
 * than what was read or than an earlier one. Until the list can be read, relayed changes are
 * applied to it.
 */
bool ap_follow_take_snapshot(ap_follow_t *f, uint64_t era, uint64_t revision);
/**
 * ap_follow_announced() - other instances know the store up to @revision of @era. A snapshot that
 * was taken is replaced if that change isn't relayed shortly.
 */
void ap_follow_announced(ap_follow_t *f, uint64_t era, uint64_t revision, ap_usec_t now);
/**
 * ap_follow_silent() - returns whether the store is silent: the last call failed, the response to
 * the one in progress is overdue, or no list has been read.
 */
bool ap_follow_silent(const ap_follow_t *f, ap_usec_t now);
/** ap_follow_failed() - returns whether the last call failed. */
bool ap_follow_failed(const ap_follow_t *f);
/**
 * ap_follow_recovering() - returns whether the store was unavailable until a short time ago, so
 * that missing keys may still come back.
 */
bool ap_follow_recovering(const ap_follow_t *f, ap_usec_t now);

typedef struct ap_snapshot ap_snapshot_t;

/*
 * A snapshot of the items that were read last, for an instance that starts while the store is
 * unavailable.
 */
ap_snapshot_t *ap_snapshot_new(void);
void ap_snapshot_free(ap_snapshot_t *snapshot);
/** ap_snapshot_put() - copies @item into the snapshot, or removes its key. */
void ap_snapshot_put(ap_snapshot_t *snapshot, const ap_store_item_t *item);
/**
 * ap_snapshot_listing() - a complete list begins (@begin) or has ended; at its end, items that it
 * did not contain are removed.
 */
void ap_snapshot_listing(ap_snapshot_t *snapshot, bool begin);
/**
 * ap_snapshot_pack() - packs all items into a message, except the key @without, which may be NULL.
 *
 * Return: the message, to be freed with free().
 */
void *ap_snapshot_pack(const ap_snapshot_t *snapshot, const char *without, size_t *len);
/**
 * ap_snapshot_unpack() - calls @item for each item of a packed snapshot.
 *
 * Return: false when @data is malformed; items before the error have been delivered.
 */
bool ap_snapshot_unpack(const void *data, size_t len, void *ctx,
			void (*item)(void *ctx, const ap_store_item_t *item));

/**
 * ap_snapshot_find() - finds the item of @key.
 * @item: set to it; its value is valid until the snapshot is changed
 */
bool ap_snapshot_find(const ap_snapshot_t *snapshot, const char *key, ap_store_item_t *item);

/**
 * struct ap_told_version - what an instance tells another one of its configuration.
 * @revision: of the store, at which the configuration was written
 * @value: the configuration as it is in the store
 * @len: bytes of @value; 0 to be told a newer version, if there is one
 */
typedef struct ap_told_version {
	uint64_t version;
	uint64_t revision;
	const void *value;
	size_t len;
} ap_told_version_t;

/** ap_version_pack() - Return: the message, to be freed with free(). */
void *ap_version_pack(const ap_told_version_t *told, size_t *len);
/**
 * ap_version_unpack() - calls @told with what such a message says; its value is valid during the
 * call.
 *
 * Return: false, without a call, when the message is malformed.
 */
bool ap_version_unpack(const void *data, size_t len, void *ctx,
		       void (*told)(void *ctx, const ap_told_version_t *told));

typedef struct ap_registration ap_registration_t;

/**
 * struct ap_registration_config - an instance's own key in the store, bound to a lease.
 * @ttl: microseconds from the last renewal until the lease expires
 * @create_lease: requests a new lease
 * @renew_lease: renews @lease
 * @put: writes the key under @lease if the key's revision is @revision; 0 if it must be absent
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
/** ap_registration_tick() - makes the next call when it is due. */
void ap_registration_tick(ap_registration_t *r, ap_usec_t now);
/** ap_registration_due() - when to call ap_registration_tick() next; AP_NEVER during a call. */
ap_usec_t ap_registration_due(const ap_registration_t *r);
/**
 * ap_registration_response() - the call in progress ended.
 * @lease_or_revision: the id of the new lease, or the key's revision after a put or a conflict
 */
void ap_registration_response(ap_registration_t *r, ap_store_end_t end, uint64_t lease_or_revision,
			      ap_usec_t now);
/**
 * ap_registration_set_era() - the store is known to be in @era. When that changes, the key is
 * written anew under a new lease: the old lease's id may have been given to another instance.
 */
void ap_registration_set_era(ap_registration_t *r, uint64_t era, ap_usec_t now);
/** ap_registration_update() - the key's value has changed: writes it again. */
void ap_registration_update(ap_registration_t *r, ap_usec_t now);
/** ap_registration_seen() - the key was read at @revision, or had been removed if that is 0. */
void ap_registration_seen(ap_registration_t *r, uint64_t revision, ap_usec_t now);

#endif
