/*
 * Example of a program that embeds the installed library: parses a configuration, routes a request,
 * uses a permit once, and removes an upstream and an instance. The library reads no clock and opens
 * no socket, so the program passes in a simulated time and delivers the messages from a queue.
 */
#include <conf/conf.h>
#include <once/once.h>
#include <route/route.h>
#include <wire/wire.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REGION "north"
#define KEY "desk-key"
#define QUEUE_MAX 64
#define STEP (10 * AP_MSEC)
#define STEPS_MAX 2000 /* 20 seconds of virtual time */

typedef struct node {
	struct world *world;
	ap_entry_t entry;
	ap_once_t *once;
	bool up;
	bool decided;
	ap_once_verdict_kind_t verdict;
} node_t;

typedef struct packet {
	size_t from;
	size_t to;
	msgpack_sbuffer bytes;
} packet_t;

typedef struct world {
	ap_usec_t now;
	node_t nodes[2];
	packet_t queue[QUEUE_MAX];
	size_t queued;
} world_t;

static void check(bool holds, const char *what)
{
	printf("%s: %s\n", holds ? "yes" : "NO", what);
	if (!holds)
		exit(EXIT_FAILURE);
}

/* Called when an invariant of the library is broken; the program must not continue. */
static void on_violated(void *ctx, ap_invariant_t invariant, const char *what)
{
	(void)ctx;
	fprintf(stderr, "invariant %s: %s\n", ap_invariant_name(invariant), what);
	exit(EXIT_FAILURE);
}

static const ap_env_t env = {.violated = on_violated};

static ap_conf_t *load_configuration(void)
{
	char hash[AP_KEY_HASH_TEXT_MAX];
	ap_conf_t *conf;
	ap_err_t err;
	json_t *json;

	ap_key_hash(KEY, hash);
	json = json_pack("{s:{s:{s:s, s:b, s:b, s:b, s:{s:s}, s:i, s:i}},"
			 " s:{s:{s:{s:s}, s:{s:s}, s:b, s:i}},"
			 " s:{s:{s:s, s:s, s:i}}}",
			 "service", "stands", "class", "reservation", "plain", 1, "home_bound", 1,
			 "permit", 1, "pools", "work", "stands", "deadline_ms", 1000,
			 "first_byte_ms", 500, "pool", "desks", "labels", "work", "stands",
			 "instances", "work", "stands", "plain", 1, "slots", 4, "caller", "desk",
			 "home", REGION, "key_hash", hash, "rate", 10);
	if (ap_conf_parse(json, 1, &conf, &err) != AP_CONF_OK) {
		fprintf(stderr, "%s\n", err.text);
		exit(EXIT_FAILURE);
	}
	json_decref(json);
	return conf;
}

static ap_upstream_t make_upstream(const char *id, ap_label_t label[1])
{
	ap_upstream_t u = {.host = "192.0.2.1", .port = 80, .labels = {.v = label, .n = 1}};

	ap_copy_name(u.id, sizeof(u.id), id);
	ap_copy_name(u.region, sizeof(u.region), REGION);
	ap_copy_name(u.data_centre, sizeof(u.data_centre), REGION "-a");
	return u;
}

/* Routes one request with both upstreams, then again without the chosen one. */
static void route_request(world_t *w, const ap_conf_t *conf)
{
	ap_route_config_t config = {
		.region = REGION, .data_centre = REGION "-a", .seed = 1, .env = env};
	ap_route_t *route = ap_route_new(&config);
	ap_label_t label[1] = {{.key = "work", .value = "stands"}};
	ap_upstream_t upstreams[2] = {make_upstream("u1", label), make_upstream("u2", label)};
	ap_view_t *view = ap_view_new(1, conf, upstreams, 2, NULL, 0);
	const ap_caller_t *caller = ap_conf_caller_by_key(conf, KEY);
	ap_request_t req = {.id = {.inc = {1, 2}, .seq = 1},
			    .service = ap_conf_service(conf, "stands"),
			    .caller = caller,
			    .home = caller->home,
			    .arrival = w->now,
			    .deadline = w->now + AP_SEC};
	ap_choice_t choice;
	size_t lost;

	ap_route_set_view(route, view, w->now);
	check(ap_route_choose(route, &req, w->now, &choice) == AP_ROUTE_OK, "a request is routed");
	lost = choice.upstream;
	ap_route_started(route, &req, &choice, w->now);
	ap_route_finished(route, &req, upstreams[lost].id, AP_ATTEMPT_FAILED, w->now);
	ap_view_unref(view);
	view = ap_view_new(2, conf, &upstreams[1 - lost], 1, NULL, 0);
	ap_route_set_view(route, view, w->now);
	check(ap_route_choose(route, &req, w->now, &choice) == AP_ROUTE_OK && choice.upstream == 0,
	      "without that upstream, the request is routed to the other one");
	req.home = "south";
	check(ap_route_choose(route, &req, w->now, &choice) == AP_ROUTE_WRONG_REGION,
	      "a home-bound request from another region is refused");
	ap_view_unref(view);
	ap_route_free(route);
}

static void on_send(void *ctx, const char *to, const ap_once_msg_t *msg)
{
	node_t *node = ctx;
	world_t *w = node->world;
	packet_t *p = &w->queue[w->queued];
	ap_wire_head_t head = {.kind = AP_WIRE_ONCE, .from = node->entry.inc, .seq = 1};
	msgpack_packer pk;

	if (w->queued == QUEUE_MAX)
		return;
	p->from = (size_t)(node - w->nodes);
	p->to = strcmp(to, w->nodes[0].entry.id) == 0 ? 0 : 1;
	msgpack_sbuffer_init(&p->bytes);
	msgpack_packer_init(&pk, &p->bytes, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	ap_wire_pack_once(&pk, msg);
	w->queued++;
}

static void on_decided(void *ctx, uint64_t token, const ap_once_verdict_t *verdict)
{
	node_t *node = ctx;

	(void)token;
	node->decided = true;
	node->verdict = verdict->kind;
}

static void deliver(world_t *w, packet_t *p)
{
	node_t *to = &w->nodes[p->to];
	msgpack_zone zone;
	msgpack_object body;
	ap_wire_head_t head;
	ap_wire_once_t once;
	ap_err_t err;

	msgpack_zone_init(&zone, 1024);
	if (to->up && w->nodes[p->from].up &&
	    ap_wire_open(p->bytes.data, p->bytes.size, &zone, &head, &body, &err) == AP_WIRE_OK &&
	    ap_wire_read_once(&head, &body, &once, &err) == AP_WIRE_OK)
		ap_once_receive(to->once, w->nodes[p->from].entry.id, &once.msg, w->now);
	msgpack_zone_destroy(&zone);
	msgpack_sbuffer_destroy(&p->bytes);
}

/* Advances the time by one step, delivers the messages sent before, and runs due work. */
static void step(world_t *w)
{
	packet_t queue[QUEUE_MAX];
	size_t n = w->queued;

	memcpy(queue, w->queue, n * sizeof(queue[0]));
	w->queued = 0;
	w->now += STEP;
	for (size_t i = 0; i < n; i++)
		deliver(w, &queue[i]);
	for (size_t i = 0; i < 2; i++) {
		if (w->nodes[i].up)
			ap_once_tick(w->nodes[i].once, w->now);
	}
}

static ap_once_verdict_kind_t wait_for_verdict(node_t *node)
{
	for (int i = 0; i < STEPS_MAX && !node->decided; i++)
		step(node->world);
	check(node->decided, "the verdict arrives in time");
	return node->verdict;
}

static ap_once_verdict_kind_t use(node_t *node, const char *permit, uint64_t token, bool resolve)
{
	ap_once_verdict_t verdict;
	ap_once_verdict_kind_t kind;

	node->decided = false;
	if (resolve)
		kind = ap_once_resolve(node->once, permit, "stands", "desk", token,
				       node->world->now, &verdict);
	else
		kind = ap_once_use(node->once, permit, "stands", "desk", token, node->world->now,
				   &verdict);
	return kind == AP_ONCE_PENDING ? wait_for_verdict(node) : kind;
}

static void start_node(world_t *w, size_t i, const char *id)
{
	node_t *node = &w->nodes[i];
	ap_once_config_t config = {.inc = {i + 1, 7},
				   .region = REGION,
				   .data_centre = REGION "-a",
				   .limits = ap_once_default_limits,
				   .env = env,
				   .ctx = node,
				   .send = on_send,
				   .decided = on_decided};

	node->world = w;
	node->up = true;
	node->entry.inc = config.inc;
	ap_copy_name(node->entry.id, sizeof(node->entry.id), id);
	ap_copy_name(node->entry.region, sizeof(node->entry.region), REGION);
	ap_copy_name(node->entry.data_centre, sizeof(node->entry.data_centre), REGION "-a");
	ap_copy_name(config.id, sizeof(config.id), id);
	memset(config.key, (int)i + 1, sizeof(config.key)); /* must be random in real use */
	node->once = ap_once_new(&config, w->now);
}

static void set_live_entries(world_t *w)
{
	ap_entry_t live[2];
	size_t n = 0;

	for (size_t i = 0; i < 2; i++) {
		if (w->nodes[i].up)
			live[n++] = w->nodes[i].entry;
	}
	for (size_t i = 0; i < 2; i++) {
		if (w->nodes[i].up)
			ap_once_set_entries(w->nodes[i].once, live, n, w->now);
	}
}

static void use_permits(world_t *w)
{
	node_t *issuer = &w->nodes[0];
	node_t *other = &w->nodes[1];
	char first[AP_PERMIT_TEXT_MAX];
	char second[AP_PERMIT_TEXT_MAX];

	start_node(w, 0, "entry-1");
	start_node(w, 1, "entry-2");
	set_live_entries(w);
	for (int i = 0; i < 200; i++)
		step(w);
	check(ap_once_issue(issuer->once, "stands", "desk", w->now, first) == AP_ONCE_OK &&
		      ap_once_issue(issuer->once, "stands", "desk", w->now, second) == AP_ONCE_OK,
	      "two permits are issued");
	check(use(issuer, first, 1, false) == AP_ONCE_DISPATCH &&
		      ap_once_dispatch(issuer->once, 1, w->now),
	      "a permit allows one call");
	ap_once_done(issuer->once, 1, AP_OUTCOME_COMPLETED, "stand 12", 8, w->now);
	check(use(issuer, first, 2, false) == AP_ONCE_USED,
	      "the same permit allows no second call");
	issuer->up = false;
	set_live_entries(w);
	check(use(other, second, 3, true) == AP_ONCE_NOT_RUN,
	      "after the loss of its issuer, the unused permit counts as not run");
	ap_once_free(issuer->once);
	ap_once_free(other->once);
}

int main(void)
{
	static world_t world = {.now = AP_SEC};
	ap_conf_t *conf = load_configuration();

	route_request(&world, conf);
	use_permits(&world);
	for (size_t i = 0; i < world.queued; i++)
		msgpack_sbuffer_destroy(&world.queue[i].bytes);
	ap_conf_unref(conf);
	return EXIT_SUCCESS;
}
