/* State shared by the files of this folder. */
#ifndef AP_PLATFORM_PRIVATE_H
#define AP_PLATFORM_PRIVATE_H

#include "call/call.h"
#include "platform/platform.h"

#include <sys/queue.h>

struct ap_platform {
	const ap_settings_t *settings;
	ap_calls_t *calls;
	LIST_HEAD(, pending) pending; /* key-value calls in progress */
	ap_platform_stats_t stats;
};

#endif
