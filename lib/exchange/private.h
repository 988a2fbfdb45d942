/* Shared by the dispatch of a request and the delivery of its response. */
#ifndef AP_EXCHANGE_PRIVATE_H
#define AP_EXCHANGE_PRIVATE_H

#include "exchange/exchange.h"

#define RETRY_AFTER_MIN (100 * AP_MSEC)
static inline unsigned slot_of(const ap_exchange_t *x, const ap_attempt_t *a)
{
	return (unsigned)(a - x->slot);
}

static inline ap_attempt_t *current(ap_exchange_t *x)
{
	return &x->slot[x->current];
}

static inline ap_attempt_t *other_than(ap_exchange_t *x, const ap_attempt_t *a)
{
	return &x->slot[a == &x->slot[0]];
}

static inline unsigned in_flight(const ap_exchange_t *x)
{
	return x->slot[0].in_flight + x->slot[1].in_flight;
}

static inline bool is_success(const ap_attempt_t *a)
{
	return a->head.status >= 200 && a->head.status < 300 && !a->head.refused;
}

/* A success that no upstream stands for: bytes that are no response to the request. */
static inline bool is_unproved_success(const ap_attempt_t *a)
{
	return is_success(a) && !a->head.from_replica;
}

/* deliver.c */

/* Forgets an earlier response in the slot of @a. */
void ap_attempt_reset(const ap_exchange_t *x, ap_attempt_t *a);
/* Delivers events that are held while they may be repeated: the response of @a is complete. */
void ap_attempt_release(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now);
/* Delivers what is held of the response of @a, which is complete. */
void ap_attempt_deliver(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now);

/* pace.c */

/* Returns when the bytes of @a that are read at @now had arrived at this machine. */
ap_usec_t ap_attempt_arrival(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now);
/* Events of the response of @a, or a part of a body, are read at @now. */
void ap_attempt_pieces(ap_exchange_t *x, ap_attempt_t *a, size_t pieces, ap_usec_t now);
/* Events that the caller has come again at @now. */
void ap_attempt_repeats(const ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now);
/* Targets are read again at @now; what comes next may have waited here. */
void ap_exchange_forget_pause(ap_exchange_t *x, ap_usec_t now);
/* Returns whether the upstream stated the length of the response of @a before it made it. */
bool ap_attempt_sized_before(const ap_exchange_t *x, const ap_attempt_t *a);
/* Returns how long the next piece would likely have taken if the response of @a didn't end at @end.
 */
ap_usec_t ap_attempt_next_piece(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t end);
/* Another instance reckons that a next piece would have taken @least. */
void ap_exchange_next_takes(ap_exchange_t *x, ap_usec_t least);

/* proof.c */

/* Returns whether an upstream may have stopped, as the time that it was told is up. */
bool ap_exchange_time_is_up(const ap_exchange_t *x, ap_usec_t now);
/* Returns whether what is read of the response of @a at @now arrived before that. */
bool ap_exchange_in_time(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now);
/* Returns why the response of @a, which has ended, may not be whole. */
ap_doubt_t ap_attempt_doubt(const ap_exchange_t *x, const ap_attempt_t *a, bool closed,
			    ap_usec_t now);
/*
 * Returns why a second upstream has to confirm the end of the success of @a, which is complete: the
 * stream goes on with no event, or the upstream may have stopped. AP_DOUBT_GAP: it should, if it
 * can.
 */
ap_doubt_t ap_attempt_unconfirmed(const ap_exchange_t *x, const ap_attempt_t *a, ap_usec_t now);
/* Returns by when a doubted end is settled; AP_NEVER if there is none. */
ap_usec_t ap_exchange_settled_at(const ap_exchange_t *x);
/* Gives up the success of @a, which may not be whole: it goes on elsewhere, or is broken. */
void ap_attempt_doubted(ap_exchange_t *x, ap_attempt_t *a, ap_doubt_t doubt, ap_usec_t now);
/*
 * Tells the sender of a forwarded stream that its end has to be confirmed. Return: false for a
 * request that wasn't forwarded, or of whose response the sender has nothing.
 */
bool ap_attempt_sender_confirms(ap_exchange_t *x, ap_attempt_t *a, ap_doubt_t doubt);
/* Likewise, but a second upstream that has no further event confirms the end. */
void ap_attempt_confirm(ap_exchange_t *x, ap_attempt_t *a, ap_doubt_t doubt, ap_usec_t now);

/* ids.c */

void ap_exchange_free_buffers(ap_exchange_t *x);
/* Returns whether the request may be sent once more, beside what is in flight. */
bool ap_exchange_may_run_again(const ap_exchange_t *x, ap_usec_t now);
/* Complete events of the response of @a were delivered. */
void ap_exchange_take_events(ap_exchange_t *x, ap_attempt_t *a, const char *data, size_t len);
/* Returns whether the caller has the event with @id. */
bool ap_exchange_has_id(const ap_exchange_t *x, const char *id);
/*
 * Returns how many of @len bytes, complete events that @a holds, the caller has already. Sets @held
 * if it may have all of them.
 */
size_t ap_attempt_skip(const ap_exchange_t *x, ap_attempt_t *a, size_t len);
/*
 * Returns how many of @len bytes after @from, complete events that @a holds, come neither again nor
 * after a later one.
 */
size_t ap_attempt_ordered_len(const ap_exchange_t *x, const ap_attempt_t *a, size_t from,
			      size_t len);

/* refusal.c */

/*
 * Returns when a refused caller should retry. For a request that would be too late: after the part
 * of the expected wait that exceeds half of the latency objective.
 */
ap_usec_t ap_exchange_retry_after(const ap_exchange_t *x, ap_usec_t now);
/* Returns why there is no target. */
ap_reason_t ap_exchange_reason(const ap_exchange_t *x, ap_fleet_status_t status);
/* Returns how long the request can't be sent, as far as all targets said so; 0 for unknown. */
ap_usec_t ap_exchange_pause_for(const ap_exchange_t *x, ap_fleet_status_t status);
/* A target refused the request; @retry_after is 0 if it didn't say for how long. */
void ap_exchange_count_refusal(ap_exchange_t *x, ap_usec_t retry_after);

/* second.c */

/* Returns when to consider a second attempt beside the current one; AP_NEVER for not at all. */
ap_usec_t ap_exchange_second_due(const ap_exchange_t *x);
/* Considers it, and sends it if it may be. */
void ap_exchange_send_second(ap_exchange_t *x, ap_usec_t now);
/*
 * Returns until when a second attempt at a stream may go without being accepted; AP_NEVER if there
 * is none.
 */
ap_usec_t ap_exchange_unaccepted_until(const ap_exchange_t *x);
/* Cancels the second attempt; the first one goes on. */
void ap_exchange_drop_second(ap_exchange_t *x);

/* exchange.c */

/* Adds a target to a list of AP_TRIED_MAX names. */
void ap_names_add(char (*names)[AP_NAME_MAX], size_t *n, const char *id);
/* Sends the request to @target in the slot of @a. Return: false when nothing was sent. */
bool ap_attempt_send(ap_exchange_t *x, ap_attempt_t *a, const ap_target_t *target, bool second,
		     ap_usec_t now);
/* Ends the attempt @a, which may have run, if it is in flight. */
void ap_attempt_cancel(ap_exchange_t *x, ap_attempt_t *a, ap_dispatch_result_t end);
/* The attempt @a has the response; the other one, if any, isn't needed any more. */
void ap_attempt_take_over(ap_exchange_t *x, ap_attempt_t *a, ap_usec_t now);
/* Gives the attempt @a up, which may have run, and replies if no other one is left. */
void ap_attempt_failed(ap_exchange_t *x, ap_attempt_t *a, ap_dispatch_result_t end,
		       ap_reason_t reason, ap_usec_t now);

#endif
