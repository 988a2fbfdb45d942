/*
 * One request from its arrival to its final response: chooses the target, decides about retries,
 * delivers the response and generates an error response when there is none. The code here does no
 * I/O and reads no clock: the driver passes in events and the time, and actions go out through
 * callbacks. A request that may run at most once is never run twice, and a response promises "not
 * run" only if the request has not run and will not run.
 */
#ifndef AP_EXCHANGE_H
#define AP_EXCHANGE_H

#include "base/base.h"
#include "fleet/fleet.h"

#define AP_SSE_ID "id:"
#define AP_SSE_DATA "data:"
/* Bytes of a response that are held at most until it is complete. */
#define AP_EXCHANGE_HELD_MAX (1 << 20)
#define AP_SSE_ID_MAX 64 /* bytes of a server-sent event's id, with terminator */
/* What an instance puts behind the events of a forwarded stream whose end is in doubt. */
#define AP_EXCHANGE_UNCONFIRMED ": end unconfirmed\n\n"
#define AP_SLOTS 2 /* attempts of one request that may be in flight at the same time */

/* How the connection to a target ended, as far as the driver can tell. */
typedef enum ap_connection_end {
	AP_CONNECTION_OPEN,		 /* it has not ended */
	AP_CONNECTION_COMPLETE,		 /* the response is complete by its framing */
	AP_CONNECTION_COMPLETE_ON_CLOSE, /* clean close of a response without framing: its end, or
					    that of the upstream's process */
	AP_CONNECTION_UNSENT,		 /* nothing of the request reached the target */
	AP_CONNECTION_BROKEN,		 /* the connection failed; the request may have run */
	AP_CONNECTION_TIMED_OUT,	 /* a time limit passed; the request may have run */
} ap_connection_end_t;

/** ap_connection_end_name() - the end's name in logs. */
const char *ap_connection_end_name(ap_connection_end_t end);

/**
 * struct ap_response_head - what the head of a target's response tells.
 * @status: HTTP status
 * @refused: the target states that it did not run the request
 * @unsent: the target, an instance, states that the request reached no upstream
 * @address_reused: another upstream has the address now
 * @weights_refused: the target has another version of the weights than it was asked for
 * @sized: the head states the length of the body
 * @bodiless: the response has no body, as its status or the method of the request says
 * @from_replica: the head shows that a replica made the response and its body; only then is a
 *	success, or an error, the response to the request
 * @build: of the upstream behind a remote target; 0 if the target doesn't say
 * @weights: version of the model's weights that the upstream names for the events that follow
 * @retry_after: of a refusal by an instance: after how long the request may be sent again, in
 *	microseconds; 0 if it doesn't say
 */
typedef struct ap_response_head {
	int status;
	bool refused;
	bool unsent;
	bool address_reused;
	bool weights_refused;
	bool sized;
	bool bodiless;
	bool from_replica;
	uint64_t build;
	ap_weights_t weights;
	ap_usec_t retry_after;
} ap_response_head_t;

/* Why this instance generates the final response itself. */
typedef enum ap_reason {
	AP_REASON_NONE,
	AP_REASON_NO_UPSTREAM, /* no allowed target is usable */
	AP_REASON_TOO_LATE,    /* no allowed target would respond in time */
	AP_REASON_HELD,	       /* requests like this one may crash upstreams */
	AP_REASON_BACKOFF,     /* every allowed target asked for a pause */
	AP_REASON_REFUSED,     /* every target that got the request refused it */
	AP_REASON_BUDGET,      /* not retried: this instance's part of the retry budget is spent */
	/* The connection or the response failed or timed out; the request may have run. */
	AP_REASON_BROKEN,
	/* No response within the caller's or the route's time, or no data for too long. */
	AP_REASON_TIMEOUT,
	/* An error that no replica sent, or whose status may wrongly imply "not run". */
	AP_REASON_UNPROVED,
	AP_REASON_MEMORY, /* what is held of its response is too much while memory is short */
	AP_REASONS,
} ap_reason_t;

/** ap_reason_name() - the reason's name in logs and error bodies. */
const char *ap_reason_name(ap_reason_t reason);

/* Why a success that has ended may not be whole. */
typedef enum ap_doubt {
	AP_DOUBT_NONE,
	AP_DOUBT_TRUNCATED, /* a stream ends within an event */
	AP_DOUBT_DEADLINE,  /* the upstream may have stopped at the deadline that it was told */
	AP_DOUBT_PACE,	    /* or before it, as the next piece would have come after it */
	AP_DOUBT_GAP,	    /* likewise, though the stream has shown no such pause; only asked */
	AP_DOUBT_NO_EVENT,  /* a stream ends without an event, or goes on with none */
	AP_DOUBT_STOPPED,   /* the upstream may have stopped, as it had announced */
	AP_DOUBTS,
} ap_doubt_t;

/** ap_doubt_name() - the doubt's name in logs and metrics. */
const char *ap_doubt_name(ap_doubt_t doubt);

/* What is made of a doubted end after the last event while nothing denies or confirms it. */
typedef enum ap_end_belief {
	AP_END_UNKNOWN,	 /* there is none, or the response is broken */
	AP_END_PRESUMED, /* it stands */
	AP_END_UNPROVED, /* it doesn't; the response is given up at its deadline */
} ap_end_belief_t;

/* Decisions about a request; the driver logs each of them with its target. */
typedef enum ap_step {
	AP_STEP_SENT,
	AP_STEP_RETRIED,
	AP_STEP_RESUMED, /* retried, to continue after the last event that was delivered */
	AP_STEP_REFUSED_BY,
	AP_STEP_UNREACHABLE,
	AP_STEP_FAILED_AT,
	AP_STEP_TIMED_OUT, /* no data came for too long, so another target is tried beside it */
	AP_STEP_SECOND,	   /* sent to a second target too, as the first one is slow to respond */
	AP_STEP_CANCELLED, /* of two targets, the other one has accepted the stream, or responded */
	AP_STEP_CALLER_DISCONNECTED,
	AP_STEP_GIVEN_UP, /* this instance generates the final response, or aborts it */
	AP_STEPS,
} ap_step_t;

/** ap_step_name() - the step's name in logs. */
const char *ap_step_name(ap_step_t step);

typedef struct ap_exchange ap_exchange_t;

/**
 * struct ap_exchange_ops - what the driver does for an exchange. No callback may call into the
 * exchange before it returns. An attempt is named by its slot, below AP_SLOTS, from @send until its
 * end or @drop_connection.
 * @choose: chooses the target for @req; with AP_FLEET_LATE @target holds the best one nevertheless
 * @may_retry: takes one retry from this instance's part of the retry budget. Return: false when it
 *	is spent
 * @slow_after: returns how long after the send to @target, in microseconds, an attempt without a
 *	response is slow, so that @second is asked; AP_NEVER for never. NULL without second attempts
 * @second: decides whether a second attempt is sent, beside the slow one that was sent @elapsed
 *	microseconds ago to @first; takes it from the budgets. @target is NULL if there is none
 * @send: opens a connection to @target for @slot and sends the request; @last_event_id is NULL
 *	unless a stream is resumed. Return: false when nothing was sent
 * @sent: records the request as in flight at @target and fills @inflight
 * @first_chunk: complete events of a stream have arrived, or the complete response if it isn't a
 *	stream; may be called more than once for an @inflight
 * @done: the in-flight request behind @inflight ended
 * @drop_connection: closes the connection of @slot; its response isn't needed any more
 * @check: finds out whether the target of @slot, whose connection has closed, lives on; the result
 *	is told by ap_exchange_checked(). Return: false if that can't be found out
 * @arrived: returns when the latest bytes of the response of @slot arrived at this machine, or 0 if
 *	that isn't known; NULL if it never is
 * @stopped: returns whether the process at @target may have stopped by now, or would have @within,
 *	as it had announced; NULL if none announces it
 * @weights: the events of a stream are of the version @weights from number @since on, of one that
 *	isn't known if @weights is AP_WEIGHTS_ANY; NULL if the driver doesn't want to know
 * @hold_max: returns how many bytes of a body may be held until it is complete, so that another
 *	target can be tried if it isn't; NULL for AP_EXCHANGE_HELD_MAX
 * @head: sends the head of the response of @slot to the caller
 * @data: sends a part of the response's body to the caller
 * @end: the response is complete
 * @abort_response: ends the response so that it doesn't look complete: closes the caller's
 *connection, or sends an error if nothing of the response was sent yet
 * @reply: sends a response that this instance generates; @retry_after (microseconds) is 0 when
 *	the caller isn't told to retry
 * @log_step: logs a decision; @target is NULL when no target belongs to it
 */
typedef struct ap_exchange_ops {
	ap_fleet_status_t (*choose)(void *ctx, const ap_dispatch_t *req, ap_target_t *target);
	bool (*may_retry)(void *ctx);
	ap_usec_t (*slow_after)(void *ctx, const ap_target_t *target);
	bool (*second)(void *ctx, const ap_target_t *first, ap_usec_t elapsed,
		       const ap_target_t *target);
	bool (*send)(void *ctx, unsigned slot, const ap_target_t *target,
		     const char *last_event_id);
	void (*sent)(void *ctx, const ap_target_t *target, ap_inflight_t *inflight);
	void (*first_chunk)(void *ctx, ap_inflight_t *inflight);
	void (*done)(void *ctx, ap_inflight_t *inflight, ap_dispatch_result_t end);
	void (*drop_connection)(void *ctx, unsigned slot);
	bool (*check)(void *ctx, unsigned slot);
	ap_usec_t (*arrived)(void *ctx, unsigned slot);
	bool (*stopped)(void *ctx, const ap_target_t *target, ap_usec_t within);
	void (*weights)(void *ctx, ap_weights_t weights, uint64_t since);
	size_t (*hold_max)(void *ctx);
	void (*head)(void *ctx, unsigned slot);
	void (*data)(void *ctx, const void *data, size_t len);
	void (*end)(void *ctx);
	void (*abort_response)(void *ctx);
	void (*reply)(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason);
	void (*log_step)(void *ctx, ap_step_t step, const ap_target_t *target);
} ap_exchange_ops_t;

/**
 * struct ap_attempt - one send of a request. Times are absolute.
 * @in_flight: its connection is open, or @checking
 * @has_head: @head holds the target's response head
 * @head_at: when it arrived
 * @head_in_time: it arrived before the deadline that the target was told
 * @sent_at: when it was sent
 * @slow_at: from when on it is slow if it has no response; AP_NEVER for never, or once decided
 * @second: it was sent because the other one is slow
 * @checking: the response ended with its connection, and the driver checks the target
 * @marked: the end of the forwarded stream bears the mark that it is in doubt
 * @behind: the last event that it has repeated isn't the last one that was delivered
 * @resuming: the target may repeat events up to the last one that was delivered
 * @goes_on: it was asked to go on after an event
 * @placed: an event with a usable id has come, whether repeated or delivered
 * @held: what has come may be repeated, as the next event with an id will tell
 * @n_held: how many events that is
 * @ended: its response is complete, so no other event will tell
 * @accepted_at: when the head of a success arrived; 0 before
 * @last_chunk_at: of the response; at first when the request was sent
 * @piece_at: when its latest piece arrived, an event or a part of a body; at first when the request
 *	was sent
 * @has_piece: one has arrived
 * @first_pause: from the send to the first piece
 * @pauses: sum of the times from one piece to the next
 * @paused_pieces: how many pieces came after these
 * @paused_reads: and in how many reads
 * @unread: the caller's slow reading delayed what comes next
 * @buffer: data of the response that was not delivered yet
 * @scanned: bytes of @buffer that were searched for the end of an event
 * @weights: version that made the events before @buffer, or will make the first one
 */
typedef struct ap_attempt {
	bool in_flight;
	bool has_head;
	ap_usec_t head_at;
	bool head_in_time;
	ap_usec_t sent_at;
	ap_usec_t slow_at;
	bool second;
	bool checking;
	bool marked;
	bool behind;
	bool resuming;
	bool goes_on;
	bool placed;
	bool held;
	size_t n_held;
	bool ended;
	ap_target_t target;
	ap_inflight_t inflight;
	ap_response_head_t head;
	ap_usec_t accepted_at;
	ap_usec_t last_chunk_at;
	ap_usec_t piece_at;
	bool has_piece;
	bool unread;
	ap_usec_t first_pause;
	ap_usec_t pauses;
	uint64_t paused_pieces;
	uint64_t paused_reads;
	char *buffer;
	size_t buffer_len;
	size_t buffer_size;
	size_t scanned;
	ap_weights_t weights;
} ap_attempt_t;

/**
 * struct ap_exchange - one request. Times are absolute.
 * @early_head: set if the caller, an instance, has another attempt in flight: a stream's head is
 *	passed on before its first event, so that the caller ends the other one; only with one of
 *	@attempts
 * @timeout_at: the earlier of the caller's deadline and the route's timeout
 * @attempts: how many times the request may run
 * @runs: how many times it may have run so far, without what is in flight
 * @sends: how many times it reached a target, whether refused or not
 * @seconds: second attempts that were sent because the first one was slow; at most one
 * @connect_failures: how many targets could not be reached
 * @weights_refusals: refusals by targets that have another version of the weights
 * @weights_differ: responses that would have gone on at another version of the weights
 * @committed: the head was sent to the caller, so the response can't be replaced any more
 * @paused: the caller reads too slowly, so targets aren't read from
 * @finished: the caller has its final response or has disconnected; only
 *	ap_exchange_clear() is left to call
 * @untold: refusals that didn't say after how long the request may be sent again
 * @told: the shortest time that others said, in microseconds
 * @pause: known time until the request may be sent again, in microseconds; 0 for unknown
 * @no_other: why the request was not sent to another target, the last time that this was considered
 * @end_stated: an upstream has ended the stream in order after @last_event_id, which was doubted
 * @begun_id: id of the last event that an upstream has begun, as far as the caller lacked it; or
 *	empty
 * @belief: what becomes of that end, or another one that was doubted, if nobody confirms it
 * @taken_up: the caller has events of the stream from an earlier request
 * @doubt: of the latest success that may not have been whole
 * @connection_end: of the latest connection that ended by itself
 * @end_left: time until @timeout_at when it did, in microseconds; negative after that
 * @first_pause: from the send to the first piece, of the first response that had one
 * @mean_pause: from a piece to the next, of the latest response that showed it; 0 for none
 * @target: that was chosen last, whether the request was sent there or not
 * @waits_since: since when the attempt in @current has had its time, at least
 * @current: slot of the attempt that has the response, or is to have it; another one in flight has
 *	been sent because that one is silent, and replaces it if it responds first, or soon after
 *	it has accepted a stream
 * @events: of a stream, that were delivered
 * @last_event_id: id of the last event that the caller has with a usable one (neither empty nor too
 *	long); empty for none, and after an empty one
 * @unplaced: events without a usable id were delivered after that one, so nobody can go on
 * @unnumbered: such events were delivered at some time
 * @ids: of the events that the caller has, as far as known, if they are no numbers; each with its
 *	terminator
 * @weights_field: name of the field of an event from which on the upstream has another version of
 *	the weights, with its colon; NULL for none. @req.weights is the version that made the last
 *	event that the caller has
 */
struct ap_exchange {
	const ap_exchange_ops_t *ops;
	void *ctx;
	ap_dispatch_t req;
	bool early_head;
	ap_usec_t arrival;
	ap_usec_t timeout_at;
	unsigned attempts;
	unsigned runs;
	unsigned sends;
	unsigned seconds;
	unsigned refusals;
	unsigned untold;
	ap_usec_t told;
	ap_usec_t pause;
	unsigned connect_failures;
	unsigned weights_refusals;
	unsigned weights_differ;
	bool stream;
	bool retryable;
	bool committed;
	bool paused;
	bool finished;
	ap_reason_t reason;
	ap_reason_t no_other;
	bool end_stated;
	char begun_id[AP_SSE_ID_MAX];
	ap_end_belief_t belief;
	bool taken_up;
	ap_doubt_t doubt;
	ap_connection_end_t connection_end;
	ap_usec_t end_left;
	ap_usec_t first_pause;
	ap_usec_t mean_pause;
	ap_target_t target;
	ap_usec_t first_chunk_at;
	ap_usec_t waits_since;
	uint64_t bytes;
	uint64_t events;
	char last_event_id[AP_SSE_ID_MAX];
	bool unplaced;
	bool unnumbered;
	char *ids;
	size_t ids_len;
	const char *weights_field;
	unsigned current;
	ap_attempt_t slot[AP_SLOTS];
};

/**
 * ap_exchange_start() - sends a complete request to its first target.
 * @x: zeroed, with @ops, @ctx, @req and, for a stream to be resumed, @last_event_id set
 * @attempts: how many times the request may run, if its route allows retries at all
 */
void ap_exchange_start(ap_exchange_t *x, unsigned attempts, ap_usec_t now);
/** ap_exchange_give_up() - ends the request with a response of this instance. */
void ap_exchange_give_up(ap_exchange_t *x, ap_reason_t reason, ap_usec_t now);
/** ap_exchange_held() - bytes of memory that responses take which the caller hasn't got yet. */
size_t ap_exchange_held(const ap_exchange_t *x);
/** ap_exchange_clear() - frees the buffers and drops connections that are still open. */
void ap_exchange_clear(ap_exchange_t *x);
/** ap_exchange_build() - the build of the upstream that serves the current response. */
uint64_t ap_exchange_build(const ap_exchange_t *x);
/**
 * ap_exchange_shows_length() - returns whether the length that an upstream states of a stream is
 * that of what the caller gets, another instance. So it is unless the stream may be retried here,
 * or the caller has a part of it.
 */
bool ap_exchange_shows_length(const ap_exchange_t *x);
/** ap_exchange_head() - the response head of the attempt in @slot arrived. */
void ap_exchange_head(ap_exchange_t *x, unsigned slot, const ap_response_head_t *head,
		      ap_usec_t now);
/** ap_exchange_data() - a part of the body of its response arrived. */
void ap_exchange_data(ap_exchange_t *x, unsigned slot, const void *data, size_t len, ap_usec_t now);
/** ap_exchange_end() - its connection ended. */
void ap_exchange_end(ap_exchange_t *x, unsigned slot, ap_connection_end_t end, ap_usec_t now);
/**
 * ap_exchange_checked() - the result of the check of the target of @slot.
 * @ended: the target's process has ended, or may have; false if the one that responded lives on
 */
void ap_exchange_checked(ap_exchange_t *x, unsigned slot, bool ended, ap_usec_t now);
/**
 * ap_exchange_pause() - the driver stops reading from targets, or goes on, because of the caller.
 * That they send nothing meanwhile says nothing about them.
 */
void ap_exchange_pause(ap_exchange_t *x, bool paused, ap_usec_t now);
/** ap_exchange_caller_disconnected() - cancels the request; nobody waits for its response. */
void ap_exchange_caller_disconnected(ap_exchange_t *x);
/** ap_exchange_tick() - acts on timeouts: tries another target or gives up. */
void ap_exchange_tick(ap_exchange_t *x, ap_usec_t now);
/**
 * ap_exchange_pace() - the mean time that the current target has taken for a piece of the response:
 * from one to the next; while there is only one, from the send to it. 0 if none has arrived.
 */
ap_usec_t ap_exchange_pace(const ap_exchange_t *x);
/**
 * ap_exchange_events_max() - how many events the stream has if it is as long as the request allows;
 * 0 if that isn't known, as the request or the pool doesn't tell.
 */
uint64_t ap_exchange_events_max(const ap_exchange_t *x);
/** ap_exchange_due() - when to call ap_exchange_tick() next; AP_NEVER once finished. */
ap_usec_t ap_exchange_due(const ap_exchange_t *x);

/**
 * ap_sse_complete_len() - returns how many bytes at the start of @data are complete events.
 * @scanned: bytes that an earlier call searched already
 */
size_t ap_sse_complete_len(const char *data, size_t len, size_t scanned);
/** ap_sse_count() - returns the number of complete events in @data; comments are none. */
size_t ap_sse_count(const char *data, size_t len);

/**
 * struct ap_sse_event - a complete event.
 * @end: offset past it
 * @counts: it is an event, no comment
 * @has_id: it has an id, which may be empty, and isn't too long
 * @id: empty if it has none
 */
typedef struct ap_sse_event {
	size_t end;
	bool counts;
	bool has_id;
	char id[AP_SSE_ID_MAX];
} ap_sse_event_t;

/** ap_sse_next() - reads the event that begins at @from. Return: false if it isn't complete. */
bool ap_sse_next(const char *data, size_t len, size_t from, ap_sse_event_t *event);
/** ap_sse_is_number() - returns whether @id is a whole number, of any size. */
bool ap_sse_is_number(const char *id);
/**
 * ap_sse_id_is_after() - returns whether the id @current may follow @id: it is a larger number, or
 * one of them is no number.
 */
bool ap_sse_id_is_after(const char *current, const char *id);
/**
 * ap_sse_begun_id() - copies the id of an event whose beginning, at least, is in @data.
 * Return: false if it has none, or not yet, or an empty one
 */
bool ap_sse_begun_id(const char *data, size_t len, char id[AP_SSE_ID_MAX]);
/**
 * ap_sse_ordered_len() - returns how many bytes at the start of @data, which holds complete events,
 * are events whose ids rise, from above @id if that isn't empty. Ids that are no whole numbers, and
 * events without one, break no order; nor does what follows an empty id.
 */
size_t ap_sse_ordered_len(const char *data, size_t len, const char *id);
/**
 * ap_sse_number() - reads the field @name of the first event.
 * Return: false if it has no such field, or no whole number from 0 to 2^64 - 1 in it
 */
bool ap_sse_number(const char *data, size_t len, const char *name, uint64_t *number);
/**
 * ap_sse_next_with() - returns the offset of the first event after the first one that has the field
 * @name, or @len.
 */
size_t ap_sse_next_with(const char *data, size_t len, const char *name);

#endif
