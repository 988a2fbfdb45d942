/*
 * Cost of the fleet state and of choosing upstreams at one instance, in fleets of 8 to 1,000
 * instances: three regions, ten upstreams for every seven instances, no network. Measures the
 * processor time of one decision, the bytes of one second of announcements, and how both grow. The
 * last part measures the cost of the request log.
 */
#include "fleet/fleet.h"
#include "log/log.h"

#include <fcntl.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define REGIONS 3
#define UPSTREAMS(n) ((n)*10 / 7)
#define DECISIONS 4000
#define LOOKUPS 1000	    /* of the directory */
#define ROUNDS 3	    /* the fastest round counts */
#define TARGET_US 100.0	    /* per choice: a tenth of a request's total cost, see CAPACITY.md */
#define TARGET_SLOPE 1.1    /* time and bytes grow at most in proportion to a region's instances */
#define TARGET_LOG_US 100.0 /* per log line of a request: also a tenth of its total cost */
#define START (1000 * AP_SEC)
#define RECORD_STEPS 3

static const char *const regions[REGIONS] = {"recife", "fortaleza", "salvador"};
static const size_t sizes[] = {8, 77, 300, 1000};

#define SIZES (sizeof(sizes) / sizeof(sizes[0]))

static const ap_plan_pool_t engines = {
	.name = "engines",
	.warmup = 3 * AP_SEC,
	.warmup_rate = 4,
	.slots = 16,
	.kv_tokens = 290000,
};

static const ap_plan_route_t route = {
	.name = "short",
	.kind = AP_KIND_STREAM,
	.timeout = 4 * AP_SEC,
	.objective = AP_SEC,
	.attempts = 2,
};

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void add_member(ap_fleet_t *f, size_t i)
{
	ap_member_t m = {.caller_port = 80, .peer_port = 81, .cores = i % 7 == 0 ? 0.5 : 0.12};

	snprintf(m.id, sizeof(m.id), "front-%zu", i);
	ap_copy_name(m.region, sizeof(m.region), regions[i % REGIONS]);
	ap_copy_name(m.data_centre, sizeof(m.data_centre), regions[i % REGIONS]);
	snprintf(m.host, sizeof(m.host), "10.0.%zu.%zu", i / 250, i % 250 + 1);
	ap_fleet_update_member(f, &m, START);
}

static void add_upstream(ap_fleet_t *f, size_t i, bool cold)
{
	ap_replica_entry_t e = {.port = 9000, .slots = 16, .shutdown_in = AP_NEVER};

	snprintf(e.id, sizeof(e.id), "i-%zu", i);
	ap_copy_name(e.pool, sizeof(e.pool), engines.name);
	ap_copy_name(e.host, sizeof(e.host), "10.1.0.1");
	ap_copy_name(e.data_centre, sizeof(e.data_centre), regions[i % REGIONS]);
	e.cold_left = cold ? 3600 * AP_SEC : 0;
	ap_fleet_update_replica(f, &e, START);
}

/* Returns the state of instance @self of @n. With @cold, one in ten upstreams is cold. */
static ap_fleet_t *make_fleet(size_t n, size_t self, bool cold)
{
	ap_fleet_config_t config = {
		.inc = {.hi = 1, .lo = self + 1},
		.cold_over = 1.5,
		.cold_slack = 3,
		.retry_ratio = 0.2,
		.retry_slack = 194,
		.retry_window = 10 * AP_SEC,
		.entry_grace = 2 * AP_SEC,
		.seed = 7 + self,
	};
	ap_fleet_t *f;

	snprintf(config.id, sizeof(config.id), "front-%zu", self);
	ap_copy_name(config.region, sizeof(config.region), regions[self % REGIONS]);
	ap_copy_name(config.data_centre, sizeof(config.data_centre), regions[self % REGIONS]);
	f = ap_fleet_new(&config);
	for (size_t i = 0; i < REGIONS; i++)
		ap_fleet_set_data_centre(f, regions[i], regions[i]);
	for (size_t i = 0; i < n; i++)
		add_member(f, i);
	for (size_t i = 0; i < UPSTREAMS(n); i++)
		add_upstream(f, i, cold && i % 10 == 0);
	return f;
}

static ap_dispatch_t make_dispatch(ap_rng_t *rng, ap_usec_t now)
{
	ap_dispatch_t work = {
		.route = &route,
		.pool = &engines,
		.deadline = now + route.timeout,
		.tokens_in = 13400,
		.tokens_out = 40,
		.n_parts = 2,
	};

	work.parts[0] = (ap_prompt_part_t){.id = 1 + ap_rng_below(rng, 84), .tokens = 13300};
	work.parts[1] =
		(ap_prompt_part_t){.id = 1000 + ap_rng_below(rng, UINT32_MAX), .tokens = 100};
	return work;
}

/* Returns microseconds per request for choosing an upstream and counting its start and end. */
static double time_choice(size_t n, bool cold)
{
	ap_fleet_t *f = make_fleet(n, 0, cold);
	double best = INFINITY;
	ap_usec_t now = START + 10 * AP_SEC;
	ap_rng_t rng;

	ap_rng_seed(&rng, 3);
	for (int round = 0; round < ROUNDS; round++) {
		double begin = cpu_us();

		for (int i = 0; i < DECISIONS; i++, now += AP_MSEC) {
			ap_dispatch_t work = make_dispatch(&rng, now);
			ap_inflight_t ticket = {0};
			ap_target_t target;

			if (ap_fleet_choose(f, &work, now, &target) != AP_FLEET_OK)
				continue;
			ap_fleet_sent(f, &work, &target, now, &ticket);
			ap_fleet_first_chunk(f, &ticket, now + 100 * AP_MSEC);
			ap_fleet_done(f, &ticket, AP_DISPATCH_DONE, now + 200 * AP_MSEC);
		}
		best = fmin(best, (cpu_us() - begin) / DECISIONS);
	}
	ap_fleet_free(f);
	return best;
}

static double time_budget(size_t n)
{
	ap_fleet_t *f = make_fleet(n, 0, false);
	double begin = cpu_us();
	double took;

	for (int i = 0; i < DECISIONS; i++) {
		ap_fleet_count_request(f, engines.name, START + i * AP_MSEC);
		ap_fleet_may_retry(f, engines.name, START + i * AP_MSEC);
	}
	took = (cpu_us() - begin) / DECISIONS;
	ap_fleet_free(f);
	return took;
}

static double time_directory(size_t n)
{
	ap_fleet_t *f = make_fleet(n, 0, false);
	const ap_member_t *out[256];
	double begin = cpu_us();
	double took;
	bool stopgap;

	for (int i = 0; i < LOOKUPS; i++)
		ap_fleet_directory(f, NULL, "host", regions[0], out, 256, &stopgap,
				   START + 10 * AP_SEC);
	took = (cpu_us() - begin) / LOOKUPS;
	ap_fleet_free(f);
	return took;
}

/* Messages and bytes that one instance sends in a second with requests in flight. */
typedef struct traffic {
	size_t messages;
	size_t bytes;
} traffic_t;

static void on_send(void *ctx, const char *to, const void *data, size_t len)
{
	traffic_t *traffic = ctx;

	(void)to;
	(void)data;
	traffic->messages++;
	traffic->bytes += len;
}

static traffic_t announce_for_one_second(size_t n)
{
	traffic_t traffic = {0};
	ap_fleet_t *f = make_fleet(n, 0, false);
	ap_peer_port_t peer = {.ctx = &traffic, .send = on_send};
	ap_usec_t now = START + 10 * AP_SEC;
	ap_rng_t rng;

	ap_rng_seed(&rng, 3);
	/* The request rate is the same at each size; only the number of other instances grows. */
	for (int i = 0; i < 20; i++, now += 50 * AP_MSEC) {
		ap_dispatch_t work = make_dispatch(&rng, now);
		ap_inflight_t ticket = {0};
		ap_target_t target;

		if (ap_fleet_choose(f, &work, now, &target) == AP_FLEET_OK)
			ap_fleet_sent(f, &work, &target, now, &ticket);
		ap_fleet_announce(f, &peer, now);
	}
	ap_fleet_free(f);
	return traffic;
}

/* Returns the slope between two sizes on a log-log scale; 1 is growth in proportion. */
static double slope(double a, double b, size_t from, size_t to)
{
	return log(b / a) / log((double)to / (double)from);
}

static void print_verdict(const char *what, double seen, double most, const char *unit)
{
	printf("%s: %.2f%s, target %.2f%s at most: %s\n", what, seen, unit, most, unit,
	       seen <= most ? "met" : "missed");
}

static void bench_sizes(void)
{
	double choice[SIZES];
	double directory[SIZES];
	traffic_t traffic[SIZES];

	printf("%10s %10s %12s %14s %10s %12s %10s %10s\n", "instances", "upstreams", "choice us",
	       "with cold us", "budget us", "directory us", "messages/s", "bytes/s");
	for (size_t i = 0; i < SIZES; i++) {
		size_t n = sizes[i];

		choice[i] = time_choice(n, false);
		directory[i] = time_directory(n);
		traffic[i] = announce_for_one_second(n);
		printf("%10zu %10zu %12.2f %14.2f %10.3f %12.2f %10zu %10zu\n", n, UPSTREAMS(n),
		       choice[i], time_choice(n, true), time_budget(n), directory[i],
		       traffic[i].messages, traffic[i].bytes);
	}
	print_verdict("choice at 1,000", choice[3], TARGET_US, " us");
	print_verdict("slope of choice, 77 to 1,000", slope(choice[1], choice[3], 77, 1000),
		      TARGET_SLOPE, "");
	print_verdict("slope of directory, 77 to 1,000",
		      slope(directory[1], directory[3], 77, 1000), TARGET_SLOPE, "");
	print_verdict("slope of bytes announced, 77 to 1,000",
		      slope((double)traffic[1].bytes, (double)traffic[3].bytes, 77, 1000),
		      TARGET_SLOPE, "");
}

/*
 * Returns microseconds per request for the log line of a failed request, as the gateway writes it.
 * Ordinary lines are sampled one in @sample; @rare lines are all written.
 */
static double time_log_line(unsigned sample, bool rare)
{
	ap_journal_config_t config = {
		.fd = open("/dev/null", O_WRONLY | O_CLOEXEC),
		.instance = "front-1",
		.sample = sample,
		.rate = UINT32_MAX,
		.backlog = 1 << 20,
	};
	ap_journal_t *j = ap_journal_new(&config);
	ap_record_class_t cls = rare ? AP_RECORD_RARE : AP_RECORD_ORDINARY;
	double begin = cpu_us();
	double took;

	for (int i = 0; i < DECISIONS; i++) {
		char id[32];
		json_t *steps;

		snprintf(id, sizeof(id), "request-%d", i);
		if (!ap_journal_accepts(j, cls, id))
			continue;
		steps = json_array();
		for (int k = 0; k < RECORD_STEPS; k++)
			json_array_append_new(steps,
					      json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I}", "step",
							"sent", "target", "i-1234", "at_ms", 1LL,
							"expected_ms", 2LL, "entry_age_ms", 3LL,
							"cached", 4LL, "running", 5LL));
		ap_journal_write(j, cls, "request.ended", id,
				 "s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:I,s:I,s:o", "outcome", "refused",
				 "reason", "too-late", "route", "short", "pool", "engines",
				 "status", 503, "first_ms", 0LL, "objective_ms", 1000LL, "took_ms",
				 12LL, "expected_ms", 900LL, "steps", steps);
		ap_journal_flush(j);
	}
	took = (cpu_us() - begin) / DECISIONS;
	ap_journal_free(j);
	close(config.fd);
	return took;
}

static void bench_log(void)
{
	double choice = time_choice(77, false);
	double sampled = time_log_line(16, false);
	double full = time_log_line(16, true);

	printf("log per request: %.2f us sampled, %.2f us in full; decision without log %.2f us\n",
	       sampled, full, choice);
	printf("decision with log relative to without: %.2f sampled, %.2f in full\n",
	       (choice + sampled) / choice, (choice + full) / choice);
	print_verdict("log line in full", full, TARGET_LOG_US, " us");
}

int main(void)
{
	bench_sizes();
	bench_log();
	return 0;
}
