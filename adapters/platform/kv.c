/* The key-value port over Consul's KV and session HTTP API. */
#include "platform/private.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STORE_CALL_TIMEOUT (3 * AP_SEC)
#define WATCH_MARGIN (5 * AP_SEC) /* added to a watch's wait time for the limit of its call */
#define PATH_MAX_BYTES 512

/* State of a call in progress. */
typedef struct pending {
	LIST_ENTRY(pending) link;
	ap_kv_done_t done;
	void *arg;
	bool write;
} pending_t;

static pending_t *pending_new(ap_platform_t *pl, ap_kv_done_t done, void *arg, bool write)
{
	pending_t *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->done = done;
	p->arg = arg;
	p->write = write;
	LIST_INSERT_HEAD(&pl->pending, p, link);
	return p;
}

static void finish(pending_t *p, const ap_kv_result_t *result)
{
	LIST_REMOVE(p, link);
	p->done(p->arg, result);
	free(p);
}

void ap_platform_fail_pending(ap_platform_t *pl)
{
	pending_t *p = LIST_FIRST(&pl->pending);

	LIST_INIT(&pl->pending);
	/* Each item is its call's argument and is freed with the call. */
	while (p) {
		ap_kv_result_t result = {.status = p->write ? AP_KV_UNSURE : AP_KV_UNAVAILABLE};
		pending_t *next = LIST_NEXT(p, link);

		p->done(p->arg, &result);
		p = next;
	}
}

/*
 * Returns the status of a call without a usable response. A write whose outcome is unknown is
 * unsure; one that the store rejected with a 4xx status had no effect.
 */
static ap_kv_status_t failure_status(const pending_t *p, const ap_call_response_t *resp,
				     ap_err_t *err)
{
	if (resp->end == AP_CALL_NOT_SENT) {
		ap_err_set(err, "store cannot be reached");
		return AP_KV_UNAVAILABLE;
	}
	if (resp->end == AP_CALL_NO_RESPONSE)
		ap_err_set(err, "store sent no complete response");
	else
		ap_err_set(err, "store responded with status %d: %.100s", resp->code, resp->body);
	if (!p->write)
		return AP_KV_UNAVAILABLE;
	if (resp->end == AP_CALL_RESPONDED && resp->code >= 400 && resp->code < 500)
		return AP_KV_UNAVAILABLE;
	return AP_KV_UNSURE;
}

static uint64_t index_header(const ap_call_response_t *resp)
{
	const char *text = evhttp_find_header(resp->headers, "X-Consul-Index");

	return text ? strtoull(text, NULL, 10) : 0;
}

static json_int_t int_of(json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/* Fills @result from the first item of the response; @value gets its decoded bytes, to free(). */
static bool read_item(const ap_call_response_t *resp, ap_kv_result_t *result, unsigned char **value)
{
	json_t *root = json_loads(resp->body, 0, NULL);
	json_t *item = json_array_get(root, 0);
	const char *text = json_string_value(json_object_get(item, "Value"));
	const char *session = json_string_value(json_object_get(item, "Session"));
	bool ok = json_is_object(item);

	*value = NULL;
	if (ok) {
		result->index = (uint64_t)int_of(item, "ModifyIndex");
		result->lock_index = (uint64_t)int_of(item, "LockIndex");
		ap_copy_name(result->session, sizeof(result->session), session ? session : "");
	}
	if (ok && text) {
		size_t room = strlen(text) + 1;

		*value = malloc(room);
		ok = *value &&
		     sodium_base642bin(*value, room, text, strlen(text), NULL, &result->len, NULL,
				       sodium_base64_VARIANT_ORIGINAL) == 0;
		result->value = *value;
	}
	json_decref(root);
	return ok;
}

static void on_get(void *arg, const ap_call_response_t *resp)
{
	pending_t *p = arg;
	ap_kv_result_t result = {.status = AP_KV_OK};
	unsigned char *value = NULL;

	if (resp->end == AP_CALL_RESPONDED && resp->code == 404) {
		result.status = AP_KV_ABSENT;
		result.index = index_header(resp);
	} else if (resp->end != AP_CALL_RESPONDED || resp->code != 200) {
		result.status = failure_status(p, resp, &result.err);
	} else if (!read_item(resp, &result, &value)) {
		result.status = AP_KV_UNAVAILABLE;
		ap_err_set(&result.err, "store sent a response that is not a list of KV items");
	}
	finish(p, &result);
	free(value);
}

static bool succeeded(const ap_call_response_t *resp)
{
	return resp->end == AP_CALL_RESPONDED && resp->code == 200;
}

/* A success that says neither comes from a handler that returned early: failure_status(). */
static void on_put(void *arg, const ap_call_response_t *resp)
{
	pending_t *p = arg;
	ap_kv_result_t result = {.status = AP_KV_OK};

	if (succeeded(resp) && strncmp(resp->body, "true", strlen("true")) == 0)
		result.status = AP_KV_OK;
	else if (succeeded(resp) && strncmp(resp->body, "false", strlen("false")) == 0)
		result.status = AP_KV_CONFLICT;
	else if (resp->end == AP_CALL_RESPONDED && strstr(resp->body, "invalid session"))
		result.status = AP_KV_ABSENT;
	else
		result.status = failure_status(p, resp, &result.err);
	finish(p, &result);
}

/* Creating a session responds with an object, renewing one with a list of it. */
static bool read_session(const ap_call_response_t *resp, char id[AP_SESSION_MAX])
{
	json_t *root = json_loads(resp->body, 0, NULL);
	json_t *item = json_is_array(root) ? json_array_get(root, 0) : root;
	const char *text = json_string_value(json_object_get(item, "ID"));
	bool ok = text && text[0] && ap_copy_name(id, AP_SESSION_MAX, text);

	json_decref(root);
	return ok;
}

static void on_session(void *arg, const ap_call_response_t *resp)
{
	pending_t *p = arg;
	ap_kv_result_t result = {.status = AP_KV_OK};

	if (resp->end == AP_CALL_RESPONDED && resp->code == 404)
		result.status = AP_KV_ABSENT;
	else if (!succeeded(resp) || !read_session(resp, result.session))
		result.status = failure_status(p, resp, &result.err);
	finish(p, &result);
}

static void read_call(ap_platform_t *pl, const char *path, ap_usec_t limit, pending_t *p)
{
	ap_call_spec_t spec = {.to = &pl->settings->store,
			       .method = EVHTTP_REQ_GET,
			       .path = path,
			       .limit = limit,
			       .done = on_get,
			       .arg = p};

	pl->stats.reads++;
	ap_call(pl->calls, &spec);
}

static void send_write(ap_platform_t *pl, enum evhttp_cmd_type method, const char *path,
		       const void *body, size_t len, ap_call_done_t done, pending_t *p)
{
	ap_call_spec_t spec = {.to = &pl->settings->store,
			       .method = method,
			       .path = path,
			       .body = body,
			       .len = len,
			       .limit = STORE_CALL_TIMEOUT,
			       .done = done,
			       .arg = p};

	pl->stats.writes++;
	ap_call(pl->calls, &spec);
}

static void write_call(ap_platform_t *pl, const char *path, const void *body, size_t len,
		       ap_call_done_t done, pending_t *p)
{
	send_write(pl, EVHTTP_REQ_PUT, path, body, len, done, p);
}

static void kv_get(void *ctx, const char *key, uint64_t index, ap_usec_t wait, ap_kv_done_t done,
		   void *arg)
{
	char path[PATH_MAX_BYTES];
	ap_usec_t limit = STORE_CALL_TIMEOUT;

	if (index > 0 && wait > 0) {
		snprintf(path, sizeof(path), "/v1/kv/%s?index=%" PRIu64 "&wait=%" PRId64 "ms", key,
			 index, wait / AP_MSEC);
		limit = wait + WATCH_MARGIN;
	} else {
		snprintf(path, sizeof(path), "/v1/kv/%s", key);
	}
	read_call(ctx, path, limit, pending_new(ctx, done, arg, false));
}

static void kv_cas(void *ctx, const char *key, const void *value, size_t len, uint64_t index,
		   ap_kv_done_t done, void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/kv/%s?cas=%" PRIu64, key, index);
	write_call(ctx, path, value, len, on_put, pending_new(ctx, done, arg, true));
}

static void kv_del(void *ctx, const char *key, uint64_t index, ap_kv_done_t done, void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/kv/%s?cas=%" PRIu64, key, index);
	send_write(ctx, EVHTTP_REQ_DELETE, path, NULL, 0, on_put,
		   pending_new(ctx, done, arg, true));
}

static void kv_acquire(void *ctx, const char *key, const void *value, size_t len,
		       const char *session, ap_kv_done_t done, void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/kv/%s?acquire=%s", key, session);
	write_call(ctx, path, value, len, on_put, pending_new(ctx, done, arg, true));
}

static void kv_release(void *ctx, const char *key, const char *session, ap_kv_done_t done,
		       void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/kv/%s?release=%s", key, session);
	write_call(ctx, path, NULL, 0, on_put, pending_new(ctx, done, arg, true));
}

static void kv_session_create(void *ctx, ap_usec_t ttl, ap_kv_done_t done, void *arg)
{
	char body[128];
	int len =
		snprintf(body, sizeof(body),
			 "{\"TTL\":\"%" PRId64 "s\",\"Behavior\":\"release\",\"LockDelay\":\"0s\"}",
			 ttl / AP_SEC);

	write_call(ctx, "/v1/session/create", body, (size_t)len, on_session,
		   pending_new(ctx, done, arg, true));
}

static void kv_session_renew(void *ctx, const char *session, ap_kv_done_t done, void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/session/renew/%s", session);
	write_call(ctx, path, NULL, 0, on_session, pending_new(ctx, done, arg, true));
}

static void kv_session_destroy(void *ctx, const char *session, ap_kv_done_t done, void *arg)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "/v1/session/destroy/%s", session);
	write_call(ctx, path, NULL, 0, on_put, pending_new(ctx, done, arg, true));
}

ap_kv_port_t ap_platform_kv(ap_platform_t *p)
{
	return (ap_kv_port_t){
		.ctx = p,
		.get = kv_get,
		.cas = kv_cas,
		.del = kv_del,
		.acquire = kv_acquire,
		.release = kv_release,
		.session_create = kv_session_create,
		.session_renew = kv_session_renew,
		.session_destroy = kv_session_destroy,
	};
}
