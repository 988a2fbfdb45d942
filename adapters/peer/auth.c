/* ZAP (ZeroMQ RFC 27) handler: accepts the CURVE keys named in the settings. */
#include "peer/auth.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define ZAP_FRAMES 7
#define ZAP_FRAME_MAX 256
#define ZAP_REQUEST_ID 1
#define ZAP_MECHANISM 5
#define ZAP_CREDENTIALS 6
#define CURVE_KEY_BYTES 32

struct ap_auth {
	const ap_settings_t *settings;
	void *socket;
	struct event *readable;
	uint64_t refused;
};

typedef struct zap_frame {
	char data[ZAP_FRAME_MAX];
	size_t len;
} zap_frame_t;

static bool key_accepted(const ap_settings_t *settings, const char *key)
{
	if (strcmp(key, settings->public_key) == 0)
		return true;
	for (size_t i = 0; i < settings->n_peer_keys; i++) {
		if (strcmp(key, settings->peer_keys[i]) == 0)
			return true;
	}
	return false;
}

/* Returns the number of frames read, or -1 if no request is pending. */
static int read_request(void *socket, zap_frame_t frames[ZAP_FRAMES])
{
	int more = 1;
	int n = 0;

	while (more) {
		char spare[ZAP_FRAME_MAX];
		size_t size = sizeof(more);
		char *into = n < ZAP_FRAMES ? frames[n].data : spare;
		int len = zmq_recv(socket, into, ZAP_FRAME_MAX, ZMQ_DONTWAIT);

		if (len < 0)
			return -1;
		if (n < ZAP_FRAMES)
			frames[n].len = len < ZAP_FRAME_MAX ? (size_t)len : ZAP_FRAME_MAX;
		n++;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return n;
}

static void send_text(void *socket, const char *text, int flags)
{
	zmq_send(socket, text, strlen(text), flags);
}

static void send_reply(ap_auth_t *auth, const zap_frame_t *frames, int n)
{
	char key[AP_CURVE_KEY_MAX] = "";
	bool ok = n == ZAP_FRAMES && frames[ZAP_MECHANISM].len == 5 &&
		  memcmp(frames[ZAP_MECHANISM].data, "CURVE", 5) == 0 &&
		  frames[ZAP_CREDENTIALS].len == CURVE_KEY_BYTES;

	if (ok) {
		zmq_z85_encode(key, (const uint8_t *)frames[ZAP_CREDENTIALS].data, CURVE_KEY_BYTES);
		ok = key_accepted(auth->settings, key);
	}
	if (!ok)
		auth->refused++;
	send_text(auth->socket, "1.0", ZMQ_SNDMORE);
	zmq_send(auth->socket, frames[ZAP_REQUEST_ID].data,
		 n > ZAP_REQUEST_ID ? frames[ZAP_REQUEST_ID].len : 0, ZMQ_SNDMORE);
	send_text(auth->socket, ok ? "200" : "400", ZMQ_SNDMORE);
	send_text(auth->socket, ok ? "OK" : "key not accepted", ZMQ_SNDMORE);
	send_text(auth->socket, ok ? key : "", ZMQ_SNDMORE);
	send_text(auth->socket, "", 0);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	ap_auth_t *auth = arg;
	zap_frame_t frames[ZAP_FRAMES];
	int n;

	(void)fd;
	(void)what;
	while ((n = read_request(auth->socket, frames)) >= 0)
		send_reply(auth, frames, n);
}

ap_auth_t *ap_auth_new(struct event_base *base, void *zmq, const ap_settings_t *settings)
{
	ap_auth_t *auth = calloc(1, sizeof(*auth));
	size_t size = sizeof(int);
	int fd;

	if (!auth)
		return NULL;
	auth->settings = settings;
	auth->socket = zmq_socket(zmq, ZMQ_REP);
	if (!auth->socket || zmq_bind(auth->socket, "inproc://zeromq.zap.01") != 0) {
		ap_auth_free(auth);
		return NULL;
	}
	zmq_getsockopt(auth->socket, ZMQ_FD, &fd, &size);
	auth->readable = event_new(base, fd, EV_READ | EV_PERSIST, on_readable, auth);
	event_add(auth->readable, NULL);
	return auth;
}

void ap_auth_free(ap_auth_t *auth)
{
	if (!auth)
		return;
	if (auth->readable)
		event_free(auth->readable);
	if (auth->socket)
		zmq_close(auth->socket);
	free(auth);
}

uint64_t ap_auth_refused(const ap_auth_t *auth)
{
	return auth->refused;
}
