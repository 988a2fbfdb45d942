/* The client of the platform's store, against a server that responds as the store does. */
#include "http/http.h"
#include "platform/host.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

typedef struct rig {
	struct event_base *base;
	ap_http_server_t *server;
	int status;
	const char *era; /* header of the response; NULL for none */
	const char *body;
	ap_store_read_t read;
} rig_t;

static void on_request(void *ctx, ap_http_call_t *call)
{
	const rig_t *rig = ctx;
	ap_http_header_t era = {"Store-Era", rig->era};

	ap_http_reply(call, rig->status, &era, rig->era ? 1 : 0, rig->body, strlen(rig->body));
}

static void on_read(void *ctx, const ap_store_read_t *read)
{
	rig_t *rig = ctx;

	rig->read = *read;
	event_base_loopbreak(rig->base);
}

static void watch(rig_t *rig, int status, const char *era, const char *body)
{
	ap_address_t to = {.host = "127.0.0.1", .port = ap_http_server_port(rig->server)};
	ap_host_store_t *store = ap_host_store_new(rig->base, &to, AP_SEC);

	rig->status = status;
	rig->era = era;
	rig->body = body;
	rig->read = (ap_store_read_t){0};
	ap_host_store_watch(store, 7, 0, on_read, rig);
	event_base_dispatch(rig->base);
	ap_host_store_free(store);
}

/* Guards against revisions of different eras that are taken for those of one history. */
static void each_response_states_the_era(void **state)
{
	static const char changes[] = "{\"events\":[{\"key\":\"k\",\"rev\":9,\"deleted\":true}],"
				      "\"asOf\":9}";
	rig_t rig = {.base = ap_http_base_new()};
	ap_http_server_config_t config = {
		.base = rig.base,
		.host = "127.0.0.1",
		.header_bytes = 4096,
		.body_bytes = 4096,
		.connections = 8,
		.idle = AP_SEC,
		.arrival = AP_SEC,
		.ctx = &rig,
		.request = on_request,
	};
	ap_err_t err;

	(void)state;
	assert_int_equal(ap_http_server_new(&config, &rig.server, &err), AP_HTTP_STATUS_OK);
	watch(&rig, 200, "3", changes);
	assert_int_equal(rig.read.end, AP_STORE_OK);
	assert_int_equal(rig.read.n, 1);
	assert_int_equal(rig.read.as_of, 9);
	assert_int_equal(rig.read.era, 3);
	watch(&rig, 410, "4", "{}");
	assert_int_equal(rig.read.end, AP_STORE_COMPACTED);
	assert_int_equal(rig.read.era, 4);
	watch(&rig, 200, NULL, changes);
	assert_int_equal(rig.read.end, AP_STORE_OK);
	assert_int_equal(rig.read.era, 0);
	ap_http_server_free(rig.server);
	event_base_free(rig.base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_response_states_the_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
