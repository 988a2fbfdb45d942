/* Connections and requests of the client side, private to this package. */
#ifndef AP_HTTP_CLIENT_H
#define AP_HTTP_CLIENT_H

#include "http/http.h"
#include "log/log.h"

#include <event2/buffer.h>
#include <sys/queue.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

#define ADDRESS_KEY_MAX (AP_HOST_MAX + 8)

typedef struct address address_t;

typedef enum place {
	PLACE_NONE,
	PLACE_IDLE,
	PLACE_BUSY,
	PLACE_DEAD,
} place_t;

/**
 * struct conn - one connection to an upstream, with at most one request on it.
 * @proved: when its last answer was whole
 * @retired: not used again after its present request
 * @keep: goes back to the idle ones when the library is done with it
 * @stopped: reading is off
 * @failed: the library gave up a request that nobody waits for
 */
typedef struct conn {
	TAILQ_ENTRY(conn) link;
	place_t place;
	address_t *address;
	struct evhttp_connection *evcon;
	ap_http_fetch_t *fetch;
	ap_usec_t opened_at;
	ap_usec_t verified_at;
	ap_usec_t idle_limit;
	bool retired;
	bool reusable;
	bool read_stopped;
	bool failed;
} conn_t;

TAILQ_HEAD(conns, conn);

struct address {
	char key[ADDRESS_KEY_MAX];
	char host[AP_HOST_MAX];
	uint16_t port;
	size_t conns;
	ap_http_client_t *client;
	struct conns idle;
	struct conns busy;
	UT_hash_handle hh;
};

struct ap_http_client {
	struct event_base *base;
	address_t *addresses;
	struct conns dead;
	struct event *reaper;
	struct event *sweep;
	ap_http_client_stats_t stats;
};

typedef enum probe_state {
	PROBE_NONE,
	PROBE_RUNNING,
	PROBE_ANSWERED,
	PROBE_FAILED,
} probe_state_t;

/**
 * struct ap_http_fetch - one request to an upstream.
 * @last: when the last byte came, or the request was sent
 * @suspected: value of @last when the probe was started
 * @keep: how long the upstream keeps the connection when it is idle
 * @new_conn: its connection was opened for it
 * @library_failure: what a failure reported by the library means
 */
struct ap_http_fetch {
	ap_http_fetch_config_t config;
	conn_t *conn;
	struct event *timer;
	ap_http_fetch_t *probe;
	probe_state_t probe_state;
	ap_usec_t last_byte_at;
	ap_usec_t suspect_since;
	size_t written;
	size_t body_bytes;
	ap_usec_t keep_alive;
	bool is_probe;
	bool new_conn;
	bool head_received;
	bool paused;
	bool timed_out;
	ap_http_end_t library_failure;
};

/* conn_discard() - takes a connection out of use; it is freed from the event loop. */
void conn_discard(conn_t *conn);
/* fetch_time_out() - a limit passed: ends the request as soon as the probe has decided. */
void fetch_time_out(ap_http_fetch_t *fetch);
ap_http_fetch_t *fetch_start(ap_http_client_t *client, const ap_http_fetch_config_t *config,
			     conn_t *conn, bool is_probe);

#endif
