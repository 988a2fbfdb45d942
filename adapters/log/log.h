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

typedef struct ap_ring ap_ring_t;

/** ap_ring_new() - keeps the last @max events; owned by one task. */
ap_ring_t *ap_ring_new(size_t max, const char *instance, const char *data_centre);
void ap_ring_free(ap_ring_t *ring);
void ap_ring_add(ap_ring_t *ring, ap_hlc_t at, const ap_event_t *event);
/** ap_ring_dump() - JSON lines of events with number above @after; free() the text. */
char *ap_ring_dump(const ap_ring_t *ring, uint64_t after);

#endif
