/*
 * The gateway task: an instance on its users' platform. One event loop owns the listeners for
 * callers and other instances, the connections to upstreams, the client of the platform's store
 * and all state; a store that is slow or away never holds up a request.
 */
#ifndef AP_GATEWAY_H
#define AP_GATEWAY_H

#include "base/base.h"
#include "exchange/exchange.h"
#include "fleet/fleet.h"
#include "follow/follow.h"
#include "http/http.h"
#include "log/log.h"
#include "peer/peer.h"
#include "platform/host.h"
#include "plan/plan.h"
#include "settings/settings.h"

#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define GATE_STEPS_MAX 8

/* Headers between instances; callers' headers of these names are not passed on. */
#define HOP_HEADER_PREFIX "Arbutuspond-"
#define HOP_HEADER_ATTEMPTS HOP_HEADER_PREFIX "Attempts"
#define HOP_HEADER_NOT_RUN HOP_HEADER_PREFIX "Not-Run"
#define HOP_HEADER_PROOF HOP_HEADER_PREFIX "Proof"
#define HOP_HEADER_WAIT HOP_HEADER_PREFIX "Wait-Ms"

/* How a request ended, for counters and records. */
typedef enum gate_outcome {
	GATE_DONE,	   /* an upstream's good answer was passed on whole */
	GATE_FAILED,	   /* an upstream's answer that says it failed */
	GATE_REFUSED,	   /* not run */
	GATE_UNKNOWN,	   /* may have run */
	GATE_ABORTED,	   /* broken off amid its answer */
	GATE_DISCONNECTED, /* the caller left */
	GATE_NO_ROUTE,
	GATE_INVALID,
	GATE_OUTCOMES,
} gate_outcome_t;

/* One decision about a request, kept for the record of a request that fails. */
typedef struct gate_step {
	ap_step_t step;
	char target[AP_NAME_MAX];
	ap_usec_t at; /* since its arrival */
	ap_usec_t wait;
	ap_usec_t entry_age;
	uint32_t cached;
	uint32_t running;
} gate_step_t;

typedef struct gateway gateway_t;

/**
 * struct gate_call - one request of a caller, or of another instance.
 * @call: NULL once it is answered or its caller has left
 * @forwarded: sent by an instance of another region
 * @headers: headers of the present target's answer, copied
 * @plan: the version that the request began with
 * @started: the head of the answer went out, its body follows in parts
 */
typedef struct gate_call {
	LIST_ENTRY(gate_call) link;
	gateway_t *gate;
	ap_exchange_t x;
	ap_http_call_t *call;
	ap_http_fetch_t *fetch;
	struct event *timer;
	ap_usec_t timer_at;
	ap_plan_t *plan;
	bool forwarded;
	bool started;
	bool paused;
	struct evbuffer *body;
	int status;
	struct evkeyvalq headers;
	char id[AP_HOST_REQUEST_ID_MAX];
	gate_outcome_t outcome;
	gate_step_t steps[GATE_STEPS_MAX];
	size_t n_steps;
} gate_call_t;

/* Buckets of the time to the first piece and of the whole time. */
#define GATE_BUCKETS 12

typedef struct gate_counters {
	uint64_t requests;
	uint64_t forwarded_received;
	uint64_t ended[GATE_OUTCOMES];
	uint64_t own_errors[AP_REASON_UNPROVED + 1];
	uint64_t sends;
	uint64_t forwarded_sent;
	uint64_t retries;
	uint64_t unreadable;
	uint64_t first_chunk[GATE_BUCKETS + 1];
	uint64_t duration[GATE_BUCKETS + 1];
	double first_chunk_sum;
	double duration_sum;
} gate_counters_t;

struct gateway {
	ap_settings_t *settings;
	const ap_gateway_settings_t *conf;
	const char *path; /* of the settings */
	ap_id_t inc;
	struct event_base *base;
	ap_journal_t *journal;
	ap_fleet_t *fleet;
	ap_plan_t *plan;
	ap_follow_t *follow;
	ap_snapshot_t *snapshot;
	ap_registration_t *registration;
	ap_host_store_t *store;
	ap_http_client_t *client;
	ap_http_server_t *callers;
	ap_http_server_t *peers;
	ap_http_server_t *ready;
	ap_http_server_t *directory;
	ap_http_server_t *metrics;
	ap_http_server_t *control;
	ap_calls_t *control_calls; /* to other instances */
	bool seed_pending;
	size_t next_seed;
	ap_usec_t started;
	ap_settings_t peer_settings; /* own id and host, and the key pair that all share */
	ap_peer_t *peer;	     /* NULL until the secret is known */
	char proof[AP_NAME_MAX];     /* of knowing the secret; empty until then */
	bool secret_pending;
	ap_member_t self;
	ap_rng_t rng;
	LIST_HEAD(, gate_call) calls;
	struct event *tick;
	struct event *signals[3];
	ap_usec_t last_tick_monotonic; /* the clock that stands still with the process, at the last
					  tick */
	ap_usec_t last_tick;
	ap_usec_t drain_started; /* when SIGTERM came; 0 before */
	bool listeners_closed;	 /* takes no more connections */
	bool store_unavailable;
	bool listing; /* a whole list of the store is being read */
	gate_counters_t counters;
};

/* gateway.c */
/**
 * ap_gateway_task() - runs until it was told to stop and is drained.
 * @path: of the settings, which are read again on SIGHUP
 *
 * Return: false on a fault.
 */
bool ap_gateway_task(ap_settings_t *settings, const char *path);

/* gateway-call.c */
void gate_on_caller(void *ctx, ap_http_call_t *call);
void gate_on_peer(void *ctx, ap_http_call_t *call);
/* Answers what never becomes a request. */
void gate_on_refused(void *ctx, ap_http_call_t *call, ap_http_refusal_t why);

/* gateway-send.c */
extern const ap_exchange_ops_t gate_ops;
/* Ends @c if its exchange is over, else sets its timer. */
void gate_call_update(gate_call_t *c);

/* gateway-record.c */
extern const ap_usec_t gate_bounds[GATE_BUCKETS];
const char *gate_outcome_name(gate_outcome_t outcome);
void gate_on_fleet_event(void *ctx, const ap_fleet_event_t *note);
void gate_record_step(gate_call_t *c, ap_step_t step, const ap_target_t *target);
void gate_record_end(gate_call_t *c);

/* gateway-store.c */
bool gate_store_start(gateway_t *gate);
void gate_store_tick(gateway_t *gate, ap_usec_t now);
void gate_store_stop(gateway_t *gate);
/* Takes one item of the store, read by this instance or by another one; @ctx is the gateway. */
void gate_store_item(void *ctx, const ap_store_item_t *item);

/* gateway-seed.c */
void gate_on_control(void *ctx, ap_http_call_t *call);
void gate_seed_tick(gateway_t *gate, ap_usec_t now);

/* gateway-health.c */
void gate_health_tick(gateway_t *gate, ap_usec_t now);

/* gateway-peer.c: what instances tell each other */
/* The secret that all instances share was read from the store. */
void gate_peer_set_secret(gateway_t *gate, const void *secret, size_t len);
/* Makes the secret, unless there is one. */
void gate_peer_create_secret(gateway_t *gate);
void gate_peer_add(gateway_t *gate, const ap_member_t *member);
void gate_peer_tick(gateway_t *gate, ap_usec_t now);
/* Does a request come from an instance of ours? */
bool gate_peer_trusts(const gateway_t *gate, ap_http_call_t *call);

/* gateway-serve.c: readiness, directory, metrics */
#define GATE_ERROR_MAX 128
extern const ap_http_header_t gate_json;
/* Writes the body of an error of ours, which goes with gate_json. Return: its length. */
size_t gate_error_body(const char *error, char out[GATE_ERROR_MAX]);
void gate_on_ready(void *ctx, ap_http_call_t *call);
void gate_on_directory(void *ctx, ap_http_call_t *call);
void gate_on_metrics(void *ctx, ap_http_call_t *call);

#endif
