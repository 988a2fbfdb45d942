/*
 * Types that all packages share: time, identifiers, seeded random numbers, hashing, error
 * messages, events and invariants. Nothing here reads a clock or, except for a violated invariant
 * without a handler, does I/O.
 *
 * Code that does no I/O and reads no clock is called decision code. Its driver is the program
 * around it, which does the I/O and passes in the time and what happened.
 */
#ifndef AP_BASE_H
#define AP_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define AP_NAME_MAX 64	  /* bytes of a name, with its terminator */
#define AP_HOST_MAX 46	  /* bytes of a numeric IP address, with its terminator */
#define AP_ID_TEXT_MAX 33 /* bytes of an identifier in hex, with its terminator */

/* Microseconds: a duration, or a time of a monotonic clock that the driver chooses. */
typedef int64_t ap_usec_t;

#define AP_MSEC ((ap_usec_t)1000)
#define AP_SEC ((ap_usec_t)1000000)
#define AP_NEVER INT64_MAX
/* Longest duration that is taken from outside. In milliseconds it fits into 32 bits. */
#define AP_DURATION_MAX ((ap_usec_t)INT32_MAX * AP_MSEC)

/**
 * struct ap_id - 128 random bits, new at each start of a process (its incarnation).
 */
typedef struct ap_id {
	uint64_t hi;
	uint64_t lo;
} ap_id_t;

/**
 * struct ap_xid - globally unique id of an exchange, request or permit; never reused.
 * @inc: incarnation of the process that issued it
 * @seq: sequence number within that incarnation, from 1
 */
typedef struct ap_xid {
	ap_id_t inc;
	uint64_t seq;
} ap_xid_t;

bool ap_id_eq(ap_id_t a, ap_id_t b);
bool ap_id_is_zero(ap_id_t a);
/** ap_id_cmp() - total order, as memcmp(). */
int ap_id_cmp(ap_id_t a, ap_id_t b);
bool ap_xid_eq(ap_xid_t a, ap_xid_t b);
/** ap_id_format() - writes 32 hex digits to @out. */
void ap_id_format(ap_id_t id, char out[AP_ID_TEXT_MAX]);
/** ap_id_parse() - returns false when @text is NULL or not 32 lower-case hex digits. */
bool ap_id_parse(const char *text, ap_id_t *id);

/**
 * struct ap_rng - state of a seeded random number generator; each owner has its own.
 */
typedef struct ap_rng {
	unsigned short x[3];
} ap_rng_t;

void ap_rng_seed(ap_rng_t *r, uint64_t seed);
/** ap_rng_unit() - uniform in [0, 1). */
double ap_rng_unit(ap_rng_t *r);
uint64_t ap_rng_u64(ap_rng_t *r);
/** ap_rng_below() - uniform in [0, n); 0 when @n is 0. */
uint64_t ap_rng_below(ap_rng_t *r, uint64_t n);
/** ap_rng_exp() - exponentially distributed with the given mean. */
double ap_rng_exp(ap_rng_t *r, double mean);
ap_id_t ap_rng_id(ap_rng_t *r);

uint64_t ap_hash(const void *data, size_t len, uint64_t seed);
uint64_t ap_hash_str(const char *text, uint64_t seed);
/**
 * ap_rendezvous() - weighted rendezvous score of @node for @key.
 * @weight: share of @node, above 0
 *
 * Return: a positive score; the node with the highest score owns the key.
 */
double ap_rendezvous(uint64_t key, uint64_t node, double weight);

/**
 * struct ap_err - error message of a failed call, in addition to its status.
 */
typedef struct ap_err {
	char text[256];
} ap_err_t;

/** ap_err_set() - formats the message, truncated to its size; @err may be NULL. */
void ap_err_set(ap_err_t *err, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/** ap_bounded() - @number within 0 and @max; 0 for what is no number. */
double ap_bounded(double number, double max);
/**
 * ap_duration() - converts a number from outside, in @units of microseconds, to a duration of at
 * least 0 and at most AP_DURATION_MAX, so that sums with times don't overflow.
 */
ap_usec_t ap_duration(double number, ap_usec_t units);

/** ap_copy_name() - copies @src, truncated to @size bytes. Return: false when it was truncated. */
bool ap_copy_name(char *dst, size_t size, const char *src);

/** ap_is_ip() - whether @text is a numeric IP address. */
bool ap_is_ip(const char *text);

/* Invariants that the program asserts at run time; docs/promises.md lists them. */
typedef enum ap_invariant {
	AP_INV_RESIDENCY = 1,	      /* home-bound data stays in its region */
	AP_INV_ONE_HOP = 2,	      /* a request is forwarded to another region at most once */
	AP_INV_ONCE = 3,	      /* at most one dispatch per permit, none after "not run" */
	AP_INV_COMPLETE_RESPONSE = 4, /* a response reaches its own exchange, complete */
	AP_INV_GENERATION = 5,	      /* the active configuration's generation never decreases */
	AP_INV_DRAINING = 6,	      /* no new requests to a draining upstream */
	AP_INV_EXIT = 7,	      /* no exit while a request is in progress */
	AP_INV_ORDER = 8,	      /* no order with an expired lease or a lower fencing token */
	AP_INV_BOUNDS = 9,	      /* retries, attempts, queues and tables stay within bounds */
} ap_invariant_t;

/**
 * struct ap_event - an event that decision code reports to its driver.
 * @at: time of the event, on the driver's monotonic clock
 * @kind: short constant name such as "route.choose"
 * @request: the request that the event belongs to, or all zero
 * @detail: "key=value" words; valid during the call only
 */
typedef struct ap_event {
	ap_usec_t at;
	const char *kind;
	ap_xid_t request;
	const char *detail;
} ap_event_t;

/**
 * struct ap_env - callbacks by which decision code reports to its driver.
 * @ctx: passed to each callback
 * @event: receives an event; may be NULL
 * @violated: receives a violated invariant; if NULL, the program prints it and aborts
 */
typedef struct ap_env {
	void *ctx;
	void (*event)(void *ctx, const ap_event_t *event);
	void (*violated)(void *ctx, ap_invariant_t invariant, const char *what);
} ap_env_t;

/** ap_emit() - formats an event's detail, at most 511 bytes, and passes it to @env->event. */
void ap_emit(const ap_env_t *env, ap_usec_t at, const char *kind, ap_xid_t request, const char *fmt,
	     ...) __attribute__((format(printf, 5, 6)));

/**
 * ap_require() - reports @invariant as violated unless @holds.
 * @what: the violation, for the report
 *
 * Return: @holds.
 */
bool ap_require(const ap_env_t *env, bool holds, ap_invariant_t invariant, const char *what);

const char *ap_invariant_name(ap_invariant_t invariant);

/* Outcome of a request, as reported to its caller. */
typedef enum ap_outcome {
	AP_OUTCOME_COMPLETED,
	AP_OUTCOME_NOT_RUN,
	AP_OUTCOME_UNKNOWN,
} ap_outcome_t;

/** ap_outcome_name() - "completed", "not-run" or "unknown". */
const char *ap_outcome_name(ap_outcome_t outcome);

/* Admission classes, most urgent first. */
typedef enum ap_class {
	AP_CLASS_RESERVATION,
	AP_CLASS_SHORT,
	AP_CLASS_LONG,
	AP_CLASS_COUNT,
} ap_class_t;

const char *ap_class_name(ap_class_t cls);

#endif
