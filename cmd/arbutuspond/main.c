/* The daemon: reads its settings, starts its tasks and waits for their end. */
#include "log/log.h"

#include <argp.h>

const char *argp_program_version = "arbutuspond " AP_VERSION;

int main(int argc, char **argv)
{
	static const struct argp parser = {.doc = "Multi-region inference gateway: entry instance"};

	argp_parse(&parser, argc, argv, 0, NULL, NULL);
	ap_log_open("arbutuspond", LOG_INFO);
	return 0;
}
