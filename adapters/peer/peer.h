/*
 * Messages between entries over ZeroMQ with CURVE. One object a task; not shared by threads.
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
 * struct ap_peer_config - made once at start.
 * @settings: own id, host and keys; must outlive the object
 * @clock: the task's clock for its time line, told to peers and advanced by theirs; may be NULL
 * @port: own listening port; 0 lets the system choose, see ap_peer_port_number()
 * @receive: takes each message of a peer with a known key; @from is the sender's id
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
	AP_PEER_BIND, /* the address is taken or wrong */
	AP_PEER_KEY,  /* a key is not valid */
} ap_peer_status_t;

ap_peer_status_t ap_peer_new(const ap_peer_config_t *config, ap_peer_t **peer, ap_err_t *err);
void ap_peer_free(ap_peer_t *peer);
uint16_t ap_peer_port_number(const ap_peer_t *peer);
/**
 * ap_peer_add() - address and key of the entry @id; replaces what was known.
 * @public_key: its CURVE key; when empty, the entry is taken to share our own
 */
void ap_peer_add(ap_peer_t *peer, const char *id, const char *host, uint16_t port,
		 const char *public_key);
void ap_peer_remove(ap_peer_t *peer, const char *id);
/** ap_peer_send() - false when @to is not known or its queue is full: certainly not sent. */
bool ap_peer_send(ap_peer_t *peer, const char *to, const void *data, size_t len);
/** ap_peer_as_port() - the same as a port of the decisions. */
ap_peer_port_t ap_peer_as_port(ap_peer_t *peer);

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
