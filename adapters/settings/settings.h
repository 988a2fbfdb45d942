/*
 * Settings of one process, read from a TOML file and checked before anything starts.
 */
#ifndef AP_SETTINGS_H
#define AP_SETTINGS_H

#include "base/base.h"

#define AP_CURVE_KEY_MAX 41 /* Z85 text of a CURVE key, with terminator */
#define AP_TOKEN_MAX 128

typedef enum ap_settings_status {
	AP_SETTINGS_OK,
	AP_SETTINGS_UNREADABLE,
	AP_SETTINGS_SYNTAX,
	AP_SETTINGS_INVALID, /* unknown or wrong key; the message gives file, line and key */
} ap_settings_status_t;

typedef struct ap_address {
	char host[AP_HOST_MAX];
	uint16_t port;
} ap_address_t;

/** ap_address_parse() - "IP:PORT" or "[IP]:PORT"; false when it is neither. */
bool ap_address_parse(const char *text, ap_address_t *out);

#define AP_DATA_CENTRES_MAX 32
#define AP_SEEDS_MAX 8

/* A data centre of the deployment, and its region. */
typedef struct ap_data_centre {
	char name[AP_NAME_MAX];
	char region[AP_NAME_MAX];
} ap_data_centre_t;

/**
 * struct ap_gateway_settings - table [gateway]: the instance serves on its users' platform.
 * @callers, @ready, @directory, @metrics: own listeners
 * @control: where other instances that start ask what the store held; optional
 * @seeds: instances that are asked so, which may be stale
 * @peer_port: where other instances send requests of other regions; a port on the own host
 * @store: the platform's key-value service
 * @cores: share of a core that this instance has
 * @drain: an upstream that leaves gets nothing more after this
 * @apply: a new configuration is in force after this
 * @grace: time between SIGTERM and the end
 * @directory_ttl: how long callers keep an answer of the directory
 */
typedef struct ap_gateway_settings {
	bool present;
	ap_address_t callers;
	ap_address_t ready;
	ap_address_t directory;
	ap_address_t metrics;
	ap_address_t control;
	ap_address_t seeds[AP_SEEDS_MAX];
	size_t n_seeds;
	uint16_t peer_port;
	ap_address_t store;
	double cores;
	double repeat_ratio;
	double repeat_slack;
	ap_usec_t repeat_window;
	double cold_over;
	double cold_slack;
	ap_usec_t drain;
	ap_usec_t apply;
	ap_usec_t grace;
	ap_usec_t directory_ttl;
	ap_data_centre_t data_centres[AP_DATA_CENTRES_MAX];
	size_t n_data_centres;
} ap_gateway_settings_t;

/**
 * struct ap_settings - everything a daemon is told; TOML tables are given per group.
 *
 * [instance] id, region, data_centre, host
 * [listen] callers, data, control (ports on @host), admin = "IP:PORT", admin_token
 * [keys] public, secret (CURVE, Z85), peers = [accepted public keys]
 * [platform] store, instances, directory = "IP:PORT"
 * [limits] header_bytes, body_bytes, connections, arrival_seconds, request_seconds, queue,
 * retry_ratio, lease_seconds (of the reconciler)
 * [gateway] see struct ap_gateway_settings; [listen], [keys] and [platform] are then not needed
 * [log] level = "debug|info|warning|error", events =
 * ring size
 */
typedef struct ap_settings {
	char id[AP_NAME_MAX];
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	uint16_t caller_port;
	uint16_t data_port;
	uint16_t control_port;
	ap_address_t admin;
	char admin_token[AP_TOKEN_MAX];
	char public_key[AP_CURVE_KEY_MAX];
	char secret_key[AP_CURVE_KEY_MAX];
	char (*peer_keys)[AP_CURVE_KEY_MAX];
	size_t n_peer_keys;
	ap_address_t store;
	ap_address_t instances;
	ap_address_t directory;
	size_t header_bytes;
	size_t body_bytes;
	size_t connections;
	ap_usec_t arrival_time;
	ap_usec_t request_time;
	size_t queue;
	double retry_ratio;
	ap_usec_t lease_time;
	int log_level; /* as in syslog.h */
	size_t events;
	ap_gateway_settings_t gateway;
} ap_settings_t;

ap_settings_status_t ap_settings_load(const char *path, ap_settings_t *settings, ap_err_t *err);
void ap_settings_clear(ap_settings_t *settings);

/**
 * ap_toml_read() - a TOML file as a JSON tree; used for settings and configuration documents.
 * @line: line of a syntax error
 *
 * Return: JSON text to free(), or NULL with @err set.
 */
char *ap_toml_read(const char *path, int *line, ap_err_t *err);

/**
 * ap_toml_line() - where the value under nested @keys is written, to point at it in a message.
 *
 * Return: its line, or that of the innermost table that exists; 0 when none does.
 */
int ap_toml_line(const char *path, const char *const *keys, size_t n);

#endif
