/*
 * Prints messages of one build, for wire_builds_test: what an instance tells its region and remote
 * ones, changes, snapshots, batches and its record, and who is chosen by hash. record.sh compiles
 * it with the sources of a commit and sets LACKS_ for each function that the commit lacks.
 *
 * Usage: record [decode FILE]; "decode" reads the announcements of FILE with this build.
 */
#ifdef OLD_NAMES
#include "builds/old-names.h"
#endif
#include "fleet/fleet.h"
#include "follow/follow.h"
#include "wire/frame.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#ifndef OLD_NAMES
#define MEMBER_DRAINING draining
#endif
#define START (1000 * AP_SEC)
#define REGION 8 /* instances of north */
#define REMOTE 3 /* of south */
#define RELAYED 16
#define OWNED 12
#define HASHES 8
#define TELLER 6 /* tells remote instances, too */
#define LINE_MAX 65536
#define WANTED(kind) (1u << ((kind)-AP_WIRE_FLEET))
#define EMPTY 60 /* bytes of a batch without messages, at most */

char *ap_host_format_member(const ap_member_t *member);

static const ap_plan_pool_t engines = {
	.name = "engines", .warmup = 3 * AP_SEC, .warmup_rate = 4, .slots = 8, .kv_tokens = 100000};
static const ap_plan_pool_t desk = {.name = "desk", .slots = 4};
static const ap_plan_pool_t paper = {.name = "paper", .slots = 4};
static const ap_plan_pool_t crash = {.name = "crash", .slots = 4, .kv_tokens = 100000};
static const ap_plan_route_t stream = {.name = "stream",
				       .kind = AP_KIND_STREAM,
				       .timeout = 8 * AP_SEC,
				       .objective = AP_SEC,
				       .attempts = 2};

static void hex(const char *kind, const char *from, const void *data, size_t len)
{
	printf("%s %s ", kind, from);
	for (size_t i = 0; i < len; i++)
		printf("%02x", ((const unsigned char *)data)[i]);
	printf("\n");
}

/* One instance's way to the others. Prints one message of each kind that is wanted. */
typedef struct sent {
	char from[AP_NAME_MAX];
	bool senders;	     /* print who sends waits to whom */
	unsigned wanted;     /* kinds, see WANTED */
	struct world *world; /* NULL unless messages are delivered */
} sent_t;

typedef struct world {
	ap_fleet_t *fleets[RELAYED];
	sent_t ports[RELAYED];
	size_t n;
	ap_usec_t now;
} world_t;

static void put(void *ctx, const char *to, const void *data, size_t len)
{
	static const char *const names[] = {"fleet", "snapshot", "waits", "changes", "batch"};
	sent_t *s = ctx;
	const unsigned char *bytes = data;
	unsigned kind = bytes[2] - AP_WIRE_FLEET;

	if (s->senders && bytes[2] == AP_WIRE_WAITS)
		printf("sender %s %s\n", to, s->from);
	if (s->wanted & 1u << kind && (bytes[2] <= AP_WIRE_WAITS || len > EMPTY)) {
		hex(names[kind], s->from, data, len);
		s->wanted &= ~(1u << kind);
	}
	for (size_t i = 0; s->world && i < s->world->n; i++) {
		if (strcmp(s->world->ports[i].from, to) == 0 && bytes[2] == AP_WIRE_FLEET)
			ap_fleet_receive(s->world->fleets[i], s->from, data, len, s->world->now);
	}
}

static void add_member(ap_fleet_t *f, const char *region, int number)
{
	ap_member_t m = {.caller_port = 80, .peer_port = 81, .cores = 0.25};

	snprintf(m.id, sizeof(m.id), "%c%d", region[0], number);
	ap_copy_name(m.region, sizeof(m.region), region);
	snprintf(m.data_centre, sizeof(m.data_centre), "%s-1", region);
	ap_copy_name(m.host, sizeof(m.host), "127.0.0.1");
#ifdef AP_FLEET_SPEAKS
	m.speaks = AP_FLEET_SPEAKS;
#endif
	ap_fleet_update_member(f, &m, START);
}

static void add_replica(ap_fleet_t *f, const char *id, const char *pool, ap_usec_t cold_left)
{
	ap_replica_entry_t e = {
		.port = 9000, .slots = 8, .shutdown_in = AP_NEVER, .cold_left = cold_left};

	ap_copy_name(e.id, sizeof(e.id), id);
	ap_copy_name(e.pool, sizeof(e.pool), pool);
	ap_copy_name(e.host, sizeof(e.host), "127.0.0.1");
	ap_copy_name(e.data_centre, sizeof(e.data_centre), "north-1");
	ap_fleet_update_replica(f, &e, START);
}

static ap_fleet_t *start(int number, int north, int south)
{
	ap_fleet_config_t config = {
		.cold_over = 1.5,
		.cold_slack = 3,
		.retry_ratio = 0.2,
		.retry_slack = 40,
		.retry_window = 10 * AP_SEC,
		.entry_grace = 2 * AP_SEC,
		.inc = {.hi = 7, .lo = (uint64_t)number + 1},
		.seed = (uint64_t)number + 1,
	};
	ap_fleet_t *f;

	snprintf(config.id, sizeof(config.id), "n%d", number);
	ap_copy_name(config.region, sizeof(config.region), "north");
	ap_copy_name(config.data_centre, sizeof(config.data_centre), "north-1");
	f = ap_fleet_new(&config);
	ap_fleet_set_data_centre(f, "north-1", "north");
	ap_fleet_set_data_centre(f, "north-2", "north");
	ap_fleet_set_data_centre(f, "south-1", "south");
	for (int i = 0; i < north; i++)
		add_member(f, "north", i);
	for (int i = 0; i < south; i++)
		add_member(f, "south", i);
	return f;
}

static void set_store(ap_fleet_t *f)
{
#ifndef LACKS_era
	ap_fleet_set_store_state(f, true, 3, 4711);
#else
	ap_fleet_set_store_state(f, true, 4711);
#endif
}

static bool is_store_watched(ap_fleet_t *f, ap_usec_t now)
{
	uint64_t revision;
#ifndef LACKS_era
	uint64_t era;

	return ap_fleet_store_watched(f, now, &era, &revision);
#else
	return ap_fleet_store_watched(f, now, &revision);
#endif
}

static ap_dispatch_t request(const ap_plan_pool_t *pool, uint64_t subject, ap_usec_t now)
{
	ap_dispatch_t req = {.route = &stream,
			     .pool = pool,
			     .deadline = now + stream.timeout,
			     .tokens_in = 1600,
			     .tokens_out = 50,
			     .n_parts = 2};

	req.parts[0].id = subject;
	req.parts[0].tokens = 1500;
	req.parts[1].id = 1000 + subject;
	req.parts[1].tokens = 100;
#ifndef LACKS_fingerprint
	req.fingerprint = 1 + subject;
#endif
	return req;
}

static bool send_one(ap_fleet_t *f, const ap_plan_pool_t *pool, uint64_t subject, ap_usec_t now,
		     ap_target_t *target, ap_inflight_t *inflight)
{
	ap_dispatch_t req = request(pool, subject, now);

	if (ap_fleet_choose(f, &req, now, target) != AP_FLEET_OK)
		return false;
	ap_fleet_sent(f, &req, target, now, inflight);
	return true;
}

static void add_replicas(ap_fleet_t *f)
{
	add_replica(f, "e0", "engines", 0);
	add_replica(f, "e1", "engines", 0);
	add_replica(f, "d0", "desk", 0);
	add_replica(f, "d1", "desk", 0);
	add_replica(f, "p0", "paper", 0);
	add_replica(f, "k0", "crash", 0);
}

/* Brings about one of each kind of knowledge that the build has. */
static void learn(ap_fleet_t *f, ap_usec_t now)
{
	ap_inflight_t inflight;
	ap_target_t target;

	send_one(f, &engines, 77, now, &target, &inflight);
	printf("load %s\n", target.id);
	send_one(f, &paper, 1, now, &target, &inflight);
	ap_fleet_done(f, &inflight, AP_DISPATCH_DONE, now);
	set_store(f);
	ap_fleet_evacuate(f, "north-2", false, now);
#ifndef LACKS_limit_seen
	ap_fleet_limit_seen(f, "d0", 12.5, now);
	printf("knows limit\n");
#endif
#ifndef LACKS_health_check_refused
	send_one(f, &crash, 99, now, &target, &inflight);
	ap_fleet_done(f, &inflight, AP_DISPATCH_BROKEN, now);
	ap_fleet_health_check_refused(f, "k0", now);
	printf("knows ends\n");
#endif
#ifndef LACKS_stream_began
	ap_fleet_stream_began(f, "request-1", target.build, now);
	printf("knows builds\n");
#endif
#ifndef LACKS_stream_served
	ap_fleet_stream_served(f, "request-1",
			       &(ap_stream_source_t){.build = target.build, .weights = 7}, now);
	ap_fleet_stream_served(
		f, "request-1",
		&(ap_stream_source_t){.build = target.build, .weights = 8, .since = 5}, now);
	printf("knows builds\nknows weights\n");
#endif
#ifndef LACKS_leaving_seen
	ap_fleet_leaving_seen(f, "d1", now);
	printf("knows leaving\n");
#endif
#ifndef LACKS_brittle_seen
	ap_fleet_brittle_seen(f, "e1", 8, now);
	printf("knows brittle\n");
#endif
#ifndef LACKS_path_lost
	ap_fleet_path_lost(f, "p0", now);
	printf("knows paths\n");
#endif
}

#ifndef LACKS_set_store_silent
/* The store is silent, so an upstream is asked whether it is cold. */
static ap_usec_t learn_cold(ap_fleet_t *f, ap_usec_t now)
{
	ap_fleet_set_store_silent(f, true);
	for (int i = 0; i < 10; i++) {
		ap_replica_entry_t r;

		now += 100 * AP_MSEC;
		ap_fleet_tick(f, now);
		while (ap_fleet_next_health_check(f, now, &r)) {
			if (strcmp(r.id, "e0") != 0)
				continue;
			ap_fleet_health_checked(f, r.id, 1500 * AP_MSEC, now);
			printf("knows cold\n");
			return now;
		}
	}
	return now;
}
#endif

static void messages(void)
{
	ap_fleet_t *f = start(TELLER, REGION, REMOTE);
	ap_usec_t now = START + 4 * AP_SEC;
	sent_t s = {.wanted = WANTED(AP_WIRE_FLEET) | WANTED(AP_WIRE_WAITS)};
	ap_peer_port_t port = {.ctx = &s, .send = put};
	ap_inflight_t inflight;
	ap_target_t target;

	snprintf(s.from, sizeof(s.from), "n%d", TELLER);
	add_replicas(f);
	ap_fleet_tick(f, START);
	send_one(f, &engines, 3, now, &target, &inflight);
	ap_fleet_done(f, &inflight, AP_DISPATCH_DONE, now);
#ifndef LACKS_set_store_silent
	now = learn_cold(f, now);
#endif
	learn(f, now);
	ap_fleet_tick(f, now);
	ap_fleet_announce(f, &port, now);
	ap_fleet_free(f);
}

/* Values that are the same in all builds, or owners differ. */
static void hashes(void)
{
	for (unsigned i = 0; i < HASHES; i++) {
		uint64_t key = ap_hash_str("a key", i);
		uint64_t node = ap_hash_str("a longer name of a node", i);

		printf("hash %u %016llx %016llx %.9g\n", i, (unsigned long long)key,
		       (unsigned long long)node, ap_rendezvous(key, node, 1.0 + i));
	}
}

static void owners(void)
{
	for (int u = 0; u < OWNED; u++) {
		for (int i = 0; i < REGION; i++) {
			ap_fleet_t *f = start(i, REGION, 0);
			ap_usec_t now = START + 5 * AP_SEC;
			ap_inflight_t inflight;
			ap_target_t target;
			char id[AP_NAME_MAX];

			snprintf(id, sizeof(id), "c%d", u);
			add_replica(f, id, "engines", 60 * AP_SEC);
			ap_fleet_tick(f, now);
			if (send_one(f, &engines, 5, now, &target, &inflight))
				printf("owner %s n%d\n", id, i);
			ap_fleet_free(f);
		}
	}
}

/* Senders of waits, and who watches the store for the region. */
static void chosen(void)
{
	world_t w = {.n = REGION, .now = START + 4 * AP_SEC};

	for (int i = 0; i < REGION; i++) {
		w.fleets[i] = start(i, REGION, REMOTE);
		w.ports[i] = (sent_t){.senders = true, .world = &w};
		snprintf(w.ports[i].from, AP_NAME_MAX, "n%d", i);
		set_store(w.fleets[i]);
	}
	for (int i = 0; i < REGION; i++) {
		ap_peer_port_t port = {.ctx = &w.ports[i], .send = put};

		ap_fleet_announce(w.fleets[i], &port, w.now);
	}
	for (int i = 0; i < REGION; i++) {
		if (!is_store_watched(w.fleets[i], w.now))
			printf("watcher n%d\n", i);
		ap_fleet_free(w.fleets[i]);
	}
}

#ifndef LACKS_open_batch
static void batch(void)
{
	world_t w = {.n = RELAYED, .now = START + 4 * AP_SEC};
	bool printed = false;

	for (int i = 0; i < RELAYED; i++) {
		w.fleets[i] = start(i, RELAYED, 0);
		w.ports[i] = (sent_t){.wanted = WANTED(AP_WIRE_BATCH), .world = &w};
		snprintf(w.ports[i].from, AP_NAME_MAX, "n%d", i);
	}
	for (int round = 0; round < 40 && !printed; round++, w.now += 100 * AP_MSEC) {
		for (int i = 0; i < RELAYED && !printed; i++) {
			ap_peer_port_t port = {.ctx = &w.ports[i], .send = put};

			ap_fleet_tick(w.fleets[i], w.now);
			ap_fleet_announce(w.fleets[i], &port, w.now);
			printed = w.ports[i].wanted == 0;
		}
	}
	for (int i = 0; i < RELAYED; i++)
		ap_fleet_free(w.fleets[i]);
}
#endif

static void stored(void)
{
	static const ap_store_item_t items[] = {
		{.key = "servers/e0", .value = "{\"state\":\"ready\"}", .len = 17, .revision = 41},
		{.key = "op/evacuate/north-2", .revision = 42, .removed = true},
	};
	ap_member_t m = {.caller_port = 80, .peer_port = 81, .cores = 0.25};
	char *text;
	void *data;
	size_t len;
#ifndef LACKS_changes
	ap_store_read_t read = {.end = AP_STORE_OK, .items = items, .n = 2, .as_of = 43};

#ifndef LACKS_era
	read.era = 3;
	printf("knows era\n");
#endif
	data = ap_changes_pack(40, &read, &len);
	hex("changes", "n0", data, len);
	free(data);
#endif
	ap_snapshot_t *snapshot = ap_snapshot_new();

	ap_snapshot_put(snapshot, &items[0]);
	data = ap_snapshot_pack(snapshot, NULL, &len);
	hex("snapshot", "n0", data, len);
	free(data);
	ap_snapshot_free(snapshot);
	ap_copy_name(m.id, sizeof(m.id), "n0");
	ap_copy_name(m.region, sizeof(m.region), "north");
	ap_copy_name(m.data_centre, sizeof(m.data_centre), "north-1");
	ap_copy_name(m.host, sizeof(m.host), "127.0.0.1");
	m.MEMBER_DRAINING = true;
#ifdef AP_FLEET_SPEAKS
	m.speaks = AP_FLEET_SPEAKS;
#endif
#ifdef AP_WIRE_VERSION_OLDEST
	m.wire_oldest = AP_WIRE_VERSION_OLDEST;
	m.wire_newest = AP_WIRE_VERSION;
#endif
	text = ap_host_format_member(&m);
	printf("record n0 %s\n", text);
	free(text);
}

static size_t bytes_of(const char *text, unsigned char *data)
{
	size_t n = 0;
	unsigned byte;

	while (sscanf(text + 2 * n, "%2x", &byte) == 1)
		data[n++] = (unsigned char)byte;
	return n;
}

/* Reads the announcements of another build. */
static int decode(const char *path)
{
	static char line[LINE_MAX];
	static unsigned char data[LINE_MAX];
	FILE *in = fopen(path, "r");
	int unread = 0;

	while (in && fgets(line, sizeof(line), in)) {
		char kind[16];
		char from[AP_NAME_MAX];
		int at = 0;
		size_t len;
		ap_fleet_t *f;
		bool ok;

		if (sscanf(line, "%15s %63s %n", kind, from, &at) < 2 ||
		    (strcmp(kind, "fleet") != 0 && strcmp(kind, "waits") != 0))
			continue;
		len = bytes_of(line + at, data);
		f = start(1, REGION, REMOTE);
		add_replicas(f);
		ok = ap_fleet_receive(f, from, data, len, START + 5 * AP_SEC);
		printf("%s: %s\n", kind, ok ? "read" : "NOT READ");
		unread += !ok;
		ap_fleet_free(f);
	}
	if (in)
		fclose(in);
	return in ? unread : 1;
}

int main(int argc, char **argv)
{
	if (argc == 3 && strcmp(argv[1], "decode") == 0)
		return decode(argv[2]);
	messages();
#ifndef LACKS_open_batch
	batch();
#endif
	stored();
	hashes();
	owners();
	chosen();
	return 0;
}
