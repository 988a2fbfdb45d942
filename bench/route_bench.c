/*
 * Processor time and memory of one routing decision by the number of upstreams and entries. Bytes
 * are those that the allocator counts for the whole routing state.
 */
#include "route/route.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DECISIONS 20000
#define ROUNDS 5 /* the fastest round counts */
#define TARGET_US 20.0
#define TARGET_UPSTREAMS 250
#define BLOCKS 32
#define PREFIXES 500

static const char document[] =
	"{\"service\":{\"ask\":{\"class\":\"short\",\"models\":{\"m\":true},"
	"\"pools\":{\"gpu\":true},\"deadline_ms\":60000,\"first_byte_ms\":4000,"
	"\"price_weight\":500}},"
	"\"pool\":{\"gpu\":{\"labels\":{\"gpu\":\"a\"},\"instances\":{\"gpu\":\"a\"},\"slots\":8,"
	"\"price_in\":100,\"price_out\":300}},"
	"\"model\":{\"m\":{\"labels\":{\"m\":\"m\"},\"version\":\"1\",\"weight_bytes\":1,"
	"\"prefill_us\":100,\"decode_us\":10000}}}";

static double cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static size_t bytes_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static ap_conf_t *make_conf(void)
{
	json_t *json = json_loads(document, 0, NULL);
	ap_conf_t *conf = NULL;
	ap_err_t err = {.text = ""};

	if (ap_conf_parse(json, 1, &conf, &err) != AP_CONF_OK) {
		fprintf(stderr, "route benchmark: invalid configuration: %s\n", err.text);
		exit(1);
	}
	json_decref(json);
	return conf;
}

static ap_view_t *make_view(const ap_conf_t *conf, size_t upstreams, size_t entries)
{
	static char key[] = "gpu";
	static char value[] = "a";
	static char model[] = "m";
	static char *models[] = {model};
	ap_label_t label = {.key = key, .value = value};
	ap_upstream_t *ups = calloc(upstreams, sizeof(*ups));
	ap_entry_t *ents = calloc(entries, sizeof(*ents));
	ap_view_t *view;

	for (size_t i = 0; i < upstreams; i++) {
		snprintf(ups[i].id, AP_NAME_MAX, "engine-%zu", i);
		ap_copy_name(ups[i].region, AP_NAME_MAX, "recife");
		ups[i].labels = (ap_labels_t){.v = &label, .n = 1};
		ups[i].models = models;
		ups[i].n_models = 1;
	}
	for (size_t i = 0; i < entries; i++) {
		snprintf(ents[i].id, AP_NAME_MAX, "entry-%zu", i);
		ap_copy_name(ents[i].region, AP_NAME_MAX, "recife");
		ents[i].weight = 1;
	}
	view = ap_view_new(1, conf, ups, upstreams, ents, entries);
	free(ups);
	free(ents);
	return view;
}

static ap_request_t make_request(const ap_conf_t *conf, ap_rng_t *rng, uint64_t seq, ap_usec_t now)
{
	const ap_service_t *service = ap_conf_service(conf, "ask");
	ap_request_t req = {
		.id = {.inc = {1, 1}, .seq = seq},
		.service = service,
		.home = "recife",
		.cls = AP_CLASS_SHORT,
		.arrival = now,
		.deadline = now + service->deadline,
		.tokens_in = BLOCKS * 128,
		.tokens_out = 64,
		.n_blocks = BLOCKS,
	};
	uint64_t prefix = ap_rng_below(rng, PREFIXES) + 1;

	for (size_t i = 0; i < BLOCKS; i++)
		req.blocks[i] = ap_hash(&(uint64_t[]){prefix, i}, 2 * sizeof(uint64_t), 0);
	return req;
}

static void report_loads(ap_route_t *r, ap_rng_t *rng, size_t upstreams, ap_usec_t now)
{
	for (size_t i = 0; i < upstreams; i++) {
		ap_load_report_t load = {.at = now, .running = (uint32_t)ap_rng_below(rng, 9)};

		snprintf(load.upstream, AP_NAME_MAX, "engine-%zu", i);
		ap_route_load(r, &load, now);
	}
}

/**
 * struct cost - cost at one size.
 * @choose_ns: ap_route_choose() alone
 * @request_ns: choice, start, first token and end of one request
 * @bytes: the whole routing state without in-flight requests
 * @inflight_bytes: per in-flight request
 */
typedef struct cost {
	double choose_ns;
	double request_ns;
	size_t bytes;
	double inflight_bytes;
} cost_t;

static double time_choices(ap_route_t *r, const ap_request_t *reqs, size_t n, ap_usec_t now)
{
	double start = cpu_seconds();
	ap_choice_t choice;

	for (size_t i = 0; i < n; i++)
		ap_route_choose(r, &reqs[i], now, &choice);
	return (cpu_seconds() - start) * 1e9 / (double)n;
}

static double time_requests(ap_route_t *r, const ap_request_t *reqs, size_t n, ap_usec_t now)
{
	double start = cpu_seconds();

	for (size_t i = 0; i < n; i++) {
		ap_choice_t choice;

		if (ap_route_choose(r, &reqs[i], now, &choice) != AP_ROUTE_OK)
			continue;
		ap_route_started(r, &reqs[i], &choice, now);
		ap_route_first_token(r, &reqs[i], choice.upstream_id, choice.expected_wait, now);
		ap_route_finished(r, &reqs[i], choice.upstream_id, AP_ATTEMPT_OK, now);
	}
	return (cpu_seconds() - start) * 1e9 / (double)n;
}

/* Returns the bytes per in-flight request. */
static double measure_inflight(ap_route_t *r, const ap_request_t *reqs, size_t n, ap_usec_t now)
{
	size_t before = bytes_in_use();
	size_t held = 0;

	for (size_t i = 0; i < n; i++) {
		ap_choice_t choice;

		if (ap_route_choose(r, &reqs[i], now, &choice) != AP_ROUTE_OK)
			continue;
		ap_route_started(r, &reqs[i], &choice, now);
		held++;
	}
	return held > 0 ? (double)(bytes_in_use() - before) / (double)held : 0;
}

static cost_t measure(const ap_conf_t *conf, size_t upstreams, size_t entries)
{
	ap_route_config_t config = {.region = "recife", .seed = 5};
	ap_request_t *reqs = calloc(DECISIONS, sizeof(*reqs));
	ap_view_t *view = make_view(conf, upstreams, entries);
	cost_t cost = {.choose_ns = 1e12, .request_ns = 1e12};
	ap_usec_t now = 1000 * AP_SEC;
	size_t before;
	ap_route_t *r;
	ap_rng_t rng;

	ap_rng_seed(&rng, 11);
	for (size_t i = 0; i < DECISIONS; i++)
		reqs[i] = make_request(conf, &rng, i + 1, now);
	before = bytes_in_use();
	r = ap_route_new(&config);
	ap_route_set_view(r, view, now);
	report_loads(r, &rng, upstreams, now);
	for (int i = 0; i < ROUNDS; i++) {
		double whole = time_requests(r, reqs, DECISIONS, now);
		double choose = time_choices(r, reqs, DECISIONS, now);

		cost.request_ns = whole < cost.request_ns ? whole : cost.request_ns;
		cost.choose_ns = choose < cost.choose_ns ? choose : cost.choose_ns;
	}
	cost.bytes = bytes_in_use() - before;
	cost.inflight_bytes = measure_inflight(r, reqs, DECISIONS, now);
	ap_route_free(r);
	ap_view_unref(view);
	free(reqs);
	return cost;
}

static void print_cost(size_t upstreams, size_t entries, const cost_t *cost)
{
	printf("%9zu %8zu %10.0f %10.0f %12zu %9.0f", upstreams, entries, cost->choose_ns,
	       cost->request_ns, cost->bytes, cost->inflight_bytes);
	if (upstreams == TARGET_UPSTREAMS)
		printf("   target choose < %.0f us  %s", TARGET_US,
		       cost->choose_ns < TARGET_US * 1000 ? "met" : "MISSED");
	printf("\n");
}

int main(void)
{
	static const size_t upstreams[] = {7, 86, 250, 600};
	static const size_t entries[] = {8, 60, 420};
	ap_conf_t *conf = make_conf();
	cost_t costs[4][3];

	printf("%9s %8s %10s %10s %12s %9s\n", "upstreams", "entries", "choose ns", "request ns",
	       "state bytes", "in flight");
	for (size_t u = 0; u < 4; u++)
		for (size_t e = 0; e < 3; e++) {
			costs[u][e] = measure(conf, upstreams[u], entries[e]);
			print_cost(upstreams[u], entries[e], &costs[u][e]);
		}
	printf("slope from 86 to 600 upstreams: %.1f ns and %.0f bytes per upstream\n",
	       (costs[3][1].choose_ns - costs[1][1].choose_ns) / 514,
	       ((double)costs[3][1].bytes - (double)costs[1][1].bytes) / 514);
	printf("slope from 8 to 420 entries at 250 upstreams: %.2f ns per entry\n",
	       (costs[2][2].choose_ns - costs[2][0].choose_ns) / 412);
	ap_conf_unref(conf);
	return 0;
}
