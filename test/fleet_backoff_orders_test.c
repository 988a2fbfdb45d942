/* Upstreams that ask for a pause: answers, sends and changes of records in any order. */
#include "fleet_net.h"

#define UPSTREAMS 3
#define ORDERS 100000
#define OPEN_MAX 8

typedef struct orders {
	ap_fleet_t *f;
	ap_rng_t rng;
	ap_usec_t now;
	ap_usec_t until[UPSTREAMS]; /* end of the longest pause that was asked for */
	ap_inflight_t open[OPEN_MAX];
	int at[OPEN_MAX]; /* upstream of each */
	size_t n_open;
	unsigned sent;
	unsigned pauses;
} orders_t;

static ap_usec_t odd_wait(ap_rng_t *rng)
{
	static const ap_usec_t odd[] = {0, 1, -AP_SEC, AP_MSEC, 700 * AP_MSEC, AP_SEC, 5 * AP_SEC};

	return odd[ap_rng_below(rng, sizeof(odd) / sizeof(odd[0]))];
}

static void answer(orders_t *o)
{
	size_t i = ap_rng_below(&o->rng, o->n_open);
	int upstream = o->at[i];
	ap_dispatch_result_t end =
		(ap_dispatch_result_t)ap_rng_below(&o->rng, AP_DISPATCH_CANCELLED + 1);
	char id[AP_NAME_MAX];

	snprintf(id, sizeof(id), "d%d", upstream);
	if (end == AP_DISPATCH_REFUSED) {
		ap_usec_t wait = odd_wait(&o->rng);

		ap_fleet_backoff_seen(o->f, id, wait, o->now);
		if (o->now + wait > o->until[upstream])
			o->until[upstream] = o->now + wait;
		o->pauses += wait > 0;
	}
	if (end == AP_DISPATCH_DONE)
		ap_fleet_first_chunk(o->f, &o->open[i], o->now);
	/* Would take the upstream away for the rest of the run. */
	if (end == AP_DISPATCH_ADDRESS_REUSED)
		end = AP_DISPATCH_CANCELLED;
	ap_fleet_done(o->f, &o->open[i], end, o->now);
	if (end == AP_DISPATCH_UNREACHABLE)
		ap_fleet_path_seen(o->f, id, o->now);
	o->n_open--;
	o->open[i] = o->open[o->n_open];
	o->at[i] = o->at[o->n_open];
}

static void send(orders_t *o)
{
	ap_dispatch_t req = world_request(&world_call, &world_desk, o->now);
	ap_target_t target;
	ap_fleet_status_t status;

	req.begun = true;
	status = ap_fleet_choose(o->f, &req, o->now, &target);
	if (status == AP_FLEET_BACKOFF)
		assert_true(target.wait > 0);
	if (status != AP_FLEET_OK || o->n_open == OPEN_MAX)
		return;
	o->at[o->n_open] = target.id[1] - '0';
	if (o->now < o->until[o->at[o->n_open]])
		fail_msg("sent to %s with %lld us of its pause left", target.id,
			 (long long)(o->until[o->at[o->n_open]] - o->now));
	ap_fleet_sent(o->f, &req, &target, o->now, &o->open[o->n_open++]);
	o->sent++;
}

static void change(orders_t *o)
{
	char id[AP_NAME_MAX];

	snprintf(id, sizeof(id), "d%d", (int)ap_rng_below(&o->rng, UPSTREAMS));
	switch (ap_rng_below(&o->rng, 4)) {
	case 0:
		ap_fleet_remove_replica(o->f, id, ap_rng_below(&o->rng, 2), o->now);
		break;
	case 1:
		ap_fleet_after_freeze(o->f, o->now);
		break;
	default:
		break;
	}
	world_replica(o->f, id, "desk", "north", o->now);
}

/* Answers, sends and changes of records in any order. */
static void no_request_in_a_pause_in_any_order(void **state)
{
	orders_t o = {.f = world_north(), .now = WORLD_START + AP_SEC};
	ap_replica_entry_t entry;

	(void)state;
	ap_rng_seed(&o.rng, 44);
	for (int i = 0; i < UPSTREAMS; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "d%d", i);
		world_replica(o.f, id, "desk", "north", o.now);
	}
	for (int i = 0; i < ORDERS; i++) {
		o.now += (ap_usec_t)ap_rng_below(&o.rng, 100 * AP_MSEC);
		if (ap_rng_below(&o.rng, 10) == 0)
			ap_fleet_tick(o.f, o.now);
		if (ap_rng_below(&o.rng, 50) == 0)
			change(&o);
		else if (o.n_open > 0 && ap_rng_below(&o.rng, 2))
			answer(&o);
		else
			send(&o);
		while (ap_fleet_next_health_check(o.f, o.now, &entry))
			assert_true(o.now >= o.until[entry.id[1] - '0']);
	}
	print_message("%u sent, %u pauses\n", o.sent, o.pauses);
	assert_true(o.sent > ORDERS / 20 && o.pauses > ORDERS / 500);
	ap_fleet_free(o.f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_request_in_a_pause_in_any_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
