/* Whole responses of an entry whose body can't be made, as when memory is short. */
#include "http_rig.h"

#include "entry.h"

#include <unistd.h>

/* Guards against a success with an empty body in place of one that could not be written. */
static void a_body_that_cannot_be_made_is_no_success(void **state)
{
	server_seen_t seen = {.base = event_base_new()};
	ap_http_server_t *server = serve(&seen);
	struct bufferevent *caller = start_connect(seen.base, ap_http_server_port(server),
						   "GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n");
	char got[512] = "";

	(void)state;
	RUN_UNTIL(seen.base, seen.call);
	reply_json(seen.call, 200, NULL);
	RUN_UNTIL(seen.base, evbuffer_get_length(bufferevent_get_input(caller)) > 0);
	bufferevent_read(caller, got, sizeof(got) - 1);
	if (strncmp(got, "HTTP/1.1 503 ", 13) != 0)
		fail_msg("expected 503, got: %s", got);
	bufferevent_free(caller);
	ap_http_server_free(server);
	event_base_free(seen.base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_body_that_cannot_be_made_is_no_success),
	};

	alarm(60);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
