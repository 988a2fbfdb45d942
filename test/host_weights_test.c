/* Versions of the weights in headers of responses and requests, and in records. */
#include "platform/host.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#define V(n) ((ap_weights_t)(n) + 1)

typedef struct evkeyvalq headers_t;

static ap_host_response_t response_of(const char *const *values, size_t n)
{
	ap_host_response_t response;
	headers_t h;

	TAILQ_INIT(&h);
	evhttp_add_header(&h, "Server-Stamp", "s");
	evhttp_add_header(&h, "Request-Id", "abc");
	for (size_t i = 0; i < n; i++)
		evhttp_add_header(&h, "Weight-Versions", values[i]);
	response = ap_host_parse_response(&h, 200, "abc", true);
	evhttp_clear_headers(&h);
	return response;
}

/* Guards against a value that can't be read and is taken for some version. */
static void test_versions_of_responses(void **state)
{
	static const struct {
		const char *value;
		ap_weights_t weights;
	} cases[] = {
		{"0", V(0)},
		{"7", V(7)},
		{"007", V(7)},
		{"4294967292", V(4294967292u)},
		{"4294967293", V(4294967293u)},
		{"4294967295", V(4294967295u)},
		{"4294967296", V(4294967296u)},
		{"18446744073709551614", UINT64_MAX},
		{"18446744073709551615", AP_WEIGHTS_ANY},
		{"99999999999999999999999999", AP_WEIGHTS_ANY},
		{"-1", AP_WEIGHTS_ANY},
		{"-0", AP_WEIGHTS_ANY},
		{"1e3", AP_WEIGHTS_ANY},
		{"1.0", AP_WEIGHTS_ANY},
		{"7 8", AP_WEIGHTS_ANY},
		{"7,8", AP_WEIGHTS_ANY},
		{"latest", AP_WEIGHTS_ANY},
		{"0x7", AP_WEIGHTS_ANY},
		{"", AP_WEIGHTS_ANY},
	};
	static const char *const twice[] = {"3", "4"};
	ap_host_response_t response;

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		response = response_of(&cases[i].value, 1);
		assert_int_equal(response.weights, cases[i].weights);
		assert_int_equal(response.weights_invalid, cases[i].weights == AP_WEIGHTS_ANY);
	}
	response = response_of(NULL, 0);
	assert_int_equal(response.weights, AP_WEIGHTS_ANY);
	assert_false(response.weights_invalid);
	response = response_of(twice, 2);
	assert_int_equal(response.weights, V(3));
	assert_string_equal(ap_host_weights_field(), "weight-versions:");
}

static const char *expected(ap_weights_t weights, ap_host_headers_t *out, size_t *n)
{
	static headers_t h = TAILQ_HEAD_INITIALIZER(h);
	ap_host_upstream_request_t request = {.caller_headers = &h, .weights = weights};
	const char *value = NULL;

	evhttp_clear_headers(&h);
	evhttp_add_header(&h, "Expect-Version", "5");
	evhttp_add_header(&h, "Model", "m");
	assert_true(ap_host_request_headers(&request, out));
	*n = 0;
	for (size_t i = 0; i < out->n; i++) {
		if (strcasecmp(out->v[i].name, "Expect-Version") != 0)
			continue;
		value = out->v[i].value;
		++*n;
	}
	return value;
}

/* Guards against a version that a caller asks for by itself, and one that is asked for unasked. */
static void test_a_version_is_expected_only_if_asked_for(void **state)
{
	static ap_host_headers_t out;
	size_t n;

	(void)state;
	assert_null(expected(AP_WEIGHTS_ANY, &out, &n));
	assert_string_equal(expected(V(0), &out, &n), "0");
	assert_int_equal(n, 1);
	assert_string_equal(expected(V(7), &out, &n), "7");
	assert_string_equal(expected(V(4294967292u), &out, &n), "4294967292");
	assert_int_equal(n, 1);
	ap_host_headers_clear(&out);
}

static void read_entry(const char *models, ap_replica_entry_t *e)
{
	static char text[4096];
	ap_err_t err;

	snprintf(text, sizeof(text),
		 "{\"service\":\"p\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"ready\"%s%"
		 "s}",
		 *models ? ",\"models\":" : "", models);
	assert_int_equal(ap_host_parse_replica("i-1", text, strlen(text), e, &err), AP_HOST_OK);
}

/* Guards against an upstream that is lost, or misjudged, for a model that can't be read. */
static void test_models_of_records(void **state)
{
	static const char *const none[] = {
		"",
		"[]",
		"null",
		"7",
		"\"m\"",
		"{}",
		"{\"name\":\"m\",\"version\":1}",
		"[7,null,\"m\",[]]",
		"[{}]",
		"[{\"name\":\"m\"}]",
		"[{\"version\":1}]",
		"[{\"name\":7,\"version\":1}]",
		"[{\"name\":\"m\",\"version\":-1}]",
		"[{\"name\":\"m\",\"version\":1.5}]",
		"[{\"name\":\"m\",\"version\":\"1\"}]",
		"[{\"name\":\"m\",\"version\":null}]",
	};
	char many[1024] = "[";
	ap_replica_entry_t e;

	(void)state;
	for (size_t i = 0; i < sizeof(none) / sizeof(none[0]); i++) {
		read_entry(none[i], &e);
		assert_int_equal(e.n_models, 0);
	}
	read_entry("[{\"name\":\"m\",\"version\":-1},{\"name\":\"n\",\"version\":0},"
		   "{\"name\":\"o\",\"version\":9223372036854775807,\"adapters\":[]}]",
		   &e);
	assert_int_equal(e.n_models, 2);
	assert_int_equal(e.models[0].name, ap_host_model("n"));
	assert_int_equal(e.models[0].weights, V(0));
	assert_int_equal(e.models[1].name, ap_host_model("o"));
	assert_int_equal(e.models[1].weights, V(9223372036854775807));
	for (int i = 0; i < AP_MODELS_MAX + 4; i++)
		snprintf(many + strlen(many), sizeof(many) - strlen(many),
			 "%s{\"name\":\"m%d\",\"version\":%d}", i ? "," : "", i, i);
	strcat(many, "]");
	read_entry(many, &e);
	assert_int_equal(e.n_models, AP_MODELS_MAX);
	assert_int_equal(e.models[AP_MODELS_MAX - 1].weights, V(AP_MODELS_MAX - 1));
	assert_int_equal(ap_host_model(NULL), 0);
	assert_int_equal(ap_host_model(""), 0);
	assert_int_not_equal(ap_host_model("m"), 0);
}

/* Guards against a request that is held to another model's version. */
static void test_the_model_of_a_request(void **state)
{
	ap_host_request_t r;
	ap_err_t err;
	headers_t h;

	(void)state;
	TAILQ_INIT(&h);
	evhttp_add_header(&h, "Host", "x");
	evhttp_add_header(&h, "Request-Id", "abc");
	assert_int_equal(ap_host_parse_request(&h, &r, &err), AP_HOST_OK);
	assert_int_equal(r.model, 0);
	evhttp_add_header(&h, "Model", "m");
	assert_int_equal(ap_host_parse_request(&h, &r, &err), AP_HOST_OK);
	assert_int_equal(r.model, ap_host_model("m"));
	evhttp_clear_headers(&h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions_of_responses),
		cmocka_unit_test(test_a_version_is_expected_only_if_asked_for),
		cmocka_unit_test(test_models_of_records),
		cmocka_unit_test(test_the_model_of_a_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
