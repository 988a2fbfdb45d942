/* The timeline of a process: a hybrid logical clock and a ring buffer of events. */
#include "log/log.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct slot {
	uint64_t number;
	ap_hlc_t at;
	ap_xid_t request;
	char kind[32];
	char detail[256];
} slot_t;

struct ap_ring {
	char instance[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	size_t max;
	uint64_t last;
	slot_t *slots;
};

ap_hlc_t ap_hlc_now(ap_hlc_t *clock, uint64_t wall_ms)
{
	if (wall_ms > clock->wall_ms) {
		clock->wall_ms = wall_ms;
		clock->count = 0;
	} else {
		clock->count++;
	}
	return *clock;
}

void ap_hlc_seen(ap_hlc_t *clock, ap_hlc_t peer, uint64_t wall_ms)
{
	if (peer.wall_ms > clock->wall_ms)
		*clock = peer;
	else if (peer.wall_ms == clock->wall_ms && peer.count > clock->count)
		clock->count = peer.count;
	ap_hlc_now(clock, wall_ms);
}

ap_ring_t *ap_ring_new(size_t max, const char *instance, const char *data_centre)
{
	ap_ring_t *ring = calloc(1, sizeof(*ring));

	if (!ring)
		return NULL;
	ring->max = max ? max : 1;
	ring->slots = calloc(ring->max, sizeof(*ring->slots));
	if (!ring->slots) {
		free(ring);
		return NULL;
	}
	ap_copy_name(ring->instance, sizeof(ring->instance), instance);
	ap_copy_name(ring->data_centre, sizeof(ring->data_centre), data_centre);
	return ring;
}

void ap_ring_free(ap_ring_t *ring)
{
	if (!ring)
		return;
	free(ring->slots);
	free(ring);
}

void ap_ring_add(ap_ring_t *ring, ap_hlc_t at, const ap_event_t *event)
{
	slot_t *slot = &ring->slots[ring->last % ring->max];

	slot->number = ++ring->last;
	slot->at = at;
	slot->request = event->request;
	ap_copy_name(slot->kind, sizeof(slot->kind), event->kind);
	ap_copy_name(slot->detail, sizeof(slot->detail), event->detail ? event->detail : "");
}

static json_t *slot_json(const ap_ring_t *ring, const slot_t *slot)
{
	char inc[AP_ID_TEXT_MAX];
	char request[AP_ID_TEXT_MAX + 24] = "";

	if (slot->request.seq) {
		ap_id_format(slot->request.inc, inc);
		snprintf(request, sizeof(request), "%s-%" PRIu64, inc, slot->request.seq);
	}
	return json_pack("{s:I,s:I,s:I,s:s,s:s,s:s,s:s,s:s}", "number", (json_int_t)slot->number,
			 "wall_ms", (json_int_t)slot->at.wall_ms, "count",
			 (json_int_t)slot->at.count, "instance", ring->instance, "data_centre",
			 ring->data_centre, "kind", slot->kind, "request", request, "detail",
			 slot->detail);
}

char *ap_ring_dump(const ap_ring_t *ring, uint64_t after)
{
	uint64_t first = ring->last > ring->max ? ring->last - ring->max + 1 : 1;
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return NULL;
	if (after >= first)
		first = after + 1;
	for (uint64_t n = first; n <= ring->last; n++) {
		json_t *line = slot_json(ring, &ring->slots[(n - 1) % ring->max]);

		if (!line)
			continue;
		json_dumpf(line, out, JSON_COMPACT);
		fputc('\n', out);
		json_decref(line);
	}
	fclose(out);
	return text;
}
