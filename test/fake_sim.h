/* Virtual time: a heap of events, run in the order of their time, then of their insertion. */
#ifndef AP_TEST_FAKE_SIM_H
#define AP_TEST_FAKE_SIM_H

#include "port/port.h"

#include <stdlib.h>

#define FAKE __attribute__((unused)) static

typedef struct fake_event {
	ap_usec_t at;
	uint64_t seq;
	void (*run)(void *arg, void *data);
	void *arg;
	void *data; /* owned by the event; freed after it ran */
} fake_event_t;

typedef struct fake_sim {
	ap_usec_t now;
	ap_rng_t rng;
	uint64_t events;
	uint64_t seq;
	fake_event_t *heap;
	size_t n;
	size_t capacity;
} fake_sim_t;

FAKE bool fake_earlier(const fake_event_t *a, const fake_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

/* fake_at() - runs @run with @arg and @data, which must come from malloc() or be NULL, at @at. */
FAKE void fake_at(fake_sim_t *sim, ap_usec_t at, void (*run)(void *, void *), void *arg, void *data)
{
	fake_event_t event = {at, ++sim->seq, run, arg, data};
	size_t i = sim->n++;

	if (sim->n > sim->capacity) {
		sim->capacity = sim->capacity ? sim->capacity * 2 : 1024;
		sim->heap = realloc(sim->heap, sim->capacity * sizeof(*sim->heap));
		if (!sim->heap)
			abort();
	}
	while (i > 0 && fake_earlier(&event, &sim->heap[(i - 1) / 2])) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = event;
}

FAKE fake_event_t fake_pop(fake_sim_t *sim)
{
	fake_event_t first = sim->heap[0];
	fake_event_t last = sim->heap[--sim->n];
	size_t i = 0;

	while (2 * i + 1 < sim->n) {
		size_t child = 2 * i + 1;

		if (child + 1 < sim->n && fake_earlier(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!fake_earlier(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return first;
}

/* fake_run() - runs the events up to @until, then sets the clock to @until. */
FAKE void fake_run(fake_sim_t *sim, ap_usec_t until)
{
	while (sim->n > 0 && sim->heap[0].at <= until) {
		fake_event_t event = fake_pop(sim);

		sim->now = event.at;
		sim->events++;
		event.run(event.arg, event.data);
		/* false positive: the analyzer confuses this event with the next one */
		free(event.data); /* NOLINT(clang-analyzer-unix.Malloc) */
	}
	sim->now = until;
}

/* fake_junk() - random bytes of a random length below @size. Return: the length. */
FAKE size_t fake_junk(ap_rng_t *rng, unsigned char *junk, size_t size)
{
	size_t len = ap_rng_below(rng, size);

	for (size_t i = 0; i < len; i++)
		junk[i] = (unsigned char)ap_rng_u64(rng);
	return len;
}

FAKE void fake_sim_clear(fake_sim_t *sim)
{
	for (size_t i = 0; i < sim->n; i++)
		free(sim->heap[i].data);
	free(sim->heap);
}

#endif
