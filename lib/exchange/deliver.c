/* Delivery of a response: of a stream its complete events, of others the whole body. */
#include "exchange/private.h"

#include <stdlib.h>
#include <string.h>

void ap_attempt_reset(const ap_exchange_t *x, ap_attempt_t *a)
{
	a->has_head = false;
	a->slow_at = AP_NEVER;
	a->second = false;
	a->checking = false;
	/* What the caller has may come again. */
	a->resuming = x->committed || x->last_event_id[0] != '\0';
	a->goes_on = x->last_event_id[0] != '\0';
	a->placed = false;
	a->held = false;
	a->n_held = 0;
	a->ended = false;
	a->buffer_len = 0;
	a->scanned = 0;
	a->head = (ap_response_head_t){0};
	a->marked = false;
	a->behind = false;
	a->weights = AP_WEIGHTS_ANY;
	a->accepted_at = 0;
	a->has_piece = false;
	a->unread = false;
	a->first_pause = 0;
	a->pauses = 0;
	a->paused_pieces = 0;
	a->paused_reads = 0;
}

static bool buffer_data(ap_attempt_t *a, const void *data, size_t len)
{
	if (a->buffer_len + len > a->buffer_size) {
		size_t size = a->buffer_size ? a->buffer_size : 1024;
		char *bigger;

		while (size < a->buffer_len + len)
			size *= 2;
		bigger = realloc(a->buffer, size);
		if (!bigger)
			return false;
		a->buffer = bigger;
		a->buffer_size = size;
	}
	memcpy(a->buffer + a->buffer_len, data, len);
	a->buffer_len += len;
	return true;
}

size_t ap_exchange_held(const ap_exchange_t *x)
{
	return x->slot[0].buffer_size + x->slot[1].buffer_size;
}

static void commit(ap_exchange_t *x, const ap_attempt_t *a)
{
	if (x->committed)
		return;
	x->committed = true;
	/* The objective is the time to the first chunk, so it doesn't bind any more. */
	x->req.begun = true;
	/* Only a stream tells where another run has to go on. */
	if (!x->stream)
		x->retryable = false;
	x->ops->head(x->ctx, slot_of(x, a));
}

static void deliver(ap_exchange_t *x, const ap_attempt_t *a, const void *data, size_t len,
		    ap_usec_t now)
{
	if (len == 0)
		return;
	if (x->first_chunk_at == 0)
		x->first_chunk_at = now;
	commit(x, a);
	x->bytes += len;
	x->ops->data(x->ctx, data, len);
}

static void deliver_range(ap_exchange_t *x, const ap_attempt_t *a, size_t from, size_t to,
			  ap_usec_t now)
{
	if (to > from)
		deliver(x, a, a->buffer + from, to - from, now);
}

uint64_t ap_exchange_build(const ap_exchange_t *x)
{
	const ap_attempt_t *a = &x->slot[x->current];

	return a->target.remote ? a->head.build : a->target.build;
}

/* Returns the build that another instance goes on at; 0 if it doesn't say. */
static uint64_t named_build(const ap_attempt_t *a)
{
	return a->target.remote ? a->head.build : 0;
}

/*
 * From its first event on, a stream may only be resumed at the same build. One that a caller takes
 * up is sent on with the build that is known here; another instance may have been told better.
 */
static void keep_build(ap_exchange_t *x)
{
	if (x->committed || (x->req.build != 0 && named_build(current(x)) == 0))
		return;
	x->req.build = ap_exchange_build(x);
	/* At an upstream whose build isn't known, it can't go on elsewhere. */
	if (current(x)->target.remote && x->req.build == 0)
		x->retryable = false;
}

/* Nothing that follows on the connection of @a belongs to the response. */
static void fail_broken(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	x->ops->drop_connection(x->ctx, slot_of(x, a));
	ap_attempt_failed(x, a, AP_DISPATCH_BROKEN, AP_REASON_BROKEN, now);
}

static void fail_weights(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	x->weights_differ++;
	x->ops->drop_connection(x->ctx, slot_of(x, a));
	ap_attempt_failed(x, a, AP_DISPATCH_WEIGHTS, AP_REASON_BROKEN, now);
}

/*
 * Returns whether what the caller has, and @a goes on with, was made by the same weights, as far as
 * both are known.
 */
static bool goes_on_at_weights(const ap_exchange_t *x, const ap_attempt_t *a)
{
	return !a->resuming || x->req.weights == AP_WEIGHTS_ANY || a->weights == AP_WEIGHTS_ANY ||
	       x->req.weights == a->weights;
}

/* Returns whether @a goes on at the build of the events that this response has brought. */
static bool goes_on_at_build(const ap_exchange_t *x, const ap_attempt_t *a)
{
	return !x->committed || x->req.build == 0 || named_build(a) == 0 ||
	       named_build(a) == x->req.build;
}

/* The events that begin at @data are of the version that the first one names, if it does. */
static void read_weights(const ap_exchange_t *x, ap_attempt_t *a, const char *data, size_t len)
{
	uint64_t number;

	if (x->weights_field && ap_sse_number(data, len, x->weights_field, &number))
		a->weights = ap_weights_of(number);
}

/* Returns where the events of @data end that are of the version of the first one. */
static size_t same_weights_len(const ap_exchange_t *x, const char *data, size_t len)
{
	return x->weights_field ? ap_sse_next_with(data, len, x->weights_field) : len;
}

/* Events that the caller has already may name another version for those that follow. */
static void skip_events(const ap_exchange_t *x, ap_attempt_t *a, size_t len)
{
	for (size_t at = 0; at < len; at += same_weights_len(x, a->buffer + at, len - at))
		read_weights(x, a, a->buffer + at, len - at);
}

/*
 * Delivers events of one version of the weights. The head is told of the version before it, so that
 * a caller that doesn't get the first event doesn't count as one that has events of the new one.
 */
static void deliver_version(ap_exchange_t *x, ap_attempt_t *a, size_t from, size_t to,
			    ap_usec_t now)
{
	const char *data = a->buffer + from;
	ap_weights_t before = a->weights;
	uint64_t since = 0;
	bool numbered;

	read_weights(x, a, data, to - from);
	if (!x->committed && before != AP_WEIGHTS_ANY)
		x->req.weights = before;
	deliver_range(x, a, from, to, now);
	ap_exchange_take_events(x, a, data, to - from);
	if (a->weights == AP_WEIGHTS_ANY || a->weights == x->req.weights)
		return;
	x->req.weights = a->weights;
	/* Without a number, it isn't known which events a caller that goes on has. */
	numbered = ap_sse_number(data, to - from, AP_SSE_ID, &since);
	if (x->ops->weights)
		x->ops->weights(x->ctx, numbered ? a->weights : AP_WEIGHTS_ANY, since);
}

static void deliver_ordered(ap_exchange_t *x, ap_attempt_t *a, size_t from, size_t to,
			    ap_usec_t now)
{
	while (from < to) {
		size_t len = same_weights_len(x, a->buffer + from, to - from);

		deliver_version(x, a, from, from + len, now);
		from += len;
	}
}

/*
 * Takes out the mark that another instance puts behind an end which the sender has to confirm.
 * Return: how many bytes of complete events are left.
 */
static size_t take_mark(ap_attempt_t *a, size_t complete)
{
	static const char mark[] = AP_EXCHANGE_UNCONFIRMED;
	const size_t len = sizeof(mark) - 1;
	size_t before = complete - len;

	if (!a->target.remote || complete < len || memcmp(a->buffer + before, mark, len) != 0)
		return complete;
	a->marked = true;
	memmove(a->buffer + before, a->buffer + complete, a->buffer_len - complete);
	a->buffer_len -= len;
	return before;
}

/* An event with @id has begun to arrive. */
static void see_begun(ap_exchange_t *x, const char *id)
{
	if (ap_exchange_has_id(x, id))
		return;
	/* It may be one from an earlier request. */
	if (x->taken_up && !ap_sse_is_number(id))
		return;
	x->belief = AP_END_UNKNOWN;
	if (!x->begun_id[0] || ap_sse_id_is_after(id, x->begun_id))
		ap_copy_name(x->begun_id, sizeof(x->begun_id), id);
}

/* The beginning of a further event denies each end before it, as the whole of it does. */
static void see_partial_event(ap_exchange_t *x, const ap_attempt_t *a)
{
	char id[AP_SSE_ID_MAX];

	if (ap_sse_begun_id(a->buffer, a->buffer_len, id))
		see_begun(x, id);
}

/* So does one that isn't delivered, as it follows what breaks the stream. */
static void see_undelivered(ap_exchange_t *x, const char *data, size_t len)
{
	ap_sse_event_t event;

	for (size_t at = 0; ap_sse_next(data, len, at, &event); at = event.end) {
		if (event.id[0])
			see_begun(x, event.id);
	}
}

/*
 * Delivers complete events; an incomplete one stays in the buffer. An event that comes again, or
 * after a later one, breaks the stream.
 */
static void deliver_events(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	size_t complete = ap_sse_complete_len(a->buffer, a->buffer_len, a->scanned);
	size_t from = 0;
	size_t ordered;
	size_t events;
	size_t news;

	complete = take_mark(a, complete);
	a->scanned = a->buffer_len;
	if (complete == 0)
		return;
	if (a->resuming)
		from = ap_attempt_skip(x, a, complete);
	events = ap_sse_count(a->buffer, complete) - a->n_held;
	if (events > 0) {
		a->last_chunk_at = now;
		x->ops->first_chunk(x->ctx, &a->inflight);
	}
	ordered = ap_attempt_ordered_len(x, a, from, complete - from);
	/* Events that are repeated may have been kept, so they show no pace. */
	news = ap_sse_count(a->buffer + from, a->held ? complete - from : ordered);
	if (events > 0 && news > 0)
		ap_attempt_pieces(x, a, news < events ? news : events, now);
	else if (events > 0)
		ap_attempt_repeats(x, a, now);
	a->n_held += events;
	if (a->held && !a->ended) {
		a->scanned = 0;
		return;
	}
	a->n_held = 0;
	skip_events(x, a, from);
	if (ordered > 0)
		x->belief = AP_END_UNKNOWN;
	if (ordered > 0 && !goes_on_at_weights(x, a)) {
		fail_weights(x, a, now);
		return;
	}
	if (ordered > 0) {
		ap_attempt_take_over(x, a, now);
		keep_build(x);
		deliver_ordered(x, a, from, from + ordered, now);
		a->resuming = false;
		x->end_stated = false;
	}
	if (from + ordered < complete) {
		see_undelivered(x, a->buffer + from + ordered, complete - from - ordered);
		fail_broken(x, a, now);
		return;
	}
	memmove(a->buffer, a->buffer + complete, a->buffer_len - complete);
	a->buffer_len -= complete;
	a->scanned = a->buffer_len;
}

void ap_attempt_release(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	a->ended = true;
	if (a->n_held > 0)
		deliver_events(x, a, now);
}

void ap_attempt_deliver(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	ap_attempt_take_over(x, a, now);
	deliver_range(x, a, 0, a->buffer_len, now);
	commit(x, a);
	x->finished = true;
	x->ops->end(x->ctx);
}

/* Tells a caller that has another attempt in flight that this one has been accepted. */
static void pass_head(ap_exchange_t *x, const ap_attempt_t *a)
{
	if (!x->early_head || !x->stream || x->attempts > 1)
		return;
	keep_build(x);
	commit(x, a);
}

void ap_exchange_head(ap_exchange_t *x, unsigned slot, const ap_response_head_t *head,
		      ap_usec_t now)
{
	ap_attempt_t *a = &x->slot[slot];

	if (x->finished || !a->in_flight)
		return;
	a->has_head = true;
	a->head = *head;
	a->head_at = ap_attempt_arrival(x, a, now);
	a->head_in_time = ap_exchange_in_time(x, a, now);
	a->weights = head->weights;
	if (is_unproved_success(a)) {
		fail_broken(x, a, now);
		return;
	}
	if (x->stream && is_success(a) && !goes_on_at_weights(x, a)) {
		fail_weights(x, a, now);
		return;
	}
	if (x->stream && is_success(a) && !goes_on_at_build(x, a)) {
		fail_broken(x, a, now);
		return;
	}
	if (is_success(a)) {
		a->accepted_at = now;
		pass_head(x, a);
	}
	/* In a stream only complete events count as data, so its head doesn't. */
	if (!x->stream || head->refused)
		a->last_chunk_at = now;
}

static size_t hold_max(const ap_exchange_t *x)
{
	return x->ops->hold_max ? x->ops->hold_max(x->ctx) : AP_EXCHANGE_HELD_MAX;
}

/* Begins to pass on the body of @a, of which the caller has nothing yet, before it is complete. */
static void begin_body(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	ap_attempt_take_over(x, a, now);
	deliver_range(x, a, 0, a->buffer_len, now);
	free(a->buffer);
	a->buffer = NULL;
	a->buffer_len = 0;
	a->buffer_size = 0;
}

/* Whether the caller gets the body of @a as it arrives. */
static bool body_has_begun(const ap_exchange_t *x, const ap_attempt_t *a)
{
	return x->committed && !x->stream && is_success(a);
}

void ap_exchange_data(ap_exchange_t *x, unsigned slot, const void *data, size_t len, ap_usec_t now)
{
	ap_attempt_t *a = &x->slot[slot];

	if (x->finished || !a->in_flight || len == 0)
		return;
	if (a->buffer_len + len > hold_max(x) && is_success(a) && !x->stream && !x->committed)
		begin_body(x, a, now);
	if (body_has_begun(x, a)) {
		deliver(x, a, data, len, now);
		ap_attempt_pieces(x, a, 1, now);
		a->last_chunk_at = now;
		return;
	}
	if (!buffer_data(a, data, len)) {
		/* Out of memory: nothing that follows can be delivered. */
		x->ops->drop_connection(x->ctx, slot);
		ap_attempt_failed(x, a, AP_DISPATCH_CANCELLED, AP_REASON_BROKEN, now);
		return;
	}
	if (x->stream && is_success(a)) {
		deliver_events(x, a, now);
		see_partial_event(x, a);
	} else {
		if (is_success(a))
			ap_attempt_pieces(x, a, 1, now);
		a->last_chunk_at = now;
	}
	/* An event, or an error's body, that doesn't end. */
	if (a->in_flight && a->buffer_len > AP_EXCHANGE_HELD_MAX && (x->stream || !is_success(a))) {
		x->ops->drop_connection(x->ctx, slot);
		ap_exchange_end(x, slot, AP_CONNECTION_BROKEN, now);
	}
}
