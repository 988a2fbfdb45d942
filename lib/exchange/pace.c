/*
 * The pace of a response: how long its upstream takes for a piece of it. An upstream that doesn't
 * begin what it can't finish ends a response in order before its deadline, by less than it would
 * have taken for the next piece.
 */
#include "exchange/private.h"

/* The next event may take this many times as long as the mean of those before. */
#define PACES 3
/* What comes within this time came together; arrival times are no more exact. */
#define TOGETHER (10 * AP_MSEC)

ap_usec_t ap_attempt_arrival(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now)
{
	ap_usec_t at = x->ops->arrived ? x->ops->arrived(x->ctx, slot_of(x, a)) : 0;

	return at > 0 && at < now ? at : now;
}

static ap_usec_t longer(ap_usec_t a, ap_usec_t b)
{
	return a > b ? a : b;
}

/* Returns the mean time from a piece of the response of @a to the next; 0 if it shows none. */
static ap_usec_t mean_pause(const ap_attempt_t *a)
{
	return a->pauses > TOGETHER ? a->pauses / (ap_usec_t)a->paused_pieces : 0;
}

void ap_attempt_pieces(ap_exchange_t *x, ap_attempt_t *a, size_t pieces, ap_usec_t now)
{
	ap_usec_t at = ap_attempt_arrival(x, a, now);

	if (!a->has_piece) {
		a->first_pause = longer(a->first_pause, at - a->piece_at);
		if (x->first_pause == 0)
			x->first_pause = a->first_pause;
	} else if (!a->unread && at > a->piece_at) {
		a->pauses += at - a->piece_at;
		a->paused_pieces += pieces;
		a->paused_reads++;
	}
	if (mean_pause(a) > 0)
		x->mean_pause = mean_pause(a);
	a->has_piece = true;
	a->unread = false;
	a->piece_at = at;
}

void ap_attempt_repeats(const ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now)
{
	ap_usec_t at = ap_attempt_arrival(x, a, now);

	if (a->has_piece)
		return;
	a->first_pause = longer(a->first_pause, at - a->piece_at);
	a->piece_at = at;
}

void ap_exchange_forget_pause(ap_exchange_t *x, ap_usec_t now)
{
	for (unsigned i = 0; i < AP_SLOTS; i++) {
		/* The first piece may have come meanwhile; its time counts from the send. */
		if (!x->slot[i].has_piece)
			continue;
		x->slot[i].unread = true;
		x->slot[i].piece_at = now;
	}
}

ap_usec_t ap_exchange_pace(const ap_exchange_t *x)
{
	const ap_attempt_t *a = &x->slot[x->current];
	ap_usec_t mean = mean_pause(a);

	return mean > 0 ? mean : a->has_piece ? a->first_pause : x->first_pause;
}

void ap_exchange_next_takes(ap_exchange_t *x, ap_usec_t least)
{
	x->mean_pause = longer(x->mean_pause, (least + PACES - 1) / PACES);
}

/*
 * A length that comes with the events says no more than the end: servers that collect a response
 * state it as their handler returns.
 */
bool ap_attempt_sized_before(const ap_exchange_t *x, const ap_attempt_t *a)
{
	return a->head.sized &&
	       !(x->stream && a->has_piece && a->piece_at - a->head_at <= TOGETHER);
}

/* Returns how long the next event would likely have taken, by the events of @a so far. */
static ap_usec_t next_event(const ap_exchange_t *x, const ap_attempt_t *a)
{
	/* What is written several events at a time comes at the pace of the writes. */
	ap_usec_t write = a->paused_reads > 0 ? a->pauses / (ap_usec_t)a->paused_reads : 0;
	ap_usec_t mean = mean_pause(a);
	ap_usec_t first = a->has_piece ? a->first_pause : longer(x->first_pause, a->first_pause);

	/* The caller has the events of another request; this one has shown none. */
	if (!a->has_piece && x->first_pause == 0 && x->mean_pause == 0)
		return longer(first, PACES * a->target.wait);
	/*
	 * Before the first event the prompt is read, and again where the stream is preempted. A
	 * response that goes on with the stream is given the time of those before it.
	 */
	return longer(first, mean > 0 ? longer(PACES * mean, write) : PACES * x->mean_pause);
}

/*
 * Returns how long the next part of a body would likely have taken. A body in one part was made as
 * a whole, so its time says nothing of a next one; without a part, the first had not come in all
 * the time since the send.
 */
static ap_usec_t next_part(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t waited)
{
	if (a->has_piece)
		return longer(mean_pause(a), waited);
	return longer(waited, longer(x->first_pause, x->mean_pause));
}

ap_usec_t ap_attempt_next_piece(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t end)
{
	ap_usec_t gap = x->req.route->event_gap;
	ap_usec_t waited = end - a->piece_at;
	ap_usec_t likely;

	if (!x->stream)
		return next_part(x, a, waited);
	likely = longer(next_event(x, a), a->has_piece ? waited : 0);
	/* Events of a stream that is on time come within the gap. */
	return gap > 0 && likely > gap ? gap : likely;
}

uint64_t ap_exchange_events_max(const ap_exchange_t *x)
{
	uint64_t event_tokens = x->req.pool ? x->req.pool->event_tokens : 0;

	if (!x->stream || event_tokens == 0)
		return 0;
	return (x->req.tokens_out + event_tokens - 1) / event_tokens;
}
