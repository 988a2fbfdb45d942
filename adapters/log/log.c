/* Log lines on standard error, clocks and the system's random source. */
#include "log/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#define LINE_MAX_BYTES 1024

static const char *log_ident = "arbutuspond";
static int log_level = LOG_INFO;

void ap_log_open(const char *ident, int level)
{
	log_ident = ident;
	log_level = level;
}

void ap_log(int level, const char *fmt, ...)
{
	char text[LINE_MAX_BYTES];
	char stamp[32];
	struct timespec ts;
	struct tm tm;
	va_list args;

	if (level > log_level)
		return;
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(stderr, "<%d>%s.%03ldZ %s: %s\n", LOG_DAEMON | level, stamp, ts.tv_nsec / 1000000,
		log_ident, text);
}

ap_usec_t ap_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * AP_SEC + ts.tv_nsec / 1000;
}

struct timeval ap_timeval(ap_usec_t span)
{
	return (struct timeval){
		.tv_sec = (time_t)(span / AP_SEC),
		.tv_usec = (suseconds_t)(span % AP_SEC),
	};
}

uint64_t ap_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void ap_random(void *buf, size_t len)
{
	char *at = buf;

	while (len > 0) {
		ssize_t got = getrandom(at, len, 0);

		if (got < 0)
			continue;
		at += got;
		len -= (size_t)got;
	}
}
