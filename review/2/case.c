/*
 * One replica is in trouble for two of its answers: bytes that are no answer come without end in
 * the head, until the caller closes. The first is the answer to a client's request, the second the
 * answer to the health check that follows. Meanwhile clients use a sound service. The platform
 * kills a process whose memory is above its limit.
 */
#define _GNU_SOURCE
#include "../stand/world.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/wait.h>
#include <unistd.h>

#define MEMORY_LIMIT_KB (260 * 1024) /* memory_mb = 260 of the site file */
#define BYTES_PER_S 60e6	     /* under half of link_mbps = 1000 */
#define SPOILED_MAX 2
#define CLIENTS 12
#define WORK_S 0.15
#define TIME_S 75

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int spoiled;
static volatile bool over;
static int lost;
static int answered;
static gateway_t gate;

/* Ids of requests that reached a sound replica. */
static char passed[65536][16];
static size_t n_passed;

static void endless(int fd, const char *what)
{
	static char line[8192 + 1];
	double from = now_s();
	double sent = 0;

	snprintf(line, sizeof(line), "X-Pad: %0*d\r\n", 8192 - 9, 0);
	record("replica i-trouble answers %s with a head without end", what);
	send_text(fd, "HTTP/1.1 200 OK\r\n");
	while (send_all(fd, line, 8192)) {
		double due = from + (sent += 8192) / BYTES_PER_S;

		if (due > now_s())
			sleep_s(due - now_s());
	}
	record("the channel of %s ended after %.1f s and %.1f MB", what, now_s() - from,
	       sent / 1e6);
}

static bool on_replica(void *ctx, int fd, const msg_t *req)
{
	const char *name = ctx;
	bool bad = false;
	char id[512];

	header(req, "Request-Id", id);
	if (strcmp(name, "i-trouble") == 0) {
		pthread_mutex_lock(&lock);
		bad = trouble() && spoiled < SPOILED_MAX;
		spoiled += bad;
		pthread_mutex_unlock(&lock);
	}
	if (bad) {
		endless(fd, *id ? id : "a health check");
		return false;
	}
	if (strcmp(req->target, "/health") == 0)
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
				 name);
	if (strncmp(name, "i-mesa", 6) == 0) {
		pthread_mutex_lock(&lock);
		if (n_passed < 65536)
			snprintf(passed[n_passed++], 16, "%.15s", id);
		pthread_mutex_unlock(&lock);
		sleep_s(WORK_S);
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s.%s\r\n"
				 "Content-Length: 4\r\n\r\ndone",
				 id, id);
	}
	return send_text(fd,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s.%s\r\nContent-Type: "
			 "text/event-stream\r\nContent-Length: 14\r\n\r\nid: 1\ndata: a\n\n",
			 id, id) &&
	       false;
}

static bool was_passed(const char *id)
{
	bool found = false;

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < n_passed && !found; i++)
		found = strcmp(passed[i], id) == 0;
	pthread_mutex_unlock(&lock);
	return found;
}

/* A client that sends one request after the other on a kept channel. */
static void *client(void *arg)
{
	unsigned me = (unsigned)(uintptr_t)arg;
	int fd = -1;

	for (unsigned n = 0; !over; n++) {
		bool kept = fd >= 0;
		char id[16];
		msg_t m;

		if (fd < 0)
			fd = dial(gate.port, 1);
		if (fd < 0) {
			sleep_s(0.2);
			continue;
		}
		snprintf(id, sizeof(id), "c%02u%06u", me, n);
		send_text(fd,
			  "POST /reserva/stand HTTP/1.1\r\nHost: ferias.example\r\nRequest-Id: "
			  "%s\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nstand",
			  id);
		if (read_msg(fd, &m, true, 5) && m.complete) {
			pthread_mutex_lock(&lock);
			answered++;
			pthread_mutex_unlock(&lock);
			msg_free(&m);
			sleep_s(0.02);
			continue;
		}
		msg_free(&m);
		close(fd);
		fd = -1;
		if (over || !kept || !was_passed(id))
			continue;
		pthread_mutex_lock(&lock);
		lost++;
		pthread_mutex_unlock(&lock);
		record("LOST: %s was passed on to a sound replica, and its kept channel closed "
		       "without an answer",
		       id);
	}
	return NULL;
}

/* One request to the service of the replica in trouble. */
static void consult(unsigned n)
{
	int fd = dial(gate.port, 1);
	msg_t m;

	if (fd < 0)
		return;
	send_text(fd,
		  "POST /consulta/duda HTTP/1.1\r\nHost: ferias.example\r\nRequest-Id: q%07u\r\n"
		  "Model: m\r\nToken-Count: 200,40\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n"
		  "\r\nduda",
		  n);
	if (read_msg(fd, &m, true, 5)) {
		if (n < 5)
			record("q%07u gets %d", n, m.status);
		msg_free(&m);
	}
	close(fd);
}

int main(int argc, char **argv)
{
	static const char *const ids[] = {"i-mesa1", "i-mesa2", "i-mesa3", "i-asist1", "i-trouble"};
	pthread_t t[CLIENTS];
	double until;
	double shown = 0;
	int store;
	int status = 0;
	bool killed = false;
	long most = 0;

	if (argc < 3)
		return 2;
	world_init(argv[1], argv[2]);
	store = store_start();
	store_put("op/config", world_config);
	for (int i = 0; i < 5; i++) {
		int port = free_port_block(1);

		serve(port, on_replica, (void *)ids[i]);
		replica_register(ids[i], i < 3 ? "mesa" : "asistente", "litoral-a", port,
				 i < 3 ? 6 : 64, "v1");
	}
	gateway_prepare(&gate, "front-litoral-a-1", "litoral", store);
	gateway_start(&gate);
	if (!gateway_ready(&gate, 15))
		cannot("%s isn't ready", gate.id);
	sleep_s(3);
	for (uintptr_t i = 0; i < CLIENTS; i++)
		pthread_create(&t[i], NULL, client, (void *)i);
	until = now_s() + TIME_S;
	for (unsigned n = 0; now_s() < until && !killed; n++) {
		long kb;

		if (n % 10 == 0 && (!trouble() || spoiled < SPOILED_MAX))
			consult(n / 10);
		sleep_s(0.02);
		kb = gateway_rss_kb(&gate);
		most = kb > most ? kb : most;
		if (now_s() > shown + 1) {
			shown = now_s();
			record("memory of %s: %ld MB; answered so far: %d", gate.id, kb / 1024,
			       answered);
		}
		if (gateway_ended(&gate, &status)) {
			record("%s ended by itself, status %x", gate.id, (unsigned)status);
			killed = true;
		} else if (kb > MEMORY_LIMIT_KB) {
			record("memory of %s is %ld MB, over its limit: the platform kills it",
			       gate.id, kb / 1024);
			kill(gate.pid, SIGKILL);
			killed = true;
		}
	}
	if (killed)
		sleep_s(1.5);
	over = true;
	record("most memory %ld MB; %d answered; %d requests lost (more than 3 break the rule)",
	       most / 1024, answered, lost);
	if (answered == 0 || (trouble() && spoiled < SPOILED_MAX))
		cannot("%d answered, %d spoiled", answered, spoiled);
	finish(lost > 3 ? 1 : 0);
}
