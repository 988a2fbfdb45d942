/*
 * Use of allowances in the announcements between instances: what one instance admits lowers what
 * others do, in its region and in another one, and messages stay as they were without customers.
 */
#include "fleet_net.h"

#define RATE 1000.0
#define STEP (250 * AP_MSEC)

static const ap_quota_config_t bound = {.window = 8 * AP_SEC};
static const ap_customer_t customer = {.name = "c", .rate = RATE, .burst = RATE};

static void advance(net_t *net, ap_usec_t *now, ap_usec_t span)
{
	for (ap_usec_t end = *now + span; *now < end;) {
		*now += STEP;
		net_announce(net, *now);
	}
}

static void set_customers(net_t *net, size_t n, ap_usec_t now)
{
	for (size_t i = 0; i < net->n; i++) {
		ap_quota_configure(ap_fleet_quota(net->fleets[i]), &bound);
		ap_fleet_set_customers(net->fleets[i], &customer, n, now);
	}
}

/* Returns the units left, as estimated by instance @i. */
static double level(net_t *net, size_t i, ap_usec_t now)
{
	ap_quota_verdict_t v;

	ap_quota_take(ap_fleet_quota(net->fleets[i]), &customer, 1, now, &v);
	return v.level;
}

static void use_at_one_instance_lowers_what_others_admit(void **state)
{
	net_t net;
	ap_usec_t now = WORLD_START;
	ap_quota_verdict_t v;

	(void)state;
	net_begin(&net, 3, 3);
	set_customers(&net, 1, now);
	advance(&net, &now, 4 * AP_SEC);
	assert_true(level(&net, 1, now) > 0.9 * RATE);
	assert_true(level(&net, 4, now) > 0.9 * RATE);
	assert_true(ap_quota_take(ap_fleet_quota(net.fleets[0]), &customer, 5000, now, &v));
	advance(&net, &now, AP_SEC);
	printf("left after 5 times the burst: %.0f, %.0f, %.0f\n", level(&net, 0, now),
	       level(&net, 1, now), level(&net, 4, now));
	for (size_t i = 0; i < net.n; i++)
		assert_true(level(&net, i, now) < -2 * RATE);
	net_end(&net);
}

/* Fails where an instance takes the whole burst before it knows how many others there are. */
static void the_burst_is_divided_until_others_are_heard(void **state)
{
	net_t net;

	(void)state;
	net_begin(&net, 3, 3);
	set_customers(&net, 1, WORLD_START);
	for (size_t i = 0; i < net.n; i++)
		assert_true(level(&net, i, WORLD_START) <= RATE / 6 + 1);
	net_end(&net);
}

/* Messages of instance 0 to all, one after the other. */
typedef struct bytes {
	char data[16384];
	size_t len;
} bytes_t;

static void keep(void *ctx, const char *to, const void *data, size_t len)
{
	bytes_t *b = ctx;

	(void)to;
	assert_true(b->len + len <= sizeof(b->data));
	memcpy(b->data + b->len, data, len);
	b->len += len;
}

static void announced(bytes_t *out, size_t before, size_t after)
{
	net_t net;
	ap_peer_port_t port = {.ctx = out, .send = keep};

	out->len = 0;
	net_begin(&net, 2, 2);
	if (before > 0)
		set_customers(&net, before, WORLD_START);
	set_customers(&net, after, WORLD_START);
	ap_fleet_announce(net.fleets[0], &port, WORLD_START + AP_SEC);
	net_end(&net);
}

/* Fails where an instance whose plan names no customers, or no more, sends the report. */
static void without_customers_messages_are_as_before(void **state)
{
	static bytes_t without;
	static bytes_t removed;
	static bytes_t with;

	(void)state;
	announced(&without, 0, 0);
	announced(&removed, 1, 0);
	announced(&with, 0, 1);
	assert_true(without.len > 0);
	assert_int_equal(without.len, removed.len);
	assert_memory_equal(without.data, removed.data, without.len);
	assert_true(with.len > without.len);
}

/* Instances of which only some know customers, or whose builds report none, read each other. */
static void messages_without_reports_are_read(void **state)
{
	net_t net;
	ap_usec_t now = WORLD_START;

	(void)state;
	net_begin(&net, 2, 2);
	ap_fleet_set_customers(net.fleets[0], &customer, 1, now);
	advance(&net, &now, 3 * AP_SEC);
	/* The three others count as silent: their parts are set aside. */
	assert_true(level(&net, 0, now) <= RATE / 4 + 1);
	for (size_t i = 0; i < net.n; i++)
		assert_int_equal(ap_fleet_stats(net.fleets[i], now).skipped.fields, 0);
	net_end(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(use_at_one_instance_lowers_what_others_admit),
		cmocka_unit_test(the_burst_is_divided_until_others_are_heard),
		cmocka_unit_test(without_customers_messages_are_as_before),
		cmocka_unit_test(messages_without_reports_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
