/* Instances of two regions that tell each other what they do, without a network. */
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
#define WORK_MAX 4096

/* Messages between the instances of a test, delivered when it says so. */
typedef struct mail {
	char from[AP_NAME_MAX];
	char to[AP_NAME_MAX];
	char data[4096];
	size_t len;
} mail_t;

typedef struct sender {
	struct net *net;
	char id[AP_NAME_MAX];
} sender_t;

typedef struct net {
	ap_fleet_t *fleets[INSTANCES_MAX];
	sender_t senders[INSTANCES_MAX];
	size_t n;
	mail_t *mails;
	size_t n_mails;
} net_t;

static inline void net_send(void *ctx, const char *to, const void *data, size_t len)
{
	sender_t *s = ctx;
	mail_t *m = &s->net->mails[s->net->n_mails++];

	assert_true(s->net->n_mails < MESSAGES_MAX && len <= sizeof(m->data));
	ap_copy_name(m->from, sizeof(m->from), s->id);
	ap_copy_name(m->to, sizeof(m->to), to);
	memcpy(m->data, data, len);
	m->len = len;
}

static inline void net_begin(net_t *net, size_t north, size_t south)
{
	*net = (net_t){.n = north + south};
	net->mails = calloc(MESSAGES_MAX, sizeof(*net->mails));
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

static inline void net_tell(net_t *net, ap_usec_t now)
{
	for (size_t i = 0; i < net->n; i++) {
		ap_peer_port_t port = {.ctx = &net->senders[i], .send = net_send};

		ap_fleet_announce(net->fleets[i], &port, now);
	}
	for (size_t m = 0; m < net->n_mails; m++) {
		const mail_t *mail = &net->mails[m];

		for (size_t i = 0; i < net->n; i++) {
			if (strcmp(net->senders[i].id, mail->to) == 0)
				assert_true(ap_fleet_receive(net->fleets[i], mail->from, mail->data,
							     mail->len, now));
		}
	}
	net->n_mails = 0;
	for (size_t i = 0; i < net->n; i++)
		ap_fleet_tick(net->fleets[i], now);
}

static inline void net_end(net_t *net)
{
	for (size_t i = 0; i < net->n; i++)
		ap_fleet_free(net->fleets[i]);
	free(net->mails);
}

static inline void send_work(ap_fleet_t *f, ap_dispatch_t *work, ap_usec_t now, ap_target_t *target,
			     ap_inflight_t *inflight)
{
	assert_int_equal(ap_fleet_choose(f, work, now, target), AP_FLEET_OK);
	ap_fleet_sent(f, work, target, now, inflight);
}

#endif
