/*
 * One replica of three is faulty for some seconds: in one of twenty answers it sends bytes that are
 * no answer in the protocol: HTTP with status 200 and the request's id, but without Server-Stamp
 * and with another body. No client may get them as a success.
 */
#define _GNU_SOURCE
#include "../stand/world.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define CLIENTS 6
#define TIME_S 20
#define FAULTY_S 5.5 /* as for_s of garble */
#define EVERY 20     /* one in so many of the faulty replica's answers: .05 */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool over;
static volatile bool faulty;
static unsigned asked;
static unsigned spoiled;
static unsigned answers;
static unsigned unsigned_2xx;
static gateway_t gates[2];

static bool on_replica(void *ctx, int fd, const msg_t *req)
{
	const char *name = ctx;
	bool bad = false;
	char id[512];

	header(req, "Request-Id", id);
	if (strcmp(req->target, "/health") == 0)
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
				 name);
	sleep_s(0.03);
	if (strcmp(name, "i-mesa3") == 0 && faulty) {
		pthread_mutex_lock(&lock);
		bad = asked++ % EVERY == 0;
		spoiled += bad;
		pthread_mutex_unlock(&lock);
	}
	if (bad) {
		record("replica %s answers %s with bytes that are no answer", name, id);
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 7\r\n"
				 "\r\nspoiled",
				 id);
	}
	return send_text(fd,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
			 "Content-Length: 4\r\n\r\ndone",
			 id, name, id);
}

static void *client(void *arg)
{
	unsigned me = (unsigned)(uintptr_t)arg;

	for (unsigned n = 0; !over; n++) {
		const gateway_t *g = &gates[n % 2];
		int fd = dial(g->port, 1);
		char id[16];
		msg_t m;

		if (fd < 0)
			continue;
		snprintf(id, sizeof(id), "c%02u%06u", me, n);
		if (n % 2 == 0)
			send_text(fd,
				  "POST /reserva/stand HTTP/1.1\r\nHost: ferias.example\r\n"
				  "Request-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\n"
				  "stand",
				  id);
		else
			send_text(fd,
				  "GET /estado/plano HTTP/1.1\r\nHost: ferias.example\r\n"
				  "Request-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n",
				  id);
		if (read_msg(fd, &m, true, 5)) {
			char stamp[512];

			header(&m, "Server-Stamp", stamp);
			pthread_mutex_lock(&lock);
			answers++;
			if (m.status >= 200 && m.status < 300 && !*stamp) {
				unsigned_2xx++;
				record("BROKEN: client gets %d without Server-Stamp for %s, body "
				       "\"%.*s\"",
				       m.status, id, (int)m.len, m.body ? m.body : "");
			}
			pthread_mutex_unlock(&lock);
			msg_free(&m);
		}
		close(fd);
		sleep_s(0.03);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static const char *const ids[] = {"i-mesa1", "i-mesa2", "i-mesa3"};
	pthread_t t[CLIENTS];
	int store;

	if (argc < 3)
		return 2;
	world_init(argv[1], argv[2]);
	store = store_start();
	store_put("op/config", world_config);
	for (int i = 0; i < 3; i++) {
		int port = free_port_block(1);

		serve(port, on_replica, (void *)ids[i]);
		replica_register(ids[i], "mesa", "litoral-a", port, 6, "v1");
	}
	gateway_prepare(&gates[0], "front-litoral-a-1", "litoral", store);
	gateway_prepare(&gates[1], "front-litoral-a-2", "litoral", store);
	for (int i = 0; i < 2; i++)
		gateway_start(&gates[i]);
	for (int i = 0; i < 2; i++) {
		if (!gateway_ready(&gates[i], 15))
			cannot("%s isn't ready", gates[i].id);
	}
	sleep_s(3);
	for (uintptr_t i = 0; i < CLIENTS; i++)
		pthread_create(&t[i], NULL, client, (void *)i);
	sleep_s(5);
	faulty = trouble();
	record("%s", faulty ? "i-mesa3 is faulty from now on" : "no replica is faulty");
	sleep_s(FAULTY_S);
	faulty = false;
	record("all replicas are sound");
	sleep_s(TIME_S - 5 - FAULTY_S);
	over = true;
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(t[i], NULL);
	record("%u answers to clients; %u answers spoiled; %u successes without Server-Stamp",
	       answers, spoiled, unsigned_2xx);
	if (answers == 0 || (trouble() && spoiled == 0))
		cannot("no answers, or none spoiled");
	finish(unsigned_2xx > 0 ? 1 : 0);
}
