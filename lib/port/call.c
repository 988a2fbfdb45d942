/* Key-value calls in progress for one owner. */
#include "port/call.h"

#include <stdlib.h>

struct ap_kv_call {
	ap_kv_calls_t *calls; /* NULL once the owner has dropped the call */
	ap_kv_on_result_t on_result;
	LIST_ENTRY(ap_kv_call) link;
};

ap_kv_call_t *ap_kv_call_new(ap_kv_calls_t *calls, ap_kv_on_result_t on_result)
{
	ap_kv_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->calls = calls;
	call->on_result = on_result;
	LIST_INSERT_HEAD(&calls->open, call, link);
	return call;
}

void ap_kv_call_done(void *arg, const ap_kv_result_t *result)
{
	ap_kv_call_t *call = arg;
	ap_kv_calls_t *calls = call->calls;
	ap_kv_on_result_t on_result = call->on_result;

	if (calls)
		LIST_REMOVE(call, link);
	free(call);
	if (calls)
		on_result(calls->owner, result);
}

void ap_kv_calls_drop(ap_kv_calls_t *calls)
{
	while (!LIST_EMPTY(&calls->open)) {
		ap_kv_call_t *call = LIST_FIRST(&calls->open);

		LIST_REMOVE(call, link);
		call->calls = NULL;
	}
}
