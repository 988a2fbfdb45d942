#include "build.h"

#ifndef AP_BUILD
#define AP_BUILD "unknown"
#endif

const char ap_build_name[] = AP_BUILD;
