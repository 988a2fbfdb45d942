/*
 * Clients that fill an instance: bodies that stop short of their end, heads and empty lines without
 * end, responses that are not read, connections without a request. The process lives within its
 * memory and descriptors, and ordinary requests are answered.
 */
#include "crowd.h"

#include <dirent.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#ifdef __SANITIZE_ADDRESS__
/* What the sanitizer adds to a process without requests. */
#define MEMORY_MAX_MB (scenario_memory_mb + 64)
#else
#define MEMORY_MAX_MB scenario_memory_mb
#endif
#define DESCRIPTORS_MAX 2048
#define FEW_DESCRIPTORS 128
#define FREE_DESCRIPTORS 16 /* for callers and upstreams, whatever strangers hold */
#define CROWD_MAX 1200
#define CHUNK_BYTES 16384
#define BODY_CHUNKS 255 /* 4,177,920 bytes: 16 KB less than the largest body */
#define SMALL_CHUNKS 1000000
#define SEGMENTS 2500
#define FAR_BYTES (16 << 20) /* twice what an instance accepts */
#define SENT_MAX (18 * AP_SEC)
#define ANSWER_MAX (10 * AP_SEC)
#define LISTENERS 6 /* consecutive ports: callers, ready, directory, metrics, control, peers */
#define PORT_METRICS 3
#define PORT_MESSAGES 6 /* of other instances; not HTTP */

#define POST                                                                                       \
	"POST /once/ HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: c-%u\r\nDeadline-Ms: 3000\r\n"

static char large_chunk[CHUNK_BYTES + 16];

static const form_t large_chunks = {"chunks of 16 KB that stop short",
				    POST "Transfer-Encoding: chunked\r\n\r\n", large_chunk,
				    BODY_CHUNKS, false};
static const form_t stated_length = {"a stated length that stops one byte short",
				     POST "Content-Length: 4177921\r\n\r\n", "x", 4177920, false};
static const form_t small_chunks = {"chunks of one byte that stop short",
				    POST "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
				    SMALL_CHUNKS, false};
static const form_t small_segments = {"chunks of one byte, each in a segment",
				      POST "Transfer-Encoding: chunked\r\n\r\n1\r\nx", "\r\n1\r\nx",
				      SEGMENTS, true};
static const form_t far_length = {"a length far over the limit",
				  POST "Content-Length: 99999999999\r\n\r\n", "padding",
				  FAR_BYTES / 7, false};
static const form_t far_chunks = {"chunks far over the limit",
				  POST "Transfer-Encoding: chunked\r\n\r\n", large_chunk,
				  FAR_BYTES / CHUNK_BYTES, false};
static const form_t far_chunk = {"a chunk far over the limit",
				 POST "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", "padding",
				 FAR_BYTES / 7, false};
static const form_t far_head = {"a head of fields without end", POST, "X-Pad: padding\r\n",
				FAR_BYTES / 16, false};
static const form_t far_field = {"a field without end", POST "X-Pad: ", "padding", FAR_BYTES / 7,
				 false};
static const form_t near_head = {"a head that stops short", POST, "X-Pad: padding\r\n", 900, false};
static const form_t empty_lines = {"empty lines without end", "\r\n", "\r\n", FAR_BYTES / 2, false};
static const form_t unread = {"responses that are not read",
			      "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n",
			      "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n", 1 << 18, false};
static const form_t silent = {"connections without a request", "", "", 0, false};
static const form_t begun = {"a head that was begun", "P", "", 0, false};

/* The greeting of a peer without security, then a frame of far more bytes than it sends. */
static const form_t long_message = {"a message that stops short",
				    "\xff\x01\x01\x01\x01\x01\x01\x01\x01\x7f",
				    "\x06\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f", 1 << 17, false};

/* ---- the test ---- */

typedef struct answer {
	request_t *q;
	int status;
	ap_http_end_t end;
} answer_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	((answer_t *)ctx)->status = head->status;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	answer_t *a = ctx;

	(void)written;
	a->q->done = true;
	a->end = end;
}

int crowd_ask(soak_t *s, size_t len)
{
	answer_t a = {.q = caller_request(s, SOAK_IDEMPOTENT)};
	ap_http_header_t headers[] = {
		{"Host", "soak.example"}, {"Request-Id", a.q->id}, {"Deadline-Ms", "6000"}};
	char *body = calloc(1, len);
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = s->instances[0].port,
		.method = EVHTTP_REQ_POST,
		.target = soak_paths[SOAK_IDEMPOTENT],
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
		.body = body,
		.len = len,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = ANSWER_MAX,
		.between_chunks = ANSWER_MAX,
		.response_max = 1 << 20,
		.ctx = &a,
		.head = on_head,
		.end = on_end,
	};
	ap_http_fetch_t *fetch;
	ap_usec_t until = ap_now() + ANSWER_MAX;

	assert_non_null(body);
	memset(body, 'b', len);
	fetch = ap_http_fetch(s->client, &config);
	assert_non_null(fetch);
	while (!a.q->done && ap_now() < until)
		scenario_run(s, SCENARIO_TURN);
	if (!a.q->done) {
		ap_http_fetch_cancel(fetch);
		a.q->done = true;
	}
	free(body);
	return a.end == AP_HTTP_COMPLETE ? a.status : 0;
}

unsigned crowd_peak_mb(pid_t pid)
{
	unsigned long kb = 0;
	char line[128];
	char path[64];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "VmHWM: %lu", &kb) == 1)
			break;
	}
	if (f)
		fclose(f);
	return (unsigned)(kb >> 10);
}

unsigned crowd_memory_max(void)
{
	return MEMORY_MAX_MB;
}

static unsigned descriptors(pid_t pid)
{
	unsigned n = 0;
	char path[64];
	DIR *dir;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	dir = opendir(path);
	while (dir && readdir(dir))
		n++;
	if (dir)
		closedir(dir);
	return n;
}

void crowd_await(soak_t *s, int done)
{
	struct pollfd p = {.fd = done, .events = POLLIN};
	ap_usec_t until = ap_now() + SENT_MAX;

	while (poll(&p, 1, 0) == 0 && ap_now() < until)
		scenario_run(s, SCENARIO_TURN);
	assert_true(p.revents & POLLIN);
	close(done);
	scenario_run(s, CROWD_HOLD);
}

/*
 * The instances have been started for this form alone: the peak of memory is that of a process.
 */
static bool check_crowd(crowd_t crowd)
{
	const form_t *form = crowd.form;
	void *state = NULL;
	unsigned bound = scenario_descriptors ? scenario_descriptors : DESCRIPTORS_MAX;
	unsigned memory;
	unsigned files;
	unsigned held;
	bool ok;
	int during;
	int after;
	soak_t *s;
	pid_t pid;
	int done;

	scenario_set_up(&state);
	s = state;
	crowd.first_port = s->instances[0].port;
	memory = crowd_peak_mb(s->instances[0].pid);
	print_message("%s, %zu clients at listeners %u to %u: %u MB before,", form->name, crowd.n,
		      crowd.from, crowd.to, memory);
	pid = crowd_start(&crowd, &done);
	crowd_await(s, done);
	held = descriptors(s->instances[0].pid);
	during = crowd_ask(s, 4);
	files = descriptors(s->instances[0].pid);
	memory = crowd_peak_mb(s->instances[0].pid);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	scenario_run(s, CROWD_HOLD);
	after = crowd_ask(s, CROWD_LARGE_BODY);
	print_message(" at most %u MB, %u and %u descriptors; status %d, %d after that\n", memory,
		      held, files, during, after);
	ok = s->instances[0].pid > 0 && memory > 0 && memory <= MEMORY_MAX_MB && files > 0 &&
	     files <= bound && (!crowd.again || held + FREE_DESCRIPTORS <= bound) &&
	     during == 200 && after == 200 && s->findings == 0;
	scenario_tear_down(&state);
	return ok;
}

static bool check(const form_t *form, size_t n, unsigned from, unsigned to)
{
	return check_crowd((crowd_t){.form = form, .n = n, .from = from, .to = to});
}

/* Guards against LOST: the process ends with the requests of all its callers. */
static void bodies_that_stop_short(void **state)
{
	(void)state;
	assert_true(check(&large_chunks, 40, 0, 0));
}

static void lengths_that_stop_short(void **state)
{
	(void)state;
	assert_true(check(&stated_length, 40, 0, 0));
}

static void small_chunks_that_stop_short(void **state)
{
	(void)state;
	assert_true(check(&small_chunks, 40, 0, 0));
}

/* The library keeps a buffer of 1 KB for each segment that ends with the data of a chunk. */
static void small_chunks_in_segments(void **state)
{
	(void)state;
	assert_true(check(&small_segments, 40, 0, 0));
}

static void bodies_over_the_limit(void **state)
{
	bool ok;

	(void)state;
	ok = check(&far_length, 40, 0, 0);
	ok &= check(&far_chunks, 40, 0, 0);
	ok &= check(&far_chunk, 40, 0, 0);
	assert_true(ok);
}

static void heads_without_end(void **state)
{
	bool ok;

	(void)state;
	ok = check(&far_head, 200, 0, 0);
	ok &= check(&far_field, 200, 0, 0);
	ok &= check(&near_head, 1000, 0, 0);
	assert_true(ok);
}

static void empty_lines_without_end(void **state)
{
	(void)state;
	assert_true(check(&empty_lines, 200, 0, 0));
}

/* The listeners share the memory of one process, so their limits may not add up. */
static void all_listeners(void **state)
{
	bool ok;

	(void)state;
	ok = check(&large_chunks, 40, 1, LISTENERS - 1);
	ok &= check(&small_segments, 40, 1, LISTENERS - 1);
	ok &= check(&near_head, 1000, 1, LISTENERS - 1);
	ok &= check(&empty_lines, 200, 1, LISTENERS - 1);
	assert_true(ok);
}

/* An instance holds what a client sends ahead while it doesn't read a response. */
static void responses_not_read(void **state)
{
	(void)state;
	assert_true(check(&unread, CROWD_MAX, PORT_METRICS, PORT_METRICS));
}

/* Without a free descriptor an instance accepts no caller, and reaches no upstream. */
static void connections_without_requests(void **state)
{
	bool ok;

	(void)state;
	scenario_descriptors = FEW_DESCRIPTORS;
	ok = check(&silent, 200, 0, 0);
	ok &= check(&begun, 200, 0, LISTENERS - 1);
	scenario_descriptors = 0;
	assert_true(ok);
}

/* Anyone may connect to the listener of messages between instances. */
static void connections_for_messages(void **state)
{
	bool ok;

	(void)state;
	scenario_descriptors = FEW_DESCRIPTORS;
	ok = check(&silent, 150, PORT_MESSAGES, PORT_MESSAGES);
	ok &= check(&begun, 150, PORT_MESSAGES, PORT_MESSAGES);
	scenario_descriptors = 0;
	assert_true(ok);
}

/* The same by strangers who come again as soon as they are turned away. */
static void connections_for_messages_again(void **state)
{
	crowd_t again = {.form = &silent, .n = 150, .from = PORT_MESSAGES, .to = PORT_MESSAGES};

	(void)state;
	again.again = true;
	scenario_descriptors = FEW_DESCRIPTORS;
	assert_true(check_crowd(again));
	scenario_descriptors = 0;
}

/* Memory of what a stranger sends there. */
static void messages_of_strangers(void **state)
{
	bool ok;

	(void)state;
	ok = check(&long_message, 200, PORT_MESSAGES, PORT_MESSAGES);
	ok &= check(&far_field, 200, PORT_MESSAGES, PORT_MESSAGES);
	assert_true(ok);
}

static const struct {
	const char *name;
	void (*run)(void **state);
} cases[] = {
	{"bodies", bodies_that_stop_short},
	{"lengths", lengths_that_stop_short},
	{"chunks", small_chunks_that_stop_short},
	{"segments", small_chunks_in_segments},
	{"over", bodies_over_the_limit},
	{"heads", heads_without_end},
	{"lines", empty_lines_without_end},
	{"listeners", all_listeners},
	{"unread", responses_not_read},
	{"connections", connections_without_requests},
	{"messages", connections_for_messages},
	{"again", connections_for_messages_again},
	{"strangers", messages_of_strangers},
	{"waiting", responses_that_many_wait_for},
	{"posted", responses_to_bodies_not_read},
	{"tiny", responses_to_many_fields},
	{"old", responses_without_chunks},
	{"many", responses_not_read_by_many},
	{"thousands", responses_not_read_by_thousands},
	{"large", responses_not_read_whole},
	{"ahead", responses_asked_ahead},
	{"neighbour", responses_of_a_neighbour},
	{"slow", responses_read_slowly},
	{"endless", responses_without_end},
	{"short", responses_that_stop_short},
	{"fields", requests_with_many_fields},
	{"extensions", chunks_with_extensions},
	{"framing", bodies_in_small_chunks},
	{"stamped", responses_with_many_fields},
	{"limits", limits_of_the_configuration},
	{"times", times_of_the_configuration},
};

int main(int argc, char **argv)
{
	struct CMUnitTest test = {0};

	for (size_t i = 0; argc == 3 && i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (strcmp(cases[i].name, argv[2]) == 0)
			test = (struct CMUnitTest){.name = argv[2], .test_func = cases[i].run};
	}
	if (!test.test_func) {
		fprintf(stderr, "usage: %s PROGRAM CASE\n", argv[0]);
		return EXIT_FAILURE;
	}
	snprintf(large_chunk, sizeof(large_chunk), "%x\r\n%0*d\r\n", CHUNK_BYTES, CHUNK_BYTES, 0);
	scenario_program = argv[1];
	scenario_memory_mb = CROWD_MEMORY_MB;
	return _cmocka_run_group_tests("crowd", &test, 1, NULL, NULL);
}
