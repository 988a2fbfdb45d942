/* Cache events of engines: one ZeroMQ subscription for each engine that this instance polls. */
#include "control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "wire/wire.h"

#define EVENT_BYTES_MAX (64 << 10)
#define EVENT_BLOCKS_MAX 1024
#define QUEUE_EVENTS_MAX 1000 /* more are dropped, which shows as a gap in seq as any loss does */
#define RECEIVE_BATCH 64
#define RECONNECT_MS 500
#define RECONNECT_MAX_MS 5000

struct ap_cache_listener {
	ap_control_t *control;
	char upstream[AP_NAME_MAX];
	void *socket;
	struct event *readable;
};

/*
 * Reads [seq, stored, [hash, ...]]; returns false if @root is anything else. Hashes beyond
 * EVENT_BLOCKS_MAX are left out.
 */
static bool read_event(const msgpack_object *root, ap_cache_event_t *event,
		       uint64_t blocks[EVENT_BLOCKS_MAX])
{
	ap_wire_reader_t r = ap_wire_reader(root);
	ap_wire_reader_t list;

	event->seq = ap_wire_u64(&r);
	event->stored = ap_wire_bool(&r);
	list = ap_wire_array(&r);
	event->blocks = blocks;
	while (list.ok && list.left > 0 && event->n_blocks < EVENT_BLOCKS_MAX)
		blocks[event->n_blocks++] = ap_wire_u64(&list);
	return r.ok && list.ok;
}

static void handle_message(ap_cache_listener_t *l, const void *data, size_t len)
{
	uint64_t blocks[EVENT_BLOCKS_MAX];
	ap_cache_event_t event = {.seq = 0};
	msgpack_object root;
	msgpack_zone zone;

	ap_copy_name(event.upstream, sizeof(event.upstream), l->upstream);
	msgpack_zone_init(&zone, 1024);
	if (ap_wire_unpack(data, len, &zone, &root) && read_event(&root, &event, blocks)) {
		l->control->cache_events++;
		ap_control_cache_event(l->control, &event);
		ap_report_cache_event(l->control->report, &event, ap_now());
	}
	msgpack_zone_destroy(&zone);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	ap_cache_listener_t *l = arg;

	(void)fd;
	(void)what;
	for (int i = 0; i < RECEIVE_BATCH; i++) {
		zmq_msg_t msg;

		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, l->socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return;
		}
		handle_message(l, zmq_msg_data(&msg), zmq_msg_size(&msg));
		zmq_msg_close(&msg);
	}
	/* The descriptor is edge-triggered, so read the rest after other events. */
	event_active(l->readable, EV_READ, 0);
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

ap_cache_listener_t *ap_cache_listener_new(ap_control_t *c, const char *upstream,
					   const ap_address_t *at)
{
	ap_cache_listener_t *l = calloc(1, sizeof(*l));
	char endpoint[AP_HOST_MAX + 16];
	int64_t max_bytes = EVENT_BYTES_MAX;
	size_t size = sizeof(int);
	int fd;

	if (!l)
		abort();
	l->control = c;
	ap_copy_name(l->upstream, sizeof(l->upstream), upstream);
	l->socket = zmq_socket(c->args->zmq, ZMQ_SUB);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", at->host, at->port);
	set_int(l->socket, ZMQ_LINGER, 0);
	set_int(l->socket, ZMQ_RCVHWM, QUEUE_EVENTS_MAX);
	set_int(l->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(l->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(l->socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
	zmq_setsockopt(l->socket, ZMQ_SUBSCRIBE, "", 0);
	if (!l->socket || zmq_connect(l->socket, endpoint) != 0) {
		ap_log(LOG_WARNING, "cannot subscribe to the cache events of %s at %s: %s",
		       upstream, endpoint, zmq_strerror(zmq_errno()));
		ap_cache_listener_free(l);
		return NULL;
	}
	zmq_getsockopt(l->socket, ZMQ_FD, &fd, &size);
	l->readable = event_new(c->base, fd, EV_READ | EV_PERSIST, on_readable, l);
	event_add(l->readable, NULL);
	event_active(l->readable, EV_READ, 0);
	return l;
}

void ap_cache_listener_free(ap_cache_listener_t *l)
{
	if (!l)
		return;
	if (l->readable)
		event_free(l->readable);
	if (l->socket)
		zmq_close(l->socket);
	free(l);
}
