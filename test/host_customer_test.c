/* Customers and their keys in a configuration, and in the headers of requests. */
#include "platform/host.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define PLAN(tenants)                                                                              \
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"kind\":"     \
	"\"stream\",\"service\":\"p\",\"public\":true},{\"name\":\"q\",\"host\":\"g\",\"prefix\":" \
	"\"/\",\"kind\":\"stream\",\"service\":\"p\"}],\"services\":[{\"name\":\"p\"}],"           \
	"\"tenants\":" tenants "}"

static const char customers_text[] =
	PLAN("[{\"name\":\"acme\",\"apiKeys\":[\"k-1\",\"k-2\"],\"priority\":0,\"unit\":\"tokens\","
	     "\"plainTokens\":40,\"ratePerS\":5000,\"burst\":900.5,\"homeRegions\":[\"north\","
	     "\"south\"]},{\"name\":\"beta\",\"apiKeys\":[\"k-3\"]},{\"name\":\"keyless\"}]");

static ap_host_status_t parse(const char *text, ap_plan_t **plan, ap_err_t *err)
{
	*plan = NULL;
	*err = (ap_err_t){.text = ""};
	return ap_host_parse_plan(text, strlen(text), plan, err);
}

static ap_plan_t *plan_of(const char *text)
{
	ap_plan_t *plan;
	ap_err_t err;

	if (parse(text, &plan, &err) != AP_HOST_OK)
		fail_msg("%s: %s", text, err.text);
	return plan;
}

static const ap_customer_t *of_key(const ap_plan_t *plan, const char *key)
{
	return ap_plan_customer_of_key(plan, key, strlen(key));
}

static void customers_are_decoded(void **state)
{
	ap_plan_t *plan = plan_of(customers_text);
	const ap_customer_t *acme = of_key(plan, "k-2");
	const ap_customer_t *beta = of_key(plan, "k-3");

	(void)state;
	assert_int_equal(plan->n_customers, 3);
	assert_ptr_equal(acme, of_key(plan, "k-1"));
	assert_string_equal(acme->name, "acme");
	assert_true(acme->has_priority);
	assert_int_equal(acme->priority, 0);
	assert_int_equal(acme->unit, AP_UNIT_TOKENS);
	assert_int_equal(acme->plain_tokens, 40);
	assert_true(acme->rate == 5000 && acme->burst == 900.5);
	assert_true(ap_customer_allows_region(acme, "south"));
	assert_false(ap_customer_allows_region(acme, "west"));
	assert_string_equal(beta->name, "beta");
	assert_false(beta->has_priority);
	assert_int_equal(beta->unit, AP_UNIT_REQUESTS);
	assert_false(ap_customer_limited(beta));
	assert_true(ap_customer_allows_region(beta, "west"));
	assert_ptr_equal(ap_plan_find_customer(plan, "keyless"), &plan->customers[2]);
	assert_null(ap_plan_find_customer(plan, "nobody"));
	assert_null(of_key(plan, "k-"));
	assert_null(of_key(plan, "k-11"));
	assert_null(of_key(plan, ""));
	assert_true(ap_plan_match(plan, "h", "/")->open);
	assert_false(ap_plan_match(plan, "g", "/")->open);
	ap_plan_unref(plan);
}

static void a_plan_without_customers_has_none(void **state)
{
	static const char *const texts[] = {PLAN("[]"), PLAN("null"), "{\"version\":1}"};

	(void)state;
	for (size_t i = 0; i < COUNT(texts); i++) {
		ap_plan_t *plan = plan_of(texts[i]);

		assert_int_equal(plan->n_customers, 0);
		assert_null(of_key(plan, "k-1"));
		assert_null(ap_plan_find_customer(plan, "acme"));
		ap_plan_unref(plan);
	}
}

#define ONE(fields) PLAN("[{\"name\":\"a\",\"apiKeys\":[\"secret\"]," fields "}]")
#define E_10 "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
#define E_30 E_10 E_10 E_10
#define NAME_64 "nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn"

/*
 * Guards against a version with an entry that can't be read: its customers would be without keys,
 * without limits, or be served in regions that they exclude.
 */
static void malformed_customers_are_refused(void **state)
{
	static const char *const wrong[] = {
		PLAN("{}"),
		PLAN("\"a\""),
		PLAN("[7]"),
		PLAN("[null]"),
		PLAN("[{}]"),
		PLAN("[{\"apiKeys\":[\"secret\"]}]"),
		PLAN("[{\"name\":7}]"),
		PLAN("[{\"name\":\"\"}]"),
		PLAN("[{\"name\":\" a\"}]"),
		PLAN("[{\"name\":\"a \"}]"),
		PLAN("[{\"name\":\"a\\r\\nTenant: b\"}]"),
		PLAN("[{\"name\":\"" NAME_64 "\"}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"secret\",7]}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[null]}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"\"]}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"se\\u0000cret\"]}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":\"secret\"}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":{}}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":7}]"),
		PLAN("[{\"name\":\"a\"},{\"name\":\"a\"}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"secret\"]},{\"name\":\"b\",\"apiKeys\":["
		     "\"secret\"]}]"),
		ONE("\"homeRegions\":\"north\""),
		ONE("\"homeRegions\":{}"),
		ONE("\"homeRegions\":[7]"),
		ONE("\"homeRegions\":[\"" NAME_64 "\"]"),
		ONE("\"homeRegions\":[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]"),
		ONE("\"priority\":\"high\""),
		ONE("\"priority\":-1"),
		ONE("\"ratePerS\":\"100\""),
		ONE("\"ratePerS\":-100"),
		ONE("\"burst\":[]"),
		ONE("\"plainTokens\":\"9\""),
	};

	(void)state;
	for (size_t i = 0; i < COUNT(wrong); i++) {
		ap_plan_t *plan;
		ap_err_t err;

		if (parse(wrong[i], &plan, &err) == AP_HOST_OK)
			fail_msg("taken: %s", wrong[i]);
		assert_null(plan);
		assert_true(err.text[0]);
		assert_null(strstr(err.text, "secret"));
	}
}

/* Guards against a reason that is cut within a character: such a record is written without it. */
static void reasons_can_be_written(void **state)
{
	static const char *const wrong[] = {
		PLAN("[{\"name\":\"x" E_30 "\",\"apiKeys\":7}]"),
		PLAN("[{\"name\":\"x" E_30 E_30 "\"}]"),
	};

	(void)state;
	for (size_t i = 0; i < COUNT(wrong); i++) {
		ap_plan_t *plan;
		json_t *text;
		ap_err_t err;

		assert_int_equal(parse(wrong[i], &plan, &err), AP_HOST_INVALID);
		text = json_string(err.text);
		assert_non_null(text);
		json_decref(text);
	}
}

static void odd_customers_are_taken(void **state)
{
	static const char *const texts[] = {
		ONE("\"homeRegions\":[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\"]"),
		ONE("\"homeRegions\":null,\"priority\":null,\"ratePerS\":null,\"burst\":null"),
		ONE("\"ratePerS\":0,\"unit\":\"pieces\",\"new\":{}"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"secret\",\"secret\"]}]"),
		PLAN("[{\"name\":\"b\",\"apiKeys\":null},{\"name\":\"a\",\"apiKeys\":[\"secret\"]}"
		     "]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"secret\",\"cl\\u00e9\"]}]"),
	};

	(void)state;
	for (size_t i = 0; i < COUNT(texts); i++) {
		ap_plan_t *plan = plan_of(texts[i]);

		assert_string_equal(of_key(plan, "secret")->name, "a");
		ap_plan_unref(plan);
	}
}

/* A truncated list of customers is refused; one with a changed byte is refused or decoded. */
static void damaged_customers_do_no_harm(void **state)
{
	static const char marks[] = "\"[]{},:0\\\x80\x01";
	size_t len = strlen(customers_text);
	char *copy = strdup(customers_text);
	ap_plan_t *plan;
	ap_err_t err;

	(void)state;
	for (size_t n = 0; n < len; n++)
		assert_int_not_equal(ap_host_parse_plan(customers_text, n, &plan, &err),
				     AP_HOST_OK);
	for (size_t i = 0; i < len; i++) {
		for (size_t k = 0; k < sizeof(marks) - 1; k++) {
			copy[i] = marks[k];
			if (ap_host_parse_plan(copy, len, &plan, &err) == AP_HOST_OK)
				ap_plan_unref(plan);
		}
		copy[i] = customers_text[i];
	}
	free(copy);
}

static uint64_t hash_of(const char *text)
{
	ap_plan_t *plan = plan_of(text);
	uint64_t hash = plan->customers[0].hash;

	ap_plan_unref(plan);
	return hash;
}

/* Two instances compare it, so it must not depend on the process or on the order of a list. */
static void the_hash_covers_name_regions_and_keys(void **state)
{
	static const char same[] =
		PLAN("[{\"homeRegions\":[\"s\",\"n\"],\"apiKeys\":[\"2\",\"1\"],\"name\":\"a\","
		     "\"burst\":9}]");
	static const char *const others[] = {
		PLAN("[{\"name\":\"b\",\"apiKeys\":[\"1\",\"2\"],\"homeRegions\":[\"n\",\"s\"]}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"1\"],\"homeRegions\":[\"n\",\"s\"]}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"1\",\"2\"],\"homeRegions\":[\"n\"]}]"),
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"1\",\"2\",\"n\",\"s\"]}]"),
	};
	uint64_t hash = hash_of(
		PLAN("[{\"name\":\"a\",\"apiKeys\":[\"1\",\"2\"],\"homeRegions\":[\"n\",\"s\"]}]"));

	(void)state;
	assert_int_equal(hash_of(same), hash);
	for (size_t i = 0; i < COUNT(others); i++)
		assert_int_not_equal(hash_of(others[i]), hash);
}

/* Fields of a request's head, ended by a NULL. */
typedef const char *const fields_t[2 * 8];

static void add_fields(struct evkeyvalq *h, fields_t fields)
{
	TAILQ_INIT(h);
	evhttp_add_header(h, "Host", "h");
	for (size_t i = 0; i < COUNT(*(fields_t *)NULL) && fields[i]; i += 2)
		evhttp_add_header(h, fields[i], fields[i + 1]);
}

static void check_credentials(fields_t fields, ap_host_credentials_t expected, const char *key)
{
	struct evkeyvalq h;
	ap_host_request_t r;
	ap_err_t err;

	add_fields(&h, fields);
	assert_int_equal(ap_host_parse_request(&h, &r, &err), AP_HOST_OK);
	if (r.credentials != expected)
		fail_msg("%s: %d, not %d", fields[1] ? fields[1] : "nothing", r.credentials,
			 expected);
	if (key) {
		assert_int_equal(r.key_len, strlen(key));
		assert_memory_equal(r.key, key, r.key_len);
	}
	evhttp_clear_headers(&h);
}

static void keys_are_read_from_headers(void **state)
{
	static const struct {
		fields_t fields;
		const char *key;
	} keys[] = {
		{{"Authorization", "Bearer k"}, "k"},
		{{"AUTHORIZATION", "bEARER k"}, "k"},
		{{"authorization", "Bearer   k"}, "k"},
		{{"Authorization", "Bearer k \t"}, "k"},
		{{"Authorization", "Bearer aZ09-._~+/=="}, "aZ09-._~+/=="},
		{{"Authorization", "Bearer =k=k"}, "=k=k"},
		{{"Authorization", "Bearer a:b,c\"d"}, "a:b,c\"d"},
		{{"Authorization", "Bearer cl\xc3\xa9"}, "cl\xc3\xa9"},
		{{"Connection", "Authorization", "Authorization", "Bearer k"}, "k"},
	};
	static const fields_t malformed[] = {
		{"Authorization", ""},
		{"Authorization", "k"},
		{"Authorization", "Bearer"},
		{"Authorization", "Bearer "},
		{"Authorization", "Bearer \t k"},
		{"Authorization", "Bearer\tk"},
		{"Authorization", "Bearerk"},
		{"Authorization", "Basic k"},
		{"Authorization", "Bearer Bearer k"},
		{"Authorization", "Bearer k, Bearer l"},
		{"Authorization", "Bearer k\x01"},
		{"Authorization", "Bearer k\x7f"},
		{"Authorization", "Bearer k", "Authorization", "Bearer k"},
		{"Authorization", "Bearer k", "authorization", "Basic k"},
		{"Authorization", "Basic k", "authorization", "Bearer k"},
	};
	static const fields_t none[] = {
		{NULL}, {"Proxy-Authorization", "Bearer k"}, {"Authorizatio", "Bearer k"}};

	(void)state;
	for (size_t i = 0; i < COUNT(keys); i++)
		check_credentials(keys[i].fields, AP_HOST_CREDENTIALS_KEY, keys[i].key);
	for (size_t i = 0; i < COUNT(malformed); i++)
		check_credentials(malformed[i], AP_HOST_CREDENTIALS_MALFORMED, NULL);
	for (size_t i = 0; i < COUNT(none); i++)
		check_credentials(none[i], AP_HOST_CREDENTIALS_NONE, NULL);
}

static void counts_of_tokens_are_read(void **state)
{
	static const struct {
		const char *text;
		bool counted;
		uint64_t tokens;
	} cases[] = {
		{"10,5", true, 15},
		{"0,0", true, 0},
		{"18446744073709551615,1", true, UINT64_MAX},
		{"99999999999999999999999,7", true, UINT64_MAX},
		{"", false, 0},
		{"10", false, 0},
		{"10,", false, 0},
		{",5", false, 0},
		{"10,5,1", false, 0},
		{"10, 5", false, 0},
		{"-1,5", false, 0},
		{"+1,5", false, 0},
		{"1.5,5", false, 0},
		{"0x10,5", false, 0},
	};

	(void)state;
	for (size_t i = 0; i < COUNT(cases); i++) {
		fields_t fields = {"Token-Count", cases[i].text};
		struct evkeyvalq h;
		ap_host_request_t r;
		ap_err_t err;

		add_fields(&h, fields);
		assert_int_equal(ap_host_parse_request(&h, &r, &err), AP_HOST_OK);
		assert_int_equal(r.counted, cases[i].counted);
		assert_true(r.tokens == cases[i].tokens);
		evhttp_clear_headers(&h);
	}
}

/* Formats the headers that are passed on, but for the deadline, as "name: value;". */
static void passed_on(fields_t fields, bool keyed, const char *customer, char text[512])
{
	struct evkeyvalq h;
	ap_host_upstream_request_t request = {
		.caller_headers = &h, .priority = 10, .keyed = keyed, .customer = customer};
	ap_host_headers_t out = {0};
	size_t n = 0;

	add_fields(&h, fields);
	request.weights = AP_WEIGHTS_ANY;
	assert_true(ap_host_request_headers(&request, &out));
	text[0] = '\0';
	for (size_t i = 0; i < out.n; i++) {
		if (strcmp(out.v[i].name, "Deadline-Ms") != 0)
			n += (size_t)snprintf(text + n, 512 - n, "%s: %s;", out.v[i].name,
					      out.v[i].value);
	}
	ap_host_headers_clear(&out);
	evhttp_clear_headers(&h);
}

/* Whatever a caller sends as Tenant. A trailer's fields are among those of the head. */
static const fields_t forged[] = {
	{"Authorization", "Bearer k"},
	{"Tenant", "forged", "Authorization", "Bearer k"},
	{"tenant", "forged", "TENANT", "forged", "tEnAnT", "forged"},
	{"Connection", "Tenant, Authorization", "Tenant", "forged", "authorization", "Bearer k"},
	{"Connection", "close", "Tenant", "", "Authorization", "Basic k"},
};

/* Guards against a key that reaches an upstream and against a Tenant that is not the gateway's. */
static void upstreams_get_the_customer_from_the_gateway_alone(void **state)
{
	char text[512];

	(void)state;
	for (size_t i = 0; i < COUNT(forged); i++) {
		passed_on(forged[i], true, "acme", text);
		assert_string_equal(text, "Host: h;Tenant: acme;");
		passed_on(forged[i], true, NULL, text);
		assert_string_equal(text, "Host: h;");
	}
}

/* Guards against a change for deployments without customers. */
static void without_customers_headers_are_passed_on_as_before(void **state)
{
	static const fields_t fields = {"Tenant", "x", "Authorization", "Bearer k", "tenant", "y"};
	static const fields_t listed = {"Connection", "Tenant, Authorization", "Tenant",
					"x",	      "Authorization",	       "Bearer k"};
	char text[512];

	(void)state;
	passed_on(fields, false, NULL, text);
	assert_string_equal(text, "Host: h;Tenant: x;Authorization: Bearer k;tenant: y;");
	passed_on(listed, false, NULL, text);
	assert_string_equal(text, "Host: h;Authorization: Bearer k;");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(customers_are_decoded),
		cmocka_unit_test(a_plan_without_customers_has_none),
		cmocka_unit_test(malformed_customers_are_refused),
		cmocka_unit_test(reasons_can_be_written),
		cmocka_unit_test(odd_customers_are_taken),
		cmocka_unit_test(damaged_customers_do_no_harm),
		cmocka_unit_test(the_hash_covers_name_regions_and_keys),
		cmocka_unit_test(keys_are_read_from_headers),
		cmocka_unit_test(counts_of_tokens_are_read),
		cmocka_unit_test(upstreams_get_the_customer_from_the_gateway_alone),
		cmocka_unit_test(without_customers_headers_are_passed_on_as_before),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
