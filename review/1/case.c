/*
 * Clients send proper requests with a body, among them GET requests, to an idempotent route; the
 * body holds the text of another request. A replica must get that body unchanged, and nothing else.
 * Without the trouble the same bodies are sent with POST.
 */
#define _GNU_SOURCE
#include "../stand/world.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define REQUESTS 8

typedef struct sent {
	char id[64];
	char method[16];
	char target[128];
	char body[1024];
} sent_t;

static sent_t all[REQUESTS];
static size_t n_sent;
static int smuggled;
static int changed;
static int runs;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void check(const msg_t *req, const char *id)
{
	const sent_t *s = NULL;

	for (size_t i = 0; i < n_sent; i++) {
		if (strcmp(all[i].id, id) == 0)
			s = &all[i];
	}
	runs++;
	if (!s) {
		smuggled++;
		record("BROKEN: no client sent a request with id %s", id);
	} else if (strcmp(s->method, req->method) != 0 || strcmp(s->target, req->target) != 0 ||
		   strlen(s->body) != req->len ||
		   (req->len && memcmp(s->body, req->body, req->len) != 0)) {
		changed++;
		record("BROKEN: %s was sent with a body of %zu bytes and runs with %zu", id,
		       strlen(s->body), req->len);
	}
}

static bool on_replica(void *ctx, int fd, const msg_t *req)
{
	char id[512];

	header(req, "Request-Id", id);
	if (strcmp(req->target, "/health") == 0)
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
				 (const char *)ctx);
	pthread_mutex_lock(&lock);
	record("replica %s runs %s %s, id %s, body %zu bytes", (const char *)ctx, req->method,
	       req->target, id, req->len);
	check(req, id);
	pthread_mutex_unlock(&lock);
	sleep_s(0.03);
	return send_text(fd,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s.%s\r\n"
			 "Content-Length: 4\r\n\r\ndone",
			 id, id);
}

/* Sends request @i to @g: with a length, or in chunks. */
static void send_one(const gateway_t *g, unsigned i)
{
	const char *method = trouble() ? "GET" : "POST";
	bool chunks = i % 2 == 1;
	sent_t *s = &all[n_sent];
	char framing[64];
	int fd = dial(g->port, 1);
	msg_t m;

	snprintf(s->id, sizeof(s->id), "c0ffee%02u", i);
	snprintf(s->method, sizeof(s->method), "%s", method);
	snprintf(s->target, sizeof(s->target), "/estado/plano%u", i);
	snprintf(s->body, sizeof(s->body),
		 "POST /reserva/stand HTTP/1.1\r\nHost: ferias.example\r\nRequest-Id: "
		 "5badbad%02u\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
		 i);
	n_sent++;
	snprintf(framing, sizeof(framing), "Content-Length: %zu", strlen(s->body));
	record("client sends %s %s, id %s, body %zu bytes %s, to %s", method, s->target, s->id,
	       strlen(s->body), chunks ? "in chunks" : "with its length", g->id);
	if (fd < 0)
		cannot("%s doesn't accept", g->id);
	send_text(fd,
		  "%s %s HTTP/1.1\r\nHost: ferias.example\r\nRequest-Id: %s\r\nDeadline-Ms: "
		  "4000\r\n%s\r\n\r\n",
		  method, s->target, s->id, chunks ? "Transfer-Encoding: chunked" : framing);
	if (chunks)
		send_text(fd, "%zx\r\n%s\r\n0\r\n\r\n", strlen(s->body), s->body);
	else
		send_all(fd, s->body, strlen(s->body));
	if (read_msg(fd, &m, true, 3)) {
		char id[512];

		record("client gets %d for id %s", m.status, header(&m, "Request-Id", id));
		msg_free(&m);
	} else {
		record("client gets no answer for id %s", s->id);
	}
	sleep_s(0.3); /* before the client closes its channel */
	close(fd);
}

/* For the record only: how many requests the instance says that it received and sent. */
static void record_counters(const gateway_t *g)
{
	static const char *const names[] = {"arbutuspond_requests_total ",
					    "arbutuspond_sends_total "};
	int fd = dial(g->port + 3, 1);
	msg_t m;

	if (fd < 0)
		return;
	send_text(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	if (read_msg(fd, &m, true, 2)) {
		for (int i = 0; i < 2; i++) {
			const char *at = m.body ? strstr(m.body, names[i]) : NULL;

			if (at)
				record("%s: %.*s", g->id, (int)strcspn(at, "\n"), at);
		}
		msg_free(&m);
	}
	close(fd);
}

int main(int argc, char **argv)
{
	static const char *const ids[] = {"i-mesa1", "i-mesa2"};
	gateway_t g[2];
	int store;

	if (argc < 3)
		return 2;
	world_init(argv[1], argv[2]);
	store = store_start();
	store_put("op/config", world_config);
	for (int i = 0; i < 2; i++) {
		int port = free_port_block(1);

		serve(port, on_replica, (void *)ids[i]);
		replica_register(ids[i], "mesa", "litoral-a", port, 6, "v1");
	}
	gateway_prepare(&g[0], "front-litoral-a-1", "litoral", store);
	gateway_prepare(&g[1], "front-litoral-a-2", "litoral", store);
	for (int i = 0; i < 2; i++)
		gateway_start(&g[i]);
	for (int i = 0; i < 2; i++) {
		if (!gateway_ready(&g[i], 15))
			cannot("%s isn't ready", g[i].id);
	}
	sleep_s(3);
	for (unsigned i = 0; i < REQUESTS; i++)
		send_one(&g[i % 4 / 2], i);
	sleep_s(1);
	for (int i = 0; i < 2; i++)
		record_counters(&g[i]);
	record("%zu requests sent, %d runs: %d that no client sent, %d with a changed body", n_sent,
	       runs, smuggled, changed);
	if (runs == 0)
		cannot("nothing ran");
	finish(smuggled > 0 || changed > 0 ? 1 : 0);
}
