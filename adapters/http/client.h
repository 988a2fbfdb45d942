/* Connections and requests of the HTTP client, private to this folder. */
#ifndef AP_HTTP_CLIENT_H
#define AP_HTTP_CLIENT_H

#include "http/syntax.h"
#include "log/log.h"

#include <event2/buffer.h>
#include <sys/queue.h>

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

#define ADDRESS_KEY_MAX (AP_HOST_MAX + 8)

typedef struct address address_t;

typedef enum conn_state {
	CONN_UNLISTED, /* in no list: new, or taken from the idle list for a request */
	CONN_IDLE,
	CONN_BUSY,
	CONN_DISCARDED, /* out of use, dead or not; freed by the event loop */
} conn_state_t;

/**
 * struct conn - one connection to an upstream, with at most one request on it.
 * @state: which list holds the connection
 * @verified_at: time of its last complete response; 0 before the first
 * @idle_limit: how long the connection may stay idle after @verified_at
 * @retired: not used again after its current request
 * @reusable: returns to the idle list when the library is done with it
 * @read_stopped: reading is disabled
 * @failed: the library reported a failure while no request was attached
 * @syntax: of the response that arrives
 */
typedef struct conn {
	TAILQ_ENTRY(conn) link;
	conn_state_t state;
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
	ap_http_syntax_t syntax;
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

/**
 * struct ap_http_client - connections to upstreams, by address.
 * @discarded: connections taken out of use, dead or not, until the event loop frees them
 * @deferred_work: returns connections to the idle lists, pauses reading and frees @discarded,
 *                 outside of the library's callbacks
 * @sweep: closes connections at their idle limit
 */
struct ap_http_client {
	struct event_base *base;
	address_t *addresses;
	struct conns discarded;
	struct event *deferred_work;
	struct event *sweep;
	ap_http_client_stats_t stats;
};

typedef enum probe_state {
	PROBE_NONE,
	PROBE_RUNNING,
	PROBE_RESPONDED,
	PROBE_FAILED,
} probe_state_t;

/**
 * struct ap_http_fetch - one request to an upstream.
 * @req: the library's request, valid as long as the fetch
 * @timer: checks the time limits
 * @last_byte_at: when the last byte arrived, the request was sent or reading was paused or resumed
 * @suspect_since: value of @last_byte_at when the probe was started
 * @written: bytes of the request written to the connection
 * @body_bytes: bytes of the response body received
 * @interim_heads: heads of interim responses received
 * @keep_alive: how long the upstream keeps the connection open while idle
 * @new_conn: the connection was opened for this request
 * @timed_out: a time limit has passed
 * @library_failure: result to report when the library gives up the request
 */
struct ap_http_fetch {
	ap_http_fetch_config_t config;
	conn_t *conn;
	struct evhttp_request *req;
	struct event *timer;
	ap_http_fetch_t *probe;
	probe_state_t probe_state;
	ap_usec_t last_byte_at;
	ap_usec_t suspect_since;
	size_t written;
	size_t body_bytes;
	unsigned interim_heads;
	ap_usec_t keep_alive;
	bool is_probe;
	bool new_conn;
	bool head_received;
	bool paused;
	bool timed_out;
	ap_http_end_t library_failure;
};

/* address_find() - NULL if there has been no connection to the address for a while. */
address_t *address_find(const ap_http_client_t *client, const char *host, uint16_t port);
/* keep_alive_of() - idle limit that "Keep-Alive: timeout=SECONDS" states, less a margin. */
ap_usec_t keep_alive_of(const struct evkeyvalq *headers);
/* conn_discard() - takes a connection out of use; the event loop frees it later. */
void conn_discard(conn_t *conn);
/*
 * conn_reuse() - takes the most recently used connection, so that the others reach their idle
 * limit. With @fresh, only one that has just carried a response; NULL if there is none.
 */
conn_t *conn_reuse(address_t *address, bool fresh, ap_usec_t now);
/* fetch_time_out() - a time limit passed: ends the request once the probe's result is known. */
void fetch_time_out(ap_http_fetch_t *fetch);
/* fetch_start() - sends a request on @conn, which may be NULL; NULL if nothing was sent. */
ap_http_fetch_t *fetch_start(ap_http_client_t *client, const ap_http_fetch_config_t *config,
			     conn_t *conn, bool is_probe);

#endif
