/* Stand-in for a model engine: OpenAI-style calls, orders with fencing tokens, metrics, faults. */
#include "batch.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define MODELS_MAX 64
#define TOKENS_DEFAULT 16
#define TOKENS_MAX 4096

typedef struct model {
	char name[AP_NAME_MAX];
	char version[AP_NAME_MAX];
} model_t;

typedef struct engine {
	const char *listen;
	const char *id;
	const char *models_text;
	long events_port;
	long cache_blocks;
	double loss;
	uint64_t seed;
	bool fenced;
	uint64_t fence;
	model_t models[MODELS_MAX];
	size_t n_models;
	unsigned inference_requests; /* refused ones included */
	unsigned orders;	     /* orders received */
	unsigned old_orders;	     /* orders with an older fencing token than the highest seen */
	server_t *server;
	batch_t batch;
} engine_t;

static model_t *find_model(engine_t *e, const char *name)
{
	for (size_t i = 0; i < e->n_models; i++) {
		if (strcmp(e->models[i].name, name) == 0)
			return &e->models[i];
	}
	return NULL;
}

static bool set_model(engine_t *e, const char *name, const char *version)
{
	model_t *m = find_model(e, name);

	if (!m && e->n_models < MODELS_MAX)
		m = &e->models[e->n_models++];
	return m && ap_copy_name(m->name, sizeof(m->name), name) &&
	       ap_copy_name(m->version, sizeof(m->version), version);
}

/* Loads the models of --models: "A,B:2" is A in version 1 and B in version 2. */
static void load_first_models(engine_t *e)
{
	char *copy = strdup(e->models_text);
	char *rest = copy;
	char *name;

	while ((name = strsep(&rest, ","))) {
		char *version = strchr(name, ':');

		if (version)
			*version++ = '\0';
		if (*name)
			set_model(e, name, version ? version : "1");
	}
	free(copy);
}

static void bad_request(exchange_t *x, int status, const char *what)
{
	exchange_reply_json(x, status, json_pack("{s:{s:s}}", "error", "message", what));
}

/* Returns the text that the gateway hashes: the value of "messages" or "prompt" as compact JSON. */
static char *prompt_of(json_t *body)
{
	json_t *prompt = json_object_get(body, "messages");

	if (!prompt)
		prompt = json_object_get(body, "prompt");
	return prompt ? json_dumps(prompt, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
}

static void hash_prompt(job_t *job, const char *text)
{
	size_t len = strlen(text);

	job->seed = ap_hash(text, len, 0);
	job->prompt_tokens = (unsigned)(len / TOKEN_BYTES + 1);
	job->n_blocks = ap_prefix_blocks(text, len, job->blocks);
}

static json_int_t int_at(json_t *body, const char *key, json_int_t otherwise)
{
	json_t *value = json_object_get(body, key);

	return json_is_integer(value) ? json_integer_value(value) : otherwise;
}

static const char no_model[] = "no such model";

/* Fills @job from the body. Return: NULL, or what is wrong with the body. */
static const char *read_job(engine_t *e, json_t *body, job_t *job)
{
	const char *model = json_string_value(json_object_get(body, "model"));
	json_int_t end = int_at(body, "max_tokens", TOKENS_DEFAULT);
	json_int_t begin = int_at(json_object_get(body, "resume"), "tokens", 0);
	char *prompt;

	if (!model || !find_model(e, model))
		return no_model;
	if (end < 1 || end > TOKENS_MAX || begin < 0 || begin >= end)
		return "max_tokens or resume.tokens out of range";
	prompt = prompt_of(body);
	if (!prompt)
		return "no prompt";
	ap_copy_name(job->model, sizeof(job->model), model);
	ap_copy_name(job->version, sizeof(job->version), find_model(e, model)->version);
	job->stream = json_is_true(json_object_get(body, "stream"));
	job->priority = (int)int_at(body, "priority", 0);
	job->next = (unsigned)begin;
	job->end = (unsigned)end;
	hash_prompt(job, prompt);
	free(prompt);
	return NULL;
}

static void infer(engine_t *e, exchange_t *x, bool chat)
{
	fault_t fault = server_next_fault(e->server);
	size_t len;
	const char *text = exchange_body(x, &len);
	json_t *body;
	job_t *job;
	const char *wrong;

	e->inference_requests++;
	if (fault == FAULT_REFUSE || fault == FAULT_DRAIN) {
		exchange_refuse(x);
		return;
	}
	body = json_loadb(text, len, 0, NULL);
	job = calloc(1, sizeof(*job));
	if (!job)
		abort();
	*job = (job_t){.x = x, .chat = chat, .fault = fault};
	wrong = body ? read_job(e, body, job) : "not JSON";
	json_decref(body);
	if (wrong) {
		free(job);
		bad_request(x, wrong == no_model ? 404 : 400, wrong);
		return;
	}
	exchange_add_header(x, "X-Served-By", e->id);
	batch_add(&e->batch, job);
}

static void list_models(engine_t *e, exchange_t *x)
{
	json_t *list = json_array();

	for (size_t i = 0; i < e->n_models; i++)
		json_array_append_new(list, json_pack("{s:s, s:s}", "name", e->models[i].name,
						      "version", e->models[i].version));
	exchange_reply_json(x, 200,
			    json_pack("{s:o, s:I}", "models", list, "fence", (json_int_t)e->fence));
}

static void unload(engine_t *e, const char *name)
{
	model_t *m = find_model(e, name);

	if (m)
		*m = e->models[--e->n_models];
}

static void order(engine_t *e, exchange_t *x, const char *name)
{
	const char *version = exchange_query(x, "version");
	const char *fence_text = exchange_query(x, "fence");
	uint64_t fence = fence_text ? strtoull(fence_text, NULL, 10) : 0;
	bool done = true;

	e->orders++;
	if (fence < e->fence)
		e->old_orders++;
	if (e->fenced && fence < e->fence) {
		exchange_reply_json(x, 409, json_pack("{s:I}", "fence", (json_int_t)e->fence));
		return;
	}
	if (fence > e->fence)
		e->fence = fence;
	if (exchange_is(x, EVHTTP_REQ_DELETE, exchange_path(x)))
		unload(e, name);
	else
		done = set_model(e, name, version ? version : "1");
	if (done)
		list_models(e, x);
	else
		bad_request(x, 400, "too many models, or a name too long");
}

static void counts(engine_t *e, exchange_t *x)
{
	exchange_reply_json(x, 200,
			    json_pack("{s:i, s:i, s:i, s:I}", "asked", (int)e->inference_requests,
				      "orders", (int)e->orders, "old_orders", (int)e->old_orders,
				      "fence", (json_int_t)e->fence));
}

static void metrics(engine_t *e, exchange_t *x)
{
	char text[256];
	int len = snprintf(text, sizeof(text),
			   "engine_running %u\nengine_waiting %u\nengine_kv_used %.3f\n",
			   e->batch.running, e->batch.waiting, cache_usage(&e->batch.cache));

	exchange_reply(x, 200, "text/plain", text, (size_t)len);
}

static void on_request(void *ctx, exchange_t *x)
{
	static const char orders[] = "/admin/models/";
	const char *path = exchange_path(x);
	engine_t *e = ctx;

	if (exchange_is(x, EVHTTP_REQ_POST, "/v1/chat/completions"))
		infer(e, x, true);
	else if (exchange_is(x, EVHTTP_REQ_POST, "/v1/completions"))
		infer(e, x, false);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/metrics"))
		metrics(e, x);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/count"))
		counts(e, x);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/admin/models"))
		list_models(e, x);
	else if (strncmp(path, orders, sizeof(orders) - 1) == 0)
		order(e, x, path + sizeof(orders) - 1);
	else if (exchange_is(x, EVHTTP_REQ_PUT, "/fault"))
		server_set_fault(e->server, x);
	else
		exchange_reply_json(x, 404, json_pack("{s:s}", "error", "no such path"));
}

/* Keys of options without a short form. */
enum option_key {
	OPTION_SLOTS = 256,
	OPTION_PREFILL,
	OPTION_DECODE,
	OPTION_FENCED,
	OPTION_EVENTS,
	OPTION_SEED,
	OPTION_CACHE,
	OPTION_LOSE,
};

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, "where to listen; port 0 lets the system choose", 0},
	{"id", 'i', "ID", 0, "name in responses", 0},
	{"models", 'm', "A,B:VERSION", 0, "models loaded at start", 0},
	{"slots", OPTION_SLOTS, "N", 0, "requests that run at once", 0},
	{"prefill-us", OPTION_PREFILL, "N", 0, "microseconds per prompt token", 0},
	{"decode-us", OPTION_DECODE, "N", 0, "microseconds per generated token", 0},
	{"fenced", OPTION_FENCED, "0|1", 0, "refuse orders with an old fencing token", 0},
	{"events-port", OPTION_EVENTS, "N", 0, "port on which cache events are published", 0},
	{"seed", OPTION_SEED, "N", 0, "seed that selects lost events", 0},
	{"cache-blocks", OPTION_CACHE, "N", 0, "capacity of the prefix cache in blocks", 0},
	{"lose-events", OPTION_LOSE, "P", 0, "share of cache events that are lost", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	engine_t *e = state->input;

	switch (key) {
	case 'l':
		e->listen = arg;
		return 0;
	case 'i':
		e->id = arg;
		return 0;
	case 'm':
		e->models_text = arg;
		return 0;
	case OPTION_SLOTS:
		e->batch.slots = (unsigned)atoi(arg);
		return 0;
	case OPTION_PREFILL:
		e->batch.prefill_us = strtod(arg, NULL);
		return 0;
	case OPTION_DECODE:
		e->batch.decode_us = strtod(arg, NULL);
		return 0;
	case OPTION_FENCED:
		e->fenced = atoi(arg) != 0;
		return 0;
	case OPTION_EVENTS:
		e->events_port = atol(arg);
		return 0;
	case OPTION_SEED:
		e->seed = strtoull(arg, NULL, 10);
		return 0;
	case OPTION_CACHE:
		e->cache_blocks = atol(arg);
		return 0;
	case OPTION_LOSE:
		e->loss = strtod(arg, NULL);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool open_cache(engine_t *e)
{
	const char *colon = strrchr(e->listen, ':');
	char endpoint[96];

	if (e->events_port == 0 || !colon)
		return cache_init(&e->batch.cache, (size_t)e->cache_blocks, NULL, 0, e->seed);
	snprintf(endpoint, sizeof(endpoint), "tcp://%.*s:%ld", (int)(colon - e->listen), e->listen,
		 e->events_port);
	return cache_init(&e->batch.cache, (size_t)e->cache_blocks, endpoint, e->loss, e->seed);
}

int main(int argc, char **argv)
{
	static const struct argp parser = {options, parse_option, NULL, "Model engine",
					   NULL,    NULL,	  NULL};
	engine_t e = {.listen = "127.0.0.1:0",
		      .id = "engine",
		      .models_text = "",
		      .cache_blocks = 4096,
		      .seed = 1,
		      .fenced = true,
		      .batch = {.slots = 8, .prefill_us = 50, .decode_us = 2000}};

	argp_parse(&parser, argc, argv, 0, NULL, &e);
	TAILQ_INIT(&e.batch.jobs);
	e.batch.base = loop_new();
	load_first_models(&e);
	if (!open_cache(&e)) {
		fprintf(stderr, "can't publish events on port %ld\n", e.events_port);
		return EXIT_FAILURE;
	}
	e.server = server_new(e.batch.base, e.listen, on_request, &e);
	loop_run(e.batch.base);
	server_free(e.server);
	cache_clear(&e.batch.cache);
	event_base_free(e.batch.base);
	return 0;
}
