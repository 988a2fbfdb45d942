/* What the commands of the operator's tool share. */
#ifndef CTL_H
#define CTL_H

#include "conf/conf.h"
#include "settings/settings.h"

#include <jansson.h>

#define ADMINS_MAX 512
#define FILES_MAX 512

/* Exit statuses; EX_USAGE (64) for a wrong command line. */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_DIFFERENT = 1,   /* a difference, an instance that isn't ready, or no cause found */
	CTL_INVALID = 2,     /* a file or document is wrong */
	CTL_CONFLICT = 3,    /* others changed the same fields */
	CTL_REFUSED = 4,     /* wrong token or key, no such thing, over a limit */
	CTL_UNREACHABLE = 5, /* no connection: nothing was done */
	CTL_NOT_RUN = 6,     /* certainly not carried out */
	CTL_UNKNOWN = 7,     /* may have been carried out */
} ctl_exit_t;

/**
 * struct ctl_options - the command line.
 * @token: of the admin listeners
 * @key: a caller's API key
 * @files: logs to read; standard input when there are none
 * @permit: permit to use, empty to take one first, or NULL
 * @base: generation that the file was made from
 */
typedef struct ctl_options {
	ap_address_t admins[ADMINS_MAX];
	size_t n_admins;
	ap_address_t entry;
	bool has_entry;
	const char *token;
	const char *key;
	const char *service;
	const char *model;
	const char *path;
	const char *permit;
	const char *request;
	uint64_t after;
	uint64_t base;
	bool has_base;
	bool replace;
	bool json;
	bool whole;
	unsigned max_tokens;
	const char *command;
	const char *argument;
	const char *files[FILES_MAX];
	size_t n_files;
} ctl_options_t;

ctl_exit_t ctl_apply(const ctl_options_t *o);
ctl_exit_t ctl_get(const ctl_options_t *o);
ctl_exit_t ctl_diff(const ctl_options_t *o);
ctl_exit_t ctl_status(const ctl_options_t *o);
ctl_exit_t ctl_drain(const ctl_options_t *o);
ctl_exit_t ctl_events(const ctl_options_t *o);
ctl_exit_t ctl_timeline(const ctl_options_t *o);
ctl_exit_t ctl_explain(const ctl_options_t *o);
ctl_exit_t ctl_ask(const ctl_options_t *o);
ctl_exit_t ctl_keygen(const ctl_options_t *o);
ctl_exit_t ctl_key_hash(const ctl_options_t *o);

/** ctl_fail() - prints "arbutuspondctl: ..." to standard error. Return: @status. */
ctl_exit_t ctl_fail(ctl_exit_t status, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/** ctl_print_json() - one line on standard output; takes the reference. */
void ctl_print_json(json_t *json);

#endif
