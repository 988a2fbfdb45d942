/* The platform adapter against a fake HTTP server: the result of each response and each fault. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "platform/platform.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

/* How the fake server fails the next requests. */
typedef enum fault {
	FAULT_NONE,
	FAULT_HANG_UP, /* closes the connection without a response */
	FAULT_REFUSE,  /* refuses connections */
	FAULT_STALL,   /* never responds */
} fault_t;

typedef struct fake {
	fault_t fault;
	int code;
	const char *body;
	const char *tag;	/* ETag of the response; NULL for none */
	char if_none_match[64]; /* If-None-Match of the last request */
	char uri[256];
	int requests;
} fake_t;

static struct event_base *base;
static struct evhttp *server;
static uint16_t server_port;
static fake_t fake;

static void on_request(struct evhttp_request *req, void *arg)
{
	struct evbuffer *buf = evbuffer_new();
	const char *known;

	(void)arg;
	fake.requests++;
	ap_copy_name(fake.uri, sizeof(fake.uri), evhttp_request_get_uri(req));
	known = evhttp_find_header(evhttp_request_get_input_headers(req), "If-None-Match");
	ap_copy_name(fake.if_none_match, sizeof(fake.if_none_match), known ? known : "");
	if (fake.fault == FAULT_HANG_UP) {
		evhttp_connection_free(evhttp_request_get_connection(req));
	} else if (fake.fault != FAULT_STALL) {
		evbuffer_add(buf, fake.body, strlen(fake.body));
		evhttp_add_header(evhttp_request_get_output_headers(req), "X-Consul-Index", "41");
		if (fake.tag)
			evhttp_add_header(evhttp_request_get_output_headers(req), "ETag", fake.tag);
		evhttp_send_reply(req, fake.code, NULL, buf);
	}
	evbuffer_free(buf);
}

static void start(fault_t fault, int code, const char *body, ap_settings_t *settings)
{
	fake = (fake_t){.fault = fault, .code = code, .body = body};
	*settings = (ap_settings_t){0};
	ap_copy_name(settings->store.host, AP_HOST_MAX, "127.0.0.1");
	/* Port 1 is reserved and refuses connections. */
	settings->store.port = fault == FAULT_REFUSE ? 1 : server_port;
	settings->instances = settings->store;
	settings->directory = settings->store;
}

typedef struct got {
	int calls;
	ap_kv_status_t status;
	uint64_t index;
	uint64_t lock_index;
	char value[32];
	char session[AP_SESSION_MAX];
} got_t;

static void on_done(void *arg, const ap_kv_result_t *result)
{
	got_t *got = arg;

	got->calls++;
	got->status = result->status;
	got->index = result->index;
	got->lock_index = result->lock_index;
	ap_copy_name(got->session, sizeof(got->session), result->session);
	if (result->len < sizeof(got->value) && result->value)
		memcpy(got->value, result->value, result->len);
	event_base_loopbreak(base);
}

typedef enum operation {
	OP_GET,
	OP_WATCH,
	OP_CAS,
	OP_DELETE,
	OP_ACQUIRE,
	OP_RELEASE,
	OP_SESSION,
	OP_RENEW,
} operation_t;

static got_t perform(operation_t op, const ap_settings_t *settings)
{
	ap_platform_t *p = ap_platform_new(base, settings);
	ap_kv_port_t kv = ap_platform_kv(p);
	got_t got = {0};

	if (op == OP_GET)
		kv.get(kv.ctx, "a/b", 0, 0, on_done, &got);
	else if (op == OP_WATCH)
		kv.get(kv.ctx, "a/b", 7, 1500 * AP_MSEC, on_done, &got);
	else if (op == OP_CAS)
		kv.cas(kv.ctx, "a/b", "xyz", 3, 9, on_done, &got);
	else if (op == OP_DELETE)
		kv.del(kv.ctx, "a/b", 9, on_done, &got);
	else if (op == OP_ACQUIRE)
		kv.acquire(kv.ctx, "a/b", "xyz", 3, "S", on_done, &got);
	else if (op == OP_RELEASE)
		kv.release(kv.ctx, "a/b", "S", on_done, &got);
	else if (op == OP_SESSION)
		kv.session_create(kv.ctx, 15 * AP_SEC, on_done, &got);
	else
		kv.session_renew(kv.ctx, "S", on_done, &got);
	assert_int_equal(got.calls, 0); /* the callback never runs within the call */
	event_base_dispatch(base);
	event_base_loop(base, EVLOOP_NONBLOCK);
	ap_platform_free(p);
	return got;
}

#define ITEM                                                                                       \
	"[{\"Key\":\"a/b\",\"Value\":\"aGVsbG8=\",\"ModifyIndex\":12,\"LockIndex\":3,"             \
	"\"Session\":\"S\"}]"

static const struct {
	operation_t op;
	fault_t fault;
	int code;
	const char *body;
	ap_kv_status_t expected;
	const char *uri;
} rows[] = {
	{OP_GET, FAULT_NONE, 200, ITEM, AP_KV_OK, "/v1/kv/a/b"},
	{OP_GET, FAULT_NONE, 404, "", AP_KV_ABSENT, NULL},
	{OP_GET, FAULT_NONE, 500, "no leader", AP_KV_UNAVAILABLE, NULL},
	{OP_GET, FAULT_NONE, 200, "[]", AP_KV_UNAVAILABLE, NULL},
	{OP_GET, FAULT_NONE, 200, "{", AP_KV_UNAVAILABLE, NULL},
	{OP_GET, FAULT_NONE, 200, "[{\"Value\":\"!\"}]", AP_KV_UNAVAILABLE, NULL},
	{OP_GET, FAULT_HANG_UP, 0, "", AP_KV_UNAVAILABLE, NULL},
	{OP_GET, FAULT_REFUSE, 0, "", AP_KV_UNAVAILABLE, NULL},
	{OP_WATCH, FAULT_NONE, 200, ITEM, AP_KV_OK, "/v1/kv/a/b?index=7&wait=1500ms"},
	{OP_CAS, FAULT_NONE, 200, "true", AP_KV_OK, "/v1/kv/a/b?cas=9"},
	{OP_CAS, FAULT_NONE, 200, "false", AP_KV_CONFLICT, NULL},
	{OP_CAS, FAULT_NONE, 500, "no leader", AP_KV_UNSURE, NULL},
	{OP_CAS, FAULT_NONE, 413, "too large", AP_KV_UNAVAILABLE, NULL},
	{OP_CAS, FAULT_HANG_UP, 0, "", AP_KV_UNSURE, NULL},
	{OP_CAS, FAULT_REFUSE, 0, "", AP_KV_UNAVAILABLE, NULL},
	{OP_DELETE, FAULT_NONE, 200, "true", AP_KV_OK, "/v1/kv/a/b?cas=9"},
	{OP_DELETE, FAULT_NONE, 200, "false", AP_KV_CONFLICT, NULL},
	{OP_DELETE, FAULT_NONE, 500, "no leader", AP_KV_UNSURE, NULL},
	{OP_DELETE, FAULT_HANG_UP, 0, "", AP_KV_UNSURE, NULL},
	{OP_DELETE, FAULT_REFUSE, 0, "", AP_KV_UNAVAILABLE, NULL},
	{OP_ACQUIRE, FAULT_NONE, 200, "true", AP_KV_OK, "/v1/kv/a/b?acquire=S"},
	{OP_ACQUIRE, FAULT_NONE, 200, "false", AP_KV_CONFLICT, NULL},
	{OP_ACQUIRE, FAULT_NONE, 500, "invalid session \"S\"", AP_KV_ABSENT, NULL},
	{OP_ACQUIRE, FAULT_HANG_UP, 0, "", AP_KV_UNSURE, NULL},
	{OP_RELEASE, FAULT_NONE, 200, "true", AP_KV_OK, "/v1/kv/a/b?release=S"},
	{OP_SESSION, FAULT_NONE, 200, "{\"ID\":\"T\"}", AP_KV_OK, "/v1/session/create"},
	{OP_SESSION, FAULT_HANG_UP, 0, "", AP_KV_UNSURE, NULL},
	{OP_RENEW, FAULT_NONE, 200, "[{\"ID\":\"S\"}]", AP_KV_OK, "/v1/session/renew/S"},
	{OP_RENEW, FAULT_NONE, 404, "", AP_KV_ABSENT, NULL},
	{OP_RENEW, FAULT_REFUSE, 0, "", AP_KV_UNAVAILABLE, NULL},
};

static void test_each_response_and_fault(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		ap_settings_t settings;
		got_t got;

		start(rows[i].fault, rows[i].code, rows[i].body, &settings);
		got = perform(rows[i].op, &settings);
		if (got.calls != 1 || got.status != rows[i].expected)
			fail_msg("row %zu: %d callbacks, status %d", i, got.calls, got.status);
		if (rows[i].uri)
			assert_string_equal(fake.uri, rows[i].uri);
		if (rows[i].fault != FAULT_REFUSE)
			assert_int_equal(fake.requests, 1); /* a write is not sent twice */
	}
}

/* Guards against a write or renewal that counts as decided though its response doesn't say so. */
static void a_success_that_ends_early_decides_nothing(void **state)
{
	static const struct {
		operation_t op;
		const char *body;
	} cases[] = {
		{OP_CAS, ""},
		{OP_CAS, "tr"},
		{OP_DELETE, ""},
		{OP_ACQUIRE, ""},
		{OP_RELEASE, ""},
		{OP_SESSION, ""},
		{OP_SESSION, "{}"},
		{OP_SESSION, "{\"ID\":\"\"}"},
		{OP_RENEW, ""},
		{OP_RENEW, "[]"},
		{OP_RENEW, "[{\"ID\":\"S\"}"},
	};

	size_t wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ap_settings_t settings;
		got_t got;

		start(FAULT_NONE, 200, cases[i].body, &settings);
		got = perform(cases[i].op, &settings);
		if (got.calls == 1 && got.status == AP_KV_UNSURE)
			continue;
		print_error("case %zu, '%s': status %d instead of %d\n", i, cases[i].body,
			    got.status, AP_KV_UNSURE);
		wrong++;
	}
	assert_int_equal(wrong, 0);
}

static void test_values_are_decoded(void **state)
{
	ap_settings_t settings;
	got_t got;

	(void)state;
	start(FAULT_NONE, 200, ITEM, &settings);
	got = perform(OP_GET, &settings);
	assert_string_equal(got.value, "hello");
	assert_int_equal(got.index, 12);
	assert_int_equal(got.lock_index, 3);
	assert_string_equal(got.session, "S");
	start(FAULT_NONE, 404, "", &settings);
	assert_int_equal(perform(OP_GET, &settings).index, 41);
	start(FAULT_NONE, 200, "{\"ID\":\"T\"}", &settings);
	assert_string_equal(perform(OP_SESSION, &settings).session, "T");
}

static ap_listing_t *fleet;
static bool list_failed;

static void on_list(void *ctx, ap_listing_t *list, ap_err_t *err)
{
	(void)ctx;
	fleet = list;
	list_failed = err != NULL;
	event_base_loopbreak(base);
}

static void test_instance_list(void **state)
{
	static const char list[] =
		"{\"instances\":["
		"{\"id\":\"u\",\"role\":\"upstream\",\"host\":\"127.0.0.1\",\"port\":9,"
		"\"region\":\"r\",\"data_centre\":\"d\",\"state\":\"leaving\","
		"\"labels\":{\"tier\":\"gpu\",\"region\":\"forged\"}},"
		"{\"id\":\"no-port\",\"role\":\"upstream\",\"host\":\"127.0.0.1\","
		"\"region\":\"r\",\"data_centre\":\"d\"},"
		"{\"id\":\"e\",\"role\":\"entry\",\"host\":\"127.0.0.1\",\"port\":1,\"data_port\":"
		"2,"
		"\"control_port\":3,\"region\":\"r\",\"data_centre\":\"d\",\"state\":\"live\"}]}";
	ap_settings_t settings;
	ap_platform_t *p;

	(void)state;
	start(FAULT_NONE, 200, list, &settings);
	p = ap_platform_new(base, &settings);
	ap_platform_list(p, NULL, on_list, NULL);
	event_base_dispatch(base);
	assert_non_null(fleet);
	assert_int_equal(fleet->n_upstreams, 1);
	assert_true(fleet->upstreams[0].draining);
	assert_string_equal(ap_labels_get(&fleet->upstreams[0].labels, "tier"), "gpu");
	assert_string_equal(ap_labels_get(&fleet->upstreams[0].labels, "region"), "r");
	assert_int_equal(fleet->n_entries, 1);
	assert_int_equal(fleet->entries[0].control_port, 3);
	ap_listing_free(fleet);
	fake.body = "{}";
	ap_platform_list(p, NULL, on_list, NULL);
	event_base_dispatch(base);
	assert_null(fleet);
	ap_platform_free(p);
}

/* A list whose ETag is known already is neither sent nor decoded again. */
static void test_unchanged_list(void **state)
{
	static const struct {
		const char *tag;   /* ETag of the platform's list */
		const char *known; /* If-None-Match of the next request; NULL for none */
	} cases[] = {{NULL, NULL}, {"\"a1\"", "\"a1\""}};
	ap_settings_t settings;
	ap_listing_t *first;
	ap_platform_t *p;

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		start(FAULT_NONE, 200, "{\"instances\":[]}", &settings);
		fake.tag = cases[i].tag;
		p = ap_platform_new(base, &settings);
		ap_platform_list(p, NULL, on_list, NULL);
		event_base_dispatch(base);
		first = fleet;
		assert_non_null(first);
		fake.code = 304;
		fake.body = "";
		ap_platform_list(p, first, on_list, NULL);
		event_base_dispatch(base);
		assert_null(fleet);
		assert_int_equal(list_failed, cases[i].known == NULL);
		assert_string_equal(fake.if_none_match, cases[i].known ? cases[i].known : "");
		ap_listing_free(first);
		ap_platform_free(p);
	}
}

static void test_cancelled_calls_are_freed(void **state)
{
	ap_settings_t settings;
	got_t got = {0};
	ap_platform_t *p;
	ap_kv_port_t kv;

	(void)state;
	start(FAULT_STALL, 200, ITEM, &settings);
	p = ap_platform_new(base, &settings);
	kv = ap_platform_kv(p);
	kv.get(kv.ctx, "k", 0, 0, on_done, &got);
	while (fake.requests == 0)
		event_base_loop(base, EVLOOP_ONCE);
	ap_platform_free(p);
	event_base_loop(base, EVLOOP_NONBLOCK);
	assert_int_equal(got.calls, 0);
}

static void test_finished_calls_are_reported_once(void **state)
{
	ap_settings_t settings;
	got_t got = {0};
	ap_platform_t *p;
	ap_kv_port_t kv;

	(void)state;
	start(FAULT_STALL, 200, ITEM, &settings);
	p = ap_platform_new(base, &settings);
	kv = ap_platform_kv(p);
	kv.cas(kv.ctx, "k", "v", 1, 0, on_done, &got);
	while (fake.requests == 0)
		event_base_loop(base, EVLOOP_ONCE);
	ap_platform_fail_pending(p);
	assert_int_equal(got.calls, 1);
	assert_int_equal(got.status, AP_KV_UNSURE);
	ap_platform_free(p);
	event_base_loop(base, EVLOOP_NONBLOCK);
	assert_int_equal(got.calls, 1);
}

static int setup(void **state)
{
	struct evhttp_bound_socket *bound;
	struct sockaddr_in addr = {0};
	socklen_t len = sizeof(addr);

	(void)state;
	base = event_base_new();
	server = evhttp_new(base);
	evhttp_set_gencb(server, on_request, NULL);
	bound = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
	if (!bound)
		return -1;
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&addr, &len);
	server_port = ntohs(addr.sin_port);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	evhttp_free(server);
	event_base_free(base);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_response_and_fault),
		cmocka_unit_test(a_success_that_ends_early_decides_nothing),
		cmocka_unit_test(test_values_are_decoded),
		cmocka_unit_test(test_instance_list),
		cmocka_unit_test(test_unchanged_list),
		cmocka_unit_test(test_cancelled_calls_are_freed),
		cmocka_unit_test(test_finished_calls_are_reported_once),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
