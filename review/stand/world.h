/*
 * Stand-ins for the cases: the platform's store, replicas, clients, and the start of the
 * project's own programs, all on 127.0.0.1. Written for the review, after PROTOCOL.md.
 */
#ifndef WORLD_H
#define WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define TEXT_MAX 65536

/* A configuration with two services and four routes, like those of ferias-stands. */
extern const char world_config[];

/* One HTTP message that was read. @head holds the request or status line and the headers. */
typedef struct msg {
	char head[16384];
	char *body;
	size_t len;
	bool complete; /* by its framing */
	int status;    /* of a response */
	char method[16];
	char target[1024];
} msg_t;

/* world.c */
double now_s(void); /* since the start of the program */
void sleep_s(double s);
/* Appends a line to record.txt, with the time. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void world_init(const char *record_path, const char *dir);
bool trouble(void); /* TROUBLE is not 0 */
int free_port_block(int n);
/* Ends with "could not run" (2). */
void cannot(const char *fmt, ...) __attribute__((format(printf, 1, 2), noreturn));
/* Stops all processes that were started and ends with @status. */
void finish(int status) __attribute__((noreturn));

/* Connections */
int dial(int port, double limit_s); /* -1 on failure */
bool send_all(int fd, const void *data, size_t len);
bool send_text(int fd, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
bool read_msg(int fd, msg_t *m, bool response, double limit_s);
void msg_free(msg_t *m);
/* Copies a header's value; empty if there is none. */
const char *header(const msg_t *m, const char *name, char out[512]);

typedef struct server server_t;
/* Returns false to close the connection. */
typedef bool (*handler_t)(void *ctx, int fd, const msg_t *req);
server_t *serve(int port, handler_t handler, void *ctx); /* a thread a connection */

/* Store */
int store_start(void); /* its port */
/* Another port of the same store, which rejects all calls with 503 while @rejects is set. */
int store_start_for(volatile bool *rejects);
void store_put(const char *key, const char *json);
void store_remove(const char *key);
/* Waits until @n instances have registered. */
bool store_instances(int n, double limit_s);

/* Gateways */
typedef struct gateway {
	char id[64];
	char region[64];
	int port; /* callers; then ready, directory, metrics, control, peer, peer messages */
	pid_t pid;
	char settings[512];
	char log[512];
} gateway_t;
void gateway_prepare(gateway_t *g, const char *id, const char *region, int store_port);
void gateway_start(gateway_t *g);
bool gateway_ready(gateway_t *g, double limit_s);
bool gateway_ended(gateway_t *g, int *status);
long gateway_rss_kb(const gateway_t *g);

/* Replicas: an entry in the store, written again at each heartbeat. */
void replica_register(const char *id, const char *service, const char *zone, int port, int slots,
		      const char *version);
/* The replica reports that it is draining; with @left_ms above 0 it is gone after that time. */
void replica_leaves(const char *id, int left_ms);

/* A stand-in in a process of its own. To be called before threads are started. */
pid_t fork_stand_in(void (*run)(void *ctx), void *ctx);
void kill_stand_in(pid_t pid);

#endif
