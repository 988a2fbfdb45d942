/* Replays messages over loopback sockets; the kernel counts bytes and segments (TCP_INFO). */
#include "replay.h"
#include "peer/peer.h"

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <unistd.h>
#include <zmq.h>

#define HEADER_BYTES 52 /* per segment: IPv4, and TCP with time stamps */
#define WARM_UP (6 * AP_SEC)
#define SEND_TICK_MS 5
#define PORTS 65536
#define NODE_ID "node"
#define UNUSED_PORT 9 /* for peers that no message is sent to */

/* Counts of one connection, or of successive connections over the same ports. */
typedef struct socket_count {
	uint32_t ports; /* local and remote */
	uint64_t bytes;
	uint64_t segments;
	uint64_t closed_bytes; /* earlier connections over the same ports */
	uint64_t closed_segments;
	uint64_t bytes_before;
	uint64_t segments_before;
	bool open;
	UT_hash_handle hh;
} socket_count_t;

typedef struct player {
	struct event_base *base;
	const record_t *record;
	int node;
	int entries;
	ap_peer_t *own;
	ap_settings_t own_settings;
	ap_peer_t *partners[ENTRIES_MAX];
	ap_settings_t settings[ENTRIES_MAX];
	bool partner_port[PORTS];
	socket_count_t *sockets;
	ap_usec_t begin;
	ap_usec_t length;
	size_t next;
	uint64_t messages;
	uint64_t bytes;
	double begin_bytes;
} player_t;

static void ignore(void *ctx, const char *from, const void *data, size_t len)
{
	(void)ctx;
	(void)from;
	(void)data;
	(void)len;
}

static ap_peer_t *open_peer(player_t *p, ap_settings_t *settings, const char *id)
{
	ap_peer_config_t config = {.base = p->base, .settings = settings, .receive = ignore};
	ap_peer_t *peer;

	*settings = p->own_settings;
	ap_copy_name(settings->id, sizeof(settings->id), id);
	ap_copy_name(settings->host, sizeof(settings->host), "127.0.0.1");
	if (ap_peer_new(&config, &peer, NULL) != AP_PEER_OK)
		abort();
	return peer;
}

/* Adds as many peers as the fleet has, since heartbeats depend on their number. Most stay idle. */
static void add_fleet_peers(ap_peer_t *peer, int entries)
{
	for (int i = 0; i < entries; i++) {
		char id[AP_NAME_MAX];

		snprintf(id, sizeof(id), "e%d", i);
		ap_peer_add(peer, id, "127.0.0.1", UNUSED_PORT, NULL);
	}
}

static void open_partner(player_t *p, int number)
{
	char id[AP_NAME_MAX];
	uint16_t port;

	if (p->partners[number])
		return;
	snprintf(id, sizeof(id), "e%d", number);
	p->partners[number] = open_peer(p, &p->settings[number], id);
	add_fleet_peers(p->partners[number], p->entries);
	port = ap_peer_port_number(p->partners[number]);
	p->partner_port[port] = true;
	ap_peer_add(p->own, id, "127.0.0.1", port, NULL);
	ap_peer_add(p->partners[number], NODE_ID, "127.0.0.1", ap_peer_port_number(p->own), NULL);
}

static bool involves_node(const player_t *p, const message_t *m)
{
	return m->from == p->node || m->to == p->node;
}

static void replay_message(player_t *p, const message_t *m)
{
	static const char zeros[AP_WIRE_MAX];
	char id[AP_NAME_MAX];

	if (m->from != p->node) {
		ap_peer_send(p->partners[m->from], NODE_ID, zeros, m->len);
		return;
	}
	snprintf(id, sizeof(id), "e%d", m->to);
	ap_peer_send(p->own, id, zeros, m->len);
}

static socket_count_t *count_of(player_t *p, uint32_t ports)
{
	socket_count_t *s;

	HASH_FIND(hh, p->sockets, &ports, sizeof(ports), s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	s->ports = ports;
	HASH_ADD(hh, p->sockets, ports, sizeof(s->ports), s);
	return s;
}

/* Fewer segments than before mean a new connection over the same ports. */
static void note_counts(socket_count_t *s, uint64_t bytes, uint64_t segments)
{
	if (s->closed_segments + segments < s->segments) {
		s->closed_bytes = s->bytes;
		s->closed_segments = s->segments;
	}
	s->bytes = s->closed_bytes + bytes;
	s->segments = s->closed_segments + segments;
	s->open = true;
}

/* Reads the counts of descriptor @fd if it is a connection of the replayed node. */
static void count_descriptor(player_t *p, int fd)
{
	struct sockaddr_in local = {0}, remote = {0};
	socklen_t local_size = sizeof(local), remote_size = sizeof(remote);
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);
	uint16_t from, to;
	socket_count_t *s;

	if (getsockname(fd, (struct sockaddr *)&local, &local_size) != 0 ||
	    local.sin_family != AF_INET ||
	    getpeername(fd, (struct sockaddr *)&remote, &remote_size) != 0)
		return;
	from = ntohs(local.sin_port);
	to = ntohs(remote.sin_port);
	if (from != ap_peer_port_number(p->own) && !p->partner_port[to])
		return;
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
		return;
	s = count_of(p, (uint32_t)from << 16 | to);
	note_counts(s, info.tcpi_bytes_sent + info.tcpi_bytes_received,
		    (uint64_t)info.tcpi_segs_out + info.tcpi_segs_in);
}

static void count_sockets(player_t *p)
{
	int most = (int)sysconf(_SC_OPEN_MAX);
	socket_count_t *s;

	for (s = p->sockets; s; s = s->hh.next)
		s->open = false;
	for (int fd = 0; fd < most; fd++)
		count_descriptor(p, fd);
}

static void begin_measuring(player_t *p)
{
	socket_count_t *s;

	count_sockets(p);
	for (s = p->sockets; s; s = s->hh.next) {
		s->bytes_before = s->bytes;
		s->segments_before = s->segments;
	}
	p->begin = ap_now();
	p->next = 0;
}

static void on_send(evutil_socket_t fd, short what, void *arg)
{
	player_t *p = arg;
	const record_t *r = p->record;
	ap_usec_t first = r->messages[0].at;
	ap_usec_t passed = ap_now() - p->begin;

	(void)fd;
	(void)what;
	for (; p->next < r->n; p->next++) {
		const message_t *m = &r->messages[p->next];

		if (m->at - first > passed || m->at - first >= p->length)
			return;
		if (!involves_node(p, m))
			continue;
		p->messages++;
		p->bytes += m->len;
		replay_message(p, m);
	}
}

/*
 * Opens all connections before the measurement: in a running fleet they are open already, since a
 * connection that is used from time to time stays open.
 */
static void connect_all(player_t *p)
{
	const message_t warm = {.len = 1};

	for (size_t i = 0; i < p->record->n; i++) {
		const message_t *m = &p->record->messages[i];
		message_t both[2] = {warm, warm};
		int other = m->from == p->node ? m->to : m->from;

		if (!involves_node(p, m) || p->partners[other])
			continue;
		open_partner(p, other);
		both[0].from = both[1].to = (uint16_t)p->node;
		both[0].to = both[1].from = (uint16_t)other;
		replay_message(p, &both[0]);
		replay_message(p, &both[1]);
	}
}

static void run_for(const player_t *p, ap_usec_t time)
{
	const struct timeval length = ap_timeval(time);

	event_base_loopexit(p->base, &length);
	event_base_dispatch(p->base);
}

static replay_t sum_up(const player_t *p, double seconds)
{
	replay_t out = {.messages = (double)p->messages / seconds,
			.message_bytes = (double)p->bytes / seconds};
	const socket_count_t *s;

	for (s = p->sockets; s; s = s->hh.next) {
		out.stream_bytes += (double)(s->bytes - s->bytes_before) / seconds;
		out.segments += (double)(s->segments - s->segments_before) / seconds;
		out.connections += s->open;
	}
	out.bytes = out.stream_bytes + out.segments * HEADER_BYTES;
	return out;
}

static void on_count(evutil_socket_t fd, short what, void *arg)
{
	player_t *p = arg;
	double passed = (double)(ap_now() - p->begin) / AP_SEC;

	(void)fd;
	(void)what;
	count_sockets(p);
	if (p->begin_bytes == 0 && passed >= REPLAY_BEGIN_SECONDS)
		p->begin_bytes = sum_up(p, passed).bytes;
}

static void close_all(player_t *p)
{
	socket_count_t *s, *next;

	for (int i = 0; i < ENTRIES_MAX; i++) {
		if (p->partners[i])
			ap_peer_free(p->partners[i]);
	}
	ap_peer_free(p->own);
	s = p->sockets;
	HASH_CLEAR(hh, p->sockets);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
	event_base_free(p->base);
	free(p);
}

replay_t replay_run(const record_t *record, int entries, int node, int seconds)
{
	const struct timeval send_tick = {.tv_usec = SEND_TICK_MS * 1000};
	const struct timeval count_tick = {.tv_sec = 1};
	player_t *p = calloc(1, sizeof(*p));
	struct event *sender, *counter;
	replay_t out;

	if (!p)
		abort();
	p->base = event_base_new();
	p->record = record;
	p->node = node;
	p->entries = entries;
	p->length = seconds * AP_SEC;
	zmq_curve_keypair(p->own_settings.public_key, p->own_settings.secret_key);
	p->own = open_peer(p, &p->own_settings, NODE_ID);
	add_fleet_peers(p->own, entries);
	connect_all(p);
	run_for(p, WARM_UP);
	begin_measuring(p);
	sender = event_new(p->base, -1, EV_PERSIST, on_send, p);
	counter = event_new(p->base, -1, EV_PERSIST, on_count, p);
	event_add(sender, &send_tick);
	event_add(counter, &count_tick);
	run_for(p, p->length);
	count_sockets(p);
	out = sum_up(p, (double)(ap_now() - p->begin) / AP_SEC);
	out.begin_bytes = p->begin_bytes > 0 ? p->begin_bytes : out.bytes;
	event_free(sender);
	event_free(counter);
	close_all(p);
	return out;
}
