/*
 * Log lines on standard error, structured records, clocks and a ring buffer of timeline events.
 */
#ifndef AP_LOG_H
#define AP_LOG_H

#include "base/base.h"

#include <sys/time.h>
#include <syslog.h>

/**
 * ap_log_open() - sets the program's name in log lines and the most verbose level that is printed;
 * call it once, before any thread starts.
 */
void ap_log_open(const char *ident, int level);
/** ap_log() - prints one line "<priority>time ident: text" to standard error; thread-safe. */
void ap_log(int level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/** ap_now() - CLOCK_BOOTTIME in microseconds: monotonic, and it counts time in suspension. */
ap_usec_t ap_now(void);
/** ap_timeval() - converts @span, which must not be negative, for libevent. */
struct timeval ap_timeval(ap_usec_t span);
/**
 * ap_wall_ms() - CLOCK_REALTIME in milliseconds, for timelines, history and the epoch that orders
 * the incarnations of an instance.
 */
uint64_t ap_wall_ms(void);
/** ap_random() - fills @buf from the system's random source. */
void ap_random(void *buf, size_t len);

/* Hybrid logical clock: wall time in ms and a counter; an event's cause has a lower value. */
typedef struct ap_hlc {
	uint64_t wall_ms;
	uint32_t count;
} ap_hlc_t;

/** ap_hlc_now() - advances @clock for a local event; returns its new value. */
ap_hlc_t ap_hlc_now(ap_hlc_t *clock, uint64_t wall_ms);
/** ap_hlc_seen() - advances @clock beyond @peer, the clock value of a received message. */
void ap_hlc_seen(ap_hlc_t *clock, ap_hlc_t peer, uint64_t wall_ms);

typedef struct ap_journal ap_journal_t;

/* Which records of a class are written. */
typedef enum ap_record_class {
	AP_RECORD_RARE,	    /* all, within the limits on rate and backlog */
	AP_RECORD_ORDINARY, /* those of a sample of requests, the same on every instance */
} ap_record_class_t;

/**
 * struct ap_journal_config - configuration, fixed when the journal is created.
 * @fd: output descriptor; set to non-blocking
 * @inc: incarnation of the process
 * @sample: one in this many requests has its ordinary records written; 0 for none
 * @rate: maximum number of lines a second
 * @backlog: maximum number of bytes that wait for a slow reader; further lines are dropped
 */
typedef struct ap_journal_config {
	int fd;
	const char *instance;
	ap_id_t inc;
	unsigned sample;
	unsigned rate;
	size_t backlog;
} ap_journal_config_t;

/* Lines since start. */
typedef struct ap_journal_stats {
	uint64_t written;
	uint64_t dropped;
} ap_journal_stats_t;

/*
 * A journal writes structured records, each as a JSON line: time (wall and monotonic), instance,
 * incarnation, event, request id, and the fields of the event. Writing never blocks.
 */
ap_journal_t *ap_journal_new(const ap_journal_config_t *config);
void ap_journal_free(ap_journal_t *j);
/** ap_journal_accepts() - whether records of this class about @request are written. */
bool ap_journal_accepts(ap_journal_t *j, ap_record_class_t cls, const char *request);
/**
 * ap_journal_write() - queues one record, if ap_journal_accepts() returns true for it.
 * @event: stable name, such as "request.sent"
 * @request: request id, or NULL
 * @fmt: fields in the format of json_pack(), without the braces; NULL for none
 */
void ap_journal_write(ap_journal_t *j, ap_record_class_t cls, const char *event,
		      const char *request, const char *fmt, ...);
/** ap_journal_flush() - writes queued lines until it would block; call it a few times a second. */
void ap_journal_flush(ap_journal_t *j);
ap_journal_stats_t ap_journal_stats(const ap_journal_t *j);

typedef struct ap_ring ap_ring_t;

/** ap_ring_new() - a buffer of the last @max events, for use by one task; NULL if out of memory. */
ap_ring_t *ap_ring_new(size_t max, const char *instance, const char *data_centre);
void ap_ring_free(ap_ring_t *ring);
void ap_ring_add(ap_ring_t *ring, ap_hlc_t at, const ap_event_t *event);
/** ap_ring_dump() - the events numbered above @after as JSON lines, to free(); NULL on failure. */
char *ap_ring_dump(const ap_ring_t *ring, uint64_t after);

#endif
