/* The entry task: its event loop, its link to the control task and its peers on the data port. */
#include "entry.h"
#include "entry-once.h"

#include "log/log.h"
#include "peer/peer.h"

#include <stdlib.h>
#include <string.h>

typedef struct entry_task {
	const ap_task_args_t *args;
	struct event_base *base;
	ap_task_link_t *link;
	ap_peer_t *peer;
	entry_t *entry;
	entry_once_t *once;
	ap_hlc_t clock;
	char (*known_peers)[AP_NAME_MAX];
	size_t n_known_peers;
} entry_task_t;

static void send_note(void *ctx, const ap_note_t *note)
{
	entry_task_t *task = ctx;

	if (ap_task_link_send(task->link, note))
		return;
	if (note->kind == AP_NOTE_COUNTERS)
		free(note->u.text);
	ap_log(LOG_WARNING, "a message to the control task was dropped: its queue is full");
}

static bool send_peer(void *ctx, const char *to, const void *data, size_t len)
{
	entry_task_t *task = ctx;

	return ap_peer_send(task->peer, to, data, len);
}

static void receive_peer(void *ctx, const char *from, const void *data, size_t len)
{
	entry_task_t *task = ctx;

	entry_receive(task->entry, from, data, len);
}

static bool in_view(const ap_view_t *view, const char *id)
{
	for (size_t i = 0; i < view->n_entries; i++) {
		if (strcmp(view->entries[i].id, id) == 0)
			return true;
	}
	return false;
}

static void forget_removed_peers(entry_task_t *task, const ap_view_t *view)
{
	for (size_t i = 0; i < task->n_known_peers; i++) {
		if (!in_view(view, task->known_peers[i]))
			ap_peer_remove(task->peer, task->known_peers[i]);
	}
}

static void update_peers(entry_task_t *task, const ap_view_t *view)
{
	char(*known_peers)[AP_NAME_MAX] = calloc(view->n_entries + 1, sizeof(*known_peers));
	size_t n = 0;

	if (!known_peers)
		return;
	forget_removed_peers(task, view);
	for (size_t i = 0; i < view->n_entries; i++) {
		const ap_entry_t *entry = &view->entries[i];

		if (strcmp(entry->id, task->args->settings->id) == 0)
			continue;
		ap_peer_add(task->peer, entry->id, entry->host, entry->data_port,
			    entry->public_key);
		ap_copy_name(known_peers[n++], AP_NAME_MAX, entry->id);
	}
	free(task->known_peers);
	task->known_peers = known_peers;
	task->n_known_peers = n;
}

static void receive_note(void *ctx, ap_note_t *note)
{
	entry_task_t *task = ctx;

	if (note->kind == AP_NOTE_VIEW)
		update_peers(task, note->u.view);
	if (!entry_note(task->entry, note))
		event_base_loopbreak(task->base);
}

static bool open_peer(entry_task_t *task, ap_err_t *err)
{
	ap_peer_config_t config = {
		.base = task->base,
		.settings = task->args->settings,
		.clock = &task->clock,
		.port = task->args->settings->data_port,
		.ctx = task,
		.receive = receive_peer,
	};

	return ap_peer_new(&config, &task->peer, err) == AP_PEER_OK;
}

static bool open_entry(entry_task_t *task, ap_err_t *err)
{
	entry_config_t config = {
		.settings = task->args->settings,
		.base = task->base,
		.inc = task->args->inc,
		.clock = &task->clock,
		.ctx = task,
		.note = send_note,
		.send = send_peer,
	};

	return entry_new(&config, &task->entry, err) == AP_HTTP_STATUS_OK;
}

/* Tells the control task of a failed start, since an instance that serves no callers must end. */
static void report_failure(entry_task_t *task, const ap_err_t *err)
{
	ap_note_t note = {.kind = AP_NOTE_FAILED};

	ap_copy_name(note.u.name, sizeof(note.u.name), err->text);
	ap_log(LOG_ERR, "%s", err->text);
	ap_task_link_send(task->link, &note);
}

static bool run(entry_task_t *task)
{
	ap_err_t err = {.text = "out of memory"};
	bool drained;

	task->link = ap_task_link_new(task->args->zmq, AP_TASK_LINK_NAME, false, task->base,
				      receive_note, task);
	if (!task->link)
		return false;
	if (!open_peer(task, &err) || !open_entry(task, &err)) {
		report_failure(task, &err);
		return false;
	}
	task->once = entry_once_new(task->entry);
	if (!task->once) {
		report_failure(task, &err);
		return false;
	}
	ap_log(LOG_INFO, "callers are served on %s port %u", task->args->settings->host,
	       entry_port(task->entry));
	event_base_dispatch(task->base);
	drained = task->entry->drained;
	return drained;
}

void *ap_entry_task(void *arg)
{
	entry_task_t task = {.args = arg, .base = ap_http_base_new()};
	bool clean = task.base && run(&task);

	entry_free(task.entry);
	entry_once_free(task.once);
	if (task.peer)
		ap_peer_free(task.peer);
	ap_task_link_free(task.link);
	free(task.known_peers);
	if (task.base)
		event_base_free(task.base);
	return clean ? NULL : arg;
}
