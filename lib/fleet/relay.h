/* Relays of announcements, see relay.c. Private to lib/fleet; included by private.h. */
#ifndef AP_FLEET_RELAY_H
#define AP_FLEET_RELAY_H

#define AP_RELAYS 2 /* of a data centre */
/* Returns the hash that stands for instance @id in messages. */
uint32_t ap_member_tag(const char *id);
/* Likewise of a region, to compare instances with. */
uint32_t ap_region_tag(const char *region);
/* Sets what relays and their choice need of an instance whose record was read. */
void ap_relay_member_init(ap_member_state_t *m);
/* Sets @direct of all instances, and whether there are relays in the own region. */
void ap_relay_mark(ap_fleet_t *f, ap_usec_t now);
/* Returns how many instances this one passes on to what others announce. */
size_t ap_relay_served(const ap_fleet_t *f, ap_usec_t now);
/* Names a relay, and sends the batch that is due. To be called several times a second. */
void ap_relay_tick(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now);
/* Sends a message to the other instances of the region, by way of relays if there are any. */
void ap_relay_send_to_region(ap_fleet_t *f, const ap_peer_port_t *peer, const void *data,
			     size_t len, ap_usec_t now);

#endif
