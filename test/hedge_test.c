/*
 * Second attempts as decisions: when an attempt is slow, and whether a second one may be sent; and
 * what that makes of the slowest hundredth of responses. Times are drawn, nothing queues.
 */
#include "hedge/hedge.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdlib.h>

#define START (1000 * AP_SEC)
#define UPSTREAMS 20
#define REQUESTS 20000
#define REQUESTS_HALF 10000
#define REQUESTS_99 19800
#define EVERY (10 * AP_MSEC)
#define USUAL (40 * AP_MSEC)
#define LIMIT (2 * AP_SEC)

static const ap_hedge_class_t plain = {.pool = "plain"};

/* Learns @n responses of 1 to 100 times @unit. */
static void learn(ap_hedge_t *h, const ap_hedge_class_t *of, int n, ap_usec_t unit, ap_usec_t now)
{
	for (int i = 0; i < n; i++)
		ap_hedge_response(h, of, (1 + i % 100) * unit, now);
}

/* A question that is answered with a send, after 100 requests. */
static ap_hedge_question_t usual(void)
{
	return (ap_hedge_question_t){
		.of = plain,
		.elapsed = 120 * AP_MSEC,
		.left = LIMIT,
		.first_wait = 50 * AP_MSEC,
		.wait = 50 * AP_MSEC,
		.free_slot = true,
	};
}

static ap_hedge_t *learned(double share)
{
	ap_hedge_t *h = ap_hedge_new(share);

	assert_non_null(h);
	learn(h, &plain, 200, AP_MSEC, START);
	for (int i = 0; i < 100; i++)
		ap_hedge_request(h, plain.pool, START);
	return h;
}

static void a_delay_is_what_95_in_100_take(void **state)
{
	ap_hedge_t *h = ap_hedge_new(0.1);
	const ap_hedge_class_t slow = {.pool = "plain", .kind = 1};
	ap_usec_t delay;

	(void)state;
	learn(h, &plain, 39, AP_MSEC, START);
	assert_int_equal(ap_hedge_delay(h, &plain, START), AP_NEVER);
	learn(h, &plain, 161, AP_MSEC, START);
	delay = ap_hedge_delay(h, &plain, START);
	/* Steps are of 19 %. */
	assert_in_range(delay, 90 * AP_MSEC, 120 * AP_MSEC);
	/* Other kinds, pools and sizes of prompts are apart. */
	assert_int_equal(ap_hedge_delay(h, &slow, START), AP_NEVER);
	for (uint32_t tokens = 100; tokens <= 10000; tokens *= 10) {
		const ap_hedge_class_t of = {.pool = "engines", .tokens = tokens};

		learn(h, &of, 100, tokens * 10, START);
		delay = ap_hedge_delay(h, &of, START);
		assert_in_range(delay, tokens * 900, tokens * 1200 + 20 * AP_MSEC);
	}
	ap_hedge_free(h);
}

/* Guards against second attempts at what is slow by the timers' grain only. */
static void a_delay_has_a_floor(void **state)
{
	ap_hedge_t *h = ap_hedge_new(0.1);

	(void)state;
	learn(h, &plain, 200, 10, START);
	assert_int_equal(ap_hedge_delay(h, &plain, START), 20 * AP_MSEC);
	ap_hedge_free(h);
}

static void what_was_learned_follows_the_responses_and_gets_old(void **state)
{
	ap_hedge_t *h = learned(0.1);

	(void)state;
	learn(h, &plain, 2000, 10 * AP_MSEC, START + AP_SEC);
	assert_true(ap_hedge_delay(h, &plain, START + AP_SEC) > 900 * AP_MSEC);
	assert_int_equal(ap_hedge_delay(h, &plain, START + 100 * AP_SEC), AP_NEVER);
	ap_hedge_free(h);
}

/*
 * Guards against a delay that falls with each second attempt, as the slow responses that it
 * replaces are missing among those that were learned.
 */
static void an_attempt_that_lost_counts_as_slow(void **state)
{
	ap_hedge_t *h = learned(0.1);
	ap_usec_t before = ap_hedge_delay(h, &plain, START);

	(void)state;
	for (int i = 0; i < 2000; i++) {
		ap_usec_t delay = ap_hedge_delay(h, &plain, START);
		ap_usec_t took = (1 + i % 100) * AP_MSEC;

		if (took < delay)
			ap_hedge_response(h, &plain, took, START);
		else
			ap_hedge_unfinished(h, &plain, delay + AP_MSEC, START);
		/* One whose caller left early shows nothing. */
		ap_hedge_unfinished(h, &plain, AP_MSEC, START);
	}
	assert_true(ap_hedge_delay(h, &plain, START) * 1.2 >= before);
	ap_hedge_free(h);
}

static ap_hedge_verdict_t judge(const ap_hedge_question_t *q)
{
	ap_hedge_t *h = learned(0.1);
	ap_hedge_verdict_t verdict = ap_hedge_judge(h, q, START);

	ap_hedge_free(h);
	return verdict;
}

/* Each limit by itself denies what would be sent without it. */
static void each_limit_holds(void **state)
{
	ap_hedge_question_t q = usual();

	(void)state;
	assert_int_equal(judge(&q), AP_HEDGE_SEND);
	q.free_slot = false;
	assert_int_equal(judge(&q), AP_HEDGE_CAPACITY);
	q = usual();
	q.over_allowance = true;
	assert_int_equal(judge(&q), AP_HEDGE_ALLOWANCE);
	q = usual();
	q.left = q.wait - 1;
	assert_int_equal(judge(&q), AP_HEDGE_LATE);
	q.left = 60 * AP_MSEC; /* less than 95 in 100 take */
	assert_int_equal(judge(&q), AP_HEDGE_LATE);
	q = usual();
	q.wait = 120 * AP_MSEC; /* in which the first one is expected */
	assert_int_equal(judge(&q), AP_HEDGE_NOT_SOONER);
	q = usual();
	q.elapsed = 50 * AP_MSEC; /* it isn't slow */
	assert_int_equal(judge(&q), AP_HEDGE_NOT_SOONER);
	q = usual();
	q.of.kind = 1; /* nothing is known */
	assert_int_equal(judge(&q), AP_HEDGE_NOT_SOONER);
}

/*
 * Guards against a second attempt that is denied where most responses take the same time, and a few
 * take many times as long: the slow ones tell what the first one takes still.
 */
static void slow_responses_tell_what_is_left(void **state)
{
	ap_hedge_t *h = ap_hedge_new(0.1);
	ap_hedge_question_t q = usual();

	(void)state;
	for (int i = 0; i < 200; i++) {
		ap_hedge_request(h, plain.pool, START);
		ap_hedge_response(h, &plain, (i % 50 ? 40 : 400) * AP_MSEC, START);
	}
	q.elapsed = ap_hedge_delay(h, &plain, START);
	assert_true(q.elapsed < 50 * AP_MSEC);
	q.wait = 100 * AP_MSEC;
	assert_int_equal(ap_hedge_judge(h, &q, START), AP_HEDGE_SEND);
	q.wait = 500 * AP_MSEC;
	assert_int_equal(ap_hedge_judge(h, &q, START), AP_HEDGE_NOT_SOONER);
	ap_hedge_free(h);
}

/* Guards against more second attempts than the share, at any time and in any pool. */
static void the_share_bounds_second_attempts(void **state)
{
	ap_hedge_question_t q = usual();
	ap_hedge_t *h = learned(0.1);
	int sent = 0;

	(void)state;
	while (ap_hedge_judge(h, &q, START) == AP_HEDGE_SEND) {
		ap_hedge_sent(h, plain.pool, START);
		sent++;
	}
	assert_int_equal(sent, 10);
	assert_int_equal(ap_hedge_judge(h, &q, START), AP_HEDGE_SHARE);
	/* Requests long ago earn none. */
	assert_int_equal(ap_hedge_judge(h, &q, START + 11 * AP_SEC), AP_HEDGE_SHARE);
	ap_hedge_set_share(h, 0);
	assert_int_equal(ap_hedge_delay(h, &plain, START), AP_NEVER);
	ap_hedge_set_share(h, 1);
	for (int i = 0; i < 10; i++)
		ap_hedge_request(h, plain.pool, START + 20 * AP_SEC);
	learn(h, &plain, 100, AP_MSEC, START + 20 * AP_SEC);
	for (sent = 0; ap_hedge_judge(h, &q, START + 20 * AP_SEC) == AP_HEDGE_SEND; sent++)
		ap_hedge_sent(h, plain.pool, START + 20 * AP_SEC);
	assert_int_equal(sent, 2); /* a fifth at most */
	ap_hedge_free(h);
}

/* How upstreams respond. @slow: how many of them take ten times as long, from @from requests on */
typedef struct scene {
	const char *name;
	int slow;
	int from;
	double share;
	bool full; /* no upstream has a free slot */
} scene_t;

typedef struct result {
	double p50;
	double p99;
	double sent; /* as a share of requests */
	int worse;   /* requests that took longer than without second attempts */
} result_t;

static ap_usec_t draw(ap_rng_t *rng, const scene_t *s, int upstream, int request)
{
	double spread = ap_rng_unit(rng) + ap_rng_unit(rng) + ap_rng_unit(rng) - 1.5;
	bool slow = upstream < s->slow && request >= s->from;

	return (ap_usec_t)((double)USUAL * exp(0.5 * spread) * (slow ? 10 : 1));
}

static int compare(const void *a, const void *b)
{
	ap_usec_t x = *(const ap_usec_t *)a;
	ap_usec_t y = *(const ap_usec_t *)b;

	return x < y ? -1 : x > y;
}

/* The second attempt of a request whose first one takes @first. Return: the time with it. */
static ap_usec_t with_second(ap_hedge_t *h, ap_rng_t *rng, const scene_t *s, int request,
			     ap_usec_t first, ap_usec_t now, int *sent)
{
	ap_usec_t delay = ap_hedge_delay(h, &plain, now);
	ap_hedge_question_t q = usual();
	ap_usec_t second;

	q.elapsed = delay;
	q.free_slot = !s->full;
	if (first <= delay || ap_hedge_judge(h, &q, now) != AP_HEDGE_SEND) {
		ap_hedge_response(h, &plain, first, now);
		return first;
	}
	ap_hedge_sent(h, plain.pool, now);
	(*sent)++;
	second = draw(rng, s, (int)ap_rng_below(rng, UPSTREAMS), request);
	if (delay + second >= first) {
		ap_hedge_response(h, &plain, first, now);
		return first;
	}
	ap_hedge_response(h, &plain, second, now);
	ap_hedge_unfinished(h, &plain, delay + second, now);
	return delay + second;
}

static result_t play(const scene_t *s, bool on)
{
	ap_usec_t *took = calloc(REQUESTS, sizeof(*took));
	ap_hedge_t *h = ap_hedge_new(s->share);
	result_t r = {0};
	ap_rng_t firsts;
	ap_rng_t seconds;
	int sent = 0;

	assert_non_null(took);
	ap_rng_seed(&firsts, 7);
	ap_rng_seed(&seconds, 8);
	for (int i = 0; i < REQUESTS; i++) {
		int upstream = (int)ap_rng_below(&firsts, UPSTREAMS);
		ap_usec_t first = draw(&firsts, s, upstream, i);
		ap_usec_t now = START + i * EVERY;

		ap_hedge_request(h, plain.pool, now);
		took[i] = on ? with_second(h, &seconds, s, i, first, now, &sent) : first;
		r.worse += took[i] > first;
	}
	qsort(took, REQUESTS, sizeof(*took), compare);
	r.p50 = (double)took[REQUESTS_HALF] / (double)AP_MSEC;
	r.p99 = (double)took[REQUESTS_99] / (double)AP_MSEC;
	r.sent = (double)sent / REQUESTS;
	ap_hedge_free(h);
	free(took);
	return r;
}

/* Returns the result with second attempts, and prints both. */
static result_t compare_both(const scene_t *s, result_t *off)
{
	result_t on = play(s, true);

	*off = play(s, false);
	print_message("%s: slowest hundredth from %.0f ms without to %.0f ms with second attempts, "
		      "median %.0f and %.0f ms, %.2f %% sent twice\n",
		      s->name, off->p99, on.p99, off->p50, on.p50, 100 * on.sent);
	assert_int_equal(on.worse, 0);
	assert_true(on.sent <= s->share);
	return on;
}

static void a_slow_upstream_among_fast_ones_is_passed_by(void **state)
{
	const scene_t s = {.name = "one of 20 ten times slower", .slow = 1, .share = 0.1};
	result_t off;
	result_t on = compare_both(&s, &off);

	(void)state;
	assert_true(on.p99 < off.p99 / 2);
	assert_true(on.sent < 0.08);
}

/* Guards against second attempts that add to the load of upstreams that are slow as such. */
static void when_all_get_slow_few_are_sent_twice(void **state)
{
	const scene_t s = {.name = "all ten times slower, later",
			   .slow = UPSTREAMS,
			   .from = REQUESTS / 2,
			   .share = 0.1};
	result_t off;
	result_t on = compare_both(&s, &off);

	(void)state;
	assert_true(on.sent < 0.07);
}

static void a_used_up_share_bounds_what_is_sent(void **state)
{
	const scene_t s = {.name = "one slower, share 0.01", .slow = 1, .share = 0.01};
	result_t off;

	(void)state;
	compare_both(&s, &off);
}

static void where_capacity_is_short_none_is_sent(void **state)
{
	const scene_t s = {.name = "no free slots", .slow = 1, .share = 0.1, .full = true};
	result_t off;
	result_t on = compare_both(&s, &off);

	(void)state;
	assert_true(on.sent == 0);
	assert_true(on.p99 == off.p99);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_delay_is_what_95_in_100_take),
		cmocka_unit_test(a_delay_has_a_floor),
		cmocka_unit_test(what_was_learned_follows_the_responses_and_gets_old),
		cmocka_unit_test(an_attempt_that_lost_counts_as_slow),
		cmocka_unit_test(each_limit_holds),
		cmocka_unit_test(slow_responses_tell_what_is_left),
		cmocka_unit_test(the_share_bounds_second_attempts),
		cmocka_unit_test(a_slow_upstream_among_fast_ones_is_passed_by),
		cmocka_unit_test(when_all_get_slow_few_are_sent_twice),
		cmocka_unit_test(a_used_up_share_bounds_what_is_sent),
		cmocka_unit_test(where_capacity_is_short_none_is_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
