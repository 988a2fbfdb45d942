/*
 * Settings and configuration documents with random changes from fixed seeds: nothing crashes, a
 * refusal carries a message, and a document that is accepted is accepted again when its result is
 * parsed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "conf/conf.h"
#include "settings/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ROUNDS_TEXT 1500
#define ROUNDS_TREE 3000
#define CHANGES_MAX 4
#define TEXT_MAX_BYTES 65536

static const char *const samples[] = {
	AP_SOURCE_DIR "/samples/bandeja-alta.toml",
	AP_SOURCE_DIR "/samples/rosario.toml",
	AP_SOURCE_DIR "/samples/entry.toml",
};

#define N_SAMPLES (sizeof(samples) / sizeof(samples[0]))
#define N_DOCUMENTS 2 /* samples that are configuration documents; they come first */

static size_t read_file(const char *path, char text[TEXT_MAX_BYTES])
{
	FILE *f = fopen(path, "r");
	size_t len;

	assert_non_null(f);
	len = fread(text, 1, TEXT_MAX_BYTES, f);
	fclose(f);
	return len;
}

static void write_file(const char *path, const char *text, size_t len)
{
	FILE *f = fopen(path, "w");

	assert_non_null(f);
	assert_int_equal(fwrite(text, 1, len, f), len);
	fclose(f);
}

static json_t *read_document(const char *path)
{
	ap_err_t err = {""};
	int line;
	char *text = ap_toml_read(path, &line, &err);
	json_t *json;

	if (!text) {
		assert_true(strlen(err.text) > 0);
		return NULL;
	}
	json = json_loads(text, 0, NULL);
	free(text);
	return json;
}

/*
 * Parses a document; if it is accepted, a copy of the result must be accepted and equal it.
 *
 * Return: whether the document was accepted.
 */
static bool check_document(json_t *json)
{
	ap_err_t err = {""};
	ap_conf_t *conf;
	ap_conf_t *again;
	json_t *copy;
	json_t *diff;

	if (ap_conf_parse(json, 1, &conf, &err) != AP_CONF_OK) {
		assert_null(conf);
		assert_true(strlen(err.text) > 0);
		return false;
	}
	copy = json_deep_copy(conf->json);
	assert_int_equal(ap_conf_parse(copy, 2, &again, &err), AP_CONF_OK);
	diff = ap_conf_diff(conf->json, again->json);
	assert_int_equal(json_array_size(diff), 0);
	json_decref(diff);
	ap_conf_unref(again);
	json_decref(copy);
	ap_conf_unref(conf);
	return true;
}

static void change_bytes(ap_rng_t *rng, char *text, size_t *len)
{
	static const char marks[] = "\"'[]{}=.,#\n-0e";
	size_t changes = 1 + ap_rng_below(rng, CHANGES_MAX);

	for (size_t i = 0; i < changes; i++) {
		size_t at = ap_rng_below(rng, *len);
		size_t cut = ap_rng_below(rng, *len - at);

		switch (ap_rng_below(rng, 4)) {
		case 0:
			text[at] = (char)ap_rng_u64(rng);
			break;
		case 1:
			text[at] = marks[ap_rng_below(rng, sizeof(marks) - 1)];
			break;
		case 2:
			cut = cut > 40 ? 40 : cut;
			memmove(text + at, text + at + cut, *len - at - cut);
			*len -= cut;
			break;
		default:
			*len = at > 0 ? at : 1;
			break;
		}
	}
}

static void test_changed_text(void **state)
{
	char path[] = "/tmp/fuzz-XXXXXX";
	int fd = mkstemp(path);
	char *original = malloc(TEXT_MAX_BYTES);
	char *text = malloc(TEXT_MAX_BYTES);
	ap_rng_t rng;

	(void)state;
	assert_true(fd >= 0 && original && text);
	close(fd);
	ap_rng_seed(&rng, 21);
	for (int i = 0; i < ROUNDS_TEXT; i++) {
		size_t sample = ap_rng_below(&rng, N_SAMPLES);
		size_t len = read_file(samples[sample], original);
		ap_settings_t settings;
		ap_err_t err = {""};
		json_t *json;

		memcpy(text, original, len);
		change_bytes(&rng, text, &len);
		write_file(path, text, len);
		if (ap_settings_load(path, &settings, &err) == AP_SETTINGS_OK)
			ap_settings_clear(&settings);
		else
			assert_memory_equal(err.text, path, strlen(path));
		json = read_document(path);
		if (json)
			check_document(json);
		json_decref(json);
	}
	unlink(path);
	free(text);
	free(original);
}

static json_t *random_value(ap_rng_t *rng)
{
	static const char *const texts[] = {"", "x", "a/b", "reservation", "1", "\xc3\xb1"};

	switch (ap_rng_below(rng, 8)) {
	case 0:
		return json_null();
	case 1:
		return json_boolean(ap_rng_below(rng, 2));
	case 2:
		return json_integer((json_int_t)ap_rng_u64(rng));
	case 3:
		return json_integer((json_int_t)ap_rng_below(rng, 100));
	case 4:
		return json_real((ap_rng_unit(rng) - 0.5) * 1e18);
	case 5:
		return json_string(texts[ap_rng_below(rng, sizeof(texts) / sizeof(texts[0]))]);
	case 6:
		return json_pack("[s, i]", "x", 3);
	default:
		return json_pack("{s:s, s:b, s:[]}", "work", "x", "trade", 1, "none");
	}
}

/* Descends to a random object, then replaces, removes or adds one value there. */
static void change_tree(ap_rng_t *rng, json_t *json)
{
	size_t n = json_object_size(json);
	void *at = json_object_iter(json);
	json_t *value;
	const char *key;

	if (n == 0)
		return;
	for (size_t skip = ap_rng_below(rng, n); skip > 0; skip--)
		at = json_object_iter_next(json, at);
	key = json_object_iter_key(at);
	value = json_object_iter_value(at);
	if (json_is_object(value) && json_object_size(value) > 0 && ap_rng_below(rng, 8) > 0)
		change_tree(rng, value);
	else if (ap_rng_below(rng, 4) == 0)
		json_object_set_new(json, "added", random_value(rng));
	else if (ap_rng_below(rng, 3) == 0)
		json_object_del(json, key);
	else
		json_object_set_new(json, key, random_value(rng));
}

/* A merge with an unchanged side gives the other side; a conflict carries a message. */
static void check_merge(json_t *base, json_t *mine, json_t *theirs)
{
	ap_err_t err = {""};
	json_t *merged;

	assert_int_equal(ap_conf_merge(base, mine, base, &merged, &err), AP_CONF_OK);
	assert_true(json_equal(merged, mine));
	json_decref(merged);
	assert_int_equal(ap_conf_merge(base, base, theirs, &merged, &err), AP_CONF_OK);
	assert_true(json_equal(merged, theirs));
	json_decref(merged);
	if (ap_conf_merge(base, mine, theirs, &merged, &err) == AP_CONF_CONFLICT)
		assert_true(strlen(err.text) > 0);
	json_decref(merged);
}

static void test_changed_trees(void **state)
{
	json_t *base[N_DOCUMENTS];
	size_t accepted = 0;
	ap_rng_t rng;

	(void)state;
	for (size_t i = 0; i < N_DOCUMENTS; i++) {
		base[i] = read_document(samples[i]);
		assert_non_null(base[i]);
		assert_true(check_document(base[i]));
	}
	ap_rng_seed(&rng, 22);
	for (int i = 0; i < ROUNDS_TREE; i++) {
		json_t *from = base[ap_rng_below(&rng, N_DOCUMENTS)];
		json_t *mine = json_deep_copy(from);
		json_t *theirs = json_deep_copy(from);

		change_tree(&rng, mine);
		change_tree(&rng, theirs);
		accepted += check_document(mine) ? 1 : 0;
		check_merge(from, mine, theirs);
		json_decref(theirs);
		json_decref(mine);
	}
	/* Of the changed documents 1 to 99 % must be valid, so that both outcomes are tested. */
	assert_in_range(accepted, ROUNDS_TREE / 100, ROUNDS_TREE - ROUNDS_TREE / 100);
	for (size_t i = 0; i < N_DOCUMENTS; i++)
		json_decref(base[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changed_text),
		cmocka_unit_test(test_changed_trees),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
