/*
 * Which events of a stream the caller has, as far as their ids tell, and whether another upstream
 * can go on after them. An id is usable if it is neither empty nor too long.
 */
#include "exchange/private.h"

#include <stdlib.h>
#include <string.h>

/* Bytes of ids that are no numbers, of which nothing but the whole list tells which came before. */
#define IDS_MAX (64 << 10)

void ap_exchange_free_buffers(ap_exchange_t *x)
{
	for (unsigned i = 0; i < AP_SLOTS; i++) {
		free(x->slot[i].buffer);
		x->slot[i].buffer = NULL;
	}
	free(x->ids);
	x->ids = NULL;
	x->ids_len = 0;
}

bool ap_exchange_may_run_again(const ap_exchange_t *x, ap_usec_t now)
{
	unsigned in_flight = x->slot[0].in_flight + x->slot[1].in_flight;

	return x->retryable && !x->unplaced && x->runs + in_flight < x->attempts &&
	       !ap_exchange_time_is_up(x, now);
}

static bool are_numbers(const char *a, const char *b)
{
	return ap_sse_is_number(a) && ap_sse_is_number(b);
}

static bool is_kept(const ap_exchange_t *x, const char *id)
{
	for (size_t at = 0; at < x->ids_len; at += strlen(x->ids + at) + 1) {
		if (strcmp(x->ids + at, id) == 0)
			return true;
	}
	return false;
}

static bool keep_id(ap_exchange_t *x, const char *id)
{
	size_t size = strlen(id) + 1;

	if (!x->ids)
		x->ids = malloc(IDS_MAX);
	if (!x->ids || x->ids_len + size > IDS_MAX)
		return false;
	memcpy(x->ids + x->ids_len, id, size);
	x->ids_len += size;
	return true;
}

/* Nothing would tell all events that the caller has from new ones. */
static void run_no_more(ap_exchange_t *x)
{
	x->retryable = false;
}

/* The last id may be a number, or from an earlier request; what goes on may yet repeat it. */
static void keep_last_id(ap_exchange_t *x)
{
	if (x->last_event_id[0] && !is_kept(x, x->last_event_id))
		keep_id(x, x->last_event_id);
}

/* Returns whether the list has @id now, and had it not before. */
static bool keep_new_id(ap_exchange_t *x, const char *id)
{
	keep_last_id(x);
	return !is_kept(x, id) && keep_id(x, id);
}

static void take_id(ap_exchange_t *x, ap_attempt_t *a, const char *id)
{
	const char *last = x->last_event_id[0] ? x->last_event_id : id;
	bool numbers = are_numbers(id, last);

	if (!numbers && (x->retryable || a->goes_on) && !keep_new_id(x, id))
		run_no_more(x);
	/* Of events from an earlier request, the list has the last one only. */
	if (!numbers && (x->taken_up || ap_sse_is_number(id) || ap_sse_is_number(last)))
		run_no_more(x);
	ap_copy_name(x->last_event_id, sizeof(x->last_event_id), id);
	x->unplaced = false;
	a->placed = true;
}

static void take_without_id(ap_exchange_t *x, const ap_attempt_t *a, bool empty)
{
	x->unplaced = true;
	x->unnumbered = true;
	/* Each response may begin with such an event. */
	if (!a->placed)
		run_no_more(x);
	if (!empty)
		return;
	/* Ids may begin anew. */
	if (a->goes_on)
		keep_last_id(x);
	x->last_event_id[0] = '\0';
	run_no_more(x);
}

void ap_exchange_take_events(ap_exchange_t *x, ap_attempt_t *a, const char *data, size_t len)
{
	ap_sse_event_t event;

	if (x->taken_up && !x->ids)
		keep_last_id(x);
	for (size_t at = 0; ap_sse_next(data, len, at, &event); at = event.end) {
		if (!event.counts)
			continue;
		x->events++;
		if (event.id[0])
			take_id(x, a, event.id);
		else
			take_without_id(x, a, event.has_id);
	}
}

bool ap_exchange_has_id(const ap_exchange_t *x, const char *id)
{
	if (are_numbers(id, x->last_event_id))
		return !ap_sse_id_is_after(id, x->last_event_id);
	return strcmp(id, x->last_event_id) == 0 || is_kept(x, id);
}

/* Returns whether the caller has the next event of the response of @a, which repeats events. */
static bool is_repeated(const ap_exchange_t *x, ap_attempt_t *a, const ap_sse_event_t *event)
{
	if (!event->id[0] || !ap_exchange_has_id(x, event->id)) {
		/* Unless numbers tell, what comes before the last one is repeated as well. */
		return a->behind && !are_numbers(event->id, x->last_event_id);
	}
	a->placed = true;
	a->behind = strcmp(event->id, x->last_event_id) != 0 &&
		    ap_sse_id_is_after(x->last_event_id, event->id);
	return true;
}

/*
 * Returns whether an event that isn't known to be repeated is none. Before the first event with an
 * id it may be, and so may any before the last one that the caller has while nothing else is known
 * of those that it has.
 */
static bool is_new(const ap_exchange_t *x, const ap_attempt_t *a, const ap_sse_event_t *event)
{
	if (a->placed)
		return true;
	return event->id[0] && (!x->taken_up || are_numbers(event->id, x->last_event_id));
}

size_t ap_attempt_skip(const ap_exchange_t *x, ap_attempt_t *a, size_t len)
{
	size_t fresh = len;
	ap_sse_event_t event;

	a->held = false;
	if (!x->last_event_id[0])
		return 0;
	for (size_t at = 0; ap_sse_next(a->buffer, len, at, &event); at = event.end) {
		if (!event.counts)
			continue;
		if (is_repeated(x, a, &event)) {
			fresh = len;
			continue;
		}
		if (fresh == len)
			fresh = at;
		if (is_new(x, a, &event))
			return fresh;
	}
	a->held = fresh < len && x->unnumbered;
	return fresh;
}

size_t ap_attempt_ordered_len(const ap_exchange_t *x, const ap_attempt_t *a, size_t from,
			      size_t len)
{
	const char *data = a->buffer + from;
	size_t ordered = ap_sse_ordered_len(data, len, x->last_event_id);
	size_t at = 0;
	ap_sse_event_t event;

	while (a->goes_on && ap_sse_next(data, ordered, at, &event)) {
		if (event.id[0] &&
		    (is_kept(x, event.id) || strcmp(event.id, x->last_event_id) == 0))
			return at;
		at = event.end;
	}
	return ordered;
}
