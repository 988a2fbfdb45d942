/*
 * Settings of a process, read from a TOML file and checked before anything starts.
 */
#ifndef AP_SETTINGS_H
#define AP_SETTINGS_H

#include "base/base.h"

#define AP_CURVE_KEY_MAX 41 /* Z85 text of a CURVE key, with terminator */
#define AP_TOKEN_MAX 128

typedef enum ap_settings_status {
	AP_SETTINGS_OK,
	AP_SETTINGS_UNREADABLE, /* the file cannot be read */
	AP_SETTINGS_SYNTAX,	/* the file is not valid TOML */
	AP_SETTINGS_INVALID,	/* a key is unknown, missing or has a wrong value; the message names
				   file, line and key */
} ap_settings_status_t;

typedef struct ap_address {
	char host[AP_HOST_MAX];
	uint16_t port;
} ap_address_t;

/** ap_address_parse() - parses "IP:PORT" or "[IP]:PORT"; false if @text is neither. */
bool ap_address_parse(const char *text, ap_address_t *out);

#define AP_DATA_CENTRES_MAX 32
#define AP_SEEDS_MAX 8

/* A data centre of the deployment, and its region. */
typedef struct ap_data_centre {
	char name[AP_NAME_MAX];
	char region[AP_NAME_MAX];
} ap_data_centre_t;

/**
 * struct ap_gateway_settings - table [gateway]. With it, the process runs the gateway task
 * instead of the control and entry tasks (cmd/arbutuspond/gateway.h).
 * @present: the file has the table
 * @callers, @ready, @directory, @metrics: addresses of this instance's listeners
 * @control: listener from which starting instances fetch a snapshot of the store; optional
 * @seeds: control addresses of instances to fetch a snapshot from; they may be out of date
 * @peer_port: port on this host for requests forwarded by instances of other regions
 * @store: the platform's key-value service
 * @cores: CPU share of this instance, in cores
 * @retry_ratio, @retry_slack, @retry_window: retry budget, as in struct ap_fleet_config; keys
 *                                            repeat_ratio, repeat_slack and repeat_window_s
 * @cold_over, @cold_slack: as in struct ap_fleet_config
 * @drain_time: longest time from a change in the store until a draining upstream gets no more
 *              requests
 * @apply_time: longest time from a change in the store until a new configuration is active
 * @grace: time between SIGTERM and exit
 * @directory_ttl: how long callers may cache a response of the directory
 * @prompt_fetch: as in struct ap_fleet_config
 * @allowance_window, @allowance_over, @allowance_slack: as in struct ap_quota_config
 * @second_attempts: share of a pool's requests that may be sent a second time because the first
 *                   attempt is slow, at most 0.2; 0 for none
 * @log_sample: ordinary records are written for one request in this many
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
	double retry_ratio;
	double retry_slack;
	ap_usec_t retry_window;
	double cold_over;
	double cold_slack;
	ap_usec_t drain_time;
	ap_usec_t apply_time;
	ap_usec_t grace;
	ap_usec_t directory_ttl;
	bool prompt_fetch;
	ap_usec_t allowance_window;
	double allowance_over;
	double allowance_slack;
	double second_attempts;
	size_t log_sample;
	ap_data_centre_t data_centres[AP_DATA_CENTRES_MAX];
	size_t n_data_centres;
} ap_gateway_settings_t;

/**
 * struct ap_settings - all settings of a process. The tables and keys of the TOML file are:
 *
 * [instance] id, region, data_centre, host, memory_mb (memory of the machine; optional)
 * [listen] callers, data, control (ports on @host), admin = "IP:PORT", admin_token
 * [keys] public, secret (CURVE, Z85), peers = [accepted public keys]
 * [platform] store, instances, directory = "IP:PORT"
 * [limits] all optional:
 *   header_bytes: maximum size of the request line and headers together
 *   body_bytes: maximum size of a request body
 *   connections: maximum number of open connections of callers
 *   arrival_seconds: maximum time from the first to the last byte of a request
 *   request_seconds: time limit of a request after its arrival
 *   queue: maximum number of queued requests, over all classes
 *   retry_ratio: number of retries allowed per request
 *   lease_seconds: lifetime of the reconciler's lease
 * [gateway] see struct ap_gateway_settings; with it, [listen], [keys] and [platform] are optional
 * [log] level = "debug|info|warning|error", events = size of the event ring buffer
 */
typedef struct ap_settings {
	char id[AP_NAME_MAX];
	char region[AP_NAME_MAX];
	char data_centre[AP_NAME_MAX];
	char host[AP_HOST_MAX];
	size_t memory_mb;
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

/**
 * ap_settings_load() - reads and checks the file at @path; sets @err on failure.
 * @settings: to be released with ap_settings_clear() on success
 */
ap_settings_status_t ap_settings_load(const char *path, ap_settings_t *settings, ap_err_t *err);
/** ap_settings_clear() - frees @settings' memory and overwrites it, since it holds secrets. */
void ap_settings_clear(ap_settings_t *settings);

/**
 * ap_toml_read() - reads a TOML file as JSON text; used for settings and configuration documents.
 * @line: set to the line of a syntax error, else 0
 *
 * Return: JSON text to free(), or NULL with @err set.
 */
char *ap_toml_read(const char *path, int *line, ap_err_t *err);

/**
 * ap_toml_line() - finds the line of the value under the nested @keys, for error messages.
 *
 * Return: its line, or that of the innermost enclosing table that exists; 0 if none does.
 */
int ap_toml_line(const char *path, const char *const *keys, size_t n);

#endif
