/* Authenticates peers by CURVE key, as ZAP handler of a ZeroMQ context. Private to this folder. */
#ifndef AP_PEER_AUTH_H
#define AP_PEER_AUTH_H

#include "settings/settings.h"

#include <event2/event.h>

#define AP_ZAP_DOMAIN "arbutuspond"

typedef struct ap_auth ap_auth_t;

/** ap_auth_new() - call it before a server socket of @zmq is bound; NULL on failure. */
ap_auth_t *ap_auth_new(struct event_base *base, void *zmq, const ap_settings_t *settings);
void ap_auth_free(ap_auth_t *auth);
/** ap_auth_refused() - number of connections refused so far. */
uint64_t ap_auth_refused(const ap_auth_t *auth);

#endif
