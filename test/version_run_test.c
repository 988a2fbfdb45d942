/*
 * Streams on engines of several software versions. A stream goes on only at the version that began
 * it: within one response, when its engine crashes, and when the caller takes it up at another
 * instance, of any region. Options: --seed N, --verbose 1.
 */
#include "exchange/exchange.h"
#include "fleet_net.h"

#define ENGINES 8 /* per region */
#define NORTH 4	  /* instances */
#define SOUTH 3
#define STEP (20 * AP_MSEC)
#define RUN_TIME (30 * AP_SEC)
#define SEEDS 12
#define MIXED_ALLOWED 2 /* streams with events of two versions */
#define TAKEN_UP_MIN 12 /* from this number on, half of the streams have to go on */
#define VERSIONS 3

static unsigned long one_seed;
static bool verbose;

typedef struct engine {
	char id[AP_NAME_MAX];
	const char *region;
	int version;
	unsigned life;
} engine_t;

typedef struct version_world {
	net_t net;
	ap_rng_t rng;
	ap_usec_t now;
	engine_t engines[2 * ENGINES];
	int latest; /* version of engines that start */
	uint64_t n_streams;
	unsigned mixed;
	unsigned broken; /* streams whose engine crashed */
	unsigned resumed;
	unsigned left; /* streams whose instance was killed */
	unsigned taken_up;
} version_world_t;

/* One stream, over one or two requests. */
typedef struct stream {
	version_world_t *w;
	ap_exchange_t x;
	size_t instance;
	int serving;	/* version of the engine that serves it; -1 for none */
	uint64_t build; /* of that engine, as a remote instance says */
	int began;	/* version of the engine that sent the first event; -1 before */
	int events;
	bool mixed;
	bool over;
} stream_t;

static const ap_plan_route_t resumable = {
	.name = "resumable",
	.kind = AP_KIND_STREAM,
	.resumable = true,
	.timeout = 8 * AP_SEC,
	.objective = AP_SEC,
	.attempts = 2,
};

static const engine_t *find_engine(const version_world_t *w, const char *id)
{
	for (size_t i = 0; i < 2 * ENGINES; i++) {
		if (strcmp(w->engines[i].id, id) == 0)
			return &w->engines[i];
	}
	return NULL;
}

static void list_engine(version_world_t *w, const engine_t *e)
{
	ap_replica_entry_t entry = world_entry(e->id, "engines", e->region);

	snprintf(entry.version, sizeof(entry.version), "v%d", e->version);
	for (size_t i = 0; i < w->net.n; i++)
		ap_fleet_update_replica(w->net.fleets[i], &entry, w->now);
}

static void start_engine(version_world_t *w, engine_t *e, int version)
{
	size_t number = (size_t)(e - w->engines);

	snprintf(e->id, sizeof(e->id), "e%zu.%u", number, ++e->life);
	e->region = number < ENGINES ? "north" : "south";
	e->version = version;
	list_engine(w, e);
}

static void remove_engine(version_world_t *w, const engine_t *e)
{
	for (size_t i = 0; i < w->net.n; i++)
		ap_fleet_remove_replica(w->net.fleets[i], e->id, false, w->now);
}

static ap_fleet_status_t op_choose(void *ctx, const ap_dispatch_t *req, ap_target_t *target)
{
	stream_t *s = ctx;

	return ap_fleet_choose(s->w->net.fleets[s->instance], req, s->w->now, target);
}

static bool op_may_retry(void *ctx)
{
	(void)ctx;
	return true;
}

/* A request to a remote instance is served by the engine that it chooses. */
static const engine_t *serving_engine(stream_t *s, const ap_target_t *target)
{
	ap_dispatch_t req = s->x.req;
	ap_target_t there;

	s->build = target->build;
	if (!target->remote)
		return find_engine(s->w, target->id);
	req.local_only = true;
	if (ap_fleet_choose(s->w->net.fleets[atoi(target->id + 1)], &req, s->w->now, &there) !=
	    AP_FLEET_OK)
		return NULL;
	s->build = there.build;
	return find_engine(s->w, there.id);
}

static bool op_send(void *ctx, unsigned slot, const ap_target_t *target, const char *last_event_id)
{
	stream_t *s = ctx;
	const engine_t *e = serving_engine(s, target);

	(void)slot;
	(void)last_event_id;
	s->serving = e ? e->version : -1;
	return e != NULL;
}

static void op_sent(void *ctx, const ap_target_t *target, ap_inflight_t *inflight)
{
	stream_t *s = ctx;

	ap_fleet_sent(s->w->net.fleets[s->instance], &s->x.req, target, s->w->now, inflight);
}

static void op_first_chunk(void *ctx, ap_inflight_t *inflight)
{
	stream_t *s = ctx;

	ap_fleet_first_chunk(s->w->net.fleets[s->instance], inflight, s->w->now);
}

static void op_done(void *ctx, ap_inflight_t *inflight, ap_dispatch_result_t end)
{
	stream_t *s = ctx;

	ap_fleet_done(s->w->net.fleets[s->instance], inflight, end, s->w->now);
}

static void op_drop_connection(void *ctx, unsigned slot)
{
	(void)ctx;
	(void)slot;
}

static void op_head(void *ctx, unsigned slot)
{
	stream_t *s = ctx;
	char id[24];

	(void)slot;
	snprintf(id, sizeof(id), "%llu", (unsigned long long)s->w->n_streams);
	ap_fleet_stream_served(s->w->net.fleets[s->instance], id,
			       &(ap_stream_source_t){.build = s->x.req.build}, s->w->now);
}

static void op_data(void *ctx, const void *data, size_t len)
{
	stream_t *s = ctx;

	(void)data;
	(void)len;
	if (s->began < 0)
		s->began = s->serving;
	s->mixed = s->mixed || s->serving != s->began;
	s->events++;
}

static void op_over(void *ctx)
{
	stream_t *s = ctx;

	s->over = true;
}

static void op_reply(void *ctx, int status, ap_usec_t retry_after, ap_reason_t reason)
{
	(void)status;
	(void)retry_after;
	(void)reason;
	op_over(ctx);
}

static void op_log_step(void *ctx, ap_step_t step, const ap_target_t *target)
{
	(void)ctx;
	(void)step;
	(void)target;
}

static const ap_exchange_ops_t ops = {
	.choose = op_choose,
	.may_retry = op_may_retry,
	.send = op_send,
	.sent = op_sent,
	.first_chunk = op_first_chunk,
	.done = op_done,
	.drop_connection = op_drop_connection,
	.head = op_head,
	.data = op_data,
	.end = op_over,
	.abort_response = op_over,
	.reply = op_reply,
	.log_step = op_log_step,
};

static void event(stream_t *s)
{
	ap_response_head_t head = {.status = 200, .from_replica = true, .build = s->build};
	char text[64];

	if (s->over)
		return;
	if (!s->x.slot[s->x.current].has_head)
		ap_exchange_head(&s->x, s->x.current, &head, s->w->now);
	snprintf(text, sizeof(text), "id: %d\ndata: x\n\n", s->events + 1);
	ap_exchange_data(&s->x, s->x.current, text, strlen(text), s->w->now);
}

/* As the gateway does: a stream that goes on keeps the build that began it. */
static bool find_build(stream_t *s)
{
	ap_stream_source_t source = {0};
	char id[24];

	snprintf(id, sizeof(id), "%llu", (unsigned long long)s->w->n_streams);
	if (s->events == 0)
		return true;
	if (!ap_fleet_stream_source(s->w->net.fleets[s->instance], id, &resumable, 0,
				    s->x.last_event_id, s->w->now, &source))
		return false;
	s->x.req.build = source.build;
	return true;
}

static void begin(stream_t *s, size_t instance)
{
	s->instance = instance;
	s->over = false;
	s->x = (ap_exchange_t){.ops = &ops, .ctx = s};
	s->x.req = world_request(&resumable, &world_engines, s->w->now);
	if (s->events > 0)
		snprintf(s->x.last_event_id, sizeof(s->x.last_event_id), "%d", s->events);
	if (find_build(s))
		ap_exchange_start(&s->x, resumable.attempts, s->w->now);
	else
		s->over = true;
}

static void advance(version_world_t *w, ap_usec_t span)
{
	for (ap_usec_t until = w->now + span; w->now < until; w->now += STEP)
		net_announce(&w->net, w->now);
}

/* The engine crashes after one event; the instance resumes the stream elsewhere. */
static void break_stream(stream_t *s)
{
	version_world_t *w = s->w;
	int events = s->events;

	w->broken++;
	ap_exchange_end(&s->x, s->x.current, AP_CONNECTION_BROKEN, w->now);
	event(s);
	w->resumed += s->events > events;
}

/* The instance is gone; the caller asks another one, maybe of the other region. */
static void leave_instance(stream_t *s)
{
	version_world_t *w = s->w;
	int events = s->events;

	w->left++;
	ap_exchange_clear(&s->x);
	advance(w, 300 * AP_MSEC);
	begin(s, (s->instance + 1 + ap_rng_below(&w->rng, w->net.n - 1)) % w->net.n);
	event(s);
	w->taken_up += s->events > events;
}

static void play_stream(version_world_t *w)
{
	stream_t s = {.w = w, .began = -1};

	w->n_streams++;
	begin(&s, ap_rng_below(&w->rng, w->net.n));
	event(&s);

	if (s.events > 0 && ap_rng_below(&w->rng, 2) == 0) {
		break_stream(&s);
	} else if (s.events > 0) {
		advance(w, 300 * AP_MSEC);
		leave_instance(&s);
	}
	if (s.mixed && verbose)
		print_message("%.3f stream %llu went on at another version\n",
			      (double)(w->now - WORLD_START) / 1e6,
			      (unsigned long long)w->n_streams);
	w->mixed += s.mixed;
	ap_exchange_clear(&s.x);
}

/* One engine is replaced by one of the latest version, or crashes and is back as it was. */
static void disturb(version_world_t *w)
{
	engine_t *e = &w->engines[ap_rng_below(&w->rng, 2 * ENGINES)];
	bool replaced = ap_rng_below(&w->rng, 2) == 0;

	remove_engine(w, e);
	start_engine(w, e, replaced ? w->latest : e->version);
}

static void play(uint64_t seed, unsigned *mixed)
{
	version_world_t *w = calloc(1, sizeof(*w));

	assert_non_null(w);
	w->now = WORLD_START;
	ap_rng_seed(&w->rng, seed);
	net_begin(&w->net, NORTH, SOUTH);
	for (size_t i = 0; i < 2 * ENGINES; i++)
		start_engine(w, &w->engines[i], 0);
	advance(w, 2 * AP_SEC);
	while (w->now < WORLD_START + RUN_TIME) {
		w->latest = (int)((w->now - WORLD_START) * VERSIONS / RUN_TIME);
		if (ap_rng_below(&w->rng, 4) == 0)
			disturb(w);
		play_stream(w);
		advance(w, STEP);
	}
	print_message("seed %llu: %llu streams, %u with two versions; %u of %u resumed, %u of %u "
		      "taken up\n",
		      (unsigned long long)seed, (unsigned long long)w->n_streams, w->mixed,
		      w->resumed, w->broken, w->taken_up, w->left);
	*mixed = w->mixed;
	assert_true(2 * w->resumed >= w->broken);
	assert_true(w->left < TAKEN_UP_MIN || 2 * w->taken_up >= w->left);
	net_end(&w->net);
	free(w);
}

/*
 * Guards against streams that go on at any upstream of the pool: 94 and 109 in a day (incident of
 * 2026-12-04, ORDER).
 */
static void streams_go_on_at_the_version_that_began_them(void **state)
{
	unsigned failed = 0;

	(void)state;
	for (uint64_t seed = one_seed ? one_seed : 1; seed <= (one_seed ? one_seed : SEEDS);
	     seed++) {
		unsigned mixed;

		play(seed, &mixed);
		failed += mixed > MIXED_ALLOWED;
	}
	assert_int_equal(failed, 0);
}

static size_t announced_bytes;

static void count_bytes(void *ctx, const char *to, const void *data, size_t len)
{
	(void)ctx;
	(void)to;
	(void)data;
	announced_bytes = len;
}

/* Announces 200 streams, the last @others of which have another version of the weights. */
static size_t bytes_of_streams(ap_weights_t weights, int others)
{
	ap_peer_port_t port = {.send = count_bytes};
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;

	world_member(f, "n2", "north", false, now);
	for (int i = 0; i < 200; i++) {
		ap_stream_source_t source = {.build = UINT64_MAX,
					     .weights = i < 200 - others ? weights : weights + 1};
		char id[24];

		snprintf(id, sizeof(id), "%d", i);
		ap_fleet_stream_served(f, id, &source, now);
	}
	ap_fleet_announce(f, &port, now);
	ap_fleet_free(f);
	return announced_bytes;
}

/* Guards against versions of the weights that cost bytes for each stream: one version, 2 bytes. */
static void one_version_of_the_weights_costs_no_more_than_none(void **state)
{
	size_t none = bytes_of_streams(AP_WEIGHTS_ANY, 0);

	(void)state;
	assert_int_equal(bytes_of_streams(AP_WEIGHTS_ANY, 0), none);
	assert_int_equal(bytes_of_streams(1, 0), none);
	assert_int_equal(bytes_of_streams(1 + 100, 0), none);
	assert_true(bytes_of_streams(UINT32_MAX - 1, 0) <= none + 4);
	print_message("200 streams: %zu bytes, with one of another version %zu, with 100 %zu, with "
		      "199 %zu\n",
		      none, bytes_of_streams(1, 1), bytes_of_streams(1, 100),
		      bytes_of_streams(1, 199));
	assert_true(bytes_of_streams(1, 1) <= none + 6);
}

/* docs/CAPACITY.md counts with it. */
static void a_stream_is_announced_in_ten_bytes(void **state)
{
	ap_peer_port_t port = {.send = count_bytes};
	ap_fleet_t *f = world_north();
	ap_usec_t now = WORLD_START;
	size_t without;

	(void)state;
	world_member(f, "n2", "north", false, now);
	ap_fleet_announce(f, &port, now);
	without = announced_bytes;
	for (int i = 0; i < 200; i++) {
		char id[24];

		snprintf(id, sizeof(id), "%d", i);
		ap_fleet_stream_served(f, id, &(ap_stream_source_t){.build = UINT64_MAX}, now);
	}
	ap_fleet_announce(f, &port, now + AP_SEC);
	print_message("%zu bytes without a stream, %zu with 200\n", without, announced_bytes);
	assert_true(announced_bytes > without);
	assert_true(announced_bytes - without <= 200 * 10 + 16);
	ap_fleet_free(f);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(streams_go_on_at_the_version_that_began_them),
		cmocka_unit_test(a_stream_is_announced_in_ten_bytes),
		cmocka_unit_test(one_version_of_the_weights_costs_no_more_than_none),
	};

	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--seed") == 0)
			one_seed = strtoul(argv[i + 1], NULL, 10);
		else if (strcmp(argv[i], "--verbose") == 0)
			verbose = atoi(argv[i + 1]) > 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
