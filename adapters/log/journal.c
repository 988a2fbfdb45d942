/* Structured records to a non-blocking descriptor, with a bounded backlog and rate. */
#include "log/log.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define SAMPLE_SEED 77 /* the same on every instance, so that all sample the same requests */
#define FORMAT_MAX 256
#define MSEC_NS 1000000
#define USEC_NS 1000

struct ap_journal {
	ap_journal_config_t config;
	char instance[AP_NAME_MAX];
	char inc[AP_ID_TEXT_MAX];
	char *waiting;
	size_t n_waiting;
	double tokens;
	ap_usec_t tokens_at;
	uint64_t dropped_reported; /* dropped lines already reported in a record */
	ap_journal_stats_t stats;
};

ap_journal_t *ap_journal_new(const ap_journal_config_t *config)
{
	ap_journal_t *j = calloc(1, sizeof(*j));
	int flags = fcntl(config->fd, F_GETFL);

	if (!j)
		return NULL;
	j->config = *config;
	j->waiting = malloc(config->backlog);
	if (!j->waiting) {
		free(j);
		return NULL;
	}
	ap_copy_name(j->instance, sizeof(j->instance), config->instance);
	ap_id_format(config->inc, j->inc);
	j->tokens = config->rate;
	if (flags >= 0)
		fcntl(config->fd, F_SETFL, flags | O_NONBLOCK);
	return j;
}

void ap_journal_free(ap_journal_t *j)
{
	if (!j)
		return;
	ap_journal_flush(j);
	free(j->waiting);
	free(j);
}

bool ap_journal_accepts(ap_journal_t *j, ap_record_class_t cls, const char *request)
{
	if (cls == AP_RECORD_RARE)
		return true;
	return j->config.sample > 0 && request &&
	       ap_hash_str(request, SAMPLE_SEED) % j->config.sample == 0;
}

static bool take_token(ap_journal_t *j)
{
	ap_usec_t now = ap_now();

	j->tokens += (double)(now - j->tokens_at) / (double)AP_SEC * j->config.rate;
	if (j->tokens > j->config.rate)
		j->tokens = j->config.rate;
	j->tokens_at = now;
	if (j->tokens < 1)
		return false;
	j->tokens -= 1;
	return true;
}

void ap_journal_flush(ap_journal_t *j)
{
	size_t done = 0;

	while (done < j->n_waiting) {
		ssize_t n = write(j->config.fd, j->waiting + done, j->n_waiting - done);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	memmove(j->waiting, j->waiting + done, j->n_waiting - done);
	j->n_waiting -= done;
}

static bool append(ap_journal_t *j, json_t *record)
{
	size_t room = j->config.backlog - j->n_waiting;
	size_t len;

	len = json_dumpb(record, j->waiting + j->n_waiting, room, JSON_COMPACT);
	if (len == 0 || len + 1 > room)
		return false;
	j->n_waiting += len;
	j->waiting[j->n_waiting++] = '\n';
	return true;
}

/* Returns the time of @clock in seconds, rounded down to a multiple of @unit_ns. */
static double seconds_of(clockid_t clock, long unit_ns)
{
	struct timespec ts;
	long units;

	clock_gettime(clock, &ts);
	units = ts.tv_nsec / unit_ns;
	return (double)ts.tv_sec + (double)units * (double)unit_ns / 1e9;
}

static json_t *begin(const ap_journal_t *j, const char *event)
{
	return json_pack("{s:f,s:f,s:s,s:s,s:s}", "wall", seconds_of(CLOCK_REALTIME, MSEC_NS),
			 "steady", seconds_of(CLOCK_MONOTONIC, USEC_NS), "instance", j->instance,
			 "incarnation", j->inc, "event", event);
}

static void report_dropped(ap_journal_t *j)
{
	json_t *record = begin(j, "log.dropped");

	json_object_set_new(record, "lines",
			    json_integer((json_int_t)(j->stats.dropped - j->dropped_reported)));
	if (append(j, record))
		j->dropped_reported = j->stats.dropped;
	json_decref(record);
}

void ap_journal_write(ap_journal_t *j, ap_record_class_t cls, const char *event,
		      const char *request, const char *fmt, ...)
{
	char format[FORMAT_MAX];
	json_t *fields = NULL;
	json_t *record;
	va_list args;

	if (!ap_journal_accepts(j, cls, request))
		return;
	if (!take_token(j)) {
		j->stats.dropped++;
		return;
	}
	if (j->stats.dropped > j->dropped_reported)
		report_dropped(j);
	record = begin(j, event);
	if (request)
		json_object_set_new(record, "request", json_string(request));
	if (fmt) {
		snprintf(format, sizeof(format), "{%s}", fmt);
		va_start(args, fmt);
		fields = json_vpack_ex(NULL, 0, format, args);
		va_end(args);
		json_object_update(record, fields);
		json_decref(fields);
	}
	if (append(j, record))
		j->stats.written++;
	else
		j->stats.dropped++;
	json_decref(record);
}

ap_journal_stats_t ap_journal_stats(const ap_journal_t *j)
{
	return j->stats;
}
