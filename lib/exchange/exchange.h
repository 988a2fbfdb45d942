/*
 * The life of one request, from its arrival to its final answer: where it is sent, whether it may
 * be sent again, how its answer is passed on, and what is said when there is none. Pure: events
 * and time come in, actions go out through callbacks. No request runs twice that may run once, and
 * "not run" is said only of one that has not run and will not.
 */
#ifndef AP_EXCHANGE_H
#define AP_EXCHANGE_H

#include "base/base.h"
#include "fleet/fleet.h"

#define AP_EVENT_ID_MAX 64 /* bytes of a stream's event id, with terminator */

/* How the connection to a target ended, as far as the driver can tell. */
typedef enum ap_link_end {
	AP_LINK_WHOLE,	      /* the answer is whole by its framing */
	AP_LINK_WHOLE_CLOSED, /* no length was given and the target closed in order */
	AP_LINK_UNSENT,	      /* nothing of the request reached the target */
	AP_LINK_BROKEN,	      /* it may have run */
	AP_LINK_SILENT,	      /* a limit passed; it may have run */
} ap_link_end_t;

/**
 * struct ap_answer_head - what the target's answer says of itself.
 * @refused: it says that it did not run the request
 * @moved: another upstream has the address now
 * @own: the answer was made by a replica, not by an instance on the way
 */
typedef struct ap_answer_head {
	int status;
	bool refused;
	bool moved;
	bool own;
} ap_answer_head_t;

/* Why we answer in place of an upstream. */
typedef enum ap_reason {
	AP_REASON_NONE,
	AP_REASON_NO_UPSTREAM, /* nothing allowed is usable */
	AP_REASON_TOO_LATE,    /* nothing allowed would answer in time */
	AP_REASON_REFUSED,     /* every upstream that was asked refused */
	AP_REASON_BUDGET,      /* not sent again: the shared budget is spent */
	AP_REASON_BROKEN,      /* the answer broke off; the request may have run */
	AP_REASON_TIMEOUT,     /* no answer within the caller's or the route's time */
	AP_REASON_UNPROVED,    /* the upstream failed in a way that promises too much */
} ap_reason_t;

const char *ap_reason_name(ap_reason_t reason);

/* What is decided on the way of a request; each is told to the driver's log with its target. */
typedef enum ap_step {
	AP_STEP_SENT,
	AP_STEP_SENT_AGAIN,
	AP_STEP_RESUMED, /* sent again to go on after the last event that was passed on */
	AP_STEP_REFUSED_BY,
	AP_STEP_UNREACHABLE,
	AP_STEP_FAILED_AT,
	AP_STEP_SILENT, /* left for another one, because nothing came */
	AP_STEP_CALLER_LEFT,
	AP_STEP_GIVEN_UP,
	AP_STEPS,
} ap_step_t;

const char *ap_step_name(ap_step_t step);

typedef struct ap_exchange ap_exchange_t;

/**
 * struct ap_exchange_ops - what the driver does for an exchange. None may call back into the
 * exchange before it returns.
 * @choose: where to send it
 * @may_repeat: takes one repetition from the shared budget
 * @send: opens a connection to @target and sends the request. Return: false when nothing was sent
 * @drop: the connection under way is not wanted any more
 * @head: the caller gets the head of the present target's answer
 * @data: a part of its body
 * @end: the answer is whole
 * @cut: the caller's connection is closed, so that the answer does not look whole
 * @reply: the final answer is ours; @retry_after is 0 when nothing is promised
 * @decided: what was decided, for the log; @target is NULL when none is behind it
 */
typedef struct ap_exchange_ops {
	ap_fleet_status_t (*choose)(void *ctx, const ap_dispatch_t *work, ap_target_t *target);
	bool (*may_repeat)(void *ctx);
	bool (*send)(void *ctx, const ap_target_t *target, const char *last_event_id);
	void (*sent)(void *ctx, const ap_target_t *target, ap_inflight_t *ticket);
	void (*first)(void *ctx, ap_inflight_t *ticket);
	void (*done)(void *ctx, ap_inflight_t *ticket, ap_dispatch_result_t end);
	void (*drop)(void *ctx);
	void (*head)(void *ctx);
	void (*data)(void *ctx, const void *data, size_t len);
	void (*end)(void *ctx);
	void (*cut)(void *ctx);
	void (*reply)(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason);
	void (*decided)(void *ctx, ap_step_t step, const ap_target_t *target);
} ap_exchange_ops_t;

/**
 * struct ap_exchange - one request.
 * @runs: times that it may have run
 * @sends: times that it reached an upstream, refused or not
 * @unsent: targets to which there was no connection
 * @paid: the next repetition was taken from the budget already
 * @committed: the caller has got a head
 * @resuming: events up to the last one that was passed on may come again
 * @over: the caller has its final answer or has left; only freeing is left
 */
struct ap_exchange {
	const ap_exchange_ops_t *ops;
	void *ctx;
	ap_dispatch_t work;
	ap_usec_t arrival;
	ap_usec_t give_up;
	unsigned attempts;
	unsigned runs;
	unsigned sends;
	unsigned refusals;
	unsigned unsent;
	bool stream;
	bool repeatable;
	bool sending;
	bool headed;
	bool committed;
	bool resuming;
	bool paid;
	bool over;
	ap_reason_t reason;
	ap_target_t target;
	ap_inflight_t ticket;
	ap_answer_head_t head;
	ap_usec_t sent;
	ap_usec_t piece; /* when the last piece of the answer came, or it was sent */
	ap_usec_t first_piece;
	uint64_t bytes;
	char last_id[AP_EVENT_ID_MAX];
	char *held;
	size_t held_len;
	size_t held_size;
	size_t scanned;
};

/**
 * ap_exchange_start() - a whole request has come.
 * @x: zeroed, with @ops, @ctx, @work and, for a stream that goes on, @last_id set
 * @attempts: upstreams on which it may run
 */
void ap_exchange_start(ap_exchange_t *x, unsigned attempts, ap_usec_t now);
/** ap_exchange_clear() - frees what it holds; drops a connection that is under way. */
void ap_exchange_clear(ap_exchange_t *x);
void ap_exchange_head(ap_exchange_t *x, const ap_answer_head_t *head, ap_usec_t now);
void ap_exchange_data(ap_exchange_t *x, const void *data, size_t len, ap_usec_t now);
void ap_exchange_end(ap_exchange_t *x, ap_link_end_t end, ap_usec_t now);
/** ap_exchange_gone() - the caller has left. */
void ap_exchange_gone(ap_exchange_t *x);
void ap_exchange_tick(ap_exchange_t *x, ap_usec_t now);
/** ap_exchange_due() - when ap_exchange_tick() is to be called next. */
ap_usec_t ap_exchange_due(const ap_exchange_t *x);

/**
 * ap_events_whole() - how many bytes at the start of @data are whole events of a stream.
 * @scanned: bytes already looked at in an earlier call
 */
size_t ap_events_whole(const char *data, size_t len, size_t scanned);
/** ap_events_last_id() - copies the id of the last event in @data that has one. */
bool ap_events_last_id(const char *data, size_t len, char id[AP_EVENT_ID_MAX]);
/** ap_events_after() - the start of the first event in @data past @id, by number; @len for none.
 * Ids that are no numbers are taken to be past it. */
size_t ap_events_after(const char *data, size_t len, const char *id);

#endif
