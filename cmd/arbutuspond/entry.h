/*
 * The entry task's own parts: callers' requests become exchanges, each of which makes attempts at
 * upstreams or at another entry until one answer is whole. Private to the daemon.
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

#define REPLY_HIGH (256 * 1024)	       /* bytes waiting for a caller above which reading stops */
#define REPLY_LOW (64 * 1024)	       /* bytes below which it goes on */
#define RESPONSE_BYTES_MAX (16u << 20) /* bytes of an answer that is given in one piece */
#define STREAM_BYTES_MAX (64u << 20)   /* bytes of a streamed answer */
#define ATTEMPTS_MAX 8		       /* attempts of one request; as many as ap_request can name */
#define FORWARD_WINDOW (256 * 1024)    /* bytes of answer that another entry may send ahead */
#define FORWARD_TIMEOUT_MARGIN (200 * AP_MSEC) /* the other entry's own limits come first */
#define REQUEST_TEXT_MAX 64		       /* bytes of a request's name, with its terminator */
#define IDEMPOTENCY_KEY_MAX 256		       /* bytes, with its terminator */
#define DRAINING_UPSTREAMS_MAX 1024 /* upstreams remembered as leaving between two views */

typedef struct entry entry_t;
typedef struct exchange exchange_t;

/* Errors that callers are told, each with a stable code. */
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
	ENTRY_UNCHECKED,
	ENTRY_ERROR_COUNT,
} entry_error_t;

/**
 * struct entry_fault - one error for a caller.
 * @retry_after: microseconds, or 0 for none
 * @entries: JSON array of entries to use instead; reference is taken over
 * @completed: the call that this one repeats was completed
 * @earlier_unknown: not run, but an earlier try with the same permit or key may have been
 * @stored: its answer, if it is still there; reference is taken over
 */
typedef struct entry_fault {
	entry_error_t error;
	ap_usec_t retry_after;
	json_t *entries;
	bool completed;
	bool earlier_unknown;
	json_t *stored;
	char text[AP_FORWARD_TEXT_MAX];
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
	COUNT_FORWARDED,
	COUNT_FORWARDED_IN,
	COUNT_ABANDONED_IN,
	COUNT_LATE_RESPONSES,
	COUNT_MISMATCHED_RESPONSES,
	COUNT_CUT_STREAMS,
	COUNT_SILENT_CONNECTIONS,
	COUNT_HANG_UPS,
	COUNT_TOKENS,
	COUNT_REFUSED_MESSAGES,
	COUNT_N,
} entry_count_t;

/**
 * struct entry_hooks - where calls that may run at most once are decided; all may be NULL.
 * @gate: an admitted call of a service that needs a permit; answers later, or at once, with
 *        exchange_run(), exchange_forward_to_issuer() or exchange_refuse()
 * @judge: a call with a permit that was given up before it reached the gate or after it was passed
 *         on; answers later, or at once, with exchange_reply_stored() or exchange_refuse()
 * @dispatch: just before the first byte is written; on false nothing is written
 * @ended: the exchange has its outcome; @answer is set when it was given in one piece
 * @hung_up: the caller of a call that waits at the gate hung up
 * @permits: POST /v1/permits; must reply
 * @message: a peer message of kind AP_WIRE_ONCE
 * @view: a new view is in force
 * @counters: adds Prometheus text
 * @drain: all requests have ended; calls entry_hooks_drained() once its records are handed over
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
 * struct entry_config - made once at start.
 * @clock: the task's clock for its time line
 * @note: takes a message for the control task
 * @send: sends to another entry; false when certainly not sent
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
 * struct delays - from a request's arrival to the first byte of its answer.
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
 * struct asker - an entry that passes requests to this one.
 * @last: the latest of its exchanges that came
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
	ap_http_client_t *client;
	ap_route_t *route;
	ap_admission_t *admission;
	ap_retry_budget_t *budget;
	ap_view_t *view;
	exchange_t *exchanges; /* by token */
	exchange_t *forwards;  /* by the exchange's name at the other entry */
	exchange_t *forwarded; /* by the sender's name of the exchange */
	draining_upstream_t *draining_upstreams;
	forward_sender_t *forward_senders; /* by name; members of the view only */
	struct event *tick;
	bool tick_soon; /* the tick is armed for queued requests */
	struct event *report;
	uint64_t next_token;
	uint64_t next_message;
	size_t waiting_calls; /* calls that the hooks hold outside exchanges */
	bool draining;
	bool drained;
	uint64_t counts[COUNT_N];
	delays_t delays[AP_CLASS_COUNT];
	double cost;
	uint64_t errors[ENTRY_ERROR_COUNT];
};

typedef enum exchange_phase {
	PHASE_WAITING, /* for admission */
	PHASE_GATE,    /* for the permit's decision */
	PHASE_RUNNING,
	PHASE_ENDED, /* answered; its attempt may still be closing */
} exchange_phase_t;

#define PASSED_HEADERS_MAX 9 /* names in the longer list of headers that are passed on */

/* Which way headers are passed on. */
typedef enum headers_way {
	HEADERS_REQUEST,  /* from callers to upstreams */
	HEADERS_RESPONSE, /* from plain services to callers */
	HEADERS_DIRECTIONS,
} headers_direction_t;

/**
 * struct header_set - headers that are passed on, in the order of their way's list.
 */
typedef struct header_set {
	char *values[PASSED_HEADERS_MAX];
} header_set_t;

/**
 * struct usage - an engine's own figures of the prompt.
 * @known: it gave them, and they are possible
 */
typedef struct usage {
	bool known;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
} usage_t;

/**
 * struct stream - server-sent events taken apart.
 * @part: an event that is not whole yet
 * @tokens: generated tokens passed on
 * @usage: what the engine said, if it did
 * @text: their text, kept for a resume
 */
typedef struct stream {
	struct evbuffer *partial;
	size_t scanned;
	uint32_t tokens;
	usage_t usage;
	struct evbuffer *text;
	bool done;
} stream_t;

/**
 * struct guest - the entry that passed a request to this one.
 * @out: parts of the answer that wait for credit
 * @credit_timer: gives the guest up when its sender says nothing while they wait
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
 * struct away - the attempt at another entry.
 * @exchange: names this attempt in messages
 * @got: bytes of the answer that came
 * @granted: bytes that may have been sent
 * @headed: the head of the answer came
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
	struct event *limit;
} forward_t;

/**
 * struct exchange - one request from its arrival to its whole answer.
 * @token: this entry's number for it
 * @call: its caller here; NULL for a guest, or when the caller was answered or hung up
 * @doc: body of an inference request
 * @raw: body of a plain request
 * @maybe_ran: some attempt may have started at an upstream
 * @lost: the latest attempt was the first that met a silent connection
 * @fresh: it met one, so that it uses only new or just-proved connections
 * @attempt_open: the choice of upstream waits to hear how the present attempt ended
 * @passed: the entry that issued its permit has it
 * @resolving: the gate asks what became of its permit
 * @held: what is said if its permit never ran
 * @matched: the present answer carries the name of the present attempt
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
	char content_type[AP_FORWARD_TYPE_MAX];
	header_set_t request_headers;
	char permit[AP_FORWARD_PERMIT_MAX];
	char idempotency_key[IDEMPOTENCY_KEY_MAX];
	json_t *doc;
	char *raw;
	size_t raw_len;
	bool wants_stream;
	struct event *limit;

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
	bool refused;
	int status;
	bool sse;
	char response_type[AP_FORWARD_TYPE_MAX];
	header_set_t response_headers;
	struct evbuffer *response;
	stream_t stream;
	bool reply_started;
	bool paused;
	double cost;
	char region[AP_NAME_MAX];
};

/* entry-core.c */
ap_http_status_t entry_new(const entry_config_t *config, entry_t **entry, ap_err_t *err);
void entry_free(entry_t *entry);
uint16_t entry_port(const entry_t *entry);
/* entry_note() - takes a message of the control task; false for stop. */
bool entry_note(entry_t *entry, ap_note_t *note);
/* entry_receive() - takes a message of another entry on the data port. */
void entry_receive(entry_t *entry, const char *from, const void *data, size_t len);
/* entry_hooks_drained() - the hooks have nothing left to hand over. */
void entry_hooks_drained(entry_t *entry);
/** entry_tick_soon() - a request was queued: looks at the queue again in a while. */
void entry_tick_soon(entry_t *entry);
void entry_check_drained(entry_t *entry);
void entry_upstream_draining(entry_t *entry, const char *upstream, bool tell);
/* entry_region_of() - NULL when @view has no entry of that name. */
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
/* reply_fault() - answers @call with an error; @fault's entries are released. */
void reply_fault(entry_t *entry, ap_http_call_t *call, const char *name, entry_fault_t *fault);
/* fault_earlier_unknown() - not-run is true of this try alone; of the call nothing is known. */
void fault_earlier_unknown(entry_fault_t *fault);
/* has_call_key() - is there a permit or a key, with which an earlier try may have come? */
bool has_call_key(const ap_http_call_t *call);
/* reply_early() - answers what was refused before anybody looked at its permit or key. */
void reply_early(entry_t *entry, ap_http_call_t *call, entry_fault_t *fault);
void reply_simple(entry_t *entry, ap_http_call_t *call, entry_error_t error, const char *text);
void reply_json(ap_http_call_t *call, int status, json_t *json);
json_t *entries_json(const entry_t *entry, const ap_caller_t *caller, bool home_only);
/* The asker of an exchange, caller or other entry: */
void sink_start(exchange_t *x);
void sink_write(exchange_t *x, const void *data, size_t len);
void sink_finish(exchange_t *x);
void sink_fault(exchange_t *x, entry_fault_t *fault);
/* sink_full() - must reading stop? */
bool sink_full(const exchange_t *x);

/* entry-caller.c */
void caller_request(void *ctx, ap_http_call_t *call);
/* caller_refused() - answers what never became a request. */
void caller_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);

/* entry-headers.c */
/* headers_copy() - replaces @set; false when one did not fit and was left out. */
bool headers_copy(header_set_t *set, headers_direction_t way, const struct evkeyvalq *from);
void headers_clear(header_set_t *set);
/* headers_list() - writes up to PASSED_HEADERS_MAX to @out; they point into @set. */
size_t headers_list(const header_set_t *set, headers_direction_t way, ap_http_header_t *out);
void headers_pack(const header_set_t *set, headers_direction_t way, ap_forward_headers_t *out);
/* headers_unpack() - replaces @set; what is not on the list is left out. */
void headers_unpack(header_set_t *set, headers_direction_t way, const ap_forward_headers_t *from);

/* entry-body.c */
/* body_read() - a new reference to an object, or NULL with @fault set. */
json_t *body_read(const void *data, size_t len, entry_fault_t *fault);
/* body_apply() - what @doc asks for; takes its own reference. */
bool body_apply(exchange_t *x, json_t *doc, entry_fault_t *fault);
/* body_model() - splits SERVICE/MODEL/ADAPTER; false when a part is too long. */
bool body_model(const char *text, char *service, char *model, char *adapter);
/* body_for_upstream() - text of the request as the chosen engine gets it; free() it. */
char *body_for_upstream(const exchange_t *x);

/* entry-exchange.c */
exchange_t *exchange_new(entry_t *entry, const ap_caller_t *caller, const ap_service_t *service);
/* exchange_begin() - asks for admission. */
void exchange_begin(exchange_t *x);
/* exchange_admitted() - the admission started it. */
void exchange_admitted(exchange_t *x);
/* exchange_shed() - no place here, at the door or after it waited: sent away, or answered at once.
 */
void exchange_shed(exchange_t *x, ap_usec_t retry_after);
/* exchange_run() - the gate opened. */
void exchange_run(exchange_t *x);
/* exchange_fail() - ends it with an error and what is said of it. */
void exchange_fail(exchange_t *x, entry_error_t error, const char *text);
/* exchange_refuse() - ends it with an error instead of an attempt. */
void exchange_refuse(exchange_t *x, entry_fault_t *fault);
/* exchange_reply_stored() - ends it with an answer given before; @type may be empty. */
void exchange_reply_stored(exchange_t *x, int status, const char *type, const void *response,
			   size_t len);
/* exchange_forward_to_issuer() - the entry @to of the own region must run it. */
void exchange_forward_to_issuer(exchange_t *x, const char *to);
/*
 * exchange_resolve_permit() - before anything is said of a permit, finds out what became of it.
 * Return: false when that is not needed; else @held is said if it never ran.
 */
bool exchange_resolve_permit(exchange_t *x, const entry_fault_t *deferred);
/* exchange_caller_gone() - its caller hung up, or the entry that passed it on cancelled it. */
void exchange_caller_gone(exchange_t *x);
/* exchange_retry() - the attempt ended without a whole answer. */
void exchange_retry(exchange_t *x, bool certainly_not_run, const char *why);
/* exchange_give_up() - no attempt is left. */
void exchange_give_up(exchange_t *x, const char *why);
void exchange_completed(exchange_t *x);
void exchange_free(exchange_t *x);
/* exchange_settle() - frees an exchange that has ended, once nothing of it is under way. */
void exchange_settle(exchange_t *x);

/* entry-attempt.c */
void attempt_start(exchange_t *x);
/*
 * attempt_forward() - another region for a request that waits @wait microseconds here, or AP_NEVER.
 * Return: false when none takes it; nothing was sent then.
 */
bool attempt_forward(exchange_t *x, ap_usec_t wait);
void attempt_cancel(exchange_t *x);
/* Parts of an answer, from an upstream or from another entry: */
void attempt_head(exchange_t *x, int status, const char *content_type);
/* attempt_data() - false when the answer is too long. */
bool attempt_data(exchange_t *x, const void *data, size_t len);
/* attempt_complete() - is the collected answer a whole one? */
bool attempt_complete(exchange_t *x);
void attempt_flow(exchange_t *x);

/* entry-stream.c */
/* usage_read() - takes the figures of an answer or event, if it has some. */
void usage_read(json_t *doc, usage_t *usage);
void stream_init(stream_t *s, bool keep_text);
void stream_clear(stream_t *s);
/* stream_cut() - drops an event that is not whole. */
void stream_cut(stream_t *s);
/* stream_feed() - takes bytes; whole events go to @events. False when one is too long. */
bool stream_feed(stream_t *s, const void *data, size_t len,
		 void (*events)(void *ctx, const void *data, size_t len), void *ctx);

/* entry-forward.c */
/* forward_start() - passes @x to the entry @to. Return: false when certainly not sent. */
bool forward_start(exchange_t *x, const char *to, unsigned hops);
const ap_entry_t *forward_pick_entry(exchange_t *x, const char *region);
void forward_cancel(exchange_t *x);
void forward_close(exchange_t *x);
void forward_grant_credit(exchange_t *x);
void forward_receive(entry_t *entry, const char *from, const ap_forward_msg_t *msg);
bool entry_send(entry_t *entry, const char *to, const ap_forward_msg_t *msg);

/* entry-forwarded.c */
void forwarded_receive(entry_t *entry, const char *from, const ap_forward_msg_t *msg);
void forwarded_pump(exchange_t *x);
void forwarded_clear(exchange_t *x);
/* entry_forget_senders() - but for the members of @view, which may be NULL. */
void entry_forget_senders(entry_t *entry, const ap_view_t *view);

#endif
