/* Interim responses before the response to a small call. */
#include "call_rig.h"

/*
 * Guards against a whole response that is taken for none, as its peer closes in the moment in which
 * an interim response and it arrive.
 */
static void a_response_behind_an_interim_one_is_read_though_its_peer_closes(void **state)
{
	result_t got = call("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" OK
			    "Content-Length: 4\r\n\r\ntrue",
			    false, true);

	(void)state;
	assert_int_equal(got.end, AP_CALL_RESPONDED);
	assert_string_equal(got.body, "true");
}

/* Guards against bytes behind an interim response that are read no more. */
static void a_response_behind_interim_ones_may_come_in_pieces(void **state)
{
	static const char text[] =
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		"HTTP/1.1 102 Processing\r\n\r\n" OK "Content-Length: 4\r\n\r\ntrue";

	(void)state;
	for (size_t piece = 1; piece < sizeof(text); piece++) {
		result_t got = call_in_pieces(text, piece, false, piece % 2 == 0);

		if (got.end != AP_CALL_RESPONDED || strcmp(got.body, "true") != 0)
			fail_msg("pieces of %zu: end %d, body '%s'", piece, (int)got.end, got.body);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_response_behind_an_interim_one_is_read_though_its_peer_closes),
		cmocka_unit_test(a_response_behind_interim_ones_may_come_in_pieces),
	};

	alarm(60);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
