/*
 * Internal interface of the entry task. Each request from a caller becomes an exchange, which makes
 * attempts at upstreams or at another entry until it has a complete response. Private to the
 * daemon.
 */
#ifndef AP_ENTRY_H
#define AP_ENTRY_H

#include "http/http.h"
#include "limit/limit.h"
#include "route/route.h"
#include "settings/settings.h"
#include "task.h"
#include "wire/wire.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

#define REPLY_HIGH (256 * 1024)	       /* bytes queued for a caller; reading stops above */
#define RESPONSE_BYTES_MAX (16u << 20) /* bytes of a response that is not streamed */
#define STREAM_BYTES_MAX (64u << 20)   /* bytes of a streamed response */
#define ATTEMPTS_MAX 8		       /* attempts of one request; the size of ap_request's list */
#define FORWARD_WINDOW (256 * 1024)    /* credit: response bytes another entry may send ahead */
#define FORWARD_TIMEOUT_MARGIN                                                                     \
	(200 * AP_MSEC)		    /* lets the other entry's own limits expire first              \
				     */
#define REQUEST_TEXT_MAX 64	    /* bytes of a request's name, with the terminator */
#define IDEMPOTENCY_KEY_MAX 256	    /* bytes, with the terminator */
#define DRAINING_UPSTREAMS_MAX 1024 /* upstreams remembered as draining until the next view */

typedef struct entry entry_t;
typedef struct exchange exchange_t;

/* Errors reported to callers, each with a stable code. */
typedef enum entry_error {
	ENTRY_BAD_REQUEST,
	ENTRY_UNAUTHORIZED,
	ENTRY_FORBIDDEN,
	ENTRY_NOT_FOUND,
	ENTRY_REQUEST_TIMEOUT,
	ENTRY_PERMIT_USED,
	ENTRY_TOO_LARGE,
	ENTRY_WRONG_REGION,
	ENTRY_PERMIT_NEEDED,
	ENTRY_OVER_LIMIT,
	ENTRY_OVERLOADED,
	ENTRY_UPSTREAM_FAILED,
	ENTRY_NOT_RUN,
	ENTRY_UNKNOWN,
	ENTRY_DRAINING,
	ENTRY_UNCHECKED, /* not run, but an earlier call with the same permit or key may have run */
	ENTRY_ERROR_COUNT,
} entry_error_t;

/**
 * struct entry_fault - one error for a caller.
 * @retry_after: microseconds, or 0 for none
 * @entries: JSON array of entries to use instead; owns the reference
 * @completed: an earlier call with the same permit or key completed
 * @earlier_unknown: this request did not run, but an earlier one with the same permit or key may
 *                   have run
 * @stored: response of the completed call, or NULL if it is no longer kept; owns the reference
 */
typedef struct entry_fault {
	entry_error_t error;
	ap_usec_t retry_after;
	json_t *entries;
	bool completed;
	bool earlier_unknown;
	json_t *stored;
	char text[AP_FORWARD_ERROR_TEXT_MAX];
} entry_fault_t;

typedef enum entry_count {
	COUNT_REQUESTS,
	COUNT_COMPLETED,
	COUNT_NOT_RUN,
	COUNT_UNKNOWN,
	COUNT_WRONG_INPUT,
	COUNT_SHED,
	COUNT_ATTEMPTS,
	COUNT_RETRIES,
	COUNT_MISSING_MODELS, /* attempts at an engine without the model */
	COUNT_RESUMES,
	COUNT_FORWARDED,	    /* requests sent to a remote region */
	COUNT_FORWARDED_IN,	    /* requests received from another entry */
	COUNT_ABANDONED_IN,	    /* of these, abandoned because the sender sent nothing */
	COUNT_LATE_RESPONSES,	    /* messages for a forward that is not open here */
	COUNT_MISMATCHED_RESPONSES, /* with the id of another request */
	COUNT_CUT_STREAMS,	    /* ended with an error event */
	COUNT_SILENT_CONNECTIONS,
	COUNT_HANG_UPS,
	COUNT_TOKENS,
	COUNT_REFUSED_MESSAGES,
	COUNT_N,
} entry_count_t;

/**
 * struct entry_hooks - decides calls that run at most once; every hook may be NULL.
 * @gate: decides whether an admitted call of a service that needs a permit may run; calls
 *        exchange_run(), exchange_forward_to_issuer(), exchange_refuse() or another function that
 *        ends the exchange, at once or later
 * @resolve: finds out whether a call with a permit ran, after the call was given up before it
 *           reached the gate or after it was forwarded to the permit's issuer; calls
 *           exchange_reply_stored(), exchange_refuse() or another function that ends the
 *           exchange, at once or later
 * @dispatch: called just before the first byte is written to an upstream; if it returns false,
 *            nothing is written
 * @ended: the exchange has its outcome; @response is NULL unless the call completed and its
 *         response was not streamed
 * @caller_gone: the caller hung up, or the time limit passed, while the call waited at the gate
 * @permits: handles POST /v1/permits; must reply to @call
 * @message: a peer message of kind AP_WIRE_ONCE
 * @view: a new view is active
 * @counters: adds Prometheus text
 * @drain: all requests have ended; calls entry_hooks_drained() after the handover of the
 *         permit records to another entry
 */
typedef struct entry_hooks {
	void *ctx;
	void (*gate)(void *ctx, exchange_t *x);
	void (*resolve)(void *ctx, exchange_t *x);
	bool (*dispatch)(void *ctx, exchange_t *x);
	void (*ended)(void *ctx, exchange_t *x, ap_outcome_t outcome, const void *response,
		      size_t len);
	void (*caller_gone)(void *ctx, exchange_t *x);
	void (*permits)(void *ctx, ap_http_call_t *call, const ap_caller_t *caller,
			const ap_service_t *service);
	void (*message)(void *ctx, const char *from, const void *data, size_t len);
	void (*view)(void *ctx, const ap_view_t *view);
	void (*counters)(void *ctx, struct evbuffer *out);
	void (*drain)(void *ctx);
} entry_hooks_t;

/**
 * struct entry_config - parameters of entry_new().
 * @clock: clock that stamps the task's events
 * @note: sends a message to the control task
 * @send: sends a message to another entry; false when it was certainly not sent
 */
typedef struct entry_config {
	const ap_settings_t *settings;
	struct event_base *base;
	ap_id_t inc;
	ap_hlc_t *clock;
	void *ctx;
	void (*note)(void *ctx, const ap_note_t *note);
	bool (*send)(void *ctx, const char *to, const void *data, size_t len);
} entry_config_t;

#define DELAY_BUCKETS 11

/**
 * struct delays - histogram of the time from a request's arrival to the first byte of its response.
 */
typedef struct delays {
	uint64_t buckets[DELAY_BUCKETS];
	ap_usec_t sum;
} delays_t;

typedef struct draining_upstream {
	char name[AP_NAME_MAX];
	UT_hash_handle hh;
} draining_upstream_t;

/**
 * struct forward_sender - an entry that forwards requests to this one.
 * @last: the exchange with the highest number received from the sender
 */
typedef struct forward_sender {
	char name[AP_NAME_MAX];
	ap_xid_t last;
	UT_hash_handle hh;
} forward_sender_t;

struct entry {
	entry_config_t config;
	entry_hooks_t hooks;
	ap_env_t env;
	ap_rng_t rng;
	ap_http_server_t *server;
	ap_http_budget_t *memory; /* what connections hold; NULL for no limit */
	ap_http_client_t *client;
	ap_route_t *route;
	ap_admission_t *admission;
	ap_retry_budget_t *budget;
	ap_view_t *view;
	exchange_t *exchanges; /* all, by token */
	exchange_t *forwards;  /* sent to another entry, by the id of the attempt */
	exchange_t *forwarded; /* received from another entry, by the sender's id */
	draining_upstream_t *draining_upstreams;
	forward_sender_t *forward_senders; /* by name; entries of the view only */
	struct event *tick;
	bool tick_soon; /* the tick is armed with the interval for queued requests */
	struct event *report;
	uint64_t next_token;
	uint64_t next_message;
	size_t waiting_calls; /* calls that wait in the hooks and have no exchange */
	bool draining;
	bool drained;
	uint64_t counts[COUNT_N];
	delays_t delays[AP_CLASS_COUNT];
	double cost; /* of completed requests, in micro-units of the price */
	uint64_t errors[ENTRY_ERROR_COUNT];
};

typedef enum exchange_phase {
	PHASE_WAITING, /* for admission */
	PHASE_GATE,    /* for the decision on its permit or idempotency key */
	PHASE_RUNNING,
	PHASE_ENDED, /* the outcome is known; its attempt may still be closing */
} exchange_phase_t;

#define PASSED_HEADERS_MAX 9 /* names in the longer of the two lists of headers passed on */

/* Direction in which headers are passed on. */
typedef enum headers_direction {
	HEADERS_REQUEST,  /* from callers to upstreams */
	HEADERS_RESPONSE, /* from plain services to callers */
	HEADERS_DIRECTIONS,
} headers_direction_t;

/**
 * struct header_set - values of the headers passed on, in the order of the direction's list; NULL
 * for a header that is absent.
 */
typedef struct header_set {
	char *values[PASSED_HEADERS_MAX];
} header_set_t;

/**
 * struct usage - token counts of the prompt as the engine reported them.
 * @known: the engine reported them, and they are consistent
 */
typedef struct usage {
	bool known;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
} usage_t;

/**
 * struct stream - parser of server-sent events.
 * @partial: bytes of an event that is not complete yet
 * @scanned: bytes of @partial that were searched for the event's end
 * @tokens: generated tokens passed on
 * @usage: token counts reported by the engine
 * @text: text of the tokens passed on, for a resume; NULL if the service is not resumable
 * @plain: of a plain service, whose events may have any fields
 * @done: the end mark was received
 * @failed: the engine reported an error
 */
typedef struct stream {
	struct evbuffer *partial;
	size_t scanned;
	uint32_t tokens;
	usage_t usage;
	struct evbuffer *text;
	bool plain;
	bool done;
	bool failed;
} stream_t;

/**
 * struct forwarded - state of an incoming request, which another entry forwarded to this one.
 * @from: the sender
 * @exchange: the sender's id of the request
 * @credit: response bytes that the sender has granted in total
 * @sent: response bytes sent
 * @out: response bytes that wait for credit
 * @credit_timer: abandons the request when @out waits and the sender sends no message
 * @end: message to send after @out, once @ended is set
 */
typedef struct forwarded {
	char from[AP_NAME_MAX];
	ap_xid_t exchange;
	uint64_t credit;
	uint64_t sent;
	struct evbuffer *out;
	struct event *credit_timer;
	ap_forward_end_t end;
	bool ended;
} forwarded_t;

/**
 * struct forward - an outgoing request: the attempt at another entry.
 * @exchange: id of this attempt in messages
 * @received: response bytes received
 * @granted: response bytes granted as credit in total
 * @any_received: any message was received
 * @head_received: the head of the response was received
 * @last_active: time of the last message received or credit granted
 * @limit_timer: fails the attempt when no message comes
 */
typedef struct forward {
	bool open;
	ap_xid_t exchange;
	char to[AP_NAME_MAX];
	uint64_t received;
	uint64_t granted;
	bool any_received;
	bool head_received;
	ap_usec_t last_active;
	struct event *limit_timer;
} forward_t;

/**
 * struct exchange - one request from its arrival to its complete response.
 * @token: this entry's number for the exchange
 * @call: the caller's HTTP call; NULL for a forwarded request, or after the reply or a hang-up
 * @doc: body of an inference request
 * @raw: body of a plain request
 * @maybe_ran: some attempt may have started at an upstream
 * @first_silent: the latest attempt was the first to use a connection that went silent
 * @fresh_only: an attempt used a connection that went silent, so that later ones use only new or
 *              connections that passed a probe
 * @attempt_open: lib/route was told of the start of the current attempt and not yet of its end
 * @at_issuer: forwarded to the entry that issued its permit
 * @resolving: exchange_resolve_permit() asked whether its permit ran
 * @deferred_fault: error to report if its permit never ran
 * @matched: the current response carries the id of the current attempt
 * @version: of the model that serves the current attempt; 0 when it isn't known
 */
struct exchange {
	entry_t *entry;
	uint64_t token;
	UT_hash_handle hh;
	UT_hash_handle hh_forward;
	UT_hash_handle hh_forwarded;
	exchange_phase_t phase;
	ap_view_t *view;
	ap_request_t req;
	char name[REQUEST_TEXT_MAX];
	char home[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	char adapter[AP_NAME_MAX];
	ap_http_call_t *call;
	forwarded_t forwarded;
	bool is_forwarded;
	enum evhttp_cmd_type method;
	char *target;
	char content_type[AP_FORWARD_CONTENT_TYPE_MAX];
	header_set_t request_headers;
	char permit[AP_FORWARD_PERMIT_MAX];
	char idempotency_key[IDEMPOTENCY_KEY_MAX];
	json_t *doc;
	char *raw;
	size_t raw_len;
	bool wants_stream;
	struct event *limit_timer; /* ends the exchange at its time limit */

	ap_choice_t choice;
	char attempt_name[REQUEST_TEXT_MAX + 12];
	char tried[ATTEMPTS_MAX][AP_NAME_MAX];
	unsigned attempts;
	ap_http_fetch_t *fetch;
	forward_t forward;
	ap_usec_t sent_at;
	bool maybe_ran;
	bool admitted; /* counted as running by the admission */
	bool at_issuer;
	bool resolving;
	entry_fault_t deferred_fault;
	bool attempt_open;
	bool first_silent;
	bool fresh_only;
	bool first_byte_seen;
	bool matched;
	uint32_t version;
	bool refused;
	int status;
	bool sse;
	char response_type[AP_FORWARD_CONTENT_TYPE_MAX];
	header_set_t response_headers;
	struct evbuffer *response;
	stream_t stream;
	bool reply_started;
	bool paused;
	double cost; /* in micro-units of the price */
	char region[AP_NAME_MAX];
};

/* entry-core.c */
ap_http_status_t entry_new(const entry_config_t *config, entry_t **entry, ap_err_t *err);
void entry_free(entry_t *entry);
uint16_t entry_port(const entry_t *entry);
/* entry_note() - handles a message of the control task; returns false for AP_NOTE_STOP. */
bool entry_note(entry_t *entry, ap_note_t *note);
/* entry_receive() - handles a message that another entry sent to the data port. */
void entry_receive(entry_t *entry, const char *from, const void *data, size_t len);
/* entry_hooks_drained() - the hooks have finished their handover; the entry is drained. */
void entry_hooks_drained(entry_t *entry);
/* entry_tick_soon() - a request was queued: arms the tick with its short interval. */
void entry_tick_soon(entry_t *entry);
void entry_check_drained(entry_t *entry);
/*
 * entry_upstream_draining() - sends no new requests to @upstream.
 * @announce: also send this to the control task
 */
void entry_upstream_draining(entry_t *entry, const char *upstream, bool announce);
/* entry_region_of() - region of the entry @id, or NULL when @view has no such entry. */
const char *entry_region_of(const ap_view_t *view, const char *id);
bool entry_knows_draining(const entry_t *entry, const char *upstream);
exchange_t *exchange_by_token(const entry_t *entry, uint64_t token);

/* entry-counters.c */
char *entry_counters_text(const entry_t *entry);
void entry_record_delay(entry_t *entry, ap_class_t cls, ap_usec_t delay);

/* entry-reply.c */
int entry_error_status(entry_error_t error);
const char *entry_error_code(entry_error_t error);
ap_outcome_t entry_error_outcome(entry_error_t error);
bool entry_error_by_code(const char *code, entry_error_t *error);
/* reply_fault() - answers @call with an error; releases the references in @fault. */
void reply_fault(entry_t *entry, ap_http_call_t *call, const char *name, entry_fault_t *fault);
/*
 * fault_earlier_unknown() - changes a not-run @fault to an unknown outcome: this request did not
 * run, but an earlier one with the same permit or key may have run.
 */
void fault_earlier_unknown(entry_fault_t *fault);
/* has_call_key() - true if @call has a permit or an idempotency key. */
bool has_call_key(const ap_http_call_t *call);
/* reply_early() - answers a request that was refused before its permit or key was checked. */
void reply_early(entry_t *entry, ap_http_call_t *call, entry_fault_t *fault);
/* reply_simple() - as reply_early(), without a retry time; counts as wrong input. */
void reply_simple(entry_t *entry, ap_http_call_t *call, entry_error_t error, const char *text);
void reply_json(ap_http_call_t *call, int status, json_t *json);
json_t *entries_json(const entry_t *entry, const ap_caller_t *caller, bool home_only);
/* Output of an exchange, to its caller or to the entry that forwarded the request: */
void sink_start(exchange_t *x);
void sink_write(exchange_t *x, const void *data, size_t len);
void sink_finish(exchange_t *x);
void sink_fault(exchange_t *x, entry_fault_t *fault);
/* sink_full() - true if reading from the upstream must stop. */
bool sink_full(const exchange_t *x);

/* entry-caller.c */
void caller_request(void *ctx, ap_http_call_t *call);
/* caller_refused() - answers input that the HTTP server could not take as a request. */
void caller_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);

/* entry-headers.c */
/* headers_copy() - replaces @set; false when a header did not fit and was left out. */
bool headers_copy(header_set_t *set, headers_direction_t direction, const struct evkeyvalq *from);
void headers_clear(header_set_t *set);
/* headers_list() - writes up to PASSED_HEADERS_MAX headers to @out, which point into @set. */
size_t headers_list(const header_set_t *set, headers_direction_t direction, ap_http_header_t *out);
void headers_pack(const header_set_t *set, headers_direction_t direction,
		  ap_forward_headers_t *out);
/* headers_unpack() - replaces @set; leaves out headers that are not on the list. */
void headers_unpack(header_set_t *set, headers_direction_t direction,
		    const ap_forward_headers_t *from);

/* entry-body.c */
/* body_read() - returns a new reference to a JSON object, or NULL with @fault set. */
json_t *body_read(const void *data, size_t len, entry_fault_t *fault);
/* body_apply() - fills in @x from the request @doc, and takes its own reference to @doc. */
bool body_apply(exchange_t *x, json_t *doc, entry_fault_t *fault);
/* body_model() - splits SERVICE[/MODEL[/ADAPTER]]; false when a part is too long or missing. */
bool body_model(const char *text, char *service, char *model, char *adapter);
/* body_for_upstream() - text of the request for the chosen engine; the caller frees it. */
char *body_for_upstream(const exchange_t *x);
/* body_for_entry() - text of the request for another entry, which chooses the engine; likewise. */
char *body_for_entry(const exchange_t *x);

/* entry-exchange.c */
exchange_t *exchange_new(entry_t *entry, const ap_caller_t *caller, const ap_service_t *service);
/* exchange_begin() - requests admission. */
void exchange_begin(exchange_t *x);
/* exchange_admitted() - admission let the request start. */
void exchange_admitted(exchange_t *x);
/*
 * exchange_shed() - admission shed the request, at once or after it waited: forwards it to a remote
 * region or ends it with an error.
 */
void exchange_shed(exchange_t *x, ap_usec_t retry_after);
/* exchange_run() - starts the first attempt; the gate calls it for a call that may run. */
void exchange_run(exchange_t *x);
/* exchange_fail() - ends the exchange with an error and its message. */
void exchange_fail(exchange_t *x, entry_error_t error, const char *text);
/* exchange_refuse() - ends the exchange with @fault; releases the references in @fault. */
void exchange_refuse(exchange_t *x, entry_fault_t *fault);
/* exchange_reply_stored() - ends the exchange with a stored response; @type may be empty. */
void exchange_reply_stored(exchange_t *x, int status, const char *type, const void *response,
			   size_t len);
/* exchange_forward_to_issuer() - forwards to the entry @to of this region, which must run it. */
void exchange_forward_to_issuer(exchange_t *x, const char *to);
/*
 * exchange_resolve_permit() - finds out whether the call of a permit ran, before an error is
 * reported. Return: false if the exchange has no permit to resolve. Otherwise the exchange ends,
 * now or later, with @deferred if the call never ran.
 */
bool exchange_resolve_permit(exchange_t *x, const entry_fault_t *deferred);
/* exchange_caller_gone() - the caller hung up, or the forwarding entry cancelled or is gone. */
void exchange_caller_gone(exchange_t *x);
/* exchange_retry() - the attempt ended without a complete response: retries or gives up. */
void exchange_retry(exchange_t *x, bool certainly_not_run, const char *why);
/* exchange_give_up() - ends the exchange with an error; no attempt is left. */
void exchange_give_up(exchange_t *x, const char *why);
void exchange_completed(exchange_t *x);
void exchange_free(exchange_t *x);
/* exchange_settle() - frees @x if it has ended, its fetch is closed and its output is sent. */
void exchange_settle(exchange_t *x);

/* entry-attempt.c */
void attempt_start(exchange_t *x);
/*
 * attempt_forward() - forwards to a remote region a request that would wait @wait microseconds
 * here, or AP_NEVER. Return: false if no region takes the request; nothing was sent then.
 */
bool attempt_forward(exchange_t *x, ap_usec_t wait);
void attempt_cancel(exchange_t *x);
/* Head and chunks of a response, from an upstream or from another entry: */
void attempt_head(exchange_t *x, int status, const char *content_type);
/* attempt_continues() - may the response that begins now go on with what was passed on before? */
bool attempt_continues(const exchange_t *x, const char **why);
/* attempt_data() - false when the response is too long, or reports an error in its stream. */
bool attempt_data(exchange_t *x, const void *data, size_t len);
/* attempt_complete() - true if the collected response is complete. */
bool attempt_complete(exchange_t *x);
void attempt_flow(exchange_t *x);

/* entry-stream.c */
/* usage_read() - takes the token counts of a response or event, if present and consistent. */
void usage_read(json_t *doc, usage_t *usage);
void stream_init(stream_t *s, const ap_service_t *service);
void stream_clear(stream_t *s);
/* stream_drop_partial() - drops an incomplete event and the token counts reported so far. */
void stream_drop_partial(stream_t *s);
/*
 * stream_feed() - takes bytes; passes complete events to @events. False when one is too long, or
 * reports an error.
 */
bool stream_feed(stream_t *s, const void *data, size_t len,
		 void (*events)(void *ctx, const void *data, size_t len), void *ctx);

/* entry-forward.c */
/* forward_start() - sends @x to the entry @to. Return: false when certainly not sent. */
bool forward_start(exchange_t *x, const char *to, unsigned hops);
/* forward_pick_entry() - a random entry of @region that does not drain, or NULL. */
const ap_entry_t *forward_pick_entry(exchange_t *x, const char *region);
void forward_cancel(exchange_t *x);
void forward_close(exchange_t *x);
void forward_grant_credit(exchange_t *x);
void forward_receive(entry_t *entry, const char *from, const ap_forward_msg_t *msg);
bool entry_send(entry_t *entry, const char *to, const ap_forward_msg_t *msg);

/* entry-forwarded.c */
void forwarded_receive(entry_t *entry, const char *from, const ap_forward_msg_t *msg);
/* forwarded_pump() - sends response bytes up to the credit, and the end after the last of them. */
void forwarded_pump(exchange_t *x);
/* forwarded_clear() - releases the state of a forwarded request, if @x is one. */
void forwarded_clear(exchange_t *x);
/* entry_forget_senders() - drops senders that are not in @view; all if @view is NULL. */
void entry_forget_senders(entry_t *entry, const ap_view_t *view);

#endif
