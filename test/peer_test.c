/* Peers over ZeroMQ on loopback: delivery, keys not accepted, senders that claim another's id. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <zmq.h>

#include "peer/peer.h"

#define WAIT_TURNS 2000	  /* longest wait for an event, in turns of 1 ms */
#define SILENCE_TURNS 200 /* wait in which no message may arrive */

typedef struct node {
	ap_settings_t settings;
	char accepted[1][AP_CURVE_KEY_MAX];
	ap_peer_t *peer;
	char from[AP_NAME_MAX];
	char data[64];
	int received;
} node_t;

static struct event_base *base;

static void on_receive(void *ctx, const char *from, const void *data, size_t len)
{
	node_t *n = ctx;

	n->received++;
	ap_copy_name(n->from, sizeof(n->from), from);
	memcpy(n->data, data, len < sizeof(n->data) ? len : sizeof(n->data));
}

static void start(node_t *n, const char *id, const char *accept)
{
	ap_peer_config_t config = {
		.base = base, .settings = &n->settings, .ctx = n, .receive = on_receive};

	ap_copy_name(n->settings.id, sizeof(n->settings.id), id);
	ap_copy_name(n->settings.host, sizeof(n->settings.host), "127.0.0.1");
	zmq_curve_keypair(n->settings.public_key, n->settings.secret_key);
	n->settings.peer_keys = n->accepted;
	if (accept) {
		ap_copy_name(n->accepted[0], AP_CURVE_KEY_MAX, accept);
		n->settings.n_peer_keys = 1;
	}
	assert_int_equal(ap_peer_new(&config, &n->peer, NULL), AP_PEER_OK);
}

static void turn(void)
{
	const struct timeval tick = {.tv_usec = 1000};

	event_base_loopexit(base, &tick);
	event_base_dispatch(base);
}

static void add_peer(node_t *to, node_t *about, const char *as)
{
	ap_peer_add(to->peer, as, "127.0.0.1", ap_peer_port_number(about->peer),
		    about->settings.public_key);
}

static void test_message_with_accepted_key_arrives(void **state)
{
	node_t a = {0};
	node_t b = {0};

	(void)state;
	start(&a, "a", NULL);
	start(&b, "b", a.settings.public_key);
	add_peer(&a, &b, "b");
	assert_true(ap_peer_send(a.peer, "b", "hello", 6));
	for (int i = 0; i < WAIT_TURNS && !b.received; i++)
		turn();
	assert_string_equal(b.from, "a");
	assert_string_equal(b.data, "hello");
	ap_peer_free(a.peer);
	ap_peer_free(b.peer);
}

static void test_unknown_key_is_refused(void **state)
{
	node_t a = {0};
	node_t b = {0};

	(void)state;
	start(&a, "a", NULL);
	start(&b, "b", NULL);
	add_peer(&a, &b, "b");
	ap_peer_send(a.peer, "b", "hello", 6);
	for (int i = 0; i < WAIT_TURNS && !ap_peer_stats(b.peer).refused_keys; i++)
		turn();
	for (int i = 0; i < SILENCE_TURNS; i++)
		turn();
	assert_true(ap_peer_stats(b.peer).refused_keys > 0);
	assert_int_equal(b.received, 0);
	ap_peer_free(a.peer);
	ap_peer_free(b.peer);
}

static void test_message_with_another_senders_id_is_dropped(void **state)
{
	node_t a = {0};
	node_t b = {0};
	node_t c = {0};

	(void)state;
	start(&a, "c", NULL);
	start(&c, "c", NULL);
	start(&b, "b", a.settings.public_key);
	add_peer(&b, &c, "c");
	add_peer(&a, &b, "b");
	ap_peer_send(a.peer, "b", "forged", 7);
	for (int i = 0; i < WAIT_TURNS && !ap_peer_stats(b.peer).refused_keys; i++)
		turn();
	assert_int_equal(ap_peer_stats(b.peer).refused_keys, 1);
	assert_int_equal(b.received, 0);
	ap_peer_free(a.peer);
	ap_peer_free(b.peer);
	ap_peer_free(c.peer);
}

static void test_send_to_unknown_peer_fails(void **state)
{
	node_t a = {0};

	(void)state;
	start(&a, "a", NULL);
	assert_false(ap_peer_send(a.peer, "nobody", "x", 1));
	ap_peer_free(a.peer);
}

static void test_wrong_settings(void **state)
{
	ap_settings_t s = {.host = "127.0.0.1", .secret_key = "short", .public_key = "short"};
	ap_peer_config_t config = {.base = base, .settings = &s, .receive = on_receive};
	ap_peer_t *peer;
	ap_err_t err;

	(void)state;
	assert_int_equal(ap_peer_new(&config, &peer, &err), AP_PEER_KEY);
	zmq_curve_keypair(s.public_key, s.secret_key);
	ap_copy_name(s.host, sizeof(s.host), "203.0.113.1");
	assert_int_equal(ap_peer_new(&config, &peer, &err), AP_PEER_BIND);
	assert_null(peer);
}

static int setup(void **state)
{
	(void)state;
	base = event_base_new();
	return base ? 0 : -1;
}

static int teardown(void **state)
{
	(void)state;
	event_base_free(base);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_message_with_accepted_key_arrives),
		cmocka_unit_test(test_unknown_key_is_refused),
		cmocka_unit_test(test_message_with_another_senders_id_is_dropped),
		cmocka_unit_test(test_send_to_unknown_peer_fails),
		cmocka_unit_test(test_wrong_settings),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
