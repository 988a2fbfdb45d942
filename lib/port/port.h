/*
 * Ports: interfaces to external services that decision code uses. Adapters, test fakes and
 * embedding programs implement them. Each call is asynchronous: its callback is called exactly
 * once, never before the call has returned.
 */
#ifndef AP_PORT_H
#define AP_PORT_H

#include "base/base.h"

#define AP_SESSION_MAX 64 /* bytes of a session's id, with its terminator */

typedef enum ap_kv_status {
	AP_KV_OK,
	AP_KV_CONFLICT,	   /* the condition of a write didn't hold; nothing changed */
	AP_KV_ABSENT,	   /* no such key or session */
	AP_KV_UNAVAILABLE, /* certainly not carried out */
	AP_KV_UNSURE,	   /* no response: the call may have been carried out */
} ap_kv_status_t;

/**
 * struct ap_kv_result - result of one call; pointers are valid during the callback only.
 * Only get fills @index, @lock_index, @value and @len; writes report only whether they were
 * carried out.
 * @index: the key's modification index
 * @lock_index: the key's fencing token: how often a session has acquired the key
 * @session: the session (a lease) that holds the key, or the one just created; empty for none
 * @err: error message, or empty
 */
typedef struct ap_kv_result {
	ap_kv_status_t status;
	uint64_t index;
	uint64_t lock_index;
	const void *value;
	size_t len;
	char session[AP_SESSION_MAX];
	ap_err_t err;
} ap_kv_result_t;

typedef void (*ap_kv_done_t)(void *arg, const ap_kv_result_t *result);

/**
 * struct ap_kv_port - the platform's key-value service.
 * @get: reads @key; with @index above 0 waits up to @wait for a newer index (a watch)
 * @cas: writes @key if its index is @index; with @index 0 creates it if it is absent
 * @del: removes @key if its index is @index, which is above 0; an absent key is no error
 * @acquire: writes @key and binds it to @session, unless another session holds it
 * @release: unbinds @key from @session
 * @session_create: creates a session that expires @ttl after its last renewal; its keys are then
 *	unbound
 */
typedef struct ap_kv_port {
	void *ctx;
	void (*get)(void *ctx, const char *key, uint64_t index, ap_usec_t wait, ap_kv_done_t done,
		    void *arg);
	void (*cas)(void *ctx, const char *key, const void *value, size_t len, uint64_t index,
		    ap_kv_done_t done, void *arg);
	void (*del)(void *ctx, const char *key, uint64_t index, ap_kv_done_t done, void *arg);
	void (*acquire)(void *ctx, const char *key, const void *value, size_t len,
			const char *session, ap_kv_done_t done, void *arg);
	void (*release)(void *ctx, const char *key, const char *session, ap_kv_done_t done,
			void *arg);
	void (*session_create)(void *ctx, ap_usec_t ttl, ap_kv_done_t done, void *arg);
	void (*session_renew)(void *ctx, const char *session, ap_kv_done_t done, void *arg);
	void (*session_destroy)(void *ctx, const char *session, ap_kv_done_t done, void *arg);
} ap_kv_port_t;

/**
 * struct ap_peer_port - messages to other instances; they may be lost, duplicated or delayed.
 * @send: sends to the instance whose id is @to; copies the bytes
 */
typedef struct ap_peer_port {
	void *ctx;
	void (*send)(void *ctx, const char *to, const void *data, size_t len);
} ap_peer_port_t;

/* Result of an order to an upstream. */
typedef enum ap_order_status {
	AP_ORDER_OK,
	AP_ORDER_FENCED,  /* refused: the fencing token is old */
	AP_ORDER_REFUSED, /* refused for another reason; nothing changed */
	AP_ORDER_UNSURE,  /* no response: the order may have been carried out */
} ap_order_status_t;

typedef void (*ap_order_done_t)(void *arg, ap_order_status_t status, const ap_err_t *err);

/**
 * struct ap_order_port - orders to upstreams. An order requests a state and is idempotent. @fence
 * is the fencing token and @timeout is in microseconds.
 * @load: loads the model or adapter @model in @version
 * @unload: unloads @model
 */
typedef struct ap_order_port {
	void *ctx;
	void (*load)(void *ctx, const char *upstream, const char *model, const char *version,
		     uint64_t fence, ap_usec_t timeout, ap_order_done_t done, void *arg);
	void (*unload)(void *ctx, const char *upstream, const char *model, uint64_t fence,
		       ap_usec_t timeout, ap_order_done_t done, void *arg);
} ap_order_port_t;

#endif
