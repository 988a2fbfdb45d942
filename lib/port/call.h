/*
 * Key-value calls under way for one owner. An answer that comes after the owner gave up on it, or
 * after the owner is gone, is dropped.
 */
#ifndef AP_PORT_CALL_H
#define AP_PORT_CALL_H

#include "port/port.h"

#include <sys/queue.h>

typedef struct ap_kv_call ap_kv_call_t;
typedef void (*ap_kv_answer_t)(void *owner, const ap_kv_result_t *result);

LIST_HEAD(ap_kv_call_list, ap_kv_call);

/**
 * struct ap_kv_calls - the owner's calls; initialise with LIST_INIT() on @open.
 */
typedef struct ap_kv_calls {
	void *owner;
	struct ap_kv_call_list open;
} ap_kv_calls_t;

/** ap_kv_call_new() - pass it as @arg with ap_kv_call_done() to one call of the port. */
ap_kv_call_t *ap_kv_call_new(ap_kv_calls_t *calls, ap_kv_answer_t answer);
void ap_kv_call_done(void *arg, const ap_kv_result_t *result);
/** ap_kv_calls_drop() - answers still to come are ignored. */
void ap_kv_calls_drop(ap_kv_calls_t *calls);

#endif
