/*
 * Messages between instances, over ZeroMQ with CURVE. All instances share one key pair, the secret,
 * which the first instance writes to the store. Forwarded requests carry a proof derived from it.
 */
#include "gateway.h"

#include "wire/frame.h"

#include <sodium.h>
#include <string.h>
#include <zmq.h>

#define PROOF_BYTES 16 /* before hexadecimal encoding */
#define PROOF_CONTEXT "arbutuspond request between regions"
/* The port for messages between instances follows the one for forwarded requests. */
#define ZMQ_PORT_OFFSET 1
#define SECRET_LEN (2 * (AP_CURVE_KEY_MAX - 1)) /* bytes: public and secret key */

static void log_unreadable(gateway_t *gate, const char *from)
{
	ap_journal_write(gate->journal, AP_RECORD_RARE, "peer.unreadable", NULL, "s:s", "from",
			 from);
}

static bool apply(gateway_t *gate, const char *origin, const void *data, size_t len, ap_usec_t now)
{
	bool ok = ap_wire_peek(data, len) == AP_WIRE_CHANGES
			  ? ap_changes_apply(gate->follow, data, len, now)
			  : ap_fleet_receive(gate->fleet, origin, data, len, now);

	if (!ok)
		log_unreadable(gate, origin);
	return ok;
}

static void on_passed_on(void *ctx, const char *origin, const void *data, size_t len)
{
	apply(ctx, origin, data, len, ap_now());
}

static void on_message(void *ctx, const char *from, const void *data, size_t len)
{
	gateway_t *gate = ctx;
	ap_usec_t now = ap_now();
	uint32_t kind = ap_wire_peek(data, len);

	if (kind == AP_WIRE_CONFIGURATION) {
		if (!gate_version_told(gate, from, data, len))
			log_unreadable(gate, from);
	} else if (kind == AP_WIRE_STREAM_QUESTION || kind == AP_WIRE_STREAM_ANSWER) {
		ap_peer_port_t port = ap_peer_as_port(gate->peer);

		if (!ap_fleet_receive_stream(gate->fleet, &port, from, data, len, now))
			log_unreadable(gate, from);
		gate_lookup_tick(gate, now);
	} else if (kind == AP_WIRE_BATCH) {
		if (!ap_fleet_open_batch(gate->fleet, from, data, len, now, gate, on_passed_on))
			log_unreadable(gate, from);
	} else if (apply(gate, from, data, len, now) &&
		   (kind != AP_WIRE_CHANGES || ap_changes_pass_on(gate->follow, data, len))) {
		ap_fleet_pass_on(gate->fleet, from, data, len, now);
	}
	gate_store_tick(gate, now);
}

/* Returns false if the secret is not a valid key pair. */
static bool set_key_pair(gateway_t *gate, const char *text)
{
	ap_settings_t *s = &gate->peer_settings;
	char derived[AP_CURVE_KEY_MAX];

	memcpy(s->public_key, text, AP_CURVE_KEY_MAX - 1);
	memcpy(s->secret_key, text + AP_CURVE_KEY_MAX - 1, AP_CURVE_KEY_MAX - 1);
	return zmq_curve_public(derived, s->secret_key) == 0 && strcmp(derived, s->public_key) == 0;
}

/* Derives the proof, which shows knowledge of the secret without disclosing it. */
static void derive_proof(gateway_t *gate, const char *text)
{
	unsigned char hash[PROOF_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)text, strlen(text),
			   (const unsigned char *)PROOF_CONTEXT, strlen(PROOF_CONTEXT));
	sodium_bin2hex(gate->proof, sizeof(gate->proof), hash, sizeof(hash));
}

static void add_member(void *ctx, const ap_member_t *member)
{
	gate_peer_add(ctx, member);
}

void gate_peer_set_secret(gateway_t *gate, const void *secret, size_t len)
{
	ap_peer_config_t config = {
		.base = gate->base,
		.settings = &gate->peer_settings,
		.port = (uint16_t)(gate->conf->peer_port + ZMQ_PORT_OFFSET),
		.ctx = gate,
		.receive = on_message,
	};
	char text[SECRET_LEN + 1];
	ap_err_t err;

	if (gate->peer)
		return;
	if (len != SECRET_LEN) {
		ap_log(LOG_ERR, "the instances' secret: expected %d bytes, found %zu", SECRET_LEN,
		       len);
		return;
	}
	memcpy(text, secret, len);
	text[len] = '\0';
	if (!set_key_pair(gate, text)) {
		ap_log(LOG_ERR, "the instances' secret is not a valid CURVE key pair");
		return;
	}
	derive_proof(gate, text);
	if (ap_peer_new(&config, &gate->peer, &err) != AP_PEER_OK) {
		ap_log(LOG_ERR, "%s", err.text);
		gate->peer = NULL;
		return;
	}
	ap_fleet_each_member(gate->fleet, add_member, gate);
}

static void on_secret_put(void *ctx, ap_store_end_t end, uint64_t number)
{
	gateway_t *gate = ctx;

	(void)number;
	/* On a conflict another instance was first; its secret comes with the next read. */
	if (end != AP_STORE_OK && end != AP_STORE_CONFLICT)
		gate->secret_pending = false;
}

void gate_peer_create_secret(gateway_t *gate)
{
	char text[SECRET_LEN + 2];
	char public_key[AP_CURVE_KEY_MAX];
	char secret_key[AP_CURVE_KEY_MAX];

	if (gate->peer || gate->secret_pending || zmq_curve_keypair(public_key, secret_key) != 0)
		return;
	gate->secret_pending = true;
	snprintf(text, sizeof(text), "%s%s", public_key, secret_key);
	ap_host_store_put_secret(gate->store, text, SECRET_LEN, on_secret_put, gate);
}

void gate_peer_add(gateway_t *gate, const ap_member_t *member)
{
	if (!gate->peer || strcmp(member->id, gate->self.id) == 0)
		return;
	ap_peer_add(gate->peer, member->id, member->host,
		    (uint16_t)(member->peer_port + ZMQ_PORT_OFFSET), "");
}

void gate_peer_tick(gateway_t *gate, ap_usec_t now)
{
	ap_peer_port_t port;

	if (!gate->peer)
		return;
	port = ap_peer_as_port(gate->peer);
	ap_fleet_announce(gate->fleet, &port, now);
}

bool gate_peer_trusts(const gateway_t *gate, ap_http_call_t *call)
{
	const char *proof = ap_http_call_header(call, FORWARD_HEADER_PROOF);
	size_t len = strlen(gate->proof);

	if (len > 0 && proof && strlen(proof) == len && sodium_memcmp(proof, gate->proof, len) == 0)
		return true;
	/*
	 * An instance that starts while the store is unreachable may have no secret and send no
	 * proof, so a request from the address of a known instance is trusted too.
	 */
	return ap_fleet_knows_host(gate->fleet, ap_http_call_peer(call));
}
