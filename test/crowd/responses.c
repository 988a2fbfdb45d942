/*
 * Responses that fill an instance: clients that don't read them or read them slowly, and upstreams
 * that don't end them.
 */
#include "crowd.h"

#include <jansson.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define CLIENTS 60
#define MANY 600
#define WAITING 1200
#define THOUSANDS 2900 /* below the limit of a listener */
#define SLOTS 3300
#define RUN (2 * AP_SEC)   /* below the time limit of the routes */
#define ASKS 8		   /* ordinary requests in that time */
#define SLOWLY 4096	   /* bytes that a client reads every 5 ms, */
#define FAST 16384	   /* and one that keeps up */
#define HELD_BYTES 1000000 /* below what an instance holds of a response */
#define SENT_AHEAD 1000
#define POSTED_BYTES 100000
#define POSTING 120
#define MANY_FIELDS 200
#define SMALL_FIELDS 5000
#define SMALL_FIELD "a:b\r\n"

#define ASK(path)                                                                                  \
	"GET " path "large HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: c-%u\r\n"                 \
	"Deadline-Ms: 6000\r\n\r\n"
#define AHEAD                                                                                      \
	"GET /idem/large HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: ahead\r\n"                  \
	"Deadline-Ms: 6000\r\n\r\n"
#define POST_LARGE                                                                                 \
	"POST /idem/large HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: c-%u\r\n"                  \
	"Deadline-Ms: 6000\r\n"
#define OWN "Server-Stamp: s\r\nRequest-Id: %s\r\n"

static const form_t one = {"one request each", ASK("/idem/"), "", 0, false};
static const form_t ahead = {"requests sent ahead", ASK("/idem/"), AHEAD, SENT_AHEAD, false};
static const form_t stream = {"one stream each", ASK("/stream/"), "", 0, false};

static const form_t posted = {"one request with a body each",
			      POST_LARGE "Content-Length: 100000\r\n\r\n", "x", POSTED_BYTES,
			      false};

static const form_t old = {"one request of HTTP/1.0 each",
			   "GET /idem/large HTTP/1.0\r\nHost: soak.example\r\nRequest-Id: c-%u\r\n"
			   "Deadline-Ms: 6000\r\n\r\n",
			   "", 0, false};

static const source_t sized = {"HTTP/1.1 200 OK\r\n" OWN "Content-Length: 4194304\r\n\r\n",
			       "padding", 4194304, false};
static const source_t chunked = {"HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n\r\n",
				 "20\r\n0123456789abcdef0123456789abcdef\r\n", 38 * 110000, true};
static const source_t endless = {"HTTP/1.1 200 OK\r\n" OWN "\r\n", "padding", 1 << 30, false};
static const source_t short_body = {"HTTP/1.1 200 OK\r\n" OWN "Content-Length: 1000001\r\n\r\n",
				    "padding", HELD_BYTES, true};
static const source_t short_error = {"HTTP/1.1 500 No\r\n" OWN "Content-Length: 1000001\r\n\r\n",
				     "padding", HELD_BYTES, true};
static const source_t short_chunk = {"HTTP/1.1 200 OK\r\n" OWN
				     "Transfer-Encoding: chunked\r\n\r\nf4241\r\n",
				     "padding", HELD_BYTES, true};
static const source_t short_event = {
	"HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/event-stream\r\n\r\ndata: ", "padding",
	HELD_BYTES, true};

static const source_t short_head = {"HTTP/1.1 200 OK\r\n" OWN, SMALL_FIELD, 60000, true};
static const source_t unframed = {"HTTP/1.1 200 OK\r\n" OWN "\r\n", "padding", HELD_BYTES, true};
static const source_t nothing = {"", "x", 0, true};

void list_upstream(soak_t *s, const char *pool, place_t place, uint16_t port)
{
	for (size_t i = 0; i < s->n_replicas; i++) {
		char key[96];

		if (strcmp(s->replicas[i].pool, pool) != 0)
			continue;
		replica_stop(&s->replicas[i]);
		snprintf(key, sizeof(key), "servers/%s", s->replicas[i].id);
		store_remove(s->store, key);
	}
	for (unsigned region = place == NEIGHBOUR; region < REGIONS; region++) {
		char key[64];
		char addr[32];
		char dc[32];
		json_t *o;
		char *text;

		snprintf(key, sizeof(key), "servers/crowd-%u", region);
		snprintf(addr, sizeof(addr), "127.0.0.1:%u", port);
		snprintf(dc, sizeof(dc), "%s-1", soak_regions[region]);
		o = json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:I}", "service", pool, "addr", addr,
			      "zone", dc, "slots", SLOTS, "state", "ready", "coldLeftMs", 0, "seq",
			      (json_int_t)(ap_now() / AP_MSEC));
		text = json_dumps(o, JSON_COMPACT);
		store_put(s->store, key, text, 0);
		free(text);
		json_decref(o);
	}
}

static unsigned most_memory(const soak_t *s)
{
	unsigned most = 0;

	for (size_t i = 0; i < s->n_instances; i++) {
		unsigned peak = crowd_peak_mb(s->instances[i].pid);

		/* One that has ended has no memory. */
		if (peak == 0)
			return UINT_MAX;
		most = peak > most ? peak : most;
	}
	return most;
}

/* Return: 200 if all ordinary requests were served, or the last other status. */
static int ask_often(soak_t *s)
{
	int result = 200;

	for (int i = 0; i < ASKS; i++) {
		int status;

		scenario_run(s, RUN / ASKS);
		status = crowd_ask(s, 4);
		if (status != 200)
			result = status;
	}
	return result;
}

/* Streams have a pool of their own, so ordinary requests have another one. */
static bool check(const char *what, const source_t *source, place_t place, crowd_t crowd)
{
	const char *pool = soak_pool(crowd.form == &stream ? SOAK_STREAM : SOAK_IDEMPOTENT, false);
	void *state = NULL;
	unsigned before;
	unsigned memory;
	uint16_t port;
	pid_t upstream;
	pid_t clients;
	int during;
	int after;
	soak_t *s;
	int done;
	bool ok;

	scenario_set_up(&state);
	s = state;
	upstream = source_start(source, &port);
	list_upstream(s, pool, place, port);
	scenario_run(s, LISTED);
	crowd.first_port = s->instances[0].port;
	before = most_memory(s);
	clients = crowd_start(&crowd, &done);
	crowd_await(s, done);
	during = ask_often(s);
	memory = most_memory(s);
	kill(clients, SIGKILL);
	waitpid(clients, NULL, 0);
	scenario_run(s, CROWD_HOLD);
	after = crowd_ask(s, CROWD_LARGE_BODY);
	print_message(
		"%s, %s, %zu clients: %u MB before, at most %u MB; status %d, %d after that\n",
		what, crowd.form->name, crowd.n, before, memory, during, after);
	ok = memory <= crowd_memory_max() && after == 200 && s->findings == 0 &&
	     (during == 200 || (crowd.fills && during == 503));
	kill(upstream, SIGKILL);
	waitpid(upstream, NULL, 0);
	scenario_tear_down(&state);
	return ok;
}

static crowd_t clients_of(const form_t *form, size_t reads)
{
	return (crowd_t){.form = form, .n = CLIENTS, .window = true, .reads = reads};
}

void responses_not_read_whole(void **state)
{
	bool ok;

	(void)state;
	ok = check("4 MB that nobody reads", &sized, EVERYWHERE, clients_of(&one, 0));
	ok &= check("4 MB in chunks that nobody reads", &chunked, EVERYWHERE, clients_of(&one, 0));
	assert_true(ok);
}

/* Each holds little, but they hold it for as long as their routes allow. */
void responses_not_read_by_many(void **state)
{
	crowd_t many = clients_of(&one, 0);

	(void)state;
	many.n = MANY;
	assert_true(check("4 MB that nobody reads", &sized, EVERYWHERE, many));
}

/* As many as connect; what an instance holds for each of them adds up, whatever is read. */
void responses_not_read_by_thousands(void **state)
{
	crowd_t thousands = clients_of(&one, 0);

	(void)state;
	scenario_memory_mb = CROWD_SMALLEST_MB;
	thousands.n = THOUSANDS;
	thousands.fills = true;
	assert_true(check("4 MB that nobody reads", &sized, EVERYWHERE, thousands));
	thousands.fills = false;
	assert_true(check("nothing", &nothing, EVERYWHERE, thousands));
}

/* Their requests are held, too, until their responses end. */
void responses_to_bodies_not_read(void **state)
{
	crowd_t posting = clients_of(&posted, 0);

	(void)state;
	posting.n = POSTING;
	assert_true(check("4 MB that nobody reads", &sized, EVERYWHERE, posting));
}

/* The library needs some 100 bytes for a field of 5, here and on the way to the upstream. */
void responses_to_many_fields(void **state)
{
	static char fields[SMALL_FIELDS * sizeof(SMALL_FIELD)];
	const form_t form = {"one request of small fields each", POST_LARGE, fields, 1, false};
	crowd_t crowd = clients_of(&form, 0);

	(void)state;
	crowd.n = MANY_FIELDS;
	crowd.in_turn = true;
	for (size_t i = 0; i < SMALL_FIELDS * strlen(SMALL_FIELD); i++)
		fields[i] = SMALL_FIELD[i % strlen(SMALL_FIELD)];
	strcat(fields, "\r\n");
	assert_true(check("nothing", &nothing, EVERYWHERE, crowd));
}

/* Their responses are held until their length is known, as HTTP/1.0 has no chunks. */
void responses_without_chunks(void **state)
{
	(void)state;
	assert_true(check("bodies that stop short", &unframed, EVERYWHERE, clients_of(&old, FAST)));
}

/* Small requests that wait hold more than their bytes. */
void responses_that_many_wait_for(void **state)
{
	crowd_t many = clients_of(&one, 0);

	(void)state;
	many.n = WAITING;
	assert_true(check("nothing", &nothing, EVERYWHERE, many));
}

void responses_asked_ahead(void **state)
{
	(void)state;
	assert_true(check("4 MB that nobody reads", &sized, EVERYWHERE, clients_of(&ahead, 0)));
}

void responses_of_a_neighbour(void **state)
{
	(void)state;
	assert_true(check("4 MB of another region", &sized, NEIGHBOUR, clients_of(&one, 0)));
}

void responses_read_slowly(void **state)
{
	(void)state;
	assert_true(check("4 MB read in pieces", &sized, EVERYWHERE, clients_of(&one, SLOWLY)));
}

void responses_without_end(void **state)
{
	(void)state;
	assert_true(check("bodies without end", &endless, EVERYWHERE, clients_of(&one, FAST)));
}

void responses_that_stop_short(void **state)
{
	bool ok;

	(void)state;
	ok = check("bodies that stop short", &short_body, EVERYWHERE, clients_of(&one, FAST));
	ok &= check("errors that stop short", &short_error, EVERYWHERE, clients_of(&one, FAST));
	ok &= check("chunks that stop short", &short_chunk, EVERYWHERE, clients_of(&one, FAST));
	ok &= check("heads that stop short", &short_head, EVERYWHERE, clients_of(&one, FAST));
	ok &= check("events that stop short", &short_event, EVERYWHERE, clients_of(&stream, FAST));
	assert_true(ok);
}
