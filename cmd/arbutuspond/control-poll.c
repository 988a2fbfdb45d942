/* Requests of the control task to upstreams: load, loaded models, and orders. */
#include "control.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_INTERVAL (1 * AP_SEC)
#define MODELS_INTERVAL (5 * AP_SEC)
#define CALL_TIMEOUT (2 * AP_SEC)
#define PATH_MAX_BYTES 256

typedef struct polled_upstream {
	char id[AP_NAME_MAX];
	ap_address_t address;
	uint16_t events_port;	       /* port of its cache events; 0: it publishes none */
	ap_cache_listener_t *listener; /* while this instance polls it, else NULL */
	bool listed;
	bool load_requested;
	bool models_requested;
	ap_usec_t load_due;
	ap_usec_t models_due;
} polled_upstream_t;

struct ap_poll {
	ap_control_t *control;
	ap_calls_t *calls;
	polled_upstream_t *polled; /* the listed upstreams of the own region */
	size_t n;
};

/*
 * Argument of a call in progress. Names the upstream, since the entries of polled[] may be moved or
 * removed.
 */
typedef struct query {
	ap_poll_t *poll;
	char upstream[AP_NAME_MAX];
	ap_usec_t at;
} query_t;

typedef struct order_call {
	ap_order_done_t done;
	void *arg;
} order_call_t;

static polled_upstream_t *find_polled(const ap_poll_t *p, const char *id)
{
	for (size_t i = 0; i < p->n; i++) {
		if (strcmp(p->polled[i].id, id) == 0)
			return &p->polled[i];
	}
	return NULL;
}

ap_poll_t *ap_poll_new(ap_control_t *c)
{
	ap_poll_t *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->control = c;
	p->calls = ap_calls_new(c->base);
	return p;
}

void ap_poll_free(ap_poll_t *p)
{
	if (!p)
		return;
	ap_calls_free(p->calls);
	for (size_t i = 0; i < p->n; i++)
		ap_cache_listener_free(p->polled[i].listener);
	free(p->polled);
	free(p);
}

static polled_upstream_t *add_polled(ap_poll_t *p, const ap_upstream_t *u)
{
	polled_upstream_t *grown = realloc(p->polled, (p->n + 1) * sizeof(*grown));

	if (!grown)
		abort();
	p->polled = grown;
	grown[p->n] = (polled_upstream_t){0};
	ap_copy_name(grown[p->n].id, sizeof(grown[p->n].id), u->id);
	return &grown[p->n++];
}

static void remove_unlisted(ap_poll_t *p)
{
	size_t kept = 0;

	for (size_t i = 0; i < p->n; i++) {
		if (p->polled[i].listed)
			p->polled[kept++] = p->polled[i];
		else
			ap_cache_listener_free(p->polled[i].listener);
	}
	p->n = kept;
}

static uint16_t events_port(const ap_upstream_t *u)
{
	const char *text = ap_labels_get(&u->labels, "events_port");
	unsigned long port = text ? strtoul(text, NULL, 10) : 0;

	return port <= UINT16_MAX ? (uint16_t)port : 0;
}

/*
 * Both pollers of an upstream subscribe, so that events keep coming if one poller is lost.
 * lib/report lets only one of them announce the events.
 */
static void update_listener(ap_poll_t *p, polled_upstream_t *t, bool subscribe)
{
	ap_address_t at = t->address;

	if (subscribe == (t->listener != NULL) || (subscribe && t->events_port == 0))
		return;
	if (!subscribe) {
		ap_cache_listener_free(t->listener);
		t->listener = NULL;
		return;
	}
	at.port = t->events_port;
	t->listener = ap_cache_listener_new(p->control, t->id, &at);
}

void ap_poll_set_upstreams(ap_poll_t *p, const ap_upstream_t *upstreams, size_t n)
{
	for (size_t i = 0; i < p->n; i++)
		p->polled[i].listed = false;
	for (size_t i = 0; i < n; i++) {
		const ap_upstream_t *u = &upstreams[i];
		polled_upstream_t *t;

		if (strcmp(u->region, p->control->settings->region) != 0)
			continue;
		t = find_polled(p, u->id);
		if (!t)
			t = add_polled(p, u);
		t->listed = true;
		ap_copy_name(t->address.host, sizeof(t->address.host), u->host);
		t->address.port = u->port;
		t->events_port = events_port(u);
	}
	remove_unlisted(p);
}

static query_t *query_new(ap_poll_t *p, const char *upstream)
{
	query_t *query = calloc(1, sizeof(*query));

	if (!query)
		abort();
	query->poll = p;
	ap_copy_name(query->upstream, sizeof(query->upstream), upstream);
	query->at = ap_now();
	return query;
}

/* Reads the gauge @name; its line has to have an end, since metrics may be cut short. */
static bool read_gauge(const char *text, const char *name, double *value)
{
	size_t len = strlen(name);
	const char *end;
	char *rest;

	for (; (end = strchr(text, '\n')) != NULL; text = end + 1) {
		if (strncmp(text, name, len) != 0 || text[len] != ' ')
			continue;
		*value = ap_bounded(strtod(text + len, &rest), UINT32_MAX);
		return rest > text + len && rest <= end && isspace((unsigned char)*rest);
	}
	return false;
}

bool ap_poll_read_load(const char *text, ap_load_report_t *load)
{
	double running;
	double waiting;

	if (!read_gauge(text, "engine_running", &running) ||
	    !read_gauge(text, "engine_waiting", &waiting) ||
	    !read_gauge(text, "engine_kv_used", &load->kv_used))
		return false;
	load->running = (uint32_t)running;
	load->waiting = (uint32_t)waiting;
	return true;
}

static void check_drain_header(const query_t *query, const ap_call_response_t *a)
{
	if (a->headers && evhttp_find_header(a->headers, "X-Draining"))
		ap_report_saw_draining(query->poll->control->report, query->upstream, ap_now());
}

static void on_load(void *arg, const ap_call_response_t *a)
{
	query_t *query = arg;
	ap_control_t *c = query->poll->control;
	polled_upstream_t *t = find_polled(query->poll, query->upstream);
	ap_note_t note = {.kind = AP_NOTE_LOAD};

	if (t)
		t->load_requested = false;
	check_drain_header(query, a);
	if (a->end == AP_CALL_RESPONDED && a->code == 200 &&
	    ap_poll_read_load(a->body, &note.u.load)) {
		ap_copy_name(note.u.load.upstream, sizeof(note.u.load.upstream), query->upstream);
		note.u.load.at = ap_now();
		ap_report_load_read(c->report, &note.u.load, note.u.load.at);
		ap_task_link_send(c->link, &note);
	}
	free(query);
}

/* Reads {"models":[{"name","version"}],"fence":N}; returns false if there is no "models" array. */
static bool read_models(const char *text, ap_loaded_item_t **models, size_t *n, uint64_t *fence)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *list = json_object_get(root, "models");
	json_t *item;
	size_t i;

	if (!json_is_array(list)) {
		json_decref(root);
		return false;
	}
	*fence = (uint64_t)json_integer_value(json_object_get(root, "fence"));
	*n = json_array_size(list);
	*models = calloc(*n + 1, sizeof(**models));
	if (!*models)
		abort();
	json_array_foreach (list, i, item) {
		const char *name = json_string_value(json_object_get(item, "name"));
		const char *version = json_string_value(json_object_get(item, "version"));

		ap_copy_name((*models)[i].name, AP_NAME_MAX, name ? name : "");
		ap_copy_name((*models)[i].version, AP_NAME_MAX, version ? version : "");
	}
	json_decref(root);
	return true;
}

static void announce_models(ap_control_t *c, const char *upstream, const ap_loaded_item_t *models,
			    size_t n)
{
	uint32_t names[AP_REPORT_MODELS_MAX];
	uint32_t versions[AP_REPORT_MODELS_MAX];

	if (n > AP_REPORT_MODELS_MAX)
		n = AP_REPORT_MODELS_MAX;
	for (size_t i = 0; i < n; i++) {
		names[i] = ap_report_name_hash(models[i].name);
		versions[i] = ap_version_hash(models[i].version);
	}
	ap_report_models_read(c->report, upstream, names, versions, n, ap_now());
}

static void on_models(void *arg, const ap_call_response_t *a)
{
	query_t *query = arg;
	ap_control_t *c = query->poll->control;
	polled_upstream_t *t = find_polled(query->poll, query->upstream);
	ap_loaded_item_t *models;
	uint64_t fence;
	size_t n;

	if (t)
		t->models_requested = false;
	check_drain_header(query, a);
	if (t && a->end == AP_CALL_RESPONDED && a->code == 200 &&
	    read_models(a->body, &models, &n, &fence)) {
		announce_models(c, t->id, models, n);
		ap_order_observed(c->order, t->id, models, n, fence, query->at, ap_now());
		free(models);
	}
	free(query);
}

static void send_query(ap_poll_t *p, const polled_upstream_t *t, const char *path,
		       ap_call_done_t done)
{
	ap_call(p->calls, &(ap_call_spec_t){.to = &t->address,
					    .method = EVHTTP_REQ_GET,
					    .path = path,
					    .limit = CALL_TIMEOUT,
					    .done = done,
					    .arg = query_new(p, t->id)});
}

void ap_poll_observe(ap_poll_t *p, const char *upstream)
{
	polled_upstream_t *t = find_polled(p, upstream);

	if (!t || t->models_requested)
		return;
	t->models_requested = true;
	t->models_due = ap_now() + MODELS_INTERVAL;
	send_query(p, t, "/admin/models", on_models);
}

void ap_poll_tick(ap_poll_t *p, ap_usec_t now)
{
	for (size_t i = 0; i < p->n; i++) {
		polled_upstream_t *t = &p->polled[i];

		bool subscribe = ap_report_is_poller(p->control->report, t->id);

		update_listener(p, t, subscribe);
		if (!ap_report_should_read(p->control->report, t->id, now))
			continue;
		if (now >= t->load_due && !t->load_requested) {
			t->load_requested = true;
			t->load_due = now + LOAD_INTERVAL;
			send_query(p, t, "/metrics", on_load);
		}
		if (now >= t->models_due)
			ap_poll_observe(p, t->id);
	}
}

static ap_order_status_t order_status(const ap_call_response_t *a, ap_err_t *err)
{
	if (a->end == AP_CALL_NOT_SENT) {
		ap_err_set(err, "the upstream is no longer listed or cannot be reached");
		return AP_ORDER_REFUSED;
	}
	if (a->end == AP_CALL_NO_RESPONSE) {
		ap_err_set(err, "the upstream sent no complete response");
		return AP_ORDER_UNSURE;
	}
	if (a->code == 200)
		return AP_ORDER_OK;
	ap_err_set(err, "the upstream responded with status %d: %.100s", a->code, a->body);
	if (a->code == 409)
		return AP_ORDER_FENCED;
	if (a->code < 500 || evhttp_find_header(a->headers, "X-Not-Started"))
		return AP_ORDER_REFUSED;
	return AP_ORDER_UNSURE;
}

static void on_order_response(void *arg, const ap_call_response_t *a)
{
	order_call_t *o = arg;
	ap_err_t err = {""};
	ap_order_status_t status = order_status(a, &err);

	o->done(o->arg, status, &err);
	free(o);
}

static void fail_order(evutil_socket_t fd, short what, void *arg)
{
	ap_call_response_t response = {.end = AP_CALL_NOT_SENT};

	(void)fd;
	(void)what;
	on_order_response(arg, &response);
}

static void send_order(ap_poll_t *p, const char *upstream, enum evhttp_cmd_type method,
		       const char *path, ap_usec_t limit, ap_order_done_t done, void *arg)
{
	const struct timeval no_delay = {0};
	polled_upstream_t *t = find_polled(p, upstream);
	order_call_t *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->done = done;
	o->arg = arg;
	if (!t) {
		event_base_once(p->control->base, -1, EV_TIMEOUT, fail_order, o, &no_delay);
		return;
	}
	ap_call(p->calls, &(ap_call_spec_t){.to = &t->address,
					    .method = method,
					    .path = path,
					    .limit = limit,
					    .status_only = true,
					    .done = on_order_response,
					    .arg = o});
}

static void order_load(void *ctx, const char *upstream, const char *model, const char *version,
		       uint64_t fence, ap_usec_t limit, ap_order_done_t done, void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/admin/models/%s?version=%s&fence=%" PRIu64, model, version,
		 fence);
	send_order(ctx, upstream, EVHTTP_REQ_PUT, path, limit, done, arg);
}

static void order_unload(void *ctx, const char *upstream, const char *model, uint64_t fence,
			 ap_usec_t limit, ap_order_done_t done, void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/admin/models/%s?fence=%" PRIu64, model, fence);
	send_order(ctx, upstream, EVHTTP_REQ_DELETE, path, limit, done, arg);
}

ap_order_port_t ap_poll_orders(ap_poll_t *p)
{
	return (ap_order_port_t){.ctx = p, .load = order_load, .unload = order_unload};
}
