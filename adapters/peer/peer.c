/*
 * Messages over ZeroMQ: one ROUTER socket receives from all peers, and each peer has a DEALER
 * socket for sending to it. Since each frame is encrypted by itself, a message is one frame: the
 * sender's id, its clock and the payload. Delivery is not guaranteed; the protocols in lib/ handle
 * losses.
 */
#include "peer/peer.h"
#include "peer/auth.h"
#include "wire/wire.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#define HEARTBEAT_MIN_MS 2000
#define HEARTBEAT_MAX_MS 180000
#define HEARTBEAT_MS_PER_PEER 500 /* bounds the process's total heartbeat rate */
#define HEARTBEAT_TIMEOUT_MS 6000
#define HEARTBEATS_MISSED_MAX 3 /* before the receiving side closes the connection */
#define UNACKED_MS 6000	  /* TCP closes a connection whose bytes stay unacknowledged this long */
#define HANDSHAKE_MS 3000 /* for a connection to show its key; a stranger holds a descriptor */
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
#define QUEUE_MESSAGES 4096
#define RECEIVE_BATCH 256
#define FRAMES 2 /* routing id, message */
#define CLOCK_COUNT_BITS 16
#define CLOCK_COUNT_MASK 0xffffu
#define CLOCK_AHEAD_MAX_MS 60000 /* a peer's clock further ahead is ignored */
#define MESSAGE_MAX (AP_WIRE_MAX + 1 + AP_NAME_MAX + (int)sizeof(uint64_t))
#define IDLE_CLOSE (120 * AP_SEC) /* a socket unused for this long is closed */
#define SWEEP_SECONDS 30

typedef struct peer_conn {
	char id[AP_NAME_MAX];
	char endpoint[AP_HOST_MAX + 16];
	char key[AP_CURVE_KEY_MAX];
	void *socket; /* NULL while unused */
	ap_usec_t last_send;
	UT_hash_handle hh;
} peer_conn_t;

struct ap_peer {
	ap_peer_config_t config;
	void *zmq;
	ap_auth_t *auth;
	void *router;
	struct event *readable;
	struct event *sweep;
	uint16_t port;
	peer_conn_t *peers;
	ap_peer_stats_t stats;
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_common(void *socket)
{
	int64_t max = MESSAGE_MAX;

	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, QUEUE_MESSAGES);
	set_int(socket, ZMQ_TCP_MAXRT, UNACKED_MS);
}

/*
 * Only the sending side sends heartbeats; the receiving side replies, and closes a connection
 * without heartbeats. The interval grows with the number of peers. That is safe, since TCP closes a
 * connection whose bytes stay unacknowledged for UNACKED_MS, and the protocols in lib/ recover the
 * messages lost until then.
 */
static void set_heartbeat(const ap_peer_t *p, void *socket)
{
	int every = (int)HASH_COUNT(p->peers) * HEARTBEAT_MS_PER_PEER;

	if (every < HEARTBEAT_MIN_MS)
		every = HEARTBEAT_MIN_MS;
	if (every > HEARTBEAT_MAX_MS)
		every = HEARTBEAT_MAX_MS;
	set_int(socket, ZMQ_HEARTBEAT_IVL, every);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_HEARTBEAT_TTL, every * HEARTBEATS_MISSED_MAX);
}

static void close_peer_conn(peer_conn_t *conn)
{
	if (conn->socket)
		zmq_close(conn->socket);
	conn->socket = NULL;
}

static bool open_peer_conn(ap_peer_t *p, peer_conn_t *conn)
{
	const ap_settings_t *s = p->config.settings;

	conn->socket = zmq_socket(p->zmq, ZMQ_DEALER);
	if (!conn->socket)
		return false;
	set_common(conn->socket);
	set_heartbeat(p, conn->socket);
	set_int(conn->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(conn->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	if (zmq_setsockopt(conn->socket, ZMQ_CURVE_SERVERKEY, conn->key, strlen(conn->key) + 1) ==
		    0 &&
	    zmq_setsockopt(conn->socket, ZMQ_CURVE_PUBLICKEY, s->public_key,
			   strlen(s->public_key) + 1) == 0 &&
	    zmq_setsockopt(conn->socket, ZMQ_CURVE_SECRETKEY, s->secret_key,
			   strlen(s->secret_key) + 1) == 0 &&
	    zmq_connect(conn->socket, conn->endpoint) == 0)
		return true;
	close_peer_conn(conn);
	return false;
}

/*
 * Whether the message's key is that of the claimed sender; an unknown sender may hold any of the
 * keys that auth.c accepts.
 */
static bool sender_ok(ap_peer_t *p, const char *id, zmq_msg_t *payload)
{
	const char *key = zmq_msg_gets(payload, "User-Id");
	peer_conn_t *conn;

	if (!key)
		return false;
	HASH_FIND_STR(p->peers, id, conn);
	return !conn || strcmp(conn->key, key) == 0;
}

/* Advances the clock. Returns its wire form: 48 bits of milliseconds, 16 bits of count. */
static uint64_t clock_now(ap_peer_t *p)
{
	ap_hlc_t at;

	if (!p->config.clock)
		return 0;
	at = ap_hlc_now(p->config.clock, ap_wall_ms());
	return at.wall_ms << CLOCK_COUNT_BITS | (at.count & CLOCK_COUNT_MASK);
}

static void clock_update(ap_peer_t *p, uint64_t packed)
{
	uint64_t wall = ap_wall_ms();
	ap_hlc_t at;

	if (!p->config.clock || packed == 0)
		return;
	at.wall_ms = packed >> CLOCK_COUNT_BITS;
	at.count = packed & CLOCK_COUNT_MASK;
	/* A peer far ahead has a wrong wall clock; its time must not spread to this process. */
	if (at.wall_ms < wall + CLOCK_AHEAD_MAX_MS)
		ap_hlc_seen(p->config.clock, at, wall);
}

/* Returns the length of the envelope, which the payload follows; 0 if it is malformed. */
static size_t read_envelope(zmq_msg_t *message, char id[AP_NAME_MAX], uint64_t *clock)
{
	const unsigned char *data = zmq_msg_data(message);
	size_t size = zmq_msg_size(message);
	size_t len = size > 0 ? data[0] : 0;
	size_t envelope = 1 + len + sizeof(*clock);

	if (len == 0 || len >= AP_NAME_MAX || size < envelope)
		return 0;
	memcpy(id, data + 1, len);
	id[len] = '\0';
	memcpy(clock, data + 1 + len, sizeof(*clock));
	return envelope;
}

static void deliver(ap_peer_t *p, zmq_msg_t *message)
{
	char id[AP_NAME_MAX];
	uint64_t clock;
	size_t envelope = read_envelope(message, id, &clock);
	const char *bytes = (const char *)zmq_msg_data(message) + envelope;
	size_t len = zmq_msg_size(message) - envelope;
	const char *key;

	if (envelope == 0) {
		p->stats.dropped++;
		return;
	}
	if (!sender_ok(p, id, message)) {
		p->stats.refused_keys++;
		key = zmq_msg_gets(message, "User-Id");
		ap_log(LOG_WARNING,
		       "peer %s: message with key %s, expected the key known for this id", id,
		       key ? key : "(none)");
		return;
	}
	clock_update(p, clock);
	p->stats.received++;
	p->stats.received_bytes += len;
	p->config.receive(p->config.ctx, id, bytes, len);
}

/* Receives one message from the router socket; false if none is pending. */
static bool receive_one(ap_peer_t *p)
{
	zmq_msg_t frames[FRAMES];
	int more = 1;
	int n = 0;

	while (more) {
		zmq_msg_t spare;
		zmq_msg_t *into = n < FRAMES ? &frames[n] : &spare;

		zmq_msg_init(into);
		if (zmq_msg_recv(into, p->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(into);
			break;
		}
		more = zmq_msg_more(into);
		if (n >= FRAMES)
			zmq_msg_close(&spare);
		n++;
	}
	if (n == FRAMES)
		deliver(p, &frames[1]);
	else if (n > 0)
		p->stats.dropped++;
	for (int i = 0; i < n && i < FRAMES; i++)
		zmq_msg_close(&frames[i]);
	return n > 0;
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	ap_peer_t *p = arg;

	(void)fd;
	(void)what;
	for (int i = 0; i < RECEIVE_BATCH; i++) {
		if (!receive_one(p))
			return;
	}
	/* The descriptor is edge-triggered: read the remaining messages after other events. */
	event_active(p->readable, EV_READ, 0);
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	ap_peer_t *p = arg;
	ap_usec_t now = ap_now();
	peer_conn_t *conn;
	peer_conn_t *next;

	(void)fd;
	(void)what;
	HASH_ITER (hh, p->peers, conn, next) {
		if (conn->socket && now - conn->last_send > IDLE_CLOSE)
			close_peer_conn(conn);
	}
}

static ap_peer_status_t bind_router(ap_peer_t *p, ap_err_t *err)
{
	const ap_settings_t *s = p->config.settings;
	char endpoint[AP_HOST_MAX + 16];
	char bound[AP_HOST_MAX + 32];
	size_t size = sizeof(bound);

	p->router = zmq_socket(p->zmq, ZMQ_ROUTER);
	if (!p->router) {
		ap_err_set(err, "cannot create a ROUTER socket: %s", zmq_strerror(errno));
		return AP_PEER_BIND;
	}
	set_common(p->router);
	set_int(p->router, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	set_int(p->router, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(p->router, ZMQ_ZAP_DOMAIN, AP_ZAP_DOMAIN, strlen(AP_ZAP_DOMAIN));
	if (zmq_setsockopt(p->router, ZMQ_CURVE_SECRETKEY, s->secret_key,
			   strlen(s->secret_key) + 1) != 0) {
		ap_err_set(err, "keys.secret is not a CURVE key of 40 characters");
		return AP_PEER_KEY;
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", s->host, p->config.port);
	if (zmq_bind(p->router, endpoint) != 0) {
		ap_err_set(err, "cannot listen on %s: %s", endpoint, zmq_strerror(errno));
		return AP_PEER_BIND;
	}
	zmq_getsockopt(p->router, ZMQ_LAST_ENDPOINT, bound, &size);
	p->port = (uint16_t)strtoul(strrchr(bound, ':') + 1, NULL, 10);
	return AP_PEER_OK;
}

static void watch(ap_peer_t *p)
{
	const struct timeval every = {.tv_sec = SWEEP_SECONDS};
	size_t size = sizeof(int);
	int fd;

	zmq_getsockopt(p->router, ZMQ_FD, &fd, &size);
	p->readable = event_new(p->config.base, fd, EV_READ | EV_PERSIST, on_readable, p);
	event_add(p->readable, NULL);
	event_active(p->readable, EV_READ, 0);
	p->sweep = event_new(p->config.base, -1, EV_PERSIST, on_sweep, p);
	event_add(p->sweep, &every);
}

ap_peer_status_t ap_peer_new(const ap_peer_config_t *config, ap_peer_t **peer, ap_err_t *err)
{
	ap_peer_t *p = calloc(1, sizeof(*p));
	ap_peer_status_t status;

	*peer = NULL;
	if (!p)
		return AP_PEER_BIND;
	p->config = *config;
	p->zmq = zmq_ctx_new();
	p->auth = ap_auth_new(config->base, p->zmq, config->settings);
	if (!p->auth) {
		ap_err_set(err, "cannot start the check of CURVE keys: %s", zmq_strerror(errno));
		ap_peer_free(p);
		return AP_PEER_BIND;
	}
	status = bind_router(p, err);
	if (status != AP_PEER_OK) {
		ap_peer_free(p);
		return status;
	}
	watch(p);
	*peer = p;
	return AP_PEER_OK;
}

void ap_peer_free(ap_peer_t *p)
{
	peer_conn_t *next;
	peer_conn_t *conn;

	if (!p)
		return;
	conn = p->peers;
	HASH_CLEAR(hh, p->peers); /* frees the table only; the items stay linked */
	for (; conn; conn = next) {
		next = conn->hh.next;
		close_peer_conn(conn);
		free(conn);
	}
	if (p->readable)
		event_free(p->readable);
	if (p->sweep)
		event_free(p->sweep);
	if (p->router)
		zmq_close(p->router);
	ap_auth_free(p->auth);
	zmq_ctx_term(p->zmq);
	free(p);
}

uint16_t ap_peer_port_number(const ap_peer_t *p)
{
	return p->port;
}

void ap_peer_add(ap_peer_t *p, const char *id, const char *host, uint16_t port,
		 const char *public_key)
{
	const char *key = public_key && *public_key ? public_key : p->config.settings->public_key;
	char endpoint[AP_HOST_MAX + 16];
	peer_conn_t *conn;

	snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", host, port);
	HASH_FIND_STR(p->peers, id, conn);
	if (conn && strcmp(conn->endpoint, endpoint) == 0 && strcmp(conn->key, key) == 0)
		return;
	if (!conn) {
		conn = calloc(1, sizeof(*conn));
		if (!conn)
			return;
		ap_copy_name(conn->id, sizeof(conn->id), id);
		HASH_ADD_STR(p->peers, id, conn);
	}
	close_peer_conn(conn);
	ap_copy_name(conn->endpoint, sizeof(conn->endpoint), endpoint);
	ap_copy_name(conn->key, sizeof(conn->key), key);
}

void ap_peer_remove(ap_peer_t *p, const char *id)
{
	peer_conn_t *conn;

	HASH_FIND_STR(p->peers, id, conn);
	if (!conn)
		return;
	HASH_DEL(p->peers, conn);
	close_peer_conn(conn);
	free(conn);
}

static void write_envelope(zmq_msg_t *message, const char *id, uint64_t clock)
{
	unsigned char *data = zmq_msg_data(message);
	size_t len = strlen(id);

	*data++ = (unsigned char)len;
	for (size_t i = 0; i < len; i++)
		*data++ = (unsigned char)id[i];
	memcpy(data, &clock, sizeof(clock));
}

bool ap_peer_send(ap_peer_t *p, const char *to, const void *data, size_t len)
{
	const char *own = p->config.settings->id;
	size_t envelope = 1 + strlen(own) + sizeof(uint64_t);
	zmq_msg_t message;
	peer_conn_t *conn;

	HASH_FIND_STR(p->peers, to, conn);
	if (!conn || (!conn->socket && !open_peer_conn(p, conn)) ||
	    zmq_msg_init_size(&message, envelope + len) != 0) {
		p->stats.dropped++;
		return false;
	}
	conn->last_send = ap_now();
	write_envelope(&message, own, clock_now(p));
	if (len > 0)
		memcpy((char *)zmq_msg_data(&message) + envelope, data, len);
	if (zmq_msg_send(&message, conn->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&message);
		p->stats.dropped++;
		return false;
	}
	p->stats.sent++;
	p->stats.sent_bytes += len;
	return true;
}

static void port_send(void *ctx, const char *to, const void *data, size_t len)
{
	ap_peer_send(ctx, to, data, len);
}

ap_peer_port_t ap_peer_as_port(ap_peer_t *p)
{
	return (ap_peer_port_t){.ctx = p, .send = port_send};
}

ap_peer_stats_t ap_peer_stats(const ap_peer_t *p)
{
	ap_peer_stats_t stats = p->stats;

	stats.refused_keys += ap_auth_refused(p->auth);
	return stats;
}
