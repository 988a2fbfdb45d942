/*
 * Log lines in syslog style to standard error, and the ring of time-line events.
 */
#ifndef AP_LOG_H
#define AP_LOG_H

#include "base/base.h"

#include <sys/time.h>
#include <syslog.h>

/** ap_log_open() - @ident and the most verbose level to print; once, before any thread starts. */
void ap_log_open(const char *ident, int level);
/** ap_log() - one line "<priority>time ident: text"; safe from every thread. */
void ap_log(int level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/** ap_now() - CLOCK_BOOTTIME in microseconds: monotonic and counting suspension. */
ap_usec_t ap_now(void);
/** ap_timeval() - @span, not below 0, as event loops take it. */
struct timeval ap_timeval(ap_usec_t span);
/** ap_wall_ms() - CLOCK_REALTIME in milliseconds, for time lines and history only. */
uint64_t ap_wall_ms(void);
/** ap_random() - fills @buf from the system's random source. */
void ap_random(void *buf, size_t len);

/* Hybrid logical clock: wall milliseconds and a counter, so that causes sort before effects. */
typedef struct ap_hlc {
	uint64_t wall_ms;
	uint32_t count;
} ap_hlc_t;

/** ap_hlc_now() - advances @clock for a local event. */
ap_hlc_t ap_hlc_now(ap_hlc_t *clock, uint64_t wall_ms);
/** ap_hlc_seen() - advances @clock past a peer's. */
void ap_hlc_seen(ap_hlc_t *clock, ap_hlc_t peer, uint64_t wall_ms);

typedef struct ap_journal ap_journal_t;

/* How much of a class of records is written under load. */
typedef enum ap_record_class {
	AP_RECORD_RARE,	    /* always, within the bound on the rate of lines */
	AP_RECORD_ORDINARY, /* of one in some requests, the same ones on every instance */
} ap_record_class_t;

/**
 * struct ap_journal_config - made once at start.
 * @fd: where lines go; it is made non-blocking
 * @sample: one in so many requests has its ordinary lines written; 0 for none
 * @rate: lines a second at most
 * @backlog: bytes that wait for a slow reader at most; lines beyond are counted and dropped
 */
typedef struct ap_journal_config {
	int fd;
	const char *instance;
	ap_id_t inc;
	unsigned sample;
	unsigned rate;
	size_t backlog;
} ap_journal_config_t;

typedef struct ap_journal_stats {
	uint64_t written;
	uint64_t dropped;
} ap_journal_stats_t;

/*
 * Structured records, one JSON line each: time (wall and monotonic), instance, incarnation, event,
 * request id, and the fields of the event. Writing never blocks.
 */
ap_journal_t *ap_journal_new(const ap_journal_config_t *config);
void ap_journal_free(ap_journal_t *j);
/** ap_journal_accepts() - would a record of this class about @request be written? */
bool ap_journal_accepts(ap_journal_t *j, ap_record_class_t cls, const char *request);
/**
 * ap_journal_write() - writes one record, if ap_journal_accepts() it.
 * @event: stable name, such as "request.sent"
 * @request: id, or NULL
 * @fmt: fields as json_pack() takes them, without braces; NULL for none
 */
void ap_journal_write(ap_journal_t *j, ap_record_class_t cls, const char *event,
		      const char *request, const char *fmt, ...);
/** ap_journal_flush() - writes what waits, as far as the reader takes it; some times a second. */
void ap_journal_flush(ap_journal_t *j);
ap_journal_stats_t ap_journal_stats(const ap_journal_t *j);

typedef struct ap_ring ap_ring_t;

/** ap_ring_new() - keeps the last @max events; owned by one task. */
ap_ring_t *ap_ring_new(size_t max, const char *instance, const char *data_centre);
void ap_ring_free(ap_ring_t *ring);
void ap_ring_add(ap_ring_t *ring, ap_hlc_t at, const ap_event_t *event);
/** ap_ring_dump() - JSON lines of events with number above @after; free() the text. */
char *ap_ring_dump(const ap_ring_t *ring, uint64_t after);

#endif
