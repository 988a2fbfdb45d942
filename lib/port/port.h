/*
 * Ports: what the decisions ask of the outside. Adapters, fakes and embedders implement them.
 * Every call is asynchronous; its callback comes exactly once, never from within the call.
 */
#ifndef AP_PORT_H
#define AP_PORT_H

#include "base/base.h"

#define AP_SESSION_MAX 64 /* bytes of a session's name, with its terminator */

typedef enum ap_kv_status {
	AP_KV_OK,
	AP_KV_CONFLICT,	   /* compare-and-swap or acquire found another state; nothing changed */
	AP_KV_ABSENT,	   /* no such key or session */
	AP_KV_UNAVAILABLE, /* certainly not carried out */
	AP_KV_UNSURE,	   /* the answer was lost: it may have been carried out */
} ap_kv_status_t;

/**
 * struct ap_kv_result - outcome of one call; pointers are valid during the callback only.
 * Only a read fills @index, @lock_index and @value; a write tells whether it was carried out.
 * @index: the key's modification index
 * @lock_index: the key's fencing number: how often its lease was taken
 * @session: session that holds the key, or the one just made; empty for none
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
 * @get: reads @key; with @index above 0 waits up to @wait for a newer one (a watch)
 * @cas: writes @key if its index is @index; 0 creates it if absent
 * @del: removes @key if its index is @index, which is above 0; one that is absent is no fault
 * @acquire: writes @key and binds it to @session, unless another one holds it
 * @session_create: a session that lapses @ttl after its last renewal; its keys are then unbound
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
 * struct ap_peer_port - messages to other entries; they may be lost, doubled or late.
 * @send: @to is the entry's id; the bytes are copied
 */
typedef struct ap_peer_port {
	void *ctx;
	void (*send)(void *ctx, const char *to, const void *data, size_t len);
} ap_peer_port_t;

/* How an order to an upstream ended. */
typedef enum ap_order_status {
	AP_ORDER_OK,
	AP_ORDER_FENCED,  /* refused: the fencing number is old */
	AP_ORDER_REFUSED, /* refused for another reason; nothing changed */
	AP_ORDER_UNSURE,  /* no answer: it may have been carried out */
} ap_order_status_t;

typedef void (*ap_order_done_t)(void *arg, ap_order_status_t status, const ap_err_t *err);

/**
 * struct ap_order_port - orders to upstreams; each sets a state and is idempotent.
 * @load: makes @model (or adapter) of @version present
 */
typedef struct ap_order_port {
	void *ctx;
	void (*load)(void *ctx, const char *upstream, const char *model, const char *version,
		     uint64_t fence, ap_usec_t limit, ap_order_done_t done, void *arg);
	void (*unload)(void *ctx, const char *upstream, const char *model, uint64_t fence,
		       ap_usec_t limit, ap_order_done_t done, void *arg);
} ap_order_port_t;

#endif
