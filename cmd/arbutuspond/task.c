/* Messages between the daemon's tasks over a ZeroMQ inproc pair. */
#include "task.h"

#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#define QUEUE_NOTES 65536 /* messages queued in each direction */
#define RECEIVE_BATCH 256 /* messages received before other events get a turn */
#define LINGER_MS 1000	  /* so that the last message reaches the other task */

struct ap_task_link {
	void *socket;
	struct event *readable;
	void (*receive)(void *ctx, ap_note_t *note);
	void *ctx;
};

/* Frees what a message refers to when it is not received. */
static void note_clear(ap_note_t *note)
{
	if (note->kind == AP_NOTE_VIEW)
		ap_view_unref(note->u.view);
	else if (note->kind == AP_NOTE_COUNTERS)
		free(note->u.text);
	else if (note->kind == AP_NOTE_CACHE)
		free(note->u.cache);
}

static bool receive_one(ap_task_link_t *link, ap_note_t *note)
{
	return zmq_recv(link->socket, note, sizeof(*note), ZMQ_DONTWAIT) == sizeof(*note);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	ap_task_link_t *link = arg;
	ap_note_t note;

	(void)fd;
	(void)what;
	for (int i = 0; i < RECEIVE_BATCH; i++) {
		if (!receive_one(link, &note))
			return;
		link->receive(link->ctx, &note);
	}
	/* The descriptor is edge-triggered, so the event must be activated for the rest. */
	event_active(link->readable, EV_READ, 0);
}

ap_task_link_t *ap_task_link_new(void *zmq, const char *name, bool bind, struct event_base *base,
				 void (*receive)(void *ctx, ap_note_t *note), void *ctx)
{
	ap_task_link_t *link = calloc(1, sizeof(*link));
	char endpoint[AP_NAME_MAX + 16];
	size_t size = sizeof(int);
	int queue = QUEUE_NOTES;
	int linger = LINGER_MS;
	int fd;

	if (!link)
		return NULL;
	link->receive = receive;
	link->ctx = ctx;
	link->socket = zmq_socket(zmq, ZMQ_PAIR);
	zmq_setsockopt(link->socket, ZMQ_SNDHWM, &queue, sizeof(queue));
	zmq_setsockopt(link->socket, ZMQ_RCVHWM, &queue, sizeof(queue));
	zmq_setsockopt(link->socket, ZMQ_LINGER, &linger, sizeof(linger));
	snprintf(endpoint, sizeof(endpoint), "inproc://%s", name);
	if ((bind ? zmq_bind(link->socket, endpoint) : zmq_connect(link->socket, endpoint)) != 0) {
		zmq_close(link->socket);
		free(link);
		return NULL;
	}
	zmq_getsockopt(link->socket, ZMQ_FD, &fd, &size);
	link->readable = event_new(base, fd, EV_READ | EV_PERSIST, on_readable, link);
	event_add(link->readable, NULL);
	event_active(link->readable, EV_READ, 0);
	return link;
}

void ap_task_link_free(ap_task_link_t *link)
{
	ap_note_t note;

	if (!link)
		return;
	while (receive_one(link, &note))
		note_clear(&note);
	event_free(link->readable);
	zmq_close(link->socket);
	free(link);
}

bool ap_task_link_send(ap_task_link_t *link, const ap_note_t *note)
{
	bool sent = zmq_send(link->socket, note, sizeof(*note), ZMQ_DONTWAIT) == sizeof(*note);

	/* Sending may consume the edge that signals a received message, so check for one. */
	event_active(link->readable, EV_READ, 0);
	return sent;
}
