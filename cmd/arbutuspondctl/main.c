/* The operator's tool. */
#include "log/log.h"

#include <argp.h>

const char *argp_program_version = "arbutuspondctl " AP_VERSION;

int main(int argc, char **argv)
{
	static const struct argp parser = {.doc = "Operate an arbutuspond deployment"};

	argp_parse(&parser, argc, argv, 0, NULL, NULL);
	ap_log_open("arbutuspondctl", LOG_INFO);
	return 0;
}
