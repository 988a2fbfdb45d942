/*
 * The budget that servers of one event loop share. First reading of large requests stops, then the
 * connection that lib/limit/budget.h names gives way, which is done from the event loop.
 */
#include "http/server.h"
#include "log/log.h"

#include <stddef.h>
#include <stdlib.h>
#include <sys/resource.h>

#define TICK (50 * AP_MSEC) /* how long reading stops before a request has to give way */
/*
 * The library moves whole buffers of 1 KB and more into a body, however little of a chunk they
 * hold. Parsing that many bytes at a time bounds what is lost by that.
 */
#define BATCH_BYTES 4096
#define DESCRIPTORS_DEFAULT 1024 /* if the limit isn't known */
#define DESCRIPTORS_OTHER 1024	 /* most that are left to upstreams, files and the store */

/**
 * struct ap_http_budget - see http.h.
 * @tick: pending while reading is stopped or too many connections are open
 * @leaving: connections that have to give way and aren't closed yet
 * @lingering: refused connections that are read until their callers close
 * @tight: the budget was at the last tick
 * @searched: since the last tick, the budget was full and nobody could give way
 */
struct ap_http_budget {
	ap_budget_t budget;
	struct event *tick;
	size_t leaving;
	size_t lingering;
	bool tight;
	bool searched;
	ap_http_budget_stats_t stats;
};

static server_conn_t *conn_at(ap_budget_entry_t *entry)
{
	return (server_conn_t *)((char *)entry - offsetof(server_conn_t, entry));
}

static bool has_too_many(const ap_http_budget_t *b)
{
	return b->budget.n - b->leaving > b->budget.connections;
}

static void tick_after(ap_http_budget_t *b, ap_usec_t delay)
{
	struct timeval tv = ap_timeval(delay);

	if (delay == 0 || !event_pending(b->tick, EV_TIMEOUT, NULL))
		event_add(b->tick, &tv);
}

/* What it holds counts no more, as the event loop closes it next. */
static void give_way(ap_http_budget_t *b, server_conn_t *conn)
{
	conn->gives_way = true;
	conn->entry.kept = true;
	b->leaving++;
	ap_budget_charge(&b->budget, &conn->entry, 0);
	bufferevent_disable(conn->bev, EV_READ);
	event_active(conn->timer, EV_TIMEOUT, 0);
}

static bool relieve(ap_http_budget_t *b)
{
	ap_budget_entry_t *worst = ap_budget_worst(&b->budget, ap_now());

	if (!worst)
		return false;
	b->stats.gave_way++;
	give_way(b, conn_at(worst));
	return true;
}

/* Has connections give way until the budget isn't full, or none may. @conn was charged last. */
static void relieve_fully(ap_http_budget_t *b, server_conn_t *conn)
{
	while (ap_budget_level(&b->budget) == AP_BUDGET_FULL && !b->searched)
		b->searched = !relieve(b);
	/* A search takes time with the number of connections, so there is one between ticks. */
	if (ap_budget_level(&b->budget) == AP_BUDGET_FULL &&
	    ap_budget_may_give_way(&b->budget, &conn->entry, ap_now())) {
		b->stats.gave_way++;
		give_way(b, conn);
	}
	if (b->searched)
		tick_after(b, TICK);
}

static void close_oldest(ap_http_budget_t *b)
{
	while (has_too_many(b)) {
		ap_budget_entry_t *oldest = ap_budget_oldest(&b->budget, ap_now());

		if (!oldest)
			break;
		b->stats.closed++;
		give_way(b, conn_at(oldest));
	}
}

/* While reading is stopped, the library doesn't notice that a caller has left. */
static void drop_left(ap_http_budget_t *b)
{
	ap_budget_entry_t *entry;
	ap_budget_entry_t *next;

	for (entry = LIST_FIRST(&b->budget.entries); entry; entry = next) {
		server_conn_t *conn = conn_at(entry);

		next = LIST_NEXT(entry, link);
		if (conn->unread && !conn->gives_way && conn_peer_left(conn))
			conn_drop(conn);
	}
}

static bool read_again(ap_http_budget_t *b)
{
	ap_budget_entry_t *entry;
	bool all = true;

	LIST_FOREACH (entry, &b->budget.entries, link) {
		server_conn_t *conn = conn_at(entry);

		if (!conn->unread || conn->gives_way)
			continue;
		conn->unread = !ap_budget_may_read(&b->budget, entry);
		all &= !conn->unread;
		if (!conn->unread)
			bufferevent_enable(conn->bev, EV_READ);
	}
	return all;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	ap_http_budget_t *b = arg;
	bool tight;

	(void)fd;
	(void)what;
	b->searched = false;
	drop_left(b);
	tight = ap_budget_level(&b->budget) != AP_BUDGET_FREE;
	close_oldest(b);
	if (tight && b->tight)
		relieve(b);
	b->tight = tight;
	if (!read_again(b) || has_too_many(b))
		tick_after(b, TICK);
	else
		b->tight = false;
}

static size_t connections_default(void)
{
	struct rlimit files;
	size_t n = DESCRIPTORS_DEFAULT;

	if (getrlimit(RLIMIT_NOFILE, &files) == 0)
		n = files.rlim_cur;
	return n > 2 * DESCRIPTORS_OTHER ? n - DESCRIPTORS_OTHER : n / 2;
}

ap_http_budget_t *ap_http_budget_new(struct event_base *base, size_t bytes, size_t connections)
{
	ap_http_budget_t *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	ap_budget_init(&b->budget, bytes, connections ? connections : connections_default());
	b->tick = evtimer_new(base, on_tick, b);
	if (!b->tick) {
		free(b);
		return NULL;
	}
	return b;
}

void ap_http_budget_free(ap_http_budget_t *b)
{
	if (!b)
		return;
	event_free(b->tick);
	free(b);
}

bool ap_http_budget_tight(const ap_http_budget_t *b)
{
	return ap_budget_level(&b->budget) != AP_BUDGET_FREE;
}

ap_http_budget_stats_t ap_http_budget_stats(const ap_http_budget_t *b)
{
	ap_http_budget_stats_t stats = b->stats;

	stats.used = b->budget.used;
	stats.limit = b->budget.limit;
	stats.connections = b->budget.n + b->lingering;
	return stats;
}

void conn_count(server_conn_t *conn)
{
	ap_http_budget_t *b = conn->server->config.budget;

	if (!b)
		return;
	ap_budget_add(&b->budget, &conn->entry, ap_now());
	/* Not before it is adopted. */
	conn->entry.kept = true;
	if (has_too_many(b))
		tick_after(b, 0);
}

void conn_stay(server_conn_t *conn)
{
	if (!conn->gives_way)
		return;
	conn->gives_way = false;
	conn->server->config.budget->leaving--;
}

void conn_uncount(server_conn_t *conn)
{
	ap_http_budget_t *b = conn->server->config.budget;

	if (!b)
		return;
	conn_stay(conn);
	ap_budget_remove(&b->budget, &conn->entry);
}

/*
 * Of a body in chunks the library holds the data, in buffers that are half full at least, and not
 * the bytes of the framing.
 */
static size_t held_arriving(const server_conn_t *conn, size_t in)
{
	const ap_http_syntax_t *s = &conn->syntax;
	size_t held = in + s->head_bytes + 2 * (size_t)(s->body - s->left);

	if (!s->coded || held > conn->arrived)
		held = conn->arrived;
	return held + s->fields * AP_HTTP_FIELD_BYTES;
}

static size_t held_by(const server_conn_t *conn)
{
	size_t in = evbuffer_get_length(bufferevent_get_input(conn->bev));
	size_t out = evbuffer_get_length(bufferevent_get_output(conn->bev));

	if (conn->call)
		return in + out + conn->served + conn->call->n_held + conn->call->owner_held;
	return out + (conn->arriving ? held_arriving(conn, in) : 0);
}

/* A response that has begun may be cut while its caller leaves some of it unread. */
static void keep_unless_unread(server_conn_t *conn)
{
	bool unread = evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0;

	if (unread && conn->entry.kept)
		conn_progress(conn);
	conn->entry.kept = !unread;
}

void conn_charge(server_conn_t *conn)
{
	ap_http_budget_t *b = conn->server->config.budget;

	if (!b || conn->gives_way || conn->server->closing)
		return;
	if (conn->call && conn->call->begun && !conn->call->ended)
		keep_unless_unread(conn);
	ap_budget_charge(&b->budget, &conn->entry, held_by(conn));
	relieve_fully(b, conn);
	if (conn->call || conn->unread || conn->gives_way ||
	    ap_budget_may_read(&b->budget, &conn->entry))
		return;
	conn->unread = true;
	b->stats.paused++;
	bufferevent_disable(conn->bev, EV_READ);
	tick_after(b, TICK);
}

bool conn_may_hold(const server_conn_t *conn, size_t bytes)
{
	const ap_http_budget_t *b = conn->server->config.budget;

	return !b || !ap_budget_is_large(&b->budget, bytes) ||
	       ap_budget_level(&b->budget) != AP_BUDGET_FULL;
}

void conn_progress(server_conn_t *conn)
{
	conn->entry.since = ap_now();
}

void conn_answers(server_conn_t *conn, bool answers)
{
	if (answers && !conn->entry.answering)
		conn_progress(conn);
	conn->entry.answering = answers;
}

void conn_read(server_conn_t *conn, size_t bytes)
{
	size_t left = evbuffer_get_length(bufferevent_get_output(conn->bev));

	ap_budget_read(&conn->entry, bytes, left, ap_now());
}

void conn_may_give_way(server_conn_t *conn, bool may)
{
	conn->entry.kept = !may || conn->gives_way;
}

bool conn_may_linger(const server_conn_t *conn)
{
	const ap_http_budget_t *b = conn->server->config.budget;

	return !b || b->budget.n + b->lingering < b->budget.connections;
}

void server_lingers(ap_http_server_t *server, bool more)
{
	ap_http_budget_t *b = server->config.budget;

	server->n_lingering += more ? 1 : -1;
	if (b)
		b->lingering += more ? 1 : -1;
}

void conn_batch(server_conn_t *conn)
{
	const ap_http_syntax_t *s = &conn->syntax;
	/* What is too large is left to the library, which refuses it. */
	bool more = !s->malformed && s->coded && s->place != AP_HTTP_AT_END &&
		    (s->place >= AP_HTTP_AT_SIZE || s->trailers) && s->body <= conn->body_max;

	bufferevent_setwatermark(conn->bev, EV_READ, more ? BATCH_BYTES : 0, 0);
}
