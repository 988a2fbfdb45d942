/* Reads the complete list, then watches for changes; reads the list again after compaction. */
#include "follow/follow.h"

#include <stdlib.h>
#include <string.h>

#define BACKOFF_INITIAL (150 * AP_MSEC)
#define BACKOFF_MAX (800 * AP_MSEC)
#define RETRY_AFTER_MAX (2 * AP_SEC)   /* longer, changes would be in force too late */
#define ANNOUNCED_WAIT (150 * AP_MSEC) /* an announced change should have been relayed by then */
#define OVERDUE (300 * AP_MSEC)	       /* a few round trips between regions */
/* Changes that are relayed later have been read from the store by then, as ANNOUNCED_WAIT is over.
 */
#define RELAY_TIME ANNOUNCED_WAIT
#define REFRESH_INTERVAL (100 * AP_MSEC) /* between calls that are asked for */
#define JITTER 0.2 /* random part of a pause, so that instances don't call at the same time */

#define SPANS_MAX 16 /* of changes that are remembered as passed on */

typedef enum state {
	STATE_LIST,
	STATE_WATCH,
} state_t;

struct ap_follow {
	ap_follow_config_t config;
	ap_rng_t rng;
	state_t state;
	bool calling;
	ap_usec_t response_by; /* when the response to the call in progress is overdue */
	bool relist;
	bool listed; /* a list has been read to its end */
	/*
	 * Until the first page: a snapshot of another instance was taken, and whether the changes
	 * relayed since continue from it, so that it is known up to @as_of.
	 */
	bool has_snapshot;
	bool seeded;
	ap_usec_t behind_since; /* the snapshot lacks an announced change; 0 for not */
	char after[AP_STORE_KEY_MAX];
	uint64_t era; /* that all revisions below belong to; 0 until a response stated one */
	uint64_t as_of;
	uint64_t watched_from; /* revision after which the call in progress requests changes */
	/* Changes after revision @as_of, and after @watched_from, were made after these times. */
	ap_usec_t known_at;
	ap_usec_t watched_known_at;
	ap_usec_t called_at;
	ap_usec_t read_at;	  /* @called_at of the latest call that was answered */
	bool refresh;		  /* a call is wanted soon */
	bool unshared;		  /* the call in progress was wanted while others watch for all */
	ap_usec_t call_wait;	  /* how long the store may wait before it responds */
	ap_usec_t listed_at;	  /* when the first page of the list was requested, */
	ap_usec_t unbroken_since; /* and the last one: what went meanwhile may be in neither */
	ap_usec_t ticked_at;
	uint64_t list_as_of;
	uint64_t last_change;
	uint64_t announced;   /* revision of an announced change that is still to be read, or 0 */
	ap_usec_t standby_at; /* when this instance was last on standby */
	ap_usec_t due;
	ap_usec_t last_response_at;
	ap_usec_t available_again_at; /* when the store last became available again */
	ap_usec_t backoff;
	ap_span_t passed_on[SPANS_MAX]; /* ring */
	size_t n_passed_on;		/* so far */
};

ap_follow_t *ap_follow_new(const ap_follow_config_t *config, ap_usec_t now)
{
	ap_follow_t *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->config = *config;
	f->due = now;
	f->last_response_at = now;
	f->ticked_at = now;
	f->available_again_at = -config->recovery_time;
	ap_rng_seed(&f->rng, config->seed);
	return f;
}

void ap_follow_free(ap_follow_t *f)
{
	free(f);
}

/* Returns whether the list has been read, or its first page. */
static bool has_begun(const ap_follow_t *f)
{
	return f->listed || f->after[0] != '\0';
}

static ap_usec_t add_jitter(ap_follow_t *f, ap_usec_t pause)
{
	return pause + (ap_usec_t)((ap_rng_unit(&f->rng) - 0.5) * JITTER * (double)pause);
}

/* Returns a random part of @span, so that instances don't call at the same time. */
static ap_usec_t some_of(ap_follow_t *f, ap_usec_t span)
{
	return (ap_usec_t)(ap_rng_unit(&f->rng) * (double)span);
}

static void begin_list(ap_follow_t *f)
{
	f->state = STATE_LIST;
	f->after[0] = '\0';
	f->relist = false;
}

static void watch(ap_follow_t *f)
{
	/* After a failure, an answer at once shows that the store is there. */
	ap_usec_t wait = f->announced || f->refresh || f->backoff ? 0 : f->config.wait;

	f->unshared = f->refresh && f->called_at - f->standby_at <= f->config.interval;
	f->refresh = false;
	f->watched_from = f->as_of;
	f->watched_known_at = f->known_at;
	f->call_wait = wait;
	f->response_by += wait;
	f->config.watch(f->config.ctx, f->as_of, wait);
}

/* Returns whether the call in progress waits for a change, and a reading is wanted before. */
static bool is_in_the_way(const ap_follow_t *f)
{
	return f->calling && f->refresh && f->call_wait > 0 && f->backoff == 0 && !f->relist &&
	       f->config.cancel;
}

void ap_follow_tick(ap_follow_t *f, ap_usec_t now)
{
	f->ticked_at = now;
	if (is_in_the_way(f) && now >= f->called_at + REFRESH_INTERVAL) {
		f->config.cancel(f->config.ctx);
		f->calling = false;
		f->due = now;
	}
	if (f->calling || now < f->due)
		return;
	if (f->relist)
		begin_list(f);
	f->calling = true;
	f->called_at = now;
	f->call_wait = 0;
	f->response_by = now + OVERDUE;
	if (f->state == STATE_LIST)
		f->config.list(f->config.ctx, f->after);
	else
		watch(f);
}

ap_usec_t ap_follow_due(const ap_follow_t *f)
{
	if (is_in_the_way(f))
		return f->called_at + REFRESH_INTERVAL;
	return f->calling ? AP_NEVER : f->due;
}

/*
 * Items up to revision @known are skipped: they, or newer items of their keys, have been delivered
 * already. Returns the number of items that were delivered.
 */
static size_t deliver_items(ap_follow_t *f, const ap_store_read_t *read, uint64_t known)
{
	size_t delivered = 0;

	for (size_t i = 0; i < read->n; i++) {
		if (read->items[i].revision <= known)
			continue;
		delivered++;
		if (read->items[i].revision > f->last_change)
			f->last_change = read->items[i].revision;
		f->config.item(f->config.ctx, &read->items[i]);
	}
	return delivered;
}

static void set_known_at(ap_follow_t *f, ap_usec_t at)
{
	if (at > f->known_at)
		f->known_at = at;
}

/*
 * Returns a time that the response to a watch describes. The store made it after the call, and
 * without changes not before the call's wait was over.
 */
static ap_usec_t described_at(const ap_follow_t *f, const ap_store_read_t *read, ap_usec_t now)
{
	ap_usec_t waited = f->called_at + f->call_wait;

	return read->n == 0 && now >= waited ? waited : f->called_at;
}

static void relay(const ap_follow_t *f, const ap_store_read_t *read, ap_usec_t now)
{
	ap_store_read_t relayed = *read;

	relayed.age_max = f->watched_known_at > 0 ? now - f->watched_known_at : 0;
	f->config.relay(f->config.ctx, f->watched_from, &relayed);
}

static void apply_changes(ap_follow_t *f, const ap_store_read_t *read, ap_usec_t now)
{
	size_t delivered = deliver_items(f, read, f->as_of);

	f->read_at = f->called_at;
	if (read->as_of >= f->as_of) {
		f->as_of = read->as_of;
		set_known_at(f, described_at(f, read, now));
	}
	if (delivered > 0 && !f->announced && !f->unshared && f->config.relay)
		relay(f, read, now);
	/*
	 * A read up to this revision includes the announced change, even if it delivered no item
	 * for that change, since the key may have been removed.
	 */
	if (f->announced && f->as_of >= f->announced && f->last_change < f->announced)
		f->last_change = f->announced;
	f->announced = 0;
}

/* @asked: how long the store wants no more calls; 0 if it doesn't ask. */
static void back_off(ap_follow_t *f, ap_usec_t asked, ap_usec_t now)
{
	ap_usec_t wait;

	f->backoff = f->backoff ? f->backoff * 2 : BACKOFF_INITIAL;
	if (f->backoff > BACKOFF_MAX)
		f->backoff = BACKOFF_MAX;
	wait = asked < RETRY_AFTER_MAX ? asked : RETRY_AFTER_MAX;
	f->due = now + (wait > 0 ? wait : 0) + add_jitter(f, f->backoff);
}

/* The pages are no consistent snapshot, so the watch starts at the first page's revision. */
static void apply_page(ap_follow_t *f, const ap_store_read_t *read, ap_usec_t now)
{
	if (f->after[0] == '\0') {
		f->list_as_of = read->as_of;
		f->listed_at = f->called_at;
		f->seeded = false;
		f->config.listing(f->config.ctx, true);
	}
	deliver_items(f, read, 0);
	/* Of a page without usable items it isn't known where the next one begins. */
	if (read->more && read->n == 0) {
		back_off(f, 0, now);
		return;
	}
	if (read->more) {
		ap_copy_name(f->after, sizeof(f->after), read->items[read->n - 1].key);
		f->due = now;
		return;
	}
	f->config.listing(f->config.ctx, false);
	f->as_of = f->list_as_of;
	f->read_at = f->listed_at;
	f->unbroken_since = f->called_at;
	set_known_at(f, f->listed_at);
	/* The last change may be a removal, which no item shows. */
	if (f->last_change < f->as_of)
		f->last_change = f->as_of;
	f->state = STATE_WATCH;
	f->listed = true;
	f->due = now + add_jitter(f, f->config.interval);
}

/*
 * The store returned to an older copy of itself and gives out again the revisions after that
 * copy's. The list is read anew at @due. Keys whose last write was lost may be written again.
 */
static void enter_era(ap_follow_t *f, uint64_t era, ap_usec_t due, ap_usec_t now)
{
	f->era = era;
	f->seeded = false;
	if (!has_begun(f))
		f->as_of = 0;
	f->last_change = 0;
	f->announced = 0;
	f->available_again_at = now;
	f->relist = true;
	f->due = due;
}

/* Returns whether a response of @era describes the history that is known here. */
static bool is_known_era(ap_follow_t *f, uint64_t era, ap_usec_t now)
{
	if (f->era == 0 && !has_begun(f))
		f->era = era;
	if (era > f->era)
		enter_era(f, era, now, now);
	else if (era < f->era)
		back_off(f, 0, now);
	else
		return true;
	return false;
}

void ap_follow_response(ap_follow_t *f, const ap_store_read_t *read, ap_usec_t now)
{
	bool answered = read->end == AP_STORE_OK || read->end == AP_STORE_COMPACTED;

	f->calling = false;
	/* A response without an era is of a store that never returns to a copy. */
	if (answered && read->era > 0 && !is_known_era(f, read->era, now))
		return;
	if (read->end == AP_STORE_COMPACTED) {
		f->last_response_at = now;
		f->relist = true;
		f->due = now;
		return;
	}
	if (read->end != AP_STORE_OK) {
		back_off(f, read->retry_after, now);
		return;
	}
	if (now - f->last_response_at > f->config.unavailable_after)
		f->available_again_at = now;
	f->last_response_at = now;
	f->backoff = 0;
	if (f->state == STATE_LIST) {
		apply_page(f, read, now);
	} else {
		apply_changes(f, read, now);
		f->due = now + add_jitter(f, f->config.interval);
	}
	if (f->refresh)
		ap_follow_refresh(f, now);
}

bool ap_follow_wants_snapshot(const ap_follow_t *f)
{
	return !has_begun(f) && !f->seeded;
}

bool ap_follow_take_snapshot(ap_follow_t *f, uint64_t era, uint64_t revision)
{
	bool newer = era > f->era || (era == f->era && revision > f->as_of);

	if (has_begun(f) || (f->has_snapshot && !newer))
		return false;
	f->has_snapshot = true;
	f->seeded = revision > 0;
	f->behind_since = 0;
	f->era = era;
	f->as_of = revision;
	return true;
}

void ap_follow_announced(ap_follow_t *f, uint64_t era, uint64_t revision, ap_usec_t now)
{
	if (!f->seeded || era < f->era || (era == f->era && revision <= f->as_of))
		f->behind_since = 0;
	else if (f->behind_since == 0)
		f->behind_since = now;
	else if (now - f->behind_since >= ANNOUNCED_WAIT)
		f->seeded = false;
}

/* Returns whether what is known here describes revision as_of, so that changes can be applied. */
static bool has_revision(const ap_follow_t *f)
{
	return (f->state == STATE_WATCH && !f->relist) || f->seeded;
}

void ap_follow_relist(ap_follow_t *f, ap_usec_t now)
{
	f->relist = true;
	f->due = now;
}

void ap_follow_relayed(ap_follow_t *f, uint64_t after, const ap_store_read_t *read, ap_usec_t now)
{
	if (read->era > f->era)
		enter_era(f, read->era, now + some_of(f, f->config.interval), now);
	if (read->era != f->era || !has_revision(f) || read->as_of <= f->as_of)
		return;
	if (after > f->as_of) {
		f->seeded = false;
		return;
	}
	/* While this instance stood still, the message may have waited since its last tick. */
	if (read->age_max > 0)
		set_known_at(f, f->ticked_at - RELAY_TIME - read->age_max);
	deliver_items(f, read, f->as_of);
	f->as_of = read->as_of;
	/*
	 * Changes that reach the announced one replace the watch that was due for it. A call in
	 * progress sets the next time itself when it ends.
	 */
	if (f->calling || !f->announced || f->as_of < f->announced)
		return;
	f->announced = 0;
	if (!f->refresh)
		f->due = now + f->config.interval;
}

uint64_t ap_follow_era(const ap_follow_t *f)
{
	return f->era;
}

uint64_t ap_follow_revision(const ap_follow_t *f)
{
	return f->as_of;
}

ap_usec_t ap_follow_read_at(const ap_follow_t *f)
{
	return f->read_at;
}

ap_usec_t ap_follow_unbroken_since(const ap_follow_t *f)
{
	return f->state == STATE_WATCH && !f->relist ? f->unbroken_since : 0;
}

void ap_follow_refresh(ap_follow_t *f, ap_usec_t now)
{
	ap_usec_t earliest = f->called_at + REFRESH_INTERVAL;

	f->refresh = true;
	if (f->backoff == 0 && f->due > earliest)
		f->due = earliest > now ? earliest : now;
}

ap_usec_t ap_follow_known_at(const ap_follow_t *f)
{
	return f->known_at;
}

uint64_t ap_follow_last_change(const ap_follow_t *f)
{
	return f->last_change;
}

void ap_follow_stand_by(ap_follow_t *f, uint64_t era, uint64_t announced, ap_usec_t now)
{
	if (era > f->era)
		enter_era(f, era, now + some_of(f, f->config.interval), now);
	/* Instances that still read an earlier era don't watch for this one. */
	if (f->calling || f->relist || f->backoff > 0 || f->state != STATE_WATCH || era != f->era)
		return;
	f->standby_at = now;
	if (announced > f->as_of) {
		if (!f->announced && !f->refresh)
			f->due = now + ANNOUNCED_WAIT;
		f->announced = announced;
		return;
	}
	f->announced = 0;
	f->last_response_at = now;
	if (!f->refresh)
		f->due = now + f->config.interval;
}

bool ap_follow_watching(const ap_follow_t *f, ap_usec_t now)
{
	return f->listed && f->backoff == 0 && now - f->standby_at > f->config.interval;
}

ap_usec_t ap_follow_age(const ap_follow_t *f, ap_usec_t now)
{
	return f->listed ? now - f->last_response_at : AP_NEVER;
}

bool ap_follow_silent(const ap_follow_t *f, ap_usec_t now)
{
	return !f->listed || f->backoff > 0 || (f->calling && now > f->response_by);
}

bool ap_follow_failed(const ap_follow_t *f)
{
	return f->backoff > 0;
}

bool ap_follow_recovering(const ap_follow_t *f, ap_usec_t now)
{
	return now - f->available_again_at < f->config.recovery_time;
}

bool ap_follow_pass_on(ap_follow_t *f, const ap_span_t *span)
{
	for (size_t i = 0; i < f->n_passed_on && i < SPANS_MAX; i++) {
		const ap_span_t *known = &f->passed_on[i];

		if (known->era == span->era && known->after <= span->after &&
		    known->as_of >= span->as_of)
			return false;
	}
	f->passed_on[f->n_passed_on++ % SPANS_MAX] = *span;
	return true;
}
