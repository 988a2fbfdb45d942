/* Commands for the configuration: apply, get, diff. */
#include "http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_PARTS_MAX 3

static bool is_toml(const char *path)
{
	size_t len = strlen(path);

	return len > 5 && strcmp(path + len - 5, ".toml") == 0;
}

static json_t *load_document(const char *path, ap_err_t *err)
{
	json_error_t where;
	json_t *json;
	char *text;
	int line;

	if (!is_toml(path)) {
		json = json_load_file(path, JSON_REJECT_DUPLICATES, &where);
		if (!json)
			ap_err_set(err, "%s:%d: %s", path, where.line, where.text);
		return json;
	}
	text = ap_toml_read(path, &line, err);
	if (!text)
		return NULL;
	json = json_loads(text, 0, &where);
	if (!json)
		ap_err_set(err, "%s: contains a value that a configuration cannot have", path);
	free(text);
	return json;
}

/* Returns the line of the field that a message "kind/name/field: what" names; 0 if not known. */
static int line_of(const char *path, const char *message)
{
	char copy[256];
	const char *parts[PATH_PARTS_MAX];
	char *rest = copy;
	size_t n = 0;

	if (!is_toml(path))
		return 0;
	ap_copy_name(copy, sizeof(copy), message);
	copy[strcspn(copy, ":")] = '\0';
	while (rest && n < PATH_PARTS_MAX)
		parts[n++] = strsep(&rest, "/");
	return ap_toml_line(path, parts, n);
}

/* Reads and checks the file of the command line, so that an invalid one is never sent. */
static json_t *read_checked_document(const ctl_options_t *o)
{
	ap_err_t err = {""};
	json_t *json = load_document(o->argument, &err);
	ap_conf_t *conf;
	int line;

	if (!json) {
		ctl_fail(CTL_INVALID, "%s", err.text);
		return NULL;
	}
	if (ap_conf_parse(json, 0, &conf, &err) == AP_CONF_OK) {
		ap_conf_unref(conf);
		return json;
	}
	line = line_of(o->argument, err.text);
	if (line > 0)
		ctl_fail(CTL_INVALID, "%s:%d: %s", o->argument, line, err.text);
	else
		ctl_fail(CTL_INVALID, "%s: %s", o->argument, err.text);
	json_decref(json);
	return NULL;
}

/**
 * struct config - the active configuration.
 * @document: new reference
 */
typedef struct config {
	json_int_t generation;
	json_t *document;
} config_t;

static ctl_exit_t read_config(const ctl_options_t *o, config_t *config)
{
	http_request_t request = http_admin_request(o, &o->admins[0], EVHTTP_REQ_GET, "/config");
	http_response_t response;
	ctl_exit_t status = CTL_OK;
	json_t *json;

	*config = (config_t){0};
	if (!http_call(&request, &response) || response.code != 200) {
		status = http_fail(&request, &response);
	} else {
		json = http_json(&response);
		config->generation = json_integer_value(json_object_get(json, "generation"));
		config->document = json_incref(json_object_get(json, "document"));
		json_decref(json);
		if (!config->document)
			status = ctl_fail(CTL_REFUSED, "the response contains no document");
	}
	http_clear(&response);
	return status;
}

static void print_generation(const ctl_options_t *o, json_int_t generation)
{
	if (o->json)
		ctl_print_json(json_pack("{s:I}", "generation", generation));
	else
		printf("generation %" JSON_INTEGER_FORMAT "\n", generation);
}

/* The response to a write was lost: compares the active document with the one sent. */
static ctl_exit_t confirm_write(const ctl_options_t *o, json_t *sent)
{
	config_t active;
	ctl_exit_t status = read_config(o, &active);

	if (status == CTL_OK && json_equal(active.document, sent)) {
		print_generation(o, active.generation);
	} else {
		status = ctl_fail(CTL_UNKNOWN,
				  "not known whether the document was accepted; check with 'get'");
	}
	json_decref(active.document);
	return status;
}

static ctl_exit_t put_document(const ctl_options_t *o, json_t *document, uint64_t base)
{
	char path[64];
	http_request_t request = http_admin_request(o, &o->admins[0], EVHTTP_REQ_PUT, path);
	http_response_t response;
	ctl_exit_t status = CTL_OK;
	char *text = json_dumps(document, JSON_COMPACT);

	snprintf(path, sizeof(path), "/config?base=%" PRIu64, base);
	request.body = text;
	if (http_call(&request, &response) && response.code == 200) {
		json_t *json = http_json(&response);

		print_generation(o, json_integer_value(json_object_get(json, "generation")));
		json_decref(json);
	} else {
		status = http_fail(&request, &response);
	}
	http_clear(&response);
	free(text);
	return status == CTL_UNKNOWN ? confirm_write(o, document) : status;
}

/* Chooses the generation that the file counts as edited from. */
static ctl_exit_t choose_base(const ctl_options_t *o, uint64_t *base)
{
	config_t active;
	ctl_exit_t status;

	*base = o->base;
	if (o->has_base)
		return CTL_OK;
	status = read_config(o, &active);
	if (status != CTL_OK)
		return status;
	json_decref(active.document);
	*base = (uint64_t)active.generation;
	if (active.generation > 0 && !o->replace)
		return ctl_fail(
			CTL_CONFLICT,
			"generation %" JSON_INTEGER_FORMAT
			" is active; give --base=N, the generation that the file was edited from, "
			"or --replace",
			active.generation);
	return CTL_OK;
}

ctl_exit_t ctl_apply(const ctl_options_t *o)
{
	json_t *document = read_checked_document(o);
	ctl_exit_t status;
	uint64_t base;

	if (!document)
		return CTL_INVALID;
	status = choose_base(o, &base);
	if (status == CTL_OK)
		status = put_document(o, document, base);
	json_decref(document);
	return status;
}

ctl_exit_t ctl_get(const ctl_options_t *o)
{
	config_t active;
	ctl_exit_t status = read_config(o, &active);

	if (status != CTL_OK)
		return status;
	if (o->json) {
		ctl_print_json(json_pack("{s:I, s:o}", "generation", active.generation, "document",
					 active.document));
		return CTL_OK;
	}
	fprintf(stderr, "generation %" JSON_INTEGER_FORMAT "\n", active.generation);
	json_dumpf(active.document, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(active.document);
	return CTL_OK;
}

static void print_value(json_t *value)
{
	if (json_is_null(value))
		fputs("(absent)", stdout);
	else
		json_dumpf(value, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
}

static void print_difference(json_t *diff)
{
	json_t *item;
	size_t i;

	json_array_foreach (diff, i, item) {
		printf("%s: ", json_string_value(json_object_get(item, "field")));
		print_value(json_object_get(item, "old"));
		fputs(" -> ", stdout);
		print_value(json_object_get(item, "new"));
		putchar('\n');
	}
}

ctl_exit_t ctl_diff(const ctl_options_t *o)
{
	json_t *document = read_checked_document(o);
	ctl_exit_t status;
	config_t active;
	json_t *diff;

	if (!document)
		return CTL_INVALID;
	status = read_config(o, &active);
	if (status == CTL_OK) {
		diff = ap_conf_diff(active.document, document);
		status = json_array_size(diff) > 0 ? CTL_DIFFERENT : CTL_OK;
		if (o->json)
			ctl_print_json(json_incref(diff));
		else
			print_difference(diff);
		json_decref(diff);
	}
	json_decref(active.document);
	json_decref(document);
	return status;
}
