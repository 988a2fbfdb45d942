/* Names of decisions, reasons and ends in logs. */
#include "exchange/exchange.h"

const char *ap_reason_name(ap_reason_t reason)
{
	static const char *const names[AP_REASONS] = {
		"none",	  "no-upstream", "too-late", "held",	 "backoff",	 "refused",
		"budget", "broken",	 "timeout",  "unproved", "memory-short",
	};

	return names[reason];
}

const char *ap_doubt_name(ap_doubt_t doubt)
{
	static const char *const names[AP_DOUBTS] = {"none", "truncated", "deadline", "pace",
						     "gap",  "no-event",  "stopped"};

	return names[doubt];
}

const char *ap_step_name(ap_step_t step)
{
	static const char *const names[AP_STEPS] = {
		"sent",	  "sent-again",	    "resumed",	 "refused-by",	"unreachable", "failed-at",
		"silent", "second-attempt", "cancelled", "caller-left", "given-up",
	};

	return names[step];
}

const char *ap_connection_end_name(ap_connection_end_t end)
{
	static const char *const names[] = {
		"open", "framing", "close", "unsent", "broken", "timeout",
	};

	return names[end];
}
