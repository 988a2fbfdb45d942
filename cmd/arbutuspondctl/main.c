/* arbutuspondctl, the operator's tool: parses the command line and runs one command. */
#include "ctl.h"

#include <argp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TOKENS_DEFAULT 64

const char *argp_program_version = "arbutuspondctl " AP_VERSION;

/* Keys of options without a short form. */
enum option_key {
	OPTION_AFTER = 256,
	OPTION_BASE,
	OPTION_ENTRY,
	OPTION_JSON,
	OPTION_KEY,
	OPTION_MAX_TOKENS,
	OPTION_MODEL,
	OPTION_PATH,
	OPTION_PERMIT,
	OPTION_REPLACE,
	OPTION_REQUEST,
	OPTION_SERVICE,
	OPTION_TOKEN,
	OPTION_WHOLE,
};

static const struct argp_option options[] = {
	{"admin", 'a', "IP:PORT", 0, "admin listener of an instance; may be repeated", 1},
	{"token", OPTION_TOKEN, "TOKEN", 0, "admin token (else ARBUTUSPOND_TOKEN)", 1},
	{"json", OPTION_JSON, NULL, 0, "print JSON", 1},
	{"base", OPTION_BASE, "N", 0, "apply: generation that the file was edited from", 2},
	{"replace", OPTION_REPLACE, NULL, 0, "apply: replace the active configuration", 2},
	{"after", OPTION_AFTER, "N", 0, "events, timeline: only events numbered above N", 3},
	{"request", OPTION_REQUEST, "ID", 0, "events, timeline: only events of this request", 3},
	{"entry", OPTION_ENTRY, "IP:PORT", 0, "ask: address for callers of an instance", 4},
	{"key", OPTION_KEY, "KEY", 0, "ask, key-hash: API key (else ARBUTUSPOND_KEY)", 4},
	{"service", OPTION_SERVICE, "NAME", 0, "ask: service to call", 4},
	{"model", OPTION_MODEL, "NAME", 0, "ask: MODEL or MODEL/ADAPTER of the service", 4},
	{"path", OPTION_PATH, "PATH", 0, "ask: path of a plain service", 4},
	{"permit", OPTION_PERMIT, "PERMIT", OPTION_ARG_OPTIONAL,
	 "ask: use this permit, or request one first", 4},
	{"max-tokens", OPTION_MAX_TOKENS, "N", 0, "ask: tokens to generate at most", 4},
	{"whole", OPTION_WHOLE, NULL, 0, "ask: one complete response instead of a stream", 4},
	{0},
};

static const char args_doc[] = "COMMAND [ARGUMENT...]";
static const char doc[] =
	"Operate an arbutuspond deployment.\v"
	"Commands:\n"
	"  apply FILE     make a configuration (.toml or .json) the active one\n"
	"  get            print the active configuration\n"
	"  diff FILE      print the fields in which FILE differs from it\n"
	"  status         print the state of each --admin\n"
	"  drain          shut down the instance of --admin gracefully\n"
	"  events         print the events of the first --admin\n"
	"  timeline       print the events of all --admin, merged in order\n"
	"  explain ID [LOG...]  find in logs why a request failed\n"
	"  builds [LOG...]  print which build each instance runs, from logs\n"
	"  ask [TEXT]     send a request as a caller does\n"
	"  keygen         generate a CURVE key pair for [keys] in settings\n"
	"  key-hash       print the hash of an API key for a caller's key_hash\n\n"
	"Exit status: 0 done; 1 different, not ready, or no cause found; 2 "
	"invalid; 3 conflict; 4 refused; "
	"5 no connection; 6 not run; 7 unknown; 64 wrong command line.";

typedef struct command {
	const char *name;
	ctl_exit_t (*run)(const ctl_options_t *o);
	bool needs_admin;
	bool needs_file;
} command_t;

static const command_t commands[] = {
	{"apply", ctl_apply, true, true},	  {"get", ctl_get, true, false},
	{"diff", ctl_diff, true, true},		  {"status", ctl_status, true, false},
	{"drain", ctl_drain, true, false},	  {"events", ctl_events, true, false},
	{"timeline", ctl_timeline, true, false},  {"ask", ctl_ask, false, false},
	{"explain", ctl_explain, false, false},	  {"keygen", ctl_keygen, false, false},
	{"key-hash", ctl_key_hash, false, false}, {"builds", ctl_builds, false, false},
};

ctl_exit_t ctl_fail(ctl_exit_t status, const char *fmt, ...)
{
	va_list args;

	fputs("arbutuspondctl: ", stderr);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
	return status;
}

void ctl_print_json(json_t *json)
{
	json_dumpf(json, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(json);
}

static uint64_t number(struct argp_state *state, const char *text)
{
	char *end;
	uint64_t value = strtoull(text, &end, 10);

	if (*text < '0' || *text > '9' || *end)
		argp_error(state, "%s: not a number", text);
	return value;
}

static void address(struct argp_state *state, const char *text, ap_address_t *out)
{
	if (!ap_address_parse(text, out))
		argp_error(state, "%s: not IP:PORT", text);
}

static void take_argument(struct argp_state *state, ctl_options_t *o, const char *text)
{
	if (!o->command)
		o->command = text;
	else if (!o->argument)
		o->argument = text;
	else if ((strcmp(o->command, "explain") == 0 || strcmp(o->command, "builds") == 0) &&
		 o->n_files < FILES_MAX)
		o->files[o->n_files++] = text;
	else
		argp_error(state, "%s: unexpected argument", text);
}

static const command_t *find_command(const char *name)
{
	for (size_t i = 0; name && i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

static void check_command(struct argp_state *state, const ctl_options_t *o)
{
	const command_t *command = find_command(o->command);

	if (!o->command)
		argp_error(state, "no command given");
	else if (!command)
		argp_error(state, "%s: no such command", o->command);
	else if (command->needs_admin && o->n_admins == 0)
		argp_error(state, "the command needs --admin");
	else if (command->needs_file && !o->argument)
		argp_error(state, "the command needs a file");
	else if (command->run == ctl_explain && !o->argument)
		argp_error(state, "explain needs the id of a request");
	else if (command->run == ctl_ask &&
		 (!o->has_entry || !o->service || (!o->path && !o->argument)))
		argp_error(state, "ask needs --entry, --service and either a text or --path");
}

static error_t parse_ask_option(int key, char *arg, struct argp_state *state)
{
	ctl_options_t *o = state->input;

	switch (key) {
	case OPTION_ENTRY:
		address(state, arg, &o->entry);
		o->has_entry = true;
		return 0;
	case OPTION_KEY:
		o->key = arg;
		return 0;
	case OPTION_SERVICE:
		o->service = arg;
		return 0;
	case OPTION_MODEL:
		o->model = arg;
		return 0;
	case OPTION_PATH:
		o->path = arg;
		return 0;
	case OPTION_PERMIT:
		o->permit = arg ? arg : "";
		return 0;
	case OPTION_MAX_TOKENS:
		o->max_tokens = (unsigned)number(state, arg);
		return 0;
	case OPTION_WHOLE:
		o->whole = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	ctl_options_t *o = state->input;

	switch (key) {
	case 'a':
		if (o->n_admins == ADMINS_MAX)
			argp_error(state, "more than %d --admin", ADMINS_MAX);
		address(state, arg, &o->admins[o->n_admins++]);
		return 0;
	case OPTION_TOKEN:
		o->token = arg;
		return 0;
	case OPTION_JSON:
		o->json = true;
		return 0;
	case OPTION_BASE:
		o->base = number(state, arg);
		o->has_base = true;
		return 0;
	case OPTION_REPLACE:
		o->replace = true;
		return 0;
	case OPTION_AFTER:
		o->after = number(state, arg);
		return 0;
	case OPTION_REQUEST:
		o->request = arg;
		return 0;
	case ARGP_KEY_ARG:
		take_argument(state, o, arg);
		return 0;
	case ARGP_KEY_END:
		check_command(state, o);
		return 0;
	default:
		return parse_ask_option(key, arg, state);
	}
}

int main(int argc, char **argv)
{
	static const struct argp parser = {options, parse_option, args_doc, doc, NULL, NULL, NULL};
	ctl_options_t o = {.token = getenv("ARBUTUSPOND_TOKEN"),
			   .key = getenv("ARBUTUSPOND_KEY"),
			   .max_tokens = MAX_TOKENS_DEFAULT};

	argp_parse(&parser, argc, argv, 0, NULL, &o);
	return (int)find_command(o.command)->run(&o);
}
