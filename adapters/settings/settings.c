/*
 * Settings of a process: reads the file and checks every key. An error names file, line and key.
 */
#include "settings/settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <zmq.h>

#define CURVE_TEXT_BYTES (AP_CURVE_KEY_MAX - 1)
#define PEER_KEYS_MAX 4096
#define TOKEN_MIN 16		/* characters of the admin token */
#define SECOND_ATTEMPTS_MAX 0.2 /* of a pool's requests */

typedef struct loader {
	const char *path;
	ap_settings_t *s;
	ap_err_t *err;
	const char *group;
} loader_t;

typedef ap_settings_status_t (*read_t)(loader_t *l, const char *key, json_t *value, void *at);

/* When a key is required. */
typedef enum need {
	NEED_NEVER,
	NEED_ALWAYS,
	NEED_WITHOUT_GATEWAY, /* if there is no table [gateway] */
	NEED_WITH_GATEWAY,    /* if there is a table [gateway] */
} need_t;

/* One key of a file, and where its value goes. */
typedef struct setting {
	const char *group;
	const char *key;
	need_t need;
	read_t read;
	size_t offset;
} setting_t;

static ap_settings_status_t invalid(loader_t *l, const char *key, const char *what)
{
	const char *const keys[] = {l->group, key};

	ap_err_set(l->err, "%s:%d: %s.%s: %s", l->path, ap_toml_line(l->path, keys, 2), l->group,
		   key, what);
	return AP_SETTINGS_INVALID;
}

static ap_settings_status_t read_name(loader_t *l, const char *key, json_t *value, void *at)
{
	const char *text = json_string_value(value);

	if (!text || !*text || strlen(text) >= AP_NAME_MAX ||
	    strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") !=
		    strlen(text))
		return invalid(l, key,
			       "must be a name of 1 to 63 letters, digits, \".\", \"_\" and \"-\"");
	ap_copy_name(at, AP_NAME_MAX, text);
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_host(loader_t *l, const char *key, json_t *value, void *at)
{
	const char *text = json_string_value(value);

	if (!text || !ap_is_ip(text) || !ap_copy_name(at, AP_HOST_MAX, text))
		return invalid(l, key, "must be a numeric IP address");
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_port(loader_t *l, const char *key, json_t *value, void *at)
{
	json_int_t port = json_integer_value(value);

	if (!json_is_integer(value) || port < 1 || port > UINT16_MAX)
		return invalid(l, key, "must be a port from 1 to 65535");
	*(uint16_t *)at = (uint16_t)port;
	return AP_SETTINGS_OK;
}

bool ap_address_parse(const char *text, ap_address_t *out)
{
	const char *colon = strrchr(text, ':');
	char host[AP_HOST_MAX + 2];
	size_t len;
	char *end;
	unsigned long port;

	if (!colon || colon == text || (size_t)(colon - text) >= sizeof(host))
		return false;
	len = (size_t)(colon - text);
	memcpy(host, text, len);
	host[len] = '\0';
	if (host[0] == '[' && host[len - 1] == ']') {
		host[len - 1] = '\0';
		memmove(host, host + 1, len - 1);
	}
	port = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 1 || port > UINT16_MAX)
		return false;
	out->port = (uint16_t)port;
	return ap_is_ip(host) && ap_copy_name(out->host, sizeof(out->host), host);
}

static ap_settings_status_t read_address(loader_t *l, const char *key, json_t *value, void *at)
{
	const char *text = json_string_value(value);

	if (!text || !ap_address_parse(text, at))
		return invalid(l, key, "must be \"IP:PORT\"");
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_token(loader_t *l, const char *key, json_t *value, void *at)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) < TOKEN_MIN || !ap_copy_name(at, AP_TOKEN_MAX, text))
		return invalid(l, key, "must be a string of 16 to 127 characters");
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_curve(loader_t *l, const char *key, json_t *value, void *at)
{
	const char *text = json_string_value(value);
	uint8_t raw[32];

	if (!text || strlen(text) != CURVE_TEXT_BYTES || !zmq_z85_decode(raw, text))
		return invalid(l, key, "must be a CURVE key of 40 Z85 characters");
	ap_copy_name(at, AP_CURVE_KEY_MAX, text);
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_peers(loader_t *l, const char *key, json_t *value, void *at)
{
	size_t n = json_array_size(value);

	(void)at;
	if (!json_is_array(value) || n > PEER_KEYS_MAX)
		return invalid(l, key, "must be an array of at most 4096 CURVE keys");
	l->s->peer_keys = calloc(n + 1, sizeof(*l->s->peer_keys));
	if (!l->s->peer_keys)
		return invalid(l, key, "out of memory");
	for (size_t i = 0; i < n; i++) {
		ap_settings_status_t status;

		status = read_curve(l, key, json_array_get(value, i), l->s->peer_keys[i]);
		if (status != AP_SETTINGS_OK)
			return status;
		l->s->n_peer_keys++;
	}
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_integer(loader_t *l, const char *key, json_t *value,
					 json_int_t min, json_int_t max, json_int_t *out)
{
	char what[96];

	*out = json_integer_value(value);
	if (json_is_integer(value) && *out >= min && *out <= max)
		return AP_SETTINGS_OK;
	snprintf(what, sizeof(what), "must be an integer from %lld to %lld", (long long)min,
		 (long long)max);
	return invalid(l, key, what);
}

static ap_settings_status_t read_size(loader_t *l, const char *key, json_t *value, size_t min,
				      size_t max, size_t *size)
{
	json_int_t number;
	ap_settings_status_t status =
		read_integer(l, key, value, (json_int_t)min, (json_int_t)max, &number);

	if (status == AP_SETTINGS_OK)
		*size = (size_t)number;
	return status;
}

static ap_settings_status_t read_bytes(loader_t *l, const char *key, json_t *value, void *at)
{
	return read_size(l, key, value, 1024, 64 << 20, at);
}

static ap_settings_status_t read_count(loader_t *l, const char *key, json_t *value, void *at)
{
	return read_size(l, key, value, 1, 1000000, at);
}

/* The smallest allows one body of the largest size, its copy for an upstream and the program. */
static ap_settings_status_t read_memory(loader_t *l, const char *key, json_t *value, void *at)
{
	return read_size(l, key, value, 64, 1 << 20, at);
}

static ap_settings_status_t read_span(loader_t *l, const char *key, json_t *value, json_int_t min_s,
				      json_int_t max_s, ap_usec_t *span)
{
	json_int_t number;
	ap_settings_status_t status = read_integer(l, key, value, min_s, max_s, &number);

	if (status == AP_SETTINGS_OK)
		*span = number * AP_SEC;
	return status;
}

static ap_settings_status_t read_seconds(loader_t *l, const char *key, json_t *value, void *at)
{
	return read_span(l, key, value, 1, 86400, at);
}

static ap_settings_status_t read_arrival(loader_t *l, const char *key, json_t *value, void *at)
{
	return read_span(l, key, value, 1, 600, at);
}

/* The key-value service accepts session lifetimes within these bounds. */
static ap_settings_status_t read_lease(loader_t *l, const char *key, json_t *value, void *at)
{
	return read_span(l, key, value, 10, 3600, at);
}

static ap_settings_status_t read_ratio(loader_t *l, const char *key, json_t *value, void *at)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || !(number >= 0.0 && number <= 1.0))
		return invalid(l, key, "must be a number from 0 to 1");
	*(double *)at = number;
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_second_attempts(loader_t *l, const char *key, json_t *value,
						 void *at)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || !(number >= 0.0 && number <= SECOND_ATTEMPTS_MAX))
		return invalid(l, key, "must be a number from 0 to 0.2");
	*(double *)at = number;
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_number(loader_t *l, const char *key, json_t *value, void *at)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || !(number >= 0.0 && number <= 1e6))
		return invalid(l, key, "must be a number from 0 to 1000000");
	*(double *)at = number;
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_bool(loader_t *l, const char *key, json_t *value, void *at)
{
	if (!json_is_boolean(value))
		return invalid(l, key, "must be true or false");
	*(bool *)at = json_is_true(value);
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_scaled(loader_t *l, const char *key, json_t *value, ap_usec_t unit,
					ap_usec_t *span)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || !(number > 0.0 && number <= 1e6))
		return invalid(l, key, "must be a number above 0 and at most 1000000");
	*span = (ap_usec_t)(number * (double)unit);
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_seconds_float(loader_t *l, const char *key, json_t *value,
					       void *at)
{
	return read_scaled(l, key, value, AP_SEC, at);
}

static ap_settings_status_t read_msec_float(loader_t *l, const char *key, json_t *value, void *at)
{
	return read_scaled(l, key, value, AP_MSEC, at);
}

static ap_settings_status_t read_seeds(loader_t *l, const char *key, json_t *value, void *at)
{
	ap_gateway_settings_t *g = at;
	json_t *seed;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) > AP_SEEDS_MAX)
		return invalid(l, key, "must be an array of at most 8 addresses");
	json_array_foreach (value, i, seed) {
		const char *text = json_string_value(seed);

		if (!text || !ap_address_parse(text, &g->seeds[g->n_seeds++]))
			return invalid(l, key, "must be an array of \"IP:PORT\"");
	}
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_data_centres(loader_t *l, const char *key, json_t *value, void *at)
{
	ap_gateway_settings_t *g = at;
	const char *name;
	json_t *region;

	if (!json_is_object(value) || json_object_size(value) > AP_DATA_CENTRES_MAX)
		return invalid(l, key,
			       "must be a table of at most 32 entries, data centre = region");
	json_object_foreach (value, name, region) {
		ap_data_centre_t *dc = &g->data_centres[g->n_data_centres];
		const char *text = json_string_value(region);

		if (!text || !ap_copy_name(dc->name, sizeof(dc->name), name) ||
		    !ap_copy_name(dc->region, sizeof(dc->region), text))
			return invalid(l, key, "must give each data centre a region name");
		g->n_data_centres++;
	}
	return AP_SETTINGS_OK;
}

static ap_settings_status_t read_level(loader_t *l, const char *key, json_t *value, void *at)
{
	static const struct {
		const char *name;
		int level;
	} levels[] = {
		{"debug", LOG_DEBUG},
		{"info", LOG_INFO},
		{"warning", LOG_WARNING},
		{"error", LOG_ERR},
	};
	const char *text = json_string_value(value);

	for (size_t i = 0; text && i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(levels[i].name, text) == 0) {
			*(int *)at = levels[i].level;
			return AP_SETTINGS_OK;
		}
	}
	return invalid(l, key, "must be \"debug\", \"info\", \"warning\" or \"error\"");
}

#define SETTING(grp, name, needed, reader, member)                                                 \
	{                                                                                          \
		.group = (grp), .key = (name), .need = (needed), .read = (reader),                 \
		.offset = offsetof(ap_settings_t, member)                                          \
	}

static const setting_t known[] = {
	SETTING("instance", "id", NEED_ALWAYS, read_name, id),
	SETTING("instance", "region", NEED_ALWAYS, read_name, region),
	SETTING("instance", "data_centre", NEED_ALWAYS, read_name, data_centre),
	SETTING("instance", "host", NEED_ALWAYS, read_host, host),
	SETTING("instance", "memory_mb", NEED_NEVER, read_memory, memory_mb),
	SETTING("listen", "callers", NEED_WITHOUT_GATEWAY, read_port, caller_port),
	SETTING("listen", "data", NEED_WITHOUT_GATEWAY, read_port, data_port),
	SETTING("listen", "control", NEED_WITHOUT_GATEWAY, read_port, control_port),
	SETTING("listen", "admin", NEED_WITHOUT_GATEWAY, read_address, admin),
	SETTING("listen", "admin_token", NEED_WITHOUT_GATEWAY, read_token, admin_token),
	SETTING("keys", "public", NEED_WITHOUT_GATEWAY, read_curve, public_key),
	SETTING("keys", "secret", NEED_WITHOUT_GATEWAY, read_curve, secret_key),
	SETTING("keys", "peers", NEED_WITHOUT_GATEWAY, read_peers, peer_keys),
	SETTING("platform", "store", NEED_WITHOUT_GATEWAY, read_address, store),
	SETTING("platform", "instances", NEED_WITHOUT_GATEWAY, read_address, instances),
	SETTING("platform", "directory", NEED_WITHOUT_GATEWAY, read_address, directory),
	SETTING("limits", "header_bytes", NEED_NEVER, read_bytes, header_bytes),
	SETTING("limits", "body_bytes", NEED_NEVER, read_bytes, body_bytes),
	SETTING("limits", "connections", NEED_NEVER, read_count, connections),
	SETTING("limits", "arrival_seconds", NEED_NEVER, read_arrival, arrival_time),
	SETTING("limits", "request_seconds", NEED_NEVER, read_seconds, request_time),
	SETTING("limits", "queue", NEED_NEVER, read_count, queue),
	SETTING("limits", "retry_ratio", NEED_NEVER, read_ratio, retry_ratio),
	SETTING("limits", "lease_seconds", NEED_NEVER, read_lease, lease_time),
	SETTING("gateway", "callers", NEED_WITH_GATEWAY, read_address, gateway.callers),
	SETTING("gateway", "ready", NEED_WITH_GATEWAY, read_address, gateway.ready),
	SETTING("gateway", "directory", NEED_WITH_GATEWAY, read_address, gateway.directory),
	SETTING("gateway", "metrics", NEED_WITH_GATEWAY, read_address, gateway.metrics),
	SETTING("gateway", "control", NEED_NEVER, read_address, gateway.control),
	SETTING("gateway", "seeds", NEED_NEVER, read_seeds, gateway),
	SETTING("gateway", "peer_port", NEED_WITH_GATEWAY, read_port, gateway.peer_port),
	SETTING("gateway", "store", NEED_WITH_GATEWAY, read_address, gateway.store),
	SETTING("gateway", "cores", NEED_WITH_GATEWAY, read_number, gateway.cores),
	SETTING("gateway", "repeat_ratio", NEED_WITH_GATEWAY, read_number, gateway.retry_ratio),
	SETTING("gateway", "repeat_slack", NEED_WITH_GATEWAY, read_number, gateway.retry_slack),
	SETTING("gateway", "repeat_window_s", NEED_WITH_GATEWAY, read_seconds_float,
		gateway.retry_window),
	SETTING("gateway", "cold_over", NEED_WITH_GATEWAY, read_number, gateway.cold_over),
	SETTING("gateway", "cold_slack", NEED_WITH_GATEWAY, read_number, gateway.cold_slack),
	SETTING("gateway", "drain_ms", NEED_WITH_GATEWAY, read_msec_float, gateway.drain_time),
	SETTING("gateway", "apply_ms", NEED_WITH_GATEWAY, read_msec_float, gateway.apply_time),
	SETTING("gateway", "grace_s", NEED_WITH_GATEWAY, read_seconds_float, gateway.grace),
	SETTING("gateway", "directory_s", NEED_WITH_GATEWAY, read_seconds_float,
		gateway.directory_ttl),
	SETTING("gateway", "allowance_window_s", NEED_NEVER, read_seconds_float,
		gateway.allowance_window),
	SETTING("gateway", "allowance_over", NEED_NEVER, read_number, gateway.allowance_over),
	SETTING("gateway", "allowance_slack", NEED_NEVER, read_number, gateway.allowance_slack),
	SETTING("gateway", "prompt_fetch", NEED_NEVER, read_bool, gateway.prompt_fetch),
	SETTING("gateway", "second_attempts", NEED_NEVER, read_second_attempts,
		gateway.second_attempts),
	SETTING("gateway", "log_sample", NEED_NEVER, read_count, gateway.log_sample),
	SETTING("gateway", "data_centres", NEED_WITH_GATEWAY, read_data_centres, gateway),
	SETTING("log", "level", NEED_NEVER, read_level, log_level),
	SETTING("log", "events", NEED_NEVER, read_count, events),
};

#define N_KNOWN (sizeof(known) / sizeof(known[0]))

static bool group_known(const char *group)
{
	for (size_t i = 0; i < N_KNOWN; i++) {
		if (strcmp(known[i].group, group) == 0)
			return true;
	}
	return false;
}

static bool key_known(const char *group, const char *key)
{
	for (size_t i = 0; i < N_KNOWN; i++) {
		if (strcmp(known[i].group, group) == 0 && strcmp(known[i].key, key) == 0)
			return true;
	}
	return false;
}

static ap_settings_status_t check_keys(loader_t *l, json_t *root)
{
	const char *group;
	const char *key;
	json_t *table;
	json_t *value;

	json_object_foreach (root, group, table) {
		if (!group_known(group) || !json_is_object(table)) {
			ap_err_set(l->err, "%s:%d: %.80s: %s", l->path,
				   ap_toml_line(l->path, &group, 1), group,
				   group_known(group) ? "must be a table" : "unknown table");
			return AP_SETTINGS_INVALID;
		}
		l->group = group;
		json_object_foreach (table, key, value) {
			if (!key_known(group, key))
				return invalid(l, key, "unknown key");
		}
	}
	return AP_SETTINGS_OK;
}

static bool is_needed(need_t need, bool gateway)
{
	switch (need) {
	case NEED_ALWAYS:
		return true;
	case NEED_WITHOUT_GATEWAY:
		return !gateway;
	case NEED_WITH_GATEWAY:
		return gateway;
	case NEED_NEVER:
		break;
	}
	return false;
}

static ap_settings_status_t read_all(loader_t *l, json_t *root)
{
	for (size_t i = 0; i < N_KNOWN; i++) {
		const setting_t *k = &known[i];
		json_t *value = json_object_get(json_object_get(root, k->group), k->key);
		ap_settings_status_t status;

		l->group = k->group;
		if (!value && is_needed(k->need, l->s->gateway.present))
			return invalid(l, k->key, "is missing");
		if (!value)
			continue;
		status = k->read(l, k->key, value, (char *)l->s + k->offset);
		if (status != AP_SETTINGS_OK)
			return status;
	}
	return AP_SETTINGS_OK;
}

static ap_settings_status_t check_key_pair(loader_t *l)
{
	char derived[AP_CURVE_KEY_MAX];

	l->group = "keys";
	if (zmq_curve_public(derived, l->s->secret_key) != 0)
		return invalid(l, "secret", "cannot be checked: libzmq was built without CURVE");
	if (strcmp(derived, l->s->public_key) != 0)
		return invalid(l, "public", "does not belong to keys.secret");
	return AP_SETTINGS_OK;
}

static void set_defaults(ap_settings_t *s)
{
	*s = (ap_settings_t){
		.memory_mb = 256,
		.header_bytes = 16 << 10,
		.body_bytes = 1 << 20,
		.connections = 1024,
		.arrival_time = 30 * AP_SEC,
		.request_time = 600 * AP_SEC,
		.queue = 256,
		.gateway = {.allowance_window = 8 * AP_SEC, .log_sample = 16},
		.retry_ratio = 0.1,
		.lease_time = 60 * AP_SEC,
		.log_level = LOG_INFO,
		.events = 4096,
	};
}

static ap_settings_status_t load_tree(loader_t *l, json_t *root)
{
	ap_settings_status_t status = check_keys(l, root);

	l->s->gateway.present = json_object_get(root, "gateway") != NULL;
	if (status == AP_SETTINGS_OK)
		status = read_all(l, root);
	if (status == AP_SETTINGS_OK && !l->s->gateway.present)
		status = check_key_pair(l);
	return status;
}

ap_settings_status_t ap_settings_load(const char *path, ap_settings_t *settings, ap_err_t *err)
{
	loader_t l = {.path = path, .s = settings, .err = err};
	ap_settings_status_t status;
	int line;
	char *text;
	json_t *root;

	set_defaults(settings);
	text = ap_toml_read(path, &line, err);
	if (!text)
		return line > 0 ? AP_SETTINGS_SYNTAX : AP_SETTINGS_UNREADABLE;
	root = json_loads(text, JSON_ALLOW_NUL, NULL);
	free(text);
	if (!root) {
		ap_err_set(err, "%s: a value cannot be represented as JSON", path);
		return AP_SETTINGS_SYNTAX;
	}
	status = load_tree(&l, root);
	json_decref(root);
	if (status != AP_SETTINGS_OK)
		ap_settings_clear(settings);
	return status;
}

void ap_settings_clear(ap_settings_t *settings)
{
	free(settings->peer_keys);
	explicit_bzero(settings, sizeof(*settings));
}
