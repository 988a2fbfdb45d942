/*
 * Upstreams that respond without end, in a head or a body, until the connection is closed, or with
 * an invalid status, against real instances of two regions, which also forward to each other. No
 * caller gets such a status. Their memory stays within that of the smallest machine, and requests
 * to sound upstreams are served.
 */
#include "../soak/scenario.h"

#include <jansson.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define RATE 250 /* requests a second, to all instances by turns */
#define SOUND_EVERY 5
#define SPAN (600 * AP_MSEC)
#define LISTED (400 * AP_MSEC) /* until instances use an upstream that was listed */
#define DEADLINE (3 * AP_SEC)
#define MEMORY_MAX_MB 160 /* of the smallest machine */
#define FLOODERS 2
#define WRITE_BYTES (64 << 10)
#define OWN "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n"

/* @head takes the request's id; then @repeat without end. */
typedef struct form {
	const char *name;
	const char *head;
	const char *repeat;
} form_t;

static const form_t forms[] = {
	{"a head", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "X-Pad: padding\r\n"},
	{"a header", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Pad: ", "padding"},
	{"a body without its digest", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "padding"},
	{"a body without framing", OWN "\r\n", "padding"},
	{"a body of a stated length", OWN "Content-Length: 99999999999\r\n\r\n", "padding"},
	{"chunks", OWN "Transfer-Encoding: chunked\r\n\r\n", "7\r\npadding\r\n"},
	{"one chunk", OWN "Transfer-Encoding: chunked\r\n\r\nfffff0\r\n", "padding"},
	{"the size of a chunk", OWN "Transfer-Encoding: chunked\r\n\r\n", "0000000"},
	{"events", OWN "Content-Type: text/event-stream\r\n\r\n", "data: padding\n\n"},
	{"an error", "HTTP/1.1 500 No\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n\r\n", "padding"},
	{"an invalid status",
	 "HTTP/1.1 600 No\r\nServer-Stamp: s\r\nRequest-Id: %s\r\nContent-Length: 7\r\n\r\n",
	 "padding"},
	{"a status of four digits", "HTTP/1.1 2000 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n\r\n",
	 "data: padding\n\n"},
	{"a refusal", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: %s\r\n\r\n", "padding"},
};

/* ---- the upstreams' process ---- */

typedef struct flooder {
	const form_t *form;
	int listener;
} flooder_t;

typedef struct flood_conn {
	const form_t *form;
	int fd;
} flood_conn_t;

static void read_id(int fd, char id[32])
{
	char text[8192];
	size_t len = 0;
	const char *at;

	id[0] = '\0';
	while (len < sizeof(text) - 1) {
		ssize_t n = recv(fd, text + len, sizeof(text) - 1 - len, 0);

		if (n <= 0)
			return;
		len += (size_t)n;
		text[len] = '\0';
		if (strstr(text, "\r\n\r\n"))
			break;
	}
	at = strcasestr(text, "Request-Id: ");
	if (at)
		(void)sscanf(at + strlen("Request-Id: "), "%31[^\r]", id);
}

static void *flood(void *arg)
{
	flood_conn_t c = *(flood_conn_t *)arg;
	size_t unit = strlen(c.form->repeat);
	char bytes[WRITE_BYTES];
	char head[256];
	char id[32];
	int len;

	free(arg);
	read_id(c.fd, id);
	len = snprintf(head, sizeof(head), c.form->head, id);
	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = c.form->repeat[i % unit];
	if (send(c.fd, head, (size_t)len, MSG_NOSIGNAL) == len) {
		while (send(c.fd, bytes, sizeof(bytes) - sizeof(bytes) % unit, MSG_NOSIGNAL) > 0)
			;
	}
	close(c.fd);
	return NULL;
}

static void *accept_all(void *arg)
{
	const flooder_t *f = arg;

	for (;;) {
		flood_conn_t *c = calloc(1, sizeof(*c));
		pthread_t thread;

		if (!c)
			abort();
		*c = (flood_conn_t){.form = f->form, .fd = accept(f->listener, NULL, NULL)};
		if (c->fd < 0 || pthread_create(&thread, NULL, flood, c) != 0) {
			close(c->fd);
			free(c);
			continue;
		}
		pthread_detach(thread);
	}
	return NULL;
}

static int listen_anywhere(uint16_t *port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(fd, 128), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	*port = ntohs(addr.sin_port);
	return fd;
}

static pid_t start_flooders(const form_t *form, uint16_t ports[FLOODERS])
{
	flooder_t flooders[FLOODERS];
	pid_t pid;

	for (int i = 0; i < FLOODERS; i++)
		flooders[i] = (flooder_t){form, listen_anywhere(&ports[i])};
	pid = fork();
	for (int i = 0; i < FLOODERS; i++) {
		pthread_t thread;

		if (pid != 0)
			close(flooders[i].listener);
		else if (pthread_create(&thread, NULL, accept_all, &flooders[i]) != 0)
			_exit(EXIT_FAILURE);
	}
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		for (;;)
			pause();
	}
	return pid;
}

/* ---- the test ---- */

/* Lists the flooder of @form, or removes it where @port is 0. */
static void list_flooder(soak_t *s, const form_t *form, const char *pool, unsigned region,
			 uint16_t port)
{
	char key[64];
	char addr[32];
	char dc[32];
	json_t *o;
	char *text;

	snprintf(key, sizeof(key), "servers/flood-%zu-%u", (size_t)(form - forms), region);
	if (port == 0) {
		store_remove(s->store, key);
		return;
	}
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", port);
	snprintf(dc, sizeof(dc), "%s-1", soak_regions[region]);
	o = json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:I}", "service", pool, "addr", addr, "zone", dc,
		      "slots", 64, "state", "ready", "coldLeftMs", 0, "seq",
		      (json_int_t)(ap_now() / AP_MSEC));
	text = json_dumps(o, JSON_COMPACT);
	store_put(s->store, key, text, 0);
	free(text);
	json_decref(o);
}

static void remove_pool(soak_t *s, const char *pool)
{
	for (size_t i = 0; i < s->n_replicas; i++) {
		char key[96];

		if (strcmp(s->replicas[i].pool, pool) != 0)
			continue;
		replica_stop(&s->replicas[i]);
		snprintf(key, sizeof(key), "servers/%s", s->replicas[i].id);
		store_remove(s->store, key);
	}
}

typedef struct counts {
	unsigned sent;
	unsigned ended;
	unsigned served;
	unsigned malformed;
} counts_t;

typedef struct call {
	request_t *q;
	counts_t *counts;
	int status;
} call_t;

static void on_head(void *ctx, const ap_http_head_t *head)
{
	((call_t *)ctx)->status = head->status;
}

static void on_end(void *ctx, ap_http_end_t end, bool written)
{
	call_t *c = ctx;

	(void)written;
	c->q->done = true;
	c->counts->ended++;
	c->counts->malformed += end == AP_HTTP_MALFORMED;
	c->counts->served += end == AP_HTTP_COMPLETE && c->status == 200;
	free(c);
}

static void send_request(soak_t *s, soak_kind_t kind, const instance_t *inst, counts_t *counts)
{
	call_t *c = calloc(1, sizeof(*c));
	ap_http_header_t headers[] = {
		{"Host", "soak.example"}, {"Request-Id", NULL}, {"Deadline-Ms", "3000"}};
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = inst->port,
		.method = EVHTTP_REQ_POST,
		.target = soak_paths[kind],
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
		.body = "body",
		.len = 4,
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = 2 * DEADLINE,
		.between_chunks = 2 * DEADLINE,
		.idle = 10 * AP_SEC,
		.response_max = 32 << 20,
		.ctx = c,
		.head = on_head,
		.end = on_end,
	};

	*c = (call_t){.q = caller_request(s, kind), .counts = counts};
	headers[1].value = c->q->id;
	counts->sent++;
	assert_non_null(ap_http_fetch(s->client, &config));
}

static unsigned memory_mb(pid_t pid)
{
	unsigned long pages = 0;
	char path[64];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f, "%*u %lu", &pages) != 1)
		pages = 0;
	fclose(f);
	return (unsigned)(pages * (unsigned long)sysconf(_SC_PAGESIZE) >> 20);
}

static unsigned most_memory(const soak_t *s)
{
	unsigned most = 0;

	for (size_t i = 0; i < s->n_instances; i++) {
		unsigned now = memory_mb(s->instances[i].pid);

		most = now > most ? now : most;
	}
	return most;
}

static bool has_invalid_status(const form_t *form)
{
	return strtol(form->head + strlen("HTTP/1.1 "), NULL, 10) > 599;
}

/* The pool of the kinds from @first on floods, the other one is sound. */
static void check_form(soak_t *s, const form_t *form, const char *pool, unsigned first)
{
	unsigned other = first == SOAK_ONCE ? SOAK_STREAM : SOAK_ONCE;
	counts_t flooded = {0};
	counts_t sound = {0};
	uint16_t ports[FLOODERS];
	pid_t pid = start_flooders(form, ports);
	ap_usec_t next = ap_now() + LISTED;
	ap_usec_t until = next + SPAN;
	unsigned memory = 0;

	for (unsigned region = 0; region < REGIONS; region++)
		list_flooder(s, form, pool, region, ports[region]);
	for (unsigned i = 0; next < until; i++, next += AP_SEC / RATE) {
		const instance_t *inst = &s->instances[i % s->n_instances];

		while (ap_now() < next)
			scenario_run(s, next - ap_now());
		memory = most_memory(s) > memory ? most_memory(s) : memory;
		if (i % SOUND_EVERY == 0)
			send_request(s, (soak_kind_t)(other + i % 2), inst, &sound);
		else
			send_request(s, (soak_kind_t)(first + i % 2), inst, &flooded);
	}
	while ((sound.ended < sound.sent || flooded.ended < flooded.sent) &&
	       ap_now() < until + 2 * DEADLINE)
		scenario_run(s, SCENARIO_TURN);
	for (unsigned region = 0; region < REGIONS; region++)
		list_flooder(s, form, pool, region, 0);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	print_message("%s, %s: %u requests, %u served; %u of %u at sound upstreams served; at most "
		      "%u MB\n",
		      pool, form->name, flooded.sent, flooded.served, sound.served, sound.sent,
		      memory);
	assert_true(memory > 0 && memory < MEMORY_MAX_MB);
	assert_int_equal(sound.served, sound.sent);
	assert_int_equal(flooded.ended, flooded.sent);
	/* Others are cut where they get too large. */
	if (has_invalid_status(form))
		assert_int_equal(flooded.malformed, 0);
	assert_int_equal(s->findings, 0);
}

static void check_all(const char *pool, soak_kind_t first)
{
	void *state = NULL;

	scenario_set_up(&state);
	remove_pool(state, pool);
	for (size_t i = 0; i < sizeof(forms) / sizeof(forms[0]); i++)
		check_form(state, &forms[i], pool, first);
	scenario_tear_down(&state);
}

/*
 * Guards against LOST: an instance holds what an upstream sends without end until it is out of
 * memory, and the requests of all its callers end with it.
 */
static void responses_without_end_leave_memory_and_other_callers_alone(void **state)
{
	(void)state;
	check_all("desk", SOAK_ONCE);
}

static void streams_without_end_leave_memory_and_other_callers_alone(void **state)
{
	(void)state;
	check_all("engines", SOAK_STREAM);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(responses_without_end_leave_memory_and_other_callers_alone),
		cmocka_unit_test(streams_without_end_leave_memory_and_other_callers_alone),
	};

	if (argc != 2) {
		fprintf(stderr, "usage: %s PROGRAM\n", argv[0]);
		return EXIT_FAILURE;
	}
	scenario_program = argv[1];
	return cmocka_run_group_tests(tests, NULL, NULL);
}
