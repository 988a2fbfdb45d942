/* Which CURVE keys may talk to us: the ZAP end of one ZeroMQ context. Private to the adapter. */
#ifndef AP_PEER_AUTH_H
#define AP_PEER_AUTH_H

#include "settings/settings.h"

#include <event2/event.h>

#define AP_ZAP_DOMAIN "arbutuspond"

typedef struct ap_auth ap_auth_t;

/** ap_auth_new() - must stand before a server socket of @zmq is bound. */
ap_auth_t *ap_auth_new(struct event_base *base, void *zmq, const ap_settings_t *settings);
void ap_auth_free(ap_auth_t *auth);
uint64_t ap_auth_refused(const ap_auth_t *auth);

#endif
