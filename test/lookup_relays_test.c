/* Streams that callers take up in a region with relays, of which instances see different ones. */
#include "lookup_net.h"

#include "fleet/private.h"
#include "wire/wire.h"

#define REGION 16 /* instances, the least with relays */
#define STREAMS 8
#define TURN (100 * AP_MSEC)
#define CUT_TIME (8 * AP_SEC)
#define HEALED (NOW + CUT_TIME + 5 * AP_SEC)

/* Instances of one region that hear each other through its relays. */
static void begin_region(net_t *net, size_t n, size_t data_centres)
{
	net_begin(net, n, 0);
	for (size_t i = 0; i < net->n; i++) {
		for (size_t k = 0; k < net->n; k++) {
			ap_member_t m = {.peer_port = 81, .speaks = AP_FLEET_SPEAKS, .cores = 0.25};

			ap_copy_name(m.id, sizeof(m.id), net->senders[k].id);
			ap_copy_name(m.region, sizeof(m.region), "north");
			snprintf(m.data_centre, sizeof(m.data_centre), "north-%zu",
				 k % data_centres);
			ap_fleet_update_member(net->fleets[i], &m, WORLD_START);
		}
		list(net->fleets[i], "e1", V1, WORLD_START);
		list(net->fleets[i], "e2", V2, WORLD_START);
		ap_fleet_set_store_known(net->fleets[i], NOW, WORLD_START);
	}
}

/* An instance that opens a batch. */
typedef struct opener {
	ap_fleet_t *fleet;
	ap_usec_t now;
} opener_t;

static void on_passed_on(void *ctx, const char *origin, const void *data, size_t len)
{
	const opener_t *o = ctx;

	ap_fleet_receive(o->fleet, origin, data, len, o->now);
}

static void relay_message(net_t *net, size_t i, const message_t *m, ap_usec_t now)
{
	opener_t o = {net->fleets[i], now};

	if (ap_wire_peek(m->data, m->len) == AP_WIRE_BATCH) {
		ap_fleet_open_batch(o.fleet, m->from, m->data, m->len, now, &o, on_passed_on);
		return;
	}
	assert_true(net_receive(net, i, m, now));
	ap_fleet_pass_on(o.fleet, m->from, m->data, m->len, now);
}

/* A turn of all that live; messages to others are lost, and those between @cut groups. */
static void turn(net_t *net, size_t cut, ap_usec_t now)
{
	for (size_t i = 0; i < net->n; i++) {
		ap_peer_port_t port = net_port(net, i);

		if (net->senders[i].id[0])
			ap_fleet_announce(net->fleets[i], &port, now);
	}
	for (size_t m = 0; m < net->n_messages; m++) {
		for (size_t i = 0; i < net->n; i++) {
			bool lost = i % cut != (size_t)atoi(net->messages[m].from + 1) % cut;

			if (!lost && strcmp(net->senders[i].id, net->messages[m].to) == 0)
				relay_message(net, i, &net->messages[m], now);
		}
	}
	net->n_messages = 0;
	for (size_t i = 0; i < net->n; i++)
		ap_fleet_tick(net->fleets[i], now);
}

static void turns(net_t *net, size_t cut, ap_usec_t from, ap_usec_t to)
{
	for (ap_usec_t t = from; t < to; t += TURN)
		turn(net, cut, t);
}

/* Streams begin at instance @at, which is gone with the last of them; returns how many are unknown.
 */
static int unknown_of(net_t *net, size_t at, ap_usec_t now)
{
	int unknown = 0;

	for (int n = 0; n < STREAMS; n++) {
		char id[16];

		snprintf(id, sizeof(id), "%d", n);
		serve(net, at, id, V2, now);
		net_deliver(net, now);
	}
	kill_instance(net, at);
	for (size_t i = 0; i < net->n; i++) {
		for (int n = 0; n < STREAMS && net->senders[i].id[0]; n++) {
			ap_stream_place_t place;
			char id[16];

			snprintf(id, sizeof(id), "%d", n);
			unknown += find(net, i, id, now, &place) == AP_STREAM_UNKNOWN;
		}
	}
	return unknown;
}

/*
 * Guards against streams that are refused since instances ask others than were told of them: those
 * to which one of sixteen was a relay took the region for too small for relays once it was gone.
 */
static void those_told_are_asked_once_another_instance_is_gone(void **state)
{
	int unknown = 0;

	(void)state;
	for (size_t gone = 2; gone < REGION; gone++) {
		for (ap_usec_t after = AP_SEC; after < 4 * AP_SEC; after += 500 * AP_MSEC) {
			net_t net;
			int n;

			begin_region(&net, REGION, 1);
			turns(&net, 1, NOW - 4 * AP_SEC, NOW);
			kill_instance(&net, gone);
			turns(&net, 1, NOW, NOW + after);
			n = unknown_of(&net, 1, NOW + after);
			if (n)
				print_message("gone i%zu, after %d ms: %d unknown\n", gone,
					      (int)(after / 1000), n);
			unknown += n;
			net_end(&net);
		}
	}
	assert_int_equal(unknown, 0);
}

/* @n instances are cut into @groups, and hear each other again. */
static void heal(size_t n, size_t groups, size_t data_centres)
{
	net_t net;

	begin_region(&net, n, data_centres);
	turns(&net, 1, NOW - 4 * AP_SEC, NOW);
	turns(&net, groups, NOW, NOW + CUT_TIME);
	turns(&net, 1, NOW + CUT_TIME, HEALED);
	for (size_t i = 0; i < n; i++) {
		for (size_t k = 0; k < n; k++) {
			const ap_member_state_t *m =
				ap_member_find(net.fleets[i], net.senders[k].id);

			assert_true(m->self || HEALED - m->heard_at < 2 * AP_SEC);
		}
	}
	net_end(&net);
}

/*
 * Guards against halves of a large region that tell each other nothing any more after a cut, since
 * each has relays of its own.
 */
static void instances_hear_each_other_again_after_a_cut(void **state)
{
	(void)state;
	for (size_t n = REGION; n <= 2 * REGION; n += REGION) {
		for (size_t data_centres = 1; data_centres <= 2; data_centres++) {
			heal(n, 2, data_centres);
			heal(n, 3, data_centres);
			heal(n, n, data_centres);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(those_told_are_asked_once_another_instance_is_gone),
		cmocka_unit_test(instances_hear_each_other_again_after_a_cut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
