/* Runs one entry task in a thread, as the daemon does. */
#include "path.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static const char document[] =
	"{\"service\":{\"ask\":{\"class\":\"short\",\"repeatable\":true,\"resumable\":true,"
	"\"models\":{\"size\":\"small\"},\"pools\":{\"kind\":\"gpu\"},\"deadline_ms\":60000,"
	"\"first_byte_ms\":60000,\"between_ms\":60000}},"
	"\"pool\":{\"gpu\":{\"labels\":{\"kind\":\"gpu\"},\"instances\":{\"kind\":\"gpu\"},"
	"\"slots\":4000,\"price_in\":1000,\"price_out\":1000}},"
	"\"model\":{\"m\":{\"labels\":{\"size\":\"small\"},\"version\":\"1\",\"weight_bytes\":1,"
	"\"prefill_us\":1,\"decode_us\":1000}},"
	"\"caller\":{\"bench\":{\"home\":\"here\",\"key_hash\":\"%s\",\"rate\":100000,"
	"\"burst\":100000,\"concurrent\":100000}}}";

static void discard_note(void *ctx, const ap_note_t *note)
{
	(void)ctx;
	if (note->kind == AP_NOTE_COUNTERS)
		free(note->u.text);
}

static bool discard_message(void *ctx, const char *to, const void *data, size_t len)
{
	(void)ctx;
	(void)to;
	(void)data;
	(void)len;
	return false;
}

static ap_conf_t *read_conf(void)
{
	char hash[AP_KEY_HASH_TEXT_MAX];
	char text[sizeof(document) + sizeof(hash)];
	ap_conf_t *conf = NULL;
	ap_err_t err = {.text = ""};
	json_t *json;

	ap_key_hash(PATH_KEY, hash);
	snprintf(text, sizeof(text), document, hash);
	json = json_loads(text, 0, NULL);
	if (ap_conf_parse(json, 1, &conf, &err) != AP_CONF_OK) {
		fprintf(stderr, "path benchmark: invalid configuration: %s\n", err.text);
		exit(1);
	}
	json_decref(json);
	return conf;
}

static void set_gateway_view(path_gateway_t *g, uint16_t port)
{
	static char model[] = "m";
	static char *models[] = {model};
	static char key[] = "kind";
	static char value[] = "gpu";
	ap_label_t label = {key, value};
	ap_upstream_t up = {
		.id = "up",
		.host = "127.0.0.1",
		.port = port,
		.region = "here",
		.data_centre = "dc",
		.labels = {.v = &label, .n = 1},
		.models = models,
		.n_models = 1,
	};
	ap_entry_t self = {.id = "entry", .region = "here", .weight = 1};
	ap_note_t note = {.kind = AP_NOTE_VIEW};

	note.u.view = ap_view_new(1, g->conf, &up, 1, &self, 1);
	entry_note(g->entry, &note);
}

static void *run(void *arg)
{
	path_gateway_t *g = arg;

	event_base_loop(g->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

void path_gateway_start(path_gateway_t *g, uint16_t upstream)
{
	entry_config_t config = {
		.settings = &g->settings,
		.inc = {1, 2},
		.clock = &g->clock,
		.ctx = g,
		.note = discard_note,
		.send = discard_message,
	};
	ap_err_t err = {.text = ""};

	g->settings = (ap_settings_t){
		.id = "entry",
		.region = "here",
		.data_centre = "dc",
		.host = "127.0.0.1",
		.header_bytes = 8192,
		.body_bytes = 1 << 20,
		.request_time = 600 * AP_SEC,
		.queue = 4000,
		.retry_ratio = 0.1,
	};
	g->base = ap_http_base_new();
	g->conf = read_conf();
	config.base = g->base;
	if (entry_new(&config, &g->entry, &err) != AP_HTTP_STATUS_OK) {
		fprintf(stderr, "path benchmark: cannot start the entry task: %s\n", err.text);
		exit(1);
	}
	set_gateway_view(g, upstream);
	pthread_create(&g->thread, NULL, run, g);
}

void path_gateway_stop(path_gateway_t *g)
{
	event_base_loopbreak(g->base);
	pthread_join(g->thread, NULL);
	entry_free(g->entry);
	ap_conf_unref(g->conf);
	event_base_free(g->base);
}

ap_usec_t path_cpu(pthread_t thread)
{
	struct timespec ts;
	clockid_t clock;

	pthread_getcpuclockid(thread, &clock);
	clock_gettime(clock, &ts);
	return ts.tv_sec * AP_SEC + ts.tv_nsec / 1000;
}
