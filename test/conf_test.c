/* Configuration documents: field checks, references, merge, diff, selectors and views. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "conf/conf.h"

#include <string.h>

#define HASH_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static const char document[] =
	"{'service': {"
	"  'ask': {'labels': {'trade': 'catering'}, 'class': 'short', 'models': {'size': 'small'},"
	"          'pools': {'tier': ['gpu', 'spare']}, 'deadline_ms': 1000, 'first_byte_ms': 500},"
	"  'book': {'plain': true, 'permit': true, 'home_bound': true, 'class': 'reservation',"
	"           'pools': {'tier': 'desk'}, 'deadline_ms': 1000, 'first_byte_ms': 500}},"
	" 'pool': {"
	"  'engines': {'labels': {'tier': 'gpu'}, 'instances': {'kind': 'engine', 'old': false},"
	"              'slots': 8, 'price_out': 1.5},"
	"  'desks': {'labels': {'tier': 'desk'}, 'instances': {'kind': 'desk'}, 'plain': true,"
	"            'slots': 4}},"
	" 'model': {'m': {'labels': {'size': 'small'}, 'version': '1', 'weight_bytes': 1000,"
	"                 'prefill_us': 10, 'decode_us': 20.5}},"
	" 'adapter': {'a': {'model': 'm', 'version': '1', 'weight_bytes': 10}},"
	" 'rule': {'r': {'models': {'size': 'small'}, 'pools': {'tier': 'gpu'}, 'replicas': 2}},"
	" 'caller': {'y': {'home': 'south', 'key_hash': '" HASH_B "', 'rate': 5},"
	"            'x': {'home': 'north', 'key_hash': '" HASH_A "', 'rate': 5}}}";

static json_t *load(const char *text)
{
	char buf[sizeof(document)];
	json_t *json;

	assert_true(strlen(text) < sizeof(buf));
	strcpy(buf, text);
	for (char *c = buf; *c; c++) {
		if (*c == '\'')
			*c = '"';
	}
	json = json_loads(buf, JSON_DECODE_ANY, NULL);
	assert_non_null(json);
	return json;
}

/* Sets or, with NULL, removes the value at kind/name/field. */
static void change(json_t *json, const char *kind, const char *name, const char *field,
		   const char *value)
{
	json_t *object = json_object_get(json_object_get(json, kind), name);

	if (value)
		json_object_set_new(object, field, load(value));
	else
		json_object_del(object, field);
}

static void test_complete_document(void **state)
{
	json_t *json = load(document);
	ap_conf_t *conf;
	ap_err_t err;
	const ap_service_t *service;

	(void)state;
	assert_int_equal(ap_conf_parse(json, 7, &conf, &err), AP_CONF_OK);
	json_decref(json);
	assert_int_equal(conf->generation, 7);
	service = ap_conf_service(conf, "ask");
	assert_non_null(service);
	assert_int_equal(service->deadline, 1000 * AP_MSEC);
	assert_int_equal(service->between_chunks, 5000 * AP_MSEC);
	assert_int_equal(service->cls, AP_CLASS_SHORT);
	assert_int_equal(service->pools.v[0].n, 2);
	assert_null(ap_conf_service(conf, "none"));
	assert_true(ap_conf_model(conf, "m")->decode_us == 20.5);
	assert_string_equal(ap_conf_adapter(conf, "a")->model, "m");
	assert_string_equal(conf->callers[0].name, "x");
	ap_conf_unref(ap_conf_ref(conf));
	ap_conf_unref(conf);
}

static const struct {
	const char *kind;
	const char *name;
	const char *field;
	const char *value;
	const char *message;
} faults[] = {
	{"service", "ask", "speed", "1", "service/ask/speed: unknown field"},
	{"service", "ask", "class", "'urgent'", "service/ask/class"},
	{"service", "ask", "deadline_ms", NULL, "service/ask/deadline_ms: is missing"},
	{"service", "ask", "deadline_ms", "'1s'", "service/ask/deadline_ms: must be a whole"},
	{"service", "ask", "deadline_ms", "0", "service/ask/deadline_ms: must be from 1"},
	{"service", "ask", "deadline_ms", "1.5", "service/ask/deadline_ms"},
	{"service", "ask", "deadline_ms", "499", "service/ask/first_byte_ms"},
	{"service", "ask", "home_bound", "1", "service/ask/home_bound"},
	{"service", "ask", "body_max", "99999999999", "service/ask/body_max"},
	{"service", "ask", "price_weight", "-1", "service/ask/price_weight"},
	{"service", "ask", "pools", "{'tier': 'gone'}", "service/ask/pools: selects no pool"},
	{"service", "ask", "pools", "{'tier': 'desk'}", "service/ask/pools: selects no pool"},
	{"service", "ask", "pools", "{'tier': 3}", "service/ask/pools"},
	{"service", "ask", "pools", "{'tier': []}", "service/ask/pools"},
	{"service", "ask", "pools", "{'a b': 'x'}", "service/ask/pools"},
	{"service", "ask", "models", NULL, "service/ask/models: selects no model"},
	{"service", "ask", "labels", "{'a': 1}", "service/ask/labels"},
	{"service", "book", "repeatable", "true", "service/book/permit"},
	{"service", "book", "resumable", "true", "service/book/resumable"},
	{"service", "book", "models", "{}", "service/book/models"},
	{"pool", "engines", "slots", "0", "pool/engines/slots"},
	{"pool", "engines", "slots", "70000", "pool/engines/slots"},
	{"pool", "engines", "instances", "[]", "pool/engines/instances"},
	{"model", "m", "version", "''", "model/m/version"},
	{"model", "m", "version", "'a/b'", "model/m/version"},
	{"model", "m", "weight_bytes", "1e3", "model/m/weight_bytes"},
	{"adapter", "a", "model", "'gone'", "adapter/a/model: no such model"},
	{"rule", "r", "models", NULL, "rule/r/models: needs models or adapters"},
	{"rule", "r", "models", "{'size': 'huge'}", "rule/r/models: selects no model"},
	{"rule", "r", "adapters", "{'x': true}", "rule/r/adapters: selects no adapter"},
	{"rule", "r", "pools", "{'tier': 'desk'}", "rule/r/pools"},
	{"caller", "x", "key_hash", "'" HASH_B "'", "key_hash: caller/"},
	{"caller", "x", "key_hash", "'abc'", "caller/x/key_hash"},
	{"caller", "x", "home", NULL, "caller/x/home: is missing"},
	{"caller", "x", "rate", "0", "caller/x/rate"},
};

static void test_each_fault_is_named(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		json_t *json = load(document);
		ap_conf_t *conf;
		ap_err_t err;

		change(json, faults[i].kind, faults[i].name, faults[i].field, faults[i].value);
		assert_int_equal(ap_conf_parse(json, 1, &conf, &err), AP_CONF_INVALID);
		assert_null(conf);
		if (!strstr(err.text, faults[i].message))
			fail_msg("row %zu: \"%s\" lacks \"%s\"", i, err.text, faults[i].message);
		json_decref(json);
	}
}

static void test_not_a_document(void **state)
{
	static const struct {
		const char *text;
		ap_conf_status_t status;
	} rows[] = {
		{"[]", AP_CONF_SYNTAX},
		{"3", AP_CONF_SYNTAX},
		{"{}", AP_CONF_OK},
		{"{'services': {}}", AP_CONF_INVALID},
		{"{'service': []}", AP_CONF_INVALID},
		{"{'model': {'a b': {}}}", AP_CONF_INVALID},
		{"{'model': {'a': 3}}", AP_CONF_INVALID},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		json_t *json = load(rows[i].text);
		ap_conf_t *conf;
		ap_err_t err;

		assert_int_equal(ap_conf_parse(json, 1, &conf, &err), rows[i].status);
		ap_conf_unref(conf);
		json_decref(json);
	}
}

static void test_caller_by_key(void **state)
{
	json_t *json = load(document);
	char hash[AP_KEY_HASH_TEXT_MAX];
	ap_conf_t *conf;

	(void)state;
	ap_key_hash("galley-key", hash);
	assert_int_equal(strlen(hash), 64);
	json_object_set_new(json_object_get(json_object_get(json, "caller"), "x"), "key_hash",
			    json_string(hash));
	assert_int_equal(ap_conf_parse(json, 1, &conf, NULL), AP_CONF_OK);
	assert_string_equal(ap_conf_caller_by_key(conf, "galley-key")->name, "x");
	assert_null(ap_conf_caller_by_key(conf, "galley-kez"));
	assert_null(ap_conf_caller_by_key(conf, ""));
	ap_conf_unref(conf);
	json_decref(json);
}

/* Each row changes two copies of a document; @conflict: the fields in conflict, or NULL. */
static const struct {
	const char *mine[3];
	const char *mine_value;
	const char *theirs[3];
	const char *theirs_value;
	const char *conflict;
} merges[] = {
	{{"service", "ask", "deadline_ms"}, "900", {"service", "ask", "class"}, "'long'", NULL},
	{{"service", "ask", "deadline_ms"}, "900", {"pool", "engines", "slots"}, "9", NULL},
	{{"pool", "engines", "slots"}, "9", {"pool", "engines", "slots"}, "9", NULL},
	{{"pool", "engines", "slots"},
	 "9",
	 {"pool", "engines", "slots"},
	 "7",
	 "pool/engines/slots"},
	{{"pool", "engines", "slots"},
	 NULL,
	 {"pool", "engines", "slots"},
	 "7",
	 "pool/engines/slots"},
	{{"pool", "engines", "labels"},
	 "{'a': 'b'}",
	 {"pool", "engines", "labels"},
	 "{'c': 'd'}",
	 "pool/engines/labels"},
};

static void test_merge_by_field(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(merges) / sizeof(merges[0]); i++) {
		json_t *base = load(document);
		json_t *mine = json_deep_copy(base);
		json_t *theirs = json_deep_copy(base);
		json_t *both = json_deep_copy(base);
		json_t *merged;
		ap_err_t err;

		change(mine, merges[i].mine[0], merges[i].mine[1], merges[i].mine[2],
		       merges[i].mine_value);
		change(theirs, merges[i].theirs[0], merges[i].theirs[1], merges[i].theirs[2],
		       merges[i].theirs_value);
		change(both, merges[i].mine[0], merges[i].mine[1], merges[i].mine[2],
		       merges[i].mine_value);
		change(both, merges[i].theirs[0], merges[i].theirs[1], merges[i].theirs[2],
		       merges[i].theirs_value);
		if (merges[i].conflict) {
			assert_int_equal(ap_conf_merge(base, mine, theirs, &merged, &err),
					 AP_CONF_CONFLICT);
			assert_string_equal(err.text, merges[i].conflict);
		} else {
			assert_int_equal(ap_conf_merge(base, mine, theirs, &merged, &err),
					 AP_CONF_OK);
			assert_true(json_equal(merged, both));
		}
		json_decref(merged);
		json_decref(both);
		json_decref(theirs);
		json_decref(mine);
		json_decref(base);
	}
}

static void test_merge_of_removed_and_changed_object(void **state)
{
	json_t *base = load(document);
	json_t *mine = json_deep_copy(base);
	json_t *theirs = json_deep_copy(base);
	json_t *merged;
	ap_err_t err;

	(void)state;
	json_object_del(json_object_get(mine, "rule"), "r");
	assert_int_equal(ap_conf_merge(base, mine, theirs, &merged, &err), AP_CONF_OK);
	assert_true(json_equal(merged, mine));
	json_decref(merged);
	change(theirs, "rule", "r", "replicas", "3");
	assert_int_equal(ap_conf_merge(base, mine, theirs, &merged, &err), AP_CONF_CONFLICT);
	assert_string_equal(err.text, "rule/r");
	json_decref(theirs);
	json_decref(mine);
	json_decref(base);
}

static void test_diff_names_fields(void **state)
{
	json_t *old = load(document);
	json_t *changed = json_deep_copy(old);
	json_t *expected =
		load("[{'field': 'pool/desks/slots', 'old': 4, 'new': 5},"
		     " {'field': 'rule/r/models', 'old': {'size': 'small'}, 'new': null},"
		     " {'field': 'rule/r/pools', 'old': {'tier': 'gpu'}, 'new': null},"
		     " {'field': 'rule/r/replicas', 'old': 2, 'new': null}]");
	json_t *diff;

	(void)state;
	change(changed, "pool", "desks", "slots", "5");
	json_object_del(json_object_get(changed, "rule"), "r");
	diff = ap_conf_diff(old, changed);
	assert_true(json_equal(diff, expected));
	json_decref(diff);
	diff = ap_conf_diff(old, old);
	assert_int_equal(json_array_size(diff), 0);
	json_decref(diff);
	json_decref(expected);
	json_decref(changed);
	json_decref(old);
}

static void test_selectors(void **state)
{
	ap_label_t label[] = {{"region", "north"}, {"tier", "gpu"}};
	ap_labels_t labels = {.v = label, .n = 2};
	char *values[] = {"south", "north"};
	ap_term_t in = {.key = "region", .match = AP_MATCH_IN, .values = values, .n = 2};
	ap_term_t other = {.key = "tier", .match = AP_MATCH_IN, .values = values, .n = 2};
	ap_term_t exists = {.key = "tier", .match = AP_MATCH_EXISTS};
	ap_term_t absent = {.key = "tier", .match = AP_MATCH_ABSENT};
	ap_term_t both[] = {in, exists};

	(void)state;
	assert_true(ap_selector_match(&(ap_selector_t){0}, &labels));
	assert_true(ap_selector_match(&(ap_selector_t){&in, 1}, &labels));
	assert_false(ap_selector_match(&(ap_selector_t){&other, 1}, &labels));
	assert_true(ap_selector_match(&(ap_selector_t){&exists, 1}, &labels));
	assert_false(ap_selector_match(&(ap_selector_t){&absent, 1}, &labels));
	assert_true(ap_selector_match(&(ap_selector_t){both, 2}, &labels));
	assert_false(ap_selector_match(&(ap_selector_t){both, 2}, &(ap_labels_t){0}));
}

static void test_view_copies_deeply(void **state)
{
	ap_label_t label = {"region", "north"};
	char *models[] = {"m"};
	ap_upstream_t upstream = {
		.id = "e1", .labels = {&label, 1}, .models = models, .n_models = 1};
	ap_entry_t entry = {.id = "n1"};
	ap_view_t *view = ap_view_new(3, NULL, &upstream, 1, &entry, 1);

	(void)state;
	label.value = "south";
	models[0] = "other";
	entry.id[0] = 'x';
	assert_int_equal(view->number, 3);
	assert_string_equal(ap_labels_get(&view->upstreams[0].labels, "region"), "north");
	assert_string_equal(view->upstreams[0].models[0], "m");
	assert_string_equal(view->entries[0].id, "n1");
	ap_view_unref(ap_view_ref(view));
	ap_view_unref(view);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_complete_document),
		cmocka_unit_test(test_each_fault_is_named),
		cmocka_unit_test(test_not_a_document),
		cmocka_unit_test(test_caller_by_key),
		cmocka_unit_test(test_merge_by_field),
		cmocka_unit_test(test_merge_of_removed_and_changed_object),
		cmocka_unit_test(test_diff_names_fields),
		cmocka_unit_test(test_selectors),
		cmocka_unit_test(test_view_copies_deeply),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
