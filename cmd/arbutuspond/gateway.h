/*
 * The gateway task: an instance that serves on a host platform (see platform/host.h). One event
 * loop owns the listeners for callers and other instances, the connections to upstreams, the client
 * of the platform's store and all state. Calls to the store are asynchronous, so a slow or
 * unreachable store never delays a request. The prefix gate_ means the gateway task.
 */
#ifndef AP_GATEWAY_H
#define AP_GATEWAY_H

#include "base/base.h"
#include "exchange/exchange.h"
#include "fleet/fleet.h"
#include "follow/follow.h"
#include "hedge/hedge.h"
#include "http/http.h"
#include "log/log.h"
#include "peer/peer.h"
#include "platform/host.h"
#include "plan/plan.h"
#include "settings/settings.h"

#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define GATE_STEPS_MAX 8 /* latest steps kept of each request */

/*
 * Headers of forwarded requests and of their responses, between instances of different regions.
 * Headers with this prefix from callers and upstreams are not passed on.
 * ATTEMPTS: how many times the receiver may run the request
 * NOT_RUN: the request did not run
 * BUILD: of the upstream at which a stream must go on, or that responded; in hexadecimal
 * CONFIGURATION: request: FIRST-LAST HASH, the versions that may handle it, and what its route
 *	means (ap_plan_route_hash()), in hexadecimal; of a refusal for another version: that one
 * HEARD: another target is silent; within how many milliseconds the receiver's must have responded
 * EVIDENCE: how the build that a request names is known
 * WEIGHTS: of a stream that goes on: the only version of the weights, as an ap_weights_t
 * PROOF: shows that the sender knows the secret that all instances share
 * WAIT: how long the next forwarded request would wait, in milliseconds
 * CUSTOMER: who sends the request, as "HASH NAME"; the sender has checked the key
 * PAUSE: how long the upstreams want no requests from this instance, in milliseconds
 */
#define FORWARD_HEADER_PREFIX "Arbutuspond-"
#define FORWARD_HEADER_ATTEMPTS FORWARD_HEADER_PREFIX "Attempts"
#define FORWARD_HEADER_BUILD FORWARD_HEADER_PREFIX "Build"
#define FORWARD_HEADER_EVIDENCE FORWARD_HEADER_PREFIX "Evidence"
#define FORWARD_HEADER_WEIGHTS FORWARD_HEADER_PREFIX "Weights"
#define FORWARD_HEADER_CONFIGURATION FORWARD_HEADER_PREFIX "Configuration"
#define FORWARD_HEADER_NOT_RUN FORWARD_HEADER_PREFIX "Not-Run"
#define FORWARD_NOT_RUN_UNSENT "unsent" /* its value if the request reached no upstream */
#define FORWARD_HEADER_HEARD FORWARD_HEADER_PREFIX "Heard-Ms"
#define FORWARD_HEADER_PROOF FORWARD_HEADER_PREFIX "Proof"
#define FORWARD_HEADER_CUSTOMER FORWARD_HEADER_PREFIX "Customer"
#define FORWARD_HEADER_WAIT FORWARD_HEADER_PREFIX "Wait-Ms"
#define FORWARD_HEADER_PAUSE FORWARD_HEADER_PREFIX "Pause-Ms"

/* How a request ended, for counters and records. */
typedef enum gate_outcome {
	GATE_DONE,	   /* the caller got a complete response with a status below 300 */
	GATE_FAILED,	   /* the caller got a complete response with another status */
	GATE_REFUSED,	   /* the request did not run */
	GATE_UNKNOWN,	   /* the request may have run */
	GATE_ABORTED,	   /* the response was aborted after its head had been sent */
	GATE_DISCONNECTED, /* the caller disconnected */
	GATE_NO_ROUTE,
	GATE_INVALID,	   /* malformed or refused by the HTTP server */
	GATE_UNAUTHORIZED, /* without the key of a customer */
	GATE_OVER,	   /* over the customer's allowance */
	GATE_OUTCOMES,	   /* number of outcomes */
} gate_outcome_t;

/**
 * struct gate_step - one decision about a request, for the record of its end.
 * @target: id; empty if no target belongs to the step
 * @at: time since the request's arrival, in microseconds
 * @wait: expected at the target, in microseconds
 * @entry_age: time since the upstream's record was received, in microseconds; 0 for an instance
 * @version: of the upstream's software
 * @weights: version at which the stream had to go on then; AP_WEIGHTS_ANY if it had not begun
 * @cold: the upstream was believed to be cold, or may have been
 * @cached: tokens of the prompt that are expected to be cached there
 * @running: requests in flight there
 */
typedef struct gate_step {
	ap_step_t step;
	char target[AP_NAME_MAX];
	char version[AP_NAME_MAX];
	ap_weights_t weights;
	ap_usec_t at;
	ap_usec_t wait;
	ap_usec_t entry_age;
	bool cold;
	uint32_t cached;
	uint32_t running;
} gate_step_t;

/**
 * struct gate_end - how a request ended, as far as it decides whether its record may be sampled
 * out.
 * @first: time from the arrival to the first chunk of the response, in microseconds; 0 if none came
 * @took: time from the arrival to the end, in microseconds
 * @time: time from the arrival to the timeout, in microseconds
 * @runs: how many times the request may have run
 */
typedef struct gate_end {
	gate_outcome_t outcome;
	ap_usec_t first;
	ap_usec_t took;
	ap_usec_t time;
	unsigned runs;
} gate_end_t;

typedef struct gateway gateway_t;

/**
 * struct gate_attempt - an attempt of the exchange, in flight or that has responded.
 * @fetch: request to the target; NULL if none is in flight
 * @ending: likewise, while its end is being handled
 * @witness: connection beside a response without framing; NULL for none
 * @checking: the response has ended, and @witness was asked whether the target lives on
 * @expected: version of the weights that the upstream was asked for; AP_WEIGHTS_ANY for none
 * @status: of its response
 * @headers: copy of the response's headers
 */
typedef struct gate_attempt {
	struct gate_call *call;
	ap_http_fetch_t *fetch;
	ap_http_fetch_t *ending;
	ap_http_witness_t *witness;
	bool checking;
	ap_weights_t expected;
	int status;
	struct evkeyvalq headers;
} gate_attempt_t;

/**
 * struct gate_call - one request of a caller, or forwarded from a remote region.
 * @call: NULL once the response was given or the caller has disconnected
 * @timer_at: when @timer fires; 0 if it is not set
 * @plan: the version that was active when the request started
 * @forwarded: sent by an instance of a remote region
 * @chunks: the caller's version of HTTP has chunks
 * @started: the head of the response was sent, and the body is sent in parts
 * @paused: reading from targets is paused until the caller has read more
 * @body: of a response that is sent as a whole
 * @body_lost: memory did not suffice for all of it
 * @status: of the response to the caller
 * @attempts: by slot of the exchange
 * @resumes: id of the request that began the stream; empty if the request begins it
 * @evidence: how it is known where a stream goes on
 * @lookup_time: how long it took to find out, in microseconds
 * @told: what was told of the stream
 * @charged: units that were taken from the customer's allowance
 * @steps: ring of the latest steps
 * @n_steps: how many steps there were
 */
typedef struct gate_call {
	LIST_ENTRY(gate_call) link;
	gateway_t *gate;
	ap_exchange_t x;
	ap_http_call_t *call;
	gate_attempt_t attempts[AP_SLOTS];
	struct event *timer;
	ap_usec_t timer_at;
	ap_plan_t *plan;
	bool forwarded;
	bool chunks;
	bool started;
	bool paused;
	struct evbuffer *body;
	bool body_lost;
	int status;
	char id[AP_HOST_REQUEST_ID_MAX];
	char resumes[AP_HOST_REQUEST_ID_MAX];
	ap_stream_evidence_t evidence;
	ap_usec_t lookup_time;
	ap_stream_word_t told;
	double charged;
	gate_outcome_t outcome;
	gate_step_t steps[GATE_STEPS_MAX];
	size_t n_steps;
} gate_call_t;

#define GATE_BUCKETS 12 /* of each histogram, besides the unbounded one */

/**
 * struct gate_counters - counters since start.
 * @requests: from callers and forwarded ones
 * @forwarded_received: requests from remote regions
 * @own_errors: by reason, responses that this instance generated; other requests count at 0
 * @sends: requests sent to upstreams and remote regions, with retries
 * @cold_sent: requests sent to upstreams that were believed to be cold
 * @forwarded_sent: requests sent to remote regions
 * @peer_sent: requests sent to other instances of the own region
 * @seconds: second attempts that were considered, by what was decided
 * @seconds_won: requests whose response a second attempt made
 * @seconds_lost: other requests with one
 * @taken_up: streams that callers took up here and that could go on
 * @taken_up_by: streams that were to go on here, forwarded ones included, by how it is known where;
 *	those that aren't known were refused
 * @streams_disagreed: streams that were to go on here and for which two builds were named
 * @weights_refused: requests that upstreams refused since they have another version of the weights
 * @weights_differed: responses dropped since they would have gone on at another version
 * @checks: of upstreams whose response ended with its connection
 * @checks_failed: of these, where nothing showed that the upstream lives on
 * @doubts: requests by the latest doubt whether a success was whole
 * @unreadable: records of the store that could not be decoded
 * @first_chunk: histogram of the time until the first chunk of the response
 * @duration: histogram of the time until the end of the response
 * @first_chunk_sum, @duration_sum: sums of these times, in microseconds
 */
typedef struct gate_counters {
	uint64_t requests;
	uint64_t forwarded_received;
	uint64_t ended[GATE_OUTCOMES];
	uint64_t own_errors[AP_REASONS];
	uint64_t sends;
	uint64_t cold_sent;
	uint64_t forwarded_sent;
	uint64_t peer_sent;
	uint64_t retries;
	uint64_t seconds[AP_HEDGE_VERDICTS];
	uint64_t seconds_won;
	uint64_t seconds_lost;
	uint64_t taken_up;
	uint64_t taken_up_by[AP_STREAM_EVIDENCES];
	uint64_t streams_disagreed;
	uint64_t weights_refused;
	uint64_t weights_differed;
	uint64_t checks;
	uint64_t checks_failed;
	uint64_t doubts[AP_DOUBTS];
	uint64_t unreadable;
	uint64_t first_chunk[GATE_BUCKETS + 1];
	uint64_t duration[GATE_BUCKETS + 1];
	double first_chunk_sum;
	double duration_sum;
} gate_counters_t;

#define GATE_CUSTOMERS_MAX 64 /* customers with counters of their own */

/* Requests of one customer since start, by outcome. */
typedef struct gate_customer {
	char name[AP_NAME_MAX];
	uint64_t ended[GATE_OUTCOMES];
} gate_customer_t;

/**
 * struct gate_customers - counters by customer.
 * @others: those of all customers beyond the first GATE_CUSTOMERS_MAX
 * @refused: requests without a valid key, by ap_host_credentials_t
 */
typedef struct gate_customers {
	gate_customer_t v[GATE_CUSTOMERS_MAX];
	size_t n;
	gate_customer_t others;
	uint64_t refused[AP_HOST_CREDENTIALS_KEY + 1];
} gate_customers_t;

/* When an instance was told this one's version last. */
typedef struct gate_told {
	char id[AP_NAME_MAX];
	ap_usec_t at;
} gate_told_t;

#define GATE_TOLD_MAX 16

/**
 * struct gate_asked - the last record of a health check of an upstream.
 * @told: the upstream said that it is healthy
 * @refused: it refused the connection
 * @cold: it said that it is cold
 */
typedef struct gate_asked {
	char id[AP_NAME_MAX];
	bool told;
	bool refused;
	bool cold;
	ap_usec_t at;
} gate_asked_t;

#define GATE_ASKED_MAX 32

struct gateway {
	ap_settings_t *settings;
	const ap_gateway_settings_t *conf;
	const char *path; /* of the settings file */
	ap_id_t inc;
	struct event_base *base;
	ap_journal_t *journal;
	ap_fleet_t *fleet;
	ap_plan_t *plan;
	ap_plan_limits_t peer_limits; /* of requests that other instances forward */
	ap_follow_t *follow;
	ap_snapshot_t *snapshot;
	ap_registration_t *registration;
	ap_host_store_t *store;
	ap_http_client_t *client;
	ap_http_budget_t *budget; /* shared by all servers */
	uint64_t memory_recorded; /* requests and connections given up by the last record */
	ap_usec_t memory_recorded_at;
	ap_http_server_t *callers;
	ap_http_server_t *peers;
	ap_http_server_t *ready;
	ap_http_server_t *directory;
	ap_http_server_t *metrics;
	ap_http_server_t *control; /* serves snapshots; the settings call it control */
	ap_calls_t *http_calls;	   /* health checks of upstreams, snapshots of instances */
	bool seed_pending;	   /* a call to a seed is in progress */
	size_t next_seed;
	ap_usec_t seed_at; /* not to be asked before */
	ap_usec_t started;
	ap_settings_t peer_settings; /* own id and host, and the shared key pair */
	ap_peer_t *peer;	     /* NULL until the secret is known */
	char proof[AP_NAME_MAX]; /* value of FORWARD_HEADER_PROOF; empty until the secret is known
				  */
	bool secret_pending;	 /* a new secret was written to the store and not refused */
	ap_member_t self;
	ap_rng_t rng;
	LIST_HEAD(, gate_call) calls;
	LIST_HEAD(, gate_lookup) lookups;
	size_t n_lookups;
	struct event *tick;
	struct event *signals[3];
	ap_usec_t last_tick_monotonic;	    /* CLOCK_MONOTONIC, which stops while suspended */
	ap_usec_t last_tick;		    /* ap_now(), which counts suspension */
	ap_usec_t drain_started;	    /* when SIGTERM or SIGINT arrived; 0 before */
	bool listeners_closed;		    /* accepts no more connections */
	bool store_unavailable;		    /* the state that was logged last */
	uint64_t store_era;		    /* of the last response; 0 if none stated it */
	bool listing;			    /* a complete list of the store is being read */
	gate_told_t told[GATE_TOLD_MAX];    /* ring */
	size_t n_told;			    /* so far */
	gate_asked_t asked[GATE_ASKED_MAX]; /* ring */
	size_t n_asked;			    /* so far */
	ap_usec_t ask_at;		    /* no instance is asked for a newer version before */
	gate_counters_t counters;
	gate_customers_t customers;
	ap_hedge_t *hedge; /* NULL without second attempts */
};

/* gateway.c */
/**
 * ap_gateway_task() - runs the instance until it has drained after SIGTERM or SIGINT, or until
 * nearly the whole grace period is over.
 * @path: of the settings file, which is read again on SIGHUP
 *
 * Return: false if the instance could not be started.
 */
bool ap_gateway_task(ap_settings_t *settings, const char *path);

/* gateway-second.c */
/**
 * gate_second_configure() - applies the share of @conf. Without second attempts nothing is kept for
 * them.
 *
 * Return: false when out of memory.
 */
bool gate_second_configure(gateway_t *gate);
/** gate_second_request() - a caller's request for @pool arrived. */
void gate_second_request(gateway_t *gate, const char *pool);
/** gate_second_after(), gate_second_judge() - as in struct ap_exchange_ops. */
ap_usec_t gate_second_after(void *ctx, const ap_target_t *target);
bool gate_second_judge(void *ctx, const ap_target_t *first, ap_usec_t elapsed,
		       const ap_target_t *target);
/** gate_second_first_chunk() - to be called before ap_fleet_first_chunk(). */
void gate_second_first_chunk(const gate_call_t *c, const ap_inflight_t *inflight);
/** gate_second_done() - to be called before ap_fleet_done(). */
void gate_second_done(const gate_call_t *c, const ap_inflight_t *inflight,
		      ap_dispatch_result_t end);
/** gate_second_ended() - counts the end of a request. */
void gate_second_ended(const gate_call_t *c);
/** gate_second_metrics() - appends the counters, unless there are no second attempts. */
void gate_second_metrics(const gateway_t *gate, struct evbuffer *out);

/* gateway.c */
/* The limits of the version that is in force now bind requests that begin to arrive. */
void gate_apply_limits(gateway_t *gate);

/* gateway-call.c */
void gate_on_caller(void *ctx, ap_http_call_t *call);
void gate_on_peer(void *ctx, ap_http_call_t *call);
/**
 * gate_lookup_result() - goes on with a request whose stream was looked up for @waited
 * microseconds.
 */
void gate_lookup_result(gateway_t *gate, ap_http_call_t *call, bool forwarded,
			const ap_stream_place_t *place, ap_usec_t waited);
/* Returns the pool of @build in the request's plan; NULL if no listed upstream has the build. */
const ap_plan_pool_t *gate_build_pool(const gate_call_t *c, uint64_t build);
/* Responds to input that the HTTP server refused. */
void gate_on_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);
void gate_on_peer_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);

/*
 * Responds to a request that has no exchange; nothing was sent, so it certainly did not run. The
 * caller of gate_reply_later() may come again after @wait.
 */
void gate_reply_later(ap_http_call_t *call, int status, ap_usec_t wait, const char *error);
void gate_reply_early(ap_http_call_t *call, int status, bool forwarded, const char *error);

/** gate_call_pause() - stops reading from the targets, or goes on. */
void gate_call_pause(gate_call_t *c, bool paused);
/* Records and frees @c if its exchange has finished, else sets its timer. */
void gate_call_update(gate_call_t *c);

/*
 * Returns whether the sender of a forwarded request knows the build that it names. An instance that
 * doesn't say how takes the only one that it lists for that of a stream that its caller takes up.
 */
bool gate_names_known(ap_http_call_t *call, const ap_host_request_t *r);

/* gateway-lookup.c: requests that wait until it is known where their streams go on */
/**
 * gate_lookup_start() - looks for the stream @q, whose route is of the plan in force.
 * @needed: it can't go on without; else it is only confirmed, and fewer may wait
 *
 * Return: false if it can't, as too many wait; the request is as it was.
 */
bool gate_lookup_start(gateway_t *gate, ap_http_call_t *call, bool forwarded,
		       const ap_stream_question_t *q, bool needed);
/** gate_lookup_tick() - goes on with the requests whose streams were found, or weren't in time. */
void gate_lookup_tick(gateway_t *gate, ap_usec_t now);
void gate_lookup_stop(gateway_t *gate);

/* gateway-send.c */
extern const ap_exchange_ops_t gate_ops;
/* Forgets the response of @a. */
void gate_clear_response(gate_attempt_t *a);

/* gateway-headers.c */
#define GATE_VERSION_TEXT_MAX 64
#define GATE_CUSTOMER_TEXT_MAX (AP_NAME_MAX + 20)
#define BUILD_TEXT_MAX 20 /* bytes of a build in hexadecimal, with terminator */
/* Values of headers between instances. */
typedef struct gate_text {
	char build[BUILD_TEXT_MAX];
	char weights[24];
	char configuration[GATE_VERSION_TEXT_MAX];
	char heard[24];
	char wait[24];
	char pause[24];
	char customer[GATE_CUSTOMER_TEXT_MAX];
} gate_text_t;

/*
 * Fills the headers of a request to @target, which point into @text.
 *
 * Return: false if there are too many.
 */
bool gate_send_headers(gate_call_t *c, const ap_target_t *target, const char *last_event,
		       gate_text_t *text, ap_host_headers_t *headers);
/* Fills the headers of the current response, likewise. */
void gate_response_headers(gate_call_t *c, ap_host_headers_t *headers, gate_text_t *text);
void gate_add_wait(gate_call_t *c, ap_host_headers_t *headers, gate_text_t *text);
void gate_add_close(const gate_call_t *c, ap_host_headers_t *headers);

/* gateway-record.c */
extern const ap_usec_t gate_bounds[GATE_BUCKETS]; /* upper bounds of the buckets */
/* Returns the outcome's name in records and metrics. */
const char *gate_outcome_name(gate_outcome_t outcome);
/* Records a change of an upstream's or instance's state; @ctx is the gateway. */
void gate_on_fleet_event(void *ctx, const ap_fleet_event_t *event);
/* Keeps a step for the record of the request's end; @target may be NULL. */
void gate_record_step(gate_call_t *c, ap_step_t step, const ap_target_t *target);
/*
 * Returns the class of a request's record. Ordinary: answered in time, failed by the one answer of
 * an upstream, or left by a caller before its time was over, who had the beginning of the answer or
 * has not waited for as long as the route's @objective.
 */
ap_record_class_t gate_record_class(const gate_end_t *end, ap_usec_t objective);
/* Counts a finished request, and records it if the log accepts its class, ordinary or rare. */
void gate_record_end(gate_call_t *c);
/* Records and counts a request whose stream @place is found, if two builds were named for it. */
void gate_record_place(gateway_t *gate, const char *request, const ap_stream_question_t *q,
		       const ap_stream_place_t *place);

/* gateway-store.c */
bool gate_store_start(gateway_t *gate);
void gate_store_tick(gateway_t *gate, ap_usec_t now);
void gate_store_stop(gateway_t *gate);
/* Applies an item of the store that this or another instance read; @ctx is the gateway. */
void gate_store_item(void *ctx, const ap_store_item_t *item);
/* A complete list of items, or a snapshot, begins (@begin) or has ended. */
void gate_store_listing(gateway_t *gate, bool begin);

/* gateway-seed.c: snapshots of the store for instances that start while it is unreachable */
void gate_on_control(void *ctx, ap_http_call_t *call);
void gate_seed_tick(gateway_t *gate, ap_usec_t now);

/* gateway-health.c */
void gate_health_tick(gateway_t *gate, ap_usec_t now);

/* gateway-peer.c: messages between instances */
/* Starts messages between instances with the secret that was read from the store. */
void gate_peer_set_secret(gateway_t *gate, const void *secret, size_t len);
/* Writes a new secret to the store, unless the instances have one. */
void gate_peer_create_secret(gateway_t *gate);
/* Adds or updates the address of another instance. */
void gate_peer_add(gateway_t *gate, const ap_member_t *member);
void gate_peer_tick(gateway_t *gate, ap_usec_t now);
/* Returns whether a request comes from another instance of the gateway. */
bool gate_peer_trusts(const gateway_t *gate, ap_http_call_t *call);

/* gateway-version.c: versions of the configuration at both ends of a forwarded request */
/* Returns the request's FORWARD_HEADER_CONFIGURATION; its value is formatted in @text. */
ap_http_header_t gate_version_header(const gate_call_t *c, char text[GATE_VERSION_TEXT_MAX]);
/* Returns whether a forwarded request, of @route here (NULL for none), may be handled here. */
bool gate_version_agrees(const gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			 const ap_plan_route_t *route);
/* The instance @by refused a request, maybe since its version is another one. */
void gate_version_refused(gateway_t *gate, const char *by, const struct evkeyvalq *headers);
/*
 * Asks another instance for a newer version while the store doesn't respond. Only where there are
 * customers: a removed key must not work on here.
 */
void gate_version_tick(gateway_t *gate, ap_usec_t now);
/*
 * Returns whether a forwarded request began with an older version than this instance has, and its
 * sender has this one, or a newer one, by now.
 */
bool gate_version_superseded(const gateway_t *gate, ap_http_call_t *call);
/* Another instance tells its version. Return: false if the message is malformed. */
bool gate_version_told(gateway_t *gate, const char *from, const void *data, size_t len);

/* gateway-customer.c: who sends a request, and counters by customer */
/*
 * Finds the customer who sends a request of @route. @customer is NULL if none is needed.
 *
 * Return: false if the request needs the key of a customer and has none; it was responded to.
 */
bool gate_customer_find(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			const ap_plan_route_t *route, const ap_customer_t **customer);
/*
 * Finds the customer of a forwarded request, whose sender has checked the key.
 *
 * Return: false if the customer isn't the same in this instance's version of the configuration.
 */
bool gate_customer_agrees(const gateway_t *gate, ap_http_call_t *call, const ap_plan_route_t *route,
			  const ap_customer_t **customer);
/* Returns the request's FORWARD_HEADER_CUSTOMER; its value is formatted in @text. */
ap_http_header_t gate_customer_header(const ap_customer_t *customer,
				      char text[GATE_CUSTOMER_TEXT_MAX]);
/* Returns whether a region may serve the request; else it was refused. */
bool gate_customer_has_region(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			      const ap_plan_route_t *route, const ap_customer_t *customer);
/*
 * Takes a request from the allowance of @customer, which may be NULL.
 *
 * Return: false if it doesn't fit; it was responded to. @charged receives what was taken.
 */
bool gate_allowance_take(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			 const ap_customer_t *customer, double *charged);
/* Gives back what was taken for a request that did not run. */
void gate_allowance_refund(gate_call_t *c);
/* Counts the end of a request; @customer may be NULL. */
void gate_customer_count(gateway_t *gate, const ap_customer_t *customer, gate_outcome_t outcome);
/* Appends the counters by customer to the text of the metrics. */
void gate_customer_metrics(const gateway_t *gate, struct evbuffer *out);

/* gateway-serve.c: readiness, directory, metrics */
#define GATE_ERROR_MAX 128 /* bytes of the body of an error, with terminator */
extern const ap_http_header_t gate_json;
/* Formats the body of an error, to be sent with the header gate_json. Return: its length. */
size_t gate_error_body(const char *error, char out[GATE_ERROR_MAX]);
void gate_on_ready(void *ctx, ap_http_call_t *call);
void gate_on_directory(void *ctx, ap_http_call_t *call);
void gate_on_metrics(void *ctx, ap_http_call_t *call);

#endif
