/*
 * Network between instances in virtual time that loses, duplicates, delays and reorders messages.
 * Instance number N has the id "eN".
 */
#ifndef AP_TEST_FAKE_NET_H
#define AP_TEST_FAKE_NET_H

#include "fake_sim.h"

#include <stdio.h>
#include <string.h>

typedef struct fake_net {
	fake_sim_t *sim;
	double loss;	    /* probability that a message is lost */
	double duplication; /* probability that a message is sent twice */
	ap_usec_t delay;
	ap_usec_t jitter; /* a random part of this is added to the delay */
	void *ctx;
	bool (*is_blocked)(void *ctx, int from, int to); /* are messages dropped? may be NULL */
	void (*deliver)(void *ctx, int to, const char *from, const void *data, size_t len);
	uint64_t messages;
	uint64_t bytes;
} fake_net_t;

/* The network as instance number @self sees it, with what the instance has sent. */
typedef struct fake_port {
	fake_net_t *net;
	int self;
	uint64_t out_bytes;
	uint64_t out_messages;
} fake_port_t;

typedef struct fake_packet {
	fake_net_t *net;
	int from;
	int to;
	size_t len;
	unsigned char data[];
} fake_packet_t;

FAKE void fake_arrive(void *arg, void *data)
{
	fake_packet_t *p = data;
	char from[AP_NAME_MAX];

	(void)arg;
	snprintf(from, sizeof(from), "e%d", p->from);
	if (!p->net->is_blocked || !p->net->is_blocked(p->net->ctx, p->from, p->to))
		p->net->deliver(p->net->ctx, p->to, from, p->data, p->len);
}

FAKE void fake_send(void *ctx, const char *to, const void *data, size_t len)
{
	fake_port_t *port = ctx;
	fake_net_t *net = port->net;
	int copies = ap_rng_unit(&net->sim->rng) < net->duplication ? 2 : 1;

	port->out_bytes += len;
	port->out_messages++;
	net->bytes += len;
	net->messages++;
	for (int i = 0; i < copies; i++) {
		fake_packet_t *p;

		if (ap_rng_unit(&net->sim->rng) < net->loss)
			continue;
		p = malloc(sizeof(*p) + len);
		if (!p)
			abort();
		p->net = net;
		p->from = port->self;
		p->to = atoi(to + 1);
		p->len = len;
		memcpy(p->data, data, len);
		fake_at(net->sim,
			net->sim->now + net->delay +
				(ap_usec_t)ap_rng_below(&net->sim->rng, (uint64_t)net->jitter + 1),
			fake_arrive, NULL, p);
	}
}

#endif
