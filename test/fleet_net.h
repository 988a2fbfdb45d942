/* Instances of two regions that exchange announcements in memory. */
#ifndef AP_TEST_FLEET_NET_H
#define AP_TEST_FLEET_NET_H

#include "fleet_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define INSTANCES_MAX 32
#define MESSAGES_MAX 4096
#define REQUESTS_MAX 4096

/* A message between instances, delivered by net_announce(). */
typedef struct message {
	char from[AP_NAME_MAX];
	char to[AP_NAME_MAX];
	char data[16384];
	size_t len;
} message_t;

typedef struct sender {
	struct net *net;
	char id[AP_NAME_MAX];
} sender_t;

typedef struct net {
	ap_fleet_t *fleets[INSTANCES_MAX];
	sender_t senders[INSTANCES_MAX];
	size_t n;
	message_t *messages;
	size_t n_messages;
} net_t;

static inline void net_send(void *ctx, const char *to, const void *data, size_t len)
{
	sender_t *s = ctx;
	message_t *m = &s->net->messages[s->net->n_messages++];

	assert_true(s->net->n_messages < MESSAGES_MAX && len <= sizeof(m->data));
	ap_copy_name(m->from, sizeof(m->from), s->id);
	ap_copy_name(m->to, sizeof(m->to), to);
	memcpy(m->data, data, len);
	m->len = len;
}

static inline void net_begin(net_t *net, size_t north, size_t south)
{
	*net = (net_t){.n = north + south};
	net->messages = calloc(MESSAGES_MAX, sizeof(*net->messages));
	for (size_t i = 0; i < net->n; i++) {
		const char *region = i < north ? "north" : "south";

		snprintf(net->senders[i].id, AP_NAME_MAX, "i%zu", i);
		net->senders[i].net = net;
		net->fleets[i] = world_fleet(net->senders[i].id, region);
	}
	for (size_t i = 0; i < net->n; i++) {
		for (size_t k = 0; k < net->n; k++)
			world_member(net->fleets[i], net->senders[k].id,
				     k < north ? "north" : "south", false, WORLD_START);
	}
}

static inline void net_replicas(net_t *net, const char *pool, const char *region, int n)
{
	for (size_t i = 0; i < net->n; i++) {
		for (int k = 0; k < n; k++) {
			char id[AP_NAME_MAX];

			snprintf(id, sizeof(id), "%s-%s-%d", pool, region, k);
			world_replica(net->fleets[i], id, pool, region, WORLD_START);
		}
	}
}

static inline ap_peer_port_t net_port(net_t *net, size_t i)
{
	return (ap_peer_port_t){.ctx = &net->senders[i], .send = net_send};
}

static inline bool net_receive(net_t *net, size_t i, const message_t *m, ap_usec_t now)
{
	ap_peer_port_t port = net_port(net, i);

	return ap_fleet_receive_stream(net->fleets[i], &port, m->from, m->data, m->len, now) ||
	       ap_fleet_receive(net->fleets[i], m->from, m->data, m->len, now);
}

/* Delivers all messages, and the answers to them. */
static inline void net_deliver(net_t *net, ap_usec_t now)
{
	for (size_t m = 0; m < net->n_messages; m++) {
		const message_t *message = &net->messages[m];

		for (size_t i = 0; i < net->n; i++) {
			if (strcmp(net->senders[i].id, message->to) == 0)
				assert_true(net_receive(net, i, message, now));
		}
	}
	net->n_messages = 0;
}

static inline void net_announce(net_t *net, ap_usec_t now)
{
	for (size_t i = 0; i < net->n; i++) {
		ap_peer_port_t port = net_port(net, i);

		ap_fleet_announce(net->fleets[i], &port, now);
	}
	net_deliver(net, now);
	for (size_t i = 0; i < net->n; i++)
		ap_fleet_tick(net->fleets[i], now);
}

static inline void net_end(net_t *net)
{
	for (size_t i = 0; i < net->n; i++)
		ap_fleet_free(net->fleets[i]);
	free(net->messages);
}

static inline void send_request(ap_fleet_t *f, ap_dispatch_t *req, ap_usec_t now,
				ap_target_t *target, ap_inflight_t *inflight)
{
	assert_int_equal(ap_fleet_choose(f, req, now, target), AP_FLEET_OK);
	ap_fleet_sent(f, req, target, now, inflight);
}

#endif
