/*
 * What allowances of customers cost: bytes per second that an instance sends for the reports, and
 * processor time of one decision, by the number of instances in three regions. All of 16 customers
 * use something at every instance. Two deployments are played, with and without customers; the
 * difference is the reports.
 */
#include "fleet/fleet.h"
#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MOST 300
#define REGIONS 3
#define CUSTOMERS 16
#define START (1000 * AP_SEC)
#define STEP (50 * AP_MSEC)
#define WARM (3 * AP_SEC)
#define DURATION (5 * AP_SEC)
#define DECISIONS 100000
#define TARGET_BYTES 200000.0 /* per second; a tenth of a link of 16 Mbit/s */
#define TARGET_US 20.0

typedef struct world {
	ap_fleet_t *f[MOST];
	int n;
	ap_customer_t c[CUSTOMERS];
	uint64_t bytes;
} world_t;

typedef struct sender {
	world_t *w;
	int instance;
	ap_usec_t now;
} sender_t;

/* A receiver of one message or of a batch of several. */
typedef struct receiver {
	ap_fleet_t *f;
	ap_usec_t now;
} receiver_t;

static void name_of(int i, char out[AP_NAME_MAX])
{
	snprintf(out, AP_NAME_MAX, "i%d", i);
}

static void receive(void *ctx, const char *origin, const void *data, size_t len)
{
	const receiver_t *r = ctx;

	if (!ap_fleet_receive(r->f, origin, data, len, r->now))
		fprintf(stderr, "a message of %s was refused\n", origin);
}

static void deliver(void *ctx, const char *to, const void *data, size_t len)
{
	const sender_t *s = ctx;
	receiver_t r = {s->w->f[atoi(to + 1)], s->now};
	char from[AP_NAME_MAX];

	name_of(s->instance, from);
	s->w->bytes += len;
	if (ap_wire_peek(data, len) == AP_WIRE_BATCH) {
		if (!ap_fleet_open_batch(r.f, from, data, len, s->now, &r, receive))
			fprintf(stderr, "a batch of %s was refused\n", from);
		return;
	}
	receive(&r, from, data, len);
	ap_fleet_pass_on(r.f, from, data, len, s->now);
}

static ap_fleet_t *new_fleet(int i, int n)
{
	ap_fleet_config_t config = {.inc = {1, (uint64_t)i + 1}, .seed = (uint64_t)i + 1};
	ap_member_t m = {.caller_port = 80, .peer_port = 81, .cores = 0.25};
	ap_fleet_t *f;

	config.quota = (ap_quota_config_t){.window = 8 * AP_SEC, .over = 0.1, .slack = 190000};
	name_of(i, config.id);
	snprintf(config.region, sizeof(config.region), "r%d", i % REGIONS);
	snprintf(config.data_centre, sizeof(config.data_centre), "r%d-1", i % REGIONS);
	f = ap_fleet_new(&config);
	if (!f)
		abort();
	for (int r = 0; r < REGIONS; r++) {
		snprintf(m.region, sizeof(m.region), "r%d", r);
		snprintf(m.data_centre, sizeof(m.data_centre), "r%d-1", r);
		ap_fleet_set_data_centre(f, m.data_centre, m.region);
	}
	ap_copy_name(m.host, sizeof(m.host), "127.0.0.1");
	for (int k = 0; k < n; k++) {
		name_of(k, m.id);
		snprintf(m.region, sizeof(m.region), "r%d", k % REGIONS);
		snprintf(m.data_centre, sizeof(m.data_centre), "r%d-1", k % REGIONS);
		ap_fleet_update_member(f, &m, START - 10 * AP_SEC);
	}
	return f;
}

static void use_all(world_t *w, int i, ap_usec_t now)
{
	ap_quota_verdict_t v;

	for (int k = 0; k < CUSTOMERS; k++)
		ap_quota_take(ap_fleet_quota(w->f[i]), &w->c[k], 23000, now, &v);
}

/* Returns the bytes per second that an instance sends. */
static double play(world_t *w, int n, bool customers)
{
	*w = (world_t){.n = n};
	for (int k = 0; k < CUSTOMERS; k++) {
		w->c[k] =
			(ap_customer_t){.unit = AP_UNIT_TOKENS, .rate = 2271048, .burst = 2271048};
		snprintf(w->c[k].name, sizeof(w->c[k].name), "customer-%d", k);
	}
	for (int i = 0; i < n; i++) {
		w->f[i] = new_fleet(i, n);
		if (customers)
			ap_fleet_set_customers(w->f[i], w->c, CUSTOMERS, START);
	}
	for (ap_usec_t now = START; now < START + WARM + DURATION; now += STEP) {
		if (now == START + WARM)
			w->bytes = 0;
		for (int i = 0; i < n; i++) {
			sender_t s = {w, i, now};
			ap_peer_port_t port = {.ctx = &s, .send = deliver};

			if (customers && (now / STEP + i) % (AP_SEC / STEP) == 0)
				use_all(w, i, now);
			ap_fleet_tick(w->f[i], now);
			ap_fleet_announce(w->f[i], &port, now);
		}
	}
	return (double)w->bytes / n / ((double)DURATION / (double)AP_SEC);
}

static void end(world_t *w)
{
	for (int i = 0; i < w->n; i++)
		ap_fleet_free(w->f[i]);
}

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static double decision_us(world_t *w)
{
	ap_usec_t now = START + WARM + DURATION;
	double begin = cpu_us();
	ap_quota_verdict_t v;

	for (int i = 0; i < DECISIONS; i++)
		ap_quota_take(ap_fleet_quota(w->f[0]), &w->c[i % CUSTOMERS], 23000, now + i, &v);
	return (cpu_us() - begin) / DECISIONS;
}

static const char *verdict(bool met)
{
	return met ? "met" : "missed";
}

int main(void)
{
	static const int sizes[] = {7, 77, 300};
	static world_t w;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		double without = play(&w, sizes[i], false);
		double with;
		double us;

		end(&w);
		with = play(&w, sizes[i], true);
		us = decision_us(&w);
		end(&w);
		printf("%d instances: %.0f bytes/s for reports (%.0f without, %.0f with), target "
		       "%.0f: "
		       "%s\n",
		       sizes[i], with - without, without, with, TARGET_BYTES,
		       verdict(with - without <= TARGET_BYTES));
		printf("%d instances: %.2f us for a decision, target %.0f: %s\n", sizes[i], us,
		       TARGET_US, verdict(us <= TARGET_US));
	}
	return 0;
}
