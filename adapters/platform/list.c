/* The platform's instance list and client directory: JSON over HTTP. */
#include "platform/private.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLATFORM_CALL_TIMEOUT (3 * AP_SEC)
#define DEFAULT_ENTRY_WEIGHT 1.0

typedef struct list_call {
	void (*done)(void *ctx, ap_listing_t *listing, ap_err_t *err);
	void *ctx;
	bool conditional;
} list_call_t;

typedef struct publish_call {
	void (*done)(void *ctx, bool ok);
	void *ctx;
} publish_call_t;

static bool copy_text(json_t *o, const char *key, char *out, size_t size)
{
	const char *text = json_string_value(json_object_get(o, key));

	return text && *text && ap_copy_name(out, size, text);
}

static uint16_t port_of(json_t *o, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(o, key));

	return value > 0 && value <= UINT16_MAX ? (uint16_t)value : 0;
}

static bool is_draining(json_t *o)
{
	const char *state = json_string_value(json_object_get(o, "state"));

	return state && strcmp(state, "leaving") == 0;
}

static void add_label(ap_labels_t *labels, const char *key, const char *value)
{
	ap_label_t *grown = realloc(labels->v, (labels->n + 1) * sizeof(*grown));

	if (!grown)
		abort();
	labels->v = grown;
	labels->v[labels->n++] = (ap_label_t){.key = strdup(key), .value = strdup(value)};
}

static ap_labels_t read_labels(json_t *o)
{
	json_t *labels = json_object_get(o, "labels");
	ap_labels_t out = {0};
	const char *key;
	json_t *value;

	json_object_foreach (labels, key, value) {
		if (json_is_string(value) && strcmp(key, "region") != 0 &&
		    strcmp(key, "data_centre") != 0)
			add_label(&out, key, json_string_value(value));
	}
	return out;
}

static bool read_upstream(json_t *o, ap_upstream_t *u)
{
	if (!copy_text(o, "id", u->id, sizeof(u->id)) ||
	    !copy_text(o, "host", u->host, sizeof(u->host)) ||
	    !copy_text(o, "region", u->region, sizeof(u->region)) ||
	    !copy_text(o, "data_centre", u->data_centre, sizeof(u->data_centre)))
		return false;
	u->port = port_of(o, "port");
	if (!u->port)
		return false;
	u->draining = is_draining(o);
	u->labels = read_labels(o);
	add_label(&u->labels, "region", u->region);
	add_label(&u->labels, "data_centre", u->data_centre);
	return true;
}

static bool read_entry(json_t *o, ap_entry_t *e)
{
	if (!copy_text(o, "id", e->id, sizeof(e->id)) ||
	    !copy_text(o, "host", e->host, sizeof(e->host)) ||
	    !copy_text(o, "region", e->region, sizeof(e->region)) ||
	    !copy_text(o, "data_centre", e->data_centre, sizeof(e->data_centre)))
		return false;
	copy_text(o, "public_key", e->public_key, sizeof(e->public_key));
	e->caller_port = port_of(o, "port");
	e->data_port = port_of(o, "data_port");
	e->control_port = port_of(o, "control_port");
	e->draining = is_draining(o);
	e->weight = DEFAULT_ENTRY_WEIGHT;
	return e->caller_port && e->data_port && e->control_port;
}

static void read_instance(json_t *o, ap_listing_t *listing)
{
	const char *role = json_string_value(json_object_get(o, "role"));

	if (!role)
		return;
	if (strcmp(role, "upstream") == 0 &&
	    read_upstream(o, &listing->upstreams[listing->n_upstreams]))
		listing->n_upstreams++;
	else if (strcmp(role, "entry") == 0 && read_entry(o, &listing->entries[listing->n_entries]))
		listing->n_entries++;
}

static ap_listing_t *read_listing(const char *text, ap_err_t *err)
{
	json_error_t where;
	json_t *root = json_loads(text, 0, &where);
	json_t *list = json_object_get(root, "instances");
	ap_listing_t *listing;
	json_t *item;
	size_t i;

	if (!json_is_array(list)) {
		ap_err_set(err, "instance list: %s", root ? "no array \"instances\"" : where.text);
		json_decref(root);
		return NULL;
	}
	listing = calloc(1, sizeof(*listing));
	if (!listing)
		abort();
	listing->upstreams = calloc(json_array_size(list) + 1, sizeof(*listing->upstreams));
	listing->entries = calloc(json_array_size(list) + 1, sizeof(*listing->entries));
	if (!listing->upstreams || !listing->entries)
		abort();
	json_array_foreach (list, i, item)
		read_instance(item, listing);
	json_decref(root);
	return listing;
}

void ap_listing_free(ap_listing_t *listing)
{
	if (!listing)
		return;
	for (size_t i = 0; i < listing->n_upstreams; i++)
		ap_labels_clear(&listing->upstreams[i].labels);
	free(listing->upstreams);
	free(listing->entries);
	free(listing);
}

static void record_response(ap_listing_t *listing, const ap_call_response_t *resp)
{
	const char *tag = evhttp_find_header(resp->headers, "ETag");

	listing->bytes = resp->len;
	if (tag && strlen(tag) < sizeof(listing->etag))
		ap_copy_name(listing->etag, sizeof(listing->etag), tag);
}

static void on_list(void *arg, const ap_call_response_t *resp)
{
	list_call_t *call = arg;
	ap_listing_t *listing = NULL;
	ap_err_t err = {"instance list cannot be reached"};
	bool unchanged = call->conditional && resp->end == AP_CALL_RESPONDED && resp->code == 304;

	if (resp->end == AP_CALL_RESPONDED && resp->code == 200)
		listing = read_listing(resp->body, &err);
	else if (resp->end == AP_CALL_RESPONDED)
		ap_err_set(&err, "instance list: status %d instead of 200", resp->code);
	else if (resp->end == AP_CALL_NO_RESPONSE)
		ap_err_set(&err, "instance list: no complete response");
	if (listing)
		record_response(listing, resp);
	call->done(call->ctx, listing, unchanged ? NULL : &err);
	free(call);
}

void ap_platform_list(ap_platform_t *p, const ap_listing_t *known,
		      void (*done)(void *ctx, ap_listing_t *listing, ap_err_t *err), void *ctx)
{
	list_call_t *call = calloc(1, sizeof(*call));
	ap_call_spec_t spec = {.to = &p->settings->instances,
			       .method = EVHTTP_REQ_GET,
			       .path = "/v1/instances",
			       .limit = PLATFORM_CALL_TIMEOUT,
			       .done = on_list,
			       .arg = call};

	if (!call)
		abort();
	call->done = done;
	call->ctx = ctx;
	call->conditional = known && known->etag[0] != '\0';
	if (call->conditional)
		spec.if_none_match = known->etag;
	ap_call(p->calls, &spec);
}

static void on_published(void *arg, const ap_call_response_t *resp)
{
	publish_call_t *call = arg;

	call->done(call->ctx, resp->end == AP_CALL_RESPONDED && resp->code == 200);
	free(call);
}

void ap_platform_publish(ap_platform_t *p, const char *region, const char *json,
			 void (*done)(void *ctx, bool ok), void *ctx)
{
	publish_call_t *call = calloc(1, sizeof(*call));
	char path[AP_NAME_MAX + 32];
	ap_call_spec_t spec = {.to = &p->settings->directory,
			       .method = EVHTTP_REQ_PUT,
			       .path = path,
			       .body = json,
			       .len = strlen(json),
			       .limit = PLATFORM_CALL_TIMEOUT,
			       .done = on_published,
			       .arg = call};

	if (!call)
		abort();
	call->done = done;
	call->ctx = ctx;
	snprintf(path, sizeof(path), "/v1/directory/%s", region);
	ap_call(p->calls, &spec);
}

ap_platform_t *ap_platform_new(struct event_base *base, const ap_settings_t *settings)
{
	ap_platform_t *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->settings = settings;
	p->calls = ap_calls_new(base);
	LIST_INIT(&p->pending);
	return p;
}

void ap_platform_free(ap_platform_t *p)
{
	if (!p)
		return;
	ap_calls_free(p->calls);
	free(p);
}

ap_platform_stats_t ap_platform_stats(const ap_platform_t *p)
{
	ap_platform_stats_t stats = p->stats;

	stats.failures = ap_calls_failed(p->calls);
	return stats;
}
