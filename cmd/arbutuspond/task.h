/*
 * The daemon's tasks and the messages between them. `entry` owns callers, upstream connections,
 * routing and limits; `control` owns peers' control messages, platform, orders and admin. Each is
 * a thread with its own event_base; messages go over a ZeroMQ inproc pair.
 */
#ifndef AP_TASK_H
#define AP_TASK_H

#include "base/base.h"
#include "conf/conf.h"
#include "log/log.h"
#include "route/route.h"
#include "settings/settings.h"

#include <event2/event.h>

#define AP_TASK_LINK_NAME "entry-control" /* the pair between the two tasks */

typedef enum ap_note_kind {
	/* control to entry */
	AP_NOTE_VIEW,	  /* @view: a new view; the receiver owns the reference */
	AP_NOTE_LOAD,	  /* @load: a load report */
	AP_NOTE_OFFER,	  /* @offer: another region's spare capacity */
	AP_NOTE_CACHE,	  /* @cache: an engine's cache event, owned by the receiver */
	AP_NOTE_DRAINING, /* @name: an upstream that takes no new work (both ways) */
	AP_NOTE_DRAIN,	  /* finish what is in progress, take nothing new, then say DRAINED */
	AP_NOTE_STOP,	  /* stop at once; also the last note after DRAINED */
	/* entry to control */
	AP_NOTE_DRAINED,
	AP_NOTE_EVENT,	       /* @event with @detail: for the time line */
	AP_NOTE_COUNTERS,      /* @text: Prometheus text, owned by the receiver */
	AP_NOTE_OWN_OFFER,     /* @offer: what this region offers */
	AP_NOTE_PERMITS_READY, /* permits get the best witnesses that can be had */
	AP_NOTE_FAILED,	       /* @name: why the entry task cannot go on */
} ap_note_kind_t;

/**
 * struct ap_note - one message between tasks, copied whole.
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

/* One end of the pair, driven by an event_base. */
typedef struct ap_task_link ap_task_link_t;

/** ap_task_link_new() - @bind for the end that is made first; @receive gets each note. */
ap_task_link_t *ap_task_link_new(void *zmq, const char *name, bool bind, struct event_base *base,
				 void (*receive)(void *ctx, ap_note_t *note), void *ctx);
void ap_task_link_free(ap_task_link_t *link);
/** ap_task_link_send() - never waits; false when the other end's queue is full. */
bool ap_task_link_send(ap_task_link_t *link, const ap_note_t *note);

/**
 * struct ap_task_args - what main() gives each task.
 * @inc: incarnation of this process
 */
typedef struct ap_task_args {
	const ap_settings_t *settings;
	void *zmq;
	ap_id_t inc;
} ap_task_args_t;

/**
 * ap_entry_task() and ap_control_task() - thread bodies; @arg is an ap_task_args_t.
 * The control task binds the link AP_TASK_LINK_NAME, the entry task connects to it.
 *
 * Return: NULL after a clean end, anything else when the task failed or was cut short.
 */
void *ap_entry_task(void *arg);
void *ap_control_task(void *arg);

#endif
