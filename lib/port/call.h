/*
 * Key-value calls in progress for one owner. A result that arrives after ap_kv_calls_drop() is
 * ignored; an owner calls that before it is freed.
 */
#ifndef AP_PORT_CALL_H
#define AP_PORT_CALL_H

#include "port/port.h"

#include <sys/queue.h>

typedef struct ap_kv_call ap_kv_call_t;
typedef void (*ap_kv_on_result_t)(void *owner, const ap_kv_result_t *result);

LIST_HEAD(ap_kv_call_list, ap_kv_call);

/**
 * struct ap_kv_calls - calls in progress of @owner.
 * @owner: passed to each call's @on_result
 * @open: to be initialised with LIST_INIT()
 */
typedef struct ap_kv_calls {
	void *owner;
	struct ap_kv_call_list open;
} ap_kv_calls_t;

/**
 * ap_kv_call_new() - registers a call to a port. Pass the returned call as @arg, and
 * ap_kv_call_done() as @done, to one function of the port; aborts when out of memory.
 * @on_result: receives the result unless the call was dropped
 */
ap_kv_call_t *ap_kv_call_new(ap_kv_calls_t *calls, ap_kv_on_result_t on_result);
/** ap_kv_call_done() - completion callback for the port; frees the call @arg. */
void ap_kv_call_done(void *arg, const ap_kv_result_t *result);
/** ap_kv_calls_drop() - ignores the results of all calls in progress. */
void ap_kv_calls_drop(ap_kv_calls_t *calls);

#endif
