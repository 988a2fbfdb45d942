/*
 * Issues permits to callers. A call for a permit waits until a witness is known, or until it is
 * known that there is none.
 */
#ifndef AP_ENTRY_PERMITS_H
#define AP_ENTRY_PERMITS_H

#include "entry.h"
#include "once/once.h"

#include <sys/queue.h>

/**
 * struct permits - calls of POST /v1/permits that wait for a witness.
 * @announced: announced to the control task that permits get a witness, if there is one
 */
typedef struct permits {
	entry_t *entry;
	ap_once_t *once;
	TAILQ_HEAD(, waiting_call) waiting;
	bool announced;
} permits_t;

void permits_init(permits_t *p, entry_t *entry, ap_once_t *once);
/* permits_request() - handles POST /v1/permits; replies to @call now or later. */
void permits_request(permits_t *p, ap_http_call_t *call, const ap_caller_t *caller,
		     const ap_service_t *service);
void permits_tick(permits_t *p);

#endif
