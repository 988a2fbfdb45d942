/*
 * The explain command: reads the log records of all processes, prints those of one request and the
 * related state records in order of time, and names the cause of a failure. A line may have text in
 * front of its record, such as the timestamp of a log collector.
 */
#include "ctl.h"

#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATE_BEFORE_S 3.0 /* seconds before the arrival from which state records are shown */
#define LEFT_MARGIN_MS 50  /* a caller may see its deadline this much earlier */
#define STATE_AFTER_S 0.5  /* seconds after the end of the request until which they are shown */

/* Records of an instance's own state and its view of the fleet, not of a request. */
static const char *const state_events[] = {
	"configuration.refused",
	"configuration.taken",
	"directory.stopgap",
	"evacuation",
	"instance.lost",
	"instance.seen",
	"log.dropped",
	"peer.unreadable",
	"process.frozen",
	"process.leaving",
	"process.reload",
	"process.started",
	"process.stopped",
	"seed.answered",
	"store.away",
	"store.back",
	"store.listed",
	"upstream.asked",
	"store.unreadable",
	"upstream.draining",
	"upstream.removed",
	"upstream.ejected",
	"upstream.back",
	"upstream.moved",
	"upstream.lapsed",
	"instance.suspected",
	"store.era",
	"upstream.limited",
	"upstream.unlimited",
	"upstream.limit-invalid",
	"upstream.leaving",
	"upstream.not-leaving",
	"upstream.brittle",
	"upstream.not-brittle",
	"upstream.brittle-invalid",
	"upstream.backoff",
	"upstream.backoff-invalid",
	"upstream.cold",
	"path.lost",
	"path.back",
	"part.suspected",
	"part.cleared",
	"fingerprint.suspected",
	"fingerprint.cleared",
};

static const char *const request_events[] = {
	"request.ended",      "request.no-route", "request.invalid", "request.unreadable",
	"answer.headers-cut", "peer.untrusted",	  "stream.unknown",  "stream.disagreed",
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

typedef struct line {
	json_t *record;
} line_t;

typedef struct records {
	line_t *v;
	size_t n;
	size_t capacity;
	size_t skipped; /* lines that are not records */
	size_t unknown; /* records of events that this version does not know */
} records_t;

static bool is_one_of(const char *const *names, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(names[i], name) == 0)
			return true;
	}
	return false;
}

static const char *text_at(json_t *o, const char *field)
{
	const char *text = json_string_value(json_object_get(o, field));

	return text ? text : "";
}

static int64_t int_at(json_t *o, const char *field)
{
	return (int64_t)json_number_value(json_object_get(o, field));
}

static double wall_at(json_t *o)
{
	return json_number_value(json_object_get(o, "wall"));
}

static void add_record(records_t *r, json_t *record)
{
	if (r->n == r->capacity) {
		r->capacity = r->capacity ? 2 * r->capacity : 256;
		r->v = realloc(r->v, r->capacity * sizeof(*r->v));
		if (!r->v)
			abort();
	}
	r->v[r->n++].record = record;
}

static void parse_line(records_t *r, const char *line)
{
	const char *start = strchr(line, '{');
	json_t *record = start ? json_loads(start, 0, NULL) : NULL;
	const char *event = text_at(record, "event");

	if (!record || !*event) {
		r->skipped += line[strspn(line, " \t\r\n")] != '\0';
		json_decref(record);
		return;
	}
	if (!is_one_of(state_events, COUNT(state_events), event) &&
	    !is_one_of(request_events, COUNT(request_events), event)) {
		r->unknown++;
		json_decref(record);
		return;
	}
	add_record(r, record);
}

static void read_stream(records_t *r, FILE *in)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, in) >= 0)
		parse_line(r, line);
	free(line);
}

static bool read_all(const ctl_options_t *o, records_t *r)
{
	if (o->n_files == 0)
		read_stream(r, stdin);
	for (size_t i = 0; i < o->n_files; i++) {
		FILE *in = fopen(o->files[i], "r");

		if (!in) {
			ctl_fail(CTL_INVALID, "%s: %s", o->files[i], strerror(errno));
			return false;
		}
		read_stream(r, in);
		fclose(in);
	}
	return true;
}

static int by_wall(const void *a, const void *b)
{
	double x = wall_at(((const line_t *)a)->record);
	double y = wall_at(((const line_t *)b)->record);

	return x < y ? -1 : x > y;
}

static bool is_of(json_t *record, const char *id)
{
	return strcmp(text_at(record, "request"), id) == 0;
}

/* Time from the arrival to the end of a request over all instances; false if it has no record. */
static bool request_span(const records_t *r, const char *id, double *from, double *to)
{
	bool found = false;

	for (size_t i = 0; i < r->n; i++) {
		double end = wall_at(r->v[i].record);
		double start = end - (double)int_at(r->v[i].record, "took_ms") / 1e3;

		if (!is_of(r->v[i].record, id))
			continue;
		*from = found ? fmin(*from, start) : start;
		*to = found ? fmax(*to, end) : end;
		found = true;
	}
	return found;
}

static bool instance_has_record(const records_t *r, const char *id, const char *instance)
{
	for (size_t i = 0; i < r->n; i++) {
		if (is_of(r->v[i].record, id) &&
		    strcmp(text_at(r->v[i].record, "instance"), instance) == 0)
			return true;
	}
	return false;
}

static void print_steps(json_t *record)
{
	json_t *step;
	size_t i;

	json_array_foreach (json_object_get(record, "steps"), i, step) {
		printf("    %+6" PRId64 " ms  %-12s %s", int_at(step, "at_ms"),
		       text_at(step, "step"), text_at(step, "target"));
		if (*text_at(step, "target"))
			printf("  expected %" PRId64 " ms, %" PRId64 " running, %" PRId64
			       " tokens cached, entry %" PRId64 " ms old%s",
			       int_at(step, "expected_ms"), int_at(step, "running"),
			       int_at(step, "cached"), int_at(step, "entry_age_ms"),
			       json_is_true(json_object_get(step, "cold")) ? ", cold" : "");
		putchar('\n');
	}
}

/* Returns the last step that sent the request to a target, or NULL. */
static json_t *last_send(json_t *record)
{
	static const char *const sends[] = {"sent", "sent-again", "resumed"};
	json_t *found = NULL;
	json_t *step;
	size_t i;

	json_array_foreach (json_object_get(record, "steps"), i, step) {
		if (is_one_of(sends, COUNT(sends), text_at(step, "step")))
			found = step;
	}
	return found;
}

/* How it was known where a stream goes on. */
static const struct {
	const char *source;
	const char *text;
} sources[] = {
	{"named", "the instance that forwarded the request named the build"},
	{"told", "this instance had been told the build"},
	{"asked", "an instance that was asked knew the build"},
	{"only-build", "no instance knew the build, and the store showed one for its pool"},
};

static void print_told(json_t *record)
{
	const char *origin = text_at(record, "told_origin");
	const char *by = text_at(record, "told_by");

	if (!*origin)
		return;
	if (strcmp(origin, "self") == 0)
		printf("; it was served here");
	else
		printf("; told by %s (%s)", *by ? by : "an instance",
		       strcmp(origin, "region") == 0 ? "of the region" : "of another region");
	printf(" %" PRId64 " ms before", int_at(record, "told_age_ms"));
}

/* Where a stream that was taken up went on, and how that was known. */
static void print_stream(json_t *record)
{
	json_t *step = last_send(record);

	for (size_t i = 0; i < COUNT(sources); i++) {
		if (strcmp(text_at(record, "source"), sources[i].source) != 0)
			continue;
		printf("    the stream of %s %s", text_at(record, "resumes"),
		       step ? "went on at " : "was sent nowhere");
		if (step)
			printf("%s", text_at(step, "target"));
		if (*text_at(step, "version"))
			printf(" of version %s", text_at(step, "version"));
		if (*text_at(record, "stream_build"))
			printf(" (build %s)", text_at(record, "stream_build"));
		printf(": %s", sources[i].text);
		if (int_at(record, "lookup_ms") > 0)
			printf(", found in %" PRId64 " ms", int_at(record, "lookup_ms"));
		print_told(record);
		putchar('\n');
	}
}

static void print_request(json_t *record)
{
	printf("%.3f %s %s%s: %s%s%s, status %" PRId64 "\n", wall_at(record),
	       text_at(record, "instance"), text_at(record, "event"),
	       json_is_true(json_object_get(record, "guest")) ? " (from another region)" : "",
	       text_at(record, "outcome"),
	       strcmp(text_at(record, "reason"), "none") != 0 ? ", " : "",
	       strcmp(text_at(record, "reason"), "none") != 0 ? text_at(record, "reason") : "",
	       int_at(record, "status"));
	printf("    route %s, pool %s, configuration %" PRId64 ", store read %" PRId64
	       " ms before\n",
	       text_at(record, "route"), text_at(record, "pool"), int_at(record, "version"),
	       int_at(record, "store_age_ms"));
	printf("    first chunk %" PRId64 " ms of %" PRId64 ", in all %" PRId64 " ms of %" PRId64
	       "\n",
	       int_at(record, "first_ms"), int_at(record, "objective_ms"),
	       int_at(record, "took_ms"), int_at(record, "time_ms"));
	print_stream(record);
	print_steps(record);
}

static void print_state_event(json_t *record)
{
	static const char *const shown[] = {
		"upstream", "other",   "data_centre", "off",	      "leaving",     "version",
		"unsure",   "why",     "lines",	      "part",	      "fingerprint", "resumes",
		"told",	    "told_by", "told_origin", "told_age_ms",  "named",	     "other_by",
		"builds",   "others",  "unheard",     "store_age_ms",
	};

	printf("%.3f %s %s", wall_at(record), text_at(record, "instance"),
	       text_at(record, "event"));
	for (size_t i = 0; i < COUNT(shown); i++) {
		json_t *value = json_object_get(record, shown[i]);

		if (!value)
			continue;
		printf(" %s=", shown[i]);
		json_dumpf(value, stdout, JSON_ENCODE_ANY);
	}
	putchar('\n');
}

/* What was known of a stream that was taken up, beside the record of its request. */
static bool is_of_stream(json_t *record)
{
	return strncmp(text_at(record, "event"), "stream.", strlen("stream.")) == 0;
}

/* Returns whether @record is of the state of an instance with records of the request, around it. */
static bool is_beside(const records_t *r, json_t *record, const char *id, double from, double to)
{
	double at = wall_at(record);

	return at >= from - STATE_BEFORE_S && at <= to + STATE_AFTER_S &&
	       is_one_of(state_events, COUNT(state_events), text_at(record, "event")) &&
	       instance_has_record(r, id, text_at(record, "instance"));
}

static void print_history(const records_t *r, const char *id, double from, double to)
{
	for (size_t i = 0; i < r->n; i++) {
		json_t *record = r->v[i].record;
		bool own = is_of(record, id);

		if (own && !is_of_stream(record))
			print_request(record);
		else if (own || is_beside(r, record, id, from, to))
			print_state_event(record);
	}
}

/* Returns the last step with that name, or NULL. */
static json_t *last_step(json_t *record, const char *name)
{
	json_t *found = NULL;
	json_t *step;
	size_t i;

	json_array_foreach (json_object_get(record, "steps"), i, step) {
		if (strcmp(text_at(step, "step"), name) == 0)
			found = step;
	}
	return found;
}

typedef struct cause {
	const char *reason;
	const char *text;
	const char *step; /* step whose target is printed; "sent" means the last send of any kind */
} cause_t;

static const cause_t causes[] = {
	{"no-upstream", "no upstream that the route allows was usable", NULL},
	{"too-late", "every upstream that the route allows was too busy", "given-up"},
	{"backoff", "every upstream that the route allows had asked for a pause", NULL},
	{"refused", "every upstream that was tried refused the request, last", "refused-by"},
	{"budget", "the retry budget was spent after a failure at", "failed-at"},
	{"broken", "the response was cut off at", "failed-at"},
	{"timeout", "the timeout passed without a complete response from", "sent"},
	{"memory-short", "memory was short, and too much was held of the response of", "sent"},
	{"unproved", "an error response without proof of its origin or outcome came from", "sent"},
};

static json_t *step_of(json_t *record, const char *name)
{
	return strcmp(name, "sent") == 0 ? last_send(record) : last_step(record, name);
}

static void print_target(json_t *step)
{
	if (step && *text_at(step, "target"))
		printf(" %s (expected %" PRId64 " ms, %" PRId64 " running)",
		       text_at(step, "target"), int_at(step, "expected_ms"),
		       int_at(step, "running"));
}

static bool print_failure(json_t *record)
{
	const char *reason = text_at(record, "reason");

	for (size_t i = 0; i < COUNT(causes); i++) {
		json_t *step;

		if (strcmp(causes[i].reason, reason) != 0)
			continue;
		step = causes[i].step ? step_of(record, causes[i].step) : NULL;
		printf("cause: %s", causes[i].text);
		print_target(step);
		putchar('\n');
		return true;
	}
	return false;
}

static bool print_slow_response(json_t *record)
{
	int64_t first = int_at(record, "first_ms");
	int64_t objective = int_at(record, "objective_ms");
	json_t *step = last_send(record);

	if (objective == 0 || first <= objective)
		return false;
	printf("cause: the first chunk came %" PRId64 " ms late from %s, where %" PRId64
	       " ms were expected with %" PRId64 " running\n",
	       first - objective, text_at(step, "target"), int_at(step, "expected_ms"),
	       int_at(step, "running"));
	return true;
}

/* Why a request whose target was silent was not sent to another one. */
static const cause_t no_others[] = {
	{"no-upstream", "no other upstream that the route allows was usable and not silent", NULL},
	{"too-late", "every other upstream that the route allows was too busy", NULL},
	{"held", "requests like this one may crash upstreams", NULL},
	{"backoff", "every other upstream that the route allows had asked for a pause", NULL},
	{"refused", "every other upstream that was tried refused the request", NULL},
	{"budget", "the retry budget was spent", NULL},
	{"none", "the request could not be sent again", NULL},
};

static void print_no_other(json_t *record)
{
	json_t *silent = last_step(record, "silent");
	const char *reason = text_at(record, "no_other");

	if (!silent) {
		printf("; no other target was tried before");
		return;
	}
	printf("; silent at %" PRId64 " ms", int_at(silent, "at_ms"));
	for (size_t i = 0; i < COUNT(no_others); i++) {
		if (strcmp(no_others[i].reason, reason) == 0)
			printf(", no other target: %s", no_others[i].text);
	}
}

/* The caller disconnected. */
static bool print_left(json_t *record)
{
	json_t *step = last_send(record);
	json_t *silent = last_step(record, "silent");
	int64_t took = int_at(record, "took_ms");

	if (strcmp(text_at(record, "outcome"), "left") != 0)
		return false;
	if (int_at(record, "first_ms") > 0 && took + LEFT_MARGIN_MS >= int_at(record, "time_ms")) {
		printf("cause: the caller's time was over after %" PRId64
		       " ms, before the end of the response from",
		       took);
		print_target(step);
		putchar('\n');
		return true;
	}
	if (int_at(record, "first_ms") > 0 || int_at(record, "objective_ms") == 0 ||
	    took < int_at(record, "objective_ms")) {
		puts("cause: the caller disconnected before the end of the response");
		return true;
	}
	printf("cause: the caller left after %" PRId64 " ms of %" PRId64 " without a response",
	       took, int_at(record, "objective_ms"));
	if (step)
		printf(" from");
	print_target(step);
	/* The request was sent on from the silent target, so @step is the other one. */
	if (step && silent && int_at(step, "at_ms") >= int_at(silent, "at_ms") &&
	    strcmp(text_at(step, "target"), text_at(silent, "target")) != 0)
		printf(", tried after %s, silent at %" PRId64 " ms", text_at(silent, "target"),
		       int_at(silent, "at_ms"));
	else if (step)
		print_no_other(record);
	putchar('\n');
	return true;
}

/* The caller got the complete response of an upstream with an error. */
static bool print_error_response(json_t *record)
{
	json_t *failed = last_step(record, "failed-at");

	if (strcmp(text_at(record, "outcome"), "failed") != 0 || int_at(record, "status") < 500)
		return false;
	printf("cause: the answer was status %" PRId64 " from", int_at(record, "status"));
	print_target(last_send(record));
	if (int_at(record, "runs") > 1 && failed)
		printf(", after a failure at %s", text_at(failed, "target"));
	putchar('\n');
	return true;
}

static bool print_stream_unknown(json_t *record)
{
	if (strcmp(text_at(record, "event"), "stream.unknown") != 0)
		return false;
	printf("cause: no instance that could be asked knew at which build the stream goes on; "
	       "%" PRId64 " of %" PRId64
	       " others of the region were unheard, and the store had answered %" PRId64
	       " ms before\n",
	       int_at(record, "unheard"), int_at(record, "others"), int_at(record, "store_age_ms"));
	return true;
}

/*
 * Prefers the records of the instance that the caller sent the request to over those of a remote
 * region that it was forwarded to.
 */
static bool print_cause(const records_t *r, const char *id)
{
	for (int forwarded = 0; forwarded <= 1; forwarded++) {
		for (size_t i = r->n; i > 0; i--) {
			json_t *record = r->v[i - 1].record;

			if (!is_of(record, id) ||
			    json_is_true(json_object_get(record, "guest")) != (forwarded == 1))
				continue;
			if (print_failure(record) || print_slow_response(record) ||
			    print_left(record) || print_error_response(record) ||
			    print_stream_unknown(record))
				return true;
			if (strcmp(text_at(record, "event"), "request.no-route") == 0) {
				puts("cause: no route of the active configuration matches");
				return true;
			}
		}
	}
	return false;
}

static void free_records(records_t *r)
{
	for (size_t i = 0; i < r->n; i++)
		json_decref(r->v[i].record);
	free(r->v);
}

ctl_exit_t ctl_explain(const ctl_options_t *o)
{
	records_t r = {0};
	double from = 0;
	double to = 0;
	ctl_exit_t status = CTL_OK;

	if (!read_all(o, &r)) {
		free_records(&r);
		return CTL_INVALID;
	}
	if (r.n > 0)
		qsort(r.v, r.n, sizeof(*r.v), by_wall);
	if (r.skipped > 0 || r.unknown > 0)
		fprintf(stderr,
			"arbutuspondctl: lines without a record: %zu, records of unknown events: "
			"%zu\n",
			r.skipped, r.unknown);
	if (!request_span(&r, o->argument, &from, &to)) {
		status = ctl_fail(CTL_REFUSED, "request %s: no record in the logs", o->argument);
	} else {
		print_history(&r, o->argument, from, to);
		if (!print_cause(&r, o->argument)) {
			puts("cause: none found; the response was in time");
			status = CTL_DIFFERENT;
		}
	}
	free_records(&r);
	return status;
}
