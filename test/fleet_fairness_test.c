/*
 * Who is refused where upstreams are too busy: customers by the use of each, without allowances
 * that would refuse them before. Guards against a customer's flood that takes the places of all
 * others, and against large or small requests that find none.
 */
#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>

#define CUSTOMERS 16
#define UPSTREAMS 2
#define SLOTS 8
#define OPEN_MAX 512
#define STEP (1 * AP_MSEC)
#define WARM (5 * AP_SEC)
#define DURATION (25 * AP_SEC)
#define SERVICE (100 * AP_MSEC) /* of a usual request */

typedef struct customer {
	ap_customer_t customer;
	double rate;   /* requests per second */
	unsigned size; /* in usual requests */
	double asked;
	double served;
} customer_t;

typedef struct request {
	bool open;
	int upstream;
	ap_usec_t starts_at;
	ap_usec_t ends_at;
	ap_inflight_t inflight;
} request_t;

typedef struct world {
	ap_fleet_t *f;
	customer_t c[CUSTOMERS];
	request_t requests[OPEN_MAX];
	ap_usec_t free_at[UPSTREAMS][SLOTS];
	ap_rng_t rng;
} world_t;

static world_t *world_new(double rate)
{
	world_t *w = calloc(1, sizeof(*w));
	ap_customer_t listed[CUSTOMERS];

	w->f = world_north();
	ap_rng_seed(&w->rng, 5);
	for (int i = 0; i < UPSTREAMS; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "e%d", i);
		world_replica(w->f, id, "engines", "north", WORLD_START - 10 * AP_SEC);
	}
	for (int i = 0; i < CUSTOMERS; i++) {
		customer_t *c = &w->c[i];

		c->customer = (ap_customer_t){.unit = AP_UNIT_TOKENS};
		snprintf(c->customer.name, sizeof(c->customer.name), "c%d", i);
		c->rate = rate;
		c->size = 1;
		listed[i] = c->customer;
	}
	ap_fleet_set_customers(w->f, listed, CUSTOMERS, WORLD_START);
	return w;
}

static request_t *free_request(world_t *w)
{
	for (size_t i = 0; i < OPEN_MAX; i++) {
		if (!w->requests[i].open)
			return &w->requests[i];
	}
	fail_msg("more than %d requests are open", OPEN_MAX);
	return NULL;
}

/* An upstream serves requests in the order of their arrival. */
static void place(world_t *w, request_t *r, int upstream, unsigned size, ap_usec_t now)
{
	ap_usec_t *slot = &w->free_at[upstream][0];

	for (int i = 1; i < SLOTS; i++) {
		if (w->free_at[upstream][i] < *slot)
			slot = &w->free_at[upstream][i];
	}
	r->upstream = upstream;
	r->starts_at = (*slot > now ? *slot : now) + 10 * AP_MSEC;
	r->ends_at = r->starts_at + size * SERVICE;
	*slot = r->ends_at;
}

static void arrive(world_t *w, customer_t *c, ap_usec_t now)
{
	ap_dispatch_t req = world_request(&world_stream, &world_engines, now);
	double cost = 250.0 * c->size;
	ap_quota_verdict_t verdict;
	ap_target_t target;
	request_t *r;

	req.customer = &c->customer;
	req.tokens_in = 200 * c->size;
	req.tokens_out = 50 * c->size;
	c->asked += now >= WORLD_START + WARM;
	assert_true(ap_quota_take(ap_fleet_quota(w->f), &c->customer, cost, now, &verdict));
	if (ap_fleet_choose(w->f, &req, now, &target) != AP_FLEET_OK) {
		ap_quota_refund(ap_fleet_quota(w->f), c->customer.name, cost, now);
		return;
	}
	r = free_request(w);
	*r = (request_t){.open = true};
	ap_fleet_sent(w->f, &req, &target, now, &r->inflight);
	place(w, r, atoi(target.id + 1), c->size, now);
	c->served += now >= WORLD_START + WARM;
}

static void serve(world_t *w, ap_usec_t now)
{
	for (size_t i = 0; i < OPEN_MAX; i++) {
		request_t *r = &w->requests[i];

		if (r->open && !r->inflight.has_first_chunk && r->starts_at <= now)
			ap_fleet_first_chunk(w->f, &r->inflight, now);
		if (r->open && r->ends_at <= now) {
			ap_fleet_done(w->f, &r->inflight, AP_DISPATCH_DONE, now);
			r->open = false;
		}
	}
}

static void play(world_t *w)
{
	for (ap_usec_t now = WORLD_START; now < WORLD_START + DURATION; now += STEP) {
		serve(w, now);
		if (now % (100 * AP_MSEC) == 0)
			ap_fleet_tick(w->f, now);
		for (int i = 0; i < CUSTOMERS; i++) {
			if (ap_rng_unit(&w->rng) < w->c[i].rate * (double)STEP / (double)AP_SEC)
				arrive(w, &w->c[i], now);
		}
	}
}

/*
 * Prints and checks what was served of all, and of the customer who was served least, the first
 * @flooding ones aside: they are the ones to be refused.
 */
static void check(const char *load, const world_t *w, int flooding, double least_min)
{
	double asked = 0;
	double served = 0;
	double least = 1;

	for (int i = 0; i < CUSTOMERS; i++) {
		asked += w->c[i].asked;
		served += w->c[i].served;
		if (i >= flooding)
			least = fmin(least, w->c[i].served / w->c[i].asked);
	}
	printf("%s: served %.3f of all, %.3f of the first customer, least %.3f of another\n", load,
	       served / asked, w->c[0].served / w->c[0].asked, least);
	assert_true(served < asked);
	assert_true(least >= least_min);
	for (int i = 0; i < CUSTOMERS; i++)
		assert_true(w->c[i].served / w->c[i].asked >= 0.25 * served / asked);
}

static void world_free(world_t *w)
{
	ap_fleet_free(w->f);
	free(w);
}

/* 100 requests per second of 160 that fit, and 190 more of one customer. */
static void flood_of_one_customer(void **state)
{
	world_t *w = world_new(6.25);

	(void)state;
	w->c[0].rate += 190;
	play(w);
	check("flood of one customer", w, 1, 0.95);
	world_free(w);
}

/* The others fill the upstreams by themselves; the customer who floods isn't shut out. */
static void flood_beside_a_full_load(void **state)
{
	world_t *w = world_new(9.5);

	(void)state;
	w->c[0].rate += 190;
	play(w);
	check("flood beside a full load", w, 1, 0.6);
	world_free(w);
}

/* The flood's requests are small, and those of another customer as large as ten of them. */
static void flood_of_small_requests_beside_large_ones(void **state)
{
	world_t *w = world_new(4);

	(void)state;
	w->c[0].rate += 190;
	w->c[1].size = 10;
	w->c[1].rate = 0.8;
	play(w);
	check("flood of small requests", w, 1, 0.9);
	world_free(w);
}

/* The flood's requests are as large as ten of the others'. */
static void flood_of_large_requests_beside_small_ones(void **state)
{
	world_t *w = world_new(6.25);

	(void)state;
	w->c[0].size = 10;
	w->c[0].rate = 19;
	play(w);
	check("flood of large requests", w, 1, 0.9);
	world_free(w);
}

/* All alike ask for 1.75 times what fits: none is served far less than another. */
static void too_much_of_all(void **state)
{
	world_t *w = world_new(17.5);

	(void)state;
	play(w);
	check("too much of all alike", w, 0, 0.4);
	world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(flood_of_one_customer),
		cmocka_unit_test(flood_beside_a_full_load),
		cmocka_unit_test(flood_of_small_requests_beside_large_ones),
		cmocka_unit_test(flood_of_large_requests_beside_small_ones),
		cmocka_unit_test(too_much_of_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
