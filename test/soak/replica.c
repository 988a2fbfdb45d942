/* An upstream: runs each request that arrives, counts the runs and injects faults. */
#include "soak.h"
#include "stream.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STEP_MS 15
#define WORK_MAX_MS 60
#define SLOW_FACTOR 8
#define FAULT_SHARE 0.3
#define EMPTY_SHARE 0.1 /* of the streams of upstreams that end them in order */
#define SLOTS 16
#define HEADERS_MAX 7		      /* of a response */
#define IN_GRACE_MAX 2		      /* at the soak's rate */
#define IN_PAUSE_MAX 2		      /* the platform's bound for an instance */
#define DRAIN_BOUND (3 * AP_SEC)      /* drain_ms of the settings */
#define GONE_TIME (100 * AP_MSEC)     /* in which an instance notices that a caller left */
#define UNDISTURBED_TIME (6 * AP_SEC) /* time without faults after which bounds hold */

/* How a response is made one that isn't the upstream's. */
typedef enum spoil {
	SPOIL_NONE,
	SPOIL_NO_STAMP,
	SPOIL_ENCODING,
	SPOIL_REPEAT, /* an event of a stream comes twice */
	SPOILS,
} spoil_t;

typedef struct job {
	LIST_ENTRY(job) entry;
	replica_t *replica;
	ap_http_call_t *call;
	struct event *timer;
	struct event *deadline;
	request_t *q;
	soak_kind_t kind;
	char id[24];
	unsigned run;	/* of its request */
	unsigned after; /* last event that the caller has */
	unsigned next;	/* number of an event, or of a part of a body in chunks */
	unsigned step_ms;
	unsigned wait_ms; /* for the next event or part */
	pace_t pace;
	ap_usec_t until; /* its deadline */
	bool stops_before;
	bool cut_short;
	bool empty; /* its stream ends before the first event */
	spoil_t spoil;
	bool started;
} job_t;

static LIST_HEAD(, job) jobs = LIST_HEAD_INITIALIZER(jobs);

static void job_free(job_t *j)
{
	j->replica->running--;
	LIST_REMOVE(j, entry);
	event_free(j->timer);
	event_free(j->deadline);
	free(j);
}

static void on_closed(void *ctx)
{
	job_free(ctx);
}

static bool all_undisturbed(const soak_t *s, ap_usec_t now)
{
	if (now - s->store_last_disturbed < UNDISTURBED_TIME)
		return false;
	for (size_t i = 0; i < s->n_instances; i++) {
		if (now - s->instances[i].last_disturbed < UNDISTURBED_TIME)
			return false;
	}
	return true;
}

/* Returns whether nothing happened to the instances of @region since @since. */
static bool region_undisturbed(const soak_t *s, unsigned region, ap_usec_t since)
{
	for (size_t i = 0; i < s->n_instances; i++) {
		if (s->instances[i].region == region && s->instances[i].last_disturbed >= since)
			return false;
	}
	return true;
}

static void check_drain(const replica_t *r, const request_t *q, ap_usec_t now)
{
	if (!r->silent && now - r->draining_since > DRAIN_BOUND && all_undisturbed(r->soak, now))
		soak_finding(r->soak, "drain: %s reached %s after its drain bound", q->id, r->id);
	if (r->said_leaving_at > 0 && now - r->said_leaving_at > DRAIN_BOUND &&
	    region_undisturbed(r->soak, r->region, r->said_leaving_at))
		soak_finding(r->soak, "drain: %s reached %s, which had said that it leaves", q->id,
			     r->id);
}

static void check_arrival(replica_t *r, const request_t *q)
{
	if (q->kind == SOAK_RESUMABLE && r->region >= soak_n_homes(r->soak))
		soak_finding(r->soak, "home: home-bound request %s reached %s in another region",
			     q->id, r->id);
	if (r->draining)
		check_drain(r, q, ap_now());
}

/* Adds the header that says that the replica leaves. Return: the number of headers. */
static size_t add_leaving(replica_t *r, ap_http_header_t *headers, size_t n)
{
	if (!r->draining)
		return n;
	if (r->said_leaving_at == 0)
		r->said_leaving_at = ap_now();
	headers[n++] = (ap_http_header_t){"Server-Leaving", "1"};
	return n;
}

static void reply_refused(replica_t *r, ap_http_call_t *call, int status)
{
	const char *id = ap_http_call_header(call, "Request-Id");
	ap_http_header_t headers[4] = {{"Not-Run", "1"}, {"Request-Id", id}};
	size_t n = add_leaving(r, headers, id ? 2 : 1);
	ap_usec_t left = r->pause_until - ap_now();
	char seconds[24];

	if (status == 503 && left > 0) {
		snprintf(seconds, sizeof(seconds), "%.3f", (double)left / (double)AP_SEC);
		headers[n++] = (ap_http_header_t){"Retry-After", seconds};
	}
	ap_http_reply(call, status, headers, n, NULL, 0);
}

static void count_in_pause(replica_t *r, ap_usec_t now)
{
	if (r->pause_from == 0)
		r->pause_from = now;
	r->in_pause += now - r->pause_from > PAUSE_GRACE;
}

/* Adds the headers of the upstream's own response. Return: the number of headers. */
static size_t add_own(const job_t *j, ap_http_header_t *headers)
{
	size_t n = 0;

	headers[n++] = (ap_http_header_t){"Request-Id", j->id};
	if (j->replica->weights > 0)
		headers[n++] =
			(ap_http_header_t){"Weight-Versions", j->replica->weights == 1 ? "1" : "2"};
	if (j->spoil != SPOIL_NO_STAMP)
		headers[n++] = (ap_http_header_t){"Server-Stamp", j->replica->id};
	if (j->spoil == SPOIL_ENCODING)
		headers[n++] = (ap_http_header_t){"Content-Encoding", "gzip"};
	return add_leaving(j->replica, headers, n);
}

static void reply_complete(job_t *j, int status)
{
	ap_http_header_t headers[HEADERS_MAX];
	size_t n = add_own(j, headers);
	ap_http_call_t *call = j->call;
	char body[BODY_PARTS * BODY_PART_MAX];
	size_t len = 0;

	for (unsigned i = 1; i <= BODY_PARTS; i++)
		len += body_part(body + len, i, j->id, j->replica->id);
	ap_http_call_watch(call, NULL, NULL, NULL);
	ap_http_reply(call, status, headers, n, body, len);
	job_free(j);
}

static void cut_off(job_t *j)
{
	ap_http_call_t *call = j->call;

	ap_http_call_watch(call, NULL, NULL, NULL);
	job_free(j);
	ap_http_call_abort(call);
}

static bool is_stream(const job_t *j)
{
	return j->kind == SOAK_STREAM || j->kind == SOAK_RESUMABLE;
}

static void start_response(job_t *j)
{
	ap_http_header_t headers[HEADERS_MAX];
	size_t n;

	if (j->started)
		return;
	n = add_own(j, headers);
	if (is_stream(j))
		headers[n++] = (ap_http_header_t){"Content-Type", "text/event-stream"};
	ap_http_reply_start(j->call, 200, headers, n);
	j->started = true;
}

static void end_in_order(job_t *j)
{
	ap_http_call_t *call = j->call;

	ap_http_call_watch(call, NULL, NULL, NULL);
	job_free(j);
	ap_http_reply_end(call);
}

/* Ends a response as a server does whose handler returns early. */
static void end_early(job_t *j, ended_t why)
{
	ap_http_header_t headers[HEADERS_MAX];
	ap_http_call_t *call = j->call;
	size_t n;

	j->q->early = why;
	j->replica->soak->early_ends[why]++;
	if (j->started || is_stream(j)) {
		start_response(j);
		end_in_order(j);
		return;
	}
	n = add_own(j, headers);
	ap_http_call_watch(call, NULL, NULL, NULL);
	ap_http_reply(call, 200, headers, n, NULL, 0);
	job_free(j);
}

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	job_t *j = arg;

	(void)fd;
	(void)what;
	if (j->replica->finishes)
		end_early(j, ENDED_DEADLINE);
	else
		cut_off(j);
}

/* Returns whether this run has sent an event or part. */
static bool has_piece(const job_t *j)
{
	return j->next > j->after + 1;
}

/*
 * Returns whether the run isn't to begin its next piece, which would come after its deadline. What
 * takes longer than the pace of the response shows can't be told from its end, so it is begun.
 */
static bool lacks_time(const job_t *j)
{
	if (!j->stops_before || j->empty || ap_now() + j->wait_ms * AP_MSEC <= j->until)
		return false;
	/* A stream without an event isn't whole at any pace. */
	if (is_stream(j) && j->after == 0 && !has_piece(j))
		return true;
	return pace_shows(&j->pace, is_stream(j), j->wait_ms);
}

/* Takes @ms for the next event or part, or for a complete response. */
static void go_on(job_t *j, unsigned ms)
{
	struct timeval tv;

	if (j->replica->holds)
		return;
	if (j->replica->mode == REPLICA_SLOW)
		ms *= SLOW_FACTOR;
	j->wait_ms = ms;
	if (lacks_time(j)) {
		end_early(j, ENDED_BEFORE);
		return;
	}
	tv = ap_timeval(ms * AP_MSEC);
	event_add(j->timer, &tv);
}

/* Returns in how many milliseconds the next event or part is ready. */
static unsigned next_step(const job_t *j)
{
	if (!j->stops_before)
		return j->step_ms ? j->step_ms : STEP_MS;
	return 2 * j->step_ms / 3 +
	       (unsigned)ap_rng_below(&j->replica->soak->befores, j->step_ms / 3);
}

/* Returns how many milliseconds pass before the first event or part, or the complete response. */
static unsigned first_step(const job_t *j)
{
	if (j->replica->work_ms > 0)
		return j->replica->work_ms;
	if (j->stops_before && is_stream(j))
		return next_step(j);
	return 5 + (unsigned)ap_rng_below(&j->replica->soak->rng, WORK_MAX_MS);
}

/* Counts an event or part that is sent. */
static void count_piece(job_t *j)
{
	pace_add(&j->pace, j->wait_ms, !has_piece(j));
	j->q->pace = j->pace;
	j->next++;
}

/* Sends one part of a body in chunks. */
static void send_next_part(job_t *j)
{
	char part[BODY_PART_MAX];
	size_t len = body_part(part, j->next, j->id, j->replica->id);

	start_response(j);
	ap_http_reply_write(j->call, part, len);
	count_piece(j);
	if (j->next <= BODY_PARTS)
		go_on(j, next_step(j));
	else
		end_in_order(j);
}

/* Sends one event, or half of it where the response is to be cut off. */
static void send_next_event(job_t *j)
{
	char event[STREAM_EVENT_MAX];
	size_t len = stream_event(event, j->next, j->id, j->run, j->after, j->replica->weights);

	start_response(j);
	/* The caller has all of it. */
	if (j->next > STREAM_EVENTS) {
		end_in_order(j);
		return;
	}
	if (j->spoil == SPOIL_REPEAT && j->next == STREAM_EVENTS / 2)
		ap_http_reply_write(j->call, event, len);
	if (j->cut_short && j->next == STREAM_EVENTS / 2) {
		ap_http_reply_write(j->call, event, len / 2);
		cut_off(j);
		return;
	}
	ap_http_reply_write(j->call, event, len);
	count_piece(j);
	if (j->next <= STREAM_EVENTS)
		go_on(j, next_step(j));
	else
		end_in_order(j);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	job_t *j = arg;

	(void)fd;
	(void)what;
	if (j->empty)
		end_early(j, ENDED_EMPTY);
	else if (is_stream(j))
		send_next_event(j);
	else if (j->cut_short)
		cut_off(j);
	else if (j->step_ms > 0 && j->replica->mode != REPLICA_ERRS)
		send_next_part(j);
	else
		reply_complete(j, j->replica->mode == REPLICA_ERRS ? 500 : 200);
}

/* A request is handled by the version that its instance had before, or a later one. */
static void check_version(const replica_t *r, const request_t *q)
{
	const soak_t *s = r->soak;

	for (size_t i = 0; i < s->n_published; i++) {
		if (s->published[i].version >= q->version &&
		    strcmp(soak_pool(q->kind, s->published[i].swapped), r->pool) == 0)
			return;
	}
	soak_finding(r->soak, "configuration: %s ran at %s, as only a version before %llu says",
		     q->id, r->id, (unsigned long long)q->version);
}

/* A replica stops work at the deadline that it receives. */
static void start_deadline(job_t *j)
{
	const char *ms = ap_http_call_header(j->call, "Deadline-Ms");
	struct timeval tv;

	j->until = AP_NEVER;
	j->deadline = evtimer_new(j->replica->soak->base, on_deadline, j);
	if (!ms || j->replica->holds)
		return;
	tv = ap_timeval((ap_usec_t)(strtod(ms, NULL) * (double)AP_MSEC));
	j->until = ap_now() + (ap_usec_t)tv.tv_sec * AP_SEC + tv.tv_usec;
	event_add(j->deadline, &tv);
}

static void run(replica_t *r, ap_http_call_t *call, request_t *q)
{
	const char *after = ap_http_call_header(call, "Last-Event-Id");
	job_t *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	q->runs++;
	/* A stream goes on where it began. */
	if (q->version != 0 && !after)
		check_version(r, q);
	q->pool = r->pool;
	q->ran = ap_now();
	if (q->runs > 1 && (q->kind == SOAK_ONCE || q->kind == SOAK_STREAM))
		soak_finding(r->soak, "once: %s ran %u times, expected at most 1", q->id, q->runs);
	j->replica = r;
	j->call = call;
	j->q = q;
	j->kind = q->kind;
	j->step_ms = q->step_ms;
	j->run = q->runs;
	j->after = after ? (unsigned)strtoul(after, NULL, 10) : 0;
	j->next = j->after + 1;
	j->stops_before = q->stops_before;
	if (!after)
		q->pace = (pace_t){0};
	j->pace = q->pace;
	j->cut_short = r->mode == REPLICA_BREAKS && ap_rng_unit(&r->soak->rng) < FAULT_SHARE;
	if (r->mode == REPLICA_BREAKS && !j->cut_short && !r->soak->no_spoils)
		j->spoil = (spoil_t)ap_rng_below(&r->soak->spoils, SPOILS);
	if (is_stream(j) && !after && r->finishes && r->soak->faulty)
		j->empty = ap_rng_unit(&r->soak->ends) < EMPTY_SHARE;
	ap_copy_name(j->id, sizeof(j->id), q->id);
	j->timer = evtimer_new(r->soak->base, on_timer, j);
	LIST_INSERT_HEAD(&jobs, j, entry);
	r->running++;
	ap_http_call_watch(call, j, on_closed, NULL);
	start_deadline(j);
	go_on(j, first_step(j));
}

static void on_request(void *ctx, ap_http_call_t *call)
{
	replica_t *r = ctx;
	const char *id = ap_http_call_header(call, "Request-Id");
	const char *expected = ap_http_call_header(call, "Expect-Instance");
	const char *weights = ap_http_call_header(call, "Expect-Version");
	request_t *q = NULL;

	if (id)
		HASH_FIND_STR(r->soak->requests, id, q);
	if (!q) {
		soak_finding(r->soak, "unasked: %s at %s, sent by no caller", id ? id : "no id",
			     r->id);
		reply_refused(r, call, 400);
		return;
	}
	soak_arrived(r, call, q);
	r->soak->gone += q->arrivals > 1 && q->left_at > 0 && ap_now() - q->left_at > GONE_TIME;
	if ((expected && strcmp(expected, r->id) != 0) ||
	    (weights && strtoul(weights, NULL, 10) != r->weights)) {
		reply_refused(r, call, 421);
		return;
	}
	check_arrival(r, q);
	if (ap_now() < r->pause_until) {
		count_in_pause(r, ap_now());
		reply_refused(r, call, 503);
		return;
	}
	if (r->running >= SLOTS ||
	    (r->mode == REPLICA_SHEDS && ap_rng_unit(&r->soak->rng) < FAULT_SHARE)) {
		reply_refused(r, call, 503);
		return;
	}
	run(r, call, q);
}

/*
 * Checks a pause that is over. Which instance sent a request isn't known here: each of the region
 * may have sent one to be told, IN_GRACE_MAX before PAUSE_GRACE was over for it, and those that the
 * rule allows.
 */
static void check_pause(replica_t *r, ap_usec_t now)
{
	unsigned allowed = soak_region_instances(r->soak) * (1 + IN_GRACE_MAX + IN_PAUSE_MAX);

	if (r->pause_from == 0 || now < r->pause_until)
		return;
	if (r->in_pause > allowed && region_undisturbed(r->soak, r->region, r->pause_from))
		soak_finding(r->soak, "budget: %u requests reached %s in its pause, allowed %u",
			     r->in_pause, r->id, allowed);
	r->pause_from = 0;
}

void replica_heartbeat(soak_t *s, size_t i)
{
	replica_t *r = &s->replicas[i];
	char key[96];
	json_t *o;
	char *text;
	char addr[32];
	char dc[32];

	check_pause(r, ap_now());
	if (!r->server)
		return;
	snprintf(key, sizeof(key), "servers/%s", r->id);
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", link_port(r->link));
	snprintf(dc, sizeof(dc), "%s-1", soak_regions[r->region]);
	o = json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:s*}", "service", r->pool, "addr", addr,
		      "zone", dc, "slots", SLOTS, "state",
		      r->draining && !r->silent ? "draining" : "ready", "coldLeftMs", 0, "seq",
		      (json_int_t)(ap_now() / AP_MSEC), "version", r->version);
	if (r->draining && !r->silent && r->ends_at != AP_NEVER) {
		ap_usec_t left = r->ends_at - ap_now();

		json_object_set_new(o, "drainLeftMs", json_integer(left > 0 ? left / AP_MSEC : 0));
	}
	text = json_dumps(o, JSON_COMPACT);
	store_put(s->store, key, text, 0);
	free(text);
	json_decref(o);
}

void replica_start(soak_t *s, size_t i, const char *pool, unsigned region)
{
	replica_t *r = &s->replicas[i];
	ap_http_server_config_t config = {
		.base = s->base,
		.host = "127.0.0.1",
		.header_bytes = 65536,
		.body_bytes = 8 << 20, /* as an instance accepts */
		.idle = 30 * AP_SEC,
		.ctx = r,
		.request = on_request,
	};
	unsigned incarnation = r->incarnation + 1;

	*r = (replica_t){.soak = s,
			 .region = region,
			 .incarnation = incarnation,
			 .ends_at = AP_NEVER,
			 .finishes = !s->no_ends && (i + incarnation) % 2 == 0,
			 .weights = s->no_weights ? 0 : 1 + (i / 2 + incarnation) % 2,
			 .version = s->release,
			 .silent = incarnation % 2 == 0};
	ap_copy_name(r->pool, sizeof(r->pool), pool);
	snprintf(r->id, sizeof(r->id), "i%d-%zu-%u", (int)getpid(), i, incarnation);
	if (ap_http_server_new(&config, &r->server, NULL) != AP_HTTP_STATUS_OK)
		abort();
	r->link = link_new(s->base, 0, ap_http_server_port(r->server));
	replica_heartbeat(s, i);
}

void replica_stop(replica_t *r)
{
	if (!r->server)
		return;
	ap_http_server_free(r->server);
	r->server = NULL;
	link_free(r->link);
	r->link = NULL;
}

void replica_pause(soak_t *s, size_t i, ap_usec_t until)
{
	s->replicas[i].pause_until = until;
	s->replicas[i].pause_from = 0;
	s->replicas[i].in_pause = 0;
}

void replica_crash(soak_t *s, size_t i)
{
	replica_stop(&s->replicas[i]);
}

void replica_drain(soak_t *s, size_t i, ap_usec_t until)
{
	s->replicas[i].ends_at = until;
	s->replicas[i].draining = true;
	s->replicas[i].draining_since = ap_now();
	replica_heartbeat(s, i);
}

void replica_end_work(soak_t *s, size_t i)
{
	replica_t *r = &s->replicas[i];
	job_t *next;

	for (job_t *j = LIST_FIRST(&jobs); j; j = next) {
		next = LIST_NEXT(j, entry);
		if (j->replica != r)
			continue;
		if (s->no_ends)
			cut_off(j);
		else
			end_early(j, ENDED_STOP);
	}
	ap_http_server_stop(r->server);
}
