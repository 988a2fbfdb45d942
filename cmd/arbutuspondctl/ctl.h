/* Options, exit statuses and functions shared by the commands of arbutuspondctl. */
#ifndef CTL_H
#define CTL_H

#include "conf/conf.h"
#include "settings/settings.h"

#include <jansson.h>

#define ADMINS_MAX 512
#define FILES_MAX 512

/* Exit statuses. A wrong command line gives EX_USAGE (64). */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_DIFFERENT = 1,   /* files differ, an instance is not ready, or no cause was found */
	CTL_INVALID = 2,     /* a file or document is invalid */
	CTL_CONFLICT = 3,    /* the same fields were changed since the base, or no base given */
	CTL_REFUSED = 4,     /* wrong token or key, unknown name, over a limit */
	CTL_UNREACHABLE = 5, /* no connection: not carried out */
	CTL_NOT_RUN = 6,     /* certainly not carried out */
	CTL_UNKNOWN = 7,     /* may have been carried out */
} ctl_exit_t;

/**
 * struct ctl_options - the command line.
 * @entry: address for callers of an instance
 * @token: admin token
 * @key: a caller's API key
 * @argument: first argument of the command
 * @files: log files to read; standard input if there are none. For builds, @argument is the first
 * @permit: permit to use, empty to request one first, or NULL
 * @after: only events with a greater number
 * @base: generation that the file was edited from
 * @whole: request one complete response instead of a stream
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
ctl_exit_t ctl_builds(const ctl_options_t *o);
ctl_exit_t ctl_ask(const ctl_options_t *o);
ctl_exit_t ctl_keygen(const ctl_options_t *o);
ctl_exit_t ctl_key_hash(const ctl_options_t *o);

/** ctl_fail() - prints "arbutuspondctl: ..." to standard error. Return: @status. */
ctl_exit_t ctl_fail(ctl_exit_t status, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/** ctl_print_json() - prints @json as one line on standard output; takes the reference. */
void ctl_print_json(json_t *json);

#endif
