/*
 * The daemon's tasks and the messages (notes) between them. The entry task owns callers, upstream
 * connections, routing and limits; the control task owns control messages between instances, the
 * platform, orders and the admin interface. Each is a thread with its own event_base; messages go
 * over a ZeroMQ inproc pair.
 */
#ifndef AP_TASK_H
#define AP_TASK_H

#include "base/base.h"
#include "conf/conf.h"
#include "log/log.h"
#include "route/route.h"
#include "settings/settings.h"

#include <event2/event.h>

#define AP_TASK_LINK_NAME "entry-control" /* endpoint of the pair */

/* Kinds of notes, with the member of the union that each uses. */
typedef enum ap_note_kind {
	/* control to entry */
	AP_NOTE_VIEW,		   /* @view: a new routing view; the receiver owns the reference */
	AP_NOTE_LOAD,		   /* @load: a load report of an upstream */
	AP_NOTE_OFFER,		   /* @offer: spare capacity of a remote region */
	AP_NOTE_CACHE,		   /* @cache: cache event of an upstream; the receiver frees it */
	AP_NOTE_UPSTREAM_DRAINING, /* @name: an upstream that accepts no new requests; sent both
				      ways */
	AP_NOTE_DRAIN, /* finish the requests in flight, accept no new ones, then send DRAINED */
	AP_NOTE_STOP,  /* stop at once; also the last message after DRAINED */
	/* entry to control */
	AP_NOTE_DRAINED,       /* no request is in flight */
	AP_NOTE_EVENT,	       /* @event: for the time line */
	AP_NOTE_COUNTERS,      /* @text: metrics in Prometheus format; the receiver frees it */
	AP_NOTE_OWN_OFFER,     /* @offer: spare capacity of this region */
	AP_NOTE_PERMITS_READY, /* permits no longer wait for the configuration or a witness */
	AP_NOTE_FAILED,	       /* @name: why the entry task ends */
} ap_note_kind_t;

/**
 * struct ap_note - a note: a message between tasks, sent as a copy of its bytes.
 */
typedef struct ap_note {
	ap_note_kind_t kind;
	union {
		ap_view_t *view;
		ap_load_report_t load;
		ap_capacity_offer_t offer;
		ap_cache_event_t *cache;
		char name[AP_NAME_MAX];
		char *text;
		struct {
			ap_hlc_t at;
			char kind[32];
			ap_xid_t request;
			char detail[256];
		} event;
	} u;
} ap_note_t;

/* One end of the pair of sockets between tasks, driven by an event_base. */
typedef struct ap_task_link ap_task_link_t;

/**
 * ap_task_link_new() - opens one end of the pair.
 * @bind: set for exactly one of the two ends; either may be opened first
 * @receive: called for each message, and owns what the message refers to
 *
 * Return: the link, to be freed with ap_task_link_free(); NULL if it cannot be opened.
 */
ap_task_link_t *ap_task_link_new(void *zmq, const char *name, bool bind, struct event_base *base,
				 void (*receive)(void *ctx, ap_note_t *note), void *ctx);
/** ap_task_link_free() - closes the end and frees messages that were not received. */
void ap_task_link_free(ap_task_link_t *link);
/** ap_task_link_send() - doesn't block. Return: false if the queue to the other end is full. */
bool ap_task_link_send(ap_task_link_t *link, const ap_note_t *note);

/**
 * struct ap_task_args - arguments of both tasks; valid until they have ended.
 * @inc: incarnation of this process
 */
typedef struct ap_task_args {
	const ap_settings_t *settings;
	void *zmq;
	ap_id_t inc;
} ap_task_args_t;

/**
 * ap_entry_task() and ap_control_task() - thread functions; @arg is an ap_task_args_t.
 * The control task binds the link AP_TASK_LINK_NAME, the entry task connects to it.
 *
 * Return: NULL after a drain, anything else if the task failed or was stopped before.
 */
void *ap_entry_task(void *arg);
void *ap_control_task(void *arg);

#endif
