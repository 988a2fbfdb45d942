/*
 * Messages between instances over ZeroMQ with CURVE. Each task has its own object, which no other
 * thread may use.
 */
#ifndef AP_PEER_H
#define AP_PEER_H

#include "base/base.h"
#include "log/log.h"
#include "port/port.h"
#include "settings/settings.h"

#include <event2/event.h>

typedef struct ap_peer ap_peer_t;

/**
 * struct ap_peer_config - configuration, fixed when the object is created.
 * @settings: id, host and keys of this instance; must outlive the object
 * @clock: the task's hybrid logical clock, sent with each message and advanced by the clocks of
 *         peers; may be NULL
 * @port: listening port; 0 lets the system choose, see ap_peer_port_number()
 * @receive: called for each message from a peer with an accepted key; @from is the sender's id
 */
typedef struct ap_peer_config {
	struct event_base *base;
	const ap_settings_t *settings;
	ap_hlc_t *clock;
	uint16_t port;
	void *ctx;
	void (*receive)(void *ctx, const char *from, const void *data, size_t len);
} ap_peer_config_t;

typedef enum ap_peer_status {
	AP_PEER_OK,
	AP_PEER_BIND, /* the address is invalid or in use, or a resource is missing */
	AP_PEER_KEY,  /* the secret key is not valid */
} ap_peer_status_t;

ap_peer_status_t ap_peer_new(const ap_peer_config_t *config, ap_peer_t **peer, ap_err_t *err);
void ap_peer_free(ap_peer_t *peer);
/** ap_peer_port_number() - the listening port. */
uint16_t ap_peer_port_number(const ap_peer_t *peer);
/**
 * ap_peer_add() - sets address and key of the instance @id; replaces earlier ones.
 * @public_key: its CURVE key; when empty, the instance is assumed to share this instance's key
 */
void ap_peer_add(ap_peer_t *peer, const char *id, const char *host, uint16_t port,
		 const char *public_key);
void ap_peer_remove(ap_peer_t *peer, const char *id);
/**
 * ap_peer_send() - queues a message; delivery is not guaranteed.
 *
 * Return: false if the message is certainly not sent, since @to is unknown, its connection could
 * not be set up or its queue is full.
 */
bool ap_peer_send(ap_peer_t *peer, const char *to, const void *data, size_t len);
/** ap_peer_as_port() - @peer as the message port that the code under lib/ takes. */
ap_peer_port_t ap_peer_as_port(ap_peer_t *peer);

/**
 * struct ap_peer_stats - counters since start; bytes are without the envelope.
 * @dropped: messages that could not be queued, and received ones that were malformed
 * @refused_keys: connections refused for their key, and messages whose sender holds another key
 */
typedef struct ap_peer_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t dropped;
	uint64_t refused_keys;
} ap_peer_stats_t;

ap_peer_stats_t ap_peer_stats(const ap_peer_t *peer);

#endif
