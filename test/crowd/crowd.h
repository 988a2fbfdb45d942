/* Clients that fill an instance, in a process of their own, and an upstream that answers them. */
#ifndef CROWD_H
#define CROWD_H

#include "../soak/scenario.h"

#define CROWD_MEMORY_MB 64    /* setting of the instances, and what each may take */
#define CROWD_SMALLEST_MB 120 /* memory of the smallest machine */
#define CROWD_HOLD (300 * AP_MSEC)
#define CROWD_LARGE_BODY (4 << 20)

/*
 * What each client sends: @head, which takes the client's number, @repeat @times times, and then
 * nothing more.
 * @alone: each @repeat is sent in a segment of its own
 */
typedef struct form {
	const char *name;
	const char *head;
	const char *repeat;
	size_t times;
	bool alone;
} form_t;

/*
 * The clients of a form, spread over listeners of an instance, which have consecutive ports.
 * @in_turn: each client has sent all before the next one begins
 * @window: the kernel holds little of what the instance sends
 * @reads: bytes that a client reads every 5 ms; 0: it reads nothing
 * @again: a client whose connection was closed opens another one
 * @fills: an instance may refuse other requests meanwhile
 */
typedef struct crowd {
	const form_t *form;
	size_t n;
	uint16_t first_port;
	unsigned from;
	unsigned to;
	bool in_turn;
	bool window;
	size_t reads;
	bool again;
	bool fills;
} crowd_t;

/*
 * What an upstream responds to a request whose target contains "large": @head, which takes the
 * request's id, then @repeat up to @bytes. Others get a small response.
 * @stops: nothing follows then, and the connection stays open
 */
typedef struct source {
	const char *head;
	const char *repeat;
	size_t bytes;
	bool stops;
} source_t;

typedef enum place {
	EVERYWHERE,
	NEIGHBOUR, /* the upstream is in the other region than the instance that the clients use */
} place_t;

#define LISTED (500 * AP_MSEC) /* until instances use an upstream that was listed */

/* clients.c */
/* Starts the clients, which stay connected; @done gets a byte once they send nothing more. */
pid_t crowd_start(const crowd_t *crowd, int *done);

/* upstream.c */
/* Starts an upstream. Return: its process. */
pid_t source_start(const source_t *source, uint16_t *port);

/* main.c */
/* Sends an ordinary request with a body of @len bytes to the first instance. Return: its status. */
int crowd_ask(soak_t *s, size_t len);
/* Runs the event loop until the crowd of @done has sent all, and CROWD_HOLD longer. */
void crowd_await(soak_t *s, int done);
/* Most memory that a process has had, in MB; 0 if it has ended. */
unsigned crowd_peak_mb(pid_t pid);
/* Most memory that a process may have, in MB. */
unsigned crowd_memory_max(void);

/* responses.c */
/* Makes the upstream at @port the only one of @pool. */
void list_upstream(soak_t *s, const char *pool, place_t place, uint16_t port);
void responses_not_read_whole(void **state);
void responses_not_read_by_many(void **state);
void responses_not_read_by_thousands(void **state);
void responses_that_many_wait_for(void **state);
void responses_to_bodies_not_read(void **state);
void responses_to_many_fields(void **state);
void responses_without_chunks(void **state);
void responses_asked_ahead(void **state);
void responses_of_a_neighbour(void **state);
void responses_read_slowly(void **state);
void responses_without_end(void **state);
void responses_that_stop_short(void **state);

/* calm.c */
void requests_with_many_fields(void **state);
void bodies_in_small_chunks(void **state);
void chunks_with_extensions(void **state);
void responses_with_many_fields(void **state);
void limits_of_the_configuration(void **state);
void times_of_the_configuration(void **state);

#endif
