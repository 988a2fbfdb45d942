/* Makes the arrivals of a row, and the configuration and view that every policy gets. */
#include "sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LONG_PREFIXES 120 /* shared prefixes of long prompts, per region */
#define SHORT_PREFIXES 60 /* shared prefixes of short prompts, per region */
#define ZIPF 0.8	  /* exponent of the prefixes' popularity */
#define LONG_SHARED 24	  /* blocks of a long prompt in its shared prefix */
#define LONG_OWN 8
#define SHORT_COMMON 2 /* blocks that all short prompts share */
#define SHORT_SHARED 3
#define SHORT_OWN 1
#define CALLERS 400 /* per region; each caller uses one entry */

const char *const region_names[REGIONS] = {"recife", "fortaleza", "salvador"};

static const double mix[AP_CLASS_COUNT] = {0.22, 0.58, 0.20};
static const uint32_t tokens_out[AP_CLASS_COUNT] = {16, 64, 200};

static const char document[] =
	"{\"service\":{"
	"\"reserve\":{\"class\":\"reservation\",\"home_bound\":true,\"models\":{\"m\":true},"
	"\"pools\":{\"gpu\":true},\"deadline_ms\":3000,\"first_byte_ms\":2000,"
	"\"price_weight\":100},"
	"\"ask\":{\"class\":\"short\",\"repeatable\":true,\"models\":{\"m\":true},"
	"\"pools\":{\"gpu\":true},\"deadline_ms\":4000,\"first_byte_ms\":4000,"
	"\"price_weight\":1500},"
	"\"plan\":{\"class\":\"long\",\"repeatable\":true,\"models\":{\"m\":true},"
	"\"pools\":{\"gpu\":true},\"deadline_ms\":15000,\"first_byte_ms\":12000,"
	"\"price_weight\":4000}},"
	"\"pool\":{"
	"\"new\":{\"labels\":{\"gpu\":\"new\"},\"instances\":{\"gpu\":\"new\"},\"slots\":8,"
	"\"price_in\":100,\"price_out\":300},"
	"\"old\":{\"labels\":{\"gpu\":\"old\"},\"instances\":{\"gpu\":\"old\"},\"slots\":8,"
	"\"price_in\":60,\"price_out\":180}},"
	"\"model\":{\"m\":{\"labels\":{\"m\":\"m\"},\"version\":\"1\",\"weight_bytes\":1,"
	"\"prefill_us\":100,\"decode_us\":10000}}}";

const char *workload_service(ap_class_t cls)
{
	static const char *const names[] = {"reserve", "ask", "plan"};

	return names[cls];
}

uint32_t workload_tokens_out(ap_class_t cls)
{
	return tokens_out[cls];
}

const ap_pool_t *workload_pool(const ap_conf_t *conf, int engine)
{
	const char *name = engine % 2 ? "old" : "new";

	for (size_t i = 0; i < conf->n_pools; i++)
		if (strcmp(conf->pools[i].name, name) == 0)
			return &conf->pools[i];
	return NULL;
}

ap_conf_t *workload_conf(void)
{
	json_t *json = json_loads(document, 0, NULL);
	ap_conf_t *conf = NULL;
	ap_err_t err = {.text = ""};

	if (ap_conf_parse(json, 1, &conf, &err) != AP_CONF_OK) {
		fprintf(stderr, "policy benchmark: invalid configuration: %s\n", err.text);
		exit(1);
	}
	json_decref(json);
	return conf;
}

bool fault_hits(const fault_t *fault, int region, int number)
{
	if (region != fault->region)
		return false;
	return fault->stride == 0 ? number == 0 : number % fault->stride != 0;
}

ap_view_t *workload_view(const ap_conf_t *conf, const row_t *row, bool lost)
{
	static char model[] = "m";
	static char key[] = "gpu";
	static char new_kind[] = "new";
	static char old_kind[] = "old";
	static char *models[] = {model};
	ap_upstream_t *ups = calloc(UPSTREAMS, sizeof(*ups));
	ap_entry_t *entries = calloc((size_t)row->entries * REGIONS, sizeof(*entries));
	ap_label_t labels[2] = {{.key = key, .value = new_kind}, {.key = key, .value = old_kind}};
	ap_view_t *view;
	size_t n = 0;

	for (int i = 0; i < UPSTREAMS; i++) {
		int region = i / PER_REGION;

		if (lost && fault_hits(&row->fault, region, i % PER_REGION))
			continue;
		snprintf(ups[n].id, AP_NAME_MAX, "u%d", i);
		ap_copy_name(ups[n].region, AP_NAME_MAX, region_names[region]);
		ap_copy_name(ups[n].data_centre, AP_NAME_MAX, region_names[region]);
		ups[n].labels = (ap_labels_t){.v = &labels[i % 2], .n = 1};
		ups[n].models = models;
		ups[n].n_models = 1;
		n++;
	}
	for (int i = 0; i < row->entries * REGIONS; i++) {
		snprintf(entries[i].id, AP_NAME_MAX, "e%d", i);
		ap_copy_name(entries[i].region, AP_NAME_MAX, region_names[i / row->entries]);
		entries[i].weight = 1;
	}
	view = ap_view_new(1, conf, ups, n, entries, (size_t)row->entries * REGIONS);
	free(ups);
	free(entries);
	return view;
}

/* Draws a rank from 0 by the cumulative weights @sums; low ranks are the most frequent. */
static size_t zipf(ap_rng_t *rng, const double *sums, size_t n)
{
	double draw = ap_rng_unit(rng) * sums[n - 1];
	size_t low = 0;
	size_t high = n - 1;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (sums[mid] < draw)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static void fill_sums(double *sums, size_t n)
{
	double sum = 0;

	for (size_t i = 0; i < n; i++) {
		sum += pow((double)(i + 1), -ZIPF);
		sums[i] = sum;
	}
}

static void add_blocks(arrival_t *a, uint64_t kind, uint64_t number, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		uint64_t parts[3] = {kind, number, i};

		a->blocks[a->n_blocks++] = ap_hash(parts, sizeof(parts), 1);
	}
}

typedef struct arrival_generator {
	const row_t *row;
	ap_rng_t rng;
	double long_prefixes[LONG_PREFIXES];
	double short_prefixes[SHORT_PREFIXES];
	int callers[REGIONS][CALLERS];
	uint64_t serial;
} arrival_generator_t;

static void make_prompt(arrival_generator_t *g, arrival_t *a)
{
	uint64_t own = ++g->serial;
	uint64_t base = (uint64_t)a->region << 32;

	switch (a->cls) {
	case AP_CLASS_LONG:
		add_blocks(a, 1, base + zipf(&g->rng, g->long_prefixes, LONG_PREFIXES),
			   LONG_SHARED);
		add_blocks(a, 2, own, LONG_OWN);
		break;
	case AP_CLASS_SHORT:
		add_blocks(a, 3, 0, SHORT_COMMON);
		add_blocks(a, 4, base + zipf(&g->rng, g->short_prefixes, SHORT_PREFIXES),
			   SHORT_SHARED);
		add_blocks(a, 5, own, SHORT_OWN);
		break;
	default:
		add_blocks(a, 6, 0, 1);
		break;
	}
	a->tokens_in = (uint32_t)a->n_blocks * BLOCK_TOKENS + 32;
	a->tokens_out = 1 + (uint32_t)ap_rng_exp(&g->rng, tokens_out[a->cls]);
}

/* Returns the mean work of a request in microseconds of one slot, with half the blocks cached. */
static double mean_work(void)
{
	double work = 0;
	const double blocks[] = {1, 6, 32};

	for (int c = 0; c < AP_CLASS_COUNT; c++)
		work += mix[c] *
			(blocks[c] * BLOCK_TOKENS * PREFILL_US / 2 + tokens_out[c] * DECODE_US);
	return work;
}

static double rate_at(const row_t *row, int region, ap_usec_t now)
{
	double full = PER_REGION * BATCH * (double)AP_SEC / mean_work();
	double phase = 2 * M_PI * ((double)now / (double)RUN_TIME + (double)region / REGIONS);

	return full * row->load[region] * (1 + row->swing * sin(phase));
}

static ap_class_t draw_class(arrival_generator_t *g, double burst)
{
	double weights[AP_CLASS_COUNT] = {mix[0], mix[1], mix[2] * burst};
	double draw = ap_rng_unit(&g->rng) * (weights[0] + weights[1] + weights[2]);

	if (draw < weights[0])
		return AP_CLASS_RESERVATION;
	return draw < weights[0] + weights[1] ? AP_CLASS_SHORT : AP_CLASS_LONG;
}

static bool in_burst(ap_usec_t now)
{
	return now > RUN_TIME * 2 / 5 && now < RUN_TIME * 3 / 5;
}

static int by_time(const void *a, const void *b)
{
	ap_usec_t x = ((const arrival_t *)a)->at;
	ap_usec_t y = ((const arrival_t *)b)->at;

	return (x > y) - (x < y);
}

static void init_arrival_generator(arrival_generator_t *g, const row_t *row, uint64_t seed)
{
	g->row = row;
	ap_rng_seed(&g->rng, seed);
	fill_sums(g->long_prefixes, LONG_PREFIXES);
	fill_sums(g->short_prefixes, SHORT_PREFIXES);
	for (int r = 0; r < REGIONS; r++)
		for (int c = 0; c < CALLERS; c++)
			g->callers[r][c] = (int)ap_rng_below(&g->rng, (uint64_t)row->entries);
}

arrival_t *workload_make(const row_t *row, uint64_t seed, size_t *n)
{
	arrival_generator_t *g = calloc(1, sizeof(*g));
	arrival_t *list = NULL;
	size_t max = 0;

	*n = 0;
	init_arrival_generator(g, row, seed);
	for (int region = 0; region < REGIONS; region++) {
		ap_usec_t now = 0;

		for (;;) {
			double burst = in_burst(now) ? row->burst : 1;
			double rate = rate_at(row, region, now) * (1 + mix[2] * (burst - 1));

			now += (ap_usec_t)ap_rng_exp(&g->rng, (double)AP_SEC / rate);
			if (now >= RUN_TIME)
				break;
			if (*n == max) {
				max = max ? max * 2 : 4096;
				list = realloc(list, max * sizeof(*list));
			}
			list[*n] = (arrival_t){.at = now, .region = region};
			list[*n].entry = g->callers[region][ap_rng_below(&g->rng, CALLERS)];
			list[*n].cls = draw_class(g, burst);
			make_prompt(g, &list[*n]);
			(*n)++;
		}
	}
	free(g);
	if (list)
		qsort(list, *n, sizeof(*list), by_time);
	return list;
}
