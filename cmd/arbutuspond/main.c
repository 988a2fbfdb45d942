/*
 * The daemon: reads its settings, then runs either the gateway task or the entry task and the
 * control task.
 */
#include "gateway.h"
#include "task.h"

#include <argp.h>
#include <event2/thread.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sodium.h>
#include <unistd.h>
#include <zmq.h>

const char *argp_program_version = "arbutuspond " AP_VERSION;

enum {
	EXIT_SETTINGS = 2, /* the settings are unreadable or invalid */
};

typedef struct options {
	const char *settings;
	bool check_only;
} options_t;

static const struct argp_option option_table[] = {
	{.name = "settings", .key = 's', .arg = "FILE", .doc = "Settings of this instance (TOML)"},
	{.name = "check-settings", .key = 'c', .doc = "Check the settings and exit"},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *o = state->input;

	switch (key) {
	case 's':
		o->settings = arg;
		return 0;
	case 'c':
		o->check_only = true;
		return 0;
	case ARGP_KEY_END:
		if (!o->settings)
			argp_error(state, "option --settings FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "Entry instance of a multi-region inference gateway.\v"
	       "SIGTERM or SIGINT drains. On a host platform, the process ends shortly before the "
	       "end of the grace period even if requests are in progress, and ignores a second "
	       "signal. Otherwise no request in progress is cut off, and a second signal ends the "
	       "process at once. Exit status: 0 after a drain, 1 when a task failed or was cut "
	       "short, 2 when the settings are wrong.",
};

/* Signals go to the control task only, which runs on the main thread. */
static void block_signals(bool block)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(block ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL);
}

static int run(const ap_settings_t *settings)
{
	ap_task_args_t args = {.settings = settings, .zmq = zmq_ctx_new()};
	void *entry_status = NULL;
	void *control_status;
	pthread_t entry;

	ap_random(&args.inc, sizeof(args.inc));
	block_signals(true);
	if (pthread_create(&entry, NULL, ap_entry_task, &args) != 0) {
		ap_log(LOG_ERR, "cannot start the entry task");
		return EXIT_FAILURE;
	}
	block_signals(false);
	control_status = ap_control_task(&args);
	if (control_status) {
		/* The entry task may be blocked, so the process ends without waiting for it. */
		fflush(NULL);
		_exit(EXIT_FAILURE);
	}
	pthread_join(entry, &entry_status);
	zmq_ctx_term(args.zmq);
	return entry_status ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	options_t options = {0};
	ap_settings_t settings;
	ap_err_t err;
	int status;

	argp_parse(&parser, argc, argv, 0, NULL, &options);
	if (ap_settings_load(options.settings, &settings, &err) != AP_SETTINGS_OK) {
		fprintf(stderr, "arbutuspond: %s\n", err.text);
		return EXIT_SETTINGS;
	}
	if (options.check_only) {
		printf("%s: settings are right\n", options.settings);
		ap_settings_clear(&settings);
		return EXIT_SUCCESS;
	}
	ap_log_open("arbutuspond", settings.log_level);
	if (sodium_init() < 0 || evthread_use_pthreads() != 0) {
		ap_log(LOG_ERR, "cannot initialize libsodium or the thread support of libevent");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	if (settings.gateway.present)
		status = ap_gateway_task(&settings, options.settings) ? EXIT_SUCCESS : EXIT_FAILURE;
	else
		status = run(&settings);
	ap_settings_clear(&settings);
	return status;
}
