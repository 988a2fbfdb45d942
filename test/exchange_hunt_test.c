/*
 * The exchange hunt: requests at lib/exchange in virtual time, drawn from seeds, whose upstreams
 * and callers do what docs/acts.md lists. By hand: --seed N [--requests N] [--verbose] [--seconds];
 * a request's own seed, as printed, plays it alone. With --seconds, attempts that are slow have a
 * second one beside them.
 */
#include "exchange_hunt_play.h"

#include <setjmp.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <limits.h>
#include <stdlib.h>

const hunt_act_t hunt_acts[] = {
	{"whole", 14, DEED_NONE, STOP_NONE, END_CHUNKS, 0},
	{"whole, length stated", 3, DEED_NONE, STOP_NONE, END_SIZED, 0},
	{"whole, collected", 2, DEED_NONE, STOP_NONE, END_COLLECTED, 0},
	{"whole, closes", 3, DEED_NONE, STOP_NONE, END_CLOSE, 0},
	{"whole, uneven", 4, DEED_UNEVEN, STOP_NONE, END_CHUNKS, 0},
	{"slow", 4, DEED_SLOW, STOP_NONE, END_CHUNKS, 0},
	{"silent for a while", 5, DEED_SILENT, STOP_NONE, END_CHUNKS, 0},
	{"silent for ever", 3, DEED_MUTE, STOP_ANYWHERE, END_CHUNKS, 0},
	{"ends for want of time", 8, DEED_NONE, STOP_NO_TIME, END_CHUNKS, 0},
	{"ends for want of time, uneven", 3, DEED_UNEVEN, STOP_NO_TIME, END_CHUNKS, 0},
	{"ends for want of time, collected", 2, DEED_NONE, STOP_NO_TIME, END_COLLECTED, 0},
	{"ends for want of time, closes", 2, DEED_NONE, STOP_NO_TIME, END_CLOSE, 0},
	{"ends at the deadline", 6, DEED_NONE, STOP_DEADLINE, END_CHUNKS, 0},
	{"ends after the deadline", 4, DEED_NONE, STOP_LATE, END_CHUNKS, 0},
	{"ends without an event", 4, DEED_NONE, STOP_FIRST, END_CHUNKS, 0},
	{"ends within an event", 7, DEED_NONE, STOP_INSIDE, END_CHUNKS, 0},
	{"ends at its announced stop", 6, DEED_NONE, STOP_LEAVES, END_CHUNKS, 0},
	{"ends anywhere", 3, DEED_NONE, STOP_ANYWHERE, END_CHUNKS, 0},
	{"breaks off", 5, DEED_NONE, STOP_ANYWHERE, END_BROKEN, 0},
	{"breaks off within an event", 6, DEED_NONE, STOP_INSIDE, END_BROKEN, 0},
	{"breaks off, length stated", 2, DEED_NONE, STOP_ANYWHERE, END_SIZED, 0},
	{"closes early, lives on", 2, DEED_NONE, STOP_ANYWHERE, END_CLOSE, 0},
	{"closes early, has ended", 4, DEED_NONE, STOP_ANYWHERE, END_DIES, 0},
	{"repeats an event", 3, DEED_REPEATS, STOP_NONE, END_CHUNKS, 0},
	{"goes back", 3, DEED_BACK, STOP_NONE, END_CHUNKS, 0},
	{"repeats all events", 5, DEED_FROM_START, STOP_NONE, END_CHUNKS, 0},
	{"repeats some events, ends", 4, DEED_FROM_START, STOP_ANYWHERE, END_CHUNKS, 0},
	{"repeats all events, loads weights", 3, DEED_FROM_START_LOADS, STOP_NONE, END_CHUNKS, 0},
	{"refuses", 5, DEED_REFUSES, STOP_NONE, END_CHUNKS, 503},
	{"refuses, Retry-After", 3, DEED_LATER, STOP_NONE, END_CHUNKS, 503},
	{"unsent", 4, DEED_UNSENT, STOP_NONE, END_CHUNKS, 0},
	{"unreachable", 2, DEED_UNREACHABLE, STOP_NONE, END_CHUNKS, 0},
	{"500", 3, DEED_STATUS, STOP_NONE, END_CHUNKS, 500},
	{"404", 2, DEED_STATUS, STOP_NONE, END_CHUNKS, 404},
	{"503 without Not-Run", 2, DEED_STATUS, STOP_NONE, END_CHUNKS, 503},
	{"504 at the deadline", 3, DEED_TIMEOUT, STOP_NONE, END_CHUNKS, 504},
	{"204", 2, DEED_BODILESS, STOP_NONE, END_CHUNKS, 204},
	{"no digest", 2, DEED_NO_DIGEST, STOP_NONE, END_CHUNKS, 200},
	{"other weights", 3, DEED_WEIGHTS, STOP_NONE, END_CHUNKS, 0},
	{"loads other weights", 4, DEED_LOADS, STOP_NONE, END_CHUNKS, 0},
};
const size_t hunt_n_acts = sizeof(hunt_acts) / sizeof(hunt_acts[0]);

#define ACTS_MAX 64
#define RULES_MAX 24

/* A rule that was broken. @first: request, counted from 1; @lines, @seed: of the shortest one */
typedef struct hunt_rule {
	char text[160];
	unsigned times;
	unsigned first;
	unsigned lines;
	uint64_t seed;
} hunt_rule_t;

/* What became of requests. @lost: whole streams whose caller got none, by act */
typedef struct hunt_count {
	unsigned whole;
	unsigned untold; /* complete before their last event, as can't be told */
	unsigned errors; /* an upstream's */
	unsigned cut;
	unsigned refused;
	unsigned failed;
	unsigned left;
	unsigned seconds; /* attempts that were considered */
	unsigned sent;	  /* and sent */
	unsigned lost[ACTS_MAX];
	unsigned doubts[AP_DOUBTS]; /* of these, the latest one */
	uint64_t digest;
} hunt_count_t;

/* The last event that the caller has, or part of a body. */
typedef struct hunt_got {
	unsigned last;
	unsigned run;
	unsigned version;
	unsigned build;
	bool text; /* that is no event */
} hunt_got_t;

static void check_event(hunt_instance_t *in, hunt_got_t *got, const char *event)
{
	const char *id = strstr(event, "id: ");
	const char *data = strstr(event, "data: ");
	unsigned n = 0;
	unsigned of = 0;
	unsigned run = 0;
	unsigned version = 0;
	unsigned before = 0;
	unsigned build = 0;

	if (!id || !data || sscanf(id, "id: %u", &n) != 1 ||
	    sscanf(data, "data: %u %u %u %u %u", &of, &run, &version, &before, &build) != 5) {
		hunt_broken(in, "the caller gets what is no event of the stream");
		return;
	}
	if (n != got->last + 1 || of != n)
		hunt_broken(in, n <= got->last ? "an event comes twice, or late"
					       : "an event is missing");
	if (got->version != 0 && run != got->run && before != got->version)
		hunt_broken(in, "events of two versions are joined");
	if (got->build != 0 && build != got->build)
		hunt_broken(in, "events of two builds are joined");
	*got = (hunt_got_t){.last = n, .run = run, .version = version, .build = build};
}

static void check_events(hunt_instance_t *in, hunt_got_t *got)
{
	char text[HUNT_TEXT_MAX + 1];
	char *at = text;

	memcpy(text, in->out.text, in->out.text_len);
	text[in->out.text_len] = '\0';
	while (*at) {
		char *end = strstr(at, "\n\n");

		if (!end) {
			hunt_broken(in, "the caller gets a part of an event");
			return;
		}
		*end = '\0';
		check_event(in, got, at);
		at = end + 2;
	}
}

static void check_parts(hunt_instance_t *in, hunt_got_t *got)
{
	char text[HUNT_TEXT_MAX + 1];
	unsigned n = 0;
	unsigned run = 0;

	memcpy(text, in->out.text, in->out.text_len);
	text[in->out.text_len] = '\0';
	for (char *at = text; *at; at = strchr(at, '\n') + 1) {
		if (sscanf(at, "part %u %u", &n, &run) != 2 || n != got->last + 1 ||
		    (got->run != 0 && got->run != run)) {
			hunt_broken(in, "the body isn't one upstream's");
			return;
		}
		got->last = n;
		got->run = run;
	}
}

/*
 * Returns whether a response that ended as complete after @last may do so by what the instance
 * could know: no further event had begun to arrive, and either one upstream's end there is
 * credible, that has sent an event or states that there is no body (204), or two upstreams have
 * ended there, the second of them credibly.
 */
static bool may_end_after(const hunt_instance_t *in, unsigned last)
{
	bool stream = hunt_is_stream(in);
	unsigned ended = 0;
	bool credible = false;
	bool second = false;

	for (unsigned i = 0; i < in->n_runs; i++) {
		const hunt_run_t *run = &in->run[i];
		const hunt_seen_t *seen = &run->seen;

		if (seen->begun > last || (stream && seen->top > last))
			return false;
		if (!seen->in_order || seen->torn || seen->end_at == 0)
			continue;
		if (seen->top < last && !(run->after == last && seen->pieces == 0))
			continue;
		ended++;
		if (!seen->credible)
			continue;
		credible = credible || seen->bodiless || !stream ||
			   (seen->top == last && seen->top > run->after);
		second = second || (ended > 1 && last > 0);
	}
	return credible || second;
}

/*
 * Returns whether a stream that ended within the gap of its deadline, where another upstream could
 * have said whether it goes on, was believed without asking one.
 */
static bool asked_nobody(const hunt_instance_t *in)
{
	const hunt_run_t *run = &in->run[0];
	ap_usec_t left = in->x.timeout_at - run->seen.end_at;

	return in->n_runs == 1 && in->s->route.resumable && in->s->attempts > 1 &&
	       in->s->budget > 0 && !run->up->remote && !run->seen.sized && !run->seen.closed &&
	       left <= in->s->route.event_gap && left > run->seen.first_pause + 60 * AP_MSEC &&
	       in->out.step[in->out.n - 1].at == run->seen.end_at && in->choices == 1;
}

static void check_end(hunt_instance_t *in, const hunt_got_t *got, hunt_count_t *count)
{
	if (got->last == in->s->events) {
		count->whole++;
	} else if (may_end_after(in, got->last) && asked_nobody(in)) {
		hunt_broken(in, "complete before its last event, and nobody was asked");
	} else if (may_end_after(in, got->last)) {
		hunt_say(in, "(not whole, which can't be told)");
		count->untold++;
	} else {
		hunt_broken(in, "complete before its last event");
	}
}

static const char *kind_name(ap_kind_t kind)
{
	return kind == AP_KIND_STREAM ? "stream" : kind == AP_KIND_ONCE ? "once" : "idempotent";
}

static bool implies_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void check_runs(hunt_instance_t *in, int status)
{
	bool again = in->s->route.kind == AP_KIND_IDEMPOTENT || in->s->route.resumable;
	unsigned ran = 0;
	unsigned sends = 0;

	for (unsigned i = 0; i < in->n_runs; i++) {
		ran += in->run[i].ran;
		sends += in->run[i].reached;
	}
	if (ran > (again ? in->s->attempts : 1))
		hunt_broken(in, again ? "runs more often than its attempts" : "runs twice");
	if (sends > 1 + in->granted)
		hunt_broken(in, "is repeated beyond the retry budget");
	if (implies_not_run(status) && ran > 0)
		hunt_broken(in, "refused, and has run");
}

/* Counts streams that an upstream ended after their last event, in time. */
static void count_lost(hunt_instance_t *in, hunt_count_t *count)
{
	for (unsigned i = 0; i < in->n_runs; i++) {
		const hunt_seen_t *seen = &in->run[i].seen;

		if (seen->in_order && !seen->torn && seen->top == in->s->events &&
		    seen->end_at < in->x.timeout_at && !(seen->closed && !seen->alive)) {
			hunt_say(in, "(lost)");
			/* One that goes on without a further event needs a second one. */
			if (seen->credible && seen->top > in->run[i].after && !seen->closed)
				hunt_broken(in, "a whole response is lost, whose end is credible");
			count->lost[in->run[i].up->act]++;
			count->doubts[in->x.doubt]++;
			return;
		}
	}
}

static void check_response(hunt_instance_t *in, hunt_count_t *count)
{
	hunt_got_t got = {.last = in->s->taken_up, .version = (unsigned)in->s->version};
	const hunt_step_t *head = NULL;
	const hunt_step_t *final = NULL;

	for (size_t i = 0; i < in->out.n; i++) {
		const hunt_step_t *step = &in->out.step[i];

		if (final)
			hunt_broken(in, "two ends of one response");
		if ((step->kind == STEP_HEAD || step->kind == STEP_REPLY) && head)
			hunt_broken(in, "two heads of one response");
		if (step->kind == STEP_DATA && !head)
			hunt_broken(in, "data before its head");
		if (step->kind == STEP_HEAD || step->kind == STEP_REPLY)
			head = step;
		if (step->kind >= STEP_END)
			final = step;
	}
	check_runs(in, head ? head->head.status : 0);
	if (!in->left && !final)
		hunt_broken(in, "no end of the response");
	if (head && head->kind == STEP_HEAD && head->head.status / 100 != 2) {
		count->errors += !in->left;
		return;
	}
	if (hunt_is_stream(in))
		check_events(in, &got);
	else
		check_parts(in, &got);
	count->left += in->left;
	if (!final || !head)
		return;
	count->cut += final->kind == STEP_ABORT;
	count->refused += final->kind == STEP_REPLY && final->head.status == 503;
	count->failed += final->kind == STEP_REPLY && final->head.status != 503;
	if (final->kind == STEP_END && !(head->head.bodiless && got.last == in->s->taken_up))
		check_end(in, &got, count);
	else if (final->kind != STEP_END)
		count_lost(in, count);
}

/* Plays one request. */
static void play(hunt_scene_t *s, uint64_t seed, bool verbose, bool seconds, hunt_count_t *count)
{
	static hunt_instance_t in;

	hunt_draw(s, seed, verbose);
	if (seconds)
		hunt_draw_seconds(s);
	in = (hunt_instance_t){.s = s, .now = HUNT_START};
	in.x.req.weights = s->version ? ap_weights_of(s->version) : AP_WEIGHTS_ANY;
	if (s->taken_up > 0)
		snprintf(in.x.last_event_id, sizeof(in.x.last_event_id), "%u", s->taken_up);
	hunt_say(&in,
		 "seed %llu: %s%s, %u events from %u, %d ms, gap %d ms, %u attempts, budget %d",
		 (unsigned long long)seed, kind_name(s->route.kind),
		 s->route.resumable ? ", resumable" : "", s->events, s->taken_up,
		 (int)(s->left / AP_MSEC), (int)(s->route.event_gap / AP_MSEC), s->attempts,
		 s->budget);
	hunt_play(&in, s->left, s->attempts);
	check_response(&in, count);
	count->seconds += in.seconds;
	count->sent += in.x.seconds;
	count->digest = ap_hash(in.out.text, in.out.text_len, count->digest + s->lines);
}

static void note_broken(hunt_rule_t *rules, const hunt_scene_t *s, unsigned request)
{
	hunt_rule_t *rule = rules;

	while (rule->times > 0 && strcmp(rule->text, s->broken) != 0)
		rule++;
	assert(rule < rules + RULES_MAX);
	if (rule->times++ == 0) {
		snprintf(rule->text, sizeof(rule->text), "%s", s->broken);
		rule->first = request;
		rule->lines = UINT_MAX;
	}
	if (s->lines < rule->lines) {
		rule->lines = s->lines;
		rule->seed = s->seed;
	}
}

/* Plays @requests. Return: how many broke a rule; of each rule the shortest one is printed. */
static unsigned hunt(uint64_t seed, unsigned requests, bool verbose, bool seconds,
		     hunt_count_t *count)
{
	hunt_rule_t rules[RULES_MAX] = {0};
	unsigned broken = 0;
	hunt_scene_t s;

	for (unsigned i = 0; i < requests; i++) {
		play(&s, seed + i, verbose, seconds, count);
		if (!s.broken[0])
			continue;
		note_broken(rules, &s, i + 1);
		broken++;
	}
	for (const hunt_rule_t *rule = rules; rule->times > 0; rule++) {
		hunt_count_t again = {0};

		printf("%s: %u times, the first one is request %u; the shortest one:\n", rule->text,
		       rule->times, rule->first);
		play(&s, rule->seed, true, seconds, &again);
	}
	return broken;
}

static void print_count(const hunt_count_t *count)
{
	printf("whole %u, not whole as can't be told %u, errors of upstreams %u, "
	       "cut %u, refused "
	       "%u, "
	       "failed %u, left %u, digest %016llx; whole ones lost:\n",
	       count->whole, count->untold, count->errors, count->cut, count->refused,
	       count->failed, count->left, (unsigned long long)count->digest);
	printf("  %5u second attempts, of %u considered\n", count->sent, count->seconds);
	for (size_t i = 0; i < hunt_n_acts; i++) {
		if (count->lost[i] > 0)
			printf("  %5u %s\n", count->lost[i], hunt_acts[i].name);
	}
	for (ap_doubt_t i = AP_DOUBT_NONE; i < AP_DOUBTS; i++)
		printf("  %5u for the doubt: %s\n", count->doubts[i], ap_doubt_name(i));
}

static void no_request_breaks_a_rule(void **state)
{
	hunt_count_t count = {0};

	(void)state;
	for (uint64_t seed = 1; seed <= 3; seed++)
		assert_int_equal(hunt(seed * 1000000, 40000, false, false, &count), 0);
	print_count(&count);
	assert_true(count.whole > 0 && count.untold > 0 && count.cut > 0 && count.refused > 0);
}

/*
 * Guards against what a second attempt may break: two upstreams at a stream, parts of two
 * responses, more runs than the route or the budget allows, and whole responses that are lost.
 */
static void nor_does_one_with_second_attempts(void **state)
{
	hunt_count_t count = {0};

	(void)state;
	for (uint64_t seed = 1; seed <= 3; seed++)
		assert_int_equal(hunt(seed * 1000000, 40000, false, true, &count), 0);
	print_count(&count);
	assert_true(count.whole > 0 && count.seconds > count.sent && count.sent > 1000);
}

static void the_same_seed_plays_the_same_request(void **state)
{
	hunt_count_t first = {0};
	hunt_count_t second = {0};

	(void)state;
	hunt(7000000, 1000, false, true, &first);
	hunt(7000000, 1000, false, true, &second);
	assert_memory_equal(&first, &second, sizeof(first));
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_request_breaks_a_rule),
		cmocka_unit_test(nor_does_one_with_second_attempts),
		cmocka_unit_test(the_same_seed_plays_the_same_request),
	};
	hunt_count_t count = {0};
	unsigned requests = 1;
	uint64_t seed = 1;
	bool verbose = false;
	bool seconds = false;
	unsigned broken;

	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--verbose") == 0)
			verbose = true;
		else if (strcmp(argv[i], "--seconds") == 0)
			seconds = true;
		else if (strcmp(argv[i], "--seed") == 0 && i + 1 < argc)
			seed = strtoull(argv[++i], NULL, 10);
		else if (strcmp(argv[i], "--requests") == 0 && i + 1 < argc)
			requests = (unsigned)strtoul(argv[++i], NULL, 10);
	}
	if (argc == 1)
		return cmocka_run_group_tests(tests, NULL, NULL);
	broken = hunt(seed, requests, verbose, seconds, &count);
	printf("%u of %u requests break a rule\n", broken, requests);
	print_count(&count);
	return broken > 0;
}
